//! Connection admission under floods of several kinds and in random sequences of operations.

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
        per_network: 40,
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

/// Connection admission with a clock and connection numbers.
struct Fixture {
    admission: Admission,
    now: Duration,
    last_id: u64,
}

impl Fixture {
    fn new(settings: AdmissionSettings) -> Self {
        Self { admission: Admission::new(settings).expect("valid settings"), now: ms(1000), last_id: 0 }
    }

    fn arrive(&mut self, address: IpAddr) -> (ConnectionId, ConnectionDecision) {
        self.last_id += 1;
        let conn = ConnectionId(self.last_id);
        (conn, self.admission.arrive(self.now, Arrival { conn, address }))
    }

    /// An unknown client that connects and completes its handshake.
    fn connect_unknown(&mut self, address: IpAddr) -> Result<ConnectionId, RefusalReason> {
        let (conn, decision) = self.arrive(address);
        accepted(decision)?;
        accepted(self.admission.handshake_done(self.now, conn))?;
        Ok(conn)
    }

    /// A client that connects and authenticates as a known one.
    fn connect_known(&mut self, address: IpAddr, client: &str) -> Result<ConnectionId, RefusalReason> {
        let (conn, decision) = self.arrive(address);
        accepted(decision)?;
        accepted(self.admission.authenticated(self.now, conn, &Arc::from(client)))?;
        Ok(conn)
    }
}

/// `Ok` for a connection that is in, otherwise the reason of its refusal.
fn accepted(decision: ConnectionDecision) -> Result<(), RefusalReason> {
    match decision {
        ConnectionDecision::Accept | ConnectionDecision::Replace(_) | ConnectionDecision::Probation => Ok(()),
        ConnectionDecision::Refuse { reason, .. } => Err(reason),
    }
}

#[test]
fn a_flood_from_one_address_is_limited_and_known_clients_still_connect() {
    let mut fixture = Fixture::new(settings());
    let (mut admitted, mut known) = (0, 0);
    for n in 0..5000u32 {
        fixture.now += ms(1);
        admitted += u32::from(fixture.connect_unknown(ip(0x0a00_0001)).is_ok());
        if n % 250 == 0 {
            known +=
                u32::from(fixture.connect_known(ip(0x0b00_0000 + n), &format!("branch{}", n / 1000)).is_ok());
        }
    }
    assert_eq!((admitted, known), (10, 20));
    let refused = fixture.admission.snapshot(3).refused;
    assert!(refused[&RefusalReason::Address] > 4900, "{refused:?}");
}

#[test]
fn a_flood_from_thousands_of_addresses_takes_only_the_slots_of_unknown_clients() {
    let mut fixture = Fixture::new(settings());
    for n in 0..30 {
        assert!(fixture.connect_known(ip(0x0b00_0000 + n * 256), &format!("b{n}")).is_ok());
    }
    for n in 0..5000u32 {
        fixture.now += ms(1);
        let _ = fixture.connect_unknown(ip(0x7f00_0000 + n * 300));
    }
    let snapshot = fixture.admission.snapshot(3);
    // 30 known clients reserve 38 slots (a quarter more than they use), so 62 are left.
    assert_eq!((snapshot.known, snapshot.reserve, snapshot.open), (30, 38, 92));
    for n in 0..8 {
        assert!(fixture.connect_known(ip(0x0c00_0000 + n * 256), &format!("new{n}")).is_ok());
    }
}

#[test]
fn slow_handshakes_use_only_handshake_slots() {
    let mut fixture = Fixture::new(settings());
    for _ in 0..5 {
        assert_eq!(accepted(fixture.arrive(ip(1)).1), Ok(()));
    }
    assert_eq!(accepted(fixture.arrive(ip(1)).1), Err(RefusalReason::Handshakes));
    for n in 2..27 {
        assert_eq!(accepted(fixture.arrive(ip(n * 256)).1), Ok(()));
    }
    assert_eq!(accepted(fixture.arrive(ip(0x0500_0000)).1), Err(RefusalReason::Handshakes));
    // Closing a slow handshake frees its slot.
    fixture.admission.connection_closed(fixture.now, ConnectionId(1));
    assert_eq!(accepted(fixture.arrive(ip(0x0500_0000)).1), Ok(()));
}

