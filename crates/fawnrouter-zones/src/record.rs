//! The record of spilled calls for cost reports: by class, zone and cause, minute by minute, in bounded
//! memory.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::budget::Money;

/// Why a call went to another zone, or could not go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SpillCause {
    /// The own zone was pressed.
    Pressed,
    /// The own zone was down.
    Down,
    /// The own zone had been down, and its restarted switches were still cold.
    Cold,
    /// The own zone had no switch.
    NoSwitch,
    /// The other zone costs nothing.
    Free,
    /// The call did not spill, as the budget was spent.
    BudgetOut,
}

/// Number and cost of the calls of one key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpillTotal {
    /// Number of calls.
    pub calls: u64,
    /// Cost of the calls.
    pub money: Money,
}

/// What calls are grouped by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SpillKey {
    /// Index of the class in the settings.
    pub class: u32,
    /// The zone that the call went to.
    pub to: Arc<str>,
    /// The trunk group in that zone: the pool of the switch.
    pub trunk_group: u32,
    /// Why the call spilled.
    pub cause: SpillCause,
}

/// The spilled calls of one minute.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SpillMinute {
    /// Minutes since the Unix epoch.
    pub minute: u64,
    /// Calls and cost by key.
    #[serde(rename = "cells")]
    pub totals: Vec<(SpillKey, SpillTotal)>,
}

/// Minutes that are kept: a day and the current minute.
const MAX_MINUTES: usize = 24 * 60 + 1;
/// Keys within a minute; calls of further keys are added to the last key of the same cause, or left out if
/// there is none.
const MAX_KEYS_PER_MINUTE: usize = 256;
/// Keys in the totals since the start; calls of further keys are left out there.
const MAX_TOTAL_KEYS: usize = MAX_KEYS_PER_MINUTE * 16;

/// Spilled calls, minute by minute and in total.
#[derive(Debug, Default)]
pub struct SpillRecord {
    minutes: VecDeque<SpillMinute>,
    totals: BTreeMap<SpillKey, SpillTotal>,
}

impl SpillRecord {
    /// Adds a call.
    pub fn add_call(&mut self, now: Duration, key: &SpillKey, money: Money) {
        self.update(now, key, |total| {
            total.calls += 1;
            total.money = Money(total.money.0.saturating_add(money.0));
        });
    }

    /// Subtracts a call that was not established, from the minute `at` in which it was added.
    pub fn subtract_call(&mut self, at: Duration, key: &SpillKey, money: Money) {
        self.update(at, key, |total| {
            total.calls = total.calls.saturating_sub(1);
            total.money = Money(total.money.0.saturating_sub(money.0));
        });
    }

    fn update(&mut self, now: Duration, key: &SpillKey, update: impl Fn(&mut SpillTotal)) {
        let minute = now.as_secs() / 60;
        if self.minutes.back().is_none_or(|m| m.minute < minute) {
            self.minutes.push_back(SpillMinute { minute, totals: Vec::new() });
            while self.minutes.len() > MAX_MINUTES {
                self.minutes.pop_front();
            }
        }
        // Only this very minute is updated: one that is no longer kept is skipped.
        if let Some(current) =
            self.minutes.iter_mut().rev().find(|m| m.minute <= minute).filter(|m| m.minute == minute)
        {
            let same_key = current.totals.iter().position(|(k, _)| k == key);
            let full = current.totals.len() >= MAX_KEYS_PER_MINUTE;
            // In a full minute, the last key of the same cause collects the other calls of that cause.
            let same_cause = || current.totals.iter().rposition(|(k, _)| k.cause == key.cause);
            match same_key.or_else(|| if full { same_cause() } else { None }) {
                Some(index) => update(&mut current.totals[index].1),
                None if full => {}
                None => {
                    let mut total = SpillTotal::default();
                    update(&mut total);
                    current.totals.push((key.clone(), total));
                }
            }
        }
        if self.totals.len() < MAX_TOTAL_KEYS || self.totals.contains_key(key) {
            update(self.totals.entry(key.clone()).or_default());
        }
    }

    /// The minutes of the last day, oldest first.
    pub fn minutes(&self) -> impl Iterator<Item = &SpillMinute> {
        self.minutes.iter()
    }

    /// Totals since the start, by key.
    #[must_use]
    pub const fn totals(&self) -> &BTreeMap<SpillKey, SpillTotal> {
        &self.totals
    }

    /// Restores the minutes saved before a restart.
    pub fn restore(&mut self, minutes: Vec<SpillMinute>) {
        self.minutes = minutes.into();
        while self.minutes.len() > MAX_MINUTES {
            self.minutes.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn record_keeps_a_day_of_minutes_and_bounds_the_keys() {
        let key = |class, to: &Arc<str>, cause| SpillKey { class, to: to.clone(), trunk_group: 3, cause };
        let mut record = SpillRecord::default();
        let zones: Vec<Arc<str>> = (0..600).map(|n| Arc::from(format!("z{n}"))).collect();
        for minute in 0..3000u64 {
            let now = Duration::from_secs(minute * 60);
            record.add_call(now, &key(0, &zones[0], SpillCause::Pressed), Money(5));
            record.add_call(now, &key(1, &zones[0], SpillCause::Down), Money(7));
            record.subtract_call(now, &key(1, &zones[0], SpillCause::Down), Money(7));
        }
        assert_eq!(record.minutes().count(), MAX_MINUTES);
        assert_eq!(
            record.totals()[&key(0, &zones[0], SpillCause::Pressed)],
            SpillTotal { calls: 3000, money: Money(15_000) }
        );
        assert_eq!(record.totals()[&key(1, &zones[0], SpillCause::Down)], SpillTotal::default());
        let now = Duration::from_secs(4000 * 60);
        zones.iter().for_each(|z| record.add_call(now, &key(0, z, SpillCause::Free), Money(0)));
        let last = record.minutes().last().expect("a minute");
        assert_eq!(last.totals.len(), MAX_KEYS_PER_MINUTE);
        assert_eq!(last.totals.iter().map(|(_, c)| c.calls).sum::<u64>(), 600, "no call is lost");
    }
}
