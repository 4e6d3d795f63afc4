//! The command line.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::serve;

/// A call router that sets up calls over trunk groups: SIP over WebSocket to callers, SIP over TCP to core switches.
#[derive(Debug, Parser)]
#[command(name = "fawnrouter", version)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Sub-commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the gateway until SIGTERM or SIGINT, which drain it; a second signal ends it at once.
    Run {
        /// The settings, YAML.
        #[arg(long)]
        config: PathBuf,
    },
    /// Read the settings and the list of switches, and say what is wrong with them.
    Check {
        /// The settings, YAML.
        #[arg(long)]
        config: PathBuf,
    },
    /// Print the JSON schema of the settings.
    Schema,
}

/// Does what was asked for. Exit codes: 0 done, 1 it failed or was cut short, 2 the settings are wrong.
#[must_use]
pub fn main_with(cli: Cli) -> ExitCode {
    match cli.command {
        Command::Run { config } => match fawnrouter_config::load(&config) {
            Err(error) => wrong(&error),
            Ok(settings) => {
                let folder = config.parent().map(PathBuf::from).unwrap_or_default();
                crate::log::start(&settings.log);
                match serve::run(settings, folder, |address, path| {
                    // The one line on standard output, for those who started the gateway on port 0.
                    println!("ready ws://{address}{path}");
                    let _ = std::io::stdout().flush();
                }) {
                    Ok(true) => ExitCode::SUCCESS,
                    Ok(false) => ExitCode::FAILURE,
                    Err(error) => {
                        tracing::error!("{error}");
                        ExitCode::FAILURE
                    }
                }
            }
        },
        Command::Check { config } => match fawnrouter_config::load(&config) {
            Err(error) => wrong(&error),
            Ok(settings) => {
                let folder = config.parent().map(PathBuf::from).unwrap_or_default();
                let file = folder.join(&settings.switches.file);
                let name = file.display().to_string();
                match std::fs::read_to_string(&file) {
                    Err(error) => {
                        eprintln!(
                            "{name}: cannot be read: {error}; the gateway would start without switches"
                        );
                        ExitCode::from(2)
                    }
                    Ok(text) => match fawnrouter_config::read_switches(&name, &text) {
                        Err(error) => wrong(&error),
                        Ok(switches) => {
                            println!("{}: sound; {} switches listed", config.display(), switches.len());
                            ExitCode::SUCCESS
                        }
                    },
                }
            }
        },
        Command::Schema => match serde_json::to_string_pretty(&fawnrouter_config::schema()) {
            Ok(text) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Err(error) => wrong(&error),
        },
    }
}

fn wrong(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(2)
}
