//! Shutdown: what is served after SIGTERM, what is refused, and when connections are closed.
//!
//! | from SIGTERM on | |
//! | --- | --- |
//! | at once | tests fail, so that the front end turns to other gateways |
//! | until [`SERVE_AFTER_STOP`] | set-ups are served as usual |
//! | until the last accepted call is answered | set-ups are refused, with a retry time; releases are sent |
//! | then | every client connection is closed in order, and the gateway ends |
//!
//! Connections in the listener's queue are closed with the others. Set-ups that were not read yet are
//! refused, releases are carried out.
//!
//! No connection is closed before that, because the releases of established calls are sent on them. Calls
//! that are still established at the end are lost: waiting 1.5 s longer saved none in three days of rolling
//! restarts (`docs/design/025-platform-gateway.md`).

use std::time::Duration;

use super::{Node, Output, TimerKey};

/// How long set-ups are served as usual after SIGTERM: the platform's 0.4 s for new connections and 0.2 s for
/// requests on open ones, and a margin. In five days of rolling restarts the last of 6,113 set-ups came
/// 0.51 s after the signal.
pub(super) const SERVE_AFTER_STOP: Duration = Duration::from_millis(700);

/// How long releases that wait for a connection delay the end of a gateway that has nothing else to do: twice
/// the longest pause between two connection attempts.
const PENDING_RELEASE_WAIT: Duration = Duration::from_secs(1);

/// How long the gateway still reads before it ends, so that releases from core switches that have arrived are
/// sent to callers while they are connected.
const FINAL_READ_WAIT: Duration = Duration::from_millis(20);

impl Node {
    /// Starts the shutdown; a second request changes nothing.
    pub(super) fn begin_shutdown(&mut self) {
        if self.stop_requested_at.is_none() {
            self.stop_requested_at = Some(self.now);
            self.timers.set(TimerKey::Shutdown, self.now.plus(SERVE_AFTER_STOP));
        }
    }

    /// Whether set-ups are no longer served because of the shutdown.
    pub(super) fn refuses_set_ups(&self) -> bool {
        self.stop_requested_at.is_some_and(|since| self.now.since(since) >= SERVE_AFTER_STOP)
    }

    /// Ends the gateway once all calls are answered. Client connections are closed in order first: the driver
    /// reads what has arrived, writes what is queued, shuts down its sending side and reads on until the
    /// client closes. An exit with unread bytes would reset the connection: answers in transit would be lost,
    /// and a caller whose set-up crossed could not tell whether it was accepted.
    pub(super) fn finish_shutdown(&mut self) {
        if self.done || !self.calls.open.is_empty() || !self.refuses_set_ups() {
            return;
        }
        // A core switch that cannot be reached must not keep the gateway running for ever.
        let since = *self.drained_since.get_or_insert(self.now);
        let wait = if self.links.has_pending_releases() { PENDING_RELEASE_WAIT } else { FINAL_READ_WAIT };
        if self.now.since(since) < wait {
            return self.timers.set(TimerKey::Shutdown, since.plus(wait));
        }
        self.done = true;
        for client in self.client_connections.ids() {
            self.start_closing(client);
        }
        self.outputs.push(Output::Done);
    }
}
