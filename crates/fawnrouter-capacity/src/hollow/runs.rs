//! The plays that make up the report, and how their outcomes become series.

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

/// The fewest points that a slope is taken over.
const FEWEST_POINTS: usize = 4;

/// What flows in a second, by call and by event.
const FLOWING: [Quantity; 7] = [
    Quantity::MessagesIn,
    Quantity::MessagesOut,
    Quantity::BytesIn,
    Quantity::BytesOut,
    Quantity::Connections,
    Quantity::ProcessorMicroseconds,
    Quantity::Allocations,
];

/// What is counted of it, which is exact.
const COUNTED: [Quantity; 5] = [
    Quantity::MessagesIn,
    Quantity::MessagesOut,
    Quantity::BytesIn,
    Quantity::BytesOut,
    Quantity::Connections,
];

/// What is held.
const HELD: [Quantity; 3] = [Quantity::Connections, Quantity::StateEntries, Quantity::MemoryBytes];

/// What costs the process that does it, and what goes over the network.
const WORK: [Quantity; 2] = [Quantity::ProcessorMicroseconds, Quantity::Allocations];

/// Runs with the roles that they tell of.
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

pub(crate) fn all(options: HollowOptions<'_>) -> Result<Vec<Run>, HollowError> {
    let only = options.only_role;
    let mut session = Session { options };
    let mut made = Vec::new();
    for (roles, make) in RUNS {
        if only.is_none_or(|role| roles.contains(&role)) {
            made.extend(make(&mut session)?);
        }
    }
    for run in &mut made {
        run.series.retain(|series| only.is_none_or(|role| series.role == role));
    }
    made.retain(|run| !run.series.is_empty());
    Ok(made)
}

/// What the runs share.
struct Session<'a> {
    options: HollowOptions<'a>,
}

impl Session<'_> {
    /// The sizes of a measurement, or those of a quick one.
    fn choose<T: Clone>(&self, full: &[T], quick: &[T]) -> Vec<T> {
        if self.options.quick { quick.to_vec() } else { full.to_vec() }
    }

    fn play(
        &mut self,
        name: &str,
        size: impl std::fmt::Display,
        scenario: &Scenario,
    ) -> Result<Outcome, HollowError> {
        (self.options.progress)(&format!("{name} at {size}"));
        simulate_counting_allocations(scenario, self.options.allocator)
    }

    fn run(&self, id: &str, setting: String, series: Collector) -> Run {
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

/// What tells one series of a run from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    role: Role,
    situation: Situation,
    cause: Cause,
    quantity: Quantity,
    per: Per,
}

/// The series of a run under construction.
struct Collector {
    size: Size,
    points: BTreeMap<Key, Vec<Point>>,
}

/// Where an outcome belongs.
#[derive(Clone, Copy)]
struct Spot {
    role: Role,
    situation: Situation,
    size: f64,
}

impl Collector {
    fn new(size: Size) -> Self {
        Self { size, points: BTreeMap::new() }
    }

    fn put(&mut self, spot: Spot, cause: Cause, quantity: Quantity, per: Per, value: Option<f64>) {
        let Spot { role, situation, size } = spot;
        let key = Key { role, situation, cause, quantity, per };
        if let Some(value) = value {
            self.points.entry(key).or_default().push(Point { size, value });
        }
    }

    /// What a member bears in a second.
    fn seconds(&mut self, spot: Spot, outcome: &Outcome, causes: &[Cause]) {
        for cause in causes {
            for quantity in FLOWING {
                let value = outcome.mean_per_second(spot.role, *cause, quantity);
                self.put(spot, *cause, quantity, Per::Second, value);
            }
        }
    }

    /// What a call brings to all members together.
    fn calls(&mut self, spot: Spot, outcome: &Outcome, causes: &[Cause]) {
        for cause in causes {
            for quantity in FLOWING {
                let value = outcome.mean_per_call(spot.role, *cause, quantity);
                self.put(spot, *cause, quantity, Per::Call, value);
            }
        }
    }

    /// What a member holds.
    fn held(&mut self, spot: Spot, outcome: &Outcome) {
        let role = outcome.role(spot.role);
        for quantity in HELD {
            self.put(spot, Cause::All, quantity, Per::Held, role.held(quantity));
        }
    }

    /// The series that say something: with enough points, not all of them 0.
    fn into_series(self) -> Vec<Series> {
        let size = self.size;
        let says_something =
            |points: &Vec<Point>| points.len() >= FEWEST_POINTS && points.iter().any(|p| p.value != 0.0);
        let series = self.points.into_iter().filter(|(_, points)| says_something(points));
        let series = series.map(|(key, points)| {
            let Key { role, situation, cause, quantity, per } = key;
            Series { role, situation, cause, quantity, per, size, points }
        });
        series.collect()
    }
}
