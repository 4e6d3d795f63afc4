//! Connections to core switches that stay open and are of no use, while the switches serve others.

mod common;

use std::collections::{BTreeMap, VecDeque};

use common::*;
use fawnrouter_node::jsonl::{Tag, Verb};
use fawnrouter_node::{ClientId, LinkId, Output};

/// A caller is told of the end of a call within this time if the switch could send no release
/// (PROTOCOL.md: 8 s, and 50 ms on sockets).
const MAX_RELEASE_DELAY_MS: u64 = 8050;
const STEP_MS: u64 = 10;

/// What a core switch does with one connection.
#[derive(Clone, Copy, PartialEq)]
enum Connection {
    Working,
    /// It stays open, and nothing that either side writes arrives.
    Dead,
}

/// The core switches of a harness: they answer set-ups and probes and release calls as the platform's
/// protocol says. A release goes on the connection of the set-up if that is open, otherwise on any, and is
/// repeated on the next one opened until it is confirmed.
struct Switches {
    harness: Harness,
    client: ClientId,
    outputs_read: usize,
    answer_ms: u64,
    connections: BTreeMap<LinkId, Connection>,
    /// The port of the switch that each connection ever opened leads to.
    ports: BTreeMap<LinkId, u16>,
    /// Set-ups to be answered: due time, connection, call.
    open: VecDeque<(u64, LinkId, u64)>,
    /// Calls that stand, with the connection of the set-up and whether the answer arrived.
    standing: BTreeMap<u64, (LinkId, bool)>,
    /// Calls whose release the gateway has not confirmed, with the port of their switch.
    unconfirmed: BTreeMap<u64, u16>,
    /// When each call that stood was ended by its switch.
    ended: BTreeMap<u64, u64>,
    /// The connection of the next answer dies, and the answer does not arrive.
    lose_next_answer: bool,
    /// The switches process nothing; what arrives waits.
    stalled: bool,
    /// What arrived while the switches were stalled.
    unread: Vec<(LinkId, Verb, Tag)>,
    next_call: u64,
}

impl Switches {
    fn new(switches: u16, answer_ms: u64) -> Self {
        let mut harness = Harness::new(switches);
        let client = harness.connect();
        let mut switches = Self {
            harness,
            client,
            outputs_read: 0,
            answer_ms,
            connections: BTreeMap::new(),
            ports: BTreeMap::new(),
            open: VecDeque::new(),
            standing: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            ended: BTreeMap::new(),
            lose_next_answer: false,
            stalled: false,
            unread: Vec::new(),
            next_call: 0,
        };
        switches.read_outputs();
        switches
    }

    fn set_up(&mut self) -> u64 {
        self.next_call += 1;
        self.harness.start_call(self.client, self.next_call, 3000);
        self.read_outputs();
        self.next_call
    }

    fn works(&self, link: LinkId) -> bool {
        self.connections.get(&link) == Some(&Connection::Working)
    }

    /// Processes what the gateway has written, opened and closed.
    fn read_outputs(&mut self) {
        while self.outputs_read < self.harness.outputs.len() {
            let parsed = match &self.harness.outputs[self.outputs_read].1 {
                Output::OpenLink { link, address, .. } => {
                    let (link, port) = (*link, address.port());
                    self.outputs_read += 1;
                    self.accept(link, port);
                    continue;
                }
                Output::CloseLink { link } => {
                    self.connections.remove(link);
                    None
                }
                Output::ToLink { link, line }
                | Output::SetUp { link, line, .. }
                | Output::CancelSetUp { link, line, .. } => Some((*link, parse(line).unwrap())),
                _ => None,
            };
            self.outputs_read += 1;
            if let Some((link, message)) = parsed.filter(|(link, _)| self.works(*link)) {
                self.unread.push((link, message.verb, message.tag));
            }
        }
        while !self.stalled && !self.unread.is_empty() {
            let (link, verb, tag) = self.unread.remove(0);
            self.receive(link, verb, tag);
            self.read_outputs();
        }
    }

    /// A switch accepts a connection and repeats on it the releases that are not confirmed.
    fn accept(&mut self, link: LinkId, port: u16) {
        self.connections.insert(link, Connection::Working);
        self.ports.insert(link, port);
        for (call, _) in self.unconfirmed.clone().into_iter().filter(|(_, of)| *of == port) {
            self.release_on(link, call);
        }
    }

