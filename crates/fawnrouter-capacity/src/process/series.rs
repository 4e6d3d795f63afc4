//! Series from what gateway processes and their hollow counterpart showed, by the same definitions for both.

use crate::figures::{Cause, Per, Point, Quantity, Role, Series, Situation, Size};
use crate::hollow::{Outcome, Scenario, Volume};
use crate::process::fleet::{FleetMeasurement, Observation};
use crate::process::line_counts::{call_volume, test_volume};

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// What a figure is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Kind {
    pub role: Role,
    pub situation: Situation,
    pub cause: Cause,
    pub quantity: Quantity,
    pub per: Per,
}

/// What messages and bytes are counted of: in each direction, so that the quantity is filled in four times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Flow {
    role: Role,
    situation: Situation,
    cause: Cause,
    per: Per,
}

impl Flow {
    const fn on_the_ordinary_day(role: Role, cause: Cause, per: Per) -> Self {
        Self { role, situation: Situation::OrdinaryDay, cause, per }
    }

    const fn of_the_list(role: Role) -> Self {
        Self { role, situation: Situation::Quiet, cause: Cause::List, per: Per::Second }
    }

    fn kind(self, quantity: Quantity) -> Kind {
        let Self { role, situation, cause, per } = self;
        Kind { role, situation, cause, quantity, per }
    }
}

const CALLS_OF_A_GATEWAY: Flow = Flow::on_the_ordinary_day(Role::GatewayCalls, Cause::Calls, Per::Call);
const SECONDS_OF_A_GATEWAY: Flow = Flow::on_the_ordinary_day(Role::GatewayCalls, Cause::All, Per::Second);
const CALLS_OF_A_SWITCH: Flow = Flow::on_the_ordinary_day(Role::CoreSwitch, Cause::Calls, Per::Second);
const TESTS_OF_A_SWITCH: Flow = Flow::on_the_ordinary_day(Role::CoreSwitch, Cause::Probes, Per::Second);
const SECONDS_OF_A_SWITCH: Flow = Flow::on_the_ordinary_day(Role::CoreSwitch, Cause::All, Per::Second);
const LIST_OF_A_GATEWAY: Flow = Flow::of_the_list(Role::GatewayControl);
const LIST_OF_THE_SOURCE: Flow = Flow::of_the_list(Role::ListSource);
const FLOWS: [Flow; 7] = [
    CALLS_OF_A_GATEWAY,
    SECONDS_OF_A_GATEWAY,
    CALLS_OF_A_SWITCH,
    TESTS_OF_A_SWITCH,
    SECONDS_OF_A_SWITCH,
    LIST_OF_A_GATEWAY,
    LIST_OF_THE_SOURCE,
];
const FLOWING: [Quantity; 4] =
    [Quantity::MessagesIn, Quantity::MessagesOut, Quantity::BytesIn, Quantity::BytesOut];

const fn held(role: Role, quantity: Quantity) -> Kind {
    Kind { role, situation: Situation::OrdinaryDay, cause: Cause::All, quantity, per: Per::Held }
}

const CONNECTIONS_OF_A_GATEWAY: Kind = held(Role::GatewayCalls, Quantity::Connections);
const MEMORY_OF_A_GATEWAY: Kind = held(Role::GatewayCalls, Quantity::MemoryBytes);
const CONNECTIONS_OF_A_SWITCH: Kind = held(Role::CoreSwitch, Quantity::Connections);

const fn processor(role: Role, situation: Situation, cause: Cause, per: Per) -> Kind {
    Kind { role, situation, cause, quantity: Quantity::ProcessorMicroseconds, per }
}

const PROCESSOR_PER_CALL: Kind =
    processor(Role::GatewayCalls, Situation::OrdinaryDay, Cause::Calls, Per::Call);
const PROCESSOR_PER_SECOND: Kind =
    processor(Role::GatewayCalls, Situation::OrdinaryDay, Cause::All, Per::Second);
const PROCESSOR_PER_QUIET_SECOND: Kind =
    processor(Role::GatewayControl, Situation::Quiet, Cause::All, Per::Second);

/// All figures of one size.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Figures(Vec<(Kind, f64)>);

impl Figures {
    fn add(&mut self, kind: Kind, value: Option<f64>) {
        self.0.extend(value.filter(|value| value.is_finite()).map(|value| (kind, value)));
    }

    fn of(&self, kind: Kind) -> Option<f64> {
        self.0.iter().find(|(other, _)| *other == kind).map(|(_, value)| *value)
    }

    /// Messages and bytes in each direction, divided by what they are counted over.
    fn add_flow(&mut self, flow: Flow, ways: Ways, over: f64) {
        let counts = [ways.received.messages, ways.sent.messages, ways.received.bytes, ways.sent.bytes];
        for (quantity, count) in FLOWING.into_iter().zip(counts) {
            self.add(flow.kind(quantity), Some(count as f64 / over));
        }
    }
}

/// What a role received and sent.
#[derive(Clone, Copy)]
struct Ways {
    received: Volume,
    sent: Volume,
}

