//! The script of a run: its gateways and switches, the calls, and the faults on a time line.

use fawnrouter_config::{
    Admission, Class, ConfigError, CrossZoneBudget, Document, FieldError, Limits, RoutingRules,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The script of a run.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Name of the script.
    pub name: String,
    /// Time during which callers start calls, in seconds.
    #[schemars(range(min = 1, max = 3600))]
    pub seconds: u64,
    /// Number of gateway processes.
    #[schemars(range(min = 1, max = 64))]
    pub gateways: u32,
    /// Number of callers' connections to each gateway.
    #[serde(default = "default_connections")]
    #[schemars(range(min = 1, max = 1000))]
    pub connections: u32,
    /// Switches at the start. They are numbered from 70, and each is a pool of its own, from 0.
    #[schemars(length(min = 1, max = 64))]
    pub switches: Vec<SwitchPlan>,
    /// First attempts per second, over all gateways.
    #[schemars(range(min = 0.1, max = 5000.0))]
    pub calls_per_s: f64,
    /// Classes of calls, with their shares.
    #[schemars(length(min = 1, max = 16))]
    pub classes: Vec<ClassPlan>,
    /// How callers behave.
    #[serde(default)]
    pub callers: CallerBehaviour,
    /// Delay until a change of a switch appears in the list, in milliseconds.
    #[serde(default = "default_list_delay_ms")]
    #[schemars(range(max = 60_000))]
    pub list_delay_ms: u64,
    /// The gateways' section `rules`.
    #[serde(default)]
    pub rules: RoutingRules,
    /// Zones of the gateways and budgets between zones. If left out, gateways route without zones.
    #[serde(default)]
    pub zones: Option<ZoneScript>,
    /// Number of known clients. The callers' connections belong to them in turn; 0 means no known clients.
    #[serde(default)]
    #[schemars(range(max = 1000))]
    pub clients: u32,
    /// The gateways' section `admission`.
    #[serde(default)]
    pub admission: Option<Admission>,
    /// The gateways' section `limits`.
    #[serde(default)]
    pub limits: Limits,
    /// The faults, each at its time.
    #[serde(default)]
    #[schemars(length(max = 1000))]
    pub troubles: Vec<Fault>,
}

/// Zones of the gateways, and calls between zones.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ZoneScript {
    /// Zones of the gateways: gateway `n` is in zone `n` modulo the length.
    #[schemars(length(min = 1, max = 64))]
    pub gateways: Vec<String>,
    /// Cost of a call to another zone.
    #[serde(default = "default_cost")]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub cost: f64,
    /// One-way delay between two zones, in milliseconds.
    #[serde(default)]
    #[schemars(range(max = 1000))]
    pub cross_ms: u64,
    /// Budgets of calls and cost to other zones.
    #[serde(default)]
    #[schemars(length(max = 100))]
    pub budgets: Vec<CrossZoneBudget>,
}

/// A stand-in switch.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SwitchPlan {
    /// Calls per second that its processor can set up, answer and release when warm.
    #[schemars(range(min = 0.1, max = 100_000.0))]
    pub capacity_per_s: f64,
    /// Zone of the switch.
    #[serde(default)]
    pub zone: String,
    /// Set-ups are refused while the queued work takes longer than this, in milliseconds.
    #[serde(default = "default_full_after_ms")]
    #[schemars(range(min = 1, max = 600_000))]
    pub full_after_ms: u64,
    /// Whether refusals carry the expected wait (Retry-After).
    #[serde(default)]
    pub tells_wait: bool,
}

/// A class of calls, its share of first attempts, and its mean holding time.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClassPlan {
    /// The class, as in a gateway's settings.
    pub class: Class,
    /// Share of first attempts, relative to the other classes.
    #[schemars(range(min = 0.0, max = 1e6))]
    pub share: f64,
    /// Mean holding time of its calls, in milliseconds.
    #[schemars(range(min = 1, max = 600_000))]
    pub hold_ms: u64,
}

/// How callers behave.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, rename = "Habits")]
pub struct CallerBehaviour {
    /// Maximum number of redials of a call.
    #[schemars(range(max = 20))]
    pub redials: u32,
    /// Mean time until a redial, in milliseconds.
    #[schemars(range(min = 1, max = 60_000))]
    pub redial_ms: u64,
    /// Time that an attempt may take, in whole seconds (Expires).
    #[schemars(range(min = 1, max = 60))]
    pub try_s: u64,
    /// Share of attempts that the caller cancels (CANCEL) after a random part of their time.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub leavers: f64,
    /// Time between two dropped connections, in milliseconds; 0 drops none. Calls on a dropped connection are
    /// lost.
    #[schemars(range(max = 3_600_000))]
    pub disconnect_ms: u64,
}

impl Default for CallerBehaviour {
    fn default() -> Self {
        Self { redials: 2, redial_ms: 500, try_s: 3, leavers: 0.01, disconnect_ms: 0 }
    }
}

/// What the clients of a flood do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum FloodKind {
    /// Connect, upgrade and stay idle.
    Idle,
    /// Send the upgrade request at one byte per second.
    Slow,
    /// Upgrade, send requests and never read.
    Deaf,
    /// Set up calls.
    Calls,
}

impl FloodKind {
    /// Name in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Slow => "slow",
            Self::Deaf => "deaf",
            Self::Calls => "calls",
        }
    }
}

