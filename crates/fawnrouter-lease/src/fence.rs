//! The last guard: whoever is acted upon keeps the highest number seen and refuses less.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{FencingNumber, LeaseName};

/// The highest number seen for each lease. To be kept durably wherever it has to outlive a restart: store it before the
/// act is carried out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    highest: BTreeMap<LeaseName, FencingNumber>,
}

/// Why an act is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FenceError {
    /// A later holder has acted, so the one that asks has lost its lease without knowing it.
    #[error("number {given} of lease {lease} is behind {highest}: another gateway has the lease now")]
    StaleNumber {
        /// Which lease.
        lease: LeaseName,
        /// What the act carried.
        given: FencingNumber,
        /// What was seen before.
        highest: FencingNumber,
    },
    /// No room for the number of another lease. Refused, as an act that isn't remembered isn't guarded.
    #[error("numbers of {0} leases are kept already")]
    Full(usize),
}

impl Fence {
    /// Leases whose numbers are kept, at the most: as many as a table has.
    pub const MAX_LEASES: usize = crate::LeaseTable::MAX_LEASES;

    /// Whether an act under this number may be carried out; if so it is the highest from now on. Equal numbers pass: a
    /// holder acts many times.
    ///
    /// # Errors
    /// [`FenceError`] when it may not.
    pub fn admit(&mut self, lease: &LeaseName, number: FencingNumber) -> Result<(), FenceError> {
        let full = self.highest.len() >= Self::MAX_LEASES;
        match self.highest.get_mut(lease) {
            Some(highest) if number < *highest => {
                Err(FenceError::StaleNumber { lease: lease.clone(), given: number, highest: *highest })
            }
            Some(highest) => {
                *highest = number;
                Ok(())
            }
            None if full => Err(FenceError::Full(Self::MAX_LEASES)),
            None => {
                self.highest.insert(lease.clone(), number);
                Ok(())
            }
        }
    }

    /// The highest number seen for a lease.
    #[must_use]
    pub fn highest(&self, lease: &LeaseName) -> Option<FencingNumber> {
        self.highest.get(lease).copied()
    }
}
