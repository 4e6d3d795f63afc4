//! The five rules, judged as things are seen.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::time::Duration;

use crate::wire::{Sip, TcpReader, WsReader};
use crate::{Direction, ListState, Observation, Side};

/// The rules by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Exactly one final answer in time, nothing afterwards.
    OneAnswer = 1,
    /// Never two attempts out at once.
    OneAttempt = 2,
    /// Nothing new to a switch after the grace.
    DrainGrace = 3,
    /// No cold switch pushed over.
    ColdSwitch = 4,
    /// The guard after a time-out, reset or cancel.
    RetryGuard = 5,
}

/// A rule that broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which rule.
    pub rule: Rule,
    /// When, from the start of the record.
    pub at: Duration,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {} at {:.3} s: {}", self.rule as u8, self.at.as_secs_f64(), self.text)
    }
}

/// The figures of the rules, and how exact the taps are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AuditParameters {
    /// Rule 3: work may go on for this long after the list told of the end.
    pub drain_grace: Duration,
    /// Rule 5.
    pub guard: Duration,
    /// Rule 4: so many times the present capacity ...
    pub fall_multiple: f64,
    /// ... over a window of this length.
    pub fall_window: Duration,
    /// Rule 4: set-ups beyond the budget that count as chance.
    pub excess_allowance: f64,
    /// Rule 1: an answer may be this late, and a set-up may be seen this long after the answer: the two are seen on
    /// different sockets.
    pub answer_slack: Duration,
    /// Rule 5: times are taken at the receiving end.
    pub time_tolerance: Duration,
}

/// What came out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditReport {
    /// The first breaches, in order.
    pub violations: Vec<Violation>,
    /// All breaches by rule.
    pub violation_counts: BTreeMap<Rule, u64>,
    /// Calls judged.
    pub calls: u64,
    /// Attempts judged.
    pub attempts: u64,
    /// Calls whose time was not up when the record ended.
    pub undecided_calls: u64,
    /// The most that a tap was held up.
    pub max_tap_delay: Duration,
    /// Calls that switches took (200), by the gateway's host in the Via, the switch, and the minute of the record.
    pub accepted_calls: BTreeMap<(String, u32, u64), u64>,
}

impl AuditReport {
    /// No rule broke, and there was something to judge.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violation_counts.is_empty() && self.calls > 0
    }
}

/// Breaches that are kept with their text.
const KEPT: usize = 100;
/// What is known of a call is forgotten this long after its end.
const MEMORY: Duration = Duration::from_secs(60);

#[derive(Debug)]
enum Reader {
    Caller { gateway: u32, inward: WsReader, outward: WsReader },
    Trunk { switch: u32, inward: TcpReader, outward: TcpReader },
}

#[derive(Debug)]
struct Call {
    session: String,
    due: Duration,
    answered: Option<Duration>,
    caller_gone: bool,
}

#[derive(Debug)]
struct Attempt {
    conn: u64,
    host: String,
    branch: String,
    sent: Duration,
    within: Option<Duration>,
    /// When it ended, and whether the guard counts from then.
    ended: Option<(Duration, bool)>,
}

#[derive(Debug)]
struct Cold {
    since: Duration,
    capacity: f64,
    from: f64,
    ramp: Duration,
    told: bool,
    arrivals: VecDeque<(Duration, bool)>,
    fallen: bool,
}

impl Cold {
    /// Set-ups that it can do between two times.
    fn work(&self, from: Duration, to: Duration) -> f64 {
        let share = |t: Duration| {
            let warm = t.saturating_sub(self.since).as_secs_f64() / self.ramp.as_secs_f64().max(1e-9);
            self.from + (1.0 - self.from) * warm.min(1.0)
        };
        let span = to.saturating_sub(from).as_secs_f64();
        // The share grows evenly, so that the mean of both ends is exact within the ramp.
        self.capacity * span * (share(from) + share(to)) / 2.0
    }
}

/// Takes what was seen, in order of time, and judges.
#[derive(Debug)]
pub struct Auditor {
    figures: AuditParameters,
    readers: BTreeMap<u64, Reader>,
    /// Calls by connection and branch of their INVITE.
    calls: BTreeMap<(u64, String), Call>,
    /// The time of the final answer by session.
    answered: BTreeMap<String, Duration>,
    attempts: BTreeMap<String, Vec<Attempt>>,
    /// The session of each attempt, by connection and branch.
    by_branch: BTreeMap<(u64, String), String>,
    closed: BTreeMap<u32, Duration>,
    cold: BTreeMap<u32, Cold>,
    forget: VecDeque<(Duration, (u64, String), String)>,
    verdict: AuditReport,
    last: Duration,
    /// How much earlier what is judged now may have arrived. Every rule is judged by the time that speaks for the
    /// gateway: a tap that was held up must not show a breach that was none.
    late: Duration,
}

