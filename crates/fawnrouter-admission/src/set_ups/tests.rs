//! Unit tests of set-up admission.

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

fn unknown(n: u8) -> ClientIdentity {
    ClientIdentity::Unknown(IpAddr::from([127, 0, 0, n]))
}

fn refusal(decision: SetUpDecision) -> Option<SetUpRefusal> {
    match decision {
        SetUpDecision::Refuse { reason, .. } => Some(reason),
        _ => None,
    }
}

/// A call of another client, which takes one place in routing.
fn fill_routing(admission: &mut SetUpAdmission, call: u64) {
    assert_eq!(admission.offer(ms(0), known("full"), call).0, SetUpDecision::Proceed);
}

#[test]
fn set_ups_proceed_at_once_while_routing_has_room_and_wait_beyond_that() {
    let mut admission = SetUpAdmission::new(settings());
    let decisions: Vec<SetUpDecision> = (0..8).map(|n| admission.offer(ms(0), known("a"), n).0).collect();
    assert_eq!(decisions[..4], [SetUpDecision::Proceed; 4]);
    assert_eq!(decisions[4..], [SetUpDecision::Wait; 4]);
    assert_eq!(admission.offer(ms(0), known("b"), 100).0, SetUpDecision::Wait);
    assert_eq!((admission.next_ready(ms(1)), admission.in_routing(), admission.waiting()), (None, 4, 5));
    // Each set-up that is sent makes room for another one. The call of "b" is second in turn.
    let mut order = Vec::new();
    for sent in 0..4 {
        admission.set_state(ms(2), sent, CallState::AttemptSent);
        order.extend(std::iter::from_fn(|| admission.next_ready(ms(2))));
    }
    assert_eq!(order, [4, 100, 5, 6], "{order:?}");
}

#[test]
fn the_routing_limit_follows_the_send_rate() {
    let mut admission = SetUpAdmission::new(SetUpSettings { routing_span: ms(500), ..settings() });
    assert_eq!(admission.routing_limit(), 4);
    for n in 0..2000 {
        let now = ms(10 * n);
        assert_eq!(admission.offer(now, known("a"), n).0, SetUpDecision::Proceed);
        admission.set_state(now, n, CallState::AttemptSent);
        admission.call_ended(now, n);
    }
    assert!(
        (50..=58).contains(&admission.routing_limit()),
        "100 a second for half a second: {}",
        admission.routing_limit()
    );
}

#[test]
fn a_call_returns_to_routing_after_a_failed_attempt_without_waiting() {
    let mut admission = SetUpAdmission::new(settings());
    for n in 0..4 {
        let _ = admission.offer(ms(0), known("a"), n);
        admission.set_state(ms(1), n, CallState::AttemptSent);
    }
    for n in 0..4 {
        admission.set_state(ms(2), n, CallState::Routing);
    }
    assert_eq!(admission.in_routing(), 4);
    admission.set_state(ms(3), 0, CallState::AttemptSent);
    admission.set_state(ms(4), 0, CallState::Established);
    admission.call_ended(ms(5), 1);
    assert_eq!(admission.in_routing(), 2);
    assert_eq!(admission.largest(9), [(known("a"), 2, 3)]);
}

#[test]
fn each_limit_of_a_client_has_its_own_refusal_reason() {
    let mut admission = SetUpAdmission::new(settings());
    let own = ClientLimits { weight: 1, rate: Rate::per_second(1.0, 3), pending: 2, calls: 3 };
    admission.set_clients([("small".into(), own)]);
    let offer = |admission: &mut SetUpAdmission, now: u64, n: u64| {
        refusal(admission.offer(ms(now), known("small"), n).0)
    };
    assert_eq!((offer(&mut admission, 0, 1), offer(&mut admission, 0, 2)), (None, None));
    assert_eq!(offer(&mut admission, 0, 3), Some(SetUpRefusal::PendingLimit));
    admission.set_state(ms(0), 1, CallState::Established);
    admission.set_state(ms(0), 2, CallState::Established);
    assert_eq!(offer(&mut admission, 0, 3), None);
    admission.set_state(ms(0), 3, CallState::Established);
    assert_eq!(offer(&mut admission, 0, 4), Some(SetUpRefusal::CallLimit));
    (1..4).for_each(|n| admission.call_ended(ms(0), n));
    assert_eq!(offer(&mut admission, 0, 5), Some(SetUpRefusal::Rate));
    assert_eq!(offer(&mut admission, 1000, 5), None, "refusals did not use up its rate");
    assert_eq!(refusal(admission.offer(ms(1000), known("other"), 6).0), None);
    assert_eq!(admission.refused().values().sum::<u64>(), 3);
}

