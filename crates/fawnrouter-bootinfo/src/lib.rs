#![forbid(unsafe_code)]
//! The settings object that the users' bench hands to an instance and their platform writes into its configuration:
//! one translation into [`fawnrouter::Settings`] for both. No decisions.
//!
//! A field that the users' pages always have must be there; any other may be absent or null. What is there must be of
//! the right kind and make sense; fields that this crate does not know are passed over.

mod error;
mod read;

use std::collections::BTreeMap;
use std::time::Duration;

pub use error::{BootInfoError, abbreviated};
use fawnrouter::*;
use read::At;
use serde_json::Value;

type Result<T> = std::result::Result<T, BootInfoError>;

/// The names that calls of an instance may carry.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    classes: BTreeMap<String, ClassId>,
    tenants: BTreeMap<String, TenantId>,
    report: Vec<String>,
}

impl NameIndex {
    /// The class of this name.
    #[must_use]
    pub fn class_id(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).copied()
    }

    /// The tenant of this name.
    #[must_use]
    pub fn tenant_id(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).copied()
    }

    /// A load report: pairs of name and value, or the values in the order of the settings' names.
    #[must_use]
    pub fn report_from_json(&self, load: &Value) -> LoadReport {
        let mut report = LoadReport::default();
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
pub fn parse_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|pair| pair.split_once(':')) {
        note(&mut report, name, value.parse().ok());
    }
    report
}

/// Takes down one figure of a report; negative ones are figures that were not told.
fn note(report: &mut LoadReport, name: &str, value: Option<f64>) {
    let Some(x) = value.filter(|x| x.is_finite() && *x >= 0.0) else { return };
    match name {
        "free" => report.free_circuits = Some(x),
        "size" => report.total_circuits = Some(x),
        "cpu_share" => report.utilisation = Some(x),
        "svc_ms" => report.queue_wait = Duration::try_from_secs_f64(x / 1e3).ok(),
        "can_take" => report.acceptable_rate = Some(x),
        "hold_back" => report.hold_back_share = Some(x),
        _ => {}
    }
}

/// What the settings say of connections and of what a real gateway may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// A connection to a core switch that is not up by then has failed.
    pub dial_timeout: Duration,
    /// Connections idle for this long are closed.
    pub idle_timeout: Duration,
    /// Set-ups that one connection to a core switch may carry at once.
    pub max_set_ups_per_connection: usize,
    /// Calls without their answer that the gateway may hold.
    pub max_open_calls: usize,
}

/// The part of the settings object that concerns sockets.
///
/// # Errors
/// Names the first setting that is of the wrong kind or out of range.
pub fn connection_settings(boot: &Value) -> Result<ConnectionSettings> {
    let limits = At::root(boot).part("policyLimits")?;
    let time = |key| Ok(limits.key(key).span()?.filter(|t| !t.is_zero()).unwrap_or(Duration::MAX));
    let count = |key| Ok(usize::try_from(no_limit(&limits.key(key))?).unwrap_or(usize::MAX));
    Ok(ConnectionSettings {
        dial_timeout: time("dialTimeoutNs")?,
        idle_timeout: time("connIdleNs")?,
        max_set_ups_per_connection: count("multiplex")?,
        max_open_calls: count("maxOpen")?,
    })
}

/// A limit that is a count. What is absent or 0 is no limit.
fn no_limit(at: &At<'_>) -> Result<u64> {
    Ok(at.whole()?.filter(|n| *n > 0).unwrap_or(u64::MAX))
}

