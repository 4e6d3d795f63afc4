//! The users' platform around a gateway, as bytes: the name server's answers and the gateway's configuration.
//!
//! Both rigs use these, so that hollow gateways and gateway processes are given the same.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use fawnrouter_dns::RecordType;
use serde_json::{Value, json};

/// Length of a message's header (RFC 1035 §4.1.1), which the first question follows.
const HEADER_BYTES: usize = 12;
/// A pointer of a compressed name holds 14 bits (RFC 1035 §4.1.4).
const POINTER_LIMIT: usize = 1 << 14;
/// The two high bits that mark a pointer.
const POINTER_MARK: u16 = 0xc000;
/// QR and AA set (RFC 1035 §4.1.1).
const AUTHORITATIVE_ANSWER: [u8; 2] = [0x84, 0];
/// The class IN (RFC 1035 §3.2.4).
const CLASS_IN: u16 = 1;
/// How long a record may be kept, in seconds.
const TIME_TO_LIVE_SECONDS: u32 = 5;
/// The most rows that the 16 bits of the additional section's count allow, at two records a row.
const MAX_ROWS: usize = (u16::MAX / 2) as usize;
/// "Priority 0 ready, 1 draining".
const PRIORITY_READY: u16 = 0;
const PRIORITY_DRAINING: u16 = 1;
/// "Ten times the weight"; all core switches have weight 1.
const SRV_WEIGHT: u16 = 10;
/// Refresh, retry, expire and minimum of the SOA record, which no gateway reads.
const SOA_TIMES_BYTES: usize = 16;

/// A core switch as the name server lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedSwitch {
    /// Its id: one label of a name.
    pub id: String,
    /// Its zone: one label of a name.
    pub zone: String,
    /// Its pool.
    pub cell: u32,
    /// Where it listens. The list has IPv4 addresses only; another is written as 0.0.0.0.
    pub address: SocketAddr,
    /// It finishes its work and takes no new calls.
    pub draining: bool,
    /// When it last started, in Unix milliseconds; 0: long ago.
    pub started_unix_ms: u64,
}

impl ListedSwitch {
    fn host(&self) -> String {
        format!("{}.{}.hosts", self.id, self.zone)
    }
}

/// A message under construction, with the places of the names in it that later ones can point to.
struct MessageWriter {
    bytes: Vec<u8>,
    names: BTreeMap<String, u16>,
}

impl MessageWriter {
    /// An answer that begins with this question: its id, and its name as the first to point to.
    fn answering(question: &[u8], counts: [u16; 3]) -> Self {
        let mut bytes = question.to_vec();
        bytes[2..4].copy_from_slice(&AUTHORITATIVE_ANSWER);
        for (place, count) in counts.into_iter().enumerate() {
            let at = 6 + 2 * place;
            bytes[at..at + 2].copy_from_slice(&count.to_be_bytes());
        }
        let mut writer = Self { bytes, names: BTreeMap::new() };
        writer.note_question_name();
        writer
    }

    fn note_question_name(&mut self) {
        let mut labels = Vec::new();
        let mut at = HEADER_BYTES;
        while let Some(length) =
            self.bytes.get(at).map(|byte| usize::from(*byte)).filter(|length| *length > 0)
        {
            let Some(label) = self.bytes.get(at + 1..at + 1 + length) else { return };
            labels.push((at, String::from_utf8_lossy(label).into_owned()));
            at += 1 + length;
        }
        for first in 0..labels.len() {
            let suffix: Vec<&str> = labels[first..].iter().map(|(_, label)| label.as_str()).collect();
            self.note(&suffix.join("."), labels[first].0);
        }
    }

    fn note(&mut self, name: &str, at: usize) {
        if let Some(at) = u16::try_from(at).ok().filter(|at| usize::from(*at) < POINTER_LIMIT) {
            self.names.entry(name.to_owned()).or_insert(at);
        }
    }

    fn u16(&mut self, number: u16) {
        self.bytes.extend(number.to_be_bytes());
    }

    /// Writes a name, ended by a pointer to the longest end of it that the message has already.
    fn name(&mut self, name: &str) {
        let mut rest = name;
        while !rest.is_empty() {
            if let Some(at) = self.names.get(rest) {
                return self.u16(POINTER_MARK | at);
            }
            self.note(rest, self.bytes.len());
            let (label, after) = rest.split_once('.').unwrap_or((rest, ""));
            self.text(label.as_bytes());
            rest = after;
        }
        self.bytes.push(0);
    }

    /// Writes a label or a text of a TXT record: its length, then itself (63 or 255 bytes at the most).
    fn text(&mut self, text: &[u8]) {
        let length = u8::try_from(text.len()).unwrap_or(u8::MAX);
        self.bytes.push(length);
        self.bytes.extend(&text[..usize::from(length)]);
    }

    fn record(&mut self, owner: &str, kind: RecordType, data: impl FnOnce(&mut Self)) {
        self.name(owner);
        self.u16(kind as u16);
        self.u16(CLASS_IN);
        self.bytes.extend(TIME_TO_LIVE_SECONDS.to_be_bytes());
        let length_at = self.bytes.len();
        self.u16(0);
        data(self);
        // A record's data is at most a few hundred bytes long.
        let length = u16::try_from(self.bytes.len() - length_at - 2).unwrap_or(u16::MAX);
        self.bytes[length_at..length_at + 2].copy_from_slice(&length.to_be_bytes());
    }

