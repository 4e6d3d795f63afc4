//! What one client may claim of the gateway's tables and memory, and all together.

mod common;

use common::*;
use fawnrouter_node::ClientId;
use fawnrouter_node::jsonl::{Message, Verb};

/// A quarter of the memory limit in the configuration, 32 MB.
const OPEN_CALL_BYTES: usize = 8 << 20;

fn report_line(tag: u64) -> String {
    start_line(tag, 3000).replace("dest:1;width:1;via:-1", "at:s-1")
}

fn refusals(harness: &Harness) -> Vec<Message> {
    let sent = harness.sent_to_clients().into_iter().map(|(_, _, message)| message);
    sent.filter(|m| m.verb == Verb::Finish && m.rc == Some(42)).collect()
}

/// Sends set-ups with ever new tags from `first` on.
fn flood(harness: &mut Harness, client: ClientId, first: u64, number: u64) {
    (first..first + number).for_each(|tag| harness.start_call(client, tag, 3000));
}

/// Guards against callers that wait behind thousands of set-ups of one client, or find every place taken by it.
#[test]
fn one_client_with_a_thousand_set_ups_leaves_places_for_others() {
    let mut harness = Harness::new(1);
    let (flooding, usual) = (harness.connect(), harness.connect());
    flood(&mut harness, flooding, 1, 2000);
    let open = harness.node.state_sizes()[0];
    assert_eq!(open + refusals(&harness).len(), 2000, "each is open or refused");
    assert!(open <= 128, "{open} are open");
    assert!(refusals(&harness).iter().all(|refusal| refusal.opts["wait"].as_u64() == Some(2000)));
    harness.start_call(usual, 5000, 3000);
    assert_eq!(harness.messages_about(5000), [], "it is not refused");
    assert_eq!(harness.node.state_sizes()[0], open + 1);
    // Once its set-ups have ended, it may open as many again.
    harness.advance(4000);
    assert_eq!(harness.node.state_sizes()[0], 0);
    let refused = refusals(&harness).len();
    flood(&mut harness, flooding, 6000, open as u64);
    assert_eq!(refusals(&harness).len(), refused);
}

/// Guards against a gateway that is killed for memory because many clients leave large set-ups open.
#[test]
fn open_set_ups_of_many_clients_stay_within_their_share_of_memory() {
    let mut harness = Harness::new(1);
    let large = |tag: u64| start_line(tag, 3000).replace("offer", &"x".repeat(15_000));
    for client_number in 0..85 {
        let client = harness.connect();
        (0..40).for_each(|n| harness.client_sends(client, &large(client_number * 1000 + n)));
    }
    let open = harness.node.state_sizes()[0];
    assert!((85..=OPEN_CALL_BYTES / 15_000).contains(&open), "{open} are open");
    let usual = harness.connect();
    harness.start_call(usual, 999_999, 3000);
    assert_eq!(harness.messages_about(999_999), [], "there is room for a small one");
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
