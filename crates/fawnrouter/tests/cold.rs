//! What all gateways together send to a cold server, checked against the cold-start rule: within the rule's
//! time (`fall_time`) at most N + 2 sqrt(N) + 2 set-ups, where the budget N is the rule's multiple
//! (`fall_multiple`) of what the server can take in that time.
mod common;

use common::*;
use fawnrouter::*;
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

/// Time between two steps of a gateway before the server's start is reported, in milliseconds.
const WARM_STEP_MS: u64 = 200;
/// Time between two steps afterwards, in milliseconds.
const STEP_MS: u64 = 50;
/// Load of a warm server as a share of its capacity: the highest one, for which the budget is smallest.
const LOAD: f64 = 0.95;
/// The first of the servers that restart.
const RESTARTED: u32 = 70;
/// The server that replaces it in some scenarios.
const REPLACEMENT: u32 = 170;

/// How gateways learn of the server's start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StartReport {
    /// All gateways learn of it at once.
    AtOnce,
    /// The server was gone, and the gateways learn of its start one after another within 2 s.
    Spread,
    /// All gateways learn of it when the server has been up for 3 s.
    Late,
    /// Another server replaces it in its cell, without a start time.
    Replaced,
    /// Another server, warm as well, replaced it some seconds before and now restarts; the old one still
    /// drains.
    ReplacedBefore,
    /// The server restarts once more after 4 s.
    Twice,
}

/// Which gateway processes restart.
#[derive(Clone, Copy, Debug, PartialEq)]
enum GatewayRestart {
    None,
    /// Every third one, 2 s after the server's start is reported.
    SomeAfter,
    /// All of them, 600 ms before the server's start is reported.
    AllBefore,
}

/// How calls are spread over gateways and time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Calls {
    Even,
    /// A tenth of the gateways have 5 times the mean, four tenths have almost none.
    Uneven,
    /// None for 6 s after the start is reported, then three for the restarted server at each gateway at the
    /// same moment, and one more every 100 ms for 1.5 s, so that all credit is used.
    Lull,
    /// Three times as many from 3 s after the start is reported.
    Surge,
}

/// How servers answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Answers {
    /// Every set-up is established.
    Established,
    /// Cold servers never answer.
    Silent,
    /// The other servers refuse half of the set-ups as full.
    OthersFull,
}

/// A site, its servers that restart, and what else happens.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    gateways: u32,
    servers: u32,
    /// Set-ups a second that all gateways together send to each warm server.
    rate: f64,
    /// Number of servers that restart.
    restarted: u32,
    calls: Calls,
    start_report: StartReport,
    gateway_restart: GatewayRestart,
    answers: Answers,
    fall_multiple: f64,
    fall_time_ms: u64,
    cold_from: f64,
    cold_time_ms: u64,
    /// Steps before the start is reported; a gateway's mean of the usual rate covers 100.
    warm_steps: u64,
    steps: u64,
    seed: u64,
}

const PLAIN: Scenario = Scenario {
    gateways: 20,
    servers: 8,
    rate: 60.0,
    restarted: 1,
    calls: Calls::Even,
    start_report: StartReport::AtOnce,
    gateway_restart: GatewayRestart::None,
    answers: Answers::Established,
    fall_multiple: 2.0,
    fall_time_ms: 1_000,
    cold_from: 0.3,
    cold_time_ms: 10_000,
    warm_steps: 100,
    steps: 180,
    seed: 1,
};

/// Hundreds of gateways, each of which sends the restarted server less than one set-up in the rule's time.
const HUNDREDS: Scenario = Scenario { gateways: 300, rate: 90.0, warm_steps: 50, steps: 60, ..PLAIN };

/// The window that comes nearest to the bound, or exceeds it most.
#[derive(Clone, Copy, Debug, Default)]
struct WorstWindow {
    count: usize,
    bound: f64,
    /// Its begin, in milliseconds after the server's start.
    at_ms: u64,
    /// All set-ups as a share of the budgets N of the whole time.
    used_share: f64,
}

impl Scenario {
    fn settings(&self, me: u32) -> Settings {
        let mut s = settings();
        (s.gateways, s.own_id, s.limits.peers) = (self.gateways, PeerId(me), false);
        s.classes.truncate(1);
        s.rules.fall_multiple = self.fall_multiple;
        s.rules.fall_time = ms(self.fall_time_ms);
        s.rules.cold_from = self.cold_from;
        s.rules.cold_time = ms(self.cold_time_ms);
        s
    }

