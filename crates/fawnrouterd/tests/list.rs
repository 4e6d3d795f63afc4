//! Changes of the list of core switches that race with set-ups, with each other and with a new configuration.
//! The tests run the gateway program with a name server and core switches on loopback. The stand-ins force
//! the order of events by holding things back; sleeps only let the grace of a drain pass while something is
//! held back.

mod platform;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, ErrorKind, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use platform::{Caller, Gateway, SwitchRecord, answer, config, free_address, send_line};
use rustix::net::{AddressFamily, SocketType, sockopt};
use rustix::process::Signal;
use serde_json::{Value, json};

/// Timeout that ends a hanging test.
const TIMEOUT: Duration = Duration::from_secs(15);
/// The grace of a drain in these tests.
const GRACE: Duration = Duration::from_millis(250);
/// The gateway sends four queries per second; 1.5 s without a query is too long even on a busy machine.
const MAX_QUERY_INTERVAL: Duration = Duration::from_millis(1500);
/// Number of descriptors of which the gateway's share for core switches, a quarter, is one for each of
/// sixteen.
const FEW_DESCRIPTORS: usize = 64;

// Name server with scripted answers.

fn ready(id: &str, address: SocketAddr) -> SwitchRecord {
    SwitchRecord { id: id.to_owned(), address, draining: false, started: 0 }
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
    fn answer(&self, query: &[u8]) -> Vec<u8> {
        answer(query, 0, self.serial, &self.rows)
    }
}

/// A query with its sender.
struct Query {
    datagram: Vec<u8>,
    from: SocketAddr,
    at: Instant,
}

/// Computes the datagrams that answer a query.
type Responder = Box<dyn Fn(&[u8]) -> Vec<Vec<u8>> + Send>;

struct ScriptedNameServer {
    address: SocketAddr,
    socket: UdpSocket,
    responder: Arc<Mutex<Responder>>,
    queries: Receiver<Query>,
}

impl ScriptedNameServer {
    /// A name server that does not answer.
    fn silent() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        let responder: Arc<Mutex<Responder>> = Arc::new(Mutex::new(Box::new(|_| Vec::new())));
        let (send, queries) = channel();
        let (receiver, answers) = (socket.try_clone().unwrap(), responder.clone());
        std::thread::spawn(move || {
            let mut buffer = [0; 1500];
            while let Ok((n, from)) = receiver.recv_from(&mut buffer) {
                let query = Query { datagram: buffer[..n].to_vec(), from, at: Instant::now() };
                for answer in answers.lock().unwrap()(&query.datagram) {
                    let _ = receiver.send_to(&answer, from);
                }
                if send.send(query).is_err() {
                    return;
                }
            }
        });
        Self { address, socket, responder, queries }
    }

    fn publishing(list: List) -> Self {
        let name_server = Self::silent();
        name_server.publish(list);
        name_server
    }

    /// Answers each further query with these datagrams.
    fn set_responder(&self, answers: impl Fn(&[u8]) -> Vec<Vec<u8>> + Send + 'static) {
        *self.responder.lock().unwrap() = Box::new(answers);
    }

    fn publish(&self, list: List) {
        self.set_responder(move |query| vec![list.answer(query)]);
    }

    /// Waits for this many queries, sent from now on.
    fn next_queries(&self, times: usize) -> Vec<Query> {
        while self.queries.try_recv().is_ok() {}
        (0..times).map(|_| self.queries.recv_timeout(TIMEOUT).expect("the gateway sends queries")).collect()
    }

    /// Waits until the gateway has read everything sent to it before this call: it reads datagrams before it
    /// sends the next query, and one more query may have been in transit.
    fn wait_until_processed(&self) {
        self.next_queries(3);
    }

    /// Pauses the gateway after some more queries. Returns these and the ones sent meanwhile, of which the
    /// last four may still be answered.
    fn pause_gateway(&self, gateway: &Gateway, after: usize) -> Vec<Query> {
        let mut queries = self.next_queries(after);
        gateway.signal(Signal::STOP);
        while let Ok(query) = self.queries.recv_timeout(Duration::from_millis(300)) {
            queries.push(query);
        }
        queries
    }

    fn send(&self, to: SocketAddr, datagram: &[u8]) {
        self.socket.send_to(datagram, to).unwrap();
    }
}

// Core switches.

/// A line received by a core switch, with the number of the connection.
struct Received {
    link: usize,
    stream: TcpStream,
    line: Value,
}

struct Switch {
    address: SocketAddr,
    links: Receiver<usize>,
    lines: Receiver<Received>,
}

