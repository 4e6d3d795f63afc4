//! Intake of new calls: the limits of the process and its drain. An accepted call goes to the controller; a
//! rejected one is answered 503 with a Retry-After.

use std::time::Duration;

/// Limits on what an engine holds at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeLimits {
    /// All calls, waiting, in set-up or established.
    pub calls: usize,
    /// Calls without a final answer.
    pub pending: usize,
    /// Calls of one client's connection.
    pub per_client: usize,
    /// The Retry-After of callers that are rejected for a limit.
    pub retry_after: Duration,
}

/// What an engine holds when a call comes in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IntakeLoad {
    /// All calls.
    pub calls: usize,
    /// Calls without a final answer.
    pub pending: usize,
    /// Calls of the client's connection.
    pub client_calls: usize,
}

/// Why a call is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakeRefusal {
    /// The gateway drains.
    Draining,
    /// The limit of all calls is reached.
    Calls,
    /// The limit of calls without a final answer is reached.
    Pending,
    /// The limit of calls of one connection is reached.
    PerClient,
}

impl IntakeRefusal {
    /// The text of the Reason header.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::Draining => "gateway drains",
            Self::Calls => "limit of calls reached",
            Self::Pending => "limit of calls in set-up reached",
            Self::PerClient => "limit of calls of this connection reached",
        }
    }
}

/// Accepts or rejects new calls.
#[derive(Clone, Copy, Debug)]
pub struct Intake {
    limits: IntakeLimits,
    draining: bool,
}

impl Intake {
    /// Creates an intake that accepts calls within the limits.
    #[must_use]
    pub const fn new(limits: IntakeLimits) -> Self {
        Self { limits, draining: false }
    }

    /// Rejects all calls from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether the gateway drains.
    #[must_use]
    pub const fn draining(&self) -> bool {
        self.draining
    }

    /// Checks whether a new call is accepted.
    ///
    /// # Errors
    /// Why the call is rejected, and the Retry-After.
    pub fn check(&self, load: IntakeLoad) -> Result<(), (IntakeRefusal, Duration)> {
        let refusal = if self.draining {
            IntakeRefusal::Draining
        } else if load.calls >= self.limits.calls {
            IntakeRefusal::Calls
        } else if load.pending >= self.limits.pending {
            IntakeRefusal::Pending
        } else if load.client_calls >= self.limits.per_client {
            IntakeRefusal::PerClient
        } else {
            return Ok(());
        };
        Err((refusal, self.limits.retry_after))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_limit_rejects_from_its_value_on_with_its_own_reason() {
        let limits =
            IntakeLimits { calls: 10, pending: 5, per_client: 3, retry_after: Duration::from_secs(2) };
        let mut intake = Intake::new(limits);
        let check = |i: &Intake, calls, pending, client_calls| {
            i.check(IntakeLoad { calls, pending, client_calls }).map_err(|(refusal, _)| refusal)
        };
        assert_eq!(check(&intake, 9, 4, 2), Ok(()));
        assert_eq!(check(&intake, 10, 0, 0), Err(IntakeRefusal::Calls));
        assert_eq!(check(&intake, 9, 5, 0), Err(IntakeRefusal::Pending));
        assert_eq!(check(&intake, 9, 4, 3), Err(IntakeRefusal::PerClient));
        intake.drain();
        assert_eq!(check(&intake, 0, 0, 0), Err(IntakeRefusal::Draining));
    }
}
