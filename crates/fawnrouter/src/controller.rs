//! The decisions of one gateway: which call set-ups go to which server, and which are held or refused. Types,
//! events and actions are in `src/interface.rs`. "ARO", "Determ." and "the paper" refer to *Fast and Robust
//! Signaling Overload Control*, whose symbols (f, fA, fO, fmin, α, ρ, ρtarg, µmax, φmax) are used here.
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::{sync::Arc, time::Duration};

use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

use crate::interface::*;

// ---- Throttle: the ARO algorithm, one instance for each server ----------------------------------------

/// Interval between two assessments of a server (the paper's probe interval); one such interval is a tick. A
/// gateway sends a server only a few set-ups a second, so shorter intervals would hold no samples.
const ASSESSMENT_INTERVAL: Duration = Duration::from_millis(200);
/// Ticks over which acceptance rate and occupancy are averaged: k in section 4.3 of the paper.
const SHORT_MEAN_TICKS: usize = 5;
/// Ticks between two updates of µmax: K in section 4.3 of the paper, with K >> k.
const MU_MAX_UPDATE_TICKS: u32 = 10;
/// Weight of a new estimate of µmax in its running mean; the paper asks for a small one.
const MU_MAX_WEIGHT: f64 = 0.15;
/// ρtarg. Where occupancy is derived from delays, it stands for a mean set-up delay of 1 / (1 - ρtarg) times
/// the smallest.
const RHO_TARGET: f64 = 0.8;
/// µmax is learned only at this occupancy or above.
const MU_MAX_MIN_RHO: f64 = 0.3;
/// φmax: the allowed fraction grows by at most this factor in a tick.
const PHI_MAX: f64 = 1.25;

/// Computes the fraction of set-ups allowed to a server from acceptance rate and occupancy (ARO), and applies
/// it with a deterministic accumulator (Determ.).
#[derive(Debug, Default)]
pub(crate) struct Throttle {
    /// The allowed fraction f, 0 to 1.
    pub(crate) f: f64,
    /// r of Determ.: the part of a set-up that has been allowed and not yet used.
    accumulator: f64,
    /// Set-ups sent in this tick.
    passed: u32,
    /// A set-up was requested in this tick, whether it was allowed or not.
    requested: bool,
    passed_per_tick: VecDeque<f64>,
    occupancy_readings: VecDeque<Option<f64>>,
    /// µmax: the largest throughput learned, in set-ups a second.
    pub(crate) mu_max: Option<f64>,
    ticks: u32,
}

impl Throttle {
    pub(crate) fn new() -> Self {
        Self { f: 1.0, ..Self::default() }
    }

    /// Determ.: adds f to r; once r is 1 or more, subtracts 1 and lets the set-up pass.
    pub(crate) fn admit(&mut self) -> bool {
        self.requested = true;
        self.accumulator += self.f;
        let passes = self.accumulator >= 1.0;
        if passes {
            self.accumulator -= 1.0;
        }
        passes
    }

    /// α̂: set-ups passed a second, averaged over the last k ticks.
    pub(crate) fn acceptance_rate(&self) -> f64 {
        let n = self.passed_per_tick.len().max(1) as f64;
        self.passed_per_tick.iter().sum::<f64>() / (n * ASSESSMENT_INTERVAL.as_secs_f64())
    }

    /// ρ̂: mean of the readings in the last k ticks, if there are any.
    pub(crate) fn occupancy(&self) -> Option<f64> {
        let n = self.occupancy_readings.iter().flatten().count();
        (n > 0).then(|| self.occupancy_readings.iter().flatten().sum::<f64>() / n as f64)
    }

    /// Ends a tick: f = min(fA, fO). Without any reading f grows by φmax to the power of `growth_exponent`.
    pub(crate) fn assess(&mut self, reading: Option<f64>, f_min: f64, growth_exponent: f64) {
        self.passed_per_tick.push_back(f64::from(self.passed));
        self.occupancy_readings.push_back(reading);
        self.passed = 0;
        if self.passed_per_tick.len() > SHORT_MEAN_TICKS {
            self.passed_per_tick.pop_front();
            self.occupancy_readings.pop_front();
        }
        let (alpha, rho) = (self.acceptance_rate(), self.occupancy());
        self.ticks += 1;
        if self.ticks.is_multiple_of(MU_MAX_UPDATE_TICKS)
            && rho.is_some_and(|x| x >= MU_MAX_MIN_RHO)
            && alpha > 0.0
        {
            let estimate = alpha / rho.unwrap_or(1.0);
            self.mu_max = Some(self.mu_max.map_or(estimate, |mu| mu + MU_MAX_WEIGHT * (estimate - mu)));
        }
        // No reading at all (nothing sent, nothing unanswered) is no sign of load, so f may grow, but only as
        // fast as set-ups are requested: a gateway with one every few seconds must not discard its last
        // reading.
        let phi_without_reading = if self.requested { PHI_MAX.powf(growth_exponent) } else { 1.0 };
        let phi = rho.map_or(phi_without_reading, |x| (RHO_TARGET / x.max(1e-6)).min(PHI_MAX));
        self.requested = false;
        let f_o = (phi * self.f).clamp(f_min, 1.0);
        let above_target = self.occupancy_readings.iter().flatten().any(|x| *x > RHO_TARGET);
        let f_a = match self.mu_max {
            Some(mu) if above_target && alpha > 0.0 => (RHO_TARGET * mu / alpha * self.f).clamp(f_min, 1.0),
            _ => 1.0,
        };
        self.f = f_a.min(f_o);
    }
}

// ---- Server: what this gateway knows of a server, and when it may be sent to --------------------------

