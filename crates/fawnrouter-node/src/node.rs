//! Inputs, the controller's events and actions, and what comes due. What concerns attempts, connections to core
//! switches, standing calls, callers, the list and the end has a file each.

mod attempts;
mod callers;
mod established;
mod interface;
mod shutdown;
mod switch_links;
mod switch_list;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fawnrouter::{
    Action, CallId, Controller, Event, LoadReport, Outcome, OutcomeDetail, ServerId, Settings, SettingsError,
    Time, TimerId,
};
use fawnrouter_bootinfo::{ConnectionSettings, NameIndex};
use fawnrouter_jsonl::{Message, Tag, Verb};
use fawnrouter_machine::{Decide, StateMachine, TimerQueue};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

pub use self::interface::{Counters, Input, LinkEnd, NodeSettings, Output};
use crate::calls::Calls;
use crate::client_connections::{ClientId, Seats};
use crate::links::{LinkId, Links, Need};
use crate::liveness::Life;
use crate::request::{self, cause};
use crate::switch_list::{Ids, ListedSwitch, Pool};

/// Causes of a test's answer ("test passed, failed: cause 1 or 0").
const TEST_PASSED: i64 = 1;
const TEST_FAILED: i64 = 0;
/// An answer that the decisions have not given by then is a failure: so long before the caller's time is up.
const LAST_CALL: Duration = Duration::from_millis(25);
/// A client that is overdue and has a set-up open is looked at again after this time.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// Between two looks for connections that are idle for too long, at the most; and the share of the platform's idle time
/// that they are apart at the most. Guards against a connection that is found idle only as its core switch closes it.
const HOUSE: Duration = Duration::from_secs(1);
const HOUSE_SHARE: f64 = 0.1;
/// A test without an answer is forgotten after this time.
const PROBE_MEMORY: Duration = Duration::from_secs(5);
/// Releases towards a client that has no connection wait this long for one: the page's 8 s and a margin.
const NEWS_MEMORY: Duration = Duration::from_secs(10);
/// The most of those.
const MAX_NEWS: usize = 4096;

/// What comes due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Module(TimerId),
    Attempt(Tag),
    Call(Tag),
    Redial(ServerId),
    Life(ServerId),
    Client(ClientId),
    House,
    Stop,
}

#[derive(Debug)]
struct Server {
    id: String,
    listed: Option<ListedSwitch>,
    life: Life,
}

/// The gateway.
#[derive(Debug)]
pub struct Node {
    controller: Box<dyn Decide>,
    decisions: Settings,
    names: NameIndex,
    sockets: ConnectionSettings,
    rng: ChaCha8Rng,
    now: Time,
    calls: Calls,
    links: Links,
    seats: Seats,
    /// Clients whose connections are on their way out: their set-ups are not taken any more, and what they end is. With
    /// what is said to one that turns out to have sent nothing whole.
    leaving: BTreeMap<ClientId, Option<Vec<u8>>>,
    /// Releases that wait for a connection of a caller's.
    news: VecDeque<(Time, Tag, Vec<u8>)>,
    servers: BTreeMap<ServerId, Server>,
    ids: Ids,
    serial: Option<u32>,
    probes: BTreeMap<Tag, (ServerId, Time, bool)>,
    due: TimerQueue<Key>,
    /// Between two looks for idle connections.
    house: Duration,
    events: VecDeque<Event>,
    stopping: Option<Time>,
    /// Since when, at the end, nothing is owed but releases that wait for a connection.
    wound_up: Option<Time>,
    done: bool,
    counters: Counters,
    out: Vec<Output>,
}

impl StateMachine for Node {
    type Input = Input;
    type Output = Output;

    fn handle(&mut self, now: Time, input: Input, outputs: &mut Vec<Output>) {
        Node::handle(self, now, input, outputs);
    }

    fn next_wake(&self) -> Option<Time> {
        Node::next_wake(self)
    }

    fn wake() -> Input {
        Input::Wake
    }
}