impl Switch {
    fn new() -> Self {
        Self::behind(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// A core switch that accepts the connections to this listener.
    fn behind(listener: TcpListener) -> Self {
        let address = listener.local_addr().unwrap();
        let (report_link, links) = channel();
        let (send, lines) = channel();
        std::thread::spawn(move || {
            for (link, stream) in listener.incoming().flatten().enumerate() {
                let send = send.clone();
                let _ = report_link.send(link);
                std::thread::spawn(move || {
                    let reader = BufReader::new(stream.try_clone().unwrap());
                    for line in reader.lines().map_while(Result::ok) {
                        let line = serde_json::from_str(&line).expect("the gateway writes JSON");
                        if send.send(Received { link, stream: stream.try_clone().unwrap(), line }).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, links, lines }
    }

    /// The next set-up within this time.
    fn next_start_within(&self, time: Duration) -> Option<Received> {
        let end = Instant::now() + time;
        loop {
            match self.lines.recv_timeout(end.saturating_duration_since(Instant::now())) {
                Ok(received) if received.line["verb"] == "START" => return Some(received),
                Ok(_) => {}
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return None,
            }
        }
    }

    fn next_start(&self) -> Received {
        self.next_start_within(TIMEOUT).expect("a set-up")
    }

    /// Asserts that no further set-up has arrived.
    fn assert_no_start(&self, why: &str) {
        if let Some(received) = self.next_start_within(Duration::ZERO) {
            panic!("{why}: {} came", received.line);
        }
    }

    /// Asserts that no further connection was opened.
    fn assert_no_connection(&self, why: &str) {
        assert!(self.links.try_recv().is_err(), "{why}: a connection was opened");
    }
}

impl Received {
    fn accept_call(&self) {
        let tag = &self.line["tag"];
        send_line(
            &self.stream,
            &json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": format!("answer\r\n{tag}")}),
        );
    }
}

/// Sets up a call on this connection and asserts that it is established at this switch.
fn establish_call_at(caller: &mut Caller, tag: &str, switch: &Switch) {
    caller.start_call(tag, 8000);
    let start = switch.next_start();
    assert_eq!(start.line["tag"], tag);
    start.accept_call();
    expect_started(caller, tag);
}

fn expect_started(caller: &mut Caller, tag: &str) {
    let reply = caller.receive().expect("an answer");
    assert_eq!((&reply["verb"], &reply["tag"]), (&json!("STARTED"), &json!(tag)), "{reply}");
}

/// Waits until the gateway has processed everything that this caller has sent.
fn wait_until_processed(caller: &mut Caller) {
    caller.send(&json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0}));
    assert_eq!(caller.receive().unwrap()["verb"], "ECHOED");
}

fn release(tag: &str) -> Value {
    json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": 16})
}

/// A listener whose queue is full: further connections wait until one is accepted.
struct FullListener {
    listener: TcpListener,
    address: SocketAddr,
    fillers: Vec<TcpStream>,
}

impl FullListener {
    fn new() -> Self {
        let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        rustix::net::bind(&socket, &SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
        rustix::net::listen(&socket, 0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        // The kernel decides how many connections fit; the first that times out shows that the queue is full.
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            fillers.push(filler);
            assert!(fillers.len() < 16, "the queue is bounded");
        }
        Self { listener, address, fillers }
    }

    /// Accepts the connections that filled the queue, and then all others.
    fn drain_queue(self) -> Switch {
        for _ in &self.fillers {
            self.listener.accept().unwrap();
        }
        Switch::behind(self.listener)
    }
}

// Gateways.

/// A configuration with a short grace and a connect timeout that allows for held back connections.
fn settings(name_server: &ScriptedNameServer, switches: &[(&str, SocketAddr)]) -> Value {
    let mut config = config(free_address(), name_server.address, switches);
    config["settings"]["contract"]["drainGraceNs"] = json!(GRACE.as_nanos() as u64);
    config["settings"]["policyLimits"]["dialTimeoutNs"] = json!(6_000_000_000u64);
    config
}

const TAG: &str = "9b1f03aa5c7e2d41";
const SECOND_TAG: &str = "9b1f03aa5c7e2d42";

// Set-ups in progress.

#[test]
fn set_up_waiting_for_a_connection_does_not_go_to_a_switch_that_starts_draining() {
    let (full_listener, other) = (FullListener::new(), Switch::new());
    let at = full_listener.address;
    let name_server = ScriptedNameServer::publishing(list(1, [ready("s-1", at)]));
    let gateway = Gateway::start("list-dial-drain", &settings(&name_server, &[("s-1", at)]));
    let mut caller = gateway.connect_caller();
    caller.start_call(TAG, 8000);
    wait_until_processed(&mut caller);
    name_server.publish(list(2, [draining("s-1", at), ready("s-2", other.address)]));
    let start = other.next_start();
    std::thread::sleep(GRACE);
    // The kernel retries a waiting connection after one second, and after two more.
    let old = full_listener.drain_queue();
    start.accept_call();
    expect_started(&mut caller, TAG);
    establish_call_at(&mut caller, SECOND_TAG, &other);
    if let Some(start) = old.next_start_within(Duration::from_millis(2500)) {
        panic!("it drains, and {} was sent there", start.line);
    }
    other.assert_no_start("each was sent once");
}

#[test]
fn new_switch_at_a_reused_address_gets_the_waiting_set_up_once() {
    let full_listener = FullListener::new();
    let at = full_listener.address;
    let name_server = ScriptedNameServer::publishing(list(1, [ready("s-1", at)]));
    let gateway = Gateway::start("list-dial-gone", &settings(&name_server, &[("s-1", at)]));
    let mut caller = gateway.connect_caller();
    caller.start_call(TAG, 8000);
    wait_until_processed(&mut caller);
    name_server.publish(list(2, [ready("s-2", at)]));
    name_server.wait_until_processed();
    let new = full_listener.drain_queue();
    let start = new.next_start();
    assert_eq!(start.line["tag"], TAG);
    start.accept_call();
    expect_started(&mut caller, TAG);
    establish_call_at(&mut caller, SECOND_TAG, &new);
    name_server.wait_until_processed();
    new.assert_no_start("each was sent once");
}

/// Bytes in the kernel that were written to a connection to this address and not yet read there, in the
/// queues of both ends (the columns of proc_net_tcp(5)).
fn bytes_in_kernel(address: SocketAddr) -> usize {
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

/// Waits until the number of these bytes no longer changes. Received bytes count at both ends until they are
/// acknowledged, some 40 ms later.
fn wait_until_settled(address: SocketAddr) -> usize {
    let end = Instant::now() + TIMEOUT;
    let (mut before, mut same) = (bytes_in_kernel(address), 0);
    while same < 4 {
        std::thread::sleep(Duration::from_millis(40));
        let now = bytes_in_kernel(address);
        same = if now == before { same + 1 } else { 0 };
        assert!(Instant::now() < end, "the connection never settles");
        before = now;
    }
    before
}

/// Queues set-ups in the gateway for a switch that does not read, then changes the list so that the switch is
/// draining or gone (`after` is its new entry), and asserts that the set-ups go elsewhere.
fn assert_unwritten_set_ups_move_on(test: &str, after: fn(SocketAddr) -> Option<SwitchRecord>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    sockopt::set_socket_recv_buffer_size(&listener, 4096).unwrap();
    let (at, other) = (listener.local_addr().unwrap(), Switch::new());
    // Draining switches, which get no set-ups, reduce the gateway's share to one connection per switch.
    let others: Vec<String> = (0..15).map(|n| format!("d-{n}")).collect();
    let unused_address = free_address();
    let mut known = vec![("s-1", at)];
    known.extend(others.iter().map(|id| (id.as_str(), unused_address)));
    let rows = |own: Vec<SwitchRecord>| -> Vec<SwitchRecord> {
        own.into_iter().chain(others.iter().map(|id| draining(id, unused_address))).collect()
    };
    let name_server = ScriptedNameServer::publishing(list(1, rows(vec![ready("s-1", at)])));
    let mut config = settings(&name_server, &known);
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
    // Once data arrives, the connection is established on the gateway's side too.
    caller.send(&start("f111000000000000", 10));
    let mut byte = [0];
    while byte != *b"\n" {
        link.read_exact(&mut byte).unwrap();
    }
    caller.send(&release("f111000000000000"));
    assert_eq!(caller.receive().unwrap()["verb"], "FINISHED");
    // These set-ups are given up once written, so that only their bytes remain.
    let big = 15_000;
    let before = wait_until_settled(at);
    let mut pair = 0;
    for n in 1.. {
        let tag = format!("f1110000{n:08x}");
        caller.send(&start(&tag, big));
        wait_until_processed(&mut caller);
        caller.send(&release(&tag));
        assert_eq!(caller.receive().unwrap(), json!({"verb": "FINISHED", "tag": tag, "opts": {}}));
        if n == 1 {
            pair = wait_until_settled(at) - before;
            assert!(pair > big, "the connection is used");
        }
        let full = |held| held + big / 2 < before + n * pair;
        if full(bytes_in_kernel(at)) && full(wait_until_settled(at)) {
            break;
        }
        assert!(n < 1000, "the connection never fills up");
    }
    let held = wait_until_settled(at);
    let tags: BTreeSet<String> = (0..3).map(|n| format!("0000000000000c0{n}")).collect();
    for tag in &tags {
        caller.send(&start(tag, 1000));
    }
    wait_until_processed(&mut caller);
    assert_eq!(wait_until_settled(at), held, "none of these set-ups is written");
    other.assert_no_start("the other is not listed yet");
    let own = after(at).into_iter().chain([ready("s-2", other.address)]).collect();
    name_server.publish(list(2, rows(own)));
    name_server.wait_until_processed();
    std::thread::sleep(GRACE);
    // Connections that the gateway has closed by now no longer count.
    assert!(wait_until_settled(at) <= held, "nothing more has been written");
    // Now the switch reads: it gets what was written, and the rest of the line in progress.
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
    assert!(late.is_empty(), "written after the grace: {late:?}");
    // Each of the calls has moved to the other switch, or has ended.
    let mut elsewhere = BTreeSet::new();
    let end = Instant::now() + Duration::from_secs(3);
    while let Some(start) = other.next_start_within(end.saturating_duration_since(Instant::now())) {
        let tag = start.line["tag"].as_str().unwrap().to_owned();
        start.accept_call();
        assert!(elsewhere.insert(tag), "each was sent once");
        if elsewhere == tags {
            break;
        }
    }
    let answered = tags.iter().map(|_| caller.receive().unwrap()["tag"].as_str().unwrap().to_owned());
    assert_eq!(answered.collect::<BTreeSet<_>>(), tags, "each is answered");
}

#[test]
fn unwritten_set_ups_are_not_sent_to_a_draining_switch_after_the_grace() {
    assert_unwritten_set_ups_move_on("list-outbox-drain", |at| Some(draining("s-1", at)));
}

#[test]
fn unwritten_set_ups_are_not_sent_to_a_removed_switch_after_the_grace() {
    assert_unwritten_set_ups_move_on("list-outbox-gone", |_| None);
}

#[test]
fn set_up_refused_by_a_draining_switch_after_the_grace_is_not_sent_to_it_again() {
    let (old, new) = (Switch::new(), Switch::new());
    let name_server = ScriptedNameServer::publishing(list(1, [ready("s-1", old.address)]));
    let gateway = Gateway::start("list-turned", &settings(&name_server, &[("s-1", old.address)]));
    let mut caller = gateway.connect_caller();
    caller.start_call(TAG, 8000);
    let start = old.next_start();
    name_server.publish(list(2, [draining("s-1", old.address), ready("s-2", new.address)]));
    name_server.wait_until_processed();
    std::thread::sleep(GRACE);
    send_line(
        &start.stream,
        &json!({"verb": "FINISH", "tag": TAG, "opts": {"note": "group_full"}, "rc": 34}),
    );
    let again = new.next_start();
    assert_eq!(again.line["tag"], TAG);
    again.accept_call();
    expect_started(&mut caller, TAG);
    establish_call_at(&mut caller, SECOND_TAG, &new);
    name_server.wait_until_processed();
    old.assert_no_start("it drains");
}

#[test]
fn draining_and_removed_switches_get_no_set_ups_after_the_grace_even_without_alternatives() {
    let (old, gone) = (Switch::new(), Switch::new());
    let name_server =
        ScriptedNameServer::publishing(list(1, [ready("s-1", old.address), ready("s-2", gone.address)]));
    let known = [("s-1", old.address), ("s-2", gone.address)];
    let gateway = Gateway::start("list-only-drain", &settings(&name_server, &known));
    name_server.wait_until_processed();
    name_server.publish(list(2, [draining("s-1", old.address)]));
    name_server.wait_until_processed();
    std::thread::sleep(GRACE);
    let mut caller = gateway.connect_caller();
    for n in 0..4 {
        caller.start_call(&format!("000000000000000{n}"), 700);
    }
    for _ in 0..4 {
        let reply = caller.receive().unwrap();
        assert_eq!(reply["verb"], "FINISH", "{reply}");
    }
    name_server.wait_until_processed();
    old.assert_no_start("it drains");
    gone.assert_no_start("it is gone");
    // The state of these switches does not prevent the use of a new one.
    let new = Switch::new();
    name_server.publish(list(3, [ready("s-3", new.address)]));
    name_server.wait_until_processed();
    establish_call_at(&mut caller, TAG, &new);
}

// Switches added and removed.

#[test]
fn new_switch_at_a_reused_address_has_new_connections_and_no_calls_of_the_old_one() {
    let switch = Switch::new();
    let at = switch.address;
    let name_server = ScriptedNameServer::publishing(list(1, [ready("s-1", at)]));
    let gateway = Gateway::start("list-same-address", &settings(&name_server, &[("s-1", at)]));
    let (mut caller, other) = (gateway.connect_caller(), gateway.connect_caller());
    establish_call_at(&mut caller, TAG, &switch);
    other.start_call(SECOND_TAG, 8000);
    let held = switch.next_start();
    name_server.publish(list(2, [SwitchRecord { started: 1_700_000_000_000, ..ready("s-2", at) }]));
    let reply = caller.receive().unwrap();
    assert_eq!(
        (&reply["verb"], &reply["tag"]),
        (&json!("FINISH"), &json!(TAG)),
        "the call ended with the old switch"
    );
    let last = switch.links.try_iter().last().unwrap_or(held.link);
    // The old switch's connections are still open here, as they would be until the kernel detects that it has
    // gone.
    let third = "9b1f03aa5c7e2d43";
    caller.start_call(third, 8000);
    let mut links = Vec::new();
    while links.last().is_none_or(|(tag, _)| tag != third) {
        let start = switch.next_start();
        let tag = start.line["tag"].as_str().unwrap().to_owned();
        // An answer on an old connection must not count for the new switch.
        send_line(
            &held.stream,
            &json!({"verb": "STARTED", "tag": third, "opts": {}, "blob": "not the new one's"}),
        );
        if tag == third {
            start.accept_call();
        }
        links.push((tag, start.link));
    }
    assert!(links.iter().all(|(_, link)| *link > held.link), "{links:?} after {last}");
    let reply = caller.receive().unwrap();
    assert_eq!((&reply["tag"], &reply["blob"]), (&json!(third), &json!(format!("answer\r\n\"{third}\""))));
    let again = links.iter().filter(|(tag, _)| tag == SECOND_TAG).count();
    assert!(again <= 1, "an open set-up of the old switch is sent to the new one at most once");
}

/// Makes a core switch answer all health checks, on existing and new connections.
fn answer_health_checks(switch: Switch) {
    std::thread::spawn(move || {
        for received in switch.lines.iter().filter(|received| received.line["verb"] == "ECHO") {
            let tag = &received.line["tag"];
            send_line(&received.stream, &json!({"verb": "ECHOED", "tag": tag, "opts": {}, "rc": 1}));
        }
    });
}

/// A gateway with an established call at `s-1`, which is removed from the list and listed again before a
/// removed switch is given up; if `restarted`, with the present as its start time. The switch answers health
/// checks all the time.
fn remove_and_relist(test: &str, restarted: bool) -> (Gateway, ScriptedNameServer, Caller) {
    let (one, two) = (Switch::new(), Switch::new());
    let (first, second) = (one.address, two.address);
    let name_server = ScriptedNameServer::publishing(list(1, [ready("s-1", first)]));
    let gateway = Gateway::start(test, &settings(&name_server, &[("s-1", first)]));
    let mut caller = gateway.connect_caller();
    establish_call_at(&mut caller, TAG, &one);
    answer_health_checks(one);
    name_server.publish(list(2, [ready("s-2", second)]));
    name_server.wait_until_processed();
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let started = if restarted { now.as_millis() as u64 } else { 0 };
    name_server.publish(list(3, [SwitchRecord { started, ..ready("s-1", first) }, ready("s-2", second)]));
    name_server.wait_until_processed();
    (gateway, name_server, caller)
}

#[test]
fn calls_end_when_their_switch_is_relisted_with_a_new_start_time() {
    let (_gateway, _names, mut caller) = remove_and_relist("list-back-anew", true);
    let reply = caller.receive().expect("the call was established before the restart");
    assert_eq!((&reply["verb"], &reply["tag"]), (&json!("FINISH"), &json!(TAG)), "{reply}");
}

#[test]
fn calls_survive_when_their_switch_is_relisted_with_the_same_start_time() {
    let (_gateway, _names, mut caller) = remove_and_relist("list-back", false);
    wait_until_processed(&mut caller);
    caller.send(&release(TAG));
    assert_eq!(
        caller.receive().unwrap()["verb"],
        "FINISHED",
        "the call was established until its caller released it"
    );
}

#[test]
fn switch_first_listed_as_draining_gets_no_calls_and_no_connections() {
    let (one, brief) = (Switch::new(), Switch::new());
    let name_server = ScriptedNameServer::publishing(list(1, [ready("s-1", one.address)]));
    let gateway = Gateway::start("list-brief", &settings(&name_server, &[("s-1", one.address)]));
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let started = now.as_millis() as u64;
    let both = [ready("s-1", one.address), SwitchRecord { started, ..draining("s-2", brief.address) }];
    name_server.publish(list(2, both));
    name_server.wait_until_processed();
    let mut caller = gateway.connect_caller();
    for n in 0..8 {
        establish_call_at(&mut caller, &format!("000000000000000{n}"), &one);
    }
    name_server.wait_until_processed();
    brief.assert_no_connection("it has only ever drained");
    // Not even if no other switch is left.
    name_server.publish(list(3, [SwitchRecord { started, ..draining("s-2", brief.address) }]));
    name_server.wait_until_processed();
    std::thread::sleep(GRACE);
    let mut last = gateway.connect_caller();
    last.start_call(TAG, 700);
    assert_eq!(last.receive().unwrap()["verb"], "FINISH");
    name_server.wait_until_processed();
    brief.assert_no_connection("it has only ever drained");
}

// Answers that are late, invalid or missing.

#[test]
fn old_empty_truncated_failed_or_mismatched_answers_change_nothing() {
    let (one, two) = (Switch::new(), Switch::new());
    let rows = [ready("s-1", one.address)];
    let name_server = ScriptedNameServer::publishing(list(5, rows.clone()));
    let gateway = Gateway::start("list-bad", &settings(&name_server, &[("s-1", one.address)]));
    name_server.wait_until_processed();
    let changed = [draining("s-1", one.address), ready("s-2", two.address)];
    let good = list(6, changed.clone());
    let cut = |list: &List, query: &[u8], at: usize| {
        let mut answer = list.answer(query);
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
        name_server.set_responder(move |query| match kind {
            "older" => vec![list(4, changed.clone()).answer(query)],
            "same" => vec![list(5, changed.clone()).answer(query)],
            "oldest" => vec![list(1, changed.clone()).answer(query)],
            "empty" => vec![list(7, []).answer(query)],
            "cut" => (0..8).map(|at| cut(&good, query, at)).collect(),
            "failed" => {
                let mut answer = good.answer(query);
                answer[3] = 2;
                vec![answer]
            }
            "other id" => {
                let mut answer = good.answer(query);
                answer[0] ^= 0x80;
                vec![answer]
            }
            "no serial" => {
                let mut answer = good.answer(query);
                // The SOA record becomes one of an unknown type.
                let soa = good.answer(query).windows(7).position(|w| w == b"cluster").unwrap();
                let at = answer[soa..].windows(4).position(|w| w == [0, 6, 0, 1]).unwrap() + soa;
                answer[at + 1] = 99;
                vec![answer]
            }
            "no address" => {
                let mut answer = good.answer(query);
                let last = answer.windows(4).rposition(|w| w == [0, 1, 0, 1]).unwrap();
                answer[last + 1] = 99;
                vec![answer]
            }
            _ => vec![vec![0xff; 400], Vec::new(), query.to_vec()],
        });
        name_server.wait_until_processed();
        tag += 1;
        establish_call_at(&mut caller, &format!("{tag:016x}"), &one);
        two.assert_no_connection(kind);
    }
    name_server.publish(good);
    name_server.wait_until_processed();
    establish_call_at(&mut caller, TAG, &two);
    name_server.wait_until_processed();
    one.assert_no_start("it drains");
}

#[test]
fn valid_answer_after_invalid_ones_to_the_same_query_is_accepted() {
    let (one, two) = (Switch::new(), Switch::new());
    let name_server = ScriptedNameServer::publishing(list(1, [ready("s-1", one.address)]));
    let gateway = Gateway::start("list-behind", &settings(&name_server, &[("s-1", one.address)]));
    name_server.wait_until_processed();
    let good = list(2, [ready("s-2", two.address)]);
    name_server.set_responder(move |query| {
        let whole = good.answer(query);
        let mut failed = whole.clone();
        failed[3] = 2;
        vec![whole[..whole.len() / 2].to_vec(), failed, vec![0; 3], whole]
    });
    name_server.wait_until_processed();
    establish_call_at(&mut gateway.connect_caller(), TAG, &two);
}

#[test]
fn silent_name_server_is_queried_repeatedly_and_the_newest_of_its_late_answers_applies() {
    let (one, two, three) = (Switch::new(), Switch::new(), Switch::new());
    let name_server = ScriptedNameServer::publishing(list(1, [ready("s-1", one.address)]));
    let gateway = Gateway::start("list-silence", &settings(&name_server, &[("s-1", one.address)]));
    name_server.wait_until_processed();
    name_server.set_responder(|_| Vec::new());
    let mut caller = gateway.connect_caller();
    establish_call_at(&mut caller, TAG, &one);
    let held = name_server.pause_gateway(&gateway, 13);
    for pair in held.windows(2) {
        let pause = pair[1].at - pair[0].at;
        assert!(pause < MAX_QUERY_INTERVAL, "{pause:?} without a question");
    }
    // The newest first and then the older ones, each twice; the gateway reads all of them at once.
    for (age, query) in held.iter().rev().enumerate() {
        let told = match age {
            0 => list(9, [draining("s-1", one.address), ready("s-3", three.address)]),
            1 => list(8, [ready("s-2", two.address)]),
            _ => list(2 + u32::from(age % 2 == 0), [ready("s-1", one.address), ready("s-2", two.address)]),
        };
        let answer = told.answer(&query.datagram);
        name_server.send(query.from, &answer);
        name_server.send(query.from, &answer);
    }
    gateway.signal(Signal::CONT);
    name_server.wait_until_processed();
    for n in 0..6 {
        establish_call_at(&mut caller, &format!("000000000000000{n}"), &three);
    }
    name_server.wait_until_processed();
    one.assert_no_start("it drains");
    two.assert_no_connection("it was not listed once the newest list was known");
}

#[test]
fn answers_out_of_order_apply_newer_lists_and_never_older_ones() {
    let switches: Vec<Switch> = (0..4).map(|_| Switch::new()).collect();
    let only = |n: usize| list(10 + n as u32, [ready(&format!("s-{n}"), switches[n].address)]);
    let name_server = ScriptedNameServer::publishing(only(0));
    let gateway = Gateway::start("list-order", &settings(&name_server, &[("s-0", switches[0].address)]));
    name_server.wait_until_processed();
    name_server.set_responder(|_| Vec::new());
    let mut caller = gateway.connect_caller();
    for (round, order) in [[1, 0, 1], [2, 1, 0], [1, 3, 2]].into_iter().enumerate() {
        let questions = name_server.pause_gateway(&gateway, 4);
        for (query, n) in questions[questions.len() - 3..].iter().zip(order) {
            name_server.send(query.from, &only(n).answer(&query.datagram));
        }
        gateway.signal(Signal::CONT);
        name_server.wait_until_processed();
        let tag = format!("{:016x}", round + 1);
        establish_call_at(&mut caller, &tag, &switches[round + 1]);
        caller.send(&release(&tag));
        assert_eq!(caller.receive().unwrap()["verb"], "FINISHED");
    }
}

// New configurations.

/// Writes a configuration with this name server and makes the gateway reload it.
fn reload(gateway: &Gateway, config: &Value, name_server: &ScriptedNameServer) {
    let mut config = config.clone();
    config["nameserver"] = json!(name_server.address.to_string());
    std::fs::write(&gateway.file, config.to_string()).unwrap();
    gateway.signal(Signal::HUP);
}

#[test]
fn after_sighup_only_the_new_name_server_is_used_and_late_answers_of_the_old_one_are_ignored() {
    let (one, two, three) = (Switch::new(), Switch::new(), Switch::new());
    let old = ScriptedNameServer::publishing(list(3, [ready("s-1", one.address)]));
    let config = settings(&old, &[("s-1", one.address)]);
    let gateway = Gateway::start("list-sighup", &config);
    old.wait_until_processed();
    old.set_responder(|_| Vec::new());
    let held = old.next_queries(4);
    let new =
        ScriptedNameServer::publishing(list(4, [draining("s-1", one.address), ready("s-2", two.address)]));
    reload(&gateway, &config, &new);
    let hup = Instant::now();
    gateway.wait_for_log("new configuration");
    let first = new.next_queries(1);
    assert!(first[0].at - hup < Duration::from_secs(3), "queried in time");
    new.wait_until_processed();
    let mut caller = gateway.connect_caller();
    establish_call_at(&mut caller, TAG, &two);
    // The old name server answers again, with an older and with a newer list. It must be ignored.
    let late = [list(2, [ready("s-1", one.address)]), list(9, [ready("s-3", three.address)])];
    for query in &held {
        for late in &late {
            old.send(query.from, &late.answer(&query.datagram));
        }
    }
    new.wait_until_processed();
    establish_call_at(&mut caller, SECOND_TAG, &two);
    while old.queries.try_recv().is_ok() {}
    new.wait_until_processed();
    assert!(old.queries.try_recv().is_err(), "the old name server gets no more queries");
    one.assert_no_start("it drains");
    three.assert_no_connection("only the old name server lists it");
}

#[test]
fn answer_to_a_query_from_before_sighup_is_superseded_by_the_new_list() {
    let (one, two) = (Switch::new(), Switch::new());
    let old = ScriptedNameServer::publishing(list(3, [ready("s-1", one.address)]));
    let config = settings(&old, &[("s-1", one.address)]);
    let gateway = Gateway::start("list-sighup-crossed", &config);
    old.wait_until_processed();
    old.set_responder(|_| Vec::new());
    let new =
        ScriptedNameServer::publishing(list(5, [draining("s-1", one.address), ready("s-2", two.address)]));
    // The signal and the answers are pending together when the gateway resumes.
    let held = old.pause_gateway(&gateway, 4);
    reload(&gateway, &config, &new);
    for (query, serial) in held[held.len() - 3..].iter().zip([2, 4, 3]) {
        old.send(query.from, &list(serial, [ready("s-1", one.address)]).answer(&query.datagram));
    }
    gateway.signal(Signal::CONT);
    gateway.wait_for_log("new configuration");
    new.next_queries(1);
    new.wait_until_processed();
    let mut caller = gateway.connect_caller();
    for tag in [TAG, SECOND_TAG] {
        establish_call_at(&mut caller, tag, &two);
    }
    new.wait_until_processed();
    one.assert_no_start("it drains");
}

#[test]
fn repeated_sighup_ends_at_the_last_name_server_and_ignores_older_lists_in_the_file() {
    let (one, two) = (Switch::new(), Switch::new());
    let first = ScriptedNameServer::publishing(list(7, [ready("s-1", one.address)]));
    // The list in the file is older than the one received, and names another switch.
    let config = settings(&first, &[("s-0", free_address())]);
    let gateway = Gateway::start("list-sighups", &config);
    first.wait_until_processed();
    let mut caller = gateway.connect_caller();
    establish_call_at(&mut caller, TAG, &one);
    let (second, third) = (ScriptedNameServer::silent(), ScriptedNameServer::silent());
    third.publish(list(8, [ready("s-2", two.address)]));
    for name_server in [&second, &first, &second, &third] {
        reload(&gateway, &config, name_server);
        gateway.wait_for_log("new configuration");
    }
    third.next_queries(1);
    third.wait_until_processed();
    establish_call_at(&mut caller, SECOND_TAG, &two);
    for name_server in [&first, &second] {
        while name_server.queries.try_recv().is_ok() {}
    }
    third.wait_until_processed();
    for name_server in [&first, &second] {
        assert!(name_server.queries.try_recv().is_err(), "only the last one is queried");
    }
}

#[test]
fn newer_list_in_the_file_applies_at_once_without_a_name_server() {
    let (one, two) = (Switch::new(), Switch::new());
    let name_server = ScriptedNameServer::publishing(list(3, [ready("s-1", one.address)]));
    let config = settings(&name_server, &[("s-1", one.address)]);
    let gateway = Gateway::start("list-file", &config);
    name_server.wait_until_processed();
    let silent = ScriptedNameServer::silent();
    let mut newer = settings(&silent, &[("s-1", one.address), ("s-2", two.address)]);
    newer["known"]["seq"] = json!(4);
    newer["known"]["results"][0]["fleet"]["instances"][0]["lifecycle"] = json!("Terminating");
    newer["listen"] = config["listen"].clone();
    reload(&gateway, &newer, &silent);
    gateway.wait_for_log("new configuration");
    silent.wait_until_processed();
    std::thread::sleep(GRACE);
    let mut caller = gateway.connect_caller();
    for tag in [TAG, SECOND_TAG] {
        establish_call_at(&mut caller, tag, &two);
    }
    silent.wait_until_processed();
    one.assert_no_start("it drains");
    // An invalid datagram to the querying socket must not stop the queries.
    let query = silent.next_queries(1).remove(0);
    silent.send(query.from, b"\n");
    silent.wait_until_processed();
}
