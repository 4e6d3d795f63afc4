#![forbid(unsafe_code)]
//! Which connections get in when too many knock. No socket, no clock, no unseeded randomness: each call gets the
//! time since the embedder's origin, and the same calls give the same answers.
//!
//! | module | what it decides |
//! | --- | --- |
//! | `admission` | accepts, or refuses with a reason and a time to stay away; who is closed to make room |
//! | `setups` | which set-up reaches the decisions on routes, and when |
//! | `descriptors` | what the descriptors of the process are for, and what to do without any |
//! | `bytes` | how much may wait for one connection |
//! | `alarm` | when a line goes to the log |
//! | `limiter` | rates by address in bounded memory, which forgets nobody who is over the rate |
//! | `fair` | whose set-up is next, so that one client's burst does not hold up the others |
//! | `reserve` | how much of the room only known clients may use |

mod admission;
mod alarm;
mod bytes;
mod descriptors;
mod fair;
mod limiter;
mod reserve;
mod setups;
mod spread;

pub use admission::{
    Admission, AdmissionSettings, Arrival, ConnectionDecision, ConnectionId, EvictionReason, HolderCount,
    PrefixLengths, RefusalReason, SettingsError, Snapshot,
};
pub use alarm::{AlarmEvent, Alarms};
pub use bytes::{BufferLimits, BufferOwner, DynamicThreshold};
pub use descriptors::{
    AcceptDecision, DescriptorSettings, Descriptors, ExhaustionAction, ExhaustionEvent, TooFewDescriptors,
};
pub use fair::{FairQueue, FairQueueSettings, QueueRejection};
pub use limiter::{AddressRateLimiter, Gcra, Rate};
pub use reserve::{Reserve, ReserveSettings};
pub use setups::{
    CallState, ClientIdentity, ClientLimits, SetUpAdmission, SetUpDecision, SetUpRefusal, SetUpSettings,
};
pub use spread::RetryAfterSpread;
