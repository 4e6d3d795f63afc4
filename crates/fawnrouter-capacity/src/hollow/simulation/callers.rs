//! Callers: each planned call is one set-up; who loses a gateway turns to another of the same service.

use std::time::Duration;

use fawnrouter_jsonl::{Decoder, Message, Tag, Verb};
use fawnrouter_node::{ClientId, Input};

use super::{CALLER_DELAY, World};
use crate::figures::Cause;
use crate::hollow::cost::Cost;
use crate::hollow::event::{Event, GatewayRun};
use crate::hollow::members::{CallerCall, CallerState, cause_of};
use crate::hollow::recording::Step;
use crate::plan::{CALLER_TIMEOUT, CAUSE_NORMAL_CLEARING, existing_call_notice};

/// Who finds no gateway looks again after this time.
const LOOK_AGAIN: Duration = Duration::from_millis(200);
/// Calls that stood at a gateway which is gone are told to others within this time.
const RETELL_SPREAD_MS: u64 = 1000;
/// Causes that say refused: trying again is harmless.
const REFUSALS: [i64; 3] = [34, 42, 102];

impl World<'_> {
    /// Puts the planned call of this place in, if there is one.
    pub(super) fn put_call(&mut self, planned: usize) {
        if let Some(call) = self.calls.get(planned) {
            let at = self.planned(call.at);
            self.queue.put(at, Event::Call { planned, until: at + CALLER_TIMEOUT });
        }
    }

    pub(super) fn call(&mut self, planned: usize, until: Duration) {
        let call = self.calls[planned];
        if self.now + CALLER_TIMEOUT == until {
            self.outcome.calls.attempted += 1;
            self.put_call(planned + 1);
        }
        if self.now >= until {
            self.outcome.calls.no_gateway += 1;
            return;
        }
        let Some(gateway) = self.gateway_for(call.gateway as usize) else {
            self.queue.put(self.now + LOOK_AGAIN, Event::Call { planned, until });
            return;
        };
        let client = self.client_of(gateway, call.tag);
        let deadline = self.now + CALLER_TIMEOUT;
        let state = CallerState::Answer(deadline);
        self.callers.calls.insert(call.tag, CallerCall { planned, gateway, client, state, switch: None });
        self.outcome.measured_calls += u64::from(self.second().is_some());
        let service = self.gateways[gateway].place.service as usize;
        let cells = self.members[service].1.len() as u32;
        self.write_from_caller(gateway, client, &call.set_up_message(cells));
        self.queue.put(deadline, Event::CallerWaitOver { tag: call.tag });
    }

    /// The gateway that is called, or the next of its service that takes calls, or one on its way out.
    fn gateway_for(&self, wanted: usize) -> Option<usize> {
        let members = &self.members[self.gateways[wanted].place.service as usize].0;
        let from = members.iter().position(|member| *member == wanted)?;
        let in_order = || members[from..].iter().chain(&members[..from]).copied();
        let takes = in_order().find(|member| self.gateways[*member].takes_calls());
        takes.or_else(|| in_order().find(|member| self.gateways[*member].process.is_some()))
    }

    /// The connection that a call uses.
    fn client_of(&mut self, gateway: usize, tag: u64) -> ClientId {
        let place = (tag % u64::from(self.scenario.caller_connections)) as u32;
        if let Some(client) = self.callers.connections.get(&(gateway, place)) {
            return *client;
        }
        self.callers.next_client += 1;
        let client = ClientId(self.callers.next_client);
        self.callers.connections.insert((gateway, place), client);
        let to = self.run_of(gateway);
        self.queue.put(self.now + CALLER_DELAY, Event::ClientUp { to, client });
        client
    }

    fn write_from_caller(&mut self, gateway: usize, client: ClientId, message: &Message) {
        let mut line = Vec::new();
        message.encode(&mut line);
        let to = self.run_of(gateway);
        let event = Event::ClientLine { to, client, tag: message.tag.0, line };
        self.queue.put(self.now + CALLER_DELAY, event);
    }

    pub(super) fn client_up(&mut self, to: GatewayRun, client: ClientId) {
        let Some(process) = self.running(to) else { return };
        process.clients.insert(client, Decoder::new());
        self.note_gateway(to.gateway, Cause::Connections, Cost::connected());
        self.feed(to.gateway, Cause::Connections, Input::ClientConnected { client });
    }

    pub(super) fn client_line(&mut self, to: GatewayRun, client: ClientId, tag: u64, line: &[u8]) {
        if !self.running(to).is_some_and(|process| process.clients.contains_key(&client)) {
            return self.crossed_a_close(tag);
        }
        self.record(to.gateway, || Step::ClientLine(client, line.to_vec()));
        let read = self.decode(to.gateway, line, |process| process.clients.get_mut(&client));
        let Some(read) = read else { return };
        match read {
            Ok(message) => {
                if self.second().is_some() {
                    self.outcome.from_callers.add(message.verb, line.len());
                }
                let cause = cause_of(message.verb);
                self.feed(to.gateway, cause, Input::ClientMessage { client, message });
            }
            Err(fault) => {
                self.feed(to.gateway, Cause::Calls, Input::ClientDecodeError { client, error: fault });
            }
        }
    }

    /// "A set-up that crosses such a close is sent once more, on a new connection."
    fn crossed_a_close(&mut self, tag: u64) {
        let Some(call) = self.callers.calls.get(&tag).copied() else { return };
        match call.state {
            CallerState::Answer(deadline) => {
                self.callers.calls.remove(&tag);
                let event = Event::Call { planned: call.planned, until: deadline };
                self.queue.put(self.now, event);
            }
            CallerState::Release => self.queue.put(self.now, Event::Retell { tag }),
        }
    }

    pub(super) fn line_to_caller(&mut self, from: GatewayRun, message: &Message) {
        let tag = message.tag.0;
        let call = self.callers.calls.get_mut(&tag).filter(|call| call.gateway == from.gateway);
        let Some(call) = call else {
            self.outcome.calls.unexpected_lines +=
                u64::from(matches!(message.verb, Verb::Started | Verb::Finish));
            return;
        };
        let counts = &mut self.outcome.calls;
        match (message.verb, call.state) {
            (Verb::Started, CallerState::Answer(_)) => {
                call.state = CallerState::Release;
                counts.established += 1;
            }
            (Verb::Started, CallerState::Release) => counts.answered_twice += 1,
            (Verb::Finish, state) => {
                match state {
                    CallerState::Release => counts.released += 1,
                    CallerState::Answer(_) if message.rc.is_some_and(|rc| REFUSALS.contains(&rc)) => {
                        counts.refused += 1;
                    }
                    CallerState::Answer(_) => counts.failed += 1,
                }
                self.callers.calls.remove(&tag);
            }
            _ => {}
        }
    }

    pub(super) fn caller_wait_over(&mut self, tag: u64) {
        let Some(call) = self.callers.calls.get(&tag).copied() else { return };
        let CallerState::Answer(deadline) = call.state else { return };
        if self.now < deadline {
            return;
        }
        self.outcome.calls.unanswered += 1;
        self.callers.calls.remove(&tag);
        let given_up = Message::new(Verb::Finish, Tag(tag)).with_cause(CAUSE_NORMAL_CLEARING);
        self.write_from_caller(call.gateway, call.client, &given_up);
    }

    // ---- A gateway is gone ------------------------------------------------------------------------------------
    /// Set-ups at a gateway are broken with it; calls that stand are told to others.
    pub(super) fn callers_lose(&mut self, gateway: usize) {
        self.callers.lose_gateway(gateway);
        let at_gateway = self.callers.calls.iter().filter(|(_, call)| call.gateway == gateway);
        let lost: Vec<(u64, CallerState)> = at_gateway.map(|(tag, call)| (*tag, call.state)).collect();
        for (tag, state) in lost {
            match state {
                CallerState::Answer(_) => {
                    self.callers.calls.remove(&tag);
                    self.outcome.calls.gateway_lost += 1;
                }
                CallerState::Release => {
                    let after = Duration::from_millis(1 + tag % RETELL_SPREAD_MS);
                    self.queue.put(self.now + after, Event::Retell { tag });
                }
            }
        }
    }

    pub(super) fn retell(&mut self, tag: u64) {
        let Some(call) = self.callers.calls.get(&tag).copied() else { return };
        let (CallerState::Release, Some(switch)) = (call.state, call.switch) else { return };
        let planned = self.calls[call.planned].gateway as usize;
        let Some(gateway) = self.gateway_for(planned).filter(|found| self.gateways[*found].takes_calls())
        else {
            self.queue.put(self.now + LOOK_AGAIN, Event::Retell { tag });
            return;
        };
        let client = self.client_of(gateway, tag);
        if let Some(call) = self.callers.calls.get_mut(&tag) {
            (call.gateway, call.client) = (gateway, client);
        }
        let line = existing_call_notice(tag, &self.switches[switch].row.id);
        self.write_from_caller(gateway, client, &line);
        self.release_again(switch, tag, call.gateway, gateway);
    }
}
