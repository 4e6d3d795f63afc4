//! Races between events on real connections, in the unfavourable order: actions of a caller against those of
//! a core switch, and both against timeouts. The order is forced: the gateway is paused (SIGSTOP) until both
//! are in its sockets, or a peer does not read. Sleeps only let a timeout elapse while the gateway is paused;
//! no result depends on their exact length.

mod platform;

use std::fmt::Debug;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use platform::{Caller, Gateway, NameServer, Zone, config, free_address, send_line};
use rustix::process::Signal;
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(6);
/// Time after which a departed caller counts as gone: 0.1 s by specification, plus a margin.
const DEPARTURE_TIME: Duration = Duration::from_millis(150);
/// The guard time in the settings.
const GUARD: Duration = Duration::from_millis(200);
/// Longer than the guard and the interval at which held calls are reconsidered.
const AFTER_GUARD: Duration = Duration::from_millis(500);

// Core switches.
/// A line received by a core switch.
struct ReceivedLine {
    link: Arc<TcpStream>,
    line: Value,
    at: Instant,
}

impl ReceivedLine {
    fn is_message(&self, verb: &str, tag: &str) -> bool {
        self.line["verb"] == verb && self.line["tag"] == tag
    }

    /// Whether both lines came on the same connection.
    fn is_same_connection(&self, other: &ReceivedLine) -> bool {
        self.link.peer_addr().unwrap() == other.link.peer_addr().unwrap()
    }
}

/// A core switch that reads from all its connections.
struct CoreSwitch {
    heard: Receiver<ReceivedLine>,
}

fn read_lines(stream: TcpStream, send: Sender<ReceivedLine>) {
    let link = Arc::new(stream);
    std::thread::spawn(move || {
        let reader = BufReader::new(link.try_clone().unwrap());
        for line in reader.lines().map_while(Result::ok) {
            let line = serde_json::from_str(&line).expect("complete lines of JSON");
            if send.send(ReceivedLine { link: link.clone(), line, at: Instant::now() }).is_err() {
                return;
            }
        }
    });
}

impl CoreSwitch {
    /// Reads these connections, and those that the listener accepts.
    fn accepting(listener: TcpListener, links: Vec<TcpStream>) -> Self {
        let (send, heard) = channel();
        links.into_iter().for_each(|link| read_lines(link, send.clone()));
        std::thread::spawn(move || {
            listener.incoming().flatten().for_each(|link| read_lines(link, send.clone()));
        });
        Self { heard }
    }

    /// All lines up to and including the first with this verb and tag.
    fn receive_until(&self, verb: &str, tag: &str) -> Vec<ReceivedLine> {
        let mut all: Vec<ReceivedLine> = Vec::new();
        while all.last().is_none_or(|h| !h.is_message(verb, tag)) {
            let heard = self.heard.recv_timeout(TIMEOUT);
            let before = || all.iter().map(|h| h.line.to_string()).collect::<Vec<_>>();
            all.push(heard.unwrap_or_else(|_| panic!("no {verb} of {tag} came, but {:?}", before())));
        }
        all
    }

    /// The next set-up, which must be that of this call.
    fn next_start(&self, tag: &str) -> ReceivedLine {
        let mut all = self.receive_until("START", tag);
        let start = all.pop().unwrap();
        assert_no_set_up(&all);
        start
    }
}

fn assert_no_set_up(heard: &[ReceivedLine]) {
    let starts: Vec<String> =
        heard.iter().filter(|h| h.line["verb"] == "START").map(|h| h.line["tag"].to_string()).collect();
    assert!(starts.is_empty(), "set up although no caller waits for it: {starts:?}");
}

fn new_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A core switch whose listen queue is full: one further connection waits until `open` is called.
struct FullListener {
    listener: TcpListener,
    _queued: TcpStream,
}

impl FullListener {
    fn new() -> (Self, SocketAddr) {
        let (listener, address) = new_listener();
        rustix::net::listen(&listener, 0).unwrap();
        let queued = TcpStream::connect(address).unwrap();
        (Self { listener, _queued: queued }, address)
    }

    /// Empties the queue and accepts the gateway's connection, which the kernel retries once a second.
    fn open(self) -> (TcpListener, TcpStream) {
        drop(self.listener.accept().unwrap());
        rustix::net::listen(&self.listener, 128).unwrap();
        let (link, _) = self.listener.accept().unwrap();
        (self.listener, link)
    }
}

// Callers.
fn new_tag() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0xca11_0000_0000_0000);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

fn set_up_line(tag: &str, left_ms: u64) -> Value {
    // Each call has its own number, so that no call waits until another's number is free.
    json!({"verb": "START", "tag": tag, "blob": "offer",
        "opts": {"class": "voice", "left": left_ms.to_string(), "key": tag}})
}

fn started(tag: &str) -> Value {
    json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": format!("answer\r\n{tag}")})
}

fn finish(tag: &str, rc: i64) -> Value {
    json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": rc})
}

/// Reports the number of free circuits of a core switch.
fn free_circuits(free: u32) -> Value {
    json!({"verb": "LOAD", "tag": new_tag(), "opts": {"load": format!("free:{free};size:9")}})
}

fn to_lines<'a>(lines: impl IntoIterator<Item = &'a Value>) -> String {
    lines.into_iter().map(|line| format!("{line}\n")).collect()
}

