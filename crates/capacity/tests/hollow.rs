//! Tests of `capacity hollow` with small fleets of hollow processes (simulated, without real traffic): the same seed
//! gives the same run, no call is lost, and the error for an invalid argument names it.

use std::collections::HashSet;
use std::path::PathBuf;
use std::process::Command;

use capacity::CapacityError;
use capacity::hollow::scenario::{Scenario, Span};
use capacity::hollow::simulation::{Faults, Report};
use capacity::hollow::timer_wheel::TimerWheel;
use capacity::hollow::topology::{Destination, Topology};
use capacity::hollow::{Run, RunResult, scale_plan, simulate, sum};
use capacity::plan::{Plan, Reading};
use capacity::slope::Results;
use oorandom::Rand64;

fn plan() -> Plan {
    Plan::parse(include_str!("../plan.toml")).expect("the plan is valid")
}

/// Runs a scenario with a fleet of 60 upstreams.
fn run_small(scenario: Scenario, seed: u64, seconds: f64) -> RunResult {
    let plan = scale_plan(&plan(), 60).expect("the plan can be scaled down to 60 upstreams");
    let run = Run { scenario, reading: Reading::Hops, seed, seconds, memory_mb: 4096 };
    simulate(&plan, &run).expect("the run ends")
}

/// Fraction of the calls between two virtual seconds that were served in time.
fn served_fraction(report: &Report, from: f64, until: f64) -> f64 {
    let all = sum(&report.seconds, from, until);
    all.served as f64 / all.calls as f64
}

#[test]
fn same_seed_gives_same_run() {
    let [one, same, other] = [3, 3, 4].map(|seed| run_small(Scenario::Ordinary, seed, 8.0).report);
    assert_eq!(one.digest, same.digest);
    assert_eq!((one.events, &one.seconds, &one.depths), (same.events, &same.seconds, &same.depths));
    assert_ne!(one.digest, other.digest);
}

#[test]
fn every_call_gets_one_response_and_no_unsafe_call_runs_twice() {
    for scenario in Scenario::ALL {
        for seed in 1..=2 {
            let report = run_small(scenario, seed, 12.0).report;
            assert_eq!(report.faults, Faults::default(), "{scenario:?} with seed {seed}");
            for second in &report.seconds {
                let ended = second.served + second.late + second.refused + second.failed;
                assert_eq!(ended, second.calls, "{scenario:?} with seed {seed}");
            }
            let all = sum(&report.seconds, 0.0, f64::MAX);
            assert!(all.calls > 5000, "{scenario:?} with seed {seed}: {all:?}");
            // Each attempt has an end, except those of balancers that stopped before the attempt ended.
            for depth in &report.depths {
                assert!(depth.ends.iter().sum::<u64>() <= depth.attempts, "{scenario:?}: {depth:?}");
            }
        }
    }
}

#[test]
fn planned_replacement_overloads_no_warming_upstream() {
    let run_result = run_small(Scenario::Replacement, 1, 50.0);
    assert_eq!(run_result.report.cold_starts, 60, "each upstream was replaced once");
    assert_eq!(run_result.report.overload_crashes, 0);
    let served = served_fraction(&run_result.report, 3.0, 50.0);
    assert!(served > 0.95, "{served}");
}

#[test]
fn network_partition_loses_calls_and_the_rest_is_served() {
    let run_result = run_small(Scenario::Region, 1, 24.0);
    let lost_attempts: u64 = run_result.report.depths.iter().map(|depth| depth.ends[3] + depth.ends[4]).sum();
    assert!(lost_attempts > 0, "no attempt was lost in the network partition");
    let Span { from_s: from, until_s: until } = run_result.fault;
    let within = served_fraction(&run_result.report, from, until);
    let reachable = run_result.reachable.expect("a network partition leaves some calls without an upstream");
    assert!(0.5 < reachable && reachable < 1.0, "{reachable}");
    assert!(0.5 < within && within <= reachable + 0.02, "{within} within, {reachable} with an upstream");
}

#[test]
fn lost_zone_returns_with_upstreams_warming_up() {
    let run_result = run_small(Scenario::Zone, 2, 24.0);
    assert!(run_result.report.cold_starts > 0);
    assert!(run_result.report.lists > 0);
    let after = served_fraction(&run_result.report, run_result.fault.until_s + 6.0, 24.0);
    assert!(after > 0.9, "{after}");
}

