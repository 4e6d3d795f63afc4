//! The caller's leg: requests received over a client's connection, and the responses to them.

use std::time::Duration;

use fawnrouter::{CallId, NewCall, Outcome};
use fawnrouter_admission::{CallState, SetUpAdmission, SetUpDecision};
use fawnrouter_sip::transaction::{ACK_TIMEOUT, InviteServerTransaction, ServerAction};
use fawnrouter_sip::{Address, Dialog, Message, MessageBuilder, Method, Name, StartLine, Uri, UriError};
use rand_core::RngCore;

use crate::authenticate::AuthCheck;
use crate::engine::Engine;
use crate::intake::IntakeLoad;
use crate::interface::{CallEvent, ClientId, Output};
use crate::status::{FinalAnswer, retry_after_seconds};
use crate::table::{Call, Stage};
use crate::timer::{LegId, TimerKey};

/// The value of Allow: methods that the gateway supports (RFC 3261 §20.5).
pub(crate) const ALLOW: &str = "INVITE, ACK, CANCEL, BYE, OPTIONS";

/// Additional header fields of a response.
type Extra<'a> = &'a [(Name, &'a str)];

impl Engine {
    pub(crate) fn on_client_message(&mut self, client: ClientId, message: Box<Message>) {
        if !self.table.clients.contains_key(&client) {
            return;
        }
        // A response of a client answers the gateway's BYE; it needs no handling.
        let StartLine::Request { method, uri, .. } = message.start() else { return };
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
        let info = match self.authenticate(client, &message, uri) {
            AuthCheck::Answered => return,
            AuthCheck::Proceed(info) => info,
        };
        match method {
            Method::Ack => self.on_ack(client, &message),
            Method::Cancel => self.on_cancel(client, &message),
            Method::Bye => self.on_caller_bye(client, &message),
            Method::Invite if to_tag(&message).is_some() => self.on_reinvite(client, &message),
            Method::Invite => self.on_invite(client, message),
            Method::Options => match check_request(&message, uri) {
                Err((status, extra)) => self.respond(client, &message, status, None, &extra_fields(&extra)),
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

    /// Answers a request that belongs to no call.
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
        let mut builder = MessageBuilder::response_to(request, status, phrase, &tag, peer);
        for (name, value) in extra {
            builder.field(*name, value);
        }
        let bytes = builder.finish(b"");
        self.outputs.push(Output::ToClient { client, bytes });
    }

    /// Rejects an INVITE with 503 without creating a call.
    fn reject_invite(&mut self, client: ClientId, invite: &Message, reason: &str, retry_after: Duration) {
        self.counters.rejected += 1;
        let seconds = retry_after_seconds(retry_after).max(1).to_string();
        let reason = format!("SIP;cause=503;text=\"{reason}\"");
        let extra = [(Name::RetryAfter, seconds.as_str()), (Name::Reason, reason.as_str())];
        self.respond(client, invite, 503, None, &extra);
    }

    fn on_invite(&mut self, client: ClientId, invite: Box<Message>) {
        let branch = invite.via().ok().and_then(|v| v.branch()).unwrap_or("").to_owned();
        // A retransmission of a known INVITE: it has been answered or will be (§17.2.1).
        if self.table.by_branch.contains_key(&(client, branch.clone())) {
            return;
        }
        let StartLine::Request { uri: target, .. } = invite.start() else { return };
        let uri = match check_request(&invite, target) {
            Ok(uri) => uri,
            Err((status, extra)) => {
                self.counters.invalid += 1;
                return self.respond(client, &invite, status, None, &extra_fields(&extra));
            }
        };
        if branch.is_empty() || invite.values(Name::Contact).next().is_none() {
            self.counters.invalid += 1;
            let what = if branch.is_empty() { "Bad Via Branch" } else { "Bad Contact" };
            return self.respond(client, &invite, 400, Some(what), &[]);
        }
        let client_calls = self.table.clients.get(&client).map_or(0, |c| c.calls.len());
        let load = IntakeLoad { calls: self.table.live_calls(), pending: self.pending, client_calls };
        if let Err((refusal, wait)) = self.intake.check(load) {
            return self.reject_invite(client, &invite, refusal.text(), wait);
        }
        let classified = self.settings.rules.classify(&invite, &uri);
        let class = classified.class.and_then(|c| self.settings.controller.classes.get(c.0));
        let default = class.map_or(self.settings.max_expires, |c| c.deadline).min(self.settings.max_expires);
        // `Expires` is the time left for the set-up (RFC 3261 §13.2.1), in whole seconds from the receipt of
        // the INVITE.
        let expires = invite.get(Name::Expires).and_then(|x| x.trim().parse().ok()).map(Duration::from_secs);
        let left = expires.unwrap_or(default).min(self.settings.max_expires);
        let class_name = class.map(|c| c.name.clone()).unwrap_or_default();
        let id = self.new_call_id();
        let decision = self.admit_set_up(client, id);
        if let SetUpDecision::Refuse { reason, retry_after } = decision {
            return self.reject_invite(client, &invite, reason.text(), retry_after);
        }
        let session_id = session_id_of(&invite)
            .unwrap_or_else(|| format!("{:016x}{:016x}", self.rng.next_u64(), self.rng.next_u64()));
        let call_id = invite.get(Name::CallId).unwrap_or("").into();
        let call = Call {
            client,
            branch: branch.clone(),
            call_id,
            tag: self.rng.next_u32(),
            session_id,
            server_transaction: InviteServerTransaction::default(),
            stage: Stage::Routing,
            received_at: self.now,
            deadline: self.now.plus(left),
            queued: None,
            current_leg: None,
            attempts: 0,
            last_response: None,
            invite: Some(invite),
        };
        let (call_id, number) = (call.call_id.clone(), classified.number.clone());
        self.table.calls.insert(id, call);
        self.table.by_branch.insert((client, branch), id);
        if let Some(known) = self.table.clients.get_mut(&client) {
            known.calls.insert(id);
        }
        self.pending += 1;
        self.counters.accepted += 1;
        self.emit_call_event(id, || CallEvent::Accepted {
            call_id,
            class: class_name.into(),
            number: number.into(),
        });
        self.send_provisional(id, 100, None);
        let new = NewCall {
            id,
            class: classified.class,
            time_left: left,
            number: classified.number.into(),
            width: 1.0,
            tenant: classified.tenant,
            redialled: false,
            transit: false,
            destination: classified.first_pool,
        };
        if decision == SetUpDecision::Wait {
            let wait = self.set_up_admission().map_or(left, SetUpAdmission::max_wait).min(left);
            self.table.timers.set(TimerKey::Call(id), self.now.plus(wait));
            if let Some(call) = self.table.calls.get_mut(&id) {
                call.queued = Some(new);
            }
            return;
        }
        self.submit_call(new);
    }

    /// The To tag of responses to the caller: a separate one for each attempt, as each has its own session
    /// (§12.1).
    fn caller_tag(call: &Call, id: CallId, attempt: Option<u32>) -> String {
        match attempt {
            Some(n) => format!("{:08x}.{:x}.{n}", call.tag, id.0),
            None => format!("{:08x}.{:x}", call.tag, id.0),
        }
    }

    /// The call that a To tag belongs to.
    fn call_of_tag(&self, tag: &str) -> Option<CallId> {
        let mut parts = tag.split('.');
        let random = u32::from_str_radix(parts.next()?, 16).ok()?;
        let id = CallId(u64::from_str_radix(parts.next()?, 16).ok()?);
        self.table.calls.get(&id).filter(|c| c.tag == random).map(|_| id)
    }

    /// Begins a response to a call's INVITE, if its transaction allows one with this status.
    fn begin_answer(
        &mut self,
        id: CallId,
        status: u16,
        attempt: Option<u32>,
    ) -> Option<(ClientId, MessageBuilder)> {
        let host = self.settings.host.clone();
        let call = self.table.calls.get_mut(&id)?;
        let client = self.table.clients.get(&call.client)?;
        if !call.server_transaction.respond(status) {
            return None;
        }
        let tag = Self::caller_tag(call, id, attempt);
        let peer = Some((client.host.as_str(), client.peer.port()));
        let mut builder = MessageBuilder::response_to(call.invite.as_deref()?, status, None, &tag, peer);
        if status > 100 {
            builder.named_field("Session-ID", &format!("{};remote={:032}", call.session_id, 0));
            builder.field(Name::Allow, ALLOW);
        }
        if (101..300).contains(&status) {
            builder.field(Name::Contact, &format!("<sip:gateway@{host};transport=ws>"));
            // The caller builds its route set from the Record-Route of its own request (§12.1.1).
            builder.copy_fields(call.invite.as_deref()?, Name::RecordRoute);
        }
        Some((call.client, builder))
    }

    /// Sends a provisional response to the caller; `from` is the switch's response, with the number of the
    /// attempt.
    pub(crate) fn send_provisional(&mut self, id: CallId, status: u16, from: Option<(&Message, u32)>) {
        if let Some((client, mut builder)) = self.begin_answer(id, status, from.map(|f| f.1)) {
            let bytes = match from {
                Some((response, _)) => builder.finish_with_body_of(response),
                None => builder.finish(b""),
            };
            self.outputs.push(Output::ToClient { client, bytes });
        }
    }

    /// Sends the final answer of a call that is not established. The call is kept only to recognise its ACK.
    pub(crate) fn send_final(&mut self, id: CallId, answer: FinalAnswer) {
        let Some(call) = self.table.calls.get(&id).filter(|c| matches!(c.stage, Stage::Routing)) else {
            return;
        };
        let after = self.now.since(call.received_at);
        if let Some((client, mut builder)) = self.begin_answer(id, answer.status, None) {
            if let Some(seconds) = answer.retry_after_s {
                builder.field(Name::RetryAfter, &seconds.to_string());
            }
            builder.field(Name::Reason, &format!("SIP;cause={};text=\"{}\"", answer.status, answer.text));
            let bytes = builder.finish(b"");
            self.outputs.push(Output::ToClient { client, bytes });
        }
        self.emit_call_event(id, || CallEvent::Answered { status: answer.status, after });
        self.set_up_ended(id);
        self.pending -= 1;
        self.table.timers.set(TimerKey::Call(id), self.now.plus(ACK_TIMEOUT));
        self.table.retire(id, self.settings.intake.calls);
    }

    /// Establishes a call that a switch answered: sends 200 with the switch's body to the caller. Returns
    /// `false` if the call has ended meanwhile or no dialog can be created.
    pub(crate) fn establish(&mut self, id: CallId, leg: LegId, response: &Message, attempt: u32) -> bool {
        let Some(call) = self.table.calls.get(&id).filter(|c| matches!(c.stage, Stage::Routing)) else {
            return false;
        };
        let after = self.now.since(call.received_at);
        let tag = Self::caller_tag(call, id, Some(attempt));
        let dialog = call.invite.as_deref().and_then(|invite| Dialog::callee(invite, &tag).ok());
        let Some(dialog) = dialog else { return false };
        let Some((client, mut builder)) = self.begin_answer(id, 200, Some(attempt)) else { return false };
        let bytes = builder.finish_with_body_of(response);
        self.outputs.push(Output::ToClient { client, bytes });
        let established_at = self.now;
        if let Some(call) = self.table.calls.get_mut(&id) {
            call.stage = Stage::Established { leg, dialog: Box::new(dialog), acked: false, established_at };
            call.current_leg = None;
            call.invite = None;
        }
        self.set_up_state_changed(id, CallState::Established);
        self.pending -= 1;
        self.counters.established += 1;
        self.table.timers.set(TimerKey::Call(id), self.now.plus(ACK_TIMEOUT));
        self.emit_call_event(id, || CallEvent::Answered { status: 200, after });
        true
    }

    fn on_ack(&mut self, client: ClientId, ack: &Message) {
        // The ACK of a 2xx belongs to the dialog, that of another final answer to the transaction
        // (§17.1.1.3).
        let by_tag = to_tag(ack).and_then(|tag| self.call_of_tag(tag));
        let Some(id) = by_tag.filter(|id| self.table.calls.get(id).is_some_and(|c| c.client == client))
        else {
            return;
        };
        let Some(call) = self.table.calls.get_mut(&id) else { return };
        let step = call.server_transaction.on_ack();
        match &mut call.stage {
            Stage::Established { acked, leg, .. } if step == ServerAction::Process && !*acked => {
                *acked = true;
                let leg = *leg;
                self.table.timers.clear(TimerKey::Call(id));
                self.ack_leg(leg, Some(ack));
            }
            Stage::Ended => drop(self.table.remove_call(id)),
            _ => {}
        }
    }

    fn on_cancel(&mut self, client: ClientId, cancel: &Message) {
        let branch = cancel.via().ok().and_then(|v| v.branch()).unwrap_or("").to_owned();
        let Some(id) = self.table.by_branch.get(&(client, branch)).copied() else {
            return self.respond(client, cancel, 481, None, &[]);
        };
        self.respond(client, cancel, 200, None, &[]);
        let acts = self
            .table
            .calls
            .get(&id)
            .is_some_and(|c| c.server_transaction.on_cancel() == ServerAction::Process);
        if acts {
            self.on_caller_gave_up(id);
        }
    }

    /// Ends a call whose caller gave up before the final answer.
    fn on_caller_gave_up(&mut self, id: CallId) {
        self.counters.abandoned += 1;
        self.end_routing(id, FinalAnswer { status: 487, retry_after_s: None, text: "the caller gave up" });
    }

    fn on_caller_bye(&mut self, client: ClientId, bye: &Message) {
        let id = to_tag(bye).and_then(|tag| self.call_of_tag(tag));
        let id = id.filter(|id| self.table.calls.get(id).is_some_and(|c| c.client == client));
        let cseq = bye.cseq().map_or(0, |c| c.number);
        let Some((id, call)) = id.and_then(|id| self.table.calls.get_mut(&id).map(|c| (id, c))) else {
            return self.respond(client, bye, 481, None, &[]);
        };
        match &mut call.stage {
            Stage::Established { dialog, .. } => {
                if !dialog.matches(bye) || bye.get(Name::CallId) != Some(&dialog.call_id) {
                    return self.respond(client, bye, 481, None, &[]);
                }
                if !dialog.accept_cseq(cseq) {
                    // Out of order (§12.2.2).
                    return self.respond(client, bye, 500, None, &[]);
                }
                self.respond(client, bye, 200, None, &[]);
                self.release_call(id, Outcome::Cancelled);
            }
            // A BYE in an early dialog ends the INVITE (§15.1.2).
            Stage::Routing => {
                self.respond(client, bye, 200, None, &[]);
                self.on_caller_gave_up(id);
            }
            Stage::Ended => self.respond(client, bye, 481, None, &[]),
        }
    }

    /// Refuses a change of an established session. The gateway passes none on, and a refusal leaves the
    /// session as it is (§14.2).
    fn on_reinvite(&mut self, client: ClientId, invite: &Message) {
        let known = to_tag(invite).and_then(|tag| self.call_of_tag(tag));
        let established = known.and_then(|id| self.table.calls.get_mut(&id));
        let status = match established.map(|c| &mut c.stage) {
            Some(Stage::Established { dialog, .. }) if dialog.matches(invite) => {
                let in_order = dialog.accept_cseq(invite.cseq().map_or(0, |c| c.number));
                if in_order { 488 } else { 500 }
            }
            _ => 481,
        };
        self.respond(client, invite, status, None, &[]);
    }

    /// Ends an established call from the caller's side: acknowledges its leg if that has not been done, and
    /// releases it.
    pub(crate) fn release_call(&mut self, id: CallId, outcome: Outcome) {
        let Some(Stage::Established { leg, acked, .. }) = self.table.calls.get(&id).map(|c| &c.stage) else {
            return;
        };
        let (leg, acked) = (*leg, *acked);
        if !acked {
            self.ack_leg(leg, None);
        }
        self.end_established(id, leg, outcome);
        self.release_leg(leg);
    }

    /// Sends a BYE for an established call to its caller.
    pub(crate) fn send_bye_to_caller(&mut self, id: CallId, reason: &str) {
        let branch = self.rng.next_u64();
        let host = &self.settings.host;
        let Some(call) = self.table.calls.get_mut(&id) else { return };
        let client = call.client;
        let Stage::Established { dialog, .. } = &mut call.stage else { return };
        let via = format!("SIP/2.0/WS {host};branch=z9hG4bK{branch:016x}");
        let bytes = dialog.request(Method::Bye, &via).field(Name::Reason, reason).finish(b"");
        if self.table.clients.contains_key(&client) {
            self.outputs.push(Output::ToClient { client, bytes });
        }
    }

    pub(crate) fn on_client_down(&mut self, client: ClientId) {
        let Some(removed) = self.table.clients.remove(&client) else { return };
        for id in removed.calls {
            match self.table.calls.get(&id).map(|c| &c.stage) {
                // The caller cannot be answered any more; the call ends like a cancelled one.
                Some(Stage::Routing) => {
                    self.on_caller_gave_up(id);
                    self.table.remove_call(id);
                }
                Some(Stage::Established { .. }) => self.release_call(id, Outcome::Cancelled),
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
            self.table.remove_call(id);
        }
    }

    /// Passes a final response of a switch that ends the call on to the caller.
    pub(crate) fn pass_on_final(&mut self, id: CallId, status: u16) {
        if self.table.calls.get(&id).is_some_and(|c| matches!(c.stage, Stage::Routing)) {
            self.counters.failed += 1;
        }
        self.send_final(id, FinalAnswer { status, retry_after_s: None, text: "the switch refused the call" });
    }
}

/// The To tag of a request.
pub(crate) fn to_tag(message: &Message) -> Option<&str> {
    message.get(Name::To).and_then(|to| Address::parse(to).ok()).and_then(|a| a.tag())
}

/// The session identifier of the caller (RFC 7989 §5): 32 hex digits, not all zero, in lower case.
fn session_id_of(invite: &Message) -> Option<String> {
    let value = invite.get(Name::SessionId)?;
    let id = value.split(';').next().unwrap_or("").trim();
    let valid = id.len() == 32 && id.bytes().all(|b| b.is_ascii_hexdigit()) && id.bytes().any(|b| b != b'0');
    valid.then(|| id.to_ascii_lowercase())
}

fn extra_fields(extra: &Option<(Name, String)>) -> Vec<(Name, &str)> {
    extra.iter().map(|(name, value)| (*name, value.as_str())).collect()
}

/// Checks a request's target, hops and extensions (§8.2.2, §16.3). The error is the status and an additional
/// header field of the response.
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
    let required: Vec<&str> =
        message.values(Name::Require).chain(message.values(Name::ProxyRequire)).collect();
    if !required.is_empty() {
        return Err((420, Some((Name::Unsupported, required.join(", ")))));
    }
    Ok(uri)
}
