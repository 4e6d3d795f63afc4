//! Gateway processes on loopback between stand-ins: what the program itself costs, beside its hollow counterpart.
//!
//! Each gateway is `fawnrouter node` with a loopback address of its own. Stand-in core switches, a stand-in name server
//! and callers run in threads of the measuring process; they play the same plan as the hollow rig, in real time, and
//! count each line and datagram. Processor time, memory and descriptors are read from `/proc`. All processes end with
//! their handles, on every path.
//!
//! | module | what it does |
//! | --- | --- |
//! | `error` | why processes cannot be measured |
//! | [`usage`] | what a process uses of the machine, from the texts of `/proc` |
//! | [`line_counts`] | lines on a socket and counts of them |
//! | `watched` | a value that one thread changes and another waits for |
//! | `event_loop` | a thread that serves the connections of a stand-in |
//! | `switches`, `name_server`, `callers` | the stand-ins |
//! | `gateway` | one gateway process |
//! | `fleet` | gateways between stand-ins, from their start to the end of a plan |
//! | `timestamps`, `hop` | what one gateway adds to a call |
//! | `series` | series of processes and of their hollow counterpart, by the same definitions |

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
use self::series::{Figures, Kind, of_hollow, of_processes, series};
use crate::figures::{Method, Role, Run, Situation, Size};
use crate::hollow::{CountingAllocator, Scenario, simulate_counting_allocations};
use crate::plan::TrafficPlan;

/// Core switches that every gateway sees.
const SWITCHES: u32 = 25;
/// Gateways side by side, and their calls a second.
const GATEWAYS: [u32; 4] = [8, 15, 30, 60];
const GATEWAYS_QUICK: [u32; 1] = [8];
const CALLS_PER_SECOND: f64 = 40.0;
/// Gateways side by side at other rates, and those rates with the seconds that they are held; the rate of all sizes is
/// among them.
const GATEWAYS_OF_RATES: u32 = 30;
const OTHER_RATES: [(f64, u64); 3] = [(20.0, 5), (80.0, 5), (152.0, 10)];
/// How long calls come.
const CALL_SECONDS: u64 = 10;
const CALL_SECONDS_QUICK: u64 = 4;
/// How long a call stands: less than the 2 s of silence after which a gateway tests a core switch that holds calls, as
/// a release that comes just then would make the tests a matter of microseconds.
const HOLD: Duration = Duration::from_millis(1500);
/// Until the last calls have ended.
const DRAIN: Duration = Duration::from_secs(2);
/// Without calls, after the last.
const QUIET: Duration = Duration::from_secs(2);
const QUIET_QUICK: Duration = Duration::from_secs(1);
/// Calls a second at one gateway for which the delay of a hop is measured: each call passing one gateway, each passing
/// as many as it can.
const HOP_RATES: [(f64, u64); 2] = [(152.0, 12), (4240.0, 8)];
const HOP_SECONDS_QUICK: u64 = 2;

/// What is measured, and how.
pub struct ProcessOptions<'a> {
    /// The gateway's program.
    pub program: &'a Path,
    /// What all is drawn from.
    pub seed: u64,
    /// One size, and short.
    pub quick: bool,
    /// Only what this role bears.
    pub only: Option<Role>,
    /// The counting allocator, if the program has installed it; without it the hollow counterpart tells no memory.
    pub allocator: Option<CountingAllocator>,
    /// Set from elsewhere when the measurement is to end.
    pub stop: &'a AtomicBool,
    /// Told of each part before it begins.
    pub progress: &'a mut dyn FnMut(&str),
}

/// Measures processes and plays their hollow counterpart.
///
/// # Errors
/// Where the program is not there, or something fails on the way. All processes have ended then.
pub fn measure(options: ProcessOptions<'_>) -> Result<Vec<Run>, ProcessError> {
    check_program(options.program)?;
    let mut session = Session { options };
    let mut sizes = Vec::new();
    for gateways in session.choose(&GATEWAYS, &GATEWAYS_QUICK) {
        let seconds = session.choose(&[CALL_SECONDS], &[CALL_SECONDS_QUICK])[0];
        sizes.push(session.play_both(gateways, CALLS_PER_SECOND, seconds)?);
    }
    let mut rates: Vec<Both> =
        sizes.iter().filter(|both| both.gateways == GATEWAYS_OF_RATES).cloned().collect();
    for (rate, seconds) in session.choose(&OTHER_RATES, &[]) {
        rates.push(session.play_both(GATEWAYS_OF_RATES, rate, seconds)?);
    }
    rates.sort_by(|one, other| one.rate.total_cmp(&other.rate));
    let mut runs = session.runs_of_fleets(&sizes, &rates);
    if session.options.only.is_none_or(|role| role == Role::GatewayCalls) {
        runs.extend(session.runs_of_hops()?);
    }
    Ok(runs)
}

