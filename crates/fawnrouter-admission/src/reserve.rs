//! The slots that unknown clients cannot use. The reserve follows the number of known clients' connections:
//! it grows at once when there are more, and shrinks slowly when there are fewer, within its bounds.

use std::time::Duration;

/// Bounds and decay of the reserve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReserveSettings {
    /// The smallest size.
    pub min: usize,
    /// The largest size.
    pub max: usize,
    /// Additional slots as a share of the known clients' connections: for clients that reconnect after a
    /// fault, and for new ones.
    pub headroom: f64,
    /// The time in which the size halves its distance to the present number of connections.
    pub half_life: Duration,
}

/// The state of the reserve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reserve {
    settings: ReserveSettings,
    /// Known clients' connections, smoothed.
    smoothed: f64,
    updated_at: Duration,
}

impl Reserve {
    /// A reserve of the smallest size.
    #[must_use]
    pub fn new(settings: ReserveSettings) -> Self {
        Self { settings, smoothed: 0.0, updated_at: Duration::ZERO }
    }

    /// Records the present number of known clients' connections.
    pub fn record(&mut self, now: Duration, connections: usize) {
        let connections = connections as f64;
        if now > self.updated_at {
            let half_life_s = self.settings.half_life.as_secs_f64().max(1e-9);
            let half_lives = (now - self.updated_at).as_secs_f64() / half_life_s;
            self.smoothed = connections + (self.smoothed - connections) * 0.5f64.powf(half_lives);
            self.updated_at = now;
        }
        self.smoothed = self.smoothed.max(connections);
    }

    /// Slots kept for known clients, those that they use included.
    #[must_use]
    pub fn size(&self) -> usize {
        let wanted = (self.smoothed * (1.0 + self.settings.headroom)).ceil() as usize;
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
    fn the_reserve_grows_at_once_shrinks_slowly_and_keeps_its_bounds() {
        let settings = ReserveSettings { min: 10, max: 100, headroom: 0.5, half_life: s(60) };
        let mut reserve = Reserve::new(settings);
        assert_eq!(reserve.size(), 10);
        reserve.record(s(1), 40);
        assert_eq!(reserve.size(), 60);
        // All known clients lose their connections at once, for example in a fault: their slots stay
        // reserved.
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
