//! Random but valid sequences of events from fixed seeds. Checked for every call: one final answer in time,
//! one attempt at a time, no set-up to a draining server, the release guard, and the limit on attempts.
mod common;

use std::collections::BTreeMap;

use common::*;
use fawnrouter::*;
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

#[derive(Debug, Default)]
struct CallState {
    deadline: Time,
    attempts: u32,
    out: Option<(AttemptNo, ServerId)>,
    established: bool,
    ended: bool,
    /// No further attempt before this time.
    released: Time,
}

struct World {
    gateway: Gateway,
    rng: ChaCha8Rng,
    calls: BTreeMap<CallId, CallState>,
    /// Draining servers, with the time of the list that said so.
    draining: BTreeMap<ServerId, Time>,
}

impl World {
    /// A random number below `n`.
    fn below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n
    }

    /// Checks the actions against the rules and keeps the calls' states.
    fn check(&mut self, done: &[(Time, Action)]) {
        for (now, action) in done {
            match action {
                Action::Issue { call, server, within } => {
                    let c = self.calls.get_mut(call).expect("a known call");
                    assert!(!c.ended && !c.established, "issued after its final answer or set-up: {call:?}");
                    assert_eq!(c.out, None, "two attempts at a time: {call:?}");
                    assert!(*now >= c.released, "issued within the release guard: {call:?}");
                    assert!(now.plus(*within) <= c.deadline, "time-out after the call's deadline: {call:?}");
                    let draining_since = self.draining.get(server);
                    assert!(
                        draining_since.is_none(),
                        "sent to a server that drains since {draining_since:?}"
                    );
                    c.out = Some((AttemptNo(c.attempts), *server));
                    c.attempts += 1;
                    assert!(c.attempts <= 3, "too many attempts: {call:?}");
                }
                Action::Refuse { call, .. } | Action::Fail(call) => {
                    let c = self.calls.get_mut(call).expect("a known call");
                    assert!(!c.ended && !c.established, "a second final answer: {call:?}");
                    assert!(*now <= c.deadline, "final answer after the deadline: {call:?}");
                    c.ended = true;
                }
                _ => {}
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.gateway.now;
        let done: Vec<_> = self.gateway.handle(event).into_iter().map(|a| (now, a)).collect();
        self.check(&done);
    }

    /// A random outcome other than a normal end.
    fn outcome(&mut self) -> (Outcome, OutcomeDetail) {
        match self.below(6) {
            0 => (Outcome::Full, OutcomeDetail::ProcessorFull(Some(ms(self.below(3000))))),
            1 => (Outcome::Full, OutcomeDetail::NoCircuit),
            2 => (Outcome::TimedOut, OutcomeDetail::None),
            3 => (Outcome::Reset, OutcomeDetail::None),
            4 => (Outcome::ConnectFailed, OutcomeDetail::None),
            _ => (
                Outcome::Error,
                if self.rng.next_u64() & 1 == 0 { OutcomeDetail::NumberBusy } else { OutcomeDetail::None },
            ),
        }
    }

    /// One random event; a new call gets the id `next`.
    fn step(&mut self, next: u64) {
        match self.below(10) {
            0..=3 => {
                let left = ms(self.below(3500));
                let cell = u32::try_from(self.below(4)).unwrap();
                let class = usize::try_from(self.below(2)).unwrap();
                let new = NewCall { time_left: left, ..call(next, class, cell) };
                let state = CallState { deadline: self.gateway.now.plus(left), ..CallState::default() };
                self.calls.insert(new.id, state);
                self.handle(Event::Call(new));
            }
            4..=7 => {
                let out: Vec<_> =
                    self.calls.iter().filter(|(_, c)| c.out.is_some()).map(|(id, _)| *id).collect();
                if out.is_empty() {
                    return;
                }
                let id = out[usize::try_from(self.below(out.len() as u64)).unwrap()];
                let c = self.calls.get_mut(&id).unwrap();
                let (attempt, server) = c.out.unwrap();
                if !c.established && !c.ended && self.rng.next_u64() & 1 == 0 {
                    c.established = true;
                    self.handle(Event::Established { call: id, attempt, server, took: ms(60) });
                    return;
                }
                c.out = None;
                let over = c.established || c.ended;
                let (outcome, detail) =
                    if over { (Outcome::Ended, OutcomeDetail::None) } else { self.outcome() };
                let now = self.gateway.now;
                let c = self.calls.get_mut(&id).unwrap();
                c.ended |= over;
                if outcome.needs_release() {
                    c.released = now.plus(ms(300));
                }
                let (report, took) = (LoadReport::default(), ms(60));
                let event =
                    Event::Closed { call: id, attempt, server, done: over, outcome, detail, took, report };
                self.handle(event.clone());
                self.handle(event); // repeated: it must change nothing
            }
            8 => {
                let id = 70 + u32::try_from(self.below(4)).unwrap();
                let up = self.draining.remove(&ServerId(id)).is_some();
                let state = if up { ServerState::Ready } else { ServerState::Draining };
                if !up {
                    self.draining.insert(ServerId(id), self.gateway.now);
                }
                let entries = vec![entry(id, state)];
                self.handle(Event::List { kind: ListKind::Changes, entries });
            }
            _ => {
                let abandoned = CallId(self.below(next + 5));
                if let Some(c) = self.calls.get_mut(&abandoned).filter(|c| !c.established) {
                    c.ended = true;
                }
                if self.calls.get(&abandoned).is_none_or(|c| c.ended) {
                    self.handle(Event::Abandoned(abandoned));
                }
            }
        }
    }
}

#[test]
fn rules_hold_for_random_valid_events() {
    for seed in 0..12 {
        let mut gateway = Gateway::with_servers(settings(), 4);
        gateway.advance(ms(100));
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World { gateway, rng, calls: BTreeMap::new(), draining: BTreeMap::new() };
        for next in 0..1500 {
            world.step(next);
            let span = ms(world.below(60));
            let done = world.gateway.advance(span);
            world.check(&done);
        }
        let done = world.gateway.advance(ms(5000));
        world.check(&done);
        for (id, c) in &world.calls {
            assert!(c.ended || c.established, "no final answer for {id:?}: {c:?}");
        }
        let established = world.calls.values().filter(|c| c.established).count();
        assert!(established > 30, "only {established} calls were established");
    }
}

#[test]
fn same_seed_and_events_give_the_same_actions() {
    let run_day = |seed| {
        let mut gateway = Gateway::with_servers(settings(), 4);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut all = Vec::new();
        for id in 0..300 {
            let cell = u32::try_from(rng.next_u64() % 6).unwrap();
            all.extend(gateway.handle(Event::Call(call(id, 0, cell))));
            all.extend(gateway.advance(ms(rng.next_u64() % 80)).into_iter().map(|(_, a)| a));
        }
        all
    };
    assert_eq!(run_day(3), run_day(3));
    assert!(issued(&run_day(3)).len() > 3);
}
