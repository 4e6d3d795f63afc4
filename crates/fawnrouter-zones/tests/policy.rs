//! The voice alone: what it says to a call, by state of the own zone, worth, cost and budget.

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

fn wanted(call: u64, worth: f64, aim_left_ms: u64) -> RoutingRequest {
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

/// A voice whose four own switches have been like this for five seconds.
fn voice(settings: ZoneSettings, well: u32, fraction: f64) -> ZonePolicy {
    let mut zones = ZonePolicy::new(settings).expect("sound settings");
    let own: Vec<ServerEntry> = (0..4).map(|n| server(n, "kochi")).collect();
    for step in 0..50 {
        let look = |n: u32| (step < 5 || n < well, if step < 5 { 1.0 } else { fraction });
        let mut seen = own.iter().zip(0..).map(|(entry, n)| {
            let (well, fraction) = look(n);
            ServerView { entry, ready: true, healthy: well, allowed_fraction: fraction }
        });
        zones.observe(t(step * 100), &mut seen);
    }
    zones
}

fn says(zones: &mut ZonePolicy, now: u64, wanted: RoutingRequest, zone: &str) -> bool {
    zones.server_weight(t(now), &wanted, &server(9, zone)) > 0.0
}

#[test]
fn a_quiet_night_lets_nothing_spill_though_a_neighbour_is_quicker() {
    let mut z = voice(settings("kochi", 100), 4, 1.0);
    assert_eq!(z.state(), ZoneState::Calm);
    for call in 0..50 {
        assert!(!says(&mut z, 5000, wanted(call, 100.0, 0), "north"));
        assert_eq!(z.server_weight(t(5000), &wanted(call, 1.0, 2000), &server(1, "kochi")), 1.0);
    }
}

#[test]
fn cost_zero_is_as_good_as_home_cost_forbidden_is_never_and_a_zone_named_nowhere_is_everybodys() {
    for (well, fraction) in [(4, 1.0), (4, 0.3), (0, 0.0)] {
        let mut z = voice(settings("kochi", 100), well, fraction);
        assert!(
            says(&mut z, 5000, wanted(1, 1.0, 2000), "free") && says(&mut z, 5000, wanted(1, 1.0, 2000), "")
        );
        assert!(!says(&mut z, 5000, wanted(1, 1e9, 0), "never"));
    }
    let mut nowhere = voice(settings("", 0), 4, 1.0);
    assert!(
        says(&mut nowhere, 5000, wanted(1, 0.1, 2000), "north"),
        "a gateway without a zone is at home everywhere"
    );
}

#[test]
fn in_a_pressed_zone_a_call_holds_on_until_what_it_would_lose_is_worth_the_cost() {
    let mut z = voice(settings("kochi", 100), 4, 0.4);
    assert_eq!(z.state(), ZoneState::Pressed);
    // Pressure 0.6; a cost of one unit at 0.2 points: a third of the aim for one point, a ninth for three.
    assert!(!says(&mut z, 5000, wanted(1, 1.0, 2000), "north"));
    assert!(
        !says(&mut z, 5000, wanted(1, 1.0, 1500), "north")
            && says(&mut z, 5000, wanted(1, 1.0, 1300), "north")
    );
    assert!(says(&mut z, 5000, wanted(2, 3.0, 1700), "north"));
    assert!(!says(&mut z, 5000, wanted(3, 3.0, 0), "dear"), "fifty units for three points");
}

#[test]
fn a_zone_that_is_down_lets_go_at_once_and_a_gateway_alone_without_switches_always() {
    let mut z = voice(settings("kochi", 100), 1, 1.0);
    assert_eq!(z.state(), ZoneState::Down);
    assert!(says(&mut z, 5000, wanted(1, 1.0, 2000), "north"));
    let mut alone = ZonePolicy::new(settings("lonely", 100)).expect("sound settings");
    assert!(!says(&mut alone, 4000, wanted(1, 1.0, 2000), "north"), "nothing has been looked at yet");
    alone.observe(t(4500), &mut std::iter::empty());
    assert!(says(&mut alone, 5000, wanted(1, 1.0, 2000), "north"));
    alone.attempt_sent(t(5000), &wanted(1, 1.0, 2000), &server(9, "north"));
    assert_eq!(alone.record().total().keys().next().map(|k| k.cause), Some(SpillCause::NoSwitch));
}

#[test]
fn the_last_of_the_budget_goes_to_the_class_of_highest_worth() {
    let mut z = voice(
        ZoneSettings { budgets: vec![Budget { emergency: 0.0, ..budget(20) }], ..settings("kochi", 0) },
        0,
        0.0,
    );
    let mut went = [0, 0];
    // Both want much more than there is, for most of a minute.
    for n in 0..500u64 {
        for (class, worth) in [(0, 1.0), (1, 3.0)] {
            let call = wanted(n * 2 + class as u64, worth, 1000);
            if says(&mut z, 5000 + n * 100, call, "north") {
                z.attempt_sent(t(5000 + n * 100), &call, &server(9, "north"));
                went[class] += 1;
            }
            z.attempt_resolved(call.call, true);
        }
    }
    assert!(went[0] + went[1] <= 20 && went[1] >= 8 && went[1] > went[0], "{went:?}");
}

#[test]
fn a_set_up_that_does_not_stand_is_given_back_and_one_that_stands_is_not() {
    let mut z = voice(
        ZoneSettings { budgets: vec![Budget { emergency: 0.0, ..budget(2) }], ..settings("kochi", 0) },
        0,
        0.0,
    );
    let spent = |z: &ZonePolicy| z.account().budget_views()[0].1.spent.0;
    for (n, stood) in [(1, false), (2, true), (3, false)] {
        let call = wanted(n, 5.0, 0);
        assert!(says(&mut z, 5000, call, "north"));
        z.attempt_sent(t(5000), &call, &server(9, "north"));
        z.attempt_resolved(call.call, stood);
        z.attempt_resolved(call.call, false);
    }
    assert_eq!(spent(&z), 1);
    let total: u64 = z.record().total().values().map(|c| c.calls).sum();
    assert_eq!(total, 1);
}

#[test]
fn a_switch_whose_zone_changes_with_calls_out_is_settled_by_the_zone_it_was_charged_to() {
    let mut z = voice(settings("kochi", 10), 0, 0.0);
    let call = wanted(1, 5.0, 0);
    assert!(says(&mut z, 5000, call, "north"));
    z.attempt_sent(t(5000), &call, &server(9, "north"));
    // The list now says that switch 9 is in the own zone.
    let moved = server(9, "kochi");
    let mut seen =
        std::iter::once(ServerView { entry: &moved, ready: true, healthy: true, allowed_fraction: 1.0 });
    z.observe(t(5100), &mut seen);
    z.attempt_resolved(call.call, false);
    assert_eq!(z.account().budget_views()[0].1.spent.0, 0);
    assert_eq!(z.server_weight(t(5200), &wanted(2, 1.0, 2000), &moved), 1.0);
}
