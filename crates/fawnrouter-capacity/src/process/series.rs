//! Turns measurements of gateway processes and of hollow gateways into series, with the same definitions for
//! both.

use crate::figures::{Cause, Per, Point, Quantity, Role, Series, Situation, Size};
use crate::hollow::{Outcome, Scenario, Volume, VolumeByVerb};
use crate::process::fleet::{FleetMeasurement, Observation};
use crate::process::line_counts::{call_volume, test_volume};

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Identifies a figure: what was counted, of whom, when and over what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FigureKind {
    pub role: Role,
    pub situation: Situation,
    pub cause: Cause,
    pub quantity: Quantity,
    pub per: Per,
}

/// Identifies a flow of messages. Each flow has four figures: messages and bytes, in and out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Flow {
    role: Role,
    situation: Situation,
    cause: Cause,
    per: Per,
}

impl Flow {
    const fn ordinary_day(role: Role, cause: Cause, per: Per) -> Self {
        Self { role, situation: Situation::OrdinaryDay, cause, per }
    }

    const fn list_polling(role: Role) -> Self {
        Self { role, situation: Situation::Quiet, cause: Cause::List, per: Per::Second }
    }

    fn kind(self, quantity: Quantity) -> FigureKind {
        let Self { role, situation, cause, per } = self;
        FigureKind { role, situation, cause, quantity, per }
    }
}

const GATEWAY_CALL_FLOW: Flow = Flow::ordinary_day(Role::GatewayCalls, Cause::Calls, Per::Call);
const GATEWAY_TOTAL_FLOW: Flow = Flow::ordinary_day(Role::GatewayCalls, Cause::All, Per::Second);
const SWITCH_CALL_FLOW: Flow = Flow::ordinary_day(Role::CoreSwitch, Cause::Calls, Per::Second);
const SWITCH_TEST_FLOW: Flow = Flow::ordinary_day(Role::CoreSwitch, Cause::Probes, Per::Second);
const SWITCH_TOTAL_FLOW: Flow = Flow::ordinary_day(Role::CoreSwitch, Cause::All, Per::Second);
const GATEWAY_LIST_FLOW: Flow = Flow::list_polling(Role::GatewayControl);
const SOURCE_LIST_FLOW: Flow = Flow::list_polling(Role::ListSource);
const FLOWS: [Flow; 7] = [
    GATEWAY_CALL_FLOW,
    GATEWAY_TOTAL_FLOW,
    SWITCH_CALL_FLOW,
    SWITCH_TEST_FLOW,
    SWITCH_TOTAL_FLOW,
    GATEWAY_LIST_FLOW,
    SOURCE_LIST_FLOW,
];
/// The quantities of each flow, in the order of [`Figures::add_flow`].
const FLOW_QUANTITIES: [Quantity; 4] =
    [Quantity::MessagesIn, Quantity::MessagesOut, Quantity::BytesIn, Quantity::BytesOut];

/// A figure of what a member of the role holds at one time.
const fn held(role: Role, quantity: Quantity) -> FigureKind {
    FigureKind { role, situation: Situation::OrdinaryDay, cause: Cause::All, quantity, per: Per::Held }
}

const GATEWAY_CONNECTIONS: FigureKind = held(Role::GatewayCalls, Quantity::Connections);
const GATEWAY_MEMORY: FigureKind = held(Role::GatewayCalls, Quantity::MemoryBytes);
const SWITCH_CONNECTIONS: FigureKind = held(Role::CoreSwitch, Quantity::Connections);

const fn processor_time(role: Role, situation: Situation, cause: Cause, per: Per) -> FigureKind {
    FigureKind { role, situation, cause, quantity: Quantity::ProcessorMicroseconds, per }
}

const PROCESSOR_PER_CALL: FigureKind =
    processor_time(Role::GatewayCalls, Situation::OrdinaryDay, Cause::Calls, Per::Call);
const PROCESSOR_PER_SECOND: FigureKind =
    processor_time(Role::GatewayCalls, Situation::OrdinaryDay, Cause::All, Per::Second);