fn connect_caller(gateway: &Gateway) -> Caller {
    let caller = gateway.connect_caller();
    caller.stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    caller
}

/// Returns the lines that the caller has received by now. The gateway has then read everything that the
/// caller sent.
fn receive_pending(caller: &mut Caller) -> Vec<Value> {
    let test = new_tag();
    caller.send(&json!({"verb": "ECHO", "tag": test, "opts": {}, "rc": 0}));
    let mut told = Vec::new();
    loop {
        let line = caller.receive().expect("the connection stays open");
        if line["verb"] == "ECHOED" && line["tag"] == test {
            return told;
        }
        told.push(line);
    }
}

/// Verbs of the lines about this call.
fn verbs_of<'a>(told: &'a [Value], tag: &str) -> Vec<&'a str> {
    told.iter().filter(|l| l["tag"] == tag).map(|l| l["verb"].as_str().unwrap()).collect()
}

/// How a caller leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    Finish,
    Close,
    Reset,
}

const DEPARTURES: [Departure; 3] = [Departure::Finish, Departure::Close, Departure::Reset];

/// Lets the caller of this call leave. Returns its connection if it leaves by a message.
fn depart(caller: Caller, tag: &str, how: Departure) -> Option<Caller> {
    match how {
        Departure::Finish => {
            caller.send(&finish(tag, 16));
            return Some(caller);
        }
        // A child process being started by another test holds copies of all descriptors for some
        // milliseconds, so that `close` alone might take effect late.
        Departure::Close => caller.stream.shutdown(std::net::Shutdown::Both).unwrap(),
        Departure::Reset => {
            rustix::net::sockopt::set_socket_linger(&caller.stream, Some(Duration::ZERO)).unwrap();
            let (ours, theirs) = (caller.stream.local_addr().unwrap(), caller.stream.peer_addr().unwrap());
            drop(caller);
            let begun = Instant::now();
            while queue_length(&tcp_table(), ours, theirs, 0).is_some() {
                assert!(begun.elapsed() < TIMEOUT, "the connection is not reset");
                std::thread::yield_now();
            }
        }
    }
    None
}

fn health_checks(count: usize) -> String {
    to_lines(std::iter::repeat_n(&json!({"verb": "ECHO", "tag": new_tag(), "opts": {}, "rc": 0}), count))
}

/// Sends many health checks, so that the next input of this caller comes after them: a gateway that processes
/// some lines of each connection in turn reaches the other connections first.
fn send_many_lines(caller: &Caller) {
    (&caller.stream).write_all(health_checks(400).as_bytes()).unwrap();
}

// The gateway.
struct Fixture {
    gateway: Gateway,
    _name_server: NameServer,
}

fn fixture(test: &str, switches: &[SocketAddr]) -> Fixture {
    let ids = ["s-1", "s-2"];
    let known: Vec<(&str, SocketAddr)> = ids.into_iter().zip(switches.iter().copied()).collect();
    let switches = known.iter().map(|(id, address)| ((*id).to_owned(), *address)).collect();
    let names = NameServer::new(Zone { serial: 1, switches, ..Zone::default() });
    let mut config = config(free_address(), names.address, &known);
    config["settings"]["policyLimits"]["dialTimeoutNs"] = json!(5_000_000_000u64);
    Fixture {
        gateway: Gateway::start(&format!("crossings-{test}-{}", new_tag()), &config),
        _name_server: names,
    }
}

/// A gateway with one core switch that reads.
fn fixture_with_switch(test: &str) -> (Fixture, CoreSwitch) {
    let (listener, address) = new_listener();
    (fixture(test, &[address]), CoreSwitch::accepting(listener, Vec::new()))
}

impl Fixture {
    /// Pauses the gateway; what is sent to it from now on waits in its sockets.
    fn pause(&self) {
        self.gateway.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.gateway.id());
        let begun = Instant::now();
        let state = |stat: String| stat.rsplit(") ").next().and_then(|s| s.chars().next());
        while state(std::fs::read_to_string(&stat).unwrap()) != Some('T') {
            assert!(begun.elapsed() < TIMEOUT, "the gateway does not stop");
            std::thread::yield_now();
        }
    }

    fn resume(&self) {
        self.gateway.signal(Signal::CONT);
    }

    /// Asserts that further calls are set up, now and after held calls were reconsidered. Returns all other
    /// lines that the core switch received meanwhile.
    fn assert_still_serving(&self, switch: &CoreSwitch) -> Vec<ReceivedLine> {
        let mut all = Vec::new();
        for pause in [AFTER_GUARD, Duration::ZERO] {
            let (mut caller, tag) = (connect_caller(&self.gateway), new_tag());
            caller.send(&set_up_line(&tag, 6000));
            all.extend(switch.receive_until("START", &tag));
            send_line(&all.last().unwrap().link, &started(&tag));
            assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
            std::thread::sleep(pause);
            caller.send(&finish(&tag, 16));
            all.extend(switch.receive_until("FINISH", &tag));
            all.retain(|h| h.line["tag"] != *tag);
        }
        all
    }
}

/// Waits until the gateway has processed everything sent on this connection.
fn wait_until_processed(switch: &CoreSwitch, link: &TcpStream) {
    let unknown = new_tag();
    send_line(link, &finish(&unknown, 16));
    assert_no_set_up(&switch.receive_until("FINISHED", &unknown));
}

