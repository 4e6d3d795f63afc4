//! When a lost connection to a switch is tried again: doubling pauses with a bound, spread at random so that
//! gateways that lost a switch in the same instant don't return in one.

use std::time::Duration;

/// Bounds of the pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// The first pause.
    pub initial: Duration,
    /// The longest.
    pub max: Duration,
}

/// The pauses of one connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// The connection stands: the next loss begins anew.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The pause after one more failure; `unit` is a random number from 0 to 1 and places it in the upper half.
    pub fn next_pause(&mut self, settings: &BackoffSettings, unit: f64) -> Duration {
        let doubled = settings.initial.saturating_mul(1 << self.failures.min(20));
        self.failures = self.failures.saturating_add(1);
        let most = doubled.min(settings.max);
        most.mul_f64(0.5 + 0.5 * unit.clamp(0.0, 1.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pauses_double_up_to_their_bound_and_begin_anew_after_success() {
        let settings = BackoffSettings { initial: Duration::from_millis(100), max: Duration::from_secs(1) };
        let mut backoff = Backoff::default();
        let pauses: Vec<u128> = (0..6).map(|_| backoff.next_pause(&settings, 1.0).as_millis()).collect();
        assert_eq!(pauses, [100, 200, 400, 800, 1000, 1000]);
        backoff.reset();
        assert_eq!(backoff.next_pause(&settings, 0.0).as_millis(), 50);
    }

    #[test]
    fn thousands_of_failures_do_not_overflow() {
        let settings = BackoffSettings { initial: Duration::from_secs(1), max: Duration::from_secs(5) };
        let mut backoff = Backoff { failures: u32::MAX };
        assert_eq!(backoff.next_pause(&settings, 1.0), Duration::from_secs(5));
    }
}
