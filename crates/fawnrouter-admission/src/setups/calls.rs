//! The counts of calls, by client and in all, from a call's set-up to its end.

use std::time::Duration;

use super::SetUps;
use super::call::{Entry, Stay, Who};

impl SetUps {
    /// A call is here from now on.
    pub(super) fn enter(&mut self, call: u64, who: Who, stay: Stay) {
        let holder = self.holders.entry(who.clone()).or_default();
        holder.calls += 1;
        holder.pending += 1;
        let held = usize::from(stay == Stay::Held);
        self.held += held;
        self.held_strangers += if matches!(who, Who::Stranger(_)) { held } else { 0 };
        self.entries.insert(call, Entry { who, stay });
    }

    /// Takes a call out of all counts.
    pub(super) fn forget(&mut self, call: u64) -> Option<Entry> {
        let entry = self.entries.remove(&call)?;
        let held = usize::from(entry.stay == Stay::Held);
        self.held -= held;
        self.held_strangers -= if matches!(entry.who, Who::Stranger(_)) { held } else { 0 };
        if let Some(holder) = self.holders.get_mut(&entry.who) {
            holder.calls -= 1;
            holder.pending -= usize::from(entry.stay != Stay::Standing);
            if holder.calls == 0 {
                self.holders.remove(&entry.who);
            }
        }
        Some(entry)
    }

    /// A call has come to another place. A call that is not known here stays so.
    pub fn moved(&mut self, now: Duration, call: u64, to: Stay) {
        self.now = self.now.max(now);
        let Some(entry) = self.entries.get_mut(&call) else { return };
        let from = std::mem::replace(&mut entry.stay, to);
        if from == to {
            return;
        }
        let (before, after) = (usize::from(from == Stay::Held), usize::from(to == Stay::Held));
        self.held = self.held + after - before;
        if matches!(entry.who, Who::Stranger(_)) {
            self.held_strangers = self.held_strangers + after - before;
        }
        if let Some(holder) = self.holders.get_mut(&entry.who) {
            holder.pending -= usize::from(to == Stay::Standing);
        }
        if to == Stay::Out {
            self.sent.note(self.now);
        }
    }

    /// A call is over, wherever it was.
    pub fn over(&mut self, now: Duration, call: u64) {
        self.now = self.now.max(now);
        let Some(entry) = self.forget(call) else { return };
        if entry.stay == Stay::Waiting {
            self.leave(&entry.who, call);
        }
    }

    /// Those who have most calls, most first, with calls in set-up and in all.
    #[must_use]
    pub fn largest(&self, most: usize) -> Vec<(Who, usize, usize)> {
        let mut all: Vec<_> = self.holders.iter().map(|(who, h)| (who.clone(), h.pending, h.calls)).collect();
        all.sort_by(|a, b| b.2.cmp(&a.2).then_with(|| a.0.cmp(&b.0)));
        all.truncate(most);
        all
    }
}
