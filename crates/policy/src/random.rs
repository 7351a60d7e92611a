//! Draws that several components need, from the random source that the balancer owns.

use std::ops::Range;

use oorandom::Rand64;

/// Draws evenly from a range.
pub fn between(rng: &mut Rand64, range: Range<f64>) -> f64 {
    range.start + (range.end - range.start) * rng.rand_float()
}
