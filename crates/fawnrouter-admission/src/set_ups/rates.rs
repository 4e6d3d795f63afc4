//! Set-up rates: of each known client, of each address of unknown clients, and of all unknown clients
//! together.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::call::ClientIdentity;
use super::decision::SetUpRefusal;
use super::settings::SetUpSettings;
use crate::rate_limiter::{AddressRateLimiter, Gcra, Rate};

/// The state of all set-up rate limits.
#[derive(Debug)]
pub(super) struct Rates {
    known: BTreeMap<Arc<str>, Gcra>,
    unknown_by_address: AddressRateLimiter,
    all_unknown: Gcra,
    all_unknown_rate: Option<Rate>,
}

impl Rates {
    /// No set-up has been counted yet.
    pub(super) fn new(settings: &SetUpSettings) -> Self {
        let (rate, capacity) = (settings.unknown.rate, settings.tracked_addresses);
        Self {
            known: BTreeMap::new(),
            unknown_by_address: AddressRateLimiter::new(rate, capacity, settings.seed),
            all_unknown: Gcra::default(),
            all_unknown_rate: settings.unknown_rate,
        }
    }

    /// Drops the rate state of clients that are no longer known.
    pub(super) fn retain_clients(&mut self, is_known: impl Fn(&Arc<str>) -> bool) {
        self.known.retain(|name, _| is_known(name));
    }

    /// Checks a set-up, and counts it if it conforms. A refused set-up is not counted.
    pub(super) fn check_and_count(
        &mut self,
        now: Duration,
        client: &ClientIdentity,
        client_rate: &Rate,
    ) -> Result<(), (SetUpRefusal, Duration)> {
        let own_rate_exceeded = |wait| (SetUpRefusal::Rate, wait);
        match client {
            ClientIdentity::Known(name) => {
                let gcra = self.known.entry(name.clone()).or_default();
                gcra.arrive(now, client_rate).map_err(own_rate_exceeded)
            }
            ClientIdentity::Unknown(address) => {
                if let Some(rate) = &self.all_unknown_rate {
                    let common_rate_exceeded = |wait| (SetUpRefusal::UnknownClientsRate, wait);
                    self.all_unknown.check(now, rate).map_err(common_rate_exceeded)?;
                }
                self.unknown_by_address.arrive(now, *address).map_err(own_rate_exceeded)?;
                if let Some(rate) = &self.all_unknown_rate {
                    let _ = self.all_unknown.arrive(now, rate);
                }
                Ok(())
            }
        }
    }
}
