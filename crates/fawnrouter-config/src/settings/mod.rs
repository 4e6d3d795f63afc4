//! The sections of the settings. Times are whole milliseconds, sizes are bytes. A section that belongs to one
//! subsystem is in a module of its own, together with its conversion to the settings of that subsystem.

mod admission;
mod clients;
mod zones;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use fawnrouter_engine::fawnrouter as module;
use fawnrouter_engine::{
    BackoffSettings, CallMatch, CallRule, CallRules, EngineSettings, IntakeLimits, PoolChoice,
};
use module::{Cell, ClassId, PeerId, TenantId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use admission::{
    Admission, KnownClientDefaults, Network, NetworkCap, Reserve, SetUpScheduling, UnknownClientLimits,
};
pub use clients::{ClientEntry, ClientFile, Clients, Control, UnknownClientPolicy, read_clients};
pub use zones::{CrossZoneBudget, CrossZoneRouting, Window, ZonePairCost};

use crate::document::FieldError;

/// All settings of one gateway.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This gateway's place among the others.
    pub gateway: Gateway,
    /// Where and how clients connect.
    pub listen: Listen,
    /// The source of the list of switches.
    pub switches: Switches,
    /// Classes of call, in any order; the rules under `calls` refer to them by name.
    #[schemars(length(min = 1, max = 64))]
    pub classes: Vec<Class>,
    /// Tenants that share the service.
    #[serde(default)]
    #[schemars(length(max = 1024))]
    pub tenants: Vec<Tenant>,
    /// Worth of a call beyond its tenant's quota, as a fraction of its usual worth.
    #[serde(default = "default_one")]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub over_share_worth: f64,
    /// How calls are assigned to classes, tenants and pools.
    #[serde(default)]
    pub calls: CallClassification,
    /// Parameters of the routing rules.
    #[serde(default)]
    pub rules: RoutingRules,
    /// Limits on connections, calls, messages and buffers.
    #[serde(default)]
    pub limits: Limits,
    /// Admission of connections and set-ups under overload; if left out, only `limits.connections` applies.
    #[serde(default)]
    pub admission: Option<Admission>,
    /// Clients known by name; if left out, no client is asked to authenticate.
    #[serde(default)]
    pub clients: Option<Clients>,
    /// Traffic across zones; if left out, all switches count as equally near.
    #[serde(default)]
    pub zones: Option<CrossZoneRouting>,
    /// Where the running gateway takes operators' commands; if left out, it takes none.
    #[serde(default)]
    pub control: Option<Control>,
    /// Connections to switches.
    #[serde(default)]
    pub trunk: Trunk,
    /// What is logged.
    #[serde(default)]
    pub log: Log,
    /// How the gateway shuts down.
    #[serde(default)]
    pub drain: Drain,
}

/// This gateway's place among the others.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Its number, counted from 0.
    pub number: u32,
    /// Number of gateways that share the switches; each takes its share of limited capacity by it.
    #[schemars(range(min = 1, max = 100_000))]
    pub count: u32,
    /// Host, with an optional port, that it writes into Via and Contact.
    #[serde(default = "default_host")]
    #[schemars(length(min = 1, max = 255))]
    pub host: String,
    /// Seed of all random numbers; if left out, each start draws its own.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// Where and how clients connect.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address and port; port 0 takes a free port, which the `ready` line names.
    pub address: SocketAddr,
    /// Path of the WebSocket endpoint.
    #[serde(default = "default_path")]
    #[schemars(length(min = 1, max = 255))]
    pub path: String,
    /// Origins of web pages that may connect; empty: all. Clients that send no Origin are always accepted.
    #[serde(default)]
    #[schemars(length(max = 256))]
    pub origins: Vec<String>,
    /// Timeout of the handshake.
    #[serde(default = "default_handshake_ms")]
    #[schemars(range(min = 10, max = 600_000))]
    pub handshake_ms: u64,
    /// A connection silent for this long is pinged; if it stays silent for as long again, it is closed.
    #[serde(default = "default_ping_ms")]
    #[schemars(range(min = 100, max = 3_600_000))]
    pub ping_ms: u64,
}

