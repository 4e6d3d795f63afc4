//! Callers: their connections, their set-ups, and what they are told.

use std::collections::BTreeSet;

use fawnrouter::{CallId, Event, Outcome, OutcomeDetail};
use fawnrouter_jsonl::{DecodeError, Message, Tag, Verb};

use super::attempts::written;
use super::{Key, LAST_CALL, LOOK_AGAIN, MAX_NEWS, Node, Output, TEST_FAILED, TEST_PASSED};
use crate::calls::{Ended, MAX_STANDING, Open, Standing};
use crate::client_connections::{Arrival, ClientId};
use crate::request::{self, Request, cause};

impl Node {
    /// The one final answer of a call that does not stand. An attempt that is out is withdrawn.
    pub(super) fn answer(&mut self, tag: Tag, finish: Message) {
        if !self.calls.open.contains_key(&tag) {
            return;
        }
        self.withdraw(tag);
        if let Some(open) = self.drop_open(tag) {
            self.tell_client(open.client, &finish);
        }
    }

    /// A call is owed no answer any more.
    pub(super) fn drop_open(&mut self, tag: Tag) -> Option<Open> {
        let open = self.calls.close(tag)?;
        self.due.clear(Key::Call(tag));
        self.due.clear(Key::Attempt(tag));
        self.count_open(open.client);
        Some(open)
    }

    pub(super) fn count_open(&mut self, client: ClientId) {
        let open = self.calls.of_client.get(&client).map_or(0, BTreeSet::len);
        self.seats.count(self.now, client, open);
        self.watch(client);
    }

    pub(super) fn client_up(&mut self, client: ClientId) {
        if self.done {
            // It lay in the listener's queue at the end: what it has sent is answered, and it is closed in order.
            return self.let_go(client);
        }
        match self.seats.arrive(self.now, client) {
            Arrival::In => {}
            Arrival::InFor(least) => {
                self.counters.evicted_clients += 1;
                self.close_client(least, "idle, and its place is needed");
            }
            Arrival::Full => {
                self.counters.evicted_clients += 1;
                self.part(client, cause::CONGESTION, "no room for another connection");
                return;
            }
        }
        self.watch(client);
    }

    /// A call stands for this client: what waited to be told to a caller can be told now.
    pub(super) fn served(&mut self, client: ClientId) {
        self.seats.stands(client, true);
        if self.seats.is_in(client) {
            for (_, tag, line) in std::mem::take(&mut self.news) {
                self.out.push(Output::NotifyCaller { client, tag, line });
            }
        }
    }

    /// Has it looked at when it is overdue.
    pub(super) fn watch(&mut self, client: ClientId) {
        match self.seats.due(client) {
            Some(due) => self.due.set(Key::Client(client), due.max(self.now.plus(LOOK_AGAIN))),
            None => self.due.clear(Key::Client(client)),
        }
    }

    /// An error without a call, and the end.
    pub(super) fn goodbye(&mut self, client: ClientId, tag: Option<Tag>, rc: i64, why: &str) {
        let line = match tag {
            Some(tag) => written(&Message::new(Verb::Finish, tag).with_cause(rc).with_option("error", why)),
            None => nameless(rc, why),
        };
        self.out.push(Output::ToClient { client, line });
        self.close_client(client, why);
    }

    /// An end with an error, which is said only if nothing whole turns out to have come: a set-up that lies unread is
    /// answered instead. Guards against a connection that counts as silent, or has no place, while this process has not
    /// looked at what it sent.
    pub(super) fn part(&mut self, client: ClientId, rc: i64, why: &str) {
        self.close_client(client, why);
        self.leaving.insert(client, Some(nameless(rc, why)));
    }

    pub(super) fn close_client(&mut self, client: ClientId, why: &str) {
        if self.seats.is_in(client) {
            self.log(format!("client's connection {} closed: {why}", client.0));
        }
        self.let_go(client);
    }

    /// The connection is to be closed in order; what has come on it is still looked at.
    pub(super) fn let_go(&mut self, client: ClientId) {
        self.out.push(Output::CloseClient { client });
        self.leaving.insert(client, None);
        self.client_down(client);
    }

    pub(super) fn client_down(&mut self, client: ClientId) {
        if !self.seats.leave(client) {
            return;
        }
        self.due.clear(Key::Client(client));
        for tag in self.calls.of_client.get(&client).cloned().unwrap_or_default() {
            self.lapse(tag);
        }
    }

    pub(super) fn client_fault(&mut self, client: ClientId, fault: &DecodeError) {
        if !self.seats.is_in(client) {
            return;
        }
        self.counters.invalid += 1;
        // The tag of an open call is not answered with another line's fault.
        let tag = fault.tag().filter(|tag| !self.is_known(*tag));
        self.goodbye(client, tag, cause::INVALID, &fault.to_string());
    }

    pub(super) fn is_known(&self, tag: Tag) -> bool {
        self.calls.open.contains_key(&tag) || self.calls.standing.contains_key(&tag)
    }

