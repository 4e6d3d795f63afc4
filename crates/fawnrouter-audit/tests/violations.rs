//! Gives the auditor clean records and records with a violation of each rule, as raw bytes.

use std::time::Duration;

use fawnrouter_audit::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const PARAMETERS: AuditParameters = AuditParameters {
    drain_grace: ms(1000),
    guard: ms(300),
    fall_multiple: 3.0,
    fall_window: ms(1000),
    excess_allowance: 2.0,
    answer_slack: ms(50),
    time_tolerance: ms(10),
};

struct Recording {
    auditor: Auditor,
    tap_delay: Duration,
}

fn text_frame(text: &str, masked: bool) -> Vec<u8> {
    let mut bytes = vec![0x81];
    let bit = if masked { 0x80 } else { 0 };
    if text.len() < 126 {
        bytes.push(bit | text.len() as u8);
    } else {
        bytes.push(bit | 126);
        bytes.extend((text.len() as u16).to_be_bytes());
    }
    let key = [1u8, 2, 3, 4];
    if masked {
        bytes.extend(key);
        bytes.extend(text.bytes().enumerate().map(|(n, b)| b ^ key[n % 4]));
    } else {
        bytes.extend(text.bytes());
    }
    bytes
}

impl Recording {
    /// Opens a caller's connection 1 to gateway 0, and connections 70 and 71 to the switches of these
    /// numbers.
    fn new() -> Self {
        let mut auditor = Auditor::new(PARAMETERS);
        auditor.observe(ms(0), Observation::Opened { conn: 1, side: Side::Caller { gateway: 0 } });
        for switch in [70, 71] {
            auditor.observe(
                ms(0),
                Observation::Opened { conn: u64::from(switch), side: Side::Trunk { switch } },
            );
        }
        let head = b"GET / HTTP/1.1\r\n\r\n".to_vec();
        auditor.observe(
            ms(0),
            Observation::Bytes { conn: 1, direction: Direction::ToGateway, bytes: head, tap_delay: ms(0) },
        );
        let head = b"HTTP/1.1 101 Switching Protocols\r\n\r\n".to_vec();
        auditor.observe(
            ms(0),
            Observation::Bytes { conn: 1, direction: Direction::FromGateway, bytes: head, tap_delay: ms(0) },
        );
        Self { auditor, tap_delay: ms(0) }
    }

    fn bytes(&mut self, at: u64, conn: u64, direction: Direction, bytes: Vec<u8>) -> &mut Self {
        // In two pieces, as sockets may deliver them.
        let (a, b) = bytes.split_at(bytes.len() / 2);
        self.auditor.observe(
            ms(at),
            Observation::Bytes { conn, direction, bytes: a.to_vec(), tap_delay: self.tap_delay },
        );
        self.auditor.observe(
            ms(at),
            Observation::Bytes { conn, direction, bytes: b.to_vec(), tap_delay: self.tap_delay },
        );
        self
    }

    fn invite_from_caller(&mut self, at: u64, n: u32) -> &mut Self {
        let text = format!(
            "INVITE sip:x@g SIP/2.0\r\nVia: SIP/2.0/WS c;branch=b{n}\r\nTo: <sip:x@g>\r\nCall-ID: c{n}\r\n\
             CSeq: 1 INVITE\r\nExpires: 3\r\nSession-ID: s{n};remote=0\r\n\r\n"
        );
        self.bytes(at, 1, Direction::ToGateway, text_frame(&text, true))
    }

    fn response_to_caller(&mut self, at: u64, n: u32, status: u16) -> &mut Self {
        let text = format!("SIP/2.0 {status} X\r\nVia: SIP/2.0/WS c;branch=b{n}\r\nCSeq: 1 INVITE\r\n\r\n");
        self.bytes(at, 1, Direction::FromGateway, text_frame(&text, false))
    }

    fn request_to_switch(
        &mut self,
        at: u64,
        method: &str,
        switch: u32,
        n: u32,
        attempt: u32,
        timeout_ms: u64,
    ) -> &mut Self {
        let text = format!(
            "{method} sip:x@s SIP/2.0\r\nv: SIP/2.0/TCP gw0;branch=t{n}.{attempt};oc;fr-within={timeout_ms}\r\n\
             To: <sip:x@g>\r\nSession-ID: s{n};remote=0\r\nCSeq: 1 {method}\r\nl: 2\r\n\r\nab"
        );
        self.bytes(at, u64::from(switch), Direction::FromGateway, text.into_bytes())
    }

    fn invite_to_switch(&mut self, at: u64, switch: u32, n: u32, attempt: u32) -> &mut Self {
        self.request_to_switch(at, "INVITE", switch, n, attempt, 2500)
    }

    fn response_from_switch(&mut self, at: u64, switch: u32, n: u32, attempt: u32, status: u16) -> &mut Self {
        let text = format!(
            "SIP/2.0 {status} X\r\nVia: SIP/2.0/TCP gw0;branch=t{n}.{attempt}\r\nCSeq: 1 INVITE\r\n\
             Content-Length: 0\r\n\r\n"
        );
        self.bytes(at, u64::from(switch), Direction::ToGateway, text.into_bytes())
    }

