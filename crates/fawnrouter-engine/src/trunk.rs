//! The attempt legs: set-ups sent to switches, and the messages received from switches. A trunk
//! ([`Trunk`](crate::table::Trunk)) is a core switch with its connection.

use std::time::Duration;

use fawnrouter::{AttemptNo, CallId, Event, LoadReport, Outcome, OutcomeDetail, ServerId};
use fawnrouter_admission::CallState;
use fawnrouter_sip::transaction::{ACK_TIMEOUT, ClientAction, InviteClientTransaction};
use fawnrouter_sip::{Address, Dialog, Message, MessageBuilder, Method, Name, Uri};
use rand_core::RngCore;

use crate::caller::{ALLOW, to_tag};
use crate::engine::Engine;
use crate::interface::{CallEvent, Output};
use crate::status::{self, ResponseDetails, Retryability};
use crate::table::{Leg, LegState, Stage};
use crate::timer::{LegId, TimerKey};

/// Header fields of the caller's INVITE that are not forwarded although they are [`Name::Other`]. Some the
/// gateway sets itself (fields that describe the body come with the body); some concern one hop only. All
/// other fields that are [`Name::Other`] are forwarded.
const NOT_FORWARDED: [&str; 15] = [
    "Date",
    "Timestamp",
    "MIME-Version",
    "Content-Disposition",
    "Content-Language",
    "Authorization",
    "Proxy-Authorization",
    "In-Reply-To",
    "Path",
    "Min-SE",
    "Session-Expires",
    "Replaces",
    "Join",
    "Security-Client",
    "Security-Verify",
];

impl Engine {
    /// Sends a message if the connection is open; otherwise the message is dropped. Before an INVITE or the
    /// BYE of a leg the connection is checked, and a reply goes out while it is open, so only an ACK or a
    /// CANCEL to an unreachable switch is lost.
    fn send_to_trunk(&mut self, server: ServerId, bytes: Vec<u8>) {
        if self.table.is_connected(server) {
            self.outputs.push(Output::ToTrunk { server, bytes });
        }
    }

