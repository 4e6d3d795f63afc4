//! How often a situation occurs, in cases a day. A situation that lasts all day counts as one case each
//! second; an event of list or configuration on the ordinary day counts as one of the day's changes.

use crate::design;
use crate::figures::{Cause, Per, Situation};

const DAYS_PER_YEAR: f64 = 365.0;
/// A rack or its network switch fails every month or two; calculated with once in 45 days.
const RACK_FAILURES_PER_DAY: f64 = 1.0 / 45.0;
/// A zone fails once or twice a year; calculated with 1.5 times.
const ZONE_FAILURES_PER_DAY: f64 = 1.5 / DAYS_PER_YEAR;
/// Regions are partitioned from each other several times a year. The requirements give no number; five is
/// assumed.
const REGION_PARTITIONS_PER_DAY: f64 = 5.0 / DAYS_PER_YEAR;
/// Restarts of all gateways of a service, if the gateway restarts of a day happen service by service.
const SERVICE_RESTARTS_PER_DAY: f64 = design::RESTARTS_PER_DAY / design::SWITCHES_PER_SERVICE;
/// Bad configurations sent to all gateways. The requirements give no number; one a day, of 1,600 changes, is
/// assumed.
const BAD_CONFIGURATIONS_PER_DAY: f64 = 1.0;

/// How often the case that a row measures occurs, a day.
pub(super) fn cases_per_day(situation: Situation, cause: Cause, per: Per) -> f64 {
    let is_change = per == Per::Event && matches!(cause, Cause::List | Cause::Configuration);
    if situation == Situation::OrdinaryDay && is_change {
        return design::CHANGES_PER_DAY;
    }
    situations_per_day(situation)
}

/// How often a situation occurs, a day.
pub(super) fn situations_per_day(situation: Situation) -> f64 {
    match situation {
        Situation::Quiet | Situation::OrdinaryDay => design::SECONDS_PER_DAY,
        Situation::MachineGone => design::FAILURES_PER_DAY,
        Situation::RackGone => RACK_FAILURES_PER_DAY,
        Situation::ZoneGone => ZONE_FAILURES_PER_DAY,
        Situation::RegionsApart => REGION_PARTITIONS_PER_DAY,
        Situation::ServiceRestart => SERVICE_RESTARTS_PER_DAY,
        Situation::BadConfiguration => BAD_CONFIGURATIONS_PER_DAY,
    }
}
