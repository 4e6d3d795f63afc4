//! Delay of several hops, computed by convolution from the measured delay of one.
//!
//! A percentile of a sum is not the sum of percentiles: of 28 hops a few are slow, hardly ever all. So the
//! whole distribution of one hop is put on a grid and convolved with itself. Hops are assumed to be
//! independent of each other.

use std::num::NonZeroU64;

use crate::figures::DelayBucket;

/// Number of bins of the grid. Delays beyond it are counted without a bin, as adding hops only makes them
/// longer.
pub const GRID_BINS: usize = 4_096;
/// Width of a bin in nanoseconds, unless the delays do not fit into the grid.
pub const FINEST_BIN_NANOSECONDS: NonZeroU64 = NonZeroU64::new(1_000).unwrap();
/// Greatest width of a bin in nanoseconds; the grid then ends at 537 s.
pub const COARSEST_BIN_NANOSECONDS: NonZeroU64 = NonZeroU64::new(131_072_000).unwrap();
/// Share of the delays up to the median.
pub const P50: f64 = 0.5;
/// Share of the delays up to the 99th percentile.
pub const P99: f64 = 0.99;
/// Share of the delays up to the 99.9th percentile.
pub const P999: f64 = 0.999;
/// Shares that differ by less are equal: rounding errors can add up to this over a grid.
const ROUNDING_ERROR: f64 = 1e-9;
/// Share of a bin that counts as 0: all pairs of such bins add up to less than [`ROUNDING_ERROR`].
const NEGLIGIBLE_SHARE: f64 = 1e-18;
const TWO: NonZeroU64 = NonZeroU64::new(2).unwrap();

/// Why there is no distribution of delays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum DelayError {
    /// No delay was counted.
    #[error("no delay of a hop was counted")]
    Empty,
}

/// Bins of equal width, from delay 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grid {
    /// Width of a bin in nanoseconds.
    pub bin_nanoseconds: NonZeroU64,
    /// Number of bins.
    pub bins: usize,
}

impl Grid {
    /// The bin nearest to a delay; `None` beyond the grid.
    fn nearest_bin(self, nanoseconds: u64) -> Option<usize> {
        let width = self.bin_nanoseconds.get();
        let nearest = nanoseconds.saturating_add(width / 2) / width;
        usize::try_from(nearest).ok().filter(|bin| *bin < self.bins)
    }

    fn with_bins_twice_as_wide(self) -> Self {
        Self { bin_nanoseconds: self.bin_nanoseconds.saturating_mul(TWO), ..self }
    }
}

/// Probability distribution of delays.
#[derive(Clone, Debug, PartialEq)]
pub struct Distribution {
    grid: Grid,
    /// Share of each bin, up to the last one with a share.
    shares: Vec<f64>,
}

impl Distribution {
    /// Distribution of one hop, from a measured histogram.
    ///
    /// # Errors
    /// Returns an error if no delay was counted.
    pub fn from_histogram(buckets: &[DelayBucket], grid: Grid) -> Result<Self, DelayError> {
        let total: f64 = buckets.iter().map(|bucket| bucket.count as f64).sum();
        if total == 0.0 {
            return Err(DelayError::Empty);
        }
        let mut shares = vec![0.0; grid.bins];
        for bucket in buckets {
            if let Some(bin) = grid.nearest_bin(bucket.nanoseconds) {
                shares[bin] += bucket.count as f64 / total;
            }
        }
        Ok(Self::trimmed(grid, shares))
    }

    /// Distribution of the sum of this many hops, by repeated doubling.
    #[must_use]
    pub fn of_hops(&self, hops: u32) -> Self {
        let mut sum = Self { grid: self.grid, shares: vec![1.0] };
        let mut doubled = self.clone();
        let mut remaining = hops;
        while remaining > 0 {
            if remaining % 2 == 1 {
                sum = sum.convolve(&doubled);
            }
            remaining /= 2;
            if remaining > 0 {
                doubled = doubled.convolve(&doubled);
            }
        }
        sum
    }

    /// Distribution of the sum of two independent delays. Both distributions must have the same grid.
    fn convolve(&self, other: &Self) -> Self {
        let mut sums = vec![0.0; self.grid.bins];
        for (bin, share) in self.shares.iter().enumerate() {
            if *share <= NEGLIGIBLE_SHARE {
                continue;
            }
            for (sum, other_share) in sums[bin..].iter_mut().zip(&other.shares) {
                *sum += share * other_share;
            }
        }
        Self::trimmed(self.grid, sums)
    }

