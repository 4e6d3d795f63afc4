//! What goes into an [`Engine`](crate::Engine) and what comes out of it.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use fawnrouter::{AttemptNo, CallId, ListKind, Outcome, ServerEntry, ServerId};
use fawnrouter_sip::Message;

use fawnrouter_admission::SetUpSettings;
use fawnrouter_machine::BackoffSettings;
use fawnrouter_zones::{SavedAccount, ZoneSettings};

use crate::classify::CallRules;
use crate::identity::{AuthSettings, KnownClient};
use crate::intake::IntakeLimits;

/// A client's connection, as the driver numbers it. Numbers are never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// All that an engine is told at its start.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The decisions' settings.
    pub controller: fawnrouter::Settings,
    /// Seed of all random numbers: the controller's, tags, branches, back-off.
    pub seed: u64,
    /// The gateway's host (and port) in Via and Contact.
    pub host: String,
    /// How calls are told apart.
    pub rules: CallRules,
    /// What is taken at all.
    pub intake: IntakeLimits,
    /// How lost connections to switches come back.
    pub backoff: BackoffSettings,
    /// A standing call outlives the loss of its switch's connection this long (RFC 3261 §18: connections are no
    /// part of a dialog); then it counts as cut.
    pub cut_after: Duration,
    /// The longest `Expires` that is believed; a longer or missing one is replaced by the class's deadline.
    pub max_expires: Duration,
    /// How clients show who they are; `None`: nobody is asked.
    pub auth: Option<AuthSettings>,
    /// Fairness of set-ups among clients; `None`: each goes straight to the controller.
    pub set_ups: Option<SetUpSettings>,
    /// Traffic across zones; `None`: every switch is as near as any other.
    pub zones: Option<ZoneSettings>,
    /// Whether [`Output::CallEvent`]s are wanted.
    pub call_events: bool,
}

/// A core switch of the list, with where it listens.
#[derive(Clone, Debug, PartialEq)]
pub struct Switch {
    /// What the decisions are told of it.
    pub entry: ServerEntry,
    /// Its SIP listener, TCP.
    pub address: SocketAddr,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client's connection is open, its handshake done.
    ClientUp {
        /// The connection.
        client: ClientId,
        /// The other end of the connection.
        peer: SocketAddr,
        /// Where the client is: the peer's address, or what a trusted forwarder said.
        origin: IpAddr,
        /// It gets nothing before it has shown that it is a known client.
        must_authenticate: bool,
    },
    /// The known clients changed.
    KnownClients(Vec<KnownClient>),
    /// A client sent a message.
    ClientMessage {
        /// The connection.
        client: ClientId,
        /// The message.
        message: Box<Message>,
    },
    /// A client's connection is gone.
    ClientDown {
        /// The connection.
        client: ClientId,
    },
    /// A connection to a switch is open.
    TrunkUp {
        /// The switch.
        server: ServerId,
    },
    /// A switch sent a message.
    TrunkMessage {
        /// The switch.
        server: ServerId,
        /// The message.
        message: Box<Message>,
    },
    /// A connection to a switch is gone, or could not be opened.
    TrunkDown {
        /// The switch.
        server: ServerId,
    },
    /// The list of switches changed.
    List {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        switches: Vec<Switch>,
    },
    /// What was spent across zones before a restart; `None` where that is not known any more.
    ZoneAccount(Option<Box<SavedAccount>>),
    /// Nothing but time has passed: [`Engine::next_wake`](crate::Engine::next_wake) is due.
    Wake,
    /// No new calls from now on; [`Output::Drained`] follows when the last one has ended.
    Drain,
    /// End all calls now, each with its final answer or its release.
    Stop,
}

/// What the driver is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a client.
    ToClient {
        /// The connection.
        client: ClientId,
        /// A whole SIP message.
        bytes: Vec<u8>,
    },
    /// Send a message to a switch.
    ToTrunk {
        /// The switch.
        server: ServerId,
        /// A whole SIP message.
        bytes: Vec<u8>,
    },
    /// A client has shown who it is.
    ClientIdentified {
        /// The connection.
        client: ClientId,
        /// The client's name.
        name: Arc<str>,
    },
    /// Close a client's connection once what is on its way has been written.
    CloseClient {
        /// The connection.
        client: ClientId,
        /// Why.
        reason: &'static str,
    },
    /// Connect to a switch; answer with [`Input::TrunkUp`] or [`Input::TrunkDown`].
    OpenTrunk {
        /// The switch.
        server: ServerId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Close the connection to a switch; no [`Input::TrunkDown`] follows.
    CloseTrunk {
        /// The switch.
        server: ServerId,
    },
    /// A line of the decisions for the operators.
    Log(String),
    /// A word about a call, if [`EngineSettings::call_events`] asks for them.
    CallEvent {
        /// The call.
        call: CallId,
        /// What happened to it.
        event: CallEvent,
    },
    /// After [`Input::Drain`]: no call is left.
    Drained,
}

/// What happens to a call, for logs and records.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEvent {
    /// It was taken.
    Accepted {
        /// The caller's Call-ID.
        call_id: Arc<str>,
        /// Its class's name.
        class: Arc<str>,
        /// The number called.
        number: Arc<str>,
    },
    /// A set-up went out.
    AttemptSent {
        /// Which attempt.
        attempt: AttemptNo,
        /// Where to.
        server: ServerId,
    },
    /// An attempt ended without a standing call.
    AttemptClosed {
        /// Which attempt.
        attempt: AttemptNo,
        /// How.
        outcome: Outcome,
    },
    /// The caller got its final answer.
    Answered {
        /// The status.
        status: u16,
        /// Time since the call came in.
        after: Duration,
    },
    /// The standing call is over.
    Released {
        /// How.
        outcome: Outcome,
        /// Time that it stood.
        established_for: Duration,
    },
}

/// Counts since the start, and what stands now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls taken.
    pub accepted: u64,
    /// Calls not taken for limits or drain, answered 503.
    pub rejected: u64,
    /// Calls that stood.
    pub established: u64,
    /// Calls refused by the decisions.
    pub refused: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Calls that the caller gave up.
    pub abandoned: u64,
    /// Standing calls that were cut.
    pub cut: u64,
    /// Requests answered 4xx or 5xx as they could not be worked on.
    pub invalid: u64,
    /// Set-ups sent.
    pub attempts: u64,
    /// Connections that showed who they are.
    pub authenticated: u64,
    /// Requests answered 401.
    pub challenged: u64,
    /// Connections given up for wrong answers.
    pub auth_failures: u64,
}
