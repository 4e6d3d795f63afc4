//! One row a series: its fit, its value at the design size, its budget and the ratio of the two.

use std::collections::BTreeSet;

use super::budgets::budget;
use super::design_sizes::{DesignSizes, Sizes};
use super::mechanisms::mechanism;
use crate::figures::{Cause, Method, Per, Point, Quantity, Report, Role, Run, Series, Situation, Size};
use crate::fit::{Estimate, Fit, FitError, estimate};

/// What a row counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Measure {
    /// The quantity of one series.
    One(Quantity),
    /// Bytes in and bytes out together, as the budget of a gateway's control counts them.
    BytesBothWays,
}

/// What makes two series the same but for their run: whether the hollow ones were held against processes.
type Kind = (Role, Cause, Quantity, Per);

/// One row.
#[derive(Clone, Debug)]
pub(super) struct Row<'a> {
    pub(super) run: &'a Run,
    pub(super) role: Role,
    pub(super) situation: Situation,
    pub(super) cause: Cause,
    pub(super) measure: Measure,
    pub(super) per: Per,
    pub(super) size: Size,
    /// Where the series is read.
    pub(super) design_sizes: DesignSizes,
    /// The smallest and the greatest size that was measured.
    pub(super) measured_sizes: Option<(f64, f64)>,
    pub(super) fit: Result<Fit, FitError>,
    /// At the harder reading.
    pub(super) harder: Option<Estimate>,
    /// At the easier reading, if there is one.
    pub(super) easier: Option<Estimate>,
    pub(super) budget: Option<f64>,
    pub(super) mechanism: Option<&'static str>,
    /// No processes were measured that count the same.
    pub(super) hollow_alone: bool,
}

impl Row<'_> {
    /// The value over the budget, at the harder reading.
    pub(super) fn ratio(&self) -> Option<f64> {
        Some(self.harder?.value / self.budget?)
    }

    /// The value over the budget, at the easier reading.
    pub(super) fn easier_ratio(&self) -> Option<f64> {
        Some(self.easier?.value / self.budget?)
    }
}

/// The rows of all series, by role, situation, cause, what is counted, and size; the order of the runs among equals.
pub(super) fn of_report(report: &Report) -> Vec<Row<'_>> {
    let context = Context { sizes: Sizes::of_report(report), on_processes: kinds_on_processes(report) };
    let mut rows: Vec<Row<'_>> = report.runs.iter().flat_map(|run| of_run(run, &context)).collect();
    rows.sort_by_key(|row| (row.role, row.situation, row.cause, row.measure, row.per, row.size));
    rows
}

/// What rows need of the whole report.
struct Context {
    sizes: Sizes,
    /// What was counted of processes.
    on_processes: BTreeSet<Kind>,
}

fn kinds_on_processes(report: &Report) -> BTreeSet<Kind> {
    let processes = report.runs.iter().filter(|run| run.method == Method::Processes);
    processes.flat_map(|run| &run.series).map(|series| kind(series, series.quantity)).collect()
}

fn kind(series: &Series, quantity: Quantity) -> Kind {
    (series.role, series.cause, quantity, series.per)
}

fn of_run<'a>(run: &'a Run, context: &Context) -> Vec<Row<'a>> {
    let mut rows = Vec::new();
    for series in &run.series {
        rows.push(row(run, series, Measure::One(series.quantity), &series.points, context));
        if let Some(points) = points_both_ways(run, series) {
            rows.push(row(run, series, Measure::BytesBothWays, &points, context));
        }
    }
    rows
}

fn row<'a>(run: &'a Run, series: &Series, measure: Measure, points: &[Point], context: &Context) -> Row<'a> {
    let fit = Fit::from_points(points);
    let at = |size| estimate(points, fit.as_ref().map_err(|error| *error), size);
    let design_sizes = context.sizes.of(series.size);
    Row {
        run,
        role: series.role,
        situation: series.situation,
        cause: series.cause,
        measure,
        per: series.per,
        size: series.size,
        design_sizes,
        measured_sizes: points.first().zip(points.last()).map(|(first, last)| (first.size, last.size)),
        harder: at(design_sizes.harder),
        easier: design_sizes.easier.and_then(at),
        budget: budget(series.role, measure, series.cause, series.per),
        mechanism: mechanism(series.role, series.cause),
        hollow_alone: is_hollow_alone(run, series, measure, context),
        fit,
    }
}

fn is_hollow_alone(run: &Run, series: &Series, measure: Measure, context: &Context) -> bool {
    let is_on_processes = |quantity| context.on_processes.contains(&kind(series, quantity));
    let is_held_against_processes = match measure {
        Measure::One(quantity) => is_on_processes(quantity),
        Measure::BytesBothWays => is_on_processes(Quantity::BytesIn) && is_on_processes(Quantity::BytesOut),
    };
    run.method == Method::Hollow && !is_held_against_processes
}

/// For the bytes in of a gateway's control: the sums with the bytes out of the same run, at the sizes that both have.
fn points_both_ways(run: &Run, bytes_in: &Series) -> Option<Vec<Point>> {
    if bytes_in.role != Role::GatewayControl || bytes_in.quantity != Quantity::BytesIn {
        return None;
    }
    let bytes_out = run.series.iter().find(|other| is_way_out_of(other, bytes_in))?;
    let both = |point: &Point| {
        let out = bytes_out.points.iter().find(|other| other.size == point.size)?;
        Some(Point { size: point.size, value: point.value + out.value })
    };
    Some(bytes_in.points.iter().filter_map(both).collect())
}

fn is_way_out_of(series: &Series, bytes_in: &Series) -> bool {
    let circumstances =
        |series: &Series| (series.role, series.situation, series.cause, series.per, series.size);
    series.quantity == Quantity::BytesOut && circumstances(series) == circumstances(bytes_in)
}
