//! Errors name the line and the field, and say how to correct it.

use fawnrouter_config::{parse, read_switches, schema};

const GOOD: &str = include_str!("../../../examples/gateway.yaml");

fn errors(from: &str, to: &str) -> Vec<String> {
    assert!(GOOD.contains(from), "{from}");
    parse("g.yaml", &GOOD.replacen(from, to, 1)).expect_err(to).lines().to_vec()
}

fn line_of(text: &str) -> usize {
    GOOD.lines().position(|l| l.contains(text)).expect("the line is there") + 1
}

#[test]
fn engine_accepts_the_example_settings() {
    let settings = parse("g.yaml", GOOD).expect("the example is sound");
    let engine = settings.engine_settings(1, false);
    assert!(fawnrouter_engine::Engine::new(engine).is_ok());
    assert_eq!(
        read_switches("s.yaml", include_str!("../../../examples/switches.yaml")).map(|s| s.len()),
        Ok(2)
    );
}

#[test]
fn each_error_names_line_field_and_correction() {
    let rows = [
        ("count: 2", "count: 0", "count: 2", "gateway.count: 0 is too small; the least is 1"),
        ("number: 0", "number: 7", "number: 0", "gateway.number: is not below count (2)"),
        ("path: /", "pfad: /", "path: /", "listen.pfad: no such field; remove it or correct its name"),
        ("level: info", "level: loud", "level: info", "log.level: \"loud\" is none of"),
        (
            "late_share: 0.25",
            "late_share: 2",
            "late_share: 0.25",
            "classes.0.late_share: 2 is too large; the most is 1",
        ),
        (
            "aim_ms: 2000, deadline_ms: 9000, points: 2",
            "aim_ms: 9500, deadline_ms: 9000, points: 2",
            "points: 2",
            "classes.1.aim_ms: is beyond deadline_ms (9000); lower it",
        ),
        (
            "class: transfer-status }",
            "class: nothing }",
            "X-Kind",
            "calls.class.0.class: no class is called nothing; add it",
        ),
        ("address: 127.0.0.1:5080", "address: 5080", "address: 127.0.0.1:5080", "listen.address: "),
        ("  file: switches.yaml", "  poll_ms: 100", "switches:", "switches: file is missing; add it"),
        (
            "drain_grace_ms: 1000",
            "drain_grace_ms: -4",
            "drain_grace_ms: 1000",
            "rules.drain_grace_ms: -4 is too small",
        ),
    ];
    for (from, to, at, expected) in rows {
        let lines = errors(from, to);
        let start = format!("g.yaml:{}: {expected}", line_of(at));
        assert!(lines.iter().any(|l| l.starts_with(&start)), "{to}: wanted {start}, got {lines:#?}");
    }
}

#[test]
fn invalid_yaml_is_reported_with_its_line() {
    assert!(errors("tenants:", "tenants: [")[0].starts_with("g.yaml:"));
    assert!(errors("  count: 2", "  number: 2")[0].contains("g.yaml:"));
    assert!(parse("g.yaml", "").is_err());
    assert!(parse("g.yaml", "1: 2").unwrap_err().lines()[0].contains("a key is no text"));
}

#[test]
fn admission_is_off_by_default_and_its_networks_are_checked() {
    assert!(parse("g.yaml", GOOD).unwrap().admission_settings(1).is_none());
    let on = parse("g.yaml", &format!("{GOOD}admission: {{}}\n")).unwrap();
    assert_eq!(on.admission_settings(1).map(|a| (a.total, a.per_address)), Some((1000, 200)));
    let text =
        format!("{GOOD}admission: {{ exceptions: [{{ address: 127.0.0.1, bits: 40, connections: 9 }}] }}\n");
    let error = parse("g.yaml", &text).unwrap_err();
    assert!(error.lines()[0].contains("admission.exceptions.0.bits: is beyond the 32 bits"), "{error}");
}

#[test]
fn invalid_address_is_reported() {
    let lines = errors("address: 127.0.0.1:5080", "address: nowhere");
    assert!(lines[0].contains("socket address"), "{lines:?}");
}

#[test]
fn duplicate_switch_is_reported() {
    let text = "switches:\n  - { id: 1, address: '127.0.0.1:1', pool: 0 }\n  - { id: 1, address: '127.0.0.1:2', pool: 0 }\n";
    let error = read_switches("s.yaml", text).unwrap_err();
    assert_eq!(error.lines(), ["s.yaml:3: switches.1.id: 1 stands twice; ids are unique"]);
}

#[test]
fn empty_list_is_valid() {
    assert_eq!(read_switches("s.yaml", "switches: []"), Ok(vec![]));
}

#[test]
fn schema_contains_every_section() {
    let schema = schema();
    for section in ["gateway", "listen", "switches", "classes", "rules", "limits", "trunk", "log", "drain"] {
        assert!(schema["properties"].get(section).is_some(), "{section}");
    }
}

#[test]
fn zones_use_costs_and_budgets_of_the_own_zone_and_contradictions_are_reported() {
    let text = format!(
        "{GOOD}zones:\n  own: kochi\n  gateways: 3\n  account: z.json\n  costs:\n    - {{ from: kochi, to: north, per_call: 2 }}\n    \
         - {{ from: north, to: kochi, per_call: 5 }}\n    - {{ from: kochi, to: south, forbidden: true }}\n  budgets:\n    \
         - {{ window: hour, calls: 60 }}\n    - {{ from: north, window: day, money: 10 }}\n"
    );
    let zones = parse("g.yaml", &text).unwrap().zone_settings().expect("zones");
    assert_eq!((zones.costs.len(), zones.budgets.len(), zones.budgets[0].sharers), (2, 1, 3));
    assert!(parse("g.yaml", GOOD).unwrap().zone_settings().is_none());
    let wrong = text
        .replace("per_call: 2 }", "per_call: 2, forbidden: true }")
        .replace("gateways: 3", "gateways: 3\n  number: 3")
        .replace("{ window: hour, calls: 60 }", "{ window: hour }")
        .replace("from: north, to: kochi", "from: north, to: north");
    let lines = parse("g.yaml", &wrong).unwrap_err().to_string();
    for said in [
        "zones.costs.0: give per_call",
        "zones.number: is not below",
        "zones.budgets.0: limits nothing",
        "zones.costs.1.to: is the zone itself",
    ] {
        assert!(lines.contains(said), "{said} in {lines}");
    }
}
