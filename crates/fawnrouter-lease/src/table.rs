//! The lease table: a state machine over agreed commands. The same commands in the same order give the same table at
//! every voter; it reads no clock, so that an expiry is a command like any other.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Epoch, FencingNumber, LeaseName, Member, Stamp};

/// A command of the agreed log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// `by` wants the lease. Asked again by its holder it is a renewal, so that a lost answer costs nothing.
    #[serde(rename = "Take")]
    Acquire {
        /// Which lease.
        lease: LeaseName,
        /// Who wants it.
        by: Member,
        /// For how long from when it was asked for.
        term: Duration,
    },
    /// The holder goes on. Also how a lease that was handed on is accepted.
    Renew {
        /// Which lease.
        lease: LeaseName,
        /// Who holds it.
        by: Member,
        /// Under which number.
        number: FencingNumber,
    },
    /// The holder has stopped acting and gives the lease back.
    Release {
        /// Which lease.
        lease: LeaseName,
        /// Who holds it.
        by: Member,
        /// Under which number.
        number: FencingNumber,
    },
    /// The holder has stopped acting and gives the lease to another, which has it once it has renewed it.
    #[serde(rename = "HandOn")]
    Transfer {
        /// Which lease.
        lease: LeaseName,
        /// Who holds it.
        by: Member,
        /// Under which number.
        number: FencingNumber,
        /// Who is to have it.
        to: Member,
    },
    /// Its whole term has passed by the clock of the voter that proposes this.
    Expire {
        /// Which lease.
        lease: LeaseName,
        /// The last grant or renewal that the voter had seen. Void when there is a later one.
        stamp: Stamp,
    },
    /// An operator takes the lease from a holder that is known to be dead, or wants it stopped: as an expiry, but without
    /// waiting, which leaves the fencing number as the only guard.
    Revoke {
        /// Which lease.
        lease: LeaseName,
        /// Under which number it is held.
        number: FencingNumber,
    },
    /// The voters were set up anew after a majority was lost for good.
    #[serde(rename = "Raise")]
    BeginEpoch {
        /// Above all earlier ones.
        epoch: Epoch,
        /// How long nothing is granted or renewed, the longest term in this table at the least: the longest that the lost
        /// voters can have given, as their last grants may be missing here.
        quiet: Duration,
    },
    /// That time has passed by the clock of the voter that proposes this.
    #[serde(rename = "Settle")]
    EndQuietPeriod {
        /// Of the [`Command::BeginEpoch`] that is meant.
        stamp: Stamp,
    },
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The lease is `by`'s.
    Granted {
        /// Under this number.
        number: FencingNumber,
        /// For this long from when the request was *sent*.
        term: Duration,
    },
    /// Nobody has it any more.
    Free,
    /// It waits for the one that it was handed to.
    Offered {
        /// Its new number.
        number: FencingNumber,
    },
    /// Done; nobody waits for an answer.
    Done,
    /// Nothing was changed.
    Refused(Refusal),
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// Another has it.
    #[error("{holder} has it under number {number}")]
    Taken {
        /// Who.
        holder: Member,
        /// Under which number.
        number: FencingNumber,
    },
    /// Not held by the one who says so, or not under that number.
    #[error("it is not held by that gateway under that number")]
    NotHeld,
    /// The term is outside of what the table takes.
    #[serde(rename = "Term")]
    #[error("a term lies between {} ms and {} ms", LeaseTable::TERM_RANGE.0.as_millis(), LeaseTable::TERM_RANGE.1.as_millis())]
    TermOutOfRange,
    /// No room for another lease.
    #[error("the table is full: {} leases at most", LeaseTable::MAX_LEASES)]
    Full,
    /// An expiry of a grant that has been renewed since.
    #[error("it has been renewed since")]
    Renewed,
    /// The voters were set up anew; grants of the lost ones may still run.
    #[serde(rename = "Quiet")]
    #[error("the voters were set up anew, and nothing is granted until earlier grants have run out")]
    QuietPeriod,
    /// An epoch that does not lie above the present one.
    #[error("the epoch is {0:?} already")]
    EpochPassed(Epoch),
}

