//! Connections to core switches and the messages that arrive on them.

use std::time::Duration;

use fawnrouter::{Outcome, OutcomeDetail, ServerId, ServerState};
use fawnrouter_jsonl::{Message, Tag, Verb};
use rand_core::RngCore;

use super::{LinkEnd, Node, Output, PROBE_TIMEOUT, Probe, TimerKey};
use crate::links::{LinkChoice, LinkId, LinkNeed};
use crate::liveness::Evidence;
use crate::request::cause;

/// Time that the driver may take to close a connection: the rest of what is written must be written first.
const CLOSE_TIME: Duration = Duration::from_millis(350);

/// Why a connection to a core switch is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RemovalReason {
    /// It carries no set-up and is closed in order.
    Idle,
    /// It failed or did not come up.
    Failed,
    /// It does not answer and is being closed, which the switch notices within [`CLOSE_TIME`].
    Dead,
}

impl Node {
    /// What connections to a core switch are needed for. A draining switch has nothing to send if no call of
    /// this gateway is established there. Without this rule hundreds of restarted gateways would connect to
    /// switches that are shutting down, and again when those are gone. Its cost: when a caller reports an
    /// established call at such a switch, the connection is opened only then, some milliseconds later.
    pub(super) fn link_need(&self, server: ServerId) -> LinkNeed {
        let listed = self.servers.get(&server).and_then(|s| s.listed.as_ref());
        match listed.map(|l| l.state) {
            Some(ServerState::Ready) => LinkNeed::SetUps,
            _ if self.calls.has_established_at(server) => LinkNeed::Releases,
            _ => LinkNeed::None,
        }
    }

    /// Opens the connections that a core switch lacks.
    pub(super) fn open_missing_links(&mut self, server: ServerId) {
        let need = self.link_need(server);
        for _ in 0..self.links.missing_links(self.now, server, need) {
            self.dial(server);
        }
        if let Some(next_dial) = self.links.next_dial(self.now, server) {
            self.timers.set(TimerKey::Redial(server), next_dial);
        }
    }

    /// Starts to open a connection.
    pub(super) fn dial(&mut self, server: ServerId) {
        let Some(address) = self.links.switches.get(&server).map(|s| s.address) else { return };
        let link = self.links.start_dial(self.now, server);
        self.counters.links_opened += 1;
        self.outputs.push(Output::OpenLink { link, address, within: self.connections.dial_timeout });
    }

    /// A connection is up: sends what waits for it.
    pub(super) fn link_up(&mut self, link: LinkId) {
        let Some(server) = self.links.link_up(self.now, link) else { return };
        self.record_evidence(server, Evidence::Connected);
        self.send_waiting_messages(server, link);
        self.open_missing_links(server);
    }

    /// Sends the releases that wait for a connection to a core switch on this one, and the set-ups on any.
    pub(super) fn send_waiting_messages(&mut self, server: ServerId, link: LinkId) {
        for (tag, rc) in self.links.take_pending_releases(server) {
            self.send_release(link, tag, rc);
        }
        for tag in self.links.take_queued_set_ups(server) {
            // An attempt that has timed out by now is not sent; its timer ends it later in this step.
            let in_time =
                self.calls.open.get(&tag).and_then(|c| c.attempt).is_some_and(|a| self.now < a.timeout_at);
            match self.links.choose_for_set_up(self.now, server, tag) {
                LinkChoice::Use(link) if in_time => self.send_set_up(tag, link),
                _ => self.links.queue_set_up(server, tag),
            }
        }
    }

    /// Closes a connection that carries no set-up.
    pub(super) fn close_link(&mut self, link: LinkId) {
        self.outputs.push(Output::CloseLink { link });
        self.remove_link(link, RemovalReason::Idle);
    }

    /// Closes a connection after an unusable message. The set-ups on it cannot be answered any more.
    pub(super) fn close_faulty_link(&mut self, link: LinkId, reason: &str) {
        self.counters.invalid_responses += 1;
        if let Some(l) = self.links.links.get(&link) {
            let server = l.server;
            self.log(format!("connection to core switch {} closed: {reason}", server.0));
            self.outputs.push(Output::CloseLink { link });
            self.remove_link(link, RemovalReason::Failed);
        }
    }

