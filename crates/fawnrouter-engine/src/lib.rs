#![forbid(unsafe_code)]
//! The gateway as a state machine: a back-to-back user agent with a leg to the caller and one attempt leg at a
//! time to a switch.
//!
//! [`Engine::handle`] takes the clock's reading and an [`Input`] (a parsed message, a connection that came up or
//! went down, a change of the list, a timer due) and appends [`Output`]s: messages to send, connections to open or
//! close, words for the log. It owns the [`fawnrouter::Controller`], which decides every set-up, and the call
//! table. No socket, no clock, no thread, no unseeded randomness, no iteration in hash order: the same inputs give
//! the same outputs, under the daemon as under a model.
//!
//! | module | what it decides or does |
//! | --- | --- |
//! | `gate` | the decisions before the controller's, made in crates of their own |
//! | `identify` | who a client is, and what its request is answered if that does not do |
//! | `set_up_admission` | whose set-up is next |
//! | `intake` | which new call is taken at all: limits, drain |
//! | `classify` | class, tenant and first-choice pool of a call, by rules in the settings |
//! | `status` | the written table of SIP status and [`fawnrouter::Outcome`], both ways |
//! | `caller`, `trunk` | messages of the caller's leg and of the attempt legs |
//! | `engine` | inputs, the controller's events and actions, timers |
//! | `table`, `due`, `identity` | calls, legs, connections; what comes due; what a client has shown of itself |

mod caller;
mod classify;
mod due;
mod engine;
mod gate;
mod identify;
mod identity;
mod intake;
mod interface;
mod set_up_admission;
mod status;
mod table;
mod trunk;

pub use classify::{CallMatch, CallRule, CallRules, Classification, PoolChoice};
pub use engine::{Engine, EngineError};
pub use fawnrouter;
pub use fawnrouter_admission as admission;
pub use fawnrouter_digest as digest;
pub use fawnrouter_machine::{Backoff, BackoffSettings, Decide};
pub use fawnrouter_sip as sip;
pub use fawnrouter_zones as zones;
pub use identity::{AuthSettings, KnownClient, UnknownClients};
pub use intake::{Intake, IntakeLimits, IntakeLoad, IntakeRefusal};
pub use interface::*;
pub use status::{
    FinalAnswer, ResponseDetails, ResponseMeaning, Retryability, answer_to_caller, overload_report,
    response_meaning, retry_after_seconds,
};
