//! What one restart brings to all members of a role together: a play with it, less the same play without.

use std::time::Duration;

use super::parallel::{Planned, play_all};
use super::{COUNTED, Collector, Session, Spot};
use crate::figures::{Cause, Per, Role, Run, Situation, Size};
use crate::hollow::HollowError;
use crate::hollow::outcome::Outcome;
use crate::hollow::scenario::Scenario;
use crate::plan::{Fault, FaultPlan};

/// Gateways of a service, and as many core switches.
const SERVICE: [u32; 5] = [8, 16, 26, 40, 66];
const SERVICE_QUICK: [u32; 4] = [3, 4, 6, 8];
const PLAYS_OF_A_SIZE: usize = 3;
const CALLS_PER_SECOND: f64 = 5.0;
const WARM_UP: Duration = Duration::from_secs(4);
const MEASURED: Duration = Duration::from_secs(12);
/// From the start of what is measured to the restart.
const AT: Duration = Duration::from_secs(1);
/// A core switch stops so long after it is listed as draining, and is back so long after that.
const DRAIN: Duration = Duration::from_secs(2);
const AWAY: Duration = Duration::from_secs(3);
const CAUSES: [Cause; 3] = [Cause::Calls, Cause::Connections, Cause::Configuration];
const ROLES: [Role; 3] = [Role::GatewayCalls, Role::GatewayControl, Role::CoreSwitch];

pub(super) fn runs(session: &mut Session<'_>) -> Result<Vec<Run>, HollowError> {
    let mut of_gateway = Collector::new(Size::Gateways);
    let mut of_switch = Collector::new(Size::Gateways);
    let sizes = session.choose(&SERVICE, &SERVICE_QUICK);
    let plans: Vec<Planned> =
        sizes.iter().flat_map(|members| plans(session.options.seed, *members)).collect();
    let played = play_all(&plans, session.options.progress)?;
    for (members, played) in sizes.iter().zip(played.chunks(PLAYS_OF_A_SIZE)) {
        if let [without, gateway, switch] = played {
            note(&mut of_gateway, *members, &gateway.outcome, &without.outcome);
            note(&mut of_switch, *members, &switch.outcome, &without.outcome);
        }
    }
    let setting = |what: &str| {
        format!(
            "one service of as many gateways as core switches, {CALLS_PER_SECOND} calls a second at each gateway, held 2 s; \
             what {what} brings to all members of a role together: {} s with it less the same without",
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

/// The plays at one size: without a restart, of a gateway, of a core switch.
fn plans(seed: u64, members: u32) -> [Planned; PLAYS_OF_A_SIZE] {
    let scenario = Scenario::one_service(seed, members, members);
    let scenario = scenario.with_measurement_window(WARM_UP, MEASURED).with_call_rate(CALLS_PER_SECOND);
    let plan = |what, faults| Planned {
        name: format!("hollow-restarts, {what} at {members}"),
        scenario: scenario.clone().with_faults(faults),
        watched: None,
    };
    [
        plan("none", FaultPlan::none()),
        plan("a gateway", gateway_restart()),
        plan("a core switch", switch_restart()),
    ]
}

fn gateway_restart() -> FaultPlan {
    FaultPlan::none().with_fault(WARM_UP + AT, Fault::GatewayRestart(0))
}

fn switch_restart() -> FaultPlan {
    let drains = WARM_UP + AT;
    FaultPlan::outage(drains + DRAIN, AWAY, Fault::SwitchStopped(0), Fault::SwitchBack(0))
        .with_fault(drains, Fault::SwitchDraining(0))
}

fn note(collector: &mut Collector, members: u32, with: &Outcome, without: &Outcome) {
    for role in ROLES {
        let spot = Spot { role, situation: Situation::OrdinaryDay, size: f64::from(members) };
        for cause in CAUSES {
            for quantity in COUNTED {
                let figure =
                    |outcome: &Outcome| outcome.role(role).total.for_cause(cause).quantity_value(quantity);
                let more = figure(with).zip(figure(without)).map(|(with, without)| with - without);
                collector.put(spot, cause, quantity, Per::Event, more);
            }
        }
    }
}
