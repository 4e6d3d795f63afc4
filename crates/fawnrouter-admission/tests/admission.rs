//! Floods of every kind against the decision alone, and any order of things.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use fawnrouter_admission::*;
use proptest::prelude::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn settings() -> AdmissionSettings {
    AdmissionSettings {
        total: 100,
        per_address: 10,
        per_prefix: 40,
        prefixes: PrefixLengths { v4: 24, v6: 64 },
        exceptions: vec![(IpAddr::V4(Ipv4Addr::new(10, 9, 0, 0)), 16, 60)],
        rate: Rate::per_second(20.0, 10),
        tracked_addresses: 1000,
        handshakes: 30,
        handshakes_per_address: 5,
        forwarders: vec![(IpAddr::V4(Ipv4Addr::new(192, 0, 2, 7)), 32)],
        probation_time: Duration::ZERO,
        idle_timeout: Duration::ZERO,
        slow_reader_timeout: Duration::ZERO,
        message_rates: (Rate::per_second(100.0, 50), Rate::per_second(1000.0, 500)),
        reserve: ReserveSettings { min: 20, max: 60, headroom: 0.25, half_life: ms(60_000) },
        per_client: 8,
        retry_after: ms(1000),
        seed: 5,
    }
}

fn ip(n: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(n))
}

struct Door {
    admission: Admission,
    now: Duration,
    next: u64,
}

impl Door {
    fn new(settings: AdmissionSettings) -> Self {
        Self { admission: Admission::new(settings).expect("sound settings"), now: ms(1000), next: 0 }
    }

    fn arrive(&mut self, address: IpAddr) -> (ConnectionId, ConnectionDecision) {
        self.next += 1;
        let conn = ConnectionId(self.next);
        (conn, self.admission.arrive(self.now, Arrival { conn, address }))
    }

    /// A stranger through its handshake.
    fn stranger(&mut self, address: IpAddr) -> Result<ConnectionId, RefusalReason> {
        let (conn, verdict) = self.arrive(address);
        reason(verdict)?;
        reason(self.admission.handshake_done(self.now, conn))?;
        Ok(conn)
    }

    fn known(&mut self, address: IpAddr, client: &str) -> Result<ConnectionId, RefusalReason> {
        let (conn, verdict) = self.arrive(address);
        reason(verdict)?;
        reason(self.admission.authenticated(self.now, conn, &Arc::from(client)))?;
        Ok(conn)
    }
}

fn reason(verdict: ConnectionDecision) -> Result<(), RefusalReason> {
    match verdict {
        ConnectionDecision::Accept | ConnectionDecision::Replace(_) | ConnectionDecision::Probation => Ok(()),
        ConnectionDecision::Refuse { reason, .. } => Err(reason),
    }
}

#[test]
fn a_flood_from_one_address_is_capped_and_known_clients_keep_connecting() {
    let mut door = Door::new(settings());
    let (mut let_in, mut known) = (0, 0);
    for n in 0..5000u32 {
        door.now += ms(1);
        let_in += u32::from(door.stranger(ip(0x0a00_0001)).is_ok());
        if n % 250 == 0 {
            known += u32::from(door.known(ip(0x0b00_0000 + n), &format!("branch{}", n / 1000)).is_ok());
        }
    }
    assert_eq!((let_in, known), (10, 20));
    let refused = door.admission.snapshot(3).refused;
    assert!(refused[&RefusalReason::Address] > 4900, "{refused:?}");
}

#[test]
fn a_flood_from_thousands_of_addresses_takes_what_strangers_may_have_and_no_more() {
    let mut door = Door::new(settings());
    for n in 0..30 {
        assert!(door.known(ip(0x0b00_0000 + n * 256), &format!("b{n}")).is_ok());
    }
    for n in 0..5000u32 {
        door.now += ms(1);
        let _ = door.stranger(ip(0x7f00_0000 + n * 300));
    }
    let seen = door.admission.snapshot(3);
    // 30 known ones keep 38 places (a quarter beyond what they hold): 62 are left.
    assert_eq!((seen.known, seen.reserve, seen.open), (30, 38, 92));
    for n in 0..8 {
        assert!(door.known(ip(0x0c00_0000 + n * 256), &format!("new{n}")).is_ok());
    }
}

