//! The loop in virtual time, and the network between the members.

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
use super::cost::{Cost, Ledger};
use super::event::{ConnectionId, Event, Queue};
use super::members::{Callers, Connection, Gateway, Held, ListSource, ServiceList, Switch, switch_address};
use super::meter::Meter;
use super::outcome::{Outcome, RoleOutcome};
use super::recording::{Recording, Step};
use super::scenario::{Location, Scenario};
use crate::figures::{Cause, Role};
use crate::plan::{PlannedCall, PlannedFault};
use crate::platform::ListedSwitch;

/// The clock of all gateways at the start: some time in 2027.
const UNIX_START: Duration = Duration::from_secs(1_800_000_000);
/// Gateways start and connect in this time; then the scenario's times begin.
const START_UP: Duration = Duration::from_secs(1);
/// Gateways that start together do so within this time.
const BOOT_SPREAD: Duration = Duration::from_millis(250);
/// One way between a caller and its gateway.
const CALLER_DELAY: Duration = Duration::from_micros(100);
/// One way in a zone, between zones of a region, between regions.
const ZONE_DELAY: Duration = Duration::from_micros(200);
const REGION_DELAY: Duration = Duration::from_micros(500);
const FAR_DELAY: Duration = Duration::from_millis(5);
/// Between two looks at what is held.
const SAMPLE_EVERY: Duration = Duration::from_secs(1);

/// What goes over the network, for those who count it.
#[derive(Clone, Copy)]
struct Load {
    cause: Cause,
    bytes: usize,
}

/// What waits for the regions to reach each other again.
struct Waiting {
    from: Location,
    to: Location,
    load: Load,
    event: Event,
}

/// Everything that is played.
pub(crate) struct World<'a> {
    scenario: &'a Scenario,
    now: Duration,
    queue: Queue,
    meter: Meter,
    random: ChaCha8Rng,
    calls: Vec<PlannedCall>,
    faults: Vec<PlannedFault>,
    gateways: Vec<Gateway>,
    /// Gateways and core switches of each service.
    members: Vec<(Vec<usize>, Vec<usize>)>,
    switches: Vec<Switch>,
    addresses: BTreeMap<SocketAddr, usize>,
    connections: BTreeMap<ConnectionId, Connection>,
    next_connection: u64,
    callers: Callers,
    source: ListSource,
    regions_apart: bool,
    waiting: Vec<Waiting>,
    zone_links: Vec<Ledger>,
    region_links: Vec<Ledger>,
    outputs: Vec<Output>,
    watched: Option<usize>,
    recording: Recording,
    outcome: Outcome,
}

impl<'a> World<'a> {
    pub fn new(scenario: &'a Scenario, meter: Meter) -> Result<Self, HollowError> {
        scenario.check()?;
        let gateway_places = (0..scenario.gateways).map(|number| scenario.gateway_location(number));
        let gateways: Vec<Gateway> = gateway_places.map(Gateway::new).collect();
        let switches: Vec<Switch> = new_switches(scenario);
        let mut members = vec![(Vec::new(), Vec::new()); scenario.services as usize];
        for (index, gateway) in gateways.iter().enumerate() {
            members[gateway.place.service as usize].0.push(index);
        }
        for (index, switch) in switches.iter().enumerate() {
            members[switch.place.service as usize].1.push(index);
        }
        let addresses = switches.iter().enumerate().map(|(index, switch)| (switch.row.address, index));
        let mut world = Self {
            scenario,
            now: Duration::ZERO,
            queue: Queue::default(),
            meter,
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            calls: scenario.traffic.calls(),
            faults: scenario.faults.faults.clone(),
            addresses: addresses.collect(),
            gateways,
            members,
            switches,
            connections: BTreeMap::new(),
            next_connection: 0,
            callers: Callers::default(),
            source: ListSource {
                place: scenario.switch_location(0),
                services: Vec::new(),
                ledger: Ledger::default(),
                held: Held::default(),
            },
            regions_apart: false,
            waiting: Vec::new(),
            zone_links: vec![Ledger::default(); scenario.zones as usize],
            region_links: vec![Ledger::default(); scenario.regions as usize],
            outputs: Vec::new(),
            watched: None,
            recording: Recording::default(),
            outcome: Outcome { measured: scenario.measured, ..Outcome::default() },
        };
        world.source.services.resize_with(scenario.services as usize, ServiceList::default);
        world.put_first_events();
        Ok(world)
    }

