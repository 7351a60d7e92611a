//! The hollow fleet: a discrete-event simulation that runs the real decision cores of all balancers of a fleet in one
//! process. The fleet is hollow because its processes carry no real traffic.
//!
//! Each upstream of the plan has one `balancer_policy::Balancer` for each service that it calls, and each front has one
//! for each service that clients call directly. Everything else is modelled: servers, queues, cold starts, links,
//! service discovery and clients. Two runs with the same seed give identical results.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Instant;

use clap::{Args, ValueEnum};

use crate::CapacityError;
use crate::plan::{Plan, PlanFault, Reading};
use crate::slope::{self, Results};

pub mod scenario;
pub mod simulation;
mod table;
pub mod timer_wheel;
pub mod topology;

use scenario::{Scenario, Script, Span};
use simulation::{FleetSimulation, Report, RunParameters, Second, Step};
use table::{COLUMNS, KEY_COLUMNS, NOTE, row};
use topology::Topology;

/// Number of upstreams in a `--small` run.
const SMALL_UPSTREAMS: usize = 120;
/// Fraction of a scenario's usual duration that is simulated when the rate counts calls at the front, because that
/// reading has twelve times the calls.
const FRONT_DURATION_FRACTION: f64 = 0.2;

/// How the plan's "calls a second" is interpreted; the command-line form of [`Reading`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ReadingArgument {
    /// The rate counts calls at the front; each of them causes one call at every depth of its chain. The run is
    /// simulated for fewer seconds.
    Front,
    /// The rate counts the calls of all hops together; the run is simulated for its full duration.
    Hops,
}

impl From<ReadingArgument> for Reading {
    fn from(read: ReadingArgument) -> Self {
        match read {
            ReadingArgument::Front => Self::Front,
            ReadingArgument::Hops => Self::Hops,
        }
    }
}

/// Simulates a fleet of balancers in virtual time, with the real decision cores of all balancers in one process.
#[derive(Debug, Clone, Args)]
pub struct Arguments {
    /// Scenario to simulate; all scenarios, one after another, if omitted.
    #[arg(long, value_enum)]
    pub scenario: Option<Scenario>,
    /// Seed of the first run.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of consecutive seeds to run, starting with the first.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// How the plan's "calls a second" is interpreted.
    #[arg(long, value_enum, default_value = "hops")]
    pub reading: ReadingArgument,
    /// Number of upstreams, with services and calls scaled in proportion; the plan's number if omitted.
    #[arg(long)]
    pub upstreams: Option<usize>,
    /// Virtual seconds during which clients send calls; the scenario's own duration if omitted.
    #[arg(long)]
    pub seconds: Option<f64>,
    /// Memory limit of a run, in MB.
    #[arg(long, default_value_t = 8192)]
    pub memory_mb: u64,
    /// Number of runs at a time, each in its own process.
    #[arg(long, default_value_t = 1)]
    pub jobs: usize,
    /// Run a quick version with a small fleet.
    #[arg(long)]
    pub small: bool,
    /// Folder that contains the folder `results`.
    #[arg(long, default_value = "crates/capacity")]
    pub out: PathBuf,
    /// Simulate one run in this process and print its row of the table as JSON.
    #[arg(long, hide = true)]
    pub row: bool,
}

/// Parameters of one simulation run: a scenario with a seed.
#[derive(Debug, Clone)]
pub struct Run {
    /// Scenario to simulate.
    pub scenario: Scenario,
    /// How the plan's "calls a second" is interpreted.
    pub reading: Reading,
    /// Seed of all random draws.
    pub seed: u64,
    /// Virtual seconds during which clients send calls.
    pub seconds: f64,
    /// Memory limit of the process, in MB.
    pub memory_mb: u64,
}

impl Run {
    /// Describes the run in error messages.
    fn place(&self) -> String {
        format!("hollow fleet, {} with seed {}", self.scenario.name(), self.seed)
    }
}

