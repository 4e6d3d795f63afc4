//! Records what the stand-ins and callers see on their sockets and passes it to the auditor.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;

use fawnrouter_audit::{AuditParameters, AuditReport, Auditor, Direction, Observation, Side};

/// The auditor, and the number of the last recorded connection.
struct Recording {
    auditor: Auditor,
    last_connection: u64,
}

/// Recorder of all connections of a run.
pub struct Tap {
    start: Instant,
    state: RefCell<Recording>,
    /// Time of the last heartbeat, and how late it was.
    last_heartbeat: Cell<(Duration, Duration)>,
}

/// Time between two heartbeats of the lab's executor.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2);
/// Bytes read within this time after a late heartbeat may have waited as long as the heartbeat was late.
const DELAY_MEMORY: Duration = Duration::from_millis(20);

impl Tap {
    pub fn new(parameters: AuditParameters) -> Self {
        Self {
            start: Instant::now(),
            state: RefCell::new(Recording { auditor: Auditor::new(parameters), last_connection: 0 }),
            last_heartbeat: Cell::default(),
        }
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The instant of a time since the start.
    pub fn to_instant(&self, at: Duration) -> Instant {
        self.start + at
    }

    /// Passes an event to the auditor.
    pub fn record(&self, seen: Observation) {
        self.state.borrow_mut().auditor.observe(self.now(), seen);
    }

    /// Records a new connection and returns its number.
    pub fn connection_opened(&self, side: Side) -> u64 {
        let conn = {
            let mut state = self.state.borrow_mut();
            state.last_connection += 1;
            state.last_connection
        };
        self.record(Observation::Opened { conn, side });
        conn
    }

    /// Records bytes that were read or written on a connection.
    pub fn record_bytes(&self, conn: u64, direction: Direction, bytes: &[u8]) {
        let tap_delay = self.possible_delay();
        self.record(Observation::Bytes { conn, direction, bytes: bytes.to_vec(), tap_delay });
    }

    /// Runs the heartbeat in an endless loop. Late heartbeats show that the machine delays the lab itself.
    pub async fn watch_delays(self: Rc<Self>) {
        loop {
            let late = self.now().saturating_sub(self.last_heartbeat.get().0 + HEARTBEAT_INTERVAL * 2);
            self.last_heartbeat.set((self.now(), late));
            Timer::after(HEARTBEAT_INTERVAL).await;
        }
    }

    /// How long bytes read now may have waited before they were read.
    fn possible_delay(&self) -> Duration {
        let (last, late) = self.last_heartbeat.get();
        let since = self.now().saturating_sub(last);
        let now = since.saturating_sub(HEARTBEAT_INTERVAL * 2);
        if since < DELAY_MEMORY { now.max(late) } else { now }
    }

    /// Records the end of a connection.
    pub fn connection_closed(&self, conn: u64) {
        self.record(Observation::Closed { conn });
    }

    /// Ends the recording and returns the auditor's verdict.
    pub fn finish(&self, parameters: AuditParameters) -> AuditReport {
        let auditor = std::mem::replace(&mut self.state.borrow_mut().auditor, Auditor::new(parameters));
        auditor.finish()
    }
}
