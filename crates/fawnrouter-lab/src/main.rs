#![forbid(unsafe_code)]
//! `fawnrouter-lab`: the demonstration, scripted runs with faults, load and memory measurements, the capacity
//! of a fleet, and the processes that these commands start.

mod capacity;

use std::alloc::System;
use std::path::PathBuf;
use std::process::ExitCode;

use async_signal::{Signal, Signals};
use clap::{Parser, Subcommand};
use fawnrouter_lab::{
    DayOptions, DemoOptions, Fault, FloodOptions, LoadOptions, Script, flood_main, gateway_main, relay_main,
    run_day, run_demo, run_load, run_memory,
};
use futures_lite::StreamExt;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts allocations and bytes for `capacity`. All commands of this program use it: what `load` and `memory`
/// measure includes a few nanoseconds per allocation, on both sides of each comparison.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Runs the gateway on loopback sockets between stand-ins and audits the five rules from the traffic.
#[derive(Debug, Parser)]
#[command(name = "fawnrouter-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// One gateway, three stand-in switches, calls over sockets, and a summary. Exits 0 if the audit is
    /// clean.
    Demo {
        /// Make no calls and run until SIGINT, for a client of your own.
        #[arg(long)]
        hold: bool,
        /// Time during which calls are made, in seconds.
        #[arg(long, default_value_t = 8)]
        seconds: u64,
        /// Seed of callers and gateway.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// A scripted run with faults. Exits 1 if a rule was broken.
    Day {
        /// The script (YAML).
        script: PathBuf,
        /// Seed of callers and gateways.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Use plain round robin in place of the router's decisions.
        #[arg(long)]
        baseline: bool,
        /// Print no progress line each second.
        #[arg(long)]
        quiet: bool,
        /// Run the script without its floods, for comparison.
        #[arg(long)]
        no_floods: bool,
        /// Run the script without admission control, for comparison.
        #[arg(long)]
        no_admission: bool,
    },
    /// Processor time per call and added delay of one gateway compared with a null relay, in one run.
    Load {
        /// Calls per second.
        #[arg(long, default_value_t = 1000)]
        rate: u32,
        /// Duration in seconds.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Number of callers' connections.
        #[arg(long, default_value_t = 16)]
        connections: usize,
        /// Time until the far end answers, in milliseconds.
        #[arg(long, default_value_t = 20)]
        answer_ms: u64,
    },
    /// Resident memory of a gateway with idle connections and established calls.
    Memory {
        /// Number of idle connections.
        #[arg(long, default_value_t = 1000)]
        connections: usize,
        /// Number of established calls.
        #[arg(long, default_value_t = 10_000)]
        calls: u64,
    },
    /// Resources that a fleet of gateways needs, by role and situation: measured with hollow gateways and
    /// with gateway processes on loopback, with the slopes of both and the values at the design size. Prints
    /// all tables; a whole measurement also writes docs/capacity.json and the tables of docs/CAPACITY.md.
    Capacity(capacity::CapacityOptions),
    /// The process of a connection flood.
    #[command(hide = true)]
    Flood(FloodOptions),
    /// The process of the null relay.
    #[command(hide = true)]
    Relay {
        #[arg(long)]
        far: std::net::SocketAddr,
    },
    /// A gateway process, as the other commands start it.
    #[command(hide = true)]
    Gateway {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        baseline: bool,
    },
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Gateway { config, baseline } => gateway_main(&config, baseline),
        Command::Flood(options) => flood_main(options),
        Command::Relay { far } => relay_main(far),
        Command::Load { rate, seconds, connections, answer_ms } => {
            match run_load(LoadOptions { rate, seconds, connections, answer_ms }) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => failed(&error),
            }
        }
        Command::Memory { connections, calls } => match run_memory(connections, calls) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => failed(&error),
        },
        Command::Capacity(options) => match capacity::run_capacity(&options, Some(ALLOCATOR)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => failed(&error),
        },
        Command::Demo { hold, seconds, seed } => {
            let mut signals = match Signals::new([Signal::Int, Signal::Term]) {
                Ok(signals) => signals,
                Err(error) => return failed(&error),
            };
            let stop = async move {
                signals.next().await;
            };
            match run_demo(DemoOptions { hold, seconds, seed }, stop) {
                Ok(None) => ExitCode::SUCCESS,
                Ok(Some(report)) => {
                    print!("{report}");
                    if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
                }
                Err(error) => failed(&error),
            }
        }
        Command::Day { script, seed, baseline, quiet, no_floods, no_admission } => {
            let name = script.display().to_string();
            let text = match std::fs::read_to_string(&script) {
                Ok(text) => text,
                Err(error) => return failed(&format!("{name}: cannot be read: {error}")),
            };
            let mut script = match Script::parse(&name, &text) {
                Ok(script) => script,
                Err(error) => {
                    eprintln!("{error}");
                    return ExitCode::from(2);
                }
            };
            if no_floods {
                script.troubles.retain(|t| !matches!(t, Fault::Flood { .. }));
            }
            if no_admission {
                script.admission = None;
            }
            match run_day(script, DayOptions { seed, baseline, progress: !quiet, announce: false }) {
                Ok(report) => {
                    print!("{report}");
                    if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
                }
                Err(error) => failed(&error),
            }
        }
    }
}

fn failed(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}
