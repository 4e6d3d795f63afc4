//! Connection floods by unknown clients, from a separate process: connections from many loopback addresses
//! that stay idle, send their handshake slowly, do not read, or call. Bounded in count and time, and only
//! towards loopback addresses.

use std::cell::RefCell;
use std::fmt;
use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, ExitCode, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use fawnrouter_sip::{Dialog, Limits, Message, MessageBuilder, Method, Name};
use fawnrouter_ws::{
    ClientHandshake, Event, FrameDecoder, HandshakeError, HttpLimits, Opcode, Role, encode_frame,
};
use futures_lite::{AsyncWriteExt, future};
use serde::{Deserialize, Serialize};
use socket2::{Domain, Socket, Type};

use crate::script::{Fault, FloodKind};

/// Options of a flood.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct FloodOptions {
    /// Address of the gateway.
    #[arg(long)]
    to: SocketAddr,
    /// What the clients of the flood do.
    #[arg(long)]
    way: FloodKind,
    /// Number of loopback addresses that connections come from.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=60_000))]
    addresses: u32,
    /// Connections per second.
    #[arg(long)]
    per_s: f64,
    /// Set-ups per second over all connections.
    #[arg(long, default_value_t = 0.0)]
    calls_per_s: f64,
    /// Time during which connections are opened, in milliseconds.
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=600_000))]
    for_ms: u64,
    /// Time that each connection is kept open, in milliseconds.
    #[arg(long, value_parser = clap::value_parser!(u64).range(0..=60_000))]
    hold_ms: u64,
}

/// Results of a flood, as its clients saw it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FloodFigures {
    /// Connections attempted.
    pub tried: u64,
    /// Connections that completed the WebSocket upgrade.
    pub inside: u64,
    /// Connections refused with an HTTP response.
    pub refused: u64,
    /// Connections reset without a response.
    pub reset: u64,
    /// Connections that ended or timed out without a response.
    pub dropped: u64,
    /// Connections not attempted because the flood had reached its own limit of open connections.
    pub skipped: u64,
    /// Upgraded connections that the gateway ended with a close frame. Clients that never read cannot see one
    /// and count a failed write here.
    pub told_to_go: u64,
    /// Upgraded connections that ended without a close frame.
    pub cut: u64,
    /// Set-ups sent, established and refused.
    pub calls: (u64, u64, u64),
}

impl fmt::Display for FloodFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} tried: {} in, {} refused, {} reset, {} dropped; of those in {} told to go, {} cut",
            self.tried, self.inside, self.refused, self.reset, self.dropped, self.told_to_go, self.cut
        )?;
        let (sent, established, refused) = self.calls;
        if sent > 0 {
            write!(f, "; {sent} set-ups, {established} stood, {refused} refused")?;
        }
        if self.skipped > 0 {
            write!(f, "; {} not tried", self.skipped)?;
        }
        Ok(())
    }
}

/// Limit of connections that a flood has open at once.
const MAX_OPEN_CONNECTIONS: usize = 8000;
/// A connection attempt without a response for this long counts as dropped.
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts the process of a flood against a gateway.
pub fn start_flood(gateway: SocketAddr, fault: &Fault) -> io::Result<Child> {
    let Fault::Flood { for_ms, way, addresses, per_s, hold_ms, calls_per_s, .. } = fault else {
        return Err(ErrorKind::InvalidInput.into());
    };
    let mut command = Command::new(std::env::current_exe()?);
    command.arg("flood").args(["--to", &gateway.to_string(), "--way", way.name()]);
    command.args(["--addresses", &addresses.to_string(), "--per-s", &per_s.to_string()]);
    command.args(["--for-ms", &for_ms.to_string(), "--hold-ms", &hold_ms.to_string()]);
    command.args(["--calls-per-s", &calls_per_s.to_string()]);
    command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()
}

/// Waits for a flood to end and reads its results.
pub fn wait_for_figures(child: Child) -> io::Result<FloodFigures> {
    serde_json::from_slice(&child.wait_with_output()?.stdout).map_err(io::Error::other)
}

/// Entry point of the flood process. Prints the results as JSON.
#[must_use]
pub fn flood_main(options: FloodOptions) -> ExitCode {
    if !options.to.ip().is_loopback() {
        eprintln!("{} is no loopback address; floods go nowhere else", options.to);
        return ExitCode::from(2);
    }
    let executor = Rc::new(LocalExecutor::new());
    let figures = Rc::new(RefCell::new(FloodFigures::default()));
    async_io::block_on(executor.run(run(options, executor.clone(), figures.clone())));
    match serde_json::to_string(&*figures.borrow()) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(_) => ExitCode::FAILURE,
    }
}