/// Bytes in the kernel that were written from one address to another and are not yet read. Received bytes
/// that are not yet acknowledged count twice for some milliseconds. Connections opened and closed while the
/// table is read can hide others, so the table is read again if this connection is missing.
fn in_flight(from: SocketAddr, to: SocketAddr) -> usize {
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

/// Bytes that wait at this end of a connection, to be sent (0) or read (1).
fn queue_length(table: &str, local: SocketAddr, remote: SocketAddr, which: usize) -> Option<usize> {
    let hex = |address: SocketAddr| match address {
        SocketAddr::V4(a) => format!("{:08X}:{:04X}", u32::from_ne_bytes(a.ip().octets()), a.port()),
        SocketAddr::V6(_) => unreachable!("all is on 127.0.0.0/8"),
    };
    let (local, remote) = (hex(local), hex(remote));
    let mut rows = table.lines().map(|l| l.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|r| r.len() > 4 && r[1] == local && r[2] == remote)?;
    usize::from_str_radix(row[4].split(':').nth(which)?, 16).ok()
}

/// Sends this line repeatedly on a connection where the gateway's answers are not read, until the kernel
/// accepts no more of them and some wait in the gateway. Returns the bytes of all answers.
fn fill_send_buffer(gateway: &Gateway, mut link: &TcpStream, line: &Value, answer: &Value) -> usize {
    let (line, answer) = (to_lines([line]).repeat(500), 500 * to_lines([answer]).len());
    let mut other = connect_caller(gateway);
    let (ours, theirs) = (link.local_addr().unwrap(), link.peer_addr().unwrap());
    for said in 1..1200 {
        link.write_all(line.as_bytes()).unwrap();
        // Checked again once received bytes have been acknowledged, which may make room for more.
        let full = is_full(&mut other, ours, theirs, said * answer) && {
            std::thread::sleep(Duration::from_millis(100));
            is_full(&mut other, ours, theirs, said * answer)
        };
        if full {
            return said * answer;
        }
    }
    panic!("the connection never fills up");
}

/// Fills the connection of a core switch that does not read with answers to releases of an unknown call.
fn fill_switch_connection(gateway: &Gateway, link: &TcpStream) {
    let tag = new_tag();
    let answer = json!({"verb": "FINISHED", "tag": tag, "opts": {}});
    fill_send_buffer(gateway, link, &finish(&tag, 16), &answer);
}

/// Fills the connection of a caller that does not read with answers to health checks.
fn fill_caller_connection(gateway: &Gateway, caller: &Caller) -> usize {
    let test = json!({"verb": "ECHO", "tag": new_tag(), "opts": {}, "rc": 0});
    let answer = json!({"verb": "ECHOED", "tag": new_tag(), "opts": {}, "rc": 1});
    fill_send_buffer(gateway, &caller.stream, &test, &answer)
}

/// Bytes that a loopback connection accepts in any case although its other end does not read (tcp(7):
/// tcp_wmem, 4 MB). Only beyond this is it checked closely.
const MIN_SOCKET_CAPACITY: usize = 2 * 1024 * 1024;

/// Whether some of these bytes wait in the gateway once it has read everything sent to it.
fn is_full(other: &mut Caller, ours: SocketAddr, theirs: SocketAddr, expected: usize) -> bool {
    if expected < MIN_SOCKET_CAPACITY {
        return false;
    }
    receive_pending(other);
    if in_flight(theirs, ours) >= expected {
        return false;
    }
    while in_flight(ours, theirs) > 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    // The gateway processes a few lines per turn, and each of these calls takes at least one turn.
    loop {
        let before = in_flight(theirs, ours);
        for _ in 0..10 {
            if in_flight(theirs, ours) >= expected {
                return false;
            }
            (0..10).for_each(|_| drop(receive_pending(other)));
        }
        if in_flight(theirs, ours) == before {
            return before < expected;
        }
    }
}

/// Runs all variants in parallel and reports each one that fails.
fn run_all<T: Copy + Debug + Send + Sync>(variants: &[T], test: impl Fn(T) + Sync) {
    let failed: Vec<T> = std::thread::scope(|scope| {
        let runs: Vec<_> = variants.iter().map(|v| (*v, scope.spawn(|| test(*v)))).collect();
        runs.into_iter().filter_map(|(v, run)| run.join().is_err().then_some(v)).collect()
    });
    assert!(failed.is_empty(), "fails for {failed:?}");
}

// The caller has left.
#[test]
fn call_held_for_capacity_is_not_set_up_if_its_caller_leaves_as_capacity_is_freed() {
    run_all(&DEPARTURES, |how| {
        let (fixture, switch) = fixture_with_switch("held");
        let (mut first, mut second) = (connect_caller(&fixture.gateway), connect_caller(&fixture.gateway));
        let (out, held) = (new_tag(), new_tag());
        first.send(&set_up_line(&out, 8000));
        let link = switch.next_start(&out).link;
        send_line(&link, &started(&out));
        // Nothing more is sent to a switch that has reported that no circuit is free.
        send_line(&link, &free_circuits(0));
        wait_until_processed(&switch, &link);
        second.send(&set_up_line(&held, 8000));
        receive_pending(&mut second);
        fixture.pause();
        send_line(&link, &finish(&out, 16));
        send_line(&link, &free_circuits(9));
        send_many_lines(&second);
        let _gone = depart(second, &held, how);
        std::thread::sleep(DEPARTURE_TIME);
        fixture.resume();
        let told = [first.receive().unwrap(), first.receive().unwrap()];
        assert_eq!(verbs_of(&told, &out), ["STARTED", "FINISH"]);
        assert_no_set_up(&fixture.assert_still_serving(&switch));
    });
}

#[test]
fn call_is_not_retried_if_its_caller_leaves_as_the_guard_ends() {
    run_all(&DEPARTURES, |how| {
        let (fixture, switch) = fixture_with_switch("guard");
        let (caller, tag) = (connect_caller(&fixture.gateway), new_tag());
        caller.send(&set_up_line(&tag, 8000));
        let link = switch.next_start(&tag).link;
        send_line(&link, &finish(&tag, 41));
        wait_until_processed(&switch, &link);
        fixture.pause();
        send_many_lines(&caller);
        let _gone = depart(caller, &tag, how);
        std::thread::sleep(AFTER_GUARD);
        fixture.resume();
        assert_no_set_up(&fixture.assert_still_serving(&switch));
    });
}

#[test]
fn nothing_is_sent_for_a_caller_that_leaves_during_the_connect() {
    run_all(&DEPARTURES, |how| {
        let (full_listener, address) = FullListener::new();
        let fixture = fixture("dialled", &[address]);
        let (mut caller, tag) = (connect_caller(&fixture.gateway), new_tag());
        caller.send(&set_up_line(&tag, 8000));
        receive_pending(&mut caller);
        let mut gone = depart(caller, &tag, how);
        if let Some(caller) = &mut gone {
            assert_eq!(verbs_of(&receive_pending(caller), &tag), ["FINISHED"]);
        }
        let (listener, link) = full_listener.open();
        assert_no_set_up(&fixture.assert_still_serving(&CoreSwitch::accepting(listener, vec![link])));
    });
}

#[test]
fn new_connection_carries_no_set_up_of_a_caller_that_leaves_as_it_is_established() {
    run_all(&DEPARTURES, |how| {
        let (full_listener, address) = FullListener::new();
        let fixture = fixture("comes-up", &[address]);
        let (mut caller, tag) = (connect_caller(&fixture.gateway), new_tag());
        caller.send(&set_up_line(&tag, 8000));
        receive_pending(&mut caller);
        fixture.pause();
        let (listener, link) = full_listener.open();
        send_many_lines(&caller);
        let _gone = depart(caller, &tag, how);
        std::thread::sleep(DEPARTURE_TIME);
        fixture.resume();
        assert_no_set_up(&fixture.assert_still_serving(&CoreSwitch::accepting(listener, vec![link])));
    });
}

#[test]
fn unwritten_set_up_is_not_written_after_its_caller_has_left() {
    run_all(&DEPARTURES, |how| {
        let (listener, address) = new_listener();
        let fixture = fixture("unwritten", &[address]);
        let (link, _) = listener.accept().unwrap();
        fill_switch_connection(&fixture.gateway, &link);
        let (mut caller, tag) = (connect_caller(&fixture.gateway), new_tag());
        let mut long = set_up_line(&tag, 8000);
        long["blob"] = json!("x".repeat(15_000));
        caller.send(&long);
        receive_pending(&mut caller);
        let _gone = depart(caller, &tag, how);
        // The caller has been gone for longer than the specified time, and the gateway knows.
        receive_pending(&mut self::connect_caller(&fixture.gateway));
        std::thread::sleep(DEPARTURE_TIME);
        assert_no_set_up(&fixture.assert_still_serving(&CoreSwitch::accepting(listener, vec![link])));
    });
}

#[test]
fn answer_that_crosses_the_callers_departure_is_released_at_the_core_switch() {
    let variants = [false, true].map(|first| DEPARTURES.map(|how| (first, how)));
    run_all(variants.as_flattened(), |(switch_first, how)| {
        let (fixture, switch) = fixture_with_switch("answer");
        let (caller, tag) = (connect_caller(&fixture.gateway), new_tag());
        caller.send(&set_up_line(&tag, 8000));
        let link = switch.next_start(&tag).link;
        fixture.pause();
        if switch_first {
            send_line(&link, &started(&tag));
            send_many_lines(&caller);
        }
        let gone = depart(caller, &tag, how);
        if !switch_first {
            send_line(&link, &started(&tag));
        }
        std::thread::sleep(DEPARTURE_TIME);
        fixture.resume();
        if let Some(mut caller) = gone {
            let told = receive_pending(&mut caller);
            let verbs = verbs_of(&told, &tag);
            assert!(verbs == ["FINISHED"] || verbs == ["STARTED", "FINISHED"], "{verbs:?}");
        }
        let heard = fixture.assert_still_serving(&switch);
        let released = heard.iter().filter(|h| h.is_message("FINISH", &tag)).count();
        assert_eq!(released, 1, "releases");
    });
}

#[test]
fn answer_that_was_not_written_before_its_caller_left_is_released() {
    run_all(&[Departure::Close, Departure::Reset], |how| {
        let (fixture, switch) = fixture_with_switch("queued");
        // The kernel may make room for more while a call is set up. Then the answer has been written, and
        // another call is tried.
        let held = (0..10).find_map(|_| {
            let (caller, tag) = (connect_caller(&fixture.gateway), new_tag());
            let filled = fill_caller_connection(&fixture.gateway, &caller);
            caller.send(&set_up_line(&tag, 8000));
            let link = switch.next_start(&tag).link;
            send_line(&link, &started(&tag));
            wait_until_processed(&switch, &link);
            let (ours, theirs) = (caller.stream.local_addr().unwrap(), caller.stream.peer_addr().unwrap());
            (in_flight(theirs, ours) < filled).then_some((caller, tag))
        });
        let (caller, tag) = held.expect("an answer waits in the gateway");
        let _gone = depart(caller, &tag, how);
        let heard = fixture.assert_still_serving(&switch);
        let released = heard.iter().filter(|h| h.is_message("FINISH", &tag)).count();
        assert_eq!(released, 1, "releases");
    });
}

#[test]
fn disconnecting_a_caller_that_does_not_read_counts_as_its_departure() {
    let (fixture, switch) = fixture_with_switch("unread");
    let (caller, tag) = (connect_caller(&fixture.gateway), new_tag());
    caller.send(&set_up_line(&tag, 8000));
    let start = switch.next_start(&tag);
    // The gateway disconnects the caller, or, if the gateway stops reading, the caller closes the connection
    // itself.
    caller.stream.set_write_timeout(Some(GUARD)).unwrap();
    let crowd = health_checks(64);
    while (&caller.stream).write_all(crowd.as_bytes()).is_ok() {}
    drop(caller);
    let heard = switch.receive_until("FINISH", &tag);
    assert!(heard.last().unwrap().is_same_connection(&start), "on the connection of its set-up");
    assert_no_set_up(&fixture.assert_still_serving(&switch));
}

#[test]
fn close_after_half_a_set_up_withdraws_the_complete_set_ups_before_it() {
    run_all(&[Departure::Close, Departure::Reset], |how| {
        let (fixture, switch) = fixture_with_switch("half");
        let (caller, tag) = (connect_caller(&fixture.gateway), new_tag());
        let half = &set_up_line(&new_tag(), 8000).to_string()[..40];
        (&caller.stream).write_all(format!("{}\n{half}", set_up_line(&tag, 8000)).as_bytes()).unwrap();
        let start = switch.next_start(&tag);
        let _gone = depart(caller, &tag, how);
        let heard = switch.receive_until("FINISH", &tag);
        assert!(heard.last().unwrap().is_same_connection(&start), "on the connection of its set-up");
        assert_no_set_up(&fixture.assert_still_serving(&switch));
    });
}

#[test]
fn set_up_read_together_with_its_withdrawal_is_not_sent() {
    let (fixture, switch) = fixture_with_switch("same-read");
    // A connection is established, and the core switch is known to be fast.
    assert_no_set_up(&fixture.assert_still_serving(&switch));
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_tag());
    fixture.pause();
    (&caller.stream).write_all(to_lines([&set_up_line(&tag, 8000), &finish(&tag, 16)]).as_bytes()).unwrap();
    std::thread::sleep(DEPARTURE_TIME);
    fixture.resume();
    assert_eq!(verbs_of(&receive_pending(&mut caller), &tag), ["FINISHED"]);
    assert_no_set_up(&fixture.assert_still_serving(&switch));
}

