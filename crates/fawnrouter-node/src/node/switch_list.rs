//! The list of core switches.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use fawnrouter::{Event, ListKind, Note, Outcome, ServerId};

use super::{Node, Output, Server, TimerKey};
use crate::links::{LinkId, LinkNeed};
use crate::liveness::Liveness;
use crate::switch_list::{Pool, server_entry};

impl Node {
    /// A core switch that is not listed and holds nothing is forgotten, with its number.
    pub(super) fn forget_if_unused(&mut self, server: ServerId) {
        let listed = self.servers.get(&server).is_none_or(|s| s.listed.is_some());
        if listed
            || self.calls.has_established_at(server)
            || self.links.links.values().any(|l| l.server == server && !l.open_set_ups.is_empty())
        {
            return;
        }
        if let Some(s) = self.servers.remove(&server) {
            self.server_ids.remove(&s.id);
        }
        for tag in self.links.take_queued_set_ups(server) {
            self.attempt_failed(tag, Outcome::Moot, Note::None);
        }
        let links = self.links.switches.remove(&server).map(|s| s.links).unwrap_or_default();
        for link in links {
            self.links.links.remove(&link);
            self.outputs.push(Output::CloseLink { link });
        }
        self.timers.clear(TimerKey::Redial(server));
        self.timers.clear(TimerKey::LivenessCheck(server));
    }

    pub(super) fn apply_list(&mut self, pool: &Pool) {
        // Serials are compared as RFC 1982 has it; the numbers start at 1 and never wrap in practice.
        if self.list_serial.is_some_and(|seen| pool.serial.wrapping_sub(seen) as i32 <= 0) {
            return;
        }
        let kind = if self.list_serial.is_none() { ListKind::Cached } else { ListKind::Whole };
        self.list_serial = Some(pool.serial);
        let mut entries = Vec::new();
        let mut seen = BTreeSet::new();
        for (id, listed) in &pool.switches {
            let server = self.server_ids.get_or_assign(id);
            seen.insert(server);
            entries.push(server_entry(server, listed));
            let s = self.servers.entry(server).or_insert_with(|| Server {
                id: id.clone(),
                listed: None,
                liveness: Liveness::new(self.now),
            });
            let before = s.listed.replace(listed.clone());
            s.liveness.set_listed_state(self.now, Some(listed.state));
            self.links.switch_entry(server, listed.address).address = listed.address;
            // One that had left the list and is back may have started anew meanwhile. Guards against calls that stood
            // before that start and of which nobody would be told any more.
            let has_new_start =
                before.map_or(listed.started.is_some(), |before| before.started != listed.started);
            if has_new_start {
                self.lose_established_calls(server, listed.started, "has started anew");
            }
        }
        let gone: BTreeSet<ServerId> = self.servers.keys().copied().filter(|s| !seen.contains(s)).collect();
        self.events.push_back(Event::List { kind, entries });
        self.run_controller();
        // A new core switch listens where one listened that is gone: nothing there is the old one's any more. Guards
        // against its answers and connections being taken for signs of the old one's life.
        let taken: BTreeSet<SocketAddr> = pool.switches.values().map(|l| l.address).collect();
        for server in gone.iter().copied() {
            if self.links.switches.get(&server).is_some_and(|switch| taken.contains(&switch.address)) {
                self.lose_established_calls(server, None, "is gone and its address is another's");
            }
        }
        for server in self.servers.keys().copied().collect::<Vec<_>>() {
            if gone.contains(&server)
                && let Some(s) = self.servers.get_mut(&server)
            {
                s.listed = None;
                s.liveness.set_listed_state(self.now, None);
            }
            // What has not been written yet must not go there any more.
            if self.link_need(server) != LinkNeed::SetUps {
                for tag in self.links.take_queued_set_ups(server) {
                    self.attempt_failed(tag, Outcome::Moot, Note::None);
                }
                // A peer that does not read leaves set-ups in the outbox, and might take them after the grace.
                let carrying =
                    self.links.links.iter().filter(|(_, l)| l.server == server && !l.open_set_ups.is_empty());
                self.outputs.extend(carrying.map(|(link, _)| Output::RecallSetUps { link: *link }));
            }
            // Where nothing stands and nothing is out there is nothing more to hear: the place is another's.
            if self.link_need(server) == LinkNeed::None {
                let idle: Vec<LinkId> =
                    self.links.idle_links().filter(|(_, s)| *s == server).map(|(l, _)| l).collect();
                idle.into_iter().for_each(|link| self.close_link(link));
            }
            self.open_missing_links(server);
            self.check_liveness(server);
        }
    }
}
