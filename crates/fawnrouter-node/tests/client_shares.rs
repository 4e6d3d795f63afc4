//! What one client may claim of the gateway's tables and memory, and all together.

mod common;

use common::*;
use fawnrouter_node::jsonl::{Message, Verb};

fn report_line(tag: u64) -> String {
    start_line(tag, 3000).replace("dest:1;width:1;via:-1", "at:s-1")
}

fn refusals(harness: &Harness) -> Vec<Message> {
    let sent = harness.sent_to_clients().into_iter().map(|(_, _, message)| message);
    sent.filter(|m| m.verb == Verb::Finish && m.rc == Some(42)).collect()
}

/// Guards against set-ups that are refused because a client has filled the table with reports of calls that nobody
/// set up, and against callers whose reports find no place.
#[test]
fn client_that_reports_tens_of_thousands_of_calls_crowds_out_only_its_own() {
    let mut harness = Harness::new(1);
    let (flooding, usual) = (harness.connect(), harness.connect());
    harness.client_sends(usual, &report_line(1));
    (100..60_100).for_each(|tag| harness.client_sends(flooding, &report_line(tag)));
    let link = harness.establish_call(usual, 2);
    harness.client_sends(usual, &report_line(3));
    for tag in [1, 2, 3] {
        harness.release_call(link, tag, 16);
        assert_eq!(harness.messages_about(tag).last(), Some(&(Verb::Finish, Some(16))), "call {tag}");
    }
    // Each report that is not kept is refused, so that a caller does not wait for its end.
    let kept = harness.node.state_sizes()[1];
    assert!((10_000..20_000).contains(&kept), "{kept} are kept");
    assert_eq!(refusals(&harness).len(), 60_000 - kept - 1, "and one was forgotten for another caller's");
    // The same holds once the client has left.
    harness.input(fawnrouter_node::Input::ClientDisconnected { client: flooding });
    harness.client_sends(usual, &report_line(4));
    harness.establish_call(usual, 5);
    harness.release_call(link, 4, 16);
    assert_eq!(harness.messages_about(4), [(Verb::Finish, Some(16))]);
}

/// Guards against clients that crowd out callers' reports by coming again on ever new connections.
#[test]
fn reports_on_ever_new_connections_crowd_out_only_their_own() {
    let mut harness = Harness::new(1);
    let usual = harness.connect();
    (1..=40).for_each(|tag| harness.client_sends(usual, &report_line(tag)));
    for round in 1..=60 {
        let flooding = harness.connect();
        (0..1000).for_each(|n| harness.client_sends(flooding, &report_line(round * 10_000 + n)));
        harness.input(fawnrouter_node::Input::ClientDisconnected { client: flooding });
    }
    let link = harness.establish_call(usual, 99);
    for tag in [1, 20, 40] {
        harness.release_call(link, tag, 16);
        assert_eq!(harness.messages_about(tag), [(Verb::Finish, Some(16))]);
    }
}