#[test]
fn many_set_ups_read_together_with_their_withdrawals_are_not_sent() {
    run_all(&[Departure::Finish, Departure::Close], |how| {
        let (fixture, switch) = fixture_with_switch("crowd");
        assert_no_set_up(&fixture.assert_still_serving(&switch));
        let caller = connect_caller(&fixture.gateway);
        let tags: Vec<String> = (0..500).map(|_| new_tag()).collect();
        let mut all = to_lines(&tags.iter().map(|t| set_up_line(t, 8000)).collect::<Vec<_>>());
        if how == Departure::Finish {
            all += &to_lines(&tags.iter().map(|t| finish(t, 16)).collect::<Vec<_>>());
        }
        fixture.pause();
        (&caller.stream).write_all(all.as_bytes()).unwrap();
        let gone = Some(caller).filter(|_| how == Departure::Finish);
        std::thread::sleep(DEPARTURE_TIME);
        fixture.resume();
        if let Some(mut caller) = gone {
            let told = receive_pending(&mut caller);
            assert!(
                tags.iter().all(|t| verbs_of(&told, t) == ["FINISHED"]),
                "each withdrawal is confirmed once"
            );
        }
        assert_no_set_up(&fixture.assert_still_serving(&switch));
    });
}

#[test]
fn tag_of_a_withdrawn_call_is_not_sent_again_within_the_guard() {
    let (fixture, switch) = fixture_with_switch("same-id");
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_tag());
    caller.send(&set_up_line(&tag, 8000));
    let first = switch.next_start(&tag);
    let withdrawn = Instant::now();
    (&caller.stream).write_all(to_lines([&finish(&tag, 16), &set_up_line(&tag, 8000)]).as_bytes()).unwrap();
    assert_eq!(caller.receive().unwrap()["verb"], "FINISHED");
    // The second call may be refused, or sent later.
    if verbs_of(&receive_pending(&mut caller), &tag).contains(&"FINISH") {
        return;
    }
    let again = switch.receive_until("START", &tag).pop().unwrap();
    let after = again.at - withdrawn;
    assert!(after >= GUARD, "sent again after {after:?}");
    assert!(!again.is_same_connection(&first), "on another connection: the id does not tell attempts apart");
}

