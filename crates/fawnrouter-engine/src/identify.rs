//! Before a request is worked on: who its client is. Decided in `fawnrouter_digest`; here are the messages that follow.

use std::collections::BTreeMap;
use std::sync::Arc;

use fawnrouter_digest::{AuthOutcome, Request};
use fawnrouter_sip::{Message, Method, Name};

use crate::engine::Engine;
use crate::identity::{KnownClient, UnknownClients};
use crate::interface::{ClientId, Output};

/// What comes of looking at who sent a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Passage {
    /// It is worked on; a proof has its Authentication-Info.
    Go(Option<String>),
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
            if identity.known.as_ref().is_some_and(|name| changed.contains(name)) {
                identity.known = None;
                identity.must_prove = true;
            }
        }
    }

    /// Looks at who sent a request, before anything is done for it. ACK and CANCEL cannot be challenged (RFC 3261
    /// §22.1), and a BYE belongs to a call that was let in.
    pub(crate) fn identify(&mut self, client: ClientId, request: &Message, uri: &str) -> Passage {
        let Some((guard, strangers)) = &self.gate.guard else { return Passage::Go(None) };
        let method = request.method().unwrap_or(Method::Other);
        if matches!(method, Method::Ack | Method::Cancel | Method::Bye) {
            return Passage::Go(None);
        }
        let Some(identity) = self.table.clients.get_mut(&client).map(|c| &mut c.identity) else {
            return Passage::Answered;
        };
        let mut fields = request.values_whole(Name::Authorization).peekable();
        let says_something = fields.peek().is_some();
        let (now, strangers) = (self.now.0, *strangers);
        if !says_something {
            let lets_in =
                identity.known.is_some() || (strangers == UnknownClients::Allowed && !identity.must_prove);
            if lets_in {
                return Passage::Go(None);
            }
        }
        let asked = Request { method: request.method_text(), uri };
        let checked = guard.check(now, client.0, &mut identity.proof, asked, fields);
        match checked {
            AuthOutcome::Known { client: name, info } => {
                // A connection is one client's. It guards against a client that lends its connection to another and
                // so goes past the other's limits.
                if identity.known.as_ref().is_some_and(|known| *known != name) {
                    self.respond(client, request, 403, Some("Another client's connection"), &[]);
                    return Passage::Answered;
                }
                if identity.known.is_none() {
                    identity.known = Some(name.clone());
                    identity.must_prove = false;
                    self.counters.authenticated += 1;
                    self.out.push(Output::ClientIdentified { client, name });
                }
                Passage::Go(Some(info))
            }
            AuthOutcome::Challenge { stale, .. } => {
                self.counters.challenged += 1;
                let challenge = guard.challenge(now, client.0, stale);
                let extra: Vec<_> = challenge.iter().map(|c| (Name::WwwAuthenticate, c.as_str())).collect();
                self.respond(client, request, 401, None, &extra);
                Passage::Answered
            }
            AuthOutcome::Refuse => {
                self.counters.auth_failures += 1;
                self.respond(client, request, 403, None, &[]);
                self.out.push(Output::CloseClient { client, reason: "too many wrong answers" });
                Passage::Answered
            }
        }
    }

    /// Whose connection it is, once it has shown that.
    #[must_use]
    pub fn client_name(&self, client: ClientId) -> Option<&Arc<str>> {
        self.table.clients.get(&client).and_then(|c| c.identity.known.as_ref())
    }
}
