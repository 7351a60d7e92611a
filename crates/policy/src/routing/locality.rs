//! How much of the calls stays in the own zone.

/// Aims by which calls of the own zone must take longer than elsewhere before any leave it, over the noise of some
/// twenty calls, and for each point of price of a crossing.
pub const WORSE: (f64, f64) = (0.03, 0.5);
/// What a sweep adds to the part of the calls that stays in the own zone, or takes off it.
pub const STAY_STEPS: (f64, f64) = (0.004, 0.03);
