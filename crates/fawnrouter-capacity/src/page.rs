//! The tables of `docs/CAPACITY.md` and of `docs/capacity-rows.md`, computed from a report: the same report gives the same
//! text, to the byte. The former has the rows that a reader looks for first, the latter has one for each series.
//!
//! | module | what it does |
//! | --- | --- |
//! | `rows` | one row a series: fit, value at the design size, budget, ratio |
//! | `design_sizes`, `budgets`, `frequency`, `mechanisms` | what a row is held against: design size, budget, how often its case comes, what carries it |
//! | `selection` | which rows stand on the page and which in the full tables alone |
//! | `roles`, `situations`, `peaks`, `growth`, `depth`, `comparison`, `ranking`, `runs` | a section of the page each |
//! | `labels`, `formatting`, `table` | names, figures with units, tables as text |

mod budgets;
mod comparison;
mod depth;
mod design_sizes;
mod formatting;
mod frequency;
mod growth;
mod labels;
mod mechanisms;
mod peaks;
mod ranking;
mod roles;
mod rows;
mod runs;
mod selection;
mod situations;
mod table;

use std::collections::BTreeSet;

use crate::figures::Report;

/// The line before the tables.
pub const BEGIN_MARKER: &str = "<!-- capacity tables: begin -->";
/// The line behind the tables.
pub const END_MARKER: &str = "<!-- capacity tables: end -->";

/// Why a page cannot be made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum PageError {
    /// A marker is missing, or is there more than once.
    #[error(
        "the page has {found} of the marker `{marker}`; put it there once, the tables stand between the two"
    )]
    Marker {
        /// The marker.
        marker: &'static str,
        /// How many of it there are.
        found: usize,
    },
    /// The end marker stands before the begin marker.
    #[error("the marker `{END_MARKER}` stands before `{BEGIN_MARKER}`; turn them round")]
    MarkersOutOfOrder,
    /// Two runs have one name, so that a figure cannot say which it is from.
    #[error("two runs of the report are named `{id}`; write it anew with `fawnrouter-lab capacity`")]
    DuplicateRunId {
        /// The name.
        id: String,
    },
}

/// The tables of the page.
///
/// # Errors
/// Where two runs have one name.
pub fn render(report: &Report) -> Result<String, PageError> {
    check_run_names(report)?;
    let rows = rows::of_report(report);
    let shown = selection::shown(&rows);
    let judged = selection::judged(&rows);
    let depths = depth::of_report(report);
    let sections = [
        summary(report, rows.len(), shown.len()),
        ranking::section(&judged, &depths),
        roles::section(&shown),
        situations::section(&judged),
        peaks::section(&rows),
        growth::section(&rows, &shown),
        depth::section(&depths),
        comparison::summary(report),
        runs::section(report),
    ];
    Ok(sections.join("\n"))
}

/// The full tables: one row for each series.
///
/// # Errors
/// Where two runs have one name.
pub fn render_rows(report: &Report) -> Result<String, PageError> {
    check_run_names(report)?;
    let rows = rows::of_report(report);
    let sections = [roles::section(&rows), growth::section(&rows, &rows), comparison::section(report)];
    Ok(sections.join("\n"))
}

/// The page with the tables of this report in place of those that stand in it.
///
/// # Errors
/// Where a marker is missing or there more than once, or two runs have one name.
pub fn update_page(page: &str, report: &Report) -> Result<String, PageError> {
    replace_tables(page, &render(report)?)
}

/// The page of the full tables, likewise.
///
/// # Errors
/// As [`update_page`].
pub fn update_rows_page(page: &str, report: &Report) -> Result<String, PageError> {
    replace_tables(page, &render_rows(report)?)
}

fn replace_tables(page: &str, tables: &str) -> Result<String, PageError> {
    let begin = only_place_of(BEGIN_MARKER, page)?;
    let end = only_place_of(END_MARKER, page)?;
    if end < begin {
        return Err(PageError::MarkersOutOfOrder);
    }
    let before = &page[..begin];
    let behind = &page[end + END_MARKER.len()..];
    Ok(format!("{before}{BEGIN_MARKER}\n\n{tables}\n{END_MARKER}{behind}"))
}

fn only_place_of(marker: &'static str, page: &str) -> Result<usize, PageError> {
    let places: Vec<usize> = page.match_indices(marker).map(|(place, _)| place).collect();
    match places[..] {
        [place] => Ok(place),
        _ => Err(PageError::Marker { marker, found: places.len() }),
    }
}

fn check_run_names(report: &Report) -> Result<(), PageError> {
    let mut seen = BTreeSet::new();
    match report.runs.iter().find(|run| !seen.insert(run.id.as_str())) {
        Some(run) => Err(PageError::DuplicateRunId { id: run.id.clone() }),
        None => Ok(()),
    }
}

fn summary(report: &Report, rows: usize, shown: usize) -> String {
    let machine = &report.machine;
    let memory = formatting::whole(machine.memory_mib as f64);
    let runs = report.runs.len();
    format!(
        "Measured on a machine of {} cores and {memory} MiB, in {runs} runs. {shown} of {rows} rows stand here; all of them, \
         with every pair of hollow gateways and processes: [capacity-rows.md](capacity-rows.md).\n",
        machine.cores
    )
}
