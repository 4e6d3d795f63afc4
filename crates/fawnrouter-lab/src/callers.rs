//! Stand-in callers: first tries at random times, further tries, some who leave early, over real WebSockets.

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

use crate::fleet::{REALM, client};
use crate::report::{End, Report};
use crate::script::Habits;
use crate::tap::Tap;

const BACKLOG: usize = 16 * 1024 * 1024;
/// A caller waits this much longer than its try lasts before it says that nobody answered.
const PATIENCE: Duration = Duration::from_millis(500);

/// A class as callers see it.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: String,
    pub share: f64,
    pub hold: Duration,
    pub deadline: Duration,
}

struct Line {
    gateway: SocketAddr,
    number: u32,
    outbox: Option<(u64, Rc<Outbox>)>,
}

enum State {
    Waiting,
    Trying { line: usize, invite: Box<Message>, sent: Duration },
    Standing { line: usize, dialog: Box<Dialog>, after: Duration },
}

struct Person {
    class: usize,
    number: String,
    first: Duration,
    tries: u32,
    state: State,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Try(u64),
    Leave(u64, u32),
    Overdue(u64, u32),
    HangUp(u64),
}

struct Crowd {
    lines: Vec<Line>,
    people: BTreeMap<u64, Person>,
    by_call_id: BTreeMap<String, u64>,
    due: BTreeSet<(Duration, Due)>,
    next: u64,
    rng: StdRng,
    report: Report,
    /// The day is over: nobody dials again.
    closing: bool,
}

