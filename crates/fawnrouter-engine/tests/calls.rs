//! Tests of calls through the whole engine with its controller: normal calls, races, losses and limits.

mod common;

use common::*;
use fawnrouter_engine::fawnrouter::{ListKind, ServerId, ServerState, Time};
use fawnrouter_engine::sip::{Message, MessageBuilder, Method, Name, StartLine};
use fawnrouter_engine::{ClientId, Input, IntakeLimits};

#[test]
fn call_passes_with_its_bodies_and_ends_on_both_sides() {
    let mut rig = Rig::with_switches(2);
    let invite = rig.invite(Some(9), &[("X-Trace", "7"), ("Session-ID", "0123456789abcdef0123456789abcdef")]);
    rig.send_from_client(&invite);
    assert_eq!(rig.statuses(&invite), [100]);
    let (server, out) = rig.last_request_to_switch(Method::Invite);
    assert_eq!(server, ServerId(70));
    assert!(out.validate().is_ok());
    assert_eq!((out.body(), out.get_named("X-Trace")), (&b"v=0 offer"[..], Some("7")));
    assert_eq!(out.get(Name::MaxForwards), Some("69"));
    assert_ne!(out.get(Name::CallId), invite.get(Name::CallId));
    assert!(out.get(Name::SessionId).is_some_and(|s| s.starts_with("0123456789abcdef0123456789abcdef")));
    assert!(matches!(out.start(), StartLine::Request { uri: "sip:+91481@127.0.0.1:5070", .. }));
    rig.answer(server, &out, 100, &[]);
    rig.answer(server, &out, 180, &[]);
    rig.answer(server, &out, 200, &[]);
    assert_eq!(rig.statuses(&invite), [100, 180, 200]);
    let ok = rig.responses(&invite).pop().unwrap();
    assert_eq!(ok.body(), b"v=0 answer");
    assert!(
        rig.requests_to_switches(Method::Ack).is_empty(),
        "the switch gets its ACK when the caller sends one"
    );
    rig.send_from_client(&in_dialog(&invite, &ok, Method::Ack, 1));
    assert_eq!(rig.requests_to_switches(Method::Ack).len(), 1);
    rig.send_from_client(&in_dialog(&invite, &ok, Method::Bye, 2));
    let (_, bye) = rig.last_request_to_switch(Method::Bye);
    assert_eq!(bye.get(Name::CSeq), Some("2 BYE"));
    rig.answer(server, &bye, 200, &[]);
    assert_eq!((rig.engine.live_calls(), rig.engine.leg_count()), (0, 0));
}

#[test]
fn bye_of_the_switch_releases_the_caller() {
    let mut rig = Rig::with_switches(1);
    let (_, _, server, out) = rig.establish_call();
    let bye = {
        let mut builder = MessageBuilder::request(Method::Bye, "sip:gateway@gw.example;transport=tcp");
        builder.field(Name::Via, "SIP/2.0/TCP sw;branch=z9hG4bKsw1").field(Name::MaxForwards, "70");
        builder.field(Name::From, &format!("{};tag=sw", out.get(Name::To).unwrap()));
        builder.field(Name::To, out.get(Name::From).unwrap()).copy_fields(&out, Name::CallId);
        parse(&builder.field(Name::CSeq, "1 BYE").finish(b""))
    };
    rig.take_sent();
    rig.send_from_switch(server, &bye);
    assert_eq!(rig.requests_to_client(Method::Bye).len(), 1);
    assert!(matches!(&rig.sent[0], Sent::Trunk(_, m) if m.status() == Some(200)));
    rig.send_from_switch(server, &bye);
    assert!(matches!(rig.sent.last(), Some(Sent::Trunk(_, m)) if m.status() == Some(481)));
    assert_eq!((rig.engine.live_calls(), rig.engine.leg_count()), (0, 0));
}

#[test]
fn ok_that_crosses_the_cancel_is_acknowledged_and_released_and_the_caller_gets_one_answer() {
    let mut rig = Rig::with_switches(1);
    let invite = rig.call(9);
    let (server, out) = rig.last_request_to_switch(Method::Invite);
    rig.answer(server, &out, 180, &[]);
    rig.send_from_client(&cancel(&invite));
    assert_eq!(rig.final_statuses(&invite), [487]);
    assert_eq!(rig.requests_to_switches(Method::Cancel).len(), 1);
    rig.answer(server, &out, 200, &[]);
    assert_eq!(
        (rig.requests_to_switches(Method::Ack).len(), rig.requests_to_switches(Method::Bye).len()),
        (1, 1)
    );
    rig.advance(ms(40_000));
    assert_eq!(rig.final_statuses(&invite), [487]);
    assert_eq!((rig.engine.live_calls(), rig.engine.leg_count()), (0, 0));
}

