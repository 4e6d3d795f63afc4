//! Budgets: so many calls, and so much money, in each window of a minute, an hour or a day.
//!
//! Carry-over, as written for operators: of what a gateway's share of a window left unused, at most `carry` times that
//! share goes into the next window, and no further. So a window can never hold more than 1 + carry times the budget, and
//! two in a row never more than 2 + carry times.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Money, in millionths of the unit that the costs are given in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Money(pub u64);

impl Money {
    /// So many units; what is no amount counts as nothing.
    #[must_use]
    pub fn from_units(units: f64) -> Self {
        Self((units.max(0.0) * 1e6).round() as u64)
    }

    /// In units.
    #[must_use]
    pub fn to_units(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

/// The length of a window. Windows begin at whole multiples of it since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BudgetPeriod {
    /// 60 s.
    Minute,
    /// 3,600 s.
    Hour,
    /// 86,400 s, from midnight UTC.
    Day,
}

impl BudgetPeriod {
    /// Its length.
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_secs(match self {
            Self::Minute => 60,
            Self::Hour => 3600,
            Self::Day => 86_400,
        })
    }

    /// The number of the window that a time lies in.
    #[must_use]
    pub const fn window_at(self, now: Duration) -> u64 {
        now.as_secs() / self.duration().as_secs()
    }

    /// Time from `now` to the end of its window.
    #[must_use]
    pub fn remaining(self, now: Duration) -> Duration {
        self.duration() * u32::try_from(self.window_at(now) + 1).unwrap_or(u32::MAX) - now
    }
}

/// What may be spent; what is `None` has no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Calls.
    pub calls: Option<u64>,
    /// Money.
    pub money: Option<Money>,
}

/// A budget of the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Budget {
    /// The zone that calls come from; `None`: any.
    pub from: Option<Arc<str>>,
    /// The zone that they go to; `None`: any other.
    pub to: Option<Arc<str>>,
    /// Its windows.
    #[serde(rename = "span")]
    pub period: BudgetPeriod,
    /// What may be spent in one of them.
    pub limit: Limit,
    /// The share of an unused window that goes into the next one, 0 to 1.
    pub carry: f64,
    /// What a zone that is down may spend beyond it, as a share of it.
    pub emergency: f64,
    /// Gateways that divide it among them.
    pub sharers: u32,
}

/// A budget that makes no sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BudgetError {
    /// Nobody shares it.
    #[error("a budget is shared by no gateway")]
    NoSharers,
    /// A share is no share.
    #[error("carry must be 0 to 1, emergency 0 to 100")]
    InvalidShare,
    /// It limits nothing.
    #[error("a budget limits neither calls nor money")]
    NoLimit,
}

impl Budget {
    /// Checks it.
    ///
    /// # Errors
    /// See [`BudgetError`].
    pub fn validate(&self) -> Result<(), BudgetError> {
        if self.sharers == 0 {
            return Err(BudgetError::NoSharers);
        }
        if !(0.0..=1.0).contains(&self.carry) || !(0.0..=100.0).contains(&self.emergency) {
            return Err(BudgetError::InvalidShare);
        }
        if self.limit.calls.is_none() && self.limit.money.is_none() {
            return Err(BudgetError::NoLimit);
        }
        Ok(())
    }

    /// Whether a call from one zone to another counts here.
    #[must_use]
    pub fn covers(&self, from: &str, to: &str) -> bool {
        self.from.as_deref().is_none_or(|f| f == from) && self.to.as_deref().is_none_or(|t| t == to)
    }
}

/// One gateway's part of a whole in a window, so that the parts of all sharers add up to it exactly: what does not
/// divide goes to different ones in each window. Sixty calls a minute among 250 gateways so mean one call a minute for
/// sixty of them, and not the same ones all day.
#[must_use]
pub fn gateway_share(whole: u64, sharers: u32, me: u32, window: u64) -> u64 {
    let sharers = u64::from(sharers.max(1));
    let (each, rest) = (whole / sharers, whole % sharers);
    // The window's number times the rest moves the lucky ones along, each in turn.
    let turn = (u64::from(me) % sharers + sharers - (window % sharers) * rest % sharers) % sharers;
    each + u64::from(turn < rest)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_add_up_and_everybody_has_a_turn() {
        for sharers in [1u32, 4, 7, 60, 250] {
            for whole in [0u64, 1, 3, 59, 60, 250, 251, 1000] {
                let mut got = vec![0; sharers as usize];
                for window in 0..u64::from(sharers) {
                    let parts: Vec<u64> =
                        (0..sharers).map(|me| gateway_share(whole, sharers, me, window)).collect();
                    assert_eq!(parts.iter().sum::<u64>(), whole, "{whole} among {sharers} in {window}");
                    parts.iter().zip(&mut got).for_each(|(p, g)| *g += p);
                }
                let (least, most) = (got.iter().min(), got.iter().max());
                assert_eq!(least, most, "{whole} among {sharers}: alike over as many windows as sharers");
            }
        }
    }

    #[test]
    fn windows_begin_at_whole_multiples() {
        let s = Duration::from_secs;
        assert_eq!((BudgetPeriod::Minute.window_at(s(119)), BudgetPeriod::Minute.window_at(s(120))), (1, 2));
        assert_eq!(BudgetPeriod::Day.remaining(s(86_399)), s(1));
        assert_eq!(BudgetPeriod::Hour.remaining(s(7200)), s(3600));
    }

    #[test]
    fn money_is_whole_millionths() {
        assert_eq!(Money::from_units(0.1).0 * 10, Money::from_units(1.0).0);
        assert_eq!((Money::from_units(-1.0), Money::from_units(f64::NAN)), (Money(0), Money(0)));
    }
}
