//! Events that cross, in the bad order, on real connections: what a caller does against what a core switch does, and
//! both against time. The order is forced: the gateway is stopped (SIGSTOP) while both lie in its sockets, or a peer does
//! not read. Pauses only let a time limit pass while the gateway is held; no verdict depends on their length.

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

const TIMEOUT: Duration = Duration::from_secs(6);
/// A caller has gone for good: the page's 0.1 s and a margin.
const GONE: Duration = Duration::from_millis(150);
/// The guard of the settings.
const GUARD: Duration = Duration::from_millis(200);
/// Further than the guard and the pace at which the decisions look at what they hold.
const PAST_GUARD: Duration = Duration::from_millis(500);

// ---- Core switches ----------------------------------------------------------------------------------------------
/// What was said to a core switch.
struct Heard {
    link: Arc<TcpStream>,
    line: Value,
    at: Instant,
}

impl Heard {
    fn is(&self, verb: &str, tag: &str) -> bool {
        self.line["verb"] == verb && self.line["tag"] == tag
    }

    /// Whether both came on the same connection.
    fn beside(&self, other: &Heard) -> bool {
        self.link.peer_addr().unwrap() == other.link.peer_addr().unwrap()
    }
}

/// A core switch that reads all its connections.
struct Peer {
    heard: Receiver<Heard>,
}

fn hear(stream: TcpStream, send: Sender<Heard>) {
    let link = Arc::new(stream);
    std::thread::spawn(move || {
        let reader = BufReader::new(link.try_clone().unwrap());
        for line in reader.lines().map_while(Result::ok) {
            let line = serde_json::from_str(&line).expect("whole lines of JSON");
            if send.send(Heard { link: link.clone(), line, at: Instant::now() }).is_err() {
                return;
            }
        }
    });
}

impl Peer {
    /// Reads these connections, and those that come to this listener.
    fn on(listener: TcpListener, links: Vec<TcpStream>) -> Self {
        let (send, heard) = channel();
        links.into_iter().for_each(|link| hear(link, send.clone()));
        std::thread::spawn(move || {
            listener.incoming().flatten().for_each(|link| hear(link, send.clone()));
        });
        Self { heard }
    }

    /// All that is said up to this, which is the last.
    fn up_to(&self, verb: &str, tag: &str) -> Vec<Heard> {
        let mut all: Vec<Heard> = Vec::new();
        while all.last().is_none_or(|h| !h.is(verb, tag)) {
            let heard = self.heard.recv_timeout(TIMEOUT);
            let before = || all.iter().map(|h| h.line.to_string()).collect::<Vec<_>>();
            all.push(heard.unwrap_or_else(|_| panic!("no {verb} of {tag} came, but {:?}", before())));
        }
        all
    }

    /// The set-up of this call, the next that comes.
    fn start(&self, tag: &str) -> Heard {
        let mut all = self.up_to("START", tag);
        let start = all.pop().unwrap();
        none_set_up(&all);
        start
    }
}

fn none_set_up(heard: &[Heard]) {
    let starts: Vec<String> =
        heard.iter().filter(|h| h.line["verb"] == "START").map(|h| h.line["tag"].to_string()).collect();
    assert!(starts.is_empty(), "set up though nobody waits for it: {starts:?}");
}

fn door() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A core switch whose queue of new connections is full: one more waits until the door is opened.
struct ShutDoor {
    listener: TcpListener,
    _queued: TcpStream,
}

impl ShutDoor {
    fn new() -> (Self, SocketAddr) {
        let (listener, address) = door();
        rustix::net::listen(&listener, 0).unwrap();
        let queued = TcpStream::connect(address).unwrap();
        (Self { listener, _queued: queued }, address)
    }

    /// Opens it and takes the gateway's connection, which its kernel tries again once a second.
    fn open(self) -> (TcpListener, TcpStream) {
        drop(self.listener.accept().unwrap());
        rustix::net::listen(&self.listener, 128).unwrap();
        let (link, _) = self.listener.accept().unwrap();
        (self.listener, link)
    }
}

// ---- Callers ------------------------------------------------------------------------------------------------------
fn fresh() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0xca11_0000_0000_0000);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

fn set_up(tag: &str, left_ms: u64) -> Value {
    // Each call has its number, so that no call waits for another's number to be free.
    json!({"verb": "START", "tag": tag, "blob": "offer",
        "opts": {"class": "voice", "left": left_ms.to_string(), "key": tag}})
}

fn started(tag: &str) -> Value {
    json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": format!("answer\r\n{tag}")})
}

fn finish(tag: &str, rc: i64) -> Value {
    json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": rc})
}

/// So many circuits of a core switch are free.
fn circuits(free: u32) -> Value {
    json!({"verb": "LOAD", "tag": fresh(), "opts": {"load": format!("free:{free};size:9")}})
}

fn lines<'a>(lines: impl IntoIterator<Item = &'a Value>) -> String {
    lines.into_iter().map(|line| format!("{line}\n")).collect()
}