    /// The caller waits no longer.
    pub(super) fn lapse(&mut self, tag: Tag) {
        if !self.calls.open.contains_key(&tag) {
            return;
        }
        self.counters.abandoned += 1;
        let sent = self.calls.open.get(&tag).is_some_and(|c| c.attempts > 0);
        self.withdraw(tag);
        self.events.push_back(Event::Abandoned(CallId(tag.0)));
        self.attempt_ended(tag, Outcome::Cancelled, OutcomeDetail::None);
        self.drop_open(tag);
        let barred = sent.then(|| self.now.plus(self.decisions.rules.release_guard));
        self.calls.ended.put(tag, Ended { barred, rc: None });
    }

    /// What was said of a call that stood had not been written when its caller's connection ended. A call whose answer was
    /// not heard is given up at its core switch; a release is told on another connection. Guards against calls that stand
    /// for callers who have gone, and releases that nobody hears.
    pub(super) fn unheard(&mut self, tag: Tag) {
        if let Some(standing) = self.calls.fall(tag, None) {
            self.standing_ended(tag, standing, Outcome::Cancelled);
            self.release(standing.server, tag, cause::CLEARING);
        } else if let Some(rc) = self.calls.ended.get(tag).and_then(|e| e.rc) {
            self.calls.ended.put(tag, Ended::default());
            self.tell_caller(None, tag, rc);
        }
    }

    pub(super) fn client_message(&mut self, client: ClientId, message: Message) {
        let tag = message.tag;
        match message.verb {
            Verb::Start => self.start(client, message),
            Verb::Finish => self.finish(client, &message),
            Verb::Echo => {
                // A gateway that ends fails the test, so that the front turns to others.
                let rc = if self.stopping.is_none() { TEST_PASSED } else { TEST_FAILED };
                self.tell_client(client, &Message::new(Verb::Echoed, tag).with_cause(rc));
            }
            Verb::Pending | Verb::Finished | Verb::Echoed | Verb::Load => {}
            Verb::Started | Verb::Other => {
                self.counters.invalid += 1;
                let tag = Some(tag).filter(|tag| !self.is_known(*tag));
                self.goodbye(client, tag, cause::NO_SUCH_MESSAGE, "not a message that a caller sends");
            }
        }
        self.watch(client);
    }

    /// What comes on a connection that is on its way out: it was sent before its caller could know, or crossed the close.
    /// Set-ups are refused, so that each has its answer; what ends a call or tells of one holds as on any connection.
    pub(super) fn last_message(&mut self, client: ClientId, message: Message) {
        self.leaving.insert(client, None);
        match message.verb {
            Verb::Finish => self.finish(client, &message),
            Verb::Start if !self.is_known(message.tag) => {
                let read = request::read(&message, &self.decisions, &self.names);
                match read {
                    Ok(Request::Standing(at)) => self.told_standing(client, message.tag, &at),
                    Ok(Request::New(_)) => {
                        self.counters.refused += 1;
                        let refusal = self.congested(message.tag);
                        self.tell_client(client, &refusal);
                    }
                    Err(rc) => {
                        self.tell_client(client, &Message::new(Verb::Finish, message.tag).with_cause(rc))
                    }
                }
            }
            Verb::Echo => {
                self.tell_client(client, &Message::new(Verb::Echoed, message.tag).with_cause(TEST_FAILED));
            }
            _ => {}
        }
    }

    /// A set-up that was given up before it was looked at: nothing is tried for it. Guards against attempts for callers
    /// who have gone while their lines lay unread, as behind hundreds of others or while this process stood still.
    pub(super) fn withdrawn(&mut self, client: ClientId, message: Message) {
        let tag = message.tag;
        match request::read(&message, &self.decisions, &self.names) {
            Ok(Request::New(_)) if !self.is_known(tag) => {
                (self.counters.accepted, self.counters.abandoned) =
                    (self.counters.accepted + 1, self.counters.abandoned + 1);
                self.calls.ended.put(tag, Ended::default());
            }
            _ if self.seats.is_in(client) => self.start(client, message),
            Ok(Request::Standing(at)) => self.told_standing(client, tag, &at),
            _ => {}
        }
    }

    /// "Refused" of the gateway itself, with a time to come back where callers heed one.
    fn congested(&self, tag: Tag) -> Message {
        let refusal = Message::new(Verb::Finish, tag).with_cause(cause::CONGESTION);
        let wait = self.decisions.limits.max_retry_after.as_millis();
        let told = self.decisions.limits.retry_after && wait > 0;
        if told { refusal.with_option("wait", wait) } else { refusal }
    }

