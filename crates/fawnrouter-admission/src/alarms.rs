//! Log events for conditions that last: one when a condition begins, one when it clears and a bounded number
//! in between, so that a flood of refusals does not flood the log.

use std::collections::BTreeMap;
use std::time::Duration;

/// An event to log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AlarmEvent<K> {
    /// The condition began.
    Raised(K),
    /// The condition lasts, with the number of occurrences since the last event.
    Ongoing(K, u64),
    /// The condition is over, with its duration and its total number of occurrences.
    Cleared(K, Duration, u64),
}

#[derive(Clone, Copy, Debug)]
struct Alarm {
    raised_at: Duration,
    last_occurrence: Duration,
    last_event: Duration,
    occurrences: u64,
    occurrences_since_event: u64,
}

/// The conditions that last at present, by kind `K`.
#[derive(Debug)]
pub struct Alarms<K> {
    clear_after: Duration,
    repeat_after: Duration,
    active: BTreeMap<K, Alarm>,
}

impl<K: Ord + Copy> Alarms<K> {
    /// An alarm clears when nothing has occurred for `clear_after`, and is repeated every `repeat_after`
    /// until then.
    #[must_use]
    pub const fn new(clear_after: Duration, repeat_after: Duration) -> Self {
        Self { clear_after, repeat_after, active: BTreeMap::new() }
    }

    /// Records `occurrences` (at least one) of a kind.
    pub fn record(&mut self, now: Duration, kind: K, occurrences: u64) -> Option<AlarmEvent<K>> {
        if let Some(alarm) = self.active.get_mut(&kind) {
            alarm.last_occurrence = alarm.last_occurrence.max(now);
            alarm.occurrences += occurrences;
            alarm.occurrences_since_event += occurrences;
            return None;
        }
        let alarm = Alarm {
            raised_at: now,
            last_occurrence: now,
            last_event: now,
            occurrences,
            occurrences_since_event: occurrences,
        };
        self.active.insert(kind, alarm);
        Some(AlarmEvent::Raised(kind))
    }

    /// The events that are due now.
    pub fn poll(&mut self, now: Duration) -> Vec<AlarmEvent<K>> {
        let mut events = Vec::new();
        let (clear_after, repeat_after) = (self.clear_after, self.repeat_after);
        self.active.retain(|kind, alarm| {
            if now.saturating_sub(alarm.last_occurrence) >= clear_after {
                let lasted = alarm.last_occurrence.saturating_sub(alarm.raised_at);
                events.push(AlarmEvent::Cleared(*kind, lasted, alarm.occurrences));
                return false;
            }
            if now.saturating_sub(alarm.last_event) >= repeat_after {
                events.push(AlarmEvent::Ongoing(*kind, alarm.occurrences_since_event));
                (alarm.last_event, alarm.occurrences_since_event) = (now, 0);
            }
            true
        });
        events
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_hundred_thousand_occurrences_give_three_events() {
        let s = Duration::from_secs;
        let mut alarms = Alarms::new(s(5), s(60));
        let mut events = Vec::new();
        for n in 0..100_000u64 {
            let now = Duration::from_millis(n);
            events.extend(alarms.record(now, 'a', 1));
            events.extend(alarms.poll(now));
        }
        events.extend(alarms.poll(s(120)));
        let lasted = Duration::from_millis(99_999);
        assert_eq!(
            events,
            [
                AlarmEvent::Raised('a'),
                AlarmEvent::Ongoing('a', 60_001),
                AlarmEvent::Cleared('a', lasted, 100_000)
            ]
        );
        assert_eq!(alarms.record(s(121), 'a', 1), Some(AlarmEvent::Raised('a')));
    }
}
