//! One client that floods the gateway, beside usual callers, on real connections.

mod common;

use std::io::Write;

use common::{Caller, DnsZone, Gateway, NameServer, Switch, free_address, node_config, send_line};
use serde_json::json;

const USUAL: &str = "ca11000000000001";
const TEST: &str = "ca110000000000ff";

fn start_gateway(test: &str) -> (Switch, NameServer, Gateway) {
    let switch = Switch::new();
    let switches = vec![("s-0".into(), switch.address)];
    let names = NameServer::new(DnsZone { serial: 1, switches, ..DnsZone::default() });
    let config = node_config(free_address(), names.address, &[("s-0", switch.address)]);
    let gateway = Gateway::start(test, &config);
    (switch, names, gateway)
}

/// Sends set-ups with ever new tags and then a test, and waits for the answer to the test.
fn flood(gateway: &Gateway, number: u64, extras: &str) -> Caller {
    let mut caller = gateway.connect_caller();
    let mut writer = caller.stream.try_clone().unwrap();
    let extras = extras.to_owned();
    let writing = std::thread::spawn(move || {
        for n in 0..number {
            let line = json!({"verb": "START", "tag": format!("f100d{n:011x}"), "blob": "offer",
                "opts": {"class": "voice", "left": "9000", "key": "7f3a", "extras": extras}});
            writer.write_all(format!("{line}\n").as_bytes()).unwrap();
        }
        send_line(&writer, &json!({"verb": "ECHO", "tag": TEST, "opts": {}, "rc": 0}));
    });
    while caller.receive().expect("the gateway keeps the connection")["verb"] != "ECHOED" {}
    writing.join().unwrap();
    caller
}

/// Guards against callers that are refused because one client holds every place with its own set-ups.
#[test]
fn set_up_of_a_caller_is_not_refused_while_one_client_has_thousands() {
    let (_switch, _names, gateway) = start_gateway("client-shares-set-ups");
    let _flooding = flood(&gateway, 1500, "dest:0;width:1;via:-1");
    let mut caller = gateway.connect_caller();
    caller.send_set_up(USUAL, 8000);
    caller.send(&json!({"verb": "ECHO", "tag": TEST, "opts": {}, "rc": 0}));
    assert_eq!(caller.receive().unwrap()["verb"], "ECHOED", "the set-up is not refused");
    caller.send(&json!({"verb": "FINISH", "tag": USUAL, "opts": {}, "rc": 16}));
    assert_eq!(caller.receive().unwrap(), json!({"verb": "FINISHED", "tag": USUAL, "opts": {}}));
}

/// Guards against callers that are refused because one client has reported calls that nobody has set up.
#[test]
fn set_up_of_a_caller_is_served_although_one_client_has_reported_tens_of_thousands_of_calls() {
    let (switch, _names, gateway) = start_gateway("client-shares-reports");
    let flooding = flood(&gateway, 51_000, "at:s-0");
    drop(flooding);
    let mut caller = gateway.connect_caller();
    caller.send_set_up(USUAL, 8000);
    let (connection, _) = switch.next_message("START");
    send_line(&connection, &json!({"verb": "STARTED", "tag": USUAL, "opts": {}, "blob": "answer"}));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
}
