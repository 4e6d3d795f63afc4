//! The attempt legs: set-ups that go out to switches, and what comes back.

use std::time::Duration;

use fawnrouter::{AttemptNo, CallId, Event, LoadReport, Outcome, OutcomeDetail, ServerId};
use fawnrouter_admission::CallState;
use fawnrouter_sip::transaction::{ACK_WAIT, ClientStep, InviteClient};
use fawnrouter_sip::{Address, Dialog, Draft, Message, Method, Name, Uri};
use rand_core::RngCore;

use crate::caller::{ALLOW, to_tag};
use crate::due::{Key, LegId};
use crate::engine::Engine;
use crate::interface::{CallEvent, Output};
use crate::status::{self, ResponseDetails, Retryability};
use crate::table::{Leg, LegState, Stage};

/// Fields of the caller's INVITE that the gateway writes itself or that concern one hop only. All others pass.
const OWN: [&str; 15] = [
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
    /// Sends if there is a connection. Without one, what is lost is an ACK or a CANCEL of a switch that is away.
    fn send_to_trunk(&mut self, server: ServerId, bytes: Vec<u8>) {
        if self.table.is_up(server) {
            self.out.push(Output::ToTrunk { server, bytes });
        }
    }

    /// Carries out the controller's decision to send a set-up.
    pub(crate) fn issue(&mut self, id: CallId, server: ServerId, within: Duration) {
        let up = self.table.is_up(server);
        let Some(call) = self.table.calls.get_mut(&id).filter(|c| matches!(c.stage, Stage::Routing)) else {
            return;
        };
        let attempt = AttemptNo(call.attempts);
        call.attempts += 1;
        let Some((invite, address)) = call
            .invite
            .as_deref()
            .zip(self.table.trunks.get(&server).map(|t| t.switch.address))
            .filter(|_| up)
        else {
            // No connection: the set-up certainly never ran.
            let (outcome, note, took) = (Outcome::ConnectFailed, OutcomeDetail::None, Duration::ZERO);
            let (done, report) = (false, LoadReport::default());
            self.events.push_back(Event::Closed {
                call: id,
                attempt,
                server,
                done,
                outcome,
                detail: note,
                took,
                report,
            });
            return;
        };
        self.next_leg += 1;
        let leg_id = LegId(self.next_leg);
        let random = self.rng.next_u32();
        let host = &self.settings.host;
        // RFC 7339 §5.1: the gateway heeds overload control by loss and by rate. `fr-within`, a parameter of our
        // own that others ignore (§25.1 via-extension), tells after how many milliseconds it stops waiting.
        let via = format!(
            "SIP/2.0/TCP {host};branch=z9hG4bK{:x}.{random:08x};oc;oc-algo=\"loss,rate\";fr-within={}",
            leg_id.0,
            within.as_millis()
        );
        let from = invite.get(Name::From).and_then(|f| Address::parse(f).ok()).map_or_else(
            || format!("<sip:gateway@{host}>"),
            |a| format!("{}{}<{}>", a.display, if a.display.is_empty() { "" } else { " " }, a.uri),
        );
        let from = format!("{from};tag={random:08x}.{:x}", leg_id.0);
        let to = invite.get(Name::To).unwrap_or("").to_owned();
        let target = match invite.start() {
            fawnrouter_sip::Start::Request { uri, .. } => request_uri(uri, address),
            fawnrouter_sip::Start::Response { .. } => return,
        };
        let call_id = format!("{:08x}{:08x}@{host}", random, self.rng.next_u32());
        let hops = invite.get(Name::MaxForwards).and_then(|m| m.trim().parse::<u8>().ok()).unwrap_or(70);
        let mut draft = Draft::request(Method::Invite, &target);
        draft
            .field(Name::Via, &via)
            .field(Name::MaxForwards, &hops.saturating_sub(1).to_string())
            .field(Name::From, &from)
            .field(Name::To, &to)
            .field(Name::CallId, &call_id)
            .field(Name::CSeq, "1 INVITE")
            .field(Name::Contact, &format!("<sip:gateway@{host};transport=tcp>"))
            .field(Name::Expires, &(within.as_secs_f64().ceil().max(1.0) as u64).to_string())
            .field(Name::SessionId, &format!("{};remote={:032}", call.session, 0))
            .field(Name::Allow, ALLOW);
        for (name, raw, value) in invite.fields() {
            let passes = match name {
                Name::Subject | Name::Priority | Name::ResourcePriority | Name::UserAgent | Name::Accept => {
                    true
                }
                Name::Other => !OWN.iter().any(|own| raw.eq_ignore_ascii_case(own)),
                _ => false,
            };
            if passes {
                draft.named(raw, value);
            }
        }
        let bytes = draft.finish_with_body_of(invite);
        call.out = Some(leg_id);
        self.set_up_moved(id, CallState::AttemptSent);
        let leg = Leg {
            call: id,
            attempt,
            server,
            tx: InviteClient::default(),
            state: LegState::Out,
            sent: self.now,
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
        self.table.due.set(Key::Leg(leg_id), self.now.plus(within));
        self.counters.attempts += 1;
        self.word(id, || CallEvent::AttemptSent { attempt, server });
        self.send_to_trunk(server, bytes);
    }

    /// A request that belongs to a leg's INVITE: CANCEL (§9.1), or the ACK of a final response of 300 or more
    /// (§17.1.1.3). Both repeat its branch.
    fn same_transaction(leg: &Leg, method: Method, to: &str) -> Vec<u8> {
        Draft::request(method, &leg.uri)
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
            let (server, bytes) = (leg.server, Self::same_transaction(leg, Method::Cancel, &leg.to));
            self.send_to_trunk(server, bytes);
        }
    }

    fn own_via(&mut self) -> String {
        format!("SIP/2.0/TCP {};branch=z9hG4bKr{:016x}", self.settings.host, self.rng.next_u64())
    }

    /// Acknowledges the 2xx of a leg, with the body of the caller's ACK (an answer to a late offer, §13.2.2.4).
    pub(crate) fn ack_leg(&mut self, id: LegId, from_caller: Option<&Message>) {
        let via = self.own_via();
        let Some(leg) = self.table.legs.get_mut(&id) else { return };
        let (LegState::Standing { dialog, .. } | LegState::Releasing { dialog, .. }) = &mut leg.state else {
            return;
        };
        let mut draft = dialog.request(Method::Ack, &via);
        let bytes = match from_caller {
            Some(ack) => draft.finish_with_body_of(ack),
            None => draft.finish(b""),
        };
        leg.ack = Some(bytes.clone());
        let server = leg.server;
        self.send_to_trunk(server, bytes);
    }

    /// Releases a leg whose call has ended: BYE now, or when the connection is back.
    pub(crate) fn release_leg(&mut self, id: LegId) {
        let Some(leg) = self.table.legs.get_mut(&id) else { return };
        let state = std::mem::replace(&mut leg.state, LegState::GivenUp);
        let LegState::Standing { dialog, .. } = state else {
            leg.state = state;
            return;
        };
        leg.state = LegState::Releasing { dialog, unsent: true };
        self.table.due.set(Key::Leg(id), self.now.plus(ACK_WAIT));
        self.send_bye(id);
    }

    pub(crate) fn send_bye(&mut self, id: LegId) {
        let via = self.own_via();
        let up = self.table.legs.get(&id).is_some_and(|leg| self.table.is_up(leg.server));
        let Some(leg) = self.table.legs.get_mut(&id) else { return };
        let LegState::Releasing { dialog, unsent } = &mut leg.state else { return };
        if up && *unsent {
            *unsent = false;
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
        let method = Method::of(cseq.method);
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
        let fits = |leg: &&mut Leg| {
            leg.server == server
                && fawnrouter_sip::Via::parse(&leg.via).is_ok_and(|v| v.branch() == Some(branch))
        };
        let known = id.and_then(|id| self.table.legs.get_mut(&id).filter(fits).map(|leg| (id, leg)));
        let Some((id, leg)) = known else {
            // Guards against a 2xx that comes when its attempt has long been forgotten: the switch would hold the
            // call for ever. It could do harm only to a switch that answers what was never asked.
            if (200..300).contains(&status) {
                self.release_unknown(server, response);
            }
            return;
        };
        match leg.tx.on_response(status) {
            ClientStep::Provisional => {
                let (call, attempt, out) = (leg.call, leg.attempt, matches!(leg.state, LegState::Out));
                if let Some(report) = report {
                    let (took, ok) = (Duration::ZERO, true);
                    self.events.push_back(Event::Probed { server, ok, took, report });
                }
                if out && status > 100 {
                    self.provisional(call, status, Some((response, attempt.0)));
                }
            }
            ClientStep::CancelNow => self.send_cancel(id),
            ClientStep::Accepted => self.on_accepted(id, response),
            ClientStep::Unwanted => self.on_unwanted(id, response),
            ClientStep::Failed => self.on_failed(id, status, response, report),
            ClientStep::AckAgain => self.ack_again(id, status, response),
            ClientStep::Drop => {}
        }
    }

    fn on_accepted(&mut self, id: LegId, response: &Message) {
        let Some(leg) = self.table.legs.get_mut(&id) else { return };
        let (call, attempt, server, took) = (leg.call, leg.attempt, leg.server, self.now.since(leg.sent));
        let Ok(dialog) = Dialog::caller(response, &leg.uri, 1) else {
            // A 2xx that cannot be acknowledged, as its To or Contact cannot be read, sets nothing up.
            self.close_leg(id, Outcome::Error, false);
            return;
        };
        leg.state = LegState::Standing { dialog: Box::new(dialog), orphan: false, revived: false };
        self.table.due.clear(Key::Leg(id));
        self.events.push_back(Event::Established { call, attempt, server, took });
        if !self.stand(call, id, response, attempt.0) {
            self.ack_leg(id, None);
            self.release_leg(id);
        }
    }

    /// A 2xx that crossed the CANCEL or came after the time-out: acknowledged and released (§9.1).
    fn on_unwanted(&mut self, id: LegId, response: &Message) {
        let Some(leg) = self.table.legs.get_mut(&id) else { return };
        match Dialog::caller(response, &leg.uri, 1) {
            Ok(dialog) => {
                leg.state = LegState::Standing { dialog: Box::new(dialog), orphan: false, revived: false };
                self.ack_leg(id, None);
                self.release_leg(id);
            }
            Err(_) => drop(self.table.drop_leg(id)),
        }
    }

    fn release_unknown(&mut self, server: ServerId, response: &Message) {
        let uri =
            response.get(Name::To).and_then(|t| Address::parse(t).ok()).map_or("", |a| a.uri).to_owned();
        let number = response.cseq().map_or(1, |c| c.number);
        let Ok(mut dialog) = Dialog::caller(response, &uri, number) else { return };
        for method in [Method::Ack, Method::Bye] {
            let via = self.own_via();
            let bytes = dialog.request(method, &via).finish(b"");
            self.send_to_trunk(server, bytes);
        }
    }

    fn on_failed(&mut self, id: LegId, status: u16, response: &Message, report: Option<LoadReport>) {
        let Some(leg) = self.table.legs.get(&id) else { return };
        let ack = Self::same_transaction(leg, Method::Ack, response.get(Name::To).unwrap_or(&leg.to));
        let (call, attempt, server) = (leg.call, leg.attempt, leg.server);
        let (out, took) = (matches!(leg.state, LegState::Out), self.now.since(leg.sent));
        self.send_to_trunk(server, ack);
        self.table.drop_leg(id);
        if out {
            let status::ResponseMeaning { outcome, note, retryability: finality } =
                status::response_meaning(status, ResponseDetails::from_response(response));
            let done = finality == Retryability::Final;
            if let Some(call) = self.table.calls.get_mut(&call) {
                call.last = Some((status, note));
            }
            let report = report.unwrap_or_default();
            self.events.push_back(Event::Closed {
                call,
                attempt,
                server,
                done,
                outcome,
                detail: note,
                took,
                report,
            });
            self.word(call, || CallEvent::AttemptClosed { attempt, outcome });
            if done {
                self.pass_final(call, status);
            }
        }
        self.close_unused(server);
    }

    /// A final response again. A second 2xx of another dialog, as a forking switch sends, is released on its own.
    fn ack_again(&mut self, id: LegId, status: u16, response: &Message) {
        let Some(leg) = self.table.legs.get(&id) else { return };
        let server = leg.server;
        if status >= 300 {
            let ack = Self::same_transaction(leg, Method::Ack, response.get(Name::To).unwrap_or(&leg.to));
            self.send_to_trunk(server, ack);
            return;
        }
        let (LegState::Standing { dialog, .. } | LegState::Releasing { dialog, .. }) = &leg.state else {
            return;
        };
        if to_tag(response).unwrap_or("") != dialog.remote_tag {
            return self.release_unknown(server, response);
        }
        // Before the caller's ACK there is none to repeat: it will go out when that comes.
        if let Some(ack) = leg.ack.clone() {
            self.send_to_trunk(server, ack);
        }
    }

    fn on_bye_answer(&mut self, server: ServerId, response: &Message) {
        let tag = response.get(Name::From).and_then(|f| Address::parse(f).ok()).and_then(|a| a.tag());
        let id = tag.and_then(|t| self.leg_of_tag(t, server));
        let over = id.filter(|id| matches!(self.table.legs[id].state, LegState::Releasing { .. }));
        if let Some(id) = over {
            self.table.drop_leg(id);
            self.close_unused(server);
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
            let mut draft = Draft::answer(request, status, None, &tag, None);
            if matches!(status, 200 | 405) {
                draft.field(Name::Allow, ALLOW);
            }
            let bytes = draft.finish(b"");
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
                    LegState::Standing { dialog, .. } if dialog.matches(request) => {
                        if !dialog.accepts(number) {
                            return answer(self, 500);
                        }
                        answer(self, 200);
                        self.bye_caller(call, request.get(Name::Reason).unwrap_or("Q.850;cause=16"));
                        self.end_standing(call, id, Outcome::Ended);
                        self.table.drop_leg(id);
                        self.close_unused(server);
                    }
                    // The two BYEs crossed.
                    LegState::Releasing { dialog, .. } if dialog.matches(request) => answer(self, 200),
                    _ => answer(self, 481),
                }
            }
            (Method::Bye, None) => answer(self, 481),
            (Method::Options, _) => answer(self, 200),
            // A change of the session, or a call towards the callers: neither is passed on.
            (Method::Invite, Some(_)) => answer(self, 488),
            (Method::Invite, None) => answer(self, 403),
            (Method::Cancel, _) => answer(self, 481),
            _ => answer(self, 405),
        }
    }
}

/// The target at a switch: what was called, at its address. A tel URI becomes a sip one (RFC 3261 §19.1.6).
fn request_uri(target: &str, address: std::net::SocketAddr) -> String {
    match Uri::parse(target) {
        Ok(uri) if uri.tel => format!("sip:{}{}@{address};user=phone", uri.user, uri.params.0),
        Ok(uri) if !uri.user.is_empty() => format!("sip:{}@{address}{}", uri.user, uri.params.0),
        _ => format!("sip:{address}"),
    }
}
