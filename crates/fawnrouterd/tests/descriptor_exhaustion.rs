//! Descriptor exhaustion: clients' connections use up the descriptors of a process whose limit is that of its
//! configuration, while the name server is down. The gateway must still query the name server, apply lists,
//! connect to core switches and read its configuration file.

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
/// Refused clients must be closed within 3 s; the rest is a margin for a busy machine.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);

/// A gateway process whose descriptor limit is that of its configuration.
struct Gateway {
    child: Child,
    address: SocketAddr,
    file: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
    /// The highest number of open descriptors seen so far.
    most_descriptors: Arc<AtomicUsize>,
    /// Ends the thread that counts the descriptors.
    stopped: Arc<AtomicBool>,
}

impl Gateway {
    fn start(test: &str, config: &Value) -> Self {
        // The clients' ends of the connections are descriptors of the test process.
        let mut own_limit = getrlimit(Resource::Nofile);
        own_limit.current = own_limit.maximum;
        setrlimit(Resource::Nofile, own_limit).unwrap();
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("descriptors-{test}"));
        std::fs::create_dir_all(&directory).unwrap();
        let file = directory.join("config.json");
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
            most_descriptors: Arc::default(),
            stopped: Arc::default(),
        };
        gateway.wait_for_log("gateway ready");
        let directory = format!("/proc/{}/fd", gateway.child.id());
        let (most, stopped) = (gateway.most_descriptors.clone(), gateway.stopped.clone());
        std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                most.fetch_max(count_descriptors(&directory), Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(2));
            }
        });
        gateway
    }

    /// Waits for a log line that contains this text.
    fn wait_for_log(&self, part: &str) {
        wait_until(&format!("a line with {part:?}"), || self.find_log_line(part).is_some());
    }

    fn find_log_line(&self, part: &str) -> Option<String> {
        self.log.lock().unwrap().iter().find(|line| line.contains(part)).cloned()
    }

    fn descriptor_count(&self) -> usize {
        count_descriptors(&format!("/proc/{}/fd", self.child.id()))
    }

    /// Asserts that the process was never refused a descriptor. (The number that it held cannot be counted
    /// exactly while it changes.)
    fn assert_never_out_of_descriptors(&self, limit: usize) {
        let error_line =
            self.find_log_line("os error 24").or_else(|| self.find_log_line("Too many open files"));
        let most = self.most_descriptors.load(Ordering::Relaxed);
        assert!(error_line.is_none(), "about {most} of {limit} descriptors: {error_line:?}");
    }

    /// The processor time used since the start (proc_pid_stat(5): utime and stime, in ticks of 10 ms).
    fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields = stat.rsplit_once(')').unwrap().1.split_whitespace();
        fields.skip(11).take(2).map(|n| n.parse::<u64>().unwrap()).sum()
    }

    fn reload(&self, config: &Value) {
        std::fs::write(&self.file, config.to_string()).unwrap();
        kill_process(Pid::from_child(&self.child), Signal::HUP).unwrap();
        self.wait_for_log("new configuration");
    }

    fn connect_client(&self) -> TcpStream {
        let stream = TcpStream::connect_timeout(&self.address, TIMEOUT).unwrap();
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
        stream
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn count_descriptors(directory: &str) -> usize {
    std::fs::read_dir(directory).map_or(0, Iterator::count)
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "never: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

const ECHO: &str = "{\"verb\":\"ECHO\",\"tag\":\"00000000000000aa\",\"opts\":{},\"rc\":0}\n";

fn set_up_line(tag: u64, left_ms: u64) -> String {
    let opts = json!({"class": "voice", "left": left_ms.to_string(), "key": "7f3a", "extras": "dest:0;width:1;via:-1"});
    let line = json!({"verb": "START", "tag": format!("{tag:016x}"), "blob": "offer", "opts": opts});
    format!("{line}\n")
}

/// What a client got in return.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    /// Its call was established, or its health check was passed.
    Served,
    /// Its call was refused, or it got an error message and then the end.
    Refused,
    /// The connection ended without a message.
    ClosedSilently,
    /// The connection was reset.
    Reset,
    /// Nothing arrived in time.
    TimedOut,
}

/// Reads until the outcome is known for a client that has sent its request.
fn read_outcome(stream: &TcpStream) -> Outcome {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(0) => return Outcome::ClosedSilently,
        Ok(_) => {}
        Err(error) => return outcome_of_error(&error),
    }
    let response: Value = serde_json::from_str(&line).expect("the gateway writes JSON");
    if response["verb"] != "FINISH" {
        return Outcome::Served;
    }
    // A refusal of the call leaves the connection open.
    if response["tag"].is_string() {
        return Outcome::Refused;
    }
    match reader.read_to_end(&mut Vec::new()) {
        Ok(_) => Outcome::Refused,
        Err(error) => outcome_of_error(&error),
    }
}

