//! Concurrent events on real connections in their worst order: messages of a caller, messages of a core
//! switch and time limits. The order is forced: the gateway is stopped (SIGSTOP) while both events wait in
//! its sockets, or a peer does not read. Tests sleep only to let a time limit pass while the gateway is
//! stopped; no result depends on the length.

mod common;

use std::fmt::Debug;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use common::{Caller, DnsZone, Gateway, NameServer, free_address, node_config, send_line};
use rustix::process::Signal;
use serde_json::{Value, json};

/// Ends a test that would hang.
const TIMEOUT: Duration = Duration::from_secs(6);
/// A caller that has been disconnected for 0.1 s counts as gone; this adds a margin.
const CALLER_GONE_DELAY: Duration = Duration::from_millis(150);
/// No further attempt of a call within this time of a reset (`guardNs` of the settings).
const GUARD: Duration = Duration::from_millis(200);
/// Longer than the guard and the interval at which the gateway checks the calls that wait.
const PAST_GUARD: Duration = Duration::from_millis(500);

// ---- Core switches ----
/// A message that a core switch received, with its connection and time of arrival.
struct Received {
    connection: Arc<TcpStream>,
    line: Value,
    at: Instant,
}

impl Received {
    fn is_message(&self, verb: &str, tag: &str) -> bool {
        self.line["verb"] == verb && self.line["tag"] == tag
    }

    /// Whether both messages came on the same connection.
    fn on_same_connection_as(&self, other: &Received) -> bool {
        self.connection.peer_addr().unwrap() == other.connection.peer_addr().unwrap()
    }
}

/// A core switch that records the messages of all its connections.
struct CoreSwitch {
    received: Receiver<Received>,
}

/// Reads the messages of a connection in a thread of its own.
fn read_messages(stream: TcpStream, sender: Sender<Received>) {
    let connection = Arc::new(stream);
    std::thread::spawn(move || {
        let reader = BufReader::new(connection.try_clone().unwrap());
        for line in reader.lines().map_while(Result::ok) {
            let line = serde_json::from_str(&line).expect("whole lines of JSON");
            if sender.send(Received { connection: connection.clone(), line, at: Instant::now() }).is_err() {
                return;
            }
        }
    });
}

impl CoreSwitch {
    /// Starts one that reads from these connections and from all that the listener accepts.
    fn reading(listener: TcpListener, connections: Vec<TcpStream>) -> Self {
        let (sender, received) = channel();
        connections.into_iter().for_each(|connection| read_messages(connection, sender.clone()));
        std::thread::spawn(move || {
            listener.incoming().flatten().for_each(|connection| read_messages(connection, sender.clone()));
        });
        Self { received }
    }

    /// Waits for this message and returns all messages up to it, itself the last.
    fn receive_until(&self, verb: &str, tag: &str) -> Vec<Received> {
        let mut all: Vec<Received> = Vec::new();
        while all.last().is_none_or(|h| !h.is_message(verb, tag)) {
            let received = self.received.recv_timeout(TIMEOUT);
            let before = || all.iter().map(|h| h.line.to_string()).collect::<Vec<_>>();
            all.push(received.unwrap_or_else(|_| panic!("no {verb} of {tag} came, but {:?}", before())));
        }
        all
    }

    /// Waits for the set-up of this call; no other set-up may come before it.
    fn next_set_up(&self, tag: &str) -> Received {
        let mut all = self.receive_until("START", tag);
        let start = all.pop().unwrap();
        assert_no_set_up(&all);
        start
    }
}

fn assert_no_set_up(switch_messages: &[Received]) {
    let starts: Vec<String> = switch_messages
        .iter()
        .filter(|h| h.line["verb"] == "START")
        .map(|h| h.line["tag"].to_string())
        .collect();
    assert!(starts.is_empty(), "set up although no caller waits for it: {starts:?}");
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A core switch whose listen backlog is full: a further connection waits until `open` is called.
struct FullBacklog {
    listener: TcpListener,
    _queued: TcpStream,
}

impl FullBacklog {
    fn new() -> (Self, SocketAddr) {
        let (listener, address) = listen();
        rustix::net::listen(&listener, 0).unwrap();
        let queued = TcpStream::connect(address).unwrap();
        (Self { listener, _queued: queued }, address)
    }

    /// Empties the backlog and accepts the gateway's connection, which the kernel retries once a second.
    fn open(self) -> (TcpListener, TcpStream) {
        drop(self.listener.accept().unwrap());
        rustix::net::listen(&self.listener, 128).unwrap();
        let (connection, _) = self.listener.accept().unwrap();
        (self.listener, connection)
    }
}

// ---- Callers ----
fn new_call_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0xca11_0000_0000_0000);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

fn set_up_message(tag: &str, left_ms: u64) -> Value {
    // Each call has its own number, so that none waits until the number of another call is free.
    json!({"verb": "START", "tag": tag, "blob": "offer",
        "opts": {"class": "voice", "left": left_ms.to_string(), "key": tag}})
}

fn started_message(tag: &str) -> Value {
    json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": format!("answer\r\n{tag}")})
}

fn finish_message(tag: &str, rc: i64) -> Value {
    json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": rc})
}

/// A core switch's report that so many of its circuits are free.
fn load_report(free: u32) -> Value {
    json!({"verb": "LOAD", "tag": new_call_id(), "opts": {"load": format!("free:{free};size:9")}})
}

fn to_lines<'a>(messages: impl IntoIterator<Item = &'a Value>) -> String {
    messages.into_iter().map(|line| format!("{line}\n")).collect()
}

