//! Tests of the account: windows, clocks, restarts, refunds, grants, and the sum over gateways that do not
//! coordinate.

use std::sync::Arc;
use std::time::Duration;

use fawnrouter_zones::*;
use proptest::prelude::*;

const fn s(n: u64) -> Duration {
    // Whole hours since the epoch, so that windows are easy to see.
    Duration::from_secs(3600 * 480_000 + n)
}

fn budget(calls: u64, sharers: u32) -> Budget {
    Budget {
        from: None,
        to: None,
        period: BudgetPeriod::Minute,
        limit: Limit { calls: Some(calls), money: None },
        carry: 0.0,
        emergency: 0.0,
        sharers,
    }
}

fn account(me: u32, budgets: Vec<Budget>) -> Account {
    Account::new("kochi".into(), me, budgets).expect("sound budgets")
}

fn to() -> Arc<str> {
    "north".into()
}

/// Charges calls until one is refused, `max` at most. Returns how many were charged.
fn spend(a: &mut Account, now: Duration, max: u64) -> u64 {
    (0..max).take_while(|_| a.charge(now, &to(), Money(0), 0.0).is_ok()).count() as u64
}

#[test]
fn budget_spent_at_the_end_of_a_window_is_full_again_in_the_next_one() {
    let mut a = account(0, vec![budget(10, 1)]);
    assert_eq!(spend(&mut a, s(59), 100), 10);
    assert_eq!(a.remaining_share(s(59), "north", 0.0), 0.0);
    assert_eq!(spend(&mut a, s(60), 100), 10);
    assert_eq!(a.refused()[&to()], 2);
}

#[test]
fn clock_set_back_over_a_window_edge_does_not_reopen_a_window() {
    let mut a = account(0, vec![budget(10, 1)]);
    assert_eq!(spend(&mut a, s(59), 4), 4);
    assert_eq!(spend(&mut a, s(61), 100), 10);
    // Back in the previous window: neither what was left of it nor a new allowance of this window is
    // available.
    assert_eq!(spend(&mut a, s(58), 100), 0);
    assert_eq!(spend(&mut a, s(62), 100), 0);
    assert_eq!(spend(&mut a, s(120), 100), 10);
}

#[test]
fn unused_budget_carries_over_into_the_next_window_only_and_up_to_the_carry_share() {
    let half = Budget { carry: 0.5, ..budget(10, 1) };
    let mut a = account(0, vec![half]);
    assert_eq!(spend(&mut a, s(0), 2), 2);
    assert_eq!(spend(&mut a, s(60), 100), 15, "eight were left, five may carry over");
    assert_eq!(spend(&mut a, s(120), 100), 10, "nothing was left");
    assert_eq!(spend(&mut a, s(180), 8), 8);
    assert_eq!(spend(&mut a, s(240), 100), 12);
    // After hours without a call only the carry-over of one window is available.
    assert_eq!(spend(&mut a, s(7200), 100), 15);
}

#[test]
fn every_covering_budget_limits_spills_in_calls_and_in_money() {
    let hour = Budget { period: BudgetPeriod::Hour, ..budget(25, 1) };
    let daily_money = Budget {
        to: Some(to()),
        limit: Limit { calls: None, money: Some(Money::from_units(12.0)) },
        period: BudgetPeriod::Day,
        ..budget(0, 1)
    };
    let elsewhere = Budget { from: Some("south".into()), ..budget(0, 1) };
    let mut a = account(0, vec![budget(10, 1), hour, daily_money, elsewhere]);
    assert_eq!(spend(&mut a, s(0), 100), 10, "limited by the budget per minute");
    assert_eq!(spend(&mut a, s(60), 100), 10);
    assert_eq!(spend(&mut a, s(120), 100), 5, "limited by the budget per hour");
    let cost = Money::from_units(5.0);
    assert!(a.charge(s(3600), &to(), cost, 0.0).is_ok() && a.charge(s(3600), &to(), cost, 0.0).is_ok());
    assert_eq!(a.charge(s(3600), &to(), cost, 0.0), Err(BudgetExhausted), "two units are left of the day");
    assert!(a.charge(s(3600), &Arc::from("east"), cost, 0.0).is_ok(), "another pair of zones");
}

