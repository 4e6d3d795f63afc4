//! The configuration file: faults are reported by field, and nothing of an invalid file is used.

mod common;

use std::time::Duration;

use common::{config, known};
use fawnrouter_node::fawnrouter::{PeerId, Settings, SettingsError};
use fawnrouter_node::{Boot, BootError, Node, NodeSettings};
use serde_json::{Value, json};

fn valid_config() -> Value {
    serde_json::from_str(&config(&known(1, &[("s-1", 7001, "Ready", 0)]))).unwrap()
}

fn read(config: &Value) -> Result<Boot, BootError> {
    Boot::read(config.to_string().as_bytes())
}

/// The configuration with another value at this JSON pointer, or without it.
fn with_value(pointer: &str, value: Option<Value>) -> Value {
    let mut config = valid_config();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let parent = config.pointer_mut(parent).unwrap().as_object_mut().unwrap();
    match value {
        Some(value) => parent.insert(key.to_owned(), value),
        None => parent.remove(key),
    };
    config
}

#[test]
fn missing_and_invalid_fields_are_named_with_what_they_must_be() {
    const ADDRESS: &str = "an address and a port, as 10.";
    for (pointer, value, field, wanted) in [
        ("/name", None, "name: is missing;", "the gateway's name"),
        ("/name", Some(json!(3)), "name: is 3;", "the gateway's name"),
        ("/listen", None, "listen: is missing;", ADDRESS),
        ("/listen", Some(json!("10.0.0.4")), "listen: is \"10.0.0.4\";", ADDRESS),
        ("/listen", Some(json!("10.0.0.4:70000")), "listen: is \"10.0.0.4:70000\";", ADDRESS),
        ("/seed", None, "seed: is missing;", "16 hex digits"),
        ("/seed", Some(json!("8c1f30d27a5be964f")), "seed: is \"8c1f30d27a5be964f\";", "16 hex digits"),
        ("/seed", Some(json!(-1)), "seed: is -1;", "16 hex digits"),
        ("/limits", None, "limits: is missing;", "an object"),
        ("/limits", Some(json!(256)), "limits: is 256;", "an object"),
        ("/limits/sockets", None, "limits.sockets: is missing;", "64 at least"),
        ("/limits/sockets", Some(json!(63)), "limits.sockets: is 63;", "64 at least"),
        ("/limits/sockets", Some(json!("256")), "limits.sockets: is \"256\";", "64 at least"),
        ("/limits/sockets", Some(json!(-256)), "limits.sockets: is -256;", "64 at least"),
        ("/limits/memory_mb", None, "limits.memory_mb: is missing;", "8 at least"),
        ("/limits/memory_mb", Some(json!(7)), "limits.memory_mb: is 7;", "8 at least"),
        ("/limits/memory_mb", Some(json!("32")), "limits.memory_mb: is \"32\";", "8 at least"),
        ("/nameserver", None, "nameserver: is missing;", ADDRESS),
        ("/nameserver", Some(json!("ns.lan:53")), "nameserver: is \"ns.lan:53\";", ADDRESS),
        ("/known", None, "known: is missing;", "an object"),
        ("/known", Some(json!([])), "known: is [];", "an object"),
        ("/settings", None, "settings: is missing;", "the object"),
        ("/settings", Some(json!("all")), "settings: is \"all\";", "the object"),
        ("/settings/balancers", None, "settings.balancers: is missing;", "the number of gateways"),
        ("/settings/me", Some(json!(2)), "settings.me: is 2,", "below balancers"),
        ("/settings/contract", Some(json!(1)), "settings.contract: is 1;", "an object"),
        (
            "/settings/policyLimits/maxOpen",
            Some(json!("x")),
            "settings.policyLimits.maxOpen: is \"x\";",
            "number",
        ),
    ] {
        let text = read(&with_value(pointer, value)).expect_err(pointer).to_string();
        assert!(text.starts_with(field) && text.contains(wanted), "{text}");
        assert_eq!(text.lines().count(), 1, "{text}");
    }
}

