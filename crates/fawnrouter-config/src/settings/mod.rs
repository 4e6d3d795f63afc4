//! The settings' types. Times are whole milliseconds, sizes bytes. A section that a subsystem made is in a file of its
//! own, with what it means to that subsystem.

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

/// All settings of a gateway.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This gateway among the others.
    pub gateway: Gateway,
    /// Where clients connect.
    pub listen: Listen,
    /// Where the list of switches comes from.
    pub switches: Switches,
    /// Classes of call, in any order; the rules under `calls` name them.
    #[schemars(length(min = 1, max = 64))]
    pub classes: Vec<Class>,
    /// Tenants that share the service.
    #[serde(default)]
    #[schemars(length(max = 1024))]
    pub tenants: Vec<Tenant>,
    /// Worth of a call beyond its tenant's share, as a share of the usual.
    #[serde(default = "one")]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub over_share_worth: f64,
    /// How calls are told apart.
    #[serde(default)]
    pub calls: CallClassification,
    /// The figures of the rules.
    #[serde(default)]
    pub rules: RoutingRules,
    /// Limits on what is held at once.
    #[serde(default)]
    pub limits: Limits,
    /// Who gets in when too many connect; left out, only `limits.connections` counts.
    #[serde(default)]
    pub admission: Option<Admission>,
    /// Clients that are known by name; left out, nobody is asked who they are.
    #[serde(default)]
    pub clients: Option<Clients>,
    /// Traffic across zones; left out, every switch is as near as any other.
    #[serde(default)]
    pub zones: Option<CrossZoneRouting>,
    /// Where operators' commands reach the running gateway; left out, they do not.
    #[serde(default)]
    pub control: Option<Control>,
    /// Connections to switches.
    #[serde(default)]
    pub trunk: Trunk,
    /// What is logged.
    #[serde(default)]
    pub log: Log,
    /// How the gateway ends.
    #[serde(default)]
    pub drain: Drain,
}

/// This gateway among the others.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Its number, from 0.
    pub number: u32,
    /// Number of gateways that share the switches; shares of what is scarce go by it.
    #[schemars(range(min = 1, max = 100_000))]
    pub count: u32,
    /// Host, and port if any, that it writes into Via and Contact.
    #[serde(default = "host")]
    #[schemars(length(min = 1, max = 255))]
    pub host: String,
    /// Seed of all random numbers; left out, each start draws one.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// Where clients connect.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address and port; port 0 takes a free one, which the `ready` line names.
    pub address: SocketAddr,
    /// The path of the WebSocket.
    #[serde(default = "path")]
    #[schemars(length(min = 1, max = 255))]
    pub path: String,
    /// Origins of web pages that may connect; empty: all. Programs that send no Origin always may.
    #[serde(default)]
    #[schemars(length(max = 256))]
    pub origins: Vec<String>,
    /// A connection whose handshake takes longer is closed.
    #[serde(default = "handshake_ms")]
    #[schemars(range(min = 10, max = 600_000))]
    pub handshake_ms: u64,
    /// A connection that was silent this long gets a ping; silent as long again, it is closed.
    #[serde(default = "ping_ms")]
    #[schemars(range(min = 100, max = 3_600_000))]
    pub ping_ms: u64,
}

/// Where the list of switches comes from.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Switches {
    /// A YAML file; see the operators' page for its form. Relative paths count from the settings' folder.
    pub file: PathBuf,
    /// How often the file is looked at.
    #[serde(default = "poll_ms")]
    #[schemars(range(min = 10, max = 60_000))]
    pub poll_ms: u64,
}

/// A class of call.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    #[schemars(length(min = 1, max = 128))]
    pub name: String,
    /// A call that stands within this time earns its full worth.
    #[schemars(range(min = 1, max = 600_000))]
    pub aim_ms: u64,
    /// How long a caller keeps trying; the time left of an INVITE without Expires.
    #[schemars(range(min = 1, max = 600_000))]
    pub deadline_ms: u64,
    /// Worth of a call that stands.
    #[serde(default = "one")]
    #[schemars(range(min = 0.0, max = 1e6))]
    pub points: f64,
    /// Share of the worth that is left after the aim.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub late_share: f64,
    /// Pools that may take it; empty: all.
    #[serde(default)]
    #[schemars(length(max = 4096))]
    pub pools: Vec<u32>,
}

