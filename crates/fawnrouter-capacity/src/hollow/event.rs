//! What is under way, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Duration;

use fawnrouter_jsonl::Message;
use fawnrouter_node::{ClientId, LinkEnd};

/// A gateway by its number and how often it has been started; what concerns an earlier start is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GatewayIncarnation {
    pub gateway: usize,
    pub epoch: u32,
}

/// A connection between a gateway and a core switch. Numbers are never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(pub u64);

/// An answer of the name server, which many gateways get under their own ids.
#[derive(Clone, Debug)]
pub(crate) struct EncodedListResponse {
    pub id: [u8; 2],
    pub serial: u32,
    pub bytes: Rc<[u8]>,
}

/// What happens next.
#[derive(Debug)]
pub(crate) enum Event {
    /// A gateway's process starts.
    StartGateway { gateway: usize },
    /// A gateway wants to be woken.
    WakeGateway(GatewayIncarnation),
    /// A gateway asks for the list.
    SendListQuery(GatewayIncarnation),
    /// A question reaches_switch the name server.
    ListQuery { from: GatewayIncarnation, datagram: Vec<u8> },
    /// An answer reaches_switch a gateway.
    ListResponse { to: GatewayIncarnation, response: EncodedListResponse },
    /// A caller sends the set-up of the planned call of this place.
    SendSetUp { planned: usize, until: Duration },
    /// A caller tells of a call that stands to another gateway than before.
    ReportEstablishedCall { tag: u64 },
    /// A caller waits no longer.
    CallerTimeout { tag: u64 },
    /// A caller's connection reaches_switch a gateway.
    ClientConnected { to: GatewayIncarnation, client: ClientId },
    /// A caller's line reaches_switch a gateway.
    LineFromCaller { to: GatewayIncarnation, client: ClientId, tag: u64, line: Vec<u8> },
    /// A gateway's line reaches_switch a caller.
    LineToCaller { from: GatewayIncarnation, message: Message },
    /// A connection reaches_switch a core switch.
    ConnectToSwitch { connection: ConnectionId },
    /// A connection is up at its gateway.
    ConnectionUp { connection: ConnectionId },
    /// A connection has ended at its gateway.
    ConnectionEnded { connection: ConnectionId, end: LinkEnd },
    /// A gateway's line reaches_switch a core switch.
    LineToSwitch { connection: ConnectionId, message: Message, bytes: usize },
    /// A core switch's line reaches_switch a gateway.
    LineToGateway { connection: ConnectionId, line: Vec<u8> },
    /// A gateway's close reaches_switch a core switch.
    CloseReachesSwitch { connection: ConnectionId },
    /// A core switch answers a set-up.
    SwitchAnswersSetUp { switch: usize, epoch: u32, tag: u64 },
    /// A call at a core switch comes to its end.
    SwitchReleasesCall { switch: usize, epoch: u32, tag: u64 },
    /// The planned fault of this place.
    InjectFault(usize),
    /// The name server hears what has changed in a service.
    ListUpdate { service: usize },
    /// The list changes with no fault.
    PeriodicListChange,
    /// What is held is looked at.
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

/// Events by time; those of one time in the order in which they were put in.
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

    /// Takes the first that happens by then.
    pub fn pop_due(&mut self, by: Duration) -> Option<(Duration, Event)> {
        if self.entries.peek().is_none_or(|Reverse(entry)| entry.at > by) {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}
