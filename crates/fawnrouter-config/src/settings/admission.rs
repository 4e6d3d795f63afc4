//! Admission: who gets in, and whose set-up is next.

use std::net::IpAddr;
use std::sync::Arc;

use fawnrouter_admission::{
    AdmissionSettings, ClientLimits, PrefixLengths, Rate, ReserveSettings, SetUpSettings,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{ClientEntry, Clients, Limits, Settings, ms};
use crate::document::FieldError;

/// Who gets in when too many connect. `limits.connections` is the number of places.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Admission {
    /// Connections of one address.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub per_address: usize,
    /// Connections of one network.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub per_network: usize,
    /// Leading bits of an IPv4 address that make its network.
    #[schemars(range(max = 32))]
    pub network_bits_v4: u8,
    /// Leading bits of an IPv6 address that make its network.
    #[schemars(range(max = 128))]
    pub network_bits_v6: u8,
    /// Networks with a cap of their own, as offices behind one address need it.
    #[schemars(length(max = 10_000))]
    pub exceptions: Vec<NetworkCap>,
    /// New connections a second of one address.
    #[schemars(range(min = 0.001, max = 1e6))]
    pub rate_per_s: f64,
    /// New connections of one address that may come at once.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub burst: u32,
    /// Addresses whose rate is kept exactly; about 200 bytes each.
    #[schemars(range(min = 16, max = 10_000_000))]
    pub addresses: usize,
    /// Handshakes under way, of all addresses.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub handshakes: usize,
    /// Handshakes under way of one address.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub handshakes_per_address: usize,
    /// Forwarders that are believed when they say where a connection comes from (RFC 7239): networks.
    #[schemars(length(max = 1000))]
    pub forwarders: Vec<Network>,
    /// A stranger without a call that does nothing for this long is closed; 0: never.
    #[schemars(range(max = 86_400_000))]
    pub idle_ms: u64,
    /// A connection without a call that takes none of the bytes that wait for it for this long is closed; 0: never.
    #[schemars(range(max = 3_600_000))]
    pub slow_reader_ms: u64,
    /// Messages a second of a stranger's connection; beyond it the connection is read more slowly.
    #[schemars(range(min = 0.1, max = 1e6))]
    pub messages_per_s: f64,
    /// Messages a second of a known client's connection.
    #[schemars(range(min = 0.1, max = 1e6))]
    pub known_messages_per_s: f64,
    /// Places that only known clients may use; without a section `clients` there are none.
    pub reserve: Reserve,
    /// Whose set-up is next.
    pub set_ups: SetUpScheduling,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            per_address: 200,
            per_network: 2000,
            network_bits_v4: 24,
            network_bits_v6: 64,
            exceptions: Vec::new(),
            rate_per_s: 20.0,
            burst: 100,
            addresses: 100_000,
            handshakes: 500,
            handshakes_per_address: 50,
            forwarders: Vec::new(),
            idle_ms: 0,
            slow_reader_ms: 10_000,
            messages_per_s: 200.0,
            known_messages_per_s: 5000.0,
            reserve: Reserve::default(),
            set_ups: SetUpScheduling::default(),
        }
    }
}

/// A network with a cap of its own.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NetworkCap {
    /// An address in it.
    pub address: IpAddr,
    /// Its leading bits.
    #[schemars(range(max = 128))]
    pub bits: u8,
    /// Connections of it.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub connections: usize,
}

/// A network.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// An address in it.
    pub address: IpAddr,
    /// Its leading bits; left out, the address alone.
    #[serde(default)]
    #[schemars(range(max = 128))]
    pub bits: Option<u8>,
}

impl Network {
    fn bits(&self) -> u8 {
        self.bits.unwrap_or(if self.address.is_ipv4() { 32 } else { 128 })
    }
}

/// Places that only known clients may use. They follow what known clients hold, within bounds.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Reserve {
    /// It is never smaller, as a share of `limits.connections`.
    #[schemars(range(min = 0.0, max = 0.95))]
    pub least_share: f64,
    /// It is never larger, as a share of `limits.connections`.
    #[schemars(range(min = 0.0, max = 0.95))]
    pub most_share: f64,
    /// Room beyond what known clients hold, as a share of that.
    #[schemars(range(min = 0.0, max = 10.0))]
    pub headroom: f64,
    /// It halves its distance to what is held in this time.
    #[schemars(range(min = 1, max = 86_400_000))]
    pub half_life_ms: u64,
}

