//! The settings of set-up admission.

use std::time::Duration;

use crate::rate_limiter::Rate;

/// The limits of one client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientLimits {
    /// Set-ups per turn in the fair queue, relative to other clients.
    pub weight: u32,
    /// The rate of set-ups.
    pub rate: Rate,
    /// The most calls without a final response.
    pub pending: usize,
    /// The most calls in total, established ones included.
    pub calls: usize,
}

/// The settings of set-up admission.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUpSettings {
    /// The limits of a known client that has none of its own.
    pub known: ClientLimits,
    /// The limits of each address of unknown clients. Its weight counts among unknown clients only.
    pub unknown: ClientLimits,
    /// The weight of all unknown clients together, relative to the weight of one known client.
    pub unknown_weight: u32,
    /// The rate of set-ups of all unknown clients together; `None`: as many as routing has room for.
    pub unknown_rate: Option<Rate>,
    /// The share of `routing_limit` that unknown clients may use. A set-up held in routing delays all others.
    pub unknown_share: f64,
    /// Set-ups that routing may hold, however few are sent.
    pub min_routing: usize,
    /// In addition, routing may hold as many set-ups as are sent in this time at the recent rate.
    pub routing_span: Duration,
    /// The most set-ups that wait in the queue.
    pub max_waiting: usize,
    /// The longest time that a set-up waits in the queue.
    pub max_wait: Duration,
    /// The number of unknown clients' addresses whose rate is tracked exactly.
    pub tracked_addresses: usize,
    /// The shortest retry time of a refusal.
    pub retry_after: Duration,
    /// Seeds the rate limiter's hash and the spread of retry times.
    pub seed: u64,
}
