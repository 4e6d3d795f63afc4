//! Inputs, outputs, settings and counters of the gateway.

use std::net::SocketAddr;
use std::time::Duration;

use fawnrouter::Settings;
use fawnrouter_bootinfo::{ConnectionSettings, NameIndex};
use fawnrouter_dns::Response;
use fawnrouter_jsonl::{DecodeError, Message, Tag};

use crate::boot::Boot;
use crate::client_connections::ClientId;
use crate::descriptor_shares::DescriptorShares;
use crate::links::LinkId;
use crate::memory_shares::MemoryShares;
use crate::switch_list::Pool;

/// The settings of a gateway.
#[derive(Debug)]
pub struct NodeSettings {
    /// Settings of the controller.
    pub controller_settings: Settings,
    /// Ids of the names that calls carry.
    pub names: NameIndex,
    /// Settings of connections.
    pub connections: ConnectionSettings,
    /// Most client connections.
    pub max_clients: usize,
    /// Most connections to core switches.
    pub max_links: usize,
    /// How the memory is divided.
    pub memory: MemoryShares,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl NodeSettings {
    /// Settings from a configuration, with its descriptors divided by [`DescriptorShares`].
    #[must_use]
    pub fn new(boot: &Boot) -> Self {
        let shares = DescriptorShares::divide(boot.descriptors);
        Self {
            controller_settings: boot.settings.clone(),
            names: boot.names.clone(),
            connections: boot.connections,
            max_clients: shares.clients,
            max_links: shares.links,
            memory: MemoryShares::divide(boot.memory_bytes),
            seed: boot.seed,
        }
    }
}

/// How a connection to a core switch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// It was refused: nothing listens at the address.
    Refused,
    /// It did not come up in time, or could not be made.
    Unreachable,
    /// It was up and was closed or reset.
    Broken,
}

/// An event for the gateway.
#[derive(Debug)]
pub enum Input {
    /// A client connected.
    ClientConnected {
        /// Id of the new connection.
        client: ClientId,
    },
    /// A client sent a message.
    ClientMessage {
        /// The sender.
        client: ClientId,
        /// The message.
        message: Message,
    },
    /// A client's set-up that was withdrawn, or whose caller disconnected, before it was processed.
    SetUpWithdrawn {
        /// The sender.
        client: ClientId,
        /// The set-up.
        message: Message,
    },
    /// A client closed its sending side. Messages that it sent before follow, and then
    /// [`Input::ClientDisconnected`].
    ClientHalfClosed {
        /// The client.
        client: ClientId,
    },
    /// A connection ended before a byte of a message about this call was written ([`Output::ToCaller`]).
    /// Reported once for each connection, however many of its messages were about the call.
    NotDelivered {
        /// The call.
        tag: Tag,
    },
    /// All messages that had arrived on a connection that is to be closed have been passed on.
    ClientFullyRead {
        /// The client.
        client: ClientId,
    },
    /// A client's bytes have been read.
    ClientBytesRead {
        /// The client.
        client: ClientId,
        /// Whether an incomplete line is left.
        partial_line: bool,
    },
    /// A client sent a line that is not a message.
    ClientDecodeError {
        /// The client.
        client: ClientId,
        /// What is wrong with the line.
        error: DecodeError,
    },
    /// A client's connection ended.
    ClientDisconnected {
        /// The client.
        client: ClientId,
    },
    /// A connection to a core switch is up.
    LinkUp {
        /// The connection.
        link: LinkId,
    },
    /// A core switch sent a message.
    LinkMessage {
        /// The connection that it arrived on.
        link: LinkId,
        /// The message.
        message: Message,
    },
    /// A core switch sent a line that is not a message.
    LinkDecodeError {
        /// The connection that it arrived on.
        link: LinkId,
        /// What is wrong with the line.
        error: DecodeError,
    },
    /// A connection to a core switch ended or did not come up.
    LinkDown {
        /// The connection.
        link: LinkId,
        /// How it ended.
        end: LinkEnd,
    },
    /// Answer to [`Output::RecallSetUps`]: no byte of this set-up was written, and none will be.
    SetUpRecalled {
        /// The connection that it was queued on.
        link: LinkId,
        /// The call of the set-up.
        tag: Tag,
    },
    /// The name server answered a query for the list.
    ListResponse(Response),
    /// The list in a new configuration.
    ConfiguredList(Pool),
    /// The gateway is to shut down.
    Stop,
    /// The time of [`Node::next_wake`](crate::Node::next_wake) has come.
    Wake,
}