/// Usual set-ups of this gateway in whose time f grows by φmax while there is no reading. The last reading
/// thus stays in effect for about as long as it takes to get another.
const SET_UPS_PER_PHI_MAX_STEP: f64 = 0.4;
/// Smallest exponent of φmax in a tick without a reading, so that no server stays shut out.
const MIN_GROWTH_EXPONENT: f64 = 0.25;
/// Growth of the smallest delay per second, so that one lucky sample does not stay the smallest for ever.
const MIN_DELAY_GROWTH_PER_S: f64 = 0.01;
/// The smallest delay is taken to be at least this long, in seconds.
const MIN_DELAY_FLOOR_S: f64 = 1e-4;
/// Weight of a tick's mean delay in the running mean.
const MEAN_DELAY_WEIGHT: f64 = 0.4;
/// Weight of the smallest delay in the running mean, in a tick without samples and unanswered set-ups.
const IDLE_MEAN_DELAY_WEIGHT: f64 = 0.1;
/// Weight of a tick's occupancy in the smoothed occupancy.
const SMOOTHED_OCCUPANCY_WEIGHT: f64 = 0.1;
/// Share of the aim for which own set-ups may wait unanswered at a server before no more are sent.
const QUEUE_WAIT_AIM_SHARE: f64 = 0.2;
/// A mean wait at the server of this share of the shortest aim reads as ρtarg.
const RHO_TARGET_AIM_SHARE: f64 = 0.3;
/// Share of a cold server's budget that is used; the rest is left for work other than set-ups and for chance.
const COLD_BUDGET_SHARE: f64 = 0.7;
/// Most that a cold server is sent, as a multiple of its estimated present capacity: more would only queue.
const MAX_COLD_LOAD: f64 = 1.5;
/// Share of the way from cold to full capacity that a starting processor is assumed to go in the cold time.
const COLD_RAMP_SHARE: f64 = 0.8;
/// Ticks in the running mean of the usual rate at a server (20 s), long enough to hold some set-ups.
const USUAL_RATE_TICKS: u32 = 100;
/// This many set-ups in a row that got no answer, or found the processor full, make a server suspect.
const SUSPECT_AFTER_MISSES: u32 = 2;
/// A server whose circuits were all taken is tried again after this time without a report of a free one.
const FREE_CIRCUITS_EXPIRY: Duration = Duration::from_secs(2);
/// Circuits that all gateways together may take in a second, as a multiple of the free ones reported.
const FREE_CIRCUITS_USES_PER_S: f64 = 4.0;
/// Shortest pause between two trials of a suspect server.
const MIN_TRIAL_PAUSE: Duration = Duration::from_millis(300);
/// Rate of trials as a share of the usual rate of set-ups: all gateways together send too few of them to keep
/// a server congested.
const TRIAL_RATE_SHARE: f64 = 0.2;
/// Set-ups a second to one server, from all gateways together, that every pace allows.
const MIN_TOTAL_PACE_PER_S: f64 = 2.0;
/// Established set-ups are counted over this time for a server's answer rate.
const ANSWER_RATE_WINDOW: Duration = Duration::from_secs(2);

/// Sum and number of samples, for their mean.
#[derive(Clone, Copy, Debug, Default)]
struct Samples {
    sum: f64,
    n: u32,
}

impl Samples {
    fn add(&mut self, sample: f64) {
        self.sum += sample;
        self.n += 1;
    }

    fn mean(self) -> Option<f64> {
        (self.n > 0).then(|| self.sum / f64::from(self.n))
    }
}

/// The time in which a restarted or new server has less than its full capacity.
#[derive(Clone, Copy, Debug)]
struct ColdPeriod {
    since: Time,
    until: Time,
}

/// Free circuits towards a server, less those that own set-ups have taken since the report.
#[derive(Clone, Copy, Debug)]
struct FreeCircuits {
    count: f64,
    reported_at: Time,
}

/// Set-ups that a pace allows: a token bucket that holds one token.
#[derive(Clone, Copy, Debug, Default)]
struct Credit {
    set_ups: f64,
    updated_at: Time,
}

/// A server as this gateway sees it.
#[derive(Debug, Default)]
struct Server {
    entry: ServerEntry,
    throttle: Throttle,
    /// The smallest set-up delay seen, in seconds; it grows slowly.
    min_delay: Option<f64>,
    delay_samples: u32,
    /// Own samples of the set-up delay in this tick, in seconds.
    tick_delays: Samples,
    /// Own samples of the delay since the last report to other gateways.
    unreported_delays: Samples,
    /// Samples reported by other gateways in this tick.
    peer_delays: Samples,
    /// Ticks since the last own sample.
    ticks_without_sample: usize,
    /// It refused a set-up in this tick because its processor was full.
    full_this_tick: bool,
    /// Running mean of the set-up delay, in seconds.
    mean_delay: Option<f64>,
    smoothed_occupancy: f64,
    /// When set-ups were answered, within the answer rate's window.
    answer_times: VecDeque<Time>,
    last_answer: Time,
    /// When the newest of the answered set-ups was sent.
    latest_answered_send: Time,
    /// Set-ups in a row without an answer, or refused because the processor was full.
    misses: u32,
    /// Own set-ups without an answer, by the time of sending.
    unanswered: BTreeSet<(Time, CallId)>,
    /// Nothing is sent there before this time: after a refusal for a full processor, and between trials.
    not_before: Time,
    /// Only single trials are sent to it.
    suspect: bool,
    cold: Option<ColdPeriod>,
    credit: Credit,
    /// Own set-ups a second that are established there, as a running mean.
    usual_rate: f64,
    /// Ticks in that mean; 0: nothing is known of the usual rate.
    usual_rate_ticks: u32,
    established_this_tick: u32,
    reported_utilisation: Option<f64>,
    free: Option<FreeCircuits>,
    /// The operators were told that it is pressed.
    pressed: bool,
    /// A set-up is overtaken by one that was sent this much later.
    overtake_after: Duration,
    /// Since when it is gone.
    gone_since: Option<Time>,
}

impl Server {
    fn new(entry: ServerEntry, now: Time, initial_credit: f64, overtake_after: Duration) -> Self {
        Self {
            entry,
            throttle: Throttle::new(),
            last_answer: now,
            credit: Credit { set_ups: initial_credit, updated_at: now },
            overtake_after,
            ..Self::default()
        }
    }

