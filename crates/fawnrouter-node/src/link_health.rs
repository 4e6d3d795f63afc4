//! Decides whether one connection to a core switch still carries messages.
//!
//! A connection can stay open and be of no use: the switch has forgotten it, or an answer on it was lost and
//! nothing follows. The switch behind it may serve all its other connections, so what is known of the switch
//! ([`crate::liveness`]) says nothing about one connection, and the other way round.
//!
//! A message on the connection is the only sign that it works. It is in doubt once an attempt on it has ended
//! unanswered, or once it has been quiet for [`QUIET_TIME`] although the switch has something to send on it
//! sooner or later. The release that ends an attempt is usually confirmed, which clears the doubt for free;
//! only a connection that stays silent is probed, once. If the probe stays unanswered, nothing more is written
//! on the connection while there is another one. It counts as dead, and is closed, when the switch has
//! answered a later question on another connection. A switch that answers nowhere is slow or not reachable:
//! its connections are kept, and [`crate::liveness`] decides about its calls.
//!
//! # The platform's limit of 8 s
//!
//! Releases written to a dead connection come again on the next one opened after it was closed. A call can end
//! right after the last message on the connection, and its caller must be told within 8 s: [`QUIET_TIME`],
//! [`PROBE_TIMEOUT`], 0.35 s until the switch has noticed the close, and 0.5 s to open a connection add up to
//! 5.9 s. A connection that does not come up at the first try adds 1 s.

use std::time::Duration;

use fawnrouter::Time;

/// How long a connection that is in use may be quiet before it is probed.
pub(crate) const QUIET_TIME: Duration = Duration::from_millis(4000);
/// How long the switch may take to confirm the release of an unanswered attempt before the connection is
/// probed.
const CONFIRMATION_TIME: Duration = Duration::from_millis(300);
/// Time after a probe from which on an unanswered one keeps set-ups and releases off the connection.
const PROBE_ANSWER_TIME: Duration = Duration::from_millis(500);
/// Time after which a probe counts as unanswered if the switch has answered a later question elsewhere.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);

/// How far a connection can be relied on. Ordered: the first is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LinkStatus {
    /// Nothing speaks against it.
    Trusted,
    /// An attempt on it ended unanswered, and nothing was received since.
    Doubted,
    /// A probe on it is not answered.
    Unresponsive,
}

/// The result of a check of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkCheck {
    /// There is nothing to check until the connection is used again.
    Idle,
    /// Check it again at this time.
    CheckAgain(Time),
    /// Send a probe on it now.
    Probe,
    /// It does not answer, and nothing shows that the switch answers elsewhere: probe another connection, if
    /// there is one, and check this one again at this time.
    ProbeAnother(Time),
    /// It is dead: close it.
    Dead,
}

/// What is known about one connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkHealth {
    /// When a message was last received, or the connection came up or was first used after it had been idle.
    quiet_since: Time,
    /// When the first attempt ended unanswered since something was received.
    doubted_since: Option<Time>,
    /// When the first probe was sent since something was received.
    probed_at: Option<Time>,
    /// When the latest question (a set-up or a probe) that was answered on it had been sent.
    latest_answered: Option<Time>,
}

impl LinkHealth {
    pub fn new(now: Time) -> Self {
        Self { quiet_since: now, doubted_since: None, probed_at: None, latest_answered: None }
    }

    /// Records that the connection is used after it had been idle: the switch owed nothing until now.
    pub fn use_begins(&mut self, now: Time) {
        self.quiet_since = now;
    }

    /// Records that a message was received on the connection.
    pub fn received(&mut self, now: Time) {
        (self.quiet_since, self.doubted_since, self.probed_at) = (now, None, None);
    }

    /// Records that a set-up or probe sent at `asked_at` was answered on the connection.
    pub fn answered(&mut self, asked_at: Time) {
        self.latest_answered = self.latest_answered.max(Some(asked_at));
    }

    /// When the latest answered question was sent.
    pub fn latest_answered(&self) -> Option<Time> {
        self.latest_answered
    }

    /// Records that an attempt on the connection ended without an answer.
    pub fn attempt_unanswered(&mut self, now: Time) {
        self.doubted_since = self.doubted_since.or(Some(now));
    }

    /// Records that a probe was sent on the connection.
    pub fn probed(&mut self, now: Time) {
        self.probed_at = self.probed_at.or(Some(now));
    }

    /// Whether a probe was sent so recently that its answer may be on its way.
    pub fn awaits_probe(&self, now: Time) -> bool {
        self.probed_at.is_some_and(|probed_at| now.since(probed_at) < PROBE_ANSWER_TIME)
    }

