//! What the settings object may leave out, what it may not, and what is said of one that is wrong.

use std::time::Duration;

use fawnrouter::*;
use fawnrouter_bootinfo::{BootInfoError, connection_settings, settings};
use serde_json::{Value, json};

/// Everything that the users' pages name, with other figures than theirs.
fn full() -> Value {
    json!({
        "balancers": 9, "me": 8, "tickNs": 4_000_000, "overShareWorth": 0.3, "registryMode": "push",
        "classes": [
            {"name": "boarding", "onTimeNs": 700_000_000, "hardLimitNs": 3_000_000_000u64, "points": 4.0,
             "lateShare": 0.1, "effect": "read_like", "group": "all", "dedupWindowNs": 1, "stream": true},
            {"name": "freight", "onTimeNs": 3_000_000_000u64, "hardLimitNs": 3_000_000_000u64, "points": 0,
             "lateShare": 0.0, "effect": "idempotency_key", "group": "zone", "dedupWindowNs": 6_000_000_000u64},
            {"name": "payment", "onTimeNs": 900_000_000, "hardLimitNs": 2_000_000_000, "effect": "non_idempotent"}
        ],
        "parties": [{"name": "blue", "quotaPerS": 12.5, "share": 0.7}, {"name": "red", "share": 0.3}],
        "contract": {"answerSlackNs": 20_000_000, "askWithinNs": 8_000_000_000u64, "coldFrom": 0.2,
                     "coldNs": 7_000_000_000u64, "drainGraceNs": 250_000_000, "fallMultiple": 2,
                     "fallNs": 2_500_000_000u64},
        "familyInfo": {"guardNs": 600_000_000, "homeNo": -1, "resendNs": 0, "topology": "pools",
                       "skilledPools": [[0, 1], [], [1]], "tellsWait": true},
        "policyLimits": {"cancel": false, "peers": true, "probes": true, "retryAfter": false, "maxAttempts": 2,
                         "maxRetryAfterNs": 800_000_000, "connIdleNs": 30_000_000_000u64,
                         "dialTimeoutNs": 400_000_000, "maxOpen": 5000, "multiplex": 50},
        "stats": {"how": "piggyback", "names": ["free", "size", "cpu_share"]},
        "zones": ["north", "south"], "kinds": ["one-core"], "workload": "trunks"
    })
}

/// The least that a gateway can start with.
fn least() -> Value {
    json!({"balancers": 1, "classes": [{"name": "voice", "onTimeNs": 2_000_000_000, "hardLimitNs": 9_000_000_000u64}]})
}

/// `boot` with another value at this place; a last key that is not there yet is added.
fn with(mut boot: Value, place: &str, value: Value) -> Value {
    let (parent, key) = place.rsplit_once('/').unwrap();
    match boot.pointer_mut(parent).unwrap() {
        Value::Object(map) => drop(map.insert(key.to_owned(), value)),
        Value::Array(list) => list[key.parse::<usize>().unwrap()] = value,
        other => panic!("{other} has no fields"),
    }
    boot
}

/// What is said of these settings, in both parts of the translation.
fn said(boot: &Value) -> String {
    let error: BootInfoError = match settings(boot) {
        Err(error) => error,
        Ok(_) => connection_settings(boot).expect_err("something is wrong"),
    };
    error.to_string()
}

