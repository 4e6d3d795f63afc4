//! Traffic across zones: what it costs, and how much of it there may be.

use std::collections::BTreeMap;
use std::path::PathBuf;

use fawnrouter_engine::zones::{Budget, BudgetPeriod, HealthSettings, Limit, Money, ZoneCost, ZoneSettings};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::Settings;
use crate::document::FieldError;

/// Traffic across zones. Costs and budgets may be the same text for all gateways: each takes what begins in its own zone.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "ZonesPlan")]
pub struct CrossZoneRouting {
    /// This gateway's zone, as in the list of switches.
    #[schemars(length(min = 1, max = 128))]
    pub own: String,
    /// Its number among the gateways of its zone, from 0.
    #[serde(default)]
    pub number: u32,
    /// Gateways of its zone, which divide its budgets.
    #[serde(default = "one_gateway")]
    #[schemars(range(min = 1, max = 100_000))]
    pub gateways: u32,
    /// What a call costs, by pair of zones.
    #[serde(default)]
    #[schemars(length(max = 10_000))]
    pub costs: Vec<ZonePairCost>,
    /// What a call costs between zones that are not named under `costs`.
    #[serde(default = "one")]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub other_cost: f64,
    /// Points of worth that a unit of cost is worth while budget is ample.
    #[serde(default = "points_a_unit")]
    #[schemars(range(min = 0.0, max = 1e6))]
    pub points_a_unit: f64,
    /// Budgets; a call counts in each that covers it. Without any, only its worth holds a call back.
    #[serde(default)]
    #[schemars(length(max = 1000))]
    pub budgets: Vec<CrossZoneBudget>,
    /// Where the account is kept over a restart. Relative paths count from the settings' folder.
    pub account: PathBuf,
}

/// The cost of a call from one zone to another.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "PairCost")]
pub struct ZonePairCost {
    /// Where it comes from.
    pub from: String,
    /// Where it goes.
    pub to: String,
    /// What it costs; 0 makes the zone as good as the own one.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub per_call: Option<f64>,
    /// No call may go there.
    #[serde(default)]
    pub forbidden: bool,
}

/// The window of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Window {
    /// 60 s.
    Minute,
    /// An hour.
    Hour,
    /// A day, from midnight UTC.
    Day,
}

/// What may be spent in a window by all gateways of a zone.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "BudgetPlan")]
pub struct CrossZoneBudget {
    /// Calls of this zone; left out: of each zone by itself.
    #[serde(default)]
    pub from: Option<String>,
    /// Calls to this zone; left out: to all others together.
    #[serde(default)]
    pub to: Option<String>,
    /// The window.
    pub window: Window,
    /// Calls.
    #[serde(default)]
    pub calls: Option<u64>,
    /// Cost.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e12))]
    pub money: Option<f64>,
    /// The share of what a window left unused that goes into the next one.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub carry: f64,
    /// What may be spent beyond it while the zone is down, as a share of it.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 100.0))]
    pub emergency: f64,
}

fn one() -> f64 {
    1.0
}

fn one_gateway() -> u32 {
    1
}

fn points_a_unit() -> f64 {
    0.2
}

impl CrossZoneRouting {
    /// What the schema can't see.
    pub(super) fn faults(&self, faults: &mut Vec<FieldError>) {
        let mut fault = |pointer: String, text: String| faults.push(FieldError::new(pointer, text));
        if self.number >= self.gateways {
            let text =
                format!("is not below gateways ({}); numbers go from 0 to gateways - 1", self.gateways);
            fault("/zones/number".into(), text);
        }
        for (n, cost) in self.costs.iter().enumerate() {
            if cost.forbidden == cost.per_call.is_some() {
                let text = "give per_call, or forbidden: true, and not both".into();
                fault(format!("/zones/costs/{n}"), text);
            }
            if cost.from == cost.to {
                fault(format!("/zones/costs/{n}/to"), "is the zone itself; remove the entry".into());
            }
            let earlier = |c: &&ZonePairCost| c.from == cost.from && c.to == cost.to;
            if self.costs[..n].iter().any(|c| earlier(&c)) {
                fault(format!("/zones/costs/{n}"), "this pair stands twice; remove one".into());
            }
        }
        for (n, budget) in self.budgets.iter().enumerate() {
            if budget.calls.is_none() && budget.money.is_none() {
                fault(format!("/zones/budgets/{n}"), "limits nothing; give calls or money".into());
            }
        }
    }
}

impl Settings {
    /// The settings of traffic across zones, if it is decided on.
    #[must_use]
    pub fn zone_settings(&self) -> Option<ZoneSettings> {
        let plan = self.zones.as_ref()?;
        let cost = |c: &ZonePairCost| match c.per_call {
            Some(units) if !c.forbidden => ZoneCost::Money(Money::from_units(units)),
            _ => ZoneCost::Forbidden,
        };
        let own = plan.costs.iter().filter(|c| c.from == plan.own);
        let costs: BTreeMap<_, _> = own.map(|c| (c.to.as_str().into(), cost(c))).collect();
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
        let ours = plan.budgets.iter().filter(|b| b.from.as_ref().is_none_or(|f| *f == plan.own));
        Some(ZoneSettings {
            own_zone: plan.own.as_str().into(),
            costs,
            default_cost: ZoneCost::Money(Money::from_units(plan.other_cost)),
            budgets: ours.map(budget).collect(),
            gateway_index: plan.number,
            points_per_unit: plan.points_a_unit,
            health: HealthSettings::default(),
            // Apart from each other by the golden ratio.
            phase: (f64::from(self.gateway.number) * 0.618_033_988_749_895).fract(),
        })
    }
}
