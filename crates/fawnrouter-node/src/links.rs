//! Connections to core switches: which one a set-up is sent on, how many are kept, and when a lost one is
//! opened again.
//!
//! Each core switch gets several connections, because one unusable answer ends its connection and all set-ups
//! on it. A set-up goes on the connection with the fewest open set-ups, and never on one that carried an
//! attempt of the same call that the core switch has not answered: the call's id is the same for all its
//! attempts, so only the connection tells them apart.
//!
//! Nothing is written on a connection that does not answer ([`crate::link_health`]) while there is another
//! one. If there is none, one is opened for what waits, and further ones ever more seldom
//! ([`REPLACEMENT_PAUSE`]): a switch of which no connection answers is more likely at fault itself.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use fawnrouter::{ServerId, Time};
use fawnrouter_jsonl::Tag;
use fawnrouter_machine::{Backoff, BackoffSettings};

use crate::link::Link;
use crate::link_health::{LinkCheck, LinkStatus};

/// A connection to a core switch. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Connections that are kept open to a switch that takes set-ups. Hundreds of gateways send to each core
/// switch once every few seconds, so a second unused connection would cost all of them, and take a place at
/// the switch.
const MIN_LINKS_PER_SWITCH: usize = 1;
/// Open set-ups on a connection at which another one is opened. It bounds how many set-ups are lost with one
/// unusable answer.
const SET_UPS_PER_SHARED_LINK: usize = 2;
/// Most connections to one core switch. Beyond that, set-ups share connections.
const MAX_LINKS_PER_SWITCH: usize = 8;
/// Most concurrent connection attempts to one core switch that does not answer.
const MAX_DIALS_PER_SWITCH: usize = 2;
/// Delays between a lost connection and the next attempt.
const DIAL_BACKOFF: BackoffSettings =
    BackoffSettings { initial: Duration::from_millis(40), max: Duration::from_millis(500) };
/// Pause after a connection was opened to a core switch in place of those that do not answer. It doubles with
/// each until the switch sends a message.
const REPLACEMENT_PAUSE: Duration = Duration::from_secs(2);
/// Longest pause between two such connections.
const MAX_REPLACEMENT_PAUSE: Duration = Duration::from_secs(16);
/// Fraction of the platform's idle timeout after which an idle connection is replaced, so that no set-up
/// crosses the switch's close.
const IDLE_REPLACE_FRACTION: f64 = 0.7;
/// Most releases that wait for a connection to one core switch. Beyond that the oldest are dropped unsent.
const MAX_PENDING_RELEASES: usize = 1024;

/// What connections to a core switch are needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkNeed {
    /// The switch takes set-ups.
    SetUps,
    /// The switch may still release calls.
    Releases,
    /// No connection is needed.
    None,
}

/// The connections to one core switch.
#[derive(Debug)]
pub(crate) struct SwitchLinks {
    pub address: SocketAddr,
    pub links: BTreeSet<LinkId>,
    /// Set-ups that wait for a connection, oldest first.
    pub waiting_set_ups: VecDeque<Tag>,
    /// Releases that wait for a connection.
    pending_releases: VecDeque<(Tag, i64)>,
    backoff: Backoff,
    next_dial_at: Time,
    /// When a connection may be opened again in place of those that do not answer.
    next_replacement_at: Time,
    replacement_pause: Duration,
}

impl SwitchLinks {
    /// Whether a set-up or a release waits for a connection.
    fn has_waiting_messages(&self) -> bool {
        !self.waiting_set_ups.is_empty() || !self.pending_releases.is_empty()
    }
}

/// The connections to all core switches.
#[derive(Debug)]
pub(crate) struct Links {
    pub links: BTreeMap<LinkId, Link>,
    pub switches: BTreeMap<ServerId, SwitchLinks>,
    /// Most connections in total.
    max_links: usize,
    max_set_ups_per_link: usize,
    replace_idle_after: Duration,
    next_id: u64,
}

