//! Invalid settings: at startup the program prints one line and exits; on SIGHUP it keeps the old settings.

mod common;

use std::path::PathBuf;
use std::process::{Command, Output};

use common::*;
use rustix::process::Signal;
use serde_json::{Value, json};

/// Settings that are missing, of the wrong type, out of range or contradictory: the JSON pointer of the
/// field, the value to put there and the expected message.
fn invalid_settings() -> Vec<(&'static str, Value, &'static str)> {
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

fn with_value(good: &Value, pointer: &str, value: Value) -> Value {
    let mut config = good.clone();
    *config.pointer_mut(pointer).unwrap() = value;
    config
}

fn run_node(file: &PathBuf) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fawnrouter"));
    command.arg("node").env_remove("BALANCER_NAME").env_remove("BALANCER_LISTEN");
    command.env("BALANCER_CONFIG", file).output().unwrap()
}

#[test]
fn startup_with_invalid_settings_prints_one_line_with_file_field_fault_and_remedy() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("settings-start");
    std::fs::create_dir_all(&directory).unwrap();
    let file = directory.join("config.json");
    let good = node_config(free_address(), free_address(), &[("s-1", free_address())]);
    for (pointer, value, message) in invalid_settings() {
        std::fs::write(&file, with_value(&good, pointer, value).to_string()).unwrap();
        let output = run_node(&file);
        assert_eq!(output.status.code(), Some(2), "{message}");
        let expected = format!("fawnrouter node: {}: {message}\n", file.display());
        assert_eq!(String::from_utf8(output.stderr).unwrap(), expected);
    }
}

#[test]
fn sighup_with_invalid_settings_keeps_old_settings_and_logs_reason() {
    let switch = Switch::new();
    let zone = DnsZone { serial: 1, switches: vec![("s-1".into(), switch.address)], ..DnsZone::default() };
    let (name_server, other) =
        (NameServer::new(zone.clone()), NameServer::new(DnsZone { serial: 9, ..zone }));
    let good = node_config(free_address(), name_server.address, &[("s-1", switch.address)]);
    let gateway = Gateway::start("settings-sighup", &good);
    let mut caller = gateway.connect_caller();
    for (n, (pointer, value, message)) in invalid_settings().into_iter().enumerate() {
        // The same file names another name server: no part of an invalid configuration may be applied.
        let with_other_name_server = with_value(&good, "/nameserver", json!(other.address.to_string()));
        std::fs::write(&gateway.file, with_value(&with_other_name_server, pointer, value).to_string())
            .unwrap();
        gateway.send_signal(Signal::HUP);
        let line = gateway.wait_for_log("the configuration stays as it was");
        // Only some log formats escape quotes.
        assert!(line.replace('\\', "").contains(message), "{line}");
        name_server.wait_for_queries(2);
        let tag = format!("9b1f03aa5c7e2d4{n}");
        caller.send_set_up(&tag, 8000);
        let (connection, start) = switch.next_message("START");
        assert_eq!(start["tag"], json!(tag));
        send_line(&connection, &json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": "answer"}));
        assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    }
    std::fs::write(
        &gateway.file,
        with_value(&good, "/nameserver", json!(other.address.to_string())).to_string(),
    )
    .unwrap();
    gateway.send_signal(Signal::HUP);
    gateway.wait_for_log("new configuration");
    other.wait_for_queries(1);
}
