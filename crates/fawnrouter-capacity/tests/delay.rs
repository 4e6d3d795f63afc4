//! Delays of several hops whose distribution is known.

use std::num::NonZeroU64;

use fawnrouter_capacity::delay::{
    DelayError, Distribution, FINEST_BIN_NANOSECONDS, GRID_BINS, Grid, P99, delays_by_depth, max_hops_within,
};
use fawnrouter_capacity::figures::DelayBucket;

const MICROSECOND: u64 = 1_000;
const GRID: Grid = Grid { bin_nanoseconds: FINEST_BIN_NANOSECONDS, bins: GRID_BINS };

/// A histogram of pairs of a delay in microseconds and its count.
fn histogram(counts: &[(u64, u64)]) -> Vec<DelayBucket> {
    counts
        .iter()
        .map(|(delay, count)| DelayBucket { nanoseconds: delay * MICROSECOND, count: *count })
        .collect()
}

fn one_hop(counts: &[(u64, u64)]) -> Distribution {
    Distribution::from_histogram(&histogram(counts), GRID).expect("delays were counted")
}

/// A percentile in microseconds.
fn percentile(distribution: &Distribution, share: f64) -> u64 {
    distribution.percentile(share).expect("within the grid") / MICROSECOND
}

/// The smallest number of slow hops within which this share of the calls lies, by the binomial distribution.
fn binomial_percentile(hops: u32, chance: f64, share: f64) -> u32 {
    let mut term = (1.0 - chance).powi(hops as i32);
    let mut within = term;
    let mut slow = 0;
    while within < share {
        slow += 1;
        term *= f64::from(hops - slow + 1) / f64::from(slow) * chance / (1.0 - chance);
        within += term;
    }
    slow
}

#[test]
fn constant_delay_adds_up() {
    let one = one_hop(&[(57, 1_000)]);
    for hops in [0, 1, 2, 3, 4, 12, 28] {
        for share in [0.001, 0.5, 0.99, 1.0] {
            assert_eq!(percentile(&one.of_hops(hops), share), 57 * u64::from(hops), "{hops} hops");
        }
    }
}

#[test]
fn sum_of_two_uniform_delays_is_triangular() {
    // Sum of two values from 1 to 100: of 10,000 pairs, k (k - 1) / 2 add up to k or less, for k up to 101.
    let faces: Vec<(u64, u64)> = (1..=100).map(|face| (face, 1)).collect();
    let two = one_hop(&faces).of_hops(2);
    for sum in [2, 3, 50, 100, 101] {
        let pairs = sum * (sum - 1) / 2;
        let share = pairs as f64 / 10_000.0;
        assert_eq!(percentile(&two, share), sum);
        assert_eq!(percentile(&two, share + 0.000_05), sum + 1);
    }
    // At the upper end 13 x 14 / 2 = 91 pairs are above 187, and 105 above 186.
    assert_eq!(percentile(&two, 0.99), 187);
}

#[test]
fn sum_of_three_dice_has_the_known_distribution() {
    let three = one_hop(&[(1, 1), (2, 1), (3, 1), (4, 1), (5, 1), (6, 1)]).of_hops(3);
    // Ways to throw 3, 4, ... 18 of 216.
    let ways = [1, 3, 6, 10, 15, 21, 25, 27, 27, 25, 21, 15, 10, 6, 3, 1];
    let mut within = 0;
    for (sum, ways) in (3..).zip(ways) {
        let middle = (f64::from(within) + f64::from(ways) / 2.0) / 216.0;
        assert_eq!(percentile(&three, middle), sum);
        within += ways;
    }
    assert_eq!(within, 216);
}

#[test]
fn number_of_slow_hops_is_binomial() {
    let one = one_hop(&[(10, 900), (100, 100)]);
    for hops in [1, 4, 12, 28] {
        let sum = one.of_hops(hops);
        for share in [0.5, 0.99, 0.999] {
            let slow = u64::from(binomial_percentile(hops, 0.1, share));
            let expected = 10 * u64::from(hops) + 90 * slow;
            assert_eq!(percentile(&sum, share), expected, "{hops} hops, share {share}");
        }
    }
}

