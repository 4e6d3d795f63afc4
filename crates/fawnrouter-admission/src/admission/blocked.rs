//! Addresses that an operator has blocked, each for a time.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

/// Addresses that an operator may block at once.
const MOST_BLOCKED: usize = 10_000;

/// Blocked addresses, with the time until which each is blocked.
#[derive(Debug, Default)]
pub(super) struct BlockedAddresses {
    until: BTreeMap<IpAddr, Duration>,
}

impl BlockedAddresses {
    /// Blocks an address for a time; `false` if too many are blocked already.
    pub(super) fn block(&mut self, now: Duration, address: IpAddr, span: Duration) -> bool {
        if self.until.len() >= MOST_BLOCKED {
            self.until.retain(|_, until| *until > now);
        }
        let room = self.until.len() < MOST_BLOCKED || self.until.contains_key(&address);
        if room {
            self.until.insert(address, now.saturating_add(span));
        }
        room
    }

    /// The address is no longer blocked.
    pub(super) fn free(&mut self, address: IpAddr) {
        self.until.remove(&address);
    }

    /// The time for which an address is still blocked, if it is; one whose time is up is forgotten.
    pub(super) fn time_left(&mut self, now: Duration, address: IpAddr) -> Option<Duration> {
        let until = self.until.get(&address).copied()?;
        if until > now {
            return Some(until - now);
        }
        self.until.remove(&address);
        None
    }

    /// All that are blocked, with the time that is left.
    pub(super) fn iter(&self, now: Duration) -> impl Iterator<Item = (IpAddr, Duration)> {
        let left = move |until: &Duration| until.checked_sub(now).filter(|left| !left.is_zero());
        self.until.iter().filter_map(move |(address, until)| left(until).map(|left| (*address, left)))
    }
}
