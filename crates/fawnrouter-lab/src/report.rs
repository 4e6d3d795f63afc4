//! What came of a day, by class and by trouble.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use fawnrouter_audit::Verdict;
use hdrhistogram::Histogram;

use crate::flood::FloodFigures;

/// How a caller's call ended, its further tries included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It stood to its end; the time from the first try on.
    Established(Duration),
    /// It stood and was cut.
    Cut,
    /// The last try was refused (503, 486).
    Refused,
    /// The last try failed otherwise.
    Failed,
    /// The caller left.
    Abandoned,
}

/// Figures of a class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassReport {
    /// Its name.
    pub name: String,
    /// First tries, but for callers that left.
    pub offered: u64,
    /// Calls that stood within the aim.
    pub in_aim: u64,
    /// Calls that stood later.
    pub late: u64,
    /// Cut calls.
    pub cut: u64,
    /// Refused ones.
    pub refused: u64,
    /// Failed ones.
    pub failed: u64,
    /// Worth offered and got.
    pub worth: (f64, f64),
}

impl ClassReport {
    /// Worth got over worth offered.
    #[must_use]
    pub fn service(&self) -> f64 {
        if self.worth.0 > 0.0 { self.worth.1 / self.worth.0 } else { 1.0 }
    }
}

/// Service while something went wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct WindowReport {
    /// The trouble's name.
    pub name: &'static str,
    /// From and to, seconds.
    pub span_s: (u64, u64),
    /// Worth got over worth offered, of calls first tried then.
    pub service: f64,
}

/// Calls of one gateway that other zones' switches took.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spill {
    /// The gateway's number and zone.
    pub gateway: (u32, String),
    /// As the auditor saw it on the sockets of the switches.
    pub observed: u64,
    /// As the gateway's own account has it.
    pub reported: u64,
    /// Calls that its budget had nothing left for.
    pub over_budget: u64,
}

/// All figures of a run.
#[derive(Debug)]
pub struct Report {
    /// By class.
    pub classes: Vec<ClassReport>,
    /// Callers that left, by CANCEL or with their connection.
    pub abandoned: u64,
    /// Tries, redials included.
    pub tries: u64,
    /// Tries that stood: time from the INVITE to the 200, microseconds.
    pub set_up: Histogram<u64>,
    /// Tries that got no final answer in time, as callers saw it.
    pub unanswered: u64,
    /// By trouble.
    pub windows: Vec<WindowReport>,
    /// Connections that callers opened, and how often one was refused.
    pub connections: (u64, u64),
    /// What came of each flood of strangers.
    pub floods: Vec<(&'static str, FloodFigures)>,
    /// Calls that went across zones, with those that the gateways' own accounts have.
    pub spill: Vec<Spill>,
    /// Stand-ins that were pushed over while cold.
    pub collapsed: Vec<u32>,
    /// The auditor's verdict.
    pub audit: Verdict,
    worth_by_second: BTreeMap<u64, (f64, f64)>,
    class_values: Vec<(f64, f64, Duration)>,
}

impl Report {
    /// An empty report of classes by name, points, late share and aim.
    #[must_use]
    pub fn new(classes: Vec<(String, f64, f64, Duration)>) -> Self {
        let class_values = classes.iter().map(|c| (c.1, c.2, c.3)).collect();
        let set_up = Histogram::new(3).expect("three digits are within the library's bounds");
        let classes = classes.into_iter().map(|c| ClassReport { name: c.0, ..ClassReport::default() });
        Self {
            classes: classes.collect(),
            abandoned: 0,
            tries: 0,
            // From a microsecond to ten minutes, to three digits.
            set_up,
            unanswered: 0,
            windows: Vec::new(),
            connections: (0, 0),
            floods: Vec::new(),
            spill: Vec::new(),
            collapsed: Vec::new(),
            audit: Verdict::default(),
            worth_by_second: BTreeMap::new(),
            class_values,
        }
    }

    /// Counts a call, with when it was first tried.
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
        let got = match outcome {
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
        report.worth.0 += points;
        report.worth.1 += got;
        let second = self.worth_by_second.entry(first.as_secs()).or_default();
        second.0 += points;
        second.1 += got;
    }

    /// Adds the service in a span.
    pub fn add_window(&mut self, name: &'static str, (from_ms, to_ms): (u64, u64)) {
        let span_s = (from_ms / 1000, to_ms.div_ceil(1000));
        let sum = self
            .worth_by_second
            .range(span_s.0..span_s.1)
            .fold((0.0, 0.0), |a, (_, w)| (a.0 + w.0, a.1 + w.1));
        let service = if sum.0 > 0.0 { sum.1 / sum.0 } else { 1.0 };
        self.windows.push(WindowReport { name, span_s, service });
    }

    /// Worth got over worth offered, of all classes.
    #[must_use]
    pub fn service(&self) -> f64 {
        let sum = self.classes.iter().fold((0.0, 0.0), |a, c| (a.0 + c.worth.0, a.1 + c.worth.1));
        if sum.0 > 0.0 { sum.1 / sum.0 } else { 1.0 }
    }

    /// Set-up delay at a quantile, milliseconds.
    #[must_use]
    pub fn set_up_ms(&self, quantile: f64) -> f64 {
        self.set_up.value_at_quantile(quantile) as f64 / 1e3
    }

    /// No rule broke and every try was answered.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.audit.clean() && self.collapsed.is_empty()
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
        writeln!(f, "tries              {} ({} without an answer)", self.tries, self.unanswered)?;
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
        for breach in self.audit.breaches.iter().take(20) {
            writeln!(f, "BROKEN {breach}")?;
        }
        let verdict = if self.audit.clean() { "clean" } else { "BROKEN" };
        let broken: Vec<String> =
            self.audit.counts.iter().map(|(r, n)| format!("rule {}: {n}", *r as u8)).collect();
        let open = self.audit.open;
        write!(
            f,
            "audit              {verdict}: {} calls, {} set-ups seen",
            self.audit.calls, self.audit.attempts
        )?;
        if open > 0 {
            write!(f, ", {open} calls not over")?;
        }
        if self.audit.latest.as_millis() > 20 {
            write!(f, ", taps held up for {} ms at the most", self.audit.latest.as_millis())?;
        }
        if !broken.is_empty() {
            write!(f, "; {}", broken.join(", "))?;
        }
        writeln!(f)
    }
}
