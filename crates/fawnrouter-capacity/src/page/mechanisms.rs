//! Which type implements what causes a cost, which requirements nothing implements, and which work would
//! bring a cost within its budget.

use super::rows::{Measure, Row};
use crate::design;
use crate::figures::{Cause, Quantity, Role, Situation, Size};
use crate::page::frequency::situations_per_day;

const CONTROLLER: &str = "`fawnrouter::Controller`";
const NODE: &str = "`fawnrouter_node::Node`";
const LIST_QUERIES: &str = "`fawnrouter_node::Ask`";
const LIST_UPDATES: &str = "`fawnrouter_node::Ask`, `fawnrouter_node::Pool`";
const CONFIGURATION_READING: &str = "`fawnrouter_node::Boot`";

/// The type, with its package, that causes a cost; none if nothing implements it.
pub(super) fn mechanism(role: Role, cause: Cause) -> Option<&'static str> {
    match role {
        Role::GatewayCalls => Some(call_path_mechanism(cause)),
        Role::GatewayControl => Some(control_mechanism(cause)),
        Role::CoreSwitch => Some(if cause == Cause::Calls { CONTROLLER } else { NODE }),
        Role::ListSource => Some(LIST_QUERIES),
        Role::ControlMachine | Role::Publisher => None,
        Role::ZoneLink | Role::RegionLink => link_mechanism(cause),
    }
}

fn call_path_mechanism(cause: Cause) -> &'static str {
    match cause {
        Cause::Calls => CONTROLLER,
        Cause::List => LIST_UPDATES,
        Cause::Configuration => CONFIGURATION_READING,
        Cause::Probes | Cause::Connections | Cause::Timers | Cause::All => NODE,
    }
}

fn control_mechanism(cause: Cause) -> &'static str {
    match cause {
        Cause::List | Cause::All => LIST_UPDATES,
        Cause::Configuration => CONFIGURATION_READING,
        Cause::Calls | Cause::Probes | Cause::Connections | Cause::Timers => NODE,
    }
}

fn link_mechanism(cause: Cause) -> Option<&'static str> {
    match cause {
        Cause::Calls => Some(CONTROLLER),
        Cause::List => Some(LIST_QUERIES),
        Cause::Configuration => None,
        Cause::Probes | Cause::Connections | Cause::Timers | Cause::All => Some(NODE),
    }
}

/// A piece of work that would bring a row within its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MissingWork {
    /// Distribution of list and configuration, so that a gateway gets only the list of its own service.
    Distribution,
    /// Less processor time for a call.
    CheaperHop,
    /// Fewer connections and tests between gateways and core switches.
    FewerConnections,
}

impl MissingWork {
    /// The label on the page.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Distribution => "distribution of list and configuration",
            Self::CheaperHop => "a cheaper hop: decision module and node",
            Self::FewerConnections => "fewer connections and tests between gateways and core switches",
        }
    }
}

/// The work that would bring a row within its budget. A row that is within its budget if the gateway sees
/// only the core switches of its own service needs the distribution of a list of just these.
pub(super) fn missing_work_of_row(row: &Row<'_>) -> MissingWork {
    let is_by_list = matches!(row.size, Size::SwitchesSeen | Size::ListBytes);
    let is_within_for_own_service = is_by_list && row.easier_ratio().is_some_and(|ratio| ratio <= 1.0);
    if is_within_for_own_service {
        return MissingWork::Distribution;
    }
    if row.measure == Measure::One(Quantity::Connections) {
        return MissingWork::FewerConnections;
    }
    missing_work(row.role, row.cause)
}

/// The work that would reduce a cost that is over its budget.
pub(super) fn missing_work(role: Role, cause: Cause) -> MissingWork {
    match (role, cause) {
        (Role::ControlMachine | Role::Publisher | Role::ListSource, _) => MissingWork::Distribution,
        (_, Cause::List | Cause::Configuration) => MissingWork::Distribution,
        (Role::GatewayControl, Cause::Timers | Cause::All) => MissingWork::Distribution,
        (_, Cause::Probes | Cause::Connections) => MissingWork::FewerConnections,
        (_, Cause::Calls | Cause::Timers | Cause::All) => MissingWork::CheaperHop,
    }
}

/// A requirement that nothing implements, so that there is nothing to measure.
pub(super) struct UnmetRequirement {
    pub(super) role: Role,
    pub(super) situation: Situation,
    pub(super) requirement: &'static str,
    pub(super) cases_per_day: f64,
    pub(super) missing: MissingWork,
}

/// All requirements that nothing implements.
pub(super) fn unmet_requirements() -> [UnmetRequirement; 6] {
    let unmet = |role, situation, requirement, cases_per_day| {
        let missing = MissingWork::Distribution;
        UnmetRequirement { role, situation, requirement, cases_per_day, missing }
    };
    [
        unmet(
            Role::Publisher,
            Situation::OrdinaryDay,
            "a change of configuration is in force at every gateway within 10 s",
            design::CHANGES_PER_DAY,
        ),
        unmet(
            Role::ControlMachine,
            Situation::OrdinaryDay,
            "one of three machines takes a change, keeps it, and serves it to the gateways",
            design::CHANGES_PER_DAY,
        ),
        unmet(
            Role::ControlMachine,
            Situation::ServiceRestart,
            "all gateways of a service that come back at once get list and configuration",
            situations_per_day(Situation::ServiceRestart),
        ),
        unmet(
            Role::Publisher,
            Situation::BadConfiguration,
            "how far a bad change went is known, and a newer one recalls it",
            situations_per_day(Situation::BadConfiguration),
        ),
        unmet(
            Role::ControlMachine,
            Situation::RegionsApart,
            "each region is served by its own control machine, and all stand at one state after the join",
            situations_per_day(Situation::RegionsApart),
        ),
        unmet(
            Role::ControlMachine,
            Situation::ZoneGone,
            "the gateways of a zone that come back at once get list and configuration",
            situations_per_day(Situation::ZoneGone),
        ),
    ]
}
