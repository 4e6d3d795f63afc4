//! Admission of connections and set-ups.

use std::net::IpAddr;
use std::sync::Arc;

use fawnrouter_admission::{
    AdmissionSettings, ClientLimits, PrefixLengths, Rate, ReserveSettings, SetUpSettings,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{ClientEntry, Clients, Limits, Settings, milliseconds};
use crate::document::FieldError;

/// Which connections are accepted when too many clients connect. `limits.connections` is the number of
/// places.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Admission {
    /// Most connections per address.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub per_address: usize,
    /// Most connections per network.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub per_network: usize,
    /// Prefix length that defines the network of an IPv4 address.
    #[schemars(range(max = 32))]
    pub network_bits_v4: u8,
    /// Prefix length that defines the network of an IPv6 address.
    #[schemars(range(max = 128))]
    pub network_bits_v6: u8,
    /// Networks with a cap of their own, for example offices behind one address.
    #[schemars(length(max = 10_000))]
    pub exceptions: Vec<NetworkCap>,
    /// New connections per second and address.
    #[schemars(range(min = 0.001, max = 1e6))]
    pub rate_per_s: f64,
    /// Most new connections of one address in one burst.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub burst: u32,
    /// Number of addresses whose rate is tracked exactly; about 200 bytes each.
    #[schemars(range(min = 16, max = 10_000_000))]
    pub addresses: usize,
    /// Most unfinished handshakes, over all addresses.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub handshakes: usize,
    /// Most unfinished handshakes per address.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub handshakes_per_address: usize,
    /// Networks of trusted proxies, whose statement of a connection's origin (RFC 7239) is accepted.
    #[schemars(length(max = 1000))]
    pub forwarders: Vec<Network>,
    /// An unknown client's connection without calls is closed after being idle this long; 0: never.
    #[schemars(range(max = 86_400_000))]
    pub idle_ms: u64,
    /// A connection without calls is closed if it reads none of its waiting bytes for this long; 0: never.
    #[schemars(range(max = 3_600_000))]
    pub slow_reader_ms: u64,
    /// Messages per second on an unknown client's connection; beyond this the connection is read more slowly.
    #[schemars(range(min = 0.1, max = 1e6))]
    pub messages_per_s: f64,
    /// Messages per second on a known client's connection.
    #[schemars(range(min = 0.1, max = 1e6))]
    pub known_messages_per_s: f64,
    /// Places reserved for known clients; there are none without a section `clients`.
    pub reserve: Reserve,
    /// Order and limits of set-ups under overload.
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

/// A network with its own cap on connections.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NetworkCap {
    /// Any address of the network.
    pub address: IpAddr,
    /// Its prefix length.
    #[schemars(range(max = 128))]
    pub bits: u8,
    /// Most connections of the network.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub connections: usize,
}

/// A network, or a single address.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// Any address of the network.
    pub address: IpAddr,
    /// Its prefix length; if left out, the address alone.
    #[serde(default)]
    #[schemars(range(max = 128))]
    pub bits: Option<u8>,
}

impl Network {
    fn prefix_length(&self) -> u8 {
        self.bits.unwrap_or(if self.address.is_ipv4() { 32 } else { 128 })
    }
}

/// Places that only known clients may use. Their number follows the number of connections that known clients
/// hold, within bounds.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Reserve {
    /// Smallest reserve, as a fraction of `limits.connections`.
    #[schemars(range(min = 0.0, max = 0.95))]
    pub least_share: f64,
    /// Largest reserve, as a fraction of `limits.connections`.
    #[schemars(range(min = 0.0, max = 0.95))]
    pub most_share: f64,
    /// Reserved places beyond the connections that known clients hold, as a fraction of those.
    #[schemars(range(min = 0.0, max = 10.0))]
    pub headroom: f64,
    /// Time in which the reserve halves its distance to its target.
    #[schemars(range(min = 1, max = 86_400_000))]
    pub half_life_ms: u64,
}

impl Default for Reserve {
    fn default() -> Self {
        Self { least_share: 0.2, most_share: 0.8, headroom: 0.25, half_life_ms: 600_000 }
    }
}

