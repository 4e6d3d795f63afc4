//! What crosses the end of a gateway, the close of an idle connection and the loss of a connection to a core switch.
//!
//! Order is forced by events: while the gateway is stopped (SIGSTOP), bytes are put into its sockets and its time limits
//! pass, so that it finds both at once when it goes on. What is written to loopback lies in the other socket when the
//! write returns.

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

/// Longer than a gateway serves set-ups after SIGTERM.
const SERVING_TIME: Duration = Duration::from_millis(900);
/// A set-up that crosses a close within this time is sent once more by its caller.
const CROSSING: Duration = Duration::from_millis(50);
/// No further attempt of a call within this time of a reset (`guardNs` of the settings).
const GUARD: Duration = Duration::from_millis(200);
/// What any test waits for takes less.
const TIMEOUT: Duration = Duration::from_secs(8);

// ---- The stand-ins --------------------------------------------------------------------------------------------

/// A line that a core switch was told: when, on which connection, what.
struct Told {
    at: Instant,
    link: TcpStream,
    line: Value,
}

/// A core switch that does with each line what the test says.
struct Core {
    address: SocketAddr,
    told: Receiver<Told>,
}

impl Core {
    fn new(act: impl Fn(&TcpStream, &Value) + Send + Sync + 'static) -> Self {
        Self::at(SocketAddr::from(([127, 0, 0, 1], 0)), usize::MAX, act)
    }

    /// One at this address that takes so many connections and then refuses all others.
    fn at(
        address: SocketAddr,
        links: usize,
        act: impl Fn(&TcpStream, &Value) + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let (send, told) = channel();
        let act = Arc::new(act);
        spawn(move || {
            for link in listener.incoming().take(links).flatten() {
                link.set_nodelay(true).unwrap();
                let (send, act) = (send.clone(), act.clone());
                spawn(move || {
                    let reader = BufReader::new(link.try_clone().unwrap());
                    for line in reader.lines().map_while(Result::ok) {
                        let line: Value = serde_json::from_str(&line).expect("the gateway writes JSON");
                        let told = Told { at: Instant::now(), link: link.try_clone().unwrap(), line };
                        let line = told.line.clone();
                        let _ = send.send(told);
                        act(&link, &line);
                    }
                });
            }
        });
        Self { address, told }
    }

    /// The next message of this type.
    fn next_message(&self, verb: &str) -> Told {
        let until = Instant::now() + TIMEOUT;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let told = self.told.recv_timeout(left).unwrap_or_else(|_| panic!("no {verb} came"));
            if told.line["verb"] == verb {
                return told;
            }
        }
    }

    /// Set-ups of this call that came and were not asked for yet.
    fn attempts(&self, tag: &str) -> Vec<Told> {
        self.told.try_iter().filter(|t| t.line["verb"] == "START" && t.line["tag"] == tag).collect()
    }
}

fn answer(link: &TcpStream, line: &Value) {
    if line["verb"] == "START" {
        let tag = line["tag"].as_str().unwrap();
        // A peer that is gone is the test's affair.
        let _ = { link }.write_all(format!("{}\n", started(tag)).as_bytes());
    }
}

fn keep_silent(_: &TcpStream, _: &Value) {}

fn started(tag: &str) -> Value {
    json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": format!("answer\r\n{tag}")})
}

fn finish(tag: &str, rc: i64) -> Value {
    json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": rc})
}

fn tag(number: usize) -> String {
    format!("5d0000000000{number:04x}")
}

/// The line of a set-up.
fn set_up(tag: &str, left_ms: u64) -> String {
    let line = json!({"verb": "START", "tag": tag, "blob": format!("offer\r\n{tag}"),
        "opts": {"class": "voice", "left": left_ms.to_string(), "key": "7f3a", "extras": "dest:0;width:1;via:-1"}});
    format!("{line}\n")
}

fn write(mut stream: &TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).unwrap();
}

/// A gateway in front of one core switch.
struct House {
    gateway: Gateway,
    core: Core,
    names: NameServer,
}

fn house(test: &str, sockets: usize, act: impl Fn(&TcpStream, &Value) + Send + Sync + 'static) -> House {
    house_of(test, sockets, Core::new(act))
}

fn house_of(test: &str, sockets: usize, core: Core) -> House {
    let switches = vec![("s-1".to_owned(), core.address)];
    let names = NameServer::new(DnsZone { serial: 1, switches, ..DnsZone::default() });
    let mut config = node_config(free_address(), names.address, &[("s-1", core.address)]);
    config["limits"]["sockets"] = json!(sockets);
    House { gateway: Gateway::start(&format!("shutdown-{test}"), &config), core, names }
}

impl House {
    /// A caller's connection that the gateway has read from.
    fn connect_caller(&self) -> Caller {
        let mut caller = self.gateway.connect_caller();
        caller.stream.set_nodelay(true).unwrap();
        assert_eq!(passes_test(&mut caller), 1);
        caller
    }

    /// A call that stands, and its caller.
    fn standing(&self, tag: &str) -> Caller {
        let mut caller = self.connect_caller();
        caller.send_set_up(tag, 5000);
        assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
        self.core.next_message("START");
        caller
    }

