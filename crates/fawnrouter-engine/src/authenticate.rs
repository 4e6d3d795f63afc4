//! Before a request is worked on: who its client is. Decided in `fawnrouter_digest`; here are the messages that follow.

use std::collections::BTreeMap;
use std::sync::Arc;

use fawnrouter_digest::{Checked, Request};
use fawnrouter_sip::{Message, Method, Name};

use crate::engine::Engine;
use crate::identity::{KnownClient, UnknownClients};
use crate::interface::{ClientId, Output};

/// What comes of looking at who sent a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AuthCheck {
    /// It is worked on; a proof has its Authentication-Info.
    Proceed(Option<String>),
    /// It has its answer.
    Answered,
}

impl Engine {
    /// The clients that are known from now on. A connection whose client's secret has changed or is gone has to show
    /// again who it is before its next set-up; its calls go on.
    pub(crate) fn set_clients(&mut self, clients: Vec<KnownClient>) {
        if let Some(set_ups) = &mut self.gate.set_ups {
            set_ups.set_clients(clients.iter().map(|c| (c.name.clone(), c.limits)));
        }
        let Some((guard, _)) = &mut self.gate.guard else { return };
        let secrets: BTreeMap<_, _> = clients.into_iter().map(|c| (c.name, c.secret)).collect();
        let changed = guard.set_secrets(secrets);
        for identity in self.table.clients.values_mut().map(|c| &mut c.identity) {
            if identity.client_name.as_ref().is_some_and(|name| changed.contains(name)) {
                identity.client_name = None;
                identity.must_authenticate = true;
            }
        }
    }

    /// Looks at who sent a request, before anything is done for it. ACK and CANCEL cannot be challenged (RFC 3261
    /// §22.1), and a BYE belongs to a call that was let in.
    pub(crate) fn authenticate(&mut self, client: ClientId, request: &Message, uri: &str) -> AuthCheck {
        let Some((guard, strangers)) = &self.gate.guard else { return AuthCheck::Proceed(None) };
        let method = request.method().unwrap_or(Method::Other);
        if matches!(method, Method::Ack | Method::Cancel | Method::Bye) {
            return AuthCheck::Proceed(None);
        }
        let Some(identity) = self.table.clients.get_mut(&client).map(|c| &mut c.identity) else {
            return AuthCheck::Answered;
        };
        let mut fields = request.values_whole(Name::Authorization).peekable();
        let says_something = fields.peek().is_some();
        let (now, strangers) = (self.now.0, *strangers);
        if !says_something {
            let lets_in = identity.client_name.is_some()
                || (strangers == UnknownClients::Allowed && !identity.must_authenticate);
            if lets_in {
                return AuthCheck::Proceed(None);
            }
        }
        let asked = Request { method: request.method_text(), uri };
        let checked = guard.check(now, client.0, &mut identity.proof, asked, fields);
        match checked {
            Checked::Known { client: name, info } => {
                // A connection is one client's. It guards against a client that lends its connection to another and
                // so goes past the other's limits.
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
            Checked::Ask { stale, .. } => {
                self.counters.challenged += 1;
                let challenge = guard.challenge(now, client.0, stale);
                let extra: Vec<_> = challenge.iter().map(|c| (Name::WwwAuthenticate, c.as_str())).collect();
                self.respond(client, request, 401, None, &extra);
                AuthCheck::Answered
            }
            Checked::Refuse => {
                self.counters.auth_failures += 1;
                self.respond(client, request, 403, None, &[]);
                self.outputs.push(Output::CloseClient { client, reason: "too many wrong answers" });
                AuthCheck::Answered
            }
        }
    }

    /// Whose connection it is, once it has shown that.
    #[must_use]
    pub fn client_name(&self, client: ClientId) -> Option<&Arc<str>> {
        self.table.clients.get(&client).and_then(|c| c.identity.client_name.as_ref())
    }
}
