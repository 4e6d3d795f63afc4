//! Times to stay away, spread so that those refused together come back one after the other.

use std::time::Duration;

/// A low-discrepancy sequence (golden ratio) over the second half of the time to stay away.
#[derive(Clone, Copy, Debug)]
pub struct RetryAfterSpread {
    at: u64,
    seed: u64,
}

impl RetryAfterSpread {
    /// `seed` shifts the sequence, so that gateways that were started together differ.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self { at: 0, seed }
    }

    /// The next time: from the greater of `least` and `base` to as much as `base` more.
    pub fn next(&mut self, least: Duration, base: Duration) -> Duration {
        self.at = self.at.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let part = (self.at ^ self.seed) as f64 / u64::MAX as f64;
        least.max(base) + base.mul_f64(part)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_hundred_refused_together_come_back_in_each_tenth_of_the_span() {
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
