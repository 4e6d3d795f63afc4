//! Which rows stand on the page itself. The others are in the full tables.
//!
//! The page is for a reader who wants to know what a role costs; a report has several hundred series, of which many say
//! the same of another run, another cause or another size. What is left out is left out by rule and not by value.

use super::comparison::HOLLOW_RUN;
use super::rows::{Measure, Row};
use crate::figures::{Cause, Method, Per, Quantity, Role, Situation, Size};

/// The rows that stand on the page.
pub(super) fn shown<'a>(rows: &[Row<'a>]) -> Vec<Row<'a>> {
    rows.iter().filter(|row| is_shown(row, rows)).cloned().collect()
}

/// The rows that are held against their budgets. The hollow counterpart of the processes is not: it is there for the
/// comparison alone, and its many gateways in one process contend for caches, which no gateway of a fleet does.
pub(super) fn judged<'a>(rows: &[Row<'a>]) -> Vec<Row<'a>> {
    rows.iter().filter(|row| row.run.id != HOLLOW_RUN).cloned().collect()
}

fn is_shown(row: &Row<'_>, rows: &[Row<'_>]) -> bool {
    is_of_hollow_gateways(row)
        && is_of_every_day(row)
        && !is_left_to_the_full_tables(row)
        && !is_part_of_a_sum(row, rows)
        && !is_measured_further_elsewhere(row, rows)
}

/// Processes and their hollow counterparts have a table of their own.
fn is_of_hollow_gateways(row: &Row<'_>) -> bool {
    row.run.method == Method::Hollow && row.run.id != HOLLOW_RUN
}

/// What breaks has a table of its own.
fn is_of_every_day(row: &Row<'_>) -> bool {
    matches!(row.situation, Situation::Quiet | Situation::OrdinaryDay)
}

fn is_left_to_the_full_tables(row: &Row<'_>) -> bool {
    let is_processor = row.measure == Measure::One(Quantity::ProcessorMicroseconds);
    let is_of_a_gateway = matches!(row.role, Role::GatewayCalls | Role::GatewayControl);
    let is_count_of_a_call = row.per == Per::Call && !is_processor;
    let is_over_other_gateways = is_of_a_gateway && row.size == Size::Gateways;
    let is_over_list_bytes = row.size == Size::ListBytes && !is_processor;
    let is_allocations = row.measure == Measure::One(Quantity::Allocations);
    is_allocations || is_count_of_a_call || is_over_other_gateways || is_over_list_bytes
}

/// One cause of several, where the same run has the sum, and the cause is not one that the letter asks for by itself.
fn is_part_of_a_sum(row: &Row<'_>, rows: &[Row<'_>]) -> bool {
    let is_asked_for = matches!(row.cause, Cause::All | Cause::List | Cause::Configuration | Cause::Probes);
    let is_sum =
        |other: &&Row<'_>| other.cause == Cause::All && other.run.id == row.run.id && is_alike(other, row);
    !is_asked_for && rows.iter().any(|other| is_sum(&other))
}

/// Another run has the same over a range that reaches further, or as far and stands before it. Processor time depends
/// on what a run holds fixed: all runs of it stand.
fn is_measured_further_elsewhere(row: &Row<'_>, rows: &[Row<'_>]) -> bool {
    if row.measure == Measure::One(Quantity::ProcessorMicroseconds) {
        return false;
    }
    let greatest = |row: &Row<'_>| row.measured_sizes.map_or(0.0, |(_, greatest)| greatest);
    let like: Vec<&Row<'_>> = rows
        .iter()
        .filter(|other| is_shown_at_all(other) && other.cause == row.cause && is_alike(other, row))
        .collect();
    let furthest = like.iter().map(|other| greatest(other)).fold(0.0, f64::max);
    let chosen = like.iter().find(|other| greatest(other) == furthest);
    chosen.is_some_and(|chosen| chosen.run.id != row.run.id)
}

fn is_shown_at_all(row: &Row<'_>) -> bool {
    is_of_hollow_gateways(row) && !is_left_to_the_full_tables(row)
}

fn is_alike(one: &Row<'_>, other: &Row<'_>) -> bool {
    let kind = |row: &Row<'_>| (row.role, row.situation, row.measure, row.per, row.size);
    kind(one) == kind(other)
}
