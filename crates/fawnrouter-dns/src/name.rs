//! Domain names (RFC 1035 §2.3.4, §3.1, §4.1.4).

use std::fmt;
use std::str::FromStr;

/// Longest encoded name, including its final zero byte.
const MAX_NAME_BYTES: usize = 255;
const MAX_LABEL_BYTES: usize = 63;

/// Why text or bytes are not a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// A label is empty or longer than 63 bytes.
    #[error("a label of a name is empty or longer than {MAX_LABEL_BYTES} bytes")]
    InvalidLabel,
    /// The name is longer than 255 bytes.
    #[error("a name is longer than {MAX_NAME_BYTES} bytes")]
    TooLong,
    /// The name extends past the end of the message.
    #[error("a name extends past the end of the message")]
    UnexpectedEnd,
    /// A compression pointer does not point backwards.
    #[error("a pointer in a name does not point backwards")]
    InvalidPointer,
    /// A label is not printable ASCII.
    #[error("a label of a name contains bytes that are not printable ASCII")]
    NotPrintableAscii,
}

/// A name as a list of labels. Upper case is converted to lower case (RFC 1035 §2.3.3).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Vec<String>);

impl Name {
    /// The labels, the leftmost first.
    #[must_use]
    pub fn labels(&self) -> &[String] {
        &self.0
    }

    /// Appends the name without compression.
    pub(crate) fn encode(&self, out: &mut Vec<u8>) {
        for label in &self.0 {
            // A label has at most 63 bytes.
            out.push(label.len() as u8);
            out.extend(label.as_bytes());
        }
        out.push(0);
    }

    /// Decodes the name that starts at `start`, and returns it with the position of the byte after it.
    pub(crate) fn decode(message: &[u8], start: usize) -> Result<(Self, usize), NameError> {
        let (mut labels, mut name_length, mut after_name) = (Vec::new(), 1, None);
        let (mut position, mut pointer_limit) = (start, start);
        loop {
            let first_byte = *message.get(position).ok_or(NameError::UnexpectedEnd)?;
            match first_byte {
                0 => return Ok((Self(labels), after_name.unwrap_or(position + 1))),
                1..=63 => {
                    let bytes = message
                        .get(position + 1..position + 1 + usize::from(first_byte))
                        .ok_or(NameError::UnexpectedEnd)?;
                    name_length += 1 + bytes.len();
                    if name_length > MAX_NAME_BYTES {
                        return Err(NameError::TooLong);
                    }
                    labels.push(parse_label(bytes)?);
                    position += 1 + bytes.len();
                }
                0xc0.. => {
                    let second_byte = *message.get(position + 1).ok_or(NameError::UnexpectedEnd)?;
                    let target = usize::from(u16::from_be_bytes([first_byte & 0x3f, second_byte]));
                    // Each pointer must point before the start of the part of the name that contains it, so
                    // that circular pointers end.
                    if target >= pointer_limit {
                        return Err(NameError::InvalidPointer);
                    }
                    after_name = after_name.or(Some(position + 2));
                    (position, pointer_limit) = (target, target);
                }
                // 0x40 and 0x80 are reserved (RFC 1035 §4.1.4).
                _ => return Err(NameError::InvalidLabel),
            }
        }
    }
}

fn parse_label(bytes: &[u8]) -> Result<String, NameError> {
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
            if (1..=MAX_LABEL_BYTES).contains(&l.len()) {
                parse_label(l.as_bytes())
            } else {
                Err(NameError::InvalidLabel)
            }
        });
        let labels = labels.collect::<Result<Vec<_>, _>>()?;
        if labels.iter().map(|l| l.len() + 1).sum::<usize>() >= MAX_NAME_BYTES {
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
