//! Random draws that several components need.

use oorandom::Rand64;

pub fn between(rng: &mut Rand64, (low, high): (f64, f64)) -> f64 {
    low + (high - low) * rng.rand_float()
}
