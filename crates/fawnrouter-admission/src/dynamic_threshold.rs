//! Memory for bytes that wait, shared by all connections: dynamic thresholds (Choudhury and Hahne, 1998). A connection
//! may hold as much as a multiple of what is free. A few heavy ones may so take a lot in calm hours, and the more
//! there are, the less each gets, without a search for the largest.

/// The budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Bytes that may wait in all.
    pub total: usize,
    /// The most of one connection, however much is free.
    pub max_per_connection: usize,
    /// What each connection may hold in any case: a message or two. The sum is bounded by `total` and this for each
    /// connection.
    pub min_per_connection: usize,
}

/// For whom bytes wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferOwner {
    /// A client: half of what is free.
    Client,
    /// A switch: all that is free. Its connection carries the calls of many clients.
    Trunk,
}

/// Bytes that wait now.
#[derive(Clone, Copy, Debug)]
pub struct DynamicThreshold {
    settings: BufferLimits,
    used: usize,
    refused: u64,
}

impl DynamicThreshold {
    /// Nothing waits.
    #[must_use]
    pub const fn new(settings: BufferLimits) -> Self {
        Self { settings, used: 0, refused: 0 }
    }

    /// A connection's share has changed; `false` if it holds more than it may now and is to be given up.
    #[must_use]
    pub fn resize(&mut self, owner: BufferOwner, before: usize, after: usize) -> bool {
        self.used = self.used.saturating_sub(before).saturating_add(after);
        if after <= before {
            return true;
        }
        let fits = after <= self.threshold(owner);
        self.refused += u64::from(!fits);
        fits
    }

    /// What one connection may hold now.
    #[must_use]
    pub fn threshold(&self, owner: BufferOwner) -> usize {
        let free = self.settings.total.saturating_sub(self.used);
        let share = match owner {
            BufferOwner::Client => free / 2,
            BufferOwner::Trunk => free,
        };
        share.clamp(
            self.settings.min_per_connection,
            self.settings.max_per_connection.max(self.settings.min_per_connection),
        )
    }

    /// Bytes that wait now.
    #[must_use]
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Connections that held more than they may.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_few_may_hold_a_lot_and_many_hold_little_each() {
        let mut b = DynamicThreshold::new(BufferLimits {
            total: 1600,
            max_per_connection: 400,
            min_per_connection: 10,
        });
        assert!(b.resize(BufferOwner::Client, 0, 400) && b.resize(BufferOwner::Client, 0, 400));
        assert!(!b.resize(BufferOwner::Client, 0, 300), "more than half of the 500 that are then free");
        assert!(b.resize(BufferOwner::Client, 300, 0));
        assert!(b.resize(BufferOwner::Trunk, 0, 300), "a switch gets more");
        assert_eq!((b.threshold(BufferOwner::Client), b.threshold(BufferOwner::Trunk)), (250, 400));
        assert_eq!((b.used(), b.refused()), (1100, 1));
    }

    #[test]
    fn the_sum_never_passes_the_budget_and_a_floor_for_each() {
        let settings = BufferLimits { total: 100_000, max_per_connection: 50_000, min_per_connection: 100 };
        let (mut b, mut held, mut state) = (DynamicThreshold::new(settings), vec![0usize; 300], 9u64);
        for _ in 0..200_000 {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let at = (state >> 33) as usize % held.len();
            let more = (state >> 50) as usize % 3000;
            if b.resize(BufferOwner::Client, held[at], held[at] + more) {
                held[at] += more;
            } else {
                // It is given up, and its memory freed.
                assert!(b.resize(BufferOwner::Client, held[at] + more, 0));
                held[at] = 0;
            }
            assert_eq!(b.used(), held.iter().sum::<usize>());
            assert!(b.used() <= settings.total + held.len() * settings.min_per_connection);
        }
        assert!(b.refused() > 0);
    }
}
