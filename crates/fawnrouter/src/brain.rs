//! All decisions of fawnrouter. Types, events and actions are in `src/interface.rs`; the design and its
//! exceptions are explained in `docs/design.md`. "ARO" and "Determ." are the signaling-overload paper's.
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::{sync::Arc, time::Duration};

use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

use crate::interface::*;

// ---- Constants: unit, reason, source ------------------------------------------------------------------
/// Probe interval. A gateway sees a few set-ups a second for a server: shorter ones hold none. Ours.
const TICK: Duration = Duration::from_millis(200);
/// Assessments average the last k ticks (paper 4.3).
const K_SHORT: usize = 5;
/// Ticks between two updates of µmax (paper 4.3: K >> k).
const K_LONG: u32 = 10;
/// Weight of a new µmax; the paper asks for a small one.
const LEARN_WEIGHT: f64 = 0.15;
/// ρtarg: by the delay reading, a mean set-up delay of 1 / (1 - ρtarg) times the smallest.
const RHO_TARGET: f64 = 0.8;
/// µmax is learned from this occupancy on (design page).
const RHO_LEARN: f64 = 0.3;
/// φmax: the fraction allowed grows by this much a tick at the most.
const PHI_MAX: f64 = 1.25;
/// Without a reading f grows by φmax in this many usual set-ups of this gateway: what it heard last holds as
/// long as it takes to hear again. Ours.
const UNREAD_SETUPS: f64 = 0.4;
/// The least share of φmax's exponent a tick, so that no server stays shut out.
const UNREAD_LEAST: f64 = 0.25;
/// fmin keeps samples coming, so that no server stays shut out; the floors of all gateways add up, to this.
const F_MIN_SUM: f64 = 0.5;
/// Bounds of fmin: so that it means little at one gateway, and that f still comes back from it among many.
const F_MIN: (f64, f64) = (0.005, 0.05);
/// Growth of the smallest delay a second, so that one lucky sample does not stand for ever.
const FLOOR_AGEING: f64 = 0.01;
/// Between two looks at the calls held; deadlines are kept to within two of these.
const SWEEP: Duration = Duration::from_millis(20);
/// Final answers are given this long (and at most a quarter of the try) before they are due: the gateway's
/// own process may stand still for a while. Milliseconds; ours, from a day with such stalls.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);
/// Far queue: share of the aim that own unanswered set-ups may wait before no more are sent.
const FAR_SHARE: f64 = 0.2;
/// A mean far wait of this share of the shortest aim reads as ρtarg.
const AIM_SHARE: f64 = 0.3;
/// Share of the rule's cold budget that is used, for work other than set-ups and for chance.
const COLD_SHARE: f64 = 0.7;
/// Times its estimated present capacity that a cold server is sent at the most: more would only queue.
const COLD_MOST: f64 = 1.5;
/// A gap between calls of so many times the usual is a lull, if it is a tick at least: of gaps that come by
/// chance one in 150 is as long (e^-5). Ours.
const LULL: f64 = 5.0;
/// Share of the way to full work that a starting processor is taken to go in the cold time.
const COLD_RAMP: f64 = 0.8;
/// Ticks in the long mean of the rate that is usual at a server (20 s): long enough for some set-ups. Ours.
const USUAL_TICKS: u32 = 100;
/// A trial is given this share of the aim: one that waits is sent again, which is work again.
const TRIAL_CUT: f64 = 0.5;
/// A set-up answered though sent this share of the shortest aim later than another shows that the
/// other's answer is lost. A share: what is late at one site's aims is nothing at another's.
const OVERTAKE_SHARE: f64 = 0.05;
/// So many set-ups in a row that nobody answered, or that found its processor full, make a server suspect.
const MISSES: u32 = 2;
/// A server whose lines were all taken is tried again after this time without news of a free one. Ours.
const FREE_MEMORY: Duration = Duration::from_secs(2);
/// Times the free lines told that all gateways together may take in a second.
const LINES_PACE: f64 = 4.0;
/// Shortest pause between trials of a suspected server, and the longest told wait that is kept to.
const TRIAL: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(2));
/// Trials as a share of the usual set-ups: from all gateways together too few to keep a server jammed.
const TRIAL_PACE: f64 = 0.2;
/// Set-ups a second to one server, from all gateways together, that every pace allows.
const LEAST_PACE: f64 = 2.0;
/// Set-ups that stood are counted over this long for a server's rate. Ours.
const RATE_SPAN: Duration = Duration::from_secs(2);
/// No set-ups to a number for this long after its lines were all busy. Ours.
const BUSY_PAUSE: Duration = Duration::from_secs(2);
/// Draws a tick for the calls held, beside one: this many seconds' worth of the usual set-ups at a server.
const DRAWS_S: f64 = 4.0;
/// Held calls looked through for one that a server is open to.
const LOOK_THROUGH: usize = 8;
/// How long a number is remembered after its last call.
const NUMBER_MEMORY: Duration = Duration::from_secs(10);
/// Seconds of its quota that a tenant may use at once.
const QUOTA_BURST_S: f64 = 4.0;
/// Between two questions for the list after a failure, as a share of the longest allowed.
const ASK_SHARE: u32 = 8;
/// Ticks between two messages to other gateways, and the receivers of each: many more samples than a gateway
/// has itself, at a small price. Ours.
const NEWS: (u32, u32) = (5, 4);
/// The longest delay that news may tell, in milliseconds.
const NEWS_MOST: u32 = 60_000;
const TICK_TIMER: TimerId = TimerId(0);

// ---- The ARO throttle, one for each server -----------------------------------------------------------
/// Fraction allowed from acceptance rate and occupancy, applied by the deterministic accumulator.
#[derive(Debug, Default)]
pub(crate) struct Throttle {
    pub(crate) f: f64,
    r: f64,
    passed: u32,
    drawn: bool,
    counts: VecDeque<f64>,
    readings: VecDeque<Option<f64>>,
    pub(crate) mu_max: Option<f64>,
    ticks: u32,
}