    fn entry(id: u32, state: ServerState, up_since: Option<Time>) -> ServerEntry {
        ServerEntry { id: ServerId(id), zone: "z".into(), cell: Cell(id % 100 - RESTARTED), state, up_since }
    }

    /// Calls at a gateway as a multiple of the mean.
    fn weight(&self, me: u32) -> f64 {
        match (self.calls, me % 10) {
            (Calls::Uneven, 0) => 5.0,
            (Calls::Uneven, 1..=4) => 0.05,
            (Calls::Uneven, _) => 0.96,
            _ => 1.0,
        }
    }

    /// The first choices of the calls in this step.
    fn calls_now(&self, rng: &mut ChaCha8Rng, me: u32, step: u64) -> Vec<u32> {
        let after = step.checked_sub(self.warm_steps).map(|steps| steps * STEP_MS);
        let factor = match (self.calls, after) {
            (Calls::Lull, Some(6_000)) => return vec![0; 3],
            (Calls::Lull, Some(0..6_000)) => 0.0,
            (Calls::Lull, Some(at @ ..7_500)) => return vec![0; usize::from(at.is_multiple_of(100))],
            (Calls::Surge, Some(3_000..)) => 3.0,
            _ => 1.0,
        };
        let mean = self.rate * f64::from(self.servers) / f64::from(self.gateways) * self.weight(me);
        let mean = mean * factor * 0.001 * if after.is_none() { WARM_STEP_MS } else { STEP_MS } as f64;
        // A Poisson count: as many draws as it takes for their product to fall below e^-mean.
        let (mut product, mut count) = (1.0, 0);
        loop {
            product *= f64::from(rng.next_u32()) / f64::from(u32::MAX);
            if product <= (-mean).exp() {
                break;
            }
            count += 1;
        }
        (0..count).map(|_| rng.next_u32() % self.servers).collect()
    }

    /// The times of the set-ups to the watched server for each of its starts, in milliseconds since that
    /// start.
    fn send_times(&self) -> Vec<Vec<u64>> {
        let mut sends = vec![Vec::new(); 2];
        (0..self.gateways).for_each(|me| self.run_gateway(me, &mut sends));
        sends.iter_mut().for_each(|s| s.sort_unstable());
        sends
    }