fn caller(gateway: &Gateway) -> Caller {
    let caller = gateway.connect_caller();
    caller.stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    caller
}

/// What the caller has been told up to now. The gateway has then read all that the caller said.
fn told(caller: &mut Caller) -> Vec<Value> {
    let test = fresh();
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

/// Verbs that were told of this call.
fn of<'a>(told: &'a [Value], tag: &str) -> Vec<&'a str> {
    told.iter().filter(|l| l["tag"] == tag).map(|l| l["verb"].as_str().unwrap()).collect()
}

/// How a caller goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leave {
    Finish,
    Close,
    Reset,
}

const LEAVES: [Leave; 3] = [Leave::Finish, Leave::Close, Leave::Reset];

/// The caller of this call goes; its connection is left where it goes by a message.
fn leave(caller: Caller, tag: &str, how: Leave) -> Option<Caller> {
    match how {
        Leave::Finish => {
            caller.send(&finish(tag, 16));
            return Some(caller);
        }
        // A child that is being started beside holds a copy of each descriptor until it is on its way, so that a close
        // alone may come some milliseconds late.
        Leave::Close => caller.stream.shutdown(std::net::Shutdown::Both).unwrap(),
        Leave::Reset => {
            rustix::net::sockopt::set_socket_linger(&caller.stream, Some(Duration::ZERO)).unwrap();
            let (ours, theirs) = (caller.stream.local_addr().unwrap(), caller.stream.peer_addr().unwrap());
            drop(caller);
            let begun = Instant::now();
            while queue(&table(), ours, theirs, 0).is_some() {
                assert!(begun.elapsed() < TIMEOUT, "it is reset");
                std::thread::yield_now();
            }
        }
    }
    None
}

fn tests(count: usize) -> String {
    lines(std::iter::repeat_n(&json!({"verb": "ECHO", "tag": fresh(), "opts": {}, "rc": 0}), count))
}

/// Says much that means little. What the caller says or does next lies behind it: a gateway that takes some lines of each
/// connection in turn comes to the others first.
fn talk(caller: &Caller) {
    (&caller.stream).write_all(tests(400).as_bytes()).unwrap();
}

// ---- The gateway --------------------------------------------------------------------------------------------------
struct House {
    gateway: Gateway,
    _names: NameServer,
}

fn house(test: &str, switches: &[SocketAddr]) -> House {
    let ids = ["s-1", "s-2"];
    let known: Vec<(&str, SocketAddr)> = ids.into_iter().zip(switches.iter().copied()).collect();
    let switches = known.iter().map(|(id, address)| ((*id).to_owned(), *address)).collect();
    let names = NameServer::new(DnsZone { serial: 1, switches, ..DnsZone::default() });
    let mut config = node_config(free_address(), names.address, &known);
    config["settings"]["policyLimits"]["dialTimeoutNs"] = json!(5_000_000_000u64);
    House { gateway: Gateway::start(&format!("crossings-{test}-{}", fresh()), &config), _names: names }
}

/// A gateway in front of one core switch that reads.
fn house_with_peer(test: &str) -> (House, Peer) {
    let (listener, address) = door();
    (house(test, &[address]), Peer::on(listener, Vec::new()))
}

impl House {
    /// Holds the gateway, and what is sent to it from now on in its sockets.
    fn stop(&self) {
        self.gateway.send_signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.gateway.process_id());
        let begun = Instant::now();
        let state = |stat: String| stat.rsplit(") ").next().and_then(|s| s.chars().next());
        while state(std::fs::read_to_string(&stat).unwrap()) != Some('T') {
            assert!(begun.elapsed() < TIMEOUT, "it stops");
            std::thread::yield_now();
        }
    }

    fn go_on(&self) {
        self.gateway.send_signal(Signal::CONT);
    }

    /// Further calls are set up, now and when the decisions have looked at what they hold; all that the core switch
    /// hears meanwhile.
    fn serves_on(&self, peer: &Peer) -> Vec<Heard> {
        let mut all = Vec::new();
        for pause in [PAST_GUARD, Duration::ZERO] {
            let (mut caller, tag) = (caller(&self.gateway), fresh());
            caller.send(&set_up(&tag, 6000));
            all.extend(peer.up_to("START", &tag));
            send_line(&all.last().unwrap().link, &started(&tag));
            assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
            std::thread::sleep(pause);
            caller.send(&finish(&tag, 16));
            all.extend(peer.up_to("FINISH", &tag));
            all.retain(|h| h.line["tag"] != *tag);
        }
        all
    }
}

/// The gateway has handled all that was said on this connection.
fn handled(peer: &Peer, link: &TcpStream) {
    let unknown = fresh();
    send_line(link, &finish(&unknown, 16));
    none_set_up(&peer.up_to("FINISHED", &unknown));
}

