//! Stand-ins for callers, core switches and the name server, and the gateway process between them. All
//! addresses are loopback addresses; time is the system's clock.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::json::{Json, quoted};

/// What was sent, answered and run, with the time since the start in seconds.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn write(&self, line: &str) {
        let at = self.0.0.elapsed().as_secs_f64();
        let _ = writeln!(self.0.1.lock().unwrap(), "{at:9.4} {}", line.trim_end());
    }
}

/// Ends the case as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    end(2)
}

/// Gateway processes that are running, to be ended with the case.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

fn signal(pid: u32, name: &str) {
    let _ =
        Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid}")).stderr(Stdio::null()).status();
}

/// Ends all processes that were started, and this one.
pub fn end(code: i32) -> ! {
    let children = CHILDREN.lock().map(|mut c| std::mem::take(&mut *c)).unwrap_or_default();
    for mut child in children {
        let _ = child.kill();
        let _ = child.wait();
    }
    std::process::exit(code)
}

/// Ends the case if it hangs.
pub fn start_watchdog(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        cannot_run("it took too long");
    });
}

pub fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// An id that no other call has.
pub fn new_tag() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let base = u64::from(std::process::id()) << 40 | unix_ms() << 16 & 0xff_ffff_0000 | n;
    format!("{base:016x}")
}

pub fn start_line(tag: &str, left_ms: u64) -> String {
    let blob = quoted(&format!("{tag}\r\nc=IN IP4 127.0.0.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"));
    format!(
        "{{\"verb\":\"START\",\"tag\":\"{tag}\",\"opts\":{{\"class\":\"voice\",\"left\":\"{left_ms}\",\
         \"key\":\"{tag}\",\"extras\":\"dest:0;width:1;via:-1\"}},\"blob\":{blob}}}\n"
    )
}

pub fn started_line(tag: &str) -> String {
    let blob = quoted(&format!("{tag}\r\nc=IN IP4 127.0.0.8\r\nm=audio 32000 RTP/AVP 0\r\n"));
    format!("{{\"verb\":\"STARTED\",\"tag\":\"{tag}\",\"opts\":{{}},\"blob\":{blob}}}\n")
}

pub fn finish_line(tag: &str, rc: i64) -> String {
    format!("{{\"verb\":\"FINISH\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":{rc}}}\n")
}

pub fn finished_line(tag: &str) -> String {
    format!("{{\"verb\":\"FINISHED\",\"tag\":\"{tag}\",\"opts\":{{}}}}\n")
}

/// The set-up of a call that stands at this core switch already.
pub fn standing_line(tag: &str, switch: &str, left_ms: u64) -> String {
    start_line(tag, left_ms).replace("via:-1", &format!("via:-1;at:{switch}"))
}

pub fn echo_line(tag: &str) -> String {
    format!("{{\"verb\":\"ECHO\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":0}}\n")
}

pub fn echoed_line(tag: &str) -> String {
    format!("{{\"verb\":\"ECHOED\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":1}}\n")
}

/// Something that a core switch sees.
pub enum Seen {
    Connected(u64),
    Message(u64, Json),
    Closed,
}

struct SwitchState {
    streams: BTreeMap<u64, TcpStream>,
    /// How long it takes to answer a test.
    test_time: Duration,
    /// New connections wait in the listener's queue.
    paused: bool,
    /// Connections that the switch has forgotten: what comes on them is not read as messages.
    forgotten: Vec<u64>,
}

/// A core switch. It answers tests by itself; everything else is up to the case.
pub struct Switch {
    pub id: String,
    pub address: SocketAddr,
    record: Record,
    state: Arc<Mutex<SwitchState>>,
    stopped: Arc<AtomicBool>,
    pub seen: Receiver<Seen>,
}

impl Switch {
    pub fn start(record: &Record, id: &str) -> Self {
        Self::start_at(record, id, "127.0.0.1:0".parse().unwrap())
    }

