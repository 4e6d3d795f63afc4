//! The holder's side: whether this gateway may act now, by its own clock, and what it has to ask.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fawnrouter::Time;

use crate::{FencingNumber, LeaseName, Member, Refusal, Reply};

/// How a gateway holds its leases.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderSettings {
    /// For how long a lease is asked for.
    pub term: Duration,
    /// The greatest ratio by which this gateway's clock and a voter's run apart, for example 0.01. A grant counts for so
    /// much less here.
    pub drift: f64,
    /// Between two requests that nobody answered: at first, and at the most.
    pub retry: (Duration, Duration),
}

impl Default for HolderSettings {
    /// 10 s; 1%, a hundred times what a crystal is off by; 200 ms to 2 s.
    fn default() -> Self {
        let retry = (Duration::from_millis(200), Duration::from_secs(2));
        Self { term: Duration::from_secs(10), drift: 0.01, retry }
    }
}

/// Something to ask of the voters. Answers name the request: when it was sent is what counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseRequest {
    /// To have the lease, or to go on having it.
    Acquire {
        /// For how long.
        term: Duration,
    },
    /// To go on under this number.
    Renew {
        /// The number.
        number: FencingNumber,
    },
    /// To give it back.
    Release {
        /// The number.
        number: FencingNumber,
    },
    /// To give it to another.
    Transfer {
        /// The number.
        number: FencingNumber,
        /// The other.
        to: Member,
    },
}

/// Leave to act, to be looked up anew before each act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// What each act carries.
    pub number: FencingNumber,
    /// When it ends by this gateway's clock.
    pub until: Time,
}

/// How this gateway stands to a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStatus {
    /// It doesn't want it.
    Idle,
    /// It asks for it.
    Acquiring,
    /// It may act.
    Held(Permit),
    /// It held it and cannot tell whether it still does, as no renewal was answered in time. It must not act.
    Uncertain(FencingNumber),
    /// It has stopped acting and tells the voters so.
    Releasing(FencingNumber),
}

/// Requests of one lease whose sending times are kept; the answer to an older one counts as none. With the longest pause
/// between two, these span more than a term.
const KEPT: usize = 8;
/// A grant is renewed when this part of it has passed, so that two renewals can be lost.
const RENEW_AFTER: f64 = 1.0 / 3.0;
/// Releases asked before a gateway leaves the lease to its expiry.
const RELEASES: u32 = 8;

/// A request that may still be answered.
#[derive(Clone, Copy, Debug)]
struct Sent {
    request: u64,
    at: Time,
    /// What it was about; none for one to take a lease.
    number: Option<FencingNumber>,
}

#[derive(Clone, Debug, Default)]
struct Lease {
    wanted: bool,
    /// The number it is held under, as far as known.
    number: Option<FencingNumber>,
    /// Until when this gateway may act.
    until: Time,
    /// What it is giving back, and to whom.
    leaving: Option<(FencingNumber, Option<Member>)>,
    sent: VecDeque<Sent>,
    ask_at: Option<Time>,
    tries: u32,
}

/// The leases of one gateway. It asks, and the voters' answers say until when it may act.
#[derive(Clone, Debug)]
pub struct Holder {
    me: Member,
    settings: HolderSettings,
    leases: BTreeMap<LeaseName, Lease>,
    requests: u64,
}

impl Holder {
    /// The holder's side of this life of a gateway. `settings.drift` is taken to lie in 0 to 0.5.
    #[must_use]
    pub fn new(me: Member, settings: HolderSettings) -> Self {
        let drift = if settings.drift.is_finite() { settings.drift.clamp(0.0, 0.5) } else { 0.5 };
        Self { me, settings: HolderSettings { drift, ..settings }, leases: BTreeMap::new(), requests: 0 }
    }

    /// Who asks.
    #[must_use]
    pub fn member(&self) -> Member {
        self.me
    }