/// Where a set-up is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkChoice {
    /// On this connection.
    Use(LinkId),
    /// On the next connection that comes up.
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
            next_replacement_at: Time::default(),
            replacement_pause: REPLACEMENT_PAUSE,
        })
    }

    /// The connections to a core switch.
    pub fn links_to(&self, server: ServerId) -> impl Iterator<Item = (LinkId, &Link)> {
        let ids = self.switches.get(&server).into_iter().flat_map(|s| &s.links);
        ids.filter_map(|id| self.links.get(id).map(|l| (*id, l)))
    }

    /// The connections to a core switch that are up and answer as far as is known.
    fn responsive_links_to(&self, now: Time, server: ServerId) -> impl Iterator<Item = (LinkId, &Link)> {
        self.links_to(server).filter(move |(_, l)| l.up && l.health.status(now) != LinkStatus::Unresponsive)
    }

    /// Whether a connection is up and answers as far as is known.
    pub fn has_responsive_link(&self, now: Time, server: ServerId) -> bool {
        self.responsive_links_to(now, server).next().is_some()
    }

    /// Chooses the connection for a set-up.
    pub fn choose_for_set_up(&self, now: Time, server: ServerId, tag: Tag) -> LinkChoice {
        let has_room =
            |l: &Link| l.up && l.open_set_ups.len() < self.max_set_ups_per_link && !l.carried_attempt_of(tag);
        let responsive = self.responsive_links_to(now, server).filter(|(_, l)| has_room(l));
        let best = responsive.min_by_key(|(id, l)| (l.health.status(now), l.open_set_ups.len(), *id));
        if let Some((id, _)) = best {
            return LinkChoice::Use(id);
        }
        if self.has_responsive_link(now, server) || self.may_replace_unresponsive(now, server) {
            return LinkChoice::Wait;
        }
        // The newest of those that do not answer has the best chance, while no other may be opened.
        let unresponsive = self.links_to(server).filter(|(_, l)| has_room(l)).last();
        unresponsive.map_or(LinkChoice::Wait, |(id, _)| LinkChoice::Use(id))
    }

    /// Whether a connection may be opened, or is being opened, in place of those that do not answer.
    fn may_replace_unresponsive(&self, now: Time, server: ServerId) -> bool {
        let Some(switch) = self.switches.get(&server) else { return false };
        let has_room = self.links.len() < self.max_links && switch.links.len() < MAX_LINKS_PER_SWITCH;
        (has_room && now >= switch.next_replacement_at) || self.links_to(server).any(|(_, l)| !l.up)
    }

    /// Chooses a connection for a release or a probe: any that is up and answers, since an established call
    /// is not bound to a connection.
    pub fn choose_for_release(&self, now: Time, server: ServerId) -> Option<LinkId> {
        self.responsive_links_to(now, server)
            .min_by_key(|(id, l)| (l.health.status(now), *id))
            .map(|(id, _)| id)
    }

    /// Chooses a connection for a probe of the core switch: the best that is up.
    pub fn choose_for_probe(&self, now: Time, server: ServerId) -> Option<LinkId> {
        let newest_up = || self.links_to(server).filter(|(_, l)| l.up).last().map(|(id, _)| id);
        self.choose_for_release(now, server).or_else(newest_up)
    }

    /// Queues a release until a connection is available.
    pub fn add_pending_release(&mut self, server: ServerId, tag: Tag, cause: i64) {
        if let Some(switch) = self.switches.get_mut(&server) {
            switch.pending_releases.push_back((tag, cause));
            if switch.pending_releases.len() > MAX_PENDING_RELEASES {
                switch.pending_releases.pop_front();
            }
        }
    }

    /// Takes all releases that wait for a connection to the switch.
    pub fn take_pending_releases(&mut self, server: ServerId) -> Vec<(Tag, i64)> {
        self.switches.get_mut(&server).map(|s| s.pending_releases.drain(..).collect()).unwrap_or_default()
    }

    /// Drops a queued release, because a new attempt of the call is sent to the switch and must not be ended
    /// by it.
    pub fn drop_pending_release(&mut self, server: ServerId, tag: Tag) {
        if let Some(switch) = self.switches.get_mut(&server) {
            switch.pending_releases.retain(|(t, _)| *t != tag);
        }
    }

    /// How many more connections are to be opened now.
    pub fn missing_links(&self, now: Time, server: ServerId, need: LinkNeed) -> usize {
        let Some(switch) = self.switches.get(&server) else { return 0 };
        let (mut up, mut shared, mut opening, mut unresponsive) = (0, 0, 0, 0);
        for (_, link) in self.links_to(server) {
            if !link.up {
                opening += 1;
            } else if switch.has_waiting_messages() && link.health.status(now) == LinkStatus::Unresponsive {
                unresponsive += 1;
            } else {
                up += 1;
                shared += usize::from(link.open_set_ups.len() >= SET_UPS_PER_SHARED_LINK);
            }
        }
        let wanted = match need {
            LinkNeed::None if !switch.has_waiting_messages() => 0,
            LinkNeed::None | LinkNeed::Releases => 1,
            _ if up == 0 && unresponsive > 0 => 1,
            // Set-ups wait although connections are up only if all of those have carried their call.
            LinkNeed::SetUps if !switch.waiting_set_ups.is_empty() => {
                (up + switch.waiting_set_ups.len()).clamp(MIN_LINKS_PER_SWITCH, MAX_LINKS_PER_SWITCH)
            }
            // One more than are shared, so that the next set-up need not be the third on any connection.
            LinkNeed::SetUps => (shared + 1).clamp(MIN_LINKS_PER_SWITCH, MAX_LINKS_PER_SWITCH),
        };
        // The total is divided evenly among the core switches.
        let max_per_switch = (self.max_links / self.switches.len().max(1)).max(1);
        let room = self.max_links.saturating_sub(self.links.len());
        let missing = wanted.min(max_per_switch).saturating_sub(up + opening);
        let replaces = up == 0 && unresponsive > 0;
        if now < switch.next_dial_at || (replaces && now < switch.next_replacement_at) {
            0
        } else {
            missing.min(MAX_DIALS_PER_SWITCH.saturating_sub(opening)).min(room)
        }
    }

    /// When a missing connection may be opened, if not now.
    pub fn next_dial(&self, now: Time, server: ServerId) -> Option<Time> {
        let switch = self.switches.get(&server)?;
        let replaces = switch.has_waiting_messages() && !self.has_responsive_link(now, server);
        let next =
            if replaces { switch.next_dial_at.max(switch.next_replacement_at) } else { switch.next_dial_at };
        (now < next).then_some(next)
    }

    /// Whether a connection beyond the needed ones may be opened: no other is being opened, and the total is
    /// not reached.
    pub fn may_open_extra_link(&self, server: ServerId) -> bool {
        self.links.len() < self.max_links && self.links_to(server).all(|(_, l)| l.up)
    }

    /// Registers a connection that is being opened.
    pub fn start_dial(&mut self, now: Time, server: ServerId) -> LinkId {
        self.next_id += 1;
        let id = LinkId(self.next_id);
        let replaces = self.links_to(server).any(|(_, l)| l.health.status(now) == LinkStatus::Unresponsive);
        self.links.insert(id, Link::new(now, server));
        if let Some(switch) = self.switches.get_mut(&server) {
            switch.links.insert(id);
            if replaces {
                switch.next_replacement_at = now.plus(switch.replacement_pause);
                switch.replacement_pause = (2 * switch.replacement_pause).min(MAX_REPLACEMENT_PAUSE);
            }
        }
        id
    }

    /// Marks the connection as up and returns the core switch that it leads to.
    pub fn link_up(&mut self, now: Time, id: LinkId) -> Option<ServerId> {
        let link = self.links.get_mut(&id)?;
        link.connected(now);
        if let Some(switch) = self.switches.get_mut(&link.server) {
            switch.backoff.reset();
        }
        Some(link.server)
    }

    /// Registers that a message was received on a connection. Returns the core switch, and whether the
    /// connection had been taken for unresponsive.
    pub fn message_received(&mut self, now: Time, id: LinkId) -> Option<(ServerId, bool)> {
        let link = self.links.get_mut(&id)?;
        let was_unresponsive = link.message_received(now) == LinkStatus::Unresponsive;
        if let Some(switch) = self.switches.get_mut(&link.server) {
            (switch.replacement_pause, switch.next_replacement_at) = (REPLACEMENT_PAUSE, now);
        }
        Some((link.server, was_unresponsive))
    }

    /// Removes a connection. After a failure the next one waits for the back-off delay; `unit`, a random
    /// number from 0 to 1, places the delay in its range.
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

    /// Connections without open set-ups, to core switches for which nothing is queued.
    pub fn idle_links(&self) -> impl Iterator<Item = (LinkId, ServerId)> {
        let wanted = |s: &ServerId| self.switches.get(s).is_some_and(SwitchLinks::has_waiting_messages);
        let idle =
            self.links.iter().filter(move |(_, l)| l.up && l.open_set_ups.is_empty() && !wanted(&l.server));
        idle.map(|(id, l)| (*id, l.server))
    }

    /// Checks a connection of a core switch at which this many calls are established. Calls of which no
    /// connection carried the set-up may be released on any connection.
    pub fn check_link(&self, now: Time, id: LinkId, established_at_switch: usize) -> LinkCheck {
        let Some(link) = self.links.get(&id).filter(|l| l.up) else { return LinkCheck::Idle };
        let bound_calls: usize = self.links_to(link.server).map(|(_, l)| l.established_calls).sum();
        let in_use = !link.open_set_ups.is_empty()
            || link.established_calls > 0
            || established_at_switch > bound_calls;
        let others = self.links_to(link.server).filter(|(other, _)| *other != id);
        let answered_elsewhere = others.filter_map(|(_, l)| l.health.latest_answered()).max();
        link.health.check(now, in_use, answered_elsewhere)
    }

    /// Hands the connections that a core switch's successor has accepted over to it: those to its address that
    /// came up after its start. Returns them.
    pub fn hand_over(&mut self, from: ServerId, to: ServerId, started_at: Time) -> Vec<LinkId> {
        let accepted = self.links_to(from).filter(|(_, link)| link.up && link.connected_at > started_at);
        let accepted: Vec<LinkId> = accepted.map(|(id, _)| id).collect();
        for id in &accepted {
            if let Some(link) = self.links.get_mut(id) {
                link.server = to;
            }
            if let Some(switch) = self.switches.get_mut(&from) {
                switch.links.remove(id);
            }
            if let Some(switch) = self.switches.get_mut(&to) {
                switch.links.insert(*id);
            }
        }
        accepted
    }

    /// Whether a release waits for a connection to any core switch.
    pub fn has_pending_releases(&self) -> bool {
        self.switches.values().any(|s| !s.pending_releases.is_empty())
    }

    /// Connections that have been idle long enough to be replaced.
    pub fn links_idle_too_long(&self, now: Time) -> Vec<LinkId> {
        let idle_too_long =
            |l: &Link| l.up && l.open_set_ups.is_empty() && now.since(l.last_used) >= self.replace_idle_after;
        self.links.iter().filter(|(_, l)| idle_too_long(l)).map(|(id, _)| *id).collect()
    }

    /// Takes all set-ups that wait for a connection to this switch, oldest first.
    pub fn take_queued_set_ups(&mut self, server: ServerId) -> Vec<Tag> {
        self.switches.get_mut(&server).map(|s| s.waiting_set_ups.drain(..).collect()).unwrap_or_default()
    }

    /// Queues a set-up for the next connection that comes up.
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

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time(Duration::from_millis(ms))
    }

    /// Guards against set-ups that are written in vain on a connection that does not answer, although the
    /// switch answers on others and a further one may be opened.
    #[test]
    fn set_up_waits_rather_than_use_an_unresponsive_connection_beside_responsive_ones() {
        let (server, tag) = (ServerId(1), Tag(7));
        let mut links = Links::new(10, 100, Duration::from_secs(60));
        links.switch_entry(server, SocketAddr::from(([127, 0, 0, 1], 7001)));
        let silent = links.start_dial(at(0), server);
        links.link_up(at(0), silent);
        links.links.get_mut(&silent).unwrap().health.probed(at(0));
        assert_eq!(links.choose_for_set_up(at(100), server, tag), LinkChoice::Use(silent));
        assert_eq!(links.choose_for_set_up(at(1000), server, tag), LinkChoice::Wait, "it does not answer");
        let other = links.start_dial(at(1000), server);
        links.link_up(at(1000), other);
        assert_eq!(links.choose_for_set_up(at(1001), server, tag), LinkChoice::Use(other));
        let other_link = links.links.get_mut(&other).unwrap();
        other_link.start_attempt(at(1001), tag);
        other_link.end_attempt(at(1002), tag, false, false);
        assert_eq!(links.choose_for_set_up(at(1100), server, tag), LinkChoice::Wait);
        // Once the other one does not answer either, the newest is used until a further one may be opened.
        links.links.get_mut(&other).unwrap().health.probed(at(1100));
        assert_eq!(links.choose_for_set_up(at(1700), server, Tag(8)), LinkChoice::Use(other));
        assert_eq!(links.choose_for_set_up(at(3000), server, Tag(8)), LinkChoice::Wait);
    }
}
