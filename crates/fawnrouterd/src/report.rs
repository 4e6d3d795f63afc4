//! `fawnrouter report spill`: calls to other zones, as a table, as CSV, or as an SVG chart.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use fawnrouter_engine::zones::SpillCause;
use plotters::prelude::*;

use crate::ledger::Ledger;

/// Text of a cause in reports.
pub const fn cause_text(cause: SpillCause) -> &'static str {
    match cause {
        SpillCause::Pressed => "own zone pressed",
        SpillCause::Down => "own zone down",
        SpillCause::Cold => "own zone cold",
        SpillCause::NoSwitch => "no switch in own zone",
        SpillCause::Free => "costs nothing",
        SpillCause::BudgetOut => "budget out, not sent",
    }
}

fn class_name(ledger: &Ledger, class: u32) -> &str {
    ledger.classes.get(class as usize).map_or("(none)", String::as_str)
}

/// A table of the last `minutes`: one line per class, pair of zones, trunk group and cause. Below it, the
/// budgets.
pub fn table(ledger: &Ledger, minutes: u64) -> String {
    let last = ledger.minutes.last().map_or(0, |m| m.minute);
    let mut sums: BTreeMap<(&str, &str, u32, &str), (u64, f64)> = BTreeMap::new();
    for minute in ledger.minutes.iter().filter(|m| m.minute + minutes > last) {
        for (kind, cell) in &minute.totals {
            let key = (class_name(ledger, kind.class), &*kind.to, kind.trunk_group, cause_text(kind.cause));
            let sum = sums.entry(key).or_default();
            sum.0 += cell.calls;
            sum.1 += cell.money.to_units();
        }
    }
    let mut out = format!(
        "{:<20} {:<32} {:>11} {:<24} {:>8} {:>12}
",
        "class", "zones", "trunk group", "cause", "calls", "cost"
    );
    for ((class, to, group, cause), (calls, cost)) in &sums {
        let pair = format!("{} to {to}", ledger.own);
        let _ = writeln!(out, "{class:<20} {pair:<32} {group:>11} {cause:<24} {calls:>8} {cost:>12.2}");
    }
    for (budget, line) in ledger.account.budgets.iter().zip(&ledger.account.states) {
        let to = budget.to.as_deref().unwrap_or("all others");
        let limit = |n: Option<String>| n.unwrap_or_else(|| "any".into());
        let _ = writeln!(
            out,
            "spent here in the present {:?}, to {to}: {} calls, {:.2} cost; the zone's budget: {} calls, {} cost, \
             shared by {}",
            budget.period,
            line.spent.0,
            line.spent.1.to_units(),
            limit(budget.limit.calls.map(|n| n.to_string())),
            limit(budget.limit.money.map(|m| format!("{:.2}", m.to_units()))),
            budget.sharers
        );
    }
    out
}

/// Quotes a CSV field if necessary (RFC 4180).
fn csv_field(text: &str) -> String {
    if text.contains([',', '"', '\n', '\r']) {
        format!("\"{}\"", text.replace('"', "\"\""))
    } else {
        text.into()
    }
}

/// CSV with one record per minute, class, zone, trunk group and cause.
pub fn csv(ledger: &Ledger) -> String {
    let mut out = String::from("unix_s,class,from,to,trunk_group,cause,calls,cost\r\n");
    for minute in &ledger.minutes {
        for (kind, cell) in &minute.totals {
            let _ = write!(
                out,
                "{},{},{},{},{},{},{},{:.6}\r\n",
                minute.minute * 60,
                csv_field(class_name(ledger, kind.class)),
                csv_field(&ledger.own),
                csv_field(&kind.to),
                kind.trunk_group,
                cause_text(kind.cause),
                cell.calls,
                cell.money.to_units()
            );
        }
    }
    out
}

