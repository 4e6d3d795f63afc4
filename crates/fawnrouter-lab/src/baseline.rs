//! A baseline for comparison: plain round robin over the switches that the list shows as ready, with an
//! immediate retry at the next one after a failure. It has no overload control, no cold-start limit and no
//! release guard.

use std::collections::BTreeMap;
use std::time::Duration;

use fawnrouterd::engine::Decide;
use fawnrouterd::engine::fawnrouter::{
    Action, CallId, Event, ListKind, NewCall, Outcome, ServerId, ServerState, Time, TimerId,
};

#[derive(Debug)]
struct PendingCall {
    until: Time,
    attempts: u32,
}

/// Round robin over the ready switches.
#[derive(Debug)]
pub struct RoundRobin {
    ready: Vec<ServerId>,
    last_index: usize,
    calls: BTreeMap<CallId, PendingCall>,
    max_attempts: u32,
}

/// A call is answered this long before its caller's time runs out.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

impl RoundRobin {
    /// Creates a router that makes up to this many attempts per call.
    #[must_use]
    pub fn new(max_attempts: u32) -> Self {
        Self { ready: Vec::new(), last_index: 0, calls: BTreeMap::new(), max_attempts }
    }

    fn send(&mut self, now: Time, call: CallId, actions: &mut Vec<Action>) {
        let Some(pending) = self.calls.get_mut(&call) else { return };
        let time_left = pending.until.since(now);
        if self.ready.is_empty() || pending.attempts >= self.max_attempts || time_left.is_zero() {
            self.calls.remove(&call);
            return actions.push(Action::Refuse { call, retry_after: Duration::from_secs(1) });
        }
        pending.attempts += 1;
        self.last_index = (self.last_index + 1) % self.ready.len();
        actions.push(Action::Issue { call, server: self.ready[self.last_index], within: time_left });
    }
}

impl Decide for RoundRobin {
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, entries } if kind != ListKind::Failed => {
                self.ready = entries.iter().filter(|e| e.state == ServerState::Ready).map(|e| e.id).collect();
                actions.push(Action::SetTimer { after: Duration::from_secs(3600), timer: TimerId(0) });
            }
            Event::Call(NewCall { id, time_left: left, .. }) => {
                let until = now.plus(left.saturating_sub(ANSWER_MARGIN));
                self.calls.insert(id, PendingCall { until, attempts: 0 });
                self.send(now, id, actions);
            }
            Event::Established { call, .. }
            | Event::Abandoned(call)
            | Event::Closed { call, done: true, .. } => {
                self.calls.remove(&call);
            }
            Event::Closed { call, outcome, .. } if outcome != Outcome::Ended => self.send(now, call, actions),
            _ => {}
        }
    }
}
