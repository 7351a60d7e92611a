//! Changes of the settings of a running balancer that documents of a configuration parent make.

mod common;

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::ChildStderr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use serde_json::{Value, json};

/// The classes of the configuration file with the latency objective `objective` in seconds, followed by `more`.
fn classes(objective: f64, more: &[Value]) -> Value {
    let mut classes = settings(objective)["lanes"].clone();
    classes.as_array_mut().expect("the value is a list").extend_from_slice(more);
    classes
}

/// A class that the configuration file does not have.
fn new_class(name: &str) -> Value {
    json!({"name": name, "onTimeS": 30.0, "hardLimitS": 60.0, "effect": "at_most_once"})
}

/// Starts an upstream that answers with the body of the request.
fn start_echo_upstream() -> Upstream {
    Upstream::start(|_, message| ok(&String::from_utf8_lossy(&message.body)))
}

/// Starts a balancer that knows the endpoints `known` and watches the configuration `parents`.
fn start_with_parents(known: &[Value], parents: &[SocketAddr]) -> (Balancer, Discovery) {
    let discovery = Discovery::start();
    let text = with_parents(&configuration(discovery.address, known, 30.0, 1024), parents);
    (Balancer::start(&text), discovery)
}

/// Starts a balancer with these upstreams and one parent that has no documents yet. Returns the balancer, its
/// discovery, the parent and the balancer's watch on the parent.
fn start_under_parent(upstreams: &[&Upstream]) -> (Balancer, Discovery, Parent, Watch) {
    let parent = Parent::start();
    let known: Vec<Value> = (1..)
        .zip(upstreams)
        .map(|(number, upstream)| endpoint(&format!("s-{number}"), upstream.address, 0, "ready"))
        .collect();
    let (balancer, discovery) = start_with_parents(&known, &[parent.address]);
    let (line, watch) = parent.watch();
    assert!(
        line.starts_with(
            "GET /configuration?follow=1&since=0&scopes=fleet,region/north,service/api&name=n0 "
        ),
        "unexpected request line of the watch: {line}"
    );
    watch.send_snapshot(0, Vec::new());
    parent.wait_version("fleet", 0);
    (balancer, discovery, parent, watch)
}

/// Guards requests during changes of the settings under load, 60 in quick succession: each request gets its own answer,
/// and none is lost or runs twice.
#[test]
fn sixty_changes_under_load_lose_no_request() {
    let (first, second) = (start_echo_upstream(), start_echo_upstream());
    let (balancer, _discovery, parent, watch) = start_under_parent(&[&first, &second]);
    let (finished, address) = (Arc::new(AtomicBool::new(false)), balancer.address);
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let finished = Arc::clone(&finished);
            thread::spawn(move || {
                let mut connection = Client::connect(address);
                let mut sent_bodies = Vec::new();
                while !finished.load(Ordering::Relaxed) {
                    let (class, body) =
                        (["order", "pay"][sent_bodies.len() % 2], format!("{client}-{}", sent_bodies.len()));
                    let answer = connection.ask(class, &body);
                    assert_eq!(
                        (answer.status(), answer.body),
                        (200, body.clone().into_bytes()),
                        "answer to class {class}"
                    );
                    sent_bodies.push(body);
                }
                sent_bodies
            })
        })
        .collect();
    for version in 1..=60 {
        // The changes add and remove classes and tenants and vary parameters of all kinds.
        let scope = ["fleet", "region/north", "service/api"][version as usize % 3];
        let objective = 20.0 + version as f64 / 10.0;
        let names: Vec<Value> =
            (0..version % 5).map(|number| new_class(&format!("extra-{version}-{number}"))).collect();
        let tenant = json!({"name": format!("t-{version}"), "quotaPerS": 5 * version});
        let change = json!({
            "lanes": classes(objective, &names), "projects": [tenant, {"name": "acme"}], "balancers": 1 + version % 3,
            "caps": {"tryLimit": 1 + version % 4, "keepaliveS": 5 + version % 7, "dialTimeoutS": 4.0},
            "prices": {"crossZone": 0.01 * version as f64}, "rules": {"coldS": version}});
        watch.send_delta(document(scope, version, &change));
    }
    watch.send_delta(document("service/api", 61, &json!({"lanes": classes(30.0, &[new_class("last")])})));
    parent.wait_version("service/api", 61);
    assert_eq!(balancer.client().ask("last", "the last").body, b"the last");
    finished.store(true, Ordering::Relaxed);
    let sent_bodies: Vec<String> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("each client gets its own answers"))
        .collect();
    assert!(sent_bodies.len() > 20, "expected more than 20 requests, got {}", sent_bodies.len());
    let mut run_counts: BTreeMap<Vec<u8>, u32> = BTreeMap::new();
    for (_, request) in first.requests().into_iter().chain(second.requests()) {
        *run_counts.entry(request.body).or_default() += 1;
    }
    for body in sent_bodies {
        assert_eq!(run_counts.get(body.as_bytes()), Some(&1), "number of times that request {body} ran");
    }
}