    /// The gateway is told to end, and has understood: it fails the test of the connection that comes back.
    fn is_told_to_end(&self) -> Caller {
        let mut asks = self.connect_caller();
        self.gateway.send_signal(Signal::TERM);
        self.gateway.wait_for_log("ending");
        while passes_test(&mut asks) == 1 {}
        asks
    }

    /// The gateway is told to end and then stands still while `meanwhile` happens and its serving time passes. What it
    /// finds first when it goes on is a test by somebody else: the earliest occasion to see that the time is over.
    fn crosses_the_end(&self, meanwhile: impl FnOnce()) {
        let asks = self.is_told_to_end();
        self.stands_still(|| {
            asks.send(&echo());
            meanwhile();
            sleep(SERVING_TIME);
        });
    }

    fn stands_still(&self, meanwhile: impl FnOnce()) {
        self.gateway.send_signal(Signal::STOP);
        let tasks = format!("/proc/{}/task", self.gateway.process_id());
        wait_until("the gateway stands still", || {
            let tasks = std::fs::read_dir(&tasks).unwrap();
            tasks.flatten().all(|task| state(&task.path().join("stat")) == Some('T'))
        });
        meanwhile();
        self.gateway.send_signal(Signal::CONT);
    }

    /// The process exits by itself within this time, and well.
    fn exits_within(self, limit: Duration) {
        let began = Instant::now();
        let stat = std::path::PathBuf::from(format!("/proc/{}/stat", self.gateway.process_id()));
        while state(&stat) != Some('Z') {
            assert!(began.elapsed() < limit, "the gateway still runs after {limit:?}");
            sleep(Duration::from_millis(5));
        }
        assert!(self.gateway.wait().success());
    }
}

fn echo() -> Value {
    json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0})
}

/// The cause that a test is answered with.
fn passes_test(caller: &mut Caller) -> i64 {
    caller.send(&echo());
    let line = caller.receive().unwrap();
    assert_eq!(line["verb"], "ECHOED");
    line["rc"].as_i64().unwrap()
}

/// The state of a process or thread: what follows its name in brackets.
fn state(stat: &std::path::Path) -> Option<char> {
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

/// Descriptors that the gateway holds.
fn descriptors(gateway: &Gateway) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", gateway.process_id())).unwrap().count()
}