    pub fn start_at(record: &Record, id: &str, address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(SwitchState {
            streams: BTreeMap::new(),
            test_time: Duration::ZERO,
            paused: false,
            forgotten: Vec::new(),
        }));
        let stopped = Arc::new(AtomicBool::new(false));
        let (sender, seen) = channel();
        let (shared, stop, log, name) = (state.clone(), stopped.clone(), record.clone(), id.to_owned());
        std::thread::spawn(move || {
            for (number, stream) in (1u64..).zip(listener.incoming()) {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                while shared.lock().unwrap().paused {
                    pause(1);
                }
                // One that filled the queue has ended by now.
                let _ = stream.set_nonblocking(true);
                let has_ended = stream.peek(&mut [0]).is_ok_and(|n| n == 0);
                let _ = stream.set_nonblocking(false);
                if has_ended {
                    continue;
                }
                let _ = stream.set_nodelay(true);
                log.write(&format!("{name} connection {number} accepted"));
                shared.lock().unwrap().streams.insert(number, stream.try_clone().unwrap());
                let _ = sender.send(Seen::Connected(number));
                let (shared, sender, log, name) = (shared.clone(), sender.clone(), log.clone(), name.clone());
                std::thread::spawn(move || serve_link(&shared, &sender, &log, &name, number, stream));
            }
        });
        Self { id: id.to_owned(), address, record: record.clone(), state, stopped, seen }
    }

    pub fn send(&self, connection: u64, line: &str) {
        self.record.write(&format!("{} -> gateway on {connection}: {line}", self.id));
        if let Some(stream) = self.state.lock().unwrap().streams.get_mut(&connection) {
            let _ = stream.write_all(line.as_bytes());
        }
    }

    /// Forgets a connection: it stays open, nothing that comes on it is read as a message any more, and
    /// nothing is sent on it.
    pub fn forget(&self, connection: u64) {
        self.record.write(&format!("{} forgets connection {connection}", self.id));
        self.state.lock().unwrap().forgotten.push(connection);
    }

    /// The connections that are open.
    pub fn connections(&self) -> Vec<u64> {
        self.state.lock().unwrap().streams.keys().copied().collect()
    }

    /// From now on nothing that comes on the connection is read as a message: it is lost when the connection
    /// ends.
    pub fn stop_reading(&self, connection: u64) {
        self.record.write(&format!("{} reads no more on {connection}", self.id));
        self.state.lock().unwrap().forgotten.push(connection);
    }

    /// How long it takes from now on to answer a test.
    pub fn set_test_time(&self, ms: u64) {
        self.state.lock().unwrap().test_time = Duration::from_millis(ms);
    }

    /// New connections come up late: they wait until the function that is returned is called. The
    /// stand-in fills the queue of its own listener, so that the system leaves further ones unanswered.
    pub fn delay_connections(&self) -> impl FnOnce() + use<> {
        self.record.write(&format!("{}: new connections come up late from now on", self.id));
        self.state.lock().unwrap().paused = true;
        let (mut queued, mut full) = (Vec::new(), 0);
        // Full several times in a row: the listener's thread may take one out just then.
        while queued.len() < 5000 && full < 3 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(50)) {
                Ok(stream) => {
                    queued.push(stream);
                    full = 0;
                }
                Err(_) => full += 1,
            }
        }
        self.record.write(&format!("{}: {} connections fill the queue", self.id, queued.len()));
        let (record, id, state) = (self.record.clone(), self.id.clone(), self.state.clone());
        move || {
            drop(queued);
            record.write(&format!("{id}: new connections come up at once from now on"));
            state.lock().unwrap().paused = false;
        }
    }

    /// Tells the state of its group on all connections, as its free circuits have changed.
    pub fn tell_load(&self, free: u32) {
        let line = format!(
            "{{\"verb\":\"LOAD\",\"tag\":\"{}\",\"opts\":{{\"load\":\"free:{free};size:90\"}}}}
",
            new_tag()
        );
        let connections: Vec<u64> = self.state.lock().unwrap().streams.keys().copied().collect();
        connections.into_iter().for_each(|connection| self.send(connection, &line));
    }

    /// It holds all the connections it takes: its listener is closed, open connections go on.
    pub fn refuse_connections(&self) {
        self.record.write(&format!("{} holds all the connections it takes", self.id));
        self.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        pause(20);
    }

    /// Ends a connection.
    pub fn close(&self, connection: u64) {
        self.record.write(&format!("{} closes connection {connection}", self.id));
        if let Some(stream) = self.state.lock().unwrap().streams.remove(&connection) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// The process dies: its listener and its connections are gone.
    pub fn die(self) -> SocketAddr {
        self.record.write(&format!("{} dies", self.id));
        self.stopped.store(true, Ordering::SeqCst);
        let streams = std::mem::take(&mut self.state.lock().unwrap().streams);
        streams.values().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        // Wakes the listener's thread, which ends then.
        let _ = TcpStream::connect(self.address);
        pause(20);
        self.address
    }

    /// Waits until a moment for the next thing that the switch sees.
    pub fn next(&self, until: Instant) -> Option<Seen> {
        match self.seen.recv_timeout(until.saturating_duration_since(Instant::now())) {
            Ok(seen) => Some(seen),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => cannot_run("a core switch has ended"),
        }
    }

    /// Waits for a message with this verb; the connection and the message.
    pub fn next_message(&self, verb: &str, until: Instant) -> Option<(u64, Json)> {
        loop {
            match self.next(until)? {
                Seen::Message(connection, message) if message.text("verb") == verb => {
                    return Some((connection, message));
                }
                _ => {}
            }
        }
    }
}

