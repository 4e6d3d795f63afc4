//! The account of one gateway: what it spent of its shares of the budgets, what it is expected to spend by
//! the end of the window, and the price of a spill that follows from that.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::budget::{Budget, BudgetError, Money, gateway_share};
use crate::grants::{GrantMessage, grantable};

/// What was spent of a budget in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetState {
    /// Number of the window ([`BudgetPeriod::window_at`](crate::BudgetPeriod::window_at)).
    pub window: u64,
    /// Calls and money spent in the window.
    pub spent: (u64, Money),
    /// Calls and money carried over into the window.
    pub carried: (u64, Money),
    /// Calls and money granted to other gateways in the window.
    #[serde(default)]
    pub given: (u64, Money),
    /// Calls and money granted by other gateways in the window.
    #[serde(default, rename = "got")]
    pub received: (u64, Money),
}

/// The account as it is saved over a restart: one state for each budget, in the order of the settings. The
/// budgets are saved too, to detect whether the settings have changed since.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SavedAccount {
    /// Time of saving, in nanoseconds since the Unix epoch.
    pub at_ns: u64,
    /// The budgets, in the order of `states`.
    pub budgets: Vec<Budget>,
    /// The state of each budget.
    #[serde(rename = "lines")]
    pub states: Vec<BudgetState>,
    /// The id of the last grant received from each other gateway.
    #[serde(default, rename = "heard")]
    pub last_grants: Vec<(u32, u64)>,
}

/// A budget, what was spent of this gateway's share of it, and that share (calls and money).
pub type BudgetView = (Budget, BudgetState, (Option<u64>, Option<Money>));

/// A spill that the budget cannot pay for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the budget of this window is spent")]
pub struct BudgetExhausted;

/// What a spill was charged, kept so that it can be refunded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    cost: Money,
    /// The budgets that were charged, by index, each with the window it was charged in.
    windows: Vec<(usize, u64)>,
}

impl Charge {
    /// The cost of the spill.
    #[must_use]
    pub const fn cost(&self) -> Money {
        self.cost
    }
}

/// One budget with this gateway's spending and demand.
#[derive(Debug)]
struct BudgetAccount {
    budget: Budget,
    state: BudgetState,
    /// Calls a second that would spill, paid for or not: an exponentially weighted mean.
    demand_per_s: f64,
    demand_updated_at: Duration,
    price: f64,
    /// Grants for this window are ignored.
    ignore_grants_in: Option<u64>,
}

/// Shortest time between two updates of the price.
const PRICE_INTERVAL: Duration = Duration::from_millis(500);
/// How fast the price follows the forecast: the exponent added in one step by a forecast of twice the
/// allowance.
const PRICE_GAIN: f64 = 0.35;
/// Lower bound of the price, as a multiple of the configured cost: an ample budget does not make a spill
/// worthless.
const MIN_PRICE: f64 = 1.0;
/// Upper bound of the price: it bounds the time the price needs to come down after a budget ran out, which
/// would otherwise take minutes.
const MAX_PRICE: f64 = 1000.0;
/// How far spending may run ahead of the window's elapsed time, as a share of the allowance, before a
/// surcharge applies at once. The slowly moving price alone would let a burst spend the whole budget,
/// whatever the calls are worth. The drawback: in an otherwise quiet window, a short burst is held back
/// longer than necessary.
const AHEAD_TOLERANCE: f64 = 0.15;
/// Exponent of the surcharge for spending a whole allowance beyond the tolerance.
const AHEAD_GAIN: f64 = 4.0;
/// Time constant of the mean demand, as a share of the window's length.
const DEMAND_MEMORY_SHARE: f64 = 0.1;
/// Shortest time constant of the mean demand, in seconds.
const MIN_DEMAND_MEMORY_S: f64 = 10.0;

impl BudgetAccount {
    /// This gateway's share of the budget in a window, without carry-over and grants.
    fn base_share(&self, gateway_index: u32, window: u64) -> (Option<u64>, Option<Money>) {
        let share = |whole: u64| gateway_share(whole, self.budget.sharers, gateway_index, window);
        (self.budget.limit.calls.map(share), self.budget.limit.money.map(|m| Money(share(m.0))))
    }

