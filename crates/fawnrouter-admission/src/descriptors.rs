//! What the descriptors of the process are for. A process at its limit can neither take a call's trunk leg back nor
//! read its list, nor even tell a newcomer that it is full. So descriptors are set aside before any client gets one.

use std::time::Duration;

/// What the process has, and what it needs beside its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorSettings {
    /// The limit of the process (`RLIMIT_NOFILE`).
    pub limit: usize,
    /// Open at the start.
    pub in_use: usize,
    /// Kept for legs to switches.
    pub trunks: usize,
    /// Kept for files: the list, the clients, the log.
    pub files: usize,
    /// Kept for operators' connections.
    pub control: usize,
}

/// A limit that leaves no room for clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the limit of {limit} descriptors leaves none for clients; raise it to at least {required} (ulimit -n)"
)]
pub struct TooFewDescriptors {
    /// The limit.
    pub limit: usize,
    /// The least that would do.
    pub required: usize,
}

/// What becomes of a connection that the kernel has accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptDecision {
    /// It may be served.
    Serve,
    /// It is told that there is no room, with a descriptor of those set aside for that.
    Refuse,
    /// As [`AcceptDecision::Refuse`], and the one that was told so first is closed to free its descriptor.
    RefuseClosingOldest,
}

/// What to do when the kernel says that there is no descriptor (EMFILE, ENFILE).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExhaustionAction {
    /// Give the spare one up, accept one connection with it, refuse that politely, and take the spare again.
    UseSpare,
    /// There is no spare: try again after this time.
    Pause(Duration),
}

/// A change worth a line in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExhaustionEvent {
    /// The famine begins.
    Began,
    /// The famine is over; it lasted so long.
    Ended(Duration),
}

/// Most descriptors set aside to refuse with.
const MOST_COURTESY: usize = 64;
/// Set aside for what was forgotten here: sockets that the libraries hold for a moment.
const MARGIN: usize = 8;
/// First and longest pause when there is no spare.
const PAUSES: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(320));
/// A famine is over when no descriptor was missing for this long: shorter, and the log would flap with the flood.
const CALM: Duration = Duration::from_secs(1);

/// The decisions about descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    clients: usize,
    courtesy: usize,
    /// When the famine began, and when a descriptor was missing last.
    famine: Option<(Duration, Duration)>,
    pause: Duration,
}

impl Descriptors {
    /// Divides what there is.
    ///
    /// # Errors
    /// Where nothing is left for clients.
    pub fn new(settings: DescriptorSettings) -> Result<Self, TooFewDescriptors> {
        let courtesy = (settings.limit / 16).clamp(2, MOST_COURTESY);
        let spare = 1;
        let aside =
            settings.in_use + settings.trunks + settings.files + settings.control + spare + courtesy + MARGIN;
        let clients = settings.limit.saturating_sub(aside);
        if clients == 0 {
            return Err(TooFewDescriptors { limit: settings.limit, required: aside + 1 });
        }
        Ok(Self { clients, courtesy, famine: None, pause: PAUSES.0 })
    }

    /// Connections that clients may have.
    #[must_use]
    pub const fn clients(&self) -> usize {
        self.clients
    }

    /// Connections that may be told at once that there is no room.
    #[must_use]
    pub const fn refusal_slots(&self) -> usize {
        self.courtesy
    }

    /// Connections and handshakes that fit, of those wanted.
    #[must_use]
    pub fn divide(&self, connections: usize, handshakes: usize) -> (usize, usize) {
        let handshakes = handshakes.min((self.clients / 4).max(1));
        (connections.min(self.clients.saturating_sub(handshakes).max(1)), handshakes)
    }

    /// Judges a connection, with so many of clients open and so many that are being refused.
    #[must_use]
    pub const fn arrive(&self, open: usize, refusing: usize) -> AcceptDecision {
        if open < self.clients { AcceptDecision::Serve } else { self.refuse(refusing) }
    }

    /// A connection is refused whatever the room, with so many that are being refused already.
    #[must_use]
    pub const fn refuse(&self, refusing: usize) -> AcceptDecision {
        if refusing < self.courtesy { AcceptDecision::Refuse } else { AcceptDecision::RefuseClosingOldest }
    }

