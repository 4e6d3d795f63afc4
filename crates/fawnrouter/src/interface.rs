//! Input and output of a [`Controller`](crate::Controller): settings, events, actions, and the hook for a
//! routing policy. This module makes no decisions.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// A reading of the embedder's clock, as time since an origin that the embedder chooses. It never goes back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub Duration);

impl Time {
    /// The reading `nanos` nanoseconds after the clock's origin.
    #[must_use]
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(Duration::from_nanos(nanos))
    }

    /// Time passed since `earlier`; zero if `earlier` lies ahead.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The reading that is `span` later.
    #[must_use]
    pub fn plus(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }

    /// The reading that is `span` earlier, or the origin if that would lie before it.
    #[must_use]
    pub fn minus(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}

/// Identifies a call at its gateway. Ids are not reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies a core server. A server keeps its id over a restart; a machine that replaces it has another id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// The number of a pool of servers, or of an exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cell(pub u32);

/// The index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// The index of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// The number of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u32);

/// The number of an attempt within its call, counted from 0 in the order of issue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u32);

/// Identifies a timer; chosen by the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// The servers among which repeats of a keyed call are recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// The effect of running the same call a second time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// None: the call may be repeated and refused at any time.
    #[default]
    Safe,
    /// None within the group of servers and the time in which repeats are recognised.
    Keyed {
        /// The servers that share the memory of calls.
        group: RepeatGroup,
        /// How long they remember a call, from the first attempt that may have run.
        window: Duration,
    },
    /// Harm: only a call that has certainly not run may be sent again or refused.
    Unsafe,
}

/// The settings of a class of calls.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// The name of the class.
    pub name: String,
    /// A call that is established within this time earns its full worth.
    pub aim: Duration,
    /// How long a caller keeps trying, counted from its first try.
    pub deadline: Duration,
    /// Worth of an established call.
    pub points: f64,
    /// Share of the worth that remains after the aim.
    pub late_share: f64,
    /// The effect of repeats.
    pub effect: Effect,
    /// The pools that may take calls of the class; `None`: any.
    pub pools: Option<Vec<Cell>>,
}

/// The settings of a tenant that shares the service.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// The name of the tenant.
    pub name: String,
    /// Calls a second inside its share, over all gateways; `None`: no limit.
    pub quota_per_s: Option<f64>,
}

/// The parameters of the routing rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Set-ups must stop going to a draining or gone server within this time.
    pub drain_grace: Duration,
    /// A restarted server has at least this share of its capacity.
    pub cold_from: f64,
    /// A restarted server has its full capacity after this time at the latest.
    pub cold_time: Duration,
    /// A cold server that is sent more than this many times its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long fails.
    pub fall_time: Duration,
    /// A call must not be issued again within this time after a time-out, reset or cancel.
    pub release_guard: Duration,
    /// With [`Discovery::Subscribe`]: the longest time between two requests for the list.
    pub subscribe_within: Duration,
}

/// Limits on attempts, and what the embedder permits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The largest number of attempts for a call.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Gateways may send messages to each other.
    pub peers: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// Callers are told how long to wait before they try again.
    pub retry_after: bool,
    /// The longest such wait that callers observe.
    pub max_retry_after: Duration,
}

/// The topology of the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topology {
    /// Core servers shared by all gateways; no call is in transit.
    Pools,
    /// Exchanges joined by groups of circuits.
    Mesh {
        /// This gateway's own exchange.
        home: Cell,
    },
}

/// How the gateway gets the list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// It is sent without a request.
    Push,
    /// Only after [`Action::Subscribe`].
    Subscribe,
}

/// The settings of a controller.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: u32,
    /// This gateway's number, counted from 0.
    pub own_id: PeerId,
    /// Classes of call.
    pub classes: Vec<ClassSettings>,
    /// Tenants, if any.
    pub tenants: Vec<TenantSettings>,
    /// Worth of a call beyond its tenant's share, as a share of its usual worth.
    pub over_share_worth: f64,
    /// The parameters of the routing rules.
    pub rules: Rules,
    /// Limits on attempts, and what is permitted.
    pub limits: Limits,
    /// The topology of the network.
    pub topology: Topology,
    /// How the list of servers arrives.
    pub discovery: Discovery,
    /// A set-up without an answer is sent again after this time; `None`: never.
    pub resend: Option<Duration>,
    /// The shortest interval at which the embedder drives the controller.
    pub tick: Duration,
}