    fn put_first_events(&mut self) {
        for service in 0..self.members.len() {
            self.renew_list(service);
        }
        for gateway in 0..self.gateways.len() {
            let at = self.drawn(BOOT_SPREAD);
            self.queue.put(at, Event::Boot { gateway });
        }
        for place in 0..self.faults.len() {
            self.queue.put(START_UP + self.faults[place].at, Event::Fault(place));
        }
        if let Some(every) = self.scenario.list_change_every {
            self.queue.put(START_UP + every, Event::ListChange);
        }
        self.put_call(0);
        // The first look is when the first second that is measured ends.
        self.queue.put(self.measured_from() + SAMPLE_EVERY, Event::Sample);
    }

    fn measured_from(&self) -> Duration {
        START_UP + self.scenario.warm_up
    }

    fn measured_to(&self) -> Duration {
        START_UP + self.scenario.measurement_end()
    }

    /// The same with what happens to one gateway recorded.
    pub fn watching(mut self, gateway: usize) -> Self {
        self.watched = Some(gateway);
        self
    }

    /// Plays all to the end.
    pub fn play(mut self) -> Result<(Outcome, Recording), HollowError> {
        let end = self.measured_to() + self.scenario.settle;
        while let Some((at, event)) = self.queue.take(end) {
            self.now = at;
            self.happen(event)?;
        }
        let recording = std::mem::take(&mut self.recording);
        Ok((self.into_outcome(), recording))
    }

    fn happen(&mut self, event: Event) -> Result<(), HollowError> {
        match event {
            Event::Boot { gateway } => return self.boot(gateway),
            Event::Wake(run) => self.wake(run),
            Event::Ask(run) => self.ask(run),
            Event::Question { from, datagram } => self.question(from, &datagram),
            Event::Answer { to, answer } => self.answer(to, &answer),
            Event::Call { planned, until } => self.call(planned, until),
            Event::Retell { tag } => self.retell(tag),
            Event::CallerWaitOver { tag } => self.caller_wait_over(tag),
            Event::ClientUp { to, client } => self.client_up(to, client),
            Event::ClientLine { to, client, tag, line } => self.client_line(to, client, tag, &line),
            Event::LineToCaller { from, message } => self.line_to_caller(from, &message),
            Event::Dial { connection } => self.dial(connection),
            Event::DialUp { connection } => self.dial_up(connection),
            Event::ConnectionEnd { connection, end } => self.connection_end(connection, end),
            Event::LineToSwitch { connection, message, bytes } => {
                self.line_to_switch(connection, &message, bytes);
            }
            Event::LineToGateway { connection, line } => self.line_to_gateway(connection, &line),
            Event::CloseAtSwitch { connection } => self.close_at_switch(connection),
            Event::SwitchAnswers { switch, epoch, tag } => self.switch_answers(switch, epoch, tag),
            Event::CallEnds { switch, epoch, tag } => self.call_ends(switch, epoch, tag),
            Event::Fault(place) => self.fault(self.faults[place].fault),
            Event::ListNews { service } => self.renew_list(service),
            Event::ListChange => self.change_lists(),
            Event::Sample => self.sample(),
        }
        Ok(())
    }

    // ---- Time -------------------------------------------------------------------------------------------------
    fn time(&self) -> Time {
        Time(UNIX_START + self.now)
    }

    /// The second of what is measured, while it is.
    fn second(&self) -> Option<u64> {
        let measured = (self.measured_from()..self.measured_to()).contains(&self.now);
        measured.then(|| (self.now - self.measured_from()).as_secs())
    }

    /// A random time up to this.
    fn drawn(&mut self, most: Duration) -> Duration {
        most.mul_f64(rand::Rng::random(&mut self.random))
    }

    /// Records what happens to a gateway, if it is the one that is watched.
    fn record(&mut self, gateway: usize, step: impl FnOnce() -> Step) {
        if self.watched == Some(gateway) {
            self.recording.add(self.time(), self.second(), step());
        }
    }

    // ---- Counting ---------------------------------------------------------------------------------------------
    fn note_gateway(&mut self, gateway: usize, cause: Cause, flow: Cost) {
        let Some(second) = self.second() else { return };
        let gateway = &mut self.gateways[gateway];
        let ledger = match cause {
            Cause::List | Cause::Configuration => &mut gateway.control,
            _ => &mut gateway.calls,
        };
        ledger.add(second, cause, flow);
    }

    fn note_switch(&mut self, switch: usize, cause: Cause, flow: Cost) {
        if let Some(second) = self.second() {
            self.switches[switch].ledger.add(second, cause, flow);
        }
    }

    fn note_links(&mut self, from: Location, to: Location, load: Load) {
        let Some(second) = self.second() else { return };
        let (sent, received) = (Cost::sent(load.bytes), Cost::received(load.bytes));
        if from.zone != to.zone {
            self.zone_links[from.zone as usize].add(second, load.cause, sent);
            self.zone_links[to.zone as usize].add(second, load.cause, received);
        }
        if from.region != to.region {
            self.region_links[from.region as usize].add(second, load.cause, sent);
            self.region_links[to.region as usize].add(second, load.cause, received);
        }
    }