    fn srv(&mut self, owner: &str, row: &ListedSwitch) {
        let priority = if row.draining { PRIORITY_DRAINING } else { PRIORITY_READY };
        self.record(owner, RecordType::Srv, |writer| {
            writer.u16(priority);
            writer.u16(SRV_WEIGHT);
            writer.u16(row.address.port());
            writer.name(&row.host());
        });
    }

    fn soa(&mut self, serial: u32) {
        self.record("cluster.lan", RecordType::Soa, |writer| {
            writer.name("ns.cluster.lan");
            writer.name("admin.cluster.lan");
            writer.bytes.extend(serial.to_be_bytes());
            writer.bytes.extend([0; SOA_TIMES_BYTES]);
        });
    }

    fn host(&mut self, row: &ListedSwitch) {
        let host = row.host();
        let address = match row.address {
            SocketAddr::V4(address) => *address.ip(),
            SocketAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        };
        self.record(&host, RecordType::A, |writer| writer.bytes.extend(address.octets()));
        let texts =
            ["kind=std".to_owned(), format!("cell={}", row.cell), format!("started={}", row.started_unix_ms)];
        self.record(&host, RecordType::Txt, |writer| {
            texts.iter().for_each(|text| writer.text(text.as_bytes()))
        });
    }
}

/// The name server's answer to a question made by [`fawnrouter_dns::query`]: the whole list (RFC 1035 §4.1), with
/// names compressed as far as pointers reach (§4.1.4). Nothing for bytes that are no question. Rows beyond what the
/// counts of a message can tell are left out whole.
#[must_use]
pub fn encode_list_answer(question: &[u8], serial: u32, rows: &[ListedSwitch]) -> Vec<u8> {
    if question.len() <= HEADER_BYTES {
        return Vec::new();
    }
    let rows = &rows[..rows.len().min(MAX_ROWS)];
    let count = u16::try_from(rows.len()).unwrap_or(u16::MAX);
    let mut writer = MessageWriter::answering(question, [count, 1, 2 * count]);
    for row in rows {
        writer.srv(fawnrouter_node::LIST_DNS_NAME, row);
    }
    writer.soa(serial);
    for row in rows {
        writer.host(row);
    }
    writer.bytes
}

/// Where a gateway is and what it may hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayParameters {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the list is asked for.
    pub nameserver: SocketAddr,
    /// Seed of all its random numbers.
    pub seed: u64,
    /// Gateways in front of the same core switches, itself included.
    pub gateways: u32,
    /// Which of them it is, from 0.
    pub number: u32,
    /// Descriptors that it may hold.
    pub descriptors: u32,
}

fn known_instance(row: &ListedSwitch) -> Value {
    json!({
        "instanceId": row.id,
        "hostPort": row.address.to_string(),
        "zone": row.zone,
        "machineType": "std",
        "cell": row.cell,
        "lifecycle": if row.draining { "Terminating" } else { "Ready" },
        "weight": 1,
        "startedAtMs": row.started_unix_ms,
    })
}

/// The platform's configuration of a gateway: one class of call, `voice`, and this list as the one of the start.
#[must_use]
pub fn gateway_configuration(place: &GatewayParameters, serial: u32, rows: &[ListedSwitch]) -> Value {
    let instances: Vec<Value> = rows.iter().map(known_instance).collect();
    let fleet = json!({"generation": serial, "reset": true, "instances": instances});
    json!({
        "name": place.name,
        "listen": place.listen.to_string(),
        "seed": format!("{:016x}", place.seed),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": place.descriptors},
        "nameserver": place.nameserver.to_string(),
        "known": {"seq": serial, "results": [{"seq": serial, "fleet": fleet}]},
        "settings": settings(place),
    })
}

fn settings(place: &GatewayParameters) -> Value {
    json!({
        "balancers": place.gateways,
        "me": place.number,
        "tickNs": 5_000_000,
        "classes": [{
            "name": crate::plan::CLASS_NAME,
            "onTimeNs": 2_000_000_000u64,
            "hardLimitNs": 9_000_000_000u64,
            "points": 1.0,
            "lateShare": 0.25,
            "effect": "read_like",
        }],
        "contract": {
            "coldFrom": 0.33,
            "coldNs": 14_000_000_000u64,
            "drainGraceNs": 1_000_000_000,
            "fallMultiple": 4.0,
            "fallNs": 1_000_000_000,
        },
        "familyInfo": {"guardNs": 200_000_000, "topology": "pools"},
        "policyLimits": {
            "cancel": true,
            "connIdleNs": 60_000_000_000u64,
            "dialTimeoutNs": 500_000_000,
            "maxAttempts": 5,
            "maxOpen": 1000,
            "maxRetryAfterNs": 2_000_000_000,
            "multiplex": 100,
            "retryAfter": true,
        },
    })
}