/// Bytes that lie between the gateway's and a caller's ends of a connection, in either kernel queue.
fn queued(gateway: SocketAddr, caller: SocketAddr) -> usize {
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

/// What a caller hears of each call until the end of its connection, and whether that is an orderly one.
fn heard_to_the_end(caller: &Caller) -> (BTreeMap<String, Vec<Value>>, bool) {
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

/// These callers hear one final answer to each of these set-ups, and an orderly end. What they heard.
fn hear_each_once<'a>(
    callers: impl IntoIterator<Item = &'a Caller>,
    tags: impl IntoIterator<Item = &'a String>,
) -> BTreeMap<String, Vec<Value>> {
    let (mut heard, mut resets) = (BTreeMap::new(), 0);
    for caller in callers {
        let (more, orderly) = heard_to_the_end(caller);
        heard.extend(more);
        resets += usize::from(!orderly);
    }
    each_once(&heard, resets, tags);
    heard
}

fn each_once<'a>(
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

// ---- Set-ups that cross the end -------------------------------------------------------------------------------

#[test]
fn a_set_up_half_read_when_the_gateway_is_told_to_end_is_answered_once() {
    let house = house("half", 256, answer);
    let mut caller = house.connect_caller();
    let (tag, line) = (tag(1), set_up(&tag(1), 3000));
    let (half, rest) = line.split_at(line.len() / 2);
    // The answer to the test says that the half line behind it has been read too.
    write(&caller.stream, &format!("{}\n{half}", json!({"verb": "ECHO", "tag": tag, "opts": {}, "rc": 0})));
    assert_eq!(caller.receive().unwrap()["verb"], "ECHOED");
    house.crosses_the_end(|| write(&caller.stream, rest));
    hear_each_once([&caller], [&tag]);
    house.exits_within(TIMEOUT);
}

#[test]
fn set_ups_unread_when_the_serving_time_is_over_are_each_answered_once() {
    let house = house("unread", 256, answer);
    let callers: Vec<_> = (0..5).map(|_| house.connect_caller()).collect();
    let tags: Vec<_> = (0..callers.len()).map(tag).collect();
    house.crosses_the_end(|| {
        for (caller, tag) in callers.iter().zip(&tags) {
            caller.send_set_up(tag, 3000);
        }
    });
    hear_each_once(&callers, &tags);
    house.exits_within(TIMEOUT);
}

#[test]
fn set_ups_unread_when_sigterm_itself_is_unread_are_each_answered_once() {
    let house = house("unread-term", 256, answer);
    let callers: Vec<_> = (0..5).map(|_| house.connect_caller()).collect();
    let tags: Vec<_> = (0..callers.len()).map(tag).collect();
    house.stands_still(|| {
        house.gateway.send_signal(Signal::TERM);
        for (caller, tag) in callers.iter().zip(&tags) {
            caller.send_set_up(tag, 3000);
        }
        sleep(SERVING_TIME);
    });
    hear_each_once(&callers, &tags);
    house.exits_within(TIMEOUT);
}

#[test]
fn a_set_up_behind_three_hundred_others_on_one_connection_is_answered_once_like_them() {
    let house = house("behind", 256, answer);
    let caller = house.connect_caller();
    let tags: Vec<_> = (0..301).map(tag).collect();
    let lines: String = tags.iter().map(|tag| set_up(tag, 3000)).collect();
    house.crosses_the_end(|| write(&caller.stream, &lines));
    hear_each_once([&caller], &tags);
    house.exits_within(TIMEOUT);
}

#[test]
fn a_set_up_behind_many_other_lines_is_answered_once_though_the_last_call_ends_meanwhile() {
    let house = house("behind-lines", 256, keep_silent);
    let (caller, other) = (house.connect_caller(), house.connect_caller());
    let (first, behind) = (tag(1), tag(2));
    caller.send_set_up(&first, 5000);
    let attempt = house.core.next_message("START");
    let heard = format!("{}\n", json!({"verb": "FINISHED", "tag": tag(3), "opts": {}}));
    house.crosses_the_end(|| {
        write(&other.stream, &(heard.repeat(300) + &set_up(&behind, 3000)));
        send_line(&attempt.link, &started(&first));
    });
    hear_each_once([&caller], [&first]);
    hear_each_once([&other], [&behind]);
    house.exits_within(TIMEOUT);
}

#[test]
fn a_set_up_unread_on_a_connection_just_accepted_is_answered_once() {
    let house = house("accepted", 256, answer);
    let asks = house.is_told_to_end();
    let before = descriptors(&house.gateway);
    let caller = house.gateway.connect_caller();
    wait_until("the connection is accepted", || descriptors(&house.gateway) > before);
    house.stands_still(|| {
        asks.send(&echo());
        caller.send_set_up(&tag(1), 3000);
        sleep(SERVING_TIME);
    });
    hear_each_once([&caller], [&tag(1)]);
    house.exits_within(TIMEOUT);
}

#[test]
fn set_ups_on_connections_that_are_not_accepted_yet_at_the_end_are_each_answered_once() {
    let house = house("backlog", 256, answer);
    // More than the gateway accepts before it looks at anything else.
    let tags: Vec<_> = (0..100).map(tag).collect();
    let mut callers = Vec::new();
    house.crosses_the_end(|| {
        for tag in &tags {
            callers.push(house.gateway.connect_caller());
            callers.last().unwrap().send_set_up(tag, 3000);
        }
    });
    hear_each_once(&callers, &tags);
    house.exits_within(TIMEOUT);
}

#[test]
fn set_ups_on_connections_that_are_not_accepted_when_sigterm_is_unread_are_each_answered_once() {
    let house = house("backlog-term", 256, answer);
    let tags: Vec<_> = (0..5).map(tag).collect();
    let mut callers = Vec::new();
    house.stands_still(|| {
        house.gateway.send_signal(Signal::TERM);
        for tag in &tags {
            callers.push(house.gateway.connect_caller());
            callers.last().unwrap().send_set_up(tag, 3000);
        }
        sleep(SERVING_TIME);
    });
    hear_each_once(&callers, &tags);
    house.exits_within(TIMEOUT);
}

#[test]
fn set_ups_unread_on_a_hundred_connections_at_the_end_are_each_answered_once() {
    // More than may be closed in order at once.
    let house = house("hundred", 256, answer);
    let callers: Vec<_> = (0..100).map(|_| house.connect_caller()).collect();
    let tags: Vec<_> = (0..callers.len()).map(tag).collect();
    house.crosses_the_end(|| {
        for (caller, tag) in callers.iter().zip(&tags) {
            caller.send_set_up(tag, 3000);
        }
    });
    hear_each_once(&callers, &tags);
    house.exits_within(TIMEOUT);
}

#[test]
fn a_set_up_unread_at_the_end_is_answered_once_beside_one_whose_attempt_is_out() {
    let house = house("out", 256, keep_silent);
    let (caller, other) = (house.connect_caller(), house.connect_caller());
    let [out, same, on_other] = [tag(1), tag(2), tag(3)];
    caller.send_set_up(&out, 5000);
    let attempt = house.core.next_message("START");
    house.crosses_the_end(|| {
        // Its answer lies unread as well, so that nothing may be owed at the first look.
        send_line(&attempt.link, &started(&out));
        caller.send_set_up(&same, 3000);
        other.send_set_up(&on_other, 3000);
    });
    hear_each_once([&caller], [&out, &same]);
    hear_each_once([&other], [&on_other]);
    house.exits_within(TIMEOUT);
}

#[test]
fn a_call_whose_connection_to_the_core_switch_breaks_at_the_end_is_answered_once() {
    let first = AtomicBool::new(true);
    let house = house("out-broken", 256, move |link, line| {
        if line["verb"] != "START" || !first.swap(false, Ordering::Relaxed) {
            answer(link, line);
        }
    });
    let caller = house.connect_caller();
    caller.send_set_up(&tag(1), 5000);
    let attempt = house.core.next_message("START");
    let mut broke = Instant::now();
    house.crosses_the_end(|| {
        attempt.link.shutdown(Shutdown::Both).unwrap();
        broke = Instant::now();
    });
    let heard = hear_each_once([&caller], [&tag(1)]);
    assert_eq!(heard[&tag(1)][0]["verb"], "STARTED", "there was time for another attempt");
    let again = house.core.attempts(&tag(1));
    assert!(again.len() == 1 && again[0].at >= broke + GUARD);
    house.exits_within(TIMEOUT);
}

#[test]
fn a_call_whose_core_switch_never_answers_is_failed_in_its_time_and_the_gateway_ends() {
    let house = house("mute", 256, keep_silent);
    let mut caller = house.connect_caller();
    caller.send_set_up(&tag(1), 1500);
    house.core.next_message("START");
    let asked = Instant::now();
    house.is_told_to_end();
    let line = caller.receive().expect("an answer");
    assert_eq!((&line["verb"], &line["tag"]), (&json!("FINISH"), &json!(tag(1))));
    // Its time and the half second in which an answer only earns nothing.
    assert!(asked.elapsed() < Duration::from_millis(2000));
    assert!(caller.reads_only_eof());
    house.exits_within(TIMEOUT);
}

#[test]
fn a_call_held_while_no_circuit_is_free_is_answered_once_and_the_gateway_ends() {
    let house = house("held", 256, |link, line| {
        if line["verb"] == "START" {
            let mut full = finish(line["tag"].as_str().unwrap(), 34);
            full["opts"] = json!({"note": "group_full"});
            send_line(link, &full);
        }
    });
    let caller = house.connect_caller();
    let tags: Vec<_> = (0..3).map(tag).collect();
    for tag in &tags[..2] {
        caller.send_set_up(tag, 4000);
    }
    house.core.next_message("START");
    house.crosses_the_end(|| caller.send_set_up(&tags[2], 4000));
    hear_each_once([&caller], &tags);
    house.exits_within(TIMEOUT);
}

/// The call that is released behind the answer to this one.
fn marker(tag: &str) -> String {
    format!("6d{}", &tag[2..])
}

/// Answers at length, and releases the call's marker behind that on the same connection.
fn answer_at_length(link: &TcpStream, line: &Value) {
    let tag = line["tag"].as_str().unwrap();
    if line["verb"] == "START" && tag.starts_with("5d") {
        let long = json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": "x".repeat(15_000)});
        // A peer that is gone is the test's affair.
        let _ = { link }.write_all(format!("{long}\n{}\n", finish(&marker(tag), 16)).as_bytes());
    } else {
        answer(link, line);
    }
}

#[test]
fn answers_half_written_at_the_end_come_whole_to_a_caller_that_reads_on() {
    let house = house("half-written", 256, answer_at_length);
    let mut caller = house.connect_caller();
    let tags = fill(&house, &mut caller);
    house.crosses_the_end(|| {});
    hear_each_once([&caller], &tags[1..]);
    house.exits_within(TIMEOUT);
}

#[test]
fn a_set_up_unread_behind_an_answer_half_written_at_the_end_is_answered_once() {
    let house = house("half-written-more", 256, answer_at_length);
    let mut caller = house.connect_caller();
    let mut tags = fill(&house, &mut caller);
    tags.push(tag(tags.len()));
    house.crosses_the_end(|| caller.send_set_up(&tags[tags.len() - 1], 3000));
    hear_each_once([&caller], &tags[1..]);
    house.exits_within(TIMEOUT);
}

/// Has calls answered that the caller does not read until the kernel takes no more: an answer is half written. The
/// first of the calls has been heard.
fn fill(house: &House, caller: &mut Caller) -> Vec<String> {
    let local = caller.stream.local_addr().unwrap();
    let mut marks = house.connect_caller();
    let mut tags = vec![tag(0)];
    caller.send_set_up(&tags[0], 5000);
    let length = caller.receive().unwrap().to_string().len() + 1;
    let mut written = 0;
    while queued(house.gateway.address, local) >= written {
        let next = tag(tags.len());
        marks.send_set_up(&marker(&next), 5000);
        assert_eq!(marks.receive().unwrap()["verb"], "STARTED");
        caller.send_set_up(&next, 5000);
        // What was answered before this has been given to the kernel as far as that took it.
        assert_eq!(marks.receive().unwrap(), finish(&marker(&next), 16));
        tags.push(next);
        written += length;
    }
    tags
}

// ---- Releases that cross the end ------------------------------------------------------------------------------

#[test]
fn a_callers_release_unread_at_the_end_reaches_the_core_switch() {
    let house = house("release", 256, answer);
    let caller = house.standing(&tag(1));
    house.crosses_the_end(|| caller.send(&finish(&tag(1), 16)));
    assert_eq!(house.core.next_message("FINISH").line, finish(&tag(1), 16));
    drop(caller);
    house.exits_within(TIMEOUT);
}

#[test]
fn callers_releases_behind_others_and_on_a_connection_not_accepted_yet_reach_the_core_switch() {
    let house = house("releases", 256, answer);
    let tags: BTreeSet<_> = (0..40).map(tag).collect();
    let mut caller = house.connect_caller();
    for tag in &tags {
        caller.send_set_up(tag, 5000);
        assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    }
    let (last, others) = (tag(39), &tags);
    let mut late = None;
    house.crosses_the_end(|| {
        let lines = others.iter().filter(|tag| **tag != last).map(|tag| format!("{}\n", finish(tag, 16)));
        write(&caller.stream, &lines.collect::<String>());
        // A standing call is bound to no connection.
        late = Some(house.gateway.connect_caller());
        late.as_ref().unwrap().send(&finish(&last, 16));
    });
    let mut missing = tags.clone();
    let until = Instant::now() + TIMEOUT;
    while !missing.is_empty() {
        let left = until.saturating_duration_since(Instant::now());
        match house.core.told.recv_timeout(left) {
            Ok(told) if told.line["verb"] == "FINISH" => missing.remove(told.line["tag"].as_str().unwrap()),
            Ok(_) => continue,
            Err(_) => panic!("{} of {} releases did not come: {missing:?}", missing.len(), tags.len()),
        };
    }
    drop((caller, late));
    house.exits_within(TIMEOUT);
}

#[test]
fn a_callers_release_at_the_end_reaches_a_core_switch_that_has_closed_its_connection() {
    let house = house("release-closed", 256, answer);
    let mut caller = house.connect_caller();
    caller.send_set_up(&tag(1), 5000);
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let link = house.core.next_message("START").link;
    house.crosses_the_end(|| {
        // It reads on: whether the release goes there before the close is seen or on a new one, it is heard.
        link.shutdown(Shutdown::Write).unwrap();
        caller.send(&finish(&tag(1), 16));
    });
    assert_eq!(house.core.next_message("FINISH").line, finish(&tag(1), 16));
    drop(caller);
    house.exits_within(TIMEOUT);
}

/// A call stood and was released by its caller while its core switch was away: the release waits for a connection.
fn release_that_waits(test: &str) -> House {
    let core = Core::at(SocketAddr::from(([127, 0, 0, 1], 0)), 1, answer);
    let house = house_of(test, 256, core);
    let mut caller = house.connect_caller();
    caller.send_set_up(&tag(1), 5000);
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let link = house.core.next_message("START").link;
    let before = descriptors(&house.gateway);
    link.shutdown(Shutdown::Both).unwrap();
    wait_until("the gateway has seen the close", || descriptors(&house.gateway) < before);
    caller.send(&finish(&tag(1), 16));
    assert_eq!(caller.receive().unwrap()["verb"], "FINISHED");
    house
}

#[test]
fn a_release_that_waits_for_a_connection_at_the_end_reaches_a_core_switch_that_is_back() {
    let house = release_that_waits("release-waits");
    let mut back = None;
    house.crosses_the_end(|| back = Some(Core::at(house.core.address, usize::MAX, answer)));
    assert_eq!(back.unwrap().next_message("FINISH").line, finish(&tag(1), 16));
    house.exits_within(TIMEOUT);
}

#[test]
fn a_release_that_waits_for_a_connection_at_the_end_reaches_a_core_switch_that_comes_back() {
    let house = release_that_waits("release-later");
    house.crosses_the_end(|| {});
    // All callers' connections are gone: nothing else keeps the gateway.
    sleep(Duration::from_millis(150));
    let back = Core::at(house.core.address, usize::MAX, answer);
    assert_eq!(back.next_message("FINISH").line, finish(&tag(1), 16));
    house.exits_within(TIMEOUT);
}

#[test]
fn a_release_that_no_connection_comes_up_for_does_not_keep_the_gateway_from_its_end() {
    let house = release_that_waits("release-never");
    house.is_told_to_end();
    // The platform kills 3.7 s after SIGTERM at the soonest.
    house.exits_within(Duration::from_millis(3500));
}

#[test]
fn a_core_switchs_release_unread_at_the_end_is_told_to_the_caller() {
    let house = house("released", 256, answer);
    let mut caller = house.connect_caller();
    caller.send_set_up(&tag(1), 5000);
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let link = house.core.next_message("START").link;
    house.crosses_the_end(|| send_line(&link, &finish(&tag(1), 16)));
    assert_eq!(caller.receive(), Some(finish(&tag(1), 16)));
    assert_eq!(caller.receive(), None);
    drop(caller);
    house.exits_within(TIMEOUT);
}

// ---- Signals --------------------------------------------------------------------------------------------------

#[test]
fn a_second_sigterm_cuts_nothing_short() {
    let house = house("twice", 256, keep_silent);
    let (caller, other) = (house.connect_caller(), house.connect_caller());
    let (out, late) = (tag(1), tag(2));
    caller.send_set_up(&out, 5000);
    let attempt = house.core.next_message("START");
    house.crosses_the_end(|| {
        house.gateway.send_signal(Signal::TERM);
        other.send_set_up(&late, 3000);
    });
    // Refused or served: no matter, but once.
    house.gateway.send_signal(Signal::TERM);
    house.gateway.send_signal(Signal::INT);
    send_line(&attempt.link, &started(&out));
    hear_each_once([&caller], [&out]);
    hear_each_once([&other], [&late]);
    house.exits_within(TIMEOUT);
}

#[test]
fn a_sighup_just_before_sigterm_and_one_just_after_disturb_no_call() {
    let house = house("hup", 256, keep_silent);
    let mut caller = house.connect_caller();
    let [out, between, late] = [tag(1), tag(2), tag(3)];
    caller.send_set_up(&out, 5000);
    let attempt = house.core.next_message("START");
    let zone = house.names.zone.lock().unwrap().clone();
    let other = NameServer::new(DnsZone { serial: 2, ..zone });
    let told = node_config(house.gateway.address, other.address, &[("s-1", house.core.address)]);
    std::fs::write(&house.gateway.file, told.to_string()).unwrap();
    // Both signals are there when the gateway goes on.
    house.stands_still(|| {
        house.gateway.send_signal(Signal::HUP);
        house.gateway.send_signal(Signal::TERM);
        caller.send_set_up(&between, 3000);
    });
    house.gateway.wait_for_log("ending");
    other.wait_for_queries(1);
    while passes_test(&mut caller) == 1 {}
    // And again while the serving time passes, half a configuration this time.
    std::fs::write(&house.gateway.file, "{\"name\":").unwrap();
    house.stands_still(|| {
        house.gateway.send_signal(Signal::HUP);
        caller.send_set_up(&late, 3000);
        sleep(SERVING_TIME);
    });
    house.gateway.wait_for_log("the configuration stays as it was");
    for tag in [&out, &between] {
        send_line(&attempt.link, &finish(tag, 17));
    }
    hear_each_once([&caller], [&out, &between, &late]);
    house.exits_within(TIMEOUT);
}

// ---- To the last instant --------------------------------------------------------------------------------------

/// A connection that is looked at again and again.
struct Ear<'a> {
    stream: &'a TcpStream,
    heard: Vec<u8>,
    /// The end was not to be seen yet then.
    looked: Instant,
    /// Whether the end was an orderly one.
    ended: Option<bool>,
}