fn connect_caller(gateway: &Gateway) -> Caller {
    let caller = gateway.connect_caller();
    caller.stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    caller
}

/// Returns the messages that the caller has been sent up to now. By then the gateway has read all that the
/// caller sent.
fn received_so_far(caller: &mut Caller) -> Vec<Value> {
    let check = new_call_id();
    caller.send(&json!({"verb": "ECHO", "tag": check, "opts": {}, "rc": 0}));
    let mut caller_messages = Vec::new();
    loop {
        let line = caller.receive().expect("the connection stays open");
        if line["verb"] == "ECHOED" && line["tag"] == check {
            return caller_messages;
        }
        caller_messages.push(line);
    }
}

/// The verbs of the messages about this call, in order.
fn verbs_of_call<'a>(caller_messages: &'a [Value], tag: &str) -> Vec<&'a str> {
    caller_messages.iter().filter(|l| l["tag"] == tag).map(|l| l["verb"].as_str().unwrap()).collect()
}

/// How a caller withdraws its call: by a release, or by closing or resetting its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Withdrawal {
    Finish,
    Close,
    Reset,
}

const WITHDRAWALS: [Withdrawal; 3] = [Withdrawal::Finish, Withdrawal::Close, Withdrawal::Reset];

/// Withdraws a call. Returns the caller if its connection stays open.
fn withdraw(caller: Caller, tag: &str, how: Withdrawal) -> Option<Caller> {
    match how {
        Withdrawal::Finish => {
            caller.send(&finish_message(tag, 16));
            return Some(caller);
        }
        // A child process that another test is starting holds copies of all descriptors until it executes its
        // program, so that the effect of a close alone may come some milliseconds late.
        Withdrawal::Close => caller.stream.shutdown(std::net::Shutdown::Both).unwrap(),
        Withdrawal::Reset => {
            rustix::net::sockopt::set_socket_linger(&caller.stream, Some(Duration::ZERO)).unwrap();
            let (local, remote) = (caller.stream.local_addr().unwrap(), caller.stream.peer_addr().unwrap());
            drop(caller);
            let begun = Instant::now();
            while queue_length(&tcp_table(), local, remote, 0).is_some() {
                assert!(begun.elapsed() < TIMEOUT, "the connection is reset");
                std::thread::yield_now();
            }
        }
    }
    None
}

/// So many health checks as lines.
fn health_checks(count: usize) -> String {
    to_lines(std::iter::repeat_n(&json!({"verb": "ECHO", "tag": new_call_id(), "opts": {}, "rc": 0}), count))
}

/// Sends many health checks, so that whatever the caller does next lies behind them: a gateway that reads
/// some lines of each connection in turn gets to the other connections first.
fn send_health_checks(caller: &Caller) {
    (&caller.stream).write_all(health_checks(400).as_bytes()).unwrap();
}

// ---- The gateway ----
/// A gateway and its name server.
struct Fixture {
    gateway: Gateway,
    _name_server: NameServer,
}

fn start_fixture(test: &str, switches: &[SocketAddr]) -> Fixture {
    let ids = ["s-1", "s-2"];
    let known: Vec<(&str, SocketAddr)> = ids.into_iter().zip(switches.iter().copied()).collect();
    let switches = known.iter().map(|(id, address)| ((*id).to_owned(), *address)).collect();
    let name_server = NameServer::new(DnsZone { serial: 1, switches, ..DnsZone::default() });
    let mut config = node_config(free_address(), name_server.address, &known);
    config["settings"]["policyLimits"]["dialTimeoutNs"] = json!(5_000_000_000u64);
    Fixture {
        gateway: Gateway::start(&format!("concurrent-{test}-{}", new_call_id()), &config),
        _name_server: name_server,
    }
}

/// A gateway in front of one core switch, which reads its connections.
fn fixture_with_switch(test: &str) -> (Fixture, CoreSwitch) {
    let (listener, address) = listen();
    (start_fixture(test, &[address]), CoreSwitch::reading(listener, Vec::new()))
}

impl Fixture {
    /// Stops the gateway (SIGSTOP): what is sent to it from now on waits in its sockets.
    fn stop(&self) {
        self.gateway.send_signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.gateway.process_id());
        let begun = Instant::now();
        let state = |stat: String| stat.rsplit(") ").next().and_then(|s| s.chars().next());
        while state(std::fs::read_to_string(&stat).unwrap()) != Some('T') {
            assert!(begun.elapsed() < TIMEOUT, "the gateway stops");
            std::thread::yield_now();
        }
    }

    fn resume(&self) {
        self.gateway.send_signal(Signal::CONT);
    }

    /// Asserts that a further call is set up now and another one after the gateway has checked the calls that
    /// wait. Returns all other messages that the core switch receives meanwhile.
    fn assert_serves_further_calls(&self, switch: &CoreSwitch) -> Vec<Received> {
        let mut all = Vec::new();
        for pause in [PAST_GUARD, Duration::ZERO] {
            let (mut caller, tag) = (connect_caller(&self.gateway), new_call_id());
            caller.send(&set_up_message(&tag, 6000));
            all.extend(switch.receive_until("START", &tag));
            send_line(&all.last().unwrap().connection, &started_message(&tag));
            assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
            std::thread::sleep(pause);
            caller.send(&finish_message(&tag, 16));
            all.extend(switch.receive_until("FINISH", &tag));
            all.retain(|h| h.line["tag"] != *tag);
        }
        all
    }
}

/// Waits until the gateway has handled all that the switch sent on this connection.
fn wait_until_handled(switch: &CoreSwitch, connection: &TcpStream) {
    let unknown = new_call_id();
    send_line(connection, &finish_message(&unknown, 16));
    assert_no_set_up(&switch.receive_until("FINISHED", &unknown));
}

