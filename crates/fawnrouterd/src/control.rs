//! Operators' commands to the running gateway, over a Unix socket: one line of JSON in each direction.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::IpAddr;
use std::os::unix::fs::{FileTypeExt as _, PermissionsExt as _};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use fawnrouter_admission::{ClientIdentity, Snapshot};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use serde::{Deserialize, Serialize};

use crate::core::Core;

/// Operators' connections served at once; others wait in the listen queue.
pub const MAX_OPERATOR_CONNECTIONS: usize = 4;
/// Longest command.
const MAX_COMMAND_BYTES: usize = 4096;
/// Timeout of an operator's command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);
/// Most entries in each list of holders.
const MAX_LISTED_HOLDERS: usize = 20;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "lowercase", deny_unknown_fields)]
pub enum Command {
    /// Report present connections and calls, and refusals by reason.
    Show,
    /// Report the state of the gateway's own zone and of the budgets.
    Zones,
    /// Refuse connections of an address for a time.
    Block {
        /// The client address.
        address: IpAddr,
        /// How long, in seconds.
        for_s: u64,
    },
    /// Unblock an address and reset its rate limit.
    Free {
        /// The client address.
        address: IpAddr,
    },
}

/// A client with its number of connections or calls.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResourceHolder {
    /// Address, or name of a known client.
    pub who: String,
    /// Number of open connections or calls.
    pub count: usize,
}

/// Present connections and calls, and refusals by reason.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdmissionStatus {
    /// Whether admission is on.
    pub admission: bool,
    /// Open connections.
    pub open: usize,
    /// Of these, connections still in their handshake, or that have yet to authenticate.
    pub handshakes: usize,
    /// Of these, connections of known clients.
    pub known: usize,
    /// Places reserved for known clients, including those in use.
    pub reserve: usize,
    /// Number of connections that the descriptors suffice for.
    pub room: usize,
    /// Whether descriptors are exhausted.
    pub famine: bool,
    /// Bytes buffered over all connections.
    pub buffered_bytes: usize,
    /// Connections closed because they buffered too many bytes.
    pub over_budget: u64,
    /// Connections refused, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Connections closed, by reason.
    pub closed: BTreeMap<String, u64>,
    /// Set-ups that wait for their turn, and set-ups held by the routing decisions.
    pub set_ups: (usize, usize),
    /// Set-ups that the routing decisions may hold at present.
    pub set_up_room: usize,
    /// Set-ups refused, by reason.
    pub set_ups_refused: BTreeMap<String, u64>,
    /// Successful authentications, challenges sent, and connections closed for failed authentications.
    pub proofs: (u64, u64, u64),
    /// Addresses of unknown clients with the most connections.
    pub addresses: Vec<ResourceHolder>,
    /// Known clients with the most connections.
    pub clients: Vec<ResourceHolder>,
    /// Clients with the most calls.
    pub callers: Vec<ResourceHolder>,
    /// Blocked addresses, with the remaining seconds.
    pub blocked: Vec<(IpAddr, u64)>,
}

/// State of a budget on this gateway.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// Zone that the calls go to; `None`: all other zones.
    pub to: Option<String>,
    /// `Minute`, `Hour` or `Day`.
    pub window: String,
    /// Calls spent, and this gateway's share.
    pub calls: (u64, Option<u64>),
    /// Cost spent, and this gateway's share.
    pub cost: (f64, Option<f64>),
}

/// State of the traffic across zones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// The gateway's own zone.
    pub own: String,
    /// `Calm`, `Pressed` or `Down`.
    pub state: String,
    /// Budgets for calls from this zone.
    pub budgets: Vec<BudgetStatus>,
    /// Calls since the start: zone, cause, number of calls, cost.
    pub went: Vec<(String, String, u64, f64)>,
}

/// The gateway's reply to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Reply {
    /// Connections, calls and refusals.
    #[serde(rename = "shown")]
    Admission(Box<AdmissionStatus>),
    /// State of the traffic across zones.
    Zones(Box<ZoneStatus>),
    /// The command was carried out.
    Done,
    /// The command failed, with the reason.
    Failed(String),
}

/// Creates the socket, accessible to its own user only. A socket left over from a gateway that has ended is
/// replaced.
///
/// # Errors
/// If another gateway listens on the path, or the socket cannot be created.
pub fn listen(path: &Path) -> io::Result<Async<UnixListener>> {
    if UnixStream::connect(path).is_ok() {
        return Err(io::Error::other("another gateway listens there"));
    }
    if std::fs::symlink_metadata(path).is_ok_and(|m| m.file_type().is_socket()) {
        std::fs::remove_file(path)?;
    }
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    Async::new(listener)
}

