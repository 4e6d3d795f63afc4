//! What the platform gives a gateway: the encoded answers of its name server, and the gateway's
//! configuration.
//!
//! The simulation of hollow gateways and the testbed of gateway processes both use this module, so that both
//! kinds of gateway get the same input.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use fawnrouter_dns::RecordType;
use serde_json::{Value, json};

/// Length of a DNS message's header (RFC 1035 §4.1.1); the question follows it.
const HEADER_BYTES: usize = 12;
/// Offset of the counts of answer, authority and additional records in the header.
const RECORD_COUNTS_OFFSET: usize = 6;
/// Offsets below this fit into the 14 bits of a compression pointer (RFC 1035 §4.1.4).
const POINTER_OFFSET_LIMIT: usize = 1 << 14;
/// The two high bits that mark a compression pointer.
const POINTER_MARK: u16 = 0xc000;
/// Flag bytes of the header with QR and AA set (RFC 1035 §4.1.1).
const AUTHORITATIVE_ANSWER: [u8; 2] = [0x84, 0];
/// The class IN (RFC 1035 §3.2.4).
const CLASS_IN: u16 = 1;
/// How long a record may be cached, in seconds.
const TIME_TO_LIVE_SECONDS: u32 = 5;
/// The most core switches in one answer: each has two records in the additional section, whose count has 16
/// bits.
const MAX_LISTED_SWITCHES: usize = (u16::MAX / 2) as usize;
/// SRV priority of a core switch that takes calls.
const PRIORITY_READY: u16 = 0;
/// SRV priority of a core switch that drains.
const PRIORITY_DRAINING: u16 = 1;
/// An SRV record holds ten times the weight; all core switches have weight 1.
const SRV_WEIGHT: u16 = 10;
/// Length of refresh, retry, expire and minimum of the SOA record, which no gateway reads.
const SOA_TIMES_BYTES: usize = 16;

/// A core switch as the name server lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedSwitch {
    /// Its id: one label of its host name.
    pub id: String,
    /// Its zone: one label of its host name.
    pub zone: String,
    /// Number of its pool.
    pub cell: u32,
    /// Where it listens. The list has IPv4 addresses only; an IPv6 address is encoded as 0.0.0.0.
    pub address: SocketAddr,
    /// Whether it drains: it keeps its calls and takes no new ones.
    pub draining: bool,
    /// When it last started, in Unix milliseconds; 0 means long ago.
    pub started_unix_ms: u64,
}

impl ListedSwitch {
    fn host_name(&self) -> String {
        format!("{}.{}.hosts", self.id, self.zone)
    }
}

/// A DNS message under construction.
struct MessageWriter {
    bytes: Vec<u8>,
    /// Offsets of the names and name suffixes written so far, as targets of compression pointers.
    name_offsets: BTreeMap<String, u16>,
}

impl MessageWriter {
    /// Starts an answer from the bytes of the question, whose id it keeps and whose name is the first pointer
    /// target. The counts are those of the answer, authority and additional sections.
    fn answering(question: &[u8], record_counts: [u16; 3]) -> Self {
        let mut bytes = question.to_vec();
        bytes[2..4].copy_from_slice(&AUTHORITATIVE_ANSWER);
        for (section, count) in record_counts.into_iter().enumerate() {
            let offset = RECORD_COUNTS_OFFSET + 2 * section;
            bytes[offset..offset + 2].copy_from_slice(&count.to_be_bytes());
        }
        let mut writer = Self { bytes, name_offsets: BTreeMap::new() };
        writer.register_question_name();
        writer
    }

    /// Registers the question's name and all its suffixes as pointer targets.
    fn register_question_name(&mut self) {
        let mut labels = Vec::new();
        let mut offset = HEADER_BYTES;
        while let Some(length) =
            self.bytes.get(offset).map(|byte| usize::from(*byte)).filter(|length| *length > 0)
        {
            let Some(label) = self.bytes.get(offset + 1..offset + 1 + length) else { return };
            labels.push((offset, String::from_utf8_lossy(label).into_owned()));
            offset += 1 + length;
        }
        for first in 0..labels.len() {
            let suffix: Vec<&str> = labels[first..].iter().map(|(_, label)| label.as_str()).collect();
            self.register_name(&suffix.join("."), labels[first].0);
        }
    }

    /// Makes a name a pointer target if a pointer can hold its offset.
    fn register_name(&mut self, name: &str, offset: usize) {
        let fits = |offset: &u16| usize::from(*offset) < POINTER_OFFSET_LIMIT;
        if let Some(offset) = u16::try_from(offset).ok().filter(fits) {
            self.name_offsets.entry(name.to_owned()).or_insert(offset);
        }
    }

    fn write_u16(&mut self, number: u16) {
        self.bytes.extend(number.to_be_bytes());
    }

    /// Writes a name, compressed by a pointer to its longest suffix that the message has already.
    fn write_name(&mut self, name: &str) {
        let mut rest = name;
        while !rest.is_empty() {
            if let Some(offset) = self.name_offsets.get(rest) {
                return self.write_u16(POINTER_MARK | offset);
            }
            self.register_name(rest, self.bytes.len());
            let (label, after) = rest.split_once('.').unwrap_or((rest, ""));
            self.write_character_string(label.as_bytes());
            rest = after;
        }
        self.bytes.push(0);
    }

