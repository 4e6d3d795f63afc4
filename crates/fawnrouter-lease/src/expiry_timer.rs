//! Decides when a lease that was not renewed may be given to another gateway.

use std::collections::BTreeMap;

use fawnrouter::Time;

use crate::{Command, LeaseName, LeaseTable, Stamp};

/// Measures the terms of the held leases by the clock of one voter, while it leads. Any voter could do so
/// safely, because each applies a grant after its request was sent; one is enough.
///
/// A new leader must not continue from the old one's clock readings, because the clocks of two machines are
/// unrelated. So each leader measures every term in full, from when it began to lead or saw the last renewal,
/// whichever is later. A change of leader delays an expiry by up to one term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ExpiryTimer {
    /// The grant or renewal that is measured for each lease, and from when.
    since: BTreeMap<LeaseName, (Stamp, Time)>,
    /// The quiet period that is measured, and from when.
    quiet: Option<(Stamp, Time)>,
    leads: bool,
}

impl ExpiryTimer {
    /// Updates the timer from the table and from whether this voter leads. To be called after each change of
    /// either.
    pub fn observe(&mut self, now: Time, leads: bool, table: &LeaseTable) {
        if !leads || !self.leads {
            self.since.clear();
            self.quiet = None;
        }
        self.leads = leads;
        if !leads {
            return;
        }
        self.since.retain(|lease, (stamp, _)| table.get(lease).is_some_and(|entry| entry.stamp == *stamp));
        self.quiet = table
            .quiet_period()
            .map(|(stamp, _)| self.quiet.filter(|(seen, _)| *seen == stamp).unwrap_or((stamp, now)));
        for (lease, entry) in table.iter() {
            if !self.since.contains_key(lease) {
                self.since.insert(lease.clone(), (entry.stamp, now));
            }
        }
    }

    /// The commands to propose now. Each is returned again until the table has applied one, because a
    /// proposal may be lost with the leader's log. The caller limits how often it proposes.
    #[must_use]
    pub fn due(&self, now: Time, table: &LeaseTable) -> Vec<Command> {
        let has_expired =
            |lease: &LeaseName, since: Time| table.get(lease).is_some_and(|e| now >= since.plus(e.term));
        let expired = self.since.iter().filter(|(lease, (_, since))| has_expired(lease, *since));
        let expiries =
            expired.map(|(lease, (stamp, _))| Command::Expire { lease: lease.clone(), stamp: *stamp });
        let end_of_quiet_period = self
            .quiet_period_end(table)
            .filter(|(_, end)| now >= *end)
            .map(|(stamp, _)| Command::EndQuietPeriod { stamp });
        end_of_quiet_period.into_iter().chain(expiries).collect()
    }

    fn quiet_period_end(&self, table: &LeaseTable) -> Option<(Stamp, Time)> {
        let (stamp, since) = self.quiet?;
        let current = table.quiet_period().filter(|(current, _)| *current == stamp);
        current.map(|(stamp, duration)| (stamp, since.plus(duration)))
    }

    /// When the first term or the quiet period ends.
    #[must_use]
    pub fn next_expiry(&self, table: &LeaseTable) -> Option<Time> {
        let term_end =
            |(lease, (_, since)): (&LeaseName, &(Stamp, Time))| table.get(lease).map(|e| since.plus(e.term));
        let term_ends = self.since.iter().filter_map(term_end);
        term_ends.chain(self.quiet_period_end(table).map(|(_, end)| end)).min()
    }
}
