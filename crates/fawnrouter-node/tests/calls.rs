//! Calls and their hard cases, through the whole gateway with its decisions.

mod common;

use common::*;
use fawnrouter_node::jsonl::{Message, Verb};
use fawnrouter_node::{ClientId, Input, LinkEnd, LinkId, Output};

const REFUSED: (Verb, Option<i64>) = (Verb::Finish, Some(34));

#[test]
fn a_call_goes_through_with_its_descriptions_unchanged_and_its_release_is_passed_on() {
    let mut rig = Rig::new(2);
    let client = rig.connect();
    let link = rig.standing(client, 7);
    let (_, _, sent) = rig.to_links().into_iter().find(|(_, _, m)| m.verb == Verb::Start).unwrap();
    assert_eq!(sent.blob.as_deref(), Some("offer 7"));
    assert_eq!((sent.opts["class"].as_str(), sent.opts["key"].as_str()), (Some("voice"), Some("7f3a")));
    assert!(sent.opts["left"].as_u64().is_some_and(|left| left > 1000 && left <= 3000));
    assert_eq!(rig.to_clients()[0].2.blob.as_deref(), Some("answer 7"));
    rig.finish(link, 7, 16);
    assert_eq!(rig.told(7), [(Verb::Started, None), (Verb::Finish, Some(16))]);
    assert_eq!(rig.node.held()[..2], [0, 0]);
}

#[test]
fn a_full_switch_is_left_at_once_for_another() {
    let mut rig = Rig::new(2);
    let client = rig.connect();
    rig.call(client, 7, 3000);
    let (_, first) = rig.starts(7)[0];
    rig.finish(first, 7, 34);
    let starts = rig.starts(7);
    assert_eq!(starts.len(), 2);
    assert_ne!(rig.links[&starts[1].1], rig.links[&first]);
    assert!(rig.told(7).is_empty());
}

