//! A handshake is done: whether a stranger gets a place, a time to show what it is, or nothing.

use std::time::Duration;

use super::Admission;
use super::connection::Stage;
use super::decision::{ConnectionDecision, ConnectionId, EvictionReason, RefusalReason};

impl Admission {
    /// A handshake is done without saying who it is. A stranger may use what is not kept for known clients; where
    /// nothing of that is left, the stranger without a call that was idle for longest makes room.
    pub fn handshake_done(&mut self, now: Duration, conn: ConnectionId) -> ConnectionDecision {
        self.now = self.now.max(now);
        let Some(entry) = self.conns.get(&conn).filter(|e| e.stage == Stage::Handshake) else {
            return ConnectionDecision::Accept;
        };
        let (since, address, counted) = (entry.idle_since, entry.address, entry.counted);
        let full = self.placed() >= self.settings.total;
        let mut victim = None;
        if full || self.placed() - self.known >= self.for_strangers() {
            // Only a full house drives out: in a reserve that nobody uses yet, an idle stranger harms nobody.
            victim = self.idle.first().map(|(_, conn)| *conn).filter(|_| full);
            if victim.is_none() && !self.settings.probation_time.is_zero() {
                return self.begin_probation(since, conn);
            }
            let Some(victim) = victim else {
                self.remove(conn);
                return self.refuse(
                    if full { RefusalReason::Full } else { RefusalReason::Reserved },
                    Duration::ZERO,
                );
            };
            self.evict(victim, EvictionReason::PlaceNeeded);
        }
        self.end_unproven(since, conn, address, counted);
        if let Some(entry) = self.conns.get_mut(&conn) {
            entry.stage = Stage::Unknown;
            entry.idle_since = self.now;
        }
        self.idle.insert((self.now, conn));
        victim.map_or(ConnectionDecision::Accept, ConnectionDecision::Replace)
    }

    /// A stranger without a place has from now on some time to show that it is a known client's.
    fn begin_probation(&mut self, since: Duration, conn: ConnectionId) -> ConnectionDecision {
        self.unproven.remove(&(since, conn));
        self.unproven.insert((self.now, conn));
        if let Some(entry) = self.conns.get_mut(&conn) {
            (entry.stage, entry.idle_since) = (Stage::Probation, self.now);
        }
        ConnectionDecision::Probation
    }
}
