//! Callers: each planned call is one set-up. Callers that lose their gateway use another one of the same
//! service.

use std::time::Duration;

use fawnrouter_jsonl::{Decoder, Message, Tag, Verb};
use fawnrouter_node::{ClientId, Input};

use super::{CALLER_DELAY, Simulation};
use crate::figures::Cause;
use crate::hollow::cost::Cost;
use crate::hollow::event::{Event, GatewayIncarnation};
use crate::hollow::members::{CallerCall, CallerState, cause_of_verb};
use crate::hollow::recording::Step;
use crate::plan::{CALLER_TIMEOUT, CAUSE_NORMAL_CLEARING, existing_call_notice};

/// A caller that finds no gateway tries again after this time.
const GATEWAY_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Callers of a gateway that is gone report their established calls to other gateways, spread over this time.
const REPORT_SPREAD_MS: u64 = 1000;
/// Causes that mean refusal, after which another attempt does no harm: no circuit available, switching
/// congestion, timer expired.
const REFUSAL_CAUSES: [i64; 3] = [34, 42, 102];

impl Simulation<'_> {
    /// Schedules the set-up of the planned call with this index, if there is one.
    pub(super) fn schedule_call(&mut self, planned: usize) {
        if let Some(call) = self.calls.get(planned) {
            let at = self.scenario_time(call.at);
            self.queue.schedule(at, Event::SendSetUp { planned, until: at + CALLER_TIMEOUT });
        }
    }

    pub(super) fn send_set_up(&mut self, planned: usize, until: Duration) {
        let call = self.calls[planned];
        if self.now + CALLER_TIMEOUT == until {
            self.outcome.calls.attempted += 1;
            self.schedule_call(planned + 1);
        }
        if self.now >= until {
            self.outcome.calls.no_gateway += 1;
            return;
        }
        let Some(gateway) = self.choose_gateway(call.gateway as usize) else {
            self.queue.schedule(self.now + GATEWAY_RETRY_DELAY, Event::SendSetUp { planned, until });
            return;
        };
        let client = self.connection_for_call(gateway, call.tag);
        let deadline = self.now + CALLER_TIMEOUT;
        let state = CallerState::AwaitingAnswer(deadline);
        self.callers
            .calls
            .insert(call.tag, CallerCall { planned_call: planned, gateway, client, state, switch: None });
        self.outcome.measured_calls += u64::from(self.measured_second().is_some());
        let service = self.gateways[gateway].location.service as usize;
        let cells = self.services[service].switches.len() as u32;
        self.send_from_caller(gateway, client, &call.set_up_message(cells));
        self.queue.schedule(deadline, Event::CallerTimeout { tag: call.tag });
    }

    /// The preferred gateway, else the next of its service that accepts calls, else one that is stopping.
    fn choose_gateway(&self, preferred: usize) -> Option<usize> {
        let members = &self.services[self.gateways[preferred].location.service as usize].gateways;
        let from = members.iter().position(|member| *member == preferred)?;
        let in_order = || members[from..].iter().chain(&members[..from]).copied();
        let accepting = in_order().find(|member| self.gateways[*member].accepts_calls());
        accepting.or_else(|| in_order().find(|member| self.gateways[*member].process.is_some()))
    }

    /// The connection for a call. Opens it if needed.
    fn connection_for_call(&mut self, gateway: usize, tag: u64) -> ClientId {
        let index = (tag % u64::from(self.scenario.caller_connections)) as u32;
        if let Some(client) = self.callers.connections.get(&(gateway, index)) {
            return *client;
        }
        self.callers.next_client += 1;
        let client = ClientId(self.callers.next_client);
        self.callers.connections.insert((gateway, index), client);
        let to = self.incarnation_of(gateway);
        self.queue.schedule(self.now + CALLER_DELAY, Event::ClientConnected { to, client });
        client
    }

    fn send_from_caller(&mut self, gateway: usize, client: ClientId, message: &Message) {
        let mut line = Vec::new();
        message.encode(&mut line);
        let to = self.incarnation_of(gateway);
        let event = Event::LineFromCaller { to, client, tag: message.tag.0, line };
        self.queue.schedule(self.now + CALLER_DELAY, event);
    }

    pub(super) fn client_connected(&mut self, to: GatewayIncarnation, client: ClientId) {
        let Some(process) = self.process_of(to) else { return };
        process.clients.insert(client, Decoder::new());
        self.record_gateway_cost(to.gateway, Cause::Connections, Cost::connection_opened());
        self.deliver_input(to.gateway, Cause::Connections, Input::ClientConnected { client });
    }

    pub(super) fn line_from_caller(
        &mut self,
        to: GatewayIncarnation,
        client: ClientId,
        tag: u64,
        line: &[u8],
    ) {
        if !self.process_of(to).is_some_and(|process| process.clients.contains_key(&client)) {
            return self.resend_after_close(tag);
        }
        self.record_step(to.gateway, || Step::ClientLine(client, line.to_vec()));
        let read = self.decode(to.gateway, line, |process| process.clients.get_mut(&client));
        let Some(read) = read else { return };
        match read {
            Ok(message) => {
                if self.measured_second().is_some() {
                    self.outcome.from_callers.add(message.verb, line.len());
                }
                let cause = cause_of_verb(message.verb);
                self.deliver_input(to.gateway, cause, Input::ClientMessage { client, message });
            }
            Err(error) => {
                self.deliver_input(to.gateway, Cause::Calls, Input::ClientDecodeError { client, error });
            }
        }
    }

    /// The platform requires that a set-up that crosses a close is sent once more, on a new connection.
    fn resend_after_close(&mut self, tag: u64) {
        let Some(call) = self.callers.calls.get(&tag).copied() else { return };
        match call.state {
            CallerState::AwaitingAnswer(deadline) => {
                self.callers.calls.remove(&tag);
                let event = Event::SendSetUp { planned: call.planned_call, until: deadline };
                self.queue.schedule(self.now, event);
            }
            CallerState::Established => self.queue.schedule(self.now, Event::ReportEstablishedCall { tag }),
        }
    }

    pub(super) fn line_to_caller(&mut self, from: GatewayIncarnation, message: &Message) {
        let tag = message.tag.0;
        let call = self.callers.calls.get_mut(&tag).filter(|call| call.gateway == from.gateway);
        let Some(call) = call else {
            self.outcome.calls.unexpected_lines +=
                u64::from(matches!(message.verb, Verb::Started | Verb::Finish));
            return;
        };
        let counts = &mut self.outcome.calls;
        match (message.verb, call.state) {
            (Verb::Started, CallerState::AwaitingAnswer(_)) => {
                call.state = CallerState::Established;
                counts.established += 1;
            }
            (Verb::Started, CallerState::Established) => counts.answered_twice += 1,
            (Verb::Finish, state) => {
                match state {
                    CallerState::Established => counts.released += 1,
                    CallerState::AwaitingAnswer(_)
                        if message.rc.is_some_and(|rc| REFUSAL_CAUSES.contains(&rc)) =>
                    {
                        counts.refused += 1;
                    }
                    CallerState::AwaitingAnswer(_) => counts.failed += 1,
                }
                self.callers.calls.remove(&tag);
            }
            _ => {}
        }
    }

    pub(super) fn caller_timeout(&mut self, tag: u64) {
        let Some(call) = self.callers.calls.get(&tag).copied() else { return };
        let CallerState::AwaitingAnswer(deadline) = call.state else { return };
        if self.now < deadline {
            return;
        }
        self.outcome.calls.unanswered += 1;
        self.callers.calls.remove(&tag);
        let abandon = Message::new(Verb::Finish, Tag(tag)).with_cause(CAUSE_NORMAL_CLEARING);
        self.send_from_caller(call.gateway, call.client, &abandon);
    }

    // ---- Loss of a gateway
    /// Set-ups at a lost gateway fail with it; its established calls are reported to other gateways.
    pub(super) fn callers_lose_gateway(&mut self, gateway: usize) {
        self.callers.drop_gateway_connections(gateway);
        let at_gateway = self.callers.calls.iter().filter(|(_, call)| call.gateway == gateway);
        let lost: Vec<(u64, CallerState)> = at_gateway.map(|(tag, call)| (*tag, call.state)).collect();
        for (tag, state) in lost {
            match state {
                CallerState::AwaitingAnswer(_) => {
                    self.callers.calls.remove(&tag);
                    self.outcome.calls.gateway_lost += 1;
                }
                CallerState::Established => {
                    let after = Duration::from_millis(1 + tag % REPORT_SPREAD_MS);
                    self.queue.schedule(self.now + after, Event::ReportEstablishedCall { tag });
                }
            }
        }
    }

    pub(super) fn report_established_call(&mut self, tag: u64) {
        let Some(call) = self.callers.calls.get(&tag).copied() else { return };
        let (CallerState::Established, Some(switch)) = (call.state, call.switch) else { return };
        let preferred = self.calls[call.planned_call].gateway as usize;
        let Some(gateway) =
            self.choose_gateway(preferred).filter(|found| self.gateways[*found].accepts_calls())
        else {
            self.queue.schedule(self.now + GATEWAY_RETRY_DELAY, Event::ReportEstablishedCall { tag });
            return;
        };
        let client = self.connection_for_call(gateway, tag);
        if let Some(call) = self.callers.calls.get_mut(&tag) {
            (call.gateway, call.client) = (gateway, client);
        }
        let line = existing_call_notice(tag, &self.switches[switch].row.id);
        self.send_from_caller(gateway, client, &line);
        self.move_release(switch, tag, call.gateway, gateway);
    }
}
