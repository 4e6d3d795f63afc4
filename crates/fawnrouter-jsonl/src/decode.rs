//! Decodes a byte stream into messages.

use serde::Deserialize;

use crate::message::{Message, Tag};
use crate::options::MAX_OPTIONS;

/// Longest line, line feed included. The protocol allows messages up to 16 KiB.
pub const MAX_LINE_BYTES: usize = 16 * 1024;

/// Capacity in bytes that the buffer of an incomplete line keeps.
const MIN_CAPACITY: usize = 1024;
/// The buffer shrinks when it holds less than this fraction of its capacity.
const MAX_SPARE_FACTOR: usize = 4;

/// Why a line is not a message. Nothing after it on the connection can be trusted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum DecodeError {
    /// The line does not end within the limit.
    #[error("a line is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The line is not JSON, or not a message.
    #[error("a line is no message: {reason}")]
    Malformed {
        /// The parser's error.
        reason: String,
        /// The tag, if the line has a valid one nevertheless.
        tag: Option<Tag>,
    },
    /// The message has too many options.
    #[error("a message has more than {MAX_OPTIONS} options")]
    TooManyOptions(Tag),
}

impl DecodeError {
    /// The tag of the invalid line, if it is JSON with a valid tag.
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
struct TagOnly {
    tag: Tag,
}

/// Splits a byte stream into messages.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// Start of the first line that has not been returned.
    line_start: usize,
    /// There is no line feed before this position.
    searched: usize,
    failed: bool,
}

impl Decoder {
    /// Creates an empty decoder.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes. Call [`Self::next_message`] until it returns `None` before adding more, so that less than
    /// a line is buffered.
    pub fn push(&mut self, bytes: &[u8]) {
        if !self.failed {
            self.bytes.drain(..self.line_start);
            self.searched -= self.line_start;
            self.line_start = 0;
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// Number of buffered bytes of an incomplete line.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len() - self.line_start
    }

    /// Returns the next message, or `None` if more bytes are needed. Empty lines are skipped.
    ///
    /// # Errors
    /// The line is not a message. The decoder then returns no further messages.
    pub fn next_message(&mut self) -> Result<Option<Message>, DecodeError> {
        loop {
            if self.failed {
                return Ok(None);
            }
            let found = self.bytes[self.searched..].iter().position(|b| *b == b'\n');
            let Some(end) = found.map(|at| self.searched + at) else {
                self.searched = self.bytes.len();
                if self.buffered_bytes() >= MAX_LINE_BYTES {
                    return Err(self.fail(DecodeError::TooLong));
                }
                self.release_memory();
                return Ok(None);
            };
            let line = self.line_start..end;
            (self.line_start, self.searched) = (end + 1, end + 1);
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
                    let tag = serde_json::from_slice::<TagOnly>(line).ok().map(|l| l.tag);
                    Err(self.fail(DecodeError::Malformed { reason: error.to_string(), tag }))
                }
            };
        }
    }

    /// Frees memory that the incomplete line does not need, so that a connection that was busy once does not
    /// keep it.
    fn release_memory(&mut self) {
        if self.buffered_bytes() == 0 {
            *self = Self::default();
        } else if self.bytes.capacity() > MAX_SPARE_FACTOR * self.buffered_bytes().max(MIN_CAPACITY) {
            self.bytes.drain(..self.line_start);
            self.searched -= self.line_start;
            self.line_start = 0;
            self.bytes.shrink_to(MIN_CAPACITY);
        }
    }

    fn fail(&mut self, error: DecodeError) -> DecodeError {
        *self = Self { failed: true, ..Self::default() };
        error
    }
}
