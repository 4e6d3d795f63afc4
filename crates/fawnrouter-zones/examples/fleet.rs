//! Prints spill against budget in simulated fleets of 4, 60 and 250 controllers:
//! `cargo run --release --example fleet`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::*;
use good_lp::{Expression, Solution, SolverModel, constraint, variable, variables};

/// Length of a slot of the optimisation, in seconds: the aim, within which a call may be established at any
/// time.
const SLOT_S: u64 = 2;

/// The best service possible with hindsight, by linear programming: the calls that were offered, in slots of
/// two seconds, are set up in fractions where there is capacity, within the same budgets (with the emergency
/// allowance while the whole zone is down). No gateway can reach this bound, as it assumes that all arrivals
/// are known in advance and no capacity is wasted.
fn best_service_with_hindsight(plan: &Plan, result: &RunResult) -> Option<f64> {
    let slots = plan.seconds / SLOT_S;
    let capacity = |zone: usize, slot: u64| {
        let in_outage = |second: u64| (plan.outage.0..plan.outage.1).contains(&second);
        let per_second = |second: u64| {
            let failing = if zone == 0 { f64::from(plan.failed_switches) } else { 0.0 };
            let healthy = f64::from(plan.switches) - failing;
            let warm_share = match second {
                s if failing == 0.0 || s < plan.outage.0 => 1.0,
                s if in_outage(s) => 0.0,
                s => {
                    let gained = (1.0 - COLD_START_SHARE) * (s - plan.outage.1) as f64 / WARM_UP_S;
                    (COLD_START_SHARE + gained).min(1.0)
                }
            };
            plan.capacity * (healthy + failing * warm_share)
        };
        (slot * SLOT_S..(slot + 1) * SLOT_S).map(per_second).sum::<f64>()
    };
    let mut vars = variables!();
    let (mut worth, mut offered_worth) = (Expression::from(0.0), 0.0);
    let mut spills = std::collections::BTreeMap::new();
    let mut limits = Vec::new();
    for slot in 0..slots {
        let mut used = vec![Expression::from(0.0); ZONES.len()];
        for from in 0..ZONES.len() {
            for class in 0..2 {
                let seconds = slot * SLOT_S..(slot + 1) * SLOT_S;
                let offered: u64 = seconds.filter_map(|s| result.offered.get(&(s, from, class))).sum();
                let points = [1.0, 3.0][class];
                offered_worth += points * offered as f64;
                let mut sum = Expression::from(0.0);
                for (to, used) in used.iter_mut().enumerate() {
                    let x = vars.add(variable().min(0.0));
                    sum += x;
                    *used += x;
                    worth += points * x;
                    if to != from {
                        *spills.entry((slot * SLOT_S / 60, from)).or_insert(Expression::from(0.0)) += x;
                    }
                }
                limits.push(constraint!(sum <= offered as f64));
            }
        }
        for (zone, used) in used.into_iter().enumerate() {
            limits.push(constraint!(used <= capacity(zone, slot)));
        }
    }
    for ((minute, from), spill) in spills {
        let down = from == 0 && plan.failed_switches == plan.switches;
        let down = down && plan.outage.0 < (minute + 1) * 60 && plan.outage.1 > minute * 60;
        let factor = if down { 1.0 + plan.emergency } else { 1.0 };
        limits.push(constraint!(spill <= plan.budget as f64 * factor));
    }
    let mut model = vars.maximise(worth.clone()).using(good_lp::microlp);
    for limit in limits {
        model = model.with(limit);
    }
    model.solve().ok().map(|solution| solution.eval(worth) / offered_worth)
}

fn main() {
    println!(
        "uneven gateways (the busiest with ten times the calls of the least busy), two of five switches restart:"
    );
    for gateways in [60u32, 250] {
        for budget in [60u64, 300, 600] {
            for policy in [Policy::Budgeted, Policy::Granting] {
                let plan = Plan {
                    failed_switches: 2,
                    calls: 360.0,
                    skew: 9.0,
                    budget,
                    ..Plan::new(gateways, policy)
                };
                let result = run(&plan);
                let (service, spilled) = (result.service(), result.spilled());
                let most = result.max_spill_per_minute();
                println!(
                    "{gateways:>8}  budget {budget:>4} {policy:?}: service {service:.3}, {spilled} spilled, \
                     {most} in a minute at the most"
                );
            }
        }
    }
    println!(
        "gateways  day                policy       service  check  transfer  spilled  most/min  budget  last spill s"
    );
    for gateways in [4u32, 60, 250] {
        for (day, failed_switches, outage, calls, seconds) in [
            ("calm", 0, (0, 0), 270.0, 60),
            ("two of five restart", 2, (20, 40), 360.0, 90),
            ("zone down", 5, (20, 50), 240.0, 120),
        ] {
            for policy in
                [Policy::ZoneBlind, Policy::Preference, Policy::Unbudgeted, Policy::HardCap, Policy::Budgeted]
            {
                let plan = Plan { failed_switches, outage, calls, seconds, ..Plan::new(gateways, policy) };
                let result = run(&plan);
                let hindsight = match policy {
                    Policy::Budgeted => best_service_with_hindsight(&plan, &result)
                        .map_or("none".into(), |service| format!("{service:.3}")),
                    _ => String::new(),
                };
                println!(
                    "{gateways:>8}  {day:<18} {:<12} {:>7.3} {:>6.3} {:>9.3} {:>8} {:>9} {:>7} {:>13} {hindsight:>10}",
                    format!("{policy:?}"),
                    result.service(),
                    result.class_service(0),
                    result.class_service(1),
                    result.spilled(),
                    result.max_spill_per_minute(),
                    plan.budget,
                    result.last_spill().map_or("-".into(), |s| s.to_string()),
                );
            }
        }
    }
}
