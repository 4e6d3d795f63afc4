//! Fits of series that follow a known formula.

use fawnrouter_capacity::figures::Point;
use fawnrouter_capacity::fit::{
    Curve, Estimate, Fit, FitError, Growth, LINEAR_MAX_RELATIVE_RMS, Line, MIN_POINTS, MeanFit, Origin,
    Power, estimate,
};

const SIZES: [f64; 6] = [25.0, 66.0, 132.0, 330.0, 660.0, 1_320.0];

fn series(sizes: &[f64], formula: impl Fn(f64) -> f64) -> Vec<Point> {
    sizes.iter().map(|size| Point { size: *size, value: formula(*size) }).collect()
}

fn fit_of(formula: impl Fn(f64) -> f64) -> Fit {
    Fit::from_points(&series(&SIZES, formula)).expect("a series that has a fit")
}

#[track_caller]
fn assert_near(found: f64, expected: f64, tolerance: f64) {
    assert!((found - expected).abs() <= tolerance, "{found} is not within {tolerance} of {expected}");
}

#[track_caller]
fn curve_of(fit: &Fit) -> Curve {
    match fit.growth {
        Growth::Superlinear(curve) => curve,
        other => panic!("expected growth faster than linear, found {other:?}"),
    }
}

#[track_caller]
fn mean_fit_of(fit: &Fit) -> MeanFit {
    match fit.growth {
        Growth::Undetected(level) => level,
        other => panic!("expected no growth, found {other:?}"),
    }
}

/// Fits points that lie above a level by the given amounts.
fn scattered(level: f64, above: &[f64; 6]) -> Fit {
    let point = |(size, above): (&f64, &f64)| Point { size: *size, value: level + above };
    let points: Vec<Point> = SIZES.iter().zip(above).map(point).collect();
    Fit::from_points(&points).expect("six points")
}

#[test]
fn line_is_fitted_exactly() {
    let fit = fit_of(|size| 3.0 + 0.25 * size);
    assert_near(fit.line.base, 3.0, 1e-9);
    assert_near(fit.line.slope, 0.25, 1e-12);
    assert_near(fit.line.residual.relative_rms, 0.0, 1e-12);
    assert_near(fit.line.residual.r_squared, 1.0, 1e-12);
    assert_near(fit.curvature, 0.0, 1e-9);
    assert_eq!(fit.growth, Growth::Linear);
}

#[test]
fn line_through_scattered_points_is_the_least_squares_line() {
    // Calculated by hand: means 2.5 and 5, slope (-1.5 x -3 + -0.5 x 1 + 0.5 x -1 + 1.5 x 3) / 5 = 1.6, base
    // 5 - 2.5 x 1.6 = 1.
    let values = [2.0, 6.0, 4.0, 8.0];
    let points: Vec<Point> =
        values.iter().zip(1..).map(|(value, size)| Point { size: f64::from(size), value: *value }).collect();
    let Line { base, slope, residual } = Fit::from_points(&points).expect("four points").line;
    assert_near(slope, 1.6, 1e-12);
    assert_near(base, 1.0, 1e-12);
    // Residuals: -0.6, 1.8, -1.8, 0.6; squares 7.2 of 20; root mean square 1.3416 over a mean of 5.
    assert_near(residual.r_squared, 1.0 - 7.2 / 20.0, 1e-12);
    assert_near(residual.relative_rms, 1.8_f64.sqrt() / 5.0, 1e-12);
}

#[test]
fn constant_series_has_no_slope_and_no_growth() {
    let fit = fit_of(|_| 7.1);
    assert_eq!(fit.line.slope, 0.0);
    assert_near(fit.line.base, 7.1, 1e-9);
    assert_eq!(fit.line.residual.r_squared, 1.0);
    assert_near(mean_fit_of(&fit).mean, 7.1, 1e-9);
    assert_near(fit.value_at(2_640.0), 7.1, 1e-9);
    let zero = fit_of(|_| 0.0);
    assert_eq!((zero.line.base, zero.line.slope, zero.line.residual.relative_rms), (0.0, 0.0, 0.0));
    assert_eq!(zero.exponent, None);
}

