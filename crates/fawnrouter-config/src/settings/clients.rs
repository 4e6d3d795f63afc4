//! Known clients: how they authenticate, and the file that lists them.

use std::collections::BTreeSet;
use std::path::PathBuf;

use fawnrouter_engine::digest::{Algorithm, AuthenticatorSettings, Ha1, Secret};
use fawnrouter_engine::{AuthSettings, KnownClient, UnknownClients};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{Settings, milliseconds};
use crate::document::{ConfigError, Document, FieldError};

/// How clients authenticate (RFC 8760).
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// A YAML file that lists the known clients; `fawnrouter secret` prints an entry for it. Relative paths
    /// are resolved from the folder of the settings file. The file is polled as often as the list of
    /// switches.
    pub file: PathBuf,
    /// The digest realm, which is part of each password hash.
    #[schemars(length(min = 1, max = 255))]
    pub realm: String,
    /// What unknown clients may do.
    #[serde(default)]
    pub strangers: UnknownClientPolicy,
    /// Accepts MD5 too, from clients that have an MD5 hash.
    #[serde(default)]
    pub md5: bool,
    /// How long a nonce is valid.
    #[serde(default = "default_nonce_life_ms")]
    #[schemars(range(min = 1000, max = 86_400_000))]
    pub nonce_life_ms: u64,
    /// Failed authentications on one connection before it is closed.
    #[serde(default = "default_attempts")]
    #[schemars(range(min = 1, max = 100))]
    pub attempts: u32,
    /// With `admission`: once no place is left for unknown clients, a new connection has this long to
    /// authenticate.
    #[serde(default = "default_prove_ms")]
    #[schemars(range(min = 100, max = 60_000))]
    pub prove_ms: u64,
}

/// What clients may do that have not authenticated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "StrangersMay")]
pub enum UnknownClientPolicy {
    /// Set up calls, within their limits.
    #[default]
    Call,
    /// Nothing: every request is challenged (401).
    Nothing,
}

fn default_nonce_life_ms() -> u64 {
    300_000
}

fn default_attempts() -> u32 {
    5
}

fn default_prove_ms() -> u64 {
    3000
}

/// Where the running gateway takes operators' commands.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// The path of the Unix socket that the gateway creates, accessible to its own user only. Relative paths
    /// are resolved from the folder of the settings file.
    pub socket: PathBuf,
}

/// The file that lists the known clients.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClientFile {
    /// All known clients.
    #[schemars(length(max = 100_000))]
    pub clients: Vec<ClientEntry>,
}

/// One known client.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClientEntry {
    /// The user name in its credentials.
    #[schemars(length(min = 1, max = 128))]
    pub name: String,
    /// SHA-256 of name:realm:password, 64 hex digits; `fawnrouter secret` prints it.
    pub sha256: String,
    /// MD5 of the same, 32 hex digits, for a client that supports nothing better.
    #[serde(default)]
    pub md5: Option<String>,
    /// Most connections at once.
    #[serde(default)]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub connections: Option<usize>,
    /// Set-ups per turn, when clients take turns: its share relative to the other clients.
    #[serde(default)]
    #[schemars(range(min = 1, max = 1000))]
    pub weight: Option<u32>,
    /// Most set-ups per second.
    #[serde(default)]
    #[schemars(range(min = 0.001, max = 1e6))]
    pub rate_per_s: Option<f64>,
    /// Most set-ups in one burst.
    #[serde(default)]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub burst: Option<u32>,
    /// Most calls without a final answer.
    #[serde(default)]
    #[schemars(range(min = 1, max = 10_000_000))]
    pub pending: Option<usize>,
    /// Most calls in total.
    #[serde(default)]
    #[schemars(range(min = 1, max = 10_000_000))]
    pub calls: Option<usize>,
}

impl ClientEntry {
    /// Parses the password hashes. The error's pointer is relative to the entry.
    fn secret(&self) -> Result<Secret, FieldError> {
        let parse = |algorithm, field: &str, text: &str| {
            let field_error = |e| FieldError::new(field, format!("{e}; make it with `fawnrouter secret`"));
            Ha1::parse(algorithm, text).map_err(field_error)
        };
        let md5 = self.md5.as_deref().map(|text| parse(Algorithm::Md5, "md5", text)).transpose()?;
        Ok(Secret { sha256: parse(Algorithm::Sha256, "sha256", &self.sha256)?, md5 })
    }
}

/// Parses the list of known clients. Errors never contain its secrets.
///
/// # Errors
/// All errors found, each with its line, field and correction.
pub fn read_clients(name: &str, text: &str) -> Result<Vec<ClientEntry>, ConfigError> {
    let document = Document::parse(name, text)?;
    let file: ClientFile = document.deserialize()?;
    let mut errors = Vec::new();
    let mut seen = BTreeSet::new();
    for (n, client) in file.clients.iter().enumerate() {
        if !seen.insert(client.name.as_str()) {
            let message = format!("{} appears twice; remove one", client.name);
            errors.push(FieldError::new(format!("/clients/{n}/name"), message));
        }
        if let Err(error) = client.secret() {
            errors.push(FieldError::new(format!("/clients/{n}/{}", error.pointer), error.message));
        }
    }
    if errors.is_empty() { Ok(file.clients) } else { Err(document.locate_errors(errors)) }
}

impl Clients {
    /// Adds the errors that the schema cannot express.
    pub(super) fn collect_errors(&self, errors: &mut Vec<FieldError>) {
        if self.realm.chars().any(char::is_control) {
            let message = "contains a control character; write a name such as calls.example";
            errors.push(FieldError::new("/clients/realm", message));
        }
    }
}

impl Settings {
    /// Settings of client authentication, if it is on. `key` signs nonces: it must be secret and new at each
    /// start.
    #[must_use]
    pub fn auth_settings(&self, key: [u8; 32]) -> Option<AuthSettings> {
        let clients = self.clients.as_ref()?;
        let authenticator = AuthenticatorSettings {
            realm: clients.realm.clone(),
            md5: clients.md5,
            nonce_lifetime: milliseconds(clients.nonce_life_ms),
            max_failures: clients.attempts,
        };
        let unknown_clients = match clients.strangers {
            UnknownClientPolicy::Call => UnknownClients::Allowed,
            UnknownClientPolicy::Nothing => UnknownClients::Challenged,
        };
        Some(AuthSettings { authenticator, key, unknown_clients })
    }

    /// Converts the known clients of a file for the engine.
    #[must_use]
    pub fn known_clients(&self, clients: &[ClientEntry]) -> Vec<KnownClient> {
        let known = |entry: &ClientEntry| {
            let (name, limits) = (entry.name.as_str().into(), self.client_limits(entry));
            // Entries with a malformed hash were refused when the file was parsed.
            entry.secret().ok().map(|secret| KnownClient { name, secret, limits })
        };
        clients.iter().filter_map(known).collect()
    }
}
