//! Before a call reaches the controller: who its client is, and whether its set-up's turn has come. Both are decided
//! elsewhere (`fawnrouter_digest`, `fawnrouter_admission`); here are the messages and timers that follow.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

use fawnrouter::{CallId, Event, NewCall};
use fawnrouter_admission::{ClientLimits, SetUpSettings, SetUps, Stay, Turn, Who};
use fawnrouter_digest::{Checked, Guard, GuardSettings, Proof, Request, Secret};
use fawnrouter_sip::{Message, Method, Name};

use crate::engine::Engine;
use crate::interface::{ClientId, Output};
use crate::status::{Answer, whole_seconds};
use crate::table::Key;

/// What clients may do that have not shown who they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strangers {
    /// They may call, within their limits.
    Allowed,
    /// They are asked who they are.
    Asked,
}

/// How clients show who they are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthSettings {
    /// Realm, algorithms, nonces.
    pub guard: GuardSettings,
    /// Secret, and fresh at each start: keys the nonces.
    pub key: [u8; 32],
    /// Who need not.
    pub strangers: Strangers,
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
    pub proof: Proof,
}

impl Identity {
    pub fn new(origin: IpAddr, must_prove: bool) -> Self {
        Self { origin, known: None, must_prove, proof: Proof::default() }
    }

    fn who(&self) -> Who {
        match &self.known {
            Some(name) => Who::Known(name.clone()),
            None => Who::Stranger(self.origin),
        }
    }
}

/// The decisions that stand before the controller; each may be off.
#[derive(Debug)]
pub(crate) struct Gate {
    guard: Option<(Guard, Strangers)>,
    set_ups: Option<SetUps>,
}

impl Gate {
    pub fn new(auth: Option<AuthSettings>, set_ups: Option<SetUpSettings>) -> Self {
        let guard = auth.map(|a| (Guard::new(a.guard, a.key), a.strangers));
        Self { guard, set_ups: set_ups.map(SetUps::new) }
    }
}

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
                identity.known.is_some() || (strangers == Strangers::Allowed && !identity.must_prove);
            if lets_in {
                return Passage::Go(None);
            }
        }
        let asked = Request { method: request.method_text(), uri };
        let checked = guard.check(now, client.0, &mut identity.proof, asked, fields);
        match checked {
            Checked::Known { client: name, info } => {
                // A connection is one client's. It guards against a client that lends its connection to another and
                // so goes past the other's limits.
                if identity.known.as_ref().is_some_and(|known| *known != name) {
                    self.respond(client, request, 403, Some("Another client's connection"), &[]);
                    return Passage::Answered;
                }
                if identity.known.is_none() {
                    identity.known = Some(name.clone());
                    identity.must_prove = false;
                    self.counters.proofs += 1;
                    self.out.push(Output::Known { client, name });
                }
                Passage::Go(Some(info))
            }
            Checked::Ask { stale, .. } => {
                self.counters.challenged += 1;
                let challenge = guard.challenge(now, client.0, stale);
                let extra: Vec<_> = challenge.iter().map(|c| (Name::WwwAuthenticate, c.as_str())).collect();
                self.respond(client, request, 401, None, &extra);
                Passage::Answered
            }
            Checked::Refuse => {
                self.counters.impostors += 1;
                self.respond(client, request, 403, None, &[]);
                self.out.push(Output::CloseClient { client, reason: "too many wrong answers" });
                Passage::Answered
            }
        }
    }

    /// Whether a new set-up may go on, wait, or not.
    pub(crate) fn judge_set_up(&mut self, client: ClientId, id: CallId) -> Turn {
        let (Some(set_ups), Some(known)) = (&mut self.gate.set_ups, self.table.clients.get(&client)) else {
            return Turn::Go;
        };
        let (turn, pushed) = set_ups.offer(self.now.0, known.identity.who(), id.0);
        if let Some((other, turn)) = pushed {
            self.turn_away(CallId(other), turn);
        }
        turn
    }

    /// The final answer of a call that waited in vain.
    fn turn_away(&mut self, id: CallId, turn: Turn) {
        if let Turn::Refuse { why, retry_after } = turn {
            self.counters.refused += 1;
            let retry_after_s = Some(whole_seconds(retry_after).max(1));
            self.answer_final(id, Answer { status: 503, retry_after_s, text: why.text() });
        }
    }

    /// A call that may wait has waited for as long as it may; `false` if it does not wait.
    pub(crate) fn waited(&mut self, id: CallId) -> bool {
        let now = self.now.0;
        let turn = self.gate.set_ups.as_mut().and_then(|s| s.waited(now, id.0));
        match turn {
            Some(turn) => {
                self.turn_away(id, turn);
                true
            }
            None => false,
        }
    }

    /// Hands a call to the controller.
    pub(crate) fn hand_over(&mut self, mut call: NewCall) {
        let Some(known) = self.table.calls.get(&call.id) else { return };
        let due = known.due;
        call.left = due.since(self.now);
        self.table.due.set(Key::Call(call.id), due);
        self.events.push_back(Event::Call(call));
    }

    /// Hands over the calls whose turn has come.
    pub(crate) fn give_turns(&mut self) {
        let now = self.now.0;
        while let Some(id) = self.gate.set_ups.as_mut().and_then(|s| s.next(now)) {
            let waiting = self.table.calls.get_mut(&CallId(id)).and_then(|c| c.waits.take());
            if let Some(call) = waiting {
                self.hand_over(call);
                self.run();
            }
        }
    }

    /// Tells the gate where a call is.
    pub(crate) fn stays(&mut self, id: CallId, stay: Stay) {
        let now = self.now.0;
        if let Some(set_ups) = &mut self.gate.set_ups {
            set_ups.moved(now, id.0, stay);
        }
    }

    /// Tells the gate that a call is over.
    pub(crate) fn leaves(&mut self, id: CallId) {
        let now = self.now.0;
        if let Some(set_ups) = &mut self.gate.set_ups {
            set_ups.over(now, id.0);
        }
    }

    /// The decisions on set-ups, for operators, if they are on.
    #[must_use]
    pub fn set_ups(&self) -> Option<&SetUps> {
        self.gate.set_ups.as_ref()
    }

    /// Whose connection it is, once it has shown that.
    #[must_use]
    pub fn known_as(&self, client: ClientId) -> Option<&Arc<str>> {
        self.table.clients.get(&client).and_then(|c| c.identity.known.as_ref())
    }
}
