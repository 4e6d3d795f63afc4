//! Calls and their hard cases, through the whole gateway with its controller.

mod common;

use common::*;
use fawnrouter_node::jsonl::{Message, Verb};
use fawnrouter_node::{ClientId, Input, LinkEnd, LinkId, Output};

const REFUSED: (Verb, Option<i64>) = (Verb::Finish, Some(34));

#[test]
fn call_is_forwarded_with_unchanged_descriptions_and_its_release_is_forwarded() {
    let mut harness = Harness::new(2);
    let client = harness.connect();
    let link = harness.establish_call(client, 7);
    let (_, _, sent) =
        harness.sent_to_switches().into_iter().find(|(_, _, m)| m.verb == Verb::Start).unwrap();
    assert_eq!(sent.blob.as_deref(), Some("offer 7"));
    assert_eq!((sent.opts["class"].as_str(), sent.opts["key"].as_str()), (Some("voice"), Some("7f3a")));
    assert!(sent.opts["left"].as_u64().is_some_and(|left| left > 1000 && left <= 3000));
    assert_eq!(harness.sent_to_clients()[0].2.blob.as_deref(), Some("answer 7"));
    harness.release_call(link, 7, 16);
    assert_eq!(harness.messages_about(7), [(Verb::Started, None), (Verb::Finish, Some(16))]);
    assert_eq!(harness.node.state_sizes()[..2], [0, 0]);
}

#[test]
fn call_refused_by_a_full_switch_goes_to_another_at_once() {
    let mut harness = Harness::new(2);
    let client = harness.connect();
    harness.start_call(client, 7, 3000);
    let (_, first) = harness.set_ups_sent(7)[0];
    harness.release_call(first, 7, 34);
    let starts = harness.set_ups_sent(7);
    assert_eq!(starts.len(), 2);
    assert_ne!(harness.links[&starts[1].1], harness.links[&first]);
    assert!(harness.messages_about(7).is_empty());
}

