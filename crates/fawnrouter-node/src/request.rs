//! Validates set-ups from callers to gateways and reads what they ask for (the platform's protocol; see
//! `docs/design/025-platform-gateway.md`).

use std::time::Duration;

use fawnrouter::{CallId, Cell, NewCall, Settings};
use fawnrouter_bootinfo::NameIndex;
use fawnrouter_jsonl::{Message, Tag};

/// ITU-T Q.850 causes that this gateway sends.
pub(crate) mod cause {
    /// Normal call clearing.
    pub const CLEARING: i64 = 16;
    /// User busy.
    pub const USER_BUSY: i64 = 17;
    /// No circuit available: refused, and trying again is harmless.
    pub const NO_CIRCUIT: i64 = 34;
    /// Temporary failure.
    pub const TEMPORARY_FAILURE: i64 = 41;
    /// Switching equipment congestion: as 34, but of the gateway itself.
    pub const CONGESTION: i64 = 42;
    /// Resource unavailable, unspecified.
    pub const RESOURCE_UNAVAILABLE: i64 = 47;
    /// Invalid call reference value.
    pub const INVALID_REFERENCE: i64 = 81;
    /// Mandatory information element is missing.
    pub const MISSING: i64 = 96;
    /// Message type non-existent or not implemented.
    pub const NO_SUCH_MESSAGE: i64 = 97;
    /// Invalid information element contents.
    pub const INVALID: i64 = 100;
    /// Recovery on timer expiry.
    pub const TIMER_EXPIRY: i64 = 102;
}

/// Longest called number in bytes, far more than E.164 or any key of the platform needs.
const MAX_CALLED_NUMBER_BYTES: usize = 256;

/// Names of the options that [`read`] uses.
pub(crate) const OPTION_NAMES: [&str; 6] = ["class", "extras", "key", "left", "retry", "tenant"];

/// What a set-up asks for.
#[derive(Debug)]
pub(crate) enum Request {
    /// A new call.
    New(NewCall),
    /// A call that is already established at the switch with this id, reported again by its caller.
    Established(String),
}

/// Reads a set-up.
///
/// # Errors
/// The cause to release the call with.
pub(crate) fn read(message: &Message, settings: &Settings, names: &NameIndex) -> Result<Request, i64> {
    let option = |name: &str| message.opts.get(name);
    let extras = option("extras").map_or(Some(""), |v| v.as_str()).ok_or(cause::INVALID)?;
    let mut extra_values = std::collections::BTreeMap::new();
    for pair in extras.split(';').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or(cause::INVALID)?;
        extra_values.insert(name, value);
    }
    if let Some(switch) = extra_values.get("at") {
        return Ok(Request::Established((*switch).to_owned()));
    }
    let name = option("class").ok_or(cause::MISSING)?.as_str().ok_or(cause::INVALID)?;
    let class = names.class_id(name).ok_or(cause::INVALID)?;
    let time_left =
        option("left").ok_or(cause::MISSING)?.as_u64().map(Duration::from_millis).ok_or(cause::INVALID)?;
    // The time of one try is part of the total time of its class.
    if time_left.is_zero() || time_left > settings.classes[class.0].deadline {
        return Err(cause::INVALID);
    }
    let key = option("key").ok_or(cause::MISSING)?.as_str().ok_or(cause::INVALID)?;
    if key.is_empty()
        || key.len() > MAX_CALLED_NUMBER_BYTES
        || message.blob.as_ref().is_none_or(String::is_empty)
    {
        return Err(cause::MISSING);
    }
    let figure =
        |name: &str, default: f64| extra_values.get(name).map_or(Some(default), |v| v.parse::<f64>().ok());
    let width =
        figure("width", 1.0).filter(|w| w.is_finite() && *w > 0.0 && *w <= 1e6).ok_or(cause::INVALID)?;
    let whole = |x: &f64| x.is_finite() && x.fract() == 0.0;
    let destination = figure("dest", 0.0).filter(|d| whole(d) && (0.0..=f64::from(u32::MAX)).contains(d));
    let _via = figure("via", -1.0).filter(|v| whole(v) && *v >= -1.0).ok_or(cause::INVALID)?;
    let tenant = option("tenant").and_then(|t| t.as_str()).and_then(|t| names.tenant_id(t));
    Ok(Request::New(NewCall {
        id: CallId(message.tag.0),
        class: Some(class),
        time_left,
        number: key.into(),
        width,
        tenant,
        redialled: option("retry").is_some_and(|v| v.as_str() == Some("1") || v.as_u64() == Some(1)),
        transit: false,
        destination: Cell(destination.ok_or(cause::INVALID)? as u32),
    }))
}

/// The tag that stands for the call in messages.
pub(crate) fn tag_of_call(call: CallId) -> Tag {
    Tag(call.0)
}
