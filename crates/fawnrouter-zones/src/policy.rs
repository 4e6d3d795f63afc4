//! The policy: whether a call may go to another zone now.
//!
//! Calls within the own zone are not affected, nor are calls to a zone that costs nothing. A call may go to
//! any other zone only while the own zone is pressed or down, only if the budgets can pay for it, and only if
//! what the call would lose by waiting is at least its cost: worth times the share of it that would be lost,
//! against cost times price. So while budget is short, calls of higher worth go first, and calls of lower
//! worth wait until their aim is near, or are refused when their time is up.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};

use fawnrouter::{CallId, RoutingPolicy, RoutingRequest, ServerEntry, ServerView, Time};

use crate::account::{Account, Charge, SavedAccount};
use crate::budget::{Budget, BudgetError, Money};
use crate::health::{Health, HealthSettings, ZoneState};
use crate::record::{SpillCause, SpillKey, SpillMinute, SpillRecord};

/// What a call to another zone costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneCost {
    /// An amount per call. Zero makes the zone as good as the own one, but its calls are still recorded.
    Money(Money),
    /// Calls must not go to the zone.
    Forbidden,
}

/// Settings of the policy.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneSettings {
    /// This gateway's zone. If it is empty, the gateway has none, and every server counts as its own zone's.
    pub own_zone: Arc<str>,
    /// Cost of a call from the own zone, by destination zone.
    pub costs: BTreeMap<Arc<str>, ZoneCost>,
    /// Cost of a call to a zone that `costs` does not name.
    pub default_cost: ZoneCost,
    /// Budgets for calls between zones.
    pub budgets: Vec<Budget>,
    /// This gateway's index among the gateways that share the budgets.
    pub gateway_index: u32,
    /// Points of worth that equal one unit of money while budget is ample.
    pub points_per_unit: f64,
    /// When the own zone counts as pressed or down.
    pub health: HealthSettings,
    /// Makes this gateway's delays differ from the others', 0 to 1.
    pub phase: f64,
}

/// The most calls in each of the collections of calls that [`ZonePolicy`] keeps. A spilled call beyond it is
/// not tracked, and so not refunded.
const MAX_TRACKED_CALLS: usize = 100_000;

/// A set-up in another zone, with what is needed to refund it.
#[derive(Debug)]
struct SpilledCall {
    key: SpillKey,
    charge: Charge,
    at: Time,
}

/// Decides on traffic across zones for one gateway.
#[derive(Debug)]
pub struct ZonePolicy {
    settings: ZoneSettings,
    account: Account,
    health: Health,
    record: SpillRecord,
    spilled: BTreeMap<CallId, SpilledCall>,
    /// Calls that were recorded as held back because a budget was spent.
    recorded_as_held: BTreeSet<CallId>,
    now: Time,
    /// Calls that were worth the price and were counted as demand, until their set-up is answered or ends, or
    /// they are over.
    counted_as_demand: BTreeSet<CallId>,
}

impl ZonePolicy {
    /// Creates a policy that has spent nothing.
    ///
    /// # Errors
    /// See [`BudgetError`].
    pub fn new(settings: ZoneSettings) -> Result<Self, BudgetError> {
        let account =
            Account::new(settings.own_zone.clone(), settings.gateway_index, settings.budgets.clone())?;
        let health = Health::new(settings.health, settings.phase);
        Ok(Self {
            settings,
            account,
            health,
            record: SpillRecord::default(),
            spilled: BTreeMap::new(),
            recorded_as_held: BTreeSet::new(),
            now: Time::default(),
            counted_as_demand: BTreeSet::new(),
        })
    }

    /// Restores the account saved before a restart. Without one, this window's shares count as spent.
    pub fn restore(&mut self, now: Time, saved: Option<&SavedAccount>) {
        self.account.restore(now.0, saved);
    }

    /// Restores the record saved before a restart.
    pub fn restore_record(&mut self, minutes: Vec<SpillMinute>) {
        self.record.restore(minutes);
    }

    /// The account.
    #[must_use]
    pub const fn account(&self) -> &Account {
        &self.account
    }

    /// The account, to exchange messages with those of other gateways.
    pub const fn account_mut(&mut self) -> &mut Account {
        &mut self.account
    }

    /// The record of spilled calls.
    #[must_use]
    pub const fn record(&self) -> &SpillRecord {
        &self.record
    }

    /// The state of the own zone.
    #[must_use]
    pub const fn state(&self) -> ZoneState {
        self.health.state()
    }

    /// Whether a server's zone is this gateway's. A server without a zone belongs to every zone.
    fn is_own(&self, zone: &str) -> bool {
        self.settings.own_zone.is_empty() || zone.is_empty() || *zone == *self.settings.own_zone
    }

    fn cost(&self, zone: &str) -> ZoneCost {
        self.settings.costs.get(zone).copied().unwrap_or(self.settings.default_cost)
    }

    fn cause(&self) -> SpillCause {
        match self.health.state() {
            _ if !self.health.has_switches() => SpillCause::NoSwitch,
            ZoneState::Down => SpillCause::Down,
            ZoneState::Pressed if self.health.emergency_level() > 0.0 => SpillCause::Cold,
            ZoneState::Pressed | ZoneState::Calm => SpillCause::Pressed,
        }
    }

