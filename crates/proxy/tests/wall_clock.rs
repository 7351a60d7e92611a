//! Slow start under wall clocks that are wrong or step, through the server on real sockets.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use balancer_proxy::clock::{SystemClock, WallClock};
use common::*;
use serde_json::{Value, json};

const HOUR_MS: i64 = 3_600_000;

/// The machine's clock, ahead by as many milliseconds as the test says.
#[derive(Debug)]
struct Ahead(Arc<AtomicI64>);

impl WallClock for Ahead {
    fn unix_ms(&self) -> u64 {
        SystemClock.unix_ms().saturating_add_signed(self.0.load(Ordering::Relaxed))
    }
}

/// A balancer whose wall clock the test sets.
fn start_with_clock(configuration: &str, ahead_ms: &Arc<AtomicI64>) -> Balancer {
    let mut config = parsed(configuration);
    config.wall_clock = Box::new(Ahead(Arc::clone(ahead_ms)));
    Balancer::start_on(config, |listener| listener)
}

/// Upstreams of one sort, which are all listed with the same stamp.
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

    fn requests(&self) -> usize {
        self.upstreams.iter().map(|upstream| upstream.requests().len()).sum()
    }
}

/// Two upstreams that started long ago, and two that a change says have started now.
struct Joined {
    old: Group,
    new: Group,
    balancer: Balancer,
    /// Goes on until this is dropped.
    _watch: Watch,
}

/// Upstreams in slow start get this part of a warm one's.
const SLOW_START_MIN_FRACTION: f64 = 0.05;

impl Joined {
    /// With a wall clock that is ahead by `from_ms` at the balancer's start, and by `to_ms` from the first list on; the
    /// change comes so long after that.
    fn start(from_ms: i64, to_ms: i64, cold_s: f64, after: Duration) -> Self {
        let (old, discovery) = (Group::start("old", 0), Discovery::start());
        let mut text: Value =
            serde_json::from_str(&configuration(discovery.address, &old.entries, 30.0, 1024)).expect("JSON");
        text["settings"]["rules"]["coldS"] = json!(cold_s);
        text["settings"]["rules"]["coldShare"] = json!(SLOW_START_MIN_FRACTION);
        let ahead_ms = Arc::new(AtomicI64::new(from_ms));
        let balancer = start_with_clock(&text.to_string(), &ahead_ms);
        let (_, watch) = discovery.watch();
        watch.says(8, true, &old.entries);
        let mut client = balancer.client();
        let listed = Instant::now();
        for _ in 0..20 {
            client.ask("read", "");
        }
        wait_for("the list has grown old", || (listed.elapsed() >= after).then_some(()));
        ahead_ms.store(to_ms, Ordering::Relaxed);
        let new = Group::start("new", SystemClock.unix_ms());
        let mut entries = new.entries.clone();
        // Tells that the change has been applied.
        let last = Upstream::start(|_, _| ok("last"));
        entries.push(endpoint("last", last.address, 0, "ready"));
        watch.says(9, false, &entries);
        wait_for("the change is applied", || (client.ask("read", "").body == b"last").then_some(()));
        watch.says(10, false, &[endpoint("last", last.address, 0, "gone")]);
        wait_for("it has left", || (0..16).all(|_| client.ask("read", "").body != b"last").then_some(()));
        Self { old, new, balancer, _watch: watch }
    }

    /// What the old and the new get of so many requests.
    fn parts(&self, requests: usize) -> (usize, usize) {
        let before = (self.old.requests(), self.new.requests());
        let mut client = self.balancer.client();
        for _ in 0..requests {
            assert_eq!(client.ask("read", "").status(), 200);
        }
        (self.old.requests() - before.0, self.new.requests() - before.1)
    }
}

/// Plays a case with wall clocks that are wrong from the start and that step after the first list, side by side.
fn under_each_clock(case: impl Fn(i64, i64) + Send + Sync) {
    let clocks = [(0, 0), (HOUR_MS, HOUR_MS), (-HOUR_MS, -HOUR_MS), (0, HOUR_MS), (0, -HOUR_MS)];
    thread::scope(|scope| {
        for (from_ms, to_ms) in clocks {
            let case = &case;
            scope.spawn(move || case(from_ms, to_ms));
        }
    });
}

/// Guards upstreams that have just started, whose slow start here is longer than the test.
#[test]
fn slow_start_is_not_skipped_under_a_wrong_clock() {
    under_each_clock(|from_ms, to_ms| {
        let joined = Joined::start(from_ms, to_ms, 600.0, Duration::ZERO);
        let (old, new) = joined.parts(300);
        assert!(new * 3 < old, "{from_ms} to {to_ms}: {new} beside {old}");
    });
}

/// Guards the part of upstreams that have been up for their slow start.
#[test]
fn slow_start_ends_under_a_wrong_clock() {
    under_each_clock(|from_ms, to_ms| {
        let joined = Joined::start(from_ms, to_ms, 0.5, Duration::ZERO);
        wait_for(&format!("{from_ms} to {to_ms}: the new ones are warm"), || {
            let (old, new) = joined.parts(100);
            (new * 2 > old).then_some(())
        });
    });
}

/// Guards slow start after a long time without a change: the watch's empty lines, two a second here, say that nothing
/// had started by then.
#[test]
fn signs_of_life_bound_a_start_under_a_clock_that_is_ahead() {
    let slow_start_window = Duration::from_secs(10);
    let joined = Joined::start(HOUR_MS, HOUR_MS, slow_start_window.as_secs_f64(), slow_start_window);
    let changed = Instant::now();
    let (old, new) = joined.parts(300);
    // On a machine too busy to ask in time they may be warm by then, which proves nothing.
    assert!(new * 2 < old || changed.elapsed() > slow_start_window / 4, "{new} beside {old}");
}