#[test]
fn a_known_client_that_opens_too_many_connections_is_held_to_its_limit() {
    let mut fixture = Fixture::new(settings());
    fixture.admission.set_client_limits([(Arc::from("small"), 2)]);
    let mut admitted = BTreeMap::new();
    for n in 0..400u32 {
        fixture.now += ms(10);
        for client in ["small", "greedy"] {
            *admitted.entry(client).or_insert(0) +=
                u32::from(fixture.connect_known(ip(0x0a00_0000 + n * 256), client).is_ok());
        }
    }
    assert_eq!(admitted, BTreeMap::from([("small", 2), ("greedy", 8)]));
    assert!(fixture.connect_known(ip(0x0d00_0000), "other").is_ok());
}

#[test]
fn a_branch_office_behind_one_address_is_not_subject_to_the_limits_of_unknown_clients() {
    let mut fixture = Fixture::new(settings());
    let office = ip(0x0a09_0101);
    let mut admitted = 0;
    for n in 0..50 {
        fixture.now += ms(60);
        admitted += usize::from(fixture.connect_unknown(office).is_ok());
        if n < 8 {
            assert!(fixture.connect_known(office, "office").is_ok());
        }
    }
    assert_eq!(admitted, 50, "the exception of its network allows 60");
    let other_address = ip(0x0a08_0101);
    let admitted = (0..50).filter(|_| {
        fixture.now += ms(60);
        fixture.connect_unknown(other_address).is_ok()
    });
    assert_eq!(admitted.count(), 10);
}

#[test]
fn a_full_gateway_replaces_the_longest_idle_unknown_client_but_never_one_with_a_call() {
    let mut fixture = Fixture::new(AdmissionSettings {
        total: 6,
        reserve: ReserveSettings { min: 0, max: 0, ..settings().reserve },
        ..settings()
    });
    let conns: Vec<ConnectionId> = (0..6)
        .map(|n| {
            fixture.now += ms(10);
            fixture.connect_unknown(ip(n * 256)).expect("room")
        })
        .collect();
    fixture.admission.record_activity(fixture.now, conns[0], 1);
    fixture.admission.record_activity(fixture.now + ms(5), conns[1], 0);
    fixture.now += ms(100);
    let (conn, decision) = fixture.arrive(ip(0x0900_0000));
    assert_eq!(decision, ConnectionDecision::Accept, "handshakes have slots of their own");
    assert_eq!(fixture.admission.handshake_done(fixture.now, conn), ConnectionDecision::Replace(conns[2]));
    conns.iter().chain([&conn]).for_each(|c| fixture.admission.record_activity(fixture.now, *c, 1));
    assert_eq!(fixture.connect_unknown(ip(0x0901_0000)), Err(RefusalReason::Full));
}

#[test]
fn new_known_clients_connect_when_idle_known_clients_fill_the_reserve() {
    let mut fixture = Fixture::new(settings());
    for n in 0..60 {
        assert!(fixture.connect_known(ip(0x0b00_0000 + n * 256), &format!("b{n}")).is_ok());
    }
    for n in 0..40u32 {
        fixture.now += ms(10);
        let _ = fixture.connect_unknown(ip(0x0c00_0000 + n * 256));
    }
    // All slots are taken; unknown clients without a call make room.
    assert!(fixture.connect_known(ip(0x0d00_0000), "late").is_ok());
    assert_eq!(fixture.admission.snapshot(1).known, 61);
}

