//! End-to-end tests of the `node` subcommand: the program between callers, core switches and a name server on
//! loopback.

mod common;

use std::io::{Read, Write};
use std::net::Shutdown;
use std::process::Command;

use common::*;
use rustix::process::Signal;
use serde_json::json;

fn zone_with(serial: u32, switches: &[(&str, &Switch)]) -> DnsZone {
    let switches = switches.iter().map(|(id, s)| ((*id).to_owned(), s.address)).collect();
    DnsZone { serial, switches, ..DnsZone::default() }
}

/// A gateway in front of one core switch, which its configuration lists.
fn gateway_with_one_switch(test: &str) -> (Gateway, Switch, NameServer) {
    let switch = Switch::new();
    let name_server = NameServer::new(zone_with(1, &[("s-1", &switch)]));
    let config = node_config(free_address(), name_server.address, &[("s-1", switch.address)]);
    (Gateway::start(test, &config), switch, name_server)
}

/// The id of the call in each test.
const CALL_ID: &str = "9b1f03aa5c7e2d41";

fn started_message(tag: &str) -> serde_json::Value {
    json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": format!("answer\r\n{tag}")})
}

fn finish_message(tag: &str, rc: i64) -> serde_json::Value {
    json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": rc})
}

#[test]
fn call_is_set_up_and_released() {
    let (gateway, switch, _name_server) = gateway_with_one_switch("call");
    let mut caller = gateway.connect_caller();
    caller.send(&json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0}));
    assert_eq!(caller.receive().unwrap()["rc"], 1);
    caller.send_set_up(CALL_ID, 3000);
    let (connection, start) = switch.next_message("START");
    assert_eq!((&start["tag"], &start["blob"]), (&json!(CALL_ID), &json!(format!("offer\r\n{CALL_ID}"))));
    send_line(&connection, &started_message(CALL_ID));
    let received = caller.receive().unwrap();
    assert_eq!(
        (&received["verb"], &received["blob"]),
        (&json!("STARTED"), &json!(format!("answer\r\n{CALL_ID}")))
    );
    send_line(&connection, &finish_message(CALL_ID, 16));
    assert_eq!(caller.receive().unwrap(), finish_message(CALL_ID, 16));
}

#[test]
fn set_up_is_retried_on_another_connection_after_malformed_answer_or_reset() {
    let (gateway, switch, _name_server) = gateway_with_one_switch("spoilt");
    let mut caller = gateway.connect_caller();
    caller.send_set_up(CALL_ID, 5000);
    let (mut connection, _) = switch.next_message("START");
    connection.write_all(b"\xff\xfe{noise\n").unwrap();
    let (connection, _) = switch.next_message("START");
    connection.shutdown(Shutdown::Both).unwrap();
    let (connection, _) = switch.next_message("START");
    send_line(&connection, &started_message("00000000deadbeef"));
    send_line(&connection, &started_message(CALL_ID));
    send_line(&connection, &started_message(CALL_ID));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    caller.send(&finish_message(CALL_ID, 16));
    assert_eq!(caller.receive().unwrap()["verb"], "FINISHED");
}

#[test]
fn invalid_dns_responses_are_ignored_and_next_valid_one_is_used() {
    let (gateway, _old, name_server) = gateway_with_one_switch("names");
    let new = Switch::new();
    let changed = zone_with(2, &[("s-2", &new)]);
    for bad in [
        DnsZone { response_code: 2, ..changed.clone() },
        DnsZone { mismatched_id: true, ..changed.clone() },
        DnsZone { serial: 0, ..changed.clone() },
        DnsZone { switches: Vec::new(), ..changed.clone() },
    ] {
        *name_server.zone.lock().unwrap() = bad;
        name_server.wait_for_queries(2);
    }
    *name_server.zone.lock().unwrap() = changed;
    gateway.wait_for_log("starts cold");
    let mut caller = gateway.connect_caller();
    caller.send_set_up(CALL_ID, 8000);
    let (connection, _) = new.next_message("START");
    send_line(&connection, &started_message(CALL_ID));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
}