    /// Sends a set-up to a switch, as the controller decided.
    pub(crate) fn send_set_up(&mut self, id: CallId, server: ServerId, time_out: Duration) {
        let connected = self.table.is_connected(server);
        let Some(call) = self.table.calls.get_mut(&id).filter(|c| matches!(c.stage, Stage::Routing)) else {
            return;
        };
        let attempt = AttemptNo(call.attempts);
        call.attempts += 1;
        let Some((invite, address)) = call
            .invite
            .as_deref()
            .zip(self.table.trunks.get(&server).map(|t| t.switch.address))
            .filter(|_| connected)
        else {
            // Without a connection the set-up has certainly not been processed.
            let (outcome, detail, took) = (Outcome::ConnectFailed, OutcomeDetail::None, Duration::ZERO);
            let (done, report) = (false, LoadReport::default());
            self.events.push_back(Event::Closed {
                call: id,
                attempt,
                server,
                done,
                outcome,
                detail,
                took,
                report,
            });
            return;
        };
        self.next_leg += 1;
        let leg_id = LegId(self.next_leg);
        let random = self.rng.next_u32();
        let host = &self.settings.host;
        // RFC 7339 §5.1: the gateway supports overload control by loss and by rate. `fr-within`, a private
        // parameter that other implementations ignore (RFC 3261 §25.1 via-extension), is the time in
        // milliseconds after which the gateway stops waiting.
        let via = format!(
            "SIP/2.0/TCP {host};branch=z9hG4bK{:x}.{random:08x};oc;oc-algo=\"loss,rate\";fr-within={}",
            leg_id.0,
            time_out.as_millis()
        );
        let from = invite.get(Name::From).and_then(|f| Address::parse(f).ok()).map_or_else(
            || format!("<sip:gateway@{host}>"),
            |a| format!("{}{}<{}>", a.display, if a.display.is_empty() { "" } else { " " }, a.uri),
        );
        let from = format!("{from};tag={random:08x}.{:x}", leg_id.0);
        let to = invite.get(Name::To).unwrap_or("").to_owned();
        let target = match invite.start() {
            fawnrouter_sip::StartLine::Request { uri, .. } => request_uri(uri, address),
            fawnrouter_sip::StartLine::Response { .. } => return,
        };
        let call_id = format!("{:08x}{:08x}@{host}", random, self.rng.next_u32());
        let hops = invite.get(Name::MaxForwards).and_then(|m| m.trim().parse::<u8>().ok()).unwrap_or(70);
        let mut builder = MessageBuilder::request(Method::Invite, &target);
        builder
            .field(Name::Via, &via)
            .field(Name::MaxForwards, &hops.saturating_sub(1).to_string())
            .field(Name::From, &from)
            .field(Name::To, &to)
            .field(Name::CallId, &call_id)
            .field(Name::CSeq, "1 INVITE")
            .field(Name::Contact, &format!("<sip:gateway@{host};transport=tcp>"))
            .field(Name::Expires, &(time_out.as_secs_f64().ceil().max(1.0) as u64).to_string())
            .field(Name::SessionId, &format!("{};remote={:032}", call.session_id, 0))
            .field(Name::Allow, ALLOW);
        for (name, raw, value) in invite.fields() {
            let forwarded = match name {
                Name::Subject | Name::Priority | Name::ResourcePriority | Name::UserAgent | Name::Accept => {
                    true
                }
                Name::Other => !NOT_FORWARDED.iter().any(|excluded| raw.eq_ignore_ascii_case(excluded)),
                _ => false,
            };
            if forwarded {
                builder.named_field(raw, value);
            }
        }
        let bytes = builder.finish_with_body_of(invite);
        call.current_leg = Some(leg_id);
        self.set_up_state_changed(id, CallState::AttemptSent);
        let leg = Leg {
            call: id,
            attempt,
            server,
            client_transaction: InviteClientTransaction::default(),
            state: LegState::Pending,
            sent_at: self.now,
            uri: target,
            via,
            from,
            to,
            call_id,
            ack: None,
        };
        self.table.legs.insert(leg_id, leg);
        if let Some(trunk) = self.table.trunks.get_mut(&server) {
            trunk.legs.insert(leg_id);
        }
        self.table.timers.set(TimerKey::Leg(leg_id), self.now.plus(time_out));
        self.counters.attempts += 1;
        self.emit_call_event(id, || CallEvent::AttemptSent { attempt, server });
        self.send_to_trunk(server, bytes);
    }

    /// A request in the transaction of a leg's INVITE, with the same branch: CANCEL (§9.1), or the ACK of a
    /// final response of 300 or more (§17.1.1.3).
    fn request_in_transaction(leg: &Leg, method: Method, to: &str) -> Vec<u8> {
        MessageBuilder::request(method, &leg.uri)
            .field(Name::Via, &leg.via)
            .field(Name::MaxForwards, "70")
            .field(Name::From, &leg.from)
            .field(Name::To, to)
            .field(Name::CallId, &leg.call_id)
            .field(Name::CSeq, &format!("1 {}", method.name()))
            .finish(b"")
    }

    pub(crate) fn send_cancel(&mut self, id: LegId) {
        if let Some(leg) = self.table.legs.get(&id) {
            let (server, bytes) = (leg.server, Self::request_in_transaction(leg, Method::Cancel, &leg.to));
            self.send_to_trunk(server, bytes);
        }
    }

    fn new_via(&mut self) -> String {
        format!("SIP/2.0/TCP {};branch=z9hG4bKr{:016x}", self.settings.host, self.rng.next_u64())
    }

