//! Slopes over the core switches that a gateway sees, and over the bytes of their list.

use std::time::Duration;

use super::{Collector, Session, Spot, WORK, configuration};
use crate::figures::{Cause, Per, Quantity, Role, Run, Situation, Size};
use crate::hollow::HollowError;
use crate::hollow::cost::Cost;
use crate::hollow::outcome::Outcome;
use crate::hollow::scenario::Scenario;

const SWITCHES: [u32; 7] = [4, 8, 25, 66, 132, 330, 660];
const SWITCHES_QUICK: [u32; 4] = [4, 8, 16, 25];
const GATEWAYS: u32 = 2;
const CALLS_PER_SECOND: f64 = 40.0;
const LIST_CHANGE_EVERY: Duration = Duration::from_millis(500);
const WARM_UP: Duration = Duration::from_secs(4);
/// An idle connection is replaced after 42 s, 0.7 of the platform's idle time: each is, once.
const QUIET_MEASURED: Duration = Duration::from_secs(42);
const MEASURED: Duration = Duration::from_secs(20);
const MEASURED_QUICK: Duration = Duration::from_secs(4);

/// The plays at one size.
struct Plays {
    switches: u32,
    quiet: Outcome,
    calling: Outcome,
    changing: Outcome,
}

impl Plays {
    /// Bytes of one answer with the whole list.
    fn list_bytes(&self) -> f64 {
        self.quiet.list.response_bytes as f64 / self.quiet.list.responses.max(1) as f64
    }
}

fn run_scenario(session: &mut Session<'_>, switches: u32) -> Result<Plays, HollowError> {
    let quiet_measured = session.choose(&[QUIET_MEASURED], &[MEASURED_QUICK])[0];
    let measured = session.choose(&[MEASURED], &[MEASURED_QUICK])[0];
    let quiet = Scenario::one_service(session.options.seed, GATEWAYS, switches);
    let quiet = quiet.with_measurement_window(WARM_UP, quiet_measured);
    let calling = quiet.clone().with_measurement_window(WARM_UP, measured).with_call_rate(CALLS_PER_SECOND);
    let changing =
        quiet.clone().with_measurement_window(WARM_UP, measured).with_list_change_interval(LIST_CHANGE_EVERY);
    Ok(Plays {
        switches,
        quiet: session.play("hollow-switches, quiet", switches, &quiet)?,
        calling: session.play("hollow-switches, calls", switches, &calling)?,
        changing: session.play("hollow-switches, list changes", switches, &changing)?,
    })
}

pub(super) fn runs(session: &mut Session<'_>) -> Result<Vec<Run>, HollowError> {
    let mut by_switches = Collector::new(Size::SwitchesSeen);
    let mut by_bytes = Collector::new(Size::ListBytes);
    for switches in session.choose(&SWITCHES, &SWITCHES_QUICK) {
        let plays = run_scenario(session, switches)?;
        note_switches(&mut by_switches, &plays);
        note_configuration(session, &mut by_switches, switches)?;
        note_list(&mut by_switches, &plays, f64::from(switches));
        note_list(&mut by_bytes, &plays, plays.list_bytes());
    }
    let setting = format!(
        "{GATEWAYS} gateways that see all core switches; quiet: no calls; ordinary day: {CALLS_PER_SECOND} calls a second \
         at each gateway, each held 2 s and answered in 20 ms; a list event of the quiet second is an answer that changes \
         nothing, one of the ordinary day an answer in which one core switch drains or is ready again (every 0.5 s, no \
         calls); answers arrive whole at every size; a bad configuration has a wrong address in its last row"
    );
    let by_switches = session.run("hollow-switches", setting.clone(), by_switches);
    let by_bytes = session.run("hollow-list", format!("the plays of hollow-switches: {setting}"), by_bytes);
    Ok(vec![by_switches, by_bytes])
}

fn note_switches(collector: &mut Collector, plays: &Plays) {
    let spot = |role, situation| Spot { role, situation, size: f64::from(plays.switches) };
    let quiet = spot(Role::GatewayCalls, Situation::Quiet);
    collector.seconds(quiet, &plays.quiet, &[Cause::Timers, Cause::Connections, Cause::All]);
    collector.held(quiet, &plays.quiet);
    let control = spot(Role::GatewayControl, Situation::Quiet);
    collector.held(control, &plays.quiet);
    let calling = spot(Role::GatewayCalls, Situation::OrdinaryDay);
    collector.calls(calling, &plays.calling, &[Cause::Calls, Cause::All]);
    collector.seconds(
        calling,
        &plays.calling,
        &[Cause::Calls, Cause::Probes, Cause::Connections, Cause::Timers, Cause::All],
    );
    collector.held(calling, &plays.calling);
}

/// What one answer costs its reader and how long it is, and what all answers bring in a second.
fn note_list(collector: &mut Collector, plays: &Plays, size: f64) {
    let spot = |situation| Spot { role: Role::GatewayControl, situation, size };
    let source = Spot { role: Role::ListSource, ..spot(Situation::Quiet) };
    let bytes = Some(plays.list_bytes());
    collector.put(spot(Situation::Quiet), Cause::List, Quantity::BytesIn, Per::Event, bytes);
    collector.put(source, Cause::List, Quantity::BytesOut, Per::Event, bytes);
    collector.seconds(spot(Situation::Quiet), &plays.quiet, &[Cause::List]);
    let list = &plays.quiet.list;
    let unchanged = list.responses - list.changed;
    note_event(collector, spot(Situation::Quiet), list.unchanged_cost, unchanged);
    let list = &plays.changing.list;
    note_event(collector, spot(Situation::OrdinaryDay), list.changed_cost, list.changed);
}

fn note_event(collector: &mut Collector, spot: Spot, cost: Cost, events: u64) {
    for quantity in WORK {
        let value = cost.quantity_value(quantity).filter(|_| events > 0).map(|all| all / events as f64);
        collector.put(spot, Cause::List, quantity, Per::Event, value);
    }
}

fn note_configuration(
    session: &mut Session<'_>,
    collector: &mut Collector,
    switches: u32,
) -> Result<(), HollowError> {
    let (seed, allocator) = (session.options.seed, session.options.allocator);
    let readings = [
        (Situation::OrdinaryDay, configuration::read_good(seed, switches, allocator)?),
        (Situation::BadConfiguration, configuration::read_damaged(seed, switches, allocator)?),
    ];
    for (situation, reading) in readings {
        let spot = Spot { role: Role::GatewayControl, situation, size: f64::from(switches) };
        let figures = [
            (Quantity::BytesIn, reading.bytes as f64),
            (Quantity::ProcessorMicroseconds, reading.processor_microseconds),
            (Quantity::Allocations, reading.allocations),
        ];
        for (quantity, value) in figures {
            collector.put(spot, Cause::Configuration, quantity, Per::Event, Some(value));
        }
    }
    Ok(())
}
