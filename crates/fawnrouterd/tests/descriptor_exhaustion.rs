//! Descriptors that run short: crowds of clients' connections fill what the gateway may hold, on a process that has no
//! more than its configuration says, while the name server is down. The gateway must go on asking, take lists, connect
//! to core switches and read its file.

mod common;

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{DnsZone, NameServer, free_address, node_config};
use rustix::process::{Pid, Resource, Signal, getrlimit, kill_process, setrlimit};
use serde_json::{Value, json};

/// Ends a test that would hang.
const TIMEOUT: Duration = Duration::from_secs(15);
/// The page owes those that are turned away an end within 3 s; the rest is for a machine that is busy.
const SOON: Duration = Duration::from_secs(6);

/// A gateway process that may hold no more descriptors than its configuration says.
struct Gateway {
    child: Child,
    address: SocketAddr,
    file: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
    /// The most descriptors that it has been seen to hold.
    most: Arc<AtomicUsize>,
    over: Arc<AtomicBool>,
}

impl Gateway {
    fn start(test: &str, config: &Value) -> Self {
        // The crowd is this process's own.
        let mut own = getrlimit(Resource::Nofile);
        own.current = own.maximum;
        setrlimit(Resource::Nofile, own).unwrap();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("famine-{test}"));
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        let listen = config["listen"].as_str().unwrap();
        let limit = config["limits"]["sockets"].to_string();
        let mut command = Command::new("sh");
        command.args([
            "-c",
            "ulimit -n \"$1\" && exec \"$0\" node",
            env!("CARGO_BIN_EXE_fawnrouter"),
            &limit,
        ]);
        command.env("BALANCER_CONFIG", &file).env("BALANCER_NAME", "n0").env("BALANCER_LISTEN", listen);
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = log.clone();
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                lines.lock().unwrap().push(line);
            }
        });
        let gateway = Self {
            child,
            address: listen.parse().unwrap(),
            file,
            log,
            most: Arc::default(),
            over: Arc::default(),
        };
        gateway.wait_for_log("gateway ready");
        let folder = format!("/proc/{}/fd", gateway.child.id());
        let (most, over) = (gateway.most.clone(), gateway.over.clone());
        std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                most.fetch_max(descriptors(&folder), Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(2));
            }
        });
        gateway
    }

    /// Waits for a line of the log.
    fn wait_for_log(&self, part: &str) {
        eventually(&format!("a line with {part:?}"), || self.said(part).is_some());
    }

    fn said(&self, part: &str) -> Option<String> {
        self.log.lock().unwrap().iter().find(|line| line.contains(part)).cloned()
    }

    fn has_connections(&self) -> usize {
        descriptors(&format!("/proc/{}/fd", self.child.id()))
    }

    /// It was never refused a descriptor. (How many it held can't be counted exactly while they change.)
    fn was_never_out_of_descriptors(&self, limit: usize) {
        let lack = self.said("os error 24").or_else(|| self.said("Too many open files"));
        let most = self.most.load(Ordering::Relaxed);
        assert!(lack.is_none(), "about {most} of {limit} descriptors: {lack:?}");
    }

    /// Processor time since its start (proc_pid_stat(5): utime and stime, in ticks of 10 ms).
    fn ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields = stat.rsplit_once(')').unwrap().1.split_whitespace();
        fields.skip(11).take(2).map(|n| n.parse::<u64>().unwrap()).sum()
    }

    fn reloads(&self, config: &Value) {
        std::fs::write(&self.file, config.to_string()).unwrap();
        kill_process(Pid::from_child(&self.child), Signal::HUP).unwrap();
        self.wait_for_log("new configuration");
    }

    fn client(&self) -> TcpStream {
        let stream = TcpStream::connect_timeout(&self.address, TIMEOUT).unwrap();
        stream.set_read_timeout(Some(SOON)).unwrap();
        stream
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn descriptors(folder: &str) -> usize {
    std::fs::read_dir(folder).map_or(0, Iterator::count)
}

fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "never: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

const ECHO: &str = "{\"verb\":\"ECHO\",\"tag\":\"00000000000000aa\",\"opts\":{},\"rc\":0}\n";

fn call(tag: u64, left_ms: u64) -> String {
    let opts = json!({"class": "voice", "left": left_ms.to_string(), "key": "7f3a", "extras": "dest:0;width:1;via:-1"});
    let line = json!({"verb": "START", "tag": format!("{tag:016x}"), "blob": "offer", "opts": opts});
    format!("{line}\n")
}

/// How a client fared.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fate {
    /// Its call stands, or its test is passed.
    Served,
    /// It was told that there is no room; then came the end.
    TurnedAway,
    /// An end without a word.
    Ended,
    /// A reset.
    Reset,
    /// Nothing came in time.
    Nothing,
}

