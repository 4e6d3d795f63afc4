//! The holder's side: when it may act, and what it asks.

use std::time::Duration;

use fawnrouter::Time;
use fawnrouter_lease::{
    Epoch, FencingNumber, GatewayId, Holder, HolderSettings, Incarnation, LeaseName, LeaseRequest,
    LeaseStatus, Member, Refusal, Reply,
};

const TERM: Duration = Duration::from_secs(10);

fn report() -> LeaseName {
    "report".parse().unwrap()
}

fn at(seconds: f64) -> Time {
    Time(Duration::from_secs_f64(seconds))
}

fn me() -> Member {
    Member { gateway: GatewayId(3), incarnation: Incarnation(9) }
}

fn holder() -> Holder {
    Holder::new(me(), HolderSettings { term: TERM, drift: 0.1, ..HolderSettings::default() })
}

fn granted(count: u64) -> Reply {
    Reply::Granted { number: FencingNumber { epoch: Epoch(0), count }, term: TERM }
}

fn number(count: u64) -> FencingNumber {
    FencingNumber { epoch: Epoch(0), count }
}

/// One that holds `number(1)` by a request sent at 1 s.
fn holding() -> Holder {
    let mut holder = holder();
    holder.acquire(at(1.0), &report());
    let asks = holder.poll_requests(at(1.0));
    assert_eq!(asks[0].2, LeaseRequest::Acquire { term: TERM });
    holder.handle_reply(at(1.5), &report(), asks[0].0, &granted(1));
    holder
}

#[test]
fn it_may_act_from_the_grant_until_the_term_less_the_drift_after_it_asked() {
    let holder = holding();
    let permit = holder.permit(at(1.5), &report()).unwrap();
    assert_eq!((permit.number, permit.until), (number(1), at(10.0)));
    assert!(holder.permit(at(9.999), &report()).is_some());
    assert_eq!(holder.permit(at(10.0), &report()), None);
    assert_eq!(holder.status(at(10.0), &report()), LeaseStatus::Uncertain(number(1)));
}

#[test]
fn a_grant_that_took_longer_than_the_term_gives_no_permit_and_is_renewed_at_once() {
    let mut holder = holder();
    holder.acquire(at(0.0), &report());
    let first = holder.poll_requests(at(0.0))[0].0;
    holder.handle_reply(at(9.5), &report(), first, &granted(1));
    assert_eq!(holder.permit(at(9.5), &report()), None);
    let asks = holder.poll_requests(at(9.5));
    assert_eq!(asks[0].2, LeaseRequest::Renew { number: number(1) });
    holder.handle_reply(at(9.6), &report(), asks[0].0, &granted(1));
    assert_eq!(holder.permit(at(9.6), &report()).unwrap().until, at(18.5));
}

#[test]
fn it_renews_after_a_third_and_asks_again_when_nobody_answers() {
    let mut holder = holding();
    assert_eq!(holder.next_wake(), Some(at(4.0)));
    let mut sent = Vec::new();
    let mut now = at(4.0);
    while now < at(10.0) {
        for (request, _, ask) in holder.poll_requests(now) {
            assert_eq!(ask, LeaseRequest::Renew { number: number(1) });
            sent.push((request, now));
        }
        now = holder.next_wake().unwrap();
    }
    assert!(sent.len() >= 3, "{sent:?}");
    // The answer to the second counts from when the second was sent, however late it comes.
    let (request, when) = sent[1];
    holder.handle_reply(at(9.9), &report(), request, &granted(1));
    assert_eq!(holder.permit(at(9.9), &report()).unwrap().until, when.plus(TERM.mul_f64(0.9)));
    // An answer to an earlier one does not shorten it, one that comes twice changes nothing.
    holder.handle_reply(at(9.95), &report(), sent[0].0, &granted(1));
    holder.handle_reply(at(9.95), &report(), request, &granted(1));
    assert_eq!(holder.permit(at(9.95), &report()).unwrap().until, when.plus(TERM.mul_f64(0.9)));
}

#[test]
fn answers_to_requests_that_it_did_not_send_give_no_permit() {
    let mut holder = holder();
    holder.acquire(at(0.0), &report());
    holder.handle_reply(at(0.1), &report(), 77, &granted(1));
    assert_eq!(holder.permit(at(0.1), &report()), None);
}

#[test]
fn a_refused_renewal_ends_the_permit_at_once_and_it_asks_anew() {
    let mut holder = holding();
    let renewal = holder.poll_requests(at(4.0))[0].0;
    holder.handle_reply(at(4.1), &report(), renewal, &Reply::Refused(Refusal::NotHeld));
    assert_eq!(holder.permit(at(4.1), &report()), None);
    let asks = holder.poll_requests(at(4.1));
    assert_eq!(asks[0].2, LeaseRequest::Acquire { term: TERM });
    holder.handle_reply(at(4.2), &report(), asks[0].0, &granted(5));
    assert_eq!(holder.permit(at(4.2), &report()).unwrap().number, number(5));
}

