#![forbid(unsafe_code)]
//! SIP without I/O: messages (RFC 3261 §7, §25), their framing on a stream (§18.3), URIs (§19.1, RFC 3966,
//! RFC 4904), transactions over reliable transports (§17, RFC 6026) and dialogs (§12).
//!
//! The parsers turn bytes into typed messages; every length and count has a limit in [`Limits`]. The package
//! reads no clock: its user runs the timers.

mod builder;
mod dialog;
mod message;
mod stream;
pub mod transaction;
mod uri;
mod value;

pub use builder::{MessageBuilder, reason_phrase};
pub use dialog::Dialog;
pub use message::{Field, InvalidRequest, Limits, Message, Method, Name, ParseError, StartLine};
pub use stream::{StreamDecoder, StreamItem};
pub use uri::{TrunkGroup, Uri, UriError, unescape};
pub use value::{Address, CSeq, Params, Reason, ValueError, Via, first_value, split_values};
