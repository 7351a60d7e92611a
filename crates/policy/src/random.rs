//! Random draws that several components need.
//!
//! Equal seeds must give equal decisions, so all draws use the single random number generator that the balancer owns
//! and passes in. The module has no state.

use std::ops::Range;

use oorandom::Rand64;

/// Draws a number from a range, uniformly distributed.
pub fn uniform(rng: &mut Rand64, range: Range<f64>) -> f64 {
    range.start + (range.end - range.start) * rng.rand_float()
}

/// Draws a uniformly distributed index below `length`, which must not be 0.
#[allow(clippy::cast_possible_truncation, reason = "the drawn number is below a length, which is a usize")]
pub fn index(rng: &mut Rand64, length: usize) -> usize {
    rng.rand_range(0..length as u64) as usize
}
