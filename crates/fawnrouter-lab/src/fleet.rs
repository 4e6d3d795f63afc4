//! Gateway processes, their settings, and the files that they read.

use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::Duration;

use fawnrouter_config::{
    CallClassification, Clients, CrossZoneRouting, Drain, Gateway, Listen, Log, LogFormat, LogLevel,
    Settings, SwitchFile, Switches, Trunk, UnknownClientPolicy, load,
};
use fawnrouterd::engine::Engine;
use fawnrouterd::engine::digest::{Algorithm, ha1};
use rustix::process::{Pid, Signal, kill_process};

use crate::baseline::RoundRobin;
use crate::script::{ClassPlan, Script};

/// A gateway process, or the relay that it is compared with.
pub struct GatewayProcess {
    child: Child,
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Line printed when the process was ready.
    pub ready_line: String,
}

impl GatewayProcess {
    /// Starts a gateway with these settings and waits until it is ready. `baseline` uses round robin in place
    /// of the router's decisions.
    pub fn start(folder: &Path, settings: &Settings, baseline: bool) -> io::Result<Self> {
        let file = folder.join(format!("gateway{}.yaml", settings.gateway.number));
        // JSON is valid YAML.
        fs::write(&file, serde_json::to_string_pretty(settings).map_err(io::Error::other)?)?;
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("gateway").arg("--config").arg(&file);
        if baseline {
            command.arg("--baseline");
        }
        Self::spawn(command)
    }

    /// Starts the null relay in front of the given far end.
    pub fn start_relay(far: SocketAddr) -> io::Result<Self> {
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("relay").arg("--far").arg(far.to_string());
        Self::spawn(command)
    }

    /// Starts a process and waits for its ready line.
    fn spawn(mut command: Command) -> io::Result<Self> {
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
        let mut ready_line = String::new();
        if let Some(out) = child.stdout.take() {
            BufReader::new(out).read_line(&mut ready_line)?;
        }
        let ready_line = ready_line.trim().to_owned();
        let address = ready_line
            .strip_prefix("ready ws://")
            .and_then(|r| r.split('/').next())
            .and_then(|a| a.parse().ok());
        match address {
            Some(address) => Ok(Self { child, address, ready_line }),
            None => {
                let _ = child.kill();
                let _ = child.wait();
                Err(io::Error::other(format!("the process did not start: {ready_line:?}")))
            }
        }
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM, which makes the gateway drain.
    pub fn terminate(&self) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, Signal::TERM);
        }
    }

    /// `None` while the process runs, then whether it exited successfully.
    pub fn exit_success(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Entry point of the gateway process that scripted runs and the demonstration start.
#[must_use]
pub fn gateway_main(config: &Path, baseline: bool) -> ExitCode {
    let settings = match load(config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    fawnrouterd::start_log(&settings.log);
    let folder = config.parent().map(PathBuf::from).unwrap_or_default();
    let ready = |address, path: &str| println!("ready ws://{address}{path}");
    let ended = fawnrouterd::run_with_engine(settings, folder, ready, |engine| {
        if !baseline {
            return Engine::new(engine);
        }
        let decide = RoundRobin::new(engine.controller.limits.max_attempts);
        Ok(Engine::with_controller(engine, Box::new(decide)))
    });
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Settings of one gateway of a script.
pub fn gateway_settings(script: &Script, number: u32, seed: u64) -> Settings {
    let pools = 0..script.switches.len() as u32;
    let rule = |plan: &ClassPlan| {
        let name = plan.class.name.clone();
        let header = fawnrouter_config::NameValue { name: "X-Class".into(), value: name.clone() };
        let when = fawnrouter_config::CallCondition { header: Some(header), ..Default::default() };
        fawnrouter_config::ClassRule { when, class: name }
    };
    Settings {
        gateway: Gateway {
            number,
            count: script.gateways,
            host: format!("gw{number}.invalid"),
            seed: Some(seed.wrapping_mul(1000).wrapping_add(u64::from(number))),
        },
        listen: Listen {
            address: ([127, 0, 0, 1], 0).into(),
            path: "/".into(),
            origins: Vec::new(),
            handshake_ms: 5000,
            ping_ms: 30_000,
        },
        switches: Switches { file: "switches.yaml".into(), poll_ms: 50 },
        classes: script.classes.iter().map(|c| c.class.clone()).collect(),
        tenants: Vec::new(),
        over_share_worth: 1.0,
        calls: CallClassification {
            class: script.classes.iter().map(rule).collect(),
            spread: pools.collect(),
            ..CallClassification::default()
        },
        rules: script.rules.clone(),
        limits: script.limits.clone(),
        admission: script.admission.clone(),
        clients: (script.clients > 0).then(|| Clients {
            file: "clients.yaml".into(),
            realm: REALM.into(),
            strangers: UnknownClientPolicy::Call,
            md5: false,
            nonce_life_ms: 300_000,
            attempts: 5,
            prove_ms: 3000,
        }),
        control: None,
        zones: script.zones.as_ref().map(|zones| {
            let zone = |n: u32| &zones.gateways[n as usize % zones.gateways.len()];
            let own = zone(number);
            CrossZoneRouting {
                own: own.clone(),
                number: (0..number).filter(|n| zone(*n) == own).count() as u32,
                gateways: (0..script.gateways).filter(|n| zone(*n) == own).count() as u32,
                costs: Vec::new(),
                other_cost: zones.cost,
                points_a_unit: 0.2,
                budgets: zones.budgets.clone(),
                account: account_file(number).into(),
            }
        }),
        trunk: Trunk::default(),
        log: Log { format: LogFormat::Text, level: LogLevel::Warn },
        drain: Drain { time_ms: 3000 },
    }
}

/// File name of a gateway's account of calls across zones.
#[must_use]
pub fn account_file(number: u32) -> String {
    format!("account{number}")
}

/// Digest realm of the lab's known clients.
pub const REALM: &str = "lab.invalid";

/// Name and password of a known client.
pub fn client_credentials(number: u32) -> (String, String) {
    (format!("branch{number}"), format!("secret of {number}"))
}

/// Writes the file of known clients.
pub fn write_clients(folder: &Path, count: u32) -> io::Result<()> {
    let entry = |n| {
        let (name, password) = client_credentials(n);
        let sha256 = ha1(Algorithm::Sha256, &name, REALM, &password).as_hex().to_owned();
        serde_json::json!({ "name": name, "sha256": sha256 })
    };
    let entries: Vec<_> = (0..count).map(entry).collect();
    fs::write(folder.join("clients.yaml"), serde_json::json!({ "clients": entries }).to_string())
}

/// Replaces the list of switches atomically.
pub fn write_list(folder: &Path, version: u64, list: &SwitchFile) -> io::Result<()> {
    let new_file = folder.join(format!("switches.{version}"));
    fs::write(&new_file, serde_json::to_string(list).map_err(io::Error::other)?)?;
    fs::rename(new_file, folder.join("switches.yaml"))
}

/// Time that a list may take to reach a gateway: the polling interval and the reading.
pub const LIST_PROPAGATION_TIME: Duration = Duration::from_millis(150);
