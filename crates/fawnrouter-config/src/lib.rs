#![forbid(unsafe_code)]
//! Settings of the gateway and the file that lists its switches: YAML, checked against a JSON schema that is made
//! from the types, then for sense. An error names file, line and field, and says what to do.

mod document;
mod settings;
mod switches;

pub use document::{ConfigError, Document, FieldError};
pub use settings::*;
pub use switches::{SwitchEntry, SwitchFile, SwitchState, read_switches};

use std::path::Path;

/// Reads settings from a file.
///
/// # Errors
/// All faults found, each with its line, field and remedy.
pub fn load(path: &Path) -> Result<Settings, ConfigError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| ConfigError::unreadable(&name, &e))?;
    parse(&name, &text)
}

/// Reads settings from a text; `name` stands for it in errors.
///
/// # Errors
/// As [`load`].
pub fn parse(name: &str, text: &str) -> Result<Settings, ConfigError> {
    let document = Document::parse(name, text)?;
    let settings: Settings = document.deserialize()?;
    let faults = settings.field_errors();
    if faults.is_empty() { Ok(settings) } else { Err(document.locate_errors(faults)) }
}

/// The JSON schema of the settings.
#[must_use]
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Settings).to_value()
}
