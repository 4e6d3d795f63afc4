//! Any order of calls, answers, losses and lists: the rules hold, and nothing is left over.

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
    Call(u64),
    Cancel(usize),
    Ack(usize),
    Bye(usize),
    Answer(usize, u16),
    Down(u32),
    Refuse(u32, bool),
    List(u8),
    Disconnect,
    Pass(u64),
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
        6 => (0u64..1500).prop_map(Op::Pass),
    ]
}

/// An attempt seen on the wire.
struct Seen {
    server: ServerId,
    sent: Time,
    within: u64,
    /// Its end, and whether the guard counts from it.
    end: Option<(Time, bool)>,
}

#[derive(Default)]
struct Judge {
    /// Attempts by session, with the branch of each.
    attempts: BTreeMap<String, Vec<(String, Seen)>>,
    finals: BTreeMap<String, Vec<u16>>,
    drained: BTreeMap<ServerId, Time>,
}

impl Judge {
    fn watch(&mut self, rig: &Rig, from: usize) {
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
                    assert!(!self.drained.contains_key(server), "sent to a switch that was told to drain");
                    let session = m.get(Name::SessionId).unwrap().to_owned();
                    for (_, earlier) in self.attempts.get(&session).into_iter().flatten() {
                        let timed_out = earlier.sent.plus(ms(earlier.within));
                        let (end, guarded) = earlier.end.unwrap_or((timed_out, true));
                        assert!(end <= *at, "two attempts at once");
                        assert!(
                            !guarded || at.since(end) >= ms(300),
                            "again within the guard: {:?}",
                            at.since(end)
                        );
                    }
                    let via = m.via().unwrap();
                    let within = via.params.get("fr-within").unwrap().parse().unwrap();
                    let seen = Seen { server: *server, sent: *at, within, end: None };
                    self.attempts.entry(session).or_default().push((via.branch().unwrap().to_owned(), seen));
                }
                Sent::Trunk(_, m) if m.method() == Some(Method::Cancel) => {
                    self.end(m.via().unwrap().branch().unwrap(), *at, true);
                }
                _ => {}
            }
        }
    }

    fn end(&mut self, branch: &str, at: Time, guarded: bool) {
        let hit = self.attempts.values_mut().flatten().find(|(b, _)| b == branch);
        if let Some((_, seen)) = hit.filter(|(_, s)| s.end.is_none() && s.sent.plus(ms(s.within)) > at) {
            seen.end = Some((at, guarded));
        }
    }

    fn lost(&mut self, server: ServerId, at: Time) {
        for (_, seen) in self.attempts.values_mut().flatten() {
            if seen.server == server && seen.end.is_none() && seen.sent.plus(ms(seen.within)) > at {
                seen.end = Some((at, true));
            }
        }
    }
}

