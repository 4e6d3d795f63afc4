//! What the users' page of the full fleet adds: when a change counts as told, connections that come up late, second
//! answers some milliseconds late, a name server that is silent. Each at its edge, without the bench.

mod common;

use std::time::Duration;

use common::*;
use fawnrouter_node::fawnrouter::Time;
use fawnrouter_node::jsonl::Verb;
use fawnrouter_node::{Ask, ClientId, Input, LinkEnd, LinkId, Output};

/// "An event counts as told at the latest 1.5 s after it happened".
const TOLD_AT_THE_LATEST_MS: u64 = 1500;
/// The settings' grace, after which nothing new may go to a switch that is told to drain (`drainGraceNs`).
const GRACE_MS: u64 = 1000;

/// When questions go out, from 0 on.
fn questions(until_ms: u64) -> Vec<u64> {
    let (mut ask, mut now, mut times) = (Ask::new(), 0, Vec::new());
    while now < until_ms {
        times.push(now);
        let next = ask.next_query(Time(Duration::from_millis(now)), times.len() as u16).next_at;
        now = next.0.as_millis() as u64;
    }
    times
}

#[test]
fn five_lost_answers_in_a_row_are_heard_before_a_change_counts_as_told_and_nine_before_the_grace_is_over() {
    let times = questions(10_000);
    for (k, asked) in times.iter().enumerate().take(20) {
        // The change comes right behind the answer to question k; all but the last question until then are lost.
        let until = |limit: u64| times[k + 1..].iter().filter(|t| **t <= asked + limit).count();
        assert_eq!(until(TOLD_AT_THE_LATEST_MS), 6);
        assert_eq!(until(TOLD_AT_THE_LATEST_MS + GRACE_MS), 10);
    }
}

#[test]
fn silence_of_the_name_server_slows_no_question_and_its_first_answer_is_taken() {
    let mut ask = Ask::new();
    let mut last = Vec::new();
    for n in 0..18u64 {
        let asked = ask.next_query(Time(Duration::from_millis(n * 250)), n as u16);
        assert_eq!(
            asked.next_at,
            Time(Duration::from_millis((n + 1) * 250)),
            "no back-off in 4.5 s of silence"
        );
        last = asked.datagram;
    }
    last[2] = 0x80;
    assert!(ask.accept_response(&last).is_ok());
}

#[test]
fn what_is_told_holds_in_the_turn_in_which_it_comes_for_calls_held_waiting_and_new() {
    let ready = [("s-1", 7001, "Ready", 0), ("s-2", 7002, "Ready", 0)];
    for told in ["Terminating", "Gone"] {
        let mut rig = Rig::with(&ready);
        let client = rig.connect();
        // More than the switches take at once without an answer: the rest is held by the decisions.
        (1..=30).for_each(|tag| rig.call(client, tag, 4000));
        let held = (1..=30).filter(|tag| rig.starts(*tag).is_empty()).count();
        assert!(held > 0, "some are held");
        let at = rig.seen.len();
        rig.input(Input::ConfiguredList(pool(2, &[("s-1", 7001, told, 0), ready[1]])));
        (31..=60).for_each(|tag| rig.call(client, tag, 4000));
        rig.pass(4000);
        let sent = rig.seen[at..].iter().filter_map(|(_, output)| match output {
            Output::ToLink { link, line }
            | Output::SetUp { link, line, .. }
            | Output::CancelSetUp { link, line, .. } => Some((*link, parse(line).ok()?.verb)),
            _ => None,
        });
        // Those that are closed by now among them.
        let first: Vec<LinkId> = rig
            .seen
            .iter()
            .filter_map(|(_, output)| match output {
                Output::OpenLink { link, address, .. } if address.port() == 7001 => Some(*link),
                _ => None,
            })
            .collect();
        assert!(!first.is_empty());
        assert_eq!(sent.filter(|(l, verb)| *verb == Verb::Start && first.contains(l)).count(), 0, "{told}");
    }
}