impl Throttle {
    pub(crate) fn new() -> Self {
        Self { f: 1.0, ..Self::default() }
    }

    /// Determ.: r gains f; at 1 or more r loses 1 and the set-up goes.
    pub(crate) fn draw(&mut self) -> bool {
        self.drawn = true;
        self.r += self.f;
        let passes = self.r >= 1.0;
        if passes {
            self.r -= 1.0;
        }
        passes
    }

    /// α̂: set-ups passed a second, mean of the last k ticks.
    pub(crate) fn acceptance(&self) -> f64 {
        let n = self.counts.len().max(1) as f64;
        self.counts.iter().sum::<f64>() / (n * TICK.as_secs_f64())
    }

    /// ρ̂: mean of the readings in the last k ticks, if there are any.
    pub(crate) fn occupancy(&self) -> Option<f64> {
        let n = self.readings.iter().flatten().count();
        (n > 0).then(|| self.readings.iter().flatten().sum::<f64>() / n as f64)
    }

    /// Ends a tick: f = min(fA, fO).
    pub(crate) fn assess(&mut self, reading: Option<f64>, f_min: f64, unread: f64) {
        self.counts.push_back(f64::from(self.passed));
        self.readings.push_back(reading);
        self.passed = 0;
        if self.counts.len() > K_SHORT {
            self.counts.pop_front();
            self.readings.pop_front();
        }
        let (alpha, rho) = (self.acceptance(), self.occupancy());
        self.ticks += 1;
        if self.ticks.is_multiple_of(K_LONG) && rho.is_some_and(|x| x >= RHO_LEARN) && alpha > 0.0 {
            let seen = alpha / rho.unwrap_or(1.0);
            self.mu_max = Some(self.mu_max.map_or(seen, |mu| mu + LEARN_WEIGHT * (seen - mu)));
        }
        // No reading at all (nothing sent, nothing unanswered) is no sign of load: f may grow, but only as
        // fast as it is asked for set-ups. One that comes every few seconds must not forget its last reading.
        let unread = if self.drawn { PHI_MAX.powf(unread) } else { 1.0 };
        let phi = rho.map_or(unread, |x| (RHO_TARGET / x.max(1e-6)).min(PHI_MAX));
        self.drawn = false;
        let f_o = (phi * self.f).clamp(f_min, 1.0);
        let armed = self.readings.iter().flatten().any(|x| *x > RHO_TARGET);
        let f_a = match self.mu_max {
            Some(mu) if armed && alpha > 0.0 => (RHO_TARGET * mu / alpha * self.f).clamp(f_min, 1.0),
            _ => 1.0,
        };
        self.f = f_a.min(f_o);
    }
}

// ---- A server's health -------------------------------------------------------------------------------
/// Samples of one kind, for their mean.
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

#[derive(Debug, Default)]
struct Server {
    entry: ServerEntry,
    throttle: Throttle,
    floor: Option<f64>,
    samples: u32,
    tick_delays: Samples,
    /// Own samples of the delay since the last message to other gateways.
    news: Samples,
    /// Samples told by other gateways in this tick.
    told_delays: Samples,
    /// Ticks since the last own sample.
    unsampled: usize,
    tick_full: bool,
    mean_delay: Option<f64>,
    slow_reading: f64,
    answered: VecDeque<Time>,
    last_answer: Time,
    answered_up_to: Time,
    misses: u32,
    waiting: BTreeSet<(Time, CallId)>,
    /// Nothing is sent there before this time: after a full answer, and between trials.
    not_before: Time,
    suspect: bool,
    /// Since when, and until when, its processor is taken for cold.
    cold: Option<(Time, Time)>,
    /// Set-ups that a pace allows now, and when that was counted.
    credit: (f64, Time),
    usual: f64,
    usual_ticks: u32,
    stood: u32,
    utilisation: Option<f64>,
    free: Option<(f64, Time)>,
    pressed: bool,
    /// A set-up is overtaken by one sent this much later.
    overtake: Duration,
    /// Since when it is gone.
    gone: Option<Time>,
}

impl Server {
    fn new(entry: ServerEntry, now: Time, credit: f64, overtake: Duration) -> Self {
        let throttle = Throttle::new();
        Self { entry, throttle, last_answer: now, credit: (credit, now), overtake, ..Self::default() }
    }

    /// Own set-ups that still wait in the server's line, oldest first. One that a clearly later one has
    /// overtaken does not: its answer is lost. Guards against lost messages holding up sends and readings.
    /// It could do harm at servers that do not work in order, as sends are then held back less.
    fn in_line(&self) -> impl Iterator<Item = &(Time, CallId)> {
        self.waiting.iter().filter(|(sent, _)| sent.plus(self.overtake) >= self.answered_up_to)
    }

    /// Own set-ups whose answers are lost.
    fn overtaken(&self) -> impl Iterator<Item = CallId> {
        let lost = self.waiting.iter().filter(|(sent, _)| sent.plus(self.overtake) < self.answered_up_to);
        lost.map(|(_, call)| *call)
    }

    /// The set-up delay seen, as a reading of occupancy: 1 - smallest / mean.
    fn note_delay(&mut self, delay: f64) {
        self.tick_delays.add(delay);
        self.samples += 1;
        self.floor = Some(self.floor.map_or(delay, |x| x.min(delay)).max(1e-4));
    }

