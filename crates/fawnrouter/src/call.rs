//! A call from its arrival to its final answer: state, worth, quota of the tenant, ends of attempts.

use std::time::Duration;

use crate::controller::*;
use crate::interface::*;
use crate::server::*;
use crate::throttle::ASSESSMENT_INTERVAL;

/// Final answers go out this long before they are due, at most a quarter of the try before, because the
/// gateway's own process may stall for a while.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);
/// A gap between calls of this many times the usual one, and of a tick at least, is a lull. By chance one gap
/// in 150 is as long (e^-5).
const LULL_GAP_FACTOR: f64 = 5.0;
/// Longest wait that is observed where a server with a full processor asks for one.
const MAX_REQUESTED_WAIT: Duration = Duration::from_secs(2);
/// No set-ups go to a number for this long after all its lines were busy.
const BUSY_NUMBER_PAUSE: Duration = Duration::from_secs(2);
/// Seconds of its quota that a tenant may use at once.
const QUOTA_BURST_S: f64 = 4.0;

/// The state of a call that is held, has an outstanding attempt, or is established.
#[derive(Debug, Default)]
pub(crate) struct Call {
    pub(crate) request: NewCall,
    /// When its final answer goes out at the latest.
    pub(crate) answer_by: Time,
    /// Time between `answer_by` and the caller's own deadline.
    pub(crate) answer_margin: Duration,
    pub(crate) aim: Duration,
    /// When its aim ends, counted from the first call to the same number.
    pub(crate) aim_ends_at: Time,
    pub(crate) worth: f64,
    /// Share of the worth that is left after the aim; 1 once it has been applied.
    pub(crate) late_share: f64,
    pub(crate) effect: Effect,
    pub(crate) attempts: u32,
    pub(crate) outstanding: Option<(AttemptNo, ServerId)>,
    pub(crate) established: bool,
    /// No further attempt before this time, while an earlier one may still hold its resources.
    pub(crate) not_before: Time,
    /// The first attempt that may have run: when it was sent, and where to.
    pub(crate) may_have_run: Option<(Time, ServerId)>,
    pub(crate) sent_at: Time,
    pub(crate) last_failed_server: Option<ServerId>,
    /// The outstanding attempt has been cancelled.
    pub(crate) cancel_sent: bool,
}

impl Call {
    pub(crate) fn routing_request(&self, now: Time) -> RoutingRequest {
        RoutingRequest {
            call: self.request.id,
            class: self.request.class,
            worth: self.worth,
            aim: self.aim,
            aim_left: self.aim_ends_at.since(now),
            time_left: self.answer_by.since(now),
        }
    }

    /// Whether the call can have no further attempt: it has had them all, or may have run and must not run
    /// again. Such a call gets its final answer at once instead of being held for nothing.
    pub(crate) fn has_no_attempt_left(&self, now: Time, max_attempts: u32) -> bool {
        let must_not_run_again = match (self.effect, self.may_have_run) {
            (Effect::Safe, _) | (_, None) => false,
            (Effect::Unsafe, Some(_)) => true,
            (Effect::Keyed { window, .. }, Some((sent, _))) => now.since(sent) + SCAN_INTERVAL >= window,
        };
        self.outstanding.is_none()
            && !self.established
            && (must_not_run_again || self.attempts >= max_attempts)
    }

    /// After its aim a call keeps only the late share of its worth; this is applied once.
    pub(crate) fn reduce_worth_if_late(&mut self, now: Time) {
        if now > self.aim_ends_at {
            (self.worth, self.late_share) = (self.worth * self.late_share, 1.0);
        }
    }

    /// The call's place in the order of held calls: highest worth first, then earliest aim.
    pub(crate) fn held_key(&self) -> HeldKey {
        (!self.worth.max(0.0).to_bits(), self.aim_ends_at, self.request.id)
    }
}

/// Order of the held calls: bits of the worth, inverted so that the highest comes first; end of the aim; the
/// call.
pub(crate) type HeldKey = (u64, Time, CallId);

/// Recent calls to a number.
#[derive(Debug)]
pub(crate) struct NumberHistory {
    first_call: Time,
    pub(crate) last_call: Time,
    /// All its lines were busy; no set-ups before this time.
    busy_until: Time,
}

/// Calls of a tenant inside its quota, as a leaky bucket.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QuotaLevel {
    calls: f64,
    updated_at: Time,
}

/// The end of an attempt, as reported by [`Event::Closed`].
#[derive(Debug)]
pub(crate) struct ClosedAttempt {
    pub(crate) call: CallId,
    pub(crate) attempt: AttemptNo,
    pub(crate) server: ServerId,
    /// The call is over; no final answer is due.
    pub(crate) done: bool,
    pub(crate) outcome: Outcome,
    pub(crate) detail: OutcomeDetail,
    pub(crate) report: LoadReport,
}