async fn run(options: FloodOptions, executor: Rc<LocalExecutor<'_>>, figures: Rc<RefCell<FloodFigures>>) {
    let start = Instant::now();
    let end = start + Duration::from_millis(options.for_ms);
    let mut tasks = Vec::new();
    for n in 0u32.. {
        let at = start + Duration::from_secs_f64(f64::from(n) / options.per_s.max(0.1));
        if at >= end {
            break;
        }
        Timer::at(at).await;
        if n % 256 == 0 {
            tasks.retain(|task: &async_executor::Task<()>| !task.is_finished());
        }
        if tasks.len() >= MAX_OPEN_CONNECTIONS {
            figures.borrow_mut().skipped += 1;
            continue;
        }
        figures.borrow_mut().tried += 1;
        let figures = figures.clone();
        tasks.push(executor.spawn(async move {
            let mut client =
                FloodClient { options, n, figures, decoder: FrameDecoder::new(Role::Client, 1 << 20) };
            client.run().await;
        }));
    }
    for task in tasks {
        task.await;
    }
}

/// Result of connecting and requesting an upgrade.
enum UpgradeResult {
    Accepted(Async<TcpStream>, Vec<u8>),
    Refused,
    Reset,
    Dropped,
}

struct FloodClient {
    options: FloodOptions,
    n: u32,
    figures: Rc<RefCell<FloodFigures>>,
    decoder: FrameDecoder,
}

impl FloodClient {
    async fn run(&mut self) {
        let timeout = async {
            Timer::after(OPEN_TIMEOUT).await;
            Ok(UpgradeResult::Dropped)
        };
        let opening = future::or(self.connect(), timeout).await;
        let (stream, rest) = match opening {
            Ok(UpgradeResult::Accepted(stream, rest)) => (stream, rest),
            Ok(UpgradeResult::Refused) => return self.count(|f| f.refused += 1),
            Ok(UpgradeResult::Dropped) => return self.count(|f| f.dropped += 1),
            Ok(UpgradeResult::Reset) | Err(_) => return self.count(|f| f.reset += 1),
        };
        self.count(|f| f.inside += 1);
        let hold_time = Duration::from_millis(self.options.hold_ms);
        let timer = async move {
            Timer::after(hold_time).await;
            Ok(None)
        };
        let figures = self.figures.clone();
        match future::or(self.hold_open(&stream, rest), timer).await {
            Ok(None) => {}
            Ok(Some(())) => figures.borrow_mut().told_to_go += 1,
            Err(_) => figures.borrow_mut().cut += 1,
        }
    }

    fn count(&self, change: impl FnOnce(&mut FloodFigures)) {
        change(&mut self.figures.borrow_mut());
    }

    async fn connect(&self) -> io::Result<UpgradeResult> {
        let n = self.n % self.options.addresses;
        let address = [127, 16 + (n / 62_500) as u8, (n / 250 % 250) as u8, (1 + n % 250) as u8];
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        socket.bind(&SocketAddr::from((address, 0)).into())?;
        match socket.connect(&self.options.to.into()) {
            Err(error) if error.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
                return Err(error);
            }
            _ => {}
        }
        let stream = Async::new(TcpStream::from(socket))?;
        stream.writable().await?;
        if let Some(error) = stream.get_ref().take_error()? {
            return Err(error);
        }
        let handshake = ClientHandshake::new([9; 16], "sip");
        let request = handshake.request("gateway.invalid", "/", None);
        let writing = async {
            let mut to = &stream;
            if self.options.way == FloodKind::Slow {
                for byte in &request {
                    if to.write_all(&[*byte]).await.is_err() {
                        break;
                    }
                    Timer::after(Duration::from_secs(1)).await;
                }
            } else {
                let _ = to.write_all(&request).await;
            }
            // The result comes from the reader.
            future::pending::<io::Result<Result<Vec<u8>, UpgradeResult>>>().await
        };
        let upgrade = future::or(read_upgrade_response(&stream, &handshake), writing).await?;
        Ok(match upgrade {
            Ok(rest) => UpgradeResult::Accepted(stream, rest),
            Err(other) => other,
        })
    }

    /// Keeps the connection until the gateway ends it: `Some` after a close frame, an error without one.
    async fn hold_open(&mut self, stream: &Async<TcpStream>, rest: Vec<u8>) -> io::Result<Option<()>> {
        if self.options.way == FloodKind::Deaf {
            let mut message = Vec::new();
            encode_frame(Opcode::Text, &options_request(self.n), Some([1, 2, 3, 4]), &mut message);
            loop {
                // This client never reads and so cannot see a close frame: a failed write shows the end of
                // the connection.
                let mut to = stream;
                if to.write_all(&message).await.is_err() {
                    return Ok(Some(()));
                }
            }
        }
        // Each connection makes its share of the calls while it is open.
        let kept_s = self.options.hold_ms as f64 / 1e3;
        let calls_per_s = self.options.calls_per_s / (self.options.per_s * kept_s).max(1.0);
        let (out, n, figures) = (RefCell::new(Vec::new()), self.n, self.figures.clone());
        let calling = async {
            if calls_per_s <= 0.0 {
                return future::pending::<io::Result<Option<()>>>().await;
            }
            for call in 0u32.. {
                Timer::after(Duration::from_secs_f64(1.0 / calls_per_s)).await;
                figures.borrow_mut().calls.0 += 1;
                let mut bytes = Vec::new();
                encode_frame(Opcode::Text, &invite_request(n, call), Some([1, 2, 3, 4]), &mut bytes);
                let mut to = stream;
                to.write_all(&bytes).await?;
            }
            Ok(None)
        };
        let decoder = &mut self.decoder;
        let reading = async {
            let mut buffer = vec![0; 16 * 1024];
            let mut length = rest.len();
            buffer[..length].copy_from_slice(&rest);
            loop {
                let mut input = &buffer[..length];
                while let Some(event) = decoder.feed(&mut input).map_err(io::Error::other)? {
                    match event {
                        Event::Close(_) => return Ok(Some(())),
                        Event::Ping(payload) => {
                            encode_frame(Opcode::Pong, payload, Some([1, 2, 3, 4]), &mut out.borrow_mut());
                        }
                        Event::Text(text) => {
                            if let Ok(message) = Message::parse(text.as_bytes(), &Limits::default()) {
                                handle_response(&message, &mut out.borrow_mut(), &mut figures.borrow_mut());
                            }
                        }
                        _ => {}
                    }
                }
                let waiting = std::mem::take(&mut *out.borrow_mut());
                let mut to = stream;
                to.write_all(&waiting).await?;
                length = stream.read_with(|mut s| s.read(&mut buffer)).await?;
                if length == 0 {
                    return Err(ErrorKind::UnexpectedEof.into());
                }
            }
        };
        future::or(reading, calling).await
    }
}

