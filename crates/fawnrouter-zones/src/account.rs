//! What this gateway spent of its shares, what it will have spent at the window's end, and the price that follows.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::budget::{Budget, BudgetError, Money, gateway_share};
use crate::grants::{GrantMessage, spare};

/// What was spent of a budget in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetState {
    /// The window.
    pub window: u64,
    /// Calls and money spent in it.
    pub spent: (u64, Money),
    /// Calls and money carried over into it.
    pub carried: (u64, Money),
    /// Calls and money given to other gateways in it.
    #[serde(default)]
    pub given: (u64, Money),
    /// Calls and money got from other gateways in it.
    #[serde(default, rename = "got")]
    pub received: (u64, Money),
}

/// The account as it is kept over a restart, a state for each budget in the settings' order, with what tells whether
/// the settings are still the same.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SavedAccount {
    /// When it was saved, nanoseconds since the Unix epoch.
    pub at_ns: u64,
    /// The budgets that the states are of.
    pub budgets: Vec<Budget>,
    /// The states.
    #[serde(rename = "lines")]
    pub states: Vec<BudgetState>,
    /// The last grant heard of each other gateway.
    #[serde(default, rename = "heard")]
    pub last_grants: Vec<(u32, u64)>,
}

/// A budget, what was spent of this gateway's share of it, and that share.
pub type BudgetView = (Budget, BudgetState, (Option<u64>, Option<Money>));

/// Why a spill cannot be paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the budget of this window is spent")]
pub struct BudgetExhausted;

/// What a spill was charged, to be able to give it back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    cost: Money,
    /// The windows of the lines that it was charged to.
    windows: Vec<(usize, u64)>,
}

impl Charge {
    /// What it cost.
    #[must_use]
    pub const fn cost(&self) -> Money {
        self.cost
    }
}

#[derive(Debug)]
struct Line {
    budget: Budget,
    state: BudgetState,
    /// Calls wanted a second, spent or not: a running mean.
    wanted_per_s: f64,
    wanted_at: Duration,
    price: f64,
    /// Grants of this window are not taken.
    deaf: Option<u64>,
}

/// The price moves at most once in this time.
const PRICE_STEP: Duration = Duration::from_millis(500);
/// How fast the price follows the forecast: the exponent for a forecast of twice the allowance, a step.
const PRICE_GAIN: f64 = 0.35;
/// Bounds of the price, as a multiple of the usual: ample budget does not make a spill worthless, and none left must not
/// take minutes to forget.
const PRICE: (f64, f64) = (1.0, 1000.0);
/// A window's budget may be spent ahead of its time by this share before the price answers at once, and how strongly:
/// the slow price alone would let a burst take everything, whatever it is worth. Harms a short burst in an otherwise quiet
/// window, which then holds on longer than it need.
const AHEAD: (f64, f64) = (0.15, 4.0);
/// The mean of what is wanted forgets in this share of the window, ten seconds at the least.
const FORGET_SHARE: f64 = 0.1;

impl Line {
    fn share(&self, me: u32, window: u64) -> (Option<u64>, Option<Money>) {
        let of = |whole: u64| gateway_share(whole, self.budget.sharers, me, window);
        (self.budget.limit.calls.map(of), self.budget.limit.money.map(|m| Money(of(m.0))))
    }

    /// Turns to the window of a time. Only forward: a clock that is set back over an edge must not open a window that
    /// was closed, with its budget whole again.
    fn turn(&mut self, me: u32, now: Duration) {
        let window = self.budget.period.window_at(now);
        if window <= self.state.window {
            return;
        }
        let (calls, money) = self.share(me, self.state.window);
        let most = |share: u64| (share as f64 * self.budget.carry) as u64;
        let keep =
            |share: u64, carried: u64, spent: u64| (share + carried).saturating_sub(spent).min(most(share));
        // What was left of the window before last is gone: carry-over is for one window.
        let next = window == self.state.window + 1;
        let carried = if next {
            let BudgetState { spent, carried, given, received: got, .. } = self.state;
            let calls = calls.map_or(0, |share| keep(share, carried.0 + got.0, spent.0 + given.0));
            let money = money.map_or(0, |m| keep(m.0, carried.1.0 + got.1.0, spent.1.0 + given.1.0));
            (calls, Money(money))
        } else {
            (calls.map_or(0, most), Money(money.map_or(0, |m| most(m.0))))
        };
        self.state = BudgetState { window, carried, ..BudgetState::default() };
    }

