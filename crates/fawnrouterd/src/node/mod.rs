//! The gateway on the platform: I/O drivers around [`fawnrouter_node::Node`], one module each.
//!
//! A set-up passes through `client` → `Decoder` → `Message` → `Node::handle` → `Controller` → `gateway` →
//! `Outbox` → `trunk`. Drivers depend on [`gateway::Gateway`] and not on each other.

mod client;
mod config;
mod gateway;
mod listener;
mod nameserver;
mod reader;
mod signals;
mod trunk;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use fawnrouter_node::fawnrouter::SettingsError;
use fawnrouter_node::{DescriptorShares, Input, MemoryShares, Node, NodeSettings};
use futures_lite::future;

pub use config::{ConfigError, ConfigSource};
use gateway::Gateway;

/// Why the gateway cannot run. Each message says what is wrong and how to correct it.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// Listening on the address failed.
    #[error(
        "listen: cannot listen on {address}: {error}; free the address or change it in the configuration"
    )]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// Installing the signal handlers failed.
    #[error("cannot catch signals: {0}")]
    Signals(io::Error),
    /// The decision module rejects the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

/// How long remaining bytes may take to be written at shutdown, and callers to close their side.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs a gateway until SIGTERM or SIGINT, and then until every accepted set-up has ended.
///
/// # Errors
/// If it cannot start.
pub fn run(path: PathBuf) -> Result<(), NodeError> {
    let source = ConfigSource::new(path);
    let boot = source.read()?;
    source.check_environment(&boot)?;
    let address = boot.listen;
    let listen = |error| NodeError::Listen { address, error };
    let listener = Rc::new(Async::<TcpListener>::bind(address).map_err(listen)?);
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(NodeError::Signals)?;
    let node = Node::new(NodeSettings::new(&boot))?;
    let executor = Rc::new(LocalExecutor::new());
    let shares = DescriptorShares::divide(boot.descriptors);
    let memory = MemoryShares::divide(boot.memory_bytes);
    let gateway = Gateway::new(node, shares, memory, boot.nameserver, trunk::open, &executor);
    gateway.input(Input::ConfiguredList(boot.known));
    tracing::info!(name = boot.name, %address, "gateway ready");
    let all = async {
        let tasks = [
            executor.spawn(run_node_timer(gateway.clone())),
            executor.spawn(nameserver::poll_nameserver(gateway.clone())),
            executor.spawn(signals::handle_signals(gateway.clone(), signals, source)),
        ];
        let listening = executor.spawn(listener::accept(gateway.clone(), listener.clone(), client::serve));
        gateway.done().await;
        drop(listening);
        // Later connections are refused by the kernel, which tells clients that nothing of theirs was
        // accepted.
        listener::accept_remaining(&gateway, listener, client::serve).await;
        let flushed = async {
            while gateway.has_open_work() {
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        future::or(flushed, async {
            Timer::after(FLUSH_TIMEOUT).await;
        })
        .await;
        gateway.log_counts();
        drop(tasks);
    };
    async_io::block_on(executor.run(all));
    Ok(())
}

async fn run_node_timer(gateway: Rc<Gateway>) {
    gateway.run_node_timer().await;
}