    fn sample(&mut self) {
        for gateway in &mut self.gateways {
            let held = gateway.process.as_ref().map(|process| process.node.state_sizes()).unwrap_or_default();
            let [open, standing, clients, links, servers] = held;
            gateway.held_for_calls.look(clients + links, open + standing);
            gateway.held_for_control.look(usize::from(gateway.process.is_some()), servers);
            if gateway.process.is_some() {
                let age = self.now.saturating_sub(gateway.answered);
                self.outcome.list.max_list_age = self.outcome.list.max_list_age.max(age);
            }
        }
        for switch in &mut self.switches {
            switch.held.look(switch.connections.len(), switch.calls.len());
        }
        let rows = self.source.services.iter().map(|service| service.rows.len()).sum();
        self.source.held.look(0, rows);
        if self.now + SAMPLE_EVERY <= self.measured_to() {
            self.queue.put(self.now + SAMPLE_EVERY, Event::Sample);
        }
    }

    // ---- The network ------------------------------------------------------------------------------------------
    fn is_cut(&self, from: Location, to: Location) -> bool {
        self.regions_apart && from.region != to.region
    }

    /// Sends on a connection, in order; while regions are apart it waits, as TCP sends it again until it arrives.
    fn transmit(&mut self, from: Location, to: Location, load: Option<Load>, event: Event) {
        let load = load.unwrap_or(Load { cause: Cause::Connections, bytes: 0 });
        if self.is_cut(from, to) {
            self.waiting.push(Waiting { from, to, load, event });
            return;
        }
        if load.bytes > 0 {
            self.note_links(from, to, load);
        }
        self.queue.put(self.now + delay(from, to), event);
    }

    /// Sends a datagram; whether it arrives.
    fn send_datagram(&mut self, from: Location, to: Location, bytes: usize, event: Event) -> bool {
        if self.is_cut(from, to) {
            return false;
        }
        self.note_links(from, to, Load { cause: Cause::List, bytes });
        self.queue.put(self.now + delay(from, to), event);
        true
    }

    fn join_regions(&mut self) {
        self.regions_apart = false;
        for waiting in std::mem::take(&mut self.waiting) {
            self.transmit(waiting.from, waiting.to, Some(waiting.load), waiting.event);
        }
    }

    // ---- The end ----------------------------------------------------------------------------------------------
    fn into_outcome(mut self) -> Outcome {
        let calls = self.gateways.iter_mut().map(|gateway| (&mut gateway.calls, gateway.held_for_calls));
        let calls = RoleOutcome::new(calls);
        let control =
            self.gateways.iter_mut().map(|gateway| (&mut gateway.control, gateway.held_for_control));
        let control = RoleOutcome::new(control);
        let switches = self.switches.iter_mut().map(|switch| (&mut switch.ledger, switch.held));
        let switches = RoleOutcome::new(switches);
        let source = RoleOutcome::new([(&mut self.source.ledger, self.source.held)].into_iter());
        let zones = RoleOutcome::new(self.zone_links.iter_mut().map(|ledger| (ledger, Held::default())));
        let regions = RoleOutcome::new(self.region_links.iter_mut().map(|ledger| (ledger, Held::default())));
        let roles = [
            (Role::GatewayCalls, calls),
            (Role::GatewayControl, control),
            (Role::CoreSwitch, switches),
            (Role::ListSource, source),
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
        let freed = self.meter.size_of(processes);
        if let (Some(bytes), Some(role)) = (freed, self.outcome.roles.get_mut(&Role::GatewayCalls)) {
            role.set_memory(bytes as f64 / count);
        }
    }
}

fn delay(from: Location, to: Location) -> Duration {
    if from.region != to.region {
        FAR_DELAY
    } else if from.zone != to.zone {
        REGION_DELAY
    } else {
        ZONE_DELAY
    }
}

fn new_switches(scenario: &Scenario) -> Vec<Switch> {
    let mut cells = vec![0; scenario.services as usize];
    let mut switches = Vec::new();
    for number in 0..scenario.switches {
        let place = scenario.switch_location(number);
        let cell = &mut cells[place.service as usize];
        let row = ListedSwitch {
            id: format!("s-{number:08x}"),
            zone: format!("zone-{}", place.zone),
            cell: *cell,
            address: switch_address(number as usize),
            draining: false,
            started_unix_ms: 0,
        };
        *cell += 1;
        switches.push(Switch::new(place, row));
    }
    switches
}
