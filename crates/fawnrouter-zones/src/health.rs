//! How the own zone fares, from what this gateway sees of its switches itself: calm, pressed or down. Each change takes a
//! while and a margin, which differ a little between gateways, so that a zone that flaps does not flap all of them.

use std::collections::BTreeMap;
use std::time::Duration;

use fawnrouter::{ServerId, ServerView};

/// Margins and times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthSettings {
    /// Pressed from this pressure on (0: all that is offered passes, 1: nothing does).
    pub pressed_from: f64,
    /// Calm again below this one.
    pub calm_below: f64,
    /// Down while less than this share of the zone's switches is well.
    pub down_below: f64,
    /// No longer down from this share on.
    pub up_from: f64,
    /// A change for the worse must last this long.
    pub worsen_delay: Duration,
    /// A change for the better must last this long.
    pub recover_delay: Duration,
    /// A switch that left the list still counts as the zone's for this long: a restart takes it off the list.
    pub switch_memory: Duration,
    /// The emergency allowance closes over this time once the zone is up.
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

/// How a zone fares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneState {
    /// It takes what it is offered.
    #[default]
    Calm,
    /// It holds some back.
    Pressed,
    /// Most of its switches are silent, refusing, cold or gone.
    Down,
}

/// The judgement on one zone.
#[derive(Debug)]
pub struct Health {
    settings: HealthSettings,
    /// Stretches all times, by gateway.
    stretch: f64,
    /// Switches of the zone and when each was last listed as taking calls.
    listed: BTreeMap<ServerId, Duration>,
    state: ZoneState,
    /// The state that would be next, and since when.
    next: Option<(ZoneState, Duration)>,
    pressure: f64,
    well: f64,
    level: f64,
    at: Duration,
}

impl Health {
    /// A zone that nothing is known of: calm. `phase`, 0 to 1, sets this gateway's times apart from the others'.
    #[must_use]
    pub fn new(settings: HealthSettings, phase: f64) -> Self {
        Self {
            settings,
            stretch: 1.0 + 0.5 * phase.clamp(0.0, 1.0),
            listed: BTreeMap::new(),
            state: ZoneState::Calm,
            next: None,
            pressure: 0.0,
            well: 1.0,
            level: 0.0,
            at: Duration::ZERO,
        }
    }