#[test]
fn a_late_refusal_of_an_earlier_hold_takes_nothing_from_the_present_one() {
    let mut holder = holding();
    let old = holder.poll_requests(at(4.0))[0].0;
    let resent = holder.poll_requests(at(4.2))[0].0;
    holder.handle_reply(at(4.3), &report(), resent, &Reply::Refused(Refusal::NotHeld));
    let take = holder.poll_requests(at(4.3))[0].0;
    holder.handle_reply(at(4.4), &report(), take, &granted(5));
    let before = holder.next_wake();
    holder.handle_reply(at(4.5), &report(), old, &Reply::Refused(Refusal::NotHeld));
    assert_eq!(holder.permit(at(4.5), &report()).unwrap().number, number(5));
    assert_eq!(holder.next_wake(), before);
}

#[test]
fn it_leaves_at_once_and_says_so_until_it_is_heard() {
    let mut holder = holding();
    holder.release(at(2.0), &report());
    assert_eq!(holder.permit(at(2.0), &report()), None);
    assert_eq!(holder.status(at(2.0), &report()), LeaseStatus::Releasing(number(1)));
    let first = holder.poll_requests(at(2.0));
    assert_eq!(first[0].2, LeaseRequest::Release { number: number(1) });
    let again = holder.poll_requests(holder.next_wake().unwrap());
    assert_eq!(again[0].2, LeaseRequest::Release { number: number(1) });
    holder.handle_reply(at(2.5), &report(), again[0].0, &Reply::Free);
    assert_eq!(holder.status(at(2.5), &report()), LeaseStatus::Idle);
    assert_eq!(holder.next_wake(), None);
}

#[test]
fn a_lease_granted_after_it_is_wanted_no_more_is_given_back() {
    let mut holder = holder();
    holder.acquire(at(0.0), &report());
    let take = holder.poll_requests(at(0.0))[0].0;
    holder.release(at(0.1), &report());
    assert!(holder.poll_requests(at(5.0)).is_empty());
    holder.handle_reply(at(5.0), &report(), take, &granted(1));
    assert_eq!(holder.permit(at(5.0), &report()), None);
    assert_eq!(holder.poll_requests(at(5.0))[0].2, LeaseRequest::Release { number: number(1) });
}

#[test]
fn wanted_again_while_it_is_given_back_it_is_asked_for_after_that() {
    let mut holder = holding();
    holder.release(at(2.0), &report());
    let release = holder.poll_requests(at(2.0))[0].0;
    holder.acquire(at(2.1), &report());
    assert_eq!(holder.permit(at(2.1), &report()), None);
    holder.handle_reply(at(2.2), &report(), release, &Reply::Free);
    let next = holder.next_wake().unwrap();
    assert_eq!(holder.poll_requests(next)[0].2, LeaseRequest::Acquire { term: TERM });
}

#[test]
fn what_is_handed_on_is_accepted_by_one_that_wants_it_and_given_back_by_one_that_does_not() {
    let mut giver = holding();
    let other = Member { gateway: GatewayId(4), incarnation: Incarnation(1) };
    giver.transfer(at(2.0), &report(), other);
    assert_eq!(giver.permit(at(2.0), &report()), None);
    let ask = giver.poll_requests(at(2.0)).remove(0);
    assert_eq!(ask.2, LeaseRequest::Transfer { number: number(1), to: other });
    giver.handle_reply(at(2.1), &report(), ask.0, &Reply::Offered { number: number(2) });
    assert_eq!(giver.status(at(2.1), &report()), LeaseStatus::Idle);

    let mut taker = holder();
    taker.lease_assigned(at(2.0), &report(), number(2));
    assert_eq!(taker.poll_requests(at(2.0))[0].2, LeaseRequest::Release { number: number(2) });
    let mut taker = holder();
    taker.acquire(at(0.0), &report());
    let refused = taker.poll_requests(at(0.0))[0].0;
    taker.handle_reply(
        at(0.1),
        &report(),
        refused,
        &Reply::Refused(Refusal::Taken { holder: me(), number: number(1) }),
    );
    taker.lease_assigned(at(0.5), &report(), number(2));
    assert_eq!(taker.permit(at(0.5), &report()), None);
    assert_eq!(taker.poll_requests(at(0.5))[0].2, LeaseRequest::Acquire { term: TERM });
}

#[test]
fn refused_it_asks_again_at_a_pace_and_sooner_when_the_lease_is_freed() {
    let mut holder = holder();
    holder.acquire(at(0.0), &report());
    let take = holder.poll_requests(at(0.0))[0].0;
    let taken = Refusal::Taken { holder: Member { gateway: GatewayId(4), ..me() }, number: number(1) };
    holder.handle_reply(at(0.1), &report(), take, &Reply::Refused(taken));
    let later = holder.next_wake().unwrap();
    assert!(later >= at(2.1) && later <= at(4.1), "{later:?}");
    holder.lease_freed(at(0.5), &report());
    assert!(holder.next_wake().unwrap() <= at(0.9));
}

#[test]
fn a_release_that_nobody_answers_is_left_to_the_expiry() {
    let mut holder = holding();
    holder.release(at(2.0), &report());
    let mut asked = 0;
    while let Some(now) = holder.next_wake() {
        asked += holder.poll_requests(now).len();
        assert!(asked < 50);
    }
    assert_eq!(asked, 8);
    assert_eq!(holder.status(at(60.0), &report()), LeaseStatus::Idle);
}