impl Default for Reserve {
    fn default() -> Self {
        Self { least_share: 0.2, most_share: 0.8, headroom: 0.25, half_life_ms: 600_000 }
    }
}

/// What one known client may do, where its own line does not say otherwise.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "ClientPlan")]
pub struct KnownClientDefaults {
    /// Connections.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub connections: usize,
    /// Set-ups in one turn, against other clients.
    #[schemars(range(min = 1, max = 1000))]
    pub weight: u32,
    /// Set-ups a second.
    #[schemars(range(min = 0.001, max = 1e6))]
    pub rate_per_s: f64,
    /// Set-ups at once.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub burst: u32,
    /// Calls without a final answer.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub pending: usize,
    /// Calls in all.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub calls: usize,
}

impl Default for KnownClientDefaults {
    fn default() -> Self {
        Self { connections: 100, weight: 1, rate_per_s: 500.0, burst: 500, pending: 2000, calls: 10_000 }
    }
}

impl KnownClientDefaults {
    /// A client's limits: its own where its line has them.
    pub(super) fn limits(&self, own: Option<&ClientEntry>) -> ClientLimits {
        let rate_per_s = own.and_then(|o| o.rate_per_s).unwrap_or(self.rate_per_s);
        let burst = own.and_then(|o| o.burst).unwrap_or(self.burst);
        ClientLimits {
            weight: own.and_then(|o| o.weight).unwrap_or(self.weight),
            rate: Rate::per_second(rate_per_s, burst),
            pending: own.and_then(|o| o.pending).unwrap_or(self.pending),
            calls: own.and_then(|o| o.calls).unwrap_or(self.calls),
        }
    }
}

/// What one address of strangers may do, and all of them together.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "StrangerPlan")]
pub struct UnknownClientLimits {
    /// Set-ups of all strangers in one turn, against one known client's.
    #[schemars(range(min = 1, max = 1000))]
    pub weight: u32,
    /// Set-ups a second of all strangers; left out: as many as there is room for.
    #[schemars(range(min = 0.001, max = 1e6))]
    pub all_per_s: Option<f64>,
    /// Of what the decisions on routes may hold, the share that may be strangers'.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub held_share: f64,
    /// Set-ups a second of one address.
    #[schemars(range(min = 0.001, max = 1e6))]
    pub rate_per_s: f64,
    /// Set-ups at once of one address.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub burst: u32,
    /// Calls of one address without a final answer.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub pending: usize,
    /// Calls of one address in all.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub calls: usize,
}

impl Default for UnknownClientLimits {
    fn default() -> Self {
        let (rate_per_s, burst, pending, calls) = (100.0, 200, 500, 5000);
        Self { weight: 1, all_per_s: None, held_share: 0.25, rate_per_s, burst, pending, calls }
    }
}

/// Whose set-up is next, when more come than are sent.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "SetUpsPlan")]
pub struct SetUpScheduling {
    /// Known clients, where their own lines do not say otherwise.
    pub known: KnownClientDefaults,
    /// Strangers.
    pub strangers: UnknownClientLimits,
    /// Set-ups that the decisions on routes may hold, whatever is sent.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub held_least: usize,
    /// Beyond that they may hold what is sent in this time; others wait for their clients' turns.
    #[schemars(range(min = 0, max = 60_000))]
    pub held_ms: u64,
    /// Set-ups that may wait.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub waiting: usize,
    /// The longest that one waits.
    #[schemars(range(min = 1, max = 60_000))]
    pub wait_ms: u64,
}

impl Default for SetUpScheduling {
    fn default() -> Self {
        Self {
            known: KnownClientDefaults::default(),
            strangers: UnknownClientLimits::default(),
            held_least: 32,
            held_ms: 500,
            waiting: 10_000,
            wait_ms: 1500,
        }
    }
}

