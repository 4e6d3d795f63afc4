#![forbid(unsafe_code)]
//! Checks five rules of the gateway from outside: it takes the bytes that callers and switches observed on
//! their sockets, with a few facts of the test set-up (updates of the list of switches, cold starts), and
//! reports the violations. It has its own readers for WebSocket and SIP, and depends on no package of the
//! gateway.
//!
//! An attempt ends with its final response, its CANCEL, the end of its connection, or the time-out that the
//! gateway wrote into its Via (`fr-within`, milliseconds).

mod auditor;
mod wire;

pub use auditor::{AuditParameters, AuditReport, Auditor, Rule, Violation};

use std::time::Duration;

/// The side of the gateway that a connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// A caller's WebSocket to this gateway.
    Caller {
        /// The gateway's number.
        gateway: u32,
    },
    /// A connection from a gateway to this switch.
    Trunk {
        /// The switch's number.
        switch: u32,
    },
}

/// The direction of bytes on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From a caller or a switch to the gateway.
    ToGateway,
    /// From the gateway to a caller or a switch.
    FromGateway,
}

/// The state of a switch in the list of switches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// It accepts calls.
    Ready,
    /// It drains, or is no longer listed.
    Closed,
}

/// An event on a connection, or a fact of the test set-up.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A connection was opened.
    Opened {
        /// The connection.
        conn: u64,
        /// The side of the gateway.
        side: Side,
    },
    /// Bytes were transferred on a connection.
    Bytes {
        /// The connection.
        conn: u64,
        /// Their direction.
        direction: Direction,
        /// The bytes.
        bytes: Vec<u8>,
        /// The bytes may have arrived up to this much earlier, because the tap itself was delayed.
        tap_delay: Duration,
    },
    /// A connection was closed.
    Closed {
        /// The connection.
        conn: u64,
    },
    /// The list of switches announced the state of a switch to all gateways.
    ListUpdated {
        /// The switch.
        switch: u32,
        /// Its state.
        state: ListState,
    },
    /// A switch started cold.
    ColdStart {
        /// The switch.
        switch: u32,
        /// Set-ups a second that it can handle when warm.
        capacity_per_s: f64,
        /// The share of that capacity that it starts with.
        initial_share: f64,
        /// Time until it is warm; the share grows linearly.
        ramp: Duration,
    },
}