    /// Calls and money that may be spent in this window, with a part of the emergency allowance.
    fn allowance(&self, me: u32, level: f64) -> (Option<u64>, Option<Money>) {
        let (calls, money) = self.share(me, self.state.window);
        let more = |share: u64| (share as f64 * self.budget.emergency * level.clamp(0.0, 1.0)) as u64;
        let BudgetState { carried, given, received: got, .. } = self.state;
        let calls = calls.map(|n| (n + carried.0 + got.0 + more(n)).saturating_sub(given.0));
        let money = money.map(|m| (m.0 + carried.1.0 + got.1.0 + more(m.0)).saturating_sub(given.1.0));
        (calls, money.map(Money))
    }

    fn fits(&self, me: u32, level: f64, cost: Money) -> bool {
        let (calls, money) = self.allowance(me, level);
        calls.is_none_or(|n| self.state.spent.0 < n)
            && money.is_none_or(|m| self.state.spent.1.0.saturating_add(cost.0) <= m.0)
    }

    /// What is spent as a share of what may be, of calls or money whichever is scarcer.
    fn part_spent(&self, me: u32, level: f64) -> f64 {
        let (calls, money) = self.allowance(me, level);
        let part = |spent: u64, may: u64| spent as f64 / (may as f64).max(1.0);
        let by_calls = calls.map_or(0.0, |n| part(self.state.spent.0, n));
        by_calls.max(money.map_or(0.0, |m| part(self.state.spent.1.0, m.0)))
    }

    /// Lets the mean of what is wanted forget what has passed; returns the time constant, seconds.
    fn forget(&mut self, now: Duration) -> f64 {
        let forget = (self.budget.period.duration().as_secs_f64() * FORGET_SHARE).max(10.0);
        let passed = now.saturating_sub(self.wanted_at).as_secs_f64();
        self.wanted_per_s *= (-passed / forget).exp();
        self.wanted_at = now;
        forget
    }

    /// How far spending is ahead of the window's time, as a share of what may be spent.
    fn ahead(&self, me: u32, level: f64, now: Duration) -> f64 {
        let left =
            self.budget.period.remaining(now).as_secs_f64() / self.budget.period.duration().as_secs_f64();
        self.part_spent(me, level) - (1.0 - left)
    }

    /// Calls and money spent at the window's end, if things go on as they do.
    fn expected(&self, now: Duration) -> (f64, f64) {
        let more = self.wanted_per_s * self.budget.period.remaining(now).as_secs_f64();
        let (calls, money) = self.state.spent;
        let mean_cost = if calls == 0 { 0.0 } else { money.0 as f64 / calls as f64 };
        (calls as f64 + more, money.0 as f64 + more * mean_cost)
    }

    /// Spent at the window's end over what may be, if things go on as they do.
    fn forecast(&self, me: u32, level: f64, now: Duration) -> f64 {
        let (calls, money) = self.allowance(me, level);
        let expected = self.expected(now);
        let ratio = |spent: f64, may: f64| spent / may.max(1.0);
        let by_calls = calls.map_or(0.0, |n| ratio(expected.0, n as f64));
        let by_money = money.map_or(0.0, |m| ratio(expected.1, m.0 as f64));
        by_calls.max(by_money)
    }
}

/// The account of one gateway.
#[derive(Debug)]
pub struct Account {
    from: Arc<str>,
    me: u32,
    lines: Vec<Line>,
    /// Refused for want of budget, by zone.
    refused: BTreeMap<Arc<str>, u64>,
    priced: Duration,
    /// The last grant made, and the last one heard of each gateway. Numbers begin at the time of the start, so that a
    /// restart does not use one again.
    next_grant: u64,
    heard: BTreeMap<u32, u64>,
    now: Duration,
}

impl Account {
    /// An account of the budgets, for the gateway of this number among the sharers.
    ///
    /// # Errors
    /// See [`BudgetError`].
    pub fn new(from: Arc<str>, me: u32, budgets: Vec<Budget>) -> Result<Self, BudgetError> {
        budgets.iter().try_for_each(Budget::validate)?;
        let line = |budget| Line {
            budget,
            state: BudgetState::default(),
            wanted_per_s: 0.0,
            wanted_at: Duration::ZERO,
            price: PRICE.0,
            deaf: None,
        };
        let lines = budgets.into_iter().map(line).collect();
        Ok(Self {
            from,
            me,
            lines,
            refused: BTreeMap::new(),
            priced: Duration::ZERO,
            next_grant: 0,
            heard: BTreeMap::new(),
            now: Duration::ZERO,
        })
    }

