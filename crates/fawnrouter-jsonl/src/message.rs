//! Messages.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A call's id: 16 hex digits in lower case, so that a number has one spelling.
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
    /// Progress, which means nothing.
    Pending,
    /// Answer: the call stands.
    Started,
    /// Refusal, withdrawal or release.
    Finish,
    /// Release heard.
    Finished,
    /// Test.
    Echo,
    /// Test passed or failed.
    Echoed,
    /// State of a group.
    Load,
    /// A type that this side does not use.
    #[serde(other, skip_serializing)]
    Other,
}

/// The value of an option: text or a number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum OptionValue {
    /// Text.
    Text(String),
    /// A number.
    Number(serde_json::Number),
}

impl OptionValue {
    /// As a whole number that is not negative, however it is spelled.
    #[must_use]
    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Self::Text(text) => text.parse().ok(),
            Self::Number(number) => number.as_u64(),
        }
    }

    /// As text.
    #[must_use]
    pub fn as_str(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            Self::Number(_) => None,
        }
    }
}

/// The options of a message by name.
pub type Options = BTreeMap<String, OptionValue>;

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Its type.
    pub verb: Verb,
    /// The call that it belongs to.
    pub tag: Tag,
    /// Its options.
    #[serde(default)]
    pub opts: Options,
    /// The cause (ITU-T Q.850 where it has a number for it).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rc: Option<i64>,
    /// The description, passed on as it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub blob: Option<String>,
}

impl Message {
    /// A message without options, cause and description.
    #[must_use]
    pub fn new(verb: Verb, tag: Tag) -> Self {
        Self { verb, tag, opts: Options::new(), rc: None, blob: None }
    }

    /// With this cause.
    #[must_use]
    pub fn with_cause(mut self, rc: i64) -> Self {
        self.rc = Some(rc);
        self
    }

    /// With this option, as text.
    #[must_use]
    pub fn with_option(mut self, name: &str, value: impl fmt::Display) -> Self {
        self.opts.insert(name.to_owned(), OptionValue::Text(value.to_string()));
        self
    }

    /// With this description.
    #[must_use]
    pub fn with_description(mut self, blob: String) -> Self {
        self.blob = Some(blob);
        self
    }

    /// Appends the message as a line.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let start = out.len();
        // Text, numbers and maps with text for keys can always be written.
        if serde_json::to_writer(&mut *out, self).is_err() {
            out.truncate(start);
            return;
        }
        out.push(b'\n');
    }
}
