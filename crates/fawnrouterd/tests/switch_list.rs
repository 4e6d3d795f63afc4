//! Changes of the list of core switches that cross with set-ups on their way, with each other and with a new
//! configuration: the real program, its name server and its core switches on loopback. The order is forced by what the
//! stand-ins hold back; a pause is only ever taken to let the grace of a drain pass while something is held.

mod common;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, ErrorKind, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{Caller, Gateway, SwitchRecord, dns_response, free_address, node_config, send_line};
use rustix::net::{AddressFamily, SocketType, sockopt};
use rustix::process::Signal;
use serde_json::{Value, json};

/// Ends a test that would hang.
const TIMEOUT: Duration = Duration::from_secs(15);
/// The grace of a drain in these tests.
const GRACE: Duration = Duration::from_millis(250);
/// The gateway asks four times a second; a second and a half without a question is a pause whatever the machine does.
const ASKS_WITHIN: Duration = Duration::from_millis(1500);
/// Descriptors of which the gateway gives a quarter to core switches: one to each of sixteen.
const FEW_DESCRIPTORS: usize = 64;

// ---- A name server that can say all that the protocol knows, late and wrongly ---------------------------------------

fn ready(id: &str, address: SocketAddr) -> SwitchRecord {
    SwitchRecord { id: id.to_owned(), address, draining: false, started_ms: 0 }
}

fn draining(id: &str, address: SocketAddr) -> SwitchRecord {
    SwitchRecord { draining: true, ..ready(id, address) }
}

#[derive(Clone)]
struct List {
    serial: u32,
    rows: Vec<SwitchRecord>,
}

fn list(serial: u32, rows: impl Into<Vec<SwitchRecord>>) -> List {
    List { serial, rows: rows.into() }
}

impl List {
    fn answer(&self, question: &[u8]) -> Vec<u8> {
        dns_response(question, 0, self.serial, &self.rows)
    }
}

/// A question, and who asked it.
struct Question {
    datagram: Vec<u8>,
    from: SocketAddr,
    at: Instant,
}

/// How the name server answers by itself.
type Says = Box<dyn Fn(&[u8]) -> Vec<Vec<u8>> + Send>;

struct Names {
    address: SocketAddr,
    socket: UdpSocket,
    says: Arc<Mutex<Says>>,
    asked: Receiver<Question>,
}

impl Names {
    /// One that answers nothing yet.
    fn silent() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        let says: Arc<Mutex<Says>> = Arc::new(Mutex::new(Box::new(|_| Vec::new())));
        let (send, asked) = channel();
        let (hears, answers) = (socket.try_clone().unwrap(), says.clone());
        std::thread::spawn(move || {
            let mut buffer = [0; 1500];
            while let Ok((n, from)) = hears.recv_from(&mut buffer) {
                let question = Question { datagram: buffer[..n].to_vec(), from, at: Instant::now() };
                for answer in answers.lock().unwrap()(&question.datagram) {
                    let _ = hears.send_to(&answer, from);
                }
                if send.send(question).is_err() {
                    return;
                }
            }
        });
        Self { address, socket, says, asked }
    }

    fn telling(list: List) -> Self {
        let names = Self::silent();
        names.tells(list);
        names
    }

    /// From now on each question gets these datagrams.
    fn answers(&self, answers: impl Fn(&[u8]) -> Vec<Vec<u8>> + Send + 'static) {
        *self.says.lock().unwrap() = Box::new(answers);
    }

    fn tells(&self, list: List) {
        self.answers(move |question| vec![list.answer(question)]);
    }

    /// The next questions that are asked from now on.
    fn questions(&self, times: usize) -> Vec<Question> {
        while self.asked.try_recv().is_ok() {}
        (0..times).map(|_| self.asked.recv_timeout(TIMEOUT).expect("the gateway asks")).collect()
    }

    /// Waits until the gateway has read whatever was sent to it before this call: it looks for datagrams before it
    /// sends the next question, and one more question may have been under way.
    fn is_heard(&self) {
        self.questions(3);
    }

    /// Stops the gateway after some more questions. They, and those that it asked meanwhile: the last four may still be
    /// answered.
    fn stops(&self, gateway: &Gateway, after: usize) -> Vec<Question> {
        let mut asked = self.questions(after);
        gateway.send_signal(Signal::STOP);
        while let Ok(question) = self.asked.recv_timeout(Duration::from_millis(300)) {
            asked.push(question);
        }
        asked
    }

    fn send(&self, to: SocketAddr, datagram: &[u8]) {
        self.socket.send_to(datagram, to).unwrap();
    }
}

// ---- Core switches --------------------------------------------------------------------------------------------------

