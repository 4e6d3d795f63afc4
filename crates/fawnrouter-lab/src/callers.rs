//! Stand-in callers over real WebSockets: first attempts at random times, redials, and callers that cancel
//! early.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use fawnrouter_audit::{Direction, Side};
use fawnrouter_sip::{Dialog, Limits, Message, MessageBuilder, Method, Name};
use fawnrouter_ws::{ClientHandshake, Event, FrameDecoder, HttpLimits, Opcode, Role, encode_frame};
use fawnrouterd::Outbox;
use fawnrouterd::engine::digest::{Algorithm, Credentials, client_response, ha1};
use futures_lite::{AsyncWriteExt, future};
use rand::rngs::StdRng;
use rand::{Rng, RngCore, SeedableRng};

use crate::fleet::{REALM, client_credentials};
use crate::report::{CallOutcome, Report};
use crate::script::CallerBehaviour;
use crate::tap::Tap;

/// Limit of unsent bytes on one connection.
const MAX_BACKLOG_BYTES: usize = 16 * 1024 * 1024;
/// An attempt counts as unanswered when no final response has arrived this long after its Expires time.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// A class of calls as callers generate it.
#[derive(Clone, Debug)]
pub struct CallerClass {
    pub name: String,
    /// Share of first attempts, relative to the other classes.
    pub share: f64,
    /// Mean holding time.
    pub hold: Duration,
    /// Time after the first attempt from which callers no longer redial.
    pub deadline: Duration,
}

/// A caller's connection to a gateway. `outbox` holds the connection's number in the record, and is `None`
/// while the connection is closed.
struct Connection {
    gateway: SocketAddr,
    gateway_number: u32,
    outbox: Option<(u64, Rc<Outbox>)>,
}

enum CallState {
    /// Between two attempts.
    Idle,
    InSetUp {
        connection: usize,
        invite: Box<Message>,
        sent_at: Duration,
    },
    Established {
        connection: usize,
        dialog: Box<Dialog>,
        set_up_time: Duration,
    },
}

/// A caller with one call, from its first attempt to its end.
struct Caller {
    class: usize,
    number: String,
    first_attempt: Duration,
    attempts: u32,
    state: CallState,
}

/// A timed event of a caller, given by its number and, where it concerns one attempt, that attempt's number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PendingEvent {
    Dial(u64),
    Cancel(u64, u32),
    TimeOut(u64, u32),
    HangUp(u64),
}

/// Mutable state of all callers.
struct CallerPool {
    connections: Vec<Connection>,
    active: BTreeMap<u64, Caller>,
    by_call_id: BTreeMap<String, u64>,
    timers: BTreeSet<(Duration, PendingEvent)>,
    last_id: u64,
    rng: StdRng,
    report: Report,
    /// The script's time is over: nobody dials again.
    stopped: bool,
}