    pub(super) fn start(&mut self, client: ClientId, message: Message) {
        let tag = message.tag;
        let wrong = |rc| Message::new(Verb::Finish, tag).with_cause(rc);
        let read = request::read(&message, &self.decisions, &self.names);
        if let Ok(Request::Standing(at)) = &read {
            return self.told_standing(client, tag, at);
        }
        if self.is_known(tag) {
            // The first call of this id is neither disturbed nor answered: this connection alone is ended.
            self.counters.invalid += 1;
            return self.goodbye(client, None, cause::INVALID_REFERENCE, "the id is that of another call");
        }
        let new = match read {
            Ok(Request::New(new)) => new,
            Ok(Request::Standing(_)) => return,
            Err(rc) => {
                self.counters.invalid += 1;
                return self.tell_client(client, &wrong(rc));
            }
        };
        // An id that was just used and given up: the guard holds for it, whoever calls.
        let barred = self.calls.ended.get(tag).and_then(|e| e.barred).is_some_and(|until| self.now < until);
        if barred || self.is_over() || self.calls.open.len() >= self.sockets.max_open_calls {
            self.counters.refused += 1;
            let refusal = self.congested(tag);
            return self.tell_client(client, &refusal);
        }
        self.counters.accepted += 1;
        let deadline = self.now.plus(new.time_left);
        self.due.set(Key::Call(tag), deadline.minus(LAST_CALL.min(new.time_left / 4)));
        let text =
            |name: &str| message.opts.get(name).and_then(|v| v.as_str()).unwrap_or_default().to_owned();
        let (class, key) = (text("class"), text("key"));
        let blob = message.blob.unwrap_or_default();
        self.calls.insert(tag, Open { client, deadline, class, key, blob, attempts: 0, out: None });
        self.count_open(client);
        self.events.push_back(Event::Call(new));
    }

    /// A caller tells of a call that stands: it expects no answer, only the release in its time.
    pub(super) fn told_standing(&mut self, client: ClientId, tag: Tag, at: &str) {
        if let Some(standing) = self.calls.standing.get_mut(&tag) {
            let before = std::mem::replace(&mut standing.client, client);
            self.seats.stands(before, false);
            return self.served(client);
        }
        // It is being set up here, and will be known to stand by its core switch's word.
        if self.calls.open.contains_key(&tag) {
            return;
        }
        let released = self.calls.unclaimed.take(tag);
        let server = self.ids.known(at).filter(|s| self.servers.contains_key(s));
        match (server, released) {
            (Some(server), None) if self.calls.standing.len() < MAX_STANDING => {
                self.calls.stand(tag, Standing { client, server, attempt: None, since: self.now });
                self.served(client);
                self.tend(server);
                self.watch_life(server);
            }
            // It is over already, or its core switch is.
            (_, released) => {
                let rc = released.unwrap_or(cause::TEMPORARY_FAILURE);
                self.tell_client(client, &Message::new(Verb::Finish, tag).with_cause(rc));
            }
        }
    }

    /// A caller gives up a set-up or releases what stands.
    pub(super) fn finish(&mut self, client: ClientId, message: &Message) {
        let tag = message.tag;
        if let Some(open) = self.calls.open.get(&tag) {
            // Only the connection of the set-up can give it up: an id alone is no proof.
            if open.client == client {
                self.lapse(tag);
                self.tell_client(client, &Message::new(Verb::Finished, tag));
            }
        } else if let Some(standing) = self.calls.fall(tag, None) {
            let rc = message.rc.unwrap_or(cause::CLEARING);
            self.standing_ended(tag, standing, Outcome::Cancelled);
            self.release(standing.server, tag, rc);
            self.tell_client(client, &Message::new(Verb::Finished, tag));
        } else if self.calls.ended.has(tag) {
            self.tell_client(client, &Message::new(Verb::Finished, tag));
        } else {
            self.counters.invalid += 1;
            self.tell_client(client, &Message::new(Verb::Finish, tag).with_cause(cause::INVALID_REFERENCE));
        }
    }

    /// Writes to a client, if it is there.
    pub(super) fn tell_client(&mut self, client: ClientId, message: &Message) {
        if self.seats.is_in(client) || self.leaving.contains_key(&client) {
            self.out.push(Output::ToClient { client, line: written(message) });
        }
    }

    /// Tells the caller of a standing call that it is over; where its connection is gone, on another, or on the next.
    pub(super) fn tell_caller(&mut self, client: Option<ClientId>, tag: Tag, rc: i64) {
        let line = written(&Message::new(Verb::Finish, tag).with_cause(rc));
        match client.filter(|client| self.seats.is_in(*client)).or_else(|| self.seats.instead()) {
            Some(client) => self.out.push(Output::NotifyCaller { client, tag, line }),
            None => {
                self.news.push_back((self.now, tag, line));
                if self.news.len() > MAX_NEWS {
                    self.news.pop_front();
                }
            }
        }
    }
}

/// An error that names no call.
fn nameless(rc: i64, why: &str) -> Vec<u8> {
    let line = serde_json::json!({"verb": "FINISH", "opts": {"error": why}, "rc": rc});
    format!("{line}\n").into_bytes()
}
