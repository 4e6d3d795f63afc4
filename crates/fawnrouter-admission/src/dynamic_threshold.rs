//! A memory budget for buffered bytes, shared by all connections: dynamic thresholds (Choudhury and Hahne,
//! 1998). A connection may hold a fixed multiple of the free memory. While load is low, a few busy
//! connections may take much of it; the more of them there are, the less each one gets, without a search for
//! the largest.

/// The limits of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Bytes that may be buffered in total.
    pub total: usize,
    /// The most bytes of one connection, however much memory is free.
    pub max_per_connection: usize,
    /// Bytes that each connection may hold in any case, enough for a message or two. The sum is therefore
    /// bounded by `total` plus this amount for each connection.
    pub min_per_connection: usize,
}

/// The kind of connection whose bytes are buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferOwner {
    /// A client's connection: it may hold half of the free memory.
    Client,
    /// A trunk to a core switch: it may hold all free memory, because it carries the calls of many clients.
    Trunk,
}

/// The buffered bytes and the threshold that follows from them.
#[derive(Clone, Copy, Debug)]
pub struct DynamicThreshold {
    limits: BufferLimits,
    used: usize,
    exceeded: u64,
}

impl DynamicThreshold {
    /// An unused budget.
    #[must_use]
    pub const fn new(limits: BufferLimits) -> Self {
        Self { limits, used: 0, exceeded: 0 }
    }

    /// Records that a connection's buffered bytes changed; `false` if it now holds more than its threshold
    /// and is to be closed.
    #[must_use]
    pub fn resize(&mut self, owner: BufferOwner, before: usize, after: usize) -> bool {
        self.used = self.used.saturating_sub(before).saturating_add(after);
        if after <= before {
            return true;
        }
        let fits = after <= self.threshold(owner);
        self.exceeded += u64::from(!fits);
        fits
    }

    /// The bytes that one connection may hold now.
    #[must_use]
    pub fn threshold(&self, owner: BufferOwner) -> usize {
        let free = self.limits.total.saturating_sub(self.used);
        let share = match owner {
            BufferOwner::Client => free / 2,
            BufferOwner::Trunk => free,
        };
        let (min, max) = (self.limits.min_per_connection, self.limits.max_per_connection);
        share.clamp(min, max.max(min))
    }

    /// Bytes that are buffered now.
    #[must_use]
    pub const fn used(&self) -> usize {
        self.used
    }

    /// How often a connection exceeded its threshold.
    #[must_use]
    pub const fn exceeded(&self) -> u64 {
        self.exceeded
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_threshold_shrinks_as_more_memory_is_used() {
        let mut budget = DynamicThreshold::new(BufferLimits {
            total: 1600,
            max_per_connection: 400,
            min_per_connection: 10,
        });
        assert!(budget.resize(BufferOwner::Client, 0, 400) && budget.resize(BufferOwner::Client, 0, 400));
        assert!(!budget.resize(BufferOwner::Client, 0, 300), "more than half of the 500 that are then free");
        assert!(budget.resize(BufferOwner::Client, 300, 0));
        assert!(budget.resize(BufferOwner::Trunk, 0, 300), "a trunk may hold more than a client");
        assert_eq!((budget.threshold(BufferOwner::Client), budget.threshold(BufferOwner::Trunk)), (250, 400));
        assert_eq!((budget.used(), budget.exceeded()), (1100, 1));
    }

    #[test]
    fn the_sum_stays_within_the_total_plus_the_minimum_of_each_connection() {
        let limits = BufferLimits { total: 100_000, max_per_connection: 50_000, min_per_connection: 100 };
        let (mut budget, mut held, mut state) = (DynamicThreshold::new(limits), vec![0usize; 300], 9u64);
        for _ in 0..200_000 {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let index = (state >> 33) as usize % held.len();
            let more = (state >> 50) as usize % 3000;
            if budget.resize(BufferOwner::Client, held[index], held[index] + more) {
                held[index] += more;
            } else {
                // The connection is closed and its memory freed.
                assert!(budget.resize(BufferOwner::Client, held[index] + more, 0));
                held[index] = 0;
            }
            assert_eq!(budget.used(), held.iter().sum::<usize>());
            assert!(budget.used() <= limits.total + held.len() * limits.min_per_connection);
        }
        assert!(budget.exceeded() > 0);
    }
}
