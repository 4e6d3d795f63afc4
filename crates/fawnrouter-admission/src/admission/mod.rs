//! The decision on each connection.
//!
//! | module | what it does |
//! | --- | --- |
//! | `settings` | what the decision goes by, and whether it makes sense |
//! | `decision` | the decision and its reasons |
//! | `arrival` | a connection comes, directly or through a forwarder |
//! | `handshake` | a handshake is done: a stranger gets a place, probation or none |
//! | `authentication` | a connection has shown that it is a known client's |
//! | `activity` | calls, messages and unread bytes of a connection |
//! | `eviction` | who is closed as time passes |
//! | `accounting` | the counts and orders that each connection stands in while it is open |
//! | `snapshot` | what operators are shown |
//! | `connection`, `counter`, `network`, `blocked` | what these are made of |

mod accounting;
mod activity;
mod arrival;
mod authentication;
mod blocked;
mod connection;
mod counter;
mod decision;
mod eviction;
mod handshake;
mod network;
mod settings;
mod snapshot;

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::rate_limiter::AddressRateLimiter;
use crate::reserve::Reserve;
use crate::retry_after_spread::RetryAfterSpread;

use blocked::BlockedAddresses;
use connection::Entry;
use counter::Counter;
use network::Network;
use snapshot::largest;

pub use decision::{Arrival, ConnectionDecision, ConnectionId, EvictionReason, RefusalReason};
pub use settings::{AdmissionSettings, PrefixLengths, SettingsError};
pub use snapshot::{HolderCount, Snapshot};

/// The decisions of one gateway.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    limiter: AddressRateLimiter,
    reserve: Reserve,
    conns: BTreeMap<ConnectionId, Entry>,
    by_address: Counter<IpAddr>,
    by_prefix: Counter<Network>,
    unproven_by_address: Counter<IpAddr>,
    by_client: Counter<Arc<str>>,
    client_limits: BTreeMap<Arc<str>, usize>,
    /// Strangers without a call, idle for longest first.
    idle: BTreeSet<(Duration, ConnectionId)>,
    /// Known clients' connections without a call, by client, idle for longest first.
    idle_known: BTreeSet<(Arc<str>, Duration, ConnectionId)>,
    /// Those that have yet to show what they are, oldest first.
    unproven: BTreeSet<(Duration, ConnectionId)>,
    known: usize,
    blocked: BlockedAddresses,
    refused: BTreeMap<RefusalReason, u64>,
    evicted: BTreeMap<EvictionReason, u64>,
    spread: RetryAfterSpread,
    now: Duration,
}

impl Admission {
    /// Checks the settings and begins with nobody connected.
    ///
    /// # Errors
    /// See [`SettingsError`].
    pub fn new(settings: AdmissionSettings) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            limiter: AddressRateLimiter::new(settings.rate, settings.tracked_addresses, settings.seed),
            reserve: Reserve::new(settings.reserve),
            spread: RetryAfterSpread::new(settings.seed),
            settings,
            conns: BTreeMap::new(),
            by_address: Counter::default(),
            by_prefix: Counter::default(),
            unproven_by_address: Counter::default(),
            by_client: Counter::default(),
            client_limits: BTreeMap::new(),
            idle: BTreeSet::new(),
            idle_known: BTreeSet::new(),
            unproven: BTreeSet::new(),
            known: 0,
            blocked: BlockedAddresses::default(),
            refused: BTreeMap::new(),
            evicted: BTreeMap::new(),
            now: Duration::ZERO,
        })
    }

    /// Gives known clients limits of their own. Connections that are open stay.
    pub fn set_client_limits(&mut self, limits: impl IntoIterator<Item = (Arc<str>, usize)>) {
        self.client_limits = limits.into_iter().collect();
    }

    fn refuse(&mut self, reason: RefusalReason, least: Duration) -> ConnectionDecision {
        *self.refused.entry(reason).or_default() += 1;
        ConnectionDecision::Refuse { reason, retry_after: self.spread.next(least, self.settings.retry_after) }
    }

    /// Refuses a connection for a cause outside this decision, such as missing descriptors, and counts it here.
    pub fn count_refusal(&mut self, now: Duration, reason: RefusalReason) -> Duration {
        self.now = self.now.max(now);
        match self.refuse(reason, Duration::ZERO) {
            ConnectionDecision::Refuse { retry_after, .. } => retry_after,
            _ => self.settings.retry_after,
        }
    }

    /// Blocks an address for a time; `false` if too many are blocked already. Those that are open stay.
    pub fn block(&mut self, now: Duration, address: IpAddr, span: Duration) -> bool {
        self.now = self.now.max(now);
        self.blocked.block(self.now, address, span)
    }

    /// Frees an address: it is no longer blocked and owes nothing.
    pub fn unblock(&mut self, address: IpAddr) {
        self.blocked.free(address);
        self.limiter.reset(address);
    }

    /// What is held and was refused, with the `most` largest holders of each kind.
    #[must_use]
    pub fn snapshot(&self, most: usize) -> Snapshot {
        Snapshot {
            open: self.conns.len(),
            handshakes: self.unproven.len(),
            known: self.known,
            reserve: self.reserve.size(),
            refused: self.refused.clone(),
            evicted: self.evicted.clone(),
            addresses: largest(&self.by_address, most),
            clients: largest(&self.by_client, most),
            blocked: self.blocked.iter(self.now).take(most).collect(),
        }
    }

    /// Addresses whose rate is kept exactly now.
    #[must_use]
    pub fn tracked_addresses(&self) -> usize {
        self.limiter.tracked_addresses()
    }
}
