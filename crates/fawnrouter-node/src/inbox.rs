//! Messages that a client has sent and the gateway has not processed yet.
//!
//! All that is in a connection's socket is read, up to a limit, before any of it is processed. So a set-up
//! that its caller withdrew hundreds of lines later, or by disconnecting, is known to be withdrawn before it
//! is attempted.

use std::collections::{BTreeMap, VecDeque};

use fawnrouter_jsonl::{Message, Tag, Verb};

use crate::request;

/// Memory that a queued set-up takes beside its message: its place in the map of set-ups.
const SET_UP_ENTRY_BYTES: usize = 48;

/// The next message to be processed.
#[derive(Debug)]
pub enum QueuedMessage {
    /// A message as it was received.
    Live(Message),
    /// A set-up that has been withdrawn since.
    Withdrawn(Message),
}

/// Messages of one connection, in order.
#[derive(Debug, Default)]
pub struct Inbox {
    /// Messages that end a call set up earlier. They go before all others, so that no attempt of the call is
    /// made meanwhile.
    finishes: VecDeque<Message>,
    /// All other messages, each with whether it is a set-up that has been withdrawn.
    queue: VecDeque<(Message, bool)>,
    /// Number of messages taken from `queue`, so that positions stay valid.
    popped: u64,
    /// The position of each call's last set-up that is not withdrawn.
    latest_set_ups: BTreeMap<Tag, u64>,
    /// Bytes of memory that all messages took that were added since the queue was last empty.
    memory_bytes: usize,
}

impl Inbox {
    /// Adds a received message. Only the options that the gateway reads are kept, so that a message takes hardly
    /// more memory here than in the socket.
    pub fn push(&mut self, mut message: Message) {
        message.opts.retain_named(&request::OPTION_NAMES);
        if self.is_empty() {
            self.memory_bytes = 0;
        }
        self.memory_bytes += message.memory_bytes();
        match message.verb {
            Verb::Start => {
                self.memory_bytes += SET_UP_ENTRY_BYTES;
                self.latest_set_ups.insert(message.tag, self.popped + self.queue.len() as u64);
            }
            Verb::Finish => match self.latest_set_ups.remove(&message.tag) {
                Some(position) => self.withdraw(position),
                None => return self.finishes.push_back(message),
            },
            _ => {}
        }
        self.queue.push_back((message, false));
    }

    /// Withdraws all set-ups, because the client has disconnected.
    pub fn withdraw_all(&mut self) {
        self.latest_set_ups.clear();
        let set_ups = self.queue.iter_mut().filter(|(message, _)| message.verb == Verb::Start);
        set_ups.for_each(|(_, withdrawn)| *withdrawn = true);
    }

    fn withdraw(&mut self, position: u64) {
        let at = position.checked_sub(self.popped).and_then(|at| usize::try_from(at).ok());
        if let Some((_, withdrawn)) = at.and_then(|at| self.queue.get_mut(at)) {
            *withdrawn = true;
        }
    }

    /// Bytes of memory that the messages took that were added since the queue was last empty.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    /// Whether no message is left.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.finishes.is_empty() && self.queue.is_empty()
    }

    /// Takes the next message that ends a call set up earlier.
    pub fn pop_finish(&mut self) -> Option<Message> {
        self.finishes.pop_front()
    }

    /// Takes the next message: first those that end a call, then all others, each in order of arrival.
    pub fn pop(&mut self) -> Option<QueuedMessage> {
        if let Some(message) = self.pop_finish() {
            return Some(QueuedMessage::Live(message));
        }
        let (message, withdrawn) = self.queue.pop_front()?;
        if self.latest_set_ups.get(&message.tag) == Some(&self.popped) {
            self.latest_set_ups.remove(&message.tag);
        }
        self.popped += 1;
        Some(if withdrawn { QueuedMessage::Withdrawn(message) } else { QueuedMessage::Live(message) })
    }
}
