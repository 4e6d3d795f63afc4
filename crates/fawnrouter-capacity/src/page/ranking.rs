//! What is over its budget or carried by nothing, weighed by how often its case comes: the first is missing first.

use super::depth::RunDepths;
use super::formatting::significant;
use super::frequency::{cases_per_day, situations_per_day};
use super::labels;
use super::mechanisms::{Missing, Unserved, mechanism, missing, missing_of_row, unserved};
use super::roles::{cited_run, origin, ratios};
use super::rows::Row;
use super::table::{NOTHING, Table};
use crate::design;
use crate::figures::{Cause, Role, Situation};
use crate::fit::Origin;

/// Rows that the table shows; the number of the others is told.
const SHOWN: usize = 15;

/// How far something is from what is wanted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Distance {
    /// Nothing carries it: it is not done at all.
    Unserved,
    /// The value over the budget.
    Ratio(f64),
}

/// One row of the ranking.
struct Candidate {
    role: Role,
    situation: Situation,
    what: String,
    distance: Distance,
    easier_ratio: Option<f64>,
    /// Where the value comes from.
    origin: String,
    /// The value lies beyond what was measured.
    is_extrapolated: bool,
    cases_per_day: f64,
    run: String,
    mechanism: Option<&'static str>,
    missing: Missing,
}

impl Candidate {
    fn of_unserved(unserved: &Unserved) -> Self {
        Self {
            role: unserved.role,
            situation: unserved.situation,
            what: unserved.wanted.to_owned(),
            distance: Distance::Unserved,
            easier_ratio: None,
            origin: NOTHING.to_owned(),
            is_extrapolated: false,
            cases_per_day: unserved.cases_per_day,
            run: NOTHING.to_owned(),
            mechanism: None,
            missing: unserved.missing,
        }
    }

    /// Of a row that is over its budget, or has a budget and no mechanism.
    fn of_row(row: &Row<'_>) -> Option<Self> {
        let ratio = row.ratio().filter(|ratio| *ratio > 1.0 || row.mechanism.is_none())?;
        Some(Self {
            role: row.role,
            situation: row.situation,
            what: labels::what(row.measure, row.cause, row.per),
            distance: Distance::Ratio(ratio),
            easier_ratio: row.easier_ratio(),
            origin: row.harder.map_or(NOTHING.to_owned(), |estimate| origin(row, estimate)),
            is_extrapolated: row.harder.is_some_and(|estimate| estimate.origin == Origin::BeyondRange),
            cases_per_day: cases_per_day(row.situation, row.cause, row.per),
            run: cited_run(row),
            mechanism: row.mechanism,
            missing: missing_of_row(row),
        })
    }

    /// Of a run whose deepest calls take too long.
    fn of_depths(depths: &RunDepths<'_>) -> Option<Self> {
        let ratio = depths.whole_call_ratio().filter(|ratio| *ratio > 1.0 && !depths.is_baseline())?;
        Some(Self {
            role: Role::GatewayCalls,
            situation: Situation::OrdinaryDay,
            what: format!("delay added by {} hops, 99 in 100 calls", design::DEPTH),
            distance: Distance::Ratio(ratio),
            easier_ratio: depths.per_hop_ratio(),
            origin: "convolved".to_owned(),
            is_extrapolated: false,
            cases_per_day: situations_per_day(Situation::OrdinaryDay),
            run: labels::cited(&depths.run.id),
            mechanism: mechanism(Role::GatewayCalls, Cause::Calls),
            missing: missing(Role::GatewayCalls, Cause::Calls),
        })
    }

    /// What the table is ordered by: what is not done at all is before what has a ratio.
    fn weight(&self) -> (bool, f64) {
        match self.distance {
            Distance::Unserved => (true, self.cases_per_day),
            Distance::Ratio(ratio) => (false, ratio * self.cases_per_day),
        }
    }

    fn cells(&self) -> [String; 10] {
        let (ratio, weight) = match self.distance {
            Distance::Unserved => ("not done".to_owned(), NOTHING.to_owned()),
            Distance::Ratio(ratio) => (ratios(Some(ratio), self.easier_ratio), significant(self.weight().1)),
        };
        [
            labels::role(self.role).to_owned(),
            self.what.clone(),
            labels::situation(self.situation).to_owned(),
            ratio,
            self.origin.clone(),
            significant(self.cases_per_day),
            weight,
            self.mechanism.unwrap_or("none").to_owned(),
            self.missing.words().to_owned(),
            self.run.clone(),
        ]
    }
}

pub(super) fn section(rows: &[Row<'_>], depths: &[RunDepths<'_>]) -> String {
    let candidates = ranked(rows, depths);
    let mut table = Table::new([
        "role",
        "what",
        "situation",
        "ratio",
        "value",
        "cases a day",
        "ratio x cases",
        "carried by",
        "missing",
        "run",
    ]);
    for candidate in candidates.iter().take(SHOWN) {
        table.push(candidate.cells());
    }
    let verdict = verdict(&candidates);
    let more = candidates.len().saturating_sub(SHOWN);
    let others =
        if more == 0 { String::new() } else { format!("\n{more} more rows have a smaller weight.\n") };
    format!("## What is missing first\n\n{verdict}\n{table}{others}")
}

fn ranked(rows: &[Row<'_>], depths: &[RunDepths<'_>]) -> Vec<Candidate> {
    let not_served = unserved();
    let of_wanted = not_served.iter().map(Candidate::of_unserved);
    let of_rows = rows.iter().filter_map(Candidate::of_row);
    let of_depths = depths.iter().filter_map(Candidate::of_depths);
    let mut candidates: Vec<Candidate> = of_wanted.chain(of_rows).chain(of_depths).collect();
    candidates.sort_by(|one, other| {
        let (one, other) = (one.weight(), other.weight());
        other.0.cmp(&one.0).then(other.1.total_cmp(&one.1))
    });
    candidates
}

fn verdict(candidates: &[Candidate]) -> String {
    let first = candidates.first();
    let is_measured =
        |candidate: &&Candidate| candidate.distance != Distance::Unserved && !candidate.is_extrapolated;
    let first_measured = candidates.iter().find(is_measured);
    let missing_first =
        first.map_or("Nothing is over its budget or carried by nothing.\n".to_owned(), |first| {
            format!(
                "Missing first: **{}** ({}: {}).\n",
                first.missing.words(),
                labels::role(first.role),
                first.what
            )
        });
    let measured_first =
        first_measured.map_or("No measured figure is over its budget.\n".to_owned(), |first| {
            let role = labels::role(first.role);
            format!(
                "First by a measured ratio: **{}** ({role}: {}, {}).\n",
                first.missing.words(),
                first.what,
                first.run
            )
        });
    format!("{missing_first}{measured_first}")
}
