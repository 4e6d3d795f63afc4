//! The rates of set-ups: of each client, of each stranger's address, and of all strangers together.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::call::ClientIdentity;
use super::decision::SetUpRefusal;
use super::settings::SetUpSettings;
use crate::rate_limiter::{AddressRateLimiter, Gcra, Rate};

/// Who may send a set-up now.
#[derive(Debug)]
pub(super) struct Rates {
    /// Known clients' theoretical arrival times.
    known: BTreeMap<Arc<str>, Gcra>,
    strangers: AddressRateLimiter,
    all_strangers: Gcra,
    all_strangers_rate: Option<Rate>,
}

impl Rates {
    /// Nobody has sent anything yet.
    pub(super) fn new(settings: &SetUpSettings) -> Self {
        Self {
            known: BTreeMap::new(),
            strangers: AddressRateLimiter::new(
                settings.unknown.rate,
                settings.tracked_addresses,
                settings.seed,
            ),
            all_strangers: Gcra::default(),
            all_strangers_rate: settings.unknown_rate,
        }
    }

    /// A client that is no longer known loses its theoretical arrival time.
    pub(super) fn keep_clients(&mut self, is_known: impl Fn(&Arc<str>) -> bool) {
        self.known.retain(|name, _| is_known(name));
    }

    /// Judges a set-up of a client with a rate of its own; a refused one costs nothing.
    pub(super) fn arrive(
        &mut self,
        now: Duration,
        who: &ClientIdentity,
        rate: &Rate,
    ) -> Result<(), (SetUpRefusal, Duration)> {
        let own_rate = |wait| (SetUpRefusal::Rate, wait);
        match who {
            ClientIdentity::Known(name) => {
                let own = self.known.entry(name.clone()).or_default();
                own.arrive(now, rate).map_err(own_rate)
            }
            ClientIdentity::Unknown(address) => {
                if let Some(all) = &self.all_strangers_rate {
                    let all_rates = |wait| (SetUpRefusal::UnknownClientsRate, wait);
                    self.all_strangers.check(now, all).map_err(all_rates)?;
                }
                self.strangers.arrive(now, *address).map_err(own_rate)?;
                if let Some(all) = &self.all_strangers_rate {
                    let _ = self.all_strangers.arrive(now, all);
                }
                Ok(())
            }
        }
    }
}
