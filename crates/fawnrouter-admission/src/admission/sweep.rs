//! Who is closed as time passes.

use std::time::Duration;

use super::Admission;
use super::connection::{Entry, Stage};
use super::verdict::{Conn, Eviction};

impl Admission {
    /// Who is to be closed now: strangers that were idle for too long, those that do not read, and those whose time
    /// to show what they are is up. A connection with a call is never among them.
    pub fn sweep(&mut self, now: Duration) -> Vec<(Conn, Eviction)> {
        self.now = self.now.max(now);
        let now = self.now;
        let over = |since: Duration, limit: Duration| !limit.is_zero() && now - since >= limit;
        let settings = &self.settings;
        let idle = self.idle.iter().take_while(|(since, _)| over(*since, settings.idle));
        let mut out: Vec<(Conn, Eviction)> = idle.map(|(_, conn)| (*conn, Eviction::Idle)).collect();
        let on_probation = |conn: &Conn| self.conns.get(conn).is_some_and(|e| e.stage == Stage::Probation);
        let unproven = self.unproven.iter().take_while(|(since, _)| over(*since, settings.prove));
        let unproven = unproven.filter(|(_, conn)| on_probation(conn));
        out.extend(unproven.map(|(_, conn)| (*conn, Eviction::Unproven)));
        let stuck = |e: &Entry| e.calls == 0 && e.stuck.is_some_and(|(_, since)| over(since, settings.slow));
        let slow = self.conns.iter().filter(|(_, e)| stuck(e)).map(|(conn, _)| (*conn, Eviction::Slow));
        out.extend(slow.collect::<Vec<_>>());
        out.sort_unstable();
        out.dedup_by_key(|(conn, _)| *conn);
        for (conn, why) in &out {
            self.evict(*conn, *why);
        }
        out
    }
}
