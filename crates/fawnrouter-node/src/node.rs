//! Inputs, the controller's events and actions, and what comes due.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use fawnrouter::{
    Action, AttemptNo, CallId, Controller, Event, ListKind, Note, Outcome, Report, ServerId, ServerState,
    Settings, SettingsError, Time, TimerId,
};
use fawnrouter_bootinfo::{Names, Sockets};
use fawnrouter_dns::Answer;
use fawnrouter_jsonl::{Fault, Message, Tag, Verb};
use fawnrouter_machine::{Decide, Due, Machine};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

use crate::boot::Boot;
use crate::calls::{Attempt, Calls, MAX_STANDING, Open, Standing};
use crate::links::{LinkId, Links, Need, Pick};
use crate::liveness::{Life, Sign, Verdict};
use crate::pool::{Ids, Listed, Pool, entry};
use crate::request::{self, Request, cause};
use crate::seats::{Arrival, ClientId, Seats};

/// After SIGTERM set-ups are served as usual for this long (the page's 0.4 s for new connections and 0.2 s for
/// requests on open ones, and a margin); later ones are refused.
const STOP_AFTER: Duration = Duration::from_millis(700);
/// Causes of a test's answer ("test passed, failed: cause 1 or 0").
const TEST_PASSED: i64 = 1;
const TEST_FAILED: i64 = 0;
/// An answer that the decisions have not given by then is a failure: so long before the caller's time is up.
const LAST_CALL: Duration = Duration::from_millis(25);
/// A client that is overdue and has a set-up open is looked at again after this time.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// Between two looks for connections that are idle for too long.
const HOUSE: Duration = Duration::from_secs(1);
/// A test without an answer is forgotten after this time.
const PROBE_MEMORY: Duration = Duration::from_secs(5);
/// Releases towards a client that has no connection wait this long for one: the page's 8 s and a margin.
const NEWS_MEMORY: Duration = Duration::from_secs(10);
/// The most of those.
const MAX_NEWS: usize = 4096;

/// All that a gateway is told at its start.
#[derive(Debug)]
pub struct NodeSettings {
    /// The decisions' settings.
    pub decisions: Settings,
    /// The names that calls carry.
    pub names: Names,
    /// What the settings say of connections.
    pub sockets: Sockets,
    /// Clients' connections at the most.
    pub clients: usize,
    /// Connections to core switches at the most.
    pub links: usize,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl NodeSettings {
    /// Divides the descriptors beforehand: a half is clients' (callers keep to a third), a quarter core switches',
    /// the rest is left for the name server, connections that are being closed, the standard streams.
    #[must_use]
    pub fn new(boot: &Boot) -> Self {
        Self {
            decisions: boot.settings.clone(),
            names: boot.names.clone(),
            sockets: boot.sockets,
            clients: boot.descriptors / 2,
            links: boot.descriptors / 4,
            seed: boot.seed,
        }
    }
}

/// How a connection to a core switch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// It was refused: nobody listens.
    Refused,
    /// It did not come up in time, or could not be made.
    Unreached,
    /// It was up, and is closed or reset.
    Broken,
}

/// What happened.
#[derive(Debug)]
pub enum Input {
    /// A client connected.
    ClientUp {
        /// Its number.
        client: ClientId,
    },
    /// A client sent something whole.
    ClientMessage {
        /// Which.
        client: ClientId,
        /// What.
        message: Message,
    },
    /// A client's bytes have been read; whether a part of a line lies there.
    ClientRead {
        /// Which.
        client: ClientId,
        /// Part of a line is there.
        half: bool,
    },
    /// A client sent what is no message.
    ClientFault {
        /// Which.
        client: ClientId,
        /// What is wrong.
        fault: Fault,
    },
    /// A client's connection ended.
    ClientDown {
        /// Which.
        client: ClientId,
    },
    /// A connection to a core switch is up.
    LinkUp {
        /// Which.
        link: LinkId,
    },
    /// A core switch sent something whole.
    LinkMessage {
        /// On which connection.
        link: LinkId,
        /// What.
        message: Message,
    },
    /// A core switch sent what is no message.
    LinkFault {
        /// On which connection.
        link: LinkId,
        /// What is wrong.
        fault: Fault,
    },
    /// A connection to a core switch ended or did not come up.
    LinkDown {
        /// Which.
        link: LinkId,
        /// How.
        end: LinkEnd,
    },
    /// The name server answered.
    Answer(Answer),
    /// A new configuration holds this list.
    Known(Pool),
    /// The gateway is to end.
    Stop,
    /// Something is due.
    Wake,
}