    /// Acknowledges the 2xx of a leg, with the body of the caller's ACK (an answer to a late offer,
    /// §13.2.2.4).
    pub(crate) fn ack_leg(&mut self, id: LegId, from_caller: Option<&Message>) {
        let via = self.new_via();
        let Some(leg) = self.table.legs.get_mut(&id) else { return };
        let (LegState::Established { dialog, .. } | LegState::Releasing { dialog, .. }) = &mut leg.state
        else {
            return;
        };
        let mut builder = dialog.request(Method::Ack, &via);
        let bytes = match from_caller {
            Some(ack) => builder.finish_with_body_of(ack),
            None => builder.finish(b""),
        };
        leg.ack = Some(bytes.clone());
        let server = leg.server;
        self.send_to_trunk(server, bytes);
    }

    /// Releases a leg whose call has ended: sends BYE now, or when the connection is back.
    pub(crate) fn release_leg(&mut self, id: LegId) {
        let Some(leg) = self.table.legs.get_mut(&id) else { return };
        let state = std::mem::replace(&mut leg.state, LegState::Abandoned);
        let LegState::Established { dialog, .. } = state else {
            leg.state = state;
            return;
        };
        leg.state = LegState::Releasing { dialog, bye_pending: true };
        self.table.timers.set(TimerKey::Leg(id), self.now.plus(ACK_TIMEOUT));
        self.send_bye(id);
    }

    pub(crate) fn send_bye(&mut self, id: LegId) {
        let via = self.new_via();
        let connected = self.table.legs.get(&id).is_some_and(|leg| self.table.is_connected(leg.server));
        let Some(leg) = self.table.legs.get_mut(&id) else { return };
        let LegState::Releasing { dialog, bye_pending } = &mut leg.state else { return };
        if connected && *bye_pending {
            *bye_pending = false;
            let (server, bytes) = (leg.server, dialog.request(Method::Bye, &via).finish(b""));
            self.send_to_trunk(server, bytes);
        }
    }

    pub(crate) fn on_trunk_message(&mut self, server: ServerId, message: &Message) {
        match message.status() {
            Some(status) => self.on_response(server, status, message),
            None => self.on_trunk_request(server, message),
        }
    }

    fn on_response(&mut self, server: ServerId, status: u16, response: &Message) {
        let Ok(cseq) = response.cseq() else { return };
        let method = Method::from_name(cseq.method);
        match method {
            Method::Invite => {}
            Method::Bye => return self.on_bye_answer(server, response),
            _ => return,
        }
        let Ok(via) = response.via() else { return };
        let report = status::overload_report(&via, self.settings.controller.gateways);
        let branch = via.branch().unwrap_or("");
        let id = branch.strip_prefix("z9hG4bK").and_then(|b| b.split('.').next());
        let id = id.and_then(|hex| u64::from_str_radix(hex, 16).ok()).map(LegId);
        let matches = |leg: &&mut Leg| {
            leg.server == server
                && fawnrouter_sip::Via::parse(&leg.via).is_ok_and(|v| v.branch() == Some(branch))
        };
        let known = id.and_then(|id| self.table.legs.get_mut(&id).filter(matches).map(|leg| (id, leg)));
        let Some((id, leg)) = known else {
            // A 2xx after its leg has been removed is released, or the switch would hold the call for ever.
            // The release could do harm only to a switch that answers a request that was never sent.
            if (200..300).contains(&status) {
                self.release_unknown_dialog(server, response);
            }
            return;
        };
        match leg.client_transaction.on_response(status) {
            ClientAction::Provisional => {
                let (call, attempt) = (leg.call, leg.attempt);
                let pending = matches!(leg.state, LegState::Pending);
                if let Some(report) = report {
                    // No probe was sent: the event only carries the load report.
                    let (took, ok) = (Duration::ZERO, true);
                    self.events.push_back(Event::Probed { server, ok, took, report });
                }
                if pending && status > 100 {
                    self.send_provisional(call, status, Some((response, attempt.0)));
                }
            }
            ClientAction::CancelNow => self.send_cancel(id),
            ClientAction::Accepted => self.on_accepted(id, response),
            ClientAction::UnwantedAccepted => self.release_late_2xx(id, response),
            ClientAction::Failed => self.on_failed(id, status, response, report),
            ClientAction::AckAgain => self.on_repeated_final(id, status, response),
            ClientAction::Drop => {}
        }
    }

