//! Tests of the policy alone: whether a call may spill, by state of the own zone, worth, cost and budget.

use std::collections::BTreeMap;
use std::time::Duration;

use fawnrouter::*;
use fawnrouter_zones::*;

const fn t(ms: u64) -> Time {
    Time(Duration::from_millis(3600 * 480_000_000 + ms))
}

fn budget(calls: u64) -> Budget {
    let limit = Limit { calls: Some(calls), money: None };
    Budget {
        from: None,
        to: None,
        period: BudgetPeriod::Minute,
        limit,
        carry: 0.0,
        emergency: 1.0,
        sharers: 1,
    }
}

fn settings(own: &str, calls: u64) -> ZoneSettings {
    ZoneSettings {
        own_zone: own.into(),
        costs: BTreeMap::from([
            ("free".into(), ZoneCost::Money(Money(0))),
            ("never".into(), ZoneCost::Forbidden),
            ("dear".into(), ZoneCost::Money(Money::from_units(50.0))),
        ]),
        default_cost: ZoneCost::Money(Money::from_units(1.0)),
        budgets: vec![budget(calls)],
        gateway_index: 0,
        points_per_unit: 0.2,
        health: HealthSettings::default(),
        phase: 0.0,
    }
}

fn server(id: u32, zone: &str) -> ServerEntry {
    ServerEntry { id: ServerId(id), zone: zone.into(), ..ServerEntry::default() }
}

fn request(call: u64, worth: f64, aim_left_ms: u64) -> RoutingRequest {
    let (aim, aim_left) = (Duration::from_secs(2), Duration::from_millis(aim_left_ms));
    RoutingRequest {
        call: CallId(call),
        class: Some(ClassId(0)),
        worth,
        aim,
        aim_left,
        time_left: Duration::from_secs(3),
    }
}

/// A policy whose own zone has four switches, of which `healthy` are healthy with this fraction for the last
/// 4.5 s.
fn policy(settings: ZoneSettings, healthy: u32, fraction: f64) -> ZonePolicy {
    let mut policy = ZonePolicy::new(settings).expect("sound settings");
    let own: Vec<ServerEntry> = (0..4).map(|n| server(n, "kochi")).collect();
    for step in 0..50 {
        let state_of = |n: u32| (step < 5 || n < healthy, if step < 5 { 1.0 } else { fraction });
        let mut seen = own.iter().zip(0..).map(|(entry, n)| {
            let (healthy, allowed_fraction) = state_of(n);
            ServerView { entry, ready: true, healthy, allowed_fraction }
        });
        policy.observe(t(step * 100), &mut seen);
    }
    policy
}

fn may_go(policy: &mut ZonePolicy, now: u64, request: RoutingRequest, zone: &str) -> bool {
    policy.server_weight(t(now), &request, &server(9, zone)) > 0.0
}

#[test]
fn no_call_spills_while_the_own_zone_is_calm() {
    let mut z = policy(settings("kochi", 100), 4, 1.0);
    assert_eq!(z.state(), ZoneState::Calm);
    for call in 0..50 {
        assert!(!may_go(&mut z, 5000, request(call, 100.0, 0), "north"));
        assert_eq!(z.server_weight(t(5000), &request(call, 1.0, 2000), &server(1, "kochi")), 1.0);
    }
}

#[test]
fn free_zone_is_always_allowed_forbidden_zone_never_and_a_server_without_zone_is_allowed_to_all() {
    for (healthy, fraction) in [(4, 1.0), (4, 0.3), (0, 0.0)] {
        let mut z = policy(settings("kochi", 100), healthy, fraction);
        assert!(
            may_go(&mut z, 5000, request(1, 1.0, 2000), "free")
                && may_go(&mut z, 5000, request(1, 1.0, 2000), "")
        );
        assert!(!may_go(&mut z, 5000, request(1, 1e9, 0), "never"));
    }
    let mut without_zone = policy(settings("", 0), 4, 1.0);
    assert!(
        may_go(&mut without_zone, 5000, request(1, 0.1, 2000), "north"),
        "for a gateway without a zone every zone is its own"
    );
}

