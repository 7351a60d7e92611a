//! The usual latency of a class, against which others are held.

/// Seconds over which the typical latency of a class is learned, as a crowd must not become the custom, and the
/// weight of one call in it at most.
pub const TYPICAL: (f64, f64) = (20.0, 0.02);

/// The middle latency of a class in good times.
#[derive(Debug, Clone, Copy, Default)]
pub struct BaselineLatency {
    /// Its natural logarithm.
    pub ln_seconds: f64,
    pub samples: f64,
}

impl BaselineLatency {
    pub fn learn(&mut self, took: f64, step: f64, congested: bool) {
        self.samples += 1.0;
        let over = took.ln() - self.ln_seconds;
        // Both ways alike: a crowd that taught mostly short times would outlast itself.
        let step = if congested { step / 10.0 } else { step }.min(TYPICAL.1);
        // The first call is taken whole.
        let most = if self.samples > 1.0 { 1.0 } else { f64::MAX };
        self.ln_seconds += step.max(1.0 / self.samples) * over.clamp(-most, most);
    }

    pub fn seconds(self) -> f64 {
        if self.samples > 0.0 { self.ln_seconds.exp() } else { 0.0 }
    }
}
