//! Divides the file descriptors of the process. A process at its limit cannot reconnect to a core switch,
//! read its list of switches or even tell a new client that it is full. So descriptors are set aside for
//! these uses before any client gets one.

use std::time::Duration;

/// The descriptors that the process has, and those that it needs besides its clients'.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorSettings {
    /// The limit of the process (`RLIMIT_NOFILE`).
    pub limit: usize,
    /// Open when the process starts.
    pub in_use: usize,
    /// Reserved for connections to core switches.
    pub trunks: usize,
    /// Reserved for files: the list of switches, the clients, the log.
    pub files: usize,
    /// Reserved for operators' connections.
    pub control: usize,
}

/// The limit leaves no descriptor for clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the limit of {limit} descriptors leaves none for clients; raise it to at least {required} (ulimit -n)"
)]
pub struct TooFewDescriptors {
    /// The limit.
    pub limit: usize,
    /// The lowest limit that would do.
    pub required: usize,
}

/// What to do with a connection that the kernel has accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptDecision {
    /// Serve it.
    Serve,
    /// Send it a refusal, using one of the descriptors that are set aside for refusals.
    Refuse,
    /// As [`AcceptDecision::Refuse`], and close the connection that was refused first to free its descriptor.
    RefuseClosingOldest,
}

/// What to do when the kernel has no descriptor for a connection (EMFILE, ENFILE).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExhaustionAction {
    /// Close the spare descriptor, accept one connection with it, refuse that connection, and reopen the
    /// spare.
    UseSpare,
    /// There is no spare descriptor: try again after this time.
    Pause(Duration),
}

/// A change of the exhaustion state, worth a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExhaustionEvent {
    /// Descriptors ran out.
    Began,
    /// Descriptors are available again, after this time.
    Ended(Duration),
}

/// The most descriptors set aside for refusals.
const MAX_REFUSAL_SLOTS: usize = 64;
/// Descriptors set aside for short-lived uses that are not counted here, such as sockets that libraries open.
const MARGIN_DESCRIPTORS: usize = 8;
/// The first pause when there is no spare descriptor; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// The longest pause.
const MAX_PAUSE: Duration = Duration::from_millis(320);
/// Exhaustion ends when no descriptor was missing for this long. With a shorter time, log lines would flap
/// during a flood.
const EXHAUSTION_ENDS_AFTER: Duration = Duration::from_secs(1);

/// The period during which descriptors are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Exhaustion {
    began: Duration,
    /// When a descriptor was last missing.
    last_missing: Duration,
}

/// The division of descriptors, and whether they are exhausted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    clients: usize,
    refusal_slots: usize,
    exhaustion: Option<Exhaustion>,
    next_pause: Duration,
}

impl Descriptors {
    /// Divides the descriptors.
    ///
    /// # Errors
    /// If none is left for clients.
    pub fn new(settings: DescriptorSettings) -> Result<Self, TooFewDescriptors> {
        let refusal_slots = (settings.limit / 16).clamp(2, MAX_REFUSAL_SLOTS);
        let spare = 1;
        let set_aside = settings.in_use
            + settings.trunks
            + settings.files
            + settings.control
            + spare
            + refusal_slots
            + MARGIN_DESCRIPTORS;
        let clients = settings.limit.saturating_sub(set_aside);
        if clients == 0 {
            return Err(TooFewDescriptors { limit: settings.limit, required: set_aside + 1 });
        }
        Ok(Self { clients, refusal_slots, exhaustion: None, next_pause: FIRST_PAUSE })
    }

    /// The most client connections.
    #[must_use]
    pub const fn clients(&self) -> usize {
        self.clients
    }

    /// The most connections that may be sent a refusal at the same time.
    #[must_use]
    pub const fn refusal_slots(&self) -> usize {
        self.refusal_slots
    }

    /// Reduces the wanted numbers of connections and handshakes to what fits.
    #[must_use]
    pub fn divide(&self, connections: usize, handshakes: usize) -> (usize, usize) {
        let handshakes = handshakes.min((self.clients / 4).max(1));
        (connections.min(self.clients.saturating_sub(handshakes).max(1)), handshakes)
    }

    /// Decides on an accepted connection, given how many clients' connections are open and how many are being
    /// refused.
    #[must_use]
    pub const fn arrive(&self, open: usize, refusing: usize) -> AcceptDecision {
        if open < self.clients { AcceptDecision::Serve } else { self.refuse(refusing) }
    }

    /// Decides on a connection that is to be refused in any case, given how many are being refused already.
    #[must_use]
    pub const fn refuse(&self, refusing: usize) -> AcceptDecision {
        if refusing < self.refusal_slots {
            AcceptDecision::Refuse
        } else {
            AcceptDecision::RefuseClosingOldest
        }
    }

