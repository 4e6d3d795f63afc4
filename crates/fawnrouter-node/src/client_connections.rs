//! Which client's connection is closed, when and why.
//!
//! A connection with a set-up open is never closed for room or for silence. The others go in this order when room is
//! needed: those that have never said anything whole, those that have had no call, those that have had one, those on
//! which a standing call's release is awaited; among equals the one that has been idle longest.

use std::collections::BTreeMap;
use std::time::Duration;

use fawnrouter::Time;

/// A client's connection, as the driver numbers it. Numbers are never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// A connection that has said nothing whole is closed after this long, and so is one that has left half a line lying:
/// the page owes bad clients an end within 3 s.
pub(crate) const SILENCE: Duration = Duration::from_millis(2500);

/// What a connection has been good for. Guards against crowds that only connect, or only ask for the test: they push
/// out nobody who has calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// It has said nothing whole.
    Silent,
    /// It has, but no call of its stood.
    Spoke,
    /// A call stood that came on it, or was told on it.
    Served,
}

#[derive(Debug)]
struct Seat {
    rank: Rank,
    /// Since when something whole is missing: from its arrival on, or since half a line came.
    owes: Option<Time>,
    idle_since: Time,
    /// Set-ups open on it.
    open: usize,
    /// Standing calls whose release is to be told on it.
    standing: usize,
}

/// Whether a connection gets a seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// There is room.
    In,
    /// There is room once this one is closed.
    InFor(ClientId),
    /// All are busy.
    Full,
}

/// The clients' connections.
#[derive(Debug)]
pub(crate) struct Seats {
    most: usize,
    seats: BTreeMap<ClientId, Seat>,
}

impl Seats {
    pub fn new(most: usize) -> Self {
        Self { most, seats: BTreeMap::new() }
    }

    pub fn len(&self) -> usize {
        self.seats.len()
    }

    /// Those that have a seat.
    pub fn all(&self) -> Vec<ClientId> {
        self.seats.keys().copied().collect()
    }

    pub fn is_in(&self, client: ClientId) -> bool {
        self.seats.contains_key(&client)
    }

    /// A connection has been accepted.
    pub fn arrive(&mut self, now: Time, client: ClientId) -> Arrival {
        let mut arrival = Arrival::In;
        if self.seats.len() >= self.most {
            let free = self.seats.iter().filter(|(_, s)| s.open == 0);
            let Some((least, _)) = free.min_by_key(|(id, s)| (s.rank, s.standing > 0, s.idle_since, **id))
            else {
                return Arrival::Full;
            };
            arrival = Arrival::InFor(*least);
        }
        let seat = Seat { rank: Rank::Silent, owes: Some(now), idle_since: now, open: 0, standing: 0 };
        self.seats.insert(client, seat);
        arrival
    }

    pub fn leave(&mut self, client: ClientId) -> bool {
        self.seats.remove(&client).is_some()
    }

    /// Something whole came.
    pub fn spoke(&mut self, now: Time, client: ClientId) {
        if let Some(seat) = self.seats.get_mut(&client) {
            (seat.rank, seat.owes, seat.idle_since) = (seat.rank.max(Rank::Spoke), None, now);
        }
    }

    /// Whether a part of a line lies there after what has been read. Each read that leaves one begins the time anew
    /// for a connection that has spoken: a caller that is slow to be scheduled still gets on.
    pub fn half(&mut self, now: Time, client: ClientId, lies: bool) {
        if let Some(seat) = self.seats.get_mut(&client).filter(|s| s.rank > Rank::Silent) {
            seat.owes = lies.then_some(now);
        }
    }

    /// A set-up opened or ended on it.
    pub fn count(&mut self, now: Time, client: ClientId, open: usize) {
        if let Some(seat) = self.seats.get_mut(&client) {
            (seat.open, seat.idle_since) = (open, now);
        }
    }

    /// When it is to be looked at next, if it owes something.
    pub fn due(&self, client: ClientId) -> Option<Time> {
        self.seats.get(&client).and_then(|s| s.owes).map(|since| since.plus(SILENCE))
    }

