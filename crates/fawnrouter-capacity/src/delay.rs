//! The delay of several hops from the measured delay of one, by convolution.
//!
//! A percentile of a sum is not the sum of percentiles: in 28 hops some few are slow, hardly ever all. So the whole
//! distribution of one hop is laid on a grid and convolved with itself. Hops are taken as independent of each other.

use std::num::NonZeroU64;

use crate::figures::DelayBucket;

/// Bins of the grid. Delays beyond it are counted together: hops only add, so they never come back.
pub const GRID_BINS: usize = 4_096;
/// The width of a bin wherever the delays fit into that grid, in nanoseconds.
pub const FINEST_BIN_NANOSECONDS: NonZeroU64 = NonZeroU64::new(1_000).unwrap();
/// The widest bin, in nanoseconds; the grid then ends at 537 s.
pub const COARSEST_BIN_NANOSECONDS: NonZeroU64 = NonZeroU64::new(131_072_000).unwrap();
/// The share of the delays that lie within the median.
pub const P50: f64 = 0.5;
/// The share of the delays that lie within the 99th percentile.
pub const P99: f64 = 0.99;
/// The share of the delays that lie within the 99.9th percentile.
pub const P999: f64 = 0.999;
/// Shares that differ by less are the same: what rounding can add up to over a grid.
const ROUNDING: f64 = 1e-9;
/// The share of a bin that counts as none: all pairs of such bins add up to less than [`ROUNDING`].
const NEGLIGIBLE: f64 = 1e-18;
const TWICE: NonZeroU64 = NonZeroU64::new(2).unwrap();

/// Why delays make no distribution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum DelayError {
    /// There is none.
    #[error("no delay of a hop was counted")]
    Empty,
}

/// Where delays are counted: bins of one width from 0 on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grid {
    /// The width of a bin in nanoseconds.
    pub bin_nanoseconds: NonZeroU64,
    /// How many bins there are.
    pub bins: usize,
}

impl Grid {
    /// The bin nearest to a delay; none beyond the grid.
    fn bin_of(self, nanoseconds: u64) -> Option<usize> {
        let width = self.bin_nanoseconds.get();
        let nearest = nanoseconds.saturating_add(width / 2) / width;
        usize::try_from(nearest).ok().filter(|bin| *bin < self.bins)
    }

    fn with_bins_twice_as_wide(self) -> Self {
        Self { bin_nanoseconds: self.bin_nanoseconds.saturating_mul(TWICE), ..self }
    }
}

/// How likely each delay is.
#[derive(Clone, Debug, PartialEq)]
pub struct Distribution {
    grid: Grid,
    /// The share of each bin, up to the last that has one.
    shares: Vec<f64>,
}

impl Distribution {
    /// The distribution of one hop, from a measured histogram.
    ///
    /// # Errors
    /// Where nothing was counted.
    pub fn from_histogram(buckets: &[DelayBucket], grid: Grid) -> Result<Self, DelayError> {
        let total: f64 = buckets.iter().map(|bucket| bucket.count as f64).sum();
        if total == 0.0 {
            return Err(DelayError::Empty);
        }
        let mut shares = vec![0.0; grid.bins];
        for bucket in buckets {
            if let Some(bin) = grid.bin_of(bucket.nanoseconds) {
                shares[bin] += bucket.count as f64 / total;
            }
        }
        Ok(Self::trimmed(grid, shares))
    }

    /// The distribution of so many hops one behind the other, by doubling.
    #[must_use]
    pub fn of_hops(&self, hops: u32) -> Self {
        let mut sum = Self { grid: self.grid, shares: vec![1.0] };
        let mut doubled = self.clone();
        let mut left = hops;
        while left > 0 {
            if left % 2 == 1 {
                sum = sum.followed_by(&doubled);
            }
            left /= 2;
            if left > 0 {
                doubled = doubled.followed_by(&doubled);
            }
        }
        sum
    }

