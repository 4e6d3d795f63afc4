//! Results of a run, by class of calls and by fault.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use fawnrouter_audit::AuditReport;
use hdrhistogram::Histogram;

use crate::flood::FloodFigures;

/// How a caller's call ended, after all redials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It was established and hung up by the caller. Holds the time from the first attempt to the answer.
    Established(Duration),
    /// It was established and released from the other side.
    Cut,
    /// The last attempt was refused (503, 486).
    Refused,
    /// The last attempt failed otherwise.
    Failed,
    /// The caller gave up, or its connection was lost.
    Abandoned,
}

/// Worth of calls in points.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Worth {
    /// Of all calls offered.
    pub offered: f64,
    /// Of the calls that were established and not cut; late ones count with the late share of their class.
    pub earned: f64,
}

impl Worth {
    fn add(&mut self, other: Self) {
        self.offered += other.offered;
        self.earned += other.earned;
    }

    fn sum<'a>(parts: impl Iterator<Item = &'a Self>) -> Self {
        let mut sum = Self::default();
        parts.for_each(|part| sum.add(*part));
        sum
    }

    /// Worth earned divided by worth offered.
    fn service(self) -> f64 {
        if self.offered > 0.0 { self.earned / self.offered } else { 1.0 }
    }
}

/// Results of a class of calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassReport {
    /// Name of the class.
    pub name: String,
    /// Calls, without those abandoned by their caller.
    pub offered: u64,
    /// Calls established within the aim and not cut.
    pub in_aim: u64,
    /// Calls established later and not cut.
    pub late: u64,
    /// Established calls that were released from the other side.
    pub cut: u64,
    /// Calls refused on the last attempt.
    pub refused: u64,
    /// Calls that failed otherwise.
    pub failed: u64,
    /// Worth offered and earned.
    pub worth: Worth,
}

impl ClassReport {
    /// Worth earned divided by worth offered.
    #[must_use]
    pub fn service(&self) -> f64 {
        self.worth.service()
    }
}

/// Service during a fault.
#[derive(Clone, Debug, PartialEq)]
pub struct WindowReport {
    /// Name of the fault.
    pub name: &'static str,
    /// Start and end in seconds.
    pub span_s: (u64, u64),
    /// Worth earned divided by worth offered, of calls first attempted in this time.
    pub service: f64,
}

/// Calls of one gateway that were taken by switches of other zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spill {
    /// Number and zone of the gateway.
    pub gateway: (u32, String),
    /// Calls counted by the auditor on the sockets of the switches.
    pub observed: u64,
    /// Calls in the gateway's own account.
    pub reported: u64,
    /// Calls not sent across zones because the budget was used up.
    pub over_budget: u64,
}

/// All results of a run.
#[derive(Debug)]
pub struct Report {
    /// Results by class.
    pub classes: Vec<ClassReport>,
    /// Calls abandoned by CANCEL or by a lost connection.
    pub abandoned: u64,
    /// Attempts, including redials.
    pub attempts: u64,
    /// Time from INVITE to 200 of established attempts, in microseconds.
    pub set_up: Histogram<u64>,
    /// Attempts without a final response in time, as seen by callers.
    pub unanswered: u64,
    /// Service during each fault.
    pub windows: Vec<WindowReport>,
    /// Connections that callers opened, and connections refused to them.
    pub connections: (u64, u64),
    /// Results of each flood, with the name of its kind.
    pub floods: Vec<(&'static str, FloodFigures)>,
    /// Calls that crossed zones, by gateway.
    pub spill: Vec<Spill>,
    /// Stand-ins that collapsed while cold.
    pub collapsed: Vec<u32>,
    /// The auditor's verdict.
    pub audit: AuditReport,
    worth_by_second: BTreeMap<u64, Worth>,
    class_values: Vec<(f64, f64, Duration)>,
}

impl Report {
    /// An empty report for classes given as (name, points, late share, aim).
    #[must_use]
    pub fn new(classes: Vec<(String, f64, f64, Duration)>) -> Self {
        let class_values = classes.iter().map(|c| (c.1, c.2, c.3)).collect();
        // In microseconds, to three significant digits.
        let set_up = Histogram::new(3).expect("three digits are within the library's bounds");
        let classes = classes.into_iter().map(|c| ClassReport { name: c.0, ..ClassReport::default() });
        Self {
            classes: classes.collect(),
            abandoned: 0,
            attempts: 0,
            set_up,
            unanswered: 0,
            windows: Vec::new(),
            connections: (0, 0),
            floods: Vec::new(),
            spill: Vec::new(),
            collapsed: Vec::new(),
            audit: AuditReport::default(),
            worth_by_second: BTreeMap::new(),
            class_values,
        }
    }

