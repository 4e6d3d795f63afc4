//! Lines as the stand-ins see them on their sockets, and counts of them.

use fawnrouter_jsonl::{DecodeError, Decoder, Message};

use crate::hollow::{Volume, VolumeByVerb};

/// The types of messages that are tests, their answers and told states; all others concern calls.
const TEST_TYPES: [&str; 3] = ["ECHO", "ECHOED", "LOAD"];

/// Cuts a stream into messages and tells the length of each line.
#[derive(Debug, Default)]
pub struct LineReader {
    decoder: Decoder,
    /// Bytes since the last message.
    length: usize,
}

impl LineReader {
    /// Adds bytes; `take` gets each message that is whole by now, with the bytes of its line.
    ///
    /// # Errors
    /// Where a line is no message. Nothing after it can be read.
    pub fn push(&mut self, bytes: &[u8], mut take: impl FnMut(Message, usize)) -> Result<(), DecodeError> {
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.decoder.push(piece);
            self.length += piece.len();
            if let Some(message) = self.decoder.next_message()? {
                take(message, std::mem::take(&mut self.length));
            }
        }
        Ok(())
    }
}

/// What was counted since an earlier reading of the same counter.
#[must_use]
pub fn counts_since(earlier: &VolumeByVerb, now: &VolumeByVerb) -> VolumeByVerb {
    let since = |(verb, volume): (&&'static str, &Volume)| {
        let before = earlier.0.get(verb).copied().unwrap_or_default();
        (*verb, volume_since(before, *volume))
    };
    VolumeByVerb(now.0.iter().map(since).collect())
}

/// The same of one volume.
#[must_use]
pub fn volume_since(earlier: Volume, now: Volume) -> Volume {
    Volume {
        messages: now.messages.saturating_sub(earlier.messages),
        bytes: now.bytes.saturating_sub(earlier.bytes),
    }
}

/// What set-ups, answers and releases come to.
#[must_use]
pub fn call_volume(lines: &VolumeByVerb) -> Volume {
    volume_since(test_volume(lines), lines.total_volume())
}

/// What tests, their answers and told states come to.
#[must_use]
pub fn test_volume(lines: &VolumeByVerb) -> Volume {
    let tests = lines.0.iter().filter(|(verb, _)| TEST_TYPES.contains(verb));
    VolumeByVerb(tests.map(|(verb, volume)| (*verb, *volume)).collect()).total_volume()
}