    /// Closes a connection that does not answer while the switch answers on others. The set-ups on it cannot
    /// be answered any more. What the switch wrote on it comes again on the next connection, which is opened
    /// only after the switch has noticed the close: what it still wrote on the dead one would be lost.
    pub(super) fn close_dead_link(&mut self, server: ServerId, link: LinkId) {
        self.counters.dead_links += 1;
        self.log(format!("connection {} to core switch {} closed: it does not answer", link.0, server.0));
        self.outputs.push(Output::CloseLink { link });
        self.remove_link(link, RemovalReason::Dead);
    }

    /// A connection has ended or did not come up.
    pub(super) fn link_down(&mut self, link: LinkId, end: LinkEnd) {
        let Some(l) = self.links.links.get(&link) else { return };
        let (server, now) = (l.server, self.now);
        if end == LinkEnd::Refused
            && let Some(s) = self.servers.get_mut(&server)
        {
            s.liveness.connection_refused(now);
        }
        self.remove_link(link, RemovalReason::Failed);
        // The switch cannot be reached, so the set-ups that wait for a connection have failed to get one.
        if end != LinkEnd::Broken && !self.links.has_responsive_link(now, server) {
            for tag in self.links.take_queued_set_ups(server) {
                self.attempt_failed(tag, Outcome::ConnectFailed, OutcomeDetail::None);
            }
        }
    }

    /// Removes a connection. Each set-up on it is reset, once. Such a call may have been established all the
    /// same, as its answer may have been damaged or lost, so it is released on another connection.
    pub(super) fn remove_link(&mut self, link: LinkId, reason: RemovalReason) {
        let failed = reason != RemovalReason::Idle;
        let unit = self.random_unit();
        let Some(mut gone) = self.links.remove_link(self.now, link, failed, unit) else { return };
        // What the switch wrote last may be lost with the connection; it is repeated on the next one opened.
        if gone.up
            && (failed || self.link_need(gone.server) != LinkNeed::SetUps)
            && let Some(s) = self.servers.get_mut(&gone.server)
        {
            let noticed_after = if reason == RemovalReason::Dead { CLOSE_TIME } else { Duration::ZERO };
            s.liveness.connection_lost(self.now.plus(noticed_after));
        }
        if failed {
            self.repeat_releases(gone.server, gone.take_unconfirmed_releases());
        }
        for tag in gone.open_set_ups {
            self.attempt_failed(tag, Outcome::Reset, OutcomeDetail::None);
            self.release_at_switch(gone.server, tag, cause::CLEARING);
        }
        self.open_missing_links(gone.server);
        self.check_liveness(gone.server);
    }

    /// Repeats releases that were written on a connection which is lost, as the switch may not have read
    /// them. Not those of a call that has been sent to the switch again meanwhile: they would end it.
    fn repeat_releases(&mut self, server: ServerId, releases: impl IntoIterator<Item = (Tag, i64)>) {
        for (tag, rc) in releases {
            let attempt = self.calls.open.get(&tag).and_then(|call| call.attempt);
            let established = self.calls.established.get(&tag);
            let current = attempt.map(|a| a.server).or(established.map(|call| call.server));
            if current != Some(server) {
                self.release_at_switch(server, tag, rc);
            }
        }
    }

    /// Records that something was received from a core switch.
    pub(super) fn record_evidence(&mut self, server: ServerId, evidence: Evidence) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.liveness.record(self.now, evidence);
        }
    }

    /// Sends a probe to a core switch; `false` if there is no connection for it.
    pub(super) fn probe(&mut self, server: ServerId, by_controller: bool) -> bool {
        let Some(link) = self.links.choose_for_probe(self.now, server) else { return false };
        let just_probed = self.links.links.get(&link).is_some_and(|l| l.health.awaits_probe(self.now));
        if by_controller || !just_probed {
            self.probe_link(server, link, by_controller);
        }
        true
    }

    /// Sends a probe on this connection.
    pub(super) fn probe_link(&mut self, server: ServerId, link: LinkId, by_controller: bool) {
        let now = self.now;
        if let Some(link) = self.links.links.get_mut(&link) {
            link.health.probed(now);
        }
        self.probes.retain(|_, probe| now.since(probe.sent_at) < PROBE_TIMEOUT);
        let tag = Tag(self.rng.next_u64());
        self.probes.insert(tag, Probe { server, link, sent_at: now, by_controller });
        self.counters.probes += 1;
        self.send_to_switch(link, &Message::new(Verb::Echo, tag).with_cause(0));
    }
}
