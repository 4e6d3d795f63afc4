//! A testbed of gateway processes on loopback: measures the program itself and, for comparison, hollow
//! gateways under the same load.
//!
//! Each gateway is a `fawnrouter node` process with a loopback address of its own. Stand-ins for core
//! switches, the name server and callers run in threads of the measuring process. They follow the same plan
//! as the simulation of hollow gateways, in real time, and count each line and datagram. Processor time,
//! memory and file descriptors are read from `/proc`. Dropping a handle ends its process, so no process
//! outlives a measurement, however that ends.
//!
//! | module | what it does |
//! | --- | --- |
//! | `error` | errors of a measurement |
//! | [`usage`] | processor time, memory and descriptors of a process, from `/proc` |
//! | [`line_counts`] | lines on a socket and counts of them |
//! | `watched` | a shared value whose changes can be waited for |
//! | `event_loop` | the thread that serves the connections of a stand-in |
//! | `switches`, `name_server`, `callers` | the stand-ins around the gateways |
//! | `gateway` | one gateway process |
//! | `fleet` | a fleet of gateways with its stand-ins, from start-up to the end of a plan |
//! | `timestamps`, `hop` | the delay that one gateway adds to a call |
//! | `series` | series of gateway processes and of hollow gateways, by the same definitions |

mod callers;
mod error;
mod event_loop;
mod fleet;
mod gateway;
mod hop;
pub mod line_counts;
mod name_server;
mod series;
mod switches;
mod timestamps;
pub mod usage;
mod watched;

use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

pub use self::callers::CallOutcomes;
pub use self::error::ProcessError;
pub use self::fleet::{FleetMeasurement, Observation, Testbed, check_program, run_scenario};
pub use self::hop::{HopMeasurement, hop_plan, measure_baseline, measure_hop};
use self::series::{FigureKind, Figures, figures_of_hollow, figures_of_processes, series_by_size};
use crate::figures::{Method, Role, Run, Situation, Size};
use crate::hollow::{CountingAllocator, Scenario, simulate_counting_allocations};
use crate::plan::TrafficPlan;

/// Core switches on the list of every gateway.
const SWITCHES: u32 = 25;
/// Fleet sizes, in gateways.
const FLEET_SIZES: [u32; 4] = [8, 15, 30, 60];
const FLEET_SIZES_QUICK: [u32; 1] = [8];
/// Calls a second at each gateway, for all fleet sizes.
const CALLS_PER_SECOND: f64 = 40.0;
/// The fleet size that is measured at several call rates.
const GATEWAYS_FOR_RATES: u32 = 30;
/// Further call rates at that size, in calls a second at each gateway, and for how many seconds calls arrive.
/// The series over rates also has the fleet of this size at [`CALLS_PER_SECOND`].
const OTHER_RATES: [(f64, u64); 3] = [(20.0, 5), (80.0, 5), (152.0, 10)];
/// For how many seconds calls arrive.
const CALL_SECONDS: u64 = 10;
const CALL_SECONDS_QUICK: u64 = 4;
/// How long a call stays established. This is less than the 2 s of silence after which a gateway tests a core
/// switch that holds calls: with 2 s, release and test would race, and microseconds would decide the number
/// of tests.
const HOLD_TIME: Duration = Duration::from_millis(1500);
/// Time after the last set-up in which the last calls end.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Measured time without calls, after all calls have ended.
const QUIET_TIME: Duration = Duration::from_secs(2);
const QUIET_TIME_QUICK: Duration = Duration::from_secs(1);
/// Call rates at which the delay of a hop is measured, in calls a second at the gateway, and for how many
/// seconds calls arrive: the design rate if every call passes one gateway, and if every call passes as many
/// as it can.
const HOP_RATES: [(f64, u64); 2] = [(152.0, 12), (4240.0, 8)];
const HOP_SECONDS_QUICK: u64 = 2;

/// What to measure, and how.
pub struct ProcessOptions<'a> {
    /// The gateway's program.
    pub program: &'a Path,
    /// Seed of all random choices.
    pub seed: u64,
    /// Measure one size only, and for a shorter time.
    pub quick: bool,
    /// Report only the costs of this role.
    pub only: Option<Role>,
    /// The counting allocator, if the program has installed it; without it there are no memory figures of
    /// hollow gateways.
    pub allocator: Option<CountingAllocator>,
    /// Set by another thread or a signal handler to abort the measurement.
    pub stop: &'a AtomicBool,
    /// Called with the name of each part before it begins.
    pub progress: &'a mut dyn FnMut(&str),
}

