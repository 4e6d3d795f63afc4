//! Hundreds of gateways in one process, without sockets and in virtual time: what a fleet costs, by role and cause.
//!
//! The gateways are the real ones ([`fawnrouter_node::Node`] with its controller, [`fawnrouter_node::Ask`], the codecs);
//! callers, core switches, the name server and the network are stand-ins on one queue of events. All bytes are real: lines
//! are written and read by `fawnrouter-jsonl`, the list by `fawnrouter-dns`, [`crate::platform`] and `Pool::answer`.
//! Counts are exact under a seed. Processor time and allocations are taken around the gateways' code alone: reading a
//! configuration, a line or an answer, and what the state machines do with it.
//!
//! | module | what it does |
//! | --- | --- |
//! | `scenario` | what is played: the fleet, where its members are, what happens to it and when it is measured |
//! | `event` | what is under way, in virtual time |
//! | `members` | gateways, core switches, callers, the name server, and what the rig knows of them |
//! | `simulation` | the loop and the network; a file each for gateways, core switches, callers, the list, faults |
//! | `ledger`, `meter` | what members bear by cause, in all and in the busiest second; what work costs this process |
//! | `outcome` | what a play showed |
//! | `recording` | what happened to one gateway of a fleet, and its work measured alone |
//! | `runs` | the plays that make up the report |
//!
//! What the stand-ins leave out: core switches have no capacity, send no reports and no progress; callers try each call
//! once, confirm no release and keep their connections open; an answer of the name server arrives whole however long it is,
//! while the program reads 9,000 bytes at the most.

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

/// What is measured, and how.
pub struct HollowOptions<'a> {
    /// What all is drawn from.
    pub seed: u64,
    /// Smaller sizes and shorter plays.
    pub quick: bool,
    /// Only what this role bears.
    pub only_role: Option<Role>,
    /// The counting allocator, if the program has installed it; without it no allocations and no memory are told.
    pub allocator: Option<CountingAllocator>,
    /// Told of each play before it begins.
    pub progress: &'a mut dyn FnMut(&str),
}

/// Why nothing can be played.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum HollowError {
    /// The scenario makes no sense.
    #[error("scenario: {field}: it must be {wanted}")]
    Scenario {
        /// Which field.
        field: &'static str,
        /// What it should be.
        wanted: &'static str,
    },
    /// A gateway refuses the configuration that the rig made.
    #[error("a hollow gateway's configuration is refused: {0}")]
    Boot(#[from] BootError),
    /// The decision module refuses the settings.
    #[error("a hollow gateway's settings are refused: {0}")]
    Settings(#[from] SettingsError),
    /// A gateway said something else when it was given the same again.
    #[error(
        "a gateway wrote {first} bytes, and {again} when it was given the same again: it is not deterministic"
    )]
    ReplayMismatch {
        /// Bytes that it wrote.
        first: u64,
        /// Bytes that it wrote the second time.
        again: u64,
    },
    /// A gateway takes a configuration that should be refused.
    #[error("a damaged configuration was not refused: the rig damages it in the wrong place")]
    DamagedConfigurationAccepted,
}

/// Outcomes all runs of the report.
///
/// # Errors
/// Where the rig's own scenarios or configurations are refused.
pub fn measure(options: HollowOptions<'_>) -> Result<Vec<Run>, HollowError> {
    runs::all_runs(options)
}

/// Outcomes a scenario without counting allocations.
///
/// # Errors
/// Where the scenario makes no sense.
pub fn simulate(scenario: &Scenario) -> Result<Outcome, HollowError> {
    simulate_counting_allocations(scenario, None)
}

/// Outcomes a scenario; with the counting allocator of the program also allocations and memory are told.
///
/// # Errors
/// Where the scenario makes no sense.
pub fn simulate_counting_allocations(
    scenario: &Scenario,
    allocator: Option<CountingAllocator>,
) -> Result<Outcome, HollowError> {
    let (outcome, _) = simulation::Simulation::new(scenario, meter::Meter::new(allocator))?.run()?;
    Ok(outcome)
}