#[test]
fn among_idle_known_clients_the_largest_makes_room_for_one_with_fewer_connections() {
    let mut fixture = Fixture::new(AdmissionSettings { total: 61, ..settings() });
    let mut first = Vec::new();
    for n in 0..61u32 {
        fixture.now += ms(10);
        let conn = fixture.connect_known(ip(0x0b00_0000 + n * 256), &format!("b{}", n / 8)).expect("room");
        first.push(conn);
    }
    // b0 holds eight connections. The oldest has a call, so the second oldest is evicted.
    fixture.admission.record_activity(fixture.now, first[0], 1);
    let (conn, _) = fixture.arrive(ip(0x0d00_0000));
    assert_eq!(
        fixture.admission.authenticated(fixture.now, conn, &Arc::from("late")),
        ConnectionDecision::Replace(first[1])
    );
    // Unknown clients find all slots taken and displace nobody.
    assert_eq!(fixture.connect_unknown(ip(0x0e00_0000)), Err(RefusalReason::Full));
    // When every connection has a call, none is evicted.
    first.iter().for_each(|c| fixture.admission.record_activity(fixture.now, *c, 1));
    fixture.admission.record_activity(fixture.now, conn, 1);
    assert_eq!(fixture.connect_known(ip(0x0d01_0000), "later"), Err(RefusalReason::Full));
    let snapshot = fixture.admission.snapshot(9);
    assert_eq!((snapshot.known, snapshot.open, snapshot.evicted[&EvictionReason::SlotNeeded]), (61, 61, 1));
}

#[test]
fn a_known_client_gets_probation_to_authenticate_when_unknown_clients_have_no_slot_left() {
    let mut fixture = Fixture::new(AdmissionSettings { probation_time: ms(1000), ..settings() });
    // Unknown clients with calls take all of their 80 slots, each from a different address.
    for n in 0..80u32 {
        fixture.now += ms(10);
        let conn = fixture.connect_unknown(ip(0x0a00_0000 + n * 256)).expect("room");
        fixture.admission.record_activity(fixture.now, conn, 1);
    }
    let (conn, _) = fixture.arrive(ip(0x0b00_0000));
    assert_eq!(fixture.admission.handshake_done(fixture.now, conn), ConnectionDecision::Probation);
    assert_eq!(
        fixture.admission.authenticated(fixture.now, conn, &Arc::from("branch")),
        ConnectionDecision::Accept
    );
    // A connection that does not authenticate is evicted when its probation ends, whatever calls it reports.
    let (conn, _) = fixture.arrive(ip(0x0b01_0000));
    assert_eq!(fixture.admission.handshake_done(fixture.now, conn), ConnectionDecision::Probation);
    fixture.admission.record_activity(fixture.now, conn, 7);
    fixture.now += ms(999);
    assert_eq!(fixture.admission.evict_overdue(fixture.now), []);
    fixture.now += ms(1);
    assert_eq!(fixture.admission.evict_overdue(fixture.now), [(conn, EvictionReason::ProbationExpired)]);
    let snapshot = fixture.admission.snapshot(3);
    assert_eq!((snapshot.open, snapshot.known, snapshot.handshakes), (81, 1, 0));
}

#[test]
fn a_flood_of_slow_handshakes_does_not_keep_legitimate_clients_out() {
    let mut fixture = Fixture::new(settings());
    let (mut admitted, mut tried) = (0, 0);
    for n in 0..20_000u32 {
        fixture.now += ms(1);
        // A thousand new handshakes a second, none of which is completed.
        let _ = fixture.arrive(ip(0x0a00_0000 + n * 256));
        if n % 100 == 50 {
            tried += 1;
            // A legitimate client retries up to ten times, 20 ms apart, as the refusals tell it to wait.
            admitted += u32::from((0..10).any(|_| {
                fixture.now += ms(20);
                fixture.connect_known(ip(0x0b00_0000 + n * 256), &format!("b{n}")).is_ok()
            }));
        }
    }
    assert!(admitted * 10 >= tried * 3, "{admitted} of {tried}: handshake slots turn over every 200 ms");
    assert!(fixture.admission.snapshot(1).handshakes <= 30);
}

