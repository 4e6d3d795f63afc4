//! Runs the gateway from start to shutdown.

use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use fawnrouter_admission::{Admission, DescriptorSettings, Descriptors, TooFewDescriptors};
use fawnrouter_config::Settings;
use fawnrouter_engine::{Engine, EngineError, EngineSettings, Input};
use fawnrouter_ws::CloseCode;
use futures_lite::{StreamExt, future};

use rustix::process::Resource;

use crate::connection_admission::ConnectionAdmission;
use crate::core::Core;
use crate::run_error::RunError;
use crate::{accept, control, ledger, trunk, watched_files};

/// How long remaining bytes may take to be written at shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of the line of counts in the log.
const COUNTS_INTERVAL: Duration = Duration::from_secs(60);

/// Runs a gateway until a signal. Relative paths are resolved from `folder`; `ready` is called with the
/// address and path that clients connect to. `true` if it drained, `false` if a second signal interrupted the
/// drain.
///
/// # Errors
/// If it cannot start.
pub fn run(
    settings: Settings,
    folder: PathBuf,
    ready: impl FnOnce(SocketAddr, &str),
) -> Result<bool, RunError> {
    run_with_engine(settings, folder, ready, Engine::new)
}

/// As [`run`], with an engine created by the caller.
///
/// # Errors
/// As [`run`].
pub fn run_with_engine(
    settings: Settings,
    folder: PathBuf,
    ready: impl FnOnce(SocketAddr, &str),
    engine: impl FnOnce(EngineSettings) -> Result<Engine, EngineError>,
) -> Result<bool, RunError> {
    let address = settings.listen.address;
    let listen = |error| RunError::Listen { address, error };
    let listener = Async::<TcpListener>::bind(address).map_err(listen)?;
    let bound = listener.get_ref().local_addr().map_err(listen)?;
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(RunError::Signals)?;
    let report_calls = settings.log.level >= fawnrouter_config::LogLevel::Debug;
    let key = random_key()?;
    let seed = u64::from_le_bytes(key[..8].try_into().unwrap_or_default());
    let mut engine_settings = settings.engine_settings(seed, report_calls);
    engine_settings.auth = settings.auth_settings(key);
    let engine = engine(engine_settings)?;
    let descriptors = plan_descriptors(&settings)?;
    let admission =
        settings.admission_settings(seed).map(|a| Admission::new(a.within(&descriptors))).transpose()?;
    let limits = &settings.limits;
    if descriptors.clients() < limits.connections {
        let room = descriptors.clients();
        tracing::warn!(
            room,
            "limits.connections is {}, and there are descriptors for fewer: raise the limit of the process (ulimit -n)",
            limits.connections
        );
    }
    let retry_after = Duration::from_millis(limits.retry_after_ms);
    let connection_admission =
        ConnectionAdmission::new(admission, descriptors, limits.connections, retry_after);
    let operators =
        settings.control.as_ref().map(|c| listen_for_operators(folder.join(&c.socket))).transpose()?;
    let file = folder.join(&settings.switches.file);
    let clients = settings.clients.as_ref().map(|c| folder.join(&c.file));
    let account = settings.zones.as_ref().map(|z| folder.join(&z.account));
    let path = settings.listen.path.clone();
    let executor = Rc::new(LocalExecutor::new());
    let core = Core::new(settings, engine, connection_admission, trunk::open, &executor);
    let all = async {
        // The drivers.
        let mut tasks = vec![
            executor.spawn(watched_files::watch_switches(core.clone(), file)),
            executor.spawn(run_engine_timer(core.clone())),
            executor.spawn(run_maintenance(core.clone())),
            executor.spawn(log_counts_periodically(core.clone())),
        ];
        tasks.extend(clients.map(|file| executor.spawn(watched_files::watch_clients(core.clone(), file))));
        tasks.extend(operators.map(|socket| executor.spawn(control::serve(core.clone(), socket))));
        if let Some(file) = &account {
            ledger::restore(&core, file).await;
            tasks.push(executor.spawn(ledger::save_periodically(core.clone(), file.clone())));
        }
        let accepting = executor.spawn(accept::accept(core.clone(), listener));
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
                let interrupted = future::or(
                    async {
                        Timer::after(time).await;
                        "drain timeout"
                    },
                    async {
                        signals.next().await;
                        "second signal"
                    },
                );
                let reason = interrupted.await;
                tracing::warn!(
                    left = core.with_engine(Engine::live_calls),
                    "{reason}: remaining calls are ended"
                );
                core.input(Input::Stop);
                reason != "second signal"
            },
        );
        let clean = clean.await;
        core.connections.borrow().close_all_clients(CloseCode::GOING_AWAY, "gateway ends");
        let flushed = async {
            while core.connections.borrow().has_pending_work() {
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        future::or(flushed, async {
            Timer::after(FLUSH_TIMEOUT).await;
        })
        .await;
        if let Some(file) = account {
            ledger::save(&core, file).await;
        }
        core.log_counts();
        drop(tasks);
        clean
    };
    Ok(async_io::block_on(executor.run(all)))
}

/// Creates the control socket.
fn listen_for_operators(path: PathBuf) -> Result<Async<UnixListener>, RunError> {
    control::listen(&path).map_err(|error| RunError::Control { path, error })
}

async fn run_maintenance(core: Rc<Core>) {
    core.run_maintenance().await;
}

async fn run_engine_timer(core: Rc<Core>) {
    core.run_engine_timer().await;
}

async fn log_counts_periodically(core: Rc<Core>) {
    loop {
        Timer::after(COUNTS_INTERVAL).await;
        core.log_counts();
    }
}

/// Divides the process's file descriptors between clients, switches, files and operators.
fn plan_descriptors(settings: &Settings) -> Result<Descriptors, TooFewDescriptors> {
    let limit = rustix::process::getrlimit(Resource::Nofile).current;
    let limit = limit.and_then(|n| usize::try_from(n).ok()).unwrap_or(usize::MAX / 2);
    // Without /proc, assume the usual number: standard streams, the reactor's descriptors and the listener.
    let in_use = std::fs::read_dir("/proc/self/fd").map_or(16, Iterator::count);
    let control = if settings.control.is_some() { control::MAX_OPERATOR_CONNECTIONS + 1 } else { 0 };
    let files = 4;
    Descriptors::new(DescriptorSettings { limit, in_use, trunks: settings.trunk.descriptors, files, control })
}

/// Unpredictable bytes from the system's random number generator.
fn random_key() -> Result<[u8; 32], RunError> {
    let mut key = [0; 32];
    getrandom::fill(&mut key).map_err(|error| RunError::Random(error.to_string()))?;
    Ok(key)
}