impl<'a> Ear<'a> {
    fn new(stream: &'a TcpStream) -> Self {
        stream.set_read_timeout(Some(Duration::from_millis(3))).unwrap();
        Self { stream, heard: Vec::new(), looked: Instant::now(), ended: None }
    }

    fn listens(&mut self) {
        let (looked, mut bytes) = (Instant::now(), [0; 16 * 1024]);
        match self.stream.read(&mut bytes) {
            Ok(0) => self.ended = Some(true),
            Ok(n) => {
                self.heard.extend(&bytes[..n]);
                self.looked = looked;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => self.looked = looked,
            Err(_) => self.ended = Some(false),
        }
    }

    /// Whether what was written then can have crossed the close. A caller that was kept waiting for its processor does
    /// not know since when the end was there, so that the time counts up to where it was certainly not.
    fn may_have_crossed(&self, written: Instant) -> bool {
        self.looked.saturating_duration_since(written) < CROSSING
    }

    /// The calls of all lines.
    fn tags(&self) -> Vec<String> {
        let lines = self.heard.split(|b| *b == b'\n').filter(|line| !line.is_empty());
        let read = |line| serde_json::from_slice::<Value>(line).expect("the gateway writes whole lines");
        lines.map(|line| read(line)["tag"].as_str().unwrap().to_owned()).collect()
    }
}

#[test]
fn callers_that_send_to_the_last_instant_get_one_answer_to_each_set_up_but_what_crossed_the_close() {
    let house = house("last", 256, answer);
    let number = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..4)
        .map(|_| {
            let (caller, number) = (house.connect_caller(), number.clone());
            spawn(move || {
                let (began, mut ear, mut sent) = (Instant::now(), Ear::new(&caller.stream), Vec::new());
                while ear.ended.is_none() {
                    assert!(began.elapsed() < TIMEOUT, "it ends");
                    let tag = tag(number.fetch_add(1, Ordering::Relaxed));
                    if { &caller.stream }.write_all(set_up(&tag, 3000).as_bytes()).is_ok() {
                        sent.push((tag, Instant::now()));
                    }
                    sleep(Duration::from_millis(3));
                    ear.listens();
                }
                // The gateway waits some tenths of a second for the caller to end its side.
                let kept_waiting = ear.looked.elapsed() > Duration::from_millis(200);
                assert!(ear.ended == Some(true) || kept_waiting, "an end and no reset");
                let tags = ear.tags();
                let mut answers = BTreeMap::<_, u32>::new();
                tags.iter().for_each(|tag| *answers.entry(tag).or_default() += 1);
                assert!(answers.values().all(|n| *n == 1), "one answer to each");
                let without = sent.iter().filter(|(tag, _)| !answers.contains_key(tag));
                let (crossed, lost): (Vec<_>, Vec<_>) =
                    without.partition(|(_, at)| ear.may_have_crossed(*at));
                assert!(lost.is_empty(), "{} of {} set-ups got no answer", lost.len(), sent.len());
                crossed.len()
            })
        })
        .collect();
    house.is_told_to_end();
    // It is kept from its processor while the serving time runs out, as on a busy machine.
    sleep(Duration::from_millis(400));
    house.stands_still(|| sleep(Duration::from_millis(500)));
    let crossed: Vec<_> = callers.into_iter().map(|c| c.join().expect("as it should be")).collect();
    eprintln!("{crossed:?} set-ups crossed the close");
    house.exits_within(TIMEOUT);
}

