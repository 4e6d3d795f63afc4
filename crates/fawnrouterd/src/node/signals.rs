//! Signals: SIGHUP reloads the configuration, SIGTERM and SIGINT end the gateway.

use std::rc::Rc;

use async_signal::{Signal, Signals};
use fawnrouter_node::Input;
use futures_lite::StreamExt;

use super::config::ConfigSource;
use super::gateway::Gateway;

/// Handles signals until the task is dropped.
pub async fn handle_signals(gateway: Rc<Gateway>, mut signals: Signals, source: ConfigSource) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(&gateway, &source),
            Ok(_) => {
                gateway
                    .log_limited(gateway.driver.clock.now(), "ending: accepted set-ups are answered first");
                gateway.input(Input::Stop);
            }
            Err(error) => tracing::warn!("a signal was lost: {error}"),
        }
    }
}

/// Applies a new configuration as a whole, or keeps the old one. Only the name server's address and the list
/// of switches can change while the gateway runs; calls and connections are not affected.
fn reload(gateway: &Rc<Gateway>, source: &ConfigSource) {
    match source.read() {
        Ok(boot) => {
            tracing::info!(nameserver = %boot.nameserver, serial = boot.known.serial, "new configuration");
            gateway.nameserver.set(boot.nameserver);
            gateway.input(Input::ConfiguredList(boot.known));
        }
        Err(error) => tracing::warn!("the configuration stays as it was: {error}"),
    }
}