fn run(ops: Vec<Op>, settings: EngineSettings) {
    let mut rig = Rig::new(settings);
    rig.list(ListKind::Snapshot, (70..73).map(switch).collect());
    let mut judge = Judge::default();
    let (mut invites, mut outs): (Vec<Message>, Vec<(ServerId, Message)>) = (Vec::new(), Vec::new());
    let mut connected = true;
    let mut seen = 0;
    for op in ops {
        match op {
            Op::Call(expires) if connected => invites.push(rig.call(expires)),
            Op::Cancel(n) if !invites.is_empty() && connected => {
                let message = cancel(&invites[n % invites.len()]);
                rig.client_says(&message);
            }
            Op::Ack(n) | Op::Bye(n) if !invites.is_empty() && connected => {
                let invite = invites[n % invites.len()].clone();
                let last = rig.answers(&invite).pop().filter(|m| m.status().is_some_and(|s| s >= 200));
                let Some(last) = last else { continue };
                let message = match (op, last.status()) {
                    (Op::Bye(_), Some(200)) => in_dialog(&invite, &last, Method::Bye, 2),
                    (_, Some(200)) => in_dialog(&invite, &last, Method::Ack, 1),
                    _ => ack_refusal(&invite, &last),
                };
                rig.client_says(&message);
            }
            Op::Answer(n, status) if !outs.is_empty() => {
                // The latest are answered most, as on a real day.
                let (server, invite) = outs[outs.len() - 1 - n % outs.len()].clone();
                if rig.up.contains(&server.0) {
                    if status >= 200 {
                        let guarded = matches!(status, 408 | 487);
                        judge.end(invite.via().unwrap().branch().unwrap(), rig.now, guarded);
                    }
                    rig.answer(server, &invite, status, &[]);
                }
            }
            Op::Down(server) if rig.up.contains(&server) => {
                judge.lost(ServerId(server), rig.now);
                rig.trunk_down(server);
            }
            Op::Refuse(server, on) => {
                if on {
                    rig.refuses.insert(server)
                } else {
                    rig.refuses.remove(&server)
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
                judge.drained = (70..73).map(ServerId).map(|id| (id, rig.now)).collect();
                for s in listed.iter().filter(|s| s.entry.state == ServerState::Ready) {
                    judge.drained.remove(&s.entry.id);
                }
                rig.list(ListKind::Snapshot, listed);
            }
            Op::Disconnect if connected => {
                connected = false;
                rig.input(Input::ClientDown { client: C });
            }
            Op::Pass(span) => rig.pass(ms(span)),
            _ => {}
        }
        judge.watch(&rig, seen);
        outs.extend(rig.sent[seen..].iter().filter_map(|s| match s {
            Sent::Trunk(server, m) if m.method() == Some(Method::Invite) => Some((*server, m.clone())),
            _ => None,
        }));
        seen = rig.sent.len();
        assert!(rig.engine.timer_count() <= rig.engine.leg_count() + invites.len() + 4);
    }
    rig.pass(ms(7000));
    judge.watch(&rig, seen);
    if connected {
        for invite in &invites {
            let finals = judge.finals.get(invite.get(Name::CallId).unwrap()).map_or(0, Vec::len);
            assert_eq!(finals, 1, "{invite:?}");
        }
    }
    // Everything ends and nothing is left.
    rig.input(Input::Stop);
    rig.refuses.clear();
    rig.pass(ms(70_000));
    assert_eq!((rig.engine.live_calls(), rig.engine.leg_count()), (0, 0));
    if let Some(set_ups) = rig.engine.set_up_admission() {
        assert_eq!((set_ups.waiting(), set_ups.routing(), set_ups.largest(9).len()), (0, 0, 0));
    }
    assert!(rig.engine.timer_count() <= 4, "{}", rig.engine.timer_count());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_rules_hold_in_any_order_of_things(ops in proptest::collection::vec(op(), 1..120)) {
        run(ops, settings());
    }

    #[test]
    fn the_rules_hold_with_a_queue_of_set_ups_before_the_controller(ops in proptest::collection::vec(op(), 1..120)) {
        let limits = ClientLimits { weight: 1, rate: Rate::per_second(20.0, 15), pending: 12, calls: 20 };
        let set_ups = SetUpSettings {
            known: limits, unknown: limits, unknown_weight: 1, unknown_rate: None, unknown_share: 0.5, min_routing: 1, routing_span: ms(50), max_waiting: 6,
            max_wait: ms(700), tracked_addresses: 16, retry_after: ms(500), seed: 1,
        };
        run(ops, EngineSettings { set_ups: Some(set_ups), ..settings() });
    }
}

#[test]
fn the_same_inputs_give_the_same_outputs() {
    let outputs = || {
        let mut rig = Rig::with_switches(3);
        for n in 0..50 {
            rig.call(3);
            if let Some((server, out)) = rig.to_switches(Method::Invite).pop() {
                rig.answer(server, &out, if n % 3 == 0 { 503 } else { 200 }, &[]);
            }
            rig.pass(ms(37));
        }
        rig.pass(ms(4000));
        format!("{:?}", rig.sent)
    };
    assert_eq!(outputs(), outputs());
}
