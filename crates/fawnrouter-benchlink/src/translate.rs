//! Translation between the simulator's JSON values and the library's types.

use std::time::Duration;

use fawnrouter::*;
use fawnrouter_bootinfo::NameIndex;
use serde_json::{Value, json};

/// An event from the simulator.
pub enum Incoming {
    /// Start a gateway.
    Open { seed: u64, settings: Box<Settings>, names: NameIndex },
    /// Stop a gateway.
    Shutdown,
    /// A list of servers that later updates refer to by its number.
    List { number: u64, entries: Vec<ServerEntry> },
    /// The gateway's list of servers changes to, or by, the list with this number.
    Update { kind: ListKind, list: u64 },
    /// Any other event, for the controller.
    Event(Event),
}

type Result<T> = std::result::Result<T, String>;

/// The values of an event or a list entry, which are identified by position. Their names appear only in
/// errors.
struct Fields<'a>(&'a [Value]);

impl<'a> Fields<'a> {
    fn get(&self, index: usize) -> &'a Value {
        self.0.get(index).unwrap_or(&Value::Null)
    }

    /// The value at `index`, converted by `convert`.
    fn required<T>(&self, index: usize, name: &str, convert: impl Fn(&'a Value) -> Option<T>) -> Result<T> {
        let value = self.get(index);
        convert(value).ok_or_else(|| format!("{name} is missing or has the wrong type: {value}"))
    }

    fn number(&self, index: usize, name: &str) -> Result<u64> {
        self.required(index, name, whole_number)
    }

    fn text(&self, index: usize, name: &str) -> Result<&'a str> {
        self.required(index, name, Value::as_str)
    }

    /// A duration in nanoseconds.
    fn duration(&self, index: usize, name: &str) -> Result<Duration> {
        Ok(Duration::from_nanos(self.number(index, name)?))
    }

    /// A number of 32 bits, such as an id, an attempt's number or a cell, converted by `wrap`.
    fn u32_value<T>(&self, index: usize, name: &str, wrap: impl Fn(u32) -> T) -> Result<T> {
        self.required(index, name, |v| whole_number(v).and_then(|n| u32::try_from(n).ok())).map(wrap)
    }

    /// A call's id: 16 hex digits.
    fn call_id(&self, index: usize) -> Result<CallId> {
        let hex = self.text(index, "ticket")?;
        let id = (hex.len() == 16).then(|| u64::from_str_radix(hex, 16).ok()).flatten();
        id.map(CallId).ok_or_else(|| format!("ticket is not 16 hex digits: {hex}"))
    }
}

/// A whole number; a negative one is read as 0.
fn whole_number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_i64().map(|n| n.max(0).unsigned_abs()))
}

/// Decodes one event. `names` are those of the gateway, if it has been started.
pub fn decode(item: &Value, names: Option<&NameIndex>) -> Result<Incoming> {
    let values = item.as_array().ok_or("an event is not an array")?;
    let name = values.first().and_then(Value::as_str).ok_or("an event has no name")?;
    let f = Fields(&values[1..]);
    let started = || names.ok_or_else(|| "the gateway has not been started".to_owned());
    let event = match name {
        "openInstance" => {
            let (settings, names) =
                fawnrouter_bootinfo::settings(f.required(1, "bootInfo", |v| v.as_object().map(|_| v))?)?;
            return Ok(Incoming::Open { seed: f.number(0, "prng")?, settings: Box::new(settings), names });
        }
        "shutdown" => return Ok(Incoming::Shutdown),
        "roster" => {
            let lines = f.required(1, "lines", Value::as_array)?;
            let entries = lines.iter().map(entry).collect::<Result<Vec<_>>>()?;
            let entries = entries.into_iter().flatten().collect();
            return Ok(Incoming::List { number: f.number(0, "buffer")?, entries });
        }
        "update" => {
            let kind = match f.text(0, "how")? {
                "diff" => ListKind::Changes,
                "snapshot" => ListKind::Snapshot,
                "disk" => ListKind::Cached,
                "error" => ListKind::Failed,
                other => return Err(format!("how is unknown: {other}")),
            };
            let list = if kind == ListKind::Failed { 0 } else { f.number(1, "buffer")? };
            return Ok(Incoming::Update { kind, list });
        }
        "req" => Event::Call(new_call(&f, started()?)?),
        "headers" => Event::Established {
            call: f.call_id(0)?,
            attempt: f.u32_value(1, "shot", AttemptNo)?,
            server: f.u32_value(2, "switch", ServerId)?,
            took: f.duration(3, "tookNs")?,
        },
        "closedAttempt" => Event::Closed {
            call: f.call_id(0)?,
            server: f.u32_value(1, "switch", ServerId)?,
            done: f.required(2, "doneFlag", Value::as_bool)?,
            took: f.duration(3, "tookNs")?,
            outcome: outcome(f.number(4, "stateCode")?)?,
            detail: outcome_detail(whole_number(f.get(5)).unwrap_or(0)),
            attempt: f.u32_value(6, "shot", AttemptNo)?,
            report: started()?.report_from_json(f.get(7)),
        },
        "lapsed" => Event::Abandoned(f.call_id(0)?),
        "timeoutFired" => {
            let mark = f.text(0, "mark")?;
            let timer = mark.parse().map_err(|_| format!("mark is not the number of a timer: {mark}"))?;
            Event::Timer(TimerId(timer))
        }
        "probed" => Event::Probed {
            ok: f.number(0, "stateCode")? == 0,
            server: f.u32_value(1, "switch", ServerId)?,
            took: Duration::from_nanos(whole_number(f.get(2)).unwrap_or(0)),
            report: started()?.report_from_json(f.get(3)),
        },
        "mail" => Event::PeerMessage {
            from: f.u32_value(0, "neighbour", PeerId)?,
            text: f.text(1, "raw")?.to_owned(),
        },
        other => return Err(format!("unknown event {other}")),
    };
    Ok(Incoming::Event(event))
}

