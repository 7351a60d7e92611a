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
    /// A text that cannot be read as what it should be.
    #[error("{0}")]
    Text(String),
    /// A file that cannot be read, written or understood.
    #[error("{path}: {cause}")]
    File {
        /// The file.
        path: String,
        /// Why.
        cause: String,
    },
    /// The plan contradicts itself.
    #[error("the plan contradicts itself:\n  {}", lines(.0))]
    Plan(Vec<PlanFault>),
    /// An argument outside its range.
    #[error("--{name}: {expected}")]
    Argument {
        /// Its name.
        name: &'static str,
        /// What was expected.
        expected: String,
    },
    /// The run passed its bound of memory.
    #[error("{place}: the run uses {used_mb} MB, over its bound of {bound_mb} MB")]
    Memory {
        /// What was being played.
        place: String,
        /// What it used.
        used_mb: u64,
        /// What it may use.
        bound_mb: u64,
    },
    /// Something that the run needs went wrong.
    #[error("{place}: {cause}")]
    Run {
        /// What was being done.
        place: String,
        /// What went wrong.
        cause: String,
    },
}

impl CapacityError {
    /// Of a file.
    pub fn file(path: &Path, cause: impl Display) -> Self {
        Self::File { path: path.display().to_string(), cause: cause.to_string() }
    }

    /// Of a step of a run.
    pub fn run(place: impl Into<String>, cause: impl Display) -> Self {
        Self::Run { place: place.into(), cause: cause.to_string() }
    }
}
