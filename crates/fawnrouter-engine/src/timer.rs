//! What comes due, by the ids of calls, legs and switches.

use fawnrouter::{CallId, ServerId, TimerId};

/// An attempt's leg to a switch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LegId(pub u64);

/// What comes due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKey {
    /// A timer of the controller.
    Controller(TimerId),
    /// A call's time is up, or its ACK has not come.
    Call(CallId),
    /// A leg's time-out, or its end of patience.
    Leg(LegId),
    /// A connection may be tried again.
    Trunk(ServerId),
}