/// Limits of a known client, unless its own entry sets others.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "ClientPlan")]
pub struct KnownClientDefaults {
    /// Most connections at once.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub connections: usize,
    /// Set-ups per turn, when clients take turns: its share relative to the other clients.
    #[schemars(range(min = 1, max = 1000))]
    pub weight: u32,
    /// Most set-ups per second.
    #[schemars(range(min = 0.001, max = 1e6))]
    pub rate_per_s: f64,
    /// Most set-ups in one burst.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub burst: u32,
    /// Most calls without a final answer.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub pending: usize,
    /// Most calls in total.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub calls: usize,
}

impl Default for KnownClientDefaults {
    fn default() -> Self {
        Self { connections: 100, weight: 1, rate_per_s: 500.0, burst: 500, pending: 2000, calls: 10_000 }
    }
}

impl KnownClientDefaults {
    /// The limits of a client: those of its entry, and these defaults for the rest.
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

/// Limits of unknown clients, per address and all together.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "StrangerPlan")]
pub struct UnknownClientLimits {
    /// Set-ups per turn of all unknown clients together, which take turns as if they were one known client.
    #[schemars(range(min = 1, max = 1000))]
    pub weight: u32,
    /// Most set-ups per second of all unknown clients; if left out, as many as there is room for.
    #[schemars(range(min = 0.001, max = 1e6))]
    pub all_per_s: Option<f64>,
    /// Of the set-ups that the routing decisions may hold, the fraction that may belong to unknown clients.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub held_share: f64,
    /// Most set-ups per second and address.
    #[schemars(range(min = 0.001, max = 1e6))]
    pub rate_per_s: f64,
    /// Most set-ups of one address in one burst.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub burst: u32,
    /// Most calls per address without a final answer.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub pending: usize,
    /// Most calls per address in total.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub calls: usize,
}

impl Default for UnknownClientLimits {
    fn default() -> Self {
        let (rate_per_s, burst, pending, calls) = (100.0, 200, 500, 5000);
        Self { weight: 1, all_per_s: None, held_share: 0.25, rate_per_s, burst, pending, calls }
    }
}

/// Order and limits of set-ups when more arrive than can be sent.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "SetUpsPlan")]
pub struct SetUpScheduling {
    /// Limits of known clients, unless their own entries set others.
    pub known: KnownClientDefaults,
    /// Limits of unknown clients.
    pub strangers: UnknownClientLimits,
    /// Number of set-ups that the routing decisions may always hold, whatever the rate of sending.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub held_least: usize,
    /// Beyond that they may hold as many as are sent in this time; the others wait for their clients' turns.
    #[schemars(range(min = 0, max = 60_000))]
    pub held_ms: u64,
    /// Most set-ups that wait for their turn.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub waiting: usize,
    /// Longest time that a set-up waits for its turn.
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
    /// Adds the errors that the schema cannot express.
    pub(super) fn collect_errors(
        &self,
        limits: &Limits,
        clients: Option<&Clients>,
        errors: &mut Vec<FieldError>,
    ) {
        let mut add = |pointer: String, message: &str| errors.push(FieldError::new(pointer, message));
        for (n, cap) in self.exceptions.iter().enumerate() {
            if cap.address.is_ipv4() && cap.bits > 32 {
                let pointer = format!("/admission/exceptions/{n}/bits");
                add(pointer, "is beyond the 32 bits of an IPv4 address; lower it");
            }
        }
        for (n, network) in self.forwarders.iter().enumerate() {
            if network.address.is_ipv4() && network.prefix_length() > 32 {
                let pointer = format!("/admission/forwarders/{n}/bits");
                add(pointer, "is beyond the 32 bits of an IPv4 address; lower it");
            }
        }
        if self.reserve.least_share > self.reserve.most_share {
            add("/admission/reserve/least_share".into(), "is beyond most_share; lower it");
        }
        let reserve = self.reserve_settings(limits, clients);
        if reserve.max.max(reserve.min) >= limits.connections {
            add("/admission/reserve".into(), "takes all of limits.connections; lower its shares");
        }
    }

