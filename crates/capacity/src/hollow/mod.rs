//! The hollow fleet: a discrete-event simulation with the real decision cores of all balancers in one process.
//!
//! Each upstream of the plan has one `balancer_policy::Balancer` for each service that it calls, and each front one for each
//! service that clients come to. All else is modelled: servers, queues, cold starts, links, lists, clients. The same
//! seed gives the same run, to the byte.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Instant;

use clap::{Args, ValueEnum};

use crate::CapacityError;
use crate::plan::{Plan, PlanFault, Reading};
use crate::slope::{self, Results};

pub mod scenario;
mod table;
pub mod topology;
pub mod wheel;
pub mod world;

use scenario::{Scenario, Script, Span};
use table::{COLUMNS, KEY, NOTE, row};
use topology::Topology;
use world::{Play, Report, Second, Step, World};

/// Upstreams of a quick version.
const SMALL: usize = 120;
/// Part of the usual seconds that the front's reading is played for, as it has twelve times the calls.
const FRONT_PART: f64 = 0.2;

/// How "calls a second" is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ReadAs {
    /// Calls at the front, each then as many as a chain is deep: played for fewer seconds.
    Front,
    /// Calls over all hops, at their full rate.
    Hops,
}

impl From<ReadAs> for Reading {
    fn from(read: ReadAs) -> Self {
        match read {
            ReadAs::Front => Self::Front,
            ReadAs::Hops => Self::Hops,
        }
    }
}

/// The hollow fleet: the real decision cores of all balancers in one process, in virtual time.
#[derive(Debug, Clone, Args)]
pub struct Arguments {
    /// What happens to the fleet; each in turn if not told.
    #[arg(long, value_enum)]
    pub scenario: Option<Scenario>,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seeds that are played, one after another from the first.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// How "calls a second" is read.
    #[arg(long, value_enum, default_value = "hops")]
    pub reading: ReadAs,
    /// Upstreams, with services and calls in proportion; those of the plan if not told.
    #[arg(long)]
    pub upstreams: Option<usize>,
    /// Virtual seconds in which clients come; each scenario has its own.
    #[arg(long)]
    pub seconds: Option<f64>,
    /// MB that a run may use.
    #[arg(long, default_value_t = 8192)]
    pub memory_mb: u64,
    /// Runs at a time, each in a process of its own.
    #[arg(long, default_value_t = 1)]
    pub jobs: usize,
    /// A quick version: a small fleet.
    #[arg(long)]
    pub small: bool,
    /// Where the folder `results` is.
    #[arg(long, default_value = "crates/capacity")]
    pub out: PathBuf,
    /// Plays one run and prints its row.
    #[arg(long, hide = true)]
    pub row: bool,
}

/// One run: a scenario with a seed.
#[derive(Debug, Clone)]
pub struct Run {
    /// What happens.
    pub scenario: Scenario,
    /// How the rate is read.
    pub reading: Reading,
    /// Seed of all draws.
    pub seed: u64,
    /// Virtual seconds in which clients come.
    pub seconds: f64,
    /// MB that the process may use.
    pub memory_mb: u64,
}

impl Run {
    /// Its name for errors.
    fn place(&self) -> String {
        format!("hollow fleet, {} with seed {}", self.scenario.name(), self.seed)
    }
}

/// What a run gave, with what it was played on.
#[derive(Debug, Clone)]
pub struct Played {
    /// What it gave.
    pub report: Report,
    /// From when to when the trouble lasted.
    pub trouble: Span,
    /// Upstreams.
    pub upstreams: usize,
    /// Calls a second of the busiest upstream over those of the mean one, as drawn.
    pub busiest_over_mean: f64,
    /// The part of the calls that find an upstream at each step in the trouble, if some part of the fleet is lost whole.
    pub reachable: Option<f64>,
}

/// The plan with so many upstreams, and all that grows with them in proportion.
///
/// # Errors
/// The number is too small for the chains of the plan, or too large.
pub fn scaled(plan: &Plan, upstreams: usize) -> Result<Plan, CapacityError> {
    let least = plan.graph.depth.value * 2;
    if !(least..=100_000).contains(&upstreams) {
        return Err(CapacityError::Argument { name: "upstreams", expected: format!("{least} to 100000") });
    }
    let part = upstreams as f64 / plan.fleet.upstreams.value as f64;
    let mut plan = plan.clone();
    let services = (plan.fleet.services.value as f64 * part).round() as usize;
    plan.fleet.services.value = services.clamp(plan.graph.depth.value, upstreams);
    plan.fleet.upstreams.value = upstreams;
    plan.traffic.calls_per_s.value *= part;
    plan.failures.machines_per_day.value *= part;
    plan.failures.replaced_per_day.value *= part;
    Ok(plan)
}

