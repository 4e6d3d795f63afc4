//! The file that lists the switches.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use fawnrouter_engine::Switch;
use fawnrouter_engine::fawnrouter::{Cell, ServerEntry, ServerId, ServerState, Time};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::document::{ConfigError, Document, FieldError};

/// The whole file.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SwitchFile {
    /// All switches in service. One that is missing is gone.
    #[schemars(length(max = 10_000))]
    pub switches: Vec<SwitchEntry>,
}

/// A switch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SwitchEntry {
    /// Its number. It keeps it over a restart; a machine that replaces it has another.
    pub id: u32,
    /// Its SIP listener, TCP.
    pub address: SocketAddr,
    /// Its zone.
    #[serde(default)]
    #[schemars(length(max = 128))]
    pub zone: String,
    /// Its pool.
    pub pool: u32,
    /// Whether it takes calls.
    #[serde(default)]
    pub state: SwitchState,
    /// When it last started: milliseconds since 1970 (Unix time). Left out: long ago.
    #[serde(default)]
    pub up_since_ms: Option<u64>,
}

/// What the list says of a switch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum SwitchState {
    /// Takes calls.
    #[default]
    Ready,
    /// Finishes its work.
    Draining,
}

/// Reads the list. The engine's clock is Unix time, so that start times need no conversion.
///
/// # Errors
/// All faults found, each with its line, field and remedy.
pub fn read_switches(name: &str, text: &str) -> Result<Vec<Switch>, ConfigError> {
    let document = Document::parse(name, text)?;
    let file: SwitchFile = document.deserialize()?;
    let mut seen = BTreeSet::new();
    let twice = file.switches.iter().enumerate().filter(|(_, s)| !seen.insert(s.id));
    let faults: Vec<FieldError> = twice
        .map(|(n, s)| {
            FieldError::new(format!("/switches/{n}/id"), format!("{} stands twice; ids are unique", s.id))
        })
        .collect();
    if !faults.is_empty() {
        return Err(document.locate_errors(faults));
    }
    Ok(file.switches.iter().map(SwitchEntry::to_switch).collect())
}

impl SwitchEntry {
    fn to_switch(&self) -> Switch {
        let state = match self.state {
            SwitchState::Ready => ServerState::Ready,
            SwitchState::Draining => ServerState::Draining,
        };
        let up_since = self.up_since_ms.map(|t| Time(Duration::from_millis(t)));
        let (id, cell, zone) = (ServerId(self.id), Cell(self.pool), self.zone.as_str().into());
        Switch { entry: ServerEntry { id, zone, cell, state, up_since }, address: self.address }
    }
}