fn serve_link(
    shared: &Mutex<SwitchState>,
    sender: &Sender<Seen>,
    log: &Record,
    name: &str,
    number: u64,
    stream: TcpStream,
) {
    let mut writer = stream.try_clone().unwrap();
    for line in BufReader::new(stream).split(b'\n').map_while(Result::ok) {
        let line = String::from_utf8_lossy(&line).into_owned();
        if shared.lock().unwrap().forgotten.contains(&number) {
            log.write(&format!("{name} does not read on {number}: {line}"));
            continue;
        }
        log.write(&format!("{name} <- gateway on {number}: {line}"));
        let Some(message) = Json::read(&line) else { continue };
        if message.text("verb") == "ECHO" {
            let test_time = shared.lock().unwrap().test_time;
            std::thread::sleep(test_time);
            let answer = echoed_line(message.text("tag"));
            log.write(&format!("{name} -> gateway on {number}: {answer}"));
            let _ = writer.write_all(answer.as_bytes());
        }
        if sender.send(Seen::Message(number, message)).is_err() {
            return;
        }
    }
    log.write(&format!("{name} connection {number} ended"));
    shared.lock().unwrap().streams.remove(&number);
    let _ = sender.send(Seen::Closed);
}

/// A core switch in the name server's list.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub address: SocketAddr,
    pub draining: bool,
    pub started_ms: u64,
    pub cell: u32,
}

impl Listed {
    pub fn ready(switch: &Switch, cell: u32) -> Self {
        Self { id: switch.id.clone(), address: switch.address, draining: false, started_ms: 0, cell }
    }
}

#[derive(Clone)]
pub struct Zone {
    pub serial: u32,
    pub switches: Vec<Listed>,
    /// No answer arrives.
    pub silent: bool,
}

/// The name server of one gateway.
pub struct NameServer {
    pub address: SocketAddr,
    pub zone: Arc<Mutex<Zone>>,
}

fn name(out: &mut Vec<u8>, text: &str) {
    for label in text.split('.') {
        out.push(label.len() as u8);
        out.extend(label.as_bytes());
    }
    out.push(0);
}

fn resource(out: &mut Vec<u8>, owner: &str, kind: u16, data: &[u8]) {
    name(out, owner);
    out.extend(kind.to_be_bytes());
    out.extend([0, 1, 0, 0, 0, 5]);
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
}

fn answer(query: &[u8], zone: &Zone) -> Vec<u8> {
    let count = zone.switches.len() as u8;
    let mut out = query.to_vec();
    (out[2], out[3], out[7], out[9], out[11]) = (0x84, 0, count, 1, 2 * count);
    for s in &zone.switches {
        let mut data = [[0, u8::from(s.draining)], [0, 10], s.address.port().to_be_bytes()].concat();
        name(&mut data, &format!("{}.kochi.hosts", s.id));
        resource(&mut out, "_app._tcp.cluster.lan", 33, &data);
    }
    let mut soa = Vec::new();
    name(&mut soa, "ns.cluster.lan");
    name(&mut soa, "admin.cluster.lan");
    soa.extend(zone.serial.to_be_bytes());
    soa.extend([0; 16]);
    resource(&mut out, "cluster.lan", 6, &soa);
    for s in &zone.switches {
        let host = format!("{}.kochi.hosts", s.id);
        let SocketAddr::V4(address) = s.address else { cannot_run("not an IPv4 address") };
        resource(&mut out, &host, 1, &address.ip().octets());
        let texts = ["kind=std".to_owned(), format!("cell={}", s.cell), format!("started={}", s.started_ms)];
        let data: Vec<u8> = texts.iter().flat_map(|t| [&[t.len() as u8], t.as_bytes()].concat()).collect();
        resource(&mut out, &host, 16, &data);
    }
    out
}

