//! Simulates a fleet of controllers with zone policies, and simple switches, in virtual time: no sockets, one
//! seed.
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
/// Delay of changes to the list of switches.
const LIST_DELAY: Duration = Duration::from_secs(1);
/// A switch rejects set-ups while its queue is longer than its capacity in this many seconds.
const MAX_QUEUE_S: f64 = 2.0;
/// Capacity of a switch just after its restart, as a share of its full capacity.
pub const COLD_START_SHARE: f64 = 0.3;
/// Time in which a restarted switch reaches its full capacity, in seconds.
pub const WARM_UP_S: f64 = 14.0;

/// How the gateways treat other zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// No zone policy: all zones are equal.
    ZoneBlind,
    /// The zone policy with budgets and price.
    Budgeted,
    /// The zone policy without any budget.
    Unbudgeted,
    /// The zone policy with budgets and no price: first come, first served until they are spent.
    HardCap,
    /// The zone policy with budgets and grants between gateways; a tenth of the messages is lost.
    Granting,
    /// Only a weight: the own zone is drawn ten times as often.
    Preference,
}

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    pub gateways: u32,
    /// Switches in each zone.
    pub switches: u32,
    /// Calls a second that each switch can set up.
    pub capacity: f64,
    /// Calls a second of all zones together, the same for each.
    pub calls: f64,
    pub seconds: u64,
    pub policy: Policy,
    /// Calls a minute that may leave each zone.
    pub budget: u64,
    /// Emergency allowance, as a multiple of the budget.
    pub emergency: f64,
    /// Number of switches that fail in an outage.
    pub failed_switches: u32,
    /// Start and end of the outage in the first zone, seconds.
    pub outage: (u64, u64),
    /// Start and end of an outage in the second zone, seconds; both 0 if there is none.
    pub second_outage: (u64, u64),
    /// Factor on the load of the first zone, with its start and end in seconds.
    pub surge: (f64, u64, u64),
    /// Imbalance of the gateways of a zone: the busiest has 1 + skew times the calls of the least busy.
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
            failed_switches: 0,
            outage: (20, 40),
            second_outage: (0, 0),
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
    /// Set-ups that the processor can complete now.
    credit: f64,
    failed: bool,
    /// When the switch last restarted.
    cold_since: Option<Time>,
}

/// The result of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunResult {
    /// Worth offered and achieved, by class.
    pub worth: [(f64, f64); 2],
    /// Calls established in another zone, by minute and zone of origin.
    pub spill: BTreeMap<(u64, usize), u64>,
    /// Calls from the first zone established in another zone, by second.
    pub first_zone_spill: BTreeMap<u64, u64>,
    /// Set-ups sent to another zone, by second.
    pub spill_attempts: BTreeMap<u64, u64>,
    /// Calls offered by second, zone and class, for the optimum computed with hindsight.
    pub offered: BTreeMap<(u64, usize, usize), u64>,
    /// Calls established.
    pub established: u64,
}

impl RunResult {
    /// Achieved share of the worth offered.
    pub fn service(&self) -> f64 {
        let sum = self.worth.iter().fold((0.0, 0.0), |a, w| (a.0 + w.0, a.1 + w.1));
        sum.1 / sum.0.max(1.0)
    }

    /// Achieved share of the worth offered by one class.
    pub fn class_service(&self, class: usize) -> f64 {
        self.worth[class].1 / self.worth[class].0.max(1.0)
    }

    pub fn spilled(&self) -> u64 {
        self.spill.values().sum()
    }

    /// The most calls that one zone spilled in one minute.
    pub fn max_spill_per_minute(&self) -> u64 {
        self.spill.values().copied().max().unwrap_or(0)
    }

