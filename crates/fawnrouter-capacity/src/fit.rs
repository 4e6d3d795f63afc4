//! Fits of a series: base, slope and residual of a line, growth by a power, and values at other sizes.
//!
//! All fits are ordinary least squares. [`Growth`] and its constants define which series count as not linear.

mod estimate;
mod growth;
mod least_squares;
mod power;
mod terms;

pub use self::estimate::{Estimate, Origin, SAME_SIZE_TOLERANCE, estimate};
pub use self::growth::{
    Growth, LINEAR_MAX_RELATIVE_RMS, LINEAR_MIN_R_SQUARED, MeanFit, NONLINEAR_MAX_RESIDUAL_RATIO,
    NONLINEAR_MIN_CURVATURE, NONLINEAR_MIN_R_SQUARED, SUPERLINEAR_MIN_EXPONENT,
};
pub use self::power::{Curve, Power};
pub use self::terms::Residual;

use self::growth::{classify, fit_quadratic};
use self::least_squares::least_squares;
use self::terms::{base_and_factor, residual};
use crate::figures::Point;

/// Least number of points for a fit.
pub const MIN_POINTS: usize = 4;

/// Why a series has no fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum FitError {
    /// There are fewer than [`MIN_POINTS`] points.
    #[error("too few points ({found} of {MIN_POINTS})")]
    TooFewPoints {
        /// Number of points.
        found: usize,
    },
    /// A size is not greater than the one before it.
    #[error("the sizes do not rise at point {position}")]
    SizesNotIncreasing {
        /// Position of the point, from 1.
        position: usize,
    },
    /// A size is negative, or a size or value is not finite.
    #[error("point {position} has a negative size or is no finite number")]
    BadPoint {
        /// Position of the point, from 1.
        position: usize,
    },
}

/// The line `base + slope x size`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at size 0.
    pub base: f64,
    /// Increase per unit of size.
    pub slope: f64,
    /// Distance of the line from the points.
    pub residual: Residual,
}

impl Line {
    /// Value of the line at this size.
    #[must_use]
    pub fn value_at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// Line, exponent, curvature and kind of growth of a series.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// The line through the points.
    pub line: Line,
    /// Slope of the line through the logarithms of the points above 0; `None` with fewer than two of them.
    pub exponent: Option<f64>,
    /// Distance of the quadratic fit from its chord in the middle, as a share of the spread of the values.
    /// Positive if it bends upwards.
    pub curvature: f64,
    /// Kind of growth.
    pub growth: Growth,
}

impl Fit {
    /// Fits a series whose points are sorted by size.
    ///
    /// # Errors
    /// Returns an error if there are too few points, if sizes do not increase, or if a number is invalid.
    pub fn from_points(points: &[Point]) -> Result<Self, FitError> {
        check_points(points)?;
        let line = fit_line(points);
        let exponent = exponent(points);
        let quadratic = fit_quadratic(points);
        let growth = classify(points, &line, exponent, quadratic);
        Ok(Self { line, exponent, curvature: quadratic.curvature, growth })
    }

    /// Residual of the mean, line or curve that describes the series.
    #[must_use]
    pub fn residual(&self) -> Residual {
        match self.growth {
            Growth::Undetected(level) => level.residual,
            Growth::Linear | Growth::Sublinear => self.line.residual,
            Growth::Superlinear(curve) => curve.residual,
        }
    }

    /// Fitted value at this size.
    #[must_use]
    pub fn value_at(&self, size: f64) -> f64 {
        match self.growth {
            Growth::Undetected(level) => level.mean,
            Growth::Linear | Growth::Sublinear => self.line.value_at(size),
            Growth::Superlinear(curve) => curve.value_at(size),
        }
    }
}

fn check_points(points: &[Point]) -> Result<(), FitError> {
    let is_bad = |point: &Point| !point.size.is_finite() || point.size < 0.0 || !point.value.is_finite();
    if let Some(index) = points.iter().position(is_bad) {
        return Err(FitError::BadPoint { position: index + 1 });
    }
    if let Some(index) = points.windows(2).position(|pair| pair[0].size >= pair[1].size) {
        return Err(FitError::SizesNotIncreasing { position: index + 2 });
    }
    if points.len() < MIN_POINTS {
        return Err(FitError::TooFewPoints { found: points.len() });
    }
    Ok(())
}

fn fit_line(points: &[Point]) -> Line {
    let (base, slope) = base_and_factor(points, Power::One);
    let residual = residual(points, |size| base + slope * size);
    Line { base, slope, residual }
}

/// Slope of the least-squares line through the logarithms.
fn exponent(points: &[Point]) -> Option<f64> {
    let is_positive = |point: &&Point| point.size > 0.0 && point.value > 0.0;
    let positive: Vec<&Point> = points.iter().filter(is_positive).collect();
    if positive.len() < 2 {
        return None;
    }
    let ones = vec![1.0; positive.len()];
    let sizes = positive.iter().map(|point| point.size.ln()).collect();
    let values: Vec<f64> = positive.iter().map(|point| point.value.ln()).collect();
    least_squares(&[ones, sizes], &values).last().copied()
}
