//! How many set-ups are sent a second.

use std::time::Duration;

/// The running mean of what is sent forgets with this time constant: long against a stall of a switch, short against
/// a change of load.
const MEAN_OVER_S: f64 = 2.0;

/// Set-ups sent a second, a running mean.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SendRate {
    per_s: f64,
    at: Duration,
}

impl SendRate {
    /// A set-up is sent.
    pub(super) fn note(&mut self, now: Duration) {
        let passed = (now - self.at).as_secs_f64();
        self.per_s = self.per_s * (-passed / MEAN_OVER_S).exp() + 1.0 / MEAN_OVER_S;
        self.at = now;
    }

    /// The mean when the last set-up was sent.
    pub(super) const fn per_second(&self) -> f64 {
        self.per_s
    }
}