    /// Writes a label or a character string of a TXT record: a length byte and the bytes, of which there are
    /// at most 63 or 255.
    fn write_character_string(&mut self, text: &[u8]) {
        let length = u8::try_from(text.len()).unwrap_or(u8::MAX);
        self.bytes.push(length);
        self.bytes.extend(&text[..usize::from(length)]);
    }

    /// Writes a resource record whose data `write_data` appends.
    fn write_record(&mut self, owner: &str, record_type: RecordType, write_data: impl FnOnce(&mut Self)) {
        self.write_name(owner);
        self.write_u16(record_type as u16);
        self.write_u16(CLASS_IN);
        self.bytes.extend(TIME_TO_LIVE_SECONDS.to_be_bytes());
        let length_offset = self.bytes.len();
        self.write_u16(0);
        write_data(self);
        // A record's data is at most a few hundred bytes long.
        let length = u16::try_from(self.bytes.len() - length_offset - 2).unwrap_or(u16::MAX);
        self.bytes[length_offset..length_offset + 2].copy_from_slice(&length.to_be_bytes());
    }

    fn write_srv(&mut self, owner: &str, switch: &ListedSwitch) {
        let priority = if switch.draining { PRIORITY_DRAINING } else { PRIORITY_READY };
        self.write_record(owner, RecordType::Srv, |writer| {
            writer.write_u16(priority);
            writer.write_u16(SRV_WEIGHT);
            writer.write_u16(switch.address.port());
            writer.write_name(&switch.host_name());
        });
    }

    fn write_soa(&mut self, serial: u32) {
        self.write_record("cluster.lan", RecordType::Soa, |writer| {
            writer.write_name("ns.cluster.lan");
            writer.write_name("admin.cluster.lan");
            writer.bytes.extend(serial.to_be_bytes());
            writer.bytes.extend([0; SOA_TIMES_BYTES]);
        });
    }

    /// Writes the address and the text records of a core switch's host name.
    fn write_host(&mut self, switch: &ListedSwitch) {
        let host = switch.host_name();
        let address = match switch.address {
            SocketAddr::V4(address) => *address.ip(),
            SocketAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        };
        self.write_record(&host, RecordType::A, |writer| writer.bytes.extend(address.octets()));
        let texts = [
            "kind=std".to_owned(),
            format!("cell={}", switch.cell),
            format!("started={}", switch.started_unix_ms),
        ];
        self.write_record(&host, RecordType::Txt, |writer| {
            texts.iter().for_each(|text| writer.write_character_string(text.as_bytes()))
        });
    }
}

/// Encodes the name server's answer to a query made by [`fawnrouter_dns::query`]: the whole list (RFC 1035
/// §4.1), with names compressed as far as pointers reach (§4.1.4). Bytes that are too short to be a query get
/// an empty answer. Core switches beyond the number that the message's record counts can hold are left out
/// with all their records.
#[must_use]
pub fn encode_list_answer(query: &[u8], serial: u32, switches: &[ListedSwitch]) -> Vec<u8> {
    if query.len() <= HEADER_BYTES {
        return Vec::new();
    }
    let switches = &switches[..switches.len().min(MAX_LISTED_SWITCHES)];
    let count = u16::try_from(switches.len()).unwrap_or(u16::MAX);
    let mut writer = MessageWriter::answering(query, [count, 1, 2 * count]);
    for switch in switches {
        writer.write_srv(fawnrouter_node::LIST_DNS_NAME, switch);
    }
    writer.write_soa(serial);
    for switch in switches {
        writer.write_host(switch);
    }
    writer.bytes
}

/// What differs between the configurations of gateways: identity, addresses and limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayParameters {
    /// Name of the gateway.
    pub name: String,
    /// Address on which it accepts clients.
    pub listen: SocketAddr,
    /// Address of the name server that it queries for the list.
    pub nameserver: SocketAddr,
    /// Seed of all its random numbers.
    pub seed: u64,
    /// Gateways in front of the same core switches, itself included.
    pub gateways: u32,
    /// Its number among these gateways, from 0.
    pub number: u32,
    /// File descriptors that it may have open.
    pub descriptors: u32,
}

/// An entry of the list that the configuration holds.
fn known_instance(switch: &ListedSwitch) -> Value {
    json!({
        "instanceId": switch.id,
        "hostPort": switch.address.to_string(),
        "zone": switch.zone,
        "machineType": "std",
        "cell": switch.cell,
        "lifecycle": if switch.draining { "Terminating" } else { "Ready" },
        "weight": 1,
        "startedAtMs": switch.started_unix_ms,
    })
}

/// The platform's configuration of a gateway: one class of call, `voice`, and `switches` as the initial list.
#[must_use]
pub fn gateway_configuration(gateway: &GatewayParameters, serial: u32, switches: &[ListedSwitch]) -> Value {
    let instances: Vec<Value> = switches.iter().map(known_instance).collect();
    let fleet = json!({"generation": serial, "reset": true, "instances": instances});
    json!({
        "name": gateway.name,
        "listen": gateway.listen.to_string(),
        "seed": format!("{:016x}", gateway.seed),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": gateway.descriptors},
        "nameserver": gateway.nameserver.to_string(),
        "known": {"seq": serial, "results": [{"seq": serial, "fleet": fleet}]},
        "settings": settings(gateway),
    })
}

fn settings(gateway: &GatewayParameters) -> Value {
    json!({
        "balancers": gateway.gateways,
        "me": gateway.number,
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
