//! The holder's side: whether this gateway may act now, by its own clock, and which requests it has to send.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fawnrouter::Time;

use crate::{FencingNumber, LeaseName, Member, Refusal, Reply};

/// How a gateway acquires and holds its leases.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderSettings {
    /// The term that is requested.
    pub term: Duration,
    /// The greatest ratio by which this gateway's clock and a voter's may diverge, for example 0.01. A grant
    /// is taken to last shorter by this ratio.
    pub drift: f64,
    /// The first and the longest pause between two requests that were not answered.
    pub retry: (Duration, Duration),
}

impl Default for HolderSettings {
    /// A term of 10 s; a drift of 1%, a hundred times the error of a quartz clock; pauses from 200 ms to 2 s.
    fn default() -> Self {
        let retry = (Duration::from_millis(200), Duration::from_secs(2));
        Self { term: Duration::from_secs(10), drift: 0.01, retry }
    }
}

/// A request to the voters. Their replies name the request, because its sending time determines how long a
/// grant lasts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Acquire the lease, or keep it.
    Acquire {
        /// The requested term.
        term: Duration,
    },
    /// Renew the lease under this number.
    Renew {
        /// The number.
        number: FencingNumber,
    },
    /// Release the lease.
    Release {
        /// The number.
        number: FencingNumber,
    },
    /// Transfer the lease to another gateway.
    Transfer {
        /// The number.
        number: FencingNumber,
        /// The other gateway.
        to: Member,
    },
}

/// Permission to act. To be looked up again before each act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The number that each act carries.
    pub number: FencingNumber,
    /// When the permit ends by this gateway's clock.
    pub until: Time,
}

/// The status of a lease at this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStatus {
    /// The gateway does not want the lease.
    Idle,
    /// The gateway requests the lease.
    Acquiring,
    /// The gateway holds the lease and may act.
    Held(Permit),
    /// The gateway held the lease and cannot tell whether it still does, because no renewal was answered in
    /// time. It must not act.
    Uncertain(FencingNumber),
    /// The gateway has stopped acting and is releasing the lease.
    Releasing(FencingNumber),
}

/// Requests per lease whose sending times are kept; a reply to an older one is ignored. With the longest
/// pause between two requests, these span more than a term.
const MAX_TRACKED_REQUESTS: usize = 8;
/// A grant is renewed when this fraction of it has passed, so that two renewals may be lost.
const RENEW_AFTER_FRACTION: f64 = 1.0 / 3.0;
/// Release requests that are sent without a reply before the lease is left to expire.
const MAX_RELEASE_ATTEMPTS: u32 = 8;

/// A request that may still be answered.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    id: u64,
    sent_at: Time,
    /// The number that the request is about; `None` for a request to acquire the lease.
    number: Option<FencingNumber>,
}

#[derive(Clone, Debug, Default)]
struct LeaseState {
    wanted: bool,
    /// The number under which this gateway holds the lease, as far as it knows.
    number: Option<FencingNumber>,
    /// Until when this gateway may act.
    until: Time,
    /// The number that is being released, and the gateway that it is transferred to, if any.
    releasing: Option<(FencingNumber, Option<Member>)>,
    sent: VecDeque<SentRequest>,
    next_request_at: Option<Time>,
    /// Requests sent since the last relevant reply.
    attempts: u32,
}

/// The leases of one gateway. It sends requests, and the voters' replies determine until when it may act.
#[derive(Clone, Debug)]
pub struct Holder {
    member: Member,
    settings: HolderSettings,
    leases: BTreeMap<LeaseName, LeaseState>,
    last_request_id: u64,
}

impl Holder {
    /// The holder of this incarnation of a gateway. `settings.drift` is limited to 0 to 0.5.
    #[must_use]
    pub fn new(member: Member, settings: HolderSettings) -> Self {
        let drift = if settings.drift.is_finite() { settings.drift.clamp(0.0, 0.5) } else { 0.5 };
        let settings = HolderSettings { drift, ..settings };
        Self { member, settings, leases: BTreeMap::new(), last_request_id: 0 }
    }

    /// The gateway that sends the requests.
    #[must_use]
    pub fn member(&self) -> Member {
        self.member
    }

