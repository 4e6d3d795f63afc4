//! Spill against budget in fleets of 4, 60 and 250 controllers, in virtual time: `cargo run --release --example fleet`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::*;
use good_lp::{Expression, Solution, SolverModel, constraint, variable, variables};

/// Seconds of a slot of the plan: the aim, within which a call may stand at any time.
const SLOT: u64 = 2;

/// The service that could be had with hindsight: calls as they came, in slots of two seconds, set up by fractions where
/// there is capacity, within the same budgets (with the emergency allowance where the whole zone is away). A bound that
/// no gateway can reach, as it knows what comes and wastes nothing.
fn best(plan: &Plan, offered: &Outcomes) -> Option<f64> {
    let slots = plan.seconds / SLOT;
    let capacity = |zone: usize, slot: u64| {
        let away = |second: u64| (plan.away.0..plan.away.1).contains(&second);
        let per_second = |second: u64| {
            let struck = if zone == 0 { f64::from(plan.struck) } else { 0.0 };
            let well = f64::from(plan.switches) - struck;
            let warm = match second {
                s if struck == 0.0 || s < plan.away.0 => 1.0,
                s if away(s) => 0.0,
                s => (COLD.0 + (1.0 - COLD.0) * (s - plan.away.1) as f64 / COLD.1).min(1.0),
            };
            plan.capacity * (well + struck * warm)
        };
        (slot * SLOT..(slot + 1) * SLOT).map(per_second).sum::<f64>()
    };
    let mut vars = variables!();
    let (mut worth, mut all, mut spills) = (Expression::from(0.0), 0.0, std::collections::BTreeMap::new());
    let mut limits = Vec::new();
    for slot in 0..slots {
        let mut used = vec![Expression::from(0.0); ZONES.len()];
        for from in 0..ZONES.len() {
            for class in 0..2 {
                let seconds = slot * SLOT..(slot + 1) * SLOT;
                let came: u64 = seconds.filter_map(|s| offered.offered.get(&(s, from, class))).sum();
                let points = [1.0, 3.0][class];
                all += points * came as f64;
                let mut sum = Expression::from(0.0);
                for (to, used) in used.iter_mut().enumerate() {
                    let x = vars.add(variable().min(0.0));
                    sum += x;
                    *used += x;
                    worth += points * x;
                    if to != from {
                        *spills.entry((slot * SLOT / 60, from)).or_insert(Expression::from(0.0)) += x;
                    }
                }
                limits.push(constraint!(sum <= came as f64));
            }
        }
        for (zone, used) in used.into_iter().enumerate() {
            limits.push(constraint!(used <= capacity(zone, slot)));
        }
    }
    for ((minute, from), spill) in spills {
        let down = from == 0 && plan.struck == plan.switches;
        let down = down && plan.away.0 < (minute + 1) * 60 && plan.away.1 > minute * 60;
        let more = if down { 1.0 + plan.emergency } else { 1.0 };
        limits.push(constraint!(spill <= plan.budget as f64 * more));
    }
    let mut model = vars.maximise(worth.clone()).using(good_lp::microlp);
    for limit in limits {
        model = model.with(limit);
    }
    model.solve().ok().map(|solution| solution.eval(worth) / all)
}

fn main() {
    println!(
        "uneven gateways (the busiest with ten times the calls of the least busy), two of five switches restart:"
    );
    for gateways in [60u32, 250] {
        for budget in [60u64, 300, 600] {
            for policy in [Policy::Budgeted, Policy::Talking] {
                let plan = Plan { struck: 2, calls: 360.0, skew: 9.0, budget, ..Plan::new(gateways, policy) };
                let got = run(&plan);
                let (service, spilled, most) = (got.service(), got.spilled(), got.most_a_minute());
                println!(
                    "{gateways:>8}  budget {budget:>4} {policy:?}: service {service:.3}, {spilled} spilled, {most} in a \
                     minute at the most"
                );
            }
        }
    }
    println!(
        "gateways  day                policy       service  check  transfer  spilled  most/min  budget  last spill s"
    );
    for gateways in [4u32, 60, 250] {
        for (day, struck, away, calls, seconds) in [
            ("calm", 0, (0, 0), 270.0, 60),
            ("two of five restart", 2, (20, 40), 360.0, 90),
            ("zone down", 5, (20, 50), 240.0, 120),
        ] {
            for policy in
                [Policy::Unvoiced, Policy::Preference, Policy::Unbudgeted, Policy::HardCap, Policy::Budgeted]
            {
                let plan = Plan { struck, away, calls, seconds, ..Plan::new(gateways, policy) };
                let got = run(&plan);
                let hindsight = match policy {
                    Policy::Budgeted => best(&plan, &got).map_or("none".into(), |s| format!("{s:.3}")),
                    _ => String::new(),
                };
                println!(
                    "{gateways:>8}  {day:<18} {:<12} {:>7.3} {:>6.3} {:>9.3} {:>8} {:>9} {:>7} {:>13} {hindsight:>10}",
                    format!("{policy:?}"),
                    got.service(),
                    got.class(0),
                    got.class(1),
                    got.spilled(),
                    got.most_a_minute(),
                    plan.budget,
                    got.last_spill().map_or("-".into(), |s| s.to_string()),
                );
            }
        }
    }
}
