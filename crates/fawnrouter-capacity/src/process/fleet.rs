//! Gateway processes between stand-ins, from their start to the end of a plan.

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
use crate::process::error::{ProcessError, doing};
use crate::process::gateway::{GatewayProcess, next_address};
use crate::process::line_counts::{counts_since, volume_since};
use crate::process::name_server::{ListTraffic, NameServer};
use crate::process::switches::{SwitchTimes, SwitchTraffic, Switches};
use crate::process::timestamps::Stamps;
use crate::process::usage::ProcessUsage;
use crate::process::watched::Watched;

/// Gateways get this long to be ready.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// Calls get this long to end after the last was due.
pub(super) const ENDED_WITHIN: Duration = Duration::from_secs(30);
/// Gateways are connected for so long before the first call, much as hollow ones: a core switch of which nothing was heard
/// for seconds is treated otherwise once a call stands there.
const LEAD: Duration = Duration::from_millis(800);
/// Between two tries to connect to a gateway that is starting.
const CONNECT_PAUSE: Duration = Duration::from_millis(10);
/// Between two looks whether to go on waiting.
const LOOK: Duration = Duration::from_millis(50);
/// Descriptors of the stand-ins beside connections and listeners.
const OTHER_DESCRIPTORS: u64 = 64;
/// Connections of a gateway to a core switch that there is room for: one, and one more when two set-ups share it.
const CONNECTIONS_TO_A_SWITCH: u64 = 2;

/// What gateway processes are measured with.
#[derive(Clone, Copy, Debug)]
pub struct Testbed<'a> {
    /// The gateway's program.
    pub program: &'a Path,
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// Set from elsewhere when the measurement is to end; all processes are ended then.
    pub stop: &'a AtomicBool,
}

/// What the stand-ins and `/proc` told of some time. Counts are of all gateways together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observation {
    /// How long it was.
    pub duration: Duration,
    /// Lines that gateways got from callers.
    pub from_callers: VolumeByVerb,
    /// Lines that callers got from gateways.
    pub to_callers: VolumeByVerb,
    /// Lines that gateways got from core switches.
    pub from_switches: VolumeByVerb,
    /// Lines that core switches got from gateways.
    pub to_switches: VolumeByVerb,
    /// Questions for the list.
    pub list_queries: Volume,
    /// Answers to them.
    pub list_answers: Volume,
    /// Processor time of the gateways.
    pub processor_time: Duration,
    /// Resident memory of the gateways at its end, in bytes.
    pub resident_bytes: u64,
    /// Descriptors of the gateways at its end.
    pub descriptors: u64,
    /// Connections from callers at its end.
    pub caller_connections: u64,
    /// Connections to core switches at its end.
    pub switch_connections: u64,
}

/// What gateway processes showed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetMeasurement {
    /// From the first call on, until all have ended and the measured time is over.
    pub during_calls: Observation,
    /// Afterwards, with nothing to do but to ask for the list.
    pub after_calls: Observation,
    /// Calls of the plan.
    pub planned_calls: u64,
    /// What became of them.
    pub call_outcomes: CallOutcomes,
}

/// Plays a scenario of one service, without faults, with gateway processes, and after it a quiet time.
///
/// # Errors
/// Where the program is not there, or something fails on the way. All processes have ended then.
pub fn run_scenario(
    scenario: &Scenario,
    quiet: Duration,
    rig: Testbed<'_>,
) -> Result<FleetMeasurement, ProcessError> {
    let calls = scenario.traffic.calls();
    let mut fleet = Fleet::start(scenario, None, rig)?;
    sleep_until(Instant::now() + LEAD, rig.stop)?;
    let first_call = fleet.mark()?;
    fleet.play(&calls)?;
    sleep_until(first_call.at + scenario.measured, rig.stop)?;
    let all_ended = fleet.mark()?;
    sleep_until(all_ended.at + quiet, rig.stop)?;
    let end = fleet.mark()?;
    Ok(FleetMeasurement {
        during_calls: first_call.until(&all_ended),
        after_calls: all_ended.until(&end),
        planned_calls: calls.len() as u64,
        call_outcomes: end.callers.ended,
    })
}

