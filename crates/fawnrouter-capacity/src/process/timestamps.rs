//! Timestamps of calls that pass one hop: when set-up and answer were sent and received on either side of the
//! gateway.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::plan::PlannedCall;

/// An event of a call that passes one hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallEvent {
    /// The caller writes the set-up.
    SetUpSent,
    /// The core switch has read the set-up.
    SetUpReceived,
    /// The core switch writes the answer.
    AnswerSent,
    /// The caller has read the answer.
    AnswerReceived,
}

const CALL_EVENTS: usize = 4;
/// Timestamp of an event that has not happened.
const NEVER: u64 = u64::MAX;

/// The timestamps of one call in nanoseconds, by event.
type EventTimes = [AtomicU64; CALL_EVENTS];

/// The timestamps of all calls of a plan. Several threads record them without a lock.
#[derive(Debug)]
pub(super) struct CallTimestamps {
    start: Instant,
    /// Index in `times` by the tag of the call.
    indexes: BTreeMap<u64, usize>,
    /// Nanoseconds since `start`.
    times: Vec<EventTimes>,
}

impl CallTimestamps {
    /// Creates empty timestamps for these calls.
    pub fn new(calls: &[PlannedCall]) -> Self {
        Self {
            start: Instant::now(),
            indexes: calls.iter().enumerate().map(|(index, call)| (call.tag, index)).collect(),
            times: calls.iter().map(|_| std::array::from_fn(|_| AtomicU64::new(NEVER))).collect(),
        }
    }

    /// Records the time of an event of a call. If it happens again, the first time stays.
    pub fn record(&self, tag: u64, event: CallEvent) {
        let now = u64::try_from(self.start.elapsed().as_nanos()).unwrap_or(NEVER);
        if let Some(index) = self.indexes.get(&tag) {
            let time = &self.times[*index][event as usize];
            // The exchange fails if the event has a time already, which stays.
            let _ = time.compare_exchange(NEVER, now, Ordering::Relaxed, Ordering::Relaxed);
        }
    }

    /// The delay that the hop added to each answered call: that of the set-up plus that of the answer,
    /// without the time that the core switch took to answer.
    pub fn delays(&self) -> impl Iterator<Item = Duration> {
        self.times.iter().filter_map(hop_delay)
    }

    /// Time from the first set-up to the last.
    pub fn sending_time(&self) -> Duration {
        let sent = self.times.iter().map(|times| time_of(times, CallEvent::SetUpSent));
        let sent = sent.filter(|at| *at != NEVER);
        let first = sent.clone().min().unwrap_or(0);
        Duration::from_nanos(sent.max().unwrap_or(0).saturating_sub(first))
    }
}

fn time_of(times: &EventTimes, event: CallEvent) -> u64 {
    times[event as usize].load(Ordering::Relaxed)
}

/// The delay that the hop added to a call; none if the call was not answered.
fn hop_delay(times: &EventTimes) -> Option<Duration> {
    let set_up =
        time_of(times, CallEvent::SetUpReceived).saturating_sub(time_of(times, CallEvent::SetUpSent));
    let received = time_of(times, CallEvent::AnswerReceived);
    let answer = received.saturating_sub(time_of(times, CallEvent::AnswerSent));
    (received != NEVER).then(|| Duration::from_nanos(set_up + answer))
}
