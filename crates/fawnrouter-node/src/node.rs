//! The gateway's state machine: inputs, the controller's events and actions, and timers. Attempts,
//! connections to core switches, established calls, callers, the list and the shutdown have a file each.

mod attempts;
mod caller_notices;
mod callers;
mod established;
mod interface;
mod link_checks;
mod shutdown;
mod switch_links;
mod switch_list;
mod switch_messages;

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

use self::caller_notices::PendingNotice;
pub use self::interface::{Counters, Input, LinkEnd, NodeSettings, Output};
use crate::calls::Calls;
use crate::client_connections::{ClientConnections, ClientId};
use crate::links::{LinkId, LinkNeed, Links};
use crate::liveness::Liveness;
use crate::open_call_shares::OpenCallShares;
use crate::request::{self, cause};
use crate::switch_list::{ListedSwitch, Pool, ServerIds};

/// Causes in the answer to a test.
const TEST_PASSED: i64 = 1;
const TEST_FAILED: i64 = 0;
/// A call that the controller has not answered this long before its deadline is failed.
const FINAL_ANSWER_MARGIN: Duration = Duration::from_millis(25);
/// An overdue client with an open set-up is checked again after this time.
const CLIENT_RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two checks for idle connections.
const MAX_HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time between two checks as a fraction of the platform's idle timeout. With less frequent checks a
/// connection could be found idle only when its core switch closes it.
const HOUSEKEEPING_IDLE_FRACTION: f64 = 0.1;
/// A probe without an answer is forgotten after this time.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKey {
    ControllerTimer(TimerId),
    AttemptTimeout(Tag),
    CallDeadline(Tag),
    Redial(ServerId),
    LivenessCheck(ServerId),
    LinkCheck(ServerId),
    ClientCheck(ClientId),
    Housekeeping,
    Shutdown,
}

/// A probe (an ECHO) sent to a core switch and not answered yet.
#[derive(Debug)]
struct Probe {
    server: ServerId,
    link: LinkId,
    sent_at: Time,
    /// Requested by the controller, which then gets the result; otherwise sent by the liveness check.
    by_controller: bool,
}

/// A core switch that is listed or still has calls.
#[derive(Debug)]
struct Server {
    id: String,
    listed: Option<ListedSwitch>,
    /// When this gateway saw it listed for the first time.
    first_listed_at: Time,
    /// Whether a process may have run under this id before its present start. Not so if this gateway has seen
    /// the id listed for the first time with this start.
    may_have_earlier_start: bool,
    liveness: Liveness,
}

/// The gateway.
#[derive(Debug)]
pub struct Node {
    controller: Box<dyn Decide>,
    controller_settings: Settings,
    names: NameIndex,
    connections: ConnectionSettings,
    rng: ChaCha8Rng,
    now: Time,
    /// When the first list was applied.
    started_at: Time,
    calls: Calls,
    open_call_shares: OpenCallShares,
    links: Links,
    client_connections: ClientConnections,
    /// Clients whose connections are being closed: they may no longer set up calls, but what they release is
    /// released. With the error to send to a client that turns out to have sent no whole message.
    closing_clients: BTreeMap<ClientId, Option<Vec<u8>>>,
    /// Releases that wait for a caller's connection.
    pending_notices: VecDeque<PendingNotice>,
    servers: BTreeMap<ServerId, Server>,
    server_ids: ServerIds,
    list_serial: Option<u32>,
    probes: BTreeMap<Tag, Probe>,
    timers: TimerQueue<TimerKey>,
    /// Time between two checks for idle connections.
    housekeeping_interval: Duration,
    events: VecDeque<Event>,
    stop_requested_at: Option<Time>,
    /// Since when, during shutdown, nothing is left but releases that wait for a connection.
    drained_since: Option<Time>,
    /// The shutdown is over, and [`Output::Done`] was returned.
    done: bool,
    counters: Counters,
    outputs: Vec<Output>,
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
    /// A gateway with the controller.
    ///
    /// # Errors
    /// When the controller rejects the settings.
    pub fn new(settings: NodeSettings) -> Result<Self, SettingsError> {
        let controller = Controller::new(settings.controller_settings.clone(), settings.seed)?;
        Ok(Self::with_controller(settings, Box::new(controller)))
    }

