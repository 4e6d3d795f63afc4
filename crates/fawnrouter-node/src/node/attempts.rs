//! Attempts: one set-up of a call to one core switch, from the decision to its end.

use std::time::Duration;

use fawnrouter::{AttemptNo, CallId, Event, LoadReport, Outcome, OutcomeDetail, ServerId};
use fawnrouter_jsonl::{Message, Tag, Verb};

use super::{Key, Node, Output};
use crate::calls::Attempt;
use crate::links::{LinkId, Pick};
use crate::request::cause;

impl Node {
    pub(super) fn issue(&mut self, tag: Tag, server: ServerId, within: Duration) {
        let now = self.now;
        let Some(open) = self.calls.open.get_mut(&tag).filter(|c| c.out.is_none()) else { return };
        let no = AttemptNo(open.attempts);
        open.attempts += 1;
        let until = if within.is_zero() { open.deadline } else { open.deadline.min(now.plus(within)) };
        open.out = Some(Attempt { no, server, issued: now, sent: None, until });
        let address = self.servers.get(&server).and_then(|s| s.listed.as_ref()).map(|l| l.address);
        let Some(address) = address else {
            return self.attempt_ended(tag, Outcome::Moot, OutcomeDetail::None);
        };
        self.links.site(server, address);
        match self.links.pick(server, tag) {
            Pick::On(link) => self.send(tag, link),
            Pick::Wait => {
                self.links.wait(server, tag);
                self.due.set(Key::Attempt(tag), until.min(now.plus(self.sockets.dial_timeout)));
            }
        }
        self.tend(server);
    }

    /// Writes the set-up of the call's attempt.
    pub(super) fn send(&mut self, tag: Tag, link: LinkId) {
        let now = self.now;
        let Some(open) = self.calls.open.get_mut(&tag) else { return };
        let Some(attempt) = &mut open.out else { return };
        attempt.sent = Some((link, now));
        let left = attempt.until.since(now).as_millis().max(1);
        let start = Message::new(Verb::Start, tag)
            .with_option("class", &open.class)
            .with_option("key", &open.key)
            .with_option("left", left)
            .with_description(open.blob.clone());
        let (server, until, client) = (attempt.server, attempt.until, open.client);
        self.due.set(Key::Attempt(tag), until);
        self.links.forgive(server, tag);
        if let Some(link) = self.links.links.get_mut(&link) {
            link.open.insert(tag);
        }
        self.counters.attempts += 1;
        self.out.push(Output::SetUp { client, link, tag, line: written(&start) });
    }

    /// Gives up the attempt that is out, if there is one: the core switch hears of it where the set-up was written, and
    /// nothing where it still lay in this process. What the switch says of it from now on is dropped.
    pub(super) fn withdraw(&mut self, tag: Tag) {
        let Some(attempt) = self.calls.open.get(&tag).and_then(|c| c.out) else { return };
        match attempt.sent {
            None => self.links.stop_waiting(attempt.server, tag),
            Some((link, _)) => {
                if let Some(l) = self.links.links.get_mut(&link) {
                    l.spend(self.now, tag, false, true);
                    let line = written(&Message::new(Verb::Finish, tag).with_cause(cause::CLEARING));
                    self.out.push(Output::CancelSetUp { link, tag, line });
                } else {
                    self.release(attempt.server, tag, cause::CLEARING);
                }
            }
        }
        self.due.clear(Key::Attempt(tag));
    }

    /// The attempt that was out ended without the core switch's word.
    pub(super) fn attempt_ended(&mut self, tag: Tag, outcome: Outcome, detail: OutcomeDetail) {
        self.attempt_over(tag, outcome, detail, LoadReport::default(), false);
    }

    /// Tells the controller how the attempt that was out ended; `told`: by the core switch's word, so that nothing more
    /// comes of it.
    pub(super) fn attempt_over(
        &mut self,
        tag: Tag,
        outcome: Outcome,
        detail: OutcomeDetail,
        report: LoadReport,
        told: bool,
    ) {
        let now = self.now;
        let Some(attempt) = self.calls.open.get_mut(&tag).and_then(|c| c.out.take()) else { return };
        self.due.clear(Key::Attempt(tag));
        match attempt.sent {
            Some((link, _)) => {
                if let Some(link) = self.links.links.get_mut(&link) {
                    link.spend(now, tag, told, false);
                }
            }
            None => self.links.stop_waiting(attempt.server, tag),
        }
        // From the writing on, so that the time is the core switch's and not this gateway's.
        let since = attempt.sent.map_or(attempt.issued, |(_, written)| written);
        self.events.push_back(Event::Closed {
            call: CallId(tag.0),
            attempt: attempt.no,
            server: attempt.server,
            done: false,
            outcome,
            detail,
            took: now.since(since),
            report,
        });
    }

    /// A set-up has been taken back from the outbox before a byte of it was written: the core switch never sees it.
    pub(super) fn recalled(&mut self, link: LinkId, tag: Tag) {
        let out = self.calls.open.get(&tag).and_then(|c| c.out);
        if out.and_then(|a| a.sent).is_some_and(|(at, _)| at == link) {
            self.attempt_over(tag, Outcome::Moot, OutcomeDetail::None, LoadReport::default(), true);
        }
    }

    /// Releases a call at a core switch, now or on the next connection.
    pub(super) fn release(&mut self, server: ServerId, tag: Tag, rc: i64) {
        match self.links.for_release(server) {
            Some(link) => self.tell_switch(link, &Message::new(Verb::Finish, tag).with_cause(rc)),
            None => {
                self.links.owe(server, tag, rc);
                self.tend(server);
            }
        }
    }

    pub(super) fn tell_switch(&mut self, link: LinkId, message: &Message) {
        self.out.push(Output::ToLink { link, line: written(message) });
    }
}

pub(super) fn written(message: &Message) -> Vec<u8> {
    let mut line = Vec::with_capacity(256);
    message.encode(&mut line);
    line
}