/// Starts an upstream that answers with the body of the request. If the body is `one`, it closes the connection without
/// an answer instead, as soon as `released` is set and the request has run for `run_time`.
fn start_breaking_upstream(run_time: Duration, released: &Arc<AtomicBool>) -> Upstream {
    let released = Arc::clone(released);
    Upstream::start(move |_, message| {
        if message.body != b"one" {
            return ok(&String::from_utf8_lossy(&message.body));
        }
        let started = Instant::now();
        wait_for("the request is released", || {
            (released.load(Ordering::Relaxed) && started.elapsed() >= run_time).then_some(())
        });
        Reply::Last(Vec::new())
    })
}

/// Guards requests that must not run twice against a change of their class: a request in flight keeps the rule under
/// which it was accepted, even if its class allows retries when its connection breaks. The next request of the class
/// may be retried.
#[test]
fn an_unsafe_request_in_flight_is_not_retried_after_its_class_changes() {
    let released = Arc::new(AtomicBool::new(false));
    let upstreams = [
        start_breaking_upstream(Duration::ZERO, &released),
        start_breaking_upstream(Duration::ZERO, &released),
    ];
    let (balancer, _discovery, parent, watch) = start_under_parent(&[&upstreams[0], &upstreams[1]]);
    let runs = || upstreams.iter().map(|upstream| upstream.count_of("one")).sum::<usize>();
    let mut client = balancer.client();
    client.send("order", "one");
    wait_for("the request runs", || (runs() == 1).then_some(()));
    let mut classes = classes(30.0, &[]);
    classes[2] = json!({"name": "order", "onTimeS": 30.0, "hardLimitS": 60.0, "effect": "deduplicated",
                      "dedupScope": "all", "windowS": 60.0});
    watch.send_delta(document("fleet", 1, &json!({"lanes": classes})));
    parent.wait_version("fleet", 1);
    released.store(true, Ordering::Relaxed);
    assert_eq!(client.answer().expect("the balancer answers").status(), 502);
    assert_eq!(runs(), 1);
    // Under the new settings the request is retried on the other upstream, and refused when that one fails too.
    assert_eq!(client.ask("order", "one").status(), 503);
    assert_eq!(runs(), 3);
}