/// The source of the list of switches.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Switches {
    /// A YAML file with the list `switches`. Relative paths are resolved from the folder of the settings
    /// file.
    pub file: PathBuf,
    /// Interval at which the file is polled for changes.
    #[serde(default = "default_poll_ms")]
    #[schemars(range(min = 10, max = 60_000))]
    pub poll_ms: u64,
}

/// A class of call.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name, which rules refer to.
    #[schemars(length(min = 1, max = 128))]
    pub name: String,
    /// A call established within this time has its full worth.
    #[schemars(range(min = 1, max = 600_000))]
    pub aim_ms: u64,
    /// How long a caller keeps trying; applies to an INVITE without Expires.
    #[schemars(range(min = 1, max = 600_000))]
    pub deadline_ms: u64,
    /// Worth of an established call.
    #[serde(default = "default_one")]
    #[schemars(range(min = 0.0, max = 1e6))]
    pub points: f64,
    /// Fraction of the worth that is left after `aim_ms`.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub late_share: f64,
    /// Pools that may take its calls; empty: all.
    #[serde(default)]
    #[schemars(length(max = 4096))]
    pub pools: Vec<u32>,
}

/// A tenant with its share of the capacity.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name, which rules refer to.
    #[schemars(length(min = 1, max = 128))]
    pub name: String,
    /// Calls per second within its quota, over all gateways; if left out, it has no quota.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub quota_per_s: Option<f64>,
}

/// Rules that assign calls to classes, tenants and pools. In each list the first matching rule applies.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Calls")]
pub struct CallClassification {
    /// Rules for the class; calls without a matching rule get the first class.
    #[serde(default)]
    #[schemars(length(max = 10_000))]
    pub class: Vec<ClassRule>,
    /// Rules for the tenant; calls without a matching rule have none.
    #[serde(default)]
    #[schemars(length(max = 10_000))]
    pub tenant: Vec<TenantRule>,
    /// Rules for the pool of first choice; calls without a matching rule are spread over `spread` by number.
    #[serde(default)]
    #[schemars(length(max = 10_000))]
    pub pool: Vec<PoolRule>,
    /// Pools over which calls without a pool rule are spread.
    #[serde(default)]
    #[schemars(length(max = 4096))]
    pub spread: Vec<u32>,
}

/// Condition of a rule: a call must match every field that is given.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "When")]
pub struct CallCondition {
    /// The number called begins with this.
    #[serde(default)]
    pub number_prefix: Option<String>,
    /// Host of the request-URI.
    #[serde(default)]
    pub host: Option<String>,
    /// Host of the From URI.
    #[serde(default)]
    pub from_host: Option<String>,
    /// Trunk group given by the caller (RFC 4904 `tgrp`).
    #[serde(default)]
    pub trunk_group: Option<String>,
    /// A header field with this value.
    #[serde(default)]
    pub header: Option<NameValue>,
    /// A parameter of the request-URI with this value.
    #[serde(default)]
    pub uri_param: Option<NameValue>,
}

/// A name with the value to match.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NameValue {
    /// Name of the header field or parameter.
    #[schemars(length(min = 1, max = 128))]
    pub name: String,
    /// The value; case is ignored.
    pub value: String,
}

/// A rule that assigns a class.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClassRule {
    /// Calls that the rule applies to.
    #[serde(default)]
    pub when: CallCondition,
    /// The assigned class, a name under `classes`.
    pub class: String,
}

/// A rule that assigns a tenant.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TenantRule {
    /// Calls that the rule applies to.
    #[serde(default)]
    pub when: CallCondition,
    /// The assigned tenant, a name under `tenants`.
    pub tenant: String,
}

/// A rule that assigns the pool of first choice.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PoolRule {
    /// Calls that the rule applies to.
    #[serde(default)]
    pub when: CallCondition,
    /// The assigned pool.
    pub pool: u32,
}

