//! Errors of a measurement with gateway processes.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use crate::hollow::HollowError;
use crate::process::usage::UsageError;

/// Why gateway processes cannot be measured. Each message says what to do.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ProcessError {
    /// The gateway's program does not exist.
    #[error(
        "{}: does not exist; build the gateway with `cargo build --release -p fawnrouterd`, name it with \
         `--program PATH`, or measure without it with `--no-processes`",
        program.display()
    )]
    ProgramMissing {
        /// The path that was tried.
        program: PathBuf,
    },
    /// The gateway's program cannot be started.
    #[error(
        "{}: cannot be started: {source}; `--program` must name the built `fawnrouter`",
        program.display()
    )]
    SpawnFailed {
        /// The program.
        program: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A gateway exited during the measurement.
    #[error(
        "gateway {name} exited ({status}); its log ends with {last_line:?}; remove the cause and measure \
         again"
    )]
    GatewayExited {
        /// Name of the gateway.
        name: String,
        /// Exit status or signal.
        status: String,
        /// The last line of its log.
        last_line: String,
    },
    /// Gateways did not become ready in time.
    #[error(
        "{missing} within {} s; stop other work on this machine and measure again, or look at the gateways' \
         logs",
        waited.as_secs()
    )]
    NotReady {
        /// Which condition was not met.
        missing: &'static str,
        /// The time limit.
        waited: Duration,
    },
    /// Not all calls ended in time.
    #[error(
        "{ended} of {planned} calls had ended {} s after the last was due; stop other work on this machine \
         and measure again",
        waited.as_secs()
    )]
    CallsUnfinished {
        /// Calls that had ended.
        ended: u64,
        /// Calls of the plan.
        planned: u64,
        /// The time limit.
        waited: Duration,
    },
    /// The stand-ins need more file descriptors than this process may have open.
    #[error(
        "the stand-ins need {needed} descriptors and this process may have {limit}; raise the limit of open \
         files in the shell that starts it, or measure with `--quick` or `--no-processes`"
    )]
    TooFewDescriptors {
        /// The number that is needed.
        needed: u64,
        /// The process's limit.
        limit: u64,
    },
    /// The operating system refused something.
    #[error(
        "{failure}: {source}; loopback addresses, a directory for temporary files and threads are needed"
    )]
    System {
        /// What failed, as a sentence.
        failure: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection of a caller broke.
    #[error(
        "the connection of the caller to gateway {gateway} broke: {source}; check whether the gateway still \
         runs and measure again"
    )]
    CallerConnection {
        /// Number of the gateway, from 0.
        gateway: u32,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The usage of a process cannot be determined.
    #[error(transparent)]
    Usage(#[from] UsageError),
    /// The histogram of delays cannot be built.
    #[error("the histogram of delays cannot be built: {0}; this is a bug of the measuring program")]
    DelayHistogram(String),
    /// The simulation of hollow gateways failed.
    #[error("the simulation of hollow gateways failed: {0}")]
    Hollow(#[from] HollowError),
    /// The measurement was aborted.
    #[error("the measurement was aborted; nothing was written")]
    Interrupted,
}

/// Converts an error of the operating system, for use with `map_err`; `failure` says what failed.
pub(super) fn system_error(failure: &'static str) -> impl FnOnce(io::Error) -> ProcessError {
    move |source| ProcessError::System { failure, source }
}
