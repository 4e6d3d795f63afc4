//! When a core switch's standing calls count as over though nobody said so: its process died, its machine went silent,
//! or it can no longer tell. A lost connection alone proves nothing, as connections are reset for other reasons.
//!
//! Two things are told apart. A **byte** shows that something is there. A **proof** shows that its releases reach this
//! gateway: a connection that it accepts, its state, the release of a call. A switch at the end of its drain still passes
//! tests, answers late set-ups and refuses others on its old connections, but takes no new one and tells no end of a
//! call; those that stand are cut some seconds later, when it stops. So its calls are left alone for as long as the
//! page allows and no longer.
//!
//! What counts as the end:
//! * every connection refused for [`REFUSED_FOR`] and not a byte meanwhile, although it was asked: the process is dead;
//! * no proof for [`UNTOLD_FOR`] and a connection refused in that time: ends may have gone untold;
//! * not a byte and no new connection for [`SILENT_FOR`], although it was asked ([`ASK_AFTER`]): the machine is silent;
//! * the list no longer names it, and no call of its was released for [`GONE_FOR`]: its address may be another's by
//!   then, so that nothing else that comes from there counts.
//!
//! So that a refusal is seen at all, a connection is tried though others are up when proofs stay out
//! ([`DOUBT_DRAINING`], [`DOUBT_READY`]), and when one that was up is lost: a release that was written to it comes again
//! on the next one opened, and only there.
//!
//! The page wants callers told within 8 s of an end that nobody tells. The longest ways: 7.0 s without a proof (which
//! came before the end), 6.5 s of silence, or the list's 4.5 s at the latest and 2.5 s more.

use std::time::Duration;

use fawnrouter::{ServerState, Time};

/// Connections were refused for this long, and none came up: nobody listens any more. Longer than a restart of a
/// listener takes, short enough for callers to hear within the page's 8 s.
const REFUSED_TIMEOUT: Duration = Duration::from_millis(1500);
/// No proof for this long, and no new connection to be had: the page's 8 s less one to tell the callers in.
const NO_PROOF_TIMEOUT: Duration = Duration::from_millis(7000);
/// Nothing was heard for this long: it is asked, as an idle switch may have nothing to say.
const PROBE_AFTER: Duration = Duration::from_millis(2000);
/// Between two questions.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Nothing was heard for this long although it was asked: the page's 8 s less the time to tell the callers. A
/// processor that is only jammed answers something in that time.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(6500);
/// The same for one that the list no longer names.
const UNLISTED_TIMEOUT: Duration = Duration::from_millis(2500);
/// No proof for this long from one that drains: it may tell no ends any more. As [`ASK_AFTER`].
const RECONNECT_AFTER_DRAINING: Duration = PROBE_AFTER;
/// No proof for this long from any other: the list may be late. Half of the page's 8 s: rare, as each try is a
/// connection, and in time for [`UNTOLD_FOR`].
const RECONNECT_AFTER_READY: Duration = Duration::from_millis(4000);
/// Between two connections that are tried for a proof.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(1000);
/// Between two looks at the least.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What to do about a core switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// What stood there is over.
    Dead,
    /// Look again.
    Alive {
        /// Test it now.
        probe: bool,
        /// Try a connection now, even if others are up.
        connect: bool,
        /// When to look again.
        next_check: Time,
    },
}

/// What was seen of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// It sent something that shows no more than that somebody is there.
    AnyByte,
    /// It told its state.
    StateReport,
    /// A new connection came up.
    Connected,
    /// A call that stood there was released.
    CallRelease,
}

/// What was seen of one core switch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Liveness {
    last_byte: Time,
    last_proof: Time,
    probed_at: Option<Time>,
    connect_tried_at: Option<Time>,
    /// Refused since then without a byte between.
    refused_since: Option<Time>,
    /// A connection was refused since the last proof.
    refused_since_proof: bool,
    /// A connection that was up is lost, and none came up since: what was written to it may be lost too.
    connection_lost: bool,
    draining: bool,
    unlisted_since: Option<Time>,
}

