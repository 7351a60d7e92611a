//! What the operator sees: counts of what the balancer did, in one line every few seconds, and the log.

pub mod counters;
pub mod log;
