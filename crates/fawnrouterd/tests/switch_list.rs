//! Changes of the list of core switches that cross set-ups under way, each other or a new configuration. The
//! program runs against a name server and core switches on loopback, which force the order of events by
//! holding back their messages. Tests sleep only to let the grace of a drain pass while something is held
//! back.

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
/// The gateway sends four queries a second. An interval of 1.5 s means that it has stopped, even on a busy
/// machine.
const MAX_QUERY_INTERVAL: Duration = Duration::from_millis(1500);
/// The gateway uses a quarter of its descriptors for core switches: one connection to each of sixteen.
const FEW_DESCRIPTORS: usize = 64;

// ---- A name server that can also respond late, wrongly or not at all ----

fn ready_record(id: &str, address: SocketAddr) -> SwitchRecord {
    SwitchRecord { id: id.to_owned(), address, draining: false, started_ms: 0 }
}

fn draining_record(id: &str, address: SocketAddr) -> SwitchRecord {
    SwitchRecord { draining: true, ..ready_record(id, address) }
}

/// A list of core switches and its SOA serial.
#[derive(Clone)]
struct SwitchList {
    serial: u32,
    records: Vec<SwitchRecord>,
}

fn switch_list(serial: u32, records: impl Into<Vec<SwitchRecord>>) -> SwitchList {
    SwitchList { serial, records: records.into() }
}

impl SwitchList {
    fn response_to(&self, query: &[u8]) -> Vec<u8> {
        dns_response(query, 0, self.serial, &self.records)
    }
}

/// A query that the name server received, the address of its sender and the time.
struct Query {
    datagram: Vec<u8>,
    from: SocketAddr,
    at: Instant,
}

/// Computes the datagrams that answer a query.
type Responder = Box<dyn Fn(&[u8]) -> Vec<Vec<u8>> + Send>;

/// A name server whose responses are set by the test and that can send datagrams on its own.
struct ScriptedNameServer {
    address: SocketAddr,
    socket: UdpSocket,
    responder: Arc<Mutex<Responder>>,
    queries: Receiver<Query>,
}

impl ScriptedNameServer {
    /// Starts one that does not respond.
    fn silent() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        let responder: Arc<Mutex<Responder>> = Arc::new(Mutex::new(Box::new(|_| Vec::new())));
        let (sender, queries) = channel();
        let (receiving_socket, current_responder) = (socket.try_clone().unwrap(), responder.clone());
        std::thread::spawn(move || {
            let mut buffer = [0; 1500];
            while let Ok((n, from)) = receiving_socket.recv_from(&mut buffer) {
                let query = Query { datagram: buffer[..n].to_vec(), from, at: Instant::now() };
                for answer in current_responder.lock().unwrap()(&query.datagram) {
                    let _ = receiving_socket.send_to(&answer, from);
                }
                if sender.send(query).is_err() {
                    return;
                }
            }
        });
        Self { address, socket, responder, queries }
    }

    /// Starts one that responds with this list.
    fn serving(list: SwitchList) -> Self {
        let name_server = Self::silent();
        name_server.serve(list);
        name_server
    }

    /// From now on sends these datagrams in response to each query.
    fn respond_with(&self, responder: impl Fn(&[u8]) -> Vec<Vec<u8>> + Send + 'static) {
        *self.responder.lock().unwrap() = Box::new(responder);
    }

    /// From now on responds with this list.
    fn serve(&self, list: SwitchList) {
        self.respond_with(move |query| vec![list.response_to(query)]);
    }

    /// Discards the queries received so far and waits for so many further ones.
    fn next_queries(&self, times: usize) -> Vec<Query> {
        while self.queries.try_recv().is_ok() {}
        (0..times).map(|_| self.queries.recv_timeout(TIMEOUT).expect("the gateway sends a query")).collect()
    }

    /// Waits until the gateway has read all datagrams that were sent to it before this call. It reads
    /// datagrams before it sends the next query, and one more query may have been under way.
    fn wait_until_read(&self) {
        self.next_queries(3);
    }

    /// Stops the gateway (SIGSTOP) after so many more queries. Returns these and all that it still sent.
    fn stop_gateway_after(&self, gateway: &Gateway, after: usize) -> Vec<Query> {
        let mut queries = self.next_queries(after);
        gateway.send_signal(Signal::STOP);
        while let Ok(query) = self.queries.recv_timeout(Duration::from_millis(300)) {
            queries.push(query);
        }
        queries
    }

    fn send(&self, to: SocketAddr, datagram: &[u8]) {
        self.socket.send_to(datagram, to).unwrap();
    }
}

// ---- Core switches ----

/// A message that a core switch received, with the number of the connection it came on.
struct Received {
    connection: usize,
    stream: TcpStream,
    line: Value,
}

/// A core switch that records the connections it accepts and the messages it receives.
struct Switch {
    address: SocketAddr,
    accepted: Receiver<usize>,
    received: Receiver<Received>,
}

