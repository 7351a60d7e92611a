//! Tests of the settings checks: which complete settings and which document settings are valid, and that all
//! faults are reported together.

use balancer_settings::read;
use serde_json::{Value, json};

/// Returns the fault messages of a complete settings object.
fn check(settings: &Value) -> Vec<String> {
    balancer_settings::check(settings).map_or_else(|faults| faults.messages(), |()| Vec::new())
}

/// Returns the fault messages of the settings of a distributed document.
fn check_document(settings: &Value) -> Vec<String> {
    balancer_settings::check_document(settings).map_or_else(|faults| faults.messages(), |()| Vec::new())
}

fn full_settings() -> Value {
    json!({
        "balancers": 3, "me": 0, "tier": 0, "zone": "north", "zones": ["north", "south"], "kinds": ["std"],
        "lanes": [
            {"name": "read", "onTimeS": 1, "hardLimitS": 3.0, "lateWorth": 0.2, "effect": "idempotent"},
            {"name": "pay", "onTimeS": 1, "hardLimitS": 3, "effect": "deduplicated", "dedupScope": "cell", "windowS": 5},
            {"name": "order", "onTimeS": 1, "hardLimitS": 3, "effect": "at_most_once", "dedupScope": null}],
        "projects": [{"name": "acme", "quotaPerS": 50}, {"name": "zeta", "quotaPerS": null}],
        "overShareWorth": 0.1, "discovery": "subscribe", "familyInfo": {"passesDeadline": true},
        "loadInfo": {"fields": ["active", "cpu"]},
        "caps": {"tryLimit": 3, "secondCopies": false, "cancel": true, "retryAfter": true, "maxRetryAfterS": 2,
                 "keepaliveS": 15, "multiplex": 4, "dialTimeoutS": 0.25},
        "rules": {"answerSlackS": 0.02, "drainGraceS": 1, "askWithinS": null, "coldS": 20, "coldShare": 0.2,
                  "fallMultiple": 3, "overloadForS": 2},
        "prices": {"crossZone": 0.02, "waste": 0.1, "lateFail": 0, "handshake": 0, "probe": 0}})
}

/// Returns the settings with the value at a JSON pointer replaced, or removed if `value` is `None`.
fn with_value(mut settings: Value, path: &str, value: Option<Value>) -> Value {
    let (parent, key) = path.rsplit_once('/').expect("a JSON pointer");
    match (settings.pointer_mut(parent).expect("the parent exists"), value) {
        (Value::Object(object), Some(value)) => drop(object.insert(key.to_owned(), value)),
        (Value::Object(object), None) => drop(object.remove(key)),
        (Value::Array(list), Some(value)) => list[key.parse::<usize>().expect("a list index")] = value,
        (other, _) => panic!("{path} in {other}"),
    }
    settings
}

fn document_settings() -> Value {
    let mut document_settings = full_settings();
    let per_balancer_keys = ["me", "tier", "zone", "zones", "kinds", "discovery", "familyInfo", "loadInfo"];
    for key in per_balancer_keys {
        document_settings.as_object_mut().expect("an object").remove(key);
    }
    document_settings
}

#[test]
fn valid_settings_have_no_faults() {
    assert_eq!(check(&full_settings()), Vec::<String>::new());
    assert!(read(&full_settings().to_string()).is_ok());
    // Unknown keys are ignored, because the platform may add keys.
    let more = with_value(
        with_value(full_settings(), "/future", Some(json!({"a": [1]}))),
        "/lanes/0/stream",
        Some(json!(true)),
    );
    assert_eq!(check(&more), Vec::<String>::new());
    for key in ["tier", "kinds", "projects", "overShareWorth", "familyInfo", "loadInfo", "prices"] {
        assert_eq!(
            check(&with_value(full_settings(), &format!("/{key}"), None)),
            Vec::<String>::new(),
            "{key}"
        );
    }
}

#[test]
fn document_settings_may_be_partial() {
    for text in [
        "{}",
        r#"{"balancers": 4}"#,
        r#"{"projects": []}"#,
        r#"{"caps": {"tryLimit": 2}}"#,
        r#"{"rules": {"coldS": 5}, "prices": {"waste": 0.2}}"#,
        // Null removes the key, so that the default applies again.
        r#"{"prices": null, "caps": {"dialTimeoutS": null}, "rules": {"askWithinS": null}, "overShareWorth": null}"#,
    ] {
        let document_settings: Value = serde_json::from_str(text).expect("JSON");
        assert_eq!(check_document(&document_settings), Vec::<String>::new(), "{text}");
    }
    assert_eq!(check_document(&document_settings()), Vec::<String>::new());
}

