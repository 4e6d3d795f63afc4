//! One answer for each kind of symptom, and recovery after it.
mod common;

use common::*;
use fawnrouter::*;

/// Runs calls for first choice 0 at a steady pace; tells the share that went to server 70.
fn share_to_70(g: &mut Gateway, ids: std::ops::Range<u64>, took: u64) -> f64 {
    let count = ids.end - ids.start;
    let hits = ids.filter(|id| g.runs(*id, 70, ms(took))).count();
    hits as f64 / count as f64
}

/// Calls for first choice 0 come every 100 ms; server 71 answers, 70 does not. Counts what went to each.
fn silence(g: &mut Gateway, ids: std::ops::Range<u64>) -> (usize, usize) {
    let sent = g.serve(ids, 0, 100, |server| (server == 71).then_some(50));
    let to_70 = sent.iter().filter(|s| **s == 70).count();
    (to_70, sent.len() - to_70)
}

#[test]
fn a_silent_server_gets_trials_only_and_is_back_soon_after_it_answers() {
    let mut g = Gateway::with_servers(settings(), 2);
    assert!(share_to_70(&mut g, 0..40, 50) > 0.95);
    let (to_70, to_71) = silence(&mut g, 100..200);
    assert!(to_70 <= 15 && to_71 >= 60, "{to_70} to the silent one, {to_71} to the other");
    g.pass(ms(5000));
    // Both answer again, 100 ms apart as before: within 10 s the first choice has all its calls back.
    g.serve(300..400, 0, 100, |_| Some(50));
    let back = g.serve(500..540, 0, 100, |_| Some(50)).iter().filter(|s| **s == 70).count();
    assert!(back >= 36, "no lock-out: {back} of 40");
}

#[test]
fn a_slow_server_is_throttled_and_recovers() {
    let mut g = Gateway::with_servers(settings(), 1);
    assert!(g.serve(0..100, 0, 100, |_| Some(40)).len() >= 99);
    let slow = g.serve(200..300, 0, 100, |_| Some(900)).len();
    assert!(slow < 50, "a far wait of 0.9 s holds calls back, {slow} of 100 went");
    g.serve(400..450, 0, 100, |_| Some(40));
    assert!(g.serve(500..600, 0, 100, |_| Some(40)).len() >= 95, "back within 5 s");
}

#[test]
fn a_full_processor_is_not_tried_again_at_once() {
    let mut g = Gateway::with_servers(settings(), 1);
    assert_eq!(issued(&g.tell(Event::Call(call(1, 0, 0)))), [(1, 70)]);
    let full = OutcomeDetail::ProcessorFull(None);
    assert!(issued(&g.closes_with(1, 0, 70, Outcome::Full, full)).is_empty());
    assert!(issued(&g.tell(Event::Call(call(2, 0, 0)))).is_empty());
    assert!(issued(g.pass(ms(250)).iter().map(|(_, a)| a)).is_empty());
    let trials = issued(g.pass(ms(1000)).iter().map(|(_, a)| a));
    assert_eq!(trials.len(), 1, "one trial while it is out");
}

#[test]
fn a_told_wait_is_kept_to() {
    let mut g = Gateway::with_servers(settings(), 1);
    g.tell(Event::Call(call(1, 0, 0)));
    g.closes_with(1, 0, 70, Outcome::Full, OutcomeDetail::ProcessorFull(Some(ms(1500))));
    assert!(issued(g.pass(ms(1480)).iter().map(|(_, a)| a)).is_empty());
    assert!(!issued(g.pass(ms(700)).iter().map(|(_, a)| a)).is_empty());
}

#[test]
fn a_server_with_no_free_line_is_left_out_until_one_is_free() {
    let mut g = Gateway::with_servers(settings(), 1);
    g.runs(1, 70, ms(50));
    g.tell(Event::Call(call(2, 0, 0)));
    assert!(issued(&g.closes_with(2, 0, 70, Outcome::Full, OutcomeDetail::NoCircuit)).is_empty());
    assert!(issued(g.pass(ms(500)).iter().map(|(_, a)| a)).is_empty());
    let free = LoadReport { free_circuits: Some(3.0), total_circuits: Some(9.0), ..LoadReport::default() };
    g.tell(Event::Probed { server: ServerId(70), ok: true, took: ms(0), report: free });
    assert_eq!(issued(g.pass(ms(400)).iter().map(|(_, a)| a)), [(2, 70)]);
}