#[test]
fn what_is_late_for_an_attempt_that_was_given_up_is_neither_passed_on_nor_taken_for_the_next() {
    let mut rig = Rig::new(1);
    let client = rig.connect();
    rig.call(client, 7, 3000);
    let (_, first) = rig.starts(7)[0];
    rig.switch_says(first, r#"{"verb":"FINISH","tag":"0000000000000007","opts":{},"rc":41}"#);
    rig.pass(400);
    let starts = rig.starts(7);
    assert_eq!(starts.len(), 2, "the one switch there is gets it again after the guard");
    assert!(starts[1].0 - starts[0].0 >= 200);
    assert_ne!(starts[1].1, first, "on another connection, as the id does not tell the attempts apart");
    rig.started(first, 7);
    assert!(rig.told(7).is_empty());
    rig.started(starts[1].1, 7);
    assert_eq!(rig.told(7), [(Verb::Started, None)]);
    rig.started(starts[1].1, 7);
    assert_eq!(rig.told(7).len(), 1, "a second copy goes nowhere");
}

#[test]
fn a_call_that_nobody_answers_gets_one_refusal_in_time_and_its_set_up_is_withdrawn() {
    let mut rig = Rig::new(1);
    let client = rig.connect();
    rig.call(client, 7, 1500);
    rig.pass(1500);
    assert_eq!(rig.told(7), [REFUSED]);
    assert!(rig.to_clients()[0].0 < START_MS + 1500);
    assert!(!rig.releases(7).is_empty());
    let (_, link) = rig.starts(7)[0];
    rig.started(link, 7);
    rig.pass(9000);
    assert_eq!(rig.told(7).len(), 1);
}

#[test]
fn a_spoilt_line_ends_its_connection_and_each_set_up_on_it_once_and_frees_the_switch() {
    let mut rig = Rig::new(1);
    let client = rig.connect();
    // So many that connections are shared.
    for tag in 1..=20 {
        rig.call(client, tag, 5000);
        rig.pass(30);
        if let Some((_, link)) = rig.starts(tag).last().copied().filter(|_| tag <= 10) {
            rig.started(link, tag);
        }
    }
    let (_, link) = *rig.starts(20).first().or(rig.starts(11).first()).expect("one is out");
    let out: Vec<u64> =
        (11..=20).filter(|t| rig.starts(*t).last().is_some_and(|(_, l)| *l == link)).collect();
    assert!(!out.is_empty());
    let before = rig.now_ms;
    rig.switch_says(link, "noise");
    assert!(rig.seen.iter().any(|(_, o)| *o == Output::CloseLink { link }));
    for tag in &out {
        let releases = rig.releases(*tag);
        assert_eq!(releases.len(), 1, "it may stand there: the answer was spoilt");
        assert_ne!(releases[0].1, link);
    }
    rig.pass(2000);
    for tag in &out {
        let again = rig.starts(*tag).into_iter().find(|(at, _)| *at >= before);
        assert!(again.is_none_or(|(at, _)| at >= before + 200), "the guard is kept");
    }
}

#[test]
fn an_answer_without_a_description_and_a_release_without_a_cause_are_spoilt() {
    for line in [
        r#"{"verb":"STARTED","tag":"0000000000000007","opts":{}}"#,
        r#"{"verb":"STARTED","tag":"0000000000000007","opts":{},"blob":""}"#,
        r#"{"verb":"FINISH","tag":"0000000000000007","opts":{}}"#,
    ] {
        let mut rig = Rig::new(2);
        let client = rig.connect();
        rig.call(client, 7, 3000);
        let (_, link) = rig.starts(7)[0];
        rig.switch_says(link, line);
        assert!(rig.seen.iter().any(|(_, o)| *o == Output::CloseLink { link }), "{line}");
        assert!(rig.told(7).is_empty());
    }
}

#[test]
fn an_answer_under_an_unknown_id_is_dropped_and_the_good_one_behind_it_counts() {
    let mut rig = Rig::new(1);
    let client = rig.connect();
    rig.call(client, 7, 3000);
    let (_, link) = rig.starts(7)[0];
    rig.started(link, 99);
    rig.finish(link, 98, 34);
    rig.started(link, 7);
    assert_eq!(rig.told(7), [(Verb::Started, None)]);
    assert!(rig.told(99).is_empty() && rig.told(98).is_empty());
}

#[test]
fn a_refused_connection_proves_that_nothing_ran_and_the_call_goes_on_at_once() {
    let mut rig = Rig::with(&[("s-1", 7001, "Ready", 0)]);
    rig.refusing.push(7001);
    rig.all_broken(7001);
    let client = rig.connect();
    rig.call(client, 7, 3000);
    rig.pass(1000);
    assert!(rig.starts(7).is_empty() && rig.told(7).is_empty());
    rig.refusing.clear();
    rig.pass(1000);
    assert_eq!(rig.starts(7).len(), 1);
}

#[test]
fn what_waits_for_a_connection_is_not_written_once_its_switch_drains() {
    let mut rig = Rig::with(&[("s-1", 7001, "Ready", 0)]);
    rig.silent.push(7001);
    rig.all_broken(7001);
    let client = rig.connect();
    rig.call(client, 7, 3000);
    assert!(rig.starts(7).is_empty());
    rig.input(Input::ConfiguredList(pool(2, &[("s-1", 7001, "Terminating", 0)])));
    let links: Vec<LinkId> = rig.links.keys().copied().collect();
    for link in links {
        rig.up.insert(link, true);
        rig.input(Input::LinkUp { link });
    }
    rig.pass(3000);
    assert!(rig.starts(7).is_empty());
    assert_eq!(rig.told(7), [REFUSED]);
}

#[test]
fn a_callers_release_reaches_the_switch_whatever_connection_it_comes_on() {
    let mut rig = Rig::new(1);
    let client = rig.connect();
    rig.standing(client, 7);
    let other = rig.connect();
    rig.client_says(other, &finish(7, 16));
    assert_eq!(rig.releases(7).len(), 1);
    assert_eq!(rig.told(7).last(), Some(&(Verb::Finished, None)));
    rig.client_says(other, &finish(7, 16));
    assert_eq!((rig.releases(7).len(), rig.told(7).last()), (1, Some(&(Verb::Finished, None))));
    rig.client_says(other, &finish(123, 16));
    assert!(matches!(rig.told(123)[..], [(Verb::Finish, Some(rc))] if rc != 16 && rc != 34));
}

#[test]
fn a_release_with_no_connection_to_the_switch_goes_out_on_the_next_one() {
    let mut rig = Rig::new(1);
    let client = rig.connect();
    rig.standing(client, 7);
    rig.silent.push(7001);
    rig.all_broken(7001);
    rig.client_says(client, &finish(7, 16));
    assert!(rig.releases(7).is_empty());
    rig.silent.clear();
    rig.pass(2000);
    rig.pass(2000);
    assert_eq!(rig.releases(7).len(), 1);
}

#[test]
fn a_release_finds_a_caller_on_another_connection_or_the_next_and_never_a_stranger() {
    let mut rig = Rig::new(1);
    let (first, stranger) = (rig.connect(), rig.connect());
    rig.client_says(stranger, r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#);
    let link = rig.standing(first, 7);
    rig.standing(first, 8);
    rig.input(Input::ClientDisconnected { client: first });
    rig.finish(link, 7, 16);
    assert_eq!(rig.told(7).len(), 1, "only a stranger is there");
    let second = rig.connect();
    rig.standing(second, 9);
    assert_eq!(rig.told(7).len(), 2);
    rig.finish(link, 8, 41);
    for (tag, rc) in [(7, 16), (8, 41)] {
        let (_, to, told) = rig.to_clients().into_iter().rfind(|(_, _, m)| m.tag.0 == tag).unwrap();
        assert_eq!((to, told.rc), (second, Some(rc)));
    }
}

#[test]
fn a_call_told_again_after_a_restart_is_released_even_if_the_switch_was_first() {
    let told = |tag: u64, at: &str| {
        format!(
            r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"voice","extras":"at:{at}"}},"blob":"x"}}"#
        )
    };
    let mut rig = Rig::new(1);
    let client = rig.connect();
    rig.client_says(client, &told(7, "s-1"));
    rig.client_says(client, &told(7, "s-1"));
    assert!(rig.told(7).is_empty(), "it expects no answer");
    let link = *rig.up.keys().next().unwrap();
    rig.finish(link, 8, 16);
    rig.client_says(client, &told(8, "s-1"));
    rig.finish(link, 7, 16);
    rig.client_says(client, &told(9, "s-nowhere"));
    for (tag, rc) in [(7, 16), (8, 16), (9, 41)] {
        assert_eq!(rig.told(tag), [(Verb::Finish, Some(rc))], "{tag}");
    }
    assert!(rig.starts(7).is_empty() && rig.starts(8).is_empty());
}