    /// A gateway with something else in place of the controller.
    #[must_use]
    pub fn with_controller(settings: NodeSettings, controller: Box<dyn Decide>) -> Self {
        Self {
            controller,
            controller_settings: settings.controller_settings,
            names: settings.names,
            connections: settings.connections,
            // Another stream than that of the controller, which is seeded with the seed itself.
            rng: ChaCha8Rng::seed_from_u64(settings.seed ^ 0x6e6f_6465),
            now: Time::default(),
            started_at: Time::default(),
            calls: Calls::default(),
            open_call_shares: OpenCallShares {
                max_calls: settings.connections.max_open_calls,
                max_bytes: settings.memory.open_calls,
            },
            links: Links::new(
                settings.max_links,
                settings.connections.max_set_ups_per_connection,
                settings.connections.idle_timeout,
            ),
            client_connections: ClientConnections::new(settings.max_clients),
            closing_clients: BTreeMap::new(),
            pending_notices: VecDeque::new(),
            servers: BTreeMap::new(),
            server_ids: ServerIds::default(),
            list_serial: None,
            probes: BTreeMap::new(),
            timers: TimerQueue::default(),
            housekeeping_interval: MAX_HOUSEKEEPING_INTERVAL
                .min(settings.connections.idle_timeout.mul_f64(HOUSEKEEPING_IDLE_FRACTION))
                .max(CLIENT_RECHECK_INTERVAL),
            events: VecDeque::new(),
            stop_requested_at: None,
            drained_since: None,
            done: false,
            counters: Counters::default(),
            outputs: Vec::new(),
        }
    }

    /// Counts since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Sizes of the state: open calls, established calls, client connections, connections to core switches,
    /// core switches.
    #[must_use]
    pub fn state_sizes(&self) -> [usize; 5] {
        [
            self.calls.open.len(),
            self.calls.established.len(),
            self.client_connections.len(),
            self.links.links.len(),
            self.servers.len(),
        ]
    }

