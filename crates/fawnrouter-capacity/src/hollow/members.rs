//! The members of a played fleet and what the simulation knows of them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fawnrouter_jsonl::{Decoder, Message, Verb};
use fawnrouter_node::{Ask, ClientId, LinkId, Node};
use rand_chacha::ChaCha8Rng;

use super::cost::CostRecorder;
use super::event::{ConnectionId, GatewayIncarnation};
use super::scenario::Location;
use crate::figures::Cause;
use crate::platform::{ListedSwitch, encode_list_answer};

/// A gateway's process.
pub(crate) struct Process {
    pub node: Node,
    pub list_queries: Ask,
    /// Numbers of questions.
    pub query_ids: ChaCha8Rng,
    /// The number of the list that it was last given.
    pub list_serial: u32,
    /// For when its next wake-up is under way.
    pub scheduled_wake: Option<Duration>,
    /// Callers' connections.
    pub clients: BTreeMap<ClientId, Decoder>,
    /// Connections to core switches.
    pub links: BTreeMap<LinkId, (ConnectionId, Decoder)>,
    /// It has been told to end.
    pub stopping: bool,
}

/// A gateway over all its starts.
pub(crate) struct Gateway {
    pub location: Location,
    /// How often it has been started.
    pub epoch: u32,
    pub process: Option<Process>,
    /// Connections of its last process that its core switches still take for open.
    pub stale_connections: Vec<ConnectionId>,
    /// When it last had an answer of the name server.
    pub last_list_response: Duration,
    pub call_costs: CostRecorder,
    pub control_costs: CostRecorder,
    pub call_state: HeldState,
    pub control_state: HeldState,
}

impl Gateway {
    pub fn new(location: Location) -> Self {
        Self {
            location,
            epoch: 0,
            process: None,
            stale_connections: Vec::new(),
            last_list_response: Duration::ZERO,
            call_costs: CostRecorder::default(),
            control_costs: CostRecorder::default(),
            call_state: HeldState::default(),
            control_state: HeldState::default(),
        }
    }

    /// Whether new calls are sent to it.
    pub fn accepts_calls(&self) -> bool {
        self.process.as_ref().is_some_and(|process| !process.stopping)
    }
}

/// What is held at the last look, and the most at any.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HeldState {
    pub connections: u64,
    pub entries: u64,
    pub max_connections: u64,
    pub max_entries: u64,
}

impl HeldState {
    pub fn sample(&mut self, connections: usize, entries: usize) {
        (self.connections, self.entries) = (connections as u64, entries as u64);
        self.max_connections = self.max_connections.max(self.connections);
        self.max_entries = self.max_entries.max(self.entries);
    }
}

/// What a core switch does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SwitchState {
    /// It takes them.
    Up,
    /// Its process is not there: they are refused.
    Refusing,
    /// Its machine is not there: nothing is said.
    Silent,
}

/// A call at a core switch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SwitchCall {
    /// On which its set-up came.
    pub connection: ConnectionId,
    pub established: bool,
}

/// A stand-in core switch: it answers every set-up, holds the call and releases it.
pub(crate) struct Switch {
    pub location: Location,
    pub row: ListedSwitch,
    pub listed: bool,
    pub state: SwitchState,
    /// How often its state has changed; what concerns an earlier time is dropped.
    pub epoch: u32,
    /// Open connections, by the gateway that opened them.
    pub connections: BTreeSet<(usize, ConnectionId)>,
    pub calls: BTreeMap<u64, SwitchCall>,
    /// Releases that a gateway has not confirmed.
    pub unconfirmed_releases: BTreeSet<(usize, u64)>,
    pub costs: CostRecorder,
    pub held: HeldState,
}

impl Switch {
    pub fn new(location: Location, row: ListedSwitch) -> Self {
        Self {
            location,
            row,
            listed: true,
            state: SwitchState::Up,
            epoch: 0,
            connections: BTreeSet::new(),
            calls: BTreeMap::new(),
            unconfirmed_releases: BTreeSet::new(),
            costs: CostRecorder::default(),
            held: HeldState::default(),
        }
    }

