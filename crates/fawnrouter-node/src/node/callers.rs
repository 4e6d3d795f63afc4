//! Callers: their connections, their set-ups, and what is sent to them.

use fawnrouter::{CallId, Event, Outcome, OutcomeDetail, ServerId};
use fawnrouter_jsonl::{DecodeError, Message, Tag, Verb};

use super::attempts::encode_line;
use super::{CLIENT_RECHECK_INTERVAL, FINAL_ANSWER_MARGIN, Node, Output, TEST_FAILED, TEST_PASSED, TimerKey};
use crate::calls::{EndedCall, EstablishedCall, OpenCall};
use crate::client_connections::{Admission, ClientId};
use crate::reported_calls::ReportAdmission;
use crate::request::{self, Request, cause};

impl Node {
    /// Sends the single final answer of a call that is not established, and withdraws its current attempt.
    pub(super) fn end_open_call(&mut self, tag: Tag, finish: Message) {
        if !self.calls.open.contains_key(&tag) {
            return;
        }
        self.withdraw_attempt(tag);
        if let Some(open) = self.remove_open_call(tag) {
            self.send_to_client(open.client, &finish);
        }
    }

    /// Removes a call that needs no further answer.
    pub(super) fn remove_open_call(&mut self, tag: Tag) -> Option<OpenCall> {
        let open = self.calls.remove_open(tag)?;
        self.timers.clear(TimerKey::CallDeadline(tag));
        self.timers.clear(TimerKey::AttemptTimeout(tag));
        self.update_open_set_ups(open.client);
        Some(open)
    }

    /// Updates how many set-ups are open on a client's connection.
    pub(super) fn update_open_set_ups(&mut self, client: ClientId) {
        let open = self.calls.open_by_client.get(&client).map_or(0, |calls| calls.tags.len());
        self.client_connections.set_open_set_ups(self.now, client, open);
        self.schedule_client_check(client);
    }

    /// A client has connected: admits it or turns it away.
    pub(super) fn client_connected(&mut self, client: ClientId) {
        if self.done {
            // The connection was in the listener's queue at shutdown: what it has sent is answered, then it
            // is closed in order.
            return self.start_closing(client);
        }
        match self.client_connections.admit(self.now, client) {
            Admission::Admitted => {}
            Admission::AdmittedInPlaceOf(evicted) => {
                self.counters.rejected_or_evicted_clients += 1;
                self.close_client(evicted, "idle, and its place is needed");
            }
            Admission::Full => {
                self.counters.rejected_or_evicted_clients += 1;
                self.close_with_error_if_unused(client, cause::CONGESTION, "no room for another connection");
                return;
            }
        }
        self.schedule_client_check(client);
    }

    /// Counts a call established for this client.
    pub(super) fn call_established_for(&mut self, client: ClientId) {
        self.client_connections.count_established(client, true);
        self.send_pending_notices();
    }

    /// Sets the timer for the check whether the client is overdue.
    pub(super) fn schedule_client_check(&mut self, client: ClientId) {
        match self.client_connections.silence_deadline(client) {
            Some(due) => self
                .timers
                .set(TimerKey::ClientCheck(client), due.max(self.now.plus(CLIENT_RECHECK_INTERVAL))),
            None => self.timers.clear(TimerKey::ClientCheck(client)),
        }
    }

    /// Sends an error, for the call if there is one, and closes the connection.
    pub(super) fn close_with_error(&mut self, client: ClientId, tag: Option<Tag>, rc: i64, reason: &str) {
        let line = match tag {
            Some(tag) => {
                encode_line(&Message::new(Verb::Finish, tag).with_cause(rc).with_option("error", reason))
            }
            None => error_without_tag(rc, reason),
        };
        self.outputs.push(Output::ToClient { client, line });
        self.close_client(client, reason);
    }

    /// Closes the connection with an error that is sent only if no whole message turns out to have arrived; a
    /// set-up that was not read yet is answered instead. Without this, a connection could be taken for
    /// silent, or turned away for lack of room, although it sent a set-up that this process had not read.
    pub(super) fn close_with_error_if_unused(&mut self, client: ClientId, rc: i64, reason: &str) {
        self.close_client(client, reason);
        self.closing_clients.insert(client, Some(error_without_tag(rc, reason)));
    }

