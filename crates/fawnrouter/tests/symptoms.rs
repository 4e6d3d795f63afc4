//! The reaction to each kind of failure of a server, and the recovery after it.
mod common;

use common::*;
use fawnrouter::*;

/// Runs calls with first choice 0 one after another; returns the share that went to server 70.
fn share_to_70(g: &mut Gateway, ids: std::ops::Range<u64>, set_up_ms: u64) -> f64 {
    let count = ids.end - ids.start;
    let sent = ids.filter(|id| g.run_call(*id, 70, ms(set_up_ms))).count();
    sent as f64 / count as f64
}

/// Sends a call with first choice 0 every 100 ms; server 71 answers, 70 does not. Returns the set-ups to 70
/// and to 71.
fn run_with_70_silent(g: &mut Gateway, ids: std::ops::Range<u64>) -> (usize, usize) {
    let sent = g.run_calls(ids, 0, 100, |server| (server == 71).then_some(50));
    let to_70 = sent.iter().filter(|s| **s == 70).count();
    (to_70, sent.len() - to_70)
}

#[test]
fn silent_server_gets_only_trials_and_recovers_soon_after_it_answers() {
    let mut g = Gateway::with_servers(settings(), 2);
    assert!(share_to_70(&mut g, 0..40, 50) > 0.95);
    let (to_70, to_71) = run_with_70_silent(&mut g, 100..200);
    assert!(to_70 <= 15 && to_71 >= 60, "{to_70} to the silent one, {to_71} to the other");
    g.advance(ms(5000));
    // Both answer again, with a call every 100 ms as before: within 10 s the first choice gets all its calls
    // again.
    g.run_calls(300..400, 0, 100, |_| Some(50));
    let back = g.run_calls(500..540, 0, 100, |_| Some(50)).iter().filter(|s| **s == 70).count();
    assert!(back >= 36, "only {back} of 40 calls went to the recovered server");
}

#[test]
fn slow_server_is_throttled_and_recovers() {
    let mut g = Gateway::with_servers(settings(), 1);
    assert!(g.run_calls(0..100, 0, 100, |_| Some(40)).len() >= 99);
    let slow = g.run_calls(200..300, 0, 100, |_| Some(900)).len();
    assert!(slow < 50, "{slow} of 100 calls were sent at a delay of 0.9 s");
    g.run_calls(400..450, 0, 100, |_| Some(40));
    assert!(g.run_calls(500..600, 0, 100, |_| Some(40)).len() >= 95, "no recovery within 5 s");
}

#[test]
fn full_processor_is_not_tried_again_at_once() {
    let mut g = Gateway::with_servers(settings(), 1);
    assert_eq!(issued(&g.handle(Event::Call(call(1, 0, 0)))), [(1, 70)]);
    let full = OutcomeDetail::ProcessorFull(None);
    assert!(issued(&g.close_with(1, 0, 70, Outcome::Full, full)).is_empty());
    assert!(issued(&g.handle(Event::Call(call(2, 0, 0)))).is_empty());
    assert!(issued(g.advance(ms(250)).iter().map(|(_, a)| a)).is_empty());
    let trials = issued(g.advance(ms(1000)).iter().map(|(_, a)| a));
    assert_eq!(trials.len(), 1, "one trial at a time");
}

#[test]
fn wait_asked_for_by_a_full_server_is_observed() {
    let mut g = Gateway::with_servers(settings(), 1);
    g.handle(Event::Call(call(1, 0, 0)));
    g.close_with(1, 0, 70, Outcome::Full, OutcomeDetail::ProcessorFull(Some(ms(1500))));
    assert!(issued(g.advance(ms(1480)).iter().map(|(_, a)| a)).is_empty());
    assert!(!issued(g.advance(ms(700)).iter().map(|(_, a)| a)).is_empty());
}

#[test]
fn server_without_a_free_circuit_gets_no_set_ups_until_one_is_free() {
    let mut g = Gateway::with_servers(settings(), 1);
    g.run_call(1, 70, ms(50));
    g.handle(Event::Call(call(2, 0, 0)));
    assert!(issued(&g.close_with(2, 0, 70, Outcome::Full, OutcomeDetail::NoCircuit)).is_empty());
    assert!(issued(g.advance(ms(500)).iter().map(|(_, a)| a)).is_empty());
    let free = LoadReport { free_circuits: Some(3.0), total_circuits: Some(9.0), ..LoadReport::default() };
    g.handle(Event::Probed { server: ServerId(70), ok: true, took: ms(0), report: free });
    assert_eq!(issued(g.advance(ms(400)).iter().map(|(_, a)| a)), [(2, 70)]);
}

