//! Runs a script: gateways as processes, stand-ins in this one, the list, the troubles, the audit.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::process::Child;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use async_executor::LocalExecutor;
use async_io::Timer;
use async_lock::Mutex;
use fawnrouter_audit::{AuditParameters, AuditReport, ListState, Observation};
use fawnrouter_config::{SwitchEntry, SwitchFile, SwitchState};
use fawnrouterd::engine::zones::SpillCause;

use crate::callers::{Callers, Kind};
use crate::fleet::{GatewayProcess, LIST_REACHES, account_of, settings, write_clients, write_list};
use crate::flood;
use crate::plan::{Act, timeline};
use crate::report::{Report, Spill};
use crate::script::{FIRST_SWITCH, Script, SwitchPlan};
use crate::stand_in::{Distance, StandIn};
use crate::switch::Make;
use crate::tap::Tap;

/// How a day is run.
#[derive(Clone, Copy, Debug)]
pub struct DayOptions {
    /// Seed of the callers and the gateways.
    pub seed: u64,
    /// Round robin in place of the decisions.
    pub baseline: bool,
    /// A line on standard error each second.
    pub progress: bool,
    /// The gateways' ready lines on standard output.
    pub announce: bool,
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// The registry's truth and what it has published of it.
struct Registry {
    folder: tempfile::TempDir,
    truth: BTreeMap<u32, SwitchEntry>,
    published: BTreeMap<u32, SwitchEntry>,
    version: u64,
    shown: u64,
    empty: bool,
    delay: Duration,
}

/// Everything of a run that the acts change.
pub struct Lab {
    script: Script,
    pub tap: Rc<Tap>,
    pub executor: Rc<LocalExecutor<'static>>,
    stand_ins: RefCell<BTreeMap<u32, Rc<StandIn>>>,
    /// The pool of each switch that there ever was.
    pools: RefCell<BTreeMap<u32, u32>>,
    registry: RefCell<Registry>,
    /// Held while a list is written and told: one at a time, in the order of their versions.
    writing: Mutex<()>,
    load: Cell<f64>,
    /// Where the gateways listen, and the floods that were let loose on them.
    gateways: RefCell<Vec<SocketAddr>>,
    floods: RefCell<Vec<(&'static str, Child)>>,
    pub callers: Rc<Callers>,
}

/// The auditor's figures for a script.
pub fn figures(script: &Script) -> AuditParameters {
    let rules = &script.rules;
    AuditParameters {
        // The list is told when the file is written; the gateway's look at it comes on top of the grace.
        drain_grace: ms(rules.drain_grace_ms),
        guard: ms(rules.release_guard_ms),
        fall_multiple: rules.fall_multiple,
        fall_window: ms(rules.fall_ms),
        excess_allowance: 3.0,
        answer_slack: ms(100),
        time_tolerance: ms(20),
    }
}

impl Lab {
    /// Opens the switches and writes the first list.
    pub async fn open(
        script: Script,
        seed: u64,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> io::Result<Rc<Self>> {
        let tap = Rc::new(Tap::new(figures(&script)));
        let classes = script.classes.iter();
        let report = Report::new(
            classes
                .map(|c| (c.class.name.clone(), c.class.points, c.class.late_share, ms(c.class.aim_ms)))
                .collect(),
        );
        let kinds = script.classes.iter().map(|c| Kind {
            name: c.class.name.clone(),
            share: c.share,
            hold: ms(c.hold_ms),
            deadline: ms(c.class.deadline_ms),
        });
        let callers = Callers::new(
            &tap,
            executor,
            kinds.collect(),
            (script.callers.clone(), script.clients),
            report,
            seed,
        );
        let registry = Registry {
            folder: tempfile::tempdir()?,
            truth: BTreeMap::new(),
            published: BTreeMap::new(),
            version: 0,
            shown: 0,
            empty: false,
            delay: ms(script.list_delay_ms),
        };
        let lab = Rc::new(Self {
            tap,
            executor: executor.clone(),
            stand_ins: RefCell::default(),
            pools: RefCell::default(),
            registry: RefCell::new(registry),
            writing: Mutex::new(()),
            load: Cell::new(1.0),
            gateways: RefCell::default(),
            floods: RefCell::default(),
            callers,
            script,
        });
        for (n, plan) in lab.script.switches.clone().iter().enumerate() {
            let n = n as u32;
            lab.open_stand_in(FIRST_SWITCH + n, n, plan, false)?;
        }
        let truth = lab.registry.borrow().truth.clone();
        lab.publish_as(0, truth).await?;
        Ok(lab)
    }

    fn open_stand_in(&self, id: u32, pool: u32, plan: &SwitchPlan, cold: bool) -> io::Result<()> {
        let rules = &self.script.rules;
        let make = Make {
            capacity_per_s: plan.capacity_per_s,
            full_after: ms(plan.full_after_ms),
            tells_wait: plan.tells_wait,
            cold_from: rules.cold_from,
            ramp: ms(rules.cold_ms),
            fall_multiple: rules.fall_multiple,
            fall_time: ms(rules.fall_ms),
            contact: String::new(),
        };
        let zones = self.script.zones.as_ref();
        let distance = Distance {
            zone: plan.zone.clone(),
            gateways: zones.map(|z| z.gateways.clone()).unwrap_or_default(),
            cross: ms(zones.map_or(0, |z| z.cross_ms)),
        };
        let stand_in = StandIn::open(id, (make, distance), cold, &self.tap, &self.executor)?;
        self.list_ready(&stand_in, pool, plan, cold);
        self.stand_ins.borrow_mut().insert(id, stand_in);
        self.pools.borrow_mut().insert(id, pool);
        Ok(())
    }

    /// The truth names a switch that takes calls.
    fn list_ready(&self, stand_in: &StandIn, pool: u32, plan: &SwitchPlan, cold: bool) {
        let line = SwitchEntry {
            id: stand_in.id,
            address: stand_in.address,
            zone: plan.zone.clone(),
            pool,
            state: SwitchState::Ready,
            up_since_ms: cold.then(unix_ms),
        };
        self.registry.borrow_mut().truth.insert(stand_in.id, line);
    }

    /// Starts all gateways and the callers' connections to them.
    pub async fn start_gateways(self: &Rc<Self>, options: DayOptions) -> io::Result<Vec<GatewayProcess>> {
        let folder = self.registry.borrow().folder.path().to_owned();
        let mut gateways = Vec::new();
        write_clients(&folder, self.script.clients)?;
        for number in 0..self.script.gateways {
            let settings = settings(&self.script, number, options.seed);
            let folder = folder.clone();
            let start = move || GatewayProcess::start(&folder, &settings, options.baseline);
            let gateway = blocking::unblock(start).await?;
            if self.script.clients > 0 {
                // The clients are read beside the first connections.
                Timer::after(LIST_REACHES).await;
            }
            self.callers.connect(gateway.address, number, self.script.connections).await?;
            self.gateways.borrow_mut().push(gateway.address);
            gateways.push(gateway);
        }
        // The gateways read the list and open their connections before the first call comes.
        Timer::after(LIST_REACHES * 2).await;
        Ok(gateways)
    }

    /// The truth has changed: the list says so after its delay.
    fn changed(self: &Rc<Self>) {
        let (version, delay) = {
            let mut registry = self.registry.borrow_mut();
            registry.version += 1;
            (registry.version, registry.delay)
        };
        let (lab, truth) = (self.clone(), self.registry.borrow().truth.clone());
        let later = async move {
            Timer::after(delay).await;
            if let Err(error) = lab.publish_as(version, truth).await {
                eprintln!("the list cannot be written: {error}");
            }
        };
        self.executor.spawn(later).detach();
    }

    /// Writes the list unless a newer one is out, and tells the auditor what it said once it is in place.
    async fn publish_as(&self, version: u64, truth: BTreeMap<u32, SwitchEntry>) -> io::Result<()> {
        // Two lists of the same instant: what the older one lacks must be told neither after the newer one nor written
        // over it.
        let _one = self.writing.lock().await;
        let (folder, list, shown) = {
            let mut registry = self.registry.borrow_mut();
            if version < registry.shown {
                return Ok(());
            }
            registry.shown = version;
            let shown = if registry.empty { BTreeMap::new() } else { truth };
            (
                registry.folder.path().to_owned(),
                SwitchFile { switches: shown.values().cloned().collect() },
                shown,
            )
        };
        // A gateway may read the file before this task goes on: what it permits counts from before the writing, what
        // it ends from after it.
        let ready = |line: &SwitchEntry| line.state == SwitchState::Ready;
        for (id, _) in shown.iter().filter(|(_, line)| ready(line)) {
            self.tap.fact(Observation::ListUpdated { switch: *id, state: ListState::Ready });
        }
        // A disk that is busy must not hold up the taps.
        blocking::unblock(move || write_list(&folder, version, &list)).await?;
        let mut registry = self.registry.borrow_mut();
        for id in registry.published.keys().filter(|id| !shown.contains_key(id)) {
            self.tap.fact(Observation::ListUpdated { switch: *id, state: ListState::Closed });
        }
        for (id, _) in shown.iter().filter(|(_, line)| !ready(line)) {
            self.tap.fact(Observation::ListUpdated { switch: *id, state: ListState::Closed });
        }
        registry.published = shown;
        Ok(())
    }

    async fn act(self: &Rc<Self>, act: Act) -> io::Result<()> {
        let stand_in = |id: u32| self.stand_ins.borrow().get(&id).cloned();
        match act {
            Act::Load(times) => self.load.set(times),
            Act::Still(id, span) => {
                if let Some(stand_in) = stand_in(id) {
                    stand_in.stand_still(ms(span));
                }
            }
            Act::Slow(id, times) => {
                if let Some(stand_in) = stand_in(id) {
                    stand_in.with(|p| p.slow = times);
                }
            }
            Act::Silent(id) => {
                if let Some(stand_in) = stand_in(id) {
                    stand_in.with(|p| p.silent = true);
                }
                self.registry.borrow_mut().truth.remove(&id);
                self.changed();
            }
            Act::Stop(id) => {
                if let Some(stand_in) = stand_in(id) {
                    stand_in.stop();
                }
                self.registry.borrow_mut().truth.remove(&id);
                self.changed();
            }
            Act::Start(id) => {
                let Some(stand_in) = stand_in(id) else { return Ok(()) };
                stand_in.start_cold().await?;
                let pool = id - FIRST_SWITCH;
                self.list_ready(&stand_in, pool, &self.script.switches[pool as usize], true);
                self.changed();
            }
            Act::Drain(id) => {
                if let Some(line) = self.registry.borrow_mut().truth.get_mut(&id) {
                    line.state = SwitchState::Draining;
                }
                self.changed();
            }
            Act::Replace(new, old) => {
                let pool = old - FIRST_SWITCH;
                let plan = self.script.switches[pool as usize].clone();
                self.open_stand_in(new, pool, &plan, true)?;
                self.changed();
            }
            Act::ListDelay(delay) => self.registry.borrow_mut().delay = ms(delay),
            Act::EmptyList(empty) => {
                self.registry.borrow_mut().empty = empty;
                self.changed();
            }
            Act::Flood(number) => {
                for gateway in self.gateways.borrow().iter() {
                    let trouble = &self.script.troubles[number];
                    let child = flood::start(*gateway, trouble)?;
                    self.floods.borrow_mut().push((trouble.name(), child));
                }
            }
            Act::LateAnswers(id, late) => {
                if let Some(stand_in) = stand_in(id) {
                    stand_in.with(|p| p.late = ms(late));
                }
            }
            Act::CrossCancel(id, on) => {
                if let Some(stand_in) = stand_in(id) {
                    stand_in.with(|p| p.cross_cancel = on);
                }
            }
        }
        Ok(())
    }

    /// Callers call for the script's time.
    async fn calls(self: Rc<Self>, until: Duration) {
        let mut at = self.tap.now();
        let mut broken = at;
        loop {
            let gap = -(1.0 - self.callers.unit()).ln() / (self.script.calls_per_s * self.load.get());
            at += Duration::from_secs_f64(gap);
            if at >= until {
                return;
            }
            Timer::at(self.tap.instant(at)).await;
            self.callers.arrive();
            let pause = ms(self.script.callers.disconnect_ms);
            if !pause.is_zero() && at.saturating_sub(broken) > pause {
                broken = at;
                self.callers.break_one();
            }
        }
    }

    async fn acts(self: Rc<Self>, start: Duration) {
        for (at, act) in timeline(&self.script) {
            Timer::at(self.tap.instant(start + ms(at))).await;
            if let Err(error) = self.act(act).await {
                eprintln!("an act of the script failed: {error}");
            }
        }
    }

    async fn progress(self: Rc<Self>) {
        loop {
            Timer::after(ms(1000)).await;
            let (tries, stood) = self.callers.so_far();
            eprintln!(
                "{:>4} s  tries {tries}  stood {stood}  busy {}",
                self.tap.now().as_secs(),
                self.callers.busy()
            );
        }
    }

    /// What crossed zones, by the auditor and by the gateways themselves.
    fn spill(&self, audit: &AuditReport) -> io::Result<Vec<Spill>> {
        let Some(zones) = &self.script.zones else { return Ok(Vec::new()) };
        let folder = self.registry.borrow().folder.path().to_owned();
        let zone_of = |switch: u32| {
            let pool = self.pools.borrow().get(&switch).copied().unwrap_or(0);
            self.script.switches[pool as usize].zone.clone()
        };
        let mut all = Vec::new();
        for number in 0..self.script.gateways {
            let own = zones.gateways[number as usize % zones.gateways.len()].clone();
            let host = format!("gw{number}.invalid");
            let took = audit
                .accepted_calls
                .iter()
                .filter(|((h, switch, _), _)| *h == host && zone_of(*switch) != own);
            let seen = took.map(|(_, n)| n).sum();
            let ledger =
                fawnrouterd::ledger::read(&folder.join(account_of(number))).map_err(io::Error::other)?;
            let cells = || ledger.minutes.iter().flat_map(|m| &m.totals);
            let count = |out: bool| {
                cells()
                    .filter(|(kind, _)| (kind.cause == SpillCause::BudgetOut) == out)
                    .map(|(_, c)| c.calls)
                    .sum()
            };
            all.push(Spill { gateway: (number, own), seen, told: count(false), passed_over: count(true) });
        }
        Ok(all)
    }

    /// Runs the day to its end.
    pub async fn run(self: &Rc<Self>, options: DayOptions) -> io::Result<Report> {
        let mut gateways = self.start_gateways(options).await?;
        if options.announce {
            gateways.iter().for_each(|g| println!("{}", g.ready));
        }
        let start = self.tap.now();
        let mut background = vec![
            self.executor.spawn(self.callers.clone().run()),
            self.executor.spawn(self.clone().acts(start)),
        ];
        if options.progress {
            background.push(self.executor.spawn(self.clone().progress()));
        }
        background.push(self.executor.spawn(self.tap.clone().beat()));
        self.clone().calls(start + Duration::from_secs(self.script.seconds)).await;
        self.callers.close();
        // Tries that are out get their time; standing calls then hang up.
        let patience = Duration::from_secs(self.script.callers.try_s) + ms(1000);
        let last = self.tap.now() + patience;
        while self.callers.trying() > 0 && self.tap.now() < last {
            Timer::after(ms(20)).await;
        }
        self.callers.hang_up_all();
        Timer::after(ms(300)).await;
        gateways.iter().for_each(GatewayProcess::terminate);
        let give_up = self.tap.now() + ms(5000);
        for gateway in &mut gateways {
            while gateway.ended().is_none() && self.tap.now() < give_up {
                Timer::after(ms(10)).await;
            }
            if gateway.ended() != Some(true) {
                eprintln!("a gateway did not drain in time");
            }
        }
        let mut report = self.callers.take_report();
        for (way, child) in self.floods.take() {
            let figures = blocking::unblock(move || flood::figures(child)).await?;
            report.floods.push((way, figures));
        }
        // Calls are told by the lab's clock; windows by the script's.
        let shift = u64::try_from(start.as_millis()).unwrap_or(0);
        for trouble in &self.script.troubles {
            let (from, to) = trouble.span_ms();
            let end = (self.script.seconds * 1000).min(to);
            report.window(trouble.name(), (from + shift, end + shift));
        }
        let stand_ins = self.stand_ins.borrow();
        report.fallen = stand_ins.values().filter(|s| s.fallen()).map(|s| s.id).collect();
        report.audit = self.tap.finish(figures(&self.script));
        report.spill = self.spill(&report.audit)?;
        Ok(report)
    }
}

/// Runs a script from start to end.
///
/// # Errors
/// Where a process or a socket cannot be opened.
pub fn run_day(script: Script, options: DayOptions) -> io::Result<Report> {
    let executor = Rc::new(LocalExecutor::new());
    let all = async {
        let lab = Lab::open(script, options.seed, &executor).await?;
        lab.run(options).await
    };
    async_io::block_on(executor.run(all))
}
