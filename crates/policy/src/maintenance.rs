//! The period of the maintenance pass.
//!
//! Several components average their counts over it, so it must be the same for all. The module owns no state.

/// Seconds between maintenance passes: short beside a slow start or an ejection, long beside a request.
pub const MAINTENANCE_PERIOD_S: f64 = 0.2;