#[test]
fn refund_counts_within_its_window_only() {
    let mut a = account(0, vec![budget(2, 1)]);
    let first = a.charge(s(0), &to(), Money(0), 0.0).expect("room");
    let second = a.charge(s(1), &to(), Money(0), 0.0).expect("room");
    a.refund(s(2), &first);
    assert_eq!(spend(&mut a, s(3), 100), 1);
    assert_eq!(spend(&mut a, s(60), 100), 2);
    a.refund(s(61), &second);
    assert_eq!(spend(&mut a, s(62), 100), 0, "it was charged in the last window");
}

#[test]
fn emergency_allowance_adds_budget_in_proportion_to_its_level() {
    let mut a = account(0, vec![Budget { emergency: 3.0, ..budget(10, 1) }]);
    let mut spend_at =
        |level: f64| (0..100).filter(|_| a.charge(s(0), &to(), Money(0), level).is_ok()).count();
    assert_eq!((spend_at(0.0), spend_at(0.5), spend_at(1.0), spend_at(0.0)), (10, 15, 15, 0));
}

#[test]
fn restart_within_a_window_does_not_allow_spending_twice() {
    let budgets =
        vec![Budget { carry: 0.5, ..budget(10, 1) }, Budget { period: BudgetPeriod::Day, ..budget(100, 1) }];
    let mut a = account(0, budgets.clone());
    assert_eq!(spend(&mut a, s(10), 7), 7);
    let saved = a.save();
    let mut again = account(0, budgets.clone());
    again.restore(s(30), Some(&saved));
    assert_eq!(spend(&mut again, s(30), 100), 3);
    // Restored in a later window than it was saved in.
    let mut later = account(0, budgets.clone());
    later.restore(s(65), Some(&saved));
    assert_eq!(spend(&mut later, s(65), 100), 13, "ten, and three carried over");
    // Without a saved account, or with one of other budgets, this window's share counts as spent.
    let mut blank = account(0, budgets.clone());
    blank.restore(s(30), None);
    assert_eq!(spend(&mut blank, s(30), 100), 0);
    assert_eq!(spend(&mut blank, s(60), 100), 0, "the budget per day counts as spent too");
    let mut other = account(0, vec![budget(11, 1)]);
    other.restore(s(30), Some(&saved));
    assert_eq!((spend(&mut other, s(30), 100), spend(&mut other, s(60), 100)), (0, 11));
}

#[test]
fn price_rises_while_demand_exceeds_the_budget_and_falls_afterwards() {
    let mut a = account(0, vec![budget(60, 1)]);
    let mut prices = Vec::new();
    for second in 0..240u64 {
        // Demand of ten calls a second for two minutes, then none.
        if second < 120 {
            (0..10).for_each(|_| a.record_demand(s(second), "north"));
        }
        prices.push(a.price(s(second), "north", 0.0));
    }
    assert_eq!(prices[0], 1.0);
    assert!(prices[30] > 50.0 && prices[100] > prices[30] / 2.0, "{prices:?}");
    assert!(prices[239] < 1.5, "{}", prices[239]);
    assert_eq!(a.price(s(240), "north", 0.0).min(1.0), 1.0, "never below the configured cost");
}

