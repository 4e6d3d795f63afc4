//! Calls and their hard cases, through the whole engine with its decisions.

mod common;

use common::*;
use fawnrouter_engine::fawnrouter::{ListKind, ServerId, ServerState, Time};
use fawnrouter_engine::sip::{Draft, Message, Method, Name, Start};
use fawnrouter_engine::{ClientId, Input, IntakeLimits};

#[test]
fn a_call_goes_through_both_ways_with_its_bodies_and_ends_on_both_sides() {
    let mut rig = Rig::with_switches(2);
    let invite = rig.invite(Some(9), &[("X-Trace", "7"), ("Session-ID", "0123456789abcdef0123456789abcdef")]);
    rig.client_says(&invite);
    assert_eq!(rig.statuses(&invite), [100]);
    let (server, out) = rig.last_to_switch(Method::Invite);
    assert_eq!(server, ServerId(70));
    assert!(out.validate().is_ok());
    assert_eq!((out.body(), out.get_named("X-Trace")), (&b"v=0 offer"[..], Some("7")));
    assert_eq!(out.get(Name::MaxForwards), Some("69"));
    assert_ne!(out.get(Name::CallId), invite.get(Name::CallId));
    assert!(out.get(Name::SessionId).is_some_and(|s| s.starts_with("0123456789abcdef0123456789abcdef")));
    assert!(matches!(out.start(), Start::Request { uri: "sip:+91481@127.0.0.1:5070", .. }));
    rig.answer(server, &out, 100, &[]);
    rig.answer(server, &out, 180, &[]);
    rig.answer(server, &out, 200, &[]);
    assert_eq!(rig.statuses(&invite), [100, 180, 200]);
    let ok = rig.answers(&invite).pop().unwrap();
    assert_eq!(ok.body(), b"v=0 answer");
    assert!(
        rig.to_switches(Method::Ack).is_empty(),
        "the switch is acknowledged when the caller acknowledges"
    );
    rig.client_says(&in_dialog(&invite, &ok, Method::Ack, 1));
    assert_eq!(rig.to_switches(Method::Ack).len(), 1);
    rig.client_says(&in_dialog(&invite, &ok, Method::Bye, 2));
    let (_, bye) = rig.last_to_switch(Method::Bye);
    assert_eq!(bye.get(Name::CSeq), Some("2 BYE"));
    rig.answer(server, &bye, 200, &[]);
    assert_eq!((rig.engine.live_calls(), rig.engine.leg_count()), (0, 0));
}

#[test]
fn the_switch_hangs_up_and_the_caller_is_told() {
    let mut rig = Rig::with_switches(1);
    let (_, _, server, out) = rig.standing();
    let from_switch = {
        let mut draft = Draft::request(Method::Bye, "sip:gateway@gw.example;transport=tcp");
        draft.field(Name::Via, "SIP/2.0/TCP sw;branch=z9hG4bKsw1").field(Name::MaxForwards, "70");
        draft.field(Name::From, &format!("{};tag=sw", out.get(Name::To).unwrap()));
        draft.field(Name::To, out.get(Name::From).unwrap()).copy(&out, Name::CallId);
        parse(&draft.field(Name::CSeq, "1 BYE").finish(b""))
    };
    rig.take();
    rig.switch_says(server, &from_switch);
    assert_eq!(rig.to_client(Method::Bye).len(), 1);
    assert!(matches!(&rig.sent[0], Sent::Trunk(_, m) if m.status() == Some(200)));
    rig.switch_says(server, &from_switch);
    assert!(matches!(rig.sent.last(), Some(Sent::Trunk(_, m)) if m.status() == Some(481)));
    assert_eq!((rig.engine.live_calls(), rig.engine.leg_count()), (0, 0));
}

#[test]
fn a_200_that_crosses_the_cancel_is_acked_and_byed_and_the_caller_keeps_its_one_answer() {
    let mut rig = Rig::with_switches(1);
    let invite = rig.call(9);
    let (server, out) = rig.last_to_switch(Method::Invite);
    rig.answer(server, &out, 180, &[]);
    rig.client_says(&cancel(&invite));
    assert_eq!(rig.finals(&invite), [487]);
    assert_eq!(rig.to_switches(Method::Cancel).len(), 1);
    rig.answer(server, &out, 200, &[]);
    assert_eq!((rig.to_switches(Method::Ack).len(), rig.to_switches(Method::Bye).len()), (1, 1));
    rig.pass(ms(40_000));
    assert_eq!(rig.finals(&invite), [487]);
    assert_eq!((rig.engine.live_calls(), rig.engine.leg_count()), (0, 0));
}

