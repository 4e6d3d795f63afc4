//! Decides whether a call that its caller reports as established can still be standing, although its core switch
//! has restarted.
//!
//! A report names the switch and not the time of the set-up, and a restarted switch does not know the calls of
//! its earlier process: it never releases them. What bounds the time of the set-up is how callers come to
//! report a call: the gateway of its set-up was lost, and the caller noticed. A gateway that was killed is
//! noticed after [`MIN_REPORT_DELAY`] or later, and one that shuts down goes on serving for most of that time.
//! So a call was set up that long before its report. A gateway that has just started is told of calls from the
//! time before its own start, however long the front end takes to admit it.
//!
//! A call that is reported later than that after a restart may be of either process, and counts as standing.

use std::time::Duration;

use fawnrouter::Time;

/// Shortest time from a call's set-up to its report at another gateway.
const MIN_REPORT_DELAY: Duration = Duration::from_secs(1);
/// Time after its start in which a gateway is told of the calls of the time before. Later reports could not
/// meet the platform's limit of 8 s any more.
const TAKEOVER_PERIOD: Duration = Duration::from_secs(8);

/// Whether a reported call was set up before its core switch started at `switch_started_at`.
pub(crate) fn was_set_up_before_start(
    switch_started_at: Time,
    reported_at: Time,
    gateway_started_at: Time,
) -> bool {
    let taken_over =
        switch_started_at <= gateway_started_at && reported_at.since(gateway_started_at) <= TAKEOVER_PERIOD;
    let noticed_at = if taken_over { gateway_started_at } else { reported_at };
    noticed_at < switch_started_at.plus(MIN_REPORT_DELAY)
}
