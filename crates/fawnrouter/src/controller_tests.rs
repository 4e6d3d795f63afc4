//! The throttle's formulas and the occupancy readings, checked against values computed by hand.
use super::*;

fn nearly_equal(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-9
}

fn admitted(f: f64, requests: usize) -> Vec<bool> {
    let mut throttle = Throttle::new();
    throttle.f = f;
    (0..requests).map(|_| throttle.admit()).collect()
}

fn run_ticks(throttle: &mut Throttle, count: usize, passed: u32, reading: Option<f64>) {
    for _ in 0..count {
        throttle.passed += passed;
        throttle.assess(reading, F_MIN_HIGH, 1.0);
    }
}

#[test]
fn accumulator_admits_a_set_up_when_it_reaches_one() {
    assert_eq!(admitted(1.0, 3), [true; 3]);
    assert_eq!(admitted(0.25, 8), [false, false, false, true, false, false, false, true]);
    assert_eq!(admitted(0.75, 4), [false, true, true, true]);
    assert_eq!(admitted(0.0, 50), [false; 50]);
}

#[test]
fn occupancy_above_target_reduces_f_by_the_ratio_down_to_f_min() {
    let mut throttle = Throttle::new();
    run_ticks(&mut throttle, 1, 0, Some(1.0));
    assert!(nearly_equal(throttle.f, 0.8));
    run_ticks(&mut throttle, 1, 0, Some(1.0));
    assert!(nearly_equal(throttle.f, 0.64));
    run_ticks(&mut throttle, 40, 0, Some(1.0));
    assert!(nearly_equal(throttle.f, F_MIN_HIGH));
}

#[test]
fn assessments_average_the_last_k_readings() {
    let mut throttle = Throttle::new();
    run_ticks(&mut throttle, 1, 0, Some(1.0));
    run_ticks(&mut throttle, 1, 0, Some(0.6));
    assert!(nearly_equal(throttle.occupancy().unwrap(), 0.8));
    assert!(nearly_equal(throttle.f, 0.8), "a mean at the target leaves f unchanged");
    run_ticks(&mut throttle, 1, 0, None);
    assert!(nearly_equal(throttle.occupancy().unwrap(), 0.8), "a tick without a reading does not count");
    run_ticks(&mut throttle, SHORT_MEAN_TICKS, 0, Some(0.5));
    assert!(nearly_equal(throttle.occupancy().unwrap(), 0.5), "older readings are gone");
}

#[test]
fn f_grows_by_at_most_phi_max_also_without_readings() {
    let mut throttle = Throttle::new();
    throttle.f = 0.4;
    run_ticks(&mut throttle, 1, 0, Some(0.1));
    assert!(nearly_equal(throttle.f, 0.5));
    let mut idle = Throttle::new();
    idle.f = F_MIN_HIGH;
    run_ticks(&mut idle, 14, 0, None);
    assert!(nearly_equal(idle.f, F_MIN_HIGH), "no set-up was requested: f stays");
    for _ in 0..14 {
        idle.admit();
        idle.assess(None, F_MIN_HIGH, 1.0);
    }
    assert!(
        nearly_equal(idle.f, 1.0),
        "0.05 x 1.25^14 is over 1: no server is locked out for lack of samples"
    );
    let mut rare = Throttle::new();
    rare.f = 0.5;
    rare.admit();
    rare.assess(None, F_MIN_LOW, MIN_GROWTH_EXPONENT);
    assert!(nearly_equal(rare.f, 0.5 * PHI_MAX.powf(MIN_GROWTH_EXPONENT)), "few own set-ups: f grows slowly");
}

#[test]
fn acceptance_rate_sets_f_to_the_learned_target_at_once() {
    let mut throttle = Throttle::new();
    throttle.mu_max = Some(10.0);
    // 4 in 200 ms are 20/s; the target is 0.8 x 10/s; fA = 8/20, fO = 0.8/0.9.
    run_ticks(&mut throttle, 1, 4, Some(0.9));
    assert!(nearly_equal(throttle.f, 0.4));
}

#[test]
fn acceptance_rate_does_not_limit_f_without_a_reading_above_target_or_without_set_ups() {
    let mut throttle = Throttle::new();
    throttle.mu_max = Some(10.0);
    run_ticks(&mut throttle, 1, 4, Some(0.5));
    assert!(nearly_equal(throttle.f, 1.0));
    let mut silent = Throttle::new();
    silent.mu_max = Some(10.0);
    run_ticks(&mut silent, 1, 0, Some(1.0));
    assert!(nearly_equal(silent.f, 0.8), "fA is 1 where nothing was accepted, so fO decides");
}

#[test]
fn largest_throughput_is_learned_slowly_and_only_under_load() {
    let mut throttle = Throttle::new();
    run_ticks(&mut throttle, 10, 1, Some(0.2));
    assert_eq!(throttle.mu_max, None);
    run_ticks(&mut throttle, 10, 1, Some(0.5));
    assert!(nearly_equal(throttle.mu_max.unwrap(), 10.0), "5/s at an occupancy of one half");
    run_ticks(&mut throttle, 10, 2, Some(0.5));
    assert!(
        nearly_equal(throttle.mu_max.unwrap(), 10.0 + MU_MAX_WEIGHT * 10.0),
        "then 20/s, with a small weight"
    );
}