    /// Own set-ups that still wait in the server's queue, oldest first. A set-up that a clearly later one has
    /// overtaken is not among them: its answer is lost. Otherwise lost messages would hold up further set-ups
    /// and count as long delays. Drawback: servers that don't answer in order are protected less.
    fn in_queue(&self) -> impl Iterator<Item = &(Time, CallId)> {
        self.unanswered.iter().filter(|(sent, _)| sent.plus(self.overtake_after) >= self.latest_answered_send)
    }

    /// Own set-ups whose answers are lost.
    fn overtaken(&self) -> impl Iterator<Item = CallId> {
        let lost = self
            .unanswered
            .iter()
            .filter(|(sent, _)| sent.plus(self.overtake_after) < self.latest_answered_send);
        lost.map(|(_, call)| *call)
    }

    /// Keeps the number of free circuits from a report that has one.
    fn record_free_circuits(&mut self, now: Time, report: &LoadReport) {
        self.free = report.free_circuits.map(|count| FreeCircuits { count, reported_at: now }).or(self.free);
    }

    /// Adds a sample of the set-up delay, in seconds. The occupancy derived from delays is 1 - smallest /
    /// mean.
    fn record_delay(&mut self, delay: f64) {
        self.tick_delays.add(delay);
        self.delay_samples += 1;
        self.min_delay = Some(self.min_delay.map_or(delay, |x| x.min(delay)).max(MIN_DELAY_FLOOR_S));
    }

    /// Ends a tick: derives a reading of the occupancy and assesses the throttle. `min_delay` and `aim` are
    /// in seconds.
    ///
    /// The age of an unanswered set-up counts as a delay once it exceeds the usual one, so that delays which
    /// no answer shows yet are seen: a hang shows within a second, and so do stalls and slow servers.
    /// Drawback: a single lost answer counts too, and lowers f until it leaves the mean of k ticks.
    fn end_tick(&mut self, now: Time, min_delay: Option<f64>, aim: f64, f_min: f64) {
        let mut delays = std::mem::take(&mut self.tick_delays);
        let usual_delay = self.mean_delay.unwrap_or(0.0).max(2.0 * min_delay.unwrap_or(0.0));
        let ages = self.in_queue().map(|(sent, _)| now.since(*sent).as_secs_f64());
        ages.filter(|age| *age > usual_delay).for_each(|age| delays.add(age));
        self.unreported_delays.sum += delays.sum;
        self.unreported_delays.n += delays.n;
        // Delays reported by other gateways fill the gaps between own samples. Where there are enough own
        // samples they are left out: they come late and would exaggerate the reaction.
        self.ticks_without_sample = if delays.n > 0 { 0 } else { self.ticks_without_sample + 1 };
        let peer_delays = std::mem::take(&mut self.peer_delays);
        let mean =
            if self.ticks_without_sample >= SHORT_MEAN_TICKS { peer_delays.mean() } else { delays.mean() };
        let by_min_delay = mean.zip(min_delay).map(|(mean, min)| (1.0 - min / mean).clamp(0.0, 1.0));
        // A wait at the server beyond its share of the aim is too long, whatever the smallest delay is.
        let by_aim = mean.map(|mean| (RHO_TARGET * mean / (aim * RHO_TARGET_AIM_SHARE)).min(1.0));
        let by_delay = by_min_delay.zip(by_aim).map(|(a, b)| a.max(b));
        let reading = if self.full_this_tick { Some(1.0) } else { self.reported_utilisation.or(by_delay) };
        if let Some(mean) = mean {
            self.mean_delay = Some(self.mean_delay.map_or(mean, |x| x + MEAN_DELAY_WEIGHT * (mean - x)));
        } else if self.unanswered.is_empty() {
            self.mean_delay =
                self.mean_delay.map(|x| x + IDLE_MEAN_DELAY_WEIGHT * (min_delay.unwrap_or(x) - x));
        }
        self.smoothed_occupancy +=
            SMOOTHED_OCCUPANCY_WEIGHT * (reading.unwrap_or(0.0) - self.smoothed_occupancy);
        let growth_exponent = (self.usual_rate * ASSESSMENT_INTERVAL.as_secs_f64()
            / SET_UPS_PER_PHI_MAX_STEP)
            .clamp(MIN_GROWTH_EXPONENT, 1.0);
        self.throttle.assess(reading, f_min, growth_exponent);
        self.full_this_tick = false;
        self.reported_utilisation = None;
        self.min_delay =
            self.min_delay.map(|x| x * (1.0 + MIN_DELAY_GROWTH_PER_S * ASSESSMENT_INTERVAL.as_secs_f64()));
        self.answer_times.retain(|t| now.since(*t) <= ANSWER_RATE_WINDOW);
        // The mean is long, and its noise cancels out in the sum over all gateways. Ticks in which the server
        // is cold, suspect or not ready don't count: they don't show what is usual.
        if self.cold.is_none() && !self.suspect && self.entry.state == ServerState::Ready {
            let rate = f64::from(self.established_this_tick) / ASSESSMENT_INTERVAL.as_secs_f64();
            self.usual_rate_ticks = (self.usual_rate_ticks + 1).min(USUAL_RATE_TICKS);
            self.usual_rate += (rate - self.usual_rate) / f64::from(self.usual_rate_ticks);
        }
        self.established_this_tick = 0;
    }

