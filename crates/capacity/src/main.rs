//! Command line of the capacity tool.

use std::path::PathBuf;
use std::process::ExitCode;

use capacity::plan::Plan;
use capacity::{CapacityError, control, decisions, depth, hollow, latency, page, process, real, sockets};
use clap::{Parser, Subcommand};

/// Simulates and measures the planned fleet, and generates its capacity page.
///
/// Exit codes: 0 success; 1 the run failed, and the last line on standard error names the step; 2 invalid arguments.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Path of the plan file (TOML).
    #[arg(long, global = true, default_value = "crates/capacity/plan.toml")]
    plan: PathBuf,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks the plan, and prints its figures and the values derived from them.
    Plan,
    Decisions(decisions::Arguments),
    Hollow(hollow::Arguments),
    Depth(depth::Arguments),
    Process(process::Arguments),
    Latency(latency::Arguments),
    Real(real::Arguments),
    Control(control::Arguments),
    Sockets(sockets::Arguments),
    Page(page::Arguments),
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("capacity: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), CapacityError> {
    let plan = Plan::read(&arguments.plan)?;
    match &arguments.command {
        Command::Plan => {
            page::print_plan(&plan);
            Ok(())
        }
        Command::Decisions(arguments) => decisions::run(arguments, &plan),
        Command::Hollow(arguments) => hollow::run(arguments, &plan),
        Command::Depth(arguments) => depth::run(arguments, &plan),
        Command::Process(arguments) => process::run(arguments, &plan),
        Command::Latency(arguments) => latency::run(arguments, &plan),
        Command::Real(arguments) => real::run(arguments, &plan),
        Command::Control(arguments) => control::run(arguments, &plan),
        Command::Sockets(arguments) => sockets::run(arguments, &plan),
        Command::Page(arguments) => page::run(arguments, &plan),
    }
}