/// The fate of one that has said something and now listens.
fn fate(stream: &TcpStream) -> Fate {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(0) => return Fate::Ended,
        Ok(_) => {}
        Err(error) => return fault(&error),
    }
    let told: Value = serde_json::from_str(&line).expect("the gateway writes JSON");
    if told["verb"] != "FINISH" {
        return Fate::Served;
    }
    // A refusal of the call alone leaves the connection as it is.
    if told["tag"].is_string() {
        return Fate::TurnedAway;
    }
    match reader.read_to_end(&mut Vec::new()) {
        Ok(_) => Fate::TurnedAway,
        Err(error) => fault(&error),
    }
}

fn fault(error: &std::io::Error) -> Fate {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => Fate::Nothing,
        _ => Fate::Reset,
    }
}

/// Core switches that take connections and say nothing, as many as the gateway may have connections to them.
fn quiet_switches(limit: usize) -> Vec<(String, TcpListener)> {
    (0..limit / 4).map(|n| (format!("q-{n}"), TcpListener::bind("127.0.0.1:0").unwrap())).collect()
}

fn famine_config(limit: usize, names: SocketAddr, switches: &[(String, TcpListener)]) -> Value {
    let known: Vec<(&str, SocketAddr)> =
        switches.iter().map(|(id, l)| (id.as_str(), l.local_addr().unwrap())).collect();
    let mut config = node_config(free_address(), names, &known);
    config["limits"]["sockets"] = json!(limit);
    config
}

/// More connections than there are descriptors: some silent, some that passed the test, some with half a line.
fn crowd(gateway: &Gateway, size: usize) -> Vec<TcpStream> {
    let kinds = ["", ECHO, "{\"verb\":\"START\",\"tag\""];
    (0..size)
        .map(|n| {
            let mut stream = gateway.client();
            let _ = stream.write_all(kinds[n % 3].as_bytes());
            stream
        })
        .collect()
}

/// A core switch on which every call stands at once.
struct Ready {
    address: SocketAddr,
    starts: Arc<AtomicUsize>,
}

impl Ready {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let starts = Arc::new(AtomicUsize::new(0));
        let counts = starts.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counts = counts.clone();
                std::thread::spawn(move || {
                    let reader = BufReader::new(stream.try_clone().unwrap());
                    for line in reader.lines().map_while(Result::ok) {
                        let line: Value = serde_json::from_str(&line).expect("the gateway writes JSON");
                        if line["verb"] == "START" {
                            counts.fetch_add(1, Ordering::Relaxed);
                            stands(&stream, &line["tag"]);
                        }
                    }
                });
            }
        });
        Self { address, starts }
    }

    fn has_had(&self) -> usize {
        self.starts.load(Ordering::Relaxed)
    }
}

fn stands(mut link: &TcpStream, tag: &Value) {
    let line = json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": "answer"});
    let _ = link.write_all(format!("{line}\n").as_bytes());
}

