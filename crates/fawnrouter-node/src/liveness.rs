//! Decides when the established calls at a core switch count as ended although the switch sent no release:
//! its process died, its machine stopped answering, or it can no longer send releases. A lost connection
//! alone proves nothing, because connections are also reset for other reasons.
//!
//! Two kinds of evidence are kept apart. **Any message**, or a new connection, shows that something is
//! running there. A **proof** is a sign that the switch's releases reach this gateway: a connection that it
//! accepts, a state report, the release of a call. A switch at the end of its drain still answers probes and
//! late set-ups and refuses others on its old connections, but accepts no new connection and sends no
//! releases; its established calls are cut some seconds later, when it stops. So its calls are kept for as
//! long as the platform's limit of 8 s (below) allows and no longer.
//!
//! A switch counts as failed when
//! * every connection was refused for [`REFUSED_TIMEOUT`] and nothing was received meanwhile, although it was
//!   probed: the process is dead;
//! * there was no proof for [`NO_PROOF_TIMEOUT`] and a connection was refused in that time: releases may have
//!   been lost;
//! * nothing was received and no new connection came up for [`SILENCE_TIMEOUT`], although it was probed
//!   ([`PROBE_AFTER`]): the machine does not answer;
//! * the list no longer names it, it has released no call for [`UNLISTED_TIMEOUT`] since, and it was probed:
//!   its address may belong to another switch by then, so nothing else that comes from there counts.
//!
//! So that a refusal is seen at all, a new connection is tried even if others are up when there has been no
//! proof for a while ([`RECONNECT_AFTER_NOT_READY`], [`RECONNECT_AFTER_READY`]), and when a connection that
//! was up is lost: a switch repeats a release that it wrote to a lost connection on the next new one, and
//! only there.
//!
//! # The platform's limit of 8 s
//!
//! If the switch sends no release, the callers must be told within 8 s after the call ended. The longest
//! times until this module notices, counted from the end of the call, are 7.0 s without a proof (the last
//! proof came before the end), 6.5 s of silence, and the list's delay of at most 4.5 s plus 2.5 s
//! ([`UNLISTED_TIMEOUT`]).

use std::time::Duration;

use fawnrouter::{ServerState, Time};

/// How long every connection must be refused before the process counts as dead, because nothing listens any
/// more. Longer than a listener needs to restart, and short enough to tell callers within 8 s.
const REFUSED_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time without a proof, with a refused connection in it, after which calls count as ended: the limit of 8 s
/// less 1 s to tell the callers.
const NO_PROOF_TIMEOUT: Duration = Duration::from_millis(7000);
/// Time without a message after which the switch is probed, because an idle switch may have nothing to send.
const PROBE_AFTER: Duration = Duration::from_millis(2000);
/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Time without a message, in spite of probes, after which the machine counts as dead: the limit of 8 s less
/// 1.5 s to tell the callers. It is longer than an overloaded processor stays silent: that still answers
/// something in this time.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(6500);
/// Time without the release of a call after which a switch that the list no longer names counts as failed,
/// once it was probed. It begins when the list drops the switch, and again with each release after that.
const UNLISTED_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time without a proof after which a new connection is tried to a switch that the list does not show as
/// ready (it drains, or is gone), because it may no longer send releases. As [`PROBE_AFTER`].
const RECONNECT_AFTER_NOT_READY: Duration = PROBE_AFTER;
/// Time without a proof after which a new connection is tried to any other switch, because the list may still
/// show a draining switch as ready. Half of the limit of 8 s: seldom, because each try costs a connection,
/// and in time for [`NO_PROOF_TIMEOUT`].
const RECONNECT_AFTER_READY: Duration = Duration::from_millis(4000);
/// Time between two connections that are opened to get a proof.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(1000);
/// Shortest time between two checks.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The result of a check of a core switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CheckResult {
    /// The switch counts as failed, and its established calls as ended.
    Failed,
    /// The switch may be alive; check it again.
    CheckAgain {
        /// Send a probe now.
        probe: bool,
        /// Try a new connection now, even if others are up.
        connect: bool,
        /// When to check again.
        next_check: Time,
    },
}

/// Something received from a core switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// Any message that proves no more than that something is running there.
    AnyMessage,
    /// The switch reported its load.
    StateReport,
    /// A new connection came up.
    Connected,
    /// The switch released an established call.
    CallRelease,
}

/// When a core switch counts as failed.
struct FailureDeadline {
    at: Time,
    /// Only if the switch was probed before.
    requires_probe: bool,
}

/// What is known about whether one core switch is alive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Liveness {
    last_received: Time,
    last_proof: Time,
    probed_at: Option<Time>,
    connect_tried_at: Option<Time>,
    /// When the first connection was refused since something was last received.
    first_refusal: Option<Time>,
    /// A connection was refused since the last proof.
    refusal_after_last_proof: bool,
    /// A connection that was up was lost and no new one came up after this time, so what the switch wrote to
    /// the lost one may be lost too.
    connection_lost_at: Option<Time>,
    /// The list does not show the switch as ready: it drains, or is gone.
    not_ready: bool,
    unlisted_since: Option<Time>,
}

