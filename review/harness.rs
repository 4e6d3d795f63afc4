//! Stand-ins for the peers of a gateway on the platform: callers, core switches, name server, and the
//! gateway's process. Standard library only; each case includes this file as a module. All addresses are
//! loopback addresses. Everything sent and received is written to the case's `record.txt`.
#![allow(dead_code)]

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The record of a run. Times are milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        Self { file: Arc::new(Mutex::new(File::create(path).unwrap())), start: Instant::now() }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn put(&self, who: &str, what: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {who:<10} {what}", self.now());
    }

    /// Sleeps until so many milliseconds after the start.
    pub fn sleep_until(&self, at: u64) {
        let now = self.now();
        if at > now {
            sleep(ms(at - now));
        }
    }
}

/// The text value of a field anywhere in a line of JSON written without spaces, as the gateway writes it.
pub fn text_field(line: &str, name: &str) -> Option<String> {
    let start = line.find(&format!("\"{name}\":\""))? + name.len() + 4;
    let rest = &line[start..];
    let mut end = 0;
    let bytes = rest.as_bytes();
    while end < bytes.len() && bytes[end] != b'"' {
        end += if bytes[end] == b'\\' { 2 } else { 1 };
    }
    Some(rest[..end].to_owned())
}

/// The number value of a field.
pub fn number_field(line: &str, name: &str) -> Option<i64> {
    let start = line.find(&format!("\"{name}\":"))? + name.len() + 3;
    let digits: String = line[start..].chars().take_while(|c| c.is_ascii_digit() || *c == '-').collect();
    digits.parse().ok()
}

static NEXT_TAG: AtomicU64 = AtomicU64::new(0);

/// A new call id.
pub fn new_tag() -> String {
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
    let n = NEXT_TAG.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (n << 40) ^ n)
}

// ---------------------------------------------------------------------------------------------------------

/// How long a call stands before its core switch ends it.
#[derive(Clone, Copy, PartialEq)]
pub enum Hold {
    /// Until [`Switch::release`].
    Forever,
    /// This long.
    Fixed(Duration),
    /// As the settings say on average for its class, spread exponentially, 0.5 s at least.
    ByClass,
}

/// The average holding times of the configuration, in milliseconds.
const CLASS_HOLDS: [(&str, f64); 3] =
    [("payee-check", 9300.0), ("transfer-status", 13_900.0), ("balance-check", 6500.0)];

static RANDOM: AtomicU64 = AtomicU64::new(0x2545_f491_4f6c_dd1d);

/// A random number above 0 and up to 1, the same sequence in each run.
pub fn random_unit() -> f64 {
    let step = |x: u64| x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    let x = RANDOM.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |x| Some(step(x))).unwrap();
    ((step(x) >> 33) + 1) as f64 / (1u64 << 31) as f64
}

/// A set-up that reached a core switch.
#[derive(Clone)]
pub struct Arrival {
    pub at: u64,
    pub tag: String,
}

#[derive(Default)]
struct SwitchState {
    /// Open connections by number.
    connections: HashMap<u64, TcpStream>,
    /// Set-ups not answered yet, with their connection.
    open: HashMap<String, u64>,
    /// Standing calls, with the connection of their set-up.
    standing: HashMap<String, u64>,
    /// Releases that the gateway has not confirmed, with their cause.
    unheard: HashMap<String, i64>,
    arrivals: Vec<Arrival>,
    /// Connections on which nothing is read or said any more.
    forgotten: HashSet<u64>,
    /// When the switch ended a standing call, and whether its set-up's connection was of use then.
    ended: Vec<(u64, String, bool)>,
    /// The answer that never arrived: when, of which call, and its connection.
    lost_answer: Option<(u64, String, u64)>,
}

/// A core switch. A call to a number that begins with "busy" finds every line of the number busy.
#[derive(Clone)]
pub struct Switch {
    pub id: String,
    pub address: SocketAddr,
    pub answer_after: Duration,
    pub hold: Hold,
    state: Arc<Mutex<SwitchState>>,
    /// The next answer does not arrive, and nothing more on its connection.
    lose_next_answer: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
    record: Record,
}