/// An SVG chart of the calls per minute to each zone.
///
/// # Errors
/// If the drawing library fails.
pub fn svg(ledger: &Ledger) -> Result<String, String> {
    let mut zones: BTreeMap<&str, BTreeMap<u64, u64>> = BTreeMap::new();
    for minute in &ledger.minutes {
        for (kind, cell) in &minute.totals {
            if kind.cause != SpillCause::BudgetOut {
                *zones.entry(&kind.to).or_default().entry(minute.minute).or_default() += cell.calls;
            }
        }
    }
    let last = ledger.minutes.last().map_or(1, |m| m.minute);
    let first = ledger.minutes.first().map_or(0, |m| m.minute).min(last);
    let most = zones.values().flat_map(BTreeMap::values).copied().max().unwrap_or(1).max(1);
    let mut out = String::new();
    {
        let area = SVGBackend::with_string(&mut out, (960, 420)).into_drawing_area();
        let fail = |error: &dyn std::fmt::Display| error.to_string();
        area.fill(&WHITE).map_err(|e| fail(&e))?;
        let span = (last - first + 1) as f64;
        let mut chart = ChartBuilder::on(&area)
            .caption(format!("calls a minute from {} to other zones", ledger.own), ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..span, 0.0..most as f64 * 1.05)
            .map_err(|e| fail(&e))?;
        chart.configure_mesh().x_desc("minutes").y_desc("calls a minute").draw().map_err(|e| fail(&e))?;
        for (n, (zone, calls)) in zones.iter().enumerate() {
            let color = Palette99::pick(n).to_rgba();
            let points =
                (first..=last).map(|m| ((m - first) as f64, calls.get(&m).copied().unwrap_or(0) as f64));
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))
                .map_err(|e| fail(&e))?
                .label(*zone)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
        }
        if !zones.is_empty() {
            chart.configure_series_labels().border_style(BLACK).draw().map_err(|e| fail(&e))?;
        }
        area.present().map_err(|e| fail(&e))?;
    }
    Ok(out)
}

#[cfg(test)]
mod tests {
    use super::*;
    use fawnrouter_engine::zones::{Money, SpillKey, SpillMinute, SpillTotal};

    fn ledger() -> Ledger {
        let cell = |calls| SpillTotal { calls, money: Money::from_units(calls as f64 * 1.5) };
        let kind = |class, to: &str, cause| SpillKey { class, to: to.into(), trunk_group: 5, cause };
        let minute = |n, calls| SpillMinute {
            minute: n,
            totals: vec![
                (kind(0, "north, far", SpillCause::Down), cell(calls)),
                (kind(7, "east", SpillCause::BudgetOut), cell(1)),
            ],
        };
        Ledger {
            own: "kochi".into(),
            classes: vec!["check".into()],
            minutes: vec![minute(100, 4), minute(101, 6)],
            ..Ledger::default()
        }
    }

    #[test]
    fn table_sums_the_requested_minutes() {
        let words = |text: &str| text.split_whitespace().collect::<Vec<_>>().join(" ");
        let all = words(&table(&ledger(), 60));
        assert!(all.contains("check kochi to north, far 5 own zone down 10 15.00"), "{all}");
        assert!(words(&table(&ledger(), 1)).contains("own zone down 6 9.00"));
    }

    #[test]
    fn csv_has_one_record_per_kind_and_quotes_where_needed() {
        let text = csv(&ledger());
        assert_eq!(text.lines().count(), 5);
        assert!(text.contains("6000,check,kochi,\"north, far\",5,own zone down,4,6.000000\r\n"), "{text}");
    }

    #[test]
    fn chart_shows_each_zone_that_received_calls_and_works_without_data() {
        let drawn = svg(&ledger()).expect("drawn");
        assert!(
            drawn.starts_with("<svg") && drawn.contains("north, far") && !drawn.contains("east"),
            "{drawn}"
        );
        assert!(svg(&Ledger::default()).expect("drawn").starts_with("<svg"));
    }
}