#[test]
fn slow_handshakes_use_up_their_own_budget_only() {
    let mut door = Door::new(settings());
    for _ in 0..5 {
        assert_eq!(reason(door.arrive(ip(1)).1), Ok(()));
    }
    assert_eq!(reason(door.arrive(ip(1)).1), Err(RefusalReason::Handshakes));
    for n in 2..27 {
        assert_eq!(reason(door.arrive(ip(n * 256)).1), Ok(()));
    }
    assert_eq!(reason(door.arrive(ip(0x0500_0000)).1), Err(RefusalReason::Handshakes));
    // One that is closed for its slowness makes room.
    door.admission.connection_closed(door.now, ConnectionId(1));
    assert_eq!(reason(door.arrive(ip(0x0500_0000)).1), Ok(()));
}

#[test]
fn a_known_client_that_misbehaves_is_held_to_its_own_limit() {
    let mut door = Door::new(settings());
    door.admission.set_client_limits([(Arc::from("small"), 2)]);
    let mut let_in = BTreeMap::new();
    for n in 0..400u32 {
        door.now += ms(10);
        for client in ["small", "wild"] {
            *let_in.entry(client).or_insert(0) +=
                u32::from(door.known(ip(0x0a00_0000 + n * 256), client).is_ok());
        }
    }
    assert_eq!(let_in, BTreeMap::from([("small", 2), ("wild", 8)]));
    assert!(door.known(ip(0x0d00_0000), "calm").is_ok());
}

#[test]
fn a_branch_office_behind_one_address_is_not_hit_by_the_caps_of_strangers() {
    let mut door = Door::new(settings());
    let office = ip(0x0a09_0101);
    let mut stood = 0;
    for n in 0..50 {
        door.now += ms(60);
        stood += usize::from(door.stranger(office).is_ok());
        if n < 8 {
            assert!(door.known(office, "office").is_ok());
        }
    }
    assert_eq!(stood, 50, "its exception allows 60");
    let elsewhere = ip(0x0a08_0101);
    let stood = (0..50).filter(|_| {
        door.now += ms(60);
        door.stranger(elsewhere).is_ok()
    });
    assert_eq!(stood.count(), 10);
}

#[test]
fn a_full_house_gives_the_place_of_the_stranger_idle_for_longest_but_never_one_with_a_call() {
    let mut door = Door::new(AdmissionSettings {
        total: 6,
        reserve: ReserveSettings { min: 0, max: 0, ..settings().reserve },
        ..settings()
    });
    let conns: Vec<ConnectionId> = (0..6)
        .map(|n| {
            door.now += ms(10);
            door.stranger(ip(n * 256)).expect("room")
        })
        .collect();
    door.admission.record_activity(door.now, conns[0], 1);
    door.admission.record_activity(door.now + ms(5), conns[1], 0);
    door.now += ms(100);
    let (conn, verdict) = door.arrive(ip(0x0900_0000));
    assert_eq!(verdict, ConnectionDecision::Accept, "a handshake has a place of its own");
    assert_eq!(door.admission.handshake_done(door.now, conn), ConnectionDecision::Replace(conns[2]));
    conns.iter().chain([&conn]).for_each(|c| door.admission.record_activity(door.now, *c, 1));
    assert_eq!(door.stranger(ip(0x0901_0000)), Err(RefusalReason::Full));
}

#[test]
fn new_known_clients_come_in_although_the_reserve_is_full_of_idle_known_ones() {
    let mut door = Door::new(settings());
    for n in 0..60 {
        assert!(door.known(ip(0x0b00_0000 + n * 256), &format!("b{n}")).is_ok());
    }
    for n in 0..40u32 {
        door.now += ms(10);
        let _ = door.stranger(ip(0x0c00_0000 + n * 256));
    }
    // The house is full; strangers without a call make room.
    assert!(door.known(ip(0x0d00_0000), "late").is_ok());
    assert_eq!(door.admission.snapshot(1).known, 61);
}

