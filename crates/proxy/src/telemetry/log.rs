//! The log for the operator, on standard error. The balancer and the client of the configuration distribution share one
//! writer, which never blocks the process, even if nobody reads standard error.

use std::fmt::Arguments;

pub use config_distribution::host::log::flush;
use config_distribution::host::log::log_as;

/// Queues a line for the log without waiting. The line is dropped if the queue is full.
pub(crate) fn log(line: Arguments<'_>) {
    log_as("balancer-proxy", line);
}
