//! How a series grows: not at all, by a line, by less, or by a power.

use super::Line;
use super::power::{Curve, Power, best_curve};
use super::terms::{Residual, Term, coefficients, greatest_size, residual};
use crate::figures::Point;

/// A line this close to its points holds, whatever bend they have: root mean square of what is left, over the mean
/// of the values. Processor times scatter by as much from run to run.
pub const LINEAR_MAX_RELATIVE_RMS: f64 = 0.03;
/// A line that explains less of the variance than this shows no growth: the mean stands in its place.
pub const LINEAR_MIN_R_SQUARED: f64 = 0.5;
/// A series whose quadratic fit leaves its own chord by this share of the spread of its values is not linear. The
/// pure square has 0.25, the pure power 1.5 about 0.15, a line 0.
pub const NONLINEAR_MIN_CURVATURE: f64 = 0.05;
/// A series that bends upwards at all and grows by this power or more is not linear.
pub const SUPERLINEAR_MIN_EXPONENT: f64 = 1.15;
/// What is called not linear must be explained to this share of the variance by what is called its form ...
pub const NONLINEAR_MIN_R_SQUARED: f64 = 0.95;
/// ... which leaves at most this share of what the line leaves.
pub const NONLINEAR_MAX_RESIDUAL_RATIO: f64 = 0.5;

/// How a series grows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Growth {
    /// Not at all that could be seen: the line has no slope, or explains less than [`LINEAR_MIN_R_SQUARED`].
    Undetected(MeanFit),
    /// By a line: it holds, or nothing says otherwise.
    Linear,
    /// By less than a line: the quadratic fit bends downwards by [`NONLINEAR_MIN_CURVATURE`] or more, or falls and flattens by as
    /// much, and explains more ([`NONLINEAR_MIN_R_SQUARED`], [`NONLINEAR_MAX_RESIDUAL_RATIO`]).
    Sublinear,
    /// By more than a line: it rises, and bends upwards by [`NONLINEAR_MIN_CURVATURE`] or more, or bends upwards with an
    /// exponent of [`SUPERLINEAR_MIN_EXPONENT`] or more; and a power above 1 explains more.
    Superlinear(Curve),
}

/// The mean of a series that does not grow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeanFit {
    /// The mean.
    pub mean: f64,
    /// How far it lies from the points.
    pub residual: Residual,
}

pub(super) fn growth(points: &[Point], line: &Line, exponent: Option<f64>, quadratic: Quadratic) -> Growth {
    let is_better = |form: Residual| {
        let holds = line.residual.relative_rms <= LINEAR_MAX_RELATIVE_RMS;
        let leaves_less = form.relative_rms <= NONLINEAR_MAX_RESIDUAL_RATIO * line.residual.relative_rms;
        !holds && leaves_less && form.r_squared >= NONLINEAR_MIN_R_SQUARED
    };
    let bend = quadratic.bend;
    let by_exponent = bend > 0.0 && exponent.is_some_and(|exponent| exponent >= SUPERLINEAR_MIN_EXPONENT);
    if line.slope > 0.0 && (bend >= NONLINEAR_MIN_CURVATURE || by_exponent) {
        let curve = best_curve(points);
        if curve.power != Power::One && is_better(curve.residual) {
            return Growth::Superlinear(curve);
        }
    }
    if line.slope == 0.0 || line.residual.r_squared < LINEAR_MIN_R_SQUARED {
        return Growth::Undetected(level(points));
    }
    let flattens = if line.slope > 0.0 { -bend } else { bend };
    let is_slower = flattens >= NONLINEAR_MIN_CURVATURE && is_better(quadratic.residual);
    if is_slower { Growth::Sublinear } else { Growth::Linear }
}

fn level(points: &[Point]) -> MeanFit {
    let mean = points.iter().map(|point| point.value).sum::<f64>() / points.len() as f64;
    MeanFit { mean, residual: residual(points, |_| mean) }
}

/// The quadratic fit of a series.
#[derive(Clone, Copy)]
pub(super) struct Quadratic {
    /// How far it leaves its chord in the middle, as a share of the spread of the values.
    pub(super) bend: f64,
    residual: Residual,
}

pub(super) fn quadratic(points: &[Point]) -> Quadratic {
    let terms = [Term::Constant, Term::Power(Power::One), Term::Power(Power::Two)];
    let [base, linear, squared] = coefficients(points, terms);
    let greatest = greatest_size(points);
    let fitted = |size: f64| base + linear * (size / greatest) + squared * (size / greatest).powi(2);
    let values = points.iter().map(|point| point.value);
    let spread = values.clone().fold(f64::MIN, f64::max) - values.fold(f64::MAX, f64::min);
    let range = 1.0 - points.first().map_or(0.0, |point| point.size / greatest);
    let bend = if spread == 0.0 { 0.0 } else { squared * range * range / 4.0 / spread };
    Quadratic { bend, residual: residual(points, fitted) }
}