#[test]
fn gateway_is_ready_and_serves_configured_switches_while_name_server_is_down() {
    let switch = Switch::new();
    // No name server listens on this address until later in the test.
    let name_server = free_address();
    let gateway =
        Gateway::start("down", &node_config(free_address(), name_server, &[("s-1", switch.address)]));
    let mut caller = gateway.connect_caller();
    caller.send(&json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0}));
    assert_eq!(caller.receive().unwrap()["rc"], 1, "ready");
    caller.send_set_up(CALL_ID, 3000);
    let (connection, _) = switch.next_message("START");
    send_line(&connection, &started_message(CALL_ID));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let new = Switch::new();
    let restored = NameServer::listening_at(name_server, zone_with(2, &[("s-1", &switch), ("s-2", &new)]));
    restored.wait_for_queries(1);
    gateway.wait_for_log("starts cold");
}

#[test]
fn sighup_applies_valid_configuration_and_rejects_invalid_one_without_disturbing_calls() {
    let (gateway, switch, name_server) = gateway_with_one_switch("sighup");
    let mut caller = gateway.connect_caller();
    caller.send_set_up(CALL_ID, 8000);
    let (connection, _) = switch.next_message("START");
    std::fs::write(&gateway.file, "{\"name\":").unwrap();
    gateway.send_signal(Signal::HUP);
    gateway.wait_for_log("the configuration stays as it was");
    let new = Switch::new();
    let other = NameServer::new(zone_with(7, &[("s-1", &switch), ("s-9", &new)]));
    let new_config = node_config(gateway.address, other.address, &[("s-1", switch.address)]);
    std::fs::write(&gateway.file, new_config.to_string()).unwrap();
    gateway.send_signal(Signal::HUP);
    gateway.wait_for_log("new configuration");
    other.wait_for_queries(1);
    gateway.wait_for_log("starts cold");
    drop(name_server);
    send_line(&connection, &started_message(CALL_ID));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
}

#[test]
fn gateway_fails_health_check_after_sigterm_answers_accepted_calls_and_exits_0() {
    let (gateway, switch, _name_server) = gateway_with_one_switch("sigterm");
    let mut caller = gateway.connect_caller();
    caller.send_set_up(CALL_ID, 5000);
    let (connection, _) = switch.next_message("START");
    gateway.send_signal(Signal::TERM);
    gateway.wait_for_log("ending");
    gateway.send_signal(Signal::TERM);
    caller.send(&json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0}));
    assert_eq!(caller.receive().unwrap()["rc"], 0);
    caller.send_set_up("9b1f03aa5c7e2d42", 5000);
    let (second, _) = switch.next_message("START");
    send_line(&second, &started_message("9b1f03aa5c7e2d42"));
    assert_eq!(caller.receive().unwrap()["tag"], "9b1f03aa5c7e2d42");
    send_line(&connection, &finish_message(CALL_ID, 17));
    let received = caller.receive().unwrap();
    assert_eq!(received["tag"], CALL_ID);
    assert!(gateway.wait().success());
}

#[test]
fn connections_with_unread_lines_are_closed_without_reset_at_shutdown() {
    let (gateway, switch, _name_server) = gateway_with_one_switch("crossing");
    let (mut caller, mut other) = (gateway.connect_caller(), gateway.connect_caller());
    other.send(&json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0}));
    assert_eq!(other.receive().unwrap()["rc"], 1);
    caller.send_set_up(CALL_ID, 5000);
    let (connection, _) = switch.next_message("START");
    gateway.send_signal(Signal::TERM);
    gateway.wait_for_log("ending");
    // While the gateway is stopped, the answer to the last open call and many lines on another connection
    // arrive, and the time in which set-ups are still served runs out.
    gateway.send_signal(Signal::STOP);
    let released = json!({"verb": "FINISHED", "tag": CALL_ID, "opts": {}}).to_string() + "\n";
    other.stream.write_all(released.repeat(1900).as_bytes()).unwrap();
    send_line(&connection, &started_message(CALL_ID));
    std::thread::sleep(std::time::Duration::from_millis(800));
    gateway.send_signal(Signal::CONT);
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    for caller in [&mut caller, &mut other] {
        assert!(matches!(caller.stream.read(&mut [0; 16]), Ok(0)), "an end, not a reset");
    }
    assert!(gateway.wait().success());
}

