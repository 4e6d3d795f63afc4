//! The guarantees of the lease table, the expiry timer and the fence.

use std::time::Duration;

use fawnrouter::Time;
use fawnrouter_lease::{
    Command, Epoch, ExpiryTimer, Fence, FenceError, FencingNumber, GatewayId, Incarnation, LeaseName,
    LeaseTable, Member, Refusal, Reply,
};

const TERM: Duration = Duration::from_secs(10);

fn lease(name: &str) -> LeaseName {
    name.parse().unwrap()
}

fn gateway(id: u32) -> Member {
    Member { gateway: GatewayId(id), incarnation: Incarnation(1) }
}

fn at_s(seconds: f64) -> Time {
    Time(Duration::from_secs_f64(seconds))
}

fn acquire(table: &mut LeaseTable, name: &str, by: Member) -> Reply {
    table.apply(&Command::Acquire { lease: lease(name), by, term: TERM })
}

fn number(reply: &Reply) -> FencingNumber {
    match reply {
        Reply::Granted { number, .. } | Reply::Offered { number } => *number,
        other => panic!("no number in {other:?}"),
    }
}

#[test]
fn a_held_lease_is_refused_to_others_and_renewed_for_its_holder() {
    let mut table = LeaseTable::default();
    let first = number(&acquire(&mut table, "report", gateway(1)));
    let refused = Reply::Refused(Refusal::Taken { holder: gateway(1), number: first });
    assert_eq!(acquire(&mut table, "report", gateway(2)), refused);
    let stamp = table.get(&lease("report")).unwrap().stamp;
    assert_eq!(number(&acquire(&mut table, "report", gateway(1))), first);
    assert!(table.get(&lease("report")).unwrap().stamp > stamp);
}

#[test]
fn another_incarnation_of_the_same_gateway_is_another_holder() {
    let mut table = LeaseTable::default();
    acquire(&mut table, "report", gateway(1));
    let restarted = Member { incarnation: Incarnation(2), ..gateway(1) };
    assert!(matches!(acquire(&mut table, "report", restarted), Reply::Refused(Refusal::Taken { .. })));
}

#[test]
fn numbers_increase_across_release_expiry_transfer_and_a_new_epoch() {
    let mut table = LeaseTable::default();
    let mut last = number(&acquire(&mut table, "report", gateway(1)));
    assert_eq!(
        table.apply(&Command::Release { lease: lease("report"), by: gateway(1), number: last }),
        Reply::Free
    );
    let mut next = |reply: &Reply| {
        let number = number(reply);
        assert!(number > last, "{number} after {last}");
        last = number;
        number
    };
    next(&acquire(&mut table, "report", gateway(2)));
    let stamp = table.get(&lease("report")).unwrap().stamp;
    assert_eq!(table.apply(&Command::Expire { lease: lease("report"), stamp }), Reply::Done);
    let third = next(&acquire(&mut table, "report", gateway(3)));
    let transfer =
        Command::Transfer { lease: lease("report"), by: gateway(3), number: third, to: gateway(4) };
    let fourth = next(&table.apply(&transfer));
    assert!(table.get(&lease("report")).unwrap().offered);
    let accepted = table.apply(&Command::Renew { lease: lease("report"), by: gateway(4), number: fourth });
    assert_eq!(accepted, Reply::Granted { number: fourth, term: TERM });
    assert!(!table.get(&lease("report")).unwrap().offered);
    assert_eq!(table.apply(&Command::BeginEpoch { epoch: Epoch(1), quiet: TERM }), Reply::Done);
    assert_eq!(acquire(&mut table, "return", gateway(1)), Reply::Refused(Refusal::QuietPeriod));
    let (stamp, _) = table.quiet_period().unwrap();
    assert_eq!(table.apply(&Command::EndQuietPeriod { stamp }), Reply::Done);
    next(&acquire(&mut table, "return", gateway(1)));
}

#[test]
fn an_expiry_is_void_once_the_lease_has_been_renewed() {
    let mut table = LeaseTable::default();
    let held = number(&acquire(&mut table, "report", gateway(1)));
    let stamp = table.get(&lease("report")).unwrap().stamp;
    table.apply(&Command::Renew { lease: lease("report"), by: gateway(1), number: held });
    assert_eq!(
        table.apply(&Command::Expire { lease: lease("report"), stamp }),
        Reply::Refused(Refusal::StaleStamp)
    );
    assert!(table.get(&lease("report")).is_some());
}

#[test]
fn late_and_duplicate_requests_of_an_earlier_hold_change_nothing() {
    let mut table = LeaseTable::default();
    let old = number(&acquire(&mut table, "report", gateway(1)));
    let release = Command::Release { lease: lease("report"), by: gateway(1), number: old };
    table.apply(&release);
    let new = number(&acquire(&mut table, "report", gateway(1)));
    for late in [
        release,
        Command::Renew { lease: lease("report"), by: gateway(1), number: old },
        Command::Transfer { lease: lease("report"), by: gateway(1), number: old, to: gateway(2) },
        Command::Revoke { lease: lease("report"), number: old },
    ] {
        assert_eq!(table.apply(&late), Reply::Refused(Refusal::NotHeld));
    }
    assert_eq!(table.get(&lease("report")).unwrap().number, new);
}

#[test]
fn a_full_table_refuses_further_leases_and_terms_out_of_range_are_refused() {
    let mut table = LeaseTable::default();
    for i in 0..LeaseTable::MAX_LEASES {
        assert!(matches!(acquire(&mut table, &format!("l{i}"), gateway(1)), Reply::Granted { .. }));
    }
    assert_eq!(acquire(&mut table, "more", gateway(1)), Reply::Refused(Refusal::Full));
    assert!(matches!(acquire(&mut table, "l0", gateway(1)), Reply::Granted { .. }));
    let short = Command::Acquire { lease: lease("l0"), by: gateway(1), term: Duration::from_millis(1) };
    assert_eq!(table.apply(&short), Reply::Refused(Refusal::TermOutOfRange));
}