/// Guards the deduplication of upstreams: the window of a request in flight is not extended by a change of the
/// settings, because the upstream may have forgotten its key by then.
#[test]
fn a_keyed_request_in_flight_keeps_its_deduplication_window() {
    let window = Duration::from_millis(300);
    let released = Arc::new(AtomicBool::new(false));
    let upstreams = [start_breaking_upstream(window, &released), start_breaking_upstream(window, &released)];
    let (balancer, _discovery, parent, watch) = start_under_parent(&[&upstreams[0], &upstreams[1]]);
    let runs = || upstreams.iter().map(|upstream| upstream.count_of("one")).sum::<usize>();
    let with_window = |seconds: f64| {
        let mut classes = classes(30.0, &[]);
        classes[1]["windowS"] = seconds.into();
        json!({"lanes": classes})
    };
    watch.send_delta(document("fleet", 1, &with_window(window.as_secs_f64())));
    parent.wait_version("fleet", 1);
    let mut client = balancer.client();
    client.send("pay", "one");
    wait_for("the request runs", || (runs() == 1).then_some(()));
    watch.send_delta(document("fleet", 2, &with_window(60.0)));
    parent.wait_version("fleet", 2);
    released.store(true, Ordering::Relaxed);
    assert_eq!(client.answer().expect("the balancer answers").status(), 502);
    assert_eq!(runs(), 1);
    assert_eq!(client.ask("pay", "one").status(), 502);
    assert_eq!(runs(), 3, "expected a retry on the other upstream within the new window");
}

/// Guards the settings in force against a document with faults: it changes nothing and is reported with its faults, the
/// last valid document stays in force, and documents of other scopes still take effect.
#[test]
fn a_bad_document_leaves_the_last_valid_one_in_force() {
    let upstream = start_echo_upstream();
    let (balancer, _discovery, parent, watch) = start_under_parent(&[&upstream]);
    let mut client = balancer.client();
    watch.send_delta(document("fleet", 1, &json!({"lanes": classes(30.0, &[new_class("good")])})));
    parent.wait_version("fleet", 1);
    assert_eq!(client.ask("good", "one").body, b"one");
    let mut classes = classes(30.0, &[new_class("worse")]);
    classes[0]["onTimeS"] = json!(-1);
    classes[3]["effect"] = json!("none");
    watch.send_delta(document("fleet", 2, &json!({"lanes": classes})));
    let report = parent.wait_report("a rejected document", |report| !report["refused"].is_null());
    let reason = report["refused"]["why"].as_str().expect("the report has a reason");
    assert!(
        reason.starts_with("settings.lanes[0].onTimeS: expected a number from 0.000001"),
        "unexpected reason: {reason}"
    );
    assert_eq!(report["refused"]["scope"], "fleet");
    assert_eq!(report["refused"]["version"], 2);
    assert_eq!(report["versions"], json!({"fleet": 1, "region/north": 0, "service/api": 0}));
    assert_eq!(client.ask("good", "two").body, b"two");
    // A document whose settings are invalid and a valid document are applied independently.
    watch.send_delta(document("region/north", 3, &json!({"zone": "south"})));
    let report =
        parent.wait_report("the document of the third version", |report| report["refused"]["version"] == 3);
    assert_eq!(report["refused"]["scope"], "region/north");
    watch.send_delta(document("service/api", 4, &json!({"projects": [{"name": "acme"}, {"name": "new"}]})));
    let report = parent.wait_version("service/api", 4);
    assert_eq!(report["versions"], json!({"fleet": 1, "region/north": 0, "service/api": 4}));
    assert_eq!(report["refused"]["version"], 3, "version of the rejected document that is still reported");
    watch.send_delta(document("fleet", 5, &json!({"lanes": self::classes(30.0, &[new_class("better")])})));
    watch.send_delta(document("region/north", 6, &json!({"overShareWorth": 0.2})));
    let report = parent.wait_version("region/north", 6);
    assert_eq!(report["versions"], json!({"fleet": 5, "region/north": 6, "service/api": 4}));
    assert_eq!(report.get("refused"), None);
    assert_eq!(client.ask("better", "three").body, b"three");
    // The class that was removed is unknown; the connection is closed after that answer.
    assert_eq!(client.ask("good", "four").status(), 400);
}

