//! Handles failed accepts: decides whether an idle connection is evicted and whether the accept loop pauses, so that
//! neither a shortage of descriptors nor a broken listener makes the loop spin. Errors are classified by
//! [`AcceptFailure`], which the configuration hosts use as well.

use std::io;
use std::time::Duration;

pub use config_distribution::host::accept::AcceptFailure;
use tokio::time::Instant;

/// How long accepts must have failed for lack of descriptors before an idle connection is evicted. An attempt or a
/// close in progress usually frees a descriptor sooner, without costing a client its connection.
const SHORTAGE_BEFORE_EVICTION: Duration = Duration::from_millis(25);
/// Number of consecutive failed accepts, for whatever reason, after which the loop pauses. It allows for a burst of
/// connections that clients gave up while they were in the accept queue, and still keeps a listener that always fails
/// from making the loop spin.
const FAILURES_BEFORE_PAUSE: u32 = 16;
/// Least interval between log lines about failed accepts, so that logging costs little while accepts fail.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Tracks failed accepts, mainly those since the last accept that succeeded.
#[derive(Debug, Default)]
pub(super) struct FailedAccepts {
    /// Number of failed accepts since the last one that succeeded.
    consecutive_failures: u32,
    /// Time at which the latest failed accept occurred, even if an accept has succeeded since.
    pub(super) last_failed_at: Option<Instant>,
    /// Time at which descriptors ran short; `None` if an accept has succeeded since.
    short_since: Option<Instant>,
    /// Time at which a failed accept was last logged.
    last_logged_at: Option<Instant>,
}

/// How the accept loop reacts to a failed accept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AcceptReaction {
    /// Whether to evict an idle client connection.
    pub(super) evict: bool,
    /// Whether to pause before the next accept.
    pub(super) pause: bool,
}

impl FailedAccepts {
    pub(super) fn succeeded(&mut self) {
        self.consecutive_failures = 0;
        self.short_since = None;
    }

    pub(super) fn failed(&mut self, error: &io::Error) -> AcceptReaction {
        self.log(error);
        self.consecutive_failures += 1;
        self.last_failed_at = Some(Instant::now());
        let failure = AcceptFailure::of(error);
        let evict = failure == AcceptFailure::OutOfDescriptors
            && self.short_since.get_or_insert_with(Instant::now).elapsed() >= SHORTAGE_BEFORE_EVICTION;
        let pause = failure != AcceptFailure::Transient || self.consecutive_failures >= FAILURES_BEFORE_PAUSE;
        AcceptReaction { evict, pause }
    }

    fn log(&mut self, error: &io::Error) {
        if self.last_logged_at.is_none_or(|at| at.elapsed() >= FAILURE_LOG_INTERVAL) {
            crate::log(format_args!(
                "a client connection could not be accepted, accepting continues: {error}"
            ));
            self.last_logged_at = Some(Instant::now());
        }
    }
}
