//! What a figure may be at the most.

use super::rows::Measure;
use crate::design;
use crate::figures::{Cause, Per, Quantity, Role};

const MICROSECONDS_OF_A_SECOND: f64 = 1e6;
/// A gateway is one thread: it cannot use more than a core.
const CALL_PATH_CORE_SHARE: f64 = 1.0;
/// The platform's present limit on a gateway's descriptors (`docs/design/025-platform-gateway.md`).
const DESCRIPTORS_OF_A_GATEWAY: f64 = 256.0;
/// The platform's present limit on a gateway's memory, in bytes (the same page).
const MEMORY_OF_A_GATEWAY_BYTES: f64 = 32.0 * 1024.0 * 1024.0;
/// Processor time that a call can be given at each of 28 gateways, where 1.6 ms are for the whole call.
const MICROSECONDS_OF_A_HOP: f64 = design::ADDED_DELAY_P99_MS * 1e3 / design::DEPTH as f64;
/// The longest turn that calls may have to wait for.
const MICROSECONDS_OF_A_TURN: f64 = design::ADDED_DELAY_P99_MS * 1e3;

/// The budget of a figure, in the figure's unit; none where the letter and the platform name none.
pub(super) fn budget(role: Role, measure: Measure, cause: Cause, per: Per) -> Option<f64> {
    match role {
        Role::GatewayCalls => call_path_budget(measure, per),
        Role::GatewayControl => control_budget(measure, cause, per),
        Role::ListSource => list_source_budget(measure, cause, per),
        Role::CoreSwitch | Role::ControlMachine | Role::Publisher | Role::ZoneLink | Role::RegionLink => None,
    }
}

fn call_path_budget(measure: Measure, per: Per) -> Option<f64> {
    match (measure, per) {
        (Measure::One(Quantity::ProcessorMicroseconds), Per::Second | Per::PeakSecond) => {
            Some(CALL_PATH_CORE_SHARE * MICROSECONDS_OF_A_SECOND)
        }
        (Measure::One(Quantity::ProcessorMicroseconds), Per::Call) => Some(MICROSECONDS_OF_A_HOP),
        (Measure::One(Quantity::MemoryBytes), Per::Held) => Some(MEMORY_OF_A_GATEWAY_BYTES),
        (Measure::One(Quantity::Connections), Per::Held) => Some(DESCRIPTORS_OF_A_GATEWAY),
        _ => None,
    }
}

fn control_budget(measure: Measure, cause: Cause, per: Per) -> Option<f64> {
    match (measure, per) {
        (Measure::BytesBothWays, Per::Second | Per::PeakSecond) => Some(design::CONTROL_BYTES_PER_SECOND),
        (Measure::One(Quantity::ProcessorMicroseconds), Per::Second | Per::PeakSecond) => {
            Some(design::CONTROL_CORE_SHARE * MICROSECONDS_OF_A_SECOND)
        }
        (Measure::One(Quantity::ProcessorMicroseconds), Per::Event) => Some(MICROSECONDS_OF_A_TURN),
        (Measure::One(Quantity::MemoryBytes), Per::Held) => Some(design::CONTROL_MEMORY_BYTES),
        (Measure::One(Quantity::BytesIn), Per::Event) if cause == Cause::List => {
            Some(design::MAX_LIST_ANSWER_BYTES)
        }
        _ => None,
    }
}

fn list_source_budget(measure: Measure, cause: Cause, per: Per) -> Option<f64> {
    match (measure, per) {
        (Measure::One(Quantity::BytesOut), Per::Event) if cause == Cause::List => {
            Some(design::MAX_LIST_ANSWER_BYTES)
        }
        _ => None,
    }
}