/// Gateways that are ready, with their surroundings. What is dropped first is declared first.
#[derive(Debug)]
pub(super) struct Fleet<'a> {
    callers: Callers,
    gateways: Vec<GatewayProcess>,
    names: NameServer,
    switches: Switches,
    _folder: TempDir,
    rig: Testbed<'a>,
}

/// All counters at one time.
struct Mark {
    at: Instant,
    callers: CallerTraffic,
    caller_connections: u64,
    switches: SwitchTraffic,
    list: ListTraffic,
    usages: Vec<ProcessUsage>,
}

impl<'a> Fleet<'a> {
    /// Starts gateways and waits until all have passed a test, are connected to all core switches and have asked for the
    /// list.
    pub fn start(
        scenario: &Scenario,
        stamps: Option<Arc<Stamps>>,
        rig: Testbed<'a>,
    ) -> Result<Self, ProcessError> {
        check_program(rig.program)?;
        check_descriptors(scenario)?;
        let deadline = Instant::now() + READY_WITHIN;
        let times = SwitchTimes { answer: scenario.traffic.answer_delay, hold: scenario.traffic.hold };
        let switches = Switches::start(scenario.switches, times, stamps.clone());
        let switches = switches.map_err(doing("the stand-in core switches cannot be started"))?;
        let names = NameServer::start(switches.rows.clone());
        let names = names.map_err(doing("the stand-in name server cannot be started"))?;
        let folder = tempfile::tempdir().map_err(doing("a folder for the gateways cannot be made"))?;
        let mut gateways = Vec::new();
        for number in 0..scenario.gateways {
            let place = place(scenario, number, names.address);
            gateways.push(GatewayProcess::start(rig.program, folder.path(), &place, &switches.rows)?);
        }
        let mut connections = Vec::new();
        for gateway in &mut gateways {
            connections.push(connect_all(gateway, scenario.caller_connections, deadline, rig.stop)?);
        }
        let callers = Callers::start(connections, scenario.switches, stamps)?;
        let mut fleet = Self { callers, gateways, names, switches, _folder: folder, rig };
        fleet.wait_until_ready(scenario, deadline)?;
        Ok(fleet)
    }

    fn wait_until_ready(&mut self, scenario: &Scenario, deadline: Instant) -> Result<(), ProcessError> {
        let gateways = u64::from(scenario.gateways);
        let connections = gateways * u64::from(scenario.switches);
        let tests = self.callers.count();
        let are_tested = |callers: &CallerTraffic| callers.tests_passed >= tests;
        let are_connected = |switches: &SwitchTraffic| switches.connections >= connections;
        let have_asked = |list: &ListTraffic| list.questions.len() as u64 >= gateways;
        let stop = self.rig.stop;
        let missing = if !wait(&self.callers.traffic, deadline, stop, are_tested)? {
            "not all gateways passed their test"
        } else if !wait(&self.switches.traffic, deadline, stop, are_connected)? {
            "not all gateways were connected to all core switches"
        } else if !wait(&self.names.traffic, deadline, stop, have_asked)? {
            "not all gateways asked for the list"
        } else {
            return Ok(());
        };
        self.check_gateways()?;
        Err(ProcessError::NotReady { missing, waited: READY_WITHIN })
    }

    /// Plays all calls and waits until they have ended.
    pub fn play(&mut self, calls: &[PlannedCall]) -> Result<(), ProcessError> {
        let planned = calls.len() as u64;
        let played = self.callers.play(calls, Instant::now(), self.rig.stop);
        if played.is_err() {
            self.check_gateways()?;
        }
        played?;
        let deadline = Instant::now() + ENDED_WITHIN;
        if wait(&self.callers.traffic, deadline, self.rig.stop, |callers| callers.ended.total() >= planned)? {
            return Ok(());
        }
        self.check_gateways()?;
        let ended = self.ended().total();
        Err(ProcessError::CallsUnfinished { ended, planned, waited: ENDED_WITHIN })
    }

    /// What became of calls so far.
    pub fn ended(&self) -> CallOutcomes {
        self.callers.traffic.get().ended
    }