    /// An open connection of this gateway's.
    pub fn connection_from(&self, gateway: usize) -> Option<ConnectionId> {
        let range = (gateway, ConnectionId(0))..=(gateway, ConnectionId(u64::MAX));
        self.connections.range(range).next().map(|(_, connection)| *connection)
    }

    /// All that it held is lost.
    pub fn drop_all_state(&mut self) -> Vec<ConnectionId> {
        self.epoch += 1;
        self.calls.clear();
        self.unconfirmed_releases.clear();
        std::mem::take(&mut self.connections).into_iter().map(|(_, connection)| connection).collect()
    }
}

/// A connection from a gateway to a core switch, as the network has it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub gateway: GatewayIncarnation,
    pub link: LinkId,
    pub switch: usize,
    /// It is up at the gateway.
    pub up: bool,
    /// The gateway has not closed it, and has not been told of its end.
    pub open_at_gateway: bool,
    pub open_at_switch: bool,
    /// The core switch has been reached, or will be.
    pub reaches_switch: bool,
    /// Set-ups on it that the core switch has not answered.
    pub set_ups: BTreeSet<u64>,
}

/// What a caller waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerState {
    /// An answer, until then.
    AwaitingAnswer(Duration),
    /// The end of its call.
    Established,
}

/// A call as its caller sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerCall {
    pub planned_call: usize,
    pub gateway: usize,
    pub client: ClientId,
    pub state: CallerState,
    /// Where it stands.
    pub switch: Option<usize>,
}

/// All callers.
#[derive(Default)]
pub(crate) struct Callers {
    /// Open connections of each gateway's callers, by place.
    pub connections: BTreeMap<(usize, u32), ClientId>,
    pub next_client: u64,
    pub calls: BTreeMap<u64, CallerCall>,
}

impl Callers {
    /// The connections to a gateway are gone.
    pub fn drop_gateway_connections(&mut self, gateway: usize) {
        self.connections.retain(|(owner, _), _| *owner != gateway);
    }

    pub fn drop_connection(&mut self, gateway: usize, client: ClientId) {
        self.connections.retain(|(owner, _), open| *owner != gateway || *open != client);
    }
}

/// The list of one service.
#[derive(Default)]
pub(crate) struct ServiceList {
    pub serial: u32,
    pub rows: Vec<ListedSwitch>,
    encoded: Option<Rc<[u8]>>,
}

impl ServiceList {
    pub fn replace(&mut self, rows: Vec<ListedSwitch>) {
        self.serial += 1;
        self.rows = rows;
        self.encoded = None;
    }

    /// The answer to a question; the same for all questions but for their ids.
    pub fn response(&mut self, question: &[u8]) -> Rc<[u8]> {
        let (serial, rows) = (self.serial, &self.rows);
        self.encoded.get_or_insert_with(|| encode_list_answer(question, serial, rows).into()).clone()
    }
}

/// The stand-in name server.
pub(crate) struct NameServer {
    pub location: Location,
    pub services: Vec<ServiceList>,
    pub costs: CostRecorder,
    pub held: HeldState,
}

/// The address of a core switch: one host each.
pub(crate) fn switch_address(number: usize) -> SocketAddr {
    const PORT: u16 = 5060;
    // A simulation has far fewer than 2^24 core switches.
    let [_, high, middle, low] = u32::try_from(number).unwrap_or(u32::MAX).to_be_bytes();
    SocketAddr::from(([10, high, middle, low], PORT))
}

/// What a message is counted as.
pub(crate) fn cause_of_verb(verb: Verb) -> Cause {
    match verb {
        Verb::Echo | Verb::Echoed | Verb::Load => Cause::Probes,
        _ => Cause::Calls,
    }
}

/// Reads a line that a gateway has written.
pub(crate) fn decode_line(line: &[u8]) -> Option<Message> {
    let mut decoder = Decoder::new();
    decoder.push(line);
    decoder.next_message().ok().flatten()
}
