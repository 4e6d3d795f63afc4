//! The gateway's clock.

use std::time::{Duration, Instant, SystemTime};

use fawnrouter_engine::fawnrouter::Time;

/// Unix time at the start and what has passed since on a clock that only moves forward.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Duration,
    start: Instant,
}

impl Clock {
    /// Starts now.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Self { unix, start: Instant::now() }
    }

    /// The reading now.
    pub fn now(&self) -> Time {
        Time(self.unix + self.start.elapsed())
    }

    /// When the clock will read this.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.0.saturating_sub(self.unix)
    }
}