impl Controller {
    pub(crate) fn on_call(&mut self, now: Time, request: NewCall) {
        let gap = now.since(std::mem::replace(&mut self.last_call, now));
        if gap >= ASSESSMENT_INTERVAL && gap.as_secs_f64() * self.established_rate > LULL_GAP_FACTOR {
            self.servers.values_mut().for_each(|s| s.reset_credit_after_lull(now, &self.settings));
        }
        if self.calls.contains_key(&request.id) {
            return;
        }
        let Some(class) = request.class.and_then(|c| self.settings.classes.get(c.0)).cloned() else {
            self.actions.push(Action::Refuse { call: request.id, retry_after: Duration::ZERO });
            return;
        };
        let number = self.numbers.entry(request.number.clone());
        let number =
            number.or_insert(NumberHistory { first_call: now, last_call: now, busy_until: Time::default() });
        number.last_call = now;
        let number_busy = now < number.busy_until;
        let (mut worth, first_call) = (class.points, number.first_call);
        if request.tenant.is_some_and(|t| !self.within_quota(now, t)) {
            worth *= self.settings.over_share_worth;
        }
        let (id, time_left) = (request.id, request.time_left);
        let margin = ANSWER_MARGIN.min(request.time_left / 4).max(SCAN_INTERVAL * 2);
        let mut call = Call {
            answer_by: now.plus(request.time_left.saturating_sub(margin)),
            answer_margin: margin,
            aim: class.aim,
            aim_ends_at: first_call.plus(class.aim),
            worth,
            late_share: class.late_share,
            effect: class.effect,
            sent_at: now,
            request,
            ..Call::default()
        };
        call.reduce_worth_if_late(now);
        self.held.insert(call.held_key());
        self.calls.insert(id, call);
        // Calls may arrive with next to no time left, for example after this process stalled.
        if margin + SCAN_INTERVAL > time_left {
            return self.refuse_or_fail(id);
        }
        // While all lines of a number were just seen busy, nothing is set up to it, so that a flood of calls
        // to one number does not use up set-ups. Drawback for a number with one short call after another.
        if number_busy {
            return self.refuse_or_fail(id);
        }
        if !self.route_held_call(now) {
            self.route_call(now, id);
        }
    }

    /// Whether a call of this tenant lies inside this gateway's part of its quota.
    fn within_quota(&mut self, now: Time, tenant: TenantId) -> bool {
        let quota = self.settings.tenants.get(tenant.0).and_then(|t| t.quota_per_s);
        let Some((quota, level)) = quota.zip(self.quota_levels.get_mut(tenant.0)) else {
            return true;
        };
        let rate = quota / f64::from(self.settings.gateways);
        level.calls = (level.calls - rate * now.since(level.updated_at).as_secs_f64()).max(0.0);
        level.updated_at = now;
        let within = level.calls + 1.0 <= (rate * QUOTA_BURST_S).max(1.0);
        if within {
            level.calls += 1.0;
        }
        within
    }

    /// Removes a call and everything that refers to it.
    pub(crate) fn forget_call(&mut self, call: CallId) {
        self.routing_policy.iter_mut().for_each(|policy| policy.attempt_resolved(call, false));
        let removed = self.calls.remove(&call);
        if let Some(c) = &removed {
            self.held.remove(&c.held_key());
        }
        let server = removed.and_then(|c| c.outstanding).map(|(_, server)| server);
        if let Some(s) = server.and_then(|server| self.servers.get_mut(&server)) {
            s.unanswered.retain(|(_, id)| *id != call);
        }
    }

    /// Gives a call that goes no further its one final answer: a refusal where the caller may safely try
    /// again, otherwise a failure.
    pub(crate) fn refuse_or_fail(&mut self, call: CallId) {
        let Some(c) = self.calls.get(&call) else { return };
        let limits = &self.settings.limits;
        let retry_after = if limits.retry_after { limits.max_retry_after } else { Duration::ZERO };
        let refusable = match (c.effect, c.may_have_run) {
            (Effect::Safe, _) | (_, None) => c.outstanding.is_none() || c.effect == Effect::Safe,
            (Effect::Keyed { group, .. }, Some(_)) => group == RepeatGroup::All && c.outstanding.is_none(),
            (Effect::Unsafe, Some(_)) => false,
        };
        if refusable {
            self.actions.push(Action::Refuse { call, retry_after });
        } else {
            self.actions.push(Action::Fail(call));
        }
        self.forget_call(call);
    }

    pub(crate) fn on_established(
        &mut self,
        now: Time,
        call: CallId,
        attempt: (AttemptNo, ServerId),
        set_up_time: Duration,
    ) {
        let known = self.calls.get_mut(&call).filter(|c| c.outstanding == Some(attempt) && !c.established);
        if let Some(c) = known {
            c.established = true;
            self.routing_policy.iter_mut().for_each(|policy| policy.attempt_resolved(call, true));
            self.on_answer(now, attempt.1, call, Some(set_up_time));
        }
    }