#[test]
fn in_a_house_full_of_idle_known_clients_the_largest_gives_way_to_one_that_holds_less() {
    let mut door = Door::new(AdmissionSettings { total: 61, ..settings() });
    let mut first = Vec::new();
    for n in 0..61u32 {
        door.now += ms(10);
        let conn = door.known(ip(0x0b00_0000 + n * 256), &format!("b{}", n / 8)).expect("room");
        first.push(conn);
    }
    // b0 holds eight; its oldest has a call, its second goes.
    door.admission.record_activity(door.now, first[0], 1);
    let (conn, _) = door.arrive(ip(0x0d00_0000));
    assert_eq!(
        door.admission.authenticated(door.now, conn, &Arc::from("late")),
        ConnectionDecision::Replace(first[1])
    );
    // Strangers find a full house and drive nobody out.
    assert_eq!(door.stranger(ip(0x0e00_0000)), Err(RefusalReason::Full));
    // With a call on each, nobody gives way.
    first.iter().for_each(|c| door.admission.record_activity(door.now, *c, 1));
    door.admission.record_activity(door.now, conn, 1);
    assert_eq!(door.known(ip(0x0d01_0000), "later"), Err(RefusalReason::Full));
    let seen = door.admission.snapshot(9);
    assert_eq!((seen.known, seen.open, seen.evicted[&EvictionReason::PlaceNeeded]), (61, 61, 1));
}

#[test]
fn where_strangers_have_no_place_left_a_known_client_has_time_to_show_who_it_is() {
    let mut door = Door::new(AdmissionSettings { probation_time: ms(1000), ..settings() });
    // Strangers with calls take the 80 places that they may have, from addresses of their own.
    for n in 0..80u32 {
        door.now += ms(10);
        let conn = door.stranger(ip(0x0a00_0000 + n * 256)).expect("room");
        door.admission.record_activity(door.now, conn, 1);
    }
    let (conn, _) = door.arrive(ip(0x0b00_0000));
    assert_eq!(door.admission.handshake_done(door.now, conn), ConnectionDecision::Probation);
    assert_eq!(
        door.admission.authenticated(door.now, conn, &Arc::from("branch")),
        ConnectionDecision::Accept
    );
    // One that does not show it goes when its time is up, and calls that it claims to have do not save it.
    let (conn, _) = door.arrive(ip(0x0b01_0000));
    assert_eq!(door.admission.handshake_done(door.now, conn), ConnectionDecision::Probation);
    door.admission.record_activity(door.now, conn, 7);
    door.now += ms(999);
    assert_eq!(door.admission.evict_overdue(door.now), []);
    door.now += ms(1);
    assert_eq!(door.admission.evict_overdue(door.now), [(conn, EvictionReason::ProbationExpired)]);
    let seen = door.admission.snapshot(3);
    assert_eq!((seen.open, seen.known, seen.handshakes), (81, 1, 0));
}

#[test]
fn a_flood_of_drawn_out_handshakes_does_not_keep_honest_ones_out() {
    let mut door = Door::new(settings());
    let (mut let_in, mut tried) = (0, 0);
    for n in 0..20_000u32 {
        door.now += ms(1);
        // A thousand new handshakes a second that never end.
        let _ = door.arrive(ip(0x0a00_0000 + n * 256));
        if n % 100 == 50 {
            tried += 1;
            // An honest client tries at most ten times, 20 ms apart, as it is told to stay away.
            let_in += u32::from((0..10).any(|_| {
                door.now += ms(20);
                door.known(ip(0x0b00_0000 + n * 256), &format!("b{n}")).is_ok()
            }));
        }
    }
    assert!(let_in * 10 >= tried * 3, "{let_in} of {tried}: places turn over every 200 ms");
    assert!(door.admission.snapshot(1).handshakes <= 30);
}

