//! Hollow balancers on real sockets behind real control processes.

use clap::Args;

use crate::ScaleError;
use crate::plan::Plan;

/// Hollow balancers on real sockets behind real control processes.
#[derive(Debug, Args)]
pub struct Arguments {}

/// Does it.
///
/// # Errors
/// With the place where it went wrong.
pub fn run(_arguments: &Arguments, _plan: &Plan) -> Result<(), ScaleError> {
    Ok(())
}
