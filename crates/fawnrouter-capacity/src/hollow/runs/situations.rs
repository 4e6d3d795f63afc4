//! Costs of each role in each situation, by gateways of a fleet.

use std::time::Duration;

use super::parallel::{Job, run_all};
use super::{EXACT_QUANTITIES, SeriesCollector, SeriesPosition, Session, configuration};
use crate::figures::{Cause, Per, Quantity, Role, Run, Situation, Size};
use crate::hollow::HollowError;
use crate::hollow::meter::Meter;
use crate::hollow::outcome::{Outcome, RoleOutcome};
use crate::hollow::recording::ReplayCosts;
use crate::hollow::scenario::Scenario;
use crate::plan::{Fault, FaultPlan};

const GATEWAYS: [u32; 4] = [110, 220, 440, 660];
const GATEWAYS_QUICK: [u32; 4] = [6, 9, 12, 15];
const ROLES: [Role; 6] = [
    Role::GatewayCalls,
    Role::GatewayControl,
    Role::CoreSwitch,
    Role::ListSource,
    Role::ZoneLink,
    Role::RegionLink,
];
/// Calls per second at a gateway of the design size if each call passes one gateway: 100,000 over 660
/// gateways.
const DESIGN_CALLS_PER_SECOND: f64 = 152.0;
const DESIGN_CALLS_PER_SECOND_QUICK: f64 = 10.0;
/// Calls per second during a fault, and during the long partition of regions.
const FAULT_CALLS_PER_SECOND: f64 = 5.0;
const PARTITION_CALLS_PER_SECOND: f64 = 1.0;
const WARM_UP: Duration = Duration::from_secs(2);
/// Time from the start of the measurement to the fault.
const FAULT_DELAY: Duration = Duration::from_secs(1);
const ZONE_OUTAGE: Duration = Duration::from_secs(5);
const PARTITION_TIME: Duration = Duration::from_secs(45);
const PARTITION_TIME_QUICK: Duration = Duration::from_secs(5);
/// The zone that fails, other than the name server's zone, and the core switch and service that fail.
const FAILED_ZONE: u32 = 1;
const FAILED_SWITCH: u32 = 1;
const RESTARTED_SERVICE: u32 = 0;
const CONFIGURED_SWITCHES: u32 = 26;
/// A gateway of the service that the faults hit, in a zone that stays up. It receives the calls of the
/// gateway before it, which fails.
const RECORDED_GATEWAY: usize = 2;

/// A situation and the scenario that produces it.
struct SituationPlan {
    situation: Situation,
    name: &'static str,
    /// Calls per second at each gateway.
    rate: f64,
    measured: Duration,
    faults: FaultPlan,
}

fn situation_plans(quick: bool) -> Vec<SituationPlan> {
    let rate = if quick { DESIGN_CALLS_PER_SECOND_QUICK } else { DESIGN_CALLS_PER_SECOND };
    let partition_time = if quick { PARTITION_TIME_QUICK } else { PARTITION_TIME };
    let at = WARM_UP + FAULT_DELAY;
    let single = |fault| FaultPlan::none().with_fault(at, fault);
    let zone = FaultPlan::outage(at, ZONE_OUTAGE, Fault::ZoneGone(FAILED_ZONE), Fault::ZoneBack(FAILED_ZONE));
    let regions = FaultPlan::outage(at, partition_time, Fault::RegionsApart, Fault::RegionsJoined);
    let plan = |situation, name, rate, seconds, faults| SituationPlan {
        situation,
        name,
        rate,
        measured: Duration::from_secs(seconds),
        faults,
    };
    vec![
        plan(Situation::Quiet, "quiet", 0.0, 3, FaultPlan::none()),
        plan(Situation::OrdinaryDay, "ordinary day", rate, 1, FaultPlan::none()),
        plan(
            Situation::MachineGone,
            "a machine gone",
            FAULT_CALLS_PER_SECOND,
            6,
            single(Fault::SwitchGone(FAILED_SWITCH)),
        ),
        plan(
            Situation::RackGone,
            "a rack gone",
            FAULT_CALLS_PER_SECOND,
            6,
            single(Fault::RackGone(FAILED_ZONE)),
        ),
        plan(Situation::ZoneGone, "a zone gone and back", FAULT_CALLS_PER_SECOND, 12, zone),
        plan(
            Situation::RegionsApart,
            "regions apart",
            PARTITION_CALLS_PER_SECOND,
            partition_time.as_secs() + 7,
            regions,
        ),
        plan(
            Situation::ServiceRestart,
            "a service restarted",
            FAULT_CALLS_PER_SECOND,
            7,
            single(Fault::ServiceRestart(RESTARTED_SERVICE)),
        ),
    ]
}

pub(super) fn runs(session: &mut Session<'_>) -> Result<Vec<Run>, HollowError> {
    let mut collector = SeriesCollector::new(Size::Gateways);
    let mut oldest_list = Duration::ZERO;
    let sizes = session.full_or_quick(&GATEWAYS, &GATEWAYS_QUICK);
    let plans = situation_plans(session.options.quick);
    let sized_plans: Vec<(&SituationPlan, u32)> =
        plans.iter().flat_map(|plan| sizes.iter().map(move |gateways| (plan, *gateways))).collect();
    let jobs: Vec<Job> =
        sized_plans.iter().map(|(plan, gateways)| job(session.options.seed, plan, *gateways)).collect();
    let results = run_all(&jobs, session.options.progress)?;
    let meter = Meter::new(session.options.allocator);
    for ((plan, gateways), result) in sized_plans.into_iter().zip(&results) {
        collect_counts(&mut collector, plan, gateways, &result.outcome);
        collect_work(&mut collector, plan, gateways, &result.recording.replay(meter)?);
        if plan.situation == Situation::RegionsApart {
            oldest_list = oldest_list.max(result.outcome.list.max_list_age);
        }
    }
    for gateways in sizes {
        collect_bad_configuration(session, &mut collector, gateways)?;
    }
    let setting = setting(session, oldest_list);
    Ok(vec![session.run("hollow-situations", setting, collector)])
}

