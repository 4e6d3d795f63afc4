//! Stand-in core switches: they take connections, answer set-ups and tests, and release calls.

use fawnrouter_jsonl::{Message, Verb};
use fawnrouter_node::LinkEnd;

use super::{Load, World};
use crate::figures::Cause;
use crate::hollow::cost::Cost;
use crate::hollow::event::{ConnectionId, Event};
use crate::hollow::members::{SwitchCall, SwitchState, cause_of};
use crate::plan::{passed_test_answer, switch_answer, switch_release};

impl World<'_> {
    pub(super) fn dial(&mut self, connection: ConnectionId) {
        let Some(record) = self.connections.get(&connection) else { return };
        let (gateway, switch) = (record.gateway.gateway, record.switch);
        let (here, there) = (self.switches[switch].place, self.gateways[gateway].place);
        match self.switches[switch].state {
            SwitchState::Silent => {}
            SwitchState::Refusing => {
                let end = Event::ConnectionEnd { connection, end: LinkEnd::Refused };
                self.transmit(here, there, None, end);
            }
            SwitchState::Up => {
                if let Some(record) = self.connections.get_mut(&connection) {
                    record.open_at_switch = true;
                }
                self.switches[switch].connections.insert((gateway, connection));
                self.note_switch(switch, Cause::Connections, Cost::connected());
                self.transmit(here, there, None, Event::DialUp { connection });
                self.say_again(switch, gateway, connection);
            }
        }
    }

    /// Releases that a gateway has not confirmed are sent again on its next connection.
    fn say_again(&mut self, switch: usize, gateway: usize, connection: ConnectionId) {
        let of_gateway = (gateway, u64::MIN)..=(gateway, u64::MAX);
        let tags: Vec<u64> = self.switches[switch].unheard.range(of_gateway).map(|(_, tag)| *tag).collect();
        for tag in tags {
            self.write_from_switch(connection, &switch_release(tag));
        }
    }

    pub(super) fn close_at_switch(&mut self, connection: ConnectionId) {
        let Some(record) = self.connections.remove(&connection) else { return };
        let switch = &mut self.switches[record.switch];
        switch.connections.remove(&(record.gateway.gateway, connection));
        // "Closing a connection gives up every set-up open on it."
        for tag in record.set_ups {
            switch.calls.remove(&tag);
        }
    }

    pub(super) fn line_to_switch(&mut self, connection: ConnectionId, message: &Message, bytes: usize) {
        let Some(record) = self.connections.get(&connection) else { return };
        let (gateway, switch) = (record.gateway.gateway, record.switch);
        let (here, there) = (self.switches[switch].place, self.gateways[gateway].place);
        if self.switches[switch].state == SwitchState::Silent {
            return;
        }
        if !record.open_at_switch {
            let end = Event::ConnectionEnd { connection, end: LinkEnd::Broken };
            return self.transmit(here, there, None, end);
        }
        self.note_switch(switch, cause_of(message.verb), Cost::received(bytes));
        let tag = message.tag.0;
        match message.verb {
            Verb::Start => self.set_up_at_switch(switch, connection, tag),
            Verb::Finish => {
                self.forget_set_up(connection, tag);
                self.switches[switch].calls.remove(&tag);
            }
            Verb::Finished => {
                self.switches[switch].unheard.remove(&(gateway, tag));
            }
            Verb::Echo => self.write_from_switch(connection, &passed_test_answer(tag)),
            _ => {}
        }
    }

    fn set_up_at_switch(&mut self, switch: usize, connection: ConnectionId, tag: u64) {
        if self.switches[switch].calls.contains_key(&tag) {
            self.outcome.calls.set_up_twice += 1;
            return;
        }
        self.switches[switch].calls.insert(tag, SwitchCall { connection, stands: false });
        if let Some(record) = self.connections.get_mut(&connection) {
            record.set_ups.insert(tag);
        }
        let epoch = self.switches[switch].epoch;
        let answers = self.now + self.scenario.traffic.answer_delay;
        self.queue.put(answers, Event::SwitchAnswers { switch, epoch, tag });
    }

    fn forget_set_up(&mut self, connection: ConnectionId, tag: u64) {
        if let Some(record) = self.connections.get_mut(&connection) {
            record.set_ups.remove(&tag);
        }
    }

    pub(super) fn switch_answers(&mut self, switch: usize, epoch: u32, tag: u64) {
        if self.switches[switch].epoch != epoch {
            return;
        }
        let Some(call) = self.switches[switch].calls.get_mut(&tag).filter(|call| !call.stands) else {
            return;
        };
        call.stands = true;
        let connection = call.connection;
        self.forget_set_up(connection, tag);
        self.write_from_switch(connection, &switch_answer(tag));
        if let Some(call) = self.callers.calls.get_mut(&tag) {
            call.switch = Some(switch);
        }
        let ends = self.now + self.scenario.traffic.hold;
        self.queue.put(ends, Event::CallEnds { switch, epoch, tag });
    }

    /// Releases a call towards the gateway that its caller uses now, on the connection of its set-up if that is this
    /// gateway's and open, else on any open one, else on the next.
    pub(super) fn call_ends(&mut self, switch: usize, epoch: u32, tag: u64) {
        if self.switches[switch].epoch != epoch {
            return;
        }
        let Some(call) = self.switches[switch].calls.remove(&tag) else { return };
        let set_up_on = self.connections.get(&call.connection).filter(|record| record.open_at_switch);
        let set_up_on = set_up_on.map(|record| record.gateway.gateway);
        let caller_at = self.callers.calls.get(&tag).map(|call| call.gateway);
        let Some(gateway) = caller_at.or(set_up_on) else { return };
        self.switches[switch].unheard.insert((gateway, tag));
        let connection = if set_up_on == Some(gateway) {
            Some(call.connection)
        } else {
            self.switches[switch].connection_of(gateway)
        };
        if let Some(connection) = connection {
            self.write_from_switch(connection, &switch_release(tag));
        }
    }

    /// A release that the caller's last gateway has not confirmed goes to its new one as well.
    pub(super) fn release_again(&mut self, switch: usize, tag: u64, from: usize, to: usize) {
        if from == to || !self.switches[switch].unheard.remove(&(from, tag)) {
            return;
        }
        self.switches[switch].unheard.insert((to, tag));
        if let Some(connection) = self.switches[switch].connection_of(to) {
            self.write_from_switch(connection, &switch_release(tag));
        }
    }

    fn write_from_switch(&mut self, connection: ConnectionId, message: &Message) {
        let Some(record) = self.connections.get(&connection).filter(|r| r.open_at_switch) else { return };
        let (gateway, switch) = (record.gateway.gateway, record.switch);
        let mut line = Vec::new();
        message.encode(&mut line);
        let cause = cause_of(message.verb);
        self.note_switch(switch, cause, Cost::sent(line.len()));
        let (from, to) = (self.switches[switch].place, self.gateways[gateway].place);
        let load = Load { cause, bytes: line.len() };
        self.transmit(from, to, Some(load), Event::LineToGateway { connection, line });
    }
}
