//! Tests of the decision on set-ups.

use super::*;
use crate::rate_limiter::Rate;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn limits(pending: usize) -> ClientLimits {
    ClientLimits { weight: 1, rate: Rate::per_second(1e6, 1000), pending, calls: 1000 }
}

fn settings() -> SetUpSettings {
    SetUpSettings {
        known: limits(100),
        unknown: limits(50),
        unknown_weight: 1,
        unknown_rate: None,
        unknown_share: 1.0,
        min_routing: 4,
        routing_span: ms(100),
        max_waiting: 40,
        max_wait: ms(500),
        tracked_addresses: 100,
        retry_after: ms(1000),
        seed: 1,
    }
}

fn known(name: &str) -> ClientIdentity {
    ClientIdentity::Known(name.into())
}

fn stranger(n: u8) -> ClientIdentity {
    ClientIdentity::Unknown(IpAddr::from([127, 0, 0, n]))
}

fn refused(turn: SetUpDecision) -> Option<SetUpRefusal> {
    match turn {
        SetUpDecision::Refuse { reason, .. } => Some(reason),
        _ => None,
    }
}

/// One of the calls with which another client fills the room.
fn fill(s: &mut SetUpAdmission, call: u64) {
    assert_eq!(s.offer(ms(0), known("full"), call).0, SetUpDecision::Proceed);
}

#[test]
fn set_ups_go_on_at_once_while_there_is_room_and_wait_their_turn_beyond_it() {
    let mut s = SetUpAdmission::new(settings());
    let turns: Vec<SetUpDecision> = (0..8).map(|n| s.offer(ms(0), known("a"), n).0).collect();
    assert_eq!(turns[..4], [SetUpDecision::Proceed; 4]);
    assert_eq!(turns[4..], [SetUpDecision::Wait; 4]);
    assert_eq!(s.offer(ms(0), known("b"), 100).0, SetUpDecision::Wait);
    assert_eq!((s.next_ready(ms(1)), s.routing(), s.waiting()), (None, 4, 5));
    // Each that is sent makes room for another, and b's comes second.
    let mut order = Vec::new();
    for sent in 0..4 {
        s.set_state(ms(2), sent, CallState::AttemptSent);
        order.extend(std::iter::from_fn(|| s.next_ready(ms(2))));
    }
    assert_eq!(order, [4, 100, 5, 6], "{order:?}");
}

#[test]
fn what_may_be_held_follows_what_is_sent() {
    let mut s = SetUpAdmission::new(SetUpSettings { routing_span: ms(500), ..settings() });
    assert_eq!(s.routing_limit(), 4);
    for n in 0..2000 {
        let now = ms(10 * n);
        assert_eq!(s.offer(now, known("a"), n).0, SetUpDecision::Proceed);
        s.set_state(now, n, CallState::AttemptSent);
        s.call_ended(now, n);
    }
    assert!((50..=58).contains(&s.routing_limit()), "100 a second for half a second: {}", s.routing_limit());
}

#[test]
fn a_call_that_comes_back_from_an_attempt_is_held_again_and_never_asked_to_wait() {
    let mut s = SetUpAdmission::new(settings());
    for n in 0..4 {
        let _ = s.offer(ms(0), known("a"), n);
        s.set_state(ms(1), n, CallState::AttemptSent);
    }
    for n in 0..4 {
        s.set_state(ms(2), n, CallState::Routing);
    }
    assert_eq!(s.routing(), 4);
    s.set_state(ms(3), 0, CallState::AttemptSent);
    s.set_state(ms(4), 0, CallState::Established);
    s.call_ended(ms(5), 1);
    assert_eq!(s.routing(), 2);
    assert_eq!(s.largest(9), [(known("a"), 2, 3)]);
}

