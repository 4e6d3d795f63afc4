//! From bytes to messages.

use serde::Deserialize;

use crate::message::{Message, Tag};

/// The longest line, line feed included: "no message exceeds 16 KiB".
pub const MAX_LINE_BYTES: usize = 16 * 1024;

/// The most options of a message: several times what any message of the page has.
const MAX_OPTIONS: usize = 64;

/// Why a line is no message. Nothing after it on the connection can be trusted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum DecodeError {
    /// No end of the line within the limit.
    #[error("a line is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The line is not JSON, or not of a message's form.
    #[error("a line is no message: {reason}")]
    Malformed {
        /// What the parser says of it.
        reason: String,
        /// The call that it names all the same.
        tag: Option<Tag>,
    },
    /// Too many options.
    #[error("a message has more than {MAX_OPTIONS} options")]
    TooManyOptions(Tag),
}

impl DecodeError {
    /// The call that the faulty line names, where it is JSON with a good tag.
    #[must_use]
    pub fn tag(&self) -> Option<Tag> {
        match self {
            Self::TooLong => None,
            Self::Malformed { tag, .. } => *tag,
            Self::TooManyOptions(tag) => Some(*tag),
        }
    }
}

#[derive(Deserialize)]
struct OnlyTag {
    tag: Tag,
}

/// Cuts a stream into messages.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// Where the first line begins that has not been handed out.
    start: usize,
    /// Up to where there is no line feed.
    searched: usize,
    broken: bool,
}

impl Decoder {
    /// An empty one.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes. Take all messages out before the next: what is held then is less than a line.
    pub fn push(&mut self, bytes: &[u8]) {
        if !self.broken {
            self.bytes.drain(..self.start);
            self.searched -= self.start;
            self.start = 0;
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// Bytes of a line that is not complete.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// The next message. Empty lines are skipped; `None`: more bytes are needed.
    ///
    /// # Errors
    /// The line is no message. The decoder then gives nothing more.
    pub fn next_message(&mut self) -> Result<Option<Message>, DecodeError> {
        loop {
            if self.broken {
                return Ok(None);
            }
            let found = self.bytes[self.searched..].iter().position(|b| *b == b'\n');
            let Some(end) = found.map(|at| self.searched + at) else {
                self.searched = self.bytes.len();
                if self.buffered_bytes() >= MAX_LINE_BYTES {
                    return Err(self.fail(DecodeError::TooLong));
                }
                if self.buffered_bytes() == 0 {
                    // A connection that was busy once does not keep its memory.
                    *self = Self::default();
                }
                return Ok(None);
            };
            let line = self.start..end;
            (self.start, self.searched) = (end + 1, end + 1);
            if line.len() >= MAX_LINE_BYTES {
                return Err(self.fail(DecodeError::TooLong));
            }
            let line = &self.bytes[line];
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            return match serde_json::from_slice::<Message>(line) {
                Ok(message) if message.opts.len() > MAX_OPTIONS => {
                    Err(self.fail(DecodeError::TooManyOptions(message.tag)))
                }
                Ok(message) => Ok(Some(message)),
                Err(error) => {
                    let tag = serde_json::from_slice::<OnlyTag>(line).ok().map(|l| l.tag);
                    Err(self.fail(DecodeError::Malformed { reason: error.to_string(), tag }))
                }
            };
        }
    }

    fn fail(&mut self, fault: DecodeError) -> DecodeError {
        *self = Self { broken: true, ..Self::default() };
        fault
    }
}