impl NameServer {
    pub fn start(record: &Record, switches: Vec<Listed>) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = socket.local_addr().unwrap();
        let zone = Arc::new(Mutex::new(Zone { serial: 1, switches, silent: false }));
        let (shared, log) = (zone.clone(), record.clone());
        std::thread::spawn(move || {
            let (mut buffer, mut told) = ([0; 1500], 0);
            while let Ok((n, from)) = socket.recv_from(&mut buffer) {
                let zone = shared.lock().unwrap().clone();
                if zone.silent || n < 12 {
                    continue;
                }
                if zone.serial > told {
                    told = zone.serial;
                    log.write(&format!("name server {address} tells list {told}"));
                }
                let _ = socket.send_to(&answer(&buffer[..n], &zone), from);
            }
        });
        Self { address, zone }
    }

    /// Changes the list, which gets the next number.
    pub fn change(&self, change: impl FnOnce(&mut Zone)) {
        let mut zone = self.zone.lock().unwrap();
        change(&mut zone);
        zone.serial += 1;
    }
}

/// Settings that differ between cases; the rest is that of a small deployment.
#[derive(Clone)]
pub struct Settings {
    pub gateways: u32,
    pub sockets: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { gateways: 2, sockets: 256 }
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    listener.local_addr().unwrap()
}

/// A gateway: the program that the deploy file names under `run`.
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    process: u32,
    record: Record,
}

/// Value of a line `key = "value"` of the deploy file.
fn deploy_line(key: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("{key} = \"")));
    line.and_then(|l| l.split('"').next()).unwrap_or_else(|| cannot_run("deploy file")).to_owned()
}

impl Gateway {
    pub fn start(
        record: &Record,
        directory: &str,
        name: &str,
        server: SocketAddr,
        settings: &Settings,
        known: (u32, &[Listed]),
    ) -> Self {
        Self::start_at(record, directory, name, free_address(), server, settings, known)
    }

    pub fn start_at(
        record: &Record,
        directory: &str,
        name: &str,
        address: SocketAddr,
        server: SocketAddr,
        settings: &Settings,
        known: (u32, &[Listed]),
    ) -> Self {
        let directory = PathBuf::from(directory).join(name);
        std::fs::create_dir_all(directory.join("tmp")).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let file = directory.join("config.json");
        std::fs::write(&file, config(name, address, server, settings, known)).unwrap();
        let run = deploy_line("run");
        record.write(&format!("{name} starts: {run}"));
        let log = File::options().create(true).append(true).open(directory.join("log")).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&run).env("BALANCER_CONFIG", &file).env("BALANCER_NAME", name);
        command.env("BALANCER_LISTEN", address.to_string()).env("TMPDIR", directory.join("tmp"));
        command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        let child = command.spawn().unwrap_or_else(|e| cannot_run(&e.to_string()));
        let process = child.id();
        CHILDREN.lock().unwrap().push(child);
        // For the script, if it is ended itself.
        let pids = File::options().create(true).append(true).open(directory.with_file_name("pids"));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{process}"));
        let gateway = Self { name: name.to_owned(), address, process, record: record.clone() };
        // As the front does: it admits the gateway once it has passed a test.
        let until = Instant::now() + Duration::from_secs(10);
        loop {
            if let Ok(stream) = TcpStream::connect(address) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
                let _ = (&stream).write_all(echo_line("00000000000000aa").as_bytes());
                let mut line = String::new();
                let read = BufReader::new(&stream).read_line(&mut line);
                if read.is_ok() && Json::read(&line).and_then(|l| l.number("rc")) == Some(1) {
                    record.write(&format!("{name} has passed the test"));
                    return gateway;
                }
            }
            if Instant::now() > until {
                cannot_run(&format!("{name} is not ready"));
            }
            pause(20);
        }
    }

    pub fn signal(&self, name: &str) {
        self.record.write(&format!("{} gets SIG{name}", self.name));
        signal(self.process, name);
    }

    /// Kills the process and waits for its end.
    pub fn kill(mut self) -> SocketAddr {
        self.record.write(&format!("{} is killed", self.name));
        signal(self.process, "KILL");
        self.ended();
        self.address
    }

    /// Waits for the end of the process.
    pub fn ended(&mut self) {
        loop {
            let mut children = CHILDREN.lock().unwrap();
            let Some(at) = children.iter().position(|child| child.id() == self.process) else { break };
            if !matches!(children[at].try_wait(), Ok(None)) {
                children.remove(at);
                break;
            }
            drop(children);
            pause(2);
        }
        self.record.write(&format!("{} has ended", self.name));
    }
}

