//! Comparison of hollow gateways with gateway processes at the same sizes.

use super::formatting::{amount, significant, whole};
use super::labels;
use super::rows::Measure;
use super::table::{NOTHING, Table};
use crate::figures::{Method, Point, Report, Run, Series};

/// Id of the run of hollow gateways at the sizes of the processes.
pub(super) const HOLLOW_RUN: &str = "hollow-beside-processes";
/// Largest relative deviation at which counts (messages, bytes, state) agree.
const MAX_COUNT_DEVIATION: f64 = 0.05;

/// A figure that was measured with processes and with hollow gateways.
struct Pair<'a> {
    run: &'a Run,
    series: &'a Series,
    processes: Point,
    hollow: f64,
}

/// The section with all pairs.
pub(super) fn section(report: &Report) -> String {
    section_with(report, |_| true)
}

/// The section with the counts that do not agree and the factors at the greatest size.
pub(super) fn summary(report: &Report) -> String {
    let processes = report.runs.iter().filter(|run| run.method == Method::Processes);
    let points = processes.flat_map(|run| &run.series).flat_map(|series| &series.points);
    let greatest_size = points.map(|point| point.size).fold(0.0, f64::max);
    section_with(report, |pair| {
        let is_factor = !pair.is_count() && pair.processes.size == greatest_size;
        is_factor || pair.is_deviating_count()
    })
}

fn section_with(report: &Report, is_shown: impl Fn(&Pair<'_>) -> bool) -> String {
    format!("## Hollow beside processes\n\n{}", body(report, is_shown))
}

fn body(report: &Report, is_shown: impl Fn(&Pair<'_>) -> bool) -> String {
    let Some(hollow) = report.run(HOLLOW_RUN) else {
        return format!("Not measured: the report has no run {HOLLOW_RUN}.\n");
    };
    if !report.runs.iter().any(|run| run.method == Method::Processes) {
        return "Not measured: the report has no run of processes.\n".to_owned();
    }
    let pairs = pairs_of_report(report, hollow);
    if pairs.is_empty() {
        return "Not measured: no series and size was measured both ways.\n".to_owned();
    }
    let counts = pairs.iter().filter(|pair| pair.is_count()).count();
    let deviating = pairs.iter().filter(|pair| pair.is_deviating_count()).count();
    let shown: Vec<Pair<'_>> = pairs.into_iter().filter(is_shown).collect();
    let table = table(&shown, hollow);
    format!(
        "{deviating} of {counts} counts are more than 5% apart; processor time, allocations and memory have \
         a factor.\n\n{table}"
    )
}

fn pairs_of_report<'a>(report: &'a Report, hollow: &Run) -> Vec<Pair<'a>> {
    let mut pairs = Vec::new();
    for run in report.runs.iter().filter(|run| run.method == Method::Processes) {
        for series in &run.series {
            let hollow_series = hollow.series.iter().find(|other| have_same_kind(other, series));
            pairs.extend(hollow_series.into_iter().flat_map(|other| pairs_of_series(run, series, other)));
        }
    }
    pairs
}

/// A pair for each size that both series have.
fn pairs_of_series<'a>(run: &'a Run, series: &'a Series, hollow: &Series) -> Vec<Pair<'a>> {
    let pair = |processes: &Point| {
        let same_size = hollow.points.iter().find(|point| point.size == processes.size)?;
        Some(Pair { run, series, processes: *processes, hollow: same_size.value })
    };
    series.points.iter().filter_map(pair).collect()
}

/// Whether two series count the same thing over the same size.
fn have_same_kind(one: &Series, other: &Series) -> bool {
    let kind = |series: &Series| {
        (series.role, series.situation, series.cause, series.quantity, series.per, series.size)
    };
    kind(one) == kind(other)
}

fn table(pairs: &[Pair<'_>], hollow: &Run) -> Table<10> {
    let mut table = Table::new([
        "role",
        "what",
        "situation",
        "size",
        "processes",
        "hollow",
        "processes / hollow",
        "verdict",
        "run",
        "hollow run",
    ]);
    for pair in pairs {
        table.push(pair.cells(hollow));
    }
    table
}

impl Pair<'_> {
    /// Whether the two figures must agree; otherwise their ratio is reported as a factor.
    fn is_count(&self) -> bool {
        self.series.quantity.is_exact()
    }

    /// The figure of processes over that of hollow gateways; none if only the latter is 0.
    fn ratio(&self) -> Option<f64> {
        if self.processes.value == self.hollow {
            return Some(1.0);
        }
        Some(self.processes.value / self.hollow).filter(|ratio| ratio.is_finite())
    }

    fn is_deviating_count(&self) -> bool {
        self.is_count() && !self.ratio().is_some_and(|ratio| (ratio - 1.0).abs() <= MAX_COUNT_DEVIATION)
    }

    fn verdict(&self) -> &'static str {
        match (self.is_count(), self.is_deviating_count()) {
            (false, _) => "factor",
            (true, false) => "within 5%",
            (true, true) => "**beyond 5%**",
        }
    }

    fn cells(&self, hollow: &Run) -> [String; 10] {
        let series = self.series;
        let measure = Measure::One(series.quantity);
        let with_unit = |value| amount(measure, series.per, value);
        [
            labels::role(series.role).to_owned(),
            labels::figure(measure, series.cause, series.per),
            labels::situation(series.situation).to_owned(),
            format!("{} {}", whole(self.processes.size), labels::size(series.size)),
            with_unit(self.processes.value),
            with_unit(self.hollow),
            self.ratio().map_or(NOTHING.to_owned(), significant),
            self.verdict().to_owned(),
            labels::cited(&self.run.id),
            labels::cited(&hollow.id),
        ]
    }
}
