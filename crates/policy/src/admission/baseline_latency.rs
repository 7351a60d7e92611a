//! The baseline latency of a class: the middle of what its requests take while there is no congestion.
//!
//! Congestion shows in requests that take longer than usual, so the usual must be known, and must not follow the
//! congestion itself. The estimate is a running median of the natural logarithm, so that heavy requests count no
//! more than light ones. The module owns the estimate of one class.

/// Seconds over which the baseline follows the requests: much longer than congestion may last before it is met.
pub const BASELINE_WINDOW_S: f64 = 20.0;
/// Largest weight of one request once some are known.
const MAX_WEIGHT: f64 = 0.02;
/// Divides the weight of a request that ends in congestion, which must not become the custom.
const CONGESTED_DIVISOR: f64 = 10.0;
/// Largest step of one request, as a natural logarithm, after the first, which sets the baseline.
const MAX_STEP: f64 = 1.0;

/// The middle latency of a class in good times.
#[derive(Debug, Clone, Copy, Default)]
pub struct BaselineLatency {
    /// Natural logarithm of the latency in seconds.
    pub ln_seconds: f64,
    /// Requests learned from.
    pub samples: f64,
}

impl BaselineLatency {
    /// Learns from a request served in `duration` seconds, with the weight `step`.
    pub fn record(&mut self, duration: f64, step: f64, congested: bool) {
        self.samples += 1.0;
        let over = duration.ln() - self.ln_seconds;
        // Longer and shorter times alike: congestion that taught mostly short times would outlast itself.
        let step = if congested { step / CONGESTED_DIVISOR } else { step }.min(MAX_WEIGHT);
        let most = if self.samples > 1.0 { MAX_STEP } else { f64::MAX };
        self.ln_seconds += step.max(1.0 / self.samples) * over.clamp(-most, most);
    }

    /// The latency in seconds; 0 while none is known.
    #[must_use]
    pub fn seconds(self) -> f64 {
        if self.samples > 0.0 { self.ln_seconds.exp() } else { 0.0 }
    }
}
