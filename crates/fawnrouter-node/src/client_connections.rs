//! Which client connection is closed, when and why.
//!
//! A connection with an open set-up is never closed to make room or for silence. When room is needed the
//! others go in this order: those that never sent a whole message, those that sent no set-up, those without a
//! call, those that had one, those on which the release of an established call is still to be sent; among
//! equals the one that has been idle longest.
//!
//! The callers are one party, so the release of a call whose connection is gone can be sent on another
//! connection, but only on a caller's: other clients send set-ups too, whatever they are worth. A connection
//! is a caller's once a core switch has dealt with a call on it as such ([`Usage::ReachedNumber`]), or its
//! client has shown that it knows an established call ([`Usage::CarriedCall`]).

use std::collections::BTreeMap;
use std::time::Duration;

use fawnrouter::Time;

/// A client's connection, numbered by the driver. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// A connection that has sent no whole message, or has left an incomplete line, is closed after this long.
/// The platform requires misbehaving clients to be disconnected within 3 s.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);

/// What a connection has been used for. Ordered, so that clients that only connect or only send tests,
/// however many, evict nobody who has calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Usage {
    /// It has not sent a whole message.
    Silent,
    /// It has sent a message, but no valid set-up.
    SentMessage,
    /// It has sent a valid set-up.
    SentSetUp,
    /// A core switch has looked for the number that was called on it, and found it busy.
    ReachedNumber,
    /// A call was established on it, or its client has reported, released or confirmed an established call.
    CarriedCall,
}

#[derive(Debug)]
struct ClientConnection {
    usage: Usage,
    /// Since when a whole message is missing: from its arrival, or since an incomplete line came.
    incomplete_since: Option<Time>,
    idle_since: Time,
    /// Open set-ups on this connection.
    open_set_ups: usize,
    /// Established calls whose release is to be sent on it.
    established_calls: usize,
}

/// Whether a connection is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// There is room.
    Admitted,
    /// There is room once this connection is closed.
    AdmittedInPlaceOf(ClientId),
    /// All connections have open set-ups.
    Full,
}

/// The client connections that are being served.
#[derive(Debug)]
pub(crate) struct ClientConnections {
    max_connections: usize,
    connections: BTreeMap<ClientId, ClientConnection>,
}

