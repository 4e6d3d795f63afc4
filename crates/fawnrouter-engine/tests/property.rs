//! Property tests: in any order of calls, responses, connection losses and lists the rules on attempts and
//! answers hold, and no call, leg or timer is left over.

mod common;

use std::collections::BTreeMap;

use common::*;
use fawnrouter_engine::admission::{ClientLimits, Rate, SetUpSettings};
use fawnrouter_engine::fawnrouter::{ListKind, ServerId, ServerState, Time};
use fawnrouter_engine::sip::{Message, Method, Name};
use fawnrouter_engine::{EngineSettings, Input};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Op {
    /// A new call with this `Expires`, in seconds.
    Call(u64),
    /// The caller cancels a call.
    Cancel(usize),
    /// The caller acknowledges the final answer of a call.
    Ack(usize),
    /// The caller releases a call.
    Bye(usize),
    /// A switch answers an INVITE with this status; counted from the latest INVITE.
    Answer(usize, u16),
    /// The connection to a switch is lost.
    Down(u32),
    /// A switch refuses connections from now on, or accepts them again.
    Refuse(u32, bool),
    /// A new list: bits 0 to 2 list switches 70 to 72, bits 3 to 5 mark them as draining.
    List(u8),
    /// The client disconnects.
    Disconnect,
    /// Time passes, in milliseconds.
    Advance(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let status = prop::sample::select(vec![
        100u16, 180, 180, 200, 200, 200, 302, 404, 408, 486, 487, 500, 503, 503, 600,
    ]);
    prop_oneof![
        6 => (0u64..6).prop_map(Op::Call),
        1 => (0usize..40).prop_map(Op::Cancel),
        3 => (0usize..40).prop_map(Op::Ack),
        2 => (0usize..40).prop_map(Op::Bye),
        8 => ((0usize..40), status).prop_map(|(n, s)| Op::Answer(n, s)),
        1 => (70u32..73).prop_map(Op::Down),
        1 => ((70u32..73), any::<bool>()).prop_map(|(s, on)| Op::Refuse(s, on)),
        1 => any::<u8>().prop_map(Op::List),
        1 => Just(Op::Disconnect),
        6 => (0u64..1500).prop_map(Op::Advance),
    ]
}

/// An attempt as it was sent.
struct Attempt {
    server: ServerId,
    sent_at: Time,
    /// Its time-out in milliseconds, as the INVITE states it.
    within_ms: u64,
    /// When it ended, and whether the release guard counts from then.
    end: Option<(Time, bool)>,
}

/// Checks the messages of the engine against the rules.
#[derive(Default)]
struct RuleChecker {
    /// Attempts by session, with the branch of each.
    attempts: BTreeMap<String, Vec<(String, Attempt)>>,
    /// Final statuses by the caller's Call-ID.
    finals: BTreeMap<String, Vec<u16>>,
    /// Switches that are draining or off the list.
    not_ready: BTreeMap<ServerId, Time>,
}

impl RuleChecker {
    /// Checks what was sent from this index on.
    fn check(&mut self, rig: &Rig, from: usize) {
        for (sent, at) in rig.sent.iter().zip(&rig.times).skip(from) {
            match sent {
                Sent::Client(_, m) if m.cseq().is_ok_and(|c| c.method == "INVITE") => {
                    let Some(status) = m.status() else { continue };
                    let finals = self.finals.entry(m.get(Name::CallId).unwrap().to_owned()).or_default();
                    assert!(finals.is_empty(), "{status} after the final answer {finals:?}");
                    if status >= 200 {
                        finals.push(status);
                    }
                }
                Sent::Trunk(server, m) if m.method() == Some(Method::Invite) => {
                    assert!(!self.not_ready.contains_key(server), "sent to a switch that is not ready");
                    let session = m.get(Name::SessionId).unwrap().to_owned();
                    for (_, earlier) in self.attempts.get(&session).into_iter().flatten() {
                        let timed_out = earlier.sent_at.plus(ms(earlier.within_ms));
                        let (end, guarded) = earlier.end.unwrap_or((timed_out, true));
                        assert!(end <= *at, "two attempts at once");
                        assert!(
                            !guarded || at.since(end) >= ms(300),
                            "next attempt within the guard: {:?}",
                            at.since(end)
                        );
                    }
                    let via = m.via().unwrap();
                    let within_ms = via.params.get("fr-within").unwrap().parse().unwrap();
                    let attempt = Attempt { server: *server, sent_at: *at, within_ms, end: None };
                    let branch = via.branch().unwrap().to_owned();
                    self.attempts.entry(session).or_default().push((branch, attempt));
                }
                Sent::Trunk(_, m) if m.method() == Some(Method::Cancel) => {
                    self.end_attempt(m.via().unwrap().branch().unwrap(), *at, true);
                }
                _ => {}
            }
        }
    }

    /// Notes the end of an attempt, unless it has ended or timed out before.
    fn end_attempt(&mut self, branch: &str, at: Time, guarded: bool) {
        let attempt = self.attempts.values_mut().flatten().find(|(b, _)| b == branch);
        let open = |a: &Attempt| a.end.is_none() && a.sent_at.plus(ms(a.within_ms)) > at;
        if let Some((_, attempt)) = attempt.filter(|(_, a)| open(a)) {
            attempt.end = Some((at, guarded));
        }
    }

    /// Notes the end of all attempts at a switch whose connection is lost.
    fn end_attempts_at(&mut self, server: ServerId, at: Time) {
        for (_, attempt) in self.attempts.values_mut().flatten() {
            let open = attempt.end.is_none() && attempt.sent_at.plus(ms(attempt.within_ms)) > at;
            if attempt.server == server && open {
                attempt.end = Some((at, true));
            }
        }
    }
}

fn run(ops: Vec<Op>, settings: EngineSettings) {
    let mut rig = Rig::new(settings);
    rig.list(ListKind::Snapshot, (70..73).map(switch).collect());
    let mut checker = RuleChecker::default();
    let mut invites: Vec<Message> = Vec::new();
    let mut set_ups: Vec<(ServerId, Message)> = Vec::new();
    let mut connected = true;
    let mut checked = 0;
    for op in ops {
        match op {
            Op::Call(expires) if connected => invites.push(rig.call(expires)),
            Op::Cancel(n) if !invites.is_empty() && connected => {
                let message = cancel(&invites[n % invites.len()]);
                rig.send_from_client(&message);
            }
            Op::Ack(n) | Op::Bye(n) if !invites.is_empty() && connected => {
                let invite = invites[n % invites.len()].clone();
                let last = rig.responses(&invite).pop().filter(|m| m.status().is_some_and(|s| s >= 200));
                let Some(last) = last else { continue };
                let message = match (op, last.status()) {
                    (Op::Bye(_), Some(200)) => in_dialog(&invite, &last, Method::Bye, 2),
                    (_, Some(200)) => in_dialog(&invite, &last, Method::Ack, 1),
                    _ => ack_refusal(&invite, &last),
                };
                rig.send_from_client(&message);
            }
            Op::Answer(n, status) if !set_ups.is_empty() => {
                // Counted from the latest, so that recent set-ups are answered most, as in normal operation.
                let (server, invite) = set_ups[set_ups.len() - 1 - n % set_ups.len()].clone();
                if rig.connected.contains(&server.0) {
                    if status >= 200 {
                        let guarded = matches!(status, 408 | 487);
                        checker.end_attempt(invite.via().unwrap().branch().unwrap(), rig.now, guarded);
                    }
                    rig.answer(server, &invite, status, &[]);
                }
            }
            Op::Down(server) if rig.connected.contains(&server) => {
                checker.end_attempts_at(ServerId(server), rig.now);
                rig.trunk_down(server);
            }
            Op::Refuse(server, on) => {
                if on {
                    rig.unreachable.insert(server)
                } else {
                    rig.unreachable.remove(&server)
                };
            }
            Op::List(bits) => {
                let listed = (0..3u32).filter(|n| bits & (1 << n) != 0).map(|n| {
                    let mut s = switch(70 + n);
                    if bits & (8 << n) != 0 {
                        s.entry.state = ServerState::Draining;
                    }
                    s
                });
                let listed: Vec<_> = listed.collect();
                checker.not_ready = (70..73).map(ServerId).map(|id| (id, rig.now)).collect();
                for s in listed.iter().filter(|s| s.entry.state == ServerState::Ready) {
                    checker.not_ready.remove(&s.entry.id);
                }
                rig.list(ListKind::Snapshot, listed);
            }
            Op::Disconnect if connected => {
                connected = false;
                rig.input(Input::ClientDown { client: CLIENT });
            }
            Op::Advance(time) => rig.advance(ms(time)),
            _ => {}
        }
        checker.check(&rig, checked);
        set_ups.extend(rig.sent[checked..].iter().filter_map(|s| match s {
            Sent::Trunk(server, m) if m.method() == Some(Method::Invite) => Some((*server, m.clone())),
            _ => None,
        }));
        checked = rig.sent.len();
        assert!(rig.engine.timer_count() <= rig.engine.leg_count() + invites.len() + 4);
    }
    rig.advance(ms(7000));
    checker.check(&rig, checked);
    if connected {
        for invite in &invites {
            let finals = checker.finals.get(invite.get(Name::CallId).unwrap()).map_or(0, Vec::len);
            assert_eq!(finals, 1, "{invite:?}");
        }
    }
    // After a stop everything ends and nothing is left.
    rig.input(Input::Stop);
    rig.unreachable.clear();
    rig.advance(ms(70_000));
    assert_eq!((rig.engine.live_calls(), rig.engine.leg_count()), (0, 0));
    if let Some(set_ups) = rig.engine.set_up_admission() {
        assert_eq!((set_ups.waiting(), set_ups.in_routing(), set_ups.largest(9).len()), (0, 0, 0));
    }
    assert!(rig.engine.timer_count() <= 4, "{}", rig.engine.timer_count());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn rules_hold_in_any_order_of_events(ops in proptest::collection::vec(op(), 1..120)) {
        run(ops, settings());
    }

    #[test]
    fn rules_hold_with_a_queue_of_set_ups_before_the_controller(ops in proptest::collection::vec(op(), 1..120)) {
        let limits = ClientLimits { weight: 1, rate: Rate::per_second(20.0, 15), pending: 12, calls: 20 };
        let set_ups = SetUpSettings {
            known: limits, unknown: limits, unknown_weight: 1, unknown_rate: None, unknown_share: 0.5, min_routing: 1, routing_span: ms(50), max_waiting: 6,
            max_wait: ms(700), tracked_addresses: 16, retry_after: ms(500), seed: 1,
        };
        run(ops, EngineSettings { set_ups: Some(set_ups), ..settings() });
    }
}

#[test]
fn same_inputs_give_the_same_outputs() {
    let outputs = || {
        let mut rig = Rig::with_switches(3);
        for n in 0..50 {
            rig.call(3);
            if let Some((server, out)) = rig.requests_to_switches(Method::Invite).pop() {
                rig.answer(server, &out, if n % 3 == 0 { 503 } else { 200 }, &[]);
            }
            rig.advance(ms(37));
        }
        rig.advance(ms(4000));
        format!("{:?}", rig.sent)
    };
    assert_eq!(outputs(), outputs());
}
