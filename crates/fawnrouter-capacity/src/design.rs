//! The size and the budgets that the fleet is designed for.

/// Core switches, each with its gateway.
pub const GATEWAYS: f64 = 660.0;
/// Services; a gateway needs to see the core switches of its own.
pub const SERVICES: f64 = 26.0;
/// Core switches of the largest service.
pub const SWITCHES_PER_SERVICE: f64 = 26.0;
/// Regions.
pub const REGIONS: f64 = 3.0;
/// Zones.
pub const ZONES: f64 = 6.0;
/// Calls a second in the fleet.
pub const CALLS_PER_SECOND: f64 = 100_000.0;
/// Gateways that a call can pass one behind the other.
pub const DEPTH: u32 = 28;
/// Set-ups a second at one gateway where every call is as deep as it can be.
pub const SET_UPS_PER_SECOND_AT_MAX_DEPTH: f64 = CALLS_PER_SECOND * DEPTH as f64 / GATEWAYS;
/// Set-ups a second at one gateway where calls pass one gateway.
pub const SET_UPS_PER_SECOND_AT_ONE_HOP: f64 = CALLS_PER_SECOND / GATEWAYS;
/// What may be added to a call, 99 in 100, in milliseconds.
pub const ADDED_DELAY_P99_MS: f64 = 1.6;
/// Changes of configuration a day.
pub const CHANGES_PER_DAY: f64 = 1_600.0;
/// Each change is in force everywhere within this time, in seconds.
pub const CHANGE_PROPAGATION_SECONDS: f64 = 10.0;
/// A gateway's control: share of a core.
pub const CONTROL_CORE_SHARE: f64 = 0.026;
/// A gateway's control: memory in bytes.
pub const CONTROL_MEMORY_BYTES: f64 = 64.0 * 1024.0 * 1024.0;
/// A gateway's control: bytes a second, in and out together.
pub const CONTROL_BYTES_PER_SECOND: f64 = 5_000.0;
/// Machines set aside for control.
pub const CONTROL_MACHINES: f64 = 3.0;
/// An answer of the platform's name server at the most, in bytes.
pub const MAX_LIST_ANSWER_BYTES: f64 = 8_000.0;
/// Gateways and core switches of a zone that fail together.
pub const GATEWAYS_PER_ZONE: f64 = 110.0;
/// Gateways and core switches of a rack. The users' letter names no figure: a fifth of a zone is assumed.
pub const GATEWAYS_PER_RACK: f64 = 22.0;
/// Machines that fail on an ordinary day.
pub const FAILURES_PER_DAY: f64 = 3.0;
/// Gateways restarted or replaced on an ordinary day.
pub const RESTARTS_PER_DAY: f64 = 64.0;
/// Seconds of a day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;
