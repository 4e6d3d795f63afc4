//! The event loop in virtual time, and the network between the members.

mod callers;
mod faults;
mod gateways;
mod list;
mod switches;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fawnrouter_node::Output;
use fawnrouter_node::fawnrouter::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::HollowError;
use super::cost::{Cost, CostRecorder};
use super::event::{ConnectionId, Event, EventQueue};
use super::members::{
    Callers, Connection, Gateway, HeldState, NameServer, ServiceList, Switch, switch_address,
};
use super::meter::Meter;
use super::outcome::{Outcome, RoleOutcome};
use super::recording::{Recording, Step};
use super::scenario::{Location, Scenario};
use crate::figures::{Cause, Role};
use crate::plan::{PlannedCall, PlannedFault};
use crate::platform::ListedSwitch;

/// Clock of all gateways at the start, in the year 2027.
const UNIX_START: Duration = Duration::from_secs(1_800_000_000);
/// Time for gateways to start and connect. The scenario's times count from its end.
const START_UP: Duration = Duration::from_secs(1);
/// Gateways that start together do so spread over this time.
const BOOT_SPREAD: Duration = Duration::from_millis(250);
/// One-way delay between a caller and its gateway.
const CALLER_DELAY: Duration = Duration::from_micros(100);
/// One-way delays within a zone, between zones of a region and between regions.
const INTRA_ZONE_DELAY: Duration = Duration::from_micros(200);
const INTER_ZONE_DELAY: Duration = Duration::from_micros(500);
const INTER_REGION_DELAY: Duration = Duration::from_millis(5);
/// Interval between two samples of what members hold.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes sent over the network and the cause that they are counted under.
#[derive(Clone, Copy)]
struct Traffic {
    cause: Cause,
    bytes: usize,
}

/// A transmission that waits until the regions reach each other again.
struct DelayedTransmission {
    from: Location,
    to: Location,
    traffic: Traffic,
    event: Event,
}

/// Indices of the gateways and core switches of a service.
#[derive(Clone, Default)]
struct ServiceMembers {
    gateways: Vec<usize>,
    switches: Vec<usize>,
}

