//! The same inputs give the same outputs, to the byte: what a change of shape is held against. The digest that the test
//! prints (`--nocapture`) must be the same before and after a change that is to change no action.

mod common;

use std::hash::{DefaultHasher, Hash, Hasher};

use common::*;
use fawnrouter_node::{ClientId, Input, LinkId, Output};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

/// Draws the steps of one recording.
struct Draw(ChaCha8Rng);

impl Draw {
    fn below(&mut self, n: u64) -> u64 {
        self.0.next_u64() % n.max(1)
    }

    fn of<T: Copy>(&mut self, items: impl Iterator<Item = T>) -> Option<T> {
        let items: Vec<T> = items.collect();
        let n = self.below(items.len() as u64) as usize;
        items.get(n).copied()
    }
}

/// Plays some hundred steps; all outputs with their times.
fn play(seed: u64, stop: bool) -> String {
    let mut draw = Draw(ChaCha8Rng::seed_from_u64(seed));
    let mut rig = Rig::new(3);
    let mut clients = vec![rig.connect()];
    let (mut tag, mut serial) = (0, 1);
    for step in 0..400 {
        clients.retain(|c| !rig.closed(*c));
        let link: Option<LinkId> = draw.of(rig.up.keys().copied());
        match draw.below(40) {
            0 => clients.push(rig.connect()),
            1..=7 => {
                tag += 1;
                let client = draw.of(clients.iter().copied());
                let left = 300 + draw.below(4000);
                client.into_iter().for_each(|c: ClientId| rig.call(c, tag, left));
            }
            8..=19 => {
                let of = tag - draw.below(tag.min(4));
                let sent = rig.starts(of).last().copied().filter(|(_, l)| rig.up.contains_key(l));
                sent.into_iter().for_each(|(_, l)| rig.started(l, of));
            }
            20..=21 => {
                let of = tag - draw.below(tag.min(4));
                let rc = [16, 17, 34, 41, 47, 102, 3][draw.below(7) as usize];
                let sent = rig.starts(of).last().copied();
                sent.into_iter().for_each(|(_, l)| rig.finish(l, of, rc));
            }
            22 => {
                let of = tag - draw.below(tag.min(4));
                let client = draw.of(clients.iter().copied());
                client.into_iter().for_each(|c| rig.client_says(c, &finish(of, 16)));
            }
            23 => link.into_iter().for_each(|l| rig.broken(l)),
            24 => link.into_iter().for_each(|l| rig.switch_says(l, "noise")),
            25..=26 => {
                let port = 7001 + draw.below(3) as u16;
                let refuses = rig.refusing.contains(&port);
                rig.refusing.retain(|p| *p != port);
                if !refuses && rig.refusing.is_empty() {
                    rig.refusing.push(port);
                }
            }
            27 => {
                serial += 1;
                let states = ["Ready", "Ready", "Terminating"];
                let mut state = || states[draw.below(3) as usize];
                let lines = [("s-1", 7001, state(), 0), ("s-2", 7002, state(), 0), ("s-3", 7003, state(), 0)];
                rig.input(Input::ConfiguredList(pool(serial, &lines[draw.below(2) as usize..])));
            }
            28 if clients.len() > 1 => {
                let client = clients.remove(draw.below(clients.len() as u64) as usize);
                rig.input(Input::ClientDisconnected { client });
            }
            _ => rig.pass(1 + draw.below(200)),
        }
        if stop && step == 300 {
            rig.input(Input::Stop);
        }
    }
    (0..20).for_each(|_| rig.pass(300));
    rig.seen.iter().map(|(at, output)| format!("{at} {}\n", text(output))).collect()
}

fn text(output: &Output) -> String {
    match output {
        Output::ToClient { client, line } | Output::NotifyCaller { client, line, .. } => {
            format!("{client:?} {}", String::from_utf8_lossy(line))
        }
        Output::ToLink { link, line }
        | Output::SetUp { link, line, .. }
        | Output::CancelSetUp { link, line, .. } => format!("{link:?} {}", String::from_utf8_lossy(line)),
        other => format!("{other:?}"),
    }
}

#[test]
fn the_same_inputs_give_the_same_outputs_to_the_byte() {
    for (stop, name) in [(false, "in service"), (true, "with an end")] {
        let (mut digest, mut stood) = (DefaultHasher::new(), 0);
        for seed in 1..=30 {
            let first = play(seed, stop);
            stood += first.matches("STARTED").count();
            assert_eq!(first, play(seed, stop), "seed {seed}");
            first.hash(&mut digest);
        }
        assert!(stood > 150, "{stood} calls stood: the recordings show next to nothing");
        println!("{name}: {stood} stood, {:016x}", digest.finish());
    }
}