#[test]
fn only_a_trusted_forwarder_may_name_the_source_address() {
    let proxy = IpAddr::V4(Ipv4Addr::new(192, 0, 2, 7));
    let mut fixture = Fixture::new(settings());
    // The forwarder's own address has no limit; the addresses that it names have.
    let connect_through_proxy = |fixture: &mut Fixture, real: u32| {
        fixture.now += ms(60);
        let (conn, decision) = fixture.arrive(proxy);
        accepted(decision)?;
        accepted(fixture.admission.set_forwarded_source(fixture.now, conn, ip(real)))?;
        accepted(fixture.admission.handshake_done(fixture.now, conn)).map(|()| conn)
    };
    let admitted = (0..40).filter(|_| connect_through_proxy(&mut fixture, 0x0a00_0001).is_ok()).count();
    assert_eq!(admitted, 10, "the limit of the named address");
    assert!((0..30).all(|n| connect_through_proxy(&mut fixture, 0x0a01_0000 + n * 256).is_ok()));
    let blocked = ip(0x0a02_0000);
    assert!(fixture.admission.block(fixture.now, blocked, ms(60_000)));
    assert_eq!(connect_through_proxy(&mut fixture, 0x0a02_0000), Err(RefusalReason::Blocked));
    // In a chain, the nearest address that is not a forwarder's counts, and nothing beyond a hidden hop.
    let chain = [Some(ip(1)), Some(ip(2)), Some(proxy)];
    assert_eq!(fixture.admission.source_address(&chain), Some(ip(2)));
    assert_eq!(fixture.admission.source_address(&[Some(ip(1)), None, Some(proxy)]), None);
    assert_eq!(fixture.admission.source_address(&[]), None);
    // A client that is not a forwarder cannot name another address as its source.
    let (conn, _) = fixture.arrive(ip(0x0a03_0000));
    assert_eq!(
        fixture.admission.set_forwarded_source(fixture.now, conn, ip(0x0a04_0000)),
        ConnectionDecision::Accept
    );
    let snapshot = fixture.admission.snapshot(1000);
    assert!(
        snapshot.addresses.iter().any(|h| h.holder == "10.3.0.0")
            && !snapshot.addresses.iter().any(|h| h.holder == "10.4.0.0")
    );
}

#[test]
fn idle_connections_and_slow_readers_are_evicted_unless_they_have_a_call() {
    let mut fixture = Fixture::new(AdmissionSettings {
        idle_timeout: ms(5000),
        slow_reader_timeout: ms(1000),
        ..settings()
    });
    let conns: Vec<ConnectionId> =
        (0..4).map(|n| fixture.connect_unknown(ip(n * 256)).expect("room")).collect();
    let known = fixture.connect_known(ip(0x0b00_0000), "branch").expect("room");
    fixture.admission.record_activity(fixture.now, conns[1], 1);
    for _ in 0..9 {
        fixture.now += ms(100);
        conns[..3]
            .iter()
            .chain([&known])
            .for_each(|c| fixture.admission.record_write_progress(fixture.now, *c, 500, 7));
        fixture.admission.record_write_progress(fixture.now, conns[3], 500, fixture.now.as_millis() as u64);
        assert_eq!(fixture.admission.evict_overdue(fixture.now), []);
    }
    // The third connection reads at last; the second has a call.
    fixture.admission.record_write_progress(fixture.now, conns[2], 0, 507);
    fixture.now += ms(200);
    let evicted = fixture.admission.evict_overdue(fixture.now);
    assert_eq!(evicted, [(conns[0], EvictionReason::SlowReader), (known, EvictionReason::SlowReader)]);
    fixture.now += ms(5000);
    assert_eq!(
        fixture.admission.evict_overdue(fixture.now),
        [(conns[2], EvictionReason::Idle), (conns[3], EvictionReason::Idle)]
    );
    assert_eq!(fixture.admission.snapshot(9).open, 1);
}

#[test]
fn messages_are_read_at_the_configured_rate_which_is_higher_for_known_clients() {
    let mut fixture = Fixture::new(settings());
    let unknown = fixture.connect_unknown(ip(1)).expect("room");
    let known = fixture.connect_known(ip(2), "branch").expect("room");
    for (conn, least, most) in [(unknown, 1000, 1100), (known, 10_000, 10_700)] {
        let (mut read, end) = (0, fixture.now + ms(10_000));
        while fixture.now < end {
            // Twenty messages per read turn.
            read += 20;
            fixture.now +=
                fixture.admission.charge_messages(fixture.now, conn, 20).max(Duration::from_micros(1));
        }
        assert!((least..=most).contains(&read), "{read} in ten seconds");
    }
    assert!(fixture.admission.read_budget(unknown) < fixture.admission.read_budget(known));
    assert_eq!(fixture.admission.charge_messages(fixture.now, ConnectionId(99), 1000), Duration::ZERO);
}

