//! How series grow with size: which are linear, which grow by a power, and from which size the power
//! dominates.

use super::formatting::{amount, percent, significant};
use super::labels;
use super::roles;
use super::rows::Row;
use super::table::{NOTHING, Table};
use crate::figures::Size;
use crate::fit::{Curve, Fit, Growth};

/// The number of rows by kind of growth, and the shown rows that grow by a power.
pub(super) fn section(rows: &[Row<'_>], shown: &[Row<'_>]) -> String {
    format!("## Growth\n\n{}\n{}", growth_counts(rows), power_rows(shown))
}

/// The table of the number of series by kind of growth, for each size.
fn growth_counts(rows: &[Row<'_>]) -> String {
    let mut table = Table::new(["size", "none seen", "linear", "slower than linear", "by a power", "no fit"]);
    for size in labels::SIZES {
        let rows_of_size: Vec<&Row<'_>> = rows.iter().filter(|row| row.size == size).collect();
        table.push(count_cells(size, &rows_of_size));
    }
    table.to_string()
}

fn count_cells(size: Size, rows: &[&Row<'_>]) -> [String; 6] {
    let count = |is_counted: fn(&Growth) -> bool| {
        let matches = |row: &&&Row<'_>| row.fit.as_ref().is_ok_and(|fit| is_counted(&fit.growth));
        rows.iter().filter(matches).count().to_string()
    };
    [
        labels::size(size).to_owned(),
        count(|growth| matches!(growth, Growth::Undetected(_))),
        count(|growth| matches!(growth, Growth::Linear)),
        count(|growth| matches!(growth, Growth::Sublinear)),
        count(|growth| matches!(growth, Growth::Superlinear(_))),
        rows.iter().filter(|row| row.fit.is_err()).count().to_string(),
    ]
}

/// The table of the series that grow by a power above 1.
fn power_rows(rows: &[Row<'_>]) -> String {
    let mut table = Table::new([
        "role",
        "what",
        "situation",
        "size",
        "growth",
        "exponent",
        "bend",
        "residual of the line",
        "residual of the power",
        "hurts from",
        "value there",
        "run",
    ]);
    for row in rows {
        if let Ok(fit) = &row.fit
            && let Growth::Superlinear(curve) = &fit.growth
        {
            table.push(power_cells(row, fit, curve));
        }
    }
    if table.is_empty() {
        return "No series grows by a power above 1.\n".to_owned();
    }
    format!("The series that grow by a power:\n\n{table}")
}

fn power_cells(row: &Row<'_>, fit: &Fit, curve: &Curve) -> [String; 12] {
    let value_at = |size| amount(row.measure, row.per, curve.value_at(size).max(0.0));
    [
        labels::role(row.role).to_owned(),
        labels::figure(row.measure, row.cause, row.per),
        labels::situation(row.situation).to_owned(),
        labels::size(row.size).to_owned(),
        roles::growth(&row.fit),
        fit.exponent.map_or(NOTHING.to_owned(), |exponent| format!("{exponent:.2}")),
        percent(fit.curvature),
        percent(fit.line.residual.relative_rms),
        percent(curve.residual.relative_rms),
        curve.dominant_from.map_or(NOTHING.to_owned(), significant),
        curve.dominant_from.map_or(NOTHING.to_owned(), value_at),
        roles::cited_run(row),
    ]
}
