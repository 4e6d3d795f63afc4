//! Behaviour at the edges of the platform's time limits: how late the gateway may learn of a change,
//! connections that come up late, duplicate answers some milliseconds late, a name server that does not
//! answer.

mod common;

use std::time::Duration;

use common::*;
use fawnrouter_node::fawnrouter::Time;
use fawnrouter_node::jsonl::Verb;
use fawnrouter_node::{Ask, ClientId, Input, LinkEnd, LinkId, Output};

/// The platform counts an event as known to the gateway at the latest 1.5 s after it happened.
const MAX_CHANGE_REPORT_DELAY_MS: u64 = 1500;
/// Time in the settings (`drainGraceNs`) after which no set-up may be sent to a draining switch.
const DRAIN_GRACE_MS: u64 = 1000;

/// The times of queries, from 0 on.
fn query_times(until_ms: u64) -> Vec<u64> {
    let (mut ask, mut now, mut times) = (Ask::new(), 0, Vec::new());
    while now < until_ms {
        times.push(now);
        let next = ask.next_query(Time(Duration::from_millis(now)), times.len() as u16).next_at;
        now = next.0.as_millis() as u64;
    }
    times
}

#[test]
fn query_interval_tolerates_five_lost_responses_within_1500_ms_and_nine_within_the_grace() {
    let times = query_times(10_000);
    for (k, query) in times.iter().enumerate().take(20) {
        // The change happens right after the response to query k; all later responses but the last are lost.
        let until = |limit: u64| times[k + 1..].iter().filter(|t| **t <= query + limit).count();
        assert_eq!(until(MAX_CHANGE_REPORT_DELAY_MS), 6);
        assert_eq!(until(MAX_CHANGE_REPORT_DELAY_MS + DRAIN_GRACE_MS), 10);
    }
}

#[test]
fn silent_name_server_delays_no_query_and_its_first_response_is_accepted() {
    let mut ask = Ask::new();
    let mut last = Vec::new();
    for n in 0..18u64 {
        let query = ask.next_query(Time(Duration::from_millis(n * 250)), n as u16);
        assert_eq!(
            query.next_at,
            Time(Duration::from_millis((n + 1) * 250)),
            "no back-off in 4.5 s of silence"
        );
        last = query.datagram;
    }
    last[2] = 0x80;
    assert!(ask.accept_response(&last).is_ok());
}

/// Guards against a list that stays as it was because the name server takes longer for each response than the
/// last few queries go back.
#[test]
fn response_is_accepted_however_long_the_name_server_takes() {
    // The page sets no limit; a name server may at least take as long as it may be silent.
    for delay_ms in [1200, 4500, 30_000, 60_000] {
        let (mut ask, mut now, mut under_way) = (Ask::new(), 0, Vec::new());
        for id in 0u16.. {
            let query = ask.next_query(Time(Duration::from_millis(now)), id);
            under_way.push((now + delay_ms, query.datagram));
            now = query.next_at.0.as_millis() as u64;
            if under_way[0].0 <= now {
                break;
            }
        }
        let (_, response) = &mut under_way[0];
        response[2] = 0x80;
        assert!(ask.accept_response(response).is_ok(), "{delay_ms} ms");
    }
}

#[test]
fn list_change_takes_effect_at_once_for_held_waiting_and_new_calls() {
    let ready = [("s-1", 7001, "Ready", 0), ("s-2", 7002, "Ready", 0)];
    for state in ["Terminating", "Gone"] {
        let mut harness = Harness::with_switches(&ready);
        let client = harness.connect();
        // More than the switches accept at once without an answer; the controller holds the rest.
        (1..=30).for_each(|tag| harness.start_call(client, tag, 4000));
        let held = (1..=30).filter(|tag| harness.set_ups_sent(*tag).is_empty()).count();
        assert!(held > 0, "some are held");
        let at = harness.outputs.len();
        harness.input(Input::ConfiguredList(pool(2, &[("s-1", 7001, state, 0), ready[1]])));
        (31..=60).for_each(|tag| harness.start_call(client, tag, 4000));
        harness.advance(4000);
        let sent = harness.outputs[at..].iter().filter_map(|(_, output)| match output {
            Output::ToLink { link, line }
            | Output::SetUp { link, line, .. }
            | Output::CancelSetUp { link, line, .. } => Some((*link, parse(line).ok()?.verb)),
            _ => None,
        });
        // Including connections that are closed by now.
        let first: Vec<LinkId> = harness
            .outputs
            .iter()
            .filter_map(|(_, output)| match output {
                Output::OpenLink { link, address, .. } if address.port() == 7001 => Some(*link),
                _ => None,
            })
            .collect();
        assert!(!first.is_empty());
        assert_eq!(sent.filter(|(l, verb)| *verb == Verb::Start && first.contains(l)).count(), 0, "{state}");
    }
}

