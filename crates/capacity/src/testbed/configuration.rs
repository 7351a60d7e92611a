//! The configuration of a balancer under test, as the plan has it, and the documents by which it is changed.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::plan::Plan;

/// The settings, as the plan has them, of a balancer that is one of `replicas` replicas.
#[must_use]
pub fn settings(plan: &Plan, replicas: usize) -> Value {
    let (latency_objective, deadline) = (plan.traffic.aim_s.value, plan.traffic.deadline_s.value);
    let tenants: Vec<Value> =
        (0..plan.traffic.tenants.value).map(|number| json!({"name": format!("t{number}")})).collect();
    json!({
        "balancers": replicas.max(1), "me": 0, "tier": 1, "zone": "north-1", "zones": ["north-1"],
        "kinds": ["std"],
        "lanes": [
            {"name": "read", "onTimeS": latency_objective, "hardLimitS": deadline, "effect": "idempotent"},
            {"name": "pay", "onTimeS": latency_objective, "hardLimitS": deadline, "effect": "deduplicated",
             "dedupScope": "cell", "windowS": 10.0},
            {"name": "order", "onTimeS": latency_objective, "hardLimitS": deadline, "effect": "at_most_once"}],
        "projects": tenants, "overShareWorth": 0.1, "discovery": "subscribe",
        "caps": {"tryLimit": plan.traffic.attempts.value, "secondCopies": false, "cancel": true,
                 "retryAfter": true, "maxRetryAfterS": 1.5, "keepaliveS": 30.0, "multiplex": 1,
                 "dialTimeoutS": 0.25},
        "rules": {"answerSlackS": 0.02, "askWithinS": 10.0, "coldShare": 0.2, "coldS": 10.0,
                  "drainGraceS": 1.0, "fallMultiple": 3.0, "overloadForS": 2.0}})
}

/// The configuration of a balancer that starts with the endpoint list `known` and watches it at `discovery`.
#[must_use]
pub fn configuration(name: &str, discovery: SocketAddr, known: &[Value], settings: &Value) -> Value {
    json!({"name": name, "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f",
           "limits": {"sockets": 1024},
           "known": {"index": 1, "snapshot": true, "endpoints": known}, "settings": settings})
}

/// The scope and the document of the configuration change with this number. Successive numbers go through the scopes
/// and the kinds of settings in turn.
#[must_use]
pub fn configuration_change(plan: &Plan, number: usize) -> (&'static str, Value) {
    let step = (number / 5 % 10) as f64;
    let (scope, settings) = match number % 5 {
        0 => ("service/api", json!({"rules": {"coldShare": 0.2 + step / 100.0}})),
        1 => ("fleet", json!({"caps": {"tryLimit": 2 + number / 5 % 2}})),
        2 => ("region/north", json!({"prices": {"waste": step / 100.0}})),
        3 => {
            let mut classes = settings(plan, 1)["lanes"].take();
            classes[0]["onTimeS"] = json!(plan.traffic.aim_s.value * (1.0 - step / 100.0));
            ("service/api", json!({"lanes": classes}))
        }
        _ => {
            let mut tenants = settings(plan, 1)["projects"].take();
            tenants[number % plan.traffic.tenants.value]["quotaPerS"] = json!(20_000.0 + step);
            ("service/api", json!({"projects": tenants}))
        }
    };
    (scope, json!({"settings": settings}))
}
