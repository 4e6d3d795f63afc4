//! Why a gateway cannot start or run.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use fawnrouter_admission::TooFewDescriptors;
use fawnrouter_engine::EngineError;

/// Why the gateway cannot run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {error}; free the port or change listen.address")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// Signals cannot be caught.
    #[error("cannot catch signals: {0}")]
    Signals(io::Error),
    /// The limit of descriptors is too low.
    #[error(transparent)]
    Descriptors(#[from] TooFewDescriptors),
    /// The system has no random bytes.
    #[error("the system gives no random bytes: {0}")]
    Random(String),
    /// The socket for operators cannot be made.
    #[error("{path}: cannot listen for operators: {error}; remove the file or change control.socket")]
    Control {
        /// Where.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// The admission of connections refuses the settings.
    #[error("admission: {0}")]
    Admission(#[from] fawnrouter_admission::SettingsError),
    /// The decisions refuse the settings.
    #[error(transparent)]
    Settings(#[from] EngineError),
}
