//! The engine: inputs, the controller's events and actions, timers, and the connections to switches.

use std::collections::VecDeque;
use std::time::Duration;

use fawnrouter::{
    Action, AttemptNo, CallId, Controller, Event, ListKind, LoadReport, Outcome, OutcomeDetail, ServerId,
    ServerState, SettingsError, Time,
};
use fawnrouter_admission::CallState;
use fawnrouter_sip::transaction::{ACK_TIMEOUT, CancelAction};
use fawnrouter_zones::{BudgetError, SharedZonePolicy, ZonePolicy};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

use crate::gate::Gate;
use crate::identity::Identity;
use crate::intake::Intake;
use crate::interface::*;
use crate::status;
use crate::table::*;
use crate::timer::{LegId, TimerKey};
use fawnrouter_machine::{Backoff, Decide, StateMachine};

/// Invalid settings of an engine.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum EngineError {
    /// Invalid settings of the controller.
    #[error(transparent)]
    Decisions(#[from] SettingsError),
    /// An invalid budget across zones.
    #[error("zones: {0}")]
    Budget(#[from] BudgetError),
}

/// The gateway's state machine.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) controller: Box<dyn Decide>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) intake: Intake,
    pub(crate) gate: Gate,
    zones: Option<SharedZonePolicy>,
    pub(crate) table: CallTable,
    pub(crate) now: Time,
    /// Calls without a final answer.
    pub(crate) pending: usize,
    pub(crate) counters: Counters,
    /// Events for the controller that are not processed yet.
    pub(crate) events: VecDeque<Event>,
    /// Outputs of the input that is being handled.
    pub(crate) outputs: Vec<Output>,
    next_call: u64,
    pub(crate) next_leg: u64,
    drain_reported: bool,
}

impl StateMachine for Engine {
    type Input = Input;
    type Output = Output;

    fn handle(&mut self, now: Time, input: Input, outputs: &mut Vec<Output>) {
        Engine::handle(self, now, input, outputs);
    }

    fn next_wake(&self) -> Option<Time> {
        Engine::next_wake(self)
    }

    fn wake() -> Input {
        Input::Wake
    }
}

impl Engine {
    /// Creates an engine without switches or clients.
    ///
    /// # Errors
    /// If the settings of the controller or of a budget are invalid.
    pub fn new(settings: EngineSettings) -> Result<Self, EngineError> {
        let seed = ChaCha8Rng::seed_from_u64(settings.seed).next_u64();
        let mut controller = Controller::new(settings.controller.clone(), seed)?;
        let zones = settings.zones.clone().map(ZonePolicy::new).transpose()?.map(SharedZonePolicy::new);
        if let Some(zones) = &zones {
            controller = controller.with_routing_policy(Box::new(zones.clone()));
        }
        let mut engine = Self::with_controller(settings, Box::new(controller));
        engine.zones = zones;
        Ok(engine)
    }

    /// Creates an engine with another controller, such as a baseline for a comparison.
    #[must_use]
    pub fn with_controller(settings: EngineSettings, controller: Box<dyn Decide>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        rng.set_stream(1);
        Self {
            intake: Intake::new(settings.intake),
            zones: None,
            gate: Gate::new(settings.auth.clone(), settings.set_ups.clone()),
            settings,
            controller,
            rng,
            table: CallTable::default(),
            now: Time::default(),
            pending: 0,
            counters: Counters::default(),
            events: VecDeque::new(),
            outputs: Vec::new(),
            next_call: 0,
            next_leg: 0,
            drain_reported: false,
        }
    }

