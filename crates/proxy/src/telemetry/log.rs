//! Lines for the operator, on standard error, by the one writer of the process: what the client of configuration says
//! goes the same way, and a log that somebody holds and nobody reads stops nothing.

use std::fmt::Arguments;

pub use config_distribution::host::log::flush;
use config_distribution::host::log::log_as;

/// Writes a line sooner or later, or loses it; never waits.
pub(crate) fn log(line: Arguments<'_>) {
    log_as("balancer-proxy", line);
}