// Further attempts.
#[test]
fn message_that_crosses_the_timeout_of_its_attempt_leads_to_one_consistent_answer() {
    let tag = "0000000000000001";
    run_all(&["STARTED", "error", "reset"], |word| {
        let word = match word {
            "STARTED" => started(tag),
            "error" => finish(tag, 17),
            _ => finish(tag, 41),
        };
        let (fixture, switch) = fixture_with_switch("time-out");
        let mut caller = connect_caller(&fixture.gateway);
        // An attempt may take 1.8 s of the 2.4 s, so that the caller is answered in time.
        caller.send(&set_up_line(tag, 2400));
        let link = switch.next_start(tag).link;
        let begun = Instant::now();
        fixture.pause();
        send_line(&link, &word);
        std::thread::sleep(Duration::from_millis(1860).saturating_sub(begun.elapsed()));
        fixture.resume();
        let heard = fixture.assert_still_serving(&switch);
        assert_no_set_up(&heard);
        let told = receive_pending(&mut caller);
        let answers = verbs_of(&told, tag);
        assert!(answers.len() == 1, "{word}: {answers:?}");
        let released = heard.iter().filter(|h| h.is_message("FINISH", tag)).count();
        let agreed = match (answers[0], word["verb"].as_str()) {
            ("STARTED", Some("STARTED")) => released == 0,
            ("FINISH", Some("STARTED")) => released == 1,
            (answer, _) => answer == "FINISH" && released <= 1,
        };
        assert!(agreed, "{word}: the caller heard {answers:?}, the core switch {released} releases");
    });
}

