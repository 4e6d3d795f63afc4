//! Keys of the engine's timers.

use fawnrouter::{CallId, ServerId, TimerId};

/// An attempt's leg to a switch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LegId(pub u64);

/// What a timer is set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKey {
    /// A timer of the controller.
    Controller(TimerId),
    /// The caller's deadline, or the end of the wait for its ACK.
    Call(CallId),
    /// The time-out of an attempt, or the end of the wait for a late answer.
    Leg(LegId),
    /// The next attempt to connect to a switch.
    Trunk(ServerId),
}