/// Bytes written from one address to another that the kernel still holds because they have not been read.
/// Bytes that have been received and not yet acknowledged are counted twice for some milliseconds.
/// Connections that are opened or closed while the table is read can hide others, so the table is read again
/// if a row is missing.
fn unread_bytes(from: SocketAddr, to: SocketAddr) -> usize {
    let begun = Instant::now();
    while begun.elapsed() < TIMEOUT {
        let table = tcp_table();
        if let Some((sent, unread)) = queue_length(&table, from, to, 0).zip(queue_length(&table, to, from, 1))
        {
            return sent + unread;
        }
    }
    panic!("the connection is gone");
}

fn tcp_table() -> String {
    std::fs::read_to_string("/proc/net/tcp").unwrap()
}

/// The bytes that wait at this end of a connection to be sent (`which` 0) or read (1).
fn queue_length(table: &str, local: SocketAddr, remote: SocketAddr, which: usize) -> Option<usize> {
    let hex = |address: SocketAddr| match address {
        SocketAddr::V4(a) => format!("{:08X}:{:04X}", u32::from_ne_bytes(a.ip().octets()), a.port()),
        SocketAddr::V6(_) => unreachable!("all addresses are in 127.0.0.0/8"),
    };
    let (local, remote) = (hex(local), hex(remote));
    let mut rows = table.lines().map(|l| l.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|r| r.len() > 4 && r[1] == local && r[2] == remote)?;
    usize::from_str_radix(row[4].split(':').nth(which)?, 16).ok()
}

/// Sends this line repeatedly on a connection whose peer does not read the answers, until the kernel buffers
/// are full and some answers wait in the gateway. `answer` has the length of each answer. Returns the bytes
/// of all answers.
fn fill_connection(gateway: &Gateway, mut connection: &TcpStream, line: &Value, answer: &Value) -> usize {
    let (line, answer) = (to_lines([line]).repeat(500), 500 * to_lines([answer]).len());
    let mut other = connect_caller(gateway);
    let (local, remote) = (connection.local_addr().unwrap(), connection.peer_addr().unwrap());
    for rounds in 1..1200 {
        connection.write_all(line.as_bytes()).unwrap();
        // Checked again once the received bytes have been acknowledged, which may free buffer space.
        let full = is_full(&mut other, local, remote, rounds * answer) && {
            std::thread::sleep(Duration::from_millis(100));
            is_full(&mut other, local, remote, rounds * answer)
        };
        if full {
            return rounds * answer;
        }
    }
    panic!("the kernel buffers of the connection do not fill up");
}

/// Fills the connection of a core switch that does not read with answers to releases of an unknown call.
fn fill_switch(gateway: &Gateway, connection: &TcpStream) {
    let tag = new_call_id();
    let answer = json!({"verb": "FINISHED", "tag": tag, "opts": {}});
    fill_connection(gateway, connection, &finish_message(&tag, 16), &answer);
}

/// Fills the connection of a caller that does not read with answers to health checks.
fn fill_caller(gateway: &Gateway, caller: &Caller) -> usize {
    let check = json!({"verb": "ECHO", "tag": new_call_id(), "opts": {}, "rc": 0});
    let answer = json!({"verb": "ECHOED", "tag": new_call_id(), "opts": {}, "rc": 1});
    fill_connection(gateway, &caller.stream, &check, &answer)
}

/// A loopback connection buffers at least this many bytes without being read (tcp(7): tcp_wmem, 4 MB). The
/// queues are examined only beyond this size.
const MIN_KERNEL_BUFFER_BYTES: usize = 2 * 1024 * 1024;

/// Whether some of the expected bytes still wait in the gateway after it has read all that was sent to it.
fn is_full(other: &mut Caller, local: SocketAddr, remote: SocketAddr, expected: usize) -> bool {
    if expected < MIN_KERNEL_BUFFER_BYTES {
        return false;
    }
    received_so_far(other);
    if unread_bytes(remote, local) >= expected {
        return false;
    }
    while unread_bytes(local, remote) > 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    // The gateway handles some of the lines it has read in each turn of its event loop; each health check
    // here takes a turn or more.
    loop {
        let before = unread_bytes(remote, local);
        for _ in 0..10 {
            if unread_bytes(remote, local) >= expected {
                return false;
            }
            (0..10).for_each(|_| drop(received_so_far(other)));
        }
        if unread_bytes(remote, local) == before {
            return before < expected;
        }
    }
}

/// Runs all variants in parallel and reports each one that fails.
fn for_each_variant<T: Copy + Debug + Send + Sync>(variants: &[T], test: impl Fn(T) + Sync) {
    let failed: Vec<T> = std::thread::scope(|scope| {
        let runs: Vec<_> = variants.iter().map(|v| (*v, scope.spawn(|| test(*v)))).collect();
        runs.into_iter().filter_map(|(v, run)| run.join().is_err().then_some(v)).collect()
    });
    assert!(failed.is_empty(), "fails for {failed:?}");
}

