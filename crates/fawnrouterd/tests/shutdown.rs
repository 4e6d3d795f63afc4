//! Messages that cross the shutdown of a gateway, the close of an idle connection or the loss of a connection
//! to a core switch.
//!
//! The order of events is forced: while the gateway is stopped (SIGSTOP), tests write to its sockets and its
//! time limits pass, so that it finds both at once when it resumes. A write to loopback has reached the
//! peer's socket when it returns.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use common::*;
use rustix::process::Signal;
use serde_json::{Value, json};

/// Longer than the time in which a gateway still serves set-ups after SIGTERM.
const PAST_SERVING_TIME: Duration = Duration::from_millis(900);
/// A caller sends a set-up again if it was written within this time before the close of its connection.
const CROSSING_WINDOW: Duration = Duration::from_millis(50);
/// No further attempt of a call within this time of a reset (`guardNs` of the settings).
const GUARD: Duration = Duration::from_millis(200);
/// Ends a test that would hang.
const TIMEOUT: Duration = Duration::from_secs(8);

// ---- Test doubles ----

/// A message that a core switch received, with its time of arrival and its connection.
struct Received {
    at: Instant,
    connection: TcpStream,
    line: Value,
}

/// A core switch that calls a function of the test for each message.
struct CoreSwitch {
    address: SocketAddr,
    received: Receiver<Received>,
}

impl CoreSwitch {
    fn new(on_line: impl Fn(&TcpStream, &Value) + Send + Sync + 'static) -> Self {
        Self::listening_at(SocketAddr::from(([127, 0, 0, 1], 0)), usize::MAX, on_line)
    }

    /// Starts one at this address that accepts so many connections and then refuses all others.
    fn listening_at(
        address: SocketAddr,
        max_connections: usize,
        on_line: impl Fn(&TcpStream, &Value) + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, received) = channel();
        let on_line = Arc::new(on_line);
        spawn(move || {
            for connection in listener.incoming().take(max_connections).flatten() {
                connection.set_nodelay(true).unwrap();
                let (sender, on_line) = (sender.clone(), on_line.clone());
                spawn(move || {
                    let reader = BufReader::new(connection.try_clone().unwrap());
                    for line in reader.lines().map_while(Result::ok) {
                        let line: Value = serde_json::from_str(&line).expect("the gateway writes JSON");
                        let received = Received {
                            at: Instant::now(),
                            connection: connection.try_clone().unwrap(),
                            line,
                        };
                        let line = received.line.clone();
                        let _ = sender.send(received);
                        on_line(&connection, &line);
                    }
                });
            }
        });
        Self { address, received }
    }

    /// Waits for the next message with this verb and skips all others.
    fn next_message(&self, verb: &str) -> Received {
        let until = Instant::now() + TIMEOUT;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let received = self.received.recv_timeout(left).unwrap_or_else(|_| panic!("no {verb} came"));
            if received.line["verb"] == verb {
                return received;
            }
        }
    }

    /// Removes all received messages that wait and returns the set-ups of this call among them.
    fn take_received_set_ups(&self, tag: &str) -> Vec<Received> {
        self.received.try_iter().filter(|t| t.line["verb"] == "START" && t.line["tag"] == tag).collect()
    }
}

fn answer_set_up(connection: &TcpStream, line: &Value) {
    if line["verb"] == "START" {
        let tag = line["tag"].as_str().unwrap();
        // A write error is ignored: the test itself checks whether the gateway is still there.
        let _ = { connection }.write_all(format!("{}\n", started_message(tag)).as_bytes());
    }
}

fn never_answer(_: &TcpStream, _: &Value) {}

fn started_message(tag: &str) -> Value {
    json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": format!("answer\r\n{tag}")})
}

fn finish_message(tag: &str, rc: i64) -> Value {
    json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": rc})
}

fn call_id(number: usize) -> String {
    format!("5d0000000000{number:04x}")
}

/// The line of a set-up.
fn set_up_line(tag: &str, left_ms: u64) -> String {
    let line = json!({"verb": "START", "tag": tag, "blob": format!("offer\r\n{tag}"),
        "opts": {"class": "voice", "left": left_ms.to_string(), "key": "7f3a", "extras": "dest:0;width:1;via:-1"}});
    format!("{line}\n")
}

fn write_text(mut stream: &TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).unwrap();
}

/// A gateway in front of one core switch, and its name server.
struct Fixture {
    gateway: Gateway,
    switch: CoreSwitch,
    name_server: NameServer,
}

fn start_fixture(
    test: &str,
    sockets: usize,
    on_line: impl Fn(&TcpStream, &Value) + Send + Sync + 'static,
) -> Fixture {
    start_fixture_with(test, sockets, CoreSwitch::new(on_line))
}

fn start_fixture_with(test: &str, sockets: usize, switch: CoreSwitch) -> Fixture {
    let switches = vec![("s-1".to_owned(), switch.address)];
    let name_server = NameServer::new(DnsZone { serial: 1, switches, ..DnsZone::default() });
    let mut config = node_config(free_address(), name_server.address, &[("s-1", switch.address)]);
    config["limits"]["sockets"] = json!(sockets);
    Fixture { gateway: Gateway::start(&format!("shutdown-{test}"), &config), switch, name_server }
}

impl Fixture {
    /// Opens a caller's connection and waits until the gateway has read from it.
    fn connect_caller(&self) -> Caller {
        let mut caller = self.gateway.connect_caller();
        caller.stream.set_nodelay(true).unwrap();
        assert_eq!(health_check_result(&mut caller), 1);
        caller
    }

    /// Establishes a call and returns its caller.
    fn establish_call(&self, tag: &str) -> Caller {
        let mut caller = self.connect_caller();
        caller.send_set_up(tag, 5000);
        assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
        self.switch.next_message("START");
        caller
    }

