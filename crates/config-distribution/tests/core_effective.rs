//! Effective settings: documents are applied as JSON merge patches over a process's own settings, the narrowest scope
//! last, and every fault is reported with its scope and path.

use config_distribution::document::{Document, Scope};
use config_distribution::effective::effective;
use serde_json::{Value, json};

fn document(scope: &str, settings: &Value) -> Document {
    let body = json!({ "settings": settings }).to_string();
    Document::new(scope.parse().expect("a valid scope"), 1, body.into())
}

#[test]
fn rfc_7396_examples_hold() {
    // Examples of appendix A of RFC 7396, without those whose whole patch is null: below a key such a patch removes the
    // key.
    let examples = json!([
        [{"a":"b"}, {"a":"c"}, {"a":"c"}],
        [{"a":"b"}, {"b":"c"}, {"a":"b", "b":"c"}],
        [{"a":"b"}, {"a":null}, {}],
        [{"a":"b", "b":"c"}, {"a":null}, {"b":"c"}],
        [{"a":["b"]}, {"a":"c"}, {"a":"c"}],
        [{"a":"c"}, {"a":["b"]}, {"a":["b"]}],
        [{"a": {"b": "c"}}, {"a": {"b": "d", "c": null}}, {"a": {"b": "d"}}],
        [{"a": [{"b":"c"}]}, {"a": [1]}, {"a": [1]}],
        [["a","b"], ["c","d"], ["c","d"]],
        [{"a":"b"}, ["c"], ["c"]],
        [{"a":"foo"}, "bar", "bar"],
        [{"e":null}, {"a":1}, {"e":null, "a":1}],
        [[1,2], {"a":"b", "c":null}, {"a":"b"}],
        [{}, {"a":{"bb":{"ccc":null}}}, {"a":{"bb":{}}}]
    ]);
    for example in examples.as_array().expect("an array") {
        let own = json!({ "caps": example[0], "zone": "a" });
        let document = document("fleet", &json!({ "caps": example[1] }));
        let expected = json!({ "caps": example[2], "zone": "a" });
        assert_eq!(effective(&own, [Some(&document), None, None]), Ok(expected), "example {example}");
    }
    let gone = document("fleet", &json!({ "caps": null }));
    assert_eq!(
        effective(&json!({"caps": 1, "zone": "a"}), [Some(&gone), None, None]),
        Ok(json!({"zone": "a"}))
    );
}

#[test]
fn narrower_scopes_override_wider_ones() {
    let own = json!({ "zone": "a", "rules": {"x": 0, "y": 0, "z": 0, "own": 0} });
    let fleet = document("fleet", &json!({ "rules": {"x": 1, "y": 1, "z": 1} }));
    let region = document("region/north", &json!({ "rules": {"y": 2, "z": 2}, "balancers": 3 }));
    let service = document("service/api", &json!({ "rules": {"z": 3} }));
    let all = effective(&own, [Some(&fleet), Some(&region), Some(&service)]);
    let rules = json!({"x": 1, "y": 2, "z": 3, "own": 0});
    assert_eq!(all, Ok(json!({ "zone": "a", "rules": rules, "balancers": 3 })));
    assert_eq!(effective(&own, [None, None, None]), Ok(own.clone()));
    let withdrawn = Document::new(Scope::Fleet, 2, "null".into());
    assert_eq!(effective(&own, [Some(&withdrawn), None, None]), Ok(own));
}

#[test]
fn all_faults_of_all_documents_are_reported_with_their_path() {
    let own = json!({ "zone": "a", "me": 1 });
    let fleet = document("fleet", &json!({ "zone": "b", "me": null, "caps": {} }));
    let region = Document::new(
        "region/north".parse().expect("a valid scope"),
        1,
        "{\"more\":1,\"settings\":[]}".into(),
    );
    let service = Document::new("service/api".parse().expect("a valid scope"), 1, "{\"settings\":".into());
    let faults = effective(&own, [Some(&fleet), Some(&region), Some(&service)]).expect_err("faults");
    let starts = [
        "fleet: settings.me: ",
        "fleet: settings.zone: ",
        "region/north: more: ",
        "region/north: settings: ",
        "service/api: ",
    ];
    assert_eq!(faults.len(), starts.len(), "unexpected number of faults: {faults:?}");
    assert!(
        starts.iter().all(|start| faults.iter().any(|fault| fault.to_string().starts_with(start))),
        "expected one fault that starts with each of {starts:?}, got {faults:?}"
    );
}

#[test]
fn too_deeply_nested_body_is_a_fault() {
    let deep = format!("{{\"settings\":{{\"caps\":{}{}}}}}", "[".repeat(5000), "]".repeat(5000));
    let document = Document::new(Scope::Fleet, 1, deep.into());
    assert!(effective(&json!({}), [Some(&document), None, None]).is_err());
}
