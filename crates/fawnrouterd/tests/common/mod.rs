//! Test doubles on loopback for the peers of a gateway: callers, core switches and a name server. Tests wait
//! for events; the time limits only end a test that would hang.
#![allow(dead_code, reason = "no test file uses every item")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(20);

/// A core switch that records each message it receives and the connection it came on.
pub struct Switch {
    pub address: SocketAddr,
    received: Receiver<(TcpStream, Value)>,
}

impl Switch {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, received) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                std::thread::spawn(move || {
                    let reader = BufReader::new(stream.try_clone().unwrap());
                    for line in reader.lines().map_while(Result::ok) {
                        let line = serde_json::from_str(&line).expect("the gateway writes JSON");
                        if sender.send((stream.try_clone().unwrap(), line)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, received }
    }

    /// Waits for the next message with this verb and skips all others.
    pub fn next_message(&self, verb: &str) -> (TcpStream, Value) {
        loop {
            let (stream, line) =
                self.received.recv_timeout(TIMEOUT).unwrap_or_else(|_| panic!("no {verb} came"));
            if line["verb"] == verb {
                return (stream, line);
            }
        }
    }
}

/// Writes one message as a line of JSON.
pub fn send_line(mut stream: &TcpStream, line: &Value) {
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
}

/// A caller's connection to the gateway.
pub struct Caller {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Caller {
    pub fn send(&self, line: &Value) {
        send_line(&self.stream, line);
    }

    /// Sends the set-up of a call whose caller waits for this many milliseconds.
    pub fn send_set_up(&self, tag: &str, left_ms: u64) {
        self.send(&json!({"verb": "START", "tag": tag, "blob": format!("offer\r\n{tag}"),
            "opts": {"class": "voice", "left": left_ms.to_string(), "key": "7f3a", "extras": "dest:0;width:1;via:-1"}}));
    }

    /// Waits for the next line; `None` at the end of the stream.
    pub fn receive(&mut self) -> Option<Value> {
        let mut line = String::new();
        let n = self.reader.read_line(&mut line).expect("a line or an orderly end");
        (n > 0).then(|| serde_json::from_str(&line).expect("the gateway writes JSON"))
    }

    /// Whether the stream ends in order without further data.
    pub fn reads_only_eof(&mut self) -> bool {
        let mut rest = Vec::new();
        self.reader.read_to_end(&mut rest).is_ok() && rest.is_empty()
    }
}

/// The records that the name server serves, and how it answers.
#[derive(Clone, Default)]
pub struct DnsZone {
    pub serial: u32,
    /// The id and address of each core switch.
    pub switches: Vec<(String, SocketAddr)>,
    /// The RCODE of the response (RFC 1035 §4.1.1).
    pub response_code: u8,
    /// Whether the response has another message id than its query.
    pub mismatched_id: bool,
}

/// A name server that answers each query from its zone.
pub struct NameServer {
    pub address: SocketAddr,
    pub zone: Arc<Mutex<DnsZone>>,
    queries: Receiver<()>,
}

/// Appends a domain name as a sequence of labels (RFC 1035 §3.1).
fn write_name(out: &mut Vec<u8>, text: &str) {
    for label in text.split('.') {
        out.push(label.len() as u8);
        out.extend(label.as_bytes());
    }
    out.push(0);
}

/// Appends a resource record of class IN with a time to live of 5 s.
fn write_record(out: &mut Vec<u8>, owner: &str, record_type: u16, data: &[u8]) {
    write_name(out, owner);
    out.extend(record_type.to_be_bytes());
    out.extend([0, 1, 0, 0, 0, 5]);
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
}

/// The records of one core switch in the DNS list.
#[derive(Clone)]
pub struct SwitchRecord {
    pub id: String,
    pub address: SocketAddr,
    pub draining: bool,
    /// Time of its last start in milliseconds since the Unix epoch; 0 stands for a start long ago.
    pub started_ms: u64,
}

/// Builds the response to a query (RFC 1035 §4.1) with an SRV, an A and a TXT record for each switch and one
/// SOA record.
pub fn dns_response(query: &[u8], response_code: u8, serial: u32, records: &[SwitchRecord]) -> Vec<u8> {
    let count = records.len() as u8;
    let mut out = query.to_vec();
    (out[2], out[3], out[7], out[9], out[11]) = (0x84, response_code, count, 1, 2 * count);
    for record in records {
        let mut data =
            [[0, u8::from(record.draining)], [0, 10], record.address.port().to_be_bytes()].concat();
        write_name(&mut data, &format!("{}.kochi.hosts", record.id));
        write_record(&mut out, "_app._tcp.cluster.lan", 33, &data);
    }
    let mut soa = Vec::new();
    write_name(&mut soa, "ns.cluster.lan");
    write_name(&mut soa, "admin.cluster.lan");
    soa.extend(serial.to_be_bytes());
    soa.extend([0; 16]);
    write_record(&mut out, "cluster.lan", 6, &soa);
    for record in records {
        let host = format!("{}.kochi.hosts", record.id);
        write_record(&mut out, &host, 1, &[127, 0, 0, 1]);
        let started = format!("started={}", record.started_ms);
        let texts = ["kind=std", "cell=0", &started];
        let data: Vec<u8> = texts.iter().flat_map(|t| [&[t.len() as u8], t.as_bytes()].concat()).collect();
        write_record(&mut out, &host, 16, &data);
    }
    out
}

impl DnsZone {
    fn response_to(&self, query: &[u8]) -> Vec<u8> {
        let record = |(id, address): &(String, SocketAddr)| SwitchRecord {
            id: id.clone(),
            address: *address,
            draining: false,
            started_ms: 0,
        };
        let records: Vec<SwitchRecord> = self.switches.iter().map(record).collect();
        let mut out = dns_response(query, self.response_code, self.serial, &records);
        if self.mismatched_id {
            out[0] ^= 0xff;
        }
        out
    }
}

impl NameServer {
    pub fn new(zone: DnsZone) -> Self {
        Self::listening_at(SocketAddr::from(([127, 0, 0, 1], 0)), zone)
    }

    /// Starts a name server that listens on this address.
    pub fn listening_at(address: SocketAddr, zone: DnsZone) -> Self {
        let socket = UdpSocket::bind(address).unwrap();
        let address = socket.local_addr().unwrap();
        let zone = Arc::new(Mutex::new(zone));
        let (sender, queries) = channel();
        let responses = zone.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 1500];
            while let Ok((n, from)) = socket.recv_from(&mut buffer) {
                let response = responses.lock().unwrap().response_to(&buffer[..n]);
                let _ = socket.send_to(&response, from);
                if sender.send(()).is_err() {
                    return;
                }
            }
        });
        Self { address, zone, queries }
    }

    /// Discards the queries received so far and waits for so many further ones.
    pub fn wait_for_queries(&self, times: usize) {
        while self.queries.try_recv().is_ok() {}
        for _ in 0..times {
            self.queries.recv_timeout(TIMEOUT).expect("the gateway sends a query");
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

/// A configuration of one gateway in front of these core switches, each given by id and address.
pub fn node_config(listen: SocketAddr, name_server: SocketAddr, switches: &[(&str, SocketAddr)]) -> Value {
    let instances: Vec<Value> = switches
        .iter()
        .map(|(id, address)| {
            json!({"instanceId": id, "hostPort": address.to_string(), "zone": "kochi", "machineType": "std", "cell": 0,
                   "lifecycle": "Ready", "weight": 1, "startedAtMs": 0})
        })
        .collect();
    json!({"name": "n0", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256}, "nameserver": name_server.to_string(),
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

/// An address where nothing listens. Each call uses another loopback host. Binding a port to find a free one
/// and closing it again would not do: a child process that another test is starting holds copies of all
/// descriptors for a moment, so that the port can still be in use when it is needed.
pub fn free_address() -> SocketAddr {
    static HOSTS: AtomicU32 = AtomicU32::new(0);
    let host = HOSTS.fetch_add(1, Ordering::Relaxed) + 256 * (std::process::id() % 60_000) + 0x7f01_0000;
    SocketAddr::from((Ipv4Addr::from(host), 5060))
}

impl Gateway {
    /// Writes the configuration to a directory named after the test, starts the gateway and waits until it is
    /// ready.
    pub fn start(test: &str, config: &Value) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("node-{test}"));
        std::fs::create_dir_all(&directory).unwrap();
        let file = directory.join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        Self::spawn(file, config["listen"].as_str().unwrap().parse().unwrap())
    }

    fn spawn(file: PathBuf, address: SocketAddr) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_fawnrouter"));
        command.arg("node").env("BALANCER_CONFIG", &file).env("BALANCER_NAME", "n0");
        command.env("BALANCER_LISTEN", address.to_string());
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (sender, log) = channel();
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        let gateway = Self { child, address, file, log };
        gateway.wait_for_log("gateway ready");
        gateway
    }

    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and starts it again with the same configuration and address.
    pub fn restart(mut self) -> Self {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        Self::spawn(self.file.clone(), self.address)
    }

    /// Waits for a log line that contains this text and returns it.
    pub fn wait_for_log(&self, part: &str) -> String {
        loop {
            let line = self.log.recv_timeout(TIMEOUT).unwrap_or_else(|_| panic!("no log line with {part:?}"));
            if line.contains(part) {
                return line;
            }
        }
    }

    /// Opens a caller's connection.
    pub fn connect_caller(&self) -> Caller {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Caller { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    pub fn send_signal(&self, signal: rustix::process::Signal) {
        let id = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(id, signal).unwrap();
    }

    /// Waits for the process to exit.
    pub fn wait(mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
