//! The voice: whether a call may go to another zone now.
//!
//! In its own zone a call goes as ever. Elsewhere it goes only while the own zone is pressed or down, only if a budget
//! can pay for it, and only if it is worth more there than it costs: worth times the part of it that would be lost by
//! holding on, against cost times price. So while budget is short, what is worth more goes first, and what is worth less
//! holds on until its aim is near, or is refused by its time.

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
    /// So much; nothing makes the zone as good as the own one, but its calls are counted.
    Money(Money),
    /// It must not go there.
    Forbidden,
}

/// All that the voice goes by.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneSettings {
    /// This gateway's zone; empty: it has none, and every server is its own.
    pub own_zone: Arc<str>,
    /// Costs from the own zone.
    pub costs: BTreeMap<Arc<str>, ZoneCost>,
    /// The cost of zones that are not named there.
    pub default_cost: ZoneCost,
    /// Budgets.
    pub budgets: Vec<Budget>,
    /// This gateway's number among those that share them.
    pub gateway_index: u32,
    /// Points of worth that a unit of money is worth while budget is ample.
    pub points_per_unit: f64,
    /// When the own zone is pressed or down.
    pub health: HealthSettings,
    /// Sets this gateway apart from the others, 0 to 1.
    pub phase: f64,
}

/// Calls that are out in another zone, each with what it was charged; more than this are not remembered, and so not
/// refunded.
const MOST_OUT: usize = 100_000;

#[derive(Debug)]
struct Out {
    kind: SpillKey,
    charge: Charge,
    at: Time,
}

/// The voice of zones for one gateway.
#[derive(Debug)]
pub struct ZonePolicy {
    settings: ZoneSettings,
    account: Account,
    health: Health,
    record: SpillRecord,
    out: BTreeMap<CallId, Out>,
    /// Calls that the budget had nothing left for.
    passed_over: BTreeSet<CallId>,
    now: Time,
    /// Calls that would go for the price, until they have gone or are over.
    wanting: BTreeSet<CallId>,
}

impl ZonePolicy {
    /// A voice that has spent nothing.
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
            out: BTreeMap::new(),
            passed_over: BTreeSet::new(),
            now: Time::default(),
            wanting: BTreeSet::new(),
        })
    }

    /// Takes up the account of before a restart; without one, this window's shares count as spent.
    pub fn restore(&mut self, now: Time, saved: Option<&SavedAccount>) {
        self.account.restore(now.0, saved);
    }

    /// Takes up the record of before a restart.
    pub fn restore_record(&mut self, minutes: Vec<SpillMinute>) {
        self.record.restore(minutes);
    }

    /// The account.
    #[must_use]
    pub const fn account(&self) -> &Account {
        &self.account
    }

    /// The account, to let it talk with those of other gateways.
    pub const fn account_mut(&mut self) -> &mut Account {
        &mut self.account
    }

    /// What spilled.
    #[must_use]
    pub const fn record(&self) -> &SpillRecord {
        &self.record
    }

    /// How the own zone fares.
    #[must_use]
    pub const fn state(&self) -> ZoneState {
        self.health.state()
    }

    /// Whether a server's zone is this gateway's. A server that names none is everybody's.
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

    /// Worth that holding on would lose, in points.
    fn at_stake(&self, wanted: &RoutingRequest) -> f64 {
        let state = self.health.state();
        if state == ZoneState::Down || !self.health.has_switches() {
            return wanted.worth;
        }
        // In a pressed zone the chance to be passed over again grows with the pressure, and what it costs with the part
        // of the aim that is gone.
        let gone = 1.0 - wanted.aim_left.as_secs_f64() / wanted.aim.as_secs_f64().max(1e-3);
        wanted.worth * self.health.pressure().clamp(0.0, 1.0) * gone.clamp(0.0, 1.0)
    }
}

fn kind(wanted: &RoutingRequest, server: &ServerEntry, cause: SpillCause) -> SpillKey {
    let class = wanted.class.and_then(|c| u32::try_from(c.0).ok()).unwrap_or(u32::MAX);
    SpillKey { class, to: server.zone.clone(), trunk_group: server.cell.0, cause }
}

impl RoutingPolicy for ZonePolicy {
    fn observe(&mut self, now: Time, servers: &mut dyn Iterator<Item = ServerView<'_>>) {
        self.now = self.now.max(now);
        let own = self.settings.own_zone.clone();
        let ours = |s: &ServerView<'_>| own.is_empty() || s.entry.zone.is_empty() || s.entry.zone == own;
        self.health.observe(now.0, servers.filter(ours));
    }