/// A lease that somebody has.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseEntry {
    /// Who has it.
    pub holder: Member,
    /// Under which number.
    pub number: FencingNumber,
    /// Its last grant or renewal.
    pub stamp: Stamp,
    /// How long a grant holds.
    pub term: Duration,
    /// Handed on and not accepted yet: the holder named here has never been told that it may act.
    pub offered: bool,
}

/// Who has which lease. What is not in it is free.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    epoch: Epoch,
    count: u64,
    stamps: u64,
    quiet: Option<(Stamp, Duration)>,
    leases: BTreeMap<LeaseName, LeaseEntry>,
}

impl LeaseTable {
    /// Leases held at once, at the most; another is refused. A fleet has a handful of kinds of such work.
    pub const MAX_LEASES: usize = 64;
    /// The shortest and the longest term. Below, a lease would not outlast a few lost messages; above, a dead holder
    /// blocks its work for too long.
    pub const TERM_RANGE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(600));

    /// The lease, if somebody has it.
    #[must_use]
    pub fn get(&self, lease: &LeaseName) -> Option<&LeaseEntry> {
        self.leases.get(lease)
    }

    /// All that are held, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&LeaseName, &LeaseEntry)> {
        self.leases.iter()
    }

    /// The present epoch.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The highest number given so far.
    #[must_use]
    pub fn highest(&self) -> FencingNumber {
        FencingNumber { epoch: self.epoch, count: self.count }
    }

    /// Since which command, and for how long, nothing is granted.
    #[must_use]
    pub fn quiet_period(&self) -> Option<(Stamp, Duration)> {
        self.quiet
    }

    /// Applies one agreed command.
    pub fn apply(&mut self, command: &Command) -> Reply {
        match self.try_apply(command) {
            Ok(reply) => reply,
            Err(refusal) => Reply::Refused(refusal),
        }
    }

    fn try_apply(&mut self, command: &Command) -> Result<Reply, Refusal> {
        match command {
            Command::Acquire { lease, by, term } => self.take(lease, *by, *term),
            Command::Renew { lease, by, number } => {
                self.held(lease, *by, *number)?;
                Ok(self.renew(lease))
            }
            Command::Release { lease, by, number } => {
                self.held(lease, *by, *number)?;
                self.leases.remove(lease);
                Ok(Reply::Free)
            }
            Command::Transfer { lease, by, number, to } => {
                let term = self.held(lease, *by, *number)?.term;
                let number = self.grant(lease, *to, term, true);
                Ok(Reply::Offered { number })
            }
            Command::Expire { lease, stamp } => {
                let entry = self.leases.get(lease).ok_or(Refusal::NotHeld)?;
                if entry.stamp != *stamp {
                    return Err(Refusal::Renewed);
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
                // Guards against grants of the lost voters that are not known here, and against renewals of those that
                // are: this table may be older than the lost one, in which another has the lease by now. Could do harm
                // where the time is given too short: then the fencing number alone tells the two apart.
                let longest = self.leases.values().map(|entry| entry.term).max().unwrap_or_default();
                self.leases.clear();
                self.stamps += 1;
                let quiet = (Stamp(self.stamps), (*quiet).max(longest));
                (self.epoch, self.count, self.quiet) = (*epoch, 0, Some(quiet));
                Ok(Reply::Done)
            }
            Command::EndQuietPeriod { stamp } => {
                self.quiet.filter(|(since, _)| since == stamp).ok_or(Refusal::Renewed)?;
                self.quiet = None;
                Ok(Reply::Done)
            }
            Command::BeginEpoch { .. } => Err(Refusal::EpochPassed(self.epoch)),
        }
    }

    fn take(&mut self, lease: &LeaseName, by: Member, term: Duration) -> Result<Reply, Refusal> {
        if term < Self::TERM_RANGE.0 || term > Self::TERM_RANGE.1 {
            return Err(Refusal::TermOutOfRange);
        }
        let full = self.leases.len() >= Self::MAX_LEASES;
        match self.leases.get_mut(lease) {
            Some(entry) if entry.holder == by => {
                // A shorter term would let the table give the lease on before an earlier grant of it has run out.
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

    /// The lease as held by that gateway under that number. Guards against renewals and releases that are late or come
    /// twice, from an earlier hold of the same gateway.
    fn held(&self, lease: &LeaseName, by: Member, number: FencingNumber) -> Result<&LeaseEntry, Refusal> {
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
