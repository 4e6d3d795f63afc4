//! Measures the resources that a fleet needs, prints the tables, and writes the report and the page computed
//! from it.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use fawnrouter_capacity::figures::{Machine, Report, ReportError, Role, SCHEMA};
use fawnrouter_capacity::hollow::{self, CountingAllocator, HollowError, HollowOptions};
use fawnrouter_capacity::page::{self, PageError};
use fawnrouter_capacity::process::usage::parse_machine_memory_mib;
use fawnrouter_capacity::process::{self, ProcessError, ProcessOptions, check_program};
use indicatif::{ProgressBar, ProgressStyle};
use signal_hook::consts::{SIGINT, SIGTERM};

/// Paths of the report and the page, relative to the root of the repository.
const REPORT_FILE: &str = "docs/capacity.json";
const PAGE_FILE: &str = "docs/CAPACITY.md";
/// File in the folder of the page that holds all rows of its tables.
const ROWS_FILE: &str = "capacity-rows.md";
/// Name of the gateway's program, in the folder of this one.
const PROGRAM_NAME: &str = "fawnrouter";
const PROGRESS_TEMPLATE: &str = "[{elapsed_precise}] {spinner} {msg}";

/// Options: what is measured, and where the results are written.
#[derive(Clone, Debug, clap::Args)]
pub struct CapacityOptions {
    /// Use smaller sizes and shorter runs; takes less than a minute.
    #[arg(long)]
    quick: bool,
    /// Measure only the load of this role, for example gateway_calls.
    #[arg(long, value_parser = parse_role)]
    only: Option<Role>,
    /// File for the report. By default a whole measurement is written to docs/capacity.json, and one that is
    /// quick or leaves something out is not written.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Page whose tables are replaced, together with those of capacity-rows.md in the same folder. By default
    /// a whole measurement replaces those of docs/CAPACITY.md.
    #[arg(long)]
    page: Option<PathBuf>,
    /// Measure nothing and compute the tables from this report.
    #[arg(long, conflicts_with_all = ["quick", "only", "no_processes", "json"])]
    from: Option<PathBuf>,
    /// Measure hollow gateways only, and no gateway processes.
    #[arg(long)]
    no_processes: bool,
    /// The gateway's program; by default `fawnrouter` in the folder of this one.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Why no report could be made. Messages about files say what to do.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CapacityError {
    /// A file cannot be read.
    #[error("{}: cannot be read: {source}; start this from the root of the repository, or name the file", file.display())]
    ReadFile {
        /// Path of the file.
        file: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A file cannot be written.
    #[error("{}: cannot be written: {source}; start this from the root of the repository, or name the file", file.display())]
    WriteFile {
        /// Path of the file.
        file: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// Information about this machine cannot be read.
    #[error("information about this machine cannot be read: {0}")]
    Machine(io::Error),
    /// The measurement of hollow gateways failed.
    #[error(transparent)]
    Hollow(#[from] HollowError),
    /// The measurement of gateway processes failed.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// Processing the report failed.
    #[error(transparent)]
    Report(#[from] ReportError),
    /// Processing the page failed.
    #[error(transparent)]
    Page(#[from] PageError),
}

/// Parses a role as it is written in the report.
fn parse_role(text: &str) -> Result<Role, String> {
    serde_json::from_value(text.into()).map_err(|error| error.to_string())
}

impl CapacityOptions {
    /// Whether the whole report is measured, at all sizes.
    fn is_whole(&self) -> bool {
        !self.quick && !self.no_processes && self.only.is_none()
    }

    fn output_file(&self, given: Option<&PathBuf>, default: &str) -> Option<PathBuf> {
        given.cloned().or_else(|| self.is_whole().then(|| PathBuf::from(default)))
    }

    fn program_path(&self) -> Result<PathBuf, CapacityError> {
        match &self.program {
            Some(program) => Ok(program.clone()),
            None => Ok(std::env::current_exe().map_err(CapacityError::Machine)?.with_file_name(PROGRAM_NAME)),
        }
    }
}

/// Measures, prints all tables, and writes the requested files.
///
/// # Errors
/// If a file or program is missing (checked before anything is measured), or a measurement fails.
pub fn run_capacity(
    options: &CapacityOptions,
    allocator: Option<CountingAllocator>,
) -> Result<(), CapacityError> {
    let program = options.program_path()?;
    if options.from.is_none() && !options.no_processes {
        check_program(&program)?;
    }
    let report_file =
        options.output_file(options.json.as_ref(), REPORT_FILE).filter(|_| options.from.is_none());
    let page_file = options.output_file(options.page.as_ref(), PAGE_FILE);
    if let Some(file) = &page_file {
        // Reports a page that cannot take the tables before the measurement and not after it.
        write_tables(file, &Report::default(), |_, _| Ok(()))?;
    }
    let report = match &options.from {
        Some(file) => Report::from_json(&read_file(file)?)?,
        None => measure(options, &program, allocator)?,
    };
    print!("{}", page::render(&report)?);
    if let Some(file) = &report_file {
        write_file(file, &report.to_json()?)?;
    }
    if let Some(file) = &page_file {
        write_tables(file, &report, write_file)?;
    }
    Ok(())
}

/// Computes the page and the file with all rows, and writes both.
fn write_tables(
    page_file: &Path,
    report: &Report,
    write: impl Fn(&Path, &str) -> Result<(), CapacityError>,
) -> Result<(), CapacityError> {
    let rows_file = page_file.with_file_name(ROWS_FILE);
    let page = page::update_page(&read_file(page_file)?, report)?;
    let rows = page::update_rows_page(&read_file(&rows_file)?, report)?;
    write(page_file, &page)?;
    write(&rows_file, &rows)
}

fn measure(
    options: &CapacityOptions,
    program: &Path,
    allocator: Option<CountingAllocator>,
) -> Result<Report, CapacityError> {
    let bar = progress_bar();
    let mut progress = |part: &str| show_progress(&bar, part);
    let mut report = Report { schema: SCHEMA, machine: machine_info()?, runs: Vec::new() };
    report.runs = hollow::measure(HollowOptions {
        seed: options.seed,
        quick: options.quick,
        only_role: options.only,
        allocator,
        progress: &mut progress,
    })?;
    if !options.no_processes {
        let stop = stop_at_signals()?;
        report.runs.extend(process::measure(ProcessOptions {
            program,
            seed: options.seed,
            quick: options.quick,
            only: options.only,
            allocator,
            stop: &stop,
            progress: &mut progress,
        })?);
    }
    bar.finish_and_clear();
    Ok(report)
}

/// While gateway processes are running, a signal must not end this process at once: the gateway processes are
/// ended first.
fn stop_at_signals() -> Result<Arc<AtomicBool>, CapacityError> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, stop.clone()).map_err(CapacityError::Machine)?;
    }
    Ok(stop)
}

fn machine_info() -> Result<Machine, CapacityError> {
    let cores = std::thread::available_parallelism().map_err(CapacityError::Machine)?;
    let memory = read_file(Path::new("/proc/meminfo"))?;
    Ok(Machine {
        cores: u32::try_from(cores.get()).unwrap_or(u32::MAX),
        memory_mib: parse_machine_memory_mib(&memory).unwrap_or(0),
    })
}

/// The bar advances with the measured parts and has no thread of its own, which would be measured with them.
fn progress_bar() -> ProgressBar {
    let bar = ProgressBar::new_spinner();
    // Falls back to the default style if the template is invalid.
    match ProgressStyle::with_template(PROGRESS_TEMPLATE) {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}

fn show_progress(bar: &ProgressBar, part: &str) {
    if bar.is_hidden() {
        eprintln!("{part}");
        return;
    }
    bar.set_message(part.to_owned());
    bar.tick();
}

fn read_file(file: &Path) -> Result<String, CapacityError> {
    fs::read_to_string(file).map_err(|source| CapacityError::ReadFile { file: file.to_owned(), source })
}

fn write_file(file: &Path, text: &str) -> Result<(), CapacityError> {
    fs::write(file, text).map_err(|source| CapacityError::WriteFile { file: file.to_owned(), source })
}