#[test]
fn unknown_clients_share_one_queue_and_take_turns_by_address() {
    let mut admission = SetUpAdmission::new(settings());
    (0..4).for_each(|n| fill_routing(&mut admission, n));
    // Nine unknown clients and one known client, each with two waiting set-ups.
    for n in 0..9u8 {
        let _ = admission.offer(ms(0), unknown(n), 100 + u64::from(n));
        let _ = admission.offer(ms(0), unknown(n), 200 + u64::from(n));
    }
    let _ = admission.offer(ms(0), known("a"), 1000);
    let _ = admission.offer(ms(0), known("a"), 1001);
    let mut order = Vec::new();
    (0..4).for_each(|n| admission.call_ended(ms(1), n));
    for _ in 0..20 {
        let Some(next) = admission.next_ready(ms(1)) else { break };
        admission.call_ended(ms(1), next);
        order.push(next);
    }
    assert_eq!(order[..6], [100, 1000, 101, 1001, 102, 103]);
    assert_eq!((order.len(), admission.waiting(), admission.in_routing()), (20, 0, 0));
    assert!(admission.largest(9).is_empty());
}

#[test]
fn a_flood_of_unknown_clients_does_not_displace_a_known_client() {
    let mut admission = SetUpAdmission::new(settings());
    (0..4).for_each(|n| fill_routing(&mut admission, n));
    let mut displaced = 0;
    for n in 0..500u64 {
        let (_, other) = admission.offer(ms(0), unknown((n % 250) as u8), 1000 + n);
        displaced += usize::from(other.is_some());
    }
    assert_eq!((admission.waiting(), displaced), (40, 0), "all hold the same: later set-ups are refused");
    for n in 0..10 {
        let (decision, other) = admission.offer(ms(0), known("a"), 5000 + n);
        assert_eq!(decision, SetUpDecision::Wait);
        assert!(other.is_some_and(|(call, _)| (1000..2000).contains(&call)), "{other:?}");
    }
    assert_eq!(admission.waiting(), 40);
}

#[test]
fn the_routing_share_of_unknown_clients_leaves_room_for_known_clients() {
    let mut admission =
        SetUpAdmission::new(SetUpSettings { min_routing: 8, unknown_share: 0.25, ..settings() });
    let decisions: Vec<SetUpDecision> =
        (0..5).map(|n| admission.offer(ms(0), unknown(n as u8), n).0).collect();
    assert_eq!(
        decisions,
        [
            SetUpDecision::Proceed,
            SetUpDecision::Proceed,
            SetUpDecision::Wait,
            SetUpDecision::Wait,
            SetUpDecision::Wait
        ]
    );
    let decisions: Vec<SetUpDecision> = (10..17).map(|n| admission.offer(ms(0), known("a"), n).0).collect();
    assert_eq!(decisions[..6], [SetUpDecision::Proceed; 6], "known clients pass waiting unknown ones");
    assert_eq!(decisions[6], SetUpDecision::Wait);
    admission.call_ended(ms(1), 10);
    assert_eq!(
        (admission.next_ready(ms(1)), admission.next_ready(ms(1))),
        (Some(16), None),
        "unknown clients keep waiting in the queue"
    );
    admission.set_state(ms(2), 0, CallState::AttemptSent);
    assert_eq!(admission.next_ready(ms(2)), Some(2));
}

#[test]
fn the_common_rate_of_unknown_clients_does_not_limit_known_clients() {
    let rate = Rate::per_second(10.0, 5);
    let mut admission =
        SetUpAdmission::new(SetUpSettings { unknown_rate: Some(rate), min_routing: 1000, ..settings() });
    let mut proceeded = (0, 0);
    for n in 0..1000u64 {
        let now = ms(n);
        proceeded.0 +=
            usize::from(admission.offer(now, unknown((n % 200) as u8), n).0 == SetUpDecision::Proceed);
        proceeded.1 += usize::from(
            n % 100 == 0 && admission.offer(now, known("a"), 10_000 + n).0 == SetUpDecision::Proceed,
        );
        admission.call_ended(now, n);
        admission.call_ended(now, 10_000 + n);
    }
    assert_eq!(proceeded, (14, 10));
    assert_eq!(admission.refused()[&SetUpRefusal::UnknownClientsRate], 986);
}