/// What is said to a core switch: on which of its connections, and what.
struct Said {
    link: usize,
    stream: TcpStream,
    line: Value,
}

struct Switch {
    address: SocketAddr,
    links: Receiver<usize>,
    lines: Receiver<Said>,
}

impl Switch {
    fn new() -> Self {
        Self::behind(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// One that takes what comes to this listener.
    fn behind(listener: TcpListener) -> Self {
        let address = listener.local_addr().unwrap();
        let (come, links) = channel();
        let (send, lines) = channel();
        std::thread::spawn(move || {
            for (link, stream) in listener.incoming().flatten().enumerate() {
                let send = send.clone();
                let _ = come.send(link);
                std::thread::spawn(move || {
                    let reader = BufReader::new(stream.try_clone().unwrap());
                    for line in reader.lines().map_while(Result::ok) {
                        let line = serde_json::from_str(&line).expect("the gateway writes JSON");
                        if send.send(Said { link, stream: stream.try_clone().unwrap(), line }).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, links, lines }
    }

    /// The next set-up within this time.
    fn start_within(&self, time: Duration) -> Option<Said> {
        let end = Instant::now() + time;
        loop {
            match self.lines.recv_timeout(end.saturating_duration_since(Instant::now())) {
                Ok(said) if said.line["verb"] == "START" => return Some(said),
                Ok(_) => {}
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return None,
            }
        }
    }

    fn start(&self) -> Said {
        self.start_within(TIMEOUT).expect("a set-up")
    }

    /// No set-up has come since the last that was taken.
    fn had_no_start(&self, why: &str) {
        if let Some(said) = self.start_within(Duration::ZERO) {
            panic!("{why}: {} came", said.line);
        }
    }

    /// Nobody has connected since the last that was counted.
    fn had_no_link(&self, why: &str) {
        assert!(self.links.try_recv().is_err(), "{why}: a connection was opened");
    }
}

impl Said {
    fn stands(&self) {
        let tag = &self.line["tag"];
        send_line(
            &self.stream,
            &json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": format!("answer\r\n{tag}")}),
        );
    }
}

/// A call to be set up on this connection that must stand at this switch.
fn stands_at(caller: &mut Caller, tag: &str, switch: &Switch) {
    caller.send_set_up(tag, 8000);
    let start = switch.start();
    assert_eq!(start.line["tag"], tag);
    start.stands();
    hears_started(caller, tag);
}

fn hears_started(caller: &mut Caller, tag: &str) {
    let heard = caller.receive().expect("an answer");
    assert_eq!((&heard["verb"], &heard["tag"]), (&json!("STARTED"), &json!(tag)), "{heard}");
}

/// The gateway has handled all that this caller has said.
fn is_heard(caller: &mut Caller) {
    caller.send(&json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0}));
    assert_eq!(caller.receive().unwrap()["verb"], "ECHOED");
}

fn release(tag: &str) -> Value {
    json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": 16})
}

/// A listener whose queue is full: whoever connects from now on waits until somebody is taken from it.
struct Crowded {
    listener: TcpListener,
    address: SocketAddr,
    fillers: Vec<TcpStream>,
}

impl Crowded {
    fn new() -> Self {
        let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        rustix::net::bind(&socket, &SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
        rustix::net::listen(&socket, 0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        // How many fit is the kernel's affair: the first that must wait shows that no more do.
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            fillers.push(filler);
            assert!(fillers.len() < 16, "the queue has an end");
        }
        Self { listener, address, fillers }
    }

    /// Takes those that filled the queue, and then whoever comes.
    fn opens(self) -> Switch {
        for _ in &self.fillers {
            self.listener.accept().unwrap();
        }
        Switch::behind(self.listener)
    }
}

// ---- Gateways -------------------------------------------------------------------------------------------------------

/// A configuration with a short grace and time enough for a connection that is held back.
fn settings(names: &Names, switches: &[(&str, SocketAddr)]) -> Value {
    let mut config = node_config(free_address(), names.address, switches);
    config["settings"]["contract"]["drainGraceNs"] = json!(GRACE.as_nanos() as u64);
    config["settings"]["policyLimits"]["dialTimeoutNs"] = json!(6_000_000_000u64);
    config
}

const TAG: &str = "9b1f03aa5c7e2d41";
const NEXT: &str = "9b1f03aa5c7e2d42";

// ---- A set-up on its way --------------------------------------------------------------------------------------------

#[test]
fn a_set_up_that_waits_for_its_connection_does_not_go_to_a_switch_that_is_told_to_drain_meanwhile() {
    let (crowded, other) = (Crowded::new(), Switch::new());
    let at = crowded.address;
    let names = Names::telling(list(1, [ready("s-1", at)]));
    let gateway = Gateway::start("list-dial-drain", &settings(&names, &[("s-1", at)]));
    let mut caller = gateway.connect_caller();
    caller.send_set_up(TAG, 8000);
    is_heard(&mut caller);
    names.tells(list(2, [draining("s-1", at), ready("s-2", other.address)]));
    let start = other.start();
    std::thread::sleep(GRACE);
    // The kernel tries a connection that waits again after a second, and after two more.
    let old = crowded.opens();
    start.stands();
    hears_started(&mut caller, TAG);
    stands_at(&mut caller, NEXT, &other);
    if let Some(start) = old.start_within(Duration::from_millis(2500)) {
        panic!("it drains, and {} was sent there", start.line);
    }
    other.had_no_start("each was sent once");
}

#[test]
fn a_new_switch_at_the_address_of_one_that_is_gone_gets_the_set_up_that_waited_there_once() {
    let crowded = Crowded::new();
    let at = crowded.address;
    let names = Names::telling(list(1, [ready("s-1", at)]));
    let gateway = Gateway::start("list-dial-gone", &settings(&names, &[("s-1", at)]));
    let mut caller = gateway.connect_caller();
    caller.send_set_up(TAG, 8000);
    is_heard(&mut caller);
    names.tells(list(2, [ready("s-2", at)]));
    names.is_heard();
    let new = crowded.opens();
    let start = new.start();
    assert_eq!(start.line["tag"], TAG);
    start.stands();
    hears_started(&mut caller, TAG);
    stands_at(&mut caller, NEXT, &new);
    names.is_heard();
    new.had_no_start("each was sent once");
}

/// Bytes that the kernel holds of what was written to a connection to this address and has not been read there: those
/// at the writer's and those at the reader's end (the columns of proc_net_tcp(5)).
fn in_the_kernel(address: SocketAddr) -> usize {
    let port = format!("{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table
        .lines()
        .filter(|line| line.contains(&port))
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.filter(|row| row[3] == "01")
        .map(|row| {
            let (unsent, unread) = row[4].split_once(':').unwrap();
            let bytes = |hex| usize::from_str_radix(hex, 16).unwrap();
            if row[2].ends_with(&port) {
                bytes(unsent)
            } else if row[1].ends_with(&port) {
                bytes(unread)
            } else {
                0
            }
        })
        .sum()
}

/// Waits until the kernel takes nothing more of what is written there. What has arrived counts at both ends until it is
/// acknowledged, some 40 ms later.
fn settled(address: SocketAddr) -> usize {
    let end = Instant::now() + TIMEOUT;
    let (mut before, mut same) = (in_the_kernel(address), 0);
    while same < 4 {
        std::thread::sleep(Duration::from_millis(40));
        let now = in_the_kernel(address);
        same = if now == before { same + 1 } else { 0 };
        assert!(Instant::now() < end, "the connection never comes to rest");
        before = now;
    }
    before
}

/// Set-ups that lie in the gateway when their switch, which doesn't read, is told to be on its way out; `after` is what
/// the list says of it then.
fn unwritten_set_ups(test: &str, after: fn(SocketAddr) -> Option<SwitchRecord>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    sockopt::set_socket_recv_buffer_size(&listener, 4096).unwrap();
    let (at, other) = (listener.local_addr().unwrap(), Switch::new());
    // Switches on their way out, which are sent nothing, leave one connection to each.
    let others: Vec<String> = (0..15).map(|n| format!("d-{n}")).collect();
    let nobody = free_address();
    let mut known = vec![("s-1", at)];
    known.extend(others.iter().map(|id| (id.as_str(), nobody)));
    let rows = |own: Vec<SwitchRecord>| -> Vec<SwitchRecord> {
        own.into_iter().chain(others.iter().map(|id| draining(id, nobody))).collect()
    };
    let names = Names::telling(list(1, rows(vec![ready("s-1", at)])));
    let mut config = settings(&names, &known);
    config["limits"]["sockets"] = json!(FEW_DESCRIPTORS);
    for instance in config["known"]["results"][0]["fleet"]["instances"].as_array_mut().unwrap() {
        if instance["instanceId"] != "s-1" {
            instance["lifecycle"] = json!("Terminating");
        }
    }
    let gateway = Gateway::start(test, &config);
    let (mut link, _) = listener.accept().unwrap();
    let mut caller = gateway.connect_caller();
    caller.stream.set_nodelay(true).unwrap();
    let start = |tag: &str, size: usize| {
        json!({"verb": "START", "tag": tag, "blob": "x".repeat(size),
            "opts": {"class": "voice", "left": "8000", "key": "7f3a", "extras": "dest:0;width:1;via:-1"}})
    };
    // The connection is up on the gateway's side too once something has come on it.
    caller.send(&start("f111000000000000", 10));
    let mut byte = [0];
    while byte != *b"\n" {
        link.read_exact(&mut byte).unwrap();
    }
    caller.send(&release("f111000000000000"));
    assert_eq!(caller.receive().unwrap()["verb"], "FINISHED");
    // Given up once written, so that nothing but their bytes is left of them.
    let big = 15_000;
    let before = settled(at);
    let mut pair = 0;
    for n in 1.. {
        let tag = format!("f1110000{n:08x}");
        caller.send(&start(&tag, big));
        is_heard(&mut caller);
        caller.send(&release(&tag));
        assert_eq!(caller.receive().unwrap(), json!({"verb": "FINISHED", "tag": tag, "opts": {}}));
        if n == 1 {
            pair = settled(at) - before;
            assert!(pair > big, "it is up");
        }
        let full = |held| held + big / 2 < before + n * pair;
        if full(in_the_kernel(at)) && full(settled(at)) {
            break;
        }
        assert!(n < 1000, "the connection never fills up");
    }
    let held = settled(at);
    let tags: BTreeSet<String> = (0..3).map(|n| format!("0000000000000c0{n}")).collect();
    for tag in &tags {
        caller.send(&start(tag, 1000));
    }
    is_heard(&mut caller);
    assert_eq!(settled(at), held, "nothing of these has been written");
    other.had_no_start("the other is not listed yet");
    let own = after(at).into_iter().chain([ready("s-2", other.address)]).collect();
    names.tells(list(2, rows(own)));
    names.is_heard();
    std::thread::sleep(GRACE);
    // What the gateway has closed by then counts no more.
    assert!(settled(at) <= held, "nothing more has been written");
    // Now the switch reads on: what had been written comes, and the rest of the line that was begun.
    sockopt::set_socket_recv_buffer_size(&link, 4 << 20).unwrap();
    let mut bytes = Vec::new();
    let mut chunk = vec![0; 64 * 1024];
    link.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    loop {
        match link.read(&mut chunk) {
            Ok(0) => break,
            Ok(n) => bytes.extend_from_slice(&chunk[..n]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::ConnectionReset) => break,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => panic!("{error}"),
        }
    }
    let mut from = 0;
    let mut late = Vec::new();
    for line in bytes.split_inclusive(|b| *b == b'\n') {
        if from >= held && line.starts_with(b"{\"verb\":\"START\"") {
            late.push(String::from_utf8_lossy(&line[..line.len().min(60)]).into_owned());
        }
        from += line.len();
    }
    assert!(late.is_empty(), "begun after the grace: {late:?}");
    // And each of the calls is somewhere else, or over.
    let mut elsewhere = BTreeSet::new();
    let end = Instant::now() + Duration::from_secs(3);
    while let Some(start) = other.start_within(end.saturating_duration_since(Instant::now())) {
        let tag = start.line["tag"].as_str().unwrap().to_owned();
        start.stands();
        assert!(elsewhere.insert(tag), "each was sent once");
        if elsewhere == tags {
            break;
        }
    }
    let answered = tags.iter().map(|_| caller.receive().unwrap()["tag"].as_str().unwrap().to_owned());
    assert_eq!(answered.collect::<BTreeSet<_>>(), tags, "each is answered");
}

#[test]
fn set_ups_that_lie_unwritten_when_their_switch_is_told_to_drain_are_not_written_after_the_grace() {
    unwritten_set_ups("list-outbox-drain", |at| Some(draining("s-1", at)));
}

#[test]
fn set_ups_that_lie_unwritten_when_their_switch_is_told_to_be_gone_are_not_written_after_the_grace() {
    unwritten_set_ups("list-outbox-gone", |_| None);
}

#[test]
fn a_set_up_that_a_draining_switch_turns_away_after_the_grace_does_not_come_back_to_it() {
    let (old, new) = (Switch::new(), Switch::new());
    let names = Names::telling(list(1, [ready("s-1", old.address)]));
    let gateway = Gateway::start("list-turned", &settings(&names, &[("s-1", old.address)]));
    let mut caller = gateway.connect_caller();
    caller.send_set_up(TAG, 8000);
    let start = old.start();
    names.tells(list(2, [draining("s-1", old.address), ready("s-2", new.address)]));
    names.is_heard();
    std::thread::sleep(GRACE);
    send_line(
        &start.stream,
        &json!({"verb": "FINISH", "tag": TAG, "opts": {"note": "group_full"}, "rc": 34}),
    );
    let again = new.start();
    assert_eq!(again.line["tag"], TAG);
    again.stands();
    hears_started(&mut caller, TAG);
    stands_at(&mut caller, NEXT, &new);
    names.is_heard();
    old.had_no_start("it drains");
}

#[test]
fn a_gateway_that_knows_only_switches_on_their_way_out_sends_them_nothing_after_the_grace() {
    let (old, gone) = (Switch::new(), Switch::new());
    let names = Names::telling(list(1, [ready("s-1", old.address), ready("s-2", gone.address)]));
    let known = [("s-1", old.address), ("s-2", gone.address)];
    let gateway = Gateway::start("list-only-drain", &settings(&names, &known));
    names.is_heard();
    names.tells(list(2, [draining("s-1", old.address)]));
    names.is_heard();
    std::thread::sleep(GRACE);
    let mut caller = gateway.connect_caller();
    for n in 0..4 {
        caller.send_set_up(&format!("000000000000000{n}"), 700);
    }
    for _ in 0..4 {
        let heard = caller.receive().unwrap();
        assert_eq!(heard["verb"], "FINISH", "{heard}");
    }
    names.is_heard();
    old.had_no_start("it drains");
    gone.had_no_start("it is gone");
    // What was learnt of those does not keep a new one from being used.
    let new = Switch::new();
    names.tells(list(3, [ready("s-3", new.address)]));
    names.is_heard();
    stands_at(&mut caller, TAG, &new);
}

// ---- Switches that come and go ---------------------------------------------------------------------------------------

#[test]
fn a_new_switch_at_the_address_of_one_that_is_gone_has_connections_of_its_own_and_none_of_its_calls() {
    let switch = Switch::new();
    let at = switch.address;
    let names = Names::telling(list(1, [ready("s-1", at)]));
    let gateway = Gateway::start("list-same-address", &settings(&names, &[("s-1", at)]));
    let (mut caller, other) = (gateway.connect_caller(), gateway.connect_caller());
    stands_at(&mut caller, TAG, &switch);
    other.send_set_up(NEXT, 8000);
    let held = switch.start();
    names.tells(list(2, [SwitchRecord { started_ms: 1_700_000_000_000, ..ready("s-2", at) }]));
    let heard = caller.receive().unwrap();
    assert_eq!((&heard["verb"], &heard["tag"]), (&json!("FINISH"), &json!(TAG)), "it went with the old one");
    let last = switch.links.try_iter().last().unwrap_or(held.link);
    // The old one's connections are still open here, as they are until the kernel learns that it has gone.
    let third = "9b1f03aa5c7e2d43";
    caller.send_set_up(third, 8000);
    let mut links = Vec::new();
    while links.last().is_none_or(|(tag, _)| tag != third) {
        let start = switch.start();
        let tag = start.line["tag"].as_str().unwrap().to_owned();
        // An answer on an old connection is none of the new one's.
        send_line(
            &held.stream,
            &json!({"verb": "STARTED", "tag": third, "opts": {}, "blob": "not the new one's"}),
        );
        if tag == third {
            start.stands();
        }
        links.push((tag, start.link));
    }
    assert!(links.iter().all(|(_, link)| *link > held.link), "{links:?} after {last}");
    let heard = caller.receive().unwrap();
    assert_eq!((&heard["tag"], &heard["blob"]), (&json!(third), &json!(format!("answer\r\n\"{third}\""))));
    let again = links.iter().filter(|(tag, _)| tag == NEXT).count();
    assert!(again <= 1, "what was open at the old one is sent to the new one once at the most");
}

/// From now on a core switch passes every test, on old connections and new ones.
fn passes_tests(switch: Switch) {
    std::thread::spawn(move || {
        for said in switch.lines.iter().filter(|said| said.line["verb"] == "ECHO") {
            let tag = &said.line["tag"];
            send_line(&said.stream, &json!({"verb": "ECHOED", "tag": tag, "opts": {}, "rc": 1}));
        }
    });
}

/// A gateway with a call that stands at `s-1`, which leaves the list and is listed again, `anew` with a start of that
/// moment, before the time is over after which one that has left is given up. It passes tests all the while.
fn leaves_the_list_and_is_back(test: &str, anew: bool) -> (Gateway, Names, Caller) {
    let (one, two) = (Switch::new(), Switch::new());
    let (first, second) = (one.address, two.address);
    let names = Names::telling(list(1, [ready("s-1", first)]));
    let gateway = Gateway::start(test, &settings(&names, &[("s-1", first)]));
    let mut caller = gateway.connect_caller();
    stands_at(&mut caller, TAG, &one);
    passes_tests(one);
    names.tells(list(2, [ready("s-2", second)]));
    names.is_heard();
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let started = if anew { now.as_millis() as u64 } else { 0 };
    names.tells(list(3, [SwitchRecord { started_ms: started, ..ready("s-1", first) }, ready("s-2", second)]));
    names.is_heard();
    (gateway, names, caller)
}

#[test]
fn calls_of_a_switch_that_leaves_the_list_and_is_back_with_a_new_start_are_over() {
    let (_gateway, _names, mut caller) = leaves_the_list_and_is_back("list-back-anew", true);
    let heard = caller.receive().expect("the call stood before the start");
    assert_eq!((&heard["verb"], &heard["tag"]), (&json!("FINISH"), &json!(TAG)), "{heard}");
}

#[test]
fn calls_of_a_switch_that_leaves_the_list_and_is_back_without_a_new_start_stand_on() {
    let (_gateway, _names, mut caller) = leaves_the_list_and_is_back("list-back", false);
    is_heard(&mut caller);
    caller.send(&release(TAG));
    assert_eq!(caller.receive().unwrap()["verb"], "FINISHED", "it stood until its caller released it");
}

#[test]
fn a_switch_that_is_first_seen_draining_is_neither_called_nor_connected_to() {
    let (one, brief) = (Switch::new(), Switch::new());
    let names = Names::telling(list(1, [ready("s-1", one.address)]));
    let gateway = Gateway::start("list-brief", &settings(&names, &[("s-1", one.address)]));
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let started = now.as_millis() as u64;
    let both =
        [ready("s-1", one.address), SwitchRecord { started_ms: started, ..draining("s-2", brief.address) }];
    names.tells(list(2, both));
    names.is_heard();
    let mut caller = gateway.connect_caller();
    for n in 0..8 {
        stands_at(&mut caller, &format!("000000000000000{n}"), &one);
    }
    names.is_heard();
    brief.had_no_link("it has only ever drained");
    // Even where nobody else is left.
    names.tells(list(3, [SwitchRecord { started_ms: started, ..draining("s-2", brief.address) }]));
    names.is_heard();
    std::thread::sleep(GRACE);
    let mut last = gateway.connect_caller();
    last.send_set_up(TAG, 700);
    assert_eq!(last.receive().unwrap()["verb"], "FINISH");
    names.is_heard();
    brief.had_no_link("it has only ever drained");
}

// ---- Answers that are late, wrong or missing -------------------------------------------------------------------------

#[test]
fn a_list_that_is_older_empty_cut_short_failed_or_of_another_question_changes_nothing() {
    let (one, two) = (Switch::new(), Switch::new());
    let rows = [ready("s-1", one.address)];
    let names = Names::telling(list(5, rows.clone()));
    let gateway = Gateway::start("list-bad", &settings(&names, &[("s-1", one.address)]));
    names.is_heard();
    let changed = [draining("s-1", one.address), ready("s-2", two.address)];
    let good = list(6, changed.clone());
    let cut = |list: &List, question: &[u8], at: usize| {
        let mut answer = list.answer(question);
        answer.truncate(answer.len() * at / 8);
        answer
    };
    let mut tag = 0;
    let mut caller = gateway.connect_caller();
    for kind in
        ["older", "same", "oldest", "empty", "cut", "failed", "other id", "no serial", "no address", "noise"]
    {
        let good = good.clone();
        let changed = changed.clone();
        names.answers(move |question| match kind {
            "older" => vec![list(4, changed.clone()).answer(question)],
            "same" => vec![list(5, changed.clone()).answer(question)],
            "oldest" => vec![list(1, changed.clone()).answer(question)],
            "empty" => vec![list(7, []).answer(question)],
            "cut" => (0..8).map(|at| cut(&good, question, at)).collect(),
            "failed" => {
                let mut answer = good.answer(question);
                answer[3] = 2;
                vec![answer]
            }
            "other id" => {
                let mut answer = good.answer(question);
                answer[0] ^= 0x80;
                vec![answer]
            }
            "no serial" => {
                let mut answer = good.answer(question);
                // The SOA record becomes one of a type that nobody reads.
                let soa = good.answer(question).windows(7).position(|w| w == b"cluster").unwrap();
                let at = answer[soa..].windows(4).position(|w| w == [0, 6, 0, 1]).unwrap() + soa;
                answer[at + 1] = 99;
                vec![answer]
            }
            "no address" => {
                let mut answer = good.answer(question);
                let last = answer.windows(4).rposition(|w| w == [0, 1, 0, 1]).unwrap();
                answer[last + 1] = 99;
                vec![answer]
            }
            _ => vec![vec![0xff; 400], Vec::new(), question.to_vec()],
        });
        names.is_heard();
        tag += 1;
        stands_at(&mut caller, &format!("{tag:016x}"), &one);
        two.had_no_link(kind);
    }
    names.tells(good);
    names.is_heard();
    stands_at(&mut caller, TAG, &two);
    names.is_heard();
    one.had_no_start("it drains");
}

#[test]
fn a_good_answer_behind_bad_ones_to_the_same_question_is_taken() {
    let (one, two) = (Switch::new(), Switch::new());
    let names = Names::telling(list(1, [ready("s-1", one.address)]));
    let gateway = Gateway::start("list-behind", &settings(&names, &[("s-1", one.address)]));
    names.is_heard();
    let good = list(2, [ready("s-2", two.address)]);
    names.answers(move |question| {
        let whole = good.answer(question);
        let mut failed = whole.clone();
        failed[3] = 2;
        vec![whole[..whole.len() / 2].to_vec(), failed, vec![0; 3], whole]
    });
    names.is_heard();
    stands_at(&mut gateway.connect_caller(), TAG, &two);
}

#[test]
fn a_silent_name_server_is_asked_on_and_on_and_of_all_its_answers_at_once_the_newest_list_stands() {
    let (one, two, three) = (Switch::new(), Switch::new(), Switch::new());
    let names = Names::telling(list(1, [ready("s-1", one.address)]));
    let gateway = Gateway::start("list-silence", &settings(&names, &[("s-1", one.address)]));
    names.is_heard();
    names.answers(|_| Vec::new());
    let mut caller = gateway.connect_caller();
    stands_at(&mut caller, TAG, &one);
    let held = names.stops(&gateway, 13);
    for pair in held.windows(2) {
        let pause = pair[1].at - pair[0].at;
        assert!(pause < ASKS_WITHIN, "{pause:?} without a question");
    }
    // The newest first, and the older ones behind it, each said twice; the gateway reads them all in one go.
    for (age, question) in held.iter().rev().enumerate() {
        let told = match age {
            0 => list(9, [draining("s-1", one.address), ready("s-3", three.address)]),
            1 => list(8, [ready("s-2", two.address)]),
            _ => list(2 + u32::from(age % 2 == 0), [ready("s-1", one.address), ready("s-2", two.address)]),
        };
        let answer = told.answer(&question.datagram);
        names.send(question.from, &answer);
        names.send(question.from, &answer);
    }
    gateway.send_signal(Signal::CONT);
    names.is_heard();
    for n in 0..6 {
        stands_at(&mut caller, &format!("000000000000000{n}"), &three);
    }
    names.is_heard();
    one.had_no_start("it drains");
    two.had_no_link("it was never listed when the newest list was known");
}

#[test]
fn of_answers_out_of_order_each_list_that_is_newer_is_taken_and_no_older_one() {
    let switches: Vec<Switch> = (0..4).map(|_| Switch::new()).collect();
    let only = |n: usize| list(10 + n as u32, [ready(&format!("s-{n}"), switches[n].address)]);
    let names = Names::telling(only(0));
    let gateway = Gateway::start("list-order", &settings(&names, &[("s-0", switches[0].address)]));
    names.is_heard();
    names.answers(|_| Vec::new());
    let mut caller = gateway.connect_caller();
    for (round, order) in [[1, 0, 1], [2, 1, 0], [1, 3, 2]].into_iter().enumerate() {
        let questions = names.stops(&gateway, 4);
        for (question, n) in questions[questions.len() - 3..].iter().zip(order) {
            names.send(question.from, &only(n).answer(&question.datagram));
        }
        gateway.send_signal(Signal::CONT);
        names.is_heard();
        let tag = format!("{:016x}", round + 1);
        stands_at(&mut caller, &tag, &switches[round + 1]);
        caller.send(&release(&tag));
        assert_eq!(caller.receive().unwrap()["verb"], "FINISHED");
    }
}

// ---- A new configuration --------------------------------------------------------------------------------------------

/// Writes a configuration with this name server and has it read.
fn reload(gateway: &Gateway, config: &Value, names: &Names) {
    let mut config = config.clone();
    config["nameserver"] = json!(names.address.to_string());
    std::fs::write(&gateway.file, config.to_string()).unwrap();
    gateway.send_signal(Signal::HUP);
}

#[test]
fn after_sighup_the_new_name_server_is_heard_and_the_old_ones_late_answers_change_nothing() {
    let (one, two, three) = (Switch::new(), Switch::new(), Switch::new());
    let old = Names::telling(list(3, [ready("s-1", one.address)]));
    let config = settings(&old, &[("s-1", one.address)]);
    let gateway = Gateway::start("list-sighup", &config);
    old.is_heard();
    old.answers(|_| Vec::new());
    let held = old.questions(4);
    let new = Names::telling(list(4, [draining("s-1", one.address), ready("s-2", two.address)]));
    reload(&gateway, &config, &new);
    let hup = Instant::now();
    gateway.wait_for_log("new configuration");
    let first = new.questions(1);
    assert!(first[0].at - hup < Duration::from_secs(3), "asked in time");
    new.is_heard();
    let mut caller = gateway.connect_caller();
    stands_at(&mut caller, TAG, &two);
    // The old one speaks again: of what was, and as if of what comes. It is not the name server any more.
    let late = [list(2, [ready("s-1", one.address)]), list(9, [ready("s-3", three.address)])];
    for question in &held {
        for late in &late {
            old.send(question.from, &late.answer(&question.datagram));
        }
    }
    new.is_heard();
    stands_at(&mut caller, NEXT, &two);
    while old.asked.try_recv().is_ok() {}
    new.is_heard();
    assert!(old.asked.try_recv().is_err(), "the old one is asked no more");
    one.had_no_start("it drains");
    three.had_no_link("only the old name server tells of it");
}

#[test]
fn an_answer_to_a_question_from_before_sighup_that_is_read_with_it_does_not_outlive_the_new_list() {
    let (one, two) = (Switch::new(), Switch::new());
    let old = Names::telling(list(3, [ready("s-1", one.address)]));
    let config = settings(&old, &[("s-1", one.address)]);
    let gateway = Gateway::start("list-sighup-crossed", &config);
    old.is_heard();
    old.answers(|_| Vec::new());
    let new = Names::telling(list(5, [draining("s-1", one.address), ready("s-2", two.address)]));
    // The signal and the answers lie there together when the gateway runs again.
    let held = old.stops(&gateway, 4);
    reload(&gateway, &config, &new);
    for (question, serial) in held[held.len() - 3..].iter().zip([2, 4, 3]) {
        old.send(question.from, &list(serial, [ready("s-1", one.address)]).answer(&question.datagram));
    }
    gateway.send_signal(Signal::CONT);
    gateway.wait_for_log("new configuration");
    new.questions(1);
    new.is_heard();
    let mut caller = gateway.connect_caller();
    for tag in [TAG, NEXT] {
        stands_at(&mut caller, tag, &two);
    }
    new.is_heard();
    one.had_no_start("it drains");
}

#[test]
fn sighup_upon_sighup_ends_at_the_last_name_server_and_an_older_list_in_the_file_changes_nothing() {
    let (one, two) = (Switch::new(), Switch::new());
    let first = Names::telling(list(7, [ready("s-1", one.address)]));
    // The file's own list is of the start: older than what has been heard, and with another switch.
    let config = settings(&first, &[("s-0", free_address())]);
    let gateway = Gateway::start("list-sighups", &config);
    first.is_heard();
    let mut caller = gateway.connect_caller();
    stands_at(&mut caller, TAG, &one);
    let (second, third) = (Names::silent(), Names::silent());
    third.tells(list(8, [ready("s-2", two.address)]));
    for names in [&second, &first, &second, &third] {
        reload(&gateway, &config, names);
        gateway.wait_for_log("new configuration");
    }
    third.questions(1);
    third.is_heard();
    stands_at(&mut caller, NEXT, &two);
    for names in [&first, &second] {
        while names.asked.try_recv().is_ok() {}
    }
    third.is_heard();
    for names in [&first, &second] {
        assert!(names.asked.try_recv().is_err(), "only the last is asked");
    }
}

#[test]
fn a_file_with_a_newer_list_is_heard_at_once_though_no_name_server_answers() {
    let (one, two) = (Switch::new(), Switch::new());
    let names = Names::telling(list(3, [ready("s-1", one.address)]));
    let config = settings(&names, &[("s-1", one.address)]);
    let gateway = Gateway::start("list-file", &config);
    names.is_heard();
    let silent = Names::silent();
    let mut newer = settings(&silent, &[("s-1", one.address), ("s-2", two.address)]);
    newer["known"]["seq"] = json!(4);
    newer["known"]["results"][0]["fleet"]["instances"][0]["lifecycle"] = json!("Terminating");
    newer["listen"] = config["listen"].clone();
    reload(&gateway, &newer, &silent);
    gateway.wait_for_log("new configuration");
    silent.is_heard();
    std::thread::sleep(GRACE);
    let mut caller = gateway.connect_caller();
    for tag in [TAG, NEXT] {
        stands_at(&mut caller, tag, &two);
    }
    silent.is_heard();
    one.had_no_start("it drains");
    // A line of nonsense to the socket that asks is no reason to stop asking.
    let question = silent.questions(1).remove(0);
    silent.send(question.from, b"\n");
    silent.is_heard();
}
