//! The account: windows, clocks, restarts, refunds, and sums over a fleet that agrees on nothing.

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

/// Charges until it is refused; how often that went.
fn spend(a: &mut Account, now: Duration, most: u64) -> u64 {
    (0..most).take_while(|_| a.charge(now, &to(), Money(0), 0.0).is_ok()).count() as u64
}

#[test]
fn a_budget_exhausted_one_second_before_the_window_turns_is_whole_again_after_it() {
    let mut a = account(0, vec![budget(10, 1)]);
    assert_eq!(spend(&mut a, s(59), 100), 10);
    assert_eq!(a.remaining_share(s(59), "north", 0.0), 0.0);
    assert_eq!(spend(&mut a, s(60), 100), 10);
    assert_eq!(a.refused()[&to()], 2);
}

#[test]
fn a_clock_set_back_over_a_windows_edge_opens_no_window_again() {
    let mut a = account(0, vec![budget(10, 1)]);
    assert_eq!(spend(&mut a, s(59), 4), 4);
    assert_eq!(spend(&mut a, s(61), 100), 10);
    // Back in the window before: what it had left is not to be had, nor is this one's anew.
    assert_eq!(spend(&mut a, s(58), 100), 0);
    assert_eq!(spend(&mut a, s(62), 100), 0);
    assert_eq!(spend(&mut a, s(120), 100), 10);
}

#[test]
fn what_is_unused_goes_into_the_next_window_up_to_its_share_and_no_further() {
    let half = Budget { carry: 0.5, ..budget(10, 1) };
    let mut a = account(0, vec![half]);
    assert_eq!(spend(&mut a, s(0), 2), 2);
    assert_eq!(spend(&mut a, s(60), 100), 15, "eight were left, five may go over");
    assert_eq!(spend(&mut a, s(120), 100), 10, "nothing was left");
    assert_eq!(spend(&mut a, s(180), 8), 8);
    assert_eq!(spend(&mut a, s(240), 100), 12);
    // Hours without a call are worth one window's carry.
    assert_eq!(spend(&mut a, s(7200), 100), 15);
}

#[test]
fn each_of_several_windows_and_pairs_binds_and_money_counts_beside_calls() {
    let hour = Budget { period: BudgetPeriod::Hour, ..budget(25, 1) };
    let dear = Budget {
        to: Some(to()),
        limit: Limit { calls: None, money: Some(Money::from_units(12.0)) },
        period: BudgetPeriod::Day,
        ..budget(0, 1)
    };
    let elsewhere = Budget { from: Some("south".into()), ..budget(0, 1) };
    let mut a = account(0, vec![budget(10, 1), hour, dear, elsewhere]);
    assert_eq!(spend(&mut a, s(0), 100), 10, "the minute");
    assert_eq!(spend(&mut a, s(60), 100), 10);
    assert_eq!(spend(&mut a, s(120), 100), 5, "the hour");
    let cost = Money::from_units(5.0);
    assert!(a.charge(s(3600), &to(), cost, 0.0).is_ok() && a.charge(s(3600), &to(), cost, 0.0).is_ok());
    assert_eq!(a.charge(s(3600), &to(), cost, 0.0), Err(BudgetExhausted), "two units are left of the day's");
    assert!(a.charge(s(3600), &Arc::from("east"), cost, 0.0).is_ok(), "another pair");
}

#[test]
fn a_refund_gives_back_within_its_window_and_not_beyond() {
    let mut a = account(0, vec![budget(2, 1)]);
    let first = a.charge(s(0), &to(), Money(0), 0.0).expect("room");
    let second = a.charge(s(1), &to(), Money(0), 0.0).expect("room");
    a.refund(s(2), &first);
    assert_eq!(spend(&mut a, s(3), 100), 1);
    assert_eq!(spend(&mut a, s(60), 100), 2);
    a.refund(s(61), &second);
    assert_eq!(spend(&mut a, s(62), 100), 0, "it was the last window's");
}

#[test]
fn an_emergency_opens_more_and_only_as_far_as_it_is_open() {
    let mut a = account(0, vec![Budget { emergency: 3.0, ..budget(10, 1) }]);
    let mut spend_at =
        |level: f64| (0..100).filter(|_| a.charge(s(0), &to(), Money(0), level).is_ok()).count();
    assert_eq!((spend_at(0.0), spend_at(0.5), spend_at(1.0), spend_at(0.0)), (10, 15, 15, 0));
}

#[test]
fn a_restart_in_mid_window_is_no_way_to_spend_twice() {
    let budgets =
        vec![Budget { carry: 0.5, ..budget(10, 1) }, Budget { period: BudgetPeriod::Day, ..budget(100, 1) }];
    let mut a = account(0, budgets.clone());
    assert_eq!(spend(&mut a, s(10), 7), 7);
    let saved = a.save();
    let mut again = account(0, budgets.clone());
    again.restore(s(30), Some(&saved));
    assert_eq!(spend(&mut again, s(30), 100), 3);
    // Saved long ago: windows that turned since are turned.
    let mut later = account(0, budgets.clone());
    later.restore(s(65), Some(&saved));
    assert_eq!(spend(&mut later, s(65), 100), 13, "ten and the three that were left");
    // Without a record, or with one of other budgets, this window's share counts as spent.
    let mut blank = account(0, budgets.clone());
    blank.restore(s(30), None);
    assert_eq!(spend(&mut blank, s(30), 100), 0);
    assert_eq!(spend(&mut blank, s(60), 100), 0, "nor is the day's known");
    let mut other = account(0, vec![budget(11, 1)]);
    other.restore(s(30), Some(&saved));
    assert_eq!((spend(&mut other, s(30), 100), spend(&mut other, s(60), 100)), (0, 11));
}

