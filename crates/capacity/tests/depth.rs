//! Tests of `capacity depth`, which simulates chains of services with a faulty tier: retries stay within their budgets,
//! and the command writes all slopes.

use std::path::PathBuf;
use std::process::Command;

use capacity::depth::{Chain, Figures};
use capacity::hollow::simulation::{Faults, ServiceFault};
use capacity::plan::Plan;
use capacity::slope::{Results, Slope};

fn plan() -> Plan {
    Plan::parse(include_str!("../plan.toml")).expect("the plan is valid")
}

fn chain(depth: usize, fault: Option<(usize, ServiceFault)>) -> Chain {
    Chain { depth, fault, max_client_retries: 0, all_idempotent: true, seed: 1, seconds: 5.0 }
}

/// Simulates a chain of services, each of which calls the next, and asserts that the run violated no invariant. Returns
/// the attempts sent to the service at depth `at`, where the front has depth 1, with the figures of the whole chain.
fn run_chain(chain: Chain, at: usize) -> Figures {
    let report = chain.simulate(&plan()).expect("the run ends");
    assert_eq!(report.faults, Faults::default(), "{chain:?}");
    chain.figures(&report, at)
}

#[test]
fn chain_without_fault_sends_one_attempt_per_tier() {
    let figures = run_chain(chain(6, None), 6);
    assert!((figures.attempts - 1.0).abs() < 0.02, "{figures:?}");
    assert!(figures.served > 0.98, "{figures:?}");
    assert!(figures.deadline_left_ms > 1500.0 && figures.deadline_left_ms < 2000.0, "{figures:?}");
}

#[test]
fn retries_at_a_failing_tier_stay_within_retry_budgets() {
    for depth in [1, 3, 6] {
        let figures = run_chain(chain(depth, Some((depth, ServiceFault::Failing))), depth);
        // The retry budget of a balancer allows 0.1 retries for each call and holds at most 10 retries. In the end the
        // front refuses most calls.
        let max_attempts = 1.1_f64.powi(depth as i32) + 0.5;
        assert!(figures.attempts > 0.0 && figures.attempts < max_attempts, "{depth}: {figures:?}");
        assert!(figures.all_attempts < max_attempts * depth as f64, "{depth}: {figures:?}");
        assert!(figures.served < 0.01, "{depth}: {figures:?}");
        assert!(figures.refusals_at_front > 0.9, "{depth}: {figures:?}");
    }
}

#[test]
fn tier_that_lost_half_its_upstreams_still_serves() {
    let figures = run_chain(chain(4, Some((3, ServiceFault::Halved))), 3);
    assert!(figures.served > 0.5, "{figures:?}");
}

#[test]
fn tiers_below_an_unresponsive_tier_get_no_calls() {
    let unresponsive = chain(5, Some((3, ServiceFault::Silent)));
    let report = unresponsive.simulate(&plan()).expect("the run ends");
    assert_eq!(report.faults, Faults::default());
    assert_eq!((report.depths[3].calls, report.depths[4].calls), (0, 0));
    assert!(report.depths[2].reached > 0);
}

#[test]
fn same_seed_gives_same_chain_run() {
    let digest = |seed| {
        let chain = Chain { seed, seconds: 3.0, ..chain(4, Some((2, ServiceFault::Failing))) };
        chain.simulate(&plan()).expect("the run ends").digest
    };
    assert_eq!(digest(1), digest(1));
    assert_ne!(digest(1), digest(2));
}

#[test]
fn command_writes_slopes_and_table() {
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("depth");
    let done = Command::new(env!("CARGO_BIN_EXE_capacity"))
        .args(["--plan", "plan.toml", "depth", "--small", "--out"])
        .arg(&out)
        .output()
        .expect("the capacity tool starts");
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    for name in ["depth.attempts_by_depth", "depth.refusals_by_depth", "depth.deadline_ms_by_depth"] {
        let slope = Slope::read(&out.join("slopes"), name).expect("the command wrote the file");
        let sizes: Vec<f64> = slope.points.iter().map(|point| point.x).collect();
        assert!(sizes.len() >= 4 && sizes[sizes.len() - 1] >= 10.0 * sizes[0], "{name}: {sizes:?}");
    }
    let table = Results::read(&out.join("results"), "depth").expect("the command wrote the file");
    assert!(table.rows.iter().all(|row| row.len() == table.columns.len()));
    assert_eq!(table.rows.len(), 3 * 4 * 2);
}
