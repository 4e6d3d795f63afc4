//! The thread that serves the connections of a stand-in: it reads messages and writes replies at once or
//! after a delay.
//!
//! Sockets are in blocking mode. A connection is read only when it is readable, and writes are short compared
//! to the kernel's send buffer, so they do not block as long as the peer reads, which gateways do.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fawnrouter_jsonl::Message;
use rustix::buffer::spare_capacity;
use rustix::event::{Timespec, epoll};
use rustix::io::Errno;

use crate::process::line_counts::LineReader;

const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Readiness events that are handled in one iteration of the loop.
const EVENTS_PER_ITERATION: usize = 256;
/// Poll token of the socket pair whose other end closes when the handle is dropped.
const STOP_TOKEN: u64 = 0;
/// Poll token of the first listener.
const FIRST_LISTENER_TOKEN: u64 = 1;
/// Poll token of the first connection; the tokens of listeners stay below.
const FIRST_CONNECTION_TOKEN: u64 = 1 << 32;

/// A message to be written on the connection on which the message that caused it arrived.
#[derive(Debug)]
pub(super) struct Reply {
    /// Delay after the arrival of the cause.
    pub delay: Duration,
    /// The message.
    pub message: Message,
}

/// What a stand-in does with its connections and messages.
pub(super) trait ConnectionHandler: Send + 'static {
    /// A connection was accepted.
    fn on_open(&mut self);
    /// A connection ended.
    fn on_close(&mut self);
    /// A message arrived on a connection, as a line of this many bytes. Replies to it are pushed to
    /// `replies`.
    fn on_message(&mut self, connection: u64, message: &Message, bytes: usize, replies: &mut Vec<Reply>);
    /// Whether a reply whose delay has passed is still to be written.
    fn is_still_due(&mut self, connection: u64, message: &Message) -> bool;
    /// A message is about to be written, as a line of this many bytes.
    fn on_write(&mut self, message: &Message, bytes: usize);
}

struct Connection {
    stream: TcpStream,
    reader: LineReader,
}

/// Handle of a running thread, which ends when the handle is dropped.
#[derive(Debug)]
pub(super) struct EventLoop {
    /// Closing this end of the socket pair tells the thread to end.
    stop: Option<UnixStream>,
    thread: Option<JoinHandle<()>>,
}

impl EventLoop {
    /// Starts a thread that serves these listeners and connections.
    pub fn start(
        name: &str,
        handler: impl ConnectionHandler,
        listeners: Vec<TcpListener>,
        connections: Vec<TcpStream>,
    ) -> io::Result<Self> {
        let (stop, stopped) = UnixStream::pair()?;
        let mut server = ConnectionServer::new(handler, stopped, listeners)?;
        for stream in connections {
            server.add_connection(stream)?;
        }
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(move || server.run())?;
        Ok(Self { stop: Some(stop), thread: Some(thread) })
    }
}

impl Drop for EventLoop {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the thread is not lost: its counts would be missing from the measurement.
            let _ = thread.join();
        }
    }
}

/// The state of the thread.
struct ConnectionServer<H> {
    handler: H,
    poller: OwnedFd,
    /// Kept open because the poller reports when the other end closes.
    _stopped: UnixStream,
    listeners: Vec<TcpListener>,
    connections: BTreeMap<u64, Connection>,
    next_connection_token: u64,
    /// Replies to be written later: time and sequence number, with the connection and the message.
    delayed_replies: BTreeMap<(Instant, u64), (u64, Message)>,
    last_reply_number: u64,
    /// Replies to the messages that are being read.
    replies: Vec<Reply>,
    line: Vec<u8>,
    read_buffer: Vec<u8>,
}