#[test]
fn every_setting_arrives_where_it_belongs() {
    let (s, names) = settings(&full()).unwrap();
    let ms = Duration::from_millis;
    assert_eq!((s.gateways, s.own_id, s.tick, s.over_share_worth), (9, PeerId(8), ms(4), 0.3));
    let effects: Vec<_> = s.classes.iter().map(|c| c.effect).collect();
    let keyed = Effect::Keyed { group: RepeatGroup::Zone, window: ms(6000) };
    assert_eq!(effects, [Effect::Safe, keyed, Effect::Unsafe]);
    let times: Vec<_> = s.classes.iter().map(|c| (c.aim, c.deadline)).collect();
    assert_eq!(times, [(ms(700), ms(3000)), (ms(3000), ms(3000)), (ms(900), ms(2000))]);
    let worth: Vec<_> = s.classes.iter().map(|c| (c.points, c.late_share)).collect();
    assert_eq!(worth, [(4.0, 0.1), (0.0, 0.0), (1.0, 0.0)]);
    let pools: Vec<_> = s.classes.iter().map(|c| c.pools.clone().unwrap()).collect();
    assert_eq!(pools, [vec![Cell(0), Cell(1)], vec![], vec![Cell(1)]]);
    let quotas: Vec<_> = s.tenants.iter().map(|t| t.quota_per_s).collect();
    assert_eq!(quotas, [Some(12.5), None]);
    assert_eq!((names.class_id("payment"), names.tenant_id("red")), (Some(ClassId(2)), Some(TenantId(1))));
    assert_eq!((names.class_id("red"), names.tenant_id("payment")), (None, None));
    assert_eq!(names.report_from_json(&json!([1, 2, 0.5])).utilisation, Some(0.5));
    let rules = Rules {
        drain_grace: ms(250),
        cold_from: 0.2,
        cold_time: ms(7000),
        fall_multiple: 2.0,
        fall_time: ms(2500),
        release_guard: ms(600),
        subscribe_within: ms(8000),
    };
    assert_eq!(s.rules, rules);
    let limits = Limits {
        max_attempts: 2,
        cancel: false,
        peers: true,
        probes: true,
        retry_after: false,
        max_retry_after: ms(800),
    };
    assert_eq!(s.limits, limits);
    assert_eq!((s.topology, s.discovery, s.resend), (Topology::Pools, Discovery::Push, None));
    let sockets = connection_settings(&full()).unwrap();
    assert_eq!((sockets.dial_timeout, sockets.idle_timeout), (ms(400), ms(30_000)));
    assert_eq!((sockets.max_set_ups_per_connection, sockets.max_open_calls), (50, 5000));
    assert_eq!(s.validate(), Ok(()));
}

#[test]
fn what_may_be_left_out_or_null_forbids_nothing_and_permits_nothing() {
    let mut nulls = least();
    for key in
        ["me", "parties", "contract", "familyInfo", "policyLimits", "stats", "registryMode", "overShareWorth"]
    {
        nulls[key] = Value::Null;
    }
    for key in ["effect", "points", "lateShare", "group", "dedupWindowNs"] {
        nulls["classes"][0][key] = Value::Null;
    }
    for boot in [least(), nulls] {
        let (s, _) = settings(&boot).unwrap();
        assert_eq!(s.validate(), Ok(()));
        assert_eq!((s.rules.cold_time, s.rules.drain_grace), (Duration::ZERO, Duration::ZERO));
        assert_eq!((s.limits.max_attempts, s.limits.cancel, s.limits.retry_after), (u32::MAX, false, false));
        assert_eq!((s.classes[0].effect, s.classes[0].points), (Effect::Safe, 1.0));
        assert_eq!((s.classes[0].pools.as_deref(), s.tenants.len()), (None, 0));
        let sockets = connection_settings(&boot).unwrap();
        assert_eq!((sockets.dial_timeout, sockets.idle_timeout), (Duration::MAX, Duration::MAX));
        assert_eq!((sockets.max_set_ups_per_connection, sockets.max_open_calls), (usize::MAX, usize::MAX));
    }
}

#[test]
fn a_limit_of_0_is_no_limit_and_one_beyond_all_sense_is_taken() {
    for (n, attempts) in [(0, u32::MAX), (1, 1), (u64::MAX, u32::MAX)] {
        let limits =
            json!({"maxAttempts": n, "maxOpen": n, "multiplex": n, "dialTimeoutNs": n, "connIdleNs": n});
        let boot = with(least(), "/policyLimits", limits);
        assert_eq!(settings(&boot).unwrap().0.limits.max_attempts, attempts);
        let sockets = connection_settings(&boot).unwrap();
        let wanted = if n == 1 { 1 } else { usize::MAX };
        assert_eq!((sockets.max_open_calls, sockets.max_set_ups_per_connection), (wanted, wanted));
        assert!(sockets.idle_timeout == sockets.dial_timeout && !sockets.idle_timeout.is_zero());
    }
    let long = json!({"drainGraceNs": u64::MAX, "coldNs": u64::MAX, "fallNs": u64::MAX});
    assert!(settings(&with(least(), "/contract", long)).is_ok());
}

