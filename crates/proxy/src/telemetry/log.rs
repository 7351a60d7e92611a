//! Lines for the operator, on standard error, by the one writer of the process: the lines of the client of configuration
//! use it too, and a log that is open but not read blocks nothing.

use std::fmt::Arguments;

pub use config_distribution::host::log::flush;
use config_distribution::host::log::log_as;

/// Writes a line sooner or later, or loses it; never waits.
pub(crate) fn log(line: Arguments<'_>) {
    log_as("balancer-proxy", line);
}