/// Bytes that the kernel holds of what was written from one address to another: sent off and not read. What has been
/// received and not yet acknowledged is counted twice for some milliseconds. Connections that come and go while the
/// table is read can hide others from it, so that it is looked at again where one is missing.
fn in_flight(from: SocketAddr, to: SocketAddr) -> usize {
    let begun = Instant::now();
    while begun.elapsed() < TIMEOUT {
        let table = table();
        if let Some((sent, unread)) = queue(&table, from, to, 0).zip(queue(&table, to, from, 1)) {
            return sent + unread;
        }
    }
    panic!("the connection is no more");
}

fn table() -> String {
    std::fs::read_to_string("/proc/net/tcp").unwrap()
}

/// What waits at this end of a connection: to be sent (0) or read (1).
fn queue(table: &str, local: SocketAddr, remote: SocketAddr, which: usize) -> Option<usize> {
    let hex = |address: SocketAddr| match address {
        SocketAddr::V4(a) => format!("{:08X}:{:04X}", u32::from_ne_bytes(a.ip().octets()), a.port()),
        SocketAddr::V6(_) => unreachable!("all is on 127.0.0.0/8"),
    };
    let (local, remote) = (hex(local), hex(remote));
    let mut rows = table.lines().map(|l| l.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|r| r.len() > 4 && r[1] == local && r[2] == remote)?;
    usize::from_str_radix(row[4].split(':').nth(which)?, 16).ok()
}

/// Says this over and over where the gateway's answers, of this length, are not read: until the kernel takes no more of
/// them and some wait in the gateway. Returns the bytes of all answers.
fn fill(gateway: &Gateway, mut link: &TcpStream, line: &Value, answer: &Value) -> usize {
    let (line, answer) = (lines([line]).repeat(500), 500 * lines([answer]).len());
    let mut other = caller(gateway);
    let (ours, theirs) = (link.local_addr().unwrap(), link.peer_addr().unwrap());
    for said in 1..1200 {
        link.write_all(line.as_bytes()).unwrap();
        // Again once what was received has been acknowledged, which may make room for more.
        let full = is_full(&mut other, ours, theirs, said * answer) && {
            std::thread::sleep(Duration::from_millis(100));
            is_full(&mut other, ours, theirs, said * answer)
        };
        if full {
            return said * answer;
        }
    }
    panic!("the connection takes all that is written");
}

/// Fills the connection of a core switch that does not read with answers to releases of a call that nobody knows.
fn fill_switch(gateway: &Gateway, link: &TcpStream) {
    let tag = fresh();
    let answer = json!({"verb": "FINISHED", "tag": tag, "opts": {}});
    fill(gateway, link, &finish(&tag, 16), &answer);
}

/// Fills the connection of a caller that does not read with answers to tests.
fn fill_caller(gateway: &Gateway, caller: &Caller) -> usize {
    let test = json!({"verb": "ECHO", "tag": fresh(), "opts": {}, "rc": 0});
    let answer = json!({"verb": "ECHOED", "tag": fresh(), "opts": {}, "rc": 1});
    fill(gateway, &caller.stream, &test, &answer)
}

/// A connection on loopback takes this much, though nobody reads at its other end (tcp(7): tcp_wmem, 4 MB). It is looked
/// at closely beyond.
const SURELY_TAKEN: usize = 2 * 1024 * 1024;

/// Whether some of these bytes wait in the gateway once it has read all that was said to it.
fn is_full(other: &mut Caller, ours: SocketAddr, theirs: SocketAddr, expected: usize) -> bool {
    if expected < SURELY_TAKEN {
        return false;
    }
    told(other);
    if in_flight(theirs, ours) >= expected {
        return false;
    }
    while in_flight(ours, theirs) > 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    // What has been read is handed on some lines a turn, and each of these takes a turn or more.
    loop {
        let before = in_flight(theirs, ours);
        for _ in 0..10 {
            if in_flight(theirs, ours) >= expected {
                return false;
            }
            (0..10).for_each(|_| drop(told(other)));
        }
        if in_flight(theirs, ours) == before {
            return before < expected;
        }
    }
}

/// Runs all variants side by side, so that a failure names each that fails.
fn each<T: Copy + Debug + Send + Sync>(variants: &[T], test: impl Fn(T) + Sync) {
    let failed: Vec<T> = std::thread::scope(|scope| {
        let runs: Vec<_> = variants.iter().map(|v| (*v, scope.spawn(|| test(*v)))).collect();
        runs.into_iter().filter_map(|(v, run)| run.join().is_err().then_some(v)).collect()
    });
    assert!(failed.is_empty(), "fails for {failed:?}");
}