/// A new caller's call stands; one that is turned away plainly comes again, a few times.
fn a_new_caller_is_served(gateway: &Gateway, tag: u64) -> TcpStream {
    for again in 0..3 {
        let mut caller = gateway.client();
        caller.write_all(call(tag + (again << 32), 3000).as_bytes()).unwrap();
        match fate(&caller) {
            Fate::Served => return caller,
            Fate::TurnedAway => std::thread::sleep(Duration::from_millis(200)),
            fate => panic!("{fate:?} after {again} times: a caller is served or told that there is no room"),
        }
    }
    panic!("three callers have been turned away");
}

/// Nothing happens, and next to no time is used for it.
fn is_at_rest(gateway: &Gateway) {
    let before = gateway.ticks();
    std::thread::sleep(Duration::from_secs(1));
    let used = gateway.ticks() - before;
    assert!(used <= 15, "{used} ticks of 10 ms in a quiet second");
}

/// A crowd larger than the limit while nobody answers at the name server's address, then a new name server and a new
/// core switch, then the crowd's end.
fn crowd_while_discovery_is_down(limit: usize) {
    let switches = quiet_switches(limit);
    let nobody = free_address();
    let config = famine_config(limit, nobody, &switches);
    let gateway = Gateway::start(&format!("crowd-{limit}"), &config);
    let crowd = crowd(&gateway, limit + 40);
    // A word of the last says that all before it have been accepted.
    let mut last = gateway.client();
    last.write_all(ECHO.as_bytes()).unwrap();
    let fared = fate(&last);
    assert!(matches!(fared, Fate::Served | Fate::TurnedAway), "{fared:?}: a newcomer hears a word");
    gateway.was_never_out_of_descriptors(limit);
    let new = Ready::new();
    let zone = DnsZone { serial: 2, switches: vec![("s-new".to_owned(), new.address)], ..DnsZone::default() };
    let names = NameServer::new(zone);
    let mut changed = config.clone();
    changed["nameserver"] = json!(names.address.to_string());
    gateway.reloads(&changed);
    names.wait_for_queries(3);
    a_new_caller_is_served(&gateway, 1);
    assert!(new.has_had() > 0, "at the new one");
    gateway.was_never_out_of_descriptors(limit);
    drop(crowd);
    drop(last);
    let callers: Vec<TcpStream> = (0..10).map(|n| a_new_caller_is_served(&gateway, 100 + n)).collect();
    eventually("all that the crowd held is freed", || gateway.has_connections() < callers.len() + 24);
    is_at_rest(&gateway);
    a_new_caller_is_served(&gateway, 200);
    gateway.was_never_out_of_descriptors(limit);
}

#[test]
fn a_crowd_that_fills_64_descriptors_keeps_no_list_no_file_and_no_new_switch_from_the_gateway() {
    crowd_while_discovery_is_down(64);
}

#[test]
fn a_crowd_that_fills_96_descriptors_keeps_no_list_no_file_and_no_new_switch_from_the_gateway() {
    crowd_while_discovery_is_down(96);
}

#[test]
fn a_crowd_that_fills_256_descriptors_keeps_no_list_no_file_and_no_new_switch_from_the_gateway() {
    crowd_while_discovery_is_down(256);
}

#[test]
fn idle_connections_to_switches_that_drain_make_room_for_one_to_a_new_switch() {
    let switches = quiet_switches(64);
    let config = famine_config(64, free_address(), &switches);
    let gateway = Gateway::start("drain", &config);
    // Each has its one connection, and that is all there may be.
    let links: Vec<_> = switches.iter().map(|(_, switch)| switch.accept().unwrap()).collect();
    let new = Ready::new();
    let mut changed = config.clone();
    changed["known"]["seq"] = json!(2);
    let instances = changed["known"]["results"][0]["fleet"]["instances"].as_array_mut().unwrap();
    let mut added = instances[0].clone();
    for instance in instances.iter_mut() {
        instance["lifecycle"] = json!("Terminating");
    }
    added["instanceId"] = json!("s-new");
    added["hostPort"] = json!(new.address.to_string());
    instances.push(added);
    gateway.reloads(&changed);
    a_new_caller_is_served(&gateway, 1);
    assert_eq!(new.has_had(), 1);
    drop(links);
    gateway.was_never_out_of_descriptors(64);
}

