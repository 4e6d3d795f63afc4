//! Updates from a connection's activity: its calls, its messages and its unsent bytes.

use std::time::Duration;

use super::Admission;
use super::connection::{Stage, StalledWrite};
use super::decision::ConnectionId;

/// Bytes handled per read turn of an unknown client's connection: a few messages.
const UNKNOWN_CLIENT_READ_BYTES: usize = 4 * 1024;
/// Bytes handled per read turn of a known client's connection: as many as the driver reads at once.
const KNOWN_CLIENT_READ_BYTES: usize = 64 * 1024;

impl Admission {
    /// Records that a connection was active and how many calls it has, established or being set up.
    pub fn record_activity(&mut self, now: Duration, conn: ConnectionId, calls: u32) {
        self.now = self.now.max(now);
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        // A connection on probation must authenticate in time; other activity does not prolong it.
        if connection.stage.is_pending() {
            return;
        }
        let idle_since_before = std::mem::replace(&mut connection.idle_since, self.now);
        connection.calls = calls;
        match (&connection.stage, &connection.client) {
            (Stage::Known, Some(client)) => {
                let client = client.clone();
                let old_key = (client, idle_since_before, conn);
                self.idle_known.remove(&old_key);
                if calls == 0 {
                    self.idle_known.insert((old_key.0, self.now, conn));
                }
            }
            _ => {
                self.idle_unknown.remove(&(idle_since_before, conn));
                if calls == 0 {
                    self.idle_unknown.insert((self.now, conn));
                }
            }
        }
    }

    /// Charges a connection for received messages and returns how long not to read from it. What the peer
    /// sends in the meantime stays in the socket buffers, so TCP flow control slows the sender down.
    pub fn charge_messages(&mut self, now: Duration, conn: ConnectionId, messages: u32) -> Duration {
        self.now = self.now.max(now);
        let Some(connection) = self.connections.get_mut(&conn) else { return Duration::ZERO };
        let rate = if connection.stage == Stage::Known {
            &self.settings.message_rates.1
        } else {
            &self.settings.message_rates.0
        };
        connection.message_rate.charge(self.now, rate, messages)
    }

    /// Bytes of a connection to handle in one read turn. An unknown client gets short turns, so that a
    /// hundred busy connections do not make the others wait for a long round.
    #[must_use]
    pub fn read_budget(&self, conn: ConnectionId) -> usize {
        let known = self.connections.get(&conn).is_some_and(|c| c.stage == Stage::Known);
        if known { KNOWN_CLIENT_READ_BYTES } else { UNKNOWN_CLIENT_READ_BYTES }
    }

    /// Records the bytes that wait to be sent to a connection, and how many the peer has taken in total.
    pub fn record_write_progress(&mut self, now: Duration, conn: ConnectionId, waiting: usize, taken: u64) {
        self.now = self.now.max(now);
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        connection.stalled_write = match connection.stalled_write {
            _ if waiting == 0 => None,
            Some(stalled) if stalled.taken_bytes == taken => Some(stalled),
            _ => Some(StalledWrite { taken_bytes: taken, since: now }),
        };
    }
}