// ---- Callers that leave ----
#[test]
fn held_call_is_not_set_up_when_circuits_become_free_as_its_caller_leaves() {
    for_each_variant(&WITHDRAWALS, |how| {
        let (fixture, switch) = fixture_with_switch("held");
        let (mut first, mut second) = (connect_caller(&fixture.gateway), connect_caller(&fixture.gateway));
        let (open, held) = (new_call_id(), new_call_id());
        first.send(&set_up_message(&open, 8000));
        let connection = switch.next_set_up(&open).connection;
        send_line(&connection, &started_message(&open));
        // The gateway sends nothing more to a switch that has reported that no circuit is free.
        send_line(&connection, &load_report(0));
        wait_until_handled(&switch, &connection);
        second.send(&set_up_message(&held, 8000));
        received_so_far(&mut second);
        fixture.stop();
        send_line(&connection, &finish_message(&open, 16));
        send_line(&connection, &load_report(9));
        send_health_checks(&second);
        let _remaining_caller = withdraw(second, &held, how);
        std::thread::sleep(CALLER_GONE_DELAY);
        fixture.resume();
        let caller_messages = [first.receive().unwrap(), first.receive().unwrap()];
        assert_eq!(verbs_of_call(&caller_messages, &open), ["STARTED", "FINISH"]);
        assert_no_set_up(&fixture.assert_serves_further_calls(&switch));
    });
}

