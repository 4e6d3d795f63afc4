//! Whether a set-up makes sense, and what it says (the platform's page PROTOCOL, "Callers to gateways").

use std::time::Duration;

use fawnrouter::{CallId, Cell, NewCall, Settings};
use fawnrouter_bootinfo::NameIndex;
use fawnrouter_jsonl::{Message, Tag};

/// Causes of ITU-T Q.850 that this gateway gives.
pub(crate) mod cause {
    /// Normal call clearing.
    pub const CLEARING: i64 = 16;
    /// No circuit available: "refused, trying again is harmless".
    pub const NO_CIRCUIT: i64 = 34;
    /// Temporary failure.
    pub const TEMPORARY_FAILURE: i64 = 41;
    /// Switching equipment congestion: as 34, said of the gateway itself.
    pub const CONGESTION: i64 = 42;
    /// Invalid call reference value.
    pub const INVALID_REFERENCE: i64 = 81;
    /// Mandatory information element is missing.
    pub const MISSING: i64 = 96;
    /// Message type non-existent or not implemented.
    pub const NO_SUCH_MESSAGE: i64 = 97;
    /// Invalid information element contents.
    pub const INVALID: i64 = 100;
}

/// The longest number called, in bytes: far beyond what E.164 or any key of the page needs.
const MAX_KEY: usize = 256;

/// What a set-up asks for.
#[derive(Debug)]
pub(crate) enum Request {
    /// A new call.
    New(NewCall),
    /// A call that stands at this core switch, told again.
    Standing(String),
}

/// Reads a set-up.
///
/// # Errors
/// The cause to release it with.
pub(crate) fn read(message: &Message, settings: &Settings, names: &NameIndex) -> Result<Request, i64> {
    let option = |name: &str| message.opts.get(name);
    let extras = option("extras").map_or(Some(""), |v| v.as_str()).ok_or(cause::INVALID)?;
    let mut figures = std::collections::BTreeMap::new();
    for pair in extras.split(';').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or(cause::INVALID)?;
        figures.insert(name, value);
    }
    if let Some(at) = figures.get("at") {
        return Ok(Request::Standing((*at).to_owned()));
    }
    let name = option("class").ok_or(cause::MISSING)?.as_str().ok_or(cause::INVALID)?;
    let class = names.class_id(name).ok_or(cause::INVALID)?;
    let left =
        option("left").ok_or(cause::MISSING)?.as_u64().map(Duration::from_millis).ok_or(cause::INVALID)?;
    // A try is a part of the time that its class may take in all.
    if left.is_zero() || left > settings.classes[class.0].deadline {
        return Err(cause::INVALID);
    }
    let key = option("key").ok_or(cause::MISSING)?.as_str().ok_or(cause::INVALID)?;
    if key.is_empty() || key.len() > MAX_KEY || message.blob.as_ref().is_none_or(String::is_empty) {
        return Err(cause::MISSING);
    }
    let figure = |name: &str, usual: f64| figures.get(name).map_or(Some(usual), |v| v.parse::<f64>().ok());
    let width =
        figure("width", 1.0).filter(|w| w.is_finite() && *w > 0.0 && *w <= 1e6).ok_or(cause::INVALID)?;
    let whole = |x: &f64| x.is_finite() && x.fract() == 0.0;
    let destination = figure("dest", 0.0).filter(|d| whole(d) && (0.0..=f64::from(u32::MAX)).contains(d));
    let _via = figure("via", -1.0).filter(|v| whole(v) && *v >= -1.0).ok_or(cause::INVALID)?;
    let tenant = option("tenant").and_then(|t| t.as_str()).and_then(|t| names.tenant_id(t));
    Ok(Request::New(NewCall {
        id: CallId(message.tag.0),
        class: Some(class),
        time_left: left,
        number: key.into(),
        width,
        tenant,
        redialled: option("retry").is_some_and(|v| v.as_str() == Some("1") || v.as_u64() == Some(1)),
        transit: false,
        destination: Cell(destination.ok_or(cause::INVALID)? as u32),
    }))
}

/// The call of this number, as the lines name it.
pub(crate) fn tag(call: CallId) -> Tag {
    Tag(call.0)
}
