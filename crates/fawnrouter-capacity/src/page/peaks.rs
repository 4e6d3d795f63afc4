//! What a member of each role bears in each situation at the design size, whether it has a budget or not.

use super::formatting::amount;
use super::rows::{Measure, Row};
use super::situations::by_role_and_situation;
use super::table::NOTHING;
use crate::figures::{Cause, Per, Quantity, Role, Situation, Size};

pub(super) fn section(rows: &[Row<'_>]) -> String {
    let table = by_role_and_situation(|role, situation| cell(role, situation, rows));
    format!(
        "## Peaks by role\n\nMessages and bytes in and out together, from the slopes over the gateways of a fleet, at the \
         design size: the mean second of the mean member in the quiet second and on the ordinary day, the busiest second \
         of the busiest member where something breaks.\n\n{table}"
    )
}

fn cell(role: Role, situation: Situation, rows: &[Row<'_>]) -> String {
    let of_situation: Vec<&Row<'_>> = rows.iter().filter(|row| is_of(row, role, situation)).collect();
    let messages = sum(&of_situation, [Quantity::MessagesIn, Quantity::MessagesOut]);
    let bytes = sum(&of_situation, [Quantity::BytesIn, Quantity::BytesOut]);
    match (messages, bytes) {
        (Some(messages), Some(bytes)) => format!("{messages}, {bytes}"),
        (Some(one), None) | (None, Some(one)) => one,
        (None, None) => NOTHING.to_owned(),
    }
}

fn is_of(row: &Row<'_>, role: Role, situation: Situation) -> bool {
    let per = match situation {
        Situation::Quiet | Situation::OrdinaryDay => Per::Second,
        _ => Per::PeakSecond,
    };
    (row.role, row.situation, row.cause, row.per, row.size)
        == (role, situation, Cause::All, per, Size::Gateways)
}

fn sum(rows: &[&Row<'_>], quantities: [Quantity; 2]) -> Option<String> {
    let both = quantities.map(|quantity| value(rows, quantity));
    let [first, _] = quantities;
    let found: Vec<f64> = both.into_iter().flatten().collect();
    (!found.is_empty()).then(|| amount(Measure::One(first), Per::PeakSecond, found.iter().sum()))
}

fn value(rows: &[&Row<'_>], quantity: Quantity) -> Option<f64> {
    let row = rows.iter().find(|row| row.measure == Measure::One(quantity))?;
    row.harder.map(|estimate| estimate.value)
}
