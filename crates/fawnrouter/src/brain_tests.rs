//! The throttle's formulas, worked out by hand.
use super::*;

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-9
}

fn passes(f: f64, draws: usize) -> Vec<bool> {
    let mut throttle = Throttle::new();
    throttle.f = f;
    (0..draws).map(|_| throttle.draw()).collect()
}

fn ticks(throttle: &mut Throttle, count: usize, passed: u32, reading: Option<f64>) {
    for _ in 0..count {
        throttle.passed += passed;
        throttle.assess(reading, F_MIN.1, 1.0);
    }
}

#[test]
fn the_accumulator_passes_by_its_remainder() {
    assert_eq!(passes(1.0, 3), [true; 3]);
    assert_eq!(passes(0.25, 8), [false, false, false, true, false, false, false, true]);
    assert_eq!(passes(0.75, 4), [false, true, true, true]);
    assert_eq!(passes(0.0, 50), [false; 50]);
}

#[test]
fn occupancy_above_target_shrinks_f_by_the_ratio_down_to_the_floor() {
    let mut throttle = Throttle::new();
    ticks(&mut throttle, 1, 0, Some(1.0));
    assert!(close(throttle.f, 0.8));
    ticks(&mut throttle, 1, 0, Some(1.0));
    assert!(close(throttle.f, 0.64));
    ticks(&mut throttle, 40, 0, Some(1.0));
    assert!(close(throttle.f, F_MIN.1));
}

#[test]
fn assessments_average_the_last_k_readings() {
    let mut throttle = Throttle::new();
    ticks(&mut throttle, 1, 0, Some(1.0));
    ticks(&mut throttle, 1, 0, Some(0.6));
    assert!(close(throttle.occupancy().unwrap(), 0.8));
    assert!(close(throttle.f, 0.8), "a mean at the target leaves f alone");
    ticks(&mut throttle, 1, 0, None);
    assert!(close(throttle.occupancy().unwrap(), 0.8), "a tick without reading does not count");
    ticks(&mut throttle, K_SHORT, 0, Some(0.5));
    assert!(close(throttle.occupancy().unwrap(), 0.5), "older readings are gone");
}

#[test]
fn f_grows_by_phi_max_at_the_most_and_without_readings() {
    let mut throttle = Throttle::new();
    throttle.f = 0.4;
    ticks(&mut throttle, 1, 0, Some(0.1));
    assert!(close(throttle.f, 0.5));
    let mut idle = Throttle::new();
    idle.f = F_MIN.1;
    ticks(&mut idle, 14, 0, None);
    assert!(close(idle.f, F_MIN.1), "nobody asked: nothing is forgotten");
    for _ in 0..14 {
        idle.draw();
        idle.assess(None, F_MIN.1, 1.0);
    }
    assert!(close(idle.f, 1.0), "0.05 x 1.25^14 is over 1: no lock-out for want of samples");
    let mut rare = Throttle::new();
    rare.f = 0.5;
    rare.draw();
    rare.assess(None, F_MIN.0, UNREAD_LEAST);
    assert!(close(rare.f, 0.5 * PHI_MAX.powf(UNREAD_LEAST)), "few own samples: f comes back slowly");
}

#[test]
fn acceptance_rate_brings_f_to_the_learned_target_at_once() {
    let mut throttle = Throttle::new();
    throttle.mu_max = Some(10.0);
    // 4 in 200 ms are 20/s; the target is 0.8 x 10/s; fA = 8/20, fO = 0.8/0.9.
    ticks(&mut throttle, 1, 4, Some(0.9));
    assert!(close(throttle.f, 0.4));
}

#[test]
fn acceptance_rate_does_not_bind_without_a_pressed_reading_or_without_set_ups() {
    let mut throttle = Throttle::new();
    throttle.mu_max = Some(10.0);
    ticks(&mut throttle, 1, 4, Some(0.5));
    assert!(close(throttle.f, 1.0));
    let mut silent = Throttle::new();
    silent.mu_max = Some(10.0);
    ticks(&mut silent, 1, 0, Some(1.0));
    assert!(close(silent.f, 0.8), "fA is 1 where nothing was accepted; fO decides");
}

