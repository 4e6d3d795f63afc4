//! The script of a day: who calls what, which switches there are, and what goes wrong when.

use fawnrouter_config::{
    Admission, Class, ConfigError, CrossZoneBudget, Document, FieldError, Limits, RoutingRules,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A day.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// How long callers begin calls.
    #[schemars(range(min = 1, max = 3600))]
    pub seconds: u64,
    /// Gateway processes.
    #[schemars(range(min = 1, max = 64))]
    pub gateways: u32,
    /// Connections of callers to each gateway.
    #[serde(default = "connections")]
    #[schemars(range(min = 1, max = 1000))]
    pub connections: u32,
    /// Switches at the start; they are numbered from 70 and are the pools 0, 1, ...
    #[schemars(length(min = 1, max = 64))]
    pub switches: Vec<SwitchPlan>,
    /// First tries a second, over all gateways.
    #[schemars(range(min = 0.1, max = 5000.0))]
    pub calls_per_s: f64,
    /// What is called, with its share.
    #[schemars(length(min = 1, max = 16))]
    pub classes: Vec<ClassPlan>,
    /// Callers' habits.
    #[serde(default)]
    pub callers: CallerBehaviour,
    /// The list tells what happened this much later.
    #[serde(default = "list_delay_ms")]
    #[schemars(range(max = 60_000))]
    pub list_delay_ms: u64,
    /// The figures of the rules.
    #[serde(default)]
    pub rules: RoutingRules,
    /// Zones of gateways, and what may go across; left out, gateways know no zones.
    #[serde(default)]
    pub zones: Option<ZoneScript>,
    /// Known clients that the callers' connections belong to in turn; none if 0.
    #[serde(default)]
    #[schemars(range(max = 1000))]
    pub clients: u32,
    /// The gateways' section `admission`.
    #[serde(default)]
    pub admission: Option<Admission>,
    /// The gateways' section `limits`.
    #[serde(default)]
    pub limits: Limits,
    /// What goes wrong.
    #[serde(default)]
    #[schemars(length(max = 1000))]
    pub troubles: Vec<Trouble>,
}

/// Zones of a script.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ZoneScript {
    /// Zones of the gateways, in turn.
    #[schemars(length(min = 1, max = 64))]
    pub gateways: Vec<String>,
    /// What a call to another zone costs.
    #[serde(default = "cost")]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub cost: f64,
    /// One way between two zones, milliseconds.
    #[serde(default)]
    #[schemars(range(max = 1000))]
    pub cross_ms: u64,
    /// Budgets.
    #[serde(default)]
    #[schemars(length(max = 100))]
    pub budgets: Vec<CrossZoneBudget>,
}

/// A stand-in switch.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SwitchPlan {
    /// Calls a second that its processor can set up, answer and release when warm.
    #[schemars(range(min = 0.1, max = 100_000.0))]
    pub capacity_per_s: f64,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// It refuses set-ups once its line is this long.
    #[serde(default = "full_after_ms")]
    #[schemars(range(min = 1, max = 600_000))]
    pub full_after_ms: u64,
    /// It tells its wait with a refusal (Retry-After).
    #[serde(default)]
    pub tells_wait: bool,
}

/// A class, its share of first tries, and how long its calls stand on average.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClassPlan {
    /// As in a gateway's settings.
    pub class: Class,
    /// Its share of first tries, against the other classes'.
    #[schemars(range(min = 0.0, max = 1e6))]
    pub share: f64,
    /// Mean time that its calls stand.
    #[schemars(range(min = 1, max = 600_000))]
    pub hold_ms: u64,
}

/// Callers' habits.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Habits")]
pub struct CallerBehaviour {
    /// They dial again this often at the most.
    #[schemars(range(max = 20))]
    pub redials: u32,
    /// After about this time.
    #[schemars(range(min = 1, max = 60_000))]
    pub redial_ms: u64,
    /// A try's time in whole seconds (Expires).
    #[schemars(range(min = 1, max = 60))]
    pub try_s: u64,
    /// Share of tries that are taken back (CANCEL) after a random part of their time.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub leavers: f64,
    /// Mean pause between two connections that break off with their calls; none if 0.
    #[schemars(range(max = 3_600_000))]
    pub disconnect_ms: u64,
}