#[test]
fn newcomers_to_the_last_instant_get_an_answer_or_a_close_that_they_crossed_or_are_refused() {
    let house = house("newcomers", 256, answer);
    house.is_told_to_end();
    let (mut served, mut crossed) = (0, 0);
    let began = Instant::now();
    loop {
        assert!(began.elapsed() < TIMEOUT, "it ends");
        let Ok(stream) = TcpStream::connect(house.gateway.address) else { break };
        let tag = tag(served + crossed);
        if { &stream }.write_all(set_up(&tag, 3000).as_bytes()).is_err() {
            // Reset before anything was written.
            continue;
        }
        let (written, mut ear) = (Instant::now(), Ear::new(&stream));
        while ear.ended.is_none() && !ear.heard.ends_with(b"\n") {
            assert!(began.elapsed() < TIMEOUT, "an answer or an end");
            ear.listens();
        }
        if ear.heard.is_empty() {
            assert!(ear.may_have_crossed(written), "no answer after {:?}", written.elapsed());
            crossed += 1;
        } else {
            assert_eq!(ear.tags(), [tag]);
            served += 1;
        }
    }
    eprintln!("{served} answered, {crossed} crossed the close");
    assert!(served > 0, "it serves until then");
    house.exits_within(TIMEOUT);
}

