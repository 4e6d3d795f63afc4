//! Calls that stand: what ends them, and who is told.

use fawnrouter::{CallId, Event, LoadReport, Outcome, OutcomeDetail, ServerId, Time};
use fawnrouter_jsonl::{Message, Tag, Verb};

use super::attempts::written;
use super::{Key, Node, Output};
use crate::calls::{Attempt, MAX_STANDING, Standing};
use crate::liveness::Verdict;
use crate::request::cause;

impl Node {
    /// Judges whether what stands at a core switch still does.
    pub(super) fn look_after(&mut self, server: ServerId) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        if !self.calls.stands_at(server) {
            self.due.clear(Key::Life(server));
            return self.maybe_forget(server);
        }
        match s.life.judge(self.now) {
            Verdict::Look { ask, knock, at } => {
                if ask {
                    self.probe(server, false);
                    self.tend(server);
                }
                if knock && self.links.may_knock(server) {
                    self.dial(server);
                }
                self.due.set(Key::Life(server), at);
            }
            Verdict::Dead => {
                self.due.clear(Key::Life(server));
                self.cut(server, None, "has died or gone silent");
                self.maybe_forget(server);
            }
        }
    }

    /// What stands at a core switch is cut, all of it or what stood before its new start.
    pub(super) fn cut(&mut self, server: ServerId, before: Option<Time>, why: &str) {
        let tags = self.calls.at_server.get(&server).cloned().unwrap_or_default();
        let old =
            |tag: &Tag| self.calls.standing.get(tag).is_some_and(|s| before.is_none_or(|t| s.since < t));
        let tags: Vec<Tag> = tags.into_iter().filter(old).collect();
        if tags.is_empty() {
            return;
        }
        self.log(format!("core switch {} {why}: {} standing calls are cut", server.0, tags.len()));
        for tag in tags {
            self.falls(tag, cause::TEMPORARY_FAILURE);
            // Should it be alive all the same, it must not keep what its caller has been told is over.
            self.links.owe(server, tag, cause::TEMPORARY_FAILURE);
        }
    }

    pub(super) fn stands(&mut self, tag: Tag, attempt: Attempt, blob: String) {
        let now = self.now;
        let Some(deadline) = self.calls.open.get(&tag).map(|c| c.deadline) else { return };
        if now >= deadline {
            // Too late for the caller, which hears nothing more.
            return self.lapse(tag);
        }
        if self.calls.standing.len() >= MAX_STANDING {
            return self.answer(tag, Message::new(Verb::Finish, tag).with_cause(cause::CONGESTION));
        }
        let Some(open) = self.drop_open(tag) else { return };
        if let Some((link, written)) = attempt.sent {
            if let Some(link) = self.links.links.get_mut(&link) {
                link.spend(now, tag, true, false);
            }
            self.events.push_back(Event::Established {
                call: CallId(tag.0),
                attempt: attempt.no,
                server: attempt.server,
                took: now.since(written),
            });
        }
        self.counters.established += 1;
        let standing =
            Standing { client: open.client, server: attempt.server, attempt: Some(attempt.no), since: now };
        self.calls.stand(tag, standing);
        let (client, line) = (open.client, written(&Message::new(Verb::Started, tag).with_description(blob)));
        if self.seats.is_in(client) {
            self.out.push(Output::NotifyCaller { client, tag, line });
        }
        self.served(open.client);
        self.watch_life(attempt.server);
    }

    /// Something stands there now: it is looked at from time to time.
    pub(super) fn watch_life(&mut self, server: ServerId) {
        if !self.due.is_set(Key::Life(server)) {
            self.look_after(server);
        }
    }

    /// A standing call is over by the core switch's word, or because it is lost there. Its client is told.
    pub(super) fn falls(&mut self, tag: Tag, rc: i64) {
        let Some(standing) = self.calls.fall(tag, Some(rc)) else { return };
        let outcome = if rc == cause::CLEARING { Outcome::Ended } else { Outcome::Reset };
        self.counters.calls_lost += u64::from(outcome == Outcome::Reset);
        self.standing_ended(tag, standing, outcome);
        self.tell_caller(Some(standing.client), tag, rc);
    }

    pub(super) fn standing_ended(&mut self, tag: Tag, standing: Standing, outcome: Outcome) {
        self.seats.stands(standing.client, false);
        if let Some(attempt) = standing.attempt {
            self.events.push_back(Event::Closed {
                call: CallId(tag.0),
                attempt,
                server: standing.server,
                done: true,
                outcome,
                detail: OutcomeDetail::None,
                took: self.now.since(standing.since),
                report: LoadReport::default(),
            });
        }
    }
}
