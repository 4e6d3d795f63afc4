//! The report of a measurement, stored as JSON; the capacity page is computed from it.

use serde::{Deserialize, Serialize};

/// Version of the report's format that this program writes and reads.
pub const SCHEMA: u32 = 1;

/// All results of one execution of `fawnrouter-lab capacity`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Version of the format; see [`SCHEMA`].
    pub schema: u32,
    /// The machine on which it was measured.
    pub machine: Machine,
    /// All runs, in the order of their execution.
    pub runs: Vec<Run>,
}

/// The machine on which a report was measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory_mib: u64,
}

/// How the figures of a run were obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Method {
    /// Simulation: many gateways without sockets in one process, in virtual time.
    Hollow,
    /// Processes of the gateway's program on loopback.
    Processes,
}

/// One measurement and its conditions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Name of the run, unique within the report, by which the capacity page cites it.
    pub id: String,
    /// How the figures were obtained.
    pub method: Method,
    /// Seed of all random choices.
    pub seed: u64,
    /// Description of what was held fixed: sizes, rates, durations.
    pub setting: String,
    /// The measured series.
    pub series: Vec<Series>,
    /// Histogram of the delays of one hop, if the run measured them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hop_delays: Vec<DelayBucket>,
}

/// One bucket of a histogram of delays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DelayBucket {
    /// The highest delay in this bucket, in nanoseconds.
    pub nanoseconds: u64,
    /// Number of delays in this bucket.
    pub count: u64,
}

/// The part of the system that has a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The call path of a gateway.
    GatewayCalls,
    /// The control functions of a gateway: list and configuration.
    GatewayControl,
    /// A core switch: connections, tests and calls of all gateways that may send it set-ups.
    CoreSwitch,
    /// The source of the list, which is the name server.
    ListSource,
    /// One of the machines reserved for control.
    ControlMachine,
    /// The publisher of configurations.
    Publisher,
    /// The network link of a zone.
    ZoneLink,
    /// The network link of a region.
    RegionLink,
}

/// The operating situation in which a series is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Situation {
    /// No calls and no changes.
    Quiet,
    /// Calls at the design rate, and the restarts and changes of an ordinary day.
    OrdinaryDay,
    /// One core switch fails.
    MachineGone,
    /// A rack of core switches fails.
    RackGone,
    /// The gateways and core switches of a zone fail and recover.
    ZoneGone,
    /// Regions are partitioned from each other for minutes and connected again.
    RegionsApart,
    /// All gateways of a service are restarted.
    ServiceRestart,
    /// A bad configuration is sent to all gateways.
    BadConfiguration,
}

/// What causes a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Set-ups, answers and releases.
    Calls,
    /// Tests of core switches.
    Probes,
    /// Queries for the list, their answers, and applying the list.
    List,
    /// Opening and closing connections.
    Connections,
    /// Timers that expire without causing other work.
    Timers,
    /// Reading and checking a configuration.
    Configuration,
    /// All causes together.
    All,
}

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// Received messages.
    MessagesIn,
    /// Sent messages.
    MessagesOut,
    /// Received bytes as the codecs encode them, without TCP or UDP headers.
    BytesIn,
    /// Sent bytes as the codecs encode them, without TCP or UDP headers.
    BytesOut,
    /// Processor time in microseconds.
    ProcessorMicroseconds,
    /// Number of memory allocations.
    Allocations,
    /// Allocated or resident memory in bytes.
    MemoryBytes,
    /// Open connections.
    Connections,
    /// State entries: calls, links, listed core switches.
    StateEntries,
}

impl Quantity {
    /// Whether runs with the same seed give the same figure on every machine.
    #[must_use]
    pub fn is_exact(self) -> bool {
        !matches!(self, Self::ProcessorMicroseconds | Self::Allocations | Self::MemoryBytes)
    }
}

/// The unit of time, work or state to which a figure refers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Per {
    /// One second of one member of the role, averaged over members.
    Second,
    /// The busiest second of the busiest member of the role.
    PeakSecond,
    /// One call.
    Call,
    /// One event, such as applying a list or reading a configuration.
    Event,
    /// What one member of the role holds at one time.
    Held,
    /// The whole situation, from start to end, for one member of the role.
    Situation,
}

/// The independent variable of a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Size {
    /// Core switches on the list of a gateway.
    SwitchesSeen,
    /// Gateways in the fleet.
    Gateways,
    /// Calls a second at one gateway.
    CallsPerSecond,
    /// Gateways that a call passes one after the other.
    Depth,
    /// Bytes of an encoded list.
    ListBytes,
    /// Changes of list or configuration a day.
    ChangesPerDay,
}

/// Values of one quantity of one role at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// The part of the system that has the cost.
    pub role: Role,
    /// The situation in which it was measured.
    pub situation: Situation,
    /// What causes the cost.
    pub cause: Cause,
    /// What is counted.
    pub quantity: Quantity,
    /// The unit to which the values refer.
    pub per: Per,
    /// The independent variable.
    pub size: Size,
    /// The measured points by increasing size; a fit needs at least four.
    pub points: Vec<Point>,
}

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// Value of the independent variable.
    pub size: f64,
    /// Value of the quantity.
    pub value: f64,
}

/// Why a report cannot be used.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ReportError {
    /// It is not JSON of this format; the message has the line and the column.
    #[error("the report cannot be parsed: {0}; write it anew with `fawnrouter-lab capacity`")]
    Json(#[from] serde_json::Error),
    /// It was written by a program version with another format.
    #[error(
        "the report has format version {found}, this program reads version {SCHEMA}; write it anew with \
         `fawnrouter-lab capacity`"
    )]
    Schema {
        /// The version of its format.
        found: u32,
    },
}

impl Report {
    /// Parses a stored report.
    ///
    /// # Errors
    /// Where the text is not a report or has another format version.
    pub fn from_json(text: &str) -> Result<Self, ReportError> {
        let report: Self = serde_json::from_str(text)?;
        if report.schema != SCHEMA {
            return Err(ReportError::Schema { found: report.schema });
        }
        Ok(report)
    }

    /// The report in the format in which it is stored: JSON with one field a line and a newline at the end.
    ///
    /// # Errors
    /// Where serialization fails.
    pub fn to_json(&self) -> Result<String, ReportError> {
        let mut text = serde_json::to_string_pretty(self)?;
        text.push('\n');
        Ok(text)
    }

    /// The run with this id.
    #[must_use]
    pub fn run(&self, id: &str) -> Option<&Run> {
        self.runs.iter().find(|run| run.id == id)
    }
}