#[test]
fn call_without_a_possible_server_does_not_block_others() {
    let mut s = settings();
    s.classes[1].pools = Some(vec![Cell(9)]);
    let mut g = Gateway::with_servers(s, 1);
    assert!(issued(&g.handle(Event::Call(call(1, 1, 9)))).is_empty());
    assert_eq!(issued(&g.handle(Event::Call(call(2, 0, 0)))), [(2, 70)]);
}

#[test]
fn busy_number_gets_no_set_ups_for_a_while() {
    let mut g = Gateway::with_servers(settings(), 1);
    let to = |id| NewCall { number: "line-hot".into(), ..call(id, 0, 0) };
    g.handle(Event::Call(to(1)));
    let done = g.close_with(1, 0, 70, Outcome::Error, OutcomeDetail::NumberBusy);
    assert_eq!(final_answers(&done), [1]);
    assert_eq!(final_answers(&g.handle(Event::Call(to(2)))), [2]);
    assert_eq!(issued(&g.handle(Event::Call(call(3, 0, 0)))), [(3, 70)], "other numbers are not affected");
    g.establish(3, 0, 70, ms(40));
    g.advance(ms(2500));
    assert_eq!(issued(&g.handle(Event::Call(to(4)))), [(4, 70)]);
}

/// Holds calls 1 and 2 while the only server is stalled; returns the one that is sent first once it answers.
fn first_sent_of(g: &mut Gateway, one: NewCall, two: NewCall) -> u64 {
    for id in 100..110 {
        if issued(&g.handle(Event::Call(call(id, 0, 0)))).is_empty() {
            g.handle(Event::Abandoned(CallId(id)));
        }
    }
    g.advance(ms(500));
    assert!(issued(&g.handle(Event::Call(one))).is_empty() && issued(&g.handle(Event::Call(two))).is_empty());
    for id in 100..110 {
        if let Some((call, _)) = issued(&g.establish(id, 0, 70, ms(500))).first() {
            return *call;
        }
    }
    issued(g.advance(ms(400)).iter().map(|(_, a)| a)).first().map_or(0, |(call, _)| *call)
}

#[test]
fn held_call_of_highest_worth_is_sent_first() {
    let mut g = Gateway::with_servers(settings(), 1);
    assert_eq!(first_sent_of(&mut g, call(1, 0, 0), call(2, 1, 0)), 2);
}

#[test]
fn call_beyond_its_tenants_share_is_sent_last() {
    let mut s = settings();
    let tenant = |name: &str, quota| TenantSettings { name: name.into(), quota_per_s: Some(quota) };
    s.tenants = vec![tenant("a", 0.1), tenant("b", 400.0)];
    let mut g = Gateway::with_servers(s, 1);
    let of = |id, tenant| NewCall { tenant: Some(TenantId(tenant)), ..call(id, 0, 0) };
    g.handle(Event::Call(of(50, 0)));
    g.establish(50, 0, 70, ms(40));
    assert_eq!(first_sent_of(&mut g, of(1, 0), of(2, 1)), 2);
}

#[test]
fn lost_answers_do_not_exclude_a_working_server() {
    let mut g = Gateway::with_servers(settings(), 1);
    let mut nth = 0;
    let sent = g.run_calls(0..60, 0, 200, |_| {
        nth += 1;
        (nth % 3 != 0).then_some(60)
    });
    assert!(sent.len() >= 50, "only {} of 60 went", sent.len());
}

#[test]
fn further_attempt_goes_to_another_server_if_one_is_open() {
    let mut g = Gateway::with_servers(settings(), 2);
    assert_eq!(issued(&g.handle(Event::Call(call(1, 0, 0)))), [(1, 70)]);
    assert_eq!(issued(&g.close(1, 0, 70, Outcome::Error)), [(1, 71)]);
    let mut alone = Gateway::with_servers(settings(), 1);
    alone.handle(Event::Call(call(1, 0, 0)));
    assert_eq!(issued(&alone.close(1, 0, 70, Outcome::Error)), [(1, 70)]);
}

