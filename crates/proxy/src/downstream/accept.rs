//! Failed accepts: whether a connection gives way and whether the accept loop pauses, so that neither a shortage nor a
//! broken listener makes it spin. What kind of failure an error is says [`AcceptFailure`], which the hosts of the
//! configuration use as well.

use std::io;
use std::time::Duration;

pub use config_distribution::host::accept::AcceptFailure;
use tokio::time::Instant;

/// For how long accepts must have failed for want of a descriptor before a connection gives way: an attempt or a close
/// that is under way frees one sooner, and costs nobody a connection.
const SHORTAGE_BEFORE_EVICTION: Duration = Duration::from_millis(25);
/// Accepts that may fail in a row before the loop waits, whatever the reason: enough for a burst of connections that
/// were given up in the queue, few enough that a listener that only fails does not spin.
const FAILURES_BEFORE_PAUSE: u32 = 16;
/// How often a failed accept is logged at most, so that the log costs little while accepts fail.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The accepts that failed since the last one that succeeded.
#[derive(Debug, Default)]
pub(super) struct FailedAccepts {
    in_a_row: u32,
    /// When the latest failed, also before one that succeeded.
    pub(super) latest: Option<Instant>,
    /// Since when descriptors have been short.
    short_since: Option<Instant>,
    /// When one was last logged.
    logged: Option<Instant>,
}

/// What the accept loop does about a failed accept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AcceptReaction {
    pub(super) evict: bool,
    pub(super) pause: bool,
}

impl FailedAccepts {
    pub(super) fn succeeded(&mut self) {
        self.in_a_row = 0;
        self.short_since = None;
    }

    pub(super) fn failed(&mut self, error: &io::Error) -> AcceptReaction {
        self.log(error);
        self.in_a_row += 1;
        self.latest = Some(Instant::now());
        let failure = AcceptFailure::of(error);
        let evict = failure == AcceptFailure::OutOfDescriptors
            && self.short_since.get_or_insert_with(Instant::now).elapsed() >= SHORTAGE_BEFORE_EVICTION;
        let pause = failure != AcceptFailure::Transient || self.in_a_row >= FAILURES_BEFORE_PAUSE;
        AcceptReaction { evict, pause }
    }

    fn log(&mut self, error: &io::Error) {
        if self.logged.is_none_or(|at| at.elapsed() >= FAILURE_LOG_INTERVAL) {
            crate::log(format_args!("a connection could not be accepted: {error}"));
            self.logged = Some(Instant::now());
        }
    }
}
