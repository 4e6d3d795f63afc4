//! A fleet of gateway processes with its stand-ins, from start-up to the end of a plan.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Resource, getrlimit};
use tempfile::TempDir;

use crate::hollow::{Scenario, Volume, VolumeByVerb};
use crate::plan::PlannedCall;
use crate::platform::GatewayParameters;
use crate::process::callers::{CallOutcomes, CallerTraffic, Callers, connect, sleep_until};
use crate::process::error::{ProcessError, system_error};
use crate::process::gateway::{GatewayProcess, next_gateway_address};
use crate::process::line_counts::{counts_since, volume_since};
use crate::process::name_server::{ListTraffic, NameServer};
use crate::process::switches::{SwitchTimes, SwitchTraffic, Switches};
use crate::process::timestamps::CallTimestamps;
use crate::process::usage::ProcessUsage;
use crate::process::watched::Watched;

/// How long all gateways together may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// How long calls may take to end after the last set-up was due.
pub(super) const CALLS_END_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between the gateways' readiness and the first call, about the same as for hollow gateways: a gateway
/// treats a core switch that has been silent for seconds differently once a call is established there.
const IDLE_BEFORE_CALLS: Duration = Duration::from_millis(800);
/// Interval between attempts to connect to a gateway that is starting.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// How often a wait checks whether the measurement is to be aborted.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Descriptors that the measuring process needs beside the stand-ins' connections and listeners.
const OTHER_DESCRIPTORS: u64 = 64;
/// Connections from one gateway to one core switch for which descriptors are needed: one, and one more when
/// two set-ups share it.
const MAX_CONNECTIONS_TO_A_SWITCH: u64 = 2;

/// The program that is measured, and settings of all measurements.
#[derive(Clone, Copy, Debug)]
pub struct Testbed<'a> {
    /// The gateway's program.
    pub program: &'a Path,
    /// Seed of all random choices.
    pub seed: u64,
    /// Set by another thread or a signal handler to abort the measurement; all gateway processes are ended
    /// then.
    pub stop: &'a AtomicBool,
}

/// Counts of the stand-ins and figures from `/proc` over a window of time, summed over all gateways.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observation {
    /// Length of the window.
    pub duration: Duration,
    /// Messages from callers to gateways.
    pub from_callers: VolumeByVerb,
    /// Messages from gateways to callers.
    pub to_callers: VolumeByVerb,
    /// Messages from core switches to gateways.
    pub from_switches: VolumeByVerb,
    /// Messages from gateways to core switches.
    pub to_switches: VolumeByVerb,
    /// Queries for the list.
    pub list_queries: Volume,
    /// Answers with the list.
    pub list_answers: Volume,
    /// Processor time that the gateways used.
    pub processor_time: Duration,
    /// Resident memory of the gateways at the end of the window, in bytes.
    pub resident_bytes: u64,
    /// Open descriptors of the gateways at the end of the window.
    pub descriptors: u64,
    /// Open connections from callers at the end of the window.
    pub caller_connections: u64,
    /// Open connections to core switches at the end of the window.
    pub switch_connections: u64,
}

/// The result of a scenario that was run with gateway processes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetMeasurement {
    /// From the first call until all calls have ended and the scenario's measured time is over.
    pub during_calls: Observation,
    /// The time after that, in which gateways only poll the list.
    pub after_calls: Observation,
    /// Number of calls in the plan.
    pub planned_calls: u64,
    /// How these calls ended.
    pub call_outcomes: CallOutcomes,
}

/// Runs a scenario of one service without faults on gateway processes, followed by a time without calls.
///
/// # Errors
/// Where the program does not exist or a step fails. All gateway processes have ended then.
pub fn run_scenario(
    scenario: &Scenario,
    quiet_time: Duration,
    testbed: Testbed<'_>,
) -> Result<FleetMeasurement, ProcessError> {
    let calls = scenario.traffic.calls();
    let mut fleet = Fleet::start(scenario, None, testbed)?;
    sleep_until(Instant::now() + IDLE_BEFORE_CALLS, testbed.stop)?;
    let first_call = fleet.snapshot()?;
    fleet.run_calls(&calls)?;
    sleep_until(first_call.at + scenario.measured, testbed.stop)?;
    let calls_ended = fleet.snapshot()?;
    sleep_until(calls_ended.at + quiet_time, testbed.stop)?;
    let end = fleet.snapshot()?;
    Ok(FleetMeasurement {
        during_calls: first_call.until(&calls_ended),
        after_calls: calls_ended.until(&end),
        planned_calls: calls.len() as u64,
        call_outcomes: end.callers.outcomes,
    })
}

