//! Admission of set-ups before the controller: `fawnrouter_admission` decides when a set-up may proceed, and
//! this module sends the answers and sets the timers.

use fawnrouter::{CallId, Event, NewCall};
use fawnrouter_admission::{CallState, SetUpAdmission, SetUpDecision};

use crate::engine::Engine;
use crate::interface::ClientId;
use crate::status::{FinalAnswer, retry_after_seconds};
use crate::timer::TimerKey;

impl Engine {
    /// Whether a new set-up may proceed, waits or is refused.
    pub(crate) fn admit_set_up(&mut self, client: ClientId, id: CallId) -> SetUpDecision {
        let (Some(set_ups), Some(known)) = (&mut self.gate.set_ups, self.table.clients.get(&client)) else {
            return SetUpDecision::Proceed;
        };
        let (decision, displaced) = set_ups.offer(self.now.0, known.identity.client_identity(), id.0);
        if let Some((other, decision)) = displaced {
            self.refuse_set_up(CallId(other), decision);
        }
        decision
    }

    /// Sends the final answer of a call that was refused after it had waited.
    fn refuse_set_up(&mut self, id: CallId, decision: SetUpDecision) {
        if let SetUpDecision::Refuse { reason, retry_after } = decision {
            self.counters.refused += 1;
            let retry_after_s = Some(retry_after_seconds(retry_after).max(1));
            self.send_final(id, FinalAnswer { status: 503, retry_after_s, text: reason.text() });
        }
    }

    /// Refuses a call whose longest wait has passed. Returns `false` if the call does not wait.
    pub(crate) fn set_up_wait_expired(&mut self, id: CallId) -> bool {
        let now = self.now.0;
        let decision = self.gate.set_ups.as_mut().and_then(|s| s.wait_expired(now, id.0));
        match decision {
            Some(decision) => {
                self.refuse_set_up(id, decision);
                true
            }
            None => false,
        }
    }

    /// Submits a call to the controller.
    pub(crate) fn submit_call(&mut self, mut call: NewCall) {
        let Some(known) = self.table.calls.get(&call.id) else { return };
        let deadline = known.deadline;
        call.time_left = deadline.since(self.now);
        self.table.timers.set(TimerKey::Call(call.id), deadline);
        self.events.push_back(Event::Call(call));
    }

    /// Submits the waiting calls that may proceed now.
    pub(crate) fn submit_admitted_calls(&mut self) {
        let now = self.now.0;
        while let Some(id) = self.gate.set_ups.as_mut().and_then(|s| s.next_ready(now)) {
            let waiting = self.table.calls.get_mut(&CallId(id)).and_then(|c| c.queued.take());
            if let Some(call) = waiting {
                self.submit_call(call);
                self.process_events();
            }
        }
    }

    /// Reports to the admission of set-ups that a call has changed its state there. [`CallState`] is the
    /// admission's view of a call, [`Stage`](crate::table::Stage) the engine's.
    pub(crate) fn set_up_state_changed(&mut self, id: CallId, state: CallState) {
        let now = self.now.0;
        if let Some(set_ups) = &mut self.gate.set_ups {
            set_ups.set_state(now, id.0, state);
        }
    }

    /// Reports to the admission of set-ups that a call has ended.
    pub(crate) fn set_up_ended(&mut self, id: CallId) {
        let now = self.now.0;
        if let Some(set_ups) = &mut self.gate.set_ups {
            set_ups.call_ended(now, id.0);
        }
    }

    /// The admission of set-ups, for operators' reports, if it is on.
    #[must_use]
    pub fn set_up_admission(&self) -> Option<&SetUpAdmission> {
        self.gate.set_ups.as_ref()
    }
}
