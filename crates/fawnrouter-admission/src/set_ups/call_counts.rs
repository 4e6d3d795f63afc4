//! The counts of calls, by client and in all, from a call's set-up to its end.

use std::time::Duration;

use super::SetUpAdmission;
use super::call::{CallState, ClientIdentity, Entry};

impl SetUpAdmission {
    /// A call is here from now on.
    pub(super) fn enter(&mut self, call: u64, who: ClientIdentity, stay: CallState) {
        let holder = self.holders.entry(who.clone()).or_default();
        holder.calls += 1;
        holder.pending += 1;
        let held = usize::from(stay == CallState::Routing);
        self.held += held;
        self.held_strangers += if matches!(who, ClientIdentity::Unknown(_)) { held } else { 0 };
        self.entries.insert(call, Entry { client: who, state: stay });
    }

    /// Takes a call out of all counts.
    pub(super) fn forget(&mut self, call: u64) -> Option<Entry> {
        let entry = self.entries.remove(&call)?;
        let held = usize::from(entry.state == CallState::Routing);
        self.held -= held;
        self.held_strangers -= if matches!(entry.client, ClientIdentity::Unknown(_)) { held } else { 0 };
        if let Some(holder) = self.holders.get_mut(&entry.client) {
            holder.calls -= 1;
            holder.pending -= usize::from(entry.state != CallState::Established);
            if holder.calls == 0 {
                self.holders.remove(&entry.client);
            }
        }
        Some(entry)
    }

    /// A call has come to another place. A call that is not known here stays so.
    pub fn set_state(&mut self, now: Duration, call: u64, to: CallState) {
        self.now = self.now.max(now);
        let Some(entry) = self.entries.get_mut(&call) else { return };
        let from = std::mem::replace(&mut entry.state, to);
        if from == to {
            return;
        }
        let (before, after) =
            (usize::from(from == CallState::Routing), usize::from(to == CallState::Routing));
        self.held = self.held + after - before;
        if matches!(entry.client, ClientIdentity::Unknown(_)) {
            self.held_strangers = self.held_strangers + after - before;
        }
        if let Some(holder) = self.holders.get_mut(&entry.client) {
            holder.pending -= usize::from(to == CallState::Established);
        }
        if to == CallState::AttemptSent {
            self.sent.note(self.now);
        }
    }

    /// A call is over, wherever it was.
    pub fn call_ended(&mut self, now: Duration, call: u64) {
        self.now = self.now.max(now);
        let Some(entry) = self.forget(call) else { return };
        if entry.state == CallState::Waiting {
            self.leave(&entry.client, call);
        }
    }

    /// Those who have most calls, most first, with calls in set-up and in all.
    #[must_use]
    pub fn largest(&self, most: usize) -> Vec<(ClientIdentity, usize, usize)> {
        let mut all: Vec<_> = self.holders.iter().map(|(who, h)| (who.clone(), h.pending, h.calls)).collect();
        all.sort_by(|a, b| b.2.cmp(&a.2).then_with(|| a.0.cmp(&b.0)));
        all.truncate(most);
        all
    }
}
