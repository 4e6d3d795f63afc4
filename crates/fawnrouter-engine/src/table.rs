//! The call table: calls, their attempt legs, the connections to switches, and what is due when.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use fawnrouter::{AttemptNo, CallId, NewCall, OutcomeDetail, ServerId, Time};
use fawnrouter_sip::transaction::{InviteClient, InviteServer};
use fawnrouter_sip::{Dialog, Message};

use crate::due::{Key, LegId};
use crate::identity::Identity;
use crate::interface::{ClientId, Switch};
use fawnrouter_machine::{Backoff, TimerQueue};

/// Where a call stands.
#[derive(Debug)]
pub(crate) enum Stage {
    /// Held or out; no final answer yet.
    Routing,
    /// The caller was told 200.
    Standing {
        /// The leg that it stands on.
        leg: LegId,
        /// The dialog with the caller.
        dialog: Box<Dialog>,
        /// The caller has acknowledged it.
        acked: bool,
        /// Since when.
        since: Time,
    },
    /// The caller was told another final answer, whose ACK is awaited.
    Ended,
}

#[derive(Debug)]
pub(crate) struct Call {
    pub client: ClientId,
    /// Dropped once the call has ended.
    pub invite: Option<Box<Message>>,
    pub branch: String,
    pub call_id: Arc<str>,
    /// Random part of the tags towards the caller.
    pub tag: u32,
    /// RFC 7989 identifier, the same on both sides.
    pub session: String,
    pub server: InviteServer,
    pub stage: Stage,
    pub began: Time,
    /// When its caller's time is up.
    pub due: Time,
    /// What the controller will be told of it when its turn has come.
    pub waits: Option<NewCall>,
    pub out: Option<LegId>,
    pub attempts: u32,
    /// The last final response of a switch.
    pub last: Option<(u16, OutcomeDetail)>,
}

/// Where an attempt's leg stands.
#[derive(Debug)]
pub(crate) enum LegState {
    /// The controller waits for its outcome.
    Out,
    /// The controller has been told of its end; a late answer is released.
    GivenUp,
    /// The call stands on it.
    Standing {
        dialog: Box<Dialog>,
        /// Its connection was lost meanwhile.
        orphan: bool,
        /// The connection was lost and came back.
        revived: bool,
    },
    /// A BYE is out, or waits for the connection to come back.
    Releasing { dialog: Box<Dialog>, unsent: bool },
}

#[derive(Debug)]
pub(crate) struct Leg {
    pub call: CallId,
    pub attempt: AttemptNo,
    pub server: ServerId,
    pub tx: InviteClient,
    pub state: LegState,
    pub sent: Time,
    pub uri: String,
    pub via: String,
    pub from: String,
    pub to: String,
    pub call_id: String,
    /// The ACK of the 2xx, to repeat when the switch repeats its answer.
    pub ack: Option<Vec<u8>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrunkState {
    /// Waits to be opened again.
    Closed,
    Opening,
    Up,
}

#[derive(Debug)]
pub(crate) struct Trunk {
    pub switch: Switch,
    /// The list still names it.
    pub listed: bool,
    pub state: TrunkState,
    pub backoff: Backoff,
    pub legs: BTreeSet<LegId>,
}

#[derive(Debug)]
pub(crate) struct Client {
    pub peer: SocketAddr,
    pub host: String,
    pub calls: BTreeSet<CallId>,
    pub identity: Identity,
}

/// Calls, legs, switches and clients, each found by its id.
#[derive(Debug, Default)]
pub(crate) struct Table {
    pub calls: BTreeMap<CallId, Call>,
    pub legs: BTreeMap<LegId, Leg>,
    pub trunks: BTreeMap<ServerId, Trunk>,
    pub clients: BTreeMap<ClientId, Client>,
    /// INVITE transactions by connection and branch (RFC 3261 §17.2.3).
    pub by_branch: BTreeMap<(ClientId, String), CallId>,
    /// Calls that wait only for the ACK of their refusal, oldest first.
    pub ended: VecDeque<CallId>,
    /// Calls that are ended, of those in `calls`.
    pub ended_count: usize,
    pub due: TimerQueue<Key>,
}

impl Table {
    /// Calls that are held, out or standing.
    pub fn live(&self) -> usize {
        self.calls.len() - self.ended_count
    }

    /// Whether there is a connection to a switch.
    pub fn is_up(&self, server: ServerId) -> bool {
        self.trunks.get(&server).is_some_and(|t| t.state == TrunkState::Up)
    }

    /// The legs to a switch, as they are now.
    pub fn legs_of(&self, server: ServerId) -> Vec<LegId> {
        self.trunks.get(&server).map(|t| t.legs.iter().copied().collect()).unwrap_or_default()
    }

    /// Forgets a call.
    pub fn drop_call(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.due.clear(Key::Call(id));
        self.by_branch.remove(&(call.client, call.branch.clone()));
        if let Some(client) = self.clients.get_mut(&call.client) {
            client.calls.remove(&id);
        }
        if matches!(call.stage, Stage::Ended) {
            self.ended_count -= 1;
        }
        Some(call)
    }

    /// Keeps only what is needed to know a call's ACK and repeats. At the limit the oldest such call is forgotten:
    /// its ACK will then be of no known call, which is ignored.
    pub fn retire(&mut self, id: CallId, limit: usize) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.invite = None;
        call.waits = None;
        call.stage = Stage::Ended;
        if let Some(client) = self.clients.get_mut(&call.client) {
            client.calls.remove(&id);
        }
        self.ended_count += 1;
        self.ended.push_back(id);
        while self.ended_count > limit {
            let Some(oldest) = self.ended.pop_front() else { break };
            if self.calls.get(&oldest).is_some_and(|c| matches!(c.stage, Stage::Ended)) {
                self.drop_call(oldest);
            }
        }
        // Ids of calls that are gone already are dropped as they reach the front.
        while self.ended.front().is_some_and(|id| !self.calls.contains_key(id)) {
            self.ended.pop_front();
        }
    }

    /// Forgets a leg; tells the server it was on.
    pub fn drop_leg(&mut self, id: LegId) -> Option<Leg> {
        let leg = self.legs.remove(&id)?;
        self.due.clear(Key::Leg(id));
        if let Some(trunk) = self.trunks.get_mut(&leg.server) {
            trunk.legs.remove(&id);
        }
        if let Some(call) = self.calls.get_mut(&leg.call).filter(|c| c.out == Some(id)) {
            call.out = None;
        }
        Some(leg)
    }
}
