//! The decision on a set-up and its reasons.

use std::time::Duration;

/// Why a set-up is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SetUpRefusal {
    /// Its client exceeds its rate.
    Rate,
    /// All unknown clients together exceed their rate.
    UnknownClientsRate,
    /// Its client has reached its limit of calls without a final response.
    PendingLimit,
    /// Its client has reached its limit of calls.
    CallLimit,
    /// The queue is full, and other clients hold less of it than this one.
    QueueFull,
    /// It waited for the longest time allowed.
    WaitExpired,
}

impl SetUpRefusal {
    /// The text for its Reason header.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::Rate => "too many set-ups of this client",
            Self::UnknownClientsRate => "too many set-ups of unknown clients",
            Self::PendingLimit => "too many calls of this client in set-up",
            Self::CallLimit => "too many calls of this client",
            Self::QueueFull => "too many set-ups wait, and this client holds most",
            Self::WaitExpired => "no turn came in time",
        }
    }
}

/// The decision on a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetUpDecision {
    /// It is passed to routing.
    Proceed,
    /// It waits in the queue until [`SetUpAdmission::next_ready`](super::SetUpAdmission::next_ready) returns
    /// it, for [`SetUpSettings::max_wait`](super::SetUpSettings::max_wait) at most.
    Wait,
    /// It is refused.
    Refuse {
        /// Why.
        reason: SetUpRefusal,
        /// How long its caller should wait before it tries again.
        retry_after: Duration,
    },
}
