//! The counts and orders that a connection stands in from its arrival to its end.

use std::net::IpAddr;
use std::time::Duration;

use super::Admission;
use super::connection::{Entry, Stage};
use super::decision::{ConnectionId, EvictionReason};
use crate::rate_limiter::Gcra;

impl Admission {
    /// Places taken by those who have shown what they are.
    pub(super) fn placed(&self) -> usize {
        self.conns.len() - self.unproven.len()
    }

    /// Places that strangers may use now.
    pub(super) fn for_strangers(&self) -> usize {
        let unused = self.reserve.size().saturating_sub(self.known);
        self.settings.total.saturating_sub(self.known + unused)
    }

    /// A connection begins its handshake.
    pub(super) fn insert(&mut self, conn: ConnectionId, address: IpAddr, counted: bool) {
        if counted {
            self.count(address);
        }
        self.unproven.insert((self.now, conn));
        let entry = Entry {
            address,
            counted,
            stage: Stage::Handshake,
            client: None,
            calls: 0,
            idle_since: self.now,
            pace: Gcra::default(),
            stuck: None,
        };
        self.conns.insert(conn, entry);
    }

    /// A connection in its handshake counts against its address from now on.
    pub(super) fn count(&mut self, address: IpAddr) {
        self.by_address.add(address);
        self.by_prefix.add(self.settings.network(address));
        self.unproven_by_address.add(address);
    }

    /// A connection no longer counts against its address.
    pub(super) fn uncount(&mut self, address: IpAddr) {
        self.by_address.remove(&address);
        self.by_prefix.remove(&self.settings.network(address));
    }

    /// A connection has shown what it is, or goes without.
    pub(super) fn end_unproven(
        &mut self,
        since: Duration,
        conn: ConnectionId,
        address: IpAddr,
        counted: bool,
    ) {
        self.unproven.remove(&(since, conn));
        if counted {
            self.unproven_by_address.remove(&address);
        }
    }

    /// Closes a connection that was in, and counts why.
    pub(super) fn evict(&mut self, conn: ConnectionId, why: EvictionReason) {
        *self.evicted.entry(why).or_default() += 1;
        self.remove(conn);
    }

    /// A connection is gone.
    pub fn connection_closed(&mut self, now: Duration, conn: ConnectionId) {
        self.now = self.now.max(now);
        self.remove(conn);
    }

    /// Takes a connection out of all counts and orders.
    pub(super) fn remove(&mut self, conn: ConnectionId) {
        let Some(entry) = self.conns.remove(&conn) else { return };
        match (entry.stage, &entry.client) {
            (Stage::Handshake | Stage::Probation, _) => {
                self.end_unproven(entry.idle_since, conn, entry.address, entry.counted);
            }
            (Stage::Known, Some(client)) => {
                self.known -= 1;
                self.by_client.remove(client);
                self.idle_known.remove(&(client.clone(), entry.idle_since, conn));
            }
            _ => drop(self.idle.remove(&(entry.idle_since, conn))),
        }
        if entry.counted {
            self.uncount(entry.address);
        }
    }
}