#[test]
fn fields_that_are_not_known_are_passed_over_wherever_they_stand() {
    let mut boot = full();
    let odd = json!([{"anything": [null, "x"]}]);
    for place in ["", "/classes/0", "/parties/1", "/contract", "/familyInfo", "/policyLimits", "/stats"]
        .map(str::to_owned)
    {
        boot = with(boot, &format!("{place}/newField"), odd.clone());
    }
    assert_eq!(settings(&boot).unwrap().0, settings(&full()).unwrap().0);
    assert_eq!(connection_settings(&boot), connection_settings(&full()));
}

#[test]
fn a_word_for_an_effect_that_is_not_known_counts_as_harm() {
    let boot = with(full(), "/classes/0/effect", json!("explodes"));
    assert_eq!(settings(&boot).unwrap().0.classes[0].effect, Effect::Unsafe);
}

#[test]
fn a_mesh_has_its_own_exchange_and_a_list_that_is_asked_for_is() {
    let family = json!({"topology": "mesh", "homeNo": 3, "resendNs": 400_000_000});
    let boot = with(with(least(), "/familyInfo", family), "/registryMode", json!("ask"));
    let (s, _) = settings(&boot).unwrap();
    assert_eq!((s.topology, s.discovery), (Topology::Mesh { home: Cell(3) }, Discovery::Subscribe));
    assert_eq!(s.resend, Some(Duration::from_millis(400)));
}

#[test]
fn a_multiple_of_0_says_nothing_where_nothing_is_cold() {
    assert!(settings(&with(least(), "/contract", json!({"fallMultiple": 0, "coldNs": 0}))).is_ok());
}

#[test]
fn what_is_missing_is_named_with_what_to_add() {
    let without = |place: &str| said(&with(full(), place, Value::Null));
    assert_eq!(without("/balancers"), "balancers: is missing; add the number of gateways");
    assert_eq!(without("/classes"), "classes: is missing; add a list of the classes of call");
    assert_eq!(without("/classes/1"), "classes[1]: is missing; add an object");
    assert_eq!(without("/classes/1/name"), "classes[1].name: is missing; add a name");
    for (place, field) in [("/classes/2/onTimeNs", "onTimeNs"), ("/classes/2/hardLimitNs", "hardLimitNs")] {
        let wanted = format!("classes[2].{field}: is missing; add a whole number of nanoseconds above 0");
        assert_eq!(without(place), wanted);
    }
    assert_eq!(without("/parties/1/name"), "parties[1].name: is missing; add a name");
    assert_eq!(
        said(&with(full(), "/familyInfo", json!({"topology": "mesh"}))),
        "familyInfo.homeNo: is missing; add the own exchange's number"
    );
}