/// Reads the response to an upgrade request. Returns the bytes after it, or how the upgrade failed.
async fn read_upgrade_response(
    stream: &Async<TcpStream>,
    handshake: &ClientHandshake,
) -> io::Result<Result<Vec<u8>, UpgradeResult>> {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 2048]);
    loop {
        match stream.read_with(|mut s| s.read(&mut buffer)).await {
            Ok(0) if bytes.is_empty() => return Ok(Err(UpgradeResult::Dropped)),
            // A response may have arrived before the end of the connection.
            Ok(0) => return Ok(Err(UpgradeResult::Refused)),
            Ok(n) => bytes.extend_from_slice(&buffer[..n]),
            Err(_) if bytes.is_empty() => return Ok(Err(UpgradeResult::Reset)),
            Err(_) => return Ok(Err(UpgradeResult::Refused)),
        }
        match handshake.check(&bytes, &HttpLimits::default()) {
            Ok(Some(len)) => return Ok(Ok(bytes.split_off(len))),
            Ok(None) => {}
            Err(HandshakeError::Refused(_)) => return Ok(Err(UpgradeResult::Refused)),
            Err(error) => return Err(io::Error::other(error)),
        }
    }
}

fn request_draft(method: Method, uri: &str, n: u32, call: u32) -> MessageBuilder {
    let mut draft = MessageBuilder::request(method, uri);
    draft
        .field(Name::Via, &format!("SIP/2.0/WS stranger{n}.invalid;branch=z9hG4bKf{n}.{call}"))
        .field(Name::MaxForwards, "70")
        .field(Name::From, &format!("<sip:stranger{n}@flood.invalid>;tag=f{n}"))
        .field(Name::To, &format!("<{uri}>"))
        .field(Name::CallId, &format!("f{n}.{call}@flood.invalid"))
        .field(Name::CSeq, &format!("1 {}", if method == Method::Invite { "INVITE" } else { "OPTIONS" }));
    draft
}

fn options_request(n: u32) -> Vec<u8> {
    request_draft(Method::Options, "sip:gateway.invalid", n, 0).finish(b"")
}

fn invite_request(n: u32, call: u32) -> Vec<u8> {
    let uri = format!("sip:+9147{:07}@gateway.invalid", (n * 31 + call) % 10_000_000);
    request_draft(Method::Invite, &uri, n, call)
        .field(Name::Contact, "<sip:stranger@flood.invalid;transport=ws>")
        .field(Name::Expires, "3")
        .finish(b"")
}

/// Acknowledges final responses to INVITE and hangs up established calls at once.
fn handle_response(message: &Message, out: &mut Vec<u8>, figures: &mut FloodFigures) {
    let is_invite = message.cseq().is_ok_and(|c| c.method == "INVITE");
    let Some(status) = message.status().filter(|s| *s >= 200 && is_invite) else { return };
    let mut send = |bytes: Vec<u8>| encode_frame(Opcode::Text, &bytes, Some([1, 2, 3, 4]), out);
    if status >= 300 {
        figures.calls.2 += 1;
        let mut ack = MessageBuilder::request(Method::Ack, "sip:gateway.invalid");
        ack.copy_fields(message, Name::Via).field(Name::MaxForwards, "70").copy_fields(message, Name::From);
        ack.copy_fields(message, Name::To).copy_fields(message, Name::CallId).field(Name::CSeq, "1 ACK");
        return send(ack.finish(b""));
    }
    figures.calls.1 += 1;
    if let Ok(mut dialog) = Dialog::caller(message, "sip:gateway.invalid", 1) {
        send(dialog.request(Method::Ack, "SIP/2.0/WS stranger.invalid;branch=z9hG4bKa").finish(b""));
        send(dialog.request(Method::Bye, "SIP/2.0/WS stranger.invalid;branch=z9hG4bKb").finish(b""));
    }
}