impl Auditor {
    /// An auditor of these figures.
    #[must_use]
    pub fn new(figures: AuditParameters) -> Self {
        Self {
            figures,
            readers: BTreeMap::new(),
            calls: BTreeMap::new(),
            answered: BTreeMap::new(),
            attempts: BTreeMap::new(),
            by_branch: BTreeMap::new(),
            closed: BTreeMap::new(),
            cold: BTreeMap::new(),
            forget: VecDeque::new(),
            verdict: AuditReport::default(),
            last: Duration::ZERO,
            late: Duration::ZERO,
        }
    }

    fn breach(&mut self, rule: Rule, at: Duration, text: String) {
        *self.verdict.violation_counts.entry(rule).or_default() += 1;
        if self.verdict.violations.len() < KEPT {
            self.verdict.violations.push(Violation { rule, at, text });
        }
    }

    /// Takes one thing that was seen at this time.
    pub fn observe(&mut self, at: Duration, seen: Observation) {
        self.last = self.last.max(at);
        match seen {
            Observation::Opened { conn, side } => {
                let reader = match side {
                    Side::Caller { gateway } => {
                        Reader::Caller { gateway, inward: WsReader::default(), outward: WsReader::default() }
                    }
                    Side::Trunk { switch } => {
                        Reader::Trunk { switch, inward: TcpReader::default(), outward: TcpReader::default() }
                    }
                };
                self.readers.insert(conn, reader);
            }
            Observation::Bytes { conn, direction: way, bytes, tap_delay: late } => {
                self.verdict.max_tap_delay = self.verdict.max_tap_delay.max(late);
                self.late = late;
                self.bytes(at, conn, way, &bytes);
            }
            Observation::Closed { conn } => self.conn_closed(at, conn),
            Observation::ListUpdated { switch, state: listed } => {
                match listed {
                    ListState::Ready => drop(self.closed.remove(&switch)),
                    ListState::Closed => drop(self.closed.entry(switch).or_insert(at)),
                }
                if let Some(cold) = self.cold.get_mut(&switch) {
                    cold.told |= listed == ListState::Ready;
                }
            }
            Observation::ColdStart { switch, capacity_per_s: capacity, initial_share: from, ramp } => {
                let (arrivals, told, fallen) = (VecDeque::new(), false, false);
                self.cold.insert(switch, Cold { since: at, capacity, from, ramp, told, arrivals, fallen });
            }
        }
        self.overdue(at);
    }

    fn bytes(&mut self, at: Duration, conn: u64, way: Direction, bytes: &[u8]) {
        let (messages, place) = match self.readers.get_mut(&conn) {
            Some(Reader::Caller { gateway, inward, outward }) => {
                let reader = if way == Direction::ToGateway { inward } else { outward };
                (reader.take(bytes), Side::Caller { gateway: *gateway })
            }
            Some(Reader::Trunk { switch, inward, outward }) => {
                let reader = if way == Direction::ToGateway { inward } else { outward };
                (reader.take(bytes), Side::Trunk { switch: *switch })
            }
            None => return,
        };
        match messages {
            Ok(messages) => {
                for sip in messages {
                    match (place, way) {
                        (Side::Caller { .. }, Direction::ToGateway) => self.caller_sent(at, conn, sip),
                        (Side::Caller { .. }, Direction::FromGateway) => self.caller_got(at, conn, sip),
                        (Side::Trunk { switch }, Direction::FromGateway) => {
                            self.switch_got(at, conn, switch, sip)
                        }
                        (Side::Trunk { .. }, Direction::ToGateway) => self.switch_sent(at, conn, &sip),
                    }
                }
            }
            Err(text) => self.breach(Rule::OneAnswer, at, format!("connection {conn}: {text}")),
        }
    }