#[test]
fn no_cancel_goes_out_before_the_switch_has_said_anything() {
    let mut rig = Rig::with_switches(1);
    let invite = rig.call(9);
    let (server, out) = rig.last_to_switch(Method::Invite);
    rig.client_says(&cancel(&invite));
    assert_eq!((rig.finals(&invite), rig.to_switches(Method::Cancel).len()), (vec![487], 0));
    rig.answer(server, &out, 100, &[]);
    assert_eq!(rig.to_switches(Method::Cancel).len(), 1);
    rig.answer(server, &out, 487, &[]);
    assert_eq!((rig.to_switches(Method::Ack).len(), rig.engine.leg_count()), (1, 0));
}

#[test]
fn a_caller_that_disconnects_while_an_attempt_is_out_frees_the_switch() {
    let mut rig = Rig::with_switches(2);
    rig.call(9);
    let (server, out) = rig.last_to_switch(Method::Invite);
    rig.answer(server, &out, 100, &[]);
    rig.input(Input::ClientDown { client: C });
    assert_eq!(rig.to_switches(Method::Cancel).len(), 1);
    rig.answer(server, &out, 200, &[]);
    assert_eq!(rig.to_switches(Method::Bye).len(), 1);
    rig.pass(ms(40_000));
    assert_eq!(rig.to_switches(Method::Invite).len(), 1, "the call of a caller that left goes nowhere");
    assert_eq!((rig.engine.live_calls(), rig.engine.leg_count()), (0, 0));
}

#[test]
fn a_caller_that_disconnects_in_a_standing_call_releases_it() {
    let mut rig = Rig::with_switches(1);
    rig.standing();
    rig.input(Input::ClientDown { client: C });
    assert_eq!(rig.to_switches(Method::Bye).len(), 1);
    assert_eq!(rig.engine.live_calls(), 0);
}

#[test]
fn a_bye_before_the_ack_acknowledges_the_switch_and_releases_it() {
    let mut rig = Rig::with_switches(1);
    let invite = rig.call(9);
    let (server, out) = rig.last_to_switch(Method::Invite);
    rig.answer(server, &out, 200, &[]);
    let ok = rig.answers(&invite).pop().unwrap();
    rig.client_says(&in_dialog(&invite, &ok, Method::Bye, 2));
    assert_eq!((rig.to_switches(Method::Ack).len(), rig.to_switches(Method::Bye).len()), (1, 1));
    // The ACK that was under way finds nothing.
    rig.client_says(&in_dialog(&invite, &ok, Method::Ack, 1));
    assert_eq!(rig.to_switches(Method::Ack).len(), 1);
    assert_eq!(rig.finals(&invite), [200]);
}

#[test]
fn a_200_that_nobody_acknowledges_is_released_on_both_sides() {
    let mut rig = Rig::with_switches(1);
    let invite = rig.call(9);
    let (server, out) = rig.last_to_switch(Method::Invite);
    rig.answer(server, &out, 200, &[]);
    rig.pass(ms(31_000));
    assert!(rig.to_client(Method::Bye).is_empty());
    rig.pass(ms(2000));
    assert_eq!((rig.to_client(Method::Bye).len(), rig.to_switches(Method::Bye).len()), (1, 1));
    assert_eq!((rig.finals(&invite), rig.engine.live_calls()), (vec![200], 0));
}

#[test]
fn a_switch_that_closes_its_connection_in_set_up_is_a_reset_and_the_guard_is_kept() {
    let mut rig = Rig::with_switches(2);
    let invite = rig.call(9);
    let (first, _) = rig.last_to_switch(Method::Invite);
    rig.refuses.insert(first.0);
    rig.trunk_down(first.0);
    let closed = rig.now;
    rig.take();
    while rig.to_switches(Method::Invite).is_empty() {
        rig.pass(ms(10));
        assert!(rig.now.since(closed) < ms(3000), "the call goes to the other switch");
    }
    assert!(rig.now.since(closed) >= ms(300), "not within the guard");
    let (second, out) = rig.last_to_switch(Method::Invite);
    assert_ne!(second, first);
    rig.answer(second, &out, 200, &[]);
    assert_eq!(rig.finals(&invite), [200]);
}

