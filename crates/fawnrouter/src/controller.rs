//! The decisions of one gateway: which call set-ups go to which server (core switch), and which are held or
//! refused. This file has the controller's state, its entry point [`Controller::handle`] and what is due by
//! time; the rest is in:
//!
//! | file | decisions |
//! | --- | --- |
//! | `throttle.rs` | fraction of set-ups allowed to a server (ARO and Determ. of the paper) |
//! | `server.rs` | a server's state: occupancy, queue, pace, cold start, trials after failures |
//! | `call.rs` | a call's state: arrival, quota, ends of attempts, final answer |
//! | `routing.rs` | order of held calls, choice of server, the check that every attempt passes |
//! | `delay_reports.rs` | delays reported to and by other gateways |
//! | `server_list.rs` | the list of servers, cold starts, servers that are gone |
//!
//! Types, events and actions are in `interface.rs`; the design is explained in `docs/design.md`. "The paper"
//! is *Fast and Robust Signaling Overload Control*.

use std::collections::{BTreeMap, BTreeSet};
use std::{sync::Arc, time::Duration};

use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

use crate::call::*;
use crate::interface::*;
use crate::server::*;
use crate::throttle::*;

/// Interval between two scans of the calls held. A deadline is acted on at most two intervals late.
pub(crate) const SCAN_INTERVAL: Duration = Duration::from_millis(20);
pub(crate) const SCAN_TIMER: TimerId = TimerId(0);
/// fmin is the lower limit of f: a few set-ups always go to a server, which keeps samples coming, so that no
/// server stays shut out. This is the sum of fmin over all gateways.
const F_MIN_SUM: f64 = 0.5;
/// Lower limit of a gateway's fmin, for many gateways: f must still be able to recover from it.
pub(crate) const F_MIN_LOW: f64 = 0.005;
/// Upper limit of a gateway's fmin, for a single gateway: fmin must let little through.
pub(crate) const F_MIN_HIGH: f64 = 0.05;
/// A server with fewer own delay samples than this is assessed with the smallest delay of all servers instead
/// of its own smallest.
const MIN_DELAY_SAMPLES: u32 = 8;
/// Once f falls below this, a server is logged as pressed: this gateway holds back a large part of the
/// set-ups for it.
const THROTTLED_BELOW_F: f64 = 0.5;
/// Once f is back at this, a server is logged as no longer pressed.
const NOT_THROTTLED_FROM_F: f64 = 0.9;
/// Held calls are routed at each tick: one, and as many more as a server usually gets set-ups in this many
/// seconds.
const HELD_CALLS_SPAN_S: f64 = 4.0;
/// How long the history of a number is kept after its last call.
const NUMBER_HISTORY_EXPIRY: Duration = Duration::from_secs(10);
/// While there is no subscription, the list is requested again after [`Rules::subscribe_within`] divided by
/// this.
const SUBSCRIBE_RETRY_DIVISOR: u32 = 8;

/// The decisions of one gateway.
#[derive(Debug)]
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) routing_policy: Option<Box<dyn RoutingPolicy>>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) calls: BTreeMap<CallId, Call>,
    /// Calls that wait for a server, in the order in which they are routed.
    pub(crate) held: BTreeSet<HeldKey>,
    pub(crate) numbers: BTreeMap<Arc<str>, NumberHistory>,
    /// Use of the quotas, by [`TenantId`].
    pub(crate) quota_levels: Vec<QuotaLevel>,
    /// When the present tick ends and the next one begins. A tick is one [`ASSESSMENT_INTERVAL`].
    next_tick: Time,
    /// Ticks since the last report to other gateways.
    pub(crate) ticks_since_report: u32,
    /// Own set-ups a second that are established, at all servers together, as a running mean.
    pub(crate) established_rate: f64,
    /// Ticks in that mean.
    established_rate_ticks: u32,
    next_scan: Time,
    pub(crate) last_call: Time,
    /// A list of servers has been received.
    pub(crate) has_list: bool,
    pub(crate) last_subscribe: Option<Time>,
    pub(crate) subscribed: bool,
    pub(crate) actions: Vec<Action>,
}