#[test]
fn a_clock_that_stands_still_or_steps_back_resets_no_limit_and_evicts_nobody() {
    let mut fixture = Fixture::new(AdmissionSettings {
        idle_timeout: ms(5000),
        slow_reader_timeout: ms(1000),
        ..settings()
    });
    let conn = fixture.connect_unknown(ip(1)).expect("room");
    fixture.admission.record_write_progress(fixture.now, conn, 10, 0);
    fixture.now = ms(10);
    assert_eq!(fixture.admission.evict_overdue(fixture.now), []);
    assert!((0..50).filter(|_| fixture.connect_unknown(ip(1)).is_ok()).count() <= 9, "burst and limit");
    // With a clock a hundred times as fast, a hundred times as many connections get in, and no more.
    let mut fast = Fixture::new(settings());
    let admitted = (0..1000).filter(|_| {
        fast.now += ms(100);
        match fast.arrive(ip(7)) {
            (conn, ConnectionDecision::Accept) => {
                fast.admission.connection_closed(fast.now, conn);
                true
            }
            _ => false,
        }
    });
    assert_eq!(admitted.count(), 1000, "ten a second at a rate limit of twenty");
}

#[test]
fn simultaneous_refusals_get_different_retry_times() {
    let mut fixture = Fixture::new(settings());
    (0..10).for_each(|_| assert!(fixture.connect_unknown(ip(1)).is_ok()));
    let mut times: Vec<Duration> = (0..100)
        .map(|_| match fixture.arrive(ip(1)).1 {
            ConnectionDecision::Refuse { retry_after, .. } => retry_after,
            other => panic!("{other:?}"),
        })
        .collect();
    assert!(times.iter().all(|t| *t >= ms(1000) && *t <= ms(2000)));
    times.sort_unstable();
    let widest_gap = times.windows(2).map(|w| w[1] - w[0]).max().expect("some");
    assert!(widest_gap < ms(40), "{widest_gap:?}");
}

#[test]
fn an_operator_blocks_and_unblocks_an_address() {
    let mut fixture = Fixture::new(settings());
    assert!(fixture.admission.block(fixture.now, ip(1), ms(500)));
    assert_eq!(accepted(fixture.arrive(ip(1)).1), Err(RefusalReason::Blocked));
    fixture.admission.unblock(ip(1));
    assert_eq!(accepted(fixture.arrive(ip(1)).1), Ok(()));
    assert!(fixture.admission.block(fixture.now, ip(1), ms(500)));
    fixture.now += ms(501);
    assert_eq!(accepted(fixture.arrive(ip(1)).1), Ok(()));
}

