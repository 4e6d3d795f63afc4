//! Attempts: one set-up of a call at one core switch, from the controller's decision to its end.

use std::time::Duration;

use fawnrouter::{AttemptNo, CallId, Event, LoadReport, Outcome, OutcomeDetail, ServerId};
use fawnrouter_jsonl::{Message, Tag, Verb};

use super::{Node, Output, TimerKey};
use crate::calls::{Attempt, SentSetUp};
use crate::links::{LinkChoice, LinkId};
use crate::request::cause;

impl Node {
    /// Starts an attempt of the call at a core switch, as the controller has decided.
    pub(super) fn issue_attempt(&mut self, tag: Tag, server: ServerId, within: Duration) {
        let now = self.now;
        let Some(open) = self.calls.open.get_mut(&tag).filter(|c| c.attempt.is_none()) else { return };
        let no = AttemptNo(open.attempts_made);
        open.attempts_made += 1;
        let timeout_at = if within.is_zero() { open.deadline } else { open.deadline.min(now.plus(within)) };
        open.attempt = Some(Attempt { no, server, issued_at: now, sent: None, timeout_at });
        let address = self.servers.get(&server).and_then(|s| s.listed.as_ref()).map(|l| l.address);
        let Some(address) = address else {
            return self.attempt_failed(tag, Outcome::Moot, OutcomeDetail::None);
        };
        self.links.switch_entry(server, address);
        match self.links.choose_for_set_up(now, server, tag) {
            LinkChoice::Use(link) => self.send_set_up(tag, link),
            LinkChoice::Wait => {
                self.links.queue_set_up(server, tag);
                self.timers.set(
                    TimerKey::AttemptTimeout(tag),
                    timeout_at.min(now.plus(self.connections.dial_timeout)),
                );
            }
        }
        self.open_missing_links(server);
    }

    /// Sends the set-up of the call's current attempt.
    pub(super) fn send_set_up(&mut self, tag: Tag, link: LinkId) {
        let now = self.now;
        let Some(open) = self.calls.open.get_mut(&tag) else { return };
        let Some(attempt) = &mut open.attempt else { return };
        attempt.sent = Some(SentSetUp { link, at: now });
        let left = attempt.timeout_at.since(now).as_millis().max(1);
        let start = Message::new(Verb::Start, tag)
            .with_option("class", &open.class)
            .with_option("key", &open.called_number)
            .with_option("left", left)
            .with_description(open.blob.clone());
        let (server, timeout_at, client) = (attempt.server, attempt.timeout_at, open.client);
        self.timers.set(TimerKey::AttemptTimeout(tag), timeout_at);
        self.links.drop_pending_release(server, tag);
        if let Some(link) = self.links.links.get_mut(&link) {
            link.start_attempt(now, tag);
        }
        self.start_link_checks(server);
        self.counters.attempts += 1;
        self.outputs.push(Output::SetUp { client, link, tag, line: encode_line(&start) });
    }

    /// Withdraws the current attempt, if there is one. The core switch is sent a release if the set-up was
    /// written, and nothing if the set-up was still in this process. Whatever the switch sends about the
    /// attempt from now on is dropped.
    pub(super) fn withdraw_attempt(&mut self, tag: Tag) {
        let Some(attempt) = self.calls.open.get(&tag).and_then(|c| c.attempt) else { return };
        match attempt.sent {
            None => self.links.remove_queued_set_up(attempt.server, tag),
            Some(SentSetUp { link, .. }) => {
                if let Some(l) = self.links.links.get_mut(&link) {
                    l.end_attempt(self.now, tag, false, true);
                    l.release_sent(tag, cause::CLEARING);
                    let line = encode_line(&Message::new(Verb::Finish, tag).with_cause(cause::CLEARING));
                    self.outputs.push(Output::CancelSetUp { link, tag, line });
                } else {
                    self.release_at_switch(attempt.server, tag, cause::CLEARING);
                }
            }
        }
        self.timers.clear(TimerKey::AttemptTimeout(tag));
        if attempt.sent.is_some() {
            self.timers.set(TimerKey::LinkCheck(attempt.server), self.now);
        }
    }

    /// Ends the current attempt without an answer from the core switch.
    pub(super) fn attempt_failed(&mut self, tag: Tag, outcome: Outcome, detail: OutcomeDetail) {
        self.end_attempt(tag, outcome, detail, LoadReport::default(), false);
    }

    /// Reports the end of the current attempt to the controller; `answered` says that the core switch ended
    /// it, so that nothing more arrives for it.
    pub(super) fn end_attempt(
        &mut self,
        tag: Tag,
        outcome: Outcome,
        detail: OutcomeDetail,
        report: LoadReport,
        answered: bool,
    ) {
        let now = self.now;
        let Some(attempt) = self.calls.open.get_mut(&tag).and_then(|c| c.attempt.take()) else { return };
        self.timers.clear(TimerKey::AttemptTimeout(tag));
        match attempt.sent {
            Some(SentSetUp { link, .. }) => {
                if let Some(link) = self.links.links.get_mut(&link) {
                    link.end_attempt(now, tag, answered, false);
                }
            }
            None => self.links.remove_queued_set_up(attempt.server, tag),
        }
        // Counted from the write, so that the time is the core switch's and not this gateway's.
        let since = attempt.sent.map_or(attempt.issued_at, |sent| sent.at);
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

    /// A set-up was taken back from the outbox before a byte of it was written, so the core switch never sees
    /// it.
    pub(super) fn set_up_recalled(&mut self, link: LinkId, tag: Tag) {
        let attempt = self.calls.open.get(&tag).and_then(|c| c.attempt);
        if attempt.and_then(|a| a.sent).is_some_and(|sent| sent.link == link) {
            self.end_attempt(tag, Outcome::Moot, OutcomeDetail::None, LoadReport::default(), true);
        }
    }

    /// Releases a call at a core switch, now or on the next connection.
    pub(super) fn release_at_switch(&mut self, server: ServerId, tag: Tag, rc: i64) {
        match self.links.choose_for_release(self.now, server) {
            Some(link) => self.send_release(link, tag, rc),
            None => {
                self.links.add_pending_release(server, tag, rc);
                self.open_missing_links(server);
            }
        }
    }

    /// Writes a release to a core switch.
    pub(super) fn send_release(&mut self, link: LinkId, tag: Tag, rc: i64) {
        if let Some(link) = self.links.links.get_mut(&link) {
            link.release_sent(tag, rc);
        }
        self.send_to_switch(link, &Message::new(Verb::Finish, tag).with_cause(rc));
    }

    /// Writes a message to a core switch.
    pub(super) fn send_to_switch(&mut self, link: LinkId, message: &Message) {
        self.outputs.push(Output::ToLink { link, line: encode_line(message) });
    }
}

/// The message as a line.
pub(super) fn encode_line(message: &Message) -> Vec<u8> {
    let mut line = Vec::with_capacity(256);
    message.encode(&mut line);
    line
}
