//! Counts by key; a key whose count is zero uses no memory.

use std::collections::BTreeMap;

/// A count for each key.
#[derive(Debug)]
pub(super) struct Counter<K> {
    counts: BTreeMap<K, usize>,
}

impl<K> Default for Counter<K> {
    fn default() -> Self {
        Self { counts: BTreeMap::new() }
    }
}

impl<K: Ord> Counter<K> {
    /// The count of a key.
    pub(super) fn get(&self, key: &K) -> usize {
        self.counts.get(key).copied().unwrap_or(0)
    }

    /// Adds one to the count of a key.
    pub(super) fn add(&mut self, key: K) {
        *self.counts.entry(key).or_default() += 1;
    }

    /// Subtracts one from the count of a key, unless it is zero.
    pub(super) fn remove(&mut self, key: &K) {
        if let Some(count) = self.counts.get_mut(key) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(key);
            }
        }
    }

    /// All keys with their counts, ordered by key.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&K, usize)> {
        self.counts.iter().map(|(key, count)| (key, *count))
    }
}