#[test]
fn connection_that_comes_up_too_late_delays_its_set_up_by_one_dial_and_carries_nothing_stale() {
    let mut harness = Harness::new(2);
    harness.hanging_ports.push(7001);
    harness.break_links_to(7001);
    let client = harness.connect();
    let tag = (1..20).find(|tag| {
        harness.start_call(client, *tag, 4000);
        harness.set_ups_sent(*tag).is_empty()
    });
    let tag = tag.expect("one waits for the switch with hanging connections");
    harness.advance(60);
    let late =
        *harness.links.keys().find(|link| !harness.links_up.contains_key(link)).expect("one is being opened");
    // The settings allow 0.5 s; late connections on the platform take up to 1 s.
    harness.advance(400);
    assert!(harness.set_ups_sent(tag).is_empty());
    harness.advance(600);
    assert_eq!(harness.set_ups_sent(tag).len(), 1, "at the other switch, and only there");
    let (_, second) = harness.set_ups_sent(tag)[0];
    assert_eq!(harness.links[&second], 7002);
    harness.input(Input::LinkUp { link: late });
    harness.answer_call(second, tag);
    harness.advance(2000);
    assert_eq!(
        (harness.set_ups_sent(tag).len(), harness.messages_about(tag)),
        (1, vec![(Verb::Started, None)])
    );
}

#[test]
fn connection_that_comes_up_late_but_in_time_carries_the_queued_set_up_and_its_switch_stays_alive() {
    let mut harness = Harness::with_switches(&[("s-1", 7001, "Ready", 0)]);
    let client = harness.connect();
    harness.establish_call(client, 6);
    harness.hanging_ports.push(7001);
    harness.break_links_to(7001);
    harness.start_call(client, 7, 4000);
    harness.advance(60);
    let late: Vec<LinkId> = harness.links.keys().copied().collect();
    assert!(!late.is_empty(), "one is being opened");
    harness.advance(300);
    harness.hanging_ports.clear();
    for link in late {
        harness.links_up.insert(link, true);
        harness.input(Input::LinkUp { link });
    }
    harness.advance(400);
    assert_eq!(harness.set_ups_sent(7).len(), 1);
    harness.advance(5000);
    assert_eq!(harness.messages_about(6), [(Verb::Started, None)], "its established call continues");
}

#[test]
fn duplicate_answers_change_nothing() {
    // Duplicates of an answer, while the call is established and after its end.
    let mut harness = Harness::new(1);
    let client = harness.connect();
    let link = harness.establish_call(client, 7);
    for pause in [1, 5, 50] {
        harness.advance(pause);
        harness.answer_call(link, 7);
    }
    harness.release_call(link, 7, 16);
    harness.advance(5);
    harness.answer_call(link, 7);
    harness.release_call(link, 7, 16);
    assert_eq!(harness.messages_about(7), [(Verb::Started, None), (Verb::Finish, Some(16))]);
    // Duplicates of a refusal: the call has an attempt elsewhere by then, and that attempt is not ended.
    for rc in [34, 17, 47, 102] {
        let mut harness = Harness::new(2);
        let client = harness.connect();
        harness.start_call(client, 7, 4000);
        let (_, first) = harness.set_ups_sent(7)[0];
        harness.release_call(first, 7, rc);
        harness.advance(30);
        let starts = harness.set_ups_sent(7);
        assert!(starts.len() == 2 && starts[1].1 != first, "{rc}");
        harness.release_call(first, 7, rc);
        harness.answer_call(first, 7);
        assert!(harness.messages_about(7).is_empty() && harness.set_ups_sent(7).len() == 2, "{rc}");
        harness.answer_call(starts[1].1, 7);
        harness.advance(5000);
        assert_eq!(
            (harness.messages_about(7), harness.set_ups_sent(7).len()),
            (vec![(Verb::Started, None)], 2),
            "{rc}"
        );
    }
}

#[test]
fn reset_during_a_set_up_is_distinguished_from_the_answer_that_crosses_it() {
    let mut harness = Harness::new(2);
    let client: ClientId = harness.connect();
    harness.start_call(client, 7, 4000);
    let (_, first) = harness.set_ups_sent(7)[0];
    harness.input(Input::LinkDown { link: first, end: LinkEnd::Broken });
    harness.answer_call(first, 7);
    harness.advance(1000);
    assert_eq!(harness.set_ups_sent(7).len(), 2, "again, after the guard time");
    assert!(harness.set_ups_sent(7)[1].0 - harness.set_ups_sent(7)[0].0 >= 200);
    assert!(harness.messages_about(7).is_empty(), "nothing on a closed connection counts");
}

#[test]
fn idle_connection_is_closed_before_the_idle_timeout_however_short() {
    for idle_ms in [1000, 2000, 60_000] {
        let usual = config(&known(1, &[("s-1", 7001, "Ready", 0)]));
        let of = usual.replace("\"connIdleNs\":60000000000", &format!("\"connIdleNs\":{idle_ms}000000"));
        let mut harness = Harness::with_config(&of);
        harness.advance(idle_ms - 1);
        let closed = harness.outputs.iter().any(|(_, output)| matches!(output, Output::CloseLink { .. }));
        assert!(closed, "{idle_ms} ms");
    }
}