#[test]
fn settings_that_refuse_every_connection_are_invalid() {
    assert!(matches!(
        Admission::new(AdmissionSettings { per_network: 0, ..settings() }),
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
    HandshakeDone(usize),
    Authenticated(usize, u8),
    RecordActivity(usize, u32),
    Close(usize),
    AdvanceClock(u64),
    EvictOverdue,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        5 => (0u32..600).prop_map(Op::Arrive),
        4 => (0usize..200).prop_map(Op::HandshakeDone),
        2 => ((0usize..200), 0u8..4).prop_map(|(n, c)| Op::Authenticated(n, c)),
        2 => ((0usize..200), 0u32..2).prop_map(|(n, c)| Op::RecordActivity(n, c)),
        2 => (0usize..200).prop_map(Op::Close),
        3 => (0u64..400).prop_map(Op::AdvanceClock),
        1 => Just(Op::EvictOverdue),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn limits_hold_in_any_order_of_operations(ops in proptest::collection::vec(op(), 1..400)) {
        let mut fixture = Fixture::new(AdmissionSettings {
            probation_time: ms(300),
            idle_timeout: ms(2000),
            slow_reader_timeout: ms(500),
            ..settings()
        });
        let mut calls = BTreeMap::<ConnectionId, u32>::new();
        let mut has_slot = BTreeSet::<ConnectionId>::new();
        // The open connections, with their address and whether they belong to a known client.
        let mut open: BTreeMap<ConnectionId, (IpAddr, bool)> = BTreeMap::new();
        let pick = |open: &BTreeMap<ConnectionId, (IpAddr, bool)>, n: usize| {
            open.keys().nth(n % open.len().max(1)).copied()
        };
        for op in ops {
            match op {
                Op::Arrive(n) => {
                    let address = ip(n * 64);
                    let (conn, decision) = fixture.arrive(address);
                    match decision {
                        ConnectionDecision::Accept => drop(open.insert(conn, (address, false))),
                        ConnectionDecision::Replace(old) => {
                            prop_assert!(open.remove(&old).is_some());
                            open.insert(conn, (address, false));
                        }
                        ConnectionDecision::Refuse { .. } | ConnectionDecision::Probation => {}
                    }
                }
                Op::HandshakeDone(n) => if let Some(conn) = pick(&open, n) {
                    let decision = fixture.admission.handshake_done(fixture.now, conn);
                    if matches!(decision, ConnectionDecision::Accept | ConnectionDecision::Replace(_)) {
                        has_slot.insert(conn);
                    }
                    match decision {
                        ConnectionDecision::Refuse { .. } => drop(open.remove(&conn)),
                        ConnectionDecision::Replace(old) => prop_assert!(open.remove(&old).is_some()),
                        ConnectionDecision::Accept | ConnectionDecision::Probation => {}
                    }
                },
                Op::Authenticated(n, c) => if let Some(conn) = pick(&open, n) {
                    let client = Arc::from(format!("c{c}"));
                    let decision = fixture.admission.authenticated(fixture.now, conn, &client);
                    if let ConnectionDecision::Replace(old) = decision {
                        prop_assert!(open.remove(&old).is_some());
                    }
                    match accepted(decision) {
                        Ok(()) => {
                            has_slot.insert(conn);
                            if let Some(e) = open.get_mut(&conn) { e.1 = true; }
                        }
                        Err(_) => drop(open.remove(&conn)),
                    }
                },
                Op::EvictOverdue => for (conn, _) in fixture.admission.evict_overdue(fixture.now) {
                    prop_assert!(open.remove(&conn).is_some());
                    prop_assert!(calls.get(&conn).is_none_or(|n| *n == 0));
                },
                Op::RecordActivity(n, call_count) => if let Some(conn) = pick(&open, n) {
                    let handshakes = fixture.admission.snapshot(0).handshakes;
                    fixture.admission.record_activity(fixture.now, conn, call_count);
                    prop_assert_eq!(handshakes, fixture.admission.snapshot(0).handshakes);
                    // Calls reported before a connection has a slot are ignored.
                    if has_slot.contains(&conn) { calls.insert(conn, call_count); }
                },
                Op::Close(n) => if let Some(conn) = pick(&open, n) {
                    open.remove(&conn);
                    fixture.admission.connection_closed(fixture.now, conn);
                },
                Op::AdvanceClock(by_ms) => fixture.now += ms(by_ms),
            }
            let snapshot = fixture.admission.snapshot(1000);
            prop_assert_eq!(snapshot.open, open.len());
            prop_assert!(open.len() <= 100 + snapshot.handshakes && snapshot.handshakes <= 30);
            prop_assert!(fixture.admission.tracked_addresses() <= 1000);
            prop_assert_eq!(snapshot.known, open.values().filter(|e| e.1).count());
            prop_assert!(snapshot.clients.iter().all(|h| h.connections <= 8));
            let mut by_address = BTreeMap::<IpAddr, usize>::new();
            open.values().filter(|e| !e.1).for_each(|e| *by_address.entry(e.0).or_default() += 1);
            prop_assert!(by_address.values().all(|n| *n <= 10));
            prop_assert_eq!(snapshot.addresses.len(), by_address.len());
        }
    }
}