#[test]
fn expired_and_cancelled_waiting_calls_leave_no_state_behind() {
    let mut admission = SetUpAdmission::new(settings());
    (0..4).for_each(|n| fill_routing(&mut admission, n));
    for (n, client) in [known("a"), unknown(1), unknown(2)].into_iter().enumerate() {
        assert_eq!(admission.offer(ms(0), client, 10 + n as u64).0, SetUpDecision::Wait);
    }
    admission.call_ended(ms(1), 11);
    assert_eq!(admission.wait_expired(ms(500), 10).and_then(refusal), Some(SetUpRefusal::WaitExpired));
    assert_eq!(admission.wait_expired(ms(500), 0), None, "it is not waiting");
    (0..4).for_each(|n| admission.call_ended(ms(600), n));
    assert_eq!((admission.next_ready(ms(600)), admission.next_ready(ms(600))), (Some(12), None));
    admission.call_ended(ms(700), 12);
    assert!(admission.largest(9).is_empty() && admission.waiting() == 0 && admission.in_routing() == 0);
}

#[test]
fn counts_stay_consistent_in_a_long_random_run() {
    let mut admission = SetUpAdmission::new(SetUpSettings { unknown_share: 0.5, ..settings() });
    let (mut state, mut live, mut next) = (3u64, BTreeMap::<u64, CallState>::new(), 0u64);
    let mut dequeued = 0u64;
    for step in 0..60_000u64 {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let (choice, now) = ((state >> 33) % 10, ms(step));
        let chosen = live.keys().nth((state >> 40) as usize % live.len().max(1)).copied();
        match choice {
            0..4 => {
                next += 1;
                let client = match (state >> 50) % 7 {
                    n @ 0..3 => known(["a", "b", "c"][n as usize]),
                    n => unknown(n as u8),
                };
                let (decision, displaced) = admission.offer(now, client, next);
                match decision {
                    SetUpDecision::Proceed => drop(live.insert(next, CallState::Routing)),
                    SetUpDecision::Wait => drop(live.insert(next, CallState::Waiting)),
                    SetUpDecision::Refuse { .. } => {}
                }
                if let Some((call, _)) = displaced {
                    assert_eq!(live.remove(&call), Some(CallState::Waiting));
                }
            }
            4..8 => {
                if let Some(call) = chosen.filter(|c| live[c] != CallState::Waiting) {
                    let new_state = [CallState::AttemptSent, CallState::Routing, CallState::Established]
                        [(choice % 3) as usize];
                    if live[&call] != CallState::Established {
                        live.insert(call, new_state);
                        admission.set_state(now, call, new_state);
                    }
                }
            }
            _ => {
                if let Some(call) = chosen {
                    live.remove(&call);
                    admission.call_ended(now, call);
                }
            }
        }
        while let Some(call) = admission.next_ready(now) {
            assert_eq!(live.insert(call, CallState::Routing), Some(CallState::Waiting));
            dequeued += 1;
        }
        let count = |state| live.values().filter(|s| **s == state).count();
        assert_eq!(
            (admission.waiting(), admission.in_routing()),
            (count(CallState::Waiting), count(CallState::Routing))
        );
        assert!(
            admission.waiting() <= 40
                && (admission.waiting() == 0
                    || admission.in_routing() >= admission.routing_limit()
                    || admission.unknown_queue.waiting() > 0)
        );
        let unknown_in_routing =
            |c: &&Call| c.state == CallState::Routing && matches!(c.client, ClientIdentity::Unknown(_));
        assert_eq!(admission.in_routing_unknown, admission.calls.values().filter(unknown_in_routing).count());
        assert_eq!(
            admission.unknown_queue.waiting(),
            admission
                .calls
                .values()
                .filter(|c| {
                    c.state == CallState::Waiting && matches!(c.client, ClientIdentity::Unknown(_))
                })
                .count()
        );
    }
    assert!(dequeued > 100, "{dequeued}");
    live.keys().for_each(|call| admission.call_ended(ms(60_000), *call));
    assert!(
        admission.usage.is_empty()
            && admission.calls.is_empty()
            && admission.waiting() == 0
            && admission.in_routing() == 0
    );
}
