//! Measures what a fleet costs, prints the tables, and writes the report with the page that is computed from it.

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

/// Where report and page are kept, from the root of the repository.
const REPORT_FILE: &str = "docs/capacity.json";
const PAGE_FILE: &str = "docs/CAPACITY.md";
/// Beside the page: all of its rows.
const ROWS_FILE: &str = "capacity-rows.md";
/// The gateway's program, beside this one.
const PROGRAM_NAME: &str = "fawnrouter";
const PROGRESS_TEMPLATE: &str = "[{elapsed_precise}] {spinner} {msg}";

/// What is measured, and where it goes.
#[derive(Clone, Debug, clap::Args)]
pub struct CapacityOptions {
    /// Smaller sizes and shorter plays: under a minute.
    #[arg(long)]
    quick: bool,
    /// Only what this role bears, as gateway_calls.
    #[arg(long, value_parser = role)]
    only: Option<Role>,
    /// Where the report is written. A whole measurement goes to docs/capacity.json if nothing is given, one that is quick
    /// or leaves something out goes nowhere.
    #[arg(long)]
    json: Option<PathBuf>,
    /// The page whose tables are replaced, and those of capacity-rows.md beside it; likewise docs/CAPACITY.md.
    #[arg(long)]
    page: Option<PathBuf>,
    /// Measure nothing: compute the tables from this report.
    #[arg(long, conflicts_with_all = ["quick", "only", "no_processes", "json"])]
    from: Option<PathBuf>,
    /// Hollow gateways only.
    #[arg(long)]
    no_processes: bool,
    /// The gateway's program; if nothing is given, `fawnrouter` beside this one.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Seed of everything that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Why there is no report. Each text says what to do.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CapacityError {
    /// A file cannot be read.
    #[error("{}: cannot be read: {source}; start this from the root of the repository, or name the file", file.display())]
    Unread {
        /// The file.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file cannot be written.
    #[error("{}: cannot be written: {source}; start this from the root of the repository, or name the file", file.display())]
    Unwritten {
        /// The file.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The machine cannot be asked.
    #[error("this machine cannot be asked: {0}")]
    Machine(io::Error),
    /// The hollow rig.
    #[error(transparent)]
    Hollow(#[from] HollowError),
    /// The process rig.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The report.
    #[error(transparent)]
    Report(#[from] ReportError),
    /// The page.
    #[error(transparent)]
    Page(#[from] PageError),
}

/// Reads a role as the report has it.
fn role(text: &str) -> Result<Role, String> {
    serde_json::from_value(text.into()).map_err(|error| error.to_string())
}

impl CapacityOptions {
    /// Whether all of the report is measured, at all sizes.
    fn is_whole(&self) -> bool {
        !self.quick && !self.no_processes && self.only.is_none()
    }

    fn file(&self, named: Option<&PathBuf>, usual: &str) -> Option<PathBuf> {
        named.cloned().or_else(|| self.is_whole().then(|| PathBuf::from(usual)))
    }

    fn program(&self) -> Result<PathBuf, CapacityError> {
        match &self.program {
            Some(program) => Ok(program.clone()),
            None => Ok(std::env::current_exe().map_err(CapacityError::Machine)?.with_file_name(PROGRAM_NAME)),
        }
    }
}

/// Measures, prints all tables, and writes what was asked for.
///
/// # Errors
/// Where a file or program is missing (before anything is measured), or a measurement fails.
pub fn run_capacity(
    options: &CapacityOptions,
    allocator: Option<CountingAllocator>,
) -> Result<(), CapacityError> {
    let program = options.program()?;
    if options.from.is_none() && !options.no_processes {
        check_program(&program)?;
    }
    let report_file = options.file(options.json.as_ref(), REPORT_FILE).filter(|_| options.from.is_none());
    let page_file = options.file(options.page.as_ref(), PAGE_FILE);
    if let Some(file) = &page_file {
        // One that cannot take the tables is told now and not at the end.
        write_tables(file, &Report::default(), |_, _| Ok(()))?;
    }
    let report = match &options.from {
        Some(file) => Report::from_json(&read(file)?)?,
        None => measure(options, &program, allocator)?,
    };
    print!("{}", page::render(&report)?);
    if let Some(file) = &report_file {
        write(file, &report.to_json()?)?;
    }
    if let Some(file) = &page_file {
        write_tables(file, &report, write)?;
    }
    Ok(())
}

/// Computes the page and the one with all rows beside it, and has both written.
fn write_tables(
    page_file: &Path,
    report: &Report,
    write: impl Fn(&Path, &str) -> Result<(), CapacityError>,
) -> Result<(), CapacityError> {
    let rows_file = page_file.with_file_name(ROWS_FILE);
    let page = page::update_page(&read(page_file)?, report)?;
    let rows = page::update_rows_page(&read(&rows_file)?, report)?;
    write(page_file, &page)?;
    write(&rows_file, &rows)
}

fn measure(
    options: &CapacityOptions,
    program: &Path,
    allocator: Option<CountingAllocator>,
) -> Result<Report, CapacityError> {
    let bar = progress_bar();
    let mut progress = |part: &str| show(&bar, part);
    let mut report = Report { schema: SCHEMA, machine: machine()?, runs: Vec::new() };
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

/// Gateway processes are running from now on: a signal no longer ends this process at once, but them first.
fn stop_at_signals() -> Result<Arc<AtomicBool>, CapacityError> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, stop.clone()).map_err(CapacityError::Machine)?;
    }
    Ok(stop)
}

fn machine() -> Result<Machine, CapacityError> {
    let cores = std::thread::available_parallelism().map_err(CapacityError::Machine)?;
    let memory = read(Path::new("/proc/meminfo"))?;
    Ok(Machine {
        cores: u32::try_from(cores.get()).unwrap_or(u32::MAX),
        memory_mib: parse_machine_memory_mib(&memory).unwrap_or(0),
    })
}

/// It moves with the parts that are measured and not by itself: a thread that draws would be measured with them.
fn progress_bar() -> ProgressBar {
    let bar = ProgressBar::new_spinner();
    // A template that does not read leaves the usual one.
    match ProgressStyle::with_template(PROGRESS_TEMPLATE) {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}

fn show(bar: &ProgressBar, part: &str) {
    if bar.is_hidden() {
        eprintln!("{part}");
        return;
    }
    bar.set_message(part.to_owned());
    bar.tick();
}

fn read(file: &Path) -> Result<String, CapacityError> {
    fs::read_to_string(file).map_err(|source| CapacityError::Unread { file: file.to_owned(), source })
}

fn write(file: &Path, text: &str) -> Result<(), CapacityError> {
    fs::write(file, text).map_err(|source| CapacityError::Unwritten { file: file.to_owned(), source })
}
