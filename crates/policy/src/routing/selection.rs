//! Picks the endpoint of an attempt: the less busy of two random ones.

/// Least chance of a slow upstream: it must be seen to recover.
pub const SLOW_CHANCE: f64 = 0.05;
/// Pairs drawn at most, until one member is no busier than the average.
pub const PAIRS: usize = 4;
/// Draws for each of the two candidates.
pub const DRAWS: usize = 6;
