//! What is held and was refused, for operators.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use super::counter::Counter;
use super::decision::{EvictionReason, RefusalReason};

/// What one address or client holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderCount {
    /// The address, or the client's name.
    pub holder: String,
    /// Open connections.
    pub connections: usize,
}

/// What is held and was refused, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Open connections, handshakes included.
    pub open: usize,
    /// Handshakes under way, and connections on probation.
    pub handshakes: usize,
    /// Connections of known clients.
    pub known: usize,
    /// Places kept for known clients.
    pub reserve: usize,
    /// Refusals by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Connections that were in and were closed, by reason.
    pub evicted: BTreeMap<EvictionReason, u64>,
    /// The addresses that hold most, most first.
    pub addresses: Vec<HolderCount>,
    /// The known clients that hold most, most first.
    pub clients: Vec<HolderCount>,
    /// Addresses that an operator has blocked, with the time that is left.
    pub blocked: Vec<(IpAddr, Duration)>,
}

/// Those that hold most, most first.
pub(super) fn largest<K: Ord + ToString>(counter: &Counter<K>, most: usize) -> Vec<HolderCount> {
    let holding = |(who, open): (&K, usize)| HolderCount { holder: who.to_string(), connections: open };
    let mut all: Vec<HolderCount> = counter.iter().map(holding).collect();
    all.sort_by(|a, b| b.connections.cmp(&a.connections).then_with(|| a.holder.cmp(&b.holder)));
    all.truncate(most);
    all
}
