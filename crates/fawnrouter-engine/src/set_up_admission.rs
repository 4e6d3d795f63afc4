//! Before a call reaches the controller: whether its set-up's turn has come. Decided in `fawnrouter_admission`; here
//! are the answers and timers that follow.

use fawnrouter::{CallId, Event, NewCall};
use fawnrouter_admission::{CallState, SetUpAdmission, SetUpDecision};

use crate::due::Key;
use crate::engine::Engine;
use crate::interface::ClientId;
use crate::status::{FinalAnswer, retry_after_seconds};

impl Engine {
    /// Whether a new set-up may go on, wait, or not.
    pub(crate) fn judge_set_up(&mut self, client: ClientId, id: CallId) -> SetUpDecision {
        let (Some(set_ups), Some(known)) = (&mut self.gate.set_ups, self.table.clients.get(&client)) else {
            return SetUpDecision::Proceed;
        };
        let (turn, pushed) = set_ups.offer(self.now.0, known.identity.who(), id.0);
        if let Some((other, turn)) = pushed {
            self.refuse_set_up(CallId(other), turn);
        }
        turn
    }

    /// The final answer of a call that waited in vain.
    fn refuse_set_up(&mut self, id: CallId, turn: SetUpDecision) {
        if let SetUpDecision::Refuse { reason, retry_after } = turn {
            self.counters.refused += 1;
            let retry_after_s = Some(retry_after_seconds(retry_after).max(1));
            self.answer_final(id, FinalAnswer { status: 503, retry_after_s, text: reason.text() });
        }
    }

    /// A call that may wait has waited for as long as it may; `false` if it does not wait.
    pub(crate) fn wait_expired(&mut self, id: CallId) -> bool {
        let now = self.now.0;
        let turn = self.gate.set_ups.as_mut().and_then(|s| s.wait_expired(now, id.0));
        match turn {
            Some(turn) => {
                self.refuse_set_up(id, turn);
                true
            }
            None => false,
        }
    }

    /// Hands a call to the controller.
    pub(crate) fn hand_over(&mut self, mut call: NewCall) {
        let Some(known) = self.table.calls.get(&call.id) else { return };
        let due = known.due;
        call.time_left = due.since(self.now);
        self.table.due.set(Key::Call(call.id), due);
        self.events.push_back(Event::Call(call));
    }

    /// Hands over the calls whose turn has come.
    pub(crate) fn hand_over_next(&mut self) {
        let now = self.now.0;
        while let Some(id) = self.gate.set_ups.as_mut().and_then(|s| s.next_ready(now)) {
            let waiting = self.table.calls.get_mut(&CallId(id)).and_then(|c| c.waits.take());
            if let Some(call) = waiting {
                self.hand_over(call);
                self.run();
            }
        }
    }

    /// Tells the decisions on set-ups where a call is now.
    pub(crate) fn set_up_moved(&mut self, id: CallId, stay: CallState) {
        let now = self.now.0;
        if let Some(set_ups) = &mut self.gate.set_ups {
            set_ups.set_state(now, id.0, stay);
        }
    }

    /// Tells the decisions on set-ups that a call is over.
    pub(crate) fn set_up_over(&mut self, id: CallId) {
        let now = self.now.0;
        if let Some(set_ups) = &mut self.gate.set_ups {
            set_ups.call_ended(now, id.0);
        }
    }

    /// The decisions on set-ups, for operators, if they are on.
    #[must_use]
    pub fn set_up_admission(&self) -> Option<&SetUpAdmission> {
        self.gate.set_ups.as_ref()
    }
}
