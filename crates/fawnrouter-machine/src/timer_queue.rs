//! A queue of timers.

use std::collections::{BTreeMap, BTreeSet};

use fawnrouter::Time;

/// Timers by key, at most one for each key.
#[derive(Debug)]
pub struct TimerQueue<K> {
    order: BTreeSet<(Time, K)>,
    times: BTreeMap<K, Time>,
}

impl<K: Copy + Ord> TimerQueue<K> {
    /// Sets the timer of a key, in place of an earlier one.
    pub fn set(&mut self, key: K, at: Time) {
        self.clear(key);
        self.times.insert(key, at);
        self.order.insert((at, key));
    }

    /// Cancels the timer of a key.
    pub fn clear(&mut self, key: K) {
        if let Some(at) = self.times.remove(&key) {
            self.order.remove(&(at, key));
        }
    }

    /// When the next timer expires.
    #[must_use]
    pub fn next_at(&self) -> Option<Time> {
        self.order.first().map(|(at, _)| *at)
    }

    /// Whether the key has a timer.
    #[must_use]
    pub fn is_set(&self, key: K) -> bool {
        self.times.contains_key(&key)
    }

    /// Removes the first timer that has expired and returns its key.
    pub fn pop_due(&mut self, now: Time) -> Option<K> {
        let (at, key) = self.order.first().copied().filter(|(at, _)| *at <= now)?;
        self.order.remove(&(at, key));
        self.times.remove(&key);
        Some(key)
    }

    /// Number of timers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether there are no timers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

impl<K> Default for TimerQueue<K> {
    fn default() -> Self {
        Self { order: BTreeSet::new(), times: BTreeMap::new() }
    }
}