/// Guards the precedence of scopes: of two documents with the same setting the one of the narrower scope takes effect,
/// in whichever order they arrive, and when it is withdrawn the one of the wider scope takes effect again.
#[test]
fn of_two_overlapping_documents_the_narrower_scope_takes_precedence() {
    let upstream = start_echo_upstream();
    let wide = |version| document("fleet", version, &json!({"lanes": classes(30.0, &[new_class("wide")])}));
    let narrow =
        |version| document("service/api", version, &json!({"lanes": classes(30.0, &[new_class("narrow")])}));
    for documents in [[wide(1), narrow(2)], [narrow(1), wide(2)]] {
        let (balancer, _discovery, parent, watch) = start_under_parent(&[&upstream]);
        for document in documents.clone() {
            watch.send_delta(document);
        }
        parent.wait_report("documents of both scopes", |report| {
            report["versions"]["fleet"] != 0 && report["versions"]["service/api"] != 0
        });
        assert_eq!(balancer.client().ask("narrow", "one").status(), 200);
        assert_eq!(balancer.client().ask("wide", "one").status(), 400);
        watch.send_delta(document("service/api", 3, &Value::Null));
        parent.wait_version("service/api", 0);
        assert_eq!(balancer.client().ask("narrow", "two").status(), 400);
        assert_eq!(balancer.client().ask("wide", "two").status(), 200);
    }
}

/// Guards a balancer that starts while no configuration parent can be reached: it serves with the settings of its own
/// file.
#[test]
fn without_a_reachable_parent_the_file_applies() {
    let upstream = start_echo_upstream();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let (balancer, _discovery) = start_with_parents(&known, &[dead_address(), dead_address()]);
    wait_for("the balancer can serve", || (balancer.health() == 200).then_some(()));
    assert_eq!(balancer.client().ask("order", "one").body, b"one");
}

/// Guards a new process against outdated settings and against a parent that accepts the watch but never sends a state.
/// Health reports 503 until the first state has arrived, but only for a limited time, and the balancer then opens a
/// watch on the next parent, whose changes take effect.
#[test]
fn a_parent_that_never_sends_a_state_is_replaced() {
    let upstream = start_echo_upstream();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let (silent, other) = (Parent::with_heartbeat(HANG_TIMEOUT), Parent::with_heartbeat(HANG_TIMEOUT));
    let started = Instant::now();
    let (balancer, discovery) = start_with_parents(&known, &[silent.address, other.address]);
    let (_, discovery_watch) = discovery.watch();
    discovery_watch.send_endpoints(8, false, &[]);
    // On a machine that is too busy to check the health in time, the check is skipped.
    let in_time = || started.elapsed() < Duration::from_millis(500);
    assert!(balancer.health() == 503 || !in_time());
    wait_for("the balancer can serve", || (balancer.health() == 200).then_some(()));
    assert!(!in_time(), "expected health to report 503 while the first state is awaited, got 200");
    // The parent that was asked first stays silent; the balancer then asks the other one, which sends its state.
    let first = wait_for("one of the parents gets the first watch", || {
        silent.try_watch().map(|_| &other).or(other.try_watch().map(|_| &silent))
    });
    let (_, watch) = first.watch();
    watch
        .send_snapshot(3, vec![document("fleet", 3, &json!({"lanes": classes(30.0, &[new_class("late")])}))]);
    first.wait_version("fleet", 3);
    assert_eq!(balancer.client().ask("late", "one").body, b"one");
}

/// Guards the first requests of a new process: health reports 503 until the first state has been applied if that
/// arrives in time, so that the state applies from the first request on.
#[test]
fn health_waits_for_the_first_state() {
    let upstream = start_echo_upstream();
    let parent = Parent::with_heartbeat(HANG_TIMEOUT);
    let started = Instant::now();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let (balancer, discovery) = start_with_parents(&known, &[parent.address]);
    let (_, discovery_watch) = discovery.watch();
    discovery_watch.send_endpoints(8, false, &[]);
    let in_time = || started.elapsed() < Duration::from_millis(500);
    assert!(balancer.health() == 503 || !in_time());
    let (_, watch) = parent.watch();
    watch.send_snapshot(
        9,
        vec![document("service/api", 9, &json!({"lanes": classes(30.0, &[new_class("first")])}))],
    );
    wait_for("the balancer can serve", || (balancer.health() == 200).then_some(()));
    if in_time() {
        assert_eq!(balancer.client().ask("first", "one").body, b"one");
    }
}

