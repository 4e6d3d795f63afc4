//! What goes into a [`Controller`](crate::Controller) and what comes out of it.
//!
//! Nothing here decides anything: settings, events and actions only.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// A reading of the embedder's clock: time since an origin of its own choice. It only moves forward.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub Duration);

impl Time {
    /// The reading `nanos` nanoseconds after the clock's origin.
    #[must_use]
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(Duration::from_nanos(nanos))
    }

    /// Time passed since `earlier`, zero if that lies ahead.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The reading this much later.
    #[must_use]
    pub fn plus(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }

    /// The reading this much earlier, the origin at the least.
    #[must_use]
    pub fn minus(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}

/// A call, as the gateway numbers it. Ids are never used again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A core server. It keeps its id over a restart; a machine that replaces it has another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// A pool or exchange number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cell(pub u32);

/// The place of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// The place of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// Another gateway, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u32);

/// How an attempt of a call counts from 0 in the order of issue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u32);

/// A timer, as the controller names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// Where repeats of a keyed call are recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    /// At every server.
    All,
    /// At the servers of one zone.
    Zone,
    /// At the servers of one cell.
    Cell,
}

/// What a second run of the same call would do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it can be repeated and refused at will.
    #[default]
    Safe,
    /// Nothing, within the group of servers and the time in which repeats are recognised.
    Keyed {
        /// The servers that share the memory.
        group: RepeatGroup,
        /// How long they keep it, from the first attempt that may have run.
        window: Duration,
    },
    /// Harm: only a call that has certainly not run may go again or be refused.
    Unsafe,
}

/// A class of call.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// A call that stands within this time earns its full worth.
    pub aim: Duration,
    /// How long a caller keeps trying, from the first try on.
    pub deadline: Duration,
    /// Worth of a call that stands.
    pub points: f64,
    /// Share of the worth that is left after the aim.
    pub late_share: f64,
    /// What repeats do.
    pub effect: Effect,
    /// The pools that may take it; `None`: any.
    pub pools: Option<Vec<Cell>>,
}

/// A tenant that shares the service.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Its name.
    pub name: String,
    /// Calls a second inside its share, over all gateways.
    pub quota_per_s: Option<f64>,
}

/// The figures of the rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Sends to a draining or gone server end within this time.
    pub drain_grace: Duration,
    /// A server starts at this share of its capacity or more.
    pub cold_from: f64,
    /// It is warm after this time at most.
    pub cold_time: Duration,
    /// A cold server sent over this many times its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long falls over.
    pub fall_time: Duration,
    /// No further issue of a call within this time of a time-out, reset or cancel.
    pub release_guard: Duration,
    /// Where the list must be asked for: the longest time between two calls.
    pub subscribe_within: Duration,
}

/// What the embedder permits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The most attempts of one call.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Gateways may write to each other.
    pub peers: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// Callers are told how long to stay away.
    pub retry_after: bool,
    /// The longest time that callers heed.
    pub max_retry_after: Duration,
}

/// The form of the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topology {
    /// Core servers shared by all gateways; nothing is in transit.
    Pools,
    /// Exchanges joined by groups of circuits; `home` is the own one.
    Mesh {
        /// The own exchange.
        home: Cell,
    },
}

/// How the list of servers comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// By itself.
    Push,
    /// Only when asked for.
    Subscribe,
}

/// All that a controller is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: u32,
    /// This gateway's number.
    pub own_id: PeerId,
    /// Classes of call.
    pub classes: Vec<ClassSettings>,
    /// Tenants, if any.
    pub tenants: Vec<TenantSettings>,
    /// Worth of a call beyond its tenant's share, as a share of the usual.
    pub over_share_worth: f64,
    /// The figures of the rules.
    pub rules: Rules,
    /// What is permitted.
    pub limits: Limits,
    /// The form of the network.
    pub topology: Topology,
    /// How the list comes.
    pub discovery: Discovery,
    /// A waiting set-up is sent again after this time; `None`: never.
    pub resend: Option<Duration>,
    /// How often the controller is driven at the most.
    pub tick: Duration,
}

