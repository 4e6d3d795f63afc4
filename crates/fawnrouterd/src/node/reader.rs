//! Input of a client connection that has been read and not yet processed.

use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Read};
use std::net::TcpStream;

use fawnrouter_node::jsonl::{DecodeError, Decoder, Message};
use fawnrouter_node::{Inbox, QueuedMessage};

/// Most memory of one connection's messages that are read before they are processed; room for five hundred
/// set-ups and their cancels.
const MAX_READ_AHEAD_BYTES: usize = 512 * 1024;
/// The same over all connections. Beyond this, a connection reads again once its own messages have been
/// processed, and little at a time ([`TURN_READ_BYTES`]).
const MAX_TOTAL_READ_AHEAD_BYTES: usize = 2 * 1024 * 1024;
/// Most bytes that a connection reads and decodes in one turn, so that hundreds of busy connections do not make
/// the others wait.
const TURN_READ_BYTES: usize = 4 * 1024;

/// Read buffer of all connections, with the number of bytes read ahead. One buffer suffices, because no task
/// awaits while it holds data.
pub struct ReadBuffer {
    pub scratch: RefCell<Vec<u8>>,
    read_ahead_bytes: Cell<usize>,
}

impl ReadBuffer {
    pub fn new(size: usize) -> Self {
        Self { scratch: RefCell::new(vec![0; size]), read_ahead_bytes: Cell::new(0) }
    }
}

/// Reads and decodes the input of one connection.
#[derive(Default)]
pub struct Reader {
    decoder: Decoder,
    inbox: Inbox,
    /// Bytes read and not yet released, or the memory of their messages where that is more.
    read_ahead_bytes: usize,
    /// The client has closed its side, or the connection was reset.
    ended: bool,
    end_reported: bool,
    fault: Option<DecodeError>,
    fault_reported: bool,
    /// Something was read since a change of `partial_line` was last determined.
    read: bool,
    /// Whether part of a line was buffered then.
    partial_line: bool,
}

impl Reader {
    /// Reads what the socket has received, within limits.
    pub fn fill(&mut self, buffer: &ReadBuffer, socket: &TcpStream) {
        while self.fill_some(buffer, socket) {}
    }

    /// Reads one turn's part of what the socket has received, within limits. Returns whether there may be more
    /// that is to be read before what has been read is processed.
    pub fn fill_some(&mut self, buffer: &ReadBuffer, mut socket: &TcpStream) -> bool {
        let mut turn_bytes = 0;
        while self.may_read(buffer) {
            if turn_bytes == TURN_READ_BYTES {
                return true;
            }
            let scratch = &mut buffer.scratch.borrow_mut()[..TURN_READ_BYTES - turn_bytes];
            match socket.read(scratch) {
                Ok(n) if n > 0 => {
                    turn_bytes += n;
                    self.push_and_reserve(buffer, &scratch[..n]);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Ok(_) | Err(_) => {
                    self.ended = true;
                    self.inbox.withdraw_all();
                }
            }
        }
        false
    }

    fn may_read(&self, buffer: &ReadBuffer) -> bool {
        let has_room = self.read_ahead_bytes < MAX_READ_AHEAD_BYTES
            && buffer.read_ahead_bytes.get() < MAX_TOTAL_READ_AHEAD_BYTES;
        !self.ended && self.fault.is_none() && (self.read_ahead_bytes == 0 || has_room)
    }

    /// Decodes bytes, and takes what they need of the read-ahead budget.
    fn push_and_reserve(&mut self, buffer: &ReadBuffer, bytes: &[u8]) {
        let memory_before = self.inbox.memory_bytes();
        self.push(bytes);
        let needed = bytes.len().max(self.inbox.memory_bytes().saturating_sub(memory_before));
        self.read_ahead_bytes += needed;
        buffer.read_ahead_bytes.set(buffer.read_ahead_bytes.get() + needed);
    }

    /// Decodes bytes that have been read.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.fault.is_some() {
            return;
        }
        self.read = true;
        self.decoder.push(bytes);
        loop {
            match self.decoder.next_message() {
                Ok(Some(message)) => self.inbox.push(message),
                Ok(None) => return,
                // Bytes after an invalid line cannot be interpreted.
                Err(fault) => return self.fault = Some(fault),
            }
        }
    }

    /// Whether the client has closed its side; `true` only once.
    pub fn take_end(&mut self) -> bool {
        self.ended && !std::mem::replace(&mut self.end_reported, true)
    }

    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Takes the next message that ends a call set up earlier, ahead of the others.
    pub fn next_call_end(&mut self) -> Option<Message> {
        self.inbox.pop_finish()
    }

    /// Takes the next message.
    pub fn next(&mut self) -> Option<QueuedMessage> {
        self.inbox.pop()
    }

    pub fn is_empty(&self) -> bool {
        self.inbox.is_empty()
    }

    /// Whether input has been read that is still to be processed or reported.
    pub fn has_unprocessed_input(&self) -> bool {
        self.read || self.ended || !self.inbox.is_empty()
    }

    /// Takes a decoding error, once all messages before it have been processed. Reported only once.
    pub fn take_fault(&mut self) -> Option<DecodeError> {
        if std::mem::replace(&mut self.fault_reported, self.fault.is_some()) {
            None
        } else {
            self.fault.clone()
        }
    }

    pub fn is_fault_reported(&self) -> bool {
        self.fault_reported
    }

    /// Once all messages have been processed: whether part of a line is buffered, if more was read since the
    /// last call and a part is or was buffered.
    pub fn take_partial_line_change(&mut self) -> Option<bool> {
        let partial_line = self.decoder.buffered_bytes() > 0;
        let before = std::mem::replace(&mut self.partial_line, partial_line);
        let has_read = std::mem::take(&mut self.read) && !self.ended && self.fault.is_none();
        (has_read && (partial_line || before)).then_some(partial_line)
    }

    /// Gives up the read-ahead budget: what was read has been processed, or never will be.
    pub fn release(&mut self, buffer: &ReadBuffer) {
        buffer
            .read_ahead_bytes
            .set(buffer.read_ahead_bytes.get().saturating_sub(std::mem::take(&mut self.read_ahead_bytes)));
    }
}
