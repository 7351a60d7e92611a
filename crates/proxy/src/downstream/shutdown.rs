//! The schedule of the drain between SIGTERM and the end of the program.
//!
//! After SIGTERM the front continues to send requests for a while, clients keep their connections and may have no other
//! balancer, and the platform kills the program some time later. [`DrainSchedule`] divides the time before that kill
//! into phases, based only on the longest deadline: nothing in this module waits, or reads a socket or a clock.

use std::time::Duration;

/// Upper bound of the longest deadline in the time until the kill: the platform sends SIGKILL no sooner than the
/// longest deadline, or this if the deadline is longer, plus [`KILL_DELAY`] after SIGTERM.
const KILL_DEADLINE_CAP: Duration = Duration::from_secs(3);
/// Time that the platform adds to the longest deadline before it sends SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Least time that connections stay open after SIGTERM, because the front continues to send requests for 0.4 s.
const MIN_DRAIN_OPEN: Duration = Duration::from_millis(500);
/// How long before the earliest kill connections start to close: each answer then closes its connection, and idle
/// connections are closed. Until then clients continue to use their connections, because they may have no other
/// balancer.
const CLOSE_BEFORE_KILL: Duration = Duration::from_millis(900);
/// How long before the earliest kill each request that arrived after SIGTERM must have its answer.
const ANSWER_BEFORE_KILL: Duration = Duration::from_millis(350);
/// Least time for which new connections are still accepted after connections start to close.
const LATE_ACCEPT_PERIOD: Duration = Duration::from_millis(150);
/// How long no connection must have been open before the program ends. A client that sent a request while its
/// connection was being closed retries on a new connection.
pub(super) const QUIET_PERIOD: Duration = Duration::from_millis(50);
/// Interval between checks for the end of the drain.
pub(super) const QUIET_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The phase of the program with regard to graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Connections are served normally, including in the first part of a drain.
    Serving,
    /// Each answer closes its connection, and idle connections are closed.
    Closing,
}

/// The times of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainSchedule {
    /// Time from SIGTERM to the earliest SIGKILL.
    pub earliest_kill: Duration,
    /// Time from SIGTERM within which every request that arrives after SIGTERM must have its answer.
    pub answer_by: Duration,
    /// Time from SIGTERM after which answers close their connections and idle connections are closed.
    pub close_from: Duration,
    /// How long new connections are still accepted after `close_from`, whether or not any connection is open.
    pub late_accepts: Duration,
}

impl DrainSchedule {
    /// Calculates the schedule from the longest deadline of any class in the settings at the start.
    #[must_use]
    pub fn new(longest_deadline: Duration) -> Self {
        let earliest_kill = longest_deadline.min(KILL_DEADLINE_CAP) + KILL_DELAY;
        Self {
            earliest_kill,
            answer_by: earliest_kill.saturating_sub(ANSWER_BEFORE_KILL),
            close_from: earliest_kill.saturating_sub(CLOSE_BEFORE_KILL).max(MIN_DRAIN_OPEN),
            late_accepts: LATE_ACCEPT_PERIOD,
        }
    }

    /// Time from SIGTERM after which the program ends even if connections are open, so that a client that never reads
    /// its answer does not delay the end. `longest_deadline` is that of the settings in force.
    #[must_use]
    pub fn give_up_after(longest_deadline: Duration) -> Duration {
        longest_deadline + MIN_DRAIN_OPEN
    }
}
