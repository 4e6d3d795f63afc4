//! How the process's memory is divided among what clients can make it hold, before any is used.
//!
//! A process over its limit is killed, with all calls of all clients. So each use has a share, and what one
//! connection may take of it shrinks with what is left.

/// Memory in bytes for each use that grows with what clients send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShares {
    /// Messages that wait for a peer which reads slowly.
    pub outboxes: usize,
    /// Set-ups that wait for an answer.
    pub open_calls: usize,
}

/// Fractions of the limit. The program, incomplete lines and the other tables need the rest.
///
/// Buffers may have twice the capacity that they use.
const OUTBOXES_DIVISOR: usize = 8;
const OPEN_CALLS_DIVISOR: usize = 4;

impl MemoryShares {
    /// Divides this many bytes.
    #[must_use]
    pub fn divide(memory_bytes: usize) -> Self {
        Self { outboxes: memory_bytes / OUTBOXES_DIVISOR, open_calls: memory_bytes / OPEN_CALLS_DIVISOR }
    }
}
