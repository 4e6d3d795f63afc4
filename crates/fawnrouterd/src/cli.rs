//! The command line.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use fawnrouter_config::{ConfigError, Settings};
use fawnrouter_engine::digest::{Algorithm, ha1};

use crate::control::{self, Reply};
use crate::{report, serve};

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
    /// Run the gateway of the users' platform: JSON lines to callers and core switches, the list by DNS, settings from
    /// the platform's JSON. SIGTERM ends it once all that it took is answered; SIGHUP has the configuration read anew.
    /// BALANCER_NAME and BALANCER_LISTEN, where set, must agree with the configuration.
    Node {
        /// The platform's configuration, JSON.
        #[arg(long, env = "BALANCER_CONFIG")]
        config: Option<PathBuf>,
    },
    /// Read the settings and the list of switches, and say what is wrong with them.
    Check {
        /// The settings, YAML.
        #[arg(long)]
        config: PathBuf,
    },
    /// Print the JSON schema of the settings.
    Schema,
    /// Ask a running gateway who holds what, who is refused or what crosses zones; block or free an address.
    #[command(name = "admission", alias = "ask")]
    Admission {
        /// The running gateway's settings, YAML; `control.socket` in them says where it listens.
        #[arg(long)]
        config: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
        /// What to ask; `show` if nothing is given.
        #[command(subcommand)]
        ask: Option<AdmissionCommand>,
    },
    /// Report on what a gateway did.
    Report {
        /// What on.
        #[command(subcommand)]
        on: ReportCommand,
    },
    /// Read a password, one line on standard input, and print a known client's line for the file of clients.
    Secret {
        /// The client's name.
        name: String,
        /// The realm, as in `clients.realm`.
        #[arg(long)]
        realm: String,
        /// Add the hash by MD5 too.
        #[arg(long)]
        md5: bool,
    },
}

/// Reports.
#[derive(Clone, Debug, Subcommand)]
pub enum ReportCommand {
    /// Calls that went to other zones, by class, zones and cause, from the account that the settings name.
    Spill {
        /// The gateway's settings, YAML.
        #[arg(long)]
        config: PathBuf,
        /// In what form.
        #[arg(long, value_enum, default_value_t = ReportFormat::Table)]
        form: ReportFormat,
        /// The table's last minutes.
        #[arg(long, default_value_t = 1440)]
        minutes: u64,
    },
}

/// The form of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ReportFormat {
    /// For people.
    Table,
    /// For programs: a record a minute, class, zone and cause.
    Csv,
    /// Drawn, calls a minute.
    Svg,
}

/// What a running gateway is asked.
#[derive(Clone, Debug, Subcommand)]
pub enum AdmissionCommand {
    /// Who holds what, who is refused and why.
    Show,
    /// How the own zone fares, and what is left of the budgets across zones.
    Zones,
    /// Take no connection of an address for a time.
    Block {
        /// The address.
        address: std::net::IpAddr,
        /// For how long, seconds.
        #[arg(long = "for", default_value_t = 600, value_parser = clap::value_parser!(u64).range(1..=31_536_000))]
        for_s: u64,
    },
    /// Unblock an address, and forgive what it owes for its rate.
    Free {
        /// The address.
        address: std::net::IpAddr,
    },
}

/// Does what was asked for. Exit codes: 0 done, 1 it failed or was cut short, 2 the settings are wrong.
#[must_use]
pub fn run_command(cli: Cli) -> ExitCode {
    match cli.command {
        Command::Run { config } => match fawnrouter_config::load(&config) {
            Err(error) => invalid_input(&error),
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
                let Some(wanted) = settings.control else {
                    return invalid_input(&format!(
                        "{}: control: is missing; add `control: {{ socket: PATH }}` and start the gateway with it",
                        config.display()
                    ));
                };
                run_admission_command(
                    &folder_of(&config).join(wanted.socket),
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

fn folder_of(config: &Path) -> PathBuf {
    config.parent().map(PathBuf::from).unwrap_or_default()
}

/// Reads a list that the settings name; the number of its entries.
fn count_entries<T>(
    file: &Path,
    without: &str,
    read: fn(&str, &str) -> Result<Vec<T>, ConfigError>,
) -> Result<usize, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| format!("{name}: cannot be read: {error}; {without}"))?;
    read(&name, &text).map(|list| list.len()).map_err(|error| error.to_string())
}

fn check(config: &Path, settings: &Settings) -> ExitCode {
    let folder = folder_of(config);
    let switches = &settings.switches.file;
    let without = "the gateway would start without switches";
    let switches = match count_entries(&folder.join(switches), without, fawnrouter_config::read_switches) {
        Ok(count) => count,
        Err(error) => return invalid_input(&error),
    };
    let mut known = String::new();
    if let Some(clients) = &settings.clients {
        let without = "the gateway would start without known clients";
        match count_entries(&folder.join(&clients.file), without, fawnrouter_config::read_clients) {
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
            eprintln!("{}: no gateway answers: {error}; is it running with this setting?", socket.display());
            ExitCode::FAILURE
        }
        Ok(Reply::Failed(why)) => {
            eprintln!("{why}");
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
    let hash = |algorithm| ha1(algorithm, name, realm, password).digits().to_owned();
    let mut line = serde_json::json!({ "name": name, "sha256": hash(Algorithm::Sha256) });
    if md5 {
        line["md5"] = hash(Algorithm::Md5).into();
    }
    // JSON is YAML.
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

fn invalid_input(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(2)
}