/// Settings that no gateway can work with.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// There are no gateways.
    NoGateways,
    /// The own number is none of theirs.
    GatewayOutOfRange {
        /// The own number.
        own_id: u32,
        /// How many there are.
        gateways: u32,
    },
    /// There are no classes of call.
    NoClasses,
    /// The aim of this class lies after its deadline, or there is no time at all.
    BadDeadline(String),
    /// A figure is not a number, negative, or beyond sense; the text names it.
    FigureOutOfRange(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoGateways => write!(f, "settings name no gateways; there must be one at least"),
            Self::GatewayOutOfRange { own_id, gateways } => {
                write!(f, "settings say that this is gateway {own_id} of {gateways}; number them from 0")
            }
            Self::NoClasses => write!(f, "settings name no classes of call; there must be one at least"),
            Self::BadDeadline(class) => write!(
                f,
                "settings give class {class:?} an aim after its deadline, or a deadline of 0; set the deadline to the \
                 aim at the least"
            ),
            Self::FigureOutOfRange(what) => {
                let wanted = match *what {
                    "cold_from" => "from 0 to 1",
                    "fall_multiple" => "above 0 where servers start cold, and never negative",
                    _ => "0 or more",
                };
                write!(f, "settings hold a figure out of range: {what}; it must be {wanted}")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Tells whether a controller can work with these settings.
    ///
    /// # Errors
    /// Names the first thing found wrong.
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
        // Nothing could ever be sent to a cold server; where none is cold the multiple says nothing.
        let shut = self.rules.fall_multiple == 0.0 && !self.rules.cold_time.is_zero();
        let checks = [
            (share(self.rules.cold_from), "cold_from"),
            (amount(self.rules.fall_multiple) && !shut, "fall_multiple"),
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

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Takes calls.
    #[default]
    Ready,
    /// Finishes its work.
    Draining,
    /// Removed.
    Gone,
}

/// A line of the list of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its pool or exchange.
    pub cell: Cell,
    /// Its state.
    pub state: ServerState,
    /// When it last started; `None`: long ago.
    pub up_since: Option<Time>,
}

/// A server as it is seen now, for a [`RoutingPolicy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerView<'a> {
    /// The server.
    pub entry: &'a ServerEntry,
    /// The list says that it takes calls.
    pub ready: bool,
    /// It is neither cold nor left to trials.
    pub healthy: bool,
    /// The fraction of set-ups that its throttle lets pass, 0 to 1.
    pub allowed_fraction: f64,
}

/// A call that wants a server, for a [`RoutingPolicy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingRequest {
    /// The call.
    pub call: CallId,
    /// Its class.
    pub class: Option<ClassId>,
    /// What it is worth if it stands now, in points.
    pub worth: f64,
    /// Its class's aim.
    pub aim: Duration,
    /// What is left of it.
    pub aim_left: Duration,
    /// Time until its final answer is due.
    pub time_left: Duration,
}

/// A further voice in the choice of server, for what is not the throttle's to decide, as what it costs to cross into
/// another zone. It is heard inside the first choice and the redraw, and can only narrow them: no server is open to a
/// call because of it that was not before. Like the controller it has no clock and no unseeded randomness.
pub trait RoutingPolicy: std::fmt::Debug + Send {
    /// What all servers look like, once a tick.
    fn observe(&mut self, now: Time, servers: &mut dyn Iterator<Item = ServerView<'_>>);

    /// How much this server is wanted for this call: 1 as without a voice, less to be drawn less often, 0 for not now.
    fn server_weight(&mut self, now: Time, wanted: &RoutingRequest, server: &ServerEntry) -> f64;

    /// A set-up goes out there.
    fn attempt_sent(&mut self, now: Time, wanted: &RoutingRequest, server: &ServerEntry);

    /// A call's last set-up has ended, or the call is over; heard more than once.
    fn attempt_resolved(&mut self, call: CallId, stood: bool);
}

/// How an update relates to the list so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The whole list.
    Snapshot,
    /// The whole list as it was last known, maybe old.
    Cached,
    /// A question failed or the subscription broke; no entries.
    Failed,
}