/// Result of a simulation run, with the properties of the fleet that it was run on.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// Figures that the simulation collected.
    pub report: Report,
    /// Time span during which the scenario's fault lasted.
    pub fault: Span,
    /// Number of upstreams in the fleet.
    pub upstreams: usize,
    /// Calls a second of the busiest upstream divided by the mean over all upstreams, in the drawn topology.
    pub busiest_over_mean: f64,
    /// Fraction of the calls that find an upstream at each step of their chain during the fault; `None` if the scenario
    /// does not make a whole zone or region unreachable.
    pub reachable: Option<f64>,
}

/// Returns the plan scaled to a number of upstreams: services, calls, failures and replacements change in proportion.
///
/// # Errors
/// The number of upstreams is below twice the plan's chain depth, or above 100000.
pub fn scale_plan(plan: &Plan, upstreams: usize) -> Result<Plan, CapacityError> {
    let upstreams_min = plan.graph.depth.value * 2;
    if !(upstreams_min..=100_000).contains(&upstreams) {
        return Err(CapacityError::Argument {
            name: "upstreams",
            expected: format!("{upstreams_min} to 100000"),
        });
    }
    let fraction = upstreams as f64 / plan.fleet.upstreams.value as f64;
    let mut plan = plan.clone();
    let services = (plan.fleet.services.value as f64 * fraction).round() as usize;
    plan.fleet.services.value = services.clamp(plan.graph.depth.value, upstreams);
    plan.fleet.upstreams.value = upstreams;
    plan.traffic.calls_per_s.value *= fraction;
    plan.failures.machines_per_day.value *= fraction;
    plan.failures.replaced_per_day.value *= fraction;
    Ok(plan)
}

/// Simulates one run in this process.
///
/// # Errors
/// The duration is out of range, the plan has fewer services than depths, its figures give no valid settings, or the
/// memory limit is exceeded.
pub fn simulate(plan: &Plan, run: &Run) -> Result<RunResult, CapacityError> {
    let Run { scenario, reading, seed, seconds, memory_mb } = *run;
    if !(5.0..=3600.0).contains(&seconds) {
        return Err(CapacityError::Argument { name: "seconds", expected: "5 to 3600".to_owned() });
    }
    if plan.fleet.services.value < plan.graph.depth.value {
        return Err(CapacityError::Plan(vec![PlanFault {
            place: "fleet.services",
            expected: "at least as many services as graph.depth, one for each depth",
        }]));
    }
    let topology = Topology::draw(plan, reading, seed);
    let Script { steps, fault } = scenario.script(plan, &topology, seconds, seed);
    let reachable = steps.iter().find_map(|timed| reachable_after(timed.step, &topology));
    let parameters = RunParameters {
        name: scenario.name().to_owned(),
        seconds,
        seed,
        memory_mb,
        script: steps,
        starts_warming_up: scenario == Scenario::Cold,
        fault: None,
        max_client_retries: plan.traffic.client_repeats.value,
        idempotency_fractions: None,
    };
    let report = FleetSimulation::new(plan, &topology, &parameters)?.run()?;
    let upstreams = plan.fleet.upstreams.value;
    Ok(RunResult { report, fault, upstreams, busiest_over_mean: topology.busiest_over_mean(), reachable })
}

/// Fraction of the calls that find an upstream at each step of their chain after a scenario step that loses a zone or
/// cuts off a region; `None` for other steps.
fn reachable_after(step: Step, topology: &Topology) -> Option<f64> {
    match step {
        Step::FailZone(lost) => Some(topology.reachable(|zone| zone != lost)),
        Step::PartitionRegion(region) => {
            // Clients on each side of the network partition reach only the upstreams on their own side.
            let inside = |zone: usize| topology.region_of[zone] == region;
            let mut before = 0.0;
            let inside_fraction: f64 = (0..).zip(&topology.clients).fold(0.0, |sum, (zone, until)| {
                let fraction = until - std::mem::replace(&mut before, *until);
                if inside(zone) { sum + fraction } else { sum }
            });
            Some(
                inside_fraction * topology.reachable(inside)
                    + (1.0 - inside_fraction) * topology.reachable(|zone| !inside(zone)),
            )
        }
        _ => None,
    }
}

