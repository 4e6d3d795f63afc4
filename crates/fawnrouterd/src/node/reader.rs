//! What has been read of a client's connection and not looked at yet.

use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Read};
use std::net::TcpStream;

use fawnrouter_node::jsonl::{Decoder, Fault, Message};
use fawnrouter_node::{Intake, Next};

/// Bytes of one connection that are read before any of them is handed on: five hundred set-ups and what gives them up.
const MAX_READ_AHEAD_BYTES: usize = 256 * 1024;
/// The same over all connections; beyond it a connection reads on once its own have been handed on.
const MAX_TOTAL_READ_AHEAD_BYTES: usize = 1024 * 1024;

/// One buffer for all connections, as nothing awaits while it holds something, and how much lies read.
pub struct ReadBuffer {
    pub scratch: RefCell<Vec<u8>>,
    read_ahead_bytes: Cell<usize>,
}

impl ReadBuffer {
    pub fn new(size: usize) -> Self {
        Self { scratch: RefCell::new(vec![0; size]), read_ahead_bytes: Cell::new(0) }
    }
}

/// What has been read of a connection.
#[derive(Default)]
pub struct Reader {
    decoder: Decoder,
    intake: Intake,
    /// Bytes behind what the intake holds.
    read_ahead_bytes: usize,
    /// The client's end, or a reset.
    ended: bool,
    end_reported: bool,
    fault: Option<Fault>,
    fault_reported: bool,
    /// Something was read since the node last heard whether part of a line lies there, and whether one did then.
    read: bool,
    partial_line: bool,
}

impl Reader {
    /// Reads what lies in the socket, within limits.
    pub fn fill(&mut self, buffer: &ReadBuffer, mut socket: &TcpStream) {
        while !self.ended
            && self.fault.is_none()
            && (self.read_ahead_bytes == 0
                || self.read_ahead_bytes < MAX_READ_AHEAD_BYTES
                    && buffer.read_ahead_bytes.get() < MAX_TOTAL_READ_AHEAD_BYTES)
        {
            let scratch = &mut *buffer.scratch.borrow_mut();
            match socket.read(scratch) {
                Ok(n) if n > 0 => {
                    self.read_ahead_bytes += n;
                    buffer.read_ahead_bytes.set(buffer.read_ahead_bytes.get() + n);
                    self.push(&scratch[..n]);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Ok(_) | Err(_) => {
                    self.ended = true;
                    self.intake.end();
                }
            }
        }
    }

    /// Adds bytes that have been read.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.fault.is_some() {
            return;
        }
        self.read = true;
        self.decoder.push(bytes);
        loop {
            match self.decoder.next_message() {
                Ok(Some(message)) => self.intake.push(message),
                Ok(None) => return,
                // Nothing behind it can be trusted.
                Err(fault) => return self.fault = Some(fault),
            }
        }
    }

    /// The client's end, told once.
    pub fn take_end(&mut self) -> bool {
        self.ended && !std::mem::replace(&mut self.end_reported, true)
    }

    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// The next message that ends a call set up before.
    pub fn next_call_end(&mut self) -> Option<Message> {
        self.intake.take_end()
    }

    /// The next of all.
    pub fn next(&mut self) -> Option<Next> {
        self.intake.take()
    }

    pub fn is_empty(&self) -> bool {
        self.intake.is_empty()
    }

    /// Whether something has been read that is to be handed on or told.
    pub fn has_unprocessed_input(&self) -> bool {
        self.read || self.ended || !self.intake.is_empty()
    }

    /// Once all messages have been handed on: a fault, told once.
    pub fn take_fault(&mut self) -> Option<Fault> {
        if std::mem::replace(&mut self.fault_reported, self.fault.is_some()) {
            None
        } else {
            self.fault.clone()
        }
    }

    pub fn is_fault_reported(&self) -> bool {
        self.fault_reported
    }

    /// Once all messages have been handed on: whether part of a line lies there, if that is news.
    pub fn take_partial_line_change(&mut self) -> Option<bool> {
        let lies = self.decoder.held() > 0;
        let before = std::mem::replace(&mut self.partial_line, lies);
        let news = std::mem::take(&mut self.read) && !self.ended && self.fault.is_none();
        (news && (lies || before)).then_some(lies)
    }

    /// What was read has been handed on, or will not be.
    pub fn release(&mut self, buffer: &ReadBuffer) {
        buffer
            .read_ahead_bytes
            .set(buffer.read_ahead_bytes.get().saturating_sub(std::mem::take(&mut self.read_ahead_bytes)));
    }
}
