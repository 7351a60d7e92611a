//! The `real` command: runs real balancer processes under load while the endpoint list and the configuration change.

use std::thread;
use std::time::Duration;

use clap::{Args, ValueEnum};
use oorandom::Rand64;

use self::outcome::COLUMNS;
use self::single_run::Setup;
use crate::CapacityError;
use crate::plan::{Plan, Reading};
use crate::slope::{Results, commit};
use crate::testbed::{self, CommonArguments, Counts};

mod in_force;
mod outcome;
mod single_run;

/// Kind of the changes that are made during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ChangeKind {
    /// Changes of the endpoint list: an upstream begins to drain, or returns.
    List,
    /// Changes of the configuration: a document is published.
    Configuration,
    /// A run with changes of the endpoint list, then one with changes of the configuration.
    Both,
}

/// Runs real balancers under load while the endpoint list and the configuration change.
#[derive(Debug, Args)]
pub struct Arguments {
    #[command(flatten)]
    common: CommonArguments,
    /// Kind of the changes that are made.
    #[arg(long, value_enum, default_value_t = ChangeKind::Both)]
    what: ChangeKind,
    /// Number of balancers.
    #[arg(long, default_value_t = 30)]
    balancers: usize,
    /// Number of changes of each kind. They are made in blocks of ten; before each block, a time of the same length
    /// passes without changes.
    #[arg(long, default_value_t = 50)]
    changes: usize,
    /// Time between two changes, in seconds; by default 0.3 for the list, and for the configuration that of the plan's
    /// busiest minute.
    #[arg(long)]
    every: Option<f64>,
    /// Calls a second through each balancer; by default the mean rate in the reading in which the plan's calls are
    /// those over all hops.
    #[arg(long)]
    rate: Option<f64>,
    /// Number of upstreams in the endpoint list.
    #[arg(long, default_value_t = 60)]
    upstreams: usize,
    /// Let the system choose cores for all threads. By default the client's thread, which spins, has core 0 to
    /// itself.
    #[arg(long)]
    anywhere: bool,
}

/// Number of changes of one block.
const BLOCK_CHANGES: usize = 10;
/// The highest rate, in calls a second: the client's single thread sustains no more.
const MAX_RATE: f64 = 5000.0;
/// Time between two changes of the list, in seconds.
const LIST_INTERVAL_S: f64 = 0.3;
/// Number of balancers in a small run.
const BALANCERS_SMALL: usize = 3;
/// Time between two changes in a small run, in seconds.
const SMALL_INTERVAL_S: f64 = 0.03;

/// Runs the command: makes the changes under load, and writes the table of results.
///
/// # Errors
/// An argument is out of range, or a run fails. Also, after the table is written, if a call was lost, had a wrong
/// response, or ran more than once although it must not.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    let size = Size::of(arguments, plan)?;
    let (_, results) = arguments.common.folders()?;
    let mut rng = Rand64::new(u128::from(arguments.common.seed));
    let kinds = match arguments.what {
        ChangeKind::Both => vec![ChangeKind::List, ChangeKind::Configuration],
        one => vec![one],
    };
    let (mut rows, mut counts) = (Vec::new(), Counts::default());
    for change_kind in kinds {
        let change_interval = interval(arguments, plan, change_kind);
        let setup = Setup { arguments, plan, size, change_kind, change_interval };
        let run_outcome = setup.measure(&mut rng)?;
        counts = counts.and(run_outcome.counts);
        rows.push(run_outcome.row(&setup)?);
    }
    let table = table(arguments, &size, rows);
    for row in &table.rows {
        for (column, value) in table.columns.iter().zip(row) {
            println!("{column}: {value}");
        }
    }
    table.write(&results)?;
    if counts.wrong + counts.lost + counts.twice > 0 {
        return Err(CapacityError::run("real balancers", format!("{counts:?}")));
    }
    Ok(())
}

/// Size of a run.
#[derive(Clone, Copy)]
struct Size {
    /// Number of balancers.
    balancers: usize,
    /// Number of changes.
    changes: usize,
    /// Calls a second through all balancers together.
    rate: f64,
    /// Number of cores of the machine, which is counted before any thread is pinned.
    cores: usize,
}

impl Size {
    /// The size that the arguments ask for.
    ///
    /// # Errors
    /// An argument is out of range.
    fn of(arguments: &Arguments, plan: &Plan) -> Result<Self, CapacityError> {
        let wrong = |name, expected: String| Err(CapacityError::Argument { name, expected });
        let small = arguments.common.small;
        if !(1..=testbed::MAX_BALANCERS).contains(&arguments.balancers) {
            return wrong("balancers", format!("1 to {}", testbed::MAX_BALANCERS));
        }
        if !(1..=1000).contains(&arguments.changes) {
            return wrong("changes", "1 to 1000".to_owned());
        }
        if !(0.01..=60.0).contains(&arguments.every.unwrap_or(LIST_INTERVAL_S)) {
            return wrong("every", "0.01 to 60 s".to_owned());
        }
        if !(2..=2000).contains(&arguments.upstreams) {
            return wrong("upstreams", "2 to 2000".to_owned());
        }
        let balancers = if small { BALANCERS_SMALL } else { arguments.balancers };
        let rate = arguments.rate.unwrap_or_else(|| plan.mean_rate(Reading::Hops)) * balancers as f64;
        if !(1.0..=MAX_RATE).contains(&rate) {
            return wrong("rate", format!("1 to {MAX_RATE} a second, over all balancers"));
        }
        let cores = thread::available_parallelism().map_or(1, usize::from);
        if cores < 2 && !arguments.anywhere && !small {
            return wrong("anywhere", "required on a machine with one core".to_owned());
        }
        let changes = if small { BLOCK_CHANGES.min(arguments.changes) } else { arguments.changes };
        Ok(Self { balancers, changes, rate, cores })
    }
}

/// Time between two changes of this kind, from the arguments or by default.
fn interval(arguments: &Arguments, plan: &Plan, change_kind: ChangeKind) -> Duration {
    let default_s = if change_kind == ChangeKind::List {
        LIST_INTERVAL_S
    } else {
        60.0 / plan.configuration.peak_per_minute.value
    };
    let small = arguments.common.small;
    Duration::from_secs_f64(if small { SMALL_INTERVAL_S } else { arguments.every.unwrap_or(default_s) })
}

/// The table of results, with one row for each kind of changes.
fn table(arguments: &Arguments, size: &Size, rows: Vec<Vec<String>>) -> Results {
    let Size { balancers, changes, rate, .. } = size;
    Results {
        name: "real".to_owned(),
        what: "Real balancers under load through changes of the list and of configuration.".to_owned(),
        command: format!(
            "target/release/capacity real --balancers {balancers} --changes {changes}{} --seed {}",
            arguments.every.map_or(String::new(), |every| format!(" --every {every}")),
            arguments.common.seed
        ),
        commit: commit(),
        columns: COLUMNS.map(str::to_owned).to_vec(),
        rows,
        note: format!(
            "{rate:.0} calls a second over all balancers at drawn times, each beside a direct call in the same play; \
             {} stand-in upstreams, which answer at once and count each call by its id. Blocks of {BLOCK_CHANGES} changes, told how far \
             apart, alternate with blocks of the same length without any. A change of configuration is in force \
             when the balancer's log says so, counted from before it is published to the origin, over one of two relays; \
             a drain is when the last call has come to its upstream, 0 where none came after it was published. Added: the quantile through the \
             balancers less that of direct calls, in us; the blocks without changes have the spread that is told.",
            arguments.upstreams,
        ),
    }
}
