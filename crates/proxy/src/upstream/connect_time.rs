//! How long a connect to a zone usually takes, and so how long an attempt waits for one before it goes elsewhere.

use std::time::Duration;

/// Usual connect times that an attempt waits for its connection: as many deviations as TCP's own timer waits beyond
/// its mean (RFC 6298).
const PATIENCE_MULTIPLE: f64 = 4.0;
/// Least part of the settings' connect timeout that an attempt waits for, as a busy machine adds to a connect: those of
/// the three or four attempts before a request's last one take a quarter of it together.
const MIN_PATIENCE_FRACTION: f64 = 0.0625;
/// Weight of one connect in the usual time: the gain of TCP's own timer.
const CONNECT_WEIGHT: f64 = 0.125;

/// The usual time in which connections to a zone come up: a mean of logarithms, in which a late one counts for at
/// most e times the usual.
#[derive(Debug, Default)]
pub(super) struct ConnectTime {
    ln_s: f64,
    known: f64,
}

impl ConnectTime {
    /// Records a connect that came up (`up`) or was given up after this time.
    pub(super) fn record(&mut self, duration: Duration, up: bool) {
        // One that was given up only says that a connect takes longer than is known.
        if self.known == 0.0 && !up {
            return;
        }
        let over = duration.as_secs_f64().max(1e-6).ln() - self.ln_s;
        self.known += 1.0;
        let over = if self.known > 1.0 { over.min(1.0) } else { over };
        self.ln_s += CONNECT_WEIGHT.max(1.0 / self.known) * over;
    }

    /// How long an attempt waits for a connection.
    pub(super) fn patience(&self, most: Duration) -> Duration {
        if self.known == 0.0 {
            return most;
        }
        let times = Duration::try_from_secs_f64(self.ln_s.exp() * PATIENCE_MULTIPLE).unwrap_or(most);
        times.clamp(most.mul_f64(MIN_PATIENCE_FRACTION), most)
    }
}