/// Why settings are not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// There are no gateways.
    NoGateways,
    /// The own number is not below the number of gateways.
    GatewayOutOfRange {
        /// This gateway's number.
        own_id: u32,
        /// The number of gateways.
        gateways: u32,
    },
    /// There are no classes of call.
    NoClasses,
    /// This class has an aim after its deadline, or a deadline of 0.
    BadDeadline(String),
    /// The figure with this name is not a number or out of its range.
    FigureOutOfRange(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoGateways => write!(f, "the settings have no gateways; at least one is required"),
            Self::GatewayOutOfRange { own_id, gateways } => {
                write!(
                    f,
                    "the settings make this gateway {own_id} of {gateways}; gateways are numbered from 0"
                )
            }
            Self::NoClasses => write!(f, "the settings have no classes of calls; at least one is required"),
            Self::BadDeadline(class) => write!(
                f,
                "class {class:?} has an aim after its deadline, or a deadline of 0; set the deadline to at \
                 least the aim"
            ),
            Self::FigureOutOfRange(what) => {
                let wanted = match *what {
                    "cold_from" => "from 0 to 1",
                    "fall_multiple" => "above 0 where servers start cold, and never negative",
                    _ => "0 or more",
                };
                write!(f, "a setting is out of range: {what}; it must be {wanted}")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks whether a controller can work with these settings.
    ///
    /// # Errors
    /// The first fault found.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.gateways == 0 {
            return Err(SettingsError::NoGateways);
        }
        if self.own_id.0 >= self.gateways {
            return Err(SettingsError::GatewayOutOfRange { own_id: self.own_id.0, gateways: self.gateways });
        }
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if let Some(class) = self.classes.iter().find(|c| c.aim > c.deadline || c.deadline.is_zero()) {
            return Err(SettingsError::BadDeadline(class.name.clone()));
        }
        let share = |x: f64| x.is_finite() && (0.0..=1.0).contains(&x);
        let amount = |x: f64| x.is_finite() && x >= 0.0;
        // With a multiple of 0 nothing could ever be sent to a cold server. Where no server is ever cold the
        // multiple has no effect.
        let never_open = self.rules.fall_multiple == 0.0 && !self.rules.cold_time.is_zero();
        let checks = [
            (share(self.rules.cold_from), "cold_from"),
            (amount(self.rules.fall_multiple) && !never_open, "fall_multiple"),
            (amount(self.over_share_worth), "over_share_worth"),
            (self.classes.iter().all(|c| amount(c.points) && amount(c.late_share)), "worth of a class"),
            (self.tenants.iter().all(|t| t.quota_per_s.is_none_or(amount)), "quota of a tenant"),
        ];
        match checks.iter().find(|(ok, _)| !ok) {
            Some((_, what)) => Err(SettingsError::FigureOutOfRange(what)),
            None => Ok(()),
        }
    }
}

/// The state of a server in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Takes calls.
    #[default]
    Ready,
    /// Takes no new calls and finishes those it has.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the list of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// The server's id.
    pub id: ServerId,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its pool or exchange.
    pub cell: Cell,
    /// Its state.
    pub state: ServerState,
    /// When it last started; `None`: long ago or not known.
    pub up_since: Option<Time>,
}

/// The present state of a server, for a [`RoutingPolicy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerView<'a> {
    /// The server's entry in the list.
    pub entry: &'a ServerEntry,
    /// The list says that the server takes calls.
    pub ready: bool,
    /// The server is neither cold nor limited to trials.
    pub healthy: bool,
    /// The fraction of set-ups that its throttle lets pass, 0 to 1.
    pub allowed_fraction: f64,
}

/// A call that needs a server, for a [`RoutingPolicy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingRequest {
    /// The call.
    pub call: CallId,
    /// Its class.
    pub class: Option<ClassId>,
    /// What the call is worth if it is established now, in points.
    pub worth: f64,
    /// The aim of its class.
    pub aim: Duration,
    /// The time left until the aim is over.
    pub aim_left: Duration,
    /// The time left until the final answer is due.
    pub time_left: Duration,
}

/// A policy that takes part in the choice of server, for criteria other than load, such as the cost of
/// crossing into another zone. It is consulted for the first choice and for the redraw and can only exclude
/// servers or lower their weight; it never opens a server that the controller excludes. Like the controller
/// it must use no clock and no unseeded randomness.
pub trait RoutingPolicy: std::fmt::Debug + Send {
    /// Receives the state of all servers, once a tick.
    fn observe(&mut self, now: Time, servers: &mut dyn Iterator<Item = ServerView<'_>>);

    /// The weight of this server for this call: 1 as without a policy, less to be drawn less often, 0 to
    /// exclude it for now.
    fn server_weight(&mut self, now: Time, request: &RoutingRequest, server: &ServerEntry) -> f64;

    /// A set-up of the call is sent to this server.
    fn attempt_sent(&mut self, now: Time, request: &RoutingRequest, server: &ServerEntry);

    /// The call's last set-up was answered or has ended, or the call is over; may be called more than once
    /// for a call.
    fn attempt_resolved(&mut self, call: CallId, established: bool);
}

/// How an update relates to the previous list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The complete list.
    Snapshot,
    /// The complete list as it was last known, possibly old.
    Cached,
    /// A request failed or the subscription ended; there are no entries.
    Failed,
}

