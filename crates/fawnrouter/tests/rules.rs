//! The five rules at their boundaries, and what else every attempt must keep to.
mod common;

use common::*;
use fawnrouter::*;

#[test]
fn a_held_call_is_answered_once_before_its_time_is_up() {
    let mut g = Gateway::new(settings());
    let deadline = g.now.plus(ms(3000));
    assert_eq!(g.tell(Event::Call(call(1, 0, 0))), []);
    let done = g.pass(ms(6000));
    let ends: Vec<_> = done.iter().filter(|(_, a)| !finals([a]).is_empty()).collect();
    assert_eq!(ends.len(), 1);
    assert!(ends[0].0 < deadline);
}

#[test]
fn a_call_with_no_time_left_is_answered_at_once() {
    let mut g = Gateway::with_servers(settings(), 1);
    let late = NewCall { time_left: ms(0), ..call(1, 0, 0) };
    let done = g.tell(Event::Call(late));
    assert_eq!((finals(&done), issued(&done)), (vec![1], vec![]));
}

#[test]
fn a_call_whose_server_never_answers_is_given_up_in_time_and_not_touched_again() {
    let mut s = settings();
    s.limits.cancel = false;
    let mut g = Gateway::with_servers(s, 1);
    let deadline = g.now.plus(ms(3000));
    assert_eq!(issued(&g.tell(Event::Call(call(1, 0, 0)))), [(1, 70)]);
    let done = g.pass(ms(8000));
    let ends: Vec<_> = done.iter().filter(|(_, a)| !finals([a]).is_empty()).collect();
    assert_eq!(ends.len(), 1);
    assert!(ends[0].0 < deadline);
    assert_eq!(g.closes(1, 0, 70, Outcome::TimedOut), [], "the outcome comes after the end");
    assert!(issued(g.pass(ms(3000)).iter().map(|(_, a)| a)).is_empty());
}

#[test]
fn a_call_has_one_attempt_out_at_a_time() {
    let mut g = Gateway::with_servers(settings(), 3);
    assert_eq!(issued(&g.tell(Event::Call(call(1, 0, 0)))).len(), 1);
    assert!(issued(g.pass(ms(300)).iter().map(|(_, a)| a)).is_empty());
    assert!(issued(&g.tell(Event::Call(call(1, 0, 0)))).is_empty(), "the same call again");
}

#[test]
fn nothing_goes_to_a_server_from_the_moment_it_is_told_to_drain() {
    for state in [ServerState::Draining, ServerState::Gone] {
        let mut g = Gateway::with_servers(settings(), 2);
        g.tell(Event::List { kind: ListKind::Changes, entries: vec![entry(70, state)] });
        for id in 0..20 {
            let done = g.tell(Event::Call(call(id, 0, 0)));
            assert!(issued(&done).iter().all(|(_, server)| *server == 71));
            g.stands(id, 0, 71, ms(40));
            g.pass(ms(200));
        }
    }
}

#[test]
fn a_server_missing_from_a_whole_list_is_gone() {
    let mut g = Gateway::with_servers(settings(), 2);
    g.tell(Event::List { kind: ListKind::Snapshot, entries: vec![entry(71, ServerState::Ready)] });
    assert_eq!(issued(&g.tell(Event::Call(call(1, 0, 0)))), [(1, 71)]);
}

#[test]
fn the_release_guard_is_waited_out_to_the_end() {
    for outcome in [Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut g = Gateway::with_servers(settings(), 2);
        let first = issued(&g.tell(Event::Call(call(1, 0, 0))))[0].1;
        g.pass(ms(100));
        let told = g.now;
        assert!(issued(&g.closes(1, 0, first, outcome)).is_empty());
        let done = g.pass(ms(1500));
        let again = done.iter().find(|(_, a)| !issued([a]).is_empty()).expect("it goes again");
        assert!(again.0 >= told.plus(ms(300)), "{outcome:?}");
    }
}

#[test]
fn an_attempt_that_never_ran_may_be_followed_at_once() {
    let mut g = Gateway::with_servers(settings(), 2);
    assert_eq!(issued(&g.tell(Event::Call(call(1, 0, 0)))), [(1, 70)]);
    assert_eq!(issued(&g.closes(1, 0, 70, Outcome::ConnectFailed)).len(), 1);
}