/// Parameters of the routing rules.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Rules")]
pub struct RoutingRules {
    /// Set-ups stop going to a draining or gone switch within this time.
    #[schemars(range(max = 600_000))]
    pub drain_grace_ms: u64,
    /// Least fraction of its capacity that a cold switch starts with.
    #[schemars(range(min = 0.01, max = 1.0))]
    pub cold_from: f64,
    /// Longest time until a started switch is warm.
    #[schemars(range(max = 3_600_000))]
    pub cold_ms: u64,
    /// A cold switch that receives more than this multiple of its present capacity for `fall_ms` fails.
    #[schemars(range(min = 1.0, max = 100.0))]
    pub fall_multiple: f64,
    /// How long a cold switch withstands more than `fall_multiple` times its capacity.
    #[schemars(range(min = 1, max = 600_000))]
    pub fall_ms: u64,
    /// After a timeout, reset or cancel of an attempt, the call is not attempted again for this long.
    #[schemars(range(max = 60_000))]
    pub release_guard_ms: u64,
    /// Most attempts per call.
    #[schemars(range(min = 1, max = 100))]
    pub max_attempts: u32,
    /// Longest Retry-After given to callers.
    #[schemars(range(max = 600_000))]
    pub max_retry_after_ms: u64,
}

impl Default for RoutingRules {
    fn default() -> Self {
        Self {
            drain_grace_ms: 1000,
            cold_from: 0.3,
            cold_ms: 14_000,
            fall_multiple: 3.0,
            fall_ms: 1000,
            release_guard_ms: 300,
            max_attempts: 5,
            max_retry_after_ms: 2000,
        }
    }
}

/// Limits on connections, calls, messages and buffers. At a limit the gateway answers 503 with Retry-After,
/// or closes with code 1013.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Most client connections.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub connections: usize,
    /// Most calls, whether queued, in set-up or established.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub calls: usize,
    /// Of these, most calls without a final answer.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub pending_calls: usize,
    /// Most calls per connection.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub calls_per_connection: usize,
    /// Size of the start line and header fields of a SIP message, or of the head of an HTTP request.
    #[schemars(range(min = 512, max = 1_048_576))]
    pub head_bytes: usize,
    /// Most header fields per message.
    #[schemars(range(min = 16, max = 4096))]
    pub fields: usize,
    /// Size of the body of a SIP message.
    #[schemars(range(min = 0, max = 16_777_216))]
    pub body_bytes: usize,
    /// A connection is closed (1008) after this many consecutive messages that are not SIP.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub bad_messages: usize,
    /// Bytes waiting to be written to one client or switch; beyond this its connection is closed.
    #[schemars(range(min = 4096, max = 1_073_741_824))]
    pub write_backlog_bytes: usize,
    /// Total bytes in incomplete incoming messages and in write queues. The more of it is in use, the less
    /// each connection may hold.
    #[schemars(range(min = 1_048_576, max = 1_099_511_627_776u64))]
    pub buffer_bytes: usize,
    /// Retry-After for callers refused at a limit.
    #[schemars(range(min = 0, max = 3_600_000))]
    pub retry_after_ms: u64,
    /// Longest `Expires` that is honoured.
    #[schemars(range(min = 100, max = 600_000))]
    pub longest_try_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            calls: 50_000,
            pending_calls: 20_000,
            calls_per_connection: 20_000,
            head_bytes: 16 * 1024,
            fields: 128,
            body_bytes: 64 * 1024,
            bad_messages: 20,
            write_backlog_bytes: 1024 * 1024,
            buffer_bytes: 256 * 1024 * 1024,
            retry_after_ms: 2000,
            longest_try_ms: 60_000,
        }
    }
}

/// Connections to switches.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Trunk {
    /// Timeout of connection establishment.
    #[schemars(range(min = 10, max = 60_000))]
    pub connect_ms: u64,
    /// First delay before a lost connection is retried; the delay doubles with each retry.
    #[schemars(range(min = 1, max = 60_000))]
    pub backoff_first_ms: u64,
    /// Longest delay between retries.
    #[schemars(range(min = 1, max = 600_000))]
    pub backoff_most_ms: u64,
    /// An established call is kept for this long after the connection to its switch is lost.
    #[schemars(range(max = 600_000))]
    pub cut_after_ms: u64,
    /// File descriptors reserved for connections to switches; clients cannot take them.
    #[schemars(range(min = 1, max = 100_000))]
    pub descriptors: usize,
}

impl Default for Trunk {
    fn default() -> Self {
        Self {
            connect_ms: 500,
            backoff_first_ms: 100,
            backoff_most_ms: 2000,
            cut_after_ms: 5000,
            descriptors: 64,
        }
    }
}

