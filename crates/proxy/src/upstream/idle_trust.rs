//! How long a connection may have been idle and still carry a request that must not run twice.
//!
//! An upstream may close an idle connection well before the settings say that it must. A request that crosses
//! the close ends as a reset, after which one that must not run twice has failed. Requests that may be repeated
//! go on using any idle connection, and so show when the fault is over.

use std::time::Duration;

/// Trust is not cut below this, nor by what was idle for less: connections break under a request now and then
/// however short they were idle, and a new one for each request costs the upstream work.
pub const MIN_TRUSTED_IDLE: Duration = Duration::from_millis(50);
/// Answers in a row on connections idle for longer than is trusted, after which that time is doubled: where one
/// in ten is reset, so many in a row are one chance in two hundred.
pub const ANSWERS_BEFORE_DOUBLING: u32 = 50;

/// The longest idle time that is trusted.
#[derive(Debug)]
pub struct IdleTrust {
    /// Idle connections are closed after this time.
    idle_limit: Duration,
    trusted: Duration,
    answers: u32,
}

impl IdleTrust {
    /// Trusts every idle connection, for `idle_limit` at the longest.
    #[must_use]
    pub fn new(idle_limit: Duration) -> Self {
        Self { idle_limit, trusted: idle_limit, answers: 0 }
    }

    /// Idle connections are closed after another time from now on: what was distrusted stays so.
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

    /// A connection that had been idle for `idle` was reset under its request.
    pub fn record_reset(&mut self, idle: Duration) {
        if idle >= MIN_TRUSTED_IDLE {
            self.answers = 0;
            self.trusted = self.trusted.min((idle / 2).max(MIN_TRUSTED_IDLE));
        }
    }

    /// A connection that had been idle for `idle` has carried its request.
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
