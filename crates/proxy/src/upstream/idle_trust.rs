//! How long a connection may have been idle and still carry a request that must not run twice.
//!
//! An upstream may close an idle connection well before the settings say that it must. A request that crosses
//! the close ends as a reset, after which one that must not run twice has failed. Requests that may be repeated
//! go on using any idle connection, and so show when the fault is over.

use std::time::Duration;

/// Trust is not cut below this, nor by what was idle for less: connections break under a request now and then
/// however short they were idle, and a new one for each request costs the upstream work.
pub const LEAST: Duration = Duration::from_millis(50);
/// Answers in a row on connections idle for longer than is trusted, after which that time is doubled: where one
/// in ten is reset, so many in a row are one chance in two hundred.
pub const ANSWERS: u32 = 50;

/// The longest idle time that is trusted.
#[derive(Debug)]
pub struct Trust {
    most: Duration,
    trusted: Duration,
    answers: u32,
}

impl Trust {
    /// Trusts every idle connection, for `most` at the longest.
    #[must_use]
    pub fn new(most: Duration) -> Self {
        Self { most, trusted: most, answers: 0 }
    }

    /// Idle connections are closed after another time from now on: what was distrusted stays so.
    pub fn keep_for(&mut self, most: Duration) {
        self.trusted = if self.trusted == self.most { most } else { self.trusted.min(most) };
        self.most = most;
    }

    /// The longest idle time after which a connection may carry a request that must not run twice.
    #[must_use]
    pub fn trusted(&self) -> Duration {
        self.trusted
    }

    /// A connection that had been idle for `idle` was reset under its request.
    pub fn reset(&mut self, idle: Duration) {
        if idle >= LEAST {
            self.answers = 0;
            self.trusted = self.trusted.min((idle / 2).max(LEAST));
        }
    }

    /// A connection that had been idle for `idle` has carried its request.
    pub fn answered(&mut self, idle: Duration) {
        if idle < self.trusted {
            return;
        }
        self.answers += 1;
        if self.answers >= ANSWERS {
            self.answers = 0;
            self.trusted = (self.trusted * 2).min(self.most);
        }
    }
}