// ---- The caller has gone -----------------------------------------------------------------------------------------
#[test]
fn a_call_held_for_room_is_not_set_up_when_room_comes_as_its_caller_leaves() {
    each(&LEAVES, |how| {
        let (house, peer) = house_with_peer("held");
        let (mut first, mut second) = (caller(&house.gateway), caller(&house.gateway));
        let (out, held) = (fresh(), fresh());
        first.send(&set_up(&out, 8000));
        let link = peer.start(&out).link;
        send_line(&link, &started(&out));
        // Nothing more is sent to a switch that has told that no circuit is free.
        send_line(&link, &circuits(0));
        handled(&peer, &link);
        second.send(&set_up(&held, 8000));
        told(&mut second);
        house.stop();
        send_line(&link, &finish(&out, 16));
        send_line(&link, &circuits(9));
        talk(&second);
        let _gone = leave(second, &held, how);
        std::thread::sleep(GONE);
        house.go_on();
        let told = [first.receive().unwrap(), first.receive().unwrap()];
        assert_eq!(of(&told, &out), ["STARTED", "FINISH"]);
        none_set_up(&house.serves_on(&peer));
    });
}

#[test]
fn a_call_that_waits_out_the_guard_is_not_set_up_again_when_its_caller_leaves_as_the_guard_ends() {
    each(&LEAVES, |how| {
        let (house, peer) = house_with_peer("guard");
        let (caller, tag) = (caller(&house.gateway), fresh());
        caller.send(&set_up(&tag, 8000));
        let link = peer.start(&tag).link;
        send_line(&link, &finish(&tag, 41));
        handled(&peer, &link);
        house.stop();
        talk(&caller);
        let _gone = leave(caller, &tag, how);
        std::thread::sleep(PAST_GUARD);
        house.go_on();
        none_set_up(&house.serves_on(&peer));
    });
}

#[test]
fn a_caller_that_leaves_while_the_connection_is_dialled_has_nothing_sent_on_it() {
    each(&LEAVES, |how| {
        let (shut, address) = ShutDoor::new();
        let house = house("dialled", &[address]);
        let (mut caller, tag) = (caller(&house.gateway), fresh());
        caller.send(&set_up(&tag, 8000));
        told(&mut caller);
        let mut gone = leave(caller, &tag, how);
        if let Some(caller) = &mut gone {
            assert_eq!(of(&told(caller), &tag), ["FINISHED"]);
        }
        let (listener, link) = shut.open();
        none_set_up(&house.serves_on(&Peer::on(listener, vec![link])));
    });
}

#[test]
fn a_connection_that_comes_up_as_the_caller_leaves_carries_no_set_up_of_its() {
    each(&LEAVES, |how| {
        let (shut, address) = ShutDoor::new();
        let house = house("comes-up", &[address]);
        let (mut caller, tag) = (caller(&house.gateway), fresh());
        caller.send(&set_up(&tag, 8000));
        told(&mut caller);
        house.stop();
        let (listener, link) = shut.open();
        talk(&caller);
        let _gone = leave(caller, &tag, how);
        std::thread::sleep(GONE);
        house.go_on();
        none_set_up(&house.serves_on(&Peer::on(listener, vec![link])));
    });
}

#[test]
fn a_set_up_that_still_waits_to_be_written_is_not_written_once_its_caller_has_left() {
    each(&LEAVES, |how| {
        let (listener, address) = door();
        let house = house("unwritten", &[address]);
        let (link, _) = listener.accept().unwrap();
        fill_switch(&house.gateway, &link);
        let (mut caller, tag) = (caller(&house.gateway), fresh());
        let mut long = set_up(&tag, 8000);
        long["blob"] = json!("x".repeat(15_000));
        caller.send(&long);
        told(&mut caller);
        let _gone = leave(caller, &tag, how);
        // The caller has left for longer than the page's time, and the gateway knows.
        told(&mut self::caller(&house.gateway));
        std::thread::sleep(GONE);
        none_set_up(&house.serves_on(&Peer::on(listener, vec![link])));
    });
}

#[test]
fn an_answer_that_crosses_the_callers_leave_leaves_nothing_standing_at_the_core_switch() {
    let variants = [false, true].map(|first| LEAVES.map(|how| (first, how)));
    each(variants.as_flattened(), |(switch_first, how)| {
        let (house, peer) = house_with_peer("answer");
        let (caller, tag) = (caller(&house.gateway), fresh());
        caller.send(&set_up(&tag, 8000));
        let link = peer.start(&tag).link;
        house.stop();
        if switch_first {
            send_line(&link, &started(&tag));
            talk(&caller);
        }
        let gone = leave(caller, &tag, how);
        if !switch_first {
            send_line(&link, &started(&tag));
        }
        std::thread::sleep(GONE);
        house.go_on();
        if let Some(mut caller) = gone {
            let told = told(&mut caller);
            let of = of(&told, &tag);
            assert!(of == ["FINISHED"] || of == ["STARTED", "FINISHED"], "{of:?}");
        }
        let heard = house.serves_on(&peer);
        let released = heard.iter().filter(|h| h.is("FINISH", &tag)).count();
        assert_eq!(released, 1, "releases");
    });
}

