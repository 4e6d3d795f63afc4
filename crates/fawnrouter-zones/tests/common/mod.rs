//! A fleet of controllers with their voices, and plain switches, in virtual time: no sockets, one seed.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use fawnrouter::*;
use fawnrouter_zones::{
    Budget, BudgetPeriod, GrantMessage, HealthSettings, Limit, Money, SharedZonePolicy, ZoneCost, ZonePolicy,
    ZoneSettings,
};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

pub const ZONES: [&str; 3] = ["kochi", "kozhikode", "thiruvananthapuram"];
/// One step of virtual time.
const STEP: Duration = Duration::from_millis(10);
/// The list is this late.
const LIST_DELAY: Duration = Duration::from_secs(1);
const FULL_AFTER: f64 = 2.0;
pub const COLD: (f64, f64) = (0.3, 14.0);

/// How other zones are dealt with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// No voice at all.
    Unvoiced,
    /// The voice, with its budgets and price.
    Budgeted,
    /// The voice without any budget.
    Unbudgeted,
    /// The voice with its budgets and no price: first come, first served until they are spent.
    HardCap,
    /// The voice with its budgets, and shares that follow demand by messages, a tenth of which is lost.
    Talking,
    /// Nothing but a weight: the own zone ten times as often.
    Preference,
}

/// A world to run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub gateways: u32,
    /// Switches in each zone, and calls a second that each can do.
    pub switches: u32,
    pub capacity: f64,
    /// Calls a second over all zones, evenly.
    pub calls: f64,
    pub seconds: u64,
    pub policy: Policy,
    /// Calls a minute of the whole fleet that may leave each zone.
    pub budget: u64,
    pub emergency: f64,
    /// So many switches of the first zone are away between these times, seconds.
    pub struck: u32,
    pub away: (u64, u64),
    /// As many of the second zone between these; never if both are 0.
    pub then: (u64, u64),
    /// Times of the load of the first zone between these times.
    pub surge: (f64, u64, u64),
    /// How uneven the gateways of a zone are: the busiest has 1 + skew times the calls of the least busy.
    pub skew: f64,
    pub seed: u64,
}

impl Plan {
    pub fn new(gateways: u32, policy: Policy) -> Self {
        Self {
            gateways,
            switches: 5,
            capacity: 30.0,
            calls: 270.0,
            seconds: 90,
            policy,
            budget: 300,
            emergency: 4.0,
            struck: 0,
            away: (20, 40),
            then: (0, 0),
            surge: (1.0, 0, 0),
            skew: 0.0,
            seed: 1,
        }
    }
}

#[derive(Debug)]
struct Preference(Arc<str>);

impl RoutingPolicy for Preference {
    fn observe(&mut self, _: Time, _: &mut dyn Iterator<Item = ServerView<'_>>) {}
    fn server_weight(&mut self, _: Time, _: &RoutingRequest, server: &ServerEntry) -> f64 {
        if server.zone == self.0 { 1.0 } else { 0.1 }
    }
    fn attempt_sent(&mut self, _: Time, _: &RoutingRequest, _: &ServerEntry) {}
    fn attempt_resolved(&mut self, _: CallId, _: bool) {}
}

struct Switch {
    entry: ServerEntry,
    queue: VecDeque<(usize, CallId, AttemptNo, Time)>,
    credit: f64,
    away: bool,
    cold_since: Option<Time>,
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcomes {
    /// Worth offered and got, by class.
    pub worth: [(f64, f64); 2],
    /// Calls that stood in another zone, by minute and zone that they came from.
    pub spill: BTreeMap<(u64, usize), u64>,
    /// The same by second, from the first zone.
    pub spill_s: BTreeMap<u64, u64>,
    /// Set-ups sent to another zone in a minute, by zone that they came from.
    pub sent_s: BTreeMap<u64, u64>,
    /// Calls offered by second, zone and class, for a plan with hindsight.
    pub offered: BTreeMap<(u64, usize, usize), u64>,
    pub stood: u64,
}

impl Outcomes {
    pub fn service(&self) -> f64 {
        let sum = self.worth.iter().fold((0.0, 0.0), |a, w| (a.0 + w.0, a.1 + w.1));
        sum.1 / sum.0.max(1.0)
    }

    pub fn class(&self, class: usize) -> f64 {
        self.worth[class].1 / self.worth[class].0.max(1.0)
    }

    pub fn spilled(&self) -> u64 {
        self.spill.values().sum()
    }

    /// The most that one zone spilled in one minute.
    pub fn most_a_minute(&self) -> u64 {
        self.spill.values().copied().max().unwrap_or(0)
    }

