//! Which set-up reaches the decisions on routes, and when: a rate and a number of calls by client, and when more is
//! held there than is soon sent, a queue that is fair among clients (see [`FairQueue`]). What is turned away here gets its
//! final answer at once, so that a client's burst costs that client and nobody else.
//!
//! | module | what it does |
//! | --- | --- |
//! | `settings` | what the decision goes by |
//! | `decision` | the decision and its reasons |
//! | `call` | whose a call is, and where |
//! | `call_counts` | counts of calls by client and in all |
//! | `rates` | set-ups a second, by client and of all strangers |
//! | `queue` | whose turn it is among those that wait |
//! | `send_rate` | how many set-ups are sent a second |

mod call;
mod call_counts;
mod decision;
mod queue;
mod rates;
mod send_rate;
mod settings;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::fair_queue::{FairQueue, FairQueueSettings};
use crate::retry_after_spread::RetryAfterSpread;

use call::{Entry, Holder, Lane};
use rates::Rates;
use send_rate::SendRate;

pub use call::{CallState, ClientIdentity};
pub use decision::{SetUpDecision, SetUpRefusal};
pub use settings::{ClientLimits, SetUpSettings};

/// The decisions on set-ups of one gateway. Calls go by the embedder's numbers `u64`.
#[derive(Debug)]
pub struct SetUpAdmission {
    settings: SetUpSettings,
    limits: BTreeMap<Arc<str>, ClientLimits>,
    rates: Rates,
    /// Whose turn it is: a call of a known client, or `None` for the next stranger's.
    lanes: FairQueue<Lane, Option<u64>>,
    /// Whose turn it is among strangers.
    inner: FairQueue<IpAddr, u64>,
    entries: BTreeMap<u64, Entry>,
    holders: BTreeMap<ClientIdentity, Holder>,
    held: usize,
    /// Of these, strangers'.
    held_strangers: usize,
    sent: SendRate,
    spread: RetryAfterSpread,
    refused: BTreeMap<SetUpRefusal, u64>,
    now: Duration,
}

impl SetUpAdmission {
    /// Begins with no calls.
    #[must_use]
    pub fn new(settings: SetUpSettings) -> Self {
        let fair = FairQueueSettings {
            max_waiting: settings.max_waiting,
            max_waiting_per_client: settings.max_waiting,
        };
        Self {
            rates: Rates::new(&settings),
            lanes: FairQueue::new(fair),
            inner: FairQueue::new(fair),
            spread: RetryAfterSpread::new(settings.seed),
            settings,
            limits: BTreeMap::new(),
            entries: BTreeMap::new(),
            holders: BTreeMap::new(),
            held: 0,
            held_strangers: 0,
            sent: SendRate::default(),
            refused: BTreeMap::new(),
            now: Duration::ZERO,
        }
    }

    /// The clients that are known now, with their limits. Calls that they have go on.
    pub fn set_clients(&mut self, limits: impl IntoIterator<Item = (Arc<str>, ClientLimits)>) {
        self.limits = limits.into_iter().collect();
        self.rates.keep_clients(|name| self.limits.contains_key(name));
    }

    fn limits_of(&self, who: &ClientIdentity) -> ClientLimits {
        match who {
            ClientIdentity::Known(name) => self.limits.get(name).copied().unwrap_or(self.settings.known),
            ClientIdentity::Unknown(_) => self.settings.unknown,
        }
    }

    fn refuse(&mut self, why: SetUpRefusal, least: Duration) -> SetUpDecision {
        *self.refused.entry(why).or_default() += 1;
        SetUpDecision::Refuse { reason: why, retry_after: self.spread.next(least, self.settings.retry_after) }
    }

    /// Judges a new set-up. The second part is a call that waited and is refused in this one's favour.
    pub fn offer(
        &mut self,
        now: Duration,
        who: ClientIdentity,
        call: u64,
    ) -> (SetUpDecision, Option<(u64, SetUpDecision)>) {
        self.now = self.now.max(now);
        let limits = self.limits_of(&who);
        if let Err((why, least)) = self.judge_client(&who, &limits) {
            return (self.refuse(why, least), None);
        }
        if self.may_go_at_once(&who) {
            self.enter(call, who, CallState::Routing);
            return (SetUpDecision::Proceed, None);
        }
        match self.line_up(&who, limits.weight, call) {
            Ok(pushed) => {
                self.enter(call, who, CallState::Waiting);
                let pushed = pushed.map(|other| {
                    self.forget(other);
                    (other, self.refuse(SetUpRefusal::Full, Duration::ZERO))
                });
                (SetUpDecision::Wait, pushed)
            }
            Err(()) => (self.refuse(SetUpRefusal::Full, Duration::ZERO), None),
        }
    }

    /// The checks that concern a set-up's client alone.
    fn judge_client(
        &mut self,
        who: &ClientIdentity,
        limits: &ClientLimits,
    ) -> Result<(), (SetUpRefusal, Duration)> {
        let holder = self.holders.get(who).copied().unwrap_or_default();
        if holder.calls >= limits.calls {
            return Err((SetUpRefusal::Calls, Duration::ZERO));
        }
        if holder.pending >= limits.pending {
            return Err((SetUpRefusal::Pending, Duration::ZERO));
        }
        // Last of these checks: a refusal above must not use up its rate.
        self.rates.arrive(self.now, who, &limits.rate)
    }

    /// Nobody waits while there is room; while somebody waits, nobody of his kind goes past.
    fn may_go_at_once(&self, who: &ClientIdentity) -> bool {
        let (waits_before_it, room) = match who {
            ClientIdentity::Known(_) => (self.lanes.waiting() - self.inner.waiting(), self.has_room()),
            ClientIdentity::Unknown(_) => {
                (self.lanes.waiting(), self.has_room() && self.has_room_for_strangers())
            }
        };
        waits_before_it == 0 && room
    }

    /// Set-ups that the decisions may hold now.
    #[must_use]
    pub fn routing_limit(&self) -> usize {
        let sent = self.sent.per_second() * self.settings.routing_span.as_secs_f64();
        self.settings.min_routing.saturating_add(sent as usize)
    }

    fn has_room(&self) -> bool {
        self.held < self.routing_limit()
    }

    fn has_room_for_strangers(&self) -> bool {
        let room = (self.routing_limit() as f64 * self.settings.unknown_share) as usize;
        self.held_strangers < room.max(1)
    }

    /// A call has waited for as long as one may: what it is told. `None` if it does not wait.
    pub fn wait_expired(&mut self, now: Duration, call: u64) -> Option<SetUpDecision> {
        let waits = self.entries.get(&call).is_some_and(|e| e.state == CallState::Waiting);
        if !waits {
            return None;
        }
        self.call_ended(now, call);
        Some(self.refuse(SetUpRefusal::WaitExpired, Duration::ZERO))
    }

    /// Set-ups that wait here.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.lanes.waiting()
    }

    /// Set-ups that the decisions hold.
    #[must_use]
    pub const fn routing(&self) -> usize {
        self.held
    }

    /// Refusals by reason.
    #[must_use]
    pub const fn refused(&self) -> &BTreeMap<SetUpRefusal, u64> {
        &self.refused
    }

    /// How long one may wait here.
    #[must_use]
    pub const fn max_wait(&self) -> Duration {
        self.settings.max_wait
    }
}
