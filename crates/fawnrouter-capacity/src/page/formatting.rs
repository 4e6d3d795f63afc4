//! Figures with units, in as many digits as they deserve.

use super::rows::Measure;
use crate::figures::{Per, Quantity};

/// Digits behind the first one that counts.
const FURTHER_DIGITS: i32 = 2;
/// Below this a figure is what rounding has left over, and is shown as 0.
const SMALLEST_SHOWN: f64 = 1e-12;
/// Below this a figure is shown with a power of ten.
const SMALLEST_IN_DECIMALS: f64 = 1e-4;
/// A figure this close to a whole one, as a share of it, is whole.
const ROUNDING: f64 = 1e-9;
/// Microseconds of processor time a second that are 1% of a core.
const MICROSECONDS_OF_A_PERCENT: f64 = 10_000.0;

/// A unit and how many of the stored unit it is.
struct Unit {
    name: &'static str,
    size: f64,
}

const TIMES: [Unit; 3] =
    [Unit { name: "s", size: 1e6 }, Unit { name: "ms", size: 1e3 }, Unit { name: "us", size: 1.0 }];
const TRAFFIC: [Unit; 4] = [
    Unit { name: "GB", size: 1e9 },
    Unit { name: "MB", size: 1e6 },
    Unit { name: "KB", size: 1e3 },
    Unit { name: "B", size: 1.0 },
];
const MEMORY: [Unit; 4] = [
    Unit { name: "GiB", size: 1024.0 * 1024.0 * 1024.0 },
    Unit { name: "MiB", size: 1024.0 * 1024.0 },
    Unit { name: "KiB", size: 1024.0 },
    Unit { name: "B", size: 1.0 },
];

/// A figure with three digits that count; whole ones below 1,000 as they are.
pub(super) fn significant(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude < SMALLEST_SHOWN {
        return "0".to_owned();
    }
    let is_whole = (value - value.round()).abs() <= ROUNDING * magnitude;
    if magnitude < 1_000.0 && is_whole {
        return whole(value);
    }
    let scientific = format!("{value:.2e}");
    if magnitude < SMALLEST_IN_DECIMALS {
        return scientific;
    }
    let exponent = scientific.split_once('e').and_then(|(_, exponent)| exponent.parse::<i32>().ok());
    match usize::try_from(FURTHER_DIGITS - exponent.unwrap_or(0)) {
        Ok(decimals) => format!("{value:.decimals$}"),
        Err(_) => whole(scientific.parse().unwrap_or(value)),
    }
}

/// A figure without decimals, its thousands apart.
pub(super) fn whole(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0.0 { format!("-{text}") } else { text }
}

/// A share as a percentage.
pub(super) fn percent(share: f64) -> String {
    format!("{}%", significant(share * 100.0))
}

/// A time, from nanoseconds.
pub(super) fn nanoseconds(value: u64) -> String {
    in_units(value as f64 / 1e3, &TIMES)
}

/// A measured figure with its unit.
pub(super) fn amount(measure: Measure, per: Per, value: f64) -> String {
    let is_rate = matches!(per, Per::Second | Per::PeakSecond);
    let rate = if is_rate { "/s" } else { "" };
    match measure {
        Measure::BytesBothWays | Measure::One(Quantity::BytesIn | Quantity::BytesOut) => {
            format!("{}{rate}", in_units(value, &TRAFFIC))
        }
        Measure::One(Quantity::ProcessorMicroseconds) if is_rate => {
            format!("{}% of a core", significant(value / MICROSECONDS_OF_A_PERCENT))
        }
        Measure::One(Quantity::ProcessorMicroseconds) => in_units(value, &TIMES),
        Measure::One(Quantity::MemoryBytes) => in_units(value, &MEMORY),
        Measure::One(quantity) => format!("{}{}{rate}", significant(value), count_word(quantity)),
    }
}

/// The word behind a count; the first column of a row says the rest.
fn count_word(quantity: Quantity) -> &'static str {
    match quantity {
        Quantity::MessagesIn | Quantity::MessagesOut => " messages",
        Quantity::Allocations => " allocations",
        Quantity::Connections => " connections",
        Quantity::StateEntries => " entries",
        Quantity::BytesIn | Quantity::BytesOut | Quantity::ProcessorMicroseconds | Quantity::MemoryBytes => {
            ""
        }
    }
}

/// In the greatest unit of which there is one; in the smallest if there is none.
fn in_units(value: f64, units: &[Unit]) -> String {
    let fitting = units.iter().find(|unit| value.abs() >= unit.size).or(units.last());
    fitting.map_or_else(
        || significant(value),
        |unit| format!("{} {}", significant(value / unit.size), unit.name),
    )
}
