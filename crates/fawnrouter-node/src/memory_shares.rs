//! How the process's memory is divided among what clients can make it hold, before any is used.
//!
//! A process over its limit is killed, with all calls of all clients. So each use has a share, and what one
//! connection may take of it shrinks with what is left.

/// Memory in bytes for each use that grows with what clients send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShares {
    /// Messages that wait for a peer which reads slowly.
    pub outboxes: usize,
}

/// The share of each use is this fraction of the limit. Buffers may have twice the capacity that they use, and
/// the program, incomplete lines and the other tables need the rest.
const SHARE_DIVISOR: usize = 8;

impl MemoryShares {
    /// Divides this many bytes.
    #[must_use]
    pub fn divide(memory_bytes: usize) -> Self {
        Self { outboxes: memory_bytes / SHARE_DIVISOR }
    }
}
