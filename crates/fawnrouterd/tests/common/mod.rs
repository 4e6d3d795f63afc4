//! Stand-ins for what surrounds the gateway on the users' platform, one of each, on loopback: callers, core switches, a
//! name server. Events are waited for; the time limits only end a test that would hang.
#![allow(dead_code, reason = "each test file uses its part")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};

const PATIENCE: Duration = Duration::from_secs(20);

/// A core switch: what is said to it, with the connection it was said on.
pub struct Switch {
    pub address: SocketAddr,
    lines: Receiver<(TcpStream, Value)>,
}

impl Switch {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (send, lines) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let send = send.clone();
                std::thread::spawn(move || {
                    let reader = BufReader::new(stream.try_clone().unwrap());
                    for line in reader.lines().map_while(Result::ok) {
                        let line = serde_json::from_str(&line).expect("the gateway writes JSON");
                        if send.send((stream.try_clone().unwrap(), line)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, lines }
    }

    /// The next message of this type.
    pub fn next(&self, verb: &str) -> (TcpStream, Value) {
        loop {
            let (stream, line) =
                self.lines.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("no {verb} came"));
            if line["verb"] == verb {
                return (stream, line);
            }
        }
    }
}

pub fn say(mut stream: &TcpStream, line: &Value) {
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
}

/// A caller's connection.
pub struct Caller {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Caller {
    pub fn says(&self, line: &Value) {
        say(&self.stream, line);
    }

    pub fn calls(&self, tag: &str, left_ms: u64) {
        self.says(&json!({"verb": "START", "tag": tag, "blob": format!("offer\r\n{tag}"),
            "opts": {"class": "voice", "left": left_ms.to_string(), "key": "7f3a", "extras": "dest:0;width:1;via:-1"}}));
    }

    /// The next line; `None` at the end.
    pub fn hears(&mut self) -> Option<Value> {
        let mut line = String::new();
        let n = self.reader.read_line(&mut line).expect("a line or an orderly end");
        (n > 0).then(|| serde_json::from_str(&line).expect("the gateway writes JSON"))
    }

    /// Whether nothing more comes but the end.
    pub fn ends(&mut self) -> bool {
        let mut rest = Vec::new();
        self.reader.read_to_end(&mut rest).is_ok() && rest.is_empty()
    }
}

/// What the name server says.
#[derive(Clone, Default)]
pub struct Zone {
    pub serial: u32,
    /// Id and address.
    pub switches: Vec<(String, SocketAddr)>,
    /// RCODE.
    pub code: u8,
    /// Answers under another id.
    pub other_id: bool,
}

pub struct NameServer {
    pub address: SocketAddr,
    pub zone: Arc<Mutex<Zone>>,
    asked: Receiver<()>,
}

fn name(out: &mut Vec<u8>, text: &str) {
    for label in text.split('.') {
        out.push(label.len() as u8);
        out.extend(label.as_bytes());
    }
    out.push(0);
}

fn record(out: &mut Vec<u8>, owner: &str, kind: u16, data: &[u8]) {
    name(out, owner);
    out.extend(kind.to_be_bytes());
    out.extend([0, 1, 0, 0, 0, 5]);
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
}

/// A core switch as the list has it.
#[derive(Clone)]
pub struct Row {
    pub id: String,
    pub address: SocketAddr,
    pub draining: bool,
    /// When it last started, in Unix milliseconds; 0: long ago.
    pub started: u64,
}

/// The answer to this question (RFC 1035 §4.1).
pub fn answer(question: &[u8], code: u8, serial: u32, rows: &[Row]) -> Vec<u8> {
    let count = rows.len() as u8;
    let mut out = question.to_vec();
    (out[2], out[3], out[7], out[9], out[11]) = (0x84, code, count, 1, 2 * count);
    for row in rows {
        let mut data = [[0, u8::from(row.draining)], [0, 10], row.address.port().to_be_bytes()].concat();
        name(&mut data, &format!("{}.kochi.hosts", row.id));
        record(&mut out, "_app._tcp.cluster.lan", 33, &data);
    }
    let mut soa = Vec::new();
    name(&mut soa, "ns.cluster.lan");
    name(&mut soa, "admin.cluster.lan");
    soa.extend(serial.to_be_bytes());
    soa.extend([0; 16]);
    record(&mut out, "cluster.lan", 6, &soa);
    for row in rows {
        let host = format!("{}.kochi.hosts", row.id);
        record(&mut out, &host, 1, &[127, 0, 0, 1]);
        let started = format!("started={}", row.started);
        let texts = ["kind=std", "cell=0", &started];
        let data: Vec<u8> = texts.iter().flat_map(|t| [&[t.len() as u8], t.as_bytes()].concat()).collect();
        record(&mut out, &host, 16, &data);
    }
    out
}

impl Zone {
    fn answer(&self, question: &[u8]) -> Vec<u8> {
        let row = |(id, address): &(String, SocketAddr)| Row {
            id: id.clone(),
            address: *address,
            draining: false,
            started: 0,
        };
        let rows: Vec<Row> = self.switches.iter().map(row).collect();
        let mut out = answer(question, self.code, self.serial, &rows);
        if self.other_id {
            out[0] ^= 0xff;
        }
        out
    }
}

impl NameServer {
    pub fn new(zone: Zone) -> Self {
        Self::at(SocketAddr::from(([127, 0, 0, 1], 0)), zone)
    }

