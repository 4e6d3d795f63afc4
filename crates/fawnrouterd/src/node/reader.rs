//! What has been read of a client's connection and not looked at yet.

use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Read};
use std::net::TcpStream;

use fawnrouter_node::jsonl::{DecodeError, Decoder, Message};
use fawnrouter_node::{Inbox, QueuedMessage};

/// Bytes of one connection that are read before any of them is handed on: five hundred set-ups and what gives them up.
const LOOK_AHEAD: usize = 256 * 1024;
/// The same over all connections; beyond it a connection reads on once its own have been handed on.
const LOOK_AHEAD_ALL: usize = 1024 * 1024;

/// One buffer for all connections, as nothing awaits while it holds something, and how much lies read.
pub struct Room {
    pub scratch: RefCell<Vec<u8>>,
    ahead: Cell<usize>,
}

impl Room {
    pub fn new(size: usize) -> Self {
        Self { scratch: RefCell::new(vec![0; size]), ahead: Cell::new(0) }
    }
}

/// What has been read of a connection.
#[derive(Default)]
pub struct Reader {
    decoder: Decoder,
    intake: Inbox,
    /// Bytes behind what the intake holds.
    ahead: usize,
    /// The client's end, or a reset.
    ended: bool,
    end_told: bool,
    fault: Option<DecodeError>,
    fault_told: bool,
    /// Something was read since the node last heard whether part of a line lies there, and whether one did then.
    read: bool,
    half: bool,
}

impl Reader {
    /// Reads what lies in the socket, within limits.
    pub fn fill(&mut self, room: &Room, mut socket: &TcpStream) {
        while !self.ended
            && self.fault.is_none()
            && (self.ahead == 0 || self.ahead < LOOK_AHEAD && room.ahead.get() < LOOK_AHEAD_ALL)
        {
            let scratch = &mut *room.scratch.borrow_mut();
            match socket.read(scratch) {
                Ok(n) if n > 0 => {
                    self.ahead += n;
                    room.ahead.set(room.ahead.get() + n);
                    self.push(&scratch[..n]);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Ok(_) | Err(_) => {
                    self.ended = true;
                    self.intake.withdraw_all();
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
    pub fn end(&mut self) -> bool {
        self.ended && !std::mem::replace(&mut self.end_told, true)
    }

    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// The next message that ends a call set up before.
    pub fn next_end(&mut self) -> Option<Message> {
        self.intake.pop_finish()
    }

    /// The next of all.
    pub fn next(&mut self) -> Option<QueuedMessage> {
        self.intake.pop()
    }

    pub fn is_empty(&self) -> bool {
        self.intake.is_empty()
    }

    /// Whether something has been read that is to be handed on or told.
    pub fn has_news(&self) -> bool {
        self.read || self.ended || !self.intake.is_empty()
    }

    /// Once all messages have been handed on: a fault, told once.
    pub fn fault(&mut self) -> Option<DecodeError> {
        if std::mem::replace(&mut self.fault_told, self.fault.is_some()) { None } else { self.fault.clone() }
    }

    pub fn has_told_fault(&self) -> bool {
        self.fault_told
    }

    /// Once all messages have been handed on: whether part of a line lies there, if that is news.
    pub fn half(&mut self) -> Option<bool> {
        let lies = self.decoder.buffered_bytes() > 0;
        let before = std::mem::replace(&mut self.half, lies);
        let news = std::mem::take(&mut self.read) && !self.ended && self.fault.is_none();
        (news && (lies || before)).then_some(lies)
    }

    /// What was read has been handed on, or will not be.
    pub fn clear(&mut self, room: &Room) {
        room.ahead.set(room.ahead.get().saturating_sub(std::mem::take(&mut self.ahead)));
    }
}
