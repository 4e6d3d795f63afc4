//! Changes of the list of core switches.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use fawnrouter::{Event, ListKind, Outcome, OutcomeDetail, ServerId, Time};

use super::{Node, Output, Server, TimerKey};
use crate::links::{LinkId, LinkNeed};
use crate::liveness::Liveness;
use crate::switch_list::{Pool, server_entry};

impl Node {
    /// Forgets a core switch, and its number, if it is not listed and has no calls.
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
            self.attempt_failed(tag, Outcome::Moot, OutcomeDetail::None);
        }
        let links = self.links.switches.remove(&server).map(|s| s.links).unwrap_or_default();
        for link in links {
            self.links.links.remove(&link);
            self.outputs.push(Output::CloseLink { link });
        }
        self.timers.clear(TimerKey::Redial(server));
        self.timers.clear(TimerKey::LivenessCheck(server));
        self.timers.clear(TimerKey::LinkCheck(server));
    }

    /// Applies a list, unless it is not newer than the last one.
    pub(super) fn apply_list(&mut self, pool: &Pool) {
        // Serials are compared as in RFC 1982; the numbers start at 1 and never wrap in practice.
        if self.list_serial.is_some_and(|seen| pool.serial.wrapping_sub(seen) as i32 <= 0) {
            return;
        }
        let is_first_list = self.list_serial.is_none();
        let kind = if is_first_list { ListKind::Cached } else { ListKind::Snapshot };
        self.list_serial = Some(pool.serial);
        if is_first_list {
            self.started_at = self.now;
        }
        let mut entries = Vec::new();
        let mut seen = BTreeSet::new();
        for (id, listed) in &pool.switches {
            let was_listed = self.server_ids.was_assigned(id);
            let server = self.server_ids.get_or_assign(id);
            let is_known = self.servers.contains_key(&server);
            seen.insert(server);
            entries.push(server_entry(server, listed));
            let s = self.servers.entry(server).or_insert_with(|| Server {
                id: id.clone(),
                listed: None,
                first_listed_at: self.now,
                may_have_earlier_start: is_first_list || was_listed,
                liveness: Liveness::new(self.now),
            });
            let before = s.listed.replace(listed.clone());
            s.liveness.set_listed_state(self.now, Some(listed.state));
            self.links.switch_entry(server, listed.address).address = listed.address;
            // A switch that had left the list and is back may have restarted meanwhile. Without this check
            // the callers of calls established before that start would never be notified of their end.
            let has_new_start =
                before.map_or(listed.started.is_some(), |before| before.started != listed.started);
            if has_new_start {
                s.may_have_earlier_start |= is_known;
                match listed.started {
                    Some(_) => self.lose_calls_of_earlier_start(server),
                    None => self.lose_established_calls(server, None, "has restarted"),
                }
            }
        }
        let gone: BTreeSet<ServerId> = self.servers.keys().copied().filter(|s| !seen.contains(s)).collect();
        self.events.push_back(Event::List { kind, entries });
        self.run_controller();
        self.hand_over_to_successors(pool, &gone);
        for server in self.servers.keys().copied().collect::<Vec<_>>() {
            if gone.contains(&server)
                && let Some(s) = self.servers.get_mut(&server)
            {
                s.listed = None;
                s.liveness.set_listed_state(self.now, None);
            }
            // Set-ups that have not been sent must not go to this switch any more.
            if self.link_need(server) != LinkNeed::SetUps {
                for tag in self.links.take_queued_set_ups(server) {
                    self.attempt_failed(tag, Outcome::Moot, OutcomeDetail::None);
                }
                // A peer that does not read leaves set-ups in the outbox, and might accept them after the
                // grace period.
                let carrying =
                    self.links.links.iter().filter(|(_, l)| l.server == server && !l.open_set_ups.is_empty());
                self.outputs.extend(carrying.map(|(link, _)| Output::RecallSetUps { link: *link }));
            }
            // Without established calls and open set-ups there is nothing more to receive, and the place at
            // the switch is needed by others.
            if self.link_need(server) == LinkNeed::None {
                let idle: Vec<LinkId> =
                    self.links.idle_links().filter(|(_, s)| *s == server).map(|(l, _)| l).collect();
                idle.into_iter().for_each(|link| self.close_link(link));
            }
            self.open_missing_links(server);
            self.check_liveness(server);
        }
    }

    /// A new core switch may listen at the address of one that is gone, and have accepted connections and calls
    /// there before the list named it: those are its own. Everything else at the old one has ended. Without this
    /// the new one's answers and connections would count as evidence that the old one is alive, and callers of
    /// its calls would be told that they are over.
    fn hand_over_to_successors(&mut self, pool: &Pool, gone: &BTreeSet<ServerId>) {
        let successors: BTreeMap<SocketAddr, (&String, Option<Time>)> =
            pool.switches.iter().map(|(id, listed)| (listed.address, (id, listed.started))).collect();
        for from in gone.iter().copied() {
            let address = self.links.switches.get(&from).map(|switch| switch.address);
            let Some((id, started)) = address.and_then(|address| successors.get(&address)) else { continue };
            // One that had started before could not be listening while the old one was.
            let first_listed_at = self.servers.get(&from).map(|s| s.first_listed_at);
            let started_since = started.filter(|at| first_listed_at.is_some_and(|listed_at| *at > listed_at));
            if let (Some(to), Some(started_at)) = (self.server_ids.get(id), started_since) {
                self.hand_over(from, to, started_at);
            }
            self.lose_established_calls(from, None, "is gone and its address belongs to another switch");
        }
    }

    /// Hands what a core switch has accepted since its start over to it.
    fn hand_over(&mut self, from: ServerId, to: ServerId, started_at: Time) {
        let links = self.links.hand_over(from, to, started_at);
        self.calls.hand_over(from, to, &links);
        // The controller has chosen another switch for these, so what is not written does not go there.
        self.outputs.extend(links.iter().map(|link| Output::RecallSetUps { link: *link }));
        if self.calls.has_established_at(to) {
            self.start_liveness_checks(to);
        }
    }
}