    /// A server answered one of its set-ups; `set_up_time` is given where the call was established.
    fn on_answer(&mut self, now: Time, id: ServerId, call: CallId, set_up_time: Option<Duration>) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.unanswered.retain(|(_, c)| *c != call);
        if let Some(set_up_time) = set_up_time {
            s.misses = 0;
            s.latest_answered_send = s.latest_answered_send.max(now.minus(set_up_time));
            s.record_delay(set_up_time.as_secs_f64());
            s.answer_times.push_back(now);
            s.established_this_tick += 1;
        }
        s.last_answer = now;
        if set_up_time.is_some() && std::mem::take(&mut s.trials_only) {
            self.actions.push(Action::Log(format!("server {} takes set-ups again", id.0)));
        }
    }

    pub(crate) fn on_closed(&mut self, now: Time, closed: ClosedAttempt) {
        let ClosedAttempt { call, attempt, server, done, outcome, detail, report } = closed;
        if let Some(s) = self.servers.get_mut(&server) {
            s.record_free_circuits(now, &report);
            s.reported_utilisation = report.utilisation.or(s.reported_utilisation);
            // A reported wait is one more sample of the set-up delay.
            if let (Some(wait), Some(min_delay)) = (report.queue_wait, s.min_delay) {
                s.tick_delays.add(min_delay + wait.as_secs_f64());
            }
        }
        let outstanding = Some((attempt, server));
        let Some(c) = self.calls.get_mut(&call).filter(|c| c.outstanding == outstanding) else { return };
        let was_established = c.established;
        self.routing_policy.iter_mut().for_each(|policy| policy.attempt_resolved(call, was_established));
        c.outstanding = None;
        c.last_failed_server = Some(server);
        if !outcome.never_ran() && c.may_have_run.is_none() {
            c.may_have_run = Some((c.sent_at, server));
        }
        if outcome.needs_release() {
            c.not_before = now.plus(self.settings.rules.release_guard);
        }
        if let (true, Some(s)) = (was_established, self.servers.get_mut(&server))
            && let Some(free) = &mut s.free
        {
            free.count = free.count.max(0.0) + c.request.width;
        }
        match outcome {
            _ if was_established => {}
            Outcome::Full | Outcome::Error | Outcome::Ended => {
                self.on_answer(now, server, call, None);
                match (self.servers.get_mut(&server), detail) {
                    (Some(s), OutcomeDetail::ProcessorFull(wait)) => {
                        s.full_this_tick = true;
                        s.record_misses(now, 1, &mut self.actions);
                        let wait = wait.unwrap_or_default().clamp(MIN_TRIAL_PAUSE, MAX_REQUESTED_WAIT);
                        s.not_before = now.plus(wait);
                    }
                    (Some(s), OutcomeDetail::NoCircuit) => {
                        s.free = Some(FreeCircuits { count: 0.0, reported_at: now });
                    }
                    _ => {}
                }
            }
            _ => self.on_no_answer(now, server, call, outcome),
        }
        if detail == OutcomeDetail::NumberBusy
            && let Some(number) = self.calls.get(&call).and_then(|c| self.numbers.get_mut(&c.request.number))
        {
            number.busy_until = now.plus(BUSY_NUMBER_PAUSE);
        }
        let max_attempts = self.settings.limits.max_attempts;
        if done || was_established {
            self.forget_call(call);
        } else if detail == OutcomeDetail::NumberBusy
            || self.calls.get(&call).is_some_and(|c| c.has_no_attempt_left(now, max_attempts))
        {
            self.refuse_or_fail(call);
        } else {
            self.held.extend(self.calls.get(&call).map(Call::held_key));
        }
        if !was_established {
            self.route_held_call(now);
        }
    }

    /// A set-up ended without any message from the server.
    fn on_no_answer(&mut self, now: Time, id: ServerId, call: CallId, outcome: Outcome) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        let sent = s.unanswered.iter().find(|(_, c)| *c == call).map(|(t, _)| *t);
        s.unanswered.retain(|(_, c)| *c != call);
        let silent_since_sent = sent.is_some_and(|t| s.last_answer < t);
        if outcome == Outcome::Moot || !(silent_since_sent || s.trials_only) {
            return;
        }
        let misses = if outcome == Outcome::ConnectFailed { TRIALS_ONLY_AFTER_MISSES } else { 1 };
        s.record_misses(now, misses, &mut self.actions);
    }

    /// Cancels attempts whose answers are lost, so that their calls can be sent again while there is time;
    /// waiting for a lost answer would cost the whole try. Drawback at servers that don't answer in order.
    pub(crate) fn cancel_attempts_with_lost_answer(&mut self, now: Time) {
        let next_attempt = now.plus(self.settings.rules.release_guard + SCAN_INTERVAL);
        for id in self.servers.values().flat_map(Server::set_ups_with_lost_answer) {
            let Some(c) = self.calls.get_mut(&id).filter(|c| self.settings.limits.cancel && !c.cancel_sent)
            else {
                continue;
            };
            let may_go_again = c.attempts < self.settings.limits.max_attempts && next_attempt < c.answer_by;
            let cancellable =
                c.outstanding.filter(|_| may_go_again && !c.established && c.effect == Effect::Safe);
            if let Some((attempt, _)) = cancellable {
                c.cancel_sent = true;
                self.actions.push(Action::Cancel { call: id, attempt });
            }
        }
    }
}