fn outcome_of_error(error: &std::io::Error) -> Outcome {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => Outcome::TimedOut,
        _ => Outcome::Reset,
    }
}

/// Core switches that accept connections and send nothing, as many as the gateway may have connections to
/// switches.
fn silent_switches(limit: usize) -> Vec<(String, TcpListener)> {
    (0..limit / 4).map(|n| (format!("q-{n}"), TcpListener::bind("127.0.0.1:0").unwrap())).collect()
}

fn config_with_descriptor_limit(
    limit: usize,
    name_server: SocketAddr,
    switches: &[(String, TcpListener)],
) -> Value {
    let known: Vec<(&str, SocketAddr)> =
        switches.iter().map(|(id, l)| (id.as_str(), l.local_addr().unwrap())).collect();
    let mut config = node_config(free_address(), name_server, &known);
    config["limits"]["sockets"] = json!(limit);
    config
}

/// Opens so many connections: some silent, some with a health check, some with half a line.
fn open_crowd(gateway: &Gateway, size: usize) -> Vec<TcpStream> {
    let first_bytes = ["", ECHO, "{\"verb\":\"START\",\"tag\""];
    (0..size)
        .map(|n| {
            let mut stream = gateway.connect_client();
            let _ = stream.write_all(first_bytes[n % 3].as_bytes());
            stream
        })
        .collect()
}

/// A core switch that answers every set-up with STARTED.
struct AnsweringSwitch {
    address: SocketAddr,
    set_ups: Arc<AtomicUsize>,
}

impl AnsweringSwitch {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let set_ups = Arc::new(AtomicUsize::new(0));
        let counts = set_ups.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counts = counts.clone();
                std::thread::spawn(move || {
                    let reader = BufReader::new(stream.try_clone().unwrap());
                    for line in reader.lines().map_while(Result::ok) {
                        let line: Value = serde_json::from_str(&line).expect("the gateway writes JSON");
                        if line["verb"] == "START" {
                            counts.fetch_add(1, Ordering::Relaxed);
                            answer_started(&stream, &line["tag"]);
                        }
                    }
                });
            }
        });
        Self { address, set_ups }
    }

    fn set_up_count(&self) -> usize {
        self.set_ups.load(Ordering::Relaxed)
    }
}

fn answer_started(mut connection: &TcpStream, tag: &Value) {
    let line = json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": "answer"});
    let _ = connection.write_all(format!("{line}\n").as_bytes());
}

/// Asserts that the call of a new caller is established. A refused caller tries again, three times in all.
fn assert_new_caller_served(gateway: &Gateway, tag: u64) -> TcpStream {
    for attempt in 0..3 {
        let mut caller = gateway.connect_client();
        caller.write_all(set_up_line(tag + (attempt << 32), 3000).as_bytes()).unwrap();
        match read_outcome(&caller) {
            Outcome::Served => return caller,
            Outcome::Refused => std::thread::sleep(Duration::from_millis(200)),
            outcome => panic!("{outcome:?} after {attempt} times: a caller is served or refused"),
        }
    }
    panic!("three callers have been refused");
}

