//! Checks on a new connection by its source address, which may be the peer's own or named by a trusted
//! forwarder.

use std::net::IpAddr;
use std::time::Duration;

use super::Admission;
use super::connection::{Connection, Stage};
use super::decision::{Arrival, ConnectionDecision, ConnectionId, EvictionReason, RefusalReason};

/// When all handshake slots are taken, a new connection may replace a handshake that is at least this old. A
/// normal handshake takes a few round trips, and those drawn out on purpose are the oldest. While such a
/// flood lasts, this also hits legitimate clients with longer round trips.
const REPLACEABLE_HANDSHAKE_AGE: Duration = Duration::from_millis(200);

impl Admission {
    /// Whether the address belongs to a trusted forwarder, which will name the source of the connection.
    #[must_use]
    pub fn is_forwarder(&self, address: IpAddr) -> bool {
        self.settings.is_forwarder(address)
    }

    /// The source address of a forwarded connection, given the addresses that the forwarders on its path
    /// reported (the last one last): the nearest address that is not a forwarder's. Addresses beyond a hidden
    /// hop are not trusted, because anyone may have written them.
    #[must_use]
    pub fn source_address(&self, hops: &[Option<IpAddr>]) -> Option<IpAddr> {
        hops.iter()
            .rev()
            .find(|hop| !hop.is_some_and(|address| self.is_forwarder(address)))
            .copied()
            .flatten()
    }

    /// The checks that depend on the address alone, except its rate.
    fn check_address(&mut self, address: IpAddr) -> Result<(), (RefusalReason, Duration)> {
        if let Some(time_left) = self.blocked.time_left(self.now, address) {
            return Err((RefusalReason::Blocked, time_left));
        }
        let settings = &self.settings;
        let exception = settings.exception(address);
        if self.by_address.get(&address) >= exception.unwrap_or(settings.per_address) {
            return Err((RefusalReason::Address, Duration::ZERO));
        }
        let of_network = self.by_network.get(&settings.network(address));
        if of_network >= exception.unwrap_or(0).max(settings.per_network) {
            return Err((RefusalReason::Network, Duration::ZERO));
        }
        if self.pending_by_address.get(&address) >= settings.handshakes_per_address {
            return Err((RefusalReason::Handshakes, Duration::ZERO));
        }
        Ok(())
    }

    /// Decides on a new connection. If accepted, it is in its handshake.
    pub fn arrive(&mut self, now: Duration, arrival: Arrival) -> ConnectionDecision {
        self.now = self.now.max(now);
        self.reserve.record(self.now, self.known_connections);
        let Arrival { conn, address } = arrival;
        let forwarder = self.is_forwarder(address);
        if !forwarder && let Err((reason, min_wait)) = self.check_address(address) {
            return self.refuse(reason, min_wait);
        }
        let oldest = self.pending.first().copied();
        let full = self.pending.len() >= self.settings.handshakes;
        let victim = oldest.filter(|(since, _)| full && self.now - *since >= REPLACEABLE_HANDSHAKE_AGE);
        if full && victim.is_none() {
            return self.refuse(RefusalReason::Handshakes, Duration::ZERO);
        }
        // The rate is checked last, because a connection refused above must not use up its address's rate.
        if !forwarder && let Err(wait) = self.limiter.arrive(self.now, address) {
            return self.refuse(RefusalReason::Rate, wait);
        }
        if let Some((_, victim)) = victim {
            self.evict(victim, EvictionReason::SlotNeeded);
        }
        self.insert(conn, address, !forwarder);
        victim.map_or(ConnectionDecision::Accept, |(_, victim)| ConnectionDecision::Replace(victim))
    }

    /// Sets the source address that a forwarder named for a connection in its handshake, and checks it.
    /// Ignored unless the connection came from a trusted forwarder: other peers are not believed.
    pub fn set_forwarded_source(
        &mut self,
        now: Duration,
        conn: ConnectionId,
        address: IpAddr,
    ) -> ConnectionDecision {
        self.now = self.now.max(now);
        let awaits_source = |c: &Connection| c.stage == Stage::Handshake && !c.counts_against_address;
        if !self.connections.get(&conn).is_some_and(awaits_source) || self.is_forwarder(address) {
            return ConnectionDecision::Accept;
        }
        let checked = self.check_address(address).and_then(|()| {
            self.limiter.arrive(self.now, address).map_err(|wait| (RefusalReason::Rate, wait))
        });
        if let Err((reason, min_wait)) = checked {
            self.remove(conn);
            return self.refuse(reason, min_wait);
        }
        self.count_address(address);
        if let Some(connection) = self.connections.get_mut(&conn) {
            (connection.address, connection.counts_against_address) = (address, true);
        }
        ConnectionDecision::Accept
    }
}
