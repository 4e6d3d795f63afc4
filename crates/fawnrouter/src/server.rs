//! What a gateway knows of a server (delays, answers, free circuits, cold start), and when it may be sent to.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::interface::*;
use crate::throttle::*;

/// While there is no reading, f grows by φmax in the time of this many usual set-ups of this gateway. The
/// last reading thus stays in effect for about as long as it takes to get another.
const SET_UPS_PER_PHI_MAX_STEP: f64 = 0.4;
/// Smallest exponent of φmax in a tick without a reading, so that no server stays shut out.
pub(crate) const MIN_GROWTH_EXPONENT: f64 = 0.25;
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
pub(crate) const QUEUE_WAIT_AIM_SHARE: f64 = 0.2;
/// A mean wait at the server of this share of the shortest aim reads as ρtarg.
const RHO_TARGET_AIM_SHARE: f64 = 0.3;
/// Share of a cold server's budget (rule 4) that is used; the rest is left for work other than set-ups and
/// for chance.
const COLD_BUDGET_SHARE: f64 = 0.7;
/// Most that a cold server is sent, as a multiple of its estimated present capacity: more would only queue.
const MAX_COLD_LOAD: f64 = 1.5;
/// Share of the way from cold to full capacity that a starting processor is assumed to go in the cold time.
const COLD_RAMP_SHARE: f64 = 0.8;
/// Ticks in the running mean of the usual rate at a server (20 s), long enough to hold some set-ups.
pub(crate) const USUAL_RATE_TICKS: u32 = 100;
/// After this many set-ups in a row that got no answer, or found the processor full, a server gets only
/// single trials.
pub(crate) const TRIALS_ONLY_AFTER_MISSES: u32 = 2;
/// A server whose circuits were all taken is tried again after this time without a report of a free one.
pub(crate) const FREE_CIRCUITS_EXPIRY: Duration = Duration::from_secs(2);
/// Circuits that all gateways together may take in a second, as a multiple of the free ones reported.
const FREE_CIRCUITS_USES_PER_S: f64 = 4.0;
/// Shortest pause between two trials of a server that gets only trials.
pub(crate) const MIN_TRIAL_PAUSE: Duration = Duration::from_millis(300);
/// Rate of trials as a share of the usual rate of set-ups: all gateways together send too few of them to keep
/// a server congested.
const TRIAL_RATE_SHARE: f64 = 0.2;
/// Set-ups a second to one server, from all gateways together, that every pace allows.
const MIN_TOTAL_PACE_PER_S: f64 = 2.0;
/// Established set-ups are counted over this time for a server's answer rate.
const ANSWER_RATE_WINDOW: Duration = Duration::from_secs(2);

/// Sum and number of samples, for their mean.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Samples {
    pub(crate) sum: f64,
    pub(crate) n: u32,
}

impl Samples {
    pub(crate) fn add(&mut self, sample: f64) {
        self.sum += sample;
        self.n += 1;
    }

    pub(crate) fn mean(self) -> Option<f64> {
        (self.n > 0).then(|| self.sum / f64::from(self.n))
    }
}

/// The time in which a restarted or new server has less than its full capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdPeriod {
    pub(crate) since: Time,
    pub(crate) until: Time,
}

/// Free circuits towards a server, less those that own set-ups have taken since the report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FreeCircuits {
    pub(crate) count: f64,
    pub(crate) reported_at: Time,
}

/// Set-ups that a pace allows: a token bucket that holds one token.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Credit {
    pub(crate) set_ups: f64,
    pub(crate) updated_at: Time,
}

/// A server as this gateway sees it.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) entry: ServerEntry,
    pub(crate) throttle: Throttle,
    /// The smallest set-up delay seen, in seconds; it grows slowly.
    pub(crate) min_delay: Option<f64>,
    pub(crate) delay_samples: u32,
    /// Own samples of the set-up delay in this tick, in seconds.
    pub(crate) tick_delays: Samples,
    /// Own samples of the delay since the last report to other gateways.
    pub(crate) unreported_delays: Samples,
    /// Samples reported by other gateways in this tick.
    pub(crate) peer_delays: Samples,
    /// Ticks since the last own sample.
    ticks_without_sample: usize,
    /// It refused a set-up in this tick because its processor was full.
    pub(crate) full_this_tick: bool,
    /// Running mean of the set-up delay, in seconds.
    mean_delay: Option<f64>,
    pub(crate) smoothed_occupancy: f64,
    /// When set-ups were answered, within the answer rate's window.
    pub(crate) answer_times: VecDeque<Time>,
    pub(crate) last_answer: Time,
    /// When the newest of the answered set-ups was sent.
    pub(crate) latest_answered_send: Time,
    /// Set-ups in a row without an answer, or refused because the processor was full.
    pub(crate) misses: u32,
    /// Own set-ups without an answer, by the time of sending.
    pub(crate) unanswered: BTreeSet<(Time, CallId)>,
    /// Nothing is sent there before this time: after a refusal for a full processor, and between trials.
    pub(crate) not_before: Time,
    /// Only single trials are sent to it.
    pub(crate) trials_only: bool,
    pub(crate) cold: Option<ColdPeriod>,
    pub(crate) credit: Credit,
    /// Own set-ups a second that are established there, as a running mean.
    pub(crate) usual_rate: f64,
    /// Ticks in that mean; 0: nothing is known of the usual rate.
    pub(crate) usual_rate_ticks: u32,
    pub(crate) established_this_tick: u32,
    pub(crate) reported_utilisation: Option<f64>,
    pub(crate) free: Option<FreeCircuits>,
    /// It is logged as pressed, because f fell.
    pub(crate) throttled: bool,
    /// A set-up is overtaken by one that was sent this much later.
    pub(crate) overtake_after: Duration,
    /// Since when it is gone.
    pub(crate) gone_since: Option<Time>,
}

