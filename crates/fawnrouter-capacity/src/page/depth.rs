//! The delay of calls that pass several gateways, compared with the limit of the delay that may be added to a
//! call.

use super::formatting::{nanoseconds, significant};
use super::labels;
use super::table::Table;
use crate::delay::{DelayError, DelayPercentiles, DelaysByDepth, delays_by_depth, max_hops_within};
use crate::design;
use crate::figures::{Report, Run};

/// Depths in the table, in hops.
const DEPTHS: [u32; 4] = [1, 4, 12, design::DEPTH];
/// Prefix of the ids of runs without a gateway, whose delay is that of the stand-ins and loopback alone.
const BASELINE_PREFIX: &str = "processes-hop-baseline";
const NANOSECONDS_PER_MILLISECOND: f64 = 1e6;
/// Limit of the 99th percentile of the delay that is added to a call.
const LIMIT_NANOSECONDS: f64 = design::ADDED_DELAY_P99_MS * NANOSECONDS_PER_MILLISECOND;

/// The delays over several hops, from the hop delays of one run.
pub(super) struct RunDepths<'a> {
    pub(super) run: &'a Run,
    depths: Result<RunDelays, DelayError>,
}

struct RunDelays {
    depths: DelaysByDepth,
    /// Largest number of hops whose 99th percentile is within the limit.
    deepest_within: u32,
}

impl RunDepths<'_> {
    /// Whether the run was measured without a gateway.
    pub(super) fn is_baseline(&self) -> bool {
        self.run.id.starts_with(BASELINE_PREFIX)
    }

    /// The 99th percentile at the design depth over the limit, if the limit is for the whole call.
    pub(super) fn whole_call_ratio(&self) -> Option<f64> {
        self.delay_at_design_depth().and_then(whole_call_ratio)
    }

    /// The 99th percentile at the design depth over the limit, if the limit is for each hop.
    pub(super) fn per_hop_ratio(&self) -> Option<f64> {
        self.delay_at_design_depth().and_then(per_hop_ratio)
    }

    fn delay_at_design_depth(&self) -> Option<&DelayPercentiles> {
        let delays = &self.depths.as_ref().ok()?.depths.delays;
        delays.iter().find(|delay| delay.hops == design::DEPTH)
    }
}

/// The delays over several hops for each run that measured hop delays.
pub(super) fn depths_of_report(report: &Report) -> Vec<RunDepths<'_>> {
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
    let remarks: String = runs.iter().map(limit_remark).collect();
    format!("## Depth\n\n{table}\n{remarks}")
}

fn cells(run: &Run, delay: &DelayPercentiles) -> [String; 7] {
    [
        labels::cited(&run.id),
        delay.hops.to_string(),
        delay_text(delay.p50_nanoseconds),
        delay_text(delay.p99_nanoseconds),
        delay_text(delay.p999_nanoseconds),
        ratio_text(whole_call_ratio(delay)),
        ratio_text(per_hop_ratio(delay)),
    ]
}

/// States up to how many hops a run is within the limit.
fn limit_remark(run: &RunDepths<'_>) -> String {
    let id = labels::cited(&run.run.id);
    match &run.depths {
        Err(error) => format!("- {id}: {error}.\n"),
        Ok(delays) => {
            let bin = nanoseconds(delays.depths.grid.bin_nanoseconds.get());
            let deepest = delays.deepest_within;
            let design_depth = design::DEPTH;
            let baseline = if run.is_baseline() { ", without a gateway" } else { "" };
            format!(
                "- {id}{baseline}: p99 is within 1.6 ms a call for up to {deepest} hops of {design_depth}; \
                 grid of {bin}.\n"
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

fn delay_text(delay_nanoseconds: Option<u64>) -> String {
    delay_nanoseconds.map_or("beyond the grid".to_owned(), nanoseconds)
}

fn ratio_text(ratio: Option<f64>) -> String {
    ratio.map_or("beyond the grid".to_owned(), significant)
}