impl Liveness {
    pub fn new(now: Time) -> Self {
        Self {
            last_received: now,
            last_proof: now,
            probed_at: None,
            connect_tried_at: None,
            first_refusal: None,
            refusal_after_last_proof: false,
            connection_lost_at: None,
            not_ready: false,
            unlisted_since: None,
        }
    }

    /// Records that something was received from the switch.
    pub fn record(&mut self, now: Time, evidence: Evidence) {
        if self.unlisted_since.is_some() && evidence != Evidence::CallRelease {
            return;
        }
        (self.last_received, self.probed_at, self.first_refusal) = (now, None, None);
        if evidence != Evidence::AnyMessage {
            (self.last_proof, self.refusal_after_last_proof) = (now, false);
        }
        if evidence == Evidence::Connected && self.connection_lost_at.is_some_and(|lost_at| now >= lost_at) {
            self.connection_lost_at = None;
        }
    }

    /// Records that the switch refused a connection.
    pub fn connection_refused(&mut self, now: Time) {
        self.first_refusal = self.first_refusal.or(Some(now));
        self.refusal_after_last_proof = true;
    }

    /// Records that a connection that was up is lost, and from when on the switch writes nothing to it.
    pub fn connection_lost(&mut self, at: Time) {
        self.connection_lost_at = self.connection_lost_at.max(Some(at));
    }

    /// Records the state in the list; `None`: the switch is not listed.
    pub fn set_listed_state(&mut self, now: Time, state: Option<ServerState>) {
        self.not_ready = state != Some(ServerState::Ready);
        self.unlisted_since = if state.is_some() { None } else { self.unlisted_since.or(Some(now)) };
    }

    /// When the switch counts as failed if nothing changes.
    fn failure_deadline(&self) -> FailureDeadline {
        let silence_deadline = match self.unlisted_since {
            Some(since) => since.max(self.last_proof).plus(UNLISTED_TIMEOUT),
            None => self.last_received.plus(SILENCE_TIMEOUT),
        };
        let refusal_deadline = self.first_refusal.map(|since| since.plus(REFUSED_TIMEOUT));
        let no_proof_deadline = self.refusal_after_last_proof.then(|| self.last_proof.plus(NO_PROOF_TIMEOUT));
        let probe_deadline =
            refusal_deadline.map_or(silence_deadline, |deadline| deadline.min(silence_deadline));
        match no_proof_deadline {
            Some(at) if at <= probe_deadline => FailureDeadline { at, requires_probe: false },
            _ => FailureDeadline { at: probe_deadline, requires_probe: true },
        }
    }

    /// Checks a switch at which calls are established.
    pub fn check(&mut self, now: Time) -> CheckResult {
        let FailureDeadline { at: deadline, requires_probe } = self.failure_deadline();
        // If this process was suspended it received nothing meanwhile, so silence counts only after a probe.
        if now >= deadline && (!requires_probe || self.probed_at.is_some_and(|probed_at| probed_at < now)) {
            return CheckResult::Failed;
        }
        let probe_at = match (self.probed_at, self.unlisted_since) {
            (Some(probed_at), _) => probed_at.plus(PROBE_INTERVAL),
            (None, Some(_)) => now,
            // Answers on the connections that are up distinguish a draining switch from a dead process.
            (None, None) if self.first_refusal.is_some() => now,
            (None, None) => self.last_received.plus(PROBE_AFTER),
        };
        let reconnect_at = self.last_proof.plus(if self.not_ready {
            RECONNECT_AFTER_NOT_READY
        } else {
            RECONNECT_AFTER_READY
        });
        let reconnect_at = self.connection_lost_at.map_or(reconnect_at, |lost_at| lost_at.min(reconnect_at));
        let connect_at = self.connect_tried_at.map_or(reconnect_at, |connect_tried_at| {
            reconnect_at.max(connect_tried_at.plus(RECONNECT_INTERVAL))
        });
        let (probe, connect) = (now >= probe_at, now >= connect_at);
        if probe {
            self.probed_at = Some(now);
        }
        if connect {
            self.connect_tried_at = Some(now);
        }
        let next_probe = if probe { now.plus(PROBE_INTERVAL) } else { probe_at };
        let next_connect = if connect { now.plus(RECONNECT_INTERVAL) } else { connect_at };
        let next_check = deadline.min(next_probe).min(next_connect).max(now.plus(MIN_CHECK_INTERVAL));
        CheckResult::CheckAgain { probe, connect, next_check }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time(Duration::from_millis(ms))
    }

    /// Runs the checks when they are due, from `from` on, and returns the time at which the switch counts as
    /// failed. `on_connect` is called for each connection that is tried.
    fn time_of_failure_with(
        liveness: &mut Liveness,
        from: u64,
        until: u64,
        on_connect: impl Fn(&mut Liveness, Time),
    ) -> Option<u64> {
        let mut now = at(from);
        while now < at(until) {
            match liveness.check(now) {
                CheckResult::Failed => return Some(now.0.as_millis() as u64),
                CheckResult::CheckAgain { connect, next_check, .. } => {
                    assert!(next_check > now);
                    if connect {
                        on_connect(liveness, now);
                    }
                    now = next_check;
                }
            }
        }
        None
    }