#[test]
fn invalid_json_is_reported_with_line_and_column() {
    let error_text = |text: &[u8]| Boot::read(text).unwrap_err().to_string();
    assert!(error_text(b"{\"name\":\n").contains("line 2 column 0"), "{}", error_text(b"{\"name\":\n"));
    // A number that is out of range, and a value that JSON does not have.
    let config = valid_config().to_string();
    for nonsense in ["1e999", "NaN"] {
        let text = config.replace("\"coldFrom\":0.33", &format!("\"coldFrom\":{nonsense}"));
        assert_ne!(text, config);
        let error = error_text(text.as_bytes());
        assert!(error.starts_with("not JSON") && error.contains("line 1 column"), "{error}");
    }
    assert!(error_text(b"[]").contains("one object"));
}

#[test]
fn invalid_settings_are_rejected_by_the_translation_before_the_controller() {
    // The translation rejects these first and names the path in the file; the controller checks them a second
    // time.
    for (pointer, value) in [
        ("/settings/contract/coldFrom", json!(1.5)),
        ("/settings/contract/fallMultiple", json!(-1)),
        ("/settings/overShareWorth", json!(-1)),
        ("/settings/balancers", json!(0)),
        ("/settings/classes", json!([])),
        ("/settings/me", json!(7)),
    ] {
        let error = read(&with_value(pointer, Some(value))).unwrap_err();
        assert!(matches!(error, BootError::InvalidSettings(_)), "{error:?}");
    }
}

#[test]
fn controller_rejects_invalid_settings_itself() {
    let refused = |change: fn(&mut Settings)| {
        let mut boot = read(&valid_config()).unwrap();
        change(&mut boot.settings);
        Node::new(NodeSettings::new(&boot)).err().map(|error| (error.clone(), error.to_string()))
    };
    assert_eq!(refused(|_| ()), None);
    let (error, text) = refused(|s| s.own_id = PeerId(2)).unwrap();
    assert_eq!(error, SettingsError::GatewayOutOfRange { own_id: 2, gateways: 2 });
    assert!(text.contains("gateway 2 of 2") && text.contains("from 0"), "{text}");
    let (error, text) = refused(|s| s.classes[0].aim = s.classes[0].deadline * 2).unwrap();
    assert_eq!(error, SettingsError::BadDeadline("voice".into()));
    assert!(text.contains("\"voice\"") && text.contains("set the deadline"), "{text}");
    let (error, text) = refused(|s| s.rules.fall_multiple = 0.0).unwrap();
    assert_eq!(error, SettingsError::FigureOutOfRange("fall_multiple"));
    assert!(text.contains("fall_multiple; it must be above 0"), "{text}");
    let warm = |s: &mut Settings| (s.rules.fall_multiple, s.rules.cold_time) = (0.0, Duration::ZERO);
    assert_eq!(refused(warm), None, "the multiple does not matter where nothing is cold");
}

#[test]
fn unknown_fields_are_ignored() {
    let mut config = valid_config();
    for pointer in ["", "/limits", "/settings", "/settings/classes/0", "/settings/contract"] {
        config.pointer_mut(pointer).unwrap()["newField"] = json!({"any": [1, null]});
    }
    let (old, new) = (read(&valid_config()).unwrap(), read(&config).unwrap());
    assert_eq!((old.settings, old.connections), (new.settings, new.connections));
}

#[test]
fn smallest_and_largest_settings_start_a_gateway() {
    let least = json!({"balancers": 1, "classes": [{"name": "voice", "onTimeNs": 1, "hardLimitNs": 1}]});
    let most = json!({
        "balancers": u32::MAX, "me": u32::MAX - 1, "tickNs": u64::MAX, "overShareWorth": 1e300,
        "classes": [{"name": "voice", "onTimeNs": u64::MAX, "hardLimitNs": u64::MAX, "points": 1e300, "lateShare": 1}],
        "contract": {"coldFrom": 1, "coldNs": u64::MAX, "drainGraceNs": u64::MAX, "fallMultiple": 1e300, "fallNs": u64::MAX},
        "familyInfo": {"guardNs": u64::MAX, "resendNs": u64::MAX, "topology": "pools"},
        "policyLimits": {"connIdleNs": u64::MAX, "dialTimeoutNs": u64::MAX, "maxAttempts": u64::MAX, "maxOpen": u64::MAX,
                         "maxRetryAfterNs": u64::MAX, "multiplex": u64::MAX, "retryAfter": true}
    });
    for settings in [least, most] {
        let boot = read(&with_value("/settings", Some(settings))).unwrap();
        assert!(Node::new(NodeSettings::new(&boot)).is_ok());
    }
}