/// An action for the driver. Actions are carried out in order.
#[derive(Debug, PartialEq, Eq)]
pub enum Output {
    /// Write to a client.
    ToClient {
        /// The receiver.
        client: ClientId,
        /// The encoded message.
        line: Vec<u8>,
    },
    /// Write a message about a call that is or was established to a client; report [`Input::NotDelivered`] if
    /// its connection ends before a byte of the message is written.
    ToCaller {
        /// The receiver.
        client: ClientId,
        /// The call that the message is about.
        tag: Tag,
        /// The encoded message.
        line: Vec<u8>,
    },
    /// Read what has arrived on a client's connection, report [`Input::ClientFullyRead`], write what is
    /// queued, then close it in order.
    CloseClient {
        /// The client.
        client: ClientId,
    },
    /// Open a connection to a core switch.
    OpenLink {
        /// Id of the new connection.
        link: LinkId,
        /// Address of the core switch.
        address: SocketAddr,
        /// The connection must be up within this time.
        within: Duration,
    },
    /// Write to a core switch.
    ToLink {
        /// The connection to write on.
        link: LinkId,
        /// The encoded message.
        line: Vec<u8>,
    },
    /// Write a set-up to a core switch, unless its caller has disconnected or withdrawn it by then.
    SetUp {
        /// The caller of the set-up.
        client: ClientId,
        /// The connection to write on.
        link: LinkId,
        /// The call of the set-up.
        tag: Tag,
        /// The encoded message.
        line: Vec<u8>,
    },
    /// Take the set-up back if no byte of it has been written, and write nothing; otherwise write this
    /// release.
    CancelSetUp {
        /// The connection that the set-up was sent on.
        link: LinkId,
        /// The call of the set-up.
        tag: Tag,
        /// The encoded release.
        line: Vec<u8>,
    },
    /// Take back every set-up on this connection of which no byte has been written, and report each with
    /// [`Input::SetUpRecalled`].
    RecallSetUps {
        /// The connection.
        link: LinkId,
    },
    /// Close a connection to a core switch. Set-ups of which no byte has been written are dropped; everything
    /// else is written.
    CloseLink {
        /// The connection.
        link: LinkId,
    },
    /// A log line for operators.
    Log(String),
    /// All calls are answered and all client connections are closed: the process may end.
    Done,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Set-ups accepted.
    pub accepted: u64,
    /// Calls established.
    pub established: u64,
    /// Calls refused.
    pub refused: u64,
    /// Those of the refused that were beyond their client's share, or the gateway's.
    pub beyond_share: u64,
    /// Calls failed.
    pub failed: u64,
    /// Calls abandoned by their callers.
    pub abandoned: u64,
    /// Invalid set-ups and messages from clients.
    pub invalid: u64,
    /// Calls that callers reported and that were not kept, or forgotten for others.
    pub reports_dropped: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Established calls lost by a core switch.
    pub calls_lost: u64,
    /// Messages from core switches that could not be read or used.
    pub invalid_responses: u64,
    /// Connections to core switches that were started.
    pub links_opened: u64,
    /// Connections to core switches that were closed because they did not answer while others did.
    pub dead_links: u64,
    /// Probes sent to core switches.
    pub probes: u64,
    /// Client connections that were not admitted or were closed to make room.
    pub rejected_or_evicted_clients: u64,
}
