//! What the stand-ins saw on their sockets, for the auditor.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use fawnrouter_audit::{Auditor, Figures, Seen, Side, Verdict, Way};

/// The tap of all connections of a run.
pub struct Tap {
    start: Instant,
    state: RefCell<(Auditor, u64)>,
}

impl Tap {
    pub fn new(figures: Figures) -> Self {
        Self { start: Instant::now(), state: RefCell::new((Auditor::new(figures), 0)) }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }

    pub fn fact(&self, seen: Seen) {
        self.state.borrow_mut().0.take(self.now(), seen);
    }

    /// Numbers a fresh connection.
    pub fn opened(&self, side: Side) -> u64 {
        let conn = {
            let mut state = self.state.borrow_mut();
            state.1 += 1;
            state.1
        };
        self.fact(Seen::Opened { conn, side });
        conn
    }

    pub fn bytes(&self, conn: u64, way: Way, bytes: &[u8]) {
        self.fact(Seen::Bytes { conn, way, bytes: bytes.to_vec() });
    }

    pub fn closed(&self, conn: u64) {
        self.fact(Seen::Closed { conn });
    }

    /// Ends the record.
    pub fn finish(&self, figures: Figures) -> Verdict {
        let auditor = std::mem::replace(&mut self.state.borrow_mut().0, Auditor::new(figures));
        auditor.finish()
    }
}
