//! Signals: SIGHUP has the configuration read anew, SIGTERM and SIGINT end the gateway.

use std::rc::Rc;

use async_signal::{Signal, Signals};
use fawnrouter_node::Input;
use futures_lite::StreamExt;

use super::config::ConfigSource;
use super::gateway::Gateway;

/// Heeds signals for ever.
pub async fn handle_signals(gateway: Rc<Gateway>, mut signals: Signals, source: ConfigSource) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(&gateway, &source),
            Ok(_) => {
                gateway
                    .log_limited(gateway.driver.clock.now(), "ending: what was taken gets its answer first");
                gateway.input(Input::Stop);
            }
            Err(error) => tracing::warn!("a signal was lost: {error}"),
        }
    }
}

/// Takes a new configuration whole, or keeps the old one. The name server's address and the list can change while
/// the gateway runs; calls and connections stay as they are.
fn reload(gateway: &Rc<Gateway>, source: &ConfigSource) {
    match source.read() {
        Ok(boot) => {
            tracing::info!(nameserver = %boot.nameserver, serial = boot.known.serial, "new configuration");
            gateway.nameserver.set(boot.nameserver);
            gateway.input(Input::Known(boot.known));
        }
        Err(error) => tracing::warn!("the configuration stays as it was: {error}"),
    }
}
