//! Gateway processes: each is a `fawnrouter node` with its own loopback address.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::platform::{GatewayParameters, ListedSwitch, gateway_configuration};
use crate::process::error::{ProcessError, system_error};
use crate::process::usage::ProcessUsage;

/// Serial of the list in the gateways' configuration, which is also the one that the name server gives.
pub(super) const LIST_SERIAL: u32 = 1;
/// Port of every gateway; gateways differ in their address.
const GATEWAY_PORT: u16 = 5060;
/// The first loopback address for gateways.
const FIRST_ADDRESS: u32 = Ipv4Addr::new(127, 1, 0, 0).to_bits();
/// Loopback addresses for the gateways of one measuring process.
const ADDRESSES_PER_PROCESS: u32 = 256;
/// Number of address ranges. Measuring processes that run at the same time have different ranges if their
/// process ids differ modulo this number.
const ADDRESS_RANGES: u32 = 60_000;

/// An address for the next gateway. The range depends on the process id, so that measuring processes that run
/// at the same time do not use the same addresses.
pub(super) fn next_gateway_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let index = NEXT.fetch_add(1, Ordering::Relaxed) % ADDRESSES_PER_PROCESS;
    let range = std::process::id() % ADDRESS_RANGES;
    let address = Ipv4Addr::from_bits(FIRST_ADDRESS + ADDRESSES_PER_PROCESS * range + index);
    SocketAddr::from((address, GATEWAY_PORT))
}

/// Handle of a gateway process, which is killed when the handle is dropped.
#[derive(Debug)]
pub(super) struct GatewayProcess {
    child: Child,
    name: String,
    log: PathBuf,
    /// Address that callers connect to.
    pub address: SocketAddr,
}

impl GatewayProcess {
    /// Starts a gateway; its configuration and its log are written into the directory.
    pub fn start(
        program: &Path,
        directory: &Path,
        parameters: &GatewayParameters,
        switches: &[ListedSwitch],
    ) -> Result<Self, ProcessError> {
        let configuration = directory.join(format!("{}.json", parameters.name));
        let log = directory.join(format!("{}.log", parameters.name));
        let text = gateway_configuration(parameters, LIST_SERIAL, switches).to_string();
        fs::write(&configuration, text)
            .map_err(system_error("a gateway's configuration cannot be written"))?;
        let log_file = File::create(&log).map_err(system_error("a gateway's log cannot be opened"))?;
        let child = Command::new(program)
            .arg("node")
            .env("BALANCER_CONFIG", &configuration)
            .env("BALANCER_NAME", &parameters.name)
            .env("BALANCER_LISTEN", parameters.listen.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file)
            .spawn()
            .map_err(|source| ProcessError::SpawnFailed { program: program.to_owned(), source })?;
        Ok(Self { child, name: parameters.name.clone(), log, address: parameters.listen })
    }

    /// Processor time, memory and descriptors that the process uses.
    pub fn usage(&self) -> Result<ProcessUsage, ProcessError> {
        Ok(ProcessUsage::of_process(self.child.id())?)
    }

    /// An error if the process has exited.
    pub fn check_running(&mut self) -> Result<(), ProcessError> {
        let status = self.child.try_wait().map_err(system_error("a gateway cannot be waited for"))?;
        let Some(status) = status else { return Ok(()) };
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let last_line = log.lines().next_back().unwrap_or_default().to_owned();
        Err(ProcessError::GatewayExited { name: self.name.clone(), status: status.to_string(), last_line })
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // Both fail only if the process has exited and has been waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