/// All callers of a run.
pub struct Callers {
    tap: Rc<Tap>,
    kinds: Vec<Kind>,
    habits: Habits,
    clients: u32,
    crowd: RefCell<Crowd>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Callers {
    pub fn new(
        tap: &Rc<Tap>,
        executor: &Rc<LocalExecutor<'static>>,
        kinds: Vec<Kind>,
        (habits, clients): (Habits, u32),
        report: Report,
        seed: u64,
    ) -> Rc<Self> {
        let crowd = Crowd {
            lines: Vec::new(),
            people: BTreeMap::new(),
            by_call_id: BTreeMap::new(),
            due: BTreeSet::new(),
            next: 0,
            rng: StdRng::seed_from_u64(seed),
            report,
            closing: false,
        };
        let crowd = RefCell::new(crowd);
        Rc::new(Self { tap: tap.clone(), kinds, habits, clients, crowd, executor: executor.clone() })
    }

    /// The known client that a line belongs to, if callers are known.
    fn client_of(&self, line: usize) -> Option<(String, String)> {
        (self.clients > 0).then(|| client(line as u32 % self.clients))
    }

    /// Opens connections to a gateway and waits until they stand.
    pub async fn connect(self: &Rc<Self>, gateway: SocketAddr, number: u32, count: u32) -> io::Result<()> {
        for _ in 0..count {
            let line = {
                let mut crowd = self.crowd.borrow_mut();
                crowd.lines.push(Line { gateway, number, outbox: None });
                crowd.lines.len() - 1
            };
            self.open(line).await?;
        }
        Ok(())
    }

    async fn open(self: &Rc<Self>, line: usize) -> io::Result<()> {
        let (address, number, nonce) = {
            let mut crowd = self.crowd.borrow_mut();
            let nonce: [u8; 16] = crowd.rng.random();
            (crowd.lines[line].gateway, crowd.lines[line].number, nonce)
        };
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        let conn = self.tap.opened(Side::Caller { gateway: number });
        let shake = ClientHandshake::new(nonce, "sip");
        let request = shake.request(&address.to_string(), "/", None);
        self.tap.bytes(conn, Direction::ToGateway, &request);
        (&stream).write_all(&request).await?;
        let mut bytes = Vec::new();
        let consumed = loop {
            let mut buffer = [0; 4096];
            let n = stream.read_with(|mut s| s.read(&mut buffer)).await?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.tap.bytes(conn, Direction::FromGateway, &buffer[..n]);
            bytes.extend_from_slice(&buffer[..n]);
            match shake.check(&bytes, &HttpLimits::default()) {
                Ok(Some(n)) => break n,
                Ok(None) => {}
                Err(error) => {
                    self.crowd.borrow_mut().report.connects.1 += 1;
                    self.tap.closed(conn);
                    return Err(io::Error::other(error));
                }
            }
        };
        if let Some((name, password)) = self.client_of(line) {
            self.show_who(conn, &stream, &name, &password).await?;
        }
        self.crowd.borrow_mut().report.connects.0 += 1;
        let outbox = Rc::new(Outbox::new(BACKLOG));
        self.crowd.borrow_mut().lines[line].outbox = Some((conn, outbox.clone()));
        let rest = bytes.split_off(consumed);
        self.executor.spawn(self.clone().serve(line, conn, stream, outbox, rest)).detach();
        Ok(())
    }

    /// Shows who the connection belongs to: asks for a nonce, and answers the challenge.
    async fn show_who(
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
            self.tap.bytes(conn, Direction::ToGateway, &bytes);
            (&*stream).write_all(&bytes).await?;
            let told = loop {
                let mut buffer = [0; 4096];
                let n = stream.read_with(|mut s| s.read(&mut buffer)).await?;
                self.tap.bytes(conn, Direction::FromGateway, &buffer[..n]);
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
            if told.status() == Some(200) {
                return Ok(());
            }
            let asked = told.get(Name::WwwAuthenticate).unwrap_or("");
            nonce = asked.split("nonce=\"").nth(1).and_then(|r| r.split('"').next()).unwrap_or("").to_owned();
        }
        Err(io::Error::other(format!("{name} is not known to the gateway")))
    }

    async fn serve(
        self: Rc<Self>,
        line: usize,
        conn: u64,
        stream: Async<TcpStream>,
        outbox: Rc<Outbox>,
        rest: Vec<u8>,
    ) {
        let reading = async {
            let mut decoder = FrameDecoder::new(Role::Client, 256 * 1024);
            let mut buffer = vec![0; 64 * 1024];
            let mut got = rest.len();
            buffer[..got].copy_from_slice(&rest);
            loop {
                let mut input = &buffer[..got];
                loop {
                    match decoder.feed(&mut input) {
                        Ok(Some(Event::Text(text))) => {
                            if let Ok(message) = Message::parse(text.as_bytes(), &Limits::default()) {
                                self.take(line, message);
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
                        self.tap.bytes(conn, Direction::FromGateway, &buffer[..n]);
                        got = n;
                    }
                    _ => return,
                }
            }
        };
        let writing = async {
            let _ = outbox.write_to(&stream).await;
        };
        future::or(future::or(reading, writing), outbox.aborted()).await;
        self.tap.closed(conn);
        self.line_lost(line, conn);
    }

    fn send_raw(&self, conn: u64, outbox: &Outbox, bytes: &[u8]) {
        self.tap.bytes(conn, Direction::ToGateway, bytes);
        outbox.push(|out| out.extend_from_slice(bytes));
    }

    fn send(&self, crowd: &mut Crowd, line: usize, message: &[u8]) {
        let mask = crowd.rng.next_u32().to_be_bytes();
        if let Some((conn, outbox)) = &crowd.lines[line].outbox {
            let mut bytes = Vec::new();
            encode_frame(Opcode::Text, message, Some(mask), &mut bytes);
            self.send_raw(*conn, outbox, &bytes);
        }
    }

    /// One more caller, of a class by the shares.
    pub fn arrive(&self) {
        let now = self.tap.now();
        let crowd = &mut *self.crowd.borrow_mut();
        let total: f64 = self.kinds.iter().map(|k| k.share).sum();
        let mut point = crowd.rng.random::<f64>() * total;
        let hit = self.kinds.iter().position(|k| {
            point -= k.share;
            point < 0.0
        });
        crowd.next += 1;
        let id = crowd.next;
        let number = format!("+9148{:07}", crowd.rng.random_range(0..10_000_000));
        let class = hit.unwrap_or(0);
        crowd.people.insert(id, Person { class, number, first: now, tries: 0, state: State::Waiting });
        self.try_once(crowd, now, id);
    }

    fn try_once(&self, crowd: &mut Crowd, now: Duration, id: u64) {
        let open: Vec<usize> = (0..crowd.lines.len()).filter(|l| crowd.lines[*l].outbox.is_some()).collect();
        if open.is_empty() {
            crowd.due.insert((now + Duration::from_millis(100), Due::Try(id)));
            return;
        }
        let line = open[crowd.rng.random_range(0..open.len())];
        let session: u128 = crowd.rng.random();
        let random = crowd.rng.next_u32();
        let left = crowd.rng.random::<f64>() < self.habits.leavers;
        let leave = self.habits.try_s as f64 * crowd.rng.random::<f64>();
        let Some(person) = crowd.people.get_mut(&id) else { return };
        person.tries += 1;
        let tries = person.tries;
        let kind = &self.kinds[person.class];
        let call_id = format!("{id}.{tries}.{random:08x}@caller.invalid");
        let mut draft =
            MessageBuilder::request(Method::Invite, &format!("sip:{}@gateway.invalid", person.number));
        draft
            .field(
                Name::Via,
                &format!("SIP/2.0/WS caller{line}.invalid;branch=z9hG4bK{id}.{tries}.{random:08x};rport"),
            )
            .field(Name::MaxForwards, "70")
            .field(Name::From, &format!("<sip:desk{id}@caller.invalid>;tag={random:08x}"))
            .field(Name::To, &format!("<sip:{}@gateway.invalid>", person.number))
            .field(Name::CallId, &call_id)
            .field(Name::CSeq, "1 INVITE")
            .field(Name::Contact, &format!("<sip:desk{id}@caller{line}.invalid;transport=ws>"))
            .field(Name::Expires, &self.habits.try_s.to_string())
            .field(Name::SessionId, &format!("{:032x};remote={:032}", session | 1, 0))
            .named_field("X-Class", &kind.name)
            .field(Name::ContentType, "application/sdp");
        let bytes = draft.finish(b"v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\n");
        let Ok(invite) = Message::parse(&bytes, &Limits::default()) else { return };
        person.state = State::Trying { line, invite: Box::new(invite), sent: now };
        crowd.by_call_id.insert(call_id, id);
        crowd.report.tries += 1;
        let overdue = now + Duration::from_secs(self.habits.try_s) + PATIENCE;
        crowd.due.insert((overdue, Due::Overdue(id, tries)));
        if left {
            crowd.due.insert((now + Duration::from_secs_f64(leave), Due::Leave(id, tries)));
        }
        self.send(crowd, line, &bytes);
    }

    /// A try came to nothing: once more, or that was it.
    fn failed(&self, crowd: &mut Crowd, now: Duration, id: u64, wait: Option<Duration>, end: End) {
        let pause = Duration::from_millis(self.habits.redial_ms).mul_f64(0.5 + crowd.rng.random::<f64>());
        let Some(person) = crowd.people.get_mut(&id) else { return };
        let at = now + wait.unwrap_or_default().max(pause);
        let too_late = at.saturating_sub(person.first) >= self.kinds[person.class].deadline;
        person.state = State::Waiting;
        if person.tries > self.habits.redials || too_late || crowd.closing {
            self.over(crowd, id, end);
        } else {
            crowd.due.insert((at, Due::Try(id)));
        }
    }

    fn over(&self, crowd: &mut Crowd, id: u64, end: End) {
        if let Some(person) = crowd.people.remove(&id) {
            crowd.report.count(person.class, person.first, end);
        }
    }

    fn take(&self, line: usize, message: Message) {
        let now = self.tap.now();
        let crowd = &mut *self.crowd.borrow_mut();
        let call_id = message.get(Name::CallId).unwrap_or("");
        let id = crowd.by_call_id.get(call_id).copied();
        if message.method() == Some(Method::Bye) {
            let known = id
                .filter(|id| crowd.people.get(id).is_some_and(|p| matches!(p.state, State::Standing { .. })));
            let status = if known.is_some() { 200 } else { 481 };
            let bytes = MessageBuilder::response_to(&message, status, None, "caller", None).finish(b"");
            self.send(crowd, line, &bytes);
            if let Some(id) = known {
                self.over(crowd, id, End::Cut);
            }
            return;
        }
        let (Some(status), Some(id)) = (message.status(), id) else { return };
        let is_invite = message.cseq().is_ok_and(|c| c.method == "INVITE");
        let Some(person) = crowd.people.get_mut(&id).filter(|_| is_invite && status >= 200) else { return };
        let State::Trying { invite, sent, .. } = &person.state else { return };
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
            crowd.by_call_id.remove(call_id);
            self.send(crowd, line, &bytes);
            let end = match status {
                487 => return self.over(crowd, id, End::Left),
                486 | 503 => End::Refused,
                _ => End::Failed,
            };
            return self.failed(crowd, now, id, wait, end);
        }
        let Ok(dialog) = Dialog::caller(&message, "sip:gateway.invalid", 1) else { return };
        let (after, delay) = (now.saturating_sub(person.first), now.saturating_sub(*sent));
        let mut dialog = Box::new(dialog);
        let via = format!("SIP/2.0/WS caller{line}.invalid;branch=z9hG4bKa{id}.{}", person.tries);
        let ack = dialog.request(Method::Ack, &via).finish(b"");
        let hold = self.kinds[person.class].hold.mul_f64(-(1.0 - crowd.rng.random::<f64>()).ln());
        person.state = State::Standing { line, dialog, after };
        let _ = crowd.report.set_up.record(u64::try_from(delay.as_micros()).unwrap_or(u64::MAX).max(1));
        crowd.due.insert((now + hold, Due::HangUp(id)));
        self.send(crowd, line, &ack);
    }

    fn line_lost(&self, line: usize, conn: u64) {
        let crowd = &mut *self.crowd.borrow_mut();
        if crowd.lines[line].outbox.as_ref().is_some_and(|(c, _)| *c == conn) {
            crowd.lines[line].outbox = None;
        }
        let on_it = |p: &Person| match &p.state {
            State::Trying { line: l, .. } | State::Standing { line: l, .. } => *l == line,
            State::Waiting => false,
        };
        let gone: Vec<u64> = crowd.people.iter().filter(|(_, p)| on_it(p)).map(|(id, _)| *id).collect();
        for id in gone {
            self.over(crowd, id, End::Left);
        }
    }

    /// Does what is due.
    fn pass(&self, now: Duration) {
        let crowd = &mut *self.crowd.borrow_mut();
        while let Some((_, due)) = crowd.due.first().copied().filter(|(at, _)| *at <= now) {
            crowd.due.pop_first();
            match due {
                Due::Try(id) => self.try_once(crowd, now, id),
                Due::Leave(id, tries) => {
                    let Some(person) = crowd.people.get(&id).filter(|p| p.tries == tries) else { continue };
                    if let State::Trying { line, invite, .. } = &person.state {
                        let mut cancel = MessageBuilder::request(Method::Cancel, "sip:gateway.invalid");
                        cancel
                            .copy_fields(invite, Name::Via)
                            .copy_fields(invite, Name::MaxForwards)
                            .copy_fields(invite, Name::From);
                        cancel
                            .copy_fields(invite, Name::To)
                            .copy_fields(invite, Name::CallId)
                            .field(Name::CSeq, "1 CANCEL");
                        let (line, bytes) = (*line, cancel.finish(b""));
                        self.send(crowd, line, &bytes);
                    }
                }
                Due::Overdue(id, tries) => {
                    let trying =
                        |p: &&mut Person| p.tries == tries && matches!(p.state, State::Trying { .. });
                    if crowd.people.get_mut(&id).filter(trying).is_some() {
                        crowd.report.unanswered += 1;
                        self.failed(crowd, now, id, None, End::Failed);
                    }
                }
                Due::HangUp(id) => {
                    let Some(person) = crowd.people.get_mut(&id) else { continue };
                    if let State::Standing { line, dialog, after } = &mut person.state {
                        let via =
                            format!("SIP/2.0/WS caller{line}.invalid;branch=z9hG4bKh{id}.{}", person.tries);
                        let bytes = dialog.request(Method::Bye, &via).finish(b"");
                        let (line, after) = (*line, *after);
                        let call_id = dialog.call_id.clone();
                        self.send(crowd, line, &bytes);
                        crowd.by_call_id.remove(&call_id);
                        self.over(crowd, id, End::Stood(after));
                    }
                }
            }
        }
    }

    /// Does what is due, for ever.
    pub async fn run(self: Rc<Self>) {
        loop {
            Timer::after(Duration::from_millis(2)).await;
            self.pass(self.tap.now());
        }
    }

    /// Breaks a random connection off, and opens it again a little later.
    pub fn break_one(self: &Rc<Self>) {
        let line = {
            let crowd = &mut *self.crowd.borrow_mut();
            let line = crowd.rng.random_range(0..crowd.lines.len().max(1));
            let Some((_, outbox)) = crowd.lines.get(line).and_then(|l| l.outbox.clone()) else { return };
            outbox.abort();
            line
        };
        let callers = self.clone();
        let again = async move {
            Timer::after(Duration::from_millis(200)).await;
            // As long as the gateway is there to be asked; a refusal tells to come later.
            for _ in 0..100 {
                if callers.crowd.borrow().closing || callers.open(line).await.is_ok() {
                    return;
                }
                Timer::after(Duration::from_millis(100)).await;
            }
        };
        self.executor.spawn(again).detach();
    }

    /// A random number from 0 to 1, of the callers' stream.
    pub fn unit(&self) -> f64 {
        self.crowd.borrow_mut().rng.random()
    }

    /// People whose try is out.
    pub fn trying(&self) -> usize {
        self.crowd.borrow().people.values().filter(|p| matches!(p.state, State::Trying { .. })).count()
    }

    /// The day is over: nobody dials again, and those who wait to do so have been refused.
    pub fn close(&self) {
        let crowd = &mut *self.crowd.borrow_mut();
        crowd.closing = true;
        let waiting = |p: &Person| matches!(p.state, State::Waiting);
        let rest: Vec<u64> = crowd.people.iter().filter(|(_, p)| waiting(p)).map(|(id, _)| *id).collect();
        for id in rest {
            self.over(crowd, id, End::Refused);
        }
    }

    /// Standing calls hang up.
    pub fn hang_up_all(&self) {
        let now = self.tap.now();
        let crowd = &mut *self.crowd.borrow_mut();
        crowd.due.clear();
        for (id, person) in &crowd.people {
            if matches!(person.state, State::Standing { .. }) {
                crowd.due.insert((now, Due::HangUp(*id)));
            }
        }
    }

    /// People whose calls are not over.
    pub fn busy(&self) -> usize {
        self.crowd.borrow().people.len()
    }

    /// Tries so far, and calls that stood.
    pub fn so_far(&self) -> (u64, u64) {
        let crowd = self.crowd.borrow();
        (crowd.report.tries, crowd.report.set_up.len())
    }

    /// Takes the report.
    pub fn take_report(&self) -> Report {
        std::mem::replace(&mut self.crowd.borrow_mut().report, Report::new(Vec::new()))
    }
}
