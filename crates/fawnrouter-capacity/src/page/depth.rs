//! The delay of calls that pass several gateways, against what may be added to a call.

use super::formatting::{nanoseconds, significant};
use super::labels;
use super::table::Table;
use crate::delay::{DelayError, DelayPercentiles, DelaysByDepth, delays_by_depth, max_hops_within};
use crate::design;
use crate::figures::{Report, Run};

/// The depths of the table.
const DEPTHS: [u32; 4] = [1, 4, 12, design::DEPTH];
/// Runs without a gateway: what the stand-ins and loopback add by themselves.
const BASELINES: &str = "processes-hop-baseline";
const NANOSECONDS_OF_A_MILLISECOND: f64 = 1e6;
/// What may be added to a call, 99 in 100.
const LIMIT_NANOSECONDS: f64 = design::ADDED_DELAY_P99_MS * NANOSECONDS_OF_A_MILLISECOND;

/// The delays of the hops of one run.
pub(super) struct RunDepths<'a> {
    pub(super) run: &'a Run,
    depths: Result<RunDelays, DelayError>,
}

struct RunDelays {
    depths: DelaysByDepth,
    /// Hops whose 99th percentile is within the limit.
    deepest_within: u32,
}

impl RunDepths<'_> {
    /// Whether there was no gateway in it.
    pub(super) fn is_baseline(&self) -> bool {
        self.run.id.starts_with(BASELINES)
    }

    /// The 99th percentile of the deepest call over the limit, where that is for the whole call.
    pub(super) fn whole_call_ratio(&self) -> Option<f64> {
        self.deepest().and_then(whole_call_ratio)
    }

    /// The same where each hop has the limit.
    pub(super) fn per_hop_ratio(&self) -> Option<f64> {
        self.deepest().and_then(per_hop_ratio)
    }

    fn deepest(&self) -> Option<&DelayPercentiles> {
        let delays = &self.depths.as_ref().ok()?.depths.delays;
        delays.iter().find(|delay| delay.hops == design::DEPTH)
    }
}

/// The depths of all runs that measured delays of a hop.
pub(super) fn of_report(report: &Report) -> Vec<RunDepths<'_>> {
    let with_delays = report.runs.iter().filter(|run| !run.hop_delays.is_empty());
    with_delays.map(|run| RunDepths { run, depths: run_delays(run) }).collect()
}

fn run_delays(run: &Run) -> Result<RunDelays, DelayError> {
    let depths = delays_by_depth(&run.hop_delays, &DEPTHS)?;
    let deepest_within = max_hops_within(&run.hop_delays, LIMIT_NANOSECONDS as u64, design::DEPTH)?;
    Ok(RunDelays { depths, deepest_within })
}

pub(super) fn section(runs: &[RunDepths<'_>]) -> String {
    if runs.is_empty() {
        return "## Depth\n\nNot measured: no run has delays of one hop.\n".to_owned();
    }
    let mut table =
        Table::new(["run", "hops", "p50", "p99", "p99.9", "p99 over 1.6 ms a call", "p99 over 1.6 ms a hop"]);
    for run in runs {
        for delay in run.depths.iter().flat_map(|delays| &delays.depths.delays) {
            table.push(cells(run.run, delay));
        }
    }
    let remarks: String = runs.iter().map(remark).collect();
    format!("## Depth\n\n{table}\n{remarks}")
}

fn cells(run: &Run, delay: &DelayPercentiles) -> [String; 7] {
    [
        labels::cited(&run.id),
        delay.hops.to_string(),
        shown(delay.p50_nanoseconds),
        shown(delay.p99_nanoseconds),
        shown(delay.p999_nanoseconds),
        shown_ratio(whole_call_ratio(delay)),
        shown_ratio(per_hop_ratio(delay)),
    ]
}

fn remark(run: &RunDepths<'_>) -> String {
    let id = labels::cited(&run.run.id);
    match &run.depths {
        Err(error) => format!("- {id}: {error}.\n"),
        Ok(delays) => {
            let bin = nanoseconds(delays.depths.grid.bin_nanoseconds.get());
            let deepest = delays.deepest_within;
            let most = design::DEPTH;
            let what = if run.is_baseline() { ", without a gateway" } else { "" };
            format!(
                "- {id}{what}: p99 is within 1.6 ms a call for up to {deepest} hops of {most}; grid of {bin}.\n"
            )
        }
    }
}

fn whole_call_ratio(delay: &DelayPercentiles) -> Option<f64> {
    Some(delay.p99_nanoseconds? as f64 / LIMIT_NANOSECONDS)
}

fn per_hop_ratio(delay: &DelayPercentiles) -> Option<f64> {
    Some(whole_call_ratio(delay)? / f64::from(delay.hops))
}

fn shown(delay_nanoseconds: Option<u64>) -> String {
    delay_nanoseconds.map_or("beyond the grid".to_owned(), nanoseconds)
}

fn shown_ratio(ratio: Option<f64>) -> String {
    ratio.map_or("beyond the grid".to_owned(), significant)
}
