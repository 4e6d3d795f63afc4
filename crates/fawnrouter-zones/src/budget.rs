//! Budgets: limits on calls and money in each window of a minute, an hour or a day.
//!
//! Carry-over: of what a gateway left unused of its share of a window, at most `carry` times that share goes
//! into the next window, and no further. So a window never holds more than 1 + carry times the budget, and
//! two windows in a row never more than 2 + carry times.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// An amount of money, in millionths of the unit that the costs are given in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Money(pub u64);

impl Money {
    /// The amount of this many units; a negative number or NaN gives zero.
    #[must_use]
    pub fn from_units(units: f64) -> Self {
        Self((units.max(0.0) * 1e6).round() as u64)
    }

    /// The amount in units.
    #[must_use]
    pub fn to_units(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

/// The length of a budget's windows. Windows begin at whole multiples of it since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BudgetPeriod {
    /// 60 seconds.
    Minute,
    /// 3,600 seconds.
    Hour,
    /// 86,400 seconds, from midnight UTC.
    Day,
}

impl BudgetPeriod {
    /// The length of a window.
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_secs(match self {
            Self::Minute => 60,
            Self::Hour => 3600,
            Self::Day => 86_400,
        })
    }

    /// The number of the window that `now`, a time since the Unix epoch, lies in.
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

/// The limits of a budget; `None` means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Calls per window.
    pub calls: Option<u64>,
    /// Money per window.
    pub money: Option<Money>,
}

/// A budget of all gateways that share it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Budget {
    /// The zone that calls come from; `None` means any zone.
    pub from: Option<Arc<str>>,
    /// The zone that calls go to; `None` means any other zone.
    pub to: Option<Arc<str>>,
    /// The length of its windows.
    #[serde(rename = "span")]
    pub period: BudgetPeriod,
    /// What may be spent in one window.
    pub limit: Limit,
    /// The share of an unused window that goes into the next one, 0 to 1.
    pub carry: f64,
    /// What a zone that is down may spend beyond the limit, as a multiple of the limit.
    pub emergency: f64,
    /// The number of gateways that share the budget.
    pub sharers: u32,
}

/// Why a budget is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BudgetError {
    /// The number of sharers is zero.
    #[error("a budget is shared by no gateway")]
    NoSharers,
    /// `carry` or `emergency` is out of range.
    #[error("carry must be 0 to 1, emergency 0 to 100")]
    InvalidShare,
    /// Neither calls nor money have a limit.
    #[error("a budget limits neither calls nor money")]
    NoLimit,
}

impl Budget {
    /// Checks that the budget is valid.
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

    /// Whether a call from one zone to another counts against this budget.
    #[must_use]
    pub fn covers(&self, from: &str, to: &str) -> bool {
        self.from.as_deref().is_none_or(|f| f == from) && self.to.as_deref().is_none_or(|t| t == to)
    }
}

/// One gateway's share of `whole` in a window. The shares of all gateways add up to exactly `whole`: the
/// remainder of the division goes to different gateways in each window. Sixty calls a minute among 250
/// gateways thus mean one call a minute for sixty of them, and not the same ones all day.
#[must_use]
pub fn gateway_share(whole: u64, sharers: u32, gateway_index: u32, window: u64) -> u64 {
    let sharers = u64::from(sharers.max(1));
    let (each, remainder) = (whole / sharers, whole % sharers);
    // Rotating by the remainder in each window gives every gateway its turn at one more.
    let rotation = (window % sharers) * remainder % sharers;
    let position = (u64::from(gateway_index) % sharers + sharers - rotation) % sharers;
    each + u64::from(position < remainder)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_add_up_and_the_remainder_rotates_evenly() {
        for sharers in [1u32, 4, 7, 60, 250] {
            for whole in [0u64, 1, 3, 59, 60, 250, 251, 1000] {
                let mut received = vec![0; sharers as usize];
                for window in 0..u64::from(sharers) {
                    let shares: Vec<u64> =
                        (0..sharers).map(|index| gateway_share(whole, sharers, index, window)).collect();
                    assert_eq!(shares.iter().sum::<u64>(), whole, "{whole} among {sharers} in {window}");
                    shares.iter().zip(&mut received).for_each(|(share, sum)| *sum += share);
                }
                let (least, most) = (received.iter().min(), received.iter().max());
                assert_eq!(least, most, "{whole} among {sharers}: equal over as many windows as sharers");
            }
        }
    }

    #[test]
    fn windows_begin_at_whole_multiples_of_their_length() {
        let s = Duration::from_secs;
        assert_eq!((BudgetPeriod::Minute.window_at(s(119)), BudgetPeriod::Minute.window_at(s(120))), (1, 2));
        assert_eq!(BudgetPeriod::Day.remaining(s(86_399)), s(1));
        assert_eq!(BudgetPeriod::Hour.remaining(s(7200)), s(3600));
    }

    #[test]
    fn money_is_rounded_to_whole_millionths() {
        assert_eq!(Money::from_units(0.1).0 * 10, Money::from_units(1.0).0);
        assert_eq!((Money::from_units(-1.0), Money::from_units(f64::NAN)), (Money(0), Money(0)));
    }
}