impl Liveness {
    pub fn new(now: Time) -> Self {
        Self {
            last_byte: now,
            last_proof: now,
            probed_at: None,
            connect_tried_at: None,
            refused_since: None,
            refused_since_proof: false,
            connection_lost: false,
            draining: false,
            unlisted_since: None,
        }
    }

    /// It showed a sign of life.
    pub fn record(&mut self, now: Time, evidence: Evidence) {
        if self.unlisted_since.is_some() && evidence != Evidence::CallRelease {
            return;
        }
        (self.last_byte, self.probed_at, self.refused_since) = (now, None, None);
        if evidence != Evidence::AnyByte {
            (self.last_proof, self.refused_since_proof) = (now, false);
        }
        if evidence == Evidence::Connected {
            self.connection_lost = false;
        }
    }

    /// It refused a connection.
    pub fn connection_refused(&mut self, now: Time) {
        self.refused_since = self.refused_since.or(Some(now));
        self.refused_since_proof = true;
    }

    /// A connection that was up is no more.
    pub fn connection_lost(&mut self) {
        self.connection_lost = true;
    }

    /// What the list says of it; `None`: it is not there.
    pub fn set_listed_state(&mut self, now: Time, state: Option<ServerState>) {
        self.draining = state != Some(ServerState::Ready);
        self.unlisted_since = if state.is_some() { None } else { self.unlisted_since.or(Some(now)) };
    }

    /// When it has to be taken for dead if nothing changes, and whether it must have been asked before.
    fn death_deadline(&self) -> (Time, bool) {
        let silent = match self.unlisted_since {
            Some(gone) => gone.max(self.last_proof).plus(UNLISTED_TIMEOUT),
            None => self.last_byte.plus(SILENCE_TIMEOUT),
        };
        let refused = self.refused_since.map(|since| since.plus(REFUSED_TIMEOUT));
        let untold = self.refused_since_proof.then(|| self.last_proof.plus(NO_PROOF_TIMEOUT));
        let unanswered = refused.map_or(silent, |refused| refused.min(silent));
        match untold {
            Some(untold) if untold <= unanswered => (untold, false),
            _ => (unanswered, true),
        }
    }

    /// Judges one with calls that stand there.
    pub fn check(&mut self, now: Time) -> Verdict {
        let (deadline, must_have_probed) = self.death_deadline();
        // A process that stood still has heard nothing meanwhile: silence counts after a question only.
        if now >= deadline && (!must_have_probed || self.probed_at.is_some_and(|probed_at| probed_at < now)) {
            return Verdict::Dead;
        }
        let probe_at = match (self.probed_at, self.unlisted_since) {
            (Some(probed_at), _) => probed_at.plus(PROBE_INTERVAL),
            (None, Some(_)) => now,
            // Whether those connections that are up are answered tells a dead process from one that only drains.
            (None, None) if self.refused_since.is_some() => now,
            (None, None) => self.last_byte.plus(PROBE_AFTER),
        };
        let reconnect_at = self.last_proof.plus(if self.draining {
            RECONNECT_AFTER_DRAINING
        } else {
            RECONNECT_AFTER_READY
        });
        let reconnect_at = if self.connection_lost { now } else { reconnect_at };
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
        Verdict::Alive { probe, connect, next_check }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time(Duration::from_millis(ms))
    }

