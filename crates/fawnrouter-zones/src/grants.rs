//! Messages by which gateways of a zone move unused budget to where the demand is. They may be lost, late or
//! duplicated.
//!
//! This is escrow (O'Neil, 1986; the demarcation protocol of Barbará and Garcia-Molina, 1992): a gateway
//! deducts what it grants from its own allowance before it sends the grant, and the receiver adds it on
//! receipt. A lost message loses budget; none can create any. A gateway that is killed and has its account
//! saved keeps what it granted and received.

use serde::{Deserialize, Serialize};

use crate::budget::Money;

/// A message between two gateways of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum GrantMessage {
    /// The sender expects to need more than its allowance.
    Need {
        /// Index of the budget in the settings.
        #[serde(rename = "line")]
        budget: u16,
        /// Number of the window.
        window: u64,
        /// Calls that the sender lacks.
        calls: u64,
        /// Money that the sender lacks.
        money: Money,
    },
    /// The sender gives up part of its allowance to the receiver.
    Grant {
        /// Index of the budget in the settings.
        #[serde(rename = "line")]
        budget: u16,
        /// Number of the window.
        window: u64,
        /// Increases with each grant of a gateway, so that a duplicate counts once.
        id: u64,
        /// Calls granted.
        calls: u64,
        /// Money granted.
        money: Money,
    },
}

/// Share of its expected surplus that a gateway grants to one request: other gateways may ask too, and its
/// own forecast may be wrong.
const GRANTED_SHARE: f64 = 0.5;

/// How much of an allowance can be granted to a gateway that lacks `lacking`.
pub(crate) fn grantable(allowance: u64, expected: f64, spent: u64, lacking: u64) -> u64 {
    let surplus = (allowance as f64 - expected.max(spent as f64) - 1.0).max(0.0);
    ((surplus * GRANTED_SHARE) as u64).min(lacking).min(allowance.saturating_sub(spent))
}