#[test]
fn callers_hear_of_a_dead_process_and_a_silent_machine_within_8_s_and_nothing_of_a_reset() {
    // A process that died refuses connections.
    let mut rig = Rig::new(2);
    let client = rig.connect();
    let link = rig.standing(client, 7);
    let port = rig.links[&link];
    rig.refusing.push(port);
    rig.all_broken(port);
    rig.pass(7000);
    assert_eq!(rig.told(7), [(Verb::Started, None), (Verb::Finish, Some(41))]);
    // A machine that vanished says nothing, and connections to it hang.
    let mut rig = Rig::new(2);
    let client = rig.connect();
    let link = rig.standing(client, 7);
    rig.silent.push(rig.links[&link]);
    rig.pass(7900);
    assert_eq!(rig.told(7).last(), Some(&(Verb::Finish, Some(41))));
    assert!(rig.to_links().iter().any(|(_, l, m)| m.verb == Verb::Echo && *l == link), "it was asked first");
    // Connections that are reset and come up again prove nothing.
    let mut rig = Rig::new(2);
    let client = rig.connect();
    let link = rig.standing(client, 7);
    let port = rig.links[&link];
    for _ in 0..40 {
        rig.all_broken(port);
        rig.pass(500);
        let echoes: Vec<_> = rig
            .to_links()
            .into_iter()
            .filter(|(_, l, m)| m.verb == Verb::Echo && rig.up.contains_key(l))
            .collect();
        for (_, link, echo) in echoes {
            rig.switch_says(link, &format!(r#"{{"verb":"ECHOED","tag":"{}","opts":{{}},"rc":1}}"#, echo.tag));
        }
    }
    assert_eq!(rig.told(7), [(Verb::Started, None)]);
}

#[test]
fn a_new_start_cuts_what_stood_before_it_and_nothing_else() {
    let mut rig = Rig::new(1);
    let client = rig.connect();
    rig.standing(client, 7);
    rig.pass(1000);
    let started = rig.now_ms - 500;
    let link = rig.standing(client, 8);
    rig.input(Input::ConfiguredList(pool(2, &[("s-1", 7001, "Ready", started)])));
    assert_eq!(rig.told(7).last(), Some(&(Verb::Finish, Some(41))));
    assert_eq!(rig.told(8), [(Verb::Started, None)]);
    rig.finish(link, 8, 16);
    assert_eq!(rig.told(8).len(), 2);
}

#[test]
fn a_new_id_at_an_old_address_has_connections_of_its_own() {
    let mut rig = Rig::with(&[("s-1", 7001, "Ready", 0)]);
    let old: Vec<LinkId> = rig.up.keys().copied().collect();
    rig.input(Input::ConfiguredList(pool(2, &[("s-2", 7001, "Ready", START_MS)])));
    assert!(old.iter().all(|link| rig.seen.iter().any(|(_, o)| *o == Output::CloseLink { link: *link })));
    rig.pass(200);
    assert!(rig.up.keys().any(|l| !old.contains(l)));
    let client = rig.connect();
    rig.call(client, 7, 3000);
    rig.pass(2000);
    assert!(rig.starts(7).iter().all(|(_, l)| !old.contains(l)));
}

#[test]
fn an_older_list_changes_nothing() {
    let mut rig = Rig::new(1);
    rig.input(Input::ConfiguredList(pool(5, &[("s-1", 7001, "Ready", 0), ("s-2", 7002, "Ready", 0)])));
    rig.input(Input::ConfiguredList(pool(4, &[("s-1", 7001, "Terminating", 0)])));
    assert_eq!(rig.node.held()[4], 2);
    let client = rig.connect();
    rig.call(client, 7, 3000);
    assert_eq!(rig.starts(7).len(), 1);
}

#[test]
fn set_ups_that_make_no_sense_are_failed_at_once_and_reach_no_switch() {
    let mut rig = Rig::new(1);
    let client = rig.connect();
    let good = start(1, 3000);
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
        rig.client_says(client, &line.replace("0000000000000001", &format!("{tag:016x}")));
        let told = rig.told(tag);
        assert!(
            matches!(told[..], [(Verb::Finish, Some(rc))] if ![16, 34, 42, 102].contains(&rc)),
            "{line}: {told:?}"
        );
    }
    assert!(rig.to_links().is_empty() && !rig.closed(client));
}

#[test]
fn lines_that_are_no_messages_get_an_error_and_a_close() {
    let wrong = [
        "{\"verb\":\"START\"}",
        "nonsense",
        "{\"verb\":\"STARTED\",\"tag\":\"0000000000000001\"}",
        "{\"verb\":\"DANCE\",\"tag\":\"0000000000000001\"}",
        "{\"verb\":\"START\",\"tag\":\"0000000000000001\",\"opts\":7}",
    ];
    for line in wrong {
        let mut rig = Rig::new(1);
        let client = rig.connect();
        rig.client_says(client, line);
        let told = rig.seen.iter().position(|(_, o)| matches!(o, Output::ToClient { .. }));
        let closed = rig.seen.iter().position(|(_, o)| *o == Output::CloseClient { client });
        assert!(told.is_some() && told < closed, "{line}");
    }
}

#[test]
fn the_id_of_an_open_or_standing_call_on_another_connection_disturbs_and_answers_nothing() {
    let mut rig = Rig::new(1);
    let (owner, other) = (rig.connect(), rig.connect());
    rig.call(owner, 7, 3000);
    rig.client_says(other, &start(7, 2000).replace("offer", "another"));
    assert!(rig.closed(other) && rig.told(7).is_empty());
    let third = rig.connect();
    rig.client_says(third, &finish(7, 16));
    assert!(rig.told(7).is_empty(), "an id alone gives no set-up up");
    let (_, link) = rig.starts(7)[0];
    rig.started(link, 7);
    assert_eq!(rig.to_clients().into_iter().filter(|(_, c, _)| *c == owner).count(), 1);
    let fourth = rig.connect();
    rig.client_says(fourth, &start(7, 2000));
    assert!(rig.closed(fourth));
    assert_eq!((rig.told(7).len(), rig.starts(7).len()), (1, 1));
}

#[test]
fn a_caller_that_gives_up_or_goes_is_told_nothing_and_the_switch_is_freed() {
    let mut rig = Rig::new(2);
    let (one, two) = (rig.connect(), rig.connect());
    rig.call(one, 7, 3000);
    rig.call(two, 8, 3000);
    rig.client_says(one, &finish(7, 16));
    rig.input(Input::ClientDisconnected { client: two });
    assert_eq!(rig.told(7), [(Verb::Finished, None)]);
    for tag in [7, 8] {
        assert_eq!(rig.releases(tag).len(), 1);
        let (_, link) = rig.starts(tag)[0];
        rig.started(link, tag);
    }
    rig.pass(4000);
    assert!(rig.told(8).is_empty());
    assert_eq!((rig.told(7).len(), rig.node.held()[..2].to_vec()), (1, vec![0, 0]));
}

#[test]
fn silent_clients_and_half_lines_are_closed_within_3_s_and_callers_in_a_set_up_are_not() {
    let mut rig = Rig::new(1);
    let (silent, half, caller) = (rig.connect(), rig.connect(), rig.connect());
    rig.input(Input::ClientBytesRead { client: half, partial_line: true });
    rig.call(caller, 7, 8000);
    rig.input(Input::ClientBytesRead { client: caller, partial_line: true });
    rig.pass(2999);
    assert!(rig.closed(silent) && rig.closed(half) && !rig.closed(caller));
}

#[test]
fn hundreds_of_connections_without_calls_push_out_no_caller() {
    let mut rig = Rig::new(2);
    let caller = rig.connect();
    rig.call(caller, 7, 8000);
    let idle = rig.connect();
    rig.client_says(idle, r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#);
    let owner = rig.connect();
    rig.standing(owner, 8);
    for n in 0..500 {
        let crowd = rig.connect();
        if n % 2 == 0 {
            rig.client_says(crowd, r#"{"verb":"ECHO","tag":"00000000000000ab","opts":{},"rc":0}"#);
        }
    }
    assert!(!rig.closed(caller) && !rig.closed(owner) && rig.closed(idle));
    assert!(rig.node.held()[2] <= 128);
}

#[test]
fn the_test_passes_until_sigterm_and_what_was_taken_is_answered_before_the_end() {
    let mut rig = Rig::new(1);
    let client = rig.connect();
    let echo = r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#;
    rig.client_says(client, echo);
    rig.call(client, 7, 3000);
    rig.input(Input::Stop);
    rig.client_says(client, echo);
    assert_eq!(rig.told(0xaa), [(Verb::Echoed, Some(1)), (Verb::Echoed, Some(0))]);
    rig.pass(300);
    let late = rig.connect();
    rig.call(late, 8, 3000);
    assert_eq!(rig.starts(8).len(), 1, "served as usual");
    rig.pass(500);
    rig.input(Input::Stop);
    rig.call(late, 9, 3000);
    assert_eq!((rig.told(9), rig.starts(9).len()), (vec![(Verb::Finish, Some(42))], 0));
    assert!(!rig.done());
    for tag in [7, 8] {
        let (_, link) = rig.starts(tag)[0];
        rig.started(link, tag);
    }
    rig.pass(20);
    assert!(rig.done());
}

#[test]
fn callers_connections_stay_open_until_nothing_is_owed_and_are_closed_in_order_before_the_end() {
    let mut rig = Rig::new(1);
    let (busy, idle) = (rig.connect(), rig.connect());
    let standing = rig.standing(idle, 6);
    rig.call(busy, 7, 3000);
    rig.input(Input::Stop);
    rig.pass(1000);
    assert!(!rig.closed(busy) && !rig.closed(idle), "releases are still told on them");
    rig.finish(standing, 6, 16);
    assert_eq!(rig.told(6), [(Verb::Started, None), (Verb::Finish, Some(16))]);
    let (_, link) = rig.starts(7)[0];
    rig.started(link, 7);
    assert!(!rig.done(), "what lies in the sockets is read first");
    rig.pass(20);
    let last: Vec<&Output> = rig.seen.iter().map(|(_, o)| o).rev().take(3).collect();
    let close = |client| Output::CloseClient { client };
    assert_eq!(last, [&Output::Done, &close(idle), &close(busy)]);
    assert_eq!(rig.told(7), [(Verb::Started, None)], "said before the close");
    rig.call(idle, 8, 3000);
    assert_eq!(rig.told(8), [(Verb::Finish, Some(42))], "what lay unread has its answer too");
    assert!(rig.starts(8).is_empty());
}

#[test]
fn more_open_calls_than_the_settings_allow_are_refused_with_a_time_to_come_back() {
    let mut rig = Rig::new(1);
    let client = rig.connect();
    for tag in 1..=1001 {
        rig.call(client, tag, 8000);
    }
    let (_, _, last) = rig.to_clients().into_iter().find(|(_, _, m)| m.tag.0 == 1001).unwrap();
    assert_eq!((last.rc, last.opts["wait"].as_u64()), (Some(42), Some(2000)));
    assert_eq!(rig.node.held()[0], 1000);
}

#[test]
fn idle_connections_are_replaced_before_the_platform_closes_them() {
    let mut rig = Rig::new(1);
    let first: Vec<LinkId> = rig.up.keys().copied().collect();
    rig.pass(59_000);
    assert!(first.iter().all(|link| rig.seen.iter().any(|(_, o)| *o == Output::CloseLink { link: *link })));
    assert!(!rig.up.is_empty());
}

#[test]
fn a_draining_switch_is_dialled_only_while_a_call_stands_there() {
    let dials = |rig: &Rig, port: u16| {
        let opened = rig.seen.iter().filter(|(_, o)| match o {
            Output::OpenLink { address, .. } => address.port() == port,
            _ => false,
        });
        opened.count()
    };
    let lines = [("s-1", 7001, "Ready", 0), ("s-2", 7002, "Terminating", 0)];
    let mut rig = Rig::with(&lines);
    rig.pass(3000);
    assert_eq!((dials(&rig, 7001), dials(&rig, 7002)), (1, 0), "a gateway that has just begun");
    let client = rig.connect();
    rig.client_says(
        client,
        r#"{"verb":"START","tag":"0000000000000007","blob":"offer","opts":{"class":"voice","extras":"at:s-2"}}"#,
    );
    assert_eq!(dials(&rig, 7002), 1, "its caller names a call that stands there");
    let (link, _) = rig.links.iter().find(|(_, port)| **port == 7002).expect("a connection");
    rig.finish(*link, 7, 16);
    assert_eq!(rig.told(7), [(Verb::Finish, Some(16))]);
    rig.all_broken(7002);
    rig.pass(3000);
    assert_eq!(dials(&rig, 7002), 1, "nothing stands there any more");
}

#[test]
fn a_long_day_of_new_switches_clients_and_calls_leaves_nothing_behind() {
    let mut rig = Rig::new(1);
    let port = |n: u64| 7001 + (n % 3) as u16;
    for n in 1..300u64 {
        let id = format!("s-new{n}");
        rig.input(Input::ConfiguredList(pool(n as u32 + 1, &[(&id, port(n), "Ready", rig.now_ms - 20_000)])));
        let client = rig.connect();
        rig.call(client, n, 2000);
        rig.pass(400);
        if let Some((_, link)) = rig.starts(n).last().copied() {
            rig.started(link, n);
            rig.finish(link, n, 16);
        }
        rig.input(Input::ClientDisconnected { client });
        rig.seen.retain(|(_, o)| matches!(o, Output::CloseClient { .. }));
    }
    rig.pass(3000);
    let [open, standing, clients, links, switches] = rig.node.held();
    assert_eq!((open, standing, clients, switches), (0, 0, 0, 1));
    assert!(links <= 8, "{links}");
}

#[test]
fn dials_that_hang_do_not_pile_up() {
    let mut rig = Rig::new(1);
    rig.silent.push(7001);
    rig.all_broken(7001);
    let client = rig.connect();
    for tag in 1..=50 {
        rig.call(client, tag, 4000);
    }
    assert!(rig.links.len() <= 2, "{}", rig.links.len());
    let hanging: Vec<LinkId> = rig.links.keys().copied().collect();
    for link in hanging {
        rig.links.remove(&link);
        rig.input(Input::LinkDown { link, end: LinkEnd::Unreachable });
    }
    rig.pass(5000);
    assert_eq!(rig.node.held()[0], 0);
    assert!((1..=50).all(|tag| rig.told(tag).len() == 1));
    let _ = ClientId(0);
}

#[test]
fn a_call_that_one_switch_fails_again_and_again_waits_for_no_connection() {
    let mut rig = Rig::new(1);
    let client = rig.connect();
    rig.call(client, 7, 3000);
    for n in 1..=5 {
        let starts = rig.starts(7);
        assert_eq!((starts.len(), rig.now_ms), (n, START_MS), "at once, whatever it has been on");
        rig.finish(starts[n - 1].1, 7, 17);
    }
    assert_eq!(rig.told(7), [REFUSED], "after the most attempts that there may be");
}

#[test]
fn a_call_whose_attempts_all_broke_off_gets_a_fresh_connection() {
    let mut rig = Rig::new(1);
    let client = rig.connect();
    rig.call(client, 7, 8000);
    for n in 1..=4 {
        let (_, link) = *rig.starts(7).last().unwrap();
        assert_eq!(rig.starts(7).len(), n);
        // Broken off by the switch's word that is no proof of an end.
        rig.switch_says(link, r#"{"verb":"STARTED","tag":"0000000000000007","opts":{}}"#);
        rig.pass(1200);
    }
    let links: std::collections::BTreeSet<LinkId> = rig.starts(7).into_iter().map(|(_, l)| l).collect();
    assert_eq!(links.len(), rig.starts(7).len(), "no connection twice");
}

#[test]
fn free_circuits_that_a_switch_tells_reach_the_decisions() {
    let mut rig = Rig::new(1);
    let client = rig.connect();
    let link = rig.standing(client, 7);
    let load = |free: u32| {
        format!(r#"{{"verb":"LOAD","tag":"0000000000000000","opts":{{"load":"free:{free};size:87"}}}}"#)
    };
    rig.switch_says(link, &load(0));
    rig.call(client, 8, 3000);
    assert!(rig.starts(8).is_empty(), "no circuit is free");
    rig.switch_says(link, &load(40));
    rig.pass(250);
    assert_eq!(rig.starts(8).len(), 1);
}

#[test]
fn callers_hear_in_time_of_a_process_that_stopped_but_still_passes_tests_on_old_connections() {
    for state in ["Draining", "Ready"] {
        let mut rig = Rig::new(2);
        let client = rig.connect();
        let link = rig.standing(client, 7);
        let port = rig.links[&link];
        let state_of = |p| if p == port && state == "Draining" { "Terminating" } else { "Ready" };
        rig.input(Input::ConfiguredList(pool(
            2,
            &[("s-1", 7001, state_of(7001), 0), ("s-2", 7002, state_of(7002), 0)],
        )));
        rig.refusing.push(port);
        let mut answered = 0;
        for _ in 0..70 {
            rig.pass(100);
            let echoes: Vec<Message> = rig.to_links().into_iter().map(|(_, _, m)| m).collect();
            for echo in echoes.iter().filter(|m| m.verb == Verb::Echo).skip(answered) {
                answered += 1;
                rig.switch_says(
                    link,
                    &format!(r#"{{"verb":"ECHOED","tag":"{}","opts":{{}},"rc":1}}"#, echo.tag),
                );
            }
        }
        assert!(answered > 0 && rig.links.contains_key(&link), "the old connection stays up");
        assert_eq!(rig.told(7), [(Verb::Started, None), (Verb::Finish, Some(41))], "{state}");
    }
}

#[test]
fn a_new_switch_at_the_address_of_one_that_is_gone_keeps_none_of_its_calls_alive() {
    let mut rig = Rig::with(&[("s-1", 7001, "Ready", 0), ("s-2", 7002, "Ready", 0)]);
    let client = rig.connect();
    let link = rig.standing(client, 7);
    let port = rig.links[&link];
    let other = [("s-1", 7001), ("s-2", 7002)].into_iter().find(|(_, p)| *p != port).unwrap();
    // The old one's connections break, and what comes up in their place is the new one's.
    rig.all_broken(port);
    rig.pass(600);
    assert!(rig.up.keys().any(|l| rig.links[l] == port), "connected to the newcomer");
    assert_eq!(rig.told(7), [(Verb::Started, None)]);
    rig.input(Input::ConfiguredList(pool(
        2,
        &[(other.0, other.1, "Ready", 0), ("s-3", port, "Ready", START_MS)],
    )));
    assert_eq!(rig.told(7), [(Verb::Started, None), (Verb::Finish, Some(41))]);
}

#[test]
fn what_a_draining_switch_wrote_to_a_lost_connection_is_fetched_on_a_new_one_though_another_is_up() {
    let mut rig = Rig::with(&[("s-1", 7001, "Ready", 0)]);
    let client = rig.connect();
    let first = rig.standing(client, 7);
    // Two set-ups that share a connection bring up a second.
    rig.pass(400);
    rig.call(client, 8, 3000);
    rig.call(client, 9, 3000);
    assert_eq!((rig.starts(8).len(), rig.starts(9).len()), (1, 1));
    assert!(rig.up.len() >= 2, "two connections");
    rig.input(Input::ConfiguredList(pool(2, &[("s-1", 7001, "Terminating", 0)])));
    let before: Vec<LinkId> = rig.up.keys().copied().collect();
    rig.broken(first);
    rig.pass(50);
    let link = *rig.up.keys().find(|l| !before.contains(l)).expect("a new connection was opened");
    rig.finish(link, 7, 16);
    assert_eq!(rig.told(7), [(Verb::Started, None), (Verb::Finish, Some(16))]);
}