    /// Worth that the call would lose by waiting for the own zone, in points.
    fn worth_at_stake(&self, request: &RoutingRequest) -> f64 {
        let state = self.health.state();
        if state == ZoneState::Down || !self.health.has_switches() {
            return request.worth;
        }
        // In a pressed zone the chance to be held back again grows with the pressure, and the loss with the
        // elapsed share of the aim.
        let elapsed = 1.0 - request.aim_left.as_secs_f64() / request.aim.as_secs_f64().max(1e-3);
        request.worth * self.health.pressure().clamp(0.0, 1.0) * elapsed.clamp(0.0, 1.0)
    }
}

fn spill_key(request: &RoutingRequest, server: &ServerEntry, cause: SpillCause) -> SpillKey {
    let class = request.class.and_then(|c| u32::try_from(c.0).ok()).unwrap_or(u32::MAX);
    SpillKey { class, to: server.zone.clone(), trunk_group: server.cell.0, cause }
}

impl RoutingPolicy for ZonePolicy {
    fn observe(&mut self, now: Time, servers: &mut dyn Iterator<Item = ServerView<'_>>) {
        self.now = self.now.max(now);
        let own_zone = self.settings.own_zone.clone();
        let in_own_zone =
            |s: &ServerView<'_>| own_zone.is_empty() || s.entry.zone.is_empty() || s.entry.zone == own_zone;
        self.health.observe(now.0, servers.filter(in_own_zone));
    }

    fn server_weight(&mut self, now: Time, request: &RoutingRequest, server: &ServerEntry) -> f64 {
        if self.is_own(&server.zone) {
            return 1.0;
        }
        let cost = match self.cost(&server.zone) {
            ZoneCost::Forbidden => return 0.0,
            ZoneCost::Money(Money(0)) => return 1.0,
            ZoneCost::Money(cost) => cost,
        };
        // While the own zone is calm no call spills, however fast another zone is.
        if self.health.state() == ZoneState::Calm && self.health.has_switches() {
            return 0.0;
        }
        let level = self.health.emergency_level();
        let price = self.account.price(now.0, &server.zone, level);
        let worth_the_price =
            self.worth_at_stake(request) >= cost.to_units() * self.settings.points_per_unit * price;
        if !worth_the_price {
            return 0.0;
        }
        // A call that is worth the price counts as demand even if there is no budget for it, because the
        // price follows the demand. It counts once, however often a server is drawn for it.
        if self.counted_as_demand.len() < MAX_TRACKED_CALLS && self.counted_as_demand.insert(request.call) {
            self.account.record_demand(now.0, &server.zone);
        }
        if !self.account.can_afford(now.0, &server.zone, cost, level) {
            // Recorded once per call, however often a server is drawn for it.
            if self.recorded_as_held.len() < MAX_TRACKED_CALLS && self.recorded_as_held.insert(request.call) {
                self.record.add_call(now.0, &spill_key(request, server, SpillCause::BudgetOut), Money(0));
            }
            return 0.0;
        }
        // Of several zones, a cheaper one and one with more budget left are drawn more often.
        let left = self.account.remaining_share(now.0, &server.zone, level).max(0.05);
        left / (1.0 + cost.to_units() * price)
    }

    fn attempt_sent(&mut self, now: Time, request: &RoutingRequest, server: &ServerEntry) {
        self.now = self.now.max(now);
        if self.is_own(&server.zone) {
            return;
        }
        let (cost, cause) = match self.cost(&server.zone) {
            ZoneCost::Money(Money(0)) => (Money(0), SpillCause::Free),
            ZoneCost::Money(cost) => (cost, self.cause()),
            ZoneCost::Forbidden => return,
        };
        // The call was weighed at the same instant, so the budget still covers it. A charge that fails is a
        // breach of the budget and would show as a difference between the record and the account.
        if let Ok(charge) = self.account.charge(now.0, &server.zone, cost, self.health.emergency_level()) {
            let key = spill_key(request, server, cause);
            self.record.add_call(now.0, &key, cost);
            if self.spilled.len() < MAX_TRACKED_CALLS {
                self.spilled.insert(request.call, SpilledCall { key, charge, at: now });
            }
        }
    }

    fn attempt_resolved(&mut self, call: CallId, established: bool) {
        self.recorded_as_held.remove(&call);
        self.counted_as_demand.remove(&call);
        let now = self.now;
        let Some(failed) = self.spilled.remove(&call).filter(|_| !established) else { return };
        self.account.refund(now.0, &failed.charge);
        self.record.subtract_call(failed.at.0, &failed.key, failed.charge.cost());
    }
}

/// A policy that the embedding program can inspect while a controller owns it.
#[derive(Clone, Debug)]
pub struct SharedZonePolicy(Arc<Mutex<ZonePolicy>>);

impl SharedZonePolicy {
    /// Wraps a policy for sharing.
    #[must_use]
    pub fn new(policy: ZonePolicy) -> Self {
        Self(Arc::new(Mutex::new(policy)))
    }

    /// Calls `access` with the policy locked; other threads wait.
    pub fn with<T>(&self, access: impl FnOnce(&mut ZonePolicy) -> T) -> T {
        access(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl RoutingPolicy for SharedZonePolicy {
    fn observe(&mut self, now: Time, servers: &mut dyn Iterator<Item = ServerView<'_>>) {
        self.with(|policy| policy.observe(now, servers));
    }

    fn server_weight(&mut self, now: Time, request: &RoutingRequest, server: &ServerEntry) -> f64 {
        self.with(|policy| policy.server_weight(now, request, server))
    }

    fn attempt_sent(&mut self, now: Time, request: &RoutingRequest, server: &ServerEntry) {
        self.with(|policy| policy.attempt_sent(now, request, server));
    }

    fn attempt_resolved(&mut self, call: CallId, established: bool) {
        self.with(|policy| policy.attempt_resolved(call, established));
    }
}
