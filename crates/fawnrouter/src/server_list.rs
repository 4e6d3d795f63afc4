//! The list of servers: updates, cold starts, and removal of servers that are gone.

use std::time::Duration;

use crate::controller::Controller;
use crate::interface::*;
use crate::server::*;

/// A set-up counts as overtaken, and its answer as lost, once one that was sent this share of the shortest
/// aim later has been answered. It is a share because a delay that is long with one site's aims is short with
/// another's.
const OVERTAKE_AIM_SHARE: f64 = 0.05;

impl Controller {
    /// Takes over a new list or changes of it, and starts the cold period of servers that started lately.
    pub(crate) fn on_list(&mut self, now: Time, kind: ListKind, entries: Vec<ServerEntry>) {
        if kind == ListKind::Failed {
            self.subscribed = false;
            return;
        }
        self.subscribed |= kind != ListKind::Cached && self.last_subscribe.is_some();
        if kind != ListKind::Changes {
            for s in self.servers.values_mut().filter(|s| entries.iter().all(|e| e.id != s.entry.id)) {
                s.entry.state = ServerState::Gone;
            }
        }
        let cold_time = self.settings.rules.cold_time;
        let overtake_after = Duration::from_secs_f64(self.shortest_aim_s().min(1e6) * OVERTAKE_AIM_SHARE);
        let usual_rates_known = self.servers.values().any(|s| s.usual_rate_ticks > 0);
        for entry in entries {
            let id = entry.id;
            let credit = self.random_unit();
            // A machine that replaces another one of its pool is assumed to be of the same size.
            let same_cell =
                self.servers.values().filter(|s| s.entry.cell == entry.cell && s.usual_rate_ticks > 0);
            let usual_rate =
                same_cell.map(|s| s.usual_rate).reduce(f64::max).unwrap_or_else(|| self.mean_usual_rate());
            let is_new = !self.servers.contains_key(&id);
            let s = self
                .servers
                .entry(id)
                .or_insert_with(|| Server::new(entry.clone(), now, credit, overtake_after));
            let restarted = s.entry.up_since != entry.up_since && entry.up_since.is_some();
            if (restarted || is_new) && entry.state == ServerState::Ready {
                let started = entry.up_since.filter(|t| now.since(*t) < cold_time);
                // A new id without a start time has just entered service, unless this is the gateway's first
                // list.
                let cold_since =
                    started.or((is_new && self.has_list && entry.up_since.is_none()).then_some(now));
                if let Some(since) = cold_since {
                    let (free, unanswered) = (s.free, std::mem::take(&mut s.unanswered));
                    *s = Server::new(entry.clone(), now, credit, overtake_after);
                    s.free = free;
                    s.unanswered = unanswered;
                    s.usual_rate = usual_rate;
                    s.usual_rate_ticks = if usual_rates_known { USUAL_RATE_TICKS } else { 0 };
                    s.cold = Some(ColdPeriod { since, until: since.plus(cold_time) });
                    self.actions.push(Action::Log(format!("server {} starts cold", id.0)));
                }
            }
            if s.entry.state != entry.state && entry.state != ServerState::Ready {
                self.actions.push(Action::Log(format!("server {} drains or is gone", id.0)));
            }
            s.entry = entry;
        }
        for s in self.servers.values_mut() {
            s.gone_since = (s.entry.state == ServerState::Gone).then(|| s.gone_since.unwrap_or(now));
        }
        self.has_list = true;
    }

    /// Removes servers that are gone once none of their calls can matter (those that are out, and those that
    /// may have run there) and no replacement takes its usual rate from them. Otherwise memory would grow
    /// with each release. Drawback: a server that comes back later under its old id starts anew, as cold.
    pub(crate) fn forget_gone_servers(&mut self, now: Time) {
        let longest_deadline = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let keep = self.settings.rules.cold_time.max(longest_deadline);
        let expired =
            |s: &Server| s.gone_since.is_some_and(|since| now.since(since) > keep) && s.unanswered.is_empty();
        self.servers.retain(|_, s| !expired(s));
    }
}
