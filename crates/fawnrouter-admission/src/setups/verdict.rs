//! The decision on a set-up, and the reasons it gives.

use std::time::Duration;

/// Why a set-up is refused here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SetUpRefusal {
    /// Its client's rate.
    Rate,
    /// The rate of all strangers together.
    Strangers,
    /// Its client has as many without an answer as it may.
    Pending,
    /// Its client has as many calls as it may.
    Calls,
    /// As many wait as may, and others hold less than its client.
    Full,
    /// It waited as long as one may.
    Waited,
}

impl SetUpRefusal {
    /// The text of its Reason header.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::Rate => "too many set-ups of this client",
            Self::Strangers => "too many set-ups of unknown clients",
            Self::Pending => "too many calls of this client in set-up",
            Self::Calls => "too many calls of this client",
            Self::Full => "too many set-ups wait, and this client holds most",
            Self::Waited => "no turn came in time",
        }
    }
}

/// The decision on a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It goes on to the decisions on routes.
    Go,
    /// It waits here until [`SetUps::next`](super::SetUps::next) names it, for
    /// [`SetUpSettings::wait`](super::SetUpSettings::wait) at the most.
    Wait,
    /// It is refused.
    Refuse {
        /// Why.
        why: SetUpRefusal,
        /// How long its caller should stay away.
        retry_after: Duration,
    },
}