#[test]
fn an_answer_that_could_not_be_written_before_its_caller_left_leaves_nothing_standing() {
    each(&[Leave::Close, Leave::Reset], |how| {
        let (house, peer) = house_with_peer("queued");
        // The kernel may find room for more as a call is set up: then the answer has been written, and another is tried.
        let held = (0..10).find_map(|_| {
            let (caller, tag) = (caller(&house.gateway), fresh());
            let filled = fill_caller(&house.gateway, &caller);
            caller.send(&set_up(&tag, 8000));
            let link = peer.start(&tag).link;
            send_line(&link, &started(&tag));
            handled(&peer, &link);
            let (ours, theirs) = (caller.stream.local_addr().unwrap(), caller.stream.peer_addr().unwrap());
            (in_flight(theirs, ours) < filled).then_some((caller, tag))
        });
        let (caller, tag) = held.expect("an answer waits in the gateway");
        let _gone = leave(caller, &tag, how);
        let heard = house.serves_on(&peer);
        let released = heard.iter().filter(|h| h.is("FINISH", &tag)).count();
        assert_eq!(released, 1, "releases");
    });
}

#[test]
fn a_caller_that_reads_nothing_and_is_given_up_has_left() {
    let (house, peer) = house_with_peer("unread");
    let (caller, tag) = (caller(&house.gateway), fresh());
    caller.send(&set_up(&tag, 8000));
    let start = peer.start(&tag);
    // Given up, or, where the gateway stops reading, gone of its own accord.
    caller.stream.set_write_timeout(Some(GUARD)).unwrap();
    let crowd = tests(64);
    while (&caller.stream).write_all(crowd.as_bytes()).is_ok() {}
    drop(caller);
    let heard = peer.up_to("FINISH", &tag);
    assert!(heard.last().unwrap().beside(&start), "on the connection of its set-up");
    none_set_up(&house.serves_on(&peer));
}

#[test]
fn half_a_set_up_and_a_close_withdraw_the_whole_set_ups_before_it() {
    each(&[Leave::Close, Leave::Reset], |how| {
        let (house, peer) = house_with_peer("half");
        let (caller, tag) = (caller(&house.gateway), fresh());
        let half = &set_up(&fresh(), 8000).to_string()[..40];
        (&caller.stream).write_all(format!("{}\n{half}", set_up(&tag, 8000)).as_bytes()).unwrap();
        let start = peer.start(&tag);
        let _gone = leave(caller, &tag, how);
        let heard = peer.up_to("FINISH", &tag);
        assert!(heard.last().unwrap().beside(&start), "on the connection of its set-up");
        none_set_up(&house.serves_on(&peer));
    });
}

#[test]
fn a_set_up_whose_withdrawal_lies_behind_it_when_the_gateway_looks_is_not_sent() {
    let (house, peer) = house_with_peer("same-read");
    // A connection is up, and the core switch is known to be quick.
    none_set_up(&house.serves_on(&peer));
    let (mut caller, tag) = (caller(&house.gateway), fresh());
    house.stop();
    (&caller.stream).write_all(lines([&set_up(&tag, 8000), &finish(&tag, 16)]).as_bytes()).unwrap();
    std::thread::sleep(GONE);
    house.go_on();
    assert_eq!(of(&told(&mut caller), &tag), ["FINISHED"]);
    none_set_up(&house.serves_on(&peer));
}

#[test]
fn nothing_of_a_crowd_is_set_up_whose_withdrawal_lies_behind_it_when_the_gateway_looks() {
    each(&[Leave::Finish, Leave::Close], |how| {
        let (house, peer) = house_with_peer("crowd");
        none_set_up(&house.serves_on(&peer));
        let caller = caller(&house.gateway);
        let tags: Vec<String> = (0..500).map(|_| fresh()).collect();
        let mut all = lines(&tags.iter().map(|t| set_up(t, 8000)).collect::<Vec<_>>());
        if how == Leave::Finish {
            all += &lines(&tags.iter().map(|t| finish(t, 16)).collect::<Vec<_>>());
        }
        house.stop();
        (&caller.stream).write_all(all.as_bytes()).unwrap();
        let gone = Some(caller).filter(|_| how == Leave::Finish);
        std::thread::sleep(GONE);
        house.go_on();
        if let Some(mut caller) = gone {
            let told = told(&mut caller);
            assert!(tags.iter().all(|t| of(&told, t) == ["FINISHED"]), "each is heard to be withdrawn, once");
        }
        none_set_up(&house.serves_on(&peer));
    });
}

#[test]
fn the_id_of_a_call_that_was_just_withdrawn_is_not_sent_again_within_the_guard() {
    let (house, peer) = house_with_peer("same-id");
    let (mut caller, tag) = (caller(&house.gateway), fresh());
    caller.send(&set_up(&tag, 8000));
    let first = peer.start(&tag);
    let withdrawn = Instant::now();
    (&caller.stream).write_all(lines([&finish(&tag, 16), &set_up(&tag, 8000)]).as_bytes()).unwrap();
    assert_eq!(caller.receive().unwrap()["verb"], "FINISHED");
    // Refused, or sent later.
    if of(&told(&mut caller), &tag).contains(&"FINISH") {
        return;
    }
    let again = peer.up_to("START", &tag).pop().unwrap();
    let after = again.at - withdrawn;
    assert!(after >= GUARD, "sent again after {after:?}");
    assert!(!again.beside(&first), "on another connection: the id does not tell attempts apart");
}