#[test]
fn each_limit_of_a_client_refuses_under_its_own_name() {
    let mut s = SetUpAdmission::new(settings());
    let own = ClientLimits { weight: 1, rate: Rate::per_second(1.0, 3), pending: 2, calls: 3 };
    s.set_clients([("small".into(), own)]);
    let offer = |s: &mut SetUpAdmission, now: u64, n: u64| refused(s.offer(ms(now), known("small"), n).0);
    assert_eq!((offer(&mut s, 0, 1), offer(&mut s, 0, 2)), (None, None));
    assert_eq!(offer(&mut s, 0, 3), Some(SetUpRefusal::Pending));
    s.set_state(ms(0), 1, CallState::Established);
    s.set_state(ms(0), 2, CallState::Established);
    assert_eq!(offer(&mut s, 0, 3), None);
    s.set_state(ms(0), 3, CallState::Established);
    assert_eq!(offer(&mut s, 0, 4), Some(SetUpRefusal::Calls));
    (1..4).for_each(|n| s.call_ended(ms(0), n));
    assert_eq!(offer(&mut s, 0, 5), Some(SetUpRefusal::Rate));
    assert_eq!(offer(&mut s, 1000, 5), None, "refusals did not use up its rate");
    assert_eq!(refused(s.offer(ms(1000), known("other"), 6).0), None);
    assert_eq!(s.refused().values().sum::<u64>(), 3);
}

#[test]
fn strangers_share_one_lane_and_divide_it_by_address() {
    let mut s = SetUpAdmission::new(settings());
    (0..4).for_each(|n| fill(&mut s, n));
    // Nine strangers and one known client, each with two that wait.
    for n in 0..9u8 {
        let _ = s.offer(ms(0), stranger(n), 100 + u64::from(n));
        let _ = s.offer(ms(0), stranger(n), 200 + u64::from(n));
    }
    let _ = s.offer(ms(0), known("a"), 1000);
    let _ = s.offer(ms(0), known("a"), 1001);
    let mut order = Vec::new();
    (0..4).for_each(|n| s.call_ended(ms(1), n));
    for _ in 0..20 {
        let Some(next) = s.next_ready(ms(1)) else { break };
        s.call_ended(ms(1), next);
        order.push(next);
    }
    assert_eq!(order[..6], [100, 1000, 101, 1001, 102, 103]);
    assert_eq!((order.len(), s.waiting(), s.routing()), (20, 0, 0));
    assert!(s.largest(9).is_empty());
}

#[test]
fn a_flood_of_strangers_cannot_take_the_places_of_a_known_client() {
    let mut s = SetUpAdmission::new(settings());
    (0..4).for_each(|n| fill(&mut s, n));
    let mut pushed = 0;
    for n in 0..500u64 {
        let (_, out) = s.offer(ms(0), stranger((n % 250) as u8), 1000 + n);
        pushed += usize::from(out.is_some());
    }
    assert_eq!((s.waiting(), pushed), (40, 0), "all of them alike: the newcomers are turned away");
    for n in 0..10 {
        let (turn, out) = s.offer(ms(0), known("a"), 5000 + n);
        assert_eq!(turn, SetUpDecision::Wait);
        assert!(out.is_some_and(|(call, _)| (1000..2000).contains(&call)), "{out:?}");
    }
    assert_eq!(s.waiting(), 40);
}

#[test]
fn what_strangers_may_have_held_leaves_room_for_known_clients() {
    let mut s = SetUpAdmission::new(SetUpSettings { min_routing: 8, unknown_share: 0.25, ..settings() });
    let turns: Vec<SetUpDecision> = (0..5).map(|n| s.offer(ms(0), stranger(n as u8), n).0).collect();
    assert_eq!(
        turns,
        [
            SetUpDecision::Proceed,
            SetUpDecision::Proceed,
            SetUpDecision::Wait,
            SetUpDecision::Wait,
            SetUpDecision::Wait
        ]
    );
    let turns: Vec<SetUpDecision> = (10..17).map(|n| s.offer(ms(0), known("a"), n).0).collect();
    assert_eq!(turns[..6], [SetUpDecision::Proceed; 6], "past the strangers that wait");
    assert_eq!(turns[6], SetUpDecision::Wait);
    s.call_ended(ms(1), 10);
    assert_eq!(
        (s.next_ready(ms(1)), s.next_ready(ms(1))),
        (Some(16), None),
        "the strangers keep their places"
    );
    s.set_state(ms(2), 0, CallState::AttemptSent);
    assert_eq!(s.next_ready(ms(2)), Some(2));
}

