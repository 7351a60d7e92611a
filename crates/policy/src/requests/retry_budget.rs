//! How many retries the requests admitted pay for.

/// Further attempts per request that may repeat work, and the most saved up.
pub const REPEATS: (f64, f64) = (0.1, 10.0);
/// Further attempts per request after one proved not to have run, and the most saved up.
pub const REROUTES: (f64, f64) = (0.5, 20.0);
