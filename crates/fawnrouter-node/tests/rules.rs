//! Checks rules 1, 2, 3 and 5 for arbitrary sequences of inputs, from the messages alone.

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
    Disconnect { client: usize },
    Answer { attempt: usize },
    Reject { attempt: usize, rc: i64 },
    SendGarbage { link: usize },
    BreakLink { link: usize },
    RefuseConnections { port: u16, on: bool },
    HangConnections { port: u16, on: bool },
    ChangeList { states: [u8; 3], fresh: bool },
    Advance { ms: u64 },
    Stop,
}

fn step() -> impl Strategy<Value = Step> {
    let any = 0usize..64;
    prop_oneof![
        2 => Just(Step::Connect),
        12 => (any.clone(), 60u64..4000).prop_map(|(client, left)| Step::Call { client, left }),
        1 => any.clone().prop_map(|call| Step::Withdraw { call }),
        1 => any.clone().prop_map(|client| Step::Disconnect { client }),
        10 => any.clone().prop_map(|attempt| Step::Answer { attempt }),
        6 => (any.clone(), prop::sample::select(vec![16, 17, 34, 41, 47, 102, 3]))
            .prop_map(|(attempt, rc)| Step::Reject { attempt, rc }),
        1 => any.clone().prop_map(|link| Step::SendGarbage { link }),
        2 => any.prop_map(|link| Step::BreakLink { link }),
        1 => (7001u16..7004, prop::bool::ANY).prop_map(|(port, on)| Step::RefuseConnections { port, on }),
        1 => (7001u16..7004, prop::bool::ANY).prop_map(|(port, on)| Step::HangConnections { port, on }),
        2 => (prop::array::uniform3(0u8..4), prop::bool::weighted(0.2))
            .prop_map(|(states, fresh)| Step::ChangeList { states, fresh }),
        12 => (1u64..600).prop_map(|ms| Step::Advance { ms }),
        1 => Just(Step::Stop),
    ]
}

/// Checks the rules against the messages sent so far.
#[derive(Default)]
struct RuleChecker {
    checked_outputs: usize,
    /// The port that each connection goes to, also after its end.
    ports: BTreeMap<LinkId, u16>,
    /// Open attempts: the connection by call.
    open_attempts: BTreeMap<u64, LinkId>,
    /// The earliest time of each call's next attempt.
    guarded_until: BTreeMap<u64, u64>,
    /// Ports of switches that take no set-ups, according to the last list.
    closed_ports: BTreeSet<u16>,
    /// The calls so far.
    calls: BTreeMap<u64, CallRecord>,
}

struct CallRecord {
    client: ClientId,
    deadline: u64,
    answers: u32,
    releases: u32,
    abandoned: bool,
}

