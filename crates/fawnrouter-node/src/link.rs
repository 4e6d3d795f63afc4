//! One connection to a core switch: the set-ups that are open on it, the calls that the switch releases on it,
//! and what may still arrive for ended attempts.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use fawnrouter::{ServerId, Time};
use fawnrouter_jsonl::Tag;

use crate::link_health::{LinkHealth, LinkStatus};

/// How long a connection remembers attempts that ended without the switch's answer.
const ENDED_ATTEMPT_LIFETIME: Duration = Duration::from_secs(12);
/// Most ended attempts that one connection remembers.
const MAX_ENDED_ATTEMPTS: usize = 256;
/// Most releases of one connection that are repeated on another one.
const MAX_UNCONFIRMED_RELEASES: usize = 256;

/// An attempt that the gateway has ended and the core switch has not answered.
#[derive(Clone, Copy, Debug)]
struct EndedAttempt {
    ended_at: Time,
    tag: Tag,
    /// The core switch has been sent a release for it.
    released: bool,
}

#[derive(Debug)]
pub(crate) struct Link {
    pub server: ServerId,
    pub up: bool,
    /// When the connection came up: the process that accepted it is the one that holds it open.
    pub connected_at: Time,
    /// Set-ups sent on this connection that are still open.
    pub open_set_ups: BTreeSet<Tag>,
    /// Established calls whose set-up was sent on this connection: the switch releases them on it.
    pub established_calls: usize,
    pub health: LinkHealth,
    /// Releases written since a message was last received. If the connection is lost, the switch may not have
    /// read them.
    unconfirmed_releases: VecDeque<(Tag, i64)>,
    ended_attempts: VecDeque<EndedAttempt>,
    pub last_used: Time,
}

impl Link {
    /// A connection that is being opened.
    pub fn new(now: Time, server: ServerId) -> Self {
        Self {
            server,
            up: false,
            connected_at: now,
            open_set_ups: BTreeSet::new(),
            established_calls: 0,
            health: LinkHealth::new(now),
            unconfirmed_releases: VecDeque::new(),
            ended_attempts: VecDeque::new(),
            last_used: now,
        }
    }

    /// Registers that the connection is up.
    pub fn connected(&mut self, now: Time) {
        (self.up, self.connected_at, self.last_used) = (true, now, now);
        self.health.use_begins(now);
    }

    /// Registers that a message was received, and returns how far the connection could be relied on until
    /// then.
    pub fn message_received(&mut self, now: Time) -> LinkStatus {
        let status = self.health.status(now);
        self.health.received(now);
        self.unconfirmed_releases.clear();
        status
    }

    /// Registers a set-up that is sent on this connection.
    pub fn start_attempt(&mut self, now: Time, tag: Tag) {
        if self.open_set_ups.is_empty() && self.established_calls == 0 {
            self.health.use_begins(now);
        }
        self.open_set_ups.insert(tag);
    }

    /// Registers a release that is written on this connection.
    pub fn release_sent(&mut self, tag: Tag, cause: i64) {
        self.unconfirmed_releases.push_back((tag, cause));
        if self.unconfirmed_releases.len() > MAX_UNCONFIRMED_RELEASES {
            self.unconfirmed_releases.pop_front();
        }
    }

    /// Takes the releases that the switch may not have read.
    pub fn take_unconfirmed_releases(&mut self) -> VecDeque<(Tag, i64)> {
        std::mem::take(&mut self.unconfirmed_releases)
    }

    /// Ends an attempt on this connection. Unless the core switch has `answered`, a late answer may still
    /// arrive; `released` says that a release is being sent to the switch now.
    pub fn end_attempt(&mut self, now: Time, tag: Tag, answered: bool, released: bool) {
        if !self.open_set_ups.remove(&tag) {
            return;
        }
        self.last_used = now;
        if answered {
            return;
        }
        if released {
            self.health.attempt_unanswered(now);
        }
        self.ended_attempts.push_back(EndedAttempt { ended_at: now, tag, released });
        while self.ended_attempts.len() > MAX_ENDED_ATTEMPTS
            || self.ended_attempts.front().is_some_and(|s| now.since(s.ended_at) > ENDED_ATTEMPT_LIFETIME)
        {
            self.ended_attempts.pop_front();
        }
    }

    /// Whether an attempt of the call was sent on this connection and not answered.
    pub fn carried_attempt_of(&self, tag: Tag) -> bool {
        self.open_set_ups.contains(&tag) || self.ended_attempts.iter().any(|s| s.tag == tag)
    }

    /// Whether a late answer to an ended attempt must be released. True once per attempt, which is then
    /// marked as released.
    pub fn take_late_release(&mut self, tag: Tag) -> bool {
        let unreleased = self.ended_attempts.iter_mut().find(|s| s.tag == tag && !s.released);
        unreleased.is_some_and(|s| !std::mem::replace(&mut s.released, true))
    }
}
