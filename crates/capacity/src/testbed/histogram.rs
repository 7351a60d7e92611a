//! A histogram of latencies, for their quantiles.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::CapacityError;

/// One minute in nanoseconds: the largest latency that the histogram records.
const MINUTE_NS: u64 = 60_000_000_000;

/// A histogram of latencies, with three significant digits.
#[derive(Debug, Clone)]
pub struct DurationHistogram(Histogram<u64>);

impl DurationHistogram {
    /// Creates the histogram of `times`. Times over a minute count as a minute.
    ///
    /// # Errors
    /// The histogram cannot be created.
    pub fn of(times: impl IntoIterator<Item = Duration>) -> Result<Self, CapacityError> {
        let made = Histogram::new_with_bounds(1, MINUTE_NS, 3);
        let mut histogram =
            made.map_err(|cause| CapacityError::run("creating a latency histogram", cause))?;
        for time in times {
            histogram.saturating_record((time.as_nanos() as u64).clamp(1, MINUTE_NS));
        }
        Ok(Self(histogram))
    }

    /// Latency at `quantile`, a number from 0 to 1, in microseconds.
    #[must_use]
    pub fn us(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Number of recorded latencies.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Number of recorded latencies that are longer than `time`.
    #[must_use]
    pub fn over(&self, time: Duration) -> u64 {
        self.0.len() - self.0.count_between(0, time.as_nanos() as u64)
    }
}
