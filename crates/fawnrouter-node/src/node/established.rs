//! Established calls: what ends them, and who is notified.

use fawnrouter::{CallId, Event, LoadReport, Outcome, OutcomeDetail, ServerId, Time};
use fawnrouter_jsonl::{Message, Tag, Verb};

use super::attempts::encode_line;
use super::{Node, Output, TimerKey};
use crate::calls::{Attempt, EstablishedCall};
use crate::liveness::CheckResult;
use crate::request::cause;

impl Node {
    /// Checks whether the calls established at a core switch still exist.
    pub(super) fn check_liveness(&mut self, server: ServerId) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        if !self.calls.has_established_at(server) {
            self.timers.clear(TimerKey::LivenessCheck(server));
            return self.forget_if_unused(server);
        }
        match s.liveness.check(self.now) {
            CheckResult::CheckAgain { probe, connect, next_check } => {
                if probe {
                    self.probe(server, false);
                    self.open_missing_links(server);
                }
                if connect && self.links.may_open_extra_link(server) {
                    self.dial(server);
                }
                self.timers.set(TimerKey::LivenessCheck(server), next_check);
            }
            CheckResult::Failed => {
                self.timers.clear(TimerKey::LivenessCheck(server));
                self.lose_established_calls(server, None, "has died or gone silent");
                self.forget_if_unused(server);
            }
        }
    }

    /// When the process of a core switch started, if an earlier one may have run under its id. The present one
    /// does not know the calls of the earlier one and never releases them.
    pub(super) fn restarted_at(&self, server: ServerId) -> Option<Time> {
        let s = self.servers.get(&server).filter(|s| s.may_have_earlier_start)?;
        s.listed.as_ref().and_then(|listed| listed.started)
    }

    /// Ends the calls that were established at a core switch before its present start.
    pub(super) fn lose_calls_of_earlier_start(&mut self, server: ServerId) {
        if let Some(restarted_at) = self.restarted_at(server) {
            self.lose_established_calls(server, Some(restarted_at), "has restarted");
        }
    }

    /// Ends the calls established at a core switch: all of them, or those set up before its start.
    pub(super) fn lose_established_calls(&mut self, server: ServerId, before: Option<Time>, reason: &str) {
        let tags = self.calls.established_by_server.get(&server).cloned().unwrap_or_default();
        let started_at = self.started_at;
        let old = |tag: &Tag| {
            let call = self.calls.established.get(tag);
            call.is_some_and(|call| before.is_none_or(|t| call.was_set_up_before_start(t, started_at)))
        };
        let tags: Vec<Tag> = tags.into_iter().filter(old).collect();
        if tags.is_empty() {
            return;
        }
        self.log(format!("core switch {} {reason}: {} standing calls are cut", server.0, tags.len()));
        tags.into_iter().for_each(|tag| self.lose_established_call(server, tag));
    }

    /// Ends an established call that its core switch has lost.
    pub(super) fn lose_established_call(&mut self, server: ServerId, tag: Tag) {
        self.end_established_call(tag, cause::TEMPORARY_FAILURE);
        // If the switch is alive after all, it must not keep a call whose caller was told that it has ended.
        self.links.add_pending_release(server, tag, cause::TEMPORARY_FAILURE);
    }

    /// The core switch has answered the attempt: the call is established, unless the answer is too late.
    pub(super) fn call_established(&mut self, tag: Tag, attempt: Attempt, blob: String) {
        let now = self.now;
        let Some(deadline) = self.calls.open.get(&tag).map(|c| c.deadline) else { return };
        if now >= deadline {
            // Too late for the caller, which gets no further answer.
            return self.abandon_call(tag);
        }
        if !self.calls.has_room_for_established() {
            return self.end_open_call(tag, Message::new(Verb::Finish, tag).with_cause(cause::CONGESTION));
        }
        let Some(open) = self.remove_open_call(tag) else { return };
        let mut server = attempt.server;
        if let Some(sent) = attempt.sent {
            if let Some(link) = self.links.links.get_mut(&sent.link) {
                link.end_attempt(now, tag, true, false);
                link.established_calls += 1;
                server = link.server;
            }
            self.events.push_back(Event::Established {
                call: CallId(tag.0),
                attempt: attempt.no,
                server: attempt.server,
                took: now.since(sent.at),
            });
        }
        self.counters.established += 1;
        let call = EstablishedCall {
            client: open.client,
            server,
            issued_to: attempt.server,
            attempt: Some(attempt.no),
            link: attempt.sent.map(|sent| sent.link),
            since: now,
        };
        self.calls.add_established(tag, call);
        let (client, line) =
            (open.client, encode_line(&Message::new(Verb::Started, tag).with_description(blob)));
        if self.client_connections.contains(client) {
            self.outputs.push(Output::ToCaller { client, tag, line });
        }
        self.call_established_for(open.client);
        self.start_liveness_checks(server);
    }

    /// Starts the periodic liveness checks of a switch that now has an established call, the first of them at
    /// once, unless they run already.
    pub(super) fn start_liveness_checks(&mut self, server: ServerId) {
        if !self.timers.is_set(TimerKey::LivenessCheck(server)) {
            self.check_liveness(server);
        }
        self.start_link_checks(server);
    }

    /// Ends an established call that its core switch released or lost, and notifies its caller.
    pub(super) fn end_established_call(&mut self, tag: Tag, rc: i64) {
        let Some(call) = self.calls.remove_established(tag, Some(rc)) else { return };
        let outcome = if rc == cause::CLEARING { Outcome::Ended } else { Outcome::Reset };
        self.counters.calls_lost += u64::from(outcome == Outcome::Reset);
        self.report_established_end(tag, call, outcome);
        self.notify_release(Some(call.client), tag, rc);
    }

    /// Reports the end of an established call to the controller.
    pub(super) fn report_established_end(&mut self, tag: Tag, call: EstablishedCall, outcome: Outcome) {
        self.client_connections.count_established(call.client, false);
        if let Some(link) = call.link.and_then(|link| self.links.links.get_mut(&link)) {
            link.established_calls = link.established_calls.saturating_sub(1);
        }
        if let Some(attempt) = call.attempt {
            self.events.push_back(Event::Closed {
                call: CallId(tag.0),
                attempt,
                server: call.issued_to,
                done: true,
                outcome,
                detail: OutcomeDetail::None,
                took: self.now.since(call.since),
                report: LoadReport::default(),
            });
        }
    }
}
