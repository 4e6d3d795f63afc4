//! The list of core switches: questions, answers, changes.

use std::time::Duration;

use fawnrouter_node::Input;
use rand::Rng;

use super::World;
use crate::figures::Cause;
use crate::hollow::cost::Cost;
use crate::hollow::event::{Event, GatewayRun, ListAnswer};
use crate::hollow::recording::Step;
use crate::platform::ListedSwitch;

/// From a change to the name server's hearing of it: within the 1.5 s that the platform's page allows.
const NEWS_DELAY: Duration = Duration::from_millis(500);

impl World<'_> {
    pub(super) fn ask(&mut self, run: GatewayRun) {
        let time = self.time();
        let gateway = run.gateway;
        let meter = self.meter;
        let Some(process) = self.running(run) else { return };
        let id = process.ids.random();
        let (asked, cost) = meter.measure(|| process.ask.next_query(time, id));
        let bytes = asked.datagram.len();
        self.record(gateway, || Step::Ask(id));
        self.note_gateway(gateway, Cause::List, cost);
        self.note_gateway(gateway, Cause::List, Cost::sent(bytes));
        let (from, to) = (self.gateways[gateway].place, self.source.place);
        let event = Event::Question { from: run, datagram: asked.datagram };
        let arrives = self.send_datagram(from, to, bytes, event);
        if self.second().is_some() {
            let list = &mut self.outcome.list;
            list.queries += 1;
            list.query_bytes += bytes as u64;
            list.lost += u64::from(!arrives);
        }
        let next = asked.next_at.since(time);
        self.queue.put(self.now + next, Event::Ask(run));
    }

    pub(super) fn question(&mut self, from: GatewayRun, datagram: &[u8]) {
        let place = self.gateways[from.gateway].place;
        let list = &mut self.source.services[place.service as usize];
        let bytes = list.answer(datagram);
        let id = [datagram[0], datagram[1]];
        let answer = ListAnswer { id, serial: list.serial, bytes };
        let length = answer.bytes.len();
        if let Some(second) = self.second() {
            self.source.ledger.add(second, Cause::List, Cost::received(datagram.len()));
            self.source.ledger.add(second, Cause::List, Cost::sent(length));
        }
        let source = self.source.place;
        let arrives = self.send_datagram(source, place, length, Event::Answer { to: from, answer });
        if self.second().is_some() {
            self.outcome.list.lost += u64::from(!arrives);
        }
    }

    pub(super) fn answer(&mut self, to: GatewayRun, answer: &ListAnswer) {
        let meter = self.meter;
        let Some(process) = self.running(to) else { return };
        let mut datagram = answer.bytes.to_vec();
        datagram[..2].copy_from_slice(&answer.id);
        let changed = process.serial != answer.serial;
        let (read, mut cost) = meter.measure(|| process.ask.accept_response(&datagram));
        process.serial = answer.serial;
        self.record(to.gateway, || Step::Answer(datagram.clone()));
        self.note_gateway(to.gateway, Cause::List, cost);
        self.note_gateway(to.gateway, Cause::List, Cost::received(datagram.len()));
        self.gateways[to.gateway].answered = self.now;
        let readable = match read {
            Ok(list) => {
                cost.add(self.feed(to.gateway, Cause::List, Input::ListResponse(list)));
                true
            }
            Err(_) => false,
        };
        if self.second().is_none() {
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

    // ---- Changes ----------------------------------------------------------------------------------------------
    /// Something has changed in a service; the name server hears of it a little later.
    pub(super) fn list_changes(&mut self, service: usize) {
        self.queue.put(self.now + NEWS_DELAY, Event::ListNews { service });
    }

    pub(super) fn renew_list(&mut self, service: usize) {
        let switches = self.members[service].1.iter().map(|switch| &self.switches[*switch]);
        let rows: Vec<ListedSwitch> = switches.filter(|s| s.listed).map(|s| s.row.clone()).collect();
        self.source.services[service].renew(rows);
    }

    /// The first core switch of each service drains, or takes calls again.
    pub(super) fn change_lists(&mut self) {
        for service in 0..self.members.len() {
            if let Some(first) = self.members[service].1.first().copied() {
                let row = &mut self.switches[first].row;
                row.draining = !row.draining;
            }
            self.renew_list(service);
        }
        if let Some(every) = self.scenario.list_change_every {
            self.queue.put(self.now + every, Event::ListChange);
        }
    }
}
