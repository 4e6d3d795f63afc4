//! How many set-ups are sent a second.

use std::time::Duration;

/// The time constant of the running mean: long compared with a stall of a core switch, short compared with a
/// change of load.
const TIME_CONSTANT_S: f64 = 2.0;

/// Set-ups sent a second, as an exponential running mean.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SendRate {
    per_s: f64,
    last_sent: Duration,
}

impl SendRate {
    /// Records that a set-up is sent.
    pub(super) fn record(&mut self, now: Duration) {
        let elapsed_s = (now - self.last_sent).as_secs_f64();
        self.per_s = self.per_s * (-elapsed_s / TIME_CONSTANT_S).exp() + 1.0 / TIME_CONSTANT_S;
        self.last_sent = now;
    }

    /// The mean at the time of the last set-up sent.
    pub(super) const fn per_second(&self) -> f64 {
        self.per_s
    }
}
