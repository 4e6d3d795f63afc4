#![forbid(unsafe_code)]
//! The users' platform's messages: one JSON object a line, ended by a line feed, 16 KiB at the most
//! (the platform's page PROTOCOL). Bytes in, typed messages out; no socket and no decision.
//!
//! A line that is no message ends the stream: after it nothing on the connection can be trusted. A message whose
//! figures make no sense is still a message, and its tag tells which call the fault belongs to.

mod decode;
mod message;

pub use decode::{DecodeError, Decoder, MAX_LINE_BYTES};
pub use message::{Message, OptionValue, Options, Tag, Verb};