#[test]
fn cancel_is_not_sent_before_the_first_response_of_the_switch() {
    let mut rig = Rig::with_switches(1);
    let invite = rig.call(9);
    let (server, out) = rig.last_request_to_switch(Method::Invite);
    rig.send_from_client(&cancel(&invite));
    assert_eq!((rig.final_statuses(&invite), rig.requests_to_switches(Method::Cancel).len()), (vec![487], 0));
    rig.answer(server, &out, 100, &[]);
    assert_eq!(rig.requests_to_switches(Method::Cancel).len(), 1);
    rig.answer(server, &out, 487, &[]);
    assert_eq!((rig.requests_to_switches(Method::Ack).len(), rig.engine.leg_count()), (1, 0));
}

#[test]
fn disconnect_of_the_caller_during_set_up_cancels_the_attempt() {
    let mut rig = Rig::with_switches(2);
    rig.call(9);
    let (server, out) = rig.last_request_to_switch(Method::Invite);
    rig.answer(server, &out, 100, &[]);
    rig.input(Input::ClientDown { client: CLIENT });
    assert_eq!(rig.requests_to_switches(Method::Cancel).len(), 1);
    rig.answer(server, &out, 200, &[]);
    assert_eq!(rig.requests_to_switches(Method::Bye).len(), 1);
    rig.advance(ms(40_000));
    assert_eq!(
        rig.requests_to_switches(Method::Invite).len(),
        1,
        "no further attempt after the caller has disconnected"
    );
    assert_eq!((rig.engine.live_calls(), rig.engine.leg_count()), (0, 0));
}

#[test]
fn disconnect_of_the_caller_releases_an_established_call() {
    let mut rig = Rig::with_switches(1);
    rig.establish_call();
    rig.input(Input::ClientDown { client: CLIENT });
    assert_eq!(rig.requests_to_switches(Method::Bye).len(), 1);
    assert_eq!(rig.engine.live_calls(), 0);
}

#[test]
fn bye_before_the_ack_acknowledges_and_releases_the_switch() {
    let mut rig = Rig::with_switches(1);
    let invite = rig.call(9);
    let (server, out) = rig.last_request_to_switch(Method::Invite);
    rig.answer(server, &out, 200, &[]);
    let ok = rig.responses(&invite).pop().unwrap();
    rig.send_from_client(&in_dialog(&invite, &ok, Method::Bye, 2));
    assert_eq!(
        (rig.requests_to_switches(Method::Ack).len(), rig.requests_to_switches(Method::Bye).len()),
        (1, 1)
    );
    // The ACK that arrives after the BYE belongs to no call.
    rig.send_from_client(&in_dialog(&invite, &ok, Method::Ack, 1));
    assert_eq!(rig.requests_to_switches(Method::Ack).len(), 1);
    assert_eq!(rig.final_statuses(&invite), [200]);
}

#[test]
fn ok_without_an_ack_is_released_on_both_sides() {
    let mut rig = Rig::with_switches(1);
    let invite = rig.call(9);
    let (server, out) = rig.last_request_to_switch(Method::Invite);
    rig.answer(server, &out, 200, &[]);
    rig.advance(ms(31_000));
    assert!(rig.requests_to_client(Method::Bye).is_empty());
    rig.advance(ms(2000));
    assert_eq!(
        (rig.requests_to_client(Method::Bye).len(), rig.requests_to_switches(Method::Bye).len()),
        (1, 1)
    );
    assert_eq!((rig.final_statuses(&invite), rig.engine.live_calls()), (vec![200], 0));
}

#[test]
fn connection_lost_during_set_up_is_a_reset_and_the_next_attempt_waits_for_the_guard() {
    let mut rig = Rig::with_switches(2);
    let invite = rig.call(9);
    let (first, _) = rig.last_request_to_switch(Method::Invite);
    rig.unreachable.insert(first.0);
    rig.trunk_down(first.0);
    let closed_at = rig.now;
    rig.take_sent();
    while rig.requests_to_switches(Method::Invite).is_empty() {
        rig.advance(ms(10));
        assert!(rig.now.since(closed_at) < ms(3000), "the call goes to the other switch");
    }
    assert!(rig.now.since(closed_at) >= ms(300), "not within the guard");
    let (second, out) = rig.last_request_to_switch(Method::Invite);
    assert_ne!(second, first);
    rig.answer(second, &out, 200, &[]);
    assert_eq!(rig.final_statuses(&invite), [200]);
}

