//! Rates by address: the generic cell rate algorithm (ITU-T I.371 annex A, virtual scheduling) in bounded memory.
//!
//! Each address has a theoretical arrival time; an arrival before it, less the burst's tolerance, is over the rate.
//! The table holds so many addresses exactly. When it is full the entry whose time lies furthest back is dropped, and
//! what it still owed goes into a sketch: two rows of times, in each of which an address shares a slot with others.
//! An address that is not in the table begins with the lesser of its two slots. So an abuser that is pushed out by
//! millions of others finds its debt again, while a newcomer is only hindered if both of its slots are in debt.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::net::IpAddr;
use std::time::Duration;

use siphasher::sip::SipHasher13;

/// A rate with its burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Time that one arrival costs: the inverse of the rate.
    pub interval: Duration,
    /// Arrivals that may come at once.
    pub burst: u32,
}

impl Rate {
    /// So many a second.
    #[must_use]
    pub fn per_second(per_s: f64, burst: u32) -> Self {
        let interval = Duration::try_from_secs_f64(1.0 / per_s.max(1e-9)).unwrap_or(Duration::MAX);
        Self { interval, burst: burst.max(1) }
    }

    fn tolerance(&self) -> Duration {
        self.interval.saturating_mul(self.burst.saturating_sub(1))
    }
}

/// The state of one who is kept to a rate: its theoretical arrival time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gcra {
    time: Duration,
}

impl Gcra {
    /// What an arrival would be told, without counting it.
    ///
    /// # Errors
    /// As [`Gcra::arrive`].
    pub fn check(&self, now: Duration, rate: &Rate) -> Result<(), Duration> {
        let tolerance = rate.tolerance();
        if self.time > now + tolerance { Err(self.time - now - tolerance) } else { Ok(()) }
    }

    /// Charges for what has come already: how long nothing more is to be taken.
    pub fn charge(&mut self, now: Duration, rate: &Rate, count: u32) -> Duration {
        self.time = self.time.max(now).saturating_add(rate.interval.saturating_mul(count));
        self.time.saturating_sub(now.saturating_add(rate.tolerance()))
    }

    /// Judges an arrival; a refused one costs nothing.
    ///
    /// # Errors
    /// How long to stay away.
    pub fn arrive(&mut self, now: Duration, rate: &Rate) -> Result<(), Duration> {
        self.check(now, rate)?;
        self.time = self.time.max(now).saturating_add(rate.interval);
        Ok(())
    }
}

/// Rows of the sketch.
const ROWS: usize = 2;

/// The limiter of all addresses.
#[derive(Debug)]
pub struct AddressRateLimiter {
    rate: Rate,
    capacity: usize,
    exact: BTreeMap<IpAddr, Duration>,
    /// The same entries by their times: the first one owes least.
    by_time: BTreeSet<(Duration, IpAddr)>,
    sketch: [Vec<Duration>; ROWS],
    keys: (u64, u64),
    now: Duration,
}