/// Simulates the requested scenarios and seeds, each in its own process, and adds their rows to the results table.
///
/// # Errors
/// An argument is out of range, a run fails, or the results file cannot be written; the error names which.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    let upstreams = arguments.upstreams.or(arguments.small.then_some(SMALL_UPSTREAMS));
    let scaled_plan = upstreams.map(|upstreams| scale_plan(plan, upstreams)).transpose()?;
    let plan = scaled_plan.as_ref().unwrap_or(plan);
    if arguments.seeds == 0 {
        return Err(CapacityError::Argument { name: "seeds", expected: "at least 1".to_owned() });
    }
    let runs = runs(arguments);
    if arguments.row {
        return print_row(plan, &runs);
    }
    let rows = run_in_processes(arguments, &runs, upstreams)?;
    write_rows(arguments, rows)
}

/// The runs that the arguments ask for, ordered by scenario and then by seed.
fn runs(arguments: &Arguments) -> Vec<Run> {
    let seeds = || arguments.seed..arguments.seed.saturating_add(arguments.seeds);
    arguments
        .scenario
        .map_or(Scenario::ALL.to_vec(), |scenario| vec![scenario])
        .into_iter()
        .flat_map(|scenario| seeds().map(move |seed| (scenario, seed)))
        .map(|(scenario, seed)| {
            let fraction =
                if arguments.reading == ReadingArgument::Front { FRONT_DURATION_FRACTION } else { 1.0 };
            let usual = if arguments.small { scenario.seconds() / 2.0 } else { scenario.seconds() };
            let seconds = arguments.seconds.unwrap_or(usual * fraction);
            Run { scenario, reading: arguments.reading.into(), seed, seconds, memory_mb: arguments.memory_mb }
        })
        .collect()
}

/// Simulates a single run in this process and prints its table row as JSON for the parent process to read.
fn print_row(plan: &Plan, runs: &[Run]) -> Result<(), CapacityError> {
    let [run] = runs else {
        return Err(CapacityError::Argument { name: "row", expected: "one scenario and seed".to_owned() });
    };
    let began = Instant::now();
    let run_result = simulate(plan, run)?;
    let row = row(run, &run_result, began.elapsed().as_secs_f64());
    let text = serde_json::to_string(&row).map_err(|cause| CapacityError::run("hollow", cause))?;
    println!("{text}");
    Ok(())
}

/// Simulates each run in its own process, so that the memory measured is that of one run, and prints each row in the
/// order of the runs.
fn run_in_processes(
    arguments: &Arguments,
    runs: &[Run],
    upstreams: Option<usize>,
) -> Result<Vec<Vec<String>>, CapacityError> {
    let mut rows = Vec::new();
    let mut waiting = runs.iter();
    let mut out: Vec<(&Run, Child)> = Vec::new();
    loop {
        while out.len() < arguments.jobs.max(1) {
            let Some(run) = waiting.next() else { break };
            out.push((run, start(arguments, run, upstreams)?));
        }
        if out.is_empty() {
            return Ok(rows);
        }
        let (run, child) = out.remove(0);
        match finish(run, child) {
            Ok(row) => rows.push(row),
            Err(error) => {
                kill_all(out);
                return Err(error);
            }
        }
    }
}

