//! Health of the gateway's own zone, from what the gateway itself observes of its switches: calm, pressed or
//! down. Changes have hysteresis in level and time. The times differ a little between gateways, so that a
//! flapping zone does not make all of them flap together.

use std::collections::BTreeMap;
use std::time::Duration;

use fawnrouter::{ServerId, ServerView};

/// Thresholds and times of the zone's health.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthSettings {
    /// The zone is pressed from this pressure on (0: all offered calls pass, 1: none does).
    pub pressed_from: f64,
    /// The zone is calm again below this pressure.
    pub calm_below: f64,
    /// The zone is down while less than this share of its switches is healthy.
    pub down_below: f64,
    /// The zone is no longer down from this share of healthy switches on.
    pub up_from: f64,
    /// How long a change for the worse must last before it takes effect.
    pub worsen_delay: Duration,
    /// How long a change for the better must last before it takes effect.
    pub recover_delay: Duration,
    /// How long a switch that left the list still counts as one of the zone: a restart takes it off the list.
    pub switch_memory: Duration,
    /// Time over which the emergency allowance closes once the zone is up.
    pub emergency_close_time: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            pressed_from: 0.25,
            calm_below: 0.1,
            down_below: 0.5,
            up_from: 0.75,
            worsen_delay: Duration::from_millis(600),
            recover_delay: Duration::from_secs(2),
            switch_memory: Duration::from_secs(600),
            emergency_close_time: Duration::from_secs(10),
        }
    }
}

/// Health of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneState {
    /// It takes the calls that it is offered.
    #[default]
    Calm,
    /// The throttles of its switches hold a part of the calls back.
    Pressed,
    /// Most of its switches are silent, refusing, cold or gone.
    Down,
}

/// Tracks the health of one zone.
#[derive(Debug)]
pub struct Health {
    settings: HealthSettings,
    /// Factor on both delays, different for each gateway.
    delay_factor: f64,
    /// Switches of the zone and when each was last listed as ready.
    last_ready: BTreeMap<ServerId, Duration>,
    state: ZoneState,
    /// The state that takes effect after its delay, and since when it has been observed.
    pending: Option<(ZoneState, Duration)>,
    pressure: f64,
    healthy_share: f64,
    emergency_level: f64,
    observed_at: Duration,
}

impl Health {
    /// A zone without any observation is calm. `phase`, 0 to 1, makes this gateway's delays differ from the
    /// others'.
    #[must_use]
    pub fn new(settings: HealthSettings, phase: f64) -> Self {
        Self {
            settings,
            delay_factor: 1.0 + 0.5 * phase.clamp(0.0, 1.0),
            last_ready: BTreeMap::new(),
            state: ZoneState::Calm,
            pending: None,
            pressure: 0.0,
            healthy_share: 1.0,
            emergency_level: 0.0,
            observed_at: Duration::ZERO,
        }
    }