/// The same plan played by processes and by hollow gateways.
#[derive(Clone)]
struct Both {
    gateways: u32,
    rate: f64,
    seconds: u64,
    played: FleetMeasurement,
    processes: Figures,
    hollow: Figures,
}

struct Session<'a> {
    options: ProcessOptions<'a>,
}

impl Session<'_> {
    /// The sizes of a measurement, or those of a quick one.
    fn choose<T: Clone>(&self, full: &[T], quick: &[T]) -> Vec<T> {
        if self.options.quick { quick.to_vec() } else { full.to_vec() }
    }

    fn rig(&self) -> Testbed<'_> {
        Testbed { program: self.options.program, seed: self.options.seed, stop: self.options.stop }
    }

    fn quiet(&self) -> Duration {
        if self.options.quick { QUIET_QUICK } else { QUIET }
    }

    fn play_both(&mut self, gateways: u32, rate: f64, seconds: u64) -> Result<Both, ProcessError> {
        let scenario = fleet_scenario(self.options.seed, gateways, rate, seconds);
        (self.options.progress)(&format!("processes, {gateways} at {rate} calls/s"));
        let played = run_scenario(&scenario, self.quiet(), self.rig())?;
        (self.options.progress)(&format!("hollow-beside-processes, {gateways} at {rate} calls/s"));
        let busy = simulate_counting_allocations(&scenario, self.options.allocator)?;
        let quiet = quiet_scenario(&scenario, self.quiet());
        let quiet = simulate_counting_allocations(&quiet, self.options.allocator)?;
        let (processes, hollow) = (of_processes(&scenario, &played), of_hollow(&quiet, &busy));
        Ok(Both { gateways, rate, seconds, played, processes, hollow })
    }

    fn run(&self, id: &str, method: Method, setting: String) -> Run {
        let seed = self.options.seed;
        Run { id: id.to_owned(), method, seed, setting, series: Vec::new(), hop_delays: Vec::new() }
    }

    fn is_wanted(&self, kind: &Kind) -> bool {
        self.options.only.is_none_or(|role| role == kind.role)
    }

    fn runs_of_fleets(&self, sizes: &[Both], rates: &[Both]) -> Vec<Run> {
        let by_gateways = |figures: fn(&Both) -> &Figures| {
            let points: Vec<_> =
                sizes.iter().map(|both| (f64::from(both.gateways), figures(both).clone())).collect();
            series(Size::Gateways, &points, |kind| self.is_wanted(kind))
        };
        let by_rate = |figures: fn(&Both) -> &Figures| {
            let points: Vec<_> = rates.iter().map(|both| (both.rate, figures(both).clone())).collect();
            let depends = |kind: &Kind| kind.role == Role::GatewayCalls && kind.situation != Situation::Quiet;
            series(Size::CallsPerSecond, &points, |kind| depends(kind) && self.is_wanted(kind))
        };
        let mut gateways =
            self.run("processes-gateways", Method::Processes, setting_of_fleets(sizes, self.quiet()));
        gateways.series = by_gateways(|both| &both.processes);
        let mut rate = self.run("processes-rate", Method::Processes, setting_of_fleets(rates, self.quiet()));
        rate.series = by_rate(|both| &both.processes);
        let mut hollow = self.run("hollow-beside-processes", Method::Hollow, setting_of_hollow());
        hollow.series = by_gateways(|both| &both.hollow);
        hollow.series.extend(by_rate(|both| &both.hollow));
        [gateways, rate, hollow].into_iter().filter(|run| !run.series.is_empty()).collect()
    }

    fn runs_of_hops(&mut self) -> Result<Vec<Run>, ProcessError> {
        let mut runs = Vec::new();
        for (rate, seconds) in HOP_RATES {
            let seconds = if self.options.quick { HOP_SECONDS_QUICK } else { seconds };
            let plan = hop_plan(self.options.seed, rate, seconds);
            (self.options.progress)(&format!("the stand-ins alone at {rate} calls/s"));
            let without = measure_baseline(&plan, self.rig())?;
            (self.options.progress)(&format!("a hop at {rate} calls/s"));
            let through = measure_hop(plan.clone(), SWITCHES, self.rig())?;
            runs.push(self.run_of_hop(&baseline_id(rate), &plan, without));
            runs.push(self.run_of_hop(&format!("processes-hop-{rate}"), &plan, through));
        }
        Ok(runs)
    }

    fn run_of_hop(&self, id: &str, plan: &TrafficPlan, measured: HopMeasurement) -> Run {
        let mut run = self.run(id, Method::Processes, setting_of_hop(plan, &measured));
        run.hop_delays = measured.delays;
        run
    }
}

