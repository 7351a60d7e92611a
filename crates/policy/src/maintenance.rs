//! The period of the maintenance pass.
//!
//! Several components average their counts over this period, so it must be the same for all of them. The module has no
//! state.

/// Seconds between two maintenance passes: short compared with a slow start or an ejection, long compared with a
/// request.
pub const MAINTENANCE_PERIOD_S: f64 = 0.2;