#[test]
fn a_connection_that_comes_up_too_late_costs_its_set_up_one_dial_and_carries_nothing_stale() {
    let mut rig = Rig::new(2);
    rig.silent.push(7001);
    rig.all_broken(7001);
    let client = rig.connect();
    let tag = (1..20).find(|tag| {
        rig.call(client, *tag, 4000);
        rig.starts(*tag).is_empty()
    });
    let tag = tag.expect("one waits for the switch whose connections hang");
    rig.pass(60);
    let late = *rig.links.keys().find(|link| !rig.up.contains_key(link)).expect("one is being opened");
    // The settings allow 0.5 s; the page's late connections take up to 1 s.
    rig.pass(400);
    assert!(rig.starts(tag).is_empty());
    rig.pass(600);
    assert_eq!(rig.starts(tag).len(), 1, "elsewhere, and only there");
    let (_, second) = rig.starts(tag)[0];
    assert_eq!(rig.links[&second], 7002);
    rig.input(Input::LinkUp { link: late });
    rig.started(second, tag);
    rig.pass(2000);
    assert_eq!((rig.starts(tag).len(), rig.told(tag)), (1, vec![(Verb::Started, None)]));
}

#[test]
fn a_connection_that_comes_up_late_but_in_time_takes_what_waits_and_proves_nobody_dead() {
    let mut rig = Rig::with(&[("s-1", 7001, "Ready", 0)]);
    let client = rig.connect();
    rig.standing(client, 6);
    rig.silent.push(7001);
    rig.all_broken(7001);
    rig.call(client, 7, 4000);
    rig.pass(60);
    let late: Vec<LinkId> = rig.links.keys().copied().collect();
    assert!(!late.is_empty(), "one is being opened");
    rig.pass(300);
    rig.silent.clear();
    for link in late {
        rig.up.insert(link, true);
        rig.input(Input::LinkUp { link });
    }
    rig.pass(400);
    assert_eq!(rig.starts(7).len(), 1);
    rig.pass(5000);
    assert_eq!(rig.told(6), [(Verb::Started, None)], "its standing call goes on");
}

#[test]
fn a_second_answer_some_ms_late_changes_nothing_whatever_it_is_and_whenever_it_comes() {
    // Of an answer: while the call stands, and after its end.
    let mut rig = Rig::new(1);
    let client = rig.connect();
    let link = rig.standing(client, 7);
    for pause in [1, 5, 50] {
        rig.pass(pause);
        rig.started(link, 7);
    }
    rig.finish(link, 7, 16);
    rig.pass(5);
    rig.started(link, 7);
    rig.finish(link, 7, 16);
    assert_eq!(rig.told(7), [(Verb::Started, None), (Verb::Finish, Some(16))]);
    // Of a refusal: the call is out elsewhere by then, and is not ended there.
    for rc in [34, 17, 47, 102] {
        let mut rig = Rig::new(2);
        let client = rig.connect();
        rig.call(client, 7, 4000);
        let (_, first) = rig.starts(7)[0];
        rig.finish(first, 7, rc);
        rig.pass(30);
        let starts = rig.starts(7);
        assert!(starts.len() == 2 && starts[1].1 != first, "{rc}");
        rig.finish(first, 7, rc);
        rig.started(first, 7);
        assert!(rig.told(7).is_empty() && rig.starts(7).len() == 2, "{rc}");
        rig.started(starts[1].1, 7);
        rig.pass(5000);
        assert_eq!((rig.told(7), rig.starts(7).len()), (vec![(Verb::Started, None)], 2), "{rc}");
    }
}

#[test]
fn a_reset_under_a_set_up_is_kept_apart_from_the_answer_that_crosses_it() {
    let mut rig = Rig::new(2);
    let client: ClientId = rig.connect();
    rig.call(client, 7, 4000);
    let (_, first) = rig.starts(7)[0];
    rig.input(Input::LinkDown { link: first, end: LinkEnd::Broken });
    rig.started(first, 7);
    rig.pass(1000);
    assert_eq!(rig.starts(7).len(), 2, "again, after the guard");
    assert!(rig.starts(7)[1].0 - rig.starts(7)[0].0 >= 200);
    assert!(rig.told(7).is_empty(), "nothing on a connection that is gone counts");
}

#[test]
fn an_idle_connection_is_given_up_before_its_core_switch_closes_it_however_short_the_idle_time() {
    for idle_ms in [1000, 2000, 60_000] {
        let usual = config(&known(1, &[("s-1", 7001, "Ready", 0)]));
        let of = usual.replace("\"connIdleNs\":60000000000", &format!("\"connIdleNs\":{idle_ms}000000"));
        let mut rig = Rig::of(&of);
        rig.pass(idle_ms - 1);
        let closed = rig.seen.iter().any(|(_, output)| matches!(output, Output::CloseLink { .. }));
        assert!(closed, "{idle_ms} ms");
    }
}