    /// Wants the lease from now on, and asks until it has it. False where it wants as many as a table holds already.
    pub fn acquire(&mut self, now: Time, lease: &LeaseName) -> bool {
        if !self.leases.contains_key(lease) && self.leases.len() >= crate::LeaseTable::MAX_LEASES {
            return false;
        }
        let l = self.leases.entry(lease.clone()).or_default();
        if !l.wanted {
            (l.wanted, l.tries) = (true, 0);
            if l.leaving.is_none() {
                l.ask_at = Some(now);
            }
        }
        true
    }

    /// Does not want the lease any more. The caller has stopped acting: from now on there is no permit.
    pub fn release(&mut self, now: Time, lease: &LeaseName) {
        self.part(now, lease, None);
    }

    /// Gives the lease to another gateway, which has it once it has accepted it. As [`Holder::release`] where it isn't held.
    pub fn transfer(&mut self, now: Time, lease: &LeaseName, to: Member) {
        self.part(now, lease, Some(to));
    }

    fn part(&mut self, now: Time, lease: &LeaseName, to: Option<Member>) {
        let Some(l) = self.leases.get_mut(lease) else { return };
        l.wanted = false;
        if let Some(number) = l.number.take() {
            l.leaving = Some((number, to));
            (l.tries, l.ask_at) = (0, Some(now));
        } else if l.leaving.is_none() {
            // A request may be out: its answer is answered by a release.
            l.ask_at = None;
        }
    }

    /// The table shows that the lease is this gateway's, by number: one handed on to it, or one whose grant got lost.
    pub fn lease_assigned(&mut self, now: Time, lease: &LeaseName, number: FencingNumber) {
        let l = self.leases.entry(lease.clone()).or_default();
        if l.number.is_some() || l.leaving.is_some() {
            return;
        }
        if l.wanted {
            l.ask_at = Some(now);
        } else {
            (l.leaving, l.ask_at, l.tries) = (Some((number, None)), Some(now), 0);
        }
    }

    /// The lease is free, as far as is known: asks soon instead of at the next turn.
    pub fn lease_freed(&mut self, now: Time, lease: &LeaseName) {
        let pause = self.spread(self.settings.retry.0);
        if let Some(l) =
            self.leases.get_mut(lease).filter(|l| l.wanted && l.number.is_none() && l.leaving.is_none())
        {
            l.tries = 0;
            l.ask_at = Some(l.ask_at.map_or(now.plus(pause), |at| at.min(now.plus(pause))));
        }
    }

    /// The time until which a permit holds now, and its number. To be looked up right before each act.
    #[must_use]
    pub fn permit(&self, now: Time, lease: &LeaseName) -> Option<Permit> {
        let l = self.leases.get(lease).filter(|l| l.wanted)?;
        l.number.filter(|_| now < l.until).map(|number| Permit { number, until: l.until })
    }

    /// How this gateway stands to the lease.
    #[must_use]
    pub fn status(&self, now: Time, lease: &LeaseName) -> LeaseStatus {
        let Some(l) = self.leases.get(lease) else { return LeaseStatus::Idle };
        match (self.permit(now, lease), l.number, l.leaving) {
            (Some(permit), _, _) => LeaseStatus::Held(permit),
            (None, Some(number), _) => LeaseStatus::Uncertain(number),
            (None, None, Some((number, _))) => LeaseStatus::Releasing(number),
            (None, None, None) if l.wanted => LeaseStatus::Acquiring,
            (None, None, None) => LeaseStatus::Idle,
        }
    }

    /// The leases that it wants or is leaving.
    pub fn leases(&self) -> impl Iterator<Item = &LeaseName> {
        self.leases.keys()
    }

