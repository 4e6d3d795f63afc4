//! How often a case comes, in cases a day. What goes on all day is one case each second; an event of list or
//! configuration on the ordinary day is one of the day's changes.

use crate::design;
use crate::figures::{Cause, Per, Situation};

const DAYS_OF_A_YEAR: f64 = 365.0;
/// A rack or its switch fails every month or two: once in a month and a half.
const RACK_FAILURES_PER_DAY: f64 = 1.0 / 45.0;
/// A zone fails once or twice a year.
const ZONE_FAILURES_PER_DAY: f64 = 1.5 / DAYS_OF_A_YEAR;
/// Regions lose each other several times a year. The letter names no figure: five times is assumed.
const REGION_CUTS_PER_DAY: f64 = 5.0 / DAYS_OF_A_YEAR;
/// All gateways of a service restart as often as the day's restarts come service by service.
const SERVICE_RESTARTS_PER_DAY: f64 = design::RESTARTS_PER_DAY / design::SWITCHES_PER_SERVICE;
/// Bad configurations sent to all. The letter names no figure: once a day is assumed, one change of 1,600.
const BAD_CONFIGURATIONS_PER_DAY: f64 = 1.0;

/// How often the case of a row comes.
pub(super) fn cases_per_day(situation: Situation, cause: Cause, per: Per) -> f64 {
    let is_change = per == Per::Event && matches!(cause, Cause::List | Cause::Configuration);
    if situation == Situation::OrdinaryDay && is_change {
        return design::CHANGES_PER_DAY;
    }
    situations_per_day(situation)
}

/// How often a situation comes.
pub(super) fn situations_per_day(situation: Situation) -> f64 {
    match situation {
        Situation::Quiet | Situation::OrdinaryDay => design::SECONDS_PER_DAY,
        Situation::MachineGone => design::FAILURES_PER_DAY,
        Situation::RackGone => RACK_FAILURES_PER_DAY,
        Situation::ZoneGone => ZONE_FAILURES_PER_DAY,
        Situation::RegionsApart => REGION_CUTS_PER_DAY,
        Situation::ServiceRestart => SERVICE_RESTARTS_PER_DAY,
        Situation::BadConfiguration => BAD_CONFIGURATIONS_PER_DAY,
    }
}