    /// Whether the server's queue has room for one more set-up: none is sent while own set-ups have waited
    /// for longer than a share of the aim, or while more are unanswered than it answered lately in that time.
    ///
    /// This prevents a queue at the server that feeds itself (repeats, work on abandoned set-ups, answers
    /// behind set-ups), and holds calls back during stalls and hangs. Drawback: where the network alone takes
    /// that long, only one set-up at a time goes. Once all unanswered set-ups have waited that long, one more
    /// goes at the pace of trials: its answer shows whether theirs are lost.
    fn has_queue_room(&self, now: Time, aim: Duration) -> bool {
        let max_wait = aim.mul_f64(QUEUE_WAIT_AIM_SHARE);
        let rate = self.answer_times.len() as f64 / ANSWER_RATE_WINDOW.as_secs_f64();
        let quick = self.mean_delay.is_some_and(|d| d < max_wait.as_secs_f64());
        let max_queued = (rate * max_wait.as_secs_f64() * 2.0).max(if quick { 2.0 } else { 1.0 });
        let age = |at: Option<&(Time, CallId)>| at.map_or(Duration::ZERO, |(sent, _)| now.since(*sent));
        let newest = age(self.in_queue().last());
        let trial = newest >= max_wait && newest.as_secs_f64() * TRIAL_RATE_SHARE * self.usual_rate >= 1.0;
        trial || age(self.in_queue().next()) < max_wait && (self.in_queue().count() as f64) < max_queued
    }

    /// Counts set-ups that got no answer or found the processor full; from a number of them on, the server
    /// gets only single trials at a pace, until a set-up is established. This covers hangs, dead machines
    /// that the list still names, and congestion, in which refusals cost work. Drawback: lost answers count
    /// too.
    fn record_misses(&mut self, now: Time, count: u32, actions: &mut Vec<Action>) {
        self.misses += count;
        if self.misses < SUSPECT_AFTER_MISSES {
            return;
        }
        if !self.suspect {
            actions.push(Action::Log(format!("server {} sets nothing up, trials only", self.entry.id.0)));
        }
        self.suspect = true;
        self.not_before = now.plus(MIN_TRIAL_PAUSE);
    }

    /// Set-ups a second that this gateway may send, where its share of something scarce limits them:
    ///
    /// - Cold processor: all gateways together send at most what they usually send to the warm server, times
    ///   the part of its capacity that it has now. Each gateway's share of the budget is its share of that
    ///   usual rate.
    /// - Few free circuits: all gateways are told the same number, and each takes its share of them.
    /// - Suspect server: trials.
    ///
    /// Drawback: where this gateway's calls grow fast, the server is used too little.
    fn pace(&self, now: Time, settings: &Settings) -> Option<f64> {
        let (rules, gateways) = (&settings.rules, f64::from(settings.gateways));
        let min_pace = MIN_TOTAL_PACE_PER_S / gateways;
        let cold = self.cold.filter(|cold| now < cold.until).map(|cold| {
            let done = now.since(cold.since).as_secs_f64() / rules.cold_time.as_secs_f64().max(1e-3);
            let capacity = rules.cold_from + (1.0 - rules.cold_from) * COLD_RAMP_SHARE * done.min(1.0);
            (rules.fall_multiple * COLD_BUDGET_SHARE).min(MAX_COLD_LOAD)
                * capacity
                * self.usual_rate.max(min_pace)
        });
        let scarce = self.free.filter(|free| free.count < gateways && settings.topology == Topology::Pools);
        let circuits = scarce.map(|free| {
            let assumed = if now.since(free.reported_at) > FREE_CIRCUITS_EXPIRY { 1.0 } else { 0.0 };
            FREE_CIRCUITS_USES_PER_S * free.count.max(assumed) / gateways
        });
        let trials = self.suspect.then(|| (TRIAL_RATE_SHARE * self.usual_rate).max(min_pace));
        cold.into_iter().chain(circuits).chain(trials).reduce(f64::min)
    }

    /// Whether the pace allows a set-up now. Credit starts at a random phase: many gateways, each with less
    /// than one set-up in the rule's time, would otherwise all send theirs at the same moment.
    fn has_credit(&mut self, now: Time, settings: &Settings) -> bool {
        let (pace, credit) = self.pace_and_credit(now, settings);
        self.credit = Credit { set_ups: credit.min(1.0), updated_at: now };
        pace.is_none() || self.credit.set_ups >= 1.0
    }

    /// Takes back the whole set-ups of credit that built up for a cold server while no calls came, and keeps
    /// the fraction as its phase. Otherwise the first calls after the lull would find a whole credit at every
    /// gateway at once. Drawback where calls come in bunches.
    fn reset_credit_after_lull(&mut self, now: Time, settings: &Settings) {
        if let ((Some(_), credit), Some(_)) = (self.pace_and_credit(now, settings), self.cold) {
            self.credit = Credit { set_ups: credit.fract(), updated_at: now };
        }
    }

    /// The pace now, and the credit including what has built up at that pace.
    fn pace_and_credit(&self, now: Time, settings: &Settings) -> (Option<f64>, f64) {
        let (pace, credit) = (self.pace(now, settings), self.credit);
        (pace, credit.set_ups + pace.unwrap_or(0.0) * now.since(credit.updated_at).as_secs_f64())
    }
}

// ---- Calls: from arrival to the final answer ----------------------------------------------------------

/// Final answers go out this long before they are due, at most a quarter of the try before, because the
/// gateway's own process may stall for a while.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);
/// A gap between calls of this many times the usual one, and of a tick at least, is a lull. By chance one gap
/// in 150 is as long (e^-5).
const LULL_GAP_FACTOR: f64 = 5.0;
/// Longest wait told by a server with a full processor that is kept to.
const MAX_TOLD_WAIT: Duration = Duration::from_secs(2);
/// No set-ups go to a number for this long after all its lines were busy.
const BUSY_NUMBER_PAUSE: Duration = Duration::from_secs(2);
/// Seconds of its quota that a tenant may use at once.
const QUOTA_BURST_S: f64 = 4.0;

