//! The file that lists the core switches.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use fawnrouter_engine::Switch;
use fawnrouter_engine::fawnrouter::{Cell, ServerEntry, ServerId, ServerState, Time};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::document::{ConfigError, Document, FieldError};

/// The content of the file.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SwitchFile {
    /// All switches in service. One that is left out counts as gone.
    #[schemars(length(max = 10_000))]
    pub switches: Vec<SwitchEntry>,
}

/// One core switch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SwitchEntry {
    /// Its number. A restarted switch keeps its number; a machine that replaces it has a new one.
    pub id: u32,
    /// Where it listens for SIP over TCP.
    pub address: SocketAddr,
    /// The zone that it is in.
    #[serde(default)]
    #[schemars(length(max = 128))]
    pub zone: String,
    /// The pool that it belongs to.
    pub pool: u32,
    /// Whether it takes new calls.
    #[serde(default)]
    pub state: SwitchState,
    /// When it last started: milliseconds since 1970 (Unix time). Left out: long ago.
    #[serde(default)]
    pub up_since_ms: Option<u64>,
}

/// State of a switch as the list gives it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum SwitchState {
    /// Takes new calls.
    #[default]
    Ready,
    /// Finishes its calls and takes no new ones.
    Draining,
}

/// Parses the list. The engine's clock is Unix time, so that start times need no conversion.
///
/// # Errors
/// All errors found, each with its line, field and correction.
pub fn read_switches(name: &str, text: &str) -> Result<Vec<Switch>, ConfigError> {
    let document = Document::parse(name, text)?;
    let file: SwitchFile = document.deserialize()?;
    let mut seen = BTreeSet::new();
    let duplicates = file.switches.iter().enumerate().filter(|(_, s)| !seen.insert(s.id));
    let errors: Vec<FieldError> = duplicates
        .map(|(n, s)| {
            FieldError::new(format!("/switches/{n}/id"), format!("{} stands twice; ids are unique", s.id))
        })
        .collect();
    if !errors.is_empty() {
        return Err(document.locate_errors(errors));
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
