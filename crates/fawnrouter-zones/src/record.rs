//! What spilled, for those who pay for it: by class, zone and cause, minute by minute, in bounded memory.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::budget::Money;

/// Why a call went to another zone, or did not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
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
pub struct Cell {
    /// Calls.
    pub calls: u64,
    /// What they cost.
    pub money: Money,
}

/// What is told apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Kind {
    /// The class, by its place in the settings.
    pub class: u32,
    /// The zone that the call went to.
    pub to: Arc<str>,
    /// The trunk group there: the pool of its switch.
    pub trunk_group: u32,
    /// Why.
    pub cause: Cause,
}

/// One minute's spill.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Minute {
    /// Its number since the Unix epoch.
    pub minute: u64,
    /// By kind.
    #[serde(rename = "cells")]
    pub cells: Vec<(Kind, Cell)>,
}

/// Minutes that are kept: a day and one.
const MINUTES: usize = 24 * 60 + 1;
/// Kinds within a minute that are told apart; what comes beyond goes to the last zone's entry of its cause.
const KINDS: usize = 256;

/// The record.
#[derive(Debug, Default)]
pub struct Record {
    minutes: VecDeque<Minute>,
    total: BTreeMap<Kind, Cell>,
}

impl Record {
    /// Counts a call.
    pub fn count(&mut self, now: Duration, kind: &Kind, money: Money) {
        self.change(now, kind, |cell| {
            cell.calls += 1;
            cell.money = Money(cell.money.0.saturating_add(money.0));
        });
    }

    /// Takes a call back that did not stand, from the minute in which it was counted.
    pub fn take_back(&mut self, at: Duration, kind: &Kind, money: Money) {
        self.change(at, kind, |cell| {
            cell.calls = cell.calls.saturating_sub(1);
            cell.money = Money(cell.money.0.saturating_sub(money.0));
        });
    }

    fn change(&mut self, now: Duration, kind: &Kind, change: impl Fn(&mut Cell)) {
        let minute = now.as_secs() / 60;
        if self.minutes.back().is_none_or(|m| m.minute < minute) {
            self.minutes.push_back(Minute { minute, cells: Vec::new() });
            while self.minutes.len() > MINUTES {
                self.minutes.pop_front();
            }
        }
        // The minute itself: an earlier one that is no longer kept has nothing to be changed.
        if let Some(current) =
            self.minutes.iter_mut().rev().find(|m| m.minute <= minute).filter(|m| m.minute == minute)
        {
            let same = current.cells.iter().position(|(k, _)| k == kind);
            let full = current.cells.len() >= KINDS;
            // In a full minute, the last kind of the same cause stands for the rest.
            let near = || current.cells.iter().rposition(|(k, _)| k.cause == kind.cause);
            match same.or_else(|| if full { near() } else { None }) {
                Some(at) => change(&mut current.cells[at].1),
                None if full => {}
                None => {
                    let mut cell = Cell::default();
                    change(&mut cell);
                    current.cells.push((kind.clone(), cell));
                }
            }
        }
        if self.total.len() < KINDS * 16 || self.total.contains_key(kind) {
            change(self.total.entry(kind.clone()).or_default());
        }
    }

    /// The minutes of the last day, oldest first.
    pub fn minutes(&self) -> impl Iterator<Item = &Minute> {
        self.minutes.iter()
    }

    /// Everything since the start.
    #[must_use]
    pub const fn total(&self) -> &BTreeMap<Kind, Cell> {
        &self.total
    }

    /// Takes up the minutes of before a restart.
    pub fn restore(&mut self, minutes: Vec<Minute>) {
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
        let kind = |class, to: &Arc<str>, cause| Kind { class, to: to.clone(), trunk_group: 3, cause };
        let mut record = Record::default();
        let zones: Vec<Arc<str>> = (0..600).map(|n| Arc::from(format!("z{n}"))).collect();
        for minute in 0..3000u64 {
            let now = Duration::from_secs(minute * 60);
            record.count(now, &kind(0, &zones[0], Cause::Pressed), Money(5));
            record.count(now, &kind(1, &zones[0], Cause::Down), Money(7));
            record.take_back(now, &kind(1, &zones[0], Cause::Down), Money(7));
        }
        assert_eq!(record.minutes().count(), MINUTES);
        assert_eq!(
            record.total()[&kind(0, &zones[0], Cause::Pressed)],
            Cell { calls: 3000, money: Money(15_000) }
        );
        assert_eq!(record.total()[&kind(1, &zones[0], Cause::Down)], Cell::default());
        let now = Duration::from_secs(4000 * 60);
        zones.iter().for_each(|z| record.count(now, &kind(0, z, Cause::Free), Money(0)));
        let last = record.minutes().last().expect("a minute");
        assert_eq!(last.cells.len(), KINDS);
        assert_eq!(last.cells.iter().map(|(_, c)| c.calls).sum::<u64>(), 600, "none is lost");
    }
}