#[test]
fn peers_that_never_close_and_read_nothing_do_not_keep_the_gateway_from_its_end() {
    let house = house("never", 256, answer_at_length);
    let mut reads_nothing = house.connect_caller();
    fill(&house, &mut reads_nothing);
    let never_close: Vec<_> = (0..40).map(|_| house.connect_caller()).collect();
    let half = house.connect_caller();
    write(&half.stream, "{\"verb\":\"START\",\"tag\"");
    house.is_told_to_end();
    // The platform kills 3.7 s after SIGTERM at the soonest.
    house.exits_within(Duration::from_millis(3500));
    drop((reads_nothing, never_close, half));
}

// ---- Idle connections that make room --------------------------------------------------------------------------

/// Descriptors of a small gateway, and those of them that are seats of callers: a quarter is the core switches', an eighth
/// that of connections on their way out, 16 are kept back.
const SMALL: usize = 64;
const SEATS: usize = SMALL - SMALL / 4 - SMALL / 8 - 16;

/// A small gateway whose seats are all taken by idle callers, the longest idle first.
fn full_house(test: &str) -> (House, Vec<Caller>) {
    let house = house(test, SMALL, answer);
    let callers = (0..SEATS).map(|_| house.connect_caller()).collect();
    (house, callers)
}

/// Newcomers that have said something: none of them is pushed out by the next.
fn come(house: &House, number: usize) -> Vec<Caller> {
    let callers: Vec<_> = (0..number).map(|_| house.gateway.connect_caller()).collect();
    callers.iter().for_each(|caller| caller.send(&echo()));
    callers
}