impl<H: ConnectionHandler> ConnectionServer<H> {
    fn new(handler: H, stopped: UnixStream, listeners: Vec<TcpListener>) -> io::Result<Self> {
        let poller = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        poll_readable(&poller, &stopped, STOP_TOKEN)?;
        for (listener, token) in listeners.iter().zip(FIRST_LISTENER_TOKEN..) {
            listener.set_nonblocking(true)?;
            poll_readable(&poller, listener, token)?;
        }
        Ok(Self {
            handler,
            poller,
            _stopped: stopped,
            listeners,
            connections: BTreeMap::new(),
            next_connection_token: FIRST_CONNECTION_TOKEN,
            delayed_replies: BTreeMap::new(),
            last_reply_number: 0,
            replies: Vec::new(),
            line: Vec::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
        })
    }

    fn run(mut self) {
        let mut events = Vec::with_capacity(EVENTS_PER_ITERATION);
        loop {
            let timeout = self.time_to_next_reply();
            match epoll::wait(&self.poller, spare_capacity(&mut events), timeout.as_ref()) {
                Ok(_) | Err(Errno::INTR) => {}
                Err(_) => return,
            }
            for event in events.drain(..) {
                let token: u64 = event.data.u64();
                match token {
                    STOP_TOKEN => return,
                    FIRST_CONNECTION_TOKEN.. => self.read_connection(token),
                    listener_token => self.accept_connections(listener_token),
                }
            }
            self.write_due_replies();
        }
    }

    fn time_to_next_reply(&self) -> Option<Timespec> {
        let ((at, _), _) = self.delayed_replies.first_key_value()?;
        Timespec::try_from(at.saturating_duration_since(Instant::now())).ok()
    }

    fn accept_connections(&mut self, listener_token: u64) {
        let index = (listener_token - FIRST_LISTENER_TOKEN) as usize;
        // An error of one connection before it is accepted does not concern the listener (accept(2)).
        while let Some(Ok((stream, _))) = self.listeners.get(index).map(TcpListener::accept) {
            if self.add_connection(stream).is_ok() {
                self.handler.on_open();
            }
        }
    }

    fn add_connection(&mut self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let token = self.next_connection_token;
        poll_readable(&self.poller, &stream, token)?;
        self.connections.insert(token, Connection { stream, reader: LineReader::default() });
        self.next_connection_token += 1;
        Ok(())
    }

    fn read_connection(&mut self, token: u64) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let length = match connection.stream.read(&mut self.read_buffer) {
            Ok(length) if length > 0 => length,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => return,
            Ok(_) | Err(_) => return self.close(token),
        };
        let (handler, replies) = (&mut self.handler, &mut self.replies);
        let handle = |message: Message, bytes| handler.on_message(token, &message, bytes, replies);
        if connection.reader.push(&self.read_buffer[..length], handle).is_err() {
            return self.close(token);
        }
        for reply in std::mem::take(&mut self.replies) {
            self.send_reply(token, reply);
        }
    }

    fn close(&mut self, token: u64) {
        // Closing the descriptor removes it from the poller.
        self.connections.remove(&token);
        self.replies.clear();
        self.handler.on_close();
    }

    /// Writes a reply at once, or keeps it until its delay has passed.
    fn send_reply(&mut self, token: u64, reply: Reply) {
        if reply.delay.is_zero() {
            return self.write_message(token, &reply.message);
        }
        self.last_reply_number += 1;
        let due = (Instant::now() + reply.delay, self.last_reply_number);
        self.delayed_replies.insert(due, (token, reply.message));
    }

    fn write_due_replies(&mut self) {
        let now = Instant::now();
        while let Some(first) = self.delayed_replies.first_entry().filter(|first| first.key().0 <= now) {
            let (token, message) = first.remove();
            self.write_message(token, &message);
        }
    }

    fn write_message(&mut self, token: u64, message: &Message) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if !self.handler.is_still_due(token, message) {
            return;
        }
        self.line.clear();
        message.encode(&mut self.line);
        self.handler.on_write(message, self.line.len());
        // A connection that has ended is noticed when it is read.
        let _ = connection.stream.write_all(&self.line);
    }
}

/// Registers a descriptor with the poller for readability.
fn poll_readable(poller: &OwnedFd, source: impl AsFd, token: u64) -> io::Result<()> {
    epoll::add(poller, source, epoll::EventData::new_u64(token), epoll::EventFlags::IN)?;
    Ok(())
}