    fn server_weight(&mut self, now: Time, wanted: &RoutingRequest, server: &ServerEntry) -> f64 {
        if self.is_own(&server.zone) {
            return 1.0;
        }
        let cost = match self.cost(&server.zone) {
            ZoneCost::Forbidden => return 0.0,
            ZoneCost::Money(Money(0)) => return 1.0,
            ZoneCost::Money(cost) => cost,
        };
        // Calm hours invite nobody over, however quick a neighbour is.
        if self.health.state() == ZoneState::Calm && self.health.has_switches() {
            return 0.0;
        }
        let level = self.health.emergency_level();
        let price = self.account.price(now.0, &server.zone, level);
        let pays = self.at_stake(wanted) >= cost.to_units() * self.settings.points_per_unit * price;
        if !pays {
            return 0.0;
        }
        // What could pay its price is wanted, whether or not there is budget: the price goes by that. Once a call,
        // however often it draws.
        if self.wanting.len() < MOST_OUT && self.wanting.insert(wanted.call) {
            self.account.record_demand(now.0, &server.zone);
        }
        if !self.account.can_afford(now.0, &server.zone, cost, level) {
            // Once a call, however often it draws.
            if self.passed_over.len() < MOST_OUT && self.passed_over.insert(wanted.call) {
                self.record.add_call(now.0, &kind(wanted, server, SpillCause::BudgetOut), Money(0));
            }
            return 0.0;
        }
        // Among several zones the cheaper and the less spent one is drawn more often.
        let left = self.account.remaining_share(now.0, &server.zone, level).max(0.05);
        left / (1.0 + cost.to_units() * price)
    }

    fn attempt_sent(&mut self, now: Time, wanted: &RoutingRequest, server: &ServerEntry) {
        self.now = self.now.max(now);
        if self.is_own(&server.zone) {
            return;
        }
        let (cost, cause) = match self.cost(&server.zone) {
            ZoneCost::Money(Money(0)) => (Money(0), SpillCause::Free),
            ZoneCost::Money(cost) => (cost, self.cause()),
            ZoneCost::Forbidden => return,
        };
        // Weighed in the same instant, so that it still fits; a charge that does not is a breach of the budget and
        // would show in the record against the account.
        if let Ok(charge) = self.account.charge(now.0, &server.zone, cost, self.health.emergency_level()) {
            let kind = kind(wanted, server, cause);
            self.record.add_call(now.0, &kind, cost);
            if self.out.len() < MOST_OUT {
                self.out.insert(wanted.call, Out { kind, charge, at: now });
            }
        }
    }

    fn attempt_resolved(&mut self, call: CallId, stood: bool) {
        self.passed_over.remove(&call);
        self.wanting.remove(&call);
        let now = self.now;
        let Some(out) = self.out.remove(&call).filter(|_| !stood) else { return };
        self.account.refund(now.0, &out.charge);
        self.record.subtract_call(out.at.0, &out.kind, out.charge.cost());
    }
}

/// A voice that its embedder can look at while a controller holds it.
#[derive(Clone, Debug)]
pub struct SharedZonePolicy(Arc<Mutex<ZonePolicy>>);

impl SharedZonePolicy {
    /// Shares it.
    #[must_use]
    pub fn new(zones: ZonePolicy) -> Self {
        Self(Arc::new(Mutex::new(zones)))
    }

    /// Looks at it, or changes it. One thread at a time; another one waits.
    pub fn with<T>(&self, look: impl FnOnce(&mut ZonePolicy) -> T) -> T {
        look(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl RoutingPolicy for SharedZonePolicy {
    fn observe(&mut self, now: Time, servers: &mut dyn Iterator<Item = ServerView<'_>>) {
        self.with(|z| z.observe(now, servers));
    }

    fn server_weight(&mut self, now: Time, wanted: &RoutingRequest, server: &ServerEntry) -> f64 {
        self.with(|z| z.server_weight(now, wanted, server))
    }

    fn attempt_sent(&mut self, now: Time, wanted: &RoutingRequest, server: &ServerEntry) {
        self.with(|z| z.attempt_sent(now, wanted, server));
    }

    fn attempt_resolved(&mut self, call: CallId, stood: bool) {
        self.with(|z| z.attempt_resolved(call, stood));
    }
}