impl Node {
    /// A gateway with the decision module inside.
    ///
    /// # Errors
    /// Where the module refuses the settings.
    pub fn new(settings: NodeSettings) -> Result<Self, SettingsError> {
        let controller = Controller::new(settings.controller_settings.clone(), settings.seed)?;
        Ok(Self::with_controller(settings, Box::new(controller)))
    }

    /// The same around other decisions.
    #[must_use]
    pub fn with_controller(settings: NodeSettings, controller: Box<dyn Decide>) -> Self {
        Self {
            controller,
            decisions: settings.controller_settings,
            names: settings.names,
            sockets: settings.connections,
            // Another stream than the controller's, which has the seed itself.
            rng: ChaCha8Rng::seed_from_u64(settings.seed ^ 0x6e6f_6465),
            now: Time::default(),
            calls: Calls::default(),
            links: Links::new(
                settings.max_links,
                settings.connections.max_set_ups_per_connection,
                settings.connections.idle_timeout,
            ),
            seats: Seats::new(settings.max_clients),
            leaving: BTreeMap::new(),
            news: VecDeque::new(),
            servers: BTreeMap::new(),
            ids: Ids::default(),
            serial: None,
            probes: BTreeMap::new(),
            due: TimerQueue::default(),
            house: HOUSE.min(settings.connections.idle_timeout.mul_f64(HOUSE_SHARE)).max(LOOK_AGAIN),
            events: VecDeque::new(),
            stopping: None,
            wound_up: None,
            done: false,
            counters: Counters::default(),
            out: Vec::new(),
        }
    }

    /// Counts since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// What is held now: open calls, standing calls, clients' connections, connections to core switches, switches.
    #[must_use]
    pub fn held(&self) -> [usize; 5] {
        [
            self.calls.open.len(),
            self.calls.standing.len(),
            self.seats.len(),
            self.links.links.len(),
            self.servers.len(),
        ]
    }