    /// Runs gateway `me` and adds the times of its set-ups to the watched server, by the server's starts.
    fn run_gateway(&self, me: u32, sends: &mut [Vec<u64>]) {
        let seed = self.seed * 10_000 + u64::from(me);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut g = Gateway::new(self.settings(me));
        g.controller = Controller::new(self.settings(me), seed).expect("valid settings");
        let servers = RESTARTED..RESTARTED + self.servers;
        let ready = |id| Self::entry(id, ServerState::Ready, None);
        let mut list: Vec<ServerEntry> = servers.map(ready).collect();
        g.handle(Event::List { kind: ListKind::Cached, entries: list.clone() });
        let start = g.now.plus(ms(self.warm_steps * WARM_STEP_MS));
        let reported_at = match self.start_report {
            StartReport::Spread => self.warm_steps + u64::from(rng.next_u32() % 40),
            StartReport::Late => self.warm_steps + 60,
            _ => self.warm_steps,
        };
        let second_start =
            if self.start_report == StartReport::Twice { self.warm_steps + 80 } else { u64::MAX };
        let replaced = matches!(self.start_report, StartReport::Replaced | StartReport::ReplacedBefore);
        let watched = if replaced { REPLACEMENT } else { RESTARTED };
        let mut outstanding: Vec<(u64, u64, u32)> = Vec::new();
        let (mut id, mut attempts) = (0, std::collections::BTreeMap::<u64, u32>::new());
        for step in 0..self.warm_steps + self.steps {
            let mut actions = Vec::new();
            let mut changes = Vec::new();
            if step + 5 == self.warm_steps
                && matches!(self.start_report, StartReport::Spread | StartReport::Late)
            {
                changes
                    .extend((0..self.restarted).map(|n| Self::entry(RESTARTED + n, ServerState::Gone, None)));
            }
            if step == self.warm_steps / 2 && self.start_report == StartReport::ReplacedBefore {
                let long_ago = Some(g.now.minus(ms(self.cold_time_ms)));
                changes.push(Self::entry(RESTARTED, ServerState::Draining, None));
                changes.push(Self::entry(REPLACEMENT, ServerState::Ready, long_ago));
            }
            if step == reported_at || step == second_start {
                let up_since = if step == second_start { g.now } else { start };
                let restarted = |n| Self::entry(RESTARTED + n, ServerState::Ready, Some(up_since));
                changes.extend((0..self.restarted).map(restarted));
                if replaced {
                    let up_since = Some(start).filter(|_| self.start_report == StartReport::ReplacedBefore);
                    changes = vec![
                        Self::entry(RESTARTED, ServerState::Draining, None),
                        Self::entry(REPLACEMENT, ServerState::Ready, up_since),
                    ];
                }
            }
            for new in &changes {
                list.retain(|e| e.id != new.id);
                list.push(new.clone());
            }
            let restarts = match self.gateway_restart {
                GatewayRestart::None => false,
                GatewayRestart::SomeAfter => me.is_multiple_of(3) && step == self.warm_steps + 40,
                GatewayRestart::AllBefore => step + 3 == self.warm_steps,
            };
            if restarts {
                g.controller = Controller::new(self.settings(me), seed + 5_000).expect("as before");
                outstanding.clear();
                actions.extend(g.handle(Event::List { kind: ListKind::Cached, entries: list.clone() }));
            } else if !changes.is_empty() {
                actions.extend(g.handle(Event::List { kind: ListKind::Changes, entries: changes }));
            }
            let cold = |server| {
                step >= self.warm_steps && (server == watched || server < RESTARTED + self.restarted)
            };
            let due: Vec<_> = outstanding.extract_if(.., |(due, ..)| *due <= step).collect();
            for (_, call, server) in due {
                let attempt = attempts[&call] - 1;
                if cold(server) && self.answers == Answers::Silent {
                    actions.extend(g.close(call, attempt, server, Outcome::TimedOut));
                } else if self.answers == Answers::OthersFull
                    && step >= self.warm_steps
                    && !cold(server)
                    && rng.next_u32().is_multiple_of(2)
                {
                    actions.extend(g.close(call, attempt, server, Outcome::Full));
                } else {
                    actions.extend(g.establish(call, attempt, server, ms(STEP_MS)));
                    actions.extend(g.close(call, attempt, server, Outcome::Ended));
                }
            }
            for choice in self.calls_now(&mut rng, me, step) {
                id += 1;
                actions.extend(g.handle(Event::Call(call(id, 0, choice))));
            }
            let now = g.now;
            g.now = now.plus(ms(if step < self.warm_steps { WARM_STEP_MS } else { STEP_MS }));
            actions.extend(g.handle(Event::Timer(TimerId(0))));
            for action in actions {
                let Action::Issue { call, server, within } = action else { continue };
                *attempts.entry(call.0).or_insert(0) += 1;
                let silent = cold(server.0) && self.answers == Answers::Silent;
                let takes = if silent { (within.as_millis() as u64).div_ceil(STEP_MS) } else { 1 };
                outstanding.push((step + takes, call.0, server.0));
                if server.0 == watched && step >= reported_at {
                    let second = usize::from(step >= second_start);
                    let start = if second == 1 { start.plus(ms(80 * STEP_MS)) } else { start };
                    sends[second].push(now.since(start).as_millis() as u64);
                }
            }
        }
    }

    /// The budget N of a window that begins when the server has been up for `age_ms`.
    fn budget(&self, age_ms: u64) -> f64 {
        let capacity =
            self.cold_from + (1.0 - self.cold_from) * (age_ms as f64 / self.cold_time_ms as f64).min(1.0);
        self.fall_multiple * capacity * self.rate / LOAD * 0.001 * self.fall_time_ms as f64
    }

    /// Runs all gateways and looks at the window that begins with each set-up.
    fn worst_window(&self) -> WorstWindow {
        let mut worst = WorstWindow::default();
        let (mut all, mut budgets) = (0, 0.0);
        for sends in self.send_times() {
            for (first, from) in sends.iter().enumerate().filter(|(_, from)| **from < self.cold_time_ms) {
                let count = sends[first..].partition_point(|t| *t < from + self.fall_time_ms);
                let n = self.budget(*from);
                let bound = n + 2.0 * n.sqrt() + 2.0;
                if worst.bound == 0.0 || count as f64 / bound > worst.count as f64 / worst.bound {
                    worst = WorstWindow { count, bound, at_ms: *from, used_share: 0.0 };
                }
                all += 1;
            }
            let (first, last) = (sends.first().copied(), sends.last().copied());
            let span = first.unwrap_or(0)..last.unwrap_or(0).min(self.cold_time_ms);
            budgets +=
                span.step_by(100).map(|age| self.budget(age) * 100.0 / self.fall_time_ms as f64).sum::<f64>();
        }
        worst.used_share = f64::from(all) / budgets;
        worst
    }
}