    fn caller_sent(&mut self, at: Duration, conn: u64, sip: Sip) {
        if sip.method != "INVITE" || sip.status.is_some() || sip.to_tagged {
            return;
        }
        let key = (conn, sip.branch);
        if self.calls.contains_key(&key) {
            return;
        }
        let due = at + Duration::from_secs(sip.expires_s.unwrap_or(3600)) + self.figures.answer_slack;
        self.verdict.calls += 1;
        // A try that was asked who it is (401) comes again under its session, as a transaction of its own.
        self.answered.remove(&sip.session);
        self.calls.insert(key, Call { session: sip.session, due, answered: None, caller_gone: false });
    }

    fn caller_got(&mut self, at: Duration, conn: u64, sip: Sip) {
        let Some(status) = sip.status.filter(|_| sip.method == "INVITE") else { return };
        let key = (conn, sip.branch);
        let Some(call) = self.calls.get_mut(&key) else { return };
        if let Some(before) = call.answered {
            let text = format!(
                "call {} got {status} after its final answer at {:.3} s",
                call.session,
                before.as_secs_f64()
            );
            return self.breach(Rule::OneAnswer, at, text);
        }
        if status < 200 {
            return;
        }
        call.answered = Some(at);
        let (session, late) = (call.session.clone(), at.saturating_sub(self.late) > call.due);
        if late {
            self.breach(Rule::OneAnswer, at, format!("call {session} was answered {status} too late"));
        }
        self.answered.insert(session.clone(), at);
        self.forget.push_back((at + MEMORY, key, session));
    }

    fn switch_got(&mut self, at: Duration, conn: u64, switch: u32, sip: Sip) {
        if sip.status.is_some() {
            return;
        }
        if sip.method == "CANCEL" {
            return self.end_attempt(at, conn, &sip.branch, true);
        }
        if sip.method != "INVITE" || sip.to_tagged {
            return;
        }
        self.verdict.attempts += 1;
        let session = sip.session.clone();
        if session.is_empty() {
            return self.breach(
                Rule::OneAttempt,
                at,
                format!("a set-up to switch {switch} has no Session-ID"),
            );
        }
        if let Some(answered) = self
            .answered
            .get(&session)
            .filter(|t| at.saturating_sub(self.late) > **t + self.figures.answer_slack)
        {
            let text = format!(
                "call {session} was sent to switch {switch} after its answer at {:.3} s",
                answered.as_secs_f64()
            );
            self.breach(Rule::OneAnswer, at, text);
        }
        let (guard, tolerance) = (self.figures.guard, self.figures.time_tolerance);
        let mut found = Vec::new();
        for earlier in self.attempts.get(&session).into_iter().flatten() {
            // A time-out that the gateway announced ends an attempt that nobody answered.
            let timed_out = earlier.within.map(|w| (earlier.sent + w, true));
            let ended = match (earlier.ended, timed_out) {
                (Some(a), Some(b)) => Some(if a.0 <= b.0 { a } else { b }),
                (a, b) => a.or(b),
            };
            match ended {
                Some((end, guarded)) if end <= at + tolerance => {
                    if guarded && at + tolerance < end + guard {
                        let ms = at.saturating_sub(end).as_millis();
                        found.push((
                            Rule::RetryGuard,
                            format!("call {session} was sent again {ms} ms after an attempt was given up"),
                        ));
                    }
                }
                _ => {
                    let text = format!(
                        "call {session} was sent to switch {switch} while another attempt was out: sent {:.3} s on \
                         connection {}, within {:?}, ended {:?}",
                        earlier.sent.as_secs_f64(),
                        earlier.conn,
                        earlier.within,
                        earlier.ended,
                    );
                    found.push((Rule::OneAttempt, text));
                }
            }
        }
        for (rule, text) in found {
            self.breach(rule, at, text);
        }
        if let Some(told) =
            self.closed.get(&switch).filter(|t| at.saturating_sub(self.late) > **t + self.figures.drain_grace)
        {
            let ms = (at - *told).as_millis();
            self.breach(
                Rule::DrainGrace,
                at,
                format!("a set-up went to switch {switch} {ms} ms after its end was told"),
            );
        }
        self.arrive(at, switch);
        let within = sip.within_ms.map(Duration::from_millis);
        self.by_branch.insert((conn, sip.branch.clone()), session.clone());
        let sent = at.saturating_sub(self.late);
        let attempt = Attempt { conn, host: sip.via_host, branch: sip.branch, sent, within, ended: None };
        self.attempts.entry(session).or_default().push(attempt);
    }

