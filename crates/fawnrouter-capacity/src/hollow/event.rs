//! The events of a simulation and their queue, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Duration;

use fawnrouter_jsonl::Message;
use fawnrouter_node::{ClientId, LinkEnd};

/// A gateway and how often it has been started. Events for an earlier start are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GatewayIncarnation {
    pub gateway: usize,
    pub epoch: u32,
}

/// A connection between a gateway and a core switch. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(pub u64);

/// A response of the name server. Gateways share the bytes; each gets it with the id of its own query.
#[derive(Clone, Debug)]
pub(crate) struct EncodedListResponse {
    pub id: [u8; 2],
    pub serial: u32,
    pub bytes: Rc<[u8]>,
}

/// An event of the simulation.
#[derive(Debug)]
pub(crate) enum Event {
    /// A gateway's process starts.
    StartGateway { gateway: usize },
    /// A gateway's timer expires.
    WakeGateway(GatewayIncarnation),
    /// A gateway sends its next query for the list.
    SendListQuery(GatewayIncarnation),
    /// A list query arrives at the name server.
    ListQuery { from: GatewayIncarnation, datagram: Vec<u8> },
    /// A list response arrives at a gateway.
    ListResponse { to: GatewayIncarnation, response: EncodedListResponse },
    /// A caller sends the set-up of the planned call with this index, unless `until` has passed.
    SendSetUp { planned: usize, until: Duration },
    /// A caller reports an established call to another gateway than the one that set it up.
    ReportEstablishedCall { tag: u64 },
    /// A caller stops waiting for an answer.
    CallerTimeout { tag: u64 },
    /// A caller's connection arrives at a gateway.
    ClientConnected { to: GatewayIncarnation, client: ClientId },
    /// A caller's line arrives at a gateway.
    LineFromCaller { to: GatewayIncarnation, client: ClientId, tag: u64, line: Vec<u8> },
    /// A gateway's line arrives at a caller.
    LineToCaller { from: GatewayIncarnation, message: Message },
    /// A gateway's connection attempt arrives at a core switch.
    ConnectToSwitch { connection: ConnectionId },
    /// The gateway learns that its connection is up.
    ConnectionUp { connection: ConnectionId },
    /// The gateway learns that its connection has ended.
    ConnectionEnded { connection: ConnectionId, end: LinkEnd },
    /// A gateway's line arrives at a core switch.
    LineToSwitch { connection: ConnectionId, message: Message, bytes: usize },
    /// A core switch's line arrives at a gateway.
    LineToGateway { connection: ConnectionId, line: Vec<u8> },
    /// A gateway's close arrives at a core switch.
    CloseReachesSwitch { connection: ConnectionId },
    /// A core switch answers a set-up.
    SwitchAnswersSetUp { switch: usize, epoch: u32, tag: u64 },
    /// A core switch ends a call and releases it.
    SwitchReleasesCall { switch: usize, epoch: u32, tag: u64 },
    /// The planned fault with this index occurs.
    InjectFault(usize),
    /// The name server learns the current list of a service.
    ListUpdate { service: usize },
    /// The list changes although no fault occurred; see `Scenario::list_change_every`.
    PeriodicListChange,
    /// The state that members hold is sampled.
    SampleHeld,
}

struct QueuedEvent {
    at: Duration,
    order: u64,
    event: Event,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A queue of events by time. Events of the same time keep the order in which they were scheduled.
#[derive(Default)]
pub(crate) struct EventQueue {
    entries: BinaryHeap<Reverse<QueuedEvent>>,
    order: u64,
}

impl EventQueue {
    pub fn schedule(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.entries.push(Reverse(QueuedEvent { at, order: self.order, event }));
    }

    /// Removes and returns the first event due at or before `by`.
    pub fn pop_due(&mut self, by: Duration) -> Option<(Duration, Event)> {
        if self.entries.peek().is_none_or(|Reverse(entry)| entry.at > by) {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}