impl AddressRateLimiter {
    /// A limiter that holds `capacity` addresses exactly; `seed` keys the sketch, so that nobody can choose
    /// addresses that share a slot.
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
            keys: (seed, seed.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15),
            now: Duration::ZERO,
        }
    }

    fn slot(&self, row: usize, address: IpAddr) -> usize {
        let mut hash = SipHasher13::new_with_keys(self.keys.0 ^ row as u64, self.keys.1);
        match address {
            IpAddr::V4(a) => hash.write(&a.octets()),
            IpAddr::V6(a) => hash.write(&a.octets()),
        }
        (hash.finish() as usize) & (self.sketch[row].len() - 1)
    }

    /// Judges an arrival; a refused one costs nothing.
    ///
    /// # Errors
    /// How long the address should stay away.
    pub fn arrive(&mut self, now: Duration, address: IpAddr) -> Result<(), Duration> {
        // A clock that steps back counts as one that stands still: nobody is let off or punished for it.
        self.now = self.now.max(now);
        let owed = match self.exact.get(&address) {
            Some(time) => *time,
            None => (0..ROWS).map(|row| self.sketch[row][self.slot(row, address)]).min().unwrap_or_default(),
        };
        let mut owes = Gcra { time: owed };
        owes.arrive(self.now, &self.rate)?;
        self.store(address, owes.time);
        Ok(())
    }

    fn store(&mut self, address: IpAddr, time: Duration) {
        if let Some(old) = self.exact.insert(address, time) {
            self.by_time.remove(&(old, address));
        }
        self.by_time.insert((time, address));
        // Who owes nothing any more need not be remembered.
        while let Some((time, address)) = self.by_time.first().copied().filter(|(time, _)| *time <= self.now)
        {
            self.by_time.remove(&(time, address));
            self.exact.remove(&address);
        }
        while self.exact.len() > self.capacity {
            let Some((time, address)) = self.by_time.pop_first() else { break };
            self.exact.remove(&address);
            for row in 0..ROWS {
                let slot = self.slot(row, address);
                self.sketch[row][slot] = self.sketch[row][slot].max(time);
            }
        }
    }

    /// Addresses that are held exactly.
    #[must_use]
    pub fn tracked_addresses(&self) -> usize {
        self.exact.len()
    }

    /// Forgives an address all that it owes exactly; its slots are shared and stay.
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

    fn limiter(capacity: usize) -> AddressRateLimiter {
        AddressRateLimiter::new(Rate::per_second(10.0, 5), capacity, 3)
    }

    #[test]
    fn a_burst_passes_and_then_the_rate() {
        let mut l = limiter(10);
        let passed = (0..20).filter(|_| l.arrive(ms(1000), address(1)).is_ok()).count();
        assert_eq!(passed, 5);
        assert_eq!(l.arrive(ms(1000), address(1)), Err(ms(100)));
        assert_eq!(l.arrive(ms(1100), address(1)), Ok(()));
        assert!(l.arrive(ms(1100), address(1)).is_err());
        let passed = (0..1000).filter(|n| l.arrive(ms(2000 + n), address(1)).is_ok()).count();
        assert!((13..=15).contains(&passed), "{passed}");
    }

    #[test]
    fn refused_arrivals_do_not_push_the_time_out() {
        let mut l = limiter(10);
        (0..5).for_each(|_| assert!(l.arrive(ms(0), address(1)).is_ok()));
        (0..10_000).for_each(|_| assert!(l.arrive(ms(50), address(1)).is_err()));
        assert!(l.arrive(ms(100), address(1)).is_ok());
    }

    #[test]
    fn an_abuser_pushed_out_by_a_hundred_thousand_others_finds_its_debt_again() {
        let mut l = limiter(1000);
        // A burst as deep as it gets, then a flood of others that each owe more recently.
        (0..5).for_each(|_| assert!(l.arrive(ms(0), address(1)).is_ok()));
        for n in 0..100_000u32 {
            let _ = l.arrive(ms(10), address(100 + n));
            let _ = l.arrive(ms(10), address(100 + n));
            let _ = l.arrive(ms(10), address(100 + n));
            let _ = l.arrive(ms(10), address(100 + n));
            let _ = l.arrive(ms(10), address(100 + n));
            let _ = l.arrive(ms(10), address(100 + n));
        }
        assert!(l.tracked_addresses() <= 1000);
        assert!(l.arrive(ms(20), address(1)).is_err(), "it may not start afresh");
    }

    #[test]
    fn those_who_owe_nothing_are_forgotten() {
        let mut l = limiter(1000);
        (0..900).for_each(|n| assert!(l.arrive(ms(0), address(n)).is_ok()));
        assert_eq!(l.tracked_addresses(), 900);
        assert!(l.arrive(ms(200), address(5000)).is_ok());
        assert_eq!(l.tracked_addresses(), 1);
    }

    #[test]
    fn a_clock_that_steps_back_lets_nobody_off() {
        let mut l = limiter(10);
        (0..5).for_each(|_| assert!(l.arrive(ms(10_000), address(1)).is_ok()));
        assert!(l.arrive(ms(5), address(1)).is_err());
        assert!(l.arrive(ms(10_100), address(1)).is_ok());
    }
}
