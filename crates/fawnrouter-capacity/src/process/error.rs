//! Why gateway processes cannot be measured.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use crate::hollow::HollowError;
use crate::process::usage::UsageError;

/// Why gateway processes cannot be measured. Each text says what to do.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ProcessError {
    /// The gateway's program is not there.
    #[error(
        "{}: is not there; build the gateway with `cargo build --release -p fawnrouterd`, name it with `--program PATH`, \
         or measure without it with `--no-processes`",
        program.display()
    )]
    ProgramMissing {
        /// Where it was looked for.
        program: PathBuf,
    },
    /// The gateway's program cannot be started.
    #[error("{}: cannot be started: {source}; `--program` must name the built `fawnrouter`", program.display())]
    SpawnFailed {
        /// The program.
        program: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A gateway ended by itself.
    #[error(
        "gateway {name} has ended ({status}); its log ends with {last_line:?}; mend what it says and measure again"
    )]
    GatewayExited {
        /// Its name.
        name: String,
        /// How it ended.
        status: String,
        /// The last line of its log.
        last_line: String,
    },
    /// Gateways did not come up.
    #[error(
        "{missing} within {} s; end what else keeps this machine busy and measure again, or look at the gateways' logs",
        waited.as_secs()
    )]
    NotReady {
        /// What is missing.
        missing: &'static str,
        /// How long was waited.
        waited: Duration,
    },
    /// Not all calls came to their end.
    #[error(
        "{ended} of {planned} calls had ended {} s after the last was due; end what else keeps this machine busy and \
         measure again",
        waited.as_secs()
    )]
    CallsUnfinished {
        /// Calls that had ended.
        ended: u64,
        /// Calls of the plan.
        planned: u64,
        /// How long was waited.
        waited: Duration,
    },
    /// The stand-ins need more descriptors than this process may have open.
    #[error(
        "the stand-ins need {needed} descriptors and this process may have {limit}; raise the limit of open files of the \
         shell that starts it, or measure with `--quick` or `--no-processes`"
    )]
    TooFewDescriptors {
        /// How many are needed.
        needed: u64,
        /// The limit.
        limit: u64,
    },
    /// Something of the machine failed.
    #[error("{doing}: {source}; loopback addresses, a folder for temporary files and threads are needed")]
    System {
        /// What was being done.
        doing: &'static str,
        /// Why it failed.
        source: io::Error,
    },
    /// A connection of a caller broke.
    #[error(
        "the connection of the caller to gateway {gateway} broke: {source}; see whether the gateway still runs and \
         measure again"
    )]
    CallerConnection {
        /// Which gateway, from 0.
        gateway: u32,
        /// Why.
        source: io::Error,
    },
    /// It is not known what a process uses.
    #[error(transparent)]
    Usage(#[from] UsageError),
    /// Delays cannot be counted.
    #[error("delays cannot be counted: {0}; this is a fault of the rig")]
    DelayHistogram(String),
    /// The hollow counterpart failed.
    #[error("the hollow counterpart: {0}")]
    Hollow(#[from] HollowError),
    /// The measurement was told to end.
    #[error("told to end; nothing was written")]
    Interrupted,
}

/// Adds to an error of the machine what was being done.
pub(super) fn doing(what: &'static str) -> impl FnOnce(io::Error) -> ProcessError {
    move |source| ProcessError::System { doing: what, source }
}
