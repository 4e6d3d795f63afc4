//! Decides which connections are accepted and which are closed.
//!
//! | module | what it does |
//! | --- | --- |
//! | `settings` | the settings and their validation |
//! | `decision` | the decision and its reasons |
//! | `arrival` | a new connection, direct or through a forwarder |
//! | `handshake` | a completed handshake: a slot, probation or a refusal |
//! | `authentication` | a connection that has authenticated as a known client |
//! | `activity` | calls, messages and unsent bytes of a connection |
//! | `eviction` | connections that are closed as time passes |
//! | `accounting` | the counts and orderings that each open connection is part of |
//! | `snapshot` | figures for operators |
//! | `connection`, `counter`, `network`, `blocked` | data structures of the above |

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
use connection::Connection;
use counter::Counter;
use network::Network;
use snapshot::largest_holders;

pub use decision::{Arrival, ConnectionDecision, ConnectionId, EvictionReason, RefusalReason};
pub use settings::{AdmissionSettings, PrefixLengths, SettingsError};
pub use snapshot::{HolderCount, Snapshot};

/// Connection admission of one gateway.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    limiter: AddressRateLimiter,
    reserve: Reserve,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Connections by address, of those that count against it.
    by_address: Counter<IpAddr>,
    /// Connections by network, of those that count against it.
    by_network: Counter<Network>,
    /// Handshakes and connections on probation by address.
    pending_by_address: Counter<IpAddr>,
    /// Connections by known client.
    by_client: Counter<Arc<str>>,
    /// Connection limits of known clients that have their own.
    client_limits: BTreeMap<Arc<str>, usize>,
    /// Unknown clients' connections without a call, idle for longest first.
    idle_unknown: BTreeSet<(Duration, ConnectionId)>,
    /// Known clients' connections without a call, by client, idle for longest first.
    idle_known: BTreeSet<(Arc<str>, Duration, ConnectionId)>,
    /// Handshakes and connections on probation, oldest first.
    pending: BTreeSet<(Duration, ConnectionId)>,
    known_connections: usize,
    blocked: BlockedAddresses,
    refused: BTreeMap<RefusalReason, u64>,
    evicted: BTreeMap<EvictionReason, u64>,
    spread: RetryAfterSpread,
    now: Duration,
}

impl Admission {
    /// Checks the settings and starts without connections.
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
            connections: BTreeMap::new(),
            by_address: Counter::default(),
            by_network: Counter::default(),
            pending_by_address: Counter::default(),
            by_client: Counter::default(),
            client_limits: BTreeMap::new(),
            idle_unknown: BTreeSet::new(),
            idle_known: BTreeSet::new(),
            pending: BTreeSet::new(),
            known_connections: 0,
            blocked: BlockedAddresses::default(),
            refused: BTreeMap::new(),
            evicted: BTreeMap::new(),
            now: Duration::ZERO,
        })
    }

    /// Sets the connection limits of known clients that have their own. Open connections stay open.
    pub fn set_client_limits(&mut self, limits: impl IntoIterator<Item = (Arc<str>, usize)>) {
        self.client_limits = limits.into_iter().collect();
    }

    fn refuse(&mut self, reason: RefusalReason, min_wait: Duration) -> ConnectionDecision {
        *self.refused.entry(reason).or_default() += 1;
        let retry_after = self.spread.next(min_wait, self.settings.retry_after);
        ConnectionDecision::Refuse { reason, retry_after }
    }

    /// Counts a refusal that was decided elsewhere, for example for lack of descriptors. Returns its retry
    /// time.
    pub fn count_refusal(&mut self, now: Duration, reason: RefusalReason) -> Duration {
        self.now = self.now.max(now);
        match self.refuse(reason, Duration::ZERO) {
            ConnectionDecision::Refuse { retry_after, .. } => retry_after,
            _ => self.settings.retry_after,
        }
    }

    /// Blocks an address for `duration`; `false` if too many addresses are blocked already. Its open
    /// connections stay open.
    pub fn block(&mut self, now: Duration, address: IpAddr, duration: Duration) -> bool {
        self.now = self.now.max(now);
        self.blocked.block(self.now, address, duration)
    }

    /// Unblocks an address and resets its rate.
    pub fn unblock(&mut self, address: IpAddr) {
        self.blocked.unblock(address);
        self.limiter.reset(address);
    }

    /// Open connections and refusals, with up to `max_listed` of the largest holders of each kind.
    #[must_use]
    pub fn snapshot(&self, max_listed: usize) -> Snapshot {
        Snapshot {
            open: self.connections.len(),
            handshakes: self.pending.len(),
            known: self.known_connections,
            reserve: self.reserve.size(),
            refused: self.refused.clone(),
            evicted: self.evicted.clone(),
            addresses: largest_holders(&self.by_address, max_listed),
            clients: largest_holders(&self.by_client, max_listed),
            blocked: self.blocked.iter(self.now).take(max_listed).collect(),
        }
    }

    /// Addresses whose rate is tracked exactly at present.
    #[must_use]
    pub fn tracked_addresses(&self) -> usize {
        self.limiter.tracked_addresses()
    }
}