    /// Moves on to the window that `now` lies in. Never moves back: a clock set back over a window's edge
    /// must not reopen a closed window with its whole budget.
    fn advance_window(&mut self, gateway_index: u32, now: Duration) {
        let window = self.budget.period.window_at(now);
        if window <= self.state.window {
            return;
        }
        let (calls, money) = self.base_share(gateway_index, self.state.window);
        let max_carry = |share: u64| (share as f64 * self.budget.carry) as u64;
        let carry =
            |share: u64, added: u64, used: u64| (share + added).saturating_sub(used).min(max_carry(share));
        // Carry-over lasts for one window: what was left of an earlier window than the last is lost.
        let is_next = window == self.state.window + 1;
        let carried = if is_next {
            let BudgetState { spent, carried, given, received, .. } = self.state;
            let calls = calls.map_or(0, |share| carry(share, carried.0 + received.0, spent.0 + given.0));
            let money = money.map_or(0, |m| carry(m.0, carried.1.0 + received.1.0, spent.1.0 + given.1.0));
            (calls, Money(money))
        } else {
            (calls.map_or(0, max_carry), Money(money.map_or(0, |m| max_carry(m.0))))
        };
        self.state = BudgetState { window, carried, ..BudgetState::default() };
    }

    /// Calls and money that may be spent in this window, with the open share of the emergency allowance.
    fn allowance(&self, gateway_index: u32, emergency_level: f64) -> (Option<u64>, Option<Money>) {
        let (calls, money) = self.base_share(gateway_index, self.state.window);
        let emergency =
            |share: u64| (share as f64 * self.budget.emergency * emergency_level.clamp(0.0, 1.0)) as u64;
        let BudgetState { carried, given, received, .. } = self.state;
        let calls = calls.map(|n| (n + carried.0 + received.0 + emergency(n)).saturating_sub(given.0));
        let money =
            money.map(|m| (m.0 + carried.1.0 + received.1.0 + emergency(m.0)).saturating_sub(given.1.0));
        (calls, money.map(Money))
    }

    fn can_afford(&self, gateway_index: u32, emergency_level: f64, cost: Money) -> bool {
        let (calls, money) = self.allowance(gateway_index, emergency_level);
        calls.is_none_or(|n| self.state.spent.0 < n)
            && money.is_none_or(|m| self.state.spent.1.0.saturating_add(cost.0) <= m.0)
    }

    /// Spending as a share of the allowance, of calls or of money, whichever is larger.
    fn spent_share(&self, gateway_index: u32, emergency_level: f64) -> f64 {
        let (calls, money) = self.allowance(gateway_index, emergency_level);
        let share = |spent: u64, allowed: u64| spent as f64 / (allowed as f64).max(1.0);
        let by_calls = calls.map_or(0.0, |n| share(self.state.spent.0, n));
        by_calls.max(money.map_or(0.0, |m| share(self.state.spent.1.0, m.0)))
    }

    /// Decays the mean demand by the time that has passed. Returns the time constant, in seconds.
    fn decay_demand(&mut self, now: Duration) -> f64 {
        let time_constant_s =
            (self.budget.period.duration().as_secs_f64() * DEMAND_MEMORY_SHARE).max(MIN_DEMAND_MEMORY_S);
        let elapsed_s = now.saturating_sub(self.demand_updated_at).as_secs_f64();
        self.demand_per_s *= (-elapsed_s / time_constant_s).exp();
        self.demand_updated_at = now;
        time_constant_s
    }

    /// How far spending is ahead of the window's elapsed time, as a share of the allowance.
    fn ahead_of_schedule(&self, gateway_index: u32, emergency_level: f64, now: Duration) -> f64 {
        let period = self.budget.period;
        let left = period.remaining(now).as_secs_f64() / period.duration().as_secs_f64();
        self.spent_share(gateway_index, emergency_level) - (1.0 - left)
    }

