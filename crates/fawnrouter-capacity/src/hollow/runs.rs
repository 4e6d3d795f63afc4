//! The simulations that make up the report, and how their outcomes become series.

mod calls;
mod configuration;
mod gateways;
mod parallel;
mod restarts;
mod situations;
mod switches;

use std::collections::BTreeMap;

use super::outcome::Outcome;
use super::scenario::Scenario;
use super::{HollowError, HollowOptions, simulate_counting_allocations};
use crate::figures::{Cause, Method, Per, Point, Quantity, Role, Run, Series, Situation, Size};

/// Least number of points of a series.
const MIN_SERIES_POINTS: usize = 4;

/// Quantities counted per second, per call and per event.
const RATE_QUANTITIES: [Quantity; 7] = [
    Quantity::MessagesIn,
    Quantity::MessagesOut,
    Quantity::BytesIn,
    Quantity::BytesOut,
    Quantity::Connections,
    Quantity::ProcessorMicroseconds,
    Quantity::Allocations,
];

/// Those of [`RATE_QUANTITIES`] that are exact for a given seed.
const EXACT_QUANTITIES: [Quantity; 5] = [
    Quantity::MessagesIn,
    Quantity::MessagesOut,
    Quantity::BytesIn,
    Quantity::BytesOut,
    Quantity::Connections,
];

/// Quantities held at one time.
const HELD_QUANTITIES: [Quantity; 3] = [Quantity::Connections, Quantity::StateEntries, Quantity::MemoryBytes];

/// Costs of the work itself, without what goes over the network.
const WORK_QUANTITIES: [Quantity; 2] = [Quantity::ProcessorMicroseconds, Quantity::Allocations];

/// Makes some runs. [`RUNS`] lists each with the roles whose costs it measures.
type MakeRun = fn(&mut Session<'_>) -> Result<Vec<Run>, HollowError>;
const RUNS: [(&[Role], MakeRun); 5] = [
    (&[Role::GatewayCalls, Role::GatewayControl, Role::ListSource], switches::runs),
    (&[Role::GatewayCalls, Role::GatewayControl], calls::runs),
    (&[Role::CoreSwitch, Role::ListSource, Role::ZoneLink, Role::RegionLink], gateways::runs),
    (&[Role::GatewayCalls, Role::GatewayControl, Role::CoreSwitch], restarts::runs),
    (
        &[
            Role::GatewayCalls,
            Role::GatewayControl,
            Role::CoreSwitch,
            Role::ListSource,
            Role::ZoneLink,
            Role::RegionLink,
        ],
        situations::runs,
    ),
];

pub(crate) fn all_runs(options: HollowOptions<'_>) -> Result<Vec<Run>, HollowError> {
    let only = options.only_role;
    let mut session = Session { options };
    let mut runs = Vec::new();
    for (roles, make) in RUNS {
        if only.is_none_or(|role| roles.contains(&role)) {
            runs.extend(make(&mut session)?);
        }
    }
    for run in &mut runs {
        run.series.retain(|series| only.is_none_or(|role| series.role == role));
    }
    runs.retain(|run| !run.series.is_empty());
    Ok(runs)
}

/// What all runs share.
struct Session<'a> {
    options: HollowOptions<'a>,
}

impl Session<'_> {
    /// The sizes of a full measurement, or those of a quick one.
    fn full_or_quick<T: Clone>(&self, full: &[T], quick: &[T]) -> Vec<T> {
        if self.options.quick { quick.to_vec() } else { full.to_vec() }
    }

    fn simulate(
        &mut self,
        name: &str,
        size: impl std::fmt::Display,
        scenario: &Scenario,
    ) -> Result<Outcome, HollowError> {
        (self.options.progress)(&format!("{name} at {size}"));
        simulate_counting_allocations(scenario, self.options.allocator)
    }

    fn run(&self, id: &str, setting: String, series: SeriesCollector) -> Run {
        Run {
            id: id.to_owned(),
            method: Method::Hollow,
            seed: self.options.seed,
            setting,
            series: series.into_series(),
            hop_delays: Vec::new(),
        }
    }
}

/// Distinguishes the series of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SeriesKey {
    role: Role,
    situation: Situation,
    cause: Cause,
    quantity: Quantity,
    per: Per,
}

/// Collects the points of a run's series.
struct SeriesCollector {
    size: Size,
    points: BTreeMap<SeriesKey, Vec<Point>>,
}

/// Role and situation of a series, and the size of its next point.
#[derive(Clone, Copy)]
struct SeriesPosition {
    role: Role,
    situation: Situation,
    size: f64,
}

impl SeriesCollector {
    fn new(size: Size) -> Self {
        Self { size, points: BTreeMap::new() }
    }

    fn add(
        &mut self,
        position: SeriesPosition,
        cause: Cause,
        quantity: Quantity,
        per: Per,
        value: Option<f64>,
    ) {
        let SeriesPosition { role, situation, size } = position;
        let key = SeriesKey { role, situation, cause, quantity, per };
        if let Some(value) = value {
            self.points.entry(key).or_default().push(Point { size, value });
        }
    }

    /// Adds the cost of a member per second.
    fn add_per_second(&mut self, position: SeriesPosition, outcome: &Outcome, causes: &[Cause]) {
        for cause in causes {
            for quantity in RATE_QUANTITIES {
                let value = outcome.mean_per_second(position.role, *cause, quantity);
                self.add(position, *cause, quantity, Per::Second, value);
            }
        }
    }

    /// Adds the cost of a call to all members together.
    fn add_per_call(&mut self, position: SeriesPosition, outcome: &Outcome, causes: &[Cause]) {
        for cause in causes {
            for quantity in RATE_QUANTITIES {
                let value = outcome.mean_per_call(position.role, *cause, quantity);
                self.add(position, *cause, quantity, Per::Call, value);
            }
        }
    }

    /// Adds what a member holds.
    fn add_held(&mut self, position: SeriesPosition, outcome: &Outcome) {
        let role = outcome.role(position.role);
        for quantity in HELD_QUANTITIES {
            self.add(position, Cause::All, quantity, Per::Held, role.held(quantity));
        }
    }

    /// The series with enough points and at least one value other than 0.
    fn into_series(self) -> Vec<Series> {
        let size = self.size;
        let is_meaningful =
            |points: &Vec<Point>| points.len() >= MIN_SERIES_POINTS && points.iter().any(|p| p.value != 0.0);
        let series = self.points.into_iter().filter(|(_, points)| is_meaningful(points));
        let series = series.map(|(key, points)| {
            let SeriesKey { role, situation, cause, quantity, per } = key;
            Series { role, situation, cause, quantity, per, size, points }
        });
        series.collect()
    }
}