    /// Sends SIGTERM and waits until the gateway fails the health check. Returns the connection of the check.
    fn begin_shutdown(&self) -> Caller {
        let mut prober = self.connect_caller();
        self.gateway.send_signal(Signal::TERM);
        self.gateway.wait_for_log("ending");
        while health_check_result(&mut prober) == 1 {}
        prober
    }

    /// Sends SIGTERM, then stops the gateway while `meanwhile` runs and its serving time passes. The first
    /// thing that the gateway finds when it resumes is a health check on another connection, so that it
    /// learns at the earliest possible point that the time is over.
    fn shut_down_while_stopped(&self, meanwhile: impl FnOnce()) {
        let prober = self.begin_shutdown();
        self.while_stopped(|| {
            prober.send(&health_check());
            meanwhile();
            sleep(PAST_SERVING_TIME);
        });
    }

    /// Stops the process (SIGSTOP) while `meanwhile` runs, then resumes it.
    fn while_stopped(&self, meanwhile: impl FnOnce()) {
        self.gateway.send_signal(Signal::STOP);
        let tasks = format!("/proc/{}/task", self.gateway.process_id());
        wait_until("the gateway is stopped", || {
            let tasks = std::fs::read_dir(&tasks).unwrap();
            tasks.flatten().all(|task| process_state(&task.path().join("stat")) == Some('T'))
        });
        meanwhile();
        self.gateway.send_signal(Signal::CONT);
    }

    /// Asserts that the process exits by itself within this time and with code 0.
    fn assert_exits_within(self, limit: Duration) {
        let began = Instant::now();
        let stat = std::path::PathBuf::from(format!("/proc/{}/stat", self.gateway.process_id()));
        while process_state(&stat) != Some('Z') {
            assert!(began.elapsed() < limit, "the gateway still runs after {limit:?}");
            sleep(Duration::from_millis(5));
        }
        assert!(self.gateway.wait().success());
    }
}

fn health_check() -> Value {
    json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0})
}

/// The `rc` in the answer to a health check: 1 if the check is passed.
fn health_check_result(caller: &mut Caller) -> i64 {
    caller.send(&health_check());
    let line = caller.receive().unwrap();
    assert_eq!(line["verb"], "ECHOED");
    line["rc"].as_i64().unwrap()
}

/// The state of a process or thread: the letter after its name in brackets (proc_pid_stat(5)).
fn process_state(stat: &std::path::Path) -> Option<char> {
    let text = std::fs::read_to_string(stat).ok()?;
    text.rsplit_once(") ")?.1.chars().next()
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "waited in vain until {what}");
        sleep(Duration::from_millis(1));
    }
}

/// The number of descriptors that the gateway has open.
fn open_descriptors(gateway: &Gateway) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", gateway.process_id())).unwrap().count()
}

/// Bytes from the gateway to a caller that wait in the send queue or the receive queue of the kernel.
fn queued_bytes(gateway: SocketAddr, caller: SocketAddr) -> usize {
    let end = |address: SocketAddr| match address {
        SocketAddr::V4(v4) => format!("{:08X}:{:04X}", u32::from_le_bytes(v4.ip().octets()), v4.port()),
        SocketAddr::V6(_) => unreachable!("the protocol runs over IPv4"),
    };
    let (gateway, caller) = (end(gateway), end(caller));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().map(|row| row.split_whitespace().collect::<Vec<_>>());
    rows.filter_map(|row| {
        let (unsent, unread) = row.get(4)?.split_once(':')?;
        let queue = match (row[1] == gateway, row[2] == gateway) {
            (true, _) if row[2] == caller => unsent,
            (_, true) if row[1] == caller => unread,
            _ => return None,
        };
        usize::from_str_radix(queue, 16).ok()
    })
    .sum()
}

/// The final answers to each call up to the end of the connection, and whether it ended without a reset.
fn answers_until_eof(caller: &Caller) -> (BTreeMap<String, Vec<Value>>, bool) {
    caller.stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut answers = BTreeMap::<_, Vec<_>>::new();
    for line in BufReader::new(&caller.stream).lines() {
        let line: Value = match line {
            Ok(line) => serde_json::from_str(&line).expect("the gateway writes JSON"),
            Err(error) if error.kind() == ErrorKind::WouldBlock => panic!("neither a line nor an end came"),
            Err(_) => return (answers, false),
        };
        if line["verb"] == "STARTED" || line["verb"] == "FINISH" {
            answers.entry(line["tag"].as_str().unwrap_or_default().to_owned()).or_default().push(line);
        }
    }
    (answers, true)
}

/// Asserts that these callers get one final answer to each of these set-ups and then an orderly end. Returns
/// the answers.
fn expect_one_answer_each<'a>(
    callers: impl IntoIterator<Item = &'a Caller>,
    tags: impl IntoIterator<Item = &'a String>,
) -> BTreeMap<String, Vec<Value>> {
    let (mut answers, mut resets) = (BTreeMap::new(), 0);
    for caller in callers {
        let (more, orderly) = answers_until_eof(caller);
        answers.extend(more);
        resets += usize::from(!orderly);
    }
    assert_one_answer_each(&answers, resets, tags);
    answers
}

fn assert_one_answer_each<'a>(
    answers: &BTreeMap<String, Vec<Value>>,
    resets: usize,
    tags: impl IntoIterator<Item = &'a String>,
) {
    let counts: Vec<_> = tags.into_iter().map(|tag| answers.get(tag).map_or(0, Vec::len)).collect();
    let (unanswered, answered_twice) =
        (counts.iter().filter(|n| **n == 0).count(), counts.iter().filter(|n| **n > 1).count());
    assert!(
        unanswered + answered_twice + resets == 0,
        "of {} set-ups {unanswered} got no answer, {answered_twice} more than one; connections reset: {resets}",
        counts.len()
    );
}

// ---- Set-ups that cross the shutdown ----

