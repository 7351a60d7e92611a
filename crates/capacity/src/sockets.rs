//! The `sockets` command: simulated ("hollow") balancers on real sockets, connected to real control processes.

use std::path::PathBuf;

use clap::{Args, ValueEnum};

use crate::CapacityError;
use crate::plan::Plan;
use crate::slope::{Results, commit};

pub mod child;
mod cost;
mod fleet;
pub mod hollow;
pub mod list;
pub mod machine;
mod outcome;
pub mod plane;
mod play;
mod schedule;
mod size;
pub mod swarm;

pub use self::fleet::{Placement, fleet, hollow_balancers, region_name, service_name, zone_names};
use self::outcome::COLUMNS;
use self::play::{play, return_window};
use self::size::Size;

/// What happens in a play.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// Nothing but changes.
    None,
    /// A zone's relay is killed.
    Relay,
    /// A region's relay is killed.
    RegionRelay,
    /// All relays of a zone are killed.
    Zone,
    /// A region is cut off from the others, and comes back.
    Cut,
    /// All control processes are killed and started, and all watches of the list are ended.
    Reconnect,
}

impl Scenario {
    fn name(self) -> String {
        self.to_possible_value().map_or_else(String::new, |value| value.get_name().to_owned())
    }
}

/// Plays hollow balancers on real sockets against real control processes, and times changes to the last of them.
#[derive(Debug, Args)]
pub struct Arguments {
    /// What happens: one of the scenarios; all of them, where none is named.
    #[arg(long, value_enum)]
    scenario: Vec<Scenario>,
    /// Of the draws, the first of `--seeds`.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Plays of each scenario, each with the next seed.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Changes of configuration in a play.
    #[arg(long, default_value_t = 200)]
    changes: usize,
    /// Balancers; by default the plan's upstreams.
    #[arg(long)]
    balancers: Option<usize>,
    /// Balancers to a process.
    #[arg(long, default_value_t = 100)]
    per_process: usize,
    /// Entries of each balancer's list; by default one for each balancer.
    #[arg(long)]
    list: Option<usize>,
    /// Seconds over which the changes come.
    #[arg(long, default_value_t = 24.0)]
    seconds: f64,
    /// A quick play for tests: few balancers and changes.
    #[arg(long)]
    small: bool,
    /// Keep the rows of other scenarios and seeds that the results already have.
    #[arg(long)]
    add: bool,
    /// Where `results` is written.
    #[arg(long, default_value = "crates/capacity")]
    out: PathBuf,
    /// Plays the balancers of a job on standard input: for the rig's own use.
    #[arg(long, hide = true)]
    hollow_balancers: bool,
}

/// Runs the command: plays the scenarios and writes the table of results.
///
/// # Errors
/// An argument is out of range, a play fails, or a play does not meet what the plan promises.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    if arguments.hollow_balancers {
        return hollow::run();
    }
    let size = Size::of(arguments, plan)?;
    child::handle_signals()?;
    let folder = plane::folder(&arguments.out, "results")?;
    let scenarios = match &arguments.scenario[..] {
        [] => Scenario::value_variants(),
        named => named,
    };
    let mut rows = Vec::new();
    let mut missed = Vec::new();
    for &scenario in scenarios {
        for seed in arguments.seed..arguments.seed + arguments.seeds {
            let outcome = play(scenario, seed, &size, plan)?;
            println!("{}", outcome.text());
            missed.extend(outcome.faults(plan, !arguments.small));
            rows.push(outcome.row());
        }
    }
    let before = if arguments.add { Results::read(&folder, "sockets").ok() } else { None };
    let earlier = before.map(|before| before.rows).unwrap_or_default();
    results(merged(earlier, rows), &size, plan).write(&folder)?;
    if missed.is_empty() { Ok(()) } else { Err(CapacityError::run("sockets", missed.join("; "))) }
}

/// The new rows together with the earlier rows of other scenarios and seeds, sorted by scenario and seed.
fn merged(earlier: Vec<Vec<String>>, new: Vec<Vec<String>>) -> Vec<Vec<String>> {
    let key = |row: &Vec<String>| row[..2].to_vec();
    let mut rows = earlier;
    rows.retain(|row| new.iter().all(|new| key(new) != key(row)));
    rows.extend(new);
    rows.sort_by_key(|row| (scenario_place(&row[0]), row[1].parse().unwrap_or(0)));
    rows
}

fn scenario_place(name: &str) -> usize {
    Scenario::value_variants().iter().position(|scenario| scenario.name() == name).unwrap_or(usize::MAX)
}

fn results(rows: Vec<Vec<String>>, size: &Size, plan: &Plan) -> Results {
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
            return_window(size.seconds).as_secs_f64(),
        ),
    }
}