#[test]
fn a_renewal_with_a_shorter_term_does_not_shorten_the_running_grant() {
    let mut table = LeaseTable::default();
    acquire(&mut table, "report", gateway(1));
    table.apply(&Command::Acquire { lease: lease("report"), by: gateway(1), term: Duration::from_secs(1) });
    assert_eq!(table.get(&lease("report")).unwrap().term, TERM);
}

#[test]
fn a_leader_measures_the_whole_term_from_the_last_renewal_that_it_saw() {
    let (mut table, mut timer) = (LeaseTable::default(), ExpiryTimer::default());
    let held = number(&acquire(&mut table, "report", gateway(1)));
    timer.observe(at_s(1.0), true, &table);
    assert_eq!(timer.next_expiry(&table), Some(at_s(11.0)));
    table.apply(&Command::Renew { lease: lease("report"), by: gateway(1), number: held });
    timer.observe(at_s(5.0), true, &table);
    assert!(timer.due(at_s(14.9), &table).is_empty());
    let due = timer.due(at_s(15.0), &table);
    assert_eq!(due.len(), 1);
    assert_eq!(table.apply(&due[0]), Reply::Done);
    timer.observe(at_s(15.0), true, &table);
    assert_eq!(timer.next_expiry(&table), None);
}

#[test]
fn a_new_leader_measures_every_term_in_full() {
    let (mut table, mut timer) = (LeaseTable::default(), ExpiryTimer::default());
    acquire(&mut table, "report", gateway(1));
    timer.observe(at_s(0.0), true, &table);
    timer.observe(at_s(8.0), false, &table);
    assert!(timer.due(at_s(30.0), &table).is_empty());
    timer.observe(at_s(30.0), true, &table);
    assert!(timer.due(at_s(39.9), &table).is_empty());
    assert_eq!(timer.due(at_s(40.0), &table).len(), 1);
}

/// The quiet period stands for the longest term that the lost voters can have granted.
#[test]
fn in_a_new_epoch_nothing_is_granted_until_the_quiet_period_has_passed() {
    let (mut table, mut timer) = (LeaseTable::default(), ExpiryTimer::default());
    table.apply(&Command::BeginEpoch { epoch: Epoch(1), quiet: Duration::from_secs(60) });
    timer.observe(at_s(100.0), true, &table);
    assert_eq!(acquire(&mut table, "report", gateway(2)), Reply::Refused(Refusal::QuietPeriod));
    assert!(timer.due(at_s(159.0), &table).is_empty());
    for due in timer.due(at_s(160.0), &table) {
        table.apply(&due);
    }
    assert_eq!(
        number(&acquire(&mut table, "report", gateway(2))),
        FencingNumber { epoch: Epoch(1), count: 1 }
    );
    assert_eq!(
        table.apply(&Command::BeginEpoch { epoch: Epoch(1), quiet: TERM }),
        Reply::Refused(Refusal::EpochPassed(Epoch(1)))
    );
}

/// In the lost table, which may be newer, another gateway may hold the lease by now. A renewal here would
/// make two holders.
#[test]
fn in_a_new_epoch_holders_of_an_older_table_are_not_renewed() {
    let mut table = LeaseTable::default();
    let old = number(&acquire(&mut table, "report", gateway(1)));
    table.apply(&Command::BeginEpoch { epoch: Epoch(1), quiet: Duration::from_secs(1) });
    let renew = Command::Renew { lease: lease("report"), by: gateway(1), number: old };
    assert_eq!(table.apply(&renew), Reply::Refused(Refusal::NotHeld));
    assert_eq!(acquire(&mut table, "report", gateway(1)), Reply::Refused(Refusal::QuietPeriod));
    assert_eq!(table.quiet_period().unwrap().1, TERM);
}

#[test]
fn the_fence_rejects_numbers_below_the_highest_and_leases_beyond_its_limit() {
    let mut fence = Fence::default();
    let number = |epoch, count| FencingNumber { epoch: Epoch(epoch), count };
    fence.admit(&lease("report"), number(0, 7)).unwrap();
    fence.admit(&lease("report"), number(0, 7)).unwrap();
    fence.admit(&lease("report"), number(1, 1)).unwrap();
    let stale = fence.admit(&lease("report"), number(0, 9)).unwrap_err();
    assert!(matches!(stale, FenceError::StaleNumber { .. }));
    assert_eq!(
        stale.to_string(),
        "number 0.9 of lease report is behind 1.1: another gateway has the lease now"
    );
    for i in 1..Fence::MAX_LEASES {
        fence.admit(&lease(&format!("l{i}")), number(0, 1)).unwrap();
    }
    assert_eq!(fence.admit(&lease("more"), number(0, 1)), Err(FenceError::Full(Fence::MAX_LEASES)));
}

#[test]
fn names_and_numbers_parse_as_they_are_written() {
    assert_eq!(lease("spill-report-2").to_string(), "spill-report-2");
    for invalid in ["", "Report", "2report", "-", "a b", &"a".repeat(33)] {
        assert!(invalid.parse::<LeaseName>().is_err(), "{invalid:?}");
    }
    let number = FencingNumber { epoch: Epoch(2), count: 41 };
    assert_eq!(number.to_string().parse(), Ok(number));
    assert!("2".parse::<FencingNumber>().is_err());
}