const PROCESSOR_PER_QUIET_SECOND: FigureKind =
    processor_time(Role::GatewayControl, Situation::Quiet, Cause::All, Per::Second);

/// All figures of one fleet at one size.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Figures(Vec<(FigureKind, f64)>);

impl Figures {
    /// Adds a figure if it has a finite value.
    fn add(&mut self, kind: FigureKind, value: Option<f64>) {
        self.0.extend(value.filter(|value| value.is_finite()).map(|value| (kind, value)));
    }

    fn value(&self, kind: FigureKind) -> Option<f64> {
        self.0.iter().find(|(other, _)| *other == kind).map(|(_, value)| *value)
    }

    /// Adds the messages and bytes of a flow in each direction, each divided by `divisor`.
    fn add_flow(&mut self, flow: Flow, volumes: TrafficVolumes, divisor: f64) {
        let TrafficVolumes { received, sent } = volumes;
        let counts = [received.messages, sent.messages, received.bytes, sent.bytes];
        for (quantity, count) in FLOW_QUANTITIES.into_iter().zip(counts) {
            self.add(flow.kind(quantity), Some(count as f64 / divisor));
        }
    }
}

/// What the members of a role received and sent.
#[derive(Clone, Copy)]
struct TrafficVolumes {
    received: Volume,
    sent: Volume,
}

/// The figures of a fleet of gateway processes.
pub(super) fn figures_of_processes(scenario: &Scenario, measurement: &FleetMeasurement) -> Figures {
    let mut figures = Figures::default();
    let [gateways, switches] = [scenario.gateways, scenario.switches].map(f64::from);
    add_flows_of_processes(&mut figures, measurement, gateways, switches);
    let (quiet, busy) = (&measurement.after_calls, &measurement.during_calls);
    let quiet_rate = processor_microseconds_per_second(quiet);
    let busy_rate = processor_microseconds_per_second(busy);
    // Calls account for what exceeds the processor time of the quiet time.
    let call_microseconds = (busy_rate - quiet_rate) * busy.duration.as_secs_f64();
    figures.add(PROCESSOR_PER_CALL, Some(call_microseconds / measurement.planned_calls as f64));
    figures.add(PROCESSOR_PER_SECOND, Some(busy_rate / gateways));
    figures.add(PROCESSOR_PER_QUIET_SECOND, Some(quiet_rate / gateways));
    let connections = busy.caller_connections + busy.switch_connections;
    figures.add(GATEWAY_CONNECTIONS, Some(connections as f64 / gateways));
    figures.add(SWITCH_CONNECTIONS, Some(busy.switch_connections as f64 / switches));
    figures.add(GATEWAY_MEMORY, Some(busy.resident_bytes as f64 / gateways));
    figures
}

fn add_flows_of_processes(
    figures: &mut Figures,
    measurement: &FleetMeasurement,
    gateways: f64,
    switches: f64,
) {
    let (quiet, busy) = (&measurement.after_calls, &measurement.during_calls);
    let [quiet_seconds, busy_seconds] = [quiet, busy].map(|window| window.duration.as_secs_f64());
    let calls = gateway_volumes(busy, call_volume);
    figures.add_flow(GATEWAY_CALL_FLOW, calls, measurement.planned_calls as f64);
    figures.add_flow(
        GATEWAY_TOTAL_FLOW,
        gateway_volumes(busy, |lines| lines.total_volume()),
        gateways * busy_seconds,
    );
    let switch_seconds = switches * busy_seconds;
    figures.add_flow(SWITCH_CALL_FLOW, switch_volumes(busy, call_volume), switch_seconds);
    figures.add_flow(SWITCH_TEST_FLOW, switch_volumes(busy, test_volume), switch_seconds);
    figures.add_flow(SWITCH_TOTAL_FLOW, switch_volumes(busy, |lines| lines.total_volume()), switch_seconds);
    let of_gateway = TrafficVolumes { received: quiet.list_answers, sent: quiet.list_queries };
    figures.add_flow(GATEWAY_LIST_FLOW, of_gateway, gateways * quiet_seconds);
    let of_source = TrafficVolumes { received: quiet.list_queries, sent: quiet.list_answers };
    figures.add_flow(SOURCE_LIST_FLOW, of_source, quiet_seconds);
}

