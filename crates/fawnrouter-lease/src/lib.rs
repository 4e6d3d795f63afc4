#![forbid(unsafe_code)]
//! Leases among gateways: some work is done by one of them at a time. No I/O, no clock, no randomness.
//!
//! | module | what it decides or keeps | who runs it |
//! | --- | --- | --- |
//! | `table` | who has which lease, under which number: a state machine over agreed commands | every voter, alike |
//! | `expiry_timer` | when a lease that nobody renewed may be given on | whoever leads the voters |
//! | `holder` | whether *this* gateway may act now, by its own clock; what to ask and when | every gateway that wants a lease |
//! | `fence` | the last guard: an act with a number below the highest seen is refused | whoever is acted upon |
//!
//! # Why no two act at once
//!
//! A holder that sent its request at `s` (its own clock) and was granted `term` acts before `s + term * (1 - drift)`. A
//! voter counts the whole `term` from when *it* applied the grant, which is later than `s`, and proposes an expiry for that
//! one stamp; a renewal ordered before it makes the expiry void, and one ordered after it is refused. With `drift` at least
//! the greatest ratio by which two gateways' clocks run apart, the holder has stopped before the table gives the lease on.
//! A gateway that stands still between looking at its clock and acting is caught by the [`Fence`] alone.

mod expiry_timer;
mod fence;
mod holder;
mod names;
mod table;

pub use expiry_timer::ExpiryTimer;
pub use fence::{Fence, FenceError};
pub use holder::{Holder, HolderSettings, LeaseRequest, LeaseStatus, Permit};
pub use names::{Epoch, FencingNumber, GatewayId, Incarnation, LeaseName, Member, NameError, Stamp};
pub use table::{Command, LeaseEntry, LeaseTable, Refusal, Reply};
