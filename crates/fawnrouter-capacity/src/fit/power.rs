//! Curves `base + factor x size^power`, and the size from which the power dominates.

use super::terms::{Residual, Term, base_and_factor, coefficients, greatest_size, residual};
use crate::figures::Point;

/// Powers that are fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Power {
    /// size
    One,
    /// size^1.5
    OneAndAHalf,
    /// size^2
    Two,
    /// size^3
    Three,
}

impl Power {
    /// All powers in increasing order.
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

    /// The size at which `factor x size^power` equals `slope x size`, where `ratio` is `slope / factor`.
    fn crossing_size(self, ratio: f64) -> f64 {
        match self {
            Self::One => f64::INFINITY,
            Self::OneAndAHalf => ratio * ratio,
            Self::Two => ratio,
            Self::Three => ratio.sqrt(),
        }
    }
}

/// The curve `base + factor x size^power`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Curve {
    /// Value at size 0.
    pub base: f64,
    /// Factor of the power.
    pub factor: f64,
    /// The power whose fit has the smallest residual.
    pub power: Power,
    /// Distance of the curve from the points.
    pub residual: Residual,
    /// Size from which the power's term exceeds the linear term, in a fit of `base + slope x size + factor x
    /// size^power`. The smallest measured size if the linear term is not positive; `None` if the power's term
    /// is not.
    pub dominant_from: Option<f64>,
}

impl Curve {
    /// Value of the curve at this size.
    #[must_use]
    pub fn value_at(&self, size: f64) -> f64 {
        self.base + self.factor * self.power.apply(size)
    }
}

/// The curve with the smallest residual; of equal ones that with the smaller power.
pub(super) fn best_curve(points: &[Point]) -> Curve {
    let mut best = fit_curve(points, Power::One);
    for power in Power::ALL {
        let candidate = fit_curve(points, power);
        if candidate.residual.relative_rms < best.residual.relative_rms {
            best = candidate;
        }
    }
    best.dominant_from = dominant_from(points, best.power);
    best
}

fn fit_curve(points: &[Point], power: Power) -> Curve {
    let (base, factor) = base_and_factor(points, power);
    let residual = residual(points, |size| base + factor * power.apply(size));
    Curve { base, factor, power, residual, dominant_from: None }
}

/// Size from which the power's term exceeds the linear one, in a fit of both.
fn dominant_from(points: &[Point], power: Power) -> Option<f64> {
    if power == Power::One {
        return None;
    }
    let [_, linear_coefficient, power_coefficient] =
        coefficients(points, [Term::Constant, Term::Power(Power::One), Term::Power(power)]);
    if power_coefficient <= 0.0 {
        return None;
    }
    let smallest = points.first()?.size;
    let crossing = power.crossing_size(linear_coefficient.max(0.0) / power_coefficient);
    // The fit scales sizes so that the greatest is 1.
    Some((crossing * greatest_size(points)).max(smallest))
}
