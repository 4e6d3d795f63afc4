//! The gateway program on the platform's protocol, with stand-ins for its peers on loopback.

mod platform;

use std::io::{Read, Write};
use std::net::Shutdown;
use std::process::Command;

use platform::*;
use rustix::process::Signal;
use serde_json::json;

fn zone(serial: u32, switches: &[(&str, &Switch)]) -> Zone {
    let switches = switches.iter().map(|(id, s)| ((*id).to_owned(), s.address)).collect();
    Zone { serial, switches, ..Zone::default() }
}

/// Starts a gateway with one core switch, which is in its configuration.
fn start_gateway(test: &str) -> (Gateway, Switch, NameServer) {
    let switch = Switch::new();
    let name_server = NameServer::new(zone(1, &[("s-1", &switch)]));
    let config = config(free_address(), name_server.address, &[("s-1", switch.address)]);
    (Gateway::start(test, &config), switch, name_server)
}

const TAG: &str = "9b1f03aa5c7e2d41";

fn started(tag: &str) -> serde_json::Value {
    json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": format!("answer\r\n{tag}")})
}

fn finish(tag: &str, rc: i64) -> serde_json::Value {
    json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": rc})
}

#[test]
fn call_is_set_up_and_released() {
    let (gateway, switch, _name_server) = start_gateway("call");
    let mut caller = gateway.connect_caller();
    caller.send(&json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0}));
    assert_eq!(caller.receive().unwrap()["rc"], 1);
    caller.start_call(TAG, 3000);
    let (link, start) = switch.next_message("START");
    assert_eq!((&start["tag"], &start["blob"]), (&json!(TAG), &json!(format!("offer\r\n{TAG}"))));
    send_line(&link, &started(TAG));
    let received = caller.receive().unwrap();
    assert_eq!(
        (&received["verb"], &received["blob"]),
        (&json!("STARTED"), &json!(format!("answer\r\n{TAG}")))
    );
    send_line(&link, &finish(TAG, 16));
    assert_eq!(caller.receive().unwrap(), finish(TAG, 16));
}

#[test]
fn invalid_answers_and_resets_are_retried_on_another_connection() {
    let (gateway, switch, _name_server) = start_gateway("spoilt");
    let mut caller = gateway.connect_caller();
    caller.start_call(TAG, 5000);
    let (mut link, _) = switch.next_message("START");
    link.write_all(b"\xff\xfe{noise\n").unwrap();
    let (link, _) = switch.next_message("START");
    link.shutdown(Shutdown::Both).unwrap();
    let (link, _) = switch.next_message("START");
    send_line(&link, &started("00000000deadbeef"));
    send_line(&link, &started(TAG));
    send_line(&link, &started(TAG));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    caller.send(&finish(TAG, 16));
    assert_eq!(caller.receive().unwrap()["verb"], "FINISHED");
}

#[test]
fn failed_dns_answers_change_nothing_and_a_good_one_is_applied() {
    let (gateway, _old, name_server) = start_gateway("names");
    let new = Switch::new();
    let changed = zone(2, &[("s-2", &new)]);
    for bad in [
        Zone { rcode: 2, ..changed.clone() },
        Zone { wrong_id: true, ..changed.clone() },
        Zone { serial: 0, ..changed.clone() },
        Zone { switches: Vec::new(), ..changed.clone() },
    ] {
        *name_server.zone.lock().unwrap() = bad;
        name_server.wait_for_queries(2);
    }
    *name_server.zone.lock().unwrap() = changed;
    gateway.wait_for_log("starts cold");
    let mut caller = gateway.connect_caller();
    caller.start_call(TAG, 8000);
    let (link, _) = new.next_message("START");
    send_line(&link, &started(TAG));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
}

#[test]
fn gateway_serves_from_its_configuration_while_the_name_server_is_down() {
    let switch = Switch::new();
    // Nothing listens at this address until later.
    let name_server = free_address();
    let gateway = Gateway::start("down", &config(free_address(), name_server, &[("s-1", switch.address)]));
    let mut caller = gateway.connect_caller();
    caller.send(&json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0}));
    assert_eq!(caller.receive().unwrap()["rc"], 1, "ready");
    caller.start_call(TAG, 3000);
    let (link, _) = switch.next_message("START");
    send_line(&link, &started(TAG));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let new = Switch::new();
    let back = NameServer::at(name_server, zone(2, &[("s-1", &switch), ("s-2", &new)]));
    back.wait_for_queries(1);
    gateway.wait_for_log("starts cold");
}

#[test]
fn sighup_applies_a_valid_configuration_or_keeps_the_old_one_without_affecting_calls() {
    let (gateway, switch, name_server) = start_gateway("sighup");
    let mut caller = gateway.connect_caller();
    caller.start_call(TAG, 8000);
    let (link, _) = switch.next_message("START");
    std::fs::write(&gateway.file, "{\"name\":").unwrap();
    gateway.signal(Signal::HUP);
    gateway.wait_for_log("the configuration stays as it was");
    let new = Switch::new();
    let other = NameServer::new(zone(7, &[("s-1", &switch), ("s-9", &new)]));
    let output = config(gateway.address, other.address, &[("s-1", switch.address)]);
    std::fs::write(&gateway.file, output.to_string()).unwrap();
    gateway.signal(Signal::HUP);
    gateway.wait_for_log("new configuration");
    other.wait_for_queries(1);
    gateway.wait_for_log("starts cold");
    drop(name_server);
    send_line(&link, &started(TAG));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
}