#[test]
fn a_connection_lost_in_a_standing_call_cuts_it_only_if_it_stays_away() {
    let mut rig = Rig::with_switches(1);
    let (invite, ok, server, _) = rig.standing();
    rig.trunk_down(server.0);
    rig.pass(ms(4000));
    assert!(rig.up.contains(&server.0), "the connection came back by itself");
    rig.pass(ms(20_000));
    assert_eq!((rig.to_client(Method::Bye).len(), rig.engine.live_calls()), (0, 1));
    rig.client_says(&in_dialog(&invite, &ok, Method::Bye, 2));
    assert_eq!(rig.to_switches(Method::Bye).len(), 1);

    let mut rig = Rig::with_switches(1);
    let (_, _, server, _) = rig.standing();
    rig.refuses.insert(server.0);
    rig.trunk_down(server.0);
    rig.pass(ms(4900));
    assert_eq!(rig.to_client(Method::Bye).len(), 0);
    rig.pass(ms(200));
    assert_eq!((rig.to_client(Method::Bye).len(), rig.engine.live_calls()), (1, 0));
}

#[test]
fn a_bye_while_the_connection_is_away_goes_out_when_it_is_back() {
    let mut rig = Rig::with_switches(1);
    let (invite, ok, server, _) = rig.standing();
    rig.refuses.insert(server.0);
    rig.trunk_down(server.0);
    rig.client_says(&in_dialog(&invite, &ok, Method::Bye, 2));
    assert!(rig.to_switches(Method::Bye).is_empty());
    rig.refuses.clear();
    rig.pass(ms(3000));
    assert_eq!(rig.to_switches(Method::Bye).len(), 1);
}

#[test]
fn a_restart_told_after_the_connection_came_back_cuts_the_calls_from_before() {
    let mut rig = Rig::with_switches(1);
    let (_, _, server, _) = rig.standing();
    rig.trunk_down(server.0);
    rig.pass(ms(3000));
    let mut restarted = switch(server.0);
    restarted.entry.up_since = Some(rig.now);
    rig.list(ListKind::Snapshot, vec![restarted]);
    assert_eq!((rig.to_client(Method::Bye).len(), rig.engine.live_calls()), (1, 0));
}

#[test]
fn a_stall_longer_than_the_deadline_ends_with_one_answer_in_time() {
    let mut rig = Rig::with_switches(1);
    let began = rig.now;
    let invite = rig.call(3);
    let (server, out) = rig.last_to_switch(Method::Invite);
    while rig.finals(&invite).is_empty() {
        rig.pass(ms(10));
        assert!(rig.now.since(began) <= ms(3000), "the answer comes before the caller's time is up");
    }
    assert!(rig.finals(&invite)[0] >= 500);
    // The stall ends: the late answer is released, and nothing more reaches the caller.
    rig.pass(ms(5000));
    rig.answer(server, &out, 100, &[]);
    rig.answer(server, &out, 200, &[]);
    assert_eq!((rig.to_switches(Method::Cancel).len(), rig.to_switches(Method::Bye).len()), (1, 1));
    assert_eq!(rig.finals(&invite).len(), 1);
}

#[test]
fn a_switch_that_rings_for_ever_is_cancelled_and_the_caller_answered_in_time() {
    let mut rig = Rig::with_switches(1);
    let invite = rig.call(4);
    let (server, out) = rig.last_to_switch(Method::Invite);
    for _ in 0..5 {
        rig.answer(server, &out, 180, &[]);
        rig.pass(ms(700));
    }
    rig.pass(ms(400));
    assert_eq!((rig.finals(&invite).len(), rig.to_switches(Method::Cancel).len()), (1, 1));
    rig.answer(server, &out, 487, &[]);
    assert_eq!(rig.engine.leg_count(), 0);
}