    /// The last second in which the first zone spilled.
    pub fn last_spill(&self) -> Option<u64> {
        self.first_zone_spill.keys().next_back().copied()
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
            cold_from: COLD_START_SHARE,
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

/// Index of a gateway's zone: gateways are spread over the zones in turn.
pub fn zone_of(gateway: u32) -> usize {
    gateway as usize % ZONES.len()
}

pub fn zone_settings(plan: &Plan, me: u32) -> ZoneSettings {
    let own = ZONES[zone_of(me)];
    // The gateways of a zone share its budget.
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

/// The zone policy of a gateway, if it has one. A [`ZonePolicy`] is also added to `policies`.
fn policy_of(plan: &Plan, me: u32, policies: &mut Vec<SharedZonePolicy>) -> Option<Box<dyn RoutingPolicy>> {
    match plan.policy {
        Policy::ZoneBlind => None,
        Policy::Preference => Some(Box::new(Preference(ZONES[zone_of(me)].into()))),
        _ => {
            let policy =
                SharedZonePolicy::new(ZonePolicy::new(zone_settings(plan, me)).expect("sound settings"));
            policies.push(policy.clone());
            Some(Box::new(policy))
        }
    }
}

pub fn run(plan: &Plan) -> RunResult {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut unit = move || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    // Starts at a whole minute, so that the budget windows are the minutes of the simulation.
    let start = Time(Duration::from_secs(28_000_000 * 60));
    let mut now = start;
    let mut policies: Vec<SharedZonePolicy> = Vec::new();
    let mut fleet: Vec<Controller> = (0..plan.gateways)
        .map(|me| {
            let controller = Controller::new(settings(plan.gateways, me), u64::from(me) + plan.seed * 1000);
            let controller = controller.expect("sound settings");
            match policy_of(plan, me, &mut policies) {
                Some(policy) => controller.with_routing_policy(policy),
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
            failed: false,
            cold_since: None,
        })
        .collect();
    // Changes of the list that the gateways have not received yet.
    let mut list_changes: VecDeque<(Time, Vec<ServerEntry>)> = VecDeque::new();
    let mut actions = Vec::new();
    let whole_list: Vec<ServerEntry> = switches.iter().map(|s| s.entry.clone()).collect();
    for c in &mut fleet {
        c.handle(now, Event::List { kind: ListKind::Cached, entries: whole_list.clone() }, &mut actions);
    }
    actions.clear();
    let mut result = RunResult::default();
    // Calls by id: gateway, class and time of arrival.
    let mut calls: BTreeMap<CallId, (usize, usize, Time)> = BTreeMap::new();
    let mut timeouts: VecDeque<(Time, usize, CallId, AttemptNo, ServerId)> = VecDeque::new();
    let mut attempts: BTreeMap<CallId, u32> = BTreeMap::new();
    let mut next_call = 0u64;
    let (step_s, steps) = (STEP.as_secs_f64(), plan.seconds * 1000 / STEP.as_millis() as u64);
    // Actions of the controllers that are not carried out yet, with their gateway.
    let mut pending_actions: VecDeque<(usize, Action)> = VecDeque::new();
    for step in 0..steps {
        now = start.plus(STEP * u32::try_from(step).expect("a short run"));
        let second = now.since(start).as_secs();
        let handle_event = |fleet: &mut Vec<Controller>,
                            g: usize,
                            event: Event,
                            pending_actions: &mut VecDeque<(usize, Action)>| {
            let mut actions = Vec::new();
            fleet[g].handle(now, event, &mut actions);
            pending_actions.extend(actions.into_iter().map(|a| (g, a)));
        };
        // Outages, and the list changes that report them later.
        let transitions = [
            (0, plan.outage.0, true),
            (0, plan.outage.1, false),
            (1, plan.second_outage.0, true),
            (1, plan.second_outage.1, false),
        ];
        for (zone, at, failed) in transitions {
            let planned = plan.failed_switches > 0 && (zone == 0 || plan.second_outage != (0, 0));
            if planned && step * STEP.as_millis() as u64 == at * 1000 {
                let mut changed = Vec::new();
                let affected = switches.iter_mut().skip(zone * plan.switches as usize);
                for s in affected.take(plan.failed_switches as usize) {
                    s.failed = failed;
                    s.cold_since = (!failed).then_some(now);
                    s.entry.state = if failed { ServerState::Gone } else { ServerState::Ready };
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
                        handle_event(&mut fleet, g, event, &mut pending_actions);
                    }
                    changed.push(s.entry.clone());
                }
                list_changes.push_back((now.plus(LIST_DELAY), changed));
            }
        }
        while list_changes.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, entries)) = list_changes.pop_front() else { break };
            for g in 0..fleet.len() {
                let event = Event::List { kind: ListKind::Changes, entries: entries.clone() };
                handle_event(&mut fleet, g, event, &mut pending_actions);
            }
        }
        // Arrivals.
        for g in 0..fleet.len() {
            let zone = zone_of(g as u32);
            let (factor, from, to) = plan.surge;
            let factor = if zone == 0 && (from..to).contains(&second) { factor } else { 1.0 };
            let in_zone = (0..plan.gateways).filter(|o| zone_of(*o) == zone).count() as f64;
            let position = (g / ZONES.len()) as f64 / (in_zone - 1.0).max(1.0);
            let weight = (1.0 + plan.skew * position) / (1.0 + plan.skew / 2.0);
            let rate = plan.calls / ZONES.len() as f64 / in_zone * factor * weight;
            if unit() < rate * step_s {
                next_call += 1;
                let class = usize::from(unit() < 0.3);
                let cell = zone as u32 * plan.switches + (unit() * f64::from(plan.switches)) as u32;
                let id = CallId(next_call);
                calls.insert(id, (g, class, now));
                result.worth[class].0 += [1.0, 3.0][class];
                *result.offered.entry((second, zone, class)).or_default() += 1;
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
                handle_event(&mut fleet, g, Event::Call(new), &mut pending_actions);
            }
            if step % 2 == g as u64 % 2 {
                handle_event(&mut fleet, g, Event::Timer(TimerId(0)), &mut pending_actions);
            }
        }
        // Once a second each gateway that lacks budget sends a request to two others of its zone.
        if plan.policy == Policy::Granting && step % 100 == 50 {
            for g in 0..fleet.len() {
                let requests = policies[g].with(|z| z.account_mut().budget_requests(now.0));
                for request in requests {
                    for _ in 0..2 {
                        let count = (fleet.len() - 1 - zone_of(g as u32)) / ZONES.len() + 1;
                        let other = zone_of(g as u32) + ZONES.len() * ((unit() * count as f64) as usize);
                        if other == g || unit() < 0.1 {
                            continue;
                        }
                        let from = (g / ZONES.len()) as u32;
                        let answer: Option<GrantMessage> =
                            policies[other].with(|z| z.account_mut().on_message(now.0, from, &request));
                        if let Some(grant) = answer.filter(|_| unit() >= 0.1) {
                            let from = (other / ZONES.len()) as u32;
                            policies[g].with(|z| z.account_mut().on_message(now.0, from, &grant));
                        }
                    }
                }
            }
        }
        // Switches complete set-ups.
        for s in switches.iter_mut().filter(|s| !s.failed) {
            let warm_share = s.cold_since.map_or(1.0, |t| {
                let gained = (1.0 - COLD_START_SHARE) * now.since(t).as_secs_f64() / WARM_UP_S;
                (COLD_START_SHARE + gained).min(1.0)
            });
            s.credit = (s.credit + plan.capacity * warm_share * step_s).min(2.0);
            while s.credit >= 1.0 {
                let Some((g, call, attempt, sent)) = s.queue.pop_front() else { break };
                s.credit -= 1.0;
                let (server, took) = (s.entry.id, now.since(sent));
                handle_event(
                    &mut fleet,
                    g,
                    Event::Established { call, attempt, server, took },
                    &mut pending_actions,
                );
                let (done, outcome, detail, report) =
                    (true, Outcome::Ended, OutcomeDetail::None, LoadReport::default());
                handle_event(
                    &mut fleet,
                    g,
                    Event::Closed { call, attempt, server, done, outcome, detail, took, report },
                    &mut pending_actions,
                );
                attempts.remove(&call);
                let Some((_, class, began)) = calls.remove(&call) else { continue };
                let points = [1.0, 3.0][class];
                let in_aim = now.since(began) <= Duration::from_secs(2);
                result.worth[class].1 += if in_aim { points } else { points * 0.25 };
                result.established += 1;
                let home = zone_of(g as u32);
                if *s.entry.zone != *ZONES[home] {
                    *result.spill.entry((second / 60, home)).or_default() += 1;
                    if home == 0 {
                        *result.first_zone_spill.entry(second).or_default() += 1;
                    }
                }
            }
        }
        timeouts.retain(|(at, g, call, attempt, server)| {
            if *at > now {
                return true;
            }
            if let Some(s) = switches.iter_mut().find(|s| s.entry.id == *server) {
                let before = s.queue.len();
                s.queue.retain(|(_, c, a, _)| (c, a) != (call, attempt));
                if s.queue.len() < before {
                    let (call, attempt, server, took) = (*call, *attempt, *server, Duration::ZERO);
                    let (done, outcome, detail, report) =
                        (false, Outcome::TimedOut, OutcomeDetail::None, LoadReport::default());
                    let event = Event::Closed { call, attempt, server, done, outcome, detail, took, report };
                    let mut actions = Vec::new();
                    fleet[*g].handle(now, event, &mut actions);
                    pending_actions.extend(actions.into_iter().map(|a| (*g, a)));
                }
            }
            false
        });
        while let Some((g, action)) = pending_actions.pop_front() {
            match action {
                Action::Issue { call, server, within } => {
                    let attempt = attempts.entry(call).or_default();
                    let no = AttemptNo(*attempt);
                    *attempt += 1;
                    let Some(s) = switches.iter_mut().find(|s| s.entry.id == server) else { continue };
                    if *s.entry.zone != *ZONES[zone_of(g as u32)] {
                        *result.spill_attempts.entry(second).or_default() += 1;
                    }
                    let closed = |outcome, detail| {
                        let (done, took, report) = (false, Duration::ZERO, LoadReport::default());
                        Event::Closed { call, attempt: no, server, done, outcome, detail, took, report }
                    };
                    if s.failed {
                        handle_event(
                            &mut fleet,
                            g,
                            closed(Outcome::ConnectFailed, OutcomeDetail::None),
                            &mut pending_actions,
                        );
                    } else if s.queue.len() as f64 > MAX_QUEUE_S * plan.capacity {
                        handle_event(
                            &mut fleet,
                            g,
                            closed(Outcome::Full, OutcomeDetail::ProcessorFull(None)),
                            &mut pending_actions,
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
    result
}