#[test]
fn late_answer_to_an_ended_attempt_is_neither_forwarded_nor_taken_for_the_next_attempt() {
    let mut harness = Harness::new(1);
    let client = harness.connect();
    harness.start_call(client, 7, 3000);
    let (_, first) = harness.set_ups_sent(7)[0];
    harness.switch_sends(first, r#"{"verb":"FINISH","tag":"0000000000000007","opts":{},"rc":41}"#);
    harness.advance(400);
    let starts = harness.set_ups_sent(7);
    assert_eq!(starts.len(), 2, "the only switch gets it again after the guard time");
    assert!(starts[1].0 - starts[0].0 >= 200);
    assert_ne!(starts[1].1, first, "on another connection, as the tag does not distinguish the attempts");
    harness.answer_call(first, 7);
    assert!(harness.messages_about(7).is_empty());
    harness.answer_call(starts[1].1, 7);
    assert_eq!(harness.messages_about(7), [(Verb::Started, None)]);
    harness.answer_call(starts[1].1, 7);
    assert_eq!(harness.messages_about(7).len(), 1, "a duplicate is not forwarded");
}

#[test]
fn unanswered_call_gets_one_refusal_in_time_and_its_set_up_is_withdrawn() {
    let mut harness = Harness::new(1);
    let client = harness.connect();
    harness.start_call(client, 7, 1500);
    harness.advance(1500);
    assert_eq!(harness.messages_about(7), [REFUSED]);
    assert!(harness.sent_to_clients()[0].0 < START_MS + 1500);
    assert!(!harness.releases_sent(7).is_empty());
    let (_, link) = harness.set_ups_sent(7)[0];
    harness.answer_call(link, 7);
    harness.advance(9000);
    assert_eq!(harness.messages_about(7).len(), 1);
}

#[test]
fn malformed_line_closes_the_connection_and_releases_each_set_up_on_it_once() {
    let mut harness = Harness::new(1);
    let client = harness.connect();
    // Enough calls that connections are shared.
    for tag in 1..=20 {
        harness.start_call(client, tag, 5000);
        harness.advance(30);
        if let Some((_, link)) = harness.set_ups_sent(tag).last().copied().filter(|_| tag <= 10) {
            harness.answer_call(link, tag);
        }
    }
    let (_, link) =
        *harness.set_ups_sent(20).first().or(harness.set_ups_sent(11).first()).expect("one set-up is open");
    let out: Vec<u64> =
        (11..=20).filter(|t| harness.set_ups_sent(*t).last().is_some_and(|(_, l)| *l == link)).collect();
    assert!(!out.is_empty());
    let before = harness.now_ms;
    harness.switch_sends(link, "noise");
    assert!(harness.outputs.iter().any(|(_, o)| *o == Output::CloseLink { link }));
    for tag in &out {
        let releases = harness.releases_sent(*tag);
        assert_eq!(releases.len(), 1, "the call may be established there, as its answer was damaged");
        assert_ne!(releases[0].1, link);
    }
    harness.advance(2000);
    for tag in &out {
        let again = harness.set_ups_sent(*tag).into_iter().find(|(at, _)| *at >= before);
        assert!(again.is_none_or(|(at, _)| at >= before + 200), "the guard time is kept");
    }
}

#[test]
fn answer_without_description_and_release_without_cause_close_the_connection() {
    for line in [
        r#"{"verb":"STARTED","tag":"0000000000000007","opts":{}}"#,
        r#"{"verb":"STARTED","tag":"0000000000000007","opts":{},"blob":""}"#,
        r#"{"verb":"FINISH","tag":"0000000000000007","opts":{}}"#,
    ] {
        let mut harness = Harness::new(2);
        let client = harness.connect();
        harness.start_call(client, 7, 3000);
        let (_, link) = harness.set_ups_sent(7)[0];
        harness.switch_sends(link, line);
        assert!(harness.outputs.iter().any(|(_, o)| *o == Output::CloseLink { link }), "{line}");
        assert!(harness.messages_about(7).is_empty());
    }
}

#[test]
fn answer_with_unknown_tag_is_dropped_and_the_next_valid_one_counts() {
    let mut harness = Harness::new(1);
    let client = harness.connect();
    harness.start_call(client, 7, 3000);
    let (_, link) = harness.set_ups_sent(7)[0];
    harness.answer_call(link, 99);
    harness.release_call(link, 98, 34);
    harness.answer_call(link, 7);
    assert_eq!(harness.messages_about(7), [(Verb::Started, None)]);
    assert!(harness.messages_about(99).is_empty() && harness.messages_about(98).is_empty());
}

/// A refused connection proves that the set-up never ran, so the call can go on without the guard time.
#[test]
fn refused_connection_does_not_end_the_call() {
    let mut harness = Harness::with_switches(&[("s-1", 7001, "Ready", 0)]);
    harness.refusing_ports.push(7001);
    harness.break_links_to(7001);
    let client = harness.connect();
    harness.start_call(client, 7, 3000);
    harness.advance(1000);
    assert!(harness.set_ups_sent(7).is_empty() && harness.messages_about(7).is_empty());
    harness.refusing_ports.clear();
    harness.advance(1000);
    assert_eq!(harness.set_ups_sent(7).len(), 1);
}

#[test]
fn queued_set_up_is_not_sent_to_a_draining_switch() {
    let mut harness = Harness::with_switches(&[("s-1", 7001, "Ready", 0)]);
    harness.hanging_ports.push(7001);
    harness.break_links_to(7001);
    let client = harness.connect();
    harness.start_call(client, 7, 3000);
    assert!(harness.set_ups_sent(7).is_empty());
    harness.input(Input::ConfiguredList(pool(2, &[("s-1", 7001, "Terminating", 0)])));
    let links: Vec<LinkId> = harness.links.keys().copied().collect();
    for link in links {
        harness.links_up.insert(link, true);
        harness.input(Input::LinkUp { link });
    }
    harness.advance(3000);
    assert!(harness.set_ups_sent(7).is_empty());
    assert_eq!(harness.messages_about(7), [REFUSED]);
}

#[test]
fn release_by_a_caller_reaches_the_switch_from_any_of_its_connections() {
    let mut harness = Harness::new(1);
    let client = harness.connect();
    harness.establish_call(client, 7);
    let other = harness.connect();
    harness.client_sends(other, &finish_line(7, 16));
    assert_eq!(harness.releases_sent(7).len(), 1);
    assert_eq!(harness.messages_about(7).last(), Some(&(Verb::Finished, None)));
    harness.client_sends(other, &finish_line(7, 16));
    assert_eq!(
        (harness.releases_sent(7).len(), harness.messages_about(7).last()),
        (1, Some(&(Verb::Finished, None)))
    );
    harness.client_sends(other, &finish_line(123, 16));
    assert!(matches!(harness.messages_about(123)[..], [(Verb::Finish, Some(rc))] if rc != 16 && rc != 34));
}

#[test]
fn release_without_a_connection_is_sent_on_the_next_one() {
    let mut harness = Harness::new(1);
    let client = harness.connect();
    harness.establish_call(client, 7);
    harness.hanging_ports.push(7001);
    harness.break_links_to(7001);
    harness.client_sends(client, &finish_line(7, 16));
    assert!(harness.releases_sent(7).is_empty());
    harness.hanging_ports.clear();
    harness.advance(2000);
    harness.advance(2000);
    assert_eq!(harness.releases_sent(7).len(), 1);
}

#[test]
fn release_reaches_a_caller_on_another_or_the_next_connection_and_never_a_client_without_calls() {
    let mut harness = Harness::new(1);
    let (first, stranger) = (harness.connect(), harness.connect());
    harness.client_sends(stranger, r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#);
    let link = harness.establish_call(first, 7);
    harness.establish_call(first, 8);
    harness.input(Input::ClientDisconnected { client: first });
    harness.release_call(link, 7, 16);
    assert_eq!(harness.messages_about(7).len(), 1, "only a client without calls is connected");
    let second = harness.connect();
    harness.establish_call(second, 9);
    assert_eq!(harness.messages_about(7).len(), 2);
    harness.release_call(link, 8, 41);
    for (tag, rc) in [(7, 16), (8, 41)] {
        let (_, to, message) =
            harness.sent_to_clients().into_iter().rfind(|(_, _, m)| m.tag.0 == tag).unwrap();
        assert_eq!((to, message.rc), (second, Some(rc)));
    }
}

#[test]
fn restored_call_is_released_even_if_the_switch_released_it_first() {
    let report_established = |tag: u64, at: &str| {
        format!(
            r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"voice","extras":"at:{at}"}},"blob":"x"}}"#
        )
    };
    let mut harness = Harness::new(1);
    let client = harness.connect();
    harness.client_sends(client, &report_established(7, "s-1"));
    harness.client_sends(client, &report_established(7, "s-1"));
    assert!(harness.messages_about(7).is_empty(), "it expects no answer");
    let link = *harness.links_up.keys().next().unwrap();
    harness.release_call(link, 8, 16);
    harness.client_sends(client, &report_established(8, "s-1"));
    harness.release_call(link, 7, 16);
    harness.client_sends(client, &report_established(9, "s-nowhere"));
    for (tag, rc) in [(7, 16), (8, 16), (9, 41)] {
        assert_eq!(harness.messages_about(tag), [(Verb::Finish, Some(rc))], "{tag}");
    }
    assert!(harness.set_ups_sent(7).is_empty() && harness.set_ups_sent(8).is_empty());
}

