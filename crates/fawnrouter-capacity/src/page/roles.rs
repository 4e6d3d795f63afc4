//! A section for each role: a table with one row a series, and what is wanted and carried by nothing.

use super::formatting::{amount, percent, significant, whole};
use super::labels;
use super::mechanisms::{Unserved, unserved};
use super::rows::Row;
use super::table::{NOTHING, Table};
use crate::figures::Role;
use crate::fit::{Estimate, Fit, FitError, Growth, Origin, Power};

pub(super) fn section(rows: &[Row<'_>]) -> String {
    labels::ROLES.map(|role| section_of(role, rows)).join("\n")
}

fn section_of(role: Role, rows: &[Row<'_>]) -> String {
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
    let wanted = unserved().iter().filter(|wanted| wanted.role == role).map(wanted_line).collect::<String>();
    let gap = if wanted.is_empty() {
        ""
    } else {
        "\nWanted, and carried by nothing, so that there is nothing to measure:\n\n"
    };
    format!("## {heading}\n\n{measured}{gap}{wanted}")
}

fn wanted_line(unserved: &Unserved) -> String {
    let situation = labels::situation(unserved.situation);
    let cases = significant(unserved.cases_per_day);
    format!("- {} ({situation}, {cases} cases a day)\n", unserved.wanted)
}

fn cells(row: &Row<'_>) -> [String; 10] {
    [
        labels::situation(row.situation).to_owned(),
        labels::what(row.measure, row.cause, row.per),
        fitted(row),
        residual(row),
        growth(&row.fit),
        values(row),
        row.budget.map_or(NOTHING.to_owned(), |budget| amount(row.measure, row.per, budget)),
        ratios(row.ratio(), row.easier_ratio()),
        cited_run(row),
        row.mechanism.unwrap_or("none").to_owned(),
    ]
}

/// The ratio at the harder reading and, behind it, at the easier one.
pub(super) fn ratios(harder: Option<f64>, easier: Option<f64>) -> String {
    match (harder, easier) {
        (Some(harder), Some(easier)) => format!("{} ({})", significant(harder), significant(easier)),
        (Some(harder), None) => significant(harder),
        (None, _) => NOTHING.to_owned(),
    }
}

/// The run, and whether its figure rests on hollow gateways alone.
pub(super) fn cited_run(row: &Row<'_>) -> String {
    let run = labels::cited(&row.run.id);
    if row.hollow_alone { format!("{run}, hollow alone") } else { run }
}

fn fitted(row: &Row<'_>) -> String {
    let size = labels::size(row.size);
    let amount = |value| amount(row.measure, row.per, value);
    match &row.fit {
        Err(error) => format!("no fit: {error}"),
        Ok(Fit { growth: Growth::Superlinear(curve), .. }) => {
            let power = power(curve.power);
            sum(&amount(curve.base), curve.factor, &amount(curve.factor.abs()), &format!("({size})^{power}"))
        }
        Ok(Fit { growth: Growth::Undetected(level), .. }) => amount(level.mean),
        Ok(fit) => sum(&amount(fit.line.base), fit.line.slope, &amount(fit.line.slope.abs()), size),
    }
}

fn sum(base: &str, slope: f64, magnitude: &str, size: &str) -> String {
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

/// How a series grows, in words.
pub(super) fn growth(fit: &Result<Fit, FitError>) -> String {
    match fit {
        Err(_) => NOTHING.to_owned(),
        Ok(Fit { growth: Growth::Undetected(_), .. }) => "none seen".to_owned(),
        Ok(Fit { growth: Growth::Linear, .. }) => "linear".to_owned(),
        Ok(Fit { growth: Growth::Sublinear, .. }) => "slower than linear".to_owned(),
        Ok(Fit { growth: Growth::Superlinear(curve), .. }) => format!("power {}", power(curve.power)),
    }
}

/// A power as a number.
pub(super) fn power(power: Power) -> &'static str {
    match power {
        Power::One => "1",
        Power::OneAndAHalf => "1.5",
        Power::Two => "2",
        Power::Three => "3",
    }
}

fn values(row: &Row<'_>) -> String {
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

/// Where an estimate of a row comes from.
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
