//! The decision on a set-up, and the reasons it gives.

use std::time::Duration;

/// Why a set-up is refused here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SetUpRefusal {
    /// Its client's rate.
    Rate,
    /// The rate of all strangers together.
    UnknownClientsRate,
    /// Its client has as many without an answer as it may.
    Pending,
    /// Its client has as many calls as it may.
    Calls,
    /// As many wait as may, and others hold less than its client.
    Full,
    /// It waited as long as one may.
    WaitExpired,
}

impl SetUpRefusal {
    /// The text of its Reason header.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::Rate => "too many set-ups of this client",
            Self::UnknownClientsRate => "too many set-ups of unknown clients",
            Self::Pending => "too many calls of this client in set-up",
            Self::Calls => "too many calls of this client",
            Self::Full => "too many set-ups wait, and this client holds most",
            Self::WaitExpired => "no turn came in time",
        }
    }
}

/// The decision on a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetUpDecision {
    /// It goes on to the decisions on routes.
    Proceed,
    /// It waits here until [`SetUpAdmission::next_ready`](super::SetUpAdmission::next_ready) names it, for
    /// [`SetUpSettings::max_wait`](super::SetUpSettings::max_wait) at the most.
    Wait,
    /// It is refused.
    Refuse {
        /// Why.
        reason: SetUpRefusal,
        /// How long its caller should stay away.
        retry_after: Duration,
    },
}
