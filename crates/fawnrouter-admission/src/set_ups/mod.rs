//! Decides which set-ups are passed to routing, and when. Routing is the controller, which chooses the switch
//! for a set-up. Each client has a rate and a limit of calls. When routing holds
//! [`routing_limit`](SetUpAdmission::routing_limit) set-ups, about as many as are soon sent, further ones
//! wait in a queue that is fair among clients (see [`FairQueue`]). A set-up that is refused here gets its
//! final response at once, so that a client's burst costs only that client.
//!
//! A known client has authenticated and has a name; an unknown one is told apart by its address only.
//!
//! | module | what it does |
//! | --- | --- |
//! | `settings` | the settings |
//! | `decision` | the decision and its reasons |
//! | `call` | a call's client and state |
//! | `call_counts` | counts of calls by client and in total |
//! | `rates` | set-up rates, by client and of all unknown clients |
//! | `queue` | the queue of waiting set-ups |
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

use call::{Call, ClientUsage, QueueOwner};
use rates::Rates;
use send_rate::SendRate;

pub use call::{CallState, ClientIdentity};
pub use decision::{SetUpDecision, SetUpRefusal};
pub use settings::{ClientLimits, SetUpSettings};

/// Set-up admission of one gateway. Calls are identified by numbers (`u64`) that the user of this type
/// chooses.
#[derive(Debug)]
pub struct SetUpAdmission {
    settings: SetUpSettings,
    limits: BTreeMap<Arc<str>, ClientLimits>,
    rates: Rates,
    /// All waiting set-ups. An entry is the call of a known client, or `None`: a place for the call that is
    /// next in `unknown_queue` when its turn comes.
    queue: FairQueue<QueueOwner, Option<u64>>,
    /// The waiting set-ups of unknown clients, by address.
    unknown_queue: FairQueue<IpAddr, u64>,
    calls: BTreeMap<u64, Call>,
    usage: BTreeMap<ClientIdentity, ClientUsage>,
    /// Calls that routing holds.
    in_routing: usize,
    /// Of these, calls of unknown clients.
    in_routing_unknown: usize,
    send_rate: SendRate,
    spread: RetryAfterSpread,
    refused: BTreeMap<SetUpRefusal, u64>,
    now: Duration,
}

impl SetUpAdmission {
    /// Starts without calls.
    #[must_use]
    pub fn new(settings: SetUpSettings) -> Self {
        let queue_settings = FairQueueSettings {
            max_waiting: settings.max_waiting,
            max_waiting_per_client: settings.max_waiting,
        };
        Self {
            rates: Rates::new(&settings),
            queue: FairQueue::new(queue_settings),
            unknown_queue: FairQueue::new(queue_settings),
            spread: RetryAfterSpread::new(settings.seed),
            settings,
            limits: BTreeMap::new(),
            calls: BTreeMap::new(),
            usage: BTreeMap::new(),
            in_routing: 0,
            in_routing_unknown: 0,
            send_rate: SendRate::default(),
            refused: BTreeMap::new(),
            now: Duration::ZERO,
        }
    }

    /// Replaces the known clients and their limits. Present calls go on, also those of clients that are no
    /// longer known.
    pub fn set_clients(&mut self, limits: impl IntoIterator<Item = (Arc<str>, ClientLimits)>) {
        self.limits = limits.into_iter().collect();
        self.rates.retain_clients(|name| self.limits.contains_key(name));
    }

    fn limits_of(&self, client: &ClientIdentity) -> ClientLimits {
        match client {
            ClientIdentity::Known(name) => self.limits.get(name).copied().unwrap_or(self.settings.known),
            ClientIdentity::Unknown(_) => self.settings.unknown,
        }
    }

    fn refuse(&mut self, reason: SetUpRefusal, min_wait: Duration) -> SetUpDecision {
        *self.refused.entry(reason).or_default() += 1;
        let retry_after = self.spread.next(min_wait, self.settings.retry_after);
        SetUpDecision::Refuse { reason, retry_after }
    }

