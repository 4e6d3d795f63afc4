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
const KEPT: usize = 1;
/// Set-ups that share a connection before another is opened: what is lost with one spoilt answer.
const SHARE: usize = 2;
/// Connections to one core switch at the most; more set-ups than that at once share.
const MOST: usize = 8;
/// Connections that are opened at once to one that does not answer.
const DIALS: usize = 2;
/// Pauses between lost connections and the next ones.
const BACKOFF: BackoffSettings =
    BackoffSettings { initial: Duration::from_millis(40), max: Duration::from_millis(500) };
/// Share of the platform's idle time after which an idle connection is replaced, so that no set-up crosses its close.
const IDLE_SHARE: f64 = 0.7;
/// Attempts that were given up are remembered so long on their connection, and so many.
const SPENT: (Duration, usize) = (Duration::from_secs(12), 256);
/// Releases that wait for a connection, to one core switch; beyond it the oldest go unsaid.
const MAX_OWED: usize = 1024;

/// What a core switch needs connections for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Need {
    /// It takes set-ups.
    SetUps,
    /// It may still say something.
    Releases,
    /// Nothing.
    None,
}

/// An attempt on a connection that is over for this gateway.
#[derive(Clone, Copy, Debug)]
struct Spent {
    at: Time,
    tag: Tag,
    /// The core switch has been told that it is given up.
    released: bool,
}

#[derive(Debug)]
pub(crate) struct Link {
    pub server: ServerId,
    pub up: bool,
    /// Set-ups out on it.
    pub open: BTreeSet<Tag>,
    spent: VecDeque<Spent>,
    used: Time,
}

impl Link {
    /// An attempt on it is over. Unless the core switch has told its end, something may still come of it; `released`: it
    /// is told now that nothing is wanted of it any more.
    pub fn spend(&mut self, now: Time, tag: Tag, told: bool, released: bool) {
        if !self.open.remove(&tag) {
            return;
        }
        self.used = now;
        if told {
            return;
        }
        self.spent.push_back(Spent { at: now, tag, released });
        while self.spent.len() > SPENT.1 || self.spent.front().is_some_and(|s| now.since(s.at) > SPENT.0) {
            self.spent.pop_front();
        }
    }

    fn carried(&self, tag: Tag) -> bool {
        self.open.contains(&tag) || self.spent.iter().any(|s| s.tag == tag)
    }

    /// Whether a call that comes to stand by an attempt that is over is to be released: once.
    pub fn release_late(&mut self, tag: Tag) -> bool {
        let unreleased = self.spent.iter_mut().find(|s| s.tag == tag && !s.released);
        unreleased.is_some_and(|s| !std::mem::replace(&mut s.released, true))
    }
}

/// One core switch as far as connections go.
#[derive(Debug)]
pub(crate) struct Site {
    pub address: SocketAddr,
    pub links: BTreeSet<LinkId>,
    /// Set-ups that wait for a connection, in order.
    pub waiting: VecDeque<Tag>,
    /// Releases that wait for one.
    owed: VecDeque<(Tag, i64)>,
    backoff: Backoff,
    pub not_before: Time,
}

/// All connections.
#[derive(Debug)]
pub(crate) struct Links {
    pub links: BTreeMap<LinkId, Link>,
    pub sites: BTreeMap<ServerId, Site>,
    /// Connections that there may be in all.
    most: usize,
    multiplex: usize,
    idle: Duration,
    next: u64,
}

/// Where a set-up goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pick {
    /// On this connection.
    On(LinkId),
    /// On the next that comes up.
    Wait,
}

impl Links {
    pub fn new(most: usize, multiplex: usize, idle: Duration) -> Self {
        let idle = idle.mul_f64(IDLE_SHARE);
        Self { links: BTreeMap::new(), sites: BTreeMap::new(), most, multiplex, idle, next: 0 }
    }

    pub fn site(&mut self, server: ServerId, address: SocketAddr) -> &mut Site {
        self.sites.entry(server).or_insert_with(|| Site {
            address,
            links: BTreeSet::new(),
            waiting: VecDeque::new(),
            owed: VecDeque::new(),
            backoff: Backoff::default(),
            not_before: Time::default(),
        })
    }

    fn of(&self, server: ServerId) -> impl Iterator<Item = (LinkId, &Link)> {
        let ids = self.sites.get(&server).into_iter().flat_map(|s| &s.links);
        ids.filter_map(|id| self.links.get(id).map(|l| (*id, l)))
    }

    pub fn is_up(&self, server: ServerId) -> bool {
        self.of(server).any(|(_, l)| l.up)
    }

    /// The connection for a set-up.
    pub fn pick(&self, server: ServerId, tag: Tag) -> Pick {
        let fit = self.of(server).filter(|(_, l)| l.up && l.open.len() < self.multiplex && !l.carried(tag));
        fit.min_by_key(|(id, l)| (l.open.len(), *id)).map_or(Pick::Wait, |(id, _)| Pick::On(id))
    }

    /// A connection for a release: any that is up, as a standing call is bound to none.
    pub fn for_release(&self, server: ServerId) -> Option<LinkId> {
        self.of(server).find(|(_, l)| l.up).map(|(id, _)| id)
    }

