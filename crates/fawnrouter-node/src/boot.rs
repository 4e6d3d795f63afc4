//! The configuration file of the platform (its page DEPLOY).

use std::net::SocketAddr;

use fawnrouter::{Settings, SettingsError};
use fawnrouter_bootinfo::{BootInfoError, ConnectionSettings, NameIndex, abbreviated};
use serde_json::{Map, Value};

use crate::switch_list::{Pool, PoolError};

/// What is wrong with a configuration; each text names the field and what would be right.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum BootError {
    /// Not JSON; serde_json's text names line and column.
    #[error("not JSON: {0}; it must be one object")]
    InvalidJson(String),
    /// A field is missing or of the wrong kind.
    #[error("{field}: is {found}; it must be {wanted}")]
    InvalidField {
        /// Which.
        field: &'static str,
        /// What is there.
        found: String,
        /// What should be.
        wanted: &'static str,
    },
    /// The settings object is wrong.
    #[error("settings.{0}")]
    InvalidSettings(#[from] BootInfoError),
    /// The decision module refuses the settings.
    #[error("settings: {0}")]
    RejectedSettings(#[from] SettingsError),
    /// The list of the start is wrong.
    #[error("known: {0}")]
    InvalidKnownList(#[from] PoolError),
}

/// A configuration that has been read and checked.
#[derive(Debug)]
pub struct Boot {
    /// The gateway's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub descriptors: usize,
    /// Where the name server is asked.
    pub nameserver: SocketAddr,
    /// The list of the start.
    pub known: Pool,
    /// The decisions' settings.
    pub settings: Settings,
    /// The names that calls carry.
    pub names: NameIndex,
    /// What the settings say of connections.
    pub connections: ConnectionSettings,
}

struct Fields<'a>(&'a Map<String, Value>);

impl Fields<'_> {
    fn get<T>(
        &self,
        field: &'static str,
        wanted: &'static str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Result<T, BootError> {
        let wrong = |field, value: Option<&Value>, wanted| {
            let found = value.map_or_else(|| "missing".to_owned(), abbreviated);
            BootError::InvalidField { field, found, wanted }
        };
        let (map, key) = match field.split_once('.') {
            None => (self.0, field),
            Some((outer, key)) => {
                let value = self.0.get(outer);
                let map = value.and_then(Value::as_object).ok_or_else(|| wrong(outer, value, "an object"))?;
                (map, key)
            }
        };
        let value = map.get(key);
        value.and_then(read).ok_or_else(|| wrong(field, value, wanted))
    }
}

impl Boot {
    /// Reads a configuration.
    ///
    /// # Errors
    /// Names the first thing that is wrong.
    pub fn read(text: &[u8]) -> Result<Self, BootError> {
        let value: Value = serde_json::from_slice(text).map_err(|e| BootError::InvalidJson(e.to_string()))?;
        let Value::Object(map) = &value else { return Err(BootError::InvalidJson("no object".to_owned())) };
        let f = Fields(map);
        let address = |v: &Value| v.as_str().and_then(|a| a.parse::<SocketAddr>().ok());
        let boot =
            f.get("settings", "the object that an instance is given", |v| v.is_object().then(|| v.clone()))?;
        let (settings, names) = fawnrouter_bootinfo::settings(&boot)?;
        settings.validate()?;
        let known = f.get("known", "an object with seq and results", |v| v.is_object().then(|| v.clone()))?;
        Ok(Self {
            name: f.get("name", "the gateway's name", |v| v.as_str().map(str::to_owned))?,
            listen: f.get("listen", "an address and a port, as 10.0.0.4:5060", address)?,
            seed: f.get("seed", "up to 16 hex digits", |v| {
                v.as_str().and_then(|s| u64::from_str_radix(s, 16).ok())
            })?,
            descriptors: f.get("limits.sockets", "the number of descriptors, 64 at least", |v| {
                v.as_u64().and_then(|n| usize::try_from(n).ok()).filter(|n| *n >= 64)
            })?,
            nameserver: f.get("nameserver", "an address and a port, as 10.2.0.1:5300", address)?,
            known: Pool::from_configuration(&known)?,
            settings,
            names,
            connections: fawnrouter_bootinfo::connection_settings(&boot)?,
        })
    }
}
