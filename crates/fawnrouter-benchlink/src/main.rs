//! Adapter between the users' bench and the library: framing and translation, no decisions.
#![forbid(unsafe_code)]

mod translate;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::sync::Arc;

use fawnrouter::{Controller, ListKind, ServerEntry, Time};
use fawnrouter_bootinfo::NameIndex;
use serde_json::{Value, json};
use translate::Incoming;

/// One gateway hosted here.
struct Instance {
    controller: Controller,
    names: NameIndex,
}

/// Everything between two lines.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u64, Arc<Vec<ServerEntry>>>,
}

fn main() -> ExitCode {
    let (stdin, stdout) = (io::stdin().lock(), io::stdout().lock());
    match serve(stdin, stdout) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("fawnrouter-benchlink: {message}");
            ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut line = Vec::new();
    for number in 1.. {
        line.clear();
        if input.read_until(b'\n', &mut line).map_err(|e| format!("line {number}: {e}"))? == 0 {
            break;
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let batch = serde_json::from_slice(&line).map_err(|e| format!("line {number}: not JSON: {e}"))?;
        let reply = host.batch(&batch).map_err(|e| format!("line {number}: not a batch: {e}"))?;
        writeln!(output, "{reply}")
            .and_then(|()| output.flush())
            .map_err(|e| format!("writing a reply: {e}"))?;
    }
    Ok(())
}

impl Host {
    fn batch(&mut self, batch: &Value) -> Result<Value, String> {
        let now = batch.get("atTimeNs").and_then(Value::as_u64).ok_or("no clock in atTimeNs")?;
        let groups = batch.get("gateways").and_then(Value::as_array).ok_or("no array in gateways")?;
        let mut replies = Vec::new();
        for (place, group) in groups.iter().enumerate() {
            let number = group.get("i").and_then(Value::as_u64);
            let items = group.get("items").and_then(Value::as_array);
            let Some((number, items)) = number.zip(items) else {
                eprintln!("fawnrouter-benchlink: at {now}: group {place} lacks i or items, skipped");
                continue;
            };
            let mut out = Vec::new();
            for (nth, item) in items.iter().enumerate() {
                if let Err(message) = self.event(Time::from_nanos(now), number, item, &mut out) {
                    let name = item.get(0).and_then(Value::as_str).unwrap_or("?");
                    eprintln!(
                        "fawnrouter-benchlink: at {now}: gateway {number}, event {nth} ({name}): {message}"
                    );
                }
            }
            if !out.is_empty() {
                replies.push(json!({"i": number, "out": out}));
            }
        }
        Ok(json!({ "gateways": replies }))
    }

    fn event(&mut self, now: Time, number: u64, item: &Value, out: &mut Vec<Value>) -> Result<(), String> {
        let unknown = || format!("gateway {number} has not been started");
        let event = match translate::incoming(item, self.instances.get(&number).map(|i| &i.names))? {
            Incoming::Open { seed, settings, names } => {
                self.instances.remove(&number);
                let controller = Controller::new(*settings, seed).map_err(|e| e.to_string())?;
                self.instances.insert(number, Instance { controller, names });
                return Ok(());
            }
            Incoming::Shutdown => {
                return self.instances.remove(&number).map(|_| ()).ok_or_else(unknown);
            }
            Incoming::List { number, entries } => {
                self.lists.insert(number, Arc::new(entries));
                return Ok(());
            }
            Incoming::Update { kind, list } => {
                let entries = match (kind, self.lists.get(&list)) {
                    (ListKind::Failed, _) => Vec::new(),
                    (_, Some(entries)) => entries.to_vec(),
                    (_, None) => return Err(format!("list {list} has not been sent")),
                };
                fawnrouter::Event::List { kind, entries }
            }
            Incoming::Event(event) => event,
        };
        let instance = self.instances.get_mut(&number).ok_or_else(unknown)?;
        let mut actions = Vec::new();
        instance.controller.handle(now, event, &mut actions);
        out.extend(actions.into_iter().map(translate::outgoing));
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::serve;

    const OPEN: &str = r#"["openInstance",7,{"balancers":1,"me":0,"classes":[{"name":"a","onTimeNs":2000000000,"hardLimitNs":9000000000}],"contract":{},"familyInfo":{"topology":"pools"},"futureKey":[1]}]"#;

    fn run(input: &str) -> (Result<(), String>, String) {
        let mut output = Vec::new();
        let result = serve(input.as_bytes(), &mut output);
        (result, String::from_utf8(output).expect("the wire is UTF-8"))
    }

    #[test]
    fn an_empty_batch_gets_an_empty_reply_and_end_of_input_is_no_error() {
        let (result, output) = run("{\"atTimeNs\":8412250000,\"gateways\":[]}\n");
        assert_eq!((result, output.as_str()), (Ok(()), "{\"gateways\":[]}\n"));
    }

    #[test]
    fn what_is_no_batch_ends_with_an_error() {
        assert!(run("nonsense\n").0.unwrap_err().contains("line 1: not JSON"));
        assert!(run("{\"gateways\":[]}\n").0.unwrap_err().contains("not a batch"));
    }

    #[test]
    fn bad_events_in_a_good_batch_are_skipped_and_the_reply_still_goes_out() {
        let items = [
            OPEN,
            r#"["roster",0,[[70,"z","k",0,"Ready",1,null],[71,"z","k",1,"Molten",1,null]]]"#,
            r#"["update","disk",0,1]"#,
            r#"["noSuchEvent",1]"#,
            r#"["req",12]"#,
            r#"["lapsed","not hex"]"#,
            r#"["req","00000000000000ff","a",3000000000,"line-1",1,-1,null,0,0,null]"#,
        ];
        let batch =
            format!("{{\"atTimeNs\":1000,\"gateways\":[{{\"i\":3,\"items\":[{}]}}]}}\n", items.join(","));
        let (result, output) = run(&batch);
        assert_eq!(result, Ok(()));
        assert!(output.contains(r#"["issue","00000000000000ff",70,"#), "{output}");
        assert_eq!(output.lines().count(), 1);
    }

    #[test]
    fn events_for_a_gateway_that_was_never_started_or_was_stopped_do_nothing() {
        let call = r#"["req","00000000000000ff","a",3000000000,"line-1",1,-1,null,0,0,null]"#;
        let batch =
            |items: &str| format!("{{\"atTimeNs\":5,\"gateways\":[{{\"i\":0,\"items\":[{items}]}}]}}\n");
        assert_eq!(run(&batch(call)).1, "{\"gateways\":[]}\n");
        let stopped = run(&batch(&format!("{OPEN},[\"shutdown\"],{call}")));
        assert_eq!(stopped, (Ok(()), "{\"gateways\":[]}\n".to_owned()));
    }

    #[test]
    fn impossible_settings_are_told_and_start_nothing() {
        let open = OPEN.replace("\"balancers\":1", "\"balancers\":0");
        let batch = format!("{{\"atTimeNs\":5,\"gateways\":[{{\"i\":0,\"items\":[{open}]}}]}}\n");
        assert_eq!(run(&batch), (Ok(()), "{\"gateways\":[]}\n".to_owned()));
    }
}