impl ClientConnections {
    pub fn new(max_connections: usize) -> Self {
        Self { max_connections, connections: BTreeMap::new() }
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// The ids of all connections that are served.
    pub fn ids(&self) -> Vec<ClientId> {
        self.connections.keys().copied().collect()
    }

    pub fn contains(&self, client: ClientId) -> bool {
        self.connections.contains_key(&client)
    }

    /// Admits a new connection if there is room.
    pub fn admit(&mut self, now: Time, client: ClientId) -> Admission {
        let mut admission = Admission::Admitted;
        if self.connections.len() >= self.max_connections {
            let free = self.connections.iter().filter(|(_, c)| c.open_set_ups == 0);
            let Some((evicted, _)) =
                free.min_by_key(|(id, c)| (c.usage, c.established_calls > 0, c.idle_since, **id))
            else {
                return Admission::Full;
            };
            admission = Admission::AdmittedInPlaceOf(*evicted);
        }
        let connection = ClientConnection {
            usage: Usage::Silent,
            incomplete_since: Some(now),
            idle_since: now,
            open_set_ups: 0,
            established_calls: 0,
        };
        self.connections.insert(client, connection);
        admission
    }

    pub fn remove(&mut self, client: ClientId) -> bool {
        self.connections.remove(&client).is_some()
    }

    /// Records that a whole message arrived.
    pub fn message_received(&mut self, now: Time, client: ClientId) {
        if let Some(connection) = self.connections.get_mut(&client) {
            (connection.usage, connection.incomplete_since, connection.idle_since) =
                (connection.usage.max(Usage::SentMessage), None, now);
        }
    }

    fn raise_usage(&mut self, client: ClientId, usage: Usage) {
        if let Some(connection) = self.connections.get_mut(&client) {
            connection.usage = connection.usage.max(usage);
        }
    }

    /// Records that a valid set-up arrived.
    pub fn set_up_received(&mut self, client: ClientId) {
        self.raise_usage(client, Usage::SentSetUp);
    }

    /// Records that a core switch found the number busy that was called on the connection.
    pub fn number_reached(&mut self, client: ClientId) {
        self.raise_usage(client, Usage::ReachedNumber);
    }

    /// Records that the client knows an established call: it has released it or confirmed its release.
    pub fn established_call_known(&mut self, client: ClientId) {
        self.raise_usage(client, Usage::CarriedCall);
    }

    /// Records whether an incomplete line is left after a read. Each read that leaves one restarts the time
    /// of a connection that has sent a message before, so that a caller whose process is slow to be scheduled
    /// is not cut off.
    pub fn set_partial_line(&mut self, now: Time, client: ClientId, partial: bool) {
        if let Some(connection) = self.connections.get_mut(&client).filter(|c| c.usage > Usage::Silent) {
            connection.incomplete_since = partial.then_some(now);
        }
    }

    /// Records that a set-up on the connection opened or ended.
    pub fn set_open_set_ups(&mut self, now: Time, client: ClientId, open: usize) {
        if let Some(connection) = self.connections.get_mut(&client) {
            (connection.open_set_ups, connection.idle_since) = (open, now);
        }
    }

    /// When the connection is overdue, if a whole message is missing.
    pub fn silence_deadline(&self, client: ClientId) -> Option<Time> {
        self.connections
            .get(&client)
            .and_then(|c| c.incomplete_since)
            .map(|since| since.plus(SILENCE_TIMEOUT))
    }

    /// Whether it has been silent too long.
    pub fn is_overdue(&self, now: Time, client: ClientId) -> bool {
        let connection = self.connections.get(&client).filter(|c| c.open_set_ups == 0);
        connection.and_then(|c| c.incomplete_since).is_some_and(|since| now.since(since) >= SILENCE_TIMEOUT)
    }

    /// Counts one established call more (`added`) or less whose release is to be sent on this connection.
    pub fn count_established(&mut self, client: ClientId, added: bool) {
        if let Some(connection) = self.connections.get_mut(&client) {
            if added {
                (connection.usage, connection.established_calls) =
                    (Usage::CarriedCall, connection.established_calls + 1);
            } else {
                connection.established_calls = connection.established_calls.saturating_sub(1);
            }
        }
    }

    /// The connection for releases of calls whose own connection is gone: of those that are known to be
    /// callers', the most recently used one of the best.
    pub fn most_recent_caller(&self) -> Option<ClientId> {
        self.most_recent_with(Usage::ReachedNumber)
    }

    /// As [`Self::most_recent_caller`], or else the most recently used connection that has sent a valid
    /// set-up, which is a caller's as far as is known.
    pub fn most_recent_set_up_sender(&self) -> Option<ClientId> {
        self.most_recent_with(Usage::SentSetUp)
    }

    fn most_recent_with(&self, least: Usage) -> Option<ClientId> {
        let used = self.connections.iter().filter(|(_, c)| c.usage >= least);
        used.max_by_key(|(id, c)| (c.usage, c.idle_since, **id)).map(|(id, _)| *id)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time(Duration::from_millis(ms))
    }

    #[test]
    fn connections_that_only_connect_or_test_evict_no_client_with_calls() {
        let mut connections = ClientConnections::new(4);
        (1..=4).for_each(|n| assert_eq!(connections.admit(at(n), ClientId(n)), Admission::Admitted));
        [1, 2].into_iter().for_each(|n| connections.count_established(ClientId(n), true));
        connections.count_established(ClientId(2), false);
        connections.message_received(at(10), ClientId(4));
        for (newcomer, evicted) in [(5, 3), (6, 5), (7, 6)] {
            assert_eq!(
                connections.admit(at(20), ClientId(newcomer)),
                Admission::AdmittedInPlaceOf(ClientId(evicted))
            );
            connections.remove(ClientId(evicted));
        }
        connections.message_received(at(30), ClientId(7));
        assert_eq!(
            connections.admit(at(40), ClientId(8)),
            Admission::AdmittedInPlaceOf(ClientId(4)),
            "it only sent tests"
        );
        connections.remove(ClientId(4));
        [7, 8].into_iter().for_each(|n| connections.set_open_set_ups(at(50), ClientId(n), 1));
        assert_eq!(
            connections.admit(at(60), ClientId(9)),
            Admission::AdmittedInPlaceOf(ClientId(2)),
            "no call is established there any more"
        );
        assert_eq!(connections.most_recent_caller(), Some(ClientId(2)));
    }

    #[test]
    fn silent_connections_are_evicted_first_then_longest_idle_and_never_busy_ones() {
        let mut connections = ClientConnections::new(3);
        for n in 1..=3 {
            assert_eq!(connections.admit(at(n), ClientId(n)), Admission::Admitted);
        }
        connections.message_received(at(10), ClientId(1));
        connections.message_received(at(20), ClientId(2));
        assert_eq!(connections.admit(at(30), ClientId(4)), Admission::AdmittedInPlaceOf(ClientId(3)));
        connections.remove(ClientId(3));
        connections.message_received(at(30), ClientId(4));
        assert_eq!(connections.admit(at(40), ClientId(5)), Admission::AdmittedInPlaceOf(ClientId(1)));
        connections.remove(ClientId(1));
        for n in [2, 4, 5] {
            connections.set_open_set_ups(at(50), ClientId(n), 1);
        }
        assert_eq!(connections.admit(at(60), ClientId(6)), Admission::Full);
        assert!(!connections.contains(ClientId(6)));
    }

    #[test]
    fn silent_and_partial_line_connections_are_overdue_unless_a_set_up_is_open() {
        let mut connections = ClientConnections::new(3);
        connections.admit(at(0), ClientId(1));
        assert!(
            !connections.is_overdue(at(2499), ClientId(1)) && connections.is_overdue(at(2500), ClientId(1))
        );
        // An incomplete line is not a message: the time since arrival counts on.
        connections.set_partial_line(at(2000), ClientId(1), true);
        assert!(connections.is_overdue(at(2500), ClientId(1)));
        connections.message_received(at(2400), ClientId(1));
        assert!(!connections.is_overdue(at(9000), ClientId(1)));
        connections.set_partial_line(at(9000), ClientId(1), true);
        assert!(
            !connections.is_overdue(at(11_400), ClientId(1))
                && connections.is_overdue(at(11_500), ClientId(1))
        );
        connections.set_open_set_ups(at(9000), ClientId(1), 1);
        assert!(!connections.is_overdue(at(20_000), ClientId(1)));
    }
}
