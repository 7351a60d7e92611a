//! Estimates how long a connect to a zone usually takes, and derives the connect timeout of an attempt that can still
//! be retried on another upstream.

use std::time::Duration;

/// Connect timeout of an attempt as a multiple of the usual connect time. 4 is the number of deviations that TCP's
/// retransmission timer adds to its mean (RFC 6298).
const CONNECT_TIMEOUT_MULTIPLE: f64 = 4.0;
/// Lower bound of an attempt's connect timeout, as a fraction of the connect timeout of the settings. It allows for the
/// delay that a busy machine adds to a connect. With this value the three or four attempts before a request's last one
/// take a quarter of the settings' timeout together.
const MIN_CONNECT_TIMEOUT_FRACTION: f64 = 0.0625;
/// Weight of one connect in the moving average of connect times, equal to the gain of TCP's retransmission timer.
const CONNECT_WEIGHT: f64 = 0.125;

/// The usual time of a connect to a zone: a moving average of the logarithms of connect times. A slow connect counts as
/// at most e times the usual time.
#[derive(Debug, Default)]
pub(super) struct ConnectTime {
    mean_ln_s: f64,
    sample_count: f64,
}

impl ConnectTime {
    /// Records a connect that took `duration`, or that was given up after `duration` if `succeeded` is false.
    pub(super) fn record(&mut self, duration: Duration, succeeded: bool) {
        // A connect that was given up gives only a lower bound, which is no estimate to start from.
        if self.sample_count == 0.0 && !succeeded {
            return;
        }
        let deviation = duration.as_secs_f64().max(1e-6).ln() - self.mean_ln_s;
        self.sample_count += 1.0;
        let deviation = if self.sample_count > 1.0 { deviation.min(1.0) } else { deviation };
        self.mean_ln_s += CONNECT_WEIGHT.max(1.0 / self.sample_count) * deviation;
    }

    /// How long an attempt waits for a connection, at most `max_timeout`.
    pub(super) fn attempt_connect_timeout(&self, max_timeout: Duration) -> Duration {
        if self.sample_count == 0.0 {
            return max_timeout;
        }
        let timeout = Duration::try_from_secs_f64(self.mean_ln_s.exp() * CONNECT_TIMEOUT_MULTIPLE)
            .unwrap_or(max_timeout);
        timeout.clamp(max_timeout.mul_f64(MIN_CONNECT_TIMEOUT_FRACTION), max_timeout)
    }
}
