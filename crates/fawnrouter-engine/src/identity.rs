//! Identity of clients: how they authenticate, the limits of known clients, and what is known of each
//! connection.

use std::net::IpAddr;
use std::sync::Arc;

use fawnrouter_admission::{ClientIdentity, ClientLimits};
use fawnrouter_digest::{AuthState, AuthenticatorSettings, Secret};

/// What clients may do that have not authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownClients {
    /// They may call, within the limits for unknown clients.
    Allowed,
    /// They are challenged (401).
    Challenged,
}

/// How clients authenticate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthSettings {
    /// Realm, algorithms, nonces.
    pub authenticator: AuthenticatorSettings,
    /// Secret key of the nonces, new at each start.
    pub key: [u8; 32],
    /// Whether clients may call without authentication.
    pub unknown_clients: UnknownClients,
}

/// A known client.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownClient {
    /// The client's name.
    pub name: Arc<str>,
    /// The client's secret, hashed.
    pub secret: Secret,
    /// The client's limits.
    pub limits: ClientLimits,
}

/// What is known of the client of a connection.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// The client's address; behind a trusted forwarder, the address that the forwarder stated.
    pub origin: IpAddr,
    /// The name of the client, once it has authenticated.
    pub client_name: Option<Arc<str>>,
    /// No request is served before the client has authenticated.
    pub must_authenticate: bool,
    pub auth_state: AuthState,
}

impl Identity {
    pub fn new(origin: IpAddr, must_authenticate: bool) -> Self {
        Self { origin, client_name: None, must_authenticate, auth_state: AuthState::default() }
    }

    /// The identity by which the admission of set-ups distinguishes clients: the name, or else the address.
    pub(crate) fn client_identity(&self) -> ClientIdentity {
        match &self.client_name {
            Some(name) => ClientIdentity::Known(name.clone()),
            None => ClientIdentity::Unknown(self.origin),
        }
    }
}
