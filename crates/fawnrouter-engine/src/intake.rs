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
pub struct Load {
    /// All calls.
    pub calls: usize,
    /// Calls without a final answer.
    pub pending: usize,
    /// Calls of this client.
    pub of_client: usize,
}

/// Why a call is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The gateway ends.
    Draining,
    /// All calls that it may hold.
    Calls,
    /// All calls without an answer that it may hold.
    Pending,
    /// All calls of one client.
    PerClient,
}

impl Refusal {
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
    pub fn judge(&self, load: Load) -> Result<(), (Refusal, Duration)> {
        let refusal = if self.draining {
            Refusal::Draining
        } else if load.calls >= self.limits.calls {
            Refusal::Calls
        } else if load.pending >= self.limits.pending {
            Refusal::Pending
        } else if load.of_client >= self.limits.per_client {
            Refusal::PerClient
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
            i.judge(Load { calls, pending, of_client }).map_err(|(refusal, _)| refusal)
        };
        assert_eq!(judge(&intake, 9, 4, 2), Ok(()));
        assert_eq!(judge(&intake, 10, 0, 0), Err(Refusal::Calls));
        assert_eq!(judge(&intake, 9, 5, 0), Err(Refusal::Pending));
        assert_eq!(judge(&intake, 9, 4, 3), Err(Refusal::PerClient));
        intake.drain();
        assert_eq!(judge(&intake, 0, 0, 0), Err(Refusal::Draining));
    }
}