#[test]
fn each_power_is_fitted_with_its_base_and_factor() {
    for power in [Power::OneAndAHalf, Power::Two, Power::Three] {
        let fit = fit_of(|size| 100.0 + 0.02 * power.apply(size));
        let curve = curve_of(&fit);
        assert_eq!(curve.power, power);
        assert_near(curve.base, 100.0, 1e-6);
        assert_near(curve.factor, 0.02, 1e-12);
        assert_near(fit.residual().relative_rms, 0.0, 1e-9);
        assert!(fit.line.residual.relative_rms > LINEAR_MAX_RELATIVE_RMS);
        assert_near(fit.value_at(2_640.0), 100.0 + 0.02 * power.apply(2_640.0), 1e-3);
    }
}

#[test]
fn exponent_is_the_slope_between_logarithms() {
    let exponent = |formula: fn(f64) -> f64| fit_of(formula).exponent.expect("points above 0");
    assert_near(exponent(|size| 5.0 * size), 1.0, 1e-12);
    assert_near(exponent(|size| 0.03 * size * size), 2.0, 1e-12);
    assert_near(exponent(|size| 0.03 * size.powf(1.3)), 1.3, 1e-12);
    assert_near(exponent(|_| 4.0), 0.0, 1e-12);
}

#[test]
fn power_dominates_from_where_it_exceeds_the_linear_term() {
    let square = curve_of(&fit_of(|size| 10.0 + 2.0 * size + 0.01 * size * size));
    assert_eq!(square.power, Power::Two);
    assert_near(square.dominant_from.expect("a crossing"), 200.0, 1e-6);
    let cube = curve_of(&fit_of(|size| 10.0 + 0.9 * size + 1e-5 * size * size * size));
    assert_eq!(cube.power, Power::Three);
    assert_near(cube.dominant_from.expect("a crossing"), 300.0, 1e-6);
}

#[test]
fn power_without_a_linear_term_dominates_from_the_smallest_size() {
    let curve = curve_of(&fit_of(|size| 50.0 - 0.1 * size + 0.03 * size * size));
    assert_eq!(curve.dominant_from, Some(SIZES[0]));
}

#[test]
fn line_with_two_percent_noise_is_linear() {
    let signs = [1.0, -1.0, 1.0, 1.0, -1.0, 1.0];
    let mut noise = signs.iter();
    let noisy: Vec<Point> = series(&SIZES, |size| 3.0 + 0.25 * size)
        .into_iter()
        .map(|point| Point {
            value: point.value * (1.0 + 0.02 * noise.next().expect("a sign each")),
            ..point
        })
        .collect();
    let fit = Fit::from_points(&noisy).expect("a fit");
    assert_eq!(fit.growth, Growth::Linear, "curvature {}", fit.curvature);
}

#[test]
fn line_with_a_negative_base_is_linear_whatever_its_exponent() {
    let fit = fit_of(|size| size - 20.0);
    assert!(fit.exponent.expect("points above 0") > 1.15);
    assert_eq!(fit.growth, Growth::Linear);
}

#[test]
fn series_that_bends_downwards_or_falls_and_flattens_is_sublinear() {
    assert_eq!(fit_of(f64::sqrt).growth, Growth::Sublinear);
    assert_eq!(fit_of(|size| 40.0 - size.sqrt()).growth, Growth::Sublinear);
}

#[test]
fn scattered_series_does_not_grow() {
    // The values alternate: the line explains next to nothing, and the best power little more.
    let fit = scattered(100.0, &[-7.0, 6.0, -8.0, 7.0, 5.0, -6.0]);
    let level = mean_fit_of(&fit);
    assert_near(level.mean, 99.5, 1e-9);
    assert_eq!(fit.residual(), level.residual);
    assert_near(level.residual.r_squared, 0.0, 1e-12);
    assert_near(fit.value_at(2_640.0), 99.5, 1e-9);
}

#[test]
fn slightly_high_last_point_is_not_superlinear() {
    let fit = scattered(100.0, &[0.0, 0.0, 0.0, 0.0, 0.0, 5.0]);
    assert!(!matches!(fit.growth, Growth::Superlinear(_)), "{:?}", fit.growth);
}

