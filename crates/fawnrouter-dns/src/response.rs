//! Responses.

use std::net::Ipv4Addr;

use crate::name::{Name, NameError};
use crate::{CLASS_IN, RecordType};

/// Longest response; UDP carries no more.
pub const MAX_MESSAGE_BYTES: usize = 65_535;

/// Why a datagram is not a usable response to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum ResponseError {
    /// The message ends too early.
    #[error("the message ends within its records")]
    UnexpectedEnd,
    /// Bytes are left after the last record.
    #[error("the message has bytes after its records")]
    TrailingBytes,
    /// A name is invalid.
    #[error(transparent)]
    Name(#[from] NameError),
    /// The message is a query, or of another opcode.
    #[error("the message is not a response to a query")]
    NotAResponse,
    /// The id is not that of the query.
    #[error("the response has another id than the query")]
    IdMismatch,
    /// The question is not that of the query.
    #[error("the response is to another question")]
    QuestionMismatch,
    /// TC: the response did not fit (RFC 1035 §4.1.1).
    #[error("the response is truncated")]
    Truncated,
    /// RCODE: the server could not answer.
    #[error("the name server returned response code {0}")]
    ResponseCode(u8),
    /// A record's data does not match its type.
    #[error("a record's data does not fit its type")]
    InvalidRecordData,
}

/// A record's data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordData {
    /// A host address (RFC 1035 §3.4.1).
    A(Ipv4Addr),
    /// A server (RFC 2782).
    Srv {
        /// Servers of lower priority values are used first.
        priority: u16,
        /// Relative share among servers of one priority.
        weight: u16,
        /// The server's port.
        port: u16,
        /// The server's host name.
        target: Name,
    },
    /// Character strings (RFC 1035 §3.3.14).
    Txt(Vec<Vec<u8>>),
    /// The start of authority (RFC 1035 §3.3.13).
    Soa {
        /// The zone's version.
        serial: u32,
    },
    /// A type that is not read.
    Other,
}

/// A resource record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The name that the record belongs to.
    pub name: Name,
    /// The record's data.
    pub data: RecordData,
}

/// The sections of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The answer section.
    pub answers: Vec<Record>,
    /// The authority section.
    pub authority: Vec<Record>,
    /// The additional section.
    pub additional: Vec<Record>,
}

struct Reader<'a> {
    message: &'a [u8],
    position: usize,
}

impl Reader<'_> {
    fn bytes<const N: usize>(&mut self) -> Result<[u8; N], ResponseError> {
        let bytes = self.message.get(self.position..self.position + N).ok_or(ResponseError::UnexpectedEnd)?;
        self.position += N;
        bytes.try_into().map_err(|_| ResponseError::UnexpectedEnd)
    }

    fn u16(&mut self) -> Result<u16, ResponseError> {
        self.bytes().map(u16::from_be_bytes)
    }

    fn u32(&mut self) -> Result<u32, ResponseError> {
        self.bytes().map(u32::from_be_bytes)
    }

    fn name(&mut self) -> Result<Name, ResponseError> {
        let (name, after) = Name::decode(self.message, self.position)?;
        self.position = after;
        Ok(name)
    }

    fn records(&mut self, count: u16) -> Result<Vec<Record>, ResponseError> {
        // Not allocated by the announced count, which may be larger than what follows.
        let mut records = Vec::new();
        for _ in 0..count {
            let name = self.name()?;
            let (kind, class, _ttl) = (self.u16()?, self.u16()?, self.u32()?);
            let end = usize::from(self.u16()?) + self.position;
            if end > self.message.len() {
                return Err(ResponseError::UnexpectedEnd);
            }
            let data = if class == CLASS_IN { self.data(kind, end)? } else { RecordData::Other };
            if matches!(data, RecordData::Other) {
                self.position = end;
            }
            if self.position != end {
                return Err(ResponseError::InvalidRecordData);
            }
            records.push(Record { name, data });
        }
        Ok(records)
    }

    fn data(&mut self, kind: u16, end: usize) -> Result<RecordData, ResponseError> {
        const A: u16 = RecordType::A as u16;
        const SOA: u16 = RecordType::Soa as u16;
        const TXT: u16 = RecordType::Txt as u16;
        const SRV: u16 = RecordType::Srv as u16;
        Ok(match kind {
            A => RecordData::A(Ipv4Addr::from(self.bytes::<4>()?)),
            SRV => {
                let (priority, weight, port) = (self.u16()?, self.u16()?, self.u16()?);
                RecordData::Srv { priority, weight, port, target: self.name()? }
            }
            TXT => {
                let mut texts = Vec::new();
                while self.position < end {
                    let [length] = self.bytes::<1>()?;
                    let text = self.message.get(self.position..self.position + usize::from(length));
                    texts.push(text.ok_or(ResponseError::UnexpectedEnd)?.to_vec());
                    self.position += usize::from(length);
                }
                RecordData::Txt(texts)
            }
            SOA => {
                self.name()?;
                self.name()?;
                let serial = self.u32()?;
                self.bytes::<16>()?;
                RecordData::Soa { serial }
            }
            _ => RecordData::Other,
        })
    }
}

/// Reads the response to the query with this id, name and type.
///
/// # Errors
/// Says why the message is not that response, or not usable.
pub fn read_response(
    message: &[u8],
    id: u16,
    name: &Name,
    kind: RecordType,
) -> Result<Response, ResponseError> {
    let mut reader = Reader { message, position: 0 };
    let (response_id, flags) = (reader.u16()?, reader.u16()?);
    let counts = [reader.u16()?, reader.u16()?, reader.u16()?, reader.u16()?];
    if response_id != id {
        return Err(ResponseError::IdMismatch);
    }
    // QR set, opcode 0 (RFC 1035 §4.1.1).
    if flags & 0xf800 != 0x8000 {
        return Err(ResponseError::NotAResponse);
    }
    if flags & 0x0200 != 0 {
        return Err(ResponseError::Truncated);
    }
    if flags & 0x000f != 0 {
        return Err(ResponseError::ResponseCode((flags & 0x000f) as u8));
    }
    if counts[0] != 1 || reader.name()? != *name || reader.u16()? != kind as u16 || reader.u16()? != CLASS_IN
    {
        return Err(ResponseError::QuestionMismatch);
    }
    let response = Response {
        answers: reader.records(counts[1])?,
        authority: reader.records(counts[2])?,
        additional: reader.records(counts[3])?,
    };
    if reader.position != message.len() {
        return Err(ResponseError::TrailingBytes);
    }
    Ok(response)
}
