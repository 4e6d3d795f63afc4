//! Markdown tables.

use std::fmt;

/// Content of a cell without a value.
pub(super) const NOTHING: &str = "-";

/// A table with a fixed number of columns.
pub(super) struct Table<const COLUMNS: usize> {
    headings: [&'static str; COLUMNS],
    rows: Vec<[String; COLUMNS]>,
}

impl<const COLUMNS: usize> Table<COLUMNS> {
    pub(super) fn new(headings: [&'static str; COLUMNS]) -> Self {
        Self { headings, rows: Vec::new() }
    }

    pub(super) fn push(&mut self, row: [String; COLUMNS]) {
        self.rows.push(row);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

impl<const COLUMNS: usize> fmt::Display for Table<COLUMNS> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "| {} |", self.headings.join(" | "))?;
        writeln!(out, "|{}", " --- |".repeat(COLUMNS))?;
        for row in &self.rows {
            writeln!(out, "| {} |", row.each_ref().map(|cell| escaped(cell)).join(" | "))?;
        }
        Ok(())
    }
}

/// Escapes text so that it cannot end its cell or row.
fn escaped(cell: &str) -> String {
    cell.replace('|', "\\|").replace(['\n', '\r'], " ")
}
