//! The configuration file and the environment variables set by the platform.

use std::path::PathBuf;

use fawnrouter_node::{Boot, BootError};

/// Why the configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error(
        "{file}: cannot be read: {error}; set BALANCER_CONFIG or --config to the gateway's configuration"
    )]
    Unreadable {
        /// Path of the file.
        file: String,
        /// The cause.
        error: std::io::Error,
    },
    /// The content is invalid.
    #[error("{file}: {error}")]
    Invalid {
        /// Path of the file.
        file: String,
        /// The error in it.
        error: BootError,
    },
    /// An environment variable contradicts the file.
    #[error(
        "{variable} is {found}, and the configuration says {wanted}; make them agree or unset the variable"
    )]
    EnvironmentMismatch {
        /// Name of the variable.
        variable: &'static str,
        /// Its value.
        found: String,
        /// The value in the file.
        wanted: String,
    },
}

/// The configuration file, which is read at the start and at each SIGHUP.
pub struct ConfigSource {
    path: PathBuf,
}

impl ConfigSource {
    pub fn new(path: PathBuf) -> Self {
        Self { path }
    }

    /// Reads and validates the file.
    pub fn read(&self) -> Result<Boot, ConfigError> {
        let file = || self.path.display().to_string();
        let text =
            std::fs::read(&self.path).map_err(|error| ConfigError::Unreadable { file: file(), error })?;
        Boot::read(&text).map_err(|error| ConfigError::Invalid { file: file(), error })
    }

    /// Checks the name and address in the environment, where set, against the configuration. A difference is
    /// a mistake in the deployment.
    pub fn check_environment(&self, boot: &Boot) -> Result<(), ConfigError> {
        let expected = [("BALANCER_NAME", boot.name.clone()), ("BALANCER_LISTEN", boot.listen.to_string())];
        for (variable, wanted) in expected {
            if let Some(found) = std::env::var_os(variable).filter(|found| found.to_str() != Some(&wanted)) {
                let found = found.to_string_lossy().into_owned();
                return Err(ConfigError::EnvironmentMismatch { variable, found, wanted });
            }
        }
        Ok(())
    }
}
