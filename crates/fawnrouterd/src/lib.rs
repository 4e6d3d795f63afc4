#![forbid(unsafe_code)]
//! The daemon: I/O drivers on async-io around the engine, on a single thread.
//!
//! Drivers only move bytes: they read, feed a codec, pass messages to the engine, write its outputs and run
//! its timer. Every buffer has a limit from the settings; a connection that exceeds it is closed.

mod accept;
mod buffer_share;
mod cli;
mod client;
mod clock;
mod connection_admission;
mod connections;
pub mod control;
mod core;
mod flag;
pub mod ledger;
mod log;
mod machine_driver;
mod node;
mod outbox;
mod report;
mod run_error;
mod serve;
mod trunk;
mod watched_files;

pub use cli::{Cli, Command, run_command};
pub use fawnrouter_config as config;
pub use fawnrouter_engine as engine;
pub use log::start as start_log;
pub use node::{ConfigError as NodeConfigError, NodeError, run as run_node};
pub use outbox::Outbox;
pub use run_error::RunError;
pub use serve::{run, run_with_engine};
