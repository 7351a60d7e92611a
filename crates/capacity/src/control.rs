//! The `control` command: measures what watches of the endpoint list and of the configuration cost at the server and at
//! the client, by the number of watches.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, ValueEnum};

use self::rig::Rig;
use crate::CapacityError;
use crate::plan::Plan;
use crate::sockets::child;
use crate::sockets::control_plane;

mod configuration;
mod list;
mod list_client;
mod rig;

/// Time after which a step of a run fails.
const TIMEOUT: Duration = Duration::from_secs(40);
/// Measured sizes as fractions of the plan's number of upstreams: of its 1900 upstreams, these are 100, 300, 1000 and
/// all.
const SIZE_FRACTIONS: [f64; 4] = [1.0 / 19.0, 3.0 / 19.0, 10.0 / 19.0, 1.0];

/// Kind of watches that is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Part {
    /// Watches of the endpoint list.
    List,
    /// Watches of the configuration.
    Configuration,
}

/// Measures bytes, CPU time and memory of watches of the list and of the configuration, at the server and the client.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Kind of watches to measure; both by default.
    #[arg(long, value_enum)]
    part: Option<Part>,
    /// Runs of each size.
    #[arg(long, default_value_t = 3)]
    plays: usize,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Quick version for tests, with a twentieth of the sizes.
    #[arg(long)]
    small: bool,
    /// Folder in which `slopes/` is written.
    #[arg(long, default_value = "crates/capacity")]
    out: PathBuf,
}

/// Runs the command: measures the watches, and writes a file for each slope.
///
/// # Errors
/// An argument is out of range, or a run fails.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    if !(1..=100).contains(&arguments.plays) {
        return Err(CapacityError::Argument { name: "plays", expected: "1 to 100".to_owned() });
    }
    child::handle_signals()?;
    let rig = Rig {
        plan,
        folder: control_plane::folder(&arguments.out, "slopes")?,
        runs: if arguments.small { 1 } else { arguments.plays },
        seed: arguments.seed,
        sizes: SIZE_FRACTIONS.map(|part| {
            let size = (plan.fleet.upstreams.value as f64 * part).round() as usize;
            if arguments.small { size.div_ceil(20) } else { size.max(1) }
        }),
        window: Duration::from_millis(if arguments.small { 200 } else { 6000 }),
        per_process: if arguments.small { 20 } else { 100 },
    };
    if arguments.part != Some(Part::Configuration) {
        rig.lists()?;
        rig.list_watchers()?;
    }
    if arguments.part != Some(Part::List) {
        rig.configuration()?;
    }
    Ok(())
}
