//! Message types.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::options::Options;

/// A call's id: 16 lower-case hex digits, so that each number has one spelling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag(pub u64);

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Tag {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let number = (text.len() == 16 && digits).then(|| u64::from_str_radix(text, 16).ok()).flatten();
        number.map(Self).ok_or("tag is not 16 hex digits in lower case")
    }
}

impl Serialize for Tag {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Tag {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

/// The type of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Verb {
    /// Set-up, with a description.
    Start,
    /// Progress, which is ignored.
    Pending,
    /// Answer: the call is established.
    Started,
    /// Refusal, withdrawal or release.
    Finish,
    /// Acknowledgement of a release.
    Finished,
    /// Test.
    Echo,
    /// Result of a test: passed or failed.
    Echoed,
    /// Load report of a trunk group.
    Load,
    /// A type that is not used here.
    #[serde(other, skip_serializing)]
    Other,
}

/// The value of an option: text or a number.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum OptionValue {
    /// Text.
    Text(String),
    /// A number.
    Number(serde_json::Number),
}

impl OptionValue {
    /// The value as a whole number, if it is one and not negative, written as text or as a number.
    #[must_use]
    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Self::Text(text) => text.parse().ok(),
            Self::Number(number) => number.as_u64(),
        }
    }

    /// Bytes of text that the value holds.
    pub(crate) fn text_bytes(&self) -> usize {
        self.as_str().map_or(0, str::len)
    }

    /// The value as text, if it is text.
    #[must_use]
    pub fn as_str(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            Self::Number(_) => None,
        }
    }
}

/// Written by hand, as a derived untagged enum holds each value in a buffer first, which takes several times as
/// long.
impl<'de> Deserialize<'de> for OptionValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(OptionValueVisitor)
    }
}

struct OptionValueVisitor;

impl de::Visitor<'_> for OptionValueVisitor {
    type Value = OptionValue;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("text or a number")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<OptionValue, E> {
        Ok(OptionValue::Text(text.to_owned()))
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<OptionValue, E> {
        Ok(OptionValue::Number(number.into()))
    }

    fn visit_i64<E: de::Error>(self, number: i64) -> Result<OptionValue, E> {
        Ok(OptionValue::Number(number.into()))
    }

    fn visit_f64<E: de::Error>(self, number: f64) -> Result<OptionValue, E> {
        let number = serde_json::Number::from_f64(number);
        number.map(OptionValue::Number).ok_or_else(|| E::custom("a number that is not finite"))
    }
}

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The type of the message.
    pub verb: Verb,
    /// The call that the message belongs to.
    pub tag: Tag,
    /// The options.
    #[serde(default)]
    pub opts: Options,
    /// The cause (ITU-T Q.850 where it has a number for it).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rc: Option<i64>,
    /// The description, passed on unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub blob: Option<String>,
}

impl Message {
    /// Creates a message without options, cause and description.
    #[must_use]
    pub fn new(verb: Verb, tag: Tag) -> Self {
        Self { verb, tag, opts: Options::new(), rc: None, blob: None }
    }

    /// Sets the cause.
    #[must_use]
    pub fn with_cause(mut self, rc: i64) -> Self {
        self.rc = Some(rc);
        self
    }

    /// Sets an option, as text.
    #[must_use]
    pub fn with_option(mut self, name: &str, value: impl fmt::Display) -> Self {
        self.opts.insert(name, OptionValue::Text(value.to_string()));
        self
    }

    /// Sets the description.
    #[must_use]
    pub fn with_description(mut self, blob: String) -> Self {
        self.blob = Some(blob);
        self
    }

    /// Bytes of memory that the message takes, without the overhead of the allocator.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>() + self.opts.memory_bytes() + self.blob.as_ref().map_or(0, String::capacity)
    }

    /// Appends the message as a line.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let start = out.len();
        // Text, numbers and maps with text keys can always be serialized.
        if serde_json::to_writer(&mut *out, self).is_err() {
            out.truncate(start);
            return;
        }
        out.push(b'\n');
    }
}
