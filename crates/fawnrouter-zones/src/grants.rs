//! Shares that follow demand, where gateways may send each other short messages that can be lost, late or doubled.
//!
//! Escrow (O'Neil, 1986; the demarcation protocol of Barbará and Garcia-Molina, 1992): what a gateway gives away it takes
//! off its own share before it says so, and the other adds it when it hears of it. A message that is lost loses budget; none
//! can make any. A gateway that is killed with its record keeps what it gave and got.

use serde::{Deserialize, Serialize};

use crate::budget::Money;

/// What one gateway says to another of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum GrantMessage {
    /// It will want more than it has.
    Need {
        /// The budget, by its place in the settings.
        #[serde(rename = "line")]
        budget: u16,
        /// The window.
        window: u64,
        /// Calls that it lacks.
        calls: u64,
        /// Money that it lacks.
        money: Money,
    },
    /// It gives some away.
    Grant {
        /// The budget, by its place in the settings.
        #[serde(rename = "line")]
        budget: u16,
        /// The window.
        window: u64,
        /// Rises with each grant of a gateway, so that one that comes twice counts once.
        id: u64,
        /// Calls.
        calls: u64,
        /// Money.
        money: Money,
    },
}

/// Of what it does not expect to need, the share that a gateway gives to one that asks: others may ask too, and its own
/// forecast may be wrong.
pub(crate) const GIVEN: f64 = 0.5;

/// Part of what can be spared for one who lacks so much.
pub(crate) fn spare(allowance: u64, expected: f64, spent: u64, lacks: u64) -> u64 {
    let free = (allowance as f64 - expected.max(spent as f64) - 1.0).max(0.0);
    ((free * GIVEN) as u64).min(lacks).min(allowance.saturating_sub(spent))
}
