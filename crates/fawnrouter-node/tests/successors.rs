//! A core switch that takes the address of one that has gone, and is listed some time after its start.

mod common;

use common::*;
use fawnrouter_node::jsonl::Verb;
use fawnrouter_node::{ClientId, Input, LinkId};

const CUT: (Verb, Option<i64>) = (Verb::Finish, Some(41));

/// Call 7 stands at `s-1`, which dies. `s-2` starts at its address and accepts a connection, on which call 8 is
/// established and call 9 has been sent. Then the list names `s-2`.
fn succeeded() -> (Harness, ClientId, LinkId) {
    let mut harness = Harness::with_switches(&[("s-1", 7001, "Ready", 0)]);
    harness.advance(10_000);
    let client = harness.connect();
    harness.establish_call(client, 7);
    harness.break_links_to(7001);
    harness.advance(100);
    let started_ms = harness.now_ms - 100;
    let link = harness.establish_call(client, 8);
    harness.start_call(client, 9, 3000);
    assert_eq!(harness.set_ups_sent(9).last().unwrap().1, link);
    harness.advance(1000);
    harness.input(Input::ConfiguredList(pool(2, &[("s-2", 7001, "Ready", started_ms)])));
    (harness, client, link)
}

/// Guards against callers that are told as over of calls that a new core switch has accepted before it was listed,
/// and against calls that are left standing there.
#[test]
fn calls_that_the_successor_has_accepted_stand_and_those_of_the_old_switch_are_over() {
    let (mut harness, client, link) = succeeded();
    harness.answer_call(link, 9);
    assert_eq!(harness.messages_about(7).last(), Some(&CUT));
    for _ in 0..20 {
        harness.advance(1000);
        harness.switch_sends(
            link,
            r#"{"verb":"LOAD","tag":"00000000000000aa","opts":{"load":"free:8;size:9"}}"#,
        );
    }
    for tag in [8, 9] {
        assert_eq!(harness.messages_about(tag), [(Verb::Started, None)], "call {tag} stands");
    }
    harness.release_call(link, 8, 16);
    assert_eq!(harness.messages_about(8).last(), Some(&(Verb::Finish, Some(16))));
    harness.client_sends(client, &finish_line(9, 16));
    assert_eq!(harness.releases_sent(9).len(), 1, "the switch that holds the call is told");
    assert!(harness.releases_sent(8).is_empty(), "nobody but the switch has released it");
}

/// Guards against calls that count as standing at the successor although its machine never had them: those on a
/// connection from before its start.
#[test]
fn calls_on_connections_from_before_the_start_of_the_successor_are_over() {
    let mut harness = Harness::with_switches(&[("s-1", 7001, "Ready", 0)]);
    harness.advance(10_000);
    let client = harness.connect();
    let link = harness.establish_call(client, 7);
    // The machine vanishes: its connection stays open and is silent.
    harness.advance(100);
    let started_ms = harness.now_ms;
    harness.advance(1000);
    harness.input(Input::ConfiguredList(pool(2, &[("s-2", 7001, "Ready", started_ms)])));
    assert_eq!(harness.messages_about(7).last(), Some(&CUT));
    assert!(!harness.links.contains_key(&link), "the connection of the old one is closed");
}

/// Guards against the end of the successor's process being missed for the calls handed over to it.
#[test]
fn calls_handed_over_are_over_when_the_successor_dies() {
    let (mut harness, _, _) = succeeded();
    harness.refusing_ports.push(7001);
    harness.break_links_to(7001);
    harness.advance(8050);
    assert_eq!(harness.messages_about(8).last(), Some(&CUT));
}
