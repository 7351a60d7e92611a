//! Estimates how long a connect to a zone usually takes, and derives the connect timeout of an attempt that can still
//! be retried on another upstream.

use std::time::Duration;

/// Connect timeout of an attempt as a multiple of the usual connect time. 4 is the number of deviations that TCP's
/// retransmission timer adds to its mean (RFC 6298).
const PATIENCE_MULTIPLE: f64 = 4.0;
/// Lower bound of an attempt's connect timeout, as a fraction of the connect timeout of the settings. It allows for the
/// delay that a busy machine adds to a connect. With this value the three or four attempts before a request's last one
/// take a quarter of the settings' timeout together.
const MIN_PATIENCE_FRACTION: f64 = 0.0625;
/// Weight of one connect in the moving average of connect times, equal to the gain of TCP's retransmission timer.
const CONNECT_WEIGHT: f64 = 0.125;

/// The usual time of a connect to a zone: a moving average of the logarithms of connect times. A slow connect counts as
/// at most e times the usual time.
#[derive(Debug, Default)]
pub(super) struct ConnectTime {
    ln_s: f64,
    known: f64,
}

impl ConnectTime {
    /// Records that a connect succeeded (`up`) or was given up after `duration`.
    pub(super) fn record(&mut self, duration: Duration, up: bool) {
        // A connect that was given up gives only a lower bound, which is no estimate to start from.
        if self.known == 0.0 && !up {
            return;
        }
        let over = duration.as_secs_f64().max(1e-6).ln() - self.ln_s;
        self.known += 1.0;
        let over = if self.known > 1.0 { over.min(1.0) } else { over };
        self.ln_s += CONNECT_WEIGHT.max(1.0 / self.known) * over;
    }

    /// How long an attempt waits for a connection, at most `most`.
    pub(super) fn patience(&self, most: Duration) -> Duration {
        if self.known == 0.0 {
            return most;
        }
        let times = Duration::try_from_secs_f64(self.ln_s.exp() * PATIENCE_MULTIPLE).unwrap_or(most);
        times.clamp(most.mul_f64(MIN_PATIENCE_FRACTION), most)
    }
}
