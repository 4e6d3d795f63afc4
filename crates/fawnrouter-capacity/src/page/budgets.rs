//! Budgets: the greatest value that a figure may have.

use super::rows::Measure;
use crate::design;
use crate::figures::{Cause, Per, Quantity, Role};

const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// Share of a core for the call path. A gateway is one thread and cannot use more than one core.
const CALL_PATH_CORE_SHARE: f64 = 1.0;
/// The platform's limit on a gateway's file descriptors (`docs/design/025-platform-gateway.md`).
const GATEWAY_DESCRIPTORS: f64 = 256.0;
/// The platform's limit on a gateway's memory, in bytes (the same page).
const GATEWAY_MEMORY_BYTES: f64 = 32.0 * 1024.0 * 1024.0;
/// Processor time for a call at each of 28 gateways, if the whole call may take 1.6 ms.
const HOP_MICROSECONDS: f64 = design::ADDED_DELAY_P99_MS * 1e3 / design::DEPTH as f64;
/// Longest processing of one event, which delays the calls that wait for it on the same thread.
const EVENT_MICROSECONDS: f64 = design::ADDED_DELAY_P99_MS * 1e3;

/// The budget of a figure, in the figure's unit; none if neither the requirements nor the platform set one.
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
            Some(CALL_PATH_CORE_SHARE * MICROSECONDS_PER_SECOND)
        }
        (Measure::One(Quantity::ProcessorMicroseconds), Per::Call) => Some(HOP_MICROSECONDS),
        (Measure::One(Quantity::MemoryBytes), Per::Held) => Some(GATEWAY_MEMORY_BYTES),
        (Measure::One(Quantity::Connections), Per::Held) => Some(GATEWAY_DESCRIPTORS),
        _ => None,
    }
}

fn control_budget(measure: Measure, cause: Cause, per: Per) -> Option<f64> {
    match (measure, per) {
        (Measure::BytesBothWays, Per::Second | Per::PeakSecond) => Some(design::CONTROL_BYTES_PER_SECOND),
        (Measure::One(Quantity::ProcessorMicroseconds), Per::Second | Per::PeakSecond) => {
            Some(design::CONTROL_CORE_SHARE * MICROSECONDS_PER_SECOND)
        }
        (Measure::One(Quantity::ProcessorMicroseconds), Per::Event) => Some(EVENT_MICROSECONDS),
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