    /// Wants the lease from now on: requests it until it is granted, and then keeps it renewed. `false` if
    /// the gateway wants as many leases as a table holds already.
    pub fn acquire(&mut self, now: Time, lease: &LeaseName) -> bool {
        if !self.leases.contains_key(lease) && self.leases.len() >= crate::LeaseTable::MAX_LEASES {
            return false;
        }
        let state = self.leases.entry(lease.clone()).or_default();
        if !state.wanted {
            (state.wanted, state.attempts) = (true, 0);
            if state.releasing.is_none() {
                state.next_request_at = Some(now);
            }
        }
        true
    }

    /// Releases the lease. The caller has stopped acting: from now on there is no permit.
    pub fn release(&mut self, now: Time, lease: &LeaseName) {
        self.give_up(now, lease, None);
    }

    /// Transfers the lease to another gateway, which holds it once it has accepted it. The same as
    /// [`Holder::release`] if this gateway does not hold the lease.
    pub fn transfer(&mut self, now: Time, lease: &LeaseName, to: Member) {
        self.give_up(now, lease, Some(to));
    }

    fn give_up(&mut self, now: Time, lease: &LeaseName, to: Option<Member>) {
        let Some(state) = self.leases.get_mut(lease) else { return };
        state.wanted = false;
        if let Some(number) = state.number.take() {
            state.releasing = Some((number, to));
            (state.attempts, state.next_request_at) = (0, Some(now));
        } else if state.releasing.is_none() {
            // A request to acquire the lease may be out. If it is granted, the lease is released then.
            state.next_request_at = None;
        }
    }

    /// The table shows that this gateway holds the lease under `number`, after a transfer or a grant whose
    /// reply was lost.
    pub fn lease_assigned(&mut self, now: Time, lease: &LeaseName, number: FencingNumber) {
        let state = self.leases.entry(lease.clone()).or_default();
        if state.number.is_some() || state.releasing.is_some() {
            return;
        }
        if state.wanted {
            state.next_request_at = Some(now);
        } else {
            state.releasing = Some((number, None));
            (state.next_request_at, state.attempts) = (Some(now), 0);
        }
    }

    /// The lease is free, as far as is known. Requests it soon instead of at the next regular attempt.
    pub fn lease_freed(&mut self, now: Time, lease: &LeaseName) {
        let soon = now.plus(self.jittered(self.settings.retry.0));
        let may_acquire = |s: &&mut LeaseState| s.wanted && s.number.is_none() && s.releasing.is_none();
        if let Some(state) = self.leases.get_mut(lease).filter(may_acquire) {
            state.attempts = 0;
            state.next_request_at = Some(state.next_request_at.map_or(soon, |at| at.min(soon)));
        }
    }

    /// The permit that is valid now, if any. To be looked up right before each act.
    #[must_use]
    pub fn permit(&self, now: Time, lease: &LeaseName) -> Option<Permit> {
        let state = self.leases.get(lease).filter(|state| state.wanted)?;
        state.number.filter(|_| now < state.until).map(|number| Permit { number, until: state.until })
    }

    /// The status of the lease at this gateway.
    #[must_use]
    pub fn status(&self, now: Time, lease: &LeaseName) -> LeaseStatus {
        let Some(state) = self.leases.get(lease) else { return LeaseStatus::Idle };
        match (self.permit(now, lease), state.number, state.releasing) {
            (Some(permit), _, _) => LeaseStatus::Held(permit),
            (None, Some(number), _) => LeaseStatus::Uncertain(number),
            (None, None, Some((number, _))) => LeaseStatus::Releasing(number),
            (None, None, None) if state.wanted => LeaseStatus::Acquiring,
            (None, None, None) => LeaseStatus::Idle,
        }
    }

    /// The leases that the gateway wants or is releasing.
    pub fn leases(&self) -> impl Iterator<Item = &LeaseName> {
        self.leases.keys()
    }

