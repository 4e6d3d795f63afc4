//! What the gateway is told and what it says.

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
use crate::switch_list::Pool;

/// All that a gateway is told at its start.
#[derive(Debug)]
pub struct NodeSettings {
    /// The decisions' settings.
    pub controller_settings: Settings,
    /// The names that calls carry.
    pub names: NameIndex,
    /// What the settings say of connections.
    pub connections: ConnectionSettings,
    /// Clients' connections at the most.
    pub max_clients: usize,
    /// Connections to core switches at the most.
    pub max_links: usize,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl NodeSettings {
    /// What a configuration says, with its descriptors divided as [`DescriptorShares`] has it.
    #[must_use]
    pub fn new(boot: &Boot) -> Self {
        let shares = DescriptorShares::divide(boot.descriptors);
        Self {
            controller_settings: boot.settings.clone(),
            names: boot.names.clone(),
            connections: boot.connections,
            max_clients: shares.clients,
            max_links: shares.links,
            seed: boot.seed,
        }
    }
}

/// How a connection to a core switch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// It was refused: nobody listens.
    Refused,
    /// It did not come up in time, or could not be made.
    Unreachable,
    /// It was up, and is closed or reset.
    Broken,
}

/// What happened.
#[derive(Debug)]
pub enum Input {
    /// A client connected.
    ClientConnected {
        /// Its number.
        client: ClientId,
    },
    /// A client sent something whole.
    ClientMessage {
        /// Which.
        client: ClientId,
        /// What.
        message: Message,
    },
    /// A set-up that its caller had given up, or left behind with its connection, before anybody looked at it.
    SetUpWithdrawn {
        /// Which client.
        client: ClientId,
        /// The set-up.
        message: Message,
    },
    /// A client ended its side; what it had sent before comes behind this, and then [`Input::ClientDisconnected`].
    ClientHalfClosed {
        /// Which.
        client: ClientId,
    },
    /// A connection ended before a byte of this was written ([`Output::NotifyCaller`]).
    NotDelivered {
        /// Of which call.
        tag: Tag,
    },
    /// All that had come on a connection that is to be closed has been handed on.
    ClientFullyRead {
        /// Which.
        client: ClientId,
    },
    /// A client's bytes have been read; whether a part of a line lies there.
    ClientBytesRead {
        /// Which.
        client: ClientId,
        /// Part of a line is there.
        partial_line: bool,
    },
    /// A client sent what is no message.
    ClientDecodeError {
        /// Which.
        client: ClientId,
        /// What is wrong.
        fault: DecodeError,
    },
    /// A client's connection ended.
    ClientDisconnected {
        /// Which.
        client: ClientId,
    },
    /// A connection to a core switch is up.
    LinkUp {
        /// Which.
        link: LinkId,
    },
    /// A core switch sent something whole.
    LinkMessage {
        /// On which connection.
        link: LinkId,
        /// What.
        message: Message,
    },
    /// A core switch sent what is no message.
    LinkDecodeError {
        /// On which connection.
        link: LinkId,
        /// What is wrong.
        fault: DecodeError,
    },
    /// A connection to a core switch ended or did not come up.
    LinkDown {
        /// Which.
        link: LinkId,
        /// How.
        end: LinkEnd,
    },
    /// After [`Output::RecallSetUps`]: not a byte of this set-up had been written, and none will be.
    SetUpRecalled {
        /// On which connection it lay.
        link: LinkId,
        /// Whose set-up.
        tag: Tag,
    },
    /// The name server answered.
    ListResponse(Response),
    /// A new configuration holds this list.
    ConfiguredList(Pool),
    /// The gateway is to end.
    Stop,
    /// Something is due.
    Wake,
}

/// What is to be done, in this order.
#[derive(Debug, PartialEq, Eq)]
pub enum Output {
    /// Write to a client.
    ToClient {
        /// Which.
        client: ClientId,
        /// A line.
        line: Vec<u8>,
    },
    /// Write to a client what concerns a call that stands or stood; say so if its connection ends before a byte of it is
    /// written ([`Input::NotDelivered`]).
    NotifyCaller {
        /// Which client.
        client: ClientId,
        /// Of which call.
        tag: Tag,
        /// A line.
        line: Vec<u8>,
    },
    /// Take what has come on a client's connection, say that it is read out ([`Input::ClientFullyRead`]), write what waits,
    /// then close it in order.
    CloseClient {
        /// Which.
        client: ClientId,
    },
    /// Open a connection to a core switch.
    OpenLink {
        /// Its number.
        link: LinkId,
        /// Where to.
        address: SocketAddr,
        /// It must be up within this time.
        within: Duration,
    },
    /// Write to a core switch.
    ToLink {
        /// On which connection.
        link: LinkId,
        /// A line.
        line: Vec<u8>,
    },
    /// Write a set-up to a core switch, unless its caller has left it by then.
    SetUp {
        /// Whose it is.
        client: ClientId,
        /// On which connection.
        link: LinkId,
        /// Whose set-up.
        tag: Tag,
        /// A line.
        line: Vec<u8>,
    },
    /// Take that set-up back if not a byte of it has been written, and write nothing; else write this.
    CancelSetUp {
        /// On which connection.
        link: LinkId,
        /// Whose set-up.
        tag: Tag,
        /// A line that gives it up.
        line: Vec<u8>,
    },
    /// Take back every set-up on this connection of which not a byte has been written, and say which they were
    /// ([`Input::SetUpRecalled`]).
    RecallSetUps {
        /// Which connection.
        link: LinkId,
    },
    /// Close a connection to a core switch. Set-ups of which not a byte has been written are dropped, all else is written.
    CloseLink {
        /// Which.
        link: LinkId,
    },
    /// A line for the operators.
    Log(String),
    /// Nothing is owed any more, and all callers' connections have been closed: the gateway may end.
    Done,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Set-ups taken.
    pub accepted: u64,
    /// Calls that stood.
    pub established: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Given up by their callers.
    pub abandoned: u64,
    /// Set-ups that made no sense.
    pub invalid: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Standing calls that a core switch lost.
    pub calls_lost: u64,
    /// Answers that could not be read or used.
    pub invalid_responses: u64,
    /// Connections of clients that got no seat or had to leave theirs.
    pub evicted_clients: u64,
}
