//! A gateway process, clients and switches for the socket tests.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use fawnrouter_sip::{Limits, Message, MessageBuilder, Method, Name, StreamDecoder, StreamItem};
use fawnrouter_ws::{
    ClientHandshake, CloseCode, Event, FrameDecoder, HandshakeError, HttpLimits, Opcode, Role, encode_frame,
};
use rustix::process::{Pid, Signal, kill_process};
use socket2::{Domain, Socket, Type};

pub const LAB: &str = env!("CARGO_BIN_EXE_fawnrouter-lab");
/// Time-out of reads, writes and waiting loops; reached only when a test fails.
pub const TIMEOUT: Duration = Duration::from_secs(20);
pub const MASK: Option<[u8; 4]> = Some([1, 2, 3, 4]);

pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    pub folder: Option<tempfile::TempDir>,
}

impl Gateway {
    /// Starts a gateway with these switches. `more` is appended to its settings.
    pub fn start(switches: &[SocketAddr], more: &str) -> Self {
        Self::start_with_descriptors(None, switches, more)
    }

    /// Like [`Gateway::start`], with a limit of open file descriptors.
    pub fn start_with_descriptors(descriptors: Option<u32>, switches: &[SocketAddr], more: &str) -> Self {
        Self::start_in(tempfile::tempdir().expect("a folder"), descriptors, switches, more)
    }

    /// Like [`Gateway::start_with_descriptors`], in the folder of an earlier gateway.
    pub fn start_in(
        folder: tempfile::TempDir,
        descriptors: Option<u32>,
        switches: &[SocketAddr],
        more: &str,
    ) -> Self {
        write_list(folder.path(), switches);
        let settings = format!(
            "gateway: {{ number: 0, count: 1, seed: 3 }}\nlisten: {{ address: '127.0.0.1:0', handshake_ms: 700 }}\n\
             switches: {{ file: switches.yaml, poll_ms: 20 }}\n\
             classes: [{{ name: check, aim_ms: 2000, deadline_ms: 9000 }}]\ncalls: {{ spread: [0] }}\n\
             drain: {{ time_ms: 20000 }}\n{more}\n{}",
            if more.contains("log:") { "" } else { "log: { level: error }" }
        );
        let file = folder.path().join("g.yaml");
        std::fs::write(&file, settings).expect("settings are written");
        let mut command = match descriptors {
            // The limit set in the shell is inherited by the program that it executes.
            Some(limit) => {
                let mut command = Command::new("sh");
                command.args(["-c", &format!("ulimit -n {limit} && exec \"$0\" \"$@\""), LAB]);
                command
            }
            None => Command::new(LAB),
        };
        let mut child = command
            .args(["gateway", "--config"])
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(if more.contains("json") { Stdio::piped() } else { Stdio::inherit() })
            .spawn()
            .expect("the gateway starts");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("piped")).read_line(&mut line).expect("a line");
        let address = line.trim().strip_prefix("ready ws://").and_then(|r| r.strip_suffix('/'));
        Self { child, address: address.expect("ready").parse().expect("an address"), folder: Some(folder) }
    }

    /// The folder with its files.
    pub fn folder(&self) -> &Path {
        self.folder.as_ref().expect("not taken").path()
    }

    /// Kills the process with SIGKILL and returns its folder.
    pub fn kill(mut self) -> tempfile::TempDir {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.folder.take().expect("not taken")
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).expect("a pid")).expect("a pid");
        kill_process(pid, signal).expect("the gateway runs");
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn write_list(folder: &Path, switches: &[SocketAddr]) {
    let lines = switches.iter().enumerate();
    let lines: String =
        lines.map(|(n, a)| format!("  - {{ id: {}, address: '{a}', pool: {n} }}\n", 70 + n)).collect();
    let text = if lines.is_empty() { "switches: []\n".into() } else { format!("switches:\n{lines}") };
    std::fs::write(folder.join("new"), text).expect("a list is written");
    std::fs::rename(folder.join("new"), folder.join("switches.yaml")).expect("a list is put in place");
}

pub struct Client {
    pub stream: TcpStream,
    decoder: FrameDecoder,
    /// Bytes that were read and not decoded yet.
    undecoded: Vec<u8>,
}

#[derive(Debug, PartialEq)]
pub enum Received {
    Sip(Message),
    Pong(Vec<u8>),
    Close(Option<CloseCode>),
    End,
}

impl Client {
    pub fn connect(gateway: &Gateway) -> Self {
        Self::connect_from(gateway, [127, 0, 0, 1]).expect("an upgrade")
    }