/// The settings object that an instance is given, and the names that its calls carry.
///
/// # Errors
/// Names the first setting that is missing, of the wrong kind, out of range or at odds with another.
pub fn settings(boot: &Value) -> Result<(Settings, NameIndex)> {
    let boot = At::root(boot);
    let (contract, family, limits) =
        (boot.part("contract")?, boot.part("familyInfo")?, boot.part("policyLimits")?);
    let gateways = boot.key("balancers");
    let (count, me) = (gateways.need("the number of gateways", At::small)?, boot.key("me"));
    if count == 0 {
        return Err(gateways.out_of_range("1 at least; 0 says that there are no gateways"));
    }
    let number = me.small()?.unwrap_or(0);
    if number >= count {
        let with = format!("and balancers is {count}");
        return Err(me.at_odds(with, "number the gateways from 0, so that me is below balancers"));
    }
    let classes = classes(&boot, &family)?;
    let tenants = tenants(&boot)?;
    let names = NameIndex {
        classes: classes.iter().enumerate().map(|(place, c)| (c.name.clone(), ClassId(place))).collect(),
        tenants: tenants.iter().enumerate().map(|(place, t)| (t.name.clone(), TenantId(place))).collect(),
        report: report_names(&boot.part("stats")?)?,
    };
    let discovery = match boot.key("registryMode").text()? {
        None | Some("push") => Discovery::Push,
        Some("ask") => Discovery::Subscribe,
        Some(_) => return Err(boot.key("registryMode").out_of_range("\"push\" or \"ask\"")),
    };
    let settings = Settings {
        gateways: count,
        own_id: PeerId(number),
        classes,
        tenants,
        over_share_worth: boot.key("overShareWorth").amount()?.unwrap_or(1.0),
        rules: rules(&contract, &family)?,
        limits: Limits {
            max_attempts: u32::try_from(no_limit(&limits.key("maxAttempts"))?).unwrap_or(u32::MAX),
            cancel: limits.key("cancel").flag()?,
            peers: limits.key("peers").flag()?,
            probes: limits.key("probes").flag()?,
            retry_after: limits.key("retryAfter").flag()?,
            max_retry_after: limits.key("maxRetryAfterNs").span()?.unwrap_or_default(),
        },
        topology: topology(&family)?,
        discovery,
        resend: family.key("resendNs").span()?.filter(|t| !t.is_zero()),
        tick: boot.key("tickNs").span()?.unwrap_or_default(),
    };
    Ok((settings, names))
}

fn rules(contract: &At<'_>, family: &At<'_>) -> Result<Rules> {
    let span = |key| Ok(contract.key(key).span()?.unwrap_or_default());
    let multiple = contract.key("fallMultiple");
    let rules = Rules {
        drain_grace: span("drainGraceNs")?,
        cold_from: contract.key("coldFrom").share()?.unwrap_or(1.0),
        cold_time: span("coldNs")?,
        fall_multiple: multiple.amount()?.unwrap_or(1.0),
        fall_time: span("fallNs")?,
        release_guard: family.key("guardNs").span()?.unwrap_or_default(),
        subscribe_within: span("askWithinNs")?,
    };
    // Where nothing is ever cold, the multiple says nothing.
    if rules.fall_multiple == 0.0 && !rules.cold_time.is_zero() {
        let with = "and coldNs says that core switches start cold: none could ever be sent a call".into();
        return Err(multiple.at_odds(with, "set it above 0, or coldNs to 0"));
    }
    Ok(rules)
}

fn topology(family: &At<'_>) -> Result<Topology> {
    // With pools it is -1, or whatever else: nobody is at home there.
    let home = family.key("homeNo");
    let number = home.number()?.and_then(|n| n.as_u64()).and_then(|n| u32::try_from(n).ok());
    match (family.key("topology").text()?, number) {
        (Some("mesh"), Some(home)) => Ok(Topology::Mesh { home: Cell(home) }),
        (Some("mesh"), None) if home.is_absent() => Err(home.missing("the own exchange's number")),
        (Some("mesh"), None) => {
            let with = "and topology is \"mesh\", where each gateway has an exchange".into();
            Err(home.at_odds(with, "set it to the own exchange's number"))
        }
        (None | Some("pools"), _) => Ok(Topology::Pools),
        _ => Err(family.key("topology").out_of_range("\"pools\" or \"mesh\"")),
    }
}