#[test]
fn final_answers_that_come_twice_are_acknowledged_twice_and_passed_on_once() {
    let mut rig = Rig::with_switches(1);
    let (invite, _, server, out) = rig.standing();
    rig.answer(server, &out, 200, &[]);
    assert_eq!((rig.finals(&invite), rig.to_switches(Method::Ack).len()), (vec![200], 2));
    assert!(rig.to_switches(Method::Bye).is_empty());

    // A second 2xx of another callee behind a forking switch is released; the call stands.
    let fork = response(&out, 200, &[]);
    let text = String::from_utf8(Vec::from(format!("{fork:?}"))).unwrap().replace("tag=sw", "tag=other");
    let fork =
        parse(text.split("\r\n\r\n").next().map(|h| format!("{h}\r\n\r\n0123456789")).unwrap().as_bytes());
    rig.switch_says(server, &fork);
    assert_eq!((rig.to_switches(Method::Bye).len(), rig.engine.live_calls()), (1, 1));
    assert_eq!(rig.finals(&invite), [200]);
}

#[test]
fn a_2xx_long_after_the_guard_is_released_even_when_its_leg_is_forgotten() {
    let mut rig = Rig::with_switches(1);
    let invite = rig.call(2);
    let (server, out) = rig.last_to_switch(Method::Invite);
    rig.pass(ms(60_000));
    assert_eq!(rig.engine.leg_count(), 0);
    rig.take();
    rig.answer(server, &out, 200, &[]);
    assert_eq!((rig.to_switches(Method::Ack).len(), rig.to_switches(Method::Bye).len()), (1, 1));
    assert!(rig.finals(&invite).is_empty());
}

#[test]
fn nothing_goes_to_a_switch_that_drains_from_the_moment_it_is_told() {
    let mut rig = Rig::with_switches(2);
    let mut draining = switch(70);
    draining.entry.state = ServerState::Draining;
    rig.list(ListKind::Snapshot, vec![draining, switch(71)]);
    for _ in 0..20 {
        rig.call(9);
        rig.pass(ms(50));
    }
    assert!(rig.to_switches(Method::Invite).iter().all(|(server, _)| *server == ServerId(71)));
    assert!(!rig.to_switches(Method::Invite).is_empty());
}

#[test]
fn with_no_switch_at_all_calls_are_held_and_answered_in_time_and_a_standing_call_stands() {
    let mut rig = Rig::with_switches(1);
    let (_, _, _, _) = rig.standing();
    rig.list(ListKind::Snapshot, vec![]);
    let invite = rig.call(2);
    assert!(rig.finals(&invite).is_empty());
    rig.pass(ms(2000));
    assert_eq!(rig.finals(&invite), [503]);
    assert_eq!((rig.engine.live_calls(), rig.to_client(Method::Bye).len()), (1, 0));
    // The list is back: calls go there again.
    rig.list(ListKind::Snapshot, vec![switch(70)]);
    rig.take();
    rig.call(9);
    rig.pass(ms(1000));
    assert_eq!(rig.to_switches(Method::Invite).len(), 1);
}

#[test]
fn all_switches_gone_at_once_ends_set_ups_with_one_answer_each() {
    let mut rig = Rig::with_switches(3);
    let invites: Vec<Message> = (0..6).map(|_| rig.call(3)).collect();
    rig.refuses.extend(70..73);
    (70..73).for_each(|s| rig.trunk_down(s));
    rig.list(ListKind::Snapshot, vec![]);
    rig.pass(ms(3000));
    invites.iter().for_each(|i| assert_eq!(rig.finals(i).len(), 1));
    assert_eq!((rig.engine.live_calls(), rig.engine.leg_count()), (0, 0));
}

#[test]
fn a_switch_without_a_connection_costs_the_call_nothing_but_another_choice() {
    let mut rig = Rig::new(settings());
    rig.refuses.insert(70);
    rig.list(ListKind::Snapshot, vec![switch(70), switch(71)]);
    let invite = rig.call(9);
    rig.pass(ms(500));
    let (server, out) = rig.last_to_switch(Method::Invite);
    assert_eq!(server, ServerId(71));
    rig.answer(server, &out, 200, &[]);
    assert_eq!(rig.finals(&invite), [200]);
}

#[test]
fn a_lost_connection_is_tried_again_with_growing_pauses() {
    let mut rig = Rig::with_switches(1);
    rig.refuses.insert(70);
    rig.take();
    rig.trunk_down(70);
    rig.pass(ms(10_000));
    let tries = rig.sent.iter().filter(|s| matches!(s, Sent::Open(_))).count();
    assert!((6..=16).contains(&tries), "{tries} tries in 10 s with pauses from 0.1 to 2 s");
}