    /// Closes the connection and logs why.
    pub(super) fn close_client(&mut self, client: ClientId, reason: &str) {
        if self.client_connections.contains(client) {
            self.log(format!("client's connection {} closed: {reason}", client.0));
        }
        self.start_closing(client);
    }

    /// Closes the connection in order; what has arrived on it is still processed.
    pub(super) fn start_closing(&mut self, client: ClientId) {
        self.outputs.push(Output::CloseClient { client });
        self.closing_clients.insert(client, None);
        self.client_disconnected(client);
    }

    /// A client has gone: its open calls are abandoned.
    pub(super) fn client_disconnected(&mut self, client: ClientId) {
        if !self.client_connections.remove(client) {
            return;
        }
        self.timers.clear(TimerKey::ClientCheck(client));
        let open = self.calls.open_by_client.get(&client).map(|calls| calls.tags.clone());
        for tag in open.unwrap_or_default() {
            self.abandon_call(tag);
        }
    }

    /// A client sent a line that is not a message.
    pub(super) fn client_decode_error(&mut self, client: ClientId, error: &DecodeError) {
        if !self.client_connections.contains(client) {
            return;
        }
        self.counters.invalid += 1;
        // The error of a faulty line must not be sent as the answer of an existing call.
        let tag = error.tag().filter(|tag| !self.is_known_call(*tag));
        self.close_with_error(client, tag, cause::INVALID, &error.to_string());
    }

    /// Whether a call with this tag is open or established.
    pub(super) fn is_known_call(&self, tag: Tag) -> bool {
        self.calls.open.contains_key(&tag) || self.calls.established.contains_key(&tag)
    }

    /// Ends a call whose caller no longer waits.
    pub(super) fn abandon_call(&mut self, tag: Tag) {
        if !self.calls.open.contains_key(&tag) {
            return;
        }
        self.counters.abandoned += 1;
        let sent = self.calls.open.get(&tag).is_some_and(|c| c.attempts_made > 0);
        self.withdraw_attempt(tag);
        self.events.push_back(Event::Abandoned(CallId(tag.0)));
        self.attempt_failed(tag, Outcome::Cancelled, OutcomeDetail::None);
        self.remove_open_call(tag);
        let barred_until = sent.then(|| self.now.plus(self.controller_settings.rules.release_guard));
        self.calls.recently_ended.insert(tag, EndedCall { barred_until, release_cause: None });
    }

    /// A message about an established or ended call was not written before its caller's connection ended. A
    /// call whose answer was not delivered is released at its core switch; a release is sent on another
    /// connection. Without this, calls would stay established for callers who have gone, and releases would
    /// be lost.
    pub(super) fn not_delivered(&mut self, tag: Tag) {
        if let Some(call) = self.calls.remove_established(tag, None) {
            self.report_established_end(tag, call, Outcome::Cancelled);
            self.release_at_switch(call.server, tag, cause::CLEARING);
        } else if let Some(rc) = self.calls.recently_ended.get(tag).and_then(|e| e.release_cause) {
            self.notify_release(None, tag, rc);
        }
    }

    /// Processes a message from a client.
    pub(super) fn client_message(&mut self, client: ClientId, message: Message) {
        let tag = message.tag;
        match message.verb {
            Verb::Start => self.handle_start(client, message),
            Verb::Finish => self.handle_finish(client, &message),
            Verb::Echo => {
                // A gateway that shuts down fails the test, so that the front end sends calls to other
                // gateways.
                let rc = if self.stop_requested_at.is_none() { TEST_PASSED } else { TEST_FAILED };
                self.send_to_client(client, &Message::new(Verb::Echoed, tag).with_cause(rc));
            }
            Verb::Finished => {
                if self.calls.recently_ended.get(tag).is_some_and(|call| call.release_cause.is_some()) {
                    self.established_call_known_to(client);
                }
            }
            Verb::Pending | Verb::Echoed | Verb::Load => {}
            Verb::Started | Verb::Other => {
                self.counters.invalid += 1;
                let tag = Some(tag).filter(|tag| !self.is_known_call(*tag));
                self.close_with_error(
                    client,
                    tag,
                    cause::NO_SUCH_MESSAGE,
                    "not a message that a caller sends",
                );
            }
        }
        self.schedule_client_check(client);
    }