#[test]
fn the_price_rises_while_too_much_is_wanted_and_falls_when_it_is_not() {
    let mut a = account(0, vec![budget(60, 1)]);
    let mut prices = Vec::new();
    for second in 0..240u64 {
        // Ten a second are wanted, and after two minutes none.
        if second < 120 {
            (0..10).for_each(|_| a.record_demand(s(second), "north"));
        }
        prices.push(a.price(s(second), "north", 0.0));
    }
    assert_eq!(prices[0], 1.0);
    assert!(prices[30] > 50.0 && prices[100] > prices[30] / 2.0, "{prices:?}");
    assert!(prices[239] < 1.5, "{}", prices[239]);
    assert_eq!(a.price(s(240), "north", 0.0).min(1.0), 1.0, "never below the usual");
}

#[test]
fn one_that_lacks_gets_from_one_that_has_and_both_know_it_after_a_restart() {
    let (mut poor, mut rich) = (account(0, vec![budget(100, 2)]), account(1, vec![budget(100, 2)]));
    for second in 0..20u64 {
        (0..6).for_each(|_| poor.record_demand(s(second), "north"));
        let _ = spend(&mut poor, s(second), 6);
    }
    assert_eq!(spend(&mut poor, s(20), 100), 0, "its fifty are gone");
    assert!(rich.budget_requests(s(20)).is_empty());
    let needs = poor.budget_requests(s(20));
    assert!(matches!(needs[..], [GrantMessage::Need { calls: 50.., .. }]), "{needs:?}");
    let grant = rich.on_message(s(20), 0, &needs[0]).expect("it has plenty");
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
    // Before it is heard it is nobody's; heard twice it counts once; in the next window it is nothing.
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

    /// Gateways that share nothing, with clocks that differ, restarts and refunds: in no window does the fleet spend more
    /// than the budget and its carry.
    #[test]
    fn the_sum_over_a_fleet_never_passes_the_budget(
        calls in 1u64..500,
        sharers in prop::sample::select(vec![1u32, 4, 60, 250]),
        carry in prop::sample::select(vec![0.0, 0.5, 1.0]),
        ops in proptest::collection::vec((0u32..250, 0u64..400, 0u8..15), 1..400),
    ) {
        let mut on_the_way: Vec<(usize, u32, GrantMessage)> = Vec::new();
        let budget = Budget { carry, ..budget(calls, sharers) };
        let mut fleet: Vec<Account> = (0..sharers).map(|me| account(me, vec![budget.clone()])).collect();
        let mut clocks = vec![0u64; sharers as usize];
        let mut spent = std::collections::BTreeMap::<u64, u64>::new();
        for (gateway, step, what) in ops {
            let me = (gateway % sharers) as usize;
            let now = s(clocks[me] + step);
            match what {
                // Its clock goes on, or back.
                0 => clocks[me] += step,
                1 => clocks[me] = clocks[me].saturating_sub(step),
                2 => {
                    let saved = fleet[me].save();
                    let mut fresh = account(me as u32, vec![budget.clone()]);
                    // A record that is lost together with the right time cannot be made up for: only one of them goes.
                    let lost = step % 3 == 0 && now >= Duration::from_nanos(saved.at_ns);
                    fresh.restore(now, if lost { None } else { Some(&saved) });
                    fleet[me] = fresh;
                }
                // It asks another, whose answer may come late, twice, out of order or never.
                12 => {
                    (0..20).for_each(|_| fleet[me].record_demand(now, "north"));
                    let other = (me + step as usize) % fleet.len();
                    for need in fleet[me].budget_requests(now) {
                        let theirs = s(clocks[other]);
                        let answer = fleet[other].on_message(theirs, me as u32, &need).filter(|_| other != me);
                        on_the_way.extend(answer.map(|word| (me, other as u32, word)));
                    }
                }
                13 | 14 => {
                    if !on_the_way.is_empty() {
                        let at = step as usize % on_the_way.len();
                        let (to, from, word) = on_the_way[at];
                        if what == 13 {
                            on_the_way.swap_remove(at);
                        }
                        let theirs = s(clocks[to]);
                        let _ = fleet[to].on_message(theirs, from, &word);
                    }
                }
                _ => {
                    for _ in 0..=step {
                        if fleet[me].charge(now, &to(), Money(0), 0.0).is_ok() {
                            // The window that it was charged to, by the account itself.
                            let window = fleet[me].budget_views()[0].1.window;
                            *spent.entry(window).or_default() += 1;
                        }
                    }
                }
            }
        }
        let most = calls + (calls as f64 * carry).ceil() as u64;
        for (window, n) in spent {
            prop_assert!(n <= most, "{n} in window {window} of {calls} with carry {carry}");
        }
    }
}