/// Asserts that the gateway uses almost no processor time while there is no traffic.
fn assert_idle(gateway: &Gateway) {
    let before = gateway.cpu_ticks();
    std::thread::sleep(Duration::from_secs(1));
    let used = gateway.cpu_ticks() - before;
    assert!(used <= 15, "{used} ticks of 10 ms in a quiet second");
}

/// Opens more connections than the descriptor limit while no name server answers, then configures a new name
/// server, which lists a new core switch, and closes the connections at last.
fn check_crowd_while_name_server_is_down(limit: usize) {
    let switches = silent_switches(limit);
    let unused_address = free_address();
    let config = config_with_descriptor_limit(limit, unused_address, &switches);
    let gateway = Gateway::start(&format!("crowd-{limit}"), &config);
    let crowd = open_crowd(&gateway, limit + 40);
    // Once the last one gets a message, all before it have been accepted.
    let mut last = gateway.connect_client();
    last.write_all(ECHO.as_bytes()).unwrap();
    let outcome = read_outcome(&last);
    assert!(matches!(outcome, Outcome::Served | Outcome::Refused), "{outcome:?}: a newcomer gets a message");
    gateway.assert_never_out_of_descriptors(limit);
    let new = AnsweringSwitch::new();
    let zone = DnsZone { serial: 2, switches: vec![("s-new".to_owned(), new.address)], ..DnsZone::default() };
    let name_server = NameServer::new(zone);
    let mut changed = config.clone();
    changed["nameserver"] = json!(name_server.address.to_string());
    gateway.reload(&changed);
    name_server.wait_for_queries(3);
    assert_new_caller_served(&gateway, 1);
    assert!(new.set_up_count() > 0, "the call was set up at the new switch");
    gateway.assert_never_out_of_descriptors(limit);
    drop(crowd);
    drop(last);
    let callers: Vec<TcpStream> = (0..10).map(|n| assert_new_caller_served(&gateway, 100 + n)).collect();
    wait_until("the descriptors of the closed connections are released", || {
        gateway.descriptor_count() < callers.len() + 24
    });
    assert_idle(&gateway);
    assert_new_caller_served(&gateway, 200);
    gateway.assert_never_out_of_descriptors(limit);
}

#[test]
fn crowd_that_fills_64_descriptors_prevents_neither_reload_nor_list_nor_new_switch() {
    check_crowd_while_name_server_is_down(64);
}

#[test]
fn crowd_that_fills_96_descriptors_prevents_neither_reload_nor_list_nor_new_switch() {
    check_crowd_while_name_server_is_down(96);
}

#[test]
fn crowd_that_fills_256_descriptors_prevents_neither_reload_nor_list_nor_new_switch() {
    check_crowd_while_name_server_is_down(256);
}

#[test]
fn idle_connection_to_draining_switch_is_closed_for_new_switch() {
    let switches = silent_switches(64);
    let config = config_with_descriptor_limit(64, free_address(), &switches);
    let gateway = Gateway::start("drain", &config);
    // Each switch has its one connection, and no more are allowed.
    let connections: Vec<_> = switches.iter().map(|(_, switch)| switch.accept().unwrap()).collect();
    let new = AnsweringSwitch::new();
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
    gateway.reload(&changed);
    assert_new_caller_served(&gateway, 1);
    assert_eq!(new.set_up_count(), 1);
    drop(connections);
    gateway.assert_never_out_of_descriptors(64);
}

