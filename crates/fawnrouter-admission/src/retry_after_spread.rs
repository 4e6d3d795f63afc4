//! Spreads retry times, so that clients that were refused together do not all come back at once.

use std::time::Duration;

/// A low-discrepancy sequence (golden ratio) of retry times.
#[derive(Clone, Copy, Debug)]
pub struct RetryAfterSpread {
    position: u64,
    seed: u64,
}

impl RetryAfterSpread {
    /// `seed` shifts the sequence, so that gateways that were started together differ.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self { position: 0, seed }
    }

    /// The next retry time: the greater of `min_wait` and `base`, plus between zero and `base`.
    pub fn next(&mut self, min_wait: Duration, base: Duration) -> Duration {
        self.position = self.position.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let fraction = (self.position ^ self.seed) as f64 / u64::MAX as f64;
        min_wait.max(base) + base.mul_f64(fraction)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retry_times_of_a_hundred_simultaneous_refusals_are_spread_evenly() {
        let mut spread = RetryAfterSpread::new(77);
        let base = Duration::from_secs(10);
        let mut tenths = [0; 10];
        for _ in 0..100 {
            let wait = spread.next(Duration::ZERO, base);
            assert!(wait >= base && wait <= base * 2);
            tenths[((wait - base).as_secs() as usize).min(9)] += 1;
        }
        assert!(tenths.iter().all(|n| (8..=12).contains(n)), "{tenths:?}");
    }
}
