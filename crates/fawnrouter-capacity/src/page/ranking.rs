//! Ranks the requirements that nothing implements and the costs over their budgets, weighted by how often the
//! case occurs.

use super::depth::RunDepths;
use super::formatting::significant;
use super::frequency::{cases_per_day, situations_per_day};
use super::labels;
use super::mechanisms::{
    MissingWork, UnmetRequirement, mechanism, missing_work, missing_work_of_row, unmet_requirements,
};
use super::roles::{cited_run, origin, ratios};
use super::rows::Row;
use super::table::{NOTHING, Table};
use crate::design;
use crate::figures::{Cause, Role, Situation};
use crate::fit::Origin;

/// Rows in the table; of further ones only the number is given.
const MAX_TABLE_ROWS: usize = 15;

/// How far a candidate is from its target.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Shortfall {
    /// Nothing implements the requirement.
    NotImplemented,
    /// The value divided by the budget.
    Ratio(f64),
}

/// One row of the ranking.
struct Candidate {
    role: Role,
    situation: Situation,
    what: String,
    shortfall: Shortfall,
    /// The ratio at the easier design size.
    easier_ratio: Option<f64>,
    /// How the value was obtained, as text.
    origin: String,
    /// Whether the value lies beyond the measured sizes.
    is_extrapolated: bool,
    cases_per_day: f64,
    run: String,
    mechanism: Option<&'static str>,
    missing: MissingWork,
}

/// The sort key of a candidate.
struct Weight {
    is_not_implemented: bool,
    /// Cases a day, multiplied by the ratio if there is one.
    value: f64,
}

impl Candidate {
    fn from_requirement(unmet: &UnmetRequirement) -> Self {
        Self {
            role: unmet.role,
            situation: unmet.situation,
            what: unmet.requirement.to_owned(),
            shortfall: Shortfall::NotImplemented,
            easier_ratio: None,
            origin: NOTHING.to_owned(),
            is_extrapolated: false,
            cases_per_day: unmet.cases_per_day,
            run: NOTHING.to_owned(),
            mechanism: None,
            missing: unmet.missing,
        }
    }

    /// A candidate from a row that is over its budget, or that has a budget and no mechanism; none from other
    /// rows.
    fn from_row(row: &Row<'_>) -> Option<Self> {
        let ratio = row.ratio().filter(|ratio| *ratio > 1.0 || row.mechanism.is_none())?;
        Some(Self {
            role: row.role,
            situation: row.situation,
            what: labels::figure(row.measure, row.cause, row.per),
            shortfall: Shortfall::Ratio(ratio),
            easier_ratio: row.easier_ratio(),
            origin: row.harder.map_or(NOTHING.to_owned(), |estimate| origin(row, estimate)),
            is_extrapolated: row.harder.is_some_and(|estimate| estimate.origin == Origin::BeyondRange),
            cases_per_day: cases_per_day(row.situation, row.cause, row.per),
            run: cited_run(row),
            mechanism: row.mechanism,
            missing: missing_work_of_row(row),
        })
    }

    /// A candidate from a run whose delay at the design depth is over the limit; none from other runs or
    /// baselines.
    fn from_depths(depths: &RunDepths<'_>) -> Option<Self> {
        let ratio = depths.whole_call_ratio().filter(|ratio| *ratio > 1.0 && !depths.is_baseline())?;
        Some(Self {
            role: Role::GatewayCalls,
            situation: Situation::OrdinaryDay,
            what: format!("delay added by {} hops, 99 in 100 calls", design::DEPTH),
            shortfall: Shortfall::Ratio(ratio),
            easier_ratio: depths.per_hop_ratio(),
            origin: "convolved".to_owned(),
            is_extrapolated: false,
            cases_per_day: situations_per_day(Situation::OrdinaryDay),
            run: labels::cited(&depths.run.id),
            mechanism: mechanism(Role::GatewayCalls, Cause::Calls),
            missing: missing_work(Role::GatewayCalls, Cause::Calls),
        })
    }

    /// The sort key, highest first: what is not implemented comes before what has a ratio.
    fn weight(&self) -> Weight {
        match self.shortfall {
            Shortfall::NotImplemented => Weight { is_not_implemented: true, value: self.cases_per_day },
            Shortfall::Ratio(ratio) => {
                Weight { is_not_implemented: false, value: ratio * self.cases_per_day }
            }
        }
    }

    fn cells(&self) -> [String; 10] {
        let (ratio, weight) = match self.shortfall {
            Shortfall::NotImplemented => ("not done".to_owned(), NOTHING.to_owned()),
            Shortfall::Ratio(ratio) => {
                (ratios(Some(ratio), self.easier_ratio), significant(self.weight().value))
            }
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
            self.missing.label().to_owned(),
            self.run.clone(),
        ]
    }
}

pub(super) fn section(rows: &[Row<'_>], depths: &[RunDepths<'_>]) -> String {
    let candidates = ranked_candidates(rows, depths);
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
    for candidate in candidates.iter().take(MAX_TABLE_ROWS) {
        table.push(candidate.cells());
    }
    let verdict = verdict_text(&candidates);
    let more = candidates.len().saturating_sub(MAX_TABLE_ROWS);
    let others =
        if more == 0 { String::new() } else { format!("\n{more} more rows have a smaller weight.\n") };
    format!("## What is missing first\n\n{verdict}\n{table}{others}")
}

/// All candidates, those with the greatest weight first.
fn ranked_candidates(rows: &[Row<'_>], depths: &[RunDepths<'_>]) -> Vec<Candidate> {
    let unmet = unmet_requirements();
    let from_requirements = unmet.iter().map(Candidate::from_requirement);
    let from_rows = rows.iter().filter_map(Candidate::from_row);
    let from_depths = depths.iter().filter_map(Candidate::from_depths);
    let mut candidates: Vec<Candidate> = from_requirements.chain(from_rows).chain(from_depths).collect();
    candidates.sort_by(|one, other| {
        let (one, other) = (one.weight(), other.weight());
        let by_kind = other.is_not_implemented.cmp(&one.is_not_implemented);
        by_kind.then(other.value.total_cmp(&one.value))
    });
    candidates
}

/// The first candidate, and the first one with a measured ratio, as text.
fn verdict_text(candidates: &[Candidate]) -> String {
    let first = candidates.first();
    let is_measured = |candidate: &&Candidate| {
        candidate.shortfall != Shortfall::NotImplemented && !candidate.is_extrapolated
    };
    let first_measured = candidates.iter().find(is_measured);
    let missing_first =
        first.map_or("Nothing is over its budget or carried by nothing.\n".to_owned(), |first| {
            format!(
                "Missing first: **{}** ({}: {}).\n",
                first.missing.label(),
                labels::role(first.role),
                first.what
            )
        });
    let measured_first =
        first_measured.map_or("No measured figure is over its budget.\n".to_owned(), |first| {
            let role = labels::role(first.role);
            format!(
                "First by a measured ratio: **{}** ({role}: {}, {}).\n",
                first.missing.label(),
                first.what,
                first.run
            )
        });
    format!("{missing_first}{measured_first}")
}