/// A tenant.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    #[schemars(length(min = 1, max = 128))]
    pub name: String,
    /// Calls a second inside its share, over all gateways; left out: no share.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub quota_per_s: Option<f64>,
}

/// How calls are told apart. In each list the first rule that fits decides.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Calls")]
pub struct CallClassification {
    /// Rules for the class; calls that none fits get the first class.
    #[serde(default)]
    #[schemars(length(max = 10_000))]
    pub class: Vec<ClassRule>,
    /// Rules for the tenant; calls that none fits have none.
    #[serde(default)]
    #[schemars(length(max = 10_000))]
    pub tenant: Vec<TenantRule>,
    /// Rules for the pool of first choice; calls that none fits are spread over `spread` by number.
    #[serde(default)]
    #[schemars(length(max = 10_000))]
    pub pool: Vec<PoolRule>,
    /// Pools over which other calls are spread.
    #[serde(default)]
    #[schemars(length(max = 4096))]
    pub spread: Vec<u32>,
}

/// Which calls a rule fits: all parts that are given must.
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
    /// Trunk group that the caller names (RFC 4904 `tgrp`).
    #[serde(default)]
    pub trunk_group: Option<String>,
    /// A header field with this value.
    #[serde(default)]
    pub header: Option<NameValue>,
    /// A parameter of the request-URI with this value.
    #[serde(default)]
    pub uri_param: Option<NameValue>,
}

/// A name and its value.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NameValue {
    /// The name.
    #[schemars(length(min = 1, max = 128))]
    pub name: String,
    /// The value, compared without case.
    pub value: String,
}

/// A rule for the class.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClassRule {
    /// Which calls.
    #[serde(default)]
    pub when: CallCondition,
    /// A name under `classes`.
    pub class: String,
}

/// A rule for the tenant.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TenantRule {
    /// Which calls.
    #[serde(default)]
    pub when: CallCondition,
    /// A name under `tenants`.
    pub tenant: String,
}

/// A rule for the pool of first choice.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PoolRule {
    /// Which calls.
    #[serde(default)]
    pub when: CallCondition,
    /// The pool.
    pub pool: u32,
}

/// The figures of the rules.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Rules")]
pub struct RoutingRules {
    /// Sends to a draining or gone switch end within this time.
    #[schemars(range(max = 600_000))]
    pub drain_grace_ms: u64,
    /// A switch starts at this share of its capacity or more.
    #[schemars(range(min = 0.01, max = 1.0))]
    pub cold_from: f64,
    /// It is warm after this time at most.
    #[schemars(range(max = 3_600_000))]
    pub cold_ms: u64,
    /// A cold switch sent over this many times its present capacity ...
    #[schemars(range(min = 1.0, max = 100.0))]
    pub fall_multiple: f64,
    /// ... for this long falls over.
    #[schemars(range(min = 1, max = 600_000))]
    pub fall_ms: u64,
    /// No further attempt of a call within this time of a time-out, reset or cancel.
    #[schemars(range(max = 60_000))]
    pub release_guard_ms: u64,
    /// The most attempts of one call.
    #[schemars(range(min = 1, max = 100))]
    pub max_attempts: u32,
    /// The longest time that callers are asked to stay away.
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

/// Limits on what is held at once. Reaching one is answered: 503 with Retry-After, or close 1013.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Connections of clients.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub connections: usize,
    /// Calls held, out or standing.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub calls: usize,
    /// Of these, calls without a final answer.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub pending_calls: usize,
    /// Calls of one connection.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub calls_per_connection: usize,
    /// Start line and fields of a SIP message, or head of an HTTP request.
    #[schemars(range(min = 512, max = 1_048_576))]
    pub head_bytes: usize,
    /// Fields of a message.
    #[schemars(range(min = 16, max = 4096))]
    pub fields: usize,
    /// Body of a SIP message.
    #[schemars(range(min = 0, max = 16_777_216))]
    pub body_bytes: usize,
    /// Messages in a row that are no SIP, after which a connection is closed (1008).
    #[schemars(range(min = 1, max = 1_000_000))]
    pub bad_messages: usize,
    /// Bytes that wait to be written to one client or switch; beyond it the connection is closed.
    #[schemars(range(min = 4096, max = 1_073_741_824))]
    pub write_backlog_bytes: usize,
    /// Bytes that wait in all, in messages that are not whole yet and to be written: the more of it is used, the less
    /// each connection may hold.
    #[schemars(range(min = 1_048_576, max = 1_099_511_627_776u64))]
    pub buffer_bytes: usize,
    /// How long callers turned away for a limit should stay away.
    #[schemars(range(min = 0, max = 3_600_000))]
    pub retry_after_ms: u64,
    /// The longest `Expires` that is believed.
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
    /// A connection that is not open after this time counts as failed.
    #[schemars(range(min = 10, max = 60_000))]
    pub connect_ms: u64,
    /// First pause before a lost connection is tried again; pauses double.
    #[schemars(range(min = 1, max = 60_000))]
    pub backoff_first_ms: u64,
    /// The longest such pause.
    #[schemars(range(min = 1, max = 600_000))]
    pub backoff_most_ms: u64,
    /// A standing call outlives the loss of its switch's connection this long.
    #[schemars(range(max = 600_000))]
    pub cut_after_ms: u64,
    /// Descriptors kept for connections to switches, whatever clients do.
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

/// What is logged, to standard error.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// One line of text or of JSON for an event.
    pub format: LogFormat,
    /// The least important level that is logged. At `debug` each call is followed in a span with its Call-ID.
    pub level: LogLevel,
}