    fn on_accepted(&mut self, id: LegId, response: &Message) {
        let Some(leg) = self.table.legs.get_mut(&id) else { return };
        let (call, attempt, server, took) = (leg.call, leg.attempt, leg.server, self.now.since(leg.sent_at));
        let Ok(dialog) = Dialog::caller(response, &leg.uri, 1) else {
            // A 2xx whose To or Contact cannot be parsed cannot be acknowledged, so it establishes no call.
            self.close_attempt(id, Outcome::Error, false);
            return;
        };
        leg.state =
            LegState::Established { dialog: Box::new(dialog), connection_lost: false, reconnected: false };
        self.table.timers.clear(TimerKey::Leg(id));
        self.events.push_back(Event::Established { call, attempt, server, took });
        if !self.establish(call, id, response, attempt.0) {
            self.ack_leg(id, None);
            self.release_leg(id);
        }
    }

    /// Acknowledges and releases a 2xx that crossed the CANCEL, came after the time-out, or came after
    /// another final response (§9.1, §13.2.2.4).
    fn release_late_2xx(&mut self, id: LegId, response: &Message) {
        let Some(leg) = self.table.legs.get_mut(&id) else { return };
        match Dialog::caller(response, &leg.uri, 1) {
            Ok(dialog) => {
                leg.state = LegState::Established {
                    dialog: Box::new(dialog),
                    connection_lost: false,
                    reconnected: false,
                };
                self.ack_leg(id, None);
                self.release_leg(id);
            }
            Err(_) => drop(self.table.remove_leg(id)),
        }
    }

    fn release_unknown_dialog(&mut self, server: ServerId, response: &Message) {
        let uri =
            response.get(Name::To).and_then(|t| Address::parse(t).ok()).map_or("", |a| a.uri).to_owned();
        let number = response.cseq().map_or(1, |c| c.number);
        let Ok(mut dialog) = Dialog::caller(response, &uri, number) else { return };
        for method in [Method::Ack, Method::Bye] {
            let via = self.new_via();
            let bytes = dialog.request(method, &via).finish(b"");
            self.send_to_trunk(server, bytes);
        }
    }

    fn on_failed(&mut self, id: LegId, status: u16, response: &Message, report: Option<LoadReport>) {
        let Some(leg) = self.table.legs.get(&id) else { return };
        let ack = Self::request_in_transaction(leg, Method::Ack, response.get(Name::To).unwrap_or(&leg.to));
        let (call, attempt, server) = (leg.call, leg.attempt, leg.server);
        let (pending, took) = (matches!(leg.state, LegState::Pending), self.now.since(leg.sent_at));
        self.send_to_trunk(server, ack);
        self.table.remove_leg(id);
        if pending {
            let status::ResponseMeaning { outcome, detail, retryability } =
                status::response_meaning(status, ResponseDetails::from_response(response));
            // If so, the switch's response goes to the caller (below), and the controller gives no final
            // answer.
            let done = retryability == Retryability::Final;
            if let Some(call) = self.table.calls.get_mut(&call) {
                call.last_response = Some((status, detail));
            }
            let report = report.unwrap_or_default();
            self.events.push_back(Event::Closed {
                call,
                attempt,
                server,
                done,
                outcome,
                detail,
                took,
                report,
            });
            self.emit_call_event(call, || CallEvent::AttemptClosed { attempt, outcome });
            if done {
                self.pass_on_final(call, status);
            }
        }
        self.close_unused_trunk(server);
    }

