//! Slopes of control: bytes, processor time and memory of watches at both ends.

use clap::Args;

use crate::ScaleError;
use crate::plan::Plan;

/// Slopes of control: bytes, processor time and memory of watches at both ends.
#[derive(Debug, Args)]
pub struct Arguments {}

/// Does it.
///
/// # Errors
/// With the place where it went wrong.
pub fn run(_arguments: &Arguments, _plan: &Plan) -> Result<(), ScaleError> {
    Ok(())
}
