//! The command line of `fawnrouter`.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use fawnrouter_config::{ConfigError, Settings};
use fawnrouter_engine::digest::{Algorithm, ha1};

use crate::control::{self, Reply};
use crate::{report, serve};

/// A call router that sets up calls over trunk groups: SIP over WebSocket to callers, SIP over TCP to core
/// switches.
#[derive(Debug, Parser)]
#[command(name = "fawnrouter", version)]
pub struct Cli {
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Commands of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the gateway. SIGTERM or SIGINT drains it; a second signal ends it at once.
    Run {
        /// Settings file, YAML.
        #[arg(long)]
        config: PathBuf,
    },
    /// Run the gateway on the platform: JSON lines to callers and core switches, the list of switches by DNS,
    /// settings from the platform's JSON. SIGTERM or SIGINT ends it once every accepted set-up is answered;
    /// SIGHUP reloads the configuration. If BALANCER_NAME and BALANCER_LISTEN are set, they must agree with
    /// the configuration.
    Node {
        /// Configuration of the platform, JSON.
        #[arg(long, env = "BALANCER_CONFIG")]
        config: Option<PathBuf>,
    },
    /// Check the settings, the list of switches and the list of clients, and report errors.
    Check {
        /// Settings file, YAML.
        #[arg(long)]
        config: PathBuf,
    },
    /// Print the JSON schema of the settings.
    Schema,
    /// Query a running gateway's connections, refusals and traffic across zones; block or unblock an address.
    #[command(name = "admission", alias = "ask")]
    Admission {
        /// Settings of the running gateway, YAML; `control.socket` in them is the path of its control socket.
        #[arg(long)]
        config: PathBuf,
        /// Print the reply as JSON.
        #[arg(long)]
        json: bool,
        /// Command to the gateway; `show` by default.
        #[command(subcommand)]
        ask: Option<AdmissionCommand>,
    },
    /// Print a report of a gateway's past traffic.
    Report {
        /// The report to print.
        #[command(subcommand)]
        on: ReportCommand,
    },
    /// Read a password (one line on standard input) and print an entry for the list of clients.
    Secret {
        /// Name of the client.
        name: String,
        /// Realm, as in `clients.realm`.
        #[arg(long)]
        realm: String,
        /// Add the MD5 hash too.
        #[arg(long)]
        md5: bool,
    },
}

/// Reports about past traffic.
#[derive(Clone, Debug, Subcommand)]
pub enum ReportCommand {
    /// Calls to other zones by class, zones and cause, from the account file in the settings.
    Spill {
        /// Settings of the gateway, YAML.
        #[arg(long)]
        config: PathBuf,
        /// Output format.
        #[arg(long, value_enum, default_value_t = ReportFormat::Table)]
        form: ReportFormat,
        /// Number of minutes that the table covers, up to the last one.
        #[arg(long, default_value_t = 1440)]
        minutes: u64,
    },
}

/// Output format of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ReportFormat {
    /// A table for reading.
    Table,
    /// CSV with one record per minute, class, zone, trunk group and cause.
    Csv,
    /// A chart of the calls per minute.
    Svg,
}

/// Commands to a running gateway.
#[derive(Clone, Debug, Subcommand)]
pub enum AdmissionCommand {
    /// Show present connections and calls, and refusals by reason.
    Show,
    /// Show the state of the gateway's own zone and of the budgets across zones.
    Zones,
    /// Refuse connections of an address for a time.
    Block {
        /// The client address.
        address: std::net::IpAddr,
        /// How long, in seconds.
        #[arg(long = "for", default_value_t = 600, value_parser = clap::value_parser!(u64).range(1..=31_536_000))]
        for_s: u64,
    },
    /// Unblock an address and reset its rate limit.
    Free {
        /// The client address.
        address: std::net::IpAddr,
    },
}