    /// Handles one input at the time `now` and appends the outputs. A clock that steps back counts as
    /// stopped.
    pub fn handle(&mut self, now: Time, input: Input, outputs: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.fire_timers();
        match input {
            Input::ClientUp { client, peer, origin, must_authenticate } => {
                let host = peer.ip().to_string();
                let identity = Identity::new(origin, must_authenticate);
                let connected = Client { peer, host, calls: Default::default(), identity };
                self.table.clients.insert(client, connected);
            }
            Input::ClientMessage { client, message } => self.on_client_message(client, message),
            Input::ClientDown { client } => self.on_client_down(client),
            Input::TrunkUp { server } => self.on_trunk_up(server),
            Input::TrunkMessage { server, message } => self.on_trunk_message(server, &message),
            Input::TrunkDown { server } => self.on_trunk_down(server),
            Input::List { kind, switches } => self.on_list(kind, switches),
            Input::ZoneAccount(saved) => {
                if let Some(zones) = &self.zones {
                    zones.with(|z| z.restore(self.now, saved.as_deref()));
                }
            }
            Input::KnownClients(clients) => self.set_clients(clients),
            Input::Wake => {}
            Input::Drain => self.intake.drain(),
            Input::Stop => self.stop(),
        }
        self.process_events();
        self.submit_admitted_calls();
        if self.intake.draining() && !self.drain_reported && self.table.live_calls() == 0 {
            self.drain_reported = true;
            self.outputs.push(Output::Drained);
        }
        outputs.append(&mut self.outputs);
    }