#[test]
fn percentile_of_a_sum_is_not_the_sum_of_percentiles() {
    let one = one_hop(&[(10, 980), (100, 20)]);
    let p99_of_one = percentile(&one, P99);
    let p99_of_28 = percentile(&one.of_hops(28), P99);
    assert_eq!(p99_of_one, 100);
    // In 99 of 100 calls at most three of 28 hops are slow.
    assert_eq!(binomial_percentile(28, 0.02, P99), 3);
    assert_eq!(p99_of_28, 28 * 10 + 3 * 90);
}

#[test]
fn hops_combined_in_groups_equal_hops_combined_at_once() {
    let one = one_hop(&[(3, 5), (8, 3), (40, 1), (111, 1)]);
    let chained = one.of_hops(7).of_hops(4);
    let doubled = one.of_hops(28);
    for share in [0.1, 0.5, 0.9, 0.99, 0.999] {
        assert_eq!(chained.percentile(share), doubled.percentile(share));
    }
}

#[test]
fn delay_beyond_the_grid_is_counted_and_has_no_percentile() {
    let grid = Grid { bin_nanoseconds: FINEST_BIN_NANOSECONDS, bins: 101 };
    let buckets = histogram(&[(10, 95), (5_000, 5)]);
    let one = Distribution::from_histogram(&buckets, grid).expect("delays were counted");
    assert_eq!(one.percentile(0.95), Some(10 * MICROSECOND));
    assert_eq!(one.percentile(0.96), None);
    // 0.95 x 0.95 = 0.9025 of two hops are both fast.
    let two = one.of_hops(2);
    assert_eq!(two.percentile(0.9), Some(20 * MICROSECOND));
    assert_eq!(two.percentile(0.91), None);
    // The sum of 11 fast hops is beyond the grid.
    assert_eq!(one.of_hops(11).percentile(0.01), None);
}

#[test]
fn delays_too_long_for_the_finest_grid_use_a_wider_one() {
    let buckets = histogram(&[(1_024, 1)]);
    let found = delays_by_depth(&buckets, &[1, 28]).expect("delays were counted");
    // 28 x 1.024 ms need bins of 8 us on a grid of 4,096 bins.
    assert_eq!(found.grid.bin_nanoseconds, NonZeroU64::new(8_000).expect("not 0"));
    let p99: Vec<_> = found.delays.iter().map(|delay| (delay.hops, delay.p99_nanoseconds)).collect();
    assert_eq!(p99, [(1, Some(1_024_000)), (28, Some(28 * 1_024_000))]);
}

#[test]
fn percentiles_of_each_depth_are_returned() {
    let found = delays_by_depth(&histogram(&[(10, 900), (100, 100)]), &[1, 4]).expect("delays were counted");
    assert_eq!(found.grid, GRID);
    let [one, four] = found.delays[..] else { panic!("two depths, found {}", found.delays.len()) };
    assert_eq!((one.p50_nanoseconds, one.p99_nanoseconds), (Some(10_000), Some(100_000)));
    // Slow hops of four: none at p50, two at p99, three at p999.
    assert_eq!(four.p50_nanoseconds, Some(40_000));
    assert_eq!(four.p99_nanoseconds, Some(220_000));
    assert_eq!(four.p999_nanoseconds, Some(310_000));
}

#[test]
fn greatest_depth_within_a_limit_is_returned() {
    let always_100 = histogram(&[(100, 10)]);
    assert_eq!(max_hops_within(&always_100, 1_600_000, 28), Ok(16));
    assert_eq!(max_hops_within(&always_100, 1_599_000, 28), Ok(15));
    assert_eq!(max_hops_within(&always_100, 99_000, 28), Ok(0));
    assert_eq!(max_hops_within(&always_100, 1_600_000, 4), Ok(4));
}

#[test]
fn empty_histogram_has_no_distribution() {
    assert_eq!(delays_by_depth(&[], &[1]), Err(DelayError::Empty));
    assert_eq!(max_hops_within(&histogram(&[(10, 0)]), 1_000, 28), Err(DelayError::Empty));
}
