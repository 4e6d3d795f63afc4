//! Checks of single connections to core switches, and what is done about one that does not answer.

use fawnrouter::{ServerId, Time};

use super::{Node, TimerKey};
use crate::link_health::{LinkCheck, LinkStatus, QUIET_TIME};
use crate::links::LinkId;

impl Node {
    /// Starts the checks of the connections to a core switch, of which one is used now, unless they run.
    pub(super) fn start_link_checks(&mut self, server: ServerId) {
        if !self.timers.is_set(TimerKey::LinkCheck(server)) {
            self.timers.set(TimerKey::LinkCheck(server), self.now.plus(QUIET_TIME));
        }
    }

    /// Records on which connection a set-up or a probe sent at `asked_at` was answered.
    pub(super) fn question_answered(&mut self, link: LinkId, asked_at: Time) {
        if let Some(link) = self.links.links.get_mut(&link) {
            link.health.answered(asked_at);
        }
    }

    /// Checks the connections to a core switch: probes those in doubt and closes dead ones.
    pub(super) fn check_links(&mut self, server: ServerId) {
        let ids: Vec<LinkId> = self.links.links_to(server).map(|(id, _)| id).collect();
        let mut next_check: Option<Time> = None;
        for link in ids {
            if let Some(at) = self.check_link(server, link) {
                next_check = Some(next_check.map_or(at, |next| next.min(at)));
            }
        }
        match next_check {
            Some(at) => self.timers.set(TimerKey::LinkCheck(server), at),
            None => self.timers.clear(TimerKey::LinkCheck(server)),
        }
    }

    /// Checks one connection and returns when to check it again.
    fn check_link(&mut self, server: ServerId, link: LinkId) -> Option<Time> {
        let established = self.calls.established_at(server);
        match self.links.check_link(self.now, link, established) {
            LinkCheck::Idle => None,
            LinkCheck::CheckAgain(at) => Some(at),
            LinkCheck::Probe => {
                self.probe_link(server, link, false);
                match self.links.check_link(self.now, link, established) {
                    LinkCheck::CheckAgain(at) => Some(at),
                    _ => None,
                }
            }
            LinkCheck::ProbeAnother(check_again_at) => {
                let best = self.links.choose_for_release(self.now, server);
                if let Some(other) = best.filter(|other| self.is_trusted(*other)) {
                    self.probe_link(server, other, false);
                }
                Some(check_again_at)
            }
            LinkCheck::Dead => {
                self.close_dead_link(server, link);
                None
            }
        }
    }

    fn is_trusted(&self, link: LinkId) -> bool {
        self.links.links.get(&link).is_some_and(|l| l.health.status(self.now) == LinkStatus::Trusted)
    }
}