fn setting(session: &Session<'_>, oldest_list: Duration) -> String {
    let (rate, partition_time) = if session.options.quick {
        (DESIGN_CALLS_PER_SECOND_QUICK, PARTITION_TIME_QUICK)
    } else {
        (DESIGN_CALLS_PER_SECOND, PARTITION_TIME)
    };
    format!(
        "a fleet as in hollow-gateways, its name server in zone 0; calls a second at each gateway, held 2 s: \
         {rate} on the ordinary day, {PARTITION_CALLS_PER_SECOND} while regions are apart, \
         {FAULT_CALLS_PER_SECOND} while anything else breaks, which begins after {} s; a rack is a fifth of \
         a zone; a zone is away {} s; regions are apart {} s, and at their join the oldest list in use is \
         {:.1} s old; of faults the busiest member is told, in its busiest second and from the start of what \
         is measured to the end, and the most that one held at any whole second; processor time is that of \
         gateway {RECORDED_GATEWAY}, which is of the service that is hit and stays or comes back: its inputs \
         are played again alone",
        FAULT_DELAY.as_secs(),
        ZONE_OUTAGE.as_secs(),
        partition_time.as_secs(),
        oldest_list.as_secs_f64()
    )
}

fn job(seed: u64, plan: &SituationPlan, gateways: u32) -> Job {
    let scenario = Scenario::fleet(seed, gateways)
        .with_measurement_window(WARM_UP, plan.measured)
        .with_call_rate(plan.rate)
        .with_faults(plan.faults.clone());
    let name = format!("hollow-situations, {} at {gateways}", plan.name);
    Job { name, scenario, recorded_gateway: Some(RECORDED_GATEWAY) }
}

impl SituationPlan {
    /// Whether all seconds of the situation are alike.
    fn is_steady(&self) -> bool {
        matches!(self.situation, Situation::Quiet | Situation::OrdinaryDay)
    }
}

/// Collects network traffic and held state of all roles.
fn collect_counts(collector: &mut SeriesCollector, plan: &SituationPlan, gateways: u32, outcome: &Outcome) {
    for role in ROLES {
        let position = SeriesPosition { role, situation: plan.situation, size: f64::from(gateways) };
        let of_role = outcome.role(role);
        for quantity in EXACT_QUANTITIES {
            collect_cost(collector, position, plan, quantity, &of_role);
        }
        for quantity in [Quantity::Connections, Quantity::StateEntries] {
            let held = if plan.is_steady() { of_role.held(quantity) } else { of_role.max_held(quantity) };
            collector.add(position, Cause::All, quantity, Per::Held, held);
        }
    }
}

/// Collects the work of the recorded gateway.
fn collect_work(
    collector: &mut SeriesCollector,
    plan: &SituationPlan,
    gateways: u32,
    replayed: &ReplayCosts,
) {
    let roles = [(Role::GatewayCalls, &replayed.calls), (Role::GatewayControl, &replayed.control)];
    for (role, of_role) in roles {
        let position = SeriesPosition { role, situation: plan.situation, size: f64::from(gateways) };
        collect_cost(collector, position, plan, Quantity::ProcessorMicroseconds, of_role);
    }
}

fn collect_cost(
    collector: &mut SeriesCollector,
    position: SeriesPosition,
    plan: &SituationPlan,
    quantity: Quantity,
    of_role: &RoleOutcome,
) {
    if plan.is_steady() {
        let seconds = plan.measured.as_secs_f64();
        let mean = of_role.mean(Cause::All, quantity).map(|whole| whole / seconds);
        collector.add(position, Cause::All, quantity, Per::Second, mean);
    } else {
        let second = of_role.busiest_member_second(Cause::All, quantity);
        collector.add(position, Cause::All, quantity, Per::PeakSecond, second);
        let whole = of_role.busiest_member(Cause::All, quantity);
        collector.add(position, Cause::All, quantity, Per::Situation, whole);
    }
}

/// Collects the cost of a damaged configuration that is sent to all gateways. The cost of one gateway does
/// not depend on the size of the fleet.
fn collect_bad_configuration(
    session: &mut Session<'_>,
    collector: &mut SeriesCollector,
    gateways: u32,
) -> Result<(), HollowError> {
    (session.options.progress)(&format!("hollow-situations, a bad configuration at {gateways}"));
    let (seed, allocator) = (session.options.seed, session.options.allocator);
    let cost = configuration::read_damaged(seed, CONFIGURED_SWITCHES, allocator)?;
    let position = SeriesPosition {
        role: Role::GatewayControl,
        situation: Situation::BadConfiguration,
        size: f64::from(gateways),
    };
    let bytes = cost.bytes as f64;
    let figures =
        [(Quantity::BytesIn, bytes), (Quantity::ProcessorMicroseconds, cost.processor_microseconds)];
    for (quantity, value) in figures {
        collector.add(position, Cause::Configuration, quantity, Per::Situation, Some(value));
    }
    Ok(())
}
