//! When a lease that nobody renewed may be given on.

use std::collections::BTreeMap;

use fawnrouter::Time;

use crate::{Command, LeaseName, LeaseTable, Stamp};

/// Counts the terms of the held leases by the clock of one voter, while it leads. Any voter could count safely, as each
/// applies a grant after its request was sent; one is enough.
///
/// Guards against a new leader that takes over the old one's readings: clocks of two machines have nothing to do with each
/// other, so each counts every term whole, from when it itself began to lead or saw the last renewal, whichever is later.
/// Costs up to one term more after a change of leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ExpiryTimer {
    since: BTreeMap<LeaseName, (Stamp, Time)>,
    quiet: Option<(Stamp, Time)>,
    leads: bool,
}

impl ExpiryTimer {
    /// Sees the table as it stands now; `leads` tells whether this voter leads. To be called after each change of either.
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

    /// The expiries to propose now. Each is returned anew until the table has taken one, as a proposal may be lost with
    /// the leader's log; the caller paces itself.
    #[must_use]
    pub fn due(&self, now: Time, table: &LeaseTable) -> Vec<Command> {
        let past =
            |lease: &LeaseName, since: Time| table.get(lease).is_some_and(|e| now >= since.plus(e.term));
        let due = self.since.iter().filter(|(lease, (_, since))| past(lease, *since));
        let expiries = due.map(|(lease, (stamp, _))| Command::Expire { lease: lease.clone(), stamp: *stamp });
        let settled = self
            .settles(table)
            .filter(|(_, at)| now >= *at)
            .map(|(stamp, _)| Command::EndQuietPeriod { stamp });
        settled.into_iter().chain(expiries).collect()
    }

    fn settles(&self, table: &LeaseTable) -> Option<(Stamp, Time)> {
        let (stamp, since) = self.quiet?;
        table.quiet_period().filter(|(of, _)| *of == stamp).map(|(_, quiet)| (stamp, since.plus(quiet)))
    }

    /// When the first term ends.
    #[must_use]
    pub fn next_expiry(&self, table: &LeaseTable) -> Option<Time> {
        let ends =
            |(lease, (_, since)): (&LeaseName, &(Stamp, Time))| table.get(lease).map(|e| since.plus(e.term));
        self.since.iter().filter_map(ends).chain(self.settles(table).map(|(_, at)| at)).min()
    }
}
