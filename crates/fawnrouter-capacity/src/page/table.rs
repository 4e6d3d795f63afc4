//! Tables as Markdown text.

use std::fmt;

/// What stands where there is nothing to say.
pub(super) const NOTHING: &str = "-";

/// A table with a fixed number of columns.
pub(super) struct Table<const COLUMNS: usize> {
    head: [&'static str; COLUMNS],
    rows: Vec<[String; COLUMNS]>,
}

impl<const COLUMNS: usize> Table<COLUMNS> {
    pub(super) fn new(head: [&'static str; COLUMNS]) -> Self {
        Self { head, rows: Vec::new() }
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
        writeln!(out, "| {} |", self.head.join(" | "))?;
        writeln!(out, "|{}", " --- |".repeat(COLUMNS))?;
        for row in &self.rows {
            writeln!(out, "| {} |", row.each_ref().map(|cell| escaped(cell)).join(" | "))?;
        }
        Ok(())
    }
}

/// Text that cannot end its cell or row.
fn escaped(cell: &str) -> String {
    cell.replace('|', "\\|").replace(['\n', '\r'], " ")
}