impl Default for CallerBehaviour {
    fn default() -> Self {
        Self { redials: 2, redial_ms: 500, try_s: 3, leavers: 0.01, disconnect_ms: 0 }
    }
}

/// The kind of a flood: what its strangers do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum FloodKind {
    /// They connect, upgrade and do nothing.
    Idle,
    /// They send their request one byte a second.
    Slow,
    /// They upgrade, ask and never read.
    Deaf,
    /// They call.
    Calls,
}

impl FloodKind {
    /// Its name in reports.
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

/// What goes wrong, and when: `at_ms` from the first call on, for `for_ms`, at the `switches` with these numbers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[allow(missing_docs)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Trouble {
    /// Callers call this many times as often.
    Jump { at_ms: u64, for_ms: u64, times: f64 },
    /// Processors stand still for a while, again and again.
    Stall { at_ms: u64, for_ms: u64, switches: Vec<u32>, still_ms: u64, every_ms: u64 },
    /// Processors are this many times slower.
    Slow { at_ms: u64, for_ms: u64, switches: Vec<u32>, times: f64 },
    /// Nothing comes back on open connections; then the switches restart cold.
    Silent { at_ms: u64, for_ms: u64, switches: Vec<u32> },
    /// Connections are refused and those that stand are closed; then the switches restart cold.
    Restart { at_ms: u64, for_ms: u64, switches: Vec<u32> },
    /// All switches of a zone restart at once.
    RestartZone { at_ms: u64, for_ms: u64, zone: String },
    /// Switches are drained, and cold machines with new numbers take their place; after `for_ms` the old ones stop.
    Replace { at_ms: u64, for_ms: u64, switches: Vec<u32> },
    /// The list is this much later than usual.
    LateList { at_ms: u64, for_ms: u64, delay_ms: u64 },
    /// The list names nobody.
    EmptyList { at_ms: u64, for_ms: u64 },
    /// Final answers leave this much later than they are done.
    LateAnswers { at_ms: u64, for_ms: u64, switches: Vec<u32>, late_ms: u64 },
    /// Switches take no notice of CANCEL and answer 200 all the same.
    CrossCancel { at_ms: u64, for_ms: u64, switches: Vec<u32> },
    /// Strangers open so many connections a second to each gateway, from so many addresses, and keep each for a
    /// time; with `calls_per_s`, they call over them.
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

impl Trouble {
    /// From when to when, milliseconds.
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

    /// Its name in reports.
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

    /// The switches that it names, from 70.
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

/// The number of the first switch.
pub const FIRST_SWITCH: u32 = 70;

impl Script {
    /// Reads a script.
    ///
    /// # Errors
    /// All faults found, each with its line, field and remedy.
    pub fn parse(name: &str, text: &str) -> Result<Self, ConfigError> {
        let document = Document::parse(name, text)?;
        let script: Self = document.deserialize()?;
        let known = FIRST_SWITCH..FIRST_SWITCH + script.switches.len() as u32;
        let mut faults = Vec::new();
        for (n, trouble) in script.troubles.iter().enumerate() {
            for id in trouble.switches().iter().filter(|id| !known.contains(id)) {
                let text = format!("there is no switch {id}; they are {} to {}", known.start, known.end - 1);
                faults.push(FieldError::new(format!("/troubles/{n}/switches"), text));
            }
            if let Trouble::RestartZone { zone, .. } = trouble
                && !script.switches.iter().any(|s| s.zone == *zone)
            {
                let text = format!("no switch is in zone {zone}; name one that is");
                faults.push(FieldError::new(format!("/troubles/{n}/zone"), text));
            }
        }
        if faults.is_empty() { Ok(script) } else { Err(document.locate_errors(faults)) }
    }
}

fn cost() -> f64 {
    1.0
}

fn connections() -> u32 {
    4
}

fn list_delay_ms() -> u64 {
    1000
}

fn full_after_ms() -> u64 {
    2500
}
