//! A gateway driven by hand: a clock, the timers it asked for, and the actions of the last step.
#![allow(dead_code)]

use fawnrouter::*;
use std::time::Duration;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn class(points: f64, effect: Effect) -> ClassSettings {
    ClassSettings {
        name: "a class".into(),
        aim: ms(2000),
        deadline: ms(9000),
        points,
        late_share: 0.25,
        effect,
        pools: None,
    }
}

pub fn settings() -> Settings {
    Settings {
        gateways: 4,
        own_id: PeerId(0),
        classes: vec![class(1.0, Effect::Safe), class(3.0, Effect::Safe)],
        tenants: vec![],
        over_share_worth: 0.2,
        rules: Rules {
            drain_grace: ms(500),
            cold_from: 0.3,
            cold_time: ms(14_000),
            fall_multiple: 2.0,
            fall_time: ms(1000),
            release_guard: ms(300),
            subscribe_within: ms(10_000),
        },
        limits: Limits {
            max_attempts: 3,
            cancel: true,
            peers: true,
            probes: false,
            retry_after: true,
            max_retry_after: ms(2000),
        },
        topology: Topology::Pools,
        discovery: Discovery::Push,
        resend: None,
        tick: ms(5),
    }
}

pub fn entry(id: u32, state: ServerState) -> ServerEntry {
    ServerEntry { id: ServerId(id), zone: "z".into(), cell: Cell(id % 10), state, up_since: None }
}

pub fn call(id: u64, class: usize, first_choice: u32) -> NewCall {
    NewCall {
        id: CallId(id),
        class: Some(ClassId(class)),
        time_left: ms(3000),
        number: format!("line-{id}").into(),
        width: 1.0,
        tenant: None,
        redialled: false,
        transit: false,
        destination: Cell(first_choice),
    }
}

pub struct Gateway {
    pub controller: Controller,
    pub now: Time,
    timers: Vec<(Time, TimerId)>,
}

impl Gateway {
    pub fn new(settings: Settings) -> Self {
        let controller = Controller::new(settings, 11).expect("the settings are sound");
        Self { controller, now: Time::from_nanos(5_000_000_000_000), timers: Vec::new() }
    }

    /// With servers 70, 71, ... as first choices 0, 1, ...
    pub fn with_servers(settings: Settings, count: u32) -> Self {
        let mut gateway = Self::new(settings);
        let entries = (0..count).map(|n| entry(70 + n, ServerState::Ready)).collect();
        gateway.tell(Event::List { kind: ListKind::Cached, entries });
        gateway
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::SetTimer { after, timer } = action {
                self.timers.push((self.now.plus(*after), *timer));
            }
        }
        actions.retain(|a| !matches!(a, Action::SetTimer { .. }));
        actions
    }

    /// Lets time pass, firing timers as they fall due; gathers what is done, with its time.
    pub fn pass(&mut self, span: Duration) -> Vec<(Time, Action)> {
        let end = self.now.plus(span);
        let mut all = Vec::new();
        while let Some(place) = (0..self.timers.len()).min_by_key(|i| self.timers[*i].0) {
            let (due, timer) = self.timers[place];
            if due > end {
                break;
            }
            self.timers.remove(place);
            self.now = self.now.max(due);
            let now = self.now;
            all.extend(self.tell(Event::Timer(timer)).into_iter().map(|a| (now, a)));
        }
        self.now = end;
        all
    }

    pub fn stands(&mut self, call: u64, attempt: u32, server: u32, took: Duration) -> Vec<Action> {
        let (call, attempt, server) = (CallId(call), AttemptNo(attempt), ServerId(server));
        self.tell(Event::Established { call, attempt, server, took })
    }

    pub fn closes(&mut self, call: u64, attempt: u32, server: u32, outcome: Outcome) -> Vec<Action> {
        self.closes_with(call, attempt, server, outcome, OutcomeDetail::None)
    }

    pub fn closes_with(
        &mut self,
        call: u64,
        attempt: u32,
        server: u32,
        outcome: Outcome,
        detail: OutcomeDetail,
    ) -> Vec<Action> {
        self.tell(Event::Closed {
            call: CallId(call),
            attempt: AttemptNo(attempt),
            server: ServerId(server),
            done: outcome == Outcome::Ended,
            outcome,
            detail,
            took: ms(50),
            report: LoadReport::default(),
        })
    }

    /// Calls `ids` for first choice `cell` come every `every` ms. An attempt stands after the milliseconds that
    /// `answer` gives for its server, or stays unanswered. Returns the server of each attempt.
    pub fn serve(
        &mut self,
        ids: std::ops::Range<u64>,
        cell: u32,
        every: u64,
        mut answer: impl FnMut(u32) -> Option<u64>,
    ) -> Vec<u32> {
        let (mut sent, mut due) = (Vec::new(), Vec::<(Time, u64, u32, u32, u64)>::new());
        let mut attempts = std::collections::BTreeMap::<u64, u32>::new();
        let mut work = Vec::new();
        for id in ids {
            work.extend(self.tell(Event::Call(call(id, 0, cell))));
            for _ in 0..every / 5 {
                work.extend(self.pass(ms(5)).into_iter().map(|(_, a)| a));
                let ready = due.iter().filter(|d| d.0 <= self.now).copied().collect::<Vec<_>>();
                due.retain(|d| d.0 > self.now);
                for (_, call, attempt, server, took) in ready {
                    work.extend(self.stands(call, attempt, server, ms(took)));
                }
                for action in std::mem::take(&mut work) {
                    if let Action::Issue { call, server, .. } = action {
                        let attempt = attempts.entry(call.0).or_insert(0);
                        if let Some(took) = answer(server.0) {
                            due.push((self.now.plus(ms(took)), call.0, *attempt, server.0, took));
                        }
                        *attempt += 1;
                        sent.push(server.0);
                    }
                }
            }
        }
        for (_, call, attempt, server, took) in due {
            self.stands(call, attempt, server, ms(took));
        }
        sent
    }

    /// A call that goes to `server` and stands after `took`, then ends.
    pub fn runs(&mut self, id: u64, server: u32, took: Duration) -> bool {
        let went = self.tell(Event::Call(call(id, 0, server % 10)));
        let sent = issued(&went).contains(&(id, server));
        self.pass(took);
        if sent {
            self.stands(id, 0, server, took);
            self.closes(id, 0, server, Outcome::Ended);
        }
        sent
    }
}

pub fn issued<'a>(actions: impl IntoIterator<Item = &'a Action>) -> Vec<(u64, u32)> {
    let issues = actions.into_iter().filter_map(|a| match a {
        Action::Issue { call, server, .. } => Some((call.0, server.0)),
        _ => None,
    });
    issues.collect()
}

pub fn finals<'a>(actions: impl IntoIterator<Item = &'a Action>) -> Vec<u64> {
    let ends = actions.into_iter().filter_map(|a| match a {
        Action::Refuse { call, .. } | Action::Fail(call) => Some(call.0),
        _ => None,
    });
    ends.collect()
}