#[test]
fn what_is_of_the_wrong_kind_is_named_with_the_right_one() {
    let nanos = "a whole number of nanoseconds, 0 or more";
    let small = "a whole number from 0 to 4294967295";
    for (place, value, told) in [
        ("/balancers", json!("9"), format!("balancers: is \"9\"; it must be {small}")),
        ("/me", json!([8]), format!("me: is [8]; it must be {small}")),
        ("/tickNs", json!(false), format!("tickNs: is false; it must be {nanos}")),
        (
            "/overShareWorth",
            json!("NaN"),
            "overShareWorth: is \"NaN\"; it must be a number, 0 or more".into(),
        ),
        ("/registryMode", json!(1), "registryMode: is 1; it must be text".into()),
        ("/classes", json!({}), "classes: is {}; it must be a list".into()),
        ("/classes/1", json!("voice"), "classes[1]: is \"voice\"; it must be an object".into()),
        ("/classes/1/name", json!(7), "classes[1].name: is 7; it must be text".into()),
        ("/classes/2/onTimeNs", json!("2s"), format!("classes[2].onTimeNs: is \"2s\"; it must be {nanos}")),
        ("/classes/2/points", json!([]), "classes[2].points: is []; it must be a number, 0 or more".into()),
        ("/classes/2/effect", json!(5), "classes[2].effect: is 5; it must be text".into()),
        ("/classes/1/group", json!(true), "classes[1].group: is true; it must be text".into()),
        ("/parties", json!("blue"), "parties: is \"blue\"; it must be a list".into()),
        ("/parties/0", json!("blue"), "parties[0]: is \"blue\"; it must be an object".into()),
        (
            "/parties/0/quotaPerS",
            json!("many"),
            "parties[0].quotaPerS: is \"many\"; it must be a number, 0 or more".into(),
        ),
        ("/contract", json!("strict"), "contract: is \"strict\"; it must be an object".into()),
        ("/contract/coldNs", json!("14s"), format!("contract.coldNs: is \"14s\"; it must be {nanos}")),
        (
            "/contract/fallMultiple",
            json!("four"),
            "contract.fallMultiple: is \"four\"; it must be a number, 0 or more".into(),
        ),
        ("/familyInfo", json!([]), "familyInfo: is []; it must be an object".into()),
        ("/familyInfo/guardNs", json!({}), format!("familyInfo.guardNs: is {{}}; it must be {nanos}")),
        ("/familyInfo/homeNo", json!("here"), "familyInfo.homeNo: is \"here\"; it must be a number".into()),
        ("/familyInfo/skilledPools", json!(2), "familyInfo.skilledPools: is 2; it must be a list".into()),
        (
            "/familyInfo/skilledPools/1",
            json!(2),
            "familyInfo.skilledPools[1]: is 2; it must be a list".into(),
        ),
        (
            "/familyInfo/skilledPools/0/1",
            json!("x"),
            format!("familyInfo.skilledPools[0][1]: is \"x\"; it must be {small}"),
        ),
        ("/policyLimits", json!(0), "policyLimits: is 0; it must be an object".into()),
        (
            "/policyLimits/cancel",
            json!("yes"),
            "policyLimits.cancel: is \"yes\"; it must be true or false".into(),
        ),
        (
            "/policyLimits/maxAttempts",
            json!("5"),
            "policyLimits.maxAttempts: is \"5\"; it must be a whole number, 0 or more".into(),
        ),
        (
            "/policyLimits/connIdleNs",
            json!("60s"),
            format!("policyLimits.connIdleNs: is \"60s\"; it must be {nanos}"),
        ),
        ("/stats", json!("silent"), "stats: is \"silent\"; it must be an object".into()),
        ("/stats/names", json!("free"), "stats.names: is \"free\"; it must be a list".into()),
        ("/stats/names/1", json!(1), "stats.names[1]: is 1; it must be text".into()),
    ] {
        let boot = with(full(), place, value);
        assert_eq!(said(&boot), told);
        let error = settings(&boot).err().or_else(|| connection_settings(&boot).err());
        assert!(matches!(error, Some(BootInfoError::WrongType { .. })), "{error:?}");
    }
}

