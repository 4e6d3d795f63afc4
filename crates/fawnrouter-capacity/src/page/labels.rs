//! The words of the page for what the report names.

use super::rows::Measure;
use crate::figures::{Cause, Method, Per, Quantity, Role, Run, Situation, Size};

pub(super) const ROLES: [Role; 8] = [
    Role::GatewayCalls,
    Role::GatewayControl,
    Role::CoreSwitch,
    Role::ListSource,
    Role::ControlMachine,
    Role::Publisher,
    Role::ZoneLink,
    Role::RegionLink,
];

pub(super) const SITUATIONS: [Situation; 8] = [
    Situation::Quiet,
    Situation::OrdinaryDay,
    Situation::MachineGone,
    Situation::RackGone,
    Situation::ZoneGone,
    Situation::RegionsApart,
    Situation::ServiceRestart,
    Situation::BadConfiguration,
];

pub(super) const SIZES: [Size; 6] = [
    Size::SwitchesSeen,
    Size::Gateways,
    Size::CallsPerSecond,
    Size::Depth,
    Size::ListBytes,
    Size::ChangesPerDay,
];

pub(super) fn role(role: Role) -> &'static str {
    match role {
        Role::GatewayCalls => "a gateway's call path",
        Role::GatewayControl => "a gateway's control",
        Role::CoreSwitch => "a core switch",
        Role::ListSource => "the source of the list",
        Role::ControlMachine => "a control machine",
        Role::Publisher => "the publisher",
        Role::ZoneLink => "a zone's link",
        Role::RegionLink => "a region's link",
    }
}

pub(super) fn situation(situation: Situation) -> &'static str {
    match situation {
        Situation::Quiet => "quiet second",
        Situation::OrdinaryDay => "ordinary day",
        Situation::MachineGone => "one machine gone",
        Situation::RackGone => "a rack gone",
        Situation::ZoneGone => "a zone gone and back",
        Situation::RegionsApart => "regions apart and joined",
        Situation::ServiceRestart => "a service restarted",
        Situation::BadConfiguration => "bad configuration",
    }
}

pub(super) fn cause(cause: Cause) -> &'static str {
    match cause {
        Cause::Calls => "calls",
        Cause::Probes => "tests of core switches",
        Cause::List => "list",
        Cause::Connections => "opening and closing connections",
        Cause::Timers => "timers",
        Cause::Configuration => "configuration",
        Cause::All => "all causes",
    }
}

pub(super) fn quantity(quantity: Quantity) -> &'static str {
    match quantity {
        Quantity::MessagesIn => "messages in",
        Quantity::MessagesOut => "messages out",
        Quantity::BytesIn => "bytes in",
        Quantity::BytesOut => "bytes out",
        Quantity::ProcessorMicroseconds => "processor time",
        Quantity::Allocations => "allocations",
        Quantity::MemoryBytes => "memory",
        Quantity::Connections => "connections",
        Quantity::StateEntries => "state entries",
    }
}

pub(super) fn measure(measure: Measure) -> &'static str {
    match measure {
        Measure::One(one) => quantity(one),
        Measure::BytesBothWays => "bytes in and out",
    }
}

/// What is counted, what it comes from, and over what it is counted.
pub(super) fn what(of: Measure, from: Cause, over: Per) -> String {
    format!("{}, {}, {}", measure(of), cause(from), per(over))
}

pub(super) fn per(per: Per) -> &'static str {
    match per {
        Per::Second => "a second",
        Per::PeakSecond => "in the busiest second",
        Per::Call => "a call",
        Per::Event => "an event",
        Per::Held => "held",
        Per::Situation => "from start to end",
    }
}

pub(super) fn size(size: Size) -> &'static str {
    match size {
        Size::SwitchesSeen => "switches seen",
        Size::Gateways => "gateways",
        Size::CallsPerSecond => "calls/s at a gateway",
        Size::Depth => "depth",
        Size::ListBytes => "bytes of the list",
        Size::ChangesPerDay => "changes a day",
    }
}

pub(super) fn method(method: Method) -> &'static str {
    match method {
        Method::Hollow => "hollow",
        Method::Processes => "processes",
    }
}

/// The sentence begins with a capital letter.
pub(super) fn capitalised(text: &str) -> String {
    let mut letters = text.chars();
    letters.next().map(|first| first.to_uppercase().chain(letters).collect()).unwrap_or_default()
}

/// What a run held fixed, without back quotes: on the page they mark runs and types.
pub(super) fn setting(run: &Run) -> String {
    run.setting.replace('`', "")
}

/// A run as the page cites it.
pub(super) fn cited(run_id: &str) -> String {
    format!("`{run_id}`")
}
