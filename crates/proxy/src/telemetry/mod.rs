//! Output for the operator: the log, with a line of counters every few seconds.

pub mod counters;
pub mod log;
