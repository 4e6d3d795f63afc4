//! Series by calls per second at one gateway and by changes of the list.

use std::time::Duration;

use super::{SeriesCollector, SeriesPosition, Session};
use crate::design::SECONDS_PER_DAY;
use crate::figures::{Cause, Role, Run, Situation, Size};
use crate::hollow::HollowError;
use crate::hollow::scenario::Scenario;

/// Core switches of a service.
const SWITCHES_SEEN: u32 = 26;
const CALLS_PER_SECOND: [f64; 7] = [0.0, 10.0, 40.0, 152.0, 600.0, 1500.0, 4240.0];
const CALLS_PER_SECOND_QUICK: [f64; 4] = [0.0, 10.0, 40.0, 152.0];
/// How long calls last.
const HOLD: Duration = Duration::from_secs(5);
const HOLD_QUICK: Duration = Duration::from_secs(2);
/// Rates and duration of long calls, of which many are established at a time.
const LONG_CALLS_PER_SECOND: [f64; 4] = [10.0, 40.0, 152.0, 400.0];
const LONG_CALLS_PER_SECOND_QUICK: [f64; 4] = [2.0, 5.0, 10.0, 20.0];
const LONG_HOLD: Duration = Duration::from_secs(100);
const LONG_HOLD_QUICK: Duration = Duration::from_secs(10);
/// Time until as many calls end as begin.
const RAMP_UP: Duration = Duration::from_secs(3);
const MEASURED: Duration = Duration::from_secs(10);
const MEASURED_QUICK: Duration = Duration::from_secs(3);
const CALL_CAUSES: [Cause; 5] = [Cause::Calls, Cause::Probes, Cause::Connections, Cause::Timers, Cause::All];
/// Causes of the cost of established calls, beyond set-up and release.
const ESTABLISHED_CALL_CAUSES: [Cause; 4] = [Cause::Probes, Cause::Connections, Cause::Timers, Cause::All];

/// Seconds between two changes of the list; 0 stands for no changes.
const CHANGE_INTERVALS_SECONDS: [f64; 5] = [0.0, 10.0, 4.0, 2.0, 1.0];
const CHANGES_MEASURED: Duration = Duration::from_secs(40);
const CHANGES_MEASURED_QUICK: Duration = Duration::from_secs(20);

pub(super) fn runs(session: &mut Session<'_>) -> Result<Vec<Run>, HollowError> {
    Ok(vec![by_rate(session)?, by_rate_with_long_calls(session)?, by_changes(session)?])
}

fn scenario_with_rate(session: &Session<'_>, rate: f64, hold: Duration) -> Scenario {
    let measured = session.full_or_quick(&[MEASURED], &[MEASURED_QUICK])[0];
    let scenario = Scenario::one_service(session.options.seed, 1, SWITCHES_SEEN);
    scenario.with_hold_time(hold).with_measurement_window(hold + RAMP_UP, measured).with_call_rate(rate)
}

fn collect_rate(
    session: &mut Session<'_>,
    name: &str,
    collector: &mut SeriesCollector,
    causes: &[Cause],
    (rate, hold): (f64, Duration),
) -> Result<(), HollowError> {
    let scenario = scenario_with_rate(session, rate, hold);
    let outcome = session.simulate(name, rate, &scenario)?;
    let position = SeriesPosition { role: Role::GatewayCalls, situation: Situation::OrdinaryDay, size: rate };
    collector.add_per_second(position, &outcome, causes);
    collector.add_per_call(position, &outcome, &[Cause::Calls, Cause::All]);
    collector.add_held(position, &outcome);
    Ok(())
}

fn by_rate(session: &mut Session<'_>) -> Result<Run, HollowError> {
    let mut collector = SeriesCollector::new(Size::CallsPerSecond);
    let hold = session.full_or_quick(&[HOLD], &[HOLD_QUICK])[0];
    for rate in session.full_or_quick(&CALLS_PER_SECOND, &CALLS_PER_SECOND_QUICK) {
        collect_rate(session, "hollow-calls", &mut collector, &CALL_CAUSES, (rate, hold))?;
    }
    let setting = format!(
        "1 gateway that sees {SWITCHES_SEEN} core switches; calls held {} s and answered in 20 ms; \
         connections in a second are those opened, held ones those open",
        hold.as_secs()
    );
    Ok(session.run("hollow-calls", setting, collector))
}

fn by_rate_with_long_calls(session: &mut Session<'_>) -> Result<Run, HollowError> {
    let mut collector = SeriesCollector::new(Size::CallsPerSecond);
    let hold = session.full_or_quick(&[LONG_HOLD], &[LONG_HOLD_QUICK])[0];
    for rate in session.full_or_quick(&LONG_CALLS_PER_SECOND, &LONG_CALLS_PER_SECOND_QUICK) {
        collect_rate(session, "hollow-standing", &mut collector, &ESTABLISHED_CALL_CAUSES, (rate, hold))?;
    }
    let setting = format!(
        "as hollow-calls, with calls held {} s: what many standing calls add; a gateway takes 50,000 at the \
         most",
        hold.as_secs()
    );
    Ok(session.run("hollow-standing", setting, collector))
}

fn by_changes(session: &mut Session<'_>) -> Result<Run, HollowError> {
    let mut collector = SeriesCollector::new(Size::ChangesPerDay);
    let measured = session.full_or_quick(&[CHANGES_MEASURED], &[CHANGES_MEASURED_QUICK])[0];
    for interval in CHANGE_INTERVALS_SECONDS {
        let changes_per_day = if interval > 0.0 { SECONDS_PER_DAY / interval } else { 0.0 };
        let scenario = Scenario::one_service(session.options.seed, 2, SWITCHES_SEEN);
        let mut scenario = scenario.with_measurement_window(Duration::from_secs(2), measured);
        if interval > 0.0 {
            scenario = scenario.with_list_change_interval(Duration::from_secs_f64(interval));
        }
        let outcome = session.simulate("hollow-changes", changes_per_day, &scenario)?;
        for (role, cause) in [(Role::GatewayControl, Cause::List), (Role::GatewayCalls, Cause::Connections)] {
            let position = SeriesPosition { role, situation: Situation::OrdinaryDay, size: changes_per_day };
            collector.add_per_second(position, &outcome, &[cause]);
        }
    }
    let setting = format!(
        "2 gateways that see {SWITCHES_SEEN} core switches, no calls; at each change one core switch drains \
         or is ready again"
    );
    Ok(session.run("hollow-changes", setting, collector))
}
