//! Open and established calls, and what is remembered of ended ones.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fawnrouter::{AttemptNo, ServerId, Time};
use fawnrouter_jsonl::Tag;

use crate::client_connections::ClientId;
use crate::links::LinkId;
use crate::open_call_shares::{OpenCallShares, OpenCallUsage};
use crate::reported_calls::{self, ReportedCalls};

/// A set-up that was written to a core switch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentSetUp {
    pub link: LinkId,
    pub at: Time,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub no: AttemptNo,
    pub server: ServerId,
    pub issued_at: Time,
    /// `None`: the set-up waits for a connection.
    pub sent: Option<SentSetUp>,
    /// When the attempt times out.
    pub timeout_at: Time,
}

/// A call whose caller waits for an answer.
#[derive(Debug)]
pub(crate) struct OpenCall {
    pub client: ClientId,
    /// When the caller stops waiting.
    pub deadline: Time,
    pub class: String,
    pub called_number: String,
    pub blob: String,
    pub attempts_made: u32,
    pub attempt: Option<Attempt>,
}

impl OpenCall {
    fn usage(&self) -> OpenCallUsage {
        OpenCallUsage::of_call(self.class.len() + self.called_number.len() + self.blob.len())
    }
}

/// The open calls of one client.
#[derive(Debug, Default)]
pub(crate) struct ClientCalls {
    pub tags: BTreeSet<Tag>,
    pub usage: OpenCallUsage,
}

/// An established call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EstablishedCall {
    pub client: ClientId,
    /// The core switch that holds the call.
    pub server: ServerId,
    /// The core switch that the controller has chosen. It differs where another one has taken its address.
    pub issued_to: ServerId,
    /// The attempt that established the call; `None`: reported by its caller.
    pub attempt: Option<AttemptNo>,
    /// The connection to the core switch that carried the set-up; `None`: reported by its caller.
    pub link: Option<LinkId>,
    /// Since when the call is known to be established.
    pub since: Time,
}

impl EstablishedCall {
    /// Whether its caller has reported the call, and this gateway has not set it up.
    pub fn is_reported(&self) -> bool {
        self.attempt.is_none()
    }

    /// Whether the call was set up before its core switch started at `switch_started_at`, so that it ended with
    /// the switch's earlier process.
    pub fn was_set_up_before_start(&self, switch_started_at: Time, gateway_started_at: Time) -> bool {
        match self.attempt {
            Some(_) => self.since < switch_started_at,
            None => {
                reported_calls::was_set_up_before_start(switch_started_at, self.since, gateway_started_at)
            }
        }
    }
}

/// What is remembered of an ended call.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndedCall {
    /// No new attempt under the call's tag before this time, as a core switch may still hold the old one.
    pub barred_until: Option<Time>,
    /// The cause of the release sent to the caller, if the call was established.
    pub release_cause: Option<i64>,
}

/// Number of ended calls, and of releases of unknown calls, that are remembered: enough for answers and
/// releases that cross, which is some seconds at some hundred calls a second.
const MAX_REMEMBERED_CALLS: usize = 2048;

/// Most established calls that this gateway has set up; a further one is released at once. Each takes some 100
/// bytes.
const MAX_ESTABLISHED_CALLS: usize = 50_000;

/// A map by tag with bounded size; the oldest entries are dropped first.
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
    pub open_by_client: BTreeMap<ClientId, ClientCalls>,
    /// Open calls of all clients.
    pub open_usage: OpenCallUsage,
    pub established: BTreeMap<Tag, EstablishedCall>,
    /// Established calls at each core switch.
    pub established_by_server: BTreeMap<ServerId, BTreeSet<Tag>>,
    /// Those of the established calls that their callers have reported.
    pub reported: ReportedCalls,
    /// Calls that ended recently.
    pub recently_ended: RecentCalls<EndedCall>,
    /// Releases from core switches of unknown calls. After a restart of the gateway a release may arrive
    /// before the caller has reported the call as established.
    pub unknown_releases: RecentCalls<i64>,
}