    /// Whether it has kept silent too long.
    pub fn overdue(&self, now: Time, client: ClientId) -> bool {
        let seat = self.seats.get(&client).filter(|s| s.open == 0);
        seat.and_then(|s| s.owes).is_some_and(|since| now.since(since) >= SILENCE)
    }

    /// One more call stands whose release is to be told on it, or one less.
    pub fn stands(&mut self, client: ClientId, more: bool) {
        if let Some(seat) = self.seats.get_mut(&client) {
            if more {
                (seat.rank, seat.standing) = (Rank::Served, seat.standing + 1);
            } else {
                seat.standing = seat.standing.saturating_sub(1);
            }
        }
    }

    /// The connection on which the caller of a standing call is told of its end when the one it used is gone: callers
    /// are one party, and a standing call is bound to no connection. One on which a call has stood, the latest used;
    /// strangers, who only connect, are told nothing.
    pub fn instead(&self) -> Option<ClientId> {
        let served = self.seats.iter().filter(|(_, s)| s.rank == Rank::Served);
        served.max_by_key(|(id, s)| (s.idle_since, **id)).map(|(id, _)| *id)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time(Duration::from_millis(ms))
    }

    #[test]
    fn crowds_that_connect_or_pass_the_test_push_out_nobody_with_calls() {
        let mut seats = Seats::new(4);
        (1..=4).for_each(|n| assert_eq!(seats.arrive(at(n), ClientId(n)), Arrival::In));
        [1, 2].into_iter().for_each(|n| seats.stands(ClientId(n), true));
        seats.stands(ClientId(2), false);
        seats.spoke(at(10), ClientId(4));
        for (newcomer, least) in [(5, 3), (6, 5), (7, 6)] {
            assert_eq!(seats.arrive(at(20), ClientId(newcomer)), Arrival::InFor(ClientId(least)));
            seats.leave(ClientId(least));
        }
        seats.spoke(at(30), ClientId(7));
        assert_eq!(seats.arrive(at(40), ClientId(8)), Arrival::InFor(ClientId(4)), "tested only");
        seats.leave(ClientId(4));
        [7, 8].into_iter().for_each(|n| seats.count(at(50), ClientId(n), 1));
        assert_eq!(
            seats.arrive(at(60), ClientId(9)),
            Arrival::InFor(ClientId(2)),
            "nothing stands there any more"
        );
        assert_eq!(seats.instead(), Some(ClientId(2)));
    }

    #[test]
    fn room_is_made_by_the_silent_first_then_by_the_longest_idle_and_never_by_the_busy() {
        let mut seats = Seats::new(3);
        for n in 1..=3 {
            assert_eq!(seats.arrive(at(n), ClientId(n)), Arrival::In);
        }
        seats.spoke(at(10), ClientId(1));
        seats.spoke(at(20), ClientId(2));
        assert_eq!(seats.arrive(at(30), ClientId(4)), Arrival::InFor(ClientId(3)));
        seats.leave(ClientId(3));
        seats.spoke(at(30), ClientId(4));
        assert_eq!(seats.arrive(at(40), ClientId(5)), Arrival::InFor(ClientId(1)));
        seats.leave(ClientId(1));
        for n in [2, 4, 5] {
            seats.count(at(50), ClientId(n), 1);
        }
        assert_eq!(seats.arrive(at(60), ClientId(6)), Arrival::Full);
        assert!(!seats.is_in(ClientId(6)));
    }

    #[test]
    fn silence_and_half_lines_are_overdue_but_not_with_a_set_up_open() {
        let mut seats = Seats::new(3);
        seats.arrive(at(0), ClientId(1));
        assert!(!seats.overdue(at(2499), ClientId(1)) && seats.overdue(at(2500), ClientId(1)));
        // Half a line is no word: the time since its arrival counts on.
        seats.half(at(2000), ClientId(1), true);
        assert!(seats.overdue(at(2500), ClientId(1)));
        seats.spoke(at(2400), ClientId(1));
        assert!(!seats.overdue(at(9000), ClientId(1)));
        seats.half(at(9000), ClientId(1), true);
        assert!(!seats.overdue(at(11_400), ClientId(1)) && seats.overdue(at(11_500), ClientId(1)));
        seats.count(at(9000), ClientId(1), 1);
        assert!(!seats.overdue(at(20_000), ClientId(1)));
    }
}