#[test]
fn callers_are_notified_of_a_dead_process_or_silent_machine_within_8_s_but_not_of_a_reset() {
    // A process that died refuses connections.
    let mut harness = Harness::new(2);
    let client = harness.connect();
    let link = harness.establish_call(client, 7);
    let port = harness.links[&link];
    harness.refusing_ports.push(port);
    harness.break_links_to(port);
    harness.advance(7000);
    assert_eq!(harness.messages_about(7), [(Verb::Started, None), (Verb::Finish, Some(41))]);
    // A machine that vanished sends nothing, and connections to it hang.
    let mut harness = Harness::new(2);
    let client = harness.connect();
    let link = harness.establish_call(client, 7);
    harness.hanging_ports.push(harness.links[&link]);
    harness.advance(7900);
    assert_eq!(harness.messages_about(7).last(), Some(&(Verb::Finish, Some(41))));
    assert!(
        harness.sent_to_switches().iter().any(|(_, l, m)| m.verb == Verb::Echo && *l == link),
        "it was probed first"
    );
    // Connections that are reset and come up again prove nothing.
    let mut harness = Harness::new(2);
    let client = harness.connect();
    let link = harness.establish_call(client, 7);
    let port = harness.links[&link];
    for _ in 0..40 {
        harness.break_links_to(port);
        harness.advance(500);
        let echoes: Vec<_> = harness
            .sent_to_switches()
            .into_iter()
            .filter(|(_, l, m)| m.verb == Verb::Echo && harness.links_up.contains_key(l))
            .collect();
        for (_, link, echo) in echoes {
            harness.switch_sends(
                link,
                &format!(r#"{{"verb":"ECHOED","tag":"{}","opts":{{}},"rc":1}}"#, echo.tag),
            );
        }
    }
    assert_eq!(harness.messages_about(7), [(Verb::Started, None)]);
}

#[test]
fn restarted_switch_loses_only_calls_established_before_its_start() {
    let mut harness = Harness::new(1);
    let client = harness.connect();
    harness.establish_call(client, 7);
    harness.advance(1000);
    let started = harness.now_ms - 500;
    let link = harness.establish_call(client, 8);
    harness.input(Input::ConfiguredList(pool(2, &[("s-1", 7001, "Ready", started)])));
    assert_eq!(harness.messages_about(7).last(), Some(&(Verb::Finish, Some(41))));
    assert_eq!(harness.messages_about(8), [(Verb::Started, None)]);
    harness.release_call(link, 8, 16);
    assert_eq!(harness.messages_about(8).len(), 2);
}

#[test]
fn new_switch_at_an_old_address_gets_its_own_connections() {
    let mut harness = Harness::with_switches(&[("s-1", 7001, "Ready", 0)]);
    let old: Vec<LinkId> = harness.links_up.keys().copied().collect();
    harness.input(Input::ConfiguredList(pool(2, &[("s-2", 7001, "Ready", START_MS)])));
    assert!(
        old.iter().all(|link| harness.outputs.iter().any(|(_, o)| *o == Output::CloseLink { link: *link }))
    );
    harness.advance(200);
    assert!(harness.links_up.keys().any(|l| !old.contains(l)));
    let client = harness.connect();
    harness.start_call(client, 7, 3000);
    harness.advance(2000);
    assert!(harness.set_ups_sent(7).iter().all(|(_, l)| !old.contains(l)));
}

#[test]
fn older_list_changes_nothing() {
    let mut harness = Harness::new(1);
    harness.input(Input::ConfiguredList(pool(5, &[("s-1", 7001, "Ready", 0), ("s-2", 7002, "Ready", 0)])));
    harness.input(Input::ConfiguredList(pool(4, &[("s-1", 7001, "Terminating", 0)])));
    assert_eq!(harness.node.state_sizes()[4], 2);
    let client = harness.connect();
    harness.start_call(client, 7, 3000);
    assert_eq!(harness.set_ups_sent(7).len(), 1);
}

#[test]
fn invalid_set_ups_fail_at_once_and_reach_no_switch() {
    let mut harness = Harness::new(1);
    let client = harness.connect();
    let good = start_line(1, 3000);
    let bad = [
        good.replace("\"voice\"", "\"video\""),
        good.replace("\"class\":\"voice\",", ""),
        good.replace("\"3000\"", "\"0\""),
        good.replace("\"3000\"", "\"-5\""),
        good.replace("\"3000\"", "\"9001\""),
        good.replace("\"3000\"", "99999999999999999999"),
        good.replace("\"3000\"", "\"soon\""),
        good.replace("\"left\":\"3000\",", ""),
        good.replace("\"key\":\"7f3a\",", ""),
        good.replace("width:1", "width:NaN"),
        good.replace("width:1", "width:-1"),
        good.replace("dest:1", "dest:1e99"),
        good.replace("dest:1", "dest"),
        good.replace("via:-1", "via:-7"),
        good.replace(",\"blob\":\"offer 1\"", ""),
    ];
    for (n, line) in bad.iter().enumerate() {
        assert_ne!(*line, good);
        let tag = n as u64 + 1;
        harness.client_sends(client, &line.replace("0000000000000001", &format!("{tag:016x}")));
        let messages = harness.messages_about(tag);
        assert!(
            matches!(messages[..], [(Verb::Finish, Some(rc))] if ![16, 34, 42, 102].contains(&rc)),
            "{line}: {messages:?}"
        );
    }
    assert!(harness.sent_to_switches().is_empty() && !harness.is_closed(client));
}

#[test]
fn invalid_lines_get_an_error_and_a_close() {
    let wrong = [
        "{\"verb\":\"START\"}",
        "nonsense",
        "{\"verb\":\"STARTED\",\"tag\":\"0000000000000001\"}",
        "{\"verb\":\"DANCE\",\"tag\":\"0000000000000001\"}",
        "{\"verb\":\"START\",\"tag\":\"0000000000000001\",\"opts\":7}",
    ];
    for line in wrong {
        let mut harness = Harness::new(1);
        let client = harness.connect();
        harness.client_sends(client, line);
        let error = harness.outputs.iter().position(|(_, o)| matches!(o, Output::ToClient { .. }));
        let closed = harness.outputs.iter().position(|(_, o)| *o == Output::CloseClient { client });
        assert!(error.is_some() && error < closed, "{line}");
    }
}

#[test]
fn tag_of_an_existing_call_used_on_another_connection_does_not_affect_the_call() {
    let mut harness = Harness::new(1);
    let (owner, other) = (harness.connect(), harness.connect());
    harness.start_call(owner, 7, 3000);
    harness.client_sends(other, &start_line(7, 2000).replace("offer", "another"));
    assert!(harness.is_closed(other) && harness.messages_about(7).is_empty());
    let third = harness.connect();
    harness.client_sends(third, &finish_line(7, 16));
    assert!(harness.messages_about(7).is_empty(), "a tag alone withdraws no set-up");
    let (_, link) = harness.set_ups_sent(7)[0];
    harness.answer_call(link, 7);
    assert_eq!(harness.sent_to_clients().into_iter().filter(|(_, c, _)| *c == owner).count(), 1);
    let fourth = harness.connect();
    harness.client_sends(fourth, &start_line(7, 2000));
    assert!(harness.is_closed(fourth));
    assert_eq!((harness.messages_about(7).len(), harness.set_ups_sent(7).len()), (1, 1));
}

#[test]
fn abandoned_call_gets_no_answer_and_its_set_up_is_released() {
    let mut harness = Harness::new(2);
    let (one, two) = (harness.connect(), harness.connect());
    harness.start_call(one, 7, 3000);
    harness.start_call(two, 8, 3000);
    harness.client_sends(one, &finish_line(7, 16));
    harness.input(Input::ClientDisconnected { client: two });
    assert_eq!(harness.messages_about(7), [(Verb::Finished, None)]);
    for tag in [7, 8] {
        assert_eq!(harness.releases_sent(tag).len(), 1);
        let (_, link) = harness.set_ups_sent(tag)[0];
        harness.answer_call(link, tag);
    }
    harness.advance(4000);
    assert!(harness.messages_about(8).is_empty());
    assert_eq!((harness.messages_about(7).len(), harness.node.state_sizes()[..2].to_vec()), (1, vec![0, 0]));
}

#[test]
fn silent_clients_and_partial_lines_are_closed_within_3_s_unless_a_set_up_is_open() {
    let mut harness = Harness::new(1);
    let (silent, half, caller) = (harness.connect(), harness.connect(), harness.connect());
    harness.input(Input::ClientBytesRead { client: half, partial_line: true });
    harness.start_call(caller, 7, 8000);
    harness.input(Input::ClientBytesRead { client: caller, partial_line: true });
    harness.advance(2999);
    assert!(harness.is_closed(silent) && harness.is_closed(half) && !harness.is_closed(caller));
}

#[test]
fn hundreds_of_connections_without_calls_evict_no_caller() {
    let mut harness = Harness::new(2);
    let caller = harness.connect();
    harness.start_call(caller, 7, 8000);
    let idle = harness.connect();
    harness.client_sends(idle, r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#);
    let owner = harness.connect();
    harness.establish_call(owner, 8);
    for n in 0..500 {
        let crowd = harness.connect();
        if n % 2 == 0 {
            harness.client_sends(crowd, r#"{"verb":"ECHO","tag":"00000000000000ab","opts":{},"rc":0}"#);
        }
    }
    assert!(!harness.is_closed(caller) && !harness.is_closed(owner) && harness.is_closed(idle));
    assert!(harness.node.state_sizes()[2] <= 128);
}

#[test]
fn tests_fail_after_sigterm_and_accepted_calls_are_answered_before_shutdown() {
    let mut harness = Harness::new(1);
    let client = harness.connect();
    let echo = r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#;
    harness.client_sends(client, echo);
    harness.start_call(client, 7, 3000);
    harness.input(Input::Stop);
    harness.client_sends(client, echo);
    assert_eq!(harness.messages_about(0xaa), [(Verb::Echoed, Some(1)), (Verb::Echoed, Some(0))]);
    harness.advance(300);
    let late = harness.connect();
    harness.start_call(late, 8, 3000);
    assert_eq!(harness.set_ups_sent(8).len(), 1, "served as usual");
    harness.advance(500);
    harness.input(Input::Stop);
    harness.start_call(late, 9, 3000);
    assert_eq!(
        (harness.messages_about(9), harness.set_ups_sent(9).len()),
        (vec![(Verb::Finish, Some(42))], 0)
    );
    assert!(!harness.is_done());
    for tag in [7, 8] {
        let (_, link) = harness.set_ups_sent(tag)[0];
        harness.answer_call(link, tag);
    }
    harness.advance(20);
    assert!(harness.is_done());
}

#[test]
fn client_connections_stay_open_until_all_calls_are_answered_and_are_closed_before_shutdown_ends() {
    let mut harness = Harness::new(1);
    let (busy, idle) = (harness.connect(), harness.connect());
    let link_of_6 = harness.establish_call(idle, 6);
    harness.start_call(busy, 7, 3000);
    harness.input(Input::Stop);
    harness.advance(1000);
    assert!(!harness.is_closed(busy) && !harness.is_closed(idle), "releases are still sent on them");
    harness.release_call(link_of_6, 6, 16);
    assert_eq!(harness.messages_about(6), [(Verb::Started, None), (Verb::Finish, Some(16))]);
    let (_, link) = harness.set_ups_sent(7)[0];
    harness.answer_call(link, 7);
    assert!(!harness.is_done(), "what has arrived is read first");
    harness.advance(20);
    let last: Vec<&Output> = harness.outputs.iter().map(|(_, o)| o).rev().take(3).collect();
    let close = |client| Output::CloseClient { client };
    assert_eq!(last, [&Output::Done, &close(idle), &close(busy)]);
    assert_eq!(harness.messages_about(7), [(Verb::Started, None)], "sent before the close");
    harness.start_call(idle, 8, 3000);
    assert_eq!(
        harness.messages_about(8),
        [(Verb::Finish, Some(42))],
        "a set-up that was unread is answered too"
    );
    assert!(harness.set_ups_sent(8).is_empty());
}

#[test]
fn calls_beyond_the_open_call_limit_are_refused_with_a_retry_time() {
    let mut harness = Harness::new(1);
    // No client may take every place, so as many as it takes share them.
    for first_tag in (1..=1000).step_by(10) {
        let client = harness.connect();
        (first_tag..first_tag + 10).for_each(|tag| harness.start_call(client, tag, 8000));
    }
    assert_eq!(harness.node.counters().refused, 0);
    let client = harness.connect();
    harness.start_call(client, 1001, 8000);
    let (_, _, last) = harness.sent_to_clients().into_iter().find(|(_, _, m)| m.tag.0 == 1001).unwrap();
    assert_eq!((last.rc, last.opts["wait"].as_u64()), (Some(42), Some(2000)));
    assert_eq!(harness.node.state_sizes()[0], 1000);
}

#[test]
fn idle_connections_are_replaced_before_the_idle_timeout() {
    let mut harness = Harness::new(1);
    let first: Vec<LinkId> = harness.links_up.keys().copied().collect();
    harness.advance(59_000);
    assert!(
        first.iter().all(|link| harness.outputs.iter().any(|(_, o)| *o == Output::CloseLink { link: *link }))
    );
    assert!(!harness.links_up.is_empty());
}

#[test]
fn draining_switch_is_dialled_only_while_it_has_an_established_call() {
    let dials = |harness: &Harness, port: u16| {
        let opened = harness.outputs.iter().filter(|(_, o)| match o {
            Output::OpenLink { address, .. } => address.port() == port,
            _ => false,
        });
        opened.count()
    };
    let lines = [("s-1", 7001, "Ready", 0), ("s-2", 7002, "Terminating", 0)];
    let mut harness = Harness::with_switches(&lines);
    harness.advance(3000);
    assert_eq!((dials(&harness, 7001), dials(&harness, 7002)), (1, 0), "a gateway that has just started");
    let client = harness.connect();
    harness.client_sends(
        client,
        r#"{"verb":"START","tag":"0000000000000007","blob":"offer","opts":{"class":"voice","extras":"at:s-2"}}"#,
    );
    assert_eq!(dials(&harness, 7002), 1, "its caller reports an established call there");
    let (link, _) = harness.links.iter().find(|(_, port)| **port == 7002).expect("a connection");
    harness.release_call(*link, 7, 16);
    assert_eq!(harness.messages_about(7), [(Verb::Finish, Some(16))]);
    harness.break_links_to(7002);
    harness.advance(3000);
    assert_eq!(dials(&harness, 7002), 1, "no call is established there any more");
}

#[test]
fn many_new_switches_clients_and_calls_leave_no_state_behind() {
    let mut harness = Harness::new(1);
    let port = |n: u64| 7001 + (n % 3) as u16;
    for n in 1..300u64 {
        let id = format!("s-new{n}");
        harness.input(Input::ConfiguredList(pool(
            n as u32 + 1,
            &[(&id, port(n), "Ready", harness.now_ms - 20_000)],
        )));
        let client = harness.connect();
        harness.start_call(client, n, 2000);
        harness.advance(400);
        if let Some((_, link)) = harness.set_ups_sent(n).last().copied() {
            harness.answer_call(link, n);
            harness.release_call(link, n, 16);
        }
        harness.input(Input::ClientDisconnected { client });
        harness.outputs.retain(|(_, o)| matches!(o, Output::CloseClient { .. }));
    }
    harness.advance(3000);
    let [open, established, clients, links, switches] = harness.node.state_sizes();
    assert_eq!((open, established, clients, switches), (0, 0, 0, 1));
    assert!(links <= 8, "{links}");
}

#[test]
fn hanging_dials_do_not_accumulate() {
    let mut harness = Harness::new(1);
    harness.hanging_ports.push(7001);
    harness.break_links_to(7001);
    let client = harness.connect();
    for tag in 1..=50 {
        harness.start_call(client, tag, 4000);
    }
    assert!(harness.links.len() <= 2, "{}", harness.links.len());
    let hanging: Vec<LinkId> = harness.links.keys().copied().collect();
    for link in hanging {
        harness.links.remove(&link);
        harness.input(Input::LinkDown { link, end: LinkEnd::Unreachable });
    }
    harness.advance(5000);
    assert_eq!(harness.node.state_sizes()[0], 0);
    assert!((1..=50).all(|tag| harness.messages_about(tag).len() == 1));
    let _ = ClientId(0);
}

#[test]
fn call_that_a_switch_fails_repeatedly_never_waits_for_a_connection() {
    let mut harness = Harness::new(1);
    let client = harness.connect();
    harness.start_call(client, 7, 3000);
    for n in 1..=5 {
        let starts = harness.set_ups_sent(7);
        assert_eq!((starts.len(), harness.now_ms), (n, START_MS), "at once, whichever connections it was on");
        harness.release_call(starts[n - 1].1, 7, 17);
    }
    assert_eq!(harness.messages_about(7), [REFUSED], "after the maximum number of attempts");
}

#[test]
fn call_with_reset_attempts_gets_a_fresh_connection_each_time() {
    let mut harness = Harness::new(1);
    let client = harness.connect();
    harness.start_call(client, 7, 8000);
    for n in 1..=4 {
        let (_, link) = *harness.set_ups_sent(7).last().unwrap();
        assert_eq!(harness.set_ups_sent(7).len(), n);
        // Ended by an unusable answer, which proves no end of the attempt at the switch.
        harness.switch_sends(link, r#"{"verb":"STARTED","tag":"0000000000000007","opts":{}}"#);
        harness.advance(1200);
    }
    let links: std::collections::BTreeSet<LinkId> =
        harness.set_ups_sent(7).into_iter().map(|(_, l)| l).collect();
    assert_eq!(links.len(), harness.set_ups_sent(7).len(), "no connection is used twice");
}

#[test]
fn reported_free_circuits_reach_the_controller() {
    let mut harness = Harness::new(1);
    let client = harness.connect();
    let link = harness.establish_call(client, 7);
    let load = |free: u32| {
        format!(r#"{{"verb":"LOAD","tag":"0000000000000000","opts":{{"load":"free:{free};size:87"}}}}"#)
    };
    harness.switch_sends(link, &load(0));
    harness.start_call(client, 8, 3000);
    assert!(harness.set_ups_sent(8).is_empty(), "no circuit is free");
    harness.switch_sends(link, &load(40));
    harness.advance(250);
    assert_eq!(harness.set_ups_sent(8).len(), 1);
}

#[test]
fn callers_are_notified_in_time_of_a_stopped_process_that_still_passes_tests_on_old_connections() {
    for state in ["Draining", "Ready"] {
        let mut harness = Harness::new(2);
        let client = harness.connect();
        let link = harness.establish_call(client, 7);
        let port = harness.links[&link];
        let state_of = |p| if p == port && state == "Draining" { "Terminating" } else { "Ready" };
        harness.input(Input::ConfiguredList(pool(
            2,
            &[("s-1", 7001, state_of(7001), 0), ("s-2", 7002, state_of(7002), 0)],
        )));
        harness.refusing_ports.push(port);
        let mut answered = 0;
        for _ in 0..70 {
            harness.advance(100);
            let echoes: Vec<Message> = harness.sent_to_switches().into_iter().map(|(_, _, m)| m).collect();
            for echo in echoes.iter().filter(|m| m.verb == Verb::Echo).skip(answered) {
                answered += 1;
                harness.switch_sends(
                    link,
                    &format!(r#"{{"verb":"ECHOED","tag":"{}","opts":{{}},"rc":1}}"#, echo.tag),
                );
            }
        }
        assert!(answered > 0 && harness.links.contains_key(&link), "the old connection stays up");
        assert_eq!(harness.messages_about(7), [(Verb::Started, None), (Verb::Finish, Some(41))], "{state}");
    }
}

#[test]
fn new_switch_at_the_address_of_a_removed_one_keeps_none_of_its_calls_alive() {
    let mut harness = Harness::with_switches(&[("s-1", 7001, "Ready", 0), ("s-2", 7002, "Ready", 0)]);
    let client = harness.connect();
    let link = harness.establish_call(client, 7);
    let port = harness.links[&link];
    let other = [("s-1", 7001), ("s-2", 7002)].into_iter().find(|(_, p)| *p != port).unwrap();
    // The connections of the old switch break, and those that come up in their place lead to the new one.
    harness.break_links_to(port);
    harness.advance(600);
    assert!(harness.links_up.keys().any(|l| harness.links[l] == port), "connected to the new switch");
    assert_eq!(harness.messages_about(7), [(Verb::Started, None)]);
    harness.input(Input::ConfiguredList(pool(
        2,
        &[(other.0, other.1, "Ready", 0), ("s-3", port, "Ready", START_MS)],
    )));
    assert_eq!(harness.messages_about(7), [(Verb::Started, None), (Verb::Finish, Some(41))]);
}

#[test]
fn release_lost_with_a_draining_switchs_connection_arrives_on_a_new_one_although_another_is_up() {
    let mut harness = Harness::with_switches(&[("s-1", 7001, "Ready", 0)]);
    let client = harness.connect();
    let first = harness.establish_call(client, 7);
    // Two set-ups that share a connection cause a second one to be opened.
    harness.advance(400);
    harness.start_call(client, 8, 3000);
    harness.start_call(client, 9, 3000);
    assert_eq!((harness.set_ups_sent(8).len(), harness.set_ups_sent(9).len()), (1, 1));
    assert!(harness.links_up.len() >= 2, "two connections");
    harness.input(Input::ConfiguredList(pool(2, &[("s-1", 7001, "Terminating", 0)])));
    let before: Vec<LinkId> = harness.links_up.keys().copied().collect();
    harness.break_link(first);
    harness.advance(50);
    let link = *harness.links_up.keys().find(|l| !before.contains(l)).expect("a new connection was opened");
    harness.release_call(link, 7, 16);
    assert_eq!(harness.messages_about(7), [(Verb::Started, None), (Verb::Finish, Some(16))]);
}
