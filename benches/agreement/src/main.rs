//! Five voters in steps of 10 ms, a message takes one step. From 10 s to 40 s some links are cut, each way by itself. A
//! client offers one entry every 50 ms to those who say that they lead, in turn. Reported for each case: the longest time in
//! the cut without a decided entry, how many entries were decided of those offered in it, how often those who say that they
//! lead changed, the share of the time in which two say so, and how long after the links were mended an entry was decided.
mod omni;
mod raftd;

use std::collections::{BTreeMap, BTreeSet};

const VOTERS: u64 = 5;
const STEP_MS: u64 = 10;
const CUT: std::ops::Range<u64> = 1_000..4_000;
const END: u64 = 6_000;

/// One voter of either library.
trait Voter {
    type Message;
    fn tick(&mut self);
    fn step(&mut self, message: Self::Message);
    fn out(&mut self) -> Vec<(u64, Self::Message)>;
    fn leads(&self) -> bool;
    fn offer(&mut self, entry: u64);
    fn decided(&self) -> u64;
}

/// Directed links that are cut.
type Cuts = BTreeSet<(u64, u64)>;

fn both(a: u64, b: u64) -> [(u64, u64); 2] {
    [(a, b), (b, a)]
}

/// The cases, given who leads when the cut begins. Others follow it in a ring.
fn cases(leader: u64) -> Vec<(&'static str, Cuts)> {
    let other = |i: u64| (leader - 1 + i) % VOTERS + 1;
    let all = || 1..=VOTERS;
    let mut cases: Vec<(&'static str, Cuts)> = Vec::new();
    cases.push((
        "leader is heard, hears nobody",
        all().filter(|v| *v != leader).map(|v| (v, leader)).collect(),
    ));
    cases.push((
        "leader hears, is heard by nobody",
        all().filter(|v| *v != leader).map(|v| (leader, v)).collect(),
    ));
    // All are linked to one of the followers alone, which keeps no majority for the leader.
    let hub = other(1);
    let spokes =
        all().flat_map(|a| all().map(move |b| (a, b))).filter(|(a, b)| a != b && *a != hub && *b != hub);
    cases.push(("one follower is the only link between all", spokes.collect()));
    // The leader keeps one link, to a follower that is linked to all.
    let cut: Cuts = all().filter(|v| *v != leader && *v != hub).flat_map(|v| both(leader, v)).collect();
    cases.push(("leader linked to one follower only", cut));
    // Each hears its right neighbour but not its left one.
    cases.push(("one-way links in a ring", all().map(|v| (v, v % VOTERS + 1)).collect()));
    // A chain: each is linked to its neighbours only.
    let chain = all().flat_map(|a| all().map(move |b| (a, b))).filter(|(a, b)| a.abs_diff(*b) > 1);
    cases.push(("a chain of links", chain.collect()));
    let half: Cuts = [(leader, other(1)), (other(2), leader), (other(3), leader), (leader, other(4))].into();
    cases.push(("leader: two links each way cut", half));
    cases
}

struct Outcome {
    pause_ms: u64,
    decided: u64,
    changes: u64,
    two: f64,
    back_ms: Option<u64>,
}

fn play<V: Voter>(make: impl Fn(u64) -> V, case: usize, flap: bool) -> (&'static str, Outcome) {
    let mut voters: BTreeMap<u64, V> = (1..=VOTERS).map(|id| (id, make(id))).collect();
    let mut wire: Vec<(u64, u64, V::Message)> = Vec::new();
    let (mut cuts, mut name) = (Cuts::new(), "");
    let (mut last, mut changes, mut best, mut last_progress) = (Vec::new(), 0, 0, 0);
    let (mut pause, mut two, mut start, mut back) = (0, 0u64, 0, None);
    for step in 0..END {
        if step == CUT.start {
            start = best;
            let leader = voters.iter().filter(|(_, v)| v.leads()).map(|(id, _)| *id).max().unwrap_or(1);
            let (n, c) = cases(leader).swap_remove(case);
            (name, cuts) = (n, c);
        }
        let is_cut = CUT.contains(&step) && (!flap || (step - CUT.start) / 20 % 2 == 0);
        for (from, to, message) in std::mem::take(&mut wire) {
            if !(is_cut && cuts.contains(&(from, to))) {
                voters.get_mut(&to).unwrap().step(message);
            }
        }
        for v in voters.values_mut() {
            v.tick();
        }
        if step % 5 == 0 {
            // The client keeps to the one that says that it leads; where two say so it goes to each in turn.
            let leads: Vec<u64> = voters.iter().filter(|(_, v)| v.leads()).map(|(id, _)| *id).collect();
            if let Some(id) = leads.get((step / 5) as usize % leads.len().max(1)) {
                voters.get_mut(id).unwrap().offer(step);
            }
            if CUT.contains(&step) {
                changes += u64::from(step > CUT.start && last != leads);
                two += u64::from(leads.len() > 1);
            }
            last = leads;
        }
        for (id, v) in &mut voters {
            wire.extend(v.out().into_iter().map(|(to, m)| (*id, to, m)));
        }
        let decided = voters.values().map(V::decided).max().unwrap_or(0);
        if decided > best {
            (best, last_progress) = (decided, step);
            if step >= CUT.end && back.is_none() {
                back = Some((step - CUT.end) * STEP_MS);
            }
        }
        if CUT.contains(&step) {
            pause = pause.max(step - last_progress);
        }
        if step == CUT.end {
            start = best - start;
        }
    }
    let two = two as f64 / ((CUT.end - CUT.start) / 5) as f64;
    (name, Outcome { pause_ms: pause * STEP_MS, decided: start, changes, two, back_ms: back })
}

fn main() {
    println!(
        "| links cut from 10 s to 40 s | library | longest pause | decided of 600 | changes | two lead | back after |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for flap in [false, true] {
        for case in 0..7 {
            let rows =
                [("omnipaxos", play(omni::voter, case, flap)), ("raft", play(raftd::voter, case, flap))];
            for (library, (name, o)) in rows {
                let flaps = if flap { ", on and off every 200 ms" } else { "" };
                let back = o.back_ms.map_or("never".into(), |ms| format!("{ms} ms"));
                println!(
                    "| {name}{flaps} | {library} | {} ms | {} | {} | {:.2} | {back} |",
                    o.pause_ms, o.decided, o.changes, o.two
                );
            }
        }
    }
}
