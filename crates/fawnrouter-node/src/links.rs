//! Connections to core switches: which set-up goes on which, how many there are, when a lost one is opened again.
//!
//! Several to each, since one spoilt answer makes a connection useless with all set-ups on it. A set-up goes on the
//! connection with the fewest, and never on one that carried an attempt of the same call whose end the core switch has
//! not told: the id does not tell attempts apart, the connection does.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use fawnrouter::{ServerId, Time};
use fawnrouter_jsonl::Tag;
use fawnrouter_machine::{Backoff, BackoffSettings};

/// A connection to a core switch. Numbers are never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Connections that are kept up to one that takes set-ups. Hundreds of gateways see each core switch once in some
/// seconds: a second one that nothing is sent on is paid for by all of them and holds a place there.
const MIN_LINKS_PER_SWITCH: usize = 1;
/// Set-ups that share a connection before another is opened: what is lost with one spoilt answer.
const SET_UPS_PER_SHARED_LINK: usize = 2;
/// Connections to one core switch at the most; more set-ups than that at once share.
const MAX_LINKS_PER_SWITCH: usize = 8;
/// Connections that are opened at once to one that does not answer.
const MAX_DIALS_PER_SWITCH: usize = 2;
/// Pauses between lost connections and the next ones.
const DIAL_BACKOFF: BackoffSettings =
    BackoffSettings { initial: Duration::from_millis(40), max: Duration::from_millis(500) };
/// Share of the platform's idle time after which an idle connection is replaced, so that no set-up crosses its close.
const IDLE_REPLACE_FRACTION: f64 = 0.7;
/// Attempts that were given up are remembered so long on their connection, and so many.
const SPENT: (Duration, usize) = (Duration::from_secs(12), 256);
/// Releases that wait for a connection, to one core switch; beyond it the oldest go unsaid.
const MAX_PENDING_RELEASES: usize = 1024;

/// What a core switch needs connections for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkNeed {
    /// It takes set-ups.
    SetUps,
    /// It may still say something.
    Releases,
    /// Nothing.
    None,
}

/// An attempt on a connection that is over for this gateway.
#[derive(Clone, Copy, Debug)]
struct EndedAttempt {
    ended_at: Time,
    tag: Tag,
    /// The core switch has been told that it is given up.
    released: bool,
}

#[derive(Debug)]
pub(crate) struct Link {
    pub server: ServerId,
    pub up: bool,
    /// Set-ups out on it.
    pub open_set_ups: BTreeSet<Tag>,
    ended_attempts: VecDeque<EndedAttempt>,
    last_used: Time,
}

impl Link {
    /// An attempt on it is over. Unless the core switch has told its end, something may still come of it; `released`: it
    /// is told now that nothing is wanted of it any more.
    pub fn end_attempt(&mut self, now: Time, tag: Tag, answered: bool, released: bool) {
        if !self.open_set_ups.remove(&tag) {
            return;
        }
        self.last_used = now;
        if answered {
            return;
        }
        self.ended_attempts.push_back(EndedAttempt { ended_at: now, tag, released });
        while self.ended_attempts.len() > SPENT.1
            || self.ended_attempts.front().is_some_and(|s| now.since(s.ended_at) > SPENT.0)
        {
            self.ended_attempts.pop_front();
        }
    }

    fn has_carried(&self, tag: Tag) -> bool {
        self.open_set_ups.contains(&tag) || self.ended_attempts.iter().any(|s| s.tag == tag)
    }

    /// Whether a call that comes to stand by an attempt that is over is to be released: once.
    pub fn mark_late_release(&mut self, tag: Tag) -> bool {
        let unreleased = self.ended_attempts.iter_mut().find(|s| s.tag == tag && !s.released);
        unreleased.is_some_and(|s| !std::mem::replace(&mut s.released, true))
    }
}

/// One core switch as far as connections go.
#[derive(Debug)]
pub(crate) struct SwitchLinks {
    pub address: SocketAddr,
    pub links: BTreeSet<LinkId>,
    /// Set-ups that wait for a connection, in order.
    pub waiting_set_ups: VecDeque<Tag>,
    /// Releases that wait for one.
    pending_releases: VecDeque<(Tag, i64)>,
    backoff: Backoff,
    pub next_dial_at: Time,
}

