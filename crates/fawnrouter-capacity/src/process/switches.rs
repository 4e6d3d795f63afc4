//! Stand-in core switches: each set-up is answered after a time and released after another, tests are passed.

use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use fawnrouter_jsonl::{Message, Verb};

use crate::hollow::VolumeByVerb;
use crate::plan::{passed_test_answer, switch_answer, switch_release};
use crate::platform::ListedSwitch;
use crate::process::event_loop::{EventLoop, Party, Reply};
use crate::process::timestamps::{Moment, Stamps};
use crate::process::watched::Watched;

/// The zone of all core switches.
const ZONE_NAME: &str = "zone-0";

/// What passed between gateways and core switches.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SwitchTraffic {
    /// From gateways.
    pub heard: VolumeByVerb,
    /// To gateways.
    pub said: VolumeByVerb,
    /// Connections that are open now.
    pub connections: u64,
}

/// How long core switches take.
#[derive(Clone, Copy, Debug)]
pub(super) struct SwitchTimes {
    /// From a set-up to its answer.
    pub answer: Duration,
    /// From the answer to the release.
    pub hold: Duration,
}

/// The thread of all core switches.
#[derive(Debug)]
pub(super) struct Switches {
    /// The core switches as the list has them.
    pub rows: Vec<ListedSwitch>,
    /// What passed so far.
    pub traffic: Arc<Watched<SwitchTraffic>>,
    _thread: EventLoop,
}

impl Switches {
    /// Starts this many, each on a port of its own and in a pool of its own.
    pub fn start(count: u32, times: SwitchTimes, stamps: Option<Arc<Stamps>>) -> io::Result<Self> {
        let mut rows = Vec::new();
        let mut listeners = Vec::new();
        for number in 0..count {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            rows.push(row(number, &listener)?);
            listeners.push(listener);
        }
        let traffic = Arc::new(Watched::default());
        let party = SwitchParty { times, traffic: traffic.clone(), stamps, calls: BTreeSet::new() };
        let thread = EventLoop::start("core-switches", party, listeners, Vec::new())?;
        Ok(Self { rows, traffic, _thread: thread })
    }
}

fn row(number: u32, listener: &TcpListener) -> io::Result<ListedSwitch> {
    Ok(ListedSwitch {
        id: format!("s-{number:08x}"),
        zone: ZONE_NAME.to_owned(),
        cell: number,
        address: listener.local_addr()?,
        draining: false,
        started_unix_ms: 0,
    })
}

struct SwitchParty {
    times: SwitchTimes,
    traffic: Arc<Watched<SwitchTraffic>>,
    stamps: Option<Arc<Stamps>>,
    /// Calls that are to be answered or released, with the connection of their set-up.
    calls: BTreeSet<(u64, u64)>,
}

impl SwitchParty {
    fn stamp(&self, message: &Message, verb: Verb, moment: Moment) {
        if message.verb == verb
            && let Some(stamps) = &self.stamps
        {
            stamps.stamp(message.tag.0, moment);
        }
    }
}

impl Party for SwitchParty {
    fn opened(&mut self) {
        self.traffic.update(|traffic| traffic.connections += 1);
    }

    fn closed(&mut self) {
        self.traffic.update(|traffic| traffic.connections -= 1);
    }

    fn heard(&mut self, connection: u64, message: &Message, bytes: usize, replies: &mut Vec<Reply>) {
        self.stamp(message, Verb::Start, Moment::SwitchHears);
        self.traffic.update(|traffic| traffic.heard.add(message.verb, bytes));
        let tag = message.tag.0;
        let SwitchTimes { answer, hold } = self.times;
        match message.verb {
            Verb::Start if self.calls.insert((connection, tag)) => {
                replies.push(Reply { after: answer, message: switch_answer(tag) });
                replies.push(Reply { after: answer + hold, message: switch_release(tag) });
            }
            // Its set-up is given up.
            Verb::Finish => {
                self.calls.remove(&(connection, tag));
            }
            Verb::Echo => replies.push(Reply { after: Duration::ZERO, message: passed_test_answer(tag) }),
            _ => {}
        }
    }

    fn is_wanted(&mut self, connection: u64, message: &Message) -> bool {
        let call = (connection, message.tag.0);
        match message.verb {
            Verb::Started => self.calls.contains(&call),
            Verb::Finish => self.calls.remove(&call),
            _ => true,
        }
    }

    fn writes(&mut self, message: &Message, bytes: usize) {
        self.stamp(message, Verb::Started, Moment::SwitchWrites);
        self.traffic.update(|traffic| traffic.said.add(message.verb, bytes));
    }
}
