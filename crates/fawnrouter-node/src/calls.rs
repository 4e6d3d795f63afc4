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
    pub issued: Time,
    /// On which connection, and when it was written there; `None`: it waits for one.
    pub sent: Option<(LinkId, Time)>,
    /// When it has timed out.
    pub until: Time,
}

/// A call that is owed its answer.
#[derive(Debug)]
pub(crate) struct Open {
    pub client: ClientId,
    /// The caller waits until then.
    pub deadline: Time,
    pub class: String,
    pub key: String,
    pub blob: String,
    pub attempts: u32,
    pub out: Option<Attempt>,
}

/// A call that stands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing {
    pub client: ClientId,
    pub server: ServerId,
    /// The attempt by which it came to stand; `None`: told by its caller.
    pub attempt: Option<AttemptNo>,
    /// Since when it is known to stand.
    pub since: Time,
}

/// What is remembered of a call that ended.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ended {
    /// No attempt under its id before this time: a core switch may still hold one.
    pub barred: Option<Time>,
    /// With what it was released towards its caller, if it stood.
    pub rc: Option<i64>,
}

/// What is remembered of this many ended calls, and releases of calls that nobody has named: enough for the answers
/// and releases that cross (some seconds at some hundred calls a second).
const MEMORY: usize = 2048;

/// The most standing calls; one more is released at once. Some 100 bytes each.
pub(crate) const MAX_STANDING: usize = 50_000;

/// A bounded memory of tags; beyond the bound the oldest is forgotten.
#[derive(Debug)]
pub(crate) struct Memory<T> {
    by_tag: BTreeMap<Tag, (u64, T)>,
    order: VecDeque<(u64, Tag)>,
    next: u64,
}

impl<T> Default for Memory<T> {
    fn default() -> Self {
        Self { by_tag: BTreeMap::new(), order: VecDeque::new(), next: 0 }
    }
}

impl<T> Memory<T> {
    pub fn put(&mut self, tag: Tag, what: T) {
        self.next += 1;
        self.by_tag.insert(tag, (self.next, what));
        self.order.push_back((self.next, tag));
        while self.order.len() > MEMORY {
            if let Some((number, tag)) = self.order.pop_front()
                && self.by_tag.get(&tag).is_some_and(|(n, _)| *n == number)
            {
                self.by_tag.remove(&tag);
            }
        }
    }

    pub fn has(&self, tag: Tag) -> bool {
        self.by_tag.contains_key(&tag)
    }

    pub fn get(&self, tag: Tag) -> Option<&T> {
        self.by_tag.get(&tag).map(|(_, what)| what)
    }

    pub fn take(&mut self, tag: Tag) -> Option<T> {
        self.by_tag.remove(&tag).map(|(_, what)| what)
    }
}

/// All calls.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    pub open: BTreeMap<Tag, Open>,
    /// Open calls of each client.
    pub of_client: BTreeMap<ClientId, BTreeSet<Tag>>,
    pub standing: BTreeMap<Tag, Standing>,
    /// Standing calls at each core switch.
    pub at_server: BTreeMap<ServerId, BTreeSet<Tag>>,
    /// Calls that ended lately.
    pub ended: Memory<Ended>,
    /// Releases by core switches of calls that are not known: after a restart the release may come before the
    /// caller has told that the call stands.
    pub unclaimed: Memory<i64>,
}

impl Calls {
    pub fn insert(&mut self, tag: Tag, open: Open) {
        self.of_client.entry(open.client).or_default().insert(tag);
        self.open.insert(tag, open);
    }

    /// The call is owed nothing more.
    pub fn close(&mut self, tag: Tag) -> Option<Open> {
        let open = self.open.remove(&tag)?;
        if let Some(tags) = self.of_client.get_mut(&open.client) {
            tags.remove(&tag);
            if tags.is_empty() {
                self.of_client.remove(&open.client);
            }
        }
        self.ended.put(tag, Ended::default());
        Some(open)
    }

    pub fn stand(&mut self, tag: Tag, standing: Standing) {
        self.at_server.entry(standing.server).or_default().insert(tag);
        self.standing.insert(tag, standing);
    }

    /// The call stands no longer, and is released towards its caller with this cause.
    pub fn fall(&mut self, tag: Tag, rc: Option<i64>) -> Option<Standing> {
        let standing = self.standing.remove(&tag)?;
        if let Some(tags) = self.at_server.get_mut(&standing.server) {
            tags.remove(&tag);
            if tags.is_empty() {
                self.at_server.remove(&standing.server);
            }
        }
        self.ended.put(tag, Ended { rc, barred: None });
        Some(standing)
    }

    pub fn stands_at(&self, server: ServerId) -> bool {
        self.at_server.contains_key(&server)
    }
}