    /// Decides on a new set-up. Also returns the waiting call that was refused to make room for it, if any,
    /// with its refusal.
    pub fn offer(
        &mut self,
        now: Duration,
        client: ClientIdentity,
        call: u64,
    ) -> (SetUpDecision, Option<(u64, SetUpDecision)>) {
        self.now = self.now.max(now);
        let limits = self.limits_of(&client);
        if let Err((reason, min_wait)) = self.check_client(&client, &limits) {
            return (self.refuse(reason, min_wait), None);
        }
        if self.may_proceed_at_once(&client) {
            self.insert(call, client, CallState::Routing);
            return (SetUpDecision::Proceed, None);
        }
        match self.enqueue(&client, limits.weight, call) {
            Ok(displaced) => {
                self.insert(call, client, CallState::Waiting);
                let displaced_call = displaced.map(|other| {
                    self.remove(other);
                    (other, self.refuse(SetUpRefusal::QueueFull, Duration::ZERO))
                });
                (SetUpDecision::Wait, displaced_call)
            }
            Err(()) => (self.refuse(SetUpRefusal::QueueFull, Duration::ZERO), None),
        }
    }

    /// Checks a set-up against the limits and the rate of its client.
    fn check_client(
        &mut self,
        client: &ClientIdentity,
        limits: &ClientLimits,
    ) -> Result<(), (SetUpRefusal, Duration)> {
        let usage = self.usage.get(client).copied().unwrap_or_default();
        if usage.calls >= limits.calls {
            return Err((SetUpRefusal::CallLimit, Duration::ZERO));
        }
        if usage.pending >= limits.pending {
            return Err((SetUpRefusal::PendingLimit, Duration::ZERO));
        }
        // The rate comes last, because this also counts the set-up: one refused above must not use up the
        // rate.
        self.rates.check_and_count(self.now, client, &limits.rate)
    }

    /// Whether a set-up may proceed without waiting: routing has room, and no other set-up waits before it.
    /// For a known client only waiting set-ups of known clients count, because those of unknown clients may
    /// wait only for their share of routing. For an unknown client all of them count.
    fn may_proceed_at_once(&self, client: &ClientIdentity) -> bool {
        let (waiting_before, has_room) = match client {
            ClientIdentity::Known(_) => {
                (self.queue.waiting() - self.unknown_queue.waiting(), self.has_routing_room())
            }
            ClientIdentity::Unknown(_) => {
                (self.queue.waiting(), self.has_routing_room() && self.has_routing_room_for_unknown())
            }
        };
        waiting_before == 0 && has_room
    }

    /// The most set-ups that routing may hold now: a fixed number, and as many as are sent in
    /// [`SetUpSettings::routing_span`] at the recent rate.
    #[must_use]
    pub fn routing_limit(&self) -> usize {
        let sent_in_span = self.send_rate.per_second() * self.settings.routing_span.as_secs_f64();
        self.settings.min_routing.saturating_add(sent_in_span as usize)
    }

    fn has_routing_room(&self) -> bool {
        self.in_routing < self.routing_limit()
    }

    fn has_routing_room_for_unknown(&self) -> bool {
        let limit = (self.routing_limit() as f64 * self.settings.unknown_share) as usize;
        self.in_routing_unknown < limit.max(1)
    }

    /// Refuses a call whose waiting time has run out. `None` if the call does not wait.
    pub fn wait_expired(&mut self, now: Duration, call: u64) -> Option<SetUpDecision> {
        let is_waiting = self.calls.get(&call).is_some_and(|c| c.state == CallState::Waiting);
        if !is_waiting {
            return None;
        }
        self.call_ended(now, call);
        Some(self.refuse(SetUpRefusal::WaitExpired, Duration::ZERO))
    }

    /// Set-ups that wait in the queue.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.waiting()
    }

    /// Set-ups that routing holds.
    #[must_use]
    pub const fn in_routing(&self) -> usize {
        self.in_routing
    }

    /// Refusals by reason.
    #[must_use]
    pub const fn refused(&self) -> &BTreeMap<SetUpRefusal, u64> {
        &self.refused
    }

    /// The longest time that a set-up may wait in the queue.
    #[must_use]
    pub const fn max_wait(&self) -> Duration {
        self.settings.max_wait
    }
}