#[test]
fn lost_connection_cuts_an_established_call_only_if_it_does_not_come_back() {
    let mut rig = Rig::with_switches(1);
    let (invite, ok, server, _) = rig.establish_call();
    rig.trunk_down(server.0);
    rig.advance(ms(4000));
    assert!(rig.connected.contains(&server.0), "the connection came back by itself");
    rig.advance(ms(20_000));
    assert_eq!((rig.requests_to_client(Method::Bye).len(), rig.engine.live_calls()), (0, 1));
    rig.send_from_client(&in_dialog(&invite, &ok, Method::Bye, 2));
    assert_eq!(rig.requests_to_switches(Method::Bye).len(), 1);

    let mut rig = Rig::with_switches(1);
    let (_, _, server, _) = rig.establish_call();
    rig.unreachable.insert(server.0);
    rig.trunk_down(server.0);
    rig.advance(ms(4900));
    assert_eq!(rig.requests_to_client(Method::Bye).len(), 0);
    rig.advance(ms(200));
    assert_eq!((rig.requests_to_client(Method::Bye).len(), rig.engine.live_calls()), (1, 0));
}

#[test]
fn bye_is_sent_after_reconnecting_if_the_connection_was_lost() {
    let mut rig = Rig::with_switches(1);
    let (invite, ok, server, _) = rig.establish_call();
    rig.unreachable.insert(server.0);
    rig.trunk_down(server.0);
    rig.send_from_client(&in_dialog(&invite, &ok, Method::Bye, 2));
    assert!(rig.requests_to_switches(Method::Bye).is_empty());
    rig.unreachable.clear();
    rig.advance(ms(3000));
    assert_eq!(rig.requests_to_switches(Method::Bye).len(), 1);
}

#[test]
fn restart_announced_after_reconnecting_cuts_the_calls_from_before() {
    let mut rig = Rig::with_switches(1);
    let (_, _, server, _) = rig.establish_call();
    rig.trunk_down(server.0);
    rig.advance(ms(3000));
    let mut restarted = switch(server.0);
    restarted.entry.up_since = Some(rig.now);
    rig.list(ListKind::Snapshot, vec![restarted]);
    assert_eq!((rig.requests_to_client(Method::Bye).len(), rig.engine.live_calls()), (1, 0));
}

#[test]
fn switch_that_stalls_beyond_the_deadline_leaves_the_caller_with_one_answer_in_time() {
    let mut rig = Rig::with_switches(1);
    let called_at = rig.now;
    let invite = rig.call(3);
    let (server, out) = rig.last_request_to_switch(Method::Invite);
    while rig.final_statuses(&invite).is_empty() {
        rig.advance(ms(10));
        assert!(rig.now.since(called_at) <= ms(3000), "the answer comes before the caller's time is up");
    }
    assert!(rig.final_statuses(&invite)[0] >= 500);
    // When the stall ends, the late 200 is released, and nothing more is sent to the caller.
    rig.advance(ms(5000));
    rig.answer(server, &out, 100, &[]);
    rig.answer(server, &out, 200, &[]);
    assert_eq!(
        (rig.requests_to_switches(Method::Cancel).len(), rig.requests_to_switches(Method::Bye).len()),
        (1, 1)
    );
    assert_eq!(rig.final_statuses(&invite).len(), 1);
}

#[test]
fn attempt_that_only_rings_is_cancelled_and_the_caller_is_answered_in_time() {
    let mut rig = Rig::with_switches(1);
    let invite = rig.call(4);
    let (server, out) = rig.last_request_to_switch(Method::Invite);
    for _ in 0..5 {
        rig.answer(server, &out, 180, &[]);
        rig.advance(ms(700));
    }
    rig.advance(ms(400));
    assert_eq!((rig.final_statuses(&invite).len(), rig.requests_to_switches(Method::Cancel).len()), (1, 1));
    rig.answer(server, &out, 487, &[]);
    assert_eq!(rig.engine.leg_count(), 0);
}

