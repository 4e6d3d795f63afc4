//! The end of a handshake: an unknown client gets a slot, probation or a refusal.

use std::time::Duration;

use super::Admission;
use super::connection::Stage;
use super::decision::{ConnectionDecision, ConnectionId, EvictionReason, RefusalReason};

impl Admission {
    /// Decides on a connection that completed its handshake without authenticating. Unknown clients may use
    /// the slots that are not reserved for known clients. When all slots are taken, the connection of an
    /// unknown client without a call that has been idle longest is closed to make room.
    pub fn handshake_done(&mut self, now: Duration, conn: ConnectionId) -> ConnectionDecision {
        self.now = self.now.max(now);
        let Some(connection) = self.connections.get(&conn).filter(|c| c.stage == Stage::Handshake) else {
            return ConnectionDecision::Accept;
        };
        let (since, address) = (connection.idle_since, connection.address);
        let counted = connection.counts_against_address;
        let full = self.occupied_slots() >= self.settings.total;
        let mut victim = None;
        if full || self.occupied_slots() - self.known_connections >= self.unknown_client_slots() {
            // Evict only when every slot is taken: while reserved slots are free, an idle connection does no
            // harm.
            victim = self.idle_unknown.first().map(|(_, conn)| *conn).filter(|_| full);
            if victim.is_none() && !self.settings.probation_time.is_zero() {
                return self.begin_probation(since, conn);
            }
            let Some(victim) = victim else {
                self.remove(conn);
                let reason = if full { RefusalReason::Full } else { RefusalReason::Reserved };
                return self.refuse(reason, Duration::ZERO);
            };
            self.evict(victim, EvictionReason::SlotNeeded);
        }
        self.remove_pending(since, conn, address, counted);
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.stage = Stage::Unknown;
            connection.idle_since = self.now;
        }
        self.idle_unknown.insert((self.now, conn));
        victim.map_or(ConnectionDecision::Accept, ConnectionDecision::Replace)
    }

    /// Gives a connection that gets no slot as an unknown client some time to authenticate as a known one.
    fn begin_probation(&mut self, since: Duration, conn: ConnectionId) -> ConnectionDecision {
        self.pending.remove(&(since, conn));
        self.pending.insert((self.now, conn));
        if let Some(connection) = self.connections.get_mut(&conn) {
            (connection.stage, connection.idle_since) = (Stage::Probation, self.now);
        }
        ConnectionDecision::Probation
    }
}