#[test]
fn topology_matches_the_plan() {
    let plan = plan();
    for reading in [Reading::Hops, Reading::Front] {
        let topology = Topology::draw(&plan, reading, 5);
        assert_eq!(topology.services.len(), plan.fleet.services.value);
        let upstreams: usize = topology.services.iter().map(|service| service.zones.len()).sum();
        assert_eq!(upstreams, plan.fleet.upstreams.value);
        let mut called: HashSet<usize> = topology.entries.iter().map(|entry| entry.service).collect();
        for service in &topology.services {
            for &Destination { service: below, .. } in &service.calls {
                assert_eq!(topology.services[below].depth, service.depth + 1);
                called.insert(below);
            }
            let last = service.calls.last().map_or(1.0, |call| call.until);
            assert!((last - 1.0).abs() < 1e-9);
            assert_eq!(service.calls.is_empty(), service.depth == plan.graph.depth.value);
        }
        assert_eq!(called.len(), topology.services.len(), "each service has a client");
        let hops: f64 = topology.services.iter().map(|service| service.rate).sum();
        assert!((hops / plan.hops_per_s(reading) - 1.0).abs() < 0.01, "{hops} calls a second over all hops");
        let busiest = topology.busiest_over_mean();
        assert!((1.5..=1.5 * plan.traffic.busiest_over_mean.value).contains(&busiest), "{busiest}");
    }
}

#[test]
fn wheel_yields_events_by_time_then_insertion_order() {
    let mut rng = Rand64::new(7);
    let mut wheel = TimerWheel::default();
    let (mut before, mut got, mut put) = (None, 0, 0_u64);
    for _ in 0..2000 {
        wheel.push(rng.rand_range(0..3) * rng.rand_range(0..10_000_000_000), put);
        put += 1;
    }
    while let Some((at, number)) = wheel.pop() {
        assert!(before.is_none_or(|before| (at, number) > before), "{at} {number} after {before:?}");
        before = Some((at, number));
        got += 1;
        if put < 6000 {
            wheel.push(at + rng.rand_range(0..6_000_000_000), put);
            put += 1;
        }
    }
    assert_eq!((got, put), (6000, 6000));
}

#[test]
fn run_over_its_memory_limit_names_the_place() {
    let plan = scale_plan(&plan(), 60).expect("the plan can be scaled down to 60 upstreams");
    let run = Run { scenario: Scenario::Rack, reading: Reading::Hops, seed: 1, seconds: 6.0, memory_mb: 1 };
    match simulate(&plan, &run) {
        Err(CapacityError::Memory { place, used_mb, bound_mb: 1 }) => {
            assert!(place.contains("rack at 0.25 s"), "{place}");
            assert!(used_mb > 1);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn invalid_arguments_are_named_in_the_error() {
    for (wrong, name) in [
        (&["--upstreams", "3"][..], "--upstreams"),
        (&["--upstreams", "1000000"], "--upstreams"),
        (&["--seconds", "1", "--small", "--scenario", "rack"], "--seconds"),
        (&["--seconds", "NaN", "--small", "--scenario", "rack"], "--seconds"),
        (&["--seeds", "0"], "--seeds"),
        (&["--scenario", "flood"], "--scenario"),
        (&["--reading", "both"], "--reading"),
        (&["--memory-mb", "1", "--small", "--scenario", "rack"], "rack"),
    ] {
        let done = Command::new(env!("CARGO_BIN_EXE_capacity"))
            .args(["--plan", "plan.toml", "hollow", "--out", env!("CARGO_TARGET_TMPDIR")])
            .args(wrong)
            .output()
            .expect("the capacity tool starts");
        let message = String::from_utf8_lossy(&done.stderr);
        assert!(!done.status.success() && message.contains(name), "{wrong:?}: {message}");
    }
}

#[test]
fn command_writes_one_row_per_run() {
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("hollow-rows");
    let _ = std::fs::remove_dir_all(&out);
    for seed in ["1", "2", "2"] {
        let done = Command::new(env!("CARGO_BIN_EXE_capacity"))
            .args(["--plan", "plan.toml", "hollow", "--scenario", "rack", "--upstreams", "30"])
            .args(["--seconds", "5", "--seed", seed, "--out"])
            .arg(&out)
            .output()
            .expect("the capacity tool starts");
        assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    }
    let results = Results::read(&out.join("results"), "hollow").expect("the command wrote the table");
    let seeds: Vec<&str> = results.rows.iter().map(|row| row[3].as_str()).collect();
    assert_eq!(seeds, ["1", "2"], "a repeated run replaces the row of the earlier one");
    assert!(results.rows.iter().all(|row| row.len() == results.columns.len()));
}
