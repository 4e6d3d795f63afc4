//! A connection has shown that it is a known client's.

use std::sync::Arc;
use std::time::Duration;

use super::Admission;
use super::connection::Stage;
use super::decision::{ConnectionDecision, ConnectionId, EvictionReason, RefusalReason};

impl Admission {
    /// A connection has shown that it is a known client's. It no longer counts against its address and prefix, so
    /// that a branch office behind one address is not shut out by its neighbours. In a full house of known clients
    /// the one that holds most gives up the connection without a call that was idle for longest, if it holds more
    /// than this one then does.
    pub fn authenticated(
        &mut self,
        now: Duration,
        conn: ConnectionId,
        client: &Arc<str>,
    ) -> ConnectionDecision {
        self.now = self.now.max(now);
        let Some(entry) = self.conns.get(&conn).filter(|e| e.stage != Stage::Known) else {
            return ConnectionDecision::Accept;
        };
        let (address, counted, stage, since) = (entry.address, entry.counted, entry.stage, entry.idle_since);
        let held = self.by_client.of(client);
        let limit = self.client_limits.get(client).copied().unwrap_or(self.settings.per_client);
        if held >= limit {
            self.remove(conn);
            return self.refuse(RefusalReason::Client, Duration::ZERO);
        }
        let mut victim = None;
        if stage.unproven() && self.placed() >= self.settings.total {
            victim = self.idle.first().map(|(_, conn)| *conn).or_else(|| self.idle_of_largest(held + 1));
            let Some(victim) = victim else {
                self.remove(conn);
                return self.refuse(RefusalReason::Full, Duration::ZERO);
            };
            self.evict(victim, EvictionReason::PlaceNeeded);
        }
        if stage.unproven() {
            self.end_unproven(since, conn, address, counted);
        }
        self.idle.remove(&(since, conn));
        if counted {
            self.uncount(address);
        }
        self.place_known(conn, client);
        victim.map_or(ConnectionDecision::Accept, ConnectionDecision::Replace)
    }

    /// The longest idle connection of the client that holds most, if it holds more than so many.
    fn idle_of_largest(&self, more_than: usize) -> Option<ConnectionId> {
        let mut clients: Vec<_> = self.by_client.iter().filter(|(_, open)| *open > more_than).collect();
        clients.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        let first = |client: &Arc<str>| {
            let from = (client.clone(), Duration::ZERO, ConnectionId(0));
            self.idle_known.range(from..).next().filter(|e| e.0 == *client).map(|e| e.2)
        };
        clients.into_iter().find_map(|(client, _)| first(client))
    }

    /// A connection stands in its client's place from now on.
    fn place_known(&mut self, conn: ConnectionId, client: &Arc<str>) {
        self.by_client.add(client.clone());
        self.known += 1;
        if let Some(entry) = self.conns.get_mut(&conn) {
            (entry.stage, entry.counted, entry.idle_since) = (Stage::Known, false, self.now);
            entry.client = Some(client.clone());
            if entry.calls == 0 {
                self.idle_known.insert((client.clone(), self.now, conn));
            }
        }
        self.reserve.record(self.now, self.known);
    }
}
