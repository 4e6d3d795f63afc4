//! Input that races with the shutdown of a gateway, with the close of an idle connection, or with the loss of
//! a connection to a core switch.
//!
//! The order of events is forced: while the gateway is paused (SIGSTOP), bytes are written to its sockets and
//! its timeouts elapse, so that it finds both at once when it resumes. Bytes written to loopback are in the
//! receiving socket when the write returns.

mod platform;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use platform::*;
use rustix::process::Signal;
use serde_json::{Value, json};

/// Longer than the time for which a gateway serves set-ups after SIGTERM.
const SERVING_TIME: Duration = Duration::from_millis(900);
/// A caller resends a set-up that crossed a close within this time.
const CROSSING_TIME: Duration = Duration::from_millis(50);
/// No further attempt of a call within this time of a reset (`guardNs` of the settings).
const GUARD: Duration = Duration::from_millis(200);
/// Timeout of everything that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(8);

// Stand-ins.

/// A line received by a core switch, with its time and connection.
struct ReceivedLine {
    at: Instant,
    link: TcpStream,
    line: Value,
}

/// A core switch that handles each line with a function of the test.
struct CoreSwitch {
    address: SocketAddr,
    received: Receiver<ReceivedLine>,
}

impl CoreSwitch {
    fn new(act: impl Fn(&TcpStream, &Value) + Send + Sync + 'static) -> Self {
        Self::at(SocketAddr::from(([127, 0, 0, 1], 0)), usize::MAX, act)
    }

    /// A core switch at this address that accepts `links` connections and refuses all further ones.
    fn at(
        address: SocketAddr,
        links: usize,
        act: impl Fn(&TcpStream, &Value) + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let (send, received) = channel();
        let act = Arc::new(act);
        spawn(move || {
            for link in listener.incoming().take(links).flatten() {
                link.set_nodelay(true).unwrap();
                let (send, act) = (send.clone(), act.clone());
                spawn(move || {
                    let reader = BufReader::new(link.try_clone().unwrap());
                    for line in reader.lines().map_while(Result::ok) {
                        let line: Value = serde_json::from_str(&line).expect("the gateway writes JSON");
                        let received =
                            ReceivedLine { at: Instant::now(), link: link.try_clone().unwrap(), line };
                        let line = received.line.clone();
                        let _ = send.send(received);
                        act(&link, &line);
                    }
                });
            }
        });
        Self { address, received }
    }

    /// Waits for the next message with this verb.
    fn next(&self, verb: &str) -> ReceivedLine {
        let until = Instant::now() + TIMEOUT;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let received = self.received.recv_timeout(left).unwrap_or_else(|_| panic!("no {verb} came"));
            if received.line["verb"] == verb {
                return received;
            }
        }
    }

    /// Further set-ups received for this call.
    fn attempts(&self, tag: &str) -> Vec<ReceivedLine> {
        self.received.try_iter().filter(|t| t.line["verb"] == "START" && t.line["tag"] == tag).collect()
    }
}

fn answer(link: &TcpStream, line: &Value) {
    if line["verb"] == "START" {
        let tag = line["tag"].as_str().unwrap();
        // The test itself checks for a closed peer.
        let _ = { link }.write_all(format!("{}\n", started(tag)).as_bytes());
    }
}

fn ignore_line(_: &TcpStream, _: &Value) {}

fn started(tag: &str) -> Value {
    json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": format!("answer\r\n{tag}")})
}

fn finish(tag: &str, rc: i64) -> Value {
    json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": rc})
}

fn tag(number: usize) -> String {
    format!("5d0000000000{number:04x}")
}

/// The line of a set-up request.
fn set_up_line(tag: &str, left_ms: u64) -> String {
    let line = json!({"verb": "START", "tag": tag, "blob": format!("offer\r\n{tag}"),
        "opts": {"class": "voice", "left": left_ms.to_string(), "key": "7f3a", "extras": "dest:0;width:1;via:-1"}});
    format!("{line}\n")
}

fn write(mut stream: &TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).unwrap();
}

/// A gateway with one core switch and a name server.
struct Fixture {
    gateway: Gateway,
    core: CoreSwitch,
    name_server: NameServer,
}

fn fixture(test: &str, sockets: usize, act: impl Fn(&TcpStream, &Value) + Send + Sync + 'static) -> Fixture {
    fixture_with(test, sockets, CoreSwitch::new(act))
}

fn fixture_with(test: &str, sockets: usize, core: CoreSwitch) -> Fixture {
    let switches = vec![("s-1".to_owned(), core.address)];
    let name_server = NameServer::new(Zone { serial: 1, switches, ..Zone::default() });
    let mut config = config(free_address(), name_server.address, &[("s-1", core.address)]);
    config["limits"]["sockets"] = json!(sockets);
    Fixture { gateway: Gateway::start(&format!("shutdown-{test}"), &config), core, name_server }
}

impl Fixture {
    /// A connected caller, from which the gateway has already read.
    fn caller(&self) -> Caller {
        let mut caller = self.gateway.connect_caller();
        caller.stream.set_nodelay(true).unwrap();
        assert_eq!(health_check_code(&mut caller), 1);
        caller
    }

    /// A caller with an established call.
    fn caller_with_call(&self, tag: &str) -> Caller {
        let mut caller = self.caller();
        caller.start_call(tag, 5000);
        assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
        self.core.next("START");
        caller
    }