#[test]
fn no_more_attempts_than_allowed() {
    let mut g = Gateway::with_servers(settings(), 1);
    let mut sent = issued(&g.tell(Event::Call(call(1, 0, 0)))).len();
    let mut ends = 0;
    for attempt in 0..10 {
        let mut done = g.closes(1, attempt, 70, Outcome::ConnectFailed);
        done.extend(g.pass(ms(100)).into_iter().map(|(_, a)| a));
        sent += issued(&done).len();
        ends += finals(&done).len();
    }
    assert_eq!((sent, ends), (3, 1));
}

/// Set-ups that go to a server fresh from its start, in each span of the rule's time, under a flood.
fn flood_a_cold_server(first_news: impl Fn(&mut Gateway)) -> usize {
    let mut g = Gateway::with_servers(settings(), 2);
    for id in 0..200 {
        g.runs(id, 70 + u32::try_from(id % 2).unwrap(), ms(50));
    }
    first_news(&mut g);
    let mut times = Vec::new();
    for id in 1000..1100 {
        let mut done: Vec<_> = g.tell(Event::Call(call(id, 0, 5))).into_iter().map(|a| (g.now, a)).collect();
        for (call, server) in issued(done.iter().map(|(_, a)| a)) {
            g.stands(call, 0, server, ms(20));
        }
        done.extend(g.pass(ms(50)));
        times.extend(done.iter().filter(|(_, a)| issued([a]).iter().any(|i| i.1 == 75)).map(|(t, _)| *t));
    }
    times
        .iter()
        .map(|t| times.iter().filter(|u| **u >= *t && u.since(*t) < ms(1000)).count())
        .max()
        .unwrap_or(0)
}

#[test]
fn the_cold_budget_holds_in_any_window_for_each_kind_of_news() {
    // The gateway's own warm rate is 10/s a server; its part of 2 x 0.3 of that for a second is 6.
    let new_id = |g: &mut Gateway| {
        g.tell(Event::List { kind: ListKind::Changes, entries: vec![entry(75, ServerState::Ready)] });
    };
    let start_time = |g: &mut Gateway| {
        let up_since = Some(g.now.minus(ms(200)));
        let entry = ServerEntry { up_since, ..entry(75, ServerState::Ready) };
        g.tell(Event::List { kind: ListKind::Snapshot, entries: vec![entry] });
    };
    for most in [flood_a_cold_server(new_id), flood_a_cold_server(start_time)] {
        assert!((1..=6).contains(&most), "{most} in a second");
    }
}

#[test]
fn calls_with_effects_go_again_only_where_they_may() {
    let keyed = |group| Effect::Keyed { group, window: ms(5000) };
    for (effect, server_again) in
        [(Effect::Unsafe, None), (keyed(RepeatGroup::Cell), Some(70)), (keyed(RepeatGroup::All), Some(71))]
    {
        let mut s = settings();
        s.classes = vec![class(1.0, effect)];
        let mut g = Gateway::with_servers(s, 2);
        assert_eq!(issued(&g.tell(Event::Call(call(1, 0, 0)))), [(1, 70)]);
        let at_once = g.closes(1, 0, 70, Outcome::Reset);
        if effect == keyed(RepeatGroup::All) {
            g.tell(Event::List { kind: ListKind::Changes, entries: vec![entry(70, ServerState::Draining)] });
        }
        let done = g.pass(ms(4000));
        let again = issued(done.iter().map(|(_, a)| a)).first().map(|(_, server)| *server);
        assert_eq!(again, server_again, "{effect:?}");
        let refused = done.iter().any(|(_, a)| matches!(a, Action::Refuse { .. }));
        if effect == Effect::Unsafe {
            assert!(!refused && at_once.contains(&Action::Fail(CallId(1))), "{at_once:?}");
        }
    }
}

#[test]
fn in_a_mesh_a_call_in_transit_goes_to_its_destination_or_nowhere() {
    let mut s = settings();
    s.topology = Topology::Mesh { home: Cell(2) };
    let mut g = Gateway::with_servers(s, 3);
    let direct = call(1, 0, 1);
    assert_eq!(issued(&g.tell(Event::Call(direct))), [(1, 71)]);
    let full = LoadReport { free_circuits: Some(0.0), total_circuits: Some(9.0), ..LoadReport::default() };
    g.tell(Event::Probed { server: ServerId(71), ok: true, took: ms(0), report: full });
    let tandem = call(2, 0, 1);
    assert_eq!(issued(&g.tell(Event::Call(tandem))), [(2, 70)], "no circuit free: over the other exchange");
    let transit = NewCall { transit: true, ..call(3, 0, 1) };
    let done = g.tell(Event::Call(transit));
    assert!(issued(&done).is_empty());
    let later = g.pass(ms(4000));
    assert!(issued(later.iter().map(|(_, a)| a)).iter().all(|(call, server)| *call != 3 || *server == 71));
}

