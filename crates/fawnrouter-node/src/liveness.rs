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
const REFUSED_FOR: Duration = Duration::from_millis(1500);
/// No proof for this long, and no new connection to be had: the page's 8 s less one to tell the callers in.
const UNTOLD_FOR: Duration = Duration::from_millis(7000);
/// Nothing was heard for this long: it is asked, as an idle switch may have nothing to say.
const ASK_AFTER: Duration = Duration::from_millis(2000);
/// Between two questions.
const ASK_AGAIN: Duration = Duration::from_millis(1000);
/// Nothing was heard for this long although it was asked: the page's 8 s less the time to tell the callers. A
/// processor that is only jammed answers something in that time.
const SILENT_FOR: Duration = Duration::from_millis(6500);
/// The same for one that the list no longer names.
const GONE_FOR: Duration = Duration::from_millis(2500);
/// No proof for this long from one that drains: it may tell no ends any more. As [`ASK_AFTER`].
const DOUBT_DRAINING: Duration = ASK_AFTER;
/// No proof for this long from any other: the list may be late. Half of the page's 8 s: rare, as each try is a
/// connection, and in time for [`UNTOLD_FOR`].
const DOUBT_READY: Duration = Duration::from_millis(4000);
/// Between two connections that are tried for a proof.
const KNOCK_AGAIN: Duration = Duration::from_millis(1000);
/// Between two looks at the least.
const MIN_LOOK: Duration = Duration::from_millis(50);

/// What to do about a core switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// What stood there is over.
    Dead,
    /// Look again.
    Look {
        /// Test it now.
        ask: bool,
        /// Try a connection now, even if others are up.
        knock: bool,
        /// When to look again.
        at: Time,
    },
}

/// What was seen of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sign {
    /// It sent something that shows no more than that somebody is there.
    Byte,
    /// It told its state.
    Works,
    /// A new connection came up.
    Connected,
    /// A call that stood there was released.
    Release,
}

/// What was seen of one core switch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Life {
    heard: Time,
    proof: Time,
    asked: Option<Time>,
    knocked: Option<Time>,
    /// Refused since then without a byte between.
    refused_since: Option<Time>,
    /// A connection was refused since the last proof.
    closed: bool,
    /// A connection that was up is lost, and none came up since: what was written to it may be lost too.
    lost: bool,
    drains: bool,
    gone: Option<Time>,
}

impl Life {
    pub fn new(now: Time) -> Self {
        Self {
            heard: now,
            proof: now,
            asked: None,
            knocked: None,
            refused_since: None,
            closed: false,
            lost: false,
            drains: false,
            gone: None,
        }
    }

    /// It showed a sign of life.
    pub fn sign(&mut self, now: Time, sign: Sign) {
        if self.gone.is_some() && sign != Sign::Release {
            return;
        }
        (self.heard, self.asked, self.refused_since) = (now, None, None);
        if sign != Sign::Byte {
            (self.proof, self.closed) = (now, false);
        }
        if sign == Sign::Connected {
            self.lost = false;
        }
    }

    /// It refused a connection.
    pub fn refused(&mut self, now: Time) {
        self.refused_since = self.refused_since.or(Some(now));
        self.closed = true;
    }

    /// A connection that was up is no more.
    pub fn lost(&mut self) {
        self.lost = true;
    }

    /// What the list says of it; `None`: it is not there.
    pub fn listed(&mut self, now: Time, state: Option<ServerState>) {
        self.drains = state != Some(ServerState::Ready);
        self.gone = if state.is_some() { None } else { self.gone.or(Some(now)) };
    }

    /// When it has to be taken for dead if nothing changes, and whether it must have been asked before.
    fn end(&self) -> (Time, bool) {
        let silent = match self.gone {
            Some(gone) => gone.max(self.proof).plus(GONE_FOR),
            None => self.heard.plus(SILENT_FOR),
        };
        let refused = self.refused_since.map(|since| since.plus(REFUSED_FOR));
        let untold = self.closed.then(|| self.proof.plus(UNTOLD_FOR));
        let unanswered = refused.map_or(silent, |refused| refused.min(silent));
        match untold {
            Some(untold) if untold <= unanswered => (untold, false),
            _ => (unanswered, true),
        }
    }

    /// Judges one with calls that stand there.
    pub fn judge(&mut self, now: Time) -> Verdict {
        let (end, asked_before) = self.end();
        // A process that stood still has heard nothing meanwhile: silence counts after a question only.
        if now >= end && (!asked_before || self.asked.is_some_and(|asked| asked < now)) {
            return Verdict::Dead;
        }
        let ask_at = match (self.asked, self.gone) {
            (Some(asked), _) => asked.plus(ASK_AGAIN),
            (None, Some(_)) => now,
            // Whether those connections that are up are answered tells a dead process from one that only drains.
            (None, None) if self.refused_since.is_some() => now,
            (None, None) => self.heard.plus(ASK_AFTER),
        };
        let doubt = self.proof.plus(if self.drains { DOUBT_DRAINING } else { DOUBT_READY });
        let doubt = if self.lost { now } else { doubt };
        let knock_at = self.knocked.map_or(doubt, |knocked| doubt.max(knocked.plus(KNOCK_AGAIN)));
        let (ask, knock) = (now >= ask_at, now >= knock_at);
        if ask {
            self.asked = Some(now);
        }
        if knock {
            self.knocked = Some(now);
        }
        let next_ask = if ask { now.plus(ASK_AGAIN) } else { ask_at };
        let next_knock = if knock { now.plus(KNOCK_AGAIN) } else { knock_at };
        let at = end.min(next_ask).min(next_knock).max(now.plus(MIN_LOOK));
        Verdict::Look { ask, knock, at }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time(Duration::from_millis(ms))
    }

