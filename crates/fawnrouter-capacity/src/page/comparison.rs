//! Hollow gateways held against processes at the same sizes.

use super::formatting::{amount, significant, whole};
use super::labels;
use super::rows::Measure;
use super::table::{NOTHING, Table};
use crate::figures::{Method, Point, Report, Run, Series};

/// The run of hollow gateways at the sizes of the processes.
pub(super) const HOLLOW_RUN: &str = "hollow-beside-processes";
/// Messages, bytes and state are to agree within this share.
const AGREEMENT: f64 = 0.05;

/// One figure that was measured both ways.
struct Pair<'a> {
    run: &'a Run,
    series: &'a Series,
    processes: Point,
    hollow: f64,
}

/// Every pair.
pub(super) fn section(report: &Report) -> String {
    section_of(report, |_| true)
}

/// The pairs that do not agree, and the factors at the greatest size.
pub(super) fn summary(report: &Report) -> String {
    let processes = report.runs.iter().filter(|run| run.method == Method::Processes);
    let points = processes.flat_map(|run| &run.series).flat_map(|series| &series.points);
    let greatest_size = points.map(|point| point.size).fold(0.0, f64::max);
    section_of(report, |pair| {
        let is_factor = !pair.is_count() && pair.processes.size == greatest_size;
        is_factor || pair.is_beyond_agreement()
    })
}

fn section_of(report: &Report, is_shown: impl Fn(&Pair<'_>) -> bool) -> String {
    format!("## Hollow beside processes\n\n{}", body(report, is_shown))
}

fn body(report: &Report, is_shown: impl Fn(&Pair<'_>) -> bool) -> String {
    let Some(hollow) = report.run(HOLLOW_RUN) else {
        return format!("Not measured: the report has no run {HOLLOW_RUN}.\n");
    };
    if !report.runs.iter().any(|run| run.method == Method::Processes) {
        return "Not measured: the report has no run of processes.\n".to_owned();
    }
    let pairs = pairs(report, hollow);
    if pairs.is_empty() {
        return "Not measured: no series and size was measured both ways.\n".to_owned();
    }
    let counts = pairs.iter().filter(|pair| pair.is_count()).count();
    let beyond = pairs.iter().filter(|pair| pair.is_beyond_agreement()).count();
    let shown: Vec<Pair<'_>> = pairs.into_iter().filter(is_shown).collect();
    let table = table(&shown, hollow);
    format!(
        "{beyond} of {counts} counts are more than 5% apart; processor time, allocations and memory have a factor.\n\n{table}"
    )
}

fn pairs<'a>(report: &'a Report, hollow: &Run) -> Vec<Pair<'a>> {
    let mut pairs = Vec::new();
    for run in report.runs.iter().filter(|run| run.method == Method::Processes) {
        for series in &run.series {
            let hollow_series = hollow.series.iter().find(|other| counts_the_same(other, series));
            pairs.extend(hollow_series.into_iter().flat_map(|other| pairs_of(run, series, other)));
        }
    }
    pairs
}

fn pairs_of<'a>(run: &'a Run, series: &'a Series, hollow: &Series) -> Vec<Pair<'a>> {
    let pair = |processes: &Point| {
        let same_size = hollow.points.iter().find(|point| point.size == processes.size)?;
        Some(Pair { run, series, processes: *processes, hollow: same_size.value })
    };
    series.points.iter().filter_map(pair).collect()
}

fn counts_the_same(one: &Series, other: &Series) -> bool {
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
    /// Whether the two must agree; otherwise the ratio is a factor.
    fn is_count(&self) -> bool {
        self.series.quantity.is_exact()
    }

    /// None where only the hollow one is 0.
    fn ratio(&self) -> Option<f64> {
        if self.processes.value == self.hollow {
            return Some(1.0);
        }
        Some(self.processes.value / self.hollow).filter(|ratio| ratio.is_finite())
    }

    fn is_beyond_agreement(&self) -> bool {
        self.is_count() && !self.ratio().is_some_and(|ratio| (ratio - 1.0).abs() <= AGREEMENT)
    }

    fn verdict(&self) -> &'static str {
        match (self.is_count(), self.is_beyond_agreement()) {
            (false, _) => "factor",
            (true, false) => "within 5%",
            (true, true) => "**beyond 5%**",
        }
    }

    fn cells(&self, hollow: &Run) -> [String; 10] {
        let series = self.series;
        let measure = Measure::One(series.quantity);
        let shown = |value| amount(measure, series.per, value);
        [
            labels::role(series.role).to_owned(),
            labels::what(measure, series.cause, series.per),
            labels::situation(series.situation).to_owned(),
            format!("{} {}", whole(self.processes.size), labels::size(series.size)),
            shown(self.processes.value),
            shown(self.hollow),
            self.ratio().map_or(NOTHING.to_owned(), significant),
            self.verdict().to_owned(),
            labels::cited(&self.run.id),
            labels::cited(&hollow.id),
        ]
    }
}
