//! The decision on a connection and its reasons.

use std::net::IpAddr;
use std::time::Duration;

/// A connection's number, chosen by the embedder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Its number, which is never used again.
    pub conn: ConnectionId,
    /// The peer's address, or the address that a trusted forwarder names.
    pub address: IpAddr,
}

/// Why a connection is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// An operator has blocked the address.
    Blocked,
    /// Its address exceeds the rate of new connections.
    Rate,
    /// Its address has reached its connection limit.
    Address,
    /// Its network has reached its connection limit.
    Network,
    /// Too many handshakes are under way, in total or from its address.
    Handshakes,
    /// All slots for unknown clients are taken; the rest is reserved for known clients.
    Reserved,
    /// All slots are taken.
    Full,
    /// Its client has reached its connection limit.
    Client,
    /// The process has no file descriptor left for it.
    Descriptors,
}

impl RefusalReason {
    /// The text for logs and responses.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::Blocked => "the address is blocked",
            Self::Rate => "too many new connections of this address",
            Self::Address => "too many connections of this address",
            Self::Network => "too many connections of this network",
            Self::Handshakes => "too many handshakes under way",
            Self::Reserved => "the places for unknown clients are taken",
            Self::Full => "all places are taken",
            Self::Client => "too many connections of this client",
            Self::Descriptors => "no descriptor is left",
        }
    }
}

/// Why an accepted connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionReason {
    /// Its slot was needed for another connection: it was idle, or its handshake was slow.
    SlotNeeded,
    /// It was idle for too long.
    Idle,
    /// The peer did not read.
    SlowReader,
    /// It did not authenticate as a known client before its probation ended.
    ProbationExpired,
}

impl EvictionReason {
    /// The text for logs and the WebSocket close frame.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::SlotNeeded => "idle, and others want in",
            Self::Idle => "idle for too long",
            Self::SlowReader => "does not read",
            Self::ProbationExpired => "places for unknown clients are taken",
        }
    }
}

/// The decision on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionDecision {
    /// It is accepted.
    Accept,
    /// It may stay for [`AdmissionSettings::probation_time`](super::AdmissionSettings::probation_time) to
    /// authenticate as a known client. There is no slot for it as an unknown client.
    Probation,
    /// It is accepted and the given connection is closed to make room: the longest idle one without a call,
    /// or the oldest handshake.
    Replace(ConnectionId),
    /// It is refused.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// How long the client should wait before it tries again.
        retry_after: Duration,
    },
}