#[test]
fn a_busy_number_is_told_as_busy_and_a_number_that_does_not_exist_is_not_tried_twice() {
    let mut rig = Rig::with_switches(2);
    let invite = rig.call(9);
    let (server, out) = rig.last_to_switch(Method::Invite);
    rig.answer(server, &out, 486, &[]);
    assert_eq!(rig.finals(&invite), [486]);
    assert_eq!(rig.answers(&invite).pop().unwrap().get(Name::RetryAfter), Some("2"));
    let invite = rig.call(9);
    rig.pass(ms(400));
    let (server, out) = rig.last_to_switch(Method::Invite);
    rig.answer(server, &out, 404, &[]);
    assert_eq!(rig.finals(&invite), [404]);
    rig.pass(ms(9000));
    assert_eq!(rig.to_switches(Method::Invite).len(), 2);
}

#[test]
fn a_full_switch_sends_the_call_elsewhere_and_is_left_alone_for_the_told_wait() {
    let mut rig = Rig::with_switches(2);
    let invite = rig.call(9);
    let (server, out) = rig.last_to_switch(Method::Invite);
    rig.answer(server, &out, 503, &[(Name::RetryAfter, "1")]);
    rig.pass(ms(100));
    let (second, out) = rig.last_to_switch(Method::Invite);
    assert_ne!(server, second);
    rig.answer(second, &out, 200, &[]);
    assert_eq!(rig.finals(&invite), [200]);
    rig.take();
    for _ in 0..5 {
        rig.call(9);
        rig.pass(ms(100));
    }
    assert!(rig.to_switches(Method::Invite).iter().all(|(s, _)| *s == second));
}

#[test]
fn a_caller_that_gives_no_expires_has_its_classes_deadline() {
    let mut rig = Rig::new(settings());
    let invite = rig.invite(None, &[]);
    rig.client_says(&invite);
    rig.pass(ms(8000));
    assert!(rig.finals(&invite).is_empty());
    rig.pass(ms(1000));
    assert_eq!(rig.finals(&invite), [503]);
}

#[test]
fn an_expires_beyond_belief_is_cut_to_the_longest_try() {
    let mut rig = Rig::new(settings());
    let invite = rig.call(4_000_000_000);
    rig.pass(ms(60_000));
    assert_eq!(rig.finals(&invite).len(), 1);
}

#[test]
fn a_call_that_comes_with_no_time_left_is_answered_at_once() {
    let mut rig = Rig::with_switches(1);
    let invite = rig.call(0);
    assert_eq!((rig.finals(&invite), rig.to_switches(Method::Invite).len()), (vec![503], 0));
}

#[test]
fn limits_are_answered_with_503_and_a_time_to_stay_away() {
    let mut s = settings();
    s.intake = IntakeLimits { calls: 3, pending: 2, per_client: 50, retry_after: ms(1500) };
    let mut rig = Rig::new(s);
    let invites: Vec<Message> = (0..3).map(|_| rig.call(9)).collect();
    assert!(rig.finals(&invites[1]).is_empty());
    assert_eq!(rig.finals(&invites[2]), [503]);
    assert_eq!(rig.answers(&invites[2]).pop().unwrap().get(Name::RetryAfter), Some("2"));
}

#[test]
fn ten_thousand_calls_held_at_once_each_get_one_answer_and_nothing_is_left() {
    let mut rig = Rig::new(settings());
    let invites: Vec<Message> = (0..10_000).map(|_| rig.call(5)).collect();
    assert_eq!(rig.engine.live_calls(), 10_000);
    assert!(rig.engine.timer_count() <= 10_001);
    rig.pass(ms(5000));
    let mut finals = std::collections::BTreeMap::<String, u32>::new();
    for sent in &rig.sent {
        if let Sent::Client(_, m) = sent
            && m.status().is_some_and(|s| s >= 200)
        {
            *finals.entry(m.get(Name::CallId).unwrap().to_owned()).or_default() += 1;
        }
    }
    assert_eq!(finals.len(), 10_000);
    assert!(finals.values().all(|n| *n == 1));
    assert_eq!(rig.engine.live_calls(), 0);
    // Without a single ACK, the memory of the refusals goes too.
    rig.pass(ms(40_000));
    assert!(rig.engine.timer_count() <= 1, "{}", rig.engine.timer_count());
    drop(invites);
}

