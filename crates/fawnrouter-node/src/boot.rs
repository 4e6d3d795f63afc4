//! The platform's configuration file; see `docs/design/025-platform-gateway.md`.

use std::net::SocketAddr;

use fawnrouter::{Settings, SettingsError};
use fawnrouter_bootinfo::{BootInfoError, ConnectionSettings, NameIndex, abbreviated};
use serde_json::{Map, Value};

use crate::switch_list::{Pool, PoolError};

/// Least memory that a gateway can run with.
const MIN_MEMORY_MB: f64 = 8.0;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// What is wrong with a configuration. Each text names the field and what it must be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum BootError {
    /// Not JSON; the text of serde_json names line and column.
    #[error("not JSON: {0}; it must be one object")]
    InvalidJson(String),
    /// A field is missing or of the wrong type.
    #[error("{field}: is {found}; it must be {wanted}")]
    InvalidField {
        /// Name of the field.
        field: &'static str,
        /// What the field holds, abbreviated, or "missing".
        found: String,
        /// What it must be.
        wanted: &'static str,
    },
    /// The settings object is invalid.
    #[error("settings.{0}")]
    InvalidSettings(#[from] BootInfoError),
    /// The controller rejects the settings.
    #[error("settings: {0}")]
    RejectedSettings(#[from] SettingsError),
    /// The initial list of core switches is invalid.
    #[error("known: {0}")]
    InvalidKnownList(#[from] PoolError),
}

/// A configuration that has been read and checked.
#[derive(Debug)]
pub struct Boot {
    /// The gateway's name.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of descriptors that the process may hold.
    pub descriptors: usize,
    /// Bytes of memory that the process may hold.
    pub memory_bytes: usize,
    /// Address of the name server.
    pub nameserver: SocketAddr,
    /// The initial list of core switches.
    pub known: Pool,
    /// Settings of the controller.
    pub settings: Settings,
    /// Ids of the names that calls carry.
    pub names: NameIndex,
    /// Settings of connections.
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
    /// Reads and checks a configuration.
    ///
    /// # Errors
    /// Names the first fault.
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
            memory_bytes: f.get("limits.memory_mb", "the memory limit in MB, 8 at least", |v| {
                v.as_f64()
                    .filter(|mb| mb.is_finite() && *mb >= MIN_MEMORY_MB)
                    .map(|mb| (mb * BYTES_PER_MB) as usize)
            })?,
            nameserver: f.get("nameserver", "an address and a port, as 10.2.0.1:5300", address)?,
            known: Pool::from_configuration(&known)?,
            settings,
            names,
            connections: fawnrouter_bootinfo::connection_settings(&boot)?,
        })
    }
}
