//! Tests of the test bench that runs real balancers, and of `capacity process`. The tests check counts, not durations.

use std::fs;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::AtomicUsize;
use std::time::{Duration, Instant};

use capacity::slope::Slope;
use capacity::testbed::{
    self, Balancer, Call, CallOutcome, CallResult, Class, Counts, Discovery, Route, Upstreams, Usage,
};

mod common;

use common::{assert_fails_with, balancer_program, plan, run_capacity};

/// A route to the targets with `initial_connections` connections opened before the first call.
fn route(targets: Vec<std::net::SocketAddr>, initial_connections: usize) -> Route {
    Route { targets, initial_connections, deadline: Duration::from_secs(2), tenants: 1 }
}

fn send_calls(calls: &[Call], routes: &[Route], first: usize) -> Vec<CallResult> {
    let zero = Instant::now() + testbed::CONNECT_LEAD_TIME;
    testbed::send_calls(calls, routes, first, zero, &AtomicUsize::new(0)).expect("connections come up")
}

/// Guards against coordinated omission: calls are sent at their scheduled times even when earlier calls are unanswered.
/// An upstream that stalls once delays every call scheduled in that time, and each latency counts from the scheduled
/// time.
#[test]
fn stall_shows_in_the_latency_of_every_delayed_call() {
    let upstreams = Upstreams::start(1, 1, 300).expect("the stand-in starts");
    let call = |number: u64| Call {
        at: Duration::from_millis(number),
        route: 0,
        class: Class::Read,
        pair: number as usize,
    };
    let calls: Vec<Call> = (0..300).map(call).collect();
    let first = upstreams.records.take_ids(calls.len()).expect("enough ids are left");
    let stall = Duration::from_millis(100);
    upstreams.records.stall(first + 100, stall);
    // There are two warm connections: clients that waited for responses would have only two late calls.
    let call_results = send_calls(&calls, &[route(upstreams.addresses.clone(), 2)], first);
    assert!(call_results.iter().all(CallResult::is_right));
    let late = calls
        .iter()
        .zip(&call_results)
        .filter(|(call, call_result)| call_result.latency(call) >= stall / 2)
        .count();
    // The 50 calls of the first half of the stall wait for at least half of its duration. One or two of them may have
    // been read before the stall began.
    assert!(late >= 45, "{late} of 50");
    assert!(
        call_results[101..145]
            .iter()
            .zip(&calls[101..145])
            .all(|(call_result, call)| call_result.sent >= call.at)
    );
}

/// Guards the counts that other tests rely on: a call that ran twice, ran although it was refused, or never reached an
/// upstream is not counted as right.
#[test]
fn each_call_is_counted_at_client_and_upstream() {
    let upstreams = Upstreams::start(2, 1, 30).expect("the stand-in starts");
    let classes = [Class::Read, Class::Order];
    let calls: Vec<Call> = (0..10)
        .map(|number| Call { at: Duration::ZERO, route: 0, class: classes[number % 2], pair: number })
        .collect();
    let routes = [route(upstreams.addresses.clone(), 4)];
    let first = upstreams.records.take_ids(10).expect("enough ids are left");
    let call_results = send_calls(&calls, &routes, first);
    let counts = Counts::of(&calls, &call_results, &upstreams.records, first);
    assert_eq!(counts, Counts { calls: 10, right: 10, ..Counts::default() });

    // Send the same ids a second time: the calls that must not run twice are counted as such.
    let again = send_calls(&calls, &routes, first);
    let counts = Counts::of(&calls, &again, &upstreams.records, first);
    assert_eq!(counts, Counts { calls: 10, right: 10, twice: 5, repeated: 5, ..Counts::default() });

    // Count ids that never reached an upstream, with responses that claim that they did.
    let unseen = upstreams.records.take_ids(10).expect("enough ids are left");
    let counts = Counts::of(&calls, &call_results, &upstreams.records, unseen);
    assert_eq!(counts, Counts { calls: 10, wrong: 10, ..Counts::default() });

    // One call that ran is reported as refused, and one as lost.
    let mut ended = call_results;
    ended[0].end = CallOutcome::Refused;
    ended[1].end = CallOutcome::Lost;
    let counts = Counts::of(&calls, &ended, &upstreams.records, first);
    assert_eq!((counts.right, counts.wrong, counts.lost, counts.refused), (8, 1, 1, 0));
    assert!(upstreams.records.take_ids(11).is_err());
}