/// What is to be done, in this order.
#[derive(Debug, PartialEq, Eq)]
pub enum Output {
    /// Write to a client.
    ToClient {
        /// Which.
        client: ClientId,
        /// A line.
        line: Vec<u8>,
    },
    /// Write what waits, then close a client's connection in order.
    CloseClient {
        /// Which.
        client: ClientId,
    },
    /// Open a connection to a core switch.
    OpenLink {
        /// Its number.
        link: LinkId,
        /// Where to.
        address: SocketAddr,
        /// It must be up within this time.
        within: Duration,
    },
    /// Write to a core switch.
    ToLink {
        /// On which connection.
        link: LinkId,
        /// A line.
        line: Vec<u8>,
    },
    /// Close a connection to a core switch.
    CloseLink {
        /// Which.
        link: LinkId,
    },
    /// A line for the operators.
    Log(String),
    /// Nothing is owed any more: the gateway may end.
    Done,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Set-ups taken.
    pub taken: u64,
    /// Calls that stood.
    pub stood: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Given up by their callers.
    pub lapsed: u64,
    /// Set-ups that made no sense.
    pub invalid: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Standing calls that a core switch lost.
    pub cut: u64,
    /// Answers that could not be read or used.
    pub spoilt: u64,
    /// Connections of clients that got no seat or had to leave theirs.
    pub unseated: u64,
}

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
    listed: Option<Listed>,
    life: Life,
}

/// The gateway.
#[derive(Debug)]
pub struct Node {
    controller: Box<dyn Decide>,
    decisions: Settings,
    names: Names,
    sockets: Sockets,
    rng: ChaCha8Rng,
    now: Time,
    calls: Calls,
    links: Links,
    seats: Seats,
    /// Releases that wait for a connection of a caller's.
    news: VecDeque<(Time, Vec<u8>)>,
    servers: BTreeMap<ServerId, Server>,
    ids: Ids,
    serial: Option<u32>,
    probes: BTreeMap<Tag, (ServerId, Time, bool)>,
    due: Due<Key>,
    events: VecDeque<Event>,
    stopping: Option<Time>,
    done: bool,
    counters: Counters,
    out: Vec<Output>,
}