    fn receive(&mut self, link: LinkId, verb: Verb, tag: Tag) {
        match verb {
            Verb::Start => self.open.push_back((self.harness.now_ms + self.answer_ms, link, tag.0)),
            Verb::Finish => {
                self.open.retain(|(_, _, call)| *call != tag.0);
                self.standing.remove(&tag.0);
                self.harness.switch_sends(link, &message_line("FINISHED", tag));
            }
            Verb::Finished => drop(self.unconfirmed.remove(&tag.0)),
            Verb::Echo => {
                let line = format!(r#"{{"verb":"ECHOED","tag":"{:016x}","opts":{{}},"rc":1}}"#, tag.0);
                self.harness.switch_sends(link, &line);
            }
            _ => {}
        }
    }

    fn release_on(&mut self, link: LinkId, call: u64) {
        if self.works(link) {
            self.harness.release_call(link, call, 16);
        }
    }

    /// A switch ends a call that stands.
    fn end_call(&mut self, call: u64) {
        let Some((link, answered)) = self.standing.remove(&call) else { return };
        let port = self.ports[&link];
        if answered {
            self.ended.insert(call, self.harness.now_ms);
        }
        self.unconfirmed.insert(call, port);
        let any_open = || self.connections.keys().find(|l| self.ports[l] == port).copied();
        let target = if self.connections.contains_key(&link) { Some(link) } else { any_open() };
        target.into_iter().for_each(|link| self.release_on(link, call));
        self.read_outputs();
    }

    /// Lets time pass; set-ups are answered when they are due.
    fn run(&mut self, ms: u64) {
        let end = self.harness.now_ms + ms;
        while self.harness.now_ms < end {
            self.harness.advance(STEP_MS);
            self.read_outputs();
            while let Some((due, link, call)) = self.open.front().copied().filter(|_| !self.stalled) {
                if due > self.harness.now_ms {
                    break;
                }
                self.open.pop_front();
                self.answer(link, call);
                self.read_outputs();
            }
        }
    }

    fn answer(&mut self, link: LinkId, call: u64) {
        if std::mem::take(&mut self.lose_next_answer) {
            self.connections.insert(link, Connection::Dead);
        }
        let arrives = self.works(link);
        self.standing.insert(call, (link, arrives));
        if arrives {
            self.harness.answer_call(link, call);
        }
    }

    fn is_established(&self, call: u64) -> bool {
        self.harness.messages_about(call).contains(&(Verb::Started, None))
    }

    fn dead_connection(&self) -> Option<LinkId> {
        self.connections.iter().find(|(_, c)| **c == Connection::Dead).map(|(link, _)| *link)
    }

    /// Calls whose caller was told of their end too late or never.
    fn late_releases(&self) -> Vec<u64> {
        let mut told = BTreeMap::new();
        for (at, _, message) in self.harness.sent_to_clients() {
            if message.verb == Verb::Finish {
                told.entry(message.tag.0).or_insert(at);
            }
        }
        let checked = self.ended.iter().filter(|(_, at)| **at + MAX_RELEASE_DELAY_MS <= self.harness.now_ms);
        let late = checked
            .filter(|(call, at)| told.get(call).is_none_or(|told| *told > **at + MAX_RELEASE_DELAY_MS));
        late.map(|(call, _)| *call).collect()
    }

    /// Number of connections opened and probes sent since this time.
    fn cost_since(&self, from_ms: u64) -> (usize, usize) {
        let opened = self.harness.outputs.iter();
        let opened = opened.filter(|(at, o)| *at >= from_ms && matches!(o, Output::OpenLink { .. })).count();
        let sent = self.harness.sent_to_switches();
        let probes = sent.iter().filter(|(at, _, m)| *at >= from_ms && m.verb == Verb::Echo).count();
        (opened, probes)
    }
}

fn message_line(verb: &str, tag: Tag) -> String {
    format!(r#"{{"verb":"{verb}","tag":"{:016x}","opts":{{}}}}"#, tag.0)
}

/// Guards against callers that are never told of the end of calls whose set-up went over a connection that is
/// dead while others to the same switch work.
#[test]
fn callers_are_told_in_time_of_ends_that_a_dead_connection_cannot_carry() {
    for (every_ms, answer_ms) in [(50, 120), (100, 40), (140, 120), (30, 120)] {
        let mut switches = Switches::new(2, answer_ms);
        let mut ends: Vec<(u64, u64)> = Vec::new();
        for n in 0..40_000 / every_ms {
            switches.lose_next_answer |= n * every_ms == 10_000 / every_ms * every_ms;
            let call = switches.set_up();
            // Calls stand for 1 to 20 s.
            ends.push((switches.harness.now_ms + 1000 + (n * 7919) % 19_000, call));
            switches.run(every_ms);
            let now = switches.harness.now_ms;
            ends.iter().filter(|(at, _)| *at <= now).for_each(|(_, call)| switches.end_call(*call));
            ends.retain(|(at, _)| *at > now);
        }
        switches.run(10_000);
        assert!(switches.ended.len() > 100);
        assert_eq!(
            switches.late_releases(),
            [0; 0],
            "a set-up every {every_ms} ms, answers after {answer_ms} ms"
        );
        assert_eq!(switches.dead_connection(), None, "it is closed");
        assert_eq!(switches.harness.node.counters().calls_lost, 0, "the switch is not taken for dead");
    }
}

/// A sequence of pseudo-random numbers (Knuth's linear congruential generator).
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

/// Guards against callers that are told late or never where answers get lost again and again, at any pace of
/// calls and with any number of switches.
#[test]
fn callers_are_told_in_time_although_answers_get_lost_at_random() {
    let seeds: u64 = std::env::var("DEAD_CONNECTION_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(12);
    let first: u64 = std::env::var("DEAD_CONNECTION_FIRST").ok().and_then(|n| n.parse().ok()).unwrap_or(1);
    let mut failed = Vec::new();
    for seed in first..first + seeds {
        let mut random = Random(seed);
        let (count, answer_ms) = (1 + random.below(3) as u16, 20 + random.below(200));
        let (mean_pause_ms, mean_loss_ms) = (20 + random.below(600), 3000 + random.below(12_000));
        let mut switches = Switches::new(count, answer_ms);
        let mut ends: Vec<(u64, u64)> = Vec::new();
        let mut next_loss = switches.harness.now_ms + 3000;
        let stop = switches.harness.now_ms + 45_000;
        while switches.harness.now_ms < stop {
            if switches.harness.now_ms >= next_loss {
                switches.lose_next_answer = true;
                next_loss += random.below(2 * mean_loss_ms);
            }
            let call = switches.set_up();
            ends.push((switches.harness.now_ms + 500 + random.below(25_000), call));
            switches.run(1 + random.below(2 * mean_pause_ms));
            let now = switches.harness.now_ms;
            ends.iter().filter(|(at, _)| *at <= now).for_each(|(_, call)| switches.end_call(*call));
            ends.retain(|(at, _)| *at > now);
        }
        switches.run(10_000);
        let late = switches.late_releases().len();
        if late > 0 || switches.harness.node.counters().calls_lost > 0 {
            let cost = switches.cost_since(START_MS);
            failed.push(format!("seed {seed}: {count} switches, answers after {answer_ms} ms, a set-up every {mean_pause_ms} ms, a loss every {mean_loss_ms} ms: {late} late of {}, {} lost, {cost:?}", switches.ended.len(), switches.harness.node.counters().calls_lost));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Guards against a switch that is cut off, or sent set-ups in vain, because it has forgotten its only
/// connection, on which nothing stands.
#[test]
fn switch_that_forgot_its_only_connection_is_served_again_on_another() {
    let mut switches = Switches::new(1, 40);
    let first = switches.set_up();
    switches.run(100);
    switches.end_call(first);
    switches.run(11_000);
    let (forgotten, _) = switches.connections.pop_first().expect("one connection is open");
    let since = switches.harness.now_ms;
    let mut unserved = Vec::new();
    for n in 0..60 {
        let call = switches.set_up();
        switches.run(500);
        if !switches.is_established(call) {
            unserved.push(n);
        }
        switches.end_call(call);
    }
    let sent = switches.harness.sent_to_switches();
    let in_vain =
        sent.iter().filter(|(at, link, m)| *at >= since && *link == forgotten && m.verb == Verb::Start);
    assert!(in_vain.count() <= 2, "at most two before the connection is known not to answer");
    // The first set-up is given up after 2.5 s at the most; the controller then sends one trial a second.
    assert!(unserved.iter().all(|n| *n < 12), "not served after 6 s: {unserved:?}");
    assert!(!switches.harness.links.contains_key(&forgotten), "the forgotten connection is closed");
}

/// Guards against releases and withdrawals that are lost with a dead connection, which would leave calls
/// standing at the switch.
#[test]
fn releases_written_on_a_dead_connection_are_repeated_on_another() {
    let mut switches = Switches::new(1, 40);
    let held = switches.set_up();
    switches.run(100);
    assert!(switches.is_established(held));
    switches.lose_next_answer = true;
    let lost = switches.set_up();
    switches.run(100);
    let dead = switches.dead_connection().expect("the answer was lost");
    let client = switches.client;
    switches.harness.client_sends(client, &finish_line(held, 16));
    for _ in 0..80 {
        switches.set_up();
        switches.run(100);
    }
    for call in [held, lost] {
        let releases = switches.harness.releases_sent(call);
        assert!(releases.iter().any(|(_, link)| *link != dead), "{releases:?}");
        assert!(!switches.standing.contains_key(&call), "call {call} still stands at the switch");
    }
}

/// Guards against a fleet that floods a switch which answers nowhere with connections and probes: only its
/// connections are in doubt then, not the connections' use.
#[test]
fn stalled_switch_is_sent_few_connections_and_probes_and_keeps_its_connections() {
    let mut switches = Switches::new(1, 40);
    for _ in 0..10 {
        switches.set_up();
        switches.run(200);
    }
    let (since, before) = (switches.harness.now_ms, switches.connections.len());
    switches.stalled = true;
    for _ in 0..25 {
        switches.set_up();
        switches.run(200);
    }
    let (opened, probes) = switches.cost_since(since);
    assert!(opened <= 4, "{opened} connections opened in 5 s");
    assert!(probes <= 8, "{probes} probes in 5 s");
    assert!(!switches.harness.outputs.iter().any(|(_, o)| matches!(o, Output::CloseLink { .. })));
    assert!(switches.connections.len() >= before);
    switches.stalled = false;
    switches.read_outputs();
    let resumed = switches.harness.now_ms;
    switches.run(3000);
    let call = switches.set_up();
    switches.run(500);
    assert!(switches.is_established(call), "it is served again");
    assert!(switches.cost_since(resumed).0 <= 1);
}
