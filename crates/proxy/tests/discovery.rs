//! Endpoint lists and the watch on service discovery.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use common::*;

/// Guards drains: once the balancer is notified, it sends no new request to the draining endpoint, not even over an
/// idle connection.
#[test]
fn a_draining_upstream_gets_no_new_requests() {
    for status in ["draining", "gone"] {
        let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
        let (balancer, discovery) = Balancer::with(&[endpoint("s-1", old.address, 0, "ready")], 30.0);
        let mut client = balancer.client();
        assert_eq!(client.ask("order", "one").body, b"old");
        let (line, watch) = discovery.watch();
        assert_eq!(line, "GET /catalog/members?follow=1&since=7 HTTP/1.1");
        // The drain is applied even if the address in its entry is invalid.
        let mut drained = endpoint("s-1", old.address, 0, status);
        drained["address"] = "".into();
        watch.send_endpoints(8, false, &[drained, endpoint("s-2", new.address, 1, "ready")]);
        old.wait_closed(1);
        for _ in 0..5 {
            assert_eq!(client.ask("order", "two").body, b"new");
        }
        assert_eq!(old.requests().len(), 1);
    }
}

/// Guards the parsing of the watch: lines that are split over chunks, several lines in one chunk, and invalid entries.
#[test]
fn lines_are_assembled_from_chunks() {
    let (first, second) = (Upstream::start(|_, _| ok("first")), Upstream::start(|_, _| ok("second")));
    let (balancer, discovery) = Balancer::with(&[], 30.0);
    let (_, watch) = discovery.watch();
    let one = format!(
        r#"{{"index":8,"snapshot":true,"endpoints":[{{"name":5}},{},{{"name":"s-3","status":"odd"}}]}}"#,
        endpoint("s-1", first.address, 0, "ready")
    );
    for piece in one.as_bytes().chunks(7) {
        watch.bytes(piece);
    }
    let gone = endpoint("s-1", first.address, 0, "gone");
    let ready = endpoint("s-2", second.address, 0, "ready");
    let two = format!(r#"{{"index":9,"snapshot":false,"endpoints":[{gone}]}}"#);
    let three = format!(r#"{{"index":10,"snapshot":false,"endpoints":[{ready}]}}"#);
    watch.bytes(b"\n");
    let mut client = balancer.client();
    wait_for("the first list is applied", || (client.ask("read", "").body == b"first").then_some(()));
    watch.bytes(format!("{two}\n\n{three}\n").as_bytes());
    wait_for("both changes are applied", || (client.ask("read", "").body == b"second").then_some(()));
}

/// Guards against an outdated list: a watch that ends or sends a malformed line is opened again from the current
/// version, and the current list stays in use meanwhile.
#[test]
fn a_broken_watch_is_reopened_from_the_current_version() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let (_, watch) = discovery.watch();
    watch.send_endpoints(11, false, &[]);
    watch.end();
    let (line, watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=11 HTTP/1.1");
    assert_eq!(balancer.client().ask("read", "").status(), 200);
    watch.bytes(b"\xff{]\n");
    let (line, _watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=11 HTTP/1.1");
    assert_eq!(balancer.client().ask("read", "").status(), 200);
}

/// Guards against a watch that stays open and sends nothing, as when discovery's machine is partitioned: the balancer
/// opens a new watch, because it must learn of the changes that the silent watch does not send.
#[test]
fn a_silent_watch_is_reopened() {
    let discovery = Discovery::with_heartbeat(HANG_TIMEOUT);
    let _balancer = Balancer::start(&configuration(discovery.address, &[], 30.0, 1024));
    let (_, watch) = discovery.watch();
    watch.send_endpoints(9, true, &[]);
    let (line, _watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=9 HTTP/1.1");
}

/// Guards against requests to the former address of an upstream: its address may change under the same name.
#[test]
fn an_upstream_may_change_its_address() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let (balancer, discovery) = Balancer::with(&[endpoint("s-1", old.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    assert_eq!(client.ask("order", "one").body, b"old");
    let (_, watch) = discovery.watch();
    watch.send_endpoints(8, false, &[endpoint("s-1", new.address, 0, "ready")]);
    old.wait_closed(1);
    assert_eq!(client.ask("order", "two").body, b"new");
}

/// Guards the front against a balancer that has no endpoint list yet: its health reports 503.
#[test]
fn health_waits_for_a_list() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, discovery) = Balancer::with(&[], 30.0);
    assert_eq!(balancer.health(), 503);
    let (_, watch) = discovery.watch();
    watch.send_endpoints(8, true, &[endpoint("s-1", upstream.address, 0, "ready")]);
    wait_for("the balancer can serve", || (balancer.health() == 200).then_some(()));
}

/// Starts a balancer whose settings say that lists are pushed to it (`automatic`).
fn start_with_pushed_lists(discovery: &Discovery, known: &[serde_json::Value]) -> Balancer {
    let text = configuration(discovery.address, known, 30.0, 1024);
    Balancer::start(&text.replace("subscribe", "automatic"))
}

/// Guards a new process against the list of its configuration, which may be outdated: the balancer counts as notified
/// of what discovery has from the start. So health reports 503 until the list of discovery has arrived, or until the
/// balancer stops waiting because discovery does not answer.
#[test]
fn a_new_process_waits_for_the_list_of_discovery() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let discovery = Discovery::with_heartbeat(HANG_TIMEOUT);
    let known = [endpoint("s-1", old.address, 0, "ready")];
    let started = Instant::now();
    let balancer = start_with_pushed_lists(&discovery, &known);
    // On a machine that is too busy to check the health in time, the check is skipped.
    let in_time = || started.elapsed() < Duration::from_millis(500);
    assert!(balancer.health() == 503 || !in_time());
    let (_, watch) = discovery.watch();
    let drained = endpoint("s-1", old.address, 0, "draining");
    watch.send_endpoints(8, false, &[drained, endpoint("s-2", new.address, 1, "ready")]);
    wait_for("the balancer can serve", || (balancer.health() == 200).then_some(()));
    if in_time() {
        assert_eq!(balancer.client().ask("order", "one").body, b"new");
        assert!(old.requests().is_empty());
    }
    // If discovery is down, the balancer serves with the list of its configuration.
    let down = configuration(Discovery::with_heartbeat(HANG_TIMEOUT).address, &known, 30.0, 1024);
    let balancer = Balancer::start(&down);
    wait_for("the balancer can serve", || (balancer.health() == 200).then_some(()));
    assert_eq!(balancer.client().ask("order", "one").body, b"old");
}

/// Guards drains against an outage of discovery: a watch falls silent, the next one is opened while discovery is still
/// down and never receives anything, and the balancer counts as notified of what the first watch missed 6 s after that
/// watch fell silent.
#[test]
fn a_drain_missed_in_an_outage_is_applied_within_six_seconds() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let discovery = Discovery::with_heartbeat(HANG_TIMEOUT);
    let known = [endpoint("s-1", old.address, 0, "ready")];
    let balancer = start_with_pushed_lists(&discovery, &known);
    let (_, watch) = discovery.watch();
    watch.send_endpoints(8, false, &[endpoint("s-2", new.address, 1, "ready")]);
    let silent_since = Instant::now();
    let (_, _never_speaks) = discovery.watch();
    let (line, watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=8 HTTP/1.1");
    watch.send_endpoints(9, false, &[endpoint("s-1", old.address, 0, "draining")]);
    let asked = |body| balancer.client().ask("order", body).body;
    wait_for("the drain is applied", || (0..8).all(|_| asked("one") == b"new").then_some(()));
    assert!(silent_since.elapsed() < Duration::from_secs(6), "the drain took {:?}", silent_since.elapsed());
}

/// Guards against a list that never changes: the balancer opens a watch even if its settings say that lists are pushed
/// to it (`automatic`).
#[test]
fn a_watch_is_opened_in_automatic_mode() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", old.address, 0, "ready")];
    let balancer = start_with_pushed_lists(&discovery, &known);
    let (line, watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=7 HTTP/1.1");
    watch.send_endpoints(
        8,
        false,
        &[endpoint("s-1", old.address, 0, "draining"), endpoint("s-2", new.address, 1, "ready")],
    );
    wait_for("the drain is applied", || (balancer.client().ask("order", "").body == b"new").then_some(()));
}

/// Time within which a balancer must learn of a change, counted from when discovery has the change and can be reached,
/// whatever calls failed before.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// Head of the response to a watch request.
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Starts a balancer with the discovery mode `mode`, whose settings allow it to poll discovery at long intervals.
fn start_in_mode(mode: &str, discovery: SocketAddr, known: &[serde_json::Value]) -> Balancer {
    let text = configuration(discovery, known, 30.0, 1024).replace("subscribe", mode);
    Balancer::start(&text.replace("\"askWithinS\":10.0", "\"askWithinS\":60.0"))
}

/// Runs `case` for each discovery mode in parallel.
fn in_each_mode(case: impl Fn(&'static str) + Send + Sync) {
    thread::scope(|scope| {
        for mode in ["subscribe", "automatic"] {
            let case = &case;
            scope.spawn(move || case(mode));
        }
    });
}

/// Guards the notification delay against a discovery that accepts calls and then hangs, at whatever point of its
/// answer: the backoff after a few failed calls in a row must not delay the next call beyond the time within which the
/// balancer must learn of a change.
#[test]
fn calls_that_hang_do_not_delay_the_list() {
    in_each_mode(|mode| {
        thread::scope(|scope| {
            for part in
                [String::new(), RESPONSE_HEAD.to_owned(), format!("{RESPONSE_HEAD}9\r\n{{\"index\"\r\n")]
            {
                scope.spawn(move || {
                    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
                    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
                    let addr = listener.local_addr().expect("the listener is bound");
                    let known = [endpoint("s-1", old.address, 0, "ready")];
                    let balancer = start_in_mode(mode, addr, &known);
                    let mut open_calls = Vec::new();
                    for _ in 0..4 {
                        let (mut stream, _) = listener.accept().expect("the balancer connects");
                        read_message(&mut stream).expect("the balancer requests the list");
                        stream.write_all(part.as_bytes()).expect("the connection is open");
                        open_calls.push(stream);
                    }
                    // From here on discovery answers every call.
                    let reachable_since = Instant::now();
                    let discovery = Discovery::on(listener, Duration::from_millis(500));
                    let (_, watch) = discovery.watch();
                    let drained = endpoint("s-1", old.address, 0, "draining");
                    watch.send_endpoints(8, false, &[drained, endpoint("s-2", new.address, 1, "ready")]);
                    let mut client = balancer.client();
                    wait_for("the list is applied", || (client.ask("read", "").body == b"new").then_some(()));
                    assert!(
                        reachable_since.elapsed() < MAX_NOTIFICATION_DELAY,
                        "{mode}, hang after {part:?}: the list took {:?}",
                        reachable_since.elapsed()
                    );
                });
            }
        });
    });
}

/// Guards against a watch that keeps sending bytes but never a complete line: such bytes do not count as a heartbeat.
#[test]
fn a_line_that_never_ends_is_no_heartbeat() {
    in_each_mode(|mode| {
        let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
        let discovery = Discovery::with_heartbeat(HANG_TIMEOUT);
        let balancer = start_in_mode(mode, discovery.address, &[endpoint("s-1", old.address, 0, "ready")]);
        let (_, watch) = discovery.watch();
        watch.send_endpoints(8, false, &[]);
        let started_at = Instant::now();
        let writer = thread::spawn(move || {
            // The balancer gives up the watch while this thread writes to it.
            while started_at.elapsed() < HANG_TIMEOUT && watch.try_bytes(b" ") {
                thread::sleep(Duration::from_millis(100));
            }
        });
        let (_, watch) = discovery.watch();
        let drained = endpoint("s-1", old.address, 0, "draining");
        watch.send_endpoints(9, false, &[drained, endpoint("s-2", new.address, 1, "ready")]);
        let mut client = balancer.client();
        wait_for("the drain is applied", || (client.ask("read", "").body == b"new").then_some(()));
        assert!(
            started_at.elapsed() < MAX_NOTIFICATION_DELAY,
            "{mode}: the drain took {:?}",
            started_at.elapsed()
        );
        writer.join().expect("the thread does not panic");
    });
}

/// Guards drains against older updates, as from a discovery that lags behind the one that was asked before: an older
/// delta is ignored, and an older snapshot ends the drain of an endpoint only if it shows a new start of the endpoint.
#[test]
fn an_older_list_ends_no_drain() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let (balancer, discovery) = Balancer::with(&[endpoint("s-1", old.address, 0, "ready")], 30.0);
    let (_, watch) = discovery.watch();
    let ready = endpoint("s-1", old.address, 0, "ready");
    let other = endpoint("s-2", new.address, 1, "ready");
    watch.send_endpoints(9, false, &[endpoint("s-1", old.address, 0, "draining"), other.clone()]);
    let mut client = balancer.client();
    wait_for("the drain is applied", || (client.ask("read", "").body == b"new").then_some(()));
    let requests_before = old.requests().len();
    watch.send_endpoints(8, false, std::slice::from_ref(&ready));
    watch.send_endpoints(7, true, &[ready, other.clone()]);
    // Updates are applied in the order in which they arrive, so the last one shows that all are applied.
    let third = Upstream::start(|_, _| ok("third"));
    watch.send_endpoints(8, false, &[endpoint("s-3", third.address, 2, "ready")]);
    wait_for("the last update is applied", || (client.ask("read", "").body == b"third").then_some(()));
    for _ in 0..20 {
        client.ask("read", "");
    }
    assert_eq!(
        old.requests().len(),
        requests_before,
        "number of requests to the drained endpoint after the older list"
    );
    // A new start ends the drain.
    let mut restarted = endpoint("s-1", old.address, 0, "ready");
    restarted["since_ms"] = 1_000.into();
    watch.send_endpoints(9, false, &[restarted]);
    wait_for("the new start is applied", || (client.ask("read", "").body == b"old").then_some(()));
}

/// The list entry of a process that started at `since_ms`, in milliseconds.
fn endpoint_started_at(name: &str, address: SocketAddr, status: &str, since_ms: u64) -> serde_json::Value {
    let mut entry = endpoint(name, address, 0, status);
    entry["since_ms"] = since_ms.into();
    entry
}

/// Guards a new process against the drain of its predecessor if the clock that gives the start times stepped back
/// between the two starts. A start time that has not been listed before is a new start, even in a list with a lower
/// index, as from a discovery whose index has been reset.
#[test]
fn a_new_start_with_an_earlier_start_time_ends_the_drain() {
    let (restarted, other) = (Upstream::start(|_, _| ok("restarted")), Upstream::start(|_, _| ok("other")));
    let other_entry = endpoint("s-2", other.address, 0, "ready");
    let (balancer, discovery) = Balancer::with(std::slice::from_ref(&other_entry), 30.0);
    let (_, watch) = discovery.watch();
    let first_list = Instant::now();
    // The clock steps back by less than the time since the first list.
    let step_ms = 20;
    wait_for("twice the step has passed", || (first_list.elapsed().as_millis() > 2 * step_ms).then_some(()));
    let now =
        SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after 1970").as_millis() as u64;
    watch.send_endpoints(9, false, &[endpoint_started_at("s-1", restarted.address, "ready", now)]);
    let mut client = balancer.client();
    wait_for("the endpoint is listed", || (client.ask("read", "").body == b"restarted").then_some(()));
    watch.send_endpoints(10, false, &[endpoint_started_at("s-1", restarted.address, "draining", now)]);
    wait_for("the drain is applied", || {
        (0..16).all(|_| client.ask("read", "").body == b"other").then_some(())
    });
    let restart = endpoint_started_at("s-1", restarted.address, "ready", now - step_ms as u64);
    // From here on the list contains only the new start of the endpoint.
    watch.send_endpoints(3, true, &[restart]);
    wait_for("the new start is applied", || (client.ask("read", "").body == b"restarted").then_some(()));
}

/// Guards a drain against an older list that names the previous process of the endpoint and dates from before this
/// balancer had a list.
#[test]
fn an_older_list_with_an_unknown_start_ends_no_drain() {
    let (drained, other) = (Upstream::start(|_, _| ok("drained")), Upstream::start(|_, _| ok("other")));
    let known = [endpoint_started_at("s-1", drained.address, "ready", 5_000)];
    let discovery = Discovery::start();
    let text = configuration(discovery.address, &known, 30.0, 1024);
    // A short slow start, so that the test would notice requests to the endpoint if the entry were taken for a new
    // start.
    let (usual, short) = ("\"coldS\":10.0", "\"coldS\":0.001");
    assert!(text.contains(usual));
    let balancer = Balancer::start(&text.replace(usual, short));
    let (_, watch) = discovery.watch();
    let other_entry = endpoint("s-2", other.address, 0, "ready");
    watch.send_endpoints(
        9,
        false,
        &[endpoint_started_at("s-1", drained.address, "draining", 5_000), other_entry.clone()],
    );
    let mut client = balancer.client();
    wait_for("the drain is applied", || (client.ask("read", "").body == b"other").then_some(()));
    let requests_before = drained.requests().len();
    let third = Upstream::start(|_, _| ok("third"));
    watch.send_endpoints(
        3,
        true,
        &[endpoint_started_at("s-1", drained.address, "ready", 2_000), other_entry],
    );
    // Updates are applied in the order in which they arrive, so the last one shows that all are applied.
    watch.send_endpoints(4, false, &[endpoint("s-3", third.address, 2, "ready")]);
    wait_for("the last update is applied", || (client.ask("read", "").body == b"third").then_some(()));
    for _ in 0..20 {
        client.ask("read", "");
    }
    assert_eq!(
        drained.requests().len(),
        requests_before,
        "number of requests to the drained endpoint after the older list"
    );
}

/// Guards a drain against an older list that names the previous process of the endpoint, whose start time is the later
/// one because the clock that gives the start times stepped back between the two starts.
#[test]
fn an_older_list_with_a_later_start_time_of_an_earlier_start_ends_no_drain() {
    let (drained, other) = (Upstream::start(|_, _| ok("drained")), Upstream::start(|_, _| ok("other")));
    let known = [endpoint_started_at("s-1", drained.address, "ready", 5_000)];
    let (balancer, discovery) = Balancer::with(&known, 30.0);
    let (_, watch) = discovery.watch();
    let other_entry = endpoint("s-2", other.address, 0, "ready");
    watch.send_endpoints(8, false, &[endpoint_started_at("s-1", drained.address, "ready", 2_000)]);
    watch.send_endpoints(
        9,
        false,
        &[endpoint_started_at("s-1", drained.address, "draining", 2_000), other_entry.clone()],
    );
    let mut client = balancer.client();
    wait_for("the drain is applied", || (client.ask("read", "").body == b"other").then_some(()));
    let requests_before = drained.requests().len();
    // Updates are applied in the order in which they arrive, so the last one shows that all are applied. The older
    // lists before it name the start of the previous process again, and the one of the current process.
    let third = Upstream::start(|_, _| ok("third"));
    watch.send_endpoints(
        7,
        true,
        &[endpoint_started_at("s-1", drained.address, "ready", 5_000), other_entry.clone()],
    );
    watch.send_endpoints(
        6,
        true,
        &[endpoint_started_at("s-1", drained.address, "ready", 2_000), other_entry],
    );
    watch.send_endpoints(7, false, &[endpoint("s-3", third.address, 2, "ready")]);
    wait_for("the last update is applied", || (client.ask("read", "").body == b"third").then_some(()));
    for _ in 0..20 {
        client.ask("read", "");
    }
    assert_eq!(
        drained.requests().len(),
        requests_before,
        "number of requests to the drained endpoint after the older list"
    );
}

/// Guards the current list against a watch that was given up: what still arrives on that watch is ignored.
#[test]
fn updates_on_an_abandoned_watch_are_ignored() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let discovery = Discovery::with_heartbeat(HANG_TIMEOUT);
    let balancer = start_with_pushed_lists(&discovery, &[endpoint("s-1", old.address, 0, "ready")]);
    let (_, old_watch) = discovery.watch();
    old_watch.send_endpoints(8, false, &[]);
    // The first watch falls silent, and the next one sends an update.
    let (_, new_watch) = discovery.watch();
    let drained = endpoint("s-1", old.address, 0, "draining");
    new_watch.send_endpoints(9, false, &[drained, endpoint("s-2", new.address, 1, "ready")]);
    let mut client = balancer.client();
    wait_for("the drain is applied", || (client.ask("read", "").body == b"new").then_some(()));
    let requests_before = old.requests().len();
    old_watch.try_bytes(
        format!(
            "{}\n",
            serde_json::json!({"index": 10, "snapshot": false, "endpoints": [endpoint("s-1", old.address, 0, "ready")]})
        )
        .as_bytes(),
    );
    for _ in 0..50 {
        assert_eq!(client.ask("read", "").body, b"new");
    }
    assert_eq!(old.requests().len(), requests_before);
}

/// Guards consecutive reloads, the first of which names a discovery that accepts calls and never answers: the balancer
/// learns in time of the list of the discovery that the last reload names.
#[test]
fn the_last_of_two_reloads_takes_effect() {
    in_each_mode(|mode| {
        let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
        let known = [endpoint("s-1", old.address, 0, "ready")];
        let bind_unresponsive = || TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
        let (first, second) = (bind_unresponsive(), bind_unresponsive());
        let addr = |listener: &TcpListener| listener.local_addr().expect("the listener is bound");
        let last = Discovery::start();
        let text = |addr| configuration(addr, &known, 30.0, 1024).replace("subscribe", mode);
        let mut child = start_program(&text(addr(&first)));
        let (address, _log) = address(&mut child);
        // The call to the first discovery hangs.
        let _hangs = first.accept().expect("the balancer connects");
        write_configuration(&text(addr(&second)));
        signal(&child, "-HUP");
        let _hangs_too = second.accept().expect("the balancer connects");
        write_configuration(&text(last.address));
        let reloaded_at = Instant::now();
        signal(&child, "-HUP");
        let (_, watch) = last.watch();
        let drained = endpoint("s-1", old.address, 0, "draining");
        watch.send_endpoints(8, false, &[drained, endpoint("s-2", new.address, 1, "ready")]);
        let mut client = Client::connect(address);
        wait_for("the list is applied", || (client.ask("read", "").body == b"new").then_some(()));
        assert!(
            reloaded_at.elapsed() < Duration::from_secs(4),
            "{mode}: the list took {:?} after the last reload",
            reloaded_at.elapsed()
        );
        child.kill().expect("the program is running");
        child.wait().expect("the program ends");
    });
}