impl Controller {
    /// A controller with these settings, without servers or calls.
    ///
    /// # Errors
    /// If the settings fail [`Settings::validate`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            quota_levels: vec![QuotaLevel::default(); settings.tenants.len()],
            settings,
            routing_policy: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            held: BTreeSet::new(),
            numbers: BTreeMap::new(),
            next_tick: Time::default(),
            ticks_since_report: 0,
            established_rate: 0.0,
            established_rate_ticks: 0,
            next_scan: Time::default(),
            last_call: Time::default(),
            has_list: false,
            last_subscribe: None,
            subscribed: false,
            actions: Vec::new(),
        })
    }

    /// Adds a policy that takes part in the choice of server.
    #[must_use]
    pub fn with_routing_policy(mut self, policy: Box<dyn RoutingPolicy>) -> Self {
        self.routing_policy = Some(policy);
        self
    }

    /// Processes one event at the clock's reading `now`, and appends what the embedder must do to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if self.next_scan == Time::default() {
            // Gateways that start together must not all tick together.
            let phase = ASSESSMENT_INTERVAL.mul_f64(self.random_unit());
            self.next_tick = now.plus(phase);
            self.next_scan = now;
        }
        match event {
            Event::List { kind, entries } => self.on_list(now, kind, entries),
            Event::Call(request) => self.on_call(now, request),
            Event::Established { call, attempt, server, took } => {
                self.on_established(now, call, (attempt, server), took);
            }
            Event::Closed { call, attempt, server, done, outcome, detail, report, .. } => {
                let closed = ClosedAttempt { call, attempt, server, done, outcome, detail, report };
                self.on_closed(now, closed);
            }
            Event::Abandoned(call) => self.forget_call(call),
            Event::Timer(_) => {}
            Event::Probed { server, report, .. } => {
                if let Some(s) = self.servers.get_mut(&server) {
                    s.record_free_circuits(now, &report);
                }
            }
            Event::PeerMessage { from, text } => self.on_delay_report(from, &text),
        }
        if now >= self.next_scan {
            self.scan(now);
            self.next_scan = now.plus(SCAN_INTERVAL);
            self.actions.push(Action::SetTimer { after: SCAN_INTERVAL, timer: SCAN_TIMER });
        }
        actions.append(&mut self.actions);
    }

    /// A random number from 0 to 1, 1 excluded.
    pub(crate) fn random_unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// What is due by time: ticks, late calls, lost answers, final answers, requests for the list.
    fn scan(&mut self, now: Time) {
        if now >= self.next_tick {
            self.next_tick = now.plus(ASSESSMENT_INTERVAL);
            self.end_tick(now);
        }
        // After its aim a call has a lower worth, so a held call gets a later place in the order.
        let newly_late =
            self.calls.values_mut().filter(|c| now > c.aim_ends_at && c.late_share != 1.0 && !c.established);
        for c in newly_late {
            let held = self.held.remove(&c.held_key());
            c.reduce_worth_if_late(now);
            if held {
                self.held.insert(c.held_key());
            }
        }
        self.cancel_attempts_with_lost_answer(now);
        let max_attempts = self.settings.limits.max_attempts;
        let over = |c: &Call| c.answer_by <= now || c.has_no_attempt_left(now, max_attempts);
        let due = self.calls.iter().filter(|(_, c)| !c.established && over(c));
        // An outstanding attempt times out at `answer_by` at the latest. Its outcome may still be under way,
        // so half of the margin is left for it to arrive.
        let due =
            due.filter(|(_, c)| c.outstanding.is_none() || c.answer_by.plus(c.answer_margin / 2) <= now);
        for id in due.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.refuse_or_fail(id);
        }
        if self.settings.discovery == Discovery::Subscribe {
            let pause = self.settings.rules.subscribe_within / SUBSCRIBE_RETRY_DIVISOR;
            if !self.subscribed && self.last_subscribe.is_none_or(|t| now.since(t) >= pause) {
                self.last_subscribe = Some(now);
                self.actions.push(Action::Subscribe);
            }
        }
    }

    /// The shortest aim of all classes, in seconds.
    pub(crate) fn shortest_aim_s(&self) -> f64 {
        let aims = self.settings.classes.iter().map(|c| c.aim.as_secs_f64());
        aims.fold(f64::INFINITY, f64::min).max(1e-3)
    }

    /// Ends a tick: assesses all servers, drops old state, reports to other gateways and routes held calls.
    pub(crate) fn end_tick(&mut self, now: Time) {
        let min_delay_of_all = self.servers.values().filter_map(|s| s.min_delay).min_by(f64::total_cmp);
        let f_min = (F_MIN_SUM / f64::from(self.settings.gateways)).clamp(F_MIN_LOW, F_MIN_HIGH);
        let aim = self.shortest_aim_s();
        let even_rate = self.update_even_rate();
        for (id, s) in &mut self.servers {
            if s.cold.is_some() && s.usual_rate_ticks == 0 {
                s.usual_rate = even_rate;
            }
            let min_delay = if s.delay_samples < MIN_DELAY_SAMPLES { min_delay_of_all } else { s.min_delay };
            s.end_tick(now, min_delay, aim, f_min);
            s.cold = s.cold.filter(|cold| now < cold.until);
            let throttled = s.throttle.f < if s.throttled { NOT_THROTTLED_FROM_F } else { THROTTLED_BELOW_F };
            if throttled != s.throttled {
                s.throttled = throttled;
                let state = if throttled { "pressed" } else { "no longer pressed" };
                self.actions.push(Action::Log(format!("server {} {state}, f {:.2}", id.0, s.throttle.f)));
            }
        }
        if let Some(policy) = &mut self.routing_policy {
            let mut servers = self.servers.values().map(|s| ServerView {
                entry: &s.entry,
                ready: s.entry.state == ServerState::Ready,
                healthy: s.cold.is_none() && !s.trials_only,
                allowed_fraction: s.throttle.f,
            });
            policy.observe(now, &mut servers);
        }
        self.numbers.retain(|_, number| now.since(number.last_call) < NUMBER_HISTORY_EXPIRY);
        self.forget_gone_servers(now);
        self.report_delays_to_peers();
        for _ in 0..1 + (self.mean_usual_rate() * HELD_CALLS_SPAN_S) as u32 {
            self.route_held_call(now);
        }
    }

    /// Own set-ups a second that are established at a server, averaged over all servers with a usual rate.
    pub(crate) fn mean_usual_rate(&self) -> f64 {
        let mut rates = Samples::default();
        self.servers.values().filter(|s| s.usual_rate_ticks > 0).for_each(|s| rates.add(s.usual_rate));
        rates.mean().unwrap_or(0.0)
    }

    /// Own set-ups a second that would be established at each server if all ready ones had equally many. Used
    /// as the usual rate at a cold server for which this gateway has none yet, for example just after the
    /// gateway has started. Otherwise, when hundreds of gateways restart together, cold servers would be left
    /// to the few others. Drawback: where load is spread very unevenly, a small server is sent too much.
    fn update_even_rate(&mut self) -> f64 {
        let established: u32 = self.servers.values().map(|s| s.established_this_tick).sum();
        self.established_rate_ticks = (self.established_rate_ticks + 1).min(USUAL_RATE_TICKS);
        self.established_rate += (f64::from(established) / ASSESSMENT_INTERVAL.as_secs_f64()
            - self.established_rate)
            / f64::from(self.established_rate_ticks);
        let ready = self.servers.values().filter(|s| s.entry.state == ServerState::Ready).count();
        self.established_rate / ready.max(1) as f64
    }
}

#[cfg(test)]
#[path = "controller_tests.rs"]
mod tests;
