#![forbid(unsafe_code)]
//! DNS messages as far as a client that reads a list of servers needs them: queries (RFC 1035 §4), answers with SRV
//! (RFC 2782), A, TXT and SOA records, compressed names (§4.1.4). Bytes in, typed records out; no socket.
//!
//! Every length is checked; a message that does not fit is an error as a whole, as half a list is worse than none.

mod name;
mod read;

pub use name::{Name, NameError};
pub use read::{MAX_MESSAGE_BYTES, Record, RecordData, Response, ResponseError, read_response};

/// The types of record that are read (RFC 1035 §3.2.2, RFC 2782).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum RecordType {
    /// An address.
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

/// Writes a query for one name (RFC 1035 §4.1.1, §4.1.2): opcode 0, no recursion wanted, one question.
#[must_use]
pub fn query(id: u16, name: &Name, kind: RecordType) -> Vec<u8> {
    let mut out = Vec::with_capacity(64);
    out.extend(id.to_be_bytes());
    out.extend([0, 0, 0, 1, 0, 0, 0, 0, 0, 0]);
    name.write(&mut out);
    out.extend((kind as u16).to_be_bytes());
    out.extend(CLASS_IN.to_be_bytes());
    out
}