/// Starts the program with these parents and one upstream. Returns the process, its configuration file, its discovery,
/// the address on which it listens, and its log.
fn started(
    parents: &[SocketAddr],
    upstream: &Upstream,
) -> (std::process::Child, std::path::PathBuf, Discovery, SocketAddr, BufReader<ChildStderr>) {
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let file =
        write_configuration(&with_parents(&configuration(discovery.address, &known, 30.0, 1024), parents));
    let mut child = program_with_file(1024, &file);
    let (address, log) = address(&mut child);
    (child, file, discovery, address, log)
}

/// Guards the settings in force against SIGHUP, which changes only the discovery address, even between two changes of
/// the settings.
#[test]
fn sighup_between_changes_moves_only_discovery() {
    let (upstream, parent) = (start_echo_upstream(), Parent::start());
    let (mut child, file, discovery, address, mut log) = started(&[parent.address], &upstream);
    let (_, watch) = parent.watch();
    watch.send_snapshot(1, vec![document("fleet", 1, &json!({"lanes": classes(30.0, &[new_class("one")])}))]);
    parent.wait_version("fleet", 1);
    let (_, old_watch) = discovery.watch();
    let new_discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let text = with_parents(&configuration(new_discovery.address, &known, 30.0, 1024), &[dead_address()]);
    std::fs::write(&file, text).expect("the file can be written");
    for version in 2..30 {
        watch.send_delta(document("fleet", version, &json!({"lanes": classes(30.0, &[new_class("one")])})));
        if version == 15 {
            signal(&child, "-HUP");
            wait_line(&mut log, "discovery address changed to");
        }
    }
    // A line on the old watch does not prevent the move to the new discovery.
    old_watch.try_bytes(b"\n");
    let (line, _new) = new_discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=7 HTTP/1.1");
    parent.wait_version("fleet", 29);
    assert_eq!(Client::connect(address).ask("one", "one").body, b"one");
    signal(&child, "-TERM");
    assert!(child.wait().expect("the program ends").success());
}

/// Guards graceful shutdown during changes of the settings: the balancer drains, and a request in flight gets its
/// answer.
#[test]
fn a_drain_during_changes_loses_no_request() {
    let released = Arc::new(AtomicBool::new(false));
    let shared_released = Arc::clone(&released);
    let upstream = Upstream::start(move |_, message| {
        wait_for("the request is released", || shared_released.load(Ordering::Relaxed).then_some(()));
        ok(&String::from_utf8_lossy(&message.body))
    });
    let parent = Parent::start();
    let (mut child, _file, _discovery, address, mut log) = started(&[parent.address], &upstream);
    let (_, watch) = parent.watch();
    watch.send_snapshot(1, vec![document("fleet", 1, &json!({"overShareWorth": 0.3}))]);
    parent.wait_version("fleet", 1);
    let mut client = Client::connect(address);
    client.send("order", "one");
    upstream.wait_requests(1);
    for version in 2..40 {
        // The changes remove the class of the request in flight and add it again.
        let all = classes(30.0, &[]);
        let classes: Vec<Value> = all
            .as_array()
            .expect("the value is a list")
            .iter()
            .take(2 + version as usize % 2)
            .cloned()
            .collect();
        watch.send_delta(document("fleet", version, &json!({"lanes": classes})));
        if version == 20 {
            signal(&child, "-TERM");
            wait_line(&mut log, "graceful shutdown, ");
        }
    }
    released.store(true, Ordering::Relaxed);
    assert_eq!(client.answer().expect("the balancer answers").body, b"one");
    drop(client);
    assert!(child.wait().expect("the program ends").success());
    assert_eq!(upstream.count_of("one"), 1);
}
