//! A connection has authenticated as a known client.

use std::sync::Arc;
use std::time::Duration;

use super::Admission;
use super::connection::Stage;
use super::decision::{ConnectionDecision, ConnectionId, EvictionReason, RefusalReason};

impl Admission {
    /// Decides on a connection that has authenticated as a known client. It no longer counts against its
    /// address and network, so that other clients behind the same address do not shut out a branch office.
    /// When all slots are taken, an idle unknown client is evicted. If there is none, the known client with
    /// the most connections loses its longest idle connection without a call, provided that it holds more
    /// than this client then does.
    pub fn authenticated(
        &mut self,
        now: Duration,
        conn: ConnectionId,
        client: &Arc<str>,
    ) -> ConnectionDecision {
        self.now = self.now.max(now);
        let Some(connection) = self.connections.get(&conn).filter(|c| c.stage != Stage::Known) else {
            return ConnectionDecision::Accept;
        };
        let (address, counted) = (connection.address, connection.counts_against_address);
        let (stage, since) = (connection.stage, connection.idle_since);
        let held = self.by_client.get(client);
        let limit = self.client_limits.get(client).copied().unwrap_or(self.settings.per_client);
        if held >= limit {
            self.remove(conn);
            return self.refuse(RefusalReason::Client, Duration::ZERO);
        }
        let mut victim = None;
        if stage.is_pending() && self.occupied_slots() >= self.settings.total {
            let idle_unknown = self.idle_unknown.first().map(|(_, conn)| *conn);
            victim = idle_unknown.or_else(|| self.idle_of_largest_client(held + 1));
            let Some(victim) = victim else {
                self.remove(conn);
                return self.refuse(RefusalReason::Full, Duration::ZERO);
            };
            self.evict(victim, EvictionReason::SlotNeeded);
        }
        if stage.is_pending() {
            self.remove_pending(since, conn, address, counted);
        }
        self.idle_unknown.remove(&(since, conn));
        if counted {
            self.uncount_address(address);
        }
        self.set_known(conn, client);
        victim.map_or(ConnectionDecision::Accept, ConnectionDecision::Replace)
    }

    /// The longest idle connection of the known client with the most connections, among clients with more
    /// than `more_than` connections.
    fn idle_of_largest_client(&self, more_than: usize) -> Option<ConnectionId> {
        let mut clients: Vec<_> = self.by_client.iter().filter(|(_, open)| *open > more_than).collect();
        clients.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        let longest_idle = |client: &Arc<str>| {
            let from = (client.clone(), Duration::ZERO, ConnectionId(0));
            self.idle_known.range(from..).next().filter(|e| e.0 == *client).map(|e| e.2)
        };
        clients.into_iter().find_map(|(client, _)| longest_idle(client))
    }

    /// Records that a connection belongs to a known client.
    fn set_known(&mut self, conn: ConnectionId, client: &Arc<str>) {
        self.by_client.add(client.clone());
        self.known_connections += 1;
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.stage = Stage::Known;
            connection.counts_against_address = false;
            connection.idle_since = self.now;
            connection.client = Some(client.clone());
            if connection.calls == 0 {
                self.idle_known.insert((client.clone(), self.now, conn));
            }
        }
        self.reserve.record(self.now, self.known_connections);
    }
}
