//! The part of the room that strangers can't use. It follows what known clients usually hold: up at once when they
//! hold more, down slowly when they hold less, within its bounds.

use std::time::Duration;

/// Bounds and pace of the reserve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReserveSettings {
    /// It is never smaller.
    pub min: usize,
    /// It is never larger.
    pub max: usize,
    /// Room beyond what known clients hold, as a share of it: for those that come back after a fault, and new ones.
    pub headroom: f64,
    /// It halves its distance to what is held in this time.
    pub half_life: Duration,
}

/// The reserve's state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reserve {
    settings: ReserveSettings,
    usual: f64,
    at: Duration,
}

impl Reserve {
    /// A reserve that knows nothing yet: as small as it may be.
    #[must_use]
    pub fn new(settings: ReserveSettings) -> Self {
        Self { settings, usual: 0.0, at: Duration::ZERO }
    }

    /// Takes note of what known clients hold.
    pub fn record(&mut self, now: Duration, held: usize) {
        let held = held as f64;
        if now > self.at {
            let lives = (now - self.at).as_secs_f64() / self.settings.half_life.as_secs_f64().max(1e-9);
            self.usual = held + (self.usual - held) * 0.5f64.powf(lives);
            self.at = now;
        }
        self.usual = self.usual.max(held);
    }

    /// Places in all that are kept for known clients, those that they hold included.
    #[must_use]
    pub fn size(&self) -> usize {
        let wanted = (self.usual * (1.0 + self.settings.headroom)).ceil() as usize;
        wanted.clamp(self.settings.min, self.settings.max.max(self.settings.min))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn s(n: u64) -> Duration {
        Duration::from_secs(n)
    }

    #[test]
    fn it_grows_at_once_shrinks_slowly_and_keeps_its_bounds() {
        let settings = ReserveSettings { min: 10, max: 100, headroom: 0.5, half_life: s(60) };
        let mut reserve = Reserve::new(settings);
        assert_eq!(reserve.size(), 10);
        reserve.record(s(1), 40);
        assert_eq!(reserve.size(), 60);
        // All known clients lose their connections at once: their places are kept for them.
        reserve.record(s(2), 0);
        assert!(reserve.size() >= 59, "{}", reserve.size());
        reserve.record(s(62), 0);
        assert!((29..=31).contains(&reserve.size()), "{}", reserve.size());
        reserve.record(s(3000), 0);
        assert_eq!(reserve.size(), 10);
        reserve.record(s(3001), 500);
        assert_eq!(reserve.size(), 100);
    }

    #[test]
    fn a_clock_that_steps_back_changes_nothing() {
        let settings = ReserveSettings { min: 0, max: 100, headroom: 0.0, half_life: s(60) };
        let mut reserve = Reserve::new(settings);
        reserve.record(s(100), 40);
        reserve.record(s(1), 0);
        assert_eq!(reserve.size(), 40);
    }
}