impl Calls {
    pub fn add_open(&mut self, tag: Tag, open: OpenCall) {
        let client = self.open_by_client.entry(open.client).or_default();
        client.tags.insert(tag);
        client.usage.add(open.usage());
        self.open_usage.add(open.usage());
        self.open.insert(tag, open);
    }

    /// Whether the client may open this call.
    pub fn may_open(&self, shares: &OpenCallShares, open: &OpenCall) -> bool {
        let own = self.open_by_client.get(&open.client).map(|client| client.usage).unwrap_or_default();
        shares.admits(self.open_usage, self.open_by_client.len(), own, open.usage())
    }

    /// Removes an open call, which needs no further answer.
    pub fn remove_open(&mut self, tag: Tag) -> Option<OpenCall> {
        let open = self.open.remove(&tag)?;
        self.open_usage.subtract(open.usage());
        if let Some(client) = self.open_by_client.get_mut(&open.client) {
            client.tags.remove(&tag);
            client.usage.subtract(open.usage());
            if client.tags.is_empty() {
                self.open_by_client.remove(&open.client);
            }
        }
        self.recently_ended.insert(tag, EndedCall::default());
        Some(open)
    }

    pub fn add_established(&mut self, tag: Tag, call: EstablishedCall) {
        self.established_by_server.entry(call.server).or_default().insert(tag);
        if call.is_reported() {
            self.reported.insert(call.client, tag);
        }
        self.established.insert(tag, call);
    }

    /// Hands the calls whose set-ups went on these connections over to another core switch.
    pub fn hand_over(&mut self, from: ServerId, to: ServerId, links: &[LinkId]) {
        for tag in self.established_by_server.get(&from).cloned().unwrap_or_default() {
            let call = self.established.get_mut(&tag);
            let Some(call) = call.filter(|call| call.link.is_some_and(|link| links.contains(&link))) else {
                continue;
            };
            call.server = to;
            self.remove_from_server(from, tag);
            self.established_by_server.entry(to).or_default().insert(tag);
        }
    }

    fn remove_from_server(&mut self, server: ServerId, tag: Tag) {
        if let Some(tags) = self.established_by_server.get_mut(&server) {
            tags.remove(&tag);
            if tags.is_empty() {
                self.established_by_server.remove(&server);
            }
        }
    }

    /// Whether a further call can be established through this gateway.
    pub fn has_room_for_established(&self) -> bool {
        self.established.len() - self.reported.len() < MAX_ESTABLISHED_CALLS
    }

    /// Another client, or the same one again, reports an established call. Returns the client before.
    pub fn report_again(&mut self, tag: Tag, client: ClientId) -> Option<ClientId> {
        let call = self.established.get_mut(&tag)?;
        let before = std::mem::replace(&mut call.client, client);
        if call.is_reported() {
            self.reported.remove(before, tag);
            self.reported.insert(client, tag);
        }
        Some(before)
    }

    /// Removes an established call, and remembers the cause of its release to the caller.
    pub fn remove_established(&mut self, tag: Tag, release_cause: Option<i64>) -> Option<EstablishedCall> {
        let call = self.forget_established(tag)?;
        self.recently_ended.insert(tag, EndedCall { release_cause, barred_until: None });
        Some(call)
    }

    /// Removes an established call of which nothing is to be remembered.
    pub fn forget_established(&mut self, tag: Tag) -> Option<EstablishedCall> {
        let call = self.established.remove(&tag)?;
        if call.is_reported() {
            self.reported.remove(call.client, tag);
        }
        self.remove_from_server(call.server, tag);
        Some(call)
    }

    /// Number of established calls at a core switch.
    pub fn established_at(&self, server: ServerId) -> usize {
        self.established_by_server.get(&server).map_or(0, BTreeSet::len)
    }

    pub fn has_established_at(&self, server: ServerId) -> bool {
        self.established_by_server.contains_key(&server)
    }
}