#[test]
fn what_is_out_of_range_is_named_with_what_it_must_be() {
    let nanos = "a whole number of nanoseconds, 0 or more";
    let above = "a whole number of nanoseconds above 0";
    for (place, value, told) in [
        (
            "/balancers",
            json!(0),
            "balancers: is 0; it must be 1 at least; 0 says that there are no gateways".into(),
        ),
        (
            "/balancers",
            json!(1u64 << 32),
            "balancers: is 4294967296; it must be a whole number from 0 to 4294967295".into(),
        ),
        ("/me", json!(-1), "me: is -1; it must be a whole number from 0 to 4294967295".into()),
        ("/registryMode", json!("pull"), "registryMode: is \"pull\"; it must be \"push\" or \"ask\"".into()),
        ("/classes", json!([]), "classes: is []; it must be a list with one class of call at least".into()),
        (
            "/classes/0/name",
            json!(""),
            "classes[0].name: is \"\"; it must be a name with one character at least".into(),
        ),
        ("/classes/0/onTimeNs", json!(-5), format!("classes[0].onTimeNs: is -5; it must be {nanos}")),
        ("/classes/0/onTimeNs", json!(1.5), format!("classes[0].onTimeNs: is 1.5; it must be {nanos}")),
        ("/classes/0/onTimeNs", json!(0), format!("classes[0].onTimeNs: is 0; it must be {above}")),
        ("/classes/0/hardLimitNs", json!(0), format!("classes[0].hardLimitNs: is 0; it must be {above}")),
        ("/classes/0/points", json!(-1), "classes[0].points: is -1; it must be a number, 0 or more".into()),
        (
            "/classes/0/lateShare",
            json!(-0.5),
            "classes[0].lateShare: is -0.5; it must be a number, 0 or more".into(),
        ),
        (
            "/classes/1/group",
            json!("rack"),
            "classes[1].group: is \"rack\"; it must be \"all\", \"zone\" or \"cell\"".into(),
        ),
        (
            "/parties/0/name",
            json!(""),
            "parties[0].name: is \"\"; it must be a name with one character at least".into(),
        ),
        (
            "/parties/0/quotaPerS",
            json!(-3),
            "parties[0].quotaPerS: is -3; it must be a number, 0 or more".into(),
        ),
        ("/overShareWorth", json!(-0.1), "overShareWorth: is -0.1; it must be a number, 0 or more".into()),
        (
            "/contract/coldFrom",
            json!(1.01),
            "contract.coldFrom: is 1.01; it must be a share from 0 to 1".into(),
        ),
        (
            "/contract/coldFrom",
            json!(-0.1),
            "contract.coldFrom: is -0.1; it must be a share from 0 to 1".into(),
        ),
        (
            "/contract/fallMultiple",
            json!(-2),
            "contract.fallMultiple: is -2; it must be a number, 0 or more".into(),
        ),
        ("/contract/drainGraceNs", json!(-1), format!("contract.drainGraceNs: is -1; it must be {nanos}")),
        (
            "/familyInfo/topology",
            json!("star"),
            "familyInfo.topology: is \"star\"; it must be \"pools\" or \"mesh\"".into(),
        ),
        (
            "/policyLimits/maxAttempts",
            json!(-1),
            "policyLimits.maxAttempts: is -1; it must be a whole number, 0 or more".into(),
        ),
        (
            "/policyLimits/multiplex",
            json!(0.5),
            "policyLimits.multiplex: is 0.5; it must be a whole number, 0 or more".into(),
        ),
    ] {
        let boot = with(full(), place, value);
        assert_eq!(said(&boot), told);
        let error = settings(&boot).err().or_else(|| connection_settings(&boot).err());
        assert!(matches!(error, Some(BootInfoError::OutOfRange { .. })), "{error:?}");
    }
}

#[test]
fn what_contradicts_another_setting_is_named_with_it_and_a_way_out() {
    for (place, value, told) in [
        (
            "/me",
            json!(9),
            "me: is 9, and balancers is 9; number the gateways from 0, so that me is below balancers",
        ),
        (
            "/classes/2/name",
            json!("boarding"),
            "classes[2].name: is \"boarding\", as classes[0].name is; give each its own name",
        ),
        (
            "/parties/1/name",
            json!("blue"),
            "parties[1].name: is \"blue\", as parties[0].name is; give each its own name",
        ),
        (
            "/classes/0/onTimeNs",
            json!(3_000_000_001u64),
            "classes[0].onTimeNs: is 3000000001, and hardLimitNs is 3000000000: nobody waits that long; \
             set it to hardLimitNs at the most",
        ),
        (
            "/contract/fallMultiple",
            json!(0),
            "contract.fallMultiple: is 0, and coldNs says that core switches start cold: none could ever be sent a call; \
             set it above 0, or coldNs to 0",
        ),
        (
            "/familyInfo/topology",
            json!("mesh"),
            "familyInfo.homeNo: is -1, and topology is \"mesh\", where each gateway has an exchange; \
             set it to the own exchange's number",
        ),
        (
            "/familyInfo/skilledPools",
            json!([[0], [1]]),
            "familyInfo.skilledPools: is [[0],[1]], which is 2 of the 3 lists that the classes need; \
             give one list of pools for each class, or none at all",
        ),
    ] {
        let boot = with(full(), place, value);
        assert_eq!(said(&boot), told);
        assert!(matches!(settings(&boot), Err(BootInfoError::Conflict { .. })));
    }
}

#[test]
fn a_long_or_many_lined_value_is_shown_short_and_on_one_line() {
    let told = said(&with(full(), "/contract", json!("é\n".repeat(500))));
    assert!(
        told.starts_with("contract: is \"é\\né") && told.ends_with("...; it must be an object"),
        "{told}"
    );
    assert!(told.lines().count() == 1 && told.chars().count() < 110, "{told}");
}
