#![forbid(unsafe_code)]
//! Translates the settings object into [`fawnrouter::Settings`]. The simulator passes this object to an
//! instance, and the platform writes it into its configuration; both use this translation. No decisions.
//!
//! Fields that the simulator and the platform always supply are required; any other may be absent or null.
//! Each field that is there must be of the right type and within its range; unknown fields are ignored.

mod error;
mod field;

use std::collections::BTreeMap;
use std::time::Duration;

pub use error::{BootInfoError, abbreviated};
use fawnrouter::*;
use field::Field;
use serde_json::Value;

type Result<T> = std::result::Result<T, BootInfoError>;

/// Ids of the names that calls may carry, and the names of the figures in load reports.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    classes: BTreeMap<String, ClassId>,
    tenants: BTreeMap<String, TenantId>,
    report_figures: Vec<String>,
}

impl NameIndex {
    /// The id of the class with this name.
    #[must_use]
    pub fn class_id(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).copied()
    }

    /// The id of the tenant with this name.
    #[must_use]
    pub fn tenant_id(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).copied()
    }

    /// Reads a load report: an object of names and values, or a list of values in the order of the names in
    /// the settings.
    #[must_use]
    pub fn report_from_json(&self, load: &Value) -> LoadReport {
        let mut report = LoadReport::default();
        match load {
            Value::Object(pairs) => {
                pairs.iter().for_each(|(name, value)| set_figure(&mut report, name, value.as_f64()))
            }
            Value::Array(values) => self
                .report_figures
                .iter()
                .zip(values)
                .for_each(|(name, value)| set_figure(&mut report, name, value.as_f64())),
            _ => {}
        }
        report
    }
}

/// Reads a load report as it stands in a message: `free:87;size:87`. Values that are not numbers are skipped.
#[must_use]
pub fn parse_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|pair| pair.split_once(':')) {
        set_figure(&mut report, name, value.parse().ok());
    }
    report
}

/// Sets one figure of a report; a negative value stands for a figure that was not reported.
fn set_figure(report: &mut LoadReport, name: &str, value: Option<f64>) {
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

/// Limits on connections and open calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// A connection to a core switch that is not up after this time has failed.
    pub dial_timeout: Duration,
    /// Connections that are idle for this long are closed.
    pub idle_timeout: Duration,
    /// Most concurrent set-ups on one connection to a core switch.
    pub max_set_ups_per_connection: usize,
    /// Most calls without an answer.
    pub max_open_calls: usize,
}

/// Reads the limits on connections and open calls.
///
/// # Errors
/// Names the first field that is of the wrong type or out of range.
pub fn connection_settings(boot: &Value) -> Result<ConnectionSettings> {
    let limits = Field::root(boot).object("policyLimits")?;
    let time = |key| Ok(limits.key(key).as_duration()?.filter(|t| !t.is_zero()).unwrap_or(Duration::MAX));
    let count = |key| Ok(usize::try_from(limit_or_max(&limits.key(key))?).unwrap_or(usize::MAX));
    Ok(ConnectionSettings {
        dial_timeout: time("dialTimeoutNs")?,
        idle_timeout: time("connIdleNs")?,
        max_set_ups_per_connection: count("multiplex")?,
        max_open_calls: count("maxOpen")?,
    })
}

/// Reads a count that is a limit; absent or 0 means no limit.
fn limit_or_max(at: &Field<'_>) -> Result<u64> {
    Ok(at.as_u64()?.filter(|n| *n > 0).unwrap_or(u64::MAX))
}