    /// Processes a message on a connection that is being closed: it was sent before its caller could know, or
    /// crossed the close. Set-ups are refused, so that each gets its answer; releases and reports of
    /// established calls count as on any connection.
    pub(super) fn message_while_closing(&mut self, client: ClientId, message: Message) {
        self.closing_clients.insert(client, None);
        match message.verb {
            Verb::Finish => self.handle_finish(client, &message),
            Verb::Start if !self.is_known_call(message.tag) => {
                let read = request::read(&message, &self.controller_settings, &self.names);
                match read {
                    Ok(Request::Established(switch)) => {
                        self.restore_established(client, message.tag, &switch)
                    }
                    Ok(Request::New(_)) => {
                        self.counters.refused += 1;
                        let refusal = self.congestion_refusal(message.tag);
                        self.send_to_client(client, &refusal);
                    }
                    Err(rc) => {
                        self.send_to_client(client, &Message::new(Verb::Finish, message.tag).with_cause(rc))
                    }
                }
            }
            Verb::Echo => {
                self.send_to_client(client, &Message::new(Verb::Echoed, message.tag).with_cause(TEST_FAILED));
            }
            _ => {}
        }
    }

    /// A set-up that was withdrawn before it was processed: it is not attempted. Otherwise there would be
    /// attempts for callers who have gone while their lines were unread, as behind hundreds of others or
    /// while this process was suspended.
    pub(super) fn set_up_withdrawn(&mut self, client: ClientId, message: Message) {
        let tag = message.tag;
        match request::read(&message, &self.controller_settings, &self.names) {
            Ok(Request::New(_)) if !self.is_known_call(tag) => {
                (self.counters.accepted, self.counters.abandoned) =
                    (self.counters.accepted + 1, self.counters.abandoned + 1);
                self.calls.recently_ended.insert(tag, EndedCall::default());
            }
            _ if self.client_connections.contains(client) => self.handle_start(client, message),
            Ok(Request::Established(switch)) => self.restore_established(client, tag, &switch),
            _ => {}
        }
    }

    /// A refusal by the gateway itself, with a retry time if callers use one.
    fn congestion_refusal(&self, tag: Tag) -> Message {
        let refusal = Message::new(Verb::Finish, tag).with_cause(cause::CONGESTION);
        let wait = self.controller_settings.limits.max_retry_after.as_millis();
        let with_retry_time = self.controller_settings.limits.retry_after && wait > 0;
        if with_retry_time { refusal.with_option("wait", wait) } else { refusal }
    }

    /// Processes a set-up, or a report of an established call.
    pub(super) fn handle_start(&mut self, client: ClientId, message: Message) {
        let tag = message.tag;
        let wrong = |rc| Message::new(Verb::Finish, tag).with_cause(rc);
        let read = request::read(&message, &self.controller_settings, &self.names);
        if let Ok(Request::Established(switch)) = &read {
            return self.restore_established(client, tag, switch);
        }
        if self.is_known_call(tag) {
            // The existing call with this tag is neither affected nor answered; only this connection is
            // closed.
            self.counters.invalid += 1;
            return self.close_with_error(
                client,
                None,
                cause::INVALID_REFERENCE,
                "the id is that of another call",
            );
        }
        let new = match read {
            Ok(Request::New(new)) => new,
            Ok(Request::Established(_)) => return,
            Err(rc) => {
                self.counters.invalid += 1;
                return self.send_to_client(client, &wrong(rc));
            }
        };
        self.client_connections.set_up_received(client);
        // The guard time of a recently withdrawn tag applies to every caller.
        let barred = self
            .calls
            .recently_ended
            .get(tag)
            .and_then(|e| e.barred_until)
            .is_some_and(|until| self.now < until);
        let deadline = self.now.plus(new.time_left);
        let text =
            |name: &str| message.opts.get(name).and_then(|v| v.as_str()).unwrap_or_default().to_owned();
        let (class, called_number) = (text("class"), text("key"));
        let blob = message.blob.unwrap_or_default();
        let open = OpenCall { client, deadline, class, called_number, blob, attempts_made: 0, attempt: None };
        let beyond_share = !self.calls.may_open(&self.open_call_shares, &open);
        if barred || self.refuses_set_ups() || beyond_share {
            self.counters.refused += 1;
            self.counters.beyond_share += u64::from(beyond_share);
            let refusal = self.congestion_refusal(tag);
            return self.send_to_client(client, &refusal);
        }
        self.counters.accepted += 1;
        self.timers
            .set(TimerKey::CallDeadline(tag), deadline.minus(FINAL_ANSWER_MARGIN.min(new.time_left / 4)));
        self.calls.add_open(tag, open);
        self.update_open_set_ups(client);
        self.events.push_back(Event::Call(new));
    }

