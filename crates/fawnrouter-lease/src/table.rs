//! The lease table: a state machine over agreed commands. The same commands in the same order give the same
//! table at every voter. It reads no clock, so an expiry is a command like any other.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Epoch, FencingNumber, LeaseName, Member, Stamp};

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Acquire the lease. From its holder it is a renewal, so that a lost reply does no harm.
    #[serde(rename = "Take")]
    Acquire {
        /// The lease.
        lease: LeaseName,
        /// The gateway that requests it.
        by: Member,
        /// The term, counted from when the request was sent.
        term: Duration,
    },
    /// Renew the lease. Also accepts a lease that was transferred.
    Renew {
        /// The lease.
        lease: LeaseName,
        /// The holder.
        by: Member,
        /// The number under which it is held.
        number: FencingNumber,
    },
    /// Release the lease; the holder has stopped acting.
    Release {
        /// The lease.
        lease: LeaseName,
        /// The holder.
        by: Member,
        /// The number under which it is held.
        number: FencingNumber,
    },
    /// Transfer the lease to another gateway, which holds it once it has renewed it; the old holder has
    /// stopped acting.
    #[serde(rename = "HandOn")]
    Transfer {
        /// The lease.
        lease: LeaseName,
        /// The holder.
        by: Member,
        /// The number under which it is held.
        number: FencingNumber,
        /// The new holder.
        to: Member,
    },
    /// Expire the lease. Its whole term has passed by the clock of the voter that proposes this.
    Expire {
        /// The lease.
        lease: LeaseName,
        /// The last grant or renewal that the voter has seen. The command is void if there is a later one.
        stamp: Stamp,
    },
    /// An operator takes the lease from a holder that is known to be dead or that must be stopped. Like an
    /// expiry, but without waiting, so that only the fencing number protects against the old holder.
    Revoke {
        /// The lease.
        lease: LeaseName,
        /// Under which number it is held.
        number: FencingNumber,
    },
    /// Begin a new epoch: the voters were set up anew after a majority of them was lost for good.
    #[serde(rename = "Raise")]
    BeginEpoch {
        /// The new epoch, above all earlier ones.
        epoch: Epoch,
        /// How long nothing is granted or renewed. It must be the longest term that the lost voters can have
        /// granted, as their last grants may be missing here; it is raised to at least the longest term in
        /// this table.
        quiet: Duration,
    },
    /// End the quiet period. It has passed by the clock of the voter that proposes this.
    #[serde(rename = "Settle")]
    EndQuietPeriod {
        /// The stamp of the [`Command::BeginEpoch`] that began it.
        stamp: Stamp,
    },
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The sender holds the lease.
    Granted {
        /// The fencing number.
        number: FencingNumber,
        /// The term, counted from when the request was *sent*.
        term: Duration,
    },
    /// Nobody holds the lease any more.
    Free,
    /// The lease was transferred and is not yet accepted.
    Offered {
        /// The new number.
        number: FencingNumber,
    },
    /// The command was applied. It was not a holder's request, so no holder waits for this result.
    Done,
    /// The command changed nothing.
    Refused(Refusal),
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// Another gateway holds the lease.
    #[error("the lease is held by {holder} under number {number}")]
    Taken {
        /// The other gateway.
        holder: Member,
        /// The number under which it is held.
        number: FencingNumber,
    },
    /// The sender does not hold the lease, or not under that number.
    #[error("the lease is not held by that gateway under that number")]
    NotHeld,
    /// The term is outside the allowed range.
    #[serde(rename = "Term")]
    #[error(
        "a term lies between {} ms and {} ms",
        LeaseTable::TERM_RANGE.0.as_millis(),
        LeaseTable::TERM_RANGE.1.as_millis()
    )]
    TermOutOfRange,
    /// There is no room for another lease.
    #[error("the table is full: {} leases at most", LeaseTable::MAX_LEASES)]
    Full,
    /// The stamp is not the current one, for example because the lease has been renewed since.
    #[serde(rename = "Renewed")]
    #[error("the lease has been renewed since")]
    StaleStamp,
    /// The voters were set up anew, and grants of the lost ones may not have run out yet.
    #[serde(rename = "Quiet")]
    #[error("the voters were set up anew, and nothing is granted until earlier grants have run out")]
    QuietPeriod,
    /// The epoch is not above the present one.
    #[error("the epoch is {0:?} already")]
    EpochPassed(Epoch),
}

/// A lease that is held.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseEntry {
    /// The holder.
    pub holder: Member,
    /// The number under which it is held.
    pub number: FencingNumber,
    /// The stamp of its last grant or renewal.
    pub stamp: Stamp,
    /// The term of a grant.
    pub term: Duration,
    /// The lease was transferred and is not yet accepted: the holder has never had permission to act.
    pub offered: bool,
}

/// The held leases. A lease that is not in the table is free.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    epoch: Epoch,
    count: u64,
    stamps: u64,
    quiet: Option<(Stamp, Duration)>,
    leases: BTreeMap<LeaseName, LeaseEntry>,
}