impl Admission {
    /// What the schema can't see.
    pub(super) fn faults(&self, limits: &Limits, clients: Option<&Clients>, faults: &mut Vec<FieldError>) {
        let mut fault = |pointer: String, text: &str| faults.push(FieldError::new(pointer, text));
        for (n, cap) in self.exceptions.iter().enumerate() {
            if cap.address.is_ipv4() && cap.bits > 32 {
                let pointer = format!("/admission/exceptions/{n}/bits");
                fault(pointer, "is beyond the 32 bits of an IPv4 address; lower it");
            }
        }
        for (n, network) in self.forwarders.iter().enumerate() {
            if network.address.is_ipv4() && network.bits() > 32 {
                let pointer = format!("/admission/forwarders/{n}/bits");
                fault(pointer, "is beyond the 32 bits of an IPv4 address; lower it");
            }
        }
        if self.reserve.least_share > self.reserve.most_share {
            fault("/admission/reserve/least_share".into(), "is beyond most_share; lower it");
        }
        let reserve = self.reserve_settings(limits, clients);
        if reserve.max.max(reserve.min) >= limits.connections {
            fault("/admission/reserve".into(), "takes all of limits.connections; lower its shares");
        }
    }

    fn reserve_settings(&self, limits: &Limits, clients: Option<&Clients>) -> ReserveSettings {
        let part = |share: f64| (share * limits.connections as f64) as usize;
        // Without known clients there is nobody to keep places for.
        let (least, most) = match clients {
            Some(_) => (part(self.reserve.least_share), part(self.reserve.most_share)),
            None => (0, 0),
        };
        ReserveSettings {
            min: least,
            max: most,
            headroom: self.reserve.headroom,
            half_life: ms(self.reserve.half_life_ms),
        }
    }
}

impl Settings {
    /// The settings of the admission of connections, if it is on.
    #[must_use]
    pub fn admission_settings(&self, seed: u64) -> Option<AdmissionSettings> {
        let a = self.admission.as_ref()?;
        Some(AdmissionSettings {
            total: self.limits.connections,
            per_address: a.per_address,
            per_prefix: a.per_network,
            prefixes: PrefixLengths { v4: a.network_bits_v4, v6: a.network_bits_v6 },
            exceptions: a.exceptions.iter().map(|e| (e.address, e.bits, e.connections)).collect(),
            rate: Rate::per_second(a.rate_per_s, a.burst),
            tracked_addresses: a.addresses,
            handshakes: a.handshakes,
            handshakes_per_address: a.handshakes_per_address,
            forwarders: a.forwarders.iter().map(|n| (n.address, n.bits())).collect(),
            probation_time: ms(self.clients.as_ref().map_or(0, |c| c.prove_ms)),
            idle_timeout: ms(a.idle_ms),
            slow_reader_timeout: ms(a.slow_reader_ms),
            // A second's worth may come at once.
            message_rates: (
                Rate::per_second(a.messages_per_s, a.messages_per_s as u32),
                Rate::per_second(a.known_messages_per_s, a.known_messages_per_s as u32),
            ),
            reserve: a.reserve_settings(&self.limits, self.clients.as_ref()),
            per_client: a.set_ups.known.connections,
            retry_after: ms(self.limits.retry_after_ms),
            seed,
        })
    }

    /// The settings of the queue of set-ups, if admission is on.
    #[must_use]
    pub fn set_up_settings(&self, seed: u64) -> Option<SetUpSettings> {
        let a = self.admission.as_ref()?;
        let (plan, strangers) = (&a.set_ups, &a.set_ups.strangers);
        Some(SetUpSettings {
            known: plan.known.limits(None),
            unknown: ClientLimits {
                weight: 1,
                rate: Rate::per_second(strangers.rate_per_s, strangers.burst),
                pending: strangers.pending,
                calls: strangers.calls,
            },
            unknown_weight: strangers.weight,
            // A second's worth may come at once.
            unknown_rate: strangers.all_per_s.map(|rate| Rate::per_second(rate, rate as u32)),
            // Where nobody is known, strangers have all there is.
            unknown_share: if self.clients.is_some() { strangers.held_share } else { 1.0 },
            min_routing: plan.held_least,
            routing_span: ms(plan.held_ms),
            max_waiting: plan.waiting,
            max_wait: ms(plan.wait_ms),
            tracked_addresses: a.addresses,
            retry_after: ms(self.limits.retry_after_ms),
            seed,
        })
    }

    /// Connections of each known client that has a limit of its own.
    #[must_use]
    pub fn client_connection_limits(&self, clients: &[ClientEntry]) -> Vec<(Arc<str>, usize)> {
        clients.iter().filter_map(|c| c.connections.map(|n| (c.name.as_str().into(), n))).collect()
    }

    /// A known client's limits on set-ups.
    pub(super) fn client_limits(&self, client: &ClientEntry) -> ClientLimits {
        let plan = self.admission.as_ref().map(|a| a.set_ups.known.clone()).unwrap_or_default();
        plan.limits(Some(client))
    }
}
