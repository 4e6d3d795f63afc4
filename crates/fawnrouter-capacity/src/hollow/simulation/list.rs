//! The list of core switches: queries, responses and changes.

use std::time::Duration;

use fawnrouter_node::Input;
use rand::Rng;

use super::Simulation;
use crate::figures::Cause;
use crate::hollow::cost::Cost;
use crate::hollow::event::{EncodedListResponse, Event, GatewayIncarnation};
use crate::hollow::recording::Step;
use crate::platform::ListedSwitch;

/// Time from a change to the name server's update. The platform allows up to 1.5 s.
const LIST_UPDATE_DELAY: Duration = Duration::from_millis(500);

impl Simulation<'_> {
    pub(super) fn send_list_query(&mut self, incarnation: GatewayIncarnation) {
        let time = self.gateway_time();
        let gateway = incarnation.gateway;
        let meter = self.meter;
        let Some(process) = self.process_of(incarnation) else { return };
        let id = process.query_ids.random();
        let (query, cost) = meter.measure(|| process.list_queries.next_query(time, id));
        let bytes = query.datagram.len();
        self.record_step(gateway, || Step::ListQuery(id));
        self.record_gateway_cost(gateway, Cause::List, cost);
        self.record_gateway_cost(gateway, Cause::List, Cost::message_sent(bytes));
        let (from, to) = (self.gateways[gateway].location, self.name_server.location);
        let event = Event::ListQuery { from: incarnation, datagram: query.datagram };
        let arrives = self.send_datagram(from, to, bytes, event);
        if self.measured_second().is_some() {
            let list = &mut self.outcome.list;
            list.queries += 1;
            list.query_bytes += bytes as u64;
            list.lost += u64::from(!arrives);
        }
        let next = query.next_at.since(time);
        self.queue.schedule(self.now + next, Event::SendListQuery(incarnation));
    }

    pub(super) fn answer_list_query(&mut self, from: GatewayIncarnation, datagram: &[u8]) {
        let location = self.gateways[from.gateway].location;
        let list = &mut self.name_server.services[location.service as usize];
        let bytes = list.response(datagram);
        let id = [datagram[0], datagram[1]];
        let response = EncodedListResponse { id, serial: list.serial, bytes };
        let length = response.bytes.len();
        if let Some(second) = self.measured_second() {
            self.name_server.costs.add(second, Cause::List, Cost::message_received(datagram.len()));
            self.name_server.costs.add(second, Cause::List, Cost::message_sent(length));
        }
        let source = self.name_server.location;
        let arrives =
            self.send_datagram(source, location, length, Event::ListResponse { to: from, response });
        if self.measured_second().is_some() {
            self.outcome.list.lost += u64::from(!arrives);
        }
    }

    pub(super) fn receive_list_response(&mut self, to: GatewayIncarnation, response: &EncodedListResponse) {
        let meter = self.meter;
        let Some(process) = self.process_of(to) else { return };
        let mut datagram = response.bytes.to_vec();
        datagram[..2].copy_from_slice(&response.id);
        let changed = process.list_serial != response.serial;
        let (read, mut cost) = meter.measure(|| process.list_queries.accept_response(&datagram));
        process.list_serial = response.serial;
        self.record_step(to.gateway, || Step::ListResponse(datagram.clone()));
        self.record_gateway_cost(to.gateway, Cause::List, cost);
        self.record_gateway_cost(to.gateway, Cause::List, Cost::message_received(datagram.len()));
        self.gateways[to.gateway].last_list_response = self.now;
        let readable = match read {
            Ok(list) => {
                cost.add(self.deliver_input(to.gateway, Cause::List, Input::ListResponse(list)));
                true
            }
            Err(_) => false,
        };
        if self.measured_second().is_none() {
            return;
        }
        let list = &mut self.outcome.list;
        list.responses += 1;
        list.response_bytes += datagram.len() as u64;
        list.unreadable += u64::from(!readable);
        list.changed += u64::from(changed);
        let sum = if changed { &mut list.changed_cost } else { &mut list.unchanged_cost };
        sum.add(cost);
    }

    // ---- Changes
    /// Schedules an update of a service's list at the name server after a change.
    pub(super) fn schedule_list_update(&mut self, service: usize) {
        self.queue.schedule(self.now + LIST_UPDATE_DELAY, Event::ListUpdate { service });
    }

    pub(super) fn refresh_list(&mut self, service: usize) {
        let switches = self.services[service].switches.iter().map(|switch| &self.switches[*switch]);
        let rows: Vec<ListedSwitch> = switches.filter(|s| s.listed).map(|s| s.row.clone()).collect();
        self.name_server.services[service].replace(rows);
    }

    /// Switches the first core switch of each service between draining and ready.
    pub(super) fn toggle_first_switches(&mut self) {
        for service in 0..self.services.len() {
            if let Some(first) = self.services[service].switches.first().copied() {
                let row = &mut self.switches[first].row;
                row.draining = !row.draining;
            }
            self.refresh_list(service);
        }
        if let Some(every) = self.scenario.list_change_every {
            self.queue.schedule(self.now + every, Event::PeriodicListChange);
        }
    }
}