#[test]
fn a_forwarder_is_believed_and_nobody_else_is() {
    let proxy = IpAddr::V4(Ipv4Addr::new(192, 0, 2, 7));
    let mut door = Door::new(settings());
    // Its own address has no cap; the addresses that it names have theirs.
    let from = |door: &mut Door, real: u32| {
        door.now += ms(60);
        let (conn, verdict) = door.arrive(proxy);
        reason(verdict)?;
        reason(door.admission.set_forwarded_source(door.now, conn, ip(real)))?;
        reason(door.admission.handshake_done(door.now, conn)).map(|()| conn)
    };
    let stood = (0..40).filter(|_| from(&mut door, 0x0a00_0001).is_ok()).count();
    assert_eq!(stood, 10, "the cap of the address that is named");
    assert!((0..30).all(|n| from(&mut door, 0x0a01_0000 + n * 256).is_ok()));
    let blocked = ip(0x0a02_0000);
    assert!(door.admission.block(door.now, blocked, ms(60_000)));
    assert_eq!(from(&mut door, 0x0a02_0000), Err(RefusalReason::Blocked));
    // Of a chain, the nearest that is no forwarder counts, and nothing beyond a hop that hides itself.
    let chain = [Some(ip(1)), Some(ip(2)), Some(proxy)];
    assert_eq!(door.admission.source_address(&chain), Some(ip(2)));
    assert_eq!(door.admission.source_address(&[Some(ip(1)), None, Some(proxy)]), None);
    assert_eq!(door.admission.source_address(&[]), None);
    // A stranger that names another address is taken for what it is.
    let (conn, _) = door.arrive(ip(0x0a03_0000));
    assert_eq!(
        door.admission.set_forwarded_source(door.now, conn, ip(0x0a04_0000)),
        ConnectionDecision::Accept
    );
    let seen = door.admission.snapshot(1000);
    assert!(
        seen.addresses.iter().any(|h| h.holder == "10.3.0.0")
            && !seen.addresses.iter().any(|h| h.holder == "10.4.0.0")
    );
}

#[test]
fn those_that_do_not_read_or_do_nothing_go_unless_they_have_a_call() {
    let mut door =
        Door::new(AdmissionSettings { idle_timeout: ms(5000), slow_reader_timeout: ms(1000), ..settings() });
    let conns: Vec<ConnectionId> = (0..4).map(|n| door.stranger(ip(n * 256)).expect("room")).collect();
    let known = door.known(ip(0x0b00_0000), "branch").expect("room");
    door.admission.record_activity(door.now, conns[1], 1);
    for _ in 0..9 {
        door.now += ms(100);
        conns[..3]
            .iter()
            .chain([&known])
            .for_each(|c| door.admission.record_write_progress(door.now, *c, 500, 7));
        door.admission.record_write_progress(door.now, conns[3], 500, door.now.as_millis() as u64);
        assert_eq!(door.admission.evict_overdue(door.now), []);
    }
    // The third reads at last; the second has a call.
    door.admission.record_write_progress(door.now, conns[2], 0, 507);
    door.now += ms(200);
    let gone = door.admission.evict_overdue(door.now);
    assert_eq!(gone, [(conns[0], EvictionReason::SlowReader), (known, EvictionReason::SlowReader)]);
    door.now += ms(5000);
    assert_eq!(
        door.admission.evict_overdue(door.now),
        [(conns[2], EvictionReason::Idle), (conns[3], EvictionReason::Idle)]
    );
    assert_eq!(door.admission.snapshot(9).open, 1);
}

#[test]
fn one_that_sends_without_end_is_read_at_its_pace_and_a_known_client_at_a_better_one() {
    let mut door = Door::new(settings());
    let stranger = door.stranger(ip(1)).expect("room");
    let known = door.known(ip(2), "branch").expect("room");
    for (conn, least, most) in [(stranger, 1000, 1100), (known, 10_000, 10_700)] {
        let (mut read, end) = (0, door.now + ms(10_000));
        while door.now < end {
            // Twenty messages a turn.
            read += 20;
            door.now += door.admission.charge_messages(door.now, conn, 20).max(Duration::from_micros(1));
        }
        assert!((least..=most).contains(&read), "{read} in ten seconds");
    }
    assert!(door.admission.read_budget(stranger) < door.admission.read_budget(known));
    assert_eq!(door.admission.charge_messages(door.now, ConnectionId(99), 1000), Duration::ZERO);
}

