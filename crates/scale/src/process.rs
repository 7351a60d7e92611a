//! Slopes of a real process: memory, start, processor time against the list's length.

use clap::Args;

use crate::ScaleError;
use crate::plan::Plan;

/// Slopes of a real process: memory, start, processor time against the list's length.
#[derive(Debug, Args)]
pub struct Arguments {}

/// Does it.
///
/// # Errors
/// With the place where it went wrong.
pub fn run(_arguments: &Arguments, _plan: &Plan) -> Result<(), ScaleError> {
    Ok(())
}
