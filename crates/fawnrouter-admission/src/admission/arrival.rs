//! A connection comes: the checks that go by its address, directly or as a trusted forwarder names it.

use std::net::IpAddr;
use std::time::Duration;

use super::Admission;
use super::connection::{Entry, Stage};
use super::decision::{Arrival, ConnectionDecision, ConnectionId, EvictionReason, RefusalReason};

/// A handshake this old gives way to a newcomer when all places for handshakes are taken: an honest one takes a few
/// round trips, and those that are drawn out on purpose are the oldest. Harms honest clients whose round trip is
/// longer, while such a flood lasts.
const SLOW_HANDSHAKE: Duration = Duration::from_millis(200);

impl Admission {
    /// Whether this address is a forwarder's, who will say where the connection comes from.
    #[must_use]
    pub fn is_forwarder(&self, address: IpAddr) -> bool {
        self.settings.is_forwarder(address)
    }

    /// Where a connection comes from, by what the forwarders on its way said, the last one last: the nearest address
    /// that is no forwarder's. Nothing beyond a hop that hides itself is believed, as anybody may have written it.
    #[must_use]
    pub fn source_address(&self, hops: &[Option<IpAddr>]) -> Option<IpAddr> {
        hops.iter()
            .rev()
            .find(|hop| !hop.is_some_and(|address| self.is_forwarder(address)))
            .copied()
            .flatten()
    }

    /// The checks that go by the address alone.
    fn judge_address(&mut self, address: IpAddr) -> Result<(), (RefusalReason, Duration)> {
        if let Some(left) = self.blocked.time_left(self.now, address) {
            return Err((RefusalReason::Blocked, left));
        }
        let settings = &self.settings;
        let exception = settings.exception(address);
        if self.by_address.of(&address) >= exception.unwrap_or(settings.per_address) {
            return Err((RefusalReason::Address, Duration::ZERO));
        }
        let of_prefix = self.by_prefix.of(&settings.network(address));
        if of_prefix >= exception.unwrap_or(0).max(settings.per_prefix) {
            return Err((RefusalReason::Prefix, Duration::ZERO));
        }
        if self.unproven_by_address.of(&address) >= settings.handshakes_per_address {
            return Err((RefusalReason::Handshakes, Duration::ZERO));
        }
        Ok(())
    }

    /// A connection has come. If it gets in, it is in its handshake.
    pub fn arrive(&mut self, now: Duration, arrival: Arrival) -> ConnectionDecision {
        self.now = self.now.max(now);
        self.reserve.record(self.now, self.known);
        let Arrival { conn, address } = arrival;
        let forwarder = self.is_forwarder(address);
        if !forwarder && let Err((reason, least)) = self.judge_address(address) {
            return self.refuse(reason, least);
        }
        let victim = self.unproven.first().copied();
        let full = self.unproven.len() >= self.settings.handshakes;
        let victim = victim.filter(|(since, _)| full && self.now - *since >= SLOW_HANDSHAKE);
        if full && victim.is_none() {
            return self.refuse(RefusalReason::Handshakes, Duration::ZERO);
        }
        // Last of the checks that concern the address: a refusal above must not use up its rate.
        if !forwarder && let Err(wait) = self.limiter.arrive(self.now, address) {
            return self.refuse(RefusalReason::Rate, wait);
        }
        if let Some((_, slow)) = victim {
            self.evict(slow, EvictionReason::PlaceNeeded);
        }
        self.insert(conn, address, !forwarder);
        victim.map_or(ConnectionDecision::Accept, |(_, slow)| ConnectionDecision::Replace(slow))
    }

    /// A forwarder has said where a connection in its handshake comes from. Ignored unless the connection came from
    /// a forwarder: what anybody else says of itself is not believed.
    pub fn set_forwarded_source(
        &mut self,
        now: Duration,
        conn: ConnectionId,
        address: IpAddr,
    ) -> ConnectionDecision {
        self.now = self.now.max(now);
        let waits = |e: &Entry| e.stage == Stage::Handshake && !e.counted;
        if !self.conns.get(&conn).is_some_and(waits) || self.is_forwarder(address) {
            return ConnectionDecision::Accept;
        }
        let judged = self.judge_address(address).and_then(|()| {
            self.limiter.arrive(self.now, address).map_err(|wait| (RefusalReason::Rate, wait))
        });
        if let Err((reason, least)) = judged {
            self.remove(conn);
            return self.refuse(reason, least);
        }
        self.count(address);
        if let Some(entry) = self.conns.get_mut(&conn) {
            (entry.address, entry.counted) = (address, true);
        }
        ConnectionDecision::Accept
    }
}