/// So many at once, from some threads; what each of them says, and how it fared.
fn burst(gateway: &Gateway, size: u64, says: impl Fn(u64) -> String + Sync) -> Vec<Fate> {
    let (says, threads) = (&says, 10);
    std::thread::scope(|scope| {
        let some = |first: u64| {
            scope.spawn(move || {
                let mine = (first..size).step_by(threads);
                let streams = mine.map(|n| {
                    let mut stream = gateway.client();
                    let said = stream.write_all(says(n).as_bytes());
                    (stream, said)
                });
                let streams: Vec<_> = streams.collect();
                streams
                    .iter()
                    .map(|(s, said)| said.as_ref().map_or_else(fault, |()| fate(s)))
                    .collect::<Vec<_>>()
            })
        };
        let running: Vec<_> = (0..threads as u64).map(some).collect();
        running.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

/// How many fared how.
fn counts(fates: &[Fate]) -> [(Fate, usize); 5] {
    let all = [Fate::Served, Fate::TurnedAway, Fate::Ended, Fate::Reset, Fate::Nothing];
    all.map(|fate| {
        let count = fates.iter().filter(|f| **f == fate).count();
        (fate, count)
    })
}

/// A gateway with 64 descriptors, one core switch and a caller whose call stands, while discovery is down.
fn small_gateway(test: &str) -> (Gateway, Ready, TcpStream) {
    let switch = Ready::new();
    let mut config = node_config(free_address(), free_address(), &[("s-1", switch.address)]);
    config["limits"]["sockets"] = json!(64);
    let gateway = Gateway::start(test, &config);
    let caller = a_new_caller_is_served(&gateway, 0xffff);
    (gateway, switch, caller)
}

fn goes_on(gateway: &Gateway, mut caller: &TcpStream) {
    caller.write_all(ECHO.as_bytes()).unwrap();
    assert_eq!(fate(caller), Fate::Served, "the caller with a standing call keeps its connection");
    a_new_caller_is_served(gateway, 0xeeee);
    is_at_rest(gateway);
    gateway.was_never_out_of_descriptors(64);
}

#[test]
fn of_500_callers_at_once_on_64_descriptors_each_is_served_or_turned_away_in_order() {
    let (gateway, _switch, caller) = small_gateway("burst-calls");
    let fates = burst(&gateway, 500, |n| call(n + 1, 3000));
    let counts = counts(&fates);
    // An end without a word is a close that the set-up crossed: its connection had said nothing yet.
    let bad = fates.iter().any(|f| matches!(f, Fate::Reset | Fate::Nothing));
    let ended = fates.iter().filter(|f| **f == Fate::Ended).count();
    assert!(!bad && ended <= 50, "{counts:?}");
    // All seats hold calls that stand, and the longest idle of them has made room: it comes again.
    drop(caller);
    goes_on(&gateway, &a_new_caller_is_served(&gateway, 0xdddd));
}

#[test]
fn of_500_that_pass_the_test_at_once_on_64_descriptors_none_meets_a_reset() {
    let (gateway, _switch, caller) = small_gateway("burst-tests");
    let fates = burst(&gateway, 500, |_| ECHO.to_owned());
    let counts = counts(&fates);
    let bad = fates.iter().any(|f| matches!(f, Fate::Reset | Fate::Nothing));
    assert!(!bad, "{counts:?}");
    goes_on(&gateway, &caller);
}

#[test]
fn of_500_silent_ones_at_once_on_64_descriptors_each_comes_to_an_orderly_end() {
    let (gateway, _switch, caller) = small_gateway("burst-silent");
    let fates = burst(&gateway, 500, |_| String::new());
    let counts = counts(&fates);
    let bad = fates.iter().any(|f| matches!(f, Fate::Reset | Fate::Nothing));
    assert!(!bad, "{counts:?}");
    goes_on(&gateway, &caller);
}