/// Logging, to standard error.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Each event is one line, of text or of JSON.
    pub format: LogFormat,
    /// Least severe level that is logged. At `debug` each call is traced in a span with its Call-ID.
    pub level: LogLevel,
}

impl Default for Log {
    fn default() -> Self {
        Self { format: LogFormat::Text, level: LogLevel::Info }
    }
}

/// Format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Log levels, the most severe first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that stop the gateway.
    Error,
    /// Conditions that need an operator's attention.
    Warn,
    /// Changes of state.
    Info,
    /// Every call.
    Debug,
}

/// How the gateway shuts down on SIGTERM or SIGINT.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// Established calls may finish within this time; then they are released.
    #[schemars(range(max = 86_400_000))]
    pub time_ms: u64,
}

impl Default for Drain {
    fn default() -> Self {
        Self { time_ms: 30_000 }
    }
}

fn default_one() -> f64 {
    1.0
}

fn default_host() -> String {
    "gateway.invalid".into()
}

fn default_path() -> String {
    "/".into()
}

fn default_handshake_ms() -> u64 {
    5000
}

fn default_ping_ms() -> u64 {
    30_000
}

fn default_poll_ms() -> u64 {
    100
}

fn milliseconds(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl Settings {
    /// Errors that the schema cannot express: references to undefined names, and values that contradict each
    /// other.
    #[must_use]
    pub fn field_errors(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        let mut add = |pointer: String, message: String| errors.push(FieldError::new(pointer, message));
        if self.gateway.number >= self.gateway.count {
            let message =
                format!("is not below count ({}); numbers go from 0 to count - 1", self.gateway.count);
            add("/gateway/number".into(), message);
        }
        let mut class_names = BTreeSet::new();
        for (n, class) in self.classes.iter().enumerate() {
            if !class_names.insert(&class.name) {
                add(format!("/classes/{n}/name"), format!("{} appears twice; rename one", class.name));
            }
            if class.aim_ms > class.deadline_ms {
                let message = format!("is beyond deadline_ms ({}); lower it", class.deadline_ms);
                add(format!("/classes/{n}/aim_ms"), message);
            }
        }
        let mut tenant_names = BTreeSet::new();
        for (n, tenant) in self.tenants.iter().enumerate() {
            if !tenant_names.insert(&tenant.name) {
                add(format!("/tenants/{n}/name"), format!("{} appears twice; rename one", tenant.name));
            }
        }
        for (n, rule) in self.calls.class.iter().enumerate() {
            if !self.classes.iter().any(|c| c.name == rule.class) {
                let message =
                    format!("no class is called {}; add it under classes or correct the name", rule.class);
                add(format!("/calls/class/{n}/class"), message);
            }
        }
        for (n, rule) in self.calls.tenant.iter().enumerate() {
            if !self.tenants.iter().any(|t| t.name == rule.tenant) {
                let message =
                    format!("no tenant is called {}; add it under tenants or correct the name", rule.tenant);
                add(format!("/calls/tenant/{n}/tenant"), message);
            }
        }
        if self.trunk.backoff_first_ms > self.trunk.backoff_most_ms {
            add("/trunk/backoff_first_ms".into(), "is beyond backoff_most_ms; lower it".into());
        }
        if !self.listen.path.starts_with('/') {
            add("/listen/path".into(), "does not begin with a slash; write for example /sip".into());
        }
        if self.gateway.host.bytes().any(|b| !(b.is_ascii_alphanumeric() || b"-.:[]".contains(&b))) {
            add(
                "/gateway/host".into(),
                "is not a host; write a name or an address, with an optional port".into(),
            );
        }
        if let Some(admission) = &self.admission {
            admission.collect_errors(&self.limits, self.clients.as_ref(), &mut errors);
        }
        if let Some(zones) = &self.zones {
            zones.collect_errors(&mut errors);
        }
        if let Some(clients) = &self.clients {
            clients.collect_errors(&mut errors);
        }
        errors
    }

    /// Settings of the engine. `seed` is used if the settings give none; `call_events` turns on reports of
    /// each step of each call.
    #[must_use]
    pub fn engine_settings(&self, seed: u64, call_events: bool) -> EngineSettings {
        let class_id = |name: &str| self.classes.iter().position(|c| c.name == name).map(ClassId);
        let tenant_id = |name: &str| self.tenants.iter().position(|t| t.name == name).map(TenantId);
        let mut class: Vec<CallRule<ClassId>> = (self.calls.class.iter())
            .filter_map(|r| class_id(&r.class).map(|value| CallRule { when: r.when.to_match(), value }))
            .collect();
        class.push(CallRule { when: CallMatch::default(), value: ClassId(0) });
        let tenant = (self.calls.tenant.iter())
            .filter_map(|r| tenant_id(&r.tenant).map(|value| CallRule { when: r.when.to_match(), value }))
            .collect();
        let mut first_pool: Vec<CallRule<PoolChoice>> = (self.calls.pool.iter())
            .map(|r| CallRule { when: r.when.to_match(), value: PoolChoice::Pool(Cell(r.pool)) })
            .collect();
        let spread = PoolChoice::Spread(self.calls.spread.iter().copied().map(Cell).collect());
        first_pool.push(CallRule { when: CallMatch::default(), value: spread });
        EngineSettings {
            controller: self.decision_settings(),
            seed: self.gateway.seed.unwrap_or(seed),
            host: self.gateway.host.clone(),
            rules: CallRules { class, tenant, first_pool },
            intake: IntakeLimits {
                calls: self.limits.calls,
                pending: self.limits.pending_calls,
                per_client: self.limits.calls_per_connection,
                retry_after: milliseconds(self.limits.retry_after_ms),
            },
            backoff: BackoffSettings {
                initial: milliseconds(self.trunk.backoff_first_ms),
                max: milliseconds(self.trunk.backoff_most_ms),
            },
            cut_after: milliseconds(self.trunk.cut_after_ms),
            max_expires: milliseconds(self.limits.longest_try_ms),
            auth: None,
            zones: self.zone_settings(),
            set_ups: self.set_up_settings(seed),
            call_events,
        }
    }

    /// Settings of the decision module.
    #[must_use]
    pub fn decision_settings(&self) -> module::Settings {
        let classes = self.classes.iter().map(|c| module::ClassSettings {
            name: c.name.clone(),
            aim: milliseconds(c.aim_ms),
            deadline: milliseconds(c.deadline_ms),
            points: c.points,
            late_share: c.late_share,
            effect: module::Effect::Safe,
            pools: (!c.pools.is_empty()).then(|| c.pools.iter().copied().map(Cell).collect()),
        });
        let tenants = self.tenants.iter();
        let tenants =
            tenants.map(|t| module::TenantSettings { name: t.name.clone(), quota_per_s: t.quota_per_s });
        let rules = &self.rules;
        module::Settings {
            gateways: self.gateway.count,
            own_id: PeerId(self.gateway.number),
            classes: classes.collect(),
            tenants: tenants.collect(),
            over_share_worth: self.over_share_worth,
            rules: module::Rules {
                drain_grace: milliseconds(rules.drain_grace_ms),
                cold_from: rules.cold_from,
                cold_time: milliseconds(rules.cold_ms),
                fall_multiple: rules.fall_multiple,
                fall_time: milliseconds(rules.fall_ms),
                release_guard: milliseconds(rules.release_guard_ms),
                subscribe_within: milliseconds(10_000),
            },
            limits: module::Limits {
                max_attempts: rules.max_attempts,
                cancel: true,
                peers: false,
                probes: false,
                retry_after: true,
                max_retry_after: milliseconds(rules.max_retry_after_ms),
            },
            topology: module::Topology::Pools,
            discovery: module::Discovery::Push,
            resend: None,
            tick: milliseconds(1),
        }
    }
}

impl CallCondition {
    fn to_match(&self) -> CallMatch {
        let name_value = |p: &Option<NameValue>| p.as_ref().map(|p| (p.name.clone(), p.value.clone()));
        CallMatch {
            number_prefix: self.number_prefix.clone(),
            host: self.host.clone(),
            from_host: self.from_host.clone(),
            trunk_group: self.trunk_group.clone(),
            header: name_value(&self.header),
            uri_param: name_value(&self.uri_param),
        }
    }
}
