//! Gateway processes: `fawnrouter node`, each on a loopback address of its own.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::platform::{GatewayParameters, ListedSwitch, gateway_configuration};
use crate::process::error::{ProcessError, doing};
use crate::process::usage::ProcessUsage;

/// The serial of the list that all know from the start.
pub(super) const LIST_SERIAL: u32 = 1;
/// The port of every gateway; addresses differ.
const GATEWAY_PORT: u16 = 5060;
/// The first loopback address that is given to a gateway.
const FIRST_HOST: u32 = Ipv4Addr::new(127, 1, 0, 0).to_bits();
/// Addresses of one measuring process.
const HOSTS_PER_PROCESS: u32 = 256;
/// Measuring processes that have addresses of their own at the same time.
const HOST_RANGES: u32 = 60_000;

/// An address for one more gateway, where nothing else listens.
pub(super) fn next_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let host = NEXT.fetch_add(1, Ordering::Relaxed) % HOSTS_PER_PROCESS;
    let range = std::process::id() % HOST_RANGES;
    SocketAddr::from((Ipv4Addr::from_bits(FIRST_HOST + HOSTS_PER_PROCESS * range + host), GATEWAY_PORT))
}

/// A gateway that runs as a process. It ends with its handle.
#[derive(Debug)]
pub(super) struct GatewayProcess {
    child: Child,
    name: String,
    log: PathBuf,
    /// Where callers connect.
    pub address: SocketAddr,
}

impl GatewayProcess {
    /// Starts a gateway; its configuration and its log go into the folder.
    pub fn start(
        program: &Path,
        folder: &Path,
        place: &GatewayParameters,
        rows: &[ListedSwitch],
    ) -> Result<Self, ProcessError> {
        let configuration = folder.join(format!("{}.json", place.name));
        let log = folder.join(format!("{}.log", place.name));
        let text = gateway_configuration(place, LIST_SERIAL, rows).to_string();
        fs::write(&configuration, text).map_err(doing("a gateway's configuration cannot be written"))?;
        let log_file = File::create(&log).map_err(doing("a gateway's log cannot be opened"))?;
        let child = Command::new(program)
            .arg("node")
            .env("BALANCER_CONFIG", &configuration)
            .env("BALANCER_NAME", &place.name)
            .env("BALANCER_LISTEN", place.listen.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file)
            .spawn()
            .map_err(|source| ProcessError::SpawnFailed { program: program.to_owned(), source })?;
        Ok(Self { child, name: place.name.clone(), log, address: place.listen })
    }

    /// What it uses of the machine.
    pub fn usage(&self) -> Result<ProcessUsage, ProcessError> {
        Ok(ProcessUsage::of_process(self.child.id())?)
    }

    /// An error if it has ended.
    pub fn check(&mut self) -> Result<(), ProcessError> {
        let status = self.child.try_wait().map_err(doing("a gateway cannot be waited for"))?;
        let Some(status) = status else { return Ok(()) };
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let last_line = log.lines().next_back().unwrap_or_default().to_owned();
        Err(ProcessError::GatewayExited { name: self.name.clone(), status: status.to_string(), last_line })
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // Both fail only where it has ended and been waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
