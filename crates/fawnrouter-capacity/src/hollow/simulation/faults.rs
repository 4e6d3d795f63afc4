//! Faults: what vanishes, stops and comes back.

use std::collections::BTreeSet;

use fawnrouter_node::LinkEnd;

use super::{UNIX_START, World};
use crate::hollow::event::{ConnectionId, Event};
use crate::hollow::members::SwitchState;
use crate::hollow::scenario::Location;
use crate::plan::Fault;

/// The rack of a zone that vanishes.
const FIRST_RACK: u32 = 0;

impl World<'_> {
    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::SwitchGone(switch) => self.switches_vanish(&[switch as usize]),
            Fault::SwitchDraining(switch) => self.switch_drains(switch as usize),
            Fault::SwitchStopped(switch) => self.switch_stops(switch as usize),
            Fault::SwitchBack(switch) => self.switches_return(&[switch as usize]),
            Fault::RackGone(zone) => self.vanish(|place| place.zone == zone && place.rack == FIRST_RACK),
            Fault::RackBack(zone) => self.return_all(|place| place.zone == zone && place.rack == FIRST_RACK),
            Fault::ZoneGone(zone) => self.vanish(|place| place.zone == zone),
            Fault::ZoneBack(zone) => self.return_all(|place| place.zone == zone),
            Fault::GatewayRestart(gateway) => self.stop_gateway(gateway as usize),
            Fault::ServiceRestart(service) => {
                for gateway in self.members[service as usize].0.clone() {
                    self.stop_gateway(gateway);
                }
            }
            Fault::RegionsApart => self.regions_apart = true,
            Fault::RegionsJoined => self.join_regions(),
        }
    }

    fn vanish(&mut self, is_hit: impl Fn(&Location) -> bool) {
        let switches = self.switches_at(&is_hit);
        self.switches_vanish(&switches);
        for gateway in self.gateways_at(&is_hit) {
            self.gateway_vanishes(gateway);
        }
    }

    fn return_all(&mut self, is_hit: impl Fn(&Location) -> bool) {
        let switches = self.switches_at(&is_hit);
        self.switches_return(&switches);
        for gateway in self.gateways_at(&is_hit) {
            self.gateway_returns(gateway);
        }
    }

    fn switches_at(&self, is_hit: impl Fn(&Location) -> bool) -> Vec<usize> {
        (0..self.switches.len()).filter(|switch| is_hit(&self.switches[*switch].place)).collect()
    }

    fn gateways_at(&self, is_hit: impl Fn(&Location) -> bool) -> Vec<usize> {
        (0..self.gateways.len()).filter(|gateway| is_hit(&self.gateways[*gateway].place)).collect()
    }

    fn switches_vanish(&mut self, switches: &[usize]) {
        for switch in switches {
            self.switch_loses_all(*switch, SwitchState::Silent);
            self.switches[*switch].listed = false;
        }
        self.lists_change(switches);
    }

    fn switches_return(&mut self, switches: &[usize]) {
        let started = (UNIX_START + self.now).as_millis();
        for switch in switches {
            let switch = &mut self.switches[*switch];
            switch.epoch += 1;
            switch.state = SwitchState::Up;
            switch.listed = true;
            switch.row.draining = false;
            switch.row.started_unix_ms = u64::try_from(started).unwrap_or(u64::MAX);
        }
        self.lists_change(switches);
    }

    fn switch_drains(&mut self, switch: usize) {
        self.switches[switch].row.draining = true;
        self.lists_change(&[switch]);
    }

    fn switch_stops(&mut self, switch: usize) {
        self.switches[switch].listed = false;
        for connection in self.switch_loses_all(switch, SwitchState::Refusing) {
            let Some(record) = self.connections.get(&connection) else { continue };
            let (from, to) = (self.switches[switch].place, self.gateways[record.gateway.gateway].place);
            let end = Event::ConnectionEnd { connection, end: LinkEnd::Broken };
            self.transmit(from, to, None, end);
        }
        self.lists_change(&[switch]);
    }

    fn switch_loses_all(&mut self, switch: usize, state: SwitchState) -> Vec<ConnectionId> {
        self.switches[switch].state = state;
        let lost = self.switches[switch].lose_all();
        for connection in &lost {
            if let Some(record) = self.connections.get_mut(connection) {
                record.open_at_switch = false;
                record.set_ups.clear();
            }
        }
        lost
    }

    /// The lists of the services that these belong to change, each once.
    fn lists_change(&mut self, switches: &[usize]) {
        let services: BTreeSet<u32> =
            switches.iter().map(|switch| self.switches[*switch].place.service).collect();
        for service in services {
            self.list_changes(service as usize);
        }
    }
}
