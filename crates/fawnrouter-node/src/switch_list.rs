//! The list of core switches, from the configuration's events and from the name server's answers (RFC 1035, RFC 2782;
//! the platform's page PROTOCOL says what the records mean).

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use fawnrouter::{Cell, ServerEntry, ServerId, ServerState, Time};
use fawnrouter_dns::{Name, RecordData, Response};
use serde_json::Value;

/// The name whose SRV records are the list.
pub const LIST_DNS_NAME: &str = "_app._tcp.cluster.lan";

/// The most core switches that a list may name; a longer one is refused whole.
const MAX_LISTED: usize = 4096;

/// Why a list cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum PoolError {
    /// An event of the configuration is not of the form that the page shows.
    #[error("{field} is {found}; it must be {wanted}")]
    InvalidEvent {
        /// Which field.
        field: &'static str,
        /// What is there.
        found: String,
        /// What should be.
        wanted: &'static str,
    },
    /// The answer has no serial.
    #[error("the answer has no SOA record in its authority section")]
    NoSerial,
    /// A record that the list needs is missing or makes no sense.
    #[error("{0}: {1}")]
    InvalidRecord(String, &'static str),
    /// No core switch at all: never true of a service, and more likely a fault of the name server's.
    #[error("the answer names no core switch")]
    Empty,
    /// Too many core switches.
    #[error("the list names more than {MAX_LISTED} core switches")]
    TooMany,
}

/// What the list says of one core switch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedSwitch {
    /// Its zone.
    pub zone: String,
    /// Its pool.
    pub cell: Cell,
    /// Its state; those that are gone are not listed.
    pub state: ServerState,
    /// When it last started; `None`: long ago.
    pub started: Option<Time>,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A whole list and the number of the event that it holds last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// The number of the last event.
    pub serial: u32,
    /// By id.
    pub switches: BTreeMap<String, ListedSwitch>,
}

fn started(unix_ms: u64) -> Option<Time> {
    (unix_ms > 0).then(|| Time(Duration::from_millis(unix_ms)))
}

impl Pool {
    /// The list that the events of a configuration add up to.
    ///
    /// # Errors
    /// Where an event is not of the form that the page shows.
    pub fn from_configuration(from_configuration: &Value) -> Result<Self, PoolError> {
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
        let mut pool =
            Self { serial: field(from_configuration, "seq", "a number", number)?, ..Self::default() };
        for event in field(from_configuration, "results", "a list of events", list)? {
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
                    started: started(field(
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
        if pool.switches.len() > MAX_LISTED {
            return Err(PoolError::TooMany);
        }
        Ok(pool)
    }

    /// The list that an answer of the name server holds. It is taken whole or not at all: a core switch that one
    /// record is missing of must not look gone.
    ///
    /// # Errors
    /// Names the first record that is missing or makes no sense.
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
            let wrong = |why| PoolError::InvalidRecord(target.to_string(), why);
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
                started: started(figure("started").ok_or_else(|| wrong("TXT has no start time"))?),
                address: SocketAddr::from((*host, *port)),
            };
            pool.switches.insert(id.clone(), listed);
            if pool.switches.len() > MAX_LISTED {
                return Err(PoolError::TooMany);
            }
        }
        // Guards against a failing name server; the last list stands until one is named again.
        if pool.switches.is_empty() { Err(PoolError::Empty) } else { Ok(pool) }
    }
}

/// Ids as numbers. A number is never given to another id, and an id that has been forgotten gets a new one.
#[derive(Debug, Default)]
pub(crate) struct Ids {
    numbers: BTreeMap<String, ServerId>,
    next: u32,
}

impl Ids {
    pub fn number(&mut self, id: &str) -> ServerId {
        if let Some(number) = self.numbers.get(id) {
            return *number;
        }
        self.next += 1;
        self.numbers.insert(id.to_owned(), ServerId(self.next));
        ServerId(self.next)
    }

    pub fn known(&self, id: &str) -> Option<ServerId> {
        self.numbers.get(id).copied()
    }

    pub fn forget(&mut self, id: &str) {
        self.numbers.remove(id);
    }
}

/// The controller's entry for what is listed.
pub(crate) fn entry(id: ServerId, listed: &ListedSwitch) -> ServerEntry {
    ServerEntry {
        id,
        zone: listed.zone.as_str().into(),
        cell: listed.cell,
        state: listed.state,
        up_since: listed.started,
    }
}
