//! Checks the five rules on each observation, in order of time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::time::Duration;

use crate::wire::{SipMessage, TcpReader, WsReader};
use crate::{Direction, ListState, Observation, Side};

/// The rules, with the numbers under which they are reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each call gets exactly one final response, in time, and nothing is sent for it afterwards.
    OneAnswer = 1,
    /// A call never has two attempts outstanding at once.
    OneAttempt = 2,
    /// A switch that drains or is gone gets no new set-ups after the grace.
    DrainGrace = 3,
    /// A cold switch does not get more set-ups than its budget allows.
    ColdSwitch = 4,
    /// After a time-out, a reset or a CANCEL the next attempt of the call waits for the guard time.
    RetryGuard = 5,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time since the start of the record.
    pub at: Duration,
    /// What was observed.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {} at {:.3} s: {}", self.rule as u8, self.at.as_secs_f64(), self.text)
    }
}

/// The parameters of the rules, and the tolerances for what the taps cannot time exactly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AuditParameters {
    /// Rule 3: set-ups may still go to a switch for this long after the list announced that it is closed.
    pub drain_grace: Duration,
    /// Rule 5: least time between the end of a guarded attempt and the next attempt of the same call.
    pub guard: Duration,
    /// Rule 4: the budget of a window, as a multiple of what the switch can do in it while it warms up.
    pub fall_multiple: f64,
    /// Rule 4: length of the window.
    pub fall_window: Duration,
    /// Rule 4: set-ups added to the budget, since arrivals vary at random.
    pub excess_allowance: f64,
    /// Rule 1: a final response may be this late, and a set-up may be observed this long after it, because
    /// the two are observed on different sockets.
    pub answer_slack: Duration,
    /// Rules 2 and 5: tolerance on times between attempts, because times are taken at the receiving end.
    pub time_tolerance: Duration,
}

/// The result of an audit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditReport {
    /// The first violations, in order of detection.
    pub violations: Vec<Violation>,
    /// The number of all violations, by rule.
    pub violation_counts: BTreeMap<Rule, u64>,
    /// Calls observed.
    pub calls: u64,
    /// Attempts observed.
    pub attempts: u64,
    /// Calls without a final response whose deadline had not passed when the record ended.
    pub undecided_calls: u64,
    /// The longest delay of a tap.
    pub max_tap_delay: Duration,
    /// Calls accepted by switches (2xx), by the gateway's host in the Via, the switch, and the minute of the
    /// record.
    pub accepted_calls: BTreeMap<(String, u32, u64), u64>,
}

impl AuditReport {
    /// Whether no rule was violated and at least one call was observed.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violation_counts.is_empty() && self.calls > 0
    }
}

/// Violations that are kept with their text; later ones are only counted.
const MAX_KEPT_VIOLATIONS: usize = 100;
/// The state of a call is dropped this long after its end.
const CALL_RETENTION: Duration = Duration::from_secs(60);

/// The readers of the two directions of a connection.
#[derive(Debug)]
enum ConnectionReader {
    Caller { gateway: u32, to_gateway: WsReader, from_gateway: WsReader },
    Trunk { switch: u32, to_gateway: TcpReader, from_gateway: TcpReader },
}

/// A call of a caller: an INVITE and its final response.
#[derive(Debug)]
struct Call {
    session: String,
    /// When the final response is due, including the slack.
    deadline: Duration,
    final_response_at: Option<Duration>,
    caller_disconnected: bool,
}