impl LeaseTable {
    /// The most leases held at once. A fleet has only a handful of kinds of work that need one.
    pub const MAX_LEASES: usize = 64;
    /// The shortest and the longest term. With a shorter one, a lease would not outlast a few lost messages;
    /// with a longer one, a dead holder would block its work for too long.
    pub const TERM_RANGE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(600));

    /// The entry of a lease, if it is held.
    #[must_use]
    pub fn get(&self, lease: &LeaseName) -> Option<&LeaseEntry> {
        self.leases.get(lease)
    }

    /// All held leases, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&LeaseName, &LeaseEntry)> {
        self.leases.iter()
    }

    /// The present epoch.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The highest number issued so far.
    #[must_use]
    pub fn highest(&self) -> FencingNumber {
        FencingNumber { epoch: self.epoch, count: self.count }
    }

    /// The quiet period in which nothing is granted, if any: the stamp of the command that began it, and its
    /// duration.
    #[must_use]
    pub fn quiet_period(&self) -> Option<(Stamp, Duration)> {
        self.quiet
    }

    /// Applies a command of the replicated log.
    pub fn apply(&mut self, command: &Command) -> Reply {
        match self.try_apply(command) {
            Ok(reply) => reply,
            Err(refusal) => Reply::Refused(refusal),
        }
    }

    fn try_apply(&mut self, command: &Command) -> Result<Reply, Refusal> {
        match command {
            Command::Acquire { lease, by, term } => self.acquire(lease, *by, *term),
            Command::Renew { lease, by, number } => {
                self.held_entry(lease, *by, *number)?;
                Ok(self.renew(lease))
            }
            Command::Release { lease, by, number } => {
                self.held_entry(lease, *by, *number)?;
                self.leases.remove(lease);
                Ok(Reply::Free)
            }
            Command::Transfer { lease, by, number, to } => {
                let term = self.held_entry(lease, *by, *number)?.term;
                let number = self.grant(lease, *to, term, true);
                Ok(Reply::Offered { number })
            }
            Command::Expire { lease, stamp } => {
                let entry = self.leases.get(lease).ok_or(Refusal::NotHeld)?;
                if entry.stamp != *stamp {
                    return Err(Refusal::StaleStamp);
                }
                self.leases.remove(lease);
                Ok(Reply::Done)
            }
            Command::Revoke { lease, number } => {
                self.leases.get(lease).filter(|entry| entry.number == *number).ok_or(Refusal::NotHeld)?;
                self.leases.remove(lease);
                Ok(Reply::Free)
            }
            Command::BeginEpoch { epoch, quiet } if *epoch > self.epoch => {
                // The lost voters may have issued grants that are not known here. Leases that are known here
                // must not be renewed either: in the lost table, which may be newer, another gateway may hold
                // them by now. If the given time is too short, only the fencing number protects against two
                // holders.
                let longest = self.leases.values().map(|entry| entry.term).max().unwrap_or_default();
                self.leases.clear();
                self.stamps += 1;
                let quiet = (Stamp(self.stamps), (*quiet).max(longest));
                (self.epoch, self.count, self.quiet) = (*epoch, 0, Some(quiet));
                Ok(Reply::Done)
            }
            Command::EndQuietPeriod { stamp } => {
                self.quiet.filter(|(since, _)| since == stamp).ok_or(Refusal::StaleStamp)?;
                self.quiet = None;
                Ok(Reply::Done)
            }
            Command::BeginEpoch { .. } => Err(Refusal::EpochPassed(self.epoch)),
        }
    }

    fn acquire(&mut self, lease: &LeaseName, by: Member, term: Duration) -> Result<Reply, Refusal> {
        if term < Self::TERM_RANGE.0 || term > Self::TERM_RANGE.1 {
            return Err(Refusal::TermOutOfRange);
        }
        let full = self.leases.len() >= Self::MAX_LEASES;
        match self.leases.get_mut(lease) {
            Some(entry) if entry.holder == by => {
                // With a shorter term, the table could give the lease to another before an earlier grant has
                // run out.
                entry.term = entry.term.max(term);
                Ok(self.renew(lease))
            }
            Some(entry) => Err(Refusal::Taken { holder: entry.holder, number: entry.number }),
            None if self.quiet.is_some() => Err(Refusal::QuietPeriod),
            None if full => Err(Refusal::Full),
            None => {
                let number = self.grant(lease, by, term, false);
                Ok(Reply::Granted { number, term })
            }
        }
    }

    /// The entry of a lease that the gateway holds under that number. The number excludes late or duplicate
    /// renewals and releases from an earlier hold by the same gateway.
    fn held_entry(
        &self,
        lease: &LeaseName,
        by: Member,
        number: FencingNumber,
    ) -> Result<&LeaseEntry, Refusal> {
        let entry = self.leases.get(lease).ok_or(Refusal::NotHeld)?;
        if entry.holder == by && entry.number == number { Ok(entry) } else { Err(Refusal::NotHeld) }
    }

    fn renew(&mut self, lease: &LeaseName) -> Reply {
        self.stamps += 1;
        match self.leases.get_mut(lease) {
            Some(entry) => {
                (entry.stamp, entry.offered) = (Stamp(self.stamps), false);
                Reply::Granted { number: entry.number, term: entry.term }
            }
            None => Reply::Refused(Refusal::NotHeld),
        }
    }

    fn grant(&mut self, lease: &LeaseName, holder: Member, term: Duration, offered: bool) -> FencingNumber {
        self.count += 1;
        self.stamps += 1;
        let (number, stamp) = (self.highest(), Stamp(self.stamps));
        self.leases.insert(lease.clone(), LeaseEntry { holder, number, stamp, term, offered });
        number
    }
}
