#![forbid(unsafe_code)]
//! The SIP gateway as a state machine: a back-to-back user agent with one leg to the caller and one attempt
//! leg at a time to a switch.
//!
//! [`Engine::handle`] takes the time and an [`Input`] (a parsed message, a connection that opened or closed,
//! a change of the list of switches, an expired timer) and appends [`Output`]s: messages to send, connections
//! to open or close, log lines. The engine owns the call table and the [`fawnrouter::Controller`], which
//! decides on every set-up. It uses no socket, clock, thread, unseeded randomness or iteration in hash order:
//! the same inputs give the same outputs, in the daemon and in a simulation.
//!
//! | module | contents |
//! | --- | --- |
//! | `gate` | the checks before the controller: authentication and admission of set-ups |
//! | `authenticate` | authentication of clients and the responses that it requires |
//! | `set_up_admission` | queueing of set-ups before the controller |
//! | `intake` | limits on new calls, and drain |
//! | `classify` | class, tenant and first-choice pool of a call, by rules in the settings |
//! | `status` | mapping between SIP status and [`fawnrouter::Outcome`], both ways |
//! | `caller`, `trunk` | messages of the caller's leg and of the attempt legs |
//! | `engine` | inputs, the controller's events and actions, timers |
//! | `table`, `timer`, `identity` | calls, legs and connections; timer keys; the identity of a client |

mod authenticate;
mod caller;
mod classify;
mod engine;
mod gate;
mod identity;
mod intake;
mod interface;
mod set_up_admission;
mod status;
mod table;
mod timer;
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