    /// Processor time of all gateways since their start.
    pub fn processor_time(&self) -> Result<Duration, ProcessError> {
        Ok(self.usages()?.iter().map(|usage| usage.processor_time).sum())
    }

    fn usages(&self) -> Result<Vec<ProcessUsage>, ProcessError> {
        self.gateways.iter().map(GatewayProcess::usage).collect()
    }

    fn mark(&self) -> Result<Mark, ProcessError> {
        let usages = self.usages()?;
        let callers = self.callers.traffic.get();
        Ok(Mark {
            at: Instant::now(),
            caller_connections: self.callers.count().saturating_sub(callers.connections_lost),
            callers,
            switches: self.switches.traffic.get(),
            list: self.names.traffic.get(),
            usages,
        })
    }

    fn check_gateways(&mut self) -> Result<(), ProcessError> {
        self.gateways.iter_mut().try_for_each(GatewayProcess::check)
    }
}

impl Mark {
    fn until(&self, end: &Self) -> Observation {
        let sum = |figure: fn(&ProcessUsage) -> u64| end.usages.iter().map(figure).sum();
        let ran = end.usages.iter().zip(&self.usages);
        let ran = ran.map(|(end, start)| end.processor_time.saturating_sub(start.processor_time));
        Observation {
            duration: end.at - self.at,
            from_callers: counts_since(&self.callers.said, &end.callers.said),
            to_callers: counts_since(&self.callers.heard, &end.callers.heard),
            from_switches: counts_since(&self.switches.said, &end.switches.said),
            to_switches: counts_since(&self.switches.heard, &end.switches.heard),
            list_queries: volume_since(self.list.all_questions(), end.list.all_questions()),
            list_answers: volume_since(self.list.answers, end.list.answers),
            processor_time: ran.sum(),
            resident_bytes: sum(|usage| usage.resident_bytes),
            descriptors: sum(|usage| usage.descriptors),
            caller_connections: end.caller_connections,
            switch_connections: end.switches.connections,
        }
    }
}

/// Whether the gateway's program is there.
///
/// # Errors
/// Says how to build it.
pub fn check_program(program: &Path) -> Result<(), ProcessError> {
    if program.is_file() { Ok(()) } else { Err(ProcessError::ProgramMissing { program: program.to_owned() }) }
}

/// Reading the limit changes nothing; one that is too low is told.
fn check_descriptors(scenario: &Scenario) -> Result<(), ProcessError> {
    let [gateways, switches] = [scenario.gateways, scenario.switches].map(u64::from);
    // Each connection of a caller has a descriptor for writing and one for reading.
    let of_a_gateway = switches * CONNECTIONS_TO_A_SWITCH + 2 * u64::from(scenario.caller_connections);
    let needed = gateways * of_a_gateway + switches + OTHER_DESCRIPTORS;
    match getrlimit(Resource::Nofile).current {
        Some(limit) if limit < needed => Err(ProcessError::TooFewDescriptors { needed, limit }),
        _ => Ok(()),
    }
}

fn place(scenario: &Scenario, number: u32, nameserver: SocketAddr) -> GatewayParameters {
    GatewayParameters {
        name: format!("gateway-{number}"),
        listen: next_address(),
        nameserver,
        seed: scenario.seed ^ u64::from(number),
        gateways: scenario.gateways,
        number,
        descriptors: scenario.descriptors,
    }
}

fn connect_all(
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
                gateway.check()?;
                sleep_until(Instant::now() + CONNECT_PAUSE, stop)?;
            }
            Err(source) => {
                return Err(ProcessError::System { doing: "a gateway cannot be connected to", source });
            }
        }
    }
    Ok(connections)
}

/// Waits for a value; `false` if it is not as wanted by the deadline.
pub(super) fn wait<T>(
    watched: &Watched<T>,
    deadline: Instant,
    stop: &AtomicBool,
    wanted: impl Fn(&T) -> bool,
) -> Result<bool, ProcessError> {
    loop {
        let now = Instant::now();
        if watched.wait(deadline.min(now + LOOK), &wanted) {
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