    fn advance(&mut self, now: Duration) {
        let first = self.now.is_zero();
        self.now = self.now.max(now);
        if first {
            self.next_grant = u64::try_from(self.now.as_nanos()).unwrap_or(0);
        }
        for line in &mut self.lines {
            if first && line.state.window == 0 {
                // A gateway that has just begun has saved nothing up.
                line.state.window = line.budget.period.window_at(self.now);
            }
            line.turn(self.me, self.now);
        }
    }

    /// Whether a spill could be paid for, with so much of the emergency allowance.
    pub fn can_afford(&mut self, now: Duration, to: &str, cost: Money, level: f64) -> bool {
        self.advance(now);
        let from = &*self.from;
        self.lines.iter().filter(|l| l.budget.covers(from, to)).all(|l| l.fits(self.me, level, cost))
    }

    /// Notes that a call would spill if it could: forecasts go by what is wanted, or a spent budget would look as if
    /// nobody wanted any.
    pub fn record_demand(&mut self, now: Duration, to: &str) {
        self.advance(now);
        let now = self.now;
        for line in self.lines.iter_mut().filter(|l| l.budget.covers(&self.from, to)) {
            let forget = line.forget(now);
            line.wanted_per_s += 1.0 / forget;
        }
    }

    /// Pays for a spill.
    ///
    /// # Errors
    /// Where a budget has not enough left; nothing is charged then.
    pub fn charge(
        &mut self,
        now: Duration,
        to: &Arc<str>,
        cost: Money,
        level: f64,
    ) -> Result<Charge, BudgetExhausted> {
        if !self.can_afford(now, to, cost, level) {
            *self.refused.entry(to.clone()).or_default() += 1;
            return Err(BudgetExhausted);
        }
        let mut windows = Vec::new();
        for (n, line) in self.lines.iter_mut().enumerate().filter(|(_, l)| l.budget.covers(&self.from, to)) {
            line.state.spent.0 += 1;
            line.state.spent.1 = Money(line.state.spent.1.0.saturating_add(cost.0));
            windows.push((n, line.state.window));
        }
        Ok(Charge { cost, windows })
    }

    /// Gives back what a set-up was charged that did not stand. What belongs to a window that is over stays spent:
    /// the next one may have been begun on the strength of it.
    pub fn refund(&mut self, now: Duration, charge: &Charge) {
        self.advance(now);
        for (n, window) in &charge.windows {
            if let Some(line) = self.lines.get_mut(*n).filter(|l| l.state.window == *window) {
                line.state.spent.0 = line.state.spent.0.saturating_sub(1);
                line.state.spent.1 = Money(line.state.spent.1.0.saturating_sub(charge.cost.0));
            }
        }
    }

    /// The price of a spill, as a multiple of the usual: the dearest of the budgets that it counts in (dual ascent on
    /// the forecast: it rises while more will be spent than may be, and falls while less will).
    pub fn price(&mut self, now: Duration, to: &str, level: f64) -> f64 {
        self.advance(now);
        let now = self.now;
        if now.saturating_sub(self.priced) >= PRICE_STEP {
            self.priced = now;
            for line in &mut self.lines {
                line.forget(now);
                let over = (line.forecast(self.me, level, now) - 1.0).clamp(-1.0, 1.0);
                line.price = (line.price * (PRICE_GAIN * over).exp()).clamp(PRICE.0, PRICE.1);
            }
        }
        let covering = self.lines.iter().filter(|l| l.budget.covers(&self.from, to));
        let now_price = |l: &Line| {
            let ahead = (l.ahead(self.me, level, now) - AHEAD.0).max(0.0);
            l.price * (AHEAD.1 * ahead).exp()
        };
        covering.map(now_price).fold(PRICE.0, f64::max)
    }

    /// The part of the scarcest budget that is left in this window, 0 to 1.
    pub fn remaining_share(&mut self, now: Duration, to: &str, level: f64) -> f64 {
        self.advance(now);
        let covering = self.lines.iter().filter(|l| l.budget.covers(&self.from, to));
        1.0 - covering.map(|l| l.part_spent(self.me, level)).fold(0.0, f64::max).min(1.0)
    }

