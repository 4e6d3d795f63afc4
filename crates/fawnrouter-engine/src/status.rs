//! The mapping between SIP statuses and the controller's outcomes, in both directions.
//!
//! From a switch (RFC 3261 §21; Reason RFC 3326; causes of ITU-T Q.850 table 1):
//!
//! | final response | outcome | detail | consequence for the call |
//! | --- | --- | --- | --- |
//! | 2xx | established | | established |
//! | 503 with Reason Q.850;cause=34 (no circuit) or 44 | `Full` | `NoCircuit` | may be retried elsewhere |
//! | 503, 500 with Reason Q.850;cause=42 (congestion) | `Full` | `ProcessorFull`, with the Retry-After | may be retried elsewhere |
//! | 486, 600, or any with Reason Q.850;cause=17 | `Error` | `NumberBusy` | the controller refuses it |
//! | 408, 504 | `TimedOut` | | may be retried elsewhere after `release_guard` |
//! | 487 | `Cancelled` | | may be retried elsewhere after `release_guard` |
//! | 404, 410, 413, 415, 416, 484, 485, 488, 603, 604, 606 | `Error` | | final: the number or the offer is at fault |
//! | any other 3xx to 6xx | `Error` | | may be retried elsewhere |
//! | none: no connection | `ConnectFailed` | | may be retried elsewhere |
//! | none: connection lost | `Reset` | | may be retried elsewhere after `release_guard` |
//!
//! To the caller:
//!
//! | decision | after | status |
//! | --- | --- | --- |
//! | refused | the number's lines were busy | that status (486 or the like), Retry-After |
//! | refused | anything else | 503, Retry-After |
//! | failed | a final response of a switch other than 408, 487, 503 and 504 | that response |
//! | failed | anything else | 504 |

use std::time::Duration;

use fawnrouter::{LoadReport, Outcome, OutcomeDetail};
use fawnrouter_sip::{Message, Name, Reason, Via};

/// Whether other switches may still take the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retryability {
    /// Another attempt may succeed.
    Retryable,
    /// No attempt can succeed: the response goes to the caller as it is.
    Final,
}

/// What a final response of 300 or more means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseMeaning {
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The cause, as far as the response gives one.
    pub detail: OutcomeDetail,
    /// Whether another switch may still take the call.
    pub retryability: Retryability,
}

/// What a response says beside its status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseDetails {
    /// The value of Retry-After.
    pub retry_after: Option<Duration>,
    /// The Q.850 cause of a Reason header.
    pub q850: Option<u16>,
}

impl ResponseDetails {
    /// Reads the Retry-After and Reason headers of a response.
    #[must_use]
    pub fn from_response(response: &Message) -> Self {
        let retry = response.get(Name::RetryAfter).and_then(|v| {
            // A comment or parameters may follow the seconds (RFC 3261 §20.33).
            let digits = v.split(['(', ';', ' ']).next().unwrap_or("");
            digits.parse::<u32>().ok()
        });
        let reasons = response.values(Name::Reason).map(Reason::parse);
        let q850 = reasons.filter(|r| r.protocol.eq_ignore_ascii_case("Q.850")).find_map(|r| r.cause);
        Self { retry_after: retry.map(|s| Duration::from_secs(u64::from(s))), q850 }
    }
}

/// The meaning of a switch's final response.
#[must_use]
pub fn response_meaning(status: u16, details: ResponseDetails) -> ResponseMeaning {
    let (outcome, detail) = match (status, details.q850) {
        (_, Some(17)) | (486 | 600, _) => (Outcome::Error, OutcomeDetail::NumberBusy),
        (503, Some(34 | 44)) => (Outcome::Full, OutcomeDetail::NoCircuit),
        (503, _) | (500, Some(42)) => (Outcome::Full, OutcomeDetail::ProcessorFull(details.retry_after)),
        (408 | 504, _) => (Outcome::TimedOut, OutcomeDetail::None),
        (487, _) => (Outcome::Cancelled, OutcomeDetail::None),
        _ => (Outcome::Error, OutcomeDetail::None),
    };
    let is_final = matches!(status, 404 | 410 | 413 | 415 | 416 | 484 | 485 | 488 | 603 | 604 | 606);
    let retryability =
        if is_final && detail == OutcomeDetail::None { Retryability::Final } else { Retryability::Retryable };
    ResponseMeaning { outcome, detail, retryability }
}

/// A final answer to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalAnswer {
    /// The status.
    pub status: u16,
    /// The value of Retry-After, in seconds.
    pub retry_after_s: Option<u64>,
    /// The text of the Reason header.
    pub text: &'static str,
}

/// The final answer to the caller. `refused` is the Retry-After of the controller's refusal, or `None` if the
/// call failed; `last` is the last final response of a switch to this call.
#[must_use]
pub fn answer_to_caller(refused: Option<Duration>, last: Option<(u16, OutcomeDetail)>) -> FinalAnswer {
    match (refused, last) {
        (Some(wait), Some((status, OutcomeDetail::NumberBusy))) => {
            FinalAnswer { status, retry_after_s: seconds(wait), text: "all lines of the number are busy" }
        }
        (Some(wait), _) => {
            FinalAnswer { status: 503, retry_after_s: seconds(wait), text: "no switch could take the call" }
        }
        // A switch's 408 or 503 is not passed on: it would make the caller try another gateway itself.
        (None, Some((status, _))) if !matches!(status, 408 | 487 | 503 | 504) => {
            FinalAnswer { status, retry_after_s: None, text: "the switch refused the call" }
        }
        (None, _) => FinalAnswer { status: 504, retry_after_s: None, text: "no switch answered in time" },
    }
}