#[test]
fn a_call_that_can_go_nowhere_blocks_nobody() {
    let mut s = settings();
    s.classes[1].pools = Some(vec![Cell(9)]);
    let mut g = Gateway::with_servers(s, 1);
    assert!(issued(&g.tell(Event::Call(call(1, 1, 9)))).is_empty());
    assert_eq!(issued(&g.tell(Event::Call(call(2, 0, 0)))), [(2, 70)]);
}

#[test]
fn a_number_seen_busy_gets_no_set_ups_for_a_while() {
    let mut g = Gateway::with_servers(settings(), 1);
    let to = |id| NewCall { number: "line-hot".into(), ..call(id, 0, 0) };
    g.tell(Event::Call(to(1)));
    let done = g.closes_with(1, 0, 70, Outcome::Error, OutcomeDetail::NumberBusy);
    assert_eq!(finals(&done), [1]);
    assert_eq!(finals(&g.tell(Event::Call(to(2)))), [2]);
    assert_eq!(issued(&g.tell(Event::Call(call(3, 0, 0)))), [(3, 70)], "other numbers go on");
    g.stands(3, 0, 70, ms(40));
    g.pass(ms(2500));
    assert_eq!(issued(&g.tell(Event::Call(to(4)))), [(4, 70)]);
}

/// With the only server stalled, calls 1 and 2 are held; tells which goes first once it answers.
fn first_of(g: &mut Gateway, one: NewCall, two: NewCall) -> u64 {
    for id in 100..110 {
        if issued(&g.tell(Event::Call(call(id, 0, 0)))).is_empty() {
            g.tell(Event::Abandoned(CallId(id)));
        }
    }
    g.pass(ms(500));
    assert!(issued(&g.tell(Event::Call(one))).is_empty() && issued(&g.tell(Event::Call(two))).is_empty());
    for id in 100..110 {
        if let Some((call, _)) = issued(&g.stands(id, 0, 70, ms(500))).first() {
            return *call;
        }
    }
    issued(g.pass(ms(400)).iter().map(|(_, a)| a)).first().map_or(0, |(call, _)| *call)
}

#[test]
fn of_the_calls_held_the_one_worth_most_goes_first() {
    let mut g = Gateway::with_servers(settings(), 1);
    assert_eq!(first_of(&mut g, call(1, 0, 0), call(2, 1, 0)), 2);
}

#[test]
fn a_call_beyond_its_tenants_share_goes_last() {
    let mut s = settings();
    let tenant = |name: &str, quota| TenantSettings { name: name.into(), quota_per_s: Some(quota) };
    s.tenants = vec![tenant("a", 0.1), tenant("b", 400.0)];
    let mut g = Gateway::with_servers(s, 1);
    let of = |id, tenant| NewCall { tenant: Some(TenantId(tenant)), ..call(id, 0, 0) };
    g.tell(Event::Call(of(50, 0)));
    g.stands(50, 0, 70, ms(40));
    assert_eq!(first_of(&mut g, of(1, 0), of(2, 1)), 2);
}

#[test]
fn lost_answers_do_not_shut_a_lively_server_out() {
    let mut g = Gateway::with_servers(settings(), 1);
    let mut nth = 0;
    let sent = g.serve(0..60, 0, 200, |_| {
        nth += 1;
        (nth % 3 != 0).then_some(60)
    });
    assert!(sent.len() >= 50, "only {} of 60 went", sent.len());
}

#[test]
fn a_further_attempt_goes_to_another_server_if_one_is_open() {
    let mut g = Gateway::with_servers(settings(), 2);
    assert_eq!(issued(&g.tell(Event::Call(call(1, 0, 0)))), [(1, 70)]);
    assert_eq!(issued(&g.closes(1, 0, 70, Outcome::Error)), [(1, 71)]);
    let mut alone = Gateway::with_servers(settings(), 1);
    alone.tell(Event::Call(call(1, 0, 0)));
    assert_eq!(issued(&alone.closes(1, 0, 70, Outcome::Error)), [(1, 70)]);
}