    /// Ends a tick. Guards against delays that nobody sees yet: the age of an unanswered set-up that already
    /// exceeds the usual delay counts as one, so a hang shows within a second. It answers for stalls and
    /// slow servers too; it could do harm where single answers are lost, which f then forgives in k ticks.
    fn tick(&mut self, now: Time, floor: Option<f64>, aim: f64, f_min: f64) {
        let mut delays = std::mem::take(&mut self.tick_delays);
        let usual = self.mean_delay.unwrap_or(0.0).max(2.0 * floor.unwrap_or(0.0));
        let ages = self.in_line().map(|(sent, _)| now.since(*sent).as_secs_f64());
        ages.filter(|age| *age > usual).for_each(|age| delays.add(age));
        self.news.sum += delays.sum;
        self.news.n += delays.n;
        // News fills the gaps between own samples: where those are enough, late ones would only overdo it.
        self.unsampled = if delays.n > 0 { 0 } else { self.unsampled + 1 };
        let told = std::mem::take(&mut self.told_delays);
        let mean = if self.unsampled >= K_SHORT { told.mean() } else { delays.mean() };
        let by_floor = mean.zip(floor).map(|(m, f)| (1.0 - f / m).clamp(0.0, 1.0));
        // A far wait beyond its share of the aim is too long at any smallest delay.
        let by_aim = mean.map(|m| (RHO_TARGET * m / (aim * AIM_SHARE)).min(1.0));
        let by_delay = by_floor.zip(by_aim).map(|(a, b)| a.max(b));
        let reading = if self.tick_full { Some(1.0) } else { self.utilisation.or(by_delay) };
        if let Some(m) = mean {
            self.mean_delay = Some(self.mean_delay.map_or(m, |x| x + 0.4 * (m - x)));
        } else if self.waiting.is_empty() {
            self.mean_delay = self.mean_delay.map(|x| x + 0.1 * (floor.unwrap_or(x) - x));
        }
        self.slow_reading += 0.1 * (reading.unwrap_or(0.0) - self.slow_reading);
        let unread = (self.usual * TICK.as_secs_f64() / UNREAD_SETUPS).clamp(UNREAD_LEAST, 1.0);
        self.throttle.assess(reading, f_min, unread);
        self.tick_full = false;
        self.utilisation = None;
        self.floor = self.floor.map(|x| x * (1.0 + FLOOR_AGEING * TICK.as_secs_f64()));
        self.answered.retain(|t| now.since(*t) <= RATE_SPAN);
        // A long mean: its noise over gateways cancels out in their sum. Trouble is no measure.
        if self.cold.is_none() && !self.suspect && self.entry.state == ServerState::Ready {
            let seen = f64::from(self.stood) / TICK.as_secs_f64();
            self.usual_ticks = (self.usual_ticks + 1).min(USUAL_TICKS);
            self.usual += (seen - self.usual) / f64::from(self.usual_ticks);
        }
        self.stood = 0;
    }

    /// Guards against a far queue that feeds itself (repeats, work on given-up set-ups, answers behind
    /// set-ups): no more is sent while own set-ups wait for longer than a share of the aim, or more are out
    /// than it answered lately in that time. Also holds back during stalls and hangs. It could do harm where
    /// the network alone takes that long; then one set-up at a time still goes. Once all of them have waited
    /// that long, one more goes at the pace of trials: its answer shows whether theirs are lost.
    fn has_room(&self, now: Time, aim: Duration) -> bool {
        let far = aim.mul_f64(FAR_SHARE);
        let rate = self.answered.len() as f64 / RATE_SPAN.as_secs_f64();
        let quick = self.mean_delay.is_some_and(|d| d < far.as_secs_f64());
        let most = (rate * far.as_secs_f64() * 2.0).max(if quick { 2.0 } else { 1.0 });
        let age = |at: Option<&(Time, CallId)>| at.map_or(Duration::ZERO, |(sent, _)| now.since(*sent));
        let newest = age(self.in_line().last());
        let trial = newest >= far && newest.as_secs_f64() * TRIAL_PACE * self.usual >= 1.0;
        trial || age(self.in_line().next()) < far && (self.in_line().count() as f64) < most
    }

    /// Leaves a server to single trials at a pace, until a set-up stands. Guards against hangs, dead machines
    /// that the list still names, and jams, whose refusals cost work. Could do harm where answers get lost.
    fn miss(&mut self, now: Time, count: u32, out: &mut Vec<Action>) {
        self.misses += count;
        if self.misses < MISSES {
            return;
        }
        if !self.suspect {
            out.push(Action::Log(format!("server {} sets nothing up, trials only", self.entry.id.0)));
        }
        self.suspect = true;
        self.not_before = now.plus(TRIAL.0);
    }

    /// Set-ups a second that this gateway may send, where its share of something scarce limits them.
    /// A cold processor (rule 4): all gateways together send at most what they usually send to it when warm,
    /// times the part that is warm; so each keeps to the budget's share that its own usual rate has.
    /// Few free lines: all gateways are told the same number, and each takes its share of them.
    /// Could do harm where this gateway's calls grow fast: the server is then used too little.
    fn pace(&self, now: Time, settings: &Settings) -> Option<f64> {
        let (rules, gateways) = (&settings.rules, f64::from(settings.gateways));
        let least = LEAST_PACE / gateways;
        let cold = self.cold.filter(|(_, until)| now < *until).map(|(since, _)| {
            let done = now.since(since).as_secs_f64() / rules.cold_time.as_secs_f64().max(1e-3);
            let part = rules.cold_from + (1.0 - rules.cold_from) * COLD_RAMP * done.min(1.0);
            (rules.fall_multiple * COLD_SHARE).min(COLD_MOST) * part * self.usual.max(least)
        });
        let shared = self.free.filter(|(free, _)| *free < gateways && settings.topology == Topology::Pools);
        let lines = shared.map(|(free, told)| {
            let assumed = if now.since(told) > FREE_MEMORY { 1.0 } else { 0.0 };
            LINES_PACE * free.max(assumed) / gateways
        });
        let trials = self.suspect.then(|| (TRIAL_PACE * self.usual).max(least));
        cold.into_iter().chain(lines).chain(trials).reduce(f64::min)
    }

    /// Whether the pace allows a set-up now. Credit starts at a random phase: many gateways, each with less
    /// than one set-up in the time that counts, would otherwise all send it at once.
    fn has_credit(&mut self, now: Time, settings: &Settings) -> bool {
        let (pace, grown) = self.grown(now, settings);
        self.credit = (grown.min(1.0), now);
        pace.is_none() || self.credit.0 >= 1.0
    }

