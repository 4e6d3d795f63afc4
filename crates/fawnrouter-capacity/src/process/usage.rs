//! What a process uses of the machine, from the texts of `/proc` (proc(5)).

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Ticks a second of the processor times in `stat` (`USER_HZ`, the same on all Linux platforms).
const STAT_TICKS_PER_SECOND: u64 = 100;
/// Fields of `stat` between the end of the program's name and `utime`.
const STAT_FIELDS_BEFORE_USER_TIME: usize = 11;
const BYTES_PER_KIBIBYTE: u64 = 1024;

/// Why it is not known what a process uses.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum UsageError {
    /// A file cannot be read.
    #[error("{}: cannot be read: {source}; the process may have ended, or /proc is not mounted", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file has another form than the manual page says.
    #[error("{}: is not of the form that proc(5) describes; the processes can be measured on Linux only", file.display())]
    Malformed {
        /// The file.
        file: PathBuf,
    },
}

/// What a process uses of the machine.
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
    /// What this process uses now.
    ///
    /// # Errors
    /// Where `/proc` does not tell.
    pub fn of_process(process_id: u32) -> Result<Self, UsageError> {
        let folder = PathBuf::from(format!("/proc/{process_id}"));
        let status = folder.join("status");
        let resident_bytes =
            parse_resident_bytes(&read(&status)?).ok_or(UsageError::Malformed { file: status })?;
        Ok(Self {
            processor_time: processor_time(&folder)?,
            resident_bytes,
            descriptors: list(&folder.join("fd"))?.len() as u64,
        })
    }
}

/// The time of all threads to the nanosecond, or to the tick where the kernel keeps no `schedstat`.
fn processor_time(folder: &Path) -> Result<Duration, UsageError> {
    let mut sum = Duration::ZERO;
    for thread in list(&folder.join("task"))? {
        let file = thread.join("schedstat");
        match std::fs::read_to_string(&file) {
            Ok(text) => sum += parse_schedstat_time(&text).ok_or(UsageError::Malformed { file })?,
            // The thread has ended since the list was read, or the kernel keeps no such file.
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(source) => return Err(UsageError::Unreadable { file, source }),
        }
    }
    if !sum.is_zero() {
        return Ok(sum);
    }
    let file = folder.join("stat");
    parse_stat_time(&read(&file)?).ok_or(UsageError::Malformed { file })
}

fn read(file: &Path) -> Result<String, UsageError> {
    std::fs::read_to_string(file).map_err(|source| UsageError::Unreadable { file: file.to_owned(), source })
}

fn list(folder: &Path) -> Result<Vec<PathBuf>, UsageError> {
    let unread = |source| UsageError::Unreadable { file: folder.to_owned(), source };
    let entries = std::fs::read_dir(folder).map_err(unread)?;
    entries.map(|entry| entry.map(|entry| entry.path()).map_err(unread)).collect()
}

/// The time that a thread ran, from its `schedstat`: the first of three figures, in nanoseconds.
#[must_use]
pub fn parse_schedstat_time(text: &str) -> Option<Duration> {
    let mut fields = text.split_whitespace();
    let nanoseconds = fields.next()?.parse().ok()?;
    (fields.count() == 2).then(|| Duration::from_nanos(nanoseconds))
}

/// The time that a process ran in user and kernel mode, from its `stat`. The program's name, in parentheses, may hold
/// blanks and parentheses.
#[must_use]
pub fn parse_stat_time(text: &str) -> Option<Duration> {
    let (_, after_name) = text.rsplit_once(')')?;
    let mut fields = after_name.split_whitespace().skip(STAT_FIELDS_BEFORE_USER_TIME);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    let milliseconds = user.checked_add(system)?.checked_mul(1000 / STAT_TICKS_PER_SECOND)?;
    Some(Duration::from_millis(milliseconds))
}

/// The resident memory of a process in bytes, from its `status`.
#[must_use]
pub fn parse_resident_bytes(text: &str) -> Option<u64> {
    let value = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let mut words = value.split_whitespace();
    let kibibytes: u64 = words.next()?.parse().ok()?;
    (words.next() == Some("kB")).then_some(())?;
    kibibytes.checked_mul(BYTES_PER_KIBIBYTE)
}

/// The memory of the machine in MiB, from `/proc/meminfo`.
#[must_use]
pub fn parse_machine_memory_mib(text: &str) -> Option<u64> {
    let value = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kibibytes: u64 = value.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes / BYTES_PER_KIBIBYTE)
}
