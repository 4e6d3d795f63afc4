#![forbid(unsafe_code)]
//! The settings object that the users' bench hands to an instance and their platform writes into its configuration:
//! one translation into [`fawnrouter::Settings`] for both. No decisions.

use std::collections::BTreeMap;
use std::time::Duration;

use fawnrouter::*;
use serde_json::{Value, json};

type Result<T> = std::result::Result<T, String>;

/// The names that calls of an instance may carry.
#[derive(Clone, Debug, Default)]
pub struct Names {
    classes: BTreeMap<String, ClassId>,
    tenants: BTreeMap<String, TenantId>,
    report: Vec<String>,
}

impl Names {
    /// The class of this name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).copied()
    }

    /// The tenant of this name.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).copied()
    }

    /// A load report: pairs of name and value, or the values in the order of the settings' names.
    #[must_use]
    pub fn report(&self, load: &Value) -> Report {
        let mut report = Report::default();
        match load {
            Value::Object(pairs) => {
                pairs.iter().for_each(|(name, value)| note(&mut report, name, value.as_f64()))
            }
            Value::Array(values) => self
                .report
                .iter()
                .zip(values)
                .for_each(|(name, value)| note(&mut report, name, value.as_f64())),
            _ => {}
        }
        report
    }
}

/// A load report as the platform's lines have it: `free:87;size:87`. What is no figure is left out.
#[must_use]
pub fn told_report(text: &str) -> Report {
    let mut report = Report::default();
    for (name, value) in text.split(';').filter_map(|pair| pair.split_once(':')) {
        note(&mut report, name, value.parse().ok());
    }
    report
}

/// Takes down one figure of a report; negative ones are figures that were not told.
fn note(report: &mut Report, name: &str, value: Option<f64>) {
    let Some(x) = value.filter(|x| x.is_finite() && *x >= 0.0) else { return };
    match name {
        "free" => report.free = Some(x),
        "size" => report.size = Some(x),
        "cpu_share" => report.utilisation = Some(x),
        "svc_ms" => report.wait = Duration::try_from_secs_f64(x / 1e3).ok(),
        "can_take" => report.can_take = Some(x),
        "hold_back" => report.hold_back = Some(x),
        _ => {}
    }
}

/// What the settings say of connections and of what a real gateway may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sockets {
    /// A connection to a core switch that is not up by then has failed.
    pub dial_timeout: Duration,
    /// Connections idle for this long are closed.
    pub idle: Duration,
    /// Set-ups that one connection to a core switch may carry at once.
    pub multiplex: usize,
    /// Calls without their answer that the gateway may hold.
    pub max_open: usize,
}

/// The part of the settings object that concerns sockets.
///
/// # Errors
/// Names the first setting that is mistyped.
pub fn sockets(boot: &Value) -> Result<Sockets> {
    let empty = json!({});
    let limits = boot.get("policyLimits").unwrap_or(&empty);
    // What is absent or 0 is no limit.
    let time = |key: &str| span(limits, key).map(|t| if t.is_zero() { Duration::MAX } else { t });
    let count = |key: &str| {
        let n = optional(limits, key, Value::as_u64)?.filter(|n| *n > 0).unwrap_or(u64::MAX);
        Ok::<_, String>(usize::try_from(n).unwrap_or(usize::MAX))
    };
    Ok(Sockets {
        dial_timeout: time("dialTimeoutNs")?,
        idle: time("connIdleNs")?,
        multiplex: count("multiplex")?,
        max_open: count("maxOpen")?,
    })
}

/// An optional setting; where it is present it must be of the right kind.
fn optional<T>(at: &Value, key: &str, get: impl Fn(&Value) -> Option<T>) -> Result<Option<T>> {
    match at.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => get(value).map(Some).ok_or_else(|| format!("setting {key} is mistyped: {value}")),
    }
}

fn span(at: &Value, key: &str) -> Result<Duration> {
    Ok(Duration::from_nanos(optional(at, key, Value::as_u64)?.unwrap_or(0)))
}

