//! State of the simulated members of a fleet.

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

/// A running gateway process.
pub(crate) struct Process {
    pub node: Node,
    pub list_queries: Ask,
    /// Random source of query ids.
    pub query_ids: ChaCha8Rng,
    /// Serial of the last list that it received.
    pub list_serial: u32,
    /// Time of the earliest wake-up event in the queue.
    pub scheduled_wake: Option<Duration>,
    /// Connections from callers.
    pub clients: BTreeMap<ClientId, Decoder>,
    /// Connections to core switches.
    pub links: BTreeMap<LinkId, (ConnectionId, Decoder)>,
    /// Whether it is stopping.
    pub stopping: bool,
}

/// A gateway across all its starts.
pub(crate) struct Gateway {
    pub location: Location,
    /// Number of starts.
    pub epoch: u32,
    pub process: Option<Process>,
    /// Connections of its last process that core switches still consider open.
    pub stale_connections: Vec<ConnectionId>,
    /// Time of the last response from the name server.
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

    /// Whether callers send new calls to it.
    pub fn accepts_calls(&self) -> bool {
        self.process.as_ref().is_some_and(|process| !process.stopping)
    }
}

/// Connections and state entries at the last sample, and the most at any sample.
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

/// How a core switch reacts to connection attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SwitchState {
    /// Accepts them.
    Up,
    /// Refuses them, as its process is not running.
    Refusing,
    /// Does not react, as its machine is down.
    Silent,
}

/// A call held by a core switch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SwitchCall {
    /// Connection on which the set-up arrived.
    pub connection: ConnectionId,
    pub established: bool,
}

/// A simulated core switch: it answers every set-up, holds the call and releases it.
pub(crate) struct Switch {
    pub location: Location,
    pub row: ListedSwitch,
    pub listed: bool,
    pub state: SwitchState,
    /// Number of state changes; events scheduled before the last one are dropped.
    pub epoch: u32,
    /// Open connections, as pairs of gateway and connection.
    pub connections: BTreeSet<(usize, ConnectionId)>,
    pub calls: BTreeMap<u64, SwitchCall>,
    /// Releases that a gateway has not confirmed, as pairs of gateway and tag.
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

    /// An open connection from this gateway, if any.
    pub fn connection_from(&self, gateway: usize) -> Option<ConnectionId> {
        let range = (gateway, ConnectionId(0))..=(gateway, ConnectionId(u64::MAX));
        self.connections.range(range).next().map(|(_, connection)| *connection)
    }

    /// Drops all calls and connections, as the process or machine is gone. Returns the connections.
    pub fn drop_all_state(&mut self) -> Vec<ConnectionId> {
        self.epoch += 1;
        self.calls.clear();
        self.unconfirmed_releases.clear();
        std::mem::take(&mut self.connections).into_iter().map(|(_, connection)| connection).collect()
    }
}

/// A connection from a gateway to a core switch.
#[derive(Debug)]
pub(crate) struct Connection {
    pub gateway: GatewayIncarnation,
    pub link: LinkId,
    pub switch: usize,
    /// Whether the gateway knows that it is up.
    pub up: bool,
    /// Whether it is open at the gateway: neither closed by it nor reported as ended to it.
    pub open_at_gateway: bool,
    pub open_at_switch: bool,
    /// Whether the connection attempt reaches the core switch.
    pub reaches_switch: bool,
    /// Tags of set-ups on it that the core switch has not answered.
    pub set_ups: BTreeSet<u64>,
}

/// State of a call at its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerState {
    /// Waits for an answer until this time.
    AwaitingAnswer(Duration),
    /// Established; waits for its release.
    Established,
}

/// A call as its caller sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerCall {
    pub planned_call: usize,
    pub gateway: usize,
    pub client: ClientId,
    pub state: CallerState,
    /// The core switch that holds the established call.
    pub switch: Option<usize>,
}

/// All callers and their calls.
#[derive(Default)]
pub(crate) struct Callers {
    /// Open connections, by gateway and index.
    pub connections: BTreeMap<(usize, u32), ClientId>,
    pub next_client: u64,
    pub calls: BTreeMap<u64, CallerCall>,
}

impl Callers {
    /// Drops all connections to a gateway that is gone.
    pub fn drop_gateway_connections(&mut self, gateway: usize) {
        self.connections.retain(|(owner, _), _| *owner != gateway);
    }

    pub fn drop_connection(&mut self, gateway: usize, client: ClientId) {
        self.connections.retain(|(owner, _), open| *owner != gateway || *open != client);
    }
}

/// The list of one service at the name server.
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

    /// The encoded response to a query. All responses are equal except for their ids.
    pub fn response(&mut self, query: &[u8]) -> Rc<[u8]> {
        let (serial, rows) = (self.serial, &self.rows);
        self.encoded.get_or_insert_with(|| encode_list_answer(query, serial, rows).into()).clone()
    }
}

/// The simulated name server.
pub(crate) struct NameServer {
    pub location: Location,
    pub services: Vec<ServiceList>,
    pub costs: CostRecorder,
    pub held: HeldState,
}

/// Address of a core switch; each has a host of its own.
pub(crate) fn switch_address(number: usize) -> SocketAddr {
    const PORT: u16 = 5060;
    // A simulation has far fewer than 2^24 core switches.
    let [_, high, middle, low] = u32::try_from(number).unwrap_or(u32::MAX).to_be_bytes();
    SocketAddr::from(([10, high, middle, low], PORT))
}

/// The cause that a message is counted under.
pub(crate) fn cause_of_verb(verb: Verb) -> Cause {
    match verb {
        Verb::Echo | Verb::Echoed | Verb::Load => Cause::Probes,
        _ => Cause::Calls,
    }
}

/// Decodes a line written by a gateway; `None` if it is no message.
pub(crate) fn decode_line(line: &[u8]) -> Option<Message> {
    let mut decoder = Decoder::new();
    decoder.push(line);
    decoder.next_message().ok().flatten()
}
