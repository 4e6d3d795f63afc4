//! Stand-in core switches: they answer each set-up after a delay, release the call after the hold time, and
//! pass all tests.

use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use fawnrouter_jsonl::{Message, Verb};

use crate::hollow::VolumeByVerb;
use crate::plan::{passed_test_answer, switch_answer, switch_release};
use crate::platform::ListedSwitch;
use crate::process::event_loop::{ConnectionHandler, EventLoop, Reply};
use crate::process::timestamps::{CallEvent, CallTimestamps};
use crate::process::watched::Watched;

/// The zone of all core switches.
const ZONE_NAME: &str = "zone-0";

/// Messages and connections between gateways and core switches.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SwitchTraffic {
    /// Messages that core switches received.
    pub received: VolumeByVerb,
    /// Messages that core switches sent.
    pub sent: VolumeByVerb,
    /// Open connections from gateways.
    pub connections: u64,
}

/// Delays of the core switches' replies.
#[derive(Clone, Copy, Debug)]
pub(super) struct SwitchTimes {
    /// From a set-up to its answer.
    pub answer_delay: Duration,
    /// From the answer to the release.
    pub hold: Duration,
}

/// All core switches, served by one thread.
#[derive(Debug)]
pub(super) struct Switches {
    /// The entries of the core switches on the list.
    pub list: Vec<ListedSwitch>,
    /// What has been counted so far.
    pub traffic: Arc<Watched<SwitchTraffic>>,
    _thread: EventLoop,
}

impl Switches {
    /// Starts `count` core switches, each on its own port and in its own pool.
    pub fn start(
        count: u32,
        times: SwitchTimes,
        timestamps: Option<Arc<CallTimestamps>>,
    ) -> io::Result<Self> {
        let mut list = Vec::new();
        let mut listeners = Vec::new();
        for number in 0..count {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            list.push(list_entry(number, &listener)?);
            listeners.push(listener);
        }
        let traffic = Arc::new(Watched::default());
        let handler = SwitchHandler { times, traffic: traffic.clone(), timestamps, calls: BTreeSet::new() };
        let thread = EventLoop::start("core-switches", handler, listeners, Vec::new())?;
        Ok(Self { list, traffic, _thread: thread })
    }
}

fn list_entry(number: u32, listener: &TcpListener) -> io::Result<ListedSwitch> {
    Ok(ListedSwitch {
        id: format!("s-{number:08x}"),
        zone: ZONE_NAME.to_owned(),
        cell: number,
        address: listener.local_addr()?,
        draining: false,
        started_unix_ms: 0,
    })
}

struct SwitchHandler {
    times: SwitchTimes,
    traffic: Arc<Watched<SwitchTraffic>>,
    timestamps: Option<Arc<CallTimestamps>>,
    /// Calls that are yet to be answered or released: the connection of the set-up, and the tag.
    calls: BTreeSet<(u64, u64)>,
}

impl SwitchHandler {
    /// Records the time of an event of a call if the message has the verb that belongs to the event.
    fn record_time(&self, message: &Message, verb: Verb, event: CallEvent) {
        if message.verb == verb
            && let Some(timestamps) = &self.timestamps
        {
            timestamps.record(message.tag.0, event);
        }
    }
}

impl ConnectionHandler for SwitchHandler {
    fn on_open(&mut self) {
        self.traffic.update(|traffic| traffic.connections += 1);
    }

    fn on_close(&mut self) {
        self.traffic.update(|traffic| traffic.connections -= 1);
    }

    fn on_message(&mut self, connection: u64, message: &Message, bytes: usize, replies: &mut Vec<Reply>) {
        self.record_time(message, Verb::Start, CallEvent::SetUpReceived);
        self.traffic.update(|traffic| traffic.received.add(message.verb, bytes));
        let tag = message.tag.0;
        let SwitchTimes { answer_delay, hold } = self.times;
        match message.verb {
            Verb::Start if self.calls.insert((connection, tag)) => {
                replies.push(Reply { delay: answer_delay, message: switch_answer(tag) });
                replies.push(Reply { delay: answer_delay + hold, message: switch_release(tag) });
            }
            // The gateway gives up the set-up or releases the call: replies that are still due are dropped.
            Verb::Finish => {
                self.calls.remove(&(connection, tag));
            }
            Verb::Echo => replies.push(Reply { delay: Duration::ZERO, message: passed_test_answer(tag) }),
            _ => {}
        }
    }

    fn is_still_due(&mut self, connection: u64, message: &Message) -> bool {
        let call = (connection, message.tag.0);
        match message.verb {
            Verb::Started => self.calls.contains(&call),
            Verb::Finish => self.calls.remove(&call),
            _ => true,
        }
    }

    fn on_write(&mut self, message: &Message, bytes: usize) {
        self.record_time(message, Verb::Started, CallEvent::AnswerSent);
        self.traffic.update(|traffic| traffic.sent.add(message.verb, bytes));
    }
}
