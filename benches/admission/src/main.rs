//! Compares this rate limiter with `governor`, in turns in one run: nanoseconds per decision, and bytes per
//! address.

use std::alloc::System;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::num::NonZeroU32;
use std::time::{Duration, Instant};

use fawnrouter_admission::{AddressRateLimiter, Rate};
use governor::{Quota, RateLimiter};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static COUNTING: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The bytes that are allocated in a region and not yet freed.
fn allocated_bytes(region: &Region<'_, System>) -> f64 {
    let change = region.change();
    change.bytes_allocated as f64 - change.bytes_deallocated as f64
}

const ROUNDS: usize = 7;

fn median(mut times: Vec<f64>) -> f64 {
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

fn main() {
    for count in [10_000u32, 1_000_000] {
        // A fixed permutation, so that the addresses are not in order.
        let addresses: Vec<IpAddr> =
            (0..count).map(|n| IpAddr::V4(Ipv4Addr::from(n.wrapping_mul(2_654_435_761)))).collect();
        // The interval is so long that no address is removed during the measurement.
        let rate = Rate { interval: Duration::from_secs(600), burst: 1000 };
        let region = Region::new(COUNTING);
        let mut own_limiter = AddressRateLimiter::new(rate, count as usize, 7);
        let begin = Instant::now();
        let clock = || Duration::from_secs(1) + begin.elapsed();
        addresses.iter().for_each(|a| assert!(own_limiter.arrive(clock(), *a).is_ok()));
        let own_bytes = allocated_bytes(&region) / f64::from(count);
        let region = Region::new(COUNTING);
        let quota = Quota::with_period(Duration::from_secs(600)).expect("a period");
        let governor_limiter = RateLimiter::keyed(quota.allow_burst(NonZeroU32::new(1000).expect("a burst")));
        addresses.iter().for_each(|a| assert!(governor_limiter.check_key(a).is_ok()));
        let governor_bytes = allocated_bytes(&region) / f64::from(count);
        let (mut own_times, mut governor_times) = (Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            let start = Instant::now();
            addresses.iter().for_each(|a| drop(black_box(own_limiter.arrive(clock(), *a))));
            own_times.push(start.elapsed().as_nanos() as f64 / f64::from(count));
            let start = Instant::now();
            addresses.iter().for_each(|a| drop(black_box(governor_limiter.check_key(a))));
            governor_times.push(start.elapsed().as_nanos() as f64 / f64::from(count));
        }
        let (own_ns, governor_ns) = (median(own_times), median(governor_times));
        println!("{count} addresses");
        println!("  fawnrouter-admission {own_ns:>7.0} ns {own_bytes:>6.0} bytes an address");
        let ratio = governor_ns / own_ns;
        println!(
            "  governor, keyed      {governor_ns:>7.0} ns {governor_bytes:>6.0} bytes an address   {ratio:.2}"
        );
    }
}
