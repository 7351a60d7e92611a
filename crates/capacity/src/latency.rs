//! The `latency` command: measures the latency that a balancer process adds to a call, compared with a direct
//! connection.

use std::path::Path;
use std::thread;

use clap::{Args, ValueEnum};
use oorandom::Rand64;

use crate::CapacityError;
use crate::plan::{Plan, Reading};
use crate::slope::Slope;
use crate::testbed::{self, CommonArguments};

mod breakdown;
mod placement;
mod single_run;
mod slopes;

use placement::{MIN_CORES, Placement};

/// Activity in the background of the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Background {
    /// No activity in the background.
    Nothing,
    /// An entry of the endpoint list changes ten times a second.
    List,
    /// The configuration changes ten times a second.
    Configuration,
    /// No activity in the background; measures the parts that make up the added latency.
    #[value(name = "made-of")]
    Breakdown,
}

/// Measures the latency that a balancer process adds to a call, compared with a direct connection.
#[derive(Debug, Args)]
pub struct Arguments {
    #[command(flatten)]
    common: CommonArguments,
    /// Activity in the background of the calls.
    #[arg(long = "beside", value_name = "BESIDE", value_enum, default_value_t = Background::Nothing)]
    background: Background,
    /// Calls a second through the balancer, at least two values; by default the mean and the busiest rate of a
    /// balancer in both readings of the plan.
    #[arg(long, value_delimiter = ',')]
    rates: Vec<f64>,
    /// Runs of each rate.
    #[arg(long, default_value_t = 3)]
    plays: usize,
    /// Upstreams in the endpoint list; the balancer is configured as one of the same number of replicas.
    #[arg(long, default_value_t = 60)]
    upstreams: usize,
    /// Let the system choose cores for all threads. By default the client's thread, which spins, has core 0 to itself,
    /// and all other threads have the other cores (by `taskset`). Otherwise a thread that the client wakes up may be
    /// put on the client's core, where it waits until the next tick of the system.
    #[arg(long)]
    anywhere: bool,
}

/// Highest rate, in calls a second: the client's single thread sustains no more.
const MAX_RATE: f64 = 10_000.0;

/// Runs the command: measures each rate, and writes the slopes or the breakdown of the added latency.
///
/// # Errors
/// An argument is out of range, or a run fails.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    let rates = checked_rates(arguments, plan)?;
    check_counts(arguments)?;
    let cores =
        thread::available_parallelism().map_err(|cause| CapacityError::run("counting cores", cause))?.get();
    let placement = checked_placement(arguments, cores)?;
    let program = arguments.common.program(testbed::BALANCER)?;
    let (slopes, results) = arguments.common.folders()?;
    let mut bench = Bench {
        arguments,
        plan,
        program: &program,
        cores,
        placement,
        rng: Rand64::new(u128::from(arguments.common.seed)),
    };
    if arguments.background == Background::Breakdown {
        let table = bench.breakdown(&rates)?;
        println!("{}", table.columns.join(" | "));
        for row in &table.rows {
            println!("{}", row.join(" | "));
        }
        return table.write(&results);
    }
    for slope in bench.slopes(&rates)? {
        print_slope(&slope);
        slope.write(&slopes)?;
    }
    Ok(())
}

/// Returns an error that names an argument and the values that it accepts.
fn invalid_argument<T>(name: &'static str, expected: impl Into<String>) -> Result<T, CapacityError> {
    Err(CapacityError::Argument { name, expected: expected.into() })
}

/// Rates to measure, in calls a second and in ascending order, from the arguments or the plan.
fn checked_rates(arguments: &Arguments, plan: &Plan) -> Result<Vec<f64>, CapacityError> {
    let mut rates = arguments.rates.clone();
    if rates.is_empty() {
        // The breakdown takes many runs, so that it is made for the reading with the higher rates only.
        let readings = [Reading::Front, Reading::Hops];
        let used_readings =
            if arguments.background == Background::Breakdown { &readings[..1] } else { &readings };
        for &reading in used_readings {
            rates.extend([plan.mean_rate(reading), plan.busiest_rate(reading)]);
        }
    }
    rates.sort_by(f64::total_cmp);
    if rates.len() < 2 || !rates.iter().all(|rate| (1.0..=MAX_RATE).contains(rate)) {
        return invalid_argument("rates", format!("at least two values, each 1 to {MAX_RATE} a second"));
    }
    Ok(rates)
}

/// Checks the number of runs and of upstreams.
fn check_counts(arguments: &Arguments) -> Result<(), CapacityError> {
    if !(1..=100).contains(&arguments.plays) {
        return invalid_argument("plays", "1 to 100");
    }
    if !(1..=2000).contains(&arguments.upstreams) {
        return invalid_argument("upstreams", "1 to 2000");
    }
    Ok(())
}

/// The placement of threads that the arguments ask for, if the machine has enough cores for it.
fn checked_placement(arguments: &Arguments, cores: usize) -> Result<Placement, CapacityError> {
    if arguments.anywhere || arguments.common.small {
        return Ok(Placement::Anywhere);
    }
    if cores < MIN_CORES {
        return invalid_argument(
            "anywhere",
            format!("required on a machine with fewer than {MIN_CORES} cores"),
        );
    }
    Ok(Placement::Apart)
}

/// Prints the points and the note of a slope.
fn print_slope(slope: &Slope) {
    println!("{}", slope.name);
    for point in &slope.points {
        println!("  {:>7.1}: {:>8.1} us ({:.1} to {:.1})", point.x, point.y, point.low, point.high);
    }
    println!("  {}", slope.note);
}

/// Parameters that the runs of one invocation of the command share, and their random numbers.
struct Bench<'a> {
    arguments: &'a Arguments,
    plan: &'a Plan,
    /// Path of the balancer program.
    program: &'a Path,
    /// Number of cores of the machine.
    cores: usize,
    /// Placement of threads on cores, unless a run of the breakdown overrides it.
    placement: Placement,
    rng: Rand64,
}

impl Bench<'_> {
    /// The command line that repeats these measurements, with the arguments `--beside`, `--plays`, `--rates` (if
    /// given), `--anywhere` (if given) and `--seed`. It omits `--upstreams`, `--small`, `--program`, `--out` and
    /// `--plan`, so that values of these other than the defaults have to be added by hand.
    fn command(&self) -> String {
        let background = self.arguments.background.to_possible_value();
        let background = background.as_ref().map_or("", |value| value.get_name());
        let rates: Vec<String> = self.arguments.rates.iter().map(f64::to_string).collect();
        let rates = if rates.is_empty() { String::new() } else { format!(" --rates {}", rates.join(",")) };
        let anywhere = if self.arguments.anywhere { " --anywhere" } else { "" };
        format!(
            "target/release/capacity latency --beside {background} --plays {}{rates}{anywhere} --seed {}",
            self.arguments.plays, self.arguments.common.seed
        )
    }
}