    /// A caller reports an established call. It expects no answer, only the release when the call ends.
    pub(super) fn restore_established(&mut self, client: ClientId, tag: Tag, switch: &str) {
        if let Some(before) = self.calls.report_again(tag, client) {
            self.client_connections.count_established(before, false);
            return self.call_established_for(client);
        }
        // The call is being set up here; it counts as established once its core switch answers.
        if self.calls.open.contains_key(&tag) {
            return;
        }
        let released = self.calls.unknown_releases.remove(tag);
        let server = self.server_ids.get(switch).filter(|s| self.servers.contains_key(s));
        match (server, released) {
            (Some(server), None) => self.add_reported(client, tag, server),
            // The call has ended already, or its core switch is gone.
            (_, released) => {
                let rc = released.unwrap_or(cause::TEMPORARY_FAILURE);
                self.send_to_client(client, &Message::new(Verb::Finish, tag).with_cause(rc));
            }
        }
    }

    /// Keeps a reported call, so that its caller is told of its end.
    fn add_reported(&mut self, client: ClientId, tag: Tag, server: ServerId) {
        match self.calls.reported.admit(client) {
            ReportAdmission::Admitted => {}
            ReportAdmission::AdmittedInPlaceOf(forgotten) => self.forget_reported(forgotten),
            ReportAdmission::Full => {
                self.counters.reports_dropped += 1;
                let refusal = Message::new(Verb::Finish, tag).with_cause(cause::CONGESTION);
                return self.send_to_client(client, &refusal);
            }
        }
        let call =
            EstablishedCall { client, server, issued_to: server, attempt: None, link: None, since: self.now };
        self.calls.add_established(tag, call);
        self.call_established_for(client);
        if self.restarted_at(server).is_some_and(|at| call.was_set_up_before_start(at, self.started_at)) {
            self.lose_established_call(server, tag);
        }
        self.open_missing_links(server);
        self.start_liveness_checks(server);
    }

    /// Forgets a reported call for another one.
    fn forget_reported(&mut self, tag: Tag) {
        self.counters.reports_dropped += 1;
        if let Some(call) = self.calls.forget_established(tag) {
            self.client_connections.count_established(call.client, false);
        }
    }

    /// A caller withdraws a set-up or releases an established call.
    pub(super) fn handle_finish(&mut self, client: ClientId, message: &Message) {
        let tag = message.tag;
        if let Some(open) = self.calls.open.get(&tag) {
            // Only the connection of the set-up may withdraw it; the tag alone proves nothing.
            if open.client == client {
                self.abandon_call(tag);
                self.send_to_client(client, &Message::new(Verb::Finished, tag));
            }
        } else if let Some(call) = self.calls.remove_established(tag, None) {
            let rc = message.rc.unwrap_or(cause::CLEARING);
            self.report_established_end(tag, call, Outcome::Cancelled);
            self.release_at_switch(call.server, tag, rc);
            self.send_to_client(client, &Message::new(Verb::Finished, tag));
            self.established_call_known_to(client);
        } else if self.calls.recently_ended.contains(tag) {
            self.send_to_client(client, &Message::new(Verb::Finished, tag));
        } else {
            self.counters.invalid += 1;
            self.send_to_client(
                client,
                &Message::new(Verb::Finish, tag).with_cause(cause::INVALID_REFERENCE),
            );
        }
    }

    /// Writes to a client if it is connected.
    pub(super) fn send_to_client(&mut self, client: ClientId, message: &Message) {
        if self.client_connections.contains(client) || self.closing_clients.contains_key(&client) {
            self.outputs.push(Output::ToClient { client, line: encode_line(message) });
        }
    }
}

/// An error message without a tag.
fn error_without_tag(rc: i64, reason: &str) -> Vec<u8> {
    let line = serde_json::json!({"verb": "FINISH", "opts": {"error": reason}, "rc": rc});
    format!("{line}\n").into_bytes()
}