fn config(
    name: &str,
    address: SocketAddr,
    server: SocketAddr,
    settings: &Settings,
    known: (u32, &[Listed]),
) -> String {
    let instances: Vec<String> = known
        .1
        .iter()
        .map(|s| {
            format!(
                "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"kochi\",\"machineType\":\"std\",\
                 \"cell\":{},\"lifecycle\":\"{}\",\"weight\":1,\"startedAtMs\":{}}}",
                s.id,
                s.address,
                s.cell,
                if s.draining { "Terminating" } else { "Ready" },
                s.started_ms
            )
        })
        .collect();
    let Settings { gateways, sockets } = settings;
    format!(
        r#"{{"name":"{name}","listen":"{address}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},"nameserver":"{server}",
"known":{{"seq":{},"results":[{{"seq":{},"fleet":{{"generation":1,"reset":true,"instances":[{}]}}}}]}},
"settings":{{"balancers":{gateways},"me":0,"tickNs":5000000,"kinds":["std"],"myZone":"kochi","zones":["kochi"],
"classes":[{{"name":"voice","onTimeNs":2000000000,"hardLimitNs":9000000000,"points":1.0,"lateShare":0.25,
"effect":"read_like","group":"all","dedupWindowNs":5000000000,"stream":true}}],
"clients":{{"marksRetry":false}},
"contract":{{"answerSlackNs":20000000,"askWithinNs":10000000000,"coldFrom":0.33,"coldNs":14000000000,
"drainGraceNs":1000000000,"fallMultiple":4.0,"fallNs":1000000000}},
"familyInfo":{{"centreAdvises":false,"circuitsByClass":[1],"classHoldNs":[9300000000],"guardNs":200000000,
"homeNo":-1,"remoteLoad":"silent","resendNs":0,"tellsWait":false,"topology":"pools"}},
"policyLimits":{{"cancel":true,"connIdleNs":60000000000,"dialTimeoutNs":500000000,"maxAttempts":5,"maxOpen":20000,
"maxRetryAfterNs":2000000000,"multiplex":1048576,"peers":false,"probes":false,"retryAfter":true,
"secondCopies":false}},
"registryMode":"push","stats":{{"how":"pull","names":["free","size"]}},"weights":"silent","workload":"trunks"}}}}"#,
        unix_ms(),
        known.0,
        known.0,
        instances.join(","),
    )
}

/// A caller's connection. Lines that arrive are kept with their time.
pub struct Caller {
    pub name: String,
    stream: TcpStream,
    record: Record,
    lines: Receiver<Option<Json>>,
    reset: Arc<AtomicBool>,
}

impl Caller {
    pub fn connect(record: &Record, name: &str, gateway: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(gateway)?;
        let _ = stream.set_nodelay(true);
        let (sender, lines) = channel();
        let (reader, log, who) = (stream.try_clone()?, record.clone(), name.to_owned());
        let reset = Arc::new(AtomicBool::new(false));
        let was_reset = reset.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(reader).lines() {
                let Ok(line) = line else {
                    was_reset.store(true, Ordering::SeqCst);
                    break;
                };
                log.write(&format!("{who} <- gateway: {line}"));
                if let Some(message) = Json::read(&line)
                    && sender.send(Some(message)).is_err()
                {
                    return;
                }
            }
            let how = if was_reset.load(Ordering::SeqCst) { "reset" } else { "end" };
            log.write(&format!("{who} <- gateway: {how} of the connection"));
            let _ = sender.send(None);
        });
        Ok(Self { name: name.to_owned(), stream, record: record.clone(), lines, reset })
    }

    pub fn send(&self, line: &str) {
        self.record.write(&format!("{} -> gateway: {line}", self.name));
        let _ = (&self.stream).write_all(line.as_bytes());
    }

    /// Waits for a message with this id; `None` at the end of the connection or of the time.
    pub fn next(&self, tag: &str, until: Instant) -> Option<Json> {
        loop {
            let message = self.lines.recv_timeout(until.saturating_duration_since(Instant::now())).ok()??;
            if message.text("tag") == tag {
                return Some(message);
            }
        }
    }

    /// Whether the connection was reset, now or a moment later. A system resets a connection that is closed
    /// before all that has arrived on it is read, or on which more arrives after its close.
    pub fn was_reset(&self) -> bool {
        pause(20);
        self.reset.load(Ordering::SeqCst) || !matches!(self.stream.take_error(), Ok(None))
    }

    pub fn close(self) {
        self.record.write(&format!("{} closes its connection", self.name));
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

pub fn after(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}