#[test]
fn repeated_final_response_is_acknowledged_again_and_passed_on_once() {
    let mut rig = Rig::with_switches(1);
    let (invite, _, server, out) = rig.establish_call();
    rig.answer(server, &out, 200, &[]);
    assert_eq!((rig.final_statuses(&invite), rig.requests_to_switches(Method::Ack).len()), (vec![200], 2));
    assert!(rig.requests_to_switches(Method::Bye).is_empty());

    // A second 2xx from another callee behind a forking switch is released; the call stays established.
    let fork = response(&out, 200, &[]);
    let text = String::from_utf8(Vec::from(format!("{fork:?}"))).unwrap().replace("tag=sw", "tag=other");
    let fork =
        parse(text.split("\r\n\r\n").next().map(|h| format!("{h}\r\n\r\n0123456789")).unwrap().as_bytes());
    rig.send_from_switch(server, &fork);
    assert_eq!((rig.requests_to_switches(Method::Bye).len(), rig.engine.live_calls()), (1, 1));
    assert_eq!(rig.final_statuses(&invite), [200]);
}

#[test]
fn late_ok_is_released_even_after_its_leg_was_removed() {
    let mut rig = Rig::with_switches(1);
    let invite = rig.call(2);
    let (server, out) = rig.last_request_to_switch(Method::Invite);
    rig.advance(ms(60_000));
    assert_eq!(rig.engine.leg_count(), 0);
    rig.take_sent();
    rig.answer(server, &out, 200, &[]);
    assert_eq!(
        (rig.requests_to_switches(Method::Ack).len(), rig.requests_to_switches(Method::Bye).len()),
        (1, 1)
    );
    assert!(rig.final_statuses(&invite).is_empty());
}

#[test]
fn no_set_up_is_sent_to_a_switch_that_is_listed_as_draining() {
    let mut rig = Rig::with_switches(2);
    let mut draining = switch(70);
    draining.entry.state = ServerState::Draining;
    rig.list(ListKind::Snapshot, vec![draining, switch(71)]);
    for _ in 0..20 {
        rig.call(9);
        rig.advance(ms(50));
    }
    assert!(rig.requests_to_switches(Method::Invite).iter().all(|(server, _)| *server == ServerId(71)));
    assert!(!rig.requests_to_switches(Method::Invite).is_empty());
}

#[test]
fn without_any_switch_calls_are_held_and_answered_in_time_and_established_calls_continue() {
    let mut rig = Rig::with_switches(1);
    let (_, _, _, _) = rig.establish_call();
    rig.list(ListKind::Snapshot, vec![]);
    let invite = rig.call(2);
    assert!(rig.final_statuses(&invite).is_empty());
    rig.advance(ms(2000));
    assert_eq!(rig.final_statuses(&invite), [503]);
    assert_eq!((rig.engine.live_calls(), rig.requests_to_client(Method::Bye).len()), (1, 0));
    // After the switch is listed again, calls go to it.
    rig.list(ListKind::Snapshot, vec![switch(70)]);
    rig.take_sent();
    rig.call(9);
    rig.advance(ms(1000));
    assert_eq!(rig.requests_to_switches(Method::Invite).len(), 1);
}

#[test]
fn loss_of_all_switches_ends_each_set_up_with_one_answer() {
    let mut rig = Rig::with_switches(3);
    let invites: Vec<Message> = (0..6).map(|_| rig.call(3)).collect();
    rig.unreachable.extend(70..73);
    (70..73).for_each(|s| rig.trunk_down(s));
    rig.list(ListKind::Snapshot, vec![]);
    rig.advance(ms(3000));
    invites.iter().for_each(|i| assert_eq!(rig.final_statuses(i).len(), 1));
    assert_eq!((rig.engine.live_calls(), rig.engine.leg_count()), (0, 0));
}

#[test]
fn call_goes_to_another_switch_if_the_first_choice_is_not_connected() {
    let mut rig = Rig::new(settings());
    rig.unreachable.insert(70);
    rig.list(ListKind::Snapshot, vec![switch(70), switch(71)]);
    let invite = rig.call(9);
    rig.advance(ms(500));
    let (server, out) = rig.last_request_to_switch(Method::Invite);
    assert_eq!(server, ServerId(71));
    rig.answer(server, &out, 200, &[]);
    assert_eq!(rig.final_statuses(&invite), [200]);
}

