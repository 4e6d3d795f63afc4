//! Simulated core switches: they accept connections, answer set-ups and tests, and release calls.

use fawnrouter_jsonl::{Message, Verb};
use fawnrouter_node::LinkEnd;

use super::{Simulation, Traffic};
use crate::figures::Cause;
use crate::hollow::cost::Cost;
use crate::hollow::event::{ConnectionId, Event};
use crate::hollow::members::{SwitchCall, SwitchState, cause_of_verb};
use crate::plan::{passed_test_answer, switch_answer, switch_release};

impl Simulation<'_> {
    pub(super) fn accept_connection(&mut self, connection: ConnectionId) {
        let Some(record) = self.connections.get(&connection) else { return };
        let (gateway, switch) = (record.gateway.gateway, record.switch);
        let (from, to) = (self.switches[switch].location, self.gateways[gateway].location);
        match self.switches[switch].state {
            SwitchState::Silent => {}
            SwitchState::Refusing => {
                let end = Event::ConnectionEnded { connection, end: LinkEnd::Refused };
                self.transmit(from, to, None, end);
            }
            SwitchState::Up => {
                if let Some(record) = self.connections.get_mut(&connection) {
                    record.open_at_switch = true;
                }
                self.switches[switch].connections.insert((gateway, connection));
                self.record_switch_cost(switch, Cause::Connections, Cost::connection_opened());
                self.transmit(from, to, None, Event::ConnectionUp { connection });
                self.resend_releases(switch, gateway, connection);
            }
        }
    }

    /// Sends the releases that a gateway has not confirmed again on its next connection.
    fn resend_releases(&mut self, switch: usize, gateway: usize, connection: ConnectionId) {
        let of_gateway = (gateway, u64::MIN)..=(gateway, u64::MAX);
        let tags: Vec<u64> =
            self.switches[switch].unconfirmed_releases.range(of_gateway).map(|(_, tag)| *tag).collect();
        for tag in tags {
            self.send_from_switch(connection, &switch_release(tag));
        }
    }

    pub(super) fn close_reaches_switch(&mut self, connection: ConnectionId) {
        let Some(record) = self.connections.remove(&connection) else { return };
        let switch = &mut self.switches[record.switch];
        switch.connections.remove(&(record.gateway.gateway, connection));
        // The platform requires that closing a connection cancels every open set-up on it.
        for tag in record.set_ups {
            switch.calls.remove(&tag);
        }
    }

    pub(super) fn line_to_switch(&mut self, connection: ConnectionId, message: &Message, bytes: usize) {
        let Some(record) = self.connections.get(&connection) else { return };
        let (gateway, switch) = (record.gateway.gateway, record.switch);
        let (from, to) = (self.switches[switch].location, self.gateways[gateway].location);
        if self.switches[switch].state == SwitchState::Silent {
            return;
        }
        if !record.open_at_switch {
            let end = Event::ConnectionEnded { connection, end: LinkEnd::Broken };
            return self.transmit(from, to, None, end);
        }
        self.record_switch_cost(switch, cause_of_verb(message.verb), Cost::message_received(bytes));
        let tag = message.tag.0;
        match message.verb {
            Verb::Start => self.receive_set_up(switch, connection, tag),
            Verb::Finish => {
                self.remove_open_set_up(connection, tag);
                self.switches[switch].calls.remove(&tag);
            }
            Verb::Finished => {
                self.switches[switch].unconfirmed_releases.remove(&(gateway, tag));
            }
            Verb::Echo => self.send_from_switch(connection, &passed_test_answer(tag)),
            _ => {}
        }
    }

    fn receive_set_up(&mut self, switch: usize, connection: ConnectionId, tag: u64) {
        if self.switches[switch].calls.contains_key(&tag) {
            self.outcome.calls.set_up_twice += 1;
            return;
        }
        self.switches[switch].calls.insert(tag, SwitchCall { connection, established: false });
        if let Some(record) = self.connections.get_mut(&connection) {
            record.set_ups.insert(tag);
        }
        let epoch = self.switches[switch].epoch;
        let answers = self.now + self.scenario.traffic.answer_delay;
        self.queue.schedule(answers, Event::SwitchAnswersSetUp { switch, epoch, tag });
    }

    fn remove_open_set_up(&mut self, connection: ConnectionId, tag: u64) {
        if let Some(record) = self.connections.get_mut(&connection) {
            record.set_ups.remove(&tag);
        }
    }

    pub(super) fn answer_set_up(&mut self, switch: usize, epoch: u32, tag: u64) {
        if self.switches[switch].epoch != epoch {
            return;
        }
        let Some(call) = self.switches[switch].calls.get_mut(&tag).filter(|call| !call.established) else {
            return;
        };
        call.established = true;
        let connection = call.connection;
        self.remove_open_set_up(connection, tag);
        self.send_from_switch(connection, &switch_answer(tag));
        if let Some(call) = self.callers.calls.get_mut(&tag) {
            call.switch = Some(switch);
        }
        let ends = self.now + self.scenario.traffic.hold;
        self.queue.schedule(ends, Event::SwitchReleasesCall { switch, epoch, tag });
    }

    /// Releases a call towards the gateway that its caller uses now: on the connection of its set-up if that
    /// is open and leads to this gateway, else on any open connection, else on the next one.
    pub(super) fn release_call(&mut self, switch: usize, epoch: u32, tag: u64) {
        if self.switches[switch].epoch != epoch {
            return;
        }
        let Some(call) = self.switches[switch].calls.remove(&tag) else { return };
        let set_up_on = self.connections.get(&call.connection).filter(|record| record.open_at_switch);
        let set_up_on = set_up_on.map(|record| record.gateway.gateway);
        let caller_at = self.callers.calls.get(&tag).map(|call| call.gateway);
        let Some(gateway) = caller_at.or(set_up_on) else { return };
        self.switches[switch].unconfirmed_releases.insert((gateway, tag));
        let connection = if set_up_on == Some(gateway) {
            Some(call.connection)
        } else {
            self.switches[switch].connection_from(gateway)
        };
        if let Some(connection) = connection {
            self.send_from_switch(connection, &switch_release(tag));
        }
    }

    /// Sends a release that the caller's last gateway has not confirmed to its new gateway.
    pub(super) fn move_release(&mut self, switch: usize, tag: u64, from: usize, to: usize) {
        if from == to || !self.switches[switch].unconfirmed_releases.remove(&(from, tag)) {
            return;
        }
        self.switches[switch].unconfirmed_releases.insert((to, tag));
        if let Some(connection) = self.switches[switch].connection_from(to) {
            self.send_from_switch(connection, &switch_release(tag));
        }
    }

    fn send_from_switch(&mut self, connection: ConnectionId, message: &Message) {
        let Some(record) = self.connections.get(&connection).filter(|r| r.open_at_switch) else { return };
        let (gateway, switch) = (record.gateway.gateway, record.switch);
        let mut line = Vec::new();
        message.encode(&mut line);
        let cause = cause_of_verb(message.verb);
        self.record_switch_cost(switch, cause, Cost::message_sent(line.len()));
        let (from, to) = (self.switches[switch].location, self.gateways[gateway].location);
        let traffic = Traffic { cause, bytes: line.len() };
        self.transmit(from, to, Some(traffic), Event::LineToGateway { connection, line });
    }
}
