//! Stand-in callers: they send set-ups at the times of a plan, independent of the outcome of earlier calls
//! (open loop).

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fawnrouter_jsonl::{Message, Tag, Verb};

use crate::hollow::VolumeByVerb;
use crate::plan::{CAUSE_TEST_PASSED, PlannedCall};
use crate::process::error::{ProcessError, system_error};
use crate::process::event_loop::{ConnectionHandler, EventLoop, Reply};
use crate::process::timestamps::{CallEvent, CallTimestamps};
use crate::process::watched::Watched;

/// How often a sleep checks whether the measurement is to be aborted.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How calls ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallOutcomes {
    /// Calls that were established and later released.
    pub released: u64,
    /// Calls that were refused or failed before they were established.
    pub unanswered: u64,
}

impl CallOutcomes {
    /// All calls that ended.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.released + self.unanswered
    }
}

/// Messages between callers and gateways, and the state of calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct CallerTraffic {
    /// Messages that callers sent.
    pub sent: VolumeByVerb,
    /// Messages that callers received.
    pub received: VolumeByVerb,
    /// Tests that gateways passed.
    pub tests_passed: u64,
    /// How calls ended.
    pub outcomes: CallOutcomes,
    /// Connections that a gateway closed.
    pub connections_lost: u64,
    /// Tags of the established calls.
    established: BTreeSet<u64>,
}

impl CallerTraffic {
    /// Counts a received message and follows the state of its call.
    fn record_received(&mut self, message: &Message, bytes: usize) {
        self.received.add(message.verb, bytes);
        let tag = message.tag.0;
        match message.verb {
            Verb::Started => {
                self.established.insert(tag);
            }
            Verb::Finish if self.established.remove(&tag) => self.outcomes.released += 1,
            Verb::Finish => self.outcomes.unanswered += 1,
            Verb::Echoed if message.rc == Some(CAUSE_TEST_PASSED) => self.tests_passed += 1,
            _ => {}
        }
    }
}

/// Callers' connections to all gateways, and the thread that reads them.
#[derive(Debug)]
pub(super) struct Callers {
    /// Connections for writing, by gateway.
    connections: Vec<Vec<TcpStream>>,
    /// Number of pools among which calls have their preferred one.
    cells: u32,
    /// Where the times of calls are recorded, if the delay of a hop is measured.
    timestamps: Option<Arc<CallTimestamps>>,
    /// What has been counted so far.
    pub traffic: Arc<Watched<CallerTraffic>>,
    _thread: EventLoop,
}

impl Callers {
    /// Starts the thread that reads these connections, which are open already, by gateway.
    pub fn start(
        connections: Vec<Vec<TcpStream>>,
        cells: u32,
        timestamps: Option<Arc<CallTimestamps>>,
    ) -> Result<Self, ProcessError> {
        let cannot_read = "a thread that reads callers' connections cannot be started";
        let traffic = Arc::new(Watched::default());
        let handler = CallerHandler { traffic: traffic.clone(), timestamps: timestamps.clone() };
        let for_reading: io::Result<Vec<TcpStream>> =
            connections.iter().flatten().map(TcpStream::try_clone).collect();
        let for_reading = for_reading.map_err(system_error(cannot_read))?;
        let thread = EventLoop::start("callers", handler, Vec::new(), for_reading);
        let thread = thread.map_err(system_error(cannot_read))?;
        Ok(Self { connections, cells, timestamps, traffic, _thread: thread })
    }

    /// Number of connections to all gateways together.
    pub fn connection_count(&self) -> u64 {
        self.connections.iter().map(|of_gateway| of_gateway.len() as u64).sum()
    }

    /// Sends the set-up of each call at its planned time after `start`.
    pub fn send_set_ups(
        &mut self,
        calls: &[PlannedCall],
        start: Instant,
        stop: &AtomicBool,
    ) -> Result<(), ProcessError> {
        for call in calls {
            sleep_until(start + call.at, stop)?;
            self.send_set_up(call)?;
        }
        Ok(())
    }

    /// The index of a call's connection among those to its gateway: calls are spread by tag.
    fn connection_index(&self, call: &PlannedCall) -> usize {
        let count = self.connections[call.gateway as usize].len().max(1) as u64;
        (call.tag % count) as usize
    }

    fn send_set_up(&mut self, call: &PlannedCall) -> Result<(), ProcessError> {
        let index = self.connection_index(call);
        let message = call.set_up_message(self.cells);
        let mut line = Vec::new();
        message.encode(&mut line);
        self.traffic.update(|traffic| traffic.sent.add(message.verb, line.len()));
        if let Some(timestamps) = &self.timestamps {
            timestamps.record(call.tag, CallEvent::SetUpSent);
        }
        let written = self.connections[call.gateway as usize][index].write_all(&line);
        written.map_err(|source| ProcessError::CallerConnection { gateway: call.gateway, source })
    }
}

impl Drop for Callers {
    fn drop(&mut self) {
        for stream in self.connections.iter().flatten() {
            // An error means that the gateway has closed the connection already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Opens a caller's connection and sends a test on it: a gateway closes connections on which no whole message
/// arrives in time.
pub(super) fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let mut test = Vec::new();
    Message::new(Verb::Echo, Tag(0)).with_cause(0).encode(&mut test);
    stream.write_all(&test)?;
    Ok(stream)
}

/// Sleeps until a time.
///
/// # Errors
/// Where the measurement is aborted.
pub(super) fn sleep_until(at: Instant, stop: &AtomicBool) -> Result<(), ProcessError> {
    loop {
        if stop.load(Ordering::Relaxed) {
            return Err(ProcessError::Interrupted);
        }
        let remaining = at.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Ok(());
        }
        std::thread::sleep(remaining.min(STOP_CHECK_INTERVAL));
    }
}

/// Counts what callers receive. Callers never reply.
struct CallerHandler {
    traffic: Arc<Watched<CallerTraffic>>,
    timestamps: Option<Arc<CallTimestamps>>,
}

impl ConnectionHandler for CallerHandler {
    fn on_open(&mut self) {}

    fn on_close(&mut self) {
        self.traffic.update(|traffic| traffic.connections_lost += 1);
    }

    fn on_message(&mut self, _connection: u64, message: &Message, bytes: usize, _replies: &mut Vec<Reply>) {
        if message.verb == Verb::Started
            && let Some(timestamps) = &self.timestamps
        {
            timestamps.record(message.tag.0, CallEvent::AnswerReceived);
        }
        self.traffic.update(|traffic| traffic.record_received(message, bytes));
    }

    fn is_still_due(&mut self, _connection: u64, _message: &Message) -> bool {
        true
    }

    fn on_write(&mut self, _message: &Message, _bytes: usize) {}
}
