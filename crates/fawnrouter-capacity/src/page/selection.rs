//! Selects the rows of the page. The full tables have all rows.
//!
//! The page answers what a role costs. A report has several hundred series, many of which measure the same
//! thing in another run, for another cause or over another size. Rows are left out by rule, never because of
//! their value.

use super::comparison::HOLLOW_RUN;
use super::rows::{Measure, Row};
use crate::figures::{Cause, Method, Per, Quantity, Role, Situation, Size};

/// The rows of the page.
pub(super) fn rows_of_page<'a>(rows: &[Row<'a>]) -> Vec<Row<'a>> {
    rows.iter().filter(|row| is_on_page(row, rows)).cloned().collect()
}

/// The rows that are compared with their budgets. The run of hollow gateways at the sizes of the processes is
/// not: it exists for the comparison with the processes only, and its many gateways in one process contend
/// for caches, which the gateways of a fleet do not.
pub(super) fn rows_compared_with_budget<'a>(rows: &[Row<'a>]) -> Vec<Row<'a>> {
    rows.iter().filter(|row| row.run.id != HOLLOW_RUN).cloned().collect()
}

fn is_on_page(row: &Row<'_>, rows: &[Row<'_>]) -> bool {
    is_hollow_outside_comparison(row)
        && is_without_failure(row)
        && !is_in_full_tables_only(row)
        && !is_part_of_a_sum(row, rows)
        && !is_superseded(row, rows)
}

/// Whether a row is of hollow gateways and not of the comparison with processes, which has its own table.
fn is_hollow_outside_comparison(row: &Row<'_>) -> bool {
    row.run.method == Method::Hollow && row.run.id != HOLLOW_RUN
}

/// Whether nothing breaks in the row's situation. Situations with failures have their own table.
fn is_without_failure(row: &Row<'_>) -> bool {
    matches!(row.situation, Situation::Quiet | Situation::OrdinaryDay)
}

fn is_in_full_tables_only(row: &Row<'_>) -> bool {
    let is_processor_time = row.measure == Measure::One(Quantity::ProcessorMicroseconds);
    let is_gateway = matches!(row.role, Role::GatewayCalls | Role::GatewayControl);
    let is_count_of_a_call = row.per == Per::Call && !is_processor_time;
    let is_over_other_gateways = is_gateway && row.size == Size::Gateways;
    let is_over_list_bytes = row.size == Size::ListBytes && !is_processor_time;
    let is_allocations = row.measure == Measure::One(Quantity::Allocations);
    is_allocations || is_count_of_a_call || is_over_other_gateways || is_over_list_bytes
}

/// Whether the same run has the sum over all causes, and the row's cause is not one that the requirements ask
/// for separately (list, configuration and tests of core switches).
fn is_part_of_a_sum(row: &Row<'_>, rows: &[Row<'_>]) -> bool {
    let is_required_separately =
        matches!(row.cause, Cause::All | Cause::List | Cause::Configuration | Cause::Probes);
    let is_sum =
        |other: &&Row<'_>| other.cause == Cause::All && other.run.id == row.run.id && is_alike(other, row);
    !is_required_separately && rows.iter().any(|other| is_sum(&other))
}

/// Whether another run measured the same figure up to a greater size, or up to the same size and comes
/// earlier in the report. Processor time depends on what a run holds fixed, so that its rows are kept for all
/// runs.
fn is_superseded(row: &Row<'_>, rows: &[Row<'_>]) -> bool {
    if row.measure == Measure::One(Quantity::ProcessorMicroseconds) {
        return false;
    }
    let greatest_size = |row: &Row<'_>| row.measured_sizes.map_or(0.0, |(_, greatest)| greatest);
    let alike: Vec<&Row<'_>> = rows
        .iter()
        .filter(|other| can_be_on_page(other) && other.cause == row.cause && is_alike(other, row))
        .collect();
    let furthest = alike.iter().map(|other| greatest_size(other)).fold(0.0, f64::max);
    let chosen = alike.iter().find(|other| greatest_size(other) == furthest);
    chosen.is_some_and(|chosen| chosen.run.id != row.run.id)
}

fn can_be_on_page(row: &Row<'_>) -> bool {
    is_hollow_outside_comparison(row) && !is_in_full_tables_only(row)
}

/// Whether two rows measure the same figure, possibly for different causes.
fn is_alike(one: &Row<'_>, other: &Row<'_>) -> bool {
    let kind = |row: &Row<'_>| (row.role, row.situation, row.measure, row.per, row.size);
    kind(one) == kind(other)
}