/// Measures gateway processes, and hollow gateways under the same load.
///
/// # Errors
/// Where the program does not exist or a step fails. All gateway processes have ended then.
pub fn measure(options: ProcessOptions<'_>) -> Result<Vec<Run>, ProcessError> {
    check_program(options.program)?;
    let mut session = Session { options };
    let mut by_size = Vec::new();
    for gateways in session.full_or_quick(&FLEET_SIZES, &FLEET_SIZES_QUICK) {
        let seconds = session.full_or_quick(&[CALL_SECONDS], &[CALL_SECONDS_QUICK])[0];
        by_size.push(session.compare_fleets(gateways, CALLS_PER_SECOND, seconds)?);
    }
    let mut by_rate: Vec<FleetComparison> =
        by_size.iter().filter(|fleet| fleet.gateways == GATEWAYS_FOR_RATES).cloned().collect();
    for (rate, seconds) in session.full_or_quick(&OTHER_RATES, &[]) {
        by_rate.push(session.compare_fleets(GATEWAYS_FOR_RATES, rate, seconds)?);
    }
    by_rate.sort_by(|one, other| one.rate.total_cmp(&other.rate));
    let mut runs = session.fleet_runs(&by_size, &by_rate);
    if session.options.only.is_none_or(|role| role == Role::GatewayCalls) {
        runs.extend(session.hop_runs()?);
    }
    Ok(runs)
}

/// The same load on a fleet of gateway processes and on one of hollow gateways.
#[derive(Clone)]
struct FleetComparison {
    gateways: u32,
    /// Calls a second at each gateway.
    rate: f64,
    /// For how many seconds calls arrive.
    seconds: u64,
    measurement: FleetMeasurement,
    processes: Figures,
    hollow: Figures,
}

/// A measurement in progress.
struct Session<'a> {
    options: ProcessOptions<'a>,
}

impl Session<'_> {
    /// The parameters of a full measurement or of a quick one.
    fn full_or_quick<T: Clone>(&self, full: &[T], quick: &[T]) -> Vec<T> {
        if self.options.quick { quick.to_vec() } else { full.to_vec() }
    }

    fn testbed(&self) -> Testbed<'_> {
        Testbed { program: self.options.program, seed: self.options.seed, stop: self.options.stop }
    }

    fn quiet_time(&self) -> Duration {
        if self.options.quick { QUIET_TIME_QUICK } else { QUIET_TIME }
    }

    /// Runs gateway processes and then hollow gateways under the same load.
    fn compare_fleets(
        &mut self,
        gateways: u32,
        rate: f64,
        seconds: u64,
    ) -> Result<FleetComparison, ProcessError> {
        let scenario = fleet_scenario(self.options.seed, gateways, rate, seconds);
        (self.options.progress)(&format!("processes, {gateways} at {rate} calls/s"));
        let measurement = run_scenario(&scenario, self.quiet_time(), self.testbed())?;
        (self.options.progress)(&format!("hollow-beside-processes, {gateways} at {rate} calls/s"));
        let with_calls = simulate_counting_allocations(&scenario, self.options.allocator)?;
        let quiet_scenario = without_calls(&scenario, self.quiet_time());
        let quiet = simulate_counting_allocations(&quiet_scenario, self.options.allocator)?;
        let processes = figures_of_processes(&scenario, &measurement);
        let hollow = figures_of_hollow(&quiet, &with_calls);
        Ok(FleetComparison { gateways, rate, seconds, measurement, processes, hollow })
    }

    /// A run without series yet.
    fn empty_run(&self, id: &str, method: Method, setting: String) -> Run {
        let seed = self.options.seed;
        Run { id: id.to_owned(), method, seed, setting, series: Vec::new(), hop_delays: Vec::new() }
    }

    fn is_selected(&self, kind: &FigureKind) -> bool {
        self.options.only.is_none_or(|role| role == kind.role)
    }

    /// The runs over fleet sizes and over call rates, of processes and of hollow gateways.
    fn fleet_runs(&self, by_size: &[FleetComparison], by_rate: &[FleetComparison]) -> Vec<Run> {
        let size_series = |figures: fn(&FleetComparison) -> &Figures| {
            let points: Vec<_> =
                by_size.iter().map(|fleet| (f64::from(fleet.gateways), figures(fleet).clone())).collect();
            series_by_size(Size::Gateways, &points, |kind| self.is_selected(kind))
        };
        let rate_series = |figures: fn(&FleetComparison) -> &Figures| {
            let points: Vec<_> = by_rate.iter().map(|fleet| (fleet.rate, figures(fleet).clone())).collect();
            let depends_on_rate =
                |kind: &FigureKind| kind.role == Role::GatewayCalls && kind.situation != Situation::Quiet;
            series_by_size(Size::CallsPerSecond, &points, |kind| {
                depends_on_rate(kind) && self.is_selected(kind)
            })
        };
        let mut gateways = self.empty_run(
            "processes-gateways",
            Method::Processes,
            fleets_setting(by_size, self.quiet_time()),
        );
        gateways.series = size_series(|fleet| &fleet.processes);
        let mut rate =
            self.empty_run("processes-rate", Method::Processes, fleets_setting(by_rate, self.quiet_time()));
        rate.series = rate_series(|fleet| &fleet.processes);
        let mut hollow = self.empty_run("hollow-beside-processes", Method::Hollow, hollow_setting());
        hollow.series = size_series(|fleet| &fleet.hollow);
        hollow.series.extend(rate_series(|fleet| &fleet.hollow));
        [gateways, rate, hollow].into_iter().filter(|run| !run.series.is_empty()).collect()
    }

    /// The delay of a hop at each rate, with and without a gateway.
    fn hop_runs(&mut self) -> Result<Vec<Run>, ProcessError> {
        let mut runs = Vec::new();
        for (rate, seconds) in HOP_RATES {
            let seconds = if self.options.quick { HOP_SECONDS_QUICK } else { seconds };
            let plan = hop_plan(self.options.seed, rate, seconds);
            (self.options.progress)(&format!("the stand-ins alone at {rate} calls/s"));
            let baseline = measure_baseline(&plan, self.testbed())?;
            (self.options.progress)(&format!("a hop at {rate} calls/s"));
            let hop = measure_hop(plan.clone(), SWITCHES, self.testbed())?;
            runs.push(self.hop_run(&baseline_id(rate), &plan, baseline));
            runs.push(self.hop_run(&format!("processes-hop-{rate}"), &plan, hop));
        }
        Ok(runs)
    }

    fn hop_run(&self, id: &str, plan: &TrafficPlan, measurement: HopMeasurement) -> Run {
        let mut run = self.empty_run(id, Method::Processes, hop_setting(plan, &measurement));
        run.hop_delays = measurement.delays;
        run
    }
}

