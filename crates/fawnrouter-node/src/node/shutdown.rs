//! The end of a gateway: what is served after SIGTERM, what is refused, what is closed when.
//!
//! | from SIGTERM on | |
//! | --- | --- |
//! | at once | tests fail, so that the front turns to others |
//! | until [`STOP_AFTER`] | set-ups are served as usual |
//! | until the last call that was taken has its answer | set-ups are refused, with a time to come back; releases are told |
//! | then | every caller's connection is closed in order, and the gateway ends |
//!
//! Connections in the listener's queue are closed with the others. Set-ups that lay unread are refused, releases are carried
//! out.
//!
//! No connection is closed before that: the releases of standing calls go out on them. Those that still stand at the end
//! can't be helped: 1.5 s more saved none on three days of roll (docs/design/025).

use std::time::Duration;

use super::{Key, Node, Output};

/// After SIGTERM set-ups are served as usual for this long: the page's 0.4 s for new connections, 0.2 s for requests on
/// open ones, and a margin. On five days of roll the last of 6,113 came 0.51 s after the signal.
pub(super) const STOP_AFTER: Duration = Duration::from_millis(700);

/// Releases that no connection could be had for keep a gateway that owes nothing else for this long: twice the longest
/// pause between two tries of a connection.
const UNSAID: Duration = Duration::from_secs(1);

/// What lies in the sockets as the end comes is read before it: releases of core switches are told on callers' connections
/// while there are some.
const LAST_LOOK: Duration = Duration::from_millis(20);

impl Node {
    /// The gateway is told to end; a second word changes nothing.
    pub(super) fn stop(&mut self) {
        if self.stopping.is_none() {
            self.stopping = Some(self.now);
            self.due.set(Key::Stop, self.now.plus(STOP_AFTER));
        }
    }

    /// Whether the time after SIGTERM in which set-ups are served is over.
    pub(super) fn is_over(&self) -> bool {
        self.stopping.is_some_and(|since| self.now.since(since) >= STOP_AFTER)
    }

    /// Ends once nothing is owed. Callers' connections are closed in order first: the driver takes what has come, says
    /// what is unsaid, shuts its side and reads on to the caller's end. Guards against an exit with bytes unread, which
    /// resets the connection: answers under way are thrown away then, and a caller whose set-up crossed can't tell whether
    /// it was taken.
    pub(super) fn end(&mut self) {
        if self.done || !self.calls.open.is_empty() || !self.is_over() {
            return;
        }
        // A core switch that cannot be reached must not keep the gateway for ever.
        let since = *self.wound_up.get_or_insert(self.now);
        let wait = if self.links.owes() { UNSAID } else { LAST_LOOK };
        if self.now.since(since) < wait {
            return self.due.set(Key::Stop, since.plus(wait));
        }
        self.done = true;
        for client in self.seats.all() {
            self.let_go(client);
        }
        self.out.push(Output::Done);
    }
}
