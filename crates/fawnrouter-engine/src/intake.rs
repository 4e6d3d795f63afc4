//! Which new call is taken at all: the limits of the process and its drain. What is taken is decided on by the
//! controller; what is not gets a polite 503 with a time to stay away.

use std::time::Duration;

/// Limits on what an engine holds at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Calls held, out or standing.
    pub calls: usize,
    /// Of these, calls without a final answer.
    pub pending: usize,
    /// Calls of one client's connection.
    pub per_client: usize,
    /// Told to callers that are turned away for a limit.
    pub retry_after: Duration,
}

/// What an engine holds when a call comes in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IntakeLoad {
    /// All calls.
    pub calls: usize,
    /// Calls without a final answer.
    pub pending: usize,
    /// Calls of this client.
    pub client_calls: usize,
}

/// Why a call is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakeRefusal {
    /// The gateway ends.
    Draining,
    /// All calls that it may hold.
    Calls,
    /// All calls without an answer that it may hold.
    Pending,
    /// All calls of one client.
    PerClient,
}

impl IntakeRefusal {
    /// The text of its Reason header.
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

/// The intake's state.
#[derive(Clone, Copy, Debug)]
pub struct Intake {
    limits: IntakeLimits,
    draining: bool,
}

impl Intake {
    /// An open intake.
    #[must_use]
    pub const fn new(limits: IntakeLimits) -> Self {
        Self { limits, draining: false }
    }

    /// Takes no more from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether it drains.
    #[must_use]
    pub const fn draining(&self) -> bool {
        self.draining
    }

    /// Judges a call that comes in.
    ///
    /// # Errors
    /// Why it is not taken; the second part is how long the caller should stay away.
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
    fn each_limit_turns_away_at_its_figure_and_names_itself() {
        let limits =
            IntakeLimits { calls: 10, pending: 5, per_client: 3, retry_after: Duration::from_secs(2) };
        let mut intake = Intake::new(limits);
        let judge = |i: &Intake, calls, pending, of_client| {
            i.check(IntakeLoad { calls, pending, client_calls: of_client }).map_err(|(refusal, _)| refusal)
        };
        assert_eq!(judge(&intake, 9, 4, 2), Ok(()));
        assert_eq!(judge(&intake, 10, 0, 0), Err(IntakeRefusal::Calls));
        assert_eq!(judge(&intake, 9, 5, 0), Err(IntakeRefusal::Pending));
        assert_eq!(judge(&intake, 9, 4, 3), Err(IntakeRefusal::PerClient));
        intake.drain();
        assert_eq!(judge(&intake, 0, 0, 0), Err(IntakeRefusal::Draining));
    }
}