/// The baseline of the highest rate is the one that pages cite without a rate.
fn baseline_id(rate: f64) -> String {
    let highest = HOP_RATES.iter().all(|(other, _)| *other <= rate);
    if highest { "processes-hop-baseline".to_owned() } else { format!("processes-hop-baseline-{rate}") }
}

/// Calls from the start on, counted until all have ended.
fn fleet_scenario(seed: u64, gateways: u32, rate: f64, seconds: u64) -> Scenario {
    let scenario = Scenario::one_service(seed, gateways, SWITCHES);
    let traffic = TrafficPlan { calls_per_second: rate, seconds, hold: HOLD, ..scenario.traffic };
    Scenario { traffic, warm_up: Duration::ZERO, measured: Duration::from_secs(seconds) + DRAIN, ..scenario }
}

/// The same fleet without calls.
fn quiet_scenario(scenario: &Scenario, measured: Duration) -> Scenario {
    let quiet = Scenario::one_service(scenario.seed, scenario.gateways, scenario.switches);
    Scenario { measured, ..quiet }
}

fn setting_of_fleets(fleets: &[Both], quiet: Duration) -> String {
    let plays = fleets.iter().map(|both| {
        let Both { gateways, rate, seconds, played, .. } = both;
        let descriptors = played.during_calls.descriptors as f64 / f64::from(*gateways);
        let (planned, unanswered) = (played.planned_calls, played.call_outcomes.unanswered);
        format!(
            "{gateways} gateways at {rate} calls/s for {seconds} s ({planned} calls, {unanswered} of them refused or \
             failed; {descriptors:.1} descriptors a gateway)"
        )
    });
    let plays: Vec<String> = plays.collect();
    format!(
        "`fawnrouter node` on loopback, {SWITCHES} core switches, calls held {} s and answered in 20 ms, so that no core switch \
         is silent for long enough to be tested: {}; counted from the first call until {} s after the last, the list in the \
         {} s behind that; processor time is the process's in user and kernel mode, of calls what exceeds that of the quiet time; \
         memory is resident memory",
        HOLD.as_secs_f64(),
        plays.join(", "),
        DRAIN.as_secs(),
        quiet.as_secs()
    )
}

fn setting_of_hollow() -> String {
    "the plans of processes-gateways and processes-rate played by hollow gateways; processor time a second is that of call \
     path and control together, as of a process; memory is what the state machines hold"
        .to_owned()
}

fn setting_of_hop(plan: &TrafficPlan, measured: &HopMeasurement) -> String {
    let HopMeasurement {
        planned_calls: planned,
        call_outcomes: ended,
        sent_per_second,
        processor_microseconds_per_call,
        ..
    } = measured;
    let answered = ended.released;
    let way = match processor_microseconds_per_call {
        Some(microseconds) => format!(
            "through one `fawnrouter node` that sees {SWITCHES} core switches ({microseconds:.1} us of processor time a call)"
        ),
        None => "from callers straight to a core switch: what the stand-ins and loopback add by themselves"
            .to_owned(),
    };
    format!(
        "{way}; {} calls/s planned for {} s, {sent_per_second:.0} calls/s sent, {answered} of {planned} calls answered; a delay \
         is that of the set-up and that of the answer, to the stand-in's reading, without the core switch's time",
        plan.calls_per_second, plan.seconds
    )
}