#[test]
fn where_the_list_must_be_asked_for_failures_are_asked_again_in_time() {
    let mut s = settings();
    s.discovery = Discovery::Subscribe;
    let mut g = Gateway::new(s);
    let asks = |done: &[(Time, Action)]| done.iter().filter(|(_, a)| *a == Action::Subscribe).count();
    let first = g.tell(Event::List { kind: ListKind::Cached, entries: vec![entry(70, ServerState::Ready)] });
    assert!(first.contains(&Action::Subscribe));
    g.tell(Event::List { kind: ListKind::Failed, entries: vec![] });
    assert_eq!(asks(&g.pass(ms(2000))), 1);
    g.tell(Event::List { kind: ListKind::Changes, entries: vec![] });
    assert_eq!(asks(&g.pass(ms(20_000))), 0, "subscribed: no further question");
    g.tell(Event::List { kind: ListKind::Failed, entries: vec![] });
    assert!(asks(&g.pass(ms(2000))) >= 1, "the subscription broke");
}

#[test]
fn unknown_calls_servers_and_attempts_change_nothing() {
    let mut g = Gateway::with_servers(settings(), 1);
    assert_eq!(g.stands(9, 0, 70, ms(40)), []);
    assert_eq!(g.closes(9, 0, 70, Outcome::Reset), []);
    assert_eq!(g.tell(Event::Abandoned(CallId(9))), []);
    g.tell(Event::Call(call(1, 0, 0)));
    assert_eq!(g.closes(1, 7, 70, Outcome::Reset), [], "an attempt that was never made");
    assert_eq!(g.closes(1, 0, 99, Outcome::Reset), [], "a server that it did not go to");
    g.tell(Event::Abandoned(CallId(1)));
    assert_eq!(g.stands(1, 0, 70, ms(40)), []);
    let no_class = NewCall { class: None, ..call(2, 0, 0) };
    assert_eq!(finals(&g.tell(Event::Call(no_class))), [2]);
}

#[test]
fn settings_that_make_no_sense_are_told_by_type() {
    let with = |change: fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        Controller::new(s, 1).err()
    };
    assert_eq!(with(|s| s.gateways = 0), Some(SettingsError::NoGateways));
    assert_eq!(with(|s| s.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(with(|s| s.rules.cold_from = -1.0), Some(SettingsError::FigureOutOfRange("cold_from")));
    assert_eq!(
        with(|s| s.rules.fall_multiple = f64::NAN),
        Some(SettingsError::FigureOutOfRange("fall_multiple"))
    );
    assert_eq!(with(|_| ()), None);
}

#[test]
fn a_class_without_pools_is_refused_in_time() {
    let mut s = settings();
    s.classes[0].pools = Some(vec![]);
    let mut g = Gateway::with_servers(s, 2);
    assert!(issued(&g.tell(Event::Call(call(1, 0, 0)))).is_empty());
    assert_eq!(finals(g.pass(ms(3000)).iter().map(|(_, a)| a)), [1]);
}

#[test]
fn a_keyed_call_goes_again_only_within_the_window_from_its_first_sending() {
    // Sent at 0, reset at 1000 ms, free to go again at 1300 ms.
    for (window, again) in [(1250, 0), (1600, 1)] {
        let mut s = settings();
        s.limits.cancel = false;
        s.classes = vec![class(1.0, Effect::Keyed { group: RepeatGroup::All, window: ms(window) })];
        let mut g = Gateway::with_servers(s, 2);
        assert_eq!(issued(&g.tell(Event::Call(call(1, 0, 0)))), [(1, 70)]);
        g.pass(ms(1000));
        g.closes(1, 0, 70, Outcome::Reset);
        assert_eq!(issued(g.pass(ms(3000)).iter().map(|(_, a)| a)).len(), again, "window {window} ms");
    }
}