/// Translates the settings object, and indexes the names that calls carry.
///
/// # Errors
/// Names the first field that is missing, of the wrong type, out of range or in conflict with another.
pub fn settings(boot: &Value) -> Result<(Settings, NameIndex)> {
    let boot = Field::root(boot);
    let (contract, family, limits) =
        (boot.object("contract")?, boot.object("familyInfo")?, boot.object("policyLimits")?);
    let gateways = boot.key("balancers");
    let (count, me) = (gateways.required("the number of gateways", Field::as_u32)?, boot.key("me"));
    if count == 0 {
        return Err(gateways.out_of_range("1 at least; 0 says that there are no gateways"));
    }
    let number = me.as_u32()?.unwrap_or(0);
    if number >= count {
        let with = format!("and balancers is {count}");
        return Err(me.conflict(with, "number the gateways from 0, so that me is below balancers"));
    }
    let classes = classes(&boot, &family)?;
    let tenants = tenants(&boot)?;
    let names = NameIndex {
        classes: classes.iter().enumerate().map(|(index, c)| (c.name.clone(), ClassId(index))).collect(),
        tenants: tenants.iter().enumerate().map(|(index, t)| (t.name.clone(), TenantId(index))).collect(),
        report_figures: report_names(&boot.object("stats")?)?,
    };
    let discovery = match boot.key("registryMode").as_text()? {
        None | Some("push") => Discovery::Push,
        Some("ask") => Discovery::Subscribe,
        Some(_) => return Err(boot.key("registryMode").out_of_range("\"push\" or \"ask\"")),
    };
    let settings = Settings {
        gateways: count,
        own_id: PeerId(number),
        classes,
        tenants,
        over_share_worth: boot.key("overShareWorth").as_non_negative()?.unwrap_or(1.0),
        rules: rules(&contract, &family)?,
        limits: Limits {
            max_attempts: u32::try_from(limit_or_max(&limits.key("maxAttempts"))?).unwrap_or(u32::MAX),
            cancel: limits.key("cancel").as_bool()?,
            peers: limits.key("peers").as_bool()?,
            probes: limits.key("probes").as_bool()?,
            retry_after: limits.key("retryAfter").as_bool()?,
            max_retry_after: limits.key("maxRetryAfterNs").as_duration()?.unwrap_or_default(),
        },
        topology: topology(&family)?,
        discovery,
        resend: family.key("resendNs").as_duration()?.filter(|t| !t.is_zero()),
        tick: boot.key("tickNs").as_duration()?.unwrap_or_default(),
    };
    Ok((settings, names))
}

fn rules(contract: &Field<'_>, family: &Field<'_>) -> Result<Rules> {
    let span = |key| Ok(contract.key(key).as_duration()?.unwrap_or_default());
    let multiple = contract.key("fallMultiple");
    let rules = Rules {
        drain_grace: span("drainGraceNs")?,
        cold_from: contract.key("coldFrom").as_fraction()?.unwrap_or(1.0),
        cold_time: span("coldNs")?,
        fall_multiple: multiple.as_non_negative()?.unwrap_or(1.0),
        fall_time: span("fallNs")?,
        release_guard: family.key("guardNs").as_duration()?.unwrap_or_default(),
        subscribe_within: span("askWithinNs")?,
    };
    // The multiple does not matter if no switch is ever cold.
    if rules.fall_multiple == 0.0 && !rules.cold_time.is_zero() {
        let with = "and coldNs says that core switches start cold: none could ever be sent a call".into();
        return Err(multiple.conflict(with, "set it above 0, or coldNs to 0"));
    }
    Ok(rules)
}

fn topology(family: &Field<'_>) -> Result<Topology> {
    // With pools the number has no meaning and may be anything, such as -1.
    let home = family.key("homeNo");
    let number = home.as_number()?.and_then(|n| n.as_u64()).and_then(|n| u32::try_from(n).ok());
    match (family.key("topology").as_text()?, number) {
        (Some("mesh"), Some(home)) => Ok(Topology::Mesh { home: Cell(home) }),
        (Some("mesh"), None) if home.is_absent() => Err(home.missing("the own exchange's number")),
        (Some("mesh"), None) => {
            let with = "and topology is \"mesh\", where each gateway has an exchange".into();
            Err(home.conflict(with, "set it to the own exchange's number"))
        }
        (None | Some("pools"), _) => Ok(Topology::Pools),
        _ => Err(family.key("topology").out_of_range("\"pools\" or \"mesh\"")),
    }
}

