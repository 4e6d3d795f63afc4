//! Slopes over the calls a second at one gateway, and over the changes of the list.

use std::time::Duration;

use super::{Collector, Session, Spot};
use crate::figures::{Cause, Role, Run, Situation, Size};
use crate::hollow::HollowError;
use crate::hollow::scenario::Scenario;

/// Core switches of a service.
const SWITCHES: u32 = 26;
const RATES: [f64; 7] = [0.0, 10.0, 40.0, 152.0, 600.0, 1500.0, 4240.0];
const RATES_QUICK: [f64; 4] = [0.0, 10.0, 40.0, 152.0];
const HOLD: Duration = Duration::from_secs(5);
const HOLD_QUICK: Duration = Duration::from_secs(2);
const LONG_RATES: [f64; 4] = [10.0, 40.0, 152.0, 400.0];
const LONG_RATES_QUICK: [f64; 4] = [2.0, 5.0, 10.0, 20.0];
const LONG_HOLD: Duration = Duration::from_secs(100);
const LONG_HOLD_QUICK: Duration = Duration::from_secs(10);
/// Until the calls that end are as many as those that come.
const RAMP: Duration = Duration::from_secs(3);
const MEASURED: Duration = Duration::from_secs(10);
const MEASURED_QUICK: Duration = Duration::from_secs(3);
const CALL_CAUSES: [Cause; 5] = [Cause::Calls, Cause::Probes, Cause::Connections, Cause::Timers, Cause::All];
/// What standing calls cost beside their set-up and their release.
const STANDING_CAUSES: [Cause; 4] = [Cause::Probes, Cause::Connections, Cause::Timers, Cause::All];

const SECONDS_OF_A_DAY: f64 = crate::design::SECONDS_PER_DAY;
/// Seconds between two changes of the list; 0: none.
const CHANGE_EVERY: [f64; 5] = [0.0, 10.0, 4.0, 2.0, 1.0];
const CHANGES_MEASURED: Duration = Duration::from_secs(40);
const CHANGES_MEASURED_QUICK: Duration = Duration::from_secs(20);

pub(super) fn runs(session: &mut Session<'_>) -> Result<Vec<Run>, HollowError> {
    Ok(vec![by_rate(session)?, by_rate_of_long_calls(session)?, by_changes(session)?])
}

fn calling(session: &Session<'_>, rate: f64, hold: Duration) -> Scenario {
    let measured = session.choose(&[MEASURED], &[MEASURED_QUICK])[0];
    let scenario = Scenario::one_service(session.options.seed, 1, SWITCHES);
    scenario.with_hold_time(hold).with_measurement_window(hold + RAMP, measured).with_call_rate(rate)
}

fn note_rate(
    session: &mut Session<'_>,
    name: &str,
    collector: &mut Collector,
    causes: &[Cause],
    (rate, hold): (f64, Duration),
) -> Result<(), HollowError> {
    let scenario = calling(session, rate, hold);
    let outcome = session.play(name, rate, &scenario)?;
    let spot = Spot { role: Role::GatewayCalls, situation: Situation::OrdinaryDay, size: rate };
    collector.seconds(spot, &outcome, causes);
    collector.calls(spot, &outcome, &[Cause::Calls, Cause::All]);
    collector.held(spot, &outcome);
    Ok(())
}

fn by_rate(session: &mut Session<'_>) -> Result<Run, HollowError> {
    let mut collector = Collector::new(Size::CallsPerSecond);
    let hold = session.choose(&[HOLD], &[HOLD_QUICK])[0];
    for rate in session.choose(&RATES, &RATES_QUICK) {
        note_rate(session, "hollow-calls", &mut collector, &CALL_CAUSES, (rate, hold))?;
    }
    let setting = format!(
        "1 gateway that sees {SWITCHES} core switches; calls held {} s and answered in 20 ms; connections in a second are \
         those opened, held ones those open",
        hold.as_secs()
    );
    Ok(session.run("hollow-calls", setting, collector))
}

fn by_rate_of_long_calls(session: &mut Session<'_>) -> Result<Run, HollowError> {
    let mut collector = Collector::new(Size::CallsPerSecond);
    let hold = session.choose(&[LONG_HOLD], &[LONG_HOLD_QUICK])[0];
    for rate in session.choose(&LONG_RATES, &LONG_RATES_QUICK) {
        note_rate(session, "hollow-standing", &mut collector, &STANDING_CAUSES, (rate, hold))?;
    }
    let setting = format!(
        "as hollow-calls, with calls held {} s: what many standing calls add; a gateway takes 50,000 at the most",
        hold.as_secs()
    );
    Ok(session.run("hollow-standing", setting, collector))
}

fn by_changes(session: &mut Session<'_>) -> Result<Run, HollowError> {
    let mut collector = Collector::new(Size::ChangesPerDay);
    let measured = session.choose(&[CHANGES_MEASURED], &[CHANGES_MEASURED_QUICK])[0];
    for every in CHANGE_EVERY {
        let changes_a_day = if every > 0.0 { SECONDS_OF_A_DAY / every } else { 0.0 };
        let scenario = Scenario::one_service(session.options.seed, 2, SWITCHES);
        let mut scenario = scenario.with_measurement_window(Duration::from_secs(2), measured);
        if every > 0.0 {
            scenario = scenario.with_list_change_interval(Duration::from_secs_f64(every));
        }
        let outcome = session.play("hollow-changes", changes_a_day, &scenario)?;
        for (role, cause) in [(Role::GatewayControl, Cause::List), (Role::GatewayCalls, Cause::Connections)] {
            let spot = Spot { role, situation: Situation::OrdinaryDay, size: changes_a_day };
            collector.seconds(spot, &outcome, &[cause]);
        }
    }
    let setting = format!(
        "2 gateways that see {SWITCHES} core switches, no calls; at each change one core switch drains or is ready again"
    );
    Ok(session.run("hollow-changes", setting, collector))
}
