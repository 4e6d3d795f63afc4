//! What a client has sent and nobody has looked at yet.
//!
//! All that lies in a connection's socket is read before any of it is handed on, up to a limit: what a caller has given up
//! behind hundreds of other lines, or by its end, is known then before it is tried.

use std::collections::{BTreeMap, VecDeque};

use fawnrouter_jsonl::{Message, Tag, Verb};

/// The next thing to be looked at.
#[derive(Debug)]
pub enum QueuedMessage {
    /// As it came.
    Live(Message),
    /// A set-up that has been given up since.
    Withdrawn(Message),
}

/// Messages of one connection, in order.
#[derive(Debug, Default)]
pub struct Inbox {
    /// What ends a call that was set up before: it goes ahead of all else, so that no attempt is made meanwhile.
    ends: VecDeque<Message>,
    queue: VecDeque<(Message, bool)>,
    /// How many have been handed on, so that places hold.
    handed: u64,
    /// The place of each call's last set-up that has not been given up.
    set_ups: BTreeMap<Tag, u64>,
}

impl Inbox {
    /// Adds a message that was read.
    pub fn push(&mut self, message: Message) {
        match message.verb {
            Verb::Start => {
                self.set_ups.insert(message.tag, self.handed + self.queue.len() as u64);
            }
            Verb::Finish => match self.set_ups.remove(&message.tag) {
                Some(place) => self.withdraw(place),
                None => return self.ends.push_back(message),
            },
            _ => {}
        }
        self.queue.push_back((message, false));
    }

    /// The client has gone: what it has set up is given up.
    pub fn withdraw_all(&mut self) {
        self.set_ups.clear();
        let set_ups = self.queue.iter_mut().filter(|(message, _)| message.verb == Verb::Start);
        set_ups.for_each(|(_, withdrawn)| *withdrawn = true);
    }

    fn withdraw(&mut self, place: u64) {
        let at = place.checked_sub(self.handed).and_then(|at| usize::try_from(at).ok());
        if let Some((_, withdrawn)) = at.and_then(|at| self.queue.get_mut(at)) {
            *withdrawn = true;
        }
    }

    /// Whether nothing is left to be looked at.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.queue.is_empty()
    }

    /// The next that ends a call set up before.
    pub fn pop_finish(&mut self) -> Option<Message> {
        self.ends.pop_front()
    }

    /// The next: what ends a call, then all else, each in the order in which they came.
    pub fn pop(&mut self) -> Option<QueuedMessage> {
        if let Some(message) = self.pop_finish() {
            return Some(QueuedMessage::Live(message));
        }
        let (message, withdrawn) = self.queue.pop_front()?;
        if self.set_ups.get(&message.tag) == Some(&self.handed) {
            self.set_ups.remove(&message.tag);
        }
        self.handed += 1;
        Some(if withdrawn { QueuedMessage::Withdrawn(message) } else { QueuedMessage::Live(message) })
    }
}
