//! The result of a simulation.

use std::collections::BTreeMap;
use std::time::Duration;

use fawnrouter_jsonl::Verb;

use super::cost::{CAUSES, Cost, CostByCause, CostRecorder};
use super::members::HeldState;
use crate::figures::{Cause, Quantity, Role};

/// Number and bytes of messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Volume {
    /// Number of messages.
    pub messages: u64,
    /// Bytes of all messages.
    pub bytes: u64,
}

/// Volume of messages by verb, under the verbs' names on the wire.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VolumeByVerb(pub BTreeMap<&'static str, Volume>);

impl VolumeByVerb {
    pub(crate) fn add(&mut self, verb: Verb, bytes: usize) {
        let volume = self.0.entry(verb_name(verb)).or_default();
        volume.messages += 1;
        volume.bytes += bytes as u64;
    }

    /// Number of messages with this verb.
    #[must_use]
    pub fn messages(&self, verb: Verb) -> u64 {
        self.0.get(verb_name(verb)).map_or(0, |volume| volume.messages)
    }

    /// Volume of all messages.
    #[must_use]
    pub fn total_volume(&self) -> Volume {
        let sum = |sum: Volume, one: &Volume| Volume {
            messages: sum.messages + one.messages,
            bytes: sum.bytes + one.bytes,
        };
        self.0.values().fold(Volume::default(), sum)
    }
}

fn verb_name(verb: Verb) -> &'static str {
    match verb {
        Verb::Start => "START",
        Verb::Pending => "PENDING",
        Verb::Started => "STARTED",
        Verb::Finish => "FINISH",
        Verb::Finished => "FINISHED",
        Verb::Echo => "ECHO",
        Verb::Echoed => "ECHOED",
        Verb::Load => "LOAD",
        Verb::Other => "OTHER",
    }
}

/// Outcomes of all calls of a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls whose planned time has come.
    pub attempted: u64,
    /// Calls that a core switch accepted and whose caller received the answer.
    pub established: u64,
    /// Calls refused with a cause after which another attempt does no harm.
    pub refused: u64,
    /// Calls that failed with another cause.
    pub failed: u64,
    /// Calls whose gateway went away before it answered.
    pub gateway_lost: u64,
    /// Calls that found no running gateway in their service until their time-out.
    pub no_gateway: u64,
    /// Calls that a running gateway did not answer in time.
    pub unanswered: u64,
    /// Established calls whose caller received the release.
    pub released: u64,
    /// Answers to calls that were answered before.
    pub answered_twice: u64,
    /// Answers and releases of calls that the caller does not know, or no longer knows.
    pub unexpected_lines: u64,
    /// Set-ups of a call that its core switch already holds.
    pub set_up_twice: u64,
    /// Lines written by gateways that are no messages or have no tag.
    pub unreadable: u64,
}

/// Queries and responses of the list during the measurement, over all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListCounts {
    /// Queries sent.
    pub queries: u64,
    /// Bytes of all queries.
    pub query_bytes: u64,
    /// Responses received.
    pub responses: u64,
    /// Bytes of all responses.
    pub response_bytes: u64,
    /// Queries and responses that were lost.
    pub lost: u64,
    /// Responses that could not be decoded.
    pub unreadable: u64,
    /// Responses with a list that the gateway did not have yet.
    pub changed: u64,
    /// Cost of processing the responses that changed the list.
    pub changed_cost: Cost,
    /// Cost of processing the other responses.
    pub unchanged_cost: Cost,
    /// Longest time that a gateway had gone without a response.
    pub max_list_age: Duration,
}

/// Configurations read by gateways during the measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationCounts {
    /// Number of configurations.
    pub read: u64,
    /// Bytes of all configurations.
    pub bytes: u64,
    /// Cost of reading them and building the gateways.
    pub cost: Cost,
}

/// Costs of the members of a role during the measurement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoleOutcome {
    /// Number of members.
    pub members: u32,
    /// Costs of all members together.
    pub total: CostByCause,
    busiest: BTreeMap<Cause, Cost>,
    busiest_second: BTreeMap<Cause, Cost>,
    held: BTreeMap<Quantity, f64>,
    max_held: BTreeMap<Quantity, f64>,
}

