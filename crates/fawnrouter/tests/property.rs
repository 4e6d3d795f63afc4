//! Random but legal sequences of events, fixed seeds: rules 1, 2, 3 and 5 and the limit on attempts hold.
mod common;

use std::collections::BTreeMap;

use common::*;
use fawnrouter::*;
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

#[derive(Debug, Default)]
struct Seen {
    deadline: Time,
    attempts: u32,
    out: Option<(AttemptNo, ServerId)>,
    stands: bool,
    ended: bool,
    released: Time,
}

struct World {
    gateway: Gateway,
    rng: ChaCha8Rng,
    calls: BTreeMap<CallId, Seen>,
    drained: BTreeMap<ServerId, Time>,
}

impl World {
    fn below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n
    }

    fn check(&mut self, done: &[(Time, Action)]) {
        for (now, action) in done {
            match action {
                Action::Issue { call, server, within } => {
                    let c = self.calls.get_mut(call).expect("a call that was given");
                    assert!(!c.ended && !c.stands, "issued after its end: {call:?}");
                    assert_eq!(c.out, None, "two attempts out: {call:?}");
                    assert!(*now >= c.released, "the release was not awaited: {call:?}");
                    assert!(now.plus(*within) <= c.deadline, "longer than its time: {call:?}");
                    let told = self.drained.get(server);
                    assert!(told.is_none(), "sent to a draining server, told {told:?}");
                    c.out = Some((AttemptNo(c.attempts), *server));
                    c.attempts += 1;
                    assert!(c.attempts <= 3, "too many attempts: {call:?}");
                }
                Action::Refuse { call, .. } | Action::Fail(call) => {
                    let c = self.calls.get_mut(call).expect("a call that was given");
                    assert!(!c.ended && !c.stands, "a second final answer: {call:?}");
                    assert!(*now <= c.deadline, "too late an answer: {call:?}");
                    c.ended = true;
                }
                _ => {}
            }
        }
    }

    fn tell(&mut self, event: Event) {
        let now = self.gateway.now;
        let done: Vec<_> = self.gateway.tell(event).into_iter().map(|a| (now, a)).collect();
        self.check(&done);
    }

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

    fn step(&mut self, next: u64) {
        match self.below(10) {
            0..=3 => {
                let left = ms(self.below(3500));
                let cell = u32::try_from(self.below(4)).unwrap();
                let class = usize::try_from(self.below(2)).unwrap();
                let new = NewCall { time_left: left, ..call(next, class, cell) };
                let seen = Seen { deadline: self.gateway.now.plus(left), ..Seen::default() };
                self.calls.insert(new.id, seen);
                self.tell(Event::Call(new));
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
                if !c.stands && !c.ended && self.rng.next_u64() & 1 == 0 {
                    c.stands = true;
                    self.tell(Event::Established { call: id, attempt, server, took: ms(60) });
                    return;
                }
                c.out = None;
                let over = c.stands || c.ended;
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
                self.tell(event.clone());
                self.tell(event); // the same once more: it changes nothing
            }
            8 => {
                let id = 70 + u32::try_from(self.below(4)).unwrap();
                let up = self.drained.remove(&ServerId(id)).is_some();
                let state = if up { ServerState::Ready } else { ServerState::Draining };
                if !up {
                    self.drained.insert(ServerId(id), self.gateway.now);
                }
                let entries = vec![entry(id, state)];
                self.tell(Event::List { kind: ListKind::Changes, entries });
            }
            _ => {
                let lapsing = CallId(self.below(next + 5));
                if let Some(c) = self.calls.get_mut(&lapsing).filter(|c| !c.stands) {
                    c.ended = true;
                }
                if self.calls.get(&lapsing).is_none_or(|c| c.ended) {
                    self.tell(Event::Abandoned(lapsing));
                }
            }
        }
    }
}

#[test]
fn rules_hold_over_random_legal_events() {
    for seed in 0..12 {
        let mut gateway = Gateway::with_servers(settings(), 4);
        gateway.pass(ms(100));
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World { gateway, rng, calls: BTreeMap::new(), drained: BTreeMap::new() };
        for next in 0..1500 {
            world.step(next);
            let span = ms(world.below(60));
            let done = world.gateway.pass(span);
            world.check(&done);
        }
        let done = world.gateway.pass(ms(5000));
        world.check(&done);
        for (id, c) in &world.calls {
            assert!(c.ended || c.stands, "no answer for {id:?}: {c:?}");
        }
        let stood = world.calls.values().filter(|c| c.stands).count();
        assert!(stood > 30, "only {stood} calls stood");
    }
}

#[test]
fn the_same_seed_and_events_give_the_same_actions() {
    let day = |seed| {
        let mut gateway = Gateway::with_servers(settings(), 4);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut all = Vec::new();
        for id in 0..300 {
            let cell = u32::try_from(rng.next_u64() % 6).unwrap();
            all.extend(gateway.tell(Event::Call(call(id, 0, cell))));
            all.extend(gateway.pass(ms(rng.next_u64() % 80)).into_iter().map(|(_, a)| a));
        }
        all
    };
    assert_eq!(day(3), day(3));
    assert!(issued(&day(3)).len() > 3);
}