/// The answer to a set-up on a connection that may be closed for room afterwards.
fn one_answer(caller: &mut Caller, tag: &str) {
    let line = caller.receive().expect("an answer before the end");
    assert!(line["verb"] == "STARTED" || line["verb"] == "FINISH", "{line}");
    assert_eq!(line["tag"], tag);
}

#[test]
fn a_set_up_unread_on_the_longest_idle_connection_is_answered_though_newcomers_need_its_place() {
    let (house, mut idle) = full_house("room-before");
    let mut newcomers = Vec::new();
    house.stands_still(|| {
        idle[0].send_set_up(&tag(1), 3000);
        newcomers = come(&house, 4);
        sleep(2 * CROSSING);
    });
    one_answer(&mut idle[0], &tag(1));
}

#[test]
fn a_set_up_written_after_newcomers_came_for_its_place_and_unread_is_answered() {
    let (house, mut idle) = full_house("room-after");
    let mut newcomers = Vec::new();
    house.stands_still(|| {
        newcomers = come(&house, 4);
        (0..4).for_each(|n| idle[n].send_set_up(&tag(n), 3000));
        sleep(2 * CROSSING);
    });
    (0..4).for_each(|n| one_answer(&mut idle[n], &tag(n)));
}

#[test]
fn a_set_up_half_unread_on_the_longest_idle_connection_is_answered_though_its_place_is_needed() {
    let (house, mut idle) = full_house("room-half");
    let line = set_up(&tag(1), 3000);
    let (half, rest) = line.split_at(line.len() / 2);
    let ping = json!({"verb": "ECHO", "tag": tag(2), "opts": {}, "rc": 0});
    write(&idle[0].stream, &format!("{ping}\n{half}"));
    assert_eq!(idle[0].receive().unwrap()["verb"], "ECHOED");
    // The others spoke later.
    assert!(idle[1..].iter_mut().all(|caller| passes_test(caller) == 1));
    let mut newcomers = Vec::new();
    house.stands_still(|| {
        newcomers = come(&house, 4);
        write(&idle[0].stream, rest);
        sleep(2 * CROSSING);
    });
    one_answer(&mut idle[0], &tag(1));
}

