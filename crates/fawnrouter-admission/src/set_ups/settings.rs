//! The settings of the decision on set-ups.

use std::time::Duration;

use crate::rate_limiter::Rate;

/// What one client may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientLimits {
    /// Set-ups in one turn, against the other clients'.
    pub weight: u32,
    /// Set-ups a second, and at once.
    pub rate: Rate,
    /// Set-ups without a final answer.
    pub pending: usize,
    /// Calls in all, standing ones too.
    pub calls: usize,
}

/// All that the decision goes by.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUpSettings {
    /// Known clients without limits of their own.
    pub known: ClientLimits,
    /// Each address of strangers. Its weight counts among strangers only.
    pub unknown: ClientLimits,
    /// The weight of all strangers together, against one known client's.
    pub unknown_weight: u32,
    /// Set-ups a second of all strangers, and at once; `None`: as many as there is room for.
    pub unknown_rate: Option<Rate>,
    /// Of what the decisions may hold, the share that may be strangers': what is held there delays everybody.
    pub unknown_share: f64,
    /// Set-ups that the decisions may hold, whatever is sent.
    pub min_routing: usize,
    /// Beyond that they may hold what is sent in this time, as it went lately.
    pub routing_span: Duration,
    /// Set-ups that may wait here.
    pub max_waiting: usize,
    /// The longest that one waits here.
    pub max_wait: Duration,
    /// Strangers' addresses whose rate is kept exactly.
    pub tracked_addresses: usize,
    /// The shortest time that those refused are told to stay away.
    pub retry_after: Duration,
    /// Keys what is spread and hashed.
    pub seed: u64,
}
