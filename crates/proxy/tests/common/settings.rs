//! Configurations and settings for the tests.

use std::net::SocketAddr;

use balancer_proxy::config::Config;
use serde_json::{Value, json};

use super::Upstream;

/// Creates the entry of an endpoint in a list of discovery.
pub fn endpoint(name: &str, address: SocketAddr, group: u32, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "north", "type": "std", "group": group,
           "status": status, "weight": 1.0, "since_ms": 0})
}

/// Creates the entries `s-0`, `s-1` and so on of these upstreams, all with the status `ready` and each in its own
/// group.
pub fn endpoints_in_own_groups(upstreams: &[Upstream]) -> Vec<Value> {
    (0..)
        .zip(upstreams)
        .map(|(number, upstream)| endpoint(&format!("s-{number}"), upstream.address, number, "ready"))
        .collect()
}

/// Creates settings with three classes, which all have a latency objective of `latency_objective` seconds.
pub fn settings(latency_objective: f64) -> Value {
    json!({
        "balancers": 1, "me": 0, "tier": 0, "zone": "north", "zones": ["north"], "kinds": ["std"],
        "lanes": [
            {"name": "read", "onTimeS": latency_objective, "hardLimitS": 60.0, "effect": "idempotent"},
            {"name": "pay", "onTimeS": latency_objective, "hardLimitS": 60.0, "effect": "deduplicated",
             "dedupScope": "cell", "windowS": 10.0},
            {"name": "order", "onTimeS": latency_objective, "hardLimitS": 60.0, "effect": "at_most_once"}],
        "projects": [{"name": "acme"}], "overShareWorth": 0.1, "discovery": "subscribe",
        "caps": {"tryLimit": 3, "secondCopies": false, "cancel": true, "retryAfter": true,
                 "maxRetryAfterS": 1.5, "keepaliveS": 15.0, "multiplex": 1, "dialTimeoutS": 5.0},
        "rules": {"answerSlackS": 0.02, "askWithinS": 10.0, "coldShare": 0.2, "coldS": 10.0,
                  "drainGraceS": 1.0, "fallMultiple": 3.0, "overloadForS": 2.0}})
}

/// Creates the text of a configuration with `known` as its initial list of endpoints and a limit of `sockets` sockets.
pub fn configuration(
    discovery: SocketAddr,
    known: &[Value],
    latency_objective: f64,
    sockets: usize,
) -> String {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f",
           "limits": {"sockets": sockets},
           "known": {"index": 7, "snapshot": true, "endpoints": known}, "settings": settings(latency_objective)})
    .to_string()
}

/// Sets the memory limit of a configuration, in MB.
pub fn with_memory_limit(configuration: &str, megabytes: u32) -> String {
    let without = "\"limits\":{";
    assert!(configuration.contains(without), "expected {without} in {configuration}");
    configuration.replace(without, &format!("{without}\"memory_mb\":{megabytes},"))
}

/// Replaces the connect time-out in a configuration.
pub fn with_dial_timeout(configuration: &str, seconds: f64) -> String {
    let default = "\"dialTimeoutS\":5.0";
    assert!(configuration.contains(default), "expected {default} in {configuration}");
    configuration.replace(default, &format!("\"dialTimeoutS\":{seconds:?}"))
}

/// Replaces the deadline of all classes in a configuration.
pub fn with_deadline(configuration: &str, seconds: f64) -> String {
    let default = "\"hardLimitS\":60.0";
    assert!(configuration.contains(default), "expected {default} in {configuration}");
    configuration.replace(default, &format!("\"hardLimitS\":{seconds:?}"))
}

/// Parses the text of a configuration.
pub fn parsed(configuration: &str) -> Config {
    Config::parse(configuration, |_| None).expect("a valid configuration")
}
