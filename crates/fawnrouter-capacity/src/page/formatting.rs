//! Formats numbers with units, rounded to three significant digits.

use super::rows::Measure;
use crate::figures::{Per, Quantity};

/// Significant digits after the first one.
const DIGITS_AFTER_FIRST: i32 = 2;
/// A smaller value is a rounding error and is shown as 0.
const SMALLEST_NONZERO: f64 = 1e-12;
/// A smaller value is shown in scientific notation.
const SMALLEST_IN_DECIMALS: f64 = 1e-4;
/// Relative deviation from a whole number up to which a value counts as whole.
const WHOLE_NUMBER_TOLERANCE: f64 = 1e-9;
/// Microseconds of processor time in a second that make up 1% of a core.
const MICROSECONDS_PER_PERCENT_OF_CORE: f64 = 10_000.0;

/// A unit and its size in the unit in which the report stores values.
struct Unit {
    name: &'static str,
    size: f64,
}

/// Units of times, which are stored in microseconds.
const TIME_UNITS: [Unit; 3] =
    [Unit { name: "s", size: 1e6 }, Unit { name: "ms", size: 1e3 }, Unit { name: "us", size: 1.0 }];
/// Decimal units of bytes sent or received.
const TRAFFIC_UNITS: [Unit; 4] = [
    Unit { name: "GB", size: 1e9 },
    Unit { name: "MB", size: 1e6 },
    Unit { name: "KB", size: 1e3 },
    Unit { name: "B", size: 1.0 },
];
/// Binary units of bytes of memory.
const MEMORY_UNITS: [Unit; 4] = [
    Unit { name: "GiB", size: 1024.0 * 1024.0 * 1024.0 },
    Unit { name: "MiB", size: 1024.0 * 1024.0 },
    Unit { name: "KiB", size: 1024.0 },
    Unit { name: "B", size: 1.0 },
];

/// A number with three significant digits; whole numbers below 1,000 without decimals.
pub(super) fn significant(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude < SMALLEST_NONZERO {
        return "0".to_owned();
    }
    let is_whole = (value - value.round()).abs() <= WHOLE_NUMBER_TOLERANCE * magnitude;
    if magnitude < 1_000.0 && is_whole {
        return whole(value);
    }
    let scientific = format!("{value:.2e}");
    if magnitude < SMALLEST_IN_DECIMALS {
        return scientific;
    }
    let exponent = scientific.split_once('e').and_then(|(_, exponent)| exponent.parse::<i32>().ok());
    match usize::try_from(DIGITS_AFTER_FIRST - exponent.unwrap_or(0)) {
        Ok(decimals) => format!("{value:.decimals$}"),
        Err(_) => whole(scientific.parse().unwrap_or(value)),
    }
}

/// A number without decimals, with thousands separators.
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

/// A fraction as a percentage.
pub(super) fn percent(share: f64) -> String {
    format!("{}%", significant(share * 100.0))
}

/// A time given in nanoseconds, with its unit.
pub(super) fn nanoseconds(value: u64) -> String {
    in_units(value as f64 / 1e3, &TIME_UNITS)
}

/// A value of a measure with its unit.
pub(super) fn amount(measure: Measure, per: Per, value: f64) -> String {
    let is_rate = matches!(per, Per::Second | Per::PeakSecond);
    let rate = if is_rate { "/s" } else { "" };
    match measure {
        Measure::BytesBothWays | Measure::One(Quantity::BytesIn | Quantity::BytesOut) => {
            format!("{}{rate}", in_units(value, &TRAFFIC_UNITS))
        }
        Measure::One(Quantity::ProcessorMicroseconds) if is_rate => {
            format!("{}% of a core", significant(value / MICROSECONDS_PER_PERCENT_OF_CORE))
        }
        Measure::One(Quantity::ProcessorMicroseconds) => in_units(value, &TIME_UNITS),
        Measure::One(Quantity::MemoryBytes) => in_units(value, &MEMORY_UNITS),
        Measure::One(quantity) => format!("{}{}{rate}", significant(value), count_word(quantity)),
    }
}

/// The word behind a count; the row's label says the rest, such as the direction of messages.
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

/// Formats a value in the largest unit of which it has at least one; otherwise in the smallest unit.
fn in_units(value: f64, units: &[Unit]) -> String {
    let fitting = units.iter().find(|unit| value.abs() >= unit.size).or(units.last());
    fitting.map_or_else(
        || significant(value),
        |unit| format!("{} {}", significant(value / unit.size), unit.name),
    )
}
