//! A call as it is known here: whose it is, and where.

use std::net::IpAddr;
use std::sync::Arc;

/// Whose set-up it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientIdentity {
    /// A known client, whatever address it comes from.
    Known(Arc<str>),
    /// Somebody who has not shown who it is, by address.
    Unknown(IpAddr),
}

/// Where a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// It waits here.
    Waiting,
    /// The decisions hold it: no attempt is out.
    Routing,
    /// An attempt is out.
    AttemptSent,
    /// It stands.
    Established,
}

/// A call that is not over.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) client: ClientIdentity,
    pub(super) state: CallState,
}

/// What one client has.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Holder {
    /// Calls without a final answer.
    pub(super) pending: usize,
    /// Calls in all.
    pub(super) calls: usize,
}

/// Known clients one by one, and all strangers together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lane {
    Known(Arc<str>),
    UnknownClients,
}