/// A call that this gateway has not yet forgotten: held, with an attempt out, or established.
#[derive(Debug, Default)]
struct Call {
    request: NewCall,
    /// When its final answer goes out at the latest.
    answer_by: Time,
    /// Time between `answer_by` and the caller's own deadline.
    answer_margin: Duration,
    aim: Duration,
    /// When its aim is over, counted from the first call to the same number.
    aim_due: Time,
    worth: f64,
    /// Share of the worth that is left after the aim; 1 once it has been applied.
    late_share: f64,
    effect: Effect,
    attempts: u32,
    outstanding: Option<(AttemptNo, ServerId)>,
    established: bool,
    /// No attempt before this time, while an earlier one is released.
    not_before: Time,
    /// The first attempt that may have run: when it was sent, and where to.
    may_have_run: Option<(Time, ServerId)>,
    sent_at: Time,
    last_failed_server: Option<ServerId>,
    /// The outstanding attempt has been cancelled.
    cancel_sent: bool,
}

impl Call {
    fn routing_request(&self, now: Time) -> RoutingRequest {
        RoutingRequest {
            call: self.request.id,
            class: self.request.class,
            worth: self.worth,
            aim: self.aim,
            aim_left: self.aim_due.since(now),
            time_left: self.answer_by.since(now),
        }
    }

    /// Whether the call can have no further attempt: it has had them all, or may have run and must not run
    /// again. Such a call gets its final answer at once instead of being held for nothing.
    fn has_no_attempt_left(&self, now: Time, max_attempts: u32) -> bool {
        let must_not_run_again = match (self.effect, self.may_have_run) {
            (Effect::Safe, _) | (_, None) => false,
            (Effect::Unsafe, Some(_)) => true,
            (Effect::Keyed { window, .. }, Some((sent, _))) => now.since(sent) + SCAN_INTERVAL >= window,
        };
        self.outstanding.is_none()
            && !self.established
            && (must_not_run_again || self.attempts >= max_attempts)
    }

    /// Past its aim a call is worth its late share; this is applied once.
    fn discount_if_late(&mut self, now: Time) {
        if now > self.aim_due {
            (self.worth, self.late_share) = (self.worth * self.late_share, 1.0);
        }
    }

    /// The call's place in the order of held calls: highest worth first, then earliest aim.
    fn held_key(&self) -> HeldKey {
        (!self.worth.max(0.0).to_bits(), self.aim_due, self.request.id)
    }
}

/// Order of the held calls: bits of the worth, inverted so that the highest comes first; end of the aim; the
/// call.
type HeldKey = (u64, Time, CallId);

/// Recent calls to a number.
#[derive(Debug)]
struct NumberHistory {
    first_call: Time,
    last_call: Time,
    /// All its lines were busy; no set-ups before this time.
    busy_until: Time,
}

/// Calls of a tenant inside its quota, as a leaky bucket.
#[derive(Clone, Copy, Debug, Default)]
struct QuotaLevel {
    calls: f64,
    updated_at: Time,
}

/// The end of an attempt, as reported by [`Event::Closed`].
#[derive(Debug)]
struct ClosedAttempt {
    call: CallId,
    attempt: AttemptNo,
    server: ServerId,
    /// The call is over; no final answer is due.
    done: bool,
    outcome: Outcome,
    detail: OutcomeDetail,
    report: LoadReport,
}

impl Controller {
    fn on_call(&mut self, now: Time, request: NewCall) {
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
            aim_due: first_call.plus(class.aim),
            worth,
            late_share: class.late_share,
            effect: class.effect,
            sent_at: now,
            request,
            ..Call::default()
        };
        call.discount_if_late(now);
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

