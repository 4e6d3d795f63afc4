//! Set-ups that are withdrawn before they are processed, clients that disconnect, and the division of
//! descriptors.

mod common;

use common::*;
use fawnrouter_node::jsonl::{Message, Verb};
use fawnrouter_node::{DescriptorShares, Inbox, Input, Output, QueuedMessage};

fn message(line: &str) -> Message {
    parse(line.as_bytes()).unwrap()
}

/// The tags in order; those of withdrawn set-ups are negative.
fn popped_tags(inbox: &mut Inbox) -> Vec<i64> {
    let next = std::iter::from_fn(|| inbox.pop());
    next.map(|next| match next {
        QueuedMessage::Live(m) => m.tag.0 as i64,
        QueuedMessage::Withdrawn(m) => -(m.tag.0 as i64),
    })
    .collect()
}

#[test]
fn set_up_withdrawn_behind_hundreds_of_others_is_marked_before_it_is_popped() {
    let mut inbox = Inbox::default();
    (1..=500).for_each(|tag| inbox.push(message(&start_line(tag, 3000))));
    (1..=499).for_each(|tag| inbox.push(message(&finish_line(tag, 16))));
    let popped = popped_tags(&mut inbox);
    assert!(popped[..499].iter().all(|tag| *tag < 0) && popped[499] == 500, "the last one is not withdrawn");
    assert_eq!(
        popped.len(),
        999,
        "messages that end a call are returned too, as the call may be established"
    );
}

#[test]
fn reused_tag_is_another_set_up_and_a_popped_one_is_ended_by_its_finish() {
    let mut inbox = Inbox::default();
    for line in [start_line(7, 3000), finish_line(7, 16), start_line(7, 3000)] {
        inbox.push(message(&line));
    }
    assert_eq!(popped_tags(&mut inbox), [-7, 7, 7]);
    inbox.push(message(&start_line(8, 3000)));
    assert_eq!(popped_tags(&mut inbox), [8]);
    inbox.push(message(&start_line(9, 3000)));
    inbox.push(message(&finish_line(8, 16)));
    assert_eq!(popped_tags(&mut inbox), [8, 9], "ahead of everything that came before it");
}

#[test]
fn client_disconnect_withdraws_its_set_ups_but_not_its_releases() {
    let mut inbox = Inbox::default();
    for line in [start_line(1, 3000), finish_line(6, 16), start_line(1, 3000), start_line(2, 3000)] {
        inbox.push(message(&line));
    }
    inbox.withdraw_all();
    assert_eq!(popped_tags(&mut inbox), [6, -1, -1, -2]);
}

#[test]
fn withdrawn_set_up_is_never_attempted_and_its_caller_gets_finished() {
    let mut harness = Harness::new(1);
    let client = harness.connect();
    harness.input(Input::SetUpWithdrawn { client, message: message(&start_line(7, 3000)) });
    harness.client_sends(client, &finish_line(7, 16));
    harness.advance(4000);
    assert!(harness.set_ups_sent(7).is_empty());
    assert_eq!(harness.messages_about(7), [(Verb::Finished, None)]);
    // An invalid set-up, or one with another call's tag, is handled as if it had not been withdrawn.
    harness.input(Input::SetUpWithdrawn { client, message: message(&start_line(8, 99_000)) });
    assert_eq!(harness.messages_about(8), [(Verb::Finish, Some(100))]);
    let other = harness.connect();
    harness.start_call(other, 9, 3000);
    harness.input(Input::SetUpWithdrawn { client, message: message(&start_line(9, 3000)) });
    assert!(harness.is_closed(client) && !harness.is_closed(other) && harness.set_ups_sent(9).len() == 1);
}

#[test]
fn half_closed_client_loses_its_set_ups_at_once_but_its_earlier_releases_count() {
    let mut harness = Harness::new(1);
    let client = harness.connect();
    harness.establish_call(client, 6);
    harness.start_call(client, 7, 3000);
    harness.input(Input::ClientHalfClosed { client });
    assert_eq!(harness.releases_sent(7).len(), 1, "its set-up is withdrawn");
    harness.input(Input::SetUpWithdrawn { client, message: message(&start_line(8, 3000)) });
    harness.client_sends(client, &finish_line(6, 16));
    harness.input(Input::ClientDisconnected { client });
    harness.advance(4000);
    assert_eq!((harness.releases_sent(6).len(), harness.set_ups_sent(8).len()), (1, 0));
    let before = harness.outputs.len();
    harness.client_sends(client, &finish_line(6, 16));
    assert_eq!(harness.outputs.len(), before, "nothing is processed on a closed connection");
}

#[test]
fn set_up_recalled_from_a_draining_switch_is_sent_elsewhere_at_once() {
    let mut harness = Harness::new(2);
    let client = harness.connect();
    harness.start_call(client, 7, 4000);
    let (_, first) = harness.set_ups_sent(7)[0];
    let ready = [("s-1", 7001, "Ready", 0), ("s-2", 7002, "Ready", 0)];
    let mut lines = ready;
    let drains = usize::from(harness.links[&first] - 7001);
    lines[drains].2 = "Terminating";
    harness.input(Input::ConfiguredList(pool(2, &lines)));
    assert!(harness.outputs.iter().any(|(_, o)| *o == Output::RecallSetUps { link: first }));
    harness.input(Input::SetUpRecalled { link: first, tag: fawnrouter_node::jsonl::Tag(7) });
    harness.advance(20);
    let starts = harness.set_ups_sent(7);
    assert!(
        starts.len() == 2 && harness.links[&starts[1].1] != harness.links[&first],
        "no guard time: it was never sent"
    );
    assert!(harness.releases_sent(7).is_empty());
    harness.answer_call(starts[1].1, 7);
    assert_eq!(harness.messages_about(7), [(Verb::Started, None)]);
}

#[test]
fn descriptor_shares_cover_callers_and_links_within_the_limit() {
    for descriptors in 64..=4096 {
        let shares = DescriptorShares::divide(descriptors);
        let total = shares.max_client_connections() + shares.links;
        assert!(total + 16 <= descriptors, "{descriptors}: {shares:?}");
        assert!(shares.clients >= descriptors / 3, "callers keep to a third: {descriptors}, {shares:?}");
        assert!(shares.links >= 16 && shares.closing >= 8, "{descriptors}: {shares:?}");
    }
}