fn classes(boot: &Field<'_>, family: &Field<'_>) -> Result<Vec<ClassSettings>> {
    let list = boot.key("classes");
    let items = list.required("a list of the classes of call", |at| at.as_list().map(Some))?;
    if items.is_empty() {
        return Err(list.out_of_range("a list with one class of call at least"));
    }
    let pools = family.key("skilledPools");
    let skills = pools.as_list()?;
    if !skills.is_empty() && skills.len() < items.len() {
        let with = format!("which is {} of the {} lists that the classes need", skills.len(), items.len());
        return Err(pools.conflict(with, "give one list of pools for each class, or none at all"));
    }
    let mut classes: Vec<ClassSettings> = Vec::with_capacity(items.len());
    for (index, item) in items.iter().enumerate() {
        let name = unique_name(item, "classes", classes.iter().map(|c| c.name.as_str()))?;
        let skilled = skills.get(index).filter(|s| !s.is_absent());
        classes.push(class(item, name, skilled)?);
    }
    Ok(classes)
}

fn class(item: &Field<'_>, name: String, skilled: Option<&Field<'_>>) -> Result<ClassSettings> {
    const TIME: &str = "a whole number of nanoseconds above 0";
    let (aim_at, deadline_at) = (item.key("onTimeNs"), item.key("hardLimitNs"));
    let aim = aim_at.required(TIME, Field::as_duration)?;
    let deadline = deadline_at.required(TIME, Field::as_duration)?;
    if let Some((at, _)) = [(&aim_at, aim), (&deadline_at, deadline)].iter().find(|(_, t)| t.is_zero()) {
        return Err(at.out_of_range(TIME));
    }
    if aim > deadline {
        let with = format!("and hardLimitNs is {}: nobody waits that long", deadline.as_nanos());
        return Err(aim_at.conflict(with, "set it to hardLimitNs at the most"));
    }
    let effect = match item.key("effect").as_text()? {
        None | Some("read_like") => Effect::Safe,
        Some("idempotency_key") => Effect::Keyed {
            group: repeat_group(&item.key("group"))?,
            window: item.key("dedupWindowNs").as_duration()?.unwrap_or_default(),
        },
        // An unknown effect may stand for any harm.
        Some(_) => Effect::Unsafe,
    };
    let cell = |at: &Field<'_>| Ok(Cell(at.required("the number of a pool", Field::as_u32)?));
    let pools = skilled.map(|s| s.as_list()?.iter().map(cell).collect::<Result<Vec<_>>>()).transpose()?;
    Ok(ClassSettings {
        name,
        aim,
        deadline,
        points: item.key("points").as_non_negative()?.unwrap_or(1.0),
        late_share: item.key("lateShare").as_non_negative()?.unwrap_or(0.0),
        effect,
        pools,
    })
}

fn repeat_group(at: &Field<'_>) -> Result<RepeatGroup> {
    match at.as_text()? {
        None | Some("all") => Ok(RepeatGroup::All),
        Some("zone") => Ok(RepeatGroup::Zone),
        Some("cell") => Ok(RepeatGroup::Cell),
        Some(_) => Err(at.out_of_range("\"all\", \"zone\" or \"cell\"")),
    }
}

fn tenants(boot: &Field<'_>) -> Result<Vec<TenantSettings>> {
    let mut tenants: Vec<TenantSettings> = Vec::new();
    for item in boot.key("parties").as_list()? {
        let name = unique_name(&item, "parties", tenants.iter().map(|t| t.name.as_str()))?;
        tenants.push(TenantSettings { name, quota_per_s: item.key("quotaPerS").as_non_negative()? });
    }
    Ok(tenants)
}

/// Reads the name of an item of a list. Calls carry the name, so it is required and unique in the list.
fn unique_name<'a>(
    item: &Field<'_>,
    list: &str,
    mut before: impl Iterator<Item = &'a str>,
) -> Result<String> {
    item.require_object()?;
    let at = item.key("name");
    let name = at.required("a name", Field::as_text)?;
    if name.is_empty() {
        return Err(at.out_of_range("a name with one character at least"));
    }
    match before.position(|other| other == name) {
        Some(index) => Err(at.conflict(format!("as {list}[{index}].name is"), "give each its own name")),
        None => Ok(name.to_owned()),
    }
}

fn report_names(stats: &Field<'_>) -> Result<Vec<String>> {
    let name = |at: &Field<'_>| at.required("the name of a figure", Field::as_text).map(str::to_owned);
    stats.key("names").as_list()?.iter().map(name).collect()
}
