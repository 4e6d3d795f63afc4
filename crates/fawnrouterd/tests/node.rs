//! The real program on the platform's protocol, between stand-ins on loopback.

mod common;

use std::io::{Read, Write};
use std::net::Shutdown;
use std::process::Command;

use common::*;
use rustix::process::Signal;
use serde_json::json;

fn zone(serial: u32, switches: &[(&str, &Switch)]) -> DnsZone {
    let switches = switches.iter().map(|(id, s)| ((*id).to_owned(), s.address)).collect();
    DnsZone { serial, switches, ..DnsZone::default() }
}

/// A gateway in front of one core switch that its configuration knows.
fn house(test: &str) -> (Gateway, Switch, NameServer) {
    let switch = Switch::new();
    let names = NameServer::new(zone(1, &[("s-1", &switch)]));
    let config = node_config(free_address(), names.address, &[("s-1", switch.address)]);
    (Gateway::start(test, &config), switch, names)
}

const TAG: &str = "9b1f03aa5c7e2d41";

fn started(tag: &str) -> serde_json::Value {
    json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": format!("answer\r\n{tag}")})
}

fn finish(tag: &str, rc: i64) -> serde_json::Value {
    json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": rc})
}

#[test]
fn a_call_is_set_up_and_released_through_the_program() {
    let (gateway, switch, _names) = house("call");
    let mut caller = gateway.connect_caller();
    caller.send(&json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0}));
    assert_eq!(caller.receive().unwrap()["rc"], 1);
    caller.send_set_up(TAG, 3000);
    let (link, start) = switch.next_message("START");
    assert_eq!((&start["tag"], &start["blob"]), (&json!(TAG), &json!(format!("offer\r\n{TAG}"))));
    send_line(&link, &started(TAG));
    let heard = caller.receive().unwrap();
    assert_eq!((&heard["verb"], &heard["blob"]), (&json!("STARTED"), &json!(format!("answer\r\n{TAG}"))));
    send_line(&link, &finish(TAG, 16));
    assert_eq!(caller.receive().unwrap(), finish(TAG, 16));
}

#[test]
fn spoilt_answers_and_resets_are_tried_again_on_another_connection() {
    let (gateway, switch, _names) = house("spoilt");
    let mut caller = gateway.connect_caller();
    caller.send_set_up(TAG, 5000);
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
fn a_failing_name_server_changes_nothing_and_a_good_answer_is_heard() {
    let (gateway, _old, names) = house("names");
    let new = Switch::new();
    let changed = zone(2, &[("s-2", &new)]);
    for bad in [
        DnsZone { response_code: 2, ..changed.clone() },
        DnsZone { mismatched_id: true, ..changed.clone() },
        DnsZone { serial: 0, ..changed.clone() },
        DnsZone { switches: Vec::new(), ..changed.clone() },
    ] {
        *names.zone.lock().unwrap() = bad;
        names.wait_for_queries(2);
    }
    *names.zone.lock().unwrap() = changed;
    gateway.wait_for_log("starts cold");
    let mut caller = gateway.connect_caller();
    caller.send_set_up(TAG, 8000);
    let (link, _) = new.next_message("START");
    send_line(&link, &started(TAG));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
}

#[test]
fn a_gateway_is_ready_and_serves_from_its_configuration_while_the_name_server_is_down() {
    let switch = Switch::new();
    // Nobody listens there; later somebody does, and is asked.
    let names = free_address();
    let gateway = Gateway::start("down", &node_config(free_address(), names, &[("s-1", switch.address)]));
    let mut caller = gateway.connect_caller();
    caller.send(&json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0}));
    assert_eq!(caller.receive().unwrap()["rc"], 1, "ready");
    caller.send_set_up(TAG, 3000);
    let (link, _) = switch.next_message("START");
    send_line(&link, &started(TAG));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let new = Switch::new();
    let back = NameServer::listening_at(names, zone(2, &[("s-1", &switch), ("s-2", &new)]));
    back.wait_for_queries(1);
    gateway.wait_for_log("starts cold");
}

#[test]
fn sighup_takes_a_whole_configuration_or_keeps_the_old_one_and_disturbs_no_call() {
    let (gateway, switch, names) = house("sighup");
    let mut caller = gateway.connect_caller();
    caller.send_set_up(TAG, 8000);
    let (link, _) = switch.next_message("START");
    std::fs::write(&gateway.file, "{\"name\":").unwrap();
    gateway.send_signal(Signal::HUP);
    gateway.wait_for_log("the configuration stays as it was");
    let new = Switch::new();
    let other = NameServer::new(zone(7, &[("s-1", &switch), ("s-9", &new)]));
    let told = node_config(gateway.address, other.address, &[("s-1", switch.address)]);
    std::fs::write(&gateway.file, told.to_string()).unwrap();
    gateway.send_signal(Signal::HUP);
    gateway.wait_for_log("new configuration");
    other.wait_for_queries(1);
    gateway.wait_for_log("starts cold");
    drop(names);
    send_line(&link, &started(TAG));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
}

