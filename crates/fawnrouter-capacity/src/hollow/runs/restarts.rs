//! Cost of one restart to all members of a role together: a simulation with it minus the same one without.

use std::time::Duration;

use super::parallel::{Job, run_all};
use super::{EXACT_QUANTITIES, SeriesCollector, SeriesPosition, Session};
use crate::figures::{Cause, Per, Role, Run, Situation, Size};
use crate::hollow::HollowError;
use crate::hollow::outcome::Outcome;
use crate::hollow::scenario::Scenario;
use crate::plan::{Fault, FaultPlan};

/// Gateways of the service, and as many core switches.
const SERVICE_GATEWAYS: [u32; 5] = [8, 16, 26, 40, 66];
const SERVICE_GATEWAYS_QUICK: [u32; 4] = [3, 4, 6, 8];
const JOBS_PER_SIZE: usize = 3;
const CALLS_PER_SECOND: f64 = 5.0;
const WARM_UP: Duration = Duration::from_secs(4);
const MEASURED: Duration = Duration::from_secs(12);
/// Time from the start of the measurement to the restart.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Time from the listing of a core switch as draining to its stop, and from its stop to its return.
const DRAIN_TIME: Duration = Duration::from_secs(2);
const DOWN_TIME: Duration = Duration::from_secs(3);
const CAUSES: [Cause; 3] = [Cause::Calls, Cause::Connections, Cause::Configuration];
const ROLES: [Role; 3] = [Role::GatewayCalls, Role::GatewayControl, Role::CoreSwitch];

pub(super) fn runs(session: &mut Session<'_>) -> Result<Vec<Run>, HollowError> {
    let mut of_gateway = SeriesCollector::new(Size::Gateways);
    let mut of_switch = SeriesCollector::new(Size::Gateways);
    let sizes = session.full_or_quick(&SERVICE_GATEWAYS, &SERVICE_GATEWAYS_QUICK);
    let jobs: Vec<Job> = sizes.iter().flat_map(|members| jobs(session.options.seed, *members)).collect();
    let results = run_all(&jobs, session.options.progress)?;
    for (members, results) in sizes.iter().zip(results.chunks(JOBS_PER_SIZE)) {
        if let [without, gateway, switch] = results {
            collect_difference(&mut of_gateway, *members, &gateway.outcome, &without.outcome);
            collect_difference(&mut of_switch, *members, &switch.outcome, &without.outcome);
        }
    }
    let setting = |what: &str| {
        format!(
            "one service of as many gateways as core switches, {CALLS_PER_SECOND} calls a second at each \
             gateway, held 2 s; what {what} brings to all members of a role together: {} s with it less the \
             same without",
            MEASURED.as_secs()
        )
    };
    let gateway = setting("the restart of one gateway");
    let switch = setting("a core switch that drains for 2 s, stops and is back after 3 s");
    Ok(vec![
        session.run("hollow-restart-gateway", gateway, of_gateway),
        session.run("hollow-restart-switch", switch, of_switch),
    ])
}

/// The jobs of one size: no restart, restart of a gateway, restart of a core switch.
fn jobs(seed: u64, members: u32) -> [Job; JOBS_PER_SIZE] {
    let scenario = Scenario::one_service(seed, members, members);
    let scenario = scenario.with_measurement_window(WARM_UP, MEASURED).with_call_rate(CALLS_PER_SECOND);
    let job = |what, faults| Job {
        name: format!("hollow-restarts, {what} at {members}"),
        scenario: scenario.clone().with_faults(faults),
        recorded_gateway: None,
    };
    [
        job("none", FaultPlan::none()),
        job("a gateway", gateway_restart()),
        job("a core switch", switch_restart()),
    ]
}

fn gateway_restart() -> FaultPlan {
    FaultPlan::none().with_fault(WARM_UP + RESTART_DELAY, Fault::GatewayRestart(0))
}

fn switch_restart() -> FaultPlan {
    let drains = WARM_UP + RESTART_DELAY;
    FaultPlan::outage(drains + DRAIN_TIME, DOWN_TIME, Fault::SwitchStopped(0), Fault::SwitchBack(0))
        .with_fault(drains, Fault::SwitchDraining(0))
}

fn collect_difference(collector: &mut SeriesCollector, members: u32, with: &Outcome, without: &Outcome) {
    for role in ROLES {
        let position = SeriesPosition { role, situation: Situation::OrdinaryDay, size: f64::from(members) };
        for cause in CAUSES {
            for quantity in EXACT_QUANTITIES {
                let figure =
                    |outcome: &Outcome| outcome.role(role).total.for_cause(cause).quantity_value(quantity);
                let more = figure(with).zip(figure(without)).map(|(with, without)| with - without);
                collector.add(position, cause, quantity, Per::Event, more);
            }
        }
    }
}