    /// When [`Input::Wake`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.next_at()
    }

    /// Processes an input at time `now` (since the Unix epoch) and appends the resulting outputs.
    pub fn handle(&mut self, now: Time, input: Input, outputs: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if !self.timers.is_set(TimerKey::Housekeeping) {
            self.timers.set(TimerKey::Housekeeping, self.now.plus(self.housekeeping_interval));
        }
        match input {
            Input::ClientConnected { client } => self.client_connected(client),
            Input::ClientMessage { client, message } => {
                if self.client_connections.contains(client) {
                    self.client_connections.message_received(self.now, client);
                    self.client_message(client, message);
                } else if self.closing_clients.contains_key(&client) {
                    self.message_while_closing(client, message);
                }
            }
            Input::SetUpWithdrawn { client, message } => {
                if self.client_connections.contains(client) || self.closing_clients.contains_key(&client) {
                    self.client_connections.message_received(self.now, client);
                    self.set_up_withdrawn(client, message);
                }
            }
            Input::ClientHalfClosed { client } => {
                if self.client_connections.contains(client) {
                    self.closing_clients.insert(client, None);
                }
                self.client_disconnected(client);
            }
            Input::NotDelivered { tag } => self.not_delivered(tag),
            Input::ClientFullyRead { client } => {
                if let Some(line) = self.closing_clients.get_mut(&client).and_then(Option::take) {
                    self.outputs.push(Output::ToClient { client, line });
                }
            }
            Input::ClientBytesRead { client, partial_line } => {
                self.client_connections.set_partial_line(self.now, client, partial_line);
                self.schedule_client_check(client);
            }
            Input::ClientDecodeError { client, error } => self.client_decode_error(client, &error),
            Input::ClientDisconnected { client } => {
                self.client_disconnected(client);
                self.closing_clients.remove(&client);
            }
            Input::LinkUp { link } => self.link_up(link),
            Input::LinkMessage { link, message } => self.link_message(link, message),
            Input::LinkDecodeError { link, error } => self.close_faulty_link(link, &error.to_string()),
            Input::LinkDown { link, end } => self.link_down(link, end),
            Input::SetUpRecalled { link, tag } => self.set_up_recalled(link, tag),
            Input::ListResponse(answer) => match Pool::from_response(&answer) {
                Ok(pool) => self.apply_list(&pool),
                Err(error) => self.log(format!("the name server's list is not used: {error}")),
            },
            Input::ConfiguredList(pool) => self.apply_list(&pool),
            Input::Stop => self.begin_shutdown(),
            Input::Wake => {}
        }
        self.run_controller();
        while let Some(key) = self.timers.pop_due(self.now) {
            self.timer_expired(key);
            self.run_controller();
        }
        self.finish_shutdown();
        outputs.append(&mut self.outputs);
    }

    fn log(&mut self, line: String) {
        self.outputs.push(Output::Log(line));
    }

    /// A random number from 0 to 1.
    fn random_unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Passes the queued events to the controller and carries out its actions, until no event is left.
    fn run_controller(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.controller.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    /// Carries out one action of the controller.
    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Issue { call, server, within } => {
                self.issue_attempt(request::tag_of_call(call), server, within)
            }
            Action::Cancel { call, attempt } => {
                let tag = request::tag_of_call(call);
                if self.calls.open.get(&tag).and_then(|c| c.attempt).is_some_and(|a| a.no == attempt) {
                    self.withdraw_attempt(tag);
                    self.attempt_failed(tag, Outcome::Cancelled, OutcomeDetail::None);
                }
            }
            Action::Refuse { call, retry_after } => {
                let finish =
                    Message::new(Verb::Finish, request::tag_of_call(call)).with_cause(cause::NO_CIRCUIT);
                let wait = retry_after.as_millis();
                self.counters.refused += 1;
                self.end_open_call(
                    request::tag_of_call(call),
                    if wait > 0 { finish.with_option("wait", wait) } else { finish },
                );
            }
            Action::Fail(call) => {
                self.counters.failed += 1;
                let finish = Message::new(Verb::Finish, request::tag_of_call(call));
                self.end_open_call(request::tag_of_call(call), finish.with_cause(cause::TEMPORARY_FAILURE));
            }
            Action::SetTimer { after, timer } => {
                self.timers.set(TimerKey::ControllerTimer(timer), self.now.plus(after))
            }
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
            // The platform's gateways cannot write to each other, and the list is polled anyway.
            Action::SendToPeer { .. } | Action::Subscribe | Action::FetchList => {}
            Action::Log(line) => self.log(line),
        }
    }

    /// Handles a timer that has expired.
    fn timer_expired(&mut self, key: TimerKey) {
        match key {
            TimerKey::ControllerTimer(timer) => self.events.push_back(Event::Timer(timer)),
            TimerKey::AttemptTimeout(tag) => {
                let Some(attempt) = self.calls.open.get(&tag).and_then(|c| c.attempt) else { return };
                self.withdraw_attempt(tag);
                let outcome = if attempt.sent.is_some() { Outcome::TimedOut } else { Outcome::ConnectFailed };
                self.attempt_failed(tag, outcome, OutcomeDetail::None);
            }
            TimerKey::CallDeadline(tag) => {
                let Some(open) = self.calls.open.get(&tag) else { return };
                if self.now < open.deadline {
                    // The controller ends each call before this, unless this process was suspended.
                    self.counters.failed += 1;
                    self.events.push_back(Event::Abandoned(CallId(tag.0)));
                    self.end_open_call(
                        tag,
                        Message::new(Verb::Finish, tag).with_cause(cause::TEMPORARY_FAILURE),
                    );
                } else {
                    self.abandon_call(tag);
                }
            }
            TimerKey::Redial(server) => self.open_missing_links(server),
            TimerKey::LivenessCheck(server) => self.check_liveness(server),
            TimerKey::LinkCheck(server) => self.check_links(server),
            TimerKey::ClientCheck(client) => {
                if self.client_connections.is_overdue(self.now, client) {
                    self.close_with_error_if_unused(client, cause::MISSING, "no whole message came in time");
                } else {
                    self.schedule_client_check(client);
                }
            }
            TimerKey::Housekeeping => self.housekeep(),
            TimerKey::Shutdown => {}
        }
    }

    /// Closes connections that are idle or not needed, and drops expired state.
    fn housekeep(&mut self) {
        self.timers.set(TimerKey::Housekeeping, self.now.plus(self.housekeeping_interval));
        let unused = self.links.idle_links().filter(|(_, server)| self.link_need(*server) == LinkNeed::None);
        let unused: Vec<LinkId> = unused.map(|(link, _)| link).collect();
        for link in self.links.links_idle_too_long(self.now).into_iter().chain(unused) {
            self.close_link(link);
        }
        self.check_pending_notices();
        for server in self.servers.keys().copied().collect::<Vec<_>>() {
            self.forget_if_unused(server);
        }
    }
}