/// Cases with one fault each: JSON pointer, invalid value, and the beginning of the expected fault message.
fn single_faults() -> Vec<(&'static str, Value, &'static str)> {
    vec![
        (
            "/lanes/2/onTimeS",
            json!(-1),
            "settings.lanes[2].onTimeS: expected a number from 0.000001 to 1000000000, found -1",
        ),
        (
            "/lanes/2/onTimeS",
            json!(4),
            "settings.lanes[2].onTimeS: expected no more than hardLimitS, 3, found 4",
        ),
        ("/lanes/0/onTimeS", json!("1"), "settings.lanes[0].onTimeS: expected a number from 0.000001"),
        ("/lanes/0/hardLimitS", json!(1e18), "settings.lanes[0].hardLimitS: expected"),
        (
            "/lanes/1/effect",
            json!("safe"),
            "settings.lanes[1].effect: expected one of idempotent, deduplicated, at_most_once",
        ),
        (
            "/lanes/1/dedupScope",
            json!(null),
            "settings.lanes[1].dedupScope: missing, expected all, zone or cell",
        ),
        (
            "/lanes/1/dedupScope",
            json!("rack"),
            "settings.lanes[1].dedupScope: expected one of all, zone, cell",
        ),
        ("/lanes/1/windowS", json!(-2), "settings.lanes[1].windowS: expected"),
        (
            "/lanes/1/name",
            json!("read"),
            "settings.lanes[1].name: expected a name of its own, found \"read\"",
        ),
        ("/lanes/1/name", json!(""), "settings.lanes[1].name: expected a text that is not empty"),
        ("/lanes/1", json!(7), "settings.lanes[1]: expected an object, found 7"),
        ("/lanes", json!([]), "settings.lanes: expected a list of 1 to 1000"),
        ("/lanes", json!({"0": 1}), "settings.lanes: expected a list"),
        ("/lanes/0/lateWorth", json!(1.5), "settings.lanes[0].lateWorth: expected a number from 0 to 1"),
        ("/projects/1/name", json!("acme"), "settings.projects[1].name: expected a name of its own"),
        ("/projects/0/quotaPerS", json!(-3), "settings.projects[0].quotaPerS: expected"),
        ("/projects/0/quotaPerS", json!("many"), "settings.projects[0].quotaPerS: expected"),
        ("/overShareWorth", json!(1.1), "settings.overShareWorth: expected"),
        ("/balancers", json!(0), "settings.balancers: expected a whole number from 1"),
        ("/balancers", json!(2.5), "settings.balancers: expected a whole number"),
        ("/balancers", json!(5_000_000_000_u64), "settings.balancers: expected a whole number"),
        ("/caps", json!([]), "settings.caps: expected an object, found []"),
        ("/caps/tryLimit", json!(0), "settings.caps.tryLimit: expected a whole number from 1"),
        ("/caps/cancel", json!(1), "settings.caps.cancel: expected true or false, found 1"),
        ("/caps/multiplex", json!(0), "settings.caps.multiplex: expected"),
        ("/caps/keepaliveS", json!(0), "settings.caps.keepaliveS: expected"),
        ("/caps/dialTimeoutS", json!(-0.5), "settings.caps.dialTimeoutS: expected"),
        ("/rules/coldShare", json!(0), "settings.rules.coldShare: expected a number above 0, up to 1"),
        ("/rules/fallMultiple", json!(2e6), "settings.rules.fallMultiple: expected"),
        ("/rules/askWithinS", json!(true), "settings.rules.askWithinS: expected"),
        ("/prices/waste", json!(-0.1), "settings.prices.waste: expected a number from 0 to 1000000"),
    ]
}

/// Each fault is reported with its path, and no valid value is reported along with it.
#[test]
fn each_fault_is_reported_with_its_path() {
    for (path, value, fault) in &single_faults() {
        for (settings, check) in
            [(full_settings(), check as fn(&Value) -> Vec<String>), (document_settings(), check_document)]
        {
            let reported = check(&with_value(settings, path, Some(value.clone())));
            assert_eq!(reported.len(), 1, "{path}: {reported:?}");
            assert!(reported[0].starts_with(fault), "{reported:?} does not begin with {fault}");
        }
    }
}

/// If settings have several faults, one check reports all of them, each exactly once.
#[test]
fn several_faults_are_reported_together() {
    let faults = single_faults();
    let all = [0, 3, 9, 17, 22, 27].map(|number: usize| &faults[number]);
    let broken = all
        .iter()
        .fold(full_settings(), |settings, (path, value, _)| with_value(settings, path, Some(value.clone())));
    let reported = check(&broken);
    assert_eq!(reported.len(), all.len(), "{reported:?}");
    for (_, _, fault) in all {
        assert!(reported.iter().any(|reported| reported.starts_with(fault)), "{fault} in {reported:?}");
    }
}

