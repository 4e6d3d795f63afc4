//! Stand-in callers: calls at the times of a plan, whatever becomes of earlier ones.

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fawnrouter_jsonl::{Message, Tag, Verb};

use crate::hollow::VolumeByVerb;
use crate::plan::{CAUSE_TEST_PASSED, PlannedCall};
use crate::process::error::{ProcessError, doing};
use crate::process::event_loop::{EventLoop, Party, Reply};
use crate::process::timestamps::{Moment, Stamps};
use crate::process::watched::Watched;

/// Between two looks whether the measurement is to end.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// What became of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallOutcomes {
    /// They stood, and were released in their time.
    pub released: u64,
    /// They were refused or failed.
    pub unanswered: u64,
}

impl CallOutcomes {
    /// All that ended.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.released + self.unanswered
    }
}

/// What passed between callers and gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct CallerTraffic {
    /// From callers.
    pub said: VolumeByVerb,
    /// To callers.
    pub heard: VolumeByVerb,
    /// Tests that were passed.
    pub tests_passed: u64,
    /// What became of calls.
    pub ended: CallOutcomes,
    /// Connections that were ended by a gateway.
    pub connections_lost: u64,
    standing: BTreeSet<u64>,
}

impl CallerTraffic {
    fn hear(&mut self, message: &Message, bytes: usize) {
        self.heard.add(message.verb, bytes);
        let tag = message.tag.0;
        match message.verb {
            Verb::Started => {
                self.standing.insert(tag);
            }
            Verb::Finish if self.standing.remove(&tag) => self.ended.released += 1,
            Verb::Finish => self.ended.unanswered += 1,
            Verb::Echoed if message.rc == Some(CAUSE_TEST_PASSED) => self.tests_passed += 1,
            _ => {}
        }
    }
}

/// Callers' connections to all gateways, and the thread that reads them.
#[derive(Debug)]
pub(super) struct Callers {
    /// By gateway.
    connections: Vec<Vec<TcpStream>>,
    /// Pools among which calls have their first choice.
    cells: u32,
    stamps: Option<Arc<Stamps>>,
    /// What passed so far.
    pub traffic: Arc<Watched<CallerTraffic>>,
    _thread: EventLoop,
}

impl Callers {
    /// Callers with connections that stand already, by gateway.
    pub fn start(
        connections: Vec<Vec<TcpStream>>,
        cells: u32,
        stamps: Option<Arc<Stamps>>,
    ) -> Result<Self, ProcessError> {
        let cannot_read = "a thread that reads callers' connections cannot be started";
        let traffic = Arc::new(Watched::default());
        let party = CallerParty { traffic: traffic.clone(), stamps: stamps.clone() };
        let read: io::Result<Vec<TcpStream>> =
            connections.iter().flatten().map(TcpStream::try_clone).collect();
        let read = read.map_err(doing(cannot_read))?;
        let thread = EventLoop::start("callers", party, Vec::new(), read).map_err(doing(cannot_read))?;
        Ok(Self { connections, cells, stamps, traffic, _thread: thread })
    }

    /// How many connections there are.
    pub fn count(&self) -> u64 {
        self.connections.iter().map(|of_gateway| of_gateway.len() as u64).sum()
    }

    /// Sends the set-up of each call at its time from the start on.
    pub fn play(
        &mut self,
        calls: &[PlannedCall],
        start: Instant,
        stop: &AtomicBool,
    ) -> Result<(), ProcessError> {
        for call in calls {
            sleep_until(start + call.at, stop)?;
            let place = self.place_of(call);
            self.set_up(call, place)?;
        }
        Ok(())
    }

    fn place_of(&self, call: &PlannedCall) -> usize {
        let count = self.connections[call.gateway as usize].len().max(1) as u64;
        (call.tag % count) as usize
    }

    fn set_up(&mut self, call: &PlannedCall, place: usize) -> Result<(), ProcessError> {
        let message = call.set_up_message(self.cells);
        let mut line = Vec::new();
        message.encode(&mut line);
        self.traffic.update(|traffic| traffic.said.add(message.verb, line.len()));
        if let Some(stamps) = &self.stamps {
            stamps.stamp(call.tag, Moment::CallerWrites);
        }
        let written = self.connections[call.gateway as usize][place].write_all(&line);
        written.map_err(|source| ProcessError::CallerConnection { gateway: call.gateway, source })
    }
}

impl Drop for Callers {
    fn drop(&mut self) {
        for stream in self.connections.iter().flatten() {
            // One that the gateway has ended is shut down already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// A caller's connection, on which a test has been sent: one that says nothing whole is closed after some time.
pub(super) fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let mut test = Vec::new();
    Message::new(Verb::Echo, Tag(0)).with_cause(0).encode(&mut test);
    stream.write_all(&test)?;
    Ok(stream)
}

/// Sleeps until then.
///
/// # Errors
/// The measurement is to end.
pub(super) fn sleep_until(at: Instant, stop: &AtomicBool) -> Result<(), ProcessError> {
    loop {
        if stop.load(Ordering::Relaxed) {
            return Err(ProcessError::Interrupted);
        }
        let left = at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(());
        }
        std::thread::sleep(left.min(STOP_LOOK));
    }
}

struct CallerParty {
    traffic: Arc<Watched<CallerTraffic>>,
    stamps: Option<Arc<Stamps>>,
}

impl Party for CallerParty {
    fn opened(&mut self) {}

    fn closed(&mut self) {
        self.traffic.update(|traffic| traffic.connections_lost += 1);
    }

    fn heard(&mut self, _connection: u64, message: &Message, bytes: usize, _replies: &mut Vec<Reply>) {
        if message.verb == Verb::Started
            && let Some(stamps) = &self.stamps
        {
            stamps.stamp(message.tag.0, Moment::CallerHears);
        }
        self.traffic.update(|traffic| traffic.hear(message, bytes));
    }

    fn is_wanted(&mut self, _connection: u64, _message: &Message) -> bool {
        true
    }

    fn writes(&mut self, _message: &Message, _bytes: usize) {}
}