/// A call that arrives at this gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NewCall {
    /// The call.
    pub id: CallId,
    /// Its class; `None`: a class that the settings do not name.
    pub class: Option<ClassId>,
    /// The time left for this try, until the caller gives up.
    pub time_left: Duration,
    /// The called number.
    pub number: Arc<str>,
    /// The circuits that the call takes in each group.
    pub width: f64,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// The call is marked as a redial.
    pub redialled: bool,
    /// The call was sent here by another gateway.
    pub transit: bool,
    /// The destination, or the pool of first choice.
    pub destination: Cell,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call was established and ended normally.
    Ended,
    /// The number's lines are busy, or signalling failed.
    Error,
    /// Rejected for lack of capacity, at the server or on the way; it never ran.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection to the server; it never ran.
    ConnectFailed,
    /// The connection broke during set-up or while the call was established.
    Reset,
    /// Cancelled by the gateway or the caller.
    Cancelled,
    /// The set-up was not sent; it never ran.
    Moot,
}

impl Outcome {
    /// Whether the server certainly has not run the call.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot)
    }

    /// Whether the resources of the attempt may stay in use for the time of the release guard.
    #[must_use]
    pub fn needs_release(self) -> bool {
        matches!(self, Self::TimedOut | Self::Reset | Self::Cancelled)
    }
}

/// Details of an outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutcomeDetail {
    /// No details.
    #[default]
    None,
    /// No circuit or agent was free.
    NoCircuit,
    /// A tandem exchange sent the call back (crankback); `true`: the processor beyond it was full.
    Crankback(bool),
    /// The server's processor was full; with the wait that it asked for.
    ProcessorFull(Option<Duration>),
    /// All lines of the number are busy.
    NumberBusy,
}

/// Load figures reported by a server; `None`: not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free circuits towards the server.
    pub free_circuits: Option<f64>,
    /// All circuits towards the server.
    pub total_circuits: Option<f64>,
    /// Share of its processor that is busy, 0 to 1.
    pub utilisation: Option<f64>,
    /// The wait for its processor.
    pub queue_wait: Option<Duration>,
    /// New set-ups a second that the server accepts from all senders together.
    pub acceptable_rate: Option<f64>,
    /// Share of new set-ups that senders should hold back, 0 to 1.
    pub hold_back_share: Option<f64>,
}

/// Input of the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of servers changed, or a request for it failed.
    List {
        /// How the entries relate to the previous list.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A call arrived.
    Call(NewCall),
    /// A call is established.
    Established {
        /// The call.
        call: CallId,
        /// The attempt that succeeded.
        attempt: AttemptNo,
        /// The server that it was sent to.
        server: ServerId,
        /// Time since the attempt was issued.
        took: Duration,
    },
    /// An attempt ended.
    Closed {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptNo,
        /// The server that it was sent to.
        server: ServerId,
        /// The call is over; no final answer is due.
        done: bool,
        /// How it ended.
        outcome: Outcome,
        /// Details of the outcome.
        detail: OutcomeDetail,
        /// Time since the attempt was issued.
        took: Duration,
        /// Load figures of the server.
        report: LoadReport,
    },
    /// The caller has given up, or the final answer is overdue.
    Abandoned(CallId),
    /// A timer is due.
    Timer(TimerId),
    /// The result of a probe, or a change of the free circuits.
    Probed {
        /// The server.
        server: ServerId,
        /// The server answered.
        ok: bool,
        /// Time since the probe was sent; zero: the report came without a probe.
        took: Duration,
        /// Load figures of the server.
        report: LoadReport,
    },
    /// A message from another gateway.
    PeerMessage {
        /// The gateway that sent it.
        from: PeerId,
        /// The text of the message.
        text: String,
    },
}

/// What the embedder must do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up.
    Issue {
        /// The call.
        call: CallId,
        /// The server to send it to.
        server: ServerId,
        /// The attempt times out after this time.
        within: Duration,
    },
    /// Cancel an attempt: stop waiting for its answer.
    Cancel {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final answer to the caller: the call is refused and may be tried again.
    Refuse {
        /// The call.
        call: CallId,
        /// How long the caller should wait before it tries again.
        retry_after: Duration,
    },
    /// Final answer to the caller: the call has failed.
    Fail(CallId),
    /// Pass [`Event::Timer`] with this timer to the controller after a time.
    SetTimer {
        /// The time from now.
        after: Duration,
        /// The timer.
        timer: TimerId,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Send a message to one gateway, or to all.
    SendToPeer {
        /// The receiver; `None`: all gateways.
        to: Option<PeerId>,
        /// The text of the message.
        text: String,
    },
    /// Subscribe to changes of the list of servers.
    Subscribe,
    /// Request the complete list of servers once.
    FetchList,
    /// Write a line to the operators' log.
    Log(String),
}
