//! Slow start while wall clocks are wrong or step, tested with the complete server on real sockets.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use balancer_proxy::clock::{SystemClock, WallClock};
use common::*;
use serde_json::{Value, json};

/// An hour in milliseconds.
const HOUR_MS: i64 = 3_600_000;

/// The machine's wall clock plus an offset in milliseconds that the test sets.
#[derive(Debug)]
struct OffsetClock(Arc<AtomicI64>);

impl WallClock for OffsetClock {
    fn unix_ms(&self) -> u64 {
        SystemClock.unix_ms().saturating_add_signed(self.0.load(Ordering::Relaxed))
    }
}

/// Starts a balancer whose wall clock is ahead by `ahead_ms`, which the test may change later.
fn start_with_clock(configuration: &str, ahead_ms: &Arc<AtomicI64>) -> Balancer {
    let mut config = parsed(configuration);
    config.wall_clock = Box::new(OffsetClock(Arc::clone(ahead_ms)));
    Balancer::start_on(config, |listener| listener)
}

/// Two upstreams that are listed with the same start stamp.
struct Group {
    upstreams: Vec<Upstream>,
    entries: Vec<Value>,
}

impl Group {
    fn start(name: &str, since_ms: u64) -> Self {
        let upstreams: Vec<Upstream> = (0..2).map(|_| Upstream::start(|_, _| ok(""))).collect();
        let listed = |(number, upstream): (usize, &Upstream)| {
            let mut entry = endpoint(&format!("{name}-{number}"), upstream.address, 0, "ready");
            entry["since_ms"] = since_ms.into();
            entry
        };
        let entries = upstreams.iter().enumerate().map(listed).collect();
        Self { upstreams, entries }
    }

    /// Number of requests that the group's upstreams got.
    fn requests(&self) -> usize {
        self.upstreams.iter().map(|upstream| upstream.requests().len()).sum()
    }
}

/// A balancer with two upstreams that started long ago and two that an update has added as just started.
struct ScaledUpTier {
    old: Group,
    new: Group,
    balancer: Balancer,
    /// Keeps the watch of the balancer open until it is dropped.
    _watch: Watch,
}

/// Fraction of a warm upstream's traffic that an upstream gets at the beginning of slow start.
const SLOW_START_MIN_FRACTION: f64 = 0.05;

impl ScaledUpTier {
    /// Starts the balancer with a wall clock that is ahead by `from_ms`, and by `to_ms` after the first list. Slow
    /// start lasts `slow_start_s` seconds. The update that adds the new upstreams comes `after` the first list.
    fn start(from_ms: i64, to_ms: i64, slow_start_s: f64, after: Duration) -> Self {
        let (old, discovery) = (Group::start("old", 0), Discovery::start());
        let mut text: Value =
            serde_json::from_str(&configuration(discovery.address, &old.entries, 30.0, 1024)).expect("JSON");
        text["settings"]["rules"]["coldS"] = json!(slow_start_s);
        text["settings"]["rules"]["coldShare"] = json!(SLOW_START_MIN_FRACTION);
        let ahead_ms = Arc::new(AtomicI64::new(from_ms));
        let balancer = start_with_clock(&text.to_string(), &ahead_ms);
        let (_, watch) = discovery.watch();
        watch.send_endpoints(8, true, &old.entries);
        let mut client = balancer.client();
        let listed = Instant::now();
        for _ in 0..20 {
            client.ask("read", "");
        }
        wait_for("the time until the update has passed", || (listed.elapsed() >= after).then_some(()));
        ahead_ms.store(to_ms, Ordering::Relaxed);
        let new = Group::start("new", SystemClock.unix_ms());
        let mut entries = new.entries.clone();
        // Answers of this upstream show that the update has been applied.
        let last = Upstream::start(|_, _| ok("last"));
        entries.push(endpoint("last", last.address, 0, "ready"));
        watch.send_endpoints(9, false, &entries);
        wait_for("the update is applied", || (client.ask("read", "").body == b"last").then_some(()));
        watch.send_endpoints(10, false, &[endpoint("last", last.address, 0, "gone")]);
        wait_for("last is removed", || (0..16).all(|_| client.ask("read", "").body != b"last").then_some(()));
        Self { old, new, balancer, _watch: watch }
    }

    /// Sends requests and returns how many of them went to the old and to the new upstreams.
    fn request_counts(&self, requests: usize) -> (usize, usize) {
        let before = (self.old.requests(), self.new.requests());
        let mut client = self.balancer.client();
        for _ in 0..requests {
            assert_eq!(client.ask("read", "").status(), 200);
        }
        (self.old.requests() - before.0, self.new.requests() - before.1)
    }
}

/// Runs `case` concurrently with a right wall clock, with clocks that are wrong from the start, and with clocks that
/// step after the first list.
fn for_each_clock(case: impl Fn(i64, i64) + Send + Sync) {
    let clocks = [(0, 0), (HOUR_MS, HOUR_MS), (-HOUR_MS, -HOUR_MS), (0, HOUR_MS), (0, -HOUR_MS)];
    thread::scope(|scope| {
        for (from_ms, to_ms) in clocks {
            let case = &case;
            scope.spawn(move || case(from_ms, to_ms));
        }
    });
}

/// Guards upstreams that have just started against full traffic when clocks are wrong. Their slow start is longer than
/// the test, so they must get less than a third of the old upstreams' requests.
#[test]
fn slow_start_is_not_skipped_under_a_wrong_clock() {
    for_each_clock(|from_ms, to_ms| {
        let tier = ScaledUpTier::start(from_ms, to_ms, 600.0, Duration::ZERO);
        let (old, new) = tier.request_counts(300);
        assert!(
            new * 3 < old,
            "clock ahead by {from_ms} ms, then {to_ms} ms: new upstreams got {new} requests, old ones {old}"
        );
    });
}

/// Guards upstreams whose slow start is over against too little traffic when clocks are wrong.
#[test]
fn slow_start_ends_under_a_wrong_clock() {
    for_each_clock(|from_ms, to_ms| {
        let tier = ScaledUpTier::start(from_ms, to_ms, 0.5, Duration::ZERO);
        wait_for(&format!("slow start ends with a clock ahead by {from_ms} ms, then {to_ms} ms"), || {
            let (old, new) = tier.request_counts(100);
            (new * 2 > old).then_some(())
        });
    });
}

/// Guards slow start of upstreams that are added long after the previous update: the watch's empty lines, two a second
/// here, show that the new upstreams had not started by then.
#[test]
fn empty_lines_of_the_watch_bound_a_start_when_the_clock_is_ahead() {
    let slow_start_window = Duration::from_secs(10);
    let tier = ScaledUpTier::start(HOUR_MS, HOUR_MS, slow_start_window.as_secs_f64(), slow_start_window);
    let changed = Instant::now();
    let (old, new) = tier.request_counts(300);
    // On a machine too busy to send the requests in time, slow start may have progressed; the test is then
    // inconclusive.
    assert!(
        new * 2 < old || changed.elapsed() > slow_start_window / 4,
        "expected slow start: new upstreams got {new} requests, old ones {old}"
    );
}
