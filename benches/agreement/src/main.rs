//! Compares omnipaxos and raft while links fail, in a simulation of five voters with steps of 10 ms.
//!
//! A message takes one step. From 10 s to 40 s some links are cut, each direction separately. A client
//! proposes one entry every 50 ms to the voters that claim to lead, in turn, and none while no voter does.
//! Reported for each case: the longest time in the cut without a decided entry, how many entries were decided
//! during the cut (at most 600 are proposed in it), how often the set of claimed leaders changed, the share
//! of the time in which more than one voter claimed to lead, and how long after the links were restored an
//! entry was decided.

mod omni;
mod raftd;

use std::collections::{BTreeMap, BTreeSet};

const VOTERS: u64 = 5;
const STEP_MS: u64 = 10;
/// Steps during which links are cut: from 10 s to 40 s.
const CUT_STEPS: std::ops::Range<u64> = 1_000..4_000;
/// Number of steps of a run: 60 s.
const END_STEP: u64 = 6_000;

/// A voter, implemented with either library.
trait Voter {
    type Message;
    fn tick(&mut self);
    fn step(&mut self, message: Self::Message);
    fn take_messages(&mut self) -> Vec<(u64, Self::Message)>;
    fn is_leader(&self) -> bool;
    fn propose(&mut self, entry: u64);
    fn decided(&self) -> u64;
}

/// Directed links (from, to) that are cut.
type CutLinks = BTreeSet<(u64, u64)>;

fn both_ways(a: u64, b: u64) -> [(u64, u64); 2] {
    [(a, b), (b, a)]
}

/// The cases, given the leader at the start of the cut. The followers are numbered from it in a ring.
fn cut_cases(leader: u64) -> Vec<(&'static str, CutLinks)> {
    let follower = |i: u64| (leader - 1 + i) % VOTERS + 1;
    let all = || 1..=VOTERS;
    let mut cases: Vec<(&'static str, CutLinks)> = Vec::new();
    cases.push((
        "leader is heard, hears nobody",
        all().filter(|v| *v != leader).map(|v| (v, leader)).collect(),
    ));
    cases.push((
        "leader hears, is heard by nobody",
        all().filter(|v| *v != leader).map(|v| (leader, v)).collect(),
    ));
    // All voters are linked only to one follower, so that the leader has no majority.
    let hub = follower(1);
    let links_without_hub =
        all().flat_map(|a| all().map(move |b| (a, b))).filter(|(a, b)| a != b && *a != hub && *b != hub);
    cases.push(("one follower is the only link between all", links_without_hub.collect()));
    // The leader keeps one link, to a follower that is linked to all others.
    let cut: CutLinks =
        all().filter(|v| *v != leader && *v != hub).flat_map(|v| both_ways(leader, v)).collect();
    cases.push(("leader linked to one follower only", cut));
    // Each voter receives messages from its right neighbour but not from its left one.
    cases.push(("one-way links in a ring", all().map(|v| (v, v % VOTERS + 1)).collect()));
    // Each voter is linked to its neighbours in a chain only.
    let chain = all().flat_map(|a| all().map(move |b| (a, b))).filter(|(a, b)| a.abs_diff(*b) > 1);
    cases.push(("a chain of links", chain.collect()));
    let two_links_cut: CutLinks =
        [(leader, follower(1)), (follower(2), leader), (follower(3), leader), (leader, follower(4))].into();
    cases.push(("leader: two links each way cut", two_links_cut));
    cases
}

struct Outcome {
    longest_pause_ms: u64,
    decided_in_cut: u64,
    leader_changes: u64,
    two_leaders_share: f64,
    recovery_ms: Option<u64>,
}

fn simulate<V: Voter>(make: impl Fn(u64) -> V, case: usize, flapping: bool) -> (&'static str, Outcome) {
    let mut voters: BTreeMap<u64, V> = (1..=VOTERS).map(|id| (id, make(id))).collect();
    let mut in_flight: Vec<(u64, u64, V::Message)> = Vec::new();
    let (mut cuts, mut name) = (CutLinks::new(), "");
    let (mut last, mut changes, mut most_decided, mut last_progress) = (Vec::new(), 0, 0, 0);
    let (mut pause, mut two, mut recovery) = (0, 0u64, None);
    let (mut decided_before_cut, mut decided_in_cut) = (0, 0);
    for step in 0..END_STEP {
        if step == CUT_STEPS.start {
            decided_before_cut = most_decided;
            let leader = voters.iter().filter(|(_, v)| v.is_leader()).map(|(id, _)| *id).max().unwrap_or(1);
            let (n, c) = cut_cases(leader).swap_remove(case);
            (name, cuts) = (n, c);
        }
        let is_cut = CUT_STEPS.contains(&step) && (!flapping || (step - CUT_STEPS.start) / 20 % 2 == 0);
        for (from, to, message) in std::mem::take(&mut in_flight) {
            if !(is_cut && cuts.contains(&(from, to))) {
                voters.get_mut(&to).unwrap().step(message);
            }
        }
        for v in voters.values_mut() {
            v.tick();
        }
        if step % 5 == 0 {
            // The client proposes to the voter that claims to lead, or to each in turn if several do.
            let leaders: Vec<u64> = voters.iter().filter(|(_, v)| v.is_leader()).map(|(id, _)| *id).collect();
            if let Some(id) = leaders.get((step / 5) as usize % leaders.len().max(1)) {
                voters.get_mut(id).unwrap().propose(step);
            }
            if CUT_STEPS.contains(&step) {
                changes += u64::from(step > CUT_STEPS.start && last != leaders);
                two += u64::from(leaders.len() > 1);
            }
            last = leaders;
        }
        for (id, v) in &mut voters {
            in_flight.extend(v.take_messages().into_iter().map(|(to, m)| (*id, to, m)));
        }
        let decided = voters.values().map(V::decided).max().unwrap_or(0);
        if decided > most_decided {
            (most_decided, last_progress) = (decided, step);
            if step >= CUT_STEPS.end && recovery.is_none() {
                recovery = Some((step - CUT_STEPS.end) * STEP_MS);
            }
        }
        if CUT_STEPS.contains(&step) {
            pause = pause.max(step - last_progress);
        }
        if step == CUT_STEPS.end {
            decided_in_cut = most_decided - decided_before_cut;
        }
    }
    let two = two as f64 / ((CUT_STEPS.end - CUT_STEPS.start) / 5) as f64;
    let outcome = Outcome {
        longest_pause_ms: pause * STEP_MS,
        decided_in_cut,
        leader_changes: changes,
        two_leaders_share: two,
        recovery_ms: recovery,
    };
    (name, outcome)
}

fn main() {
    println!(
        "| links cut from 10 s to 40 s | library | longest pause | decided of 600 | changes | two lead | back after |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for flapping in [false, true] {
        for case in 0..7 {
            let rows = [
                ("omnipaxos", simulate(omni::voter, case, flapping)),
                ("raft", simulate(raftd::voter, case, flapping)),
            ];
            for (library, (name, o)) in rows {
                let flaps = if flapping { ", on and off every 200 ms" } else { "" };
                let recovery = o.recovery_ms.map_or("never".into(), |ms| format!("{ms} ms"));
                println!(
                    "| {name}{flaps} | {library} | {} ms | {} | {} | {:.2} | {recovery} |",
                    o.longest_pause_ms, o.decided_in_cut, o.leader_changes, o.two_leaders_share
                );
            }
        }
    }
}
