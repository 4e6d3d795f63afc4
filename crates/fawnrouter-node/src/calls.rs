//! Calls and what is remembered of them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fawnrouter::{AttemptNo, ServerId, Time};
use fawnrouter_jsonl::Tag;

use crate::client_connections::ClientId;
use crate::links::LinkId;

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub no: AttemptNo,
    pub server: ServerId,
    pub issued_at: Time,
    /// On which connection, and when it was written there; `None`: it waits for one.
    pub sent: Option<(LinkId, Time)>,
    /// When it has timed out.
    pub timeout_at: Time,
}

/// A call that is owed its answer.
#[derive(Debug)]
pub(crate) struct OpenCall {
    pub client: ClientId,
    /// The caller waits until then.
    pub deadline: Time,
    pub class: String,
    pub called_number: String,
    pub blob: String,
    pub attempts_made: u32,
    pub attempt: Option<Attempt>,
}

/// A call that stands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EstablishedCall {
    pub client: ClientId,
    pub server: ServerId,
    /// The attempt by which it came to stand; `None`: told by its caller.
    pub attempt: Option<AttemptNo>,
    /// Since when it is known to stand.
    pub since: Time,
}

/// What is remembered of a call that ended.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndedCall {
    /// No attempt under its id before this time: a core switch may still hold one.
    pub barred_until: Option<Time>,
    /// With what it was released towards its caller, if it stood.
    pub release_cause: Option<i64>,
}

/// What is remembered of this many ended calls, and releases of calls that nobody has named: enough for the answers
/// and releases that cross (some seconds at some hundred calls a second).
const MAX_REMEMBERED_CALLS: usize = 2048;

/// The most standing calls; one more is released at once. Some 100 bytes each.
pub(crate) const MAX_ESTABLISHED_CALLS: usize = 50_000;

/// A bounded memory of tags; beyond the bound the oldest is forgotten.
#[derive(Debug)]
pub(crate) struct RecentCalls<T> {
    by_tag: BTreeMap<Tag, (u64, T)>,
    order: VecDeque<(u64, Tag)>,
    next: u64,
}

impl<T> Default for RecentCalls<T> {
    fn default() -> Self {
        Self { by_tag: BTreeMap::new(), order: VecDeque::new(), next: 0 }
    }
}

impl<T> RecentCalls<T> {
    pub fn insert(&mut self, tag: Tag, value: T) {
        self.next += 1;
        self.by_tag.insert(tag, (self.next, value));
        self.order.push_back((self.next, tag));
        while self.order.len() > MAX_REMEMBERED_CALLS {
            if let Some((number, tag)) = self.order.pop_front()
                && self.by_tag.get(&tag).is_some_and(|(n, _)| *n == number)
            {
                self.by_tag.remove(&tag);
            }
        }
    }

    pub fn contains(&self, tag: Tag) -> bool {
        self.by_tag.contains_key(&tag)
    }

    pub fn get(&self, tag: Tag) -> Option<&T> {
        self.by_tag.get(&tag).map(|(_, value)| value)
    }

    pub fn remove(&mut self, tag: Tag) -> Option<T> {
        self.by_tag.remove(&tag).map(|(_, value)| value)
    }
}

/// All calls.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    pub open: BTreeMap<Tag, OpenCall>,
    /// Open calls of each client.
    pub open_by_client: BTreeMap<ClientId, BTreeSet<Tag>>,
    pub established: BTreeMap<Tag, EstablishedCall>,
    /// Standing calls at each core switch.
    pub established_by_server: BTreeMap<ServerId, BTreeSet<Tag>>,
    /// Calls that ended lately.
    pub recently_ended: RecentCalls<EndedCall>,
    /// Releases by core switches of calls that are not known: after a restart the release may come before the
    /// caller has told that the call stands.
    pub unknown_releases: RecentCalls<i64>,
}

impl Calls {
    pub fn add_open(&mut self, tag: Tag, open: OpenCall) {
        self.open_by_client.entry(open.client).or_default().insert(tag);
        self.open.insert(tag, open);
    }

    /// The call is owed nothing more.
    pub fn remove_open(&mut self, tag: Tag) -> Option<OpenCall> {
        let open = self.open.remove(&tag)?;
        if let Some(tags) = self.open_by_client.get_mut(&open.client) {
            tags.remove(&tag);
            if tags.is_empty() {
                self.open_by_client.remove(&open.client);
            }
        }
        self.recently_ended.insert(tag, EndedCall::default());
        Some(open)
    }

    pub fn add_established(&mut self, tag: Tag, call: EstablishedCall) {
        self.established_by_server.entry(call.server).or_default().insert(tag);
        self.established.insert(tag, call);
    }

    /// The call stands no longer, and is released towards its caller with this cause.
    pub fn remove_established(&mut self, tag: Tag, release_cause: Option<i64>) -> Option<EstablishedCall> {
        let call = self.established.remove(&tag)?;
        if let Some(tags) = self.established_by_server.get_mut(&call.server) {
            tags.remove(&tag);
            if tags.is_empty() {
                self.established_by_server.remove(&call.server);
            }
        }
        self.recently_ended.insert(tag, EndedCall { release_cause, barred_until: None });
        Some(call)
    }

    pub fn has_established_at(&self, server: ServerId) -> bool {
        self.established_by_server.contains_key(&server)
    }
}