    /// Starts the shutdown, and waits until the gateway fails the health check. Returns the connection that
    /// checked it.
    fn begin_shutdown(&self) -> Caller {
        let mut health_check_client = self.caller();
        self.gateway.signal(Signal::TERM);
        self.gateway.wait_for_log("ending");
        while health_check_code(&mut health_check_client) == 1 {}
        health_check_client
    }

    /// Starts the shutdown, and pauses the gateway while `action` runs and its serving time passes. When it
    /// resumes, it first finds a health check of another client: the earliest occasion to notice that the
    /// time is over.
    fn race_with_shutdown(&self, action: impl FnOnce()) {
        let health_check_client = self.begin_shutdown();
        self.while_paused(|| {
            health_check_client.send(&echo());
            action();
            sleep(SERVING_TIME);
        });
    }

    fn while_paused(&self, action: impl FnOnce()) {
        self.gateway.signal(Signal::STOP);
        let tasks = format!("/proc/{}/task", self.gateway.id());
        wait_until("the gateway is paused", || {
            let tasks = std::fs::read_dir(&tasks).unwrap();
            tasks.flatten().all(|task| process_state(&task.path().join("stat")) == Some('T'))
        });
        action();
        self.gateway.signal(Signal::CONT);
    }

    /// Asserts that the process exits within this time, with success.
    fn assert_exits_within(self, limit: Duration) {
        let began = Instant::now();
        let stat = std::path::PathBuf::from(format!("/proc/{}/stat", self.gateway.id()));
        while process_state(&stat) != Some('Z') {
            assert!(began.elapsed() < limit, "the gateway still runs after {limit:?}");
            sleep(Duration::from_millis(5));
        }
        assert!(self.gateway.wait_for_exit().success());
    }
}

fn echo() -> Value {
    json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0})
}

/// The code in the response to a health check.
fn health_check_code(caller: &mut Caller) -> i64 {
    caller.send(&echo());
    let line = caller.receive().unwrap();
    assert_eq!(line["verb"], "ECHOED");
    line["rc"].as_i64().unwrap()
}

/// The state of a process or thread: the character after its name in brackets.
fn process_state(stat: &std::path::Path) -> Option<char> {
    let text = std::fs::read_to_string(stat).ok()?;
    text.rsplit_once(") ")?.1.chars().next()
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "waited in vain until {what}");
        sleep(Duration::from_millis(1));
    }
}

/// Number of open descriptors of the gateway.
fn descriptors(gateway: &Gateway) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", gateway.id())).unwrap().count()
}

/// Bytes sent by the gateway to a caller and not yet read, in the kernel queues of both ends.
fn bytes_in_kernel(gateway: SocketAddr, caller: SocketAddr) -> usize {
    let end = |address: SocketAddr| match address {
        SocketAddr::V4(v4) => format!("{:08X}:{:04X}", u32::from_le_bytes(v4.ip().octets()), v4.port()),
        SocketAddr::V6(_) => unreachable!("the platform speaks IPv4"),
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

/// Reads the final answers of each call until the connection ends. `true` if it was closed, `false` if it was
/// reset.
fn read_to_end(caller: &Caller) -> (BTreeMap<String, Vec<Value>>, bool) {
    caller.stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut heard = BTreeMap::<_, Vec<_>>::new();
    for line in BufReader::new(&caller.stream).lines() {
        let line: Value = match line {
            Ok(line) => serde_json::from_str(&line).expect("the gateway writes JSON"),
            Err(error) if error.kind() == ErrorKind::WouldBlock => panic!("neither a line nor an end came"),
            Err(_) => return (heard, false),
        };
        if line["verb"] == "STARTED" || line["verb"] == "FINISH" {
            heard.entry(line["tag"].as_str().unwrap_or_default().to_owned()).or_default().push(line);
        }
    }
    (heard, true)
}

/// Asserts that these callers get exactly one final answer to each of these set-ups and that their
/// connections are closed without reset. Returns the answers.
fn assert_each_answered_once<'a>(
    callers: impl IntoIterator<Item = &'a Caller>,
    tags: impl IntoIterator<Item = &'a String>,
) -> BTreeMap<String, Vec<Value>> {
    let (mut heard, mut resets) = (BTreeMap::new(), 0);
    for caller in callers {
        let (more, orderly) = read_to_end(caller);
        heard.extend(more);
        resets += usize::from(!orderly);
    }
    assert_one_answer_each(&heard, resets, tags);
    heard
}

fn assert_one_answer_each<'a>(
    heard: &BTreeMap<String, Vec<Value>>,
    resets: usize,
    tags: impl IntoIterator<Item = &'a String>,
) {
    let counts: Vec<_> = tags.into_iter().map(|tag| heard.get(tag).map_or(0, Vec::len)).collect();
    let (without, twice) =
        (counts.iter().filter(|n| **n == 0).count(), counts.iter().filter(|n| **n > 1).count());
    assert!(
        without + twice + resets == 0,
        "of {} set-ups {without} got no answer, {twice} more than one; connections reset: {resets}",
        counts.len()
    );
}

// Set-ups that race with the shutdown.

