//! Traffic across zones: costs and budgets.

use std::collections::BTreeMap;
use std::path::PathBuf;

use fawnrouter_engine::zones::{Budget, BudgetPeriod, HealthSettings, Limit, Money, ZoneCost, ZoneSettings};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::Settings;
use crate::document::FieldError;

/// Fractional part of the golden ratio.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// Traffic across zones. Costs and budgets may be the same for all gateways: each applies those that start in
/// its own zone.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "ZonesPlan")]
pub struct CrossZoneRouting {
    /// This gateway's zone, named as in the list of switches.
    #[schemars(length(min = 1, max = 128))]
    pub own: String,
    /// This gateway's number among the gateways of its zone, counted from 0.
    #[serde(default)]
    pub number: u32,
    /// Number of gateways in the zone, which divide its budgets between them.
    #[serde(default = "default_gateways")]
    #[schemars(range(min = 1, max = 100_000))]
    pub gateways: u32,
    /// Cost per call, by pair of zones.
    #[serde(default)]
    #[schemars(length(max = 10_000))]
    pub costs: Vec<ZonePairCost>,
    /// Cost per call between zones that are not listed under `costs`.
    #[serde(default = "default_other_cost")]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub other_cost: f64,
    /// Points of worth that one unit of cost equals while the budget is ample.
    #[serde(default = "default_points_a_unit")]
    #[schemars(range(min = 0.0, max = 1e6))]
    pub points_a_unit: f64,
    /// Budgets; a call counts against each that covers it. Without budgets, a call is held back only if its
    /// cost exceeds the worth that it would lose by waiting for the own zone.
    #[serde(default)]
    #[schemars(length(max = 1000))]
    pub budgets: Vec<CrossZoneBudget>,
    /// File that keeps the account across restarts. Relative paths are resolved from the folder of the
    /// settings file.
    pub account: PathBuf,
}

/// The cost of a call from one zone to another.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "PairCost")]
pub struct ZonePairCost {
    /// Zone that the call comes from.
    pub from: String,
    /// Zone that the call goes to.
    pub to: String,
    /// Cost per call; 0 makes the zone as good as the gateway's own.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub per_call: Option<f64>,
    /// Forbids calls to that zone.
    #[serde(default)]
    pub forbidden: bool,
}

/// Period of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Window {
    /// 60 seconds.
    Minute,
    /// An hour.
    Hour,
    /// A day, from midnight UTC.
    Day,
}

/// What all gateways of a zone together may spend per window.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "BudgetPlan")]
pub struct CrossZoneBudget {
    /// Zone that the calls come from; if left out, the budget applies to each zone separately.
    #[serde(default)]
    pub from: Option<String>,
    /// Zone that the calls go to; if left out, all other zones together.
    #[serde(default)]
    pub to: Option<String>,
    /// Period after which the budget starts anew.
    pub window: Window,
    /// Most calls per window.
    #[serde(default)]
    pub calls: Option<u64>,
    /// Highest total cost per window.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e12))]
    pub money: Option<f64>,
    /// Fraction of the unused budget of a window that is added to the next window.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub carry: f64,
    /// What may be spent beyond the budget while the gateway's own zone is down, as a fraction of the budget.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 100.0))]
    pub emergency: f64,
}

fn default_other_cost() -> f64 {
    1.0
}

fn default_gateways() -> u32 {
    1
}

fn default_points_a_unit() -> f64 {
    0.2
}

impl CrossZoneRouting {
    /// Adds the errors that the schema cannot express.
    pub(super) fn collect_errors(&self, errors: &mut Vec<FieldError>) {
        let mut add = |pointer: String, message: String| errors.push(FieldError::new(pointer, message));
        if self.number >= self.gateways {
            let message =
                format!("is not below gateways ({}); numbers go from 0 to gateways - 1", self.gateways);
            add("/zones/number".into(), message);
        }
        for (n, cost) in self.costs.iter().enumerate() {
            if cost.forbidden == cost.per_call.is_some() {
                let message = "give per_call or forbidden: true, not both".into();
                add(format!("/zones/costs/{n}"), message);
            }
            if cost.from == cost.to {
                add(format!("/zones/costs/{n}/to"), "is the zone itself; remove the entry".into());
            }
            let same_pair = |c: &&ZonePairCost| c.from == cost.from && c.to == cost.to;
            if self.costs[..n].iter().any(|c| same_pair(&c)) {
                add(format!("/zones/costs/{n}"), "this pair appears twice; remove one".into());
            }
        }
        for (n, budget) in self.budgets.iter().enumerate() {
            if budget.calls.is_none() && budget.money.is_none() {
                add(format!("/zones/budgets/{n}"), "limits nothing; give calls or money".into());
            }
        }
    }
}

impl Settings {
    /// Settings of the routing across zones, if the section `zones` is present.
    #[must_use]
    pub fn zone_settings(&self) -> Option<ZoneSettings> {
        let plan = self.zones.as_ref()?;
        let cost = |c: &ZonePairCost| match c.per_call {
            Some(units) if !c.forbidden => ZoneCost::Money(Money::from_units(units)),
            _ => ZoneCost::Forbidden,
        };
        let own_costs = plan.costs.iter().filter(|c| c.from == plan.own);
        let costs: BTreeMap<_, _> = own_costs.map(|c| (c.to.as_str().into(), cost(c))).collect();
        let budget = |b: &CrossZoneBudget| Budget {
            from: Some(plan.own.as_str().into()),
            to: b.to.as_deref().map(Into::into),
            period: match b.window {
                Window::Minute => BudgetPeriod::Minute,
                Window::Hour => BudgetPeriod::Hour,
                Window::Day => BudgetPeriod::Day,
            },
            limit: Limit { calls: b.calls, money: b.money.map(Money::from_units) },
            carry: b.carry,
            emergency: b.emergency,
            sharers: plan.gateways,
        };
        let own_budgets = plan.budgets.iter().filter(|b| b.from.as_ref().is_none_or(|f| *f == plan.own));
        Some(ZoneSettings {
            own_zone: plan.own.as_str().into(),
            costs,
            default_cost: ZoneCost::Money(Money::from_units(plan.other_cost)),
            budgets: own_budgets.map(budget).collect(),
            gateway_index: plan.number,
            points_per_unit: plan.points_a_unit,
            health: HealthSettings::default(),
            // Multiples of the golden ratio keep the phases of any number of gateways apart.
            phase: (f64::from(self.gateway.number) * GOLDEN_RATIO_FRACTION).fract(),
        })
    }
}