#[test]
fn server_not_known_to_be_quick_gets_one_set_up_until_it_answers() {
    let mut g = Gateway::with_servers(settings(), 1);
    assert_eq!(issued(&g.handle(Event::Call(call(1, 0, 0)))).len(), 1);
    assert!(issued(&g.handle(Event::Call(call(2, 0, 0)))).is_empty());
    g.establish(1, 0, 70, ms(40));
    assert_eq!(issued(g.advance(ms(250)).iter().map(|(_, a)| a)), [(2, 70)], "at the next tick");
}

#[test]
fn trials_have_a_short_time_out_and_become_rarer() {
    let mut s = settings();
    (s.gateways, s.limits.max_attempts) = (12, 9);
    let mut g = Gateway::with_servers(s, 1);
    // Two refusals in a row for a full processor, of the same call: the server gets only trials.
    g.handle(Event::Call(call(0, 0, 0)));
    g.close_with(0, 0, 70, Outcome::Full, OutcomeDetail::ProcessorFull(None));
    assert!(!issued(g.advance(ms(2000)).iter().map(|(_, a)| a)).is_empty());
    let actions = g.close_with(0, 1, 70, Outcome::Full, OutcomeDetail::ProcessorFull(None));
    assert!(actions.iter().any(|a| matches!(a, Action::Log(line) if line.contains("trials only"))));
    let mut trials = Vec::new();
    for id in 1..300 {
        let mut done: Vec<_> =
            g.handle(Event::Call(call(id, 0, 0))).into_iter().map(|a| (g.now, a)).collect();
        done.extend(g.advance(ms(100)));
        for (at, action) in done {
            if let Action::Issue { call, within, .. } = action {
                assert!(within <= ms(1000), "at most half the aim");
                trials.push(at);
                // The test does not know the attempt's number; events with a wrong one have no effect.
                for attempt in 0..9 {
                    g.close_with(call.0, attempt, 70, Outcome::Full, OutcomeDetail::ProcessorFull(None));
                }
            }
        }
    }
    let gaps: Vec<_> = trials.windows(2).map(|w| w[1].since(w[0])).collect();
    assert!(gaps.len() >= 3 && *gaps.last().unwrap() >= ms(5000), "{gaps:?}");
}

#[test]
fn redial_after_the_aim_of_the_first_try_counts_as_late_at_once() {
    let mut g = Gateway::with_servers(settings(), 1);
    let redial = |id| NewCall { number: "line-again".into(), ..call(id, 1, 0) };
    g.handle(Event::Call(redial(50)));
    g.establish(50, 0, 70, ms(40));
    g.advance(ms(2100));
    assert_eq!(first_sent_of(&mut g, redial(1), call(2, 0, 0)), 2, "3 x 0.25 is less than 1");
}

/// At a quick server call 1 gets no answer, and call 2, sent `later_ms` after it, does. Returns the gateway
/// and its actions in the next 30 ms.
fn run_overtaken_call(s: Settings, later_ms: u64) -> (Gateway, Vec<Action>) {
    let mut g = Gateway::with_servers(s, 1);
    (100..104).for_each(|id| assert!(g.run_call(id, 70, ms(10))));
    // After a tick the server counts as quick.
    g.advance(ms(250));
    assert_eq!(issued(&g.handle(Event::Call(call(1, 0, 0)))), [(1, 70)]);
    g.advance(ms(later_ms));
    assert_eq!(issued(&g.handle(Event::Call(call(2, 0, 0)))), [(2, 70)]);
    g.advance(ms(10));
    g.establish(2, 0, 70, ms(10));
    let done = g.advance(ms(30)).into_iter().map(|(_, a)| a).collect();
    (g, done)
}

#[test]
fn attempt_whose_answer_is_lost_is_cancelled_and_repeated_after_the_release_guard() {
    let cancel = Action::Cancel { call: CallId(1), attempt: AttemptNo(0) };
    let (mut g, done) = run_overtaken_call(settings(), 101);
    assert_eq!(done.iter().filter(|a| **a == cancel).count(), 1, "cancelled once: {done:?}");
    g.close(1, 0, 70, Outcome::Cancelled);
    let closed = g.now;
    let again =
        g.advance(ms(1000)).into_iter().find(|(_, a)| matches!(a, Action::Issue { call: CallId(1), .. }));
    assert!(again.is_some_and(|(at, _)| at.since(closed) > ms(300)), "the release guard is 300 ms");
    // The network may reorder messages that are closer together than this.
    assert!(!run_overtaken_call(settings(), 90).1.contains(&cancel));
}

