//! Who a client is: how clients show it, what known ones may do, and what a connection has shown of itself.

use std::net::IpAddr;
use std::sync::Arc;

use fawnrouter_admission::{ClientIdentity, ClientLimits};
use fawnrouter_digest::{AuthState, AuthenticatorSettings, Secret};

/// What clients may do that have not shown who they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownClients {
    /// They may call, within their limits.
    Allowed,
    /// They are asked who they are.
    Challenged,
}

/// How clients show who they are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthSettings {
    /// Realm, algorithms, nonces.
    pub guard: AuthenticatorSettings,
    /// Secret, and fresh at each start: keys the nonces.
    pub key: [u8; 32],
    /// Who need not.
    pub unknown_clients: UnknownClients,
}

/// A known client.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownClient {
    /// Its name.
    pub name: Arc<str>,
    /// Its secret, hashed.
    pub secret: Secret,
    /// What it may do.
    pub limits: ClientLimits,
}

/// What a connection has shown of itself.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// Where it comes from; behind a trusted forwarder, what that said.
    pub origin: IpAddr,
    pub known: Option<Arc<str>>,
    /// It gets nothing before it has shown who it is.
    pub must_prove: bool,
    pub proof: AuthState,
}

impl Identity {
    pub fn new(origin: IpAddr, must_prove: bool) -> Self {
        Self { origin, known: None, must_prove, proof: AuthState::default() }
    }

    pub(crate) fn who(&self) -> ClientIdentity {
        match &self.known {
            Some(name) => ClientIdentity::Known(name.clone()),
            None => ClientIdentity::Unknown(self.origin),
        }
    }
}