#[test]
fn the_largest_throughput_is_learned_slowly_and_only_under_load() {
    let mut throttle = Throttle::new();
    ticks(&mut throttle, 10, 1, Some(0.2));
    assert_eq!(throttle.mu_max, None);
    ticks(&mut throttle, 10, 1, Some(0.5));
    assert!(close(throttle.mu_max.unwrap(), 10.0), "5/s at half occupancy");
    ticks(&mut throttle, 10, 2, Some(0.5));
    assert!(close(throttle.mu_max.unwrap(), 10.0 + LEARN_WEIGHT * 10.0), "then 20/s, with a small weight");
}

const OVERTAKE: Duration = Duration::from_millis(100);

fn server() -> Server {
    let entry = ServerEntry {
        id: ServerId(1),
        zone: "z".into(),
        cell: Cell(0),
        state: ServerState::Ready,
        up_since: None,
    };
    Server::new(entry, Time::from_nanos(1_000_000_000), 1.0, OVERTAKE)
}

fn reading(s: &Server) -> Option<f64> {
    s.throttle.readings.back().copied().flatten()
}

#[test]
fn delays_read_as_one_less_smallest_by_mean() {
    let (mut s, now) = (server(), Time::from_nanos(2_000_000_000));
    s.note_delay(0.05);
    s.note_delay(0.15);
    let floor = s.floor;
    s.tick(now, floor, 10.0, F_MIN.1);
    assert!(close(reading(&s).unwrap(), 0.5));
}

#[test]
fn a_full_processor_reads_as_one_and_a_reported_utilisation_as_itself() {
    let (mut s, now) = (server(), Time::from_nanos(2_000_000_000));
    s.utilisation = Some(0.42);
    s.note_delay(0.05);
    s.tick(now, Some(0.05), 10.0, F_MIN.1);
    assert!(close(reading(&s).unwrap(), 0.42));
    s.tick_full = true;
    s.utilisation = Some(0.42);
    s.tick(now, Some(0.05), 10.0, F_MIN.1);
    assert!(close(reading(&s).unwrap(), 1.0));
}

#[test]
fn an_unanswered_set_up_counts_by_its_age() {
    let (mut s, sent) = (server(), Time::from_nanos(2_000_000_000));
    s.waiting.insert((sent, CallId(1)));
    s.tick(sent.plus(Duration::from_millis(60)), Some(0.05), 10.0, F_MIN.1);
    assert_eq!(reading(&s), None, "too young to tell anything");
    s.tick(sent.plus(Duration::from_millis(500)), Some(0.05), 10.0, F_MIN.1);
    assert!(close(reading(&s).unwrap(), 0.9));
}

#[test]
fn an_overtaken_set_up_is_out_of_the_line() {
    let (mut s, sent) = (server(), Time::from_nanos(2_000_000_000));
    s.waiting.insert((sent, CallId(1)));
    s.answered_up_to = sent.plus(OVERTAKE);
    assert_eq!(s.in_line().count(), 1, "at the boundary it may still come");
    s.answered_up_to = sent.plus(OVERTAKE + Duration::from_nanos(1));
    assert_eq!(s.in_line().count(), 0);
}

#[test]
fn a_hundred_replacements_leave_no_servers_behind_and_the_listed_stay() {
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
    let (mut now, mut out) = (Time::from_nanos(1_000_000_000), Vec::new());
    for n in 0..100 {
        let state = ServerState::Ready;
        let entry = |id| ServerEntry { id: ServerId(id), state, ..ServerEntry::default() };
        let entries = vec![entry(0), entry(1 + n)];
        controller.handle(now, Event::List { kind: ListKind::Snapshot, entries }, &mut out);
        for _ in 0..20 {
            now = now.plus(TICK);
            controller.handle(now, Event::Timer(TICK_TIMER), &mut out);
        }
    }
    let recent = keep.as_secs_f64() / (20.0 * TICK.as_secs_f64());
    assert!(controller.servers.len() <= 2 + recent.ceil() as usize, "{}", controller.servers.len());
    assert!(controller.servers.contains_key(&ServerId(0)) && controller.servers.contains_key(&ServerId(100)));
}
