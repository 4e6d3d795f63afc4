//! Fits of sums of powers of the size, and their residuals.

use super::least_squares::least_squares;
use super::power::Power;
use crate::figures::Point;

/// A coefficient whose contribution is below this share of the values is a rounding error and counts as 0.
const ROUNDING_SHARE: f64 = 1e-9;

/// Distance of a fit from its points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Residual {
    /// Root mean square of the residuals, over the mean magnitude of the values.
    pub relative_rms: f64,
    /// Share of the values' variance that the fit explains; 1 if they do not vary.
    pub r_squared: f64,
}

/// Base and factor of `base + factor x size^power`.
pub(super) fn base_and_factor(points: &[Point], power: Power) -> (f64, f64) {
    let [base, factor] = coefficients(points, [Term::Constant, Term::Power(power)]);
    let greatest_value = points.iter().map(|point| point.value.abs()).fold(0.0, f64::max);
    let without_rounding = |coefficient: f64| {
        if coefficient.abs() <= ROUNDING_SHARE * greatest_value { 0.0 } else { coefficient }
    };
    (without_rounding(base), without_rounding(factor) / power.apply(greatest_size(points)))
}

/// A term of the fitted sum.
#[derive(Clone, Copy)]
pub(super) enum Term {
    Constant,
    Power(Power),
}

impl Term {
    fn value_at(self, size: f64) -> f64 {
        match self {
            Self::Constant => 1.0,
            Self::Power(power) => power.apply(size),
        }
    }
}

/// Least-squares coefficients of these terms, with sizes scaled so that the greatest is 1.
pub(super) fn coefficients<const TERMS: usize>(points: &[Point], terms: [Term; TERMS]) -> [f64; TERMS] {
    let greatest = greatest_size(points);
    let column = |term: Term| -> Vec<f64> {
        points.iter().map(|point| term.value_at(point.size / greatest)).collect()
    };
    let values: Vec<f64> = points.iter().map(|point| point.value).collect();
    let fitted = least_squares(&terms.map(column), &values);
    std::array::from_fn(|index| fitted[index])
}

pub(super) fn greatest_size(points: &[Point]) -> f64 {
    points.last().map_or(1.0, |point| point.size)
}

pub(super) fn residual(points: &[Point], fitted: impl Fn(f64) -> f64) -> Residual {
    let count = points.len() as f64;
    let mean = points.iter().map(|point| point.value).sum::<f64>() / count;
    let mean_magnitude = points.iter().map(|point| point.value.abs()).sum::<f64>() / count;
    let squared_residuals: f64 = points.iter().map(|point| (point.value - fitted(point.size)).powi(2)).sum();
    let squared_deviations: f64 = points.iter().map(|point| (point.value - mean).powi(2)).sum();
    let relative_rms =
        if mean_magnitude == 0.0 { 0.0 } else { (squared_residuals / count).sqrt() / mean_magnitude };
    let does_not_vary = (squared_deviations / count).sqrt() <= ROUNDING_SHARE * mean_magnitude;
    let r_squared = if does_not_vary { 1.0 } else { 1.0 - squared_residuals / squared_deviations };
    Residual { relative_rms, r_squared }
}
