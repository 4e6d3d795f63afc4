//! Calls that callers report to a gateway that has just started, on real connections.

mod common;

use std::time::{SystemTime, UNIX_EPOCH};

use common::{DnsZone, Gateway, NameServer, Switch, free_address, node_config, send_line};
use serde_json::json;

const REPORTED: &str = "ca11000000000001";
const PROBE: &str = "ca110000000000ff";

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A gateway that starts with a list of one core switch with this start time, and a caller that reports its call
/// there.
fn report_call(test: &str, started_ms: u64) -> (Switch, NameServer, Gateway, common::Caller) {
    let switch = Switch::new();
    let names = NameServer::new(DnsZone { serial: 1, ..DnsZone::default() });
    let mut config = node_config(free_address(), names.address, &[("s-0", switch.address)]);
    config["known"]["results"][0]["fleet"]["instances"][0]["startedAtMs"] = json!(started_ms);
    let gateway = Gateway::start(test, &config);
    let caller = gateway.connect_caller();
    caller.send(&json!({"verb": "START", "tag": REPORTED, "blob": "offer",
        "opts": {"class": "voice", "left": "3000", "key": "7f3a", "extras": "at:s-0"}}));
    (switch, names, gateway, caller)
}

/// Guards against callers that are never told that their call was cut while its gateway was away (`review/7`).
#[test]
fn caller_of_a_call_cut_by_a_restart_is_told_by_the_gateway_that_returns() {
    // The time ahead is for a machine on which the gateway is slow to start.
    let (_switch, _names, _gateway, mut caller) = report_call("reported-cut", unix_ms() + 5000);
    let end = caller.receive().expect("the gateway keeps the connection");
    assert_eq!(end, json!({"verb": "FINISH", "tag": REPORTED, "opts": {}, "rc": 41}));
}

/// Guards against callers that are told as over of a call that was set up after the restart and stands.
#[test]
fn caller_of_a_call_set_up_after_the_restart_is_told_of_its_release_only() {
    let (switch, _names, _gateway, mut caller) = report_call("reported-standing", unix_ms() - 60_000);
    caller.send(&json!({"verb": "ECHO", "tag": PROBE, "opts": {}, "rc": 0}));
    assert_eq!(caller.receive().unwrap()["verb"], "ECHOED", "nothing is said of the call");
    // The gateway probes the switch of a call that stands.
    let (connection, _) = switch.next_message("ECHO");
    send_line(&connection, &json!({"verb": "FINISH", "tag": REPORTED, "opts": {}, "rc": 16}));
    assert_eq!(caller.receive().unwrap(), json!({"verb": "FINISH", "tag": REPORTED, "opts": {}, "rc": 16}));
}
