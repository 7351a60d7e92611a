//! Texts of faults. Publishers receive them in responses and operators read them in logs, so they are part of the wire
//! format and must not change.

use config_distribution::document::Scope;
use config_distribution::effective::parse_settings;
use config_distribution::fault::{Fault, FormFault, JsonError, join};
use serde_json::{Value, json};

fn form_faults(body: &str) -> Vec<FormFault> {
    parse_settings(&Scope::Fleet, body).expect_err("faults")
}

#[test]
fn form_faults_name_the_document_and_the_path() {
    let texts = [
        ("[]", "fleet: expected an object"),
        ("{", "fleet: EOF while parsing an object at line 1 column 1"),
        ("{}", "fleet: settings: missing"),
        ("{\"settings\":1}", "fleet: settings: expected an object"),
        ("{\"more\":1,\"settings\":{}}", "fleet: more: expected nothing but settings"),
        (
            "{\"settings\":{\"zone\":1}}",
            "fleet: settings.zone: a document may only hold lanes, projects, overShareWorth, caps, rules, prices, balancers",
        ),
        (
            "{\"more\":1,\"settings\":[]}",
            "fleet: more: expected nothing but settings; fleet: settings: expected an object",
        ),
    ];
    for (body, text) in texts {
        assert_eq!(join(&form_faults(body)), text, "body {body}");
    }
}

#[test]
fn publication_faults_have_fixed_texts() {
    assert_eq!(Fault::RequestId { bytes: 0 }.to_string(), "request id: expected 1 to 128 bytes, got 0");
    let scope = "service/api".parse().expect("a valid scope");
    let nothing = Fault::NothingToWithdraw { scope };
    assert_eq!(nothing.to_string(), "service/api: there is no document to withdraw");
    let error = serde_json::from_str::<Value>("[1,").expect_err("invalid JSON");
    let text = error.to_string();
    let error = JsonError::from(error);
    assert_eq!((error.line, error.column), (1, 3));
    assert_eq!(Fault::Json(error).to_string(), text);
}

#[test]
fn settings_faults_have_the_texts_of_the_check_and_count_unlisted_ones() {
    let lanes: Vec<Value> = (0..200).map(|number| json!({ "name": number })).collect();
    let faults = balancer_settings::check_document(&json!({ "lanes": lanes })).expect_err("faults");
    assert!(faults.unlisted() > 0);
    let texts: Vec<String> = Fault::of_settings(&faults).iter().map(Fault::to_string).collect();
    assert_eq!(texts, faults.messages());
    let one = balancer_settings::check_document(&json!({ "lanes": 1 })).expect_err("a fault");
    assert_eq!(join(&Fault::of_settings(&one)), one.messages().join("; "));
}