    /// Records that the kernel had no descriptor for a connection.
    pub fn descriptor_missing(
        &mut self,
        now: Duration,
        has_spare: bool,
    ) -> (ExhaustionAction, Option<ExhaustionEvent>) {
        let event = if self.exhaustion.is_none() { Some(ExhaustionEvent::Began) } else { None };
        let began = self.exhaustion.map_or(now, |exhaustion| exhaustion.began);
        self.exhaustion = Some(Exhaustion { began, last_missing: now });
        if has_spare {
            return (ExhaustionAction::UseSpare, event);
        }
        let pause = self.next_pause;
        self.next_pause = (pause * 2).min(MAX_PAUSE);
        (ExhaustionAction::Pause(pause), event)
    }

    /// Records that a connection was accepted without using the spare descriptor.
    pub fn accepted(&mut self, now: Duration) -> Option<ExhaustionEvent> {
        self.next_pause = FIRST_PAUSE;
        let Exhaustion { began, last_missing } = self.exhaustion?;
        if now.saturating_sub(last_missing) < EXHAUSTION_ENDS_AFTER {
            return None;
        }
        self.exhaustion = None;
        Some(ExhaustionEvent::Ended(last_missing.saturating_sub(began)))
    }

    /// Whether descriptors are missing.
    #[must_use]
    pub const fn is_exhausted(&self) -> bool {
        self.exhaustion.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn with_limit(limit: usize) -> Result<Descriptors, TooFewDescriptors> {
        Descriptors::new(DescriptorSettings { limit, in_use: 10, trunks: 4, files: 3, control: 4 })
    }

    #[test]
    fn descriptors_for_other_uses_are_set_aside_before_clients_get_any() {
        let descriptors = with_limit(1024).expect("room");
        assert_eq!(
            (descriptors.clients(), descriptors.refusal_slots()),
            (1024 - 10 - 4 - 3 - 4 - 1 - 64 - 8, 64)
        );
        assert_eq!(with_limit(64).expect("room").clients(), 64 - 21 - 1 - 4 - 8);
        assert_eq!(with_limit(32).map(|d| d.clients()), Err(TooFewDescriptors { limit: 32, required: 33 }));
        assert_eq!(with_limit(33).map(|d| d.clients()), Ok(1));
        assert_eq!(with_limit(64).map(|d| (d.divide(1000, 500), d.divide(10, 2))), Ok(((23, 7), (10, 2))));
        assert_eq!(with_limit(33).map(|d| d.divide(1000, 500)), Ok((1, 1)));
    }

    #[test]
    fn connections_beyond_the_limit_are_refused_and_the_oldest_refusal_is_closed() {
        let descriptors = with_limit(64).expect("room");
        assert_eq!(descriptors.arrive(29, 0), AcceptDecision::Serve);
        assert_eq!(descriptors.arrive(30, 3), AcceptDecision::Refuse);
        assert_eq!(descriptors.arrive(30, 4), AcceptDecision::RefuseClosingOldest);
        assert_eq!(descriptors.refuse(0), AcceptDecision::Refuse);
    }

    #[test]
    fn exhaustion_uses_the_spare_then_pauses_with_backoff_and_is_reported_once() {
        let mut descriptors = with_limit(64).expect("room");
        assert_eq!(
            descriptors.descriptor_missing(ms(0), true),
            (ExhaustionAction::UseSpare, Some(ExhaustionEvent::Began))
        );
        let pauses: Vec<ExhaustionAction> =
            (1..9).map(|n| descriptors.descriptor_missing(ms(n), false).0).collect();
        let expected = [10, 20, 40, 80, 160, 320, 320, 320].map(|n| ExhaustionAction::Pause(ms(n)));
        assert_eq!(pauses, expected, "accept must not spin");
        assert_eq!(
            descriptors.accepted(ms(500)),
            None,
            "not over before a second without a missing descriptor"
        );
        assert_eq!(descriptors.descriptor_missing(ms(600), false), (ExhaustionAction::Pause(ms(10)), None));
        assert!(descriptors.is_exhausted());
        assert_eq!(descriptors.accepted(ms(1600)), Some(ExhaustionEvent::Ended(ms(600))));
        assert_eq!((descriptors.accepted(ms(1700)), descriptors.is_exhausted()), (None, false));
    }

    #[test]
    fn a_clock_that_steps_back_does_not_end_exhaustion() {
        let mut descriptors = with_limit(64).expect("room");
        let _ = descriptors.descriptor_missing(ms(10_000), true);
        assert_eq!(descriptors.accepted(ms(5)), None);
        assert!(descriptors.is_exhausted());
    }
}
