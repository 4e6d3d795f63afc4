//! Injected faults: failures, stops and recoveries.

use std::collections::BTreeSet;

use fawnrouter_node::LinkEnd;

use super::{Simulation, UNIX_START};
use crate::hollow::event::{ConnectionId, Event};
use crate::hollow::members::SwitchState;
use crate::hollow::scenario::Location;
use crate::plan::Fault;

/// The rack of a zone that fails.
const FAILED_RACK: u32 = 0;

impl Simulation<'_> {
    pub(super) fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::SwitchGone(switch) => self.fail_switches(&[switch as usize]),
            Fault::SwitchDraining(switch) => self.drain_switch(switch as usize),
            Fault::SwitchStopped(switch) => self.stop_switch(switch as usize),
            Fault::SwitchBack(switch) => self.recover_switches(&[switch as usize]),
            Fault::RackGone(zone) => {
                self.fail_all_at(|location| location.zone == zone && location.rack == FAILED_RACK)
            }
            Fault::RackBack(zone) => {
                self.recover_all_at(|location| location.zone == zone && location.rack == FAILED_RACK)
            }
            Fault::ZoneGone(zone) => self.fail_all_at(|location| location.zone == zone),
            Fault::ZoneBack(zone) => self.recover_all_at(|location| location.zone == zone),
            Fault::GatewayRestart(gateway) => self.stop_gateway(gateway as usize),
            Fault::ServiceRestart(service) => {
                for gateway in self.services[service as usize].gateways.clone() {
                    self.stop_gateway(gateway);
                }
            }
            Fault::RegionsApart => self.regions_partitioned = true,
            Fault::RegionsJoined => self.heal_partition(),
        }
    }

    fn fail_all_at(&mut self, is_hit: impl Fn(&Location) -> bool) {
        let switches = self.switches_at(&is_hit);
        self.fail_switches(&switches);
        for gateway in self.gateways_at(&is_hit) {
            self.fail_gateway(gateway);
        }
    }

    fn recover_all_at(&mut self, is_hit: impl Fn(&Location) -> bool) {
        let switches = self.switches_at(&is_hit);
        self.recover_switches(&switches);
        for gateway in self.gateways_at(&is_hit) {
            self.schedule_gateway_start(gateway);
        }
    }

    fn switches_at(&self, is_hit: impl Fn(&Location) -> bool) -> Vec<usize> {
        (0..self.switches.len()).filter(|switch| is_hit(&self.switches[*switch].location)).collect()
    }

    fn gateways_at(&self, is_hit: impl Fn(&Location) -> bool) -> Vec<usize> {
        (0..self.gateways.len()).filter(|gateway| is_hit(&self.gateways[*gateway].location)).collect()
    }

    fn fail_switches(&mut self, switches: &[usize]) {
        for switch in switches {
            self.drop_switch_state(*switch, SwitchState::Silent);
            self.switches[*switch].listed = false;
        }
        self.schedule_list_updates(switches);
    }

    fn recover_switches(&mut self, switches: &[usize]) {
        let started = (UNIX_START + self.now).as_millis();
        for switch in switches {
            let switch = &mut self.switches[*switch];
            switch.epoch += 1;
            switch.state = SwitchState::Up;
            switch.listed = true;
            switch.row.draining = false;
            switch.row.started_unix_ms = u64::try_from(started).unwrap_or(u64::MAX);
        }
        self.schedule_list_updates(switches);
    }

    fn drain_switch(&mut self, switch: usize) {
        self.switches[switch].row.draining = true;
        self.schedule_list_updates(&[switch]);
    }

    fn stop_switch(&mut self, switch: usize) {
        self.switches[switch].listed = false;
        for connection in self.drop_switch_state(switch, SwitchState::Refusing) {
            let Some(record) = self.connections.get(&connection) else { continue };
            let (from, to) = (self.switches[switch].location, self.gateways[record.gateway.gateway].location);
            let end = Event::ConnectionEnded { connection, end: LinkEnd::Broken };
            self.transmit(from, to, None, end);
        }
        self.schedule_list_updates(&[switch]);
    }

    fn drop_switch_state(&mut self, switch: usize, state: SwitchState) -> Vec<ConnectionId> {
        self.switches[switch].state = state;
        let lost = self.switches[switch].drop_all_state();
        for connection in &lost {
            if let Some(record) = self.connections.get_mut(connection) {
                record.open_at_switch = false;
                record.set_ups.clear();
            }
        }
        lost
    }

    /// Schedules one update of the list for each service of these core switches.
    fn schedule_list_updates(&mut self, switches: &[usize]) {
        let services: BTreeSet<u32> =
            switches.iter().map(|switch| self.switches[*switch].location.service).collect();
        for service in services {
            self.schedule_list_update(service as usize);
        }
    }
}