    /// Connects from the given loopback address. Returns the HTTP status if the upgrade is refused.
    pub fn connect_from(gateway: &Gateway, address: [u8; 4]) -> Result<Self, u16> {
        let mut stream = open_socket(gateway, address);
        let shake = ClientHandshake::new([9; 16], "sip");
        stream.write_all(&shake.request("gw", "/", None)).expect("the request is sent");
        let mut bytes = Vec::new();
        loop {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("an answer");
            bytes.push(byte[0]);
            let checked = match shake.check(&bytes, &HttpLimits::default()) {
                Err(HandshakeError::Refused(status)) => return Err(status),
                other => other.expect("an upgrade"),
            };
            if checked.is_some() {
                return Ok(Self {
                    stream,
                    decoder: FrameDecoder::new(Role::Client, 1 << 20),
                    undecoded: Vec::new(),
                });
            }
        }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        let mut out = Vec::new();
        encode_frame(Opcode::Text, bytes, MASK, &mut out);
        self.stream.write_all(&out).expect("the gateway reads");
    }

    pub fn next_event(&mut self) -> Received {
        loop {
            let mut input = &self.undecoded[..];
            let got = match self.decoder.feed(&mut input).expect("sound frames") {
                Some(Event::Text(text)) => Some(Received::Sip(parse(text.as_bytes()))),
                Some(Event::Pong(p)) => Some(Received::Pong(p.to_vec())),
                Some(Event::Close(code)) => Some(Received::Close(code)),
                _ => None,
            };
            self.undecoded = input.to_vec();
            if let Some(got) = got {
                return got;
            }
            if !self.undecoded.is_empty() {
                continue;
            }
            let mut buffer = [0; 65536];
            match self.stream.read(&mut buffer) {
                Ok(0) => return Received::End,
                Ok(n) => self.undecoded.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return Received::End,
                Err(e) => panic!("no data in time: {e}"),
            }
        }
    }

    pub fn next_status(&mut self) -> u16 {
        match self.next_event() {
            Received::Sip(m) => m.status().expect("a response"),
            other => panic!("{other:?} instead of a response"),
        }
    }

    /// The next final response.
    pub fn final_status(&mut self) -> u16 {
        loop {
            match self.next_status() {
                100..200 => {}
                status => return status,
            }
        }
    }
}

pub fn parse(bytes: &[u8]) -> Message {
    Message::parse(bytes, &Limits::default()).expect("sound SIP")
}

pub fn request(method: Method, n: u32) -> Vec<u8> {
    let mut draft = MessageBuilder::request(method, &format!("sip:+91{n}@gw.example"));
    draft
        .field(Name::Via, &format!("SIP/2.0/WS c.invalid;branch=z9hG4bKt{n}"))
        .field(Name::MaxForwards, "70")
        .field(Name::From, "<sip:a@c.invalid>;tag=1")
        .field(Name::To, &format!("<sip:+91{n}@gw.example>"))
        .field(Name::CallId, &format!("t{n}"))
        .field(Name::CSeq, &format!("1 {}", method.name()))
        .field(Name::Contact, "<sip:a@c.invalid;transport=ws>")
        .field(Name::Expires, "4");
    draft.finish(b"")
}

/// Starts a switch on its own thread. `answer` maps each request to the statuses of its responses; 0 closes
/// the connection. Requests are also sent to the returned channel.
pub fn start_switch(
    answer: impl Fn(&Message) -> Vec<u16> + Send + 'static,
) -> (SocketAddr, mpsc::Receiver<Message>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, requests) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let mut decoder = StreamDecoder::default();
            let mut buffer = [0; 4096];
            while let Ok(n @ 1..) = stream.read(&mut buffer) {
                decoder.push(&buffer[..n]);
                while let Ok(Some(StreamItem::Message(message))) = decoder.next_item() {
                    for status in answer(&message) {
                        if status == 0 {
                            let _ = stream.shutdown(std::net::Shutdown::Both);
                            break;
                        }
                        let mut draft = MessageBuilder::response_to(&message, status, None, "sw", None);
                        draft.field(Name::Contact, "<sip:sw@127.0.0.1>");
                        let _ = stream.write_all(&draft.finish(b""));
                    }
                    let _ = sender.send(*message);
                }
            }
        }
    });
    (address, requests)
}

pub fn accept_all(request: &Message) -> Vec<u16> {
    match request.method() {
        Some(Method::Ack) => vec![],
        Some(Method::Invite) => vec![100, 180, 200],
        _ => vec![200],
    }
}

pub fn wait_for(requests: &mpsc::Receiver<Message>, method: Method) -> Message {
    loop {
        let message = requests.recv_timeout(TIMEOUT).expect("the switch receives a request");
        if message.method() == Some(method) {
            return message;
        }
    }
}

/// Opens a TCP connection from a loopback address, without a handshake.
pub fn open_socket(gateway: &Gateway, address: [u8; 4]) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from((address, 0)).into()).expect("a loopback address");
    socket.connect(&gateway.address.into()).expect("the gateway listens");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    stream
}
