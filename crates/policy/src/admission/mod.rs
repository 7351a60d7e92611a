//! Which requests are let in, and at what rate.

pub mod adaptive_limit;
pub mod baseline_latency;
pub mod congestion;
pub mod suppression;