impl RuleChecker {
    fn check(&mut self, harness: &Harness) -> Result<(), TestCaseError> {
        self.ports.extend(harness.links.iter().map(|(l, p)| (*l, *p)));
        for (at, output) in &harness.outputs[self.checked_outputs..] {
            match output {
                Output::OpenLink { link, address, .. } => drop(self.ports.insert(*link, address.port())),
                Output::CloseLink { link } => self.link_broken(*link, *at),
                Output::ToLink { link, line }
                | Output::SetUp { link, line, .. }
                | Output::CancelSetUp { link, line, .. } => {
                    let message = parse(line).unwrap();
                    let tag = message.tag.0;
                    if message.verb == Verb::Start {
                        prop_assert!(
                            !self.open_attempts.contains_key(&tag),
                            "rule 2: {tag} is out twice: {}",
                            history(harness, tag)
                        );
                        prop_assert!(
                            self.guarded_until.get(&tag).is_none_or(|t| at >= t),
                            "rule 5: {tag} at {at}"
                        );
                        prop_assert!(!self.closed_ports.contains(&self.ports[link]), "rule 3: {tag}");
                        let call = &self.calls[&tag];
                        prop_assert!(!call.abandoned && call.answers == 0, "nothing after the answer: {tag}");
                        self.open_attempts.insert(tag, *link);
                    } else if message.verb == Verb::Finish && self.open_attempts.get(&tag) == Some(link) {
                        self.open_attempts.remove(&tag);
                        self.guarded_until.insert(tag, at + 200);
                    }
                }
                Output::ToClient { client, line } | Output::ToCaller { client, line, .. } => {
                    let Ok(message) = parse(line) else { continue };
                    let Some(call) = self.calls.get_mut(&message.tag.0) else { continue };
                    match message.verb {
                        Verb::Finished => {}
                        Verb::Started | Verb::Finish if call.answers == 0 => {
                            prop_assert!(
                                !call.abandoned,
                                "rule 1: {:?} answered though given up",
                                message.tag
                            );
                            prop_assert!(*at < call.deadline, "rule 1: {:?} answered late", message.tag);
                            prop_assert_eq!(*client, call.client);
                            call.answers = 1;
                            call.releases = u32::from(message.verb == Verb::Finish);
                        }
                        Verb::Finish => {
                            call.releases += 1;
                            prop_assert_eq!(call.releases, 1, "rule 1: {:?} ended twice", message.tag);
                        }
                        other => prop_assert!(false, "{:?}: {:?} after the answer", message.tag, other),
                    }
                }
                _ => {}
            }
        }
        self.checked_outputs = harness.outputs.len();
        Ok(())
    }

    fn link_broken(&mut self, link: LinkId, at: u64) {
        let lost: Vec<u64> =
            self.open_attempts.iter().filter(|(_, l)| **l == link).map(|(t, _)| *t).collect();
        for tag in lost {
            self.open_attempts.remove(&tag);
            self.guarded_until.insert(tag, at + 200);
        }
    }
}

/// All messages about a call, for the message of a failure.
fn history(harness: &Harness, tag: u64) -> String {
    let of_call = |line: &[u8]| String::from_utf8_lossy(line).contains(&Tag(tag).to_string());
    let messages = harness.outputs.iter().filter(|(_, o)| match o {
        Output::ToLink { line, .. }
        | Output::SetUp { line, .. }
        | Output::CancelSetUp { line, .. }
        | Output::ToClient { line, .. }
        | Output::ToCaller { line, .. } => of_call(line),
        _ => false,
    });
    messages
        .map(|(at, output)| match output {
            Output::ToLink { link, line }
            | Output::SetUp { link, line, .. }
            | Output::CancelSetUp { link, line, .. } => {
                format!("{at} to {link:?}: {}", String::from_utf8_lossy(line))
            }
            Output::ToClient { client, line } | Output::ToCaller { client, line, .. } => {
                format!("{at} to {client:?}: {}", String::from_utf8_lossy(line))
            }
            _ => String::new(),
        })
        .collect()
}

fn pick<T: Copy>(items: impl Iterator<Item = T>, n: usize) -> Option<T> {
    let items: Vec<T> = items.collect();
    (!items.is_empty()).then(|| items[n % items.len()])
}