/// Guards the pairing of calls: each pair has one call on every route, the calls are in order of time, and the same
/// seed gives the same calls.
#[test]
fn call_pairs_are_complete_and_determined_by_the_seed() {
    let draw = |seed| {
        let mut rng = oorandom::Rand64::new(seed);
        testbed::paired(&mut rng, 3, 500.0, Duration::from_secs(2), false)
    };
    let calls = draw(1);
    assert!(calls.is_sorted_by_key(|call| call.at));
    assert_eq!((&calls, false), (&draw(1), calls == draw(2)));
    let pairs = calls.len() / 3;
    for pair in 0..pairs {
        let mut routes: Vec<usize> =
            calls.iter().filter(|call| call.pair == pair).map(|call| call.route).collect();
        routes.sort_unstable();
        assert_eq!(routes, [0, 1, 2], "{pair}");
    }
    // 1000 pairs are expected; five standard deviations of the Poisson distribution are 158.
    assert!((842..1158).contains(&pairs), "{pairs}");
}

/// Guards the balancer process of the test bench: it serves calls, and its resource usage can be read by its process id.
/// After the drop no process with that id runs and its port is closed.
#[test]
fn balancer_serves_and_is_stopped_on_drop() {
    let upstreams = Upstreams::start(3, 1, 200).expect("the stand-in starts");
    let discovery =
        Discovery::start(upstreams.entries(), Duration::from_millis(500)).expect("the stand-in starts");
    let settings = testbed::settings(&plan(), 3);
    let configuration = testbed::configuration("b0", discovery.address, &upstreams.entries(), &settings);
    let balancer =
        Balancer::start(&balancer_program(), &configuration, None, |_| ()).expect("the balancer serves");
    let id = balancer.process.id();
    let before = Usage::of(id).expect("the process exists");
    let mut rng = oorandom::Rand64::new(7);
    let calls = testbed::paired(&mut rng, 1, 200.0, Duration::from_millis(500), false);
    let first = upstreams.records.take_ids(calls.len()).expect("enough ids are left");
    let mut route = route(vec![balancer.address], 4);
    route.tenants = plan().traffic.tenants.value;
    let call_results = send_calls(&calls, &[route], first);
    let counts = Counts::of(&calls, &call_results, &upstreams.records, first);
    assert_eq!(counts, Counts { calls: calls.len(), right: calls.len(), ..Counts::default() });
    assert!(Usage::of(id).expect("the process exists").since(before).cpu_ns > 0);
    assert!(testbed::memory_kb(id).expect("the process exists") > 0);
    assert!(balancer.listens_after <= balancer.serves_after);
    let address = balancer.address;
    drop(balancer);
    assert!(!Path::new(&format!("/proc/{id}")).exists());
    assert!(TcpStream::connect(address).is_err());
}

/// Guards the error of a balancer that fails to start: it contains the program's own message.
#[test]
fn failed_balancer_start_reports_the_reason() {
    let upstreams = Upstreams::start(1, 1, 0).expect("the stand-in starts");
    let mut settings = testbed::settings(&plan(), 1);
    settings["lanes"] = serde_json::json!([]);
    let configuration = testbed::configuration("b0", upstreams.addresses[0], &upstreams.entries(), &settings);
    let error = Balancer::start(&balancer_program(), &configuration, None, |_| ())
        .expect_err("a balancer without a class does not start");
    assert!(error.to_string().contains("class"), "{error}");
}

/// Guards the command `process`: it writes its slopes with all sizes, and the error for an invalid argument names it.
#[test]
fn process_writes_its_slopes() {
    let out = common::TempDir::new("process");
    let program = balancer_program();
    let program = program.to_str().expect("the path is UTF-8");
    let path = out.path().to_str().expect("the path is UTF-8");
    run_capacity(&["process", "--small", "--out", path, "--program", program]);
    for name in ["memory_kb", "start_ms", "request_us", "idle_core"] {
        let slope = Slope::read(&out.path().join("slopes"), &format!("process.{name}_by_upstreams"))
            .expect("the command wrote the file");
        assert_eq!((slope.points.len(), slope.plays), (2, 1), "{name}");
    }
    assert!(fs::read_dir(out.path().join("results")).expect("the folder exists").next().is_none());
    assert_fails_with(
        &["process", "--program", "/nowhere/at/all"],
        "--program: no program at /nowhere/at/all",
    );
    assert_fails_with(&["process", "--sizes", "7", "--program", program], "--sizes: ");
    assert_fails_with(&["process", "--plays", "0", "--program", program], "--plays: ");
    assert_fails_with(&["process", "--rate", "0", "--program", program], "--rate: ");
}