#[test]
fn answer_after_the_timeout_of_its_attempt_is_not_forwarded_and_is_released() {
    let (fixture, switch) = fixture_with_switch("late");
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_tag());
    caller.send(&set_up_line(&tag, 400));
    let start = switch.next_start(&tag);
    assert_eq!(caller.receive().unwrap()["verb"], "FINISH");
    (&*start.link).write_all(to_lines([&started(&tag), &started(&tag)]).as_bytes()).unwrap();
    let heard = switch.receive_until("FINISH", &tag);
    assert!(heard.last().unwrap().is_same_connection(&start));
    assert_no_set_up(&fixture.assert_still_serving(&switch));
    assert_eq!(verbs_of(&receive_pending(&mut caller), &tag), [""; 0], "one answer");
}

#[test]
fn answer_after_the_reset_of_its_attempt_is_released_and_the_next_attempt_continues() {
    let (fixture, switch) = fixture_with_switch("reset-answer");
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_tag());
    caller.send(&set_up_line(&tag, 8000));
    let first = switch.next_start(&tag);
    let reset = Instant::now();
    (&*first.link).write_all(to_lines([&finish(&tag, 41), &started(&tag)]).as_bytes()).unwrap();
    let mut heard = switch.receive_until("START", &tag);
    let second = heard.pop().unwrap();
    assert!(second.at - reset >= GUARD && !second.is_same_connection(&first));
    send_line(&second.link, &started(&tag));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    heard.extend(fixture.assert_still_serving(&switch));
    let released: Vec<bool> =
        heard.iter().filter(|h| h.is_message("FINISH", &tag)).map(|h| h.is_same_connection(&first)).collect();
    assert_eq!(released, [true], "the call of the first attempt is released, the second's is not");
    assert_eq!(verbs_of(&receive_pending(&mut caller), &tag), [""; 0], "one answer");
}

#[test]
fn late_answer_of_an_abandoned_core_switch_is_released_only_there() {
    let ((one, at_one), (two, at_two)) = (new_listener(), new_listener());
    let fixture = fixture("left-behind", &[at_one, at_two]);
    let switches = [CoreSwitch::accepting(one, Vec::new()), CoreSwitch::accepting(two, Vec::new())];
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_tag());
    caller.send(&set_up_line(&tag, 8000));
    // Either switch may be tried first; a further attempt goes to the other.
    let begun = Instant::now();
    let (first, at) = loop {
        let came = switches.iter().enumerate().find_map(|(n, p)| p.heard.try_recv().ok().map(|h| (h, n)));
        if let Some(came) = came.filter(|(h, _)| h.is_message("START", &tag)) {
            break came;
        }
        assert!(begun.elapsed() < TIMEOUT, "no set-up came");
        std::thread::yield_now();
    };
    send_line(&first.link, &finish(&tag, 41));
    let second = switches[1 - at].next_start(&tag);
    send_line(&second.link, &started(&tag));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    send_line(&first.link, &started(&tag));
    switches[at].receive_until("FINISH", &tag);
    send_line(&second.link, &finish(&tag, 16));
    let heard = switches[1 - at].receive_until("FINISHED", &tag);
    assert!(
        !heard.iter().any(|h| h.is_message("FINISH", &tag)),
        "the call at the second switch stays established"
    );
    assert_eq!(verbs_of(&receive_pending(&mut caller), &tag), ["FINISH"], "its release and no second answer");
}