    /// Calls and money spent by the end of the window, if the demand stays as it is.
    fn expected_spending(&self, now: Duration) -> (f64, f64) {
        let more = self.demand_per_s * self.budget.period.remaining(now).as_secs_f64();
        let (calls, money) = self.state.spent;
        let mean_cost = if calls == 0 { 0.0 } else { money.0 as f64 / calls as f64 };
        (calls as f64 + more, money.0 as f64 + more * mean_cost)
    }

    /// Expected spending by the end of the window over the allowance.
    fn forecast(&self, gateway_index: u32, emergency_level: f64, now: Duration) -> f64 {
        let (calls, money) = self.allowance(gateway_index, emergency_level);
        let expected = self.expected_spending(now);
        let ratio = |spent: f64, allowed: f64| spent / allowed.max(1.0);
        let by_calls = calls.map_or(0.0, |n| ratio(expected.0, n as f64));
        let by_money = money.map_or(0.0, |m| ratio(expected.1, m.0 as f64));
        by_calls.max(by_money)
    }
}

/// The account of one gateway.
#[derive(Debug)]
pub struct Account {
    own_zone: Arc<str>,
    gateway_index: u32,
    budgets: Vec<BudgetAccount>,
    /// Spills refused because a budget was spent, by destination zone.
    refused: BTreeMap<Arc<str>, u64>,
    price_updated_at: Duration,
    /// Id of the last grant made. Ids begin at the time of the start in nanoseconds, so that a restart does
    /// not use one again.
    last_grant_id: u64,
    /// Id of the last grant received from each gateway.
    last_grants: BTreeMap<u32, u64>,
    now: Duration,
}

impl Account {
    /// Creates an account of the budgets, for the gateway of this index among the sharers.
    ///
    /// # Errors
    /// See [`BudgetError`].
    pub fn new(own_zone: Arc<str>, gateway_index: u32, budgets: Vec<Budget>) -> Result<Self, BudgetError> {
        budgets.iter().try_for_each(Budget::validate)?;
        let open = |budget| BudgetAccount {
            budget,
            state: BudgetState::default(),
            demand_per_s: 0.0,
            demand_updated_at: Duration::ZERO,
            price: MIN_PRICE,
            ignore_grants_in: None,
        };
        let budgets = budgets.into_iter().map(open).collect();
        Ok(Self {
            own_zone,
            gateway_index,
            budgets,
            refused: BTreeMap::new(),
            price_updated_at: Duration::ZERO,
            last_grant_id: 0,
            last_grants: BTreeMap::new(),
            now: Duration::ZERO,
        })
    }

    /// Advances the clock and with it the window of each budget. A clock that is set back counts as stopped.
    fn advance(&mut self, now: Duration) {
        let first = self.now.is_zero();
        self.now = self.now.max(now);
        if first {
            self.last_grant_id = u64::try_from(self.now.as_nanos()).unwrap_or(0);
        }
        for account in &mut self.budgets {
            if first && account.state.window == 0 {
                // A new gateway has no carry-over from earlier windows.
                account.state.window = account.budget.period.window_at(self.now);
            }
            account.advance_window(self.gateway_index, self.now);
        }
    }

    /// Whether a spill can be paid for, with this share of the emergency allowance.
    pub fn can_afford(&mut self, now: Duration, to: &str, cost: Money, emergency_level: f64) -> bool {
        self.advance(now);
        let from = &*self.own_zone;
        let mut covering = self.budgets.iter().filter(|a| a.budget.covers(from, to));
        covering.all(|a| a.can_afford(self.gateway_index, emergency_level, cost))
    }

    /// Records that a call would spill if it could. Forecasts go by demand, not by spending: otherwise a
    /// spent budget would look as if there were no demand.
    pub fn record_demand(&mut self, now: Duration, to: &str) {
        self.advance(now);
        let now = self.now;
        for account in self.budgets.iter_mut().filter(|a| a.budget.covers(&self.own_zone, to)) {
            let time_constant_s = account.decay_demand(now);
            account.demand_per_s += 1.0 / time_constant_s;
        }
    }

