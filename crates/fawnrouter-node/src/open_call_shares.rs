//! Decides whether a client may open one more set-up: what one client may have open, and all together.
//!
//! Open set-ups wait for core switches in the order in which they came. Without a share for each client, one that
//! sends hundreds at once, or as soon as the last are refused, makes all others wait behind its own, and takes
//! every place of `maxOpen` and the memory for them. A client beyond its share is refused with a time to come
//! back, while it still has its share open; one that sends its set-ups one after the other never meets the limit.

/// Most set-ups that one client may have open.
const MAX_CALLS_PER_CLIENT: usize = 128;
/// Set-ups that each client may have open, however many clients have some open.
const MIN_CALLS_PER_CLIENT: usize = 4;
/// Open set-ups that are divided evenly among the clients that have some open, between the two limits above.
const SHARED_CALLS: usize = 2048;
/// Memory of an open set-up beside its texts, here and in the controller.
const CALL_BYTES: usize = 1024;

/// Open set-ups and their memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OpenCallUsage {
    pub calls: usize,
    pub bytes: usize,
}

impl OpenCallUsage {
    /// One set-up with texts of this length.
    pub fn of_call(text_bytes: usize) -> Self {
        Self { calls: 1, bytes: CALL_BYTES + text_bytes }
    }

    pub fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.bytes += other.bytes;
    }

    pub fn subtract(&mut self, other: Self) {
        self.calls = self.calls.saturating_sub(other.calls);
        self.bytes = self.bytes.saturating_sub(other.bytes);
    }
}

/// The limits on open set-ups.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenCallShares {
    /// Most open set-ups of all clients.
    pub max_calls: usize,
    /// Most memory of the open set-ups of all clients.
    pub max_bytes: usize,
}

impl OpenCallShares {
    /// Whether a client that has `own` open may open `new` while `all` is open, by this number of clients.
    pub fn admits(&self, all: OpenCallUsage, clients: usize, own: OpenCallUsage, new: OpenCallUsage) -> bool {
        let free_bytes = self.max_bytes.saturating_sub(all.bytes);
        let share = (SHARED_CALLS / clients.max(1)).clamp(MIN_CALLS_PER_CLIENT, MAX_CALLS_PER_CLIENT);
        // Half of what is free, so that one client leaves room for others, and many leave some together.
        all.calls < self.max_calls && own.calls < share && own.bytes + new.bytes <= free_bytes / 2
    }
}