/// All callers of a run and their connections.
pub struct Callers {
    tap: Rc<Tap>,
    classes: Vec<CallerClass>,
    behaviour: CallerBehaviour,
    clients: u32,
    pool: RefCell<CallerPool>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Callers {
    pub fn new(
        tap: &Rc<Tap>,
        executor: &Rc<LocalExecutor<'static>>,
        classes: Vec<CallerClass>,
        (behaviour, clients): (CallerBehaviour, u32),
        report: Report,
        seed: u64,
    ) -> Rc<Self> {
        let pool = CallerPool {
            connections: Vec::new(),
            active: BTreeMap::new(),
            by_call_id: BTreeMap::new(),
            timers: BTreeSet::new(),
            last_id: 0,
            rng: StdRng::seed_from_u64(seed),
            report,
            stopped: false,
        };
        let pool = RefCell::new(pool);
        Rc::new(Self { tap: tap.clone(), classes, behaviour, clients, pool, executor: executor.clone() })
    }

    /// Name and password of the known client that a connection belongs to; `None` if callers are unknown.
    fn credentials_of(&self, connection: usize) -> Option<(String, String)> {
        (self.clients > 0).then(|| client_credentials(connection as u32 % self.clients))
    }

    /// Opens connections to a gateway and waits until all are established.
    pub async fn connect(self: &Rc<Self>, gateway: SocketAddr, number: u32, count: u32) -> io::Result<()> {
        for _ in 0..count {
            let connection = {
                let mut pool = self.pool.borrow_mut();
                pool.connections.push(Connection { gateway, gateway_number: number, outbox: None });
                pool.connections.len() - 1
            };
            self.open(connection).await?;
        }
        Ok(())
    }

    async fn open(self: &Rc<Self>, connection: usize) -> io::Result<()> {
        let (address, number, nonce) = {
            let mut pool = self.pool.borrow_mut();
            let nonce: [u8; 16] = pool.rng.random();
            (pool.connections[connection].gateway, pool.connections[connection].gateway_number, nonce)
        };
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        let conn = self.tap.connection_opened(Side::Caller { gateway: number });
        let handshake = ClientHandshake::new(nonce, "sip");
        let request = handshake.request(&address.to_string(), "/", None);
        self.tap.record_bytes(conn, Direction::ToGateway, &request);
        (&stream).write_all(&request).await?;
        let mut bytes = Vec::new();
        let consumed = loop {
            let mut buffer = [0; 4096];
            let n = stream.read_with(|mut s| s.read(&mut buffer)).await?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.tap.record_bytes(conn, Direction::FromGateway, &buffer[..n]);
            bytes.extend_from_slice(&buffer[..n]);
            match handshake.check(&bytes, &HttpLimits::default()) {
                Ok(Some(n)) => break n,
                Ok(None) => {}
                Err(error) => {
                    self.pool.borrow_mut().report.connections.1 += 1;
                    self.tap.connection_closed(conn);
                    return Err(io::Error::other(error));
                }
            }
        };
        if let Some((name, password)) = self.credentials_of(connection) {
            self.authenticate(conn, &stream, &name, &password).await?;
        }
        self.pool.borrow_mut().report.connections.0 += 1;
        let outbox = Rc::new(Outbox::new(MAX_BACKLOG_BYTES));
        self.pool.borrow_mut().connections[connection].outbox = Some((conn, outbox.clone()));
        let rest = bytes.split_off(consumed);
        self.executor.spawn(self.clone().serve(connection, conn, stream, outbox, rest)).detach();
        Ok(())
    }

    /// Authenticates the connection: requests a nonce and answers the challenge (Digest).
    async fn authenticate(
        &self,
        conn: u64,
        stream: &Async<TcpStream>,
        name: &str,
        password: &str,
    ) -> io::Result<()> {
        const URI: &str = "sip:gateway.invalid";
        let mut frames = FrameDecoder::new(Role::Client, 64 * 1024);
        let mut nonce = String::new();
        for attempt in 1..=3 {
            let response = if nonce.is_empty() {
                String::new()
            } else {
                let hash = ha1(Algorithm::Sha256, name, REALM, password);
                client_response(Algorithm::Sha256, &hash, ("OPTIONS", URI), &nonce, "00000001", "lab")
            };
            let credentials = Credentials {
                username: name.into(),
                realm: REALM.into(),
                nonce: nonce.as_str().into(),
                uri: URI.into(),
                response: response.into(),
                algorithm: Algorithm::Sha256,
                cnonce: "lab".into(),
                nc: ("00000001".into(), 1),
            };
            let mut draft = MessageBuilder::request(Method::Options, URI);
            draft
                .field(Name::Via, &format!("SIP/2.0/WS caller.invalid;branch=z9hG4bKwho{conn}.{attempt}"))
                .field(Name::MaxForwards, "70")
                .field(Name::From, &format!("<sip:{name}@caller.invalid>;tag=who"))
                .field(Name::To, "<sip:gateway.invalid>")
                .field(Name::CallId, &format!("who{conn}@caller.invalid"))
                .field(Name::CSeq, &format!("{attempt} OPTIONS"))
                .field(Name::Authorization, &credentials.write());
            let mut bytes = Vec::new();
            encode_frame(Opcode::Text, &draft.finish(b""), Some([5; 4]), &mut bytes);
            self.tap.record_bytes(conn, Direction::ToGateway, &bytes);
            (&*stream).write_all(&bytes).await?;
            let response = loop {
                let mut buffer = [0; 4096];
                let n = stream.read_with(|mut s| s.read(&mut buffer)).await?;
                self.tap.record_bytes(conn, Direction::FromGateway, &buffer[..n]);
                let mut input = &buffer[..n];
                match frames.feed(&mut input).map_err(io::Error::other)? {
                    Some(Event::Text(text)) => {
                        break Message::parse(text.as_bytes(), &Limits::default())
                            .map_err(io::Error::other)?;
                    }
                    Some(Event::Close(_)) => return Err(io::ErrorKind::ConnectionRefused.into()),
                    _ if n == 0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                    _ => {}
                }
            };
            if response.status() == Some(200) {
                return Ok(());
            }
            let challenge = response.get(Name::WwwAuthenticate).unwrap_or("");
            nonce =
                challenge.split("nonce=\"").nth(1).and_then(|r| r.split('"').next()).unwrap_or("").to_owned();
        }
        Err(io::Error::other(format!("{name} is not known to the gateway")))
    }

    async fn serve(
        self: Rc<Self>,
        connection: usize,
        conn: u64,
        stream: Async<TcpStream>,
        outbox: Rc<Outbox>,
        rest: Vec<u8>,
    ) {
        let reading = async {
            let mut decoder = FrameDecoder::new(Role::Client, 256 * 1024);
            let mut buffer = vec![0; 64 * 1024];
            let mut length = rest.len();
            buffer[..length].copy_from_slice(&rest);
            loop {
                let mut input = &buffer[..length];
                loop {
                    match decoder.feed(&mut input) {
                        Ok(Some(Event::Text(text))) => {
                            if let Ok(message) = Message::parse(text.as_bytes(), &Limits::default()) {
                                self.receive(connection, message);
                            }
                        }
                        Ok(Some(Event::Ping(payload))) => {
                            let mut bytes = Vec::new();
                            encode_frame(Opcode::Pong, payload, Some([7; 4]), &mut bytes);
                            self.send_raw(conn, &outbox, &bytes);
                        }
                        Ok(Some(Event::Close(_))) | Err(_) => return,
                        Ok(Some(_)) => {}
                        Ok(None) => break,
                    }
                }
                match stream.read_with(|mut s| s.read(&mut buffer)).await {
                    Ok(n @ 1..) => {
                        self.tap.record_bytes(conn, Direction::FromGateway, &buffer[..n]);
                        length = n;
                    }
                    _ => return,
                }
            }
        };
        let writing = async {
            let _ = outbox.write_to(&stream).await;
        };
        future::or(future::or(reading, writing), outbox.aborted()).await;
        self.tap.connection_closed(conn);
        self.connection_lost(connection, conn);
    }

    fn send_raw(&self, conn: u64, outbox: &Outbox, bytes: &[u8]) {
        self.tap.record_bytes(conn, Direction::ToGateway, bytes);
        outbox.push(|out| out.extend_from_slice(bytes));
    }

    fn send(&self, pool: &mut CallerPool, connection: usize, message: &[u8]) {
        let mask = pool.rng.next_u32().to_be_bytes();
        if let Some((conn, outbox)) = &pool.connections[connection].outbox {
            let mut bytes = Vec::new();
            encode_frame(Opcode::Text, message, Some(mask), &mut bytes);
            self.send_raw(*conn, outbox, &bytes);
        }
    }

    /// Adds a caller and starts its first attempt. Its class is drawn by the shares.
    pub fn add_caller(&self) {
        let now = self.tap.now();
        let pool = &mut *self.pool.borrow_mut();
        let total: f64 = self.classes.iter().map(|k| k.share).sum();
        let mut point = pool.rng.random::<f64>() * total;
        let chosen = self.classes.iter().position(|k| {
            point -= k.share;
            point < 0.0
        });
        pool.last_id += 1;
        let id = pool.last_id;
        let number = format!("+9148{:07}", pool.rng.random_range(0..10_000_000));
        let class = chosen.unwrap_or(0);
        pool.active
            .insert(id, Caller { class, number, first_attempt: now, attempts: 0, state: CallState::Idle });
        self.dial(pool, now, id);
    }

    /// Starts an attempt on a random open connection, or tries again in 100 ms if none is open.
    fn dial(&self, pool: &mut CallerPool, now: Duration, id: u64) {
        let open: Vec<usize> =
            (0..pool.connections.len()).filter(|l| pool.connections[*l].outbox.is_some()).collect();
        if open.is_empty() {
            pool.timers.insert((now + Duration::from_millis(100), PendingEvent::Dial(id)));
            return;
        }
        let connection = open[pool.rng.random_range(0..open.len())];
        let session: u128 = pool.rng.random();
        let random = pool.rng.next_u32();
        let abandons = pool.rng.random::<f64>() < self.behaviour.leavers;
        let abandon_after_s = self.behaviour.try_s as f64 * pool.rng.random::<f64>();
        let Some(caller) = pool.active.get_mut(&id) else { return };
        caller.attempts += 1;
        let attempts = caller.attempts;
        let class = &self.classes[caller.class];
        let call_id = format!("{id}.{attempts}.{random:08x}@caller.invalid");
        let mut draft =
            MessageBuilder::request(Method::Invite, &format!("sip:{}@gateway.invalid", caller.number));
        draft
            .field(
                Name::Via,
                &format!(
                    "SIP/2.0/WS caller{connection}.invalid;branch=z9hG4bK{id}.{attempts}.{random:08x};rport"
                ),
            )
            .field(Name::MaxForwards, "70")
            .field(Name::From, &format!("<sip:desk{id}@caller.invalid>;tag={random:08x}"))
            .field(Name::To, &format!("<sip:{}@gateway.invalid>", caller.number))
            .field(Name::CallId, &call_id)
            .field(Name::CSeq, "1 INVITE")
            .field(Name::Contact, &format!("<sip:desk{id}@caller{connection}.invalid;transport=ws>"))
            .field(Name::Expires, &self.behaviour.try_s.to_string())
            .field(Name::SessionId, &format!("{:032x};remote={:032}", session | 1, 0))
            .named_field("X-Class", &class.name)
            .field(Name::ContentType, "application/sdp");
        let bytes = draft.finish(b"v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\n");
        let Ok(invite) = Message::parse(&bytes, &Limits::default()) else { return };
        caller.state = CallState::InSetUp { connection, invite: Box::new(invite), sent_at: now };
        pool.by_call_id.insert(call_id, id);
        pool.report.attempts += 1;
        let overdue = now + Duration::from_secs(self.behaviour.try_s) + RESPONSE_GRACE;
        pool.timers.insert((overdue, PendingEvent::TimeOut(id, attempts)));
        if abandons {
            pool.timers
                .insert((now + Duration::from_secs_f64(abandon_after_s), PendingEvent::Cancel(id, attempts)));
        }
        self.send(pool, connection, &bytes);
    }

    /// Schedules a redial after a failed attempt, or ends the call when redials or time are used up.
    fn attempt_failed(
        &self,
        pool: &mut CallerPool,
        now: Duration,
        id: u64,
        wait: Option<Duration>,
        outcome: CallOutcome,
    ) {
        let pause = Duration::from_millis(self.behaviour.redial_ms).mul_f64(0.5 + pool.rng.random::<f64>());
        let Some(caller) = pool.active.get_mut(&id) else { return };
        let at = now + wait.unwrap_or_default().max(pause);
        let too_late = at.saturating_sub(caller.first_attempt) >= self.classes[caller.class].deadline;
        caller.state = CallState::Idle;
        if caller.attempts > self.behaviour.redials || too_late || pool.stopped {
            self.finish(pool, id, outcome);
        } else {
            pool.timers.insert((at, PendingEvent::Dial(id)));
        }
    }

    /// Ends a call and records its outcome.
    fn finish(&self, pool: &mut CallerPool, id: u64, outcome: CallOutcome) {
        if let Some(caller) = pool.active.remove(&id) {
            pool.report.record(caller.class, caller.first_attempt, outcome);
        }
    }

    /// Handles a message from a gateway.
    fn receive(&self, connection: usize, message: Message) {
        let now = self.tap.now();
        let pool = &mut *self.pool.borrow_mut();
        let call_id = message.get(Name::CallId).unwrap_or("");
        let id = pool.by_call_id.get(call_id).copied();
        if message.method() == Some(Method::Bye) {
            let known = id.filter(|id| {
                pool.active.get(id).is_some_and(|p| matches!(p.state, CallState::Established { .. }))
            });
            let status = if known.is_some() { 200 } else { 481 };
            let bytes = MessageBuilder::response_to(&message, status, None, "caller", None).finish(b"");
            self.send(pool, connection, &bytes);
            if let Some(id) = known {
                self.finish(pool, id, CallOutcome::Cut);
            }
            return;
        }
        let (Some(status), Some(id)) = (message.status(), id) else { return };
        let is_invite = message.cseq().is_ok_and(|c| c.method == "INVITE");
        let Some(caller) = pool.active.get_mut(&id).filter(|_| is_invite && status >= 200) else { return };
        let CallState::InSetUp { invite, sent_at, .. } = &caller.state else { return };
        if invite.get(Name::CallId) != Some(call_id) {
            return;
        }
        if status >= 300 {
            let mut ack = MessageBuilder::request(Method::Ack, "sip:gateway.invalid");
            ack.copy_fields(invite, Name::Via)
                .copy_fields(invite, Name::MaxForwards)
                .copy_fields(invite, Name::From);
            ack.copy_fields(&message, Name::To).copy_fields(invite, Name::CallId).field(Name::CSeq, "1 ACK");
            let bytes = ack.finish(b"");
            let wait = message.get(Name::RetryAfter).and_then(|s| s.parse().ok()).map(Duration::from_secs);
            pool.by_call_id.remove(call_id);
            self.send(pool, connection, &bytes);
            let outcome = match status {
                487 => return self.finish(pool, id, CallOutcome::Abandoned),
                486 | 503 => CallOutcome::Refused,
                _ => CallOutcome::Failed,
            };
            return self.attempt_failed(pool, now, id, wait, outcome);
        }
        let Ok(dialog) = Dialog::caller(&message, "sip:gateway.invalid", 1) else { return };
        let (set_up_time, delay) = (now.saturating_sub(caller.first_attempt), now.saturating_sub(*sent_at));
        let mut dialog = Box::new(dialog);
        let via = format!("SIP/2.0/WS caller{connection}.invalid;branch=z9hG4bKa{id}.{}", caller.attempts);
        let ack = dialog.request(Method::Ack, &via).finish(b"");
        let hold = self.classes[caller.class].hold.mul_f64(-(1.0 - pool.rng.random::<f64>()).ln());
        caller.state = CallState::Established { connection, dialog, set_up_time };
        let _ = pool.report.set_up.record(u64::try_from(delay.as_micros()).unwrap_or(u64::MAX).max(1));
        pool.timers.insert((now + hold, PendingEvent::HangUp(id)));
        self.send(pool, connection, &ack);
    }

    /// Ends the calls of a lost connection as abandoned.
    fn connection_lost(&self, connection: usize, conn: u64) {
        let pool = &mut *self.pool.borrow_mut();
        if pool.connections[connection].outbox.as_ref().is_some_and(|(c, _)| *c == conn) {
            pool.connections[connection].outbox = None;
        }
        let uses_connection = |p: &Caller| match &p.state {
            CallState::InSetUp { connection: l, .. } | CallState::Established { connection: l, .. } => {
                *l == connection
            }
            CallState::Idle => false,
        };
        let gone: Vec<u64> =
            pool.active.iter().filter(|(_, p)| uses_connection(p)).map(|(id, _)| *id).collect();
        for id in gone {
            self.finish(pool, id, CallOutcome::Abandoned);
        }
    }

    /// Handles all events that are due.
    fn run_due(&self, now: Duration) {
        let pool = &mut *self.pool.borrow_mut();
        while let Some((_, event)) = pool.timers.first().copied().filter(|(at, _)| *at <= now) {
            pool.timers.pop_first();
            match event {
                PendingEvent::Dial(id) => self.dial(pool, now, id),
                PendingEvent::Cancel(id, attempts) => {
                    let Some(caller) = pool.active.get(&id).filter(|p| p.attempts == attempts) else {
                        continue;
                    };
                    if let CallState::InSetUp { connection, invite, .. } = &caller.state {
                        let mut cancel = MessageBuilder::request(Method::Cancel, "sip:gateway.invalid");
                        cancel
                            .copy_fields(invite, Name::Via)
                            .copy_fields(invite, Name::MaxForwards)
                            .copy_fields(invite, Name::From);
                        cancel
                            .copy_fields(invite, Name::To)
                            .copy_fields(invite, Name::CallId)
                            .field(Name::CSeq, "1 CANCEL");
                        let (connection, bytes) = (*connection, cancel.finish(b""));
                        self.send(pool, connection, &bytes);
                    }
                }
                PendingEvent::TimeOut(id, attempts) => {
                    let trying = |p: &&mut Caller| {
                        p.attempts == attempts && matches!(p.state, CallState::InSetUp { .. })
                    };
                    if pool.active.get_mut(&id).filter(trying).is_some() {
                        pool.report.unanswered += 1;
                        self.attempt_failed(pool, now, id, None, CallOutcome::Failed);
                    }
                }
                PendingEvent::HangUp(id) => {
                    let Some(caller) = pool.active.get_mut(&id) else { continue };
                    if let CallState::Established { connection, dialog, set_up_time } = &mut caller.state {
                        let via = format!(
                            "SIP/2.0/WS caller{connection}.invalid;branch=z9hG4bKh{id}.{}",
                            caller.attempts
                        );
                        let bytes = dialog.request(Method::Bye, &via).finish(b"");
                        let (connection, set_up_time) = (*connection, *set_up_time);
                        let call_id = dialog.call_id.clone();
                        self.send(pool, connection, &bytes);
                        pool.by_call_id.remove(&call_id);
                        self.finish(pool, id, CallOutcome::Established(set_up_time));
                    }
                }
            }
        }
    }

    /// Handles due events in an endless loop.
    pub async fn run(self: Rc<Self>) {
        loop {
            Timer::after(Duration::from_millis(2)).await;
            self.run_due(self.tap.now());
        }
    }

    /// Drops a random connection and opens it again after 200 ms.
    pub fn break_random_connection(self: &Rc<Self>) {
        let connection = {
            let pool = &mut *self.pool.borrow_mut();
            let connection = pool.rng.random_range(0..pool.connections.len().max(1));
            let Some((_, outbox)) = pool.connections.get(connection).and_then(|l| l.outbox.clone()) else {
                return;
            };
            outbox.abort();
            connection
        };
        let callers = self.clone();
        let again = async move {
            Timer::after(Duration::from_millis(200)).await;
            // Retries every 100 ms, at most 100 times: the gateway may refuse connections for a while, or may
            // have ended.
            for _ in 0..100 {
                if callers.pool.borrow().stopped || callers.open(connection).await.is_ok() {
                    return;
                }
                Timer::after(Duration::from_millis(100)).await;
            }
        };
        self.executor.spawn(again).detach();
    }

    /// A random number from 0 to 1 from the callers' generator.
    pub fn random_unit(&self) -> f64 {
        self.pool.borrow_mut().rng.random()
    }

    /// Number of callers with an attempt in set-up.
    pub fn calls_in_set_up(&self) -> usize {
        self.pool.borrow().active.values().filter(|p| matches!(p.state, CallState::InSetUp { .. })).count()
    }

    /// Ends the arrival of calls: nobody dials again, and callers that wait for a redial count as refused.
    pub fn stop_calling(&self) {
        let pool = &mut *self.pool.borrow_mut();
        pool.stopped = true;
        let is_idle = |p: &Caller| matches!(p.state, CallState::Idle);
        let rest: Vec<u64> = pool.active.iter().filter(|(_, p)| is_idle(p)).map(|(id, _)| *id).collect();
        for id in rest {
            self.finish(pool, id, CallOutcome::Refused);
        }
    }

    /// Hangs up all established calls.
    pub fn hang_up_all(&self) {
        let now = self.tap.now();
        let pool = &mut *self.pool.borrow_mut();
        pool.timers.clear();
        for (id, caller) in &pool.active {
            if matches!(caller.state, CallState::Established { .. }) {
                pool.timers.insert((now, PendingEvent::HangUp(*id)));
            }
        }
    }

    /// Number of callers whose calls are not over.
    pub fn open_calls(&self) -> usize {
        self.pool.borrow().active.len()
    }

    /// Attempts so far, and how many of them were established.
    pub fn progress(&self) -> (u64, u64) {
        let pool = self.pool.borrow();
        (pool.report.attempts, pool.report.set_up.len())
    }

    /// Takes the report and leaves an empty one.
    pub fn take_report(&self) -> Report {
        std::mem::replace(&mut self.pool.borrow_mut().report, Report::new(Vec::new()))
    }
}
