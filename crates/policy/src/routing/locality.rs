//! Locality: how much of the requests stays in the replica's own zone.
//!
//! A site prices each crossing of zones, yet one zone may have more requests than its endpoints can serve, and no
//! replica is notified. From an even spread on, more stays in the own zone for as long as it is no slower than the
//! others. The module owns the fraction of requests that stays.

use oorandom::Rand64;

use crate::random::between;

/// Latency objectives by which requests of the own zone must take longer than elsewhere before any leave it, over the
/// noise of some twenty requests...
const SLOWER_BY: f64 = 0.03;
/// ...and for each point of price of a crossing.
const SLOWER_BY_PER_PRICE: f64 = 0.5;
/// What a maintenance pass adds to the local fraction where the own zone is no slower...
const STEP_UP: f64 = 0.004;
/// ...and takes off it where it is: endpoints choke faster than a price adds up.
const STEP_DOWN: f64 = 0.03;
/// Parts of a step that a pass moves by: drawn, so that replicas do not move together.
const STEP_JITTER: std::ops::Range<f64> = 0.5..1.5;

/// The fraction of the requests that stays in the own zone.
#[derive(Debug, Default)]
pub struct Locality {
    /// `None` before the first list.
    local_fraction: Option<f64>,
}

impl Locality {
    /// Begins with a fraction at the first list; later it changes nothing.
    pub fn begin(&mut self, fraction: f64) {
        self.local_fraction.get_or_insert(fraction);
    }

    /// Whether there has been a list.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.local_fraction.is_some()
    }

    /// Draws whether a request stays in the own zone.
    pub fn draw_local(&self, rng: &mut Rand64) -> bool {
        rng.rand_float() < self.local_fraction.unwrap_or(1.0)
    }

    /// Learns from the delays in the own zone and elsewhere, in latency objectives. The fraction never falls below
    /// `even`, that of an even spread.
    pub fn adapt(&mut self, local_delay: f64, remote_delay: f64, even: f64, price: f64, rng: &mut Rand64) {
        let Some(fraction) = &mut self.local_fraction else { return };
        let is_slower = local_delay > remote_delay + SLOWER_BY + price * SLOWER_BY_PER_PRICE;
        let step = if is_slower { -STEP_DOWN } else { STEP_UP };
        *fraction = (*fraction + step * between(rng, STEP_JITTER)).clamp(even.min(1.0), 1.0);
    }
}
