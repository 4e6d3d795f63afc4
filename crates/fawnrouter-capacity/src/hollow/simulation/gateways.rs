//! Gateways: their processes, inputs and outputs.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use fawnrouter_jsonl::{DecodeError, Decoder, Message};
use fawnrouter_node::{Ask, ClientId, Input, LinkEnd, LinkId, Output};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{CALLER_DELAY, START_UP, Simulation, Traffic, UNIX_START};
use crate::figures::Cause;
use crate::hollow::HollowError;
use crate::hollow::cost::Cost;
use crate::hollow::event::{ConnectionId, Event, GatewayIncarnation};
use crate::hollow::members::{Connection, Process, SwitchState, cause_of_verb, decode_line};
use crate::hollow::recording::{Step, build_gateway, measure_decode};
use crate::platform::{GatewayParameters, gateway_configuration};

/// Time from the end of a stopped gateway's process to its next start.
const RESTART_PAUSE: Duration = Duration::from_secs(1);
/// Random streams of the seed, one for each gateway: for its decisions and for its query ids.
const DECISION_STREAMS: u64 = 1 << 32;
const QUERY_ID_STREAMS: u64 = 2 << 32;

/// An input and the cause that its cost is counted under.
type CountedInput = (Cause, Input);

impl Simulation<'_> {
    fn random_stream(&self, streams: u64, gateway: usize) -> ChaCha8Rng {
        let mut random = ChaCha8Rng::seed_from_u64(self.scenario.seed);
        random.set_stream(streams + gateway as u64);
        random
    }

    /// The configuration that a gateway finds when it starts.
    fn configuration_of(&self, gateway: usize) -> String {
        const NAME_SERVER: ([u8; 4], u16) = ([10, 255, 0, 1], 53);
        const LISTEN: ([u8; 4], u16) = ([0, 0, 0, 0], 5060);
        let service = self.gateways[gateway].location.service as usize;
        let gateways = &self.services[service].gateways;
        let parameters = GatewayParameters {
            name: format!("gateway-{gateway}"),
            listen: SocketAddr::from(LISTEN),
            nameserver: SocketAddr::from(NAME_SERVER),
            seed: self.random_stream(DECISION_STREAMS, gateway).random(),
            gateways: gateways.len() as u32,
            number: gateways.iter().position(|member| *member == gateway).unwrap_or(0) as u32,
            descriptors: self.scenario.descriptors,
        };
        let list = &self.name_server.services[service];
        gateway_configuration(&parameters, list.serial, &list.rows).to_string()
    }

    pub(super) fn start_gateway(&mut self, gateway: usize) -> Result<(), HollowError> {
        if self.gateways[gateway].process.is_some() {
            return Ok(());
        }
        for connection in std::mem::take(&mut self.gateways[gateway].stale_connections) {
            self.close_towards_switch(connection);
        }
        let text = self.configuration_of(gateway);
        let (built, cost) = self.meter.measure(|| build_gateway(&text));
        let (node, first_list) = built?;
        self.record_configuration(gateway, text.len(), cost);
        self.record_step(gateway, || Step::Boot(text));
        let query_ids = self.random_stream(QUERY_ID_STREAMS, gateway);
        let epoch = self.gateways[gateway].epoch + 1;
        let process = Process {
            node,
            list_queries: Ask::new(),
            query_ids,
            list_serial: self.name_server.services[self.gateways[gateway].location.service as usize].serial,
            scheduled_wake: None,
            clients: BTreeMap::new(),
            links: BTreeMap::new(),
            stopping: false,
        };
        let incarnation = GatewayIncarnation { gateway, epoch };
        (self.gateways[gateway].epoch, self.gateways[gateway].process) = (epoch, Some(process));
        self.gateways[gateway].last_list_response = self.now;
        self.deliver_input(gateway, Cause::Configuration, first_list);
        self.queue.schedule(self.now, Event::SendListQuery(incarnation));
        Ok(())
    }

    fn record_configuration(&mut self, gateway: usize, bytes: usize, cost: Cost) {
        self.record_gateway_cost(gateway, Cause::Configuration, cost);
        self.record_gateway_cost(gateway, Cause::Configuration, Cost::message_received(bytes));
        if self.measured_second().is_some() {
            let counts = &mut self.outcome.configurations;
            counts.read += 1;
            counts.bytes += bytes as u64;
            counts.cost.add(cost);
        }
    }

    /// The process of this start, if it still runs.
    pub(super) fn process_of(&mut self, incarnation: GatewayIncarnation) -> Option<&mut Process> {
        let gateway = &mut self.gateways[incarnation.gateway];
        gateway.process.as_mut().filter(|_| gateway.epoch == incarnation.epoch)
    }

    pub(super) fn incarnation_of(&self, gateway: usize) -> GatewayIncarnation {
        GatewayIncarnation { gateway, epoch: self.gateways[gateway].epoch }
    }

    // ---- Inputs
    /// Gives a gateway an input, performs its outputs and delivers the inputs that follow from them. Returns
    /// the cost of all these inputs.
    pub(super) fn deliver_input(&mut self, gateway: usize, cause: Cause, input: Input) -> Cost {
        let mut total = Cost::default();
        let mut inputs = VecDeque::from([(cause, input)]);
        while let Some((cause, input)) = inputs.pop_front() {
            let time = self.gateway_time();
            let mut outputs = std::mem::take(&mut self.outputs);
            if let Some(step) = Step::from_input(&input) {
                self.record_step(gateway, || step);
            }
            let disconnected = match &input {
                Input::ClientDisconnected { client } => Some(*client),
                _ => None,
            };
            let Some(process) = self.gateways[gateway].process.as_mut() else { break };
            let ((), cost) = self.meter.measure(|| process.node.handle(time, input, &mut outputs));
            total.add(cost);
            if let Some(client) = disconnected {
                process.clients.remove(&client);
            }
            self.record_gateway_cost(gateway, cause, cost);
            if self.recorded_gateway == Some(gateway) {
                self.recording.count_written(&outputs);
            }
            for output in outputs.drain(..) {
                self.perform_output(gateway, output, &mut inputs);
            }
            self.outputs = outputs;
        }
        self.schedule_wake(gateway);
        total
    }

    /// Schedules the wake-up that the gateway requests.
    fn schedule_wake(&mut self, gateway: usize) {
        let incarnation = self.incarnation_of(gateway);
        let now = self.now;
        let Some(process) = self.gateways[gateway].process.as_mut() else { return };
        let Some(requested) = process.node.next_wake() else { return };
        let requested = requested.0.saturating_sub(UNIX_START).max(now);
        if process.scheduled_wake.is_none_or(|scheduled| requested < scheduled) {
            process.scheduled_wake = Some(requested);
            self.queue.schedule(requested, Event::WakeGateway(incarnation));
        }
    }

    pub(super) fn wake_gateway(&mut self, incarnation: GatewayIncarnation) {
        let now = self.now;
        let Some(process) =
            self.process_of(incarnation).filter(|process| process.scheduled_wake == Some(now))
        else {
            return;
        };
        process.scheduled_wake = None;
        self.deliver_input(incarnation.gateway, Cause::Timers, Input::Wake);
    }

    /// Decodes a line with the decoder of its connection. The cost is counted under the message's cause.
    pub(super) fn decode(
        &mut self,
        gateway: usize,
        line: &[u8],
        decoder: impl FnOnce(&mut Process) -> Option<&mut Decoder>,
    ) -> Option<Result<Message, DecodeError>> {
        let process = self.gateways[gateway].process.as_mut()?;
        let decoder = decoder(process)?;
        let (read, cost) = measure_decode(self.meter, decoder, line);
        let message = read.as_ref().and_then(|read| read.as_ref().ok());
        let cause = message.map_or(Cause::Calls, |message| cause_of_verb(message.verb));
        self.record_gateway_cost(gateway, cause, cost);
        self.record_gateway_cost(gateway, cause, Cost::message_received(line.len()));
        read
    }

    // ---- Outputs
    fn perform_output(&mut self, gateway: usize, output: Output, inputs: &mut VecDeque<CountedInput>) {
        match output {
            Output::ToClient { client, line } => {
                self.write_to_client(gateway, client, &line);
            }
            Output::ToCaller { client, tag, line } => {
                if !self.write_to_client(gateway, client, &line) {
                    inputs.push_back((Cause::Calls, Input::NotDelivered { tag }));
                }
            }
            Output::CloseClient { client } => {
                self.callers.drop_connection(gateway, client);
                inputs.push_back((Cause::Connections, Input::ClientFullyRead { client }));
                inputs.push_back((Cause::Connections, Input::ClientDisconnected { client }));
            }
            Output::OpenLink { link, address, within } => self.open_link(gateway, link, address, within),
            Output::ToLink { link, line }
            | Output::SetUp { link, line, .. }
            | Output::CancelSetUp { link, line, .. } => self.write_to_link(gateway, link, &line),
            Output::CloseLink { link } => self.close_link(gateway, link),
            Output::Done => self.exit_gateway(gateway),
            // Every line is sent at once, so no set-up can be recalled.
            Output::RecallSetUps { .. } | Output::Log(_) => {}
        }
    }

    /// Sends a line to a caller. Returns false if the connection is not open.
    fn write_to_client(&mut self, gateway: usize, client: ClientId, line: &[u8]) -> bool {
        let open = self.gateways[gateway].process.as_ref().is_some_and(|p| p.clients.contains_key(&client));
        if !open {
            return false;
        }
        let Some(message) = decode_line(line) else {
            self.outcome.calls.unreadable += 1;
            return true;
        };
        self.record_gateway_cost(gateway, cause_of_verb(message.verb), Cost::message_sent(line.len()));
        if self.measured_second().is_some() {
            self.outcome.to_callers.add(message.verb, line.len());
        }
        let from = self.incarnation_of(gateway);
        self.queue.schedule(self.now + CALLER_DELAY, Event::LineToCaller { from, message });
        true
    }

    fn open_link(&mut self, gateway: usize, link: LinkId, address: SocketAddr, within: Duration) {
        self.record_gateway_cost(gateway, Cause::Connections, Cost::connection_opened());
        let Some(switch) = self.addresses.get(&address).copied() else { return };
        self.next_connection += 1;
        let connection = ConnectionId(self.next_connection);
        let (from, to) = (self.gateways[gateway].location, self.switches[switch].location);
        let reaches_switch =
            self.switches[switch].state != SwitchState::Silent && !self.is_partitioned(from, to);
        let incarnation = self.incarnation_of(gateway);
        let record = Connection {
            gateway: incarnation,
            link,
            switch,
            up: false,
            open_at_gateway: true,
            open_at_switch: false,
            reaches_switch,
            set_ups: Default::default(),
        };
        self.connections.insert(connection, record);
        if let Some(process) = self.gateways[gateway].process.as_mut() {
            process.links.insert(link, (connection, Decoder::new()));
        }
        let end = Event::ConnectionEnded { connection, end: LinkEnd::Unreachable };
        self.queue.schedule(self.now + within, end);
        if reaches_switch {
            self.transmit(from, to, None, Event::ConnectToSwitch { connection });
        }
    }

    fn write_to_link(&mut self, gateway: usize, link: LinkId, line: &[u8]) {
        let process = self.gateways[gateway].process.as_ref();
        let Some((connection, _)) = process.and_then(|p| p.links.get(&link)) else { return };
        let connection = *connection;
        let Some(message) = decode_line(line) else {
            self.outcome.calls.unreadable += 1;
            return;
        };
        let cause = cause_of_verb(message.verb);
        self.record_gateway_cost(gateway, cause, Cost::message_sent(line.len()));
        if self.measured_second().is_some() {
            self.outcome.to_switches.add(message.verb, line.len());
        }
        let Some(record) = self.connections.get(&connection) else { return };
        let (from, to) = (self.gateways[gateway].location, self.switches[record.switch].location);
        let traffic = Traffic { cause, bytes: line.len() };
        let event = Event::LineToSwitch { connection, message, bytes: line.len() };
        self.transmit(from, to, Some(traffic), event);
    }

    fn close_link(&mut self, gateway: usize, link: LinkId) {
        let process = self.gateways[gateway].process.as_mut();
        let Some((connection, _)) = process.and_then(|p| p.links.remove(&link)) else { return };
        self.close_towards_switch(connection);
    }

    /// Closes the gateway's side of a connection and notifies the core switch if it is reachable.
    fn close_towards_switch(&mut self, connection: ConnectionId) {
        let Some(record) = self.connections.get_mut(&connection) else { return };
        record.open_at_gateway = false;
        let (gateway, switch) = (record.gateway.gateway, record.switch);
        if !record.reaches_switch {
            self.connections.remove(&connection);
            return;
        }
        let (from, to) = (self.gateways[gateway].location, self.switches[switch].location);
        self.transmit(from, to, None, Event::CloseReachesSwitch { connection });
    }

    // ---- Connections
    pub(super) fn connection_up(&mut self, connection: ConnectionId) {
        let Some(record) = self.connections.get_mut(&connection).filter(|r| r.open_at_gateway) else {
            return;
        };
        record.up = true;
        let (incarnation, link) = (record.gateway, record.link);
        if self.process_of(incarnation).is_some() {
            self.deliver_input(incarnation.gateway, Cause::Connections, Input::LinkUp { link });
        }
    }

    /// Ends a connection that was closed by its core switch or has not come up in time.
    pub(super) fn connection_ended(&mut self, connection: ConnectionId, end: LinkEnd) {
        let Some(record) = self.connections.get(&connection).filter(|r| r.open_at_gateway) else { return };
        if end == LinkEnd::Unreachable && record.up {
            return;
        }
        let (incarnation, link) = (record.gateway, record.link);
        let Some(process) = self.process_of(incarnation) else { return };
        process.links.remove(&link);
        self.close_towards_switch(connection);
        self.deliver_input(incarnation.gateway, Cause::Connections, Input::LinkDown { link, end });
    }

    pub(super) fn line_to_gateway(&mut self, connection: ConnectionId, line: &[u8]) {
        let Some(record) = self.connections.get(&connection).filter(|r| r.open_at_gateway) else { return };
        let (incarnation, link) = (record.gateway, record.link);
        if self.process_of(incarnation).is_none() {
            return;
        }
        self.record_step(incarnation.gateway, || Step::LinkLine(link, line.to_vec()));
        let read =
            self.decode(incarnation.gateway, line, |process| process.links.get_mut(&link).map(|(_, d)| d));
        let Some(read) = read else { return };
        match read {
            Ok(message) => {
                if self.measured_second().is_some() {
                    self.outcome.from_switches.add(message.verb, line.len());
                }
                let cause = cause_of_verb(message.verb);
                self.deliver_input(incarnation.gateway, cause, Input::LinkMessage { link, message });
            }
            Err(error) => {
                self.deliver_input(incarnation.gateway, Cause::Calls, Input::LinkDecodeError { link, error });
            }
        }
    }

    // ---- Stops and failures
    /// Tells a gateway to stop. It is started again after its exit.
    pub(super) fn stop_gateway(&mut self, gateway: usize) {
        let Some(process) = self.gateways[gateway].process.as_mut().filter(|p| !p.stopping) else { return };
        process.stopping = true;
        self.deliver_input(gateway, Cause::Connections, Input::Stop);
    }

    fn exit_gateway(&mut self, gateway: usize) {
        let Some(process) = self.gateways[gateway].process.take() else { return };
        self.record_step(gateway, || Step::Exit);
        for (connection, _) in process.links.into_values() {
            self.close_towards_switch(connection);
        }
        self.callers_lose_gateway(gateway);
        self.queue.schedule(self.now + RESTART_PAUSE, Event::StartGateway { gateway });
    }

    /// The gateway's machine fails; its core switches receive no close.
    pub(super) fn fail_gateway(&mut self, gateway: usize) {
        let Some(process) = self.gateways[gateway].process.take() else { return };
        self.record_step(gateway, || Step::Exit);
        for (connection, _) in process.links.into_values() {
            if let Some(record) = self.connections.get_mut(&connection) {
                record.open_at_gateway = false;
            }
            self.gateways[gateway].stale_connections.push(connection);
        }
        self.callers_lose_gateway(gateway);
    }

    /// Schedules the start of a gateway whose machine is back.
    pub(super) fn schedule_gateway_start(&mut self, gateway: usize) {
        let at = self.now + self.random_up_to(super::BOOT_SPREAD);
        self.queue.schedule(at, Event::StartGateway { gateway });
    }

    /// Converts a time of the scenario to one of the simulation.
    pub(super) fn scenario_time(&self, at: Duration) -> Duration {
        START_UP + at
    }
}