    /// The latest time for the next [`Input::Wake`].
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.table.timers.next_at()
    }

    /// The policy for traffic across zones, if it is on.
    #[must_use]
    pub const fn zones(&self) -> Option<&SharedZonePolicy> {
        self.zones.as_ref()
    }

    /// Counts since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Number of calls that have not ended.
    #[must_use]
    pub fn live_calls(&self) -> usize {
        self.table.live_calls()
    }

    /// Number of calls of a client that have not ended.
    #[must_use]
    pub fn client_call_count(&self, client: ClientId) -> usize {
        self.table.clients.get(&client).map_or(0, |c| c.calls.len())
    }

    /// Number of legs, including those that only wait for a late answer.
    #[must_use]
    pub fn leg_count(&self) -> usize {
        self.table.legs.len()
    }

    /// Number of timers that are set: at most one for each call, leg and switch, and one of the controller.
    #[must_use]
    pub fn timer_count(&self) -> usize {
        self.table.timers.len()
    }

    /// A random number in [0, 1).
    pub(crate) fn random_unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub(crate) fn new_call_id(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    pub(crate) fn emit_call_event(&mut self, call: CallId, event: impl FnOnce() -> CallEvent) {
        if self.settings.call_events {
            self.outputs.push(Output::CallEvent { call, event: event() });
        }
    }

    // ---- The controller's events and actions --------------------------------------------------------------

    /// Passes pending events to the controller and carries out its actions until there are no more events. An
    /// action may cause an event at once, for example when there is no connection to send on.
    pub(crate) fn process_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            // After an attempt without an established call the controller holds the call again.
            if let Event::Closed { call, done: false, .. } = &event {
                self.set_up_state_changed(*call, CallState::Routing);
            }
            self.controller.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(action);
            }
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Issue { call, server, within } => self.send_set_up(call, server, within),
            Action::Cancel { call, attempt } => self.cancel_attempt(call, attempt),
            Action::Refuse { call, retry_after } => self.refuse(call, Some(retry_after)),
            Action::Fail(call) => self.refuse(call, None),
            Action::SetTimer { after, timer } => {
                self.table.timers.set(TimerKey::Controller(timer), self.now.plus(after));
            }
            Action::Log(line) => self.outputs.push(Output::Log(line)),
            // Probes and messages between gateways are off in the engine's settings, and the list is pushed:
            // the controller does not use these actions here.
            Action::Probe(_) | Action::SendToPeer { .. } | Action::Subscribe | Action::FetchList => {}
        }
    }

    fn cancel_attempt(&mut self, call: CallId, attempt: AttemptNo) {
        let current_leg = self.table.calls.get(&call).and_then(|c| c.current_leg);
        let leg = current_leg.filter(|id| self.table.legs.get(id).is_some_and(|l| l.attempt == attempt));
        if let Some(leg) = leg {
            self.close_attempt(leg, Outcome::Cancelled, false);
        }
    }

    fn refuse(&mut self, id: CallId, retry_after: Option<Duration>) {
        let Some(call) = self.table.calls.get(&id).filter(|c| matches!(c.stage, Stage::Routing)) else {
            return;
        };
        let answer = status::answer_to_caller(retry_after, call.last_response);
        match retry_after {
            Some(_) => self.counters.refused += 1,
            None => self.counters.failed += 1,
        }
        let current_leg = call.current_leg;
        self.send_final(id, answer);
        if let Some(leg) = current_leg {
            self.abandon_leg(leg);
        }
    }

    /// Reports the end of a pending attempt to the controller and abandons the leg.
    pub(crate) fn close_attempt(&mut self, id: LegId, outcome: Outcome, done: bool) {
        let Some(leg) = self.table.legs.get(&id).filter(|l| matches!(l.state, LegState::Pending)) else {
            return;
        };
        let (call, attempt, server, took) = (leg.call, leg.attempt, leg.server, self.now.since(leg.sent_at));
        let (detail, report) = (OutcomeDetail::None, LoadReport::default());
        self.events.push_back(Event::Closed { call, attempt, server, done, outcome, detail, took, report });
        self.emit_call_event(call, || CallEvent::AttemptClosed { attempt, outcome });
        self.abandon_leg(id);
    }

    /// Abandons an attempt: cancels it if SIP allows that yet, and keeps the leg for a late answer.
    pub(crate) fn abandon_leg(&mut self, id: LegId) {
        let Some(leg) = self.table.legs.get_mut(&id).filter(|l| matches!(l.state, LegState::Pending)) else {
            return;
        };
        leg.state = LegState::Abandoned;
        let call = leg.call;
        match leg.client_transaction.cancel() {
            CancelAction::Send => self.send_cancel(id),
            CancelAction::Wait | CancelAction::Nothing => {}
        }
        if let Some(call) = self.table.calls.get_mut(&call).filter(|c| c.current_leg == Some(id)) {
            call.current_leg = None;
        }
        self.table.timers.set(TimerKey::Leg(id), self.now.plus(ACK_TIMEOUT));
    }

    // ---- Timers -------------------------------------------------------------------------------------------

    fn fire_timers(&mut self) {
        while let Some(key) = self.table.timers.pop_due(self.now) {
            match key {
                TimerKey::Controller(timer) => self.events.push_back(Event::Timer(timer)),
                TimerKey::Call(call) => self.on_call_timer(call),
                TimerKey::Leg(leg) => self.on_leg_timer(leg),
                TimerKey::Trunk(server) => self.open_trunk(server),
            }
            self.process_events();
        }
    }

    fn on_call_timer(&mut self, id: CallId) {
        let Some(call) = self.table.calls.get(&id) else { return };
        match &call.stage {
            // The controller answers well before the deadline. If it did not, for example because the process
            // was stopped for a while, the caller still gets its answer.
            Stage::Routing => {
                if self.set_up_wait_expired(id) {
                    return;
                }
                self.counters.failed += 1;
                let answer = status::answer_to_caller(None, None);
                self.end_routing(id, answer);
            }
            // No ACK within 64·T1: the call is released on both sides (RFC 3261 §13.3.1.4).
            Stage::Established { acked: false, .. } => {
                self.send_bye_to_caller(id, "SIP;cause=408;text=\"no ACK\"");
                self.release_call(id, Outcome::Cancelled);
            }
            Stage::Established { .. } => {}
            Stage::Ended => drop(self.table.remove_call(id)),
        }
    }

    /// Ends a call without a final answer yet: answers it, and reports to the controller that its caller has
    /// gone.
    pub(crate) fn end_routing(&mut self, id: CallId, answer: status::FinalAnswer) {
        let call = self.table.calls.get(&id);
        let current_leg = call.and_then(|c| c.current_leg);
        let queued = call.is_some_and(|c| c.queued.is_some());
        self.send_final(id, answer);
        // A call that still waited for admission was never submitted to the controller.
        if queued {
            return;
        }
        self.events.push_back(Event::Abandoned(id));
        if let Some(leg) = current_leg {
            self.close_attempt(leg, Outcome::Cancelled, true);
        }
    }

    fn on_leg_timer(&mut self, id: LegId) {
        let Some(leg) = self.table.legs.get(&id) else { return };
        match leg.state {
            LegState::Pending => self.close_attempt(id, Outcome::TimedOut, false),
            LegState::Established { .. } => self.cut_call(id),
            // The switch did not answer an abandoned INVITE, or a BYE.
            LegState::Abandoned | LegState::Releasing { .. } => {
                let server = leg.server;
                self.table.remove_leg(id);
                self.close_unused_trunk(server);
            }
        }
    }

    // ---- Connections to switches, and the list ------------------------------------------------------------

    fn open_trunk(&mut self, server: ServerId) {
        let Some(trunk) = self.table.trunks.get_mut(&server) else { return };
        if trunk.state == TrunkState::Closed {
            trunk.state = TrunkState::Opening;
            self.outputs.push(Output::OpenTrunk { server, address: trunk.switch.address });
        }
    }

    fn on_trunk_up(&mut self, server: ServerId) {
        let Some(trunk) = self.table.trunks.get_mut(&server) else {
            return self.outputs.push(Output::CloseTrunk { server });
        };
        trunk.state = TrunkState::Up;
        trunk.backoff.reset();
        for id in self.table.legs_on(server) {
            match self.table.legs.get_mut(&id).map(|l| &mut l.state) {
                Some(LegState::Established { connection_lost, reconnected, .. }) if *connection_lost => {
                    (*connection_lost, *reconnected) = (false, true);
                    self.table.timers.clear(TimerKey::Leg(id));
                }
                Some(LegState::Releasing { bye_pending, .. }) if *bye_pending => self.send_bye(id),
                _ => {}
            }
        }
    }

    fn on_trunk_down(&mut self, server: ServerId) {
        let pause = {
            let unit = self.random_unit();
            let Some(trunk) = self.table.trunks.get_mut(&server) else { return };
            trunk.state = TrunkState::Closed;
            trunk.backoff.next_pause(&self.settings.backoff, unit)
        };
        self.table.timers.set(TimerKey::Trunk(server), self.now.plus(pause));
        for id in self.table.legs_on(server) {
            let Some(leg) = self.table.legs.get_mut(&id) else { continue };
            match &mut leg.state {
                LegState::Pending => {
                    self.close_attempt(id, Outcome::Reset, false);
                    // No answer can arrive on a connection that is lost.
                    self.table.remove_leg(id);
                }
                LegState::Abandoned => drop(self.table.remove_leg(id)),
                LegState::Established { connection_lost, .. } if !*connection_lost => {
                    *connection_lost = true;
                    self.table.timers.set(TimerKey::Leg(id), self.now.plus(self.settings.cut_after));
                }
                LegState::Established { .. } | LegState::Releasing { .. } => {}
            }
        }
        self.cut_calls_of_lost_switch(server);
        self.close_unused_trunk(server);
    }

    fn on_list(&mut self, kind: ListKind, switches: Vec<Switch>) {
        if matches!(kind, ListKind::Snapshot | ListKind::Cached) {
            let listed = |id: &ServerId| switches.iter().any(|s| s.entry.id == *id);
            for trunk in self.table.trunks.iter_mut().filter(|(id, _)| !listed(id)).map(|(_, t)| t) {
                trunk.listed = false;
            }
        }
        for switch in &switches {
            let id = switch.entry.id;
            let gone = switch.entry.state == ServerState::Gone;
            match self.table.trunks.get_mut(&id) {
                Some(trunk) => {
                    let moved = trunk.switch.address != switch.address;
                    let restarted = trunk.switch.entry.up_since != switch.entry.up_since;
                    trunk.switch = switch.clone();
                    trunk.listed = !gone;
                    if moved && !gone {
                        self.outputs.push(Output::CloseTrunk { server: id });
                        self.on_trunk_down(id);
                    }
                    if restarted {
                        self.cut_calls_before_restart(id);
                    }
                }
                None if gone => {}
                None => {
                    let trunk = Trunk {
                        switch: switch.clone(),
                        listed: true,
                        state: TrunkState::Closed,
                        backoff: Backoff::default(),
                        legs: Default::default(),
                    };
                    self.table.trunks.insert(id, trunk);
                    self.open_trunk(id);
                }
            }
        }
        let unlisted: Vec<ServerId> =
            self.table.trunks.iter().filter(|(_, t)| !t.listed).map(|(id, _)| *id).collect();
        for id in unlisted {
            self.cut_calls_of_lost_switch(id);
            self.close_unused_trunk(id);
        }
        let entries = switches.into_iter().map(|s| s.entry).collect();
        self.events.push_back(Event::List { kind, entries });
    }

    /// Cuts the calls of a switch that is off the list and whose connection is lost, as it will not come
    /// back. A list that is empty for a while cuts nothing by itself, because the connections are still open.
    fn cut_calls_of_lost_switch(&mut self, server: ServerId) {
        if self.table.is_connected(server) || self.table.trunks.get(&server).is_none_or(|t| t.listed) {
            return;
        }
        for id in self.table.legs_on(server) {
            match self.table.legs.get(&id).map(|l| &l.state) {
                Some(LegState::Established { .. }) => self.cut_call(id),
                Some(LegState::Releasing { .. }) => drop(self.table.remove_leg(id)),
                _ => {}
            }
        }
    }

    /// Cuts the calls from before a switch's restart, which are those whose connection was lost: the switch
    /// no longer knows them.
    fn cut_calls_before_restart(&mut self, server: ServerId) {
        for id in self.table.legs_on(server) {
            let interrupted = match self.table.legs.get(&id).map(|l| &l.state) {
                Some(LegState::Established { connection_lost, reconnected, .. }) => {
                    *connection_lost || *reconnected
                }
                _ => false,
            };
            if interrupted {
                self.cut_call(id);
            }
        }
    }

    /// Removes a switch that is off the list and has no leg left, and closes the connection.
    pub(crate) fn close_unused_trunk(&mut self, server: ServerId) {
        let unused = self.table.trunks.get(&server).is_some_and(|t| !t.listed && t.legs.is_empty());
        if unused {
            self.table.trunks.remove(&server);
            self.table.timers.clear(TimerKey::Trunk(server));
            self.outputs.push(Output::CloseTrunk { server });
        }
    }

    /// Ends an established call that its switch has lost.
    fn cut_call(&mut self, id: LegId) {
        let Some(leg) = self.table.legs.get(&id) else { return };
        let (call, server) = (leg.call, leg.server);
        self.counters.cut += 1;
        // Q.850 cause 27: destination out of order.
        self.send_bye_to_caller(call, "Q.850;cause=27;text=\"switch lost\"");
        self.end_established(call, id, Outcome::Reset);
        self.table.remove_leg(id);
        self.close_unused_trunk(server);
    }

    /// Reports the end of an established call to the controller and removes the call; its leg stays.
    pub(crate) fn end_established(&mut self, call: CallId, leg: LegId, outcome: Outcome) {
        let Some(ended) = self.table.remove_call(call) else { return };
        self.set_up_ended(call);
        if let (Some(leg), Stage::Established { established_at, .. }) =
            (self.table.legs.get(&leg), &ended.stage)
        {
            let (attempt, server) = (leg.attempt, leg.server);
            let took = self.now.since(leg.sent_at);
            let (detail, report) = (OutcomeDetail::None, LoadReport::default());
            let done = true;
            self.events.push_back(Event::Closed {
                call,
                attempt,
                server,
                done,
                outcome,
                detail,
                took,
                report,
            });
            let established_for = self.now.since(*established_at);
            self.emit_call_event(call, || CallEvent::Released { outcome, established_for });
        }
    }

    fn stop(&mut self) {
        self.intake.drain();
        for id in self.table.calls.keys().copied().collect::<Vec<_>>() {
            match self.table.calls.get(&id).map(|c| &c.stage) {
                Some(Stage::Routing) => {
                    let retry = Some(self.settings.intake.retry_after);
                    self.counters.refused += 1;
                    self.end_routing(id, status::answer_to_caller(retry, None));
                }
                Some(Stage::Established { .. }) => {
                    self.send_bye_to_caller(id, "SIP;cause=503;text=\"gateway ends\"");
                    self.release_call(id, Outcome::Cancelled);
                }
                _ => {}
            }
        }
    }
}
