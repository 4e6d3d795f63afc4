//! What spilled, for those who pay for it: by class, zone and cause, minute by minute, in bounded memory.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::budget::Money;

/// Why a call went to another zone, or did not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SpillCause {
    /// The own zone was pressed.
    Pressed,
    /// It was down.
    Down,
    /// It is getting warm again.
    Cold,
    /// There is no switch in it.
    NoSwitch,
    /// It costs nothing.
    Free,
    /// It did not go: the budget was out.
    BudgetOut,
}

/// Calls and money of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpillTotal {
    /// Calls.
    pub calls: u64,
    /// What they cost.
    pub money: Money,
}

/// What is told apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SpillKey {
    /// The class, by its place in the settings.
    pub class: u32,
    /// The zone that the call went to.
    pub to: Arc<str>,
    /// The trunk group there: the pool of its switch.
    pub trunk_group: u32,
    /// Why.
    pub cause: SpillCause,
}

/// One minute's spill.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SpillMinute {
    /// Its number since the Unix epoch.
    pub minute: u64,
    /// By kind.
    #[serde(rename = "cells")]
    pub totals: Vec<(SpillKey, SpillTotal)>,
}

/// Minutes that are kept: a day and one.
const MINUTES: usize = 24 * 60 + 1;
/// Kinds within a minute that are told apart; what comes beyond goes to the last zone's entry of its cause.
const KINDS: usize = 256;

/// The record.
#[derive(Debug, Default)]
pub struct SpillRecord {
    minutes: VecDeque<SpillMinute>,
    total: BTreeMap<SpillKey, SpillTotal>,
}

impl SpillRecord {
    /// Counts a call.
    pub fn add_call(&mut self, now: Duration, kind: &SpillKey, money: Money) {
        self.change(now, kind, |cell| {
            cell.calls += 1;
            cell.money = Money(cell.money.0.saturating_add(money.0));
        });
    }

    /// Takes a call back that did not stand, from the minute in which it was counted.
    pub fn subtract_call(&mut self, at: Duration, kind: &SpillKey, money: Money) {
        self.change(at, kind, |cell| {
            cell.calls = cell.calls.saturating_sub(1);
            cell.money = Money(cell.money.0.saturating_sub(money.0));
        });
    }

    fn change(&mut self, now: Duration, kind: &SpillKey, change: impl Fn(&mut SpillTotal)) {
        let minute = now.as_secs() / 60;
        if self.minutes.back().is_none_or(|m| m.minute < minute) {
            self.minutes.push_back(SpillMinute { minute, totals: Vec::new() });
            while self.minutes.len() > MINUTES {
                self.minutes.pop_front();
            }
        }
        // The minute itself: an earlier one that is no longer kept has nothing to be changed.
        if let Some(current) =
            self.minutes.iter_mut().rev().find(|m| m.minute <= minute).filter(|m| m.minute == minute)
        {
            let same = current.totals.iter().position(|(k, _)| k == kind);
            let full = current.totals.len() >= KINDS;
            // In a full minute, the last kind of the same cause stands for the rest.
            let near = || current.totals.iter().rposition(|(k, _)| k.cause == kind.cause);
            match same.or_else(|| if full { near() } else { None }) {
                Some(at) => change(&mut current.totals[at].1),
                None if full => {}
                None => {
                    let mut cell = SpillTotal::default();
                    change(&mut cell);
                    current.totals.push((kind.clone(), cell));
                }
            }
        }
        if self.total.len() < KINDS * 16 || self.total.contains_key(kind) {
            change(self.total.entry(kind.clone()).or_default());
        }
    }

    /// The minutes of the last day, oldest first.
    pub fn minutes(&self) -> impl Iterator<Item = &SpillMinute> {
        self.minutes.iter()
    }

    /// Everything since the start.
    #[must_use]
    pub const fn total(&self) -> &BTreeMap<SpillKey, SpillTotal> {
        &self.total
    }

    /// Takes up the minutes of before a restart.
    pub fn restore(&mut self, minutes: Vec<SpillMinute>) {
        self.minutes = minutes.into();
        while self.minutes.len() > MINUTES {
            self.minutes.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_day_of_minutes_is_kept_and_kinds_are_bounded() {
        let kind = |class, to: &Arc<str>, cause| SpillKey { class, to: to.clone(), trunk_group: 3, cause };
        let mut record = SpillRecord::default();
        let zones: Vec<Arc<str>> = (0..600).map(|n| Arc::from(format!("z{n}"))).collect();
        for minute in 0..3000u64 {
            let now = Duration::from_secs(minute * 60);
            record.add_call(now, &kind(0, &zones[0], SpillCause::Pressed), Money(5));
            record.add_call(now, &kind(1, &zones[0], SpillCause::Down), Money(7));
            record.subtract_call(now, &kind(1, &zones[0], SpillCause::Down), Money(7));
        }
        assert_eq!(record.minutes().count(), MINUTES);
        assert_eq!(
            record.total()[&kind(0, &zones[0], SpillCause::Pressed)],
            SpillTotal { calls: 3000, money: Money(15_000) }
        );
        assert_eq!(record.total()[&kind(1, &zones[0], SpillCause::Down)], SpillTotal::default());
        let now = Duration::from_secs(4000 * 60);
        zones.iter().for_each(|z| record.add_call(now, &kind(0, z, SpillCause::Free), Money(0)));
        let last = record.minutes().last().expect("a minute");
        assert_eq!(last.totals.len(), KINDS);
        assert_eq!(last.totals.iter().map(|(_, c)| c.calls).sum::<u64>(), 600, "none is lost");
    }
}
