#![forbid(unsafe_code)]
//! Which connections get in when too many knock. No socket, no clock, no unseeded randomness: each call gets the
//! time since the embedder's origin, and the same calls give the same answers.
//!
//! | module | what it decides |
//! | --- | --- |
//! | `admission` | accepts, or refuses with a reason and a time to stay away; who is closed to make room |
//! | `set_ups` | which set-up reaches the decisions on routes, and when |
//! | `descriptors` | what the descriptors of the process are for, and what to do without any |
//! | `dynamic_threshold` | how much may wait for one connection |
//! | `alarms` | when a line goes to the log |
//! | `rate_limiter` | rates by address in bounded memory, which forgets nobody who is over the rate |
//! | `fair_queue` | whose set-up is next, so that one client's burst does not hold up the others |
//! | `reserve` | how much of the room only known clients may use |

mod admission;
mod alarms;
mod descriptors;
mod dynamic_threshold;
mod fair_queue;
mod rate_limiter;
mod reserve;
mod retry_after_spread;
mod set_ups;

pub use admission::{
    Admission, AdmissionSettings, Arrival, ConnectionDecision, ConnectionId, EvictionReason, HolderCount,
    PrefixLengths, RefusalReason, SettingsError, Snapshot,
};
pub use alarms::{AlarmEvent, Alarms};
pub use descriptors::{
    AcceptDecision, DescriptorSettings, Descriptors, ExhaustionAction, ExhaustionEvent, TooFewDescriptors,
};
pub use dynamic_threshold::{BufferLimits, BufferOwner, DynamicThreshold};
pub use fair_queue::{FairQueue, FairQueueSettings, QueueRejection};
pub use rate_limiter::{AddressRateLimiter, Gcra, Rate};
pub use reserve::{Reserve, ReserveSettings};
pub use retry_after_spread::RetryAfterSpread;
pub use set_ups::{
    CallState, ClientIdentity, ClientLimits, SetUpAdmission, SetUpDecision, SetUpRefusal, SetUpSettings,
};