/// Applies `change` to three scenarios (20 gateways, 30 at a smaller site, and hundreds for
/// `steps_of_hundreds` steps), runs them and checks the bound. Returns the smallest share of the budgets that
/// was used.
fn check_bound(steps_of_hundreds: u64, change: impl Fn(Scenario) -> Scenario) -> f64 {
    let thirty = Scenario { gateways: 30, rate: 20.0, seed: 2, ..PLAIN };
    let hundreds = Scenario { steps: steps_of_hundreds, seed: 3, ..HUNDREDS };
    let runs = [PLAIN, thirty, hundreds];
    let mut least = f64::INFINITY;
    for scenario in runs.map(change) {
        let WorstWindow { count, bound, at_ms, used_share } = scenario.worst_window();
        assert!(
            count as f64 <= bound,
            "{count} set-ups from {at_ms} ms on, {bound:.1} allowed: {scenario:?}"
        );
        least = least.min(used_share);
    }
    least
}

#[test]
fn cold_server_gets_its_share_of_calls_and_no_more_than_its_budget() {
    let used = check_bound(150, |s| s);
    assert!(used > 0.2, "only {used:.2} of the budget");
    let uneven = check_bound(60, |s| Scenario { calls: Calls::Uneven, ..s });
    assert!(uneven > 0.2, "only {uneven:.2} of the budget with uneven gateways");
}

#[test]
fn budget_holds_for_other_parameters_of_the_rule() {
    for (fall_multiple, fall_time_ms, cold_from, cold_time_ms) in
        [(1.5, 1_000, 0.46, 10_000), (4.0, 1_000, 0.3, 14_000), (2.0, 3_000, 0.3, 14_000)]
    {
        check_bound(60, |s| Scenario { fall_multiple, fall_time_ms, cold_from, cold_time_ms, ..s });
    }
}

#[test]
fn credit_does_not_accumulate_during_a_lull() {
    for (fall_multiple, fall_time_ms) in [(1.5, 1_000), (2.0, 1_000), (4.0, 1_000)] {
        check_bound(160, |s| Scenario { calls: Calls::Lull, fall_multiple, fall_time_ms, ..s });
    }
}

#[test]
fn credit_does_not_accumulate_during_a_lull_with_a_long_rule_time() {
    for start_report in [StartReport::AtOnce, StartReport::ReplacedBefore] {
        check_bound(180, |s| Scenario {
            calls: Calls::Lull,
            start_report,
            fall_multiple: 1.5,
            fall_time_ms: 3_000,
            ..s
        });
    }
}

#[test]
fn budget_holds_when_calls_triple() {
    for fall_multiple in [1.5, 2.0] {
        check_bound(90, |s| Scenario { calls: Calls::Surge, fall_multiple, ..s });
    }
}

#[test]
fn budget_holds_however_gateways_learn_of_the_start() {
    for start_report in [
        StartReport::Spread,
        StartReport::Late,
        StartReport::Replaced,
        StartReport::ReplacedBefore,
        StartReport::Twice,
    ] {
        check_bound(100, |s| Scenario { start_report, fall_multiple: 1.5, ..s });
    }
}

#[test]
fn restarted_gateways_keep_the_budget_and_still_use_the_server() {
    for gateway_restart in [GatewayRestart::SomeAfter, GatewayRestart::AllBefore] {
        let used = check_bound(80, |s| Scenario { gateway_restart, fall_multiple: 1.5, ..s });
        assert!(used > 0.1, "only {used:.2} of the budget, {gateway_restart:?}");
    }
}

#[test]
fn budget_holds_for_servers_that_never_answer_and_where_others_are_full() {
    for answers in [Answers::Silent, Answers::OthersFull] {
        check_bound(60, |s| Scenario { answers, fall_multiple: 1.5, ..s });
    }
}

#[test]
fn budgets_hold_for_several_restarted_servers_under_a_surge_with_the_others_full() {
    check_bound(90, |s| Scenario { restarted: 3, calls: Calls::Surge, answers: Answers::OthersFull, ..s });
}
