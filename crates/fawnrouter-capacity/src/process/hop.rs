//! The delay that one gateway adds to a call, and the baseline that the stand-ins and loopback add by
//! themselves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::figures::DelayBucket;
use crate::hollow::Scenario;
use crate::plan::TrafficPlan;
use crate::process::callers::{CallOutcomes, CallerTraffic, Callers, connect};
use crate::process::error::{ProcessError, system_error};
use crate::process::fleet::{CALLS_END_TIMEOUT, Fleet, Testbed, wait_for};
use crate::process::switches::{SwitchTimes, Switches};
use crate::process::timestamps::CallTimestamps;

/// Delays are recorded from 1 ns to 10 s, to three significant digits.
const MIN_DELAY_NANOSECONDS: u64 = 1;
const MAX_DELAY_NANOSECONDS: u64 = 10_000_000_000;
const RECORDED_DIGITS: u8 = 3;
/// Significant digits of the buckets in the report. They are wider, so that the report stays small: some
/// hundred buckets, each with an error of less than 1%.
const REPORTED_DIGITS: u8 = 2;
/// How long a call stays established.
const HOLD_TIME: Duration = Duration::from_secs(1);
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// The delay of one hop and the conditions under which it was measured.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HopMeasurement {
    /// Histogram of the delays of all answered calls.
    pub delays: Vec<DelayBucket>,
    /// Number of calls in the plan.
    pub planned_calls: u64,
    /// How these calls ended.
    pub call_outcomes: CallOutcomes,
    /// Set-ups a second that were actually sent.
    pub sent_per_second: f64,
    /// Processor time of the gateway for one call, in microseconds; none without a gateway.
    pub processor_microseconds_per_call: Option<f64>,
}

/// The calls of a hop measurement. Core switches answer at once.
#[must_use]
pub fn hop_plan(seed: u64, calls_per_second: f64, seconds: u64) -> TrafficPlan {
    TrafficPlan {
        seed,
        gateways: 1,
        calls_per_second,
        seconds,
        hold: HOLD_TIME,
        answer_delay: Duration::ZERO,
    }
}

/// Measures calls through one gateway that has this many core switches on its list.
///
/// # Errors
/// As [`super::run_scenario`].
pub fn measure_hop(
    plan: TrafficPlan,
    switches: u32,
    testbed: Testbed<'_>,
) -> Result<HopMeasurement, ProcessError> {
    let calls = plan.calls();
    let timestamps = Arc::new(CallTimestamps::new(&calls));
    let scenario = Scenario { traffic: plan, ..Scenario::one_service(testbed.seed, 1, switches) };
    let mut fleet = Fleet::start(&scenario, Some(timestamps.clone()), testbed)?;
    let before = fleet.processor_time()?;
    fleet.run_calls(&calls)?;
    let processor_time = fleet.processor_time()?.saturating_sub(before);
    let mut measurement = hop_measurement(&timestamps, calls.len(), fleet.call_outcomes())?;
    let microseconds = processor_time.as_secs_f64() * MICROSECONDS_PER_SECOND;
    measurement.processor_microseconds_per_call = Some(microseconds / calls.len().max(1) as f64);
    Ok(measurement)
}

/// Measures the same calls sent from the callers straight to a core switch.
///
/// # Errors
/// As [`super::run_scenario`].
pub fn measure_baseline(plan: &TrafficPlan, testbed: Testbed<'_>) -> Result<HopMeasurement, ProcessError> {
    let calls = plan.calls();
    let timestamps = Arc::new(CallTimestamps::new(&calls));
    let times = SwitchTimes { answer_delay: plan.answer_delay, hold: plan.hold };
    let switches = Switches::start(1, times, Some(timestamps.clone()));
    let switches = switches.map_err(system_error("a stand-in core switch cannot be started"))?;
    let count = Scenario::one_service(testbed.seed, 1, 1).caller_connections;
    let connections = (0..count).map(|_| connect(switches.list[0].address)).collect::<Result<_, _>>();
    let connections =
        vec![connections.map_err(system_error("the stand-in core switch cannot be connected to"))?];
    let mut callers = Callers::start(connections, 1, Some(timestamps.clone()))?;
    callers.send_set_ups(&calls, Instant::now(), testbed.stop)?;
    let (planned, deadline) = (calls.len() as u64, Instant::now() + CALLS_END_TIMEOUT);
    let all_ended = |callers: &CallerTraffic| callers.outcomes.total() >= planned;
    let have_ended = wait_for(&callers.traffic, deadline, testbed.stop, all_ended)?;
    let outcomes = callers.traffic.get().outcomes;
    if !have_ended {
        let ended = outcomes.total();
        return Err(ProcessError::CallsUnfinished { ended, planned, waited: CALLS_END_TIMEOUT });
    }
    hop_measurement(&timestamps, calls.len(), outcomes)
}

fn hop_measurement(
    timestamps: &CallTimestamps,
    planned: usize,
    outcomes: CallOutcomes,
) -> Result<HopMeasurement, ProcessError> {
    let mut delays = empty_histogram(RECORDED_DIGITS)?;
    for delay in timestamps.delays() {
        let nanoseconds = u64::try_from(delay.as_nanos()).unwrap_or(MAX_DELAY_NANOSECONDS);
        delays.saturating_record(nanoseconds.max(MIN_DELAY_NANOSECONDS));
    }
    let seconds = timestamps.sending_time().as_secs_f64();
    Ok(HopMeasurement {
        delays: buckets(&delays)?,
        planned_calls: planned as u64,
        call_outcomes: outcomes,
        sent_per_second: if seconds > 0.0 { planned as f64 / seconds } else { 0.0 },
        processor_microseconds_per_call: None,
    })
}

fn empty_histogram(digits: u8) -> Result<Histogram<u64>, ProcessError> {
    let histogram = Histogram::new_with_bounds(MIN_DELAY_NANOSECONDS, MAX_DELAY_NANOSECONDS, digits);
    histogram.map_err(|error| ProcessError::DelayHistogram(error.to_string()))
}

/// The recorded delays in the wider buckets of the report.
fn buckets(delays: &Histogram<u64>) -> Result<Vec<DelayBucket>, ProcessError> {
    let mut wider = empty_histogram(REPORTED_DIGITS)?;
    wider.add(delays).map_err(|error| ProcessError::DelayHistogram(error.to_string()))?;
    let bucket = |step: hdrhistogram::iterators::IterationValue<u64>| DelayBucket {
        nanoseconds: step.value_iterated_to(),
        count: step.count_at_value(),
    };
    Ok(wider.iter_recorded().map(bucket).collect())
}