    /// A release that waits for a connection.
    pub fn owe(&mut self, server: ServerId, tag: Tag, cause: i64) {
        if let Some(site) = self.sites.get_mut(&server) {
            site.owed.push_back((tag, cause));
            if site.owed.len() > MAX_OWED {
                site.owed.pop_front();
            }
        }
    }

    /// What waited to be released there.
    pub fn owed(&mut self, server: ServerId) -> Vec<(Tag, i64)> {
        self.sites.get_mut(&server).map(|s| s.owed.drain(..).collect()).unwrap_or_default()
    }

    /// A new attempt of the call goes there: an old release must not end it.
    pub fn forgive(&mut self, server: ServerId, tag: Tag) {
        if let Some(site) = self.sites.get_mut(&server) {
            site.owed.retain(|(t, _)| *t != tag);
        }
    }

    /// How many more connections are to be opened now.
    pub fn wanting(&self, now: Time, server: ServerId, need: Need) -> usize {
        let Some(site) = self.sites.get(&server) else { return 0 };
        let (mut up, mut shared, mut opening) = (0, 0, 0);
        for (_, link) in self.of(server) {
            if link.up {
                up += 1;
                shared += usize::from(link.open.len() >= SHARE);
            } else {
                opening += 1;
            }
        }
        let wanted = match need {
            Need::None if site.waiting.is_empty() && site.owed.is_empty() => 0,
            Need::None | Need::Releases => 1,
            // What waits although some are up can use none of those: all have carried its call.
            Need::SetUps if !site.waiting.is_empty() => (up + site.waiting.len()).clamp(KEPT, MOST),
            // One more than are shared: the next set-up need not be the third on any.
            Need::SetUps => (shared + 1).clamp(KEPT, MOST),
        };
        // Each core switch has its part of the whole.
        let part = (self.most / self.sites.len().max(1)).max(1);
        let room = self.most.saturating_sub(self.links.len());
        let missing = wanted.min(part).saturating_sub(up + opening);
        if now < site.not_before { 0 } else { missing.min(DIALS.saturating_sub(opening)).min(room) }
    }

    /// Whether one more connection may be tried, beyond those that are wanted: none is under way, and there is room.
    pub fn may_knock(&self, server: ServerId) -> bool {
        self.links.len() < self.most && self.of(server).all(|(_, l)| l.up)
    }

    /// A connection is being opened.
    pub fn open(&mut self, now: Time, server: ServerId) -> LinkId {
        self.next += 1;
        let id = LinkId(self.next);
        let link = Link { server, up: false, open: BTreeSet::new(), spent: VecDeque::new(), used: now };
        self.links.insert(id, link);
        if let Some(site) = self.sites.get_mut(&server) {
            site.links.insert(id);
        }
        id
    }

    /// It is up; whose it is.
    pub fn up(&mut self, now: Time, id: LinkId) -> Option<ServerId> {
        let link = self.links.get_mut(&id)?;
        (link.up, link.used) = (true, now);
        if let Some(site) = self.sites.get_mut(&link.server) {
            site.backoff.reset();
        }
        Some(link.server)
    }

    /// It is no more. After a failure the next is opened no sooner than after a pause; `unit` places it.
    pub fn down(&mut self, now: Time, id: LinkId, failed: bool, unit: f64) -> Option<Link> {
        let link = self.links.remove(&id)?;
        if let Some(site) = self.sites.get_mut(&link.server) {
            site.links.remove(&id);
            if failed {
                site.not_before = site.not_before.max(now.plus(site.backoff.next_pause(&BACKOFF, unit)));
            }
        }
        Some(link)
    }

    /// Connections that carry nothing, to core switches for which nothing waits.
    pub fn idle(&self) -> impl Iterator<Item = (LinkId, ServerId)> {
        let wanted =
            |s: &ServerId| self.sites.get(s).is_some_and(|s| !s.waiting.is_empty() || !s.owed.is_empty());
        let idle = self.links.iter().filter(move |(_, l)| l.up && l.open.is_empty() && !wanted(&l.server));
        idle.map(|(id, l)| (*id, l.server))
    }

    /// Whether a release waits for a connection, to whichever core switch.
    pub fn owes(&self) -> bool {
        self.sites.values().any(|s| !s.owed.is_empty())
    }

    /// Connections that have been idle for long enough to be replaced.
    pub fn stale(&self, now: Time) -> Vec<LinkId> {
        let stale = |l: &Link| l.up && l.open.is_empty() && now.since(l.used) >= self.idle;
        self.links.iter().filter(|(_, l)| stale(l)).map(|(id, _)| *id).collect()
    }

    /// Set-ups waiting for a connection to this switch, oldest first, are over.
    pub fn take_waiting(&mut self, server: ServerId) -> Vec<Tag> {
        self.sites.get_mut(&server).map(|s| s.waiting.drain(..).collect()).unwrap_or_default()
    }

    /// This set-up waits for the next connection that comes up.
    pub fn wait(&mut self, server: ServerId, tag: Tag) {
        if let Some(site) = self.sites.get_mut(&server) {
            site.waiting.push_back(tag);
        }
    }

    pub fn stop_waiting(&mut self, server: ServerId, tag: Tag) {
        if let Some(site) = self.sites.get_mut(&server) {
            site.waiting.retain(|t| *t != tag);
        }
    }
}