// ---- Further attempts --------------------------------------------------------------------------------------------
#[test]
fn a_word_that_crosses_the_time_out_of_its_attempt_ends_in_one_answer_that_both_sides_agree_on() {
    let tag = "0000000000000001";
    each(&["STARTED", "error", "reset"], |word| {
        let word = match word {
            "STARTED" => started(tag),
            "error" => finish(tag, 17),
            _ => finish(tag, 41),
        };
        let (house, peer) = house_with_peer("time-out");
        let mut caller = caller(&house.gateway);
        // An attempt may take 1.8 s of these, so that an answer comes in time.
        caller.send(&set_up(tag, 2400));
        let link = peer.start(tag).link;
        let begun = Instant::now();
        house.stop();
        send_line(&link, &word);
        std::thread::sleep(Duration::from_millis(1860).saturating_sub(begun.elapsed()));
        house.go_on();
        let heard = house.serves_on(&peer);
        none_set_up(&heard);
        let told = told(&mut caller);
        let answers = of(&told, tag);
        assert!(answers.len() == 1, "{word}: {answers:?}");
        let released = heard.iter().filter(|h| h.is("FINISH", tag)).count();
        let agreed = match (answers[0], word["verb"].as_str()) {
            ("STARTED", Some("STARTED")) => released == 0,
            ("FINISH", Some("STARTED")) => released == 1,
            (answer, _) => answer == "FINISH" && released <= 1,
        };
        assert!(agreed, "{word}: the caller heard {answers:?}, the core switch {released} releases");
    });
}

#[test]
fn an_answer_after_its_attempt_timed_out_is_not_passed_on_and_its_call_is_released() {
    let (house, peer) = house_with_peer("late");
    let (mut caller, tag) = (caller(&house.gateway), fresh());
    caller.send(&set_up(&tag, 400));
    let start = peer.start(&tag);
    assert_eq!(caller.receive().unwrap()["verb"], "FINISH");
    (&*start.link).write_all(lines([&started(&tag), &started(&tag)]).as_bytes()).unwrap();
    let heard = peer.up_to("FINISH", &tag);
    assert!(heard.last().unwrap().beside(&start));
    none_set_up(&house.serves_on(&peer));
    assert_eq!(of(&told(&mut caller), &tag), [""; 0], "one answer");
}

#[test]
fn an_answer_behind_the_reset_of_its_attempt_is_released_there_and_the_next_attempt_goes_on() {
    let (house, peer) = house_with_peer("reset-answer");
    let (mut caller, tag) = (caller(&house.gateway), fresh());
    caller.send(&set_up(&tag, 8000));
    let first = peer.start(&tag);
    let reset = Instant::now();
    (&*first.link).write_all(lines([&finish(&tag, 41), &started(&tag)]).as_bytes()).unwrap();
    let mut heard = peer.up_to("START", &tag);
    let second = heard.pop().unwrap();
    assert!(second.at - reset >= GUARD && !second.beside(&first));
    send_line(&second.link, &started(&tag));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    heard.extend(house.serves_on(&peer));
    let released: Vec<bool> =
        heard.iter().filter(|h| h.is("FINISH", &tag)).map(|h| h.beside(&first)).collect();
    assert_eq!(released, [true], "the call of the first attempt is released, the second's is not");
    assert_eq!(of(&told(&mut caller), &tag), [""; 0], "one answer");
}

#[test]
fn a_late_answer_of_a_core_switch_that_was_left_behind_is_released_there_alone() {
    let ((one, at_one), (two, at_two)) = (door(), door());
    let house = house("left-behind", &[at_one, at_two]);
    let peers = [Peer::on(one, Vec::new()), Peer::on(two, Vec::new())];
    let (mut caller, tag) = (caller(&house.gateway), fresh());
    caller.send(&set_up(&tag, 8000));
    // Either may be first; a further attempt goes to the other.
    let begun = Instant::now();
    let (first, at) = loop {
        let came = peers.iter().enumerate().find_map(|(n, p)| p.heard.try_recv().ok().map(|h| (h, n)));
        if let Some(came) = came.filter(|(h, _)| h.is("START", &tag)) {
            break came;
        }
        assert!(begun.elapsed() < TIMEOUT, "no set-up came");
        std::thread::yield_now();
    };
    send_line(&first.link, &finish(&tag, 41));
    let second = peers[1 - at].start(&tag);
    send_line(&second.link, &started(&tag));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    send_line(&first.link, &started(&tag));
    peers[at].up_to("FINISH", &tag);
    send_line(&second.link, &finish(&tag, 16));
    let heard = peers[1 - at].up_to("FINISHED", &tag);
    assert!(!heard.iter().any(|h| h.is("FINISH", &tag)), "it stood at the second all the time");
    assert_eq!(of(&told(&mut caller), &tag), ["FINISH"], "its release and no second answer");
}

