//! Locality: which fraction of the requests stays in the replica's own zone.
//!
//! Traffic between zones has a cost, but a zone can receive more requests than its endpoints can serve, and no replica
//! is notified of that. The local fraction therefore rises while the own zone is no slower than the others. It falls
//! while the own zone is slower, at most to that of an even spread over all endpoints. The module owns the local
//! fraction.

use oorandom::Rand64;

use crate::random::uniform;

/// Difference in delay, in latency objectives, by which the own zone must be slower than the others before the local
/// fraction falls. It is above the noise of an average over some twenty requests.
const MIN_SLOWDOWN: f64 = 0.03;
/// Further difference in delay, in latency objectives, that is required for each unit of the cost of an attempt that
/// crosses zones.
const MIN_SLOWDOWN_PER_COST: f64 = 0.5;
/// Amount that a maintenance pass adds to the fraction of requests that stays in the own zone, if the own zone is no
/// slower than the others.
const STEP_UP: f64 = 0.004;
/// Amount that a maintenance pass subtracts from the fraction of requests that stays in the own zone, if the own zone
/// is slower. It is larger than [`STEP_UP`], since endpoints become overloaded faster than the cost of crossing zones
/// adds up.
const STEP_DOWN: f64 = 0.03;
/// Range of the random factor by which each step is multiplied, so that replicas do not move in lockstep.
const STEP_JITTER: std::ops::Range<f64> = 0.5..1.5;

/// The fraction of the requests that stays in the replica's own zone.
#[derive(Debug, Default)]
pub struct Locality {
    /// Fraction of the requests that stays in the own zone; `None` before the first list of endpoints.
    local_fraction: Option<f64>,
}

impl Locality {
    /// Sets the initial local fraction when the first list of endpoints arrives. Later calls have no effect.
    pub fn set_initial(&mut self, fraction: f64) {
        self.local_fraction.get_or_insert(fraction);
    }

    /// Whether a list of endpoints has arrived and set the local fraction.
    #[must_use]
    pub fn is_initialized(&self) -> bool {
        self.local_fraction.is_some()
    }

    /// Decides at random, by the local fraction, whether a request stays in the own zone.
    pub fn draw_local(&self, rng: &mut Rand64) -> bool {
        rng.rand_float() < self.local_fraction.unwrap_or(1.0)
    }

    /// Moves the local fraction by one step, depending on the delays in the own zone and in the others, which are given
    /// in latency objectives. `cross_zone_cost` is the cost of an attempt that crosses zones. The local fraction never
    /// falls below `even_fraction`, the fraction of an even spread over all endpoints.
    pub fn adapt(
        &mut self,
        local_delay: f64,
        remote_delay: f64,
        even_fraction: f64,
        cross_zone_cost: f64,
        rng: &mut Rand64,
    ) {
        let Some(fraction) = &mut self.local_fraction else { return };
        let is_slower = local_delay > remote_delay + MIN_SLOWDOWN + cross_zone_cost * MIN_SLOWDOWN_PER_COST;
        let step = if is_slower { -STEP_DOWN } else { STEP_UP };
        *fraction = (*fraction + step * uniform(rng, STEP_JITTER)).clamp(even_fraction.min(1.0), 1.0);
    }
}
