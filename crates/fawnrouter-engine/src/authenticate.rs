//! Authentication of clients before their requests are served: `fawnrouter_digest` checks the credentials,
//! and this module sends the responses.

use std::collections::BTreeMap;
use std::sync::Arc;

use fawnrouter_digest::{AuthOutcome, Request};
use fawnrouter_sip::{Message, Method, Name};

use crate::engine::Engine;
use crate::identity::{KnownClient, UnknownClients};
use crate::interface::{ClientId, Output};

/// Result of the authentication of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AuthCheck {
    /// The request is served. If it carried valid credentials, the value of Authentication-Info is given.
    Proceed(Option<String>),
    /// The request has been answered (challenged or refused).
    Answered,
}

impl Engine {
    /// Replaces the known clients. A connection whose client's secret has changed or was removed has to
    /// authenticate again before its next set-up; its calls go on.
    pub(crate) fn set_clients(&mut self, clients: Vec<KnownClient>) {
        if let Some(set_ups) = &mut self.gate.set_ups {
            set_ups.set_clients(clients.iter().map(|c| (c.name.clone(), c.limits)));
        }
        let Some((authenticator, _)) = &mut self.gate.authenticator else { return };
        let secrets: BTreeMap<_, _> = clients.into_iter().map(|c| (c.name, c.secret)).collect();
        let changed = authenticator.set_secrets(secrets);
        for identity in self.table.clients.values_mut().map(|c| &mut c.identity) {
            if identity.client_name.as_ref().is_some_and(|name| changed.contains(name)) {
                identity.client_name = None;
                identity.must_authenticate = true;
            }
        }
    }

    /// Authenticates a request before anything is done for it. ACK and CANCEL cannot be challenged (RFC 3261
    /// §22.1), and a BYE belongs to a call that was accepted before.
    pub(crate) fn authenticate(&mut self, client: ClientId, request: &Message, uri: &str) -> AuthCheck {
        let Some((authenticator, unknown_clients)) = &self.gate.authenticator else {
            return AuthCheck::Proceed(None);
        };
        let method = request.method().unwrap_or(Method::Other);
        if matches!(method, Method::Ack | Method::Cancel | Method::Bye) {
            return AuthCheck::Proceed(None);
        }
        let Some(identity) = self.table.clients.get_mut(&client).map(|c| &mut c.identity) else {
            return AuthCheck::Answered;
        };
        let mut fields = request.whole_values(Name::Authorization).peekable();
        let has_credentials = fields.peek().is_some();
        let (now, unknown_clients) = (self.now.0, *unknown_clients);
        if !has_credentials {
            let allowed = identity.client_name.is_some()
                || (unknown_clients == UnknownClients::Allowed && !identity.must_authenticate);
            if allowed {
                return AuthCheck::Proceed(None);
            }
        }
        let signed = Request { method: request.method_name(), uri };
        let checked = authenticator.check(now, client.0, &mut identity.auth_state, signed, fields);
        match checked {
            AuthOutcome::Known { client: name, info } => {
                // A connection belongs to one client: otherwise a client could lend its connection to another
                // client and so evade the other's limits.
                if identity.client_name.as_ref().is_some_and(|known| *known != name) {
                    self.respond(client, request, 403, Some("Another client's connection"), &[]);
                    return AuthCheck::Answered;
                }
                if identity.client_name.is_none() {
                    identity.client_name = Some(name.clone());
                    identity.must_authenticate = false;
                    self.counters.authenticated += 1;
                    self.outputs.push(Output::ClientIdentified { client, name });
                }
                AuthCheck::Proceed(Some(info))
            }
            AuthOutcome::Challenge { stale, .. } => {
                self.counters.challenged += 1;
                let challenge = authenticator.challenge(now, client.0, stale);
                let extra: Vec<_> = challenge.iter().map(|c| (Name::WwwAuthenticate, c.as_str())).collect();
                self.respond(client, request, 401, None, &extra);
                AuthCheck::Answered
            }
            AuthOutcome::Refuse => {
                self.counters.auth_failures += 1;
                self.respond(client, request, 403, None, &[]);
                self.outputs.push(Output::CloseClient { client, reason: "too many wrong answers" });
                AuthCheck::Answered
            }
        }
    }

    /// The name of the client of a connection, once it has authenticated.
    #[must_use]
    pub fn client_name(&self, client: ClientId) -> Option<&Arc<str>> {
        self.table.clients.get(&client).and_then(|c| c.identity.client_name.as_ref())
    }
}
