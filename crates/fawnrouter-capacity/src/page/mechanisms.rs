//! What carries a cost today, what is wanted and carried by nothing, and what would be missing first.

use super::rows::{Measure, Row};
use crate::design;
use crate::figures::{Cause, Quantity, Role, Situation, Size};
use crate::page::frequency::situations_per_day;

const DECISIONS: &str = "`fawnrouter::Controller`";
const NODE: &str = "`fawnrouter_node::Node`";
const QUESTIONS: &str = "`fawnrouter_node::Ask`";
const LIST_TAKEN: &str = "`fawnrouter_node::Ask`, `fawnrouter_node::Pool`";
const FILE_READ: &str = "`fawnrouter_node::Boot`";

/// The package and type that carries a cost; none where nothing does.
pub(super) fn mechanism(role: Role, cause: Cause) -> Option<&'static str> {
    match role {
        Role::GatewayCalls => Some(of_the_call_path(cause)),
        Role::GatewayControl => Some(of_control(cause)),
        Role::CoreSwitch => Some(if cause == Cause::Calls { DECISIONS } else { NODE }),
        Role::ListSource => Some(QUESTIONS),
        Role::ControlMachine | Role::Publisher => None,
        Role::ZoneLink | Role::RegionLink => of_a_link(cause),
    }
}

fn of_the_call_path(cause: Cause) -> &'static str {
    match cause {
        Cause::Calls => DECISIONS,
        Cause::List => LIST_TAKEN,
        Cause::Configuration => FILE_READ,
        Cause::Probes | Cause::Connections | Cause::Timers | Cause::All => NODE,
    }
}

fn of_control(cause: Cause) -> &'static str {
    match cause {
        Cause::List | Cause::All => LIST_TAKEN,
        Cause::Configuration => FILE_READ,
        Cause::Calls | Cause::Probes | Cause::Connections | Cause::Timers => NODE,
    }
}

fn of_a_link(cause: Cause) -> Option<&'static str> {
    match cause {
        Cause::Calls => Some(DECISIONS),
        Cause::List => Some(QUESTIONS),
        Cause::Configuration => None,
        Cause::Probes | Cause::Connections | Cause::Timers | Cause::All => Some(NODE),
    }
}

/// A piece of work that would bring a row within its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Missing {
    Distribution,
    CheaperHop,
    FewerConnections,
}

impl Missing {
    pub(super) fn words(self) -> &'static str {
        match self {
            Self::Distribution => "distribution of list and configuration",
            Self::CheaperHop => "a cheaper hop: decision module and node",
            Self::FewerConnections => "fewer connections and tests between gateways and core switches",
        }
    }
}

/// What a row that is over its budget is missing. One that is within it as soon as its gateway sees the core switches of
/// its own service only is missing a list of just these.
pub(super) fn missing_of_row(row: &Row<'_>) -> Missing {
    let is_by_list = matches!(row.size, Size::SwitchesSeen | Size::ListBytes);
    let is_within_for_own_service = is_by_list && row.easier_ratio().is_some_and(|ratio| ratio <= 1.0);
    if is_within_for_own_service {
        return Missing::Distribution;
    }
    if row.measure == Measure::One(Quantity::Connections) {
        return Missing::FewerConnections;
    }
    missing(row.role, row.cause)
}

/// What a cost that is too high is missing.
pub(super) fn missing(role: Role, cause: Cause) -> Missing {
    match (role, cause) {
        (Role::ControlMachine | Role::Publisher | Role::ListSource, _) => Missing::Distribution,
        (_, Cause::List | Cause::Configuration) => Missing::Distribution,
        (Role::GatewayControl, Cause::Timers | Cause::All) => Missing::Distribution,
        (_, Cause::Probes | Cause::Connections) => Missing::FewerConnections,
        (_, Cause::Calls | Cause::Timers | Cause::All) => Missing::CheaperHop,
    }
}

/// Something that the letter asks for and no mechanism carries, so that there is nothing to measure.
pub(super) struct Unserved {
    pub(super) role: Role,
    pub(super) situation: Situation,
    pub(super) wanted: &'static str,
    pub(super) cases_per_day: f64,
    pub(super) missing: Missing,
}

/// All that is asked for and carried by nothing.
pub(super) fn unserved() -> [Unserved; 6] {
    let of = |role, situation, wanted, cases_per_day| {
        let missing = Missing::Distribution;
        Unserved { role, situation, wanted, cases_per_day, missing }
    };
    let often = situations_per_day;
    [
        of(
            Role::Publisher,
            Situation::OrdinaryDay,
            "a change of configuration is in force at every gateway within 10 s",
            design::CHANGES_PER_DAY,
        ),
        of(
            Role::ControlMachine,
            Situation::OrdinaryDay,
            "one of three machines takes a change, keeps it, and serves it to the gateways",
            design::CHANGES_PER_DAY,
        ),
        of(
            Role::ControlMachine,
            Situation::ServiceRestart,
            "all gateways of a service that come back at once get list and configuration",
            often(Situation::ServiceRestart),
        ),
        of(
            Role::Publisher,
            Situation::BadConfiguration,
            "how far a bad change went is known, and a newer one recalls it",
            often(Situation::BadConfiguration),
        ),
        of(
            Role::ControlMachine,
            Situation::RegionsApart,
            "each region is served by its own control machine, and all stand at one state after the join",
            often(Situation::RegionsApart),
        ),
        of(
            Role::ControlMachine,
            Situation::ZoneGone,
            "the gateways of a zone that come back at once get list and configuration",
            often(Situation::ZoneGone),
        ),
    ]
}