    /// When [`Holder::poll_requests`] next has something to send.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.leases.values().filter_map(|state| state.next_request_at).min()
    }

    /// The requests to send now, with their ids. `now` is taken as the time of sending, so it has to be read
    /// before the bytes go out.
    pub fn poll_requests(&mut self, now: Time) -> Vec<(u64, LeaseName, LeaseRequest)> {
        let mut requests = Vec::new();
        let (first_pause, max_pause) = self.settings.retry;
        let term = self.settings.term;
        for (lease, state) in &mut self.leases {
            if state.next_request_at.is_none_or(|at| now < at) {
                continue;
            }
            let request = match (state.releasing, state.number) {
                // No voter replies: the lease is left to expire.
                (Some(_), _) if state.attempts >= MAX_RELEASE_ATTEMPTS => {
                    state.releasing = None;
                    state.next_request_at = state.wanted.then_some(now);
                    state.attempts = 0;
                    continue;
                }
                (Some((number, Some(to))), _) => LeaseRequest::Transfer { number, to },
                (Some((number, None)), _) => LeaseRequest::Release { number },
                (None, Some(number)) => LeaseRequest::Renew { number },
                (None, None) if state.wanted => LeaseRequest::Acquire { term },
                (None, None) => {
                    state.next_request_at = None;
                    continue;
                }
            };
            self.last_request_id += 1;
            let id = self.last_request_id;
            let number = state.releasing.map(|(number, _)| number).or(state.number);
            state.sent.push_back(SentRequest { id, sent_at: now, number });
            if state.sent.len() > MAX_TRACKED_REQUESTS {
                state.sent.pop_front();
            }
            let pause = first_pause.saturating_mul(1 << state.attempts.min(16)).min(max_pause);
            state.next_request_at = Some(now.plus(pause));
            state.attempts += 1;
            requests.push((id, lease.clone(), request));
        }
        self.leases.retain(|_, state| state.wanted || state.releasing.is_some() || !state.sent.is_empty());
        requests
    }

    /// Handles the voters' reply to a request. A reply to an unknown request (a duplicate, or one that is too
    /// old) changes nothing: without its sending time it is not known how long a grant lasts.
    pub fn handle_reply(&mut self, now: Time, lease: &LeaseName, request: u64, reply: &Reply) {
        let pause = self.jittered(self.settings.retry.1);
        let drift = self.settings.drift;
        let Some(state) = self.leases.get_mut(lease) else { return };
        let Some(position) = state.sent.iter().position(|sent| sent.id == request) else { return };
        let Some(sent) = state.sent.remove(position) else { return };
        let released_number = state.releasing.map(|(number, _)| number);
        let about_release = sent.number.is_some() && sent.number == released_number;
        match reply {
            Reply::Granted { number, term } => {
                if released_number.is_some_and(|released| *number <= released)
                    || state.number.is_some_and(|held| *number < held)
                {
                    // The grant belongs to an earlier hold of the lease.
                } else if !state.wanted {
                    state.releasing = Some((*number, None));
                    (state.next_request_at, state.attempts) = (Some(now), 0);
                } else {
                    let lasts = term.mul_f64(1.0 - drift);
                    let until = sent.sent_at.plus(lasts);
                    state.until = if state.number == Some(*number) { state.until.max(until) } else { until };
                    (state.number, state.releasing, state.attempts) = (Some(*number), None, 0);
                    // A grant that ran out before its reply came is renewed at once.
                    let renew_at = state.until.minus(lasts.mul_f64(1.0 - RENEW_AFTER_FRACTION));
                    state.next_request_at = Some(renew_at.max(now));
                }
            }
            // The lease was released, or this gateway no longer held it.
            _ if about_release => {
                state.releasing = None;
                (state.next_request_at, state.attempts) = (state.wanted.then(|| now.plus(pause)), 0);
            }
            // The lease was taken away: the gateway must stop acting even if its term has not ended.
            Reply::Refused(Refusal::NotHeld) if sent.number.is_some() && sent.number == state.number => {
                state.number = None;
                (state.next_request_at, state.attempts) = (state.wanted.then_some(now), 0);
            }
            // Another gateway holds the lease, or there is no room: try again after a pause.
            Reply::Refused(_)
                if sent.number.is_none() && state.number.is_none() && state.releasing.is_none() =>
            {
                (state.next_request_at, state.attempts) = (state.wanted.then(|| now.plus(pause)), 0);
            }
            // The reply is about an earlier hold of the lease.
            _ => {}
        }
    }

    /// The pause, lengthened by up to its own length depending on the gateway, so that gateways that want the
    /// same lease do not all send their requests at once.
    fn jittered(&self, pause: Duration) -> Duration {
        let hash = (u64::from(self.member.gateway.0) ^ self.member.incarnation.0)
            .wrapping_mul(0x9E37_79B9_7F4A_7C15)
            >> 56;
        pause + pause.mul_f64(hash as f64 / 256.0)
    }
}
