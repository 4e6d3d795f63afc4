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
    consumed: usize,
    /// So far no head's end was found before this place.
    searched: usize,
    /// A parsed head that waits for its body of that length.
    pending: Option<(Message, usize)>,
}

impl StreamDecoder {
    /// A decoder with these limits.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Takes bytes from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.searched -= self.consumed.min(self.searched);
            self.consumed = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes of what is not a whole message yet.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() - self.consumed
    }

    /// The next whole message, if there is one.
    ///
    /// # Errors
    /// After an error the stream can't be read on: there is no place to start from.
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
