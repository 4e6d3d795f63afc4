//! A thread that serves the connections of a stand-in: lines in, lines out at once or at a time.
//!
//! Sockets block. A connection is read only when something lies there, and what is written is short beside what the
//! kernel holds for a peer that reads, as gateways do.

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
/// Ready connections that are looked at in one turn.
const EVENTS_PER_TURN: usize = 256;
/// The handle has been dropped.
const STOP: u64 = 0;
/// The first listener.
const FIRST_LISTENER: u64 = 1;
/// The first connection; listeners stay below.
const FIRST_CONNECTION: u64 = 1 << 32;

/// A line to be written on the connection on which its cause came.
#[derive(Debug)]
pub(super) struct Reply {
    /// So much later.
    pub after: Duration,
    /// What.
    pub message: Message,
}

/// The party that a stand-in plays.
pub(super) trait Party: Send + 'static {
    /// A connection was accepted.
    fn opened(&mut self);
    /// A connection ended.
    fn closed(&mut self);
    /// A line of so many bytes came on a connection.
    fn heard(&mut self, connection: u64, message: &Message, bytes: usize, replies: &mut Vec<Reply>);
    /// Whether a reply whose time has come is still to be written.
    fn is_wanted(&mut self, connection: u64, message: &Message) -> bool;
    /// A line of so many bytes is about to be written.
    fn writes(&mut self, message: &Message, bytes: usize);
}

struct Connection {
    stream: TcpStream,
    reader: LineReader,
}

/// A running thread. It ends with its handle.
#[derive(Debug)]
pub(super) struct EventLoop {
    /// The thread sees the end of the other side of this.
    stop: Option<UnixStream>,
    thread: Option<JoinHandle<()>>,
}

impl EventLoop {
    /// Starts a thread that serves what comes on these listeners and connections.
    pub fn start(
        name: &str,
        party: impl Party,
        listeners: Vec<TcpListener>,
        connections: Vec<TcpStream>,
    ) -> io::Result<Self> {
        let (stop, stopped) = UnixStream::pair()?;
        let mut turn = Turn::new(party, stopped, listeners)?;
        for stream in connections {
            turn.add(stream)?;
        }
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(move || turn.run())?;
        Ok(Self { stop: Some(stop), thread: Some(thread) })
    }
}

impl Drop for EventLoop {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // Were it to panic, its counts would be missing and noticed.
            let _ = thread.join();
        }
    }
}

struct Turn<P> {
    party: P,
    poller: OwnedFd,
    /// Held so that its end is seen.
    _stopped: UnixStream,
    listeners: Vec<TcpListener>,
    connections: BTreeMap<u64, Connection>,
    next_connection: u64,
    /// Lines that are to be written later, by time and then by order, with their connection.
    due: BTreeMap<(Instant, u64), (u64, Message)>,
    next_due: u64,
    replies: Vec<Reply>,
    line: Vec<u8>,
    buffer: Vec<u8>,
}

impl<P: Party> Turn<P> {
    fn new(party: P, stopped: UnixStream, listeners: Vec<TcpListener>) -> io::Result<Self> {
        let poller = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        watch(&poller, &stopped, STOP)?;
        for (listener, token) in listeners.iter().zip(FIRST_LISTENER..) {
            listener.set_nonblocking(true)?;
            watch(&poller, listener, token)?;
        }
        Ok(Self {
            party,
            poller,
            _stopped: stopped,
            listeners,
            connections: BTreeMap::new(),
            next_connection: FIRST_CONNECTION,
            due: BTreeMap::new(),
            next_due: 0,
            replies: Vec::new(),
            line: Vec::new(),
            buffer: vec![0; READ_BUFFER_BYTES],
        })
    }

    fn run(mut self) {
        let mut events = Vec::with_capacity(EVENTS_PER_TURN);
        loop {
            let timeout = self.time_to_next_due();
            match epoll::wait(&self.poller, spare_capacity(&mut events), timeout.as_ref()) {
                Ok(_) | Err(Errno::INTR) => {}
                Err(_) => return,
            }
            for event in events.drain(..) {
                let token: u64 = event.data.u64();
                match token {
                    STOP => return,
                    FIRST_CONNECTION.. => self.read(token),
                    listener => self.accept(listener),
                }
            }
            self.write_due();
        }
    }

    fn time_to_next_due(&self) -> Option<Timespec> {
        let ((at, _), _) = self.due.first_key_value()?;
        Timespec::try_from(at.saturating_duration_since(Instant::now())).ok()
    }

    fn accept(&mut self, listener: u64) {
        let place = (listener - FIRST_LISTENER) as usize;
        // What goes wrong with one connection before it is accepted concerns that one only (accept(2)).
        while let Some(Ok((stream, _))) = self.listeners.get(place).map(TcpListener::accept) {
            if self.add(stream).is_ok() {
                self.party.opened();
            }
        }
    }

    fn add(&mut self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        watch(&self.poller, &stream, self.next_connection)?;
        self.connections.insert(self.next_connection, Connection { stream, reader: LineReader::default() });
        self.next_connection += 1;
        Ok(())
    }

    fn read(&mut self, token: u64) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let length = match connection.stream.read(&mut self.buffer) {
            Ok(length) if length > 0 => length,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => return,
            Ok(_) | Err(_) => return self.close(token),
        };
        let (party, replies) = (&mut self.party, &mut self.replies);
        let take = |message: Message, bytes| party.heard(token, &message, bytes, replies);
        if connection.reader.push(&self.buffer[..length], take).is_err() {
            return self.close(token);
        }
        for reply in std::mem::take(&mut self.replies) {
            self.reply(token, reply);
        }
    }

    fn close(&mut self, token: u64) {
        // Its descriptor leaves the poller as it is closed.
        self.connections.remove(&token);
        self.replies.clear();
        self.party.closed();
    }

    fn reply(&mut self, token: u64, reply: Reply) {
        if reply.after.is_zero() {
            return self.write(token, &reply.message);
        }
        self.next_due += 1;
        self.due.insert((Instant::now() + reply.after, self.next_due), (token, reply.message));
    }

    fn write_due(&mut self) {
        let now = Instant::now();
        while let Some(first) = self.due.first_entry().filter(|first| first.key().0 <= now) {
            let (token, message) = first.remove();
            self.write(token, &message);
        }
    }

    fn write(&mut self, token: u64, message: &Message) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if !self.party.is_wanted(token, message) {
            return;
        }
        self.line.clear();
        message.encode(&mut self.line);
        self.party.writes(message, self.line.len());
        // One that has ended is found as it is read.
        let _ = connection.stream.write_all(&self.line);
    }
}

fn watch(poller: &OwnedFd, source: impl AsFd, token: u64) -> io::Result<()> {
    epoll::add(poller, source, epoll::EventData::new_u64(token), epoll::EventFlags::IN)?;
    Ok(())
}