/// Opens so many connections at once from ten threads and sends each its text. Returns the outcomes.
fn connect_burst(gateway: &Gateway, size: u64, text_of: impl Fn(u64) -> String + Sync) -> Vec<Outcome> {
    let (text_of, threads) = (&text_of, 10);
    std::thread::scope(|scope| {
        let start_thread = |first: u64| {
            scope.spawn(move || {
                let numbers = (first..size).step_by(threads);
                let streams = numbers.map(|n| {
                    let mut stream = gateway.connect_client();
                    let written = stream.write_all(text_of(n).as_bytes());
                    (stream, written)
                });
                let streams: Vec<_> = streams.collect();
                streams
                    .iter()
                    .map(|(s, written)| written.as_ref().map_or_else(outcome_of_error, |()| read_outcome(s)))
                    .collect::<Vec<_>>()
            })
        };
        let running: Vec<_> = (0..threads as u64).map(start_thread).collect();
        running.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

/// The number of clients with each outcome.
fn count_outcomes(outcomes: &[Outcome]) -> [(Outcome, usize); 5] {
    let all = [Outcome::Served, Outcome::Refused, Outcome::ClosedSilently, Outcome::Reset, Outcome::TimedOut];
    all.map(|outcome| {
        let count = outcomes.iter().filter(|f| **f == outcome).count();
        (outcome, count)
    })
}

/// A gateway with 64 descriptors, one core switch and a caller with an established call, while the name
/// server is down.
fn small_gateway(test: &str) -> (Gateway, AnsweringSwitch, TcpStream) {
    let switch = AnsweringSwitch::new();
    let mut config = node_config(free_address(), free_address(), &[("s-1", switch.address)]);
    config["limits"]["sockets"] = json!(64);
    let gateway = Gateway::start(test, &config);
    let caller = assert_new_caller_served(&gateway, 0xffff);
    (gateway, switch, caller)
}

/// Asserts that this caller's connection is still served, that a new caller is served and that the gateway is
/// idle then.
fn assert_still_serving(gateway: &Gateway, mut caller: &TcpStream) {
    caller.write_all(ECHO.as_bytes()).unwrap();
    assert_eq!(
        read_outcome(caller),
        Outcome::Served,
        "the caller with an established call keeps its connection"
    );
    assert_new_caller_served(gateway, 0xeeee);
    assert_idle(gateway);
    gateway.assert_never_out_of_descriptors(64);
}

#[test]
fn each_of_500_simultaneous_callers_on_64_descriptors_is_served_or_refused_in_order() {
    let (gateway, _switch, caller) = small_gateway("burst-calls");
    let outcomes = connect_burst(&gateway, 500, |n| set_up_line(n + 1, 3000));
    let counts = count_outcomes(&outcomes);
    // An end without a message is a close that crossed the set-up: the gateway had read nothing on that
    // connection yet.
    let any_failed = outcomes.iter().any(|f| matches!(f, Outcome::Reset | Outcome::TimedOut));
    let closed = outcomes.iter().filter(|f| **f == Outcome::ClosedSilently).count();
    assert!(!any_failed && closed <= 50, "{counts:?}");
    // All connection slots belong to callers with established calls, and the longest idle one has been closed
    // for a newcomer: it connects again.
    drop(caller);
    assert_still_serving(&gateway, &assert_new_caller_served(&gateway, 0xdddd));
}

#[test]
fn none_of_500_simultaneous_health_checks_on_64_descriptors_is_reset() {
    let (gateway, _switch, caller) = small_gateway("burst-tests");
    let outcomes = connect_burst(&gateway, 500, |_| ECHO.to_owned());
    let counts = count_outcomes(&outcomes);
    let any_failed = outcomes.iter().any(|f| matches!(f, Outcome::Reset | Outcome::TimedOut));
    assert!(!any_failed, "{counts:?}");
    assert_still_serving(&gateway, &caller);
}

#[test]
fn each_of_500_simultaneous_silent_connections_on_64_descriptors_is_closed_in_order() {
    let (gateway, _switch, caller) = small_gateway("burst-silent");
    let outcomes = connect_burst(&gateway, 500, |_| String::new());
    let counts = count_outcomes(&outcomes);
    let any_failed = outcomes.iter().any(|f| matches!(f, Outcome::Reset | Outcome::TimedOut));
    assert!(!any_failed, "{counts:?}");
    assert_still_serving(&gateway, &caller);
}
