//! The section of each role: a table with a row for each series, and the requirements that nothing
//! implements.

use super::formatting::{amount, percent, significant, whole};
use super::labels;
use super::mechanisms::{UnmetRequirement, unmet_requirements};
use super::rows::Row;
use super::table::{NOTHING, Table};
use crate::figures::Role;
use crate::fit::{Estimate, Fit, FitError, Growth, Origin, Power};

pub(super) fn section(rows: &[Row<'_>]) -> String {
    labels::ROLES.map(|role| role_section(role, rows)).join("\n")
}

fn role_section(role: Role, rows: &[Row<'_>]) -> String {
    let mut table = Table::new([
        "situation",
        "what",
        "base + slope x size",
        "residual",
        "growth",
        "value at the design size",
        "budget",
        "ratio",
        "run",
        "carried by",
    ]);
    for row in rows.iter().filter(|row| row.role == role) {
        table.push(cells(row));
    }
    let heading = labels::capitalised(labels::role(role));
    let measured = if table.is_empty() {
        "Not measured: no run has a series of this role.\n".to_owned()
    } else {
        table.to_string()
    };
    let unmet = unmet_requirements();
    let unmet: String = unmet.iter().filter(|unmet| unmet.role == role).map(requirement_line).collect();
    let introduction = if unmet.is_empty() {
        ""
    } else {
        "\nWanted, and carried by nothing, so that there is nothing to measure:\n\n"
    };
    format!("## {heading}\n\n{measured}{introduction}{unmet}")
}

fn requirement_line(unmet: &UnmetRequirement) -> String {
    let situation = labels::situation(unmet.situation);
    let cases = significant(unmet.cases_per_day);
    format!("- {} ({situation}, {cases} cases a day)\n", unmet.requirement)
}

fn cells(row: &Row<'_>) -> [String; 10] {
    [
        labels::situation(row.situation).to_owned(),
        labels::figure(row.measure, row.cause, row.per),
        fitted_curve(row),
        residual(row),
        growth(&row.fit),
        design_values(row),
        row.budget.map_or(NOTHING.to_owned(), |budget| amount(row.measure, row.per, budget)),
        ratios(row.ratio(), row.easier_ratio()),
        cited_run(row),
        row.mechanism.unwrap_or("none").to_owned(),
    ]
}

/// The ratio at the harder design size and, in parentheses, at the easier one.
pub(super) fn ratios(harder: Option<f64>, easier: Option<f64>) -> String {
    match (harder, easier) {
        (Some(harder), Some(easier)) => format!("{} ({})", significant(harder), significant(easier)),
        (Some(harder), None) => significant(harder),
        (None, _) => NOTHING.to_owned(),
    }
}

/// The run, and a remark if no processes were measured for the same figure.
pub(super) fn cited_run(row: &Row<'_>) -> String {
    let run = labels::cited(&row.run.id);
    if row.is_hollow_only { format!("{run}, hollow alone") } else { run }
}

/// The fitted curve as a formula.
fn fitted_curve(row: &Row<'_>) -> String {
    let size = labels::size(row.size);
    let amount = |value| amount(row.measure, row.per, value);
    match &row.fit {
        Err(error) => format!("no fit: {error}"),
        Ok(Fit { growth: Growth::Superlinear(curve), .. }) => {
            let power = power(curve.power);
            formula(
                &amount(curve.base),
                curve.factor,
                &amount(curve.factor.abs()),
                &format!("({size})^{power}"),
            )
        }
        Ok(Fit { growth: Growth::Undetected(level), .. }) => amount(level.mean),
        Ok(fit) => formula(&amount(fit.line.base), fit.line.slope, &amount(fit.line.slope.abs()), size),
    }
}

/// The sum of the base and a multiple of the size; the magnitude is that of the slope, with its unit.
fn formula(base: &str, slope: f64, magnitude: &str, size: &str) -> String {
    if slope == 0.0 {
        return base.to_owned();
    }
    let sign = if slope < 0.0 { "-" } else { "+" };
    format!("{base} {sign} {magnitude} x {size}")
}

fn residual(row: &Row<'_>) -> String {
    row.fit.as_ref().map_or(NOTHING.to_owned(), |fit| {
        let residual = fit.residual();
        format!("{}, R2 {:.3}", percent(residual.relative_rms), residual.r_squared)
    })
}

/// The label of how a series grows with size.
pub(super) fn growth(fit: &Result<Fit, FitError>) -> String {
    match fit {
        Err(_) => NOTHING.to_owned(),
        Ok(Fit { growth: Growth::Undetected(_), .. }) => "none seen".to_owned(),
        Ok(Fit { growth: Growth::Linear, .. }) => "linear".to_owned(),
        Ok(Fit { growth: Growth::Sublinear, .. }) => "slower than linear".to_owned(),
        Ok(Fit { growth: Growth::Superlinear(curve), .. }) => format!("power {}", power(curve.power)),
    }
}

/// The exponent of a power.
pub(super) fn power(power: Power) -> &'static str {
    match power {
        Power::One => "1",
        Power::OneAndAHalf => "1.5",
        Power::Two => "2",
        Power::Three => "3",
    }
}

/// The estimates at the design sizes.
fn design_values(row: &Row<'_>) -> String {
    let sizes = row.design_sizes;
    let harder = row.harder.map(|estimate| value_at(row, estimate, sizes.harder));
    let easier = row.easier.zip(sizes.easier).map(|(estimate, size)| value_at(row, estimate, size));
    let values: Vec<String> = harder.into_iter().chain(easier).collect();
    if values.is_empty() { NOTHING.to_owned() } else { values.join("; ") }
}

fn value_at(row: &Row<'_>, estimate: Estimate, size: f64) -> String {
    let value = amount(row.measure, row.per, estimate.value);
    format!("{value} at {} ({})", whole(size), origin(row, estimate))
}

/// How an estimate of a row was obtained.
pub(super) fn origin(row: &Row<'_>, estimate: Estimate) -> String {
    match (estimate.origin, row.measured_sizes) {
        (Origin::Measured, _) => "measured".to_owned(),
        (Origin::WithinRange, _) => "within range".to_owned(),
        (Origin::BeyondRange, Some((smallest, greatest))) => {
            format!("extrapolated from {} to {}", whole(smallest), whole(greatest))
        }
        (Origin::BeyondRange, None) => "extrapolated".to_owned(),
    }
}
