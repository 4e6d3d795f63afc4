//! Costs of the members of a role, by cause: in total and in the busiest second.

use crate::figures::{Cause, Quantity};

/// All causes that are counted separately.
pub const CAUSES: [Cause; 6] =
    [Cause::Calls, Cause::Probes, Cause::List, Cause::Connections, Cause::Timers, Cause::Configuration];

/// Messages, bytes, connections, processor time and allocations counted over some time.
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
    /// Connections opened or attempted.
    pub connections: u64,
    /// Processor time in nanoseconds.
    pub processor_nanos: u64,
    /// Allocations, including reallocations.
    pub allocations: u64,
}

impl Cost {
    /// Cost of one received message.
    #[must_use]
    pub(crate) fn message_received(bytes: usize) -> Self {
        Self { messages_in: 1, bytes_in: bytes as u64, ..Self::default() }
    }

    /// Cost of one sent message.
    #[must_use]
    pub(crate) fn message_sent(bytes: usize) -> Self {
        Self { messages_out: 1, bytes_out: bytes as u64, ..Self::default() }
    }

    /// Cost of one opened connection.
    #[must_use]
    pub(crate) fn connection_opened() -> Self {
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

    fn combine(&mut self, mut other: Self, combine: impl Fn(u64, u64) -> u64) {
        let others = other.fields().map(|field| *field);
        for (field, other) in self.fields().into_iter().zip(others) {
            *field = combine(*field, other);
        }
    }

    /// Adds each figure of `other`.
    pub fn add(&mut self, other: Self) {
        self.combine(other, |left, right| left + right);
    }

    /// Raises each figure to that of `other` if that is greater.
    pub fn raise_to_max(&mut self, other: Self) {
        self.combine(other, u64::max);
    }

    /// The value of a quantity; `None` for quantities that are held rather than counted over time.
    #[must_use]
    pub fn quantity_value(&self, quantity: Quantity) -> Option<f64> {
        const NANOS_PER_MICROSECOND: f64 = 1e3;
        match quantity {
            Quantity::MessagesIn => Some(self.messages_in as f64),
            Quantity::MessagesOut => Some(self.messages_out as f64),
            Quantity::BytesIn => Some(self.bytes_in as f64),
            Quantity::BytesOut => Some(self.bytes_out as f64),
            Quantity::Connections => Some(self.connections as f64),
            Quantity::ProcessorMicroseconds => Some(self.processor_nanos as f64 / NANOS_PER_MICROSECOND),
            Quantity::Allocations => Some(self.allocations as f64),
            Quantity::MemoryBytes | Quantity::StateEntries => None,
        }
    }
}

/// Costs, separate for each cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CostByCause([Cost; CAUSES.len()]);

impl CostByCause {
    fn index_of(cause: Cause) -> Option<usize> {
        CAUSES.iter().position(|known| *known == cause)
    }

    /// Cost of one cause; [`Cause::All`] returns the sum of all.
    #[must_use]
    pub fn for_cause(&self, cause: Cause) -> Cost {
        match Self::index_of(cause) {
            Some(index) => self.0[index],
            None => self.sum(),
        }
    }

    fn sum(&self) -> Cost {
        let mut sum = Cost::default();
        self.0.iter().for_each(|cost| sum.add(*cost));
        sum
    }

    pub(crate) fn add(&mut self, cause: Cause, cost: Cost) {
        if let Some(index) = Self::index_of(cause) {
            self.0[index].add(cost);
        }
    }

    pub(crate) fn add_each(&mut self, other: &Self) {
        self.0.iter_mut().zip(&other.0).for_each(|(left, right)| left.add(*right));
    }

    fn raise_to_max(&mut self, other: &Self) {
        self.0.iter_mut().zip(&other.0).for_each(|(left, right)| left.raise_to_max(*right));
    }
}

/// Records the costs of one member of a role during the measurement.
#[derive(Clone, Debug, Default)]
pub(crate) struct CostRecorder {
    total: CostByCause,
    second: u64,
    current: CostByCause,
    peak: CostByCause,
    peak_sum: Cost,
}

impl CostRecorder {
    /// Adds a cost in a second of the measurement. Seconds must not decrease.
    pub fn add(&mut self, second: u64, cause: Cause, cost: Cost) {
        if second != self.second {
            self.end_second();
            self.second = second;
        }
        self.current.add(cause, cost);
    }

    fn end_second(&mut self) {
        let current = std::mem::take(&mut self.current);
        self.peak.raise_to_max(&current);
        self.peak_sum.raise_to_max(current.sum());
        self.total.add_each(&current);
    }

    /// Ends the current second and returns the totals. Nothing may be added afterwards.
    pub fn finish(&mut self) -> CostByCause {
        self.end_second();
        self.total
    }

    /// Cost in the busiest second of this cause, each figure on its own. For [`Cause::All`], the greatest sum
    /// over causes in one second.
    pub fn peak(&self, cause: Cause) -> Cost {
        if cause == Cause::All { self.peak_sum } else { self.peak.for_cause(cause) }
    }
}
