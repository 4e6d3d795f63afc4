//! Counts by key that keep nothing for a key whose count is zero.

use std::collections::BTreeMap;

/// How many there are of each key.
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
    /// How many there are of a key.
    pub(super) fn of(&self, key: &K) -> usize {
        self.counts.get(key).copied().unwrap_or(0)
    }

    /// Counts one more.
    pub(super) fn add(&mut self, key: K) {
        *self.counts.entry(key).or_default() += 1;
    }

    /// Counts one less; nothing for a key that is not counted.
    pub(super) fn remove(&mut self, key: &K) {
        if let Some(count) = self.counts.get_mut(key) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(key);
            }
        }
    }

    /// All keys with their counts, in the order of the keys.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&K, usize)> {
        self.counts.iter().map(|(key, count)| (key, *count))
    }
}
