//! Model check: all orders of events, within bounds, of two voters and two gateways that want one lease. The
//! table, the expiry timer and the fence are the real ones. The holder's rule and the guarantees of the
//! agreement among voters are modelled. Messages may be lost, duplicated and late, leaders change at any
//! time, voters crash with and without their storage, gateways crash or are suspended between checking the
//! permit and acting, and clocks drift up to the bound. Each injected fault must be found.

use std::collections::BTreeSet;
use std::time::Duration;

use fawnrouter::Time;
use fawnrouter_lease::{
    Command, ExpiryTimer, Fence, FencingNumber, GatewayId, Incarnation, LeaseName, LeaseTable, Member, Reply,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// A term, in ticks of real time. A tick is one second in the table.
const TERM_TICKS: u8 = 2;
/// The most ticks that a clock loses or gains per term.
const DRIFT_TICKS: u8 = 1;
/// Steps of an act.
const ACT_STEPS: u8 = 1;

/// A fault in the algorithm that the check must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// The holder counts its term from the reply instead of from the request.
    TermCountedFromReply,
    /// A new leader continues from the clock readings of the old one.
    LeaderKeepsOldReadings,
    /// The resource admits every number.
    NoFencing,
    /// A voter that lost its storage votes as if nothing had been decided.
    VoterLosesState,
    /// The holder uses the whole term, without the allowance for drift.
    DriftIgnored,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// A request, with the sending time by the sender's clock.
    Request { gateway: usize, incarnation: u64, sent_at: u8 },
    /// The reply, with the sending time of the request.
    Granted { gateway: usize, incarnation: u64, number: FencingNumber, sent_at: u8 },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Gateway {
    incarnation: u64,
    clock: u8,
    /// When, in real time, its clock last lost a tick.
    lost_tick_at: Option<u8>,
    requests_sent: u8,
    /// The number under which it holds the lease, and until when by its clock.
    held: Option<(FencingNumber, u8)>,
    /// The number it acts under, after checking its permit, and the steps left. It may be suspended at any
    /// step.
    acting: Option<(FencingNumber, u8)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    table: LeaseTable,
    /// The table before the last decision, for a voter that loses it.
    table_before: LeaseTable,
    /// The clock of the leader.
    leader_clock: u8,
    timer: ExpiryTimer,
    leader_changes: u8,
    gateways: [Gateway; 2],
    network: BTreeSet<Message>,
    /// The number of the act that the resource admitted last, the highest number it knows, and whether an
    /// admitted act ever had a lower number than the one before.
    last_act: Option<FencingNumber>,
    highest: Option<FencingNumber>,
    acts_went_backwards: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// Real time advances by a tick; the clock of one gateway may lose it.
    Tick {
        slow: Option<usize>,
    },
    SendRequest(usize),
    /// Delivers a message at any time and in any order. A message that is never delivered is lost. A
    /// duplicate is modelled as two requests sent at the same time.
    Deliver(Message),
    Expire,
    ChangeLeader {
        /// Whether the voters keep their storage.
        keeps_storage: bool,
    },
    CheckPermit(usize),
    Act(usize),
    Crash(usize),
}

struct LeaseModel {
    fault: InjectedFault,
    /// `true`: acts are modelled, with one request per gateway and clocks that agree. `false`: only clocks
    /// and permits are modelled. Both together have too many states.
    with_acts: bool,
    /// How many ticks of real time are modelled.
    end_tick: u8,
}

fn lease() -> LeaseName {
    "report".parse().unwrap()
}

fn member(gateway: usize, incarnation: u64) -> Member {
    Member { gateway: GatewayId(gateway as u32), incarnation: Incarnation(incarnation) }
}

fn time(ticks: u8) -> Time {
    Time(Duration::from_secs(ticks.into()))
}

impl LeaseModel {
    /// How many ticks of its clock a holder takes a grant to last.
    fn holder_term(&self) -> u8 {
        if self.fault == InjectedFault::DriftIgnored { TERM_TICKS } else { TERM_TICKS - DRIFT_TICKS }
    }

    fn apply(state: &mut State, command: Command) -> Reply {
        state.table_before = state.table.clone();
        let reply = state.table.apply(&command);
        state.timer.observe(time(state.leader_clock), true, &state.table);
        reply
    }

    fn may_act(gateway: &Gateway) -> Option<FencingNumber> {
        gateway.held.filter(|(_, until)| gateway.clock < *until).map(|(number, _)| number)
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut timer = ExpiryTimer::default();
        timer.observe(time(0), true, &LeaseTable::default());
        vec![State {
            now: 0,
            table: LeaseTable::default(),
            table_before: LeaseTable::default(),
            leader_clock: 0,
            timer,
            leader_changes: 0,
            gateways: [Gateway::default(), Gateway::default()],
            network: BTreeSet::new(),
            last_act: None,
            highest: None,
            acts_went_backwards: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < self.end_tick {
            actions.push(Action::Tick { slow: None });
            let may_lose_tick = |gateway: &usize| {
                !self.with_acts
                    && state.gateways[*gateway].lost_tick_at.is_none_or(|at| state.now - at >= TERM_TICKS)
            };
            actions.extend((0..2).filter(may_lose_tick).map(|gateway| Action::Tick { slow: Some(gateway) }));
        }
        for (i, gateway) in state.gateways.iter().enumerate() {
            if gateway.requests_sent < if self.with_acts || i == 1 { 1 } else { 2 } {
                actions.push(Action::SendRequest(i));
            }
            match gateway.acting {
                Some(_) => actions.push(Action::Act(i)),
                None if self.with_acts && Self::may_act(gateway).is_some() => {
                    actions.push(Action::CheckPermit(i))
                }
                None => {}
            }
            if i == 0 && gateway.incarnation == 0 && gateway.held.is_some() {
                actions.push(Action::Crash(i));
            }
        }
        for message in &state.network {
            actions.push(Action::Deliver(message.clone()));
        }
        if !state.timer.due(time(state.leader_clock), &state.table).is_empty() {
            actions.push(Action::Expire);
        }
        if state.leader_changes < 1 {
            // A voter with its storage knows what was decided. Without it, it has no vote, which leaves the
            // same majority.
            actions
                .push(Action::ChangeLeader { keeps_storage: self.fault != InjectedFault::VoterLosesState });
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick { slow } => {
                state.now += 1;
                state.leader_clock += 1;
                for (i, gateway) in state.gateways.iter_mut().enumerate() {
                    if slow == Some(i) {
                        gateway.lost_tick_at = Some(state.now - 1);
                    } else {
                        gateway.clock += 1;
                    }
                }
            }
            Action::SendRequest(i) => {
                let gateway = &mut state.gateways[i];
                gateway.requests_sent += 1;
                state.network.insert(Message::Request {
                    gateway: i,
                    incarnation: gateway.incarnation,
                    sent_at: gateway.clock,
                });
            }
            Action::Deliver(Message::Request { gateway, incarnation, sent_at }) => {
                let term = Duration::from_secs(TERM_TICKS.into());
                let acquire = Command::Acquire { lease: lease(), by: member(gateway, incarnation), term };
                // A request that would be refused needs no entry in the log.
                if state.table.get(&lease()).is_some_and(|entry| entry.holder != member(gateway, incarnation))
                {
                    return None;
                }
                let Reply::Granted { number, .. } = Self::apply(&mut state, acquire) else { return None };
                state.network.insert(Message::Granted { gateway, incarnation, number, sent_at });
                state.network.remove(&Message::Request { gateway, incarnation, sent_at });
            }
            Action::Deliver(Message::Granted { gateway: i, incarnation, number, sent_at }) => {
                let holder_term = self.holder_term();
                let gateway = &mut state.gateways[i];
                if gateway.incarnation != incarnation || gateway.held.is_some_and(|(held, _)| held > number) {
                    return None;
                }
                let from =
                    if self.fault == InjectedFault::TermCountedFromReply { gateway.clock } else { sent_at };
                let until =
                    (from + holder_term).max(gateway.held.filter(|h| h.0 == number).map_or(0, |h| h.1));
                gateway.held = Some((number, until));
                state.network.remove(&Message::Granted { gateway: i, incarnation, number, sent_at });
            }
            Action::Expire => {
                let due = state.timer.due(time(state.leader_clock), &state.table).pop()?;
                Self::apply(&mut state, due);
            }
            Action::ChangeLeader { keeps_storage } => {
                state.leader_changes += 1;
                if !keeps_storage && self.fault == InjectedFault::VoterLosesState {
                    // Its vote completes a majority that does not know the last decision.
                    state.table = state.table_before.clone();
                }
                let clock = time(state.leader_clock);
                if self.fault == InjectedFault::LeaderKeepsOldReadings {
                    // The new leader's machine started earlier, so its clock shows a later time.
                    state.leader_clock += TERM_TICKS;
                } else {
                    state.timer = ExpiryTimer::default();
                    state.timer.observe(clock, true, &state.table);
                }
            }
            Action::CheckPermit(i) => {
                let number = Self::may_act(&state.gateways[i])?;
                state.gateways[i].acting = Some((number, ACT_STEPS));
            }
            Action::Act(i) => {
                let (number, steps_left) = state.gateways[i].acting?;
                let mut fence = Fence::default();
                if let Some(highest) = state.highest {
                    fence.admit(&lease(), highest).ok()?;
                }
                let admitted =
                    self.fault == InjectedFault::NoFencing || fence.admit(&lease(), number).is_ok();
                if admitted {
                    state.highest = state.highest.max(Some(number));
                    state.acts_went_backwards |= state.last_act > Some(number);
                    state.last_act = Some(number);
                }
                state.gateways[i].acting = (admitted && steps_left > 1).then_some((number, steps_left - 1));
            }
            Action::Crash(i) => {
                let gateway = &mut state.gateways[i];
                (gateway.incarnation, gateway.held, gateway.acting) = (gateway.incarnation + 1, None, None);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always(NO_TWO_MAY_ACT, |_, state| {
                state.gateways.iter().filter_map(LeaseModel::may_act).count() < 2
            }),
            Property::<Self>::always(NUMBERS_NEVER_DECREASE, |_, state| !state.acts_went_backwards),
            Property::<Self>::always("a fencing number belongs to one holder", |_, state| {
                let held: Vec<_> =
                    state.gateways.iter().filter_map(|g| g.held.map(|(number, _)| number)).collect();
                held.len() < 2 || held[0] != held[1]
            }),
            Property::<Self>::sometimes(SUCCESSOR_ACTS, |_, state| {
                state.gateways[0].incarnation == 1
                    && state.last_act.is_some_and(|last| Some(last) == state.gateways[1].held.map(|h| h.0))
            }),
        ]
    }
}

/// Runs the check and returns the names of the violated safety properties and the reached states.
fn discoveries(fault: InjectedFault, with_acts: bool, end_tick: u8) -> Vec<&'static str> {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let checker = LeaseModel { fault, with_acts, end_tick }
        .checker()
        .threads(threads)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    if fault == InjectedFault::None
        && let Some(path) = checker.discovery(NO_TWO_MAY_ACT)
    {
        println!("{path}");
    }
    println!("{fault:?}: {} states, depth {}", checker.unique_state_count(), checker.max_depth());
    let mut discoveries: Vec<_> = checker.discoveries().into_keys().collect();
    discoveries.sort_unstable();
    discoveries
}

const NO_TWO_MAY_ACT: &str = "no two gateways may act at once, even without fencing";
const NUMBERS_NEVER_DECREASE: &str = "numbers of admitted acts never decrease";
const SUCCESSOR_ACTS: &str = "the other gateway acts after the holder has crashed";

#[test]
fn no_order_of_events_lets_two_gateways_act_and_a_crashed_holder_is_succeeded() {
    assert!(discoveries(InjectedFault::None, false, 3).is_empty());
    assert_eq!(discoveries(InjectedFault::None, true, 4), [SUCCESSOR_ACTS]);
}

/// 1,892,763 states and more: `cargo test --release -p fawnrouter-lease --test model -- --ignored`.
#[test]
#[ignore = "takes a minute and some 8 GB"]
fn no_order_of_events_lets_two_gateways_act_in_a_longer_run() {
    assert!(discoveries(InjectedFault::None, false, 5).is_empty());
    assert_eq!(discoveries(InjectedFault::None, true, 7), [SUCCESSOR_ACTS]);
}

#[test]
fn each_injected_fault_is_found() {
    use InjectedFault::{
        DriftIgnored, LeaderKeepsOldReadings, NoFencing, TermCountedFromReply, VoterLosesState,
    };
    for fault in [TermCountedFromReply, LeaderKeepsOldReadings, DriftIgnored, VoterLosesState] {
        assert!(discoveries(fault, false, 3).contains(&NO_TWO_MAY_ACT), "{fault:?}");
    }
    assert!(discoveries(NoFencing, true, 4).contains(&NUMBERS_NEVER_DECREASE));
}
