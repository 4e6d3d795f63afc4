//! What is under way, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Duration;

use fawnrouter_jsonl::Message;
use fawnrouter_node::{ClientId, LinkEnd};

/// A gateway by its number and how often it has been started; what concerns an earlier start is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GatewayRun {
    pub gateway: usize,
    pub epoch: u32,
}

/// A connection between a gateway and a core switch. Numbers are never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(pub u64);

/// An answer of the name server, which many gateways get under their own ids.
#[derive(Clone, Debug)]
pub(crate) struct ListAnswer {
    pub id: [u8; 2],
    pub serial: u32,
    pub bytes: Rc<[u8]>,
}

/// What happens next.
#[derive(Debug)]
pub(crate) enum Event {
    /// A gateway's process starts.
    Boot { gateway: usize },
    /// A gateway wants to be woken.
    Wake(GatewayRun),
    /// A gateway asks for the list.
    Ask(GatewayRun),
    /// A question reaches the name server.
    Question { from: GatewayRun, datagram: Vec<u8> },
    /// An answer reaches a gateway.
    Answer { to: GatewayRun, answer: ListAnswer },
    /// A caller sends the set-up of the planned call of this place.
    Call { planned: usize, until: Duration },
    /// A caller tells of a call that stands to another gateway than before.
    Retell { tag: u64 },
    /// A caller waits no longer.
    CallerWaitOver { tag: u64 },
    /// A caller's connection reaches a gateway.
    ClientUp { to: GatewayRun, client: ClientId },
    /// A caller's line reaches a gateway.
    ClientLine { to: GatewayRun, client: ClientId, tag: u64, line: Vec<u8> },
    /// A gateway's line reaches a caller.
    LineToCaller { from: GatewayRun, message: Message },
    /// A connection reaches a core switch.
    Dial { connection: ConnectionId },
    /// A connection is up at its gateway.
    DialUp { connection: ConnectionId },
    /// A connection has ended at its gateway.
    ConnectionEnd { connection: ConnectionId, end: LinkEnd },
    /// A gateway's line reaches a core switch.
    LineToSwitch { connection: ConnectionId, message: Message, bytes: usize },
    /// A core switch's line reaches a gateway.
    LineToGateway { connection: ConnectionId, line: Vec<u8> },
    /// A gateway's close reaches a core switch.
    CloseAtSwitch { connection: ConnectionId },
    /// A core switch answers a set-up.
    SwitchAnswers { switch: usize, epoch: u32, tag: u64 },
    /// A call at a core switch comes to its end.
    CallEnds { switch: usize, epoch: u32, tag: u64 },
    /// The planned fault of this place.
    Fault(usize),
    /// The name server hears what has changed in a service.
    ListNews { service: usize },
    /// The list changes with no fault.
    ListChange,
    /// What is held is looked at.
    Sample,
}

struct Entry {
    at: Duration,
    order: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Events by time; those of one time in the order in which they were put in.
#[derive(Default)]
pub(crate) struct Queue {
    entries: BinaryHeap<Reverse<Entry>>,
    order: u64,
}

impl Queue {
    pub fn put(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.entries.push(Reverse(Entry { at, order: self.order, event }));
    }

    /// Takes the first that happens by then.
    pub fn take(&mut self, by: Duration) -> Option<(Duration, Event)> {
        if self.entries.peek().is_none_or(|Reverse(entry)| entry.at > by) {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}