impl RoleOutcome {
    pub(crate) fn new<'a>(members: impl Iterator<Item = (&'a mut CostRecorder, HeldState)>) -> Self {
        let mut role = Self::default();
        let mut sum = HeldState::default();
        for (costs, held) in members {
            role.members += 1;
            let total = costs.finish();
            role.total.add_each(&total);
            for cause in CAUSES.into_iter().chain([Cause::All]) {
                role.busiest.entry(cause).or_default().raise_to_max(total.for_cause(cause));
                role.busiest_second.entry(cause).or_default().raise_to_max(costs.peak(cause));
            }
            sum.connections += held.connections;
            sum.entries += held.entries;
            sum.max_connections = sum.max_connections.max(held.max_connections);
            sum.max_entries = sum.max_entries.max(held.max_entries);
        }
        let members = f64::from(role.members.max(1));
        role.held.insert(Quantity::Connections, sum.connections as f64 / members);
        role.held.insert(Quantity::StateEntries, sum.entries as f64 / members);
        role.max_held.insert(Quantity::Connections, sum.max_connections as f64);
        role.max_held.insert(Quantity::StateEntries, sum.max_entries as f64);
        role
    }

    /// Sets the memory of one member at the end of the simulation.
    pub(crate) fn set_memory(&mut self, bytes: f64) {
        self.held.insert(Quantity::MemoryBytes, bytes);
    }

    /// Cost of one member over the whole measurement, mean over members.
    #[must_use]
    pub fn mean(&self, cause: Cause, quantity: Quantity) -> Option<f64> {
        self.total.for_cause(cause).quantity_value(quantity).map(|all| all / f64::from(self.members.max(1)))
    }

    /// Cost of the busiest member over the whole measurement.
    #[must_use]
    pub fn busiest_member(&self, cause: Cause, quantity: Quantity) -> Option<f64> {
        self.busiest.get(&cause).and_then(|cost| cost.quantity_value(quantity))
    }

    /// Cost of the busiest member in its busiest second.
    #[must_use]
    pub fn busiest_member_second(&self, cause: Cause, quantity: Quantity) -> Option<f64> {
        self.busiest_second.get(&cause).and_then(|cost| cost.quantity_value(quantity))
    }

    /// What one member holds at the end of the measurement, mean over members.
    #[must_use]
    pub fn held(&self, quantity: Quantity) -> Option<f64> {
        self.held.get(&quantity).copied()
    }

    /// The most that any member held at a sample. Samples are taken once a second.
    #[must_use]
    pub fn max_held(&self, quantity: Quantity) -> Option<f64> {
        self.max_held.get(&quantity).copied()
    }
}

/// The result of a simulation. Counts are exact for a given seed; processor time, allocations and memory are
/// measured.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Duration of the measurement.
    pub measured: Duration,
    /// Set-ups that callers sent during the measurement.
    pub measured_calls: u64,
    /// Outcomes of all calls, also before and after the measurement.
    pub calls: CallCounts,
    /// Queries and responses of the list.
    pub list: ListCounts,
    /// Configurations read.
    pub configurations: ConfigurationCounts,
    /// Messages written to core switches.
    pub to_switches: VolumeByVerb,
    /// Messages received from core switches.
    pub from_switches: VolumeByVerb,
    /// Messages written to callers.
    pub to_callers: VolumeByVerb,
    /// Messages received from callers.
    pub from_callers: VolumeByVerb,
    /// Costs by role.
    pub roles: BTreeMap<Role, RoleOutcome>,
}

impl Outcome {
    /// Costs of a role. A role that is not simulated has no members.
    #[must_use]
    pub fn role(&self, role: Role) -> RoleOutcome {
        self.roles.get(&role).cloned().unwrap_or_default()
    }

    /// Cost of one member of a role per second, mean over members and seconds.
    #[must_use]
    pub fn mean_per_second(&self, role: Role, cause: Cause, quantity: Quantity) -> Option<f64> {
        self.roles.get(&role)?.mean(cause, quantity).map(|mean| mean / self.measured.as_secs_f64())
    }

    /// Cost of one call to all members of a role together; `None` without calls.
    #[must_use]
    pub fn mean_per_call(&self, role: Role, cause: Cause, quantity: Quantity) -> Option<f64> {
        let all = self.roles.get(&role)?.total.for_cause(cause).quantity_value(quantity)?;
        (self.measured_calls > 0).then(|| all / self.measured_calls as f64)
    }

    /// Memory of one gateway in bytes at the end of the simulation, if it was counted.
    #[must_use]
    pub fn gateway_memory_bytes(&self) -> Option<f64> {
        self.roles.get(&Role::GatewayCalls)?.held(Quantity::MemoryBytes)
    }
}
