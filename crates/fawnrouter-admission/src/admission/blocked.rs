//! Addresses that an operator has blocked, each until a deadline.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

/// The most addresses that may be blocked at once.
const MAX_BLOCKED_ADDRESSES: usize = 10_000;

/// Blocked addresses, with the time until which each is blocked.
#[derive(Debug, Default)]
pub(super) struct BlockedAddresses {
    until: BTreeMap<IpAddr, Duration>,
}

impl BlockedAddresses {
    /// Blocks an address for `duration`; `false` if too many addresses are blocked already.
    pub(super) fn block(&mut self, now: Duration, address: IpAddr, duration: Duration) -> bool {
        if self.until.len() >= MAX_BLOCKED_ADDRESSES {
            self.until.retain(|_, until| *until > now);
        }
        let room = self.until.len() < MAX_BLOCKED_ADDRESSES || self.until.contains_key(&address);
        if room {
            self.until.insert(address, now.saturating_add(duration));
        }
        room
    }

    /// Unblocks an address.
    pub(super) fn unblock(&mut self, address: IpAddr) {
        self.until.remove(&address);
    }

    /// How long an address is still blocked, if it is. An expired entry is removed.
    pub(super) fn time_left(&mut self, now: Duration, address: IpAddr) -> Option<Duration> {
        let until = self.until.get(&address).copied()?;
        if until > now {
            return Some(until - now);
        }
        self.until.remove(&address);
        None
    }

    /// All blocked addresses with the time that is left.
    pub(super) fn iter(&self, now: Duration) -> impl Iterator<Item = (IpAddr, Duration)> {
        let left = move |until: &Duration| until.checked_sub(now).filter(|left| !left.is_zero());
        self.until.iter().filter_map(move |(address, until)| left(until).map(|left| (*address, left)))
    }
}
