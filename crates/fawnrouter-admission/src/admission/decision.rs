//! The decision on a connection, and the reasons it gives.

use std::net::IpAddr;
use std::time::Duration;

/// A connection, as the embedder numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A connection that wants in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Its number; never used again.
    pub conn: ConnectionId,
    /// Where it comes from; behind a trusted forwarder, what that says.
    pub address: IpAddr,
}

/// Why a connection does not get in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// An operator has blocked the address.
    Blocked,
    /// The rate of its address.
    Rate,
    /// The cap of its address.
    Address,
    /// The cap of its prefix.
    Prefix,
    /// Too many handshakes are under way, in all or of its address.
    Handshakes,
    /// All that strangers may use is taken; the rest is kept for known clients.
    Reserved,
    /// Everything is taken.
    Full,
    /// The cap of its client.
    Client,
    /// The process has no descriptor left for it.
    Descriptors,
}

impl RefusalReason {
    /// A word for logs and answers.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::Blocked => "the address is blocked",
            Self::Rate => "too many new connections of this address",
            Self::Address => "too many connections of this address",
            Self::Prefix => "too many connections of this network",
            Self::Handshakes => "too many handshakes under way",
            Self::Reserved => "the places for unknown clients are taken",
            Self::Full => "all places are taken",
            Self::Client => "too many connections of this client",
            Self::Descriptors => "no descriptor is left",
        }
    }
}

/// Why a connection that was in is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionReason {
    /// It was idle, and another needed the place.
    PlaceNeeded,
    /// It did nothing for too long.
    Idle,
    /// It did not read.
    SlowReader,
    /// It did not show in time that it is a known client's.
    ProbationExpired,
}

impl EvictionReason {
    /// A word for logs and the close frame.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::PlaceNeeded => "idle, and others want in",
            Self::Idle => "idle for too long",
            Self::SlowReader => "does not read",
            Self::ProbationExpired => "places for unknown clients are taken",
        }
    }
}

/// The decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionDecision {
    /// It gets in.
    Accept,
    /// It gets in for a time ([`AdmissionSettings::probation_time`](super::AdmissionSettings::probation_time)), in which it may show
    /// that it is a known client's; as a stranger it gets nothing.
    Probation,
    /// It gets in, and this one is closed to make room for it: one without a call, idle for longest, or the handshake
    /// that takes longest.
    Replace(ConnectionId),
    /// It does not.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// How long it should stay away.
        retry_after: Duration,
    },
}
