//! The holder's side: when it may act, and which requests it sends.

use std::time::Duration;

use fawnrouter::Time;
use fawnrouter_lease::{
    Epoch, FencingNumber, GatewayId, Holder, HolderSettings, Incarnation, LeaseName, LeaseRequest,
    LeaseStatus, Member, Refusal, Reply,
};

const TERM: Duration = Duration::from_secs(10);

fn lease() -> LeaseName {
    "report".parse().unwrap()
}

fn at_s(seconds: f64) -> Time {
    Time(Duration::from_secs_f64(seconds))
}

fn member() -> Member {
    Member { gateway: GatewayId(3), incarnation: Incarnation(9) }
}

fn holder() -> Holder {
    Holder::new(member(), HolderSettings { term: TERM, drift: 0.1, ..HolderSettings::default() })
}

fn granted(count: u64) -> Reply {
    Reply::Granted { number: FencingNumber { epoch: Epoch(0), count }, term: TERM }
}

fn number(count: u64) -> FencingNumber {
    FencingNumber { epoch: Epoch(0), count }
}

/// A holder of the lease under `number(1)`, by a request sent at 1 s.
fn holder_of_lease() -> Holder {
    let mut holder = holder();
    holder.acquire(at_s(1.0), &lease());
    let requests = holder.poll_requests(at_s(1.0));
    assert_eq!(requests[0].2, LeaseRequest::Acquire { term: TERM });
    holder.handle_reply(at_s(1.5), &lease(), requests[0].0, &granted(1));
    holder
}

#[test]
fn a_permit_lasts_for_the_term_less_the_drift_from_when_the_request_was_sent() {
    let holder = holder_of_lease();
    let permit = holder.permit(at_s(1.5), &lease()).unwrap();
    assert_eq!((permit.number, permit.until), (number(1), at_s(10.0)));
    assert!(holder.permit(at_s(9.999), &lease()).is_some());
    assert_eq!(holder.permit(at_s(10.0), &lease()), None);
    assert_eq!(holder.status(at_s(10.0), &lease()), LeaseStatus::Uncertain(number(1)));
}

#[test]
fn a_grant_that_arrives_after_its_term_gives_no_permit_and_is_renewed_at_once() {
    let mut holder = holder();
    holder.acquire(at_s(0.0), &lease());
    let first = holder.poll_requests(at_s(0.0))[0].0;
    holder.handle_reply(at_s(9.5), &lease(), first, &granted(1));
    assert_eq!(holder.permit(at_s(9.5), &lease()), None);
    let requests = holder.poll_requests(at_s(9.5));
    assert_eq!(requests[0].2, LeaseRequest::Renew { number: number(1) });
    holder.handle_reply(at_s(9.6), &lease(), requests[0].0, &granted(1));
    assert_eq!(holder.permit(at_s(9.6), &lease()).unwrap().until, at_s(18.5));
}

#[test]
fn it_renews_after_a_third_of_the_term_and_retries_without_a_reply() {
    let mut holder = holder_of_lease();
    assert_eq!(holder.next_wake(), Some(at_s(4.0)));
    let mut sent = Vec::new();
    let mut now = at_s(4.0);
    while now < at_s(10.0) {
        for (id, _, request) in holder.poll_requests(now) {
            assert_eq!(request, LeaseRequest::Renew { number: number(1) });
            sent.push((id, now));
        }
        now = holder.next_wake().unwrap();
    }
    assert!(sent.len() >= 3, "{sent:?}");
    // The grant in the second reply counts from when the second request was sent, however late it comes.
    let (second, sent_at) = sent[1];
    holder.handle_reply(at_s(9.9), &lease(), second, &granted(1));
    assert_eq!(holder.permit(at_s(9.9), &lease()).unwrap().until, sent_at.plus(TERM.mul_f64(0.9)));
    // A reply to an earlier request does not shorten the permit, and a duplicate reply changes nothing.
    holder.handle_reply(at_s(9.95), &lease(), sent[0].0, &granted(1));
    holder.handle_reply(at_s(9.95), &lease(), second, &granted(1));
    assert_eq!(holder.permit(at_s(9.95), &lease()).unwrap().until, sent_at.plus(TERM.mul_f64(0.9)));
}

#[test]
fn replies_to_requests_that_it_did_not_send_give_no_permit() {
    let mut holder = holder();
    holder.acquire(at_s(0.0), &lease());
    holder.handle_reply(at_s(0.1), &lease(), 77, &granted(1));
    assert_eq!(holder.permit(at_s(0.1), &lease()), None);
}

#[test]
fn a_refused_renewal_ends_the_permit_at_once_and_the_lease_is_requested_again() {
    let mut holder = holder_of_lease();
    let renewal = holder.poll_requests(at_s(4.0))[0].0;
    holder.handle_reply(at_s(4.1), &lease(), renewal, &Reply::Refused(Refusal::NotHeld));
    assert_eq!(holder.permit(at_s(4.1), &lease()), None);
    let requests = holder.poll_requests(at_s(4.1));
    assert_eq!(requests[0].2, LeaseRequest::Acquire { term: TERM });
    holder.handle_reply(at_s(4.2), &lease(), requests[0].0, &granted(5));
    assert_eq!(holder.permit(at_s(4.2), &lease()).unwrap().number, number(5));
}