/// Plays one run.
///
/// # Errors
/// The seconds are out of range, the plan's figures make no settings, or the memory bound is passed.
pub fn play(plan: &Plan, run: &Run) -> Result<Played, CapacityError> {
    let Run { scenario, reading, seed, seconds, memory_mb } = *run;
    if !(5.0..=3600.0).contains(&seconds) {
        return Err(CapacityError::Argument { name: "seconds", expected: "5 to 3600".to_owned() });
    }
    if plan.fleet.services.value < plan.graph.depth.value {
        return Err(CapacityError::Plan(vec![PlanFault {
            place: "fleet.services",
            expected: "as many services as graph.depth at least, one for each depth",
        }]));
    }
    let topology = Topology::draw(plan, reading, seed);
    let Script { steps, trouble } = scenario.script(plan, &topology, seconds, seed);
    let reachable = steps.iter().find_map(|timed| reachable_during(timed.step, &topology));
    let play = Play {
        name: scenario.name().to_owned(),
        seconds,
        seed,
        memory_mb,
        script: steps,
        cold: scenario == Scenario::Cold,
        trouble: None,
        repeats: plan.traffic.client_repeats.value,
        effects: None,
    };
    let report = World::new(plan, &topology, &play)?.run()?;
    let upstreams = plan.fleet.upstreams.value;
    Ok(Played { report, trouble, upstreams, busiest_over_mean: topology.busiest_over_mean(), reachable })
}

/// The part of the calls that find an upstream at each step after a part of the fleet is lost whole, where the step
/// loses one.
fn reachable_during(step: Step, topology: &Topology) -> Option<f64> {
    match step {
        Step::LoseZone(lost) => Some(topology.reachable(|zone| zone != lost)),
        Step::Cut(region) => {
            // Clients on each side have what is on their side.
            let inside = |zone: usize| topology.region_of[zone] == region;
            let mut before = 0.0;
            let here: f64 = (0..).zip(&topology.clients).fold(0.0, |sum, (zone, until)| {
                let part = until - std::mem::replace(&mut before, *until);
                if inside(zone) { sum + part } else { sum }
            });
            Some(here * topology.reachable(inside) + (1.0 - here) * topology.reachable(|zone| !inside(zone)))
        }
        _ => None,
    }
}

/// Plays the scenarios and seeds that are asked for, each in a process of its own, and adds their rows to the table.
///
/// # Errors
/// With the place where it went wrong.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    let upstreams = arguments.upstreams.or(arguments.small.then_some(SMALL));
    let scaled_plan = upstreams.map(|upstreams| scaled(plan, upstreams)).transpose()?;
    let plan = scaled_plan.as_ref().unwrap_or(plan);
    if arguments.seeds == 0 {
        return Err(CapacityError::Argument { name: "seeds", expected: "1 at least".to_owned() });
    }
    let runs = runs(arguments);
    if arguments.row {
        return print_row(plan, &runs);
    }
    let rows = play_in_processes(arguments, &runs, upstreams)?;
    write_rows(arguments, rows)
}

/// The runs that the arguments ask for, by scenario and then by seed.
fn runs(arguments: &Arguments) -> Vec<Run> {
    let seeds = || arguments.seed..arguments.seed.saturating_add(arguments.seeds);
    arguments
        .scenario
        .map_or(Scenario::ALL.to_vec(), |scenario| vec![scenario])
        .into_iter()
        .flat_map(|scenario| seeds().map(move |seed| (scenario, seed)))
        .map(|(scenario, seed)| {
            let part = if arguments.reading == ReadAs::Front { FRONT_PART } else { 1.0 };
            let usual = if arguments.small { scenario.seconds() / 2.0 } else { scenario.seconds() };
            let seconds = arguments.seconds.unwrap_or(usual * part);
            Run { scenario, reading: arguments.reading.into(), seed, seconds, memory_mb: arguments.memory_mb }
        })
        .collect()
}

/// Plays a single run in this process and prints its row for the process that started this one.
fn print_row(plan: &Plan, runs: &[Run]) -> Result<(), CapacityError> {
    let [run] = runs else {
        return Err(CapacityError::Argument { name: "row", expected: "one scenario and seed".to_owned() });
    };
    let began = Instant::now();
    let played = play(plan, run)?;
    let row = row(run, &played, began.elapsed().as_secs_f64());
    let text = serde_json::to_string(&row).map_err(|cause| CapacityError::run("hollow", cause))?;
    println!("{text}");
    Ok(())
}

/// Plays each run in a process of its own, so that its memory is its own, and prints the rows as they come.
fn play_in_processes(
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
                end_all(out);
                return Err(error);
            }
        }
    }
}

/// Waits for a run's process and prints the row that it gave.
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

/// Ends the processes of runs that would play on for nobody.
fn end_all(out: Vec<(&Run, Child)>) {
    for (_, mut child) in out {
        // The command has failed already; a process that can't be ended has ended by itself.
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Adds rows to the table: those of other scenarios, seeds and readings stay, as a full table takes longer than one
/// sitting at the machine.
fn write_rows(arguments: &Arguments, rows: Vec<Vec<String>>) -> Result<(), CapacityError> {
    let folder = arguments.out.join("results");
    std::fs::create_dir_all(&folder).map_err(|cause| CapacityError::file(&folder, cause))?;
    let mut all = Results::read(&folder, "hollow").map_or_else(|_| Vec::new(), |before| before.rows);
    let key = |row: &Vec<String>| row.iter().take(KEY).cloned().collect::<Vec<String>>();
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

/// Starts a run in a process of its own.
fn start(arguments: &Arguments, run: &Run, upstreams: Option<usize>) -> Result<Child, CapacityError> {
    let place = run.place();
    let program = std::env::current_exe().map_err(|cause| CapacityError::run(&place, cause))?;
    // The plan may be named on the command line, which the child must be told too.
    let named: Vec<String> = std::env::args().skip_while(|word| word != "--plan").take(2).collect();
    let reading = if arguments.reading == ReadAs::Front { "front" } else { "hops" };
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

/// The sum over the seconds from one time until another.
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
