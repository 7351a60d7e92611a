//! Tests of `capacity sockets`, which connects hollow balancers (simulated, without real traffic) to real control
//! processes, with a small fleet. The tests check counts and order, not durations.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use capacity::plan::Plan;
use capacity::slope::Results;
use capacity::sockets::control_plane::{self, Role};
use capacity::sockets::{fleet, machine};

/// Time after which a test fails; every step that works is much faster.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn plan_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("plan.toml")
}

fn plan() -> Plan {
    Plan::read(&plan_path()).expect("the plan is valid")
}

/// A folder for one test, which does not exist yet.
fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    // Remove the results of an earlier run.
    let _ = fs::remove_dir_all(&folder);
    folder
}

fn capacity_command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_capacity"));
    command.arg("--plan").arg(plan_path()).args(arguments);
    command
}

/// Runs a small fleet through one scenario, and returns the row of its results as pairs of column heading and value.
fn run_scenario(scenario: &str, seed: &str) -> Vec<(String, String)> {
    let out = folder(&format!("sockets-{scenario}"));
    let out_text = out.to_str().expect("the path is UTF-8");
    let arguments = ["sockets", "--small", "--scenario", scenario, "--seed", seed, "--out", out_text];
    let done = capacity_command(&arguments).output().expect("the process starts");
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    let results = Results::read(&out.join("results"), "sockets").expect("the command wrote the table");
    let [row] = &results.rows[..] else { panic!("expected one row: {results:?}") };
    results.columns.iter().cloned().zip(row.iter().cloned()).collect()
}

fn value(row: &[(String, String)], head: &str) -> usize {
    let (_, value) = row.iter().find(|(column, _)| column == head).expect("the table has the column");
    value.parse().expect("the cell is a count")
}

/// Checks that every balancer of a run applied the last change, and none went back to an earlier index.
fn assert_converged(row: &[(String, String)]) {
    assert_eq!(value(row, "balancers"), 60);
    assert_eq!(value(row, "changes"), 24);
    assert!(value(row, "changes in force at balancers") >= 24, "{row:?}");
    assert_eq!(value(row, "indices that went back"), 0);
    assert_eq!(value(row, "balancers without the last change"), 0);
    assert_eq!(value(row, "watches of the list that stood elsewhere at the end"), 0);
}

#[test]
fn all_balancers_reach_the_last_change_after_a_relay_is_killed() {
    assert_converged(&run_scenario("relay", "3"));
}

#[test]
fn all_balancers_reach_the_last_change_after_a_network_partition() {
    assert_converged(&run_scenario("cut", "4"));
}

#[test]
fn all_balancers_reach_the_last_change_after_all_control_processes_restart() {
    assert_converged(&run_scenario("reconnect", "5"));
}

/// Runs the capacity tool with invalid arguments, and returns its standard error.
fn error_of(arguments: &[&str]) -> String {
    let Output { status, stderr, .. } = capacity_command(arguments).output().expect("the process starts");
    assert!(!status.success(), "{arguments:?}");
    String::from_utf8(stderr).expect("the path is UTF-8")
}

#[test]
fn invalid_arguments_are_named_in_the_error() {
    for (arguments, place) in [
        (["sockets", "--balancers", "0"], "--balancers: 1 to 1900"),
        (["sockets", "--balancers", "1901"], "--balancers: 1 to 1900"),
        (["sockets", "--per-process", "0"], "--per-process: 1 at least"),
        (["sockets", "--per-process", "5"], "--per-process: so many that 200 processes do"),
        (["sockets", "--changes", "0"], "--changes: 1 at least"),
        (["sockets", "--seconds", "0"], "--seconds: 1 to 600"),
        (["sockets", "--seeds", "0"], "--seeds: 1 to 100"),
        (["sockets", "--list", "0"], "--list: 1 to 10000"),
        (["sockets", "--scenario", "flood"], "'flood' for '--scenario"),
    ] {
        let message = error_of(&arguments);
        assert!(message.contains(place), "{arguments:?}: {message}");
    }
    let message = error_of(&["sockets", "--small", "--out", "/dev/null/nowhere"]);
    assert!(message.contains("/dev/null/nowhere/results"), "{message}");
}