    /// The kernel had no descriptor for a connection.
    pub fn descriptor_missing(
        &mut self,
        now: Duration,
        spare: bool,
    ) -> (ExhaustionAction, Option<ExhaustionEvent>) {
        let change = if self.famine.is_none() { Some(ExhaustionEvent::Began) } else { None };
        let began = self.famine.map_or(now, |(began, _)| began);
        self.famine = Some((began, now));
        if spare {
            return (ExhaustionAction::UseSpare, change);
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(PAUSES.1);
        (ExhaustionAction::Pause(pause), change)
    }

    /// A connection was accepted in the ordinary way.
    pub fn accepted(&mut self, now: Duration) -> Option<ExhaustionEvent> {
        self.pause = PAUSES.0;
        let (began, last) = self.famine?;
        if now.saturating_sub(last) < CALM {
            return None;
        }
        self.famine = None;
        Some(ExhaustionEvent::Ended(last.saturating_sub(began)))
    }

    /// Whether descriptors are missing.
    #[must_use]
    pub const fn is_exhausted(&self) -> bool {
        self.famine.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn of(limit: usize) -> Result<Descriptors, TooFewDescriptors> {
        Descriptors::new(DescriptorSettings { limit, in_use: 10, trunks: 4, files: 3, control: 4 })
    }

    #[test]
    fn what_others_need_is_set_aside_before_clients_get_any() {
        let d = of(1024).expect("room");
        assert_eq!((d.clients(), d.refusal_slots()), (1024 - 10 - 4 - 3 - 4 - 1 - 64 - 8, 64));
        assert_eq!(of(64).expect("room").clients(), 64 - 21 - 1 - 4 - 8);
        assert_eq!(of(32).map(|d| d.clients()), Err(TooFewDescriptors { limit: 32, required: 33 }));
        assert_eq!(of(33).map(|d| d.clients()), Ok(1));
        assert_eq!(of(64).map(|d| (d.divide(1000, 500), d.divide(10, 2))), Ok(((23, 7), (10, 2))));
        assert_eq!(of(33).map(|d| d.divide(1000, 500)), Ok((1, 1)));
    }

    #[test]
    fn beyond_the_room_newcomers_are_refused_and_the_oldest_refused_makes_place() {
        let d = of(64).expect("room");
        assert_eq!(d.arrive(29, 0), AcceptDecision::Serve);
        assert_eq!(d.arrive(30, 3), AcceptDecision::Refuse);
        assert_eq!(d.arrive(30, 4), AcceptDecision::RefuseClosingOldest);
        assert_eq!(d.refuse(0), AcceptDecision::Refuse);
    }

    #[test]
    fn a_famine_uses_the_spare_then_waits_longer_and_longer_and_is_told_once() {
        let mut d = of(64).expect("room");
        assert_eq!(
            d.descriptor_missing(ms(0), true),
            (ExhaustionAction::UseSpare, Some(ExhaustionEvent::Began))
        );
        let pauses: Vec<ExhaustionAction> = (1..9).map(|n| d.descriptor_missing(ms(n), false).0).collect();
        let wanted = [10, 20, 40, 80, 160, 320, 320, 320].map(|n| ExhaustionAction::Pause(ms(n)));
        assert_eq!(pauses, wanted, "accept never spins");
        assert_eq!(d.accepted(ms(500)), None, "not over before it was calm for a second");
        assert_eq!(d.descriptor_missing(ms(600), false), (ExhaustionAction::Pause(ms(10)), None));
        assert!(d.is_exhausted());
        assert_eq!(d.accepted(ms(1600)), Some(ExhaustionEvent::Ended(ms(600))));
        assert_eq!((d.accepted(ms(1700)), d.is_exhausted()), (None, false));
    }

    #[test]
    fn a_clock_that_steps_back_ends_no_famine() {
        let mut d = of(64).expect("room");
        let _ = d.descriptor_missing(ms(10_000), true);
        assert_eq!(d.accepted(ms(5)), None);
        assert!(d.is_exhausted());
    }
}
