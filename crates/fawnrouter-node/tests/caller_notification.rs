//! On which connection a caller is told of the end of a call whose own connection is gone.

mod common;

use common::*;
use fawnrouter_node::jsonl::{Tag, Verb};
use fawnrouter_node::{ClientId, Input, LinkId};

/// A caller is told of the end of a call within this time although no release could be sent at once
/// (PROTOCOL.md: 8 s, and 50 ms on sockets).
const MAX_RELEASE_DELAY_MS: u64 = 8050;

/// An established call 7 whose caller has closed the connection of its set-up.
fn call_without_connection() -> (Harness, LinkId) {
    let mut harness = Harness::new(1);
    let first = harness.connect();
    let link = harness.establish_call(first, 7);
    harness.input(Input::ClientDisconnected { client: first });
    (harness, link)
}

/// A set-up of this client that its core switch answers with a final cause and note.
fn failed_call(harness: &mut Harness, client: ClientId, tag: u64, cause: i64, note: &str) {
    harness.start_call(client, tag, 3000);
    let (_, link) = *harness.set_ups_sent(tag).last().expect("the call was sent to the switch");
    let options = if note.is_empty() { String::new() } else { format!(r#""note":"{note}""#) };
    harness.switch_sends(
        link,
        &format!(r#"{{"verb":"FINISH","tag":"{tag:016x}","opts":{{{options}}},"rc":{cause}}}"#),
    );
}

/// When and on which connection the end of call 7 was reported.
fn releases_of_call_7(harness: &Harness) -> Vec<(u64, ClientId)> {
    let sent = harness.sent_to_clients().into_iter();
    sent.filter(|(_, _, m)| m.tag.0 == 7 && m.verb == Verb::Finish)
        .map(|(at, client, _)| (at, client))
        .collect()
}

/// Guards against callers that are not told of the end of a call because on their present connection every
/// number was busy and no call has stood yet.
#[test]
fn connection_on_which_numbers_were_busy_is_a_callers() {
    for busy_first in [true, false] {
        let (mut harness, link) = call_without_connection();
        let second = harness.connect();
        if busy_first {
            failed_call(&mut harness, second, 8, 17, "user_busy");
        }
        harness.release_call(link, 7, 16);
        if !busy_first {
            assert!(releases_of_call_7(&harness).is_empty());
            failed_call(&mut harness, second, 8, 17, "user_busy");
        }
        assert_eq!(releases_of_call_7(&harness), [(harness.now_ms, second)], "busy first: {busy_first}");
    }
}

/// Guards against callers that are not told on a connection whose client has shown that it knows an
/// established call.
#[test]
fn client_that_releases_or_confirms_an_established_call_is_a_caller() {
    for line in [finish_line(9, 16), r#"{"verb":"FINISHED","tag":"0000000000000009","opts":{}}"#.to_owned()] {
        let mut harness = Harness::new(1);
        let (first, second) = (harness.connect(), harness.connect());
        let link = harness.establish_call(first, 7);
        harness.establish_call(first, 9);
        if line.contains("FINISHED") {
            harness.release_call(link, 9, 16);
        }
        harness.input(Input::ClientDisconnected { client: first });
        harness.release_call(link, 7, 16);
        assert!(releases_of_call_7(&harness).is_empty(), "no caller is known");
        harness.client_sends(second, &line);
        assert_eq!(releases_of_call_7(&harness), [(harness.now_ms, second)], "{line}");
    }
}

/// Guards against callers that are never told because all that they sent on their present connection was
/// refused. Whoever sent it may be no caller, so other connections go first while there is time.
#[test]
fn connection_with_nothing_but_refused_set_ups_is_a_callers_if_no_better_one_comes_in_time() {
    let (mut harness, link) = call_without_connection();
    let second = harness.connect();
    failed_call(&mut harness, second, 8, 47, "");
    let released_at = harness.now_ms;
    harness.release_call(link, 7, 16);
    harness.advance(5000);
    assert!(releases_of_call_7(&harness).is_empty(), "a better connection may come");
    harness.advance(10_000);
    let releases = releases_of_call_7(&harness);
    assert!(
        matches!(releases[..], [(at, client)] if client == second && at <= released_at + MAX_RELEASE_DELAY_MS)
    );

    let (mut harness, link) = call_without_connection();
    let second = harness.connect();
    failed_call(&mut harness, second, 8, 47, "");
    harness.release_call(link, 7, 16);
    harness.advance(3000);
    let third = harness.connect();
    harness.client_sends(third, &start_line(9, 3000).replace("dest:1;width:1;via:-1", "at:s-1"));
    assert_eq!(releases_of_call_7(&harness), [(harness.now_ms, third)]);
}

/// Guards against callers that are not told because a second connection, too, ends before the release is
/// written on it.
#[test]
fn release_that_two_connections_could_not_deliver_goes_on_the_next() {
    let mut harness = Harness::new(1);
    let (first, second) = (harness.connect(), harness.connect());
    let link = harness.establish_call(first, 7);
    harness.establish_call(second, 8);
    harness.release_call(link, 7, 16);
    for client in [first, second] {
        assert_eq!(releases_of_call_7(&harness).last(), Some(&(harness.now_ms, client)));
        harness.input(Input::ClientHalfClosed { client });
        harness.input(Input::NotDelivered { tag: Tag(7) });
        harness.input(Input::ClientDisconnected { client });
    }
    let third = harness.connect();
    harness.establish_call(third, 9);
    assert_eq!(releases_of_call_7(&harness).last(), Some(&(harness.now_ms, third)));
}

/// Guards against releases that are sent to clients which are no callers.
#[test]
fn clients_with_tests_or_invalid_set_ups_alone_are_told_of_no_call() {
    let (mut harness, link) = call_without_connection();
    let (tester, invalid) = (harness.connect(), harness.connect());
    harness.client_sends(tester, r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#);
    let unknown_class = start_line(8, 3000).replace("voice", "no such class");
    harness.client_sends(invalid, &unknown_class);
    harness.client_sends(invalid, r#"{"verb":"FINISHED","tag":"00000000000000bb","opts":{}}"#);
    harness.release_call(link, 7, 16);
    harness.advance(15_000);
    assert!(releases_of_call_7(&harness).is_empty());
}
