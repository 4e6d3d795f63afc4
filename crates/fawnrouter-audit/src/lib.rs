#![forbid(unsafe_code)]
//! The auditor: it is fed the bytes that callers and switches saw on their sockets, and a few facts of the stand
//! (when the list told what, which switch started cold), and says which of the five rules broke. It has readers of
//! its own for WebSocket and SIP, and depends on no package of the gateway.
//!
//! What counts as the end of an attempt: its final response, the CANCEL, the end of its connection, or the time-out
//! that the gateway wrote into its Via (`fr-within`, milliseconds).

mod auditor;
mod wire;

pub use auditor::{AuditParameters, AuditReport, Auditor, Rule, Violation};

use std::time::Duration;

/// Which end of the gateway a connection belongs to.
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

/// Which way bytes went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Towards the gateway.
    ToGateway,
    /// From the gateway.
    FromGateway,
}

/// What the list said of a switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// It takes calls.
    Ready,
    /// It drains, or is gone.
    Closed,
}

/// One thing that was seen, or one fact of the stand.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A connection was opened.
    Opened {
        /// The connection.
        conn: u64,
        /// Whose it is.
        side: Side,
    },
    /// Bytes went over it.
    Bytes {
        /// The connection.
        conn: u64,
        /// Which way.
        direction: Direction,
        /// The bytes.
        bytes: Vec<u8>,
        /// They may have arrived up to this much earlier: the tap itself was held up.
        tap_delay: Duration,
    },
    /// It was closed.
    Closed {
        /// The connection.
        conn: u64,
    },
    /// All gateways were told of a switch.
    ListUpdated {
        /// The switch.
        switch: u32,
        /// What.
        state: ListState,
    },
    /// A switch started cold.
    ColdStart {
        /// The switch.
        switch: u32,
        /// Set-ups a second that it takes when warm.
        capacity_per_s: f64,
        /// The share of it that it starts with.
        initial_share: f64,
        /// Time until it is warm; the share grows evenly.
        ramp: Duration,
    },
}
