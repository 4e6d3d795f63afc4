//! The counts and orderings that a connection is part of from its arrival to its end.

use std::net::IpAddr;
use std::time::Duration;

use super::Admission;
use super::connection::{Connection, Stage};
use super::decision::{ConnectionId, EvictionReason};
use crate::rate_limiter::Gcra;

impl Admission {
    /// Slots taken by connections that are past handshake and probation.
    pub(super) fn occupied_slots(&self) -> usize {
        self.connections.len() - self.pending.len()
    }

    /// Slots that unknown clients may use now.
    pub(super) fn unknown_client_slots(&self) -> usize {
        let unused_reserve = self.reserve.size().saturating_sub(self.known_connections);
        self.settings.total.saturating_sub(self.known_connections + unused_reserve)
    }

    /// Adds a connection that begins its handshake.
    pub(super) fn insert(&mut self, conn: ConnectionId, address: IpAddr, counts_against_address: bool) {
        if counts_against_address {
            self.count_address(address);
        }
        self.pending.insert((self.now, conn));
        let connection = Connection {
            address,
            counts_against_address,
            stage: Stage::Handshake,
            client: None,
            calls: 0,
            idle_since: self.now,
            message_rate: Gcra::default(),
            stalled_write: None,
        };
        self.connections.insert(conn, connection);
    }

    /// Counts a connection in its handshake against its address and network.
    pub(super) fn count_address(&mut self, address: IpAddr) {
        self.by_address.add(address);
        self.by_network.add(self.settings.network(address));
        self.pending_by_address.add(address);
    }

    /// A connection no longer counts against its address and network.
    pub(super) fn uncount_address(&mut self, address: IpAddr) {
        self.by_address.remove(&address);
        self.by_network.remove(&self.settings.network(address));
    }

    /// Handshake or probation of a connection is over.
    pub(super) fn remove_pending(
        &mut self,
        since: Duration,
        conn: ConnectionId,
        address: IpAddr,
        counts_against_address: bool,
    ) {
        self.pending.remove(&(since, conn));
        if counts_against_address {
            self.pending_by_address.remove(&address);
        }
    }

    /// Closes an accepted connection and counts the reason.
    pub(super) fn evict(&mut self, conn: ConnectionId, reason: EvictionReason) {
        *self.evicted.entry(reason).or_default() += 1;
        self.remove(conn);
    }

    /// Records that a connection has closed.
    pub fn connection_closed(&mut self, now: Duration, conn: ConnectionId) {
        self.now = self.now.max(now);
        self.remove(conn);
    }

    /// Removes a connection from all counts and orderings.
    pub(super) fn remove(&mut self, conn: ConnectionId) {
        let Some(connection) = self.connections.remove(&conn) else { return };
        let (address, counted) = (connection.address, connection.counts_against_address);
        match (connection.stage, &connection.client) {
            (Stage::Handshake | Stage::Probation, _) => {
                self.remove_pending(connection.idle_since, conn, address, counted);
            }
            (Stage::Known, Some(client)) => {
                self.known_connections -= 1;
                self.by_client.remove(client);
                self.idle_known.remove(&(client.clone(), connection.idle_since, conn));
            }
            _ => drop(self.idle_unknown.remove(&(connection.idle_since, conn))),
        }
        if counted {
            self.uncount_address(address);
        }
    }
}
