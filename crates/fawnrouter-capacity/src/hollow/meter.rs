//! Measures what a function call costs this process: elapsed time, allocations and memory.

use std::alloc::System;
use std::time::Instant;

use stats_alloc::{Region, StatsAlloc};

use super::cost::Cost;

/// The counting allocator. Only a program can install it, as the global allocator.
pub type CountingAllocator = &'static StatsAlloc<System>;

/// Measures function calls. They run in one thread and never wait, so elapsed time equals processor time as
/// long as the machine has a core free for the thread.
#[derive(Clone, Copy, Default)]
pub(crate) struct Meter {
    is_enabled: bool,
    allocator: Option<CountingAllocator>,
}

impl Meter {
    pub fn new(allocator: Option<CountingAllocator>) -> Self {
        Self { is_enabled: true, allocator }
    }

    /// A meter that measures nothing.
    pub fn disabled() -> Self {
        Self::default()
    }

    /// Runs `work` and returns its result and its cost.
    pub fn measure<T>(&self, work: impl FnOnce() -> T) -> (T, Cost) {
        if !self.is_enabled {
            return (work(), Cost::default());
        }
        let region = self.allocator.map(Region::new);
        let start = Instant::now();
        let result = work();
        let took = start.elapsed();
        let allocations = region.map_or(0, |region| {
            let change = region.change();
            change.allocations + change.reallocations
        });
        let processor_nanos = u64::try_from(took.as_nanos()).unwrap_or(u64::MAX);
        (result, Cost { processor_nanos, allocations: allocations as u64, ..Cost::default() })
    }

    /// Drops a value and returns the number of bytes freed, if they are counted.
    pub fn bytes_freed_by_drop<T>(&self, held: T) -> Option<u64> {
        let region = self.allocator.map(Region::new);
        drop(held);
        region.map(|region| {
            let change = region.change();
            change.bytes_deallocated.saturating_sub(change.bytes_allocated) as u64
        })
    }
}
