//! The options of a message.

use std::fmt;
use std::ops::Index;

use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::message::OptionValue;

/// Most options of a message, several times as many as any message of the protocol has.
pub(crate) const MAX_OPTIONS: usize = 64;

/// The options of a message by name, in the order of their names. Their memory is that of their text and some 50
/// bytes each, as thousands of received messages may wait to be processed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Options {
    entries: Vec<(Box<str>, OptionValue)>,
}

impl Options {
    /// No options.
    #[must_use]
    pub const fn new() -> Self {
        Self { entries: Vec::new() }
    }

    /// The option with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&OptionValue> {
        self.position(name).ok().map(|at| &self.entries[at].1)
    }

    /// Sets the option with this name.
    pub fn insert(&mut self, name: &str, value: OptionValue) {
        match self.position(name) {
            Ok(at) => self.entries[at].1 = value,
            Err(at) => self.entries.insert(at, (name.into(), value)),
        }
    }

    /// Number of options.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Keeps the options with these names, drops all others, and gives back the memory that is not used.
    pub fn retain_named(&mut self, names: &[&str]) {
        self.entries.retain(|(name, _)| names.contains(&&**name));
        self.entries.shrink_to_fit();
    }

    /// Bytes of memory that the options take, without the overhead of the allocator.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let text: usize = self.entries.iter().map(|(name, value)| name.len() + value.text_bytes()).sum();
        text + self.entries.capacity() * size_of::<(Box<str>, OptionValue)>()
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|(other, _)| (**other).cmp(name))
    }

    /// From entries in the order of a message. Of several with one name the last counts.
    fn from_entries(mut entries: Vec<(Box<str>, OptionValue)>) -> Self {
        entries.reverse();
        entries.sort_by(|(a, _), (b, _)| a.cmp(b));
        entries.dedup_by(|(later, _), (kept, _)| later == kept);
        Self { entries }
    }
}

impl Index<&str> for Options {
    type Output = OptionValue;

    /// # Panics
    /// If there is no option with this name.
    fn index(&self, name: &str) -> &OptionValue {
        self.get(name).expect("an option with this name")
    }
}

impl Serialize for Options {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.entries.iter().map(|(name, value)| (name, value)))
    }
}

impl<'de> Deserialize<'de> for Options {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(OptionsVisitor)
    }
}

struct OptionsVisitor;

impl<'de> Visitor<'de> for OptionsVisitor {
    type Value = Options;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a map of options")
    }

    /// Keeps one entry more than are allowed, so that a message with too many is recognised; those beyond are
    /// only checked. Repeated names count as often as they stand there.
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Options, A::Error> {
        let mut entries = Vec::new();
        while let Some((name, value)) = map.next_entry::<Box<str>, OptionValue>()? {
            if entries.len() <= MAX_OPTIONS {
                entries.push((name, value));
            }
        }
        let too_many = entries.len() > MAX_OPTIONS;
        Ok(if too_many { Options { entries } } else { Options::from_entries(entries) })
    }
}