    /// The distribution of the sum of a delay of this one and one of the other, which must lie on the same grid.
    fn followed_by(&self, other: &Self) -> Self {
        let mut sums = vec![0.0; self.grid.bins];
        for (bin, share) in self.shares.iter().enumerate() {
            if *share <= NEGLIGIBLE {
                continue;
            }
            for (sum, other_share) in sums[bin..].iter_mut().zip(&other.shares) {
                *sum += share * other_share;
            }
        }
        Self::trimmed(self.grid, sums)
    }

    /// The smallest delay, in nanoseconds, within which this share of the delays lies; none if it is beyond the grid.
    #[must_use]
    pub fn percentile(&self, share: f64) -> Option<u64> {
        let mut within = 0.0;
        for (bin, share_of_bin) in self.shares.iter().enumerate() {
            within += share_of_bin;
            if within >= share - ROUNDING {
                return Some(bin as u64 * self.grid.bin_nanoseconds.get());
            }
        }
        None
    }

    /// Whether the grid holds the highest percentile of so many hops. One that does not hold it for one hop is not asked
    /// for more.
    fn holds_hops(&self, hops: u32) -> bool {
        self.percentile(P999).is_some() && self.of_hops(hops).percentile(P999).is_some()
    }

    fn trimmed(grid: Grid, mut shares: Vec<f64>) -> Self {
        let used = shares.iter().rposition(|share| *share > NEGLIGIBLE).map_or(0, |last| last + 1);
        shares.truncate(used);
        Self { grid, shares }
    }
}

/// Percentiles of the delay of so many hops, in nanoseconds; none where one lies beyond the widest grid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DelayPercentiles {
    /// How many hops.
    pub hops: u32,
    /// Half of the calls.
    pub p50_nanoseconds: Option<u64>,
    /// 99 in 100.
    pub p99_nanoseconds: Option<u64>,
    /// 999 in 1,000.
    pub p999_nanoseconds: Option<u64>,
}

/// The delays of several depths on one grid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DelaysByDepth {
    /// The grid they lie on.
    pub grid: Grid,
    /// One for each depth that was asked for.
    pub delays: Vec<DelayPercentiles>,
}

/// The delays of these depths, on the finest grid that holds the percentiles of the deepest.
///
/// # Errors
/// Where no delay was counted.
pub fn delays_by_depth(buckets: &[DelayBucket], hops: &[u32]) -> Result<DelaysByDepth, DelayError> {
    let deepest = hops.iter().copied().max().unwrap_or(0);
    let mut grid = Grid { bin_nanoseconds: FINEST_BIN_NANOSECONDS, bins: GRID_BINS };
    let mut one = Distribution::from_histogram(buckets, grid)?;
    while !one.holds_hops(deepest) && grid.bin_nanoseconds < COARSEST_BIN_NANOSECONDS {
        grid = grid.with_bins_twice_as_wide();
        one = Distribution::from_histogram(buckets, grid)?;
    }
    let delays = hops.iter().map(|hops| percentiles(&one, *hops)).collect();
    Ok(DelaysByDepth { grid, delays })
}

fn percentiles(one: &Distribution, hops: u32) -> DelayPercentiles {
    let sum = one.of_hops(hops);
    DelayPercentiles {
        hops,
        p50_nanoseconds: sum.percentile(P50),
        p99_nanoseconds: sum.percentile(P99),
        p999_nanoseconds: sum.percentile(P999),
    }
}

/// How many hops, up to `most`, have their 99th percentile within a limit.
///
/// # Errors
/// Where no delay was counted.
pub fn max_hops_within(
    buckets: &[DelayBucket],
    limit_nanoseconds: u64,
    most: u32,
) -> Result<u32, DelayError> {
    let mut grid = Grid { bin_nanoseconds: FINEST_BIN_NANOSECONDS, bins: GRID_BINS };
    while grid.bin_of(limit_nanoseconds).is_none() {
        grid = grid.with_bins_twice_as_wide();
    }
    let one = Distribution::from_histogram(buckets, grid)?;
    let is_within = |sum: &Distribution| sum.percentile(P99).is_some_and(|delay| delay <= limit_nanoseconds);
    let mut sum = one.clone();
    let mut hops = 0;
    while hops < most && is_within(&sum) {
        hops += 1;
        sum = sum.followed_by(&one);
    }
    Ok(hops)
}