/// What gateway processes showed.
pub(super) fn of_processes(scenario: &Scenario, played: &FleetMeasurement) -> Figures {
    let mut figures = Figures::default();
    let [gateways, switches] = [scenario.gateways, scenario.switches].map(f64::from);
    add_flows_of_processes(&mut figures, played, gateways, switches);
    let (quiet, busy) = (&played.after_calls, &played.during_calls);
    let quiet_rate = microseconds_per_second(quiet);
    let busy_rate = microseconds_per_second(busy);
    let of_calls = (busy_rate - quiet_rate) * busy.duration.as_secs_f64();
    figures.add(PROCESSOR_PER_CALL, Some(of_calls / played.planned_calls as f64));
    figures.add(PROCESSOR_PER_SECOND, Some(busy_rate / gateways));
    figures.add(PROCESSOR_PER_QUIET_SECOND, Some(quiet_rate / gateways));
    let connections = busy.caller_connections + busy.switch_connections;
    figures.add(CONNECTIONS_OF_A_GATEWAY, Some(connections as f64 / gateways));
    figures.add(CONNECTIONS_OF_A_SWITCH, Some(busy.switch_connections as f64 / switches));
    figures.add(MEMORY_OF_A_GATEWAY, Some(busy.resident_bytes as f64 / gateways));
    figures
}

fn add_flows_of_processes(figures: &mut Figures, played: &FleetMeasurement, gateways: f64, switches: f64) {
    let (quiet, busy) = (&played.after_calls, &played.during_calls);
    let [quiet_seconds, busy_seconds] = [quiet, busy].map(|observed| observed.duration.as_secs_f64());
    let calls = ways_of_a_gateway(busy, call_volume);
    figures.add_flow(CALLS_OF_A_GATEWAY, calls, played.planned_calls as f64);
    figures.add_flow(
        SECONDS_OF_A_GATEWAY,
        ways_of_a_gateway(busy, |lines| lines.total_volume()),
        gateways * busy_seconds,
    );
    let switch_seconds = switches * busy_seconds;
    figures.add_flow(CALLS_OF_A_SWITCH, ways_of_a_switch(busy, call_volume), switch_seconds);
    figures.add_flow(TESTS_OF_A_SWITCH, ways_of_a_switch(busy, test_volume), switch_seconds);
    figures.add_flow(
        SECONDS_OF_A_SWITCH,
        ways_of_a_switch(busy, |lines| lines.total_volume()),
        switch_seconds,
    );
    let of_gateway = Ways { received: quiet.list_answers, sent: quiet.list_queries };
    figures.add_flow(LIST_OF_A_GATEWAY, of_gateway, gateways * quiet_seconds);
    let of_source = Ways { received: quiet.list_queries, sent: quiet.list_answers };
    figures.add_flow(LIST_OF_THE_SOURCE, of_source, quiet_seconds);
}

fn ways_of_a_gateway(
    observed: &Observation,
    volume: impl Fn(&crate::hollow::VolumeByVerb) -> Volume,
) -> Ways {
    Ways {
        received: both(volume(&observed.from_callers), volume(&observed.from_switches)),
        sent: both(volume(&observed.to_callers), volume(&observed.to_switches)),
    }
}

fn ways_of_a_switch(observed: &Observation, volume: impl Fn(&crate::hollow::VolumeByVerb) -> Volume) -> Ways {
    Ways { received: volume(&observed.to_switches), sent: volume(&observed.from_switches) }
}

fn both(one: Volume, other: Volume) -> Volume {
    Volume { messages: one.messages + other.messages, bytes: one.bytes + other.bytes }
}

fn microseconds_per_second(observed: &Observation) -> f64 {
    observed.processor_time.as_secs_f64() * MICROSECONDS_PER_SECOND / observed.duration.as_secs_f64()
}

/// What hollow gateways showed without calls and with them.
pub(super) fn of_hollow(quiet: &Outcome, busy: &Outcome) -> Figures {
    let mut figures = Figures::default();
    for flow in FLOWS {
        let outcome = if flow.situation == Situation::Quiet { quiet } else { busy };
        for kind in FLOWING.map(|quantity| flow.kind(quantity)) {
            figures.add(kind, hollow_figure(outcome, kind));
        }
    }
    figures.add(PROCESSOR_PER_CALL, hollow_figure(busy, PROCESSOR_PER_CALL));
    figures.add(PROCESSOR_PER_SECOND, processor_per_second(busy));
    figures.add(PROCESSOR_PER_QUIET_SECOND, processor_per_second(quiet));
    for kind in [CONNECTIONS_OF_A_GATEWAY, CONNECTIONS_OF_A_SWITCH, MEMORY_OF_A_GATEWAY] {
        figures.add(kind, busy.role(kind.role).held(kind.quantity));
    }
    figures
}

fn hollow_figure(outcome: &Outcome, kind: Kind) -> Option<f64> {
    match kind.per {
        Per::Call => outcome.mean_per_call(kind.role, kind.cause, kind.quantity),
        _ => outcome.mean_per_second(kind.role, kind.cause, kind.quantity),
    }
}

/// A process does both the calls and the control of its gateway.
fn processor_per_second(outcome: &Outcome) -> Option<f64> {
    let of = |role| outcome.mean_per_second(role, Cause::All, Quantity::ProcessorMicroseconds);
    Some(of(Role::GatewayCalls)? + of(Role::GatewayControl)?)
}

/// One series for each wanted figure that is not 0 at all sizes.
pub(super) fn series(size: Size, measured: &[(f64, Figures)], wanted: impl Fn(&Kind) -> bool) -> Vec<Series> {
    let mut kinds: Vec<Kind> = Vec::new();
    for (kind, value) in measured.iter().flat_map(|(_, figures)| &figures.0) {
        if *value != 0.0 && wanted(kind) && !kinds.contains(kind) {
            kinds.push(*kind);
        }
    }
    kinds.into_iter().map(|kind| one_series(size, measured, kind)).collect()
}

fn one_series(size: Size, measured: &[(f64, Figures)], kind: Kind) -> Series {
    let point = |(size, figures): &(f64, Figures)| figures.of(kind).map(|value| Point { size: *size, value });
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
