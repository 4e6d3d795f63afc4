//! One decision of the rate limiter at many addresses, in turns in one run: nanoseconds, and bytes an address.

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

/// Bytes that a region holds now.
fn held(region: &Region<'_, System>) -> f64 {
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
        // A fixed scramble, so that addresses come in no order.
        let addresses: Vec<IpAddr> =
            (0..count).map(|n| IpAddr::V4(Ipv4Addr::from(n.wrapping_mul(2_654_435_761)))).collect();
        // An interval so long that nobody is forgotten while it is measured.
        let rate = Rate { interval: Duration::from_secs(600), burst: 1000 };
        let region = Region::new(COUNTING);
        let mut ours = AddressRateLimiter::new(rate, count as usize, 7);
        let begin = Instant::now();
        let clock = || Duration::from_secs(1) + begin.elapsed();
        addresses.iter().for_each(|a| assert!(ours.arrive(clock(), *a).is_ok()));
        let our_bytes = held(&region) / f64::from(count);
        let region = Region::new(COUNTING);
        let quota = Quota::with_period(Duration::from_secs(600)).expect("a period");
        let theirs = RateLimiter::keyed(quota.allow_burst(NonZeroU32::new(1000).expect("a burst")));
        addresses.iter().for_each(|a| assert!(theirs.check_key(a).is_ok()));
        let their_bytes = held(&region) / f64::from(count);
        let (mut our_times, mut their_times) = (Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            let start = Instant::now();
            addresses.iter().for_each(|a| drop(black_box(ours.arrive(clock(), *a))));
            our_times.push(start.elapsed().as_nanos() as f64 / f64::from(count));
            let start = Instant::now();
            addresses.iter().for_each(|a| drop(black_box(theirs.check_key(a))));
            their_times.push(start.elapsed().as_nanos() as f64 / f64::from(count));
        }
        let (our_ns, their_ns) = (median(our_times), median(their_times));
        println!("{count} addresses");
        println!("  fawnrouter-admission {our_ns:>7.0} ns {our_bytes:>6.0} bytes an address");
        println!("  governor, keyed      {their_ns:>7.0} ns {their_bytes:>6.0} bytes an address   {:.2}", their_ns / our_ns);
    }
}