#[test]
fn duplicate_answer_neither_reaches_the_caller_nor_ends_the_call() {
    let (fixture, switch) = fixture_with_switch("copy");
    let (mut caller, tag, link) = establish_call(&fixture, &switch);
    send_line(&link, &started(&tag));
    let heard = fixture.assert_still_serving(&switch);
    assert!(!heard.iter().any(|h| h.is_message("FINISH", &tag)), "the call stays established");
    assert_eq!(verbs_of(&receive_pending(&mut caller), &tag), [""; 0], "one answer");
    caller.send(&finish(&tag, 16));
    switch.receive_until("FINISH", &tag);
    assert_eq!(verbs_of(&receive_pending(&mut caller), &tag), ["FINISHED"]);
}

#[test]
fn guard_that_ends_at_the_deadline_leads_to_one_answer_and_no_further_attempt() {
    let (fixture, switch) = fixture_with_switch("guard-end");
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_tag());
    caller.send(&set_up_line(&tag, 2400));
    let link = switch.next_start(&tag).link;
    let begun = Instant::now();
    // Attempts may be made for 1.8 s, when the guard ends too.
    std::thread::sleep(Duration::from_millis(1600).saturating_sub(begun.elapsed()));
    send_line(&link, &finish(&tag, 41));
    wait_until_processed(&switch, &link);
    fixture.pause();
    std::thread::sleep(Duration::from_millis(1860).saturating_sub(begun.elapsed()));
    fixture.resume();
    assert_eq!(caller.receive().unwrap()["verb"], "FINISH");
    assert_no_set_up(&fixture.assert_still_serving(&switch));
    assert_eq!(verbs_of(&receive_pending(&mut caller), &tag), [""; 0], "one answer");
}

#[test]
fn connection_established_after_its_attempt_timed_out_carries_nothing_of_it() {
    let (full_listener, address) = FullListener::new();
    let fixture = fixture("stale", &[address]);
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_tag());
    caller.send(&set_up_line(&tag, 400));
    assert_eq!(caller.receive().unwrap()["verb"], "FINISH");
    let (listener, link) = full_listener.open();
    assert_no_set_up(&fixture.assert_still_serving(&CoreSwitch::accepting(listener, vec![link])));
    assert_eq!(verbs_of(&receive_pending(&mut caller), &tag), [""; 0], "one answer");
}

#[test]
fn connection_established_at_the_deadline_of_its_call_carries_nothing_of_it() {
    // Several runs, as either event may be processed first.
    run_all(&[1, 2, 3, 4], |_| {
        let (full_listener, address) = FullListener::new();
        let fixture = fixture("stale-held", &[address]);
        let (mut caller, tag) = (connect_caller(&fixture.gateway), new_tag());
        caller.send(&set_up_line(&tag, 800));
        receive_pending(&mut caller);
        let begun = Instant::now();
        fixture.pause();
        let (listener, link) = full_listener.open();
        std::thread::sleep(Duration::from_millis(900).saturating_sub(begun.elapsed()));
        fixture.resume();
        assert_no_set_up(&fixture.assert_still_serving(&CoreSwitch::accepting(listener, vec![link])));
        assert!(verbs_of(&receive_pending(&mut caller), &tag).len() <= 1);
    });
}

// Established calls.
/// Sets up a call that is answered.
fn establish_call(fixture: &Fixture, switch: &CoreSwitch) -> (Caller, String, Arc<TcpStream>) {
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_tag());
    caller.send(&set_up_line(&tag, 6000));
    let link = switch.next_start(&tag).link;
    send_line(&link, &started(&tag));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    (caller, tag, link)
}

#[test]
fn call_released_by_both_sides_at_once_is_released_once_on_each_side() {
    run_all(&[false, true], |switch_first| {
        let (fixture, switch) = fixture_with_switch("both");
        let (mut caller, tag, link) = establish_call(&fixture, &switch);
        fixture.pause();
        if switch_first {
            send_line(&link, &finish(&tag, 16));
            send_many_lines(&caller);
        }
        caller.send(&finish(&tag, 16));
        if !switch_first {
            send_line(&link, &finish(&tag, 16));
        }
        fixture.resume();
        let heard = fixture.assert_still_serving(&switch);
        let told = receive_pending(&mut caller);
        let caller_verbs = verbs_of(&told, &tag);
        let count = |verb| caller_verbs.iter().filter(|v| **v == verb).count();
        assert!(count("FINISH") <= 1 && count("FINISHED") == 1, "{caller_verbs:?}");
        let released = heard.iter().filter(|h| h.is_message("FINISH", &tag)).count();
        assert!(released + count("FINISH") <= 2 && released <= 1, "{released} {caller_verbs:?}");
    });
}

