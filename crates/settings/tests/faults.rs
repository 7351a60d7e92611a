//! Tests of faults as values: their path, the expected value and the value found.

use balancer_settings::{Fault, Found, check, check_document};
use serde_json::json;

#[test]
fn fault_holds_path_expected_and_found() {
    let faults =
        check_document(&json!({"caps": {"tryLimit": 0}})).expect_err("a limit of 0 attempts is a fault");
    let fault = Fault {
        path: "settings.caps.tryLimit".to_owned(),
        expected: "a whole number from 1 to 4294967295".to_owned(),
        found: Found::Value("0".to_owned()),
    };
    assert_eq!(faults.listed(), [fault]);
    assert_eq!(faults.unlisted(), 0);
}

#[test]
fn missing_and_unknown_keys_are_distinguished() {
    let faults = check_document(&json!({"projects": [{}], "strange": 1})).expect_err("two faults");
    let found: Vec<(&str, &Found)> =
        faults.listed().iter().map(|fault| (fault.path.as_str(), &fault.found)).collect();
    assert_eq!(
        found,
        [("settings.projects[0].name", &Found::Missing), ("settings.strange", &Found::UnknownKey)]
    );
}

#[test]
fn faults_are_displayed_on_one_line() {
    let faults = check_document(&json!({"balancers": 0, "strange": 1})).expect_err("two faults");
    assert_eq!(
        faults.to_string(),
        "settings.balancers: expected a whole number from 1 to 4294967295, found 0; settings.strange: not known, \
         expected one of lanes, projects, overShareWorth, caps, rules, prices, balancers"
    );
}

#[test]
fn faults_beyond_the_limit_are_counted() {
    let projects = vec![json!({}); 130];
    let faults = check(&json!({"projects": projects}))
        .expect_err("130 tenants have no name, and required keys are missing");
    assert_eq!(faults.listed().len(), 100);
    assert!(faults.unlisted() >= 30, "{}", faults.unlisted());
    assert_eq!(faults.messages().last(), Some(&format!("and {} more", faults.unlisted())));
}