    /// Rule 4: over every window that ends with this set-up.
    fn arrive(&mut self, at: Duration, switch: u32) {
        let AuditParameters { fall_multiple, fall_window: fall_time, excess_allowance: chance, .. } =
            self.figures;
        let Some(cold) = self.cold.get_mut(&switch) else { return };
        if at > cold.since + cold.ramp + fall_time {
            self.cold.remove(&switch);
            return;
        }
        cold.arrivals.push_back((at, cold.told));
        while cold.arrivals.front().is_some_and(|(t, _)| *t + fall_time < at) {
            cold.arrivals.pop_front();
        }
        let count = cold.arrivals.len() as f64;
        let told = cold.arrivals.iter().filter(|(_, told)| *told).count() as f64;
        let begin = at.saturating_sub(fall_time).max(cold.since);
        let budget = fall_multiple * cold.work(begin, begin + fall_time) + chance;
        // Two thirds must come from gateways that were told of the start.
        if count > budget && told * 3.0 >= count * 2.0 && !cold.fallen {
            cold.fallen = true;
            let text = format!(
                "cold switch {switch} got {count} set-ups in {:.1} s, its budget is {budget:.1}",
                fall_time.as_secs_f64()
            );
            self.breach(Rule::ColdSwitch, at, text);
        }
    }

    fn switch_sent(&mut self, at: Duration, conn: u64, sip: &Sip) {
        if let Some(status) = sip.status.filter(|s| *s >= 200 && sip.method == "INVITE") {
            if status < 300 {
                self.count_taken(at, conn, &sip.branch);
            }
            // 408 and 504 are time-outs of the switch, 487 its word that it was called off.
            self.end_attempt(at, conn, &sip.branch, matches!(status, 408 | 487 | 504));
        }
    }

    /// A switch took a call: counted for the gateway that its set-up came from.
    fn count_taken(&mut self, at: Duration, conn: u64, branch: &str) {
        let Some(Reader::Trunk { switch, .. }) = self.readers.get(&conn) else { return };
        let session = self.by_branch.get(&(conn, branch.to_owned()));
        let mut attempts = session.and_then(|s| self.attempts.get(s)).into_iter().flatten();
        // A repeated 200 finds its attempt ended.
        if let Some(attempt) = attempts.find(|a| a.conn == conn && a.branch == branch && a.ended.is_none()) {
            let key = (attempt.host.clone(), *switch, at.as_secs() / 60);
            *self.verdict.accepted_calls.entry(key).or_default() += 1;
        }
    }

    fn end_attempt(&mut self, at: Duration, conn: u64, branch: &str, guarded: bool) {
        let session = self.by_branch.get(&(conn, branch.to_owned()));
        let attempts = session.and_then(|s| self.attempts.get_mut(s)).into_iter().flatten();
        let hit = attempts.into_iter().find(|a| a.conn == conn && a.branch == branch);
        if let Some(attempt) = hit.filter(|a| a.ended.is_none()) {
            attempt.ended = Some((at, guarded));
        }
    }

    fn conn_closed(&mut self, at: Duration, conn: u64) {
        self.readers.remove(&conn);
        for attempt in self.attempts.values_mut().flatten().filter(|a| a.conn == conn && a.ended.is_none()) {
            attempt.ended = Some((at, true));
        }
        let range = (conn, String::new())..(conn + 1, String::new());
        for (key, call) in self.calls.range_mut(range) {
            call.caller_gone = true;
            self.forget.push_back((at + MEMORY, key.clone(), call.session.clone()));
        }
    }

    fn overdue(&mut self, at: Duration) {
        while self.forget.front().is_some_and(|(t, _, _)| *t < at) {
            if let Some((_, key, session)) = self.forget.pop_front() {
                self.calls.remove(&key);
                self.answered.remove(&session);
                for attempt in self.attempts.remove(&session).unwrap_or_default() {
                    self.by_branch.remove(&(attempt.conn, attempt.branch));
                }
            }
        }
    }

    /// Ends the record: calls that never got their answer are found now.
    #[must_use]
    pub fn finish(mut self) -> AuditReport {
        let unanswered: Vec<(String, Duration)> = (self.calls.values())
            .filter(|c| c.answered.is_none() && !c.caller_gone)
            .map(|c| (c.session.clone(), c.due))
            .collect();
        let mut told = BTreeSet::new();
        for (session, due) in unanswered {
            if due < self.last {
                if told.insert(session.clone()) {
                    self.breach(Rule::OneAnswer, due, format!("call {session} never got a final answer"));
                }
            } else {
                self.verdict.undecided_calls += 1;
            }
        }
        self.verdict
    }
}
