//! Domain names (RFC 1035 §2.3.4, §3.1, §4.1.4).

use std::fmt;
use std::str::FromStr;

/// The longest name on the wire, its last zero byte included.
const MAX_NAME: usize = 255;
const MAX_LABEL: usize = 63;

/// Why a text or bytes are no name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// A label is empty or longer than 63 bytes.
    #[error("a label of a name is empty or longer than {MAX_LABEL} bytes")]
    InvalidLabel,
    /// The name is longer than 255 bytes.
    #[error("a name is longer than {MAX_NAME} bytes")]
    TooLong,
    /// It runs over the message's end.
    #[error("a name runs over the end of the message")]
    UnexpectedEnd,
    /// A pointer does not point back.
    #[error("a pointer in a name does not point back")]
    InvalidPointer,
    /// A label is not printable ASCII.
    #[error("a label of a name holds bytes that are not printable ASCII")]
    NotPrintableAscii,
}

/// A name, label by label. Upper case is taken for lower case (RFC 1035 §2.3.3).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Vec<String>);

impl Name {
    /// Its labels, the leftmost first.
    #[must_use]
    pub fn labels(&self) -> &[String] {
        &self.0
    }

    /// Appends it without compression.
    pub(crate) fn write(&self, out: &mut Vec<u8>) {
        for label in &self.0 {
            // Labels are 63 bytes at the most.
            out.push(label.len() as u8);
            out.extend(label.as_bytes());
        }
        out.push(0);
    }

    /// Reads the name that begins at `at`; with it, where the bytes after it begin.
    pub(crate) fn read(message: &[u8], at: usize) -> Result<(Self, usize), NameError> {
        let (mut labels, mut length, mut after, mut at, mut before) = (Vec::new(), 1, None, at, at);
        loop {
            let head = *message.get(at).ok_or(NameError::UnexpectedEnd)?;
            match head {
                0 => return Ok((Self(labels), after.unwrap_or(at + 1))),
                1..=63 => {
                    let bytes =
                        message.get(at + 1..at + 1 + usize::from(head)).ok_or(NameError::UnexpectedEnd)?;
                    length += 1 + bytes.len();
                    if length > MAX_NAME {
                        return Err(NameError::TooLong);
                    }
                    labels.push(label(bytes)?);
                    at += 1 + bytes.len();
                }
                0xc0.. => {
                    let low = *message.get(at + 1).ok_or(NameError::UnexpectedEnd)?;
                    let target = usize::from(u16::from_be_bytes([head & 0x3f, low]));
                    // Each pointer must point before the place where the part that holds it began, so that a ring
                    // of pointers comes to an end.
                    if target >= before {
                        return Err(NameError::InvalidPointer);
                    }
                    after = after.or(Some(at + 2));
                    (at, before) = (target, target);
                }
                // 0x40 and 0x80 are reserved (RFC 1035 §4.1.4).
                _ => return Err(NameError::InvalidLabel),
            }
        }
    }
}

fn label(bytes: &[u8]) -> Result<String, NameError> {
    if !bytes.iter().all(u8::is_ascii_graphic) {
        return Err(NameError::NotPrintableAscii);
    }
    Ok(bytes.iter().map(|b| char::from(b.to_ascii_lowercase())).collect())
}

impl FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let text = text.strip_suffix('.').unwrap_or(text);
        let labels = text.split('.').map(|l| {
            if (1..=MAX_LABEL).contains(&l.len()) {
                label(l.as_bytes())
            } else {
                Err(NameError::InvalidLabel)
            }
        });
        let labels = labels.collect::<Result<Vec<_>, _>>()?;
        if labels.iter().map(|l| l.len() + 1).sum::<usize>() >= MAX_NAME {
            return Err(NameError::TooLong);
        }
        Ok(Self(labels))
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("."))
    }
}
