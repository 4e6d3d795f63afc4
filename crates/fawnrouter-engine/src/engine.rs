//! Inputs, the controller's events and actions, and what comes due.

use std::collections::VecDeque;
use std::time::Duration;

use fawnrouter::{
    Action, AttemptNo, CallId, Controller, Event, ListKind, LoadReport, Outcome, OutcomeDetail, ServerId,
    ServerState, SettingsError, Time,
};
use fawnrouter_admission::CallState;
use fawnrouter_sip::transaction::{ACK_WAIT, CancelStep};
use fawnrouter_zones::{BudgetError, SharedZonePolicy, ZonePolicy};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

use crate::due::{Key, LegId};
use crate::gate::Gate;
use crate::identity::Identity;
use crate::intake::Intake;
use crate::interface::*;
use crate::status;
use crate::table::*;
use fawnrouter_machine::{Backoff, Decide, StateMachine};

/// Settings that no engine can work with.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum EngineError {
    /// The decisions refuse theirs.
    #[error(transparent)]
    Decisions(#[from] SettingsError),
    /// A budget across zones makes no sense.
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
    pub(crate) table: Table,
    pub(crate) now: Time,
    /// Calls without a final answer.
    pub(crate) pending: usize,
    pub(crate) counters: Counters,
    pub(crate) events: VecDeque<Event>,
    pub(crate) out: Vec<Output>,
    next_call: u64,
    pub(crate) next_leg: u64,
    drained_told: bool,
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
    /// An engine that knows its settings and nothing else.
    ///
    /// # Errors
    /// Where the decisions' settings hold figures that make no sense.
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

    /// An engine around something else that decides, as a baseline in a comparison.
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
            table: Table::default(),
            now: Time::default(),
            pending: 0,
            counters: Counters::default(),
            events: VecDeque::new(),
            out: Vec::new(),
            next_call: 0,
            next_leg: 0,
            drained_told: false,
        }
    }

    /// Takes one input at the clock's reading `now` and appends what is to be done. A clock that steps back counts
    /// as one that stands still.
    pub fn handle(&mut self, now: Time, input: Input, outputs: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.fire();
        match input {
            Input::ClientUp { client, peer, origin, must_authenticate: must_prove } => {
                let host = peer.ip().to_string();
                let identity = Identity::new(origin, must_prove);
                let fresh = Client { peer, host, calls: Default::default(), identity };
                self.table.clients.insert(client, fresh);
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
        self.run();
        self.hand_over_next();
        if self.intake.draining() && !self.drained_told && self.table.live() == 0 {
            self.drained_told = true;
            self.out.push(Output::Drained);
        }
        outputs.append(&mut self.out);
    }

    /// When the next [`Input::Wake`] is wanted at the latest.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.table.due.next_at()
    }

    /// Traffic across zones, if it is decided on.
    #[must_use]
    pub const fn zones(&self) -> Option<&SharedZonePolicy> {
        self.zones.as_ref()
    }

    /// Counts since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Calls held, out or standing now.
    #[must_use]
    pub fn live_calls(&self) -> usize {
        self.table.live()
    }

    /// Calls of a client that are held, out or standing now.
    #[must_use]
    pub fn client_call_count(&self, client: ClientId) -> usize {
        self.table.clients.get(&client).map_or(0, |c| c.calls.len())
    }

    /// Legs known now, with those that only wait for a late answer.
    #[must_use]
    pub fn leg_count(&self) -> usize {
        self.table.legs.len()
    }

    /// Timers set now: one for a call, a leg and a switch each at the most, and one of the decisions.
    #[must_use]
    pub fn timer_count(&self) -> usize {
        self.table.due.len()
    }

    pub(crate) fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub(crate) fn new_call_id(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    pub(crate) fn word(&mut self, call: CallId, word: impl FnOnce() -> CallEvent) {
        if self.settings.call_events {
            self.out.push(Output::CallEvent { call, event: word() });
        }
    }

    // ---- The controller's events and actions --------------------------------------------------------------

    /// Gives the controller its events, and carries out its actions, until there are no more. An action may make
    /// an event at once, as when there is no connection to send on.
    pub(crate) fn run(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            // An attempt that ended without a standing call leaves the call with the controller.
            if let Event::Closed { call, done: false, .. } = &event {
                self.set_up_moved(*call, CallState::Routing);
            }
            self.controller.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Issue { call, server, within } => self.issue(call, server, within),
            Action::Cancel { call, attempt } => self.cancel_attempt(call, attempt),
            Action::Refuse { call, retry_after } => self.refuse(call, Some(retry_after)),
            Action::Fail(call) => self.refuse(call, None),
            Action::SetTimer { after, timer } => {
                self.table.due.set(Key::Module(timer), self.now.plus(after));
            }
            Action::Log(line) => self.out.push(Output::Log(line)),
            // Probes and messages between gateways are off in the settings that the engine is given, and the list
            // is pushed: the controller has no use for these here.
            Action::Probe(_) | Action::SendToPeer { .. } | Action::Subscribe | Action::FetchList => {}
        }
    }

    fn cancel_attempt(&mut self, call: CallId, attempt: AttemptNo) {
        let out = self.table.calls.get(&call).and_then(|c| c.out);
        let leg = out.filter(|id| self.table.legs.get(id).is_some_and(|l| l.attempt == attempt));
        if let Some(leg) = leg {
            self.close_leg(leg, Outcome::Cancelled, false);
        }
    }

    fn refuse(&mut self, id: CallId, retry_after: Option<Duration>) {
        let Some(call) = self.table.calls.get(&id).filter(|c| matches!(c.stage, Stage::Routing)) else {
            return;
        };
        let answer = status::answer_to_caller(retry_after, call.last);
        match retry_after {
            Some(_) => self.counters.refused += 1,
            None => self.counters.failed += 1,
        }
        let out = call.out;
        self.answer_final(id, answer);
        if let Some(leg) = out {
            self.abandon_leg(leg);
        }
    }

    /// Tells the controller of the end of an attempt that is out, and gives the leg up.
    pub(crate) fn close_leg(&mut self, id: LegId, outcome: Outcome, done: bool) {
        let Some(leg) = self.table.legs.get(&id).filter(|l| matches!(l.state, LegState::Out)) else { return };
        let (call, attempt, server, took) = (leg.call, leg.attempt, leg.server, self.now.since(leg.sent));
        let (note, report) = (OutcomeDetail::None, LoadReport::default());
        self.events.push_back(Event::Closed {
            call,
            attempt,
            server,
            done,
            outcome,
            detail: note,
            took,
            report,
        });
        self.word(call, || CallEvent::AttemptClosed { attempt, outcome });
        self.abandon_leg(id);
    }

    /// Gives up an attempt: cancels it if that may be, and keeps the leg for a late answer.
    pub(crate) fn abandon_leg(&mut self, id: LegId) {
        let Some(leg) = self.table.legs.get_mut(&id).filter(|l| matches!(l.state, LegState::Out)) else {
            return;
        };
        leg.state = LegState::GivenUp;
        let call = leg.call;
        match leg.tx.cancel() {
            CancelStep::Send => self.send_cancel(id),
            CancelStep::Wait | CancelStep::Over => {}
        }
        if let Some(call) = self.table.calls.get_mut(&call).filter(|c| c.out == Some(id)) {
            call.out = None;
        }
        self.table.due.set(Key::Leg(id), self.now.plus(ACK_WAIT));
    }

    // ---- What comes due ---------------------------------------------------------------------------------------

    fn fire(&mut self) {
        while let Some(key) = self.table.due.pop_due(self.now) {
            match key {
                Key::Module(timer) => self.events.push_back(Event::Timer(timer)),
                Key::Call(call) => self.call_due(call),
                Key::Leg(leg) => self.leg_due(leg),
                Key::Trunk(server) => self.open_trunk(server),
            }
            self.run();
        }
    }

    fn call_due(&mut self, id: CallId) {
        let Some(call) = self.table.calls.get(&id) else { return };
        match &call.stage {
            // The controller answers well before this. It guards against one that did not, as after the process
            // stood still: the caller gets its answer all the same.
            Stage::Routing => {
                if self.wait_expired(id) {
                    return;
                }
                self.counters.failed += 1;
                let answer = status::answer_to_caller(None, None);
                self.lapse(id, answer);
            }
            // No ACK in 64·T1: the call is released on both sides (RFC 3261 §13.3.1.4).
            Stage::Standing { acked: false, .. } => {
                self.bye_caller(id, "SIP;cause=408;text=\"no ACK\"");
                self.release(id, Outcome::Cancelled);
            }
            Stage::Standing { .. } => {}
            Stage::Ended => drop(self.table.drop_call(id)),
        }
    }

    /// Ends a call that the controller still has: it is told that the caller has gone.
    pub(crate) fn lapse(&mut self, id: CallId, answer: status::FinalAnswer) {
        let call = self.table.calls.get(&id);
        let (out, waits) = (call.and_then(|c| c.out), call.is_some_and(|c| c.waits.is_some()));
        self.answer_final(id, answer);
        // The controller has not heard of a call that still waited for its turn.
        if waits {
            return;
        }
        self.events.push_back(Event::Abandoned(id));
        if let Some(leg) = out {
            self.close_leg(leg, Outcome::Cancelled, true);
        }
    }

    fn leg_due(&mut self, id: LegId) {
        let Some(leg) = self.table.legs.get(&id) else { return };
        match leg.state {
            LegState::Out => self.close_leg(id, Outcome::TimedOut, false),
            LegState::Standing { .. } => self.cut(id),
            // A given-up leg whose switch never answered, or a BYE that nobody answered.
            LegState::GivenUp | LegState::Releasing { .. } => {
                let server = leg.server;
                self.table.drop_leg(id);
                self.close_unused(server);
            }
        }
    }

    // ---- Connections and the list ---------------------------------------------------------------------------------

    fn open_trunk(&mut self, server: ServerId) {
        let Some(trunk) = self.table.trunks.get_mut(&server) else { return };
        if trunk.state == TrunkState::Closed {
            trunk.state = TrunkState::Opening;
            self.out.push(Output::OpenTrunk { server, address: trunk.switch.address });
        }
    }

    fn on_trunk_up(&mut self, server: ServerId) {
        let Some(trunk) = self.table.trunks.get_mut(&server) else {
            return self.out.push(Output::CloseTrunk { server });
        };
        trunk.state = TrunkState::Up;
        trunk.backoff.reset();
        for id in self.table.legs_of(server) {
            match self.table.legs.get_mut(&id).map(|l| &mut l.state) {
                Some(LegState::Standing { orphan, revived, .. }) if *orphan => {
                    (*orphan, *revived) = (false, true);
                    self.table.due.clear(Key::Leg(id));
                }
                Some(LegState::Releasing { unsent, .. }) if *unsent => self.send_bye(id),
                _ => {}
            }
        }
    }

    fn on_trunk_down(&mut self, server: ServerId) {
        let pause = {
            let unit = self.unit();
            let Some(trunk) = self.table.trunks.get_mut(&server) else { return };
            trunk.state = TrunkState::Closed;
            trunk.backoff.next_pause(&self.settings.backoff, unit)
        };
        self.table.due.set(Key::Trunk(server), self.now.plus(pause));
        for id in self.table.legs_of(server) {
            let Some(leg) = self.table.legs.get_mut(&id) else { continue };
            match &mut leg.state {
                LegState::Out => {
                    self.close_leg(id, Outcome::Reset, false);
                    // No answer can come on a connection that is gone.
                    self.table.drop_leg(id);
                }
                LegState::GivenUp => drop(self.table.drop_leg(id)),
                LegState::Standing { orphan, .. } if !*orphan => {
                    *orphan = true;
                    self.table.due.set(Key::Leg(id), self.now.plus(self.settings.cut_after));
                }
                LegState::Standing { .. } | LegState::Releasing { .. } => {}
            }
        }
        self.cut_lost(server);
        self.close_unused(server);
    }

    fn on_list(&mut self, kind: ListKind, switches: Vec<Switch>) {
        if matches!(kind, ListKind::Snapshot | ListKind::Cached) {
            let named = |id: &ServerId| switches.iter().any(|s| s.entry.id == *id);
            for trunk in self.table.trunks.iter_mut().filter(|(id, _)| !named(id)).map(|(_, t)| t) {
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
                        self.out.push(Output::CloseTrunk { server: id });
                        self.on_trunk_down(id);
                    }
                    if restarted {
                        self.cut_revived(id);
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
            self.cut_lost(id);
            self.close_unused(id);
        }
        let entries = switches.into_iter().map(|s| s.entry).collect();
        self.events.push_back(Event::List { kind, entries });
    }

    /// A switch that is off the list and whose connection is lost does not come back: its calls are cut at once.
    /// A list that names nobody for a while cuts nothing, as the connections stand.
    fn cut_lost(&mut self, server: ServerId) {
        if self.table.is_up(server) || self.table.trunks.get(&server).is_none_or(|t| t.listed) {
            return;
        }
        for id in self.table.legs_of(server) {
            match self.table.legs.get(&id).map(|l| &l.state) {
                Some(LegState::Standing { .. }) => self.cut(id),
                Some(LegState::Releasing { .. }) => drop(self.table.drop_leg(id)),
                _ => {}
            }
        }
    }

    /// A switch has restarted: calls from before, whose connection was lost, are not known to it.
    fn cut_revived(&mut self, server: ServerId) {
        for id in self.table.legs_of(server) {
            let state = self.table.legs.get(&id).map(|l| &l.state);
            if matches!(state, Some(LegState::Standing { orphan, revived, .. }) if *orphan || *revived) {
                self.cut(id);
            }
        }
    }

    /// Closes the connection to a switch that is off the list once no leg is left on it.
    pub(crate) fn close_unused(&mut self, server: ServerId) {
        let unused = self.table.trunks.get(&server).is_some_and(|t| !t.listed && t.legs.is_empty());
        if unused {
            self.table.trunks.remove(&server);
            self.table.due.clear(Key::Trunk(server));
            self.out.push(Output::CloseTrunk { server });
        }
    }

    /// A standing call was cut on its switch's side.
    fn cut(&mut self, id: LegId) {
        let Some(leg) = self.table.legs.get(&id) else { return };
        let (call, server) = (leg.call, leg.server);
        self.counters.cut += 1;
        // Q.850 cause 27: destination out of order.
        self.bye_caller(call, "Q.850;cause=27;text=\"switch lost\"");
        self.end_standing(call, id, Outcome::Reset);
        self.table.drop_leg(id);
        self.close_unused(server);
    }

    /// Tells the controller of a standing call's end, and forgets the call; its leg stays.
    pub(crate) fn end_standing(&mut self, call: CallId, leg: LegId, outcome: Outcome) {
        let Some(ended) = self.table.drop_call(call) else { return };
        self.set_up_over(call);
        if let (Some(leg), Stage::Standing { since, .. }) = (self.table.legs.get(&leg), &ended.stage) {
            let (attempt, server) = (leg.attempt, leg.server);
            let took = self.now.since(leg.sent);
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
            let stood = self.now.since(*since);
            self.word(call, || CallEvent::Released { outcome, established_for: stood });
        }
    }

    fn stop(&mut self) {
        self.intake.drain();
        for id in self.table.calls.keys().copied().collect::<Vec<_>>() {
            match self.table.calls.get(&id).map(|c| &c.stage) {
                Some(Stage::Routing) => {
                    let retry = Some(self.settings.intake.retry_after);
                    self.counters.refused += 1;
                    self.lapse(id, status::answer_to_caller(retry, None));
                }
                Some(Stage::Standing { .. }) => {
                    self.bye_caller(id, "SIP;cause=503;text=\"gateway ends\"");
                    self.release(id, Outcome::Cancelled);
                }
                _ => {}
            }
        }
    }
}
