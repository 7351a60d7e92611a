//! The usual latency of a class, against which others are held.

/// Seconds over which the typical latency of a class is learned, as a crowd must not become the custom, and the
/// weight of one call in it at most.
pub const TYPICAL: (f64, f64) = (20.0, 0.02);

/// The middle latency of a class in good times.
#[derive(Debug, Clone, Copy, Default)]
pub struct Latency {
    /// Its natural logarithm.
    pub typical: f64,
    pub known: f64,
}

impl Latency {
    pub fn learn(&mut self, took: f64, step: f64, crowded: bool) {
        self.known += 1.0;
        let over = took.ln() - self.typical;
        // Both ways alike: a crowd that taught mostly short times would outlast itself.
        let step = if crowded { step / 10.0 } else { step }.min(TYPICAL.1);
        // The first call is taken whole.
        let most = if self.known > 1.0 { 1.0 } else { f64::MAX };
        self.typical += step.max(1.0 / self.known) * over.clamp(-most, most);
    }

    pub fn seconds(self) -> f64 {
        if self.known > 0.0 { self.typical.exp() } else { 0.0 }
    }
}
