//! Capacity planning: the plan of the fleet, measured costs of the programs, simulated fleets, and the page that
//! compares needs with budgets. The crate is a development tool of this repository; the balancer does not depend on it.

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
pub mod testbed;

/// Joins faults of a plan into one text, one fault per line, with every line but the first indented by two spaces.
fn join_faults(faults: &[PlanFault]) -> String {
    faults.iter().map(PlanFault::to_string).collect::<Vec<_>>().join("\n  ")
}

/// Errors that end a run of the tool.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// A text could not be parsed; the field is the parser's message.
    #[error("{0}")]
    Text(String),
    /// A file could not be read, written or parsed.
    #[error("{path}: {cause}")]
    File {
        /// Path of the file.
        path: String,
        /// Message of the underlying error.
        cause: String,
    },
    /// Figures of the plan contradict each other or are out of range; all faults are listed.
    #[error("the plan is invalid:\n  {}", join_faults(.0))]
    Plan(Vec<PlanFault>),
    /// A command-line argument is outside its range.
    #[error("--{name}: {expected}")]
    Argument {
        /// Name of the argument, without its leading dashes.
        name: &'static str,
        /// Description of the values that the argument accepts.
        expected: String,
    },
    /// A run exceeded its memory limit.
    #[error("{place}: the run uses {used_mb} MB, over its limit of {bound_mb} MB")]
    Memory {
        /// Name of the scenario run that was in progress.
        place: String,
        /// Resident memory of the tool and of the processes that the run started, in MB.
        used_mb: u64,
        /// Memory limit of the run, in MB.
        bound_mb: u64,
    },
    /// A step of a run failed.
    #[error("{place}: {cause}")]
    Run {
        /// Name of the step that failed.
        place: String,
        /// Message of the underlying error.
        cause: String,
    },
}

impl CapacityError {
    /// Returns the error for a failure to read, write or parse the file at `path`.
    pub fn file(path: &Path, cause: impl Display) -> Self {
        Self::File { path: path.display().to_string(), cause: cause.to_string() }
    }

    /// Returns the error for a failure of the step that `place` names.
    pub fn run(place: impl Into<String>, cause: impl Display) -> Self {
        Self::Run { place: place.into(), cause: cause.to_string() }
    }
}
