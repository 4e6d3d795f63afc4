//! Watches the files that list the core switches and the known clients.
//! Another source of these lists would feed the same inputs of the engine.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use async_io::Timer;
use fawnrouter_config::{ClientEntry, ConfigError, read_clients, read_switches};
use fawnrouter_engine::Input;
use fawnrouter_engine::fawnrouter::ListKind;

use crate::core::Core;

/// Modification time and length of a file. Files are replaced by renaming, so these tell versions apart,
/// except for two writes of the same length within one tick of the file system's clock; the content is
/// compared too.
type FileStamp = (SystemTime, u64);

/// Reads a file unless its stamp is the known one. Returns the new stamp with the content or an error text.
fn read_if_changed(
    path: &Path,
    known: Option<FileStamp>,
) -> Option<(Option<FileStamp>, Result<String, String>)> {
    let stamp = std::fs::metadata(path).and_then(|m| Ok((m.modified()?, m.len())));
    let stamp = match stamp {
        Ok(stamp) => stamp,
        Err(e) => return Some((None, Err(format!("cannot be read: {e}")))),
    };
    let age = SystemTime::now().duration_since(stamp.0).unwrap_or_default();
    // A file modified in the last two seconds may have changed again within the same tick of its time stamp.
    if known == Some(stamp) && age > Duration::from_secs(2) {
        return None;
    }
    Some((Some(stamp), std::fs::read_to_string(path).map_err(|e| format!("cannot be read: {e}"))))
}

/// Polls a file until the task is dropped, and passes each new list to `apply`. A missing or invalid file is
/// logged once and changes nothing.
async fn watch<T>(
    core: Rc<Core>,
    what: &'static str,
    path: PathBuf,
    read: fn(&str, &str) -> Result<Vec<T>, ConfigError>,
    apply: impl Fn(&Rc<Core>, Vec<T>),
) {
    let pause = Duration::from_millis(core.settings.switches.poll_ms);
    let name = path.display().to_string();
    let (mut known, mut last): (Option<FileStamp>, Option<Result<String, String>>) = (None, None);
    loop {
        // Reading may block on a slow disk, which must not delay calls.
        let changed = {
            let path = path.clone();
            blocking::unblock(move || read_if_changed(&path, known)).await
        };
        if let Some((stamp, text)) = changed {
            known = stamp;
            if last.as_ref() != Some(&text) {
                let list = text.as_ref().map_err(Clone::clone);
                match list.and_then(|t| read(&name, t).map_err(|e| e.to_string())) {
                    Ok(list) => {
                        tracing::info!(entries = list.len(), "{what} read");
                        apply(&core, list);
                    }
                    Err(error) => tracing::warn!("{what} kept as it was: {name}: {error}"),
                }
                last = Some(text);
            }
        }
        Timer::after(pause).await;
    }
}

/// Watches the list of switches.
pub async fn watch_switches(core: Rc<Core>, path: PathBuf) {
    let apply = |core: &Rc<Core>, switches| core.input(Input::List { kind: ListKind::Snapshot, switches });
    watch(core, "list of switches", path, read_switches, apply).await;
}

/// Watches the list of known clients, with their limits.
pub async fn watch_clients(core: Rc<Core>, path: PathBuf) {
    let apply = |core: &Rc<Core>, clients: Vec<ClientEntry>| {
        if let Some(admission) = &mut core.connection_admission.borrow_mut().admission {
            admission.set_client_limits(core.settings.client_connection_limits(&clients));
        }
        core.input(Input::KnownClients(core.settings.known_clients(&clients)));
    };
    watch(core, "list of known clients", path, read_clients, apply).await;
}
