//! Structured logging to standard error, with a span per call.

use std::collections::BTreeMap;

use fawnrouter_config::{Log, LogFormat, LogLevel};
use fawnrouter_engine::CallEvent;
use fawnrouter_engine::fawnrouter::CallId;
use tracing::Level;

/// Starts logging. Later calls in the same process have no effect.
pub fn start(log: &Log) {
    let level = match log.level {
        LogLevel::Error => Level::ERROR,
        LogLevel::Warn => Level::WARN,
        LogLevel::Info => Level::INFO,
        LogLevel::Debug => Level::DEBUG,
    };
    let base =
        tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_target(false);
    let _ = match log.format {
        LogFormat::Text => base.with_ansi(false).try_init(),
        LogFormat::Json => {
            base.json().flatten_event(true).with_current_span(true).with_span_list(false).try_init()
        }
    };
}

/// Spans of the present calls. Their number is bounded by the engine's limit on calls, as each span ends with
/// its call.
#[derive(Debug, Default)]
pub struct CallSpans {
    spans: BTreeMap<CallId, tracing::Span>,
}

impl CallSpans {
    /// Logs an event of a call in its span.
    pub fn record(&mut self, call: CallId, event: CallEvent) {
        if let CallEvent::Accepted { call_id, class, number } = &event {
            let span = tracing::debug_span!("call", call_id = %call_id, class = %class, number = %number);
            self.spans.insert(call, span);
        }
        let Some(span) = self.spans.get(&call) else { return };
        let over = span.in_scope(|| match event {
            CallEvent::Accepted { .. } => {
                tracing::debug!("taken");
                false
            }
            CallEvent::AttemptSent { attempt, server } => {
                tracing::debug!(attempt = attempt.0, switch = server.0, "set-up sent");
                false
            }
            CallEvent::AttemptClosed { attempt, outcome } => {
                tracing::debug!(attempt = attempt.0, ?outcome, "attempt ended");
                false
            }
            CallEvent::Answered { status, after } => {
                tracing::debug!(status, after_ms = after.as_secs_f64() * 1e3, "answered");
                status >= 300
            }
            CallEvent::Released { outcome, established_for } => {
                tracing::debug!(?outcome, stood_ms = established_for.as_secs_f64() * 1e3, "released");
                true
            }
        });
        // An attempt may end after the answer; that event is then not logged, as the span is gone.
        if over {
            self.spans.remove(&call);
        }
    }
}
