//! Estimates of a series' value at any size, with their origin.

use super::{Fit, FitError};
use crate::figures::Point;

/// Relative difference up to which a measured size counts as the wanted size.
pub const SAME_SIZE_TOLERANCE: f64 = 0.005;

/// Origin of an estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Measured at that size, to within [`SAME_SIZE_TOLERANCE`].
    Measured,
    /// Within the measured range: interpolated linearly between the two neighbours.
    WithinRange,
    /// Beyond the measured range: value of the fit.
    BeyondRange,
}

/// An estimated value of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Estimated value.
    pub value: f64,
    /// How the value was obtained.
    pub origin: Origin,
}

/// Estimates the value at a size: measured, else interpolated between its neighbours, else, beyond the
/// measured range, taken from the fit. The estimate is not below 0 unless a point is. A series without a fit
/// has no estimate beyond its range.
#[must_use]
pub fn estimate(points: &[Point], fit: Result<&Fit, FitError>, size: f64) -> Option<Estimate> {
    if let Some(point) = point_at(points, size) {
        return Some(Estimate { value: point.value, origin: Origin::Measured });
    }
    let mut neighbours = points.windows(2);
    if let Some([low, high]) = neighbours.find(|pair| pair[0].size < size && size < pair[1].size) {
        let share = (size - low.size) / (high.size - low.size);
        let value = low.value + share * (high.value - low.value);
        return Some(Estimate { value, origin: Origin::WithinRange });
    }
    let fitted = fit.ok()?.value_at(size);
    let is_never_negative = points.iter().all(|point| point.value >= 0.0);
    let value = if is_never_negative { fitted.max(0.0) } else { fitted };
    Some(Estimate { value, origin: Origin::BeyondRange })
}

/// The point nearest to a size, if it is within [`SAME_SIZE_TOLERANCE`].
fn point_at(points: &[Point], size: f64) -> Option<&Point> {
    let distance = |point: &Point| (point.size - size).abs();
    let nearest = points.iter().min_by(|one, other| distance(one).total_cmp(&distance(other)));
    nearest.filter(|point| distance(point) <= SAME_SIZE_TOLERANCE * size)
}
