//! The wire's names and numbers, to and from the library's types.

use std::time::Duration;

use fawnrouter::*;
use fawnrouter_bootinfo::NameIndex;
use serde_json::{Value, json};

/// A wire event, as far as the adapter tells them apart.
pub enum Incoming {
    Open { seed: u64, settings: Box<Settings>, names: NameIndex },
    Shutdown,
    List { number: u64, entries: Vec<ServerEntry> },
    Update { kind: ListKind, list: u64 },
    Event(Event),
}

type Result<T> = std::result::Result<T, String>;

/// The values of one message, with their places for error messages.
struct Fields<'a>(&'a [Value]);

impl<'a> Fields<'a> {
    fn get(&self, place: usize) -> &'a Value {
        self.0.get(place).unwrap_or(&Value::Null)
    }

    fn want<T>(&self, place: usize, name: &str, get: impl Fn(&'a Value) -> Option<T>) -> Result<T> {
        let value = self.get(place);
        get(value).ok_or_else(|| format!("{name} is missing or mistyped: {value}"))
    }

    fn number(&self, place: usize, name: &str) -> Result<u64> {
        self.want(place, name, whole)
    }

    fn text(&self, place: usize, name: &str) -> Result<&'a str> {
        self.want(place, name, Value::as_str)
    }

    fn span(&self, place: usize, name: &str) -> Result<Duration> {
        Ok(Duration::from_nanos(self.number(place, name)?))
    }

    fn small<T>(&self, place: usize, name: &str, wrap: impl Fn(u32) -> T) -> Result<T> {
        self.want(place, name, |v| whole(v).and_then(|n| u32::try_from(n).ok())).map(wrap)
    }

    fn call(&self, place: usize) -> Result<CallId> {
        let hex = self.text(place, "ticket")?;
        let id = (hex.len() == 16).then(|| u64::from_str_radix(hex, 16).ok()).flatten();
        id.map(CallId).ok_or_else(|| format!("ticket is not 16 hex digits: {hex}"))
    }
}

/// A whole number; a negative one counts as 0.
fn whole(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_i64().map(|n| n.max(0).unsigned_abs()))
}

pub fn incoming(item: &Value, names: Option<&NameIndex>) -> Result<Incoming> {
    let all = item.as_array().ok_or("an event is not an array")?;
    let name = all.first().and_then(Value::as_str).ok_or("an event has no name")?;
    let f = Fields(&all[1..]);
    let started = || names.ok_or_else(|| "the gateway has not been started".to_owned());
    let event = match name {
        "openInstance" => {
            let (settings, names) =
                fawnrouter_bootinfo::settings(f.want(1, "bootInfo", |v| v.as_object().map(|_| v))?)?;
            return Ok(Incoming::Open { seed: f.number(0, "prng")?, settings: Box::new(settings), names });
        }
        "shutdown" => return Ok(Incoming::Shutdown),
        "roster" => {
            let lines = f.want(1, "lines", Value::as_array)?;
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
            call: f.call(0)?,
            attempt: f.small(1, "shot", AttemptNo)?,
            server: f.small(2, "switch", ServerId)?,
            took: f.span(3, "tookNs")?,
        },
        "closedAttempt" => Event::Closed {
            call: f.call(0)?,
            server: f.small(1, "switch", ServerId)?,
            done: f.want(2, "doneFlag", Value::as_bool)?,
            took: f.span(3, "tookNs")?,
            outcome: outcome(f.number(4, "stateCode")?)?,
            detail: outcome_detail(whole(f.get(5)).unwrap_or(0)),
            attempt: f.small(6, "shot", AttemptNo)?,
            report: started()?.report_from_json(f.get(7)),
        },
        "lapsed" => Event::Abandoned(f.call(0)?),
        "timeoutFired" => {
            let mark = f.text(0, "mark")?;
            let timer = mark.parse().map_err(|_| format!("mark is none of ours: {mark}"))?;
            Event::Timer(TimerId(timer))
        }
        "probed" => Event::Probed {
            ok: f.number(0, "stateCode")? == 0,
            server: f.small(1, "switch", ServerId)?,
            took: Duration::from_nanos(whole(f.get(2)).unwrap_or(0)),
            report: started()?.report_from_json(f.get(3)),
        },
        "mail" => {
            Event::PeerMessage { from: f.small(0, "neighbour", PeerId)?, text: f.text(1, "raw")?.to_owned() }
        }
        other => return Err(format!("unknown event {other}")),
    };
    Ok(Incoming::Event(event))
}

fn new_call(f: &Fields<'_>, names: &NameIndex) -> Result<NewCall> {
    let class = names.class_id(f.text(1, "tierClass")?);
    let opts = whole(f.get(7)).unwrap_or(0);
    Ok(NewCall {
        id: f.call(0)?,
        class,
        time_left: f.span(2, "leftNs")?,
        number: f.get(3).as_str().unwrap_or("").into(),
        width: f.get(4).as_f64().unwrap_or(1.0),
        tenant: f.get(6).as_str().and_then(|t| names.tenant_id(t)),
        redialled: opts & 2 != 0,
        transit: opts & 8 != 0,
        destination: f.small(8, "terminatesAt", Cell)?,
    })
}

/// A line of a list; `None` where its state is not known.
fn entry(line: &Value) -> Result<Option<ServerEntry>> {
    let f = Fields(line.as_array().ok_or("a line of the list is not an array")?);
    let state = match f.text(4, "stageState")? {
        "Ready" => ServerState::Ready,
        "Terminating" => ServerState::Draining,
        "Gone" => ServerState::Gone,
        _ => return Ok(None),
    };
    Ok(Some(ServerEntry {
        id: f.small(0, "switch", ServerId)?,
        zone: f.text(1, "locality")?.into(),
        cell: f.small(3, "cell", Cell)?,
        state,
        up_since: whole(f.get(6)).filter(|t| *t > 0).map(Time::from_nanos),
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

fn outcome_detail(reason: u64) -> OutcomeDetail {
    match (reason % 16, reason / 16) {
        (1, _) => OutcomeDetail::NoCircuit,
        (2, beyond) => OutcomeDetail::Crankback(beyond > 0),
        (3, 0) => OutcomeDetail::ProcessorFull(None),
        (3, wait) => OutcomeDetail::ProcessorFull(Some(Duration::from_millis(wait))),
        (4, _) => OutcomeDetail::NumberBusy,
        _ => OutcomeDetail::None,
    }
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

fn ticket(call: CallId) -> String {
    format!("{:016x}", call.0)
}

pub fn outgoing(action: Action) -> Value {
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
