//! A YAML document with the line of each field, checked against a schema.

use std::fmt;

use jsonschema::error::ValidationErrorKind as Kind;
use saphyr::{LoadableYamlNode, MarkedYaml, Scalar, YamlData};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// An error in one field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// The field, as a JSON pointer (RFC 6901): `/classes/0/points`.
    pub pointer: String,
    /// What is wrong, and how to correct it.
    pub message: String,
}

impl FieldError {
    /// Creates an error for the field at `pointer`.
    #[must_use]
    pub fn new(pointer: impl Into<String>, message: impl Into<String>) -> Self {
        Self { pointer: pointer.into(), message: message.into() }
    }
}

/// All errors in a file, one line each: `file:line: field: what is wrong; how to correct it`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    lines: Vec<String>,
}

impl ConfigError {
    pub(crate) fn unreadable(name: &str, error: &std::io::Error) -> Self {
        Self { lines: vec![format!("{name}: cannot be read: {error}; give the path of a file that can be")] }
    }

    /// Each error as one line of text.
    #[must_use]
    pub fn lines(&self) -> &[String] {
        &self.lines
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.lines.join("\n"))
    }
}

impl std::error::Error for ConfigError {}

/// A parsed YAML document that remembers the line of each field.
#[derive(Debug)]
pub struct Document {
    name: String,
    value: Value,
    /// JSON pointers of the fields, each with its line.
    lines: Vec<(String, usize)>,
}

impl Document {
    /// Parses YAML 1.2. Keys must be strings, and unique within a mapping.
    ///
    /// # Errors
    /// If the text is not valid YAML, or not exactly one document.
    pub fn parse(name: &str, text: &str) -> Result<Self, ConfigError> {
        let fail =
            |line: usize, message: String| ConfigError { lines: vec![format!("{name}:{line}: {message}")] };
        let documents = MarkedYaml::load_from_str(text)
            .map_err(|e| fail(e.marker().line(), format!("not YAML: {}; correct this line", e.info())))?;
        let [root] = documents.as_slice() else {
            return Err(fail(1, "the file does not hold exactly one document; write one mapping".into()));
        };
        let mut document = Self { name: name.to_owned(), value: Value::Null, lines: Vec::new() };
        document.value =
            document.convert(root, String::new()).map_err(|(line, message)| fail(line, message))?;
        Ok(document)
    }

    /// Converts a node to JSON and records the lines of its fields. An error is a line number with a message.
    fn convert(&mut self, node: &MarkedYaml<'_>, pointer: String) -> Result<Value, (usize, String)> {
        let line = node.span.start.line();
        if !self.lines.iter().any(|(p, _)| *p == pointer) {
            self.lines.push((pointer.clone(), line));
        }
        Ok(match &node.data {
            YamlData::Value(scalar) => match scalar {
                Scalar::Null => Value::Null,
                Scalar::Boolean(b) => Value::Bool(*b),
                Scalar::Integer(n) => Value::from(*n),
                Scalar::FloatingPoint(x) => Value::from(x.into_inner()),
                Scalar::String(s) => Value::String(s.to_string()),
            },
            YamlData::Sequence(items) => {
                let items = items.iter().enumerate();
                Value::Array(
                    items
                        .map(|(n, item)| self.convert(item, format!("{pointer}/{n}")))
                        .collect::<Result<_, _>>()?,
                )
            }
            YamlData::Mapping(pairs) => {
                let mut map = Map::new();
                for (key, value) in pairs {
                    let YamlData::Value(Scalar::String(name)) = &key.data else {
                        return Err((key.span.start.line(), "a key is no text; put it in quotes".into()));
                    };
                    let pointer = format!("{pointer}/{}", name.replace('~', "~0").replace('/', "~1"));
                    self.lines.push((pointer.clone(), key.span.start.line()));
                    let value = self.convert(value, pointer)?;
                    if map.insert(name.to_string(), value).is_some() {
                        return Err((key.span.start.line(), format!("duplicate key {name}; remove one")));
                    }
                }
                Value::Object(map)
            }
            _ => {
                return Err((
                    line,
                    "tags and unknown anchors are not supported; write the value itself".into(),
                ));
            }
        })
    }