fn seconds(wait: Duration) -> Option<u64> {
    (!wait.is_zero()).then(|| retry_after_seconds(wait))
}

/// The seconds of a Retry-After, rounded up: a caller that retries too early does more harm than one that
/// retries a little late.
#[must_use]
pub fn retry_after_seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}

/// A switch's overload control in the Via that it sends back (RFC 7339 §4, RFC 7415 §3): a share of set-ups
/// to hold back, or a rate. The rate in the Via is for this gateway alone; the report states the rate for all
/// gateways together.
#[must_use]
pub fn overload_report(via: &Via<'_>, gateways: u32) -> Option<LoadReport> {
    let oc = via.params.get("oc").filter(|v| !v.is_empty())?.parse::<f64>().ok();
    let oc = oc.filter(|x| x.is_finite() && *x >= 0.0)?;
    // A validity of 0 ends overload control (RFC 7339 §4.3).
    if via.params.get("oc-validity").is_some_and(|v| v.trim() == "0") {
        return Some(LoadReport { hold_back_share: Some(0.0), ..LoadReport::default() });
    }
    match via.params.get("oc-algo").unwrap_or("loss") {
        "rate" => {
            Some(LoadReport { acceptable_rate: Some(oc * f64::from(gateways)), ..LoadReport::default() })
        }
        _ => Some(LoadReport { hold_back_share: Some((oc / 100.0).min(1.0)), ..LoadReport::default() }),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn switch_responses_map_to_outcomes_as_tabulated() {
        let wait = Some(Duration::from_secs(2));
        let rows = [
            (503, None, None, Outcome::Full, OutcomeDetail::ProcessorFull(None), Retryability::Retryable),
            (503, wait, None, Outcome::Full, OutcomeDetail::ProcessorFull(wait), Retryability::Retryable),
            (503, wait, Some(34), Outcome::Full, OutcomeDetail::NoCircuit, Retryability::Retryable),
            (500, None, Some(42), Outcome::Full, OutcomeDetail::ProcessorFull(None), Retryability::Retryable),
            (500, None, None, Outcome::Error, OutcomeDetail::None, Retryability::Retryable),
            (486, None, None, Outcome::Error, OutcomeDetail::NumberBusy, Retryability::Retryable),
            (480, None, Some(17), Outcome::Error, OutcomeDetail::NumberBusy, Retryability::Retryable),
            (408, None, None, Outcome::TimedOut, OutcomeDetail::None, Retryability::Retryable),
            (487, None, None, Outcome::Cancelled, OutcomeDetail::None, Retryability::Retryable),
            (404, None, None, Outcome::Error, OutcomeDetail::None, Retryability::Final),
            (604, None, None, Outcome::Error, OutcomeDetail::None, Retryability::Final),
            (302, None, None, Outcome::Error, OutcomeDetail::None, Retryability::Retryable),
        ];
        for (status, retry_after, q850, outcome, detail, retryability) in rows {
            let expected = ResponseMeaning { outcome, detail, retryability };
            assert_eq!(
                response_meaning(status, ResponseDetails { retry_after, q850 }),
                expected,
                "{status} {q850:?}"
            );
        }
    }

    #[test]
    fn decisions_map_to_caller_statuses_as_tabulated() {
        let ms = Duration::from_millis;
        let answer = |refused, last| {
            let a = answer_to_caller(refused, last);
            (a.status, a.retry_after_s)
        };
        assert_eq!(answer(Some(ms(0)), None), (503, None));
        assert_eq!(answer(Some(ms(1001)), Some((503, OutcomeDetail::ProcessorFull(None)))), (503, Some(2)));
        assert_eq!(answer(Some(ms(2000)), Some((486, OutcomeDetail::NumberBusy))), (486, Some(2)));
        assert_eq!(answer(None, None), (504, None));
        assert_eq!(answer(None, Some((500, OutcomeDetail::None))), (500, None));
        assert_eq!(answer(None, Some((503, OutcomeDetail::None))), (504, None));
    }

    #[test]
    fn overload_parameters_become_a_share_or_a_rate() {
        let report = |text: &str| overload_report(&Via::parse(text).expect("a Via"), 4);
        let loss = report("SIP/2.0/TCP h;branch=z;oc=20;oc-algo=\"loss\";oc-validity=500;oc-seq=1.1");
        assert_eq!(loss.and_then(|r| r.hold_back_share), Some(0.2));
        let rate = report("SIP/2.0/TCP h;branch=z;oc=150;oc-algo=\"rate\";oc-validity=1000");
        assert_eq!(rate.and_then(|r| r.acceptable_rate), Some(600.0));
        assert_eq!(report("SIP/2.0/TCP h;oc=70;oc-validity=0").and_then(|r| r.hold_back_share), Some(0.0));
        assert_eq!(report("SIP/2.0/TCP h;branch=z;oc"), None);
        assert_eq!(report("SIP/2.0/TCP h;oc=-5"), None);
    }
}
