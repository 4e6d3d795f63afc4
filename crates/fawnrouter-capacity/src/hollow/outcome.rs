//! What a play showed.

use std::collections::BTreeMap;
use std::time::Duration;

use fawnrouter_jsonl::Verb;

use super::cost::{CAUSES, Cost, CostByCause, CostRecorder};
use super::members::HeldState;
use crate::figures::{Cause, Quantity, Role};

/// Messages of one type and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Volume {
    /// How many.
    pub messages: u64,
    /// Bytes in all.
    pub bytes: u64,
}

/// Messages by type, as the platform's page names the types.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VolumeByVerb(pub BTreeMap<&'static str, Volume>);

impl VolumeByVerb {
    pub(crate) fn add(&mut self, verb: Verb, bytes: usize) {
        let volume = self.0.entry(verb_name(verb)).or_default();
        volume.messages += 1;
        volume.bytes += bytes as u64;
    }

    /// Messages of a type.
    #[must_use]
    pub fn messages(&self, verb: Verb) -> u64 {
        self.0.get(verb_name(verb)).map_or(0, |volume| volume.messages)
    }

    /// All messages.
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

/// What became of the calls of a whole play.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls whose time came.
    pub attempted: u64,
    /// Answered: the call stood.
    pub established: u64,
    /// Answered: refused.
    pub refused: u64,
    /// Answered: failed.
    pub failed: u64,
    /// Their gateway vanished before it answered.
    pub gateway_lost: u64,
    /// No gateway of their service was there while they waited.
    pub no_gateway: u64,
    /// Not answered by a gateway that was there.
    pub unanswered: u64,
    /// Calls that stood and whose caller was told of the end.
    pub released: u64,
    /// Answers to calls that had one.
    pub answered_twice: u64,
    /// Lines for calls that their callers do not know, or know no more.
    pub unexpected_lines: u64,
    /// Set-ups of a call that its core switch holds already.
    pub set_up_twice: u64,
    /// Lines of gateways that are no messages, or name no call.
    pub unreadable: u64,
}

/// The list, over all gateways, while it was measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListCounts {
    /// Questions sent.
    pub queries: u64,
    /// Their bytes.
    pub query_bytes: u64,
    /// Answers received.
    pub responses: u64,
    /// Their bytes.
    pub response_bytes: u64,
    /// Questions and answers that were lost.
    pub lost: u64,
    /// Answers that could not be read.
    pub unreadable: u64,
    /// Answers with a list that the gateway did not have.
    pub changed: u64,
    /// What those cost.
    pub changed_cost: Cost,
    /// What the others cost.
    pub unchanged_cost: Cost,
    /// The longest time that a gateway had been without an answer.
    pub max_list_age: Duration,
}

/// Configurations read while it was measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationCounts {
    /// How many.
    pub read: u64,
    /// Bytes of them all.
    pub bytes: u64,
    /// What they cost, with the gateway built from them.
    pub cost: Cost,
}

/// What the members of a role bore while it was measured.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoleOutcome {
    /// How many there are.
    pub members: u32,
    /// All of them together.
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

    /// Memory that each member held at the end of the play.
    pub(crate) fn set_memory(&mut self, bytes: f64) {
        self.held.insert(Quantity::MemoryBytes, bytes);
    }

    /// What one member bears, in the mean over members.
    #[must_use]
    pub fn mean(&self, cause: Cause, quantity: Quantity) -> Option<f64> {
        self.total.for_cause(cause).quantity_value(quantity).map(|all| all / f64::from(self.members.max(1)))
    }

    /// What the busiest member bears from the start of what is measured to its end.
    #[must_use]
    pub fn busiest_member(&self, cause: Cause, quantity: Quantity) -> Option<f64> {
        self.busiest.get(&cause).and_then(|cost| cost.quantity_value(quantity))
    }

    /// What the busiest member bears in its busiest second.
    #[must_use]
    pub fn busiest_member_second(&self, cause: Cause, quantity: Quantity) -> Option<f64> {
        self.busiest_second.get(&cause).and_then(|cost| cost.quantity_value(quantity))
    }

    /// What one member holds at the end of what is measured, in the mean over members.
    #[must_use]
    pub fn held(&self, quantity: Quantity) -> Option<f64> {
        self.held.get(&quantity).copied()
    }

    /// The most that one member held at any look, of which there is one a second.
    #[must_use]
    pub fn max_held(&self, quantity: Quantity) -> Option<f64> {
        self.max_held.get(&quantity).copied()
    }
}

/// What a play showed. Counts are exact under a seed; processor time, allocations and memory are as measured.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// How long it was measured.
    pub measured: Duration,
    /// Set-ups that callers sent while it was measured.
    pub measured_calls: u64,
    /// What became of all calls of the play.
    pub calls: CallCounts,
    /// The list.
    pub list: ListCounts,
    /// Configurations.
    pub configurations: ConfigurationCounts,
    /// Written to core switches.
    pub to_switches: VolumeByVerb,
    /// Received from core switches.
    pub from_switches: VolumeByVerb,
    /// Written to callers.
    pub to_callers: VolumeByVerb,
    /// Received from callers.
    pub from_callers: VolumeByVerb,
    /// What the roles bore.
    pub roles: BTreeMap<Role, RoleOutcome>,
}

impl Outcome {
    /// What a role bore. A role that is not played has no members.
    #[must_use]
    pub fn role(&self, role: Role) -> RoleOutcome {
        self.roles.get(&role).cloned().unwrap_or_default()
    }

    /// What one member of a role bears in a second, in the mean over members and seconds.
    #[must_use]
    pub fn mean_per_second(&self, role: Role, cause: Cause, quantity: Quantity) -> Option<f64> {
        self.roles.get(&role)?.mean(cause, quantity).map(|mean| mean / self.measured.as_secs_f64())
    }

    /// What a call brings to all members of a role together; `None` without calls.
    #[must_use]
    pub fn mean_per_call(&self, role: Role, cause: Cause, quantity: Quantity) -> Option<f64> {
        let all = self.roles.get(&role)?.total.for_cause(cause).quantity_value(quantity)?;
        (self.measured_calls > 0).then(|| all / self.measured_calls as f64)
    }

    /// Memory that one gateway held at the end, if it was counted.
    #[must_use]
    pub fn gateway_memory_bytes(&self) -> Option<f64> {
        self.roles.get(&Role::GatewayCalls)?.held(Quantity::MemoryBytes)
    }
}