fn run_steps(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut harness = Harness::new(3);
    let mut checker = RuleChecker::default();
    let mut clients = vec![harness.connect()];
    let (mut tag, mut serial, mut names) = (0, 1, ["s-1".to_owned(), "s-2".to_owned(), "s-3".to_owned()]);
    for step in steps {
        // The node closes silent clients; they need no answer.
        clients.retain(|c| !harness.is_closed(*c));
        match step {
            Step::Connect => clients.push(harness.connect()),
            Step::Call { client, left } => {
                tag += 1;
                let Some(client) = pick(clients.iter().copied(), client) else { continue };
                let deadline = harness.now_ms + left;
                checker
                    .calls
                    .insert(tag, CallRecord { client, deadline, answers: 0, releases: 0, abandoned: false });
                harness.start_call(client, tag, left);
            }
            Step::Withdraw { call } => {
                let Some(tag) = pick(checker.calls.keys().copied(), call) else { continue };
                let call = checker.calls.get_mut(&tag).unwrap();
                if clients.contains(&call.client) && call.answers == 0 {
                    call.abandoned = true;
                    harness.client_sends(call.client, &finish_line(tag, 16));
                }
            }
            Step::Disconnect { client } => {
                if let Some(client) = pick(clients.iter().copied(), client) {
                    clients.retain(|c| *c != client);
                    checker
                        .calls
                        .values_mut()
                        .filter(|o| o.client == client && o.answers == 0)
                        .for_each(|o| o.abandoned = true);
                    harness.input(Input::ClientDisconnected { client });
                }
            }
            Step::Answer { attempt } => {
                let Some((tag, link)) = pick(checker.open_attempts.iter().map(|(t, l)| (*t, *l)), attempt)
                else {
                    continue;
                };
                checker.open_attempts.remove(&tag);
                harness.answer_call(link, tag);
            }
            Step::Reject { attempt, rc } => {
                let Some((tag, link)) = pick(checker.open_attempts.iter().map(|(t, l)| (*t, *l)), attempt)
                else {
                    continue;
                };
                checker.open_attempts.remove(&tag);
                if ![17, 34, 47, 102].contains(&rc) {
                    checker.guarded_until.insert(tag, harness.now_ms + 200);
                }
                harness.release_call(link, tag, rc);
            }
            Step::SendGarbage { link } => {
                let Some(link) = pick(harness.links_up.keys().copied(), link) else { continue };
                harness.switch_sends(link, "{\"verb\":\"STARTED\",\"tag\":7}");
            }
            Step::BreakLink { link } => {
                let Some(link) = pick(harness.links_up.keys().copied(), link) else { continue };
                checker.link_broken(link, harness.now_ms);
                harness.break_link(link);
            }
            Step::RefuseConnections { port, on } => {
                harness.refusing_ports.retain(|p| *p != port);
                if on {
                    harness.refusing_ports.push(port);
                    let links: Vec<LinkId> =
                        harness.links_up.keys().copied().filter(|l| harness.links[l] == port).collect();
                    for link in links {
                        checker.check(&harness)?;
                        checker.link_broken(link, harness.now_ms);
                        harness.break_link(link);
                    }
                }
            }
            Step::HangConnections { port, on } => {
                harness.hanging_ports.retain(|p| *p != port);
                if on {
                    harness.hanging_ports.push(port);
                }
            }
            Step::ChangeList { states, fresh } => {
                serial += 1;
                if fresh {
                    names[0] = format!("s-fresh{serial}");
                }
                checker.closed_ports.clear();
                let mut lines = Vec::new();
                for ((name, port), state) in names.iter().zip(7001u16..).zip(states) {
                    match state {
                        0 => drop(checker.closed_ports.insert(port)),
                        1 => {
                            checker.closed_ports.insert(port);
                            lines.push((name.as_str(), port, "Terminating", 0));
                        }
                        _ => lines.push((name.as_str(), port, "Ready", 0)),
                    }
                }
                if lines.is_empty() {
                    lines.push(("s-other", 7009, "Ready", 0));
                }
                // Set-ups that the node closes with this list were not sent before.
                harness.input(Input::ConfiguredList(pool(serial, &lines)));
            }
            Step::Advance { ms } => harness.advance(ms),
            Step::Stop => {
                if tag > 30 {
                    harness.input(Input::Stop);
                }
            }
        }
        checker.check(&harness)?;
    }
    for _ in 0..50 {
        harness.advance(200);
        checker.check(&harness)?;
    }
    for (tag, call) in &checker.calls {
        prop_assert!(call.abandoned || call.answers == 1, "rule 1: {} got no answer", Tag(*tag));
    }
    prop_assert_eq!(harness.node.state_sizes()[0], 0, "no call is left open");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(25), ..ProptestConfig::default() })]

    #[test]
    fn rules_hold_for_any_sequence_of_inputs(steps in prop::collection::vec(step(), 1..250)) {
        run_steps(steps)?;
    }
}
