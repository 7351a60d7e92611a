//! The `real` command: real balancers under load, through changes of the endpoint list and of the configuration.

use std::thread;
use std::time::Duration;

use clap::{Args, ValueEnum};
use oorandom::Rand64;

use self::outcome::COLUMNS;
use self::play::Setup;
use crate::CapacityError;
use crate::plan::{Plan, Reading};
use crate::slope::{Results, commit};
use crate::world::{self, Common, Counts};

mod in_force;
mod outcome;
mod play;

/// What changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum What {
    /// An upstream begins to drain, or comes back.
    List,
    /// A document of the configuration.
    Configuration,
    /// One after the other.
    Both,
}

/// Real balancers through changes of the list and of configuration, under load.
#[derive(Debug, Args)]
pub struct Arguments {
    #[command(flatten)]
    common: Common,
    /// What changes.
    #[arg(long, value_enum, default_value_t = What::Both)]
    what: What,
    /// Balancers.
    #[arg(long, default_value_t = 30)]
    balancers: usize,
    /// Changes of each kind, in blocks of ten with as long a time without any before each.
    #[arg(long, default_value_t = 50)]
    changes: usize,
    /// Time between two changes, in seconds; without it 0.3 for the list, and for configuration that of the plan's
    /// busiest minute.
    #[arg(long)]
    every: Option<f64>,
    /// Calls a second through each balancer; without it the mean, where the plan's calls are those over all hops.
    #[arg(long)]
    rate: Option<f64>,
    /// Upstreams in the list.
    #[arg(long, default_value_t = 60)]
    upstreams: usize,
    /// Let the system choose cores for all threads. Without it the caller's thread, which spins, has core 0 for
    /// itself.
    #[arg(long)]
    anywhere: bool,
}

/// Changes of one block.
const BLOCK: usize = 10;
/// The highest rate, in calls a second: the client's single thread sustains no more.
const MAX_RATE: f64 = 5000.0;
/// Time between two changes of the list, in seconds.
const LIST_EVERY_S: f64 = 0.3;
/// Balancers of a small play.
const BALANCERS_SMALL: usize = 3;
/// Time between two changes of a small play, in seconds.
const EVERY_SMALL_S: f64 = 0.03;

/// Runs the command: plays the changes and writes the table of results.
///
/// # Errors
/// An argument is out of range or a play fails; also, after the table is written, where a call was lost, had a wrong
/// response, or ran twice though it must not.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    let size = Size::of(arguments, plan)?;
    let (_, results) = arguments.common.folders()?;
    let mut rng = Rand64::new(u128::from(arguments.common.seed));
    let kinds = match arguments.what {
        What::Both => vec![What::List, What::Configuration],
        one => vec![one],
    };
    let (mut rows, mut counts) = (Vec::new(), Counts::default());
    for what in kinds {
        let every = interval(arguments, plan, what);
        let setup = Setup { arguments, plan, size, what, every };
        let played = setup.play(&mut rng)?;
        counts = counts.and(played.counts);
        rows.push(played.row(&setup)?);
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

/// The size of a play.
#[derive(Clone, Copy)]
struct Size {
    balancers: usize,
    changes: usize,
    /// Calls a second over all balancers.
    rate: f64,
    /// Cores of the machine, counted before a thread is pinned to some of them.
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
        if !(1..=world::BALANCERS_MOST).contains(&arguments.balancers) {
            return wrong("balancers", format!("1 to {}", world::BALANCERS_MOST));
        }
        if !(1..=1000).contains(&arguments.changes) {
            return wrong("changes", "1 to 1000".to_owned());
        }
        if !(0.01..=60.0).contains(&arguments.every.unwrap_or(LIST_EVERY_S)) {
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
            return wrong("anywhere", "needed with one core".to_owned());
        }
        let changes = if small { BLOCK.min(arguments.changes) } else { arguments.changes };
        Ok(Self { balancers, changes, rate, cores })
    }
}

/// The time between two changes.
fn interval(arguments: &Arguments, plan: &Plan, what: What) -> Duration {
    let usual_s =
        if what == What::List { LIST_EVERY_S } else { 60.0 / plan.configuration.peak_per_minute.value };
    let small = arguments.common.small;
    Duration::from_secs_f64(if small { EVERY_SMALL_S } else { arguments.every.unwrap_or(usual_s) })
}

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
             {} stand-in upstreams, which answer at once and count each call by its id. Blocks of {BLOCK} changes, told how far \
             apart, alternate with blocks of the same length without any. A change of configuration is in force \
             when the balancer's log says so, counted from before it is published to the origin, over one of two relays; \
             a drain is when the last call has come to its upstream, 0 where none came after it was published. Added: the quantile through the \
             balancers less that of direct calls, in us; the blocks without changes have the spread that is told.",
            arguments.upstreams,
        ),
    }
}
