//! The gateway's clock.

use std::time::{Duration, Instant, SystemTime};

use fawnrouter_engine::fawnrouter::Time;

/// Unix time at the start plus the monotonic time passed since, so that steps of the system clock have no
/// effect.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Duration,
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at the present Unix time.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Self { unix, start: Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        Time(self.unix + self.start.elapsed())
    }

    /// The instant at which the clock reads `time`.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.0.saturating_sub(self.unix)
    }
}
