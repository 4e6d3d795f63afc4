//! Decides about calls that callers report as established: whether one can still be standing although its core
//! switch has restarted, and how many are kept.
//!
//! # Reports after a restart of the switch
//!
//! A report names the switch and not the time of the set-up, and a restarted switch does not know the calls of
//! its earlier process: it never releases them. What bounds the time of the set-up is how callers come to
//! report a call: the gateway of its set-up was lost, and the caller noticed. A gateway that was killed is
//! noticed after [`MIN_REPORT_DELAY`] or later, and one that shuts down goes on serving for most of that time.
//! So a call was set up that long before its report. A gateway that has just started is told of calls from the
//! time before its own start, however long the front end takes to admit it.
//!
//! A call that is reported later than that after a restart may be of either process, and counts as standing.
//!
//! # Reports that nobody proves
//!
//! A report proves nothing: nobody but the switch knows whether the call exists, and a switch says nothing of a
//! call that it does not have. So reports have a limit of their own, and take no place of the calls that this
//! gateway has set up. At the limit a client that has reported fewer calls than another takes the place of one
//! of the other's, so that a client with invented reports crowds out its own.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fawnrouter::Time;
use fawnrouter_jsonl::Tag;

use crate::client_connections::ClientId;

/// Shortest time from a call's set-up to its report at another gateway.
const MIN_REPORT_DELAY: Duration = Duration::from_secs(1);
/// Time after its start in which a gateway is told of the calls of the time before. Later reports could not
/// meet the platform's limit of 8 s any more.
const TAKEOVER_PERIOD: Duration = Duration::from_secs(8);

/// Most reported calls that are kept, as many as stand at a busy gateway when it is lost.
const MAX_REPORTED_CALLS: usize = 16_384;

/// Whether a reported call was set up before its core switch started at `switch_started_at`.
pub(crate) fn was_set_up_before_start(
    switch_started_at: Time,
    reported_at: Time,
    gateway_started_at: Time,
) -> bool {
    let taken_over =
        switch_started_at <= gateway_started_at && reported_at.since(gateway_started_at) <= TAKEOVER_PERIOD;
    let noticed_at = if taken_over { gateway_started_at } else { reported_at };
    noticed_at < switch_started_at.plus(MIN_REPORT_DELAY)
}

/// Whether a further reported call is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportAdmission {
    /// There is room.
    Admitted,
    /// There is room once this call is forgotten.
    AdmittedInPlaceOf(Tag),
    /// No client has reported more calls than this one.
    Full,
}

/// The reported calls that are kept, by the client that reported them last.
#[derive(Debug, Default)]
pub(crate) struct ReportedCalls {
    by_client: BTreeMap<ClientId, BTreeSet<Tag>>,
    /// The clients in the order of the number of their calls.
    by_number: BTreeSet<(usize, ClientId)>,
    total: usize,
}

impl ReportedCalls {
    pub fn len(&self) -> usize {
        self.total
    }

    /// Whether a call that this client reports is to be kept.
    pub fn admit(&self, client: ClientId) -> ReportAdmission {
        if self.total < MAX_REPORTED_CALLS {
            return ReportAdmission::Admitted;
        }
        let own = self.by_client.get(&client).map_or(0, BTreeSet::len);
        let Some((most, holder)) = self.by_number.last().filter(|(most, _)| *most > own + 1) else {
            return ReportAdmission::Full;
        };
        debug_assert_eq!(self.by_client[holder].len(), *most);
        let forgotten = self.by_client.get(holder).and_then(|tags| tags.first());
        forgotten.map_or(ReportAdmission::Full, |tag| ReportAdmission::AdmittedInPlaceOf(*tag))
    }

    pub fn insert(&mut self, client: ClientId, tag: Tag) {
        self.change(client, |tags| tags.insert(tag));
    }

    pub fn remove(&mut self, client: ClientId, tag: Tag) {
        self.change(client, |tags| tags.remove(&tag));
    }

    fn change(&mut self, client: ClientId, change: impl FnOnce(&mut BTreeSet<Tag>) -> bool) {
        let tags = self.by_client.entry(client).or_default();
        let before = tags.len();
        change(tags);
        let after = tags.len();
        self.by_number.remove(&(before, client));
        if after == 0 {
            self.by_client.remove(&client);
        } else {
            self.by_number.insert((after, client));
        }
        self.total = self.total + after - before;
    }
}