impl Switch {
    pub fn start(id: &str, answer_after: Duration, hold: Hold, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let switch = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            answer_after,
            hold,
            state: Arc::default(),
            lose_next_answer: Arc::default(),
            stopped: Arc::default(),
            record: record.clone(),
        };
        record.put(id, &format!("listens on {}", switch.address));
        listener.set_nonblocking(true).unwrap();
        let accepting = switch.clone();
        thread::spawn(move || {
            let mut number = 0;
            while !accepting.stopped.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        number += 1;
                        stream.set_nonblocking(false).unwrap();
                        let _ = stream.set_nodelay(true);
                        accepting.connected(number, stream);
                    }
                    Err(_) => sleep(ms(1)),
                }
            }
        });
        switch
    }

    fn connected(&self, number: u64, stream: TcpStream) {
        self.record.put(&self.id, &format!("connection {number} accepted"));
        self.state.lock().unwrap().connections.insert(number, stream.try_clone().unwrap());
        self.write(number, r#"{"verb":"LOAD","tag":"0000000000000000","opts":{"load":"free:200;size:200"}}"#);
        // A release is sent also on the next connection that is opened.
        let unheard: Vec<(String, i64)> =
            self.state.lock().unwrap().unheard.iter().map(|(t, rc)| (t.clone(), *rc)).collect();
        for (tag, rc) in unheard {
            self.write(number, &format!(r#"{{"verb":"FINISH","tag":"{tag}","opts":{{}},"rc":{rc}}}"#));
        }
        let this = self.clone();
        thread::spawn(move || {
            for line in BufReader::new(stream).lines().map_while(Result::ok) {
                this.received(number, &line);
            }
            let mut state = this.state.lock().unwrap();
            state.connections.remove(&number);
            state.open.retain(|_, connection| *connection != number);
            drop(state);
            this.record.put(&this.id, &format!("connection {number} ended"));
        });
    }

    fn write(&self, connection: u64, line: &str) -> bool {
        let state = self.state.lock().unwrap();
        let stream = state.connections.get(&connection).filter(|_| !state.forgotten.contains(&connection));
        let stream = stream.and_then(|s| s.try_clone().ok());
        drop(state);
        let Some(mut stream) = stream else { return false };
        self.record.put(&self.id, &format!("-> {connection} {line}"));
        stream.write_all(format!("{line}\n").as_bytes()).is_ok()
    }

    fn received(&self, connection: u64, line: &str) {
        if self.state.lock().unwrap().forgotten.contains(&connection) {
            return;
        }
        self.record.put(&self.id, &format!("<- {connection} {line}"));
        let (verb, tag) =
            (text_field(line, "verb").unwrap_or_default(), text_field(line, "tag").unwrap_or_default());
        match verb.as_str() {
            "START" => {
                let at = self.record.now();
                let mut state = self.state.lock().unwrap();
                state.arrivals.push(Arrival { at, tag: tag.clone() });
                state.open.insert(tag.clone(), connection);
                drop(state);
                let busy = text_field(line, "key").is_some_and(|key| key.starts_with("busy"));
                let blob = text_field(line, "blob").unwrap_or_default();
                let this = self.clone();
                let class = text_field(line, "class").unwrap_or_default();
                thread::spawn(move || this.answer(connection, &tag, busy, &class, &blob));
            }
            "FINISH" => {
                let mut state = self.state.lock().unwrap();
                state.open.remove(&tag);
                state.standing.remove(&tag);
                drop(state);
                self.write(connection, &format!(r#"{{"verb":"FINISHED","tag":"{tag}","opts":{{}}}}"#));
            }
            "FINISHED" => drop(self.state.lock().unwrap().unheard.remove(&tag)),
            "ECHO" => {
                self.write(connection, &format!(r#"{{"verb":"ECHOED","tag":"{tag}","opts":{{}},"rc":1}}"#));
            }
            _ => {}
        }
    }

    fn answer(&self, connection: u64, tag: &str, busy: bool, class: &str, offer: &str) {
        sleep(self.answer_after);
        if self.stopped.load(Ordering::Relaxed) || self.state.lock().unwrap().open.remove(tag).is_none() {
            return;
        }
        if busy {
            self.write(
                connection,
                &format!(r#"{{"verb":"FINISH","tag":"{tag}","opts":{{"note":"user_busy"}},"rc":17}}"#),
            );
            return;
        }
        self.state.lock().unwrap().standing.insert(tag.to_owned(), connection);
        if self.lose_next_answer.swap(false, Ordering::Relaxed) {
            let mut state = self.state.lock().unwrap();
            state.forgotten.insert(connection);
            state.lost_answer = Some((self.record.now(), tag.to_owned(), connection));
            drop(state);
            self.record.put(
                &self.id,
                &format!("the answer to {tag} never arrives; connection {connection} stays open and is of no further use"),
            );
        }
        let blob = format!("{} answers {offer}", self.id);
        self.write(connection, &format!(r#"{{"verb":"STARTED","tag":"{tag}","opts":{{}},"blob":"{blob}"}}"#));
        let hold = match self.hold {
            Hold::Forever => return,
            Hold::Fixed(hold) => hold,
            Hold::ByClass => {
                let mean =
                    CLASS_HOLDS.iter().find(|(name, _)| *name == class).map_or(9300.0, |(_, mean)| *mean);
                ms((-mean * random_unit().ln()).max(500.0) as u64)
            }
        };
        sleep(hold);
        self.release(tag, 16);
    }

    /// Ends a standing call: on the connection of its set-up, otherwise on any open one, and if there is none
    /// or the release is not confirmed, also on the next one that is opened.
    pub fn release(&self, tag: &str, rc: i64) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(connection) = state.standing.remove(tag) else { return false };
        state.unheard.insert(tag.to_owned(), rc);
        let useful = state.connections.contains_key(&connection) && !state.forgotten.contains(&connection);
        state.ended.push((self.record.now(), tag.to_owned(), useful));
        let target = if state.connections.contains_key(&connection) {
            Some(connection)
        } else {
            state.connections.keys().copied().next()
        };
        drop(state);
        if let Some(target) = target {
            self.write(target, &format!(r#"{{"verb":"FINISH","tag":"{tag}","opts":{{}},"rc":{rc}}}"#));
        }
        true
    }

    /// The answer to the next set-up that is to stand never arrives, and its connection stays open and is of no
    /// further use in either direction.
    pub fn lose_next_answer(&self) {
        self.lose_next_answer.store(true, Ordering::Relaxed);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().unwrap().arrivals.clone()
    }

    /// The answer that never arrived: when, of which call, and on which connection.
    pub fn lost_answer(&self) -> Option<(u64, String, u64)> {
        self.state.lock().unwrap().lost_answer.clone()
    }

    /// The calls whose set-up came on this connection and that stand.
    pub fn standing_on(&self, connection: u64) -> usize {
        self.state.lock().unwrap().standing.values().filter(|c| **c == connection).count()
    }

    /// The calls that the switch has ended: when, which, and whether the connection of the set-up was of use.
    pub fn ended(&self) -> Vec<(u64, String, bool)> {
        self.state.lock().unwrap().ended.clone()
    }

    pub fn standing(&self) -> HashSet<String> {
        self.state.lock().unwrap().standing.keys().cloned().collect()
    }

    /// The process stops: each standing call is cut, then its connections and its listener are closed.
    pub fn stop(&self) -> Vec<String> {
        let cut: Vec<String> = self.standing().into_iter().collect();
        for tag in &cut {
            self.release(tag, 41);
        }
        self.stopped.store(true, Ordering::Relaxed);
        sleep(ms(20));
        for stream in self.state.lock().unwrap().connections.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.put(&self.id, "has stopped");
        cut
    }
}

// ---------------------------------------------------------------------------------------------------------

/// A core switch as the list shows it.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub cell: u32,
    pub draining: bool,
    pub started_ms: u64,
}

impl Listed {
    pub fn new(switch: &Switch, zone: &'static str, cell: u32) -> Self {
        Self { id: switch.id.clone(), address: switch.address, zone, cell, draining: false, started_ms: 0 }
    }
}

/// The list and its serial.
#[derive(Clone, Default)]
pub struct List {
    pub serial: u32,
    pub switches: Vec<Listed>,
}

#[derive(Default)]
struct NameServerState {
    list: List,
    delay: Duration,
    silent: bool,
    /// When the first answer with a serial was sent.
    told: HashMap<u32, u64>,
    queries: u64,
    answers: u64,
}

/// The name server.
#[derive(Clone)]
pub struct NameServer {
    pub address: SocketAddr,
    state: Arc<Mutex<NameServerState>>,
    record: Record,
}

fn write_name(out: &mut Vec<u8>, text: &str) {
    for label in text.split('.') {
        out.push(label.len() as u8);
        out.extend(label.as_bytes());
    }
    out.push(0);
}

fn write_record(out: &mut Vec<u8>, owner: &str, kind: u16, data: &[u8]) {
    write_name(out, owner);
    out.extend(kind.to_be_bytes());
    out.extend([0, 1, 0, 0, 0, 5]);
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
}

/// The answer to a query: RFC 1035, with the records that the protocol page names.
fn dns_answer(query: &[u8], list: &List) -> Vec<u8> {
    let n = list.switches.len() as u8;
    let mut out = query.to_vec();
    (out[2], out[3], out[7], out[9], out[11]) = (0x84, 0, n, 1, 2 * n);
    for s in &list.switches {
        let mut data = vec![0, u8::from(s.draining), 0, 10];
        data.extend(s.address.port().to_be_bytes());
        write_name(&mut data, &format!("{}.{}.hosts", s.id, s.zone));
        write_record(&mut out, "_app._tcp.cluster.lan", 33, &data);
    }
    let mut soa = Vec::new();
    write_name(&mut soa, "ns.cluster.lan");
    write_name(&mut soa, "admin.cluster.lan");
    soa.extend(list.serial.to_be_bytes());
    soa.extend([0; 16]);
    write_record(&mut out, "cluster.lan", 6, &soa);
    for s in &list.switches {
        let host = format!("{}.{}.hosts", s.id, s.zone);
        let SocketAddr::V4(v4) = s.address else { unreachable!() };
        write_record(&mut out, &host, 1, &v4.ip().octets());
        let mut txt = Vec::new();
        for part in ["kind=std".to_owned(), format!("cell={}", s.cell), format!("started={}", s.started_ms)] {
            txt.push(part.len() as u8);
            txt.extend(part.as_bytes());
        }
        write_record(&mut out, &host, 16, &txt);
    }
    out
}

impl NameServer {
    pub fn start(list: List, record: &Record) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let server = Self {
            address: socket.local_addr().unwrap(),
            state: Arc::new(Mutex::new(NameServerState { list, ..NameServerState::default() })),
            record: record.clone(),
        };
        record.put("names", &format!("listens on {}", server.address));
        let this = server.clone();
        thread::spawn(move || {
            let mut buffer = [0; 1500];
            while let Ok((n, from)) = socket.recv_from(&mut buffer) {
                let (delay, silent) = {
                    let mut state = this.state.lock().unwrap();
                    state.queries += 1;
                    (state.delay, state.silent)
                };
                if silent {
                    this.record.put("names", "a query is not answered");
                    continue;
                }
                let (query, socket, this) = (buffer[..n].to_vec(), socket.try_clone().unwrap(), this.clone());
                // The answer is made when it is sent, so that it holds all that is known by then.
                let reply = move || {
                    sleep(delay);
                    let mut state = this.state.lock().unwrap();
                    if state.silent {
                        return;
                    }
                    let (answer, serial, at) =
                        (dns_answer(&query, &state.list), state.list.serial, this.record.now());
                    let _ = socket.send_to(&answer, from);
                    state.answers += 1;
                    let first = !state.told.contains_key(&serial);
                    state.told.entry(serial).or_insert(at);
                    drop(state);
                    let note = if first { ", the first" } else { "" };
                    this.record.put(
                        "names",
                        &format!(
                            "answers with serial {serial}, {} ms after the query{note}",
                            delay.as_millis()
                        ),
                    );
                };
                if delay.is_zero() { reply() } else { drop(thread::spawn(reply)) }
            }
        });
        server
    }

    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().unwrap().delay = delay;
        self.record.put("names", &format!("answers {} ms after each query from now on", delay.as_millis()));
    }

    pub fn set_silent(&self, silent: bool) {
        self.state.lock().unwrap().silent = silent;
        self.record.put("names", if silent { "is silent from now on" } else { "answers again" });
    }

    /// Changes the list, which takes the next serial. Returns that.
    pub fn change(&self, why: &str, change: impl FnOnce(&mut Vec<Listed>)) -> u32 {
        let mut state = self.state.lock().unwrap();
        change(&mut state.list.switches);
        state.list.serial += 1;
        let serial = state.list.serial;
        drop(state);
        self.record.put("names", &format!("serial {serial}: {why}"));
        serial
    }

    /// When an answer with this serial was first sent.
    pub fn told_at(&self, serial: u32) -> Option<u64> {
        self.state.lock().unwrap().told.iter().filter(|(s, _)| **s >= serial).map(|(_, at)| *at).min()
    }

    pub fn counts(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.queries, state.answers)
    }
}

// ---------------------------------------------------------------------------------------------------------

/// A gateway's process, started by the command `run` of the deploy file.
pub struct Gateway {
    child: Child,
    pub address: SocketAddr,
    pub config: PathBuf,
    run: String,
    root: PathBuf,
    name: String,
    directory: PathBuf,
    record: Record,
}

/// A port that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The directory for temporary files, made by the script.
pub fn temporary_directory() -> PathBuf {
    PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP names the temporary folder"))
}

/// A configuration: the settings object of the wire page's example (site kerala-quickpay), with as many
/// gateways, pools and descriptors as given.
pub fn configuration(
    listen: SocketAddr,
    nameserver: SocketAddr,
    list: &List,
    gateways: u32,
    sockets: u32,
) -> String {
    let instances: Vec<String> = list.switches.iter().map(|s| format!(
        r#"{{"instanceId":"{}","hostPort":"{}","zone":"{}","machineType":"std","cell":{},"lifecycle":"{}","weight":1,"startedAtMs":{}}}"#,
        s.id, s.address, s.zone, s.cell, if s.draining { "Terminating" } else { "Ready" }, s.started_ms)).collect();
    let cells: Vec<String> = list.switches.iter().map(|s| s.cell.to_string()).collect();
    let pools = format!("[{}]", cells.join(","));
    let class = |name: &str, late: f64, points: f64| {
        format!(
            r#"{{"dedupWindowNs":5000000000,"effect":"read_like","group":"all","hardLimitNs":9000000000,"lateShare":{late},"name":"{name}","onTimeNs":2000000000,"points":{points:.1},"stream":true}}"#
        )
    };
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
"nameserver":"{nameserver}",
"known":{{"seq":{serial},"results":[{{"seq":{serial},"fleet":{{"generation":1,"reset":true,"instances":[{instances}]}}}}]}},
"settings":{{"balancers":{gateways},
"classes":[{a},{b},{c}],
"clients":{{"marksRetry":false}},
"contract":{{"answerSlackNs":20000000,"askWithinNs":10000000000,"coldFrom":0.33,"coldNs":14000000000,"drainGraceNs":1000000000,"fallMultiple":4.0,"fallNs":1000000000}},
"familyInfo":{{"centreAdvises":false,"circuitsByClass":[1,1,1],"classHoldNs":[9300000000,13900000000,6500000000],"guardNs":200000000,"homeNo":-1,"remoteLoad":"silent","resendNs":400000000,"skilledPools":[{pools},{pools},{pools}],"tellsWait":false,"topology":"pools"}},
"fees":{{"connection":0.0,"crossZone":0.0,"handshake":0.0,"lateFail":0.08,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.004,"registryMode":0.0,"waste":0.02}},
"goal":{{"whole":0.6,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.2}},
"kinds":["single-core"],"me":0,"myZone":"kochi","overShareWorth":0.1,"parties":[],
"policyLimits":{{"cancel":true,"connIdleNs":600000000000,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeoutNs":500000000,"maxAttempts":5,"maxOpen":20000,"maxRetryAfterNs":2000000000,"multiplex":1048576,"peers":false,"probes":false,"retryAfter":true,"secondCopies":false}},
"registryMode":"push","stats":{{"how":"pull","names":["free","size"]}},"tickNs":5000000,"tier":0,"tiers":["lookup-servers"],
"weights":"silent","workload":"trunks","worthBy":"request","zones":["kochi","kozhikode","thiruvananthapuram"]}}}}"#,
        serial = list.serial,
        instances = instances.join(","),
        a = class("payee-check", 0.25, 1.0),
        b = class("transfer-status", 0.1, 2.0),
        c = class("balance-check", 0.25, 1.0),
    )
}

impl Gateway {
    /// Writes the configuration, starts the gateway and waits until it passes a test. Ends the case if it
    /// does not.
    pub fn start(listen: SocketAddr, configuration: &str, record: &Record) -> Self {
        let directory = temporary_directory();
        let config = directory.join("config.json");
        std::fs::write(&config, configuration).unwrap();
        let (run, root) =
            (std::env::var("RUN_COMMAND").unwrap(), PathBuf::from(std::env::var("ROOT").unwrap()));
        let child = Self::spawn(&run, &root, &config, listen, "n0", &directory);
        let mut gateway = Self {
            child,
            address: listen,
            config,
            run,
            root,
            name: "n0".into(),
            directory,
            record: record.clone(),
        };
        record.put(
            "gateway",
            &format!("started by {:?}, process {}, on {listen}", gateway.run, gateway.child.id()),
        );
        gateway.wait_until_ready();
        gateway
    }

    fn spawn(
        run: &str,
        root: &Path,
        config: &Path,
        listen: SocketAddr,
        name: &str,
        directory: &Path,
    ) -> Child {
        let child = Self::spawn_only(run, root, config, listen, name, directory);
        // For the script, which ends the process if this program is ended from outside.
        let _ = std::fs::write(directory.join(format!("{}.pid", child.id())), child.id().to_string());
        child
    }

    fn spawn_only(
        run: &str,
        root: &Path,
        config: &Path,
        listen: SocketAddr,
        name: &str,
        directory: &Path,
    ) -> Child {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(directory.join("gateway.log"))
            .unwrap();
        Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(root)
            .env("BALANCER_CONFIG", config)
            .env("BALANCER_NAME", name)
            .env("BALANCER_LISTEN", listen.to_string())
            .env("TMPDIR", directory)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap()
    }

    fn wait_until_ready(&mut self) {
        for _ in 0..300 {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.record.put("gateway", &format!("ended at its start: {status}"));
                std::process::exit(COULD_NOT_RUN);
            }
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let _ = stream.set_read_timeout(Some(ms(500)));
                let _ = stream
                    .write_all(b"{\"verb\":\"ECHO\",\"tag\":\"00000000000000ff\",\"opts\":{},\"rc\":0}\n");
                let mut line = String::new();
                if BufReader::new(stream).read_line(&mut line).is_ok() && number_field(&line, "rc") == Some(1)
                {
                    self.record.put("gateway", "passes the test");
                    return;
                }
            }
            sleep(ms(100));
        }
        self.record.put("gateway", "is not ready after 30 s");
        self.end();
        std::process::exit(COULD_NOT_RUN);
    }

    /// Sends a signal by its name, for example "TERM".
    pub fn signal(&self, name: &str) {
        self.record.put("gateway", &format!("SIG{name}"));
        let _ = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
    }

    /// Kills the gateway and starts it anew with the configuration in its file.
    pub fn kill_and_restart(&mut self) {
        self.record.put("gateway", "is killed");
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child =
            Self::spawn(&self.run, &self.root, &self.config, self.address, &self.name, &self.directory);
        self.wait_until_ready();
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends the process and copies its log to the record.
    pub fn end(&mut self) {
        let running = self.is_running();
        let _ = self.child.kill();
        let status = self.child.wait();
        let _ = std::fs::remove_file(self.directory.join(format!("{}.pid", self.child.id())));
        self.record.put(
            "gateway",
            &format!("ended by the case: it was {}, {status:?}", if running { "running" } else { "gone" }),
        );
        if let Ok(text) = std::fs::read_to_string(self.directory.join("gateway.log")) {
            for line in text.lines().take(400) {
                self.record.put("log", line);
            }
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(self.directory.join(format!("{}.pid", self.child.id())));
    }
}

// ---------------------------------------------------------------------------------------------------------

/// A line that a caller received.
#[derive(Clone)]
pub struct Heard {
    pub at: u64,
    pub connection: String,
    pub line: String,
    pub verb: String,
    pub tag: String,
    pub rc: Option<i64>,
}

/// How a connection ended, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Closed in order: all that had arrived at the gateway was read.
    Closed,
    /// Reset.
    Reset,
}

/// All callers of the gateway, which are one party: what they sent and heard.
#[derive(Clone)]
pub struct Callers {
    pub heard: Arc<Mutex<Vec<Heard>>>,
    pub sent: Arc<Mutex<Vec<(u64, String, String)>>>,
    pub ends: Arc<Mutex<HashMap<String, (u64, End)>>>,
    record: Record,
}

/// A caller's connection.
pub struct Connection {
    pub name: String,
    pub stream: TcpStream,
    callers: Callers,
}

impl Callers {
    pub fn new(record: &Record) -> Self {
        Self { heard: Arc::default(), sent: Arc::default(), ends: Arc::default(), record: record.clone() }
    }

    pub fn connect(&self, gateway: SocketAddr, name: &str) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(gateway)?;
        let _ = stream.set_nodelay(true);
        self.record.put(name, "connected");
        let (callers, reader, own) = (self.clone(), stream.try_clone()?, name.to_owned());
        thread::spawn(move || {
            let mut reader = BufReader::new(reader);
            let end = loop {
                let mut line = String::new();
                match reader.read_line(&mut line) {
                    Ok(0) => break End::Closed,
                    Err(_) => break End::Reset,
                    Ok(_) => {}
                }
                let line = line.trim_end().to_owned();
                callers.record.put(&own, &format!("<- {line}"));
                callers.heard.lock().unwrap().push(Heard {
                    at: callers.record.now(),
                    connection: own.clone(),
                    verb: text_field(&line, "verb").unwrap_or_default(),
                    tag: text_field(&line, "tag").unwrap_or_default(),
                    rc: number_field(&line, "rc"),
                    line,
                });
            };
            callers.record.put(&own, &format!("the connection has ended: {end:?}"));
            callers.ends.lock().unwrap().insert(own, (callers.record.now(), end));
        });
        Ok(Connection { name: name.to_owned(), stream, callers: self.clone() })
    }

    /// The final answer to a set-up: its answer, or the release without one.
    pub fn answer(&self, tag: &str) -> Option<Heard> {
        let heard = self.heard.lock().unwrap();
        heard.iter().find(|h| h.tag == tag && (h.verb == "STARTED" || h.verb == "FINISH")).cloned()
    }

    /// The release of a call that stood.
    pub fn release(&self, tag: &str) -> Option<Heard> {
        let heard = self.heard.lock().unwrap();
        heard
            .iter()
            .filter(|h| h.tag == tag)
            .skip_while(|h| h.verb != "STARTED")
            .find(|h| h.verb == "FINISH")
            .cloned()
    }

    pub fn wait_for_answer(&self, tag: &str, within: Duration) -> Option<Heard> {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if let Some(answer) = self.answer(tag) {
                return Some(answer);
            }
            sleep(ms(2));
        }
        None
    }
}

impl Connection {
    pub fn send(&self, line: &str) -> bool {
        self.callers.record.put(&self.name, &format!("-> {line}"));
        (&self.stream).write_all(format!("{line}\n").as_bytes()).is_ok()
    }

    /// Sends a set-up and returns its id.
    pub fn set_up(&self, class: &str, number: &str, pool: u32, left_ms: u64) -> String {
        let tag = new_tag();
        self.callers.sent.lock().unwrap().push((self.callers.record.now(), self.name.clone(), tag.clone()));
        self.send(&format!(
            r#"{{"verb":"START","tag":"{tag}","opts":{{"class":"{class}","left":"{left_ms}","key":"{number}","extras":"dest:{pool};width:1;via:-1"}},"blob":"{tag}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"}}"#
        ));
        tag
    }

    pub fn close(self) {
        self.callers.record.put(&self.name, "closes");
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Writes the verdict to the record and to standard output, and returns the exit code.
pub fn verdict(record: &Record, code: i32, text: &str) -> i32 {
    let word = match code {
        HELD => "HELD",
        BROKEN => "BROKEN",
        _ => "COULD NOT RUN",
    };
    record.put("verdict", &format!("{word}: {text}"));
    println!("{word}: {text}");
    code
}