/// Runs a command. Exit codes: 0 success, 1 failure or an interrupted drain, 2 invalid settings or input.
#[must_use]
pub fn run_command(cli: Cli) -> ExitCode {
    match cli.command {
        Command::Run { config } => match fawnrouter_config::load(&config) {
            Err(error) => invalid_input(&error),
            Ok(settings) => {
                let folder = config.parent().map(PathBuf::from).unwrap_or_default();
                crate::log::start(&settings.log);
                match serve::run(settings, folder, |address, path| {
                    // The only line on standard output; it gives the port to whoever started the gateway with
                    // port 0.
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
        Command::Node { config } => {
            crate::log::start(&fawnrouter_config::Log::default());
            let Some(config) = config else {
                return invalid_input(
                    &"BALANCER_CONFIG is not set; set it to the gateway's configuration, or give --config FILE",
                );
            };
            match crate::node::run(config) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => {
                    eprintln!("fawnrouter node: {error}");
                    ExitCode::from(2)
                }
            }
        }
        Command::Check { config } => match fawnrouter_config::load(&config) {
            Err(error) => invalid_input(&error),
            Ok(settings) => check(&config, &settings),
        },
        Command::Admission { config, json, ask } => match fawnrouter_config::load(&config) {
            Err(error) => invalid_input(&error),
            Ok(settings) => {
                let Some(control) = settings.control else {
                    return invalid_input(&format!(
                        "{}: control: is missing; add `control: {{ socket: PATH }}` and start the gateway with it",
                        config.display()
                    ));
                };
                run_admission_command(
                    &folder_of(&config).join(control.socket),
                    ask.unwrap_or(AdmissionCommand::Show),
                    json,
                )
            }
        },
        Command::Report { on: ReportCommand::Spill { config, form, minutes } } => {
            match fawnrouter_config::load(&config) {
                Err(error) => invalid_input(&error),
                Ok(settings) => report_spill(&config, &settings, form, minutes),
            }
        }
        Command::Secret { name, realm, md5 } => print_client_entry(&name, &realm, md5),
        Command::Schema => print_json(&fawnrouter_config::schema()),
    }
}

/// The folder that relative paths in the settings are resolved from.
fn folder_of(config: &Path) -> PathBuf {
    config.parent().map(PathBuf::from).unwrap_or_default()
}

/// Reads a list named in the settings and counts its entries. `consequence` is the effect of an unreadable
/// file.
fn count_entries<T>(
    file: &Path,
    consequence: &str,
    read: fn(&str, &str) -> Result<Vec<T>, ConfigError>,
) -> Result<usize, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| format!("{name}: cannot be read: {error}; {consequence}"))?;
    read(&name, &text).map(|list| list.len()).map_err(|error| error.to_string())
}

fn check(config: &Path, settings: &Settings) -> ExitCode {
    let folder = folder_of(config);
    let switches = &settings.switches.file;
    let consequence = "the gateway would start without switches";
    let switches = match count_entries(&folder.join(switches), consequence, fawnrouter_config::read_switches)
    {
        Ok(count) => count,
        Err(error) => return invalid_input(&error),
    };
    let mut known = String::new();
    if let Some(clients) = &settings.clients {
        let consequence = "the gateway would start without known clients";
        match count_entries(&folder.join(&clients.file), consequence, fawnrouter_config::read_clients) {
            Ok(count) => known = format!(", {count} clients known"),
            Err(error) => return invalid_input(&error),
        }
    }
    println!("{}: sound; {switches} switches listed{known}", config.display());
    ExitCode::SUCCESS
}

fn run_admission_command(socket: &Path, command: AdmissionCommand, json: bool) -> ExitCode {
    let command = match command {
        AdmissionCommand::Show => control::Command::Show,
        AdmissionCommand::Zones => control::Command::Zones,
        AdmissionCommand::Block { address, for_s } => control::Command::Block { address, for_s },
        AdmissionCommand::Free { address } => control::Command::Free { address },
    };
    match control::send_command(socket, &command) {
        Err(error) => {
            eprintln!(
                "{}: no gateway answers: {error}; check that it runs with these settings",
                socket.display()
            );
            ExitCode::FAILURE
        }
        Ok(Reply::Failed(reason)) => {
            eprintln!("{reason}");
            ExitCode::FAILURE
        }
        Ok(Reply::Admission(shown)) if json => print_json(&shown),
        Ok(Reply::Admission(shown)) => {
            print!("{shown}");
            ExitCode::SUCCESS
        }
        Ok(Reply::Zones(zones)) if json => print_json(&zones),
        Ok(Reply::Zones(zones)) => {
            print!("{zones}");
            ExitCode::SUCCESS
        }
        Ok(Reply::Done) => {
            println!("done");
            ExitCode::SUCCESS
        }
    }
}

fn report_spill(config: &Path, settings: &Settings, form: ReportFormat, minutes: u64) -> ExitCode {
    let Some(zones) = &settings.zones else {
        let name = config.display();
        return invalid_input(&format!(
            "{name}: zones: is missing; without it no traffic across zones is counted"
        ));
    };
    let file = folder_of(config).join(&zones.account);
    let ledger = match crate::ledger::read(&file) {
        Ok(ledger) => ledger,
        Err(error) => {
            eprintln!("{}: {error}; a gateway writes it once it has started", file.display());
            return ExitCode::FAILURE;
        }
    };
    match form {
        ReportFormat::Table => print!("{}", report::table(&ledger, minutes)),
        ReportFormat::Csv => print!("{}", report::csv(&ledger)),
        ReportFormat::Svg => match report::svg(&ledger) {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        },
    }
    ExitCode::SUCCESS
}

fn print_client_entry(name: &str, realm: &str, md5: bool) -> ExitCode {
    let mut password = String::new();
    if let Err(error) = std::io::stdin().read_line(&mut password) {
        return invalid_input(&format!(
            "the password cannot be read: {error}; give it as one line on standard input"
        ));
    }
    let password = password.trim_end_matches(['\r', '\n']);
    if password.is_empty() {
        return invalid_input(&"the password is empty; give it as one line on standard input");
    }
    let hash = |algorithm| ha1(algorithm, name, realm, password).as_hex().to_owned();
    let mut line = serde_json::json!({ "name": name, "sha256": hash(Algorithm::Sha256) });
    if md5 {
        line["md5"] = hash(Algorithm::Md5).into();
    }
    // JSON is valid YAML.
    println!("  - {line}");
    ExitCode::SUCCESS
}

fn print_json(value: &impl serde::Serialize) -> ExitCode {
    match serde_json::to_string_pretty(value) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => invalid_input(&error),
    }
}

/// Prints an error in the settings or the input, and returns its exit code.
fn invalid_input(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(2)
}
