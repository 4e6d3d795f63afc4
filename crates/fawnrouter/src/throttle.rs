//! The throttle of a server: the fraction of set-ups allowed to it, by the ARO algorithm of *Fast and Robust
//! Signaling Overload Control* ("the paper"), whose symbols (f, fA, fO, fmin, α, ρ, ρtarg, µmax, φmax) are
//! used here.

use std::collections::VecDeque;
use std::time::Duration;

/// Interval between two assessments of a server (the paper's probe interval); one such interval is a tick. A
/// gateway sends a server only a few set-ups a second, so shorter intervals would hold no samples.
pub(crate) const ASSESSMENT_INTERVAL: Duration = Duration::from_millis(200);
/// Ticks over which acceptance rate and occupancy are averaged: k in section 4.3 of the paper.
pub(crate) const SHORT_MEAN_TICKS: usize = 5;
/// Ticks between two updates of µmax: K in section 4.3 of the paper, with K >> k.
const MU_MAX_UPDATE_TICKS: u32 = 10;
/// Weight of a new estimate of µmax in its running mean; the paper asks for a small one.
pub(crate) const MU_MAX_WEIGHT: f64 = 0.15;
/// ρtarg. Where occupancy is derived from delays, it stands for a mean set-up delay of 1 / (1 - ρtarg) times
/// the smallest.
pub(crate) const RHO_TARGET: f64 = 0.8;
/// µmax is learned only at this occupancy or above (see `docs/design.md`).
const MU_MAX_MIN_RHO: f64 = 0.3;
/// φmax: the allowed fraction grows by at most this factor in a tick.
pub(crate) const PHI_MAX: f64 = 1.25;

/// Computes the fraction of set-ups allowed to a server from acceptance rate and occupancy (ARO), and applies
/// it with a deterministic accumulator (Determ.).
#[derive(Debug, Default)]
pub(crate) struct Throttle {
    /// The allowed fraction f, 0 to 1.
    pub(crate) f: f64,
    /// r of Determ.: the part of a set-up that has been allowed and not yet used.
    accumulator: f64,
    /// Set-ups sent in this tick.
    pub(crate) passed: u32,
    /// A set-up was requested in this tick, whether it was allowed or not.
    pub(crate) requested: bool,
    passed_per_tick: VecDeque<f64>,
    pub(crate) occupancy_readings: VecDeque<Option<f64>>,
    /// µmax: the largest throughput learned, in set-ups a second.
    pub(crate) mu_max: Option<f64>,
    ticks: u32,
}

impl Throttle {
    pub(crate) fn new() -> Self {
        Self { f: 1.0, ..Self::default() }
    }

    /// Determ.: adds f to r; once r is 1 or more, subtracts 1 and lets the set-up pass.
    pub(crate) fn admit(&mut self) -> bool {
        self.requested = true;
        self.accumulator += self.f;
        let passes = self.accumulator >= 1.0;
        if passes {
            self.accumulator -= 1.0;
        }
        passes
    }

    /// α̂: set-ups passed a second, averaged over the last k ticks.
    fn acceptance_rate(&self) -> f64 {
        let n = self.passed_per_tick.len().max(1) as f64;
        self.passed_per_tick.iter().sum::<f64>() / (n * ASSESSMENT_INTERVAL.as_secs_f64())
    }

    /// ρ̂: mean of the readings in the last k ticks, if there are any.
    pub(crate) fn occupancy(&self) -> Option<f64> {
        let n = self.occupancy_readings.iter().flatten().count();
        (n > 0).then(|| self.occupancy_readings.iter().flatten().sum::<f64>() / n as f64)
    }

    /// Ends a tick: f = min(fA, fO). Without any reading f grows by φmax to the power of `growth_exponent`.
    pub(crate) fn assess(&mut self, reading: Option<f64>, f_min: f64, growth_exponent: f64) {
        self.passed_per_tick.push_back(f64::from(self.passed));
        self.occupancy_readings.push_back(reading);
        self.passed = 0;
        if self.passed_per_tick.len() > SHORT_MEAN_TICKS {
            self.passed_per_tick.pop_front();
            self.occupancy_readings.pop_front();
        }
        let (alpha, rho) = (self.acceptance_rate(), self.occupancy());
        self.ticks += 1;
        if self.ticks.is_multiple_of(MU_MAX_UPDATE_TICKS)
            && rho.is_some_and(|x| x >= MU_MAX_MIN_RHO)
            && alpha > 0.0
        {
            let estimate = alpha / rho.unwrap_or(1.0);
            self.mu_max = Some(self.mu_max.map_or(estimate, |mu| mu + MU_MAX_WEIGHT * (estimate - mu)));
        }
        // No reading at all (nothing sent, nothing unanswered) is no sign of load, so f may grow, but only as
        // fast as set-ups are requested: a gateway with one every few seconds must not discard its last
        // reading.
        let phi_without_reading = if self.requested { PHI_MAX.powf(growth_exponent) } else { 1.0 };
        let phi = rho.map_or(phi_without_reading, |x| (RHO_TARGET / x.max(1e-6)).min(PHI_MAX));
        self.requested = false;
        let f_o = (phi * self.f).clamp(f_min, 1.0);
        let above_target = self.occupancy_readings.iter().flatten().any(|x| *x > RHO_TARGET);
        let f_a = match self.mu_max {
            Some(mu) if above_target && alpha > 0.0 => (RHO_TARGET * mu / alpha * self.f).clamp(f_min, 1.0),
            _ => 1.0,
        };
        self.f = f_a.min(f_o);
    }
}
