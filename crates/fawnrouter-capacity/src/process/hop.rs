//! What one gateway adds to a call, and what the stand-ins add by themselves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::figures::DelayBucket;
use crate::hollow::Scenario;
use crate::plan::TrafficPlan;
use crate::process::callers::{CallOutcomes, Callers, connect};
use crate::process::error::{ProcessError, doing};
use crate::process::fleet::{ENDED_WITHIN, Fleet, Testbed, wait};
use crate::process::switches::{SwitchTimes, Switches};
use crate::process::timestamps::Stamps;

/// Delays are told apart from 1 ns to 10 s, to three digits.
const LOWEST_NANOSECONDS: u64 = 1;
const HIGHEST_NANOSECONDS: u64 = 10_000_000_000;
const MEASURED_DIGITS: u8 = 3;
/// Buckets of a report are wider, so that it stays small: some hundred at less than 1% each.
const REPORTED_DIGITS: u8 = 2;
/// How long a call stands.
const HOLD: Duration = Duration::from_secs(1);
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// What one hop added.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HopMeasurement {
    /// The delays of all calls that were answered.
    pub delays: Vec<DelayBucket>,
    /// Calls of the plan.
    pub planned_calls: u64,
    /// What became of them.
    pub call_outcomes: CallOutcomes,
    /// Calls a second that were sent.
    pub sent_per_second: f64,
    /// Processor time of the gateway a call, in microseconds; none without a gateway.
    pub processor_microseconds_per_call: Option<f64>,
}

/// The calls of a measurement: core switches answer at once.
#[must_use]
pub fn hop_plan(seed: u64, calls_per_second: f64, seconds: u64) -> TrafficPlan {
    TrafficPlan { seed, gateways: 1, calls_per_second, seconds, hold: HOLD, answer_delay: Duration::ZERO }
}

/// Calls through one gateway that sees this many core switches.
///
/// # Errors
/// As [`super::run_scenario`].
pub fn measure_hop(
    plan: TrafficPlan,
    switches: u32,
    rig: Testbed<'_>,
) -> Result<HopMeasurement, ProcessError> {
    let calls = plan.calls();
    let stamps = Arc::new(Stamps::new(&calls));
    let scenario = Scenario { traffic: plan, ..Scenario::one_service(rig.seed, 1, switches) };
    let mut fleet = Fleet::start(&scenario, Some(stamps.clone()), rig)?;
    let before = fleet.processor_time()?;
    fleet.play(&calls)?;
    let processor_time = fleet.processor_time()?.saturating_sub(before);
    let mut measured = measured(&stamps, calls.len(), fleet.ended())?;
    let microseconds = processor_time.as_secs_f64() * MICROSECONDS_PER_SECOND;
    measured.processor_microseconds_per_call = Some(microseconds / calls.len().max(1) as f64);
    Ok(measured)
}

/// The same calls from the callers straight to a core switch.
///
/// # Errors
/// As [`super::run_scenario`].
pub fn measure_baseline(plan: &TrafficPlan, rig: Testbed<'_>) -> Result<HopMeasurement, ProcessError> {
    let calls = plan.calls();
    let stamps = Arc::new(Stamps::new(&calls));
    let times = SwitchTimes { answer: plan.answer_delay, hold: plan.hold };
    let switches = Switches::start(1, times, Some(stamps.clone()));
    let switches = switches.map_err(doing("a stand-in core switch cannot be started"))?;
    let count = Scenario::one_service(rig.seed, 1, 1).caller_connections;
    let connections = (0..count).map(|_| connect(switches.rows[0].address)).collect::<Result<_, _>>();
    let connections = vec![connections.map_err(doing("the stand-in core switch cannot be connected to"))?];
    let mut callers = Callers::start(connections, 1, Some(stamps.clone()))?;
    callers.play(&calls, Instant::now(), rig.stop)?;
    let (planned, deadline) = (calls.len() as u64, Instant::now() + ENDED_WITHIN);
    let have_ended = wait(&callers.traffic, deadline, rig.stop, |callers| callers.ended.total() >= planned)?;
    let ended = callers.traffic.get().ended;
    if !have_ended {
        return Err(ProcessError::CallsUnfinished { ended: ended.total(), planned, waited: ENDED_WITHIN });
    }
    measured(&stamps, calls.len(), ended)
}

fn measured(stamps: &Stamps, planned: usize, ended: CallOutcomes) -> Result<HopMeasurement, ProcessError> {
    let mut delays = histogram(MEASURED_DIGITS)?;
    for delay in stamps.delays() {
        let nanoseconds = u64::try_from(delay.as_nanos()).unwrap_or(HIGHEST_NANOSECONDS);
        delays.saturating_record(nanoseconds.max(LOWEST_NANOSECONDS));
    }
    let seconds = stamps.sending_time().as_secs_f64();
    Ok(HopMeasurement {
        delays: buckets(&delays)?,
        planned_calls: planned as u64,
        call_outcomes: ended,
        sent_per_second: if seconds > 0.0 { planned as f64 / seconds } else { 0.0 },
        processor_microseconds_per_call: None,
    })
}

fn histogram(digits: u8) -> Result<Histogram<u64>, ProcessError> {
    let histogram = Histogram::new_with_bounds(LOWEST_NANOSECONDS, HIGHEST_NANOSECONDS, digits);
    histogram.map_err(|error| ProcessError::DelayHistogram(error.to_string()))
}

fn buckets(delays: &Histogram<u64>) -> Result<Vec<DelayBucket>, ProcessError> {
    let mut wider = histogram(REPORTED_DIGITS)?;
    wider.add(delays).map_err(|error| ProcessError::DelayHistogram(error.to_string()))?;
    let bucket = |step: hdrhistogram::iterators::IterationValue<u64>| DelayBucket {
        nanoseconds: step.value_iterated_to(),
        count: step.count_at_value(),
    };
    Ok(wider.iter_recorded().map(bucket).collect())
}
