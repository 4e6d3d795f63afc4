//! Reads messages from the stand-ins' sockets and counts messages and bytes.

use fawnrouter_jsonl::{DecodeError, Decoder, Message};

use crate::hollow::{Volume, VolumeByVerb};

/// Verbs of tests, their answers and load reports; all other messages concern calls.
const TEST_VERBS: [&str; 3] = ["ECHO", "ECHOED", "LOAD"];

/// Splits a stream into messages and determines the length of each line.
#[derive(Debug, Default)]
pub struct LineReader {
    decoder: Decoder,
    /// Bytes received since the end of the last message.
    pending_bytes: usize,
}

impl LineReader {
    /// Adds received bytes and calls `handle` for each message that is complete by now, with the length of
    /// its line in bytes, line end included.
    ///
    /// # Errors
    /// Where a line is not a message. Nothing after it can be read.
    pub fn push(&mut self, bytes: &[u8], mut handle: impl FnMut(Message, usize)) -> Result<(), DecodeError> {
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.decoder.push(piece);
            self.pending_bytes += piece.len();
            if let Some(message) = self.decoder.next_message()? {
                handle(message, std::mem::take(&mut self.pending_bytes));
            }
        }
        Ok(())
    }
}

/// The increase of counts by verb since an earlier reading of the same counters.
#[must_use]
pub fn counts_since(earlier: &VolumeByVerb, now: &VolumeByVerb) -> VolumeByVerb {
    let since = |(verb, volume): (&&'static str, &Volume)| {
        let before = earlier.0.get(verb).copied().unwrap_or_default();
        (*verb, volume_since(before, *volume))
    };
    VolumeByVerb(now.0.iter().map(since).collect())
}

/// The increase of a volume since an earlier reading of the same counter.
#[must_use]
pub fn volume_since(earlier: Volume, now: Volume) -> Volume {
    Volume {
        messages: now.messages.saturating_sub(earlier.messages),
        bytes: now.bytes.saturating_sub(earlier.bytes),
    }
}

/// The total of set-ups, answers and releases.
#[must_use]
pub fn call_volume(lines: &VolumeByVerb) -> Volume {
    volume_since(test_volume(lines), lines.total_volume())
}

/// The total of tests, their answers and load reports.
#[must_use]
pub fn test_volume(lines: &VolumeByVerb) -> Volume {
    let tests = lines.0.iter().filter(|(verb, _)| TEST_VERBS.contains(verb));
    VolumeByVerb(tests.map(|(verb, volume)| (*verb, *volume)).collect()).total_volume()
}
