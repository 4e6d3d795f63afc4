//! The size and the budgets that the fleet is designed for.

/// Gateways, and as many core switches.
pub const GATEWAYS: f64 = 660.0;
/// Services. A gateway needs to see the core switches of its own service only.
pub const SERVICES: f64 = 26.0;
/// Core switches of the largest service.
pub const SWITCHES_PER_SERVICE: f64 = 26.0;
/// Number of regions.
pub const REGIONS: f64 = 3.0;
/// Number of zones.
pub const ZONES: f64 = 6.0;
/// Calls per second in the whole fleet.
pub const CALLS_PER_SECOND: f64 = 100_000.0;
/// Most gateways that a call can pass one after another.
pub const DEPTH: u32 = 28;
/// Set-ups per second at one gateway if every call passes [`DEPTH`] gateways.
pub const SET_UPS_PER_SECOND_AT_MAX_DEPTH: f64 = CALLS_PER_SECOND * DEPTH as f64 / GATEWAYS;
/// Set-ups per second at one gateway if every call passes one gateway.
pub const SET_UPS_PER_SECOND_AT_ONE_HOP: f64 = CALLS_PER_SECOND / GATEWAYS;
/// Delay that may be added to 99 of 100 calls, in milliseconds.
pub const ADDED_DELAY_P99_MS: f64 = 1.6;
/// Changes of configuration per day.
pub const CHANGES_PER_DAY: f64 = 1_600.0;
/// Time within which a change must be in force everywhere, in seconds.
pub const CHANGE_PROPAGATION_SECONDS: f64 = 10.0;
/// Budget of a gateway's control: share of a core.
pub const CONTROL_CORE_SHARE: f64 = 0.026;
/// Budget of a gateway's control: memory in bytes.
pub const CONTROL_MEMORY_BYTES: f64 = 64.0 * 1024.0 * 1024.0;
/// Budget of a gateway's control: bytes per second, received and sent together.
pub const CONTROL_BYTES_PER_SECOND: f64 = 5_000.0;
/// Machines reserved for control.
pub const CONTROL_MACHINES: f64 = 3.0;
/// Greatest response of the platform's name server, in bytes.
pub const MAX_LIST_ANSWER_BYTES: f64 = 8_000.0;
/// Gateways, and as many core switches, of a zone; they fail together.
pub const GATEWAYS_PER_ZONE: f64 = 110.0;
/// Gateways, and as many core switches, of a rack. No figure is specified: a fifth of a zone is assumed.
pub const GATEWAYS_PER_RACK: f64 = 22.0;
/// Machines that fail on an ordinary day.
pub const FAILURES_PER_DAY: f64 = 3.0;
/// Gateways restarted or replaced on an ordinary day.
pub const RESTARTS_PER_DAY: f64 = 64.0;
/// Length of a day in seconds.
pub const SECONDS_PER_DAY: f64 = 86_400.0;