    fn time_of_failure(liveness: &mut Liveness, from: u64, until: u64) -> Option<u64> {
        time_of_failure_with(liveness, from, until, |_, _| {})
    }

    fn probes(result: CheckResult) -> bool {
        matches!(result, CheckResult::CheckAgain { probe: true, .. })
    }

    #[test]
    fn process_counts_as_dead_after_refusing_connections_for_a_while() {
        let mut liveness = Liveness::new(at(0));
        liveness.connection_refused(at(100));
        assert!(probes(liveness.check(at(100))), "it is probed at once");
        liveness.connection_refused(at(900));
        assert_eq!(time_of_failure(&mut liveness, 900, 5000), Some(1600));
        let mut liveness = Liveness::new(at(0));
        liveness.connection_refused(at(100));
        liveness.record(at(1500), Evidence::Connected);
        assert_eq!(time_of_failure(&mut liveness, 1500, 4000), None);
    }

    #[test]
    fn silent_machine_counts_as_dead_within_eight_seconds_but_only_after_probes() {
        let mut liveness = Liveness::new(at(0));
        assert!(!probes(liveness.check(at(1999))));
        assert!(probes(liveness.check(at(2000))));
        assert_eq!(time_of_failure(&mut liveness, 2000, 9000), Some(6500));
        // This process was suspended: what it did not receive meanwhile does not count as the switch's
        // silence.
        let mut liveness = Liveness::new(at(0));
        assert!(probes(liveness.check(at(9000))));
        liveness.record(at(9010), Evidence::AnyMessage);
        assert_eq!(time_of_failure(&mut liveness, 9010, 11_000), None);
    }

    #[test]
    fn unlisted_switch_is_probed_at_once_and_counts_as_dead_sooner() {
        let mut liveness = Liveness::new(at(0));
        liveness.set_listed_state(at(10), None);
        assert!(probes(liveness.check(at(10))));
        assert_eq!(time_of_failure(&mut liveness, 10, 9000), Some(2510));
    }

    #[test]
    fn only_releases_keep_an_unlisted_switch_alive() {
        use Evidence::{AnyMessage, CallRelease, Connected, StateReport};
        for (evidence, expected) in
            [(AnyMessage, 2500), (StateReport, 2500), (Connected, 2500), (CallRelease, 4500)]
        {
            let mut liveness = Liveness::new(at(0));
            liveness.set_listed_state(at(0), None);
            liveness.check(at(0));
            liveness.record(at(2000), evidence);
            assert_eq!(time_of_failure(&mut liveness, 2000, 9000), Some(expected), "{evidence:?}");
        }
    }

    #[test]
    fn switch_that_passes_tests_but_refuses_connections_counts_as_dead_after_seven_seconds() {
        for state in [ServerState::Draining, ServerState::Ready] {
            let mut liveness = Liveness::new(at(0));
            liveness.set_listed_state(at(0), Some(state));
            let fails_at = time_of_failure_with(&mut liveness, 0, 20_000, |liveness, now| {
                // Refused on the new connection, answered on an old one.
                liveness.connection_refused(now);
                liveness.record(now, Evidence::AnyMessage);
            });
            assert_eq!(fails_at, Some(7000), "{state:?}");
        }
    }

    #[test]
    fn switch_that_accepts_connections_is_reconnected_periodically_and_stays_alive() {
        for (state, tries) in [(ServerState::Draining, 19), (ServerState::Ready, 9)] {
            let tried = std::cell::Cell::new(0);
            let mut liveness = Liveness::new(at(0));
            liveness.set_listed_state(at(0), Some(state));
            let fails_at = time_of_failure_with(&mut liveness, 0, 40_000, |liveness, now| {
                tried.set(tried.get() + 1);
                liveness.record(now, Evidence::Connected);
            });
            assert_eq!((fails_at, tried.get()), (None, tries), "{state:?}");
        }
    }

    #[test]
    fn lost_connection_is_replaced_at_once_but_not_repeatedly() {
        let connects = |result: CheckResult| matches!(result, CheckResult::CheckAgain { connect: true, .. });
        let mut liveness = Liveness::new(at(0));
        assert!(!connects(liveness.check(at(100))));
        liveness.connection_lost(at(100));
        assert!(
            connects(liveness.check(at(100)))
                && !connects(liveness.check(at(900)))
                && connects(liveness.check(at(1100)))
        );
        liveness.record(at(1200), Evidence::StateReport);
        assert!(
            connects(liveness.check(at(2100))),
            "a report on an old connection recovers nothing that was lost"
        );
        liveness.record(at(2200), Evidence::Connected);
        assert!(!connects(liveness.check(at(4000))));
    }
}