#[test]
fn a_late_refusal_of_an_earlier_hold_does_not_affect_the_present_one() {
    let mut holder = holder_of_lease();
    let old = holder.poll_requests(at_s(4.0))[0].0;
    let resent = holder.poll_requests(at_s(4.2))[0].0;
    holder.handle_reply(at_s(4.3), &lease(), resent, &Reply::Refused(Refusal::NotHeld));
    let acquire = holder.poll_requests(at_s(4.3))[0].0;
    holder.handle_reply(at_s(4.4), &lease(), acquire, &granted(5));
    let before = holder.next_wake();
    holder.handle_reply(at_s(4.5), &lease(), old, &Reply::Refused(Refusal::NotHeld));
    assert_eq!(holder.permit(at_s(4.5), &lease()).unwrap().number, number(5));
    assert_eq!(holder.next_wake(), before);
}

#[test]
fn release_ends_the_permit_at_once_and_is_resent_until_answered() {
    let mut holder = holder_of_lease();
    holder.release(at_s(2.0), &lease());
    assert_eq!(holder.permit(at_s(2.0), &lease()), None);
    assert_eq!(holder.status(at_s(2.0), &lease()), LeaseStatus::Releasing(number(1)));
    let first = holder.poll_requests(at_s(2.0));
    assert_eq!(first[0].2, LeaseRequest::Release { number: number(1) });
    let again = holder.poll_requests(holder.next_wake().unwrap());
    assert_eq!(again[0].2, LeaseRequest::Release { number: number(1) });
    holder.handle_reply(at_s(2.5), &lease(), again[0].0, &Reply::Free);
    assert_eq!(holder.status(at_s(2.5), &lease()), LeaseStatus::Idle);
    assert_eq!(holder.next_wake(), None);
}

#[test]
fn a_lease_granted_after_it_was_given_up_is_released() {
    let mut holder = holder();
    holder.acquire(at_s(0.0), &lease());
    let acquire = holder.poll_requests(at_s(0.0))[0].0;
    holder.release(at_s(0.1), &lease());
    assert!(holder.poll_requests(at_s(5.0)).is_empty());
    holder.handle_reply(at_s(5.0), &lease(), acquire, &granted(1));
    assert_eq!(holder.permit(at_s(5.0), &lease()), None);
    assert_eq!(holder.poll_requests(at_s(5.0))[0].2, LeaseRequest::Release { number: number(1) });
}

#[test]
fn a_lease_wanted_again_during_its_release_is_requested_afterwards() {
    let mut holder = holder_of_lease();
    holder.release(at_s(2.0), &lease());
    let release = holder.poll_requests(at_s(2.0))[0].0;
    holder.acquire(at_s(2.1), &lease());
    assert_eq!(holder.permit(at_s(2.1), &lease()), None);
    holder.handle_reply(at_s(2.2), &lease(), release, &Reply::Free);
    let next = holder.next_wake().unwrap();
    assert_eq!(holder.poll_requests(next)[0].2, LeaseRequest::Acquire { term: TERM });
}

#[test]
fn a_transferred_lease_is_accepted_by_a_gateway_that_wants_it_and_released_by_one_that_does_not() {
    let mut old_holder = holder_of_lease();
    let other = Member { gateway: GatewayId(4), incarnation: Incarnation(1) };
    old_holder.transfer(at_s(2.0), &lease(), other);
    assert_eq!(old_holder.permit(at_s(2.0), &lease()), None);
    let request = old_holder.poll_requests(at_s(2.0)).remove(0);
    assert_eq!(request.2, LeaseRequest::Transfer { number: number(1), to: other });
    old_holder.handle_reply(at_s(2.1), &lease(), request.0, &Reply::Offered { number: number(2) });
    assert_eq!(old_holder.status(at_s(2.1), &lease()), LeaseStatus::Idle);

    let mut new_holder = holder();
    new_holder.lease_assigned(at_s(2.0), &lease(), number(2));
    assert_eq!(new_holder.poll_requests(at_s(2.0))[0].2, LeaseRequest::Release { number: number(2) });
    let mut new_holder = holder();
    new_holder.acquire(at_s(0.0), &lease());
    let refused = new_holder.poll_requests(at_s(0.0))[0].0;
    new_holder.handle_reply(
        at_s(0.1),
        &lease(),
        refused,
        &Reply::Refused(Refusal::Taken { holder: member(), number: number(1) }),
    );
    new_holder.lease_assigned(at_s(0.5), &lease(), number(2));
    assert_eq!(new_holder.permit(at_s(0.5), &lease()), None);
    assert_eq!(new_holder.poll_requests(at_s(0.5))[0].2, LeaseRequest::Acquire { term: TERM });
}

#[test]
fn a_refused_request_is_retried_after_a_pause_or_sooner_when_the_lease_is_freed() {
    let mut holder = holder();
    holder.acquire(at_s(0.0), &lease());
    let acquire = holder.poll_requests(at_s(0.0))[0].0;
    let taken = Refusal::Taken { holder: Member { gateway: GatewayId(4), ..member() }, number: number(1) };
    holder.handle_reply(at_s(0.1), &lease(), acquire, &Reply::Refused(taken));
    let later = holder.next_wake().unwrap();
    assert!(later >= at_s(2.1) && later <= at_s(4.1), "{later:?}");
    holder.lease_freed(at_s(0.5), &lease());
    assert!(holder.next_wake().unwrap() <= at_s(0.9));
}

#[test]
fn a_release_without_a_reply_is_given_up_and_the_lease_left_to_expire() {
    let mut holder = holder_of_lease();
    holder.release(at_s(2.0), &lease());
    let mut attempts = 0;
    while let Some(now) = holder.next_wake() {
        attempts += holder.poll_requests(now).len();
        assert!(attempts < 50);
    }
    assert_eq!(attempts, 8);
    assert_eq!(holder.status(at_s(60.0), &lease()), LeaseStatus::Idle);
}
