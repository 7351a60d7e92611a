//! Draws that several components need.
//!
//! Equal seeds must give equal decisions, so all draws come from the one random source that the balancer owns and hands
//! in. The module owns no state.

use std::ops::Range;

use oorandom::Rand64;

/// Draws evenly from a range.
pub fn between(rng: &mut Rand64, range: Range<f64>) -> f64 {
    range.start + (range.end - range.start) * rng.rand_float()
}

/// Draws an index below `length`, which must not be 0.
#[allow(clippy::cast_possible_truncation, reason = "the draw lies below a length, which is a usize")]
pub fn index(rng: &mut Rand64, length: usize) -> usize {
    rng.rand_range(0..length as u64) as usize
}
