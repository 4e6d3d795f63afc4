//! The list of core switches.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use fawnrouter::{Event, ListKind, Outcome, OutcomeDetail, ServerId};

use super::{Key, Node, Output, Server};
use crate::links::{LinkId, Need};
use crate::liveness::Life;
use crate::switch_list::{Pool, entry};

impl Node {
    /// A core switch that is not listed and holds nothing is forgotten, with its number.
    pub(super) fn maybe_forget(&mut self, server: ServerId) {
        let listed = self.servers.get(&server).is_none_or(|s| s.listed.is_some());
        if listed
            || self.calls.stands_at(server)
            || self.links.links.values().any(|l| l.server == server && !l.open.is_empty())
        {
            return;
        }
        if let Some(s) = self.servers.remove(&server) {
            self.ids.forget(&s.id);
        }
        for tag in self.links.take_waiting(server) {
            self.attempt_ended(tag, Outcome::Moot, OutcomeDetail::None);
        }
        let links = self.links.sites.remove(&server).map(|s| s.links).unwrap_or_default();
        for link in links {
            self.links.links.remove(&link);
            self.out.push(Output::CloseLink { link });
        }
        self.due.clear(Key::Redial(server));
        self.due.clear(Key::Life(server));
    }

    pub(super) fn take_pool(&mut self, pool: &Pool) {
        // Serials are compared as RFC 1982 has it; the numbers start at 1 and never wrap in practice.
        if self.serial.is_some_and(|seen| pool.serial.wrapping_sub(seen) as i32 <= 0) {
            return;
        }
        let kind = if self.serial.is_none() { ListKind::Cached } else { ListKind::Snapshot };
        self.serial = Some(pool.serial);
        let mut entries = Vec::new();
        let mut seen = BTreeSet::new();
        for (id, listed) in &pool.switches {
            let server = self.ids.number(id);
            seen.insert(server);
            entries.push(entry(server, listed));
            let s = self.servers.entry(server).or_insert_with(|| Server {
                id: id.clone(),
                listed: None,
                life: Life::new(self.now),
            });
            let before = s.listed.replace(listed.clone());
            s.life.listed(self.now, Some(listed.state));
            self.links.site(server, listed.address).address = listed.address;
            // One that had left the list and is back may have started anew meanwhile. Guards against calls that stood
            // before that start and of which nobody would be told any more.
            let has_new_start =
                before.map_or(listed.started.is_some(), |before| before.started != listed.started);
            if has_new_start {
                self.cut(server, listed.started, "has started anew");
            }
        }
        let gone: BTreeSet<ServerId> = self.servers.keys().copied().filter(|s| !seen.contains(s)).collect();
        self.events.push_back(Event::List { kind, entries });
        self.decide();
        // A new core switch listens where one listened that is gone: nothing there is the old one's any more. Guards
        // against its answers and connections being taken for signs of the old one's life.
        let taken: BTreeSet<SocketAddr> = pool.switches.values().map(|l| l.address).collect();
        for server in gone.iter().copied() {
            if self.links.sites.get(&server).is_some_and(|site| taken.contains(&site.address)) {
                self.cut(server, None, "is gone and its address is another's");
            }
        }
        for server in self.servers.keys().copied().collect::<Vec<_>>() {
            if gone.contains(&server)
                && let Some(s) = self.servers.get_mut(&server)
            {
                s.listed = None;
                s.life.listed(self.now, None);
            }
            // What has not been written yet must not go there any more.
            if self.need(server) != Need::SetUps {
                for tag in self.links.take_waiting(server) {
                    self.attempt_ended(tag, Outcome::Moot, OutcomeDetail::None);
                }
                // A peer that does not read leaves set-ups in the outbox, and might take them after the grace.
                let laden = self.links.links.iter().filter(|(_, l)| l.server == server && !l.open.is_empty());
                self.out.extend(laden.map(|(link, _)| Output::RecallSetUps { link: *link }));
            }
            // Where nothing stands and nothing is out there is nothing more to hear: the place is another's.
            if self.need(server) == Need::None {
                let idle: Vec<LinkId> =
                    self.links.idle().filter(|(_, s)| *s == server).map(|(l, _)| l).collect();
                idle.into_iter().for_each(|link| self.close_link(link));
            }
            self.tend(server);
            self.look_after(server);
        }
    }
}
