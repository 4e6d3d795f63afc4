//! The state kept for each open connection.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::rate_limiter::Gcra;

/// How far a connection has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its handshake is under way.
    Handshake,
    /// No slot is left for unknown clients; it has a limited time to authenticate as a known one.
    Probation,
    /// Accepted as an unknown client.
    Unknown,
    /// Authenticated as a known client.
    Known,
}

impl Stage {
    /// Whether the connection does not hold a regular slot yet.
    pub(super) const fn is_pending(self) -> bool {
        matches!(self, Self::Handshake | Self::Probation)
    }
}

/// The peer is not taking the bytes that wait for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct StalledWrite {
    /// Bytes that the peer had taken in total at its last progress.
    pub(super) taken_bytes: u64,
    /// When that was.
    pub(super) since: Duration,
}

/// An open connection.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) address: IpAddr,
    /// Whether it counts against its address and network. It does not while a forwarder has yet to name its
    /// source, nor once it belongs to a known client.
    pub(super) counts_against_address: bool,
    pub(super) stage: Stage,
    /// The known client that it belongs to.
    pub(super) client: Option<Arc<str>>,
    /// Its calls, established or being set up.
    pub(super) calls: u32,
    /// The start of its present stage, or its last activity after that.
    pub(super) idle_since: Duration,
    /// Limits its messages.
    pub(super) message_rate: Gcra,
    /// Set while bytes wait to be sent.
    pub(super) stalled_write: Option<StalledWrite>,
}