    /// Checks the document against the schema of `T` and deserializes it.
    ///
    /// # Errors
    /// All violations of the schema.
    pub fn deserialize<T: DeserializeOwned + schemars::JsonSchema>(&self) -> Result<T, ConfigError> {
        let schema = schemars::schema_for!(T).to_value();
        let validator = jsonschema::validator_for(&schema).map_err(|e| {
            self.locate_errors(vec![FieldError::new("", format!("the schema itself is invalid: {e}"))])
        })?;
        let errors: Vec<FieldError> =
            validator.iter_errors(&self.value).flat_map(|e| field_errors(&e)).collect();
        if !errors.is_empty() {
            return Err(self.locate_errors(errors));
        }
        T::deserialize(&self.value).map_err(|e| self.locate_errors(vec![FieldError::new("", e.to_string())]))
    }

    /// Combines errors into one, each with the line of its field.
    #[must_use]
    pub fn locate_errors(&self, mut errors: Vec<FieldError>) -> ConfigError {
        errors.dedup();
        let mut lines: Vec<(usize, String)> = errors
            .into_iter()
            .map(|error| {
                let field = match error.pointer.trim_start_matches('/') {
                    "" => "(the whole file)".to_owned(),
                    path => path.replace('/', "."),
                };
                let line = self.line_of(&error.pointer);
                (line, format!("{}:{line}: {field}: {}", self.name, error.message))
            })
            .collect();
        lines.sort();
        ConfigError { lines: lines.into_iter().map(|(_, text)| text).collect() }
    }

    /// The line of a field, or of its nearest ancestor that is present.
    fn line_of(&self, pointer: &str) -> usize {
        let mut pointer = pointer;
        loop {
            if let Some((_, line)) = self.lines.iter().find(|(p, _)| p == pointer) {
                return *line;
            }
            match pointer.rfind('/') {
                Some(end) => pointer = &pointer[..end],
                None => return 1,
            }
        }
    }
}

/// Describes a violation of the schema, with the pointer to its field.
fn field_errors(error: &jsonschema::ValidationError<'_>) -> Vec<FieldError> {
    let pointer = error.instance_path().to_string();
    let value = error.instance();
    let one = |message: String| vec![FieldError::new(pointer.clone(), message)];
    match error.kind() {
        Kind::AdditionalProperties { unexpected } | Kind::UnevaluatedProperties { unexpected } => unexpected
            .iter()
            .map(|name| {
                FieldError::new(format!("{pointer}/{name}"), "no such field; remove it or correct its name")
            })
            .collect(),
        Kind::Required { property } => {
            one(format!("{} is missing; add it", property.as_str().unwrap_or("a field")))
        }
        Kind::Type { .. } => one(format!("{error}; give a value of that type")),
        Kind::Enum { options } => one(format!("{value} is none of {options}; choose one of them")),
        // schemars writes an enum with described variants as a choice of constants.
        Kind::OneOfNotValid { context } | Kind::AnyOf { context } => {
            let options = context.iter().flatten().filter_map(|e| match e.kind() {
                Kind::Constant { expected_value } => Some(expected_value.to_string()),
                _ => None,
            });
            let options = options.collect::<Vec<_>>().join(", ");
            one(match options.as_str() {
                "" => format!("{error}; see `fawnrouter schema`"),
                options => format!("{value} is none of {options}; choose one of them"),
            })
        }
        Kind::Minimum { limit } | Kind::ExclusiveMinimum { limit } => {
            one(format!("{value} is too small; the least is {limit}"))
        }
        Kind::Maximum { limit } | Kind::ExclusiveMaximum { limit } => {
            one(format!("{value} is too large; the most is {limit}"))
        }
        Kind::MinItems { limit } => one(format!("too few entries; give at least {limit}")),
        Kind::MaxItems { limit } => one(format!("too many entries; give at most {limit}")),
        Kind::MinLength { .. } => one("the text is empty; fill it in".into()),
        _ => one(format!("{error}; see `fawnrouter schema`")),
    }
}
