//! The same inputs give the same outputs, to the byte. The test prints digests (`--nocapture`); they must
//! stay the same across a change that is meant to change no output.

mod common;

use std::hash::{DefaultHasher, Hash, Hasher};

use common::*;
use fawnrouter_node::{ClientId, Input, LinkId, Output};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

/// Random choices for the steps of one recording.
struct Random(ChaCha8Rng);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0.next_u64() % n.max(1)
    }

    fn pick<T: Copy>(&mut self, items: impl Iterator<Item = T>) -> Option<T> {
        let items: Vec<T> = items.collect();
        let n = self.below(items.len() as u64) as usize;
        items.get(n).copied()
    }
}

/// Runs some hundred steps and returns all outputs with their times.
fn record(seed: u64, stop: bool) -> String {
    let mut random = Random(ChaCha8Rng::seed_from_u64(seed));
    let mut harness = Harness::new(3);
    let mut clients = vec![harness.connect()];
    let (mut tag, mut serial) = (0, 1);
    for step in 0..400 {
        clients.retain(|c| !harness.is_closed(*c));
        let link: Option<LinkId> = random.pick(harness.links_up.keys().copied());
        match random.below(40) {
            0 => clients.push(harness.connect()),
            1..=7 => {
                tag += 1;
                let client = random.pick(clients.iter().copied());
                let left = 300 + random.below(4000);
                client.into_iter().for_each(|c: ClientId| harness.start_call(c, tag, left));
            }
            8..=19 => {
                let call_tag = tag - random.below(tag.min(4));
                let sent = harness
                    .set_ups_sent(call_tag)
                    .last()
                    .copied()
                    .filter(|(_, l)| harness.links_up.contains_key(l));
                sent.into_iter().for_each(|(_, l)| harness.answer_call(l, call_tag));
            }
            20..=21 => {
                let call_tag = tag - random.below(tag.min(4));
                let rc = [16, 17, 34, 41, 47, 102, 3][random.below(7) as usize];
                let sent = harness.set_ups_sent(call_tag).last().copied();
                sent.into_iter().for_each(|(_, l)| harness.release_call(l, call_tag, rc));
            }
            22 => {
                let call_tag = tag - random.below(tag.min(4));
                let client = random.pick(clients.iter().copied());
                client.into_iter().for_each(|c| harness.client_sends(c, &finish_line(call_tag, 16)));
            }
            23 => link.into_iter().for_each(|l| harness.break_link(l)),
            24 => link.into_iter().for_each(|l| harness.switch_sends(l, "noise")),
            25..=26 => {
                let port = 7001 + random.below(3) as u16;
                let refuses = harness.refusing_ports.contains(&port);
                harness.refusing_ports.retain(|p| *p != port);
                if !refuses && harness.refusing_ports.is_empty() {
                    harness.refusing_ports.push(port);
                }
            }
            27 => {
                serial += 1;
                let states = ["Ready", "Ready", "Terminating"];
                let mut state = || states[random.below(3) as usize];
                let lines = [("s-1", 7001, state(), 0), ("s-2", 7002, state(), 0), ("s-3", 7003, state(), 0)];
                harness.input(Input::ConfiguredList(pool(serial, &lines[random.below(2) as usize..])));
            }
            28 if clients.len() > 1 => {
                let client = clients.remove(random.below(clients.len() as u64) as usize);
                harness.input(Input::ClientDisconnected { client });
            }
            _ => harness.advance(1 + random.below(200)),
        }
        if stop && step == 300 {
            harness.input(Input::Stop);
        }
    }
    (0..20).for_each(|_| harness.advance(300));
    harness.outputs.iter().map(|(at, output)| format!("{at} {}\n", text(output))).collect()
}

fn text(output: &Output) -> String {
    match output {
        Output::ToClient { client, line } | Output::ToCaller { client, line, .. } => {
            format!("{client:?} {}", String::from_utf8_lossy(line))
        }
        Output::ToLink { link, line }
        | Output::SetUp { link, line, .. }
        | Output::CancelSetUp { link, line, .. } => format!("{link:?} {}", String::from_utf8_lossy(line)),
        other => format!("{other:?}"),
    }
}

#[test]
fn same_inputs_give_byte_identical_outputs() {
    for (stop, name) in [(false, "in service"), (true, "with an end")] {
        let (mut digest, mut established) = (DefaultHasher::new(), 0);
        for seed in 1..=30 {
            let first = record(seed, stop);
            established += first.matches("STARTED").count();
            assert_eq!(first, record(seed, stop), "seed {seed}");
            first.hash(&mut digest);
        }
        assert!(established > 150, "{established} calls established: the recordings show next to nothing");
        println!("{name}: {established} established, {:016x}", digest.finish());
    }
}