#[test]
fn overtaking_depends_on_the_aim_so_that_lost_answers_do_not_block_sites_with_short_aims() {
    let mut quick = settings();
    quick.classes.iter_mut().for_each(|c| (c.aim, c.deadline) = (ms(500), ms(3000)));
    let cancel = Action::Cancel { call: CallId(1), attempt: AttemptNo(0) };
    assert!(run_overtaken_call(quick, 30).1.contains(&cancel));
}

#[test]
fn attempt_is_not_cancelled_if_the_call_must_not_run_twice_or_cancelling_is_not_allowed() {
    let (mut unsafe_calls, mut no_cancel) = (settings(), settings());
    unsafe_calls.classes[0].effect = Effect::Unsafe;
    no_cancel.limits.cancel = false;
    for s in [unsafe_calls, no_cancel] {
        assert!(!run_overtaken_call(s, 101).1.iter().any(|a| matches!(a, Action::Cancel { .. })));
    }
}

#[test]
fn call_that_must_not_run_twice_and_may_have_run_fails_at_once() {
    let mut s = settings();
    s.classes[0].effect = Effect::Unsafe;
    let mut g = Gateway::with_servers(s, 2);
    g.handle(Event::Call(call(1, 0, 0)));
    assert!(g.close(1, 0, 70, Outcome::Reset).contains(&Action::Fail(CallId(1))));
    // A call that certainly has not run is sent again.
    g.handle(Event::Call(call(2, 0, 0)));
    assert_eq!(issued(&g.close(2, 0, 70, Outcome::ConnectFailed)), [(2, 71)]);
}

#[test]
fn keyed_call_gets_its_final_answer_when_the_repeat_window_ends_and_not_at_its_deadline() {
    let mut s = settings();
    s.classes[0].effect = Effect::Keyed { group: RepeatGroup::All, window: ms(800) };
    let mut g = Gateway::with_servers(s, 1);
    g.handle(Event::Call(call(1, 0, 0)));
    g.advance(ms(100));
    g.close(1, 0, 70, Outcome::Reset);
    g.handle(Event::List { kind: ListKind::Changes, entries: vec![entry(70, ServerState::Draining)] });
    let ends = g.advance(ms(900));
    let (at, _) = ends.iter().find(|(_, a)| final_answers([a]) == [1]).expect("a final answer");
    assert!(g.now.since(*at) >= ms(150), "the final answer comes right after the 800 ms");
}

#[test]
fn refusal_has_a_retry_time_where_callers_are_told_one() {
    for (retry_after, wait) in [(true, ms(2000)), (false, ms(0))] {
        let mut s = settings();
        s.limits.retry_after = retry_after;
        let mut g = Gateway::with_servers(s, 1);
        g.handle(Event::Call(call(1, 0, 0)));
        g.handle(Event::Call(call(2, 0, 0)));
        let refusals: Vec<Action> = g.advance(ms(3000)).into_iter().map(|(_, a)| a).collect();
        let refused = Action::Refuse { call: CallId(2), retry_after: wait };
        assert!(refusals.contains(&refused), "{refusals:?}");
    }
}

#[test]
fn one_more_set_up_is_sent_as_a_trial_when_all_unanswered_ones_have_waited_too_long() {
    let mut g = Gateway::with_servers(settings(), 1);
    // 10 calls a second are established in 20 ms each.
    g.run_calls(100..160, 0, 100, |_| Some(20));
    for id in [1, 2] {
        assert_eq!(issued(&g.handle(Event::Call(call(id, 0, 0)))), [(id, 70)]);
    }
    // Both answers are lost. No set-up is sent before 0.2 of the aim is over, then one at a time at the trial
    // rate.
    g.advance(ms(410));
    assert!(issued(&g.handle(Event::Call(call(3, 0, 0)))).is_empty());
    assert!(issued(g.advance(ms(80)).iter().map(|(_, a)| a)).is_empty());
    let trials = g.advance(ms(300));
    assert_eq!(issued(trials.iter().map(|(_, a)| a)), [(3, 70)]);
    let short_time_out = |a: &Action| matches!(a, Action::Issue { within, .. } if *within <= ms(1000));
    assert!(trials.iter().any(|(_, a)| short_time_out(a)), "a trial has a short time-out");
    g.establish(3, 0, 70, ms(20));
    let cancelled = g.advance(ms(30)).into_iter().filter(|(_, a)| matches!(a, Action::Cancel { .. })).count();
    assert_eq!(cancelled, 2, "it has overtaken both");
    assert!(!issued(&g.handle(Event::Call(call(4, 0, 0)))).is_empty(), "the server takes set-ups again");
}