    /// How far the connection can be relied on.
    pub fn status(&self, now: Time) -> LinkStatus {
        match (self.probed_at, self.doubted_since) {
            (Some(probed_at), _) if now.since(probed_at) >= PROBE_ANSWER_TIME => LinkStatus::Unresponsive,
            (_, Some(_)) => LinkStatus::Doubted,
            _ => LinkStatus::Trusted,
        }
    }

    /// Checks the connection. `in_use` says that the switch will sooner or later send something on it;
    /// `answered_elsewhere` is when the latest question was sent that the switch answered on another
    /// connection.
    pub fn check(&self, now: Time, in_use: bool, answered_elsewhere: Option<Time>) -> LinkCheck {
        if let Some(probed_at) = self.probed_at {
            let unresponsive_at = probed_at.plus(PROBE_ANSWER_TIME);
            let timeout_at = probed_at.plus(PROBE_TIMEOUT);
            let answers_elsewhere = answered_elsewhere.is_some_and(|asked_at| asked_at >= probed_at);
            return if now < unresponsive_at {
                LinkCheck::CheckAgain(unresponsive_at)
            } else if !answers_elsewhere {
                LinkCheck::ProbeAnother(timeout_at.max(now.plus(PROBE_TIMEOUT - PROBE_ANSWER_TIME)))
            } else if now < timeout_at {
                LinkCheck::CheckAgain(timeout_at)
            } else {
                LinkCheck::Dead
            };
        }
        let quiet_until = in_use.then(|| self.quiet_since.plus(QUIET_TIME));
        let confirmed_until = self.doubted_since.map(|since| since.plus(CONFIRMATION_TIME));
        match quiet_until.into_iter().chain(confirmed_until).min() {
            None => LinkCheck::Idle,
            Some(probe_at) if now >= probe_at => LinkCheck::Probe,
            Some(probe_at) => LinkCheck::CheckAgain(probe_at),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time(Duration::from_millis(ms))
    }

    #[test]
    fn unanswered_attempt_puts_connection_in_doubt_until_anything_is_received() {
        let mut health = LinkHealth::new(at(0));
        assert_eq!(
            (health.status(at(0)), health.check(at(0), false, None)),
            (LinkStatus::Trusted, LinkCheck::Idle)
        );
        health.attempt_unanswered(at(1000));
        assert_eq!(health.status(at(1000)), LinkStatus::Doubted);
        assert_eq!(health.check(at(1000), false, None), LinkCheck::CheckAgain(at(1300)));
        assert_eq!(health.check(at(1300), false, None), LinkCheck::Probe);
        health.received(at(1301));
        assert_eq!(
            (health.status(at(9000)), health.check(at(9000), false, None)),
            (LinkStatus::Trusted, LinkCheck::Idle)
        );
    }

    #[test]
    fn quiet_connection_is_probed_only_while_it_is_in_use() {
        let mut health = LinkHealth::new(at(0));
        assert_eq!(health.check(at(60_000), false, None), LinkCheck::Idle);
        health.use_begins(at(60_000));
        assert_eq!(health.check(at(60_000), true, None), LinkCheck::CheckAgain(at(64_000)));
        assert_eq!(health.check(at(64_000), true, None), LinkCheck::Probe);
        health.received(at(63_000));
        assert_eq!(health.check(at(64_000), true, None), LinkCheck::CheckAgain(at(67_000)));
    }

    #[test]
    fn connection_is_dead_only_if_switch_answers_later_question_elsewhere() {
        let mut health = LinkHealth::new(at(0));
        health.probed(at(1000));
        health.probed(at(1400));
        assert_eq!(health.status(at(1499)), LinkStatus::Trusted, "an answer takes some time");
        assert!(health.awaits_probe(at(1499)) && !health.awaits_probe(at(1500)));
        assert_eq!(health.status(at(1500)), LinkStatus::Unresponsive);
        assert_eq!(health.check(at(1499), true, None), LinkCheck::CheckAgain(at(1500)));
        assert_eq!(health.check(at(1999), true, Some(at(1500))), LinkCheck::CheckAgain(at(2000)));
        assert_eq!(health.check(at(2000), true, Some(at(1000))), LinkCheck::Dead);
        // A question asked before the probe may have been answered before the switch stalled.
        for answered_elsewhere in [None, Some(at(999))] {
            assert_eq!(health.check(at(1500), true, answered_elsewhere), LinkCheck::ProbeAnother(at(2000)));
            assert_eq!(health.check(at(2000), true, answered_elsewhere), LinkCheck::ProbeAnother(at(2500)));
        }
        health.received(at(2000));
        assert_eq!(health.status(at(2600)), LinkStatus::Trusted);
    }
}
