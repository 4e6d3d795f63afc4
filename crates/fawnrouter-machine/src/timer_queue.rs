//! What comes due when.

use std::collections::{BTreeMap, BTreeSet};

use fawnrouter::Time;

/// One time for each key.
#[derive(Debug)]
pub struct TimerQueue<K> {
    order: BTreeSet<(Time, K)>,
    times: BTreeMap<K, Time>,
}

impl<K: Copy + Ord> TimerQueue<K> {
    /// The key comes due then, and no more when it did before.
    pub fn set(&mut self, key: K, at: Time) {
        self.clear(key);
        self.times.insert(key, at);
        self.order.insert((at, key));
    }

    /// The key does not come due.
    pub fn clear(&mut self, key: K) {
        if let Some(at) = self.times.remove(&key) {
            self.order.remove(&(at, key));
        }
    }

    /// When the first comes due.
    #[must_use]
    pub fn next_at(&self) -> Option<Time> {
        self.order.first().map(|(at, _)| *at)
    }

    /// Whether the key comes due some time.
    #[must_use]
    pub fn is_set(&self, key: K) -> bool {
        self.times.contains_key(&key)
    }

    /// Takes the first key that is due.
    pub fn pop_due(&mut self, now: Time) -> Option<K> {
        let (at, key) = self.order.first().copied().filter(|(at, _)| *at <= now)?;
        self.order.remove(&(at, key));
        self.times.remove(&key);
        Some(key)
    }

    /// Keys that come due.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether nothing comes due.
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