fn gateway_volumes(window: &Observation, volume: impl Fn(&VolumeByVerb) -> Volume) -> TrafficVolumes {
    TrafficVolumes {
        received: sum(volume(&window.from_callers), volume(&window.from_switches)),
        sent: sum(volume(&window.to_callers), volume(&window.to_switches)),
    }
}

fn switch_volumes(window: &Observation, volume: impl Fn(&VolumeByVerb) -> Volume) -> TrafficVolumes {
    TrafficVolumes { received: volume(&window.to_switches), sent: volume(&window.from_switches) }
}

fn sum(one: Volume, other: Volume) -> Volume {
    Volume { messages: one.messages + other.messages, bytes: one.bytes + other.bytes }
}

fn processor_microseconds_per_second(window: &Observation) -> f64 {
    window.processor_time.as_secs_f64() * MICROSECONDS_PER_SECOND / window.duration.as_secs_f64()
}

/// The figures of a fleet of hollow gateways, from a simulation without calls and one with calls.
pub(super) fn figures_of_hollow(quiet: &Outcome, busy: &Outcome) -> Figures {
    let mut figures = Figures::default();
    for flow in FLOWS {
        let outcome = if flow.situation == Situation::Quiet { quiet } else { busy };
        for kind in FLOW_QUANTITIES.map(|quantity| flow.kind(quantity)) {
            figures.add(kind, hollow_figure(outcome, kind));
        }
    }
    figures.add(PROCESSOR_PER_CALL, hollow_figure(busy, PROCESSOR_PER_CALL));
    figures.add(PROCESSOR_PER_SECOND, processor_per_second(busy));
    figures.add(PROCESSOR_PER_QUIET_SECOND, processor_per_second(quiet));
    for kind in [GATEWAY_CONNECTIONS, SWITCH_CONNECTIONS, GATEWAY_MEMORY] {
        figures.add(kind, busy.role(kind.role).held(kind.quantity));
    }
    figures
}

fn hollow_figure(outcome: &Outcome, kind: FigureKind) -> Option<f64> {
    match kind.per {
        Per::Call => outcome.mean_per_call(kind.role, kind.cause, kind.quantity),
        _ => outcome.mean_per_second(kind.role, kind.cause, kind.quantity),
    }
}

/// The sum over call path and control: a process runs both, and its processor time cannot be told apart by
/// role.
fn processor_per_second(outcome: &Outcome) -> Option<f64> {
    let per_second = |role| outcome.mean_per_second(role, Cause::All, Quantity::ProcessorMicroseconds);
    Some(per_second(Role::GatewayCalls)? + per_second(Role::GatewayControl)?)
}

/// A series over sizes for each kind of figure that `is_selected` accepts and that is not 0 at every size.
pub(super) fn series_by_size(
    size: Size,
    measured: &[(f64, Figures)],
    is_selected: impl Fn(&FigureKind) -> bool,
) -> Vec<Series> {
    let mut kinds: Vec<FigureKind> = Vec::new();
    for (kind, value) in measured.iter().flat_map(|(_, figures)| &figures.0) {
        if *value != 0.0 && is_selected(kind) && !kinds.contains(kind) {
            kinds.push(*kind);
        }
    }
    kinds.into_iter().map(|kind| one_series(size, measured, kind)).collect()
}

fn one_series(size: Size, measured: &[(f64, Figures)], kind: FigureKind) -> Series {
    let point =
        |(size, figures): &(f64, Figures)| figures.value(kind).map(|value| Point { size: *size, value });
    Series {
        role: kind.role,
        situation: kind.situation,
        cause: kind.cause,
        quantity: kind.quantity,
        per: kind.per,
        size,
        points: measured.iter().filter_map(point).collect(),
    }
}