#[test]
fn reconnection_backs_off_with_growing_pauses() {
    let mut rig = Rig::with_switches(1);
    rig.unreachable.insert(70);
    rig.take_sent();
    rig.trunk_down(70);
    rig.advance(ms(10_000));
    let tries = rig.sent.iter().filter(|s| matches!(s, Sent::Open(_))).count();
    assert!((6..=16).contains(&tries), "{tries} tries in 10 s with pauses from 0.1 to 2 s");
}

#[test]
fn busy_number_is_reported_as_busy_and_an_unknown_number_is_not_retried() {
    let mut rig = Rig::with_switches(2);
    let invite = rig.call(9);
    let (server, out) = rig.last_request_to_switch(Method::Invite);
    rig.answer(server, &out, 486, &[]);
    assert_eq!(rig.final_statuses(&invite), [486]);
    assert_eq!(rig.responses(&invite).pop().unwrap().get(Name::RetryAfter), Some("2"));
    let invite = rig.call(9);
    rig.advance(ms(400));
    let (server, out) = rig.last_request_to_switch(Method::Invite);
    rig.answer(server, &out, 404, &[]);
    assert_eq!(rig.final_statuses(&invite), [404]);
    rig.advance(ms(9000));
    assert_eq!(rig.requests_to_switches(Method::Invite).len(), 2);
}

#[test]
fn call_goes_elsewhere_from_a_full_switch_which_gets_none_during_its_retry_after() {
    let mut rig = Rig::with_switches(2);
    let invite = rig.call(9);
    let (server, out) = rig.last_request_to_switch(Method::Invite);
    rig.answer(server, &out, 503, &[(Name::RetryAfter, "1")]);
    rig.advance(ms(100));
    let (second, out) = rig.last_request_to_switch(Method::Invite);
    assert_ne!(server, second);
    rig.answer(second, &out, 200, &[]);
    assert_eq!(rig.final_statuses(&invite), [200]);
    rig.take_sent();
    for _ in 0..5 {
        rig.call(9);
        rig.advance(ms(100));
    }
    assert!(rig.requests_to_switches(Method::Invite).iter().all(|(s, _)| *s == second));
}

#[test]
fn invite_without_expires_has_the_deadline_of_its_class() {
    let mut rig = Rig::new(settings());
    let invite = rig.invite(None, &[]);
    rig.send_from_client(&invite);
    rig.advance(ms(8000));
    assert!(rig.final_statuses(&invite).is_empty());
    rig.advance(ms(1000));
    assert_eq!(rig.final_statuses(&invite), [503]);
}

#[test]
fn very_long_expires_is_reduced_to_the_maximum() {
    let mut rig = Rig::new(settings());
    let invite = rig.call(4_000_000_000);
    rig.advance(ms(60_000));
    assert_eq!(rig.final_statuses(&invite).len(), 1);
}

#[test]
fn call_with_no_time_left_is_answered_at_once() {
    let mut rig = Rig::with_switches(1);
    let invite = rig.call(0);
    assert_eq!((rig.final_statuses(&invite), rig.requests_to_switches(Method::Invite).len()), (vec![503], 0));
}

#[test]
fn call_beyond_a_limit_is_answered_503_with_retry_after() {
    let mut s = settings();
    s.intake = IntakeLimits { calls: 3, pending: 2, per_client: 50, retry_after: ms(1500) };
    let mut rig = Rig::new(s);
    let invites: Vec<Message> = (0..3).map(|_| rig.call(9)).collect();
    assert!(rig.final_statuses(&invites[1]).is_empty());
    assert_eq!(rig.final_statuses(&invites[2]), [503]);
    assert_eq!(rig.responses(&invites[2]).pop().unwrap().get(Name::RetryAfter), Some("2"));
}

#[test]
fn ten_thousand_held_calls_each_get_one_answer_and_leave_nothing_behind() {
    let mut rig = Rig::new(settings());
    let invites: Vec<Message> = (0..10_000).map(|_| rig.call(5)).collect();
    assert_eq!(rig.engine.live_calls(), 10_000);
    assert!(rig.engine.timer_count() <= 10_001);
    rig.advance(ms(5000));
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
    // The ended calls are removed even though no ACK arrives.
    rig.advance(ms(40_000));
    assert!(rig.engine.timer_count() <= 1, "{}", rig.engine.timer_count());
    drop(invites);
}

