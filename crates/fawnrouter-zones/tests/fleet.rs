//! Tests of simulated fleets of controllers with zone policies: how much they spill together.

mod common;

use common::*;

#[test]
fn almost_nothing_spills_without_overload_and_service_is_as_good_as_without_zones() {
    let plan = |policy| Plan { seconds: 40, calls: 240.0, ..Plan::new(6, policy) };
    let (budgeted, zone_blind) = (run(&plan(Policy::Budgeted)), run(&plan(Policy::ZoneBlind)));
    let spilled = budgeted.spilled();
    assert!(budgeted.established > 9000 && spilled * 1000 <= budgeted.established, "{spilled}");
    assert!(budgeted.service() >= zone_blind.service() - 0.002);
}

#[test]
fn spill_stays_within_the_budget_while_two_of_five_switches_of_a_zone_restart() {
    let plan = Plan {
        failed_switches: 2,
        calls: 360.0,
        budget: 120,
        emergency: 0.0,
        ..Plan::new(6, Policy::Budgeted)
    };
    let result = run(&plan);
    assert!(result.spill[&(0, 0)] >= 40 && result.max_spill_per_minute() <= 120, "{:?}", result.spill);
    let unlimited = run(&Plan { policy: Policy::Unbudgeted, ..plan.clone() });
    assert!(unlimited.max_spill_per_minute() > 300, "without a budget: {:?}", unlimited.spill);
    let no_budget = run(&Plan { budget: 0, ..plan.clone() });
    assert!(result.service() > no_budget.service(), "{} against {}", result.service(), no_budget.service());
    assert!(
        result.class_service(1) > result.class_service(0),
        "calls of higher worth go first: {:?}",
        result.worth
    );
}

#[test]
fn zone_that_is_down_longer_than_its_budget_lasts_spends_no_more_than_the_emergency_allowance() {
    let plan = Plan {
        failed_switches: 5,
        outage: (10, 70),
        calls: 180.0,
        budget: 100,
        emergency: 4.0,
        ..Plan::new(6, Policy::Budgeted)
    };
    let plan = Plan { seconds: 120, ..plan };
    let result = run(&plan);
    assert!(result.max_spill_per_minute() <= 500 && result.spill[&(0, 0)] >= 300, "{:?}", result.spill);
    let no_budget = run(&Plan { budget: 0, ..plan.clone() });
    assert_eq!(no_budget.spilled(), 0);
    assert!(
        result.service() > no_budget.service() + 0.02,
        "{} against {}",
        result.service(),
        no_budget.service()
    );
    let last = result.last_spill().expect("some calls spilled");
    assert!(last <= 100, "the spill ends after the outage: {last} s");
}

#[test]
fn two_zones_that_are_down_in_turn_each_spend_their_own_budget() {
    let plan = Plan {
        failed_switches: 5,
        outage: (5, 20),
        second_outage: (22, 40),
        calls: 200.0,
        budget: 90,
        emergency: 1.0,
        ..Plan::new(6, Policy::Budgeted)
    };
    let result = run(&Plan { seconds: 60, ..plan });
    let spilled = |zone: usize| result.spill.get(&(0, zone)).copied().unwrap_or(0);
    assert!((90..=180).contains(&spilled(0)) && (90..=180).contains(&spilled(1)), "{:?}", result.spill);
    assert!(spilled(2) <= 90, "{:?}", result.spill);
}

#[test]
fn grants_between_unevenly_loaded_gateways_use_more_of_the_budget_and_never_exceed_it() {
    let plan = |policy| Plan {
        seconds: 60,
        failed_switches: 2,
        calls: 360.0,
        budget: 600,
        emergency: 0.0,
        skew: 9.0,
        ..Plan::new(45, policy)
    };
    let (fixed_shares, granting) = (run(&plan(Policy::Budgeted)), run(&plan(Policy::Granting)));
    assert!(granting.max_spill_per_minute() <= 600, "{:?}", granting.spill);
    assert!(
        granting.spilled() > fixed_shares.spilled(),
        "{} against {}",
        granting.spilled(),
        fixed_shares.spilled()
    );
}

#[test]
fn same_seed_gives_the_same_result() {
    let plan = Plan { seconds: 20, failed_switches: 2, outage: (5, 15), ..Plan::new(4, Policy::Budgeted) };
    assert_eq!(run(&plan), run(&plan));
}