#[test]
fn a_clock_that_stands_still_or_steps_back_lets_nobody_off_and_closes_nobody() {
    let mut door =
        Door::new(AdmissionSettings { idle_timeout: ms(5000), slow_reader_timeout: ms(1000), ..settings() });
    let conn = door.stranger(ip(1)).expect("room");
    door.admission.record_write_progress(door.now, conn, 10, 0);
    door.now = ms(10);
    assert_eq!(door.admission.evict_overdue(door.now), []);
    assert!((0..50).filter(|_| door.stranger(ip(1)).is_ok()).count() <= 9, "burst and cap");
    // A second that passes for the limiter a hundred times as fast lets in a hundred times as much, and no more.
    let mut fast = Door::new(settings());
    let stood = (0..1000).filter(|_| {
        fast.now += ms(100);
        match fast.arrive(ip(7)) {
            (conn, ConnectionDecision::Accept) => {
                fast.admission.connection_closed(fast.now, conn);
                true
            }
            _ => false,
        }
    });
    assert_eq!(stood.count(), 1000, "ten a second at a rate of twenty");
}

#[test]
fn those_refused_together_are_told_different_times() {
    let mut door = Door::new(settings());
    (0..10).for_each(|_| assert!(door.stranger(ip(1)).is_ok()));
    let mut times: Vec<Duration> = (0..100)
        .map(|_| match door.arrive(ip(1)).1 {
            ConnectionDecision::Refuse { retry_after, .. } => retry_after,
            other => panic!("{other:?}"),
        })
        .collect();
    assert!(times.iter().all(|t| *t >= ms(1000) && *t <= ms(2000)));
    times.sort_unstable();
    let widest = times.windows(2).map(|w| w[1] - w[0]).max().expect("some");
    assert!(widest < ms(40), "{widest:?}");
}

#[test]
fn an_operator_blocks_and_frees() {
    let mut door = Door::new(settings());
    assert!(door.admission.block(door.now, ip(1), ms(500)));
    assert_eq!(reason(door.arrive(ip(1)).1), Err(RefusalReason::Blocked));
    door.admission.unblock(ip(1));
    assert_eq!(reason(door.arrive(ip(1)).1), Ok(()));
    assert!(door.admission.block(door.now, ip(1), ms(500)));
    door.now += ms(501);
    assert_eq!(reason(door.arrive(ip(1)).1), Ok(()));
}

#[test]
fn settings_that_shut_everybody_out_are_refused() {
    assert!(matches!(
        Admission::new(AdmissionSettings { per_prefix: 0, ..settings() }),
        Err(SettingsError::Zero("per_prefix"))
    ));
    let all = ReserveSettings { min: 100, ..settings().reserve };
    assert!(matches!(
        Admission::new(AdmissionSettings { reserve: all, ..settings() }),
        Err(SettingsError::Reserve)
    ));
    let prefixes = PrefixLengths { v4: 33, v6: 64 };
    assert!(matches!(
        Admission::new(AdmissionSettings { prefixes, ..settings() }),
        Err(SettingsError::Prefix)
    ));
}

