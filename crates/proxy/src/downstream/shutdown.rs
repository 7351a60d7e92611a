//! The drain between SIGTERM and the end of the program.
//!
//! After SIGTERM the front goes on sending for a while, clients keep their connections and may have no other balancer,
//! and the platform kills the program some time later. [`DrainSchedule`] shares out the time before that kill, from
//! the longest deadline alone: nothing here waits, reads a socket or a clock.

use std::time::Duration;

/// After SIGTERM the platform kills no sooner than the longest deadline, counted as this where it is longer...
const KILL_DEADLINE_CAP: Duration = Duration::from_secs(3);
/// ...and this much more.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// How long connections stay open after SIGTERM at the least: the front goes on sending for 0.4 s.
const DRAIN_OPEN_MIN: Duration = Duration::from_millis(500);
/// Before the earliest kill by this much, each answer closes its connection and idle ones are closed: until then
/// clients go on using theirs, and may have no other balancer.
const CLOSE_BEFORE_KILL: Duration = Duration::from_millis(900);
/// Before the earliest kill by this much, what came after SIGTERM must have its answer.
const ANSWER_BEFORE_KILL: Duration = Duration::from_millis(350);
/// How long new connections are accepted once connections close, at the least.
const LATE_ACCEPT_PERIOD: Duration = Duration::from_millis(150);
/// How long no connection must have been open before the program ends: a client whose request crossed the close of
/// its connection comes with a new one.
pub(super) const QUIET_PERIOD: Duration = Duration::from_millis(50);
/// How often the end of a drain is looked for.
pub(super) const QUIET_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Where the program stands between SIGTERM and its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Connections are served as they come, also in the first part of a drain.
    Serving,
    /// Each answer closes its connection, and idle ones are closed.
    Closing,
}

/// When each phase of a drain ends, as spans.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainSchedule {
    /// From SIGTERM to the earliest SIGKILL.
    pub earliest_kill: Duration,
    /// From SIGTERM to the time by which every request that came after it must have its answer.
    pub answer_by: Duration,
    /// From SIGTERM to the time from which answers close their connections and idle connections are closed.
    pub close_from: Duration,
    /// From then on: how long new connections are still accepted, whether or not any is left open.
    pub late_accepts: Duration,
}

impl DrainSchedule {
    /// The schedule where no class of the settings at the start has a longer deadline than this.
    #[must_use]
    pub fn new(longest_deadline: Duration) -> Self {
        let earliest_kill = longest_deadline.min(KILL_DEADLINE_CAP) + KILL_DELAY;
        Self {
            earliest_kill,
            answer_by: earliest_kill.saturating_sub(ANSWER_BEFORE_KILL),
            close_from: earliest_kill.saturating_sub(CLOSE_BEFORE_KILL).max(DRAIN_OPEN_MIN),
            late_accepts: LATE_ACCEPT_PERIOD,
        }
    }

    /// From SIGTERM to the time at which the program ends though connections are open: a client that never takes its
    /// answer must not hold it up. The longest deadline is that of the settings in force.
    #[must_use]
    pub fn give_up_after(longest_deadline: Duration) -> Duration {
        longest_deadline + DRAIN_OPEN_MIN
    }
}