#[test]
fn all_strangers_together_are_held_to_their_rate_and_known_clients_are_not() {
    let rate = Rate::per_second(10.0, 5);
    let mut s =
        SetUpAdmission::new(SetUpSettings { unknown_rate: Some(rate), min_routing: 1000, ..settings() });
    let mut went = (0, 0);
    for n in 0..1000u64 {
        let now = ms(n);
        went.0 += usize::from(s.offer(now, stranger((n % 200) as u8), n).0 == SetUpDecision::Proceed);
        went.1 +=
            usize::from(n % 100 == 0 && s.offer(now, known("a"), 10_000 + n).0 == SetUpDecision::Proceed);
        s.call_ended(now, n);
        s.call_ended(now, 10_000 + n);
    }
    assert_eq!(went, (14, 10));
    assert_eq!(s.refused()[&SetUpRefusal::UnknownClientsRate], 986);
}

#[test]
fn one_that_waited_too_long_or_whose_caller_left_leaves_nothing_behind() {
    let mut s = SetUpAdmission::new(settings());
    (0..4).for_each(|n| fill(&mut s, n));
    for (n, who) in [known("a"), stranger(1), stranger(2)].into_iter().enumerate() {
        assert_eq!(s.offer(ms(0), who, 10 + n as u64).0, SetUpDecision::Wait);
    }
    s.call_ended(ms(1), 11);
    assert_eq!(s.wait_expired(ms(500), 10).and_then(refused), Some(SetUpRefusal::WaitExpired));
    assert_eq!(s.wait_expired(ms(500), 0), None, "it is not waiting");
    (0..4).for_each(|n| s.call_ended(ms(600), n));
    assert_eq!((s.next_ready(ms(600)), s.next_ready(ms(600))), (Some(12), None));
    s.call_ended(ms(700), 12);
    assert!(s.largest(9).is_empty() && s.waiting() == 0 && s.routing() == 0);
}

#[test]
fn counts_hold_in_a_long_seeded_run() {
    let mut s = SetUpAdmission::new(SetUpSettings { unknown_share: 0.5, ..settings() });
    let (mut state, mut live, mut next) = (3u64, BTreeMap::<u64, CallState>::new(), 0u64);
    let mut taken = 0u64;
    for step in 0..60_000u64 {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let (dice, now) = ((state >> 33) % 10, ms(step));
        let some = live.keys().nth((state >> 40) as usize % live.len().max(1)).copied();
        match dice {
            0..4 => {
                next += 1;
                let who = match (state >> 50) % 7 {
                    n @ 0..3 => known(["a", "b", "c"][n as usize]),
                    n => stranger(n as u8),
                };
                let (turn, pushed) = s.offer(now, who, next);
                match turn {
                    SetUpDecision::Proceed => drop(live.insert(next, CallState::Routing)),
                    SetUpDecision::Wait => drop(live.insert(next, CallState::Waiting)),
                    SetUpDecision::Refuse { .. } => {}
                }
                if let Some((call, _)) = pushed {
                    assert_eq!(live.remove(&call), Some(CallState::Waiting));
                }
            }
            4..8 => {
                if let Some(call) = some.filter(|c| live[c] != CallState::Waiting) {
                    let to = [CallState::AttemptSent, CallState::Routing, CallState::Established]
                        [(dice % 3) as usize];
                    if live[&call] != CallState::Established {
                        live.insert(call, to);
                        s.set_state(now, call, to);
                    }
                }
            }
            _ => {
                if let Some(call) = some {
                    live.remove(&call);
                    s.call_ended(now, call);
                }
            }
        }
        while let Some(call) = s.next_ready(now) {
            assert_eq!(live.insert(call, CallState::Routing), Some(CallState::Waiting));
            taken += 1;
        }
        let count = |stay| live.values().filter(|s| **s == stay).count();
        assert_eq!((s.waiting(), s.routing()), (count(CallState::Waiting), count(CallState::Routing)));
        assert!(
            s.waiting() <= 40
                && (s.waiting() == 0 || s.routing() >= s.routing_limit() || s.inner.waiting() > 0)
        );
        let strangers =
            |e: &&Entry| e.state == CallState::Routing && matches!(e.client, ClientIdentity::Unknown(_));
        assert_eq!(s.held_strangers, s.entries.values().filter(strangers).count());
        assert_eq!(
            s.inner.waiting(),
            s.entries
                .values()
                .filter(|e| {
                    e.state == CallState::Waiting && matches!(e.client, ClientIdentity::Unknown(_))
                })
                .count()
        );
    }
    assert!(taken > 100, "{taken}");
    live.keys().for_each(|call| s.call_ended(ms(60_000), *call));
    assert!(s.holders.is_empty() && s.entries.is_empty() && s.waiting() == 0 && s.routing() == 0);
}