    /// Updates the health from the present observation of the zone's switches.
    pub fn observe<'a>(&mut self, now: Duration, servers: impl Iterator<Item = ServerView<'a>>) {
        let now = now.max(self.observed_at);
        let elapsed = now.saturating_sub(self.observed_at);
        let (mut healthy, mut fraction_sum) = (0usize, 0.0);
        for server in servers {
            if server.ready {
                self.last_ready.insert(server.entry.id, now);
                healthy += usize::from(server.healthy);
                fraction_sum += if server.healthy { server.allowed_fraction } else { 0.0 };
            }
        }
        let memory = self.settings.switch_memory;
        self.last_ready.retain(|_, at| now.saturating_sub(*at) < memory);
        let switches = self.last_ready.len();
        if switches == 0 {
            // A zone without switches is not a zone in trouble, but no call can pass in it: calls of a
            // gateway that is alone in its zone go to other zones, as its settings allow.
            (self.pressure, self.healthy_share) = (1.0, 0.0);
        } else {
            self.pressure = 1.0 - fraction_sum / switches as f64;
            self.healthy_share = healthy as f64 / switches as f64;
        }
        self.update_state(now);
        let target = if self.state == ZoneState::Down { 1.0 } else { 0.0 };
        let step = elapsed.as_secs_f64() / self.settings.emergency_close_time.as_secs_f64().max(1e-3);
        // The emergency allowance opens at once and closes gradually while the zone warms up.
        self.emergency_level =
            if target > self.emergency_level { target } else { (self.emergency_level - step).max(target) };
        self.observed_at = now;
    }

    fn update_state(&mut self, now: Duration) {
        let s = &self.settings;
        let down_threshold = if self.state == ZoneState::Down { s.up_from } else { s.down_below };
        let down = self.healthy_share < down_threshold;
        let pressed = match self.state {
            ZoneState::Calm => self.pressure >= s.pressed_from,
            ZoneState::Pressed | ZoneState::Down => self.pressure >= s.calm_below,
        };
        let observed = match (down, pressed) {
            (true, _) => ZoneState::Down,
            (false, true) => ZoneState::Pressed,
            (false, false) => ZoneState::Calm,
        };
        if observed == self.state {
            self.pending = None;
            return;
        }
        let since = match self.pending {
            Some((pending, since)) if pending == observed => since,
            // While the zone gets worse in steps, the delay counts from the first step.
            Some((pending, since)) if pending > self.state && observed > self.state => since,
            _ => now,
        };
        self.pending = Some((observed, since));
        let delay = if observed > self.state { s.worsen_delay } else { s.recover_delay };
        if now.saturating_sub(since) >= delay.mul_f64(self.delay_factor) {
            self.state = observed;
            self.pending = None;
        }
    }

    /// The state of the zone.
    #[must_use]
    pub const fn state(&self) -> ZoneState {
        self.state
    }

    /// Share of the offered calls that the throttles of the zone's switches hold back, 0 to 1. A switch that
    /// is not ready or not healthy counts as holding back all of its calls.
    #[must_use]
    pub const fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Share of the emergency allowance that is open, 0 to 1.
    #[must_use]
    pub const fn emergency_level(&self) -> f64 {
        self.emergency_level
    }

    /// Whether any switch of the zone is known. Before the first observation this is assumed: otherwise the
    /// first calls after a start would go to any zone. A gateway that is alone in its zone holds them until
    /// that observation.
    #[must_use]
    pub fn has_switches(&self) -> bool {
        self.observed_at.is_zero() || !self.last_ready.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fawnrouter::ServerEntry;

    const fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    /// Observes ten switches: the first `ready` are ready, the first `healthy` of them healthy with this
    /// fraction.
    fn observe(health: &mut Health, now: u64, ready: u32, healthy: u32, fraction: f64) -> ZoneState {
        let entries: Vec<ServerEntry> =
            (0..10).map(|n| ServerEntry { id: ServerId(n), ..ServerEntry::default() }).collect();
        let seen = entries.iter().zip(0..).map(|(entry, n)| ServerView {
            entry,
            ready: n < ready,
            healthy: n < healthy,
            allowed_fraction: fraction,
        });
        health.observe(ms(now), seen);
        health.state()
    }

    /// Observes the same switches every 200 ms. Returns the time of the first change of state, if there is
    /// one.
    fn first_change(health: &mut Health, from: u64, to: u64, switches: (u32, u32, f64)) -> Option<u64> {
        let before = health.state();
        let (ready, healthy, fraction) = switches;
        (from..to).step_by(200).find(|now| observe(health, *now, ready, healthy, fraction) != before)
    }

    #[test]
    fn changes_in_both_directions_need_a_margin_and_a_delay() {
        let mut h = Health::new(HealthSettings::default(), 0.0);
        assert_eq!(first_change(&mut h, 0, 5000, (10, 10, 1.0)), None);
        assert_eq!(first_change(&mut h, 5000, 9000, (10, 10, 0.8)), None, "a little pressure is calm");
        assert_eq!(first_change(&mut h, 9000, 12_000, (10, 10, 0.6)), Some(9600));
        assert_eq!(h.state(), ZoneState::Pressed);
        assert_eq!(
            first_change(&mut h, 12_000, 20_000, (10, 10, 0.8)),
            None,
            "not calm before the pressure is well below"
        );
        assert_eq!(first_change(&mut h, 20_000, 30_000, (10, 10, 1.0)), Some(22_000));
        assert_eq!((h.state(), h.emergency_level()), (ZoneState::Calm, 0.0));
    }

    #[test]
    fn zone_is_down_when_most_switches_are_gone_and_its_emergency_allowance_closes_slowly() {
        let mut h = Health::new(HealthSettings::default(), 0.0);
        observe(&mut h, 0, 10, 10, 1.0);
        assert_eq!(first_change(&mut h, 200, 3000, (4, 4, 1.0)), Some(800));
        assert_eq!((h.state(), h.emergency_level()), (ZoneState::Down, 1.0));
        assert_eq!(
            first_change(&mut h, 3000, 9000, (10, 6, 1.0)),
            None,
            "six of ten are not enough to be up"
        );
        let up = first_change(&mut h, 9000, 20_000, (10, 9, 1.0));
        assert_eq!(up, Some(11_000));
        assert!(h.emergency_level() > 0.9, "{}", h.emergency_level());
        (11_200..16_000)
            .step_by(200)
            .for_each(|t| assert!(observe(&mut h, t, 10, 10, 1.0) != ZoneState::Down));
        assert!((0.4..0.6).contains(&h.emergency_level()), "{}", h.emergency_level());
        (16_000..22_000)
            .step_by(200)
            .for_each(|t| assert!(observe(&mut h, t, 10, 10, 1.0) != ZoneState::Down));
        assert_eq!((h.state(), h.emergency_level()), (ZoneState::Calm, 0.0));
    }

    #[test]
    fn flapping_faster_than_the_delay_changes_nothing_and_gateways_change_at_different_times() {
        let mut h = Health::new(HealthSettings::default(), 0.0);
        for now in (0..60_000).step_by(200) {
            let failing = now / 400 % 2 == 0;
            assert_eq!(observe(&mut h, now, 10, if failing { 2 } else { 10 }, 1.0), ZoneState::Calm);
        }
        let times: Vec<Option<u64>> = (0..5)
            .map(|n| {
                let settings = HealthSettings { worsen_delay: ms(2000), ..HealthSettings::default() };
                let mut h = Health::new(settings, f64::from(n) / 4.0);
                observe(&mut h, 0, 10, 10, 1.0);
                first_change(&mut h, 200, 9000, (10, 0, 1.0))
            })
            .collect();
        assert_eq!(times, [Some(2200), Some(2600), Some(2800), Some(3000), Some(3200)]);
    }

    #[test]
    fn switch_that_is_removed_for_good_no_longer_counts() {
        let mut h = Health::new(HealthSettings { switch_memory: ms(5000), ..HealthSettings::default() }, 0.0);
        observe(&mut h, 0, 10, 10, 1.0);
        assert_eq!(first_change(&mut h, 200, 4000, (4, 4, 1.0)), Some(800));
        assert_eq!(
            first_change(&mut h, 4000, 20_000, (4, 4, 1.0)),
            Some(7000),
            "six were taken out of service"
        );
        assert_eq!(h.state(), ZoneState::Calm);
    }
}