    /// Charges a spill to each budget that covers it.
    ///
    /// # Errors
    /// If a budget has not enough left; then nothing is charged.
    pub fn charge(
        &mut self,
        now: Duration,
        to: &Arc<str>,
        cost: Money,
        emergency_level: f64,
    ) -> Result<Charge, BudgetExhausted> {
        if !self.can_afford(now, to, cost, emergency_level) {
            *self.refused.entry(to.clone()).or_default() += 1;
            return Err(BudgetExhausted);
        }
        let mut windows = Vec::new();
        let covering =
            self.budgets.iter_mut().enumerate().filter(|(_, a)| a.budget.covers(&self.own_zone, to));
        for (index, account) in covering {
            account.state.spent.0 += 1;
            account.state.spent.1 = Money(account.state.spent.1.0.saturating_add(cost.0));
            windows.push((index, account.state.window));
        }
        Ok(Charge { cost, windows })
    }

    /// Refunds a set-up that did not become a call. A charge to a window that is over stays spent, as the
    /// carry-over into the next window may already have been computed from it.
    pub fn refund(&mut self, now: Duration, charge: &Charge) {
        self.advance(now);
        for (index, window) in &charge.windows {
            if let Some(account) = self.budgets.get_mut(*index).filter(|a| a.state.window == *window) {
                account.state.spent.0 = account.state.spent.0.saturating_sub(1);
                account.state.spent.1 = Money(account.state.spent.1.0.saturating_sub(charge.cost.0));
            }
        }
    }

    /// The price of a spill, as a multiple of its cost: the highest among the budgets that cover it. It is
    /// set by dual ascent on the forecast: it rises while the forecast is above the allowance, and falls
    /// while it is below.
    pub fn price(&mut self, now: Duration, to: &str, emergency_level: f64) -> f64 {
        self.advance(now);
        let now = self.now;
        if now.saturating_sub(self.price_updated_at) >= PRICE_INTERVAL {
            self.price_updated_at = now;
            for account in &mut self.budgets {
                account.decay_demand(now);
                let excess =
                    (account.forecast(self.gateway_index, emergency_level, now) - 1.0).clamp(-1.0, 1.0);
                account.price = (account.price * (PRICE_GAIN * excess).exp()).clamp(MIN_PRICE, MAX_PRICE);
            }
        }
        let covering = self.budgets.iter().filter(|a| a.budget.covers(&self.own_zone, to));
        let with_surcharge = |account: &BudgetAccount| {
            let ahead = account.ahead_of_schedule(self.gateway_index, emergency_level, now);
            account.price * (AHEAD_GAIN * (ahead - AHEAD_TOLERANCE).max(0.0)).exp()
        };
        covering.map(with_surcharge).fold(MIN_PRICE, f64::max)
    }

    /// The remaining share of the scarcest budget in this window, 0 to 1.
    pub fn remaining_share(&mut self, now: Duration, to: &str, emergency_level: f64) -> f64 {
        self.advance(now);
        let covering = self.budgets.iter().filter(|a| a.budget.covers(&self.own_zone, to));
        let spent = covering.map(|a| a.spent_share(self.gateway_index, emergency_level)).fold(0.0, f64::max);
        1.0 - spent.min(1.0)
    }

    /// Requests to other gateways of the zone: one for each budget of which this gateway expects to need more
    /// than its allowance. The embedding program decides to which gateways, and how often, they are sent.
    pub fn budget_requests(&mut self, now: Duration) -> Vec<GrantMessage> {
        self.advance(now);
        let gateway_index = self.gateway_index;
        let request = |(index, account): (usize, &BudgetAccount)| {
            let (calls, money) = account.allowance(gateway_index, 0.0);
            let expected = account.expected_spending(self.now);
            let shortfall = |allowed: u64, expected: f64| (expected.ceil() as u64).saturating_sub(allowed);
            let calls = calls.map_or(0, |n| shortfall(n, expected.0));
            let money = Money(money.map_or(0, |m| shortfall(m.0, expected.1)));
            let lacking = calls > 0 || money.0 > 0;
            let (budget, window) = (u16::try_from(index).ok()?, account.state.window);
            lacking.then_some(GrantMessage::Need { budget, window, calls, money })
        };
        self.budgets.iter().enumerate().filter_map(request).collect()
    }

