//! Figures for operators: open connections and refusals.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use super::counter::Counter;
use super::decision::{EvictionReason, RefusalReason};

/// The open connections of one address or client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderCount {
    /// The address, or the client's name.
    pub holder: String,
    /// Open connections.
    pub connections: usize,
}

/// Open connections and refusals at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Open connections, handshakes included.
    pub open: usize,
    /// Handshakes under way, and connections on probation.
    pub handshakes: usize,
    /// Connections of known clients.
    pub known: usize,
    /// Slots kept for known clients, those that they use included.
    pub reserve: usize,
    /// Refusals by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Accepted connections that were closed, by reason.
    pub evicted: BTreeMap<EvictionReason, u64>,
    /// The addresses with the most connections, largest first.
    pub addresses: Vec<HolderCount>,
    /// The known clients with the most connections, largest first.
    pub clients: Vec<HolderCount>,
    /// Addresses that an operator has blocked, with the time that is left.
    pub blocked: Vec<(IpAddr, Duration)>,
}

/// The keys with the highest counts, at most `max_listed`, largest first.
pub(super) fn largest_holders<K: Ord + ToString>(
    counter: &Counter<K>,
    max_listed: usize,
) -> Vec<HolderCount> {
    let holder_count =
        |(key, count): (&K, usize)| HolderCount { holder: key.to_string(), connections: count };
    let mut holders: Vec<HolderCount> = counter.iter().map(holder_count).collect();
    holders.sort_by(|a, b| b.connections.cmp(&a.connections).then_with(|| a.holder.cmp(&b.holder)));
    holders.truncate(max_listed);
    holders
}
