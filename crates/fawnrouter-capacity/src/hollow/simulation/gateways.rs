//! Gateways: their processes, what they are given and what they want done.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use fawnrouter_jsonl::{DecodeError, Decoder, Message};
use fawnrouter_node::{Ask, ClientId, Input, LinkEnd, LinkId, Output};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{CALLER_DELAY, Load, START_UP, UNIX_START, World};
use crate::figures::Cause;
use crate::hollow::HollowError;
use crate::hollow::cost::Cost;
use crate::hollow::event::{ConnectionId, Event, GatewayRun};
use crate::hollow::members::{Connection, Process, SwitchState, cause_of, read_line};
use crate::hollow::recording::{Step, build, read};
use crate::platform::{GatewayParameters, gateway_configuration};

/// A gateway that is restarted is back this long after its end.
const RESTART_PAUSE: Duration = Duration::from_secs(1);
/// Streams of the seed that are each gateway's own: of its decisions, and of its questions' numbers.
const DECISION_STREAMS: u64 = 1 << 32;
const QUESTION_STREAMS: u64 = 2 << 32;

/// An input and what it is counted as.
type Counted = (Cause, Input);

impl World<'_> {
    fn stream(&self, streams: u64, gateway: usize) -> ChaCha8Rng {
        let mut random = ChaCha8Rng::seed_from_u64(self.scenario.seed);
        random.set_stream(streams + gateway as u64);
        random
    }

    /// The configuration that lies there for a gateway.
    fn configuration(&self, gateway: usize) -> String {
        const NAME_SERVER: ([u8; 4], u16) = ([10, 255, 0, 1], 53);
        const LISTEN: ([u8; 4], u16) = ([0, 0, 0, 0], 5060);
        let service = self.gateways[gateway].place.service as usize;
        let gateways = &self.members[service].0;
        let place = GatewayParameters {
            name: format!("gateway-{gateway}"),
            listen: SocketAddr::from(LISTEN),
            nameserver: SocketAddr::from(NAME_SERVER),
            seed: self.stream(DECISION_STREAMS, gateway).random(),
            gateways: gateways.len() as u32,
            number: gateways.iter().position(|member| *member == gateway).unwrap_or(0) as u32,
            descriptors: self.scenario.descriptors,
        };
        let list = &self.source.services[service];
        gateway_configuration(&place, list.serial, &list.rows).to_string()
    }

    pub(super) fn boot(&mut self, gateway: usize) -> Result<(), HollowError> {
        if self.gateways[gateway].process.is_some() {
            return Ok(());
        }
        for connection in std::mem::take(&mut self.gateways[gateway].orphans) {
            self.tell_switch_of_close(connection);
        }
        let text = self.configuration(gateway);
        let (built, cost) = self.meter.measure(|| build(&text));
        let (node, known) = built?;
        self.note_configuration(gateway, text.len(), cost);
        self.record(gateway, || Step::Boot(text));
        let ids = self.stream(QUESTION_STREAMS, gateway);
        let epoch = self.gateways[gateway].epoch + 1;
        let process = Process {
            node,
            ask: Ask::new(),
            ids,
            serial: self.source.services[self.gateways[gateway].place.service as usize].serial,
            armed: None,
            clients: BTreeMap::new(),
            links: BTreeMap::new(),
            stopping: false,
        };
        let run = GatewayRun { gateway, epoch };
        (self.gateways[gateway].epoch, self.gateways[gateway].process) = (epoch, Some(process));
        self.gateways[gateway].answered = self.now;
        self.feed(gateway, Cause::Configuration, known);
        self.queue.put(self.now, Event::Ask(run));
        Ok(())
    }

    fn note_configuration(&mut self, gateway: usize, bytes: usize, cost: Cost) {
        self.note_gateway(gateway, Cause::Configuration, cost);
        self.note_gateway(gateway, Cause::Configuration, Cost::received(bytes));
        if self.second().is_some() {
            let counts = &mut self.outcome.configurations;
            counts.read += 1;
            counts.bytes += bytes as u64;
            counts.cost.add(cost);
        }
    }

    /// The process of this start, if it still runs.
    pub(super) fn running(&mut self, run: GatewayRun) -> Option<&mut Process> {
        let gateway = &mut self.gateways[run.gateway];
        gateway.process.as_mut().filter(|_| gateway.epoch == run.epoch)
    }

    pub(super) fn run_of(&self, gateway: usize) -> GatewayRun {
        GatewayRun { gateway, epoch: self.gateways[gateway].epoch }
    }

    // ---- Inputs -----------------------------------------------------------------------------------------------
    /// Gives a gateway an input and carries out what it says, and what follows from that; what the input cost.
    pub(super) fn feed(&mut self, gateway: usize, cause: Cause, input: Input) -> Cost {
        let mut sum = Cost::default();
        let mut inputs = VecDeque::from([(cause, input)]);
        while let Some((cause, input)) = inputs.pop_front() {
            let time = self.time();
            let mut outputs = std::mem::take(&mut self.outputs);
            if let Some(step) = Step::of(&input) {
                self.record(gateway, || step);
            }
            let ended = match &input {
                Input::ClientDisconnected { client } => Some(*client),
                _ => None,
            };
            let Some(process) = self.gateways[gateway].process.as_mut() else { break };
            let ((), cost) = self.meter.measure(|| process.node.handle(time, input, &mut outputs));
            sum.add(cost);
            if let Some(client) = ended {
                process.clients.remove(&client);
            }
            self.note_gateway(gateway, cause, cost);
            if self.watched == Some(gateway) {
                self.recording.note_written(&outputs);
            }
            for output in outputs.drain(..) {
                self.carry_out(gateway, output, &mut inputs);
            }
            self.outputs = outputs;
        }
        self.arm(gateway);
        sum
    }

    /// Has the gateway woken when it asks for it.
    fn arm(&mut self, gateway: usize) {
        let run = self.run_of(gateway);
        let now = self.now;
        let Some(process) = self.gateways[gateway].process.as_mut() else { return };
        let Some(wanted) = process.node.next_wake() else { return };
        let wanted = wanted.0.saturating_sub(UNIX_START).max(now);
        if process.armed.is_none_or(|armed| wanted < armed) {
            process.armed = Some(wanted);
            self.queue.put(wanted, Event::Wake(run));
        }
    }

    pub(super) fn wake(&mut self, run: GatewayRun) {
        let now = self.now;
        let Some(process) = self.running(run).filter(|process| process.armed == Some(now)) else { return };
        process.armed = None;
        self.feed(run.gateway, Cause::Timers, Input::Wake);
    }

    /// Reads a line by the decoder of its connection; what that cost is counted as the message is.
    pub(super) fn decode(
        &mut self,
        gateway: usize,
        line: &[u8],
        decoder: impl FnOnce(&mut Process) -> Option<&mut Decoder>,
    ) -> Option<Result<Message, DecodeError>> {
        let process = self.gateways[gateway].process.as_mut()?;
        let decoder = decoder(process)?;
        let (read, cost) = read(self.meter, decoder, line);
        let message = read.as_ref().and_then(|read| read.as_ref().ok());
        let cause = message.map_or(Cause::Calls, |message| cause_of(message.verb));
        self.note_gateway(gateway, cause, cost);
        self.note_gateway(gateway, cause, Cost::received(line.len()));
        read
    }

    // ---- Outputs ----------------------------------------------------------------------------------------------
    fn carry_out(&mut self, gateway: usize, output: Output, inputs: &mut VecDeque<Counted>) {
        match output {
            Output::ToClient { client, line } => {
                self.write_to_client(gateway, client, &line);
            }
            Output::NotifyCaller { client, tag, line } => {
                if !self.write_to_client(gateway, client, &line) {
                    inputs.push_back((Cause::Calls, Input::NotDelivered { tag }));
                }
            }
            Output::CloseClient { client } => {
                self.callers.lose_connection(gateway, client);
                inputs.push_back((Cause::Connections, Input::ClientFullyRead { client }));
                inputs.push_back((Cause::Connections, Input::ClientDisconnected { client }));
            }
            Output::OpenLink { link, address, within } => self.open_link(gateway, link, address, within),
            Output::ToLink { link, line }
            | Output::SetUp { link, line, .. }
            | Output::CancelSetUp { link, line, .. } => self.write_to_link(gateway, link, &line),
            Output::CloseLink { link } => self.close_link(gateway, link),
            Output::Done => self.gateway_exits(gateway),
            // All is written at once, so that there is nothing to take back.
            Output::RecallSetUps { .. } | Output::Log(_) => {}
        }
    }

    fn write_to_client(&mut self, gateway: usize, client: ClientId, line: &[u8]) -> bool {
        let open = self.gateways[gateway].process.as_ref().is_some_and(|p| p.clients.contains_key(&client));
        if !open {
            return false;
        }
        let Some(message) = read_line(line) else {
            self.outcome.calls.unreadable += 1;
            return true;
        };
        self.note_gateway(gateway, cause_of(message.verb), Cost::sent(line.len()));
        if self.second().is_some() {
            self.outcome.to_callers.add(message.verb, line.len());
        }
        let from = self.run_of(gateway);
        self.queue.put(self.now + CALLER_DELAY, Event::LineToCaller { from, message });
        true
    }

    fn open_link(&mut self, gateway: usize, link: LinkId, address: SocketAddr, within: Duration) {
        self.note_gateway(gateway, Cause::Connections, Cost::connected());
        let Some(switch) = self.addresses.get(&address).copied() else { return };
        self.next_connection += 1;
        let connection = ConnectionId(self.next_connection);
        let (from, to) = (self.gateways[gateway].place, self.switches[switch].place);
        let reaches = self.switches[switch].state != SwitchState::Silent && !self.is_cut(from, to);
        let run = self.run_of(gateway);
        let record = Connection {
            gateway: run,
            link,
            switch,
            up: false,
            open_at_gateway: true,
            open_at_switch: false,
            reaches,
            set_ups: Default::default(),
        };
        self.connections.insert(connection, record);
        if let Some(process) = self.gateways[gateway].process.as_mut() {
            process.links.insert(link, (connection, Decoder::new()));
        }
        let end = Event::ConnectionEnd { connection, end: LinkEnd::Unreachable };
        self.queue.put(self.now + within, end);
        if reaches {
            self.transmit(from, to, None, Event::Dial { connection });
        }
    }

    fn write_to_link(&mut self, gateway: usize, link: LinkId, line: &[u8]) {
        let process = self.gateways[gateway].process.as_ref();
        let Some((connection, _)) = process.and_then(|p| p.links.get(&link)) else { return };
        let connection = *connection;
        let Some(message) = read_line(line) else {
            self.outcome.calls.unreadable += 1;
            return;
        };
        let cause = cause_of(message.verb);
        self.note_gateway(gateway, cause, Cost::sent(line.len()));
        if self.second().is_some() {
            self.outcome.to_switches.add(message.verb, line.len());
        }
        let Some(record) = self.connections.get(&connection) else { return };
        let (from, to) = (self.gateways[gateway].place, self.switches[record.switch].place);
        let load = Load { cause, bytes: line.len() };
        let event = Event::LineToSwitch { connection, message, bytes: line.len() };
        self.transmit(from, to, Some(load), event);
    }

    fn close_link(&mut self, gateway: usize, link: LinkId) {
        let process = self.gateways[gateway].process.as_mut();
        let Some((connection, _)) = process.and_then(|p| p.links.remove(&link)) else { return };
        self.tell_switch_of_close(connection);
    }

    /// The gateway's side of a connection is closed, and the core switch hears of it where it can.
    fn tell_switch_of_close(&mut self, connection: ConnectionId) {
        let Some(record) = self.connections.get_mut(&connection) else { return };
        record.open_at_gateway = false;
        let (gateway, switch) = (record.gateway.gateway, record.switch);
        if !record.reaches {
            self.connections.remove(&connection);
            return;
        }
        let (from, to) = (self.gateways[gateway].place, self.switches[switch].place);
        self.transmit(from, to, None, Event::CloseAtSwitch { connection });
    }

    // ---- Connections ------------------------------------------------------------------------------------------
    pub(super) fn dial_up(&mut self, connection: ConnectionId) {
        let Some(record) = self.connections.get_mut(&connection).filter(|r| r.open_at_gateway) else {
            return;
        };
        record.up = true;
        let (run, link) = (record.gateway, record.link);
        if self.running(run).is_some() {
            self.feed(run.gateway, Cause::Connections, Input::LinkUp { link });
        }
    }

    /// A connection has ended, or has not come up in time.
    pub(super) fn connection_end(&mut self, connection: ConnectionId, end: LinkEnd) {
        let Some(record) = self.connections.get(&connection).filter(|r| r.open_at_gateway) else { return };
        if end == LinkEnd::Unreachable && record.up {
            return;
        }
        let (run, link) = (record.gateway, record.link);
        let Some(process) = self.running(run) else { return };
        process.links.remove(&link);
        self.tell_switch_of_close(connection);
        self.feed(run.gateway, Cause::Connections, Input::LinkDown { link, end });
    }

    pub(super) fn line_to_gateway(&mut self, connection: ConnectionId, line: &[u8]) {
        let Some(record) = self.connections.get(&connection).filter(|r| r.open_at_gateway) else { return };
        let (run, link) = (record.gateway, record.link);
        if self.running(run).is_none() {
            return;
        }
        self.record(run.gateway, || Step::LinkLine(link, line.to_vec()));
        let read = self.decode(run.gateway, line, |process| process.links.get_mut(&link).map(|(_, d)| d));
        let Some(read) = read else { return };
        match read {
            Ok(message) => {
                if self.second().is_some() {
                    self.outcome.from_switches.add(message.verb, line.len());
                }
                let cause = cause_of(message.verb);
                self.feed(run.gateway, cause, Input::LinkMessage { link, message });
            }
            Err(fault) => {
                self.feed(run.gateway, Cause::Calls, Input::LinkDecodeError { link, error: fault });
            }
        }
    }

    // ---- The end of a process ---------------------------------------------------------------------------------
    /// The gateway is told to end, and is started again afterwards.
    pub(super) fn stop_gateway(&mut self, gateway: usize) {
        let Some(process) = self.gateways[gateway].process.as_mut().filter(|p| !p.stopping) else { return };
        process.stopping = true;
        self.feed(gateway, Cause::Connections, Input::Stop);
    }

    fn gateway_exits(&mut self, gateway: usize) {
        let Some(process) = self.gateways[gateway].process.take() else { return };
        self.record(gateway, || Step::Exit);
        for (connection, _) in process.links.into_values() {
            self.tell_switch_of_close(connection);
        }
        self.callers_lose(gateway);
        self.queue.put(self.now + RESTART_PAUSE, Event::Boot { gateway });
    }

    /// The gateway's machine vanishes: its core switches hear nothing of it.
    pub(super) fn gateway_vanishes(&mut self, gateway: usize) {
        let Some(process) = self.gateways[gateway].process.take() else { return };
        self.record(gateway, || Step::Exit);
        for (connection, _) in process.links.into_values() {
            if let Some(record) = self.connections.get_mut(&connection) {
                record.open_at_gateway = false;
            }
            self.gateways[gateway].orphans.push(connection);
        }
        self.callers_lose(gateway);
    }

    pub(super) fn gateway_returns(&mut self, gateway: usize) {
        let at = self.now + self.drawn_boot();
        self.queue.put(at, Event::Boot { gateway });
    }

    fn drawn_boot(&mut self) -> Duration {
        self.drawn(super::BOOT_SPREAD)
    }

    /// When the plan's time begins.
    pub(super) fn planned(&self, at: Duration) -> Duration {
        START_UP + at
    }
}
