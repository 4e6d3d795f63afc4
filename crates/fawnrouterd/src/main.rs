#![forbid(unsafe_code)]
//! `fawnrouter`: the gateway's command line.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    fawnrouterd::main_with(fawnrouterd::Cli::parse())
}
