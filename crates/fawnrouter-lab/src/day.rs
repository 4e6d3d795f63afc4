//! Runs a script: starts the gateway processes, runs stand-in switches and callers in this process, publishes
//! the list of switches, injects the faults and audits the traffic.

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

use crate::callers::{CallerClass, Callers};
use crate::fleet::{
    GatewayProcess, LIST_PROPAGATION_TIME, account_file, gateway_settings, write_clients, write_list,
};
use crate::flood;
use crate::plan::{FaultAction, timeline};
use crate::report::{Report, Spill};
use crate::script::{FIRST_SWITCH, Script, SwitchPlan};
use crate::stand_in::{StandIn, ZoneLatency};
use crate::switch::SwitchModel;
use crate::tap::Tap;

/// Options of a scripted run.
#[derive(Clone, Copy, Debug)]
pub struct DayOptions {
    /// Seed of the callers and the gateways.
    pub seed: u64,
    /// Use plain round robin in place of the router's decisions.
    pub baseline: bool,
    /// Print a progress line on standard error each second.
    pub progress: bool,
    /// Print the gateways' ready lines on standard output.
    pub announce: bool,
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// The actual state of the switches and what has been published of it, with a delay, in the list file.
struct ListPublisher {
    folder: tempfile::TempDir,
    /// Entries as they are now.
    current: BTreeMap<u32, SwitchEntry>,
    /// Entries of the list that was written last.
    published: BTreeMap<u32, SwitchEntry>,
    latest_version: u64,
    published_version: u64,
    /// Publish an empty list in place of the entries.
    empty: bool,
    /// Time from a change to its publication.
    delay: Duration,
}

/// State of a run, changed by the scripted faults.
pub struct Lab {
    script: Script,
    pub tap: Rc<Tap>,
    pub executor: Rc<LocalExecutor<'static>>,
    stand_ins: RefCell<BTreeMap<u32, Rc<StandIn>>>,
    /// Pool of each switch, including those that have stopped.
    pool_by_switch: RefCell<BTreeMap<u32, u32>>,
    publisher: RefCell<ListPublisher>,
    /// Held while a list is written and recorded, so that lists appear one at a time and in the order of
    /// their versions.
    publish_lock: Mutex<()>,
    /// Factor on the script's rate of calls.
    call_rate_multiple: Cell<f64>,
    /// Addresses of the gateways, and the flood processes started against them.
    gateways: RefCell<Vec<SocketAddr>>,
    floods: RefCell<Vec<(&'static str, Child)>>,
    pub callers: Rc<Callers>,
}

/// The auditor's limits and tolerances for a script.
pub fn audit_parameters(script: &Script) -> AuditParameters {
    let rules = &script.rules;
    AuditParameters {
        // The list is recorded when the file is written; the gateway's polling delay comes on top of the
        // grace.
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
    /// Starts the stand-in switches and writes the first list.
    pub async fn open(
        script: Script,
        seed: u64,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> io::Result<Rc<Self>> {
        let tap = Rc::new(Tap::new(audit_parameters(&script)));
        let classes = script.classes.iter();
        let report = Report::new(
            classes
                .map(|c| (c.class.name.clone(), c.class.points, c.class.late_share, ms(c.class.aim_ms)))
                .collect(),
        );
        let classes_of_callers = script.classes.iter().map(|c| CallerClass {
            name: c.class.name.clone(),
            share: c.share,
            hold: ms(c.hold_ms),
            deadline: ms(c.class.deadline_ms),
        });
        let callers = Callers::new(
            &tap,
            executor,
            classes_of_callers.collect(),
            (script.callers.clone(), script.clients),
            report,
            seed,
        );
        let publisher = ListPublisher {
            folder: tempfile::tempdir()?,
            current: BTreeMap::new(),
            published: BTreeMap::new(),
            latest_version: 0,
            published_version: 0,
            empty: false,
            delay: ms(script.list_delay_ms),
        };
        let lab = Rc::new(Self {
            tap,
            executor: executor.clone(),
            stand_ins: RefCell::default(),
            pool_by_switch: RefCell::default(),
            publisher: RefCell::new(publisher),
            publish_lock: Mutex::new(()),
            call_rate_multiple: Cell::new(1.0),
            gateways: RefCell::default(),
            floods: RefCell::default(),
            callers,
            script,
        });
        for (n, plan) in lab.script.switches.clone().iter().enumerate() {
            let n = n as u32;
            lab.open_stand_in(FIRST_SWITCH + n, n, plan, false)?;
        }
        let current = lab.publisher.borrow().current.clone();
        lab.publish(0, current).await?;
        Ok(lab)
    }

    fn open_stand_in(&self, id: u32, pool: u32, plan: &SwitchPlan, cold: bool) -> io::Result<()> {
        let rules = &self.script.rules;
        let model = SwitchModel {
            capacity_per_s: plan.capacity_per_s,
            refuse_after: ms(plan.full_after_ms),
            sends_retry_after: plan.tells_wait,
            cold_start_share: rules.cold_from,
            warm_up: ms(rules.cold_ms),
            collapse_multiple: rules.fall_multiple,
            collapse_window: ms(rules.fall_ms),
            contact: String::new(),
        };
        let zones = self.script.zones.as_ref();
        let latency = ZoneLatency {
            zone: plan.zone.clone(),
            gateway_zones: zones.map(|z| z.gateways.clone()).unwrap_or_default(),
            one_way: ms(zones.map_or(0, |z| z.cross_ms)),
        };
        let stand_in = StandIn::open(id, (model, latency), cold, &self.tap, &self.executor)?;
        self.list_as_ready(&stand_in, pool, plan, cold);
        self.stand_ins.borrow_mut().insert(id, stand_in);
        self.pool_by_switch.borrow_mut().insert(id, pool);
        Ok(())
    }

    /// Adds a switch to the current list as ready.
    fn list_as_ready(&self, stand_in: &StandIn, pool: u32, plan: &SwitchPlan, cold: bool) {
        let entry = SwitchEntry {
            id: stand_in.id,
            address: stand_in.address,
            zone: plan.zone.clone(),
            pool,
            state: SwitchState::Ready,
            up_since_ms: cold.then(unix_ms),
        };
        self.publisher.borrow_mut().current.insert(stand_in.id, entry);
    }

    /// Starts all gateways and opens the callers' connections to them.
    pub async fn start_gateways(self: &Rc<Self>, options: DayOptions) -> io::Result<Vec<GatewayProcess>> {
        let folder = self.publisher.borrow().folder.path().to_owned();
        let mut gateways = Vec::new();
        write_clients(&folder, self.script.clients)?;
        for number in 0..self.script.gateways {
            let settings = gateway_settings(&self.script, number, options.seed);
            let folder = folder.clone();
            let start = move || GatewayProcess::start(&folder, &settings, options.baseline);
            let gateway = blocking::unblock(start).await?;
            if self.script.clients > 0 {
                // The gateway reads the file of clients while it already accepts connections.
                Timer::after(LIST_PROPAGATION_TIME).await;
            }
            self.callers.connect(gateway.address, number, self.script.connections).await?;
            self.gateways.borrow_mut().push(gateway.address);
            gateways.push(gateway);
        }
        // Gives the gateways time to read the list and to connect to the switches before the first call.
        Timer::after(LIST_PROPAGATION_TIME * 2).await;
        Ok(gateways)
    }

    /// Publishes the current state after the list's delay.
    fn schedule_publication(self: &Rc<Self>) {
        let (version, delay) = {
            let mut publisher = self.publisher.borrow_mut();
            publisher.latest_version += 1;
            (publisher.latest_version, publisher.delay)
        };
        let (lab, current) = (self.clone(), self.publisher.borrow().current.clone());
        let later = async move {
            Timer::after(delay).await;
            if let Err(error) = lab.publish(version, current).await {
                eprintln!("the list cannot be written: {error}");
            }
        };
        self.executor.spawn(later).detach();
    }

    /// Writes the list unless a newer one has been published, and records its content for the auditor.
    async fn publish(&self, version: u64, current: BTreeMap<u32, SwitchEntry>) -> io::Result<()> {
        // Two lists may become due in the same instant. The older one must neither be recorded after the
        // newer one nor overwrite it.
        let _guard = self.publish_lock.lock().await;
        let (folder, list, listed) = {
            let mut publisher = self.publisher.borrow_mut();
            if version < publisher.published_version {
                return Ok(());
            }
            publisher.published_version = version;
            let listed = if publisher.empty { BTreeMap::new() } else { current };
            (
                publisher.folder.path().to_owned(),
                SwitchFile { switches: listed.values().cloned().collect() },
                listed,
            )
        };
        // A gateway may read the file before this task resumes. Switches that the list allows therefore count
        // from before the write, those that it closes from after it.
        let is_ready = |entry: &SwitchEntry| entry.state == SwitchState::Ready;
        for (id, _) in listed.iter().filter(|(_, entry)| is_ready(entry)) {
            self.tap.record(Observation::ListUpdated { switch: *id, state: ListState::Ready });
        }
        // A slow disk must not delay the recording of traffic on this thread.
        blocking::unblock(move || write_list(&folder, version, &list)).await?;
        let mut publisher = self.publisher.borrow_mut();
        for id in publisher.published.keys().filter(|id| !listed.contains_key(id)) {
            self.tap.record(Observation::ListUpdated { switch: *id, state: ListState::Closed });
        }
        for (id, _) in listed.iter().filter(|(_, entry)| !is_ready(entry)) {
            self.tap.record(Observation::ListUpdated { switch: *id, state: ListState::Closed });
        }
        publisher.published = listed;
        Ok(())
    }

    /// Carries out an action of the time line.
    async fn apply(self: &Rc<Self>, action: FaultAction) -> io::Result<()> {
        let stand_in = |id: u32| self.stand_ins.borrow().get(&id).cloned();
        match action {
            FaultAction::SetCallRate(times) => self.call_rate_multiple.set(times),
            FaultAction::Stall(id, span) => {
                if let Some(stand_in) = stand_in(id) {
                    stand_in.stall(ms(span));
                }
            }
            FaultAction::SetSlowdown(id, times) => {
                if let Some(stand_in) = stand_in(id) {
                    stand_in.with_processor(|p| p.slowdown = times);
                }
            }
            FaultAction::Silence(id) => {
                if let Some(stand_in) = stand_in(id) {
                    stand_in.with_processor(|p| p.silent = true);
                }
                self.publisher.borrow_mut().current.remove(&id);
                self.schedule_publication();
            }
            FaultAction::Stop(id) => {
                if let Some(stand_in) = stand_in(id) {
                    stand_in.stop();
                }
                self.publisher.borrow_mut().current.remove(&id);
                self.schedule_publication();
            }
            FaultAction::StartCold(id) => {
                let Some(stand_in) = stand_in(id) else { return Ok(()) };
                stand_in.start_cold().await?;
                let pool = id - FIRST_SWITCH;
                self.list_as_ready(&stand_in, pool, &self.script.switches[pool as usize], true);
                self.schedule_publication();
            }
            FaultAction::Drain(id) => {
                if let Some(entry) = self.publisher.borrow_mut().current.get_mut(&id) {
                    entry.state = SwitchState::Draining;
                }
                self.schedule_publication();
            }
            FaultAction::Replace(new, old) => {
                let pool = old - FIRST_SWITCH;
                let plan = self.script.switches[pool as usize].clone();
                self.open_stand_in(new, pool, &plan, true)?;
                self.schedule_publication();
            }
            FaultAction::SetListDelay(delay) => self.publisher.borrow_mut().delay = ms(delay),
            FaultAction::SetListEmpty(empty) => {
                self.publisher.borrow_mut().empty = empty;
                self.schedule_publication();
            }
            FaultAction::StartFlood(number) => {
                for gateway in self.gateways.borrow().iter() {
                    let fault = &self.script.troubles[number];
                    let child = flood::start_flood(*gateway, fault)?;
                    self.floods.borrow_mut().push((fault.name(), child));
                }
            }
            FaultAction::SetAnswerDelay(id, late) => {
                if let Some(stand_in) = stand_in(id) {
                    stand_in.with_processor(|p| p.answer_delay = ms(late));
                }
            }
            FaultAction::SetIgnoreCancel(id, on) => {
                if let Some(stand_in) = stand_in(id) {
                    stand_in.with_processor(|p| p.ignores_cancel = on);
                }
            }
        }
        Ok(())
    }

    /// Generates calls with exponential gaps until the given time.
    async fn generate_calls(self: Rc<Self>, until: Duration) {
        let mut at = self.tap.now();
        let mut broken = at;
        loop {
            let gap = -(1.0 - self.callers.random_unit()).ln()
                / (self.script.calls_per_s * self.call_rate_multiple.get());
            at += Duration::from_secs_f64(gap);
            if at >= until {
                return;
            }
            Timer::at(self.tap.to_instant(at)).await;
            self.callers.add_caller();
            let pause = ms(self.script.callers.disconnect_ms);
            if !pause.is_zero() && at.saturating_sub(broken) > pause {
                broken = at;
                self.callers.break_random_connection();
            }
        }
    }

    /// Carries out all actions of the time line at their times.
    async fn run_timeline(self: Rc<Self>, start: Duration) {
        for (at, action) in timeline(&self.script) {
            Timer::at(self.tap.to_instant(start + ms(at))).await;
            if let Err(error) = self.apply(action).await {
                eprintln!("a scripted fault cannot be applied: {error}");
            }
        }
    }

    async fn print_progress(self: Rc<Self>) {
        loop {
            Timer::after(ms(1000)).await;
            let (attempts, established) = self.callers.progress();
            eprintln!(
                "{:>4} s  tries {attempts}  stood {established}  busy {}",
                self.tap.now().as_secs(),
                self.callers.open_calls()
            );
        }
    }

    /// Calls that crossed zones, as counted by the auditor and by the gateways' own accounts.
    fn count_spill(&self, audit: &AuditReport) -> io::Result<Vec<Spill>> {
        let Some(zones) = &self.script.zones else { return Ok(Vec::new()) };
        let folder = self.publisher.borrow().folder.path().to_owned();
        let zone_of = |switch: u32| {
            let pool = self.pool_by_switch.borrow().get(&switch).copied().unwrap_or(0);
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
            let observed = took.map(|(_, n)| n).sum();
            let ledger =
                fawnrouterd::ledger::read(&folder.join(account_file(number))).map_err(io::Error::other)?;
            let cells = || ledger.minutes.iter().flat_map(|m| &m.totals);
            let count = |out: bool| {
                cells()
                    .filter(|(kind, _)| (kind.cause == SpillCause::BudgetOut) == out)
                    .map(|(_, c)| c.calls)
                    .sum()
            };
            all.push(Spill {
                gateway: (number, own),
                observed,
                reported: count(false),
                over_budget: count(true),
            });
        }
        Ok(all)
    }

    /// Runs the script to its end.
    pub async fn run(self: &Rc<Self>, options: DayOptions) -> io::Result<Report> {
        let mut gateways = self.start_gateways(options).await?;
        if options.announce {
            gateways.iter().for_each(|g| println!("{}", g.ready_line));
        }
        let start = self.tap.now();
        let mut background = vec![
            self.executor.spawn(self.callers.clone().run()),
            self.executor.spawn(self.clone().run_timeline(start)),
        ];
        if options.progress {
            background.push(self.executor.spawn(self.clone().print_progress()));
        }
        background.push(self.executor.spawn(self.tap.clone().watch_delays()));
        self.clone().generate_calls(start + Duration::from_secs(self.script.seconds)).await;
        self.callers.stop_calling();
        // Attempts in set-up may finish; established calls are then hung up.
        let wait_limit = Duration::from_secs(self.script.callers.try_s) + ms(1000);
        let last = self.tap.now() + wait_limit;
        while self.callers.calls_in_set_up() > 0 && self.tap.now() < last {
            Timer::after(ms(20)).await;
        }
        self.callers.hang_up_all();
        Timer::after(ms(300)).await;
        gateways.iter().for_each(GatewayProcess::terminate);
        let deadline = self.tap.now() + ms(5000);
        for gateway in &mut gateways {
            while gateway.exit_success().is_none() && self.tap.now() < deadline {
                Timer::after(ms(10)).await;
            }
            if gateway.exit_success() != Some(true) {
                eprintln!("a gateway did not drain in time");
            }
        }
        let mut report = self.callers.take_report();
        for (way, child) in self.floods.take() {
            let figures = blocking::unblock(move || flood::wait_for_figures(child)).await?;
            report.floods.push((way, figures));
        }
        // Calls are recorded with the lab's clock, fault windows are given in the script's.
        let shift = u64::try_from(start.as_millis()).unwrap_or(0);
        for fault in &self.script.troubles {
            let (from, to) = fault.span_ms();
            let end = (self.script.seconds * 1000).min(to);
            report.add_window(fault.name(), (from + shift, end + shift));
        }
        let stand_ins = self.stand_ins.borrow();
        report.collapsed = stand_ins.values().filter(|s| s.collapsed()).map(|s| s.id).collect();
        report.audit = self.tap.finish(audit_parameters(&self.script));
        report.spill = self.count_spill(&report.audit)?;
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
