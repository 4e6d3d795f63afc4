//! The runs that the figures are from.

use super::formatting::whole;
use super::labels;
use super::table::Table;
use crate::figures::Report;

pub(super) fn section(report: &Report) -> String {
    if report.runs.is_empty() {
        return "## Runs\n\nNone.\n".to_owned();
    }
    let mut table = Table::new(["run", "method", "seed", "held fixed", "series", "delays of a hop"]);
    for run in &report.runs {
        let delays: f64 = run.hop_delays.iter().map(|bucket| bucket.count as f64).sum();
        table.push([
            labels::cited(&run.id),
            labels::method(run.method).to_owned(),
            run.seed.to_string(),
            labels::setting(run),
            run.series.len().to_string(),
            whole(delays),
        ]);
    }
    format!("## Runs\n\n{table}")
}
