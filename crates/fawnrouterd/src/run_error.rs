//! Errors that keep the gateway from running.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use fawnrouter_admission::TooFewDescriptors;
use fawnrouter_engine::EngineError;

/// Why the gateway cannot start or run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// Listening on the address failed.
    #[error("cannot listen on {address}: {error}; free the port or change listen.address")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// Installing the signal handlers failed.
    #[error("cannot catch signals: {0}")]
    Signals(io::Error),
    /// The process's limit of file descriptors is too low.
    #[error(transparent)]
    Descriptors(#[from] TooFewDescriptors),
    /// The system's random number generator failed.
    #[error("the system's random number generator failed: {0}")]
    Random(String),
    /// Creating the operators' control socket failed.
    #[error("{path}: cannot listen for operators: {error}; remove the file or change control.socket")]
    Control {
        /// Path of the socket.
        path: PathBuf,
        /// The cause.
        error: io::Error,
    },
    /// The settings of connection admission are invalid.
    #[error("admission: {0}")]
    Admission(#[from] fawnrouter_admission::SettingsError),
    /// The engine rejects the settings.
    #[error(transparent)]
    Settings(#[from] EngineError),
}
