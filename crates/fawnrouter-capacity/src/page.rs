//! Computes the tables of `docs/CAPACITY.md` and of `docs/capacity-rows.md` from a report: the same report
//! gives the same text, to the byte. The former has a selection of rows for most readers, the latter has a
//! row for each series.
//!
//! | module | what it does |
//! | --- | --- |
//! | `rows` | the row of a series: fit, value at the design size, budget, ratio |
//! | `design_sizes`, `budgets`, `frequency`, `mechanisms` | what a row is compared with: design size, budget, frequency of the situation, type that implements it |
//! | `selection` | which rows are on the page and which only in the full tables |
//! | `roles`, `situations`, `peaks`, `growth`, `depth`, `comparison`, `ranking`, `runs` | one section of the page each |
//! | `labels`, `formatting`, `table` | labels, numbers with units, Markdown tables |

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

/// The line in front of the generated tables.
pub const BEGIN_MARKER: &str = "<!-- capacity tables: begin -->";
/// The line behind the generated tables.
pub const END_MARKER: &str = "<!-- capacity tables: end -->";

/// Why a page cannot be computed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum PageError {
    /// A marker is missing or occurs more than once.
    #[error(
        "the page has the marker `{marker}` {found} times instead of once; the tables go between the two \
         markers"
    )]
    Marker {
        /// The marker.
        marker: &'static str,
        /// How often it occurs.
        found: usize,
    },
    /// The end marker is in front of the begin marker.
    #[error("the marker `{END_MARKER}` is in front of `{BEGIN_MARKER}`; swap them")]
    MarkersOutOfOrder,
    /// Two runs have the same id, so that a citation of a run is ambiguous.
    #[error(
        "two runs of the report have the id `{id}`; create the report anew with `fawnrouter-lab capacity`"
    )]
    DuplicateRunId {
        /// The id.
        id: String,
    },
}

/// The tables of the page.
///
/// # Errors
/// Where two runs have the same id.
pub fn render(report: &Report) -> Result<String, PageError> {
    check_run_ids(report)?;
    let rows = rows::rows_of_report(report);
    let shown = selection::rows_of_page(&rows);
    let assessed = selection::rows_compared_with_budget(&rows);
    let depths = depth::depths_of_report(report);
    let sections = [
        summary(report, rows.len(), shown.len()),
        ranking::section(&assessed, &depths),
        roles::section(&shown),
        situations::section(&assessed),
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
/// Where two runs have the same id.
pub fn render_rows(report: &Report) -> Result<String, PageError> {
    check_run_ids(report)?;
    let rows = rows::rows_of_report(report);
    let sections = [roles::section(&rows), growth::section(&rows, &rows), comparison::section(report)];
    Ok(sections.join("\n"))
}

/// Replaces the tables between the markers of the page by those of this report.
///
/// # Errors
/// Where a marker is missing or occurs more than once, the markers are in the wrong order, or two runs have
/// the same id.
pub fn update_page(page: &str, report: &Report) -> Result<String, PageError> {
    replace_tables(page, &render(report)?)
}

/// Replaces the tables between the markers of the page with the full tables.
///
/// # Errors
/// As [`update_page`].
pub fn update_rows_page(page: &str, report: &Report) -> Result<String, PageError> {
    replace_tables(page, &render_rows(report)?)
}

fn replace_tables(page: &str, tables: &str) -> Result<String, PageError> {
    let begin = marker_offset(BEGIN_MARKER, page)?;
    let end = marker_offset(END_MARKER, page)?;
    if end < begin {
        return Err(PageError::MarkersOutOfOrder);
    }
    let before = &page[..begin];
    let after = &page[end + END_MARKER.len()..];
    Ok(format!("{before}{BEGIN_MARKER}\n\n{tables}\n{END_MARKER}{after}"))
}

/// The offset of a marker that must occur exactly once.
fn marker_offset(marker: &'static str, page: &str) -> Result<usize, PageError> {
    let offsets: Vec<usize> = page.match_indices(marker).map(|(offset, _)| offset).collect();
    match offsets[..] {
        [offset] => Ok(offset),
        _ => Err(PageError::Marker { marker, found: offsets.len() }),
    }
}

fn check_run_ids(report: &Report) -> Result<(), PageError> {
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
        "Measured on a machine of {} cores and {memory} MiB, in {runs} runs. {shown} of {rows} rows stand \
         here; all of them, with every pair of hollow gateways and processes: \
         [capacity-rows.md](capacity-rows.md).\n",
        machine.cores
    )
}
