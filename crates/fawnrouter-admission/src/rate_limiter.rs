//! Rate limits by address: the generic cell rate algorithm (ITU-T I.371 annex A, virtual scheduling) in
//! bounded memory.
//!
//! Each address has a theoretical arrival time (TAT). An arrival earlier than the TAT minus the burst
//! tolerance exceeds the rate. The exact table holds a fixed number of addresses. When it is full, the entry
//! with the earliest TAT moves to a sketch: two rows of slots, in each of which an address shares a slot with
//! others. An address that is not in the table starts from the lesser of its two slots. So an abusive address
//! that millions of others have displaced is still limited, while a new address is delayed only if both of
//! its slots hold a later TAT.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::net::IpAddr;
use std::time::Duration;

use siphasher::sip::SipHasher13;

/// A rate with its burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// The time between two arrivals at the rate: its inverse.
    pub interval: Duration,
    /// Arrivals that may come at once.
    pub burst: u32,
}

impl Rate {
    /// A rate of `per_s` arrivals a second.
    #[must_use]
    pub fn per_second(per_s: f64, burst: u32) -> Self {
        let interval = Duration::try_from_secs_f64(1.0 / per_s.max(1e-9)).unwrap_or(Duration::MAX);
        Self { interval, burst: burst.max(1) }
    }

    fn burst_tolerance(&self) -> Duration {
        self.interval.saturating_mul(self.burst.saturating_sub(1))
    }
}

/// The state of one rate limit: its theoretical arrival time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gcra {
    theoretical_arrival: Duration,
}

impl Gcra {
    /// Checks an arrival without counting it.
    ///
    /// # Errors
    /// As [`Gcra::arrive`].
    pub fn check(&self, now: Duration, rate: &Rate) -> Result<(), Duration> {
        let tolerance = rate.burst_tolerance();
        if self.theoretical_arrival > now + tolerance {
            Err(self.theoretical_arrival - now - tolerance)
        } else {
            Ok(())
        }
    }

    /// Counts arrivals that have already been accepted. Returns how long to accept no more.
    pub fn charge(&mut self, now: Duration, rate: &Rate, count: u32) -> Duration {
        let cost = rate.interval.saturating_mul(count);
        self.theoretical_arrival = self.theoretical_arrival.max(now).saturating_add(cost);
        self.theoretical_arrival.saturating_sub(now.saturating_add(rate.burst_tolerance()))
    }

    /// Checks an arrival and counts it if it conforms. A refused arrival is not counted.
    ///
    /// # Errors
    /// The time until an arrival would conform.
    pub fn arrive(&mut self, now: Duration, rate: &Rate) -> Result<(), Duration> {
        self.check(now, rate)?;
        self.theoretical_arrival = self.theoretical_arrival.max(now).saturating_add(rate.interval);
        Ok(())
    }
}

/// Rows of the sketch.
const SKETCH_ROWS: usize = 2;

/// One rate limit for each address.
#[derive(Debug)]
pub struct AddressRateLimiter {
    rate: Rate,
    capacity: usize,
    /// Theoretical arrival times by address.
    exact: BTreeMap<IpAddr, Duration>,
    /// The same entries ordered by theoretical arrival time, earliest first.
    by_time: BTreeSet<(Duration, IpAddr)>,
    sketch: [Vec<Duration>; SKETCH_ROWS],
    hash_keys: (u64, u64),
    now: Duration,
}

impl AddressRateLimiter {
    /// A limiter that tracks `capacity` addresses exactly. `seed` keys the hash of the sketch, so that nobody
    /// can choose addresses that share a slot.
    #[must_use]
    pub fn new(rate: Rate, capacity: usize, seed: u64) -> Self {
        let capacity = capacity.max(1);
        let slots = (capacity * 2).next_power_of_two();
        Self {
            rate,
            capacity,
            exact: BTreeMap::new(),
            by_time: BTreeSet::new(),
            sketch: std::array::from_fn(|_| vec![Duration::ZERO; slots]),
            hash_keys: (seed, seed.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15),
            now: Duration::ZERO,
        }
    }

    fn slot(&self, row: usize, address: IpAddr) -> usize {
        let mut hash = SipHasher13::new_with_keys(self.hash_keys.0 ^ row as u64, self.hash_keys.1);
        match address {
            IpAddr::V4(a) => hash.write(&a.octets()),
            IpAddr::V6(a) => hash.write(&a.octets()),
        }
        (hash.finish() as usize) & (self.sketch[row].len() - 1)
    }

    /// Checks an arrival and counts it if it conforms. A refused arrival is not counted.
    ///
    /// # Errors
    /// How long the address should wait.
    pub fn arrive(&mut self, now: Duration, address: IpAddr) -> Result<(), Duration> {
        // A clock that steps back is treated as standing still, which neither resets nor extends a limit.
        self.now = self.now.max(now);
        let theoretical_arrival = match self.exact.get(&address) {
            Some(time) => *time,
            None => self.sketch_estimate(address),
        };
        let mut gcra = Gcra { theoretical_arrival };
        gcra.arrive(self.now, &self.rate)?;
        self.store(address, gcra.theoretical_arrival);
        Ok(())
    }