    /// The smallest delay in nanoseconds within which this share of the delays lies; `None` if it is beyond
    /// the grid.
    #[must_use]
    pub fn percentile(&self, share: f64) -> Option<u64> {
        let mut cumulative = 0.0;
        for (bin, share_of_bin) in self.shares.iter().enumerate() {
            cumulative += share_of_bin;
            if cumulative >= share - ROUNDING_ERROR {
                return Some(bin as u64 * self.grid.bin_nanoseconds.get());
            }
        }
        None
    }

    /// Whether the grid holds the highest percentile of this many hops. Checks one hop first, which is
    /// cheaper.
    fn holds_hops(&self, hops: u32) -> bool {
        self.percentile(P999).is_some() && self.of_hops(hops).percentile(P999).is_some()
    }

    fn trimmed(grid: Grid, mut shares: Vec<f64>) -> Self {
        let used = shares.iter().rposition(|share| *share > NEGLIGIBLE_SHARE).map_or(0, |last| last + 1);
        shares.truncate(used);
        Self { grid, shares }
    }
}

/// Percentiles of the delay of several hops, in nanoseconds; `None` if one is beyond the widest grid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DelayPercentiles {
    /// Number of hops.
    pub hops: u32,
    /// The delay that half of the calls do not exceed.
    pub p50_nanoseconds: Option<u64>,
    /// The delay that 99 of 100 calls do not exceed.
    pub p99_nanoseconds: Option<u64>,
    /// The delay that 999 of 1,000 calls do not exceed.
    pub p999_nanoseconds: Option<u64>,
}

/// Delays of several numbers of hops on one grid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DelaysByDepth {
    /// The common grid.
    pub grid: Grid,
    /// One entry for each requested number of hops.
    pub delays: Vec<DelayPercentiles>,
}

/// Delays of these numbers of hops, on the finest grid that holds the percentiles of the greatest.
///
/// # Errors
/// Returns an error if no delay was counted.
pub fn delays_by_depth(buckets: &[DelayBucket], hops: &[u32]) -> Result<DelaysByDepth, DelayError> {
    let deepest = hops.iter().copied().max().unwrap_or(0);
    let mut grid = Grid { bin_nanoseconds: FINEST_BIN_NANOSECONDS, bins: GRID_BINS };
    let mut one_hop = Distribution::from_histogram(buckets, grid)?;
    while !one_hop.holds_hops(deepest) && grid.bin_nanoseconds < COARSEST_BIN_NANOSECONDS {
        grid = grid.with_bins_twice_as_wide();
        one_hop = Distribution::from_histogram(buckets, grid)?;
    }
    let delays = hops.iter().map(|hops| percentiles(&one_hop, *hops)).collect();
    Ok(DelaysByDepth { grid, delays })
}

fn percentiles(one_hop: &Distribution, hops: u32) -> DelayPercentiles {
    let sum = one_hop.of_hops(hops);
    DelayPercentiles {
        hops,
        p50_nanoseconds: sum.percentile(P50),
        p99_nanoseconds: sum.percentile(P99),
        p999_nanoseconds: sum.percentile(P999),
    }
}

/// The greatest number of hops, up to `max_hops`, whose 99th percentile is within a limit.
///
/// # Errors
/// Returns an error if no delay was counted.
pub fn max_hops_within(
    buckets: &[DelayBucket],
    limit_nanoseconds: u64,
    max_hops: u32,
) -> Result<u32, DelayError> {
    let mut grid = Grid { bin_nanoseconds: FINEST_BIN_NANOSECONDS, bins: GRID_BINS };
    while grid.nearest_bin(limit_nanoseconds).is_none() {
        grid = grid.with_bins_twice_as_wide();
    }
    let one_hop = Distribution::from_histogram(buckets, grid)?;
    let is_within = |sum: &Distribution| sum.percentile(P99).is_some_and(|delay| delay <= limit_nanoseconds);
    let mut sum = one_hop.clone();
    let mut hops = 0;
    while hops < max_hops && is_within(&sum) {
        hops += 1;
        sum = sum.convolve(&one_hop);
    }
    Ok(hops)
}
