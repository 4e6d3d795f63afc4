//! Messages on a byte stream, framed by Content-Length (RFC 3261 §18.3), with the keep-alives of RFC 5626
//! §3.5.1.

use crate::message::{self, Limits, Message, ParseError};

/// An item of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A message.
    Message(Box<Message>),
    /// A keep-alive ping (double CRLF), to be answered with a single CRLF.
    Ping,
}

/// Splits a stream into messages. Within the limits, it buffers at most one incomplete message and the bytes
/// that were pushed and not yet decoded.
#[derive(Debug, Default)]
pub struct StreamDecoder {
    limits: Limits,
    buffer: Vec<u8>,
    /// Bytes at the front of the buffer that have been decoded.
    consumed: usize,
    /// No end of a head begins before this offset, so that the search does not start over with each push.
    searched: usize,
    /// A parsed head whose body, of this length, is not complete.
    pending: Option<(Message, usize)>,
}

impl StreamDecoder {
    /// Creates a decoder with these limits.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.searched -= self.consumed.min(self.searched);
            self.consumed = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes that have not been returned as part of a message.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() - self.consumed
    }

    /// Returns the next complete message or ping, if there is one.
    ///
    /// # Errors
    /// If the bytes are not a message within the limits. The stream cannot be decoded any further after that,
    /// because the start of the next message is unknown.
    pub fn next_item(&mut self) -> Result<Option<StreamItem>, ParseError> {
        if self.pending.is_none() {
            let rest = &self.buffer[self.consumed..];
            if rest.starts_with(b"\r\n\r\n") {
                self.consumed += 4;
                return Ok(Some(StreamItem::Ping));
            }
            if rest.starts_with(b"\r\n") && rest.len() > 2 && !rest[2..].starts_with(b"\r") {
                self.consumed += 2;
            }
            if self.buffer[self.consumed..].is_empty()
                || b"\r\n\r\n".starts_with(&self.buffer[self.consumed..])
            {
                return Ok(None);
            }
            let from = self.searched.max(self.consumed);
            let Some(end) = message::find_head_end(&self.buffer, from) else {
                self.searched = self.buffer.len().saturating_sub(3).max(self.consumed);
                if self.buffer.len() - self.consumed > self.limits.head_bytes {
                    return Err(ParseError::TooLarge { what: "the head", limit: self.limits.head_bytes });
                }
                return Ok(None);
            };
            let head = Message::parse_head(&self.buffer[self.consumed..end], &self.limits)?;
            let length = head.content_length()?.ok_or(ParseError::ContentLength)?;
            if length > self.limits.body_bytes {
                return Err(ParseError::TooLarge { what: "the body", limit: self.limits.body_bytes });
            }
            self.consumed = end;
            self.searched = end;
            self.pending = Some((head, length));
        }
        let Some((_, length)) = self.pending else { return Ok(None) };
        let Some(body) = self.buffer.get(self.consumed..self.consumed + length) else { return Ok(None) };
        let body = body.to_vec();
        self.consumed += length;
        self.searched = self.consumed;
        Ok(self.pending.take().map(|(mut message, _)| {
            message.set_body(body);
            StreamItem::Message(Box::new(message))
        }))
    }
}