impl Machine for Node {
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
        let controller = Controller::new(settings.decisions.clone(), settings.seed)?;
        Ok(Self::with(settings, Box::new(controller)))
    }

    /// The same around other decisions.
    #[must_use]
    pub fn with(settings: NodeSettings, controller: Box<dyn Decide>) -> Self {
        Self {
            controller,
            decisions: settings.decisions,
            names: settings.names,
            sockets: settings.sockets,
            // Another stream than the controller's, which has the seed itself.
            rng: ChaCha8Rng::seed_from_u64(settings.seed ^ 0x6e6f_6465),
            now: Time::default(),
            calls: Calls::default(),
            links: Links::new(settings.links, settings.sockets.multiplex, settings.sockets.idle),
            seats: Seats::new(settings.clients),
            news: VecDeque::new(),
            servers: BTreeMap::new(),
            ids: Ids::default(),
            serial: None,
            probes: BTreeMap::new(),
            due: Due::default(),
            events: VecDeque::new(),
            stopping: None,
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
        self.due.first()
    }

    /// Takes an input at the clock's reading `now` (time since the Unix epoch) and appends what is to be done.
    pub fn handle(&mut self, now: Time, input: Input, outputs: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if !self.due.is_set(Key::House) {
            self.due.set(Key::House, self.now.plus(HOUSE));
        }
        match input {
            Input::ClientUp { client } => self.client_up(client),
            Input::ClientMessage { client, message } => {
                if self.seats.is_in(client) {
                    self.seats.spoke(self.now, client);
                    self.client_message(client, message);
                }
            }
            Input::ClientRead { client, half } => {
                self.seats.half(self.now, client, half);
                self.watch(client);
            }
            Input::ClientFault { client, fault } => self.client_fault(client, &fault),
            Input::ClientDown { client } => self.client_down(client),
            Input::LinkUp { link } => self.link_up(link),
            Input::LinkMessage { link, message } => self.link_message(link, message),
            Input::LinkFault { link, fault } => self.link_fault(link, &fault.to_string()),
            Input::LinkDown { link, end } => self.link_down(link, end),
            Input::Answer(answer) => match Pool::answer(&answer) {
                Ok(pool) => self.take_pool(&pool),
                Err(error) => self.log(format!("the name server's list is not used: {error}")),
            },
            Input::Known(pool) => self.take_pool(&pool),
            Input::Stop => {
                if self.stopping.is_none() {
                    self.stopping = Some(self.now);
                    self.due.set(Key::Stop, self.now.plus(STOP_AFTER));
                }
            }
            Input::Wake => {}
        }
        self.decide();
        while let Some(key) = self.due.pop(self.now) {
            self.came_due(key);
            self.decide();
        }
        if !self.done && self.calls.open.is_empty() && self.is_over() {
            self.done = true;
            self.out.push(Output::Done);
        }
        outputs.append(&mut self.out);
    }

    /// Whether the time after SIGTERM in which set-ups are served is over.
    fn is_over(&self) -> bool {
        self.stopping.is_some_and(|since| self.now.since(since) >= STOP_AFTER)
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
                    self.attempt_ended(tag, Outcome::Cancelled, Note::None);
                }
            }
            Action::Refuse { call, retry_after } => {
                let finish = Message::new(Verb::Finish, request::tag(call)).cause(cause::NO_CIRCUIT);
                let wait = retry_after.as_millis();
                self.counters.refused += 1;
                self.answer(request::tag(call), if wait > 0 { finish.option("wait", wait) } else { finish });
            }
            Action::Fail(call) => {
                self.counters.failed += 1;
                let finish = Message::new(Verb::Finish, request::tag(call));
                self.answer(request::tag(call), finish.cause(cause::TEMPORARY_FAILURE));
            }
            Action::SetTimer { after, timer } => self.due.set(Key::Module(timer), self.now.plus(after)),
            Action::Probe(server) => {
                if !self.probe(server, true) {
                    self.events.push_back(Event::Probed {
                        server,
                        ok: false,
                        took: Duration::ZERO,
                        report: Report::default(),
                    });
                }
            }
            // The platform's gateways have no way to write to each other, and its list is polled anyway.
            Action::Tell { .. } | Action::Subscribe | Action::FetchList => {}
            Action::Log(line) => self.log(line),
        }
    }

    /// The one final answer of a call that does not stand. An attempt that is out is withdrawn.
    fn answer(&mut self, tag: Tag, finish: Message) {
        if !self.calls.open.contains_key(&tag) {
            return;
        }
        self.withdraw(tag);
        if let Some(open) = self.drop_open(tag) {
            self.tell_client(open.client, &finish);
        }
    }

    /// A call is owed no answer any more.
    fn drop_open(&mut self, tag: Tag) -> Option<Open> {
        let open = self.calls.close(tag)?;
        self.due.clear(Key::Call(tag));
        self.due.clear(Key::Attempt(tag));
        self.count_open(open.client);
        Some(open)
    }

    fn count_open(&mut self, client: ClientId) {
        let open = self.calls.of_client.get(&client).map_or(0, BTreeSet::len);
        self.seats.count(self.now, client, open);
        self.watch(client);
    }

    // ---- Attempts ---------------------------------------------------------------------------------------------
    fn issue(&mut self, tag: Tag, server: ServerId, within: Duration) {
        let now = self.now;
        let Some(open) = self.calls.open.get_mut(&tag).filter(|c| c.out.is_none()) else { return };
        let no = AttemptNo(open.attempts);
        open.attempts += 1;
        let until = if within.is_zero() { open.deadline } else { open.deadline.min(now.plus(within)) };
        open.out = Some(Attempt { no, server, issued: now, sent: None, until });
        let address = self.servers.get(&server).and_then(|s| s.listed.as_ref()).map(|l| l.address);
        let Some(address) = address else { return self.attempt_ended(tag, Outcome::Moot, Note::None) };
        self.links.site(server, address);
        match self.links.pick(server, tag) {
            Pick::On(link) => self.send(tag, link),
            Pick::Wait => {
                self.links.wait(server, tag);
                self.due.set(Key::Attempt(tag), until.min(now.plus(self.sockets.dial_timeout)));
            }
        }
        self.tend(server);
    }

    /// Writes the set-up of the call's attempt.
    fn send(&mut self, tag: Tag, link: LinkId) {
        let now = self.now;
        let Some(open) = self.calls.open.get_mut(&tag) else { return };
        let Some(attempt) = &mut open.out else { return };
        attempt.sent = Some((link, now));
        let left = attempt.until.since(now).as_millis().max(1);
        let start = Message::new(Verb::Start, tag)
            .option("class", &open.class)
            .option("key", &open.key)
            .option("left", left)
            .description(open.blob.clone());
        let (server, until) = (attempt.server, attempt.until);
        self.due.set(Key::Attempt(tag), until);
        self.links.forgive(server, tag);
        if let Some(link) = self.links.links.get_mut(&link) {
            link.open.insert(tag);
        }
        self.counters.attempts += 1;
        self.tell_switch(link, &start);
    }

    /// Gives up the attempt that is out, if there is one: the core switch hears of it where the set-up was written.
    /// What it says of it from now on is dropped.
    fn withdraw(&mut self, tag: Tag) {
        let Some(attempt) = self.calls.open.get(&tag).and_then(|c| c.out) else { return };
        match attempt.sent {
            None => self.links.stop_waiting(attempt.server, tag),
            Some((link, _)) => {
                if let Some(l) = self.links.links.get_mut(&link) {
                    l.spend(self.now, tag, false);
                    self.tell_switch(link, &Message::new(Verb::Finish, tag).cause(cause::CLEARING));
                } else {
                    self.release(attempt.server, tag, cause::CLEARING);
                }
            }
        }
        self.due.clear(Key::Attempt(tag));
    }

    /// The attempt that was out ended without the core switch's word.
    fn attempt_ended(&mut self, tag: Tag, outcome: Outcome, note: Note) {
        self.attempt_over(tag, outcome, note, Report::default(), false);
    }

    /// Tells the controller how the attempt that was out ended; `told`: by the core switch's word, so that nothing more
    /// comes of it.
    fn attempt_over(&mut self, tag: Tag, outcome: Outcome, note: Note, report: Report, told: bool) {
        let now = self.now;
        let Some(attempt) = self.calls.open.get_mut(&tag).and_then(|c| c.out.take()) else { return };
        self.due.clear(Key::Attempt(tag));
        match attempt.sent {
            Some((link, _)) => {
                if let Some(link) = self.links.links.get_mut(&link) {
                    link.spend(now, tag, told);
                }
            }
            None => self.links.stop_waiting(attempt.server, tag),
        }
        // From the writing on, so that the time is the core switch's and not this gateway's.
        let since = attempt.sent.map_or(attempt.issued, |(_, written)| written);
        self.events.push_back(Event::Closed {
            call: CallId(tag.0),
            attempt: attempt.no,
            server: attempt.server,
            done: false,
            outcome,
            note,
            took: now.since(since),
            report,
        });
    }

    /// Releases a call at a core switch, now or on the next connection.
    fn release(&mut self, server: ServerId, tag: Tag, rc: i64) {
        match self.links.for_release(server) {
            Some(link) => self.tell_switch(link, &Message::new(Verb::Finish, tag).cause(rc)),
            None => {
                self.links.owe(server, tag, rc);
                self.tend(server);
            }
        }
    }

    fn tell_switch(&mut self, link: LinkId, message: &Message) {
        let mut line = Vec::with_capacity(256);
        message.write(&mut line);
        self.out.push(Output::ToLink { link, line });
    }

    // ---- Connections to core switches -------------------------------------------------------------------------
    /// What connections to a core switch are needed for.
    fn need(&self, server: ServerId) -> Need {
        let listed = self.servers.get(&server).and_then(|s| s.listed.as_ref());
        match listed.map(|l| l.state) {
            Some(ServerState::Ready) => Need::SetUps,
            Some(_) => Need::Releases,
            None if self.calls.stands_at(server) => Need::Releases,
            None => Need::None,
        }
    }

    /// Opens the connections that a core switch is short of.
    fn tend(&mut self, server: ServerId) {
        let need = self.need(server);
        for _ in 0..self.links.wanting(self.now, server, need) {
            self.dial(server);
        }
        if let Some(site) = self.links.sites.get(&server)
            && self.now < site.not_before
        {
            self.due.set(Key::Redial(server), site.not_before);
        }
    }

    /// Begins a connection.
    fn dial(&mut self, server: ServerId) {
        let Some(address) = self.links.sites.get(&server).map(|s| s.address) else { return };
        let link = self.links.open(self.now, server);
        self.out.push(Output::OpenLink { link, address, within: self.sockets.dial_timeout });
    }

    fn link_up(&mut self, link: LinkId) {
        let Some(server) = self.links.up(self.now, link) else { return };
        self.sign(server, Sign::Connected);
        for (tag, rc) in self.links.owed(server) {
            self.tell_switch(link, &Message::new(Verb::Finish, tag).cause(rc));
        }
        for tag in self.links.take_waiting(server) {
            match self.links.pick(server, tag) {
                Pick::On(link) => self.send(tag, link),
                Pick::Wait => self.links.wait(server, tag),
            }
        }
        self.tend(server);
    }

    /// A spoilt answer: the connection is of no further use, nor are the set-ups on it.
    fn link_fault(&mut self, link: LinkId, why: &str) {
        self.counters.spoilt += 1;
        if let Some(l) = self.links.links.get(&link) {
            let server = l.server;
            self.log(format!("connection to core switch {} closed: {why}", server.0));
            self.out.push(Output::CloseLink { link });
            self.link_gone(link, true);
        }
    }

    fn link_down(&mut self, link: LinkId, end: LinkEnd) {
        let Some(l) = self.links.links.get(&link) else { return };
        let (server, now) = (l.server, self.now);
        if end == LinkEnd::Refused
            && let Some(s) = self.servers.get_mut(&server)
        {
            s.life.refused(now);
        }
        self.link_gone(link, true);
        // Nobody there to wait for: those that wait for a connection have failed to get one.
        if end != LinkEnd::Broken && !self.links.is_up(server) {
            for tag in self.links.take_waiting(server) {
                self.attempt_ended(tag, Outcome::ConnectFailed, Note::None);
            }
        }
    }

    /// A connection is no more: each set-up out on it has been reset, once. It may stand all the same, as an answer
    /// may have been spoilt or lost, so it is released on another connection.
    fn link_gone(&mut self, link: LinkId, failed: bool) {
        let unit = self.unit();
        let Some(gone) = self.links.down(self.now, link, failed, unit) else { return };
        // What it wrote last may be lost with the connection, and comes again on the next one opened.
        if gone.up
            && (failed || self.need(gone.server) != Need::SetUps)
            && let Some(s) = self.servers.get_mut(&gone.server)
        {
            s.life.lost();
        }
        for tag in gone.open {
            self.attempt_ended(tag, Outcome::Reset, Note::None);
            self.release(gone.server, tag, cause::CLEARING);
        }
        self.tend(gone.server);
        self.look_after(gone.server);
    }

    fn link_message(&mut self, link: LinkId, message: Message) {
        let Some(l) = self.links.links.get(&link) else { return };
        let (server, tag, now) = (l.server, message.tag, self.now);
        let finish = message.verb == Verb::Finish;
        let stood = finish && self.calls.standing.get(&tag).is_some_and(|s| s.server == server);
        let sign = match message.verb {
            Verb::Load => Sign::Works,
            Verb::Finish if stood => Sign::Release,
            _ => Sign::Byte,
        };
        self.sign(server, sign);
        // Free circuits and the like come by themselves, or with an answer.
        let report = message.opts.get("load").and_then(|l| l.text()).map(fawnrouter_bootinfo::told_report);
        let here = self
            .calls
            .open
            .get(&tag)
            .and_then(|c| c.out)
            .filter(|a| a.sent.is_some_and(|(at, _)| at == link));
        match message.verb {
            Verb::Started => {
                let Some(attempt) = here else { return };
                match message.blob {
                    Some(blob) if !blob.is_empty() => self.stands(tag, attempt, blob),
                    _ => self.link_fault(link, "an answer without a description"),
                }
            }
            Verb::Finish => {
                let Some(rc) = message.rc else { return self.link_fault(link, "a release without a cause") };
                if here.is_some() {
                    let note = match message.opts.get("note").and_then(|n| n.text()) {
                        Some("group_full") => Note::NoCircuit,
                        Some("processor_full") => Note::ProcessorFull(None),
                        Some("user_busy") => Note::NumberBusy,
                        _ => Note::None,
                    };
                    let outcome = match rc {
                        34 => Outcome::Full,
                        17 | 47 => Outcome::Error,
                        102 => Outcome::Moot,
                        _ => Outcome::Reset,
                    };
                    let told = outcome != Outcome::Reset;
                    return self.attempt_over(tag, outcome, note, report.unwrap_or_default(), told);
                }
                if stood {
                    self.tell_switch(link, &Message::new(Verb::Finished, tag));
                    self.falls(tag, rc);
                } else if !self.calls.open.contains_key(&tag) && !self.calls.ended.has(tag) {
                    self.tell_switch(link, &Message::new(Verb::Finished, tag));
                    self.calls.unclaimed.put(tag, rc);
                }
            }
            Verb::Echoed => {
                if let Some((server, sent, asked)) = self.probes.remove(&tag)
                    && asked
                {
                    let (ok, took) = (message.rc == Some(TEST_PASSED), now.since(sent));
                    let report = report.unwrap_or_default();
                    self.events.push_back(Event::Probed { server, ok, took, report });
                }
            }
            Verb::Load => {
                if let Some(report) = report {
                    self.events.push_back(Event::Probed { server, ok: true, took: Duration::ZERO, report });
                }
            }
            Verb::Start | Verb::Pending | Verb::Finished | Verb::Echo | Verb::Other => {}
        }
    }

    fn sign(&mut self, server: ServerId, sign: Sign) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.life.sign(self.now, sign);
        }
    }

    /// Sends a test; `false` if there is no connection for it.
    fn probe(&mut self, server: ServerId, asked: bool) -> bool {
        let Some(link) = self.links.for_release(server) else { return false };
        let now = self.now;
        self.probes.retain(|_, (_, sent, _)| now.since(*sent) < PROBE_MEMORY);
        let tag = Tag(self.rng.next_u64());
        self.probes.insert(tag, (server, now, asked));
        self.tell_switch(link, &Message::new(Verb::Echo, tag).cause(0));
        true
    }

    /// Judges whether what stands at a core switch still does.
    fn look_after(&mut self, server: ServerId) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        if !self.calls.stands_at(server) {
            self.due.clear(Key::Life(server));
            return self.maybe_forget(server);
        }
        match s.life.judge(self.now) {
            Verdict::Look { ask, knock, at } => {
                if ask {
                    self.probe(server, false);
                    self.tend(server);
                }
                if knock && self.links.may_knock(server) {
                    self.dial(server);
                }
                self.due.set(Key::Life(server), at);
            }
            Verdict::Dead => {
                self.due.clear(Key::Life(server));
                self.cut(server, None, "has died or gone silent");
                self.maybe_forget(server);
            }
        }
    }

    /// What stands at a core switch is cut, all of it or what stood before its new start.
    fn cut(&mut self, server: ServerId, before: Option<Time>, why: &str) {
        let tags = self.calls.at_server.get(&server).cloned().unwrap_or_default();
        let old =
            |tag: &Tag| self.calls.standing.get(tag).is_some_and(|s| before.is_none_or(|t| s.since < t));
        let tags: Vec<Tag> = tags.into_iter().filter(old).collect();
        if tags.is_empty() {
            return;
        }
        self.log(format!("core switch {} {why}: {} standing calls are cut", server.0, tags.len()));
        for tag in tags {
            self.falls(tag, cause::TEMPORARY_FAILURE);
            // Should it be alive all the same, it must not keep what its caller has been told is over.
            self.links.owe(server, tag, cause::TEMPORARY_FAILURE);
        }
    }

    /// A core switch that is not listed and holds nothing is forgotten, with its number.
    fn maybe_forget(&mut self, server: ServerId) {
        let listed = self.servers.get(&server).is_none_or(|s| s.listed.is_some());
        if listed
            || self.calls.stands_at(server)
            || self.links.links.values().any(|l| l.server == server && !l.open.is_empty())
        {
            return;
        }
        if let Some(s) = self.servers.remove(&server) {
            self.ids.forget(&s.id);
        }
        for tag in self.links.take_waiting(server) {
            self.attempt_ended(tag, Outcome::Moot, Note::None);
        }
        let links = self.links.sites.remove(&server).map(|s| s.links).unwrap_or_default();
        for link in links {
            self.links.links.remove(&link);
            self.out.push(Output::CloseLink { link });
        }
        self.due.clear(Key::Redial(server));
        self.due.clear(Key::Life(server));
    }

    // ---- Standing calls ---------------------------------------------------------------------------------------
    fn stands(&mut self, tag: Tag, attempt: Attempt, blob: String) {
        let now = self.now;
        let Some(deadline) = self.calls.open.get(&tag).map(|c| c.deadline) else { return };
        if now >= deadline {
            // Too late for the caller, which hears nothing more.
            return self.lapse(tag);
        }
        if self.calls.standing.len() >= MAX_STANDING {
            return self.answer(tag, Message::new(Verb::Finish, tag).cause(cause::CONGESTION));
        }
        let Some(open) = self.drop_open(tag) else { return };
        if let Some((link, written)) = attempt.sent {
            if let Some(link) = self.links.links.get_mut(&link) {
                link.spend(now, tag, true);
            }
            self.events.push_back(Event::Standing {
                call: CallId(tag.0),
                attempt: attempt.no,
                server: attempt.server,
                took: now.since(written),
            });
        }
        self.counters.stood += 1;
        let standing =
            Standing { client: open.client, server: attempt.server, attempt: Some(attempt.no), since: now };
        self.calls.stand(tag, standing);
        self.tell_client(open.client, &Message::new(Verb::Started, tag).description(blob));
        self.served(open.client);
        self.watch_life(attempt.server);
    }

    /// Something stands there now: it is looked at from time to time.
    fn watch_life(&mut self, server: ServerId) {
        if !self.due.is_set(Key::Life(server)) {
            self.look_after(server);
        }
    }

    /// A standing call is over by the core switch's word, or because it is lost there. Its client is told.
    fn falls(&mut self, tag: Tag, rc: i64) {
        let Some(standing) = self.calls.fall(tag) else { return };
        let outcome = if rc == cause::CLEARING { Outcome::Ended } else { Outcome::Reset };
        self.counters.cut += u64::from(outcome == Outcome::Reset);
        self.standing_ended(tag, standing, outcome);
        self.tell_caller(standing.client, &Message::new(Verb::Finish, tag).cause(rc));
    }

    fn standing_ended(&mut self, tag: Tag, standing: Standing, outcome: Outcome) {
        self.seats.stands(standing.client, false);
        if let Some(attempt) = standing.attempt {
            self.events.push_back(Event::Closed {
                call: CallId(tag.0),
                attempt,
                server: standing.server,
                done: true,
                outcome,
                note: Note::None,
                took: self.now.since(standing.since),
                report: Report::default(),
            });
        }
    }

    // ---- Clients ----------------------------------------------------------------------------------------------
    fn client_up(&mut self, client: ClientId) {
        match self.seats.arrive(self.now, client) {
            Arrival::In => {}
            Arrival::InFor(least) => {
                self.counters.unseated += 1;
                self.close_client(least, "idle, and its place is needed");
            }
            Arrival::Full => {
                self.counters.unseated += 1;
                self.goodbye(client, None, cause::CONGESTION, "no room for another connection");
                return;
            }
        }
        self.watch(client);
    }

    /// A call stands for this client: what waited to be told to a caller can be told now.
    fn served(&mut self, client: ClientId) {
        self.seats.stands(client, true);
        if self.seats.is_in(client) {
            for (_, line) in std::mem::take(&mut self.news) {
                self.out.push(Output::ToClient { client, line });
            }
        }
    }

    /// Has it looked at when it is overdue.
    fn watch(&mut self, client: ClientId) {
        match self.seats.due(client) {
            Some(due) => self.due.set(Key::Client(client), due.max(self.now.plus(LOOK_AGAIN))),
            None => self.due.clear(Key::Client(client)),
        }
    }

    /// An error without a call, and the end.
    fn goodbye(&mut self, client: ClientId, tag: Option<Tag>, rc: i64, why: &str) {
        let line = match tag {
            Some(tag) => {
                let mut line = Vec::new();
                Message::new(Verb::Finish, tag).cause(rc).option("error", why).write(&mut line);
                line
            }
            None => {
                let line = serde_json::json!({"verb": "FINISH", "opts": {"error": why}, "rc": rc});
                format!("{line}\n").into_bytes()
            }
        };
        self.out.push(Output::ToClient { client, line });
        self.close_client(client, why);
    }

    fn close_client(&mut self, client: ClientId, why: &str) {
        if self.seats.is_in(client) {
            self.log(format!("client's connection {} closed: {why}", client.0));
        }
        self.out.push(Output::CloseClient { client });
        self.client_down(client);
    }

    fn client_down(&mut self, client: ClientId) {
        if !self.seats.leave(client) {
            return;
        }
        self.due.clear(Key::Client(client));
        for tag in self.calls.of_client.get(&client).cloned().unwrap_or_default() {
            self.lapse(tag);
        }
    }

    fn client_fault(&mut self, client: ClientId, fault: &Fault) {
        if !self.seats.is_in(client) {
            return;
        }
        self.counters.invalid += 1;
        // The tag of an open call is not answered with another line's fault.
        let tag = fault.tag().filter(|tag| !self.is_known(*tag));
        self.goodbye(client, tag, cause::INVALID, &fault.to_string());
    }

    fn is_known(&self, tag: Tag) -> bool {
        self.calls.open.contains_key(&tag) || self.calls.standing.contains_key(&tag)
    }

    /// The caller waits no longer.
    fn lapse(&mut self, tag: Tag) {
        if !self.calls.open.contains_key(&tag) {
            return;
        }
        self.counters.lapsed += 1;
        self.withdraw(tag);
        self.events.push_back(Event::Lapsed(CallId(tag.0)));
        self.attempt_ended(tag, Outcome::Cancelled, Note::None);
        self.drop_open(tag);
    }

    fn client_message(&mut self, client: ClientId, message: Message) {
        let tag = message.tag;
        match message.verb {
            Verb::Start => self.start(client, message),
            Verb::Finish => self.finish(client, &message),
            Verb::Echo => {
                // A gateway that ends fails the test, so that the front turns to others.
                let rc = if self.stopping.is_none() { TEST_PASSED } else { TEST_FAILED };
                self.tell_client(client, &Message::new(Verb::Echoed, tag).cause(rc));
            }
            Verb::Pending | Verb::Finished | Verb::Echoed | Verb::Load => {}
            Verb::Started | Verb::Other => {
                self.counters.invalid += 1;
                let tag = Some(tag).filter(|tag| !self.is_known(*tag));
                self.goodbye(client, tag, cause::NO_SUCH_MESSAGE, "not a message that a caller sends");
            }
        }
        self.watch(client);
    }

    fn start(&mut self, client: ClientId, message: Message) {
        let tag = message.tag;
        let wrong = |rc| Message::new(Verb::Finish, tag).cause(rc);
        let read = request::read(&message, &self.decisions, &self.names);
        if let Ok(Request::Standing(at)) = &read {
            return self.told_standing(client, tag, at);
        }
        if self.is_known(tag) {
            // The first call of this id is neither disturbed nor answered: this connection alone is ended.
            self.counters.invalid += 1;
            return self.goodbye(client, None, cause::INVALID_REFERENCE, "the id is that of another call");
        }
        let new = match read {
            Ok(Request::New(new)) => new,
            Ok(Request::Standing(_)) => return,
            Err(rc) => {
                self.counters.invalid += 1;
                return self.tell_client(client, &wrong(rc));
            }
        };
        if self.is_over() || self.calls.open.len() >= self.sockets.max_open {
            self.counters.refused += 1;
            let refusal = wrong(cause::CONGESTION);
            let wait = self.decisions.limits.max_retry_after.as_millis();
            let told = self.decisions.limits.retry_after && wait > 0;
            return self.tell_client(client, &if told { refusal.option("wait", wait) } else { refusal });
        }
        self.counters.taken += 1;
        let deadline = self.now.plus(new.left);
        self.due.set(Key::Call(tag), deadline.minus(LAST_CALL.min(new.left / 4)));
        let text = |name: &str| message.opts.get(name).and_then(|v| v.text()).unwrap_or_default().to_owned();
        let (class, key) = (text("class"), text("key"));
        let blob = message.blob.unwrap_or_default();
        self.calls.insert(tag, Open { client, deadline, class, key, blob, attempts: 0, out: None });
        self.count_open(client);
        self.events.push_back(Event::Call(new));
    }

    /// A caller tells of a call that stands: it expects no answer, only the release in its time.
    fn told_standing(&mut self, client: ClientId, tag: Tag, at: &str) {
        if let Some(standing) = self.calls.standing.get_mut(&tag) {
            let before = std::mem::replace(&mut standing.client, client);
            self.seats.stands(before, false);
            return self.served(client);
        }
        if self.calls.open.contains_key(&tag) {
            self.counters.invalid += 1;
            return self.goodbye(client, None, cause::INVALID_REFERENCE, "the id is that of another call");
        }
        let released = self.calls.unclaimed.take(tag);
        let server = self.ids.known(at).filter(|s| self.servers.contains_key(s));
        match (server, released) {
            (Some(server), None) if self.calls.standing.len() < MAX_STANDING => {
                self.calls.stand(tag, Standing { client, server, attempt: None, since: self.now });
                self.served(client);
                self.tend(server);
                self.watch_life(server);
            }
            // It is over already, or its core switch is.
            (_, released) => {
                let rc = released.unwrap_or(cause::TEMPORARY_FAILURE);
                self.tell_client(client, &Message::new(Verb::Finish, tag).cause(rc));
            }
        }
    }

    /// A caller gives up a set-up or releases what stands.
    fn finish(&mut self, client: ClientId, message: &Message) {
        let tag = message.tag;
        if let Some(open) = self.calls.open.get(&tag) {
            // Only the connection of the set-up can give it up: an id alone is no proof.
            if open.client == client {
                self.lapse(tag);
                self.tell_client(client, &Message::new(Verb::Finished, tag));
            }
        } else if let Some(standing) = self.calls.fall(tag) {
            let rc = message.rc.unwrap_or(cause::CLEARING);
            self.standing_ended(tag, standing, Outcome::Cancelled);
            self.release(standing.server, tag, rc);
            self.tell_client(client, &Message::new(Verb::Finished, tag));
        } else if self.calls.ended.has(tag) {
            self.tell_client(client, &Message::new(Verb::Finished, tag));
        } else {
            self.counters.invalid += 1;
            self.tell_client(client, &Message::new(Verb::Finish, tag).cause(cause::INVALID_REFERENCE));
        }
    }

    /// Writes to a client, if it is there.
    fn tell_client(&mut self, client: ClientId, message: &Message) {
        if self.seats.is_in(client) {
            let mut line = Vec::with_capacity(256);
            message.write(&mut line);
            self.out.push(Output::ToClient { client, line });
        }
    }

    /// Tells the caller of a standing call that it is over; where its connection is gone, on another, or on the next.
    fn tell_caller(&mut self, client: ClientId, message: &Message) {
        match Some(client).filter(|client| self.seats.is_in(*client)).or_else(|| self.seats.instead()) {
            Some(client) => self.tell_client(client, message),
            None => {
                let mut line = Vec::new();
                message.write(&mut line);
                self.news.push_back((self.now, line));
                if self.news.len() > MAX_NEWS {
                    self.news.pop_front();
                }
            }
        }
    }

    // ---- The list ---------------------------------------------------------------------------------------------
    fn take_pool(&mut self, pool: &Pool) {
        // Serials are compared as RFC 1982 has it; the numbers start at 1 and never wrap in practice.
        if self.serial.is_some_and(|seen| pool.serial.wrapping_sub(seen) as i32 <= 0) {
            return;
        }
        let kind = if self.serial.is_none() { ListKind::Cached } else { ListKind::Whole };
        self.serial = Some(pool.serial);
        let mut entries = Vec::new();
        let mut seen = BTreeSet::new();
        for (id, listed) in &pool.listed {
            let server = self.ids.number(id);
            seen.insert(server);
            entries.push(entry(server, listed));
            let s = self.servers.entry(server).or_insert_with(|| Server {
                id: id.clone(),
                listed: None,
                life: Life::new(self.now),
            });
            let before = s.listed.replace(listed.clone());
            s.life.listed(self.now, Some(listed.state));
            self.links.site(server, listed.address).address = listed.address;
            if before.is_some_and(|b| b.started != listed.started) {
                self.cut(server, listed.started, "has started anew");
            }
        }
        let gone: BTreeSet<ServerId> = self.servers.keys().copied().filter(|s| !seen.contains(s)).collect();
        self.events.push_back(Event::List { kind, entries });
        self.decide();
        // A new core switch listens where one listened that is gone: nothing there is the old one's any more. Guards
        // against its answers and connections being taken for signs of the old one's life.
        let taken: BTreeSet<SocketAddr> = pool.listed.values().map(|l| l.address).collect();
        for server in gone.iter().copied() {
            if self.links.sites.get(&server).is_some_and(|site| taken.contains(&site.address)) {
                self.cut(server, None, "is gone and its address is another's");
            }
        }
        for server in self.servers.keys().copied().collect::<Vec<_>>() {
            if gone.contains(&server)
                && let Some(s) = self.servers.get_mut(&server)
            {
                s.listed = None;
                s.life.listed(self.now, None);
            }
            // What has not been written yet must not go there any more.
            if self.need(server) != Need::SetUps {
                for tag in self.links.take_waiting(server) {
                    self.attempt_ended(tag, Outcome::Moot, Note::None);
                }
            }
            self.tend(server);
            self.look_after(server);
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
                self.attempt_ended(tag, outcome, Note::None);
            }
            Key::Call(tag) => {
                let Some(open) = self.calls.open.get(&tag) else { return };
                if self.now < open.deadline {
                    // The decisions end each call before this; only a process that stood still comes here.
                    self.counters.failed += 1;
                    self.events.push_back(Event::Lapsed(CallId(tag.0)));
                    self.answer(tag, Message::new(Verb::Finish, tag).cause(cause::TEMPORARY_FAILURE));
                } else {
                    self.lapse(tag);
                }
            }
            Key::Redial(server) => self.tend(server),
            Key::Life(server) => self.look_after(server),
            Key::Client(client) => {
                if self.seats.overdue(self.now, client) {
                    self.goodbye(client, None, cause::MISSING, "no whole message came in time");
                } else {
                    self.watch(client);
                }
            }
            Key::House => self.keep_house(),
            Key::Stop => {}
        }
    }

    fn keep_house(&mut self) {
        self.due.set(Key::House, self.now.plus(HOUSE));
        for link in self.links.stale(self.now) {
            self.out.push(Output::CloseLink { link });
            self.link_gone(link, false);
        }
        let now = self.now;
        self.news.retain(|(told, _)| now.since(*told) < NEWS_MEMORY);
        for server in self.servers.keys().copied().collect::<Vec<_>>() {
            self.maybe_forget(server);
        }
    }
}
