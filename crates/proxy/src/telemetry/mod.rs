//! Output for the operator: the log, with a line of counters every few seconds.

pub mod closes;
pub mod counters;
pub mod log;
pub mod process_memory;
