#![forbid(unsafe_code)]
//! Messages of the platform: one JSON object per line, ended by a line feed, at most 16 KiB (the platform's
//! protocol; see `docs/design/025-platform-gateway.md`). Bytes in, typed messages out; no socket and no
//! decision.
//!
//! A line that is not a message ends the stream: nothing after it on the connection can be trusted. A message
//! with invalid values is still a message, and its tag tells which call the error belongs to.

mod decode;
mod message;
mod options;

pub use decode::{DecodeError, Decoder, MAX_LINE_BYTES};
pub use message::{Message, OptionValue, Tag, Verb};
pub use options::Options;
