//! The program and settings that are wrong: at the start it ends with one line, on SIGHUP it goes on with the old ones.

mod common;

use std::path::PathBuf;
use std::process::{Command, Output};

use common::*;
use rustix::process::Signal;
use serde_json::{Value, json};

/// Settings that are missing, of the wrong kind, out of range and at odds, each with what must be said of them.
fn wrong() -> Vec<(&'static str, Value, &'static str)> {
    vec![
        (
            "/settings/classes/0/hardLimitNs",
            json!(null),
            "settings.classes[0].hardLimitNs: is missing; add a whole number of nanoseconds above 0",
        ),
        (
            "/settings/contract/fallMultiple",
            json!("four"),
            "settings.contract.fallMultiple: is \"four\"; it must be a number, 0 or more",
        ),
        (
            "/settings/contract/coldFrom",
            json!(33),
            "settings.contract.coldFrom: is 33; it must be a share from 0 to 1",
        ),
        (
            "/settings/me",
            json!(1),
            "settings.me: is 1, and balancers is 1; number the gateways from 0, so that me is below balancers",
        ),
        (
            "/limits/sockets",
            json!(12),
            "limits.sockets: is 12; it must be the number of descriptors, 64 at least",
        ),
    ]
}

fn with(good: &Value, place: &str, value: Value) -> Value {
    let mut config = good.clone();
    *config.pointer_mut(place).unwrap() = value;
    config
}

fn start(file: &PathBuf) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fawnrouter"));
    command.arg("node").env_remove("BALANCER_NAME").env_remove("BALANCER_LISTEN");
    command.env("BALANCER_CONFIG", file).output().unwrap()
}

#[test]
fn a_start_with_wrong_settings_ends_with_one_line_that_names_file_field_fault_and_remedy() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("settings-start");
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("config.json");
    let good = node_config(free_address(), free_address(), &[("s-1", free_address())]);
    for (place, value, told) in wrong() {
        std::fs::write(&file, with(&good, place, value).to_string()).unwrap();
        let output = start(&file);
        assert_eq!(output.status.code(), Some(2), "{told}");
        let wanted = format!("fawnrouter node: {}: {told}\n", file.display());
        assert_eq!(String::from_utf8(output.stderr).unwrap(), wanted);
    }
}

#[test]
fn sighup_with_wrong_settings_leaves_the_old_ones_in_force_and_says_why() {
    let switch = Switch::new();
    let zone = DnsZone { serial: 1, switches: vec![("s-1".into(), switch.address)], ..DnsZone::default() };
    let (names, other) = (NameServer::new(zone.clone()), NameServer::new(DnsZone { serial: 9, ..zone }));
    let good = node_config(free_address(), names.address, &[("s-1", switch.address)]);
    let gateway = Gateway::start("settings-sighup", &good);
    let mut caller = gateway.connect_caller();
    for (n, (place, value, told)) in wrong().into_iter().enumerate() {
        // Another name server in the same file: nothing of a wrong configuration may be taken.
        let moved = with(&good, "/nameserver", json!(other.address.to_string()));
        std::fs::write(&gateway.file, with(&moved, place, value).to_string()).unwrap();
        gateway.send_signal(Signal::HUP);
        let line = gateway.wait_for_log("the configuration stays as it was");
        // The log escapes quotes or not, as its form is.
        assert!(line.replace('\\', "").contains(told), "{line}");
        names.wait_for_queries(2);
        let tag = format!("9b1f03aa5c7e2d4{n}");
        caller.send_set_up(&tag, 8000);
        let (link, start) = switch.next_message("START");
        assert_eq!(start["tag"], json!(tag));
        send_line(&link, &json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": "answer"}));
        assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    }
    std::fs::write(&gateway.file, with(&good, "/nameserver", json!(other.address.to_string())).to_string())
        .unwrap();
    gateway.send_signal(Signal::HUP);
    gateway.wait_for_log("new configuration");
    other.wait_for_queries(1);
}
