//! Lines for the log about what lasts: one when it begins, one when it is over, and no more of them than may be, so
//! that a flood of refusals is not a flood of lines.

use std::collections::BTreeMap;
use std::time::Duration;

/// A line to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AlarmEvent<K> {
    /// This began.
    Raised(K),
    /// This goes on: so many since the last line.
    Ongoing(K, u64),
    /// This is over: how long it lasted, and how many there were.
    Cleared(K, Duration, u64),
}

#[derive(Clone, Copy, Debug)]
struct State {
    began: Duration,
    last: Duration,
    told: Duration,
    count: u64,
    since_told: u64,
}

/// What goes on, by kind `K`.
#[derive(Debug)]
pub struct Alarms<K> {
    calm: Duration,
    again: Duration,
    states: BTreeMap<K, State>,
}

impl<K: Ord + Copy> Alarms<K> {
    /// Over after `calm` without another one; told again every `again` while it goes on.
    #[must_use]
    pub const fn new(calm: Duration, again: Duration) -> Self {
        Self { calm, again, states: BTreeMap::new() }
    }

    /// So many more of a kind, one at the least.
    pub fn record(&mut self, now: Duration, kind: K, more: u64) -> Option<AlarmEvent<K>> {
        if let Some(state) = self.states.get_mut(&kind) {
            state.last = state.last.max(now);
            state.count += more;
            state.since_told += more;
            return None;
        }
        self.states.insert(kind, State { began: now, last: now, told: now, count: more, since_told: more });
        Some(AlarmEvent::Raised(kind))
    }

    /// Lines that are due.
    pub fn poll(&mut self, now: Duration) -> Vec<AlarmEvent<K>> {
        let mut lines = Vec::new();
        let (calm, again) = (self.calm, self.again);
        self.states.retain(|kind, state| {
            if now.saturating_sub(state.last) >= calm {
                lines.push(AlarmEvent::Cleared(*kind, state.last.saturating_sub(state.began), state.count));
                return false;
            }
            if now.saturating_sub(state.told) >= again {
                lines.push(AlarmEvent::Ongoing(*kind, state.since_told));
                (state.told, state.since_told) = (now, 0);
            }
            true
        });
        lines
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_of_a_hundred_thousand_makes_a_handful_of_lines() {
        let s = Duration::from_secs;
        let mut alarms = Alarms::new(s(5), s(60));
        let mut lines = Vec::new();
        for n in 0..100_000u64 {
            let now = Duration::from_millis(n);
            lines.extend(alarms.record(now, 'a', 1));
            lines.extend(alarms.poll(now));
        }
        lines.extend(alarms.poll(s(120)));
        let lasted = Duration::from_millis(99_999);
        assert_eq!(
            lines,
            [
                AlarmEvent::Raised('a'),
                AlarmEvent::Ongoing('a', 60_001),
                AlarmEvent::Cleared('a', lasted, 100_000)
            ]
        );
        assert_eq!(alarms.record(s(121), 'a', 1), Some(AlarmEvent::Raised('a')));
    }
}
