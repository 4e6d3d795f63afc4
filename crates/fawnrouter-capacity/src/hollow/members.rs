//! The members of a played fleet and what the rig knows of them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fawnrouter_jsonl::{Decoder, Message, Verb};
use fawnrouter_node::{Ask, ClientId, LinkId, Node};
use rand_chacha::ChaCha8Rng;

use super::cost::Ledger;
use super::event::{ConnectionId, GatewayRun};
use super::scenario::Location;
use crate::figures::Cause;
use crate::platform::{ListedSwitch, encode_list_answer};

/// A gateway's process.
pub(crate) struct Process {
    pub node: Node,
    pub ask: Ask,
    /// Numbers of questions.
    pub ids: ChaCha8Rng,
    /// The number of the list that it was last given.
    pub serial: u32,
    /// For when its next wake-up is under way.
    pub armed: Option<Duration>,
    /// Callers' connections.
    pub clients: BTreeMap<ClientId, Decoder>,
    /// Connections to core switches.
    pub links: BTreeMap<LinkId, (ConnectionId, Decoder)>,
    /// It has been told to end.
    pub stopping: bool,
}

/// A gateway over all its starts.
pub(crate) struct Gateway {
    pub place: Location,
    /// How often it has been started.
    pub epoch: u32,
    pub process: Option<Process>,
    /// Connections of its last process that its core switches still take for open.
    pub orphans: Vec<ConnectionId>,
    /// When it last had an answer of the name server.
    pub answered: Duration,
    pub calls: Ledger,
    pub control: Ledger,
    pub held_for_calls: Held,
    pub held_for_control: Held,
}

impl Gateway {
    pub fn new(place: Location) -> Self {
        Self {
            place,
            epoch: 0,
            process: None,
            orphans: Vec::new(),
            answered: Duration::ZERO,
            calls: Ledger::default(),
            control: Ledger::default(),
            held_for_calls: Held::default(),
            held_for_control: Held::default(),
        }
    }

    /// Whether new calls are sent to it.
    pub fn takes_calls(&self) -> bool {
        self.process.as_ref().is_some_and(|process| !process.stopping)
    }
}

/// What is held at the last look, and the most at any.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Held {
    pub connections: u64,
    pub entries: u64,
    pub most_connections: u64,
    pub most_entries: u64,
}

impl Held {
    pub fn look(&mut self, connections: usize, entries: usize) {
        (self.connections, self.entries) = (connections as u64, entries as u64);
        self.most_connections = self.most_connections.max(self.connections);
        self.most_entries = self.most_entries.max(self.entries);
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
    pub stands: bool,
}

/// A stand-in core switch: it answers every set-up, holds the call and releases it.
pub(crate) struct Switch {
    pub place: Location,
    pub row: ListedSwitch,
    pub listed: bool,
    pub state: SwitchState,
    /// How often its state has changed; what concerns an earlier time is dropped.
    pub epoch: u32,
    /// Open connections, by the gateway that opened them.
    pub connections: BTreeSet<(usize, ConnectionId)>,
    pub calls: BTreeMap<u64, SwitchCall>,
    /// Releases that a gateway has not confirmed.
    pub unheard: BTreeSet<(usize, u64)>,
    pub ledger: Ledger,
    pub held: Held,
}

impl Switch {
    pub fn new(place: Location, row: ListedSwitch) -> Self {
        Self {
            place,
            row,
            listed: true,
            state: SwitchState::Up,
            epoch: 0,
            connections: BTreeSet::new(),
            calls: BTreeMap::new(),
            unheard: BTreeSet::new(),
            ledger: Ledger::default(),
            held: Held::default(),
        }
    }

    /// An open connection of this gateway's.
    pub fn connection_of(&self, gateway: usize) -> Option<ConnectionId> {
        let of_gateway = (gateway, ConnectionId(0))..=(gateway, ConnectionId(u64::MAX));
        self.connections.range(of_gateway).next().map(|(_, connection)| *connection)
    }

    /// All that it held is lost.
    pub fn lose_all(&mut self) -> Vec<ConnectionId> {
        self.epoch += 1;
        self.calls.clear();
        self.unheard.clear();
        std::mem::take(&mut self.connections).into_iter().map(|(_, connection)| connection).collect()
    }
}

/// A connection from a gateway to a core switch, as the network has it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub gateway: GatewayRun,
    pub link: LinkId,
    pub switch: usize,
    /// It is up at the gateway.
    pub up: bool,
    /// The gateway has not closed it, and has not been told of its end.
    pub open_at_gateway: bool,
    pub open_at_switch: bool,
    /// The core switch has been reached, or will be.
    pub reaches: bool,
    /// Set-ups on it that the core switch has not answered.
    pub set_ups: BTreeSet<u64>,
}

/// What a caller waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerState {
    /// An answer, until then.
    Answer(Duration),
    /// The end of its call.
    Release,
}

/// A call as its caller sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerCall {
    pub planned: usize,
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
    pub fn lose_gateway(&mut self, gateway: usize) {
        self.connections.retain(|(of, _), _| *of != gateway);
    }

    pub fn lose_connection(&mut self, gateway: usize, client: ClientId) {
        self.connections.retain(|(of, _), open| *of != gateway || *open != client);
    }
}

/// The list of one service.
#[derive(Default)]
pub(crate) struct ServiceList {
    pub serial: u32,
    pub rows: Vec<ListedSwitch>,
    answer: Option<Rc<[u8]>>,
}

impl ServiceList {
    pub fn renew(&mut self, rows: Vec<ListedSwitch>) {
        self.serial += 1;
        self.rows = rows;
        self.answer = None;
    }

    /// The answer to a question; the same for all questions but for their ids.
    pub fn answer(&mut self, question: &[u8]) -> Rc<[u8]> {
        let (serial, rows) = (self.serial, &self.rows);
        self.answer.get_or_insert_with(|| encode_list_answer(question, serial, rows).into()).clone()
    }
}

/// The stand-in name server.
pub(crate) struct ListSource {
    pub place: Location,
    pub services: Vec<ServiceList>,
    pub ledger: Ledger,
    pub held: Held,
}

/// The address of a core switch: one host each.
pub(crate) fn switch_address(number: usize) -> SocketAddr {
    const PORT: u16 = 5060;
    // A rig has far fewer than 2^24 core switches.
    let [_, high, middle, low] = u32::try_from(number).unwrap_or(u32::MAX).to_be_bytes();
    SocketAddr::from(([10, high, middle, low], PORT))
}

/// What a message is counted as.
pub(crate) fn cause_of(verb: Verb) -> Cause {
    match verb {
        Verb::Echo | Verb::Echoed | Verb::Load => Cause::Probes,
        _ => Cause::Calls,
    }
}

/// Reads a line that a gateway has written.
pub(crate) fn read_line(line: &[u8]) -> Option<Message> {
    let mut decoder = Decoder::new();
    decoder.push(line);
    decoder.next_message().ok().flatten()
}