#[derive(Clone, Debug)]
enum Op {
    Arrive(u32),
    Shaken(usize),
    Known(usize, u8),
    Active(usize, u32),
    Close(usize),
    Pass(u64),
    Sweep,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        5 => (0u32..600).prop_map(Op::Arrive),
        4 => (0usize..200).prop_map(Op::Shaken),
        2 => ((0usize..200), 0u8..4).prop_map(|(n, c)| Op::Known(n, c)),
        2 => ((0usize..200), 0u32..2).prop_map(|(n, c)| Op::Active(n, c)),
        2 => (0usize..200).prop_map(Op::Close),
        3 => (0u64..400).prop_map(Op::Pass),
        1 => Just(Op::Sweep),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn caps_hold_in_any_order_of_things(ops in proptest::collection::vec(op(), 1..400)) {
        let (prove, idle) = (ms(300), ms(2000));
        let mut door = Door::new(AdmissionSettings { probation_time: prove, idle_timeout: idle, slow_reader_timeout: ms(500), ..settings() });
        let (mut calls, mut placed) = (BTreeMap::<ConnectionId, u32>::new(), BTreeSet::<ConnectionId>::new());
        let mut open: BTreeMap<ConnectionId, (IpAddr, bool)> = BTreeMap::new();
        let pick = |open: &BTreeMap<ConnectionId, (IpAddr, bool)>, n: usize| open.keys().nth(n % open.len().max(1)).copied();
        for op in ops {
            match op {
                Op::Arrive(n) => {
                    let address = ip(n * 64);
                    let (conn, verdict) = door.arrive(address);
                    match verdict {
                        ConnectionDecision::Accept => drop(open.insert(conn, (address, false))),
                        ConnectionDecision::Replace(old) => {
                            prop_assert!(open.remove(&old).is_some());
                            open.insert(conn, (address, false));
                        }
                        ConnectionDecision::Refuse { .. } | ConnectionDecision::Probation => {}
                    }
                }
                Op::Shaken(n) => if let Some(conn) = pick(&open, n) {
                    let verdict = door.admission.handshake_done(door.now, conn);
                    if matches!(verdict, ConnectionDecision::Accept | ConnectionDecision::Replace(_)) { placed.insert(conn); }
                    match verdict {
                        ConnectionDecision::Refuse { .. } => drop(open.remove(&conn)),
                        ConnectionDecision::Replace(old) => prop_assert!(open.remove(&old).is_some()),
                        ConnectionDecision::Accept | ConnectionDecision::Probation => {}
                    }
                },
                Op::Known(n, c) => if let Some(conn) = pick(&open, n) {
                    let verdict = door.admission.authenticated(door.now, conn, &Arc::from(format!("c{c}")));
                    if let ConnectionDecision::Replace(old) = verdict {
                        prop_assert!(open.remove(&old).is_some());
                    }
                    match reason(verdict) {
                        Ok(()) => {
                            placed.insert(conn);
                            if let Some(e) = open.get_mut(&conn) { e.1 = true; }
                        }
                        Err(_) => drop(open.remove(&conn)),
                    }
                },
                Op::Sweep => for (conn, _) in door.admission.evict_overdue(door.now) {
                    prop_assert!(open.remove(&conn).is_some());
                    prop_assert!(calls.get(&conn).is_none_or(|n| *n == 0));
                },
                Op::Active(n, has) => if let Some(conn) = pick(&open, n) {
                    let stage = door.admission.snapshot(0).handshakes;
                    door.admission.record_activity(door.now, conn, has);
                    prop_assert_eq!(stage, door.admission.snapshot(0).handshakes);
                    // What a connection says that has yet to show what it is counts for nothing.
                    if placed.contains(&conn) { calls.insert(conn, has); }
                },
                Op::Close(n) => if let Some(conn) = pick(&open, n) {
                    open.remove(&conn);
                    door.admission.connection_closed(door.now, conn);
                },
                Op::Pass(span) => door.now += ms(span),
            }
            let seen = door.admission.snapshot(1000);
            prop_assert_eq!(seen.open, open.len());
            prop_assert!(open.len() <= 100 + seen.handshakes && seen.handshakes <= 30 && door.admission.tracked_addresses() <= 1000);
            prop_assert_eq!(seen.known, open.values().filter(|e| e.1).count());
            prop_assert!(seen.clients.iter().all(|h| h.connections <= 8));
            let mut by_address = BTreeMap::<IpAddr, usize>::new();
            open.values().filter(|e| !e.1).for_each(|e| *by_address.entry(e.0).or_default() += 1);
            prop_assert!(by_address.values().all(|n| *n <= 10));
            prop_assert_eq!(seen.addresses.len(), by_address.len());
        }
    }
}
