//! Classifies how a series grows: not at all, linearly, slower, or by a power.

use super::Line;
use super::power::{Curve, Power, best_curve};
use super::terms::{Residual, Term, coefficients, greatest_size, residual};
use crate::figures::Point;

/// A line counts as fitting if the root mean square of its residuals, over the mean of the values, is at most
/// this, whatever their curvature. Processor times vary by as much between runs.
pub const LINEAR_MAX_RELATIVE_RMS: f64 = 0.03;
/// A line that explains a smaller share of the variance than this shows no growth; the mean is used instead.
pub const LINEAR_MIN_R_SQUARED: f64 = 0.5;
/// Curvature from which a series counts as not linear. It is 0.25 for a pure square, about 0.15 for a pure
/// power of 1.5, and 0 for a line.
pub const NONLINEAR_MIN_CURVATURE: f64 = 0.05;
/// Exponent from which a series with upward curvature counts as superlinear.
pub const SUPERLINEAR_MIN_EXPONENT: f64 = 1.15;
/// Share of the variance that the nonlinear form must explain.
pub const NONLINEAR_MIN_R_SQUARED: f64 = 0.95;
/// Greatest residual of the nonlinear form, as a share of the line's residual.
pub const NONLINEAR_MAX_RESIDUAL_RATIO: f64 = 0.5;

/// Kind of growth of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Growth {
    /// No growth detected: the line has no slope or explains less than [`LINEAR_MIN_R_SQUARED`].
    Undetected(MeanFit),
    /// The line fits, or nothing contradicts it.
    Linear,
    /// Slower than linear: the series rises and its quadratic fit bends downwards by at least
    /// [`NONLINEAR_MIN_CURVATURE`], or it falls and flattens by as much, and the quadratic fit fits better
    /// ([`NONLINEAR_MIN_R_SQUARED`], [`NONLINEAR_MAX_RESIDUAL_RATIO`]).
    Sublinear,
    /// Faster than linear: the series rises and bends upwards by at least [`NONLINEAR_MIN_CURVATURE`], or
    /// bends upwards with an exponent of at least [`SUPERLINEAR_MIN_EXPONENT`], and a power above 1 fits
    /// better.
    Superlinear(Curve),
}

/// Mean of a series without growth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeanFit {
    /// Mean of the values.
    pub mean: f64,
    /// Distance of the mean from the points.
    pub residual: Residual,
}

pub(super) fn classify(points: &[Point], line: &Line, exponent: Option<f64>, quadratic: Quadratic) -> Growth {
    let fits_better = |form: Residual| {
        let line_fits = line.residual.relative_rms <= LINEAR_MAX_RELATIVE_RMS;
        let has_smaller_residual =
            form.relative_rms <= NONLINEAR_MAX_RESIDUAL_RATIO * line.residual.relative_rms;
        !line_fits && has_smaller_residual && form.r_squared >= NONLINEAR_MIN_R_SQUARED
    };
    let curvature = quadratic.curvature;
    let bends_with_exponent =
        curvature > 0.0 && exponent.is_some_and(|exponent| exponent >= SUPERLINEAR_MIN_EXPONENT);
    if line.slope > 0.0 && (curvature >= NONLINEAR_MIN_CURVATURE || bends_with_exponent) {
        let curve = best_curve(points);
        if curve.power != Power::One && fits_better(curve.residual) {
            return Growth::Superlinear(curve);
        }
    }
    if line.slope == 0.0 || line.residual.r_squared < LINEAR_MIN_R_SQUARED {
        return Growth::Undetected(mean_fit(points));
    }
    let flattening = if line.slope > 0.0 { -curvature } else { curvature };
    let is_sublinear = flattening >= NONLINEAR_MIN_CURVATURE && fits_better(quadratic.residual);
    if is_sublinear { Growth::Sublinear } else { Growth::Linear }
}

fn mean_fit(points: &[Point]) -> MeanFit {
    let mean = points.iter().map(|point| point.value).sum::<f64>() / points.len() as f64;
    MeanFit { mean, residual: residual(points, |_| mean) }
}

/// Quadratic fit of a series.
#[derive(Clone, Copy)]
pub(super) struct Quadratic {
    /// Distance from its chord in the middle, as a share of the spread of the values.
    pub(super) curvature: f64,
    residual: Residual,
}

pub(super) fn fit_quadratic(points: &[Point]) -> Quadratic {
    let terms = [Term::Constant, Term::Power(Power::One), Term::Power(Power::Two)];
    let [base, linear, squared] = coefficients(points, terms);
    let greatest = greatest_size(points);
    let fitted = |size: f64| base + linear * (size / greatest) + squared * (size / greatest).powi(2);
    let values = points.iter().map(|point| point.value);
    let spread = values.clone().fold(f64::MIN, f64::max) - values.fold(f64::MAX, f64::min);
    let range = 1.0 - points.first().map_or(0.0, |point| point.size / greatest);
    let curvature = if spread == 0.0 { 0.0 } else { squared * range * range / 4.0 / spread };
    Quadratic { curvature, residual: residual(points, fitted) }
}
