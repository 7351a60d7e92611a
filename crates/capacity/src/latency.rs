//! Latency that a real process adds to a call, beside a direct connection.

use std::path::Path;
use std::thread;

use clap::{Args, ValueEnum};
use oorandom::Rand64;

use crate::CapacityError;
use crate::plan::{Plan, Reading};
use crate::slope::Slope;
use crate::world::{self, Common};

mod made_of;
mod placement;
mod play;
mod slopes;

use placement::{CORES_LEAST, Placement};

/// What goes on beside the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Beside {
    /// Nothing.
    Nothing,
    /// An entry of the list changes ten times a second.
    List,
    /// The configuration changes ten times a second.
    Configuration,
    /// Nothing, and what the added latency is made of is found out.
    MadeOf,
}

/// Latency that a real process adds to a call, beside a direct connection.
#[derive(Debug, Args)]
pub struct Arguments {
    #[command(flatten)]
    common: Common,
    /// What goes on beside the calls.
    #[arg(long, value_enum, default_value_t = Beside::Nothing)]
    beside: Beside,
    /// Calls a second through the balancer, at least two; without it the mean and the busiest of a
    /// balancer in both readings of the plan.
    #[arg(long, value_delimiter = ',')]
    rates: Vec<f64>,
    /// Plays of each rate.
    #[arg(long, default_value_t = 3)]
    plays: usize,
    /// Upstreams in the list, which as many balancers share.
    #[arg(long, default_value_t = 60)]
    upstreams: usize,
    /// Let the system choose cores for all threads. Without it the caller's thread, which spins, has core 0 for itself
    /// and all else the others (by `taskset`): what a caller wakes up would wait on its core for the system's next tick.
    #[arg(long)]
    anywhere: bool,
}

/// Calls a second at most: one caller's thread carries no more.
const RATE_MOST: f64 = 10_000.0;

/// Plays the rates and writes the slopes, or the table of what the added latency is made of.
///
/// # Errors
/// With the place where it went wrong.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    let rates = checked_rates(arguments, plan)?;
    check_counts(arguments)?;
    let cores =
        thread::available_parallelism().map_err(|cause| CapacityError::run("counting cores", cause))?.get();
    let placement = checked_placement(arguments, cores)?;
    let program = arguments.common.program(world::BALANCER)?;
    let (slopes, results) = arguments.common.folders()?;
    let mut bench = Bench {
        arguments,
        plan,
        program: &program,
        cores,
        placement,
        rng: Rand64::new(u128::from(arguments.common.seed)),
    };
    if arguments.beside == Beside::MadeOf {
        let table = bench.made_of(&rates)?;
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

fn wrong<T>(name: &'static str, expected: impl Into<String>) -> Result<T, CapacityError> {
    Err(CapacityError::Argument { name, expected: expected.into() })
}

/// Calls a second that are played, from the arguments or the plan, the lowest first.
fn checked_rates(arguments: &Arguments, plan: &Plan) -> Result<Vec<f64>, CapacityError> {
    let mut rates = arguments.rates.clone();
    if rates.is_empty() {
        // What it is made of takes many plays, so that only the higher reading is looked at.
        let readings = [Reading::Front, Reading::Hops];
        let looked_at = if arguments.beside == Beside::MadeOf { &readings[..1] } else { &readings };
        for &reading in looked_at {
            rates.extend([plan.mean_rate(reading), plan.busiest_rate(reading)]);
        }
    }
    rates.sort_by(f64::total_cmp);
    if rates.len() < 2 || !rates.iter().all(|rate| (1.0..=RATE_MOST).contains(rate)) {
        return wrong("rates", format!("two at least, each 1 to {RATE_MOST} a second"));
    }
    Ok(rates)
}

fn check_counts(arguments: &Arguments) -> Result<(), CapacityError> {
    if !(1..=100).contains(&arguments.plays) {
        return wrong("plays", "1 to 100");
    }
    if !(1..=2000).contains(&arguments.upstreams) {
        return wrong("upstreams", "1 to 2000");
    }
    Ok(())
}

fn checked_placement(arguments: &Arguments, cores: usize) -> Result<Placement, CapacityError> {
    if arguments.anywhere || arguments.common.small {
        return Ok(Placement::Anywhere);
    }
    if cores < CORES_LEAST {
        return wrong("anywhere", format!("needed with under {CORES_LEAST} cores"));
    }
    Ok(Placement::Apart)
}

fn print_slope(slope: &Slope) {
    println!("{}", slope.name);
    for point in &slope.points {
        println!("  {:>7.1}: {:>8.1} us ({:.1} to {:.1})", point.x, point.y, point.low, point.high);
    }
    println!("  {}", slope.note);
}

/// What the plays of one run of the command have in common.
struct Bench<'a> {
    arguments: &'a Arguments,
    plan: &'a Plan,
    program: &'a Path,
    cores: usize,
    placement: Placement,
    rng: Rand64,
}

impl Bench<'_> {
    fn command(&self) -> String {
        let beside = self.arguments.beside.to_possible_value();
        let beside = beside.as_ref().map_or("", |value| value.get_name());
        let rates: Vec<String> = self.arguments.rates.iter().map(f64::to_string).collect();
        let rates = if rates.is_empty() { String::new() } else { format!(" --rates {}", rates.join(",")) };
        let anywhere = if self.arguments.anywhere { " --anywhere" } else { "" };
        format!(
            "target/release/capacity latency --beside {beside} --plays {}{rates}{anywhere} --seed {}",
            self.arguments.plays, self.arguments.common.seed
        )
    }
}
