//! What the stand-ins saw on their sockets, for the auditor.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;

use fawnrouter_audit::{Auditor, Figures, Seen, Side, Verdict, Way};

/// The tap of all connections of a run.
pub struct Tap {
    start: Instant,
    state: RefCell<(Auditor, u64)>,
    /// The last beat, and how late it was.
    last_heartbeat: Cell<(Duration, Duration)>,
}

/// Pause between two beats of the lab.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2);
/// What is read this soon after a late beat may have waited for as long as the beat was late.
const DELAY_MEMORY: Duration = Duration::from_millis(20);

impl Tap {
    pub fn new(figures: Figures) -> Self {
        Self {
            start: Instant::now(),
            state: RefCell::new((Auditor::new(figures), 0)),
            last_heartbeat: Cell::default(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn to_instant(&self, at: Duration) -> Instant {
        self.start + at
    }

    pub fn record(&self, seen: Seen) {
        self.state.borrow_mut().0.take(self.now(), seen);
    }

    /// Numbers a fresh connection.
    pub fn connection_opened(&self, side: Side) -> u64 {
        let conn = {
            let mut state = self.state.borrow_mut();
            state.1 += 1;
            state.1
        };
        self.record(Seen::Opened { conn, side });
        conn
    }

    pub fn record_bytes(&self, conn: u64, way: Way, bytes: &[u8]) {
        let late = self.possible_delay();
        self.record(Seen::Bytes { conn, way, bytes: bytes.to_vec(), late });
    }

    /// Beats for ever, which shows when the lab itself is held up by the machine.
    pub async fn watch_delays(self: Rc<Self>) {
        loop {
            let late = self.now().saturating_sub(self.last_heartbeat.get().0 + HEARTBEAT_INTERVAL * 2);
            self.last_heartbeat.set((self.now(), late));
            Timer::after(HEARTBEAT_INTERVAL).await;
        }
    }

    /// How much earlier what is read now may have arrived.
    fn possible_delay(&self) -> Duration {
        let (last, late) = self.last_heartbeat.get();
        let since = self.now().saturating_sub(last);
        let now = since.saturating_sub(HEARTBEAT_INTERVAL * 2);
        if since < DELAY_MEMORY { now.max(late) } else { now }
    }

    pub fn connection_closed(&self, conn: u64) {
        self.record(Seen::Closed { conn });
    }

    /// Ends the record.
    pub fn finish(&self, figures: Figures) -> Verdict {
        let auditor = std::mem::replace(&mut self.state.borrow_mut().0, Auditor::new(figures));
        auditor.finish()
    }
}