/// Misspelt keys, and keys that are specific to each balancer, would otherwise be ignored silently in a document.
#[test]
fn document_settings_with_unknown_keys_are_refused() {
    for (path, reported) in [
        ("/zone", "settings.zone: not known, expected one of lanes, projects, overShareWorth, caps"),
        ("/me", "settings.me: not known"),
        ("/discovery", "settings.discovery: not known"),
        ("/lanes/0/onTimes", "settings.lanes[0].onTimes: not known, expected one of name, onTimeS"),
        ("/projects/1/portion", "settings.projects[1].portion: not known"),
        ("/caps/trylimit", "settings.caps.trylimit: not known"),
        ("/rules/cold", "settings.rules.cold: not known"),
        ("/prices/x", "settings.prices.x: not known"),
    ] {
        let faults = check_document(&with_value(document_settings(), path, Some(json!(1))));
        assert_eq!(faults.len(), 1, "{path}: {faults:?}");
        assert!(faults[0].starts_with(reported), "{faults:?} does not begin with {reported}");
    }
    // Null cannot remove a required key.
    for key in ["lanes", "caps", "rules", "balancers"] {
        let faults = check_document(&json!({key: null}));
        assert_eq!(faults.len(), 1, "{key}: {faults:?}");
    }
    assert_eq!(check_document(&json!({"caps": {"tryLimit": null}})).len(), 1);
    // A quota of 0 would be treated as no quota, although it looks like a limit of 0 requests.
    assert_eq!(check_document(&json!({"projects": [{"name": "a", "quotaPerS": 0}]})).len(), 1);
    assert!(check(&with_value(full_settings(), "/projects/0/quotaPerS", Some(json!(0)))).is_empty());
}

#[test]
fn missing_keys_are_reported() {
    for path in [
        "/balancers",
        "/me",
        "/zone",
        "/zones",
        "/discovery",
        "/lanes",
        "/caps",
        "/rules",
        "/caps/tryLimit",
        "/rules/coldShare",
        "/rules/coldS",
        "/rules/fallMultiple",
        "/rules/overloadForS",
        "/lanes/0/name",
        "/lanes/0/onTimeS",
        "/lanes/0/hardLimitS",
        "/lanes/0/effect",
        "/projects/0/name",
    ] {
        let settings = with_value(full_settings(), path, None);
        let reported = check(&settings);
        assert_eq!(reported.len(), 1, "{path}: {reported:?}");
        assert!(reported[0].contains(": missing, expected "), "{reported:?}");
        assert!(read(&settings.to_string()).is_err(), "{path}");
    }
    assert_eq!(check(&with_value(full_settings(), "/zone", Some(json!("west")))).len(), 1);
}

/// Malformed settings are refused, and the number and the size of the reported faults are limited.
#[test]
fn malformed_input_yields_a_bounded_number_of_faults() {
    for garbage in [json!(null), json!(3), json!("settings"), json!([full_settings()])] {
        assert_eq!(check(&garbage).len(), 1);
        assert_eq!(check_document(&garbage).len(), 1);
    }
    assert!(!check(&json!({})).is_empty());
    let lanes = vec![json!({"name": 1, "x": "y".repeat(10_000)}); 1000];
    let reported = check_document(&json!({"lanes": lanes}));
    assert_eq!(reported.len(), 101);
    assert!(
        reported.iter().all(|fault| fault.len() < 300),
        "{:?}",
        reported.iter().max_by_key(|fault| fault.len())
    );
    assert!(reported[100].ends_with(" more"));
    assert_eq!(check_document(&json!({"projects": vec![json!({"name": "a"}); 10_001]})).len(), 1);
}

/// A balancer applies all settings that pass the check. So for every value at every path, settings without a fault
/// must be readable and pass the validation of the policy.
#[test]
fn settings_without_faults_can_be_read_and_validated() {
    let values = [
        json!(null),
        json!(true),
        json!(0),
        json!(-1),
        json!(1),
        json!(0.5),
        json!(1e-12),
        json!(1e300),
        json!(7),
        json!(""),
        json!("cell"),
        json!("idempotent"),
        json!("deduplicated"),
        json!("north"),
        json!([]),
        json!({}),
        json!([1]),
        json!(["north"]),
        json!(u64::MAX),
        json!(4_294_967_296_u64),
    ];
    let mut paths = vec![String::new()];
    let mut accepted = 0;
    let mut next = 0;
    while let Some(path) = paths.get(next).cloned() {
        next += 1;
        match full_settings().pointer(&path).expect("the path exists") {
            Value::Object(object) => paths.extend(object.keys().map(|key| format!("{path}/{key}"))),
            Value::Array(list) => paths.extend((0..list.len()).map(|number| format!("{path}/{number}"))),
            _ => {}
        }
        if path.is_empty() {
            continue;
        }
        for value in &values {
            let settings = with_value(full_settings(), &path, Some(value.clone()));
            let faults = check(&settings);
            let loaded = read(&settings.to_string());
            let usable = loaded.as_ref().is_ok_and(|loaded| loaded.settings.validate().is_ok());
            assert!(usable || !faults.is_empty(), "{path} {value}: {loaded:?}");
            accepted += u32::from(faults.is_empty());
        }
    }
    assert!(accepted > 100, "{accepted}");
}
