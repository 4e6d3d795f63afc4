//! The caller's leg: requests that come in over a client's connection, and answers to them.

use std::time::Duration;

use fawnrouter::{CallId, NewCall, Outcome};
use fawnrouter_admission::{CallState, SetUpAdmission, SetUpDecision};
use fawnrouter_sip::transaction::{ACK_WAIT, InviteServer, ServerStep};
use fawnrouter_sip::{Address, Dialog, Draft, Message, Method, Name, Start, Uri, UriError};
use rand_core::RngCore;

use crate::due::{Key, LegId};
use crate::engine::Engine;
use crate::identify::Passage;
use crate::intake::IntakeLoad;
use crate::interface::{CallEvent, ClientId, Output};
use crate::status::{FinalAnswer, retry_after_seconds};
use crate::table::{Call, Stage};

/// Methods that the gateway takes (RFC 3261 §20.5).
pub(crate) const ALLOW: &str = "INVITE, ACK, CANCEL, BYE, OPTIONS";

/// Extra fields of a response.
type Extra<'a> = &'a [(Name, &'a str)];

impl Engine {
    pub(crate) fn on_client_message(&mut self, client: ClientId, message: Box<Message>) {
        if !self.table.clients.contains_key(&client) {
            return;
        }
        // Responses of clients answer the gateway's BYE: nothing follows from them.
        let Start::Request { method, uri, .. } = message.start() else { return };
        if let Err(invalid) = message.validate() {
            // An ACK is never answered (RFC 3261 §17).
            if method != Method::Ack {
                self.counters.invalid += 1;
                let phrase = match invalid.status {
                    400 => Some(format!("Bad {}", invalid.what)),
                    _ => None,
                };
                self.respond(client, &message, invalid.status, phrase.as_deref(), &[]);
            }
            return;
        }
        let info = match self.identify(client, &message, uri) {
            Passage::Answered => return,
            Passage::Go(info) => info,
        };
        match method {
            Method::Ack => self.on_ack(client, &message),
            Method::Cancel => self.on_cancel(client, &message),
            Method::Bye => self.on_caller_bye(client, &message),
            Method::Invite if to_tag(&message).is_some() => self.on_reinvite(client, &message),
            Method::Invite => self.on_invite(client, message),
            Method::Options => match check_request(&message, uri) {
                Err((status, extra)) => self.respond(client, &message, status, None, &extra_of(&extra)),
                Ok(_) => {
                    let status = if self.intake.draining() { 503 } else { 200 };
                    let mut extra =
                        vec![(Name::Accept, "application/sdp"), (Name::Allow, ALLOW), (Name::Supported, "")];
                    extra.extend(info.as_deref().map(|info| (Name::AuthenticationInfo, info)));
                    self.respond(client, &message, status, None, &extra);
                }
            },
            Method::Register | Method::Other => {
                self.counters.invalid += 1;
                self.respond(client, &message, 405, None, &[(Name::Allow, ALLOW)]);
            }
        }
    }

    /// Answers a request out of any call.
    pub(crate) fn respond(
        &mut self,
        client: ClientId,
        request: &Message,
        status: u16,
        phrase: Option<&str>,
        extra: Extra,
    ) {
        let Some(known) = self.table.clients.get(&client) else { return };
        let tag = format!("{:08x}", self.rng.next_u32());
        let peer = Some((known.host.as_str(), known.peer.port()));
        let mut draft = Draft::answer(request, status, phrase, &tag, peer);
        for (name, value) in extra {
            draft.field(*name, value);
        }
        let bytes = draft.finish(b"");
        self.out.push(Output::ToClient { client, bytes });
    }

    /// The answer to an INVITE of which no call is made.
    fn not_taken(&mut self, client: ClientId, invite: &Message, why: &str, wait: Duration) {
        self.counters.rejected += 1;
        let wait = retry_after_seconds(wait).max(1).to_string();
        let reason = format!("SIP;cause=503;text=\"{why}\"");
        let extra = [(Name::RetryAfter, wait.as_str()), (Name::Reason, reason.as_str())];
        self.respond(client, invite, 503, None, &extra);
    }

    fn on_invite(&mut self, client: ClientId, invite: Box<Message>) {
        let branch = invite.via().ok().and_then(|v| v.branch()).unwrap_or("").to_owned();
        // A repeat of a known INVITE: its answer is out or will come (§17.2.1).
        if self.table.by_branch.contains_key(&(client, branch.clone())) {
            return;
        }
        let Start::Request { uri: target, .. } = invite.start() else { return };
        let uri = match check_request(&invite, target) {
            Ok(uri) => uri,
            Err((status, extra)) => {
                self.counters.invalid += 1;
                return self.respond(client, &invite, status, None, &extra_of(&extra));
            }
        };
        if branch.is_empty() || invite.values(Name::Contact).next().is_none() {
            self.counters.invalid += 1;
            let what = if branch.is_empty() { "Bad Via Branch" } else { "Bad Contact" };
            return self.respond(client, &invite, 400, Some(what), &[]);
        }
        let of_client = self.table.clients.get(&client).map_or(0, |c| c.calls.len());
        let load = IntakeLoad { calls: self.table.live(), pending: self.pending, client_calls: of_client };
        if let Err((refusal, wait)) = self.intake.check(load) {
            return self.not_taken(client, &invite, refusal.text(), wait);
        }
        let seen = self.settings.rules.classify(&invite, &uri);
        let class = seen.class.and_then(|c| self.settings.controller.classes.get(c.0));
        let limit = class.map_or(self.settings.max_expires, |c| c.deadline).min(self.settings.max_expires);
        // `Expires` is the try's time left (RFC 3261 §13.2.1): whole seconds from when the INVITE came in.
        let told = invite.get(Name::Expires).and_then(|x| x.trim().parse().ok()).map(Duration::from_secs);
        let left = told.unwrap_or(limit).min(self.settings.max_expires);
        let class_name = class.map(|c| c.name.clone()).unwrap_or_default();
        let id = self.new_call_id();
        let turn = self.judge_set_up(client, id);
        if let SetUpDecision::Refuse { reason, retry_after } = turn {
            return self.not_taken(client, &invite, reason.text(), retry_after);
        }
        let session = session_of(&invite)
            .unwrap_or_else(|| format!("{:016x}{:016x}", self.rng.next_u64(), self.rng.next_u64()));
        let call_id = invite.get(Name::CallId).unwrap_or("").into();
        let call = Call {
            client,
            branch: branch.clone(),
            call_id,
            tag: self.rng.next_u32(),
            session,
            server: InviteServer::default(),
            stage: Stage::Routing,
            began: self.now,
            due: self.now.plus(left),
            waits: None,
            out: None,
            attempts: 0,
            last: None,
            invite: Some(invite),
        };
        let words = (call.call_id.clone(), class_name, seen.number.clone());
        self.table.calls.insert(id, call);
        self.table.by_branch.insert((client, branch), id);
        if let Some(known) = self.table.clients.get_mut(&client) {
            known.calls.insert(id);
        }
        self.pending += 1;
        self.counters.accepted += 1;
        self.word(id, || CallEvent::Accepted {
            call_id: words.0,
            class: words.1.into(),
            number: words.2.into(),
        });
        self.provisional(id, 100, None);
        let new = NewCall {
            id,
            class: seen.class,
            time_left: left,
            number: seen.number.into(),
            width: 1.0,
            tenant: seen.tenant,
            redialled: false,
            transit: false,
            destination: seen.destination,
        };
        if turn == SetUpDecision::Wait {
            let wait = self.set_up_admission().map_or(left, SetUpAdmission::max_wait).min(left);
            self.table.due.set(Key::Call(id), self.now.plus(wait));
            if let Some(call) = self.table.calls.get_mut(&id) {
                call.waits = Some(new);
            }
            return;
        }
        self.hand_over(new);
    }

    /// The tag of answers to the caller: one for each attempt, as each has a session of its own (§12.1).
    fn caller_tag(call: &Call, id: CallId, attempt: Option<u32>) -> String {
        match attempt {
            Some(n) => format!("{:08x}.{:x}.{n}", call.tag, id.0),
            None => format!("{:08x}.{:x}", call.tag, id.0),
        }
    }

    /// The call whose tag this is.
    fn call_of_tag(&self, tag: &str) -> Option<CallId> {
        let mut parts = tag.split('.');
        let random = u32::from_str_radix(parts.next()?, 16).ok()?;
        let id = CallId(u64::from_str_radix(parts.next()?, 16).ok()?);
        self.table.calls.get(&id).filter(|c| c.tag == random).map(|_| id)
    }

    /// Starts an answer to a call's INVITE, if its transaction lets it out.
    fn begin_answer(&mut self, id: CallId, status: u16, attempt: Option<u32>) -> Option<(ClientId, Draft)> {
        let host = self.settings.host.clone();
        let call = self.table.calls.get_mut(&id)?;
        let client = self.table.clients.get(&call.client)?;
        if !call.server.respond(status) {
            return None;
        }
        let tag = Self::caller_tag(call, id, attempt);
        let peer = Some((client.host.as_str(), client.peer.port()));
        let mut draft = Draft::answer(call.invite.as_deref()?, status, None, &tag, peer);
        if status > 100 {
            draft.named("Session-ID", &format!("{};remote={:032}", call.session, 0));
            draft.field(Name::Allow, ALLOW);
        }
        if (101..300).contains(&status) {
            draft.field(Name::Contact, &format!("<sip:gateway@{host};transport=ws>"));
            // The caller builds its route set from what it put there itself (§12.1.1).
            draft.copy(call.invite.as_deref()?, Name::RecordRoute);
        }
        Some((call.client, draft))
    }

    /// Passes progress on to the caller; `from` is the switch's response with its attempt.
    pub(crate) fn provisional(&mut self, id: CallId, status: u16, from: Option<(&Message, u32)>) {
        if let Some((client, mut draft)) = self.begin_answer(id, status, from.map(|f| f.1)) {
            let bytes = match from {
                Some((response, _)) => draft.finish_with_body_of(response),
                None => draft.finish(b""),
            };
            self.out.push(Output::ToClient { client, bytes });
        }
    }

    /// The final answer of a call that does not stand. The call is kept only to know its ACK.
    pub(crate) fn answer_final(&mut self, id: CallId, answer: FinalAnswer) {
        let Some(call) = self.table.calls.get(&id).filter(|c| matches!(c.stage, Stage::Routing)) else {
            return;
        };
        let after = self.now.since(call.began);
        if let Some((client, mut draft)) = self.begin_answer(id, answer.status, None) {
            if let Some(seconds) = answer.retry_after_s {
                draft.field(Name::RetryAfter, &seconds.to_string());
            }
            draft.field(Name::Reason, &format!("SIP;cause={};text=\"{}\"", answer.status, answer.text));
            let bytes = draft.finish(b"");
            self.out.push(Output::ToClient { client, bytes });
        }
        self.word(id, || CallEvent::Answered { status: answer.status, after });
        self.set_up_over(id);
        self.pending -= 1;
        self.table.due.set(Key::Call(id), self.now.plus(ACK_WAIT));
        self.table.retire(id, self.settings.intake.calls);
    }

    /// A switch took the call: 200 to the caller, with the switch's body.
    pub(crate) fn stand(&mut self, id: CallId, leg: LegId, response: &Message, attempt: u32) -> bool {
        let Some(call) = self.table.calls.get(&id).filter(|c| matches!(c.stage, Stage::Routing)) else {
            return false;
        };
        let after = self.now.since(call.began);
        let tag = Self::caller_tag(call, id, Some(attempt));
        let dialog = call.invite.as_deref().and_then(|invite| Dialog::callee(invite, &tag).ok());
        let Some(dialog) = dialog else { return false };
        let Some((client, mut draft)) = self.begin_answer(id, 200, Some(attempt)) else { return false };
        let bytes = draft.finish_with_body_of(response);
        self.out.push(Output::ToClient { client, bytes });
        let since = self.now;
        if let Some(call) = self.table.calls.get_mut(&id) {
            call.stage = Stage::Standing { leg, dialog: Box::new(dialog), acked: false, since };
            call.out = None;
            call.invite = None;
        }
        self.set_up_moved(id, CallState::Established);
        self.pending -= 1;
        self.counters.established += 1;
        self.table.due.set(Key::Call(id), self.now.plus(ACK_WAIT));
        self.word(id, || CallEvent::Answered { status: 200, after });
        true
    }

    fn on_ack(&mut self, client: ClientId, ack: &Message) {
        // The ACK of a 2xx names the dialog, that of another answer the transaction (§17.1.1.3).
        let by_tag = to_tag(ack).and_then(|tag| self.call_of_tag(tag));
        let Some(id) = by_tag.filter(|id| self.table.calls.get(id).is_some_and(|c| c.client == client))
        else {
            return;
        };
        let Some(call) = self.table.calls.get_mut(&id) else { return };
        let step = call.server.on_ack();
        match &mut call.stage {
            Stage::Standing { acked, leg, .. } if step == ServerStep::Act && !*acked => {
                *acked = true;
                let leg = *leg;
                self.table.due.clear(Key::Call(id));
                self.ack_leg(leg, Some(ack));
            }
            Stage::Ended => drop(self.table.drop_call(id)),
            _ => {}
        }
    }

    fn on_cancel(&mut self, client: ClientId, cancel: &Message) {
        let branch = cancel.via().ok().and_then(|v| v.branch()).unwrap_or("").to_owned();
        let Some(id) = self.table.by_branch.get(&(client, branch)).copied() else {
            return self.respond(client, cancel, 481, None, &[]);
        };
        self.respond(client, cancel, 200, None, &[]);
        let acts = self.table.calls.get(&id).is_some_and(|c| c.server.on_cancel() == ServerStep::Act);
        if acts {
            self.caller_gives_up(id);
        }
    }

    /// The caller takes its INVITE back before there is a final answer.
    fn caller_gives_up(&mut self, id: CallId) {
        self.counters.abandoned += 1;
        self.lapse(id, FinalAnswer { status: 487, retry_after_s: None, text: "the caller gave up" });
    }

    fn on_caller_bye(&mut self, client: ClientId, bye: &Message) {
        let id = to_tag(bye).and_then(|tag| self.call_of_tag(tag));
        let id = id.filter(|id| self.table.calls.get(id).is_some_and(|c| c.client == client));
        let cseq = bye.cseq().map_or(0, |c| c.number);
        let Some((id, call)) = id.and_then(|id| self.table.calls.get_mut(&id).map(|c| (id, c))) else {
            return self.respond(client, bye, 481, None, &[]);
        };
        match &mut call.stage {
            Stage::Standing { dialog, .. } => {
                if !dialog.matches(bye) || bye.get(Name::CallId) != Some(&dialog.call_id) {
                    return self.respond(client, bye, 481, None, &[]);
                }
                if !dialog.accepts(cseq) {
                    // Out of order (§12.2.2).
                    return self.respond(client, bye, 500, None, &[]);
                }
                self.respond(client, bye, 200, None, &[]);
                self.release(id, Outcome::Cancelled);
            }
            // A BYE in an early dialog ends the INVITE (§15.1.2).
            Stage::Routing => {
                self.respond(client, bye, 200, None, &[]);
                self.caller_gives_up(id);
            }
            Stage::Ended => self.respond(client, bye, 481, None, &[]),
        }
    }

    /// A change of a standing session. The gateway passes none on, which leaves the session as it is (§14.2).
    fn on_reinvite(&mut self, client: ClientId, invite: &Message) {
        let known = to_tag(invite).and_then(|tag| self.call_of_tag(tag));
        let standing = known.and_then(|id| self.table.calls.get_mut(&id));
        let status = match standing.map(|c| &mut c.stage) {
            Some(Stage::Standing { dialog, .. }) if dialog.matches(invite) => {
                let in_order = dialog.accepts(invite.cseq().map_or(0, |c| c.number));
                if in_order { 488 } else { 500 }
            }
            _ => 481,
        };
        self.respond(client, invite, status, None, &[]);
    }

    /// Ends a standing call from the caller's end: its leg is acknowledged if it was not, and released.
    pub(crate) fn release(&mut self, id: CallId, outcome: Outcome) {
        let Some(Stage::Standing { leg, acked, .. }) = self.table.calls.get(&id).map(|c| &c.stage) else {
            return;
        };
        let (leg, acked) = (*leg, *acked);
        if !acked {
            self.ack_leg(leg, None);
        }
        self.end_standing(id, leg, outcome);
        self.release_leg(leg);
    }

    /// Tells the caller that its standing call is over.
    pub(crate) fn bye_caller(&mut self, id: CallId, reason: &str) {
        let branch = self.rng.next_u64();
        let host = &self.settings.host;
        let Some(call) = self.table.calls.get_mut(&id) else { return };
        let client = call.client;
        let Stage::Standing { dialog, .. } = &mut call.stage else { return };
        let via = format!("SIP/2.0/WS {host};branch=z9hG4bK{branch:016x}");
        let bytes = dialog.request(Method::Bye, &via).field(Name::Reason, reason).finish(b"");
        if self.table.clients.contains_key(&client) {
            self.out.push(Output::ToClient { client, bytes });
        }
    }

    pub(crate) fn on_client_down(&mut self, client: ClientId) {
        let Some(gone) = self.table.clients.remove(&client) else { return };
        for id in gone.calls {
            match self.table.calls.get(&id).map(|c| &c.stage) {
                // Nobody is there to be answered; the call ends like one that its caller took back.
                Some(Stage::Routing) => {
                    self.caller_gives_up(id);
                    self.table.drop_call(id);
                }
                Some(Stage::Standing { .. }) => self.release(id, Outcome::Cancelled),
                _ => {}
            }
        }
        let rest: Vec<CallId> = self
            .table
            .by_branch
            .range((client, String::new())..)
            .take_while(|(k, _)| k.0 == client)
            .map(|(_, id)| *id)
            .collect();
        for id in rest {
            self.table.drop_call(id);
        }
    }

    /// The answer of a switch that ends a call goes to the caller as it is.
    pub(crate) fn pass_final(&mut self, id: CallId, status: u16) {
        if self.table.calls.get(&id).is_some_and(|c| matches!(c.stage, Stage::Routing)) {
            self.counters.failed += 1;
        }
        self.answer_final(
            id,
            FinalAnswer { status, retry_after_s: None, text: "the switch refused the call" },
        );
    }
}

/// The To tag of a request.
pub(crate) fn to_tag(message: &Message) -> Option<&str> {
    message.get(Name::To).and_then(|to| Address::parse(to).ok()).and_then(|a| a.tag())
}

/// The identifier that the caller gave (RFC 7989 §5): 32 lower-case hex digits, not all zero.
fn session_of(invite: &Message) -> Option<String> {
    let value = invite.get(Name::SessionId)?;
    let id = value.split(';').next().unwrap_or("").trim();
    let sound = id.len() == 32 && id.bytes().all(|b| b.is_ascii_hexdigit()) && id.bytes().any(|b| b != b'0');
    sound.then(|| id.to_ascii_lowercase())
}

fn extra_of(extra: &Option<(Name, String)>) -> Vec<(Name, &str)> {
    extra.iter().map(|(name, value)| (*name, value.as_str())).collect()
}

/// Checks a request's target, hops and extensions (§8.2.2, §16.3). The error is the status with a field.
fn check_request<'a>(message: &Message, target: &'a str) -> Result<Uri<'a>, (u16, Option<(Name, String)>)> {
    let uri = Uri::parse(target).map_err(|e| match e {
        UriError::Malformed => (400, None),
        UriError::Scheme => (416, None),
    })?;
    // A sips URI asks for TLS on every hop, and the legs to switches have none.
    if uri.secure {
        return Err((416, None));
    }
    if message.get(Name::MaxForwards).is_some_and(|m| m.trim() == "0") {
        return Err((483, None));
    }
    let wanted: Vec<&str> = message.values(Name::Require).chain(message.values(Name::ProxyRequire)).collect();
    if !wanted.is_empty() {
        return Err((420, Some((Name::Unsupported, wanted.join(", ")))));
    }
    Ok(uri)
}
