//! Who is closed as time passes.

use std::time::Duration;

use super::Admission;
use super::connection::{Entry, Stage};
use super::decision::{ConnectionId, EvictionReason};

impl Admission {
    /// Who is to be closed now: strangers that were idle for too long, those that do not read, and those whose time
    /// to show what they are is up. A connection with a call is never among them.
    pub fn evict_overdue(&mut self, now: Duration) -> Vec<(ConnectionId, EvictionReason)> {
        self.now = self.now.max(now);
        let now = self.now;
        let over = |since: Duration, limit: Duration| !limit.is_zero() && now - since >= limit;
        let settings = &self.settings;
        let idle = self.idle.iter().take_while(|(since, _)| over(*since, settings.idle_timeout));
        let mut out: Vec<(ConnectionId, EvictionReason)> =
            idle.map(|(_, conn)| (*conn, EvictionReason::Idle)).collect();
        let on_probation =
            |conn: &ConnectionId| self.conns.get(conn).is_some_and(|e| e.stage == Stage::Probation);
        let unproven = self.unproven.iter().take_while(|(since, _)| over(*since, settings.probation_time));
        let unproven = unproven.filter(|(_, conn)| on_probation(conn));
        out.extend(unproven.map(|(_, conn)| (*conn, EvictionReason::ProbationExpired)));
        let stuck = |e: &Entry| {
            e.calls == 0 && e.stuck.is_some_and(|(_, since)| over(since, settings.slow_reader_timeout))
        };
        let slow =
            self.conns.iter().filter(|(_, e)| stuck(e)).map(|(conn, _)| (*conn, EvictionReason::SlowReader));
        out.extend(slow.collect::<Vec<_>>());
        out.sort_unstable();
        out.dedup_by_key(|(conn, _)| *conn);
        for (conn, why) in &out {
            self.evict(*conn, *why);
        }
        out
    }
}