    /// Handles a repeated final response: sends its ACK again. A second 2xx of another dialog, as a forking
    /// switch sends it, is released separately.
    fn on_repeated_final(&mut self, id: LegId, status: u16, response: &Message) {
        let Some(leg) = self.table.legs.get(&id) else { return };
        let server = leg.server;
        if status >= 300 {
            let ack =
                Self::request_in_transaction(leg, Method::Ack, response.get(Name::To).unwrap_or(&leg.to));
            self.send_to_trunk(server, ack);
            return;
        }
        let (LegState::Established { dialog, .. } | LegState::Releasing { dialog, .. }) = &leg.state else {
            return;
        };
        if to_tag(response).unwrap_or("") != dialog.remote_tag {
            return self.release_unknown_dialog(server, response);
        }
        // No ACK is stored until the caller's has arrived; the switch is sent its ACK then.
        if let Some(ack) = leg.ack.clone() {
            self.send_to_trunk(server, ack);
        }
    }

    fn on_bye_answer(&mut self, server: ServerId, response: &Message) {
        let tag = response.get(Name::From).and_then(|f| Address::parse(f).ok()).and_then(|a| a.tag());
        let id = tag.and_then(|t| self.leg_of_tag(t, server));
        let released = id.filter(|id| matches!(self.table.legs[id].state, LegState::Releasing { .. }));
        if let Some(id) = released {
            self.table.remove_leg(id);
            self.close_unused_trunk(server);
        }
    }

    fn leg_of_tag(&self, tag: &str, server: ServerId) -> Option<LegId> {
        let id = LegId(u64::from_str_radix(tag.split_once('.')?.1, 16).ok()?);
        let leg = self.table.legs.get(&id).filter(|l| l.server == server)?;
        leg.from.ends_with(tag).then_some(id)
    }

    fn on_trunk_request(&mut self, server: ServerId, request: &Message) {
        let method = request.method().unwrap_or(Method::Other);
        if method == Method::Ack {
            return;
        }
        let answer = |engine: &mut Self, status: u16| {
            let tag = format!("{:08x}", engine.rng.next_u32());
            let mut builder = MessageBuilder::response_to(request, status, None, &tag, None);
            if matches!(status, 200 | 405) {
                builder.field(Name::Allow, ALLOW);
            }
            let bytes = builder.finish(b"");
            engine.send_to_trunk(server, bytes);
        };
        if let Err(invalid) = request.validate() {
            return answer(self, invalid.status);
        }
        let leg = to_tag(request).and_then(|tag| self.leg_of_tag(tag, server));
        match (method, leg) {
            (Method::Bye, Some(id)) => {
                let number = request.cseq().map_or(0, |c| c.number);
                let Some(leg) = self.table.legs.get_mut(&id) else { return };
                let call = leg.call;
                match &mut leg.state {
                    LegState::Established { dialog, .. } if dialog.matches(request) => {
                        if !dialog.accept_cseq(number) {
                            return answer(self, 500);
                        }
                        answer(self, 200);
                        self.send_bye_to_caller(call, request.get(Name::Reason).unwrap_or("Q.850;cause=16"));
                        self.end_established(call, id, Outcome::Ended);
                        self.table.remove_leg(id);
                        self.close_unused_trunk(server);
                    }
                    // The BYEs of both sides crossed.
                    LegState::Releasing { dialog, .. } if dialog.matches(request) => answer(self, 200),
                    _ => answer(self, 481),
                }
            }
            (Method::Bye, None) => answer(self, 481),
            (Method::Options, _) => answer(self, 200),
            // A change of the session of an established call is not supported.
            (Method::Invite, Some(_)) => answer(self, 488),
            // A call to one of the callers is not supported.
            (Method::Invite, None) => answer(self, 403),
            (Method::Cancel, _) => answer(self, 481),
            _ => answer(self, 405),
        }
    }
}

/// The request-URI at a switch: the user part that was called, at the switch's address. A tel URI becomes a
/// sip URI (RFC 3261 §19.1.6).
fn request_uri(target: &str, address: std::net::SocketAddr) -> String {
    match Uri::parse(target) {
        Ok(uri) if uri.is_tel => format!("sip:{}{}@{address};user=phone", uri.user, uri.params.0),
        Ok(uri) if !uri.user.is_empty() => format!("sip:{}@{address}{}", uri.user, uri.params.0),
        _ => format!("sip:{address}"),
    }
}