fn classes(boot: &At<'_>, family: &At<'_>) -> Result<Vec<ClassSettings>> {
    let list = boot.key("classes");
    let items = list.need("a list of the classes of call", |at| at.items().map(Some))?;
    if items.is_empty() {
        return Err(list.out_of_range("a list with one class of call at least"));
    }
    let pools = family.key("skilledPools");
    let skills = pools.items()?;
    if !skills.is_empty() && skills.len() < items.len() {
        let with = format!("which is {} of the {} lists that the classes need", skills.len(), items.len());
        return Err(pools.at_odds(with, "give one list of pools for each class, or none at all"));
    }
    let mut classes: Vec<ClassSettings> = Vec::with_capacity(items.len());
    for (place, item) in items.iter().enumerate() {
        let name = new_name(item, "classes", classes.iter().map(|c| c.name.as_str()))?;
        let skilled = skills.get(place).filter(|s| !s.is_absent());
        classes.push(class(item, name, skilled)?);
    }
    Ok(classes)
}

fn class(item: &At<'_>, name: String, skilled: Option<&At<'_>>) -> Result<ClassSettings> {
    const TIME: &str = "a whole number of nanoseconds above 0";
    let (aim_at, deadline_at) = (item.key("onTimeNs"), item.key("hardLimitNs"));
    let aim = aim_at.need(TIME, At::span)?;
    let deadline = deadline_at.need(TIME, At::span)?;
    if let Some((at, _)) = [(&aim_at, aim), (&deadline_at, deadline)].iter().find(|(_, t)| t.is_zero()) {
        return Err(at.out_of_range(TIME));
    }
    if aim > deadline {
        let with = format!("and hardLimitNs is {}: nobody waits that long", deadline.as_nanos());
        return Err(aim_at.at_odds(with, "set it to hardLimitNs at the most"));
    }
    let effect = match item.key("effect").text()? {
        None | Some("read_like") => Effect::Safe,
        Some("idempotency_key") => Effect::Keyed {
            group: repeat_group(&item.key("group"))?,
            window: item.key("dedupWindowNs").span()?.unwrap_or_default(),
        },
        // A word that is not known may stand for any harm.
        Some(_) => Effect::Unsafe,
    };
    let cell = |at: &At<'_>| Ok(Cell(at.need("the number of a pool", At::small)?));
    let pools = skilled.map(|s| s.items()?.iter().map(cell).collect::<Result<Vec<_>>>()).transpose()?;
    Ok(ClassSettings {
        name,
        aim,
        deadline,
        points: item.key("points").amount()?.unwrap_or(1.0),
        late_share: item.key("lateShare").amount()?.unwrap_or(0.0),
        effect,
        pools,
    })
}

fn repeat_group(at: &At<'_>) -> Result<RepeatGroup> {
    match at.text()? {
        None | Some("all") => Ok(RepeatGroup::All),
        Some("zone") => Ok(RepeatGroup::Zone),
        Some("cell") => Ok(RepeatGroup::Cell),
        Some(_) => Err(at.out_of_range("\"all\", \"zone\" or \"cell\"")),
    }
}

fn tenants(boot: &At<'_>) -> Result<Vec<TenantSettings>> {
    let mut tenants: Vec<TenantSettings> = Vec::new();
    for item in boot.key("parties").items()? {
        let name = new_name(&item, "parties", tenants.iter().map(|t| t.name.as_str()))?;
        tenants.push(TenantSettings { name, quota_per_s: item.key("quotaPerS").amount()? });
    }
    Ok(tenants)
}

/// The name of an item of a list. Calls carry it, so there must be one, and no other item may have it.
fn new_name<'a>(item: &At<'_>, list: &str, mut before: impl Iterator<Item = &'a str>) -> Result<String> {
    item.is_object()?;
    let at = item.key("name");
    let name = at.need("a name", At::text)?;
    if name.is_empty() {
        return Err(at.out_of_range("a name with one character at least"));
    }
    match before.position(|other| other == name) {
        Some(place) => Err(at.at_odds(format!("as {list}[{place}].name is"), "give each its own name")),
        None => Ok(name.to_owned()),
    }
}

fn report_names(stats: &At<'_>) -> Result<Vec<String>> {
    let name = |at: &At<'_>| at.need("the name of a figure", At::text).map(str::to_owned);
    stats.key("names").items()?.iter().map(name).collect()
}
