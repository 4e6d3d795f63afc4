//! The account of traffic across zones, kept across restarts in one file, which has a checksum and is
//! replaced atomically.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use fawnrouter_engine::Input;
use fawnrouter_engine::zones::{SavedAccount, SpillMinute};
use serde::{Deserialize, Serialize};

use crate::core::Core;

/// Interval between two saves. A gateway that is killed loses the spending of this time.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);

/// Content of the account file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// The gateway's own zone.
    pub own: String,
    /// Names of the classes, by class number.
    pub classes: Vec<String>,
    /// What is spent of each budget.
    pub account: SavedAccount,
    /// Calls to other zones, minute by minute.
    pub minutes: Vec<SpillMinute>,
}

/// Why an account file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The checksum is wrong, or the content is not an account.
    #[error("it is damaged: {0}")]
    Damaged(String),
}

/// Reads and verifies an account file.
///
/// # Errors
/// See [`LedgerError`].
pub fn read(file: &Path) -> Result<Ledger, LedgerError> {
    let text = fs::read_to_string(file)?;
    let (checksum, body) =
        text.split_once('\n').ok_or_else(|| LedgerError::Damaged("the checksum line is missing".into()))?;
    let expected = u32::from_str_radix(checksum.trim(), 16).ok();
    if expected != Some(crc32fast::hash(body.as_bytes())) {
        return Err(LedgerError::Damaged("the checksum does not match".into()));
    }
    serde_json::from_str(body).map_err(|error| LedgerError::Damaged(error.to_string()))
}

/// Replaces an account file atomically: writes a temporary file, syncs it to disk, and renames it.
fn write(file: &Path, ledger: &Ledger) -> io::Result<()> {
    let body = serde_json::to_string(ledger).map_err(io::Error::other)?;
    let temporary = file.with_extension("new");
    let mut out = fs::File::create(&temporary)?;
    write!(out, "{:08x}\n{body}", crc32fast::hash(body.as_bytes()))?;
    out.sync_all()?;
    fs::rename(temporary, file)
}

/// Restores the account from before a restart. If the file does not exist, this is the first start and
/// nothing is spent. If it is damaged, this gateway's share of the present window counts as spent.
pub async fn restore(core: &Rc<Core>, file: &Path) {
    let path = file.to_owned();
    match blocking::unblock(move || read(&path)).await {
        Ok(ledger) => {
            let minutes = ledger.minutes;
            core.input(Input::ZoneAccount(Some(Box::new(ledger.account))));
            core.with_engine(|engine| engine.zones().map(|z| z.with(|z| z.restore_record(minutes))));
        }
        Err(LedgerError::Io(error)) if error.kind() == io::ErrorKind::NotFound => {
            tracing::info!("{}: no account of zones yet; nothing is spent", file.display());
        }
        Err(error) => {
            let name = file.display();
            tracing::warn!("{name}: {error}; the budgets across zones count as spent in this window");
            core.input(Input::ZoneAccount(None));
        }
    }
}

fn current_ledger(core: &Core) -> Option<Ledger> {
    let classes = core.settings.classes.iter().map(|c| c.name.clone()).collect();
    let own = core.settings.zones.as_ref()?.own.clone();
    core.with_engine(|engine| {
        engine.zones().map(|zones| {
            zones.with(|z| Ledger {
                own,
                classes,
                account: z.account().save(),
                minutes: z.record().minutes().cloned().collect(),
            })
        })
    })
}

/// Saves the account now.
pub async fn save(core: &Rc<Core>, file: PathBuf) {
    let Some(ledger) = current_ledger(core) else { return };
    let name = file.display().to_string();
    if let Err(error) = blocking::unblock(move || write(&file, &ledger)).await {
        tracing::warn!("{name}: the account of zones cannot be saved: {error}; calls go on");
    }
}

/// Saves the account whenever it has changed, until the task is dropped.
pub async fn save_periodically(core: Rc<Core>, file: PathBuf) {
    let mut saved = None;
    loop {
        Timer::after(SAVE_INTERVAL).await;
        let now = core.with_engine(|e| e.zones().map(|z| z.with(|z| z.account().save().states)));
        if now != saved {
            save(&core, file.clone()).await;
            saved = now;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ledger_survives_a_round_trip_and_damage_is_detected() {
        let folder = std::env::temp_dir().join(format!("fawnrouter-ledger-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let file = folder.join("account");
        assert!(matches!(read(&file), Err(LedgerError::Io(e)) if e.kind() == io::ErrorKind::NotFound));
        let ledger = Ledger { own: "kochi".into(), classes: vec!["check".into()], ..Ledger::default() };
        write(&file, &ledger).expect("written");
        assert_eq!(read(&file).expect("valid"), ledger);
        let text = fs::read_to_string(&file).expect("text");
        for damaged in [text.replacen("kochi", "kocha", 1), text[..text.len() - 3].to_owned(), String::new()]
        {
            fs::write(&file, damaged).expect("written");
            assert!(matches!(read(&file), Err(LedgerError::Damaged(_))));
        }
        fs::remove_dir_all(folder).expect("removed");
    }
}
