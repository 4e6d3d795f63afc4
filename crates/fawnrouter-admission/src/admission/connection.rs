//! What is kept of each open connection.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::rate_limiter::Gcra;

/// What a connection has shown of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Handshake,
    Probation,
    Unknown,
    Known,
}

impl Stage {
    /// It has yet to show what it is.
    pub(super) const fn unproven(self) -> bool {
        matches!(self, Self::Handshake | Self::Probation)
    }
}

/// An open connection.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) address: IpAddr,
    /// It counts against its address: not if a forwarder has yet to say where it comes from, nor once it is known.
    pub(super) counted: bool,
    pub(super) stage: Stage,
    pub(super) client: Option<Arc<str>>,
    /// Calls standing or out.
    pub(super) calls: u32,
    /// Since when it has been idle.
    pub(super) idle_since: Duration,
    /// What it owes for its messages.
    pub(super) pace: Gcra,
    /// Bytes that it had taken in all when it last took some, and when that was; `None` if none wait.
    pub(super) stuck: Option<(u64, Duration)>,
}