    /// Records the outcome of a call that was first attempted at `first`.
    pub fn record(&mut self, class: usize, first: Duration, outcome: CallOutcome) {
        if outcome == CallOutcome::Abandoned {
            self.abandoned += 1;
            return;
        }
        let (Some(report), Some((points, late_share, aim))) =
            (self.classes.get_mut(class), self.class_values.get(class))
        else {
            return;
        };
        report.offered += 1;
        let earned = match outcome {
            CallOutcome::Established(after) if after <= *aim => {
                report.in_aim += 1;
                *points
            }
            CallOutcome::Established(_) => {
                report.late += 1;
                points * late_share
            }
            CallOutcome::Cut => {
                report.cut += 1;
                0.0
            }
            CallOutcome::Refused => {
                report.refused += 1;
                0.0
            }
            CallOutcome::Failed | CallOutcome::Abandoned => {
                report.failed += 1;
                0.0
            }
        };
        let worth = Worth { offered: *points, earned };
        report.worth.add(worth);
        self.worth_by_second.entry(first.as_secs()).or_default().add(worth);
    }

    /// Adds the service in a time span.
    pub fn add_window(&mut self, name: &'static str, (from_ms, to_ms): (u64, u64)) {
        let span_s = (from_ms / 1000, to_ms.div_ceil(1000));
        let worth = Worth::sum(self.worth_by_second.range(span_s.0..span_s.1).map(|(_, worth)| worth));
        let service = worth.service();
        self.windows.push(WindowReport { name, span_s, service });
    }

    /// Worth earned divided by worth offered, over all classes.
    #[must_use]
    pub fn service(&self) -> f64 {
        Worth::sum(self.classes.iter().map(|class| &class.worth)).service()
    }

    /// Set-up delay at a quantile in milliseconds.
    #[must_use]
    pub fn set_up_ms(&self, quantile: f64) -> f64 {
        self.set_up.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Whether the auditor saw calls and no broken rule, and no stand-in collapsed.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.audit.is_clean() && self.collapsed.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sum = |get: fn(&ClassReport) -> u64| self.classes.iter().map(get).sum::<u64>();
        writeln!(f, "calls offered      {}", sum(|c| c.offered) + self.abandoned)?;
        writeln!(f, "calls stood        {}", sum(|c| c.in_aim + c.late))?;
        writeln!(f, "calls refused      {}", sum(|c| c.refused))?;
        writeln!(f, "calls failed       {} (of these cut {})", sum(|c| c.failed + c.cut), sum(|c| c.cut))?;
        writeln!(f, "callers that left  {}", self.abandoned)?;
        writeln!(f, "tries              {} ({} without an answer)", self.attempts, self.unanswered)?;
        writeln!(
            f,
            "set-up delay       p50 {:.1} ms, p99 {:.1} ms",
            self.set_up_ms(0.5),
            self.set_up_ms(0.99)
        )?;
        writeln!(f, "service            {:.3}", self.service())?;
        for c in &self.classes {
            writeln!(
                f,
                "  class {:<18} {:.3}  offered {} in aim {} late {} refused {} failed {} cut {}",
                c.name,
                c.service(),
                c.offered,
                c.in_aim,
                c.late,
                c.refused,
                c.failed,
                c.cut
            )?;
        }
        for w in &self.windows {
            writeln!(
                f,
                "  during {:<17} {:.3}  from {} s to {} s",
                w.name, w.service, w.span_s.0, w.span_s.1
            )?;
        }
        let (opened, refused) = self.connections;
        writeln!(f, "connections        {opened} opened by callers, {refused} times refused")?;
        for (way, figures) in &self.floods {
            writeln!(f, "flood by {way:<9} {figures}")?;
        }
        for s in &self.spill {
            let (number, zone) = &s.gateway;
            writeln!(
                f,
                "spill of gateway {number} in {zone}: {} seen on the sockets, {} in its account, {} passed over for \
                 want of budget",
                s.observed, s.reported, s.over_budget
            )?;
        }
        for id in &self.collapsed {
            writeln!(f, "stand-in {id} was pushed over while cold")?;
        }
        for breach in self.audit.violations.iter().take(20) {
            writeln!(f, "BROKEN {breach}")?;
        }
        let verdict = if self.audit.is_clean() { "clean" } else { "BROKEN" };
        let broken: Vec<String> =
            self.audit.violation_counts.iter().map(|(r, n)| format!("rule {}: {n}", *r as u8)).collect();
        let open = self.audit.undecided_calls;
        write!(
            f,
            "audit              {verdict}: {} calls, {} set-ups seen",
            self.audit.calls, self.audit.attempts
        )?;
        if open > 0 {
            write!(f, ", {open} calls not over")?;
        }
        if self.audit.max_tap_delay.as_millis() > 20 {
            write!(f, ", taps held up for {} ms at the most", self.audit.max_tap_delay.as_millis())?;
        }
        if !broken.is_empty() {
            write!(f, "; {}", broken.join(", "))?;
        }
        writeln!(f)
    }
}