#[test]
fn gateway_with_surplus_grants_budget_and_both_sides_keep_it_over_a_restart() {
    let (mut poor, mut rich) = (account(0, vec![budget(100, 2)]), account(1, vec![budget(100, 2)]));
    for second in 0..20u64 {
        (0..6).for_each(|_| poor.record_demand(s(second), "north"));
        let _ = spend(&mut poor, s(second), 6);
    }
    assert_eq!(spend(&mut poor, s(20), 100), 0, "its share of fifty is spent");
    assert!(rich.budget_requests(s(20)).is_empty());
    let requests = poor.budget_requests(s(20));
    assert!(matches!(requests[..], [GrantMessage::Need { calls: 50.., .. }]), "{requests:?}");
    let grant = rich.on_message(s(20), 0, &requests[0]).expect("a gateway with surplus grants");
    assert_eq!(
        grant,
        GrantMessage::Grant {
            budget: 0,
            window: s(20).as_secs() / 60,
            id: match grant {
                GrantMessage::Grant { id, .. } => id,
                _ => 0,
            },
            calls: 24,
            money: Money(0)
        }
    );
    // A grant leaves the sender's allowance when it is made, counts once if it is received twice, and counts
    // for nothing in the next window.
    assert_eq!(rich.budget_views()[0].2.0, Some(26));
    for _ in 0..2 {
        assert_eq!(poor.on_message(s(21), 1, &grant), None);
    }
    let saved = (poor.save(), rich.save());
    let (mut poor, mut rich) = (account(0, vec![budget(100, 2)]), account(1, vec![budget(100, 2)]));
    poor.restore(s(22), Some(&saved.0));
    rich.restore(s(22), Some(&saved.1));
    assert_eq!((spend(&mut poor, s(23), 100), spend(&mut rich, s(23), 100)), (24, 26));
    assert_eq!(poor.on_message(s(61), 1, &grant), None);
    assert_eq!((spend(&mut poor, s(61), 100), spend(&mut rich, s(61), 100)), (50, 50));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// Gateways without shared state, with different clocks, restarts and lost, late or duplicated grants: in
    /// no window do they spend more together than the budget and its carry-over.
    #[test]
    fn sum_over_all_gateways_never_exceeds_the_budget(
        calls in 1u64..500,
        sharers in prop::sample::select(vec![1u32, 4, 60, 250]),
        carry in prop::sample::select(vec![0.0, 0.5, 1.0]),
        ops in proptest::collection::vec((0u32..250, 0u64..400, 0u8..15), 1..400),
    ) {
        // Grants that were sent and may still arrive: receiver, sender, message.
        let mut in_flight: Vec<(usize, u32, GrantMessage)> = Vec::new();
        let budget = Budget { carry, ..budget(calls, sharers) };
        let mut fleet: Vec<Account> = (0..sharers).map(|me| account(me, vec![budget.clone()])).collect();
        let mut clocks = vec![0u64; sharers as usize];
        let mut spent = std::collections::BTreeMap::<u64, u64>::new();
        for (gateway, step, operation) in ops {
            let me = (gateway % sharers) as usize;
            let now = s(clocks[me] + step);
            match operation {
                // The gateway's clock advances, or is set back.
                0 => clocks[me] += step,
                1 => clocks[me] = clocks[me].saturating_sub(step),
                2 => {
                    let saved = fleet[me].save();
                    let mut fresh = account(me as u32, vec![budget.clone()]);
                    // The account cannot be protected if the saved state and the correct time are lost
                    // together, so only one of them is lost here.
                    let lost = step % 3 == 0 && now >= Duration::from_nanos(saved.at_ns);
                    fresh.restore(now, if lost { None } else { Some(&saved) });
                    fleet[me] = fresh;
                }
                // Requests budget from another gateway, whose answer may arrive late, twice, out of order or
                // never.
                12 => {
                    (0..20).for_each(|_| fleet[me].record_demand(now, "north"));
                    let other = (me + step as usize) % fleet.len();
                    for request in fleet[me].budget_requests(now) {
                        let their_now = s(clocks[other]);
                        let answer = fleet[other].on_message(their_now, me as u32, &request);
                        in_flight.extend(answer.filter(|_| other != me).map(|grant| (me, other as u32, grant)));
                    }
                }
                13 | 14 => {
                    if !in_flight.is_empty() {
                        let index = step as usize % in_flight.len();
                        let (to, from, grant) = in_flight[index];
                        if operation == 13 {
                            in_flight.swap_remove(index);
                        }
                        let their_now = s(clocks[to]);
                        let _ = fleet[to].on_message(their_now, from, &grant);
                    }
                }
                _ => {
                    for _ in 0..=step {
                        if fleet[me].charge(now, &to(), Money(0), 0.0).is_ok() {
                            // The window that the account charged.
                            let window = fleet[me].budget_views()[0].1.window;
                            *spent.entry(window).or_default() += 1;
                        }
                    }
                }
            }
        }
        let limit = calls + (calls as f64 * carry).ceil() as u64;
        for (window, n) in spent {
            prop_assert!(n <= limit, "{n} in window {window} of {calls} with carry {carry}");
        }
    }
}