    fn reserve_settings(&self, limits: &Limits, clients: Option<&Clients>) -> ReserveSettings {
        let places = |share: f64| (share * limits.connections as f64) as usize;
        // Without known clients no places are reserved.
        let (least, most) = match clients {
            Some(_) => (places(self.reserve.least_share), places(self.reserve.most_share)),
            None => (0, 0),
        };
        ReserveSettings {
            min: least,
            max: most,
            headroom: self.reserve.headroom,
            half_life: milliseconds(self.reserve.half_life_ms),
        }
    }
}

impl Settings {
    /// Settings of the admission of connections, if it is on.
    #[must_use]
    pub fn admission_settings(&self, seed: u64) -> Option<AdmissionSettings> {
        let admission = self.admission.as_ref()?;
        Some(AdmissionSettings {
            total: self.limits.connections,
            per_address: admission.per_address,
            per_network: admission.per_network,
            prefixes: PrefixLengths { v4: admission.network_bits_v4, v6: admission.network_bits_v6 },
            exceptions: admission.exceptions.iter().map(|e| (e.address, e.bits, e.connections)).collect(),
            rate: Rate::per_second(admission.rate_per_s, admission.burst),
            tracked_addresses: admission.addresses,
            handshakes: admission.handshakes,
            handshakes_per_address: admission.handshakes_per_address,
            forwarders: admission.forwarders.iter().map(|n| (n.address, n.prefix_length())).collect(),
            probation_time: milliseconds(self.clients.as_ref().map_or(0, |c| c.prove_ms)),
            idle_timeout: milliseconds(admission.idle_ms),
            slow_reader_timeout: milliseconds(admission.slow_reader_ms),
            // The burst is one second's worth.
            message_rates: (
                Rate::per_second(admission.messages_per_s, admission.messages_per_s as u32),
                Rate::per_second(admission.known_messages_per_s, admission.known_messages_per_s as u32),
            ),
            reserve: admission.reserve_settings(&self.limits, self.clients.as_ref()),
            per_client: admission.set_ups.known.connections,
            retry_after: milliseconds(self.limits.retry_after_ms),
            seed,
        })
    }

    /// Settings of the queue of set-ups, if admission is on.
    #[must_use]
    pub fn set_up_settings(&self, seed: u64) -> Option<SetUpSettings> {
        let admission = self.admission.as_ref()?;
        let (plan, strangers) = (&admission.set_ups, &admission.set_ups.strangers);
        Some(SetUpSettings {
            known: plan.known.limits(None),
            unknown: ClientLimits {
                weight: 1,
                rate: Rate::per_second(strangers.rate_per_s, strangers.burst),
                pending: strangers.pending,
                calls: strangers.calls,
            },
            unknown_weight: strangers.weight,
            // The burst is one second's worth.
            unknown_rate: strangers.all_per_s.map(|rate| Rate::per_second(rate, rate as u32)),
            // Without known clients, unknown ones may use everything.
            unknown_share: if self.clients.is_some() { strangers.held_share } else { 1.0 },
            min_routing: plan.held_least,
            routing_span: milliseconds(plan.held_ms),
            max_waiting: plan.waiting,
            max_wait: milliseconds(plan.wait_ms),
            tracked_addresses: admission.addresses,
            retry_after: milliseconds(self.limits.retry_after_ms),
            seed,
        })
    }

    /// Limits on the connections of those known clients whose entries set one.
    #[must_use]
    pub fn client_connection_limits(&self, clients: &[ClientEntry]) -> Vec<(Arc<str>, usize)> {
        clients.iter().filter_map(|c| c.connections.map(|n| (c.name.as_str().into(), n))).collect()
    }

    /// Limits on the set-ups of a known client.
    pub(super) fn client_limits(&self, client: &ClientEntry) -> ClientLimits {
        let plan = self.admission.as_ref().map(|a| a.set_ups.known.clone()).unwrap_or_default();
        plan.limits(Some(client))
    }
}
