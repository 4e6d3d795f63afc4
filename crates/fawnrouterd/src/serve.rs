//! The gateway from start to end.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use fawnrouter_admission::Admission;
use fawnrouter_config::Settings;
use fawnrouter_engine::fawnrouter::SettingsError;
use fawnrouter_engine::{Engine, EngineSettings, Input};
use fawnrouter_ws::CloseCode;
use futures_lite::{StreamExt, future};

use crate::core::Core;
use crate::{client, list};

/// Why the gateway cannot run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {error}; free the port or change listen.address")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// Signals cannot be caught.
    #[error("cannot catch signals: {0}")]
    Signals(io::Error),
    /// The admission of connections refuses the settings.
    #[error("admission: {0}")]
    Admission(#[from] fawnrouter_admission::SettingsError),
    /// The decisions refuse the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Pause after a failed accept, as when the process has no descriptor left: the next one comes when one is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Last bytes get this long to be written at the end.
const LAST_WORDS: Duration = Duration::from_millis(500);
/// Between two lines of counts in the log.
const COUNTS: Duration = Duration::from_secs(60);
/// Handshakes that may be under way beside the connections that are open, as a share of those (and 16).
const HANDSHAKES_SHARE: usize = 4;

/// Runs a gateway until a signal; `folder` is where relative paths count from, `ready` is told where clients connect.
/// `true` if it drained, `false` if it was cut short.
///
/// # Errors
/// Where it cannot start.
pub fn run(
    settings: Settings,
    folder: PathBuf,
    ready: impl FnOnce(SocketAddr, &str),
) -> Result<bool, RunError> {
    run_with(settings, folder, ready, Engine::new)
}

/// As [`run`], with an engine of the caller's making.
///
/// # Errors
/// As [`run`].
pub fn run_with(
    settings: Settings,
    folder: PathBuf,
    ready: impl FnOnce(SocketAddr, &str),
    engine: impl FnOnce(EngineSettings) -> Result<Engine, SettingsError>,
) -> Result<bool, RunError> {
    let address = settings.listen.address;
    let listen = |error| RunError::Listen { address, error };
    let listener = Async::<TcpListener>::bind(address).map_err(listen)?;
    let bound = listener.get_ref().local_addr().map_err(listen)?;
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(RunError::Signals)?;
    let words = settings.log.level >= fawnrouter_config::LogLevel::Debug;
    let engine = engine(settings.engine(fresh_seed(), words))?;
    let admission = settings.admission(fresh_seed()).map(Admission::new).transpose()?;
    let file = folder.join(&settings.switches.file);
    let path = settings.listen.path.clone();
    let executor = Rc::new(LocalExecutor::new());
    let core = Core::new(settings, engine, admission, &executor);
    let all = async {
        let tasks = [
            executor.spawn(list::watch(core.clone(), file)),
            executor.spawn(wake(core.clone())),
            executor.spawn(counts(core.clone())),
        ];
        let accepting = executor.spawn(accept(core.clone(), listener));
        tracing::info!(%bound, "gateway ready");
        ready(bound, &path);
        signals.next().await;
        tracing::info!("draining: no new calls, standing ones may finish");
        drop(accepting);
        core.input(Input::Drain);
        let time = Duration::from_millis(core.settings.drain.time_ms);
        let clean = future::or(
            async {
                core.drained().await;
                true
            },
            async {
                let cut = future::or(
                    async {
                        Timer::after(time).await;
                        "time for the drain is over"
                    },
                    async {
                        signals.next().await;
                        "second signal"
                    },
                );
                let why = cut.await;
                tracing::warn!(left = core.live_calls(), "{why}: calls that are left are ended");
                core.input(Input::Stop);
                why != "second signal"
            },
        );
        let clean = clean.await;
        core.finish_clients(CloseCode::AWAY, "gateway ends");
        let flushed = async {
            while core.backlog() > 0 {
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        future::or(flushed, async {
            Timer::after(LAST_WORDS).await;
        })
        .await;
        core.log_counts();
        drop(tasks);
        clean
    };
    Ok(async_io::block_on(executor.run(all)))
}

async fn wake(core: Rc<Core>) {
    core.wake_engine().await;
}

async fn counts(core: Rc<Core>) {
    loop {
        Timer::after(COUNTS).await;
        core.log_counts();
    }
}

async fn accept(core: Rc<Core>, listener: Async<TcpListener>) {
    let terms = Rc::new(client::terms(&core));
    let under_way = Rc::new(std::cell::Cell::new(0usize));
    let most = core.settings.limits.connections;
    let most = most.saturating_add(most / HANDSHAKES_SHARE + 16);
    loop {
        match listener.accept().await {
            // Beyond the limit with its room for handshakes there is nobody to answer politely: closed at once.
            Ok((stream, _)) if under_way.get() >= most => drop(stream),
            Ok((stream, peer)) => {
                let (serving, terms, under_way) = (core.clone(), terms.clone(), under_way.clone());
                under_way.set(under_way.get() + 1);
                let verdict = core.arrive(peer.ip());
                core.spawn(async move {
                    match verdict {
                        Ok(conn) => client::drive(serving, conn, stream, peer, terms).await,
                        Err((reason, wait)) => client::turn_away(serving, stream, reason, wait).await,
                    }
                    under_way.set(under_way.get() - 1);
                });
            }
            Err(error) => {
                tracing::warn!("cannot accept a connection: {error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// A seed for a gateway whose settings name none.
fn fresh_seed() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish()
}