    /// Takes what is seen now of the zone's switches.
    pub fn observe<'a>(&mut self, now: Duration, servers: impl Iterator<Item = ServerView<'a>>) {
        let now = now.max(self.at);
        let passed = now.saturating_sub(self.at);
        let (mut well, mut f) = (0usize, 0.0);
        for server in servers {
            if server.ready {
                self.listed.insert(server.entry.id, now);
                well += usize::from(server.healthy);
                f += if server.healthy { server.allowed_fraction } else { 0.0 };
            }
        }
        let memory = self.settings.switch_memory;
        self.listed.retain(|_, at| now.saturating_sub(*at) < memory);
        let all = self.listed.len();
        if all == 0 {
            // A zone without switches is no zone in trouble: calls of a gateway that stands alone there go elsewhere by
            // its settings.
            (self.pressure, self.well) = (1.0, 0.0);
        } else {
            self.pressure = 1.0 - f / all as f64;
            self.well = well as f64 / all as f64;
        }
        self.decide(now);
        let wanted = if self.state == ZoneState::Down { 1.0 } else { 0.0 };
        let step = passed.as_secs_f64() / self.settings.emergency_close_time.as_secs_f64().max(1e-3);
        // It opens at once and closes as the zone warms up.
        self.level = if wanted > self.level { wanted } else { (self.level - step).max(wanted) };
        self.at = now;
    }

    fn decide(&mut self, now: Duration) {
        let s = &self.settings;
        let down =
            if self.state == ZoneState::Down { self.well < s.up_from } else { self.well < s.down_below };
        let pressed = match self.state {
            ZoneState::Calm => self.pressure >= s.pressed_from,
            ZoneState::Pressed | ZoneState::Down => self.pressure >= s.calm_below,
        };
        let seen = match (down, pressed) {
            (true, _) => ZoneState::Down,
            (false, true) => ZoneState::Pressed,
            (false, false) => ZoneState::Calm,
        };
        if seen == self.state {
            self.next = None;
            return;
        }
        let since = match self.next {
            Some((next, since)) if next == seen => since,
            // Worse and worse still counts from the first sign.
            Some((next, since)) if next > self.state && seen > self.state => since,
            _ => now,
        };
        self.next = Some((seen, since));
        let wait = if seen > self.state { s.worsen_delay } else { s.recover_delay };
        if now.saturating_sub(since) >= wait.mul_f64(self.stretch) {
            self.state = seen;
            self.next = None;
        }
    }

    /// How the zone fares.
    #[must_use]
    pub const fn state(&self) -> ZoneState {
        self.state
    }

    /// Share of what is offered that it holds back, 0 to 1.
    #[must_use]
    pub const fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Share of the emergency allowance that is open, 0 to 1.
    #[must_use]
    pub const fn emergency_level(&self) -> f64 {
        self.level
    }

    /// Whether any switch of the zone is known. Before the first look it is taken for granted: guards against the first
    /// calls after a start, which went anywhere. A gateway alone in its zone holds them until that look.
    #[must_use]
    pub fn has_switches(&self) -> bool {
        self.at.is_zero() || !self.listed.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fawnrouter::ServerEntry;

    const fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    /// Ten switches, so many of them well with this fraction, so many listed at all.
    fn see(health: &mut Health, now: u64, listed: u32, well: u32, fraction: f64) -> ZoneState {
        let entries: Vec<ServerEntry> =
            (0..10).map(|n| ServerEntry { id: ServerId(n), ..ServerEntry::default() }).collect();
        let seen = entries.iter().zip(0..).map(|(entry, n)| ServerView {
            entry,
            ready: n < listed,
            healthy: n < well,
            allowed_fraction: fraction,
        });
        health.observe(ms(now), seen);
        health.state()
    }

    fn steps(health: &mut Health, from: u64, to: u64, look: (u32, u32, f64)) -> Option<u64> {
        let before = health.state();
        (from..to).step_by(200).find(|now| see(health, *now, look.0, look.1, look.2) != before)
    }

    #[test]
    fn it_takes_a_while_and_a_margin_to_change_either_way() {
        let mut h = Health::new(HealthSettings::default(), 0.0);
        assert_eq!(steps(&mut h, 0, 5000, (10, 10, 1.0)), None);
        assert_eq!(steps(&mut h, 5000, 9000, (10, 10, 0.8)), None, "a little pressure is calm");
        assert_eq!(steps(&mut h, 9000, 12_000, (10, 10, 0.6)), Some(9600));
        assert_eq!(h.state(), ZoneState::Pressed);
        assert_eq!(steps(&mut h, 12_000, 20_000, (10, 10, 0.8)), None, "not calm before it is well below");
        assert_eq!(steps(&mut h, 20_000, 30_000, (10, 10, 1.0)), Some(22_000));
        assert_eq!((h.state(), h.emergency_level()), (ZoneState::Calm, 0.0));
    }

    #[test]
    fn a_zone_is_down_when_most_of_its_switches_are_gone_and_its_allowance_closes_slowly() {
        let mut h = Health::new(HealthSettings::default(), 0.0);
        see(&mut h, 0, 10, 10, 1.0);
        assert_eq!(steps(&mut h, 200, 3000, (4, 4, 1.0)), Some(800));
        assert_eq!((h.state(), h.emergency_level()), (ZoneState::Down, 1.0));
        assert_eq!(steps(&mut h, 3000, 9000, (10, 6, 1.0)), None, "six of ten are not enough to be up");
        let up = steps(&mut h, 9000, 20_000, (10, 9, 1.0));
        assert_eq!(up, Some(11_000));
        assert!(h.emergency_level() > 0.9, "{}", h.emergency_level());
        (11_200..16_000).step_by(200).for_each(|t| assert!(see(&mut h, t, 10, 10, 1.0) != ZoneState::Down));
        assert!((0.4..0.6).contains(&h.emergency_level()), "{}", h.emergency_level());
        (16_000..22_000).step_by(200).for_each(|t| assert!(see(&mut h, t, 10, 10, 1.0) != ZoneState::Down));
        assert_eq!((h.state(), h.emergency_level()), (ZoneState::Calm, 0.0));
    }

    #[test]
    fn a_zone_that_flaps_quicker_than_the_dwell_changes_nothing_and_gateways_change_apart() {
        let mut h = Health::new(HealthSettings::default(), 0.0);
        for now in (0..60_000).step_by(200) {
            let sick = now / 400 % 2 == 0;
            assert_eq!(see(&mut h, now, 10, if sick { 2 } else { 10 }, 1.0), ZoneState::Calm);
        }
        let times: Vec<Option<u64>> = (0..5)
            .map(|n| {
                let settings = HealthSettings { worsen_delay: ms(2000), ..HealthSettings::default() };
                let mut h = Health::new(settings, f64::from(n) / 4.0);
                see(&mut h, 0, 10, 10, 1.0);
                steps(&mut h, 200, 9000, (10, 0, 1.0))
            })
            .collect();
        assert_eq!(times, [Some(2200), Some(2600), Some(2800), Some(3000), Some(3200)]);
    }

    #[test]
    fn a_switch_that_is_gone_for_good_is_forgotten() {
        let mut h = Health::new(HealthSettings { switch_memory: ms(5000), ..HealthSettings::default() }, 0.0);
        see(&mut h, 0, 10, 10, 1.0);
        assert_eq!(steps(&mut h, 200, 4000, (4, 4, 1.0)), Some(800));
        assert_eq!(steps(&mut h, 4000, 20_000, (4, 4, 1.0)), Some(7000), "six were taken out of service");
        assert_eq!(h.state(), ZoneState::Calm);
    }
}