    /// Judges as often as it asks for, from `from` on; when it is found dead. `on_knock` is told of tries.
    fn death_with(life: &mut Life, from: u64, until: u64, on_knock: impl Fn(&mut Life, Time)) -> Option<u64> {
        let mut now = at(from);
        while now < at(until) {
            match life.judge(now) {
                Verdict::Dead => return Some(now.0.as_millis() as u64),
                Verdict::Look { knock, at, .. } => {
                    assert!(at > now);
                    if knock {
                        on_knock(life, now);
                    }
                    now = at;
                }
            }
        }
        None
    }

    fn death(life: &mut Life, from: u64, until: u64) -> Option<u64> {
        death_with(life, from, until, |_, _| {})
    }

    fn asks(verdict: Verdict) -> bool {
        matches!(verdict, Verdict::Look { ask: true, .. })
    }

    #[test]
    fn refusals_for_a_while_are_a_death_and_one_that_ends_is_none() {
        let mut life = Life::new(at(0));
        life.refused(at(100));
        assert!(asks(life.judge(at(100))), "it is asked at once");
        life.refused(at(900));
        assert_eq!(death(&mut life, 900, 5000), Some(1600));
        let mut life = Life::new(at(0));
        life.refused(at(100));
        life.sign(at(1500), Sign::Connected);
        assert_eq!(death(&mut life, 1500, 4000), None);
    }

    #[test]
    fn silence_is_a_death_only_after_questions_and_within_eight_seconds() {
        let mut life = Life::new(at(0));
        assert!(!asks(life.judge(at(1999))));
        assert!(asks(life.judge(at(2000))));
        assert_eq!(death(&mut life, 2000, 9000), Some(6500));
        // This process stood still: what it did not hear meanwhile is no silence of the other's.
        let mut life = Life::new(at(0));
        assert!(asks(life.judge(at(9000))));
        life.sign(at(9010), Sign::Byte);
        assert_eq!(death(&mut life, 9010, 11_000), None);
    }

    #[test]
    fn one_that_left_the_list_is_asked_at_once_and_believed_sooner() {
        let mut life = Life::new(at(0));
        life.listed(at(10), None);
        assert!(asks(life.judge(at(10))));
        assert_eq!(death(&mut life, 10, 9000), Some(2510));
    }

    #[test]
    fn what_comes_from_the_address_of_one_that_is_gone_keeps_nothing_alive_but_its_releases_do() {
        use Sign::{Byte, Connected, Release, Works};
        for (sign, dead) in [(Byte, 2500), (Works, 2500), (Connected, 2500), (Release, 4500)] {
            let mut life = Life::new(at(0));
            life.listed(at(0), None);
            life.judge(at(0));
            life.sign(at(2000), sign);
            assert_eq!(death(&mut life, 2000, 9000), Some(dead), "{sign:?}");
        }
    }

    #[test]
    fn calls_on_one_that_passes_tests_and_accepts_nobody_are_over_as_late_as_the_page_allows() {
        for state in [ServerState::Draining, ServerState::Ready] {
            let mut life = Life::new(at(0));
            life.listed(at(0), Some(state));
            let dies = death_with(&mut life, 0, 20_000, |life, now| {
                // Refused on the new connection, and answered on an old one.
                life.refused(now);
                life.sign(now, Sign::Byte);
            });
            assert_eq!(dies, Some(7000), "{state:?}");
        }
    }

    #[test]
    fn one_that_accepts_connections_is_tried_from_time_to_time_and_lives() {
        for (state, tries) in [(ServerState::Draining, 19), (ServerState::Ready, 9)] {
            let tried = std::cell::Cell::new(0);
            let mut life = Life::new(at(0));
            life.listed(at(0), Some(state));
            let dies = death_with(&mut life, 0, 40_000, |life, now| {
                tried.set(tried.get() + 1);
                life.sign(now, Sign::Connected);
            });
            assert_eq!((dies, tried.get()), (None, tries), "{state:?}");
        }
    }

    #[test]
    fn a_lost_connection_is_followed_by_another_at_once_and_not_in_a_hurry() {
        let knocks = |v: Verdict| matches!(v, Verdict::Look { knock: true, .. });
        let mut life = Life::new(at(0));
        assert!(!knocks(life.judge(at(100))));
        life.lost();
        assert!(knocks(life.judge(at(100))) && !knocks(life.judge(at(900))) && knocks(life.judge(at(1100))));
        life.sign(at(1200), Sign::Works);
        assert!(knocks(life.judge(at(2100))), "an old connection brings back nothing that was lost");
        life.sign(at(2200), Sign::Connected);
        assert!(!knocks(life.judge(at(4000))));
    }
}
