//! When a core switch's standing calls count as cut though nobody said so: its process died, or its machine went
//! silent. A lost connection alone proves nothing, as connections are reset for other reasons.
//!
//! Evidence for a death: every connection refused for [`REFUSED_FOR`]; or not a byte and no new connection for
//! [`SILENT_FOR`], although it was asked ([`ASK_AFTER`]); the same for [`GONE_FOR`] where the list no longer names it.

use std::time::Duration;

use fawnrouter::Time;

/// Connections were refused for this long, and none came up: nobody listens any more. Longer than a restart of a
/// listener takes, short enough for callers to hear within the page's 8 s.
const REFUSED_FOR: Duration = Duration::from_millis(1500);
/// Nothing was heard for this long: it is asked, as an idle switch may have nothing to say.
const ASK_AFTER: Duration = Duration::from_millis(2000);
/// Between two questions.
const ASK_AGAIN: Duration = Duration::from_millis(1000);
/// Nothing was heard for this long although it was asked: the page's 8 s less the time to tell the callers. A
/// processor that is only jammed answers something in that time.
const SILENT_FOR: Duration = Duration::from_millis(6500);
/// The same for one that the list no longer names.
const GONE_FOR: Duration = Duration::from_millis(2500);

/// What to do about a core switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Look again then.
    Wait(Time),
    /// Test it, and look again then.
    Ask(Time),
    /// What stood there is cut.
    Dead,
}

/// What was seen of one core switch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Life {
    heard: Time,
    asked: Option<Time>,
    refused_since: Option<Time>,
    gone: bool,
}

impl Life {
    pub fn new(now: Time) -> Self {
        Self { heard: now, asked: None, refused_since: None, gone: false }
    }

    /// It sent something, or a new connection came up.
    pub fn heard(&mut self, now: Time) {
        (self.heard, self.asked, self.refused_since) = (now, None, None);
    }

    /// It refused a connection.
    pub fn refused(&mut self, now: Time) {
        self.refused_since = self.refused_since.or(Some(now));
    }

    /// Whether the list names it.
    pub fn listed(&mut self, listed: bool) {
        self.gone = !listed;
    }

    /// Judges one with calls that stand there.
    pub fn judge(&mut self, now: Time) -> Verdict {
        if self.refused_since.is_some_and(|since| now.since(since) >= REFUSED_FOR) {
            return Verdict::Dead;
        }
        let patience = if self.gone { GONE_FOR } else { SILENT_FOR };
        let ask_after = if self.gone { Duration::ZERO } else { ASK_AFTER };
        let silent = now.since(self.heard);
        let asked_before = self.asked.is_some_and(|asked| asked < now);
        if silent >= patience && asked_before {
            return Verdict::Dead;
        }
        let mut look = self.heard.plus(patience);
        if let Some(since) = self.refused_since {
            look = look.min(since.plus(REFUSED_FOR));
        }
        let ask_at = self.asked.map_or(self.heard.plus(ask_after), |asked| asked.plus(ASK_AGAIN));
        if now >= ask_at {
            self.asked = Some(now);
            return Verdict::Ask(look.max(now).min(now.plus(ASK_AGAIN)).max(now.plus(MIN_LOOK)));
        }
        Verdict::Wait(look.min(ask_at).max(now.plus(MIN_LOOK)))
    }
}

/// Between two looks at the least.
const MIN_LOOK: Duration = Duration::from_millis(50);

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time(Duration::from_millis(ms))
    }

    /// Judges as often as it asks for, from `from` on; when it is found dead.
    fn death(life: &mut Life, from: u64, until: u64) -> Option<u64> {
        let mut now = at(from);
        while now < at(until) {
            match life.judge(now) {
                Verdict::Dead => return Some(now.0.as_millis() as u64),
                Verdict::Wait(next) | Verdict::Ask(next) => {
                    assert!(next > now);
                    now = next;
                }
            }
        }
        None
    }

    #[test]
    fn refusals_for_a_while_are_a_death_and_one_that_ends_is_none() {
        let mut life = Life::new(at(0));
        life.refused(at(100));
        life.refused(at(900));
        assert_eq!(death(&mut life, 900, 5000), Some(1600));
        let mut life = Life::new(at(0));
        life.refused(at(100));
        life.heard(at(1500));
        assert_eq!(death(&mut life, 1500, 4000), None);
    }

    #[test]
    fn silence_is_a_death_only_after_questions_and_within_eight_seconds() {
        let mut life = Life::new(at(0));
        assert!(matches!(life.judge(at(1999)), Verdict::Wait(_)));
        assert!(matches!(life.judge(at(2000)), Verdict::Ask(_)));
        assert_eq!(death(&mut life, 2000, 9000), Some(6500));
        // This process stood still: what it did not hear meanwhile is no silence of the other's.
        let mut life = Life::new(at(0));
        assert!(matches!(life.judge(at(9000)), Verdict::Ask(_)));
        life.heard(at(9010));
        assert_eq!(death(&mut life, 9010, 11_000), None);
    }

    #[test]
    fn one_that_left_the_list_is_asked_at_once_and_believed_sooner() {
        let mut life = Life::new(at(0));
        life.listed(false);
        assert!(matches!(life.judge(at(10)), Verdict::Ask(_)));
        assert_eq!(death(&mut life, 10, 9000), Some(2500));
    }
}
