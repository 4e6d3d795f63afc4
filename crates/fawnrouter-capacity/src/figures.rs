//! The report of a measurement: typed, and stored as JSON beside the page that is computed from it.

use serde::{Deserialize, Serialize};

/// The form of the report that this version writes and reads.
pub const SCHEMA: u32 = 1;

/// Everything that one `fawnrouter-lab capacity` measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The form of this report; see [`SCHEMA`].
    pub schema: u32,
    /// The machine it was measured on.
    pub machine: Machine,
    /// All runs, in the order in which they were made.
    pub runs: Vec<Run>,
}

/// The machine that a report was measured on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Processor cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory_mib: u64,
}

/// How the figures of a run were had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Method {
    /// State machines without sockets, many in one process, in virtual time.
    Hollow,
    /// The program itself, as processes on loopback.
    Processes,
}

/// One measurement with its circumstances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// A name that no other run has; pages cite it.
    pub id: String,
    /// How the figures were had.
    pub method: Method,
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// What was held fixed, in words: sizes, rates, lengths.
    pub setting: String,
    /// What was measured.
    pub series: Vec<Series>,
    /// Delays of one hop, if the run measured them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hop_delays: Vec<DelayBucket>,
}

/// One bucket of a measured histogram of delays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DelayBucket {
    /// The highest delay that counts here, in nanoseconds.
    pub nanoseconds: u64,
    /// How many delays were counted.
    pub count: u64,
}

/// Who bears a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A gateway's call path.
    GatewayCalls,
    /// A gateway's control: list and configuration.
    GatewayControl,
    /// A core switch: connections, tests and calls of all gateways that may call it.
    CoreSwitch,
    /// The source of the list (the name server).
    ListSource,
    /// One of the machines set aside for control.
    ControlMachine,
    /// Whoever publishes a configuration.
    Publisher,
    /// The link of a zone.
    ZoneLink,
    /// The link of a region.
    RegionLink,
}

/// What happens while a series is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Situation {
    /// No calls and no changes.
    Quiet,
    /// Calls at the design rate, restarts and changes of an ordinary day.
    OrdinaryDay,
    /// One core switch fails.
    MachineGone,
    /// A rack of core switches fails.
    RackGone,
    /// A zone fails and comes back: gateways and core switches.
    ZoneGone,
    /// Regions lose each other for minutes and join again.
    RegionsApart,
    /// All gateways of a service are restarted.
    ServiceRestart,
    /// A bad configuration is sent to all.
    BadConfiguration,
}

/// What a cost comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Set-ups, answers and releases.
    Calls,
    /// Tests of core switches.
    Probes,
    /// Questions for the list, answers, and taking the list.
    List,
    /// Connections opened or closed.
    Connections,
    /// Timers with nothing else to do.
    Timers,
    /// A configuration read and checked.
    Configuration,
    /// All causes together.
    All,
}

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// Messages received.
    MessagesIn,
    /// Messages sent.
    MessagesOut,
    /// Bytes received, as the codecs encode them, without headers of TCP or UDP.
    BytesIn,
    /// Bytes sent, likewise.
    BytesOut,
    /// Processor time in microseconds.
    ProcessorMicroseconds,
    /// Allocations made.
    Allocations,
    /// Memory held in bytes.
    MemoryBytes,
    /// Open connections.
    Connections,
    /// Entries of state held: calls, links, listed core switches.
    StateEntries,
}

impl Quantity {
    /// Whether a run with the same seed gives the same figure on every machine.
    #[must_use]
    pub fn is_exact(self) -> bool {
        !matches!(self, Self::ProcessorMicroseconds | Self::Allocations | Self::MemoryBytes)
    }
}

/// What a figure is counted over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Per {
    /// A second of one member of the role, mean over members.
    Second,
    /// The busiest second of the busiest member of the role.
    PeakSecond,
    /// One call.
    Call,
    /// One event: a list taken, a configuration read.
    Event,
    /// What is held at one time by one member of the role.
    Held,
    /// The whole situation, from its start to its end, by one member of the role.
    Situation,
}

/// The size that a series is taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Size {
    /// Core switches that a gateway sees.
    SwitchesSeen,
    /// Gateways in the fleet.
    Gateways,
    /// Calls a second at one gateway.
    CallsPerSecond,
    /// Gateways that a call passes.
    Depth,
    /// Bytes of an encoded list.
    ListBytes,
    /// Changes of the list or configuration a day.
    ChangesPerDay,
}

/// One quantity of one role over one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// Who bears it.
    pub role: Role,
    /// While what happens.
    pub situation: Situation,
    /// What it comes from.
    pub cause: Cause,
    /// What is counted.
    pub quantity: Quantity,
    /// Over what it is counted.
    pub per: Per,
    /// What the points differ in.
    pub size: Size,
    /// At least four, by rising size.
    pub points: Vec<Point>,
}

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The figure.
    pub value: f64,
}

/// Why a report cannot be used.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ReportError {
    /// It is no JSON of this form; the text names line and column.
    #[error("the report does not read: {0}; write it anew with `fawnrouter-lab capacity`")]
    Json(#[from] serde_json::Error),
    /// It was written by another version.
    #[error(
        "the report has form {found}, this version reads {SCHEMA}; write it anew with `fawnrouter-lab capacity`"
    )]
    Schema {
        /// The form it has.
        found: u32,
    },
}

impl Report {
    /// Reads a report.
    ///
    /// # Errors
    /// Where it is damaged or of another form.
    pub fn from_json(text: &str) -> Result<Self, ReportError> {
        let report: Self = serde_json::from_str(text)?;
        if report.schema != SCHEMA {
            return Err(ReportError::Schema { found: report.schema });
        }
        Ok(report)
    }

    /// The report as stored: JSON, one field a line, with an end of line.
    ///
    /// # Errors
    /// Where a figure is no number.
    pub fn to_json(&self) -> Result<String, ReportError> {
        let mut text = serde_json::to_string_pretty(self)?;
        text.push('\n');
        Ok(text)
    }

    /// The run of this name.
    #[must_use]
    pub fn run(&self, id: &str) -> Option<&Run> {
        self.runs.iter().find(|run| run.id == id)
    }
}
