use serde_json::Value;

/// What is wrong with the settings object. Each error names the field by its path in that object.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum BootInfoError {
    /// A required field is missing.
    #[error("{field}: is missing; add {wanted}")]
    Missing {
        /// Path of the field.
        field: String,
        /// What to add.
        wanted: &'static str,
    },
    /// A field is of the wrong type, for example text in place of a number.
    #[error("{field}: is {found}; it must be {wanted}")]
    WrongType {
        /// Path of the field.
        field: String,
        /// What it holds, abbreviated.
        found: String,
        /// What it must be.
        wanted: &'static str,
    },
    /// A field is of the right type, but no gateway can work with its value.
    #[error("{field}: is {found}; it must be {wanted}")]
    OutOfRange {
        /// Path of the field.
        field: String,
        /// What it holds, abbreviated.
        found: String,
        /// What it must be.
        wanted: &'static str,
    },
    /// A field contradicts another one.
    #[error("{field}: is {found}, {with}; {remedy}")]
    Conflict {
        /// Path of the field.
        field: String,
        /// What it holds, abbreviated.
        found: String,
        /// What it contradicts.
        with: String,
        /// What to do about it.
        remedy: &'static str,
    },
}

/// Some users of this crate report errors as text.
impl From<BootInfoError> for String {
    fn from(error: BootInfoError) -> Self {
        error.to_string()
    }
}

/// Formats a value for a message: on one line, and cut off if it is long.
#[must_use]
pub fn abbreviated(value: &Value) -> String {
    const MAX_CHARACTERS: usize = 60;
    let text = value.to_string();
    match text.char_indices().nth(MAX_CHARACTERS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