#[test]
fn repeated_invite_starts_no_call_and_a_reinvite_is_refused() {
    let mut rig = Rig::with_switches(1);
    let (invite, ok, _, _) = rig.establish_call();
    rig.send_from_client(&invite);
    assert_eq!((rig.requests_to_switches(Method::Invite).len(), rig.final_statuses(&invite).len()), (1, 1));
    let reinvite = in_dialog(&invite, &ok, Method::Invite, 2);
    rig.send_from_client(&reinvite);
    assert_eq!(rig.final_statuses(&reinvite), [488]);
    assert_eq!(rig.engine.live_calls(), 1);
}

#[test]
fn invalid_requests_are_answered_with_the_proper_status() {
    let mut rig = Rig::with_switches(1);
    type Row<'a> = (&'a str, &'a [(&'a str, &'a str)], u16);
    let rows: [Row; 4] = [
        ("extension that is not known", &[("Require", "x-nothing, 100rel")], 420),
        ("two Max-Forwards", &[("Max-Forwards", "3")], 400),
        ("an Expires that is no number", &[("Expires", "soon")], 400),
        ("a proxy extension", &[("Proxy-Require", "x")], 420),
    ];
    for (case, extra, status) in rows {
        let invite = rig.invite(None, extra);
        rig.send_from_client(&invite);
        assert_eq!(rig.final_statuses(&invite), [status], "{case}");
    }
    let mut no_hops_left = MessageBuilder::request(Method::Options, "sip:gw.example");
    no_hops_left.field(Name::Via, "SIP/2.0/WS c;branch=z9hG4bKo").field(Name::MaxForwards, "0");
    no_hops_left.field(Name::From, "<sip:a@c>;tag=1").field(Name::To, "<sip:gw.example>");
    let options = parse(&no_hops_left.field(Name::CallId, "o1").field(Name::CSeq, "4 OPTIONS").finish(b""));
    rig.send_from_client(&options);
    assert_eq!(rig.final_statuses(&options), [483]);
    assert!(rig.requests_to_switches(Method::Invite).is_empty());
    let bye = in_dialog(&rig.invite(None, &[]), &options, Method::Bye, 9);
    rig.send_from_client(&bye);
    assert_eq!(rig.final_statuses(&bye), [481]);
}

#[test]
fn client_cannot_end_or_cancel_the_call_of_another_client() {
    let mut rig = Rig::with_switches(1);
    let (invite, ok, _, _) = rig.establish_call();
    let other = ClientId(66);
    rig.client_up(other, [127, 0, 0, 9]);
    let bye = in_dialog(&invite, &ok, Method::Bye, 2);
    rig.input(Input::ClientMessage { client: other, message: Box::new(bye.clone()) });
    assert_eq!(rig.final_statuses(&bye), [481]);
    rig.input(Input::ClientMessage { client: other, message: Box::new(cancel(&invite)) });
    assert_eq!(rig.engine.live_calls(), 1);
}

#[test]
fn drain_rejects_new_calls_and_lets_established_ones_finish() {
    let mut rig = Rig::with_switches(1);
    let (invite, ok, _, _) = rig.establish_call();
    rig.input(Input::Drain);
    let late = rig.call(9);
    assert_eq!(rig.final_statuses(&late), [503]);
    assert!(!rig.sent.iter().any(|s| matches!(s, Sent::Drained)));
    rig.send_from_client(&in_dialog(&invite, &ok, Method::Bye, 2));
    assert!(rig.sent.iter().any(|s| matches!(s, Sent::Drained)));
}

#[test]
fn stop_answers_or_releases_every_call() {
    let mut rig = Rig::with_switches(1);
    rig.establish_call();
    rig.list(ListKind::Snapshot, vec![]);
    let held = rig.call(9);
    rig.input(Input::Stop);
    assert_eq!(rig.final_statuses(&held), [503]);
    assert_eq!(
        (rig.requests_to_client(Method::Bye).len(), rig.requests_to_switches(Method::Bye).len()),
        (1, 1)
    );
    assert!(rig.sent.iter().any(|s| matches!(s, Sent::Drained)));
}

#[test]
fn clock_that_steps_back_counts_as_stopped() {
    let mut rig = Rig::with_switches(1);
    let invite = rig.call(3);
    rig.now = Time::from_nanos(5);
    rig.input(Input::Wake);
    rig.now = rig.engine.next_wake().unwrap();
    rig.advance(ms(3000));
    assert_eq!(rig.final_statuses(&invite).len(), 1);
}