    /// Credit that grew in a lull lapses to its phase at a cold server. Guards against the first calls of all
    /// gateways after it: each would find a whole credit. Could do harm where calls come in bunches.
    fn lapse(&mut self, now: Time, settings: &Settings) {
        if let ((Some(_), grown), Some(_)) = (self.grown(now, settings), self.cold) {
            self.credit = (grown.fract(), now);
        }
    }

    /// The pace now, and the credit that has grown at it.
    fn grown(&self, now: Time, settings: &Settings) -> (Option<f64>, f64) {
        let (pace, (credit, counted)) = (self.pace(now, settings), self.credit);
        (pace, credit + pace.unwrap_or(0.0) * now.since(counted).as_secs_f64())
    }
}

// ---- A call's life -----------------------------------------------------------------------------------
#[derive(Debug, Default)]
struct Call {
    new: NewCall,
    answer_by: Time,
    margin: Duration,
    aim: Duration,
    aim_at: Time,
    worth: f64,
    late_share: f64,
    effect: Effect,
    attempts: u32,
    out: Option<(AttemptNo, ServerId)>,
    standing: bool,
    not_before: Time,
    maybe_ran: Option<(Time, ServerId)>,
    sent_at: Time,
    failed: Option<ServerId>,
    called_off: bool,
}

impl Call {
    fn wanted(&self, now: Time) -> RoutingRequest {
        let (aim_left, left) = (self.aim_at.since(now), self.answer_by.since(now));
        let (call, class, worth, aim) = (self.new.id, self.new.class, self.worth, self.aim);
        RoutingRequest { call, class, worth, aim, aim_left, time_left: left }
    }

    /// Whether the call can go nowhere any more: it has had its attempts, or may have run and must not run
    /// again. Guards against holding what nobody works at; such a call gets its answer at once.
    fn is_hopeless(&self, now: Time, max_attempts: u32) -> bool {
        let ran = match (self.effect, self.maybe_ran) {
            (Effect::Safe, _) | (_, None) => false,
            (Effect::Unsafe, Some(_)) => true,
            (Effect::Keyed { window, .. }, Some((when, _))) => now.since(when) + SWEEP >= window,
        };
        self.out.is_none() && !self.standing && (ran || self.attempts >= max_attempts)
    }

    /// Past its aim a call is worth its late share, once.
    fn discount_if_late(&mut self, now: Time) {
        if now > self.aim_at {
            (self.worth, self.late_share) = (self.worth * self.late_share, 1.0);
        }
    }
}

#[derive(Debug)]
struct NumberLog {
    first: Time,
    last: Time,
    busy_until: Time,
}

/// The decisions of one gateway.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    voice: Option<Box<dyn RoutingPolicy>>,
    rng: ChaCha8Rng,
    servers: BTreeMap<ServerId, Server>,
    calls: BTreeMap<CallId, Call>,
    held: BTreeSet<(u64, Time, CallId)>,
    numbers: BTreeMap<Arc<str>, NumberLog>,
    quota: Vec<(f64, Time)>,
    next_tick: Time,
    ticks: u32,
    /// Own set-ups a second that stand, at all servers together, in the long mean, and the ticks it is of.
    stands: (f64, u32),
    next_sweep: Time,
    last_call: Time,
    listed: bool,
    asked: Option<Time>,
    subscribed: bool,
    actions: Vec<Action>,
}