#[test]
fn set_up_half_read_at_sigterm_is_answered_once() {
    let fixture = start_fixture("half", 256, answer_set_up);
    let mut caller = fixture.connect_caller();
    let (tag, line) = (call_id(1), set_up_line(&call_id(1), 3000));
    let (half, rest) = line.split_at(line.len() / 2);
    // Once the health check is answered, the half line behind it has been read too.
    write_text(
        &caller.stream,
        &format!("{}\n{half}", json!({"verb": "ECHO", "tag": tag, "opts": {}, "rc": 0})),
    );
    assert_eq!(caller.receive().unwrap()["verb"], "ECHOED");
    fixture.shut_down_while_stopped(|| write_text(&caller.stream, rest));
    expect_one_answer_each([&caller], [&tag]);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_ups_unread_after_serving_time_are_each_answered_once() {
    let fixture = start_fixture("unread", 256, answer_set_up);
    let callers: Vec<_> = (0..5).map(|_| fixture.connect_caller()).collect();
    let tags: Vec<_> = (0..callers.len()).map(call_id).collect();
    fixture.shut_down_while_stopped(|| {
        for (caller, tag) in callers.iter().zip(&tags) {
            caller.send_set_up(tag, 3000);
        }
    });
    expect_one_answer_each(&callers, &tags);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_ups_pending_together_with_sigterm_are_each_answered_once() {
    let fixture = start_fixture("unread-term", 256, answer_set_up);
    let callers: Vec<_> = (0..5).map(|_| fixture.connect_caller()).collect();
    let tags: Vec<_> = (0..callers.len()).map(call_id).collect();
    fixture.while_stopped(|| {
        fixture.gateway.send_signal(Signal::TERM);
        for (caller, tag) in callers.iter().zip(&tags) {
            caller.send_set_up(tag, 3000);
        }
        sleep(PAST_SERVING_TIME);
    });
    expect_one_answer_each(&callers, &tags);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn three_hundred_and_one_set_ups_on_one_connection_are_each_answered_once() {
    let fixture = start_fixture("behind", 256, answer_set_up);
    let caller = fixture.connect_caller();
    let tags: Vec<_> = (0..301).map(call_id).collect();
    let lines: String = tags.iter().map(|tag| set_up_line(tag, 3000)).collect();
    fixture.shut_down_while_stopped(|| write_text(&caller.stream, &lines));
    expect_one_answer_each([&caller], &tags);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_up_behind_many_other_lines_is_answered_once_although_last_open_call_ends() {
    let fixture = start_fixture("behind-lines", 256, never_answer);
    let (caller, other) = (fixture.connect_caller(), fixture.connect_caller());
    let (first, behind) = (call_id(1), call_id(2));
    caller.send_set_up(&first, 5000);
    let attempt = fixture.switch.next_message("START");
    let finished_line = format!("{}\n", json!({"verb": "FINISHED", "tag": call_id(3), "opts": {}}));
    fixture.shut_down_while_stopped(|| {
        write_text(&other.stream, &(finished_line.repeat(300) + &set_up_line(&behind, 3000)));
        send_line(&attempt.connection, &started_message(&first));
    });
    expect_one_answer_each([&caller], [&first]);
    expect_one_answer_each([&other], [&behind]);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_up_unread_on_just_accepted_connection_is_answered_once() {
    let fixture = start_fixture("accepted", 256, answer_set_up);
    let prober = fixture.begin_shutdown();
    let before = open_descriptors(&fixture.gateway);
    let caller = fixture.gateway.connect_caller();
    wait_until("the connection is accepted", || open_descriptors(&fixture.gateway) > before);
    fixture.while_stopped(|| {
        prober.send(&health_check());
        caller.send_set_up(&call_id(1), 3000);
        sleep(PAST_SERVING_TIME);
    });
    expect_one_answer_each([&caller], [&call_id(1)]);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_ups_on_unaccepted_connections_at_shutdown_are_each_answered_once() {
    let fixture = start_fixture("backlog", 256, answer_set_up);
    // More than the gateway accepts in one turn of its event loop.
    let tags: Vec<_> = (0..100).map(call_id).collect();
    let mut callers = Vec::new();
    fixture.shut_down_while_stopped(|| {
        for tag in &tags {
            callers.push(fixture.gateway.connect_caller());
            callers.last().unwrap().send_set_up(tag, 3000);
        }
    });
    expect_one_answer_each(&callers, &tags);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_ups_on_unaccepted_connections_pending_together_with_sigterm_are_each_answered_once() {
    let fixture = start_fixture("backlog-term", 256, answer_set_up);
    let tags: Vec<_> = (0..5).map(call_id).collect();
    let mut callers = Vec::new();
    fixture.while_stopped(|| {
        fixture.gateway.send_signal(Signal::TERM);
        for tag in &tags {
            callers.push(fixture.gateway.connect_caller());
            callers.last().unwrap().send_set_up(tag, 3000);
        }
        sleep(PAST_SERVING_TIME);
    });
    expect_one_answer_each(&callers, &tags);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_ups_unread_on_hundred_connections_at_shutdown_are_each_answered_once() {
    // More than the gateway closes in order at the same time.
    let fixture = start_fixture("hundred", 256, answer_set_up);
    let callers: Vec<_> = (0..100).map(|_| fixture.connect_caller()).collect();
    let tags: Vec<_> = (0..callers.len()).map(call_id).collect();
    fixture.shut_down_while_stopped(|| {
        for (caller, tag) in callers.iter().zip(&tags) {
            caller.send_set_up(tag, 3000);
        }
    });
    expect_one_answer_each(&callers, &tags);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_up_with_open_attempt_and_set_ups_unread_at_shutdown_are_each_answered_once() {
    let fixture = start_fixture("out", 256, never_answer);
    let (caller, other) = (fixture.connect_caller(), fixture.connect_caller());
    let [open, same, on_other] = [call_id(1), call_id(2), call_id(3)];
    caller.send_set_up(&open, 5000);
    let attempt = fixture.switch.next_message("START");
    fixture.shut_down_while_stopped(|| {
        // The answer to the open attempt is unread as well, so that no call may be open any more after the
        // first read.
        send_line(&attempt.connection, &started_message(&open));
        caller.send_set_up(&same, 3000);
        other.send_set_up(&on_other, 3000);
    });
    expect_one_answer_each([&caller], [&open, &same]);
    expect_one_answer_each([&other], [&on_other]);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn call_whose_switch_connection_breaks_at_shutdown_is_answered_once() {
    let first = AtomicBool::new(true);
    let fixture = start_fixture("out-broken", 256, move |connection, line| {
        if line["verb"] != "START" || !first.swap(false, Ordering::Relaxed) {
            answer_set_up(connection, line);
        }
    });
    let caller = fixture.connect_caller();
    caller.send_set_up(&call_id(1), 5000);
    let attempt = fixture.switch.next_message("START");
    let mut broke = Instant::now();
    fixture.shut_down_while_stopped(|| {
        attempt.connection.shutdown(Shutdown::Both).unwrap();
        broke = Instant::now();
    });
    let answers = expect_one_answer_each([&caller], [&call_id(1)]);
    assert_eq!(answers[&call_id(1)][0]["verb"], "STARTED", "there was time for another attempt");
    let again = fixture.switch.take_received_set_ups(&call_id(1));
    assert!(again.len() == 1 && again[0].at >= broke + GUARD);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn call_without_switch_answer_fails_in_time_and_gateway_exits() {
    let fixture = start_fixture("mute", 256, never_answer);
    let mut caller = fixture.connect_caller();
    caller.send_set_up(&call_id(1), 1500);
    fixture.switch.next_message("START");
    let set_up_sent = Instant::now();
    fixture.begin_shutdown();
    let line = caller.receive().expect("an answer");
    assert_eq!((&line["verb"], &line["tag"]), (&json!("FINISH"), &json!(call_id(1))));
    // The time of the call, and the half second after it in which an answer is still allowed but of no use.
    assert!(set_up_sent.elapsed() < Duration::from_millis(2000));
    assert!(caller.reads_only_eof());
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn call_held_while_no_circuit_is_free_is_answered_once_and_gateway_exits() {
    let fixture = start_fixture("held", 256, |connection, line| {
        if line["verb"] == "START" {
            let mut full = finish_message(line["tag"].as_str().unwrap(), 34);
            full["opts"] = json!({"note": "group_full"});
            send_line(connection, &full);
        }
    });
    let caller = fixture.connect_caller();
    let tags: Vec<_> = (0..3).map(call_id).collect();
    for tag in &tags[..2] {
        caller.send_set_up(tag, 4000);
    }
    fixture.switch.next_message("START");
    fixture.shut_down_while_stopped(|| caller.send_set_up(&tags[2], 4000));
    expect_one_answer_each([&caller], &tags);
    fixture.assert_exits_within(TIMEOUT);
}

/// The id of the marker call that `answer_at_length` releases right after the answer to this call.
fn marker_of(tag: &str) -> String {
    format!("6d{}", &tag[2..])
}

/// Answers a set-up with a long body and then releases the marker of the call on the same connection.
fn answer_at_length(connection: &TcpStream, line: &Value) {
    let tag = line["tag"].as_str().unwrap();
    if line["verb"] == "START" && tag.starts_with("5d") {
        let long = json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": "x".repeat(15_000)});
        // A write error is ignored: the test itself checks whether the gateway is still there.
        let _ =
            { connection }.write_all(format!("{long}\n{}\n", finish_message(&marker_of(tag), 16)).as_bytes());
    } else {
        answer_set_up(connection, line);
    }
}

#[test]
fn answers_half_written_at_shutdown_are_completed_for_reading_caller() {
    let fixture = start_fixture("half-written", 256, answer_at_length);
    let mut caller = fixture.connect_caller();
    let tags = fill_connection(&fixture, &mut caller);
    fixture.shut_down_while_stopped(|| {});
    expect_one_answer_each([&caller], &tags[1..]);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_up_unread_behind_half_written_answer_at_shutdown_is_answered_once() {
    let fixture = start_fixture("half-written-more", 256, answer_at_length);
    let mut caller = fixture.connect_caller();
    let mut tags = fill_connection(&fixture, &mut caller);
    tags.push(call_id(tags.len()));
    fixture.shut_down_while_stopped(|| caller.send_set_up(&tags[tags.len() - 1], 3000));
    expect_one_answer_each([&caller], &tags[1..]);
    fixture.assert_exits_within(TIMEOUT);
}

/// Sets up calls and leaves their answers unread until the kernel buffers are full and an answer is half
/// written. Only the answer to the first call has been read. Returns the ids of the calls.
fn fill_connection(fixture: &Fixture, caller: &mut Caller) -> Vec<String> {
    let local = caller.stream.local_addr().unwrap();
    let mut marker_caller = fixture.connect_caller();
    let mut tags = vec![call_id(0)];
    caller.send_set_up(&tags[0], 5000);
    let length = caller.receive().unwrap().to_string().len() + 1;
    let mut written = 0;
    while queued_bytes(fixture.gateway.address, local) >= written {
        let next = call_id(tags.len());
        marker_caller.send_set_up(&marker_of(&next), 5000);
        assert_eq!(marker_caller.receive().unwrap()["verb"], "STARTED");
        caller.send_set_up(&next, 5000);
        // The gateway has by now written all earlier answers, as far as the kernel accepted them.
        assert_eq!(marker_caller.receive().unwrap(), finish_message(&marker_of(&next), 16));
        tags.push(next);
        written += length;
    }
    tags
}

// ---- Releases that cross the shutdown ----

#[test]
fn caller_release_unread_at_shutdown_reaches_core_switch() {
    let fixture = start_fixture("release", 256, answer_set_up);
    let caller = fixture.establish_call(&call_id(1));
    fixture.shut_down_while_stopped(|| caller.send(&finish_message(&call_id(1), 16)));
    assert_eq!(fixture.switch.next_message("FINISH").line, finish_message(&call_id(1), 16));
    drop(caller);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn caller_releases_behind_others_and_on_unaccepted_connection_reach_core_switch() {
    let fixture = start_fixture("releases", 256, answer_set_up);
    let tags: BTreeSet<_> = (0..40).map(call_id).collect();
    let mut caller = fixture.connect_caller();
    for tag in &tags {
        caller.send_set_up(tag, 5000);
        assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    }
    let (last, others) = (call_id(39), &tags);
    let mut later = None;
    fixture.shut_down_while_stopped(|| {
        let lines =
            others.iter().filter(|tag| **tag != last).map(|tag| format!("{}\n", finish_message(tag, 16)));
        write_text(&caller.stream, &lines.collect::<String>());
        // An established call can be released on any connection.
        later = Some(fixture.gateway.connect_caller());
        later.as_ref().unwrap().send(&finish_message(&last, 16));
    });
    let mut missing = tags.clone();
    let until = Instant::now() + TIMEOUT;
    while !missing.is_empty() {
        let left = until.saturating_duration_since(Instant::now());
        match fixture.switch.received.recv_timeout(left) {
            Ok(received) if received.line["verb"] == "FINISH" => {
                missing.remove(received.line["tag"].as_str().unwrap())
            }
            Ok(_) => continue,
            Err(_) => panic!("{} of {} releases did not come: {missing:?}", missing.len(), tags.len()),
        };
    }
    drop((caller, later));
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn caller_release_at_shutdown_reaches_core_switch_that_closed_its_connection() {
    let fixture = start_fixture("release-closed", 256, answer_set_up);
    let mut caller = fixture.connect_caller();
    caller.send_set_up(&call_id(1), 5000);
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let connection = fixture.switch.next_message("START").connection;
    fixture.shut_down_while_stopped(|| {
        // Only the writing side is closed, so that the release arrives in either case: on this connection if
        // the gateway writes it before it sees the close, else on a new one.
        connection.shutdown(Shutdown::Write).unwrap();
        caller.send(&finish_message(&call_id(1), 16));
    });
    assert_eq!(fixture.switch.next_message("FINISH").line, finish_message(&call_id(1), 16));
    drop(caller);
    fixture.assert_exits_within(TIMEOUT);
}

/// A gateway with a release that waits for a connection: the caller has released the call while the core
/// switch accepts no connections.
fn fixture_with_waiting_release(test: &str) -> Fixture {
    let switch = CoreSwitch::listening_at(SocketAddr::from(([127, 0, 0, 1], 0)), 1, answer_set_up);
    let fixture = start_fixture_with(test, 256, switch);
    let mut caller = fixture.connect_caller();
    caller.send_set_up(&call_id(1), 5000);
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let connection = fixture.switch.next_message("START").connection;
    let before = open_descriptors(&fixture.gateway);
    connection.shutdown(Shutdown::Both).unwrap();
    wait_until("the gateway has seen the close", || open_descriptors(&fixture.gateway) < before);
    caller.send(&finish_message(&call_id(1), 16));
    assert_eq!(caller.receive().unwrap()["verb"], "FINISHED");
    fixture
}

#[test]
fn release_waiting_for_connection_reaches_core_switch_that_returns_within_serving_time() {
    let fixture = fixture_with_waiting_release("release-waits");
    let mut returned = None;
    fixture.shut_down_while_stopped(|| {
        returned = Some(CoreSwitch::listening_at(fixture.switch.address, usize::MAX, answer_set_up))
    });
    assert_eq!(returned.unwrap().next_message("FINISH").line, finish_message(&call_id(1), 16));
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn release_waiting_for_connection_reaches_core_switch_that_returns_after_serving_time() {
    let fixture = fixture_with_waiting_release("release-later");
    fixture.shut_down_while_stopped(|| {});
    // All callers' connections are closed by now: nothing else keeps the gateway from exiting.
    sleep(Duration::from_millis(150));
    let returned = CoreSwitch::listening_at(fixture.switch.address, usize::MAX, answer_set_up);
    assert_eq!(returned.next_message("FINISH").line, finish_message(&call_id(1), 16));
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn undeliverable_release_does_not_keep_gateway_from_exiting() {
    let fixture = fixture_with_waiting_release("release-never");
    fixture.begin_shutdown();
    // The process manager sends SIGKILL no earlier than 3.7 s after SIGTERM.
    fixture.assert_exits_within(Duration::from_millis(3500));
}

#[test]
fn switch_release_unread_at_shutdown_is_forwarded_to_caller() {
    let fixture = start_fixture("released", 256, answer_set_up);
    let mut caller = fixture.connect_caller();
    caller.send_set_up(&call_id(1), 5000);
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let connection = fixture.switch.next_message("START").connection;
    fixture.shut_down_while_stopped(|| send_line(&connection, &finish_message(&call_id(1), 16)));
    assert_eq!(caller.receive(), Some(finish_message(&call_id(1), 16)));
    assert_eq!(caller.receive(), None);
    drop(caller);
    fixture.assert_exits_within(TIMEOUT);
}

// ---- Signals ----

#[test]
fn second_sigterm_does_not_shorten_shutdown() {
    let fixture = start_fixture("twice", 256, never_answer);
    let (caller, other) = (fixture.connect_caller(), fixture.connect_caller());
    let (open, later) = (call_id(1), call_id(2));
    caller.send_set_up(&open, 5000);
    let attempt = fixture.switch.next_message("START");
    fixture.shut_down_while_stopped(|| {
        fixture.gateway.send_signal(Signal::TERM);
        other.send_set_up(&later, 3000);
    });
    // Each set-up may be refused or served, but is answered once.
    fixture.gateway.send_signal(Signal::TERM);
    fixture.gateway.send_signal(Signal::INT);
    send_line(&attempt.connection, &started_message(&open));
    expect_one_answer_each([&caller], [&open]);
    expect_one_answer_each([&other], [&later]);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn sighup_just_before_or_after_sigterm_disturbs_no_call() {
    let fixture = start_fixture("hup", 256, never_answer);
    let mut caller = fixture.connect_caller();
    let [open, between, later] = [call_id(1), call_id(2), call_id(3)];
    caller.send_set_up(&open, 5000);
    let attempt = fixture.switch.next_message("START");
    let zone = fixture.name_server.zone.lock().unwrap().clone();
    let other = NameServer::new(DnsZone { serial: 2, ..zone });
    let new_config = node_config(fixture.gateway.address, other.address, &[("s-1", fixture.switch.address)]);
    std::fs::write(&fixture.gateway.file, new_config.to_string()).unwrap();
    // Both signals are pending when the gateway resumes.
    fixture.while_stopped(|| {
        fixture.gateway.send_signal(Signal::HUP);
        fixture.gateway.send_signal(Signal::TERM);
        caller.send_set_up(&between, 3000);
    });
    fixture.gateway.wait_for_log("ending");
    other.wait_for_queries(1);
    while health_check_result(&mut caller) == 1 {}
    // A second SIGHUP while the serving time passes, with a truncated configuration.
    std::fs::write(&fixture.gateway.file, "{\"name\":").unwrap();
    fixture.while_stopped(|| {
        fixture.gateway.send_signal(Signal::HUP);
        caller.send_set_up(&later, 3000);
        sleep(PAST_SERVING_TIME);
    });
    fixture.gateway.wait_for_log("the configuration stays as it was");
    for tag in [&open, &between] {
        send_line(&attempt.connection, &finish_message(tag, 17));
    }
    expect_one_answer_each([&caller], [&open, &between, &later]);
    fixture.assert_exits_within(TIMEOUT);
}

// ---- Traffic until the exit ----

/// A connection that is polled for data and its end.
struct PolledConnection<'a> {
    stream: &'a TcpStream,
    received: Vec<u8>,
    /// The start of the last poll that did not see the end.
    last_seen_open: Instant,
    /// Whether the connection ended without a reset; `None` while it is open.
    ended: Option<bool>,
}

impl<'a> PolledConnection<'a> {
    fn new(stream: &'a TcpStream) -> Self {
        stream.set_read_timeout(Some(Duration::from_millis(3))).unwrap();
        Self { stream, received: Vec::new(), last_seen_open: Instant::now(), ended: None }
    }

    fn poll(&mut self) {
        let (looked, mut bytes) = (Instant::now(), [0; 16 * 1024]);
        match self.stream.read(&mut bytes) {
            Ok(0) => self.ended = Some(true),
            Ok(n) => {
                self.received.extend(&bytes[..n]);
                self.last_seen_open = looked;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => self.last_seen_open = looked,
            Err(_) => self.ended = Some(false),
        }
    }

    /// Whether a line written at this time can have crossed the close. A thread that was not scheduled for a
    /// while does not know when the end arrived, so the time counts up to the last poll at which the
    /// connection was surely open.
    fn may_have_crossed(&self, written: Instant) -> bool {
        self.last_seen_open.saturating_duration_since(written) < CROSSING_WINDOW
    }

    /// The call ids of all lines.
    fn tags(&self) -> Vec<String> {
        let lines = self.received.split(|b| *b == b'\n').filter(|line| !line.is_empty());
        let read = |line| serde_json::from_slice::<Value>(line).expect("the gateway writes whole lines");
        lines.map(|line| read(line)["tag"].as_str().unwrap().to_owned()).collect()
    }
}

#[test]
fn each_set_up_sent_until_exit_gets_one_answer_unless_it_crossed_the_close() {
    let fixture = start_fixture("last", 256, answer_set_up);
    let number = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..4)
        .map(|_| {
            let (caller, number) = (fixture.connect_caller(), number.clone());
            spawn(move || {
                let (began, mut connection, mut sent) =
                    (Instant::now(), PolledConnection::new(&caller.stream), Vec::new());
                while connection.ended.is_none() {
                    assert!(began.elapsed() < TIMEOUT, "it ends");
                    let tag = call_id(number.fetch_add(1, Ordering::Relaxed));
                    if { &caller.stream }.write_all(set_up_line(&tag, 3000).as_bytes()).is_ok() {
                        sent.push((tag, Instant::now()));
                    }
                    sleep(Duration::from_millis(3));
                    connection.poll();
                }
                // The gateway waits some tenths of a second for the caller to close its side; a caller that
                // polls later than that may see a reset.
                let kept_waiting = connection.last_seen_open.elapsed() > Duration::from_millis(200);
                assert!(connection.ended == Some(true) || kept_waiting, "an end and no reset");
                let tags = connection.tags();
                let mut answers = BTreeMap::<_, u32>::new();
                tags.iter().for_each(|tag| *answers.entry(tag).or_default() += 1);
                assert!(answers.values().all(|n| *n == 1), "one answer to each");
                let unanswered = sent.iter().filter(|(tag, _)| !answers.contains_key(tag));
                let (crossed, lost): (Vec<_>, Vec<_>) =
                    unanswered.partition(|(_, at)| connection.may_have_crossed(*at));
                assert!(lost.is_empty(), "{} of {} set-ups got no answer", lost.len(), sent.len());
                crossed.len()
            })
        })
        .collect();
    fixture.begin_shutdown();
    // The gateway is stopped while the serving time runs out, as if it were not scheduled on a busy machine.
    sleep(Duration::from_millis(400));
    fixture.while_stopped(|| sleep(Duration::from_millis(500)));
    let crossed: Vec<_> =
        callers.into_iter().map(|c| c.join().expect("the caller's assertions hold")).collect();
    eprintln!("{crossed:?} set-ups crossed the close");
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn newcomers_until_exit_are_answered_or_refused_unless_their_set_up_crossed_the_close() {
    let fixture = start_fixture("newcomers", 256, answer_set_up);
    fixture.begin_shutdown();
    let (mut served, mut crossed) = (0, 0);
    let began = Instant::now();
    loop {
        assert!(began.elapsed() < TIMEOUT, "it ends");
        let Ok(stream) = TcpStream::connect(fixture.gateway.address) else { break };
        let tag = call_id(served + crossed);
        if { &stream }.write_all(set_up_line(&tag, 3000).as_bytes()).is_err() {
            // The connection was reset before anything was written.
            continue;
        }
        let (written, mut connection) = (Instant::now(), PolledConnection::new(&stream));
        while connection.ended.is_none() && !connection.received.ends_with(b"\n") {
            assert!(began.elapsed() < TIMEOUT, "an answer or an end");
            connection.poll();
        }
        if connection.received.is_empty() {
            assert!(connection.may_have_crossed(written), "no answer after {:?}", written.elapsed());
            crossed += 1;
        } else {
            assert_eq!(connection.tags(), [tag]);
            served += 1;
        }
    }
    eprintln!("{served} answered, {crossed} crossed the close");
    assert!(served > 0, "it serves until then");
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn peers_that_neither_close_nor_read_do_not_keep_gateway_from_exiting() {
    let fixture = start_fixture("never", 256, answer_at_length);
    let mut reads_nothing = fixture.connect_caller();
    fill_connection(&fixture, &mut reads_nothing);
    let never_close: Vec<_> = (0..40).map(|_| fixture.connect_caller()).collect();
    let half = fixture.connect_caller();
    write_text(&half.stream, "{\"verb\":\"START\",\"tag\"");
    fixture.begin_shutdown();
    // The process manager sends SIGKILL no earlier than 3.7 s after SIGTERM.
    fixture.assert_exits_within(Duration::from_millis(3500));
    drop((reads_nothing, never_close, half));
}

// ---- Idle connections that are closed for newcomers ----

/// Descriptors of a small gateway.
const DESCRIPTORS: usize = 64;
/// Callers' connections that a small gateway holds: a quarter of its descriptors belongs to core switches, an
/// eighth to connections that are being closed, and 16 are reserved.
const CALLER_SLOTS: usize = DESCRIPTORS - DESCRIPTORS / 4 - DESCRIPTORS / 8 - 16;

/// A small gateway whose slots are all taken by idle callers, the longest idle first.
fn fixture_without_free_slots(test: &str) -> (Fixture, Vec<Caller>) {
    let fixture = start_fixture(test, DESCRIPTORS, answer_set_up);
    let callers = (0..CALLER_SLOTS).map(|_| fixture.connect_caller()).collect();
    (fixture, callers)
}

/// Opens connections and sends a health check on each: a connection that has sent something is not closed for
/// the next.
fn connect_newcomers(fixture: &Fixture, number: usize) -> Vec<Caller> {
    let callers: Vec<_> = (0..number).map(|_| fixture.gateway.connect_caller()).collect();
    callers.iter().for_each(|caller| caller.send(&health_check()));
    callers
}

/// Waits for the final answer to a set-up on a connection that may be closed for a newcomer afterwards.
fn expect_answer(caller: &mut Caller, tag: &str) {
    let line = caller.receive().expect("an answer before the end");
    assert!(line["verb"] == "STARTED" || line["verb"] == "FINISH", "{line}");
    assert_eq!(line["tag"], tag);
}

#[test]
fn unread_set_up_on_longest_idle_connection_is_answered_although_newcomers_need_its_slot() {
    let (fixture, mut idle) = fixture_without_free_slots("room-before");
    let mut newcomers = Vec::new();
    fixture.while_stopped(|| {
        idle[0].send_set_up(&call_id(1), 3000);
        newcomers = connect_newcomers(&fixture, 4);
        sleep(2 * CROSSING_WINDOW);
    });
    expect_answer(&mut idle[0], &call_id(1));
}

#[test]
fn unread_set_up_written_after_newcomers_connected_is_answered() {
    let (fixture, mut idle) = fixture_without_free_slots("room-after");
    let mut newcomers = Vec::new();
    fixture.while_stopped(|| {
        newcomers = connect_newcomers(&fixture, 4);
        (0..4).for_each(|n| idle[n].send_set_up(&call_id(n), 3000));
        sleep(2 * CROSSING_WINDOW);
    });
    (0..4).for_each(|n| expect_answer(&mut idle[n], &call_id(n)));
}

#[test]
fn half_read_set_up_on_longest_idle_connection_is_answered_although_its_slot_is_needed() {
    let (fixture, mut idle) = fixture_without_free_slots("room-half");
    let line = set_up_line(&call_id(1), 3000);
    let (half, rest) = line.split_at(line.len() / 2);
    let ping = json!({"verb": "ECHO", "tag": call_id(2), "opts": {}, "rc": 0});
    write_text(&idle[0].stream, &format!("{ping}\n{half}"));
    assert_eq!(idle[0].receive().unwrap()["verb"], "ECHOED");
    // The other connections have sent something later.
    assert!(idle[1..].iter_mut().all(|caller| health_check_result(caller) == 1));
    let mut newcomers = Vec::new();
    fixture.while_stopped(|| {
        newcomers = connect_newcomers(&fixture, 4);
        write_text(&idle[0].stream, rest);
        sleep(2 * CROSSING_WINDOW);
    });
    expect_answer(&mut idle[0], &call_id(1));
}

#[test]
fn set_ups_of_more_newcomers_than_slots_are_each_answered() {
    let (fixture, _idle) = fixture_without_free_slots("crowd");
    let mut crowd = Vec::new();
    fixture.while_stopped(|| {
        for n in 0..2 * CALLER_SLOTS {
            crowd.push(fixture.gateway.connect_caller());
            crowd[n].send_set_up(&call_id(n), 3000);
        }
        sleep(2 * CROSSING_WINDOW);
    });
    for (n, caller) in crowd.iter_mut().enumerate() {
        // Those beyond the slots are refused, with the call's id or without it.
        let line = caller.receive().unwrap_or_else(|| panic!("newcomer {n} got an end and no answer"));
        assert!(line["verb"] == "STARTED" || line["verb"] == "FINISH", "{line}");
    }
}

#[test]
fn unread_set_up_completed_in_time_is_answered_although_its_connection_is_overdue() {
    let fixture = start_fixture("overdue", 256, answer_set_up);
    // One connection has not sent a whole line yet, the other has.
    let (mut silent, mut half) = (fixture.gateway.connect_caller(), fixture.connect_caller());
    let lines = [set_up_line(&call_id(1), 3000), set_up_line(&call_id(2), 3000)];
    let (begin, rest) = lines[1].split_at(30);
    write_text(&half.stream, begin);
    // The half line has been read once a connection that was accepted later is answered.
    fixture.connect_caller();
    fixture.while_stopped(|| {
        write_text(&silent.stream, &lines[0]);
        write_text(&half.stream, rest);
        sleep(Duration::from_millis(2600));
    });
    expect_answer(&mut silent, &call_id(1));
    expect_answer(&mut half, &call_id(2));
}

// ---- Core switches that close their connections ----

/// Asserts that there was a further attempt and that each came no sooner than the guard after the close of
/// the one before.
fn assert_guard_between_attempts(attempts: &[Instant], closes: &[Instant]) {
    assert!(attempts.len() > 1, "a further attempt is made");
    for (closed, again) in closes.iter().zip(&attempts[1..]) {
        let distance = again.checked_duration_since(*closed);
        assert!(distance.is_some_and(|d| d >= GUARD), "the next attempt came {distance:?} after the close");
    }
}

#[test]
fn close_by_switch_on_set_up_causes_retry_after_guard_and_one_answer() {
    let closes = Arc::new(Mutex::new(Vec::new()));
    let closed = closes.clone();
    let fixture = start_fixture("link-close", 256, move |connection, line| {
        if line["verb"] == "START" {
            let mut closed = closed.lock().unwrap();
            if closed.len() == 2 {
                return answer_set_up(connection, line);
            }
            closed.push(Instant::now());
            connection.shutdown(Shutdown::Both).unwrap();
        }
    });
    let mut caller = fixture.connect_caller();
    caller.send_set_up(&call_id(1), 5000);
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let attempts: Vec<_> = fixture.switch.take_received_set_ups(&call_id(1)).iter().map(|t| t.at).collect();
    assert_guard_between_attempts(&attempts, &closes.lock().unwrap());
    fixture.begin_shutdown();
    assert_eq!(caller.receive(), None, "one answer");
    drop(caller);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn reset_by_switch_on_set_up_causes_retry_after_guard_and_one_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, received) = channel();
    let attempts = Arc::new(Mutex::new((Vec::new(), Vec::new())));
    let seen = attempts.clone();
    spawn(move || {
        let _sender = sender;
        for connection in listener.incoming().flatten() {
            let seen = seen.clone();
            spawn(move || {
                let mut bytes = [0; 16 * 1024];
                loop {
                    let Ok(n) = connection.peek(&mut bytes) else { return };
                    let Some(end) = bytes[..n].iter().position(|b| *b == b'\n') else { return };
                    let line: Value = serde_json::from_slice(&bytes[..end]).unwrap();
                    if line["verb"] == "START" {
                        let mut seen = seen.lock().unwrap();
                        seen.0.push(Instant::now());
                        if seen.0.len() < 3 {
                            // Closing a socket with unread bytes sends a reset.
                            seen.1.push(Instant::now());
                            return;
                        }
                    }
                    (&connection).read_exact(&mut bytes[..=end]).unwrap();
                    answer_set_up(&connection, &line);
                }
            });
        }
    });
    let fixture = start_fixture_with("link-reset", 256, CoreSwitch { address, received });
    let mut caller = fixture.connect_caller();
    caller.send_set_up(&call_id(1), 5000);
    let line = caller.receive().unwrap();
    assert_eq!((&line["verb"], &line["tag"]), (&json!("STARTED"), &json!(call_id(1))));
    let (attempts, closes) = &*attempts.lock().unwrap();
    assert_guard_between_attempts(attempts, closes);
    fixture.begin_shutdown();
    assert_eq!(caller.receive(), None, "one answer");
    drop(caller);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_up_that_crosses_switch_close_of_idle_connection_is_served_once() {
    let fixture = start_fixture("link-idle", 256, answer_set_up);
    let mut caller = fixture.connect_caller();
    caller.send_set_up(&call_id(1), 5000);
    assert_eq!(caller.receive().unwrap()["tag"], call_id(1));
    let idle = fixture.switch.next_message("START").connection;
    fixture.while_stopped(|| {
        idle.shutdown(Shutdown::Both).unwrap();
        caller.send_set_up(&call_id(2), 5000);
    });
    let line = caller.receive().unwrap();
    assert_eq!((&line["verb"], &line["tag"]), (&json!("STARTED"), &json!(call_id(2))));
    assert_eq!(fixture.switch.take_received_set_ups(&call_id(2)).len(), 1);
    fixture.begin_shutdown();
    assert_eq!(caller.receive(), None, "one answer");
    drop(caller);
    fixture.assert_exits_within(TIMEOUT);
}