    /// What this gateway says to others of its zone now: each budget that it will want more of than it has. Whom it says
    /// it to, and how often, is its embedder's to settle.
    pub fn budget_requests(&mut self, now: Duration) -> Vec<GrantMessage> {
        self.advance(now);
        let me = self.me;
        let word = |(n, line): (usize, &Line)| {
            let (calls, money) = line.allowance(me, 0.0);
            let expected = line.expected(self.now);
            let lacks = |may: u64, expected: f64| (expected.ceil() as u64).saturating_sub(may);
            let calls = calls.map_or(0, |n| lacks(n, expected.0));
            let money = Money(money.map_or(0, |m| lacks(m.0, expected.1)));
            let wanted = calls > 0 || money.0 > 0;
            let (budget, window) = (u16::try_from(n).ok()?, line.state.window);
            wanted.then_some(GrantMessage::Need { budget, window, calls, money })
        };
        self.lines.iter().enumerate().filter_map(word).collect()
    }

    /// Another gateway of the zone has said something: what is answered, if anything. What it says of a window that is
    /// over, or not begun here, changes nothing.
    pub fn on_message(&mut self, now: Duration, from: u32, word: &GrantMessage) -> Option<GrantMessage> {
        self.advance(now);
        let (me, now) = (self.me, self.now);
        match *word {
            GrantMessage::Need { budget: n, window, calls, money } => {
                let line = self.lines.get_mut(usize::from(n)).filter(|l| l.state.window == window)?;
                let (may_calls, may_money) = line.allowance(me, 0.0);
                let expected = line.expected(now);
                let spent = line.state.spent;
                let calls = may_calls.map_or(0, |may| spare(may, expected.0, spent.0, calls));
                let money = Money(may_money.map_or(0, |may| spare(may.0, expected.1, spent.1.0, money.0)));
                if calls == 0 && money.0 == 0 {
                    return None;
                }
                // Taken off before it is said.
                line.state.given = (line.state.given.0 + calls, Money(line.state.given.1.0 + money.0));
                self.next_grant += 1;
                Some(GrantMessage::Grant { budget: n, window, id: self.next_grant, calls, money })
            }
            GrantMessage::Grant { budget: n, window, id, calls, money } => {
                let last = self.heard.entry(from).or_default();
                let line = self.lines.get_mut(usize::from(n)).filter(|l| l.state.window == window)?;
                // One that was overtaken by a later one is lost with those that never came.
                if id <= *last || line.deaf == Some(window) {
                    return None;
                }
                *last = id;
                line.state.received =
                    (line.state.received.0 + calls, Money(line.state.received.1.0 + money.0));
                None
            }
        }
    }

    /// Each budget with what was spent of this gateway's share, and that share now.
    #[must_use]
    pub fn budget_views(&self) -> Vec<BudgetView> {
        let of = |l: &Line| (l.budget.clone(), l.state, l.allowance(self.me, 0.0));
        self.lines.iter().map(of).collect()
    }

    /// Spills that were not paid for, by zone.
    #[must_use]
    pub const fn refused(&self) -> &BTreeMap<Arc<str>, u64> {
        &self.refused
    }

    /// The account, to be kept over a restart.
    #[must_use]
    pub fn save(&self) -> SavedAccount {
        SavedAccount {
            at_ns: u64::try_from(self.now.as_nanos()).unwrap_or(u64::MAX),
            budgets: self.lines.iter().map(|l| l.budget.clone()).collect(),
            states: self.lines.iter().map(|l| l.state).collect(),
            last_grants: self.heard.iter().map(|(from, id)| (*from, *id)).collect(),
        }
    }

    /// Takes up a saved account. A budget that was not in it, or that has changed, begins with its share of this window
    /// spent: a restart must be no way to spend twice.
    pub fn restore(&mut self, now: Duration, saved: Option<&SavedAccount>) {
        // A clock that was set back meanwhile counts as one that stands still, over the restart too.
        self.advance(now.max(saved.map_or(Duration::ZERO, |s| Duration::from_nanos(s.at_ns))));
        let known: Vec<(&Budget, &BudgetState)> =
            saved.map(|s| s.budgets.iter().zip(&s.states).collect()).unwrap_or_default();
        self.heard = saved.map(|s| s.last_grants.iter().copied().collect()).unwrap_or_default();
        for line in &mut self.lines {
            let same = known.iter().find(|(budget, _)| **budget == line.budget);
            match same {
                Some((_, state)) => {
                    line.state = **state;
                    line.turn(self.me, self.now);
                }
                None => {
                    let (calls, money) = line.share(self.me, line.state.window);
                    line.state.spent = (calls.unwrap_or(0), money.unwrap_or_default());
                    line.state.carried = (0, Money(0));
                    // Which grants of this window were heard, and spent, is not known either.
                    line.deaf = Some(line.state.window);
                }
            }
        }
    }
}
