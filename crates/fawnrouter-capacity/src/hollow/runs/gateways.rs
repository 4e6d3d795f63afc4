//! Series by gateways of a fleet: costs of core switches, of the name server and of the links.

use std::time::Duration;

use super::parallel::{Job, JobResult, run_all};
use super::{SeriesCollector, SeriesPosition, Session};
use crate::figures::{Cause, Role, Run, Situation, Size};
use crate::hollow::HollowError;
use crate::hollow::outcome::Outcome;
use crate::hollow::scenario::Scenario;

const GATEWAYS: [u32; 6] = [30, 110, 330, 660, 1320, 2640];
const GATEWAYS_QUICK: [u32; 4] = [6, 12, 18, 24];
/// Core switches that all gateways may call.
const SHARED_SWITCHES: u32 = 26;
/// So few calls that core switches are silent for long enough to be tested.
const CALLS_PER_SECOND: f64 = 2.0;
const HOLD: Duration = Duration::from_secs(3);
const WARM_UP: Duration = Duration::from_secs(4);
const QUIET_WARM_UP: Duration = Duration::from_secs(1);
const QUIET_MEASURED: Duration = Duration::from_secs(2);
const MEASURED: Duration = Duration::from_secs(4);
const MEASURED_QUICK: Duration = Duration::from_secs(2);
const SWITCH_CAUSES: [Cause; 3] = [Cause::Calls, Cause::Probes, Cause::Connections];

pub(super) fn runs(session: &mut Session<'_>) -> Result<Vec<Run>, HollowError> {
    Ok(vec![in_services(session)?, in_one_service(session)?])
}

/// The outcomes at one size, without calls and with a few.
struct Pair {
    gateways: u32,
    quiet: Outcome,
    calling: Outcome,
}

fn run_pairs(
    session: &mut Session<'_>,
    name: &str,
    fleet: impl Fn(u64, u32) -> Scenario,
) -> Result<Vec<Pair>, HollowError> {
    let sizes = session.full_or_quick(&GATEWAYS, &GATEWAYS_QUICK);
    let measured = session.full_or_quick(&[MEASURED], &[MEASURED_QUICK])[0];
    let mut jobs = Vec::new();
    for gateways in &sizes {
        let quiet =
            fleet(session.options.seed, *gateways).with_measurement_window(QUIET_WARM_UP, QUIET_MEASURED);
        let calling = quiet
            .clone()
            .with_hold_time(HOLD)
            .with_measurement_window(WARM_UP, measured)
            .with_call_rate(CALLS_PER_SECOND);
        for (what, scenario) in [("quiet", quiet), ("calls", calling)] {
            jobs.push(Job {
                name: format!("{name}, {what} at {gateways}"),
                scenario,
                recorded_gateway: None,
            });
        }
    }
    let mut results = run_all(&jobs, session.options.progress)?.into_iter();
    let mut pairs = Vec::new();
    for gateways in sizes {
        if let (Some(JobResult { outcome: quiet, .. }), Some(JobResult { outcome: calling, .. })) =
            (results.next(), results.next())
        {
            pairs.push(Pair { gateways, quiet, calling });
        }
    }
    Ok(pairs)
}

fn in_services(session: &mut Session<'_>) -> Result<Run, HollowError> {
    let mut collector = SeriesCollector::new(Size::Gateways);
    for pair in run_pairs(session, "hollow-gateways", Scenario::fleet)? {
        let position =
            |role| SeriesPosition { role, situation: Situation::Quiet, size: f64::from(pair.gateways) };
        for role in [Role::ListSource, Role::ZoneLink, Role::RegionLink] {
            collector.add_per_second(position(role), &pair.quiet, &[Cause::List]);
        }
        collector.add_held(position(Role::ListSource), &pair.quiet);
        collect_switches(&mut collector, &pair);
    }
    let setting = format!(
        "a fleet in services of 25 or 26 gateways and as many core switches, 6 zones, 3 regions, one name \
         server; each gateway sees its service's core switches; quiet: no calls; ordinary day: \
         {CALLS_PER_SECOND} calls a second at each gateway, held {} s",
        HOLD.as_secs()
    );
    Ok(session.run("hollow-gateways", setting, collector))
}

fn in_one_service(session: &mut Session<'_>) -> Result<Run, HollowError> {
    let mut collector = SeriesCollector::new(Size::Gateways);
    let fleet = |seed, gateways| Scenario::one_service(seed, gateways, SHARED_SWITCHES);
    for pair in run_pairs(session, "hollow-gateways-open", fleet)? {
        collect_switches(&mut collector, &pair);
    }
    let setting = format!(
        "{SHARED_SWITCHES} core switches that every gateway may call; quiet: no calls; ordinary day: \
         {CALLS_PER_SECOND} calls a second at each gateway, held {} s",
        HOLD.as_secs()
    );
    Ok(session.run("hollow-gateways-open", setting, collector))
}

fn collect_switches(collector: &mut SeriesCollector, pair: &Pair) {
    let position =
        |situation| SeriesPosition { role: Role::CoreSwitch, situation, size: f64::from(pair.gateways) };
    collector.add_held(position(Situation::Quiet), &pair.quiet);
    collector.add_per_second(position(Situation::OrdinaryDay), &pair.calling, &SWITCH_CAUSES);
    collector.add_held(position(Situation::OrdinaryDay), &pair.calling);
}