    fn forget_call(&mut self, call: CallId) {
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
    fn refuse_or_fail(&mut self, call: CallId) {
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

    fn on_established(
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
        if set_up_time.is_some() && std::mem::take(&mut s.suspect) {
            self.actions.push(Action::Log(format!("server {} takes set-ups again", id.0)));
        }
    }

    fn on_closed(&mut self, now: Time, closed: ClosedAttempt) {
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
                        let wait = wait.unwrap_or_default().clamp(MIN_TRIAL_PAUSE, MAX_TOLD_WAIT);
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
        if outcome == Outcome::Moot || !(silent_since_sent || s.suspect) {
            return;
        }
        let misses = if outcome == Outcome::ConnectFailed { SUSPECT_AFTER_MISSES } else { 1 };
        s.record_misses(now, misses, &mut self.actions);
    }

    /// Cancels attempts whose answers are lost, so that their calls can be sent again while there is time;
    /// waiting for a lost answer would cost the whole try. Drawback at servers that don't answer in order.
    fn cancel_overtaken(&mut self, now: Time) {
        let next_attempt = now.plus(self.settings.rules.release_guard + SCAN_INTERVAL);
        for id in self.servers.values().flat_map(Server::overtaken) {
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

// ---- Controller: state, entry point, timing -----------------------------------------------------------

/// Interval between two scans of the calls held; deadlines are kept to within two of them.
const SCAN_INTERVAL: Duration = Duration::from_millis(20);
const SCAN_TIMER: TimerId = TimerId(0);
/// fmin keeps samples coming, so that no server stays shut out. Over all gateways fmin adds up to this.
const F_MIN_SUM: f64 = 0.5;
/// Lower bound of a gateway's fmin, so that f still recovers from it where there are many gateways.
const F_MIN_LOW: f64 = 0.005;
/// Upper bound of a gateway's fmin, so that it lets little through where there is only one gateway.
const F_MIN_HIGH: f64 = 0.05;
/// With fewer own delay samples than this, the smallest delay of all servers stands in for the server's own.
const MIN_DELAY_SAMPLES: u32 = 8;
/// A server counts as pressed once f falls below this ...
const PRESSED_BELOW_F: f64 = 0.5;
/// ... until f is back at this.
const NOT_PRESSED_FROM_F: f64 = 0.9;
/// Held calls are routed at each tick: one, and as many more as a server usually gets set-ups in this many
/// seconds.
const HELD_CALLS_PER_TICK_S: f64 = 4.0;
/// How long the history of a number is kept after its last call.
const NUMBER_HISTORY_EXPIRY: Duration = Duration::from_secs(10);
/// After a failure the list is requested again after the longest allowed time divided by this.
const SUBSCRIBE_RETRY_DIVISOR: u32 = 8;

/// The decisions of one gateway.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    routing_policy: Option<Box<dyn RoutingPolicy>>,
    rng: ChaCha8Rng,
    servers: BTreeMap<ServerId, Server>,
    calls: BTreeMap<CallId, Call>,
    /// Calls that wait for a server, in the order in which they are routed.
    held: BTreeSet<HeldKey>,
    numbers: BTreeMap<Arc<str>, NumberHistory>,
    /// Use of the quotas, by [`TenantId`].
    quota_levels: Vec<QuotaLevel>,
    next_tick: Time,
    /// Ticks since the last report to other gateways.
    ticks_since_report: u32,
    /// Own set-ups a second that are established, at all servers together, as a running mean.
    established_rate: f64,
    /// Ticks in that mean.
    established_rate_ticks: u32,
    next_scan: Time,
    last_call: Time,
    /// A list of servers has been received.
    has_list: bool,
    last_subscribe: Option<Time>,
    subscribed: bool,
    actions: Vec<Action>,
}

impl Controller {
    /// A controller that knows its settings and nothing else.
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
    fn random_unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// What is due by time: ticks, late calls, lost answers, final answers, requests for the list.
    fn scan(&mut self, now: Time) {
        if now >= self.next_tick {
            self.next_tick = now.plus(ASSESSMENT_INTERVAL);
            self.end_tick(now);
        }
        // Past its aim a call is worth less and moves back among the held ones.
        let newly_late =
            self.calls.values_mut().filter(|c| now > c.aim_due && c.late_share != 1.0 && !c.established);
        for c in newly_late {
            let held = self.held.remove(&c.held_key());
            c.discount_if_late(now);
            if held {
                self.held.insert(c.held_key());
            }
        }
        self.cancel_overtaken(now);
        let max_attempts = self.settings.limits.max_attempts;
        let over = |c: &Call| c.answer_by <= now || c.has_no_attempt_left(now, max_attempts);
        let due = self.calls.iter().filter(|(_, c)| !c.established && over(c));
        // The time-out of an outstanding attempt ends a little before; its outcome gets a few scans to
        // arrive.
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
    fn shortest_aim_s(&self) -> f64 {
        let aims = self.settings.classes.iter().map(|c| c.aim.as_secs_f64());
        aims.fold(f64::INFINITY, f64::min).max(1e-3)
    }

    /// Ends a tick: assesses all servers, drops old state, reports to other gateways and routes held calls.
    fn end_tick(&mut self, now: Time) {
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
            let pressed = s.throttle.f < if s.pressed { NOT_PRESSED_FROM_F } else { PRESSED_BELOW_F };
            if pressed != s.pressed {
                s.pressed = pressed;
                let state = if pressed { "pressed" } else { "no longer pressed" };
                self.actions.push(Action::Log(format!("server {} {state}, f {:.2}", id.0, s.throttle.f)));
            }
        }
        if let Some(policy) = &mut self.routing_policy {
            let mut servers = self.servers.values().map(|s| ServerView {
                entry: &s.entry,
                ready: s.entry.state == ServerState::Ready,
                healthy: s.cold.is_none() && !s.suspect,
                allowed_fraction: s.throttle.f,
            });
            policy.observe(now, &mut servers);
        }
        self.numbers.retain(|_, number| now.since(number.last_call) < NUMBER_HISTORY_EXPIRY);
        self.forget_gone_servers(now);
        self.report_delays_to_peers();
        for _ in 0..1 + (self.mean_usual_rate() * HELD_CALLS_PER_TICK_S) as u32 {
            self.route_held_call(now);
        }
    }

    /// Own set-ups a second that are established at a server, averaged over all servers with a usual rate.
    fn mean_usual_rate(&self) -> f64 {
        let mut rates = Samples::default();
        self.servers.values().filter(|s| s.usual_rate_ticks > 0).for_each(|s| rates.add(s.usual_rate));
        rates.mean().unwrap_or(0.0)
    }

    /// Own set-ups a second that would be established at each server if all ready ones had equally many. It
    /// is the usual rate for gateways that have just started and know none; otherwise hundreds of them would
    /// leave cold servers to the few others. Drawback: where load is spread very unevenly, a small server is
    /// sent too much.
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

// ---- Routing: which call goes to which server, and when -----------------------------------------------

/// Time-out of a trial, as a share of the aim: a set-up that waits longer is sent again, which is more work.
const TRIAL_TIMEOUT_AIM_SHARE: f64 = 0.5;
/// Held calls examined at most to find one that may be sent to some server.
const MAX_HELD_CANDIDATES: usize = 8;
/// Least weight of a server in the redraw, however occupied it is.
const MIN_REDRAW_WEIGHT: f64 = 0.05;

impl Controller {
    /// Routes one call, upon an arrival or when a server has room: the first held call that some server is
    /// open to. A call that no server is open to does not block those behind it. Returns whether a call was
    /// routed.
    fn route_held_call(&mut self, now: Time) -> bool {
        let ready =
            |id: &CallId| self.calls.get(id).is_some_and(|c| c.outstanding.is_none() && c.not_before < now);
        let ids = self.held.iter().map(|(_, _, id)| *id);
        let best: Vec<CallId> = ids.filter(ready).take(MAX_HELD_CANDIDATES).collect();
        best.into_iter().any(|call| self.route_call(now, call))
    }

    /// Tries the first-choice server, then one of the others, drawn at random by load. Each time the server's
    /// own throttle decides. Returns whether a throttle was tried; otherwise no server is open to the call.
    fn route_call(&mut self, now: Time, id: CallId) -> bool {
        let call = self.calls.get(&id).map(|c| (c.request.destination, c.last_failed_server));
        let Some((destination, failed)) = call else { return false };
        let mut open: Vec<ServerId> = self.servers.keys().copied().collect();
        open.retain(|server| self.may_issue(now, id, *server));
        let policy_weights = self.apply_routing_policy(now, id, &mut open);
        // A further attempt goes elsewhere if it can, as some servers fail some or all of their set-ups.
        if let Some(failed) = failed.filter(|_| open.len() > 1) {
            open.retain(|s| *s != failed);
        }
        let first = open.iter().copied().find(|s| self.servers[s].entry.cell == destination);
        if let Some(first) = first {
            if self.servers.get_mut(&first).is_some_and(|s| s.throttle.admit()) {
                self.issue(now, id, first);
                return true;
            }
            open.retain(|s| *s != first);
        }
        let unit = self.random_unit();
        let policy_weight = |id: &ServerId| policy_weights.get(id).copied().unwrap_or(1.0);
        let weight = |id: &ServerId| {
            (1.0 - self.servers[id].smoothed_occupancy).max(MIN_REDRAW_WEIGHT) * policy_weight(id)
        };
        let total: f64 = open.iter().map(weight).sum();
        let mut point = unit * total;
        let choice = open.iter().copied().find(|s| {
            point -= weight(s);
            point < 0.0
        });
        let Some(choice) = choice.or(open.last().copied()) else { return first.is_some() };
        if self.servers.get_mut(&choice).is_some_and(|s| s.throttle.admit()) {
            self.issue(now, id, choice);
        }
        true
    }

    /// Weights of the open servers by the routing policy; without one the map is empty and nothing changes. A
    /// server of weight 0 is taken out of `open`, so the call may stay held. The policy thus keeps calls from
    /// crossing into expensive zones without need. Drawback: where it excludes all servers for long, calls
    /// are refused when their time is up.
    fn apply_routing_policy(
        &mut self,
        now: Time,
        id: CallId,
        open: &mut Vec<ServerId>,
    ) -> BTreeMap<ServerId, f64> {
        let mut weights = BTreeMap::new();
        let (Some(policy), Some(c)) = (&mut self.routing_policy, self.calls.get(&id)) else {
            return weights;
        };
        let request = c.routing_request(now);
        open.retain(|server| {
            let weight =
                self.servers.get(server).map_or(0.0, |s| policy.server_weight(now, &request, &s.entry));
            weights.insert(*server, weight);
            weight > 0.0
        });
        weights
    }

    /// Whether the call may be sent to the server now. Every attempt passes this check, which covers all
    /// rules and protections that can be checked beforehand.
    fn may_issue(&mut self, now: Time, id: CallId, server: ServerId) -> bool {
        let Some(c) = self.calls.get(&id) else { return false };
        let Some(zone) = self.servers.get(&server).map(|s| s.entry.zone.clone()) else { return false };
        let repeat_allowed = match (c.effect, c.may_have_run) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Keyed { group, window }, Some((sent, first_server))) => {
                let first = self.servers.get(&first_server).map(|s| (s.entry.zone.clone(), s.entry.cell));
                let same_group = match (group, first) {
                    (RepeatGroup::All, _) => true,
                    (RepeatGroup::Zone, Some((first_zone, _))) => first_zone == zone,
                    (RepeatGroup::Cell, Some((_, cell))) => cell == self.servers[&server].entry.cell,
                    (_, None) => false,
                };
                same_group && now.since(sent) + SCAN_INTERVAL < window
            }
        };
        let pools = c.request.class.and_then(|k| self.settings.classes[k.0].pools.as_ref());
        let Some(s) = self.servers.get_mut(&server) else { return false };
        let reachable = match self.settings.topology {
            Topology::Pools => pools.is_none_or(|p| p.contains(&s.entry.cell)),
            Topology::Mesh { home } => {
                s.entry.cell != home && (!c.request.transit || s.entry.cell == c.request.destination)
            }
        };
        let trial_allowed = now >= s.not_before && (!s.suspect || s.unanswered.is_empty());
        let call_ready = c.outstanding.is_none() && !c.established && c.not_before < now && now < c.answer_by;
        call_ready
            && c.attempts < self.settings.limits.max_attempts
            && repeat_allowed
            && reachable
            && s.entry.state == ServerState::Ready
            && s.free.is_none_or(|free| {
                free.count >= c.request.width || now.since(free.reported_at) > FREE_CIRCUITS_EXPIRY
            })
            && trial_allowed
            && s.has_queue_room(now, c.aim)
            && s.has_credit(now, &self.settings)
    }

    fn issue(&mut self, now: Time, id: CallId, server: ServerId) {
        let (Some(c), Some(s)) = (self.calls.get_mut(&id), self.servers.get_mut(&server)) else { return };
        let mut within = c.answer_by.since(now);
        let oldest = s.in_queue().next();
        let max_wait = c.aim.mul_f64(QUEUE_WAIT_AIM_SHARE);
        if s.suspect || oldest.is_some_and(|(sent, _)| now.since(*sent) >= max_wait) {
            within = within.min(c.aim.mul_f64(TRIAL_TIMEOUT_AIM_SHARE));
        }
        if let Some(policy) = &mut self.routing_policy {
            policy.attempt_sent(now, &c.routing_request(now), &s.entry);
        }
        c.outstanding = Some((AttemptNo(c.attempts), server));
        c.cancel_sent = false;
        c.attempts += 1;
        c.sent_at = now;
        s.throttle.passed += 1;
        if let Some(free) = &mut s.free {
            free.count -= c.request.width;
        }
        s.unanswered.insert((now, id));
        s.credit.set_ups = (s.credit.set_ups - 1.0).max(0.0);
        self.held.remove(&c.held_key());
        self.actions.push(Action::Issue { call: id, server, within });
    }
}

// ---- Delay reports between gateways -------------------------------------------------------------------

/// Ticks between two delay reports to other gateways.
const REPORT_INTERVAL_TICKS: u32 = 5;
/// Gateways that get each report. They get many more samples than they have themselves, at a small cost.
const REPORT_RECEIVERS: u32 = 4;
/// No further server is added to a report of this length.
const REPORT_FULL_BYTES: usize = 230;
/// The longest delay that is accepted from a report, in milliseconds.
const MAX_REPORTED_DELAY_MS: u32 = 60_000;

impl Controller {
    /// Reports the delays seen here to a few other gateways, drawn anew each time: among hundreds of gateways
    /// each has too few samples of its own. If all messages are lost, each gateway still has its own samples.
    fn report_delays_to_peers(&mut self) {
        self.ticks_since_report = (self.ticks_since_report + 1) % REPORT_INTERVAL_TICKS;
        let (own_id, gateways) = (self.settings.own_id.0, self.settings.gateways);
        if self.ticks_since_report != 0 || !self.settings.limits.peers || gateways < 2 {
            return;
        }
        let mut text = String::from("1");
        for (id, s) in &mut self.servers {
            let delays = std::mem::take(&mut s.unreported_delays);
            if delays.n > 0 && text.len() < REPORT_FULL_BYTES {
                text += &format!(" {}:{:.0}", id.0, 1e3 * delays.sum / f64::from(delays.n));
            }
        }
        for _ in 0..REPORT_RECEIVERS.min(gateways - 1) {
            let step = 1 + self.rng.next_u32() % (gateways - 1);
            let to = Some(PeerId((own_id + step) % gateways));
            if text.len() > 1 {
                self.actions.push(Action::SendToPeer { to, text: text.clone() });
            }
        }
    }

    /// Adds delays reported by another gateway as samples. Whatever can't be parsed is ignored.
    fn on_delay_report(&mut self, from: PeerId, text: &str) {
        let known =
            self.settings.limits.peers && from != self.settings.own_id && from.0 < self.settings.gateways;
        let Some(servers) = text.strip_prefix("1 ").filter(|_| known) else { return };
        for (id, ms) in servers.split(' ').filter_map(|server| server.split_once(':')) {
            let (Ok(id), Ok(ms)) = (id.parse().map(ServerId), ms.parse::<u32>()) else { continue };
            if let Some(s) = self.servers.get_mut(&id).filter(|_| ms <= MAX_REPORTED_DELAY_MS) {
                s.peer_delays.add(f64::from(ms) / 1e3);
            }
        }
    }
}

// ---- The list of servers ------------------------------------------------------------------------------

/// A set-up counts as overtaken, and its answer as lost, once one that was sent this share of the shortest
/// aim later has been answered. It is a share because a delay that is long with one site's aims is short with
/// another's.
const OVERTAKE_AIM_SHARE: f64 = 0.05;

impl Controller {
    /// Takes over a new list or changes of it, and starts the cold period of servers that started lately.
    fn on_list(&mut self, now: Time, kind: ListKind, entries: Vec<ServerEntry>) {
        if kind == ListKind::Failed {
            self.subscribed = false;
            return;
        }
        self.subscribed |= kind != ListKind::Cached && self.last_subscribe.is_some();
        if kind != ListKind::Changes {
            for s in self.servers.values_mut().filter(|s| entries.iter().all(|e| e.id != s.entry.id)) {
                s.entry.state = ServerState::Gone;
            }
        }
        let cold_time = self.settings.rules.cold_time;
        let overtake_after = Duration::from_secs_f64(self.shortest_aim_s().min(1e6) * OVERTAKE_AIM_SHARE);
        let usual_rates_known = self.servers.values().any(|s| s.usual_rate_ticks > 0);
        for entry in entries {
            let id = entry.id;
            let credit = self.random_unit();
            // A machine that replaces another one of its pool is assumed to be of the same size.
            let same_cell =
                self.servers.values().filter(|s| s.entry.cell == entry.cell && s.usual_rate_ticks > 0);
            let usual_rate =
                same_cell.map(|s| s.usual_rate).reduce(f64::max).unwrap_or_else(|| self.mean_usual_rate());
            let is_new = !self.servers.contains_key(&id);
            let s = self
                .servers
                .entry(id)
                .or_insert_with(|| Server::new(entry.clone(), now, credit, overtake_after));
            let restarted = s.entry.up_since != entry.up_since && entry.up_since.is_some();
            if (restarted || is_new) && entry.state == ServerState::Ready {
                let started = entry.up_since.filter(|t| now.since(*t) < cold_time);
                // A new id without a start time has just entered service, unless this is the gateway's first
                // list.
                let cold_since =
                    started.or((is_new && self.has_list && entry.up_since.is_none()).then_some(now));
                if let Some(since) = cold_since {
                    let (free, unanswered) = (s.free, std::mem::take(&mut s.unanswered));
                    *s = Server::new(entry.clone(), now, credit, overtake_after);
                    s.free = free;
                    s.unanswered = unanswered;
                    s.usual_rate = usual_rate;
                    s.usual_rate_ticks = if usual_rates_known { USUAL_RATE_TICKS } else { 0 };
                    s.cold = Some(ColdPeriod { since, until: since.plus(cold_time) });
                    self.actions.push(Action::Log(format!("server {} starts cold", id.0)));
                }
            }
            if s.entry.state != entry.state && entry.state != ServerState::Ready {
                self.actions.push(Action::Log(format!("server {} drains or is gone", id.0)));
            }
            s.entry = entry;
        }
        for s in self.servers.values_mut() {
            s.gone_since = (s.entry.state == ServerState::Gone).then(|| s.gone_since.unwrap_or(now));
        }
        self.has_list = true;
    }

    /// Removes servers that are gone once none of their calls can matter (those that are out, and those that
    /// may have run there) and no replacement takes its usual rate from them. Otherwise memory would grow
    /// with each release. Drawback: a server that comes back later under its old id starts anew, as cold.
    fn forget_gone_servers(&mut self, now: Time) {
        let longest_deadline = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let keep = self.settings.rules.cold_time.max(longest_deadline);
        let expired =
            |s: &Server| s.gone_since.is_some_and(|since| now.since(since) > keep) && s.unanswered.is_empty();
        self.servers.retain(|_, s| !expired(s));
    }
}

#[cfg(test)]
#[path = "controller_tests.rs"]
mod tests;