/// Serves operators until the task is dropped.
pub async fn serve(core: Rc<Core>, listener: Async<UnixListener>) {
    let connections = Rc::new(Cell::new(0usize));
    loop {
        while connections.get() >= MAX_OPERATOR_CONNECTIONS {
            Timer::after(Duration::from_millis(20)).await;
        }
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(100)).await;
            continue;
        };
        connections.set(connections.get() + 1);
        let (own_core, connections) = (core.clone(), connections.clone());
        core.spawn(async move {
            let timeout = async {
                Timer::after(COMMAND_TIMEOUT).await;
                Ok(())
            };
            let _: io::Result<()> = future::or(answer_command(&own_core, stream), timeout).await;
            connections.set(connections.get() - 1);
        });
    }
}

async fn answer_command(core: &Core, mut stream: Async<UnixStream>) -> io::Result<()> {
    let mut bytes = Vec::new();
    while !bytes.contains(&b'\n') && bytes.len() < MAX_COMMAND_BYTES {
        let mut buffer = [0; 512];
        let n = stream.read(&mut buffer).await?;
        if n == 0 {
            break;
        }
        bytes.extend_from_slice(&buffer[..n]);
    }
    let reply = match serde_json::from_slice(&bytes) {
        Ok(command) => execute(core, &command),
        Err(error) => Reply::Failed(format!("the command cannot be read: {error}")),
    };
    let mut text = serde_json::to_vec(&reply).map_err(io::Error::other)?;
    text.push(b'\n');
    stream.write_all(&text).await
}

fn execute(core: &Core, command: &Command) -> Reply {
    let now = core.clock().now().0;
    if matches!(command, Command::Show) {
        return Reply::Admission(Box::new(admission_status(core)));
    }
    if matches!(command, Command::Zones) {
        return match zone_status(core) {
            Some(status) => Reply::Zones(Box::new(status)),
            None => Reply::Failed("zones are off; add a section `zones` to the settings".into()),
        };
    }
    let mut connection_admission = core.connection_admission.borrow_mut();
    let Some(admission) = &mut connection_admission.admission else {
        return Reply::Failed("admission is off; add a section `admission` to the settings".into());
    };
    match command {
        Command::Block { address, for_s } => {
            if !admission.block(now, *address, Duration::from_secs(*for_s)) {
                return Reply::Failed("too many addresses are blocked; free one".into());
            }
            tracing::warn!(%address, for_s, "address blocked by an operator");
        }
        Command::Free { address } => {
            admission.unblock(*address);
            tracing::warn!(%address, "address freed by an operator");
        }
        Command::Show | Command::Zones => {}
    }
    Reply::Done
}

fn zone_status(core: &Core) -> Option<ZoneStatus> {
    let own = core.settings.zones.as_ref()?.own.clone();
    let read_zones = |z: &mut fawnrouter_engine::zones::ZonePolicy| {
        let budgets =
            z.account().budget_views().into_iter().map(|(budget, state, (calls, money))| BudgetStatus {
                to: budget.to.as_deref().map(str::to_owned),
                window: format!("{:?}", budget.period),
                calls: (state.spent.0, calls),
                cost: (state.spent.1.to_units(), money.map(|m| m.to_units())),
            });
        let mut went: BTreeMap<(String, String), (u64, f64)> = BTreeMap::new();
        for (kind, cell) in z.record().totals() {
            let key = (kind.to.to_string(), crate::report::cause_text(kind.cause).to_owned());
            let sum = went.entry(key).or_default();
            *sum = (sum.0 + cell.calls, sum.1 + cell.money.to_units());
        }
        let went = went.into_iter().map(|((to, cause), (calls, cost))| (to, cause, calls, cost));
        ZoneStatus {
            own,
            state: format!("{:?}", z.state()),
            budgets: budgets.collect(),
            went: went.collect(),
        }
    };
    core.with_engine(|engine| engine.zones().map(|zones| zones.with(read_zones)))
}

