//! Capacity planning: the plan of the fleet, measured costs of the programs, simulated fleets, and the page that compares
//! needs with budgets. It is a tool of the repository; the balancer contains nothing of it.

use std::fmt::Display;
use std::path::Path;

use thiserror::Error;

use crate::plan::PlanFault;

pub mod arithmetic;
pub mod control;
pub mod decisions;
pub mod depth;
pub mod hollow;
pub mod latency;
pub mod page;
pub mod plan;
pub mod plots;
pub mod process;
pub mod real;
pub mod slope;
pub mod sockets;
pub mod world;

/// Faults of a plan, each on a line of its own and indented after the first.
fn lines(faults: &[PlanFault]) -> String {
    faults.iter().map(PlanFault::to_string).collect::<Vec<_>>().join("\n  ")
}

/// Errors that end a run of the tool.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// A text that cannot be parsed.
    #[error("{0}")]
    Text(String),
    /// A file that cannot be read, written or parsed.
    #[error("{path}: {cause}")]
    File {
        /// The path of the file.
        path: String,
        /// The cause.
        cause: String,
    },
    /// The plan contradicts itself.
    #[error("the plan contradicts itself:\n  {}", lines(.0))]
    Plan(Vec<PlanFault>),
    /// An argument outside its range.
    #[error("--{name}: {expected}")]
    Argument {
        /// The name of the argument, without its dashes.
        name: &'static str,
        /// The values that are accepted.
        expected: String,
    },
    /// The run exceeded its memory limit.
    #[error("{place}: the run uses {used_mb} MB, over its bound of {bound_mb} MB")]
    Memory {
        /// The play that was running.
        place: String,
        /// Resident memory of the run, in MB.
        used_mb: u64,
        /// The memory limit, in MB.
        bound_mb: u64,
    },
    /// A step of the run failed.
    #[error("{place}: {cause}")]
    Run {
        /// The step.
        place: String,
        /// The cause.
        cause: String,
    },
}

impl CapacityError {
    /// A failure to read, write or parse `path`.
    pub fn file(path: &Path, cause: impl Display) -> Self {
        Self::File { path: path.display().to_string(), cause: cause.to_string() }
    }

    /// A failure of the step that `place` names.
    pub fn run(place: impl Into<String>, cause: impl Display) -> Self {
        Self::Run { place: place.into(), cause: cause.to_string() }
    }
}