/// A call handed to this gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NewCall {
    /// The call.
    pub id: CallId,
    /// Its class; `None`: one that the settings do not name.
    pub class: Option<ClassId>,
    /// How long this try lasts.
    pub time_left: Duration,
    /// The number called.
    pub number: Arc<str>,
    /// Circuits it takes on each group.
    pub width: f64,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Marked as dialled again.
    pub redialled: bool,
    /// Sent here by another gateway.
    pub transit: bool,
    /// The destination, or the pool of first choice.
    pub destination: Cell,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call ran to its end.
    Ended,
    /// The number's lines are busy, or signalling failed.
    Error,
    /// Turned back or full; it never ran.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// Set-up or standing call cut.
    Reset,
    /// Called off.
    Cancelled,
    /// Not sent; it never ran.
    Moot,
}

impl Outcome {
    /// Whether the server has certainly done nothing for the attempt.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot)
    }

    /// Whether what the attempt held may stay taken for the release guard.
    #[must_use]
    pub fn needs_release(self) -> bool {
        matches!(self, Self::TimedOut | Self::Reset | Self::Cancelled)
    }
}

/// What an outcome says beside its code.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutcomeDetail {
    /// Nothing.
    #[default]
    None,
    /// No circuit or agent was free.
    NoCircuit,
    /// The tandem turned it back; `true`: the processor beyond was full.
    Crankback(bool),
    /// The processor was full, with the wait it told.
    ProcessorFull(Option<Duration>),
    /// Every line of the number is busy.
    NumberBusy,
}

/// Figures that came along from a server, as far as there are any.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free circuits towards it.
    pub free_circuits: Option<f64>,
    /// Circuits towards it.
    pub total_circuits: Option<f64>,
    /// Share of its processor that is busy.
    pub utilisation: Option<f64>,
    /// Wait at its processor.
    pub queue_wait: Option<Duration>,
    /// New set-ups a second it can take from all senders.
    pub acceptable_rate: Option<f64>,
    /// Share of new set-ups that senders should hold back.
    pub hold_back_share: Option<f64>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of servers changed or was asked for in vain.
    List {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A call came in.
    Call(NewCall),
    /// A call stands.
    Established {
        /// The call.
        call: CallId,
        /// The attempt that stands.
        attempt: AttemptNo,
        /// Where.
        server: ServerId,
        /// Time since it was issued.
        took: Duration,
    },
    /// An attempt ended.
    Closed {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptNo,
        /// Where.
        server: ServerId,
        /// The call is finished, no answer is owed.
        done: bool,
        /// How it ended.
        outcome: Outcome,
        /// What was said beside it.
        detail: OutcomeDetail,
        /// Time since it was issued.
        took: Duration,
        /// Figures that came along.
        report: LoadReport,
    },
    /// The caller left, or the answer is overdue.
    Abandoned(CallId),
    /// A timer is due.
    Timer(TimerId),
    /// A probe's answer, or a change of the free circuits.
    Probed {
        /// Which server.
        server: ServerId,
        /// It answered.
        ok: bool,
        /// Time since the probe went out; zero: unasked.
        took: Duration,
        /// Figures that came along.
        report: LoadReport,
    },
    /// A message of another gateway.
    PeerMessage {
        /// The sender.
        from: PeerId,
        /// The text.
        text: String,
    },
}

/// What the embedder is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up.
    Issue {
        /// The call.
        call: CallId,
        /// Where to.
        server: ServerId,
        /// Time-out of the attempt.
        within: Duration,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final answer: turned away.
    Refuse {
        /// The call.
        call: CallId,
        /// How long the caller should stay away.
        retry_after: Duration,
    },
    /// Final answer: given up.
    Fail(CallId),
    /// Wake the controller with [`Event::Timer`].
    SetTimer {
        /// From now.
        after: Duration,
        /// Which timer.
        timer: TimerId,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Write to one gateway, or to all.
    SendToPeer {
        /// To whom; `None`: all.
        to: Option<PeerId>,
        /// The text.
        text: String,
    },
    /// Have changes of the list sent.
    Subscribe,
    /// Have the whole list sent once.
    FetchList,
    /// A line for the operators.
    Log(String),
}