impl Controller {
    /// A controller that knows its settings and nothing else.
    ///
    /// # Errors
    /// Where the settings hold figures that make no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            quota: vec![(0.0, Time::default()); settings.tenants.len()],
            settings,
            voice: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            held: BTreeSet::new(),
            numbers: BTreeMap::new(),
            next_tick: Time::default(),
            ticks: 0,
            stands: (0.0, 0),
            next_sweep: Time::default(),
            last_call: Time::default(),
            listed: false,
            asked: None,
            subscribed: false,
            actions: Vec::new(),
        })
    }

    /// The same with a further voice in the choice of server.
    #[must_use]
    pub fn with_routing_policy(mut self, voice: Box<dyn RoutingPolicy>) -> Self {
        self.voice = Some(voice);
        self
    }

    /// Takes one event at the clock's reading `now` and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if self.next_sweep == Time::default() {
            let phase = TICK.mul_f64(self.unit());
            self.next_tick = now.plus(phase);
            self.next_sweep = now;
        }
        match event {
            Event::List { kind, entries } => self.on_list(now, kind, entries),
            Event::Call(new) => self.on_call(now, new),
            Event::Established { call, attempt, server, took } => {
                let known =
                    self.calls.get_mut(&call).filter(|c| c.out == Some((attempt, server)) && !c.standing);
                if let Some(c) = known {
                    c.standing = true;
                    self.voice.iter_mut().for_each(|voice| voice.attempt_resolved(call, true));
                    self.answered(now, server, call, Some(took));
                }
            }
            Event::Closed { call, attempt, server, done, outcome, detail, report, .. } => {
                self.on_closed(now, call, (attempt, server), (done, outcome, detail), report);
            }
            Event::Abandoned(call) => self.forget(call),
            Event::Timer(_) => {}
            Event::Probed { server, report, .. } => {
                if let Some(s) = self.servers.get_mut(&server) {
                    s.free = report.free_circuits.map(|x| (x, now)).or(s.free);
                }
            }
            Event::PeerMessage { from, text } => self.on_news(from, &text),
        }
        if now >= self.next_sweep {
            self.sweep(now);
            self.next_sweep = now.plus(SWEEP);
            self.actions.push(Action::SetTimer { after: SWEEP, timer: TICK_TIMER });
        }
        actions.append(&mut self.actions);
    }

    fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn on_call(&mut self, now: Time, new: NewCall) {
        let gap = now.since(std::mem::replace(&mut self.last_call, now));
        if gap >= TICK && gap.as_secs_f64() * self.stands.0 > LULL {
            self.servers.values_mut().for_each(|s| s.lapse(now, &self.settings));
        }
        if self.calls.contains_key(&new.id) {
            return;
        }
        let Some(class) = new.class.and_then(|c| self.settings.classes.get(c.0)).cloned() else {
            self.actions.push(Action::Refuse { call: new.id, retry_after: Duration::ZERO });
            return;
        };
        let log = self.numbers.entry(new.number.clone());
        let log = log.or_insert(NumberLog { first: now, last: now, busy_until: Time::default() });
        log.last = now;
        let busy = now < log.busy_until;
        let (mut worth, first) = (class.points, log.first);
        if new.tenant.is_some_and(|t| !self.within_quota(now, t)) {
            worth *= self.settings.over_share_worth;
        }
        let (id, left) = (new.id, new.time_left);
        let margin = ANSWER_MARGIN.min(new.time_left / 4).max(SWEEP * 2);
        let mut call = Call {
            answer_by: now.plus(new.time_left.saturating_sub(margin)),
            margin,
            aim: class.aim,
            aim_at: first.plus(class.aim),
            worth,
            late_share: class.late_share,
            effect: class.effect,
            sent_at: now,
            new,
            ..Call::default()
        };
        call.discount_if_late(now);
        self.held.insert(Self::place_in_line(&call));
        self.calls.insert(id, call);
        // Guards against calls that come with next to no time left, as after this process stood still.
        if margin + SWEEP > left {
            return self.give_up(id);
        }
        // Guards against a flood to one number: sets up nothing while its lines were just seen busy. Could do
        // harm to a number with one short call after another.
        if busy {
            return self.give_up(id);
        }
        if !self.offer_held(now) {
            self.place(now, id);
        }
    }

    /// Whether a call of this tenant lies inside this gateway's part of its quota.
    fn within_quota(&mut self, now: Time, tenant: TenantId) -> bool {
        let quota = self.settings.tenants.get(tenant.0).and_then(|t| t.quota_per_s);
        let Some((quota, (level, last))) = quota.zip(self.quota.get_mut(tenant.0)) else { return true };
        let rate = quota / f64::from(self.settings.gateways);
        *level = (*level - rate * now.since(*last).as_secs_f64()).max(0.0);
        *last = now;
        let within = *level + 1.0 <= (rate * QUOTA_BURST_S).max(1.0);
        if within {
            *level += 1.0;
        }
        within
    }

    fn forget(&mut self, call: CallId) {
        self.voice.iter_mut().for_each(|voice| voice.attempt_resolved(call, false));
        let gone = self.calls.remove(&call);
        if let Some(c) = &gone {
            self.held.remove(&Self::place_in_line(c));
        }
        let server = gone.and_then(|c| c.out).map(|(_, server)| server);
        if let Some(s) = server.and_then(|server| self.servers.get_mut(&server)) {
            s.waiting.retain(|(_, id)| *id != call);
        }
    }

    /// The one final answer of a call that goes no further.
    fn give_up(&mut self, call: CallId) {
        let Some(c) = self.calls.get(&call) else { return };
        let limits = &self.settings.limits;
        let retry_after = if limits.retry_after { limits.max_retry_after } else { Duration::ZERO };
        let refusable = match (c.effect, c.maybe_ran) {
            (Effect::Safe, _) | (_, None) => c.out.is_none() || c.effect == Effect::Safe,
            (Effect::Keyed { group, .. }, Some(_)) => group == RepeatGroup::All && c.out.is_none(),
            (Effect::Unsafe, Some(_)) => false,
        };
        if refusable {
            self.actions.push(Action::Refuse { call, retry_after });
        } else {
            self.actions.push(Action::Fail(call));
        }
        self.forget(call);
    }

    /// A server gave a sign of life for one of its set-ups.
    fn answered(&mut self, now: Time, id: ServerId, call: CallId, took: Option<Duration>) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.waiting.retain(|(_, c)| *c != call);
        if let Some(took) = took {
            s.misses = 0;
            s.answered_up_to = s.answered_up_to.max(now.minus(took));
            s.note_delay(took.as_secs_f64());
            s.answered.push_back(now);
            s.stood += 1;
        }
        s.last_answer = now;
        if took.is_some() && std::mem::take(&mut s.suspect) {
            self.actions.push(Action::Log(format!("server {} takes set-ups again", id.0)));
        }
    }

    fn on_closed(
        &mut self,
        now: Time,
        call: CallId,
        attempt: (AttemptNo, ServerId),
        (done, outcome, detail): (bool, Outcome, OutcomeDetail),
        report: LoadReport,
    ) {
        if let Some(s) = self.servers.get_mut(&attempt.1) {
            s.free = report.free_circuits.map(|x| (x, now)).or(s.free);
            s.utilisation = report.utilisation.or(s.utilisation);
            // A told wait is one more sample of the set-up delay.
            if let (Some(wait), Some(floor)) = (report.queue_wait, s.floor) {
                s.tick_delays.add(floor + wait.as_secs_f64());
            }
        }
        let Some(c) = self.calls.get_mut(&call).filter(|c| c.out == Some(attempt)) else { return };
        let stood = c.standing;
        self.voice.iter_mut().for_each(|voice| voice.attempt_resolved(call, stood));
        c.out = None;
        c.failed = Some(attempt.1);
        if !outcome.never_ran() && c.maybe_ran.is_none() {
            c.maybe_ran = Some((c.sent_at, attempt.1));
        }
        if outcome.needs_release() {
            c.not_before = now.plus(self.settings.rules.release_guard);
        }
        if let (true, Some(s)) = (stood, self.servers.get_mut(&attempt.1)) {
            s.free = s.free.map(|(free, told)| (free.max(0.0) + c.new.width, told));
        }
        match outcome {
            _ if stood => {}
            Outcome::Full | Outcome::Error | Outcome::Ended => {
                self.answered(now, attempt.1, call, None);
                match (self.servers.get_mut(&attempt.1), detail) {
                    (Some(s), OutcomeDetail::ProcessorFull(wait)) => {
                        s.tick_full = true;
                        s.miss(now, 1, &mut self.actions);
                        s.not_before = now.plus(wait.unwrap_or_default().clamp(TRIAL.0, TRIAL.1));
                    }
                    (Some(s), OutcomeDetail::NoCircuit) => s.free = Some((0.0, now)),
                    _ => {}
                }
            }
            _ => self.unanswered(now, attempt.1, call, outcome),
        }
        if detail == OutcomeDetail::NumberBusy
            && let Some(log) = self.calls.get(&call).and_then(|c| self.numbers.get_mut(&c.new.number))
        {
            log.busy_until = now.plus(BUSY_PAUSE);
        }
        if done || stood {
            self.forget(call);
        } else if detail == OutcomeDetail::NumberBusy
            || self.calls.get(&call).is_some_and(|c| c.is_hopeless(now, self.settings.limits.max_attempts))
        {
            self.give_up(call);
        } else {
            self.held.extend(self.calls.get(&call).map(Self::place_in_line));
        }
        if !stood {
            self.offer_held(now);
        }
    }

    /// A set-up ended with no word from the server.
    fn unanswered(&mut self, now: Time, id: ServerId, call: CallId, outcome: Outcome) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        let sent = s.waiting.iter().find(|(_, c)| *c == call).map(|(t, _)| *t);
        s.waiting.retain(|(_, c)| *c != call);
        let silent = sent.is_some_and(|t| s.last_answer < t);
        if outcome == Outcome::Moot || !(silent || s.suspect) {
            return;
        }
        s.miss(now, if outcome == Outcome::ConnectFailed { MISSES } else { 1 }, &mut self.actions);
    }

    // ---- Routing -------------------------------------------------------------------------------------
    /// The call's place among those held: the most worth first, then the nearest aim.
    fn place_in_line(c: &Call) -> (u64, Time, CallId) {
        (!c.worth.max(0.0).to_bits(), c.aim_at, c.new.id)
    }

    /// One draw, for an arrival or for room that has come up: the best call held makes it. One that no server
    /// is open to does not draw and stands in nobody's way.
    fn offer_held(&mut self, now: Time) -> bool {
        let ready = |id: &CallId| self.calls.get(id).is_some_and(|c| c.out.is_none() && c.not_before < now);
        let ids = self.held.iter().map(|(_, _, id)| *id);
        let best: Vec<CallId> = ids.filter(ready).take(LOOK_THROUGH).collect();
        best.into_iter().any(|call| self.place(now, call))
    }

    /// First-choice server, else one load-weighted redraw among the rest; each passes its own throttle.
    /// Tells whether the call drew: no server may be open to it.
    fn place(&mut self, now: Time, id: CallId) -> bool {
        let call = self.calls.get(&id).map(|c| (c.new.destination, c.failed));
        let Some((destination, failed)) = call else { return false };
        let mut open: Vec<ServerId> = self.servers.keys().copied().collect();
        open.retain(|server| self.may_issue(now, id, *server));
        let say = self.hear(now, id, &mut open);
        // A further attempt goes elsewhere if it can: guards against servers that fail some or all set-ups.
        if let Some(failed) = failed.filter(|_| open.len() > 1) {
            open.retain(|s| *s != failed);
        }
        let first = open.iter().copied().find(|s| self.servers[s].entry.cell == destination);
        if let Some(first) = first {
            if self.servers.get_mut(&first).is_some_and(|s| s.throttle.draw()) {
                self.issue(now, id, first);
                return true;
            }
            open.retain(|s| *s != first);
        }
        let unit = self.unit();
        let said = |id: &ServerId| say.get(id).copied().unwrap_or(1.0);
        let weight = |id: &ServerId| (1.0 - self.servers[id].slow_reading).max(0.05) * said(id);
        let total: f64 = open.iter().map(weight).sum();
        let mut point = unit * total;
        let choice = open.iter().copied().find(|s| {
            point -= weight(s);
            point < 0.0
        });
        let Some(choice) = choice.or(open.last().copied()) else { return first.is_some() };
        if self.servers.get_mut(&choice).is_some_and(|s| s.throttle.draw()) {
            self.issue(now, id, choice);
        }
        true
    }

    /// The voice's part in the choice (none: nothing changes): a server that it does not want now is not open
    /// to the call, which is held on. Guards against calls that cross into dear zones without need. Could do
    /// harm where it wants nobody for long: such calls are refused by their time.
    fn hear(&mut self, now: Time, id: CallId, open: &mut Vec<ServerId>) -> BTreeMap<ServerId, f64> {
        let mut say = BTreeMap::new();
        let (Some(voice), Some(c)) = (&mut self.voice, self.calls.get(&id)) else { return say };
        let wanted = c.wanted(now);
        open.retain(|server| {
            let weight =
                self.servers.get(server).map_or(0.0, |s| voice.server_weight(now, &wanted, &s.entry));
            say.insert(*server, weight);
            weight > 0.0
        });
        say
    }

    /// The one gate that every attempt passes: all rules and guards that can be told beforehand.
    fn may_issue(&mut self, now: Time, id: CallId, server: ServerId) -> bool {
        let Some(c) = self.calls.get(&id) else { return false };
        let Some(zone) = self.servers.get(&server).map(|s| s.entry.zone.clone()) else { return false };
        let same_group = match (c.effect, c.maybe_ran) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Keyed { group, window }, Some((when, at))) => {
                let old = self.servers.get(&at).map(|s| (s.entry.zone.clone(), s.entry.cell));
                let same = match (group, old) {
                    (RepeatGroup::All, _) => true,
                    (RepeatGroup::Zone, Some((z, _))) => z == zone,
                    (RepeatGroup::Cell, Some((_, cell))) => cell == self.servers[&server].entry.cell,
                    (_, None) => false,
                };
                same && now.since(when) + SWEEP < window
            }
        };
        let pools = c.new.class.and_then(|k| self.settings.classes[k.0].pools.as_ref());
        let Some(s) = self.servers.get_mut(&server) else { return false };
        let route = match self.settings.topology {
            Topology::Pools => pools.is_none_or(|p| p.contains(&s.entry.cell)),
            Topology::Mesh { home } => {
                s.entry.cell != home && (!c.new.transit || s.entry.cell == c.new.destination)
            }
        };
        let trial = now >= s.not_before && (!s.suspect || s.waiting.is_empty());
        let alive = c.out.is_none() && !c.standing && c.not_before < now && now < c.answer_by;
        alive
            && c.attempts < self.settings.limits.max_attempts
            && same_group
            && route
            && s.entry.state == ServerState::Ready
            && s.free.is_none_or(|(free, told)| free >= c.new.width || now.since(told) > FREE_MEMORY)
            && trial
            && s.has_room(now, c.aim)
            && s.has_credit(now, &self.settings)
    }

    /// Own set-ups a second that stand at a server, in the long mean over all that were warm.
    fn usual_rate(&self) -> f64 {
        let mut rates = Samples::default();
        self.servers.values().filter(|s| s.usual_ticks > 0).for_each(|s| rates.add(s.usual));
        rates.mean().unwrap_or(0.0)
    }

    /// Own set-ups a second that would stand at each server if all that are ready had as many. Guards against
    /// gateways that have just begun and know no usual rate: hundreds would leave the cold servers to the few
    /// others. Could do harm where load falls most unevenly on servers: a small one is then sent too much.
    fn even_rate(&mut self) -> f64 {
        let stood: u32 = self.servers.values().map(|s| s.stood).sum();
        let (rate, ticks) = self.stands;
        let ticks = (ticks + 1).min(USUAL_TICKS);
        self.stands = (rate + (f64::from(stood) / TICK.as_secs_f64() - rate) / f64::from(ticks), ticks);
        let ready = self.servers.values().filter(|s| s.entry.state == ServerState::Ready).count();
        self.stands.0 / ready.max(1) as f64
    }

    fn issue(&mut self, now: Time, id: CallId, server: ServerId) {
        let (Some(c), Some(s)) = (self.calls.get_mut(&id), self.servers.get_mut(&server)) else { return };
        let mut within = c.answer_by.since(now);
        if s.suspect
            || s.in_line().next().is_some_and(|(sent, _)| now.since(*sent) >= c.aim.mul_f64(FAR_SHARE))
        {
            within = within.min(c.aim.mul_f64(TRIAL_CUT));
        }
        self.voice.iter_mut().for_each(|voice| voice.attempt_sent(now, &c.wanted(now), &s.entry));
        c.out = Some((AttemptNo(c.attempts), server));
        c.called_off = false;
        c.attempts += 1;
        c.sent_at = now;
        s.throttle.passed += 1;
        s.free = s.free.map(|(free, told)| (free - c.new.width, told));
        s.waiting.insert((now, id));
        s.credit.0 = (s.credit.0 - 1.0).max(0.0);
        self.held.remove(&Self::place_in_line(c));
        self.actions.push(Action::Issue { call: id, server, within });
    }

    // ---- Time ----------------------------------------------------------------------------------------
    fn sweep(&mut self, now: Time) {
        if now >= self.next_tick {
            self.next_tick = now.plus(TICK);
            self.tick(now);
        }
        // Past its aim a call is worth less and takes a place further back.
        let turned = self.calls.values_mut().filter(|c| now > c.aim_at && c.late_share != 1.0 && !c.standing);
        for c in turned {
            let held = self.held.remove(&Self::place_in_line(c));
            c.discount_if_late(now);
            if held {
                self.held.insert(Self::place_in_line(c));
            }
        }
        self.call_off(now);
        let most = self.settings.limits.max_attempts;
        let ends = |c: &Call| c.answer_by <= now || c.is_hopeless(now, most);
        let due = self.calls.iter().filter(|(_, c)| !c.standing && ends(c));
        // An attempt that is out was timed to end a little before; its outcome gets a few sweeps to come in.
        let due = due.filter(|(_, c)| c.out.is_none() || c.answer_by.plus(c.margin / 2) <= now);
        for id in due.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.give_up(id);
        }
        if self.settings.discovery == Discovery::Subscribe {
            let pause = self.settings.rules.subscribe_within / ASK_SHARE;
            if !self.subscribed && self.asked.is_none_or(|t| now.since(t) >= pause) {
                self.asked = Some(now);
                self.actions.push(Action::Subscribe);
            }
        }
    }

    /// Calls off attempts whose answers are lost, so that their calls go again while there is time. Guards
    /// against lost and silent answers, which would cost the whole try. Could do harm at servers that do not
    /// work in order.
    fn call_off(&mut self, now: Time) {
        let again = now.plus(self.settings.rules.release_guard + SWEEP);
        for id in self.servers.values().flat_map(Server::overtaken) {
            let Some(c) = self.calls.get_mut(&id).filter(|c| self.settings.limits.cancel && !c.called_off)
            else {
                continue;
            };
            let more = c.attempts < self.settings.limits.max_attempts && again < c.answer_by;
            if let Some((attempt, _)) = c.out.filter(|_| more && !c.standing && c.effect == Effect::Safe) {
                c.called_off = true;
                self.actions.push(Action::Cancel { call: id, attempt });
            }
        }
    }

    /// The shortest aim of all classes, in seconds.
    fn aim(&self) -> f64 {
        let aims = self.settings.classes.iter().map(|c| c.aim.as_secs_f64());
        aims.fold(f64::INFINITY, f64::min).max(1e-3)
    }

    fn tick(&mut self, now: Time) {
        let least = self.servers.values().filter_map(|s| s.floor).min_by(f64::total_cmp);
        let f_min = (F_MIN_SUM / f64::from(self.settings.gateways)).clamp(F_MIN.0, F_MIN.1);
        let aim = self.aim();
        let even = self.even_rate();
        for (id, s) in &mut self.servers {
            if s.cold.is_some() && s.usual_ticks == 0 {
                s.usual = even;
            }
            let floor = if s.samples < 8 { least } else { s.floor };
            s.tick(now, floor, aim, f_min);
            s.cold = s.cold.filter(|(_, until)| now < *until);
            let pressed = s.throttle.f < if s.pressed { 0.9 } else { 0.5 };
            if pressed != s.pressed {
                s.pressed = pressed;
                let word = if pressed { "pressed" } else { "no longer pressed" };
                self.actions.push(Action::Log(format!("server {} {word}, f {:.2}", id.0, s.throttle.f)));
            }
        }
        if let Some(voice) = &mut self.voice {
            let mut servers = self.servers.values().map(|s| {
                let (ready, well) = (s.entry.state == ServerState::Ready, s.cold.is_none() && !s.suspect);
                ServerView { entry: &s.entry, ready, healthy: well, allowed_fraction: s.throttle.f }
            });
            voice.observe(now, &mut servers);
        }
        self.numbers.retain(|_, log| now.since(log.last) < NUMBER_MEMORY);
        self.forget_gone(now);
        self.tell_news();
        for _ in 0..1 + (self.usual_rate() * DRAWS_S) as u32 {
            self.offer_held(now);
        }
    }

    /// Forgets servers that are gone, once no call of theirs can matter (those out, and those that may have
    /// run there) and no replacement takes its pace from them. Guards against memory that grows with each
    /// release. Could do harm to one that comes back later under its old id: it starts anew, as cold.
    fn forget_gone(&mut self, now: Time) {
        let longest = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let keep = self.settings.rules.cold_time.max(longest);
        let past = |s: &Server| s.gone.is_some_and(|since| now.since(since) > keep) && s.waiting.is_empty();
        self.servers.retain(|_, s| !past(s));
    }

    /// Tells a few other gateways, drawn anew each time, what delays were seen here. Among hundreds of them
    /// each has too few samples of its own; messages may all be lost, then it goes by those alone.
    fn tell_news(&mut self) {
        self.ticks = (self.ticks + 1) % NEWS.0;
        let (me, gateways) = (self.settings.own_id.0, self.settings.gateways);
        if self.ticks != 0 || !self.settings.limits.peers || gateways < 2 {
            return;
        }
        let mut text = String::from("1");
        for (id, s) in &mut self.servers {
            let news = std::mem::take(&mut s.news);
            if news.n > 0 && text.len() < 230 {
                text += &format!(" {}:{:.0}", id.0, 1e3 * news.sum / f64::from(news.n));
            }
        }
        for _ in 0..NEWS.1.min(gateways - 1) {
            let step = 1 + self.rng.next_u32() % (gateways - 1);
            let to = Some(PeerId((me + step) % gateways));
            if text.len() > 1 {
                self.actions.push(Action::SendToPeer { to, text: text.clone() });
            }
        }
    }

    /// Delays told by another gateway are samples like the own ones. What cannot be read is left out.
    fn on_news(&mut self, from: PeerId, text: &str) {
        let known =
            self.settings.limits.peers && from != self.settings.own_id && from.0 < self.settings.gateways;
        let Some(lines) = text.strip_prefix("1 ").filter(|_| known) else { return };
        for (id, ms) in lines.split(' ').filter_map(|line| line.split_once(':')) {
            let (Ok(id), Ok(ms)) = (id.parse().map(ServerId), ms.parse::<u32>()) else { continue };
            if let Some(s) = self.servers.get_mut(&id).filter(|_| ms <= NEWS_MOST) {
                s.told_delays.add(f64::from(ms) / 1e3);
            }
        }
    }

    // ---- The list of servers -------------------------------------------------------------------------
    fn on_list(&mut self, now: Time, kind: ListKind, entries: Vec<ServerEntry>) {
        if kind == ListKind::Failed {
            self.subscribed = false;
            return;
        }
        self.subscribed |= kind != ListKind::Cached && self.asked.is_some();
        if kind != ListKind::Changes {
            for s in self.servers.values_mut().filter(|s| entries.iter().all(|e| e.id != s.entry.id)) {
                s.entry.state = ServerState::Gone;
            }
        }
        let cold_time = self.settings.rules.cold_time;
        let overtake = Duration::from_secs_f64(self.aim().min(1e6) * OVERTAKE_SHARE);
        let known = self.servers.values().any(|s| s.usual_ticks > 0);
        for entry in entries {
            let id = entry.id;
            // A machine that replaces another in its pool is taken to be of its size.
            let credit = self.unit();
            let same = self.servers.values().filter(|s| s.entry.cell == entry.cell && s.usual_ticks > 0);
            let usual = same.map(|s| s.usual).reduce(f64::max).unwrap_or_else(|| self.usual_rate());
            let fresh = !self.servers.contains_key(&id);
            let s =
                self.servers.entry(id).or_insert_with(|| Server::new(entry.clone(), now, credit, overtake));
            let restarted = s.entry.up_since != entry.up_since && entry.up_since.is_some();
            if (restarted || fresh) && entry.state == ServerState::Ready {
                let started = entry.up_since.filter(|t| now.since(*t) < cold_time);
                // A new id with no start time is new to service, unless this gateway itself has just begun.
                let since = started.or((fresh && self.listed && entry.up_since.is_none()).then_some(now));
                if let Some(since) = since {
                    let (free, waiting) = (s.free, std::mem::take(&mut s.waiting));
                    *s = Server::new(entry.clone(), now, credit, overtake);
                    (s.free, s.waiting, s.usual, s.usual_ticks) =
                        (free, waiting, usual, if known { USUAL_TICKS } else { 0 });
                    s.cold = Some((since, since.plus(cold_time)));
                    self.actions.push(Action::Log(format!("server {} starts cold", id.0)));
                }
            }
            if s.entry.state != entry.state && entry.state != ServerState::Ready {
                self.actions.push(Action::Log(format!("server {} drains or is gone", id.0)));
            }
            s.entry = entry;
        }
        for s in self.servers.values_mut() {
            s.gone = (s.entry.state == ServerState::Gone).then(|| s.gone.unwrap_or(now));
        }
        self.listed = true;
    }
}

#[cfg(test)]
#[path = "brain_tests.rs"]
mod tests;
