//! What is known of a caller's lines before any of them is looked at, and what a gateway does with those whose caller has
//! gone. How the descriptors are divided.

mod common;

use common::*;
use fawnrouter_node::jsonl::{Message, Verb};
use fawnrouter_node::{DescriptorShares, Inbox, Input, Output, QueuedMessage};

fn message(line: &str) -> Message {
    parse(line.as_bytes()).unwrap()
}

/// Tags in order; those given up are negative.
fn order(intake: &mut Inbox) -> Vec<i64> {
    let next = std::iter::from_fn(|| intake.pop());
    next.map(|next| match next {
        QueuedMessage::Live(m) => m.tag.0 as i64,
        QueuedMessage::Withdrawn(m) => -(m.tag.0 as i64),
    })
    .collect()
}

#[test]
fn a_set_up_that_is_given_up_behind_hundreds_of_others_is_known_before_it_is_looked_at() {
    let mut intake = Inbox::default();
    (1..=500).for_each(|tag| intake.push(message(&start(tag, 3000))));
    (1..=499).for_each(|tag| intake.push(message(&finish(tag, 16))));
    let taken = order(&mut intake);
    assert!(taken[..499].iter().all(|tag| *tag < 0) && taken[499] == 500, "the last one still waits");
    assert_eq!(taken.len(), 999, "what ends a call is handed on too: it may be a standing one");
}

#[test]
fn the_same_id_again_at_once_is_another_set_up_and_one_already_handed_on_is_given_up_as_usual() {
    let mut intake = Inbox::default();
    for line in [start(7, 3000), finish(7, 16), start(7, 3000)] {
        intake.push(message(&line));
    }
    assert_eq!(order(&mut intake), [-7, 7, 7]);
    intake.push(message(&start(8, 3000)));
    assert_eq!(order(&mut intake), [8]);
    intake.push(message(&start(9, 3000)));
    intake.push(message(&finish(8, 16)));
    assert_eq!(order(&mut intake), [8, 9], "ahead of all that came before it");
}

#[test]
fn a_clients_end_gives_up_all_that_it_has_set_up_and_nothing_that_it_releases() {
    let mut intake = Inbox::default();
    for line in [start(1, 3000), finish(6, 16), start(1, 3000), start(2, 3000)] {
        intake.push(message(&line));
    }
    intake.withdraw_all();
    assert_eq!(order(&mut intake), [6, -1, -1, -2]);
}

#[test]
fn nothing_is_tried_for_a_set_up_given_up_unread_and_its_caller_hears_that_it_is_over() {
    let mut rig = Rig::new(1);
    let client = rig.connect();
    rig.input(Input::SetUpWithdrawn { client, message: message(&start(7, 3000)) });
    rig.client_says(client, &finish(7, 16));
    rig.pass(4000);
    assert!(rig.starts(7).is_empty());
    assert_eq!(rig.told(7), [(Verb::Finished, None)]);
    // One that makes no sense, or carries another call's id, is what it would have been.
    rig.input(Input::SetUpWithdrawn { client, message: message(&start(8, 99_000)) });
    assert_eq!(rig.told(8), [(Verb::Finish, Some(100))]);
    let other = rig.connect();
    rig.call(other, 9, 3000);
    rig.input(Input::SetUpWithdrawn { client, message: message(&start(9, 3000)) });
    assert!(rig.closed(client) && !rig.closed(other) && rig.starts(9).len() == 1);
}

#[test]
fn a_caller_that_ends_is_gone_at_once_and_what_it_released_before_still_holds() {
    let mut rig = Rig::new(1);
    let client = rig.connect();
    rig.standing(client, 6);
    rig.call(client, 7, 3000);
    rig.input(Input::ClientHalfClosed { client });
    assert_eq!(rig.releases(7).len(), 1, "its set-up is given up");
    rig.input(Input::SetUpWithdrawn { client, message: message(&start(8, 3000)) });
    rig.client_says(client, &finish(6, 16));
    rig.input(Input::ClientDisconnected { client });
    rig.pass(4000);
    assert_eq!((rig.releases(6).len(), rig.starts(8).len()), (1, 0));
    let before = rig.seen.len();
    rig.client_says(client, &finish(6, 16));
    assert_eq!(rig.seen.len(), before, "nothing comes on a connection that is closed");
}

#[test]
fn a_set_up_taken_back_from_the_outbox_of_a_switch_that_drains_goes_elsewhere_at_once() {
    let mut rig = Rig::new(2);
    let client = rig.connect();
    rig.call(client, 7, 4000);
    let (_, first) = rig.starts(7)[0];
    let ready = [("s-1", 7001, "Ready", 0), ("s-2", 7002, "Ready", 0)];
    let mut lines = ready;
    let drains = usize::from(rig.links[&first] - 7001);
    lines[drains].2 = "Terminating";
    rig.input(Input::ConfiguredList(pool(2, &lines)));
    assert!(rig.seen.iter().any(|(_, o)| *o == Output::RecallSetUps { link: first }));
    rig.input(Input::SetUpRecalled { link: first, tag: fawnrouter_node::jsonl::Tag(7) });
    rig.pass(20);
    let starts = rig.starts(7);
    assert!(starts.len() == 2 && rig.links[&starts[1].1] != rig.links[&first], "no guard: it was never sent");
    assert!(rig.releases(7).is_empty());
    rig.started(starts[1].1, 7);
    assert_eq!(rig.told(7), [(Verb::Started, None)]);
}

#[test]
fn every_descriptor_is_somebodys_before_any_is_taken() {
    for descriptors in 64..=4096 {
        let shares = DescriptorShares::divide(descriptors);
        let dealt = shares.max_client_connections() + shares.links;
        assert!(dealt + 16 <= descriptors, "{descriptors}: {shares:?}");
        assert!(shares.clients >= descriptors / 3, "callers keep to a third: {descriptors}, {shares:?}");
        assert!(shares.links >= 16 && shares.closing >= 8, "{descriptors}: {shares:?}");
    }
}