/// An attempt: an INVITE to a switch.
#[derive(Debug)]
struct Attempt {
    conn: u64,
    /// The host of the gateway, from the Via.
    host: String,
    branch: String,
    sent: Duration,
    /// The time-out that the gateway announced in the Via.
    timeout: Option<Duration>,
    ended: Option<AttemptEnd>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
struct AttemptEnd {
    at: Duration,
    /// Whether the retry guard counts from this time.
    guarded: bool,
}

/// A switch that warms up after a cold start: its share of the capacity grows linearly over `ramp`.
#[derive(Debug)]
struct ColdSwitchState {
    started_at: Duration,
    capacity_per_s: f64,
    initial_share: f64,
    ramp: Duration,
    /// Whether the list has announced the switch as ready since its start.
    announced: bool,
    /// Set-ups within the window, each with whether it came after the announcement.
    arrivals: VecDeque<(Duration, bool)>,
    /// Whether the violation has been reported; it is reported once for a start.
    reported: bool,
}

impl ColdSwitchState {
    /// Set-ups that the switch can handle between two times.
    fn set_ups_between(&self, from: Duration, to: Duration) -> f64 {
        let share = |t: Duration| {
            let warm = t.saturating_sub(self.started_at).as_secs_f64() / self.ramp.as_secs_f64().max(1e-9);
            self.initial_share + (1.0 - self.initial_share) * warm.min(1.0)
        };
        let span = to.saturating_sub(from).as_secs_f64();
        // The share grows linearly, so that the mean of both ends is exact within the ramp.
        self.capacity_per_s * span * (share(from) + share(to)) / 2.0
    }
}

/// Takes observations in order of time and checks the rules.
#[derive(Debug)]
pub struct Auditor {
    parameters: AuditParameters,
    readers: BTreeMap<u64, ConnectionReader>,
    /// Calls by connection and branch of their INVITE.
    calls: BTreeMap<(u64, String), Call>,
    /// The time of the final response, by session.
    final_response_times: BTreeMap<String, Duration>,
    /// Attempts by session.
    attempts: BTreeMap<String, Vec<Attempt>>,
    /// The session of each attempt, by connection and branch.
    session_by_branch: BTreeMap<(u64, String), String>,
    /// When the list announced a switch as closed, by switch.
    closed_since: BTreeMap<u32, Duration>,
    cold_switches: BTreeMap<u32, ColdSwitchState>,
    /// When the state of a call is dropped: the time, the key of the call and its session.
    expiries: VecDeque<(Duration, (u64, String), String)>,
    report: AuditReport,
    last_observed: Duration,
    /// How much earlier the current bytes may have arrived. A check uses whichever time, with or without this
    /// delay, favours the gateway, so that a delayed tap does not cause a false violation.
    tap_delay: Duration,
}

impl Auditor {
    /// Creates an auditor with these parameters.
    #[must_use]
    pub fn new(parameters: AuditParameters) -> Self {
        Self {
            parameters,
            readers: BTreeMap::new(),
            calls: BTreeMap::new(),
            final_response_times: BTreeMap::new(),
            attempts: BTreeMap::new(),
            session_by_branch: BTreeMap::new(),
            closed_since: BTreeMap::new(),
            cold_switches: BTreeMap::new(),
            expiries: VecDeque::new(),
            report: AuditReport::default(),
            last_observed: Duration::ZERO,
            tap_delay: Duration::ZERO,
        }
    }

    fn record_violation(&mut self, rule: Rule, at: Duration, text: String) {
        *self.report.violation_counts.entry(rule).or_default() += 1;
        if self.report.violations.len() < MAX_KEPT_VIOLATIONS {
            self.report.violations.push(Violation { rule, at, text });
        }
    }

    /// Takes one observation made at this time.
    pub fn observe(&mut self, at: Duration, observation: Observation) {
        self.last_observed = self.last_observed.max(at);
        match observation {
            Observation::Opened { conn, side } => {
                let reader = match side {
                    Side::Caller { gateway } => ConnectionReader::Caller {
                        gateway,
                        to_gateway: WsReader::default(),
                        from_gateway: WsReader::default(),
                    },
                    Side::Trunk { switch } => ConnectionReader::Trunk {
                        switch,
                        to_gateway: TcpReader::default(),
                        from_gateway: TcpReader::default(),
                    },
                };
                self.readers.insert(conn, reader);
            }
            Observation::Bytes { conn, direction, bytes, tap_delay } => {
                self.report.max_tap_delay = self.report.max_tap_delay.max(tap_delay);
                self.tap_delay = tap_delay;
                self.on_bytes(at, conn, direction, &bytes);
            }
            Observation::Closed { conn } => self.on_connection_closed(at, conn),
            Observation::ListUpdated { switch, state } => {
                match state {
                    ListState::Ready => drop(self.closed_since.remove(&switch)),
                    ListState::Closed => drop(self.closed_since.entry(switch).or_insert(at)),
                }
                if let Some(cold) = self.cold_switches.get_mut(&switch) {
                    cold.announced |= state == ListState::Ready;
                }
            }
            Observation::ColdStart { switch, capacity_per_s, initial_share, ramp } => {
                let (arrivals, announced, reported) = (VecDeque::new(), false, false);
                self.cold_switches.insert(
                    switch,
                    ColdSwitchState {
                        started_at: at,
                        capacity_per_s,
                        initial_share,
                        ramp,
                        announced,
                        arrivals,
                        reported,
                    },
                );
            }
        }
        self.forget_expired(at);
    }