#[test]
fn a_server_not_known_to_be_quick_gets_one_set_up_until_it_answers() {
    let mut g = Gateway::with_servers(settings(), 1);
    assert_eq!(issued(&g.tell(Event::Call(call(1, 0, 0)))).len(), 1);
    assert!(issued(&g.tell(Event::Call(call(2, 0, 0)))).is_empty());
    g.stands(1, 0, 70, ms(40));
    assert_eq!(issued(g.pass(ms(250)).iter().map(|(_, a)| a)), [(2, 70)], "at the next tick");
}

#[test]
fn trials_are_cut_short_and_get_rarer() {
    let mut s = settings();
    (s.gateways, s.limits.max_attempts) = (12, 9);
    let mut g = Gateway::with_servers(s, 1);
    // Two answers in a row that it is full, of one call, make it a suspect.
    g.tell(Event::Call(call(0, 0, 0)));
    g.closes_with(0, 0, 70, Outcome::Full, OutcomeDetail::ProcessorFull(None));
    assert!(!issued(g.pass(ms(2000)).iter().map(|(_, a)| a)).is_empty());
    let told = g.closes_with(0, 1, 70, Outcome::Full, OutcomeDetail::ProcessorFull(None));
    assert!(told.iter().any(|a| matches!(a, Action::Log(line) if line.contains("trials only"))));
    let mut trials = Vec::new();
    for id in 1..300 {
        let mut done: Vec<_> = g.tell(Event::Call(call(id, 0, 0))).into_iter().map(|a| (g.now, a)).collect();
        done.extend(g.pass(ms(100)));
        for (at, action) in done {
            if let Action::Issue { call, within, .. } = action {
                assert!(within <= ms(1000), "half the aim at the most");
                trials.push(at);
                // Which attempt of the call it is, only the right number tells.
                for attempt in 0..9 {
                    g.closes_with(call.0, attempt, 70, Outcome::Full, OutcomeDetail::ProcessorFull(None));
                }
            }
        }
    }
    let gaps: Vec<_> = trials.windows(2).map(|w| w[1].since(w[0])).collect();
    assert!(gaps.len() >= 3 && *gaps.last().unwrap() >= ms(5000), "{gaps:?}");
}

#[test]
fn a_redial_past_the_aim_of_its_first_try_counts_as_late_from_the_start() {
    let mut g = Gateway::with_servers(settings(), 1);
    let redial = |id| NewCall { number: "line-again".into(), ..call(id, 1, 0) };
    g.tell(Event::Call(redial(50)));
    g.stands(50, 0, 70, ms(40));
    g.pass(ms(2100));
    assert_eq!(first_of(&mut g, redial(1), call(2, 0, 0)), 2, "3 x 0.25 is less than 1");
}

/// A quick server at which call 1 got no answer and call 2, `later` after it, did; what is done in the next 30 ms.
fn overtaken(s: Settings, later: u64) -> (Gateway, Vec<Action>) {
    let mut g = Gateway::with_servers(s, 1);
    (100..104).for_each(|id| assert!(g.runs(id, 70, ms(10))));
    // A tick sees that it is quick.
    g.pass(ms(250));
    assert_eq!(issued(&g.tell(Event::Call(call(1, 0, 0)))), [(1, 70)]);
    g.pass(ms(later));
    assert_eq!(issued(&g.tell(Event::Call(call(2, 0, 0)))), [(2, 70)]);
    g.pass(ms(10));
    g.stands(2, 0, 70, ms(10));
    let done = g.pass(ms(30)).into_iter().map(|(_, a)| a).collect();
    (g, done)
}

#[test]
fn an_attempt_whose_answer_is_lost_is_called_off_and_its_call_goes_again_after_the_guard() {
    let off = Action::Cancel { call: CallId(1), attempt: AttemptNo(0) };
    let (mut g, done) = overtaken(settings(), 101);
    assert_eq!(done.iter().filter(|a| **a == off).count(), 1, "once: {done:?}");
    g.closes(1, 0, 70, Outcome::Cancelled);
    let closed = g.now;
    let again =
        g.pass(ms(1000)).into_iter().find(|(_, a)| matches!(a, Action::Issue { call: CallId(1), .. }));
    assert!(again.is_some_and(|(at, _)| at.since(closed) > ms(300)), "the guard is 300 ms");
    // The network may have changed the order of what is nearer together.
    assert!(!overtaken(settings(), 90).1.contains(&off));
}

