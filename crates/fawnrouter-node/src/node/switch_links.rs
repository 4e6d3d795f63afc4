//! Connections to core switches and what comes on them.

use std::time::Duration;

use fawnrouter::{Event, Outcome, OutcomeDetail, ServerId, ServerState};
use fawnrouter_jsonl::{Message, Tag, Verb};
use rand_core::RngCore;

use super::{Key, LinkEnd, Node, Output, PROBE_MEMORY, TEST_PASSED};
use crate::links::{LinkId, Need, Pick};
use crate::liveness::Sign;
use crate::request::cause;

impl Node {
    /// What connections to a core switch are needed for. One that drains has nothing to say where no call of this
    /// gateway's stands there. Guards against connections that hundreds of restarted gateways open to switches on
    /// their way out, and again when those are gone. Could do harm where a caller names a call that stands there: the
    /// connection is opened then, some milliseconds later.
    pub(super) fn need(&self, server: ServerId) -> Need {
        let listed = self.servers.get(&server).and_then(|s| s.listed.as_ref());
        match listed.map(|l| l.state) {
            Some(ServerState::Ready) => Need::SetUps,
            _ if self.calls.stands_at(server) => Need::Releases,
            _ => Need::None,
        }
    }

    /// Opens the connections that a core switch is short of.
    pub(super) fn tend(&mut self, server: ServerId) {
        let need = self.need(server);
        for _ in 0..self.links.wanting(self.now, server, need) {
            self.dial(server);
        }
        if let Some(site) = self.links.sites.get(&server)
            && self.now < site.not_before
        {
            self.due.set(Key::Redial(server), site.not_before);
        }
    }

    /// Begins a connection.
    pub(super) fn dial(&mut self, server: ServerId) {
        let Some(address) = self.links.sites.get(&server).map(|s| s.address) else { return };
        let link = self.links.open(self.now, server);
        self.out.push(Output::OpenLink { link, address, within: self.sockets.dial_timeout });
    }

    pub(super) fn link_up(&mut self, link: LinkId) {
        let Some(server) = self.links.up(self.now, link) else { return };
        self.sign(server, Sign::Connected);
        for (tag, rc) in self.links.owed(server) {
            self.tell_switch(link, &Message::new(Verb::Finish, tag).with_cause(rc));
        }
        for tag in self.links.take_waiting(server) {
            // What is over by now ends in this turn, and is not sent before.
            let in_time = self.calls.open.get(&tag).and_then(|c| c.out).is_some_and(|a| self.now < a.until);
            match self.links.pick(server, tag) {
                Pick::On(link) if in_time => self.send(tag, link),
                _ => self.links.wait(server, tag),
            }
        }
        self.tend(server);
    }

    /// Closes a connection that carries nothing any more.
    pub(super) fn close_link(&mut self, link: LinkId) {
        self.out.push(Output::CloseLink { link });
        self.link_gone(link, false);
    }

    /// A spoilt answer: the connection is of no further use, nor are the set-ups on it.
    pub(super) fn link_fault(&mut self, link: LinkId, why: &str) {
        self.counters.invalid_responses += 1;
        if let Some(l) = self.links.links.get(&link) {
            let server = l.server;
            self.log(format!("connection to core switch {} closed: {why}", server.0));
            self.out.push(Output::CloseLink { link });
            self.link_gone(link, true);
        }
    }

    pub(super) fn link_down(&mut self, link: LinkId, end: LinkEnd) {
        let Some(l) = self.links.links.get(&link) else { return };
        let (server, now) = (l.server, self.now);
        if end == LinkEnd::Refused
            && let Some(s) = self.servers.get_mut(&server)
        {
            s.life.refused(now);
        }
        self.link_gone(link, true);
        // Nobody there to wait for: those that wait for a connection have failed to get one.
        if end != LinkEnd::Broken && !self.links.is_up(server) {
            for tag in self.links.take_waiting(server) {
                self.attempt_ended(tag, Outcome::ConnectFailed, OutcomeDetail::None);
            }
        }
    }

    /// A connection is no more: each set-up out on it has been reset, once. It may stand all the same, as an answer
    /// may have been spoilt or lost, so it is released on another connection.
    pub(super) fn link_gone(&mut self, link: LinkId, failed: bool) {
        let unit = self.unit();
        let Some(gone) = self.links.down(self.now, link, failed, unit) else { return };
        // What it wrote last may be lost with the connection, and comes again on the next one opened.
        if gone.up
            && (failed || self.need(gone.server) != Need::SetUps)
            && let Some(s) = self.servers.get_mut(&gone.server)
        {
            s.life.lost();
        }
        for tag in gone.open {
            self.attempt_ended(tag, Outcome::Reset, OutcomeDetail::None);
            self.release(gone.server, tag, cause::CLEARING);
        }
        self.tend(gone.server);
        self.look_after(gone.server);
    }

