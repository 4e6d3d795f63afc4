//! Settings, inputs, outputs, call events and counters of an [`Engine`](crate::Engine).

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

/// A client's connection, as the driver numbers it. Numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Settings of the controller.
    pub controller: fawnrouter::Settings,
    /// Seed of all random numbers: the controller's, tags, branches, back-off.
    pub seed: u64,
    /// The gateway's host (and port) in Via and Contact.
    pub host: String,
    /// Rules that classify calls.
    pub rules: CallRules,
    /// Limits on calls.
    pub intake: IntakeLimits,
    /// Back-off of reconnections to switches.
    pub backoff: BackoffSettings,
    /// How long an established call outlives the loss of its switch's connection (RFC 3261 §18: connections
    /// are not part of a dialog); then it counts as cut.
    pub cut_after: Duration,
    /// The longest time for a set-up. A longer `Expires` is reduced to it; without `Expires` the class's
    /// deadline applies, reduced in the same way.
    pub max_expires: Duration,
    /// How clients authenticate; `None` means no authentication.
    pub auth: Option<AuthSettings>,
    /// Fairness of set-ups among clients; `None` means that each goes straight to the controller.
    pub set_ups: Option<SetUpSettings>,
    /// Traffic across zones; `None` means that all zones are treated the same.
    pub zones: Option<ZoneSettings>,
    /// Whether the engine emits [`Output::CallEvent`].
    pub call_events: bool,
}

/// A core switch of the list, with its address.
#[derive(Clone, Debug, PartialEq)]
pub struct Switch {
    /// The entry for the controller.
    pub entry: ServerEntry,
    /// The address of its SIP listener (TCP).
    pub address: SocketAddr,
}

/// An event for the engine.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client's connection is open, its handshake done.
    ClientUp {
        /// The connection.
        client: ClientId,
        /// The other end of the connection.
        peer: SocketAddr,
        /// The client's address: the peer's, or the one stated by a trusted forwarder.
        origin: IpAddr,
        /// No request is served before the client has authenticated.
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
    /// The account of traffic across zones from before a restart; `None` if it is lost.
    ZoneAccount(Option<Box<SavedAccount>>),
    /// The time of [`Engine::next_wake`](crate::Engine::next_wake) has come.
    Wake,
    /// Accept no new calls from now on; [`Output::Drained`] follows when the last call has ended.
    Drain,
    /// End all calls now, each with a final answer or a release.
    Stop,
}

/// A task for the driver, to be carried out in the order given.
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
    /// A client has authenticated.
    ClientIdentified {
        /// The connection.
        client: ClientId,
        /// The client's name.
        name: Arc<str>,
    },
    /// Close a client's connection once all pending output has been written.
    CloseClient {
        /// The connection.
        client: ClientId,
        /// The reason.
        reason: &'static str,
    },
    /// Connect to a switch; answer with [`Input::TrunkUp`] or [`Input::TrunkDown`].
    OpenTrunk {
        /// The switch.
        server: ServerId,
        /// The address of its SIP listener.
        address: SocketAddr,
    },
    /// Close the connection to a switch; no [`Input::TrunkDown`] follows.
    CloseTrunk {
        /// The switch.
        server: ServerId,
    },
    /// A log line of the controller.
    Log(String),
    /// An event of a call, if [`EngineSettings::call_events`] is on.
    CallEvent {
        /// The call.
        call: CallId,
        /// The event.
        event: CallEvent,
    },
    /// After [`Input::Drain`]: no call is left.
    Drained,
}

/// An event of a call, for logs and records.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEvent {
    /// The call was accepted.
    Accepted {
        /// The caller's Call-ID.
        call_id: Arc<str>,
        /// The name of the call's class.
        class: Arc<str>,
        /// The number called.
        number: Arc<str>,
    },
    /// A set-up was sent.
    AttemptSent {
        /// Number of the attempt.
        attempt: AttemptNo,
        /// The switch that it was sent to.
        server: ServerId,
    },
    /// An attempt ended without an established call.
    AttemptClosed {
        /// Number of the attempt.
        attempt: AttemptNo,
        /// How the attempt ended.
        outcome: Outcome,
    },
    /// The caller got its final answer.
    Answered {
        /// The status.
        status: u16,
        /// Time since the INVITE came in.
        after: Duration,
    },
    /// The established call ended.
    Released {
        /// How the call ended.
        outcome: Outcome,
        /// Time since it was established.
        established_for: Duration,
    },
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls accepted.
    pub accepted: u64,
    /// Calls rejected for a limit or for drain, answered 503.
    pub rejected: u64,
    /// Calls established.
    pub established: u64,
    /// Calls refused by the controller or by the admission of set-ups.
    pub refused: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Calls that the caller gave up before the final answer.
    pub abandoned: u64,
    /// Established calls that were cut.
    pub cut: u64,
    /// Requests that could not be served and were answered 4xx or 5xx.
    pub invalid: u64,
    /// Set-ups sent.
    pub attempts: u64,
    /// Connections whose client authenticated.
    pub authenticated: u64,
    /// Requests answered 401.
    pub challenged: u64,
    /// Connections closed after too many wrong credentials.
    pub auth_failures: u64,
}