/// Waits for the process of a run to exit, then parses and prints its table row.
fn finish(run: &Run, child: Child) -> Result<Vec<String>, CapacityError> {
    let place = run.place();
    let done = child.wait_with_output().map_err(|cause| CapacityError::run(&place, cause))?;
    if !done.status.success() {
        return Err(CapacityError::run(place, String::from_utf8_lossy(&done.stderr).trim()));
    }
    let row: Vec<String> =
        serde_json::from_slice(&done.stdout).map_err(|cause| CapacityError::run(&place, cause))?;
    for (column, cell) in COLUMNS.iter().zip(&row) {
        println!("{column}: {cell}");
    }
    println!();
    Ok(row)
}

/// Kills the processes of runs whose results are no longer needed because another run failed.
fn kill_all(out: Vec<(&Run, Child)>) {
    for (_, mut child) in out {
        // Errors are ignored: the command has already failed, and a process that cannot be killed has already exited.
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Adds rows to the results table. Rows of other scenarios, seeds and readings are kept, so that a full table can be
/// built up over several invocations, as it takes longer than one session.
fn write_rows(arguments: &Arguments, rows: Vec<Vec<String>>) -> Result<(), CapacityError> {
    let folder = arguments.out.join("results");
    std::fs::create_dir_all(&folder).map_err(|cause| CapacityError::file(&folder, cause))?;
    let mut all = Results::read(&folder, "hollow").map_or_else(|_| Vec::new(), |before| before.rows);
    let key = |row: &Vec<String>| row.iter().take(KEY_COLUMNS).cloned().collect::<Vec<String>>();
    all.retain(|old| old.len() == COLUMNS.len() && !rows.iter().any(|new| key(new) == key(old)));
    all.extend(rows);
    let order = |row: &Vec<String>| {
        let scenario = Scenario::ALL
            .iter()
            .position(|scenario| Some(scenario.name()) == row.first().map(|s| s.as_str()));
        (scenario, row.get(1).cloned(), row.get(3).cloned(), row.get(2).cloned())
    };
    all.sort_by_key(order);
    let small = if arguments.small { " --small" } else { "" };
    Results {
        name: "hollow".to_owned(),
        what: "scenarios of the fleet in virtual time, on the real decision cores".to_owned(),
        command: format!(
            "target/release/capacity hollow{small} --scenario SCENARIO --reading READING --seed SEED --jobs 3"
        ),
        commit: slope::commit(),
        columns: COLUMNS.map(str::to_owned).to_vec(),
        rows: all,
        note: NOTE.to_owned(),
    }
    .write(&folder)
}

/// Starts the process that simulates one run.
fn start(arguments: &Arguments, run: &Run, upstreams: Option<usize>) -> Result<Child, CapacityError> {
    let place = run.place();
    let program = std::env::current_exe().map_err(|cause| CapacityError::run(&place, cause))?;
    // A plan given on the command line is passed on to the child process.
    let named: Vec<String> = std::env::args().skip_while(|word| word != "--plan").take(2).collect();
    let reading = if arguments.reading == ReadingArgument::Front { "front" } else { "hops" };
    let mut command = Command::new(program);
    command
        .args(named)
        .args(["hollow", "--row", "--scenario", run.scenario.name(), "--reading", reading])
        .args(["--seed", &run.seed.to_string(), "--seconds", &run.seconds.to_string()])
        .args(["--memory-mb", &run.memory_mb.to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    if let Some(upstreams) = upstreams {
        command.args(["--upstreams", &upstreams.to_string()]);
    }
    command.spawn().map_err(|cause| CapacityError::run(place, cause))
}

/// Sums the per-second counts of the seconds whose midpoint lies from `from` until before `until`, in virtual seconds.
#[must_use]
pub fn sum(seconds: &[Second], from: f64, until: f64) -> Second {
    let mut all = Second::default();
    for (_, second) in
        (0..).zip(seconds).filter(|&(at, _)| f64::from(at) + 0.5 >= from && f64::from(at) + 0.5 < until)
    {
        all.calls += second.calls;
        all.served += second.served;
        all.late += second.late;
        all.refused += second.refused;
        all.failed += second.failed;
    }
    all
}