#[test]
fn call_waiting_for_guard_is_not_retried_when_its_caller_leaves_as_guard_ends() {
    for_each_variant(&WITHDRAWALS, |how| {
        let (fixture, switch) = fixture_with_switch("guard");
        let (caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
        caller.send(&set_up_message(&tag, 8000));
        let connection = switch.next_set_up(&tag).connection;
        send_line(&connection, &finish_message(&tag, 41));
        wait_until_handled(&switch, &connection);
        fixture.stop();
        send_health_checks(&caller);
        let _remaining_caller = withdraw(caller, &tag, how);
        std::thread::sleep(PAST_GUARD);
        fixture.resume();
        assert_no_set_up(&fixture.assert_serves_further_calls(&switch));
    });
}

#[test]
fn no_set_up_is_sent_when_caller_leaves_while_gateway_connects_to_switch() {
    for_each_variant(&WITHDRAWALS, |how| {
        let (full_backlog, address) = FullBacklog::new();
        let fixture = start_fixture("dialled", &[address]);
        let (mut caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
        caller.send(&set_up_message(&tag, 8000));
        received_so_far(&mut caller);
        let mut remaining_caller = withdraw(caller, &tag, how);
        if let Some(caller) = &mut remaining_caller {
            assert_eq!(verbs_of_call(&received_so_far(caller), &tag), ["FINISHED"]);
        }
        let (listener, connection) = full_backlog.open();
        assert_no_set_up(
            &fixture.assert_serves_further_calls(&CoreSwitch::reading(listener, vec![connection])),
        );
    });
}

#[test]
fn no_set_up_is_sent_when_caller_leaves_as_switch_connection_is_established() {
    for_each_variant(&WITHDRAWALS, |how| {
        let (full_backlog, address) = FullBacklog::new();
        let fixture = start_fixture("comes-up", &[address]);
        let (mut caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
        caller.send(&set_up_message(&tag, 8000));
        received_so_far(&mut caller);
        fixture.stop();
        let (listener, connection) = full_backlog.open();
        send_health_checks(&caller);
        let _remaining_caller = withdraw(caller, &tag, how);
        std::thread::sleep(CALLER_GONE_DELAY);
        fixture.resume();
        assert_no_set_up(
            &fixture.assert_serves_further_calls(&CoreSwitch::reading(listener, vec![connection])),
        );
    });
}

#[test]
fn unwritten_set_up_is_not_written_once_its_caller_has_left() {
    for_each_variant(&WITHDRAWALS, |how| {
        let (listener, address) = listen();
        let fixture = start_fixture("unwritten", &[address]);
        let (connection, _) = listener.accept().unwrap();
        fill_switch(&fixture.gateway, &connection);
        let (mut caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
        let mut long = set_up_message(&tag, 8000);
        long["blob"] = json!("x".repeat(15_000));
        caller.send(&long);
        received_so_far(&mut caller);
        let _remaining_caller = withdraw(caller, &tag, how);
        // The gateway has seen that the caller left, and the time after which it counts as gone passes.
        received_so_far(&mut connect_caller(&fixture.gateway));
        std::thread::sleep(CALLER_GONE_DELAY);
        assert_no_set_up(
            &fixture.assert_serves_further_calls(&CoreSwitch::reading(listener, vec![connection])),
        );
    });
}

#[test]
fn call_is_released_at_switch_when_its_answer_crosses_withdrawal() {
    let variants = [false, true].map(|first| WITHDRAWALS.map(|how| (first, how)));
    for_each_variant(variants.as_flattened(), |(switch_first, how)| {
        let (fixture, switch) = fixture_with_switch("answer");
        let (caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
        caller.send(&set_up_message(&tag, 8000));
        let connection = switch.next_set_up(&tag).connection;
        fixture.stop();
        if switch_first {
            send_line(&connection, &started_message(&tag));
            send_health_checks(&caller);
        }
        let remaining_caller = withdraw(caller, &tag, how);
        if !switch_first {
            send_line(&connection, &started_message(&tag));
        }
        std::thread::sleep(CALLER_GONE_DELAY);
        fixture.resume();
        if let Some(mut caller) = remaining_caller {
            let caller_messages = received_so_far(&mut caller);
            let verbs = verbs_of_call(&caller_messages, &tag);
            assert!(verbs == ["FINISHED"] || verbs == ["STARTED", "FINISHED"], "{verbs:?}");
        }
        let switch_messages = fixture.assert_serves_further_calls(&switch);
        let released = switch_messages.iter().filter(|h| h.is_message("FINISH", &tag)).count();
        assert_eq!(released, 1, "releases");
    });
}

#[test]
fn call_is_released_at_switch_when_caller_leaves_before_answer_is_written() {
    for_each_variant(&[Withdrawal::Close, Withdrawal::Reset], |how| {
        let (fixture, switch) = fixture_with_switch("queued");
        // The kernel may free buffer space while a call is set up: then its answer has been written, and
        // another caller is tried.
        let held = (0..10).find_map(|_| {
            let (caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
            let filled = fill_caller(&fixture.gateway, &caller);
            caller.send(&set_up_message(&tag, 8000));
            let connection = switch.next_set_up(&tag).connection;
            send_line(&connection, &started_message(&tag));
            wait_until_handled(&switch, &connection);
            let (local, remote) = (caller.stream.local_addr().unwrap(), caller.stream.peer_addr().unwrap());
            (unread_bytes(remote, local) < filled).then_some((caller, tag))
        });
        let (caller, tag) = held.expect("an answer waits in the gateway");
        let _remaining_caller = withdraw(caller, &tag, how);
        let switch_messages = fixture.assert_serves_further_calls(&switch);
        let released = switch_messages.iter().filter(|h| h.is_message("FINISH", &tag)).count();
        assert_eq!(released, 1, "releases");
    });
}

#[test]
fn caller_disconnected_for_not_reading_counts_as_left() {
    let (fixture, switch) = fixture_with_switch("unread");
    let (caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
    caller.send(&set_up_message(&tag, 8000));
    let start = switch.next_set_up(&tag);
    // Either the gateway closes the connection, or it stops reading and the caller closes it.
    caller.stream.set_write_timeout(Some(GUARD)).unwrap();
    let checks = health_checks(64);
    while (&caller.stream).write_all(checks.as_bytes()).is_ok() {}
    drop(caller);
    let switch_messages = switch.receive_until("FINISH", &tag);
    assert!(switch_messages.last().unwrap().on_same_connection_as(&start), "on the connection of its set-up");
    assert_no_set_up(&fixture.assert_serves_further_calls(&switch));
}

#[test]
fn close_after_half_set_up_withdraws_complete_set_up_before_it() {
    for_each_variant(&[Withdrawal::Close, Withdrawal::Reset], |how| {
        let (fixture, switch) = fixture_with_switch("half");
        let (caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
        let half = &set_up_message(&new_call_id(), 8000).to_string()[..40];
        (&caller.stream).write_all(format!("{}\n{half}", set_up_message(&tag, 8000)).as_bytes()).unwrap();
        let start = switch.next_set_up(&tag);
        let _remaining_caller = withdraw(caller, &tag, how);
        let switch_messages = switch.receive_until("FINISH", &tag);
        assert!(
            switch_messages.last().unwrap().on_same_connection_as(&start),
            "on the connection of its set-up"
        );
        assert_no_set_up(&fixture.assert_serves_further_calls(&switch));
    });
}

#[test]
fn set_up_read_together_with_its_withdrawal_is_not_sent() {
    let (fixture, switch) = fixture_with_switch("same-read");
    // By then a connection is established, and the gateway has seen that the core switch answers quickly.
    assert_no_set_up(&fixture.assert_serves_further_calls(&switch));
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
    fixture.stop();
    (&caller.stream)
        .write_all(to_lines([&set_up_message(&tag, 8000), &finish_message(&tag, 16)]).as_bytes())
        .unwrap();
    std::thread::sleep(CALLER_GONE_DELAY);
    fixture.resume();
    assert_eq!(verbs_of_call(&received_so_far(&mut caller), &tag), ["FINISHED"]);
    assert_no_set_up(&fixture.assert_serves_further_calls(&switch));
}

#[test]
fn many_set_ups_read_together_with_their_withdrawals_are_not_sent() {
    for_each_variant(&[Withdrawal::Finish, Withdrawal::Close], |how| {
        let (fixture, switch) = fixture_with_switch("crowd");
        assert_no_set_up(&fixture.assert_serves_further_calls(&switch));
        let caller = connect_caller(&fixture.gateway);
        let tags: Vec<String> = (0..500).map(|_| new_call_id()).collect();
        let mut all = to_lines(&tags.iter().map(|t| set_up_message(t, 8000)).collect::<Vec<_>>());
        if how == Withdrawal::Finish {
            all += &to_lines(&tags.iter().map(|t| finish_message(t, 16)).collect::<Vec<_>>());
        }
        fixture.stop();
        (&caller.stream).write_all(all.as_bytes()).unwrap();
        let remaining_caller = Some(caller).filter(|_| how == Withdrawal::Finish);
        std::thread::sleep(CALLER_GONE_DELAY);
        fixture.resume();
        if let Some(mut caller) = remaining_caller {
            let caller_messages = received_so_far(&mut caller);
            assert!(
                tags.iter().all(|t| verbs_of_call(&caller_messages, t) == ["FINISHED"]),
                "each withdrawal is confirmed once"
            );
        }
        assert_no_set_up(&fixture.assert_serves_further_calls(&switch));
    });
}

#[test]
fn id_of_withdrawn_call_is_not_sent_again_within_guard() {
    let (fixture, switch) = fixture_with_switch("same-id");
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
    caller.send(&set_up_message(&tag, 8000));
    let first = switch.next_set_up(&tag);
    let withdrawn = Instant::now();
    (&caller.stream)
        .write_all(to_lines([&finish_message(&tag, 16), &set_up_message(&tag, 8000)]).as_bytes())
        .unwrap();
    assert_eq!(caller.receive().unwrap()["verb"], "FINISHED");
    // The gateway may refuse the second set-up or send it later.
    if verbs_of_call(&received_so_far(&mut caller), &tag).contains(&"FINISH") {
        return;
    }
    let again = switch.receive_until("START", &tag).pop().unwrap();
    let after = again.at - withdrawn;
    assert!(after >= GUARD, "sent again after {after:?}");
    assert!(
        !again.on_same_connection_as(&first),
        "on another connection: the id does not tell attempts apart"
    );
}

// ---- Further attempts ----
#[test]
fn switch_message_that_crosses_attempt_timeout_leads_to_one_consistent_answer() {
    let tag = "0000000000000001";
    for_each_variant(&["STARTED", "error", "reset"], |message| {
        let message = match message {
            "STARTED" => started_message(tag),
            "error" => finish_message(tag, 17),
            _ => finish_message(tag, 41),
        };
        let (fixture, switch) = fixture_with_switch("time-out");
        let mut caller = connect_caller(&fixture.gateway);
        // An attempt may take 1.8 s of these 2.4 s, so that an answer comes in time.
        caller.send(&set_up_message(tag, 2400));
        let connection = switch.next_set_up(tag).connection;
        let begun = Instant::now();
        fixture.stop();
        send_line(&connection, &message);
        std::thread::sleep(Duration::from_millis(1860).saturating_sub(begun.elapsed()));
        fixture.resume();
        let switch_messages = fixture.assert_serves_further_calls(&switch);
        assert_no_set_up(&switch_messages);
        let caller_messages = received_so_far(&mut caller);
        let answers = verbs_of_call(&caller_messages, tag);
        assert!(answers.len() == 1, "{message}: {answers:?}");
        let released = switch_messages.iter().filter(|h| h.is_message("FINISH", tag)).count();
        let agreed = match (answers[0], message["verb"].as_str()) {
            ("STARTED", Some("STARTED")) => released == 0,
            ("FINISH", Some("STARTED")) => released == 1,
            (answer, _) => answer == "FINISH" && released <= 1,
        };
        assert!(agreed, "{message}: the caller received {answers:?}, the core switch {released} releases");
    });
}

#[test]
fn answer_after_attempt_timeout_is_not_forwarded_and_its_call_is_released() {
    let (fixture, switch) = fixture_with_switch("late");
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
    caller.send(&set_up_message(&tag, 400));
    let start = switch.next_set_up(&tag);
    assert_eq!(caller.receive().unwrap()["verb"], "FINISH");
    (&*start.connection)
        .write_all(to_lines([&started_message(&tag), &started_message(&tag)]).as_bytes())
        .unwrap();
    let switch_messages = switch.receive_until("FINISH", &tag);
    assert!(switch_messages.last().unwrap().on_same_connection_as(&start));
    assert_no_set_up(&fixture.assert_serves_further_calls(&switch));
    assert_eq!(verbs_of_call(&received_so_far(&mut caller), &tag), [""; 0], "one answer");
}

#[test]
fn answer_after_reset_of_attempt_is_released_and_next_attempt_continues() {
    let (fixture, switch) = fixture_with_switch("reset-answer");
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
    caller.send(&set_up_message(&tag, 8000));
    let first = switch.next_set_up(&tag);
    let reset = Instant::now();
    (&*first.connection)
        .write_all(to_lines([&finish_message(&tag, 41), &started_message(&tag)]).as_bytes())
        .unwrap();
    let mut switch_messages = switch.receive_until("START", &tag);
    let second = switch_messages.pop().unwrap();
    assert!(second.at - reset >= GUARD && !second.on_same_connection_as(&first));
    send_line(&second.connection, &started_message(&tag));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    switch_messages.extend(fixture.assert_serves_further_calls(&switch));
    let released: Vec<bool> = switch_messages
        .iter()
        .filter(|h| h.is_message("FINISH", &tag))
        .map(|h| h.on_same_connection_as(&first))
        .collect();
    assert_eq!(released, [true], "the call of the first attempt is released, the second's is not");
    assert_eq!(verbs_of_call(&received_so_far(&mut caller), &tag), [""; 0], "one answer");
}

#[test]
fn late_answer_of_abandoned_switch_is_released_only_there() {
    let ((one, at_one), (two, at_two)) = (listen(), listen());
    let fixture = start_fixture("left-behind", &[at_one, at_two]);
    let switches = [CoreSwitch::reading(one, Vec::new()), CoreSwitch::reading(two, Vec::new())];
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
    caller.send(&set_up_message(&tag, 8000));
    // Either switch may get the first attempt; the next attempt goes to the other one.
    let begun = Instant::now();
    let (first, first_index) = loop {
        let arrived =
            switches.iter().enumerate().find_map(|(n, p)| p.received.try_recv().ok().map(|h| (h, n)));
        if let Some(arrived) = arrived.filter(|(h, _)| h.is_message("START", &tag)) {
            break arrived;
        }
        assert!(begun.elapsed() < TIMEOUT, "no set-up came");
        std::thread::yield_now();
    };
    send_line(&first.connection, &finish_message(&tag, 41));
    let second = switches[1 - first_index].next_set_up(&tag);
    send_line(&second.connection, &started_message(&tag));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    send_line(&first.connection, &started_message(&tag));
    switches[first_index].receive_until("FINISH", &tag);
    send_line(&second.connection, &finish_message(&tag, 16));
    let switch_messages = switches[1 - first_index].receive_until("FINISHED", &tag);
    assert!(
        !switch_messages.iter().any(|h| h.is_message("FINISH", &tag)),
        "the call stays established at the second switch"
    );
    assert_eq!(
        verbs_of_call(&received_so_far(&mut caller), &tag),
        ["FINISH"],
        "its release and no second answer"
    );
}

#[test]
fn duplicate_answer_neither_reaches_caller_nor_ends_call() {
    let (fixture, switch) = fixture_with_switch("copy");
    let (mut caller, tag, connection) = establish_call(&fixture, &switch);
    send_line(&connection, &started_message(&tag));
    let switch_messages = fixture.assert_serves_further_calls(&switch);
    assert!(!switch_messages.iter().any(|h| h.is_message("FINISH", &tag)), "the call stays established");
    assert_eq!(verbs_of_call(&received_so_far(&mut caller), &tag), [""; 0], "one answer");
    caller.send(&finish_message(&tag, 16));
    switch.receive_until("FINISH", &tag);
    assert_eq!(verbs_of_call(&received_so_far(&mut caller), &tag), ["FINISHED"]);
}

#[test]
fn guard_that_ends_with_time_of_call_leads_to_one_answer_and_no_further_attempt() {
    let (fixture, switch) = fixture_with_switch("guard-end");
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
    caller.send(&set_up_message(&tag, 2400));
    let connection = switch.next_set_up(&tag).connection;
    let begun = Instant::now();
    // Attempts may be made for 1.8 s of the 2.4 s; the guard ends at that time.
    std::thread::sleep(Duration::from_millis(1600).saturating_sub(begun.elapsed()));
    send_line(&connection, &finish_message(&tag, 41));
    wait_until_handled(&switch, &connection);
    fixture.stop();
    std::thread::sleep(Duration::from_millis(1860).saturating_sub(begun.elapsed()));
    fixture.resume();
    assert_eq!(caller.receive().unwrap()["verb"], "FINISH");
    assert_no_set_up(&fixture.assert_serves_further_calls(&switch));
    assert_eq!(verbs_of_call(&received_so_far(&mut caller), &tag), [""; 0], "one answer");
}

#[test]
fn no_set_up_is_sent_on_connection_established_after_attempt_gave_up() {
    let (full_backlog, address) = FullBacklog::new();
    let fixture = start_fixture("stale", &[address]);
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
    caller.send(&set_up_message(&tag, 400));
    assert_eq!(caller.receive().unwrap()["verb"], "FINISH");
    let (listener, connection) = full_backlog.open();
    assert_no_set_up(&fixture.assert_serves_further_calls(&CoreSwitch::reading(listener, vec![connection])));
    assert_eq!(verbs_of_call(&received_so_far(&mut caller), &tag), [""; 0], "one answer");
}

#[test]
fn no_set_up_is_sent_on_connection_established_as_time_of_call_ends() {
    // Several runs, as the gateway may see either event first.
    for_each_variant(&[1, 2, 3, 4], |_| {
        let (full_backlog, address) = FullBacklog::new();
        let fixture = start_fixture("stale-held", &[address]);
        let (mut caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
        caller.send(&set_up_message(&tag, 800));
        received_so_far(&mut caller);
        let begun = Instant::now();
        fixture.stop();
        let (listener, connection) = full_backlog.open();
        std::thread::sleep(Duration::from_millis(900).saturating_sub(begun.elapsed()));
        fixture.resume();
        assert_no_set_up(
            &fixture.assert_serves_further_calls(&CoreSwitch::reading(listener, vec![connection])),
        );
        assert!(verbs_of_call(&received_so_far(&mut caller), &tag).len() <= 1);
    });
}

// ---- Established calls ----
/// Establishes a call and returns its caller, its id and the connection to the core switch.
fn establish_call(fixture: &Fixture, switch: &CoreSwitch) -> (Caller, String, Arc<TcpStream>) {
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
    caller.send(&set_up_message(&tag, 6000));
    let connection = switch.next_set_up(&tag).connection;
    send_line(&connection, &started_message(&tag));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    (caller, tag, connection)
}

#[test]
fn call_released_by_both_sides_at_once_is_released_once_to_each() {
    for_each_variant(&[false, true], |switch_first| {
        let (fixture, switch) = fixture_with_switch("both");
        let (mut caller, tag, connection) = establish_call(&fixture, &switch);
        fixture.stop();
        if switch_first {
            send_line(&connection, &finish_message(&tag, 16));
            send_health_checks(&caller);
        }
        caller.send(&finish_message(&tag, 16));
        if !switch_first {
            send_line(&connection, &finish_message(&tag, 16));
        }
        fixture.resume();
        let switch_messages = fixture.assert_serves_further_calls(&switch);
        let caller_messages = received_so_far(&mut caller);
        let of_caller = verbs_of_call(&caller_messages, &tag);
        let count = |verb| of_caller.iter().filter(|v| **v == verb).count();
        assert!(count("FINISH") <= 1 && count("FINISHED") == 1, "{of_caller:?}");
        let released = switch_messages.iter().filter(|h| h.is_message("FINISH", &tag)).count();
        assert!(released + count("FINISH") <= 2 && released <= 1, "{released} {of_caller:?}");
    });
}

#[test]
fn release_reaches_caller_when_switch_connection_closes_right_after_it() {
    for_each_variant(&[false, true], |reset| {
        let (listener, address) = listen();
        let fixture = start_fixture("closed-behind", &[address]);
        let (connection, _) = listener.accept().unwrap();
        let switch = CoreSwitch::reading(listener.try_clone().unwrap(), Vec::new());
        let (mut caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
        caller.send(&set_up_message(&tag, 6000));
        let mut reader = BufReader::new(&connection);
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        assert!(line.contains(&tag));
        send_line(&connection, &started_message(&tag));
        assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
        fixture.stop();
        send_line(&connection, &finish_message(&tag, 16));
        if reset {
            rustix::net::sockopt::set_socket_linger(&connection, Some(Duration::ZERO)).unwrap();
        }
        drop(connection);
        // The gateway has a message to write to the switch at the same time.
        let next = new_call_id();
        caller.send(&set_up_message(&next, 6000));
        fixture.resume();
        // A reset may have discarded the release: the switch then sends it again on the next connection, as
        // the protocol asks.
        let start = switch.next_set_up(&next);
        if reset {
            send_line(&start.connection, &finish_message(&tag, 16));
        }
        let release = caller.receive().unwrap();
        assert_eq!((&release["verb"], &release["tag"]), (&json!("FINISH"), &json!(tag)));
        send_line(&start.connection, &started_message(&next));
        let caller_messages = received_so_far(&mut caller);
        assert_eq!(verbs_of_call(&caller_messages, &tag), [""; 0], "once");
        fixture.assert_serves_further_calls(&switch);
    });
}

/// Asserts that the release of a call whose caller has disconnected is sent on the next connection on which a
/// call is established.
fn assert_release_sent_on_next_connection(fixture: &Fixture, switch: &CoreSwitch, tag: &str) {
    let (mut other, next) = (connect_caller(&fixture.gateway), new_call_id());
    other.send(&set_up_message(&next, 6000));
    let connection = switch.next_set_up(&next).connection;
    send_line(&connection, &started_message(&next));
    wait_until_handled(switch, &connection);
    let caller_messages = received_so_far(&mut other);
    assert_eq!(verbs_of_call(&caller_messages, &next), ["STARTED"]);
    assert_eq!(
        verbs_of_call(&caller_messages, tag),
        ["FINISH"],
        "sent on the next connection on which a call is established"
    );
}

#[test]
fn release_for_disconnected_caller_is_sent_on_next_connection_with_established_call() {
    for_each_variant(&[Withdrawal::Close, Withdrawal::Reset], |how| {
        let (fixture, switch) = fixture_with_switch("next");
        let (caller, tag, connection) = establish_call(&fixture, &switch);
        withdraw(caller, &tag, how);
        received_so_far(&mut connect_caller(&fixture.gateway));
        send_line(&connection, &finish_message(&tag, 16));
        switch.receive_until("FINISHED", &tag);
        assert_release_sent_on_next_connection(&fixture, &switch, &tag);
    });
}

#[test]
fn release_that_crosses_close_of_callers_last_connection_is_sent_on_next_one() {
    let variants = [
        (Withdrawal::Close, false),
        (Withdrawal::Reset, false),
        (Withdrawal::Close, true),
        (Withdrawal::Reset, true),
    ];
    for_each_variant(&variants, |(how, switch_first)| {
        let (fixture, switch) = fixture_with_switch("next-crossing");
        let (caller, tag, connection) = establish_call(&fixture, &switch);
        fixture.stop();
        if switch_first {
            send_line(&connection, &finish_message(&tag, 16));
            send_health_checks(&caller);
        }
        withdraw(caller, &tag, how);
        if !switch_first {
            send_line(&connection, &finish_message(&tag, 16));
        }
        fixture.resume();
        switch.receive_until("FINISHED", &tag);
        assert_release_sent_on_next_connection(&fixture, &switch, &tag);
    });
}

/// A caller's report to the gateway that a call is established at `s-1`.
fn established_call_report(tag: &str) -> Value {
    json!({"verb": "START", "tag": tag, "blob": "offer", "opts": {"class": "voice", "extras": "at:s-1"}})
}

#[test]
fn call_reported_established_as_its_answer_arrives_gets_answer_and_one_release() {
    for_each_variant(&[false, true], |switch_first| {
        let (fixture, switch) = fixture_with_switch("at-other");
        let (mut caller, mut other) = (connect_caller(&fixture.gateway), connect_caller(&fixture.gateway));
        let tag = new_call_id();
        caller.send(&set_up_message(&tag, 6000));
        let connection = switch.next_set_up(&tag).connection;
        fixture.stop();
        if switch_first {
            send_line(&connection, &started_message(&tag));
        }
        other.send(&established_call_report(&tag));
        if !switch_first {
            send_line(&connection, &started_message(&tag));
        }
        fixture.resume();
        assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
        assert_eq!(
            verbs_of_call(&received_so_far(&mut other), &tag),
            [""; 0],
            "a report of an established call gets no answer"
        );
        send_line(&connection, &finish_message(&tag, 16));
        switch.receive_until("FINISHED", &tag);
        let (caller, other) = (received_so_far(&mut caller), received_so_far(&mut other));
        // All callers count as one party, so the release may be sent on the connection of any of them.
        let released = [verbs_of_call(&caller, &tag), verbs_of_call(&other, &tag)].concat();
        assert_eq!(released, ["FINISH"]);
    });
}

#[test]
fn call_reported_established_on_connection_of_its_open_set_up_gets_one_answer() {
    let (fixture, switch) = fixture_with_switch("at-same");
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_call_id());
    caller.send(&set_up_message(&tag, 6000));
    let connection = switch.next_set_up(&tag).connection;
    // The report gets no answer and may name a call that the gateway has in hand.
    caller.send(&established_call_report(&tag));
    assert_eq!(verbs_of_call(&received_so_far(&mut caller), &tag), [""; 0]);
    send_line(&connection, &started_message(&tag));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    send_line(&connection, &finish_message(&tag, 16));
    assert_eq!(verbs_of_call(&[caller.receive().unwrap()], &tag), ["FINISH"]);
    let switch_messages = fixture.assert_serves_further_calls(&switch);
    assert!(
        !switch_messages.iter().any(|h| h.is_message("FINISH", &tag)),
        "the core switch has released it itself"
    );
}
