//! A call's client and state, and the calls of a client.

use std::net::IpAddr;
use std::sync::Arc;

/// The client that a set-up belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientIdentity {
    /// A known client, by name, whatever its address.
    Known(Arc<str>),
    /// A client that has not authenticated, by address.
    Unknown(IpAddr),
}

/// The state of a call that is not over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// It waits in the queue of set-ups.
    Waiting,
    /// Routing holds it; no attempt is out.
    Routing,
    /// An attempt has been sent.
    AttemptSent,
    /// It is established.
    Established,
}

/// A call that is not over.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) client: ClientIdentity,
    pub(super) state: CallState,
}

/// The calls of one client.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClientUsage {
    /// Calls without a final response.
    pub(super) pending: usize,
    /// Calls in total.
    pub(super) calls: usize,
}

/// The owner of a queue: each known client has its own, and all unknown clients share one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum QueueOwner {
    Known(Arc<str>),
    UnknownClients,
}
