//! Invalid settings: at the start the program exits with one line, on SIGHUP it keeps the old settings.

mod platform;

use std::path::PathBuf;
use std::process::{Command, Output};

use platform::*;
use rustix::process::Signal;
use serde_json::{Value, json};

/// Settings that are missing, of the wrong type, out of range or contradictory, each with the expected
/// message.
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

fn with_setting(good: &Value, place: &str, value: Value) -> Value {
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
fn start_with_invalid_settings_fails_with_one_line_naming_file_field_error_and_correction() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("settings-start");
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("config.json");
    let good = config(free_address(), free_address(), &[("s-1", free_address())]);
    for (place, value, message) in invalid_settings() {
        std::fs::write(&file, with_setting(&good, place, value).to_string()).unwrap();
        let output = start(&file);
        assert_eq!(output.status.code(), Some(2), "{message}");
        let wanted = format!("fawnrouter node: {}: {message}\n", file.display());
        assert_eq!(String::from_utf8(output.stderr).unwrap(), wanted);
    }
}

#[test]
fn sighup_with_invalid_settings_keeps_the_old_ones_and_logs_the_reason() {
    let switch = Switch::new();
    let zone = Zone { serial: 1, switches: vec![("s-1".into(), switch.address)], ..Zone::default() };
    let (name_server, other) = (NameServer::new(zone.clone()), NameServer::new(Zone { serial: 9, ..zone }));
    let good = config(free_address(), name_server.address, &[("s-1", switch.address)]);
    let gateway = Gateway::start("settings-sighup", &good);
    let mut caller = gateway.connect_caller();
    for (n, (place, value, message)) in invalid_settings().into_iter().enumerate() {
        // The file also names another name server: nothing of an invalid configuration may be applied.
        let moved = with_setting(&good, "/nameserver", json!(other.address.to_string()));
        std::fs::write(&gateway.file, with_setting(&moved, place, value).to_string()).unwrap();
        gateway.signal(Signal::HUP);
        let line = gateway.wait_for_log("the configuration stays as it was");
        // Whether the log escapes quotes depends on its format.
        assert!(line.replace('\\', "").contains(message), "{line}");
        name_server.wait_for_queries(2);
        let tag = format!("9b1f03aa5c7e2d4{n}");
        caller.start_call(&tag, 8000);
        let (link, start) = switch.next_message("START");
        assert_eq!(start["tag"], json!(tag));
        send_line(&link, &json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": "answer"}));
        assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    }
    std::fs::write(
        &gateway.file,
        with_setting(&good, "/nameserver", json!(other.address.to_string())).to_string(),
    )
    .unwrap();
    gateway.signal(Signal::HUP);
    gateway.wait_for_log("new configuration");
    other.wait_for_queries(1);
}