/// All connections.
#[derive(Debug)]
pub(crate) struct Links {
    pub links: BTreeMap<LinkId, Link>,
    pub switches: BTreeMap<ServerId, SwitchLinks>,
    /// Connections that there may be in all.
    max_links: usize,
    max_set_ups_per_link: usize,
    replace_idle_after: Duration,
    next_id: u64,
}

/// Where a set-up goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkChoice {
    /// On this connection.
    Use(LinkId),
    /// On the next that comes up.
    Wait,
}

impl Links {
    pub fn new(max_links: usize, max_set_ups_per_link: usize, idle_timeout: Duration) -> Self {
        let replace_idle_after = idle_timeout.mul_f64(IDLE_REPLACE_FRACTION);
        Self {
            links: BTreeMap::new(),
            switches: BTreeMap::new(),
            max_links,
            max_set_ups_per_link,
            replace_idle_after,
            next_id: 0,
        }
    }

    pub fn switch_entry(&mut self, server: ServerId, address: SocketAddr) -> &mut SwitchLinks {
        self.switches.entry(server).or_insert_with(|| SwitchLinks {
            address,
            links: BTreeSet::new(),
            waiting_set_ups: VecDeque::new(),
            pending_releases: VecDeque::new(),
            backoff: Backoff::default(),
            next_dial_at: Time::default(),
        })
    }

    fn links_to(&self, server: ServerId) -> impl Iterator<Item = (LinkId, &Link)> {
        let ids = self.switches.get(&server).into_iter().flat_map(|s| &s.links);
        ids.filter_map(|id| self.links.get(id).map(|l| (*id, l)))
    }

    pub fn has_link_up(&self, server: ServerId) -> bool {
        self.links_to(server).any(|(_, l)| l.up)
    }

    /// The connection for a set-up.
    pub fn choose_for_set_up(&self, server: ServerId, tag: Tag) -> LinkChoice {
        let fit = self
            .links_to(server)
            .filter(|(_, l)| l.up && l.open_set_ups.len() < self.max_set_ups_per_link && !l.has_carried(tag));
        fit.min_by_key(|(id, l)| (l.open_set_ups.len(), *id))
            .map_or(LinkChoice::Wait, |(id, _)| LinkChoice::Use(id))
    }

    /// A connection for a release: any that is up, as a standing call is bound to none.
    pub fn choose_for_release(&self, server: ServerId) -> Option<LinkId> {
        self.links_to(server).find(|(_, l)| l.up).map(|(id, _)| id)
    }

    /// A release that waits for a connection.
    pub fn add_pending_release(&mut self, server: ServerId, tag: Tag, cause: i64) {
        if let Some(switch) = self.switches.get_mut(&server) {
            switch.pending_releases.push_back((tag, cause));
            if switch.pending_releases.len() > MAX_PENDING_RELEASES {
                switch.pending_releases.pop_front();
            }
        }
    }

    /// What waited to be released there.
    pub fn take_pending_releases(&mut self, server: ServerId) -> Vec<(Tag, i64)> {
        self.switches.get_mut(&server).map(|s| s.pending_releases.drain(..).collect()).unwrap_or_default()
    }

    /// A new attempt of the call goes there: an old release must not end it.
    pub fn drop_pending_release(&mut self, server: ServerId, tag: Tag) {
        if let Some(switch) = self.switches.get_mut(&server) {
            switch.pending_releases.retain(|(t, _)| *t != tag);
        }
    }

    /// How many more connections are to be opened now.
    pub fn missing_links(&self, now: Time, server: ServerId, need: LinkNeed) -> usize {
        let Some(switch) = self.switches.get(&server) else { return 0 };
        let (mut up, mut shared, mut opening) = (0, 0, 0);
        for (_, link) in self.links_to(server) {
            if link.up {
                up += 1;
                shared += usize::from(link.open_set_ups.len() >= SET_UPS_PER_SHARED_LINK);
            } else {
                opening += 1;
            }
        }
        let wanted = match need {
            LinkNeed::None if switch.waiting_set_ups.is_empty() && switch.pending_releases.is_empty() => 0,
            LinkNeed::None | LinkNeed::Releases => 1,
            // What waits although some are up can use none of those: all have carried its call.
            LinkNeed::SetUps if !switch.waiting_set_ups.is_empty() => {
                (up + switch.waiting_set_ups.len()).clamp(MIN_LINKS_PER_SWITCH, MAX_LINKS_PER_SWITCH)
            }
            // One more than are shared: the next set-up need not be the third on any.
            LinkNeed::SetUps => (shared + 1).clamp(MIN_LINKS_PER_SWITCH, MAX_LINKS_PER_SWITCH),
        };
        // Each core switch has its part of the whole.
        let part = (self.max_links / self.switches.len().max(1)).max(1);
        let room = self.max_links.saturating_sub(self.links.len());
        let missing = wanted.min(part).saturating_sub(up + opening);
        if now < switch.next_dial_at {
            0
        } else {
            missing.min(MAX_DIALS_PER_SWITCH.saturating_sub(opening)).min(room)
        }
    }

