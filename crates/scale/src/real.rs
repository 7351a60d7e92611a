//! Real balancers through changes of configuration, under load.

use clap::Args;

use crate::ScaleError;
use crate::plan::Plan;

/// Real balancers through changes of configuration, under load.
#[derive(Debug, Args)]
pub struct Arguments {}

/// Does it.
///
/// # Errors
/// With the place where it went wrong.
pub fn run(_arguments: &Arguments, _plan: &Plan) -> Result<(), ScaleError> {
    Ok(())
}