#[test]
fn a_repeated_invite_starts_nothing_and_a_reinvite_changes_nothing() {
    let mut rig = Rig::with_switches(1);
    let (invite, ok, _, _) = rig.standing();
    rig.client_says(&invite);
    assert_eq!((rig.to_switches(Method::Invite).len(), rig.finals(&invite).len()), (1, 1));
    let reinvite = in_dialog(&invite, &ok, Method::Invite, 2);
    rig.client_says(&reinvite);
    assert_eq!(rig.finals(&reinvite), [488]);
    assert_eq!(rig.engine.live_calls(), 1);
}

#[test]
fn requests_that_cannot_be_worked_on_are_answered_with_their_status() {
    let mut rig = Rig::with_switches(1);
    type Row<'a> = (&'a str, &'a [(&'a str, &'a str)], u16);
    let rows: [Row; 4] = [
        ("extension that is not known", &[("Require", "x-nothing, 100rel")], 420),
        ("two Max-Forwards", &[("Max-Forwards", "3")], 400),
        ("an Expires that is no number", &[("Expires", "soon")], 400),
        ("a proxy extension", &[("Proxy-Require", "x")], 420),
    ];
    for (what, extra, status) in rows {
        let invite = rig.invite(None, extra);
        rig.client_says(&invite);
        assert_eq!(rig.finals(&invite), [status], "{what}");
    }
    let mut last = Draft::request(Method::Options, "sip:gw.example");
    last.field(Name::Via, "SIP/2.0/WS c;branch=z9hG4bKo").field(Name::MaxForwards, "0");
    last.field(Name::From, "<sip:a@c>;tag=1").field(Name::To, "<sip:gw.example>");
    let options = parse(&last.field(Name::CallId, "o1").field(Name::CSeq, "4 OPTIONS").finish(b""));
    rig.client_says(&options);
    assert_eq!(rig.finals(&options), [483]);
    assert!(rig.to_switches(Method::Invite).is_empty());
    let bye = in_dialog(&rig.invite(None, &[]), &options, Method::Bye, 9);
    rig.client_says(&bye);
    assert_eq!(rig.finals(&bye), [481]);
}

#[test]
fn another_client_can_neither_end_nor_acknowledge_a_call() {
    let mut rig = Rig::with_switches(1);
    let (invite, ok, _, _) = rig.standing();
    let thief = ClientId(66);
    rig.client_up(thief, [127, 0, 0, 9]);
    let bye = in_dialog(&invite, &ok, Method::Bye, 2);
    rig.input(Input::ClientMessage { client: thief, message: Box::new(bye.clone()) });
    assert_eq!(rig.finals(&bye), [481]);
    rig.input(Input::ClientMessage { client: thief, message: Box::new(cancel(&invite)) });
    assert_eq!(rig.engine.live_calls(), 1);
}

#[test]
fn a_drain_lets_standing_calls_finish_and_takes_no_new_ones() {
    let mut rig = Rig::with_switches(1);
    let (invite, ok, _, _) = rig.standing();
    rig.input(Input::Drain);
    let late = rig.call(9);
    assert_eq!(rig.finals(&late), [503]);
    assert!(!rig.sent.iter().any(|s| matches!(s, Sent::Drained)));
    rig.client_says(&in_dialog(&invite, &ok, Method::Bye, 2));
    assert!(rig.sent.iter().any(|s| matches!(s, Sent::Drained)));
}

#[test]
fn a_stop_gives_every_call_its_answer_or_its_release() {
    let mut rig = Rig::with_switches(1);
    rig.standing();
    rig.list(ListKind::Snapshot, vec![]);
    let held = rig.call(9);
    rig.input(Input::Stop);
    assert_eq!(rig.finals(&held), [503]);
    assert_eq!((rig.to_client(Method::Bye).len(), rig.to_switches(Method::Bye).len()), (1, 1));
    assert!(rig.sent.iter().any(|s| matches!(s, Sent::Drained)));
}

#[test]
fn a_clock_that_steps_back_stands_still() {
    let mut rig = Rig::with_switches(1);
    let invite = rig.call(3);
    rig.now = Time::from_nanos(5);
    rig.input(Input::Wake);
    rig.now = rig.engine.next_wake().unwrap();
    rig.pass(ms(3000));
    assert_eq!(rig.finals(&invite).len(), 1);
}
