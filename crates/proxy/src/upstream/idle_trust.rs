//! Estimates for how long a connection may have been idle and still carry a request that must not run twice.
//!
//! An upstream may close an idle connection well before the keepalive time of the settings. A request that is sent
//! while the upstream closes the connection ends as a reset, and a request that must not run twice then fails because
//! it cannot be retried. Requests that may be repeated still use any idle connection, and their responses show when the
//! upstream has stopped closing connections early.

use std::time::Duration;

/// Lower bound of the trusted idle time. Resets of connections that were idle for less do not reduce the trusted idle
/// time, because connections occasionally break during a request however short they were idle, and a new connection for
/// each request costs the upstream work.
pub const MIN_TRUSTED_IDLE: Duration = Duration::from_millis(50);
/// Number of consecutive answered requests on connections idle for at least the trusted idle time after which that time
/// is doubled. If one reuse in ten is reset, a run of this length has a probability of one in two hundred.
pub const ANSWERS_BEFORE_DOUBLING: u32 = 50;

/// The trusted idle time: the longest idle time after which a connection may carry a request that must not run twice.
#[derive(Debug)]
pub struct IdleTrust {
    /// Idle time after which connections to upstreams are closed, which is the upper bound of the trusted idle time.
    idle_limit: Duration,
    trusted: Duration,
    answers: u32,
}

impl IdleTrust {
    /// Trusts every idle connection: the trusted idle time starts at `idle_limit`.
    #[must_use]
    pub fn new(idle_limit: Duration) -> Self {
        Self { idle_limit, trusted: idle_limit, answers: 0 }
    }

    /// Changes the idle time after which connections are closed. A trusted idle time that resets have reduced is not
    /// raised.
    pub fn set_idle_limit(&mut self, idle_limit: Duration) {
        let trusts_all = self.trusted == self.idle_limit;
        self.trusted = if trusts_all { idle_limit } else { self.trusted.min(idle_limit) };
        self.idle_limit = idle_limit;
    }

    /// The longest idle time after which a connection may carry a request that must not run twice.
    #[must_use]
    pub fn trusted(&self) -> Duration {
        self.trusted
    }

    /// Records that a connection that had been idle for `idle` was reset during its request.
    pub fn record_reset(&mut self, idle: Duration) {
        if idle >= MIN_TRUSTED_IDLE {
            self.answers = 0;
            self.trusted = self.trusted.min((idle / 2).max(MIN_TRUSTED_IDLE));
        }
    }

    /// Records that a connection that had been idle for `idle` carried its request.
    pub fn record_answer(&mut self, idle: Duration) {
        if idle < self.trusted {
            return;
        }
        self.answers += 1;
        if self.answers >= ANSWERS_BEFORE_DOUBLING {
            self.answers = 0;
            self.trusted = (self.trusted * 2).min(self.idle_limit);
        }
    }
}
