//! Latency that a real process adds to a call, beside a direct connection.

use clap::Args;

use crate::ScaleError;
use crate::plan::Plan;

/// Latency that a real process adds to a call, beside a direct connection.
#[derive(Debug, Args)]
pub struct Arguments {}

/// Does it.
///
/// # Errors
/// With the place where it went wrong.
pub fn run(_arguments: &Arguments, _plan: &Plan) -> Result<(), ScaleError> {
    Ok(())
}