    fn on_bytes(&mut self, at: Duration, conn: u64, direction: Direction, bytes: &[u8]) {
        let (messages, side) = match self.readers.get_mut(&conn) {
            Some(ConnectionReader::Caller { gateway, to_gateway, from_gateway }) => {
                let reader = if direction == Direction::ToGateway { to_gateway } else { from_gateway };
                (reader.push(bytes), Side::Caller { gateway: *gateway })
            }
            Some(ConnectionReader::Trunk { switch, to_gateway, from_gateway }) => {
                let reader = if direction == Direction::ToGateway { to_gateway } else { from_gateway };
                (reader.push(bytes), Side::Trunk { switch: *switch })
            }
            None => return,
        };
        match messages {
            Ok(messages) => {
                for sip in messages {
                    match (side, direction) {
                        (Side::Caller { .. }, Direction::ToGateway) => {
                            self.on_message_from_caller(at, conn, sip)
                        }
                        (Side::Caller { .. }, Direction::FromGateway) => {
                            self.on_message_to_caller(at, conn, sip)
                        }
                        (Side::Trunk { switch }, Direction::FromGateway) => {
                            self.on_message_to_switch(at, conn, switch, sip)
                        }
                        (Side::Trunk { .. }, Direction::ToGateway) => {
                            self.on_message_from_switch(at, conn, &sip)
                        }
                    }
                }
            }
            Err(text) => self.record_violation(Rule::OneAnswer, at, format!("connection {conn}: {text}")),
        }
    }

    fn on_message_from_caller(&mut self, at: Duration, conn: u64, sip: SipMessage) {
        if sip.method != "INVITE" || sip.status.is_some() || sip.has_to_tag {
            return;
        }
        let key = (conn, sip.branch);
        if self.calls.contains_key(&key) {
            return;
        }
        let deadline = at + Duration::from_secs(sip.expires_s.unwrap_or(3600)) + self.parameters.answer_slack;
        self.report.calls += 1;
        // A call that was challenged (401) comes again under its session, as a new transaction.
        self.final_response_times.remove(&sip.session_id);
        self.calls.insert(
            key,
            Call { session: sip.session_id, deadline, final_response_at: None, caller_disconnected: false },
        );
    }

    fn on_message_to_caller(&mut self, at: Duration, conn: u64, sip: SipMessage) {
        let Some(status) = sip.status.filter(|_| sip.method == "INVITE") else { return };
        let key = (conn, sip.branch);
        let Some(call) = self.calls.get_mut(&key) else { return };
        if let Some(before) = call.final_response_at {
            let text = format!(
                "call {} got {status} after its final answer at {:.3} s",
                call.session,
                before.as_secs_f64()
            );
            return self.record_violation(Rule::OneAnswer, at, text);
        }
        if status < 200 {
            return;
        }
        call.final_response_at = Some(at);
        let (session, late) = (call.session.clone(), at.saturating_sub(self.tap_delay) > call.deadline);
        if late {
            self.record_violation(
                Rule::OneAnswer,
                at,
                format!("call {session} was answered {status} too late"),
            );
        }
        self.final_response_times.insert(session.clone(), at);
        self.expiries.push_back((at + CALL_RETENTION, key, session));
    }

