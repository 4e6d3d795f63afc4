//! The value of a series at some size, and where it comes from.

use super::{Fit, FitError};
use crate::figures::Point;

/// A point whose size differs from a wanted one by this share of it or less is one at that size.
pub const SAME_SIZE_TOLERANCE: f64 = 0.005;

/// Where an estimate comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A point was measured at that size, to within [`SAME_SIZE_TOLERANCE`].
    Measured,
    /// The size lies within the measured range: on the straight line between its two neighbours.
    WithinRange,
    /// The size lies beyond the measured range: on the fit.
    BeyondRange,
}

/// The value of a series at some size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The value.
    pub value: f64,
    /// Where it comes from.
    pub origin: Origin,
}

/// The value of a series at a size: measured, else between its neighbours, else, beyond the measured range, on the
/// fit, but not below 0 where no point is. Nothing beyond the range of a series without a fit.
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

/// The point nearest to a size, if it is one at that size.
fn point_at(points: &[Point], size: f64) -> Option<&Point> {
    let distance = |point: &Point| (point.size - size).abs();
    let nearest = points.iter().min_by(|one, other| distance(one).total_cmp(&distance(other)));
    nearest.filter(|point| distance(point) <= SAME_SIZE_TOLERANCE * size)
}