#[test]
fn set_up_half_read_at_the_shutdown_is_answered_once() {
    let fixture = fixture("half", 256, answer);
    let mut caller = fixture.caller();
    let (tag, line) = (tag(1), set_up_line(&tag(1), 3000));
    let (half, rest) = line.split_at(line.len() / 2);
    // The response to the health check shows that the half line after it has been read too.
    write(&caller.stream, &format!("{}\n{half}", json!({"verb": "ECHO", "tag": tag, "opts": {}, "rc": 0})));
    assert_eq!(caller.receive().unwrap()["verb"], "ECHOED");
    fixture.race_with_shutdown(|| write(&caller.stream, rest));
    assert_each_answered_once([&caller], [&tag]);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_ups_unread_at_the_end_of_the_serving_time_are_each_answered_once() {
    let fixture = fixture("unread", 256, answer);
    let callers: Vec<_> = (0..5).map(|_| fixture.caller()).collect();
    let tags: Vec<_> = (0..callers.len()).map(tag).collect();
    fixture.race_with_shutdown(|| {
        for (caller, tag) in callers.iter().zip(&tags) {
            caller.start_call(tag, 3000);
        }
    });
    assert_each_answered_once(&callers, &tags);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_ups_pending_together_with_sigterm_are_each_answered_once() {
    let fixture = fixture("unread-term", 256, answer);
    let callers: Vec<_> = (0..5).map(|_| fixture.caller()).collect();
    let tags: Vec<_> = (0..callers.len()).map(tag).collect();
    fixture.while_paused(|| {
        fixture.gateway.signal(Signal::TERM);
        for (caller, tag) in callers.iter().zip(&tags) {
            caller.start_call(tag, 3000);
        }
        sleep(SERVING_TIME);
    });
    assert_each_answered_once(&callers, &tags);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn three_hundred_and_one_set_ups_on_one_connection_are_each_answered_once() {
    let fixture = fixture("behind", 256, answer);
    let caller = fixture.caller();
    let tags: Vec<_> = (0..301).map(tag).collect();
    let lines: String = tags.iter().map(|tag| set_up_line(tag, 3000)).collect();
    fixture.race_with_shutdown(|| write(&caller.stream, &lines));
    assert_each_answered_once([&caller], &tags);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_up_behind_many_other_lines_is_answered_once_although_the_last_call_ends() {
    let fixture = fixture("behind-lines", 256, ignore_line);
    let (caller, other) = (fixture.caller(), fixture.caller());
    let (first, behind) = (tag(1), tag(2));
    caller.start_call(&first, 5000);
    let attempt = fixture.core.next("START");
    let heard = format!("{}\n", json!({"verb": "FINISHED", "tag": tag(3), "opts": {}}));
    fixture.race_with_shutdown(|| {
        write(&other.stream, &(heard.repeat(300) + &set_up_line(&behind, 3000)));
        send_line(&attempt.link, &started(&first));
    });
    assert_each_answered_once([&caller], [&first]);
    assert_each_answered_once([&other], [&behind]);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_up_unread_on_a_connection_just_accepted_is_answered_once() {
    let fixture = fixture("accepted", 256, answer);
    let health_check_client = fixture.begin_shutdown();
    let before = descriptors(&fixture.gateway);
    let caller = fixture.gateway.connect_caller();
    wait_until("the connection is accepted", || descriptors(&fixture.gateway) > before);
    fixture.while_paused(|| {
        health_check_client.send(&echo());
        caller.start_call(&tag(1), 3000);
        sleep(SERVING_TIME);
    });
    assert_each_answered_once([&caller], [&tag(1)]);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_ups_on_connections_not_yet_accepted_at_the_shutdown_are_each_answered_once() {
    let fixture = fixture("backlog", 256, answer);
    // More than the gateway accepts before it runs other tasks.
    let tags: Vec<_> = (0..100).map(tag).collect();
    let mut callers = Vec::new();
    fixture.race_with_shutdown(|| {
        for tag in &tags {
            callers.push(fixture.gateway.connect_caller());
            callers.last().unwrap().start_call(tag, 3000);
        }
    });
    assert_each_answered_once(&callers, &tags);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_ups_on_connections_pending_together_with_sigterm_are_each_answered_once() {
    let fixture = fixture("backlog-term", 256, answer);
    let tags: Vec<_> = (0..5).map(tag).collect();
    let mut callers = Vec::new();
    fixture.while_paused(|| {
        fixture.gateway.signal(Signal::TERM);
        for tag in &tags {
            callers.push(fixture.gateway.connect_caller());
            callers.last().unwrap().start_call(tag, 3000);
        }
        sleep(SERVING_TIME);
    });
    assert_each_answered_once(&callers, &tags);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_ups_unread_on_a_hundred_connections_at_the_shutdown_are_each_answered_once() {
    // More than may be closed gracefully at the same time.
    let fixture = fixture("hundred", 256, answer);
    let callers: Vec<_> = (0..100).map(|_| fixture.caller()).collect();
    let tags: Vec<_> = (0..callers.len()).map(tag).collect();
    fixture.race_with_shutdown(|| {
        for (caller, tag) in callers.iter().zip(&tags) {
            caller.start_call(tag, 3000);
        }
    });
    assert_each_answered_once(&callers, &tags);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_up_unread_at_the_shutdown_is_answered_once_beside_one_with_an_open_attempt() {
    let fixture = fixture("out", 256, ignore_line);
    let (caller, other) = (fixture.caller(), fixture.caller());
    let [out, same, on_other] = [tag(1), tag(2), tag(3)];
    caller.start_call(&out, 5000);
    let attempt = fixture.core.next("START");
    fixture.race_with_shutdown(|| {
        // Its answer is unread as well, so that no answer may be outstanding when the gateway first checks.
        send_line(&attempt.link, &started(&out));
        caller.start_call(&same, 3000);
        other.start_call(&on_other, 3000);
    });
    assert_each_answered_once([&caller], [&out, &same]);
    assert_each_answered_once([&other], [&on_other]);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn call_whose_core_switch_connection_breaks_at_the_shutdown_is_answered_once() {
    let first = AtomicBool::new(true);
    let fixture = fixture("out-broken", 256, move |link, line| {
        if line["verb"] != "START" || !first.swap(false, Ordering::Relaxed) {
            answer(link, line);
        }
    });
    let caller = fixture.caller();
    caller.start_call(&tag(1), 5000);
    let attempt = fixture.core.next("START");
    let mut broke = Instant::now();
    fixture.race_with_shutdown(|| {
        attempt.link.shutdown(Shutdown::Both).unwrap();
        broke = Instant::now();
    });
    let heard = assert_each_answered_once([&caller], [&tag(1)]);
    assert_eq!(heard[&tag(1)][0]["verb"], "STARTED", "there was time for another attempt");
    let again = fixture.core.attempts(&tag(1));
    assert!(again.len() == 1 && again[0].at >= broke + GUARD);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn call_without_an_answer_fails_at_its_deadline_and_the_gateway_exits() {
    let fixture = fixture("mute", 256, ignore_line);
    let mut caller = fixture.caller();
    caller.start_call(&tag(1), 1500);
    fixture.core.next("START");
    let asked = Instant::now();
    fixture.begin_shutdown();
    let line = caller.receive().expect("an answer");
    assert_eq!((&line["verb"], &line["tag"]), (&json!("FINISH"), &json!(tag(1))));
    // Its deadline, plus the half second in which an answer is late but still allowed.
    assert!(asked.elapsed() < Duration::from_millis(2000));
    assert!(caller.is_at_end());
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn call_held_while_no_circuit_is_free_is_answered_once_and_the_gateway_exits() {
    let fixture = fixture("held", 256, |link, line| {
        if line["verb"] == "START" {
            let mut full = finish(line["tag"].as_str().unwrap(), 34);
            full["opts"] = json!({"note": "group_full"});
            send_line(link, &full);
        }
    });
    let caller = fixture.caller();
    let tags: Vec<_> = (0..3).map(tag).collect();
    for tag in &tags[..2] {
        caller.start_call(tag, 4000);
    }
    fixture.core.next("START");
    fixture.race_with_shutdown(|| caller.start_call(&tags[2], 4000));
    assert_each_answered_once([&caller], &tags);
    fixture.assert_exits_within(TIMEOUT);
}

/// The tag of the call that is released after the answer to this one.
fn marker(tag: &str) -> String {
    format!("6d{}", &tag[2..])
}

/// Answers with a long line, and then releases the call's marker on the same connection.
fn answer_with_long_line(link: &TcpStream, line: &Value) {
    let tag = line["tag"].as_str().unwrap();
    if line["verb"] == "START" && tag.starts_with("5d") {
        let long = json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": "x".repeat(15_000)});
        // The test itself checks for a closed peer.
        let _ = { link }.write_all(format!("{long}\n{}\n", finish(&marker(tag), 16)).as_bytes());
    } else {
        answer(link, line);
    }
}

#[test]
fn answers_half_written_at_the_shutdown_are_delivered_completely() {
    let fixture = fixture("half-written", 256, answer_with_long_line);
    let mut caller = fixture.caller();
    let tags = fill_send_buffer(&fixture, &mut caller);
    fixture.race_with_shutdown(|| {});
    assert_each_answered_once([&caller], &tags[1..]);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_up_unread_behind_a_half_written_answer_at_the_shutdown_is_answered_once() {
    let fixture = fixture("half-written-more", 256, answer_with_long_line);
    let mut caller = fixture.caller();
    let mut tags = fill_send_buffer(&fixture, &mut caller);
    tags.push(tag(tags.len()));
    fixture.race_with_shutdown(|| caller.start_call(&tags[tags.len() - 1], 3000));
    assert_each_answered_once([&caller], &tags[1..]);
    fixture.assert_exits_within(TIMEOUT);
}

/// Sets up calls whose answers the caller does not read, until the kernel accepts no more and an answer is
/// half written. The answer to the first call is read. Returns the tags.
fn fill_send_buffer(fixture: &Fixture, caller: &mut Caller) -> Vec<String> {
    let local = caller.stream.local_addr().unwrap();
    let mut marks = fixture.caller();
    let mut tags = vec![tag(0)];
    caller.start_call(&tags[0], 5000);
    let length = caller.receive().unwrap().to_string().len() + 1;
    let mut written = 0;
    while bytes_in_kernel(fixture.gateway.address, local) >= written {
        let next = tag(tags.len());
        marks.start_call(&marker(&next), 5000);
        assert_eq!(marks.receive().unwrap()["verb"], "STARTED");
        caller.start_call(&next, 5000);
        // All earlier answers have been written as far as the kernel accepted them.
        assert_eq!(marks.receive().unwrap(), finish(&marker(&next), 16));
        tags.push(next);
        written += length;
    }
    tags
}

// Releases that race with the shutdown.

#[test]
fn callers_release_unread_at_the_shutdown_reaches_the_core_switch() {
    let fixture = fixture("release", 256, answer);
    let caller = fixture.caller_with_call(&tag(1));
    fixture.race_with_shutdown(|| caller.send(&finish(&tag(1), 16)));
    assert_eq!(fixture.core.next("FINISH").line, finish(&tag(1), 16));
    drop(caller);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn callers_releases_in_a_batch_and_on_a_connection_not_yet_accepted_reach_the_core_switch() {
    let fixture = fixture("releases", 256, answer);
    let tags: BTreeSet<_> = (0..40).map(tag).collect();
    let mut caller = fixture.caller();
    for tag in &tags {
        caller.start_call(tag, 5000);
        assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    }
    let (last, others) = (tag(39), &tags);
    let mut late = None;
    fixture.race_with_shutdown(|| {
        let lines = others.iter().filter(|tag| **tag != last).map(|tag| format!("{}\n", finish(tag, 16)));
        write(&caller.stream, &lines.collect::<String>());
        // An established call is not bound to a connection.
        late = Some(fixture.gateway.connect_caller());
        late.as_ref().unwrap().send(&finish(&last, 16));
    });
    let mut missing = tags.clone();
    let until = Instant::now() + TIMEOUT;
    while !missing.is_empty() {
        let left = until.saturating_duration_since(Instant::now());
        match fixture.core.received.recv_timeout(left) {
            Ok(received) if received.line["verb"] == "FINISH" => {
                missing.remove(received.line["tag"].as_str().unwrap())
            }
            Ok(_) => continue,
            Err(_) => panic!("{} of {} releases did not come: {missing:?}", missing.len(), tags.len()),
        };
    }
    drop((caller, late));
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn callers_release_at_the_shutdown_reaches_a_core_switch_that_closed_its_connection() {
    let fixture = fixture("release-closed", 256, answer);
    let mut caller = fixture.caller();
    caller.start_call(&tag(1), 5000);
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let link = fixture.core.next("START").link;
    fixture.race_with_shutdown(|| {
        // The switch keeps reading, so it gets the release, whether on this connection before the gateway
        // sees the close or on a new one.
        link.shutdown(Shutdown::Write).unwrap();
        caller.send(&finish(&tag(1), 16));
    });
    assert_eq!(fixture.core.next("FINISH").line, finish(&tag(1), 16));
    drop(caller);
    fixture.assert_exits_within(TIMEOUT);
}

/// An established call was released by its caller while its core switch was unreachable: the release waits
/// for a connection.
fn fixture_with_waiting_release(test: &str) -> Fixture {
    let core = CoreSwitch::at(SocketAddr::from(([127, 0, 0, 1], 0)), 1, answer);
    let fixture = fixture_with(test, 256, core);
    let mut caller = fixture.caller();
    caller.start_call(&tag(1), 5000);
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let link = fixture.core.next("START").link;
    let before = descriptors(&fixture.gateway);
    link.shutdown(Shutdown::Both).unwrap();
    wait_until("the gateway has seen the close", || descriptors(&fixture.gateway) < before);
    caller.send(&finish(&tag(1), 16));
    assert_eq!(caller.receive().unwrap()["verb"], "FINISHED");
    fixture
}

#[test]
fn release_waiting_for_a_connection_at_the_shutdown_reaches_a_core_switch_that_is_back() {
    let fixture = fixture_with_waiting_release("release-waits");
    let mut back = None;
    fixture.race_with_shutdown(|| back = Some(CoreSwitch::at(fixture.core.address, usize::MAX, answer)));
    assert_eq!(back.unwrap().next("FINISH").line, finish(&tag(1), 16));
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn release_waiting_for_a_connection_reaches_a_core_switch_that_returns_after_the_shutdown() {
    let fixture = fixture_with_waiting_release("release-later");
    fixture.race_with_shutdown(|| {});
    // All callers' connections are closed, so only the release keeps the gateway running.
    sleep(Duration::from_millis(150));
    let back = CoreSwitch::at(fixture.core.address, usize::MAX, answer);
    assert_eq!(back.next("FINISH").line, finish(&tag(1), 16));
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn undeliverable_release_does_not_delay_the_exit() {
    let fixture = fixture_with_waiting_release("release-never");
    fixture.begin_shutdown();
    // The platform kills a gateway no sooner than 3.7 s after SIGTERM.
    fixture.assert_exits_within(Duration::from_millis(3500));
}

#[test]
fn core_switchs_release_unread_at_the_shutdown_reaches_the_caller() {
    let fixture = fixture("released", 256, answer);
    let mut caller = fixture.caller();
    caller.start_call(&tag(1), 5000);
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let link = fixture.core.next("START").link;
    fixture.race_with_shutdown(|| send_line(&link, &finish(&tag(1), 16)));
    assert_eq!(caller.receive(), Some(finish(&tag(1), 16)));
    assert_eq!(caller.receive(), None);
    drop(caller);
    fixture.assert_exits_within(TIMEOUT);
}

// Signals.

#[test]
fn second_sigterm_does_not_shorten_the_shutdown() {
    let fixture = fixture("twice", 256, ignore_line);
    let (caller, other) = (fixture.caller(), fixture.caller());
    let (out, late) = (tag(1), tag(2));
    caller.start_call(&out, 5000);
    let attempt = fixture.core.next("START");
    fixture.race_with_shutdown(|| {
        fixture.gateway.signal(Signal::TERM);
        other.start_call(&late, 3000);
    });
    // The late set-up may be refused or served, but must be answered once.
    fixture.gateway.signal(Signal::TERM);
    fixture.gateway.signal(Signal::INT);
    send_line(&attempt.link, &started(&out));
    assert_each_answered_once([&caller], [&out]);
    assert_each_answered_once([&other], [&late]);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn sighup_just_before_and_just_after_sigterm_does_not_affect_calls() {
    let fixture = fixture("hup", 256, ignore_line);
    let mut caller = fixture.caller();
    let [out, between, late] = [tag(1), tag(2), tag(3)];
    caller.start_call(&out, 5000);
    let attempt = fixture.core.next("START");
    let zone = fixture.name_server.zone.lock().unwrap().clone();
    let other = NameServer::new(Zone { serial: 2, ..zone });
    let received = config(fixture.gateway.address, other.address, &[("s-1", fixture.core.address)]);
    std::fs::write(&fixture.gateway.file, received.to_string()).unwrap();
    // Both signals are pending when the gateway resumes.
    fixture.while_paused(|| {
        fixture.gateway.signal(Signal::HUP);
        fixture.gateway.signal(Signal::TERM);
        caller.start_call(&between, 3000);
    });
    fixture.gateway.wait_for_log("ending");
    other.wait_for_queries(1);
    while health_check_code(&mut caller) == 1 {}
    // Again while the serving time passes, with half a configuration.
    std::fs::write(&fixture.gateway.file, "{\"name\":").unwrap();
    fixture.while_paused(|| {
        fixture.gateway.signal(Signal::HUP);
        caller.start_call(&late, 3000);
        sleep(SERVING_TIME);
    });
    fixture.gateway.wait_for_log("the configuration stays as it was");
    for tag in [&out, &between] {
        send_line(&attempt.link, &finish(tag, 17));
    }
    assert_each_answered_once([&caller], [&out, &between, &late]);
    fixture.assert_exits_within(TIMEOUT);
}

// Until the last moment.

/// Polls a connection for received bytes and for its end.
struct ConnectionProbe<'a> {
    stream: &'a TcpStream,
    received_bytes: Vec<u8>,
    /// Last time at which the connection was still open.
    last_open: Instant,
    /// `true` after a close, `false` after a reset.
    ended: Option<bool>,
}

impl<'a> ConnectionProbe<'a> {
    fn new(stream: &'a TcpStream) -> Self {
        stream.set_read_timeout(Some(Duration::from_millis(3))).unwrap();
        Self { stream, received_bytes: Vec::new(), last_open: Instant::now(), ended: None }
    }

    fn poll(&mut self) {
        let (last_open, mut bytes) = (Instant::now(), [0; 16 * 1024]);
        match self.stream.read(&mut bytes) {
            Ok(0) => self.ended = Some(true),
            Ok(n) => {
                self.received_bytes.extend(&bytes[..n]);
                self.last_open = last_open;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => self.last_open = last_open,
            Err(_) => self.ended = Some(false),
        }
    }

    /// Whether bytes written then may have crossed the close. A caller that was not scheduled for a while
    /// does not know when the close arrived, so the time counts up to the last moment at which the connection
    /// was surely open.
    fn may_have_crossed(&self, written: Instant) -> bool {
        self.last_open.saturating_duration_since(written) < CROSSING_TIME
    }

    /// The tags of all lines received.
    fn tags(&self) -> Vec<String> {
        let lines = self.received_bytes.split(|b| *b == b'\n').filter(|line| !line.is_empty());
        let read = |line| serde_json::from_slice::<Value>(line).expect("the gateway writes whole lines");
        lines.map(|line| read(line)["tag"].as_str().unwrap().to_owned()).collect()
    }
}

#[test]
fn set_ups_sent_until_the_close_are_each_answered_once_unless_they_crossed_it() {
    let fixture = fixture("last", 256, answer);
    let number = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..4)
        .map(|_| {
            let (caller, number) = (fixture.caller(), number.clone());
            spawn(move || {
                let (began, mut probe, mut sent) =
                    (Instant::now(), ConnectionProbe::new(&caller.stream), Vec::new());
                while probe.ended.is_none() {
                    assert!(began.elapsed() < TIMEOUT, "the gateway does not exit");
                    let tag = tag(number.fetch_add(1, Ordering::Relaxed));
                    if { &caller.stream }.write_all(set_up_line(&tag, 3000).as_bytes()).is_ok() {
                        sent.push((tag, Instant::now()));
                    }
                    sleep(Duration::from_millis(3));
                    probe.poll();
                }
                // The gateway waits a few tenths of a second for the caller to close its side.
                let kept_waiting = probe.last_open.elapsed() > Duration::from_millis(200);
                assert!(probe.ended == Some(true) || kept_waiting, "a close and no reset");
                let tags = probe.tags();
                let mut answers = BTreeMap::<_, u32>::new();
                tags.iter().for_each(|tag| *answers.entry(tag).or_default() += 1);
                assert!(answers.values().all(|n| *n == 1), "more than one answer to a set-up");
                let without = sent.iter().filter(|(tag, _)| !answers.contains_key(tag));
                let (crossed, lost): (Vec<_>, Vec<_>) =
                    without.partition(|(_, at)| probe.may_have_crossed(*at));
                assert!(lost.is_empty(), "{} of {} set-ups got no answer", lost.len(), sent.len());
                crossed.len()
            })
        })
        .collect();
    fixture.begin_shutdown();
    // The gateway is paused while the serving time elapses, as on a busy machine.
    sleep(Duration::from_millis(400));
    fixture.while_paused(|| sleep(Duration::from_millis(500)));
    let crossed: Vec<_> = callers.into_iter().map(|c| c.join().expect("no assertion failed")).collect();
    eprintln!("{crossed:?} set-ups crossed the close");
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn connections_until_the_exit_are_answered_closed_in_crossing_or_refused() {
    let fixture = fixture("newcomers", 256, answer);
    fixture.begin_shutdown();
    let (mut served, mut crossed) = (0, 0);
    let began = Instant::now();
    loop {
        assert!(began.elapsed() < TIMEOUT, "the gateway does not exit");
        let Ok(stream) = TcpStream::connect(fixture.gateway.address) else { break };
        let tag = tag(served + crossed);
        if { &stream }.write_all(set_up_line(&tag, 3000).as_bytes()).is_err() {
            // The connection was reset before anything was written.
            continue;
        }
        let (written, mut probe) = (Instant::now(), ConnectionProbe::new(&stream));
        while probe.ended.is_none() && !probe.received_bytes.ends_with(b"\n") {
            assert!(began.elapsed() < TIMEOUT, "neither an answer nor an end came");
            probe.poll();
        }
        if probe.received_bytes.is_empty() {
            assert!(probe.may_have_crossed(written), "no answer after {:?}", written.elapsed());
            crossed += 1;
        } else {
            assert_eq!(probe.tags(), [tag]);
            served += 1;
        }
    }
    eprintln!("{served} answered, {crossed} crossed the close");
    assert!(served > 0, "no call was served before the exit");
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn peers_that_never_close_or_read_do_not_delay_the_exit() {
    let fixture = fixture("never", 256, answer_with_long_line);
    let mut reads_nothing = fixture.caller();
    fill_send_buffer(&fixture, &mut reads_nothing);
    let never_close: Vec<_> = (0..40).map(|_| fixture.caller()).collect();
    let half = fixture.caller();
    write(&half.stream, "{\"verb\":\"START\",\"tag\"");
    fixture.begin_shutdown();
    // The platform kills a gateway no sooner than 3.7 s after SIGTERM.
    fixture.assert_exits_within(Duration::from_millis(3500));
    drop((reads_nothing, never_close, half));
}

// Idle connections closed to make room.

/// Descriptor limit of a small gateway, and its places for callers: a quarter of the descriptors is for core
/// switches, an eighth for connections being closed, and 16 are reserved.
const SMALL_DESCRIPTOR_LIMIT: usize = 64;
const CLIENT_PLACES: usize =
    SMALL_DESCRIPTOR_LIMIT - SMALL_DESCRIPTOR_LIMIT / 4 - SMALL_DESCRIPTOR_LIMIT / 8 - 16;

/// A small gateway whose places are all taken by idle callers, the longest idle first.
fn full_fixture(test: &str) -> (Fixture, Vec<Caller>) {
    let fixture = fixture(test, SMALL_DESCRIPTOR_LIMIT, answer);
    let callers = (0..CLIENT_PLACES).map(|_| fixture.caller()).collect();
    (fixture, callers)
}

/// Connects new clients that send a health check, so that none of them is closed to make room for the next.
fn connect_newcomers(fixture: &Fixture, number: usize) -> Vec<Caller> {
    let callers: Vec<_> = (0..number).map(|_| fixture.gateway.connect_caller()).collect();
    callers.iter().for_each(|caller| caller.send(&echo()));
    callers
}

/// Asserts that a set-up is answered on a connection that may be closed afterwards to make room.
fn assert_one_answer(caller: &mut Caller, tag: &str) {
    let line = caller.receive().expect("an answer before the end");
    assert!(line["verb"] == "STARTED" || line["verb"] == "FINISH", "{line}");
    assert_eq!(line["tag"], tag);
}

#[test]
fn set_up_unread_on_the_longest_idle_connection_is_answered_when_its_place_is_needed() {
    let (fixture, mut idle) = full_fixture("room-before");
    let mut newcomers = Vec::new();
    fixture.while_paused(|| {
        idle[0].start_call(&tag(1), 3000);
        newcomers = connect_newcomers(&fixture, 4);
        sleep(2 * CROSSING_TIME);
    });
    assert_one_answer(&mut idle[0], &tag(1));
}

#[test]
fn set_up_sent_after_new_connections_claimed_its_place_is_answered() {
    let (fixture, mut idle) = full_fixture("room-after");
    let mut newcomers = Vec::new();
    fixture.while_paused(|| {
        newcomers = connect_newcomers(&fixture, 4);
        (0..4).for_each(|n| idle[n].start_call(&tag(n), 3000));
        sleep(2 * CROSSING_TIME);
    });
    (0..4).for_each(|n| assert_one_answer(&mut idle[n], &tag(n)));
}

#[test]
fn set_up_half_read_on_the_longest_idle_connection_is_answered_when_its_place_is_needed() {
    let (fixture, mut idle) = full_fixture("room-half");
    let line = set_up_line(&tag(1), 3000);
    let (half, rest) = line.split_at(line.len() / 2);
    let ping = json!({"verb": "ECHO", "tag": tag(2), "opts": {}, "rc": 0});
    write(&idle[0].stream, &format!("{ping}\n{half}"));
    assert_eq!(idle[0].receive().unwrap()["verb"], "ECHOED");
    // The other connections were active later.
    assert!(idle[1..].iter_mut().all(|caller| health_check_code(caller) == 1));
    let mut newcomers = Vec::new();
    fixture.while_paused(|| {
        newcomers = connect_newcomers(&fixture, 4);
        write(&idle[0].stream, rest);
        sleep(2 * CROSSING_TIME);
    });
    assert_one_answer(&mut idle[0], &tag(1));
}

#[test]
fn set_ups_on_more_new_connections_than_places_are_each_answered() {
    let (fixture, _idle) = full_fixture("crowd");
    let mut crowd = Vec::new();
    fixture.while_paused(|| {
        for n in 0..2 * CLIENT_PLACES {
            crowd.push(fixture.gateway.connect_caller());
            crowd[n].start_call(&tag(n), 3000);
        }
        sleep(2 * CROSSING_TIME);
    });
    for (n, caller) in crowd.iter_mut().enumerate() {
        // Beyond the places: refused without a tag, or with the tag of the call.
        let line = caller.receive().unwrap_or_else(|| panic!("newcomer {n} was closed without a message"));
        assert!(line["verb"] == "STARTED" || line["verb"] == "FINISH", "{line}");
    }
}

#[test]
fn set_up_completed_in_time_but_unread_is_answered_on_an_overdue_connection() {
    let fixture = fixture("overdue", 256, answer);
    // One client has not sent a whole line yet, the other has.
    let (mut silent, mut half) = (fixture.gateway.connect_caller(), fixture.caller());
    let lines = [set_up_line(&tag(1), 3000), set_up_line(&tag(2), 3000)];
    let (begin, rest) = lines[1].split_at(30);
    write(&half.stream, begin);
    // The half line has been read, as a connection accepted later is answered.
    fixture.caller();
    fixture.while_paused(|| {
        write(&silent.stream, &lines[0]);
        write(&half.stream, rest);
        sleep(Duration::from_millis(2600));
    });
    assert_one_answer(&mut silent, &tag(1));
    assert_one_answer(&mut half, &tag(2));
}

// Core switches that close connections.

/// Asserts that each attempt was made no sooner than the guard time after the close of the previous one.
fn assert_guard_observed(attempts: &[Instant], closes: &[Instant]) {
    assert!(attempts.len() > 1, "the call was not retried");
    for (closed, again) in closes.iter().zip(&attempts[1..]) {
        let distance = again.checked_duration_since(*closed);
        assert!(distance.is_some_and(|d| d >= GUARD), "the next attempt came {distance:?} after the close");
    }
}

#[test]
fn core_switch_that_closes_on_a_set_up_is_retried_after_the_guard_with_one_answer() {
    let closes = Arc::new(Mutex::new(Vec::new()));
    let closed = closes.clone();
    let fixture = fixture("link-close", 256, move |link, line| {
        if line["verb"] == "START" {
            let mut closed = closed.lock().unwrap();
            if closed.len() == 2 {
                return answer(link, line);
            }
            closed.push(Instant::now());
            link.shutdown(Shutdown::Both).unwrap();
        }
    });
    let mut caller = fixture.caller();
    caller.start_call(&tag(1), 5000);
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let attempts: Vec<_> = fixture.core.attempts(&tag(1)).iter().map(|t| t.at).collect();
    assert_guard_observed(&attempts, &closes.lock().unwrap());
    fixture.begin_shutdown();
    assert_eq!(caller.receive(), None, "one answer");
    drop(caller);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn core_switch_that_resets_on_a_set_up_is_retried_after_the_guard_with_one_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (send, received) = channel();
    let attempts = Arc::new(Mutex::new((Vec::new(), Vec::new())));
    let seen = attempts.clone();
    spawn(move || {
        let _told = send;
        for link in listener.incoming().flatten() {
            let seen = seen.clone();
            spawn(move || {
                let mut bytes = [0; 16 * 1024];
                loop {
                    let Ok(n) = link.peek(&mut bytes) else { return };
                    let Some(end) = bytes[..n].iter().position(|b| *b == b'\n') else { return };
                    let line: Value = serde_json::from_slice(&bytes[..end]).unwrap();
                    if line["verb"] == "START" {
                        let mut seen = seen.lock().unwrap();
                        seen.0.push(Instant::now());
                        if seen.0.len() < 3 {
                            // Closing with unread bytes sends a reset.
                            seen.1.push(Instant::now());
                            return;
                        }
                    }
                    (&link).read_exact(&mut bytes[..=end]).unwrap();
                    answer(&link, &line);
                }
            });
        }
    });
    let fixture = fixture_with("link-reset", 256, CoreSwitch { address, received });
    let mut caller = fixture.caller();
    caller.start_call(&tag(1), 5000);
    let line = caller.receive().unwrap();
    assert_eq!((&line["verb"], &line["tag"]), (&json!("STARTED"), &json!(tag(1))));
    let (attempts, closes) = &*attempts.lock().unwrap();
    assert_guard_observed(attempts, closes);
    fixture.begin_shutdown();
    assert_eq!(caller.receive(), None, "one answer");
    drop(caller);
    fixture.assert_exits_within(TIMEOUT);
}

#[test]
fn set_up_that_crosses_the_close_of_an_idle_core_switch_connection_is_served_once() {
    let fixture = fixture("link-idle", 256, answer);
    let mut caller = fixture.caller();
    caller.start_call(&tag(1), 5000);
    assert_eq!(caller.receive().unwrap()["tag"], tag(1));
    let idle = fixture.core.next("START").link;
    fixture.while_paused(|| {
        idle.shutdown(Shutdown::Both).unwrap();
        caller.start_call(&tag(2), 5000);
    });
    let line = caller.receive().unwrap();
    assert_eq!((&line["verb"], &line["tag"]), (&json!("STARTED"), &json!(tag(2))));
    assert_eq!(fixture.core.attempts(&tag(2)).len(), 1);
    fixture.begin_shutdown();
    assert_eq!(caller.receive(), None, "one answer");
    drop(caller);
    fixture.assert_exits_within(TIMEOUT);
}
