#![forbid(unsafe_code)]
//! Settings of the gateway, its list of switches and its list of clients. The files are YAML. They are
//! checked against a JSON schema generated from the types, then for consistency. An error names the file,
//! line and field, and says how to correct it.

mod document;
mod settings;
mod switches;

pub use document::{ConfigError, Document, FieldError};
pub use settings::*;
pub use switches::{SwitchEntry, SwitchFile, SwitchState, read_switches};

use std::path::Path;

/// Loads settings from a file.
///
/// # Errors
/// All errors found, each with its line, field and correction.
pub fn load(path: &Path) -> Result<Settings, ConfigError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| ConfigError::unreadable(&name, &e))?;
    parse(&name, &text)
}

/// Parses settings. Errors refer to the text as `name`.
///
/// # Errors
/// As [`load`].
pub fn parse(name: &str, text: &str) -> Result<Settings, ConfigError> {
    let document = Document::parse(name, text)?;
    let settings: Settings = document.deserialize()?;
    let errors = settings.field_errors();
    if errors.is_empty() { Ok(settings) } else { Err(document.locate_errors(errors)) }
}

/// The JSON schema of the settings.
#[must_use]
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Settings).to_value()
}