#[test]
fn what_counts_as_overtaken_goes_by_the_aim_so_that_a_lost_answer_blocks_no_quick_site() {
    let mut quick = settings();
    quick.classes.iter_mut().for_each(|c| (c.aim, c.deadline) = (ms(500), ms(3000)));
    let off = Action::Cancel { call: CallId(1), attempt: AttemptNo(0) };
    assert!(overtaken(quick, 30).1.contains(&off));
}

#[test]
fn an_attempt_is_not_called_off_where_it_must_not_run_twice_or_may_not_be_cancelled() {
    let (mut once, mut kept) = (settings(), settings());
    once.classes[0].effect = Effect::Unsafe;
    kept.limits.cancel = false;
    for s in [once, kept] {
        assert!(!overtaken(s, 101).1.iter().any(|a| matches!(a, Action::Cancel { .. })));
    }
}

#[test]
fn a_call_that_must_not_run_twice_and_may_have_run_fails_at_once() {
    let mut s = settings();
    s.classes[0].effect = Effect::Unsafe;
    let mut g = Gateway::with_servers(s, 2);
    g.tell(Event::Call(call(1, 0, 0)));
    assert!(g.closes(1, 0, 70, Outcome::Reset).contains(&Action::Fail(CallId(1))));
    // One that certainly has not run goes on.
    g.tell(Event::Call(call(2, 0, 0)));
    assert_eq!(issued(&g.closes(2, 0, 70, Outcome::ConnectFailed)), [(2, 71)]);
}

#[test]
fn a_call_whose_repeats_are_no_longer_recognised_is_given_up_then_and_not_at_its_deadline() {
    let mut s = settings();
    s.classes[0].effect = Effect::Keyed { group: RepeatGroup::All, window: ms(800) };
    let mut g = Gateway::with_servers(s, 1);
    g.tell(Event::Call(call(1, 0, 0)));
    g.pass(ms(100));
    g.closes(1, 0, 70, Outcome::Reset);
    g.tell(Event::List { kind: ListKind::Changes, entries: vec![entry(70, ServerState::Draining)] });
    let ends = g.pass(ms(900));
    let (at, _) = ends.iter().find(|(_, a)| finals([a]) == [1]).expect("it is over");
    assert!(g.now.since(*at) >= ms(150), "right after the 800 ms");
}

#[test]
fn what_is_given_up_names_a_time_to_come_back_where_callers_are_told_one() {
    for (told, wait) in [(true, ms(2000)), (false, ms(0))] {
        let mut s = settings();
        s.limits.retry_after = told;
        let mut g = Gateway::with_servers(s, 1);
        g.tell(Event::Call(call(1, 0, 0)));
        g.tell(Event::Call(call(2, 0, 0)));
        let refusals: Vec<Action> = g.pass(ms(3000)).into_iter().map(|(_, a)| a).collect();
        let refused = Action::Refuse { call: CallId(2), retry_after: wait };
        assert!(refusals.contains(&refused), "{refusals:?}");
    }
}

#[test]
fn when_all_set_ups_in_line_have_waited_too_long_one_more_shows_whether_answers_are_lost() {
    let mut g = Gateway::with_servers(settings(), 1);
    // 10 a second stand in 20 ms.
    g.serve(100..160, 0, 100, |_| Some(20));
    for id in [1, 2] {
        assert_eq!(issued(&g.tell(Event::Call(call(id, 0, 0)))), [(id, 70)]);
    }
    // Both answers are lost. Nothing goes before 0.2 of the aim, then one at a time at the pace of trials.
    g.pass(ms(410));
    assert!(issued(&g.tell(Event::Call(call(3, 0, 0)))).is_empty());
    assert!(issued(g.pass(ms(80)).iter().map(|(_, a)| a)).is_empty());
    let trials = g.pass(ms(300));
    assert_eq!(issued(trials.iter().map(|(_, a)| a)), [(3, 70)]);
    let cut = |a: &Action| matches!(a, Action::Issue { within, .. } if *within <= ms(1000));
    assert!(trials.iter().any(|(_, a)| cut(a)), "a trial is cut short");
    g.stands(3, 0, 70, ms(20));
    let off = g.pass(ms(30)).into_iter().filter(|(_, a)| matches!(a, Action::Cancel { .. })).count();
    assert_eq!(off, 2, "it has overtaken both");
    assert!(!issued(&g.tell(Event::Call(call(4, 0, 0)))).is_empty(), "and the server is open");
}
