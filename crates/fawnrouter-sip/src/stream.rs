//! Messages on a byte stream, framed by Content-Length (RFC 3261 §18.3), with the keep-alives of RFC 5626 §3.5.1.

use crate::message::{self, Limits, Message, ParseError};

/// What a stream holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A message.
    Message(Box<Message>),
    /// A double CRLF: the peer asks for a single one back.
    Ping,
}

/// Cuts a stream into messages. Holds at most one message beyond what is asked for, within the limits.
#[derive(Debug, Default)]
pub struct StreamDecoder {
    limits: Limits,
    buffer: Vec<u8>,
    read: usize,
    /// So far no head's end was found before this place.
    searched: usize,
    /// A parsed head that waits for its body of that length.
    head: Option<(Message, usize)>,
}

impl StreamDecoder {
    /// A decoder with these limits.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Takes bytes from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.read > 0 {
            self.buffer.drain(..self.read);
            self.searched -= self.read.min(self.searched);
            self.read = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes of what is not a whole message yet.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() - self.read
    }

    /// The next whole message, if there is one.
    ///
    /// # Errors
    /// After an error the stream can't be read on: there is no place to start from.
    pub fn next_item(&mut self) -> Result<Option<StreamItem>, ParseError> {
        if self.head.is_none() {
            let rest = &self.buffer[self.read..];
            if rest.starts_with(b"\r\n\r\n") {
                self.read += 4;
                return Ok(Some(StreamItem::Ping));
            }
            if rest.starts_with(b"\r\n") && rest.len() > 2 && !rest[2..].starts_with(b"\r") {
                self.read += 2;
            }
            if self.buffer[self.read..].is_empty() || b"\r\n\r\n".starts_with(&self.buffer[self.read..]) {
                return Ok(None);
            }
            let from = self.searched.max(self.read);
            let Some(end) = message::head_end(&self.buffer, from) else {
                self.searched = self.buffer.len().saturating_sub(3).max(self.read);
                if self.buffer.len() - self.read > self.limits.head_bytes {
                    return Err(ParseError::TooLarge { what: "the head", limit: self.limits.head_bytes });
                }
                return Ok(None);
            };
            let head = Message::parse_head(&self.buffer[self.read..end], &self.limits)?;
            let length = head.content_length()?.ok_or(ParseError::ContentLength)?;
            if length > self.limits.body_bytes {
                return Err(ParseError::TooLarge { what: "the body", limit: self.limits.body_bytes });
            }
            self.read = end;
            self.searched = end;
            self.head = Some((head, length));
        }
        let Some((_, length)) = self.head else { return Ok(None) };
        let Some(body) = self.buffer.get(self.read..self.read + length) else { return Ok(None) };
        let body = body.to_vec();
        self.read += length;
        self.searched = self.read;
        Ok(self.head.take().map(|(mut message, _)| {
            message.set_body(body);
            StreamItem::Message(Box::new(message))
        }))
    }
}