#[test]
fn in_a_pressed_zone_a_call_waits_until_its_expected_loss_reaches_the_cost() {
    let mut z = policy(settings("kochi", 100), 4, 0.4);
    assert_eq!(z.state(), ZoneState::Pressed);
    // With pressure 0.6 and a cost of one unit at 0.2 points, a call of one point waits for a third of the
    // aim, and a call of three points for a ninth.
    assert!(!may_go(&mut z, 5000, request(1, 1.0, 2000), "north"));
    assert!(
        !may_go(&mut z, 5000, request(1, 1.0, 1500), "north")
            && may_go(&mut z, 5000, request(1, 1.0, 1300), "north")
    );
    assert!(may_go(&mut z, 5000, request(2, 3.0, 1700), "north"));
    assert!(!may_go(&mut z, 5000, request(3, 3.0, 0), "dear"), "fifty units are too much for three points");
}

#[test]
fn calls_spill_at_once_from_a_zone_that_is_down_or_has_no_switches() {
    let mut z = policy(settings("kochi", 100), 1, 1.0);
    assert_eq!(z.state(), ZoneState::Down);
    assert!(may_go(&mut z, 5000, request(1, 1.0, 2000), "north"));
    let mut alone = ZonePolicy::new(settings("lonely", 100)).expect("sound settings");
    assert!(!may_go(&mut alone, 4000, request(1, 1.0, 2000), "north"), "no switch has been observed yet");
    alone.observe(t(4500), &mut std::iter::empty());
    assert!(may_go(&mut alone, 5000, request(1, 1.0, 2000), "north"));
    alone.attempt_sent(t(5000), &request(1, 1.0, 2000), &server(9, "north"));
    assert_eq!(alone.record().totals().keys().next().map(|k| k.cause), Some(SpillCause::NoSwitch));
}

#[test]
fn scarce_budget_goes_mostly_to_the_class_of_highest_worth() {
    let mut z = policy(
        ZoneSettings { budgets: vec![Budget { emergency: 0.0, ..budget(20) }], ..settings("kochi", 0) },
        0,
        0.0,
    );
    let mut spilled = [0, 0];
    // For most of a minute both classes have much more demand than there is budget.
    for n in 0..500u64 {
        for (class, worth) in [(0, 1.0), (1, 3.0)] {
            let call = request(n * 2 + class as u64, worth, 1000);
            if may_go(&mut z, 5000 + n * 100, call, "north") {
                z.attempt_sent(t(5000 + n * 100), &call, &server(9, "north"));
                spilled[class] += 1;
            }
            z.attempt_resolved(call.call, true);
        }
    }
    assert!(spilled[0] + spilled[1] <= 20 && spilled[1] >= 8 && spilled[1] > spilled[0], "{spilled:?}");
}

#[test]
fn failed_set_up_is_refunded_and_an_established_call_is_not() {
    let mut z = policy(
        ZoneSettings { budgets: vec![Budget { emergency: 0.0, ..budget(2) }], ..settings("kochi", 0) },
        0,
        0.0,
    );
    let spent = |z: &ZonePolicy| z.account().budget_views()[0].1.spent.0;
    for (n, established) in [(1, false), (2, true), (3, false)] {
        let call = request(n, 5.0, 0);
        assert!(may_go(&mut z, 5000, call, "north"));
        z.attempt_sent(t(5000), &call, &server(9, "north"));
        z.attempt_resolved(call.call, established);
        z.attempt_resolved(call.call, false);
    }
    assert_eq!(spent(&z), 1);
    let total: u64 = z.record().totals().values().map(|c| c.calls).sum();
    assert_eq!(total, 1);
}

#[test]
fn refund_goes_to_the_zone_that_was_charged_even_if_the_switch_has_changed_zones() {
    let mut z = policy(settings("kochi", 10), 0, 0.0);
    let call = request(1, 5.0, 0);
    assert!(may_go(&mut z, 5000, call, "north"));
    z.attempt_sent(t(5000), &call, &server(9, "north"));
    // The list now says that switch 9 is in the own zone.
    let moved = server(9, "kochi");
    let mut seen =
        std::iter::once(ServerView { entry: &moved, ready: true, healthy: true, allowed_fraction: 1.0 });
    z.observe(t(5100), &mut seen);
    z.attempt_resolved(call.call, false);
    assert_eq!(z.account().budget_views()[0].1.spent.0, 0);
    assert_eq!(z.server_weight(t(5200), &request(2, 1.0, 2000), &moved), 1.0);
}
