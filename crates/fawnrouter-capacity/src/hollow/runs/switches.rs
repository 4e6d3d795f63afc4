//! Series by core switches that a gateway sees, and by bytes of their list.

use std::time::Duration;

use super::{SeriesCollector, SeriesPosition, Session, WORK_QUANTITIES, configuration};
use crate::figures::{Cause, Per, Quantity, Role, Run, Situation, Size};
use crate::hollow::HollowError;
use crate::hollow::cost::Cost;
use crate::hollow::outcome::Outcome;
use crate::hollow::scenario::Scenario;

const SWITCHES: [u32; 7] = [4, 8, 25, 66, 132, 330, 660];
const SWITCHES_QUICK: [u32; 4] = [4, 8, 16, 25];
const GATEWAYS: u32 = 2;
const CALLS_PER_SECOND: f64 = 40.0;
const LIST_CHANGE_INTERVAL: Duration = Duration::from_millis(500);
const WARM_UP: Duration = Duration::from_secs(4);
/// An idle connection is replaced after 42 s (0.7 of the platform's idle time), so each is replaced once.
const QUIET_MEASURED: Duration = Duration::from_secs(42);
const MEASURED: Duration = Duration::from_secs(20);
const MEASURED_QUICK: Duration = Duration::from_secs(4);

/// The outcomes at one size.
struct Outcomes {
    switches: u32,
    quiet: Outcome,
    calling: Outcome,
    changing: Outcome,
}

impl Outcomes {
    /// Bytes of one response with the whole list.
    fn list_bytes(&self) -> f64 {
        self.quiet.list.response_bytes as f64 / self.quiet.list.responses.max(1) as f64
    }
}

fn simulate_all(session: &mut Session<'_>, switches: u32) -> Result<Outcomes, HollowError> {
    let quiet_measured = session.full_or_quick(&[QUIET_MEASURED], &[MEASURED_QUICK])[0];
    let measured = session.full_or_quick(&[MEASURED], &[MEASURED_QUICK])[0];
    let quiet = Scenario::one_service(session.options.seed, GATEWAYS, switches);
    let quiet = quiet.with_measurement_window(WARM_UP, quiet_measured);
    let calling = quiet.clone().with_measurement_window(WARM_UP, measured).with_call_rate(CALLS_PER_SECOND);
    let changing = quiet
        .clone()
        .with_measurement_window(WARM_UP, measured)
        .with_list_change_interval(LIST_CHANGE_INTERVAL);
    Ok(Outcomes {
        switches,
        quiet: session.simulate("hollow-switches, quiet", switches, &quiet)?,
        calling: session.simulate("hollow-switches, calls", switches, &calling)?,
        changing: session.simulate("hollow-switches, list changes", switches, &changing)?,
    })
}

pub(super) fn runs(session: &mut Session<'_>) -> Result<Vec<Run>, HollowError> {
    let mut by_switches = SeriesCollector::new(Size::SwitchesSeen);
    let mut by_bytes = SeriesCollector::new(Size::ListBytes);
    for switches in session.full_or_quick(&SWITCHES, &SWITCHES_QUICK) {
        let outcomes = simulate_all(session, switches)?;
        collect_switches(&mut by_switches, &outcomes);
        collect_configuration(session, &mut by_switches, switches)?;
        collect_list(&mut by_switches, &outcomes, f64::from(switches));
        collect_list(&mut by_bytes, &outcomes, outcomes.list_bytes());
    }
    let setting = format!(
        "{GATEWAYS} gateways that see all core switches; quiet: no calls; ordinary day: {CALLS_PER_SECOND} \
         calls a second at each gateway, each held 2 s and answered in 20 ms; a list event of the quiet \
         second is an answer that changes nothing, one of the ordinary day an answer in which one core \
         switch drains or is ready again (every 0.5 s, no calls); answers arrive whole at every size; a bad \
         configuration has a wrong address in its last row"
    );
    let by_switches = session.run("hollow-switches", setting.clone(), by_switches);
    let by_bytes = session.run("hollow-list", format!("the plays of hollow-switches: {setting}"), by_bytes);
    Ok(vec![by_switches, by_bytes])
}

fn collect_switches(collector: &mut SeriesCollector, outcomes: &Outcomes) {
    let position = |role, situation| SeriesPosition { role, situation, size: f64::from(outcomes.switches) };
    let quiet = position(Role::GatewayCalls, Situation::Quiet);
    collector.add_per_second(quiet, &outcomes.quiet, &[Cause::Timers, Cause::Connections, Cause::All]);
    collector.add_held(quiet, &outcomes.quiet);
    let control = position(Role::GatewayControl, Situation::Quiet);
    collector.add_held(control, &outcomes.quiet);
    let calling = position(Role::GatewayCalls, Situation::OrdinaryDay);
    collector.add_per_call(calling, &outcomes.calling, &[Cause::Calls, Cause::All]);
    collector.add_per_second(
        calling,
        &outcomes.calling,
        &[Cause::Calls, Cause::Probes, Cause::Connections, Cause::Timers, Cause::All],
    );
    collector.add_held(calling, &outcomes.calling);
}

/// Collects size and processing cost of one list response, and the cost of all responses per second.
fn collect_list(collector: &mut SeriesCollector, outcomes: &Outcomes, size: f64) {
    let position = |situation| SeriesPosition { role: Role::GatewayControl, situation, size };
    let source = SeriesPosition { role: Role::ListSource, ..position(Situation::Quiet) };
    let bytes = Some(outcomes.list_bytes());
    collector.add(position(Situation::Quiet), Cause::List, Quantity::BytesIn, Per::Event, bytes);
    collector.add(source, Cause::List, Quantity::BytesOut, Per::Event, bytes);
    collector.add_per_second(position(Situation::Quiet), &outcomes.quiet, &[Cause::List]);
    let list = &outcomes.quiet.list;
    let unchanged = list.responses - list.changed;
    collect_event(collector, position(Situation::Quiet), list.unchanged_cost, unchanged);
    let list = &outcomes.changing.list;
    collect_event(collector, position(Situation::OrdinaryDay), list.changed_cost, list.changed);
}

fn collect_event(collector: &mut SeriesCollector, position: SeriesPosition, cost: Cost, events: u64) {
    for quantity in WORK_QUANTITIES {
        let value = cost.quantity_value(quantity).filter(|_| events > 0).map(|all| all / events as f64);
        collector.add(position, Cause::List, quantity, Per::Event, value);
    }
}

fn collect_configuration(
    session: &mut Session<'_>,
    collector: &mut SeriesCollector,
    switches: u32,
) -> Result<(), HollowError> {
    let (seed, allocator) = (session.options.seed, session.options.allocator);
    let costs = [
        (Situation::OrdinaryDay, configuration::read_good(seed, switches, allocator)?),
        (Situation::BadConfiguration, configuration::read_damaged(seed, switches, allocator)?),
    ];
    for (situation, cost) in costs {
        let position = SeriesPosition { role: Role::GatewayControl, situation, size: f64::from(switches) };
        let figures = [
            (Quantity::BytesIn, cost.bytes as f64),
            (Quantity::ProcessorMicroseconds, cost.processor_microseconds),
            (Quantity::Allocations, cost.allocations),
        ];
        for (quantity, value) in figures {
            collector.add(position, Cause::Configuration, quantity, Per::Event, Some(value));
        }
    }
    Ok(())
}