    pub(super) fn link_message(&mut self, link: LinkId, message: Message) {
        let Some(l) = self.links.links.get(&link) else { return };
        let (server, tag, now) = (l.server, message.tag, self.now);
        let finish = message.verb == Verb::Finish;
        let stood = finish && self.calls.standing.get(&tag).is_some_and(|s| s.server == server);
        let sign = match message.verb {
            Verb::Load => Sign::Works,
            Verb::Finish if stood => Sign::Release,
            _ => Sign::Byte,
        };
        self.sign(server, sign);
        // Free circuits and the like come by themselves, or with an answer.
        let report = message.opts.get("load").and_then(|l| l.as_str()).map(fawnrouter_bootinfo::parse_report);
        let here = self
            .calls
            .open
            .get(&tag)
            .and_then(|c| c.out)
            .filter(|a| a.sent.is_some_and(|(at, _)| at == link));
        match message.verb {
            Verb::Started => {
                let Some(attempt) = here else { return self.late_answer(link, server, tag) };
                match message.blob {
                    Some(blob) if !blob.is_empty() => self.stands(tag, attempt, blob),
                    _ => self.link_fault(link, "an answer without a description"),
                }
            }
            Verb::Finish => {
                let Some(rc) = message.rc else { return self.link_fault(link, "a release without a cause") };
                if here.is_some() {
                    let note = match message.opts.get("note").and_then(|n| n.as_str()) {
                        Some("group_full") => OutcomeDetail::NoCircuit,
                        Some("processor_full") => OutcomeDetail::ProcessorFull(None),
                        Some("user_busy") => OutcomeDetail::NumberBusy,
                        _ => OutcomeDetail::None,
                    };
                    let outcome = match rc {
                        34 => Outcome::Full,
                        17 | 47 => Outcome::Error,
                        102 => Outcome::Moot,
                        _ => Outcome::Reset,
                    };
                    let told = outcome != Outcome::Reset;
                    return self.attempt_over(tag, outcome, note, report.unwrap_or_default(), told);
                }
                if stood {
                    self.tell_switch(link, &Message::new(Verb::Finished, tag));
                    self.falls(tag, rc);
                } else if !self.calls.open.contains_key(&tag) && !self.calls.ended.has(tag) {
                    self.tell_switch(link, &Message::new(Verb::Finished, tag));
                    self.calls.unclaimed.put(tag, rc);
                }
            }
            Verb::Echoed => {
                if let Some((server, sent, asked)) = self.probes.remove(&tag)
                    && asked
                {
                    let (ok, took) = (message.rc == Some(TEST_PASSED), now.since(sent));
                    let report = report.unwrap_or_default();
                    self.events.push_back(Event::Probed { server, ok, took, report });
                }
            }
            Verb::Load => {
                if let Some(report) = report {
                    self.events.push_back(Event::Probed { server, ok: true, took: Duration::ZERO, report });
                }
            }
            Verb::Start | Verb::Pending | Verb::Finished | Verb::Echo | Verb::Other => {}
        }
    }

    /// An answer to an attempt that is over: the call that stands there is nobody's. Left alone where the call stands at
    /// that core switch by another attempt, whose second copy this may be.
    fn late_answer(&mut self, link: LinkId, server: ServerId, tag: Tag) {
        let stands = self.calls.standing.get(&tag).is_some_and(|s| s.server == server);
        if !stands && self.links.links.get_mut(&link).is_some_and(|l| l.release_late(tag)) {
            self.tell_switch(link, &Message::new(Verb::Finish, tag).with_cause(cause::CLEARING));
        }
    }

    pub(super) fn sign(&mut self, server: ServerId, sign: Sign) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.life.sign(self.now, sign);
        }
    }

    /// Sends a test; `false` if there is no connection for it.
    pub(super) fn probe(&mut self, server: ServerId, asked: bool) -> bool {
        let Some(link) = self.links.for_release(server) else { return false };
        let now = self.now;
        self.probes.retain(|_, (_, sent, _)| now.since(*sent) < PROBE_MEMORY);
        let tag = Tag(self.rng.next_u64());
        self.probes.insert(tag, (server, now, asked));
        self.tell_switch(link, &Message::new(Verb::Echo, tag).with_cause(0));
        true
    }
}