/// Flag of a call that is a redial.
const REDIALLED_FLAG: u64 = 2;
/// Flag of a call that another gateway has sent here.
const TRANSIT_FLAG: u64 = 8;

fn new_call(f: &Fields<'_>, names: &NameIndex) -> Result<NewCall> {
    let class = names.class_id(f.text(1, "tierClass")?);
    let flags = whole_number(f.get(7)).unwrap_or(0);
    Ok(NewCall {
        id: f.call_id(0)?,
        class,
        time_left: f.duration(2, "leftNs")?,
        number: f.get(3).as_str().unwrap_or("").into(),
        width: f.get(4).as_f64().unwrap_or(1.0),
        tenant: f.get(6).as_str().and_then(|t| names.tenant_id(t)),
        redialled: flags & REDIALLED_FLAG != 0,
        transit: flags & TRANSIT_FLAG != 0,
        destination: f.u32_value(8, "terminatesAt", Cell)?,
    })
}

/// An entry of a list; `None` if its state is not known.
fn entry(value: &Value) -> Result<Option<ServerEntry>> {
    let f = Fields(value.as_array().ok_or("an entry of the list is not an array")?);
    let state = match f.text(4, "stageState")? {
        "Ready" => ServerState::Ready,
        "Terminating" => ServerState::Draining,
        "Gone" => ServerState::Gone,
        _ => return Ok(None),
    };
    Ok(Some(ServerEntry {
        id: f.u32_value(0, "switch", ServerId)?,
        zone: f.text(1, "locality")?.into(),
        cell: f.u32_value(3, "cell", Cell)?,
        state,
        up_since: whole_number(f.get(6)).filter(|t| *t > 0).map(Time::from_nanos),
    }))
}

fn outcome(code: u64) -> Result<Outcome> {
    Ok(match code {
        0 => Outcome::Ended,
        5 => Outcome::Error,
        11 => Outcome::Full,
        110 => Outcome::TimedOut,
        111 => Outcome::ConnectFailed,
        104 => Outcome::Reset,
        125 => Outcome::Cancelled,
        114 => Outcome::Moot,
        other => return Err(format!("stateCode is unknown: {other}")),
    })
}

/// The reason is the code, plus 16 times a parameter of the code.
fn outcome_detail(reason: u64) -> OutcomeDetail {
    match (reason % 16, reason / 16) {
        (1, _) => OutcomeDetail::NoCircuit,
        (2, processor_full_beyond) => OutcomeDetail::Crankback(processor_full_beyond > 0),
        (3, 0) => OutcomeDetail::ProcessorFull(None),
        (3, wait_ms) => OutcomeDetail::ProcessorFull(Some(Duration::from_millis(wait_ms))),
        (4, _) => OutcomeDetail::NumberBusy,
        _ => OutcomeDetail::None,
    }
}

fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

fn ticket(call: CallId) -> String {
    format!("{:016x}", call.0)
}

/// Encodes an action.
pub fn encode(action: Action) -> Value {
    match action {
        Action::Issue { call, server, within } => json!(["issue", ticket(call), server.0, nanos(within)]),
        Action::Cancel { call, attempt } => json!(["revoke", ticket(call), attempt.0]),
        Action::Refuse { call, retry_after } => json!(["reject", ticket(call), nanos(retry_after)]),
        Action::Fail(call) => json!(["lose", ticket(call)]),
        Action::SetTimer { after, timer } => json!(["after", nanos(after), timer.0.to_string()]),
        Action::Probe(server) => json!(["poll", server.0]),
        Action::SendToPeer { to, text } => json!(["writePeer", to.map(|p| p.0), text]),
        Action::Subscribe => json!(["follow", true]),
        Action::FetchList => json!(["listAll"]),
        Action::Log(line) => json!(["log", line]),
    }
}
