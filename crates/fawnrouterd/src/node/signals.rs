//! Signals: SIGHUP has the configuration read anew, SIGTERM and SIGINT end the gateway.

use std::rc::Rc;

use async_signal::{Signal, Signals};
use fawnrouter_node::Input;
use futures_lite::StreamExt;

use super::config::Source;
use super::gateway::Gate;

/// Heeds signals for ever.
pub async fn heed(gate: Rc<Gate>, mut signals: Signals, source: Source) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(&gate, &source),
            Ok(_) => {
                gate.log(gate.pump.clock.now(), "ending: what was taken gets its answer first");
                gate.input(Input::Stop);
            }
            Err(error) => tracing::warn!("a signal was lost: {error}"),
        }
    }
}

/// Takes a new configuration whole, or keeps the old one. The name server's address and the list can change while
/// the gateway runs; calls and connections stay as they are.
fn reload(gate: &Rc<Gate>, source: &Source) {
    match source.read() {
        Ok(boot) => {
            tracing::info!(nameserver = %boot.nameserver, serial = boot.known.serial, "new configuration");
            gate.nameserver.set(boot.nameserver);
            gate.input(Input::Known(boot.known));
        }
        Err(error) => tracing::warn!("the configuration stays as it was: {error}"),
    }
}
