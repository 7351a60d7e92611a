//! The plan of the fleet to come, what it costs, and fleets that are played to find out. A tool of the repository:
//! nothing of it is in the balancer.

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

/// What ends a run.
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
