//! Which call goes to which server, and when: the order of held calls, the choice of server, and the check
//! that every attempt passes.

use std::collections::BTreeMap;

use crate::controller::{Controller, SCAN_INTERVAL};
use crate::interface::*;
use crate::server::*;

/// Time-out of a trial, as a share of the aim: a set-up that waits longer is sent again, which is more work.
const TRIAL_TIMEOUT_AIM_SHARE: f64 = 0.5;
/// Held calls examined at most to find one that may be sent to some server.
const MAX_HELD_CANDIDATES: usize = 8;
/// Least weight of a server in the redraw, however occupied it is.
const MIN_REDRAW_WEIGHT: f64 = 0.05;

impl Controller {
    /// Tries to route one call, upon an arrival or when a server has room: the first held call that some
    /// server is open to. A call that no server is open to is skipped and does not block those behind it.
    /// Returns whether a throttle was asked; it may have turned the call down.
    pub(crate) fn route_held_call(&mut self, now: Time) -> bool {
        let ready =
            |id: &CallId| self.calls.get(id).is_some_and(|c| c.outstanding.is_none() && c.not_before < now);
        let ids = self.held.iter().map(|(_, _, id)| *id);
        let best: Vec<CallId> = ids.filter(ready).take(MAX_HELD_CANDIDATES).collect();
        best.into_iter().any(|call| self.route_call(now, call))
    }

    /// Tries the first-choice server, then one of the others, drawn at random by load. Each time the server's
    /// own throttle decides. Returns whether a throttle was tried; otherwise no server is open to the call.
    pub(crate) fn route_call(&mut self, now: Time, id: CallId) -> bool {
        let call = self.calls.get(&id).map(|c| (c.request.destination, c.last_failed_server));
        let Some((destination, failed)) = call else { return false };
        let mut open: Vec<ServerId> = self.servers.keys().copied().collect();
        open.retain(|server| self.may_issue(now, id, *server));
        let policy_weights = self.apply_routing_policy(now, id, &mut open);
        // A further attempt goes elsewhere if it can, as some servers fail some or all of their set-ups.
        if let Some(failed) = failed.filter(|_| open.len() > 1) {
            open.retain(|s| *s != failed);
        }
        let first = open.iter().copied().find(|s| self.servers[s].entry.cell == destination);
        if let Some(first) = first {
            if self.servers.get_mut(&first).is_some_and(|s| s.throttle.admit()) {
                self.issue(now, id, first);
                return true;
            }
            open.retain(|s| *s != first);
        }
        let unit = self.random_unit();
        let policy_weight = |id: &ServerId| policy_weights.get(id).copied().unwrap_or(1.0);
        let weight = |id: &ServerId| {
            (1.0 - self.servers[id].smoothed_occupancy).max(MIN_REDRAW_WEIGHT) * policy_weight(id)
        };
        let total: f64 = open.iter().map(weight).sum();
        let mut point = unit * total;
        let choice = open.iter().copied().find(|s| {
            point -= weight(s);
            point < 0.0
        });
        let Some(choice) = choice.or(open.last().copied()) else { return first.is_some() };
        if self.servers.get_mut(&choice).is_some_and(|s| s.throttle.admit()) {
            self.issue(now, id, choice);
        }
        true
    }

    /// Weights of the open servers by the routing policy; without one the map is empty and nothing changes. A
    /// server of weight 0 is taken out of `open`, so the call may stay held. The policy thus keeps calls from
    /// crossing into expensive zones without need. Drawback: where it excludes all servers for long, calls
    /// are refused when their time is up.
    fn apply_routing_policy(
        &mut self,
        now: Time,
        id: CallId,
        open: &mut Vec<ServerId>,
    ) -> BTreeMap<ServerId, f64> {
        let mut weights = BTreeMap::new();
        let (Some(policy), Some(c)) = (&mut self.routing_policy, self.calls.get(&id)) else {
            return weights;
        };
        let request = c.routing_request(now);
        open.retain(|server| {
            let weight =
                self.servers.get(server).map_or(0.0, |s| policy.server_weight(now, &request, &s.entry));
            weights.insert(*server, weight);
            weight > 0.0
        });
        weights
    }

    /// Whether the call may be sent to the server now. Every attempt passes this check, which covers all
    /// rules and protections that can be checked beforehand.
    fn may_issue(&mut self, now: Time, id: CallId, server: ServerId) -> bool {
        let Some(c) = self.calls.get(&id) else { return false };
        let Some(zone) = self.servers.get(&server).map(|s| s.entry.zone.clone()) else { return false };
        let repeat_allowed = match (c.effect, c.may_have_run) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Keyed { group, window }, Some((sent, first_server))) => {
                let first = self.servers.get(&first_server).map(|s| (s.entry.zone.clone(), s.entry.cell));
                let same_group = match (group, first) {
                    (RepeatGroup::All, _) => true,
                    (RepeatGroup::Zone, Some((first_zone, _))) => first_zone == zone,
                    (RepeatGroup::Cell, Some((_, cell))) => cell == self.servers[&server].entry.cell,
                    (_, None) => false,
                };
                same_group && now.since(sent) + SCAN_INTERVAL < window
            }
        };
        let pools = c.request.class.and_then(|k| self.settings.classes[k.0].pools.as_ref());
        let Some(s) = self.servers.get_mut(&server) else { return false };
        let reachable = match self.settings.topology {
            Topology::Pools => pools.is_none_or(|p| p.contains(&s.entry.cell)),
            Topology::Mesh { home } => {
                s.entry.cell != home && (!c.request.transit || s.entry.cell == c.request.destination)
            }
        };
        let trial_allowed = now >= s.not_before && (!s.trials_only || s.unanswered.is_empty());
        let call_ready = c.outstanding.is_none() && !c.established && c.not_before < now && now < c.answer_by;
        call_ready
            && c.attempts < self.settings.limits.max_attempts
            && repeat_allowed
            && reachable
            && s.entry.state == ServerState::Ready
            && s.free.is_none_or(|free| {
                free.count >= c.request.width || now.since(free.reported_at) > FREE_CIRCUITS_EXPIRY
            })
            && trial_allowed
            && s.has_queue_room(now, c.aim)
            && s.has_credit(now, &self.settings)
    }

    /// Sends a set-up. It is a trial with a short time-out if the server gets only trials, or if the oldest
    /// set-up in its queue has waited too long.
    fn issue(&mut self, now: Time, id: CallId, server: ServerId) {
        let (Some(c), Some(s)) = (self.calls.get_mut(&id), self.servers.get_mut(&server)) else { return };
        let mut within = c.answer_by.since(now);
        let oldest = s.in_queue().next();
        let max_wait = c.aim.mul_f64(QUEUE_WAIT_AIM_SHARE);
        if s.trials_only || oldest.is_some_and(|(sent, _)| now.since(*sent) >= max_wait) {
            within = within.min(c.aim.mul_f64(TRIAL_TIMEOUT_AIM_SHARE));
        }
        if let Some(policy) = &mut self.routing_policy {
            policy.attempt_sent(now, &c.routing_request(now), &s.entry);
        }
        c.outstanding = Some((AttemptNo(c.attempts), server));
        c.cancel_sent = false;
        c.attempts += 1;
        c.sent_at = now;
        s.throttle.passed += 1;
        if let Some(free) = &mut s.free {
            free.count -= c.request.width;
        }
        s.unanswered.insert((now, id));
        s.credit.set_ups = (s.credit.set_ups - 1.0).max(0.0);
        self.held.remove(&c.held_key());
        self.actions.push(Action::Issue { call: id, server, within });
    }
}
