use serde_json::Value;

/// What is wrong with the settings object. Each names the field by its path in that object.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum BootInfoError {
    /// A field that must be there is not.
    #[error("{field}: is missing; add {wanted}")]
    Missing {
        /// Which.
        field: String,
        /// What should be.
        wanted: &'static str,
    },
    /// A field is of another kind, as text where a number is wanted.
    #[error("{field}: is {found}; it must be {wanted}")]
    WrongType {
        /// Which.
        field: String,
        /// What is there.
        found: String,
        /// What should be.
        wanted: &'static str,
    },
    /// A field is of the right kind, and no gateway can work with what it says.
    #[error("{field}: is {found}; it must be {wanted}")]
    OutOfRange {
        /// Which.
        field: String,
        /// What is there.
        found: String,
        /// What should be.
        wanted: &'static str,
    },
    /// A field contradicts another one.
    #[error("{field}: is {found}, {with}; {remedy}")]
    Conflict {
        /// Which.
        field: String,
        /// What is there.
        found: String,
        /// What it contradicts.
        with: String,
        /// What to do.
        remedy: &'static str,
    },
}

/// Embedders that report their faults as text take this one as text too.
impl From<BootInfoError> for String {
    fn from(error: BootInfoError) -> Self {
        error.to_string()
    }
}

/// A value as a message shows it: on one line, and not all of a long one.
#[must_use]
pub fn abbreviated(value: &Value) -> String {
    const MOST: usize = 60;
    let text = value.to_string();
    match text.char_indices().nth(MOST) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