    fn observe(&mut self, at: u64, observation: Observation) -> &mut Self {
        self.auditor.observe(ms(at), observation);
        self
    }

    /// Ends the record at 100 s and returns the number of violations by rule.
    fn violations(mut self) -> Vec<(Rule, u64)> {
        self.auditor.observe(ms(100_000), Observation::ListUpdated { switch: 999, state: ListState::Ready });
        self.auditor.finish().violation_counts.into_iter().collect()
    }
}

#[test]
fn record_without_violations_is_clean() {
    let mut recording = Recording::new();
    recording
        .invite_from_caller(0, 1)
        .response_to_caller(1, 1, 100)
        .invite_to_switch(2, 70, 1, 0)
        .response_from_switch(40, 70, 1, 0, 503);
    recording
        .invite_to_switch(41, 71, 1, 1)
        .response_from_switch(60, 71, 1, 1, 180)
        .response_from_switch(90, 71, 1, 1, 200)
        .response_to_caller(91, 1, 200);
    recording.invite_from_caller(200, 2).response_to_caller(3100, 2, 503);
    let report = recording.auditor.finish();
    assert!(report.is_clean(), "{report:?}");
    assert_eq!((report.calls, report.attempts), (2, 2));
    let accepted: Vec<_> = report.accepted_calls.into_iter().collect();
    assert_eq!(accepted, [(("gw0".to_owned(), 71, 0), 1)], "switch 70 refused, switch 71 accepted one call");
}

#[test]
fn rule_1_is_violated_by_a_missing_second_or_late_answer_and_by_a_set_up_after_it() {
    let mut recording = Recording::new();
    recording.invite_from_caller(0, 1);
    assert_eq!(recording.violations(), [(Rule::OneAnswer, 1)]);
    let mut recording = Recording::new();
    recording.invite_from_caller(0, 1).response_to_caller(10, 1, 503).response_to_caller(20, 1, 200);
    assert_eq!(recording.violations(), [(Rule::OneAnswer, 1)]);
    let mut recording = Recording::new();
    recording.invite_from_caller(0, 1).response_to_caller(10, 1, 503).response_to_caller(20, 1, 180);
    assert_eq!(recording.violations(), [(Rule::OneAnswer, 1)]);
    let mut recording = Recording::new();
    recording.invite_from_caller(0, 1).response_to_caller(3100, 1, 503);
    assert_eq!(recording.violations(), [(Rule::OneAnswer, 1)]);
    let mut recording = Recording::new();
    recording.invite_from_caller(0, 1).response_to_caller(10, 1, 503).invite_to_switch(100, 70, 1, 0);
    assert_eq!(recording.violations(), [(Rule::OneAnswer, 1)]);
}

#[test]
fn rule_2_is_violated_by_two_attempts_at_once() {
    let mut recording = Recording::new();
    recording
        .invite_from_caller(0, 1)
        .invite_to_switch(5, 70, 1, 0)
        .response_from_switch(10, 70, 1, 0, 180)
        .invite_to_switch(20, 71, 1, 1)
        .response_to_caller(50, 1, 200);
    assert_eq!(recording.violations(), [(Rule::OneAttempt, 1)]);
}

#[test]
fn rule_3_is_violated_by_a_set_up_after_the_grace_but_not_within_it() {
    for (at, expected) in [(1400, vec![]), (1600, vec![(Rule::DrainGrace, 1)])] {
        let mut recording = Recording::new();
        recording.observe(500, Observation::ListUpdated { switch: 70, state: ListState::Closed });
        recording
            .invite_from_caller(600, 1)
            .invite_to_switch(at, 70, 1, 0)
            .response_from_switch(at + 5, 70, 1, 0, 200)
            .response_to_caller(at + 6, 1, 200);
        assert_eq!(recording.violations(), expected, "{at}");
    }
}

#[test]
fn rule_4_is_violated_by_more_set_ups_to_a_cold_switch_than_its_budget() {
    // Capacity 20 set-ups a second when warm, starting at a share of 0.3 and warm after 10 s: the budget of
    // the first second is 3 * 20 * 0.335 + 2 = 22.
    for (count, expected) in [(22, vec![]), (23, vec![(Rule::ColdSwitch, 1)])] {
        let mut recording = Recording::new();
        recording.observe(
            1000,
            Observation::ColdStart { switch: 70, capacity_per_s: 20.0, initial_share: 0.3, ramp: ms(10_000) },
        );
        recording.observe(1000, Observation::ListUpdated { switch: 70, state: ListState::Ready });
        for n in 0..count {
            recording
                .invite_from_caller(1100, n)
                .invite_to_switch(1200 + u64::from(n), 70, n, 0)
                .response_to_caller(1500, n, 200);
        }
        assert_eq!(recording.violations(), expected, "{count}");
    }
    // Without an announcement the gateways cannot know of the start.
    let mut recording = Recording::new();
    recording.observe(
        1000,
        Observation::ColdStart { switch: 70, capacity_per_s: 20.0, initial_share: 0.3, ramp: ms(10_000) },
    );
    for n in 0..60 {
        recording
            .invite_from_caller(1100, n)
            .invite_to_switch(1200, 70, n, 0)
            .response_to_caller(1500, n, 200);
    }
    assert_eq!(recording.violations(), []);
}

