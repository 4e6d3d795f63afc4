//! What was measured of each role in each situation: the greatest ratio to a budget there, or that it was not.

use super::formatting::significant;
use super::labels;
use super::rows::Row;
use super::table::Table;
use crate::figures::{Role, Situation};

const NOT_MEASURED: &str = "not measured";

pub(super) fn section(rows: &[Row<'_>]) -> String {
    let table = by_role_and_situation(|role, situation| cell(role, situation, rows));
    format!(
        "## Situations by role\n\nThe greatest ratio to a budget, at the harder reading, and its run.\n\n{table}"
    )
}

/// A row for each role and a column for each situation.
pub(super) fn by_role_and_situation(cell: impl Fn(Role, Situation) -> String) -> Table<9> {
    let mut table = Table::new([
        "role",
        "quiet second",
        "ordinary day",
        "one machine gone",
        "a rack gone",
        "a zone gone and back",
        "regions apart and joined",
        "a service restarted",
        "bad configuration",
    ]);
    for role in labels::ROLES {
        let [quiet, day, machine, rack, zone, regions, service, bad] =
            labels::SITUATIONS.map(|situation| cell(role, situation));
        let name = labels::role(role).to_owned();
        table.push([name, quiet, day, machine, rack, zone, regions, service, bad]);
    }
    table
}

fn cell(role: Role, situation: Situation, rows: &[Row<'_>]) -> String {
    let measured: Vec<&Row<'_>> =
        rows.iter().filter(|row| row.role == role && row.situation == situation).collect();
    let with_ratio = measured.iter().filter_map(|row| Some((row.ratio()?, *row)));
    let worst = with_ratio.max_by(|(one, _), (other, _)| one.total_cmp(other));
    match (worst, measured.first()) {
        (Some((ratio, row)), _) => format!("{} ({})", significant(ratio), labels::cited(&row.run.id)),
        (None, Some(row)) => format!("no budget ({})", labels::cited(&row.run.id)),
        (None, None) => NOT_MEASURED.to_owned(),
    }
}
