//! Curves of `base + factor x size^power`, and from which size the power hurts.

use super::terms::{Residual, Term, base_and_factor, coefficients, greatest_size, residual};
use crate::figures::Point;

/// The powers that are tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Power {
    /// Linear.
    One,
    /// size^1.5
    OneAndAHalf,
    /// size^2
    Two,
    /// size^3
    Three,
}

impl Power {
    /// All of them, the smallest first.
    pub const ALL: [Self; 4] = [Self::One, Self::OneAndAHalf, Self::Two, Self::Three];

    /// The size raised to this power.
    #[must_use]
    pub fn apply(self, size: f64) -> f64 {
        match self {
            Self::One => size,
            Self::OneAndAHalf => size * size.sqrt(),
            Self::Two => size * size,
            Self::Three => size * size * size,
        }
    }

    /// The size whose power beyond the first is this: where `factor x size^power` equals `slope x size` if `ratio` is
    /// `slope / factor`.
    fn size_of_ratio(self, ratio: f64) -> f64 {
        match self {
            Self::One => f64::INFINITY,
            Self::OneAndAHalf => ratio * ratio,
            Self::Two => ratio,
            Self::Three => ratio.sqrt(),
        }
    }
}

/// `base + factor x size^power`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Curve {
    /// The value at size 0.
    pub base: f64,
    /// What the power of the size is multiplied by.
    pub factor: f64,
    /// The power whose fit has the smallest residual.
    pub power: Power,
    /// How far the curve lies from the points.
    pub residual: Residual,
    /// From where it hurts: the size from which, in a fit of `base + slope x size + factor x size^power`, the part
    /// with the power exceeds the linear one. The smallest measured size where there is no linear part.
    pub dominant_from: Option<f64>,
}

impl Curve {
    /// The value on the curve.
    #[must_use]
    pub fn value_at(&self, size: f64) -> f64 {
        self.base + self.factor * self.power.apply(size)
    }
}

/// The curve of the power that leaves least; the smaller power where two leave the same.
pub(super) fn best_curve(points: &[Point]) -> Curve {
    let mut best = curve(points, Power::One);
    for power in Power::ALL {
        let candidate = curve(points, power);
        if candidate.residual.relative_rms < best.residual.relative_rms {
            best = candidate;
        }
    }
    best.dominant_from = hurts_from(points, best.power);
    best
}

fn curve(points: &[Point], power: Power) -> Curve {
    let (base, factor) = base_and_factor(points, power);
    let residual = residual(points, |size| base + factor * power.apply(size));
    Curve { base, factor, power, residual, dominant_from: None }
}

/// Where the part with the power exceeds the linear one, in a fit that has both.
fn hurts_from(points: &[Point], power: Power) -> Option<f64> {
    if power == Power::One {
        return None;
    }
    let [_, linear, powered] =
        coefficients(points, [Term::Constant, Term::Power(Power::One), Term::Power(power)]);
    if powered <= 0.0 {
        return None;
    }
    let smallest = points.first()?.size;
    let crossing = power.size_of_ratio(linear.max(0.0) / powered);
    // The sizes were scaled so that the greatest is 1.
    Some((crossing * greatest_size(points)).max(smallest))
}