impl Server {
    pub(crate) fn new(entry: ServerEntry, now: Time, initial_credit: f64, overtake_after: Duration) -> Self {
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
    pub(crate) fn in_queue(&self) -> impl Iterator<Item = &(Time, CallId)> {
        self.unanswered.iter().filter(|(sent, _)| sent.plus(self.overtake_after) >= self.latest_answered_send)
    }

    /// Own set-ups whose answers are lost.
    pub(crate) fn set_ups_with_lost_answer(&self) -> impl Iterator<Item = CallId> {
        let lost = self
            .unanswered
            .iter()
            .filter(|(sent, _)| sent.plus(self.overtake_after) < self.latest_answered_send);
        lost.map(|(_, call)| *call)
    }

    /// Keeps the number of free circuits from a report that has one.
    pub(crate) fn record_free_circuits(&mut self, now: Time, report: &LoadReport) {
        self.free = report.free_circuits.map(|count| FreeCircuits { count, reported_at: now }).or(self.free);
    }

    /// Adds a sample of the set-up delay, in seconds. The occupancy derived from delays is 1 - smallest /
    /// mean.
    pub(crate) fn record_delay(&mut self, delay: f64) {
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
    pub(crate) fn end_tick(&mut self, now: Time, min_delay: Option<f64>, aim: f64, f_min: f64) {
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
        // is cold, gets only trials or is not ready don't count: they don't show what is usual.
        if self.cold.is_none() && !self.trials_only && self.entry.state == ServerState::Ready {
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
    pub(crate) fn has_queue_room(&self, now: Time, aim: Duration) -> bool {
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
    pub(crate) fn record_misses(&mut self, now: Time, count: u32, actions: &mut Vec<Action>) {
        self.misses += count;
        if self.misses < TRIALS_ONLY_AFTER_MISSES {
            return;
        }
        if !self.trials_only {
            actions.push(Action::Log(format!("server {} sets nothing up, trials only", self.entry.id.0)));
        }
        self.trials_only = true;
        self.not_before = now.plus(MIN_TRIAL_PAUSE);
    }

    /// Set-ups a second that this gateway may send, where its share of something scarce limits them:
    ///
    /// - Cold processor (rule 4, the budget of [`Rules::fall_multiple`]): all gateways together send at most
    ///   what they usually send to the warm server, times the part of its capacity that it has now. Each
    ///   gateway's share of the budget is its share of that usual rate.
    /// - Few free circuits: all gateways are told the same number, and each takes its share of them.
    /// - Server that gets only trials: their rate.
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
        let trials = self.trials_only.then(|| (TRIAL_RATE_SHARE * self.usual_rate).max(min_pace));
        cold.into_iter().chain(circuits).chain(trials).reduce(f64::min)
    }

    /// Whether the pace allows a set-up now. Credit starts at a random phase: many gateways, each with less
    /// than one set-up in [`Rules::fall_time`], would otherwise all send theirs at the same moment.
    pub(crate) fn has_credit(&mut self, now: Time, settings: &Settings) -> bool {
        let (pace, credit) = self.pace_and_credit(now, settings);
        self.credit = Credit { set_ups: credit.min(1.0), updated_at: now };
        pace.is_none() || self.credit.set_ups >= 1.0
    }

    /// Takes back the whole set-ups of credit that built up for a cold server while no calls came, and keeps
    /// the fraction as its phase. Otherwise the first calls after the lull would find a whole credit at every
    /// gateway at once. Drawback where calls come in bunches.
    pub(crate) fn reset_credit_after_lull(&mut self, now: Time, settings: &Settings) {
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
