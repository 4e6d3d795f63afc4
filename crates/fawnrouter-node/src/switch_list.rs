//! The list of core switches, from the events in the configuration and from the name server's responses (RFC
//! 1035, RFC 2782). The platform's protocol says what the records mean; see
//! `docs/design/025-platform-gateway.md`.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use fawnrouter::{Cell, ServerEntry, ServerId, ServerState, Time};
use fawnrouter_dns::{Name, RecordData, Response};
use serde_json::Value;

/// The domain name whose SRV records are the list.
pub const LIST_DNS_NAME: &str = "_app._tcp.cluster.lan";

/// Most core switches that a list may name; a longer list is rejected as a whole.
const MAX_LISTED_SWITCHES: usize = 4096;
/// Most removed ids that are remembered.
const MAX_REMOVED_IDS: usize = 256;

/// Why a list cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum PoolError {
    /// An event in the configuration is malformed.
    #[error("{field} is {found}; it must be {wanted}")]
    InvalidEvent {
        /// Name of the field.
        field: &'static str,
        /// What the field holds.
        found: String,
        /// What it must be.
        wanted: &'static str,
    },
    /// The response has no serial.
    #[error("the answer has no SOA record in its authority section")]
    NoSerial,
    /// A required record is missing or invalid.
    #[error("{0}: {1}")]
    InvalidRecord(String, &'static str),
    /// The list is empty. A service always has core switches, so this is more likely a fault of the name
    /// server.
    #[error("the answer names no core switch")]
    Empty,
    /// The list names too many core switches.
    #[error("the list names more than {MAX_LISTED_SWITCHES} core switches")]
    TooMany,
}

/// A core switch as the list describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedSwitch {
    /// The switch's zone.
    pub zone: String,
    /// The switch's pool.
    pub cell: Cell,
    /// The switch's state. Switches that are gone are not listed.
    pub state: ServerState,
    /// When the switch last started; `None`: long ago.
    pub started: Option<Time>,
    /// The switch's address.
    pub address: SocketAddr,
}

/// A whole list and the number of the last event in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// The number of the last event.
    pub serial: u32,
    /// The switches by id.
    pub switches: BTreeMap<String, ListedSwitch>,
}

fn start_time(unix_ms: u64) -> Option<Time> {
    (unix_ms > 0).then(|| Time(Duration::from_millis(unix_ms)))
}

impl Pool {
    /// Builds the list from the events in the configuration.
    ///
    /// # Errors
    /// Names the first malformed field.
    pub fn from_configuration(known: &Value) -> Result<Self, PoolError> {
        fn field<T>(
            at: &Value,
            field: &'static str,
            wanted: &'static str,
            read: impl Fn(&Value) -> Option<T>,
        ) -> Result<T, PoolError> {
            let value = at.get(field).unwrap_or(&Value::Null);
            read(value).ok_or_else(|| PoolError::InvalidEvent { field, found: value.to_string(), wanted })
        }
        let number = |v: &Value| v.as_u64().and_then(|n| u32::try_from(n).ok());
        let text = |v: &Value| v.as_str().filter(|t| !t.is_empty()).map(str::to_owned);
        let list = |v: &Value| v.as_array().cloned();
        let mut pool = Self { serial: field(known, "seq", "a number", number)?, ..Self::default() };
        for event in field(known, "results", "a list of events", list)? {
            let fleet =
                field(&event, "fleet", "an object", |v| v.as_object().map(|o| Value::Object(o.clone())))?;
            if fleet.get("reset").and_then(Value::as_bool) == Some(true) {
                pool.switches.clear();
            }
            for instance in field(&fleet, "instances", "a list of core switches", list)? {
                let id = field(&instance, "instanceId", "an id", text)?;
                let state =
                    field(&instance, "lifecycle", "Ready, Terminating or Gone", |v| match v.as_str()? {
                        "Ready" => Some(ServerState::Ready),
                        "Terminating" => Some(ServerState::Draining),
                        "Gone" => Some(ServerState::Gone),
                        _ => None,
                    })?;
                if state == ServerState::Gone {
                    pool.switches.remove(&id);
                    continue;
                }
                let address = |v: &Value| v.as_str().and_then(|a| a.parse().ok());
                let listed = ListedSwitch {
                    zone: field(&instance, "zone", "a zone's name", text)?,
                    cell: Cell(field(&instance, "cell", "a number", number)?),
                    state,
                    started: start_time(field(
                        &instance,
                        "startedAtMs",
                        "Unix milliseconds or 0",
                        Value::as_u64,
                    )?),
                    address: field(&instance, "hostPort", "an address and a port", address)?,
                };
                pool.switches.insert(id, listed);
            }
        }
        if pool.switches.len() > MAX_LISTED_SWITCHES {
            return Err(PoolError::TooMany);
        }
        Ok(pool)
    }

