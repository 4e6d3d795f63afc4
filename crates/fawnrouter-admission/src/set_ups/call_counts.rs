//! Counts of calls, by client and in total, from a call's set-up to its end.

use std::time::Duration;

use super::SetUpAdmission;
use super::call::{Call, CallState, ClientIdentity, ClientUsage};

impl SetUpAdmission {
    /// Adds a call to all counts.
    pub(super) fn insert(&mut self, call: u64, client: ClientIdentity, state: CallState) {
        let usage = self.usage.entry(client.clone()).or_default();
        usage.calls += 1;
        usage.pending += 1;
        let routing = usize::from(state == CallState::Routing);
        self.in_routing += routing;
        self.in_routing_unknown += if matches!(client, ClientIdentity::Unknown(_)) { routing } else { 0 };
        self.calls.insert(call, Call { client, state });
    }

    /// Removes a call from all counts.
    pub(super) fn remove(&mut self, call: u64) -> Option<Call> {
        let call = self.calls.remove(&call)?;
        let routing = usize::from(call.state == CallState::Routing);
        self.in_routing -= routing;
        self.in_routing_unknown -=
            if matches!(call.client, ClientIdentity::Unknown(_)) { routing } else { 0 };
        if let Some(usage) = self.usage.get_mut(&call.client) {
            usage.calls -= 1;
            usage.pending -= usize::from(call.state != CallState::Established);
            if usage.calls == 0 {
                self.usage.remove(&call.client);
            }
        }
        Some(call)
    }

    /// Records that a call has changed its state. Ignored for a call that is not counted here.
    pub fn set_state(&mut self, now: Duration, call: u64, state: CallState) {
        self.now = self.now.max(now);
        let Some(call) = self.calls.get_mut(&call) else { return };
        let old_state = std::mem::replace(&mut call.state, state);
        if old_state == state {
            return;
        }
        let before = usize::from(old_state == CallState::Routing);
        let after = usize::from(state == CallState::Routing);
        self.in_routing = self.in_routing + after - before;
        if matches!(call.client, ClientIdentity::Unknown(_)) {
            self.in_routing_unknown = self.in_routing_unknown + after - before;
        }
        if let Some(usage) = self.usage.get_mut(&call.client) {
            usage.pending -= usize::from(state == CallState::Established);
        }
        if state == CallState::AttemptSent {
            self.send_rate.record(self.now);
        }
    }

    /// Records that a call is over, in whatever state it was.
    pub fn call_ended(&mut self, now: Duration, call: u64) {
        self.now = self.now.max(now);
        let Some(removed) = self.remove(call) else { return };
        if removed.state == CallState::Waiting {
            self.dequeue(&removed.client, call);
        }
    }

    /// The clients with the most calls, at most `max_listed`, largest first: the client, its calls without a
    /// final response, and all its calls.
    #[must_use]
    pub fn largest(&self, max_listed: usize) -> Vec<(ClientIdentity, usize, usize)> {
        let row =
            |(client, usage): (&ClientIdentity, &ClientUsage)| (client.clone(), usage.pending, usage.calls);
        let mut clients: Vec<_> = self.usage.iter().map(row).collect();
        clients.sort_by(|a, b| b.2.cmp(&a.2).then_with(|| a.0.cmp(&b.0)));
        clients.truncate(max_listed);
        clients
    }
}