/// A fault. It starts `at_ms` after the start of the calls, lasts `for_ms`, and affects the `switches` with
/// these numbers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[allow(missing_docs)]
#[serde(rename = "Trouble", tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Callers call `times` as often.
    Jump { at_ms: u64, for_ms: u64, times: f64 },
    /// Switches stop processing for `still_ms`, every `every_ms`.
    Stall { at_ms: u64, for_ms: u64, switches: Vec<u32>, still_ms: u64, every_ms: u64 },
    /// The work of switches takes `times` as long.
    Slow { at_ms: u64, for_ms: u64, switches: Vec<u32>, times: f64 },
    /// Switches answer nothing on open connections; then they restart cold.
    Silent { at_ms: u64, for_ms: u64, switches: Vec<u32> },
    /// Switches close their connections and refuse new ones; then they restart cold.
    Restart { at_ms: u64, for_ms: u64, switches: Vec<u32> },
    /// All switches of a zone restart at once.
    RestartZone { at_ms: u64, for_ms: u64, zone: String },
    /// Switches are drained, and cold ones with new numbers replace them; after `for_ms` the old ones stop.
    Replace { at_ms: u64, for_ms: u64, switches: Vec<u32> },
    /// The list appears with a delay of `delay_ms`.
    LateList { at_ms: u64, for_ms: u64, delay_ms: u64 },
    /// The list is empty.
    EmptyList { at_ms: u64, for_ms: u64 },
    /// Final responses are sent `late_ms` after their work is done.
    LateAnswers { at_ms: u64, for_ms: u64, switches: Vec<u32>, late_ms: u64 },
    /// Switches ignore CANCEL and answer the INVITE with 200.
    CrossCancel { at_ms: u64, for_ms: u64, switches: Vec<u32> },
    /// Unknown clients open `per_s` connections per second to each gateway, from `addresses` loopback
    /// addresses, and keep each for `hold_ms`. With `calls_per_s` they also make calls over them.
    Flood {
        at_ms: u64,
        for_ms: u64,
        way: FloodKind,
        #[schemars(range(min = 1, max = 60_000))]
        addresses: u32,
        #[schemars(range(min = 0.1, max = 20_000.0))]
        per_s: f64,
        #[schemars(range(max = 60_000))]
        hold_ms: u64,
        #[serde(default)]
        #[schemars(range(min = 0.0, max = 20_000.0))]
        calls_per_s: f64,
    },
}

impl Fault {
    /// Start and end in milliseconds.
    #[must_use]
    pub fn span_ms(&self) -> (u64, u64) {
        match self {
            Self::Jump { at_ms, for_ms, .. }
            | Self::Stall { at_ms, for_ms, .. }
            | Self::Slow { at_ms, for_ms, .. }
            | Self::Silent { at_ms, for_ms, .. }
            | Self::Restart { at_ms, for_ms, .. }
            | Self::RestartZone { at_ms, for_ms, .. }
            | Self::Replace { at_ms, for_ms, .. }
            | Self::LateList { at_ms, for_ms, .. }
            | Self::LateAnswers { at_ms, for_ms, .. }
            | Self::Flood { at_ms, for_ms, .. }
            | Self::EmptyList { at_ms, for_ms }
            | Self::CrossCancel { at_ms, for_ms, .. } => (*at_ms, at_ms.saturating_add(*for_ms)),
        }
    }

    /// Name in reports.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Jump { .. } => "jump",
            Self::Stall { .. } => "stall",
            Self::Slow { .. } => "slow",
            Self::Silent { .. } => "silent",
            Self::Restart { .. } => "restart",
            Self::RestartZone { .. } => "restart_zone",
            Self::Replace { .. } => "replace",
            Self::LateList { .. } => "late_list",
            Self::EmptyList { .. } => "empty_list",
            Self::LateAnswers { .. } => "late_answers",
            Self::CrossCancel { .. } => "cross_cancel",
            Self::Flood { way, .. } => way.name(),
        }
    }

    /// Numbers of the switches that the fault names.
    #[must_use]
    pub fn switches(&self) -> &[u32] {
        match self {
            Self::Stall { switches, .. }
            | Self::Slow { switches, .. }
            | Self::Silent { switches, .. }
            | Self::Restart { switches, .. }
            | Self::Replace { switches, .. }
            | Self::LateAnswers { switches, .. }
            | Self::CrossCancel { switches, .. } => switches,
            _ => &[],
        }
    }
}

/// Number of the first switch of a script.
pub const FIRST_SWITCH: u32 = 70;

impl Script {
    /// Parses and checks a script.
    ///
    /// # Errors
    /// All errors found, each with its line, its field and what to change.
    pub fn parse(name: &str, text: &str) -> Result<Self, ConfigError> {
        let document = Document::parse(name, text)?;
        let script: Self = document.deserialize()?;
        let known = FIRST_SWITCH..FIRST_SWITCH + script.switches.len() as u32;
        let mut errors = Vec::new();
        for (n, fault) in script.troubles.iter().enumerate() {
            for id in fault.switches().iter().filter(|id| !known.contains(id)) {
                let text = format!("there is no switch {id}; they are {} to {}", known.start, known.end - 1);
                errors.push(FieldError::new(format!("/troubles/{n}/switches"), text));
            }
            if let Fault::RestartZone { zone, .. } = fault
                && !script.switches.iter().any(|s| s.zone == *zone)
            {
                let text = format!("no switch is in zone {zone}; name one that is");
                errors.push(FieldError::new(format!("/troubles/{n}/zone"), text));
            }
        }
        if errors.is_empty() { Ok(script) } else { Err(document.locate_errors(errors)) }
    }
}

fn default_cost() -> f64 {
    1.0
}

fn default_connections() -> u32 {
    4
}

fn default_list_delay_ms() -> u64 {
    1000
}

fn default_full_after_ms() -> u64 {
    2500
}