impl Switch {
    fn new() -> Self {
        Self::accepting_on(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Starts one that accepts connections from this listener.
    fn accepting_on(listener: TcpListener) -> Self {
        let address = listener.local_addr().unwrap();
        let (connected, accepted) = channel();
        let (sender, received) = channel();
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let sender = sender.clone();
                let _ = connected.send(connection);
                std::thread::spawn(move || {
                    let reader = BufReader::new(stream.try_clone().unwrap());
                    for line in reader.lines().map_while(Result::ok) {
                        let line = serde_json::from_str(&line).expect("the gateway writes JSON");
                        if sender
                            .send(Received { connection, stream: stream.try_clone().unwrap(), line })
                            .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, accepted, received }
    }

    /// Waits up to this time for the next set-up.
    fn set_up_within(&self, time: Duration) -> Option<Received> {
        let end = Instant::now() + time;
        loop {
            match self.received.recv_timeout(end.saturating_duration_since(Instant::now())) {
                Ok(received) if received.line["verb"] == "START" => return Some(received),
                Ok(_) => {}
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return None,
            }
        }
    }

    fn next_set_up(&self) -> Received {
        self.set_up_within(TIMEOUT).expect("a set-up")
    }

    /// Asserts that no set-up has arrived since the last one that was read.
    fn assert_no_set_up(&self, why: &str) {
        if let Some(received) = self.set_up_within(Duration::ZERO) {
            panic!("{why}: {} came", received.line);
        }
    }

    /// Asserts that no connection has been opened since the last one that was read.
    fn assert_no_connection(&self, why: &str) {
        assert!(self.accepted.try_recv().is_err(), "{why}: a connection was opened");
    }
}

impl Received {
    /// Answers a set-up with STARTED.
    fn answer_started(&self) {
        let tag = &self.line["tag"];
        send_line(
            &self.stream,
            &json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": format!("answer\r\n{tag}")}),
        );
    }
}

/// Sets up a call on this connection, which must be established at this switch.
fn establish_call_at(caller: &mut Caller, tag: &str, switch: &Switch) {
    caller.send_set_up(tag, 8000);
    let start = switch.next_set_up();
    assert_eq!(start.line["tag"], tag);
    start.answer_started();
    expect_started(caller, tag);
}

fn expect_started(caller: &mut Caller, tag: &str) {
    let received = caller.receive().expect("an answer");
    assert_eq!((&received["verb"], &received["tag"]), (&json!("STARTED"), &json!(tag)), "{received}");
}

/// Waits until the gateway has handled all that this caller has sent.
fn wait_until_handled(caller: &mut Caller) {
    caller.send(&json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0}));
    assert_eq!(caller.receive().unwrap()["verb"], "ECHOED");
}

fn finish_message(tag: &str) -> Value {
    json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": 16})
}

/// A listener whose backlog is full: further connections wait until it accepts one.
struct FullBacklog {
    listener: TcpListener,
    address: SocketAddr,
    fillers: Vec<TcpStream>,
}

impl FullBacklog {
    fn new() -> Self {
        let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        rustix::net::bind(&socket, &SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
        rustix::net::listen(&socket, 0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        // The kernel decides how many fit: the first connection that times out shows that the backlog is
        // full.
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            fillers.push(filler);
            assert!(fillers.len() < 16, "the queue has an end");
        }
        Self { listener, address, fillers }
    }

    /// Accepts the connections that filled the backlog and then all others.
    fn open(self) -> Switch {
        for _ in &self.fillers {
            self.listener.accept().unwrap();
        }
        Switch::accepting_on(self.listener)
    }
}

// ---- Gateways ----

/// A configuration with a short drain grace and a connect timeout that is long enough for a connection that
/// is held back.
fn config_with_short_grace(name_server: &ScriptedNameServer, switches: &[(&str, SocketAddr)]) -> Value {
    let mut config = node_config(free_address(), name_server.address, switches);
    config["settings"]["contract"]["drainGraceNs"] = json!(GRACE.as_nanos() as u64);
    config["settings"]["policyLimits"]["dialTimeoutNs"] = json!(6_000_000_000u64);
    config
}

const CALL_ID: &str = "9b1f03aa5c7e2d41";
const NEXT_CALL_ID: &str = "9b1f03aa5c7e2d42";

// ---- Set-ups under way ----

#[test]
fn set_up_waiting_for_connection_is_not_sent_to_switch_that_starts_draining() {
    let (full_backlog, other) = (FullBacklog::new(), Switch::new());
    let at = full_backlog.address;
    let name_server = ScriptedNameServer::serving(switch_list(1, [ready_record("s-1", at)]));
    let gateway = Gateway::start("list-dial-drain", &config_with_short_grace(&name_server, &[("s-1", at)]));
    let mut caller = gateway.connect_caller();
    caller.send_set_up(CALL_ID, 8000);
    wait_until_handled(&mut caller);
    name_server.serve(switch_list(2, [draining_record("s-1", at), ready_record("s-2", other.address)]));
    let start = other.next_set_up();
    std::thread::sleep(GRACE);
    // The kernel retries a waiting connection after one second and again after two more.
    let old = full_backlog.open();
    start.answer_started();
    expect_started(&mut caller, CALL_ID);
    establish_call_at(&mut caller, NEXT_CALL_ID, &other);
    if let Some(start) = old.set_up_within(Duration::from_millis(2500)) {
        panic!("it drains, and {} was sent there", start.line);
    }
    other.assert_no_set_up("each was sent once");
}

#[test]
fn new_switch_at_address_of_removed_one_gets_waiting_set_up_once() {
    let full_backlog = FullBacklog::new();
    let at = full_backlog.address;
    let name_server = ScriptedNameServer::serving(switch_list(1, [ready_record("s-1", at)]));
    let gateway = Gateway::start("list-dial-gone", &config_with_short_grace(&name_server, &[("s-1", at)]));
    let mut caller = gateway.connect_caller();
    caller.send_set_up(CALL_ID, 8000);
    wait_until_handled(&mut caller);
    name_server.serve(switch_list(2, [ready_record("s-2", at)]));
    name_server.wait_until_read();
    let new = full_backlog.open();
    let start = new.next_set_up();
    assert_eq!(start.line["tag"], CALL_ID);
    start.answer_started();
    expect_started(&mut caller, CALL_ID);
    establish_call_at(&mut caller, NEXT_CALL_ID, &new);
    name_server.wait_until_read();
    new.assert_no_set_up("each was sent once");
}

/// The bytes in the kernel's queues of one end of an established connection (proc_net_tcp(5)).
struct SocketQueues {
    /// Whether this is the end of the party that listens at the address.
    is_listening_end: bool,
    unsent: usize,
    unread: usize,
}

/// The queues of both ends of all established connections to this address.
fn kernel_queues(address: SocketAddr) -> Vec<SocketQueues> {
    let port = format!(":{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let established = rows.filter(|row| row[3] == "01");
    established
        .filter_map(|row| {
            let is_listening_end = row[1].ends_with(&port);
            let (unsent, unread) = row[4].split_once(':')?;
            let bytes = |hex| usize::from_str_radix(hex, 16).unwrap();
            let queues = SocketQueues { is_listening_end, unsent: bytes(unsent), unread: bytes(unread) };
            (is_listening_end || row[2].ends_with(&port)).then_some(queues)
        })
        .collect()
}

/// Bytes written to connections to this address and not yet read there: the sum of the send queues and the
/// receive queues.
fn kernel_queued_bytes(address: SocketAddr) -> usize {
    let queues = kernel_queues(address).into_iter();
    queues.map(|q| if q.is_listening_end { q.unread } else { q.unsent }).sum()
}

/// Waits until the gateway has read all that this switch has written to it: nothing is unacknowledged at the
/// switch, and nothing unread at the gateway.
fn wait_until_gateway_has_read(switch: SocketAddr) {
    let end = Instant::now() + TIMEOUT;
    let is_under_way = |q: &SocketQueues| if q.is_listening_end { q.unsent > 0 } else { q.unread > 0 };
    while kernel_queues(switch).iter().any(is_under_way) {
        assert!(Instant::now() < end, "the gateway does not read");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Waits until `kernel_queued_bytes` no longer changes and returns it. Bytes that have arrived count at both
/// ends until they are acknowledged, some 40 ms later.
fn stable_queued_bytes(address: SocketAddr) -> usize {
    let end = Instant::now() + TIMEOUT;
    let (mut before, mut same) = (kernel_queued_bytes(address), 0);
    while same < 4 {
        std::thread::sleep(Duration::from_millis(40));
        let now = kernel_queued_bytes(address);
        same = if now == before { same + 1 } else { 0 };
        assert!(Instant::now() < end, "the queues of the connection keep changing");
        before = now;
    }
    before
}

/// Checks that set-ups which wait in the gateway, because their switch does not read, move to another switch
/// when the list changes. `after` is the record of the switch in the new list.
fn check_unwritten_set_ups(test: &str, after: fn(SocketAddr) -> Option<SwitchRecord>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    sockopt::set_socket_recv_buffer_size(&listener, 4096).unwrap();
    let (at, other) = (listener.local_addr().unwrap(), Switch::new());
    // Draining switches get no calls, but with them there is only one connection to each switch.
    let others: Vec<String> = (0..15).map(|n| format!("d-{n}")).collect();
    let nobody = free_address();
    let mut known = vec![("s-1", at)];
    known.extend(others.iter().map(|id| (id.as_str(), nobody)));
    let rows = |listed: Vec<SwitchRecord>| -> Vec<SwitchRecord> {
        listed.into_iter().chain(others.iter().map(|id| draining_record(id, nobody))).collect()
    };
    let name_server = ScriptedNameServer::serving(switch_list(1, rows(vec![ready_record("s-1", at)])));
    let mut config = config_with_short_grace(&name_server, &known);
    config["limits"]["sockets"] = json!(FEW_DESCRIPTORS);
    for instance in config["known"]["results"][0]["fleet"]["instances"].as_array_mut().unwrap() {
        if instance["instanceId"] != "s-1" {
            instance["lifecycle"] = json!("Terminating");
        }
    }
    let gateway = Gateway::start(test, &config);
    let (mut connection, _) = listener.accept().unwrap();
    let mut caller = gateway.connect_caller();
    caller.stream.set_nodelay(true).unwrap();
    let start = |tag: &str, size: usize| {
        json!({"verb": "START", "tag": tag, "blob": "x".repeat(size),
            "opts": {"class": "voice", "left": "8000", "key": "7f3a", "extras": "dest:0;width:1;via:-1"}})
    };
    // Once a message has arrived, the connection is established on the gateway's side too.
    caller.send(&start("f111000000000000", 10));
    let mut byte = [0];
    while byte != *b"\n" {
        connection.read_exact(&mut byte).unwrap();
    }
    caller.send(&finish_message("f111000000000000"));
    assert_eq!(caller.receive().unwrap()["verb"], "FINISHED");
    // The switch sends, though it does not read: a connection without any message would be taken for dead, and
    // the set-ups would go on another one.
    let report_state = |connection: &TcpStream| {
        let report =
            json!({"verb": "LOAD", "tag": "0000000000000000", "opts": {"load": "free:200;size:200"}});
        send_line(connection, &report);
        wait_until_gateway_has_read(at);
    };
    // These calls are released as soon as they are written, so that only their bytes remain.
    let body_length = 15_000;
    let mut before = stable_queued_bytes(at);
    for n in 1.. {
        report_state(&connection);
        let tag = format!("f1110000{n:08x}");
        caller.send(&start(&tag, body_length));
        wait_until_handled(&mut caller);
        caller.send(&finish_message(&tag));
        assert_eq!(caller.receive().unwrap(), json!({"verb": "FINISHED", "tag": tag, "opts": {}}));
        if n == 1 {
            let written = stable_queued_bytes(at) - before;
            assert!(written > body_length, "the set-up has been written to the connection");
        }
        // Each round counts for itself: the gateway writes probes, too, and how many depends on the time.
        let full = |held| held < before + body_length / 2;
        let held = kernel_queued_bytes(at);
        if full(held) && full(stable_queued_bytes(at)) {
            break;
        }
        before = held;
        assert!(n < 1000, "the connection never fills up");
    }
    let held = stable_queued_bytes(at);
    report_state(&connection);
    let tags: BTreeSet<String> = (0..3).map(|n| format!("0000000000000c0{n}")).collect();
    for tag in &tags {
        caller.send(&start(tag, 1000));
    }
    wait_until_handled(&mut caller);
    assert_eq!(stable_queued_bytes(at), held, "none of these set-ups has been written");
    other.assert_no_set_up("the other is not listed yet");
    let listed = after(at).into_iter().chain([ready_record("s-2", other.address)]).collect();
    name_server.serve(switch_list(2, rows(listed)));
    name_server.wait_until_read();
    std::thread::sleep(GRACE);
    // The bytes of a connection that the gateway has closed by then no longer count.
    assert!(stable_queued_bytes(at) <= held, "nothing more has been written");
    // Now the switch reads: it gets what had been written before and the rest of the line that was begun.
    sockopt::set_socket_recv_buffer_size(&connection, 4 << 20).unwrap();
    let mut bytes = Vec::new();
    let mut chunk = vec![0; 64 * 1024];
    connection.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    loop {
        match connection.read(&mut chunk) {
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
    assert!(late.is_empty(), "set-ups whose writing began after the grace: {late:?}");
    // Each of the calls is set up at the other switch, or over.
    let mut elsewhere = BTreeSet::new();
    let end = Instant::now() + Duration::from_secs(3);
    while let Some(start) = other.set_up_within(end.saturating_duration_since(Instant::now())) {
        let tag = start.line["tag"].as_str().unwrap().to_owned();
        start.answer_started();
        assert!(elsewhere.insert(tag), "each was sent once");
        if elsewhere == tags {
            break;
        }
    }
    let answered = tags.iter().map(|_| caller.receive().unwrap()["tag"].as_str().unwrap().to_owned());
    assert_eq!(answered.collect::<BTreeSet<_>>(), tags, "each is answered");
}

#[test]
fn unwritten_set_ups_are_not_written_to_draining_switch_after_grace() {
    check_unwritten_set_ups("list-outbox-drain", |at| Some(draining_record("s-1", at)));
}

#[test]
fn unwritten_set_ups_are_not_written_to_removed_switch_after_grace() {
    check_unwritten_set_ups("list-outbox-gone", |_| None);
}

#[test]
fn set_up_rejected_by_draining_switch_after_grace_is_not_retried_there() {
    let (old, new) = (Switch::new(), Switch::new());
    let name_server = ScriptedNameServer::serving(switch_list(1, [ready_record("s-1", old.address)]));
    let gateway =
        Gateway::start("list-turned", &config_with_short_grace(&name_server, &[("s-1", old.address)]));
    let mut caller = gateway.connect_caller();
    caller.send_set_up(CALL_ID, 8000);
    let start = old.next_set_up();
    name_server
        .serve(switch_list(2, [draining_record("s-1", old.address), ready_record("s-2", new.address)]));
    name_server.wait_until_read();
    std::thread::sleep(GRACE);
    send_line(
        &start.stream,
        &json!({"verb": "FINISH", "tag": CALL_ID, "opts": {"note": "group_full"}, "rc": 34}),
    );
    let again = new.next_set_up();
    assert_eq!(again.line["tag"], CALL_ID);
    again.answer_started();
    expect_started(&mut caller, CALL_ID);
    establish_call_at(&mut caller, NEXT_CALL_ID, &new);
    name_server.wait_until_read();
    old.assert_no_set_up("it drains");
}

#[test]
fn gateway_with_only_draining_or_removed_switches_sends_them_nothing_after_grace() {
    let (old, gone) = (Switch::new(), Switch::new());
    let name_server = ScriptedNameServer::serving(switch_list(
        1,
        [ready_record("s-1", old.address), ready_record("s-2", gone.address)],
    ));
    let known = [("s-1", old.address), ("s-2", gone.address)];
    let gateway = Gateway::start("list-only-drain", &config_with_short_grace(&name_server, &known));
    name_server.wait_until_read();
    name_server.serve(switch_list(2, [draining_record("s-1", old.address)]));
    name_server.wait_until_read();
    std::thread::sleep(GRACE);
    let mut caller = gateway.connect_caller();
    for n in 0..4 {
        caller.send_set_up(&format!("000000000000000{n}"), 700);
    }
    for _ in 0..4 {
        let received = caller.receive().unwrap();
        assert_eq!(received["verb"], "FINISH", "{received}");
    }
    name_server.wait_until_read();
    old.assert_no_set_up("it drains");
    gone.assert_no_set_up("it is gone");
    // The state kept for these switches does not prevent the use of a new one.
    let new = Switch::new();
    name_server.serve(switch_list(3, [ready_record("s-3", new.address)]));
    name_server.wait_until_read();
    establish_call_at(&mut caller, CALL_ID, &new);
}

// ---- Switches that come and go ----

#[test]
fn new_switch_at_address_of_removed_one_has_own_connections_and_no_old_calls() {
    let switch = Switch::new();
    let at = switch.address;
    let name_server = ScriptedNameServer::serving(switch_list(1, [ready_record("s-1", at)]));
    let gateway = Gateway::start("list-same-address", &config_with_short_grace(&name_server, &[("s-1", at)]));
    let (mut caller, other) = (gateway.connect_caller(), gateway.connect_caller());
    establish_call_at(&mut caller, CALL_ID, &switch);
    other.send_set_up(NEXT_CALL_ID, 8000);
    let held = switch.next_set_up();
    name_server
        .serve(switch_list(2, [SwitchRecord { started_ms: 1_700_000_000_000, ..ready_record("s-2", at) }]));
    let received = caller.receive().unwrap();
    assert_eq!(
        (&received["verb"], &received["tag"]),
        (&json!("FINISH"), &json!(CALL_ID)),
        "the call ended with the old switch"
    );
    let last = switch.accepted.try_iter().last().unwrap_or(held.connection);
    // The connections of the old switch are still open, as they are until the kernel notices that it is gone.
    let third = "9b1f03aa5c7e2d43";
    caller.send_set_up(third, 8000);
    let mut connections = Vec::new();
    while connections.last().is_none_or(|(tag, _)| tag != third) {
        let start = switch.next_set_up();
        let tag = start.line["tag"].as_str().unwrap().to_owned();
        // An answer on a connection of the old switch does not count as one of the new switch.
        send_line(
            &held.stream,
            &json!({"verb": "STARTED", "tag": third, "opts": {}, "blob": "not the new one's"}),
        );
        if tag == third {
            start.answer_started();
        }
        connections.push((tag, start.connection));
    }
    assert!(
        connections.iter().all(|(_, connection)| *connection > held.connection),
        "{connections:?} after {last}"
    );
    let received = caller.receive().unwrap();
    assert_eq!(
        (&received["tag"], &received["blob"]),
        (&json!(third), &json!(format!("answer\r\n\"{third}\"")))
    );
    let again = connections.iter().filter(|(tag, _)| tag == NEXT_CALL_ID).count();
    assert!(again <= 1, "a set-up that was open at the old switch is sent to the new one at most once");
}

/// From now on the core switch answers every health check, on old connections and new ones.
fn answer_health_checks(switch: Switch) {
    std::thread::spawn(move || {
        for received in switch.received.iter().filter(|received| received.line["verb"] == "ECHO") {
            let tag = &received.line["tag"];
            send_line(&received.stream, &json!({"verb": "ECHOED", "tag": tag, "opts": {}, "rc": 1}));
        }
    });
}

/// A gateway with a call established at `s-1`, which leaves the list and is listed again before the time
/// after which the gateway gives up a removed switch. With `anew`, its new record has the present time as its
/// start. The switch passes health checks all the time.
fn delist_and_relist_switch(test: &str, anew: bool) -> (Gateway, ScriptedNameServer, Caller) {
    let (one, two) = (Switch::new(), Switch::new());
    let (first, second) = (one.address, two.address);
    let name_server = ScriptedNameServer::serving(switch_list(1, [ready_record("s-1", first)]));
    let gateway = Gateway::start(test, &config_with_short_grace(&name_server, &[("s-1", first)]));
    let mut caller = gateway.connect_caller();
    establish_call_at(&mut caller, CALL_ID, &one);
    answer_health_checks(one);
    name_server.serve(switch_list(2, [ready_record("s-2", second)]));
    name_server.wait_until_read();
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let started_ms = if anew { now.as_millis() as u64 } else { 0 };
    name_server.serve(switch_list(
        3,
        [SwitchRecord { started_ms, ..ready_record("s-1", first) }, ready_record("s-2", second)],
    ));
    name_server.wait_until_read();
    (gateway, name_server, caller)
}

#[test]
fn calls_of_switch_relisted_with_new_start_are_released() {
    let (_gateway, _name_server, mut caller) = delist_and_relist_switch("list-back-anew", true);
    let received = caller.receive().expect("the call was established before the start");
    assert_eq!((&received["verb"], &received["tag"]), (&json!("FINISH"), &json!(CALL_ID)), "{received}");
}

#[test]
fn calls_of_switch_relisted_without_new_start_stay_established() {
    let (_gateway, _name_server, mut caller) = delist_and_relist_switch("list-back", false);
    wait_until_handled(&mut caller);
    caller.send(&finish_message(CALL_ID));
    assert_eq!(
        caller.receive().unwrap()["verb"],
        "FINISHED",
        "the call is established until its caller releases it"
    );
}

#[test]
fn switch_first_listed_as_draining_gets_no_connection_and_no_set_up() {
    let (one, drained) = (Switch::new(), Switch::new());
    let name_server = ScriptedNameServer::serving(switch_list(1, [ready_record("s-1", one.address)]));
    let gateway =
        Gateway::start("list-brief", &config_with_short_grace(&name_server, &[("s-1", one.address)]));
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let started_ms = now.as_millis() as u64;
    let both = [
        ready_record("s-1", one.address),
        SwitchRecord { started_ms, ..draining_record("s-2", drained.address) },
    ];
    name_server.serve(switch_list(2, both));
    name_server.wait_until_read();
    let mut caller = gateway.connect_caller();
    for n in 0..8 {
        establish_call_at(&mut caller, &format!("000000000000000{n}"), &one);
    }
    name_server.wait_until_read();
    drained.assert_no_connection("it has only ever drained");
    // The same holds when no other switch is left.
    name_server
        .serve(switch_list(3, [SwitchRecord { started_ms, ..draining_record("s-2", drained.address) }]));
    name_server.wait_until_read();
    std::thread::sleep(GRACE);
    let mut last = gateway.connect_caller();
    last.send_set_up(CALL_ID, 700);
    assert_eq!(last.receive().unwrap()["verb"], "FINISH");
    name_server.wait_until_read();
    drained.assert_no_connection("it has only ever drained");
}

// ---- Answers that are late, wrong or missing ----

#[test]
fn outdated_and_invalid_lists_are_ignored() {
    let (one, two) = (Switch::new(), Switch::new());
    let rows = [ready_record("s-1", one.address)];
    let name_server = ScriptedNameServer::serving(switch_list(5, rows.clone()));
    let gateway = Gateway::start("list-bad", &config_with_short_grace(&name_server, &[("s-1", one.address)]));
    name_server.wait_until_read();
    let changed = [draining_record("s-1", one.address), ready_record("s-2", two.address)];
    let good = switch_list(6, changed.clone());
    let cut = |list: &SwitchList, query: &[u8], at: usize| {
        let mut answer = list.response_to(query);
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
        name_server.respond_with(move |query| match kind {
            "older" => vec![switch_list(4, changed.clone()).response_to(query)],
            "same" => vec![switch_list(5, changed.clone()).response_to(query)],
            "oldest" => vec![switch_list(1, changed.clone()).response_to(query)],
            "empty" => vec![switch_list(7, []).response_to(query)],
            "cut" => (0..8).map(|at| cut(&good, query, at)).collect(),
            "failed" => {
                let mut answer = good.response_to(query);
                answer[3] = 2;
                vec![answer]
            }
            "other id" => {
                let mut answer = good.response_to(query);
                answer[0] ^= 0x80;
                vec![answer]
            }
            "no serial" => {
                let mut answer = good.response_to(query);
                // The SOA record is changed to an unknown type.
                let soa = good.response_to(query).windows(7).position(|w| w == b"cluster").unwrap();
                let at = answer[soa..].windows(4).position(|w| w == [0, 6, 0, 1]).unwrap() + soa;
                answer[at + 1] = 99;
                vec![answer]
            }
            "no address" => {
                let mut answer = good.response_to(query);
                let last = answer.windows(4).rposition(|w| w == [0, 1, 0, 1]).unwrap();
                answer[last + 1] = 99;
                vec![answer]
            }
            _ => vec![vec![0xff; 400], Vec::new(), query.to_vec()],
        });
        name_server.wait_until_read();
        tag += 1;
        establish_call_at(&mut caller, &format!("{tag:016x}"), &one);
        two.assert_no_connection(kind);
    }
    name_server.serve(good);
    name_server.wait_until_read();
    establish_call_at(&mut caller, CALL_ID, &two);
    name_server.wait_until_read();
    one.assert_no_set_up("it drains");
}

#[test]
fn valid_response_after_invalid_ones_to_same_query_is_used() {
    let (one, two) = (Switch::new(), Switch::new());
    let name_server = ScriptedNameServer::serving(switch_list(1, [ready_record("s-1", one.address)]));
    let gateway =
        Gateway::start("list-behind", &config_with_short_grace(&name_server, &[("s-1", one.address)]));
    name_server.wait_until_read();
    let good = switch_list(2, [ready_record("s-2", two.address)]);
    name_server.respond_with(move |query| {
        let whole = good.response_to(query);
        let mut failed = whole.clone();
        failed[3] = 2;
        vec![whole[..whole.len() / 2].to_vec(), failed, vec![0; 3], whole]
    });
    name_server.wait_until_read();
    establish_call_at(&mut gateway.connect_caller(), CALL_ID, &two);
}

#[test]
fn silent_name_server_is_queried_repeatedly_and_newest_of_simultaneous_responses_is_used() {
    let (one, two, three) = (Switch::new(), Switch::new(), Switch::new());
    let name_server = ScriptedNameServer::serving(switch_list(1, [ready_record("s-1", one.address)]));
    let gateway =
        Gateway::start("list-silence", &config_with_short_grace(&name_server, &[("s-1", one.address)]));
    name_server.wait_until_read();
    name_server.respond_with(|_| Vec::new());
    let mut caller = gateway.connect_caller();
    establish_call_at(&mut caller, CALL_ID, &one);
    let held = name_server.stop_gateway_after(&gateway, 13);
    for bytes_per_round in held.windows(2) {
        let pause = bytes_per_round[1].at - bytes_per_round[0].at;
        assert!(pause < MAX_QUERY_INTERVAL, "{pause:?} without a question");
    }
    // The newest list first, then the older ones, each sent twice; the gateway reads all of them at once.
    for (age, query) in held.iter().rev().enumerate() {
        let list = match age {
            0 => switch_list(9, [draining_record("s-1", one.address), ready_record("s-3", three.address)]),
            1 => switch_list(8, [ready_record("s-2", two.address)]),
            _ => switch_list(
                2 + u32::from(age % 2 == 0),
                [ready_record("s-1", one.address), ready_record("s-2", two.address)],
            ),
        };
        let answer = list.response_to(&query.datagram);
        name_server.send(query.from, &answer);
        name_server.send(query.from, &answer);
    }
    gateway.send_signal(Signal::CONT);
    name_server.wait_until_read();
    for n in 0..6 {
        establish_call_at(&mut caller, &format!("000000000000000{n}"), &three);
    }
    name_server.wait_until_read();
    one.assert_no_set_up("it drains");
    two.assert_no_connection("it is not on the newest list");
}

/// Guards against set-ups to a draining switch, and none to its successor, because a slow name server's
/// responses come after later queries and are dropped.
#[test]
fn response_that_comes_many_queries_late_is_used() {
    let (one, two) = (Switch::new(), Switch::new());
    let name_server = ScriptedNameServer::serving(switch_list(1, [ready_record("s-1", one.address)]));
    let gateway =
        Gateway::start("list-slow", &config_with_short_grace(&name_server, &[("s-1", one.address)]));
    name_server.wait_until_read();
    name_server.respond_with(|_| Vec::new());
    let queries = name_server.next_queries(10);
    let list = switch_list(2, [draining_record("s-1", one.address), ready_record("s-2", two.address)]);
    name_server.send(queries[0].from, &list.response_to(&queries[0].datagram));
    name_server.wait_until_read();
    establish_call_at(&mut gateway.connect_caller(), CALL_ID, &two);
    one.assert_no_set_up("it drains");
}

#[test]
fn of_out_of_order_responses_only_newer_lists_are_applied() {
    let switches: Vec<Switch> = (0..4).map(|_| Switch::new()).collect();
    let only = |n: usize| switch_list(10 + n as u32, [ready_record(&format!("s-{n}"), switches[n].address)]);
    let name_server = ScriptedNameServer::serving(only(0));
    let gateway =
        Gateway::start("list-order", &config_with_short_grace(&name_server, &[("s-0", switches[0].address)]));
    name_server.wait_until_read();
    name_server.respond_with(|_| Vec::new());
    let mut caller = gateway.connect_caller();
    for (round, order) in [[1, 0, 1], [2, 1, 0], [1, 3, 2]].into_iter().enumerate() {
        let queries = name_server.stop_gateway_after(&gateway, 4);
        for (query, n) in queries[queries.len() - 3..].iter().zip(order) {
            name_server.send(query.from, &only(n).response_to(&query.datagram));
        }
        gateway.send_signal(Signal::CONT);
        name_server.wait_until_read();
        let tag = format!("{:016x}", round + 1);
        establish_call_at(&mut caller, &tag, &switches[round + 1]);
        caller.send(&finish_message(&tag));
        assert_eq!(caller.receive().unwrap()["verb"], "FINISHED");
    }
}

// ---- A new configuration ----

/// Writes a configuration with this name server and sends SIGHUP.
fn reload(gateway: &Gateway, config: &Value, name_server: &ScriptedNameServer) {
    let mut config = config.clone();
    config["nameserver"] = json!(name_server.address.to_string());
    std::fs::write(&gateway.file, config.to_string()).unwrap();
    gateway.send_signal(Signal::HUP);
}

#[test]
fn after_sighup_new_name_server_is_used_and_late_responses_of_old_one_are_ignored() {
    let (one, two, three) = (Switch::new(), Switch::new(), Switch::new());
    let old = ScriptedNameServer::serving(switch_list(3, [ready_record("s-1", one.address)]));
    let config = config_with_short_grace(&old, &[("s-1", one.address)]);
    let gateway = Gateway::start("list-sighup", &config);
    old.wait_until_read();
    old.respond_with(|_| Vec::new());
    let held = old.next_queries(4);
    let new = ScriptedNameServer::serving(switch_list(
        4,
        [draining_record("s-1", one.address), ready_record("s-2", two.address)],
    ));
    reload(&gateway, &config, &new);
    let hup = Instant::now();
    gateway.wait_for_log("new configuration");
    let first = new.next_queries(1);
    assert!(first[0].at - hup < Duration::from_secs(3), "asked in time");
    new.wait_until_read();
    let mut caller = gateway.connect_caller();
    establish_call_at(&mut caller, CALL_ID, &two);
    // The old name server, which is no longer configured, sends an older and a newer list.
    let late = [
        switch_list(2, [ready_record("s-1", one.address)]),
        switch_list(9, [ready_record("s-3", three.address)]),
    ];
    for query in &held {
        for late in &late {
            old.send(query.from, &late.response_to(&query.datagram));
        }
    }
    new.wait_until_read();
    establish_call_at(&mut caller, NEXT_CALL_ID, &two);
    while old.queries.try_recv().is_ok() {}
    new.wait_until_read();
    assert!(old.queries.try_recv().is_err(), "the old name server gets no more queries");
    one.assert_no_set_up("it drains");
    three.assert_no_connection("only the old name server lists it");
}

#[test]
fn response_to_earlier_query_read_together_with_sighup_does_not_override_new_list() {
    let (one, two) = (Switch::new(), Switch::new());
    let old = ScriptedNameServer::serving(switch_list(3, [ready_record("s-1", one.address)]));
    let config = config_with_short_grace(&old, &[("s-1", one.address)]);
    let gateway = Gateway::start("list-sighup-crossed", &config);
    old.wait_until_read();
    old.respond_with(|_| Vec::new());
    let new = ScriptedNameServer::serving(switch_list(
        5,
        [draining_record("s-1", one.address), ready_record("s-2", two.address)],
    ));
    // The signal and the responses are pending together when the gateway resumes.
    let held = old.stop_gateway_after(&gateway, 4);
    reload(&gateway, &config, &new);
    for (query, serial) in held[held.len() - 3..].iter().zip([2, 4, 3]) {
        old.send(
            query.from,
            &switch_list(serial, [ready_record("s-1", one.address)]).response_to(&query.datagram),
        );
    }
    gateway.send_signal(Signal::CONT);
    gateway.wait_for_log("new configuration");
    new.next_queries(1);
    new.wait_until_read();
    let mut caller = gateway.connect_caller();
    for tag in [CALL_ID, NEXT_CALL_ID] {
        establish_call_at(&mut caller, tag, &two);
    }
    new.wait_until_read();
    one.assert_no_set_up("it drains");
}

#[test]
fn repeated_sighup_ends_with_last_name_server_and_ignores_older_list_in_file() {
    let (one, two) = (Switch::new(), Switch::new());
    let first = ScriptedNameServer::serving(switch_list(7, [ready_record("s-1", one.address)]));
    // The list in the file is older than the one from the name server and names another switch.
    let config = config_with_short_grace(&first, &[("s-0", free_address())]);
    let gateway = Gateway::start("list-sighups", &config);
    first.wait_until_read();
    let mut caller = gateway.connect_caller();
    establish_call_at(&mut caller, CALL_ID, &one);
    let (second, third) = (ScriptedNameServer::silent(), ScriptedNameServer::silent());
    third.serve(switch_list(8, [ready_record("s-2", two.address)]));
    for name_server in [&second, &first, &second, &third] {
        reload(&gateway, &config, name_server);
        gateway.wait_for_log("new configuration");
    }
    third.next_queries(1);
    third.wait_until_read();
    establish_call_at(&mut caller, NEXT_CALL_ID, &two);
    for name_server in [&first, &second] {
        while name_server.queries.try_recv().is_ok() {}
    }
    third.wait_until_read();
    for name_server in [&first, &second] {
        assert!(name_server.queries.try_recv().is_err(), "only the last name server gets queries");
    }
}

#[test]
fn newer_list_in_file_is_applied_at_once_without_name_server_response() {
    let (one, two) = (Switch::new(), Switch::new());
    let name_server = ScriptedNameServer::serving(switch_list(3, [ready_record("s-1", one.address)]));
    let config = config_with_short_grace(&name_server, &[("s-1", one.address)]);
    let gateway = Gateway::start("list-file", &config);
    name_server.wait_until_read();
    let silent = ScriptedNameServer::silent();
    let mut newer = config_with_short_grace(&silent, &[("s-1", one.address), ("s-2", two.address)]);
    newer["known"]["seq"] = json!(4);
    newer["known"]["results"][0]["fleet"]["instances"][0]["lifecycle"] = json!("Terminating");
    newer["listen"] = config["listen"].clone();
    reload(&gateway, &newer, &silent);
    gateway.wait_for_log("new configuration");
    silent.wait_until_read();
    std::thread::sleep(GRACE);
    let mut caller = gateway.connect_caller();
    for tag in [CALL_ID, NEXT_CALL_ID] {
        establish_call_at(&mut caller, tag, &two);
    }
    silent.wait_until_read();
    one.assert_no_set_up("it drains");
    // An invalid datagram to the socket of the queries does not end them.
    let query = silent.next_queries(1).remove(0);
    silent.send(query.from, b"\n");
    silent.wait_until_read();
}