const OVERTAKE_AFTER: Duration = Duration::from_millis(100);

fn server() -> Server {
    let entry = ServerEntry {
        id: ServerId(1),
        zone: "z".into(),
        cell: Cell(0),
        state: ServerState::Ready,
        up_since: None,
    };
    Server::new(entry, Time::from_nanos(1_000_000_000), 1.0, OVERTAKE_AFTER)
}

fn last_reading(s: &Server) -> Option<f64> {
    s.throttle.occupancy_readings.back().copied().flatten()
}

#[test]
fn occupancy_from_delays_is_one_minus_smallest_over_mean() {
    let (mut s, now) = (server(), Time::from_nanos(2_000_000_000));
    s.record_delay(0.05);
    s.record_delay(0.15);
    let min_delay = s.min_delay;
    s.end_tick(now, min_delay, 10.0, F_MIN_HIGH);
    assert!(nearly_equal(last_reading(&s).unwrap(), 0.5));
}

#[test]
fn full_processor_reads_as_one_and_reported_utilisation_as_itself() {
    let (mut s, now) = (server(), Time::from_nanos(2_000_000_000));
    s.reported_utilisation = Some(0.42);
    s.record_delay(0.05);
    s.end_tick(now, Some(0.05), 10.0, F_MIN_HIGH);
    assert!(nearly_equal(last_reading(&s).unwrap(), 0.42));
    s.full_this_tick = true;
    s.reported_utilisation = Some(0.42);
    s.end_tick(now, Some(0.05), 10.0, F_MIN_HIGH);
    assert!(nearly_equal(last_reading(&s).unwrap(), 1.0));
}

#[test]
fn age_of_an_unanswered_set_up_counts_as_a_delay() {
    let (mut s, sent) = (server(), Time::from_nanos(2_000_000_000));
    s.unanswered.insert((sent, CallId(1)));
    s.end_tick(sent.plus(Duration::from_millis(60)), Some(0.05), 10.0, F_MIN_HIGH);
    assert_eq!(last_reading(&s), None, "too young to count");
    s.end_tick(sent.plus(Duration::from_millis(500)), Some(0.05), 10.0, F_MIN_HIGH);
    assert!(nearly_equal(last_reading(&s).unwrap(), 0.9));
}

#[test]
fn overtaken_set_up_is_no_longer_in_the_queue() {
    let (mut s, sent) = (server(), Time::from_nanos(2_000_000_000));
    s.unanswered.insert((sent, CallId(1)));
    s.latest_answered_send = sent.plus(OVERTAKE_AFTER);
    assert_eq!(s.in_queue().count(), 1, "at the boundary its answer may still come");
    s.latest_answered_send = sent.plus(OVERTAKE_AFTER + Duration::from_nanos(1));
    assert_eq!(s.in_queue().count(), 0);
}

#[test]
fn replaced_servers_are_forgotten_and_listed_ones_stay() {
    let ms = Duration::from_millis;
    let class = ClassSettings {
        name: "a class".into(),
        aim: ms(2000),
        deadline: ms(9000),
        points: 1.0,
        late_share: 0.25,
        effect: Effect::Safe,
        pools: None,
    };
    let rules = Rules {
        drain_grace: ms(500),
        cold_from: 0.3,
        cold_time: ms(14_000),
        fall_multiple: 2.0,
        fall_time: ms(1000),
        release_guard: ms(300),
        subscribe_within: ms(10_000),
    };
    let limits = Limits {
        max_attempts: 3,
        cancel: true,
        peers: false,
        probes: false,
        retry_after: true,
        max_retry_after: ms(2000),
    };
    let settings = Settings {
        gateways: 1,
        own_id: PeerId(0),
        classes: vec![class],
        tenants: vec![],
        over_share_worth: 0.2,
        rules,
        limits,
        topology: Topology::Pools,
        discovery: Discovery::Push,
        resend: None,
        tick: ms(5),
    };
    let keep = settings.rules.cold_time;
    let mut controller = Controller::new(settings, 1).unwrap();
    let (mut now, mut actions) = (Time::from_nanos(1_000_000_000), Vec::new());
    // A hundred replacements, four seconds apart.
    for n in 0..100 {
        let state = ServerState::Ready;
        let entry = |id| ServerEntry { id: ServerId(id), state, ..ServerEntry::default() };
        let entries = vec![entry(0), entry(1 + n)];
        controller.handle(now, Event::List { kind: ListKind::Snapshot, entries }, &mut actions);
        for _ in 0..20 {
            now = now.plus(ASSESSMENT_INTERVAL);
            controller.handle(now, Event::Timer(SCAN_TIMER), &mut actions);
        }
    }
    let replaced_lately = keep.as_secs_f64() / (20.0 * ASSESSMENT_INTERVAL.as_secs_f64());
    assert!(controller.servers.len() <= 2 + replaced_lately.ceil() as usize, "{}", controller.servers.len());
    assert!(controller.servers.contains_key(&ServerId(0)) && controller.servers.contains_key(&ServerId(100)));
}
