//! The configuration file and the variables that the platform sets.

use std::path::PathBuf;

use fawnrouter_node::{Boot, BootError};

/// Why the configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It cannot be read.
    #[error(
        "{file}: cannot be read: {error}; set BALANCER_CONFIG or --config to the gateway's configuration"
    )]
    Unreadable {
        /// The file.
        file: String,
        /// Why.
        error: std::io::Error,
    },
    /// It is wrong.
    #[error("{file}: {error}")]
    Invalid {
        /// The file.
        file: String,
        /// What is wrong.
        error: BootError,
    },
    /// A variable disagrees with it.
    #[error(
        "{variable} is {found}, and the configuration says {wanted}; make them agree or unset the variable"
    )]
    EnvironmentMismatch {
        /// Which.
        variable: &'static str,
        /// What it says.
        found: String,
        /// What the file says.
        wanted: String,
    },
}

/// Where the configuration is read from, at the start and at each SIGHUP.
pub struct ConfigSource {
    path: PathBuf,
}

impl ConfigSource {
    pub fn new(path: PathBuf) -> Self {
        Self { path }
    }

    /// Reads and checks the whole file.
    pub fn read(&self) -> Result<Boot, ConfigError> {
        let file = || self.path.display().to_string();
        let text =
            std::fs::read(&self.path).map_err(|error| ConfigError::Unreadable { file: file(), error })?;
        Boot::read(&text).map_err(|error| ConfigError::Invalid { file: file(), error })
    }

    /// The platform tells name and address twice; where they differ, something is set up wrongly.
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
