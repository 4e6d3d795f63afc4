//! Rules 1, 2, 3 and 5 over any order of inputs, judged from the lines alone.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use fawnrouter_node::jsonl::{Tag, Verb};
use fawnrouter_node::{ClientId, Input, LinkId, Output};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Connect,
    Call { client: usize, left: u64 },
    Withdraw { call: usize },
    Leave { client: usize },
    Answer { out: usize },
    Turn { out: usize, rc: i64 },
    Noise { link: usize },
    Break { link: usize },
    Refuse { port: u16, on: bool },
    Vanish { port: u16, on: bool },
    List { states: [u8; 3], fresh: bool },
    Pass { ms: u64 },
    Stop,
}

fn step() -> impl Strategy<Value = Step> {
    let any = 0usize..64;
    prop_oneof![
        2 => Just(Step::Connect),
        12 => (any.clone(), 60u64..4000).prop_map(|(client, left)| Step::Call { client, left }),
        1 => any.clone().prop_map(|call| Step::Withdraw { call }),
        1 => any.clone().prop_map(|client| Step::Leave { client }),
        10 => any.clone().prop_map(|out| Step::Answer { out }),
        6 => (any.clone(), prop::sample::select(vec![16, 17, 34, 41, 47, 102, 3]))
            .prop_map(|(out, rc)| Step::Turn { out, rc }),
        1 => any.clone().prop_map(|link| Step::Noise { link }),
        2 => any.prop_map(|link| Step::Break { link }),
        1 => (7001u16..7004, prop::bool::ANY).prop_map(|(port, on)| Step::Refuse { port, on }),
        1 => (7001u16..7004, prop::bool::ANY).prop_map(|(port, on)| Step::Vanish { port, on }),
        2 => (prop::array::uniform3(0u8..4), prop::bool::weighted(0.2))
            .prop_map(|(states, fresh)| Step::List { states, fresh }),
        12 => (1u64..600).prop_map(|ms| Step::Pass { ms }),
        1 => Just(Step::Stop),
    ]
}

/// What the lines must add up to.
#[derive(Default)]
struct Judge {
    seen: usize,
    /// Which port each connection goes to, also when it is gone.
    ports: BTreeMap<LinkId, u16>,
    /// Attempts out: by call, on which connection.
    out: BTreeMap<u64, LinkId>,
    /// Not before this time again.
    guard: BTreeMap<u64, u64>,
    /// Ports that take nothing, as the node has heard.
    shut: BTreeSet<u16>,
    /// Calls: whose, until when, how often answered, whether they stand, whether they are over.
    calls: BTreeMap<u64, Owed>,
}

struct Owed {
    client: ClientId,
    until: u64,
    answers: u32,
    releases: u32,
    given_up: bool,
}

impl Judge {
    fn judge(&mut self, rig: &Rig) -> Result<(), TestCaseError> {
        self.ports.extend(rig.links.iter().map(|(l, p)| (*l, *p)));
        for (at, output) in &rig.seen[self.seen..] {
            match output {
                Output::OpenLink { link, address, .. } => drop(self.ports.insert(*link, address.port())),
                Output::CloseLink { link } => self.broken(*link, *at),
                Output::ToLink { link, line }
                | Output::SetUp { link, line, .. }
                | Output::CancelSetUp { link, line, .. } => {
                    let message = parse(line).unwrap();
                    let tag = message.tag.0;
                    if message.verb == Verb::Start {
                        prop_assert!(
                            !self.out.contains_key(&tag),
                            "rule 2: {tag} is out twice: {}",
                            history(rig, tag)
                        );
                        prop_assert!(self.guard.get(&tag).is_none_or(|t| at >= t), "rule 5: {tag} at {at}");
                        prop_assert!(!self.shut.contains(&self.ports[link]), "rule 3: {tag}");
                        let owed = &self.calls[&tag];
                        prop_assert!(!owed.given_up && owed.answers == 0, "nothing after the answer: {tag}");
                        self.out.insert(tag, *link);
                    } else if message.verb == Verb::Finish && self.out.get(&tag) == Some(link) {
                        self.out.remove(&tag);
                        self.guard.insert(tag, at + 200);
                    }
                }
                Output::ToClient { client, line } | Output::NotifyCaller { client, line, .. } => {
                    let Ok(message) = parse(line) else { continue };
                    let Some(owed) = self.calls.get_mut(&message.tag.0) else { continue };
                    match message.verb {
                        Verb::Finished => {}
                        Verb::Started | Verb::Finish if owed.answers == 0 => {
                            prop_assert!(
                                !owed.given_up,
                                "rule 1: {:?} answered though given up",
                                message.tag
                            );
                            prop_assert!(*at < owed.until, "rule 1: {:?} answered late", message.tag);
                            prop_assert_eq!(*client, owed.client);
                            owed.answers = 1;
                            owed.releases = u32::from(message.verb == Verb::Finish);
                        }
                        Verb::Finish => {
                            owed.releases += 1;
                            prop_assert_eq!(owed.releases, 1, "rule 1: {:?} ended twice", message.tag);
                        }
                        other => prop_assert!(false, "{:?}: {:?} after the answer", message.tag, other),
                    }
                }
                _ => {}
            }
        }
        self.seen = rig.seen.len();
        Ok(())
    }

    fn broken(&mut self, link: LinkId, at: u64) {
        let lost: Vec<u64> = self.out.iter().filter(|(_, l)| **l == link).map(|(t, _)| *t).collect();
        for tag in lost {
            self.out.remove(&tag);
            self.guard.insert(tag, at + 200);
        }
    }
}

