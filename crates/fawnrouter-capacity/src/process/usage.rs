//! Processor time, memory and descriptors of a process, read from `/proc` (proc(5)).

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Clock ticks a second of the processor times in `stat` (`USER_HZ`, the same on all Linux platforms).
const STAT_TICKS_PER_SECOND: u64 = 100;
/// Fields of `stat` between the end of the program's name and `utime`.
const STAT_FIELDS_BEFORE_USER_TIME: usize = 11;
const BYTES_PER_KIBIBYTE: u64 = 1024;

/// Why the usage of a process cannot be determined.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum UsageError {
    /// A file cannot be read.
    #[error(
        "{}: cannot be read: {source}; the process may have ended, or /proc is not mounted",
        file.display()
    )]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file does not have the format of the manual page.
    #[error(
        "{}: does not have the format that proc(5) describes; processes can be measured on Linux only",
        file.display()
    )]
    Malformed {
        /// The file.
        file: PathBuf,
    },
}

/// What a process uses at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time of all its threads since its start.
    pub processor_time: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl ProcessUsage {
    /// Reads the current usage of a process.
    ///
    /// # Errors
    /// Where a file of `/proc` cannot be read or does not have the expected format.
    pub fn of_process(process_id: u32) -> Result<Self, UsageError> {
        let directory = PathBuf::from(format!("/proc/{process_id}"));
        let status = directory.join("status");
        let resident_bytes =
            parse_resident_bytes(&read_file(&status)?).ok_or(UsageError::Malformed { file: status })?;
        Ok(Self {
            processor_time: processor_time(&directory)?,
            resident_bytes,
            descriptors: directory_entries(&directory.join("fd"))?.len() as u64,
        })
    }
}

/// The processor time of all threads, at a resolution of nanoseconds, or of clock ticks where the kernel
/// provides no `schedstat`.
fn processor_time(directory: &Path) -> Result<Duration, UsageError> {
    let mut sum = Duration::ZERO;
    for thread in directory_entries(&directory.join("task"))? {
        let file = thread.join("schedstat");
        match std::fs::read_to_string(&file) {
            Ok(text) => sum += parse_schedstat_time(&text).ok_or(UsageError::Malformed { file })?,
            // The thread has ended since the directory was read, or the kernel provides no such file.
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(source) => return Err(UsageError::Unreadable { file, source }),
        }
    }
    if !sum.is_zero() {
        return Ok(sum);
    }
    let file = directory.join("stat");
    parse_stat_time(&read_file(&file)?).ok_or(UsageError::Malformed { file })
}

fn read_file(file: &Path) -> Result<String, UsageError> {
    std::fs::read_to_string(file).map_err(|source| UsageError::Unreadable { file: file.to_owned(), source })
}

fn directory_entries(directory: &Path) -> Result<Vec<PathBuf>, UsageError> {
    let unreadable = |source| UsageError::Unreadable { file: directory.to_owned(), source };
    let entries = std::fs::read_dir(directory).map_err(unreadable)?;
    entries.map(|entry| entry.map(|entry| entry.path()).map_err(unreadable)).collect()
}

/// Reads the time that a thread ran from its `schedstat`: the first of three figures, in nanoseconds.
#[must_use]
pub fn parse_schedstat_time(text: &str) -> Option<Duration> {
    let mut fields = text.split_whitespace();
    let nanoseconds = fields.next()?.parse().ok()?;
    (fields.count() == 2).then(|| Duration::from_nanos(nanoseconds))
}

/// Reads the time that a process ran in user and kernel mode from its `stat`. The program's name, in
/// parentheses, may itself contain blanks and parentheses, so that fields are counted from the last closing
/// parenthesis.
#[must_use]
pub fn parse_stat_time(text: &str) -> Option<Duration> {
    let (_, after_name) = text.rsplit_once(')')?;
    let mut fields = after_name.split_whitespace().skip(STAT_FIELDS_BEFORE_USER_TIME);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    let milliseconds = user.checked_add(system)?.checked_mul(1000 / STAT_TICKS_PER_SECOND)?;
    Some(Duration::from_millis(milliseconds))
}

/// Reads the resident memory of a process in bytes from its `status`.
#[must_use]
pub fn parse_resident_bytes(text: &str) -> Option<u64> {
    let value = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let mut words = value.split_whitespace();
    let kibibytes: u64 = words.next()?.parse().ok()?;
    (words.next() == Some("kB")).then_some(())?;
    kibibytes.checked_mul(BYTES_PER_KIBIBYTE)
}

/// Reads the memory of the machine in MiB from `/proc/meminfo`.
#[must_use]
pub fn parse_machine_memory_mib(text: &str) -> Option<u64> {
    let value = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kibibytes: u64 = value.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes / BYTES_PER_KIBIBYTE)
}