    /// One at this address.
    pub fn at(address: SocketAddr, zone: Zone) -> Self {
        let socket = UdpSocket::bind(address).unwrap();
        let address = socket.local_addr().unwrap();
        let zone = Arc::new(Mutex::new(zone));
        let (send, asked) = channel();
        let answers = zone.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 1500];
            while let Ok((n, from)) = socket.recv_from(&mut buffer) {
                let answer = answers.lock().unwrap().answer(&buffer[..n]);
                let _ = socket.send_to(&answer, from);
                if send.send(()).is_err() {
                    return;
                }
            }
        });
        Self { address, zone, asked }
    }

    /// Waits for questions that are asked from now on.
    pub fn asked(&self, times: usize) {
        while self.asked.try_recv().is_ok() {}
        for _ in 0..times {
            self.asked.recv_timeout(PATIENCE).expect("the gateway asks");
        }
    }
}

/// A gateway process and its configuration.
pub struct Gateway {
    child: Child,
    pub address: SocketAddr,
    pub file: PathBuf,
    log: Receiver<String>,
}

pub fn config(listen: SocketAddr, names: SocketAddr, switches: &[(&str, SocketAddr)]) -> Value {
    let instances: Vec<Value> = switches
        .iter()
        .map(|(id, address)| {
            json!({"instanceId": id, "hostPort": address.to_string(), "zone": "kochi", "machineType": "std", "cell": 0,
                   "lifecycle": "Ready", "weight": 1, "startedAtMs": 0})
        })
        .collect();
    json!({"name": "n0", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256}, "nameserver": names.to_string(),
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"generation": 1, "reset": true, "instances": instances}}]},
        "settings": {"balancers": 1, "me": 0, "tickNs": 5_000_000,
            "classes": [{"name": "voice", "onTimeNs": 2_000_000_000u64, "hardLimitNs": 9_000_000_000u64,
                         "points": 1.0, "lateShare": 0.25, "effect": "read_like"}],
            "contract": {"coldFrom": 0.33, "coldNs": 14_000_000_000u64, "drainGraceNs": 1_000_000_000,
                         "fallMultiple": 4.0, "fallNs": 1_000_000_000},
            "familyInfo": {"guardNs": 200_000_000, "topology": "pools"},
            "policyLimits": {"cancel": true, "connIdleNs": 60_000_000_000u64, "dialTimeoutNs": 500_000_000,
                             "maxAttempts": 5, "maxOpen": 1000, "maxRetryAfterNs": 2_000_000_000,
                             "multiplex": 100, "retryAfter": true}}})
}

/// An address where nothing listens: each is on a host of its own on loopback. A port that was found free by taking it
/// may still be held as it is needed: a child that is started beside holds a copy of each descriptor for a moment.
pub fn free_address() -> SocketAddr {
    static HOSTS: AtomicU32 = AtomicU32::new(0);
    let host = HOSTS.fetch_add(1, Ordering::Relaxed) + 256 * (std::process::id() % 60_000) + 0x7f01_0000;
    SocketAddr::from((Ipv4Addr::from(host), 5060))
}

impl Gateway {
    pub fn start(test: &str, config: &Value) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("node-{test}"));
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        Self::start_with(file, config["listen"].as_str().unwrap().parse().unwrap())
    }

    fn start_with(file: PathBuf, address: SocketAddr) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_fawnrouter"));
        command.arg("node").env("BALANCER_CONFIG", &file).env("BALANCER_NAME", "n0");
        command.env("BALANCER_LISTEN", address.to_string());
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (send, log) = channel();
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                if send.send(line).is_err() {
                    return;
                }
            }
        });
        let gateway = Self { child, address, file, log };
        gateway.logs("gateway ready");
        gateway
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The same gateway once more, after its end.
    pub fn again(mut self) -> Self {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        Self::start_with(self.file.clone(), self.address)
    }

    /// Waits for a line of the log.
    pub fn logs(&self, part: &str) -> String {
        loop {
            let line = self.log.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("no line with {part:?}"));
            if line.contains(part) {
                return line;
            }
        }
    }

    pub fn caller(&self) -> Caller {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Caller { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    pub fn signal(&self, signal: rustix::process::Signal) {
        let id = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(id, signal).unwrap();
    }

    pub fn end(mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
