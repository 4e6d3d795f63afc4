//! The call table: calls, their attempt legs, the connections to switches and clients, and the timers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use fawnrouter::{AttemptNo, CallId, NewCall, OutcomeDetail, ServerId, Time};
use fawnrouter_sip::transaction::{InviteClientTransaction, InviteServerTransaction};
use fawnrouter_sip::{Dialog, Message};

use crate::identity::Identity;
use crate::interface::{ClientId, Switch};
use crate::timer::{LegId, TimerKey};
use fawnrouter_machine::{Backoff, TimerQueue};

/// The stage of a call.
#[derive(Debug)]
pub(crate) enum Stage {
    /// The call waits for admission, is held by the controller, or has an attempt out; the caller has no
    /// final answer yet.
    Routing,
    /// The caller got 200.
    Established {
        /// The leg to the switch.
        leg: LegId,
        /// The dialog with the caller.
        dialog: Box<Dialog>,
        /// The caller has acknowledged the 200.
        acked: bool,
        /// When the call was established.
        established_at: Time,
    },
    /// The caller got another final answer, whose ACK is awaited.
    Ended,
}

/// A call with the transaction towards its caller.
#[derive(Debug)]
pub(crate) struct Call {
    pub client: ClientId,
    /// The caller's INVITE; dropped once the call is established or has ended.
    pub invite: Option<Box<Message>>,
    pub branch: String,
    pub call_id: Arc<str>,
    /// Random part of the To tags towards the caller.
    pub tag: u32,
    /// Session identifier of RFC 7989, the same on both legs.
    pub session_id: String,
    pub server_transaction: InviteServerTransaction,
    pub stage: Stage,
    pub received_at: Time,
    /// When the caller's time is up.
    pub deadline: Time,
    /// The call to be submitted to the controller, while it waits for admission.
    pub queued: Option<NewCall>,
    /// The leg of the attempt that is out.
    pub current_leg: Option<LegId>,
    pub attempts: u32,
    /// Status and meaning of the last final response of a switch.
    pub last_response: Option<(u16, OutcomeDetail)>,
}

/// The state of an attempt's leg.
#[derive(Debug)]
pub(crate) enum LegState {
    /// The attempt is out, and the controller waits for its outcome.
    Pending,
    /// The attempt has ended for the controller; a late 2xx is released.
    Abandoned,
    /// The call is established on this leg.
    Established {
        dialog: Box<Dialog>,
        /// The connection is lost at present.
        connection_lost: bool,
        /// The connection was lost and came back.
        reconnected: bool,
    },
    /// A BYE was sent, or is pending until the connection comes back.
    Releasing { dialog: Box<Dialog>, bye_pending: bool },
}

/// An attempt's leg to a switch.
#[derive(Debug)]
pub(crate) struct Leg {
    pub call: CallId,
    pub attempt: AttemptNo,
    pub server: ServerId,
    pub client_transaction: InviteClientTransaction,
    pub state: LegState,
    pub sent_at: Time,
    pub uri: String,
    pub via: String,
    pub from: String,
    pub to: String,
    pub call_id: String,
    /// The ACK of the 2xx, to be sent again when the switch repeats the 2xx.
    pub ack: Option<Vec<u8>>,
}

/// The state of the connection to a switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrunkState {
    /// Closed until the next attempt to connect.
    Closed,
    Opening,
    Up,
}

/// A switch with its connection.
#[derive(Debug)]
pub(crate) struct Trunk {
    pub switch: Switch,
    /// The switch is on the list.
    pub listed: bool,
    pub state: TrunkState,
    pub backoff: Backoff,
    pub legs: BTreeSet<LegId>,
}

/// A client's connection.
#[derive(Debug)]
pub(crate) struct Client {
    pub peer: SocketAddr,
    pub host: String,
    pub calls: BTreeSet<CallId>,
    pub identity: Identity,
}

/// Calls, legs, switches and clients by id, and the timers.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    pub calls: BTreeMap<CallId, Call>,
    pub legs: BTreeMap<LegId, Leg>,
    pub trunks: BTreeMap<ServerId, Trunk>,
    pub clients: BTreeMap<ClientId, Client>,
    /// INVITE transactions by connection and branch (RFC 3261 §17.2.3).
    pub by_branch: BTreeMap<(ClientId, String), CallId>,
    /// Calls that only wait for the ACK of their final answer, oldest first; may hold ids of removed calls.
    pub ended: VecDeque<CallId>,
    /// Number of calls in `calls` that have ended.
    pub ended_count: usize,
    pub timers: TimerQueue<TimerKey>,
}

impl CallTable {
    /// Calls that have not ended.
    pub fn live_calls(&self) -> usize {
        self.calls.len() - self.ended_count
    }

    /// Whether the connection to a switch is open.
    pub fn is_connected(&self, server: ServerId) -> bool {
        self.trunks.get(&server).is_some_and(|t| t.state == TrunkState::Up)
    }

    /// The legs to a switch.
    pub fn legs_on(&self, server: ServerId) -> Vec<LegId> {
        self.trunks.get(&server).map(|t| t.legs.iter().copied().collect()).unwrap_or_default()
    }

    /// Removes a call.
    pub fn remove_call(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.timers.clear(TimerKey::Call(id));
        self.by_branch.remove(&(call.client, call.branch.clone()));
        if let Some(client) = self.clients.get_mut(&call.client) {
            client.calls.remove(&id);
        }
        if matches!(call.stage, Stage::Ended) {
            self.ended_count -= 1;
        }
        Some(call)
    }

    /// Ends a call and keeps only what is needed to recognise its ACK and repeated INVITEs. At the limit the
    /// oldest ended call is removed; its ACK then belongs to no known call and is ignored.
    pub fn retire(&mut self, id: CallId, limit: usize) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.invite = None;
        call.queued = None;
        call.stage = Stage::Ended;
        if let Some(client) = self.clients.get_mut(&call.client) {
            client.calls.remove(&id);
        }
        self.ended_count += 1;
        self.ended.push_back(id);
        while self.ended_count > limit {
            let Some(oldest) = self.ended.pop_front() else { break };
            if self.calls.get(&oldest).is_some_and(|c| matches!(c.stage, Stage::Ended)) {
                self.remove_call(oldest);
            }
        }
        // Ids of removed calls are dropped as they reach the front.
        while self.ended.front().is_some_and(|id| !self.calls.contains_key(id)) {
            self.ended.pop_front();
        }
    }

    /// Removes a leg and returns it.
    pub fn remove_leg(&mut self, id: LegId) -> Option<Leg> {
        let leg = self.legs.remove(&id)?;
        self.timers.clear(TimerKey::Leg(id));
        if let Some(trunk) = self.trunks.get_mut(&leg.server) {
            trunk.legs.remove(&id);
        }
        if let Some(call) = self.calls.get_mut(&leg.call).filter(|c| c.current_leg == Some(id)) {
            call.current_leg = None;
        }
        Some(leg)
    }
}