    /// Builds the list from a response of the name server. The list is used as a whole or not at all: a core
    /// switch must not seem gone because one of its records is missing.
    ///
    /// # Errors
    /// Names the first record that is missing or invalid.
    pub fn from_response(answer: &Response) -> Result<Self, PoolError> {
        let serial = answer.authority.iter().find_map(|r| match r.data {
            RecordData::Soa { serial } => Some(serial),
            _ => None,
        });
        let mut pool = Self { serial: serial.ok_or(PoolError::NoSerial)?, ..Self::default() };
        let (mut hosts, mut texts) =
            (BTreeMap::<&Name, Ipv4Addr>::new(), BTreeMap::<&Name, &[Vec<u8>]>::new());
        for record in answer.answers.iter().chain(&answer.additional) {
            match &record.data {
                RecordData::A(address) => drop(hosts.insert(&record.name, *address)),
                RecordData::Txt(parts) => drop(texts.insert(&record.name, parts)),
                _ => {}
            }
        }
        for record in &answer.answers {
            let RecordData::Srv { priority, port, target, .. } = &record.data else { continue };
            let wrong = |reason| PoolError::InvalidRecord(target.to_string(), reason);
            let [id, zone, ..] = target.labels() else { return Err(wrong("the target names no zone")) };
            let host = hosts.get(target).ok_or_else(|| wrong("no A record"))?;
            let text = texts.get(target).ok_or_else(|| wrong("no TXT record"))?;
            let figure = |name: &str| {
                let parts = text.iter().filter_map(|p| std::str::from_utf8(p).ok());
                let mut pairs = parts.filter_map(|p| p.split_once('='));
                pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
            };
            let cell = figure("cell").and_then(|n| u32::try_from(n).ok());
            let listed = ListedSwitch {
                zone: zone.clone(),
                cell: Cell(cell.ok_or_else(|| wrong("TXT has no cell"))?),
                state: if *priority == 0 { ServerState::Ready } else { ServerState::Draining },
                started: start_time(figure("started").ok_or_else(|| wrong("TXT has no start time"))?),
                address: SocketAddr::from((*host, *port)),
            };
            pool.switches.insert(id.clone(), listed);
            if pool.switches.len() > MAX_LISTED_SWITCHES {
                return Err(PoolError::TooMany);
            }
        }
        // A failing name server may send an empty list; the last list is kept until a response names a switch
        // again.
        if pool.switches.is_empty() { Err(PoolError::Empty) } else { Ok(pool) }
    }
}

/// Numbers for the switches' ids. A number is never given to another id, and an id that was removed gets a
/// new number.
#[derive(Debug, Default)]
pub(crate) struct ServerIds {
    numbers: BTreeMap<String, ServerId>,
    /// Ids that were removed, the latest last.
    removed: VecDeque<String>,
    next: u32,
}

impl ServerIds {
    pub fn get_or_assign(&mut self, id: &str) -> ServerId {
        if let Some(number) = self.numbers.get(id) {
            return *number;
        }
        self.next += 1;
        self.numbers.insert(id.to_owned(), ServerId(self.next));
        ServerId(self.next)
    }

    pub fn get(&self, id: &str) -> Option<ServerId> {
        self.numbers.get(id).copied()
    }

    pub fn remove(&mut self, id: &str) {
        if let Some((id, _)) = self.numbers.remove_entry(id) {
            self.removed.push_back(id);
            if self.removed.len() > MAX_REMOVED_IDS {
                self.removed.pop_front();
            }
        }
    }

    /// Whether the id has a number or had one before, as far as is remembered.
    pub fn was_assigned(&self, id: &str) -> bool {
        self.numbers.contains_key(id) || self.removed.iter().any(|removed| removed == id)
    }
}

/// The entry for the controller.
pub(crate) fn server_entry(id: ServerId, listed: &ListedSwitch) -> ServerEntry {
    ServerEntry {
        id,
        zone: listed.zone.as_str().into(),
        cell: listed.cell,
        state: listed.state,
        up_since: listed.started,
    }
}