    /// Judges as often as it asks for, from `from` on; when it is found dead. `on_knock` is told of tries.
    fn time_of_death_with(
        liveness: &mut Liveness,
        from: u64,
        until: u64,
        on_connect: impl Fn(&mut Liveness, Time),
    ) -> Option<u64> {
        let mut now = at(from);
        while now < at(until) {
            match liveness.check(now) {
                Verdict::Dead => return Some(now.0.as_millis() as u64),
                Verdict::Alive { connect, next_check, .. } => {
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

    fn time_of_death(liveness: &mut Liveness, from: u64, until: u64) -> Option<u64> {
        time_of_death_with(liveness, from, until, |_, _| {})
    }

    fn probes(verdict: Verdict) -> bool {
        matches!(verdict, Verdict::Alive { probe: true, .. })
    }

    #[test]
    fn refusals_for_a_while_are_a_death_and_one_that_ends_is_none() {
        let mut liveness = Liveness::new(at(0));
        liveness.connection_refused(at(100));
        assert!(probes(liveness.check(at(100))), "it is asked at once");
        liveness.connection_refused(at(900));
        assert_eq!(time_of_death(&mut liveness, 900, 5000), Some(1600));
        let mut liveness = Liveness::new(at(0));
        liveness.connection_refused(at(100));
        liveness.record(at(1500), Evidence::Connected);
        assert_eq!(time_of_death(&mut liveness, 1500, 4000), None);
    }

    #[test]
    fn silence_is_a_death_only_after_questions_and_within_eight_seconds() {
        let mut liveness = Liveness::new(at(0));
        assert!(!probes(liveness.check(at(1999))));
        assert!(probes(liveness.check(at(2000))));
        assert_eq!(time_of_death(&mut liveness, 2000, 9000), Some(6500));
        // This process stood still: what it did not hear meanwhile is no silence of the other's.
        let mut liveness = Liveness::new(at(0));
        assert!(probes(liveness.check(at(9000))));
        liveness.record(at(9010), Evidence::AnyByte);
        assert_eq!(time_of_death(&mut liveness, 9010, 11_000), None);
    }

    #[test]
    fn one_that_left_the_list_is_asked_at_once_and_believed_sooner() {
        let mut liveness = Liveness::new(at(0));
        liveness.set_listed_state(at(10), None);
        assert!(probes(liveness.check(at(10))));
        assert_eq!(time_of_death(&mut liveness, 10, 9000), Some(2510));
    }

    #[test]
    fn what_comes_from_the_address_of_one_that_is_gone_keeps_nothing_alive_but_its_releases_do() {
        use Evidence::{AnyByte, CallRelease, Connected, StateReport};
        for (sign, dead) in [(AnyByte, 2500), (StateReport, 2500), (Connected, 2500), (CallRelease, 4500)] {
            let mut liveness = Liveness::new(at(0));
            liveness.set_listed_state(at(0), None);
            liveness.check(at(0));
            liveness.record(at(2000), sign);
            assert_eq!(time_of_death(&mut liveness, 2000, 9000), Some(dead), "{sign:?}");
        }
    }

    #[test]
    fn calls_on_one_that_passes_tests_and_accepts_nobody_are_over_as_late_as_the_page_allows() {
        for state in [ServerState::Draining, ServerState::Ready] {
            let mut liveness = Liveness::new(at(0));
            liveness.set_listed_state(at(0), Some(state));
            let dies = time_of_death_with(&mut liveness, 0, 20_000, |liveness, now| {
                // Refused on the new connection, and answered on an old one.
                liveness.connection_refused(now);
                liveness.record(now, Evidence::AnyByte);
            });
            assert_eq!(dies, Some(7000), "{state:?}");
        }
    }

    #[test]
    fn one_that_accepts_connections_is_tried_from_time_to_time_and_lives() {
        for (state, tries) in [(ServerState::Draining, 19), (ServerState::Ready, 9)] {
            let tried = std::cell::Cell::new(0);
            let mut liveness = Liveness::new(at(0));
            liveness.set_listed_state(at(0), Some(state));
            let dies = time_of_death_with(&mut liveness, 0, 40_000, |liveness, now| {
                tried.set(tried.get() + 1);
                liveness.record(now, Evidence::Connected);
            });
            assert_eq!((dies, tried.get()), (None, tries), "{state:?}");
        }
    }

    #[test]
    fn a_lost_connection_is_followed_by_another_at_once_and_not_in_a_hurry() {
        let connects = |v: Verdict| matches!(v, Verdict::Alive { connect: true, .. });
        let mut liveness = Liveness::new(at(0));
        assert!(!connects(liveness.check(at(100))));
        liveness.connection_lost();
        assert!(
            connects(liveness.check(at(100)))
                && !connects(liveness.check(at(900)))
                && connects(liveness.check(at(1100)))
        );
        liveness.record(at(1200), Evidence::StateReport);
        assert!(connects(liveness.check(at(2100))), "an old connection brings back nothing that was lost");
        liveness.record(at(2200), Evidence::Connected);
        assert!(!connects(liveness.check(at(4000))));
    }
}