    fn sketch_estimate(&self, address: IpAddr) -> Duration {
        let slots = (0..SKETCH_ROWS).map(|row| self.sketch[row][self.slot(row, address)]);
        slots.min().unwrap_or_default()
    }

    fn store(&mut self, address: IpAddr, time: Duration) {
        if let Some(old) = self.exact.insert(address, time) {
            self.by_time.remove(&(old, address));
        }
        self.by_time.insert((time, address));
        // A theoretical arrival time in the past is the same as none.
        while let Some((time, address)) = self.by_time.first().copied().filter(|(time, _)| *time <= self.now)
        {
            self.by_time.remove(&(time, address));
            self.exact.remove(&address);
        }
        while self.exact.len() > self.capacity {
            let Some((time, address)) = self.by_time.pop_first() else { break };
            self.exact.remove(&address);
            for row in 0..SKETCH_ROWS {
                let slot = self.slot(row, address);
                self.sketch[row][slot] = self.sketch[row][slot].max(time);
            }
        }
    }

    /// The number of addresses that are tracked exactly at present.
    #[must_use]
    pub fn tracked_addresses(&self) -> usize {
        self.exact.len()
    }

    /// Removes the exact entry of an address. Its sketch slots are shared with others and stay.
    pub fn reset(&mut self, address: IpAddr) {
        if let Some(time) = self.exact.remove(&address) {
            self.by_time.remove(&(time, address));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::Ipv4Addr;

    const fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn address(n: u32) -> IpAddr {
        IpAddr::V4(Ipv4Addr::from(n))
    }

    fn new_limiter(capacity: usize) -> AddressRateLimiter {
        AddressRateLimiter::new(Rate::per_second(10.0, 5), capacity, 3)
    }

    #[test]
    fn a_burst_passes_and_then_arrivals_are_limited_to_the_rate() {
        let mut limiter = new_limiter(10);
        let passed = (0..20).filter(|_| limiter.arrive(ms(1000), address(1)).is_ok()).count();
        assert_eq!(passed, 5);
        assert_eq!(limiter.arrive(ms(1000), address(1)), Err(ms(100)));
        assert_eq!(limiter.arrive(ms(1100), address(1)), Ok(()));
        assert!(limiter.arrive(ms(1100), address(1)).is_err());
        let passed = (0..1000).filter(|n| limiter.arrive(ms(2000 + n), address(1)).is_ok()).count();
        assert!((13..=15).contains(&passed), "{passed}");
    }

    #[test]
    fn refused_arrivals_are_not_counted() {
        let mut limiter = new_limiter(10);
        (0..5).for_each(|_| assert!(limiter.arrive(ms(0), address(1)).is_ok()));
        (0..10_000).for_each(|_| assert!(limiter.arrive(ms(50), address(1)).is_err()));
        assert!(limiter.arrive(ms(100), address(1)).is_ok());
    }

    #[test]
    fn an_address_displaced_by_a_hundred_thousand_others_is_still_limited() {
        let mut limiter = new_limiter(1000);
        // One address uses its whole burst. Then others, each with a later theoretical arrival time, displace
        // it.
        (0..5).for_each(|_| assert!(limiter.arrive(ms(0), address(1)).is_ok()));
        for n in 0..100_000u32 {
            let _ = limiter.arrive(ms(10), address(100 + n));
            let _ = limiter.arrive(ms(10), address(100 + n));
            let _ = limiter.arrive(ms(10), address(100 + n));
            let _ = limiter.arrive(ms(10), address(100 + n));
            let _ = limiter.arrive(ms(10), address(100 + n));
            let _ = limiter.arrive(ms(10), address(100 + n));
        }
        assert!(limiter.tracked_addresses() <= 1000);
        assert!(limiter.arrive(ms(20), address(1)).is_err(), "its rate must not be reset");
    }

    #[test]
    fn addresses_whose_rate_has_recovered_are_removed() {
        let mut limiter = new_limiter(1000);
        (0..900).for_each(|n| assert!(limiter.arrive(ms(0), address(n)).is_ok()));
        assert_eq!(limiter.tracked_addresses(), 900);
        assert!(limiter.arrive(ms(200), address(5000)).is_ok());
        assert_eq!(limiter.tracked_addresses(), 1);
    }

    #[test]
    fn a_clock_that_steps_back_does_not_reset_a_limit() {
        let mut limiter = new_limiter(10);
        (0..5).for_each(|_| assert!(limiter.arrive(ms(10_000), address(1)).is_ok()));
        assert!(limiter.arrive(ms(5), address(1)).is_err());
        assert!(limiter.arrive(ms(10_100), address(1)).is_ok());
    }
}