/// The id of the run without a gateway. At the highest rate the id has no rate in it: the capacity page cites
/// that one.
fn baseline_id(rate: f64) -> String {
    let is_highest = HOP_RATES.iter().all(|(other, _)| *other <= rate);
    if is_highest { "processes-hop-baseline".to_owned() } else { format!("processes-hop-baseline-{rate}") }
}

/// Calls arrive from the start on, without warm-up, and the measured time ends after the last call has ended.
fn fleet_scenario(seed: u64, gateways: u32, rate: f64, seconds: u64) -> Scenario {
    let scenario = Scenario::one_service(seed, gateways, SWITCHES);
    let traffic = TrafficPlan { calls_per_second: rate, seconds, hold: HOLD_TIME, ..scenario.traffic };
    Scenario {
        traffic,
        warm_up: Duration::ZERO,
        measured: Duration::from_secs(seconds) + DRAIN_TIME,
        ..scenario
    }
}

/// The same fleet without calls.
fn without_calls(scenario: &Scenario, measured: Duration) -> Scenario {
    let quiet = Scenario::one_service(scenario.seed, scenario.gateways, scenario.switches);
    Scenario { measured, ..quiet }
}

/// The fixed parameters of fleet runs, as the report stores them.
fn fleets_setting(fleets: &[FleetComparison], quiet_time: Duration) -> String {
    let fleets = fleets.iter().map(|fleet| {
        let FleetComparison { gateways, rate, seconds, measurement, .. } = fleet;
        let descriptors = measurement.during_calls.descriptors as f64 / f64::from(*gateways);
        let (planned, unanswered) = (measurement.planned_calls, measurement.call_outcomes.unanswered);
        format!(
            "{gateways} gateways at {rate} calls/s for {seconds} s ({planned} calls, {unanswered} of them \
             refused or failed; {descriptors:.1} descriptors a gateway)"
        )
    });
    let fleets: Vec<String> = fleets.collect();
    format!(
        "`fawnrouter node` on loopback, {SWITCHES} core switches, calls held {} s and answered in 20 ms, so \
         that no core switch is silent for long enough to be tested: {}; counted from the first call until \
         {} s after the last, the list in the {} s behind that; processor time is the process's in user and \
         kernel mode, of calls what exceeds that of the quiet time; memory is resident memory",
        HOLD_TIME.as_secs_f64(),
        fleets.join(", "),
        DRAIN_TIME.as_secs(),
        quiet_time.as_secs()
    )
}

/// The fixed parameters of the hollow run, as the report stores them.
fn hollow_setting() -> String {
    "the plans of processes-gateways and processes-rate played by hollow gateways; processor time a second \
     is that of call path and control together, as of a process; memory is what the state machines hold"
        .to_owned()
}

/// The fixed parameters of a hop run, as the report stores them.
fn hop_setting(plan: &TrafficPlan, measurement: &HopMeasurement) -> String {
    let HopMeasurement {
        planned_calls, call_outcomes, sent_per_second, processor_microseconds_per_call, ..
    } = measurement;
    let answered = call_outcomes.released;
    let path = match processor_microseconds_per_call {
        Some(microseconds) => format!(
            "through one `fawnrouter node` that sees {SWITCHES} core switches ({microseconds:.1} us of \
             processor time a call)"
        ),
        None => "from callers straight to a core switch: what the stand-ins and loopback add by themselves"
            .to_owned(),
    };
    format!(
        "{path}; {} calls/s planned for {} s, {sent_per_second:.0} calls/s sent, {answered} of {planned_calls} \
         calls answered; a delay is that of the set-up and that of the answer, to the stand-in's reading, \
         without the core switch's time",
        plan.calls_per_second, plan.seconds
    )
}