/// Gateways that are ready, with their stand-ins. The fields are dropped in the order of their declaration:
/// callers and gateways before the stand-ins that gateways connect to.
#[derive(Debug)]
pub(super) struct Fleet<'a> {
    callers: Callers,
    gateways: Vec<GatewayProcess>,
    name_server: NameServer,
    switches: Switches,
    _directory: TempDir,
    testbed: Testbed<'a>,
}

/// The state of all counters at one time.
struct Snapshot {
    at: Instant,
    callers: CallerTraffic,
    caller_connections: u64,
    switches: SwitchTraffic,
    list: ListTraffic,
    usages: Vec<ProcessUsage>,
}

impl<'a> Fleet<'a> {
    /// Starts stand-ins and gateways, and waits until every gateway has passed a test, is connected to all
    /// core switches and has queried the list.
    pub fn start(
        scenario: &Scenario,
        timestamps: Option<Arc<CallTimestamps>>,
        testbed: Testbed<'a>,
    ) -> Result<Self, ProcessError> {
        check_program(testbed.program)?;
        check_descriptor_limit(scenario)?;
        let deadline = Instant::now() + READY_TIMEOUT;
        let times = SwitchTimes { answer_delay: scenario.traffic.answer_delay, hold: scenario.traffic.hold };
        let switches = Switches::start(scenario.switches, times, timestamps.clone());
        let switches = switches.map_err(system_error("the stand-in core switches cannot be started"))?;
        let name_server = NameServer::start(switches.list.clone());
        let name_server = name_server.map_err(system_error("the stand-in name server cannot be started"))?;
        let directory =
            tempfile::tempdir().map_err(system_error("a directory for the gateways cannot be created"))?;
        let mut gateways = Vec::new();
        for number in 0..scenario.gateways {
            let parameters = gateway_parameters(scenario, number, name_server.address);
            let gateway =
                GatewayProcess::start(testbed.program, directory.path(), &parameters, &switches.list)?;
            gateways.push(gateway);
        }
        let mut connections = Vec::new();
        for gateway in &mut gateways {
            connections.push(connect_callers(gateway, scenario.caller_connections, deadline, testbed.stop)?);
        }
        let callers = Callers::start(connections, scenario.switches, timestamps)?;
        let mut fleet = Self { callers, gateways, name_server, switches, _directory: directory, testbed };
        fleet.wait_until_ready(scenario, deadline)?;
        Ok(fleet)
    }

    fn wait_until_ready(&mut self, scenario: &Scenario, deadline: Instant) -> Result<(), ProcessError> {
        let gateways = u64::from(scenario.gateways);
        let connections = gateways * u64::from(scenario.switches);
        let tests = self.callers.connection_count();
        let all_tested = |callers: &CallerTraffic| callers.tests_passed >= tests;
        let all_connected = |switches: &SwitchTraffic| switches.connections >= connections;
        let all_have_queried = |list: &ListTraffic| list.queries_by_source.len() as u64 >= gateways;
        let stop = self.testbed.stop;
        let missing = if !wait_for(&self.callers.traffic, deadline, stop, all_tested)? {
            "not all gateways passed their test"
        } else if !wait_for(&self.switches.traffic, deadline, stop, all_connected)? {
            "not all gateways were connected to all core switches"
        } else if !wait_for(&self.name_server.traffic, deadline, stop, all_have_queried)? {
            "not all gateways queried the list"
        } else {
            return Ok(());
        };
        self.check_gateways()?;
        Err(ProcessError::NotReady { missing, waited: READY_TIMEOUT })
    }

    /// Sends the set-ups of all calls and waits until the calls have ended.
    pub fn run_calls(&mut self, calls: &[PlannedCall]) -> Result<(), ProcessError> {
        let planned = calls.len() as u64;
        let sent = self.callers.send_set_ups(calls, Instant::now(), self.testbed.stop);
        if sent.is_err() {
            // The exit of a gateway explains a broken connection better than the connection's own error.
            self.check_gateways()?;
        }
        sent?;
        let deadline = Instant::now() + CALLS_END_TIMEOUT;
        let all_ended = |callers: &CallerTraffic| callers.outcomes.total() >= planned;
        if wait_for(&self.callers.traffic, deadline, self.testbed.stop, all_ended)? {
            return Ok(());
        }
        self.check_gateways()?;
        let ended = self.call_outcomes().total();
        Err(ProcessError::CallsUnfinished { ended, planned, waited: CALLS_END_TIMEOUT })
    }

    /// How the calls that have ended so far ended.
    pub fn call_outcomes(&self) -> CallOutcomes {
        self.callers.traffic.get().outcomes
    }

    /// Processor time of all gateways since their start.
    pub fn processor_time(&self) -> Result<Duration, ProcessError> {
        Ok(self.usages()?.iter().map(|usage| usage.processor_time).sum())
    }

    fn usages(&self) -> Result<Vec<ProcessUsage>, ProcessError> {
        self.gateways.iter().map(GatewayProcess::usage).collect()
    }