fn admission_status(core: &Core) -> AdmissionStatus {
    let (connection_admission, buffer_budget) =
        (core.connection_admission.borrow(), core.buffer_budget.borrow());
    let Snapshot { open, handshakes, known, reserve, refused, evicted, addresses, clients, blocked } =
        connection_admission.snapshot(MAX_LISTED_HOLDERS);
    let holder =
        |h: fawnrouter_admission::HolderCount| ResourceHolder { who: h.holder, count: h.connections };
    let mut status = AdmissionStatus {
        admission: connection_admission.admission.is_some(),
        open: open.max(core.connections.borrow().open_count()),
        handshakes,
        known,
        reserve,
        room: connection_admission.descriptors.clients(),
        famine: connection_admission.descriptors.is_exhausted(),
        buffered_bytes: buffer_budget.used(),
        over_budget: buffer_budget.exceeded(),
        refused: refused.into_iter().map(|(r, n)| (r.text().to_owned(), n)).collect(),
        closed: evicted.into_iter().map(|(e, n)| (e.text().to_owned(), n)).collect(),
        addresses: addresses.into_iter().map(holder).collect(),
        clients: clients.into_iter().map(holder).collect(),
        blocked: blocked.into_iter().map(|(a, left)| (a, left.as_secs())).collect(),
        ..AdmissionStatus::default()
    };
    core.with_engine(|engine| {
        let c = engine.counters();
        status.proofs = (c.authenticated, c.challenged, c.auth_failures);
        let Some(set_ups) = engine.set_up_admission() else { return };
        status.set_ups = (set_ups.waiting(), set_ups.in_routing());
        status.set_up_room = set_ups.routing_limit();
        status.set_ups_refused = set_ups.refused().iter().map(|(r, n)| (r.text().to_owned(), *n)).collect();
        let name = |who: ClientIdentity| match who {
            ClientIdentity::Known(name) => name.to_string(),
            ClientIdentity::Unknown(address) => address.to_string(),
        };
        let largest = set_ups.largest(MAX_LISTED_HOLDERS).into_iter();
        status.callers =
            largest.map(|(who, _, calls)| ResourceHolder { who: name(who), count: calls }).collect();
    });
    status
}

/// Sends a command to a running gateway and waits for its reply.
///
/// # Errors
/// If no gateway replies.
pub fn send_command(path: &Path, command: &Command) -> io::Result<Reply> {
    let mut stream = UnixStream::connect(path)?;
    stream.set_read_timeout(Some(COMMAND_TIMEOUT))?;
    let mut text = serde_json::to_vec(command).map_err(io::Error::other)?;
    text.push(b'\n');
    stream.write_all(&text)?;
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply)?;
    serde_json::from_slice(&reply).map_err(io::Error::other)
}

impl std::fmt::Display for AdmissionStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let state = if self.admission { "on" } else { "off" };
        writeln!(f, "admission          {state}")?;
        writeln!(
            f,
            "connections        {} open, {} of them known clients', {} yet to show what they are",
            self.open, self.known, self.handshakes
        )?;
        writeln!(f, "kept for known     {}", self.reserve)?;
        let famine = if self.famine { "; DESCRIPTORS ARE MISSING" } else { "" };
        writeln!(f, "descriptors for    {} connections{famine}", self.room)?;
        writeln!(f, "bytes that wait    {} ({} ended over it)", self.buffered_bytes, self.over_budget)?;
        let (waiting, held) = self.set_ups;
        writeln!(f, "set-ups            {waiting} wait, {held} held of {} that may be", self.set_up_room)?;
        let (proofs, asked, impostors) = self.proofs;
        writeln!(
            f,
            "proofs             {proofs} taken, {asked} asked for, {impostors} connections given up"
        )?;
        for (title, counts) in [
            ("connections refused", &self.refused),
            ("connections closed", &self.closed),
            ("set-ups refused", &self.set_ups_refused),
        ] {
            for (reason, count) in counts {
                writeln!(f, "{title:<20} {count:>8}  {reason}")?;
            }
        }
        for (title, holders) in
            [("address", &self.addresses), ("known client", &self.clients), ("calls of", &self.callers)]
        {
            for holder in holders {
                writeln!(f, "{title:<20} {:>8}  {}", holder.count, holder.who)?;
            }
        }
        for (address, left) in &self.blocked {
            writeln!(f, "blocked              {left:>6} s  {address}")?;
        }
        Ok(())
    }
}

impl std::fmt::Display for ZoneStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "zone {}: {}", self.own, self.state.to_lowercase())?;
        for b in &self.budgets {
            let to = b.to.as_deref().unwrap_or("all others");
            let share = |n: Option<String>| n.unwrap_or_else(|| "any".into());
            writeln!(
                f,
                "budget a {:<7} to {to:<16} {} of {} calls, {:.2} of {} cost spent here",
                b.window.to_lowercase(),
                b.calls.0,
                share(b.calls.1.map(|n| n.to_string())),
                b.cost.0,
                share(b.cost.1.map(|x| format!("{x:.2}")))
            )?;
        }
        for (to, cause, calls, cost) in &self.went {
            writeln!(f, "{calls:>8} calls, {cost:>10.2} cost, to {to}: {cause}")?;
        }
        Ok(())
    }
}
