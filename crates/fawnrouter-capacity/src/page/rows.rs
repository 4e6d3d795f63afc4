//! The row of a series: its fit, its value at the design size, its budget and the ratio of the two.

use std::collections::BTreeSet;

use super::budgets::budget;
use super::design_sizes::{DesignSizeTable, DesignSizes};
use super::mechanisms::mechanism;
use crate::figures::{Cause, Method, Per, Point, Quantity, Report, Role, Run, Series, Situation, Size};
use crate::fit::{Estimate, Fit, FitError, estimate};

/// What a row counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Measure {
    /// The quantity of one series.
    One(Quantity),
    /// Bytes in and out together, the way the budget of a gateway's control counts them.
    BytesBothWays,
}

/// What a series of hollow gateways must have in common with one of processes to count as compared with it.
type ComparedKind = (Role, Cause, Quantity, Per);

/// A series with what is computed from it.
#[derive(Clone, Debug)]
pub(super) struct Row<'a> {
    pub(super) run: &'a Run,
    pub(super) role: Role,
    pub(super) situation: Situation,
    pub(super) cause: Cause,
    pub(super) measure: Measure,
    pub(super) per: Per,
    pub(super) size: Size,
    /// The sizes at which the series is estimated.
    pub(super) design_sizes: DesignSizes,
    /// The smallest and the greatest measured size.
    pub(super) measured_sizes: Option<(f64, f64)>,
    pub(super) fit: Result<Fit, FitError>,
    /// The estimate at the harder design size.
    pub(super) harder: Option<Estimate>,
    /// The estimate at the easier design size, if there is one.
    pub(super) easier: Option<Estimate>,
    pub(super) budget: Option<f64>,
    pub(super) mechanism: Option<&'static str>,
    /// Whether the figures are of hollow gateways and no processes were measured for comparison.
    pub(super) is_hollow_only: bool,
}

impl Row<'_> {
    /// The value divided by the budget, at the harder design size.
    pub(super) fn ratio(&self) -> Option<f64> {
        Some(self.harder?.value / self.budget?)
    }

    /// The value divided by the budget, at the easier design size.
    pub(super) fn easier_ratio(&self) -> Option<f64> {
        Some(self.easier?.value / self.budget?)
    }
}

/// The rows of all series, sorted by role, situation, cause, measure, unit and size; rows that are equal in
/// these keep the order of the runs.
pub(super) fn rows_of_report(report: &Report) -> Vec<Row<'_>> {
    let context =
        Context { sizes: DesignSizeTable::of_report(report), on_processes: kinds_of_processes(report) };
    let mut rows: Vec<Row<'_>> = report.runs.iter().flat_map(|run| rows_of_run(run, &context)).collect();
    rows.sort_by_key(|row| (row.role, row.situation, row.cause, row.measure, row.per, row.size));
    rows
}

/// What the rows depend on in the report as a whole.
struct Context {
    sizes: DesignSizeTable,
    /// What was measured with processes.
    on_processes: BTreeSet<ComparedKind>,
}

fn kinds_of_processes(report: &Report) -> BTreeSet<ComparedKind> {
    let processes = report.runs.iter().filter(|run| run.method == Method::Processes);
    processes.flat_map(|run| &run.series).map(|series| compared_kind(series, series.quantity)).collect()
}

fn compared_kind(series: &Series, quantity: Quantity) -> ComparedKind {
    (series.role, series.cause, quantity, series.per)
}

fn rows_of_run<'a>(run: &'a Run, context: &Context) -> Vec<Row<'a>> {
    let mut rows = Vec::new();
    for series in &run.series {
        rows.push(new_row(run, series, Measure::One(series.quantity), &series.points, context));
        if let Some(points) = points_both_ways(run, series) {
            rows.push(new_row(run, series, Measure::BytesBothWays, &points, context));
        }
    }
    rows
}

fn new_row<'a>(
    run: &'a Run,
    series: &Series,
    measure: Measure,
    points: &[Point],
    context: &Context,
) -> Row<'a> {
    let fit = Fit::from_points(points);
    let estimate_at = |size| estimate(points, fit.as_ref().map_err(|error| *error), size);
    let design_sizes = context.sizes.design_sizes(series.size);
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
        harder: estimate_at(design_sizes.harder),
        easier: design_sizes.easier.and_then(estimate_at),
        budget: budget(series.role, measure, series.cause, series.per),
        mechanism: mechanism(series.role, series.cause),
        is_hollow_only: is_hollow_only(run, series, measure, context),
        fit,
    }
}

fn is_hollow_only(run: &Run, series: &Series, measure: Measure, context: &Context) -> bool {
    let is_on_processes = |quantity| context.on_processes.contains(&compared_kind(series, quantity));
    let is_compared = match measure {
        Measure::One(quantity) => is_on_processes(quantity),
        Measure::BytesBothWays => is_on_processes(Quantity::BytesIn) && is_on_processes(Quantity::BytesOut),
    };
    run.method == Method::Hollow && !is_compared
}

/// For the bytes in of a gateway's control: the sums with the bytes out of the same run, at the sizes that
/// both series have. None for other series.
fn points_both_ways(run: &Run, bytes_in: &Series) -> Option<Vec<Point>> {
    if bytes_in.role != Role::GatewayControl || bytes_in.quantity != Quantity::BytesIn {
        return None;
    }
    let bytes_out = run.series.iter().find(|other| is_matching_bytes_out(other, bytes_in))?;
    let sum = |point_in: &Point| {
        let point_out = bytes_out.points.iter().find(|other| other.size == point_in.size)?;
        Some(Point { size: point_in.size, value: point_in.value + point_out.value })
    };
    Some(bytes_in.points.iter().filter_map(sum).collect())
}

/// Whether a series counts the bytes out that belong to a series of bytes in.
fn is_matching_bytes_out(series: &Series, bytes_in: &Series) -> bool {
    let circumstances =
        |series: &Series| (series.role, series.situation, series.cause, series.per, series.size);
    series.quantity == Quantity::BytesOut && circumstances(series) == circumstances(bytes_in)
}
