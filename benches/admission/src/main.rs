//! One decision of the rate limiter at many addresses, in turns in one run: nanoseconds, and bytes an address.

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::num::NonZeroU32;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use fawnrouter_admission::{Limiter, Rate};
use governor::{Quota, RateLimiter};

/// Counts what is allocated.
struct Counting;

static HELD: AtomicUsize = AtomicUsize::new(0);

// The benchmark alone counts bytes; the product holds no unsafe code.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

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
        let rate = Rate { every: Duration::from_secs(600), burst: 1000 };
        let before = HELD.load(Ordering::Relaxed);
        let mut ours = Limiter::new(rate, count as usize, 7);
        let begin = Instant::now();
        let clock = || Duration::from_secs(1) + begin.elapsed();
        addresses.iter().for_each(|a| assert!(ours.arrive(clock(), *a).is_ok()));
        let our_bytes = (HELD.load(Ordering::Relaxed) - before) as f64 / f64::from(count);
        let before = HELD.load(Ordering::Relaxed);
        let quota = Quota::with_period(Duration::from_secs(600)).expect("a period");
        let theirs = RateLimiter::keyed(quota.allow_burst(NonZeroU32::new(1000).expect("a burst")));
        addresses.iter().for_each(|a| assert!(theirs.check_key(a).is_ok()));
        let their_bytes = (HELD.load(Ordering::Relaxed) - before) as f64 / f64::from(count);
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
