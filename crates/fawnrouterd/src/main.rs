#![forbid(unsafe_code)]
//! `fawnrouter`: the gateway's command line.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    fawnrouterd::run_command(fawnrouterd::Cli::parse())
}