    fn snapshot(&self) -> Result<Snapshot, ProcessError> {
        let usages = self.usages()?;
        let callers = self.callers.traffic.get();
        Ok(Snapshot {
            at: Instant::now(),
            caller_connections: self.callers.connection_count().saturating_sub(callers.connections_lost),
            callers,
            switches: self.switches.traffic.get(),
            list: self.name_server.traffic.get(),
            usages,
        })
    }

    /// An error if a gateway has exited.
    fn check_gateways(&mut self) -> Result<(), ProcessError> {
        self.gateways.iter_mut().try_for_each(GatewayProcess::check_running)
    }
}

impl Snapshot {
    /// What was counted between this snapshot and a later one.
    fn until(&self, end: &Self) -> Observation {
        let sum_at_end = |figure: fn(&ProcessUsage) -> u64| end.usages.iter().map(figure).sum();
        let usages = end.usages.iter().zip(&self.usages);
        let processor_times =
            usages.map(|(end, start)| end.processor_time.saturating_sub(start.processor_time));
        Observation {
            duration: end.at - self.at,
            from_callers: counts_since(&self.callers.sent, &end.callers.sent),
            to_callers: counts_since(&self.callers.received, &end.callers.received),
            from_switches: counts_since(&self.switches.sent, &end.switches.sent),
            to_switches: counts_since(&self.switches.received, &end.switches.received),
            list_queries: volume_since(self.list.all_queries(), end.list.all_queries()),
            list_answers: volume_since(self.list.answers, end.list.answers),
            processor_time: processor_times.sum(),
            resident_bytes: sum_at_end(|usage| usage.resident_bytes),
            descriptors: sum_at_end(|usage| usage.descriptors),
            caller_connections: end.caller_connections,
            switch_connections: end.switches.connections,
        }
    }
}

/// Checks that the gateway's program exists.
///
/// # Errors
/// Where it does not; the error says how to build it.
pub fn check_program(program: &Path) -> Result<(), ProcessError> {
    if program.is_file() { Ok(()) } else { Err(ProcessError::ProgramMissing { program: program.to_owned() }) }
}

/// Checks that this process may open the descriptors that the stand-ins need. It only reads the limit: one
/// that is too low is an error and is not raised.
fn check_descriptor_limit(scenario: &Scenario) -> Result<(), ProcessError> {
    let [gateways, switches] = [scenario.gateways, scenario.switches].map(u64::from);
    // Each connection of a caller has a descriptor for writing and one for reading.
    let per_gateway = switches * MAX_CONNECTIONS_TO_A_SWITCH + 2 * u64::from(scenario.caller_connections);
    let needed = gateways * per_gateway + switches + OTHER_DESCRIPTORS;
    match getrlimit(Resource::Nofile).current {
        Some(limit) if limit < needed => Err(ProcessError::TooFewDescriptors { needed, limit }),
        _ => Ok(()),
    }
}

fn gateway_parameters(scenario: &Scenario, number: u32, nameserver: SocketAddr) -> GatewayParameters {
    GatewayParameters {
        name: format!("gateway-{number}"),
        listen: next_gateway_address(),
        nameserver,
        seed: scenario.seed ^ u64::from(number),
        gateways: scenario.gateways,
        number,
        descriptors: scenario.descriptors,
    }
}

/// Opens the callers' connections to a gateway, which may still be starting.
fn connect_callers(
    gateway: &mut GatewayProcess,
    count: u32,
    deadline: Instant,
    stop: &AtomicBool,
) -> Result<Vec<TcpStream>, ProcessError> {
    let mut connections = Vec::new();
    while connections.len() < count as usize {
        match connect(gateway.address) {
            Ok(stream) => connections.push(stream),
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused && Instant::now() < deadline => {
                gateway.check_running()?;
                sleep_until(Instant::now() + CONNECT_RETRY_INTERVAL, stop)?;
            }
            Err(source) => {
                return Err(ProcessError::System { failure: "a gateway cannot be connected to", source });
            }
        }
    }
    Ok(connections)
}

/// Waits until a shared value meets a condition; `false` if it does not by the deadline.
///
/// # Errors
/// Where the measurement is aborted.
pub(super) fn wait_for<T>(
    watched: &Watched<T>,
    deadline: Instant,
    stop: &AtomicBool,
    condition: impl Fn(&T) -> bool,
) -> Result<bool, ProcessError> {
    loop {
        let now = Instant::now();
        if watched.wait_until(deadline.min(now + STOP_CHECK_INTERVAL), &condition) {
            return Ok(true);
        }
        if stop.load(Ordering::Relaxed) {
            return Err(ProcessError::Interrupted);
        }
        if now >= deadline {
            return Ok(false);
        }
    }
}
