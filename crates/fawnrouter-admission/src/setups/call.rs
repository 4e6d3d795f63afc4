//! A call as it is known here: whose it is, and where.

use std::net::IpAddr;
use std::sync::Arc;

/// Whose set-up it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Who {
    /// A known client, whatever address it comes from.
    Known(Arc<str>),
    /// Somebody who has not shown who it is, by address.
    Stranger(IpAddr),
}

/// Where a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stay {
    /// It waits here.
    Waiting,
    /// The decisions hold it: no attempt is out.
    Held,
    /// An attempt is out.
    Out,
    /// It stands.
    Standing,
}

/// A call that is not over.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) who: Who,
    pub(super) stay: Stay,
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
    Strangers,
}
