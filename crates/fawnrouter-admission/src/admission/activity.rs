//! What a connection does: its calls, its messages, and the bytes that it reads.

use std::time::Duration;

use super::Admission;
use super::connection::Stage;
use super::decision::ConnectionId;

/// Bytes of one turn: a few messages of a stranger, as many of a known client as the driver reads at once.
const STRANGER_TURN: usize = 4 * 1024;
const KNOWN_TURN: usize = 64 * 1024;

impl Admission {
    /// A connection does something: it has so many calls standing or out.
    pub fn record_activity(&mut self, now: Duration, conn: ConnectionId, calls: u32) {
        self.now = self.now.max(now);
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        // One on probation shows what it is or goes; whatever else it does changes nothing.
        if entry.stage.unproven() {
            return;
        }
        let before = std::mem::replace(&mut entry.idle_since, self.now);
        entry.calls = calls;
        match (&entry.stage, &entry.client) {
            (Stage::Known, Some(client)) => {
                let client = client.clone();
                let was = (client, before, conn);
                self.idle_known.remove(&was);
                if calls == 0 {
                    self.idle_known.insert((was.0, self.now, conn));
                }
            }
            _ => {
                self.idle.remove(&(before, conn));
                if calls == 0 {
                    self.idle.insert((self.now, conn));
                }
            }
        }
    }

    /// A connection has sent so many messages: how long it is not to be read. What it sends meanwhile waits in the
    /// sockets, and so with its sender.
    pub fn charge_messages(&mut self, now: Duration, conn: ConnectionId, messages: u32) -> Duration {
        self.now = self.now.max(now);
        let Some(entry) = self.conns.get_mut(&conn) else { return Duration::ZERO };
        let rate = if entry.stage == Stage::Known {
            &self.settings.message_rates.1
        } else {
            &self.settings.message_rates.0
        };
        entry.pace.charge(self.now, rate, messages)
    }

    /// Bytes that a connection may have worked on in one turn. One that sends more than it is worth has short turns,
    /// so that a hundred of them do not make a long round for those who wait.
    #[must_use]
    pub fn read_budget(&self, conn: ConnectionId) -> usize {
        let known = self.conns.get(&conn).is_some_and(|e| e.stage == Stage::Known);
        if known { KNOWN_TURN } else { STRANGER_TURN }
    }

    /// So many bytes wait for a connection, which has taken so many in all.
    pub fn record_write_progress(&mut self, now: Duration, conn: ConnectionId, waiting: usize, taken: u64) {
        self.now = self.now.max(now);
        let now = self.now;
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        entry.stuck = match entry.stuck {
            _ if waiting == 0 => None,
            Some((before, since)) if before == taken => Some((before, since)),
            _ => Some((taken, now)),
        };
    }
}
