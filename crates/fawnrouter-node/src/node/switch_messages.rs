//! Messages from core switches.

use std::time::Duration;

use fawnrouter::{Event, LoadReport, Outcome, OutcomeDetail, ServerId};
use fawnrouter_jsonl::{Message, Tag, Verb};

use super::{Node, TEST_PASSED};
use crate::calls::Attempt;
use crate::links::LinkId;
use crate::liveness::Evidence;
use crate::request::cause;

/// Notes in a refusal of a set-up.
const NOTE_GROUP_FULL: &str = "group_full";
const NOTE_PROCESSOR_FULL: &str = "processor_full";
const NOTE_USER_BUSY: &str = "user_busy";

impl Node {
    /// Processes a message from a core switch.
    pub(super) fn link_message(&mut self, link: LinkId, message: Message) {
        let now = self.now;
        let tag = message.tag;
        let Some((server, was_unresponsive)) = self.links.message_received(now, link) else { return };
        if was_unresponsive {
            self.send_waiting_messages(server, link);
        }
        let is_established = self.calls.established.get(&tag).is_some_and(|call| call.server == server);
        let evidence = match message.verb {
            Verb::Load => Evidence::StateReport,
            Verb::Finish if is_established => Evidence::CallRelease,
            _ => Evidence::AnyMessage,
        };
        self.record_evidence(server, evidence);
        let attempt = self.current_attempt_on(link, tag);
        if let Some(sent) = attempt.and_then(|a| a.sent) {
            self.question_answered(link, sent.at);
        }
        match message.verb {
            Verb::Started => self.switch_started(server, link, attempt, message),
            Verb::Finish => self.switch_finished(server, link, attempt, &message),
            Verb::Echoed => self.switch_echoed(link, &message),
            Verb::Load => {
                if let Some(report) = load_report(&message) {
                    self.events.push_back(Event::Probed { server, ok: true, took: Duration::ZERO, report });
                }
            }
            Verb::Start | Verb::Pending | Verb::Finished | Verb::Echo | Verb::Other => {}
        }
    }

    /// The current attempt of the call, if its set-up was sent on this connection.
    fn current_attempt_on(&self, link: LinkId, tag: Tag) -> Option<Attempt> {
        let attempt = self.calls.open.get(&tag).and_then(|call| call.attempt);
        attempt.filter(|a| a.sent.is_some_and(|sent| sent.link == link))
    }

    /// The core switch has answered a set-up.
    fn switch_started(&mut self, server: ServerId, link: LinkId, attempt: Option<Attempt>, message: Message) {
        let Some(attempt) = attempt else { return self.late_answer(link, server, message.tag) };
        match message.blob {
            Some(blob) if !blob.is_empty() => self.call_established(message.tag, attempt, blob),
            _ => self.close_faulty_link(link, "an answer without a description"),
        }
    }

    /// The core switch has refused or failed a set-up, or released a call.
    fn switch_finished(
        &mut self,
        server: ServerId,
        link: LinkId,
        attempt: Option<Attempt>,
        message: &Message,
    ) {
        let tag = message.tag;
        let Some(rc) = message.rc else {
            return self.close_faulty_link(link, "a release without a cause");
        };
        if attempt.is_some() {
            self.attempt_finished(message, rc);
        } else if self.calls.established.get(&tag).is_some_and(|call| call.server == server) {
            self.send_to_switch(link, &Message::new(Verb::Finished, tag));
            self.end_established_call(tag, rc);
        } else if !self.calls.open.contains_key(&tag) && !self.calls.recently_ended.contains(tag) {
            self.send_to_switch(link, &Message::new(Verb::Finished, tag));
            self.calls.unknown_releases.insert(tag, rc);
        }
    }

    /// The core switch has ended the call's current attempt with this cause.
    fn attempt_finished(&mut self, message: &Message, rc: i64) {
        let tag = message.tag;
        let detail = match message.opts.get("note").and_then(|n| n.as_str()) {
            Some(NOTE_GROUP_FULL) => OutcomeDetail::NoCircuit,
            Some(NOTE_PROCESSOR_FULL) => OutcomeDetail::ProcessorFull(None),
            Some(NOTE_USER_BUSY) => OutcomeDetail::NumberBusy,
            _ => OutcomeDetail::None,
        };
        let outcome = match rc {
            cause::NO_CIRCUIT => Outcome::Full,
            cause::USER_BUSY | cause::RESOURCE_UNAVAILABLE => Outcome::Error,
            cause::TIMER_EXPIRY => Outcome::Moot,
            _ => Outcome::Reset,
        };
        if detail == OutcomeDetail::NumberBusy
            && let Some(client) = self.calls.open.get(&tag).map(|call| call.client)
        {
            self.number_found_busy(client);
        }
        let answered = outcome != Outcome::Reset;
        self.end_attempt(tag, outcome, detail, load_report(message).unwrap_or_default(), answered);
    }

    /// The core switch has answered a probe.
    fn switch_echoed(&mut self, link: LinkId, message: &Message) {
        let Some(probe) = self.probes.remove(&message.tag) else { return };
        if probe.link == link {
            self.question_answered(link, probe.sent_at);
        }
        if probe.by_controller {
            let (ok, took) = (message.rc == Some(TEST_PASSED), self.now.since(probe.sent_at));
            let report = load_report(message).unwrap_or_default();
            self.events.push_back(Event::Probed { server: probe.server, ok, took, report });
        }
    }

    /// Handles a late answer to an ended attempt: nobody uses the call established by it, so it is released.
    /// Not so if the call is established at that core switch by another attempt, of whose answer this may be
    /// a duplicate.
    fn late_answer(&mut self, link: LinkId, server: ServerId, tag: Tag) {
        let is_established = self.calls.established.get(&tag).is_some_and(|s| s.server == server);
        if !is_established && self.links.links.get_mut(&link).is_some_and(|l| l.take_late_release(tag)) {
            self.send_to_switch(link, &Message::new(Verb::Finish, tag).with_cause(cause::CLEARING));
        }
    }
}

/// The figures, such as free circuits, that arrive in a message of their own or with an answer.
fn load_report(message: &Message) -> Option<LoadReport> {
    message.opts.get("load").and_then(|l| l.as_str()).map(fawnrouter_bootinfo::parse_report)
}