#[test]
fn release_followed_by_the_close_of_its_connection_reaches_the_caller() {
    run_all(&[false, true], |reset| {
        let (listener, address) = new_listener();
        let fixture = fixture("closed-behind", &[address]);
        let (link, _) = listener.accept().unwrap();
        let switch = CoreSwitch::accepting(listener.try_clone().unwrap(), Vec::new());
        let (mut caller, tag) = (connect_caller(&fixture.gateway), new_tag());
        caller.send(&set_up_line(&tag, 6000));
        let mut reader = BufReader::new(&link);
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        assert!(line.contains(&tag));
        send_line(&link, &started(&tag));
        assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
        fixture.pause();
        send_line(&link, &finish(&tag, 16));
        if reset {
            rustix::net::sockopt::set_socket_linger(&link, Some(Duration::ZERO)).unwrap();
        }
        drop(link);
        // At the same time a set-up is to be written on that connection.
        let next = new_tag();
        caller.send(&set_up_line(&next, 6000));
        fixture.resume();
        // A release that a reset may have discarded is sent again on the next connection, as specified.
        let start = switch.next_start(&next);
        if reset {
            send_line(&start.link, &finish(&tag, 16));
        }
        let heard = caller.receive().unwrap();
        assert_eq!((&heard["verb"], &heard["tag"]), (&json!("FINISH"), &json!(tag)));
        send_line(&start.link, &started(&next));
        let told = receive_pending(&mut caller);
        assert_eq!(verbs_of(&told, &tag), [""; 0], "once");
        fixture.assert_still_serving(&switch);
    });
}

/// Asserts that the release of a call whose caller has closed its connection is delivered on the next
/// connection with an established call.
fn assert_release_delivered_next(fixture: &Fixture, switch: &CoreSwitch, tag: &str) {
    let (mut other, next) = (connect_caller(&fixture.gateway), new_tag());
    other.send(&set_up_line(&next, 6000));
    let link = switch.next_start(&next).link;
    send_line(&link, &started(&next));
    wait_until_processed(switch, &link);
    let told = receive_pending(&mut other);
    assert_eq!(verbs_of(&told, &next), ["STARTED"]);
    assert_eq!(verbs_of(&told, tag), ["FINISH"], "delivered on the next connection with an established call");
}

#[test]
fn caller_without_connections_gets_a_release_on_its_next_connection_with_an_established_call() {
    run_all(&[Departure::Close, Departure::Reset], |how| {
        let (fixture, switch) = fixture_with_switch("next");
        let (caller, tag, link) = establish_call(&fixture, &switch);
        depart(caller, &tag, how);
        receive_pending(&mut self::connect_caller(&fixture.gateway));
        send_line(&link, &finish(&tag, 16));
        switch.receive_until("FINISHED", &tag);
        assert_release_delivered_next(&fixture, &switch, &tag);
    });
}

#[test]
fn release_that_crosses_the_close_of_the_last_connection_is_delivered_on_the_next() {
    let variants = [
        (Departure::Close, false),
        (Departure::Reset, false),
        (Departure::Close, true),
        (Departure::Reset, true),
    ];
    run_all(&variants, |(how, switch_first)| {
        let (fixture, switch) = fixture_with_switch("next-crossing");
        let (caller, tag, link) = establish_call(&fixture, &switch);
        fixture.pause();
        if switch_first {
            send_line(&link, &finish(&tag, 16));
            send_many_lines(&caller);
        }
        depart(caller, &tag, how);
        if !switch_first {
            send_line(&link, &finish(&tag, 16));
        }
        fixture.resume();
        switch.receive_until("FINISHED", &tag);
        assert_release_delivered_next(&fixture, &switch, &tag);
    });
}

fn established_call_line(tag: &str) -> Value {
    json!({"verb": "START", "tag": tag, "blob": "offer", "opts": {"class": "voice", "extras": "at:s-1"}})
}

#[test]
fn call_reported_as_established_as_its_answer_arrives_gets_one_answer_and_one_release() {
    run_all(&[false, true], |switch_first| {
        let (fixture, switch) = fixture_with_switch("at-other");
        let (mut caller, mut other) = (connect_caller(&fixture.gateway), connect_caller(&fixture.gateway));
        let tag = new_tag();
        caller.send(&set_up_line(&tag, 6000));
        let link = switch.next_start(&tag).link;
        fixture.pause();
        if switch_first {
            send_line(&link, &started(&tag));
        }
        other.send(&established_call_line(&tag));
        if !switch_first {
            send_line(&link, &started(&tag));
        }
        fixture.resume();
        assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
        assert_eq!(verbs_of(&receive_pending(&mut other), &tag), [""; 0], "the report expects no answer");
        send_line(&link, &finish(&tag, 16));
        switch.receive_until("FINISHED", &tag);
        let (caller, other) = (receive_pending(&mut caller), receive_pending(&mut other));
        // All callers count as one party.
        let released = [verbs_of(&caller, &tag), verbs_of(&other, &tag)].concat();
        assert_eq!(released, ["FINISH"]);
    });
}

#[test]
fn call_reported_as_established_on_the_connection_of_its_open_set_up_gets_one_answer() {
    let (fixture, switch) = fixture_with_switch("at-same");
    let (mut caller, tag) = (connect_caller(&fixture.gateway), new_tag());
    caller.send(&set_up_line(&tag, 6000));
    let link = switch.next_start(&tag).link;
    // The report expects no answer, and may name a call that the gateway already knows.
    caller.send(&established_call_line(&tag));
    assert_eq!(verbs_of(&receive_pending(&mut caller), &tag), [""; 0]);
    send_line(&link, &started(&tag));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    send_line(&link, &finish(&tag, 16));
    assert_eq!(verbs_of(&[caller.receive().unwrap()], &tag), ["FINISH"]);
    let heard = fixture.assert_still_serving(&switch);
    assert!(!heard.iter().any(|h| h.is_message("FINISH", &tag)), "the core switch has released it itself");
}