#[test]
fn rule_5_is_violated_by_an_attempt_too_soon_after_a_cancel_reset_or_time_out() {
    for (again, expected) in [(250, vec![(Rule::RetryGuard, 1)]), (320, vec![])] {
        let mut recording = Recording::new();
        recording
            .invite_from_caller(0, 1)
            .invite_to_switch(0, 70, 1, 0)
            .response_from_switch(5, 70, 1, 0, 100)
            .request_to_switch(10, "CANCEL", 70, 1, 0, 2500);
        recording.invite_to_switch(10 + again, 71, 1, 1).response_to_caller(1000, 1, 200);
        assert_eq!(recording.violations(), expected, "cancel, {again} ms");

        let mut recording = Recording::new();
        recording
            .invite_from_caller(0, 1)
            .invite_to_switch(0, 70, 1, 0)
            .observe(10, Observation::Closed { conn: 70 });
        recording.invite_to_switch(10 + again, 71, 1, 1).response_to_caller(1000, 1, 200);
        assert_eq!(recording.violations(), expected, "reset, {again} ms");

        let mut recording = Recording::new();
        recording
            .invite_from_caller(0, 1)
            .request_to_switch(0, "INVITE", 70, 1, 0, 500)
            .invite_to_switch(500 + again, 71, 1, 1)
            .response_to_caller(1000, 1, 200);
        assert_eq!(recording.violations(), expected, "time-out, {again} ms");
    }
}

#[test]
fn delayed_tap_causes_no_false_violation() {
    for (tap_delay, expected) in [(0, vec![(Rule::OneAttempt, 1)]), (350, vec![])] {
        let mut recording = Recording::new();
        recording.invite_from_caller(0, 1);
        // Sent at 0 with a time-out of 1 s, read by the tap at 350 ms; the next attempt was sent at 1.305 s.
        recording.tap_delay = ms(tap_delay);
        recording.request_to_switch(350, "INVITE", 70, 1, 0, 1000);
        recording.tap_delay = ms(0);
        recording.invite_to_switch(1305, 71, 1, 1).response_to_caller(1400, 1, 200);
        assert_eq!(recording.violations(), expected, "{tap_delay}");
    }
}

#[test]
fn challenged_call_may_be_repeated_but_is_not_sent_on_before() {
    for (repeated, expected) in [(true, vec![]), (false, vec![(Rule::OneAnswer, 1)])] {
        let mut recording = Recording::new();
        recording.invite_from_caller(0, 1).response_to_caller(1, 1, 401);
        if repeated {
            // The same session in a new transaction.
            let text = "INVITE sip:x@g SIP/2.0\r\nVia: SIP/2.0/WS c;branch=b1a\r\nTo: <sip:x@g>\r\n\
                        Call-ID: c1\r\nCSeq: 2 INVITE\r\nExpires: 3\r\nSession-ID: s1;remote=0\r\n\r\n";
            recording.bytes(5, 1, Direction::ToGateway, text_frame(text, true));
        }
        recording.invite_to_switch(200, 70, 1, 0).response_from_switch(240, 70, 1, 0, 200);
        if repeated {
            let text = "SIP/2.0 200 OK\r\nVia: SIP/2.0/WS c;branch=b1a\r\nCSeq: 2 INVITE\r\n\r\n";
            recording.bytes(241, 1, Direction::FromGateway, text_frame(text, false));
        }
        assert_eq!(recording.violations(), expected, "{repeated}");
    }
}

#[test]
fn body_of_a_refused_upgrade_is_no_violation() {
    let mut recording = Recording::new();
    recording.observe(0, Observation::Opened { conn: 5, side: Side::Caller { gateway: 0 } });
    let refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 6\r\n\r\n\u{1}\u{7f}full";
    recording.bytes(1, 5, Direction::FromGateway, refusal.as_bytes().to_vec());
    recording.invite_from_caller(10, 1).response_to_caller(20, 1, 503);
    assert_eq!(recording.violations(), []);
}

#[test]
fn call_of_a_disconnected_caller_needs_no_answer() {
    let mut recording = Recording::new();
    recording
        .invite_from_caller(0, 1)
        .invite_to_switch(5, 70, 1, 0)
        .observe(100, Observation::Closed { conn: 1 });
    assert_eq!(recording.violations(), []);
}

#[test]
fn empty_record_is_not_clean() {
    assert!(!Recording::new().auditor.finish().is_clean());
}