#[test]
fn misbehaving_clients_are_closed_with_error_and_other_clients_are_served() {
    let (gateway, switch, _name_server) = gateway_with_one_switch("bad");
    let (mut silent, mut half) = (gateway.connect_caller(), gateway.connect_caller());
    half.stream.write_all(b"{\"verb\":\"START\",\"tag\"").unwrap();
    let mut noise = gateway.connect_caller();
    noise.stream.write_all(b"\x00\x01\x02 GET / HTTP/1.1\n").unwrap();
    assert_eq!(noise.receive().unwrap()["verb"], "FINISH");
    assert!(noise.reads_only_eof());
    // A line that never ends: the gateway reports the error without reading most of it.
    let mut endless = gateway.connect_caller();
    let mut writer = endless.stream.try_clone().unwrap();
    let writing = std::thread::spawn(move || {
        let chunk = [b'x'; 65_536];
        (0..960).try_for_each(|_| writer.write_all(&chunk)).is_err()
    });
    assert!(endless.stream.read(&mut [0; 16]).is_ok_and(|n| n > 0) && writing.join().unwrap());
    let mut caller = gateway.connect_caller();
    caller.send_set_up("0000000000000bad", 99_000);
    assert_eq!(caller.receive().unwrap()["rc"], 100);
    caller.send_set_up(CALL_ID, 3000);
    let (connection, _) = switch.next_message("START");
    send_line(&connection, &started_message(CALL_ID));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    for slow in [&mut silent, &mut half] {
        assert_eq!(slow.receive().unwrap()["rc"], 96);
        assert!(slow.reads_only_eof());
    }
}

#[test]
fn restarted_gateway_accepts_report_of_established_call_and_forwards_its_release() {
    let (gateway, switch, _name_server) = gateway_with_one_switch("restart");
    let mut caller = gateway.connect_caller();
    caller.send_set_up(CALL_ID, 3000);
    let (connection, _) = switch.next_message("START");
    send_line(&connection, &started_message(CALL_ID));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let gateway = gateway.restart();
    let mut caller = gateway.connect_caller();
    caller.send(&json!({"verb": "START", "tag": CALL_ID, "blob": "offer", "opts": {"class": "voice", "extras": "at:s-1"}}));
    caller.send_set_up("9b1f03aa5c7e2d42", 3000);
    let (connection, _) = switch.next_message("START");
    send_line(&connection, &finish_message(CALL_ID, 16));
    assert_eq!(caller.receive().unwrap(), finish_message(CALL_ID, 16));
}

#[test]
fn startup_error_names_field_and_remedy() {
    let directory = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("node-start");
    std::fs::create_dir_all(&directory).unwrap();
    let file = directory.join("config.json");
    let run = |text: Option<String>, variables: &[(&str, &str)]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_fawnrouter"));
        command
            .arg("node")
            .env_remove("BALANCER_NAME")
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_CONFIG");
        if let Some(text) = text {
            std::fs::write(&file, text).unwrap();
            command.env("BALANCER_CONFIG", &file);
        }
        let output = command.envs(variables.iter().copied()).output().unwrap();
        assert!(!output.status.success());
        String::from_utf8(output.stderr).unwrap()
    };
    let busy = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let good = node_config(busy.local_addr().unwrap(), free_address(), &[("s-1", free_address())]);
    let with = |field: &str, value: serde_json::Value| {
        let mut changed = good.clone();
        *changed.pointer_mut(field).unwrap() = value;
        Some(changed.to_string())
    };
    for (text, variables, parts) in [
        (None, &[][..], &["BALANCER_CONFIG"][..]),
        (Some("{".to_owned()), &[], &["not JSON", "line 1"]),
        (with("/listen", json!("here")), &[], &["listen", "\"here\"", "10.0.0.4:5060"]),
        (with("/seed", json!(7)), &[], &["seed", "hex"]),
        (with("/limits", json!({})), &[], &["limits.sockets", "missing"]),
        (with("/nameserver", json!(null)), &[], &["nameserver", "address and a port"]),
        (with("/known/results/0/fleet", json!([])), &[], &["known", "fleet"]),
        (with("/settings/balancers", json!(0)), &[], &["settings", "no gateways"]),
        (with("/settings/classes", json!("all")), &[], &["settings", "classes"]),
        (Some(good.to_string()), &[("BALANCER_NAME", "n9")], &["BALANCER_NAME", "n9", "n0"]),
        (Some(good.to_string()), &[], &["listen", "cannot listen"]),
    ] {
        let message = run(text, variables);
        assert!(parts.iter().all(|part| message.contains(part)), "{message}");
    }
}