/// Process ids of the children of a process, from `/proc`.
fn children_of(parent: u32) -> BTreeSet<u32> {
    let all = fs::read_dir("/proc").expect("/proc is readable").flatten();
    let pids = all.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    let is_child = |pid: &u32| {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields = stat.rsplit_once(')').map(|(_, rest)| rest.split_ascii_whitespace());
        fields.and_then(|mut fields| fields.nth(1)?.parse().ok()) == Some(parent)
    };
    pids.filter(is_child).collect()
}

fn is_hollow(pid: u32) -> bool {
    fs::read(format!("/proc/{pid}/cmdline"))
        .is_ok_and(|line| String::from_utf8_lossy(&line).contains("--hollow-balancers"))
}

/// Waits until `condition` returns a value.
fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Starts a run that lasts longer than the test, and returns it with its child processes once all have started.
fn start_long_run(name: &str) -> (Child, BTreeSet<u32>) {
    let out = folder(name);
    let out = out.to_str().expect("the path is UTF-8");
    let arguments =
        ["sockets", "--scenario", "none", "--balancers", "40", "--per-process", "20", "--out", out];
    let run = capacity_command(&arguments)
        .stderr(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .expect("the process starts");
    let processes = plan().budget.control_machines.value + 2;
    let children = wait_for("all processes to start", || {
        Some(children_of(run.id()))
            .filter(|all| all.len() == processes && all.iter().filter(|&&pid| is_hollow(pid)).count() == 2)
    });
    (run, children)
}

/// Sends a signal to one process.
fn send_signal(pid: u32, signal: &str) {
    let done = Command::new("kill").args([signal, &pid.to_string()]).status().expect("the process starts");
    assert!(done.success());
}

/// Checks that a run fails with an error that contains `place`, and that its child processes have ended.
fn assert_all_ended(run: Child, children: &BTreeSet<u32>, place: &str) {
    let done = run.wait_with_output().expect("the process ends");
    assert!(!done.status.success());
    let message = String::from_utf8_lossy(&done.stderr);
    assert!(message.contains(place), "{message}");
    for &pid in children {
        assert_eq!(machine::usage(pid), None, "process {pid} is still running");
    }
}

#[test]
fn failed_run_leaves_no_process_behind() {
    let (run, children) = start_long_run("sockets-failed");
    let hollow = children.iter().copied().find(|&pid| is_hollow(pid)).expect("the run has a hollow process");
    send_signal(hollow, "-KILL");
    assert_all_ended(run, &children, "hollow balancers, process");
}

#[test]
fn run_that_is_asked_to_end_leaves_no_process_behind() {
    let (run, children) = start_long_run("sockets-asked");
    send_signal(run.id(), "-TERM");
    assert_all_ended(run, &children, "asked to end");
}

#[test]
fn balancers_are_spread_over_services_and_zones_by_the_plan() {
    let plan = plan();
    let balancers = fleet(&plan, plan.fleet.upstreams.value);
    for (service, &size) in plan.service_sizes().iter().enumerate() {
        assert_eq!(balancers.iter().filter(|one| one.service == service).count(), size, "service {service}");
    }
    for region in 0..plan.fleet.regions.value {
        let here = balancers.iter().filter(|one| control_plane::region_of(&plan, one.zone) == region).count();
        let fraction = here as f64 / balancers.len() as f64;
        assert!(
            (fraction - plan.fleet.region_shares.value[region]).abs() < 0.01,
            "region {region}: {fraction}"
        );
    }
}

#[test]
fn control_process_placement_has_no_loops_and_each_balancer_has_at_least_two_parents() {
    let plan = plan();
    let machines = control_plane::control_processes(&plan);
    assert_eq!(machines.len(), plan.budget.control_machines.value);
    for machine in &machines {
        assert_eq!(machine.parents.is_empty(), machine.role == Role::Origin, "{machine:?}");
        assert!(machine.parents.iter().all(|&parent| machines[parent].role < machine.role), "{machine:?}");
    }
    for zone in 0..plan.fleet.zones.value {
        let region = control_plane::region_of(&plan, zone);
        let own = machines.iter().filter(|machine| {
            machine.zone == Some(zone) || machine.role == Role::Region && machine.region == region
        });
        assert!(own.count() >= 2, "zone {zone}");
    }
}

#[test]
fn document_body_has_the_requested_size_and_differs_between_turns() {
    for bytes in [2048, 4096, 6144] {
        let body = control_plane::body(bytes, 1);
        assert!((bytes - 60..=bytes).contains(&body.len()), "{}", body.len());
        assert_ne!(body, control_plane::body(bytes, 2));
    }
}
