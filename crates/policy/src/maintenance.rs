//! The period of the maintenance pass, over which several components average their counts.

/// Seconds between maintenance passes: short beside a slow start or an ejection, long beside a request.
pub const MAINTENANCE_PERIOD_S: f64 = 0.2;