impl Default for Log {
    fn default() -> Self {
        Self { format: LogFormat::Text, level: LogLevel::Info }
    }
}

/// The form of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Levels of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// What stops the gateway.
    Error,
    /// What an operator should see.
    Warn,
    /// Changes of state.
    Info,
    /// Each call.
    Debug,
}

/// How the gateway ends on SIGTERM or SIGINT.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// Standing calls may finish within this time; then they are released.
    #[schemars(range(max = 86_400_000))]
    pub time_ms: u64,
}

impl Default for Drain {
    fn default() -> Self {
        Self { time_ms: 30_000 }
    }
}

fn one() -> f64 {
    1.0
}

fn host() -> String {
    "gateway.invalid".into()
}

fn path() -> String {
    "/".into()
}

fn handshake_ms() -> u64 {
    5000
}

fn ping_ms() -> u64 {
    30_000
}

fn poll_ms() -> u64 {
    100
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl Settings {
    /// What the schema can't see: names that nothing bears, and figures that don't go together.
    #[must_use]
    pub fn field_errors(&self) -> Vec<FieldError> {
        let mut faults = Vec::new();
        let mut fault = |pointer: String, text: String| faults.push(FieldError::new(pointer, text));
        if self.gateway.number >= self.gateway.count {
            let text = format!("is not below count ({}); numbers go from 0 to count - 1", self.gateway.count);
            fault("/gateway/number".into(), text);
        }
        let mut seen = BTreeSet::new();
        for (n, class) in self.classes.iter().enumerate() {
            if !seen.insert(&class.name) {
                fault(format!("/classes/{n}/name"), format!("{} stands twice; rename one", class.name));
            }
            if class.aim_ms > class.deadline_ms {
                let text = format!("is beyond deadline_ms ({}); lower it", class.deadline_ms);
                fault(format!("/classes/{n}/aim_ms"), text);
            }
        }
        let mut seen = BTreeSet::new();
        for (n, tenant) in self.tenants.iter().enumerate() {
            if !seen.insert(&tenant.name) {
                fault(format!("/tenants/{n}/name"), format!("{} stands twice; rename one", tenant.name));
            }
        }
        for (n, rule) in self.calls.class.iter().enumerate() {
            if !self.classes.iter().any(|c| c.name == rule.class) {
                let text =
                    format!("no class is called {}; add it under classes or correct the name", rule.class);
                fault(format!("/calls/class/{n}/class"), text);
            }
        }
        for (n, rule) in self.calls.tenant.iter().enumerate() {
            if !self.tenants.iter().any(|t| t.name == rule.tenant) {
                let text =
                    format!("no tenant is called {}; add it under tenants or correct the name", rule.tenant);
                fault(format!("/calls/tenant/{n}/tenant"), text);
            }
        }
        if self.trunk.backoff_first_ms > self.trunk.backoff_most_ms {
            fault("/trunk/backoff_first_ms".into(), "is beyond backoff_most_ms; lower it".into());
        }
        if !self.listen.path.starts_with('/') {
            fault("/listen/path".into(), "does not begin with a slash; write /sip or the like".into());
        }
        if self.gateway.host.bytes().any(|b| !(b.is_ascii_alphanumeric() || b"-.:[]".contains(&b))) {
            fault(
                "/gateway/host".into(),
                "is no host; write a name or an address, and a port if need be".into(),
            );
        }
        if let Some(admission) = &self.admission {
            admission.faults(&self.limits, self.clients.as_ref(), &mut faults);
        }
        if let Some(zones) = &self.zones {
            zones.faults(&mut faults);
        }
        if let Some(clients) = &self.clients {
            clients.faults(&mut faults);
        }
        faults
    }

    /// The engine's settings. `seed` is used where the settings name none; `words` asks for a word on each step of
    /// each call.
    #[must_use]
    pub fn engine_settings(&self, seed: u64, words: bool) -> EngineSettings {
        let class_of = |name: &str| self.classes.iter().position(|c| c.name == name).map(ClassId);
        let tenant_of = |name: &str| self.tenants.iter().position(|t| t.name == name).map(TenantId);
        let mut class: Vec<CallRule<ClassId>> = (self.calls.class.iter())
            .filter_map(|r| class_of(&r.class).map(|gets| CallRule { when: r.when.to_match(), value: gets }))
            .collect();
        class.push(CallRule { when: CallMatch::default(), value: ClassId(0) });
        let tenant = (self.calls.tenant.iter())
            .filter_map(|r| {
                tenant_of(&r.tenant).map(|gets| CallRule { when: r.when.to_match(), value: gets })
            })
            .collect();
        let mut destination: Vec<CallRule<PoolChoice>> = (self.calls.pool.iter())
            .map(|r| CallRule { when: r.when.to_match(), value: PoolChoice::Pool(Cell(r.pool)) })
            .collect();
        let spread = PoolChoice::Spread(self.calls.spread.iter().copied().map(Cell).collect());
        destination.push(CallRule { when: CallMatch::default(), value: spread });
        EngineSettings {
            controller: self.decision_settings(),
            seed: self.gateway.seed.unwrap_or(seed),
            host: self.gateway.host.clone(),
            rules: CallRules { class, tenant, destination },
            intake: IntakeLimits {
                calls: self.limits.calls,
                pending: self.limits.pending_calls,
                per_client: self.limits.calls_per_connection,
                retry_after: ms(self.limits.retry_after_ms),
            },
            backoff: BackoffSettings {
                initial: ms(self.trunk.backoff_first_ms),
                max: ms(self.trunk.backoff_most_ms),
            },
            cut_after: ms(self.trunk.cut_after_ms),
            max_expires: ms(self.limits.longest_try_ms),
            auth: None,
            zones: self.zone_settings(),
            set_ups: self.set_up_settings(seed),
            call_events: words,
        }
    }

    /// The decision module's settings.
    #[must_use]
    pub fn decision_settings(&self) -> module::Settings {
        let classes = self.classes.iter().map(|c| module::ClassSettings {
            name: c.name.clone(),
            aim: ms(c.aim_ms),
            deadline: ms(c.deadline_ms),
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
                drain_grace: ms(rules.drain_grace_ms),
                cold_from: rules.cold_from,
                cold_time: ms(rules.cold_ms),
                fall_multiple: rules.fall_multiple,
                fall_time: ms(rules.fall_ms),
                release_guard: ms(rules.release_guard_ms),
                subscribe_within: ms(10_000),
            },
            limits: module::Limits {
                max_attempts: rules.max_attempts,
                cancel: true,
                peers: false,
                probes: false,
                retry_after: true,
                max_retry_after: ms(rules.max_retry_after_ms),
            },
            topology: module::Topology::Pools,
            discovery: module::Discovery::Push,
            resend: None,
            tick: ms(1),
        }
    }
}

impl CallCondition {
    fn to_match(&self) -> CallMatch {
        let pair = |p: &Option<NameValue>| p.as_ref().map(|p| (p.name.clone(), p.value.clone()));
        CallMatch {
            number_prefix: self.number_prefix.clone(),
            host: self.host.clone(),
            from_host: self.from_host.clone(),
            trunk_group: self.trunk_group.clone(),
            header: pair(&self.header),
            uri_param: pair(&self.uri_param),
        }
    }
}
