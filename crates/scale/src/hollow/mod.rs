//! The hollow fleet: the real decision cores of all balancers in one process, in virtual time.

use clap::Args;

use crate::ScaleError;
use crate::plan::Plan;

/// The hollow fleet: the real decision cores of all balancers in one process, in virtual time.
#[derive(Debug, Args)]
pub struct Arguments {}

/// Does it.
///
/// # Errors
/// With the place where it went wrong.
pub fn run(_arguments: &Arguments, _plan: &Plan) -> Result<(), ScaleError> {
    Ok(())
}