/// The settings object that an instance is given, and the names that its calls carry.
///
/// # Errors
/// Names the first setting that is mistyped.
pub fn settings(boot: &Value) -> Result<(Settings, Names)> {
    let empty = json!({});
    let part = |key: &str| boot.get(key).unwrap_or(&empty);
    let (contract, family, limits) = (part("contract"), part("familyInfo"), part("policyLimits"));
    let flag = |at: &Value, key: &str| Ok::<_, String>(optional(at, key, Value::as_bool)?.unwrap_or(false));
    let list =
        |at: &Value, key: &str| optional(at, key, |v| v.as_array().cloned()).map(Option::unwrap_or_default);
    let pools = list(family, "skilledPools")?;
    let mut names = Names::default();
    let mut classes = Vec::new();
    for (place, class) in list(boot, "classes")?.iter().enumerate() {
        let name = class.get("name").and_then(Value::as_str).ok_or("a class has no name")?.to_owned();
        let effect = match class.get("effect").and_then(Value::as_str) {
            None | Some("read_like") => Effect::Safe,
            Some("idempotency_key") => Effect::Keyed {
                group: match class.get("group").and_then(Value::as_str) {
                    Some("zone") => RepeatGroup::Zone,
                    Some("cell") => RepeatGroup::Cell,
                    _ => RepeatGroup::All,
                },
                window: span(class, "dedupWindowNs")?,
            },
            Some(_) => Effect::Unsafe,
        };
        let cells = pools.get(place).and_then(Value::as_array);
        classes.push(ClassSettings {
            aim: span(class, "onTimeNs")?,
            deadline: span(class, "hardLimitNs")?,
            points: optional(class, "points", Value::as_f64)?.unwrap_or(1.0),
            late_share: optional(class, "lateShare", Value::as_f64)?.unwrap_or(0.0),
            effect,
            pools: cells.map(|c| c.iter().filter_map(small).map(Cell).collect()),
            name: name.clone(),
        });
        names.classes.insert(name, ClassId(place));
    }
    let mut tenants = Vec::new();
    for (place, party) in list(boot, "parties")?.iter().enumerate() {
        let name = party.get("name").and_then(Value::as_str).ok_or("a tenant has no name")?.to_owned();
        tenants.push(TenantSettings {
            name: name.clone(),
            quota_per_s: optional(party, "quotaPerS", Value::as_f64)?,
        });
        names.tenants.insert(name, TenantId(place));
    }
    names.report =
        list(part("stats"), "names")?.iter().filter_map(|v| v.as_str().map(str::to_owned)).collect();
    let topology =
        match (family.get("topology").and_then(Value::as_str), family.get("homeNo").and_then(small)) {
            (Some("mesh"), Some(home)) => Topology::Mesh { home: Cell(home) },
            _ => Topology::Pools,
        };
    let ask = boot.get("registryMode").and_then(Value::as_str) == Some("ask");
    let settings = Settings {
        gateways: optional(boot, "balancers", small)?.unwrap_or(0),
        me: PeerId(optional(boot, "me", small)?.unwrap_or(0)),
        classes,
        tenants,
        over_share_worth: optional(boot, "overShareWorth", Value::as_f64)?.unwrap_or(1.0),
        rules: Rules {
            drain_grace: span(contract, "drainGraceNs")?,
            cold_from: optional(contract, "coldFrom", Value::as_f64)?.unwrap_or(1.0),
            cold_time: span(contract, "coldNs")?,
            fall_multiple: optional(contract, "fallMultiple", Value::as_f64)?.unwrap_or(1.0),
            fall_time: span(contract, "fallNs")?,
            release_guard: span(family, "guardNs")?,
            ask_within: span(contract, "askWithinNs")?,
        },
        limits: Limits {
            max_attempts: optional(limits, "maxAttempts", small)?.unwrap_or(u32::MAX),
            cancel: flag(limits, "cancel")?,
            peers: flag(limits, "peers")?,
            probes: flag(limits, "probes")?,
            retry_after: flag(limits, "retryAfter")?,
            max_retry_after: span(limits, "maxRetryAfterNs")?,
        },
        topology,
        discovery: if ask { Discovery::Ask } else { Discovery::Push },
        resend: Some(span(family, "resendNs")?).filter(|t| !t.is_zero()),
        tick: span(boot, "tickNs")?,
    };
    Ok((settings, names))
}

/// A whole number that fits into 32 bits.
fn small(value: &Value) -> Option<u32> {
    value.as_u64().and_then(|n| u32::try_from(n).ok())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_report_in_a_line_is_read_as_in_the_simulators_list_and_nonsense_is_left_out() {
        let names = Names { report: vec!["free".into(), "size".into()], ..Names::default() };
        let listed = names.report(&json!([3, 87]));
        assert_eq!(told_report("free:3;size:87"), listed);
        assert_eq!((listed.free, listed.size), (Some(3.0), Some(87.0)));
        assert_eq!(told_report("free:-1;size:NaN;;x;can_take:inf;odd:1"), Report::default());
    }
}
