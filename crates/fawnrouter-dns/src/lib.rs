#![forbid(unsafe_code)]
//! DNS messages, as far as a client that reads a list of servers needs them: queries (RFC 1035 §4), responses
//! with SRV (RFC 2782), A, TXT and SOA records, compressed names (§4.1.4). Bytes in, typed records out; no
//! socket.
//!
//! Every length is checked. A message with an invalid part is rejected as a whole, because half a list is
//! worse than none.

mod name;
mod response;

pub use name::{Name, NameError};
pub use response::{MAX_MESSAGE_BYTES, Record, RecordData, Response, ResponseError, read_response};

/// The record types that are read (RFC 1035 §3.2.2, RFC 2782).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum RecordType {
    /// A host address.
    A = 1,
    /// The start of authority, which carries the serial.
    Soa = 6,
    /// Text.
    Txt = 16,
    /// A server.
    Srv = 33,
}

/// The class IN (RFC 1035 §3.2.4).
const CLASS_IN: u16 = 1;

/// Encodes a query for one name (RFC 1035 §4.1.1, §4.1.2): opcode 0, recursion not desired, one question.
#[must_use]
pub fn query(id: u16, name: &Name, kind: RecordType) -> Vec<u8> {
    let mut out = Vec::with_capacity(64);
    out.extend(id.to_be_bytes());
    out.extend([0, 0, 0, 1, 0, 0, 0, 0, 0, 0]);
    name.encode(&mut out);
    out.extend((kind as u16).to_be_bytes());
    out.extend(CLASS_IN.to_be_bytes());
    out
}
