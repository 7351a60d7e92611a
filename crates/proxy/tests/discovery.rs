//! The list and its watch.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use common::*;

/// Guards drains: once notified, nothing new goes there, not even over an idle connection.
#[test]
fn a_draining_upstream_gets_nothing_new() {
    for status in ["draining", "gone"] {
        let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
        let (balancer, discovery) = Balancer::with(&[endpoint("s-1", old.address, 0, "ready")], 30.0);
        let mut client = balancer.client();
        assert_eq!(client.ask("order", "one").body, b"old");
        let (line, watch) = discovery.watch();
        assert_eq!(line, "GET /catalog/members?follow=1&since=7 HTTP/1.1");
        // An address that can't be read does not keep the drain from being heard.
        let mut drained = endpoint("s-1", old.address, 0, status);
        drained["address"] = "".into();
        watch.says(8, false, &[drained, endpoint("s-2", new.address, 1, "ready")]);
        old.wait_closed(1);
        for _ in 0..5 {
            assert_eq!(client.ask("order", "two").body, b"new");
        }
        assert_eq!(old.requests().len(), 1);
    }
}

/// Guards the reading of the watch: lines cut by chunks, several in one, entries that make no sense.
#[test]
fn lines_are_put_together_from_chunks() {
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

/// Guards against a list that grows old unseen: a watch that ends, or turns to nonsense, is asked for again
/// from the version in hand, while the old list stands.
#[test]
fn a_broken_watch_is_taken_up_again() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let (_, watch) = discovery.watch();
    watch.says(11, false, &[]);
    watch.end();
    let (line, watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=11 HTTP/1.1");
    assert_eq!(balancer.client().ask("read", "").status(), 200);
    watch.bytes(b"\xff{]\n");
    let (line, _watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=11 HTTP/1.1");
    assert_eq!(balancer.client().ask("read", "").status(), 200);
}

/// Guards against a watch that stays open and says nothing, as when discovery's machine is cut off: what it
/// would have notified of counts as notified all the same.
#[test]
fn a_silent_watch_is_dead() {
    let discovery = Discovery::beating(LONG);
    let _balancer = Balancer::start(&configuration(discovery.address, &[], 30.0, 1024));
    let (_, watch) = discovery.watch();
    watch.says(9, true, &[]);
    let (line, _watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=9 HTTP/1.1");
}

/// Guards against sends to where an upstream was: its address may change under the same name.
#[test]
fn an_upstream_may_move() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let (balancer, discovery) = Balancer::with(&[endpoint("s-1", old.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    assert_eq!(client.ask("order", "one").body, b"old");
    let (_, watch) = discovery.watch();
    watch.says(8, false, &[endpoint("s-1", new.address, 0, "ready")]);
    old.wait_closed(1);
    assert_eq!(client.ask("order", "two").body, b"new");
}

/// Guards the front against a balancer that has no list yet.
#[test]
fn health_waits_for_a_list() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, discovery) = Balancer::with(&[], 30.0);
    assert_eq!(balancer.health(), 503);
    let (_, watch) = discovery.watch();
    watch.says(8, true, &[endpoint("s-1", upstream.address, 0, "ready")]);
    wait_for("the balancer can serve", || (balancer.health() == 200).then_some(()));
}

/// A balancer whose settings say that lists come by themselves.
fn pushed(discovery: &Discovery, known: &[serde_json::Value]) -> Balancer {
    let text = configuration(discovery.address, known, 30.0, 1024);
    Balancer::start(&text.replace("subscribe", "automatic"))
}

/// Guards a new process against the list of its configuration, which may be old: what discovery has counts as notified
/// from the first moment, so the front hears of the balancer once that has come, or does not come.
#[test]
fn a_new_process_waits_for_what_discovery_already_has() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let discovery = Discovery::beating(LONG);
    let known = [endpoint("s-1", old.address, 0, "ready")];
    let started = Instant::now();
    let balancer = pushed(&discovery, &known);
    // A machine too busy to ask in time proves nothing here, and must not fail the test.
    let in_time = || started.elapsed() < Duration::from_millis(500);
    assert!(balancer.health() == 503 || !in_time());
    let (_, watch) = discovery.watch();
    let drained = endpoint("s-1", old.address, 0, "draining");
    watch.says(8, false, &[drained, endpoint("s-2", new.address, 1, "ready")]);
    wait_for("the balancer can serve", || (balancer.health() == 200).then_some(()));
    if in_time() {
        assert_eq!(balancer.client().ask("order", "one").body, b"new");
        assert!(old.requests().is_empty());
    }
    // With discovery down, the list in hand has to do.
    let down = configuration(Discovery::beating(LONG).address, &known, 30.0, 1024);
    let balancer = Balancer::start(&down);
    wait_for("the balancer can serve", || (balancer.health() == 200).then_some(()));
    assert_eq!(balancer.client().ask("order", "one").body, b"old");
}

/// Guards drains against an outage: a watch falls silent, the next is opened while discovery is still down and never
/// gets a word, and what the first one missed counts as notified 6 s after it fell silent.
#[test]
fn a_drain_missed_in_an_outage_is_heard_within_six_seconds() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let discovery = Discovery::beating(LONG);
    let known = [endpoint("s-1", old.address, 0, "ready")];
    let balancer = pushed(&discovery, &known);
    let (_, watch) = discovery.watch();
    watch.says(8, false, &[endpoint("s-2", new.address, 1, "ready")]);
    let silent = Instant::now();
    let (_, _never_speaks) = discovery.watch();
    let (line, watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=8 HTTP/1.1");
    watch.says(9, false, &[endpoint("s-1", old.address, 0, "draining")]);
    let asked = |body| balancer.client().ask("order", body).body;
    wait_for("the drain is applied", || (0..8).all(|_| asked("one") == b"new").then_some(()));
    assert!(silent.elapsed() < Duration::from_secs(6), "{:?}", silent.elapsed());
}

/// Guards against a list that never changes: settings under which lists are said to come by themselves leave the
/// watch to the balancer all the same.
#[test]
fn a_watch_stays_open_whatever_the_settings_call_it() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", old.address, 0, "ready")];
    let balancer = pushed(&discovery, &known);
    let (line, watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=7 HTTP/1.1");
    watch.says(
        8,
        false,
        &[endpoint("s-1", old.address, 0, "draining"), endpoint("s-2", new.address, 1, "ready")],
    );
    wait_for("the drain is applied", || (balancer.client().ask("order", "").body == b"new").then_some(()));
}

/// A change counts as notified this long after discovery had it and could be reached, whatever went before.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A balancer whose settings say how lists are had, and allow it to ask seldom.
fn in_mode(mode: &str, discovery: SocketAddr, known: &[serde_json::Value]) -> Balancer {
    let text = configuration(discovery, known, 30.0, 1024).replace("subscribe", mode);
    Balancer::start(&text.replace("\"askWithinS\":10.0", "\"askWithinS\":60.0"))
}

/// Plays a case in each way of having lists, side by side.
fn in_each_mode(case: impl Fn(&'static str) + Send + Sync) {
    thread::scope(|scope| {
        for mode in ["subscribe", "automatic"] {
            let case = &case;
            scope.spawn(move || case(mode));
        }
    });
}

/// Guards the time to the list against a discovery that takes calls and leaves them waiting, wherever in its answer: a
/// few failed calls in a row must not space the next one out past the time at which a change counts as notified.
#[test]
fn calls_that_hang_do_not_keep_the_list_away() {
    in_each_mode(|mode| {
        thread::scope(|scope| {
            for part in [String::new(), HEAD.to_owned(), format!("{HEAD}9\r\n{{\"index\"\r\n")] {
                scope.spawn(move || {
                    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
                    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
                    let place = listener.local_addr().expect("bound");
                    let known = [endpoint("s-1", old.address, 0, "ready")];
                    let balancer = in_mode(mode, place, &known);
                    let mut open_calls = Vec::new();
                    for _ in 0..4 {
                        let (mut stream, _) = listener.accept().expect("asked");
                        read_message(&mut stream).expect("a call");
                        stream.write_all(part.as_bytes()).expect("open");
                        open_calls.push(stream);
                    }
                    // From here on it answers whoever asks.
                    let back = Instant::now();
                    let discovery = Discovery::on(listener, Duration::from_millis(500));
                    let (_, watch) = discovery.watch();
                    let drained = endpoint("s-1", old.address, 0, "draining");
                    watch.says(8, false, &[drained, endpoint("s-2", new.address, 1, "ready")]);
                    let mut client = balancer.client();
                    wait_for("the list is applied", || (client.ask("read", "").body == b"new").then_some(()));
                    assert!(back.elapsed() < NOTIFIED_WITHIN, "{mode}, {part:?}: {:?}", back.elapsed());
                });
            }
        });
    });
}

/// Guards against a watch that goes on writing and tells nothing: bytes that never become a line are no sign of life.
#[test]
fn a_line_that_never_ends_is_silence() {
    in_each_mode(|mode| {
        let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
        let discovery = Discovery::beating(LONG);
        let balancer = in_mode(mode, discovery.address, &[endpoint("s-1", old.address, 0, "ready")]);
        let (_, watch) = discovery.watch();
        watch.says(8, false, &[]);
        let began = Instant::now();
        let dripping = thread::spawn(move || {
            // The watch is given up under it.
            while began.elapsed() < LONG && watch.try_bytes(b" ") {
                thread::sleep(Duration::from_millis(100));
            }
        });
        let (_, watch) = discovery.watch();
        let drained = endpoint("s-1", old.address, 0, "draining");
        watch.says(9, false, &[drained, endpoint("s-2", new.address, 1, "ready")]);
        let mut client = balancer.client();
        wait_for("the drain is applied", || (client.ask("read", "").body == b"new").then_some(()));
        assert!(began.elapsed() < NOTIFIED_WITHIN, "{mode}: {:?}", began.elapsed());
        dripping.join().expect("no panic");
    });
}

/// Guards drains against news from before them, as from a discovery that lags behind the one asked before: an older
/// change is passed over, and an older whole list takes nothing out of its drain but a new start.
#[test]
fn an_older_list_ends_no_drain() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let (balancer, discovery) = Balancer::with(&[endpoint("s-1", old.address, 0, "ready")], 30.0);
    let (_, watch) = discovery.watch();
    let ready = endpoint("s-1", old.address, 0, "ready");
    let other = endpoint("s-2", new.address, 1, "ready");
    watch.says(9, false, &[endpoint("s-1", old.address, 0, "draining"), other.clone()]);
    let mut client = balancer.client();
    wait_for("the drain is applied", || (client.ask("read", "").body == b"new").then_some(()));
    let requests_before = old.requests().len();
    watch.says(8, false, std::slice::from_ref(&ready));
    watch.says(7, true, &[ready, other.clone()]);
    // What comes last is applied last.
    let third = Upstream::start(|_, _| ok("third"));
    watch.says(8, false, &[endpoint("s-3", third.address, 2, "ready")]);
    wait_for("the last word is applied", || (client.ask("read", "").body == b"third").then_some(()));
    for _ in 0..20 {
        client.ask("read", "");
    }
    assert_eq!(old.requests().len(), requests_before, "the older list ended its drain");
    // A new start is news.
    let mut restarted = endpoint("s-1", old.address, 0, "ready");
    restarted["since_ms"] = 1_000.into();
    watch.says(9, false, &[restarted]);
    wait_for("the new start is applied", || (client.ask("read", "").body == b"old").then_some(()));
}

/// The entry of a process that started at this time.
fn since(name: &str, address: SocketAddr, status: &str, since_ms: u64) -> serde_json::Value {
    let mut entry = endpoint(name, address, 0, status);
    entry["since_ms"] = since_ms.into();
    entry
}

/// Guards a new process against the drain of the one before, where the clock behind the stamps stepped back between
/// the two: also in a list of a lower index, as from a discovery that counts anew, a start never named is a new one.
#[test]
fn a_new_start_with_an_earlier_stamp_ends_the_drain() {
    let (restarted, other) = (Upstream::start(|_, _| ok("restarted")), Upstream::start(|_, _| ok("other")));
    let beside = endpoint("s-2", other.address, 0, "ready");
    let (balancer, discovery) = Balancer::with(std::slice::from_ref(&beside), 30.0);
    let (_, watch) = discovery.watch();
    let first_list = Instant::now();
    // The clock steps back by less than the time since the first list.
    let step_ms = 20;
    wait_for("time passes", || (first_list.elapsed().as_millis() > 2 * step_ms).then_some(()));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64;
    watch.says(9, false, &[since("s-1", restarted.address, "ready", now)]);
    let mut client = balancer.client();
    wait_for("it is listed", || (client.ask("read", "").body == b"restarted").then_some(()));
    watch.says(10, false, &[since("s-1", restarted.address, "draining", now)]);
    wait_for("the drain is applied", || {
        (0..16).all(|_| client.ask("read", "").body == b"other").then_some(())
    });
    let restart = since("s-1", restarted.address, "ready", now - step_ms as u64);
    // Only the new start serves from here on.
    watch.says(3, true, &[restart]);
    wait_for("the new start is applied", || (client.ask("read", "").body == b"restarted").then_some(()));
}

/// Guards a drain against an older list that names the process before, from a time when this one had no list yet.
#[test]
fn an_older_list_with_a_start_never_named_ends_no_drain() {
    let (drained, other) = (Upstream::start(|_, _| ok("drained")), Upstream::start(|_, _| ok("other")));
    let known = [since("s-1", drained.address, "ready", 5_000)];
    let discovery = Discovery::start();
    let text = configuration(discovery.address, &known, 30.0, 1024);
    // Were it taken for a new start, slow start must not hide it.
    let (usual, short) = ("\"coldS\":10.0", "\"coldS\":0.001");
    assert!(text.contains(usual));
    let balancer = Balancer::start(&text.replace(usual, short));
    let (_, watch) = discovery.watch();
    let beside = endpoint("s-2", other.address, 0, "ready");
    watch.says(9, false, &[since("s-1", drained.address, "draining", 5_000), beside.clone()]);
    let mut client = balancer.client();
    wait_for("the drain is applied", || (client.ask("read", "").body == b"other").then_some(()));
    let requests_before = drained.requests().len();
    let third = Upstream::start(|_, _| ok("third"));
    watch.says(3, true, &[since("s-1", drained.address, "ready", 2_000), beside]);
    // What comes last is applied last.
    watch.says(4, false, &[endpoint("s-3", third.address, 2, "ready")]);
    wait_for("the last word is applied", || (client.ask("read", "").body == b"third").then_some(()));
    for _ in 0..20 {
        client.ask("read", "");
    }
    assert_eq!(drained.requests().len(), requests_before, "the older list ended its drain");
}

/// Guards a drain against an older list that names the process before, whose stamp is the later one as the clock
/// behind the stamps stepped back between the two.
#[test]
fn an_older_list_with_a_later_stamp_of_a_start_before_ends_no_drain() {
    let (drained, other) = (Upstream::start(|_, _| ok("drained")), Upstream::start(|_, _| ok("other")));
    let known = [since("s-1", drained.address, "ready", 5_000)];
    let (balancer, discovery) = Balancer::with(&known, 30.0);
    let (_, watch) = discovery.watch();
    let beside = endpoint("s-2", other.address, 0, "ready");
    watch.says(8, false, &[since("s-1", drained.address, "ready", 2_000)]);
    watch.says(9, false, &[since("s-1", drained.address, "draining", 2_000), beside.clone()]);
    let mut client = balancer.client();
    wait_for("the drain is applied", || (client.ask("read", "").body == b"other").then_some(()));
    let requests_before = drained.requests().len();
    // What comes last is applied last; the list before it may say that start again, and the one after.
    let third = Upstream::start(|_, _| ok("third"));
    watch.says(7, true, &[since("s-1", drained.address, "ready", 5_000), beside.clone()]);
    watch.says(6, true, &[since("s-1", drained.address, "ready", 2_000), beside]);
    watch.says(7, false, &[endpoint("s-3", third.address, 2, "ready")]);
    wait_for("the last word is applied", || (client.ask("read", "").body == b"third").then_some(()));
    for _ in 0..20 {
        client.ask("read", "");
    }
    assert_eq!(drained.requests().len(), requests_before, "the older list ended its drain");
}

/// Guards the list in hand against a watch that was given up: what still comes on it is not heard.
#[test]
fn a_watch_given_up_is_not_heard() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let discovery = Discovery::beating(LONG);
    let balancer = pushed(&discovery, &[endpoint("s-1", old.address, 0, "ready")]);
    let (_, before) = discovery.watch();
    before.says(8, false, &[]);
    // It falls silent, and the next one speaks.
    let (_, after) = discovery.watch();
    let drained = endpoint("s-1", old.address, 0, "draining");
    after.says(9, false, &[drained, endpoint("s-2", new.address, 1, "ready")]);
    let mut client = balancer.client();
    wait_for("the drain is applied", || (client.ask("read", "").body == b"new").then_some(()));
    let requests_before = old.requests().len();
    before.try_bytes(
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

/// Guards reloads in a row, the first of them onto a discovery that takes calls and never answers: the last one's list
/// is notified in time.
#[test]
fn the_last_of_two_reloads_counts() {
    in_each_mode(|mode| {
        let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
        let known = [endpoint("s-1", old.address, 0, "ready")];
        let mute = || TcpListener::bind("127.0.0.1:0").expect("a free port");
        let (first, second) = (mute(), mute());
        let place = |listener: &TcpListener| listener.local_addr().expect("bound");
        let last = Discovery::start();
        let text = |place| configuration(place, &known, 30.0, 1024).replace("subscribe", mode);
        let mut child = program(&text(place(&first)));
        let (address, _log) = address(&mut child);
        // A call hangs there.
        let _hangs = first.accept().expect("asked");
        write_configuration(&text(place(&second)));
        signal(&child, "-HUP");
        let _hangs_too = second.accept().expect("asked");
        write_configuration(&text(last.address));
        let announced = Instant::now();
        signal(&child, "-HUP");
        let (_, watch) = last.watch();
        let drained = endpoint("s-1", old.address, 0, "draining");
        watch.says(8, false, &[drained, endpoint("s-2", new.address, 1, "ready")]);
        let mut client = Client::connect(address);
        wait_for("the list is applied", || (client.ask("read", "").body == b"new").then_some(()));
        assert!(announced.elapsed() < Duration::from_secs(4), "{mode}: {:?}", announced.elapsed());
        child.kill().expect("it runs");
        child.wait().expect("ends");
    });
}
