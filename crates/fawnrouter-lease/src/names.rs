//! Names, numbers and ids.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// What a lease is for, for example `report`: 1 to 32 of `a-z`, `0-9` and `-`, a letter first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct LeaseName(String);

/// Why a text is not the name of a lease.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// Nothing, or too much.
    #[error("the name of a lease has 1 to 32 characters, this one has {0}")]
    Length(usize),
    /// A character that does not belong there.
    #[error(
        "the name of a lease is made of a-z, 0-9 and '-' and begins with a letter; {0:?} does not belong there"
    )]
    Character(char),
}

impl LeaseName {
    /// The name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for LeaseName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let length = text.chars().count();
        if !(1..=32).contains(&length) {
            return Err(NameError::Length(length));
        }
        let belongs =
            |(i, c): (usize, char)| c.is_ascii_lowercase() || i > 0 && (c.is_ascii_digit() || c == '-');
        match text.chars().enumerate().find(|at| !belongs(*at)) {
            Some((_, c)) => Err(NameError::Character(c)),
            None => Ok(Self(text.to_owned())),
        }
    }
}

impl TryFrom<String> for LeaseName {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        text.parse()
    }
}

impl From<LeaseName> for String {
    fn from(name: LeaseName) -> Self {
        name.0
    }
}

impl fmt::Display for LeaseName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A gateway of the fleet, by the number its settings give it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GatewayId(pub u32);

impl fmt::Display for GatewayId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "g{}", self.0)
    }
}

/// One life of a gateway's process: another after each start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A gateway in one of its lives. A lease belongs to a life: after a restart it is another's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Which gateway.
    pub gateway: GatewayId,
    /// Which of its lives.
    pub incarnation: Incarnation,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.gateway, self.incarnation.0)
    }
}

/// Counts how often a majority of the voters was lost for good and set up anew by command. Whatever the lost table gave
/// out lies below the numbers of the next epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u32);

/// A fencing number: given with each lease that is newly taken, higher each time over all leases, by epoch and then by
/// count. Each act carries it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingNumber {
    /// The epoch of the table that gave it.
    pub epoch: Epoch,
    /// Its place in that epoch, from 1.
    pub count: u64,
}

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch.0, self.count)
    }
}

/// Why a text is not a fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a fencing number is EPOCH.COUNT, both whole numbers, for example 0.17")]
pub struct FencingNumberError;

impl FromStr for FencingNumber {
    type Err = FencingNumberError;

    fn from_str(text: &str) -> Result<Self, FencingNumberError> {
        let (epoch, count) = text.split_once('.').ok_or(FencingNumberError)?;
        let epoch = Epoch(epoch.parse().map_err(|_| FencingNumberError)?);
        Ok(Self { epoch, count: count.parse().map_err(|_| FencingNumberError)? })
    }
}

/// Which grant or renewal of a lease is meant: rises with each, over all leases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp(pub u64);
