//! Simulation of hundreds of gateways in one process, without sockets and in virtual time. It measures what a
//! fleet costs, by role and cause.
//!
//! The gateways run the real code ([`fawnrouter_node::Node`] with its controller, [`fawnrouter_node::Ask`]
//! and the codecs). Callers, core switches, the name server and the network are simulated on one event queue.
//! All bytes are real: `fawnrouter-jsonl` encodes and decodes the lines, [`crate::platform`] encodes the list
//! of core switches, and `fawnrouter-dns` and `Pool::from_response` decode it. Counts are exact for a given
//! seed. Processor time and allocations are measured around the gateways' code only: decoding a
//! configuration, a line or a list response, and what the state machines do with it.
//!
//! | module | content |
//! | --- | --- |
//! | `scenario` | the fleet, where its members are, its traffic and faults, when it is measured |
//! | `event` | scheduled events in virtual time |
//! | `members` | state of gateways, core switches, callers, the name server and connections |
//! | `simulation` | the event loop and the network; a file each for members, list and faults |
//! | `cost`, `meter` | cost of a member by cause, in total and per second; cost of a function call |
//! | `outcome` | the result of a simulation |
//! | `recording` | the inputs of one gateway of a fleet, replayed alone to measure its work |
//! | `runs` | the simulations that make up the report |
//!
//! Simplifications: core switches have no capacity limit and send no load reports and no progress. Callers
//! try each call once, confirm no release and keep their connections open. A response of the name server
//! arrives whole whatever its length, while the program reads at most 9,000 bytes.

mod cost;
mod event;
mod members;
mod meter;
mod outcome;
mod recording;
mod runs;
mod scenario;
mod simulation;

use fawnrouter::SettingsError;
use fawnrouter_node::BootError;

pub use self::cost::{CAUSES, Cost, CostByCause};
pub use self::meter::CountingAllocator;
pub use self::outcome::{
    CallCounts, ConfigurationCounts, ListCounts, Outcome, RoleOutcome, Volume, VolumeByVerb,
};
pub use self::scenario::{Location, Scenario};
use crate::figures::{Role, Run};

/// Options of [`measure`].
pub struct HollowOptions<'a> {
    /// Seed of all random values.
    pub seed: u64,
    /// Use smaller sizes and shorter simulations.
    pub quick: bool,
    /// Measure only the costs of this role.
    pub only_role: Option<Role>,
    /// The counting allocator, if the program has installed it. Without it allocations and memory are not
    /// reported.
    pub allocator: Option<CountingAllocator>,
    /// Called with the name of each simulation before it starts.
    pub progress: &'a mut dyn FnMut(&str),
}

/// Why a simulation cannot run or its result cannot be used.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum HollowError {
    /// A field of the scenario is invalid.
    #[error("invalid scenario: {field} must be {wanted}")]
    Scenario {
        /// Name of the field.
        field: &'static str,
        /// What the field must be.
        wanted: &'static str,
    },
    /// A gateway rejects the generated configuration.
    #[error("the generated configuration of a gateway is rejected: {0}")]
    Boot(#[from] BootError),
    /// The decision module rejects the settings.
    #[error("the generated settings of a gateway are rejected: {0}")]
    Settings(#[from] SettingsError),
    /// A replayed gateway wrote a different number of bytes than it did in the simulation.
    #[error(
        "a gateway wrote {recorded} bytes, and {replayed} when its inputs were replayed: it is not deterministic"
    )]
    ReplayMismatch {
        /// Bytes written in the simulation.
        recorded: u64,
        /// Bytes written in the replay.
        replayed: u64,
    },
    /// A gateway accepts a configuration that was damaged on purpose.
    #[error("a damaged configuration was accepted: the damage is in a place that is not checked")]
    DamagedConfigurationAccepted,
}

/// Runs all simulations of the report.
///
/// # Errors
/// Returns an error if a generated scenario or configuration is rejected, or if a replay differs.
pub fn measure(options: HollowOptions<'_>) -> Result<Vec<Run>, HollowError> {
    runs::all_runs(options)
}

/// Simulates a scenario without counting allocations.
///
/// # Errors
/// Returns an error if the scenario is invalid.
pub fn simulate(scenario: &Scenario) -> Result<Outcome, HollowError> {
    simulate_counting_allocations(scenario, None)
}

/// Simulates a scenario. With the program's counting allocator, allocations and memory are reported too.
///
/// # Errors
/// Returns an error if the scenario is invalid.
pub fn simulate_counting_allocations(
    scenario: &Scenario,
    allocator: Option<CountingAllocator>,
) -> Result<Outcome, HollowError> {
    let (outcome, _) = simulation::Simulation::new(scenario, meter::Meter::new(allocator))?.run()?;
    Ok(outcome)
}