#[test]
fn power_that_explains_little_more_than_the_line_is_not_used() {
    // The series bends upwards and scatters by as much.
    let points = [(2.0, 6.0), (5.0, 11.0), (10.0, 34.0), (20.0, 59.0)];
    let points: Vec<Point> =
        points.iter().map(|(size, value)| Point { size: *size, value: *value }).collect();
    let fit = Fit::from_points(&points).expect("four points");
    assert!(fit.exponent.expect("points above 0") > 1.0);
    assert_eq!(fit.growth, Growth::Linear);
}

#[test]
fn fewer_than_four_points_have_no_fit() {
    assert_eq!(MIN_POINTS, 4);
    let three = series(&SIZES[..3], |size| size);
    assert_eq!(Fit::from_points(&three), Err(FitError::TooFewPoints { found: 3 }));
    assert_eq!(Fit::from_points(&[]), Err(FitError::TooFewPoints { found: 0 }));
    assert!(Fit::from_points(&series(&SIZES[..4], |size| size)).is_ok());
}

#[test]
fn points_with_unsorted_sizes_or_invalid_numbers_have_no_fit() {
    let twice = series(&[1.0, 2.0, 2.0, 3.0], |size| size);
    assert_eq!(Fit::from_points(&twice), Err(FitError::SizesNotIncreasing { position: 3 }));
    let falling = series(&[4.0, 3.0, 2.0, 1.0], |size| size);
    assert_eq!(Fit::from_points(&falling), Err(FitError::SizesNotIncreasing { position: 2 }));
    let not_a_number = series(&SIZES, |size| if size == 132.0 { f64::NAN } else { size });
    assert_eq!(Fit::from_points(&not_a_number), Err(FitError::BadPoint { position: 3 }));
    let negative = series(&[-1.0, 2.0, 3.0, 4.0], |size| size);
    assert_eq!(Fit::from_points(&negative), Err(FitError::BadPoint { position: 1 }));
}

#[test]
fn estimate_tells_whether_it_is_measured_interpolated_or_extrapolated() {
    // The point at 660 follows no formula: the fit must not be used within the range or at a point.
    let points = series(&SIZES, |size| if size == 660.0 { 1_000.0 } else { 2.0 * size });
    let fit = Fit::from_points(&points).expect("a fit");
    let at = |size| estimate(&points, Ok(&fit), size).expect("an estimate");
    assert_eq!(at(660.0), Estimate { value: 1_000.0, origin: Origin::Measured });
    assert_eq!(at(661.0), Estimate { value: 1_000.0, origin: Origin::Measured });
    assert_eq!(at(99.0), Estimate { value: 198.0, origin: Origin::WithinRange });
    assert_eq!(at(2_640.0), Estimate { value: fit.value_at(2_640.0), origin: Origin::BeyondRange });
    assert!(fit.value_at(1.0) < 0.0);
    assert_eq!(at(1.0), Estimate { value: 0.0, origin: Origin::BeyondRange });
}

#[test]
fn series_without_a_fit_has_estimates_only_within_its_range() {
    let points = series(&[8.0, 30.0, 60.0], |size| 10.0 * size);
    let error = Fit::from_points(&points).expect_err("three points");
    let value = |size| estimate(&points, Err(error), size).map(|estimate| estimate.value);
    assert_eq!(value(30.0), Some(300.0));
    assert_eq!(value(45.0), Some(450.0));
    assert_eq!(value(660.0), None);
}

#[test]
fn estimate_is_negative_only_if_a_point_is() {
    let at_2_640 = |formula: fn(f64) -> f64| {
        let points = series(&SIZES, formula);
        let fit = Fit::from_points(&points).expect("a fit");
        estimate(&points, Ok(&fit), 2_640.0).expect("an estimate").value
    };
    assert_eq!(at_2_640(|size| 2_000.0 - size), 0.0);
    assert_near(at_2_640(|size| 1_000.0 - size), -1_640.0, 1e-6);
}
