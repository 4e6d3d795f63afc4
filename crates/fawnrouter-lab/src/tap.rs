//! What the stand-ins saw on their sockets, for the auditor.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;

use fawnrouter_audit::{AuditParameters, AuditReport, Auditor, Direction, Observation, Side};

/// The tap of all connections of a run.
pub struct Tap {
    start: Instant,
    state: RefCell<(Auditor, u64)>,
    /// The last beat, and how late it was.
    beat: Cell<(Duration, Duration)>,
}

/// Pause between two beats of the lab.
const BEAT: Duration = Duration::from_millis(2);
/// What is read this soon after a late beat may have waited for as long as the beat was late.
const AFTER: Duration = Duration::from_millis(20);

impl Tap {
    pub fn new(figures: AuditParameters) -> Self {
        Self { start: Instant::now(), state: RefCell::new((Auditor::new(figures), 0)), beat: Cell::default() }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }

    pub fn fact(&self, seen: Observation) {
        self.state.borrow_mut().0.observe(self.now(), seen);
    }

    /// Numbers a fresh connection.
    pub fn opened(&self, side: Side) -> u64 {
        let conn = {
            let mut state = self.state.borrow_mut();
            state.1 += 1;
            state.1
        };
        self.fact(Observation::Opened { conn, side });
        conn
    }

    pub fn bytes(&self, conn: u64, way: Direction, bytes: &[u8]) {
        let late = self.late();
        self.fact(Observation::Bytes { conn, direction: way, bytes: bytes.to_vec(), tap_delay: late });
    }

    /// Beats for ever, which shows when the lab itself is held up by the machine.
    pub async fn beat(self: Rc<Self>) {
        loop {
            let late = self.now().saturating_sub(self.beat.get().0 + BEAT * 2);
            self.beat.set((self.now(), late));
            Timer::after(BEAT).await;
        }
    }

    /// How much earlier what is read now may have arrived.
    fn late(&self) -> Duration {
        let (last, late) = self.beat.get();
        let since = self.now().saturating_sub(last);
        let now = since.saturating_sub(BEAT * 2);
        if since < AFTER { now.max(late) } else { now }
    }

    pub fn closed(&self, conn: u64) {
        self.fact(Observation::Closed { conn });
    }

    /// Ends the record.
    pub fn finish(&self, figures: AuditParameters) -> AuditReport {
        let auditor = std::mem::replace(&mut self.state.borrow_mut().0, Auditor::new(figures));
        auditor.finish()
    }
}
