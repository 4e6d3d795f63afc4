#![forbid(unsafe_code)]
//! Admission control: which connections are accepted and which set-up is next when the gateway is overloaded.
//! No socket, no clock and no unseeded randomness: each call gets the time since the embedder's origin, and
//! the same calls give the same results.
//!
//! | module | what it decides |
//! | --- | --- |
//! | `admission` | accepts or refuses connections, with a reason and a retry time; closes some to make room |
//! | `set_ups` | which set-ups are passed to routing, and when |
//! | `descriptors` | how the file descriptors of the process are divided, and what to do when they run out |
//! | `dynamic_threshold` | how many bytes may be buffered for one connection |
//! | `alarms` | when a lasting condition is logged |
//! | `rate_limiter` | rate limits by address in bounded memory, which keep limiting displaced addresses |
//! | `fair_queue` | which client's set-up is next, so that one client's burst does not delay the others |
//! | `reserve` | how many connection slots only known clients may use |
//! | `retry_after_spread` | when refused clients should retry |

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
