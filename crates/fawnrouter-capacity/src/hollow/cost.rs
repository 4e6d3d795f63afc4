//! What members of a role bear, by cause: in all, and in the busiest second.

use crate::figures::{Cause, Quantity};

/// The causes that are told apart.
pub const CAUSES: [Cause; 6] =
    [Cause::Calls, Cause::Probes, Cause::List, Cause::Connections, Cause::Timers, Cause::Configuration];

/// What was borne in some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Messages received.
    pub messages_in: u64,
    /// Messages sent.
    pub messages_out: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Connections opened, or tried.
    pub connections: u64,
    /// Processor time in nanoseconds.
    pub processor_nanos: u64,
    /// Allocations.
    pub allocations: u64,
}

impl Cost {
    /// One message received.
    #[must_use]
    pub(crate) fn received(bytes: usize) -> Self {
        Self { messages_in: 1, bytes_in: bytes as u64, ..Self::default() }
    }

    /// One message sent.
    #[must_use]
    pub(crate) fn sent(bytes: usize) -> Self {
        Self { messages_out: 1, bytes_out: bytes as u64, ..Self::default() }
    }

    /// One connection opened.
    #[must_use]
    pub(crate) fn connected() -> Self {
        Self { connections: 1, ..Self::default() }
    }

    fn fields(&mut self) -> [&mut u64; 7] {
        [
            &mut self.messages_in,
            &mut self.messages_out,
            &mut self.bytes_in,
            &mut self.bytes_out,
            &mut self.connections,
            &mut self.processor_nanos,
            &mut self.allocations,
        ]
    }

    fn merge(&mut self, mut other: Self, merge: impl Fn(u64, u64) -> u64) {
        let others = other.fields().map(|field| *field);
        for (field, other) in self.fields().into_iter().zip(others) {
            *field = merge(*field, other);
        }
    }

    /// Adds another.
    pub fn add(&mut self, other: Self) {
        self.merge(other, |ours, theirs| ours + theirs);
    }

    /// Takes the greater of each figure.
    pub fn raise_to_max(&mut self, other: Self) {
        self.merge(other, u64::max);
    }

    /// The figure of a quantity that flows; `None` for what is held.
    #[must_use]
    pub fn quantity_value(&self, quantity: Quantity) -> Option<f64> {
        const NANOS_OF_A_MICROSECOND: f64 = 1e3;
        match quantity {
            Quantity::MessagesIn => Some(self.messages_in as f64),
            Quantity::MessagesOut => Some(self.messages_out as f64),
            Quantity::BytesIn => Some(self.bytes_in as f64),
            Quantity::BytesOut => Some(self.bytes_out as f64),
            Quantity::Connections => Some(self.connections as f64),
            Quantity::ProcessorMicroseconds => Some(self.processor_nanos as f64 / NANOS_OF_A_MICROSECOND),
            Quantity::Allocations => Some(self.allocations as f64),
            Quantity::MemoryBytes | Quantity::StateEntries => None,
        }
    }
}

/// A flow for each cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CostByCause([Cost; CAUSES.len()]);

impl CostByCause {
    fn place(cause: Cause) -> Option<usize> {
        CAUSES.iter().position(|known| *known == cause)
    }

    /// What this cause brought; [`Cause::All`] is the sum.
    #[must_use]
    pub fn for_cause(&self, cause: Cause) -> Cost {
        match Self::place(cause) {
            Some(place) => self.0[place],
            None => self.all(),
        }
    }

    fn all(&self) -> Cost {
        let mut all = Cost::default();
        self.0.iter().for_each(|flow| all.add(*flow));
        all
    }

    pub(crate) fn add(&mut self, cause: Cause, flow: Cost) {
        if let Some(place) = Self::place(cause) {
            self.0[place].add(flow);
        }
    }

    pub(crate) fn add_all(&mut self, other: &Self) {
        self.0.iter_mut().zip(&other.0).for_each(|(ours, theirs)| ours.add(*theirs));
    }

    fn most(&mut self, other: &Self) {
        self.0.iter_mut().zip(&other.0).for_each(|(ours, theirs)| ours.raise_to_max(*theirs));
    }
}

/// What one member of a role bears while it is measured.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    total: CostByCause,
    second: u64,
    in_second: CostByCause,
    peak: CostByCause,
    peak_of_all: Cost,
}

impl Ledger {
    /// Adds what was borne in a second of what is measured. Seconds only move forward.
    pub fn add(&mut self, second: u64, cause: Cause, flow: Cost) {
        if second != self.second {
            self.end_second();
            self.second = second;
        }
        self.in_second.add(cause, flow);
    }

    fn end_second(&mut self) {
        let in_second = std::mem::take(&mut self.in_second);
        self.peak.most(&in_second);
        self.peak_of_all.raise_to_max(in_second.all());
        self.total.add_all(&in_second);
    }

    /// The sums, once nothing more is added.
    pub fn close(&mut self) -> CostByCause {
        self.end_second();
        self.total
    }

    /// The busiest second's figures.
    pub fn peak(&self, cause: Cause) -> Cost {
        if cause == Cause::All { self.peak_of_all } else { self.peak.for_cause(cause) }
    }
}