    /// When [`Input::Wake`] is wanted.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.due.next_at()
    }

    /// Takes an input at the clock's reading `now` (time since the Unix epoch) and appends what is to be done.
    pub fn handle(&mut self, now: Time, input: Input, outputs: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if !self.due.is_set(Key::House) {
            self.due.set(Key::House, self.now.plus(self.house));
        }
        match input {
            Input::ClientConnected { client } => self.client_up(client),
            Input::ClientMessage { client, message } => {
                if self.seats.is_in(client) {
                    self.seats.spoke(self.now, client);
                    self.client_message(client, message);
                } else if self.leaving.contains_key(&client) {
                    self.last_message(client, message);
                }
            }
            Input::SetUpWithdrawn { client, message } => {
                if self.seats.is_in(client) || self.leaving.contains_key(&client) {
                    self.seats.spoke(self.now, client);
                    self.withdrawn(client, message);
                }
            }
            Input::ClientHalfClosed { client } => {
                if self.seats.is_in(client) {
                    self.leaving.insert(client, None);
                }
                self.client_down(client);
            }
            Input::NotDelivered { tag } => self.unheard(tag),
            Input::ClientFullyRead { client } => {
                if let Some(line) = self.leaving.get_mut(&client).and_then(Option::take) {
                    self.out.push(Output::ToClient { client, line });
                }
            }
            Input::ClientBytesRead { client, partial_line: half } => {
                self.seats.half(self.now, client, half);
                self.watch(client);
            }
            Input::ClientDecodeError { client, fault } => self.client_fault(client, &fault),
            Input::ClientDisconnected { client } => {
                self.client_down(client);
                self.leaving.remove(&client);
            }
            Input::LinkUp { link } => self.link_up(link),
            Input::LinkMessage { link, message } => self.link_message(link, message),
            Input::LinkDecodeError { link, fault } => self.link_fault(link, &fault.to_string()),
            Input::LinkDown { link, end } => self.link_down(link, end),
            Input::SetUpRecalled { link, tag } => self.recalled(link, tag),
            Input::ListResponse(answer) => match Pool::from_response(&answer) {
                Ok(pool) => self.take_pool(&pool),
                Err(error) => self.log(format!("the name server's list is not used: {error}")),
            },
            Input::ConfiguredList(pool) => self.take_pool(&pool),
            Input::Stop => self.stop(),
            Input::Wake => {}
        }
        self.decide();
        while let Some(key) = self.due.pop_due(self.now) {
            self.came_due(key);
            self.decide();
        }
        self.end();
        outputs.append(&mut self.out);
    }

    fn log(&mut self, line: String) {
        self.out.push(Output::Log(line));
    }

    fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    // ---- The decisions ----------------------------------------------------------------------------------------
    /// Gives the controller what happened and carries out what it says, until nothing more happens.
    fn decide(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.controller.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Issue { call, server, within } => self.issue(request::tag(call), server, within),
            Action::Cancel { call, attempt } => {
                let tag = request::tag(call);
                if self.calls.open.get(&tag).and_then(|c| c.out).is_some_and(|a| a.no == attempt) {
                    self.withdraw(tag);
                    self.attempt_ended(tag, Outcome::Cancelled, OutcomeDetail::None);
                }
            }
            Action::Refuse { call, retry_after } => {
                let finish = Message::new(Verb::Finish, request::tag(call)).with_cause(cause::NO_CIRCUIT);
                let wait = retry_after.as_millis();
                self.counters.refused += 1;
                self.answer(
                    request::tag(call),
                    if wait > 0 { finish.with_option("wait", wait) } else { finish },
                );
            }
            Action::Fail(call) => {
                self.counters.failed += 1;
                let finish = Message::new(Verb::Finish, request::tag(call));
                self.answer(request::tag(call), finish.with_cause(cause::TEMPORARY_FAILURE));
            }
            Action::SetTimer { after, timer } => self.due.set(Key::Module(timer), self.now.plus(after)),
            Action::Probe(server) => {
                if !self.probe(server, true) {
                    self.events.push_back(Event::Probed {
                        server,
                        ok: false,
                        took: Duration::ZERO,
                        report: LoadReport::default(),
                    });
                }
            }
            // The platform's gateways have no way to write to each other, and its list is polled anyway.
            Action::SendToPeer { .. } | Action::Subscribe | Action::FetchList => {}
            Action::Log(line) => self.log(line),
        }
    }

    // ---- Time -------------------------------------------------------------------------------------------------
    fn came_due(&mut self, key: Key) {
        match key {
            Key::Module(timer) => self.events.push_back(Event::Timer(timer)),
            Key::Attempt(tag) => {
                let Some(attempt) = self.calls.open.get(&tag).and_then(|c| c.out) else { return };
                self.withdraw(tag);
                let outcome = if attempt.sent.is_some() { Outcome::TimedOut } else { Outcome::ConnectFailed };
                self.attempt_ended(tag, outcome, OutcomeDetail::None);
            }
            Key::Call(tag) => {
                let Some(open) = self.calls.open.get(&tag) else { return };
                if self.now < open.deadline {
                    // The decisions end each call before this; only a process that stood still comes here.
                    self.counters.failed += 1;
                    self.events.push_back(Event::Abandoned(CallId(tag.0)));
                    self.answer(tag, Message::new(Verb::Finish, tag).with_cause(cause::TEMPORARY_FAILURE));
                } else {
                    self.lapse(tag);
                }
            }
            Key::Redial(server) => self.tend(server),
            Key::Life(server) => self.look_after(server),
            Key::Client(client) => {
                if self.seats.overdue(self.now, client) {
                    self.part(client, cause::MISSING, "no whole message came in time");
                } else {
                    self.watch(client);
                }
            }
            Key::House => self.keep_house(),
            Key::Stop => {}
        }
    }

    fn keep_house(&mut self) {
        self.due.set(Key::House, self.now.plus(self.house));
        let unused = self.links.idle().filter(|(_, server)| self.need(*server) == Need::None);
        let unused: Vec<LinkId> = unused.map(|(link, _)| link).collect();
        for link in self.links.stale(self.now).into_iter().chain(unused) {
            self.close_link(link);
        }
        let now = self.now;
        self.news.retain(|(told, _, _)| now.since(*told) < NEWS_MEMORY);
        for server in self.servers.keys().copied().collect::<Vec<_>>() {
            self.maybe_forget(server);
        }
    }
}