    /// Whether one more connection may be tried, beyond those that are wanted: none is under way, and there is room.
    pub fn may_open_extra_link(&self, server: ServerId) -> bool {
        self.links.len() < self.max_links && self.links_to(server).all(|(_, l)| l.up)
    }

    /// A connection is being opened.
    pub fn start_dial(&mut self, now: Time, server: ServerId) -> LinkId {
        self.next_id += 1;
        let id = LinkId(self.next_id);
        let link = Link {
            server,
            up: false,
            open_set_ups: BTreeSet::new(),
            ended_attempts: VecDeque::new(),
            last_used: now,
        };
        self.links.insert(id, link);
        if let Some(switch) = self.switches.get_mut(&server) {
            switch.links.insert(id);
        }
        id
    }

    /// It is up; whose it is.
    pub fn link_up(&mut self, now: Time, id: LinkId) -> Option<ServerId> {
        let link = self.links.get_mut(&id)?;
        (link.up, link.last_used) = (true, now);
        if let Some(switch) = self.switches.get_mut(&link.server) {
            switch.backoff.reset();
        }
        Some(link.server)
    }

    /// It is no more. After a failure the next is opened no sooner than after a pause; `unit` places it.
    pub fn remove_link(&mut self, now: Time, id: LinkId, failed: bool, unit: f64) -> Option<Link> {
        let link = self.links.remove(&id)?;
        if let Some(switch) = self.switches.get_mut(&link.server) {
            switch.links.remove(&id);
            if failed {
                switch.next_dial_at =
                    switch.next_dial_at.max(now.plus(switch.backoff.next_pause(&DIAL_BACKOFF, unit)));
            }
        }
        Some(link)
    }

    /// Connections that carry nothing, to core switches for which nothing waits.
    pub fn idle_links(&self) -> impl Iterator<Item = (LinkId, ServerId)> {
        let wanted = |s: &ServerId| {
            self.switches
                .get(s)
                .is_some_and(|s| !s.waiting_set_ups.is_empty() || !s.pending_releases.is_empty())
        };
        let idle =
            self.links.iter().filter(move |(_, l)| l.up && l.open_set_ups.is_empty() && !wanted(&l.server));
        idle.map(|(id, l)| (*id, l.server))
    }

    /// Whether a release waits for a connection, to whichever core switch.
    pub fn has_pending_releases(&self) -> bool {
        self.switches.values().any(|s| !s.pending_releases.is_empty())
    }

    /// Connections that have been idle for long enough to be replaced.
    pub fn links_idle_too_long(&self, now: Time) -> Vec<LinkId> {
        let stale =
            |l: &Link| l.up && l.open_set_ups.is_empty() && now.since(l.last_used) >= self.replace_idle_after;
        self.links.iter().filter(|(_, l)| stale(l)).map(|(id, _)| *id).collect()
    }

    /// Set-ups waiting for a connection to this switch, oldest first, are over.
    pub fn take_queued_set_ups(&mut self, server: ServerId) -> Vec<Tag> {
        self.switches.get_mut(&server).map(|s| s.waiting_set_ups.drain(..).collect()).unwrap_or_default()
    }

    /// This set-up waits for the next connection that comes up.
    pub fn queue_set_up(&mut self, server: ServerId, tag: Tag) {
        if let Some(switch) = self.switches.get_mut(&server) {
            switch.waiting_set_ups.push_back(tag);
        }
    }

    pub fn remove_queued_set_up(&mut self, server: ServerId, tag: Tag) {
        if let Some(switch) = self.switches.get_mut(&server) {
            switch.waiting_set_ups.retain(|t| *t != tag);
        }
    }
}
