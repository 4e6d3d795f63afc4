//! The configuration file: what is wrong with it is told by field, and nothing of a wrong one is used.

mod common;

use std::time::Duration;

use common::{config, known};
use fawnrouter_node::fawnrouter::{PeerId, Settings, SettingsError};
use fawnrouter_node::{Boot, BootError, Node, NodeSettings};
use serde_json::{Value, json};

fn good() -> Value {
    serde_json::from_str(&config(&known(1, &[("s-1", 7001, "Ready", 0)]))).unwrap()
}

fn read(config: &Value) -> Result<Boot, BootError> {
    Boot::read(config.to_string().as_bytes())
}

/// The configuration with another value at this place, or without it.
fn with(place: &str, value: Option<Value>) -> Value {
    let mut config = good();
    let (parent, key) = place.rsplit_once('/').unwrap();
    let parent = config.pointer_mut(parent).unwrap().as_object_mut().unwrap();
    match value {
        Some(value) => parent.insert(key.to_owned(), value),
        None => parent.remove(key),
    };
    config
}

#[test]
fn each_field_that_is_missing_or_wrong_is_named_with_what_it_must_be() {
    const ADDRESS: &str = "an address and a port, as 10.";
    for (place, value, field, wanted) in [
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
        let told = read(&with(place, value)).expect_err(place).to_string();
        assert!(told.starts_with(field) && told.contains(wanted), "{told}");
        assert_eq!(told.lines().count(), 1, "{told}");
    }
}

#[test]
fn text_that_is_no_json_object_is_told_with_line_and_column() {
    let told = |text: &[u8]| Boot::read(text).unwrap_err().to_string();
    assert!(told(b"{\"name\":\n").contains("line 2 column 0"), "{}", told(b"{\"name\":\n"));
    // A figure that no number can hold, and one that JSON does not know.
    let config = good().to_string();
    for nonsense in ["1e999", "NaN"] {
        let text = config.replace("\"coldFrom\":0.33", &format!("\"coldFrom\":{nonsense}"));
        assert_ne!(text, config);
        let told = told(text.as_bytes());
        assert!(told.starts_with("not JSON") && told.contains("line 1 column"), "{told}");
    }
    assert!(told(b"[]").contains("one object"));
}

#[test]
fn the_decision_modules_own_refusals_never_come_after_the_translations() {
    // What the module refuses is refused before, with the path in the file; the module is the second guard.
    for (place, value) in [
        ("/settings/contract/coldFrom", json!(1.5)),
        ("/settings/contract/fallMultiple", json!(-1)),
        ("/settings/overShareWorth", json!(-1)),
        ("/settings/balancers", json!(0)),
        ("/settings/classes", json!([])),
        ("/settings/me", json!(7)),
    ] {
        let error = read(&with(place, Some(value))).unwrap_err();
        assert!(matches!(error, BootError::InvalidSettings(_)), "{error:?}");
    }
}

#[test]
fn the_decision_module_itself_refuses_what_no_translation_should_hand_it() {
    let refused = |change: fn(&mut Settings)| {
        let mut boot = read(&good()).unwrap();
        change(&mut boot.settings);
        Node::new(NodeSettings::new(&boot)).err().map(|error| (error.clone(), error.to_string()))
    };
    assert_eq!(refused(|_| ()), None);
    let (error, told) = refused(|s| s.own_id = PeerId(2)).unwrap();
    assert_eq!(error, SettingsError::GatewayOutOfRange { own_id: 2, gateways: 2 });
    assert!(told.contains("gateway 2 of 2") && told.contains("from 0"), "{told}");
    let (error, told) = refused(|s| s.classes[0].aim = s.classes[0].deadline * 2).unwrap();
    assert_eq!(error, SettingsError::BadDeadline("voice".into()));
    assert!(told.contains("\"voice\"") && told.contains("set the deadline"), "{told}");
    let (error, told) = refused(|s| s.rules.fall_multiple = 0.0).unwrap();
    assert_eq!(error, SettingsError::FigureOutOfRange("fall_multiple"));
    assert!(told.contains("fall_multiple; it must be above 0"), "{told}");
    let warm = |s: &mut Settings| (s.rules.fall_multiple, s.rules.cold_time) = (0.0, Duration::ZERO);
    assert_eq!(refused(warm), None, "where nothing is cold the multiple says nothing");
}

#[test]
fn fields_that_are_not_known_are_passed_over() {
    let mut config = good();
    for place in ["", "/limits", "/settings", "/settings/classes/0", "/settings/contract"] {
        config.pointer_mut(place).unwrap()["newField"] = json!({"any": [1, null]});
    }
    let (old, new) = (read(&good()).unwrap(), read(&config).unwrap());
    assert_eq!((old.settings, old.connections), (new.settings, new.connections));
}

#[test]
fn the_most_and_the_least_that_can_be_told_makes_a_gateway() {
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
        let boot = read(&with("/settings", Some(settings))).unwrap();
        assert!(Node::new(NodeSettings::new(&boot)).is_ok());
    }
}