    /// When [`Holder::poll_requests`] has something to send.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.leases.values().filter_map(|l| l.ask_at).min()
    }

    /// What is to be sent now, with the numbers of the requests. `now` is taken for the time of sending, so it has to be
    /// read before the bytes go out.
    pub fn poll_requests(&mut self, now: Time) -> Vec<(u64, LeaseName, LeaseRequest)> {
        let mut asks = Vec::new();
        let (first, most) = self.settings.retry;
        let term = self.settings.term;
        for (lease, l) in &mut self.leases {
            if l.ask_at.is_none_or(|at| now < at) {
                continue;
            }
            let ask = match (l.leaving, l.number) {
                // Nobody answers: the lease is left to its expiry.
                (Some(_), _) if l.tries >= RELEASES => {
                    l.leaving = None;
                    l.ask_at = l.wanted.then_some(now);
                    l.tries = 0;
                    continue;
                }
                (Some((number, Some(to))), _) => LeaseRequest::Transfer { number, to },
                (Some((number, None)), _) => LeaseRequest::Release { number },
                (None, Some(number)) => LeaseRequest::Renew { number },
                (None, None) if l.wanted => LeaseRequest::Acquire { term },
                (None, None) => {
                    l.ask_at = None;
                    continue;
                }
            };
            self.requests += 1;
            let number = l.leaving.map(|(number, _)| number).or(l.number);
            l.sent.push_back(Sent { request: self.requests, at: now, number });
            if l.sent.len() > KEPT {
                l.sent.pop_front();
            }
            l.ask_at = Some(now.plus(first.saturating_mul(1 << l.tries.min(16)).min(most)));
            l.tries += 1;
            asks.push((self.requests, lease.clone(), ask));
        }
        self.leases.retain(|_, l| l.wanted || l.leaving.is_some() || !l.sent.is_empty());
        asks
    }

    /// The voters' answer to a request. An answer to one that isn't known (doubled, or long overtaken) changes nothing:
    /// without the time of its sending nothing can be said about how long it holds.
    pub fn handle_reply(&mut self, now: Time, lease: &LeaseName, request: u64, reply: &Reply) {
        let pause = self.spread(self.settings.retry.1);
        let drift = self.settings.drift;
        let Some(l) = self.leases.get_mut(lease) else { return };
        let Some(place) = l.sent.iter().position(|sent| sent.request == request) else { return };
        let Some(sent) = l.sent.remove(place) else { return };
        let about_leaving = sent.number.is_some() && sent.number == l.leaving.map(|(number, _)| number);
        match reply {
            Reply::Granted { number, term } => {
                if l.leaving.is_some_and(|(left, _)| *number <= left)
                    || l.number.is_some_and(|held| *number < held)
                {
                    // Of a hold that is over.
                } else if !l.wanted {
                    (l.leaving, l.ask_at, l.tries) = (Some((*number, None)), Some(now), 0);
                } else {
                    let holds = term.mul_f64(1.0 - drift);
                    let until = sent.at.plus(holds);
                    l.until = if l.number == Some(*number) { l.until.max(until) } else { until };
                    (l.number, l.leaving, l.tries) = (Some(*number), None, 0);
                    // One that has run out on its way is renewed at once.
                    let renew = l.until.minus(holds.mul_f64(1.0 - RENEW_AFTER));
                    l.ask_at = Some(renew.max(now));
                }
            }
            // Given back, or no longer this gateway's to give.
            _ if about_leaving => {
                (l.leaving, l.ask_at, l.tries) = (None, l.wanted.then(|| now.plus(pause)), 0);
            }
            // Taken back: no more acts, even if by the clock there was time left.
            Reply::Refused(Refusal::NotHeld) if sent.number.is_some() && sent.number == l.number => {
                (l.number, l.ask_at, l.tries) = (None, l.wanted.then_some(now), 0);
            }
            // Another has it, or there is no room: asked again at a pace.
            Reply::Refused(_) if sent.number.is_none() && l.number.is_none() && l.leaving.is_none() => {
                (l.ask_at, l.tries) = (l.wanted.then(|| now.plus(pause)), 0);
            }
            // About a hold that is over.
            _ => {}
        }
    }

    /// A pause, longer by up to as much again for some gateways than for others, so that those that want the same lease
    /// do not all come at once.
    fn spread(&self, pause: Duration) -> Duration {
        let mixed =
            (u64::from(self.me.gateway.0) ^ self.me.incarnation.0).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 56;
        pause + pause.mul_f64(mixed as f64 / 256.0)
    }
}
