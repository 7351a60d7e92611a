//! The baseline latency of a class: the median latency of its requests without congestion.
//!
//! Congestion shows in requests that take longer than usual, so the usual latency must be known, and the estimate must
//! not follow the congestion itself. It is a running median of the natural logarithm of the latency, so that expensive
//! requests count no more than cheap ones. The module owns the estimate of one class.

/// Averaging time of the baseline in seconds, much longer than congestion can last undetected.
pub const BASELINE_WINDOW_S: f64 = 20.0;
/// Largest weight of one request in the moving average of the baseline latency, except for the first requests, which
/// count more while few samples are known.
const MAX_WEIGHT: f64 = 0.02;
/// Divisor for the weight of a request that ends during congestion, so that congested latencies do not become the
/// baseline.
const CONGESTED_DIVISOR: f64 = 10.0;
/// Largest change by one request, as a natural logarithm. The first request is not bounded and sets the baseline.
const MAX_LN_STEP: f64 = 1.0;

/// Estimate of the median latency of a class without congestion.
#[derive(Debug, Clone, Copy, Default)]
pub struct BaselineLatency {
    /// Natural logarithm of the estimated baseline latency in seconds.
    pub ln_seconds: f64,
    /// Number of requests that the baseline latency was learned from.
    pub samples: f64,
}

impl BaselineLatency {
    /// Updates the estimate with a request that was served in `duration` seconds, using the weight `step`.
    pub fn record(&mut self, duration: f64, step: f64, congested: bool) {
        self.samples += 1.0;
        let ln_deviation = duration.ln() - self.ln_seconds;
        // The reduced weight applies to longer and shorter latencies alike. If mostly short latencies were learned
        // during congestion, the baseline would fall and the congestion would seem to last longer than it does.
        let step = if congested { step / CONGESTED_DIVISOR } else { step }.min(MAX_WEIGHT);
        let max_step = if self.samples > 1.0 { MAX_LN_STEP } else { f64::MAX };
        self.ln_seconds += step.max(1.0 / self.samples) * ln_deviation.clamp(-max_step, max_step);
    }

    /// Estimated latency in seconds; 0 while no request has been recorded.
    #[must_use]
    pub fn seconds(self) -> f64 {
        if self.samples > 0.0 { self.ln_seconds.exp() } else { 0.0 }
    }
}
