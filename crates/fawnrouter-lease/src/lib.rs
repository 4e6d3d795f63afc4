#![forbid(unsafe_code)]
//! Leases among gateways: certain work is done by one gateway at a time. No I/O, no clock, no randomness.
//!
//! | module | what it decides or keeps | who runs it |
//! | --- | --- | --- |
//! | `table` | who holds which lease under which number: a state machine over agreed commands | every voter |
//! | `expiry_timer` | when a lease that was not renewed may be given away | the leader of the voters |
//! | `holder` | whether *this* gateway may act, by its clock; its requests | gateways that want a lease |
//! | `fence` | rejects acts with numbers below the highest seen, the last safeguard | the resource acted on |
//!
//! # Why no two gateways act at once
//!
//! A holder that sent its request at `s` (by its own clock) and was granted `term` acts only before `s + term
//! * (1 - drift)`. A voter counts the whole `term` from when it applied the grant, which is later than `s`,
//! and proposes an expiry for the stamp of that grant. A renewal that is ordered before the expiry makes the
//! expiry void; one that is ordered after it is refused. If `drift` is at least the greatest ratio by which
//! the clocks of two gateways diverge, the holder has stopped before the table gives the lease to another. A
//! gateway that is suspended between checking its clock and acting is stopped by the [`Fence`] alone.

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