/// A running simulation.
pub(crate) struct Simulation<'a> {
    scenario: &'a Scenario,
    now: Duration,
    queue: EventQueue,
    meter: Meter,
    random: ChaCha8Rng,
    calls: Vec<PlannedCall>,
    faults: Vec<PlannedFault>,
    gateways: Vec<Gateway>,
    services: Vec<ServiceMembers>,
    switches: Vec<Switch>,
    addresses: BTreeMap<SocketAddr, usize>,
    connections: BTreeMap<ConnectionId, Connection>,
    next_connection: u64,
    callers: Callers,
    name_server: NameServer,
    regions_partitioned: bool,
    delayed: Vec<DelayedTransmission>,
    zone_link_costs: Vec<CostRecorder>,
    region_link_costs: Vec<CostRecorder>,
    outputs: Vec<Output>,
    recorded_gateway: Option<usize>,
    recording: Recording,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    pub fn new(scenario: &'a Scenario, meter: Meter) -> Result<Self, HollowError> {
        scenario.check()?;
        let gateway_locations = (0..scenario.gateways).map(|number| scenario.gateway_location(number));
        let gateways: Vec<Gateway> = gateway_locations.map(Gateway::new).collect();
        let switches: Vec<Switch> = new_switches(scenario);
        let mut services = vec![ServiceMembers::default(); scenario.services as usize];
        for (index, gateway) in gateways.iter().enumerate() {
            services[gateway.location.service as usize].gateways.push(index);
        }
        for (index, switch) in switches.iter().enumerate() {
            services[switch.location.service as usize].switches.push(index);
        }
        let addresses = switches.iter().enumerate().map(|(index, switch)| (switch.row.address, index));
        let mut simulation = Self {
            scenario,
            now: Duration::ZERO,
            queue: EventQueue::default(),
            meter,
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            calls: scenario.traffic.calls(),
            faults: scenario.faults.faults.clone(),
            addresses: addresses.collect(),
            gateways,
            services,
            switches,
            connections: BTreeMap::new(),
            next_connection: 0,
            callers: Callers::default(),
            name_server: NameServer {
                location: scenario.switch_location(0),
                services: Vec::new(),
                costs: CostRecorder::default(),
                held: HeldState::default(),
            },
            regions_partitioned: false,
            delayed: Vec::new(),
            zone_link_costs: vec![CostRecorder::default(); scenario.zones as usize],
            region_link_costs: vec![CostRecorder::default(); scenario.regions as usize],
            outputs: Vec::new(),
            recorded_gateway: None,
            recording: Recording::default(),
            outcome: Outcome { measured: scenario.measured, ..Outcome::default() },
        };
        simulation.name_server.services.resize_with(scenario.services as usize, ServiceList::default);
        simulation.schedule_initial_events();
        Ok(simulation)
    }

    fn schedule_initial_events(&mut self) {
        for service in 0..self.services.len() {
            self.refresh_list(service);
        }
        for gateway in 0..self.gateways.len() {
            let at = self.random_up_to(BOOT_SPREAD);
            self.queue.schedule(at, Event::StartGateway { gateway });
        }
        for index in 0..self.faults.len() {
            self.queue.schedule(START_UP + self.faults[index].at, Event::InjectFault(index));
        }
        if let Some(every) = self.scenario.list_change_every {
            self.queue.schedule(START_UP + every, Event::PeriodicListChange);
        }
        self.schedule_call(0);
        // The first sample is taken at the end of the first measured second.
        self.queue.schedule(self.measurement_start() + SAMPLE_INTERVAL, Event::SampleHeld);
    }

    fn measurement_start(&self) -> Duration {
        START_UP + self.scenario.warm_up
    }

    fn measurement_end(&self) -> Duration {
        START_UP + self.scenario.measurement_end()
    }

    /// Records the inputs of one gateway.
    pub fn recording_gateway(mut self, gateway: usize) -> Self {
        self.recorded_gateway = Some(gateway);
        self
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Result<(Outcome, Recording), HollowError> {
        let end = self.measurement_end() + self.scenario.settle;
        while let Some((at, event)) = self.queue.pop_due(end) {
            self.now = at;
            self.dispatch(event)?;
        }
        let recording = std::mem::take(&mut self.recording);
        Ok((self.into_outcome(), recording))
    }

    fn dispatch(&mut self, event: Event) -> Result<(), HollowError> {
        match event {
            Event::StartGateway { gateway } => return self.start_gateway(gateway),
            Event::WakeGateway(incarnation) => self.wake_gateway(incarnation),
            Event::SendListQuery(incarnation) => self.send_list_query(incarnation),
            Event::ListQuery { from, datagram } => self.answer_list_query(from, &datagram),
            Event::ListResponse { to, response } => self.receive_list_response(to, &response),
            Event::SendSetUp { planned, until } => self.send_set_up(planned, until),
            Event::ReportEstablishedCall { tag } => self.report_established_call(tag),
            Event::CallerTimeout { tag } => self.caller_timeout(tag),
            Event::ClientConnected { to, client } => self.client_connected(to, client),
            Event::LineFromCaller { to, client, tag, line } => self.line_from_caller(to, client, tag, &line),
            Event::LineToCaller { from, message } => self.line_to_caller(from, &message),
            Event::ConnectToSwitch { connection } => self.accept_connection(connection),
            Event::ConnectionUp { connection } => self.connection_up(connection),
            Event::ConnectionEnded { connection, end } => self.connection_ended(connection, end),
            Event::LineToSwitch { connection, message, bytes } => {
                self.line_to_switch(connection, &message, bytes);
            }
            Event::LineToGateway { connection, line } => self.line_to_gateway(connection, &line),
            Event::CloseReachesSwitch { connection } => self.close_reaches_switch(connection),
            Event::SwitchAnswersSetUp { switch, epoch, tag } => self.answer_set_up(switch, epoch, tag),
            Event::SwitchReleasesCall { switch, epoch, tag } => self.release_call(switch, epoch, tag),
            Event::InjectFault(index) => self.inject_fault(self.faults[index].fault),
            Event::ListUpdate { service } => self.refresh_list(service),
            Event::PeriodicListChange => self.toggle_first_switches(),
            Event::SampleHeld => self.sample(),
        }
        Ok(())
    }

    // ---- Time
    fn gateway_time(&self) -> Time {
        Time(UNIX_START + self.now)
    }

    /// The current second of the measurement; `None` before and after it.
    fn measured_second(&self) -> Option<u64> {
        let measured = (self.measurement_start()..self.measurement_end()).contains(&self.now);
        measured.then(|| (self.now - self.measurement_start()).as_secs())
    }

    /// A random duration up to `most`.
    fn random_up_to(&mut self, most: Duration) -> Duration {
        most.mul_f64(rand::Rng::random(&mut self.random))
    }

    /// Records a step if it belongs to the recorded gateway.
    fn record_step(&mut self, gateway: usize, step: impl FnOnce() -> Step) {
        if self.recorded_gateway == Some(gateway) {
            self.recording.add(self.gateway_time(), self.measured_second(), step());
        }
    }

    // ---- Cost recording
    fn record_gateway_cost(&mut self, gateway: usize, cause: Cause, cost: Cost) {
        let Some(second) = self.measured_second() else { return };
        let gateway = &mut self.gateways[gateway];
        let costs = match cause {
            Cause::List | Cause::Configuration => &mut gateway.control_costs,
            _ => &mut gateway.call_costs,
        };
        costs.add(second, cause, cost);
    }

    fn record_switch_cost(&mut self, switch: usize, cause: Cause, cost: Cost) {
        if let Some(second) = self.measured_second() {
            self.switches[switch].costs.add(second, cause, cost);
        }
    }

    fn record_link_traffic(&mut self, from: Location, to: Location, traffic: Traffic) {
        let Some(second) = self.measured_second() else { return };
        let (sent, received) = (Cost::message_sent(traffic.bytes), Cost::message_received(traffic.bytes));
        if from.zone != to.zone {
            self.zone_link_costs[from.zone as usize].add(second, traffic.cause, sent);
            self.zone_link_costs[to.zone as usize].add(second, traffic.cause, received);
        }
        if from.region != to.region {
            self.region_link_costs[from.region as usize].add(second, traffic.cause, sent);
            self.region_link_costs[to.region as usize].add(second, traffic.cause, received);
        }
    }

    fn sample(&mut self) {
        for gateway in &mut self.gateways {
            let held = gateway.process.as_ref().map(|process| process.node.state_sizes()).unwrap_or_default();
            let [open, established, clients, links, servers] = held;
            gateway.call_state.sample(clients + links, open + established);
            gateway.control_state.sample(usize::from(gateway.process.is_some()), servers);
            if gateway.process.is_some() {
                let age = self.now.saturating_sub(gateway.last_list_response);
                self.outcome.list.max_list_age = self.outcome.list.max_list_age.max(age);
            }
        }
        for switch in &mut self.switches {
            switch.held.sample(switch.connections.len(), switch.calls.len());
        }
        let rows = self.name_server.services.iter().map(|service| service.rows.len()).sum();
        self.name_server.held.sample(0, rows);
        if self.now + SAMPLE_INTERVAL <= self.measurement_end() {
            self.queue.schedule(self.now + SAMPLE_INTERVAL, Event::SampleHeld);
        }
    }

    // ---- Network
    fn is_partitioned(&self, from: Location, to: Location) -> bool {
        self.regions_partitioned && from.region != to.region
    }

    /// Sends over a connection, in order. While regions are partitioned the data waits, as TCP retransmits it
    /// until it arrives.
    fn transmit(&mut self, from: Location, to: Location, traffic: Option<Traffic>, event: Event) {
        let traffic = traffic.unwrap_or(Traffic { cause: Cause::Connections, bytes: 0 });
        if self.is_partitioned(from, to) {
            self.delayed.push(DelayedTransmission { from, to, traffic, event });
            return;
        }
        if traffic.bytes > 0 {
            self.record_link_traffic(from, to, traffic);
        }
        self.queue.schedule(self.now + network_delay(from, to), event);
    }

    /// Sends a datagram. Returns whether it arrives.
    fn send_datagram(&mut self, from: Location, to: Location, bytes: usize, event: Event) -> bool {
        if self.is_partitioned(from, to) {
            return false;
        }
        self.record_link_traffic(from, to, Traffic { cause: Cause::List, bytes });
        self.queue.schedule(self.now + network_delay(from, to), event);
        true
    }

    fn heal_partition(&mut self) {
        self.regions_partitioned = false;
        for delayed in std::mem::take(&mut self.delayed) {
            self.transmit(delayed.from, delayed.to, Some(delayed.traffic), delayed.event);
        }
    }

    // ---- Outcome
    fn into_outcome(mut self) -> Outcome {
        let calls = self.gateways.iter_mut().map(|gateway| (&mut gateway.call_costs, gateway.call_state));
        let calls = RoleOutcome::new(calls);
        let control =
            self.gateways.iter_mut().map(|gateway| (&mut gateway.control_costs, gateway.control_state));
        let control = RoleOutcome::new(control);
        let switches = self.switches.iter_mut().map(|switch| (&mut switch.costs, switch.held));
        let switches = RoleOutcome::new(switches);
        let name_server =
            RoleOutcome::new([(&mut self.name_server.costs, self.name_server.held)].into_iter());
        let zones =
            RoleOutcome::new(self.zone_link_costs.iter_mut().map(|costs| (costs, HeldState::default())));
        let regions =
            RoleOutcome::new(self.region_link_costs.iter_mut().map(|costs| (costs, HeldState::default())));
        let roles = [
            (Role::GatewayCalls, calls),
            (Role::GatewayControl, control),
            (Role::CoreSwitch, switches),
            (Role::ListSource, name_server),
            (Role::ZoneLink, zones),
            (Role::RegionLink, regions),
        ];
        self.outcome.roles = roles.into_iter().collect();
        self.measure_memory();
        self.outcome
    }

    fn measure_memory(&mut self) {
        let processes: Vec<_> =
            self.gateways.iter_mut().filter_map(|gateway| gateway.process.take()).collect();
        let count = processes.len().max(1) as f64;
        let freed = self.meter.bytes_freed_by_drop(processes);
        if let (Some(bytes), Some(role)) = (freed, self.outcome.roles.get_mut(&Role::GatewayCalls)) {
            role.set_memory(bytes as f64 / count);
        }
    }
}

fn network_delay(from: Location, to: Location) -> Duration {
    if from.region != to.region {
        INTER_REGION_DELAY
    } else if from.zone != to.zone {
        INTER_ZONE_DELAY
    } else {
        INTRA_ZONE_DELAY
    }
}

fn new_switches(scenario: &Scenario) -> Vec<Switch> {
    let mut cells = vec![0; scenario.services as usize];
    let mut switches = Vec::new();
    for number in 0..scenario.switches {
        let location = scenario.switch_location(number);
        let cell = &mut cells[location.service as usize];
        let row = ListedSwitch {
            id: format!("s-{number:08x}"),
            zone: format!("zone-{}", location.zone),
            cell: *cell,
            address: switch_address(number as usize),
            draining: false,
            started_unix_ms: 0,
        };
        *cell += 1;
        switches.push(Switch::new(location, row));
    }
    switches
}
