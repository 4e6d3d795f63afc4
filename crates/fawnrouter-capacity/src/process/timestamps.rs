//! Times of one hop: when a call's set-up and answer were written and heard on either side of the gateway.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::plan::PlannedCall;

/// A moment on the way of a call through one hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Moment {
    /// The caller writes the set-up.
    CallerWrites,
    /// The core switch has read the set-up.
    SwitchHears,
    /// The core switch writes the answer.
    SwitchWrites,
    /// The caller has read the answer.
    CallerHears,
}

const MOMENTS: usize = 4;
/// A moment that was not reached.
const NEVER: u64 = u64::MAX;

/// The moments of all calls of a plan. Several threads stamp them without a lock.
#[derive(Debug)]
pub(super) struct Stamps {
    start: Instant,
    places: BTreeMap<u64, usize>,
    nanoseconds: Vec<[AtomicU64; MOMENTS]>,
}

impl Stamps {
    /// Room for the moments of these calls.
    pub fn new(calls: &[PlannedCall]) -> Self {
        Self {
            start: Instant::now(),
            places: calls.iter().enumerate().map(|(place, call)| (call.tag, place)).collect(),
            nanoseconds: calls.iter().map(|_| std::array::from_fn(|_| AtomicU64::new(NEVER))).collect(),
        }
    }

    /// Stamps a moment of a call; the first time holds.
    pub fn stamp(&self, tag: u64, moment: Moment) {
        let now = u64::try_from(self.start.elapsed().as_nanos()).unwrap_or(NEVER);
        if let Some(place) = self.places.get(&tag) {
            let stamped = &self.nanoseconds[*place][moment as usize];
            // Where it fails, the first time stands.
            let _ = stamped.compare_exchange(NEVER, now, Ordering::Relaxed, Ordering::Relaxed);
        }
    }

    /// What the hop added to each call that was answered: the way of the set-up and that of the answer, without the time
    /// that the core switch took.
    pub fn delays(&self) -> impl Iterator<Item = Duration> {
        self.nanoseconds.iter().filter_map(delay)
    }

    /// From the first set-up to the last.
    pub fn sending_time(&self) -> Duration {
        let written = self.nanoseconds.iter().map(|moments| read(moments, Moment::CallerWrites));
        let written = written.filter(|at| *at != NEVER);
        let first = written.clone().min().unwrap_or(0);
        Duration::from_nanos(written.max().unwrap_or(0).saturating_sub(first))
    }
}

fn read(moments: &[AtomicU64; MOMENTS], moment: Moment) -> u64 {
    moments[moment as usize].load(Ordering::Relaxed)
}

fn delay(moments: &[AtomicU64; MOMENTS]) -> Option<Duration> {
    let set_up = read(moments, Moment::SwitchHears).saturating_sub(read(moments, Moment::CallerWrites));
    let heard = read(moments, Moment::CallerHears);
    let answer = heard.saturating_sub(read(moments, Moment::SwitchWrites));
    (heard != NEVER).then(|| Duration::from_nanos(set_up + answer))
}
