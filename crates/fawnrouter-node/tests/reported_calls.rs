//! Calls that their callers report after their gateway was lost, at a core switch that has restarted.
//!
//! The switch does not know the calls of its earlier process and never releases them, so the gateway has to tell
//! from the switch's start which calls are over. Those of the present process stand.

mod common;

use common::*;
use fawnrouter_node::jsonl::Verb;
use fawnrouter_node::{ClientId, Input};

/// Callers are told of the end of a call within this time although no release could be sent (PROTOCOL.md: 8 s,
/// and 50 ms on sockets).
const MAX_RELEASE_DELAY_MS: u64 = 8050;
/// Duration of an outage of core switches (STANDING.md).
const OUTAGE_MS: u64 = 5000;
/// Time in which callers would be told if the gateway took their call for ended.
const QUIET_TIME_MS: u64 = 20_000;

/// A caller reports call 7 as established at `s-1`.
fn report_call_7(harness: &mut Harness) -> ClientId {
    let client = harness.connect();
    harness.client_sends(client, &start_line(7, 3000).replace("dest:1;width:1;via:-1", "at:s-1"));
    client
}

/// When callers were told that call 7 is over.
fn ends_of_call_7(harness: &Harness) -> Vec<u64> {
    let sent = harness.sent_to_clients().into_iter();
    sent.filter(|(_, _, m)| m.tag.0 == 7 && m.verb == Verb::Finish).map(|(at, ..)| at).collect()
}

/// The process of `s-1` dies and is back under its id after the outage. Returns when it has started; the list
/// does not tell it yet.
fn restart_switch(harness: &mut Harness) -> u64 {
    harness.refusing_ports.push(7001);
    harness.break_links_to(7001);
    harness.advance(OUTAGE_MS);
    harness.refusing_ports.clear();
    harness.now_ms
}

fn list_start(harness: &mut Harness, serial: u32, started_ms: u64) {
    harness.input(Input::ConfiguredList(pool(serial, &[("s-1", 7001, "Ready", started_ms)])));
}

/// Guards against callers that are never told that their call is over because switch and gateway were lost
/// together (`review/7`).
#[test]
fn call_cut_while_its_gateway_was_away_is_told_as_over_to_its_caller() {
    for (started_before_ms, reported_after_ms) in [(50, 0), (50, 2900), (900, 0), (0, 100)] {
        let started_ms = START_MS - started_before_ms;
        let mut harness = Harness::with_switches(&[("s-1", 7001, "Ready", started_ms)]);
        harness.advance(reported_after_ms);
        report_call_7(&mut harness);
        harness.advance(100);
        let ends = ends_of_call_7(&harness);
        assert!(
            matches!(ends[..], [at] if at <= started_ms - OUTAGE_MS + MAX_RELEASE_DELAY_MS),
            "start {started_before_ms} ms before the gateway, report {reported_after_ms} ms after it: {ends:?}"
        );
    }
}

/// Guards against the same on a gateway that was never away.
#[test]
fn call_cut_with_another_gateway_is_told_as_over_by_the_gateway_that_hears_of_it() {
    for list_delay_ms in [100, 1400] {
        let mut harness = Harness::new(1);
        harness.advance(20_000);
        let started_ms = restart_switch(&mut harness);
        harness.advance(100);
        if list_delay_ms == 100 {
            list_start(&mut harness, 2, started_ms);
            report_call_7(&mut harness);
        } else {
            report_call_7(&mut harness);
            harness.advance(list_delay_ms);
            list_start(&mut harness, 2, started_ms);
        }
        let ends = ends_of_call_7(&harness);
        assert!(
            matches!(ends[..], [at] if at <= started_ms - OUTAGE_MS + MAX_RELEASE_DELAY_MS),
            "list {list_delay_ms} ms late: {ends:?}"
        );
    }
}

/// Guards against callers that are told as over of a call that stands: one set up after the restart.
#[test]
fn call_set_up_after_the_restart_stands_when_its_gateway_is_lost_afterwards() {
    // Switch restarted, call set up 1 s later, gateway lost 1 s after that for as long as the outage.
    let started_ms = START_MS - 2000 - OUTAGE_MS;
    let mut harness = Harness::with_switches(&[("s-1", 7001, "Ready", started_ms)]);
    report_call_7(&mut harness);
    stands_until_released(&mut harness);

    // The same, reported to a gateway that was never away; the front end has noticed the loss after 1 s.
    let mut harness = Harness::new(1);
    harness.advance(20_000);
    let started_ms = restart_switch(&mut harness);
    list_start(&mut harness, 2, started_ms);
    harness.advance(1300);
    report_call_7(&mut harness);
    // A list that repeats the start changes nothing.
    list_start(&mut harness, 3, started_ms);
    stands_until_released(&mut harness);
}

fn stands_until_released(harness: &mut Harness) {
    harness.advance(100);
    let link = *harness.links_up.keys().next_back().expect("the switch is connected");
    for _ in 0..QUIET_TIME_MS / 1000 {
        harness.advance(1000);
        harness.switch_sends(
            link,
            r#"{"verb":"LOAD","tag":"00000000000000aa","opts":{"load":"free:8;size:9"}}"#,
        );
    }
    assert_eq!(ends_of_call_7(harness), [0; 0], "the call stands");
    harness.release_call(link, 7, 16);
    assert_eq!(ends_of_call_7(harness), [harness.now_ms]);
}

/// Guards against the same at a switch that joined under a new id: no earlier process of it had calls.
#[test]
fn call_at_a_switch_that_has_just_joined_stands() {
    let mut harness = Harness::with_switches(&[("s-0", 7000, "Ready", 0)]);
    harness.advance(20_000);
    let lines = [("s-0", 7000, "Ready", 0), ("s-1", 7001, "Ready", harness.now_ms)];
    harness.input(Input::ConfiguredList(pool(2, &lines)));
    harness.advance(300);
    report_call_7(&mut harness);
    harness.advance(300);
    assert_eq!(ends_of_call_7(&harness), [0; 0]);

    // It leaves the list and is back with a new start: now there was an earlier process.
    let mut harness = Harness::with_switches(&[("s-0", 7000, "Ready", 0)]);
    harness.advance(20_000);
    let lines = [("s-0", 7000, "Ready", 0), ("s-1", 7001, "Ready", harness.now_ms)];
    harness.input(Input::ConfiguredList(pool(2, &lines)));
    harness.input(Input::ConfiguredList(pool(3, &[("s-0", 7000, "Ready", 0)])));
    harness.advance(OUTAGE_MS);
    let lines = [("s-0", 7000, "Ready", 0), ("s-1", 7001, "Ready", harness.now_ms)];
    harness.input(Input::ConfiguredList(pool(4, &lines)));
    report_call_7(&mut harness);
    assert_eq!(ends_of_call_7(&harness), [harness.now_ms]);
}
