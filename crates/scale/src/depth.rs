//! Attempts and refusals over the depth of a call, played on the hollow fleet.

use clap::Args;

use crate::ScaleError;
use crate::plan::Plan;

/// Attempts and refusals over the depth of a call, played on the hollow fleet.
#[derive(Debug, Args)]
pub struct Arguments {}

/// Does it.
///
/// # Errors
/// With the place where it went wrong.
pub fn run(_arguments: &Arguments, _plan: &Plan) -> Result<(), ScaleError> {
    Ok(())
}
