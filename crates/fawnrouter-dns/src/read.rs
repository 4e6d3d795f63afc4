//! Answers.

use std::net::Ipv4Addr;

use crate::name::{Name, NameError};
use crate::{CLASS_IN, RecordType};

/// The longest answer that is read: UDP carries no more.
pub const MAX_MESSAGE_BYTES: usize = 65_535;

/// Why a datagram is not the answer to a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum ResponseError {
    /// It ends too early.
    #[error("the message ends before its records do")]
    UnexpectedEnd,
    /// Bytes are left over.
    #[error("the message goes on after its records")]
    TrailingBytes,
    /// A name is wrong.
    #[error(transparent)]
    Name(#[from] NameError),
    /// It is a query, or of another opcode.
    #[error("the message is no answer to a query")]
    NotAResponse,
    /// It has another id than the query.
    #[error("the answer has another id than the query")]
    IdMismatch,
    /// It answers another question.
    #[error("the answer is to another question")]
    QuestionMismatch,
    /// TC: it did not fit (RFC 1035 §4.1.1).
    #[error("the answer is truncated")]
    Truncated,
    /// RCODE: the server could not answer.
    #[error("the name server reports failure {0}")]
    ResponseCode(u8),
    /// A record's data does not fit its type.
    #[error("a record's data does not fit its type")]
    InvalidRecordData,
}

/// A record's data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordData {
    /// An address (RFC 1035 §3.4.1).
    A(Ipv4Addr),
    /// A server (RFC 2782).
    Srv {
        /// The lower, the sooner.
        priority: u16,
        /// Share among those of one priority.
        weight: u16,
        /// Port.
        port: u16,
        /// Host.
        target: Name,
    },
    /// Texts (RFC 1035 §3.3.14).
    Txt(Vec<Vec<u8>>),
    /// The serial of the start of authority (RFC 1035 §3.3.13).
    Soa {
        /// The zone's version.
        serial: u32,
    },
    /// A type that is not read.
    Other,
}

/// A record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Whose it is.
    pub name: Name,
    /// What it says.
    pub data: RecordData,
}

/// An answer: its sections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Answers.
    pub answers: Vec<Record>,
    /// The authority section.
    pub authority: Vec<Record>,
    /// Additional records.
    pub additional: Vec<Record>,
}

struct Reader<'a> {
    message: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn bytes<const N: usize>(&mut self) -> Result<[u8; N], ResponseError> {
        let bytes = self.message.get(self.at..self.at + N).ok_or(ResponseError::UnexpectedEnd)?;
        self.at += N;
        bytes.try_into().map_err(|_| ResponseError::UnexpectedEnd)
    }

    fn u16(&mut self) -> Result<u16, ResponseError> {
        self.bytes().map(u16::from_be_bytes)
    }

    fn u32(&mut self) -> Result<u32, ResponseError> {
        self.bytes().map(u32::from_be_bytes)
    }

    fn name(&mut self) -> Result<Name, ResponseError> {
        let (name, after) = Name::read(self.message, self.at)?;
        self.at = after;
        Ok(name)
    }

    fn records(&mut self, count: u16) -> Result<Vec<Record>, ResponseError> {
        // Not sized by the announced count: what does not follow is found missing.
        let mut records = Vec::new();
        for _ in 0..count {
            let name = self.name()?;
            let (kind, class, _ttl) = (self.u16()?, self.u16()?, self.u32()?);
            let end = usize::from(self.u16()?) + self.at;
            if end > self.message.len() {
                return Err(ResponseError::UnexpectedEnd);
            }
            let data = if class == CLASS_IN { self.data(kind, end)? } else { RecordData::Other };
            if matches!(data, RecordData::Other) {
                self.at = end;
            }
            if self.at != end {
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
                while self.at < end {
                    let [length] = self.bytes::<1>()?;
                    let text = self.message.get(self.at..self.at + usize::from(length));
                    texts.push(text.ok_or(ResponseError::UnexpectedEnd)?.to_vec());
                    self.at += usize::from(length);
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

/// Reads the answer to the query of this id, name and type.
///
/// # Errors
/// Says why it is not that answer, or cannot be relied on.
pub fn read_response(
    message: &[u8],
    id: u16,
    name: &Name,
    kind: RecordType,
) -> Result<Response, ResponseError> {
    let mut reader = Reader { message, at: 0 };
    let (got, flags) = (reader.u16()?, reader.u16()?);
    let counts = [reader.u16()?, reader.u16()?, reader.u16()?, reader.u16()?];
    if got != id {
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
    let answer = Response {
        answers: reader.records(counts[1])?,
        authority: reader.records(counts[2])?,
        additional: reader.records(counts[3])?,
    };
    if reader.at != message.len() {
        return Err(ResponseError::TrailingBytes);
    }
    Ok(answer)
}
