//! The `sockets` command: hollow balancers (simulated balancers without real traffic) on real sockets, connected to
//! real control processes.

use std::path::PathBuf;

use clap::{Args, ValueEnum};

use crate::CapacityError;
use crate::plan::Plan;
use crate::slope::{Results, commit};

pub mod child;
pub mod control_plane;
mod cost;
mod fleet;
pub mod hollow;
pub mod hollow_processes;
pub mod list;
pub mod machine;
mod outcome;
mod run_scenario;
mod schedule;
mod size;

pub use self::fleet::{Placement, fleet, hollow_balancers, region_name, service_name, zone_names};
use self::outcome::COLUMNS;
use self::run_scenario::{recovery_window, run_scenario};
use self::size::Size;

/// The fault that a run injects while configuration changes are published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// No fault: only configuration changes.
    None,
    /// Kills one relay of a zone.
    Relay,
    /// Kills the relays of one region.
    RegionRelay,
    /// Kills all relays of a zone.
    Zone,
    /// Partitions one region from the others, and ends the partition after a while.
    #[value(name = "cut")]
    Partition,
    /// Kills and restarts all control processes, and closes all watches of the endpoint list.
    Reconnect,
}

impl Scenario {
    fn name(self) -> String {
        self.to_possible_value().map_or_else(String::new, |value| value.get_name().to_owned())
    }
}

/// Runs hollow balancers on real sockets against real control processes, and measures how long configuration changes
/// take to reach the last balancer.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Scenario to run; may be repeated. All scenarios run if none is given.
    #[arg(long, value_enum)]
    scenario: Vec<Scenario>,
    /// Seed of the first run of each scenario; each further run uses the next seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs of each scenario, each with the next seed.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of configuration changes in a run.
    #[arg(long, default_value_t = 200)]
    changes: usize,
    /// Number of hollow balancers; by default the number of upstreams in the plan.
    #[arg(long)]
    balancers: Option<usize>,
    /// Number of hollow balancers in each process.
    #[arg(long, default_value_t = 100)]
    per_process: usize,
    /// Number of entries in the endpoint list that each balancer watches; by default one for each balancer.
    #[arg(long)]
    list: Option<usize>,
    /// Time over which the configuration changes are published, in seconds.
    #[arg(long, default_value_t = 24.0)]
    seconds: f64,
    /// Run with few balancers and few changes, for tests.
    #[arg(long)]
    small: bool,
    /// Keep the rows of other scenarios and seeds that the results file already has.
    #[arg(long)]
    add: bool,
    /// Directory in which the `results` directory is created.
    #[arg(long, default_value = "crates/capacity")]
    out: PathBuf,
    /// Run the hollow balancers of the job on standard input; used internally for the child processes.
    #[arg(long, hide = true)]
    hollow_balancers: bool,
}

/// Runs the scenarios and writes the table of results.
///
/// # Errors
/// An argument is out of range, a run fails, or a run does not meet the objectives of the plan.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    if arguments.hollow_balancers {
        return hollow::run();
    }
    let size = Size::of(arguments, plan)?;
    child::handle_signals()?;
    let folder = control_plane::folder(&arguments.out, "results")?;
    let scenarios = match &arguments.scenario[..] {
        [] => Scenario::value_variants(),
        named => named,
    };
    let mut rows = Vec::new();
    let mut failures = Vec::new();
    for &scenario in scenarios {
        for seed in arguments.seed..arguments.seed + arguments.seeds {
            let outcome = run_scenario(scenario, seed, &size, plan)?;
            println!("{}", outcome.text());
            failures.extend(outcome.unmet_objectives(plan, !arguments.small));
            rows.push(outcome.row());
        }
    }
    let previous = if arguments.add { Results::read(&folder, "sockets").ok() } else { None };
    let earlier = previous.map(|previous| previous.rows).unwrap_or_default();
    results_table(merge_rows(earlier, rows), &size, plan).write(&folder)?;
    if failures.is_empty() { Ok(()) } else { Err(CapacityError::run("sockets", failures.join("; "))) }
}

/// Merges the new rows with the earlier rows of other scenarios and seeds, sorted by scenario and seed.
fn merge_rows(earlier: Vec<Vec<String>>, new: Vec<Vec<String>>) -> Vec<Vec<String>> {
    let key = |row: &Vec<String>| row[..2].to_vec();
    let mut rows = earlier;
    rows.retain(|row| new.iter().all(|new| key(new) != key(row)));
    rows.extend(new);
    rows.sort_by_key(|row| (scenario_position(&row[0]), row[1].parse().unwrap_or(0)));
    rows
}

fn scenario_position(name: &str) -> usize {
    Scenario::value_variants().iter().position(|scenario| scenario.name() == name).unwrap_or(usize::MAX)
}

fn results_table(rows: Vec<Vec<String>>, size: &Size, plan: &Plan) -> Results {
    let Size { balancers, changes, list, .. } = size;
    let changes_per_minute = *changes as f64 / size.seconds * 60.0;
    Results {
        name: "sockets".to_owned(),
        what: format!(
            "{balancers} hollow balancers on real sockets behind {} control processes, {changes} changes a play",
            plan.budget.control_machines.value
        ),
        command: "target/release/capacity sockets --seeds 3".to_owned(),
        commit: commit(),
        columns: COLUMNS.map(str::to_owned).to_vec(),
        rows,
        note: format!(
            "Hollow: the balancer's own client of the list with its decisions ({list} entries) and the real client of \
             the configuration, no callers. The list server is a stand-in; a list entry changes every 2 s. Changes come in \
             bunches over {:.0} s, {}. Times are from the acknowledgement; after a \
             cut, of changes made within it, from its end. Bytes are those of the connections, without TCP/IP heads. \
             Return: {:.1} s from the fault (from the end of a cut). Memory of a balancer has its part of the \
             process. All processes share one machine.",
            size.seconds,
            format_args!(
                "{:.0} times the plan's peak",
                changes_per_minute / plan.configuration.peak_per_minute.value
            ),
            recovery_window(size.seconds).as_secs_f64(),
        ),
    }
}