#[test]
fn set_ups_of_a_crowd_of_newcomers_beyond_the_seats_are_each_answered() {
    let (house, _idle) = full_house("crowd");
    let mut crowd = Vec::new();
    house.stands_still(|| {
        for n in 0..2 * SEATS {
            crowd.push(house.gateway.connect_caller());
            crowd[n].send_set_up(&tag(n), 3000);
        }
        sleep(2 * CROSSING);
    });
    for (n, caller) in crowd.iter_mut().enumerate() {
        // Beyond the seats: told so without the id, or refused under it.
        let line = caller.receive().unwrap_or_else(|| panic!("newcomer {n} got an end and no word"));
        assert!(line["verb"] == "STARTED" || line["verb"] == "FINISH", "{line}");
    }
}

#[test]
fn a_set_up_completed_in_time_and_unread_is_answered_though_its_connection_is_overdue() {
    let house = house("overdue", 256, answer);
    // One has said nothing whole yet, the other has.
    let (mut silent, mut half) = (house.gateway.connect_caller(), house.connect_caller());
    let lines = [set_up(&tag(1), 3000), set_up(&tag(2), 3000)];
    let (begin, rest) = lines[1].split_at(30);
    write(&half.stream, begin);
    // Read, as the connection that was accepted later is answered.
    house.connect_caller();
    house.stands_still(|| {
        write(&silent.stream, &lines[0]);
        write(&half.stream, rest);
        sleep(Duration::from_millis(2600));
    });
    one_answer(&mut silent, &tag(1));
    one_answer(&mut half, &tag(2));
}

// ---- Core switches that close ---------------------------------------------------------------------------------

/// The attempts kept the guard's distance from the close of the one before, and there was one answer.
fn one_at_a_time(attempts: &[Instant], closes: &[Instant]) {
    assert!(attempts.len() > 1, "the call goes again");
    for (closed, again) in closes.iter().zip(&attempts[1..]) {
        let distance = again.checked_duration_since(*closed);
        assert!(distance.is_some_and(|d| d >= GUARD), "the next attempt came {distance:?} after the close");
    }
}

#[test]
fn a_core_switch_that_closes_as_the_set_up_comes_costs_the_guard_and_no_second_answer() {
    let closes = Arc::new(Mutex::new(Vec::new()));
    let closed = closes.clone();
    let house = house("link-close", 256, move |link, line| {
        if line["verb"] == "START" {
            let mut closed = closed.lock().unwrap();
            if closed.len() == 2 {
                return answer(link, line);
            }
            closed.push(Instant::now());
            link.shutdown(Shutdown::Both).unwrap();
        }
    });
    let mut caller = house.connect_caller();
    caller.send_set_up(&tag(1), 5000);
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let attempts: Vec<_> = house.core.attempts(&tag(1)).iter().map(|t| t.at).collect();
    one_at_a_time(&attempts, &closes.lock().unwrap());
    house.is_told_to_end();
    assert_eq!(caller.receive(), None, "one answer");
    drop(caller);
    house.exits_within(TIMEOUT);
}

#[test]
fn a_core_switch_that_resets_as_the_set_up_comes_costs_the_guard_and_no_second_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (send, told) = channel();
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
                            // A close with bytes unread is a reset.
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
    let house = house_of("link-reset", 256, Core { address, told });
    let mut caller = house.connect_caller();
    caller.send_set_up(&tag(1), 5000);
    let line = caller.receive().unwrap();
    assert_eq!((&line["verb"], &line["tag"]), (&json!("STARTED"), &json!(tag(1))));
    let (attempts, closes) = &*attempts.lock().unwrap();
    one_at_a_time(attempts, closes);
    house.is_told_to_end();
    assert_eq!(caller.receive(), None, "one answer");
    drop(caller);
    house.exits_within(TIMEOUT);
}

#[test]
fn a_set_up_that_crosses_the_core_switchs_close_of_an_idle_connection_is_served_once() {
    let house = house("link-idle", 256, answer);
    let mut caller = house.connect_caller();
    caller.send_set_up(&tag(1), 5000);
    assert_eq!(caller.receive().unwrap()["tag"], tag(1));
    let idle = house.core.next_message("START").link;
    house.stands_still(|| {
        idle.shutdown(Shutdown::Both).unwrap();
        caller.send_set_up(&tag(2), 5000);
    });
    let line = caller.receive().unwrap();
    assert_eq!((&line["verb"], &line["tag"]), (&json!("STARTED"), &json!(tag(2))));
    assert_eq!(house.core.attempts(&tag(2)).len(), 1);
    house.is_told_to_end();
    assert_eq!(caller.receive(), None, "one answer");
    drop(caller);
    house.exits_within(TIMEOUT);
}
