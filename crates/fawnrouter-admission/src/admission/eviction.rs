//! Connections that are closed as time passes.

use std::time::Duration;

use super::Admission;
use super::connection::{Connection, Stage};
use super::decision::{ConnectionId, EvictionReason};

impl Admission {
    /// Evicts and returns the connections that are overdue: unknown clients that were idle too long, peers
    /// that do not read, and connections whose probation has expired. A connection with a call is never among
    /// them.
    pub fn evict_overdue(&mut self, now: Duration) -> Vec<(ConnectionId, EvictionReason)> {
        self.now = self.now.max(now);
        let now = self.now;
        let overdue = |since: Duration, limit: Duration| !limit.is_zero() && now - since >= limit;
        let settings = &self.settings;
        let idle = self.idle_unknown.iter().take_while(|(since, _)| overdue(*since, settings.idle_timeout));
        let mut evicted: Vec<(ConnectionId, EvictionReason)> =
            idle.map(|(_, conn)| (*conn, EvictionReason::Idle)).collect();
        let on_probation =
            |conn: &ConnectionId| self.connections.get(conn).is_some_and(|c| c.stage == Stage::Probation);
        let expired = self.pending.iter().take_while(|(since, _)| overdue(*since, settings.probation_time));
        let expired = expired.filter(|(_, conn)| on_probation(conn));
        evicted.extend(expired.map(|(_, conn)| (*conn, EvictionReason::ProbationExpired)));
        let stalled = |c: &Connection| {
            let since = c.stalled_write.map(|stalled| stalled.since);
            c.calls == 0 && since.is_some_and(|since| overdue(since, settings.slow_reader_timeout))
        };
        let slow = self.connections.iter().filter(|(_, c)| stalled(c));
        evicted.extend(slow.map(|(conn, _)| (*conn, EvictionReason::SlowReader)));
        evicted.sort_unstable();
        evicted.dedup_by_key(|(conn, _)| *conn);
        for (conn, reason) in &evicted {
            self.evict(*conn, *reason);
        }
        evicted
    }
}
