//! Known clients: how they show who they are, and the file that lists them.

use std::collections::BTreeSet;
use std::path::PathBuf;

use fawnrouter_engine::digest::{Algorithm, AuthenticatorSettings, Ha1, Secret};
use fawnrouter_engine::{AuthSettings, KnownClient, UnknownClients};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{Settings, ms};
use crate::document::{ConfigError, Document, FieldError};

/// How clients show who they are (RFC 8760).
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// A YAML file that lists them; see the operators' page for its form. Relative paths count from the settings'
    /// folder. It is looked at as often as the list of switches.
    pub file: PathBuf,
    /// The realm, which is part of each hash.
    #[schemars(length(min = 1, max = 255))]
    pub realm: String,
    /// What others may do.
    #[serde(default)]
    pub strangers: UnknownClientPolicy,
    /// Takes MD5 too, from clients that have such a hash.
    #[serde(default)]
    pub md5: bool,
    /// How long a nonce is good for.
    #[serde(default = "nonce_life_ms")]
    #[schemars(range(min = 1000, max = 86_400_000))]
    pub nonce_life_ms: u64,
    /// Wrong answers of one connection before it is closed.
    #[serde(default = "attempts")]
    #[schemars(range(min = 1, max = 100))]
    pub attempts: u32,
    /// With `admission`: where strangers have no place left, a connection has this long to show who it is.
    #[serde(default = "prove_ms")]
    #[schemars(range(min = 100, max = 60_000))]
    pub prove_ms: u64,
}

/// What clients may do that have not shown who they are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "StrangersMay")]
pub enum UnknownClientPolicy {
    /// They may call, within their limits.
    #[default]
    Call,
    /// Nothing: each is asked who it is (401).
    Nothing,
}

fn nonce_life_ms() -> u64 {
    300_000
}

fn attempts() -> u32 {
    5
}

fn prove_ms() -> u64 {
    3000
}

/// Where operators' commands reach the running gateway.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// The path of a local socket that it makes, for its own user only. Relative paths count from the settings' folder.
    pub socket: PathBuf,
}

/// The file that lists the known clients.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClientFile {
    /// The clients.
    #[schemars(length(max = 100_000))]
    pub clients: Vec<ClientEntry>,
}

/// A known client.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClientEntry {
    /// Its name, as it gives it in its credentials.
    #[schemars(length(min = 1, max = 128))]
    pub name: String,
    /// SHA-256 of name:realm:password, 64 hex digits; `fawnrouter secret` makes it.
    pub sha256: String,
    /// MD5 of the same, 32 hex digits, for a client that can do no better.
    #[serde(default)]
    pub md5: Option<String>,
    /// Connections.
    #[serde(default)]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub connections: Option<usize>,
    /// Set-ups in one turn, against other clients.
    #[serde(default)]
    #[schemars(range(min = 1, max = 1000))]
    pub weight: Option<u32>,
    /// Set-ups a second.
    #[serde(default)]
    #[schemars(range(min = 0.001, max = 1e6))]
    pub rate_per_s: Option<f64>,
    /// Set-ups at once.
    #[serde(default)]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub burst: Option<u32>,
    /// Calls without a final answer.
    #[serde(default)]
    #[schemars(range(min = 1, max = 10_000_000))]
    pub pending: Option<usize>,
    /// Calls in all.
    #[serde(default)]
    #[schemars(range(min = 1, max = 10_000_000))]
    pub calls: Option<usize>,
}

impl ClientEntry {
    fn secret(&self) -> Result<Secret, FieldError> {
        let read = |algorithm, field: &str, text: &str| {
            let remedy = |e| FieldError::new(field, format!("{e}; make it with `fawnrouter secret`"));
            Ha1::parse(algorithm, text).map_err(remedy)
        };
        let md5 = self.md5.as_deref().map(|text| read(Algorithm::Md5, "md5", text)).transpose()?;
        Ok(Secret { sha256: read(Algorithm::Sha256, "sha256", &self.sha256)?, md5 })
    }
}

/// Reads the file of known clients. Its secrets show in no error.
///
/// # Errors
/// All faults found, each with its line, field and remedy.
pub fn read_clients(name: &str, text: &str) -> Result<Vec<ClientEntry>, ConfigError> {
    let document = Document::parse(name, text)?;
    let file: ClientFile = document.deserialize()?;
    let mut faults = Vec::new();
    let mut seen = BTreeSet::new();
    for (n, client) in file.clients.iter().enumerate() {
        if !seen.insert(client.name.as_str()) {
            let text = format!("{} stands twice; remove one", client.name);
            faults.push(FieldError::new(format!("/clients/{n}/name"), text));
        }
        if let Err(fault) = client.secret() {
            faults.push(FieldError::new(format!("/clients/{n}/{}", fault.pointer), fault.message));
        }
    }
    if faults.is_empty() { Ok(file.clients) } else { Err(document.locate_errors(faults)) }
}

impl Clients {
    /// What the schema can't see.
    pub(super) fn faults(&self, faults: &mut Vec<FieldError>) {
        if self.realm.chars().any(char::is_control) {
            let text = "holds a control character; write a name such as calls.example";
            faults.push(FieldError::new("/clients/realm", text));
        }
    }
}

impl Settings {
    /// How clients show who they are, if they do; `key` is to be secret and fresh at each start.
    #[must_use]
    pub fn auth_settings(&self, key: [u8; 32]) -> Option<AuthSettings> {
        let clients = self.clients.as_ref()?;
        let guard = AuthenticatorSettings {
            realm: clients.realm.clone(),
            md5: clients.md5,
            nonce_lifetime: ms(clients.nonce_life_ms),
            max_failures: clients.attempts,
        };
        let strangers = match clients.strangers {
            UnknownClientPolicy::Call => UnknownClients::Allowed,
            UnknownClientPolicy::Nothing => UnknownClients::Challenged,
        };
        Some(AuthSettings { guard, key, unknown_clients: strangers })
    }

    /// The known clients of a file as the engine takes them.
    #[must_use]
    pub fn known_clients(&self, clients: &[ClientEntry]) -> Vec<KnownClient> {
        let known = |line: &ClientEntry| {
            let (name, limits) = (line.name.as_str().into(), self.client_limits(line));
            // A line with a hash that is none was refused when the file was read.
            line.secret().ok().map(|secret| KnownClient { name, secret, limits })
        };
        clients.iter().filter_map(known).collect()
    }
}
