//! What is held and was refused, for operators.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use super::counter::Counter;
use super::verdict::{Eviction, Reason};

/// What one address or client holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The address, or the client's name.
    pub who: String,
    /// Open connections.
    pub open: usize,
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
    pub refused: BTreeMap<Reason, u64>,
    /// Connections that were in and were closed, by reason.
    pub evicted: BTreeMap<Eviction, u64>,
    /// The addresses that hold most, most first.
    pub addresses: Vec<Holding>,
    /// The known clients that hold most, most first.
    pub clients: Vec<Holding>,
    /// Addresses that an operator has blocked, with the time that is left.
    pub blocked: Vec<(IpAddr, Duration)>,
}

/// Those that hold most, most first.
pub(super) fn largest<K: Ord + ToString>(counter: &Counter<K>, most: usize) -> Vec<Holding> {
    let holding = |(who, open): (&K, usize)| Holding { who: who.to_string(), open };
    let mut all: Vec<Holding> = counter.iter().map(holding).collect();
    all.sort_by(|a, b| b.open.cmp(&a.open).then_with(|| a.who.cmp(&b.who)));
    all.truncate(most);
    all
}