#[test]
fn a_second_copy_of_an_answer_neither_reaches_the_caller_nor_ends_the_call() {
    let (house, peer) = house_with_peer("copy");
    let (mut caller, tag, link) = standing(&house, &peer);
    send_line(&link, &started(&tag));
    let heard = house.serves_on(&peer);
    assert!(!heard.iter().any(|h| h.is("FINISH", &tag)), "it stands");
    assert_eq!(of(&told(&mut caller), &tag), [""; 0], "one answer");
    caller.send(&finish(&tag, 16));
    peer.up_to("FINISH", &tag);
    assert_eq!(of(&told(&mut caller), &tag), ["FINISHED"]);
}

#[test]
fn a_guard_that_ends_as_the_time_of_its_call_does_ends_in_one_answer_and_no_further_attempt() {
    let (house, peer) = house_with_peer("guard-end");
    let (mut caller, tag) = (caller(&house.gateway), fresh());
    caller.send(&set_up(&tag, 2400));
    let link = peer.start(&tag).link;
    let begun = Instant::now();
    // Attempts may be made for 1.8 s; the guard ends then.
    std::thread::sleep(Duration::from_millis(1600).saturating_sub(begun.elapsed()));
    send_line(&link, &finish(&tag, 41));
    handled(&peer, &link);
    house.stop();
    std::thread::sleep(Duration::from_millis(1860).saturating_sub(begun.elapsed()));
    house.go_on();
    assert_eq!(caller.receive().unwrap()["verb"], "FINISH");
    none_set_up(&house.serves_on(&peer));
    assert_eq!(of(&told(&mut caller), &tag), [""; 0], "one answer");
}

#[test]
fn a_connection_that_comes_up_after_its_attempt_gave_up_carries_nothing_of_it() {
    let (shut, address) = ShutDoor::new();
    let house = house("stale", &[address]);
    let (mut caller, tag) = (caller(&house.gateway), fresh());
    caller.send(&set_up(&tag, 400));
    assert_eq!(caller.receive().unwrap()["verb"], "FINISH");
    let (listener, link) = shut.open();
    none_set_up(&house.serves_on(&Peer::on(listener, vec![link])));
    assert_eq!(of(&told(&mut caller), &tag), [""; 0], "one answer");
}

#[test]
fn a_connection_that_comes_up_as_the_time_of_its_call_ends_carries_nothing_of_it() {
    // Several, as either event may be looked at first.
    each(&[1, 2, 3, 4], |_| {
        let (shut, address) = ShutDoor::new();
        let house = house("stale-held", &[address]);
        let (mut caller, tag) = (caller(&house.gateway), fresh());
        caller.send(&set_up(&tag, 800));
        told(&mut caller);
        let begun = Instant::now();
        house.stop();
        let (listener, link) = shut.open();
        std::thread::sleep(Duration::from_millis(900).saturating_sub(begun.elapsed()));
        house.go_on();
        none_set_up(&house.serves_on(&Peer::on(listener, vec![link])));
        assert!(of(&told(&mut caller), &tag).len() <= 1);
    });
}

// ---- Standing calls ----------------------------------------------------------------------------------------------
/// A call that stands.
fn standing(house: &House, peer: &Peer) -> (Caller, String, Arc<TcpStream>) {
    let (mut caller, tag) = (caller(&house.gateway), fresh());
    caller.send(&set_up(&tag, 6000));
    let link = peer.start(&tag).link;
    send_line(&link, &started(&tag));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    (caller, tag, link)
}

#[test]
fn a_call_that_both_sides_release_at_once_is_released_once_to_each_and_nothing_hangs() {
    each(&[false, true], |switch_first| {
        let (house, peer) = house_with_peer("both");
        let (mut caller, tag, link) = standing(&house, &peer);
        house.stop();
        if switch_first {
            send_line(&link, &finish(&tag, 16));
            talk(&caller);
        }
        caller.send(&finish(&tag, 16));
        if !switch_first {
            send_line(&link, &finish(&tag, 16));
        }
        house.go_on();
        let heard = house.serves_on(&peer);
        let told = told(&mut caller);
        let of_caller = of(&told, &tag);
        let count = |verb| of_caller.iter().filter(|v| **v == verb).count();
        assert!(count("FINISH") <= 1 && count("FINISHED") == 1, "{of_caller:?}");
        let released = heard.iter().filter(|h| h.is("FINISH", &tag)).count();
        assert!(released + count("FINISH") <= 2 && released <= 1, "{released} {of_caller:?}");
    });
}