#[test]
fn sigterm_fails_the_test_answers_what_was_taken_and_exits_0() {
    let (gateway, switch, _names) = house("sigterm");
    let mut caller = gateway.connect_caller();
    caller.send_set_up(TAG, 5000);
    let (link, _) = switch.next_message("START");
    gateway.send_signal(Signal::TERM);
    gateway.wait_for_log("ending");
    gateway.send_signal(Signal::TERM);
    caller.send(&json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0}));
    assert_eq!(caller.receive().unwrap()["rc"], 0);
    caller.send_set_up("9b1f03aa5c7e2d42", 5000);
    let (second, _) = switch.next_message("START");
    send_line(&second, &started("9b1f03aa5c7e2d42"));
    assert_eq!(caller.receive().unwrap()["tag"], "9b1f03aa5c7e2d42");
    send_line(&link, &finish(TAG, 17));
    let heard = caller.receive().unwrap();
    assert_eq!(heard["tag"], TAG);
    assert!(gateway.wait().success());
}

#[test]
fn what_crosses_the_end_of_a_gateway_meets_an_orderly_close_and_no_reset() {
    let (gateway, switch, _names) = house("crossing");
    let (mut caller, mut other) = (gateway.connect_caller(), gateway.connect_caller());
    other.send(&json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0}));
    assert_eq!(other.receive().unwrap()["rc"], 1);
    caller.send_set_up(TAG, 5000);
    let (link, _) = switch.next_message("START");
    gateway.send_signal(Signal::TERM);
    gateway.wait_for_log("ending");
    // The last call that is owed an answer gets it while lines lie unread on another connection, and the time in which
    // set-ups are served passes.
    gateway.send_signal(Signal::STOP);
    let released = json!({"verb": "FINISHED", "tag": TAG, "opts": {}}).to_string() + "\n";
    other.stream.write_all(released.repeat(1900).as_bytes()).unwrap();
    send_line(&link, &started(TAG));
    std::thread::sleep(std::time::Duration::from_millis(800));
    gateway.send_signal(Signal::CONT);
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    for at_end in [&mut caller, &mut other] {
        assert!(matches!(at_end.stream.read(&mut [0; 16]), Ok(0)), "an end, not a reset");
    }
    assert!(gateway.wait().success());
}

#[test]
fn bad_clients_get_an_error_or_an_end_and_others_go_on() {
    let (gateway, switch, _names) = house("bad");
    let (mut silent, mut half) = (gateway.connect_caller(), gateway.connect_caller());
    half.stream.write_all(b"{\"verb\":\"START\",\"tag\"").unwrap();
    let mut noise = gateway.connect_caller();
    noise.stream.write_all(b"\x00\x01\x02 GET / HTTP/1.1\n").unwrap();
    assert_eq!(noise.receive().unwrap()["verb"], "FINISH");
    assert!(noise.reads_only_eof());
    // A line without end: the error comes although most of it was never read.
    let mut endless = gateway.connect_caller();
    let mut writer = endless.stream.try_clone().unwrap();
    let pouring = std::thread::spawn(move || {
        let chunk = [b'x'; 65_536];
        (0..960).try_for_each(|_| writer.write_all(&chunk)).is_err()
    });
    assert!(endless.stream.read(&mut [0; 16]).is_ok_and(|n| n > 0) && pouring.join().unwrap());
    let mut caller = gateway.connect_caller();
    caller.send_set_up("0000000000000bad", 99_000);
    assert_eq!(caller.receive().unwrap()["rc"], 100);
    caller.send_set_up(TAG, 3000);
    let (link, _) = switch.next_message("START");
    send_line(&link, &started(TAG));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    for lazy in [&mut silent, &mut half] {
        assert_eq!(lazy.receive().unwrap()["rc"], 96);
        assert!(lazy.reads_only_eof());
    }
}

#[test]
fn a_gateway_that_was_killed_is_told_what_stands_and_passes_its_release_on() {
    let (gateway, switch, _names) = house("restart");
    let mut caller = gateway.connect_caller();
    caller.send_set_up(TAG, 3000);
    let (link, _) = switch.next_message("START");
    send_line(&link, &started(TAG));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    let gateway = gateway.restart();
    let mut caller = gateway.connect_caller();
    caller.send(&json!({"verb": "START", "tag": TAG, "blob": "offer", "opts": {"class": "voice", "extras": "at:s-1"}}));
    caller.send_set_up("9b1f03aa5c7e2d42", 3000);
    let (link, _) = switch.next_message("START");
    send_line(&link, &finish(TAG, 16));
    assert_eq!(caller.receive().unwrap(), finish(TAG, 16));
}

#[test]
fn what_is_wrong_at_the_start_is_told_in_one_line_with_its_remedy() {
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
        let told = run(text, variables);
        assert!(parts.iter().all(|part| told.contains(part)), "{told}");
    }
}