    fn on_message_to_switch(&mut self, at: Duration, conn: u64, switch: u32, sip: SipMessage) {
        if sip.status.is_some() {
            return;
        }
        if sip.method == "CANCEL" {
            return self.end_attempt(at, conn, &sip.branch, true);
        }
        if sip.method != "INVITE" || sip.has_to_tag {
            return;
        }
        self.report.attempts += 1;
        let session = sip.session_id.clone();
        if session.is_empty() {
            return self.record_violation(
                Rule::OneAttempt,
                at,
                format!("a set-up to switch {switch} has no Session-ID"),
            );
        }
        if let Some(answered) = self
            .final_response_times
            .get(&session)
            .filter(|t| at.saturating_sub(self.tap_delay) > **t + self.parameters.answer_slack)
        {
            let text = format!(
                "call {session} was sent to switch {switch} after its answer at {:.3} s",
                answered.as_secs_f64()
            );
            self.record_violation(Rule::OneAnswer, at, text);
        }
        let (guard, tolerance) = (self.parameters.guard, self.parameters.time_tolerance);
        let mut violations = Vec::new();
        for earlier in self.attempts.get(&session).into_iter().flatten() {
            // An attempt without a response ends with the time-out that the gateway announced for it.
            let timed_out = earlier.timeout.map(|t| AttemptEnd { at: earlier.sent + t, guarded: true });
            let ended = match (earlier.ended, timed_out) {
                (Some(a), Some(b)) => Some(if a.at <= b.at { a } else { b }),
                (a, b) => a.or(b),
            };
            match ended {
                Some(end) if end.at <= at + tolerance => {
                    if end.guarded && at + tolerance < end.at + guard {
                        let ms = at.saturating_sub(end.at).as_millis();
                        violations.push((
                            Rule::RetryGuard,
                            format!("call {session} was sent again {ms} ms after an attempt was given up"),
                        ));
                    }
                }
                _ => {
                    let text = format!(
                        "call {session} was sent to switch {switch} while another attempt was out: sent {:.3} s \
                         on connection {}, within {:?}, ended {:?}",
                        earlier.sent.as_secs_f64(),
                        earlier.conn,
                        earlier.timeout,
                        earlier.ended.map(|end| (end.at, end.guarded)),
                    );
                    violations.push((Rule::OneAttempt, text));
                }
            }
        }
        for (rule, text) in violations {
            self.record_violation(rule, at, text);
        }
        if let Some(closed_since) = self
            .closed_since
            .get(&switch)
            .filter(|t| at.saturating_sub(self.tap_delay) > **t + self.parameters.drain_grace)
        {
            let ms = (at - *closed_since).as_millis();
            self.record_violation(
                Rule::DrainGrace,
                at,
                format!("a set-up went to switch {switch} {ms} ms after its end was told"),
            );
        }
        self.check_cold_switch(at, switch);
        let timeout = sip.fr_within_ms.map(Duration::from_millis);
        self.session_by_branch.insert((conn, sip.branch.clone()), session.clone());
        let sent = at.saturating_sub(self.tap_delay);
        let attempt = Attempt { conn, host: sip.via_host, branch: sip.branch, sent, timeout, ended: None };
        self.attempts.entry(session).or_default().push(attempt);
    }

    /// Rule 4: checks the window that ends with this set-up.
    fn check_cold_switch(&mut self, at: Duration, switch: u32) {
        let AuditParameters { fall_multiple, fall_window, excess_allowance, .. } = self.parameters;
        let Some(cold) = self.cold_switches.get_mut(&switch) else { return };
        if at > cold.started_at + cold.ramp + fall_window {
            self.cold_switches.remove(&switch);
            return;
        }
        cold.arrivals.push_back((at, cold.announced));
        while cold.arrivals.front().is_some_and(|(t, _)| *t + fall_window < at) {
            cold.arrivals.pop_front();
        }
        let count = cold.arrivals.len() as f64;
        let announced = cold.arrivals.iter().filter(|(_, announced)| *announced).count() as f64;
        let begin = at.saturating_sub(fall_window).max(cold.started_at);
        let budget = fall_multiple * cold.set_ups_between(begin, begin + fall_window) + excess_allowance;
        // At least two thirds of the set-ups must have been sent after the list announced the switch as
        // ready: before that the gateways cannot know of its start.
        if count > budget && announced * 3.0 >= count * 2.0 && !cold.reported {
            cold.reported = true;
            let text = format!(
                "cold switch {switch} got {count} set-ups in {:.1} s, its budget is {budget:.1}",
                fall_window.as_secs_f64()
            );
            self.record_violation(Rule::ColdSwitch, at, text);
        }
    }