#[test]
fn after_sigterm_the_health_check_fails_accepted_set_ups_are_answered_and_the_exit_code_is_0() {
    let (gateway, switch, _name_server) = start_gateway("sigterm");
    let mut caller = gateway.connect_caller();
    caller.start_call(TAG, 5000);
    let (link, _) = switch.next_message("START");
    gateway.signal(Signal::TERM);
    gateway.wait_for_log("ending");
    gateway.signal(Signal::TERM);
    caller.send(&json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0}));
    assert_eq!(caller.receive().unwrap()["rc"], 0);
    caller.start_call("9b1f03aa5c7e2d42", 5000);
    let (second, _) = switch.next_message("START");
    send_line(&second, &started("9b1f03aa5c7e2d42"));
    assert_eq!(caller.receive().unwrap()["tag"], "9b1f03aa5c7e2d42");
    send_line(&link, &finish(TAG, 17));
    let received = caller.receive().unwrap();
    assert_eq!(received["tag"], TAG);
    assert!(gateway.wait_for_exit().success());
}

#[test]
fn input_that_crosses_the_shutdown_meets_an_orderly_close_and_no_reset() {
    let (gateway, switch, _name_server) = start_gateway("crossing");
    let (mut caller, mut other) = (gateway.connect_caller(), gateway.connect_caller());
    other.send(&json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0}));
    assert_eq!(other.receive().unwrap()["rc"], 1);
    caller.start_call(TAG, 5000);
    let (link, _) = switch.next_message("START");
    gateway.signal(Signal::TERM);
    gateway.wait_for_log("ending");
    // The last open call is answered while lines are unread on another connection and the time for serving
    // set-ups passes.
    gateway.signal(Signal::STOP);
    let released = json!({"verb": "FINISHED", "tag": TAG, "opts": {}}).to_string() + "\n";
    other.stream.write_all(released.repeat(1900).as_bytes()).unwrap();
    send_line(&link, &started(TAG));
    std::thread::sleep(std::time::Duration::from_millis(800));
    gateway.signal(Signal::CONT);
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    for at_end in [&mut caller, &mut other] {
        assert!(matches!(at_end.stream.read(&mut [0; 16]), Ok(0)), "a close, not a reset");
    }
    assert!(gateway.wait_for_exit().success());
}

#[test]
fn invalid_clients_get_an_error_or_a_close_and_others_are_served() {
    let (gateway, switch, _name_server) = start_gateway("bad");
    let (mut silent, mut half) = (gateway.connect_caller(), gateway.connect_caller());
    half.stream.write_all(b"{\"verb\":\"START\",\"tag\"").unwrap();
    let mut garbage = gateway.connect_caller();
    garbage.stream.write_all(b"\x00\x01\x02 GET / HTTP/1.1\n").unwrap();
    assert_eq!(garbage.receive().unwrap()["verb"], "FINISH");
    assert!(garbage.is_at_end());
    // An endless line: the client gets an error although most of the line is never read.
    let mut endless = gateway.connect_caller();
    let mut writer = endless.stream.try_clone().unwrap();
    let writing = std::thread::spawn(move || {
        let chunk = [b'x'; 65_536];
        (0..960).try_for_each(|_| writer.write_all(&chunk)).is_err()
    });
    assert!(endless.stream.read(&mut [0; 16]).is_ok_and(|n| n > 0) && writing.join().unwrap());
    let mut caller = gateway.connect_caller();
    caller.start_call("0000000000000bad", 99_000);
    assert_eq!(caller.receive().unwrap()["rc"], 100);
    caller.start_call(TAG, 3000);
    let (link, _) = switch.next_message("START");
    send_line(&link, &started(TAG));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    for idle in [&mut silent, &mut half] {
        assert_eq!(idle.receive().unwrap()["rc"], 96);
        assert!(idle.is_at_end());
    }
}

#[test]
fn restarted_gateway_learns_established_calls_and_forwards_their_release() {
    let (gateway, switch, _name_server) = start_gateway("restart");
    let mut caller = gateway.connect_caller();
    caller.start_call(TAG, 3000);
    let (link, _) = switch.next_message("START");
    send_line(&link, &started(TAG));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let gateway = gateway.restart();
    let mut caller = gateway.connect_caller();
    caller.send(&json!({"verb": "START", "tag": TAG, "blob": "offer", "opts": {"class": "voice", "extras": "at:s-1"}}));
    caller.start_call("9b1f03aa5c7e2d42", 3000);
    let (link, _) = switch.next_message("START");
    send_line(&link, &finish(TAG, 16));
    assert_eq!(caller.receive().unwrap(), finish(TAG, 16));
}

#[test]
fn startup_error_names_the_field_and_the_correction() {
    let folder = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("node-start");
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("config.json");
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
    let good = config(busy.local_addr().unwrap(), free_address(), &[("s-1", free_address())]);
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
        let output = run(text, variables);
        assert!(parts.iter().all(|part| output.contains(part)), "{output}");
    }
}
