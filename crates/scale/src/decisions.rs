//! Slopes of the decisions: processor time and bytes against upstreams, tenants and calls held.

use clap::Args;

use crate::ScaleError;
use crate::plan::Plan;

/// Slopes of the decisions: processor time and bytes against upstreams, tenants and calls held.
#[derive(Debug, Args)]
pub struct Arguments {}

/// Does it.
///
/// # Errors
/// With the place where it went wrong.
pub fn run(_arguments: &Arguments, _plan: &Plan) -> Result<(), ScaleError> {
    Ok(())
}