#[test]
fn a_release_whose_connection_is_closed_right_behind_it_reaches_the_caller() {
    each(&[false, true], |reset| {
        let (listener, address) = door();
        let house = house("closed-behind", &[address]);
        let (link, _) = listener.accept().unwrap();
        let peer = Peer::on(listener.try_clone().unwrap(), Vec::new());
        let (mut caller, tag) = (caller(&house.gateway), fresh());
        caller.send(&set_up(&tag, 6000));
        let mut reader = BufReader::new(&link);
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        assert!(line.contains(&tag));
        send_line(&link, &started(&tag));
        assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
        house.stop();
        send_line(&link, &finish(&tag, 16));
        if reset {
            rustix::net::sockopt::set_socket_linger(&link, Some(Duration::ZERO)).unwrap();
        }
        drop(link);
        // Something to be written there at the same time.
        let next = fresh();
        caller.send(&set_up(&next, 6000));
        house.go_on();
        // What a reset may have thrown away comes again on the next connection, as the page has it.
        let start = peer.start(&next);
        if reset {
            send_line(&start.link, &finish(&tag, 16));
        }
        let heard = caller.receive().unwrap();
        assert_eq!((&heard["verb"], &heard["tag"]), (&json!("FINISH"), &json!(tag)));
        send_line(&start.link, &started(&next));
        let told = told(&mut caller);
        assert_eq!(of(&told, &tag), [""; 0], "once");
        house.serves_on(&peer);
    });
}

/// The release of a call whose caller has closed its connection is told on the next on which a call stands.
fn is_told_next(house: &House, peer: &Peer, tag: &str) {
    let (mut other, next) = (caller(&house.gateway), fresh());
    other.send(&set_up(&next, 6000));
    let link = peer.start(&next).link;
    send_line(&link, &started(&next));
    handled(peer, &link);
    let told = told(&mut other);
    assert_eq!(of(&told, &next), ["STARTED"]);
    assert_eq!(of(&told, tag), ["FINISH"], "told on the next connection on which a call stands");
}

#[test]
fn a_caller_without_connections_is_told_of_a_release_on_the_next_on_which_a_call_stands() {
    each(&[Leave::Close, Leave::Reset], |how| {
        let (house, peer) = house_with_peer("next");
        let (caller, tag, link) = standing(&house, &peer);
        leave(caller, &tag, how);
        told(&mut self::caller(&house.gateway));
        send_line(&link, &finish(&tag, 16));
        peer.up_to("FINISHED", &tag);
        is_told_next(&house, &peer, &tag);
    });
}

#[test]
fn a_release_that_crosses_the_close_of_its_callers_last_connection_is_told_on_the_next() {
    let variants = [(Leave::Close, false), (Leave::Reset, false), (Leave::Close, true), (Leave::Reset, true)];
    each(&variants, |(how, switch_first)| {
        let (house, peer) = house_with_peer("next-crossing");
        let (caller, tag, link) = standing(&house, &peer);
        house.stop();
        if switch_first {
            send_line(&link, &finish(&tag, 16));
            talk(&caller);
        }
        leave(caller, &tag, how);
        if !switch_first {
            send_line(&link, &finish(&tag, 16));
        }
        house.go_on();
        peer.up_to("FINISHED", &tag);
        is_told_next(&house, &peer, &tag);
    });
}

fn told_to_stand(tag: &str) -> Value {
    json!({"verb": "START", "tag": tag, "blob": "offer", "opts": {"class": "voice", "extras": "at:s-1"}})
}

#[test]
fn a_call_that_is_told_to_stand_as_its_answer_comes_gets_that_answer_and_one_release() {
    each(&[false, true], |switch_first| {
        let (house, peer) = house_with_peer("at-other");
        let (mut caller, mut other) = (caller(&house.gateway), caller(&house.gateway));
        let tag = fresh();
        caller.send(&set_up(&tag, 6000));
        let link = peer.start(&tag).link;
        house.stop();
        if switch_first {
            send_line(&link, &started(&tag));
        }
        other.send(&told_to_stand(&tag));
        if !switch_first {
            send_line(&link, &started(&tag));
        }
        house.go_on();
        assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
        assert_eq!(of(&told(&mut other), &tag), [""; 0], "what is told so expects no answer");
        send_line(&link, &finish(&tag, 16));
        peer.up_to("FINISHED", &tag);
        let (caller, other) = (told(&mut caller), told(&mut other));
        // Callers are one party.
        let released = [of(&caller, &tag), of(&other, &tag)].concat();
        assert_eq!(released, ["FINISH"]);
    });
}

#[test]
fn a_call_that_is_told_to_stand_on_the_connection_of_its_open_set_up_gets_its_one_answer() {
    let (house, peer) = house_with_peer("at-same");
    let (mut caller, tag) = (caller(&house.gateway), fresh());
    caller.send(&set_up(&tag, 6000));
    let link = peer.start(&tag).link;
    // It expects no answer, and may name what the gateway holds.
    caller.send(&told_to_stand(&tag));
    assert_eq!(of(&told(&mut caller), &tag), [""; 0]);
    send_line(&link, &started(&tag));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    send_line(&link, &finish(&tag, 16));
    assert_eq!(of(&[caller.receive().unwrap()], &tag), ["FINISH"]);
    let heard = house.serves_on(&peer);
    assert!(!heard.iter().any(|h| h.is("FINISH", &tag)), "the core switch has released it itself");
}