    /// Handles a message of another gateway of the zone and returns the answer, if there is one. A message
    /// about a window other than the current one changes nothing.
    pub fn on_message(&mut self, now: Duration, from: u32, message: &GrantMessage) -> Option<GrantMessage> {
        self.advance(now);
        let (gateway_index, now) = (self.gateway_index, self.now);
        match *message {
            GrantMessage::Need { budget, window, calls, money } => {
                let account =
                    self.budgets.get_mut(usize::from(budget)).filter(|a| a.state.window == window)?;
                let (allowed_calls, allowed_money) = account.allowance(gateway_index, 0.0);
                let expected = account.expected_spending(now);
                let spent = account.state.spent;
                let calls = allowed_calls.map_or(0, |n| grantable(n, expected.0, spent.0, calls));
                let money =
                    Money(allowed_money.map_or(0, |m| grantable(m.0, expected.1, spent.1.0, money.0)));
                if calls == 0 && money.0 == 0 {
                    return None;
                }
                // Deducted before the grant is sent, so that no budget can be counted twice.
                account.state.given =
                    (account.state.given.0 + calls, Money(account.state.given.1.0 + money.0));
                self.last_grant_id += 1;
                Some(GrantMessage::Grant { budget, window, id: self.last_grant_id, calls, money })
            }
            GrantMessage::Grant { budget, window, id, calls, money } => {
                let last = self.last_grants.entry(from).or_default();
                let account =
                    self.budgets.get_mut(usize::from(budget)).filter(|a| a.state.window == window)?;
                // A grant that was overtaken by a later one is lost, like one that never arrived.
                if id <= *last || account.ignore_grants_in == Some(window) {
                    return None;
                }
                *last = id;
                account.state.received =
                    (account.state.received.0 + calls, Money(account.state.received.1.0 + money.0));
                None
            }
        }
    }

    /// Each budget with this gateway's spending and its current share.
    #[must_use]
    pub fn budget_views(&self) -> Vec<BudgetView> {
        let view = |a: &BudgetAccount| (a.budget.clone(), a.state, a.allowance(self.gateway_index, 0.0));
        self.budgets.iter().map(view).collect()
    }

    /// Spills refused because a budget was spent, by destination zone.
    #[must_use]
    pub const fn refused(&self) -> &BTreeMap<Arc<str>, u64> {
        &self.refused
    }

    /// The account to be saved over a restart.
    #[must_use]
    pub fn save(&self) -> SavedAccount {
        SavedAccount {
            at_ns: u64::try_from(self.now.as_nanos()).unwrap_or(u64::MAX),
            budgets: self.budgets.iter().map(|a| a.budget.clone()).collect(),
            states: self.budgets.iter().map(|a| a.state).collect(),
            last_grants: self.last_grants.iter().map(|(from, id)| (*from, *id)).collect(),
        }
    }

    /// Restores a saved account. For a budget that is missing from it or has changed, this window's share
    /// counts as spent, so that a restart cannot be used to spend twice.
    pub fn restore(&mut self, now: Duration, saved: Option<&SavedAccount>) {
        // A clock that was set back while the gateway was down counts as stopped too.
        self.advance(now.max(saved.map_or(Duration::ZERO, |s| Duration::from_nanos(s.at_ns))));
        let saved_states: Vec<(&Budget, &BudgetState)> =
            saved.map(|s| s.budgets.iter().zip(&s.states).collect()).unwrap_or_default();
        self.last_grants = saved.map(|s| s.last_grants.iter().copied().collect()).unwrap_or_default();
        for account in &mut self.budgets {
            let same = saved_states.iter().find(|(budget, _)| **budget == account.budget);
            match same {
                Some((_, state)) => {
                    account.state = **state;
                    account.advance_window(self.gateway_index, self.now);
                }
                None => {
                    let (calls, money) = account.base_share(self.gateway_index, account.state.window);
                    account.state.spent = (calls.unwrap_or(0), money.unwrap_or_default());
                    account.state.carried = (0, Money(0));
                    // Nor is it known which grants of this window were received and spent before the restart.
                    account.ignore_grants_in = Some(account.state.window);
                }
            }
        }
    }
}