    fn on_message_from_switch(&mut self, at: Duration, conn: u64, sip: &SipMessage) {
        if let Some(status) = sip.status.filter(|s| *s >= 200 && sip.method == "INVITE") {
            if status < 300 {
                self.count_accepted_call(at, conn, &sip.branch);
            }
            // 408 and 504 are time-outs of the switch; 487 confirms the CANCEL.
            self.end_attempt(at, conn, &sip.branch, matches!(status, 408 | 487 | 504));
        }
    }

    /// Counts a call that a switch accepted, for the gateway that sent its set-up.
    fn count_accepted_call(&mut self, at: Duration, conn: u64, branch: &str) {
        let Some(ConnectionReader::Trunk { switch, .. }) = self.readers.get(&conn) else { return };
        let session = self.session_by_branch.get(&(conn, branch.to_owned()));
        let mut attempts = session.and_then(|s| self.attempts.get(s)).into_iter().flatten();
        // Once an attempt has ended, a repeated 2xx is not counted again.
        if let Some(attempt) = attempts.find(|a| a.conn == conn && a.branch == branch && a.ended.is_none()) {
            let key = (attempt.host.clone(), *switch, at.as_secs() / 60);
            *self.report.accepted_calls.entry(key).or_default() += 1;
        }
    }

    /// Ends an attempt that has not ended yet.
    fn end_attempt(&mut self, at: Duration, conn: u64, branch: &str, guarded: bool) {
        let session = self.session_by_branch.get(&(conn, branch.to_owned()));
        let attempts = session.and_then(|s| self.attempts.get_mut(s)).into_iter().flatten();
        let attempt = attempts.into_iter().find(|a| a.conn == conn && a.branch == branch);
        if let Some(attempt) = attempt.filter(|a| a.ended.is_none()) {
            attempt.ended = Some(AttemptEnd { at, guarded });
        }
    }

    fn on_connection_closed(&mut self, at: Duration, conn: u64) {
        self.readers.remove(&conn);
        for attempt in self.attempts.values_mut().flatten().filter(|a| a.conn == conn && a.ended.is_none()) {
            attempt.ended = Some(AttemptEnd { at, guarded: true });
        }
        let range = (conn, String::new())..(conn + 1, String::new());
        for (key, call) in self.calls.range_mut(range) {
            call.caller_disconnected = true;
            self.expiries.push_back((at + CALL_RETENTION, key.clone(), call.session.clone()));
        }
    }

    /// Drops the state of calls that ended long enough ago.
    fn forget_expired(&mut self, at: Duration) {
        while self.expiries.front().is_some_and(|(t, _, _)| *t < at) {
            if let Some((_, key, session)) = self.expiries.pop_front() {
                self.calls.remove(&key);
                self.final_response_times.remove(&session);
                for attempt in self.attempts.remove(&session).unwrap_or_default() {
                    self.session_by_branch.remove(&(attempt.conn, attempt.branch));
                }
            }
        }
    }

    /// Ends the record and reports the calls that never got a final response.
    #[must_use]
    pub fn finish(mut self) -> AuditReport {
        let unanswered: Vec<(String, Duration)> = (self.calls.values())
            .filter(|c| c.final_response_at.is_none() && !c.caller_disconnected)
            .map(|c| (c.session.clone(), c.deadline))
            .collect();
        let mut reported = BTreeSet::new();
        for (session, due) in unanswered {
            if due < self.last_observed {
                if reported.insert(session.clone()) {
                    self.record_violation(
                        Rule::OneAnswer,
                        due,
                        format!("call {session} never got a final answer"),
                    );
                }
            } else {
                self.report.undecided_calls += 1;
            }
        }
        self.report
    }
}
