//! The last safeguard: the resource that is acted on keeps the highest fencing number seen and rejects lower
//! ones.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{FencingNumber, LeaseName};

/// The highest fencing number seen for each lease. Where it has to outlive a restart it must be kept durably,
/// and stored before the act is carried out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    highest: BTreeMap<LeaseName, FencingNumber>,
}

/// Why an act is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FenceError {
    /// A later holder has acted, so the sender has lost its lease without knowing it.
    #[error("number {given} of lease {lease} is behind {highest}: another gateway has the lease now")]
    StaleNumber {
        /// The lease.
        lease: LeaseName,
        /// The number that the act carried.
        given: FencingNumber,
        /// The highest number seen before.
        highest: FencingNumber,
    },
    /// There is no room for the number of another lease. The act is rejected, because without the number
    /// later acts could not be checked.
    #[error("numbers of {0} leases are kept already")]
    Full(usize),
}

impl Fence {
    /// The most leases whose numbers are kept: as many as a table has.
    pub const MAX_LEASES: usize = crate::LeaseTable::MAX_LEASES;

    /// Admits an act if its number is not below the highest seen, and records the number. Equal numbers are
    /// admitted, because a holder acts many times.
    ///
    /// # Errors
    /// [`FenceError`] if the act is rejected.
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