    /// The last second in which the first zone spilled.
    pub fn last_spill(&self) -> Option<u64> {
        self.spill_s.keys().next_back().copied()
    }
}

pub fn settings(gateways: u32, me: u32) -> Settings {
    let class = |name: &str, points| ClassSettings {
        name: name.into(),
        aim: Duration::from_millis(2000),
        deadline: Duration::from_secs(9),
        points,
        late_share: 0.25,
        effect: Effect::Safe,
        pools: None,
    };
    Settings {
        gateways,
        own_id: PeerId(me),
        classes: vec![class("check", 1.0), class("transfer", 3.0)],
        tenants: vec![],
        over_share_worth: 1.0,
        rules: Rules {
            drain_grace: Duration::from_secs(1),
            cold_from: COLD.0,
            cold_time: Duration::from_secs(14),
            fall_multiple: 3.0,
            fall_time: Duration::from_secs(1),
            release_guard: Duration::from_millis(300),
            subscribe_within: Duration::from_secs(10),
        },
        limits: Limits {
            max_attempts: 5,
            cancel: true,
            peers: false,
            probes: false,
            retry_after: true,
            max_retry_after: Duration::from_secs(2),
        },
        topology: Topology::Pools,
        discovery: Discovery::Push,
        resend: None,
        tick: Duration::from_millis(5),
    }
}

/// Gateways are spread over the zones in turn; this one's zone.
pub fn zone_of(gateway: u32) -> usize {
    gateway as usize % ZONES.len()
}

pub fn zone_settings(plan: &Plan, me: u32) -> ZoneSettings {
    let own = ZONES[zone_of(me)];
    // Gateways of one zone share what may leave it.
    let sharers = (0..plan.gateways).filter(|g| zone_of(*g) == zone_of(me)).count() as u32;
    let budget = Budget {
        from: Some(own.into()),
        to: None,
        period: BudgetPeriod::Minute,
        limit: Limit { calls: Some(plan.budget), money: None },
        carry: 0.0,
        emergency: plan.emergency,
        sharers,
    };
    ZoneSettings {
        own_zone: own.into(),
        costs: BTreeMap::new(),
        default_cost: ZoneCost::Money(Money::from_units(1.0)),
        budgets: if plan.policy == Policy::Unbudgeted { vec![] } else { vec![budget] },
        gateway_index: me / ZONES.len() as u32,
        points_per_unit: if plan.policy == Policy::HardCap { 0.0 } else { 0.2 },
        health: HealthSettings::default(),
        phase: f64::from(me % 16) / 16.0,
    }
}

fn voice(plan: &Plan, me: u32, shared: &mut Vec<SharedZonePolicy>) -> Option<Box<dyn RoutingPolicy>> {
    match plan.policy {
        Policy::Unvoiced => None,
        Policy::Preference => Some(Box::new(Preference(ZONES[zone_of(me)].into()))),
        _ => {
            let zones =
                SharedZonePolicy::new(ZonePolicy::new(zone_settings(plan, me)).expect("sound settings"));
            shared.push(zones.clone());
            Some(Box::new(zones))
        }
    }
}

pub fn run(plan: &Plan) -> Outcomes {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut unit = move || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    // A whole minute, so that windows and the run's minutes are the same.
    let start = Time(Duration::from_secs(28_000_000 * 60));
    let mut now = start;
    let mut shared: Vec<SharedZonePolicy> = Vec::new();
    let mut fleet: Vec<Controller> = (0..plan.gateways)
        .map(|me| {
            let controller = Controller::new(settings(plan.gateways, me), u64::from(me) + plan.seed * 1000);
            let controller = controller.expect("sound settings");
            match voice(plan, me, &mut shared) {
                Some(voice) => controller.with_routing_policy(voice),
                None => controller,
            }
        })
        .collect();
    let count = plan.switches * ZONES.len() as u32;
    let mut switches: Vec<Switch> = (0..count)
        .map(|n| Switch {
            entry: ServerEntry {
                id: ServerId(70 + n),
                zone: ZONES[(n / plan.switches) as usize].into(),
                cell: Cell(n),
                state: ServerState::Ready,
                up_since: None,
            },
            queue: VecDeque::new(),
            credit: 0.0,
            away: false,
            cold_since: None,
        })
        .collect();
    let mut list: VecDeque<(Time, Vec<ServerEntry>)> = VecDeque::new();
    let mut actions = Vec::new();
    let whole: Vec<ServerEntry> = switches.iter().map(|s| s.entry.clone()).collect();
    for c in &mut fleet {
        c.handle(now, Event::List { kind: ListKind::Cached, entries: whole.clone() }, &mut actions);
    }
    actions.clear();
    let mut out = Outcomes::default();
    // Calls by id: gateway, class, when it came, its attempt's server.
    let mut calls: BTreeMap<CallId, (usize, usize, Time)> = BTreeMap::new();
    let mut timeouts: VecDeque<(Time, usize, CallId, AttemptNo, ServerId)> = VecDeque::new();
    let mut attempts: BTreeMap<CallId, u32> = BTreeMap::new();
    let mut next_call = 0u64;
    let (step_s, steps) = (STEP.as_secs_f64(), plan.seconds * 1000 / STEP.as_millis() as u64);
    // Set-ups, refusals and the like that the controllers decided on, with their gateway.
    let mut todo: VecDeque<(usize, Action)> = VecDeque::new();
    for step in 0..steps {
        now = start.plus(STEP * u32::try_from(step).expect("a short run"));
        let second = now.since(start).as_secs();
        let tell =
            |fleet: &mut Vec<Controller>, g: usize, event: Event, todo: &mut VecDeque<(usize, Action)>| {
                let mut actions = Vec::new();
                fleet[g].handle(now, event, &mut actions);
                todo.extend(actions.into_iter().map(|a| (g, a)));
            };
        // The trouble, and the list that tells of it later.
        let strikes = [
            (0, plan.away.0, true),
            (0, plan.away.1, false),
            (1, plan.then.0, true),
            (1, plan.then.1, false),
        ];
        for (zone, at, away) in strikes {
            let on = plan.struck > 0 && (zone == 0 || plan.then != (0, 0));
            if on && step * STEP.as_millis() as u64 == at * 1000 {
                let mut changed = Vec::new();
                for s in switches.iter_mut().skip(zone * plan.switches as usize).take(plan.struck as usize) {
                    s.away = away;
                    s.cold_since = (!away).then_some(now);
                    s.entry.state = if away { ServerState::Gone } else { ServerState::Ready };
                    s.entry.up_since = s.cold_since;
                    for (g, call, attempt, _) in s.queue.drain(..) {
                        let (server, took) = (s.entry.id, Duration::ZERO);
                        let (outcome, detail, report) =
                            (Outcome::Reset, OutcomeDetail::None, LoadReport::default());
                        let event = Event::Closed {
                            call,
                            attempt,
                            server,
                            done: false,
                            outcome,
                            detail,
                            took,
                            report,
                        };
                        tell(&mut fleet, g, event, &mut todo);
                    }
                    changed.push(s.entry.clone());
                }
                list.push_back((now.plus(LIST_DELAY), changed));
            }
        }
        while list.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, entries)) = list.pop_front() else { break };
            for g in 0..fleet.len() {
                let event = Event::List { kind: ListKind::Changes, entries: entries.clone() };
                tell(&mut fleet, g, event, &mut todo);
            }
        }
        // Arrivals.
        for g in 0..fleet.len() {
            let zone = zone_of(g as u32);
            let (times, from, to) = plan.surge;
            let times = if zone == 0 && (from..to).contains(&second) { times } else { 1.0 };
            let in_zone = (0..plan.gateways).filter(|o| zone_of(*o) == zone).count() as f64;
            let place = (g / ZONES.len()) as f64 / (in_zone - 1.0).max(1.0);
            let weight = (1.0 + plan.skew * place) / (1.0 + plan.skew / 2.0);
            let rate = plan.calls / ZONES.len() as f64 / in_zone * times * weight;
            if unit() < rate * step_s {
                next_call += 1;
                let class = usize::from(unit() < 0.3);
                let cell = zone as u32 * plan.switches + (unit() * f64::from(plan.switches)) as u32;
                let id = CallId(next_call);
                calls.insert(id, (g, class, now));
                out.worth[class].0 += [1.0, 3.0][class];
                *out.offered.entry((second, zone, class)).or_default() += 1;
                let new = NewCall {
                    id,
                    class: Some(ClassId(class)),
                    time_left: Duration::from_secs(3),
                    number: format!("n{next_call}").into(),
                    width: 1.0,
                    tenant: None,
                    redialled: false,
                    transit: false,
                    destination: Cell(cell),
                };
                tell(&mut fleet, g, Event::Call(new), &mut todo);
            }
            if step % 2 == g as u64 % 2 {
                tell(&mut fleet, g, Event::Timer(TimerId(0)), &mut todo);
            }
        }
        // Once a second each gateway that lacks something asks two others of its zone.
        if plan.policy == Policy::Talking && step % 100 == 50 {
            for g in 0..fleet.len() {
                let words = shared[g].with(|z| z.account_mut().budget_requests(now.0));
                for word in words {
                    for _ in 0..2 {
                        let count = (fleet.len() - 1 - zone_of(g as u32)) / ZONES.len() + 1;
                        let other = zone_of(g as u32) + ZONES.len() * ((unit() * count as f64) as usize);
                        if other == g || unit() < 0.1 {
                            continue;
                        }
                        let from = (g / ZONES.len()) as u32;
                        let answer: Option<GrantMessage> =
                            shared[other].with(|z| z.account_mut().on_message(now.0, from, &word));
                        if let Some(grant) = answer.filter(|_| unit() >= 0.1) {
                            let from = (other / ZONES.len()) as u32;
                            shared[g].with(|z| z.account_mut().on_message(now.0, from, &grant));
                        }
                    }
                }
            }
        }
        // Processors.
        for s in switches.iter_mut().filter(|s| !s.away) {
            let warm = s
                .cold_since
                .map_or(1.0, |t| (COLD.0 + (1.0 - COLD.0) * now.since(t).as_secs_f64() / COLD.1).min(1.0));
            s.credit = (s.credit + plan.capacity * warm * step_s).min(2.0);
            while s.credit >= 1.0 {
                let Some((g, call, attempt, sent)) = s.queue.pop_front() else { break };
                s.credit -= 1.0;
                let (server, took) = (s.entry.id, now.since(sent));
                tell(&mut fleet, g, Event::Established { call, attempt, server, took }, &mut todo);
                let (done, outcome, detail, report) =
                    (true, Outcome::Ended, OutcomeDetail::None, LoadReport::default());
                tell(
                    &mut fleet,
                    g,
                    Event::Closed { call, attempt, server, done, outcome, detail, took, report },
                    &mut todo,
                );
                attempts.remove(&call);
                let Some((_, class, began)) = calls.remove(&call) else { continue };
                let points = [1.0, 3.0][class];
                let in_aim = now.since(began) <= Duration::from_secs(2);
                out.worth[class].1 += if in_aim { points } else { points * 0.25 };
                out.stood += 1;
                let home = zone_of(g as u32);
                if *s.entry.zone != *ZONES[home] {
                    *out.spill.entry((second / 60, home)).or_default() += 1;
                    if home == 0 {
                        *out.spill_s.entry(second).or_default() += 1;
                    }
                }
            }
        }
        timeouts.retain(|(at, g, call, attempt, server)| {
            if *at > now {
                return true;
            }
            let out_there = switches.iter_mut().find(|s| s.entry.id == *server);
            if let Some(s) = out_there {
                let before = s.queue.len();
                s.queue.retain(|(_, c, a, _)| (c, a) != (call, attempt));
                if s.queue.len() < before {
                    let (call, attempt, server, took) = (*call, *attempt, *server, Duration::ZERO);
                    let (done, outcome, detail, report) =
                        (false, Outcome::TimedOut, OutcomeDetail::None, LoadReport::default());
                    let event = Event::Closed { call, attempt, server, done, outcome, detail, took, report };
                    let mut actions = Vec::new();
                    fleet[*g].handle(now, event, &mut actions);
                    todo.extend(actions.into_iter().map(|a| (*g, a)));
                }
            }
            false
        });
        while let Some((g, action)) = todo.pop_front() {
            match action {
                Action::Issue { call, server, within } => {
                    let attempt = attempts.entry(call).or_default();
                    let no = AttemptNo(*attempt);
                    *attempt += 1;
                    let Some(s) = switches.iter_mut().find(|s| s.entry.id == server) else { continue };
                    if *s.entry.zone != *ZONES[zone_of(g as u32)] {
                        *out.sent_s.entry(second).or_default() += 1;
                    }
                    let closed = |outcome, detail| {
                        let (done, took, report) = (false, Duration::ZERO, LoadReport::default());
                        Event::Closed { call, attempt: no, server, done, outcome, detail, took, report }
                    };
                    if s.away {
                        tell(&mut fleet, g, closed(Outcome::ConnectFailed, OutcomeDetail::None), &mut todo);
                    } else if s.queue.len() as f64 > FULL_AFTER * plan.capacity {
                        tell(
                            &mut fleet,
                            g,
                            closed(Outcome::Full, OutcomeDetail::ProcessorFull(None)),
                            &mut todo,
                        );
                    } else {
                        s.queue.push_back((g, call, no, now));
                        timeouts.push_back((now.plus(within), g, call, no, server));
                    }
                }
                Action::Refuse { call, .. } | Action::Fail(call) => {
                    calls.remove(&call);
                    attempts.remove(&call);
                }
                _ => {}
            }
        }
    }
    out
}