/// What was said of a call, for a failure's message.
fn history(rig: &Rig, tag: u64) -> String {
    let of_call = |line: &[u8]| String::from_utf8_lossy(line).contains(&Tag(tag).to_string());
    let told = rig.seen.iter().filter(|(_, o)| match o {
        Output::ToLink { line, .. }
        | Output::SetUp { line, .. }
        | Output::CancelSetUp { line, .. }
        | Output::ToClient { line, .. }
        | Output::NotifyCaller { line, .. } => of_call(line),
        _ => false,
    });
    told.map(|(at, output)| match output {
        Output::ToLink { link, line }
        | Output::SetUp { link, line, .. }
        | Output::CancelSetUp { link, line, .. } => {
            format!("{at} to {link:?}: {}", String::from_utf8_lossy(line))
        }
        Output::ToClient { client, line } | Output::NotifyCaller { client, line, .. } => {
            format!("{at} to {client:?}: {}", String::from_utf8_lossy(line))
        }
        _ => String::new(),
    })
    .collect()
}

fn nth<T: Copy>(items: impl Iterator<Item = T>, n: usize) -> Option<T> {
    let items: Vec<T> = items.collect();
    (!items.is_empty()).then(|| items[n % items.len()])
}

fn run(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut rig = Rig::new(3);
    let mut judge = Judge::default();
    let mut clients = vec![rig.connect()];
    let (mut tag, mut serial, mut names) = (0, 1, ["s-1".to_owned(), "s-2".to_owned(), "s-3".to_owned()]);
    for step in steps {
        // The silent are closed by the node; it owes them nothing.
        clients.retain(|c| !rig.closed(*c));
        match step {
            Step::Connect => clients.push(rig.connect()),
            Step::Call { client, left } => {
                tag += 1;
                let Some(client) = nth(clients.iter().copied(), client) else { continue };
                let until = rig.now_ms + left;
                judge.calls.insert(tag, Owed { client, until, answers: 0, releases: 0, given_up: false });
                rig.call(client, tag, left);
            }
            Step::Withdraw { call } => {
                let Some(call) = nth(judge.calls.keys().copied(), call) else { continue };
                let owed = judge.calls.get_mut(&call).unwrap();
                if clients.contains(&owed.client) && owed.answers == 0 {
                    owed.given_up = true;
                    rig.client_says(owed.client, &finish(call, 16));
                }
            }
            Step::Leave { client } => {
                if let Some(client) = nth(clients.iter().copied(), client) {
                    clients.retain(|c| *c != client);
                    judge
                        .calls
                        .values_mut()
                        .filter(|o| o.client == client && o.answers == 0)
                        .for_each(|o| o.given_up = true);
                    rig.input(Input::ClientDisconnected { client });
                }
            }
            Step::Answer { out } => {
                let Some((tag, link)) = nth(judge.out.iter().map(|(t, l)| (*t, *l)), out) else { continue };
                judge.out.remove(&tag);
                rig.started(link, tag);
            }
            Step::Turn { out, rc } => {
                let Some((tag, link)) = nth(judge.out.iter().map(|(t, l)| (*t, *l)), out) else { continue };
                judge.out.remove(&tag);
                if ![17, 34, 47, 102].contains(&rc) {
                    judge.guard.insert(tag, rig.now_ms + 200);
                }
                rig.finish(link, tag, rc);
            }
            Step::Noise { link } => {
                let Some(link) = nth(rig.up.keys().copied(), link) else { continue };
                rig.switch_says(link, "{\"verb\":\"STARTED\",\"tag\":7}");
            }
            Step::Break { link } => {
                let Some(link) = nth(rig.up.keys().copied(), link) else { continue };
                judge.broken(link, rig.now_ms);
                rig.broken(link);
            }
            Step::Refuse { port, on } => {
                rig.refusing.retain(|p| *p != port);
                if on {
                    rig.refusing.push(port);
                    let links: Vec<LinkId> =
                        rig.up.keys().copied().filter(|l| rig.links[l] == port).collect();
                    for link in links {
                        judge.judge(&rig)?;
                        judge.broken(link, rig.now_ms);
                        rig.broken(link);
                    }
                }
            }
            Step::Vanish { port, on } => {
                rig.silent.retain(|p| *p != port);
                if on {
                    rig.silent.push(port);
                }
            }
            Step::List { states, fresh } => {
                serial += 1;
                if fresh {
                    names[0] = format!("s-fresh{serial}");
                }
                judge.shut.clear();
                let mut lines = Vec::new();
                for ((name, port), state) in names.iter().zip(7001u16..).zip(states) {
                    match state {
                        0 => drop(judge.shut.insert(port)),
                        1 => {
                            judge.shut.insert(port);
                            lines.push((name.as_str(), port, "Terminating", 0));
                        }
                        _ => lines.push((name.as_str(), port, "Ready", 0)),
                    }
                }
                if lines.is_empty() {
                    lines.push(("s-other", 7009, "Ready", 0));
                }
                // What the node closes with this list it has not written before.
                rig.input(Input::ConfiguredList(pool(serial, &lines)));
            }
            Step::Pass { ms } => rig.pass(ms),
            Step::Stop => {
                if tag > 30 {
                    rig.input(Input::Stop);
                }
            }
        }
        judge.judge(&rig)?;
    }
    for _ in 0..50 {
        rig.pass(200);
        judge.judge(&rig)?;
    }
    for (tag, owed) in &judge.calls {
        prop_assert!(owed.given_up || owed.answers == 1, "rule 1: {} got no answer", Tag(*tag));
    }
    prop_assert_eq!(rig.node.held()[0], 0, "no call is left open");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(25), ..ProptestConfig::default() })]

    #[test]
    fn the_rules_hold_whatever_happens_in_whatever_order(steps in prop::collection::vec(step(), 1..250)) {
        run(steps)?;
    }
}
